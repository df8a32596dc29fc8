//! A stream went on at another software version, as a restored store had lost the record of the
//! version that it began at.

mod support;

use std::time::Duration;

use sapphirewell::direct::{
    DirectAction, DirectEvent, DirectTarget, FailureReason, RetryPolicy, ServiceVersion,
    StoreGeneration, StoredVersions, TargetChange, TargetStage, VersionChange,
};
use support::direct::{DirectRig, SERVICE};
use yare::parameterized;

/// Longer than a stream can last.
const STREAM_TIME: Duration = Duration::from_secs(6);
/// Time in which targets register again after a restore, and the list is read since.
const RELIST_TIME: Duration = Duration::from_secs(3);

fn of_service(version: &str) -> ServiceVersion {
    ServiceVersion { service: SERVICE.into(), version: version.into() }
}

fn read_versions(
    rig: &mut DirectRig,
    versions: &[&str],
    generation: StoreGeneration,
    complete_in: Option<StoreGeneration>,
) {
    let versions = versions.iter().map(|version| of_service(version)).collect();
    let stored = StoredVersions { versions, generation: Some(generation), complete_in };
    rig.step(DirectEvent::StoredVersions(stored));
}

/// Reads a snapshot with one engine of a version, to its end.
fn read_snapshot(rig: &mut DirectRig, version: &str) {
    let target = rig.target(version, TargetStage::Decode);
    let target = DirectTarget { version: version.into(), ..target };
    let present = vec![target.id.clone()];
    let targets = vec![target];
    rig.step(DirectEvent::Target(TargetChange::Snapshot { present, targets }));
    rig.read_targets(Duration::ZERO);
}

/// Returns an entry that has just started, and read engines of "v2" only.
fn started(generation: StoreGeneration, complete_in: Option<StoreGeneration>) -> DirectRig {
    let mut rig = DirectRig::new(RetryPolicy::Resume);
    read_snapshot(&mut rig, "v2");
    read_versions(&mut rig, &["v2"], generation, complete_in);
    rig.advance(Duration::from_secs(2));
    rig.read_targets(Duration::ZERO);
    rig
}

/// Returns what becomes of a request that goes on with a stream which nobody knows.
fn resume(rig: &mut DirectRig) -> Option<FailureReason> {
    let mut actions = rig.submit_resumed(1, Some("unknown")).actions();
    for _ in 0..20 {
        rig.advance(Duration::from_millis(50));
        actions.extend(rig.read_targets(Duration::ZERO));
        actions.extend(rig.step(DirectEvent::Tick));
    }
    let failed = actions.iter().find_map(|action| match action {
        DirectAction::Fail { failure, .. } => Some(failure.reason),
        _ => None,
    });
    let is_sent = actions.iter().any(|action| matches!(action, DirectAction::Call { .. }));
    assert_eq!(failed.is_none(), is_sent, "{actions:?}");
    failed
}

fn changes(rig: &mut DirectRig) -> Vec<VersionChange> {
    rig.advance(Duration::from_secs(1));
    rig.read_targets(Duration::ZERO);
    let actions = rig.step(DirectEvent::Tick).into_iter();
    let changes = actions.filter_map(|action| match action {
        DirectAction::PersistVersion(change) => Some(change),
        _ => None,
    });
    changes.collect()
}

#[parameterized(
    complete = { 2, Some(2), None },
    of_the_generation_before = { 2, Some(1), Some(FailureReason::StreamVersionUnknown) },
    never_stated = { 2, None, Some(FailureReason::StreamVersionUnknown) },
)]
fn an_entry_that_starts_relies_on_complete_records_only(
    generation: StoreGeneration,
    complete_in: Option<StoreGeneration>,
    failure: Option<FailureReason>,
) {
    assert_eq!(resume(&mut started(generation, complete_in)), failure);
}

#[test]
fn an_entry_that_starts_reads_again_until_the_records_are_complete() {
    let mut rig = started(2, Some(1));
    assert!(rig.step(DirectEvent::Tick).contains(&DirectAction::ReadVersions));
    read_versions(&mut rig, &["v1", "v2"], 2, Some(2));
    assert_eq!(resume(&mut rig), Some(FailureReason::StreamVersionUnknown), "v1 served lately");
}

/// Nobody is left who knew the records.
#[test]
fn an_entry_that_has_seen_the_targets_for_long_enough_needs_no_records() {
    let mut rig = started(2, Some(1));
    rig.advance(STREAM_TIME);
    assert_eq!(changes(&mut rig), [VersionChange::Complete(2)]);
    assert_eq!(resume(&mut rig), None);
}

#[parameterized(
    once = { &[2] },
    twice = { &[2, 3] },
    two_at_once = { &[3] },
)]
fn lost_versions_are_written_again(generations: &[StoreGeneration]) {
    let mut rig = started(1, Some(1));
    rig.advance(STREAM_TIME);
    rig.step(DirectEvent::Tick);
    rig.read_targets(Duration::ZERO);
    let mut last = 1;
    for generation in generations {
        rig.advance(Duration::from_secs(1));
        rig.step(DirectEvent::Target(TargetChange::StoreRestored));
        read_snapshot(&mut rig, "v2");
        read_versions(&mut rig, &[], *generation, Some(last));
        last = *generation;
    }
    assert_eq!(changes(&mut rig), [VersionChange::Serves(of_service("v2"))]);
    // Targets of another version may have registered just before the restore.
    rig.advance(RELIST_TIME);
    assert_eq!(changes(&mut rig), [VersionChange::Complete(last)]);
    assert_eq!(changes(&mut rig), []);
}

/// A list that lacks what was registered last does not show that there is one version only.
#[test]
fn a_stream_waits_until_the_targets_have_registered_again() {
    let mut rig = started(1, Some(1));
    rig.advance(Duration::from_secs(1));
    rig.step(DirectEvent::Target(TargetChange::StoreRestored));
    read_snapshot(&mut rig, "v2");
    read_versions(&mut rig, &["v2"], 2, Some(2));
    assert_eq!(resume(&mut rig), Some(FailureReason::StreamVersionUnknown));
    rig.advance(RELIST_TIME);
    assert_eq!(resume_again(&mut rig), None);
}

fn resume_again(rig: &mut DirectRig) -> Option<FailureReason> {
    rig.step(DirectEvent::FlowEnded { flow: 1, complete: false });
    resume(rig)
}

/// Whoever was cut off from the store before the restore may have missed a version.
#[test]
fn an_entry_that_had_not_read_the_targets_for_long_does_not_call_the_records_complete() {
    let mut rig = started(1, Some(1));
    rig.advance(Duration::from_secs(6));
    rig.step(DirectEvent::Target(TargetChange::StoreRestored));
    read_snapshot(&mut rig, "v2");
    read_versions(&mut rig, &["v2"], 2, Some(1));
    assert_eq!(resume(&mut rig), Some(FailureReason::StreamVersionUnknown));
}
