//! Guards against new requests that targets serve last, because their callers wait for a
//! shorter time than other callers of the route.

mod support;

use std::time::Duration;

use rand::{RngExt, SeedableRng, rngs::SmallRng};
use sapphirewell::direct::{CallOutcome, DirectAction, DirectEvent, RetryPolicy, TargetStage};
use support::direct::DirectRig;
use yare::parameterized;

const REQUESTS: u64 = 400;
/// Requests from which on the entry knows the route.
const LEARNT: u64 = 100;

/// Load of one route, whose objective is 500 ms.
struct RouteLoad {
    /// Longest time for which a caller waits, and the shortest relative to it.
    longest: Duration,
    shortest: f64,
    /// Rejections for each request, as an overload brings them.
    rejected: f64,
}

/// Returns the shares of the new and of the returning requests that get a low priority.
fn shares_put_last(load: &RouteLoad) -> (f64, f64) {
    let mut rng = SmallRng::seed_from_u64(1);
    let mut rig = DirectRig::new(RetryPolicy::Never);
    rig.list("a", TargetStage::Plain);
    let (mut new, mut returning) = ((0, 0), (0, 0));
    let mut back: Vec<Duration> = Vec::new();
    for flow in 1..=REQUESTS {
        let is_returning = !back.is_empty() && rng.random_bool(0.5);
        let time_left = if is_returning {
            back.remove(0)
        } else {
            load.longest.mul_f64(rng.random_range(load.shortest..1.0))
        };
        let actions = rig.submit_with(flow, time_left).actions();
        let priority = actions.iter().find_map(|action| match action {
            DirectAction::Call { priority, .. } => Some(*priority),
            _ => None,
        });
        let counted = if is_returning { &mut returning } else { &mut new };
        if flow > LEARNT {
            counted.0 += u32::from(priority.is_some_and(|priority| priority >= 5));
            counted.1 += 1;
        }
        if !is_returning && rng.random_bool(load.rejected) {
            // Its caller comes back once with a third of its time left.
            rig.end(flow, 1, CallOutcome::Lost { closed: true });
            back.push(time_left / 3);
        } else {
            rig.end(flow, 1, CallOutcome::Answered { success: true });
        }
        rig.step(DirectEvent::FlowEnded { flow, complete: true });
        rig.advance(Duration::from_millis(700));
        rig.step(DirectEvent::Tick);
    }
    let share = |(put_last, all): (u32, u32)| f64::from(put_last) / f64::from(all.max(1));
    (share(new), share(returning))
}

/// Callers wait for different times, long ones beside the objective.
#[parameterized(
    all_the_same = { 8.0, 0.999, 0.0 },
    a_sixth_less = { 8.0, 0.85, 0.0 },
    half_of_it = { 10.0, 0.5, 0.0 },
    a_sixth_less_with_rejections = { 8.0, 0.85, 0.2 },
    close_to_the_objective = { 2.5, 0.7, 0.1 },
)]
fn new_requests_keep_their_priority(longest: f64, shortest: f64, rejected: f64) {
    let longest = Duration::from_secs_f64(longest);
    let (new, returning) = shares_put_last(&RouteLoad { longest, shortest, rejected });
    assert!(new <= 0.05, "{new:.2} of the new requests put last");
    if rejected > 0.0 {
        assert!(returning >= 0.8, "{returning:.2} of the returning requests put last");
    }
}
