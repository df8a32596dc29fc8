//! A request was taken for unsent as its connection ended, and its caller was told that it had not
//! run, or it ran twice, though a target had read it whole.

use std::{
    collections::{BTreeMap, HashMap},
    io::{self, BufRead, BufReader, ErrorKind, Read, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    ops::Range,
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use emulator::stand_in::{
    caller::{CallerKind, CallerOutcome, CallerRequest, EVENTS},
    fleet::{ENGINES, PLAIN, PlatformFleet, PlatformSizes},
    kept_connection::{KeptConnection, KeptRecord},
    store::StoreModel,
};
use rand::{RngExt, SeedableRng, rngs::SmallRng, seq::IndexedRandom};
use serde_json::json;
use socket2::{Domain, SockRef, Socket, Type};
use tokio::{task::JoinHandle, time::sleep};
use yare::parameterized;

/// Number of targets. An entry pauses one whose connection broke, so few would get few requests.
const TARGETS: usize = 24;
/// Number of callers that send at the same time.
const CALLERS: u64 = 32;
/// Longest pause of a caller between two requests, in milliseconds.
const MAX_PAUSE_MILLIS: u64 = 2;
/// Interval between two registrations.
const HEARTBEAT: Duration = Duration::from_millis(300);
/// Time in which an entry reads the registrations.
const SETTLE_TIME: Duration = Duration::from_millis(1500);
/// Pause of a caller after a refusal.
const REFUSED_PAUSE: Duration = Duration::from_millis(10);
/// Longest time from a target's decision to end a connection to its end, in microseconds.
const MAX_DELAY_MICROS: u64 = 2000;
/// Time in which a target that ends a connection still reads a request.
const LAST_READ_TIME: Duration = Duration::from_millis(1);
/// Times for which a listener is open and closed, in milliseconds.
const OPEN_MILLIS: Range<u64> = 20..150;
const SHUT_MILLIS: Range<u64> = 0..20;
/// Interval at which a listener that is opened again accepts. Connections that wait for it are
/// reset as it closes, some with a written request.
const ACCEPT_INTERVAL: Duration = Duration::from_millis(1);

/// When a target ends a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Moment {
    /// Before it reads from it.
    Accepted,
    /// After it has read a request.
    Unanswered,
    /// After half of the head of its response.
    InsideHead,
    /// After a response that does not state it.
    Answered,
    /// After such a response, as the next request arrives.
    NextRequest,
    /// As its listener closes, which is then opened again at the same address.
    ListenerClosed,
}

const MOMENTS: [Moment; 6] = [
    Moment::Accepted,
    Moment::Unanswered,
    Moment::InsideHead,
    Moment::Answered,
    Moment::NextRequest,
    Moment::ListenerClosed,
];

/// How a target ends a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Ending {
    Close,
    Reset,
    /// Closes its sending side only, and runs what it still receives.
    HalfClose,
}

const ENDINGS: [Ending; 3] = [Ending::Close, Ending::Reset, Ending::HalfClose];

/// Request that a target began to work on, which is recorded as soon as it was read whole.
#[derive(Debug, Clone)]
struct RunRecord {
    id: String,
    at: Instant,
    target: usize,
    connection: u64,
    /// When the target ends the connection on which it came, and how.
    ending: Option<(Moment, Ending)>,
}

impl RunRecord {
    /// Formats the run for a report, with its time after the request was sent.
    fn describe(&self, request: &KeptRecord) -> String {
        let began = self.at.saturating_duration_since(request.sent_at);
        let answered = request.ended_at - request.sent_at;
        format!(
            "ran at target {} on connection {} after {began:?} (answered after {answered:?}), {:?}",
            self.target, self.connection, self.ending
        )
    }
}

/// Targets that end connections at chosen moments; clones share their records.
#[derive(Debug, Clone)]
struct EndingTargets {
    moments: Arc<[Moment]>,
    kind: CallerKind,
    seed: u64,
    connections: Arc<AtomicU64>,
    /// Number of connections that ended without a request that was read.
    unread: Arc<AtomicU64>,
    runs: Arc<Mutex<Vec<RunRecord>>>,
}

impl EndingTargets {
    /// Starts them, and registers them in the service for requests of their kind.
    fn spawn(store: &StoreModel, case: &EndingCase, seed: u64) -> (EndingTargets, JoinHandle<()>) {
        let targets = EndingTargets {
            moments: case.moments.into(),
            kind: case.kind,
            seed,
            connections: Arc::default(),
            unread: Arc::default(),
            runs: Arc::default(),
        };
        let is_engine = case.kind == CallerKind::Note;
        let (service, stage) = if is_engine { (ENGINES, "decode") } else { (PLAIN, "") };
        let mut addresses = Vec::new();
        for index in 0..TARGETS {
            let (reserved, address) = reserve_port();
            let listener = TcpListener::bind(address).unwrap();
            addresses.push(address);
            let target = targets.clone();
            thread::spawn(move || {
                target.listen(index, listener);
                drop(reserved);
            });
        }
        let store = store.clone();
        let heartbeats = tokio::spawn(async move {
            for sequence in 1_u64.. {
                for (index, address) in addresses.iter().enumerate() {
                    let mut registration = json!({
                        "service": service, "address": address.to_string(), "zone": "zone-a",
                        "version": "v1", "slots": 16, "state": "ready", "cold_remaining_ms": 0,
                        "sequence": sequence, "born": 1,
                    });
                    if is_engine {
                        registration["stage"] = json!(stage);
                    }
                    let id = format!("ending-{index}");
                    store.put("keyed.servers", &id, Some(registration.to_string().as_bytes()));
                }
                sleep(HEARTBEAT).await;
            }
        });
        (targets, heartbeats)
    }

    fn listen(&self, index: usize, listener: TcpListener) {
        if self.moments.contains(&Moment::ListenerClosed) {
            return self.listen_in_turns(index, listener);
        }
        while let Ok((stream, _)) = listener.accept() {
            self.spawn_connection(index, stream);
        }
    }

    /// Closes the listener at times, half of them with all connections, and opens it again.
    fn listen_in_turns(&self, index: usize, mut listener: TcpListener) {
        let mut rng = SmallRng::seed_from_u64(self.seed ^ (index as u64 + 1) << 40);
        let address = listener.local_addr().unwrap();
        loop {
            let mut open = Vec::new();
            let closes = Instant::now() + Duration::from_millis(rng.random_range(OPEN_MILLIS));
            listener.set_nonblocking(true).unwrap();
            while Instant::now() < closes {
                match listener.accept() {
                    Ok((stream, _)) => {
                        stream.set_nonblocking(false).unwrap();
                        open.extend(stream.try_clone());
                        self.spawn_connection(index, stream);
                    }
                    Err(_) => thread::sleep(ACCEPT_INTERVAL),
                }
            }
            drop(listener);
            if rng.random() {
                for stream in open {
                    if rng.random() {
                        SockRef::from(&stream).set_linger(Some(Duration::ZERO)).ok();
                    }
                    stream.shutdown(Shutdown::Both).ok();
                }
            }
            thread::sleep(Duration::from_millis(rng.random_range(SHUT_MILLIS)));
            listener = open_again(address);
        }
    }

    fn spawn_connection(&self, target: usize, stream: TcpStream) {
        let number = self.connections.fetch_add(1, Ordering::Relaxed);
        let targets = self.clone();
        thread::spawn(move || {
            stream.set_nodelay(true).ok();
            let rng = SmallRng::seed_from_u64(targets.seed ^ (number + 1) << 20);
            let reader = BufReader::new(stream);
            let mut connection = TargetConnection { targets, target, number, rng, reader };
            // Entries may end it at any time.
            connection.serve().ok();
        });
    }

    fn runs(&self) -> Vec<RunRecord> {
        self.runs.lock().unwrap().clone()
    }
}

/// Binds a socket that never listens to a free port, and returns it with its address.
///
/// While it exists, no other target of the process gets the port, also while nobody listens there.
fn reserve_port() -> (Socket, SocketAddr) {
    let reserved = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    reserved.set_reuse_address(true).unwrap();
    reserved.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).unwrap();
    let address = reserved.local_addr().unwrap().as_socket().unwrap();
    (reserved, address)
}

/// Listens at an address that was just left, whose port may be in use for a moment.
fn open_again(address: SocketAddr) -> TcpListener {
    loop {
        match TcpListener::bind(address) {
            Ok(listener) => return listener,
            Err(_) => thread::sleep(ACCEPT_INTERVAL),
        }
    }
}

struct TargetConnection {
    targets: EndingTargets,
    target: usize,
    number: u64,
    rng: SmallRng,
    reader: BufReader<TcpStream>,
}

impl TargetConnection {
    fn serve(&mut self) -> io::Result<()> {
        if let Some((moment @ Moment::Accepted, ending)) = self.draw_ending() {
            return self.end(moment, ending);
        }
        while let Some(id) = read_request(&mut self.reader)? {
            if id.is_empty() {
                self.write(b"HTTP/1.1 404 Not Found\r\ncontent-length: 0\r\n\r\n")?;
                continue;
            }
            let drawn = self.draw_ending();
            let drawn = drawn.filter(|(moment, _)| *moment != Moment::Accepted);
            self.record(&id, drawn);
            let (head, body) = self.response(&id);
            match drawn {
                Some((Moment::Unanswered, _)) => {}
                Some((Moment::InsideHead, _)) => self.write(&head[..head.len() / 2])?,
                _ => self.write(&[head, body].concat())?,
            }
            if let Some((moment, ending)) = drawn {
                return self.end(moment, ending);
            }
        }
        Ok(())
    }

    /// Draws whether the connection ends at the next moment, and how.
    fn draw_ending(&mut self) -> Option<(Moment, Ending)> {
        let moments = self.targets.moments.clone();
        let moment = *moments.choose(&mut self.rng)?;
        let ending = *ENDINGS.choose(&mut self.rng)?;
        // While an entry pauses all engines that decode, it refuses streams, unlike calls of a
        // plain service.
        let turns = if self.targets.kind == CallerKind::Note { 16 } else { 4 };
        let ends = moment != Moment::ListenerClosed && self.rng.random_ratio(1, turns);
        ends.then_some((moment, ending))
    }

    fn record(&self, id: &str, ending: Option<(Moment, Ending)>) {
        let (target, connection) = (self.target, self.number);
        let run = RunRecord { id: id.to_owned(), at: Instant::now(), target, connection, ending };
        self.targets.runs.lock().unwrap().push(run);
    }

    fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.reader.get_mut().write_all(bytes)
    }

    fn response(&mut self, id: &str) -> (Vec<u8>, Vec<u8>) {
        // Where new connections fail, calls need some.
        let fails_new =
            |moment: &Moment| matches!(moment, Moment::Accepted | Moment::ListenerClosed);
        let is_last = self.targets.moments.iter().any(fails_new) && self.rng.random();
        let connection = if is_last { "connection: close\r\n" } else { "" };
        let head = format!(
            "HTTP/1.1 200 OK\r\nrequest-id: {id}\r\n\
             server-signature: ending-{}.1\r\n{connection}",
            self.target
        );
        if self.targets.kind == CallerKind::Note {
            let events: String =
                (1..=EVENTS).map(|event| format!("id: {event}\ndata: {id}\n\n")).collect();
            let head = format!(
                "{head}content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n"
            );
            let body = format!("{:x}\r\n{events}\r\n0\r\n\r\n", events.len());
            return (head.into_bytes(), body.into_bytes());
        }
        let body = format!("answer to {id}");
        let head = format!("{head}content-length: {}\r\n\r\n", body.len());
        (head.into_bytes(), body.into_bytes())
    }

    /// Ends the connection. At moments when a request may be on its way, it is read at times.
    fn end(&mut self, moment: Moment, ending: Ending) -> io::Result<()> {
        if moment == Moment::NextRequest {
            self.reader.get_ref().peek(&mut [0])?;
        }
        if self.rng.random() {
            thread::sleep(Duration::from_micros(self.rng.random_range(0..=MAX_DELAY_MICROS)));
        }
        let expects_request = !matches!(moment, Moment::Unanswered | Moment::InsideHead);
        if expects_request && self.rng.random() {
            self.reader.get_ref().set_read_timeout(Some(LAST_READ_TIME))?;
            match read_request(&mut self.reader) {
                Ok(Some(id)) => self.record(&id, Some((moment, ending))),
                Err(error) if error.kind() == ErrorKind::WouldBlock => {}
                Ok(None) | Err(_) => return Ok(()),
            }
        } else if expects_request {
            self.targets.unread.fetch_add(1, Ordering::Relaxed);
        }
        let stream = self.reader.get_ref();
        match ending {
            Ending::Close => {}
            Ending::Reset => SockRef::from(stream).set_linger(Some(Duration::ZERO))?,
            Ending::HalfClose => {
                stream.shutdown(Shutdown::Write)?;
                stream.set_read_timeout(None)?;
                while let Some(id) = read_request(&mut self.reader)? {
                    self.record(&id, Some((moment, ending)));
                }
            }
        }
        Ok(())
    }
}

/// Reads a request and returns its id, which is empty for calls to an engine's other interfaces,
/// or `None` at the end of the connection.
fn read_request(reader: &mut BufReader<TcpStream>) -> io::Result<Option<String>> {
    let (mut id, mut length) = (String::new(), 0);
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Ok(None);
        }
        let line = line.trim();
        if line.is_empty() {
            break;
        }
        if let Some((name, value)) = line.split_once(':') {
            match name.to_lowercase().as_str() {
                "request-id" => id = value.trim().to_owned(),
                "content-length" => length = value.trim().parse().unwrap_or(0),
                _ => {}
            }
        }
    }
    reader.read_exact(&mut vec![0; length])?;
    Ok(Some(id))
}

/// Sends requests over kept connections until `count` were sent by all callers.
async fn send_requests(
    entry: SocketAddr,
    kind: CallerKind,
    sent: Arc<AtomicU64>,
    count: u64,
    mut rng: SmallRng,
) -> Vec<KeptRecord> {
    let mut records = Vec::new();
    let mut kept: Option<KeptConnection> = None;
    loop {
        let mut connection = match kept.take().filter(KeptConnection::is_usable) {
            Some(connection) => connection,
            None => KeptConnection::open(entry).await.unwrap(),
        };
        let number = sent.fetch_add(1, Ordering::Relaxed);
        if number >= count {
            return records;
        }
        let request = CallerRequest::new(format!("request-{number}"), kind, number % 5);
        let record = connection.send(request).await;
        let pause = match record.caller.outcome {
            CallerOutcome::Own { .. } => REFUSED_PAUSE,
            _ => Duration::from_millis(rng.random_range(0..=MAX_PAUSE_MILLIS)),
        };
        records.push(record);
        kept = Some(connection);
        sleep(pause).await;
    }
}

/// Joins what callers were told with what targets ran.
fn judge(records: &[KeptRecord], runs: &[RunRecord]) -> Vec<String> {
    let mut runs_by_id: HashMap<&str, Vec<&RunRecord>> = HashMap::new();
    for run in runs {
        runs_by_id.entry(&run.id).or_default().push(run);
    }
    let mut violations = Vec::new();
    for record in records {
        let runs = runs_by_id.remove(&*record.caller.request.id).unwrap_or_default();
        let breaks_promise = match &record.caller.outcome {
            CallerOutcome::Own { status: 408 | 421 | 429 | 503, .. } => !runs.is_empty(),
            CallerOutcome::Whole => runs.len() != 1,
            CallerOutcome::Wrong(_) => true,
            _ => runs.len() > 1,
        };
        if breaks_promise {
            let runs: Vec<String> = runs.iter().map(|run| run.describe(record)).collect();
            let (id, outcome) = (&record.caller.request.id, &record.caller.outcome);
            violations.push(format!("{id}, {outcome:?}: {}", runs.join("; ")));
        }
    }
    violations.extend(runs_by_id.into_keys().map(|id| format!("{id} was not sent")));
    violations
}

/// Counts requests by when the connection of their run ended, if they ran, and by outcome.
fn summarize(records: &[KeptRecord], runs: &[RunRecord]) -> BTreeMap<String, u64> {
    let endings: HashMap<&str, String> = runs
        .iter()
        .map(|run| {
            let ending = run.ending.map_or_else(
                || "ran".to_owned(),
                |(moment, ending)| format!("ran, {moment:?} {ending:?}"),
            );
            (&*run.id, ending)
        })
        .collect();
    let mut counts = BTreeMap::new();
    for record in records {
        let ran = endings.get(&*record.caller.request.id).map_or("not run", |ending| ending);
        let outcome = match &record.caller.outcome {
            CallerOutcome::Own { status, .. } => format!("{status}"),
            outcome => format!("{outcome:?}"),
        };
        *counts.entry(format!("{ran}: {outcome}")).or_default() += 1;
    }
    counts
}

#[derive(Debug, Clone, Copy)]
struct EndingCase {
    port: u16,
    kind: CallerKind,
    moments: &'static [Moment],
}

async fn play(case: EndingCase, seed: u64, count: u64, quiet_time: Duration) {
    // An entry is ready only once it knows a target.
    let sizes = PlatformSizes { port: case.port, entries: 1, prefill: 1, decode: 0, plain: 0 };
    let fleet = PlatformFleet::spawn(sizes).await.unwrap();
    let (targets, heartbeats) = EndingTargets::spawn(&fleet.store, &case, seed);
    sleep(SETTLE_TIME).await;
    let sent = Arc::new(AtomicU64::new(0));
    let callers: Vec<_> = (0..CALLERS)
        .map(|caller| {
            let rng = SmallRng::seed_from_u64(seed ^ (caller + 1) << 8);
            tokio::spawn(send_requests(fleet.entry(0), case.kind, sent.clone(), count, rng))
        })
        .collect();
    let mut records = Vec::new();
    for caller in callers {
        records.extend(caller.await.unwrap());
    }
    // A request that was refused must not run later either.
    sleep(quiet_time).await;
    heartbeats.abort();
    let runs = targets.runs();
    println!(
        "{:?} {:?} seed {seed}: {} requests, {} runs on {} connections, {} ended unread",
        case.kind,
        case.moments,
        records.len(),
        runs.len(),
        targets.connections.load(Ordering::Relaxed),
        targets.unread.load(Ordering::Relaxed),
    );
    for (what, count) in summarize(&records, &runs) {
        println!("  {count:>6} {what}");
    }
    assert_eq!(records.len() as u64, count);
    assert!(records.iter().any(|record| record.caller.outcome == CallerOutcome::Whole));
    assert_eq!(judge(&records, &runs), Vec::<String>::new(), "seed {seed}");
}

fn run(work: impl Future<Output = ()>) {
    tokio::runtime::Runtime::new().unwrap().block_on(work);
}

#[parameterized(
    accepted = { EndingCase { port: 26_000, kind: CallerKind::Ticket, moments: &[Moment::Accepted] } },
    unanswered = { EndingCase { port: 26_004, kind: CallerKind::Ticket, moments: &[Moment::Unanswered] } },
    inside_head = { EndingCase { port: 26_008, kind: CallerKind::Ticket, moments: &[Moment::InsideHead] } },
    answered = { EndingCase { port: 26_012, kind: CallerKind::Ticket, moments: &[Moment::Answered] } },
    next_request = { EndingCase { port: 26_016, kind: CallerKind::Ticket, moments: &[Moment::NextRequest] } },
    listener_closed = { EndingCase { port: 26_020, kind: CallerKind::Ticket, moments: &[Moment::ListenerClosed] } },
    any = { EndingCase { port: 26_024, kind: CallerKind::Ticket, moments: &MOMENTS } },
    any_of_streams = { EndingCase { port: 26_028, kind: CallerKind::Note, moments: &MOMENTS } },
)]
fn a_request_that_ran_is_neither_refused_nor_sent_again(case: EndingCase) {
    run(play(case, 1, 400, Duration::from_secs(2)));
}

/// The same for longer and with several seeds.
#[parameterized(
    accepted = { EndingCase { port: 26_100, kind: CallerKind::Ticket, moments: &[Moment::Accepted] } },
    unanswered = { EndingCase { port: 26_104, kind: CallerKind::Ticket, moments: &[Moment::Unanswered] } },
    inside_head = { EndingCase { port: 26_108, kind: CallerKind::Ticket, moments: &[Moment::InsideHead] } },
    answered = { EndingCase { port: 26_112, kind: CallerKind::Ticket, moments: &[Moment::Answered] } },
    next_request = { EndingCase { port: 26_116, kind: CallerKind::Ticket, moments: &[Moment::NextRequest] } },
    listener_closed = { EndingCase { port: 26_120, kind: CallerKind::Ticket, moments: &[Moment::ListenerClosed] } },
    any = { EndingCase { port: 26_124, kind: CallerKind::Ticket, moments: &MOMENTS } },
    any_of_streams = { EndingCase { port: 26_128, kind: CallerKind::Note, moments: &MOMENTS } },
)]
#[ignore = "takes two minutes; the short form covers the same cases"]
fn a_request_that_ran_is_neither_refused_nor_sent_again_in_a_long_run(case: EndingCase) {
    for seed in 2..7 {
        run(play(case, seed, 6000, Duration::from_secs(5)));
    }
}
