//! Entries with which targets register themselves in the platform's store.

use std::{net::SocketAddr, sync::Arc};

use serde::Deserialize;

use crate::{
    direct::{DirectTarget, TargetStage},
    error::{Error, ErrorCode, Result},
};

/// Topic with the targets' entries, by the targets' ids.
pub const TOPIC: &str = "keyed.servers";

#[derive(Deserialize)]
struct WireEntry {
    service: Arc<str>,
    address: SocketAddr,
    zone: Arc<str>,
    slots: u32,
    state: WireState,
    stage: Option<WireStage>,
    sequence: u64,
    #[serde(default)]
    born: u64,
}

#[derive(Deserialize)]
#[serde(rename_all = "lowercase")]
enum WireState {
    Ready,
    Draining,
}

#[derive(Deserialize)]
#[serde(rename_all = "lowercase")]
enum WireStage {
    Prefill,
    Decode,
}

/// Decodes the entry of a target.
///
/// # Errors
/// Returns [`ErrorCode::Malformed`] for an entry that names no usable target.
pub fn decode(id: &str, value: &[u8]) -> Result<DirectTarget> {
    let entry: WireEntry = serde_json::from_slice(value)
        .map_err(|e| Error::new(ErrorCode::Malformed, format!("entry of target {id:?} ({e})")))?;
    let stage = match entry.stage {
        None => TargetStage::Plain,
        Some(WireStage::Prefill) => TargetStage::Prefill,
        Some(WireStage::Decode) => TargetStage::Decode,
    };
    Ok(DirectTarget {
        id: id.into(),
        born_ms: entry.born,
        service: entry.service,
        address: entry.address,
        data_centre: entry.zone,
        stage,
        slots: entry.slots,
        leaving: matches!(entry.state, WireState::Draining),
        sequence: entry.sequence,
    })
}
