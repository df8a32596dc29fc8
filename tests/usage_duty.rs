//! Customers' usage is reported once for each window, by one entry at a time, whatever fails.

#[path = "support/usage.rs"]
mod usage;

use std::time::Duration;

use sapphirewell::direct::{WindowUsage, report_interval};
use usage::{DutyStep, LEASE, PlatformMode, Report, StepFault, UsageFleet};
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

/// A store that is never restored may state no generation.
#[test]
fn every_window_is_reported_with_a_store_without_generations() {
    let mut fleet = UsageFleet::new(ENTRIES);
    fleet.omit_generation();
    let from = fleet.now;
    assert_none_missed(&mut fleet, from, seconds(30), "");
    fleet.kill(0, seconds(1));
    let from = fleet.now;
    assert_none_missed(&mut fleet, from, seconds(30), "");
    let calls = fleet.store_calls;
    fleet.run(seconds(20));
    assert!(fleet.store_calls - calls < 40, "{} calls in 20 s", fleet.store_calls - calls);
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

/// Counts come to an entry before it knows that there are customers.
#[test]
fn counts_that_come_before_the_configuration_are_kept() {
    let mut fleet = UsageFleet::new(ENTRIES);
    fleet.configuration_delay = Duration::from_millis(900);
    fleet.run(SETTLED);
    let from = fleet.now;
    for offset in [300, 2400, 700] {
        fleet.run(seconds(20) + Duration::from_millis(offset));
        fleet.kill(0, seconds(1));
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
    let before = fleet.reports.len();
    fleet.run(seconds(9));
    let by_it = fleet.reports[before..].iter().filter(|report| report.entry == entry).count();
    assert_eq!(by_it, 0, "it does not know the others' counts");
    fleet.run(seconds(11));
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

/// The clock of one entry is set, for a moment or for good. The others agree on the time.
#[parameterized(
    holder_forwards = { 0, 3600 },
    holder_backwards = { 0, -3600 },
    other_forwards = { 3, 3600 },
    other_backwards = { 3, -3600 },
)]
fn a_wrong_clock_leads_to_no_wrong_report(entry: usize, step: i64) {
    let mut fleet = settled_fleet();
    let from = fleet.now;
    fleet.clock_steps.insert(entry, step);
    fleet.run(seconds(8));
    fleet.clock_steps.clear();
    assert_none_missed(&mut fleet, from, seconds(10), "for a moment");
    fleet.clock_steps.insert(entry, step);
    fleet.run(seconds(40));
    fleet.check_one();
    let windows = fleet.reports.iter().map(|report| report.usage.window);
    let (first, last) = (windows.clone().min().unwrap(), windows.max().unwrap());
    assert!(last - first < 60, "only windows of the true time: {first} to {last}");
    assert_ne!(fleet.holder(), Some(entry));
}

/// Report to the stand-in of the platform: time in milliseconds, entry, token, window, requests.
type Call = (u64, usize, u64, u64, u64);

#[parameterized(
    two_counts = { &[(0, 0, 1, 7, 5), (5_000, 0, 1, 7, 6)] },
    one_token_of_two = { &[(0, 0, 1, 7, 5), (5_000, 1, 1, 8, 5)] },
    lower_token = { &[(0, 0, 2, 7, 5), (5_000, 1, 1, 8, 5)] },
    turns = { &[(0, 0, 1, 7, 5), (1_000, 1, 2, 8, 5), (2_000, 0, 3, 9, 5)] },
)]
#[should_panic]
fn the_stand_in_notices_two_holders(calls: &[Call]) {
    judge(calls);
}

#[parameterized(
    repeat = { &[(0, 0, 1, 7, 5), (500, 0, 1, 7, 5), (900, 1, 2, 7, 5)] },
    back_after_the_lease = { &[(0, 0, 1, 7, 5), (1_000, 1, 2, 8, 5), (4_100, 0, 3, 9, 5)] },
)]
fn the_stand_in_allows_what_one_holder_does(calls: &[Call]) {
    judge(calls);
}

fn judge(calls: &[Call]) {
    assert!(LEASE < seconds(4));
    let mut fleet = UsageFleet::new(0);
    fleet.reports = calls
        .iter()
        .map(|(at, entry, fence, window, requests)| Report {
            at: Duration::from_millis(*at),
            entry: *entry,
            fence: *fence,
            usage: WindowUsage { window: *window, counts: [("customer".into(), *requests)].into() },
        })
        .collect();
    fleet.check_one();
}

/// What the duty costs grows with the entries' own counts, and not with their number in the store.
#[parameterized(
    few = { 5 },
    of_a_deployment = { 27 },
    many = { 130 },
)]
fn store_calls_do_not_grow_with_the_entries(entries: usize) {
    let mut fleet = UsageFleet::new(entries);
    fleet.report_interval = report_interval(entries);
    fleet.run(seconds(20));
    let (calls, saved, messages) = (fleet.store_calls, fleet.saved_bytes, fleet.message_bytes);
    fleet.run(seconds(20));
    let per_second = |after: u64, before: u64| (after - before) as f64 / 20.0;
    let calls = per_second(fleet.store_calls, calls);
    let saved = per_second(fleet.saved_bytes, saved);
    let messages = per_second(fleet.message_bytes, messages) / entries as f64;
    println!(
        "{entries} entries: {calls:.2} store calls/s, {saved:.0} B/s saved, \
         {messages:.0} B/s of messages an entry"
    );
    assert!(calls < 2.0, "{calls} calls a second");
    // Process starts in the saved record take 9 bytes each.
    assert!(saved < 300.0 + 20.0 * entries as f64, "{saved} bytes a second");
    // Two of the customers, three receivers and five messages a second.
    assert!(messages < 3_500.0, "{messages} bytes a second");
}

/// A write without an answer takes effect seconds later: counts of a holder that has ended, after
/// those that the next one fixed, or a claim.
#[parameterized(
    counts = { DutyStep::Fix },
    claim = { DutyStep::Claim },
)]
fn a_late_write_leads_to_no_second_report(step: DutyStep) {
    for delay in 1..40 {
        let mut fleet = settled_fleet();
        if step == DutyStep::Claim {
            fleet.kill(0, seconds(60));
        }
        let delay = Duration::from_millis(500) * delay;
        fleet.strike(step, StepFault::CarriedOutLate(delay));
        while fleet.faults_struck == 0 {
            fleet.run(Duration::from_millis(10));
        }
        // What is reported in its place is not what it would have reported.
        fleet.kill(0, seconds(60));
        while fleet.late_steps == 0 {
            fleet.run(Duration::from_millis(10));
        }
        if let Some(holder) = fleet.holder() {
            fleet.kill(holder, seconds(60));
        }
        fleet.run(seconds(25));
        let from = fleet.now;
        assert_none_missed(&mut fleet, from, seconds(20), &format!("{delay:?}"));
    }
}

/// Their counts come through the store, and are removed there afterwards.
#[parameterized(
    holder = { &[0] },
    first_backup = { &[1] },
    plain_entry = { &[3] },
    two_entries = { &[3, 4] },
)]
fn counts_of_entries_cut_off_from_their_peers_arrive(entries: &[usize]) {
    for offset in (0..5).map(|number| Duration::from_millis(950) * number) {
        let mut fleet = settled_fleet();
        let from = fleet.now;
        fleet.run(offset);
        fleet.cut_from_peers.extend(entries);
        fleet.run(seconds(8));
        fleet.cut_from_peers.clear();
        let left = fleet.messages_left;
        assert!(left <= 11 * entries.len() as u64, "{left} messages");
        assert_none_missed(&mut fleet, from, seconds(20), &format!("{offset:?}"));
        assert_eq!(fleet.stored_messages(), 0);
        assert_eq!(fleet.messages_left, left);
    }
}

/// The cut lasts longer than a peer counts among those that an entry is cut off from.
#[test]
fn counts_of_a_long_cut_arrive() {
    for offset in (0..5).map(|number| Duration::from_millis(950) * number) {
        let mut fleet = settled_fleet();
        let from = fleet.now;
        fleet.run(offset);
        fleet.cut_from_peers.insert(3);
        fleet.run(Duration::from_millis(13_500));
        assert_eq!(fleet.holder(), Some(0), "the entry that is cut off has not claimed");
        fleet.cut_from_peers.clear();
        assert_none_missed(&mut fleet, from, seconds(20), &format!("{offset:?}"));
        assert_eq!(fleet.stored_messages(), 0);
    }
}

/// A claim confirms no counts: the holder before it may report them too.
#[test]
fn an_entry_that_claims_while_cut_off_keeps_its_counts_in_the_store() {
    let mut fleet = settled_fleet();
    fleet.cut_from_peers.insert(3);
    while fleet.holder() != Some(3) {
        fleet.run(Duration::from_millis(10));
        assert!(fleet.now < seconds(140), "it claims");
    }
    fleet.run(seconds(1));
    assert_eq!(fleet.stored_messages(), 1);
    fleet.cut_from_peers.clear();
    fleet.run(seconds(20));
    assert_eq!(fleet.stored_messages(), 0);
}

/// Entries whose counts are confirmed write none.
#[test]
fn no_counts_are_left_in_the_store_without_a_cut() {
    let mut fleet = settled_fleet();
    fleet.loss = Some(3);
    fleet.run(seconds(30));
    fleet.kill(0, seconds(10));
    fleet.run(seconds(30));
    assert_eq!(fleet.messages_left, 0);
}

/// The holder and both backups die together. What they counted until a second before is in the
/// store, and what the others counted later does not stand for it.
#[parameterized(
    of_a_deployment = { 27 },
    more = { 40 },
)]
fn the_end_of_all_that_hold_the_counts_costs_no_window(entries: usize) {
    let mut largest: f64 = 0.0;
    for offset in (0..7).map(|number| Duration::from_millis(750) * number) {
        let mut fleet = UsageFleet::new(entries);
        fleet.run(SETTLED);
        let from = fleet.now;
        fleet.run(offset);
        (0..3).for_each(|entry| fleet.kill(entry, seconds(30)));
        assert_none_missed(&mut fleet, from, seconds(20), &format!("{offset:?}"));
        largest = largest.max(fleet.largest_error(from, from + seconds(20)));
    }
    println!("{entries} entries: largest error {:.2} in 100", largest * 100.0);
}
