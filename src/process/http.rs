//! HTTP requests with time and size limits.

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

/// Largest answer that is read as a whole, in bytes.
pub const MAX_ANSWER_BYTES: usize = 64 * 1024 * 1024;
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1000);

/// HTTP client.
#[derive(Debug, Clone)]
pub struct HttpClient {
    inner: Arc<Client<HttpConnector, Full<Bytes>>>,
}

/// Failure of a request that was sent as a stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SendFailure {
    /// No connection could be made, so no byte was sent.
    NotConnected,
    /// The connection broke or timed out afterwards.
    Broken,
}

impl HttpClient {
    /// Makes a client that keeps at most `idle` unused connections to each address.
    ///
    /// With 0, each request opens a connection, so that a failure to connect
    /// proves that nothing was sent.
    pub fn open(idle: usize) -> HttpClient {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        let inner = Client::builder(TokioExecutor::new())
            .pool_max_idle_per_host(idle)
            .retry_canceled_requests(false)
            .build(connector);
        HttpClient { inner: Arc::new(inner) }
    }

    /// Sends a request and returns the answer's head; its body streams.
    ///
    /// # Errors
    /// Tells whether any byte may have reached the server.
    pub async fn stream(
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

    /// Sends a request and reads the whole answer.
    ///
    /// # Errors
    /// Returns [`ErrorCode::Timeout`], [`ErrorCode::Network`] or [`ErrorCode::TooLarge`].
    pub async fn send(
        &self,
        method: Method,
        url: &str,
        body: Bytes,
        timeout: Duration,
    ) -> Result<(StatusCode, Bytes)> {
        let request = build(method, url, body)?;
        let exchange = async {
            let response = self
                .inner
                .request(request)
                .await
                .map_err(|e| Error::new(ErrorCode::Network, format!("{url} ({e})")))?;
            let status = response.status();
            let body = read_body(response.into_body(), MAX_ANSWER_BYTES, url).await?;
            Ok((status, body))
        };
        tokio::time::timeout(timeout, exchange)
            .await
            .map_err(|_| Error::new(ErrorCode::Timeout, url.to_owned()))?
    }

    /// Sends a JSON document, if any, and parses a JSON answer.
    ///
    /// # Errors
    /// Returns [`ErrorCode::PlatformUnavailable`] for a status other than 2xx, and
    /// [`ErrorCode::Malformed`] for an answer of another shape.
    pub async fn json<T: DeserializeOwned>(
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
        let (status, answer) = self.send(method, url, body.into(), timeout).await?;
        if !status.is_success() {
            return Err(Error::new(
                ErrorCode::PlatformUnavailable,
                format!("{url} status {status}"),
            ));
        }
        serde_json::from_slice(&answer)
            .map_err(|e| Error::new(ErrorCode::Malformed, format!("answer of {url} ({e})")))
    }
}

/// Builds a request with a JSON body.
///
/// # Errors
/// Returns [`ErrorCode::OutOfRange`] for an address that is no URL.
pub fn build(method: Method, url: &str, body: Bytes) -> Result<Request<Full<Bytes>>> {
    Request::builder()
        .method(method)
        .uri(url)
        .header(CONTENT_TYPE, "application/json")
        .body(Full::new(body))
        .map_err(|e| Error::new(ErrorCode::OutOfRange, format!("{url} ({e})")))
}

/// Reads a body of limited size.
///
/// # Errors
/// Returns [`ErrorCode::TooLarge`] or [`ErrorCode::Network`].
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
