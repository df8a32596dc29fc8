//! State and records exchanged between processes of the system.

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

/// Client of the peers named in the settings.
#[derive(Debug, Clone)]
pub struct PeerClient {
    client: HttpClient,
    peers: Vec<SocketAddr>,
}

impl PeerClient {
    /// Makes a client for these peers.
    pub fn open(peers: Vec<SocketAddr>) -> PeerClient {
        PeerClient { client: HttpClient::open(1), peers }
    }

    /// Returns the newest fold that a peer holds.
    pub async fn fold(&self) -> Option<FleetState> {
        let mut newest: Option<FleetState> = None;
        for peer in &self.peers {
            let Ok(fold) = self.get::<FleetState>(peer, "/peer/fold").await else { continue };
            if newest.as_ref().is_none_or(|known| fold.view().next > known.view().next) {
                newest = Some(fold);
            }
        }
        newest
    }

    /// Returns the records from `from` on of the peer that has read furthest.
    pub async fn recent(&self, from: LogOffset) -> Option<RecentRecords> {
        let mut newest: Option<RecentRecords> = None;
        let path = format!("/peer/records?from={from}");
        for peer in &self.peers {
            let Ok(recent) = self.get::<RecentRecords>(peer, &path).await else { continue };
            if newest.as_ref().is_none_or(|known| recent.next > known.next) {
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

/// Encodes an answer to a peer.
///
/// # Errors
/// Returns [`ErrorCode::Protocol`] where the value cannot be encoded.
pub fn encode<T: Serialize>(value: &T) -> Result<Vec<u8>> {
    let mut buffer = Vec::new();
    ciborium::into_writer(value, &mut buffer)
        .map_err(|e| Error::new(ErrorCode::Protocol, format!("peer answer ({e})")))?;
    Ok(buffer)
}
