//! A request that crashes targets reached them again, as a restored store had lost its block.

mod support;

use std::time::Duration;

use sapphirewell::direct::{BlockedSuspect, CrashSuspect, RequestIdentity};
use support::crashes::{CrashFleet, identity};
use yare::parameterized;

const CRASHING: RequestIdentity = identity(1, 0, 1);

/// Returns entries that block a request, whose store knows it.
fn blocking_fleet() -> CrashFleet {
    let mut fleet = CrashFleet::new(3, 6);
    for number in 0..30 {
        if fleet.crash(&[(number % 3, CRASHING)]).is_err() {
            break;
        }
    }
    assert!(fleet.crash(&[(0, CRASHING)]).is_err());
    fleet
}

#[parameterized(
    once = { 1 },
    twice = { 2 },
)]
fn lost_blocks_and_crashes_are_written_again(restores: usize) {
    let mut fleet = blocking_fleet();
    let (blocked, kept) = (fleet.stored_blocks(), fleet.kept());
    assert!(blocked > 0);
    for _ in 0..restores {
        fleet.restore_store(|_| false);
    }
    assert_eq!((fleet.stored_blocks(), fleet.kept()), (blocked, kept));
    fleet.restart_all();
    assert!(fleet.crash(&[(0, CRASHING)]).is_err(), "an entry that starts reads the block");
}

/// Crashes that do not block anything yet, whose writer has ended.
#[test]
fn crashes_are_written_again_by_entries_that_heard_of_them() {
    let mut fleet = CrashFleet::new(3, 6);
    for _ in 0..2 {
        fleet.crash(&[(0, CRASHING)]).unwrap();
    }
    let kept = fleet.kept();
    assert!(kept > 0);
    fleet.restart(0);
    fleet.restore_store(|_| false);
    assert_eq!(fleet.kept(), kept);
}

/// The store lost the removal of a block, which requests had shown to be a mistake.
#[test]
fn a_block_that_was_lifted_does_not_come_back() {
    let mut fleet = CrashFleet::new(3, 6);
    let suspect = CrashSuspect::Caller(7);
    let block = BlockedSuspect { suspect, crashes: 3, repeats: 0, age: Duration::ZERO };
    let request = RequestIdentity { path: 4, content: 5, resource: 6, caller: 7 };
    fleet.store_block(block.clone());
    fleet.restart_all();
    assert!(fleet.send(0, request).is_err());
    fleet.lift(suspect);
    assert_eq!(fleet.stored_blocks(), 0);
    fleet.store_block(block);
    // It reads the record before the others had their turn to remove it.
    fleet.restart(2);
    assert!(fleet.send(2, request).is_err());
    fleet.advance(Duration::from_millis(100));
    fleet.restore_store(|_| true);
    fleet.advance(Duration::from_millis(100));
    assert_eq!(fleet.stored_blocks(), 0);
    for entry in 0..3 {
        fleet.succeed(entry, request);
    }
}
