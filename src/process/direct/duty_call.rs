//! Calls to the platform that an entry makes while its claim on a duty holds.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::{Request, StatusCode};

use super::orders::{CLAIM_CHECK_LIFETIME, boot_time, token_at};
use crate::{
    direct::{BootTime, OrderFencingToken, PeerName, PostOutcome},
    error::{Error, ErrorCode, Result},
    platform::store::{KeyedRecord, RecordPage, TopicPosition},
    process::dial,
};

/// Key of the claims in a duty's topic; the newest record is the claim in force.
pub(super) const CLAIM_KEY: &str = "claim";
/// Timeout of a call, connecting included.
const CALL_TIMEOUT: Duration = Duration::from_millis(1200);
/// Largest response body that is read from the platform.
const MAX_RESPONSE_BYTES: usize = 64 * 1024;

/// Returns who holds the newest claim of a duty's topic, and its token.
pub(super) fn newest_claim(page: &RecordPage) -> Option<(PeerName, OrderFencingToken)> {
    let record = record(page, CLAIM_KEY)?;
    let holder = std::str::from_utf8(record.value.as_deref()?).ok()?;
    // Offsets are those of the page's generation.
    let end = TopicPosition { offset: record.offset + 1, ..page.next };
    Some((holder.into(), token_at(end)?))
}

/// Returns the newest record of a key.
pub(super) fn record<'a>(page: &'a RecordPage, key: &str) -> Option<&'a KeyedRecord> {
    page.records.iter().find(|record| record.key == key)
}

/// Sends a call of a duty, unless the claim was checked too long ago.
pub(super) async fn send(
    duty: &'static str,
    address: SocketAddr,
    request: Request<Bytes>,
    checked: BootTime,
) -> PostOutcome {
    match exchange(address, request, checked).await {
        Ok(Some(status)) if status.is_success() => PostOutcome::Accepted,
        Ok(Some(status)) => {
            log::info!(status:% = status.as_u16(); "platform refused {duty}");
            PostOutcome::Refused
        }
        Ok(None) => PostOutcome::CheckExpired,
        Err(error) => {
            log::info!(error:% = error; "no response to {duty}");
            PostOutcome::NoAnswer
        }
    }
}

/// Sends one request over a new connection, and returns the status of its response, or `None` if
/// the claim was checked too long ago.
async fn exchange(
    address: SocketAddr,
    request: Request<Bytes>,
    checked: BootTime,
) -> Result<Option<StatusCode>> {
    let failed = |e: hyper::Error| Error::new(ErrorCode::Network, format!("{address} ({e})"));
    let work = async {
        let mut connection = dial::connect(address, CALL_TIMEOUT).await?;
        if boot_time().saturating_sub(checked) > CLAIM_CHECK_LIFETIME {
            return Ok(None);
        }
        let response = connection.sender.send_request(request.map(Full::new)).await;
        let response = response.map_err(failed)?;
        let status = response.status();
        // The body says nothing more; without its end the connection would be reset.
        drop(Limited::new(response.into_body(), MAX_RESPONSE_BYTES).collect().await);
        Ok(Some(status))
    };
    let timed_out = |_| Error::new(ErrorCode::Timeout, address.to_string());
    tokio::time::timeout(CALL_TIMEOUT, work).await.map_err(timed_out)?
}
