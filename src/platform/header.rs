//! Names of the platform's HTTP headers, and rules for which ones are forwarded.

use hyper::header::{
    AUTHORIZATION, CONNECTION, CONTENT_LENGTH, EXPECT, HeaderMap, HeaderName, PROXY_AUTHENTICATE,
    PROXY_AUTHORIZATION, TE, TRAILER, TRANSFER_ENCODING, UPGRADE,
};

pub(super) static REQUEST_ID: HeaderName = HeaderName::from_static("request-id");
pub(super) static DEADLINE_MS: HeaderName = HeaderName::from_static("deadline-ms");
pub(super) static TOKEN_COUNT: HeaderName = HeaderName::from_static("token-count");
pub(super) static PROMPT_PREFIX: HeaderName = HeaderName::from_static("prompt-prefix");
pub(super) static LAST_EVENT_ID: HeaderName = HeaderName::from_static("last-event-id");
pub(super) static RESUMES: HeaderName = HeaderName::from_static("resumes");
pub(super) static EXPECT_INSTANCE: HeaderName = HeaderName::from_static("expect-instance");
pub(super) static REQUEST_PRIORITY: HeaderName = HeaderName::from_static("request-priority");
pub(super) static SERVING_STAGE: HeaderName = HeaderName::from_static("serving-stage");
pub(super) static KV_SOURCE: HeaderName = HeaderName::from_static("kv-source");
pub(super) static NOT_EXECUTED: HeaderName = HeaderName::from_static("not-executed");
pub(super) static SERVER_SIGNATURE: HeaderName = HeaderName::from_static("server-signature");
pub(super) static SERVER_LEAVING: HeaderName = HeaderName::from_static("server-leaving");
pub(super) static SERVER_LIMIT: HeaderName = HeaderName::from_static("server-limit");
/// Name of the customer, which targets get.
pub(super) static TENANT: HeaderName = HeaderName::from_static("tenant");
pub(super) static KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");

/// Request headers that only this system may set; a caller's values are not forwarded.
static RESERVED: [HeaderName; 9] = [
    HeaderName::from_static("deadline-ms"),
    HeaderName::from_static("expect-instance"),
    HeaderName::from_static("expect-version"),
    HeaderName::from_static("request-priority"),
    HeaderName::from_static("serving-stage"),
    HeaderName::from_static("kv-source"),
    HeaderName::from_static("kv-hold"),
    HeaderName::from_static("kv-backup"),
    HeaderName::from_static("pin-ms"),
];
pub(super) static KV_FETCH: HeaderName = HeaderName::from_static("kv-fetch");

/// Removes hop-by-hop headers, except those named by `Connection` that a target needs.
pub(super) fn strip_hop_by_hop(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    let fixed = [
        CONNECTION,
        CONTENT_LENGTH,
        EXPECT,
        PROXY_AUTHENTICATE,
        PROXY_AUTHORIZATION,
        TE,
        TRAILER,
        TRANSFER_ENCODING,
        UPGRADE,
        KEEP_ALIVE.clone(),
    ];
    for name in named.iter().filter(|name| !is_end_to_end(name)).chain(&fixed) {
        headers.remove(name);
    }
}

/// Removes the request headers that only this system may set.
pub(super) fn strip_reserved(headers: &mut HeaderMap) {
    for name in RESERVED.iter().chain([&KV_FETCH]) {
        headers.remove(name);
    }
}

/// Removes a caller's key and any customer's name that it sent. Only configurations with customers
/// give these headers a meaning.
pub(super) fn strip_identity(headers: &mut HeaderMap) {
    headers.remove(AUTHORIZATION);
    headers.remove(&TENANT);
}

/// Returns whether a target needs a header, so that a caller's `Connection` header cannot
/// remove it.
fn is_end_to_end(name: &HeaderName) -> bool {
    [&REQUEST_ID, &TOKEN_COUNT, &PROMPT_PREFIX, &LAST_EVENT_ID].contains(&name)
        || name.as_str() == "model"
        || name == hyper::header::HOST
}
