//! Guards against targets that crash one after the other, as entries go on sending a request
//! that crashes each target, with or without a body, while they serve requests like it.

mod support;

use std::{net::Ipv4Addr, time::Duration};

use bytes::Bytes;
use emulator::stand_in::{
    caller::{CallerKind, CallerOutcome, CallerRecord, CallerRequest, ResumedStream},
    fleet::{PlatformFleet, PlatformSizes},
    runner::{CrashCause, ReceivedCall, RunnerFaults, RunnerModel},
};
use hyper::Method;
use tokio::{
    task::JoinHandle,
    time::{Instant, sleep},
};
use yare::parameterized;

use support::{LoadState, STABLE_WINDOW, count_sendings, locked, run};

/// Crash from which the users count.
const COUNTED_CRASH: usize = 3;
/// Largest number of repeats that may reach targets after that.
const MAX_REACHED: usize = 3;
const SIZES: PlatformSizes = PlatformSizes { port: 0, entries: 3, prefill: 2, decode: 5, plain: 3 };
/// Load before the fault.
const CALM_TIME: Duration = Duration::from_secs(2);
/// Time for which sound requests are judged.
const JUDGED_TIME: Duration = Duration::from_millis(2500);
/// Longest time from the first crashing request to the end of the load.
const MAX_FAULT_TIME: Duration = Duration::from_secs(15);
const SOUND_PAUSE: Duration = Duration::from_millis(25);
/// Pause between the sendings of one crashing request.
const CRASHING_PAUSE: Duration = Duration::from_millis(140);
/// Number of sendings after which another caller takes its turn.
const SENDINGS_IN_TURN: usize = 10;
/// Time from the third crash to the starts of entries.
const START_DELAY: Duration = Duration::from_secs(1);
/// Pause between crashes of targets by themselves, and their number.
const CRASH_PAUSE: Duration = Duration::from_millis(400);
const OWN_CRASHES: usize = 10;
/// Time without a crash after which a request is known to the entries.
const QUIET_TIME: Duration = Duration::from_secs(3);
const EVENT_GAP: Duration = Duration::from_millis(50);
const CALLER: Ipv4Addr = Ipv4Addr::new(127, 0, 0, 2);
const OTHER_CALLER: Ipv4Addr = Ipv4Addr::new(127, 0, 0, 3);

/// What tells sound requests from the crashing one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Difference {
    /// Each has a path of its own.
    Path,
    Query,
    Caller,
    Method,
    Body,
}

/// From which addresses the sendings of a crashing request come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum CallerChange {
    Never,
    EachSending,
    /// After some sendings, in which one caller crashes all targets of a service.
    InTurn,
}

/// What happens to the entries after the third crash.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum EntryStarts {
    Never,
    /// One, which was down before the fault, starts.
    One,
    /// All are killed and start again.
    All,
}

#[derive(Debug, Clone, Copy)]
struct RequestCase {
    port: u16,
    kind: CallerKind,
    has_body: bool,
    difference: Difference,
    /// Number of crashing requests.
    crashing: usize,
    resumed: bool,
    /// Whether each sending of a crashing request has another query.
    query_changes: bool,
    caller_change: CallerChange,
    starts: EntryStarts,
    prefill: usize,
}

impl RequestCase {
    const fn new(port: u16, kind: CallerKind, has_body: bool) -> RequestCase {
        let (difference, starts) = (Difference::Path, EntryStarts::Never);
        let (crashing, resumed, prefill) = (1, false, 2);
        let (query_changes, caller_change) = (false, CallerChange::Never);
        RequestCase {
            port,
            kind,
            has_body,
            difference,
            crashing,
            resumed,
            query_changes,
            caller_change,
            starts,
            prefill,
        }
    }

    fn name(index: usize) -> String {
        format!("crashing-{index}-")
    }

    /// Returns one sending of the request that crashes targets.
    fn crashing_request(&self, index: usize, number: usize) -> CallerRequest {
        let id = format!("{}{number}", RequestCase::name(index));
        let mut request = CallerRequest::new(id, self.kind, 0);
        request.method = if self.kind == CallerKind::Lookup { Method::GET } else { Method::POST };
        let page = if self.query_changes { 1 + number } else { 1 };
        request.path_rest = format!("thing-{index}?page={page}");
        let host = match self.caller_change {
            CallerChange::Never => CALLER.octets()[3],
            CallerChange::EachSending => 10 + (number % 200) as u8,
            CallerChange::InTurn => 10 + (number / SENDINGS_IN_TURN % 200) as u8,
        };
        request.source = Ipv4Addr::new(127, 0, 0, host);
        request.body = if self.has_body { Bytes::from_static(b"body") } else { Bytes::new() };
        request.resumed = self
            .resumed
            .then(|| ResumedStream { first_request: format!("first-{index}"), last_event: 1 });
        request
    }

    fn sound_request(&self, number: usize) -> CallerRequest {
        let mut request = self.crashing_request(0, 0);
        request.id = format!("sound-{number}");
        request.resumed = None;
        match self.difference {
            Difference::Path => request.path_rest = format!("sound-{number}"),
            Difference::Query => request.path_rest = "thing-0?page=2".to_owned(),
            Difference::Caller => request.source = OTHER_CALLER,
            Difference::Method => request.method = Method::PUT,
            Difference::Body => request.body = Bytes::from_static(b"other"),
        }
        request
    }

    fn faults(&self) -> RunnerFaults {
        RunnerFaults {
            crashing_requests: (0..self.crashing).map(RequestCase::name).collect(),
            event_gap: Some(EVENT_GAP),
            ..RunnerFaults::default()
        }
    }
}

const NOTE: CallerKind = CallerKind::Note;
const DOSSIER: CallerKind = CallerKind::Dossier;
const TICKET: CallerKind = CallerKind::Ticket;
const LOOKUP: CallerKind = CallerKind::Lookup;

#[parameterized(
    lookup = { RequestCase::new(24_000, LOOKUP, false) },
    lookup_with_body = { RequestCase::new(24_015, LOOKUP, true) },
    ticket = { RequestCase::new(24_030, TICKET, false) },
    ticket_with_body = { RequestCase::new(24_045, TICKET, true) },
    note = { RequestCase::new(24_060, NOTE, false) },
    note_with_body = { RequestCase::new(24_075, NOTE, true) },
    dossier = { RequestCase::new(24_090, DOSSIER, false) },
    dossier_with_body = { RequestCase::new(24_105, DOSSIER, true) },
    whole_runs = { RequestCase { prefill: 0, ..RequestCase::new(24_120, DOSSIER, false) } },
    resumed_dossier = { RequestCase { resumed: true, ..RequestCase::new(24_135, DOSSIER, false) } },
    other_query = { RequestCase { difference: Difference::Query, ..RequestCase::new(24_150, LOOKUP, false) } },
    other_caller = { RequestCase { difference: Difference::Caller, ..RequestCase::new(24_165, LOOKUP, false) } },
    other_caller_of_tickets = { RequestCase { difference: Difference::Caller, ..RequestCase::new(24_180, TICKET, true) } },
    other_method = { RequestCase { difference: Difference::Method, ..RequestCase::new(24_195, LOOKUP, false) } },
    other_body = { RequestCase { difference: Difference::Body, ..RequestCase::new(24_210, TICKET, false) } },
    query_changes = { RequestCase { query_changes: true, ..RequestCase::new(24_315, LOOKUP, false) } },
    query_of_tickets_changes = { RequestCase { query_changes: true, ..RequestCase::new(24_330, TICKET, true) } },
    caller_changes = { RequestCase { caller_change: CallerChange::EachSending, ..RequestCase::new(24_345, LOOKUP, false) } },
    callers_in_turn = { RequestCase { caller_change: CallerChange::InTurn, ..RequestCase::new(24_360, LOOKUP, false) } },
    callers_of_tickets_in_turn = { RequestCase { caller_change: CallerChange::InTurn, ..RequestCase::new(24_375, TICKET, true) } },
    query_and_caller_change = { RequestCase { query_changes: true, caller_change: CallerChange::EachSending, ..RequestCase::new(24_390, LOOKUP, false) } },
    two_at_once = { RequestCase { crashing: 2, ..RequestCase::new(24_225, LOOKUP, false) } },
    an_entry_starts_later = { RequestCase { starts: EntryStarts::One, ..RequestCase::new(24_240, LOOKUP, false) } },
    all_entries_start_again = { RequestCase { starts: EntryStarts::All, ..RequestCase::new(24_255, LOOKUP, false) } },
)]
fn a_request_that_crashes_targets_is_kept_from_them(case: RequestCase) {
    run(async {
        let mut fleet = spawn_fleet(&case).await;
        let load = LoadState::new(&fleet);
        if case.starts == EntryStarts::One {
            load.stop_entry(&mut fleet, 2);
        }
        let sound = spawn_sound(&case, &load);
        sleep(CALM_TIME).await;
        let fault_start = Instant::now();
        let crashing: Vec<_> =
            (0..case.crashing).map(|i| spawn_crashing(&case, &load, i)).collect();
        let mut pending_starts = case.starts != EntryStarts::Never;
        while fault_start.elapsed() < MAX_FAULT_TIME {
            sleep(Duration::from_millis(50)).await;
            let third = last_counted_crash(&fleet.runners, &case);
            if pending_starts && third.is_some_and(|at| at.elapsed() >= START_DELAY) {
                pending_starts = false;
                let started = if case.starts == EntryStarts::All { 0..3 } else { 2..3 };
                load.restart_entries(&mut fleet, started).await;
            }
            let judged = third.map(|at| judged_from(at, &load));
            if !pending_starts && judged.is_some_and(|at| at.elapsed() >= JUDGED_TIME) {
                break;
            }
        }
        let fault_end = Instant::now();
        sound.abort();
        crashing.iter().for_each(JoinHandle::abort);
        load.finish().await;
        let third = last_counted_crash(&fleet.runners, &case).expect("too few crashes");
        let mut violations: Vec<String> = (0..case.crashing)
            .filter_map(|index| reached_too_often(&fleet.runners, index, &case, &load))
            .collect();
        let from = judged_from(third, &load);
        violations.extend(load.succeeds_too_seldom(CALM_TIME, fault_start, from, fault_end));
        let logs = fleet.folder().display().to_string();
        assert_eq!(violations, Vec::<String>::new(), "logs in {logs}");
    });
}

/// One caller that sends the same request again and again collects crashes that others cause.
#[parameterized(
    lookups = { 24_270, LOOKUP, false },
    tickets = { 24_285, TICKET, true },
    notes = { 24_300, NOTE, false },
)]
fn a_sound_request_is_not_refused_after_targets_crashed_by_themselves(
    port: u16,
    kind: CallerKind,
    has_body: bool,
) {
    run(async {
        let difference = Difference::Caller;
        let case = RequestCase { difference, ..RequestCase::new(port, kind, has_body) };
        let fleet = spawn_fleet(&case).await;
        let load = LoadState::new(&fleet);
        let sound = spawn_sound(&case, &load);
        sleep(CALM_TIME).await;
        let fault_start = Instant::now();
        let first = if kind == NOTE { SIZES.prefill } else { SIZES.prefill + SIZES.decode };
        for round in 0..OWN_CRASHES {
            // All targets of the service lose power at once now and then.
            let crashed = if round % 5 == 4 { 0..3 } else { round % 3..round % 3 + 1 };
            crashed.for_each(|index| fleet.runners[first + index].crash());
            sleep(CRASH_PAUSE).await;
        }
        let from = Instant::now() + STABLE_WINDOW;
        sleep(STABLE_WINDOW + JUDGED_TIME).await;
        let end = Instant::now();
        sound.abort();
        load.finish().await;
        let judged = load.sound_between(from, end);
        let is_refused = |r: &&CallerRecord| matches!(r.outcome, CallerOutcome::Own { .. });
        let refused = judged.iter().filter(is_refused).count();
        let logs = fleet.folder().display().to_string();
        assert_eq!(refused, 0, "of {} sound requests; logs in {logs}", judged.len());
        assert_eq!(load.succeeds_too_seldom(CALM_TIME, fault_start, from, end), None);
    });
}

async fn spawn_fleet(case: &RequestCase) -> PlatformFleet {
    let sizes = PlatformSizes { port: case.port, prefill: case.prefill, ..SIZES };
    let fleet = PlatformFleet::spawn(sizes).await.unwrap();
    fleet.runners.iter().for_each(|runner| runner.set_faults(case.faults()));
    fleet
}

fn spawn_sound(case: &RequestCase, load: &LoadState) -> JoinHandle<()> {
    let (case, load) = (*case, load.clone());
    tokio::spawn(async move {
        for number in 0.. {
            load.send(case.sound_request(number), number, false);
            sleep(SOUND_PAUSE).await;
        }
    })
}

fn spawn_crashing(case: &RequestCase, load: &LoadState, index: usize) -> JoinHandle<()> {
    let (case, load) = (*case, load.clone());
    tokio::spawn(async move {
        for number in 0.. {
            load.send(case.crashing_request(index, number), number, true);
            sleep(CRASHING_PAUSE).await;
        }
    })
}

/// Returns the times at which a request crashed targets, in order.
fn crash_times(runners: &[RunnerModel], index: usize) -> Vec<Instant> {
    let cause = Some(CrashCause::Request(RequestCase::name(index)));
    let crashes = runners.iter().flat_map(RunnerModel::crashes);
    let mut times: Vec<Instant> = crashes.filter(|c| c.cause == cause).map(|c| c.at).collect();
    times.sort();
    times
}

/// Returns the crash from which a request must be known: its third one, or the last one of any
/// request if no more come. Two requests at the same targets share crashes, so that one of them
/// may be known without having caused any.
fn counted_crash(runners: &[RunnerModel], index: usize, case: &RequestCase) -> Option<Instant> {
    let last = (0..case.crashing).filter_map(|index| crash_times(runners, index).pop()).max();
    let is_quiet = |last: &Instant| last.elapsed() >= QUIET_TIME;
    crash_times(runners, index).get(COUNTED_CRASH - 1).copied().or(last.filter(is_quiet))
}

/// Returns that crash of the request that had it last.
fn last_counted_crash(runners: &[RunnerModel], case: &RequestCase) -> Option<Instant> {
    let counted = (0..case.crashing).map(|index| counted_crash(runners, index, case));
    counted.collect::<Option<Vec<_>>>()?.into_iter().max()
}

/// Returns from when sound requests are judged, at entries that are all in touch.
fn judged_from(third: Instant, load: &LoadState) -> Instant {
    let entries = locked(&load.entries);
    let started = entries.iter().filter_map(|entry| entry.started).max();
    started.map_or(third, |started| (third + 2 * STABLE_WINDOW).max(started + STABLE_WINDOW))
}

/// Judges how often a request reaches targets once its entries must know it.
fn reached_too_often(
    runners: &[RunnerModel],
    index: usize,
    case: &RequestCase,
    load: &LoadState,
) -> Option<String> {
    let from = counted_crash(runners, index, case)? + STABLE_WINDOW;
    let is_late = |call: &&ReceivedCall| {
        let entry = locked(&load.calls).iter().find(|s| s.id == call.request).map(|s| s.entry);
        call.request.starts_with(&RequestCase::name(index))
            && call.at > from
            && entry.is_some_and(|entry| load.is_in_touch(entry, call.at))
    };
    let calls: Vec<ReceivedCall> = runners.iter().flat_map(RunnerModel::received).collect();
    let reached = count_sendings(calls.iter().filter(is_late));
    let ended = crash_times(runners, index).len();
    (reached > MAX_REACHED).then(|| format!("{reached} repeats sent, {ended} targets crashed"))
}
