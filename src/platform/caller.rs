//! Callers' requests, and the answers that the system gives in its own name.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use hyper::{
    Response, StatusCode,
    header::{CONTENT_TYPE, HOST, HeaderMap, HeaderValue, RETRY_AFTER},
    http::request::Parts,
};
use serde::Serialize;
use siphasher::sip::SipHasher13;
use snafu::Snafu;
use std::hash::{Hash, Hasher};

use super::header::{
    DEADLINE_MS, PROMPT_PREFIX, REQUEST_ID, TOKEN_COUNT, strip_connection, strip_own,
};
use crate::{
    direct::{
        DirectRequest, FailureReason, PromptSegment, PromptShape, RequestFailure, RouteConfig,
        RouteTable,
    },
    ids::ContentFingerprint,
};

/// Why a request is answered without being placed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
pub enum CallerFault {
    /// No configuration is known yet.
    #[snafu(display("no configuration is known yet"))]
    NotReady,
    /// No route of the host begins the path.
    #[snafu(display("no route matches the host and path"))]
    NoRoute,
    /// A required header is missing or malformed.
    #[snafu(display("missing or malformed header {header:?}"))]
    BadHeader {
        /// Name of the header.
        header: &'static str,
    },
    /// The body exceeds the limit.
    #[snafu(display("body larger than the limit"))]
    BodyTooLarge,
    /// The body broke off.
    #[snafu(display("body incomplete"))]
    BodyIncomplete,
}

impl CallerFault {
    /// Returns the HTTP status.
    pub fn status(self) -> StatusCode {
        match self {
            CallerFault::NotReady => StatusCode::SERVICE_UNAVAILABLE,
            CallerFault::NoRoute => StatusCode::NOT_FOUND,
            CallerFault::BadHeader { .. } | CallerFault::BodyIncomplete => StatusCode::BAD_REQUEST,
            CallerFault::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
        }
    }
}

/// Longest time that a request without a deadline of its own waits.
const LONGEST_WAIT: Duration = Duration::from_secs(60);

/// Head of a request that was checked against the configuration.
#[derive(Debug, Clone)]
pub struct CheckedHead {
    /// Its identity at the caller.
    pub id: HeaderValue,
    /// Its route.
    pub route: Arc<RouteConfig>,
    time_left: Duration,
    prompt: Option<PromptShape>,
}

/// Checks the head of a request.
///
/// # Errors
/// Returns the fault with which it is answered.
pub fn check(parts: &Parts, table: &RouteTable) -> Result<CheckedHead, CallerFault> {
    let host = text(&parts.headers, &HOST).unwrap_or("");
    let route = table.find(host, parts.uri.path()).ok_or(CallerFault::NoRoute)?;
    let id = parts.headers.get(&REQUEST_ID).filter(|id| !id.is_empty());
    let id = id.ok_or(CallerFault::BadHeader { header: "request-id" })?;
    let time_left = match text(&parts.headers, &DEADLINE_MS) {
        None => LONGEST_WAIT,
        Some(value) => {
            let millis: u64 = value
                .trim()
                .parse()
                .map_err(|_| CallerFault::BadHeader { header: "deadline-ms" })?;
            Duration::from_millis(millis)
        }
    };
    let on_engine = route
        .services
        .iter()
        .any(|s| table.services.get(&s.service).is_some_and(|terms| terms.engine.is_some()));
    let prompt = if on_engine { Some(prompt_shape(&parts.headers)?) } else { None };
    Ok(CheckedHead { id: id.clone(), route: route.clone(), time_left, prompt })
}

impl CheckedHead {
    /// Makes the core's request.
    pub fn request(&self, parts: &Parts, body: &Bytes) -> DirectRequest {
        DirectRequest {
            route: self.route.clone(),
            time_left: self.time_left,
            prompt: self.prompt.clone(),
            fingerprint: fingerprint(parts, body),
        }
    }
}

/// Returns the headers of a request that go on to a target.
pub fn forwarded_headers(headers: &HeaderMap) -> HeaderMap {
    let mut forwarded = headers.clone();
    strip_connection(&mut forwarded);
    strip_own(&mut forwarded);
    forwarded
}

/// Makes the answer to a request that is not placed; one that may come back is
/// told after which time.
pub fn fault_response(
    fault: CallerFault,
    id: Option<&HeaderValue>,
    wait: Duration,
) -> Response<Bytes> {
    let retry_after = (fault == CallerFault::NotReady).then_some(wait);
    let body = OwnAnswer { error: &fault.to_string(), not_run: true };
    own_response(fault.status(), id, retry_after, &body)
}

/// Makes the answer to a request that was given up.
pub fn give_up_response(answer: RequestFailure, id: &HeaderValue) -> Response<Bytes> {
    let status = match (answer.not_run, answer.reason) {
        (true, _) => StatusCode::SERVICE_UNAVAILABLE,
        (false, FailureReason::TimedOut) => StatusCode::GATEWAY_TIMEOUT,
        (false, _) => StatusCode::BAD_GATEWAY,
    };
    let reason = answer.reason.to_string();
    let body = OwnAnswer { error: &reason, not_run: answer.not_run };
    own_response(status, Some(id), answer.not_run.then_some(answer.retry_after), &body)
}

#[derive(Serialize)]
struct OwnAnswer<'a> {
    error: &'a str,
    not_run: bool,
}

fn own_response(
    status: StatusCode,
    id: Option<&HeaderValue>,
    retry_after: Option<Duration>,
    body: &OwnAnswer<'_>,
) -> Response<Bytes> {
    // An answer of two plain fields always has a JSON form.
    let text = serde_json::to_vec(body).unwrap_or_default();
    let mut response = Response::new(Bytes::from(text));
    *response.status_mut() = status;
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    if let Some(id) = id {
        headers.insert(&REQUEST_ID, id.clone());
    }
    if let Some(wait) = retry_after
        && let Ok(value) = HeaderValue::try_from(format!("{:.3}", wait.as_secs_f64()))
    {
        headers.insert(RETRY_AFTER, value);
    }
    response
}

fn text<'a>(headers: &'a HeaderMap, name: &hyper::header::HeaderName) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

/// Reads the sizes; `Token-Count` holds prompt tokens and the longest output.
fn prompt_shape(headers: &HeaderMap) -> Result<PromptShape, CallerFault> {
    let mut shape = PromptShape::default();
    if let Some(count) = headers.get(&TOKEN_COUNT) {
        let bad = CallerFault::BadHeader { header: "token-count" };
        let count = count.to_str().map_err(|_| bad)?;
        let (prompt, output) = count.split_once(',').ok_or(bad)?;
        shape.tokens = prompt.trim().parse().map_err(|_| bad)?;
        shape.max_output = output.trim().parse().map_err(|_| bad)?;
    }
    if let Some(prefix) = headers.get(&PROMPT_PREFIX) {
        let bad = CallerFault::BadHeader { header: "prompt-prefix" };
        let prefix = prefix.to_str().map_err(|_| bad)?;
        for part in prefix.split(',').filter(|part| !part.trim().is_empty()) {
            let (id, tokens) = part.trim().split_once(':').ok_or(bad)?;
            let id = u64::from_str_radix(id, 16).map_err(|_| bad)?;
            let tokens = tokens.parse().map_err(|_| bad)?;
            shape.segments.push(PromptSegment { id, tokens });
        }
    }
    Ok(shape)
}

/// Hashes what stays the same when a caller sends a request again: host, path
/// and body. Requests without a body are told apart by nothing.
fn fingerprint(parts: &Parts, body: &Bytes) -> Option<ContentFingerprint> {
    if body.is_empty() {
        return None;
    }
    let mut hasher = SipHasher13::new();
    parts.uri.path().hash(&mut hasher);
    text(&parts.headers, &HOST).hash(&mut hasher);
    body.hash(&mut hasher);
    Some(hasher.finish())
}
