//! Role changes of engines: requested by the current side only, after a drain, and complete
//! once the engine reports its new role.

mod support;

use std::{collections::BTreeMap, time::Duration};

use sapphirewell::{
    frame::AttemptEnd,
    record::{EngineRole, LogRecord, PlanProposal},
    side::{SideAction, TargetEvent, TargetReport},
};
use support::{SideHarness, report};

fn append_plan(harness: &mut SideHarness, replaces: u64, role: EngineRole) -> u64 {
    let roles = BTreeMap::from([("t".into(), role)]);
    let offset = harness.log.append(&LogRecord::Plan(PlanProposal { replaces, roles }));
    harness.read_log();
    offset
}

fn requested_roles(actions: &[SideAction]) -> Vec<EngineRole> {
    let role = |action: &SideAction| match action {
        SideAction::ChangeRole { role, .. } => Some(*role),
        _ => None,
    };
    actions.iter().filter_map(role).collect()
}

fn changing_report() -> TargetReport {
    TargetReport { boot: 1, role: None, changing: true, fence: 2, cached: Vec::new() }
}

#[test]
fn an_engine_is_drained_before_its_role_change() {
    let mut harness = SideHarness::with_engine();
    let attempt = harness.place_completion(1, 500);
    append_plan(&mut harness, 0, EngineRole::Prefill);
    assert_eq!(requested_roles(&harness.tick_for(Duration::from_millis(200))), []);
    harness.target(TargetEvent::Chunk { attempt, index: 0, tokens: 8, text: "x".into() });
    harness.target(TargetEvent::Finished { attempt, chunks: 1, tokens: 8 });
    assert_eq!(harness.end_of(attempt), Some(&AttemptEnd::Completed { chunks: 1, tokens: 8 }));
    assert_eq!(
        requested_roles(&harness.tick_for(Duration::from_millis(100))),
        [EngineRole::Prefill]
    );
}

#[test]
fn a_plan_based_on_an_outdated_one_is_ignored() {
    let mut harness = SideHarness::with_engine();
    let first = append_plan(&mut harness, 0, EngineRole::Prefill);
    append_plan(&mut harness, 0, EngineRole::Decode);
    assert_eq!(harness.fleet.view().plan.offset, first);
    assert_eq!(requested_roles(&harness.tick_for(Duration::from_millis(100))), []);
    assert_eq!(harness.fleet.view().plan.roles["t"], EngineRole::Prefill);
}

#[test]
fn a_lost_request_is_sent_again_but_not_during_a_role_change() {
    let mut harness = SideHarness::with_engine();
    append_plan(&mut harness, 0, EngineRole::Decode);
    harness.tick_for(Duration::from_millis(100));
    // The request was lost: the engine still reports its old role.
    assert_eq!(
        requested_roles(&harness.tick_for(Duration::from_millis(2500))),
        [EngineRole::Decode]
    );
    // No further request is sent while the change is in progress.
    harness.target(TargetEvent::Report(changing_report()));
    assert_eq!(requested_roles(&harness.tick_for(Duration::from_secs(8))), []);
    harness
        .target(TargetEvent::Report(TargetReport { role: Some(EngineRole::Decode), ..report(1) }));
    assert_eq!(requested_roles(&harness.tick_for(Duration::from_secs(3))), []);
}

#[test]
fn an_engine_with_an_unknown_role_gets_neither_work_nor_role_changes() {
    let mut harness = SideHarness::with_engine();
    append_plan(&mut harness, 0, EngineRole::Decode);
    harness.tick_for(Duration::from_millis(100));
    harness.target(TargetEvent::Report(TargetReport { boot: 2, ..changing_report() }));
    let attempt = harness.place_completion(1, 500);
    assert!(matches!(harness.end_of(attempt), Some(AttemptEnd::NotRun { .. })));
    assert_eq!(requested_roles(&harness.tick_for(Duration::from_secs(5))), []);
}

#[test]
fn a_replaced_side_requests_no_role_change() {
    let mut old = SideHarness::with_engine();
    let log = std::mem::take(&mut old.log);
    let mut successor = SideHarness::service_on(log, 2);
    let roles = BTreeMap::from([("t".into(), EngineRole::Decode)]);
    successor.log.append(&LogRecord::Plan(PlanProposal { replaces: 0, roles }));
    old.log = successor.log;
    old.read_log();
    assert_eq!(requested_roles(&old.tick_for(Duration::from_secs(3))), []);
}
