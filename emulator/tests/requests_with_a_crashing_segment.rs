//! Guards against engines that crash one after the other, as entries go on sending requests
//! that have one prompt segment in common, which crashes every engine.

mod support;

use std::{fmt::Write, time::Duration};

use emulator::stand_in::{
    caller::{CallerKind, CallerOutcome, CallerRecord, CallerRequest},
    fleet::{PlatformFleet, PlatformSizes},
    runner::{CrashCause, ReceivedCall, RunnerFaults, RunnerModel},
};
use tokio::{
    task::JoinHandle,
    time::{Instant, sleep},
};
use yare::parameterized;

use support::{LoadState, STABLE_WINDOW, count_sendings, locked, run};

/// Crash from which the users count.
const COUNTED_CRASH: usize = 5;
/// Largest number of requests with a crashing segment that may reach engines after that.
const MAX_REACHED: usize = 3;

const SIZES: PlatformSizes = PlatformSizes { port: 0, entries: 3, prefill: 2, decode: 5, plain: 1 };
/// Load before the fault.
const CALM_TIME: Duration = Duration::from_secs(2);
/// Time for which sound requests are judged.
const JUDGED_TIME: Duration = Duration::from_millis(2500);
/// Longest time from the first crashing request to the end of the load.
const MAX_FAULT_TIME: Duration = Duration::from_secs(15);
/// Pause between sound requests, in all.
const SOUND_PAUSE: Duration = Duration::from_millis(25);
/// Pause between requests with a crashing segment, in all.
const CRASHING_PAUSE: Duration = Duration::from_millis(140);
/// Pause between crashes of engines by themselves, and their number.
const CRASH_PAUSE: Duration = Duration::from_millis(400);
const OWN_CRASHES: usize = 10;
/// Pause between events, long enough that most engines run a request when they crash.
const EVENT_GAP: Duration = Duration::from_millis(50);
/// Time in which an entry that is ready has read the store.
const READ_TIME: Duration = Duration::from_millis(300);

/// Time without a crash after which a segment counts as known to the entries.
const QUIET_TIME: Duration = Duration::from_millis(1500);

/// Segments that all sound requests share.
const SHARED: [u64; 3] = [0xa1, 0xa2, 0xa3];

/// What happens to the entries after the fifth crash.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum EntryStarts {
    Never,
    /// One, which was down before the fault, starts.
    One,
    /// All are killed and start again.
    All,
}

#[derive(Debug, Clone, Copy)]
struct CrashCase {
    port: u16,
    kind: CallerKind,
    /// Place of each crashing segment among the shared ones.
    places: &'static [usize],
    /// Whether engines also crash by themselves.
    own_crashes: bool,
    starts: EntryStarts,
    unframed: bool,
    /// Number of prefill engines; without any, decode engines run whole requests.
    prefill: usize,
}

impl CrashCase {
    const fn new(port: u16, kind: CallerKind, places: &'static [usize]) -> CrashCase {
        let starts = EntryStarts::Never;
        CrashCase { port, kind, places, own_crashes: false, starts, unframed: false, prefill: 2 }
    }

    fn crashing_segments(&self) -> Vec<u64> {
        (0..self.places.len() as u64).map(|number| 0xbad0 + number).collect()
    }

    fn faults(&self) -> RunnerFaults {
        RunnerFaults {
            crashing_segments: self.crashing_segments(),
            unframed: self.unframed,
            event_gap: Some(EVENT_GAP),
            ..RunnerFaults::default()
        }
    }

    /// Returns a request with a last segment of its own. `crashing` is the number of the
    /// segment that replaces a shared one.
    fn request(&self, name: &str, number: u64, crashing: Option<usize>) -> CallerRequest {
        let mut shared = SHARED;
        if let Some(index) = crashing {
            shared[self.places[index]] = self.crashing_segments()[index];
        }
        let (shared_tokens, own_tokens) =
            if self.kind == CallerKind::Dossier { (2000, 1000) } else { (30, 200) };
        let own = (0x10_0000 * (2 + u64::from(crashing.is_some())) + number, own_tokens);
        let shared = shared.into_iter().map(|id| (id, shared_tokens));
        let mut request = CallerRequest::new(format!("{name}-{number}"), self.kind, 0);
        request.segments = Some(shared.chain([own]).collect());
        request.deadline = Duration::from_millis(2500);
        request
    }
}

const NOTE: CallerKind = CallerKind::Note;
const DOSSIER: CallerKind = CallerKind::Dossier;

#[parameterized(
    first_segment_of_notes = { CrashCase::new(23_200, NOTE, &[0]) },
    middle_segment_of_notes = { CrashCase::new(23_215, NOTE, &[1]) },
    last_shared_segment_of_notes = { CrashCase::new(23_230, NOTE, &[2]) },
    first_segment_of_dossiers = { CrashCase::new(23_245, DOSSIER, &[0]) },
    middle_segment_of_dossiers = { CrashCase::new(23_260, DOSSIER, &[1]) },
    last_shared_segment_of_dossiers = { CrashCase::new(23_275, DOSSIER, &[2]) },
    three_segments_at_once = { CrashCase::new(23_290, NOTE, &[0, 1, 2]) },
    engines_also_crash_by_themselves = { CrashCase { own_crashes: true, ..CrashCase::new(23_305, DOSSIER, &[1]) } },
    an_entry_starts_later = { CrashCase { starts: EntryStarts::One, ..CrashCase::new(23_320, NOTE, &[1]) } },
    all_entries_start_again = { CrashCase { starts: EntryStarts::All, ..CrashCase::new(23_335, DOSSIER, &[1]) } },
    unframed_notes = { CrashCase { unframed: true, ..CrashCase::new(23_350, NOTE, &[1]) } },
    whole_runs = { CrashCase { prefill: 0, ..CrashCase::new(23_365, DOSSIER, &[1]) } },
    unframed_dossiers = { CrashCase { unframed: true, ..CrashCase::new(23_380, DOSSIER, &[2]) } },
)]
fn requests_with_a_crashing_segment_are_kept_from_engines(case: CrashCase) {
    run(async {
        let mut fleet = spawn_fleet(&case).await;
        let load = LoadState::new(&fleet);
        if case.starts == EntryStarts::One {
            load.stop_entry(&mut fleet, 2);
        }
        let sound = spawn_load(&case, &load, false);
        sleep(CALM_TIME).await;
        let fault_start = Instant::now();
        let crashing = spawn_load(&case, &load, true);
        let own_crashes = case.own_crashes.then(|| spawn_crashes(&fleet.runners, &case));
        let mut pending_starts = case.starts != EntryStarts::Never;
        let mut restarted_at = None;
        loop {
            sleep(Duration::from_millis(50)).await;
            let crashes = SegmentCrashes::of(&fleet.runners, &case);
            if pending_starts && crashes.are_over() {
                pending_starts = false;
                // The store has the crashes by then.
                sleep(Duration::from_secs(1)).await;
                let started = if case.starts == EntryStarts::All { 0..3 } else { 2..3 };
                load.restart_entries(&mut fleet, started).await;
                restarted_at = Some(Instant::now());
            }
            let judged = judged_from(&crashes, &load).is_some_and(|at| at.elapsed() >= JUDGED_TIME);
            if (judged && !pending_starts) || fault_start.elapsed() >= MAX_FAULT_TIME {
                break;
            }
        }
        let fault_end = Instant::now();
        sound.abort();
        crashing.abort();
        if let Some(task) = own_crashes {
            task.abort();
        }
        load.finish().await;
        let crashes = SegmentCrashes::of(&fleet.runners, &case);
        let from = judged_from(&crashes, &load).unwrap();
        let mut violations = Vec::new();
        violations.extend(reached_too_often(&fleet.runners, &case, &crashes, &load));
        if let (EntryStarts::All, Some(restarted)) = (case.starts, restarted_at) {
            let calls = crashing_calls(&fleet.runners, &case.crashing_segments());
            let reached = count_sendings(calls.iter().filter(|c| c.at > restarted + READ_TIME));
            if reached > MAX_REACHED {
                violations.push(format!("{reached} reached engines after all entries started"));
            }
        }
        violations.extend(load.succeeds_too_seldom(CALM_TIME, fault_start, from, fault_end));
        let logs = fleet.folder().display().to_string();
        assert_eq!(violations, Vec::<String>::new(), "{}; logs in {logs}", crashes.describe());
    });
}

/// Requests that ran at several crashes may have all their shared segments in common.
#[parameterized(
    notes = { 23_395, NOTE, false },
    dossiers = { 23_410, DOSSIER, false },
    unframed_notes = { 23_425, NOTE, true },
)]
fn nothing_is_refused_after_engines_crashed_by_themselves(
    port: u16,
    kind: CallerKind,
    unframed: bool,
) {
    run(async {
        let case = CrashCase { unframed, ..CrashCase::new(port, kind, &[]) };
        let fleet = spawn_fleet(&case).await;
        let load = LoadState::new(&fleet);
        let sound = spawn_load(&case, &load, false);
        sleep(CALM_TIME).await;
        let fault_start = Instant::now();
        spawn_crashes(&fleet.runners, &case).await.unwrap();
        let last_crash = Instant::now();
        sleep(STABLE_WINDOW + JUDGED_TIME).await;
        let end = Instant::now();
        sound.abort();
        load.finish().await;
        let from = last_crash + STABLE_WINDOW;
        let judged = load.sound_between(from, end);
        let is_refused =
            |record: &&CallerRecord| matches!(record.outcome, CallerOutcome::Own { .. });
        let refused = judged.iter().filter(is_refused).count();
        let logs = fleet.folder().display().to_string();
        assert_eq!(refused, 0, "of {} sound requests; logs in {logs}", judged.len());
        assert_eq!(load.succeeds_too_seldom(CALM_TIME, fault_start, from, end), None);
    });
}

async fn spawn_fleet(case: &CrashCase) -> PlatformFleet {
    let fleet =
        PlatformFleet::spawn(PlatformSizes { port: case.port, prefill: case.prefill, ..SIZES })
            .await
            .unwrap();
    fleet.runners.iter().for_each(|runner| runner.set_faults(case.faults()));
    fleet
}

/// Crashes the decode engines in turn.
fn spawn_crashes(runners: &[RunnerModel], case: &CrashCase) -> JoinHandle<()> {
    let engines = runners[case.prefill..case.prefill + SIZES.decode].to_vec();
    tokio::spawn(async move {
        for engine in engines.iter().cycle().take(OWN_CRASHES) {
            engine.crash();
            sleep(CRASH_PAUSE).await;
        }
    })
}

fn spawn_load(case: &CrashCase, load: &LoadState, is_crashing: bool) -> JoinHandle<()> {
    let (case, load) = (*case, load.clone());
    tokio::spawn(async move {
        let (name, pause) = match is_crashing {
            true => ("crashing", CRASHING_PAUSE),
            false => ("sound", SOUND_PAUSE),
        };
        for number in 0.. {
            let crashing = is_crashing.then(|| number % case.places.len());
            load.send(case.request(name, number as u64, crashing), number, is_crashing);
            sleep(pause).await;
        }
    })
}

/// Crashes of each crashing segment.
#[derive(Debug)]
struct SegmentCrashes(Vec<(u64, Vec<Instant>)>);

impl SegmentCrashes {
    fn of(runners: &[RunnerModel], case: &CrashCase) -> SegmentCrashes {
        let crashes: Vec<_> = runners.iter().flat_map(RunnerModel::crashes).collect();
        let of_segment = |id: u64| {
            let caused =
                crashes.iter().filter(|crash| crash.cause == Some(CrashCause::Segment(id)));
            let mut times: Vec<Instant> = caused.map(|crash| crash.at).collect();
            times.sort();
            (id, times)
        };
        SegmentCrashes(case.crashing_segments().into_iter().map(of_segment).collect())
    }

    /// Returns whether each segment had its fifth crash or crashes no more engines.
    fn are_over(&self) -> bool {
        let is_over = |times: &Vec<Instant>| {
            times.len() >= COUNTED_CRASH
                || times.last().is_some_and(|last| last.elapsed() >= QUIET_TIME)
        };
        self.0.iter().all(|(_, times)| is_over(times))
    }

    /// Returns the fifth crash of the segment that had it last, or the last crash if there
    /// are fewer.
    fn reference(&self) -> Option<Instant> {
        let counted = |times: &Vec<Instant>| times.get(COUNTED_CRASH - 1).or(times.last()).copied();
        self.0.iter().filter_map(|(_, times)| counted(times)).max()
    }

    fn describe(&self) -> String {
        let mut text = String::new();
        for (id, times) in &self.0 {
            write!(text, "{} crashes by {id:x} ", times.len()).unwrap();
        }
        text
    }
}

/// Returns from when sound requests are judged, at entries that are all in touch.
fn judged_from(crashes: &SegmentCrashes, load: &LoadState) -> Option<Instant> {
    let crashed = crashes.reference()? + 2 * STABLE_WINDOW;
    let entries = locked(&load.entries);
    let started = entries.iter().filter_map(|entry| entry.started).max()?;
    Some(crashed.max(started + STABLE_WINDOW))
}

/// Judges how often requests with a crashing segment reach engines once their entries must
/// know it.
fn reached_too_often(
    runners: &[RunnerModel],
    case: &CrashCase,
    crashes: &SegmentCrashes,
    load: &LoadState,
) -> Option<String> {
    let late = |(id, times): &(u64, Vec<Instant>)| {
        let from = *times.get(COUNTED_CRASH - 1)? + STABLE_WINDOW;
        let calls = crashing_calls(runners, &[*id]);
        let counts = |call: &&ReceivedCall| {
            let entry = locked(&load.calls).iter().find(|s| s.id == call.request).map(|s| s.entry);
            call.at > from && entry.is_some_and(|entry| load.is_in_touch(entry, call.at))
        };
        let reached = count_sendings(calls.iter().filter(counts));
        (reached > MAX_REACHED).then(|| format!("{reached} with {id:x} reached engines"))
    };
    let late: Vec<String> = crashes.0.iter().filter_map(late).collect();
    (!late.is_empty())
        .then(|| format!("{} of {} segments: {late:?}", late.len(), case.places.len()))
}

/// Returns the calls with one of the segments, in all places but the last.
fn crashing_calls(runners: &[RunnerModel], segments: &[u64]) -> Vec<ReceivedCall> {
    let is_crashing = |call: &ReceivedCall| {
        let shared = call.segments.split_last().map_or(&[][..], |(_, shared)| shared);
        shared.iter().any(|id| segments.contains(id))
    };
    runners.iter().flat_map(RunnerModel::received).filter(is_crashing).collect()
}
