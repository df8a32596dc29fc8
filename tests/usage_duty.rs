//! Customers' usage is reported once for each window, by one entry at a time, whatever fails.

#[path = "support/usage.rs"]
mod usage;

use std::time::Duration;

use usage::{DutyStep, PlatformMode, StepFault, UsageFleet};
use yare::parameterized;

const ENTRIES: usize = 5;
/// Time after which entries that start have an acting holder.
const SETTLED: Duration = Duration::from_secs(12);

const fn seconds(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

fn settled_fleet() -> UsageFleet {
    let mut fleet = UsageFleet::new(ENTRIES);
    fleet.run(SETTLED);
    fleet
}

/// Runs on, and panics if a window from `from` on was missed or the reports were those of two.
fn assert_none_missed(fleet: &mut UsageFleet, from: Duration, time: Duration, case: &str) {
    fleet.run(time);
    let to = fleet.now;
    // All windows that ended until then are due.
    fleet.run(seconds(11));
    fleet.check_one();
    let missed = fleet.missed(from, to);
    assert!(missed.is_empty(), "{case}: windows {missed:?} missed; {:#?}", fleet.describe(&missed));
}

#[test]
fn every_window_is_reported_from_the_start_on() {
    let mut fleet = UsageFleet::new(ENTRIES);
    let from = fleet.now;
    assert_none_missed(&mut fleet, from, seconds(60), "");
    let holders: std::collections::BTreeSet<_> = fleet.reports.iter().map(|r| r.entry).collect();
    assert_eq!(holders.len(), 1, "the holder stays");
    let windows: Vec<_> = fleet.reports.iter().map(|report| report.usage.window).collect();
    assert!(windows.is_sorted_by(|a, b| a < b), "each once, in order: {windows:?}");
}

#[parameterized(
    holder = { 0 },
    first_backup = { 1 },
    plain_entry = { 4 },
)]
fn a_killed_entry_costs_no_window(entry: usize) {
    let mut fleet = settled_fleet();
    let from = fleet.now;
    for offset in [300, 2400, 700] {
        fleet.run(seconds(20) + Duration::from_millis(offset));
        fleet.kill(entry, seconds(1));
    }
    assert_none_missed(&mut fleet, from, seconds(20), "");
}

const STEPS: [DutyStep; 6] = [
    DutyStep::Claim,
    DutyStep::Read,
    DutyStep::Fix,
    DutyStep::Save,
    DutyStep::Check,
    DutyStep::Post,
];

/// Whatever the holder was doing: no report is made by two, and windows that end later are
/// reported.
#[parameterized(
    killed_before = { StepFault::KilledBefore },
    killed_after = { StepFault::KilledAfter },
    frozen_before = { StepFault::FrozenBefore(seconds(3)) },
    frozen_after = { StepFault::FrozenAfter(seconds(3)) },
    frozen_long_before = { StepFault::FrozenBefore(seconds(12)) },
    frozen_long_after = { StepFault::FrozenAfter(seconds(12)) },
    answer_lost = { StepFault::AnswerLost },
)]
fn a_fault_at_any_step_leaves_one_holder(fault: StepFault) {
    for step in STEPS {
        let mut fleet = settled_fleet();
        if step == DutyStep::Claim {
            fleet.kill(0, seconds(30));
        }
        fleet.strike(step, fault);
        fleet.run(seconds(25));
        assert_eq!(fleet.faults_struck, 1, "{step:?}");
        let from = fleet.now;
        assert_none_missed(&mut fleet, from, seconds(30), &format!("{step:?}"));
    }
}

#[parameterized(
    killed_before = { StepFault::KilledBefore },
    killed_after = { StepFault::KilledAfter },
    answer_lost = { StepFault::AnswerLost },
)]
fn a_fault_of_a_report_costs_no_window(fault: StepFault) {
    for step in [DutyStep::Read, DutyStep::Fix, DutyStep::Save, DutyStep::Check, DutyStep::Post] {
        let mut fleet = settled_fleet();
        let from = fleet.now;
        fleet.strike(step, fault);
        assert_none_missed(&mut fleet, from, seconds(40), &format!("{step:?}"));
    }
}

/// A copy of the store lacks the last claims, fixed counts or saved ones.
#[parameterized(
    holder_lives = { false, 1 },
    holder_lives_old_copy = { false, 6 },
    holder_dies = { true, 1 },
    holder_dies_old_copy = { true, 6 },
)]
fn a_restored_store_leads_to_no_second_report(dies: bool, age: u64) {
    for step in [DutyStep::Fix, DutyStep::Check, DutyStep::Post, DutyStep::Save] {
        let mut fleet = settled_fleet();
        fleet.strike(step, StepFault::FrozenAfter(Duration::from_millis(50)));
        while fleet.faults_struck == 0 {
            fleet.run(Duration::from_millis(10));
        }
        fleet.run(Duration::from_millis(30));
        fleet.restore_store(seconds(age));
        if dies {
            fleet.kill(0, seconds(2));
        }
        fleet.run(seconds(15));
        let from = fleet.now;
        assert_none_missed(&mut fleet, from, seconds(30), &format!("{step:?}"));
    }
}

/// Reports wait for the platform, and each is made within the time that is left.
#[parameterized(
    down = { PlatformMode::Down },
    refuses = { PlatformMode::Refuses },
    loses_answers = { PlatformMode::LosesAnswers },
)]
fn reports_outlast_a_short_failure_of_the_platform(mode: PlatformMode) {
    let mut fleet = settled_fleet();
    let from = fleet.now;
    fleet.platform = mode;
    fleet.run(seconds(7));
    fleet.platform = PlatformMode::Accepts;
    assert_none_missed(&mut fleet, from, seconds(30), "");
}

#[test]
fn a_long_failure_of_the_platform_costs_few_calls_and_only_its_own_windows() {
    let mut fleet = settled_fleet();
    fleet.platform = PlatformMode::Refuses;
    let calls = fleet.reports.len();
    fleet.run(seconds(60));
    let refused = fleet.reports.len() - calls;
    assert!((12..=60).contains(&refused), "{refused} calls in a minute");
    fleet.platform = PlatformMode::Accepts;
    // Windows that ended within the lateness before it are still in time.
    let from = fleet.now - seconds(8);
    assert_none_missed(&mut fleet, from, seconds(30), "");
}

#[test]
fn a_short_failure_of_the_store_costs_no_window() {
    let mut fleet = settled_fleet();
    let from = fleet.now;
    fleet.store_is_down = true;
    fleet.run(seconds(6));
    fleet.store_is_down = false;
    assert_none_missed(&mut fleet, from, seconds(30), "");
}

/// Another entry that reaches the store reports in its place.
#[test]
fn a_holder_that_is_cut_off_from_the_store_is_replaced() {
    let mut fleet = settled_fleet();
    fleet.cut_from_store.insert(0);
    fleet.run(seconds(20));
    assert_ne!(fleet.holder(), Some(0));
    let from = fleet.now;
    assert_none_missed(&mut fleet, from, seconds(30), "");
}

/// The first by name cannot claim when all start.
#[test]
fn an_entry_without_the_store_does_not_keep_others_from_claiming() {
    let mut fleet = UsageFleet::new(ENTRIES);
    fleet.cut_from_store.insert(0);
    fleet.run(SETTLED);
    let from = fleet.now;
    assert_none_missed(&mut fleet, from, seconds(30), "");
}

#[test]
fn lost_messages_cost_no_window() {
    let mut fleet = settled_fleet();
    fleet.loss = Some(3);
    let from = fleet.now;
    assert_none_missed(&mut fleet, from, seconds(60), "");
}

/// The others go on, and the one that was cut off from its peers reports nothing on its own.
#[parameterized(
    holder = { 0 },
    other = { 3 },
)]
fn an_entry_that_is_cut_off_from_its_peers_makes_no_second_report(entry: usize) {
    let mut fleet = settled_fleet();
    fleet.cut_from_peers.insert(entry);
    fleet.run(seconds(20));
    fleet.cut_from_peers.clear();
    fleet.run(seconds(12));
    let from = fleet.now;
    assert_none_missed(&mut fleet, from, seconds(30), "");
}

/// What was counted up to a second before is in the store.
#[test]
fn counts_outlast_a_power_loss_of_all_entries() {
    let mut fleet = settled_fleet();
    let from = fleet.now;
    fleet.traffic = false;
    fleet.run(Duration::from_millis(1300));
    fleet.kill_all(Duration::from_millis(500));
    fleet.run(Duration::from_millis(600));
    fleet.traffic = true;
    assert_none_missed(&mut fleet, from, seconds(30), "");
}

#[test]
fn windows_without_requests_are_reported_too() {
    let mut fleet = settled_fleet();
    fleet.traffic = false;
    fleet.run(seconds(30));
    let calls = fleet.reports.len();
    fleet.run(seconds(10));
    assert_eq!(fleet.reports.len(), calls + 2);
    fleet.check_one();
}
