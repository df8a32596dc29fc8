//! HTTP API for callers and operators, see [docs/API.md](../docs/API.md).

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
        entry::{AnswerPart, EntryDriver},
        metrics::EndLabels,
    },
    request::{CallerRequest, FinalAnswer, FinalRefusal, MAX_BODY_BYTES},
};

mod administration;

/// Header with the caller's idempotency key.
pub const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";
/// Longest time for a caller to send the complete body.
const BODY_TIMEOUT: std::time::Duration = std::time::Duration::from_secs(10);
/// Interval between keep-alive comments in an event stream.
const KEEP_ALIVE_INTERVAL: std::time::Duration = std::time::Duration::from_secs(5);

/// Body of a completion request.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CompletionBody {
    /// Text of the prompt.
    pub prompt: Arc<str>,
    /// Limit of the output, in tokens; 0 means the contract's limit.
    #[serde(default)]
    pub max_output_tokens: u32,
    /// Whether the output is streamed as server-sent events.
    #[serde(default)]
    pub stream: bool,
}

/// Body of an error response.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ErrorBody {
    /// Reason code, one of those in docs/API.md.
    pub reason: String,
    /// Whether it is certain that the request did not run.
    pub not_run: bool,
    /// Time after which a retry makes sense, in milliseconds.
    pub retry_after_ms: u64,
    /// Human-readable detail; left out if empty.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub detail: String,
}

/// Body of a successful response to a completion that isn't streamed.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct CompletionResponse {
    /// Identity that the entry gave to the request.
    pub request: String,
    /// Text of the complete output.
    pub text: String,
    /// Number of chunks in the output.
    pub chunks: u32,
    /// Number of tokens in the output.
    pub tokens: u32,
}

/// Adds the routes of callers and operators to the common routes of a process.
pub fn routes(common: Route, driver: Arc<EntryDriver>) -> impl poem::Endpoint {
    common
        .at("/v1/:customer/completions/:kind", post(complete))
        .at("/v1/:customer/calls/:kind", post(call))
        .nest("/admin", administration::routes())
        .at("/", get(index))
        .data(driver)
}

/// Receives the answer to a request, and abandons the request if the caller disconnects first.
struct CallerGuard {
    driver: Arc<EntryDriver>,
    id: RequestId,
    parts: mpsc::UnboundedReceiver<AnswerPart>,
    customer: Arc<str>,
    started: Instant,
    is_first: bool,
}

impl Drop for CallerGuard {
    fn drop(&mut self) {
        self.driver.abandon_request(self.id);
    }
}

impl CallerGuard {
    fn submit(driver: &Arc<EntryDriver>, request: CallerRequest) -> CallerGuard {
        let customer = request.customer.clone();
        let (id, parts) = driver.submit(request);
        CallerGuard {
            driver: driver.clone(),
            id,
            parts,
            customer,
            started: Instant::now(),
            is_first: true,
        }
    }

    async fn next(&mut self) -> Option<AnswerPart> {
        let part = self.parts.recv().await?;
        if std::mem::take(&mut self.is_first) {
            self.driver.metrics.first_output_seconds.observe(self.started.elapsed().as_secs_f64());
        }
        if let AnswerPart::Final(answer) = &part {
            self.record_metrics(answer);
        }
        Some(part)
    }

    fn record_metrics(&self, answer: &FinalAnswer) {
        let end = match answer {
            FinalAnswer::Completed { .. } => "completed".to_owned(),
            FinalAnswer::Answered(_) => "answered".to_owned(),
            FinalAnswer::Refused(refusal) => refusal.reason.to_string(),
        };
        // Customers without a contract share one label, so that callers cannot create new
        // time series.
        let known =
            self.driver.control().is_some_and(|c| c.view().contract(&self.customer).is_some());
        let customer = if known { self.customer.to_string() } else { "unknown".to_owned() };
        self.driver.metrics.requests.get_or_create(&EndLabels { customer, end }).inc();
        self.driver.metrics.request_seconds.observe(self.started.elapsed().as_secs_f64());
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
    driver: Data<&Arc<EntryDriver>>,
) -> Response {
    let body = match read_json::<CompletionBody>(body).await {
        Ok(body) => body,
        Err(error) => return error_response(&error),
    };
    let mut caller = CallerRequest::from_text(
        customer.into(),
        kind.into(),
        idempotency_key(request),
        body.prompt,
    );
    caller.max_output_tokens = body.max_output_tokens;
    let mut guard = CallerGuard::submit(&driver, caller);
    match guard.next().await {
        Some(AnswerPart::Final(answer)) => final_response(guard.id, answer, String::new()),
        Some(AnswerPart::Chunk(text)) if body.stream => stream_response(guard, text),
        Some(AnswerPart::Chunk(text)) => collect_response(guard, text).await,
        None => StatusCode::SERVICE_UNAVAILABLE.into_response(),
    }
}

#[handler]
async fn call(
    request: &Request,
    Path((customer, kind)): Path<(String, String)>,
    body: Body,
    driver: Data<&Arc<EntryDriver>>,
) -> Response {
    let text = match read_text(body).await {
        Ok(text) => text,
        Err(error) => return error_response(&error),
    };
    let caller = CallerRequest::from_text(
        customer.into(),
        kind.into(),
        idempotency_key(request),
        text.into(),
    );
    let mut guard = CallerGuard::submit(&driver, caller);
    loop {
        match guard.next().await {
            Some(AnswerPart::Final(answer)) => {
                return final_response(guard.id, answer, String::new());
            }
            Some(AnswerPart::Chunk(_)) => {}
            None => return StatusCode::SERVICE_UNAVAILABLE.into_response(),
        }
    }
}

fn idempotency_key(request: &Request) -> Option<Arc<str>> {
    request
        .headers()
        .get(IDEMPOTENCY_KEY_HEADER)
        .and_then(|value| value.to_str().ok())
        .map(Into::into)
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

fn error_response(error: &Error) -> Response {
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
            Json(CompletionResponse { request, text, chunks, tokens }).into_response()
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
            Some(AnswerPart::Chunk(chunk)) => text.push_str(&chunk),
            Some(AnswerPart::Final(answer)) => return final_response(guard.id, answer, text),
            None => return StatusCode::SERVICE_UNAVAILABLE.into_response(),
        }
    }
}

fn stream_response(guard: CallerGuard, first: Arc<str>) -> Response {
    SSE::new(answer_events(guard, first)).keep_alive(KEEP_ALIVE_INTERVAL).into_response()
}

/// Converts an answer to server-sent events; the output is complete only after an `end` event.
fn answer_events(guard: CallerGuard, first: Arc<str>) -> impl Stream<Item = Event> + Send {
    let start = Some((guard, Some(AnswerPart::Chunk(first))));
    stream::unfold(start, |state| async move {
        let (mut guard, ready) = state?;
        let part = match ready {
            Some(part) => Some(part),
            None => guard.next().await,
        };
        match part? {
            AnswerPart::Chunk(text) => {
                let event = Event::message(serde_json::Value::from(text.as_ref()).to_string());
                Some((event.event_type("chunk"), Some((guard, None))))
            }
            AnswerPart::Final(answer) => Some((end_event(&answer), None)),
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
            // An empty `end` event would make the output look complete.
            log::error!(error:% = error; "final event of an answer could not be encoded");
            let unknown = r#"{"reason":"outcome_unknown","not_run":false,"retry_after_ms":0}"#;
            Event::message(unknown).event_type("error")
        }
    }
}
