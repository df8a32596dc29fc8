//! Stand-in targets: engines and plain services.

use std::{
    collections::{HashMap, VecDeque},
    net::SocketAddr,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use futures_util::stream::unfold;
use http_body_util::{BodyExt, BodyStream, StreamBody};
use hyper::{
    Method, Request, Response, StatusCode, Version,
    body::{Frame, Incoming},
    header::{HeaderMap, HeaderValue},
    http::request::Parts,
};
use serde_json::json;
use tokio::time::{Instant, sleep};

use super::{
    BrokenOff, StandInBody,
    endless::{EndlessFault, EndlessLog},
    orders::{OrderBook, OrderRecord, stage_name},
    slots::{PrioritySlots, TakenSlot},
    store::StoreModel,
    whole,
};

/// Time before a response breaks off in which its earlier bytes are written.
const FLUSH_TIME: Duration = Duration::from_millis(5);

/// Kind of a stand-in target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RunnerKind {
    /// Engine that runs the prefill stage.
    Prefill,
    /// Engine that runs the decode stage.
    Decode,
    /// Plain service.
    Plain,
}

/// Kind, capacity and timing of a target.
#[derive(Debug, Clone, Copy)]
pub struct RunnerProfile {
    /// Kind at start; an order can change an engine's.
    pub kind: RunnerKind,
    /// Number of concurrent requests.
    pub slots: usize,
    /// Prefill speed, in prompt tokens per millisecond. A decode engine that has to
    /// prefill a prompt itself takes twice as long.
    pub tokens_per_ms: u64,
    /// Delay before each event of a stream.
    pub event_gap: Duration,
    /// Capacity of the prefix cache, in tokens.
    pub memory_tokens: u64,
    /// Duration of a call to a plain service.
    pub call_time: Duration,
}

/// Faults to inject into a target.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RunnerFaults {
    /// Responds 503 with a `not-executed` header to every request.
    pub decline: bool,
    /// With `decline`, states for how long it wants no more requests, as its `retry-after`.
    pub retry_after: Option<String>,
    /// Runs the request and responds with a signed 500.
    pub fail: bool,
    /// Runs the request and closes the connection without a response.
    pub lose_answer: bool,
    /// Delay before each event of a stream, instead of that of the profile.
    pub event_gap: Option<Duration>,
    /// Aborts streams after the event with this id.
    pub break_after: Option<u64>,
    /// Responds with the id of another request.
    pub cross_answers: bool,
    /// Omits the `server-signature` header.
    pub unsigned: bool,
    /// Returns KV cache handles that are already expired.
    pub forget_handles: bool,
    /// Sends all responses with neither a length nor chunks, so that the end of the connection
    /// ends them.
    pub unframed: bool,
    /// States in all responses that it leaves, while its registration says that it is ready.
    pub says_leaving: bool,
    /// Breaks each response to a run off after as many bytes of its body as the number at the
    /// end of the request's id states.
    pub cut: Option<BrokenOff>,
    /// Sends responses that never end.
    pub endless: Option<EndlessFault>,
    /// Crashes on requests with this body: the connection closes during the run.
    pub poison: Option<Bytes>,
}

/// Run of a request on a target.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RunRecord {
    /// Value of the `request-id` header.
    pub request: String,
    /// Path of the request's URI.
    pub path: String,
    /// Start of the run, after any prefill on this target.
    pub at: Instant,
    /// Prompt tokens that this target prefilled for the run; 0 if the KV cache was imported.
    pub read: u64,
}

/// KV caches of all engines by handle, with the address of the engine that holds
/// the cache and the id of its request.
pub type CacheRegistry = Arc<Mutex<HashMap<String, (SocketAddr, String)>>>;

#[derive(Debug)]
struct RunnerState {
    /// Version of its software.
    version: String,
    /// Number of its starts, from which its registration's start time follows.
    starts: u64,
    faults: RunnerFaults,
    segments: VecDeque<(String, u64)>,
    runs: Vec<RunRecord>,
    prefills: u64,
    declined: Vec<Instant>,
    foreign_caches: u64,
    cancelled: Vec<String>,
    orders: OrderBook,
}

/// Stand-in target that serves HTTP; clones share its state.
#[derive(Debug, Clone)]
pub struct RunnerModel {
    /// Id under which it registers in the store.
    pub id: Arc<str>,
    /// Address at which it listens.
    pub address: SocketAddr,
    /// Service that it belongs to.
    pub service: Arc<str>,
    profile: RunnerProfile,
    state: Arc<Mutex<RunnerState>>,
    slots: PrioritySlots,
    prefill_lock: Arc<tokio::sync::Mutex<()>>,
    caches: CacheRegistry,
    sequence: Arc<AtomicU64>,
    endless: EndlessLog,
}

impl RunnerState {
    fn new() -> RunnerState {
        RunnerState {
            version: "v1".to_owned(),
            starts: 1,
            faults: RunnerFaults::default(),
            segments: VecDeque::new(),
            runs: Vec::new(),
            prefills: 0,
            declined: Vec::new(),
            foreign_caches: 0,
            cancelled: Vec::new(),
            orders: OrderBook::default(),
        }
    }
}

fn locked<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl RunnerModel {
    /// Starts a target on a free port. [`register`](Self::register) makes it discoverable.
    ///
    /// # Errors
    /// Returns an error if no port can be bound.
    pub async fn spawn(
        id: &str,
        service: &str,
        profile: RunnerProfile,
        caches: CacheRegistry,
    ) -> std::io::Result<RunnerModel> {
        let cell: Arc<Mutex<Option<RunnerModel>>> = Arc::default();
        let shared = cell.clone();
        let (address, _) = super::serve(0, move |request| {
            let runner = locked(&shared).clone();
            async move {
                match runner {
                    Some(runner) => runner.handle(request).await,
                    None => Err(BrokenOff::Closed),
                }
            }
        })
        .await?;
        let runner = RunnerModel {
            id: id.into(),
            address,
            service: service.into(),
            profile,
            state: Arc::new(Mutex::new(RunnerState::new())),
            slots: PrioritySlots::new(profile.slots),
            prefill_lock: Arc::default(),
            caches,
            sequence: Arc::default(),
            endless: EndlessLog::default(),
        };
        *locked(&cell) = Some(runner.clone());
        Ok(runner)
    }

    /// Writes its registration to the store, with the given `state`.
    pub fn register(&self, store: &StoreModel, state: &str) {
        let sequence = self.sequence.fetch_add(1, Ordering::Relaxed) + 1;
        let (version, born) = {
            let runner = locked(&self.state);
            (runner.version.clone(), 1_000 * runner.starts)
        };
        let mut registration = json!({
            "service": &*self.service, "address": self.address.to_string(), "zone": "zone-a",
            "version": version, "slots": self.profile.slots, "state": state,
            "cold_remaining_ms": 0, "sequence": sequence, "born": born,
        });
        if let Some(stage) = stage_name(self.kind()) {
            registration["stage"] = json!(stage);
        }
        store.put("keyed.servers", &self.id, Some(registration.to_string().as_bytes()));
    }

    /// Starts again with another version of its software, which it registers.
    pub fn restart_with_version(&self, store: &StoreModel, version: &str) {
        {
            let mut state = locked(&self.state);
            state.version = version.to_owned();
            state.starts += 1;
            state.segments.clear();
        }
        self.register(store, "ready");
    }

    /// Returns the version of its software.
    pub fn version(&self) -> String {
        locked(&self.state).version.clone()
    }

    /// Returns its current kind, which orders can change.
    pub fn kind(&self) -> RunnerKind {
        locked(&self.state).orders.kind(self.profile.kind)
    }

    /// Restores the kind with which it started, as an operator might.
    pub fn reset_kind(&self) {
        locked(&self.state).orders.reset_kind();
    }

    /// Returns the orders that it accepted, oldest first.
    pub fn orders(&self) -> Vec<OrderRecord> {
        locked(&self.state).orders.accepted().to_vec()
    }

    fn report(&self, headers: &HeaderMap) -> Response<StandInBody> {
        let report = locked(&self.state).orders.report(self.profile.kind);
        self.response(StatusCode::OK, headers, report)
    }

    fn accept_order(&self, headers: &HeaderMap, body: &Bytes) -> Response<StandInBody> {
        let status = locked(&self.state).orders.accept(body);
        self.response(status, headers, "")
    }

    /// Replaces the injected faults.
    pub fn set_faults(&self, faults: RunnerFaults) {
        locked(&self.state).faults = faults;
    }

    /// Returns all runs so far. Separate prefills are not included.
    pub fn runs(&self) -> Vec<RunRecord> {
        locked(&self.state).runs.clone()
    }

    /// Returns the number of prompts prefilled as a separate stage.
    pub fn prefills(&self) -> u64 {
        locked(&self.state).prefills
    }

    /// Returns when it declined requests.
    pub fn declined(&self) -> Vec<Instant> {
        locked(&self.state).declined.clone()
    }

    /// Returns how often a request imported another request's KV cache.
    pub fn foreign_caches(&self) -> u64 {
        locked(&self.state).foreign_caches
    }

    /// Returns the ids of requests whose connection closed during their run.
    pub fn left(&self) -> Vec<String> {
        locked(&self.state).cancelled.clone()
    }

    /// Returns the responses without end that it sent, oldest first.
    pub fn endless(&self) -> &EndlessLog {
        &self.endless
    }

    /// Builds a response without end, and records the run that it stands for.
    fn endless_response(&self, fault: EndlessFault, parts: &Parts) -> Response<StandInBody> {
        let id = header_text(&parts.headers, "request-id").unwrap_or_default();
        if fault.counts_as_run() {
            let path = parts.uri.path().to_owned();
            let record = RunRecord { request: id.clone(), path, at: Instant::now(), read: 0 };
            locked(&self.state).runs.push(record);
        }
        let mut response = Response::new(whole(""));
        response.extensions_mut().insert(fault.response(&id, &self.id, &self.endless));
        response
    }

    async fn handle(self, request: Request<Incoming>) -> Result<Response<StandInBody>, BrokenOff> {
        let (parts, body) = request.into_parts();
        let body = body.collect().await.map_err(|_| BrokenOff::Closed)?.to_bytes();
        let faults = locked(&self.state).faults.clone();
        if let Some(endless) = faults.endless.filter(|endless| endless.concerns(&parts)) {
            return Ok(self.endless_response(endless, &parts));
        }
        let cut_after =
            header_text(&parts.headers, "request-id").and_then(|id| trailing_number(&id));
        let is_run = !parts.headers.contains_key("serving-stage");
        let mut response = self.respond(parts, body).await?;
        if let (Some(cut), Some(bytes), true) = (faults.cut, cut_after, is_run) {
            response = response.map(|body| cut_body(body, bytes, cut, faults.unframed));
        }
        if faults.says_leaving {
            response.headers_mut().insert("server-leaving", HeaderValue::from_static("1"));
        }
        if faults.unframed {
            // The server ends a response of this version and unknown length with its connection.
            *response.version_mut() = Version::HTTP_10;
            response = response.map(|body| StreamBody::new(BodyStream::new(body)).boxed());
        }
        Ok(response)
    }

    async fn respond(self, parts: Parts, body: Bytes) -> Result<Response<StandInBody>, BrokenOff> {
        let path = parts.uri.path().to_owned();
        if header_text(&parts.headers, "expect-instance").is_some_and(|id| id != *self.id) {
            return Ok(self.response(StatusCode::MISDIRECTED_REQUEST, &parts.headers, ""));
        }
        match path.as_str() {
            "/report" => return Ok(self.report(&parts.headers)),
            "/order" => return Ok(self.accept_order(&parts.headers, &body)),
            _ => {}
        }
        if parts.method == Method::DELETE {
            let name = path.rsplit('/').next().unwrap_or("").to_owned();
            locked(&self.caches).remove(&name);
            return Ok(self.response(StatusCode::OK, &parts.headers, ""));
        }
        let faults = locked(&self.state).faults.clone();
        let wants_prefill =
            header_text(&parts.headers, "serving-stage").as_deref() == Some("prefill");
        if self.kind() != RunnerKind::Plain && wants_prefill != (self.kind() == RunnerKind::Prefill)
        {
            return Ok(self.response(StatusCode::MISDIRECTED_REQUEST, &parts.headers, ""));
        }
        if faults.decline || header_text(&parts.headers, "request-id").is_none() {
            return Ok(self.decline_response(&parts.headers));
        }
        if header_text(&parts.headers, "serving-stage").as_deref() == Some("prefill") {
            return self.prefill(&parts.headers, &faults).await;
        }
        if let Some(source) = header_text(&parts.headers, "kv-source")
            && !self.import_cache(&source, &parts.headers)
        {
            return Ok(self.decline_response(&parts.headers));
        }
        let from_cache = parts.headers.contains_key("kv-source");
        let deadline = header_text(&parts.headers, "deadline-ms").and_then(|t| t.parse().ok());
        let deadline = Instant::now() + Duration::from_millis(deadline.unwrap_or(60_000));
        let priority = header_text(&parts.headers, "request-priority").and_then(|t| t.parse().ok());
        let taken = tokio::time::timeout_at(deadline, self.slots.take(priority.unwrap_or(5))).await;
        let Ok(slot) = taken else { return Ok(self.decline_response(&parts.headers)) };
        let read = if from_cache { 0 } else { self.prefill_prompt(&parts.headers, 2).await };
        let id = header_text(&parts.headers, "request-id").unwrap_or_default();
        let record = RunRecord { request: id.clone(), path, at: Instant::now(), read };
        locked(&self.state).runs.push(record);
        if faults.poison.as_ref() == Some(&body) {
            sleep(self.profile.call_time).await;
            return Err(BrokenOff::Closed);
        }
        let running = RunGuard { runner: self.clone(), id: Some(id.clone()) };
        match self.kind() {
            RunnerKind::Plain => {
                sleep(self.profile.call_time).await;
                running.end();
                drop(slot);
                self.finish_call(&faults, &parts.headers, &id)
            }
            RunnerKind::Prefill | RunnerKind::Decode => {
                if faults.lose_answer {
                    return Err(BrokenOff::Closed);
                }
                if faults.fail {
                    running.end();
                    return Ok(self.response(
                        StatusCode::INTERNAL_SERVER_ERROR,
                        &parts.headers,
                        "failed",
                    ));
                }
                Ok(self.stream(&faults, &parts.headers, &id, slot, running))
            }
        }
    }

    fn finish_call(
        &self,
        faults: &RunnerFaults,
        headers: &HeaderMap,
        id: &str,
    ) -> Result<Response<StandInBody>, BrokenOff> {
        if faults.lose_answer {
            return Err(BrokenOff::Closed);
        }
        let (status, body) = match faults.fail {
            true => (StatusCode::INTERNAL_SERVER_ERROR, "failed".to_owned()),
            false => (StatusCode::OK, format!("answer to {id}")),
        };
        let mut response = self.response(status, headers, body);
        self.inject_header_faults(faults, &mut response);
        Ok(response)
    }

    fn inject_header_faults(&self, faults: &RunnerFaults, response: &mut Response<StandInBody>) {
        if faults.cross_answers {
            response
                .headers_mut()
                .insert("request-id", hyper::header::HeaderValue::from_static("other"));
        }
        if faults.unsigned {
            response.headers_mut().remove("server-signature");
        }
    }

    async fn prefill(
        &self,
        headers: &HeaderMap,
        faults: &RunnerFaults,
    ) -> Result<Response<StandInBody>, BrokenOff> {
        if self.kind() != RunnerKind::Prefill {
            return Ok(self.response(StatusCode::MISDIRECTED_REQUEST, headers, ""));
        }
        self.prefill_prompt(headers, 1).await;
        let id = header_text(headers, "request-id").unwrap_or_default();
        let number = {
            let mut state = locked(&self.state);
            state.prefills += 1;
            state.prefills
        };
        let handle = format!("{}-{number}", self.id);
        if !faults.forget_handles {
            locked(&self.caches).insert(handle.clone(), (self.address, id));
        }
        let body = json!({ "handle": handle, "tokens": 1, "version": 1 }).to_string();
        Ok(self.response(StatusCode::OK, headers, body))
    }

    fn import_cache(&self, source: &str, headers: &HeaderMap) -> bool {
        let Some((address, name)) = source.split_once('/') else { return false };
        let Some((holder, owner)) = locked(&self.caches).remove(name) else { return false };
        if header_text(headers, "request-id").as_deref() != Some(&owner) {
            locked(&self.state).foreign_caches += 1;
        }
        holder.to_string() == address
    }

    /// Prefills the segments of a prompt that are not cached, and returns their length
    /// in tokens. `slowness` multiplies the duration.
    async fn prefill_prompt(&self, headers: &HeaderMap, slowness: u64) -> u64 {
        let prefix = header_text(headers, "prompt-prefix").unwrap_or_default();
        let mut uncached = 0;
        {
            let mut state = locked(&self.state);
            for (id, tokens) in prefix.split(',').filter_map(|segment| segment.split_once(':')) {
                let tokens = tokens.parse::<u64>().unwrap_or(0);
                let cached = state.segments.iter().position(|(known, _)| known == id);
                if cached.and_then(|index| state.segments.remove(index)).is_none() {
                    uncached += tokens;
                }
                state.segments.push_back((id.to_owned(), tokens));
            }
            // Evict the least recently used segments.
            while state.segments.iter().map(|(_, tokens)| tokens).sum::<u64>()
                > self.profile.memory_tokens
            {
                state.segments.pop_front();
            }
        }
        let time = Duration::from_millis(uncached * slowness / self.profile.tokens_per_ms.max(1));
        // A target prefills one prompt at a time.
        let _guard = self.prefill_lock.lock().await;
        sleep(time).await;
        uncached
    }

    fn stream(
        &self,
        faults: &RunnerFaults,
        headers: &HeaderMap,
        id: &str,
        slot: TakenSlot,
        running: RunGuard,
    ) -> Response<StandInBody> {
        let count = header_text(headers, "token-count").unwrap_or_default();
        let output: u64 = count.split_once(',').and_then(|(_, o)| o.parse().ok()).unwrap_or(1);
        let first =
            header_text(headers, "last-event-id").and_then(|t| t.parse().ok()).unwrap_or(0) + 1;
        let plan = StreamPlan {
            next: first,
            last: output.max(1),
            gap: faults.event_gap.unwrap_or(self.profile.event_gap),
            break_after: faults.break_after,
            id: id.to_owned(),
        };
        let events = unfold((plan, Some((slot, running))), |(mut plan, mut held)| async move {
            if plan.next > plan.last {
                if let Some((slot, running)) = held.take() {
                    running.end();
                    drop(slot);
                }
                return None;
            }
            sleep(plan.gap).await;
            if plan.break_after.is_some_and(|after| plan.next > after) {
                return Some((Err(BrokenOff::Closed), (plan, held)));
            }
            let event = format!("id: {}\ndata: {} {}\n\n", plan.next, plan.id, plan.next);
            plan.next += 1;
            Some((Ok(Frame::data(Bytes::from(event))), (plan, held)))
        });
        let mut response = self.response(StatusCode::OK, headers, "");
        *response.body_mut() = StreamBody::new(events).boxed();
        let kind = hyper::header::HeaderValue::from_static("text/event-stream");
        response.headers_mut().insert(hyper::header::CONTENT_TYPE, kind);
        self.inject_header_faults(faults, &mut response);
        response
    }

    fn decline_response(&self, headers: &HeaderMap) -> Response<StandInBody> {
        let retry_after = {
            let mut state = locked(&self.state);
            state.declined.push(Instant::now());
            state.faults.retry_after.clone()
        };
        let mut response = self.response(StatusCode::SERVICE_UNAVAILABLE, headers, "");
        response.headers_mut().insert("not-executed", hyper::header::HeaderValue::from_static("1"));
        if let Some(Ok(value)) = retry_after.map(HeaderValue::try_from) {
            response.headers_mut().insert("retry-after", value);
        }
        response
    }

    fn response(
        &self,
        status: StatusCode,
        headers: &HeaderMap,
        body: impl Into<Bytes>,
    ) -> Response<StandInBody> {
        let mut response = Response::new(whole(body));
        *response.status_mut() = status;
        if let Some(id) = headers.get("request-id") {
            response.headers_mut().insert("request-id", id.clone());
        }
        if let Ok(signature) = hyper::header::HeaderValue::from_str(&format!("{}.1", self.id)) {
            response.headers_mut().insert("server-signature", signature);
        }
        response
    }
}

struct StreamPlan {
    next: u64,
    last: u64,
    gap: Duration,
    break_after: Option<u64>,
    id: String,
}

/// Records a run as cancelled if dropped before [`end`](Self::end).
struct RunGuard {
    runner: RunnerModel,
    id: Option<String>,
}

impl RunGuard {
    fn end(mut self) {
        self.id = None;
    }
}

impl Drop for RunGuard {
    fn drop(&mut self) {
        if let Some(id) = self.id.take() {
            locked(&self.runner.state).cancelled.push(id);
        }
    }
}

/// Breaks a body off after `limit` bytes, unless it ends before.
fn cut_body(body: StandInBody, limit: usize, cut: BrokenOff, unframed: bool) -> StandInBody {
    let frames = unfold((body, Some(limit)), move |(mut body, left)| async move {
        let Some(left) = left else {
            // Lets the server write the bytes before the error discards them.
            sleep(FLUSH_TIME).await;
            return match (cut, unframed) {
                (BrokenOff::Closed, true) => None,
                (cut, _) => Some((Err(cut), (body, None))),
            };
        };
        let data = body.frame().await?.ok()?.into_data().ok()?;
        let left = left.checked_sub(data.len()).ok_or(left);
        let (data, left) = match left {
            Ok(left) => (data, Some(left)),
            Err(last) => (data.slice(..last), None),
        };
        Some((Ok(Frame::data(data)), (body, left)))
    });
    StreamBody::new(frames).boxed()
}

fn trailing_number(id: &str) -> Option<usize> {
    id.rsplit_once('-')?.1.parse().ok()
}

fn header_text(headers: &HeaderMap, name: &str) -> Option<String> {
    headers.get(name)?.to_str().ok().map(str::to_owned)
}
