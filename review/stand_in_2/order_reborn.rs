//! ORDER: streams go on at a runner that has started again with another software version.
//!
//! One of six runners is cut off for two seconds, crashes behind the cut and starts again under its
//! id. Its streams break as the cut heals, and their clients take them up again.

use std::{
    collections::BTreeSet,
    io,
    path::Path,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU32, Ordering},
    },
    thread::{self, sleep},
    time::Duration,
};

use crate::{
    http::Connection,
    record::Record,
    store::Store,
    world::{self, Runner, request_head},
};

const CLIENTS: usize = 48;
/// Events of a stream, and the time between two of them.
const EVENTS: u32 = 20;
const GAP: Duration = Duration::from_millis(200);
/// Time to the first event.
const FIRST: Duration = Duration::from_millis(90);
/// Longest time after which a client takes its stream up; each has its own.
const RETRY_DELAY: Duration = Duration::from_millis(700);
/// Length of the cut.
const CUT: Duration = Duration::from_secs(2);
/// Times after its begin at which the runner crashes, and is back.
const CRASH_AT: Duration = Duration::from_millis(500);
const BACK_AT: Duration = Duration::from_millis(1800);
/// Part of the prompt that all clients share, and that is their own.
const SHARED: &str = "5c1e07a2:13300";

const CONFIG: &str = r#"{"version":7,"routes":[{"name":"r-read","host":"ficu95.example","path_prefix":"/lohu930/","kind":"streaming","timeout_ms":8000,"target_latency_ms":600,"priority":1,"service":"huvo11a","max_attempts":2,"sticky":true,"resumable":true,"target_gap_ms":250}],"services":[{"name":"huvo11a","health_path":"/health","max_connections":450,"protocol":"h1","tls":false,"engine":{"slots":64,"kv_capacity_tokens":415034,"token_kv_bytes":327680,"link_mbps":2700000.0,"moves":true,"backups":true,"stride":12,"most":12,"handle_ttl_s":5.0,"switch_s":3.0,"pin_ms":4000.0,"hold_ms":2000.0,"models":[{"name":"m"}]}}],"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}}"#;

/// State of a runner's cut, beside the runner.
#[derive(Default)]
struct Cut {
    is_cut: AtomicBool,
    /// Number of cuts that are over. Connections from before are reset.
    healed: AtomicU32,
    /// Calls that came during the cut, which would have hung.
    calls_in_cut: AtomicU32,
    streams: AtomicU32,
    /// When the first stream began.
    first: Mutex<Option<Duration>>,
}

fn reset(connection: &Connection) -> io::Error {
    // A close with unread bytes, or without linger, resets a connection.
    crate::http::set_no_linger(&connection.stream);
    io::ErrorKind::ConnectionReset.into()
}

fn stream(
    runner: &Runner,
    cut: &Cut,
    connection: &mut Connection,
    request: &crate::http::Message,
) -> io::Result<()> {
    let healed = cut.healed.load(Ordering::Relaxed);
    if cut.is_cut.load(Ordering::Relaxed) {
        cut.calls_in_cut.fetch_add(1, Ordering::Relaxed);
    }
    let version = runner.start.lock().unwrap().0.clone();
    let id = request.header("request-id").unwrap_or("").to_owned();
    let after = request.header("last-event-id").and_then(|text| text.parse().ok()).unwrap_or(0_u32);
    let head = format!(
        "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nRequest-Id: {id}\r\n\
         Server-Signature: 3e1b.07\r\nTransfer-Encoding: chunked\r\n\r\n"
    );
    connection.write(head.as_bytes())?;
    cut.streams.fetch_add(1, Ordering::Relaxed);
    cut.first.lock().unwrap().get_or_insert_with(|| Duration::from_millis(world::unix_millis()));
    let mut result = Ok(());
    for event in after + 1..=EVENTS {
        sleep(if event == after + 1 { FIRST } else { GAP });
        while cut.is_cut.load(Ordering::Relaxed) {
            sleep(Duration::from_millis(5));
        }
        if cut.healed.load(Ordering::Relaxed) != healed {
            result = Err(reset(connection));
            break;
        }
        let text = format!("id: {event}\ndata: {} {version}\n\n", runner.id);
        result = connection.write_chunk(text.as_bytes());
        if result.is_err() {
            break;
        }
    }
    cut.streams.fetch_sub(1, Ordering::Relaxed);
    result?;
    connection.write(b"0\r\n\r\n")
}

/// Events that a client has: id, runner and version.
type Events = Vec<(u32, String, String)>;

fn parse_events(body: &[u8]) -> Events {
    let text = String::from_utf8_lossy(body);
    let whole = text.rfind("\n\n").map_or("", |end| &text[..end]);
    let events = whole.split("\n\n").filter_map(|event| {
        let id = event.strip_prefix("id: ")?.split('\n').next()?.parse().ok()?;
        let (runner, version) = event.split_once("data: ")?.1.split_once(' ')?;
        Some((id, runner.to_owned(), version.to_owned()))
    });
    events.collect()
}

pub fn run(folder: &Path, record: &Record, trouble: &str) -> Option<bool> {
    let store = Store::start(None);
    store.put("keyed.op", "config", CONFIG.as_bytes());
    let zones = ["alm-north", "alm-east", "alm-rail"];
    let runners: Vec<(Arc<Runner>, Arc<Cut>)> = (0..6)
        .map(|number| {
            let cut: Arc<Cut> = Arc::default();
            let own = cut.clone();
            let id = format!("i-{number}");
            let place = (id.as_str(), "huvo11a", zones[number % 3]);
            let runner = Runner::start(
                &store,
                place,
                Some("decode"),
                "v1",
                move |runner, connection, request| stream(runner, &own, connection, request),
            );
            (runner, cut)
        })
        .collect();
    let entries = world::start_entries(folder, &["alm-north", "alm-rail"], &store, "")?;
    record.add("2 entries ready, 6 runners of version v1");
    sleep(Duration::from_secs(5));
    let fronts: Vec<_> = entries.iter().map(|entry| entry.front).collect();
    let results: Arc<Mutex<Vec<(usize, Events, bool)>>> = Arc::default();
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let (record, results, fronts) = (record.clone(), results.clone(), fronts.clone());
            thread::spawn(move || {
                // Later clients come when the first one's prompt has been read.
                sleep(Duration::from_millis(15 * number as u64));
                let started = record.time();
                let mut events = Events::new();
                let mut first: Option<String> = None;
                let mut is_whole = false;
                for attempt in 0..4 {
                    let id = world::new_id();
                    let left = Duration::from_secs(8).saturating_sub(record.time() - started);
                    let deadline = left.as_millis().to_string();
                    let prefix = format!("{SHARED},{number:x}a:3720");
                    let last = events.last().map(|event| event.0.to_string());
                    let mut more = vec![
                        ("Model", "m"),
                        ("Token-Count", "17020,20"),
                        ("Prompt-Prefix", prefix.as_str()),
                        ("Deadline-Ms", deadline.as_str()),
                    ];
                    if let (Some(last), Some(first)) = (&last, &first) {
                        more.push(("Last-Event-Id", last));
                        more.push(("Resumes", first));
                    }
                    let head = request_head("POST", "/lohu930/2f", &id, &more);
                    // The clients' share of connections per entry is uneven; retries reach others.
                    let entry = attempt % fronts.len();
                    record.add(format!(
                        "client {number} sends {id} to entry {}, last event {}",
                        entry + 1,
                        last.as_deref().unwrap_or("none")
                    ));
                    let answer = world::send(fronts[entry], &head, || {});
                    let got = parse_events(&answer.body);
                    let from = got
                        .first()
                        .map_or("none".to_owned(), |event| format!("{} {}", event.1, event.2));
                    record.add(format!(
                        "client {number} got status {}, {} events from {from}, whole {}",
                        answer.status,
                        got.len(),
                        answer.is_complete
                    ));
                    if first.is_none() && !got.is_empty() {
                        first = Some(id);
                    }
                    events.extend(got);
                    is_whole =
                        answer.is_complete && events.last().is_some_and(|event| event.0 == EVENTS);
                    if is_whole {
                        break;
                    }
                    // Clients come back at times of their own.
                    sleep(RETRY_DELAY * (1 + number as u32 * 7 % 48) / 48);
                }
                results.lock().unwrap().push((number, events, is_whole));
            })
        })
        .collect();
    sleep(Duration::from_millis(1300));
    // The runner at which the first stream began, which has read the shared part of the prompt.
    let victim =
        runners.iter().min_by_key(|(_, cut)| cut.first.lock().unwrap().unwrap_or(Duration::MAX))?;
    let (runner, cut) = victim;
    record.add(format!("{} runs {} streams", runner.id, cut.streams.load(Ordering::Relaxed)));
    if trouble != "0" {
        record.add(format!("{} is cut off", runner.id));
        cut.is_cut.store(true, Ordering::Relaxed);
        // No entry of it reaches the store.
        runner.is_cut_off.store(true, Ordering::Relaxed);
        sleep(CRASH_AT);
        runner.crash();
        record.add(format!("{} crashes, behind the cut", runner.id));
        sleep(BACK_AT - CRASH_AT);
        runner.start_again("v2");
        record.add(format!("{} starts again as v2, behind the cut", runner.id));
        sleep(CUT - BACK_AT);
        runner.is_cut_off.store(false, Ordering::Relaxed);
        cut.healed.fetch_add(1, Ordering::Relaxed);
        cut.is_cut.store(false, Ordering::Relaxed);
        record.add("the cut heals");
    }
    clients.into_iter().for_each(|client| drop(client.join()));
    for entry in &entries {
        for line in entry.log_lines("connection to target broke") {
            record.add(format!("log of {}: {line}", entry.name));
        }
    }
    let late_calls = cut.calls_in_cut.load(Ordering::Relaxed);
    if late_calls > 0 {
        record.add(format!("{late_calls} calls came to the runner in the cut: not judged"));
        return None;
    }
    for (runner, _) in &runners {
        let runs = runner.runs.lock().unwrap().join(" ");
        record.add(format!("{} ran {runs}", runner.id));
    }
    let mut mixed = 0;
    for (number, events, is_whole) in results.lock().unwrap().iter() {
        let versions: BTreeSet<&str> = events.iter().map(|event| event.2.as_str()).collect();
        if versions.len() > 1 {
            mixed += 1;
            record
                .add(format!("client {number}: events of versions {versions:?}, whole {is_whole}"));
        }
    }
    record.add(format!("{mixed} of {CLIENTS} streams hold events of two versions"));
    Some(mixed > 2)
}
