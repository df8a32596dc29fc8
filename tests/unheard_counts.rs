//! Entries that nobody hears leave their counts in the store within what it takes.

use std::time::Duration;

use sapphirewell::direct::{CountState, UnheardCounts, UnheardStep};
use yare::parameterized;

const WINDOW_MILLIS: u64 = 5_000;
const TICK_MILLIS: u64 = 40;
const MAX_WRITES_PER_SECOND: usize = 200;

fn state(millis: u64) -> CountState {
    CountState {
        sequence: millis,
        is_confirmed: false,
        is_reporting: false,
        window: 10 + millis / WINDOW_MILLIS,
        reported: None,
        entries: 1,
        turn: 0.0,
    }
}

/// All entries are cut off from each other at once, and the ends of windows are the same for all.
#[parameterized(
    of_a_deployment = { 27 },
    many = { 300 },
    most = { 1300 },
)]
fn a_wide_cut_stays_within_the_writes_that_the_store_takes(entries: usize) {
    let mut counts = vec![UnheardCounts::default(); entries];
    let mut writes = Vec::new();
    for millis in (0..60_000).step_by(TICK_MILLIS as usize) {
        for (place, counts) in counts.iter_mut().enumerate() {
            let turn = place as f64 / entries as f64;
            let state = CountState { entries, turn, ..state(millis) };
            if counts.next_step(Duration::from_millis(millis), state) == Some(UnheardStep::Leave) {
                writes.push(millis);
            }
        }
    }
    let within = |from: &u64| writes.iter().filter(|at| (*from..from + 1000).contains(*at)).count();
    let most = writes.iter().map(within).max().unwrap();
    // Turns are rounded up to ticks.
    assert!(most <= MAX_WRITES_PER_SECOND * 11 / 10, "{most} writes in a second");
    assert!(writes.len() >= 10 * entries.min(900), "{} writes", writes.len());
}

/// An entry that claims while it is cut off reports too, as may another that has not read its
/// counts.
#[test]
fn counts_stay_in_the_store_until_they_are_confirmed_or_reported() {
    let mut counts = UnheardCounts::default();
    let mut step = |millis, state| counts.next_step(Duration::from_millis(millis), state);
    assert_eq!(step(0, state(1)), None);
    assert_eq!(step(1000, state(1)), Some(UnheardStep::Leave));
    let reporting = CountState { is_reporting: true, ..state(1) };
    assert_eq!(step(1500, reporting), None);
    assert_eq!(step(1600, CountState { reported: Some(9), ..reporting }), None);
    assert_eq!(
        step(1700, CountState { reported: Some(10), ..reporting }),
        Some(UnheardStep::Remove)
    );
    assert_eq!(step(1800, reporting), None);
    assert_eq!(step(2900, CountState { sequence: 2, ..state(1) }), Some(UnheardStep::Leave));
    assert_eq!(
        step(3000, CountState { is_confirmed: true, ..state(1) }),
        Some(UnheardStep::Remove)
    );
}
