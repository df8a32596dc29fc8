//! Admission control: the longest queueing time and the priority of a request.
//!
//! It serves load peaks that exceed the capacity of the targets for some seconds.

use std::time::Duration;

use super::{estimate::Placement, flow::DirectFlow};
use crate::ids::ClockTime;

/// Queueing time that is allowed even if the response will be late, relative to the objective.
const LATE_WAIT_SHARE: f32 = 0.25;
/// The same for a request that goes on with a stream: few targets can serve it, and a refusal
/// loses the events that its caller has.
const RESUMED_WAIT_SHARE: f32 = 1.0;
/// The same for a request that was late on arrival. Targets serve it after the others, so
/// its queueing does not delay them.
const RETURN_WAIT_SHARE: f32 = 1.0;
/// Highest priority of requests that were late on arrival.
const FIRST_LATE_PRIORITY: u8 = 5;

/// Returns the longest queueing time with which a request is admitted.
///
/// Under overload, a queue longer than the objective makes every response late; with a
/// shorter one the admitted requests are in time. A request that itself needs most of the
/// objective may still wait a little, so that large requests are served as well.
pub(super) fn allowed_wait(now: ClockTime, flow: &DirectFlow, placement: &Placement) -> Duration {
    let own = placement.expected().saturating_sub(placement.waiting());
    let slack = flow.objective.saturating_sub(now).saturating_sub(own);
    let share = match flow.version {
        Some(_) => RESUMED_WAIT_SHARE,
        None if flow.late => RETURN_WAIT_SHARE,
        None => LATE_WAIT_SHARE,
    };
    slack.max(flow.request.route.objective.mul_f32(share))
}

/// Returns the priority at targets, where requests that were late on arrival go last.
pub(super) fn priority(flow: &DirectFlow) -> u8 {
    let priority = flow.request.route.priority.min(FIRST_LATE_PRIORITY - 1);
    if flow.late { priority + FIRST_LATE_PRIORITY } else { priority }
}
