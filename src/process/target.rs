//! Targets over HTTP, behind one trait for engines and one for plain services.
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

/// Largest answer of a plain service, in bytes.
pub const MAX_SERVICE_ANSWER_BYTES: usize = 64 * 1024;
/// Longest line in an engine's stream, in bytes.
pub const MAX_STREAM_LINE_BYTES: usize = 256 * 1024;
const REPORT_TIMEOUT: Duration = Duration::from_millis(1000);
const ORDER_TIMEOUT: Duration = Duration::from_millis(2000);
const HEAD_TIMEOUT: Duration = Duration::from_secs(300);

/// A model engine.
pub trait ModelEngine: Clone + Send + Sync + 'static {
    /// Runs an attempt and delivers its events until the last.
    fn run(
        &self,
        fence: FencingToken,
        place: Arc<PlaceFrame>,
        deliver: impl FnMut(TargetEvent) + Send,
    ) -> impl Future<Output = ()> + Send;
    /// Stops an attempt and drops its KV cache.
    fn cancel(&self, attempt: AttemptId) -> impl Future<Output = Result<()>> + Send;
    /// Orders a role change; returns whether the engine accepted it.
    fn order(
        &self,
        fence: FencingToken,
        plan: LogOffset,
        role: EngineRole,
    ) -> impl Future<Output = Result<bool>> + Send;
    /// Reads the engine's state.
    fn report(&self) -> impl Future<Output = Result<TargetReport>> + Send;
}

/// A plain service.
pub trait PlainService: Clone + Send + Sync + 'static {
    /// Runs a call.
    fn call(
        &self,
        place: &PlaceFrame,
    ) -> impl Future<Output = Result<ServiceAnswer, TargetFailure>> + Send;
    /// Reads the service's state.
    fn report(&self) -> impl Future<Output = Result<TargetReport>> + Send;
}

/// Request to an engine.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RunRequest {
    /// Identity of the run.
    pub id: String,
    /// The side's fencing number.
    pub fence: FencingToken,
    /// `complete`, `prefill` or `decode`.
    pub work: RunWork,
    /// The prompt.
    pub prompt: Arc<str>,
    /// Length of the prompt, in tokens.
    pub prompt_tokens: u32,
    /// Hashes of the prompt's prefixes.
    pub prefixes: Vec<u64>,
    /// Longest output, in tokens.
    pub max_output_tokens: u32,
    /// Priority from 0 (first) to 9 (last).
    pub priority: u8,
    /// Chunks that exist already.
    pub resume_chunks: u32,
    /// Their text.
    pub resume_text: String,
}

/// What an engine does.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RunWork {
    /// Read the prompt and generate.
    Complete,
    /// Read the prompt and keep the KV cache.
    Prefill,
    /// Import a KV cache and generate.
    Decode {
        /// Engine that holds the cache.
        source: Arc<str>,
        /// Its handle.
        handle: u64,
    },
}

/// One line of an engine's answer.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RunLine {
    /// The prompt has been read.
    Read,
    /// A piece of output.
    Chunk {
        /// Index within the whole answer.
        index: u32,
        /// Tokens in it.
        tokens: u32,
        /// Its text.
        text: Arc<str>,
    },
    /// The output is complete.
    Done {
        /// Chunks of the whole answer.
        chunks: u32,
        /// Tokens of the whole answer.
        tokens: u32,
    },
    /// The KV cache is ready.
    Prefilled {
        /// Its handle.
        handle: u64,
    },
}

/// Order to an engine.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct OrderRequest {
    /// The side's fencing number.
    pub fence: FencingToken,
    /// Offset of the plan; an engine ignores an order that it has carried out.
    pub plan: LogOffset,
    /// The new role.
    pub role: EngineRole,
}

/// Request to stop a run.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct CancelRequest {
    /// Identity of the run.
    pub id: String,
}

/// Engine over HTTP.
#[derive(Debug, Clone)]
pub struct HttpEngine {
    client: HttpClient,
    url: Arc<str>,
}

/// Plain service over HTTP.
#[derive(Debug, Clone)]
pub struct HttpService {
    calls: HttpClient,
    reports: HttpClient,
    url: Arc<str>,
}

/// Returns an attempt's identity as targets see it.
pub fn run_id(attempt: AttemptId) -> String {
    format!("{:016x}-{}-{}", attempt.request.instance, attempt.request.sequence, attempt.number)
}

impl HttpEngine {
    /// Makes an adapter for an engine.
    pub fn open(url: &str) -> HttpEngine {
        HttpEngine { client: HttpClient::open(64), url: url.into() }
    }

    async fn stream(
        &self,
        request: &RunRequest,
        attempt: AttemptId,
        deliver: &mut (impl FnMut(TargetEvent) + Send),
    ) -> Result<(), TargetFailure> {
        let body = serde_json::to_vec(request).map_err(|_| TargetFailure::Refused)?;
        let request = http::build(Method::POST, &format!("{}/run", self.url), body.into())
            .map_err(|_| TargetFailure::NotReached)?;
        let response = self.client.stream(request, HEAD_TIMEOUT).await.map_err(failure)?;
        if response.status() != StatusCode::OK {
            return Err(TargetFailure::Refused);
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
        let request = run_request(fence, &place);
        if let Err(failure) = self.stream(&request, attempt, &mut deliver).await {
            deliver(TargetEvent::Failed { attempt, failure });
        }
    }

    async fn cancel(&self, attempt: AttemptId) -> Result<()> {
        let request = CancelRequest { id: run_id(attempt) };
        let url = format!("{}/cancel", self.url);
        let _: serde_json::Value =
            self.client.json(Method::POST, &url, Some(&request), ORDER_TIMEOUT).await?;
        Ok(())
    }

    async fn order(&self, fence: FencingToken, plan: LogOffset, role: EngineRole) -> Result<bool> {
        let body = serde_json::to_vec(&OrderRequest { fence, plan, role })
            .map_err(|e| Error::new(ErrorCode::Malformed, format!("order ({e})")))?;
        let url = format!("{}/order", self.url);
        let (status, _) = self.client.send(Method::POST, &url, body.into(), ORDER_TIMEOUT).await?;
        Ok(status.is_success())
    }

    async fn report(&self) -> Result<TargetReport> {
        let url = format!("{}/state", self.url);
        self.client.json(Method::GET, &url, None::<&()>, REPORT_TIMEOUT).await
    }
}

impl HttpService {
    /// Makes an adapter for a plain service.
    pub fn open(url: &str) -> HttpService {
        HttpService { calls: HttpClient::open(0), reports: HttpClient::open(1), url: url.into() }
    }

    fn request(&self, place: &PlaceFrame) -> Result<Request<Full<Bytes>>, TargetFailure> {
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
        let request = self.request(place)?;
        let response = self.calls.stream(request, HEAD_TIMEOUT).await.map_err(failure)?;
        let status = response.status().as_u16();
        let read = http::read_body(response.into_body(), MAX_SERVICE_ANSWER_BYTES, "service").await;
        let body = read.map_err(|_| TargetFailure::Broken)?;
        let body = String::from_utf8(body.to_vec()).map_err(|_| TargetFailure::Broken)?;
        Ok(ServiceAnswer { status, body })
    }

    async fn report(&self) -> Result<TargetReport> {
        let url = format!("{}/state", self.url);
        self.reports.json(Method::GET, &url, None::<&()>, REPORT_TIMEOUT).await
    }
}

fn failure(failure: SendFailure) -> TargetFailure {
    match failure {
        SendFailure::NotConnected => TargetFailure::NotReached,
        SendFailure::Broken => TargetFailure::Broken,
    }
}

fn run_request(fence: FencingToken, place: &PlaceFrame) -> RunRequest {
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

/// Reads an answer of one JSON document a line; an answer without its last line is broken.
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
            let (event, last) = line_event(attempt, line);
            deliver(event);
            if last {
                return Ok(());
            }
        }
        if buffer.len() > MAX_STREAM_LINE_BYTES {
            return Err(TargetFailure::Broken);
        }
    }
    Err(TargetFailure::Broken)
}

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
