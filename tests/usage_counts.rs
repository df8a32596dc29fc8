//! A request counts once for its customer, when it began to run.

mod support;

use std::{sync::Arc, time::Duration};

use sapphirewell::direct::{
    CallOutcome, CallStep, CustomerCounts, DirectAction, DirectEvent, TargetStage, TrueClock,
    UsageAction, UsageContent, UsageEvent,
};
use support::direct::DirectRig;
use yare::parameterized;

const CUSTOMER: &str = "customer";
const FLOW: u64 = 1;
const PEER: &str = "peer";

/// What a call of the request comes to.
#[derive(Debug, Clone, Copy)]
enum CallEnd {
    Declined,
    Unreachable,
    Failed,
    /// It answers, but breaks off before its first event.
    BrokenBefore,
    /// It breaks off after its first event.
    BrokenAfter,
    Complete,
}

/// Ends the calls of a request in turn, each prefill with success.
fn end_calls(rig: &mut DirectRig, mut actions: Vec<DirectAction>, ends: &[CallEnd]) {
    let mut ends = ends.iter();
    while let Some((call, step)) = actions.iter().find_map(|action| match action {
        DirectAction::Call { call, step, .. } => Some((*call, step.clone())),
        _ => None,
    }) {
        if matches!(step, CallStep::Prefill) {
            let handle: Arc<str> = format!("handle-{call}").into();
            actions = rig.end(FLOW, call, CallOutcome::Prefilled { handle });
            continue;
        }
        let Some(end) = ends.next() else { return };
        actions = match end {
            CallEnd::Declined => rig.end(FLOW, call, CallOutcome::Declined),
            CallEnd::Unreachable => rig.end(FLOW, call, CallOutcome::Unreachable),
            CallEnd::Failed => rig.end(FLOW, call, CallOutcome::Answered { success: false }),
            CallEnd::BrokenBefore | CallEnd::BrokenAfter | CallEnd::Complete => {
                rig.end(FLOW, call, CallOutcome::Answered { success: true })
            }
        };
        if matches!(end, CallEnd::BrokenAfter | CallEnd::Complete) {
            actions.extend(rig.step(DirectEvent::FirstOutput { flow: FLOW }));
        }
        if matches!(end, CallEnd::BrokenAfter | CallEnd::BrokenBefore) {
            actions.extend(rig.step(DirectEvent::AnswerInterrupted { flow: FLOW }));
        }
    }
}

/// Returns the counts that a peer is sent.
fn counts(rig: &mut DirectRig) -> CustomerCounts {
    rig.advance(Duration::from_secs(1));
    rig.hear_of(PEER, vec![]);
    let mut sum = CustomerCounts::new();
    for action in rig.step(DirectEvent::Tick) {
        let DirectAction::Usage(UsageAction::Send { message, .. }) = action else { continue };
        let UsageContent::Counts(update) = message.content else { continue };
        for (name, requests) in update.windows.into_iter().flat_map(|usage| usage.counts) {
            *sum.entry(name).or_default() += requests;
        }
    }
    sum
}

fn rig_with_engines() -> DirectRig {
    let mut rig = DirectRig::of_customer(CUSTOMER);
    rig.list("p", TargetStage::Prefill);
    for name in ["d0", "d1", "d2"] {
        rig.list(name, TargetStage::Decode);
    }
    rig.step(DirectEvent::Usage(UsageEvent::Clock(Duration::from_secs(1_700_000_000))));
    rig
}

#[parameterized(
    complete = { &[CallEnd::Complete], 1 },
    declined_first = { &[CallEnd::Declined, CallEnd::Complete], 1 },
    unreachable_first = { &[CallEnd::Unreachable, CallEnd::Complete], 1 },
    failed_first = { &[CallEnd::Failed, CallEnd::Complete], 1 },
    broken_off = { &[CallEnd::BrokenAfter, CallEnd::Complete], 1 },
    broken_off_before_its_first_event = { &[CallEnd::BrokenBefore], 0 },
    refused = { &[CallEnd::Declined, CallEnd::Declined, CallEnd::Declined, CallEnd::Declined], 0 },
    only_prefilled = { &[], 0 },
)]
fn a_stream_counts_when_its_first_event_comes(ends: &[CallEnd], expected: u64) {
    let mut rig = rig_with_engines();
    let actions = rig.submit_tokens(FLOW, 2_000, Duration::from_secs(5), None).actions();
    end_calls(&mut rig, actions, ends);
    rig.step(DirectEvent::FlowEnded { flow: FLOW, complete: true });
    let counted = counts(&mut rig).get(CUSTOMER).copied().unwrap_or_default();
    assert_eq!(counted, expected);
}

/// It was counted when it began.
#[test]
fn a_stream_that_goes_on_does_not_count() {
    let mut rig = rig_with_engines();
    let actions = rig.submit_tokens(FLOW, 2_000, Duration::from_secs(5), None).actions();
    end_calls(&mut rig, actions, &[CallEnd::Complete]);
    rig.step(DirectEvent::FlowEnded { flow: FLOW, complete: false });
    let stream = Some("request-1");
    let actions = rig.submit_tokens(FLOW, 2_000, Duration::from_secs(5), stream).actions();
    assert!(actions.iter().any(|action| matches!(action, DirectAction::Call { .. })));
    end_calls(&mut rig, actions, &[CallEnd::Complete]);
    assert_eq!(counts(&mut rig).get(CUSTOMER), Some(&1));
}

/// Step of a VM's clock: its size, and for how long it lasts.
struct ClockStep {
    size: i64,
    lasts: u64,
    /// Seconds by which the estimate is off right after it, and a minute later.
    off: (i64, i64),
}

#[parameterized(
    forwards_for_a_moment = { ClockStep { size: 3600, lasts: 5, off: (0, 0) } },
    backwards_for_a_moment = { ClockStep { size: -3600, lasts: 5, off: (0, 0) } },
    forwards_for_good = { ClockStep { size: 3600, lasts: 100, off: (0, 3600) } },
    backwards_for_good = { ClockStep { size: -3600, lasts: 100, off: (0, -3600) } },
)]
fn a_clock_step_is_followed_once_it_lasts(step: ClockStep) {
    let start = 1_700_000_000_i64;
    let mut clock = TrueClock::default();
    let (mut first, mut last) = (0, 0);
    for second in 0..100 {
        let is_set = (20..20 + step.lasts as i64).contains(&second);
        let shown = start + second + if is_set { step.size } else { 0 };
        let boot = Duration::from_secs(second as u64);
        let estimate = clock.observe(boot, Duration::from_secs(shown as u64)).as_secs() as i64;
        last = estimate - start - second;
        first = if second == 20 { last } else { first };
    }
    assert_eq!((first, last), step.off);
}

/// The time since boot goes on while a VM is suspended, as its clock does.
#[test]
fn a_suspension_is_no_clock_step() {
    let mut clock = TrueClock::default();
    clock.observe(Duration::from_secs(5), Duration::from_secs(1005));
    let after = clock.observe(Duration::from_secs(900), Duration::from_secs(1900));
    assert_eq!(after, Duration::from_secs(1900));
}
