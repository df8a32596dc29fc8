//! Client of peers, which provide state and records that the log service cannot.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use hyper::Method;
use serde::{Serialize, de::DeserializeOwned};

use super::{control::RecentRecords, http::HttpClient};
use crate::{
    error::{Error, ErrorCode, Result},
    fold::FleetState,
    ids::LogOffset,
};

const PEER_TIMEOUT: Duration = Duration::from_millis(1500);

/// Client of the peers that the settings name.
#[derive(Debug, Clone)]
pub struct PeerClient {
    client: HttpClient,
    peers: Vec<SocketAddr>,
}

impl PeerClient {
    /// Creates a client for these peers.
    pub fn new(peers: Vec<SocketAddr>) -> PeerClient {
        PeerClient { client: HttpClient::new(1), peers }
    }

    /// Fetches the fleet state of every peer and returns the newest, or `None` if no peer
    /// responds.
    pub async fn fetch_fleet(&self) -> Option<FleetState> {
        let mut newest: Option<FleetState> = None;
        for peer in &self.peers {
            let Ok(fleet) = self.get::<FleetState>(peer, "/peer/fold").await else { continue };
            if newest.as_ref().is_none_or(|held| fleet.view().next > held.view().next) {
                newest = Some(fleet);
            }
        }
        newest
    }

    /// Fetches the records from offset `from` on and returns those of the peer that has read
    /// furthest, or `None` if no peer responds.
    pub async fn fetch_recent(&self, from: LogOffset) -> Option<RecentRecords> {
        let mut newest: Option<RecentRecords> = None;
        let path = format!("/peer/records?from={from}");
        for peer in &self.peers {
            let Ok(recent) = self.get::<RecentRecords>(peer, &path).await else { continue };
            if newest.as_ref().is_none_or(|held| recent.next > held.next) {
                newest = Some(recent);
            }
        }
        newest
    }

    async fn get<T: DeserializeOwned>(&self, peer: &SocketAddr, path: &str) -> Result<T> {
        let url = format!("http://{peer}{path}");
        let (status, body) =
            self.client.send(Method::GET, &url, Bytes::new(), PEER_TIMEOUT).await?;
        if !status.is_success() {
            return Err(Error::new(ErrorCode::Protocol, format!("{url} status {status}")));
        }
        ciborium::from_reader(body.as_ref())
            .map_err(|e| Error::new(ErrorCode::Protocol, format!("{url} ({e})")))
    }
}

/// Encodes a response to a peer as CBOR.
///
/// # Errors
/// Returns [`ErrorCode::Protocol`] if the value cannot be encoded.
pub fn encode<T: Serialize>(value: &T) -> Result<Vec<u8>> {
    let mut buffer = Vec::new();
    ciborium::into_writer(value, &mut buffer)
        .map_err(|e| Error::new(ErrorCode::Protocol, format!("peer response ({e})")))?;
    Ok(buffer)
}
