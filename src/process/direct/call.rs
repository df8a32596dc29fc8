//! One call to a target.

use std::{rc::Rc, sync::Arc, time::Duration};

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::{
    Request, Response,
    body::Incoming,
    header::{HeaderMap, HeaderValue},
    http::request::Parts,
};

use super::{pool::ConnectionLease, shell::DirectShell};
use crate::{
    direct::{CallOutcome, CallStep, DirectTarget},
    error::Result,
    platform::runner::{self, ResponseOutcome},
};

/// Largest answer of the targets' own bookkeeping that is read.
const MAX_NOTE_BYTES: usize = 64 * 1024;
/// Time to free a KV cache.
const FREE_TIMEOUT: Duration = Duration::from_secs(1);

/// Caller's request, as calls are made from it.
pub(super) struct CallContent {
    pub(super) parts: Parts,
    pub(super) forwarded: HeaderMap,
    pub(super) id: HeaderValue,
    pub(super) body: Bytes,
}

/// What to call.
pub(super) struct CallOrder {
    pub(super) target: Arc<DirectTarget>,
    pub(super) step: CallStep,
    pub(super) time_left: Duration,
    pub(super) priority: u8,
}

/// Answer whose head was read.
pub(super) struct HeldAnswer {
    pub(super) response: Response<Incoming>,
    pub(super) lease: ConnectionLease,
}

/// Makes a call and returns how it ended, with the answer if there is one.
pub(super) async fn call(
    shell: &DirectShell,
    content: &CallContent,
    order: &CallOrder,
) -> (CallOutcome, Option<HeldAnswer>) {
    let request = runner::call_request(
        &content.parts,
        &content.forwarded,
        &order.target,
        &order.step,
        order.time_left,
        order.priority,
    );
    let request = match request {
        Ok(request) => request.map(|()| Full::new(content.body.clone())),
        Err(error) => {
            log::warn!(target_id:% = order.target.id, error:% = error; "call not made");
            return (CallOutcome::Unreachable, None);
        }
    };
    match send(shell, &order.target, request).await {
        Ok((response, lease)) => read(shell, content, order, response, lease).await,
        Err(outcome) => (outcome, None),
    }
}

/// Sends a request once.
///
/// It goes over a second connection only where the first one returned it unsent.
async fn send(
    shell: &DirectShell,
    target: &DirectTarget,
    request: Request<Full<Bytes>>,
) -> Result<(Response<Incoming>, ConnectionLease), CallOutcome> {
    let address = target.address;
    let mut unsent = request;
    if let Some(mut lease) = shell.pools.take(address) {
        match lease.sender.try_send_request(unsent).await {
            Ok(response) => return Ok((response, lease)),
            Err(mut error) => match error.take_message() {
                Some(request) => unsent = request,
                None => return Err(lost(&error.into_error())),
            },
        }
    }
    let mut lease =
        shell.pools.connect(address, shell.connection_limit(target)).await.map_err(|error| {
            log::debug!(address:% = address, error:% = error; "target not reached");
            CallOutcome::Unreachable
        })?;
    match lease.sender.try_send_request(unsent).await {
        Ok(response) => Ok((response, lease)),
        Err(mut error) => match error.take_message() {
            Some(_) => Err(CallOutcome::Unreachable),
            None => Err(lost(&error.into_error())),
        },
    }
}

fn lost(error: &hyper::Error) -> CallOutcome {
    log::debug!(error:% = error; "answer lost");
    CallOutcome::Lost { closed: !error.is_parse() }
}

async fn read(
    shell: &DirectShell,
    content: &CallContent,
    order: &CallOrder,
    response: Response<Incoming>,
    lease: ConnectionLease,
) -> (CallOutcome, Option<HeldAnswer>) {
    let (parts, body) = response.into_parts();
    let head = runner::classify_response(&parts, &content.id);
    let prefill = order.step == CallStep::Prefill;
    match head {
        ResponseOutcome::NotRun | ResponseOutcome::WrongTarget => {
            finish_note(shell, &parts.headers, body, lease).await;
            let outcome = match head {
                ResponseOutcome::WrongTarget => CallOutcome::WrongTarget,
                _ => CallOutcome::Declined,
            };
            (outcome, None)
        }
        _ if prefill && runner::is_prefill_success(&parts, &content.id) => {
            let note = finish_note(shell, &parts.headers, body, lease).await;
            match note.as_ref().map(runner::decode_prefill_handle) {
                Some(Ok(handle)) => (CallOutcome::Prefilled { handle }, None),
                _ => (CallOutcome::Lost { closed: false }, None),
            }
        }
        _ if prefill => (CallOutcome::Lost { closed: false }, None),
        ResponseOutcome::Success | ResponseOutcome::Failure => {
            let success = head == ResponseOutcome::Success;
            let held = HeldAnswer { response: Response::from_parts(parts, body), lease };
            (CallOutcome::Answered { success }, Some(held))
        }
        ResponseOutcome::Invalid => (CallOutcome::Lost { closed: false }, None),
    }
}

/// Reads a short answer to its end, so that its connection can be used again.
async fn finish_note(
    shell: &DirectShell,
    headers: &HeaderMap,
    body: Incoming,
    lease: ConnectionLease,
) -> Option<Bytes> {
    match Limited::new(body, MAX_NOTE_BYTES).collect().await {
        Ok(note) => {
            if !runner::closes_connection(headers) {
                shell.pools.give_back(lease, runner::keep_alive_timeout(headers));
            }
            Some(note.to_bytes())
        }
        Err(error) => {
            log::debug!(error:% = error; "short answer broke off");
            None
        }
    }
}

/// Frees a KV cache; one that stays lapses by itself.
pub(super) async fn free_cache(
    shell: Rc<DirectShell>,
    target: Arc<DirectTarget>,
    handle: Arc<str>,
) {
    let request = match runner::free_cache_request(&target, &handle) {
        Ok(request) => request.map(Full::new),
        Err(error) => {
            log::warn!(target_id:% = target.id, error:% = error; "KV cache not freed");
            return;
        }
    };
    let freeing = async {
        let (response, lease) = send(&shell, &target, request).await.ok()?;
        let (parts, body) = response.into_parts();
        finish_note(&shell, &parts.headers, body, lease).await
    };
    if !matches!(tokio::time::timeout(FREE_TIMEOUT, freeing).await, Ok(Some(_))) {
        log::info!(target_id:% = target.id; "KV cache not freed: no answer; it lapses by itself");
    }
}
