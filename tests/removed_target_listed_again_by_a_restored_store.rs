//! A target that had left got requests again, as a restored store had lost its removal.

mod support;

use std::time::Duration;

use sapphirewell::direct::{DirectEvent, DirectTarget, RetryPolicy, TargetChange, TargetStage};
use support::direct::{DirectRig, SERVICE};
use yare::parameterized;

/// Registration by start and sequence number.
#[derive(Debug, Clone, Copy)]
struct Written(u64, u64);

/// What a store says after the target (start 10, sequence 5) was removed.
#[derive(Debug, Clone, Copy)]
enum Said {
    Restored,
    Snapshot(&'static [Written]),
    Listed(Written),
    Removed,
}

use Said::{Listed, Removed, Restored, Snapshot};

#[parameterized(
    as_it_was = { &[Restored, Snapshot(&[Written(10, 5)])], false },
    older = { &[Restored, Snapshot(&[Written(10, 3)])], false },
    written_again_and_removed_again = { &[Restored, Snapshot(&[]), Listed(Written(10, 4)), Listed(Written(10, 5)), Removed], false },
    by_two_restores = { &[Restored, Snapshot(&[Written(10, 3)]), Restored, Snapshot(&[Written(10, 2)])], false },
    renewed = { &[Restored, Snapshot(&[Written(10, 5)]), Listed(Written(10, 6))], true },
    started_again = { &[Restored, Snapshot(&[Written(11, 1)])], true },
    renewed_without_a_restore = { &[Listed(Written(10, 5))], true },
)]
fn a_removed_target_gets_nothing_until_it_registers(said: &[Said], is_used: bool) {
    let mut rig = DirectRig::new(RetryPolicy::Never);
    let target = rig.target("a", TargetStage::Plain);
    let listed = |Written(born_ms, sequence): Written| {
        let target = target.clone();
        DirectTarget { born_ms, sequence, ..target }
    };
    rig.step(DirectEvent::Target(TargetChange::Listed(listed(Written(10, 5)))));
    assert!(rig.machine.fleet().serves(SERVICE));
    rig.advance(Duration::from_secs(1));
    rig.step(DirectEvent::Target(TargetChange::Removed("a".into())));
    for said in said {
        rig.advance(Duration::from_secs(1));
        let change = match said {
            Restored => TargetChange::StoreRestored,
            Snapshot(written) => {
                let targets: Vec<DirectTarget> = written.iter().copied().map(listed).collect();
                let present = targets.iter().map(|target| target.id.clone()).collect();
                TargetChange::Snapshot { present, targets }
            }
            Listed(written) => TargetChange::Listed(listed(*written)),
            Removed => TargetChange::Removed("a".into()),
        };
        rig.step(DirectEvent::Target(change));
        rig.step(DirectEvent::Tick);
    }
    assert_eq!(rig.machine.fleet().serves(SERVICE), is_used);
}

/// The store lost the first registrations, which the targets write again within two seconds.
#[parameterized(
    soon = { Duration::from_millis(600), true },
    late = { Duration::from_millis(1000), false },
)]
fn a_target_that_a_restored_store_lacks_is_used_for_a_moment(time: Duration, is_used: bool) {
    let mut rig = DirectRig::new(RetryPolicy::Never);
    rig.list("a", TargetStage::Plain);
    rig.advance(Duration::from_secs(1));
    rig.step(DirectEvent::Target(TargetChange::StoreRestored));
    let (present, targets) = (vec![], vec![]);
    rig.step(DirectEvent::Target(TargetChange::Snapshot { present, targets }));
    rig.advance(time);
    rig.step(DirectEvent::Tick);
    assert_eq!(rig.machine.fleet().serves(SERVICE), is_used);
}
