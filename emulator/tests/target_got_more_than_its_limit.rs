//! Guards against targets that get more requests than they state to take from all entries.

mod support;

use std::time::Duration;

use emulator::stand_in::{
    caller::{CallerKind, CallerOutcome, CallerRecord, CallerRequest},
    fleet::{PlatformFleet, PlatformSizes},
    runner::{RunnerFaults, RunnerModel},
};
use tokio::{
    task::JoinHandle,
    time::{Instant, sleep},
};
use yare::parameterized;

use support::{LoadState, STABLE_WINDOW, run};

/// Time in which the users count requests.
const COUNTED_TIME: Duration = Duration::from_secs(4);
/// Share of a limit that may be exceeded, and number of requests on top, by the same rule.
const ALLOWED_FACTOR: f64 = 1.5;
const ALLOWED_EXTRA: f64 = 5.0;
/// Smallest share of a limit that is used while more requests than it come.
const MIN_USED: f64 = 0.6;
/// Smallest share of requests that are served where other targets take all.
const MIN_SERVED: f64 = 0.9;

const SIZES: PlatformSizes = PlatformSizes { port: 0, entries: 3, prefill: 2, decode: 5, plain: 3 };
const CALM_TIME: Duration = Duration::from_secs(2);
/// Time from the first statement of a limit to the end of the load.
const LIMITED_TIME: Duration = Duration::from_secs(12);
/// Time from the first statement to a change.
const CHANGE_TIME: Duration = Duration::from_secs(5);
/// Pause between requests, in all.
const LOAD_PAUSE: Duration = Duration::from_millis(25);
/// Time for which a frozen entry does not run.
const FREEZE_TIME: Duration = Duration::from_secs(2);
/// Longest time of a refusal, which is not held back.
const MAX_REFUSAL_TIME: Duration = Duration::from_millis(200);

const LOOKUP: CallerKind = CallerKind::Lookup;
const NOTE: CallerKind = CallerKind::Note;
const DOSSIER: CallerKind = CallerKind::Dossier;

/// Targets that state a limit, by their place in the fleet.
#[derive(Debug, Clone, Copy)]
enum LimitedTargets {
    OnePrefill,
    OneDecode,
    AllDecode,
    OnePlain,
    AllPlain,
}

impl LimitedTargets {
    fn indexes(self) -> std::ops::Range<usize> {
        let (decode, plain) = (SIZES.prefill, SIZES.prefill + SIZES.decode);
        match self {
            LimitedTargets::OnePrefill => 0..1,
            LimitedTargets::OneDecode => decode..decode + 1,
            LimitedTargets::AllDecode => decode..plain,
            LimitedTargets::OnePlain => plain..plain + 1,
            LimitedTargets::AllPlain => plain..plain + SIZES.plain,
        }
    }

    fn is_all(self) -> bool {
        matches!(self, LimitedTargets::AllDecode | LimitedTargets::AllPlain)
    }
}

/// What happens five seconds after the first statement.
#[derive(Debug, Clone, Copy, PartialEq)]
enum LimitChange {
    Nothing,
    /// The limit becomes another one.
    Becomes(f64),
    /// The targets state no limit any more.
    Dropped,
    /// All callers move to another entry.
    CallersMove,
    EntryStarts,
    EntryStops,
    EntryFreezes,
}

#[derive(Debug, Clone, Copy)]
struct LimitCase {
    port: u16,
    kind: CallerKind,
    targets: LimitedTargets,
    limit: f64,
    /// Omits the limit from one response in this many; 0 omits none.
    gap: u64,
    /// Whether all callers come to the first entry.
    one_entry: bool,
    change: LimitChange,
}

impl LimitCase {
    const fn new(port: u16, kind: CallerKind, targets: LimitedTargets) -> LimitCase {
        let (limit, gap, one_entry) = (5.0, 0, false);
        LimitCase { port, kind, targets, limit, gap, one_entry, change: LimitChange::Nothing }
    }

    fn state_limit(&self, fleet: &PlatformFleet, limit: Option<String>) {
        for runner in &fleet.runners[self.targets.indexes()] {
            let limit = limit.clone();
            let faults = RunnerFaults { limit, limit_gap: self.gap, ..RunnerFaults::default() };
            runner.set_faults(faults);
        }
    }

    fn request(&self, number: usize) -> CallerRequest {
        let mut request =
            CallerRequest::new(format!("load-{number}"), self.kind, number as u64 % 5);
        request.path_rest = format!("thing-{number}");
        request
    }
}

const ONE: LimitedTargets = LimitedTargets::OnePlain;
const ALL: LimitedTargets = LimitedTargets::AllPlain;

#[parameterized(
    one_plain_target = { LimitCase::new(25_000, LOOKUP, ONE) },
    all_plain_targets = { LimitCase::new(25_015, LOOKUP, ALL) },
    one_decode_engine = { LimitCase { limit: 1.0, ..LimitCase::new(25_030, NOTE, LimitedTargets::OneDecode) } },
    one_prefill_engine = { LimitCase::new(25_045, DOSSIER, LimitedTargets::OnePrefill) },
    all_decode_engines = { LimitCase { limit: 2.0, ..LimitCase::new(25_060, NOTE, LimitedTargets::AllDecode) } },
    all_decode_engines_of_dossiers = { LimitCase { limit: 2.0, ..LimitCase::new(25_075, DOSSIER, LimitedTargets::AllDecode) } },
    callers_at_one_entry = { LimitCase { one_entry: true, ..LimitCase::new(25_090, LOOKUP, ALL) } },
    callers_move = { LimitCase { one_entry: true, change: LimitChange::CallersMove, ..LimitCase::new(25_105, LOOKUP, ALL) } },
    lowered = { LimitCase { limit: 10.0, change: LimitChange::Becomes(4.0), ..LimitCase::new(25_120, LOOKUP, ALL) } },
    raised = { LimitCase { limit: 2.0, change: LimitChange::Becomes(8.0), ..LimitCase::new(25_135, LOOKUP, ALL) } },
    dropped = { LimitCase { limit: 2.0, change: LimitChange::Dropped, ..LimitCase::new(25_150, LOOKUP, ALL) } },
    absent_from_some_responses = { LimitCase { gap: 3, ..LimitCase::new(25_165, LOOKUP, ALL) } },
    below_one_a_second = { LimitCase { limit: 0.5, ..LimitCase::new(25_180, LOOKUP, ONE) } },
    zero = { LimitCase { limit: 0.0, ..LimitCase::new(25_195, LOOKUP, ONE) } },
    an_entry_starts = { LimitCase { change: LimitChange::EntryStarts, ..LimitCase::new(25_210, LOOKUP, ALL) } },
    an_entry_stops = { LimitCase { change: LimitChange::EntryStops, ..LimitCase::new(25_225, LOOKUP, ALL) } },
    an_entry_freezes = { LimitCase { change: LimitChange::EntryFreezes, ..LimitCase::new(25_240, LOOKUP, ALL) } },
)]
fn a_target_gets_no_more_than_its_limit(case: LimitCase) {
    run(async {
        let sizes = PlatformSizes { port: case.port, ..SIZES };
        let mut fleet = PlatformFleet::spawn(sizes).await.unwrap();
        let load = LoadState::new(&fleet);
        if case.change == LimitChange::EntryStarts {
            load.stop_entry(&mut fleet, 2);
        }
        let mut callers = spawn_load(&case, &load, 0);
        sleep(CALM_TIME).await;
        let stated = Instant::now();
        case.state_limit(&fleet, Some(case.limit.to_string()));
        sleep(CHANGE_TIME).await;
        change(&case, &mut fleet, &load, &mut callers).await;
        let changed = Instant::now();
        sleep((stated + LIMITED_TIME).saturating_duration_since(changed)).await;
        let end = Instant::now();
        callers.abort();
        load.finish().await;
        let mut violations = Vec::new();
        for runner in &fleet.runners[case.targets.indexes()] {
            violations.extend(judge_target(&case, runner, stated, changed, end));
        }
        violations.extend(judge_callers(&case, &load, stated + STABLE_WINDOW, changed, end));
        let logs = fleet.folder().display().to_string();
        assert_eq!(violations, Vec::<String>::new(), "logs in {logs}");
    });
}

/// What is no decimal number of requests limits nothing.
#[parameterized(
    negative = { 25_255, "-3" },
    text = { 25_270, "few" },
    not_a_number = { 25_285, "NaN" },
    infinite = { 25_300, "inf" },
    huge = { 25_315, "1e300" },
    empty = { 25_330, "" },
    two_numbers = { 25_345, "3, 4" },
)]
fn a_limit_that_cannot_be_read_limits_nothing(port: u16, text: &str) {
    run(async {
        let case = LimitCase::new(port, LOOKUP, ALL);
        let fleet = PlatformFleet::spawn(PlatformSizes { port: case.port, ..SIZES }).await.unwrap();
        case.state_limit(&fleet, Some(text.to_owned()));
        let load = LoadState::new(&fleet);
        let callers = spawn_load(&case, &load, 0);
        let start = Instant::now();
        sleep(STABLE_WINDOW + CALM_TIME).await;
        callers.abort();
        load.finish().await;
        let records = load.sound_between(start, Instant::now());
        let served = served_share(&records);
        assert!(served >= MIN_SERVED, "{served:.2} of {} served", records.len());
    });
}

/// Makes the change of a case, and ends it where it has an end.
async fn change(
    case: &LimitCase,
    fleet: &mut PlatformFleet,
    load: &LoadState,
    callers: &mut JoinHandle<()>,
) {
    match case.change {
        LimitChange::Nothing => {}
        LimitChange::Becomes(limit) => case.state_limit(fleet, Some(limit.to_string())),
        LimitChange::Dropped => case.state_limit(fleet, None),
        LimitChange::CallersMove => {
            callers.abort();
            *callers = spawn_load(case, load, 1);
        }
        LimitChange::EntryStarts => load.restart_entries(fleet, 2..3).await,
        LimitChange::EntryStops => load.stop_entry(fleet, 2),
        LimitChange::EntryFreezes => {
            fleet.entries[2].signal("STOP").unwrap();
            sleep(FREEZE_TIME).await;
            fleet.entries[2].signal("CONT").unwrap();
        }
    }
}

/// Sends requests to the entries in turn, or all to one of them.
fn spawn_load(case: &LimitCase, load: &LoadState, first_entry: usize) -> JoinHandle<()> {
    let (case, load) = (*case, load.clone());
    tokio::spawn(async move {
        for number in 0.. {
            let entry = if case.one_entry { first_entry } else { number };
            load.send(case.request(1 + 100_000 * first_entry + number), entry, false);
            sleep(LOAD_PAUSE).await;
        }
    })
}

/// Judges what reached one target in each window, and how much of its limit was used.
fn judge_target(
    case: &LimitCase,
    runner: &RunnerModel,
    stated: Instant,
    changed: Instant,
    end: Instant,
) -> Vec<String> {
    let received = runner.received();
    let count = |from: Instant, to: Instant| {
        received.iter().filter(|call| call.at >= from && call.at < to).count() as f64
    };
    let mut spans = vec![(stated, changed, case.limit)];
    match case.change {
        LimitChange::Becomes(limit) => spans.push((changed, end, limit)),
        LimitChange::Dropped => {}
        _ => spans = vec![(stated, end, case.limit)],
    }
    let mut violations = Vec::new();
    for (from, to, limit) in spans {
        let first = from + STABLE_WINDOW;
        let allowed = ALLOWED_FACTOR * limit * COUNTED_TIME.as_secs_f64() + ALLOWED_EXTRA;
        let starts = received.iter().map(|call| call.at).filter(|at| *at >= first && *at < to);
        let counted = starts.map(|at| count(at, (at + COUNTED_TIME).min(to)));
        let most = counted.fold(0.0, f64::max);
        if most > allowed {
            violations.push(format!("{}: {most} in 4 s, allowed {allowed}", runner.id));
        }
        let seconds = (to - first).as_secs_f64();
        let used = count(first, to) / seconds;
        eprintln!("{}: most {most} in 4 s, {used:.1} a second of {limit}", runner.id);
        // Where one target of many is limited, the others may be the better choice.
        if case.targets.is_all() && used < MIN_USED * limit {
            violations.push(format!("{}: {used:.1} a second of {limit}", runner.id));
        }
    }
    violations
}

/// Judges how callers fare: all are served where targets without a limit are left, and what
/// cannot be served is refused at once, with a time to return.
fn judge_callers(
    case: &LimitCase,
    load: &LoadState,
    from: Instant,
    changed: Instant,
    end: Instant,
) -> Vec<String> {
    let mut violations = Vec::new();
    let records = load.sound_between(from, end);
    // Requests at the frozen entry end late, after their time.
    let is_judged = case.change != LimitChange::EntryFreezes;
    for record in records.iter().filter(|_| is_judged) {
        let CallerOutcome::Own { status, retry_after } = record.outcome else { continue };
        let (id, took) = (&record.request.id, record.took);
        if status != 503 || !retry_after || took > MAX_REFUSAL_TIME {
            violations.push(format!("{id}: {status} after {took:?}"));
        }
    }
    let judged = match case.change {
        LimitChange::Dropped => load.sound_between(changed + STABLE_WINDOW, end),
        _ if case.targets.is_all() => return violations,
        _ => records,
    };
    let served = served_share(&judged);
    if served < MIN_SERVED {
        violations.push(format!("{served:.2} of {} served", judged.len()));
    }
    violations
}

fn served_share(records: &[CallerRecord]) -> f64 {
    let whole = records.iter().filter(|record| record.outcome == CallerOutcome::Whole).count();
    whole as f64 / records.len().max(1) as f64
}
