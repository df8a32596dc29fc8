//! The number of targets is ordered by one entry at a time, whatever fails.

#[path = "support/scale.rs"]
mod scale;

use std::time::Duration;

use sapphirewell::direct::PostOutcome;
use scale::{CALL_INTERVAL, FleetTerms, OrderStep, ScaleFleet, StepFault};
use yare::parameterized;

const ENTRIES: usize = 4;
/// Requests at the same time that the four targets of the start serve, and that need a fifth one.
const USUAL_LOAD: usize = 10;
const PEAK_LOAD: usize = 20;

const fn seconds(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

/// Returns entries that have served their usual load for longer than any peak counts.
fn settled_fleet() -> ScaleFleet {
    let mut fleet = ScaleFleet::new(ENTRIES);
    fleet.load = USUAL_LOAD;
    fleet.run(seconds(30));
    fleet
}

/// Runs on, and panics if the peak is not served or its end is not followed.
fn assert_follows_load(fleet: &mut ScaleFleet, case: &str) {
    fleet.load = PEAK_LOAD;
    fleet.run(seconds(70));
    let peak = fleet.target_count();
    assert!((5..=8).contains(&peak), "{case}: {peak} targets at the peak, {:?}", fleet.orders);
    fleet.load = USUAL_LOAD;
    fleet.run(seconds(130));
    let after = fleet.target_count();
    assert!((3..=4).contains(&after), "{case}: {after} targets after it, {:?}", fleet.orders);
    fleet.check_one();
}

#[test]
fn a_lasting_peak_leads_to_few_orders_of_one_entry() {
    let mut fleet = settled_fleet();
    assert_eq!(fleet.orders.len(), 0, "{:?}", fleet.orders);
    assert_follows_load(&mut fleet, "");
    assert!((2..=8).contains(&fleet.orders.len()), "{:?}", fleet.orders);
    assert!(fleet.orders.iter().all(|(call, _)| call.entry == fleet.orders[0].0.entry));
}

/// Both duties together stay within the calls that the platform takes.
#[parameterized(
    alone = { FleetTerms { lists_usage: false, has_customers: true }, 1 },
    no_customers = { FleetTerms { lists_usage: true, has_customers: false }, 1 },
    both = { FleetTerms { lists_usage: true, has_customers: true }, 2 },
)]
fn duties_that_are_in_force_share_the_calls(terms: FleetTerms, parts: u32) {
    let mut fleet = ScaleFleet::with_terms(ENTRIES, terms);
    fleet.load = USUAL_LOAD;
    fleet.run(seconds(30));
    // More targets are needed in both data centres.
    fleet.load = 2 * PEAK_LOAD;
    fleet.run(seconds(30));
    let times: Vec<Duration> = fleet.orders.iter().map(|(call, _)| call.at).collect();
    let pause = times[1] - times[0];
    let expected = CALL_INTERVAL * parts;
    assert!((expected..expected + CALL_INTERVAL / 2).contains(&pause), "{pause:?}");
}

#[test]
fn a_short_burst_leads_to_no_order() {
    let mut fleet = settled_fleet();
    for _ in 0..5 {
        fleet.load = PEAK_LOAD;
        fleet.run(seconds(7));
        fleet.load = USUAL_LOAD;
        fleet.run(seconds(7));
    }
    assert_eq!(fleet.orders.len(), 0, "{:?}", fleet.orders);
}

#[parameterized(
    killed_before = { StepFault::KilledBefore },
    killed_after = { StepFault::KilledAfter },
    frozen = { StepFault::Frozen(seconds(3)) },
    frozen_long = { StepFault::Frozen(seconds(12)) },
    answer_lost = { StepFault::AnswerLost },
)]
fn a_fault_at_any_step_leaves_one_holder(fault: StepFault) {
    for step in [OrderStep::Claim, OrderStep::Check, OrderStep::Post] {
        let mut fleet = settled_fleet();
        fleet.strike(step, fault);
        if let Some(holder) = fleet.holder().filter(|_| step == OrderStep::Claim) {
            fleet.kill(holder, seconds(30));
        }
        assert_follows_load(&mut fleet, &format!("{step:?}"));
        assert_eq!(fleet.faults_struck, 1, "{step:?}");
    }
}

/// Each kind of orders that fail is repeated, more and more rarely.
#[parameterized(
    refused = { PostOutcome::Refused },
    no_answer = { PostOutcome::NoAnswer },
)]
fn a_platform_that_takes_no_orders_gets_few_calls(outcome: PostOutcome) {
    let mut fleet = settled_fleet();
    fleet.answer = outcome;
    fleet.load = PEAK_LOAD;
    fleet.run(seconds(120));
    let calls = fleet.orders.len();
    assert!((2..=20).contains(&calls), "{calls} calls in two minutes");
    fleet.answer = PostOutcome::Accepted;
    assert_follows_load(&mut fleet, "");
}

/// The next holder knows for how long the demand has lasted.
#[test]
fn a_holder_that_ends_in_a_peak_is_replaced() {
    let mut fleet = settled_fleet();
    fleet.load = PEAK_LOAD;
    fleet.run(seconds(8));
    let holder = fleet.holder().unwrap();
    fleet.kill(holder, seconds(60));
    fleet.run(seconds(25));
    assert!(fleet.target_count() >= 5, "{:?}", fleet.orders);
    assert_ne!(fleet.holder(), Some(holder));
    assert_follows_load(&mut fleet, "");
}

#[test]
fn a_holder_that_is_cut_off_from_the_store_is_replaced() {
    let mut fleet = settled_fleet();
    let holder = fleet.holder().unwrap();
    fleet.cut_from_store.insert(holder);
    assert_follows_load(&mut fleet, "");
    assert_ne!(fleet.holder(), Some(holder));
}

/// An entry that knows its own load only takes no targets away from the others.
#[parameterized(
    short = { 8 },
    long = { 180 },
)]
fn an_entry_that_is_cut_off_from_its_peers_orders_nothing(cut: u64) {
    let mut fleet = settled_fleet();
    let holder = fleet.holder().unwrap();
    fleet.cut_from_peers.insert(holder);
    let before = fleet.orders.len();
    fleet.run(seconds(cut));
    let by_it = fleet.orders[before..].iter().filter(|(call, _)| call.entry == holder);
    assert_eq!(by_it.count(), 0, "{:?}", fleet.orders);
    // The others know three quarters of the load, which three targets would serve.
    assert_eq!(fleet.target_count(), 4, "{:?}", fleet.orders);
    fleet.cut_from_peers.clear();
    fleet.run(seconds(10));
    assert_follows_load(&mut fleet, "");
}

/// Over half of the peers are heard, so the holder acts, but it knows a part of the load only.
#[test]
fn a_holder_that_hears_some_of_its_peers_takes_no_targets_away() {
    let mut fleet = ScaleFleet::new(7);
    fleet.load = USUAL_LOAD;
    fleet.run(seconds(130));
    let (holder, before) = (fleet.holder().unwrap(), fleet.target_count());
    fleet.cut_from_peers.extend((0..7).filter(|entry| *entry != holder).take(3));
    fleet.run(seconds(200));
    assert_eq!(fleet.holder(), Some(holder));
    assert_eq!(fleet.target_count(), before, "{:?}", fleet.orders);
    fleet.cut_from_peers.clear();
    fleet.run(seconds(10));
    assert_follows_load(&mut fleet, "");
}

/// Callers come again and again while no target can be reached, and nothing runs.
#[test]
fn an_outage_takes_no_targets_away() {
    let mut fleet = settled_fleet();
    fleet.run(seconds(100));
    let before = fleet.target_count();
    fleet.is_outage = true;
    fleet.run(seconds(180));
    assert_eq!(fleet.target_count(), before, "{:?}", fleet.orders);
    fleet.is_outage = false;
    fleet.run(seconds(10));
    assert!(fleet.target_count() >= before, "{:?}", fleet.orders);
    fleet.run(seconds(170));
    assert!((3..=4).contains(&fleet.target_count()), "{:?}", fleet.orders);
    fleet.check_one();
}

#[test]
fn targets_that_are_all_lost_come_back() {
    let mut fleet = settled_fleet();
    fleet.lose_targets();
    fleet.run(seconds(30));
    assert!((3..=4).contains(&fleet.target_count()), "{:?}", fleet.orders);
    fleet.run(seconds(170));
    assert!((3..=4).contains(&fleet.target_count()), "{:?}", fleet.orders);
    fleet.check_one();
}

/// The need is over before the store returns, so that no further order shows that it has.
#[test]
fn a_holder_tells_of_its_claim_after_the_store_has_returned() {
    let mut fleet = settled_fleet();
    let holder = fleet.holder().unwrap();
    fleet.cut_from_store.extend(0..ENTRIES);
    fleet.load = PEAK_LOAD;
    fleet.run(seconds(20));
    assert!(!fleet.tells_claim(holder));
    fleet.load = USUAL_LOAD;
    fleet.run(seconds(40));
    assert!(fleet.tells_claim(holder));
    fleet.cut_from_store.clear();
    fleet.run(seconds(30));
    assert_eq!(fleet.holder(), Some(holder));
}

/// Tokens after a restore are higher, and what was ordered before is not ordered back.
#[parameterized(
    before_the_peak = { 0 },
    as_it_is_ordered = { 12 },
    after_the_order = { 30 },
)]
fn a_restored_store_leaves_one_holder(offset: u64) {
    let mut fleet = settled_fleet();
    fleet.load = PEAK_LOAD;
    fleet.run(seconds(offset));
    fleet.restore_store();
    assert_follows_load(&mut fleet, "");
}
