//! Non-idempotent calls run at most once, and are reported as not run only if they never ran.

mod support;

use std::time::Duration;

use sapphirewell::{
    claim::{ClaimEvent, ServiceAnswer},
    frame::{AttemptEnd, EntryFrame},
    request::RefusalReason,
    side::{SideEvent, TargetEvent, TargetFailure},
};
use support::{LINK, LOG_START, SideHarness};
use yare::parameterized;

fn answer() -> ServiceAnswer {
    ServiceAnswer { status: 200, body: "done".to_owned() }
}

#[test]
fn a_call_starts_only_after_its_claim_is_read_back() {
    let mut harness = SideHarness::with_service();
    let attempt = harness.place_call(1, "a");
    assert!(harness.started.is_empty(), "the claim is appended but not yet read back");
    harness.read_log();
    assert_eq!(harness.started, [attempt]);
}

#[test]
fn a_repeat_gets_the_recorded_answer_and_does_not_run() {
    let mut harness = SideHarness::with_service();
    let key = format!("{}-k", LOG_START.as_millis());
    let first = harness.place_call_with_key(1, &key);
    harness.read_log();
    harness.target(TargetEvent::Answered { attempt: first, answer: answer() });
    harness.read_log();
    let repeat = harness.place_call_with_key(2, &key);
    assert_eq!(harness.end_of(repeat), Some(&AttemptEnd::Answered(answer())));
    assert_eq!(harness.started, [first]);
}

#[test]
fn two_attempts_with_one_key_run_once() {
    let mut harness = SideHarness::with_service();
    let key = format!("{}-k", LOG_START.as_millis());
    let first = harness.place_call_with_key(1, &key);
    let second = harness.place_call_with_key(2, &key);
    harness.read_log();
    assert_eq!(harness.started, [first]);
    harness.target(TargetEvent::Answered { attempt: first, answer: answer() });
    harness.read_log();
    assert_eq!(harness.end_of(second), Some(&AttemptEnd::Answered(answer())));
}

/// An append that fails or whose response is lost.
struct LostAppend {
    log_down: bool,
    lose_responses: bool,
    starts: bool,
}

#[parameterized(
    response_lost_after_the_append = {
        LostAppend { log_down: false, lose_responses: true, starts: true }
    },
    log_down = { LostAppend { log_down: true, lose_responses: false, starts: false } },
)]
fn an_append_without_a_response_is_confirmed_by_reading_the_log(case: LostAppend) {
    let mut harness = SideHarness::with_service();
    harness.log_down = case.log_down;
    harness.lose_responses = case.lose_responses;
    let attempt = harness.place_call(1, "a");
    harness.read_log();
    assert_eq!(!harness.started.is_empty(), case.starts);
    harness.tick_for(Duration::from_secs(4));
    assert_eq!(harness.started.len(), usize::from(case.starts));
    if !case.starts {
        let end = harness.end_of(attempt).unwrap();
        assert!(matches!(end, AttemptEnd::NotRun { .. }), "{end:?}");
    }
}

#[test]
fn a_claim_recorded_after_the_refusal_never_runs_and_is_released() {
    let mut harness = SideHarness::with_service();
    harness.lose_responses = true;
    let attempt = harness.place_call(1, "a");
    // The side reads the log only after it has refused the attempt.
    harness.tick_for(Duration::from_secs(4));
    assert!(matches!(harness.end_of(attempt), Some(AttemptEnd::NotRun { .. })));
    harness.lose_responses = false;
    harness.tick_for(Duration::from_secs(1));
    harness.read_log();
    harness.tick_for(Duration::from_secs(1));
    assert!(harness.started.is_empty());
    let released =
        harness.claim_events().iter().any(|event| matches!(event, ClaimEvent::Release { .. }));
    assert!(released, "an attempt that never runs must release its key");
}

#[test]
fn a_delayed_duplicate_of_a_released_claim_has_no_effect() {
    let mut harness = SideHarness::with_service();
    let key = format!("{}-k", LOG_START.as_millis());
    let first = harness.place_call_with_key(1, &key);
    harness.event(SideEvent::Frame { link: LINK, frame: EntryFrame::Cancel { attempt: first } });
    harness.tick_for(Duration::from_millis(20));
    let copy =
        harness.log.records.iter().find(|record| record.body.contains("take")).unwrap().clone();
    harness.log.records.push(sapphirewell::fold::StoredRecord {
        offset: harness.log.records.len() as u64 + 1,
        ..copy
    });
    harness.read_log();
    let second = harness.place_call_with_key(2, &key);
    harness.read_log();
    assert_eq!(harness.started, [second]);
}

#[test]
fn a_replaced_side_that_resumes_does_not_start_its_claim() {
    let mut old = SideHarness::with_service();
    old.place_call(1, "a");
    let log = std::mem::take(&mut old.log);
    let successor = SideHarness::service_on(log, 2);
    old.log = successor.log;
    old.now += Duration::from_millis(1500);
    old.read_log();
    old.tick_for(Duration::from_secs(1));
    assert!(old.started.is_empty(), "a newer process has attached for the side");
}

#[test]
fn the_outcome_of_a_replaced_sides_claim_is_unknown_until_settled() {
    let mut old = SideHarness::with_service();
    let key = format!("{}-k", LOG_START.as_millis());
    old.place_call_with_key(1, &key);
    old.read_log();
    let mut new = SideHarness::service_on(std::mem::take(&mut old.log), 2);
    let repeat = new.place_call_with_key(2, &key);
    let unknown = AttemptEnd::Unknown { reason: RefusalReason::OutcomeUnknown };
    assert_eq!(new.end_of(repeat), Some(&unknown));
    assert_eq!(new.fleet.claims().unknown_outcomes(new.fleet.view().time).count(), 1);
    let claim = new.fleet.claims().iter().next().unwrap().0.clone();
    let settled = sapphirewell::operator::settle_record(claim, false);
    new.log.append(&settled);
    new.read_log();
    let again = new.place_call_with_key(3, &key);
    new.read_log();
    assert_eq!(new.started, [again]);
}

/// A call that fails at its target.
struct FailedCall {
    failure: TargetFailure,
    not_run: bool,
}

#[parameterized(
    not_reached = { FailedCall { failure: TargetFailure::NotReached, not_run: true } },
    refused = { FailedCall { failure: TargetFailure::Refused, not_run: true } },
    broken = { FailedCall { failure: TargetFailure::Broken, not_run: false } },
)]
fn a_failed_call_ends_as_not_run_only_if_it_cannot_have_run(case: FailedCall) {
    let mut harness = SideHarness::with_service();
    let attempt = harness.place_call(1, "a");
    harness.read_log();
    harness.target(TargetEvent::Failed { attempt, failure: case.failure });
    harness.tick_for(Duration::from_secs(1));
    let end = harness.end_of(attempt).unwrap();
    assert_eq!(matches!(end, AttemptEnd::NotRun { .. }), case.not_run, "{end:?}");
}

/// A key that is rejected, and how the attempt ends.
struct RejectedKey {
    key: String,
    end: AttemptEnd,
}

fn rejected_key(key: String, not_run: bool) -> RejectedKey {
    let reason = RefusalReason::BadKey;
    let end = match not_run {
        true => {
            AttemptEnd::NotRun { reason, retry_after: sapphirewell::side::MIN_LOAD_REPORT_INTERVAL }
        }
        false => AttemptEnd::Unknown { reason },
    };
    RejectedKey { key, end }
}

#[parameterized(
    without_time = { rejected_key("abc".to_owned(), true) },
    ahead_of_the_clock = {
        rejected_key(format!("{}-a", (LOG_START + Duration::from_secs(4000)).as_millis()), true)
    },
    older_than_the_window = {
        rejected_key(format!("{}-a", (LOG_START - Duration::from_secs(700)).as_millis()), false)
    },
)]
fn malformed_and_out_of_window_keys_are_rejected(case: RejectedKey) {
    let mut harness = SideHarness::with_service();
    let attempt = harness.place_call_with_key(1, &case.key);
    assert_eq!(harness.end_of(attempt), Some(&case.end));
}

#[test]
fn a_key_reused_with_other_content_is_refused() {
    let mut harness = SideHarness::with_service();
    let key: std::sync::Arc<str> = format!("{}-k", LOG_START.as_millis()).into();
    harness.place_call_with_key(1, &key);
    harness.read_log();
    let other = harness.place(2, |frame| {
        frame.work = sapphirewell::frame::AttemptWork::Call;
        frame.idempotent = false;
        frame.key = Some(key.clone());
        frame.fingerprint = 78;
    });
    let end = harness.end_of(other).unwrap();
    assert!(
        matches!(end, AttemptEnd::NotRun { reason: RefusalReason::KeyMismatch, .. }),
        "{end:?}"
    );
}

#[test]
fn a_cancelled_call_continues_and_its_outcome_is_recorded() {
    let mut harness = SideHarness::with_service();
    let attempt = harness.place_call(1, "a");
    harness.read_log();
    harness.event(SideEvent::LinkDown { link: LINK });
    harness.target(TargetEvent::Answered { attempt, answer: answer() });
    harness.tick_for(Duration::from_millis(20));
    let recorded =
        harness.claim_events().iter().any(|event| matches!(event, ClaimEvent::Outcome { .. }));
    assert!(recorded);
}
