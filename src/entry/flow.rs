//! State of one request at its entry, until its final answer.

use std::sync::Arc;

use serde::Serialize;
use smallvec::SmallVec;

use crate::{
    contract::{CustomerContract, KindRoute, RequestKind},
    ids::{AttemptId, ClockTime, ContractRevision, LogOffset, RequestId, SideId, TargetId},
    request::CallerRequest,
};

/// State of a request that has no final answer yet.
#[derive(Debug, Clone, Serialize)]
pub(crate) struct RequestState {
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
    pub(crate) phase: RequestPhase,
    pub(crate) next_chunk: u32,
    pub(crate) text: String,
    pub(crate) cache: Option<CacheLease>,
    /// Whether some attempt may have run on a target.
    pub(crate) may_have_run: bool,
    /// Time since which no target was usable; `None` once the request is placed.
    pub(crate) waiting_since: Option<ClockTime>,
}

/// What a request is waiting for.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub(crate) enum RequestPhase {
    /// A usable target.
    Unplaced,
    /// The local copy of the log to reach offset `until`.
    CatchUp { until: LogOffset },
    /// The end of the attempt at this side.
    Placed(PlacedAttempt),
}

/// The attempt in flight.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub(crate) struct PlacedAttempt {
    pub(crate) attempt: AttemptId,
    pub(crate) side: SideId,
    pub(crate) target: TargetId,
    pub(crate) sent: ClockTime,
    /// Whether the side has confirmed that the attempt is in its queue.
    #[serde(rename = "taken")]
    pub(crate) accepted: bool,
}

/// KV cache that a prefill engine holds for this request until it is released.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub(crate) struct CacheLease {
    pub(crate) side: SideId,
    pub(crate) attempt: AttemptId,
    pub(crate) target: TargetId,
    pub(crate) handle: u64,
}

impl RequestState {
    pub(crate) fn kind(&self) -> &RequestKind {
        &self.contract.kinds[self.kind_index]
    }

    pub(crate) fn placed(&self, attempt: AttemptId) -> Option<&PlacedAttempt> {
        match &self.phase {
            RequestPhase::Placed(placed) if placed.attempt == attempt => Some(placed),
            _ => None,
        }
    }

    pub(crate) fn next_attempt(&mut self, id: RequestId) -> AttemptId {
        self.attempts += 1;
        AttemptId { request: id, number: self.attempts }
    }

    /// Returns the name of the model or service that serves the request.
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
