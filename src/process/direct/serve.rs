//! Callers' connections and requests.

use std::{convert::Infallible, net::SocketAddr, rc::Rc, time::Duration};

use bytes::Bytes;
use http_body_util::{BodyExt, Empty, LengthLimitError, Limited};
use hyper::{
    Request, Response, StatusCode,
    body::{Body, Incoming},
    header::{CONNECTION, HeaderValue},
    server::conn::http1,
    service::service_fn,
};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::{
    net::{TcpListener, TcpSocket, TcpStream},
    sync::mpsc,
};

use super::{
    answer::{AnswerBody, FlowGuard, TargetBody},
    call::{self, CallContent, CallOrder, HeldAnswer},
    shell::{ConnectionPhase, DirectShell},
};
use crate::{
    direct::{DirectAction, DirectEvent, FlowId},
    error::{Error, ErrorCode, Result},
    platform::{
        caller::{self, RequestRejection, ValidatedHead},
        runner,
    },
    process::dial,
};

/// Connections that wait to be accepted.
const BACKLOG: u32 = 1024;
/// Pause after a failed accept, for example where descriptors have run out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// Bytes of a request head before the configuration is known.
const START_HEAD_BYTES: usize = 16 * 1024;
/// Longest time for which the first connections wait after a start; callers
/// give a connection one second.
const START_WAIT: Duration = Duration::from_millis(400);
/// Interval at which a starting process looks whether it can serve.
const START_POLL: Duration = Duration::from_millis(10);
/// Mean time after which callers come back to a process that knows no configuration.
const RETURN_TIME: Duration = Duration::from_millis(400);
/// Smallest buffer that the HTTP library accepts.
const LEAST_BUFFER: usize = 8 * 1024;
/// Idle time of a connection before the configuration is known.
const START_IDLE_TIME: Duration = Duration::from_secs(15);

/// Binds an address.
///
/// # Errors
/// Returns [`ErrorCode::Network`] where it cannot be bound.
pub(super) async fn bind(address: SocketAddr) -> Result<TcpListener> {
    let failed = |e| Error::new(ErrorCode::Network, format!("{address} ({e})"));
    let socket = if address.is_ipv4() { TcpSocket::new_v4() } else { TcpSocket::new_v6() };
    let socket = socket.map_err(failed)?;
    socket.set_reuseaddr(true).map_err(failed)?;
    socket.bind(address).map_err(failed)?;
    socket.listen(BACKLOG).map_err(failed)
}

/// Answers the balancer's question whether this process takes requests.
pub(super) async fn serve_readiness(listener: TcpListener, shell: Rc<DirectShell>) {
    loop {
        let Some(stream) = accept(&listener).await else { continue };
        let shell = shell.clone();
        tokio::task::spawn_local(async move {
            let service = service_fn(|_: Request<Incoming>| {
                let ready = shell.is_ready();
                let status = if ready { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
                let mut response = Response::new(Empty::<Bytes>::new());
                *response.status_mut() = status;
                std::future::ready(Ok::<_, Infallible>(response))
            });
            let served =
                http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
            if let Err(error) = served {
                log::debug!(error:% = error; "readiness connection ended");
            }
        });
    }
}

/// Serves callers.
///
/// A process that has just started lets its first connections wait until it
/// knows a configuration and targets: a store that answers gives both within
/// some milliseconds, and refusals of all first requests would come back
/// together.
pub(super) async fn serve_callers(listener: TcpListener, shell: Rc<DirectShell>) {
    let started = tokio::time::Instant::now();
    while !shell.is_ready() && started.elapsed() < START_WAIT {
        tokio::time::sleep(START_POLL).await;
    }
    loop {
        let Some(stream) = accept(&listener).await else { continue };
        tokio::task::spawn_local(serve_connection(stream, shell.clone()));
    }
}

pub(super) async fn accept(listener: &TcpListener) -> Option<TcpStream> {
    match listener.accept().await {
        Ok((stream, _)) => Some(stream),
        Err(error) => {
            log::warn!(error:% = error; "connection not accepted");
            tokio::time::sleep(ACCEPT_PAUSE).await;
            None
        }
    }
}

async fn serve_connection(stream: TcpStream, shell: Rc<DirectShell>) {
    if let Err(error) = dial::watch(&stream) {
        log::debug!(error:% = error; "connection without probes");
    }
    let limits = shell.routes().map(|routes| routes.limits);
    let head_bytes = limits.map_or(START_HEAD_BYTES, |limits| limits.head_bytes);
    let idle_time = limits.map_or(START_IDLE_TIME, |limits| limits.idle_time);
    let service = {
        let shell = shell.clone();
        service_fn(move |request| {
            let shell = shell.clone();
            async move { Ok::<_, Infallible>(serve_request(shell, request).await) }
        })
    };
    let mut builder = http1::Builder::new();
    builder.timer(TokioTimer::new());
    builder.header_read_timeout(idle_time);
    builder.max_buf_size(head_bytes.max(LEAST_BUFFER));
    let connection = builder.serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    let mut phase = shell.phase.subscribe();
    let ending = async move {
        // The sender lives as long as the shell, so an error cannot occur here.
        drop(phase.wait_for(|phase| *phase == ConnectionPhase::Ending).await);
    };
    tokio::pin!(ending);
    let served = tokio::select! {
        served = connection.as_mut() => served,
        () = &mut ending => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(error) = served {
        log::debug!(error:% = error; "caller's connection ended");
    }
}

/// Serves one request to its final answer.
async fn serve_request(shell: Rc<DirectShell>, request: Request<Incoming>) -> Response<AnswerBody> {
    let mut response = answer_request(&shell, request).await;
    if shell.is_stopping() {
        response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    response
}

async fn answer_request(
    shell: &Rc<DirectShell>,
    request: Request<Incoming>,
) -> Response<AnswerBody> {
    let (parts, body) = request.into_parts();
    let Some(routes) = shell.routes() else {
        return reject(RequestRejection::NotReady, None);
    };
    let head = match caller::validate_head(&parts, &routes) {
        Ok(head) => head,
        Err(rejection) => return reject(rejection, None),
    };
    let body = match read_body(body, routes.limits.body_bytes).await {
        Ok(body) => body,
        Err(rejection) => return reject(rejection, Some(&head.id)),
    };
    let core_request = head.to_direct_request(&parts, &body);
    let (flow, mailbox) = shell.open_flow();
    let name = String::from_utf8_lossy(head.id.as_bytes()).into_owned();
    let guard = FlowGuard::new(shell.clone(), flow, name);
    shell.step(DirectEvent::Submit { flow, request: Box::new(core_request) });
    let forwarded = caller::forwarded_headers(&parts.headers);
    let content = CallContent { parts, forwarded, id: head.id.clone(), body };
    follow_flow(shell, guard, mailbox, &head, content).await
}

fn reject(rejection: RequestRejection, id: Option<&HeaderValue>) -> Response<AnswerBody> {
    let text =
        id.map_or_else(String::new, |id| String::from_utf8_lossy(id.as_bytes()).into_owned());
    log::info!(request:% = text, status:% = rejection.status().as_u16(), fault:% = rejection; "request rejected");
    // Jitter keeps callers that were rejected together from retrying together.
    let delay = RETURN_TIME.mul_f64(rand::random_range(0.5..1.5));
    caller::rejection_response(rejection, id, delay).map(AnswerBody::own)
}

async fn read_body(body: Incoming, limit: usize) -> Result<Bytes, RequestRejection> {
    // A length that is announced is refused before the caller sends the rest.
    if body.size_hint().lower() > limit as u64 {
        return Err(RequestRejection::BodyTooLarge);
    }
    match Limited::new(body, limit).collect().await {
        Ok(body) => Ok(body.to_bytes()),
        Err(error) if error.is::<LengthLimitError>() => Err(RequestRejection::BodyTooLarge),
        Err(_) => Err(RequestRejection::BodyIncomplete),
    }
}

/// Carries out the machine's actions for one request until its final answer.
async fn follow_flow(
    shell: &Rc<DirectShell>,
    mut guard: FlowGuard,
    mut mailbox: mpsc::UnboundedReceiver<DirectAction>,
    head: &ValidatedHead,
    content: CallContent,
) -> Response<AnswerBody> {
    let flow = guard.flow;
    let mut held: Option<HeldAnswer> = None;
    let mut next = mailbox.recv().await;
    loop {
        match next {
            Some(DirectAction::Call { call, target, step, time_left, priority, .. }) => {
                held = None;
                let order = CallOrder { target, step, time_left, priority };
                next = tokio::select! {
                    biased;
                    action = mailbox.recv() => action,
                    (outcome, answer) = call::call(shell, &content, &order) => {
                        held = answer;
                        shell.step(DirectEvent::CallEnded { flow, call, outcome });
                        mailbox.recv().await
                    }
                };
            }
            Some(DirectAction::Deliver { time_left, .. }) => {
                if let Some(answer) = held.take() {
                    return deliver(guard, answer, time_left);
                }
                next = mailbox.recv().await;
            }
            Some(DirectAction::Fail { failure: answer, .. }) => {
                let response = caller::give_up_response(answer, &head.id);
                guard.set_status(response.status().as_u16());
                return response.map(AnswerBody::own);
            }
            Some(
                DirectAction::FreeCache { .. }
                | DirectAction::ReportCrashes(_)
                | DirectAction::PersistSuspect(_)
                | DirectAction::Claim
                | DirectAction::Order(_),
            ) => {
                next = mailbox.recv().await;
            }
            None => return lost_flow(guard.flow, head),
        }
    }
}

/// Answers a request that the machine no longer knows; this is a defect.
fn lost_flow(flow: FlowId, head: &ValidatedHead) -> Response<AnswerBody> {
    log::error!(flow:% = flow, request:? = head.id; "request without a decision");
    let mut response = Response::new(AnswerBody::own(Bytes::new()));
    *response.status_mut() = StatusCode::BAD_GATEWAY;
    response
}

fn deliver(mut guard: FlowGuard, answer: HeldAnswer, time_left: Duration) -> Response<AnswerBody> {
    let (parts, upstream) = answer.response.into_parts();
    guard.set_status(parts.status.as_u16());
    let (reusable, idle_limit) = TargetBody::reuse(&parts.headers);
    let body = TargetBody {
        upstream,
        lease: Some(answer.lease),
        idle_limit,
        reusable,
        guard,
        cut: Box::pin(tokio::time::sleep(time_left)),
        last_output: None,
    };
    let mut response = Response::new(AnswerBody::Target(Box::new(body)));
    *response.status_mut() = parts.status;
    *response.headers_mut() = runner::response_headers(&parts.headers);
    response
}
