//! Decoder of the registrations that targets write to the platform's store.

use std::{net::SocketAddr, sync::Arc};

use serde::{Deserialize, Serialize};

use crate::{
    direct::{DirectTarget, TargetStage},
    error::{Error, ErrorCode, Result},
};

/// Topic that holds one registration per target, keyed by target id.
pub const TOPIC: &str = "keyed.servers";

/// Largest number of slots that is accepted. A larger one is no target's, and would outweigh all
/// others.
const MAX_SLOTS: u32 = 65_536;

#[derive(Deserialize)]
struct WireRegistration {
    service: Arc<str>,
    address: SocketAddr,
    zone: Arc<str>,
    version: Arc<str>,
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

#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub(super) enum WireStage {
    Prefill,
    Decode,
}

impl From<WireStage> for TargetStage {
    fn from(stage: WireStage) -> TargetStage {
        match stage {
            WireStage::Prefill => TargetStage::Prefill,
            WireStage::Decode => TargetStage::Decode,
        }
    }
}

/// Decodes a target's registration.
///
/// # Errors
/// Returns [`ErrorCode::Malformed`] if it is not valid JSON, a field is missing or has
/// an invalid value, or nothing can be called by its id or address.
pub fn decode(id: &str, value: &[u8]) -> Result<DirectTarget> {
    let malformed = |reason: &dyn std::fmt::Display| {
        Error::new(ErrorCode::Malformed, format!("registration of target {id:?} ({reason})"))
    };
    let registration: WireRegistration =
        serde_json::from_slice(value).map_err(|e| malformed(&e))?;
    // Calls name their target by its id, in a header.
    if id.is_empty() || !id.bytes().all(|byte| byte.is_ascii_graphic()) {
        return Err(malformed(&"its id is no name"));
    }
    if registration.address.port() == 0 || registration.address.ip().is_unspecified() {
        return Err(malformed(&"its address is none"));
    }
    if registration.slots > MAX_SLOTS {
        return Err(malformed(&"too many slots"));
    }
    let stage = registration.stage.map_or(TargetStage::Plain, TargetStage::from);
    Ok(DirectTarget {
        id: id.into(),
        born_ms: registration.born,
        service: registration.service,
        version: registration.version,
        address: registration.address,
        data_centre: registration.zone,
        stage,
        slots: registration.slots,
        leaving: matches!(registration.state, WireState::Draining),
        sequence: registration.sequence,
    })
}
