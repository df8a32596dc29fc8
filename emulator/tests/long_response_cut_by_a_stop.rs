//! Guards against long responses that a stopping entry begins late and its exit cuts, beside short
//! ones on the same route, which it goes on to serve.

use std::{
    collections::HashSet,
    time::{Duration, Instant},
};

use emulator::stand_in::{
    caller::{CallerKind, CallerOutcome, CallerRequest},
    fleet::{PlatformFleet, PlatformSizes},
    kept_connection::{KeptRecord, send_on_new},
    runner::RunnerFaults,
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    task::JoinHandle,
    time::sleep,
};
use yare::parameterized;

/// Stop grace period in the entries' settings.
const GRACE: Duration = Duration::from_secs(8);
/// Time that callers and routes allow.
const TIMEOUT: Duration = Duration::from_secs(8);
/// Entries that stop, of three.
const STOPPED: usize = 2;
/// Interval of the requests.
const INTERVAL: Duration = Duration::from_millis(25);
/// Time of the requests before the stop, and from the signal on.
const LOAD: (Duration, Duration) = (Duration::from_millis(1500), Duration::from_secs(9));
/// Time in which every second request is a long one.
const LONG_TIME: Duration = Duration::from_millis(550);
/// Time after the signal until which a slow response may run into the exit.
const EARLY: Duration = Duration::from_secs(3);
/// Shares of the short requests that were served before long ones were turned away: those that
/// came up to 3 s after the signal, and from then on to 7 s.
const SERVED: (f64, f64) = (110.0 / 118.0, 77.0 / 148.0);

/// Requests with a long response.
#[derive(Debug, Clone, Copy)]
struct LongRequest {
    kind: CallerKind,
    events: u64,
    pause: Duration,
    /// Time after the signal from which they are sent.
    from: Duration,
}

const fn long(from_ms: u64, kind: CallerKind, events: u64, pause_ms: u64) -> LongRequest {
    let (pause, from) = (Duration::from_millis(pause_ms), Duration::from_millis(from_ms));
    LongRequest { kind, events, pause, from }
}

/// Request with the time after the signal at which it was sent.
struct Sent {
    after: Option<Duration>,
    is_long: bool,
    record: KeptRecord,
}

#[parameterized(
    many_events = { 25_740, long(3050, CallerKind::Dossier, 22, 200) },
    many_events_a_second_later = { 25_820, long(4050, CallerKind::Dossier, 22, 200) },
    many_events_two_seconds_later = { 25_840, long(5050, CallerKind::Dossier, 22, 200) },
    slow_events = { 25_760, long(3050, CallerKind::Dossier, 4, 1100) },
    slow_events_a_second_later = { 25_860, long(4050, CallerKind::Dossier, 4, 1100) },
    slow_body = { 25_780, long(3050, CallerKind::Lookup, 1, 4400) },
    slow_body_a_second_later = { 25_880, long(4050, CallerKind::Lookup, 1, 4400) },
)]
fn long_responses_end_whole_or_not_at_all_while_entries_stop(port: u16, long: LongRequest) {
    tokio::runtime::Runtime::new().unwrap().block_on(async {
        let sizes = PlatformSizes { port, entries: 3, prefill: 2, decode: 4, plain: 3 };
        let mut fleet = PlatformFleet::spawn(sizes).await.unwrap();
        fleet.configure_timeout(2, TIMEOUT);
        let slow = Some(("long".to_owned(), long.pause));
        let faults = RunnerFaults { slow, ..RunnerFaults::default() };
        fleet.runners.iter().for_each(|runner| runner.set_faults(faults.clone()));
        sleep(Duration::from_secs(1)).await;
        let sent = play(&mut fleet, long).await;
        judge(&fleet, &sent);
    });
}

/// Sends requests to the entries that stop, which the platform starts again.
async fn play(fleet: &mut PlatformFleet, long: LongRequest) -> Vec<Sent> {
    let begun = Instant::now();
    let mut signalled: Option<Instant> = None;
    let mut is_restarted = [false; STOPPED];
    let mut calls: Vec<JoinHandle<Option<Sent>>> = Vec::new();
    while begun.elapsed() < LOAD.0 + LOAD.1 {
        if signalled.is_none() && begun.elapsed() >= LOAD.0 {
            (0..STOPPED).for_each(|entry| fleet.entries[entry].signal("TERM").unwrap());
            signalled = Some(Instant::now());
        }
        let after = signalled.map(|at| at.elapsed());
        for (entry, is_restarted) in is_restarted.iter_mut().enumerate() {
            let has_ended = after.is_some() && fleet.entries[entry].wait(Duration::ZERO).is_ok();
            if has_ended && !*is_restarted {
                *is_restarted = true;
                fleet.entries[entry] = fleet.start_entry(entry).unwrap();
            }
        }
        let number = calls.len();
        let is_long_time =
            after.is_some_and(|after| after >= long.from && after <= long.from + LONG_TIME);
        let is_long = is_long_time && number % 4 < 2;
        let request = request(number, is_long.then_some(long), long.kind);
        let entry = fleet.entry(number % STOPPED);
        calls.push(tokio::spawn(async move {
            let record = send_on_new(entry, request, Duration::ZERO).await?;
            Some(Sent { after, is_long, record })
        }));
        sleep(INTERVAL).await;
    }
    let mut sent = Vec::new();
    for call in calls {
        sent.extend(call.await.unwrap());
    }
    sent
}

fn request(number: usize, long: Option<LongRequest>, kind: CallerKind) -> CallerRequest {
    let name = if long.is_some() { "long" } else { "short" };
    let mut request = CallerRequest::new(format!("{name}-{number}"), kind, number as u64 % 5);
    request.deadline = TIMEOUT;
    if let Some(long) = long {
        request.max_output = long.events;
    }
    request
}

fn judge(fleet: &PlatformFleet, sent: &[Sent]) {
    let passed_on: HashSet<String> =
        fleet.runners.iter().flat_map(|runner| runner.arrivals()).collect();
    let is_cut = |sent: &&Sent| {
        let caller = &sent.record.caller;
        let may_be = sent.after.is_none_or(|after| after <= EARLY);
        caller.outcome == CallerOutcome::Broken && passed_on.contains(&caller.request.id) && !may_be
    };
    let cut: Vec<String> = sent.iter().filter(is_cut).map(describe).collect();
    let served = |from: Duration, to: Duration| {
        let short = sent.iter().filter(|sent| {
            !sent.is_long && sent.after.is_some_and(|after| after >= from && after < to)
        });
        let (whole, other): (Vec<&Sent>, Vec<&Sent>) =
            short.partition(|sent| sent.record.caller.outcome == CallerOutcome::Whole);
        println!("{from:?} to {to:?}: {} short whole, {} not", whole.len(), other.len());
        whole.len() as f64 / (whole.len() + other.len()) as f64
    };
    let (early, late) =
        (served(Duration::ZERO, EARLY), served(EARLY, GRACE - Duration::from_secs(1)));
    for long in sent.iter().filter(|sent| sent.is_long) {
        println!("{}", describe(long));
    }
    let logs = fleet.folder().display();
    assert!(cut.is_empty(), "{} cut, logs in {logs}: {}", cut.len(), cut.join("; "));
    assert!(early >= SERVED.0 && late >= SERVED.1, "{early}, {late} served, logs in {logs}");
}

fn describe(sent: &Sent) -> String {
    let Sent { after, record, .. } = sent;
    let took = record.ended_at - record.sent_at;
    format!(
        "{} after {after:?} took {took:?}: {:?}",
        record.caller.request.id, record.caller.outcome
    )
}

/// A caller of HTTP/1.0 learns of a response that fails before any of it was passed on, too.
#[test]
fn a_held_response_that_fails_reaches_a_caller_without_chunks() {
    tokio::runtime::Runtime::new().unwrap().block_on(async {
        let sizes = PlatformSizes { port: 25_800, entries: 1, prefill: 1, decode: 1, plain: 1 };
        let fleet = PlatformFleet::spawn(sizes).await.unwrap();
        fleet.configure_timeout(2, TIMEOUT);
        let slow = Some(("long".to_owned(), TIMEOUT));
        let faults = RunnerFaults { slow, ..RunnerFaults::default() };
        fleet.runners.iter().for_each(|runner| runner.set_faults(faults.clone()));
        sleep(Duration::from_secs(1)).await;
        for number in 0..20 {
            let usual = request(number, None, CallerKind::Lookup);
            send_on_new(fleet.entry(0), usual, Duration::ZERO).await.unwrap();
        }
        fleet.entries[0].signal("TERM").unwrap();
        sleep(EARLY).await;
        let mut stream = TcpStream::connect(fleet.entry(0)).await.unwrap();
        let head = "GET /lookup/a HTTP/1.0\r\nhost: front.example\r\nrequest-id: long-1\r\n\
                    deadline-ms: 8000\r\n\r\n";
        stream.write_all(head.as_bytes()).await.unwrap();
        let mut answer = String::new();
        stream.read_to_string(&mut answer).await.unwrap();
        assert!(answer.starts_with("HTTP/1.0 502"), "{answer:?}");
        assert!(answer.ends_with('}'), "{answer:?}");
    });
}
