//! HTTP interface for callers and operators, see [docs/API.md](../docs/API.md).

use std::{sync::Arc, time::Instant};

use futures_util::{Stream, stream};
use poem::{
    Body, EndpointExt, IntoResponse, Request, Response, Route, get, handler,
    http::{StatusCode, header},
    post,
    web::{
        Data, Json, Path,
        sse::{Event, SSE},
    },
};
use serde::{Deserialize, Serialize};
use tokio::sync::mpsc;

use crate::{
    error::{Error, ErrorCategory, ErrorCode},
    ids::RequestId,
    process::{
        entry::{CallerPiece, EntryShell},
        metrics::EndLabels,
    },
    request::{CallerRequest, FinalAnswer, FinalRefusal, MAX_BODY_BYTES},
};

mod administration;

/// Header with the caller's idempotency key.
pub const KEY_HEADER: &str = "idempotency-key";
/// Time for a caller to send its whole body.
const BODY_TIMEOUT: std::time::Duration = std::time::Duration::from_secs(10);
const KEEP_ALIVE: std::time::Duration = std::time::Duration::from_secs(5);

/// Body of a completion request.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CompletionBody {
    /// The prompt.
    pub prompt: Arc<str>,
    /// Longest output in tokens; 0 stands for the contract's limit.
    #[serde(default)]
    pub max_output_tokens: u32,
    /// Whether the answer is streamed as server-sent events.
    #[serde(default)]
    pub stream: bool,
}

/// Error as callers see it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ErrorBody {
    /// Reason, one of those in docs/API.md.
    pub reason: String,
    /// Whether it is certain that the request had no effect.
    pub not_run: bool,
    /// When asking again makes sense, in milliseconds from now.
    pub retry_after_ms: u64,
    /// Detail for people.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub detail: String,
}

/// Whole answer to a completion that isn't streamed.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct CompletionAnswer {
    /// The entry's identity of the request.
    pub request: String,
    /// The text.
    pub text: String,
    /// Chunks in it.
    pub chunks: u32,
    /// Tokens in it.
    pub tokens: u32,
}

/// Adds the entry's routes to those that every process serves.
pub fn routes(common: Route, shell: Arc<EntryShell>) -> impl poem::Endpoint {
    common
        .at("/v1/:customer/completions/:kind", post(complete))
        .at("/v1/:customer/calls/:kind", post(call))
        .nest("/admin", administration::routes())
        .at("/", get(index))
        .data(shell)
}

/// Waits for a request's pieces; tells the machine where the caller goes away first.
struct CallerGuard {
    shell: Arc<EntryShell>,
    id: RequestId,
    pieces: mpsc::UnboundedReceiver<CallerPiece>,
    customer: Arc<str>,
    started: Instant,
    first: bool,
}

impl Drop for CallerGuard {
    fn drop(&mut self) {
        self.shell.caller_gone(self.id);
    }
}

impl CallerGuard {
    fn submit(shell: &Arc<EntryShell>, request: CallerRequest) -> CallerGuard {
        let customer = request.customer.clone();
        let (id, pieces) = shell.submit(request);
        CallerGuard {
            shell: shell.clone(),
            id,
            pieces,
            customer,
            started: Instant::now(),
            first: true,
        }
    }

    async fn next(&mut self) -> Option<CallerPiece> {
        let piece = self.pieces.recv().await?;
        if std::mem::take(&mut self.first) {
            self.shell.metrics.first_output_seconds.observe(self.started.elapsed().as_secs_f64());
        }
        if let CallerPiece::Final(answer) = &piece {
            self.observe(answer);
        }
        Some(piece)
    }

    fn observe(&self, answer: &FinalAnswer) {
        let end = match answer {
            FinalAnswer::Completed { .. } => "completed".to_owned(),
            FinalAnswer::Answered(_) => "answered".to_owned(),
            FinalAnswer::Refused(refusal) => refusal.reason.to_string(),
        };
        // Unknown customers share one label, so that callers cannot grow the metrics.
        let known =
            self.shell.control().is_some_and(|c| c.view().contract(&self.customer).is_some());
        let customer = if known { self.customer.to_string() } else { "unknown".to_owned() };
        self.shell.metrics.ends.get_or_create(&EndLabels { customer, end }).inc();
        self.shell.metrics.request_seconds.observe(self.started.elapsed().as_secs_f64());
    }
}

#[handler]
fn index() -> &'static str {
    "sapphirewell: see docs/API.md\n"
}

#[handler]
async fn complete(
    request: &Request,
    Path((customer, kind)): Path<(String, String)>,
    body: Body,
    shell: Data<&Arc<EntryShell>>,
) -> Response {
    let body = match read_json::<CompletionBody>(body).await {
        Ok(body) => body,
        Err(error) => return bad_input(&error),
    };
    let mut caller =
        CallerRequest::from_text(customer.into(), kind.into(), key_of(request), body.prompt);
    caller.max_output_tokens = body.max_output_tokens;
    let mut guard = CallerGuard::submit(&shell, caller);
    match guard.next().await {
        Some(CallerPiece::Final(answer)) => final_response(guard.id, answer, String::new()),
        Some(CallerPiece::Chunk(text)) if body.stream => stream_response(guard, text),
        Some(CallerPiece::Chunk(text)) => collect_response(guard, text).await,
        None => StatusCode::SERVICE_UNAVAILABLE.into_response(),
    }
}

#[handler]
async fn call(
    request: &Request,
    Path((customer, kind)): Path<(String, String)>,
    body: Body,
    shell: Data<&Arc<EntryShell>>,
) -> Response {
    let text = match read_text(body).await {
        Ok(text) => text,
        Err(error) => return bad_input(&error),
    };
    let caller =
        CallerRequest::from_text(customer.into(), kind.into(), key_of(request), text.into());
    let mut guard = CallerGuard::submit(&shell, caller);
    loop {
        match guard.next().await {
            Some(CallerPiece::Final(answer)) => {
                return final_response(guard.id, answer, String::new());
            }
            Some(CallerPiece::Chunk(_)) => {}
            None => return StatusCode::SERVICE_UNAVAILABLE.into_response(),
        }
    }
}

fn key_of(request: &Request) -> Option<Arc<str>> {
    request.headers().get(KEY_HEADER).and_then(|value| value.to_str().ok()).map(Into::into)
}

async fn read_text(body: Body) -> Result<String, Error> {
    let read = tokio::time::timeout(BODY_TIMEOUT, body.into_bytes_limit(MAX_BODY_BYTES)).await;
    let bytes = read
        .map_err(|_| {
            Error::new(ErrorCode::Timeout, format!("body, limit {} s", BODY_TIMEOUT.as_secs()))
        })?
        .map_err(|e| {
            Error::new(ErrorCode::TooLarge, format!("body ({e}), limit {MAX_BODY_BYTES} bytes"))
        })?;
    String::from_utf8(bytes.to_vec())
        .map_err(|_| Error::new(ErrorCode::Malformed, "body is not UTF-8"))
}

async fn read_json<T: serde::de::DeserializeOwned>(body: Body) -> Result<T, Error> {
    let text = read_text(body).await?;
    serde_json::from_str(&text).map_err(|e| Error::new(ErrorCode::Malformed, format!("body ({e})")))
}

fn bad_input(error: &Error) -> Response {
    let status = match (error.code(), error.category()) {
        (ErrorCode::TooLarge, _) => StatusCode::PAYLOAD_TOO_LARGE,
        (ErrorCode::Timeout, _) => StatusCode::REQUEST_TIMEOUT,
        (ErrorCode::NotFound, _) => StatusCode::NOT_FOUND,
        (ErrorCode::Unauthorized, _) => StatusCode::UNAUTHORIZED,
        (_, ErrorCategory::Input) => StatusCode::BAD_REQUEST,
        (_, ErrorCategory::Unavailable | ErrorCategory::Protocol) => {
            StatusCode::SERVICE_UNAVAILABLE
        }
    };
    let body = ErrorBody {
        reason: error.code().to_string(),
        not_run: true,
        retry_after_ms: 0,
        detail: error.to_string(),
    };
    Json(body).with_status(status).into_response()
}

fn error_body(refusal: &FinalRefusal) -> ErrorBody {
    ErrorBody {
        reason: refusal.reason.to_string(),
        not_run: refusal.not_run,
        retry_after_ms: refusal.retry_after.as_millis() as u64,
        detail: String::new(),
    }
}

fn final_response(id: RequestId, answer: FinalAnswer, text: String) -> Response {
    match answer {
        FinalAnswer::Completed { chunks, tokens } => {
            let request = format!("{:016x}-{}", id.instance, id.sequence);
            Json(CompletionAnswer { request, text, chunks, tokens }).into_response()
        }
        FinalAnswer::Answered(answer) => {
            let status = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::BAD_GATEWAY);
            answer.body.with_status(status).into_response()
        }
        FinalAnswer::Refused(refusal) => {
            let status =
                StatusCode::from_u16(refusal.reason.status()).unwrap_or(StatusCode::BAD_GATEWAY);
            let seconds = refusal.retry_after.as_secs_f64().ceil() as u64;
            Json(error_body(&refusal))
                .with_status(status)
                .with_header(header::RETRY_AFTER, seconds.to_string())
                .into_response()
        }
    }
}

async fn collect_response(mut guard: CallerGuard, first: Arc<str>) -> Response {
    let mut text = first.to_string();
    loop {
        match guard.next().await {
            Some(CallerPiece::Chunk(chunk)) => text.push_str(&chunk),
            Some(CallerPiece::Final(answer)) => return final_response(guard.id, answer, text),
            None => return StatusCode::SERVICE_UNAVAILABLE.into_response(),
        }
    }
}

fn stream_response(guard: CallerGuard, first: Arc<str>) -> Response {
    SSE::new(events(guard, first)).keep_alive(KEEP_ALIVE).into_response()
}

/// Turns a request's pieces into events; an answer is whole only with its `end` event.
fn events(guard: CallerGuard, first: Arc<str>) -> impl Stream<Item = Event> + Send {
    let start = Some((guard, Some(CallerPiece::Chunk(first))));
    stream::unfold(start, |state| async move {
        let (mut guard, ready) = state?;
        let piece = match ready {
            Some(piece) => Some(piece),
            None => guard.next().await,
        };
        match piece? {
            CallerPiece::Chunk(text) => {
                let event = Event::message(serde_json::Value::from(text.as_ref()).to_string());
                Some((event.event_type("chunk"), Some((guard, None))))
            }
            CallerPiece::Final(answer) => Some((end_event(&answer), None)),
        }
    })
}

fn end_event(answer: &FinalAnswer) -> Event {
    let (kind, body) = match answer {
        FinalAnswer::Refused(refusal) => ("error", serde_json::to_string(&error_body(refusal))),
        FinalAnswer::Completed { .. } | FinalAnswer::Answered(_) => {
            ("end", serde_json::to_string(answer))
        }
    };
    match body {
        Ok(body) => Event::message(body).event_type(kind),
        Err(error) => {
            // An empty end would look like a whole answer.
            log::error!(error:% = error; "end of an answer not encoded");
            let unknown = r#"{"reason":"outcome_unknown","not_run":false,"retry_after_ms":0}"#;
            Event::message(unknown).event_type("error")
        }
    }
}
