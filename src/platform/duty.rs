//! Calls to the platform that are the duty of one entry at a time.

use std::{collections::BTreeMap, net::SocketAddr};

use bytes::Bytes;
use hyper::{
    Method, Request, Uri,
    header::{CONTENT_TYPE, HOST, HeaderName, HeaderValue},
};
use serde::Serialize;

use crate::{
    direct::{CustomerName, OrderFencingToken, ScaleOrder, WindowUsage},
    error::{Error, ErrorCode, Result},
};

static LEASE_HOLDER: HeaderName = HeaderName::from_static("lease-holder");
static FENCING_TOKEN: HeaderName = HeaderName::from_static("fencing-token");

#[derive(Serialize)]
struct WireUsage<'a> {
    window: u64,
    counts: &'a BTreeMap<CustomerName, u64>,
}

/// Builds the report of a window's usage.
///
/// # Errors
/// Returns [`ErrorCode::Malformed`] if the holder's name is not a header value, or a name cannot be
/// encoded.
pub fn usage_request(
    address: SocketAddr,
    holder: &str,
    fence: OrderFencingToken,
    usage: &WindowUsage,
) -> Result<Request<Bytes>> {
    let wire = WireUsage { window: usage.window, counts: &usage.counts };
    duty_request(address, "/usage", holder, fence, &wire)
}

#[derive(Serialize)]
struct WireScale<'a> {
    service: &'a str,
    zone: &'a str,
    desired: u32,
}

/// Builds the order for the number of a service's targets in a data centre.
///
/// # Errors
/// Returns [`ErrorCode::Malformed`] if the holder's name is not a header value, or a name cannot be
/// encoded.
pub fn scale_request(
    address: SocketAddr,
    holder: &str,
    order: &ScaleOrder,
) -> Result<Request<Bytes>> {
    let wire =
        WireScale { service: &order.service, zone: &order.data_centre, desired: order.targets };
    duty_request(address, "/scale", holder, order.fence, &wire)
}

fn duty_request(
    address: SocketAddr,
    path: &'static str,
    holder: &str,
    fence: OrderFencingToken,
    content: &impl Serialize,
) -> Result<Request<Bytes>> {
    let body = serde_json::to_vec(content)
        .map_err(|e| Error::new(ErrorCode::Malformed, format!("call of {path} ({e})")))?;
    let mut request = Request::new(Bytes::from(body));
    *request.method_mut() = Method::POST;
    *request.uri_mut() = Uri::from_static(path);
    let headers = request.headers_mut();
    headers.insert(HOST, header_value(&address.to_string())?);
    headers.insert(&LEASE_HOLDER, header_value(holder)?);
    headers.insert(&FENCING_TOKEN, HeaderValue::from(fence));
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    Ok(request)
}

fn header_value(text: &str) -> Result<HeaderValue> {
    HeaderValue::from_str(text).map_err(|_| Error::new(ErrorCode::Malformed, format!("{text:?}")))
}
