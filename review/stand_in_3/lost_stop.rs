//! LOST: a stream that came more than 3 s after SIGTERM is cut by the exit of its entry. All streams
//! state the same largest number of output tokens, and most have far fewer.
//!
//! Three entries of one zone and two of another; two of the three get SIGTERM together. Fewer than
//! half of that zone's are in rotation then, so that the platform goes on to use all three.

use std::{
    path::Path,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread::{self, sleep},
    time::Duration,
};

use crate::{
    record::Record,
    store::Store,
    world::{self, Balancer, Runner, request_head},
};

/// Events of a short and a long stream, and the time between two of them.
const SHORT: u32 = 6;
const LONG: u32 = 22;
const GAP: Duration = Duration::from_millis(200);
const SHORT_GAP: Duration = Duration::from_millis(20);
/// Largest number of output tokens that each request states.
const MOST_TOKENS: u32 = 60;
/// Every so many streams are long, and every second one in a short time.
const LONG_PERIOD: u64 = 1000;
/// Time of the two SIGTERM after the start of the traffic, and when long streams come after it.
const STOP_AT: Duration = Duration::from_secs(8);
const LONG_TIME: (Duration, Duration) = (Duration::from_millis(3050), Duration::from_millis(3600));

const CONFIG: &str = r#"{"version":7,"routes":[{"name":"r-read","host":"ficu95.example","path_prefix":"/lohu930/","kind":"streaming","timeout_ms":8000,"target_latency_ms":600,"priority":1,"service":"huvo11a","max_attempts":2,"sticky":true,"resumable":true,"target_gap_ms":250}],"services":[{"name":"huvo11a","health_path":"/health","max_connections":450,"protocol":"h1","tls":false,"engine":{"slots":64,"kv_capacity_tokens":415034,"token_kv_bytes":327680,"link_mbps":2700000.0,"moves":true,"backups":true,"stride":12,"most":12,"handle_ttl_s":5.0,"switch_s":3.0,"pin_ms":4000.0,"hold_ms":2000.0,"models":[{"name":"m"}]}}],"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}}"#;

/// Request as its client saw it.
struct Seen {
    id: String,
    entry: usize,
    sent: Duration,
    ended: Duration,
    is_long: bool,
    status: u16,
    is_whole: bool,
}

pub fn run(folder: &Path, record: &Record, trouble: &str) -> Option<bool> {
    let store = Store::start(None);
    store.put("keyed.op", "config", CONFIG.as_bytes());
    let zone = "alm-north";
    let runners: Vec<Arc<Runner>> = (0..4)
        .map(|number| {
            let id = format!("i-{number}");
            let stage = Some("decode");
            Runner::start(&store, (&id, "huvo11a", zone), stage, "v1", |_, connection, request| {
                let id = request.header("request-id").unwrap_or("").to_owned();
                let events = if request.path().ends_with("/long") { LONG } else { SHORT };
                let head = format!(
                    "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nRequest-Id: {id}\r\n\
                     Server-Signature: 3e1b.07\r\nTransfer-Encoding: chunked\r\n\r\n"
                );
                connection.write(head.as_bytes())?;
                for event in 1..=events {
                    sleep(if events == LONG { GAP } else { SHORT_GAP });
                    connection.write_chunk(format!("id: {event}\ndata: {event}\n\n").as_bytes())?;
                }
                connection.write(b"0\r\n\r\n")
            })
        })
        .collect();
    let mut entries =
        world::start_entries(folder, &[zone, zone, zone, "alm-east", "alm-east"], &store, "")?;
    record.add("3 entries of one zone and 2 of another ready");
    let balancer = Balancer::start(&entries[..3]);
    let seen: Arc<Mutex<Vec<Seen>>> = Arc::default();
    let is_over = Arc::new(AtomicBool::new(false));
    // A stream each 25 ms, each on a new connection.
    let (clients, kept, over) = (balancer.clone(), seen.clone(), is_over.clone());
    let noted = record.clone();
    let begun = record.time();
    let sending = thread::spawn(move || {
        let mut requests = Vec::new();
        let mut number = 0_u64;
        while !over.load(Ordering::Relaxed) {
            number += 1;
            let (clients, kept, noted) = (clients.clone(), kept.clone(), noted.clone());
            requests.push(thread::spawn(move || {
                let (entry, address) = clients.choose(number);
                let since = noted.time().saturating_sub(begun + STOP_AT);
                let is_long_time = since >= LONG_TIME.0 && since <= LONG_TIME.1;
                let is_long = number % if is_long_time { 2 } else { LONG_PERIOD } == 0;
                let id = world::new_id();
                let count = format!("383,{MOST_TOKENS}");
                let prefix = format!("5c1e07a2:92,{number:x}:291");
                let more = [
                    ("Model", "m"),
                    ("Token-Count", count.as_str()),
                    ("Prompt-Prefix", prefix.as_str()),
                    ("Deadline-Ms", "8000"),
                ];
                let path = if is_long { "/lohu930/2f/long" } else { "/lohu930/2f" };
                let head = request_head("POST", path, &id, &more);
                let sent = noted.time();
                let answer = world::send(address, &head, || {});
                let ended = noted.time();
                let last = format!("id: {}\n", if is_long { LONG } else { SHORT });
                let text = String::from_utf8_lossy(&answer.body).into_owned();
                let is_whole = answer.is_complete && (answer.status != 200 || text.contains(&last));
                let status = answer.status;
                kept.lock().unwrap().push(Seen {
                    id,
                    entry,
                    sent,
                    ended,
                    is_long,
                    status,
                    is_whole,
                });
            }));
            sleep(Duration::from_millis(25));
        }
        requests.into_iter().for_each(|request| drop(request.join()));
    });
    sleep(STOP_AT);
    let mut stopped = Vec::new();
    if trouble != "0" {
        for (number, entry) in entries.iter().enumerate().take(2) {
            stopped.push((number, record.time()));
            entry.signal("TERM");
            record.add(format!("SIGTERM to {}", entry.name));
        }
    }
    let grace = Duration::from_secs(8);
    let until = record.time() + grace;
    let mut has_ended = [false; 3];
    while record.time() < until {
        for number in stopped.iter().map(|(number, _)| *number) {
            if !has_ended[number] && entries[number].has_ended() {
                has_ended[number] = true;
                record.add(format!("{} has ended; it starts again", entries[number].name));
                entries[number].start();
            }
        }
        sleep(Duration::from_millis(20));
    }
    entries.iter_mut().enumerate().for_each(|(number, entry)| {
        if stopped.iter().any(|(stopped, _)| *stopped == number) && !has_ended[number] {
            record.add(format!("SIGKILL to {}", entry.name));
            entry.kill();
        }
    });
    sleep(Duration::from_secs(1));
    is_over.store(true, Ordering::Relaxed);
    let _ = sending.join();
    let runs: Vec<String> =
        runners.iter().flat_map(|runner| runner.runs.lock().unwrap().clone()).collect();
    let seen = seen.lock().unwrap();
    record.add(format!(
        "{} streams sent, {} whole, {} refused, {} broken off",
        seen.len(),
        seen.iter().filter(|request| request.is_whole && request.status == 200).count(),
        seen.iter().filter(|request| request.status == 503).count(),
        seen.iter().filter(|request| !request.is_whole).count()
    ));
    for Seen { id, entry, sent, ended, status, is_whole, is_long } in seen.iter() {
        record.add(format!(
            "stream {id}: entry {}, sent {:.3}, ended {:.3}, status {status}, whole {is_whole}, long {is_long}, run {}",
            entry + 1, sent.as_secs_f64(), ended.as_secs_f64(), runs.contains(id)
        ));
    }
    let mut broken = 0;
    for request in seen.iter().filter(|request| !request.is_whole) {
        let since = stopped.iter().find(|(number, _)| *number == request.entry);
        let since = since.map(|(_, at)| request.sent.saturating_sub(*at));
        let took = request.ended - request.sent;
        let has_run = runs.contains(&request.id);
        // Sent no later than 3 s after SIGTERM: not counted, as its runner was at work to the end.
        let counts = has_run
            && took < Duration::from_millis(7900)
            && since.is_some_and(|since| {
                since > Duration::from_millis(3000) && since < grace + Duration::from_secs(1)
            });
        broken += u32::from(counts);
        record.add(format!(
            "stream {} at entry {}: sent {:?} after SIGTERM, status {}, broken off after {took:.1?}, long {}, run {has_run}{}",
            request.id, request.entry + 1, since, request.status, request.is_long,
            if counts { ": LOST" } else { "" }
        ));
    }
    Some(broken > 0)
}
