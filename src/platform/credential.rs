//! Credentials in the `Authorization` header of a caller's request.

use std::fmt;

use hyper::header::{AUTHORIZATION, HeaderMap};
use snafu::Snafu;
use strum::IntoStaticStr;

use crate::direct::{CallerIdentity, RouteConfig, RouteTable};

/// Scheme of the credentials. As of any scheme, its case does not matter.
pub(super) const SCHEME: &str = "Token";
/// Longest key that is looked up, in bytes.
const MAX_KEY_BYTES: usize = 512;

/// Reason for which credentials are rejected. The text is part of the response.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum CredentialFault {
    /// There are none, and the route serves no anonymous requests.
    #[snafu(display("no credentials"))]
    Missing,
    /// There are several.
    #[snafu(display("more than one Authorization header"))]
    Repeated,
    /// They are not of the form `Token KEY`.
    #[snafu(display("credentials are not of the form \"Token KEY\""))]
    Malformed,
    /// The key is empty.
    #[snafu(display("empty key"))]
    EmptyKey,
    /// The key is longer than any that is looked up.
    #[snafu(display("key longer than {MAX_KEY_BYTES} bytes"))]
    KeyTooLong,
    /// The configuration in force has no such key.
    #[snafu(display("unknown key"))]
    UnknownKey,
}

/// Key of a caller. Its debug form hides it.
#[derive(Clone, Copy, PartialEq, Eq)]
struct CallerKey<'a>(&'a [u8]);

impl fmt::Debug for CallerKey<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("CallerKey")
    }
}

/// Returns for whom a request is served, by its credentials.
///
/// Credentials that are present have to be valid on every route: a caller whose key was removed
/// is not served as an anonymous one.
///
/// # Errors
/// Returns the reason for which the request is not served.
pub(super) fn identify(
    headers: &HeaderMap,
    route: &RouteConfig,
    table: &RouteTable,
) -> Result<CallerIdentity, CredentialFault> {
    let Some(customers) = &table.customers else { return Ok(CallerIdentity::Unchecked) };
    match caller_key(headers)? {
        Some(CallerKey(key)) => match customers.find(key) {
            Some(customer) => Ok(CallerIdentity::Customer(customer.clone())),
            None => Err(CredentialFault::UnknownKey),
        },
        None if route.allows_anonymous => Ok(CallerIdentity::Anonymous),
        None => Err(CredentialFault::Missing),
    }
}

fn caller_key(headers: &HeaderMap) -> Result<Option<CallerKey<'_>>, CredentialFault> {
    let mut credentials = headers.get_all(AUTHORIZATION).iter();
    let Some(credential) = credentials.next() else { return Ok(None) };
    if credentials.next().is_some() {
        return Err(CredentialFault::Repeated);
    }
    let text = credential.as_bytes().trim_ascii();
    let scheme_end = text.iter().position(|byte| *byte == b' ').unwrap_or(text.len());
    let (scheme, key) = text.split_at(scheme_end);
    if !scheme.eq_ignore_ascii_case(SCHEME.as_bytes()) {
        return Err(CredentialFault::Malformed);
    }
    let key = key.trim_ascii_start();
    if key.is_empty() {
        return Err(CredentialFault::EmptyKey);
    }
    if key.len() > MAX_KEY_BYTES {
        return Err(CredentialFault::KeyTooLong);
    }
    if key.contains(&b' ') {
        return Err(CredentialFault::Malformed);
    }
    Ok(Some(CallerKey(key)))
}
