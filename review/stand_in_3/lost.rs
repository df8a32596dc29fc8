//! Most entries are killed at once while two software versions serve; streams are taken up again at
//! the entries that live.

use std::{
    io::Write,
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    http::{self, read_chunk, read_head},
    platform::{Deployment, Process, Record, free_address},
    runner::{EVENTS, SERVICE},
};

/// Entries of the site `zhaksy-sort-grown`, and how many of them are not killed.
const ENTRIES: u8 = 22;
const SURVIVORS: usize = 2;
/// Runners of each version.
const RUNNERS: usize = 3;
const STREAMS: usize = 66;
const NEW_STREAMS: usize = 30;
/// Time from the start of the streams to the kill.
const UP: Duration = Duration::from_millis(700);
/// Time for which the killed entries are down.
const DOWN: Duration = Duration::from_secs(2);
const DEADLINE: Duration = Duration::from_secs(8);
/// Pause of a client whose connection was refused.
const REFUSED_PAUSE: Duration = Duration::from_millis(50);
/// Attempts with an answer, after which a client gives up.
const MAX_ANSWERS: u32 = 3;

#[derive(Default, Clone)]
struct Outcome {
    events: Vec<u64>,
    /// Attempts to take the stream up at entries that were not killed, and whether one went on.
    taken_up: u32,
    went_on: bool,
}

/// Next number of a simple generator.
fn draw(state: &AtomicU64, below: usize) -> usize {
    let number = state.fetch_add(0x9e37_79b9_7f4a_7c15, Ordering::Relaxed);
    let mixed = (number ^ (number >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    ((mixed >> 33) as usize) % below
}

fn configuration() -> String {
    format!(
        "{{\"version\":7,\"routes\":[{{\"name\":\"r-a\",\"host\":\"a.example\",\
         \"path_prefix\":\"/stream/\",\"kind\":\"streaming\",\"timeout_ms\":8000,\
         \"target_latency_ms\":600,\"priority\":1,\"service\":\"{SERVICE}\",\"max_attempts\":2,\
         \"sticky\":true,\"resumable\":true,\"target_gap_ms\":250}}],\
         \"services\":[{{\"name\":\"{SERVICE}\",\"health_path\":\"/health\",\
         \"max_connections\":450,\"protocol\":\"h1\",\"tls\":false,\"engine\":{{\"slots\":64,\
         \"kv_capacity_tokens\":415034,\"token_kv_bytes\":327680,\"link_mbps\":2700000.0,\
         \"moves\":true,\"backups\":true,\"stride\":12,\"most\":12,\"handle_ttl_s\":5.0,\
         \"switch_s\":3.0,\"pin_ms\":4000.0,\"hold_ms\":2000.0,\
         \"models\":[{{\"name\":\"m\"}}]}}}}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\
         \"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}}}"
    )
}

/// Returns the exit status of the case.
pub fn run(record_path: &str, has_trouble: bool) -> i32 {
    let record = Record::create(record_path);
    let mut deployment = Deployment::start(record.clone(), &configuration(), ENTRIES);
    let mut runners: Vec<Process> = Vec::new();
    for number in 0..2 * RUNNERS {
        let version = if number < RUNNERS { "v1" } else { "v2" };
        let id = format!("i-a{number}");
        runners.push(deployment.start_runner(&id, version, free_address(), 64));
    }
    deployment.wait_until_ready();
    // The entries hear of each other, and are in touch.
    thread::sleep(Duration::from_secs(5));
    let fronts: Arc<Vec<SocketAddr>> =
        Arc::new(deployment.entries.iter().map(|entry| entry.front).collect());
    record.add(&format!("{STREAMS} streams, spread over {ENTRIES} entries"));
    let streams = start_streams("s", STREAMS, &fronts, &record, &|number| number % fronts.len());
    thread::sleep(UP);
    let killed: Vec<usize> = (SURVIVORS..fronts.len()).collect();
    if has_trouble {
        record.add(&format!("{} entries are killed", killed.len()));
        killed.iter().for_each(|number| deployment.kill_entry(*number));
    }
    let new = start_streams("n", NEW_STREAMS, &fronts, &record, &|number| number % SURVIVORS);
    thread::sleep(DOWN);
    if has_trouble {
        record.add("the killed entries start again");
        killed.iter().for_each(|number| deployment.restart_entry(*number));
    }
    let (streams, new) = (streams.join(), new.join());
    report(&record, &streams, &new, &deployment.ended())
}

fn report(record: &Record, streams: &[Outcome], new: &[Outcome], ended: &[String]) -> i32 {
    let taken_up: Vec<&Outcome> = streams.iter().filter(|outcome| outcome.taken_up > 0).collect();
    let went_on = taken_up.iter().filter(|outcome| outcome.went_on).count();
    let began = new.iter().filter(|outcome| !outcome.events.is_empty()).count();
    let whole = streams.iter().filter(|o| o.events.last() == Some(&EVENTS)).count();
    let text = format!(
        "{} streams, {whole} whole; {} taken up at entries that were not killed, {went_on} of these \
         went on; of {} new ones there {began} began; ended by themselves: {ended:?}",
        streams.len(),
        taken_up.len(),
        new.len(),
    );
    record.add(&text);
    println!("{text}");
    // LOST: of 12 or more, the share that goes on is under half of the share of new ones that begin.
    let share = went_on as f64 / taken_up.len().max(1) as f64;
    let began = began as f64 / new.len() as f64;
    if taken_up.len() >= 12 && share < 0.5 * began { 1 } else { 0 }
}

struct Streams {
    clients: Vec<thread::JoinHandle<()>>,
    outcomes: Arc<Mutex<Vec<Outcome>>>,
}

impl Streams {
    fn join(self) -> Vec<Outcome> {
        self.clients.into_iter().for_each(|client| client.join().unwrap());
        let outcomes = self.outcomes.lock().unwrap();
        outcomes.clone()
    }
}

fn start_streams(
    name: &str,
    count: usize,
    fronts: &Arc<Vec<SocketAddr>>,
    record: &Record,
    first: &dyn Fn(usize) -> usize,
) -> Streams {
    let outcomes = Arc::new(Mutex::new(vec![Outcome::default(); count]));
    let clients = (0..count).map(|number| {
        let (fronts, outcomes, record) = (fronts.clone(), outcomes.clone(), record.clone());
        let (name, first) = (format!("{name}{number}"), first(number));
        thread::spawn(move || {
            let outcome = follow(&record, &name, number, first, &fronts);
            outcomes.lock().unwrap()[number] = outcome;
        })
    });
    Streams { clients: clients.collect(), outcomes }
}

/// Sends a request, and takes its stream up again if it breaks off, at any entry that takes a
/// connection, as the platform's balancer would choose them.
fn follow(
    record: &Record,
    name: &str,
    number: usize,
    first: usize,
    fronts: &[SocketAddr],
) -> Outcome {
    let mut outcome = Outcome::default();
    let random = AtomicU64::new(number as u64 * 7919 + 1);
    let started = Instant::now();
    let mut origin: Option<String> = None;
    let (mut entry, mut answers) = (first, 0);
    for attempt in 0.. {
        let left = DEADLINE.saturating_sub(started.elapsed());
        if left.is_zero() || answers > MAX_ANSWERS {
            break;
        }
        let request = format!("{name}-{attempt}");
        let had = outcome.events.len();
        let ended = receive(fronts[entry], name, &request, origin.as_deref(), left, &mut outcome);
        let has_more = outcome.events.len() > had;
        let (text, pause) = match ended {
            Ended::NoConnection => {
                entry = draw(&random, fronts.len());
                thread::sleep(REFUSED_PAUSE);
                continue;
            }
            Ended::Status(status, after) => (format!("status {status}"), after.min(left / 3)),
            Ended::Whole => ("whole answer".to_owned(), Duration::ZERO),
            Ended::Broken => ("broke off".to_owned(), Duration::ZERO),
        };
        answers += 1;
        if origin.is_some() && entry < SURVIVORS {
            outcome.taken_up += 1;
            outcome.went_on |= has_more;
        }
        if has_more && origin.is_none() {
            origin = Some(request.clone());
        }
        let events = &outcome.events[had..];
        record.add(&format!("{request} at entry {}: {text}; events {events:?}", entry + 1));
        if outcome.events.last() == Some(&EVENTS) || origin.is_none() {
            break;
        }
        thread::sleep(pause);
        entry = draw(&random, fronts.len());
    }
    outcome
}

enum Ended {
    NoConnection,
    Status(u16, Duration),
    Whole,
    Broken,
}

fn receive(
    front: SocketAddr,
    name: &str,
    request: &str,
    origin: Option<&str>,
    left: Duration,
    outcome: &mut Outcome,
) -> Ended {
    let Ok((mut stream, mut reader)) = http::connect(front) else { return Ended::NoConnection };
    let mut attempt = || -> std::io::Result<Ended> {
        stream.set_read_timeout(Some(left.max(Duration::from_millis(1))))?;
        let mut text = format!(
            "POST /stream/{name} HTTP/1.1\r\nHost: a.example\r\nRequest-Id: {request}\r\n\
             Model: m\r\nToken-Count: 300,144\r\nPrompt-Prefix: {:x}:300\r\nDeadline-Ms: {}\r\n\
             Content-Length: 4\r\n",
            hash(name),
            left.as_millis(),
        );
        if let (Some(last), Some(origin)) = (outcome.events.last(), origin) {
            text.push_str(&format!("Last-Event-Id: {last}\r\nResumes: {origin}\r\n"));
        }
        text.push_str("\r\nbody");
        stream.write_all(text.as_bytes())?;
        let Some(head) = read_head(&mut reader)? else { return Ok(Ended::Broken) };
        if head.status() != 200 {
            let seconds = head.get("retry-after").and_then(|text| text.parse().ok());
            let after = Duration::from_secs_f64(seconds.unwrap_or(0.3));
            return Ok(Ended::Status(head.status(), after));
        }
        let mut pending = String::new();
        loop {
            let chunk = read_chunk(&mut reader)?;
            if chunk.is_empty() {
                return Ok(Ended::Whole);
            }
            pending.push_str(&String::from_utf8_lossy(&chunk));
            while let Some((event, rest)) = pending.split_once("\n\n") {
                let id = event.lines().find_map(|line| line.strip_prefix("id: "));
                outcome.events.push(id.and_then(|text| text.parse().ok()).unwrap_or(0));
                pending = rest.to_owned();
            }
        }
    };
    attempt().unwrap_or(Ended::Broken)
}

fn hash(text: &str) -> u64 {
    text.bytes().fold(0xcbf2_9ce4_8422_2325, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3)
    })
}
