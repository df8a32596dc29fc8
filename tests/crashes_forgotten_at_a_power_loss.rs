//! Entries that all lost power between the crashes of a request counted from the beginning.

mod support;

use std::time::Duration;

use sapphirewell::direct::{BlockedSuspect, CrashSuspect, FailureReason, RequestIdentity};
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

/// What looks like the crashing request, as far as paths, queries and callers go.
#[parameterized(
    other_query = { identity(1, 7, 1) },
    other_query_and_caller = { identity(1, 7, 9) },
    other_caller = { identity(1, 0, 9) },
    other_path_of_the_caller = { identity(2, 0, 1) },
)]
fn a_sound_look_alike_is_sent_after_each_power_loss(sound: RequestIdentity) {
    let crashing = identity(1, 0, 1);
    let mut fleet = CrashFleet::new(3, 6);
    fleet.succeed(0, sound);
    for round in 0..4 {
        for entry in 0..2 {
            // It is blocked from the third crash on, which is not judged here.
            fleet.crash(&[(entry, crashing)]).ok();
            fleet.succeed(entry, sound);
        }
        fleet.restart_all();
        fleet.succeed(round % 3, sound);
    }
    assert_eq!(fleet.crash(&[(0, crashing)]), Err(FailureReason::CrashesTargets));
}

/// Reports are repeated for longer than that.
#[test]
fn an_entry_that_was_cut_off_for_two_seconds_knows_the_crashes() {
    let crashing = identity(1, 0, 1);
    let mut fleet = CrashFleet::new(3, 6);
    fleet.cut_off = Some(2);
    for entry in 0..2 {
        fleet.crash(&[(entry, crashing)]).unwrap();
    }
    fleet.cut_off = None;
    fleet.advance(RUN_TIME);
    fleet.crash(&[(2, crashing)]).unwrap();
    assert_eq!(fleet.crash(&[(2, crashing)]), Err(FailureReason::CrashesTargets));
}

/// A record of another writer may hold any numbers; the next block adds to them.
#[test]
fn numbers_at_their_limit_in_a_stored_block_do_not_end_the_process() {
    let request = identity(1, 0, 1);
    let suspect = CrashSuspect::Caller(request.caller);
    let mut fleet = CrashFleet::new(1, 6);
    let age = Duration::ZERO;
    fleet.store_block(BlockedSuspect { suspect, crashes: u32::MAX, repeats: 0, age });
    fleet.restart_all();
    assert_eq!(fleet.crash(&[(0, request)]), Err(FailureReason::CrashesTargets));
    fleet.advance(Duration::from_secs(610));
    fleet.crash(&[(0, request)]).unwrap();
    assert_eq!(fleet.crash(&[(0, request)]), Err(FailureReason::CrashesTargets));
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
