//! What a process knows of the reports that were made before a restore of the store.

use std::time::Duration;

use sapphirewell::direct::{ReportHistory, StoreGeneration, UsageMoment};
use yare::parameterized;

/// Time from a claim until its holder may make calls.
const TAKEOVER: Duration = Duration::from_secs(5);
const GENERATION: StoreGeneration = 7;

/// Times in milliseconds, of the process's clock and of the day.
const fn moment(process: u64, day: u64) -> UsageMoment {
    (Duration::from_millis(process), Duration::from_millis(1_700_000_000_000 + day))
}

const fn both(millis: u64) -> UsageMoment {
    moment(millis, millis)
}

/// Event of a process's life.
#[derive(Debug, Clone, Copy)]
enum Step {
    /// The store states its generation.
    Seen(UsageMoment, StoreGeneration),
    /// The process is the holder and has read or written the first window of a generation.
    Known(StoreGeneration),
    /// A check of the claim, which was sent at a time, has succeeded.
    Checked(UsageMoment),
}

use Step::{Checked, Known, Seen};

/// Which processes vouch for the windows that were over at the last restore.
#[parameterized(
    first_start = { &[Seen(both(0), 7)], false },
    started_after_the_restore = { &[Seen(both(0), 7), Checked(both(10))], false },
    alive_but_never_the_holder = { &[Seen(both(0), 6), Seen(both(20_000), 7)], false },
    claimed_but_read_nothing = { &[Seen(both(0), 6), Checked(both(9_000)), Seen(both(9_500), 7)], false },
    holder = { &[Seen(both(0), 6), Known(6), Checked(both(9_000)), Seen(both(13_999), 7)], true },
    holder_of_long_ago = { &[Seen(both(0), 6), Known(6), Checked(both(9_000)), Seen(both(14_000), 7)], false },
    holder_that_was_suspended = {
        &[Seen(both(0), 6), Known(6), Checked(both(9_000)), Seen(moment(9_100, 60_000), 7)], false
    },
    holder_whose_clock_was_set_back = {
        &[Seen(both(0), 6), Known(6), Checked(both(9_000)), Seen(moment(20_000, 9_500), 7)], false
    },
    holder_over_two_restores = {
        &[Seen(both(0), 5), Known(5), Checked(both(9_000)), Seen(both(9_500), 6), Seen(both(11_000), 7)],
        true
    },
    holder_that_has_not_acted_between_two_restores = {
        &[Seen(both(0), 5), Known(5), Checked(both(9_000)), Seen(both(9_500), 6), Seen(both(15_000), 7)],
        false
    },
    holder_again_between_two_restores = {
        &[
            Seen(both(0), 5), Known(5), Checked(both(9_000)), Seen(both(9_500), 6), Known(6),
            Checked(both(12_000)), Seen(both(15_000), 7),
        ],
        true
    },
    successor_that_has_read = { &[Seen(both(0), 7), Known(7), Checked(both(3_000))], true },
    stated_again = { &[Seen(both(0), 7), Known(7), Checked(both(3_000)), Seen(both(60_000), 7)], true },
    late_response_of_an_earlier_generation = {
        &[Seen(both(0), 7), Known(7), Checked(both(3_000)), Seen(both(60_000), 6)], true
    },
)]
fn a_process_vouches_for_all_windows_or_none(steps: &[Step], vouches: bool) {
    let mut history = ReportHistory::default();
    for step in steps {
        match *step {
            Seen(now, generation) => {
                history.generation_seen(now, generation, TAKEOVER);
            }
            Known(generation) => history.known_up_to(generation),
            Checked(asked) => history.claim_checked(asked),
        }
    }
    assert_eq!(history.knows(GENERATION), vouches);
}

/// Windows that were over then may have been reported in the generation before.
#[parameterized(
    first_sight = { &[(0, 6), (9_500, 7)], 500 },
    stated_again = { &[(0, 6), (9_500, 7), (9_800, 7)], 500 },
    restored_again = { &[(0, 5), (3_000, 6), (9_900, 7)], 100 },
    none = { &[], 0 },
)]
fn a_generation_counts_from_its_first_sight(seen: &[(u64, StoreGeneration)], millis: u64) {
    let mut history = ReportHistory::default();
    for (at, generation) in seen {
        history.generation_seen(both(*at), *generation, TAKEOVER);
    }
    assert_eq!(history.seen_for(Duration::from_secs(10)), Duration::from_millis(millis));
}
