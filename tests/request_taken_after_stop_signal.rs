//! Guards against a stopping entry that takes requests which its exit cuts.

mod support;

use std::time::Duration;

use sapphirewell::direct::{
    CallOutcome, DirectAction, DirectEvent, FailureReason, HeldPart, ReceivedEvents,
    RequestFailure, RetryPolicy, StopPhase, TargetStage,
};
use support::direct::{DirectRig, RequestedCall, StepResult};
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

/// Submits a request for 120 tokens.
fn submit_stream(rig: &mut DirectRig) -> StepResult {
    rig.submit_tokens(2, 100, MS * 5000, None)
}

/// A stream that may go on elsewhere, of 120 tokens with such a gap between their events. All before
/// it ended at once.
#[parameterized(
    early = { 2500, Some(60), true },
    first_that_may_be_cut = { 2600, Some(60), false },
    short = { 2600, Some(10), true },
    short_later = { 4100, Some(10), true },
    longer_later = { 4100, Some(30), false },
    last_that_ends_in_time = { 4100, Some(25), true },
    without_a_gap = { 2600, None, false },
)]
fn a_stream_is_taken_only_if_its_length_ends_before_the_exit(
    after_signal: u32,
    gap: Option<u32>,
    is_taken: bool,
) {
    let mut rig = DirectRig::new(RetryPolicy::Resume);
    rig.event_gap = gap.map(|gap| MS * gap);
    rig.list("a", TargetStage::Decode);
    run_requests(&mut rig, MS);
    let busy = rig.submit(1).call();
    stop(&mut rig);
    advance(&mut rig, MS * after_signal);
    let actions = submit_stream(&mut rig).actions();
    assert_eq!(failure(&actions).is_none(), is_taken, "{actions:?}");
    if let Some(failed) = failure(&actions) {
        assert_eq!((failed.reason, failed.not_run), (FailureReason::Stopping, true));
    }
    rig.end(1, busy.number, CallOutcome::Answered { success: true });
}

/// The first call of a stream came to nothing, and another one would begin so much later.
#[parameterized(
    not_run = { CallOutcome::Declined, 2500, Some(true) },
    may_have_run = { CallOutcome::Lost { closed: true }, 2500, Some(false) },
    not_run_with_time_left = { CallOutcome::Declined, 500, None },
    may_have_run_with_time_left = { CallOutcome::Lost { closed: true }, 500, None },
)]
fn a_second_call_is_made_only_if_its_stream_ends_before_the_exit(
    outcome: CallOutcome,
    after: u32,
    not_run: Option<bool>,
) {
    let mut rig = DirectRig::new(RetryPolicy::Resume);
    rig.event_gap = Some(MS * 10);
    rig.list("a", TargetStage::Decode);
    rig.list("b", TargetStage::Decode);
    run_requests(&mut rig, MS);
    let busy = rig.submit(1).call();
    stop(&mut rig);
    advance(&mut rig, MS * 3900);
    let first = submit_stream(&mut rig).call();
    advance(&mut rig, MS * after);
    let actions = rig.end(2, first.number, outcome);
    let failed = failure(&actions).map(|failed| (failed.reason, failed.not_run));
    assert_eq!(failed, not_run.map(|not_run| (FailureReason::Stopping, not_run)), "{actions:?}");
    rig.end(1, busy.number, CallOutcome::Answered { success: true });
}

/// What is read of a response before any of it is passed on.
#[parameterized(
    plain = { RetryPolicy::Always, 2600, HeldPart::Whole },
    plain_early = { RetryPolicy::Always, 2500, HeldPart::None },
    stream = { RetryPolicy::Resume, 2600, HeldPart::FirstEvents },
    stream_early = { RetryPolicy::Resume, 2500, HeldPart::None },
)]
fn a_response_to_a_late_request_is_held_back(
    retry: RetryPolicy,
    after_signal: u32,
    part: HeldPart,
) {
    let mut rig = DirectRig::new(retry);
    rig.event_gap = Some(MS * 10);
    rig.list("a", TargetStage::Decode);
    run_requests(&mut rig, MS);
    let busy = rig.submit(1).call();
    stop(&mut rig);
    advance(&mut rig, MS * after_signal);
    let call = submit_stream(&mut rig).call();
    rig.end(2, call.number, CallOutcome::Answered { success: true });
    assert_eq!(rig.machine.held_part(2), part);
    assert_eq!(rig.machine.held_part(1), HeldPart::None);
    rig.end(1, busy.number, CallOutcome::Answered { success: true });
}

/// A stream of 120 tokens, 10 ms each, whose events come at such a time after the signal.
#[parameterized(
    first_in_time = { 5900, ReceivedEvents::First, true },
    first_late = { 6100, ReceivedEvents::First, false },
    second_in_time = { 5900, ReceivedEvents::Second { gap: MS * 10 }, true },
    second_after_a_long_gap = { 5900, ReceivedEvents::Second { gap: MS * 40 }, false },
)]
fn a_held_stream_begins_only_if_it_ends_before_the_exit(
    after_signal: u32,
    received: ReceivedEvents,
    begins: bool,
) {
    let mut rig = DirectRig::new(RetryPolicy::Resume);
    rig.event_gap = Some(MS * 10);
    rig.list("a", TargetStage::Decode);
    run_requests(&mut rig, MS);
    stop(&mut rig);
    advance(&mut rig, MS * 3100);
    let call = submit_stream(&mut rig).call();
    advance(&mut rig, MS * (after_signal - 3100));
    rig.end(2, call.number, CallOutcome::Answered { success: true });
    let now = rig.now();
    assert_eq!(rig.machine.may_begin(now, 2, received), begins);
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
