//! Where requests go that take a stream up again, by what is known of the stream.

mod support;

use std::time::Duration;

use sapphirewell::direct::{
    CallOutcome, DirectAction, DirectEvent, DirectTarget, FailureReason, PeerName, RetryPolicy,
    ServiceVersion, StreamMessage, StreamOrigin, TargetChange, TargetStage, VersionChange,
};
use support::direct::{DirectRig, SERVICE};
use yare::parameterized;

const STREAM: &str = "first";

/// Returns a rig with two engines of each version, which has run for longer than a stream
/// can last and has just read their registrations.
fn rig(versions: &[&str]) -> DirectRig {
    let mut rig = DirectRig::new(RetryPolicy::Resume);
    rig.read_versions(&[]);
    list_all(&mut rig, versions);
    rig.advance(Duration::from_secs(6));
    list_all(&mut rig, versions);
    rig.read_targets(Duration::ZERO);
    rig
}

/// Submits a request that takes a stream up, and reads the targets if it waits for that.
fn submit_and_read(rig: &mut DirectRig, stream: Option<&str>) -> Vec<DirectAction> {
    let mut actions = rig.submit_resumed(1, stream).actions();
    read_if_demanded(rig, &mut actions);
    actions
}

fn read_if_demanded(rig: &mut DirectRig, actions: &mut Vec<DirectAction>) {
    if actions.contains(&DirectAction::ReadTargets) {
        rig.advance(Duration::from_millis(10));
        actions.extend(rig.read_targets(Duration::from_millis(5)));
    }
}

fn list_all(rig: &mut DirectRig, versions: &[&str]) {
    for version in versions {
        for number in 0..2 {
            list(rig, &format!("{version}-{number}"), version);
        }
    }
}

fn list(rig: &mut DirectRig, name: &str, version: &str) {
    let target = rig.target(name, TargetStage::Decode);
    let target = DirectTarget { version: version.into(), ..target };
    rig.step(DirectEvent::Target(TargetChange::Listed(target)));
}

fn hear_of(rig: &mut DirectRig, peer: &str) {
    rig.hear_of(peer, Vec::new());
}

fn origin(version: &str) -> StreamOrigin {
    StreamOrigin {
        stream: STREAM.into(),
        service: SERVICE.into(),
        version: version.into(),
        time_left: Duration::from_secs(4),
    }
}

fn message(peer: &str, message: StreamMessage) -> DirectEvent {
    DirectEvent::StreamMessage { peer: peer.into(), message }
}

fn sent(actions: &[DirectAction]) -> Vec<(Vec<PeerName>, StreamMessage)> {
    let sent = actions.iter().filter_map(|action| match action {
        DirectAction::SendToPeers { peers, message } => Some((peers.clone(), message.clone())),
        _ => None,
    });
    sent.collect()
}

/// Version of the called target, the reason of a refusal, or neither while the entry waits.
#[derive(Debug, PartialEq)]
enum Placed {
    At(String),
    Refused(FailureReason),
    Waits,
}

fn placed(actions: &[DirectAction]) -> Placed {
    let placed = actions.iter().find_map(|action| match action {
        DirectAction::Call { target, .. } => Some(Placed::At(target.version.to_string())),
        DirectAction::Fail { failure, .. } => {
            assert!(failure.not_run);
            Some(Placed::Refused(failure.reason))
        }
        _ => None,
    });
    placed.unwrap_or(Placed::Waits)
}

#[parameterized(
    first_version = { "v1" },
    second_version = { "v2" },
)]
fn a_stream_of_known_origin_goes_on_at_its_version_also_in_retries(version: &str) {
    for _ in 0..8 {
        let mut rig = rig(&["v1", "v2"]);
        rig.step(message("peer", StreamMessage::Began(origin(version))));
        let call = rig.submit_resumed(1, Some(STREAM)).call();
        let next = rig.end(1, call.number, CallOutcome::Lost { closed: true });
        assert_eq!(placed(&next), Placed::At(version.to_owned()));
    }
}

/// A stream that was bound to its version was put last like a new request, which can go to any
/// target and loses nothing that its caller already has.
#[test]
fn a_stream_goes_on_before_a_new_request_that_cannot_be_in_time() {
    let mut rig = rig(&["v1"]);
    rig.submit_prompt(1, 1, 1000);
    rig.step(message("peer", StreamMessage::Began(origin("v1"))));
    for target in ["v1-0", "v1-1"] {
        rig.add_load(target, 12_000);
    }
    // Both have used up most of their objective of 500 ms.
    let left = Duration::from_millis(4600);
    let new = rig.submit_tokens(2, 100, left, None).call();
    assert!(new.priority >= 5, "a new request may wait only behind all others: {new:?}");
    let resumed = rig.submit_tokens(3, 100, left, Some(STREAM)).call();
    assert!(resumed.priority < 5 && resumed.target.starts_with("v1"), "{resumed:?}");
}

#[test]
fn a_stream_whose_version_has_no_target_is_refused() {
    let mut rig = rig(&["v1"]);
    rig.step(message("peer", StreamMessage::Began(origin("v2"))));
    let actions = rig.submit_resumed(1, Some(STREAM)).actions();
    assert_eq!(placed(&actions), Placed::Refused(FailureReason::NoTarget));
}

#[test]
fn a_stream_that_began_at_a_service_without_a_route_is_refused() {
    let mut rig = rig(&["v1"]);
    let moved = StreamOrigin { service: "other".into(), ..origin("v1") };
    rig.step(message("peer", StreamMessage::Began(moved)));
    let actions = rig.submit_resumed(1, Some(STREAM)).actions();
    assert_eq!(placed(&actions), Placed::Refused(FailureReason::NoTarget));
}

struct UnknownCase {
    versions: &'static [&'static str],
    stream: Option<&'static str>,
    placed: Placed,
}

#[parameterized(
    one_version = { UnknownCase { versions: &["v1"], stream: Some(STREAM), placed: Placed::At("v1".to_owned()) } },
    one_version_unnamed = { UnknownCase { versions: &["v1"], stream: None, placed: Placed::At("v1".to_owned()) } },
    two_versions = { UnknownCase { versions: &["v1", "v2"], stream: Some(STREAM), placed: Placed::Refused(FailureReason::StreamVersionUnknown) } },
    two_versions_unnamed = { UnknownCase { versions: &["v1", "v2"], stream: None, placed: Placed::Refused(FailureReason::StreamVersionUnknown) } },
)]
fn without_peers_a_stream_of_unknown_origin_goes_on_only_at_the_only_version(case: UnknownCase) {
    let mut rig = rig(case.versions);
    let actions = submit_and_read(&mut rig, case.stream);
    assert_eq!(placed(&actions), case.placed);
}

#[parameterized(
    within_a_streams_time = { Duration::from_secs(3), Placed::Refused(FailureReason::StreamVersionUnknown) },
    after_a_streams_time = { Duration::from_secs(6), Placed::At("v2".to_owned()) },
)]
fn a_version_that_has_gone_counts_as_long_as_its_streams_can_last(
    gone: Duration,
    expected: Placed,
) {
    let mut rig = rig(&["v1", "v2"]);
    // Registrations are renewed, so that the last one read need not be of the newer version.
    list(&mut rig, "v1-0", "v1");
    for name in ["v1-0", "v1-1"] {
        rig.step(DirectEvent::Target(TargetChange::Removed(name.into())));
    }
    rig.advance(gone);
    list(&mut rig, "v2-0", "v2");
    let actions = submit_and_read(&mut rig, Some(STREAM));
    assert_eq!(placed(&actions), expected);
}

/// What an entry reads of the targets while a stream of unknown origin waits.
#[derive(Debug, Clone, Copy)]
enum ListRead {
    /// A read that began after the request came.
    After,
    /// The same, which shows an engine of another version.
    AfterWithOther,
    /// A read that began before the request came.
    Before,
    None,
}

/// An entry that is cut off from the store may not know that engines of another version serve,
/// at which other entries begin streams.
#[parameterized(
    read = { ListRead::After, Placed::At("v1".to_owned()) },
    other_version_read = { ListRead::AfterWithOther, Placed::Refused(FailureReason::StreamVersionUnknown) },
    read_before = { ListRead::Before, Placed::Refused(FailureReason::StreamVersionUnknown) },
    not_read = { ListRead::None, Placed::Refused(FailureReason::StreamVersionUnknown) },
)]
fn the_only_version_is_known_by_a_read_after_the_request(read: ListRead, expected: Placed) {
    let mut rig = rig(&["v1"]);
    rig.advance(Duration::from_millis(200));
    let mut actions = rig.submit_resumed(1, Some(STREAM)).actions();
    assert_eq!(placed(&actions), Placed::Waits);
    assert!(actions.contains(&DirectAction::ReadTargets));
    rig.advance(Duration::from_millis(10));
    match read {
        ListRead::After => actions.extend(rig.read_targets(Duration::from_millis(10))),
        ListRead::AfterWithOther => {
            list(&mut rig, "v2-0", "v2");
            actions.extend(rig.read_targets(Duration::from_millis(10)));
        }
        ListRead::Before => actions.extend(rig.read_targets(Duration::from_millis(11))),
        ListRead::None => {}
    }
    rig.advance(Duration::from_millis(600));
    actions.extend(rig.step(DirectEvent::Tick));
    assert_eq!(placed(&actions), expected);
}

/// The peers may be heard of only while a stream waits, as after an entry stood still.
#[test]
fn a_peers_answer_ends_the_wait_for_the_targets() {
    let mut rig = rig(&["v1"]);
    rig.advance(Duration::from_millis(200));
    rig.submit_resumed(1, Some(STREAM));
    hear_of(&mut rig, "peer");
    let query = (vec!["peer".into()], StreamMessage::Query(STREAM.into()));
    assert_eq!(sent(&rig.step(DirectEvent::Tick)), [query]);
    let actions = rig.step(message("peer", StreamMessage::Began(origin("v1"))));
    assert_eq!(placed(&actions), Placed::At("v1".to_owned()));
}

struct StoredCase {
    stored: Option<&'static [&'static str]>,
    age: Duration,
    placed: Placed,
}

/// What a process knew of versions before its start is in the store.
#[parameterized(
    same_version = { StoredCase { stored: Some(&["v1"]), age: Duration::from_millis(200), placed: Placed::At("v1".to_owned()) } },
    first_start_of_all = { StoredCase { stored: Some(&[]), age: Duration::from_millis(200), placed: Placed::At("v1".to_owned()) } },
    other_version = { StoredCase { stored: Some(&["v0", "v1"]), age: Duration::from_secs(3), placed: Placed::Refused(FailureReason::StreamVersionUnknown) } },
    other_version_longer_than_a_stream_ago = { StoredCase { stored: Some(&["v0", "v1"]), age: Duration::from_secs(6), placed: Placed::At("v1".to_owned()) } },
    not_read = { StoredCase { stored: None, age: Duration::from_secs(3), placed: Placed::Refused(FailureReason::StreamVersionUnknown) } },
)]
fn versions_from_before_the_start_count(case: StoredCase) {
    let mut rig = DirectRig::new(RetryPolicy::Resume);
    list_all(&mut rig, &["v1"]);
    if let Some(stored) = case.stored {
        rig.read_versions(stored);
    }
    rig.advance(case.age);
    list_all(&mut rig, &["v1"]);
    let mut actions = rig.submit_resumed(1, Some(STREAM)).actions();
    for _ in 0..15 {
        read_if_demanded(&mut rig, &mut actions);
        rig.advance(Duration::from_millis(100));
        actions.extend(rig.step(DirectEvent::Tick));
    }
    assert_eq!(placed(&actions), case.placed);
}

/// Targets may have been registered and removed between two snapshots.
#[test]
fn a_snapshot_asks_for_the_stored_versions() {
    let mut rig = rig(&["v1"]);
    let target = rig.target("v1-9", TargetStage::Decode);
    let present = vec![target.id.clone()];
    let snapshot = TargetChange::Snapshot { present, targets: vec![target] };
    assert_eq!(rig.step(DirectEvent::Target(snapshot)), [DirectAction::ReadVersions]);
    let actions = submit_and_read(&mut rig, Some(STREAM));
    assert_eq!(placed(&actions), Placed::Waits);
    let actions = rig.read_versions(&["v1", "v2"]);
    assert_eq!(placed(&actions), Placed::Refused(FailureReason::StreamVersionUnknown));
}

fn version_changes(rig: &mut DirectRig) -> Vec<VersionChange> {
    rig.read_targets(Duration::ZERO);
    let actions = rig.step(DirectEvent::Tick).into_iter();
    let changes = actions.filter_map(|action| match action {
        DirectAction::PersistVersion(change) => Some(change),
        _ => None,
    });
    changes.collect()
}

fn of_service(version: &str) -> ServiceVersion {
    ServiceVersion { service: SERVICE.into(), version: version.into() }
}

#[test]
fn a_version_is_recorded_once_and_removed_after_a_streams_time() {
    let mut rig = rig(&["v1"]);
    assert_eq!(version_changes(&mut rig), [VersionChange::Serves(of_service("v1"))]);
    rig.advance(Duration::from_secs(2));
    list_all(&mut rig, &["v2"]);
    assert_eq!(version_changes(&mut rig), [VersionChange::Serves(of_service("v2"))]);
    for name in ["v1-0", "v1-1"] {
        rig.step(DirectEvent::Target(TargetChange::Removed(name.into())));
    }
    rig.advance(Duration::from_secs(3));
    assert_eq!(version_changes(&mut rig), []);
    rig.advance(Duration::from_secs(3));
    list_all(&mut rig, &["v2"]);
    assert_eq!(version_changes(&mut rig), [VersionChange::Gone(of_service("v1"))]);
}

/// Registrations are not renewed while the store is away.
#[test]
fn a_version_whose_targets_are_listed_stays_recorded() {
    let mut rig = rig(&["v1"]);
    version_changes(&mut rig);
    rig.advance(Duration::from_secs(60));
    assert_eq!(version_changes(&mut rig), []);
}

#[parameterized(
    first = { 0, true },
    third = { 2, true },
    fourth = { 3, false },
)]
fn a_few_entries_record_versions(earlier: u64, writes: bool) {
    let mut rig = rig(&["v1"]);
    // The rig's entry is "entry-7".
    for number in 0..earlier {
        hear_of(&mut rig, &format!("entry-{number}"));
    }
    hear_of(&mut rig, "entry-8");
    assert_eq!(!version_changes(&mut rig).is_empty(), writes);
}

#[derive(Debug, Clone, Copy)]
enum PeerAnswer {
    Began(&'static str),
    Unknown,
    None,
}

#[parameterized(
    known = { &["v1", "v2"], PeerAnswer::Began("v2"), Placed::At("v2".to_owned()) },
    unknown = { &["v1", "v2"], PeerAnswer::Unknown, Placed::Refused(FailureReason::StreamVersionUnknown) },
    unknown_with_one_version = { &["v1"], PeerAnswer::Unknown, Placed::At("v1".to_owned()) },
    silent = { &["v1", "v2"], PeerAnswer::None, Placed::Refused(FailureReason::StreamVersionUnknown) },
    silent_with_one_version = { &["v1"], PeerAnswer::None, Placed::At("v1".to_owned()) },
)]
fn a_peer_is_asked_for_an_origin_that_was_not_told(
    versions: &[&str],
    answer: PeerAnswer,
    expected: Placed,
) {
    let mut rig = rig(versions);
    hear_of(&mut rig, "peer");
    let actions = rig.submit_resumed(1, Some(STREAM)).actions();
    assert_eq!(placed(&actions), Placed::Waits);
    let query = (vec!["peer".into()], StreamMessage::Query(STREAM.into()));
    assert_eq!(sent(&actions), [query]);
    rig.advance(Duration::from_millis(10));
    let mut after = match answer {
        PeerAnswer::Began(version) => {
            rig.step(message("peer", StreamMessage::Began(origin(version))))
        }
        PeerAnswer::Unknown => rig.step(message("peer", StreamMessage::Unknown(STREAM.into()))),
        PeerAnswer::None => {
            assert_eq!(placed(&rig.step(DirectEvent::Tick)), Placed::Waits);
            rig.advance(Duration::from_millis(100));
            rig.step(DirectEvent::Tick)
        }
    };
    read_if_demanded(&mut rig, &mut after);
    assert_eq!(placed(&after), expected);
}

#[test]
fn a_starting_entry_asks_peers_that_it_hears_of_later() {
    let mut rig = DirectRig::new(RetryPolicy::Resume);
    list(&mut rig, "a", "v1");
    list(&mut rig, "b", "v2");
    assert_eq!(placed(&rig.submit_resumed(1, Some(STREAM)).actions()), Placed::Waits);
    rig.advance(Duration::from_millis(40));
    hear_of(&mut rig, "peer");
    let query = (vec!["peer".into()], StreamMessage::Query(STREAM.into()));
    assert_eq!(sent(&rig.step(DirectEvent::Tick)), [query]);
    let actions = rig.step(message("peer", StreamMessage::Began(origin("v2"))));
    assert_eq!(placed(&actions), Placed::At("v2".to_owned()));
}

#[test]
fn the_first_output_tells_the_same_peers_that_are_asked() {
    let mut rig = rig(&["v1", "v2"]);
    for number in 0..12 {
        hear_of(&mut rig, &format!("peer-{number}"));
    }
    let call = rig.submit_prompt(1, 7, 5000).call();
    rig.end(1, call.number, CallOutcome::Answered { success: true });
    let told = sent(&rig.step(DirectEvent::FirstOutput { flow: 1 }));
    let [(peers, StreamMessage::Began(origin))] = told.as_slice() else { panic!("{told:?}") };
    assert_eq!(&*origin.stream, "request-1");
    assert!((3..=4).contains(&peers.len()), "{peers:?}");
    let mut other = self::rig(&["v1", "v2"]);
    for number in 0..12 {
        hear_of(&mut other, &format!("peer-{number}"));
    }
    let asked = sent(&other.submit_resumed(1, Some("request-1")).actions());
    assert_eq!(&asked[0].0, peers);
}

#[test]
fn a_query_is_answered_until_the_callers_deadline() {
    let mut rig = rig(&["v1"]);
    rig.step(message("teller", StreamMessage::Began(origin("v1"))));
    let query = || message("asker", StreamMessage::Query(STREAM.into()));
    let answer = sent(&rig.step(query()));
    assert_eq!(answer, [(vec!["asker".into()], StreamMessage::Began(origin("v1")))]);
    rig.advance(Duration::from_secs(10));
    rig.step(DirectEvent::Tick);
    let answer = sent(&rig.step(query()));
    assert_eq!(answer, [(vec!["asker".into()], StreamMessage::Unknown(STREAM.into()))]);
}

#[test]
fn a_stream_of_which_two_origins_are_told_keeps_the_first() {
    let mut rig = rig(&["v1", "v2"]);
    rig.step(message("a", StreamMessage::Began(origin("v1"))));
    rig.step(message("b", StreamMessage::Began(origin("v2"))));
    let actions = rig.submit_resumed(1, Some(STREAM)).actions();
    assert_eq!(placed(&actions), Placed::At("v1".to_owned()));
}

#[test]
fn a_request_that_ends_while_it_waits_is_not_placed() {
    let mut rig = rig(&["v1", "v2"]);
    hear_of(&mut rig, "peer");
    rig.submit_resumed(1, Some(STREAM));
    rig.step(DirectEvent::FlowEnded { flow: 1, complete: false });
    let actions = rig.step(message("peer", StreamMessage::Began(origin("v1"))));
    assert_eq!(placed(&actions), Placed::Waits);
}
