//! Entries that all lost power between the crashes of a request counted from the beginning.

mod support;

use std::time::Duration;

use sapphirewell::direct::{FailureReason, RequestIdentity};
use support::crashes::{CrashFleet, RUN_TIME, identity};
use yare::parameterized;

/// Crash from which the users count, and the largest number of repeats after it.
const COUNTED_CRASH: usize = 3;
const MAX_REACHED: usize = 3;

/// From whom the sendings of the crashing request come.
#[derive(Debug, Clone, Copy)]
enum Sender {
    OneCaller,
    /// Another caller after each power loss.
    CallerInTurn,
    /// Another caller each time.
    EachCaller,
    /// One caller, with another query each time.
    EachQuery,
}

struct PowerLossCase {
    sender: Sender,
    /// Number of crashes between two power losses.
    crashes: usize,
    /// Whether requests of the path were served before the first crash.
    was_fine: bool,
}

impl PowerLossCase {
    fn request(&self, number: usize) -> RequestIdentity {
        let number = number as u64;
        match self.sender {
            Sender::OneCaller => identity(1, 0, 1),
            Sender::CallerInTurn => identity(1, 0, 1 + number / self.crashes as u64),
            Sender::EachCaller => identity(1, 0, 1 + number),
            Sender::EachQuery => identity(1, 1 + number, 1),
        }
    }
}

#[parameterized(
    two_crashes_each = { PowerLossCase { sender: Sender::OneCaller, crashes: 2, was_fine: false } },
    two_crashes_each_was_fine = { PowerLossCase { sender: Sender::OneCaller, crashes: 2, was_fine: true } },
    callers_in_turn_two_crashes = { PowerLossCase { sender: Sender::CallerInTurn, crashes: 2, was_fine: false } },
    callers_in_turn_three_crashes = { PowerLossCase { sender: Sender::CallerInTurn, crashes: 3, was_fine: false } },
    callers_in_turn_three_crashes_was_fine = { PowerLossCase { sender: Sender::CallerInTurn, crashes: 3, was_fine: true } },
    each_caller = { PowerLossCase { sender: Sender::EachCaller, crashes: 2, was_fine: false } },
    each_query = { PowerLossCase { sender: Sender::EachQuery, crashes: 2, was_fine: false } },
)]
fn a_request_is_blocked_although_all_entries_lose_power(case: PowerLossCase) {
    let mut fleet = CrashFleet::new(3, 6);
    if case.was_fine {
        fleet.succeed(0, case.request(0));
    }
    let sent = (0..30_usize).take_while(|number| {
        if *number > 0 && number % case.crashes == 0 {
            fleet.restart_all();
        }
        fleet.crash(&[(number % 3, case.request(*number))]).is_ok()
    });
    let sent = sent.count();
    assert!(sent <= COUNTED_CRASH + MAX_REACHED, "{sent} sent");
    for entry in 0..3 {
        assert!(fleet.crash(&[(entry, case.request(29))]).is_err());
        fleet.succeed(entry, identity(2, 0, 1));
    }
}

/// Targets that end at one moment have popular requests in common, which end whole afterwards.
#[test]
fn a_sound_request_is_sent_after_a_power_loss() {
    let mut fleet = CrashFleet::new(3, 6);
    let sound = identity(1, 0, 1);
    fleet.crash(&[(0, sound), (1, sound)]).unwrap();
    assert_eq!(fleet.kept(), 1);
    fleet.succeed(2, sound);
    assert_eq!(fleet.kept(), 0);
    fleet.restart_all();
    fleet.crash(&[(0, sound)]).unwrap();
    fleet.succeed(1, sound);
}

#[test]
fn crashes_without_a_request_in_common_are_not_kept() {
    let mut fleet = CrashFleet::new(3, 6);
    for number in 1..=5 {
        fleet.crash(&[(0, identity(number, 0, number))]).unwrap();
    }
    assert_eq!(fleet.kept(), 0);
}

/// What is kept counts for as long as crashes count.
#[test]
fn kept_crashes_expire() {
    let mut fleet = CrashFleet::new(1, 6);
    let request = identity(1, 0, 1);
    for _ in 0..2 {
        fleet.crash(&[(0, request)]).unwrap();
    }
    fleet.restart_all();
    assert_eq!(fleet.kept(), 1);
    fleet.advance(Duration::from_secs(610));
    fleet.advance(RUN_TIME);
    assert_eq!(fleet.kept(), 0);
    for _ in 0..2 {
        assert_eq!(fleet.crash(&[(0, request)]), Ok::<(), FailureReason>(()));
    }
}
