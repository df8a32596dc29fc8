//! Orders that a stand-in's engine takes.

use hyper::StatusCode;
use serde::Deserialize;
use serde_json::json;

use super::runner::RunnerKind;

/// Order that a target took.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct OrderRecord {
    /// The new part.
    pub stage: String,
    /// Who ordered.
    pub holder: String,
    /// Its fencing number.
    pub fence: u64,
    /// Number of orders before it.
    pub expected: u64,
}

/// Orders of one target, and the part that the last one gave it.
#[derive(Debug, Default)]
pub(super) struct OrderBook {
    taken: Vec<OrderRecord>,
    kind: Option<RunnerKind>,
}

impl OrderBook {
    /// Returns the part that the target plays now.
    pub(super) fn kind(&self, first: RunnerKind) -> RunnerKind {
        self.kind.unwrap_or(first)
    }

    pub(super) fn set_kind_back(&mut self) {
        self.kind = None;
    }

    pub(super) fn taken(&self) -> &[OrderRecord] {
        &self.taken
    }

    /// Returns the target's report of itself.
    pub(super) fn report(&self, first: RunnerKind) -> String {
        let stage = stage_name(self.kind(first));
        json!({ "stage": stage, "busy": false, "sequence": self.taken.len() }).to_string()
    }

    /// Carries an order out at once, where it names the number of those before it.
    pub(super) fn take(&mut self, body: &[u8]) -> StatusCode {
        let Ok(order) = serde_json::from_slice::<OrderRecord>(body) else {
            return StatusCode::BAD_REQUEST;
        };
        let kind = match order.stage.as_str() {
            "prefill" => RunnerKind::Prefill,
            "decode" => RunnerKind::Decode,
            _ => return StatusCode::BAD_REQUEST,
        };
        if self.taken.len() as u64 != order.expected {
            return StatusCode::CONFLICT;
        }
        self.kind = Some(kind);
        self.taken.push(order);
        StatusCode::ACCEPTED
    }
}

/// Names the part that an engine plays; `None` for plain services.
pub(super) fn stage_name(kind: RunnerKind) -> Option<&'static str> {
    match kind {
        RunnerKind::Prefill => Some("prefill"),
        RunnerKind::Decode => Some("decode"),
        RunnerKind::Plain => None,
    }
}
