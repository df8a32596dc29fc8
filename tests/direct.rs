//! Decisions of an entry that calls targets itself, event by event.

mod support;

use std::time::Duration;

use sapphirewell::direct::{
    CallOutcome, CallStep, DirectAction, DirectEvent, FailureReason, RetryPolicy, TargetChange,
    TargetStage,
};
use support::direct::{DirectRig, SERVICE};
use yare::parameterized;

const MS: Duration = Duration::from_millis(1);

fn lost() -> CallOutcome {
    CallOutcome::Lost { closed: true }
}

struct SecondCall {
    retry: RetryPolicy,
    outcome: CallOutcome,
    /// Whether another call follows, and otherwise whether the refusal may say `not_run`.
    next: Next,
}

#[derive(Debug, PartialEq)]
enum Next {
    Call,
    NotRun(FailureReason),
    Unknown(FailureReason),
    Deliver,
}

#[parameterized(
    once_declined = { SecondCall { retry: RetryPolicy::Never, outcome: CallOutcome::Declined, next: Next::Call } },
    once_wrong_target = { SecondCall { retry: RetryPolicy::Never, outcome: CallOutcome::WrongTarget, next: Next::Call } },
    once_unreachable = { SecondCall { retry: RetryPolicy::Never, outcome: CallOutcome::Unreachable, next: Next::Call } },
    once_lost = { SecondCall { retry: RetryPolicy::Never, outcome: lost(), next: Next::Unknown(FailureReason::OutcomeUnknown) } },
    once_failed = { SecondCall { retry: RetryPolicy::Never, outcome: CallOutcome::Answered { success: false }, next: Next::Deliver } },
    idempotent_lost = { SecondCall { retry: RetryPolicy::Always, outcome: lost(), next: Next::Call } },
    idempotent_failed = { SecondCall { retry: RetryPolicy::Always, outcome: CallOutcome::Answered { success: false }, next: Next::Call } },
    resumable_lost = { SecondCall { retry: RetryPolicy::Resume, outcome: lost(), next: Next::Call } },
    answered = { SecondCall { retry: RetryPolicy::Always, outcome: CallOutcome::Answered { success: true }, next: Next::Deliver } },
)]
fn what_follows_the_first_call(case: SecondCall) {
    let mut rig = DirectRig::new(case.retry);
    rig.list("a", TargetStage::Plain);
    rig.list("b", TargetStage::Plain);
    let call = rig.submit(1).call();
    let actions = rig.end(1, call.number, case.outcome);
    let next = actions.iter().find_map(|action| match action {
        DirectAction::Call { target, .. } => {
            assert_ne!(target.id, call.target, "a target that failed is not asked again");
            Some(Next::Call)
        }
        DirectAction::Fail { failure, .. } if failure.not_run => Some(Next::NotRun(failure.reason)),
        DirectAction::Fail { failure, .. } => Some(Next::Unknown(failure.reason)),
        DirectAction::Deliver { .. } => Some(Next::Deliver),
        _ => None,
    });
    assert_eq!(next, Some(case.next));
}

#[test]
fn a_request_runs_on_no_more_targets_than_its_route_allows() {
    let mut rig = DirectRig::new(RetryPolicy::Always);
    for name in ["a", "b", "c", "d"] {
        rig.list(name, TargetStage::Plain);
    }
    let first = rig.submit(1).call();
    let second = rig.after(rig_end(1, first.number)).call();
    let actions = rig.end(1, second.number, lost());
    let unknown = |action: &DirectAction| {
        matches!(action, DirectAction::Fail { failure, .. }
            if !failure.not_run && failure.reason == FailureReason::OutcomeUnknown)
    };
    assert!(actions.iter().any(unknown), "two runs are allowed: {actions:?}");
}

fn rig_end(flow: u64, call: u32) -> DirectEvent {
    DirectEvent::CallEnded { flow, call, outcome: lost() }
}

#[test]
fn an_answer_of_an_older_call_is_ignored() {
    let mut rig = DirectRig::new(RetryPolicy::Always);
    rig.list("a", TargetStage::Plain);
    rig.list("b", TargetStage::Plain);
    let first = rig.submit(1).call();
    rig.after(rig_end(1, first.number)).call();
    assert_eq!(rig.end(1, first.number, CallOutcome::Answered { success: true }), vec![]);
}

#[test]
fn a_split_request_goes_on_from_its_own_cache() {
    let mut rig = DirectRig::new(RetryPolicy::Resume);
    rig.list("reader", TargetStage::Prefill);
    rig.list("writer", TargetStage::Decode);
    let read = rig.submit_prompt(1, 7, 20_000).call();
    assert_eq!((&*read.target, read.step), ("reader", CallStep::Prefill));
    let handle = CallOutcome::Prefilled { handle: "h".into() };
    let event = DirectEvent::CallEnded { flow: 1, call: read.number, outcome: handle };
    let write = rig.after(event).call();
    assert_eq!(&*write.target, "writer");
    let source = rig.address("reader");
    assert_eq!(write.step, CallStep::Decode { source, handle: "h".into() });
}

#[test]
fn a_cache_that_nobody_takes_is_freed() {
    let mut rig = DirectRig::new(RetryPolicy::Resume);
    rig.list("reader", TargetStage::Prefill);
    rig.list("writer", TargetStage::Decode);
    let read = rig.submit_prompt(1, 7, 20_000).call();
    rig.end(1, read.number, CallOutcome::Prefilled { handle: "h".into() });
    let actions = rig.step(DirectEvent::FlowEnded { flow: 1, complete: false });
    assert!(
        actions
            .iter()
            .any(|a| matches!(a, DirectAction::FreeCache { handle, .. } if &**handle == "h")),
        "{actions:?}"
    );
}

#[test]
fn subjects_stay_at_their_home_and_spread_over_engines() {
    let mut rig = DirectRig::new(RetryPolicy::Resume);
    for name in ["r1", "r2", "r3"] {
        rig.list(name, TargetStage::Prefill);
    }
    rig.list("writer", TargetStage::Decode);
    let mut homes = std::collections::BTreeMap::new();
    for round in 0..3 {
        for subject in 0..12 {
            let flow = round * 100 + subject + 1;
            let read = rig.submit_prompt(flow, subject, 14_000).call();
            let known = homes.entry(subject).or_insert_with(|| read.target.clone()).clone();
            assert_eq!(read.target, known, "subject {subject} moved in round {round}");
            // An engine of ordinary speed reads 61 tokens in a millisecond.
            let unread = if round == 0 { 14_000 } else { 100 };
            rig.advance(6 * MS + MS * unread / 61);
            rig.end(flow, read.number, CallOutcome::Prefilled { handle: "h".into() });
            rig.step(DirectEvent::FlowEnded { flow, complete: false });
        }
    }
    let used: std::collections::BTreeSet<_> = homes.values().collect();
    assert_eq!(used.len(), 3, "{homes:?}");
}

#[test]
fn a_peak_is_refused_at_once_and_the_admitted_ones_are_in_time() {
    let mut rig = DirectRig::new(RetryPolicy::Resume);
    rig.list("reader", TargetStage::Prefill);
    rig.list("writer", TargetStage::Decode);
    let mut called = 0;
    let mut refused = 0;
    for flow in 1..=100 {
        for action in rig.submit_prompt(flow, flow, 14_000).actions() {
            match action {
                DirectAction::Call { .. } => called += 1,
                DirectAction::Fail { failure, .. } => {
                    assert!(failure.not_run && failure.retry_after > Duration::ZERO, "{failure:?}");
                    refused += 1;
                }
                _ => {}
            }
        }
    }
    // Both engines read 14,000 tokens in 0.23 and 0.46 s; the objective is 0.5 s.
    assert!((1..=6).contains(&called), "{called} called");
    assert_eq!(called + refused, 100, "each one has an answer or a target at once");
}

#[test]
fn a_caller_that_comes_back_late_goes_after_fresh_ones() {
    let mut rig = DirectRig::new(RetryPolicy::Never);
    rig.list("a", TargetStage::Plain);
    let fresh = rig.submit_with(1, Duration::from_secs(5)).call();
    let late = rig.submit_with(2, Duration::from_secs(3)).call();
    assert!(late.priority > fresh.priority, "{} {}", late.priority, fresh.priority);
}

#[test]
fn a_target_that_declines_is_left_alone_for_a_while() {
    let mut rig = DirectRig::new(RetryPolicy::Never);
    rig.list("idle", TargetStage::Plain);
    rig.list("other", TargetStage::Plain);
    let first = rig.submit(1).call();
    rig.end(1, first.number, CallOutcome::Declined);
    for flow in 2..12 {
        let call = rig.submit(flow).call();
        assert_ne!(call.target, first.target, "request {flow}");
    }
}

#[test]
fn configurations_never_go_back() {
    let mut rig = DirectRig::new(RetryPolicy::Never);
    rig.configure(5);
    rig.configure(3);
    assert_eq!(rig.machine.routes().unwrap().version, 5);
}

struct EntryChange {
    born_ms: u64,
    sequence: u64,
    leaving: bool,
    /// Whether the target still gets work.
    used: bool,
}

#[parameterized(
    older_entry = { EntryChange { born_ms: 10, sequence: 4, leaving: true, used: true } },
    newer_entry = { EntryChange { born_ms: 10, sequence: 6, leaving: true, used: false } },
    older_start = { EntryChange { born_ms: 9, sequence: 99, leaving: true, used: true } },
    newer_start = { EntryChange { born_ms: 11, sequence: 1, leaving: true, used: false } },
)]
fn only_newer_entries_count(case: EntryChange) {
    let mut rig = DirectRig::new(RetryPolicy::Never);
    let mut target = rig.target("a", TargetStage::Plain);
    (target.born_ms, target.sequence) = (10, 5);
    rig.step(DirectEvent::Target(TargetChange::Listed(target.clone())));
    (target.born_ms, target.sequence) = (case.born_ms, case.sequence);
    target.leaving = case.leaving;
    rig.step(DirectEvent::Target(TargetChange::Listed(target)));
    assert_eq!(rig.machine.fleet().serves(SERVICE), case.used);
}

#[test]
fn a_request_that_crashed_three_targets_is_refused_and_told_to_peers() {
    let mut rig = DirectRig::new(RetryPolicy::Never);
    let mut peer = DirectRig::new(RetryPolicy::Never);
    for name in ["a", "b", "c", "d"] {
        rig.list(name, TargetStage::Plain);
        peer.list(name, TargetStage::Plain);
    }
    for flow in 1..=3 {
        let call = rig.submit(flow).call();
        // The third one crashes its target in the middle of an answer.
        let mut actions = if flow < 3 {
            rig.end(flow, call.number, lost())
        } else {
            rig.end(flow, call.number, CallOutcome::Answered { success: true });
            rig.step(DirectEvent::AnswerInterrupted { flow })
        };
        actions.retain(|action| matches!(action, DirectAction::ReportCrashes(_)));
        for action in actions {
            let DirectAction::ReportCrashes(report) = action else { unreachable!() };
            // Told twice, counted once.
            peer.step(DirectEvent::Crashes(report.clone()));
            peer.step(DirectEvent::Crashes(report));
        }
        rig.step(DirectEvent::FlowEnded { flow, complete: false });
    }
    for rig in [&mut rig, &mut peer] {
        let actions = rig.submit(9).actions();
        let refused = |action: &DirectAction| {
            matches!(action, DirectAction::Fail { failure, .. }
                if failure.reason == FailureReason::CrashesTargets && failure.not_run)
        };
        assert!(actions.iter().any(refused), "{actions:?}");
    }
}

#[test]
fn calls_beyond_the_first_stay_inside_the_shared_budget() {
    let mut rig = DirectRig::new(RetryPolicy::Always);
    for name in ["a", "b", "c"] {
        rig.list(name, TargetStage::Plain);
    }
    let mut extra = 0;
    for flow in 1..=200 {
        let first = rig.submit(flow).call();
        let actions = rig.end(flow, first.number, CallOutcome::Answered { success: false });
        extra += actions.iter().filter(|a| matches!(a, DirectAction::Call { .. })).count();
        rig.step(DirectEvent::FlowEnded { flow, complete: true });
        rig.advance(10 * MS);
    }
    // A fifth of the requests and a quarter of the fixed 56.
    assert!((20..=54).contains(&extra), "{extra} calls beyond the first");
}

#[test]
fn a_route_limit_ends_a_request_that_has_no_answer() {
    let mut rig = DirectRig::new(RetryPolicy::Never);
    rig.list("a", TargetStage::Plain);
    rig.submit(1).call();
    rig.advance(Duration::from_secs(5) + 100 * MS);
    assert_eq!(
        rig.step(DirectEvent::Tick),
        vec![],
        "the target's own last answer may be on its way"
    );
    rig.advance(100 * MS);
    let actions = rig.step(DirectEvent::Tick);
    assert!(
        matches!(&actions[..], [DirectAction::Fail { failure, .. }]
            if failure.reason == FailureReason::TimedOut && !failure.not_run),
        "{actions:?}"
    );
}

#[test]
fn a_lapsed_target_is_used_for_its_grace_only_and_comes_back_with_its_entry() {
    let mut rig = DirectRig::new(RetryPolicy::Never);
    let target = rig.target("a", TargetStage::Plain);
    let lapse = || TargetChange::Removed("a".into());
    rig.step(DirectEvent::Target(TargetChange::Listed(target.clone())));
    rig.step(DirectEvent::Target(TargetChange::ReadFailed));
    rig.step(DirectEvent::Target(lapse()));
    rig.advance(700 * MS);
    // Told again, it gets no more time.
    rig.step(DirectEvent::Target(lapse()));
    rig.step(DirectEvent::Tick);
    assert!(rig.machine.fleet().serves(SERVICE));
    rig.advance(100 * MS);
    rig.step(DirectEvent::Tick);
    assert!(!rig.machine.fleet().serves(SERVICE), "no read of the store is needed to drop it");
    rig.step(DirectEvent::Target(TargetChange::Listed(target.clone())));
    rig.step(DirectEvent::Target(lapse()));
    rig.step(DirectEvent::Target(TargetChange::Listed(target)));
    rig.advance(2000 * MS);
    rig.step(DirectEvent::Tick);
    assert!(rig.machine.fleet().serves(SERVICE));
}

#[test]
fn a_target_that_goes_while_the_store_answers_is_gone_at_once() {
    let mut rig = DirectRig::new(RetryPolicy::Never);
    rig.list("a", TargetStage::Plain);
    rig.step(DirectEvent::Target(TargetChange::ReadFailed));
    rig.advance(2600 * MS);
    rig.step(DirectEvent::Target(TargetChange::Removed("a".into())));
    assert!(!rig.machine.fleet().serves(SERVICE));
}

#[test]
fn a_whole_list_drops_what_it_lacks_and_keeps_what_cannot_be_read() {
    let mut rig = DirectRig::new(RetryPolicy::Never);
    rig.list("a", TargetStage::Plain);
    rig.list("b", TargetStage::Plain);
    let present = vec!["a".into()];
    rig.step(DirectEvent::Target(TargetChange::Snapshot { present, targets: Vec::new() }));
    assert!(rig.machine.fleet().serves(SERVICE));
    assert_eq!(rig.machine.fleet().len(), 1);
}

/// Found by the platform's fault matrix: `freeze_entry at call_arrived`, seed 1.
#[test]
fn a_kv_cache_is_not_taken_when_the_caller_no_longer_waits() {
    let mut rig = DirectRig::new(RetryPolicy::Resume);
    rig.list("reader", TargetStage::Prefill);
    rig.list("writer", TargetStage::Decode);
    let call = rig.submit_prompt(1, 7, 17_000).call();
    assert_eq!(call.step, CallStep::Prefill);
    rig.advance(5001 * MS);
    let outcome = CallOutcome::Prefilled { handle: "handle".into() };
    let actions = rig.end(1, call.number, outcome);
    assert!(
        matches!(&actions[..], [DirectAction::Fail { failure, .. }]
            if failure.reason == FailureReason::TimedOut && failure.not_run),
        "{actions:?}"
    );
}
