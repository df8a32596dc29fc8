//! Who orders engines, and when prompts that wait get another reader.

mod support;

use std::time::Duration;

use sapphirewell::direct::{
    ClaimOutcome, DirectAction, DirectEvent, LoadReport, OrderOutcome, RetryPolicy, StageOrder,
    TargetStage,
};
use support::direct::DirectRig;

const SECOND: Duration = Duration::from_secs(1);
const LOOK: Duration = Duration::from_millis(200);

fn fleet() -> DirectRig {
    let mut rig = DirectRig::new(RetryPolicy::Resume);
    rig.list("reader", TargetStage::Prefill);
    for name in ["w0", "w1", "w2", "w3", "w4"] {
        rig.list(name, TargetStage::Decode);
    }
    rig
}

fn claims(actions: &[DirectAction]) -> usize {
    actions.iter().filter(|action| matches!(action, DirectAction::Claim)).count()
}

/// Ticks at each look for some time, and returns the orders.
fn tick(rig: &mut DirectRig, looks: u32) -> Vec<StageOrder> {
    let mut orders = Vec::new();
    for _ in 0..looks {
        rig.advance(LOOK);
        orders.extend(rig.step(DirectEvent::Tick).into_iter().filter_map(|action| match action {
            DirectAction::Order(order) => Some(order),
            _ => None,
        }));
    }
    orders
}

fn hold(rig: &mut DirectRig) {
    rig.step(DirectEvent::Tick);
    rig.advance(5 * SECOND);
    assert_eq!(claims(&rig.step(DirectEvent::Tick)), 1);
    rig.step(DirectEvent::ClaimEnded(ClaimOutcome::Taken(4)));
}

/// More long prompts of different subjects than the reader gets through.
fn crowd(rig: &mut DirectRig) {
    for flow in 1..=12 {
        rig.submit_prompt(flow, flow, 17_000);
    }
}

fn report(claim: Option<u64>) -> LoadReport {
    LoadReport {
        peer: "another".into(),
        instance: 9,
        sequence: 1,
        full: true,
        targets: vec![],
        cached: vec![],
        suspects: vec![],
        claim,
        switching: vec![],
    }
}

#[test]
fn nobody_orders_before_a_lease_has_passed_since_the_claim() {
    let mut rig = fleet();
    hold(&mut rig);
    crowd(&mut rig);
    // The rig's lease is 3 s, and an order may be on its way for 2 s.
    assert_eq!(tick(&mut rig, 24), []);
    let orders = tick(&mut rig, 10);
    let [order] = &orders[..] else { panic!("{orders:?}") };
    assert_eq!((order.stage, order.fence), (TargetStage::Prefill, 4));
}

#[test]
fn a_calm_fleet_gets_no_order() {
    let mut rig = fleet();
    hold(&mut rig);
    assert_eq!(tick(&mut rig, 60), []);
}

#[test]
fn a_newer_claim_of_another_entry_ends_the_authority() {
    let mut rig = fleet();
    hold(&mut rig);
    crowd(&mut rig);
    rig.advance(5 * SECOND);
    rig.step(DirectEvent::PeerLoad(report(Some(5))));
    assert_eq!(tick(&mut rig, 7), []);
    assert_eq!(claims(&rig.step(DirectEvent::Tick)), 0, "the other one was just heard");
}

#[test]
fn an_entry_that_hears_of_a_claim_does_not_claim() {
    let mut rig = fleet();
    rig.step(DirectEvent::Tick);
    rig.advance(5 * SECOND);
    rig.step(DirectEvent::PeerLoad(report(Some(1))));
    assert_eq!(claims(&rig.step(DirectEvent::Tick)), 0);
}

#[test]
fn only_the_first_entry_by_name_claims() {
    let mut rig = fleet();
    rig.step(DirectEvent::Tick);
    rig.advance(5 * SECOND);
    // The rig's own name is "entry"; "another" comes before it.
    rig.step(DirectEvent::PeerLoad(report(None)));
    assert_eq!(claims(&rig.step(DirectEvent::Tick)), 0);
}

#[test]
fn an_engine_that_refused_is_left_alone_and_another_one_is_asked() {
    let mut rig = fleet();
    hold(&mut rig);
    crowd(&mut rig);
    let first = tick(&mut rig, 34).remove(0).target.id.clone();
    let outcome = OrderOutcome::Refused;
    rig.step(DirectEvent::OrderEnded { target: first.clone(), outcome });
    let next = tick(&mut rig, 4).remove(0);
    assert_ne!(next.target.id, first);
}
