//! How long a request may wait for others, and which goes first.
//!
//! The load pattern that this answers is a peak in which more comes than the
//! targets can do for some seconds.

use std::time::Duration;

use super::{estimate::Placement, flow::DirectFlow};
use crate::ids::ClockTime;

/// Part of its objective that a request may wait for others although it will be late.
const LATE_WAIT_SHARE: f32 = 0.25;
/// The same for a request that was late when it came: targets serve it after
/// the others, so that its waiting takes nothing from them.
const RETURN_WAIT_SHARE: f32 = 1.0;
/// First rank of requests that are late already.
const FIRST_LATE_PRIORITY: u8 = 5;

/// Returns how long a request may wait for others.
///
/// While more comes than the targets can do, a queue that outlasts the
/// objective makes every answer late; with a shorter one those that are
/// admitted are in time. A request that needs long by itself may still wait a
/// little, so that large ones are served as well.
pub(super) fn allowed_wait(now: ClockTime, flow: &DirectFlow, placement: &Placement) -> Duration {
    let own = placement.expected().saturating_sub(placement.waiting());
    let left = flow.objective.saturating_sub(now).saturating_sub(own);
    let part = if flow.late { RETURN_WAIT_SHARE } else { LATE_WAIT_SHARE };
    left.max(flow.request.route.objective.mul_f32(part))
}

/// Returns the priority at targets: what cannot be in time goes last.
pub(super) fn priority(flow: &DirectFlow) -> u8 {
    let rank = flow.request.route.priority.min(FIRST_LATE_PRIORITY - 1);
    if flow.late { rank + FIRST_LATE_PRIORITY } else { rank }
}
