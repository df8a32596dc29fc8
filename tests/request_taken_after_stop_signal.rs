//! Guards against a stopping entry that takes requests which its exit cuts.

mod support;

use std::time::Duration;

use sapphirewell::direct::{
    CallOutcome, DirectAction, DirectEvent, FailureReason, RequestFailure, RetryPolicy, StopPhase,
    TargetStage,
};
use support::direct::{DirectRig, RequestedCall};
use yare::parameterized;

const MS: Duration = Duration::from_millis(1);
/// Time from the stop signal to the exit.
const STOP_TIME: Duration = Duration::from_millis(7300);

fn rig() -> DirectRig {
    let mut rig = DirectRig::new(RetryPolicy::Always);
    rig.list("a", TargetStage::Plain);
    rig.list("b", TargetStage::Plain);
    rig
}

/// Runs requests of a length, from which the machine estimates the next ones.
fn run_requests(rig: &mut DirectRig, length: Duration) {
    for flow in 100..120 {
        let call = rig.submit(flow).call();
        rig.advance(length);
        rig.end(flow, call.number, CallOutcome::Answered { success: true });
        rig.step(DirectEvent::FlowEnded { flow, complete: true });
    }
}

fn stop(rig: &mut DirectRig) {
    rig.step(DirectEvent::StopRequested { time: STOP_TIME });
}

fn advance(rig: &mut DirectRig, time: Duration) {
    rig.advance(time);
    rig.step(DirectEvent::Tick);
}

fn failure(actions: &[DirectAction]) -> Option<RequestFailure> {
    actions.iter().find_map(|action| match action {
        DirectAction::Fail { failure, .. } => Some(*failure),
        _ => None,
    })
}

/// A request that arrives while others keep the entry busy.
struct Arrival {
    length: Duration,
    after_signal: Duration,
    taken: bool,
}

#[parameterized(
    short_at_once = { Arrival { length: MS * 50, after_signal: MS, taken: true } },
    long_at_once = { Arrival { length: MS * 3000, after_signal: MS, taken: true } },
    short_before_the_removal = { Arrival { length: MS * 50, after_signal: MS * 3000, taken: true } },
    longer_than_the_time_left = { Arrival { length: MS * 3500, after_signal: MS * 3000, taken: false } },
    short_after_the_removal = { Arrival { length: MS * 50, after_signal: MS * 3500, taken: true } },
    long_after_the_removal = { Arrival { length: MS * 900, after_signal: MS * 3500, taken: false } },
    short_while_others_run = { Arrival { length: MS * 50, after_signal: MS * 4100, taken: true } },
    long_while_others_run = { Arrival { length: MS * 900, after_signal: MS * 4100, taken: false } },
    short_with_little_time_to_spare = { Arrival { length: MS * 50, after_signal: MS * 5600, taken: false } },
    short_before_the_exit = { Arrival { length: MS * 50, after_signal: MS * 7200, taken: false } },
)]
fn only_requests_that_end_early_enough_are_taken(arrival: Arrival) {
    let mut rig = rig();
    run_requests(&mut rig, arrival.length);
    let busy = rig.submit(1).call();
    stop(&mut rig);
    advance(&mut rig, arrival.after_signal);
    let actions = rig.submit(2).actions();
    let failed = failure(&actions);
    assert_eq!(failed.is_none(), arrival.taken, "{actions:?}");
    if let Some(failed) = failed {
        assert_eq!((failed.reason, failed.not_run), (FailureReason::Stopping, true));
        assert!(failed.retry_after < Duration::from_secs(1), "{failed:?}");
    }
    rig.end(1, busy.number, CallOutcome::Answered { success: true });
}

/// A request that may not be repeated, by the time that its caller and its route leave it. All
/// before it took a twentieth of a second.
#[parameterized(
    early = { 2500, 5000, true },
    first_that_may_be_cut = { 2600, 5000, false },
    later = { 4100, 5000, false },
    by_a_tick = { 4100, 3100, false },
    with_time_to_spare = { 4100, 3000, true },
    late = { 5000, 2500, false },
    late_with_time_to_spare = { 5000, 2000, true },
)]
fn a_request_that_may_not_be_repeated_is_taken_only_if_the_exit_cannot_cut_it(
    after_signal: u32,
    time_left: u32,
    is_taken: bool,
) {
    for policy in [RetryPolicy::Never, RetryPolicy::Always] {
        let mut rig = DirectRig::new(policy);
        rig.list("a", TargetStage::Plain);
        run_requests(&mut rig, MS * 50);
        let busy = rig.submit(1).call();
        stop(&mut rig);
        advance(&mut rig, MS * after_signal);
        let actions = rig.submit_with(2, MS * time_left).actions();
        let is_taken = is_taken || policy == RetryPolicy::Always;
        assert_eq!(failure(&actions).is_none(), is_taken, "{policy:?}: {actions:?}");
        rig.end(1, busy.number, CallOutcome::Answered { success: true });
    }
}

#[test]
fn an_idle_entry_takes_nothing_between_its_decision_and_its_exit() {
    let mut rig = rig();
    stop(&mut rig);
    advance(&mut rig, MS * 3000);
    assert_eq!(rig.machine.stop_phase(rig.now()), StopPhase::Leaving);
    advance(&mut rig, MS * 300);
    assert_eq!(rig.machine.stop_phase(rig.now()), StopPhase::Exiting);
    let failed = failure(&rig.submit(1).actions());
    assert_eq!(failed.map(|failed| failed.reason), Some(FailureReason::Stopping));
}

#[test]
fn an_entry_that_is_never_idle_exits_once_the_last_request_has_ended() {
    let mut rig = rig();
    stop(&mut rig);
    let mut open: Vec<(u64, RequestedCall)> = Vec::new();
    let mut rejected = 0;
    for flow in 1..400 {
        advance(&mut rig, MS * 20);
        let sent = rig.submit(flow).actions();
        let call = sent.iter().find_map(|action| match action {
            DirectAction::Call { call, .. } => Some(*call),
            _ => None,
        });
        match call {
            Some(number) => {
                let target = "a".into();
                let step = sapphirewell::direct::CallStep::Run;
                open.push((
                    flow,
                    RequestedCall { number, target, step, priority: 0, copy_source: None },
                ));
            }
            None => {
                rejected += 1;
                rig.step(DirectEvent::FlowEnded { flow, complete: false });
            }
        }
        // Each request takes five steps, so that others are always in flight.
        if open.len() > 5 || call.is_none() && !open.is_empty() {
            let (flow, call) = open.remove(0);
            rig.end(flow, call.number, CallOutcome::Answered { success: true });
            rig.step(DirectEvent::FlowEnded { flow, complete: true });
        }
        if rig.machine.stop_phase(rig.now()) == StopPhase::Exiting {
            let took = MS * 20 * flow as u32;
            assert!(took < Duration::from_secs(5), "exits after {took:?}");
            assert!(open.is_empty() && rejected > 0, "{} in flight", open.len());
            return;
        }
    }
    panic!("never exits");
}

#[parameterized(
    without_a_response = { false },
    with_a_response_under_way = { true },
)]
fn requests_in_flight_end_with_the_process(answered: bool) {
    let mut rig = rig();
    let call = rig.submit(1).call();
    if answered {
        rig.end(1, call.number, CallOutcome::Answered { success: true });
    }
    stop(&mut rig);
    advance(&mut rig, STOP_TIME);
    assert_eq!(rig.machine.stop_phase(rig.now()), StopPhase::Exiting);
    let actions = rig.step(DirectEvent::StopTimeOver);
    let breaks_off = actions.contains(&DirectAction::BreakOff { flow: 1 });
    assert_eq!(breaks_off, answered, "{actions:?}");
    // Its target may be running it.
    let failed = failure(&actions).map(|failed| (failed.reason, failed.not_run));
    assert_eq!(failed, (!answered).then_some((FailureReason::Stopping, false)));
}
