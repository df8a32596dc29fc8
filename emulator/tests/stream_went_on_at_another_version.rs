//! Guards against streams that go on at a target of another software version than the one
//! that began them.

use std::time::Duration;

use emulator::stand_in::{
    BrokenOff,
    caller::{CallerKind, CallerOutcome, CallerRecord, CallerRequest, ResumedStream, send},
    fleet::{PlatformFleet, PlatformSizes, mixed_requests},
    referee,
    runner::RunnerFaults,
};
use tokio::task::JoinHandle;
use yare::parameterized;

const STREAMS: usize = 12;
/// Pause between events that leaves time to break a stream after its first one.
const EVENT_GAP: Duration = Duration::from_millis(150);
/// Time in which all streams have begun.
const BEGIN_TIME: Duration = Duration::from_millis(500);
/// Time in which entries read a registration.
const READ_TIME: Duration = Duration::from_millis(1500);
/// Time from the start of entries in which they have recorded the versions that serve.
const RECORD_TIME: Duration = Duration::from_millis(4000);

/// What breaks streams off.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum StreamBreak {
    /// Their engines, inside the second event.
    Engine,
    /// The entry, whose process is killed.
    Entry,
    /// Their callers, which leave.
    Caller,
}

struct ResumeCase {
    port: u16,
    broken_by: StreamBreak,
    unframed: bool,
    /// Whether the entry at which they are taken up starts after they began.
    restarted: bool,
}

/// Starts two entries, and engines of two versions in both stages.
async fn two_versions(port: u16) -> PlatformFleet {
    let sizes = PlatformSizes { port, entries: 2, prefill: 2, decode: 4, plain: 1 };
    let fleet = PlatformFleet::spawn(sizes).await.unwrap();
    for index in [1, 4, 5] {
        fleet.runners[index].restart_with_version(&fleet.store, "v2");
    }
    tokio::time::sleep(READ_TIME).await;
    fleet
}

fn set_faults(fleet: &PlatformFleet, faults: &RunnerFaults) {
    fleet.runners.iter().for_each(|runner| runner.set_faults(faults.clone()));
}

fn begin(fleet: &PlatformFleet, broken_by: StreamBreak) -> Vec<JoinHandle<CallerRecord>> {
    let calls = (0..STREAMS).map(|number| {
        // The number at the end is the byte after which an engine breaks off.
        let mut request = CallerRequest::new(format!("begun-{number}-30"), CallerKind::Dossier, 1);
        if broken_by == StreamBreak::Caller {
            request.leave_after = Some(BEGIN_TIME);
        }
        tokio::spawn(send(fleet.entry(0), request))
    });
    calls.collect()
}

async fn collect(calls: Vec<JoinHandle<CallerRecord>>) -> Vec<CallerRecord> {
    let mut records = Vec::new();
    for call in calls {
        records.push(call.await.unwrap());
    }
    records
}

async fn take_up(fleet: &PlatformFleet, begun: &[CallerRecord]) -> Vec<CallerRecord> {
    let calls = begun.iter().filter(|record| !record.events.is_empty()).map(|record| {
        let id = &record.request.id;
        let mut request = CallerRequest::new(format!("{id}-again"), CallerKind::Dossier, 1);
        request.body = record.request.body.clone();
        request.resumed = Some(ResumedStream {
            first_request: id.clone(),
            last_event: record.events.last().copied().unwrap_or(0),
        });
        tokio::spawn(send(fleet.entry(1), request))
    });
    collect(calls.collect()).await
}

#[parameterized(
    engine_breaks_off = { ResumeCase { port: 22_400, broken_by: StreamBreak::Engine, unframed: false, restarted: false } },
    engine_closes_its_connection = { ResumeCase { port: 22_410, broken_by: StreamBreak::Engine, unframed: true, restarted: false } },
    entry_is_killed = { ResumeCase { port: 22_420, broken_by: StreamBreak::Entry, unframed: false, restarted: false } },
    caller_leaves = { ResumeCase { port: 22_430, broken_by: StreamBreak::Caller, unframed: true, restarted: false } },
    taken_up_at_an_entry_that_started_later = { ResumeCase { port: 22_440, broken_by: StreamBreak::Engine, unframed: false, restarted: true } },
)]
fn a_stream_goes_on_at_the_version_that_began_it(case: ResumeCase) {
    run(async {
        let mut fleet = two_versions(case.port).await;
        let cut = (case.broken_by == StreamBreak::Engine).then_some(BrokenOff::Closed);
        set_faults(
            &fleet,
            &RunnerFaults {
                cut,
                unframed: case.unframed,
                event_gap: Some(EVENT_GAP),
                ..RunnerFaults::default()
            },
        );
        let begun = begin(&fleet, case.broken_by);
        tokio::time::sleep(BEGIN_TIME).await;
        if case.broken_by == StreamBreak::Entry {
            fleet.entries[0].signal("KILL").unwrap();
        }
        let begun = collect(begun).await;
        if case.restarted {
            fleet.entries[1].signal("KILL").unwrap();
            fleet.entries[1].wait(Duration::from_secs(2)).ok();
            fleet.entries[1] = fleet.start_entry(1).unwrap();
            fleet.wait_until_ready(1).await.unwrap();
        }
        let resumed = take_up(&fleet, &begun).await;
        assert!(resumed.len() * 4 >= STREAMS * 3, "{} streams to take up", resumed.len());
        let whole = referee::whole(&resumed);
        let outcomes: Vec<_> = resumed.iter().map(|record| record.outcome.clone()).collect();
        assert!(whole * 4 >= resumed.len() * 3, "{whole} went on: {outcomes:?}");
        let records: Vec<CallerRecord> = begun.into_iter().chain(resumed).collect();
        let logs = fleet.folder().display().to_string();
        assert_eq!(fleet.judge(&records), vec![], "logs in {logs}");
    });
}

#[test]
fn a_stream_whose_version_is_gone_is_refused() {
    run(async {
        let fleet = two_versions(22_450).await;
        set_faults(
            &fleet,
            &RunnerFaults { cut: Some(BrokenOff::Closed), ..RunnerFaults::default() },
        );
        let begun = collect(begin(&fleet, StreamBreak::Engine)).await;
        for index in [0, 2, 3] {
            fleet.runners[index].restart_with_version(&fleet.store, "v3");
        }
        tokio::time::sleep(READ_TIME).await;
        let first_version = |record: &&CallerRecord| {
            let decode_of_v2 = ["llm-decode-2", "llm-decode-3"];
            !decode_of_v2.contains(&record.signed_by.as_deref().unwrap_or_default())
        };
        let gone: Vec<CallerRecord> = begun.iter().filter(first_version).cloned().collect();
        let resumed = take_up(&fleet, &gone).await;
        assert!(!resumed.is_empty());
        for record in resumed {
            let refused = CallerOutcome::Own { status: 503, retry_after: true };
            assert_eq!(record.outcome, refused, "{}", record.request.id);
        }
    });
}

/// No entry knows the stream: all of them may have been killed since it began.
#[parameterized(
    engines_of_two_versions = { 22_460, true },
    engines_of_one_version = { 22_470, false },
)]
fn an_unknown_stream_goes_on_only_if_all_engines_have_one_version(port: u16, mixed: bool) {
    run(async {
        let sizes = PlatformSizes { port, entries: 2, prefill: 1, decode: 2, plain: 1 };
        let fleet = PlatformFleet::spawn(sizes).await.unwrap();
        if mixed {
            fleet.runners[2].restart_with_version(&fleet.store, "v2");
        }
        tokio::time::sleep(READ_TIME).await;
        let mut request = CallerRequest::new("again", CallerKind::Dossier, 1);
        request.resumed =
            Some(ResumedStream { first_request: "nobody-knows".to_owned(), last_event: 2 });
        let record = send(fleet.entry(0), request).await;
        let refused = CallerOutcome::Own { status: 503, retry_after: true };
        assert_eq!(record.outcome, if mixed { refused } else { CallerOutcome::Whole });
    });
}

/// All entries are killed and start again, before which the engines may have got another version.
#[parameterized(
    after_the_version_has_left = { 22_490, true },
    while_the_version_serves = { 22_860, false },
)]
fn a_stream_from_before_a_start_of_all_goes_on_only_at_its_version(port: u16, left: bool) {
    run(async {
        let sizes = PlatformSizes { port, entries: 2, prefill: 1, decode: 2, plain: 1 };
        let mut fleet = PlatformFleet::spawn(sizes).await.unwrap();
        tokio::time::sleep(RECORD_TIME).await;
        for index in 0..2 {
            fleet.entries[index].signal("KILL").unwrap();
            fleet.entries[index].wait(Duration::from_secs(2)).ok();
        }
        if left {
            for index in 0..3 {
                fleet.runners[index].restart_with_version(&fleet.store, "v2");
            }
        }
        for index in 0..2 {
            fleet.entries[index] = fleet.start_entry(index).unwrap();
        }
        let mut outcomes = Vec::new();
        for index in 0..2 {
            fleet.wait_until_ready(index).await.unwrap();
            let mut request = CallerRequest::new(format!("again-{index}"), CallerKind::Dossier, 1);
            request.resumed =
                Some(ResumedStream { first_request: "before".to_owned(), last_event: 2 });
            outcomes.push(send(fleet.entry(index), request).await.outcome);
        }
        let refused = CallerOutcome::Own { status: 503, retry_after: true };
        let expected = if left { refused } else { CallerOutcome::Whole };
        assert_eq!(outcomes, [expected.clone(), expected], "{}", fleet.folder().display());
    });
}

#[test]
fn engines_of_two_versions_serve_new_requests() {
    run(async {
        let fleet = two_versions(22_480).await;
        let records = fleet.play(mixed_requests(120), Duration::from_millis(15)).await;
        assert_eq!(fleet.judge(&records), vec![]);
        assert_eq!(referee::whole(&records), 120);
    });
}

fn run(work: impl Future<Output = ()>) {
    tokio::runtime::Runtime::new().unwrap().block_on(work);
}
