//! Load over HTTP against running entries.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex},
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{Method, Request};
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::TokioExecutor,
};
use sapphirewell::api::{CompletionBody, ErrorBody};
use serde::Serialize;

use crate::{engine, workload::OfferedRequest};

/// Grace beyond the deadline after which an answer counts as late.
const NETWORK_GRACE: Duration = Duration::from_millis(20);
const GIVE_UP: Duration = Duration::from_secs(90);

/// Outcome counts of a run.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct LoadReport {
    /// Requests sent.
    pub offered: u64,
    /// Answered whole and in time.
    pub in_time: u64,
    /// Answered whole, too late.
    pub late: u64,
    /// Refused with `not_run`.
    pub refused_not_run: u64,
    /// Ended with another error.
    pub failed: u64,
    /// Ended with an unknown outcome.
    pub unknown: u64,
    /// Answers that belong to another request.
    pub crossed: u64,
    /// Effects that happened more than once.
    pub doubled: u64,
    /// Answers that broke off.
    pub cut: u64,
    /// Role changes of all engines.
    pub role_changes: u64,
    /// Length of the run in seconds.
    pub seconds: f64,
    /// Reasons of refusals.
    pub reasons: BTreeMap<String, u64>,
    /// Answered in time, by customer.
    pub in_time_by_customer: BTreeMap<String, u64>,
}

/// How one request ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallerEnd {
    /// Whole answer.
    Whole,
    /// Refused, and certain not to have run.
    NotRun(String),
    /// Failed.
    Failed(String),
    /// Outcome unknown.
    Unknown(String),
    /// Somebody else's answer.
    Crossed,
    /// Broke off.
    Cut(String),
}

/// HTTP client of the load tool.
#[derive(Debug, Clone)]
pub struct LoadClient {
    inner: Client<HttpConnector, Full<Bytes>>,
}

impl Default for LoadClient {
    fn default() -> LoadClient {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        LoadClient { inner: Client::builder(TokioExecutor::new()).build(connector) }
    }
}

/// Requests of a hundred that a calm load sees answered in time.
const CALM_IN_TIME: u64 = 94;

impl LoadReport {
    /// Counts one end.
    pub fn count(&mut self, request: &OfferedRequest, end: &CallerEnd, took: Duration) {
        match end {
            CallerEnd::Whole if took <= request.deadline + NETWORK_GRACE => {
                self.in_time += 1;
                *self.in_time_by_customer.entry(request.customer.to_string()).or_default() += 1;
            }
            CallerEnd::Whole => self.late += 1,
            CallerEnd::NotRun(reason) => {
                self.refused_not_run += 1;
                self.reason(request, reason, took);
            }
            CallerEnd::Failed(reason) => {
                self.failed += 1;
                self.reason(request, reason, took);
            }
            CallerEnd::Unknown(reason) => {
                self.unknown += 1;
                self.reason(request, reason, took);
            }
            CallerEnd::Crossed => self.crossed += 1,
            CallerEnd::Cut(reason) => {
                self.cut += 1;
                self.reason(request, reason, took);
            }
        }
    }

    /// Tells whether nothing was crossed, doubled, cut or failed, and of a calm load
    /// 94 in 100 were answered in time.
    pub fn is_clean(&self) -> bool {
        let sound = self.crossed == 0 && self.doubled == 0 && self.cut == 0 && self.failed == 0;
        sound && self.in_time > 0 && self.in_time * 100 >= self.offered * CALM_IN_TIME
    }

    /// Counts a reason by kind of request, and tells which request it was.
    fn reason(&mut self, request: &OfferedRequest, reason: &str, took: Duration) {
        eprintln!(
            "load: {} of {} at {:.2} s, {} tokens in, at most {} out: {reason} after {:.2} s",
            request.kind,
            request.customer,
            request.at.as_secs_f64(),
            request.prompt_tokens,
            request.max_output_tokens,
            took.as_secs_f64(),
        );
        *self.reasons.entry(format!("{reason} {}", request.kind)).or_default() += 1;
    }
}

impl LoadClient {
    /// Sends a request and reads the whole answer.
    ///
    /// # Errors
    /// Returns the reason as text for reports.
    pub async fn send(
        &self,
        method: Method,
        url: &str,
        headers: &[(&str, &str)],
        body: Bytes,
    ) -> Result<(u16, Bytes), LoadFailure> {
        let mut request =
            Request::builder().method(method).uri(url).header("content-type", "application/json");
        for (name, value) in headers {
            request = request.header(*name, *value);
        }
        let request = request.body(Full::new(body)).map_err(|_| LoadFailure::BadRequest)?;
        let exchange = async {
            let response = self.inner.request(request).await.map_err(|_| LoadFailure::NoAnswer)?;
            let status = response.status().as_u16();
            let body = response.into_body().collect().await.map_err(|_| LoadFailure::BrokeOff)?;
            Ok((status, body.to_bytes()))
        };
        tokio::time::timeout(GIVE_UP, exchange).await.unwrap_or(Err(LoadFailure::Silent))
    }

    /// Plays one request and tells how it ended.
    pub async fn play(&self, entry: &str, request: &OfferedRequest, unique: u64) -> CallerEnd {
        if request.is_call {
            self.play_call(entry, request, unique).await
        } else {
            self.play_completion(entry, request, unique).await
        }
    }

    async fn play_call(&self, entry: &str, request: &OfferedRequest, unique: u64) -> CallerEnd {
        let url = format!("{entry}/v1/{}/calls/{}", request.customer, request.kind);
        let content = format!("{{\"record\":{unique}}}");
        let key = request.key.map(new_key);
        let headers: Vec<(&str, &str)> =
            key.iter().map(|key| ("idempotency-key", key.as_str())).collect();
        let expected =
            key.as_ref().map_or(content.clone(), |key| format!("{}/{key}", request.customer));
        match self.send(Method::POST, &url, &headers, content.into()).await {
            Ok((200, body)) if String::from_utf8_lossy(&body).contains(&expected) => {
                CallerEnd::Whole
            }
            Ok((200, _)) => CallerEnd::Crossed,
            Ok((_, body)) => refusal(&body),
            Err(failure) => CallerEnd::Cut(format!("{failure:?}")),
        }
    }

    async fn play_completion(
        &self,
        entry: &str,
        request: &OfferedRequest,
        unique: u64,
    ) -> CallerEnd {
        let url = format!("{entry}/v1/{}/completions/{}", request.customer, request.kind);
        let prompt: Arc<str> = request.text(unique).into();
        let expected = expected_text(&prompt, request.max_output_tokens);
        let body =
            CompletionBody { prompt, max_output_tokens: request.max_output_tokens, stream: true };
        let Ok(body) = serde_json::to_vec(&body) else {
            return CallerEnd::Failed("encoding".to_owned());
        };
        match self.send(Method::POST, &url, &[], body.into()).await {
            Ok((200, body)) => check_stream(&String::from_utf8_lossy(&body), &expected),
            Ok((_, body)) => refusal(&body),
            Err(failure) => CallerEnd::Cut(format!("{failure:?}")),
        }
    }
}

/// Why no whole answer arrived.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LoadFailure {
    /// The request could not be built.
    BadRequest,
    /// The connection failed before an answer.
    NoAnswer,
    /// The connection broke within an answer.
    BrokeOff,
    /// Nothing came for a long time.
    Silent,
}

/// Returns a key that was issued now.
pub fn new_key(number: u64) -> String {
    let millis = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis();
    format!("{millis}-{number:016x}")
}

/// Returns the text that every engine generates for a prompt.
pub fn expected_text(prompt: &str, max_output_tokens: u32) -> String {
    let hash = engine::prompt_hash(prompt);
    let tokens = engine::output_tokens(hash, max_output_tokens);
    let chunks = tokens.div_ceil(engine::CHUNK_TOKENS);
    (0..chunks)
        .map(|index| {
            let in_chunk = (tokens - index * engine::CHUNK_TOKENS).min(engine::CHUNK_TOKENS);
            engine::chunk_text(hash, index, in_chunk)
        })
        .collect()
}

/// Plays requests at their times against entries in turn.
pub async fn run(entries: Vec<String>, requests: Vec<OfferedRequest>) -> LoadReport {
    let client = LoadClient::default();
    let report = Arc::new(Mutex::new(LoadReport {
        offered: requests.len() as u64,
        ..LoadReport::default()
    }));
    let started = Instant::now();
    let mut tasks = tokio::task::JoinSet::new();
    for (index, request) in requests.into_iter().enumerate() {
        tokio::time::sleep(request.at.saturating_sub(started.elapsed())).await;
        let (client, report) = (client.clone(), report.clone());
        let entry = entries[index % entries.len()].clone();
        tasks.spawn(async move {
            let sent = Instant::now();
            let end = client.play(&entry, &request, index as u64).await;
            let mut report = report.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
            report.count(&request, &end, sent.elapsed());
        });
    }
    while tasks.join_next().await.is_some() {}
    let mut report = report.lock().unwrap_or_else(std::sync::PoisonError::into_inner).clone();
    report.seconds = started.elapsed().as_secs_f64();
    report
}

fn refusal(body: &[u8]) -> CallerEnd {
    let Ok(error) = serde_json::from_slice::<ErrorBody>(body) else {
        return CallerEnd::Failed("malformed error".to_owned());
    };
    match (error.not_run, error.reason.as_str()) {
        (true, _) => CallerEnd::NotRun(error.reason),
        (false, "outcome_unknown" | "in_progress") => CallerEnd::Unknown(error.reason),
        (false, _) => CallerEnd::Failed(error.reason),
    }
}

fn check_stream(body: &str, expected: &str) -> CallerEnd {
    let mut text = String::new();
    for event in body.split("\n\n") {
        let field =
            |name: &str| event.lines().find_map(|line| line.strip_prefix(name)).map(str::trim);
        let data = field("data:").unwrap_or_default();
        match field("event:") {
            Some("chunk") => {
                text.push_str(&serde_json::from_str::<String>(data).unwrap_or_default())
            }
            Some("end") if text == expected => return CallerEnd::Whole,
            Some("end") => return CallerEnd::Crossed,
            Some("error") => return refusal(data.as_bytes()),
            _ => {}
        }
    }
    CallerEnd::Cut("no end event".to_owned())
}
