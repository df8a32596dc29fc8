//! Guards against requests that a stopping entry takes and does not finish, and against
//! connections that it accepts and closes without an answer.

use std::{
    collections::{BTreeMap, HashSet},
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, Instant},
};

use emulator::stand_in::{
    caller::{CallerKind, CallerOutcome, CallerRecord, CallerRequest},
    fleet::{PlatformFleet, PlatformSizes},
    kept_connection::{BegunPart, KeptConnection, KeptRecord, send_on_new},
    runner::RunnerFaults,
};
use tokio::task::JoinHandle;
use yare::parameterized;

/// Stop grace period in the entries' settings.
const GRACE: Duration = Duration::from_secs(8);
/// Time after which the platform starts a process that exited again.
const RESTART_DELAY: Duration = Duration::from_millis(500);
/// Time in which a request that crosses the close of its connection may end without an answer.
const CROSSING_TIME: Duration = Duration::from_millis(200);
/// Longest time until a stopping entry refuses a request.
const REFUSAL_TIME: Duration = Duration::from_millis(300);
/// Pause of a caller that was refused.
const REFUSED_PAUSE: Duration = Duration::from_millis(100);
/// Interval at which callers whose connections were closed reconnect.
const ROUND: Duration = Duration::from_millis(25);
const KINDS: [CallerKind; 4] =
    [CallerKind::Note, CallerKind::Ticket, CallerKind::Dossier, CallerKind::Lookup];

fn sizes(port: u16, entries: usize) -> PlatformSizes {
    PlatformSizes { port, entries, prefill: 2, decode: 4, plain: 3 }
}

fn set_event_gap(fleet: &PlatformFleet, gap: Duration) {
    let faults = RunnerFaults { event_gap: Some(gap), ..RunnerFaults::default() };
    fleet.runners.iter().for_each(|runner| runner.set_faults(faults.clone()));
}

/// Stop of one entry process.
struct Stop {
    entry: SocketAddr,
    signalled: Instant,
    /// Time from the signal to the exit, and whether its status was 0.
    exit: Option<(Duration, bool)>,
}

impl Stop {
    fn send(fleet: &PlatformFleet, index: usize) -> Stop {
        let signalled = Instant::now();
        fleet.entries[index].signal("TERM").unwrap();
        Stop { entry: fleet.entry(index), signalled, exit: None }
    }

    /// Returns whether a request was at the process that stopped, after its signal.
    fn concerns(&self, record: &KeptRecord) -> bool {
        let exited = self.exit.map(|(took, _)| self.signalled + took);
        self.entry == record.entry
            && self.signalled <= record.ended_at
            && exited.is_none_or(|exited| record.sent_at <= exited)
    }

    fn check_exit(&mut self, fleet: &mut PlatformFleet, index: usize) -> bool {
        if self.exit.is_none()
            && let Ok(status) = fleet.entries[index].wait(Duration::ZERO)
        {
            self.exit = Some((self.signalled.elapsed(), status.success()));
        }
        self.exit.is_some()
    }
}

/// Waits until all entries have exited; those that need longer than they may are left.
async fn wait_for_exits(fleet: &mut PlatformFleet, stops: &mut [Stop]) {
    let is_over = |stop: &Stop| stop.signalled.elapsed() > GRACE + Duration::from_secs(1);
    loop {
        let mut left = 0;
        for (index, stop) in stops.iter_mut().enumerate() {
            left += usize::from(!stop.check_exit(fleet, index) && !is_over(stop));
        }
        if left == 0 {
            return;
        }
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

/// Violations by their kind, with the requests or processes that they concern.
#[derive(Default)]
struct Violations(BTreeMap<&'static str, Vec<String>>);

impl Violations {
    fn add(&mut self, kind: &'static str, what: String) {
        self.0.entry(kind).or_default().push(what);
    }

    /// Judges all records of a test, its stops and the entries' logs.
    fn judge(fleet: &PlatformFleet, records: &[KeptRecord], stops: &[Stop]) -> Violations {
        let mut violations = Violations::default();
        let passed_on: HashSet<String> =
            fleet.runners.iter().flat_map(|runner| runner.arrivals()).collect();
        for record in records {
            let stop = stops.iter().find(|stop| stop.concerns(record));
            let passed_on = passed_on.contains(&record.caller.request.id);
            if let Some(kind) = violation_of(record, passed_on, stop) {
                violations.add(kind, describe(record, stop));
            }
        }
        let callers: Vec<CallerRecord> =
            records.iter().map(|record| record.caller.clone()).collect();
        for promise in fleet.judge(&callers) {
            violations.add("promise broken", format!("{promise:?}"));
        }
        for stop in stops {
            if !stop.exit.is_some_and(|(took, success)| took <= GRACE && success) {
                violations.add("exit late or with an error", format!("{:?}", stop.exit));
            }
        }
        violations.judge_logs(fleet, stops.len());
        violations
    }

    /// Looks for requests that the entries' own logs report as cut.
    fn judge_logs(&mut self, fleet: &PlatformFleet, stops: usize) {
        let mut stopped = 0;
        for file in std::fs::read_dir(fleet.folder()).unwrap() {
            let path = file.unwrap().path();
            if path.extension().is_none_or(|extension| extension != "log") {
                continue;
            }
            let mut stopping = false;
            for line in std::fs::read_to_string(&path).unwrap().lines() {
                let line: serde_json::Value = serde_json::from_str(line).unwrap();
                let text = |name: &str| line["kvs"][name].as_str().unwrap_or_default().to_owned();
                match line["message"].as_str() {
                    Some("stopping") => stopping = true,
                    Some("stopped") => {
                        stopped += 1;
                        if text("in_flight") != "0" {
                            self.add("stopped with requests in flight", text("in_flight"));
                        }
                    }
                    Some("request ended")
                        if stopping
                            && text("whole") == "false"
                            && ["0", "200"].contains(&text("status").as_str()) =>
                    {
                        self.add("logged as cut", text("request"));
                    }
                    _ => {}
                }
            }
        }
        if stopped != stops {
            self.add("stops missing in the logs", format!("{stopped} of {stops}"));
        }
    }

    fn assert_none(&self, fleet: &PlatformFleet, requests: usize) {
        let lines = self.0.iter().map(|(kind, all)| {
            let first: Vec<_> = all.iter().take(4).map(String::as_str).collect();
            format!("{} {kind}: {}", all.len(), first.join("; "))
        });
        let lines: Vec<String> = lines.collect();
        let logs = fleet.folder().display();
        assert!(lines.is_empty(), "{requests} requests, logs in {logs}\n{}", lines.join("\n"));
    }
}

fn violation_of(record: &KeptRecord, passed_on: bool, stop: Option<&Stop>) -> Option<&'static str> {
    match &record.caller.outcome {
        CallerOutcome::Whole => None,
        CallerOutcome::Own { status: 503, retry_after: true } => {
            let sent_after = stop.is_some_and(|stop| record.sent_at > stop.signalled);
            let sent_at = record.written_at.unwrap_or(record.sent_at);
            match sent_after {
                true if !record.closes => Some("refused without `Connection: close`"),
                true if record.ended_at - sent_at > REFUSAL_TIME => Some("refused late"),
                _ => None,
            }
        }
        CallerOutcome::Broken if passed_on => Some("passed on and cut"),
        CallerOutcome::Broken => {
            let waited = record.written_at.map(|written_at| record.ended_at - written_at);
            waited.filter(|time| *time > CROSSING_TIME).map(|_| "unanswered for long")
        }
        _ => Some("answered otherwise"),
    }
}

fn describe(record: &KeptRecord, stop: Option<&Stop>) -> String {
    let since = |at: Instant| match stop {
        Some(stop) if at >= stop.signalled => (at - stop.signalled).as_millis().to_string(),
        _ => "before".to_owned(),
    };
    format!(
        "{} sent {} ended {} ms after the signal, {:?}",
        record.caller.request.id,
        since(record.sent_at),
        since(record.ended_at),
        record.caller.outcome
    )
}

/// Callers that send one request after the other, over connections that they keep, to whichever
/// entry accepts them.
struct SteadyCallers {
    done: Arc<AtomicBool>,
    calls: Vec<JoinHandle<Vec<KeptRecord>>>,
}

impl SteadyCallers {
    fn start(fleet: &PlatformFleet, entries: usize, count: usize) -> SteadyCallers {
        let done = Arc::new(AtomicBool::new(false));
        let entries: Vec<SocketAddr> = (0..entries).map(|index| fleet.entry(index)).collect();
        let call = |number: usize| {
            tokio::spawn(send_steadily(entries.clone(), number, KINDS[number % 4], done.clone()))
        };
        let calls = (0..count).map(call).collect();
        SteadyCallers { done, calls }
    }

    async fn finish(self) -> Vec<KeptRecord> {
        self.done.store(true, Ordering::Relaxed);
        collect(self.calls).await.into_iter().flatten().collect()
    }
}

async fn send_steadily(
    entries: Vec<SocketAddr>,
    number: usize,
    kind: CallerKind,
    done: Arc<AtomicBool>,
) -> Vec<KeptRecord> {
    let begun = Instant::now();
    let mut records: Vec<KeptRecord> = Vec::new();
    // Callers of every kind spread over all entries.
    let mut turn = number / 4;
    let mut kept: Option<KeptConnection> = None;
    while !done.load(Ordering::Relaxed) {
        let mut connection = match kept.take().filter(KeptConnection::is_usable) {
            Some(connection) => connection,
            None => {
                turn += 1;
                match KeptConnection::open(entries[turn % entries.len()]).await {
                    Ok(connection) => connection,
                    Err(_) => {
                        wait_for_next_round(begun).await;
                        continue;
                    }
                }
            }
        };
        let id = format!("{kind:?}-{number}-{}", records.len()).to_lowercase();
        let record = connection.send(CallerRequest::new(id, kind, number as u64 % 5)).await;
        let outcome = record.caller.outcome.clone();
        records.push(record);
        kept = Some(connection);
        match outcome {
            CallerOutcome::Own { .. } => tokio::time::sleep(REFUSED_PAUSE).await,
            CallerOutcome::Broken => wait_for_next_round(begun).await,
            _ => {}
        }
    }
    records
}

/// Callers reconnect at the same time, so that an entry finds their requests when it accepts them.
async fn wait_for_next_round(begun: Instant) {
    let rounds = begun.elapsed().div_duration_f64(ROUND).floor() as u32 + 1;
    tokio::time::sleep_until((begun + ROUND * rounds).into()).await;
}

async fn collect<T>(calls: Vec<JoinHandle<T>>) -> Vec<T> {
    let mut results = Vec::new();
    for call in calls {
        results.push(call.await.unwrap());
    }
    results
}

/// Times after the signal at which slow senders write the last part of their requests. The
/// streams that they ask for leave the entry no idle moment if it takes all of them.
const SLOW_SENDERS_MS: [u64; 5] = [3500, 4300, 5100, 5900, 6500];

/// Sends requests that begin while the entry still accepts all requests, and end later.
fn send_slowly(entry: SocketAddr, signalled: Instant) -> Vec<JoinHandle<Option<KeptRecord>>> {
    let call = |at_ms| {
        tokio::spawn(async move {
            wait_until(signalled, Duration::from_millis(2900)).await;
            let id = format!("slow-{at_ms}-{}", entry.port());
            let request = CallerRequest::new(id, CallerKind::Dossier, 1);
            let mut connection = KeptConnection::open(entry).await.ok()?;
            connection.begin(&request, BegunPart::HalfHead).await.ok()?;
            wait_until(signalled, Duration::from_millis(at_ms)).await;
            Some(connection.send(request).await)
        })
    };
    SLOW_SENDERS_MS.into_iter().map(call).collect()
}

/// Stops all entries in turn, and starts each again as the platform does. Returns the stops
/// and the records of slow senders.
async fn roll(
    fleet: &mut PlatformFleet,
    entries: usize,
    gap: Duration,
) -> (Vec<Stop>, Vec<KeptRecord>) {
    let begun = Instant::now();
    let mut stops: Vec<Stop> = Vec::new();
    let mut slow = Vec::new();
    let mut restarted = vec![false; entries];
    while restarted.contains(&false) && begun.elapsed() < GRACE * 2 {
        if stops.len() < entries && begun.elapsed() >= gap * stops.len() as u32 {
            let stop = Stop::send(fleet, stops.len());
            slow.extend(send_slowly(stop.entry, stop.signalled));
            stops.push(stop);
        }
        for (index, stop) in stops.iter_mut().enumerate() {
            let exited = stop.check_exit(fleet, index);
            let ended = stop.exit.map(|(took, _)| stop.signalled + took + RESTART_DELAY);
            if exited && !restarted[index] && ended.is_some_and(|at| Instant::now() >= at) {
                fleet.entries[index] = fleet.start_entry(index).unwrap();
                restarted[index] = true;
            }
        }
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    (stops, collect(slow).await.into_iter().flatten().collect())
}

#[parameterized(
    half_a_second_apart = { 23_000, 500 },
    a_second_apart = { 23_020, 1000 },
)]
fn requests_end_whole_while_all_entries_stop(port: u16, gap_ms: u64) {
    run(async {
        let mut fleet = PlatformFleet::spawn(sizes(port, 3)).await.unwrap();
        // Streams last two seconds.
        set_event_gap(&fleet, Duration::from_millis(500));
        let callers = SteadyCallers::start(&fleet, 3, 32);
        tokio::time::sleep(Duration::from_millis(700)).await;
        let (stops, slow) = roll(&mut fleet, 3, Duration::from_millis(gap_ms)).await;
        for index in 0..3 {
            fleet.wait_until_ready(index).await.unwrap();
        }
        tokio::time::sleep(Duration::from_millis(200)).await;
        let mut records = callers.finish().await;
        records.extend(slow);
        assert!(records.len() > 400, "{} requests", records.len());
        Violations::judge(&fleet, &records, &stops).assert_none(&fleet, records.len());
    });
}

/// Time after the signal at which the request that keeps a stopping entry busy is sent.
const BUSY_FROM: Duration = Duration::from_millis(2400);

/// Sends the request that keeps an entry busy until `busy_until` after the signal.
fn keep_busy(entry: SocketAddr, signalled: Instant) -> JoinHandle<Option<KeptRecord>> {
    tokio::spawn(async move {
        tokio::time::sleep_until((signalled + BUSY_FROM).into()).await;
        let request = CallerRequest::new(format!("busy-{}", entry.port()), CallerKind::Dossier, 1);
        send_on_new(entry, request, Duration::ZERO).await
    })
}

async fn wait_until(signalled: Instant, after: Duration) {
    tokio::time::sleep_until((signalled + after).into()).await;
}

/// Connections to one entry whose next requests are sent at the same instant: some idle ones,
/// and some on which a part of the request was written before.
struct PreparedCallers {
    entry: SocketAddr,
    idle: Vec<KeptConnection>,
    begun: Vec<(KeptConnection, CallerRequest)>,
    records: Vec<KeptRecord>,
}

impl PreparedCallers {
    fn request(&self, name: &str, kind: CallerKind) -> CallerRequest {
        let id = format!("{name}-{kind:?}-{}", self.entry.port()).to_lowercase();
        CallerRequest::new(id, kind, 1)
    }

    /// Opens connections and uses each for a first request.
    async fn open(entry: SocketAddr) -> PreparedCallers {
        let mut callers =
            PreparedCallers { entry, idle: Vec::new(), begun: Vec::new(), records: Vec::new() };
        for kind in KINDS {
            let mut connection = KeptConnection::open(entry).await.unwrap();
            callers.records.push(connection.send(callers.request("first", kind)).await);
            callers.idle.push(connection);
        }
        callers
    }

    async fn begin(&mut self) {
        for (name, part) in [("head", BegunPart::HalfHead), ("body", BegunPart::HalfBody)] {
            for kind in [CallerKind::Note, CallerKind::Ticket] {
                let request = self.request(name, kind);
                // An entry may have stopped to accept connections.
                let Ok(mut connection) = KeptConnection::open(self.entry).await else { continue };
                if connection.begin(&request, part).await.is_ok() {
                    self.begun.push((connection, request));
                }
            }
        }
    }

    /// Sends all prepared requests, and one of each kind on new connections.
    async fn send(mut self) -> Vec<KeptRecord> {
        let entry = self.entry;
        let mut calls = Vec::new();
        for (mut connection, request) in std::mem::take(&mut self.begun) {
            calls.push(tokio::spawn(async move { Some(connection.send(request).await) }));
        }
        for (mut connection, kind) in std::mem::take(&mut self.idle).into_iter().zip(KINDS) {
            let request = self.request("kept", kind);
            if connection.is_usable() {
                calls.push(tokio::spawn(async move { Some(connection.send(request).await) }));
            }
        }
        for kind in KINDS {
            let request = self.request("new", kind);
            calls.push(tokio::spawn(send_on_new(entry, request, Duration::ZERO)));
        }
        self.records.extend(collect(calls).await.into_iter().flatten());
        self.records
    }
}

/// Times from the instant at which an entry becomes idle to its next requests; each is tried at
/// an entry of its own.
const IDLE_TIMES_MS: [u64; 5] = [5, 20, 40, 50, 60];

#[parameterized(
    early = { 23_040, 3400 },
    halfway = { 23_060, 4700 },
    late = { 23_080, 6300 },
)]
fn requests_end_whole_at_an_entry_that_is_idle_for_an_instant(port: u16, busy_until_ms: u64) {
    run(async {
        let entries = IDLE_TIMES_MS.len();
        let mut fleet = PlatformFleet::spawn(sizes(port, entries)).await.unwrap();
        let mut prepared = Vec::new();
        for index in 0..entries {
            prepared.push(PreparedCallers::open(fleet.entry(index)).await);
        }
        let mut stops: Vec<Stop> = (0..entries).map(|index| Stop::send(&fleet, index)).collect();
        let signalled = stops[entries - 1].signalled;
        // A stream of four events, and its prefill.
        set_event_gap(&fleet, (Duration::from_millis(busy_until_ms - 50) - BUSY_FROM) / 4);
        let calls: Vec<_> = prepared
            .into_iter()
            .zip(IDLE_TIMES_MS)
            .map(|(mut callers, idle_ms)| {
                tokio::spawn(async move {
                    let busy = keep_busy(callers.entry, signalled);
                    wait_until(signalled, Duration::from_millis(2900)).await;
                    callers.begin().await;
                    let busy = busy.await.unwrap();
                    tokio::time::sleep(Duration::from_millis(idle_ms)).await;
                    busy.into_iter().chain(callers.send().await).collect::<Vec<KeptRecord>>()
                })
            })
            .collect();
        wait_until(signalled, Duration::from_millis(2900)).await;
        set_event_gap(&fleet, Duration::from_millis(60));
        let records: Vec<KeptRecord> = collect(calls).await.into_iter().flatten().collect();
        wait_for_exits(&mut fleet, &mut stops).await;
        Violations::judge(&fleet, &records, &stops).assert_none(&fleet, records.len());
    });
}

/// Times after the signal between which new connections are opened.
const PROBED_MS: std::ops::Range<u64> = 3300..7000;
/// Time until which the entry is certainly still at work, so that each has to be answered.
const ANSWERED_UNTIL: Duration = Duration::from_millis(6100);

/// Requests that are not yet there when the entry accepts their connection need an answer too.
#[parameterized(
    requests_at_once = { 23_100, 0 },
    requests_a_little_later = { 23_110, 15 },
)]
fn new_connections_are_answered_while_an_entry_stops(port: u16, delay_ms: u64) {
    run(async {
        let mut fleet = PlatformFleet::spawn(sizes(port, 1)).await.unwrap();
        let entry = fleet.entry(0);
        let mut stops = vec![Stop::send(&fleet, 0)];
        let signalled = stops[0].signalled;
        set_event_gap(&fleet, Duration::from_millis(950));
        let busy = keep_busy(entry, signalled);
        wait_until(signalled, Duration::from_millis(2900)).await;
        set_event_gap(&fleet, Duration::from_millis(60));
        let mut calls = Vec::new();
        for (number, at_ms) in PROBED_MS.step_by(50).enumerate() {
            wait_until(signalled, Duration::from_millis(at_ms)).await;
            let request = CallerRequest::new(format!("new-{number}"), KINDS[number % 4], 1);
            let delay = Duration::from_millis(delay_ms);
            calls.push(tokio::spawn(send_on_new(entry, request, delay)));
        }
        let mut records: Vec<KeptRecord> = collect(calls).await.into_iter().flatten().collect();
        records.extend(busy.await.unwrap());
        wait_for_exits(&mut fleet, &mut stops).await;
        let mut violations = Violations::judge(&fleet, &records, &stops);
        let unanswered = records.iter().filter(|record| {
            record.caller.outcome == CallerOutcome::Broken
                && record.sent_at < signalled + ANSWERED_UNTIL
        });
        for record in unanswered {
            violations.add("new connection without an answer", describe(record, stops.first()));
        }
        violations.assert_none(&fleet, records.len());
    });
}

/// Most notes end within a tenth of a second. One that takes almost its route's time must not be
/// taken so late that the exit cuts it, as it may not be repeated.
#[parameterized(
    halfway = { 23_120, 4200 },
    late = { 23_140, 5000 },
)]
fn rare_long_requests_are_not_cut_by_a_stop_in_calm(port: u16, long_from_ms: u64) {
    run(async {
        let mut fleet = PlatformFleet::spawn(sizes(port, 2)).await.unwrap();
        let entry = fleet.entry(0);
        let mut records = Vec::new();
        for number in 0..20 {
            let request = CallerRequest::new(format!("usual-{number}"), CallerKind::Note, 1);
            records.extend(send_on_new(entry, request, Duration::ZERO).await);
        }
        let mut stops = vec![Stop::send(&fleet, 0)];
        let signalled = stops[0].signalled;
        set_event_gap(&fleet, Duration::from_millis(950));
        let busy = keep_busy(entry, signalled);
        wait_until(signalled, Duration::from_millis(long_from_ms)).await;
        set_event_gap(&fleet, Duration::from_millis(590));
        let calls = (0..12).map(|number| {
            let delay = Duration::from_millis(50) * number;
            let request = CallerRequest::new(format!("long-{number}"), CallerKind::Note, 1);
            tokio::spawn(async move {
                tokio::time::sleep(delay).await;
                send_on_new(entry, request, Duration::ZERO).await
            })
        });
        let calls = calls.collect();
        records.extend(collect(calls).await.into_iter().flatten());
        records.extend(busy.await.unwrap());
        wait_for_exits(&mut fleet, &mut stops[..1]).await;
        Violations::judge(&fleet, &records, &stops).assert_none(&fleet, records.len());
    });
}

fn run(work: impl Future<Output = ()>) {
    tokio::runtime::Runtime::new().unwrap().block_on(work);
}
