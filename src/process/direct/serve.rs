//! Callers' connections and requests, and readiness probes.

use std::{
    collections::VecDeque,
    convert::Infallible,
    net::{IpAddr, SocketAddr},
    rc::Rc,
    time::Duration,
};

use bytes::Bytes;
use http_body_util::Empty;
use hyper::{
    Request, Response, StatusCode,
    body::Incoming,
    header::{CONNECTION, HeaderValue},
    server::conn::http1,
    service::service_fn,
};
use hyper_util::rt::{TokioIo, TokioTimer};
use smallvec::SmallVec;
use tokio::{
    net::{TcpListener, TcpSocket, TcpStream},
    sync::{mpsc, watch},
};

use super::{
    answer::{BodyError, FlowGuard, ResponseBody, TargetBody},
    call::{self, CallSpec, CallerRequest, ConnectionChoice, PendingResponse},
    caller_stream::{CallerStream, ConnectionReset},
    shell::{ConnectionGuard, ConnectionPhase, DirectDriver},
};
use crate::{
    direct::{DirectAction, DirectEvent, FailureReason, FlowId, RequestFailure},
    error::{Error, ErrorCode, Result},
    event_stream::StrayHeadScanner,
    platform::{
        caller::{self, RequestRejection, ValidatedHead},
        runner::{self, BodyFraming},
    },
    process::dial,
};

/// Length of the listen queue, in connections.
const LISTEN_BACKLOG: u32 = 1024;
/// Delay after a failed accept, for example when file descriptors have run out.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// Longest time for which connections wait after the start until the process is ready;
/// callers time out a connection after one second.
const STARTUP_WAIT: Duration = Duration::from_millis(400);
/// Interval at which a starting process checks whether it is ready.
const STARTUP_POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Mean `Retry-After` of a process that knows no configuration.
const MEAN_RETRY_AFTER: Duration = Duration::from_millis(400);
/// Smallest buffer of a connection. It holds larger heads than most configurations allow, as the
/// limit may be raised while the connection is open.
const MIN_BUFFER_BYTES: usize = 128 * 1024;
/// Times after the stop signal between which idle connections are closed.
const IDLE_CLOSE_TIMES: (Duration, Duration) =
    (Duration::from_millis(1000), Duration::from_millis(3000));
/// Idle timeout of a connection before the configuration is known.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(15);

/// Listens on an address.
///
/// # Errors
/// Returns [`ErrorCode::Network`] if the address cannot be bound.
pub(super) async fn bind(address: SocketAddr) -> Result<TcpListener> {
    let failed = |e| Error::new(ErrorCode::Network, format!("{address} ({e})"));
    let socket = if address.is_ipv4() { TcpSocket::new_v4() } else { TcpSocket::new_v6() };
    let socket = socket.map_err(failed)?;
    socket.set_reuseaddr(true).map_err(failed)?;
    socket.bind(address).map_err(failed)?;
    socket.listen(LISTEN_BACKLOG).map_err(failed)
}

/// Answers the load balancer's readiness probes, on any path.
pub(super) async fn serve_readiness(listener: TcpListener, driver: Rc<DirectDriver>) {
    loop {
        let Some(stream) = accept(&listener).await else { continue };
        let driver = driver.clone();
        tokio::task::spawn_local(async move {
            let service = service_fn(|_: Request<Incoming>| {
                let ready = driver.is_ready();
                let status = if ready { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
                let mut response = Response::new(Empty::<Bytes>::new());
                *response.status_mut() = status;
                std::future::ready(Ok::<_, Infallible>(response))
            });
            let served =
                http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
            if let Err(error) = served {
                log::debug!(error:% = error; "readiness connection failed");
            }
        });
    }
}

/// Serves callers.
///
/// A process that has just started accepts no connections until it knows a configuration
/// and targets, or the startup wait is over. The store usually provides both within
/// milliseconds, while callers that were rejected would all retry together.
pub(super) async fn serve_callers(listener: TcpListener, driver: Rc<DirectDriver>) {
    let started = tokio::time::Instant::now();
    while !driver.is_ready() && started.elapsed() < STARTUP_WAIT {
        tokio::time::sleep(STARTUP_POLL_INTERVAL).await;
    }
    loop {
        let Some((stream, caller)) = accept_from(&listener).await else { continue };
        tokio::task::spawn_local(serve_connection(stream, caller.ip(), driver.clone()));
    }
}

pub(super) async fn accept(listener: &TcpListener) -> Option<TcpStream> {
    accept_from(listener).await.map(|(stream, _)| stream)
}

async fn accept_from(listener: &TcpListener) -> Option<(TcpStream, SocketAddr)> {
    match listener.accept().await {
        Ok(accepted) => Some(accepted),
        Err(error) => {
            log::warn!(error:% = error; "failed to accept connection");
            tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            None
        }
    }
}

async fn serve_connection(stream: TcpStream, caller: IpAddr, driver: Rc<DirectDriver>) {
    if let Err(error) = dial::set_socket_options(&stream) {
        log::debug!(error:% = error; "failed to set socket options");
    }
    let limits = driver.routes().map(|routes| routes.limits);
    let buffer_bytes = limits.map_or(0, |limits| limits.head_bytes).max(MIN_BUFFER_BYTES);
    let idle_time = limits.map_or(DEFAULT_IDLE_TIMEOUT, |limits| limits.idle_time);
    let reset = ConnectionReset::default();
    let stream = CallerStream::new(stream, reset.clone());
    let service = {
        let driver = driver.clone();
        let guard = ConnectionGuard::new(driver.clone());
        service_fn(move |mut request: Request<Incoming>| {
            let driver = driver.clone();
            guard.record_request();
            reset.attach(request.extensions_mut());
            async move {
                Ok::<_, Infallible>(serve_request(driver, request, caller, buffer_bytes).await)
            }
        })
    };
    let mut builder = http1::Builder::new();
    builder.timer(TokioTimer::new());
    builder.header_read_timeout(idle_time);
    builder.max_buf_size(buffer_bytes);
    let connection = builder.serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    let closing = wait_to_close(driver.connection_phase.subscribe());
    tokio::pin!(closing);
    let served = tokio::select! {
        biased;
        served = connection.as_mut() => served,
        () = &mut closing => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(error) = served {
        log::debug!(error:% = error; "caller connection failed");
    }
}

/// Waits until a connection is to be closed if it is idle, or after its current response.
///
/// One that is accepted afterwards has a request to come, whose response closes it. The
/// others close at times of their own, so that their callers do not all turn to other
/// entries at once.
async fn wait_to_close(mut phase: watch::Receiver<ConnectionPhase>) {
    if *phase.borrow() != ConnectionPhase::Open {
        return std::future::pending().await;
    }
    // The driver owns the sender, so this cannot fail.
    drop(phase.wait_for(|phase| *phase != ConnectionPhase::Open).await);
    let (first, last) = IDLE_CLOSE_TIMES;
    let spread = tokio::time::sleep(rand::random_range(first..last));
    tokio::select! {
        () = spread => {}
        _ = phase.wait_for(|phase| *phase == ConnectionPhase::CloseIdle) => {}
    }
}

/// Serves one request up to the head of its response. `buffer_bytes` is the largest head that the
/// connection can read.
async fn serve_request(
    driver: Rc<DirectDriver>,
    request: Request<Incoming>,
    caller: IpAddr,
    buffer_bytes: usize,
) -> Response<ResponseBody> {
    let mut response = handle_request(&driver, request, caller).await;
    let is_outgrown = driver.routes().is_some_and(|routes| routes.limits.head_bytes > buffer_bytes);
    if driver.is_stopping() || is_outgrown {
        response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    response
}

async fn handle_request(
    driver: &Rc<DirectDriver>,
    request: Request<Incoming>,
    caller: IpAddr,
) -> Response<ResponseBody> {
    let (parts, body) = request.into_parts();
    let Some(routes) = driver.routes() else {
        return reject(RequestRejection::NotReady, None);
    };
    let head = match caller::validate_head(&parts, &routes) {
        Ok(head) => head,
        Err(rejection) => {
            driver.metrics.record_rejection(rejection);
            return reject(rejection, caller::request_id(&parts.headers));
        }
    };
    driver.metrics.record_identity(&head.identity);
    let body = match driver.bodies.read(body, routes.limits.body_bytes).await {
        Ok(body) => body,
        Err(rejection) => return reject(rejection, Some(&head.id)),
    };
    let direct_request = head.to_direct_request(&parts, &body.bytes, caller);
    let (flow, actions) = driver.open_flow();
    let id_text = String::from_utf8_lossy(head.id.as_bytes()).into_owned();
    let guard = FlowGuard::new(driver.clone(), flow, id_text);
    driver.step(DirectEvent::Submit { flow, request: Box::new(direct_request) });
    let forwarded = head.forwarded_headers(&parts.headers);
    let request = CallerRequest { parts, forwarded, id: head.id.clone(), body };
    run_flow(driver, guard, actions, &head, request).await
}

fn reject(rejection: RequestRejection, id: Option<&HeaderValue>) -> Response<ResponseBody> {
    let id_text =
        id.map_or_else(String::new, |id| String::from_utf8_lossy(id.as_bytes()).into_owned());
    log::info!(
        request:% = id_text, status:% = rejection.status().as_u16(), fault:% = rejection;
        "request rejected"
    );
    // Jitter keeps callers that were rejected together from retrying together.
    let delay = MEAN_RETRY_AFTER.mul_f64(rand::random_range(0.5..1.5));
    caller::rejection_response(rejection, id, delay).map(ResponseBody::local)
}

/// Carries out the state machine's actions for one request until it has a response.
async fn run_flow(
    driver: &Rc<DirectDriver>,
    mut guard: FlowGuard,
    mut actions: mpsc::UnboundedReceiver<DirectAction>,
    head: &ValidatedHead,
    request: CallerRequest,
) -> Response<ResponseBody> {
    let flow = guard.flow;
    let mut pending: Option<PendingResponse> = None;
    let mut called: SmallVec<[SocketAddr; 4]> = SmallVec::new();
    let mut next = actions.recv().await;
    loop {
        match next {
            Some(DirectAction::Call {
                call,
                target,
                step,
                time_left,
                priority,
                copy_source,
                ..
            }) => {
                pending = None;
                let connection = match called.contains(&target.address) {
                    true => ConnectionChoice::New,
                    false => ConnectionChoice::Any,
                };
                called.push(target.address);
                let spec = CallSpec { target, step, time_left, priority, copy_source, connection };
                next = tokio::select! {
                    biased;
                    action = actions.recv() => action,
                    result = call::call(driver, &request, &spec) => {
                        guard.record_response(result.evidence);
                        pending = result.pending;
                        let outcome = result.outcome;
                        driver.step(DirectEvent::CallEnded { flow, call, outcome });
                        actions.recv().await
                    }
                };
            }
            Some(DirectAction::Deliver { time_left, .. }) => {
                if let Some(response) = pending.take() {
                    let reset = ConnectionReset::of(&request.parts);
                    let delivery = Delivery { reset, time_left, actions };
                    return deliver(guard, response, head, delivery).await;
                }
                next = actions.recv().await;
            }
            Some(DirectAction::Fail { failure, .. }) => {
                let response = caller::failure_response(failure, &head.id);
                guard.set_status(response.status().as_u16());
                return response.map(ResponseBody::local);
            }
            Some(
                DirectAction::BreakOff { .. }
                | DirectAction::FreeCache { .. }
                | DirectAction::PersistSuspect(_)
                | DirectAction::PersistEvidence(_)
                | DirectAction::ProbeTarget(_)
                | DirectAction::SendToPeers { .. }
                | DirectAction::ReadTargets
                | DirectAction::ReadVersions
                | DirectAction::PersistVersion(_)
                | DirectAction::Claim
                | DirectAction::Order(_)
                | DirectAction::Usage(_)
                | DirectAction::Scale(_),
            ) => {
                next = actions.recv().await;
            }
            None => return undecided_response(guard.flow, head),
        }
    }
}

/// Responds to a request that the state machine dropped without a decision, which is a bug.
fn undecided_response(flow: FlowId, head: &ValidatedHead) -> Response<ResponseBody> {
    log::error!(
        flow:% = flow, request:? = head.id;
        "state machine dropped a request without a decision"
    );
    let mut response = Response::new(ResponseBody::local(Bytes::new()));
    *response.status_mut() = StatusCode::BAD_GATEWAY;
    response
}

/// Responds to a request in place of a target's response of which nothing was passed on.
fn fail_held(
    mut body: TargetBody,
    error: BodyError,
    head: &ValidatedHead,
) -> Response<ResponseBody> {
    let reason = match error {
        BodyError::Stopping => FailureReason::Stopping,
        BodyError::TimedOut => FailureReason::TimedOut,
        BodyError::Target { .. } | BodyError::InsideEvent | BodyError::StrayHead => {
            FailureReason::OutcomeUnknown
        }
    };
    let failure = RequestFailure { reason, not_run: false, retry_after: Duration::ZERO };
    let response = caller::failure_response(failure, &head.id);
    body.guard.set_status(response.status().as_u16());
    response.map(ResponseBody::local)
}

/// How a target's response is forwarded, and what ends it early.
struct Delivery {
    reset: Option<ConnectionReset>,
    time_left: Duration,
    actions: mpsc::UnboundedReceiver<DirectAction>,
}

async fn deliver(
    mut guard: FlowGuard,
    pending: PendingResponse,
    head: &ValidatedHead,
    delivery: Delivery,
) -> Response<ResponseBody> {
    let held_part = guard.driver().held_part(guard.flow);
    let (parts, upstream) = pending.response.into_parts();
    guard.set_status(parts.status.as_u16());
    let framing = BodyFraming::of(&parts.headers, &upstream);
    guard.set_framing(framing);
    if framing == BodyFraming::Connection {
        guard.driver().step(DirectEvent::UnframedAnswer { flow: guard.flow });
    }
    let ends_at = tokio::time::Instant::now() + delivery.time_left;
    let (reusable, keep_alive) = TargetBody::connection_reuse(&parts.headers, framing);
    let is_event_stream = parts.status.is_success()
        && (head.route.streams || runner::is_event_stream(&parts.headers));
    let mut body = TargetBody {
        target: pending.target,
        upstream,
        lease: Some(pending.lease),
        keep_alive,
        reusable,
        stray_heads: is_event_stream.then(StrayHeadScanner::default),
        found_stray_head: false,
        reset: None,
        guard,
        actions: delivery.actions,
        timeout: Box::pin(tokio::time::sleep_until(ends_at)),
        last_output: None,
        held: VecDeque::new(),
        is_read: false,
    };
    body.finish_without_data();
    if let Err(error) = body.hold(held_part).await {
        return fail_held(body, error, head);
    }
    // One that has failed as a whole needs no reset.
    if let Some(reset) = delivery.reset {
        if !body.is_read {
            reset.limit_writes(Some(ends_at));
        }
        if framing != BodyFraming::Length {
            reset.arm();
        }
        body.reset = Some(reset);
    }
    let mut response = Response::new(ResponseBody::Target(Box::new(body)));
    *response.status_mut() = parts.status;
    *response.headers_mut() = runner::response_headers(&parts.headers);
    response
}
