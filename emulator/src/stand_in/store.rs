//! Stand-in for the platform's store: keyed topics with offsets and long polls.

use std::{
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use base64::{Engine, engine::general_purpose::STANDARD};
use bytes::{Buf, BufMut, Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::{
    Request, Response, StatusCode,
    body::Incoming,
    header::{CONTENT_LENGTH, HeaderValue},
};
use serde_json::json;
use tokio::sync::Notify;

use super::{
    BrokenOff, StandInBody,
    peer_relay::PeerRelay,
    throttle::{LinkRate, ThrottledLink},
    whole,
};

/// Faults to inject into the store's HTTP interface.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct StoreFaults {
    /// Neither executes nor responds to calls; connections stay open.
    pub silent: bool,
    /// Responds 503 to every call.
    pub busy: bool,
    /// Executes appends and closes the connection without a response.
    pub lose_append_responses: bool,
    /// Responds 503 to every second call, as a store that sheds load does.
    pub alternate_busy: bool,
    /// Executes appends after this delay and closes the connection without a response.
    pub append_delay: Option<Duration>,
    /// Responds to a long poll only after its full wait, whatever was appended meanwhile.
    pub delay_long_polls: bool,
    /// Delay before each call is handled.
    pub delay: Duration,
    /// Closes connections without a response, held long polls included.
    pub away: bool,
    /// Does not state its generation.
    pub hides_generation: bool,
}

/// Restore of the store from an older copy.
#[derive(Debug, Clone, Copy)]
pub struct StoreRestore {
    /// Age of the copy as the store goes away. Records written since are lost.
    pub copy_age: Duration,
    /// Time for which the store is away.
    pub away: Duration,
    /// Whether connections stay open and long polls are held over the restore. The store does
    /// not respond meanwhile.
    pub holds_polls: bool,
    /// Time from its return until lost records of the operator and the targets are written again.
    pub rewrite_delay: Duration,
}

/// Largest size of the records of a read that states none, in KiB. One record is sent whatever its
/// size is.
const DEFAULT_PAGE_KIB: usize = 1024;

/// Topics that the operator and the targets write.
const FOREIGN_TOPICS: [&str; 2] = ["keyed.op", "keyed.servers"];
/// Topic in which the entries publish their addresses.
const PEER_TOPIC: &str = "keyed.entries";

#[derive(Debug, Clone)]
struct Record {
    at: Instant,
    content: Bytes,
}

#[derive(Debug, Default)]
struct Topic {
    /// All records, also those that readers cannot get any more.
    records: Vec<Record>,
    /// Number of records that were deleted.
    first: usize,
}

impl Topic {
    fn end(&self) -> u64 {
        self.records.len() as u64
    }

    /// Returns the newest value of each key, with its offset. Removed keys are left out.
    fn newest(&self) -> BTreeMap<String, (Bytes, u64)> {
        let mut newest = BTreeMap::new();
        for (offset, record) in self.records.iter().enumerate() {
            let (key, value) = split(&record.content);
            match value.is_empty() {
                true => newest.remove(&key),
                false => newest.insert(key, (value, offset as u64)),
            };
        }
        newest
    }

    /// Drops the records written after a time, and returns the contents of the newest of each key
    /// among them.
    fn truncate(&mut self, copied: Instant) -> Vec<Bytes> {
        let kept = self.records.partition_point(|record| record.at <= copied);
        let lost = self.records.split_off(kept);
        self.first = self.first.min(kept);
        let newest: BTreeMap<String, Bytes> =
            lost.into_iter().map(|record| (split(&record.content).0, record.content)).collect();
        newest.into_values().collect()
    }
}

/// Splits the content of a record into its key and value.
fn split(content: &Bytes) -> (String, Bytes) {
    let mut rest = content.clone();
    let length = rest.get_u8() as usize;
    (String::from_utf8_lossy(&rest.split_to(length)).into_owned(), rest)
}

#[derive(Debug, Default)]
struct StoreState {
    topics: HashMap<String, Topic>,
    faults: StoreFaults,
    /// Link that carries the responses; `None` if their size takes no time.
    link: Option<ThrottledLink>,
    calls: u64,
    /// Number of restores from an older copy.
    restores: u64,
}

/// Store that tests and targets write to directly and processes access over HTTP.
#[derive(Debug, Clone, Default)]
pub struct StoreModel {
    state: Arc<Mutex<StoreState>>,
    changed: Arc<Notify>,
    /// Relay behind which the reader with this address sees the other entries.
    relay: Option<(PeerRelay, SocketAddr)>,
}

impl StoreModel {
    fn state(&self) -> MutexGuard<'_, StoreState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the store as an entry sees it that reaches the others through a relay.
    pub fn seen_by(&self, reader: SocketAddr, relay: PeerRelay) -> StoreModel {
        StoreModel { relay: Some((relay, reader)), ..self.clone() }
    }

    /// Returns a topic's record as its reader sees it.
    fn shown(&self, topic: &str, record: &Bytes) -> Bytes {
        match &self.relay {
            Some((relay, reader)) if topic == PEER_TOPIC => relay.seen_by(*reader, record).into(),
            _ => record.clone(),
        }
    }

    /// Replaces the injected faults.
    pub fn set_faults(&self, faults: StoreFaults) {
        self.state().faults = faults;
        self.changed.notify_waiters();
    }

    /// Sends the bodies of responses over a link of this rate.
    pub fn set_link(&self, rate: LinkRate) {
        self.state().link = Some(ThrottledLink::new(rate));
    }

    /// Returns the number of calls received over HTTP.
    pub fn calls(&self) -> u64 {
        self.state().calls
    }

    /// Appends a new value for a key; `None` or an empty value deletes the key.
    pub fn put(&self, topic: &str, key: &str, value: Option<&[u8]>) {
        let mut content = BytesMut::new();
        content.put_u8(key.len() as u8);
        content.put_slice(key.as_bytes());
        content.put_slice(value.unwrap_or_default());
        self.append(topic, content.freeze());
    }

    /// Deletes all records of a topic; the newest value of each key stays available.
    pub fn compact(&self, topic: &str) {
        let mut state = self.state();
        let Some(topic) = state.topics.get_mut(topic) else { return };
        topic.first = topic.records.len();
    }

    /// Returns the keys of a topic that have a value, with it.
    pub fn values(&self, topic: &str) -> BTreeMap<String, Bytes> {
        let state = self.state();
        let newest = state.topics.get(topic).map(Topic::newest).unwrap_or_default();
        newest.into_iter().map(|(key, (value, _))| (key, value)).collect()
    }

    /// Takes the store away and brings it back from an older copy, which loses what was written
    /// since. The operator and the targets then write theirs again.
    pub async fn restore(&self, restore: StoreRestore) {
        let left = Instant::now();
        let set_away = |away| {
            let faults = &mut self.state().faults;
            if restore.holds_polls {
                faults.silent = away;
            } else {
                faults.away = away;
            }
        };
        set_away(true);
        self.changed.notify_waiters();
        tokio::time::sleep(restore.away).await;
        let copied = left.checked_sub(restore.copy_age).unwrap_or(left);
        let mut lost = Vec::new();
        {
            let mut state = self.state();
            state.restores += 1;
            for (name, topic) in &mut state.topics {
                let contents = topic.truncate(copied);
                if FOREIGN_TOPICS.contains(&name.as_str()) {
                    lost.extend(contents.into_iter().map(|content| (name.clone(), content)));
                }
            }
        }
        set_away(false);
        self.changed.notify_waiters();
        tokio::time::sleep(restore.rewrite_delay).await;
        for (topic, content) in lost {
            // What was written since the return is newer.
            if !self.has_newer(&topic, &content, left) {
                self.append(&topic, content);
            }
        }
    }

    fn has_newer(&self, topic: &str, content: &Bytes, since: Instant) -> bool {
        let key = split(content).0;
        let state = self.state();
        let records = state.topics.get(topic).map_or(&[][..], |topic| &topic.records);
        records.iter().any(|record| record.at > since && split(&record.content).0 == key)
    }

    fn append(&self, topic: &str, content: Bytes) -> u64 {
        let mut state = self.state();
        let topic = state.topics.entry(topic.to_owned()).or_default();
        let offset = topic.end();
        topic.records.push(Record { at: Instant::now(), content });
        drop(state);
        self.changed.notify_waiters();
        offset
    }

    /// Handles one HTTP call.
    ///
    /// # Errors
    /// Returns [`BrokenOff`] if the request body cannot be read or a fault loses the response.
    pub async fn handle(
        self,
        request: Request<Incoming>,
    ) -> Result<Response<StandInBody>, BrokenOff> {
        let (head, body) = self.clone().answer(request).await?.into_parts();
        let body = body.collect().await?.to_bytes();
        let state = self.state();
        if state.faults.away {
            return Err(BrokenOff::Closed);
        }
        let length = HeaderValue::from(body.len());
        let body = match &state.link {
            Some(link) => link.carry(body),
            None => whole(body),
        };
        let mut response = Response::from_parts(head, body);
        response.headers_mut().insert(CONTENT_LENGTH, length);
        if !state.faults.hides_generation {
            response.headers_mut().insert("store-era", HeaderValue::from(1 + state.restores));
        }
        Ok(response)
    }

    async fn answer(self, request: Request<Incoming>) -> Result<Response<StandInBody>, BrokenOff> {
        let (faults, calls) = {
            let mut state = self.state();
            state.calls += 1;
            (state.faults, state.calls)
        };
        if faults.away {
            return Err(BrokenOff::Closed);
        }
        if faults.silent {
            std::future::pending::<()>().await;
        }
        tokio::time::sleep(faults.delay).await;
        if faults.busy || (faults.alternate_busy && calls.is_multiple_of(2)) {
            return Ok(response(StatusCode::SERVICE_UNAVAILABLE, Bytes::new()));
        }
        let query = parse_query(request.uri().query().unwrap_or(""));
        let topic = query.get("topic").cloned().unwrap_or_default();
        match request.uri().path() {
            "/log-append" => {
                let body =
                    request.into_body().collect().await.map_err(|_| BrokenOff::Closed)?.to_bytes();
                if let Some(append_delay) = faults.append_delay {
                    tokio::spawn(async move {
                        tokio::time::sleep(append_delay).await;
                        self.append_all(&topic, body);
                    });
                    return Err(BrokenOff::Closed);
                }
                let at = query.get("at").and_then(|text| text.parse().ok());
                let answer = self.append_all_at(&topic, at, body);
                if faults.lose_append_responses { Err(BrokenOff::Closed) } else { Ok(answer) }
            }
            "/log-newest" => Ok(self.newest(&topic)),
            "/log-read" => Ok(self.read(&topic, &query).await),
            _ => Ok(response(StatusCode::NOT_FOUND, Bytes::new())),
        }
    }

    /// Appends records, unless the topic does not end at the stated offset.
    fn append_all_at(&self, topic: &str, at: Option<u64>, body: Bytes) -> Response<StandInBody> {
        let end = self.state().topics.get(topic).map_or(0, Topic::end);
        if at.is_some_and(|at| at != end) {
            return response(StatusCode::PRECONDITION_FAILED, json!({ "end": end }).to_string());
        }
        self.append_all(topic, body)
    }

    fn append_all(&self, topic: &str, mut body: Bytes) -> Response<StandInBody> {
        let mut first = None;
        while body.remaining() >= 4 {
            let length = body.get_u32() as usize;
            if body.remaining() < length {
                return response(StatusCode::BAD_REQUEST, Bytes::new());
            }
            let offset = self.append(topic, body.split_to(length));
            first.get_or_insert(offset);
        }
        let offset = first.unwrap_or(0);
        response(StatusCode::OK, json!({ "offset": offset, "end": offset + 1 }).to_string())
    }

    fn newest(&self, name: &str) -> Response<StandInBody> {
        let mut state = self.state();
        let topic = state.topics.entry(name.to_owned()).or_default();
        let newest = topic.newest();
        let items = newest.iter().map(|(key, (value, offset))| {
            let value = STANDARD.encode(self.shown(name, value));
            json!({ "key": key, "value": value, "offset": offset })
        });
        let items: Vec<_> = items.collect();
        let answer = json!({ "items": items, "has_more": false, "end": topic.end() });
        response(StatusCode::OK, answer.to_string())
    }

    async fn read(&self, topic: &str, query: &HashMap<String, String>) -> Response<StandInBody> {
        let number =
            |name| query.get(name).and_then(|text: &String| text.parse().ok()).unwrap_or(0);
        let from: u64 = number("from");
        let limit = query.get("max_kb").and_then(|text| text.parse().ok());
        let limit = limit.unwrap_or(DEFAULT_PAGE_KIB) * 1024;
        let wait = Duration::from_millis(number("wait_ms"));
        let deadline = tokio::time::Instant::now() + wait;
        loop {
            let changed = self.changed.notified();
            if self.state().faults.silent {
                changed.await;
                continue;
            }
            if self.state().faults.away {
                return response(StatusCode::SERVICE_UNAVAILABLE, Bytes::new());
            }
            if let Some(answer) = self.read_now(topic, from, limit) {
                return answer;
            }
            if self.state().faults.delay_long_polls {
                tokio::time::sleep_until(deadline).await;
            }
            if tokio::time::timeout_at(deadline, changed).await.is_err() {
                return self.read_now(topic, from, limit).unwrap_or_else(|| page(from, 0, &[]));
            }
        }
    }

    fn read_now(&self, name: &str, from: u64, limit: usize) -> Option<Response<StandInBody>> {
        let mut state = self.state();
        let topic = state.topics.entry(name.to_owned()).or_default();
        let first = topic.first as u64;
        if from < first || from > topic.end() {
            return Some(response(StatusCode::GONE, json!({ "first": first }).to_string()));
        }
        let records = &topic.records[from as usize..];
        let mut bytes = 0;
        let fits = |record: &&Record| {
            let is_first = bytes == 0;
            bytes += 4 + record.content.len();
            is_first || bytes <= limit
        };
        let records = &records[..records.iter().take_while(fits).count()];
        let shown = |record: &Record| Record {
            content: self.shown(name, &record.content),
            ..record.clone()
        };
        let records: Vec<Record> = records.iter().map(shown).collect();
        (!records.is_empty()).then(|| page(topic.end(), first, &records))
    }
}

fn page(end: u64, first: u64, records: &[Record]) -> Response<StandInBody> {
    let mut body = BytesMut::new();
    body.put_u64(end);
    body.put_u64(first);
    for record in records {
        body.put_u32(record.content.len() as u32);
        body.put_slice(&record.content);
    }
    response(StatusCode::OK, body.freeze())
}

fn response(status: StatusCode, body: impl Into<Bytes>) -> Response<StandInBody> {
    let mut response = Response::new(whole(body));
    *response.status_mut() = status;
    response
}

fn parse_query(text: &str) -> HashMap<String, String> {
    let pairs = text.split('&').filter_map(|pair| pair.split_once('='));
    pairs.map(|(name, value)| (name.to_owned(), value.to_owned())).collect()
}
