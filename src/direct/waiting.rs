//! Admission control: the longest queueing time and the priority of a request.
//!
//! It serves load peaks that exceed the capacity of the targets for some seconds.

use std::time::Duration;

use super::{backlog::FIRST_LATE_PRIORITY, flow::DirectFlow};
use crate::ids::ClockTime;

/// Queueing time that is allowed even if the response will be late, relative to the objective.
const LATE_WAIT_SHARE: f32 = 0.25;

/// Returns the longest queueing time with which a request is admitted: what is left of its
/// objective, whatever it needs itself, so that large requests are served as well.
///
/// Under overload, a longer queue makes every response late. One that was late on arrival has its
/// whole objective, as targets serve it after the others. So has one that goes on with a stream, as
/// a refusal loses the events that its caller has.
pub(super) fn allowed_wait(now: ClockTime, flow: &DirectFlow) -> Duration {
    let objective = flow.request.route.objective;
    if flow.late || flow.version.is_some() {
        return objective;
    }
    flow.objective.saturating_sub(now).max(objective.mul_f32(LATE_WAIT_SHARE))
}

/// Returns the priority at targets, where requests that were late on arrival go last.
pub(super) fn priority(flow: &DirectFlow) -> u8 {
    let priority = flow.request.priority().min(FIRST_LATE_PRIORITY - 1);
    if flow.late { priority + FIRST_LATE_PRIORITY } else { priority }
}
