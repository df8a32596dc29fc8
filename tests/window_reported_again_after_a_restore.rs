//! Guards against a second report of a window, with other counts, after a restore of the store
//! that comes with the end of entries.

// Other tests use the rest of it.
#[allow(dead_code)]
#[path = "support/usage.rs"]
mod usage;

use std::time::Duration;

use usage::{DutyStep, PlatformMode, StepFault, UsageFleet, WINDOW};
use yare::parameterized;

const ENTRIES: usize = 5;
/// Entries that hold all counts and are told of each report: the holder and its two backups.
const TOLD: [usize; 3] = [0, 1, 2];
const ALL: [usize; 5] = [0, 1, 2, 3, 4];
/// Time after which entries that start have an acting holder, and have reported.
const SETTLED: Duration = Duration::from_secs(17);
/// Time after which all windows until now are due.
const LATENESS: Duration = Duration::from_secs(11);
/// Times of a window at which the fault strikes.
const OFFSETS: u32 = 10;

const fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

const fn seconds(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

/// Plays a fault at each of the offsets within a window, and checks the reports until all
/// windows are due again. Returns how many windows were missed in each play.
fn play(mut fault: impl FnMut(&mut UsageFleet)) -> Vec<usize> {
    let offsets = (0..OFFSETS).map(|number| WINDOW / OFFSETS * number);
    let missed = offsets.map(|offset| {
        let mut fleet = UsageFleet::new(ENTRIES);
        fleet.run(SETTLED + offset);
        let from = fleet.now - WINDOW * 2;
        fault(&mut fleet);
        fleet.run(seconds(20));
        let to = fleet.now;
        fleet.run(LATENESS);
        fleet.check_one();
        fleet.missed(from, to).len()
    });
    missed.collect()
}

/// The window in which all lose power is short; one that was over may have been reported. After
/// it, none is missed.
#[parameterized(
    all = { &ALL, 2 },
    all_old_copy = { &ALL, 6 },
    all_old_copy_of_claims = { &ALL, 9 },
    those_told = { &TOLD, 2 },
    those_told_old_copy = { &TOLD, 6 },
    holder = { &[0], 2 },
    holder_old_copy = { &[0], 6 },
)]
fn entries_end_and_the_store_comes_back_older(ends: &[usize], age: u64) {
    for (down, away) in
        [(millis(300), Duration::ZERO), (millis(300), millis(280)), (seconds(2), seconds(1))]
    {
        let missed = play(|fleet| {
            ends.iter().for_each(|entry| fleet.kill(*entry, down));
            fleet.store_is_down = true;
            fleet.run(away);
            fleet.restore_store(seconds(age));
            fleet.store_is_down = false;
        });
        println!("down {down:?}, away {away:?}: missed {missed:?}");
        assert!(missed.iter().all(|missed| *missed <= 2), "{missed:?}");
    }
}

/// Entries that live over the restore, but started after the report.
#[parameterized(
    before_a_read = { millis(50) },
    before_a_claim = { seconds(2) },
    after_a_claim = { seconds(4) },
    before_a_report = { seconds(7) },
    after_a_report = { seconds(10) },
)]
fn entries_start_again_before_the_store_comes_back_older(gap: Duration) {
    for ends in [&ALL[..], &TOLD, &[0]] {
        for age in [2, 12] {
            play(|fleet| {
                ends.iter().for_each(|entry| fleet.kill(*entry, millis(300)));
                fleet.run(millis(300) + gap);
                fleet.restore_store(seconds(age));
            });
        }
    }
}

/// Each entry ends once, and the restore comes in between.
#[test]
fn the_store_comes_back_older_during_restarts_in_turn() {
    for restored in ALL {
        play(|fleet| {
            for entry in ALL {
                fleet.kill(entry, millis(300));
                fleet.run(seconds(1));
                if entry == restored {
                    fleet.restore_store(seconds(4));
                }
            }
        });
    }
}

/// What the first generation's holder wrote is gone as well.
#[parameterized(
    before_a_claim = { seconds(1) },
    after_a_claim = { seconds(4) },
    before_a_report = { seconds(8) },
    after_a_report = { seconds(11) },
)]
fn the_store_comes_back_older_twice(gap: Duration) {
    for ends in [(&ALL[..], &ALL[..]), (&[], &ALL), (&ALL, &[]), (&TOLD, &TOLD), (&[0], &TOLD)] {
        for age in [2, 12] {
            play(|fleet| {
                ends.0.iter().for_each(|entry| fleet.kill(*entry, millis(300)));
                fleet.restore_store(seconds(age));
                fleet.run(gap);
                ends.1.iter().for_each(|entry| fleet.kill(*entry, millis(300)));
                fleet.restore_store(seconds(age));
            });
        }
    }
}

/// A fault strikes the next holder as it writes from which window on it reports.
#[parameterized(
    killed_before = { StepFault::KilledBefore },
    killed_after = { StepFault::KilledAfter },
    frozen_before = { StepFault::FrozenBefore(seconds(12)) },
    frozen_after = { StepFault::FrozenAfter(seconds(12)) },
    answer_lost = { StepFault::AnswerLost },
    carried_out_late = { StepFault::CarriedOutLate(seconds(7)) },
)]
fn a_fault_strikes_the_first_write_after_the_restore(fault: StepFault) {
    for ends in [&ALL[..], &[0]] {
        play(|fleet| {
            ends.iter().for_each(|entry| fleet.kill(*entry, millis(300)));
            fleet.restore_store(seconds(3));
            fleet.strike(DutyStep::WriteStart, fault);
        });
    }
}

/// A write from before the restore takes effect after a report, as its offset is given out again.
/// It replaces the counts that were fixed, and power is lost.
#[parameterized(
    at_once = { Duration::ZERO },
    before_the_next_report = { seconds(2) },
    after_the_next_report = { seconds(6) },
)]
fn a_late_write_replaces_the_counts_of_a_later_generation(gap: Duration) {
    play(|fleet| {
        fleet.restore_store(seconds(2));
        let reports = fleet.reports.len();
        // The third is made right after its window, so that not all of it is saved.
        while fleet.reports.len() < reports + 3 {
            fleet.run(millis(10));
        }
        fleet.land_late_counts();
        fleet.run(gap);
        fleet.kill_all(millis(300));
        let reported = fleet.reports.iter().map(|report| report.usage.window).max();
        let reports = fleet.reports.len();
        fleet.run(seconds(20));
        let later = fleet.reports[reports..].iter().map(|report| report.usage.window);
        // Counts that were fixed again since are repeated exactly.
        let is_repeated = gap >= WINDOW;
        assert!(is_repeated || later.min() > reported, "a window counted anew, after {reported:?}");
    });
}

/// The platform has taken the report, and the holder does not know it.
#[parameterized(
    holder_lives = { &[] },
    holder_ends = { &[0] },
    those_told_end = { &TOLD },
    all_end = { &ALL },
)]
fn the_answer_of_a_report_is_lost_before_the_restore(ends: &[usize]) {
    for age in [1, 6] {
        play(|fleet| {
            fleet.platform = PlatformMode::LosesAnswers;
            fleet.run(seconds(6));
            ends.iter().for_each(|entry| fleet.kill(*entry, millis(300)));
            fleet.restore_store(seconds(age));
            fleet.platform = PlatformMode::Accepts;
        });
    }
}

/// The holder before did not notice that another one took over and reported.
#[test]
fn a_holder_that_was_cut_off_vouches_for_no_window() {
    for cut in [3, 6, 9, 12] {
        play(|fleet| {
            fleet.cut_from_peers.insert(0);
            fleet.cut_from_store.insert(0);
            fleet.run(seconds(cut));
            (1..ENTRIES).for_each(|entry| fleet.kill(entry, millis(300)));
            fleet.restore_store(seconds(6));
            fleet.cut_from_peers.clear();
            fleet.cut_from_store.clear();
        });
    }
}

/// No window is in doubt, so none is given up.
#[parameterized(
    young_copy = { 1, Duration::ZERO },
    old_copy = { 6, Duration::ZERO },
    copy_before_all_claims = { 16, Duration::ZERO },
    away = { 3, seconds(2) },
)]
fn a_restore_alone_costs_no_window(age: u64, away: Duration) {
    let missed = play(|fleet| {
        fleet.store_is_down = true;
        fleet.run(away);
        fleet.restore_store(seconds(age));
        fleet.store_is_down = false;
    });
    assert_eq!(missed, [0; OFFSETS as usize]);
}

#[test]
fn two_restores_alone_cost_no_window() {
    for gap in [millis(200), seconds(2), seconds(4), seconds(7)] {
        let missed = play(|fleet| {
            fleet.restore_store(seconds(2));
            fleet.run(gap);
            fleet.restore_store(seconds(3));
        });
        println!("{gap:?}: missed {missed:?}");
        assert_eq!(missed, [0; OFFSETS as usize], "{gap:?}");
    }
}

#[test]
fn a_power_loss_alone_costs_only_the_window_in_which_it_happens() {
    let missed = play(|fleet| fleet.kill_all(millis(300)));
    assert!(missed.iter().all(|missed| *missed <= 1), "{missed:?}");
}

#[test]
fn restarts_in_turn_cost_no_window() {
    let missed = play(|fleet| {
        for entry in ALL {
            fleet.kill(entry, millis(300));
            fleet.run(seconds(9));
        }
    });
    assert_eq!(missed, [0; OFFSETS as usize]);
}
