//! Load generator that sends requests over HTTP to running entries and checks each response.

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

/// Network delay allowed beyond the deadline before a response counts as late.
const NETWORK_GRACE: Duration = Duration::from_millis(20);
const REQUEST_TIMEOUT: Duration = Duration::from_secs(90);

/// Counts of the outcomes of a run.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct LoadReport {
    /// Requests in the load, all of which are sent.
    pub offered: u64,
    /// Complete responses that arrived within the deadline, with an allowance for the network.
    pub in_time: u64,
    /// Complete responses that arrived later.
    pub late: u64,
    /// Refused with `not_run`, which guarantees that the request had no effect.
    pub refused_not_run: u64,
    /// Ended with any other error, or with one that could not be parsed.
    pub failed: u64,
    /// Ended with `outcome_unknown` or `in_progress`.
    pub unknown: u64,
    /// Responses with status 200 whose content does not match the request.
    pub crossed: u64,
    /// Idempotency keys that took effect more than once; filled in by the caller of [`run`].
    pub doubled: u64,
    /// Requests without a complete response: the connection failed, the request timed out
    /// or the stream had no end event. The demo adds each process that exits with an error.
    pub cut: u64,
    /// Role changes of all engines; filled in by the caller of [`run`].
    pub role_changes: u64,
    /// Duration of the run in seconds.
    pub seconds: f64,
    /// Number of requests by reason and kind; late and mismatched responses have no reason.
    pub reasons: BTreeMap<String, u64>,
    /// The requests of `in_time`, by customer.
    pub in_time_by_customer: BTreeMap<String, u64>,
}

/// Outcome of one request, as its caller sees it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RequestOutcome {
    /// A complete response with the expected content.
    Completed,
    /// Refused for this reason, and certain not to have run.
    NotRun(String),
    /// Failed for this reason; the request may have run.
    Failed(String),
    /// It is not known whether the request ran, for this reason.
    Unknown(String),
    /// A response with status 200 whose content does not match the request.
    Mismatched,
    /// No complete response arrived, for this reason.
    Interrupted(String),
}

/// HTTP client of the load generator; clones share their connections.
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

/// Percentage of a light load that must be answered in time.
const MIN_IN_TIME_PERCENT: u64 = 94;

impl LoadReport {
    /// Counts one outcome, which the caller saw `took` after sending.
    pub fn count(&mut self, request: &OfferedRequest, outcome: &RequestOutcome, took: Duration) {
        match outcome {
            RequestOutcome::Completed if took <= request.deadline + NETWORK_GRACE => {
                self.in_time += 1;
                *self.in_time_by_customer.entry(request.customer.to_string()).or_default() += 1;
            }
            RequestOutcome::Completed => self.late += 1,
            RequestOutcome::NotRun(reason) => {
                self.refused_not_run += 1;
                self.record_reason(request, reason, took);
            }
            RequestOutcome::Failed(reason) => {
                self.failed += 1;
                self.record_reason(request, reason, took);
            }
            RequestOutcome::Unknown(reason) => {
                self.unknown += 1;
                self.record_reason(request, reason, took);
            }
            RequestOutcome::Mismatched => self.crossed += 1,
            RequestOutcome::Interrupted(reason) => {
                self.cut += 1;
                self.record_reason(request, reason, took);
            }
        }
    }

    /// Returns whether no request was crossed, doubled, cut or failed, and at least 94% were
    /// answered in time.
    pub fn is_clean(&self) -> bool {
        let correct = self.crossed == 0 && self.doubled == 0 && self.cut == 0 && self.failed == 0;
        correct && self.in_time > 0 && self.in_time * 100 >= self.offered * MIN_IN_TIME_PERCENT
    }

    /// Counts a reason by kind of request, and logs the request.
    fn record_reason(&mut self, request: &OfferedRequest, reason: &str, took: Duration) {
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
    /// Sends a request and returns the status and the body of the response.
    ///
    /// # Errors
    /// Returns why no complete response arrived.
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
        tokio::time::timeout(REQUEST_TIMEOUT, exchange).await.unwrap_or(Err(LoadFailure::Silent))
    }

    /// Sends one request of the load to an entry and checks the response.
    ///
    /// `unique` makes the content differ from that of every other request.
    pub async fn send_request(
        &self,
        entry: &str,
        request: &OfferedRequest,
        unique: u64,
    ) -> RequestOutcome {
        if request.is_call {
            self.send_call(entry, request, unique).await
        } else {
            self.send_completion(entry, request, unique).await
        }
    }

    async fn send_call(
        &self,
        entry: &str,
        request: &OfferedRequest,
        unique: u64,
    ) -> RequestOutcome {
        let url = format!("{entry}/v1/{}/calls/{}", request.customer, request.kind);
        let content = format!("{{\"record\":{unique}}}");
        let key = request.key.map(new_key);
        let headers: Vec<(&str, &str)> =
            key.iter().map(|key| ("idempotency-key", key.as_str())).collect();
        let expected =
            key.as_ref().map_or(content.clone(), |key| format!("{}/{key}", request.customer));
        match self.send(Method::POST, &url, &headers, content.into()).await {
            Ok((200, body)) if String::from_utf8_lossy(&body).contains(&expected) => {
                RequestOutcome::Completed
            }
            Ok((200, _)) => RequestOutcome::Mismatched,
            Ok((_, body)) => parse_refusal(&body),
            Err(failure) => RequestOutcome::Interrupted(format!("{failure:?}")),
        }
    }

    async fn send_completion(
        &self,
        entry: &str,
        request: &OfferedRequest,
        unique: u64,
    ) -> RequestOutcome {
        let url = format!("{entry}/v1/{}/completions/{}", request.customer, request.kind);
        let prompt: Arc<str> = request.text(unique).into();
        let expected = expected_text(&prompt, request.max_output_tokens);
        let body =
            CompletionBody { prompt, max_output_tokens: request.max_output_tokens, stream: true };
        let Ok(body) = serde_json::to_vec(&body) else {
            return RequestOutcome::Failed("encoding".to_owned());
        };
        match self.send(Method::POST, &url, &[], body.into()).await {
            Ok((200, body)) => check_stream(&String::from_utf8_lossy(&body), &expected),
            Ok((_, body)) => parse_refusal(&body),
            Err(failure) => RequestOutcome::Interrupted(format!("{failure:?}")),
        }
    }
}

/// Why no complete response arrived. Reports print the variant names.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LoadFailure {
    /// The request could not be built.
    BadRequest,
    /// The connection failed before the response headers.
    NoAnswer,
    /// The connection failed while the body was read.
    BrokeOff,
    /// The response was not complete within the timeout of 90 seconds.
    Silent,
}

/// Returns an idempotency key that carries the current time.
pub fn new_key(number: u64) -> String {
    let millis = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis();
    format!("{millis}-{number:016x}")
}

/// Returns the text that every engine generates for a prompt, whichever engine runs it.
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

/// Sends requests at their scheduled times, to the entries in turn, and waits for all outcomes.
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
            let outcome = client.send_request(&entry, &request, index as u64).await;
            let mut report = report.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
            report.count(&request, &outcome, sent.elapsed());
        });
    }
    while tasks.join_next().await.is_some() {}
    let mut report = report.lock().unwrap_or_else(std::sync::PoisonError::into_inner).clone();
    report.seconds = started.elapsed().as_secs_f64();
    report
}

fn parse_refusal(body: &[u8]) -> RequestOutcome {
    let Ok(error) = serde_json::from_slice::<ErrorBody>(body) else {
        return RequestOutcome::Failed("malformed error".to_owned());
    };
    match (error.not_run, error.reason.as_str()) {
        (true, _) => RequestOutcome::NotRun(error.reason),
        (false, "outcome_unknown" | "in_progress") => RequestOutcome::Unknown(error.reason),
        (false, _) => RequestOutcome::Failed(error.reason),
    }
}

fn check_stream(body: &str, expected: &str) -> RequestOutcome {
    let mut text = String::new();
    for event in body.split("\n\n") {
        let field =
            |name: &str| event.lines().find_map(|line| line.strip_prefix(name)).map(str::trim);
        let data = field("data:").unwrap_or_default();
        match field("event:") {
            Some("chunk") => {
                text.push_str(&serde_json::from_str::<String>(data).unwrap_or_default())
            }
            Some("end") if text == expected => return RequestOutcome::Completed,
            Some("end") => return RequestOutcome::Mismatched,
            Some("error") => return parse_refusal(data.as_bytes()),
            _ => {}
        }
    }
    RequestOutcome::Interrupted("no end event".to_owned())
}
