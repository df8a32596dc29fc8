//! Guards against targets in trouble that send bytes without end, until their connection is
//! closed: such a connection has to be closed soon, and costs neither memory nor the time of
//! other requests.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use bytes::Bytes;
use emulator::{
    load::LoadClient,
    stand_in::{
        caller::{CallerKind, CallerOutcome, CallerRecord, CallerRequest, send},
        endless::{BytePace, ENDLESS_ID, EndlessCall, EndlessFault, EndlessPlace, EndlessRecord},
        fleet::{PlatformFleet, PlatformSizes},
        runner::{RunnerFaults, RunnerModel},
    },
};
use serde_json::{Value, json};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpSocket, TcpStream},
    task::JoinHandle,
};
use yare::parameterized;

/// Requests that may meet the target in trouble, and the pause after each.
const VICTIMS: (u64, Duration) = (8, Duration::from_millis(60));
/// The same for long prompts, one after the other: without the prefill engine, a decode engine
/// takes 230 ms for one, and an entry refuses those that would wait for it too long.
const LONG_VICTIMS: (u64, Duration) = (3, Duration::from_millis(700));
/// Requests that get answers without end at the same time.
const ENDLESS_ANSWERS: usize = 4;
/// Pause between the requests beside them.
const SOUND_PAUSE: Duration = Duration::from_millis(25);
/// Longest time of a request beside them; most take less than a tenth of it.
const SOUND_TIME: Duration = Duration::from_millis(500);
/// Most memory that an entry may take for all responses without end together, in KiB.
const MAX_GROWTH_KIB: u64 = 4 * 1024;
/// Grace time of an entry after a route's timeout, and its tick.
const ROUTE_GRACE: Duration = Duration::from_millis(150 + 40);
/// Receive buffer of a caller that is slow to read, and how it reads.
const SLOW_CALLER_BUFFER_BYTES: u32 = 16 * 1024;
const SLOW_CALLER_READ_BYTES: usize = 4 * 1024;
const SLOW_CALLER_PAUSE: Duration = Duration::from_millis(40);
/// Time that a busy machine may add to any bound.
const SLACK: Duration = Duration::from_millis(300);
/// Time within which a response that breaks the protocol or its own framing has to end.
const AT_ONCE: Duration = Duration::from_millis(200);
/// Time within which a head or a short body that has begun has to be complete.
const SLOW_READ: Duration = Duration::from_millis(500);

/// Longest time of a request that one target refused and another served. It does not wait for
/// the body of the refusal.
const REFUSED_TIME: Duration = Duration::from_millis(250);

/// What a caller may see of a request that met the target in trouble.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Expected {
    /// The whole answer, of another target or of this one.
    Whole,
    /// A failure that promises nothing about the run.
    Unknown,
}

#[derive(Debug, Clone, Copy)]
struct EndlessCase {
    port: u16,
    kind: CallerKind,
    fault: EndlessFault,
    expected: Expected,
    /// Longest time until the target sees its connection closed.
    closed_within: Duration,
}

const fn case(
    port: u16,
    kind: CallerKind,
    (status, place, pace): (u16, EndlessPlace, BytePace),
    expected: Expected,
    closed_within: Duration,
) -> EndlessCase {
    let call = match kind {
        CallerKind::Dossier => EndlessCall::Prefill,
        _ => EndlessCall::Run,
    };
    EndlessCase {
        port,
        kind,
        fault: EndlessFault { call, status, place, pace },
        expected,
        closed_within,
    }
}

use BytePace::{Fast, Slow};
use CallerKind::{Dossier, Lookup, Note, Ticket};
use EndlessPlace::{
    AfterLength, BadChunk, BlankLines, ChunkExtension, ChunkSize, Chunks, Garbage, HeaderLines,
    HeaderValue, Informational, LongLength, StatusLine, Trailers, Unframed,
};
use Expected::{Unknown, Whole};

#[parameterized(
    header_lines_fast = { case(23_500, Lookup, (200, HeaderLines, Fast), Whole, AT_ONCE) },
    header_lines_slow = { case(23_504, Lookup, (200, HeaderLines, Slow), Whole, SLOW_READ) },
    header_lines_slow_at_most_once = { case(23_508, Ticket, (200, HeaderLines, Slow), Unknown, SLOW_READ) },
    header_value_fast = { case(23_512, Ticket, (200, HeaderValue, Fast), Unknown, AT_ONCE) },
    header_value_slow = { case(23_516, Note, (200, HeaderValue, Slow), Unknown, SLOW_READ) },
    informational_fast = { case(23_520, Lookup, (200, Informational, Fast), Whole, AT_ONCE) },
    informational_slow = { case(23_524, Ticket, (200, Informational, Slow), Unknown, SLOW_READ) },
    blank_lines_fast = { case(23_528, Note, (200, BlankLines, Fast), Unknown, AT_ONCE) },
    blank_lines_slow = { case(23_532, Lookup, (200, BlankLines, Slow), Whole, SLOW_READ) },
    garbage_fast = { case(23_536, Lookup, (200, Garbage, Fast), Whole, AT_ONCE) },
    garbage_slow = { case(23_540, Ticket, (200, Garbage, Slow), Unknown, AT_ONCE) },
    refusal_length_fast = { case(23_544, Ticket, (503, LongLength, Fast), Whole, AT_ONCE) },
    refusal_length_slow = { case(23_548, Ticket, (503, LongLength, Slow), Whole, SLOW_READ) },
    refusal_chunks_fast = { case(23_552, Lookup, (503, Chunks, Fast), Whole, AT_ONCE) },
    refusal_chunks_slow = { case(23_556, Note, (503, Chunks, Slow), Whole, SLOW_READ) },
    refusal_chunk_size_fast = { case(23_560, Ticket, (503, ChunkSize, Fast), Whole, AT_ONCE) },
    refusal_unframed_slow = { case(23_564, Lookup, (503, Unframed, Slow), Whole, SLOW_READ) },
    refusal_after_length_fast = { case(23_568, Ticket, (503, AfterLength, Fast), Whole, AT_ONCE) },
    prefill_chunks_fast = { case(23_572, Dossier, (200, Chunks, Fast), Whole, AT_ONCE) },
    prefill_chunks_slow = { case(23_576, Dossier, (200, Chunks, Slow), Whole, SLOW_READ) },
    prefill_chunk_size_fast = { case(23_580, Dossier, (200, ChunkSize, Fast), Whole, AT_ONCE) },
    prefill_unframed_fast = { case(23_584, Dossier, (200, Unframed, Fast), Whole, AT_ONCE) },
    prefill_length_slow = { case(23_588, Dossier, (200, LongLength, Slow), Whole, SLOW_READ) },
    answer_after_length_fast = { case(23_592, Ticket, (200, AfterLength, Fast), Whole, AT_ONCE) },
    answer_after_length_slow = { case(23_596, Lookup, (200, AfterLength, Slow), Whole, AT_ONCE) },
    status_line_fast = { case(23_900, Ticket, (200, StatusLine, Fast), Unknown, AT_ONCE) },
    status_line_slow = { case(23_904, Lookup, (200, StatusLine, Slow), Whole, SLOW_READ) },
    refusal_extension_fast = { case(23_908, Ticket, (503, ChunkExtension, Fast), Whole, AT_ONCE) },
    refusal_extension_slow = { case(23_912, Ticket, (503, ChunkExtension, Slow), Whole, SLOW_READ) },
    refusal_trailers_fast = { case(23_916, Note, (503, Trailers, Fast), Whole, AT_ONCE) },
    refusal_trailers_slow = { case(23_920, Lookup, (503, Trailers, Slow), Whole, SLOW_READ) },
    prefill_extension_fast = { case(23_924, Dossier, (200, ChunkExtension, Fast), Whole, AT_ONCE) },
    prefill_trailers_fast = { case(23_928, Dossier, (200, Trailers, Fast), Whole, AT_ONCE) },
    prefill_trailers_slow = { case(23_932, Dossier, (200, Trailers, Slow), Whole, SLOW_READ) },
)]
fn a_response_without_end_ends_its_request_soon_and_no_other(case: EndlessCase) {
    run(async {
        let (fleet, mut records) = warm_fleet(case.port, 2, 2).await;
        let target = target_in_trouble(&fleet, case.fault.call, case.kind);
        let memory = MemoryWatch::start(&fleet);
        fleet.runners[target].set_faults(endless(case.fault));
        let sound = tokio::spawn(sound_requests(fleet.entry(0)));
        let mut victims = Vec::new();
        let (count, pause) = if case.kind == Dossier { LONG_VICTIMS } else { VICTIMS };
        let has_met = || !fleet.runners[target].endless().records().is_empty();
        // Which target a request gets is drawn.
        for number in (0..4 * count).take_while(|number| *number < count || !has_met()) {
            let id = format!("{ENDLESS_ID}-{number}");
            let request = CallerRequest::new(id, case.kind, number);
            victims.push(tokio::spawn(send(fleet.entry(0), request)));
            tokio::time::sleep(pause).await;
        }
        let victims = all(victims).await;
        let responses = closed_responses(&fleet.runners[target], case.closed_within).await;
        assert!(!responses.is_empty(), "no request met the target");
        let unexpected: Vec<_> = victims.iter().filter(|record| !case.allows(record)).collect();
        assert!(unexpected.is_empty(), "{}: {}", log_place(&fleet), describe(&unexpected));
        let sound = sound.await.unwrap();
        assert_sound(&fleet, &sound);
        records.extend([victims, sound].concat());
        assert_eq!(fleet.judge(&records), []);
        memory.assert_bounded(&fleet);
        let fails =
            case.expected == Unknown || case.fault.status != 503 && case.fault.place != AfterLength;
        assert_released(&fleet, fails.then_some(&fleet.runners[target])).await;
    });
}

impl EndlessCase {
    fn allows(&self, record: &CallerRecord) -> bool {
        let is_refusal = self.fault.status == 503;
        let time = if is_refusal { REFUSED_TIME } else { self.closed_within + SOUND_TIME + SLACK };
        let in_time = record.took < time;
        let outcome = match (&record.outcome, self.expected) {
            // A request that another target got.
            (CallerOutcome::Whole, _) => true,
            (CallerOutcome::Own { status: 502 | 504, .. }, Unknown) => true,
            (CallerOutcome::Broken, Unknown) => true,
            _ => false,
        };
        in_time && outcome
    }
}

/// How a caller takes an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum CallerPace {
    /// Reads whatever comes.
    Fast,
    /// Reads a little at a time.
    Slow,
    /// Reads nothing.
    Stalled,
}

#[derive(Debug, Clone, Copy)]
struct AnswerCase {
    port: u16,
    kind: CallerKind,
    place: EndlessPlace,
    pace: BytePace,
    caller: CallerPace,
}

/// A signed answer without end lasts as long as its route allows, whoever reads it.
#[parameterized(
    chunks_fast = { AnswerCase { port: 23_600, kind: Lookup, place: Chunks, pace: Fast, caller: CallerPace::Fast } },
    chunks_slow = { AnswerCase { port: 23_604, kind: Lookup, place: Chunks, pace: Slow, caller: CallerPace::Fast } },
    length_fast = { AnswerCase { port: 23_608, kind: Lookup, place: LongLength, pace: Fast, caller: CallerPace::Fast } },
    unframed_fast = { AnswerCase { port: 23_612, kind: Lookup, place: Unframed, pace: Fast, caller: CallerPace::Fast } },
    chunk_size_fast = { AnswerCase { port: 23_616, kind: Lookup, place: ChunkSize, pace: Fast, caller: CallerPace::Fast } },
    chunk_size_slow = { AnswerCase { port: 23_620, kind: Lookup, place: ChunkSize, pace: Slow, caller: CallerPace::Fast } },
    chunks_fast_to_a_slow_caller = { AnswerCase { port: 23_624, kind: Lookup, place: Chunks, pace: Fast, caller: CallerPace::Slow } },
    chunks_fast_to_a_stalled_caller = { AnswerCase { port: 23_628, kind: Lookup, place: Chunks, pace: Fast, caller: CallerPace::Stalled } },
    length_fast_to_a_stalled_caller = { AnswerCase { port: 23_632, kind: Lookup, place: LongLength, pace: Fast, caller: CallerPace::Stalled } },
    extension_fast = { AnswerCase { port: 23_936, kind: Lookup, place: ChunkExtension, pace: Fast, caller: CallerPace::Fast } },
    extension_slow = { AnswerCase { port: 23_940, kind: Lookup, place: ChunkExtension, pace: Slow, caller: CallerPace::Fast } },
    trailers_fast = { AnswerCase { port: 23_944, kind: Lookup, place: Trailers, pace: Fast, caller: CallerPace::Fast } },
    trailers_slow = { AnswerCase { port: 23_948, kind: Lookup, place: Trailers, pace: Slow, caller: CallerPace::Fast } },
    trailers_slow_to_a_stalled_caller = { AnswerCase { port: 23_952, kind: Lookup, place: Trailers, pace: Slow, caller: CallerPace::Stalled } },
    length_fast_to_a_slow_caller = { AnswerCase { port: 23_956, kind: Lookup, place: LongLength, pace: Fast, caller: CallerPace::Slow } },
    no_event_unframed_fast = { AnswerCase { port: 23_672, kind: Note, place: Unframed, pace: Fast, caller: CallerPace::Fast } },
    no_event_chunks_slow = { AnswerCase { port: 23_676, kind: Note, place: Chunks, pace: Slow, caller: CallerPace::Fast } },
    no_event_chunks_to_a_slow_caller = { AnswerCase { port: 23_680, kind: Note, place: Chunks, pace: Fast, caller: CallerPace::Slow } },
)]
fn an_answer_without_end_lasts_as_long_as_its_route_allows(case: AnswerCase) {
    run(async {
        let (fleet, mut records) = warm_fleet(case.port, 2, 1).await;
        let memory = MemoryWatch::start(&fleet);
        let (place, pace) = (case.place, case.pace);
        let fault = EndlessFault { call: EndlessCall::Run, status: 200, place, pace };
        fleet.runners.iter().for_each(|runner| runner.set_faults(endless(fault)));
        let sound = tokio::spawn(sound_requests(fleet.entry(0)));
        let callers = (0..ENDLESS_ANSWERS)
            .map(|number| tokio::spawn(receive(fleet.entry(0), case.kind, number, case.caller)))
            .collect();
        let mut responses = 0;
        for runner in &fleet.runners {
            responses += closed_responses(runner, route_time(case.kind)).await.len();
        }
        assert_eq!(responses, ENDLESS_ANSWERS);
        let callers = all(callers).await;
        let is_broken = |record: &&CallerRecord| record.outcome == CallerOutcome::Broken;
        let complete: Vec<_> = callers.iter().filter(|record| !is_broken(record)).collect();
        assert!(complete.is_empty(), "{}: {}", log_place(&fleet), describe(&complete));
        let sound = sound.await.unwrap();
        assert_sound(&fleet, &sound);
        records.extend([callers, sound].concat());
        assert_eq!(fleet.judge(&records), []);
        memory.assert_bounded(&fleet);
        assert_released(&fleet, None).await;
    });
}

/// A target that sends what cannot be read has not crashed, so that its request is served as
/// soon as a target is sound.
#[parameterized(
    bad_chunk_fast = { 23_656, BadChunk, Fast },
    bad_chunk_slow = { 23_660, BadChunk, Slow },
    chunk_size_fast = { 23_664, ChunkSize, Fast },
    garbage_fast = { 23_668, Garbage, Fast },
)]
fn a_response_that_cannot_be_read_is_no_crash_of_its_request(
    port: u16,
    place: EndlessPlace,
    pace: BytePace,
) {
    run(async {
        let (fleet, mut records) = warm_fleet(port, 2, 1).await;
        let target = target_in_trouble(&fleet, EndlessCall::Run, Ticket);
        let fault = EndlessFault { call: EndlessCall::Run, status: 200, place, pace };
        fleet.runners[target].set_faults(endless(fault));
        // Three crashes block a request.
        for number in 0..4 {
            let mut request = CallerRequest::new(format!("{ENDLESS_ID}-{number}"), Ticket, 1);
            request.body = Bytes::from("same body");
            let record = send(fleet.entry(0), request).await;
            let own = matches!(record.outcome, CallerOutcome::Own { status: 502, .. });
            assert!(own || record.outcome == CallerOutcome::Broken, "{}", describe(&[&record]));
            records.push(record);
        }
        fleet.runners[target].set_faults(RunnerFaults::default());
        let mut request = CallerRequest::new("sound", Ticket, 1);
        request.body = Bytes::from("same body");
        let record = send(fleet.entry(0), request).await;
        let place = log_place(&fleet);
        assert_eq!(record.outcome, CallerOutcome::Whole, "{place}");
        records.push(record);
        assert_eq!(fleet.judge(&records), []);
        assert_released(&fleet, Some(&fleet.runners[target])).await;
    });
}

/// Reports and orders of engines never reach a caller, and a failed one is no reason to
/// disturb anything.
#[parameterized(
    report_unframed_fast = { 23_640, EndlessCall::Report, (200, Unframed, Fast) },
    report_header_lines_slow = { 23_644, EndlessCall::Report, (200, HeaderLines, Slow) },
    report_informational_fast = { 23_648, EndlessCall::Report, (200, Informational, Fast) },
    order_chunks_slow = { 23_652, EndlessCall::Order, (202, Chunks, Slow) },
    order_status_line_fast = { 23_960, EndlessCall::Order, (202, StatusLine, Fast) },
    order_trailers_fast = { 23_968, EndlessCall::Order, (202, Trailers, Fast) },
    report_extension_slow = { 23_976, EndlessCall::Report, (200, ChunkExtension, Slow) },
)]
fn a_control_response_without_end_is_given_up(
    port: u16,
    call: EndlessCall,
    response: (u16, EndlessPlace, BytePace),
) {
    run(async {
        let (status, place, pace) = response;
        let (fleet, mut records) = warm_fleet(port, 5, 1).await;
        let memory = MemoryWatch::start(&fleet);
        let fault = EndlessFault { call, status, place, pace };
        fleet.runners.iter().for_each(|runner| runner.set_faults(endless(fault)));
        // An entry claims the authority over engines after 5 s without a claimant, and then
        // waits for the lease and for orders that may still be on their way.
        tokio::time::sleep(Duration::from_millis(7600)).await;
        let mut dossiers = Vec::new();
        for number in 0..90 {
            let request =
                CallerRequest::new(format!("sound-dossier-{number}"), Dossier, 1000 + number);
            dossiers.push(tokio::spawn(send(fleet.entry(0), request)));
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        records.extend(all(dossiers).await);
        let mut responses = 0;
        for runner in &fleet.runners {
            // 1,200 ms is the longest time of such a call.
            responses += closed_responses(runner, Duration::from_millis(1200)).await.len();
        }
        assert!(responses > 0, "no report or order, {}", log_place(&fleet));
        assert_eq!(fleet.judge(&records), []);
        memory.assert_bounded(&fleet);
        assert_released(&fleet, None).await;
    });
}

/// A KV cache is freed at an engine that does not end its response.
#[parameterized(
    status_line_fast = { 23_980, (200, StatusLine, Fast) },
    header_lines_slow = { 23_984, (200, HeaderLines, Slow) },
    chunks_fast = { 23_988, (503, Chunks, Fast) },
    trailers_slow = { 23_992, (200, Trailers, Slow) },
)]
fn a_response_without_end_to_the_release_of_a_cache_is_given_up(
    port: u16,
    response: (u16, EndlessPlace, BytePace),
) {
    run(async {
        let (status, place, pace) = response;
        let (fleet, mut records) = warm_fleet(port, 1, 1).await;
        let memory = MemoryWatch::start(&fleet);
        let fault = EndlessFault { call: EndlessCall::FreeCache, status, place, pace };
        let prefill = target_in_trouble(&fleet, EndlessCall::Prefill, Dossier);
        let decode = target_in_trouble(&fleet, EndlessCall::Run, Dossier);
        fleet.runners[prefill].set_faults(endless(fault));
        fleet.runners[decode].set_faults(RunnerFaults { decline: true, ..RunnerFaults::default() });
        let mut dossiers = Vec::new();
        for number in 0..6 {
            let request = CallerRequest::new(format!("free-{number}"), Dossier, 1000 + number);
            dossiers.push(tokio::spawn(send(fleet.entry(0), request)));
            tokio::time::sleep(Duration::from_millis(300)).await;
        }
        records.extend(all(dossiers).await);
        let released = closed_responses(&fleet.runners[prefill], Duration::from_secs(1)).await;
        assert!(!released.is_empty(), "no cache was freed, {}", log_place(&fleet));
        fleet.runners[decode].set_faults(RunnerFaults::default());
        // Longer than an entry sends nothing to a target that has declined.
        tokio::time::sleep(Duration::from_secs(1)).await;
        let sound = sound_requests(fleet.entry(0)).await;
        assert_sound(&fleet, &sound);
        records.extend(sound);
        assert_eq!(fleet.judge(&records), []);
        memory.assert_bounded(&fleet);
        assert_released(&fleet, None).await;
    });
}

/// Targets in trouble at one moment, and requests that meet them.
const TROUBLED_TARGETS: usize = 24;
const TROUBLED_REQUESTS: u64 = 48;
/// Most memory that an entry may take for all of their responses, in KiB: 256 for each, which is
/// the most that is read between two steps of a response.
const MAX_TROUBLED_GROWTH_KIB: u64 = TROUBLED_REQUESTS * 256;

#[parameterized(
    status_line_fast = { 24_000, StatusLine, Fast },
    header_value_fast = { 24_004, HeaderValue, Fast },
    header_lines_slow = { 24_008, HeaderLines, Slow },
    chunks_slow = { 24_012, Chunks, Slow },
    extension_fast = { 24_016, ChunkExtension, Fast },
    unframed_slow = { 24_020, Unframed, Slow },
    chunks_fast = { 24_024, Chunks, Fast },
    unframed_fast = { 24_028, Unframed, Fast },
)]
fn many_targets_in_trouble_at_once_hold_up_nobody(port: u16, place: EndlessPlace, pace: BytePace) {
    run(async {
        let (fleet, mut records) = warm_fleet(port, 1, TROUBLED_TARGETS).await;
        let memory = MemoryWatch::start(&fleet);
        let fault = EndlessFault { call: EndlessCall::Run, status: 200, place, pace };
        fleet.runners.iter().for_each(|runner| runner.set_faults(endless(fault)));
        let victims = (0..TROUBLED_REQUESTS).map(|number| {
            let request = CallerRequest::new(format!("{ENDLESS_ID}-{number}"), Ticket, number);
            tokio::spawn(send(fleet.entry(0), request))
        });
        let victims = victims.collect();
        let sound = sound_requests(fleet.entry(0)).await;
        let victims = all(victims).await;
        let mut met = 0;
        for runner in &fleet.runners {
            met += closed_responses(runner, route_time(Ticket)).await.len();
        }
        assert!(met > TROUBLED_TARGETS, "{met} requests met a target in trouble");
        assert_sound(&fleet, &sound);
        records.extend([victims, sound].concat());
        assert_eq!(fleet.judge(&records), []);
        memory.assert_bounded_by(&fleet, MAX_TROUBLED_GROWTH_KIB);
        assert_released(&fleet, None).await;
    });
}

/// Starts an entry that has served requests, so that its memory has its usual size.
async fn warm_fleet(port: u16, decode: usize, plain: usize) -> (PlatformFleet, Vec<CallerRecord>) {
    let sizes = PlatformSizes { port, entries: 1, prefill: 1, decode, plain };
    let fleet = PlatformFleet::spawn(sizes).await.unwrap();
    let mut records = Vec::new();
    for number in 0..8 {
        let kind = [Lookup, Note, Ticket, Dossier][number % 4];
        let request = CallerRequest::new(format!("warm-{number}"), kind, 500 + number as u64);
        let record = send(fleet.entry(0), request).await;
        assert_eq!(record.outcome, CallerOutcome::Whole);
        records.push(record);
    }
    (fleet, records)
}

/// Returns the index of the first target that serves these calls.
fn target_in_trouble(fleet: &PlatformFleet, call: EndlessCall, kind: CallerKind) -> usize {
    let name = match (call, kind) {
        (EndlessCall::Prefill, _) => "llm-prefill-0",
        (_, Lookup | Ticket) => "records-plain-0",
        (_, Note | Dossier) => "llm-decode-0",
    };
    fleet.runners.iter().position(|runner| &*runner.id == name).unwrap()
}

fn endless(fault: EndlessFault) -> RunnerFaults {
    RunnerFaults { endless: Some(fault), ..RunnerFaults::default() }
}

/// Waits until a target has sent all its responses without end, and checks that each was
/// closed in time.
async fn closed_responses(runner: &RunnerModel, within: Duration) -> Vec<EndlessRecord> {
    let mut started = Instant::now();
    let mut seen = 0;
    loop {
        let responses = runner.endless().records();
        if responses.len() > seen {
            (seen, started) = (responses.len(), Instant::now());
        }
        let open = responses.iter().any(|response| response.closed.is_none());
        let is_over = if open { within + SLACK } else { SLACK };
        if started.elapsed() > is_over {
            let times: Vec<_> = responses
                .iter()
                .map(|response| (response.closed.map(|at| at - response.started), response.bytes))
                .collect();
            let in_time = |time: &Option<Duration>| time.is_some_and(|time| time < within + SLACK);
            assert!(
                times.iter().all(|(time, _)| in_time(time)),
                "time until the connection was closed, and bytes: {times:?}"
            );
            return responses;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

/// Sends requests that never meet a response without end.
async fn sound_requests(entry: SocketAddr) -> Vec<CallerRecord> {
    let mut calls = Vec::new();
    for number in 0..24 {
        let kind = if number % 4 == 0 { Note } else { Lookup };
        let request = CallerRequest::new(format!("sound-{number}"), kind, 7);
        calls.push(tokio::spawn(send(entry, request)));
        tokio::time::sleep(SOUND_PAUSE).await;
    }
    all(calls).await
}

async fn all(calls: Vec<JoinHandle<CallerRecord>>) -> Vec<CallerRecord> {
    let mut records = Vec::new();
    for call in calls {
        records.push(call.await.unwrap());
    }
    records
}

fn assert_sound(fleet: &PlatformFleet, records: &[CallerRecord]) {
    let is_sound =
        |record: &CallerRecord| record.outcome == CallerOutcome::Whole && record.took < SOUND_TIME;
    let held_up: Vec<_> = records.iter().filter(|record| !is_sound(record)).collect();
    assert!(held_up.is_empty(), "{}: held up: {}", log_place(fleet), describe(&held_up));
}

fn describe(records: &[&CallerRecord]) -> String {
    let describe = |record: &&CallerRecord| {
        format!("{} {:?} {:?}", record.request.id, record.outcome, record.took)
    };
    records.iter().map(describe).collect::<Vec<_>>().join("; ")
}

fn log_place(fleet: &PlatformFleet) -> String {
    format!("logs in {}", fleet.folder().display())
}

/// Returns how long an answer of a kind may last.
fn route_time(kind: CallerKind) -> Duration {
    let timeout = match kind {
        Note => Duration::from_millis(2500),
        Dossier => Duration::from_secs(5),
        Lookup | Ticket => Duration::from_millis(800),
    };
    timeout + ROUTE_GRACE
}

/// Sends a request and takes its answer at the caller's pace, without keeping it.
async fn receive(
    entry: SocketAddr,
    kind: CallerKind,
    number: usize,
    pace: CallerPace,
) -> CallerRecord {
    let request = CallerRequest::new(format!("{ENDLESS_ID}-{number}"), kind, 1);
    let route_time = route_time(kind);
    let started = Instant::now();
    let socket = TcpSocket::new_v4().unwrap();
    if pace != CallerPace::Fast {
        socket.set_recv_buffer_size(SLOW_CALLER_BUFFER_BYTES).unwrap();
    }
    let mut stream = socket.connect(entry).await.unwrap();
    let (path, prompt) = match kind {
        Note | Dossier => {
            let prefix = format!("e001:90,{number:x}:200");
            let prompt = format!("model: m\r\ntoken-count: 290,4\r\nprompt-prefix: {prefix}\r\n");
            ("/note/a", prompt)
        }
        Lookup | Ticket => ("/lookup/a", String::new()),
    };
    let head = format!(
        "POST {path} HTTP/1.1\r\nhost: front.example\r\nrequest-id: {}\r\n{prompt}\
         deadline-ms: 20000\r\ncontent-length: 0\r\n\r\n",
        request.id
    );
    stream.write_all(head.as_bytes()).await.unwrap();
    let reading = async {
        if pace == CallerPace::Stalled {
            tokio::time::sleep(route_time + 2 * SLACK).await;
        }
        let pause = (pace == CallerPace::Slow).then_some(SLOW_CALLER_PAUSE);
        read_to_end(&mut stream, pause, started + route_time + 2 * SLACK).await
    };
    let outcome = match tokio::time::timeout(route_time + 10 * SLACK, reading).await {
        Ok(tail) if tail.ends_with(b"0\r\n\r\n") => CallerOutcome::Wrong("complete".to_owned()),
        Ok(_) => CallerOutcome::Broken,
        Err(_) => CallerOutcome::Wrong("still open".to_owned()),
    };
    let (events, signed_by) = (Vec::new(), None);
    CallerRecord { request, outcome, took: started.elapsed(), events, signed_by }
}

/// Reads a connection to its end, with a pause after each read until a time, and returns
/// the last bytes.
async fn read_to_end(
    stream: &mut TcpStream,
    pause: Option<Duration>,
    paused_until: Instant,
) -> Vec<u8> {
    let mut buffer = vec![0; 64 * 1024];
    let mut tail = Vec::new();
    loop {
        let pause = pause.filter(|_| Instant::now() < paused_until);
        let size = if pause.is_some() { SLOW_CALLER_READ_BYTES } else { buffer.len() };
        // A reset is the plainest sign of a broken answer.
        let length = stream.read(&mut buffer[..size]).await.unwrap_or(0);
        if length == 0 {
            return tail;
        }
        tail.extend_from_slice(&buffer[..length]);
        tail.drain(..tail.len().saturating_sub(16));
        if let Some(pause) = pause {
            tokio::time::sleep(pause).await;
        }
    }
}

/// Resident memory of an entry before its targets send bytes without end.
struct MemoryWatch {
    process: u32,
    before_kib: u64,
}

impl MemoryWatch {
    fn start(fleet: &PlatformFleet) -> MemoryWatch {
        let process = fleet.entries[0].id();
        MemoryWatch { process, before_kib: status_kib(process, "VmRSS:") }
    }

    /// Compares it with the highest of the process so far.
    fn assert_bounded(&self, fleet: &PlatformFleet) {
        self.assert_bounded_by(fleet, MAX_GROWTH_KIB);
    }

    fn assert_bounded_by(&self, fleet: &PlatformFleet, max_kib: u64) {
        let growth = status_kib(self.process, "VmHWM:").saturating_sub(self.before_kib);
        let place = log_place(fleet);
        assert!(growth < max_kib, "{place}: {} KiB grew by {growth}", self.before_kib);
    }
}

fn status_kib(process: u32, field: &str) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{process}/status")).unwrap();
    let line = status.lines().find(|line| line.starts_with(field)).unwrap();
    line.split_whitespace().nth(1).unwrap().parse().unwrap()
}

/// Checks that no request and no work is left in the entry's counts, and that a target in
/// trouble counts as failing.
async fn assert_released(fleet: &PlatformFleet, failing: Option<&RunnerModel>) {
    tokio::time::sleep(SLACK).await;
    let metrics = inspect(fleet, "metrics").await;
    let in_flight = metrics.lines().find(|line| line.starts_with("sapphirewell_in_flight "));
    assert_eq!(in_flight, Some("sapphirewell_in_flight 0"), "{}", log_place(fleet));
    let state: Value = serde_json::from_str(&inspect(fleet, "state").await).unwrap();
    let targets = state["fleet"]["targets"].as_object().unwrap();
    assert_eq!(targets.len(), fleet.runners.len());
    for (id, target) in targets {
        let idle = json!({ "running": 0, "fresh": 0, "late": 0 });
        assert_eq!(target["in_flight"], idle, "{id}, {}", log_place(fleet));
    }
    if let Some(runner) = failing {
        let share = targets[&*runner.id]["failing"].as_f64().unwrap();
        assert!(share > 0.0, "{}: {} does not count as failing", log_place(fleet), runner.id);
    }
}

async fn inspect(fleet: &PlatformFleet, path: &str) -> String {
    let url = format!("http://{}/{path}", fleet.inspection(0));
    let response = LoadClient::default().send(hyper::Method::GET, &url, &[], Bytes::new()).await;
    let (status, body) = response.unwrap();
    assert_eq!(status, 200);
    String::from_utf8(body.to_vec()).unwrap()
}

fn run(work: impl Future<Output = ()>) {
    tokio::runtime::Runtime::new().unwrap().block_on(work);
}
