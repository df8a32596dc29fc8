//! Events and actions of the duty to order the number of targets.

use std::time::Duration;

use serde::Serialize;

use super::{ClaimOutcome, PostOutcome, ScaleOrder};

/// How the number of targets is ordered.
#[derive(Debug, Clone, Serialize)]
pub struct ScaleSettings {
    /// Shortest time between two calls to the platform.
    pub call_interval: Duration,
}

/// Event of the duty.
#[derive(Debug, Clone)]
pub enum ScaleEvent {
    /// A claim on the duty ended.
    ClaimEnded(ClaimOutcome),
    /// An order ended.
    OrderEnded {
        /// The order.
        order: ScaleOrder,
        /// How it ended.
        outcome: PostOutcome,
    },
}

/// Action of the duty that the driver carries out.
#[derive(Debug, Clone, PartialEq)]
pub enum ScaleAction {
    /// Write a claim on the duty to the store.
    Claim,
    /// Send an order to the platform, if the store holds its claim.
    Order(ScaleOrder),
}
