//! Decoder of the registrations that targets write to the platform's store.

use std::{net::SocketAddr, sync::Arc};

use serde::{Deserialize, Serialize};

use crate::{
    direct::{DirectTarget, TargetStage},
    error::{Error, ErrorCode, Result},
};

/// Topic that holds one registration per target, keyed by target id.
pub const TOPIC: &str = "keyed.servers";

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
/// Returns [`ErrorCode::Malformed`] if it is not valid JSON, or a field is missing or has
/// an invalid value.
pub fn decode(id: &str, value: &[u8]) -> Result<DirectTarget> {
    let registration: WireRegistration = serde_json::from_slice(value).map_err(|e| {
        Error::new(ErrorCode::Malformed, format!("registration of target {id:?} ({e})"))
    })?;
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
