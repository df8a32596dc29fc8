//! Role-change orders that a stand-in engine accepts.

use hyper::StatusCode;
use serde::Deserialize;
use serde_json::json;

use super::runner::RunnerKind;

/// Order that a target accepted.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct OrderRecord {
    /// Stage to switch to: `prefill` or `decode`.
    pub stage: String,
    /// Name of the entry that sent the order.
    pub holder: String,
    /// Fencing token of the sender.
    pub fence: u64,
    /// Number of orders that the target must have accepted before this one.
    pub expected: u64,
}

/// Orders that one target accepted, and its current kind if one changed it.
#[derive(Debug, Default)]
pub(super) struct OrderBook {
    accepted: Vec<OrderRecord>,
    kind: Option<RunnerKind>,
}

impl OrderBook {
    /// Returns the current kind; `initial` applies until an order changes it.
    pub(super) fn kind(&self, initial: RunnerKind) -> RunnerKind {
        self.kind.unwrap_or(initial)
    }

    pub(super) fn reset_kind(&mut self) {
        self.kind = None;
    }

    pub(super) fn accepted(&self) -> &[OrderRecord] {
        &self.accepted
    }

    /// Returns the body of the target's `/report` response.
    pub(super) fn report(&self, initial: RunnerKind) -> String {
        let stage = stage_name(self.kind(initial));
        json!({ "stage": stage, "busy": false, "sequence": self.accepted.len() }).to_string()
    }

    /// Applies an order immediately if `expected` matches the number accepted so far.
    /// Responds 409 (conflict) if it does not, and 400 if the order is malformed.
    pub(super) fn accept(&mut self, body: &[u8]) -> StatusCode {
        let Ok(order) = serde_json::from_slice::<OrderRecord>(body) else {
            return StatusCode::BAD_REQUEST;
        };
        let kind = match order.stage.as_str() {
            "prefill" => RunnerKind::Prefill,
            "decode" => RunnerKind::Decode,
            _ => return StatusCode::BAD_REQUEST,
        };
        if self.accepted.len() as u64 != order.expected {
            return StatusCode::CONFLICT;
        }
        self.kind = Some(kind);
        self.accepted.push(order);
        StatusCode::ACCEPTED
    }
}

/// Returns the stage name of an engine; `None` for plain services.
pub(super) fn stage_name(kind: RunnerKind) -> Option<&'static str> {
    match kind {
        RunnerKind::Prefill => Some("prefill"),
        RunnerKind::Decode => Some("decode"),
        RunnerKind::Plain => None,
    }
}
