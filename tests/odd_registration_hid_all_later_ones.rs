//! A registration with numbers that were no target's made all later ones of the target look older.

mod support;

use std::time::Duration;

use sapphirewell::direct::{
    ClaimOutcome, DirectAction, DirectEvent, DirectTarget, RetryPolicy, TargetChange, TargetStage,
};
use support::direct::{DirectRig, SERVICE};
use yare::parameterized;

const HEARTBEAT: Duration = Duration::from_millis(1200);

/// Registration by start, sequence number and whether the target leaves.
#[derive(Debug, Clone, Copy)]
struct Written(u64, u64, bool);

struct OrderCase {
    /// What was read before the registrations that count.
    odd: Written,
    renewals: &'static [Written],
    /// Whether the target takes work afterwards.
    takes_work: bool,
}

const MAX: u64 = u64::MAX;

#[parameterized(
    start_of_no_target = { OrderCase { odd: Written(MAX, 1, false), renewals: &[Written(10, 6, false), Written(10, 7, true)], takes_work: false } },
    sequence_of_no_target = { OrderCase { odd: Written(10, MAX, false), renewals: &[Written(10, 6, true), Written(10, 7, true)], takes_work: false } },
    leaves_by_no_target = { OrderCase { odd: Written(MAX, MAX, true), renewals: &[Written(10, 6, false), Written(10, 7, false)], takes_work: true } },
    leaves_by_no_target_of_this_start = { OrderCase { odd: Written(10, MAX, true), renewals: &[Written(10, 6, false), Written(10, 7, false), Written(10, 8, false), Written(10, 9, false)], takes_work: true } },
    late_between_announcements = { OrderCase { odd: Written(10, 9, true), renewals: &[Written(10, 5, false), Written(10, 6, false), Written(10, 10, true), Written(10, 7, false), Written(10, 8, false)], takes_work: false } },
    clock_of_the_next_start_was_set_back = { OrderCase { odd: Written(20, 9, true), renewals: &[Written(15, 1, false), Written(15, 2, false)], takes_work: true } },
    written_late_once = { OrderCase { odd: Written(10, 9, false), renewals: &[Written(10, 6, true), Written(10, 10, false)], takes_work: true } },
    written_late_after_leaving = { OrderCase { odd: Written(10, 9, true), renewals: &[Written(10, 6, false), Written(10, 7, false)], takes_work: false } },
    late_from_two_starts = { OrderCase { odd: Written(20, 1, false), renewals: &[Written(10, 6, true), Written(15, 7, true)], takes_work: true } },
)]
fn a_renewed_registration_counts(case: OrderCase) {
    let mut rig = DirectRig::new(RetryPolicy::Never);
    let target = rig.target("a", TargetStage::Plain);
    let first = Written(10, 5, false);
    for Written(born_ms, sequence, leaving) in
        [first, case.odd].into_iter().chain(case.renewals.iter().copied())
    {
        let target = DirectTarget { born_ms, sequence, leaving, ..target.clone() };
        rig.step(DirectEvent::Target(TargetChange::Listed(target)));
        rig.advance(HEARTBEAT);
    }
    assert_eq!(rig.machine.fleet().serves(SERVICE), case.takes_work);
}

/// Sums of the engines' slots went over the largest number.
#[test]
fn slots_of_no_target_do_not_end_the_process() {
    let mut rig = DirectRig::new(RetryPolicy::Never);
    for (name, stage) in
        [("a", TargetStage::Decode), ("b", TargetStage::Decode), ("c", TargetStage::Prefill)]
    {
        let target = rig.target(name, stage);
        let target = DirectTarget { slots: u32::MAX, ..target };
        rig.step(DirectEvent::Target(TargetChange::Listed(target)));
    }
    // Long enough to hold the authority over engines, which sums their slots.
    for flow in 1..400 {
        rig.submit_tokens(flow, 900, Duration::from_secs(5), None);
        rig.advance(Duration::from_millis(40));
        if rig.step(DirectEvent::Tick).contains(&DirectAction::Claim) {
            rig.step(DirectEvent::ClaimEnded(ClaimOutcome::Taken(1)));
        }
    }
}
