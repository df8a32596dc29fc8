//! Targets that turn requests away and state for how long they want none.

mod support;

use std::time::Duration;

use hyper::{
    StatusCode,
    header::{HeaderMap, HeaderValue, RETRY_AFTER},
};
use sapphirewell::{
    direct::{
        DirectAction, DirectEvent, DirectTarget, FailureReason, RetryPolicy, TargetChange,
        TargetStage,
    },
    platform::runner,
};
use support::direct::DirectRig;
use yare::parameterized;

#[parameterized(
    whole_seconds = { 503, "2", Some(Duration::from_secs(2)) },
    fraction = { 503, " 0.25 ", Some(Duration::from_millis(250)) },
    huge = { 503, "1e300", Some(Duration::from_secs(60)) },
    zero = { 503, "0", None },
    negative = { 503, "-1", None },
    infinite = { 503, "inf", None },
    no_number = { 503, "NaN", None },
    date = { 503, "Fri, 04 Dec 2026 08:00:00 GMT", None },
    empty = { 503, "", None },
    another_status = { 429, "2", None },
)]
fn only_a_time_in_a_503_closes_a_target(status: u16, value: &str, expected: Option<Duration>) {
    let mut headers = HeaderMap::new();
    headers.insert(RETRY_AFTER, HeaderValue::from_str(value).unwrap());
    let status = StatusCode::from_u16(status).unwrap();
    assert_eq!(runner::closed_time(status, &headers), expected);
}

fn close(target: &str, time: Duration) -> DirectEvent {
    DirectEvent::TargetClosed { target: target.into(), time }
}

enum Step {
    Closed(Duration),
    Passed(Duration),
    /// A registration of the start with this time.
    Registered(u64),
}

const SECOND: Duration = Duration::from_secs(1);

#[parameterized(
    open = { &[], true },
    closed = { &[Step::Closed(SECOND)], false },
    reopened = { &[Step::Closed(SECOND), Step::Passed(SECOND)], true },
    a_shorter_time_does_not_reopen = { &[Step::Closed(SECOND.saturating_mul(3)), Step::Closed(SECOND), Step::Passed(SECOND.saturating_mul(2))], false },
    registered_again = { &[Step::Closed(SECOND), Step::Registered(1)], false },
    started_again = { &[Step::Closed(SECOND), Step::Registered(2)], true },
)]
fn a_closed_target_gets_no_request(steps: &[Step], gets_requests: bool) {
    let mut rig = DirectRig::new(RetryPolicy::Never);
    rig.list("a", TargetStage::Plain);
    for step in steps {
        match step {
            Step::Closed(time) => drop(rig.step(close("a", *time))),
            Step::Passed(time) => rig.advance(*time),
            Step::Registered(born_ms) => {
                let target = rig.target("a", TargetStage::Plain);
                let target = DirectTarget { born_ms: *born_ms, sequence: 9, ..target };
                rig.step(DirectEvent::Target(TargetChange::Listed(target)));
            }
        }
    }
    let actions = rig.submit(1).actions();
    let called = actions.iter().any(|action| matches!(action, DirectAction::Call { .. }));
    assert_eq!(called, gets_requests, "{actions:?}");
}

#[test]
fn a_caller_is_told_when_the_first_closed_target_opens() {
    let mut rig = DirectRig::new(RetryPolicy::Never);
    rig.list("a", TargetStage::Plain);
    rig.list("b", TargetStage::Plain);
    rig.step(close("a", SECOND));
    assert_eq!(&*rig.submit(1).call().target, "b");
    rig.step(close("b", SECOND / 2));
    let actions = rig.submit(2).actions();
    let failure = actions.iter().find_map(|action| match action {
        DirectAction::Fail { failure, .. } => Some(*failure),
        _ => None,
    });
    let failure = failure.unwrap();
    assert_eq!((failure.reason, failure.not_run), (FailureReason::Declined, true));
    assert!((SECOND / 2..=SECOND).contains(&failure.retry_after), "{failure:?}");
}
