//! Validation of callers' requests, and the responses that this system generates itself.

use std::{net::IpAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use hyper::{
    Response, StatusCode,
    header::{
        CONTENT_TYPE, HOST, HeaderMap, HeaderName, HeaderValue, RETRY_AFTER, WWW_AUTHENTICATE,
    },
    http::request::Parts,
};
use serde::Serialize;
use siphasher::sip::SipHasher13;
use snafu::Snafu;
use std::hash::{Hash, Hasher};

use super::{
    credential::{self, CredentialFault},
    header::{
        DEADLINE_MS, LAST_EVENT_ID, PROMPT_PREFIX, REQUEST_ID, RESUMES, TENANT, TOKEN_COUNT,
        strip_hop_by_hop, strip_identity, strip_reserved,
    },
};
use crate::direct::{
    CallerIdentity, DirectRequest, FailureReason, PromptSegment, PromptShape, RequestFailure,
    RequestIdentity, RetryPolicy, RouteConfig, RouteTable, StreamId, StreamResume,
};

/// Reason for rejecting a request before placement. The text is the `error` of the response.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
pub enum RequestRejection {
    /// No configuration is known yet.
    #[snafu(display("no configuration is known yet"))]
    NotReady,
    /// No route matches the request's host and path.
    #[snafu(display("no route matches the host and path"))]
    NoRoute,
    /// The caller's credentials do not allow the request.
    #[snafu(display("{fault}"))]
    Unauthorized {
        /// What is wrong with them.
        fault: CredentialFault,
    },
    /// A required header is missing or malformed.
    #[snafu(display("missing or malformed header {header:?}"))]
    BadHeader {
        /// Header name, in lower case.
        header: &'static str,
    },
    /// The head exceeds the configured limit.
    #[snafu(display("head larger than the limit"))]
    HeadTooLarge,
    /// The body exceeds the configured limit.
    #[snafu(display("body larger than the limit"))]
    BodyTooLarge,
    /// The bodies of other requests take the memory that there is for them.
    #[snafu(display("no memory for the body"))]
    NoMemory,
    /// The caller's connection ended before the end of the body.
    #[snafu(display("body incomplete"))]
    BodyIncomplete,
}

impl RequestRejection {
    /// Returns the HTTP status of the response.
    pub fn status(self) -> StatusCode {
        match self {
            RequestRejection::NotReady | RequestRejection::NoMemory => {
                StatusCode::SERVICE_UNAVAILABLE
            }
            RequestRejection::NoRoute => StatusCode::NOT_FOUND,
            RequestRejection::Unauthorized { .. } => StatusCode::UNAUTHORIZED,
            RequestRejection::BadHeader { .. } | RequestRejection::BodyIncomplete => {
                StatusCode::BAD_REQUEST
            }
            RequestRejection::HeadTooLarge => StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
            RequestRejection::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
        }
    }
}

/// Deadline of a request that does not set one.
const DEFAULT_DEADLINE: Duration = Duration::from_secs(60);

/// Head of a request that was validated against the configuration.
#[derive(Debug, Clone)]
pub struct ValidatedHead {
    /// Id that the caller gave the request.
    pub id: HeaderValue,
    /// Route that the request matches.
    pub route: Arc<RouteConfig>,
    /// For whom it is served.
    pub identity: CallerIdentity,
    time_left: Duration,
    prompt: Option<PromptShape>,
}

/// Validates the head of a request.
///
/// # Errors
/// Returns the reason for which the request is rejected.
pub fn validate_head(parts: &Parts, table: &RouteTable) -> Result<ValidatedHead, RequestRejection> {
    if head_bytes(parts) > table.limits.head_bytes {
        return Err(RequestRejection::HeadTooLarge);
    }
    let host = header_text(&parts.headers, &HOST).unwrap_or("");
    let route = table.find(host, parts.uri.path()).ok_or(RequestRejection::NoRoute)?;
    let identity = credential::identify(&parts.headers, route, table)
        .map_err(|fault| RequestRejection::Unauthorized { fault })?;
    let id =
        request_id(&parts.headers).ok_or(RequestRejection::BadHeader { header: "request-id" })?;
    let time_left = match header_text(&parts.headers, &DEADLINE_MS) {
        None => DEFAULT_DEADLINE,
        Some(value) => {
            let millis: u64 = value
                .trim()
                .parse()
                .map_err(|_| RequestRejection::BadHeader { header: "deadline-ms" })?;
            Duration::from_millis(millis)
        }
    };
    let on_engine = route
        .services
        .iter()
        .any(|s| table.services.get(&s.service).is_some_and(|terms| terms.engine.is_some()));
    let prompt = if on_engine { Some(prompt_shape(&parts.headers)?) } else { None };
    Ok(ValidatedHead { id: id.clone(), route: route.clone(), identity, time_left, prompt })
}

/// Returns the size of a request's head as it is written without optional whitespace, in bytes.
fn head_bytes(parts: &Parts) -> usize {
    let path = parts.uri.path_and_query().map_or(0, |path| path.as_str().len());
    let line = parts.method.as_str().len() + path + "  HTTP/1.1\r\n".len();
    let field = |(name, value): (&HeaderName, &HeaderValue)| {
        name.as_str().len() + value.len() + ": \r\n".len()
    };
    line + parts.headers.iter().map(field).sum::<usize>() + "\r\n".len()
}

impl ValidatedHead {
    /// Builds the request that the state machine decides on.
    pub fn to_direct_request(&self, parts: &Parts, body: &Bytes, caller: IpAddr) -> DirectRequest {
        DirectRequest {
            route: self.route.clone(),
            customer: self.identity.customer().cloned(),
            time_left: self.time_left,
            prompt: self.prompt.clone(),
            identity: request_identity(parts, body, caller),
            id: self.id.to_str().unwrap_or_default().into(),
            resumes: stream_resume(&self.route, &parts.headers),
        }
    }

    /// Returns the headers of the request that are forwarded to targets. Where the configuration
    /// has customers, these are the customer's name in place of the caller's credentials.
    pub fn forwarded_headers(&self, headers: &HeaderMap) -> HeaderMap {
        let mut forwarded = headers.clone();
        strip_hop_by_hop(&mut forwarded);
        strip_reserved(&mut forwarded);
        match &self.identity {
            CallerIdentity::Unchecked => {}
            CallerIdentity::Anonymous => strip_identity(&mut forwarded),
            CallerIdentity::Customer(customer) => {
                strip_identity(&mut forwarded);
                // The decoder accepts only names that fit.
                if let Ok(name) = HeaderValue::from_bytes(customer.name.as_bytes()) {
                    forwarded.insert(&TENANT, name);
                }
            }
        }
        forwarded
    }
}

/// Returns the id that the caller gave a request.
pub fn request_id(headers: &HeaderMap) -> Option<&HeaderValue> {
    headers.get(&REQUEST_ID).filter(|id| !id.is_empty())
}

/// Builds the response to a rejected request; `delay` becomes its `Retry-After` if the
/// same request may succeed later.
pub fn rejection_response(
    rejection: RequestRejection,
    id: Option<&HeaderValue>,
    delay: Duration,
) -> Response<Bytes> {
    let is_temporary = rejection.status() == StatusCode::SERVICE_UNAVAILABLE;
    let retry_after = is_temporary.then_some(delay);
    let body = ErrorBody { error: &rejection.to_string(), not_run: true };
    let mut response = system_response(rejection.status(), id, retry_after, &body);
    if matches!(rejection, RequestRejection::Unauthorized { .. }) {
        let scheme = HeaderValue::from_static(credential::SCHEME);
        response.headers_mut().insert(WWW_AUTHENTICATE, scheme);
    }
    response
}

/// Builds the response to a request that the state machine gave up.
pub fn failure_response(failure: RequestFailure, id: &HeaderValue) -> Response<Bytes> {
    let status = match (failure.not_run, failure.reason) {
        (true, _) => StatusCode::SERVICE_UNAVAILABLE,
        (false, FailureReason::TimedOut) => StatusCode::GATEWAY_TIMEOUT,
        (false, _) => StatusCode::BAD_GATEWAY,
    };
    let reason = failure.reason.to_string();
    let body = ErrorBody { error: &reason, not_run: failure.not_run };
    system_response(status, Some(id), failure.not_run.then_some(failure.retry_after), &body)
}

/// Body of a response that this system generates itself.
#[derive(Serialize)]
struct ErrorBody<'a> {
    error: &'a str,
    not_run: bool,
}

fn system_response(
    status: StatusCode,
    id: Option<&HeaderValue>,
    retry_after: Option<Duration>,
    body: &ErrorBody<'_>,
) -> Response<Bytes> {
    // Serializing a string and a bool cannot fail.
    let text = serde_json::to_vec(body).unwrap_or_default();
    let mut response = Response::new(Bytes::from(text));
    *response.status_mut() = status;
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    if let Some(id) = id {
        headers.insert(&REQUEST_ID, id.clone());
    }
    if let Some(delay) = retry_after
        && let Ok(value) = HeaderValue::try_from(format!("{:.3}", delay.as_secs_f64()))
    {
        headers.insert(RETRY_AFTER, value);
    }
    response
}

/// Returns the stream that a request goes on with, where its route lets streams go on.
fn stream_resume(route: &RouteConfig, headers: &HeaderMap) -> Option<StreamResume> {
    let has_position = headers.contains_key(&LAST_EVENT_ID) || headers.contains_key(&RESUMES);
    if route.retry != RetryPolicy::Resume || !has_position {
        return None;
    }
    let stream = header_text(headers, &RESUMES).filter(|stream| !stream.is_empty());
    Some(StreamResume { stream: stream.map(StreamId::from) })
}

fn header_text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

/// Parses the prompt's sizes.
///
/// `Token-Count` holds the prompt length and the maximum output length. `Prompt-Prefix`
/// lists the segments of the prompt, each as `<hexadecimal id>:<tokens>`.
fn prompt_shape(headers: &HeaderMap) -> Result<PromptShape, RequestRejection> {
    let mut shape = PromptShape::default();
    if let Some(count) = headers.get(&TOKEN_COUNT) {
        let invalid = RequestRejection::BadHeader { header: "token-count" };
        let count = count.to_str().map_err(|_| invalid)?;
        let (prompt, output) = count.split_once(',').ok_or(invalid)?;
        shape.tokens = prompt.trim().parse().map_err(|_| invalid)?;
        shape.max_output = output.trim().parse().map_err(|_| invalid)?;
    }
    if let Some(prefix) = headers.get(&PROMPT_PREFIX) {
        let invalid = RequestRejection::BadHeader { header: "prompt-prefix" };
        let prefix = prefix.to_str().map_err(|_| invalid)?;
        for segment in prefix.split(',').filter(|segment| !segment.trim().is_empty()) {
            let (id, tokens) = segment.trim().split_once(':').ok_or(invalid)?;
            let id = u64::from_str_radix(id, 16).map_err(|_| invalid)?;
            let tokens = tokens.parse().map_err(|_| invalid)?;
            shape.segments.push(PromptSegment { id, tokens });
        }
    }
    Ok(shape)
}

/// Hashes what stays the same when a caller sends a request again, which includes an empty
/// body. The caller is identified by its address, as no header names it.
fn request_identity(parts: &Parts, body: &Bytes, caller: IpAddr) -> RequestIdentity {
    let mut hasher = SipHasher13::new();
    header_text(&parts.headers, &HOST).hash(&mut hasher);
    parts.uri.path().hash(&mut hasher);
    body.hash(&mut hasher);
    let path = hasher.finish();
    let mut with_caller = hasher;
    caller.hash(&mut with_caller);
    let resource = with_caller.finish();
    for hasher in [&mut hasher, &mut with_caller] {
        parts.method.as_str().hash(hasher);
        parts.uri.query().hash(hasher);
    }
    RequestIdentity { path, content: hasher.finish(), resource, caller: with_caller.finish() }
}
