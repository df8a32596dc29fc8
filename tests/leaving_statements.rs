//! Targets that state in responses that they leave, before their registrations say so.

mod support;

use std::time::Duration;

use sapphirewell::direct::{
    DirectAction, DirectEvent, DirectTarget, LeavingTarget, LoadReport, RetryPolicy, TargetChange,
    TargetStage,
};
use support::direct::DirectRig;
use yare::parameterized;

fn leaving(born_ms: u64) -> LeavingTarget {
    LeavingTarget { target: "a".into(), born_ms }
}

fn statement(born_ms: u64) -> DirectEvent {
    DirectEvent::TargetLeaving(leaving(born_ms))
}

fn report(born_ms: u64) -> DirectEvent {
    DirectEvent::PeerLoad(LoadReport {
        peer: "peer".into(),
        instance: 1,
        sequence: 1,
        full: false,
        targets: Vec::new(),
        cached: Vec::new(),
        suspects: Vec::new(),
        limits: Vec::new(),
        demand: Vec::new(),
        claim: None,
        usage_claim: None,
        scale_claim: None,
        leaving: vec![leaving(born_ms)],
        switching: Vec::new(),
    })
}

fn removal() -> DirectEvent {
    DirectEvent::Target(TargetChange::Removed("a".into()))
}

fn registration(rig: &mut DirectRig, born_ms: u64) -> DirectEvent {
    let target = rig.target("a", TargetStage::Plain);
    DirectEvent::Target(TargetChange::Listed(DirectTarget { born_ms, sequence: 9, ..target }))
}

enum Step {
    Stated(u64),
    Reported(u64),
    /// A registration that says ready, of the start with this time.
    Registered(u64),
    Removed,
    Passed(Duration),
}

#[parameterized(
    nothing_stated = { &[], true },
    stated = { &[Step::Stated(1)], false },
    reported_by_a_peer = { &[Step::Reported(1)], false },
    registration_of_the_same_start = { &[Step::Stated(1), Step::Registered(1)], false },
    registration_of_a_new_start = { &[Step::Stated(1), Step::Registered(2)], true },
    statement_of_an_old_start = { &[Step::Registered(2), Step::Stated(1)], true },
    report_of_an_old_start = { &[Step::Registered(2), Step::Reported(1)], true },
    statement_read_before_the_registration = { &[Step::Stated(2), Step::Registered(2)], false },
    expired_and_registered_again = { &[Step::Stated(1), Step::Removed, Step::Registered(1)], false },
    registered_again_later = { &[Step::Stated(1), Step::Removed, Step::Passed(Duration::from_secs(60)), Step::Registered(1)], false },
)]
fn a_target_that_leaves_gets_no_request(steps: &[Step], gets_requests: bool) {
    let mut rig = DirectRig::new(RetryPolicy::Never);
    rig.list("a", TargetStage::Plain);
    for step in steps {
        let event = match step {
            Step::Stated(born) => statement(*born),
            Step::Reported(born) => report(*born),
            Step::Registered(born) => registration(&mut rig, *born),
            Step::Removed => removal(),
            Step::Passed(time) => {
                rig.advance(*time);
                DirectEvent::Tick
            }
        };
        rig.step(event);
    }
    let actions = rig.submit(1).actions();
    let called = actions.iter().any(|action| matches!(action, DirectAction::Call { .. }));
    assert_eq!(called, gets_requests, "{actions:?}");
}

#[test]
fn a_statement_is_reported_for_two_seconds_and_not_by_those_who_heard_it_twice() {
    let mut rig = DirectRig::new(RetryPolicy::Never);
    rig.list("a", TargetStage::Plain);
    rig.step(statement(1));
    assert_eq!(rig.report().leaving, [leaving(1)]);
    rig.advance(Duration::from_secs(3));
    rig.step(report(1));
    assert_eq!(rig.report().leaving, []);
}
