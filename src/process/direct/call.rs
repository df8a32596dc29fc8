//! Calls to targets.

use std::{fmt, net::SocketAddr, rc::Rc, sync::Arc, time::Duration};

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::{
    Request, Response, StatusCode,
    header::{HeaderMap, HeaderValue},
    http::{request::Parts, response},
};
use strum::Display;
use tokio::{net::TcpStream, time::Instant};

use super::{
    fault::ResponseFault, pool::ConnectionLease, request_body::RequestBody, shell::DirectDriver,
};
use crate::{
    direct::{CallOutcome, CallStep, DirectEvent, DirectTarget},
    error::Result,
    platform::runner::{self, HeadSummary, ResponseOutcome},
    process::read_limit::ReceivedBody,
};

/// Largest body of a response that is not passed on to the caller.
const MAX_SHORT_BODY_BYTES: usize = 64 * 1024;
/// Longest time of such a body after its head. Targets send both at once; the time leaves room
/// for a lost packet.
const MAX_SHORT_BODY_TIME: Duration = Duration::from_millis(300);
/// Time after which a target that does not take a connection counts as gone.
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);
/// Timeout of a request that frees a KV cache.
const FREE_TIMEOUT: Duration = Duration::from_secs(1);

/// Caller's request that calls are built from.
pub(super) struct CallerRequest {
    pub(super) parts: Parts,
    /// Headers that are forwarded to targets.
    pub(super) forwarded: HeaderMap,
    pub(super) id: HeaderValue,
    pub(super) body: RequestBody,
}

/// Target of a call, and what the call asks of it.
pub(super) struct CallSpec {
    pub(super) target: Arc<DirectTarget>,
    pub(super) step: CallStep,
    pub(super) time_left: Duration,
    pub(super) priority: u8,
    /// Address of the engine that the target copies the beginning of the prompt from.
    pub(super) copy_source: Option<SocketAddr>,
    pub(super) connection: ConnectionChoice,
}

/// Connection that a call may use.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ConnectionChoice {
    /// One that has carried other calls, if there is one.
    Any,
    /// A new one.
    ///
    /// Calls for one request bear one id. On a connection that has carried such a call, a
    /// response that its target writes once more cannot be told from the one to a later call.
    New,
}

/// Response whose head was read and whose body is still to come.
pub(super) struct PendingResponse {
    pub(super) target: Arc<DirectTarget>,
    pub(super) response: Response<ReceivedBody>,
    pub(super) lease: ConnectionLease,
}

/// What a call's outcome was decided from, for the log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum ResponseEvidence {
    /// No head was read.
    Failure(SendFailure),
    /// A head was read.
    Head(HeadSummary),
}

impl fmt::Display for ResponseEvidence {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ResponseEvidence::Failure(failure) => failure.fmt(f),
            ResponseEvidence::Head(summary) => summary.fmt(f),
        }
    }
}

/// Failure of a call before the head of its response was read.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
#[strum(serialize_all = "snake_case")]
pub(super) enum SendFailure {
    /// Nothing was sent.
    Unsent,
    /// The connection ended; the target may have run the request.
    Closed,
    /// What came is no head; the target may have run the request.
    Malformed,
}

impl SendFailure {
    fn outcome(self) -> CallOutcome {
        match self {
            SendFailure::Unsent => CallOutcome::Unreachable,
            SendFailure::Closed => CallOutcome::Lost { closed: true },
            SendFailure::Malformed => CallOutcome::Lost { closed: false },
        }
    }
}

/// Outcome of a call, with the response if it is to reach the caller.
pub(super) struct CallResult {
    pub(super) outcome: CallOutcome,
    pub(super) evidence: ResponseEvidence,
    pub(super) pending: Option<PendingResponse>,
}

impl CallResult {
    fn failed(failure: SendFailure) -> CallResult {
        let evidence = ResponseEvidence::Failure(failure);
        CallResult { outcome: failure.outcome(), evidence, pending: None }
    }
}

/// Makes a call.
pub(super) async fn call(
    driver: &Rc<DirectDriver>,
    caller_request: &CallerRequest,
    spec: &CallSpec,
) -> CallResult {
    let request = runner::call_request(
        &caller_request.parts,
        &caller_request.forwarded,
        &spec.target,
        &spec.step,
        spec.time_left,
        spec.priority,
        spec.copy_source,
    );
    let request = match request {
        Ok(request) => request.map(|()| Full::new(caller_request.body.bytes.clone())),
        Err(error) => {
            log::warn!(target_id:% = spec.target.id, error:% = error; "failed to build call");
            return CallResult::failed(SendFailure::Unsent);
        }
    };
    match send(driver, &spec.target, request, spec.connection).await {
        Ok((response, lease)) => read_response(driver, caller_request, spec, response, lease).await,
        Err(failure) => CallResult::failed(failure),
    }
}

/// Sends a request at most once.
///
/// A new connection is tried only if a pooled one returned the request unsent.
async fn send(
    driver: &Rc<DirectDriver>,
    target: &DirectTarget,
    request: Request<Full<Bytes>>,
    connection: ConnectionChoice,
) -> Result<(Response<ReceivedBody>, ConnectionLease), SendFailure> {
    let called = Instant::now();
    let id = runner::request_id(request.headers()).cloned();
    let (response, lease) = send_once(driver, target, request, connection).await?;
    // What an earlier response states may not hold any more.
    if runner::is_response_to(response.headers(), response.extensions(), id.as_ref()) {
        driver.record_statements(target, called, response.status(), response.headers());
    }
    Ok((response, lease))
}

async fn send_once(
    driver: &DirectDriver,
    target: &DirectTarget,
    request: Request<Full<Bytes>>,
    connection: ConnectionChoice,
) -> Result<(Response<ReceivedBody>, ConnectionLease), SendFailure> {
    let address = target.address;
    let mut unsent = request;
    let idle = match connection {
        ConnectionChoice::Any => driver.pools.take_idle(address),
        ConnectionChoice::New => None,
    };
    if let Some(mut lease) = idle {
        match lease.sender.try_send_request(unsent).await {
            Ok(response) => return Ok((response, lease)),
            Err(mut error) => match error.take_message() {
                Some(request) => unsent = request,
                None => return Err(lost_response(driver, target, &error.into_error())),
            },
        }
    }
    let mut lease =
        driver.pools.connect(address, driver.connection_limit(target)).await.map_err(|error| {
            log::debug!(address:% = address, error:% = error; "failed to connect to target");
            SendFailure::Unsent
        })?;
    match lease.sender.try_send_request(unsent).await {
        Ok(response) => Ok((response, lease)),
        Err(mut error) => match error.take_message() {
            Some(_) => Err(SendFailure::Unsent),
            None => Err(lost_response(driver, target, &error.into_error())),
        },
    }
}

fn lost_response(
    driver: &DirectDriver,
    target: &DirectTarget,
    error: &hyper::Error,
) -> SendFailure {
    match ResponseFault::of(error) {
        Some(fault) => {
            driver.record_fault(target, fault, error);
            SendFailure::Malformed
        }
        None => {
            log::debug!(target_id:% = target.id, error:% = error; "response lost");
            SendFailure::Closed
        }
    }
}

async fn read_response(
    driver: &Rc<DirectDriver>,
    caller_request: &CallerRequest,
    spec: &CallSpec,
    response: Response<ReceivedBody>,
    lease: ConnectionLease,
) -> CallResult {
    let (parts, body) = response.into_parts();
    let evidence = ResponseEvidence::Head(HeadSummary::of(&parts, &caller_request.id));
    let head = runner::classify_response(&parts, &caller_request.id);
    let (outcome, pending) = match head {
        ResponseOutcome::NotRun | ResponseOutcome::WrongTarget => {
            discard_short_body(driver, &spec.target, parts.headers, body, lease);
            let outcome = match head {
                ResponseOutcome::WrongTarget => CallOutcome::WrongTarget,
                _ => CallOutcome::Declined,
            };
            (outcome, None)
        }
        _ if spec.step == CallStep::Prefill => {
            (read_prefill(driver, caller_request, spec, parts, body, lease).await, None)
        }
        ResponseOutcome::Success | ResponseOutcome::Failure => {
            let success = head == ResponseOutcome::Success;
            let (target, response) = (spec.target.clone(), Response::from_parts(parts, body));
            let pending = PendingResponse { target, response, lease };
            (CallOutcome::Answered { success }, Some(pending))
        }
        ResponseOutcome::Invalid => (CallOutcome::Lost { closed: false }, None),
    };
    CallResult { outcome, evidence, pending }
}

/// Reads the response to a prefill that its target has not refused.
async fn read_prefill(
    driver: &DirectDriver,
    caller_request: &CallerRequest,
    spec: &CallSpec,
    head: response::Parts,
    body: ReceivedBody,
    lease: ConnectionLease,
) -> CallOutcome {
    if !runner::is_response_to(&head.headers, &head.extensions, Some(&caller_request.id)) {
        return CallOutcome::Lost { closed: false };
    }
    if head.status != StatusCode::OK {
        return CallOutcome::PrefillRan;
    }
    let body = read_short_body(driver, &spec.target, &head.headers, body, lease).await;
    match body.as_ref().map(runner::decode_prefill_handle) {
        Some(Ok(handle)) => CallOutcome::Prefilled { handle },
        _ if runner::is_signed(&head.headers) => CallOutcome::PrefillRan,
        _ => CallOutcome::Lost { closed: false },
    }
}

/// Reads the body of a response whose head has said all, without keeping the request waiting.
fn discard_short_body(
    driver: &Rc<DirectDriver>,
    target: &Arc<DirectTarget>,
    headers: HeaderMap,
    body: ReceivedBody,
    lease: ConnectionLease,
) {
    let (driver, target) = (driver.clone(), target.clone());
    tokio::task::spawn_local(async move {
        read_short_body(&driver, &target, &headers, body, lease).await;
    });
}

/// Reads a short response to its end, so that its connection can be reused.
async fn read_short_body(
    driver: &DirectDriver,
    target: &DirectTarget,
    headers: &HeaderMap,
    body: ReceivedBody,
    lease: ConnectionLease,
) -> Option<Bytes> {
    let collecting = Limited::new(body, MAX_SHORT_BODY_BYTES).collect();
    match tokio::time::timeout(MAX_SHORT_BODY_TIME, collecting).await {
        Ok(Ok(body)) => {
            if !runner::closes_connection(headers) {
                driver.pools.return_idle(lease, runner::keep_alive_timeout(headers));
            }
            Some(body.to_bytes())
        }
        Ok(Err(error)) => {
            match ResponseFault::of(&*error) {
                Some(fault) => driver.record_fault(target, fault, &*error),
                None => log::debug!(error:% = error; "short response broke off"),
            }
            None
        }
        Err(elapsed) => {
            driver.record_fault(target, ResponseFault::SlowBody, &elapsed);
            None
        }
    }
}

/// Finds out whether a target still takes connections.
///
/// The connection of the probe is closed unused; a target at its limit of connections resets
/// it only after it was established.
pub(super) async fn probe(driver: Rc<DirectDriver>, target: Arc<DirectTarget>) {
    let asked = Instant::now();
    let connecting = TcpStream::connect(target.address);
    let gone = !matches!(tokio::time::timeout(PROBE_TIMEOUT, connecting).await, Ok(Ok(_)));
    log::info!(target_id:% = target.id, gone:% = gone; "connection to target broke");
    let start = (target.id.clone(), target.born_ms);
    driver.step(DirectEvent::TargetProbed { start, age: asked.elapsed(), gone });
}

/// Frees a KV cache. If this fails, the cache expires by itself.
pub(super) async fn free_cache(
    driver: Rc<DirectDriver>,
    target: Arc<DirectTarget>,
    handle: Arc<str>,
) {
    let request = match runner::free_cache_request(&target, &handle) {
        Ok(request) => request.map(Full::new),
        Err(error) => {
            log::warn!(
                target_id:% = target.id, error:% = error;
                "failed to build request to free KV cache"
            );
            return;
        }
    };
    let freeing = async {
        let sending = send(&driver, &target, request, ConnectionChoice::Any);
        let (response, lease) = sending.await.ok()?;
        let (parts, body) = response.into_parts();
        read_short_body(&driver, &target, &parts.headers, body, lease).await
    };
    if !matches!(tokio::time::timeout(FREE_TIMEOUT, freeing).await, Ok(Some(_))) {
        log::info!(
            target_id:% = target.id;
            "KV cache not freed: no response; it expires by itself"
        );
    }
}
