//! Two entries ordered one engine with the same fencing token, as a restored store gave out an
//! offset again.

mod support;

use std::time::Duration;

use sapphirewell::direct::{
    ClaimOutcome, DirectAction, DirectEvent, LoadReport, OrderFencingToken, RetryPolicy,
    StoreGeneration, TargetStage, fencing_token,
};
use support::direct::DirectRig;
use yare::parameterized;

/// Longer than an entry waits for a peer's claim.
const CLAIM_TIME: Duration = Duration::from_millis(5100);

fn token(generation: StoreGeneration, end: u64) -> OrderFencingToken {
    fencing_token(Some(generation), end).unwrap()
}

#[parameterized(
    same_end = { (Some(1), 1), (Some(2), 1) },
    lower_end = { (Some(1), 4_000_000_000), (Some(2), 1) },
    two_restores = { (Some(1), 7), (Some(3), 1) },
    first_statement_of_a_generation = { (None, 4_000_000_000), (Some(1), 1) },
    same_generation = { (Some(5), 8), (Some(5), 9) },
    largest = { (Some((1 << 21) - 1), (1 << 32) - 2), (Some((1 << 21) - 1), (1 << 32) - 1) },
)]
fn later_claims_have_higher_tokens(
    earlier: (Option<StoreGeneration>, u64),
    later: (Option<StoreGeneration>, u64),
) {
    let token = |(generation, end)| fencing_token(generation, end).unwrap();
    assert!(token(later) > token(earlier));
    assert_eq!(token(later) as f64 as u64, token(later));
}

#[parameterized(
    generation = { Some(1 << 21), 1 },
    end = { Some(1), 1 << 32 },
    largest = { Some(u64::MAX), u64::MAX },
)]
fn numbers_that_do_not_fit_make_no_token(generation: Option<StoreGeneration>, end: u64) {
    assert_eq!(fencing_token(generation, end), None);
}

fn holder_of(fence: OrderFencingToken) -> DirectRig {
    let mut rig = rig();
    rig.step(DirectEvent::Tick);
    rig.advance(CLAIM_TIME);
    assert!(rig.step(DirectEvent::Tick).contains(&DirectAction::Claim));
    rig.step(DirectEvent::ClaimEnded(ClaimOutcome::Taken(fence)));
    assert_eq!(rig.report().claim, Some(fence));
    rig
}

fn rig() -> DirectRig {
    let mut rig = DirectRig::new(RetryPolicy::Resume);
    rig.list("prefill", TargetStage::Prefill);
    for name in ["d0", "d1", "d2"] {
        rig.list(name, TargetStage::Decode);
    }
    rig
}

fn claims_within(rig: &mut DirectRig, time: Duration) -> bool {
    let step = Duration::from_millis(100);
    let steps = time.div_duration_f64(step) as u32;
    (0..steps).any(|_| {
        rig.advance(step);
        rig.step(DirectEvent::Tick).contains(&DirectAction::Claim)
    })
}

#[parameterized(
    once = { &[2] },
    twice = { &[2, 3] },
    two_at_once = { &[3] },
    more_than_a_token_holds = { &[u64::MAX] },
)]
fn a_claim_does_not_outlive_a_restore(generations: &[StoreGeneration]) {
    let mut rig = holder_of(token(1, 4));
    for generation in generations {
        rig.step(DirectEvent::StoreRestored(*generation));
    }
    assert_eq!(rig.report().claim, None);
    assert!(claims_within(&mut rig, CLAIM_TIME + CLAIM_TIME), "it claims again");
}

/// The response to the claim came before the restore was noticed, or stated the generation before.
#[test]
fn a_claim_from_before_a_restore_does_not_hold() {
    let mut rig = rig();
    rig.step(DirectEvent::Tick);
    rig.advance(CLAIM_TIME);
    assert!(rig.step(DirectEvent::Tick).contains(&DirectAction::Claim));
    rig.step(DirectEvent::StoreRestored(2));
    rig.step(DirectEvent::ClaimEnded(ClaimOutcome::Taken(token(1, 9))));
    assert_eq!(rig.report().claim, None);
}

/// The response to the claim was the first that stated the generation.
#[test]
fn a_claim_in_the_restored_store_holds() {
    let mut rig = holder_of(token(2, 1));
    rig.step(DirectEvent::StoreRestored(2));
    assert_eq!(rig.report().claim, Some(token(2, 1)));
}

fn report(sequence: u64, claim: OrderFencingToken) -> DirectEvent {
    DirectEvent::PeerLoad(LoadReport {
        peer: "a-peer".into(),
        instance: 9,
        sequence,
        full: true,
        targets: vec![],
        cached: vec![],
        suspects: vec![],
        limits: vec![],
        demand: vec![],
        claim: Some(claim),
        leaving: vec![],
        usage_claim: None,
        scale_claim: None,
        switching: vec![],
    })
}

/// A peer that is cut off from the store alone does not notice the restore.
#[parameterized(
    from_before = { 1, true },
    from_after = { 2, false },
)]
fn a_peer_claim_counts_in_its_generation_only(generation: StoreGeneration, claims: bool) {
    let mut rig = holder_of(token(1, 4));
    rig.step(DirectEvent::StoreRestored(2));
    let mut has_claimed = false;
    for sequence in 1..80 {
        rig.step(report(sequence, token(generation, 5)));
        rig.advance(Duration::from_millis(100));
        has_claimed |= rig.step(DirectEvent::Tick).contains(&DirectAction::Claim);
    }
    // The peer's name sorts before, so that it would have to claim; it ends without a word.
    has_claimed |= claims && claims_within(&mut rig, Duration::from_secs(3));
    assert_eq!(has_claimed, claims);
}
