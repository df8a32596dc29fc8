//! Clients of targets: one trait for engines and one for plain services, implemented over HTTP.
//!
//! The protocols are described in [docs/PROTOCOLS.md](../../docs/PROTOCOLS.md).

use std::{future::Future, sync::Arc, time::Duration};

use bytes::{Buf, Bytes, BytesMut};
use http_body_util::{BodyExt, Full};
use hyper::{Method, Request, StatusCode, body::Incoming, header::CONTENT_TYPE};
use serde::{Deserialize, Serialize};

use super::http::{self, HttpClient, SendFailure};
use crate::{
    claim::ServiceAnswer,
    error::{Error, ErrorCode, Result},
    frame::{AttemptWork, PlaceFrame},
    ids::{AttemptId, FencingToken, LogOffset},
    record::EngineRole,
    side::{TargetEvent, TargetFailure, TargetReport},
};

/// Largest response body of a plain service, in bytes.
pub const MAX_SERVICE_RESPONSE_BYTES: usize = 64 * 1024;
/// Longest line in an engine's response stream, in bytes.
pub const MAX_STREAM_LINE_BYTES: usize = 256 * 1024;
const REPORT_TIMEOUT: Duration = Duration::from_millis(1000);
const ORDER_TIMEOUT: Duration = Duration::from_millis(2000);
/// Longest time from sending a request to the head of its response.
const RESPONSE_HEAD_TIMEOUT: Duration = Duration::from_secs(300);

/// Client of a model engine.
pub trait ModelEngine: Clone + Send + Sync + 'static {
    /// Runs an attempt and passes each of its events to `deliver`.
    fn run(
        &self,
        fence: FencingToken,
        place: Arc<PlaceFrame>,
        deliver: impl FnMut(TargetEvent) + Send,
    ) -> impl Future<Output = ()> + Send;
    /// Cancels an attempt and releases its KV cache.
    fn cancel(&self, attempt: AttemptId) -> impl Future<Output = Result<()>> + Send;
    /// Orders a role change and returns whether the engine accepted it.
    fn order(
        &self,
        fence: FencingToken,
        plan: LogOffset,
        role: EngineRole,
    ) -> impl Future<Output = Result<bool>> + Send;
    /// Reads the engine's current state.
    fn report(&self) -> impl Future<Output = Result<TargetReport>> + Send;
}

/// Client of a plain service.
pub trait PlainService: Clone + Send + Sync + 'static {
    /// Calls the service and returns its response.
    ///
    /// # Errors
    /// The failure indicates whether the service may have run the call.
    fn call(
        &self,
        place: &PlaceFrame,
    ) -> impl Future<Output = Result<ServiceAnswer, TargetFailure>> + Send;
    /// Reads the service's current state.
    fn report(&self) -> impl Future<Output = Result<TargetReport>> + Send;
}

/// Request to an engine to run an attempt.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RunRequest {
    /// Identity of the run, see [`run_id`].
    pub id: String,
    /// Fencing token of the side.
    pub fence: FencingToken,
    /// Part of the work that this engine does.
    pub work: RunWork,
    /// Text of the prompt.
    pub prompt: Arc<str>,
    /// Length of the prompt, in tokens.
    pub prompt_tokens: u32,
    /// Hashes of the prompt's prefixes.
    pub prefixes: Vec<u64>,
    /// Limit of the output, in tokens.
    pub max_output_tokens: u32,
    /// Priority from 0 (highest) to 9 (lowest).
    pub priority: u8,
    /// Number of chunks that earlier attempts have generated.
    pub resume_chunks: u32,
    /// Text of those chunks.
    pub resume_text: String,
}

/// Work of an engine on one attempt.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RunWork {
    /// Prefill and decode.
    Complete,
    /// Prefill only, and keep the KV cache for a decode on another engine.
    Prefill,
    /// Fetch the KV cache of a finished prefill and decode.
    Decode {
        /// Engine that holds the cache.
        source: Arc<str>,
        /// Handle of the cache on that engine.
        handle: u64,
    },
}

/// One line of an engine's response stream.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RunLine {
    /// Prefill is done.
    Read,
    /// A chunk of output.
    Chunk {
        /// Index within the complete output.
        index: u32,
        /// Number of tokens in the chunk.
        tokens: u32,
        /// Text of the chunk.
        text: Arc<str>,
    },
    /// The output is complete.
    Done {
        /// Number of chunks in the complete output.
        chunks: u32,
        /// Number of tokens in the complete output.
        tokens: u32,
    },
    /// The KV cache is ready.
    Prefilled {
        /// Handle of the cache, which a decode names.
        handle: u64,
    },
}

/// Order to an engine to change its role.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct OrderRequest {
    /// Fencing token of the side.
    pub fence: FencingToken,
    /// Log offset of the role plan; an engine ignores an order that it has already executed.
    pub plan: LogOffset,
    /// Role to change to.
    pub role: EngineRole,
}

/// Request to an engine to cancel a run.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct CancelRequest {
    /// Identity of the run, see [`run_id`].
    pub id: String,
}

/// Engine client over HTTP.
#[derive(Debug, Clone)]
pub struct HttpEngine {
    calls: HttpClient,
    reports: HttpClient,
    url: Arc<str>,
}

/// Plain service client over HTTP.
#[derive(Debug, Clone)]
pub struct HttpService {
    calls: HttpClient,
    reports: HttpClient,
    url: Arc<str>,
}

/// Returns the identity of an attempt that targets see.
pub fn run_id(attempt: AttemptId) -> String {
    format!("{:016x}-{}-{}", attempt.request.instance, attempt.request.sequence, attempt.number)
}

impl HttpEngine {
    /// Creates a client for the engine at a base URL.
    ///
    /// Runs, cancellations and orders take a new connection each: responses name no request, so
    /// that one which is written late or again could not be told from the one to a later call.
    pub fn new(url: &str) -> HttpEngine {
        HttpEngine { calls: HttpClient::new(0), reports: HttpClient::new(1), url: url.into() }
    }

    async fn stream_events(
        &self,
        request: &RunRequest,
        attempt: AttemptId,
        deliver: &mut (impl FnMut(TargetEvent) + Send),
    ) -> Result<(), TargetFailure> {
        let body = serde_json::to_vec(request).map_err(|_| TargetFailure::Refused)?;
        let request = http::build_request(Method::POST, &format!("{}/run", self.url), body.into())
            .map_err(|_| TargetFailure::NotReached)?;
        let response = self
            .calls
            .send_streaming(request, RESPONSE_HEAD_TIMEOUT)
            .await
            .map_err(target_failure)?;
        match response.status() {
            StatusCode::OK => {}
            status if is_refusal(status) => return Err(TargetFailure::Refused),
            _ => return Err(TargetFailure::Broken),
        }
        read_lines(response.into_body(), attempt, deliver).await
    }
}

impl ModelEngine for HttpEngine {
    async fn run(
        &self,
        fence: FencingToken,
        place: Arc<PlaceFrame>,
        mut deliver: impl FnMut(TargetEvent) + Send,
    ) {
        let attempt = place.attempt;
        let request = build_run(fence, &place);
        if let Err(failure) = self.stream_events(&request, attempt, &mut deliver).await {
            deliver(TargetEvent::Failed { attempt, failure });
        }
    }

    async fn cancel(&self, attempt: AttemptId) -> Result<()> {
        let request = CancelRequest { id: run_id(attempt) };
        let url = format!("{}/cancel", self.url);
        let _: serde_json::Value =
            self.calls.send_json(Method::POST, &url, Some(&request), ORDER_TIMEOUT).await?;
        Ok(())
    }

    async fn order(&self, fence: FencingToken, plan: LogOffset, role: EngineRole) -> Result<bool> {
        let body = serde_json::to_vec(&OrderRequest { fence, plan, role })
            .map_err(|e| Error::new(ErrorCode::Malformed, format!("order ({e})")))?;
        let url = format!("{}/order", self.url);
        let (status, _) = self.calls.send(Method::POST, &url, body.into(), ORDER_TIMEOUT).await?;
        Ok(status.is_success())
    }

    async fn report(&self) -> Result<TargetReport> {
        let url = format!("{}/state", self.url);
        self.reports.send_json(Method::GET, &url, None::<&()>, REPORT_TIMEOUT).await
    }
}

impl HttpService {
    /// Creates a client for the plain service at a base URL.
    pub fn new(url: &str) -> HttpService {
        HttpService { calls: HttpClient::new(0), reports: HttpClient::new(1), url: url.into() }
    }

    fn build_call(&self, place: &PlaceFrame) -> Result<Request<Full<Bytes>>, TargetFailure> {
        let body = Bytes::copy_from_slice(place.content.as_bytes());
        let mut request = Request::builder()
            .method(Method::POST)
            .uri(format!("{}/call", self.url))
            .header(CONTENT_TYPE, "application/json")
            .header("x-customer", place.customer.as_ref())
            .header("x-attempt", run_id(place.attempt));
        if let Some(key) = &place.key {
            request = request.header("idempotency-key", key.as_ref());
        }
        request.body(Full::new(body)).map_err(|_| TargetFailure::NotReached)
    }
}

impl PlainService for HttpService {
    async fn call(&self, place: &PlaceFrame) -> Result<ServiceAnswer, TargetFailure> {
        let request = self.build_call(place)?;
        let response = self
            .calls
            .send_streaming(request, RESPONSE_HEAD_TIMEOUT)
            .await
            .map_err(target_failure)?;
        let status = response.status();
        if !is_final(status) {
            return Err(TargetFailure::Broken);
        }
        let read =
            http::read_body(response.into_body(), MAX_SERVICE_RESPONSE_BYTES, "service").await;
        let body = read.map_err(|_| TargetFailure::Broken)?;
        let body = String::from_utf8(body.to_vec()).map_err(|_| TargetFailure::Broken)?;
        Ok(ServiceAnswer { status: status.as_u16(), body })
    }

    async fn report(&self) -> Result<TargetReport> {
        let url = format!("{}/state", self.url);
        self.reports.send_json(Method::GET, &url, None::<&()>, REPORT_TIMEOUT).await
    }
}

/// Returns whether an engine refuses runs with this status. Other errors may come from a run.
fn is_refusal(status: StatusCode) -> bool {
    status.is_client_error() || status == StatusCode::SERVICE_UNAVAILABLE
}

/// Returns whether a status is one that ends a call. Callers know no others.
fn is_final(status: StatusCode) -> bool {
    status.is_success()
        || status.is_redirection()
        || status.is_client_error()
        || status.is_server_error()
}

fn target_failure(failure: SendFailure) -> TargetFailure {
    match failure {
        SendFailure::NotConnected => TargetFailure::NotReached,
        SendFailure::Broken => TargetFailure::Broken,
    }
}

fn build_run(fence: FencingToken, place: &PlaceFrame) -> RunRequest {
    let work = match &place.work {
        AttemptWork::Complete | AttemptWork::Call => RunWork::Complete,
        AttemptWork::Prefill => RunWork::Prefill,
        AttemptWork::Decode { source, handle } => {
            RunWork::Decode { source: source.clone(), handle: *handle }
        }
    };
    RunRequest {
        id: run_id(place.attempt),
        fence,
        work,
        prompt: place.content.clone(),
        prompt_tokens: place.prompt_tokens,
        prefixes: place.prefixes.to_vec(),
        max_output_tokens: place.max_output_tokens,
        priority: place.priority,
        resume_chunks: place.resume_chunks,
        resume_text: place.resume_text.clone(),
    }
}

/// Reads a stream with one JSON document per line.
///
/// # Errors
/// Returns [`TargetFailure::Broken`] if the stream ends before its final line.
async fn read_lines(
    mut body: Incoming,
    attempt: AttemptId,
    deliver: &mut (impl FnMut(TargetEvent) + Send),
) -> Result<(), TargetFailure> {
    let mut buffer = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| TargetFailure::Broken)?;
        let Ok(data) = frame.into_data() else { continue };
        buffer.extend_from_slice(&data);
        while let Some(end) = buffer.iter().position(|byte| *byte == b'\n') {
            let line = buffer.split_to(end);
            buffer.advance(1);
            let line: RunLine = serde_json::from_slice(&line).map_err(|_| TargetFailure::Broken)?;
            let (event, is_last) = line_event(attempt, line);
            deliver(event);
            if is_last {
                return Ok(());
            }
        }
        if buffer.len() > MAX_STREAM_LINE_BYTES {
            return Err(TargetFailure::Broken);
        }
    }
    Err(TargetFailure::Broken)
}

/// Converts a line to an event, and returns whether it is the last of the stream.
fn line_event(attempt: AttemptId, line: RunLine) -> (TargetEvent, bool) {
    match line {
        RunLine::Read => (TargetEvent::PrefillDone { attempt }, false),
        RunLine::Chunk { index, tokens, text } => {
            (TargetEvent::Chunk { attempt, index, tokens, text }, false)
        }
        RunLine::Done { chunks, tokens } => {
            (TargetEvent::Finished { attempt, chunks, tokens }, true)
        }
        RunLine::Prefilled { handle } => (TargetEvent::CacheReady { attempt, handle }, true),
    }
}
