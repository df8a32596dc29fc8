//! Admission control: the longest queueing time and the priority of a request.
//!
//! It serves load peaks that exceed the capacity of the targets for some seconds. See
//! [docs/design/waiting.md](../../docs/design/waiting.md).

use std::time::Duration;

use super::{backlog::FIRST_LATE_PRIORITY, flow::DirectFlow};
use crate::ids::ClockTime;

/// Queueing time that is allowed even if the response will be late, relative to the objective.
const LATE_WAIT_SHARE: f32 = 0.25;
/// Time without an event after which a caller abandons a stream: at least this, and at least this
/// multiple of the objective. A long pause between events may allow more.
const MIN_STREAM_PATIENCE: Duration = Duration::from_secs(2);
const STREAM_PATIENCE_FACTOR: u32 = 4;
/// Share of a caller's patience for which a late request may queue. Requests that
/// still can be in time overtake it, which no estimate allows for.
const PATIENCE_SHARE: f32 = 0.5;

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

/// Returns the longest queueing time with which a request is admitted that will be late, or `None`
/// if it must not wait beyond its objective.
///
/// Engines serve late requests after all that still can be in time, so those use only what is left
/// over. Other targets know no such order.
pub(super) fn late_wait(now: ClockTime, flow: &DirectFlow) -> Option<Duration> {
    flow.request.prompt.as_ref()?;
    Some(patience(now, flow).mul_f32(PATIENCE_SHARE))
}

/// Returns for how long a caller still waits for the first event of a response.
pub(super) fn patience(now: ClockTime, flow: &DirectFlow) -> Duration {
    let route = &flow.request.route;
    let left = flow.time_left(now);
    if !route.streams {
        return left;
    }
    let patience = MIN_STREAM_PATIENCE.max(route.objective * STREAM_PATIENCE_FACTOR);
    patience.saturating_sub(now.saturating_sub(flow.arrived)).min(left)
}

/// Returns the priority at targets, where requests that will be late go last.
pub(super) fn priority(flow: &DirectFlow) -> u8 {
    let priority = flow.request.priority().min(FIRST_LATE_PRIORITY - 1);
    if flow.late { priority + FIRST_LATE_PRIORITY } else { priority }
}
