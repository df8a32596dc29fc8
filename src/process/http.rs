//! HTTP client with time and size limits.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::{Method, Request, Response, StatusCode, body::Incoming, header::CONTENT_TYPE};
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::TokioExecutor,
};
use serde::{Serialize, de::DeserializeOwned};

use crate::error::{Error, ErrorCode, Result};

/// Largest response body that [`HttpClient::send`] reads, in bytes.
pub const MAX_RESPONSE_BYTES: usize = 64 * 1024 * 1024;
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1000);

/// HTTP client with a connection pool; clones share the pool.
#[derive(Debug, Clone)]
pub struct HttpClient {
    inner: Arc<Client<HttpConnector, Full<Bytes>>>,
}

/// Failure before the head of a response arrived.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SendFailure {
    /// The connection could not be established, so nothing was sent.
    NotConnected,
    /// The connection broke or timed out later, so the server may have received the request.
    Broken,
}

impl HttpClient {
    /// Creates a client that keeps at most `max_idle` idle connections per host.
    ///
    /// With 0, each request opens a new connection, so that a connect failure
    /// proves that nothing was sent.
    pub fn new(max_idle: usize) -> HttpClient {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        let inner = Client::builder(TokioExecutor::new())
            .pool_max_idle_per_host(max_idle)
            .retry_canceled_requests(false)
            .build(connector);
        HttpClient { inner: Arc::new(inner) }
    }

    /// Sends a request and returns the response as soon as its head has arrived.
    ///
    /// `timeout` limits the time to the head, not that of the body.
    ///
    /// # Errors
    /// The failure indicates whether the server may have received the request.
    pub async fn send_streaming(
        &self,
        request: Request<Full<Bytes>>,
        timeout: Duration,
    ) -> Result<Response<Incoming>, SendFailure> {
        match tokio::time::timeout(timeout, self.inner.request(request)).await {
            Ok(Ok(response)) => Ok(response),
            Ok(Err(error)) if error.is_connect() => Err(SendFailure::NotConnected),
            Ok(Err(_)) | Err(_) => Err(SendFailure::Broken),
        }
    }

    /// Sends a request and reads the complete response.
    ///
    /// # Errors
    /// Returns [`ErrorCode::OutOfRange`] for an invalid URL, and [`ErrorCode::Timeout`],
    /// [`ErrorCode::Network`] or [`ErrorCode::TooLarge`] if the exchange fails.
    pub async fn send(
        &self,
        method: Method,
        url: &str,
        body: Bytes,
        timeout: Duration,
    ) -> Result<(StatusCode, Bytes)> {
        let request = build_request(method, url, body)?;
        let exchange = async {
            let response = self
                .inner
                .request(request)
                .await
                .map_err(|e| Error::new(ErrorCode::Network, format!("{url} ({e})")))?;
            let status = response.status();
            let body = read_body(response.into_body(), MAX_RESPONSE_BYTES, url).await?;
            Ok((status, body))
        };
        tokio::time::timeout(timeout, exchange)
            .await
            .map_err(|_| Error::new(ErrorCode::Timeout, url.to_owned()))?
    }

    /// Sends a JSON document, if any, and parses the JSON response.
    ///
    /// # Errors
    /// Returns the errors of [`HttpClient::send`], [`ErrorCode::PlatformUnavailable`] for a
    /// status other than 2xx, and [`ErrorCode::Malformed`] for a response of another shape.
    pub async fn send_json<T: DeserializeOwned>(
        &self,
        method: Method,
        url: &str,
        document: Option<&impl Serialize>,
        timeout: Duration,
    ) -> Result<T> {
        let body = match document {
            Some(document) => serde_json::to_vec(document)
                .map_err(|e| Error::new(ErrorCode::Malformed, format!("request ({e})")))?,
            None => Vec::new(),
        };
        let (status, response) = self.send(method, url, body.into(), timeout).await?;
        if !status.is_success() {
            return Err(Error::new(
                ErrorCode::PlatformUnavailable,
                format!("{url} status {status}"),
            ));
        }
        serde_json::from_slice(&response)
            .map_err(|e| Error::new(ErrorCode::Malformed, format!("answer of {url} ({e})")))
    }
}

/// Builds a request with a JSON body.
///
/// # Errors
/// Returns [`ErrorCode::OutOfRange`] for an invalid URL.
pub fn build_request(method: Method, url: &str, body: Bytes) -> Result<Request<Full<Bytes>>> {
    Request::builder()
        .method(method)
        .uri(url)
        .header(CONTENT_TYPE, "application/json")
        .body(Full::new(body))
        .map_err(|e| Error::new(ErrorCode::OutOfRange, format!("{url} ({e})")))
}

/// Reads a complete body of at most `limit` bytes; `place` names its source in errors.
///
/// # Errors
/// Returns [`ErrorCode::TooLarge`] for a longer body and [`ErrorCode::Network`] if reading
/// fails.
pub async fn read_body(body: Incoming, limit: usize, place: &str) -> Result<Bytes> {
    let collected = Limited::new(body, limit).collect().await.map_err(|e| {
        let code = if e.is::<http_body_util::LengthLimitError>() {
            ErrorCode::TooLarge
        } else {
            ErrorCode::Network
        };
        Error::new(code, format!("body from {place}"))
    })?;
    Ok(collected.to_bytes())
}
