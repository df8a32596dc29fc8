//! Engines crash while nothing runs there, and start again under their ids with another version
//! of their software.

use std::{
    collections::BTreeSet,
    net::SocketAddr,
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::{
    Context, Verdict,
    client::send,
    entry::{Entry, Ports},
    load::{new_id, prompt},
    record::Record,
    runner::{Handles, Profile, Runner},
    store::Store,
};

const CONFIG: &str = r#"{"version":3,"routes":[{"name":"r-s","host":"front.example","path_prefix":"/s/","kind":"streaming","timeout_ms":5000,"target_latency_ms":500,"priority":1,"service":"llm","max_attempts":2,"sticky":true,"resumable":true,"target_gap_ms":150}],"services":[{"name":"llm","health_path":"/health","max_connections":180,"protocol":"h1","tls":false,"engine":{"slots":16,"kv_capacity_tokens":400000,"token_kv_bytes":163840,"link_mbps":1500000.0,"moves":true,"backups":true,"stride":12,"most":12,"handle_ttl_s":5.0,"switch_s":3.0,"pin_ms":4000.0,"hold_ms":2000.0,"models":[{"name":"m"}]}}],"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}}"#;

/// Engines that crash, of twelve: a share of 0.25.
const CRASHING: usize = 3;
/// Time for which a crashed engine is down.
const DOWN: Duration = Duration::from_secs(2);
/// Time from the start of the new software to its own crash.
const SECOND_CRASH: Duration = Duration::from_millis(900);
/// Clients that come at once, each with one stream.
const CLIENTS: usize = 72;
const EVENTS: u64 = 20;
const DEADLINE: Duration = Duration::from_secs(5);

fn engine(id: &'static str) -> Profile {
    let (slots, gap) = (16, Duration::from_millis(60));
    let (service, stage, call) = ("llm", "decode", Duration::ZERO);
    Profile { id, service, stage, slots, tokens_per_ms: 60, gap, call }
}

pub fn play(context: &Context) -> Verdict {
    let record = &context.record;
    let store = Store::open(record);
    let handles = Handles::default();
    store.write("keyed.op", "config", CONFIG.as_bytes());
    let ids = ["i-01", "i-02", "i-03", "i-04", "i-05", "i-06", "i-07", "i-08", "i-09", "i-10"];
    let ids = ids.into_iter().chain(["i-11", "i-12"]);
    let engines: Vec<Runner> =
        ids.map(|id| Runner::open(engine(id), &store, &handles, record)).collect();
    let ports = Ports::find(2);
    let mut entries: Vec<Entry> = [("front-a-1", 1), ("front-b-1", 2)]
        .into_iter()
        .map(|(name, number)| {
            Entry::new(name, number, ports, &[1, 2], &store, &context.folder, record)
        })
        .collect();
    for entry in &mut entries {
        if !entry.start(Duration::from_secs(5)) {
            return Verdict::CannotRun(format!("{} does not get ready", entry.name));
        }
    }
    let fronts: Vec<SocketAddr> = entries.iter().map(Entry::front).collect();
    thread::sleep(Duration::from_secs(3));
    let mixed = Arc::new(Mutex::new(Vec::new()));
    let whole = Arc::new(Mutex::new(0));
    // The load comes in batches, between which nothing runs for seconds.
    for batch in 0..4 {
        let is_struck = context.trouble && batch > 0;
        let struck = &engines[(batch.max(1) - 1) * CRASHING..batch.max(1) * CRASHING];
        if is_struck {
            struck.iter().for_each(Runner::crash);
            thread::sleep(DOWN);
            let version = format!("v{}", batch + 1);
            let starting: Vec<_> = struck
                .iter()
                .map(|engine| {
                    let (engine, version) = (engine.clone(), version.clone());
                    thread::spawn(move || engine.start_again(&version))
                })
                .collect();
            starting.into_iter().for_each(|starting| {
                starting.join().ok();
            });
        } else {
            thread::sleep(DOWN);
        }
        let clients = clients(&fronts, record, &mixed, &whole);
        if is_struck {
            thread::sleep(SECOND_CRASH);
            struck.iter().for_each(Runner::crash);
            thread::sleep(DOWN);
            let version = format!("v{}", batch + 1);
            struck.iter().for_each(|engine| engine.start_again(&version));
        }
        for client in clients {
            client.join().ok();
        }
        thread::sleep(Duration::from_secs(4));
    }
    let (mixed, whole) = (mixed.lock().unwrap(), *whole.lock().unwrap());
    record.line(&format!("{whole} streams whole; {} hold events of two versions", mixed.len()));
    match mixed.len() {
        _ if whole == 0 => Verdict::CannotRun("no stream was whole".to_owned()),
        0..=2 => Verdict::Held,
        count => Verdict::Broken(format!("{count} streams hold events of two software versions")),
    }
}

fn clients(
    fronts: &[SocketAddr],
    record: &Record,
    mixed: &Arc<Mutex<Vec<String>>>,
    whole: &Arc<Mutex<u32>>,
) -> Vec<thread::JoinHandle<()>> {
    (0..CLIENTS)
        .map(|number| {
            let (fronts, record) = (fronts.to_vec(), record.clone());
            let (mixed, whole) = (mixed.clone(), whole.clone());
            thread::spawn(move || {
                let (complete, events) = stream(&fronts, number, &record);
                let versions: BTreeSet<&str> =
                    events.iter().filter_map(|(_, data)| data.rsplit(' ').next()).collect();
                if versions.len() > 1 {
                    let line: Vec<String> =
                        events.iter().map(|(id, data)| format!("{id}: {data}")).collect();
                    record.line(&format!("a stream of two versions: {}", line.join(", ")));
                    mixed.lock().unwrap().push(line.join(", "));
                }
                *whole.lock().unwrap() += u32::from(complete);
            })
        })
        .collect()
}

/// Reads a stream, which the client takes up once more after a connection that broke.
fn stream(fronts: &[SocketAddr], number: usize, record: &Record) -> (bool, Vec<(u64, String)>) {
    let until = Instant::now() + DEADLINE;
    let mut call = prompt("/s/", 300, EVENTS, DEADLINE);
    let original = call.id.clone();
    let mut events: Vec<(u64, String)> = Vec::new();
    for attempt in 0..4 {
        let answer = send(fronts[(number + attempt) % fronts.len()], &call);
        record.line(&format!(
            "client {number} {} answered {}, {} events, whole: {}",
            call.id,
            answer.status,
            answer.events.len(),
            answer.complete
        ));
        if answer.status == 200 {
            events.extend(answer.events);
        }
        if answer.complete && answer.status == 200 {
            return (true, events);
        }
        let broke = answer.status == 200;
        let refused = answer.status == 503;
        if !broke && !refused {
            break;
        }
        thread::sleep(Duration::from_millis(if refused { 400 } else { 30 }));
        let left = until.saturating_duration_since(Instant::now());
        if left < Duration::from_millis(300) {
            break;
        }
        call.id = new_id();
        call.deadline = left;
        if let Some((last, _)) = events.last() {
            call.headers.retain(|(name, _)| name != "Last-Event-Id" && name != "Resumes");
            call.headers.push(("Last-Event-Id".to_owned(), last.to_string()));
            call.headers.push(("Resumes".to_owned(), original.clone()));
        }
    }
    (false, events)
}
