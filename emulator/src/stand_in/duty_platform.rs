//! Stand-in for the platform's interface that takes the calls of duties. It keeps every call.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
};

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::{Request, Response, StatusCode, body::Incoming};
use serde_json::Value;
use tokio::time::Instant;

use super::{BrokenOff, StandInBody, whole};

/// Call that reached the interface.
#[derive(Debug, Clone, PartialEq)]
pub struct DutyCallRecord {
    /// When it arrived.
    pub at: Instant,
    /// Path that names the duty.
    pub path: String,
    /// Entry that it names as the duty's holder.
    pub holder: String,
    /// Its fencing token.
    pub fence: u64,
    /// Its body.
    pub body: Value,
}

/// The interface; clones share its calls.
#[derive(Debug, Clone, Default)]
pub struct DutyPlatform {
    calls: Arc<Mutex<Vec<DutyCallRecord>>>,
}

impl DutyPlatform {
    /// Serves the interface on a free port and returns its address.
    ///
    /// # Errors
    /// Returns an error if no port can be bound.
    pub async fn spawn(&self) -> std::io::Result<SocketAddr> {
        let platform = self.clone();
        let (address, _) = super::serve(0, move |request| platform.clone().handle(request)).await?;
        Ok(address)
    }

    /// Returns all calls, oldest first.
    pub fn calls(&self) -> Vec<DutyCallRecord> {
        self.calls.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    async fn handle(self, request: Request<Incoming>) -> Result<Response<StandInBody>, BrokenOff> {
        let (head, body) = request.into_parts();
        let body = body.collect().await.map_err(|_| BrokenOff::Closed)?.to_bytes();
        let header = |name: &str| head.headers.get(name)?.to_str().ok().map(str::to_owned);
        let fence = header("fencing-token").and_then(|text| text.parse().ok());
        let call = header("lease-holder").zip(fence).zip(serde_json::from_slice(&body).ok());
        let status = match call {
            Some(((holder, fence), body)) => {
                let path = head.uri.path().to_owned();
                let call = DutyCallRecord { at: Instant::now(), path, holder, fence, body };
                self.calls.lock().unwrap_or_else(PoisonError::into_inner).push(call);
                StatusCode::OK
            }
            None => StatusCode::BAD_REQUEST,
        };
        let mut response = Response::new(whole(Bytes::new()));
        *response.status_mut() = status;
        Ok(response)
    }
}
