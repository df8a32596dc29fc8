//! State of one request at its entry.

use std::sync::Arc;

use serde::Serialize;
use smallvec::SmallVec;

use crate::{
    contract::{CustomerContract, KindRoute, RequestKind},
    ids::{AttemptId, ClockTime, ContractRevision, LogOffset, RequestId, SideId, TargetId},
    request::CallerRequest,
};

/// One request that has no final answer yet.
#[derive(Debug, Clone, Serialize)]
pub(crate) struct RequestFlow {
    #[serde(skip)]
    pub(crate) request: Box<CallerRequest>,
    #[serde(skip)]
    pub(crate) contract: Arc<CustomerContract>,
    pub(crate) kind_index: usize,
    pub(crate) revision: ContractRevision,
    pub(crate) fingerprint: u64,
    pub(crate) deadline: ClockTime,
    pub(crate) attempts: u32,
    pub(crate) tried: SmallVec<[TargetId; 4]>,
    pub(crate) phase: FlowPhase,
    pub(crate) next_chunk: u32,
    pub(crate) text: String,
    pub(crate) cache: Option<CacheLease>,
    /// Whether some attempt may have had an effect.
    pub(crate) may_have_run: bool,
    /// Since when no target was usable.
    pub(crate) waiting_since: Option<ClockTime>,
}

/// What a request waits for.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub(crate) enum FlowPhase {
    /// A place.
    Unplaced,
    /// The log has to be read up to this offset.
    CatchUp { until: LogOffset },
    /// A side.
    Placed(PlacedAttempt),
}

/// The attempt that is under way.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub(crate) struct PlacedAttempt {
    pub(crate) attempt: AttemptId,
    pub(crate) side: SideId,
    pub(crate) target: TargetId,
    pub(crate) sent: ClockTime,
    pub(crate) taken: bool,
}

/// KV cache that an engine keeps for this request until it is released.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub(crate) struct CacheLease {
    pub(crate) side: SideId,
    pub(crate) attempt: AttemptId,
    pub(crate) target: TargetId,
    pub(crate) handle: u64,
}

impl RequestFlow {
    pub(crate) fn kind(&self) -> &RequestKind {
        &self.contract.kinds[self.kind_index]
    }

    pub(crate) fn placed(&self, attempt: AttemptId) -> Option<&PlacedAttempt> {
        match &self.phase {
            FlowPhase::Placed(placed) if placed.attempt == attempt => Some(placed),
            _ => None,
        }
    }

    pub(crate) fn next_attempt(&mut self, id: RequestId) -> AttemptId {
        self.attempts += 1;
        AttemptId { request: id, number: self.attempts }
    }

    /// Returns the model or service that serves the request.
    pub(crate) fn route(&self) -> &str {
        match &self.kind().route {
            KindRoute::Engine { model, .. } => model,
            KindRoute::Service { service } => service,
        }
    }

    pub(crate) fn is_call(&self) -> bool {
        matches!(self.kind().route, KindRoute::Service { .. })
    }
}
