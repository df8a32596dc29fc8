//! Orders to engines: one orderer, drained first, settled by the engine's own report.

mod support;

use std::{collections::BTreeMap, time::Duration};

use sapphirewell::{
    frame::AttemptEnd,
    record::{EngineRole, LogRecord, PlanProposal},
    side::{SideAction, TargetEvent, TargetReport},
};
use support::{SideHarness, report};

fn plan(harness: &mut SideHarness, replaces: u64, role: EngineRole) -> u64 {
    let roles = BTreeMap::from([("t".into(), role)]);
    let offset = harness.log.append(&LogRecord::Plan(PlanProposal { replaces, roles }));
    harness.read_log();
    offset
}

fn orders(actions: &[SideAction]) -> Vec<EngineRole> {
    let role = |action: &SideAction| match action {
        SideAction::ChangeRole { role, .. } => Some(*role),
        _ => None,
    };
    actions.iter().filter_map(role).collect()
}

fn changing() -> TargetReport {
    TargetReport { boot: 1, role: None, changing: true, fence: 2, cached: Vec::new() }
}

#[test]
fn an_engine_is_drained_before_its_order() {
    let mut harness = SideHarness::with_engine();
    let attempt = harness.place_completion(1, 500);
    plan(&mut harness, 0, EngineRole::Prefill);
    assert_eq!(orders(&harness.tick_for(Duration::from_millis(200))), []);
    harness.target(TargetEvent::Chunk { attempt, index: 0, tokens: 8, text: "x".into() });
    harness.target(TargetEvent::Finished { attempt, chunks: 1, tokens: 8 });
    assert_eq!(harness.end_of(attempt), Some(&AttemptEnd::Completed { chunks: 1, tokens: 8 }));
    assert_eq!(orders(&harness.tick_for(Duration::from_millis(100))), [EngineRole::Prefill]);
}

#[test]
fn a_plan_on_an_old_base_is_ignored() {
    let mut harness = SideHarness::with_engine();
    let first = plan(&mut harness, 0, EngineRole::Prefill);
    plan(&mut harness, 0, EngineRole::Decode);
    assert_eq!(harness.fold.view().plan.offset, first);
    assert_eq!(orders(&harness.tick_for(Duration::from_millis(100))), []);
    assert_eq!(harness.fold.view().plan.roles["t"], EngineRole::Prefill);
}

#[test]
fn a_lost_order_is_sent_again_and_a_running_change_is_left_alone() {
    let mut harness = SideHarness::with_engine();
    plan(&mut harness, 0, EngineRole::Decode);
    harness.tick_for(Duration::from_millis(100));
    // The engine never got the order: it still reports its old role.
    assert_eq!(orders(&harness.tick_for(Duration::from_millis(2500))), [EngineRole::Decode]);
    // Now it changes: no order reaches it until it has settled.
    harness.target(TargetEvent::Report(changing()));
    assert_eq!(orders(&harness.tick_for(Duration::from_secs(8))), []);
    harness
        .target(TargetEvent::Report(TargetReport { role: Some(EngineRole::Decode), ..report(1) }));
    assert_eq!(orders(&harness.tick_for(Duration::from_secs(3))), []);
}

#[test]
fn an_engine_whose_role_is_unclear_gets_neither_work_nor_orders() {
    let mut harness = SideHarness::with_engine();
    plan(&mut harness, 0, EngineRole::Decode);
    harness.tick_for(Duration::from_millis(100));
    harness.target(TargetEvent::Report(TargetReport { boot: 2, ..changing() }));
    let attempt = harness.place_completion(1, 500);
    assert!(matches!(harness.end_of(attempt), Some(AttemptEnd::NotRun { .. })));
    assert_eq!(orders(&harness.tick_for(Duration::from_secs(5))), []);
}

#[test]
fn a_replaced_side_orders_nothing() {
    let mut old = SideHarness::with_engine();
    let log = std::mem::take(&mut old.log);
    let mut successor = SideHarness::service_on(log, 2);
    let roles = BTreeMap::from([("t".into(), EngineRole::Decode)]);
    successor.log.append(&LogRecord::Plan(PlanProposal { replaces: 0, roles }));
    old.log = successor.log;
    old.read_log();
    assert_eq!(orders(&old.tick_for(Duration::from_secs(3))), []);
}
