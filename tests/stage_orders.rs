//! Claims on ordering engines, and orders that switch engines to the prefill stage.

mod support;

use std::time::Duration;

use sapphirewell::direct::{
    ClaimOutcome, DirectAction, DirectEvent, LoadReport, OrderOutcome, RetryPolicy, StageOrder,
    TargetStage,
};
use support::direct::DirectRig;

const SECOND: Duration = Duration::from_secs(1);
const SAMPLE_INTERVAL: Duration = Duration::from_millis(200);

fn fleet() -> DirectRig {
    let mut rig = DirectRig::new(RetryPolicy::Resume);
    rig.list("prefill", TargetStage::Prefill);
    for name in ["d0", "d1", "d2", "d3", "d4"] {
        rig.list(name, TargetStage::Decode);
    }
    rig
}

fn claims(actions: &[DirectAction]) -> usize {
    actions.iter().filter(|action| matches!(action, DirectAction::Claim)).count()
}

/// Ticks for a number of load samples and returns the orders.
fn tick(rig: &mut DirectRig, samples: u32) -> Vec<StageOrder> {
    let mut orders = Vec::new();
    for _ in 0..samples {
        rig.advance(SAMPLE_INTERVAL);
        orders.extend(rig.step(DirectEvent::Tick).into_iter().filter_map(|action| match action {
            DirectAction::Order(order) => Some(order),
            _ => None,
        }));
    }
    orders
}

fn take_authority(rig: &mut DirectRig) {
    rig.step(DirectEvent::Tick);
    rig.advance(5 * SECOND);
    assert_eq!(claims(&rig.step(DirectEvent::Tick)), 1);
    rig.step(DirectEvent::ClaimEnded(ClaimOutcome::Taken(4)));
}

/// Submits more long prompts without a common prefix than the prefill engine can process.
fn overload_prefill(rig: &mut DirectRig) {
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
        limits: vec![],
        demand: vec![],
        claim,
        leaving: vec![],
        usage_claim: None,
        scale_claim: None,
        switching: vec![],
    }
}

#[test]
fn no_order_is_sent_before_a_lease_has_passed_since_the_claim() {
    let mut rig = fleet();
    take_authority(&mut rig);
    overload_prefill(&mut rig);
    // The lease is 3 s, and an order may take 2 s to arrive.
    assert_eq!(tick(&mut rig, 24), []);
    let orders = tick(&mut rig, 10);
    let [order] = &orders[..] else { panic!("{orders:?}") };
    assert_eq!((order.stage, order.fence), (TargetStage::Prefill, 4));
}

#[test]
fn idle_fleet_gets_no_order() {
    let mut rig = fleet();
    take_authority(&mut rig);
    assert_eq!(tick(&mut rig, 60), []);
}

#[test]
fn newer_claim_of_a_peer_ends_the_authority() {
    let mut rig = fleet();
    take_authority(&mut rig);
    overload_prefill(&mut rig);
    rig.advance(5 * SECOND);
    rig.step(DirectEvent::PeerLoad(report(Some(5))));
    assert_eq!(tick(&mut rig, 7), []);
    assert_eq!(
        claims(&rig.step(DirectEvent::Tick)),
        0,
        "the peer's claim was reported just before"
    );
}

#[test]
fn entry_does_not_claim_while_a_peer_holds_a_claim() {
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
    // The entry's own name is "entry"; "another" sorts before it.
    rig.step(DirectEvent::PeerLoad(report(None)));
    assert_eq!(claims(&rig.step(DirectEvent::Tick)), 0);
}

#[test]
fn another_engine_is_ordered_after_a_refusal() {
    let mut rig = fleet();
    take_authority(&mut rig);
    overload_prefill(&mut rig);
    let first = tick(&mut rig, 34).remove(0).target.id.clone();
    let outcome = OrderOutcome::Refused;
    rig.step(DirectEvent::OrderEnded { target: first.clone(), outcome });
    let next = tick(&mut rig, 4).remove(0);
    assert_ne!(next.target.id, first);
}
