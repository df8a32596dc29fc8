//! ONE: two usage reports for one window with different counts.
//!
//! All entries lose power right after a window was reported, and the store comes back from a copy
//! that is two seconds old.

use std::{
    collections::VecDeque,
    path::Path,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread::{self, sleep},
    time::{Duration, Instant},
};

use crate::{
    entry::Entry,
    record::Record,
    store::{Store, StoreCopy},
    world::{self, Runner, UsagePlatform, request_head},
};

/// Age of the copy that the store comes back from, and time for which it is away.
const COPY_AGE: Duration = Duration::from_secs(2);
const AWAY: Duration = Duration::from_millis(300);

const CONFIG: &str = r#"{"version":7,"routes":[{"name":"r-status","host":"ficu95.example","path_prefix":"/puxa403/","kind":"safe","timeout_ms":1000,"target_latency_ms":150,"priority":2,"service":"wuno96b","max_attempts":2,"allow_anonymous":false}],"services":[{"name":"wuno96b","health_path":"/health","max_connections":220,"protocol":"h1","tls":false}],"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},"tenants":[{"name":"huka270","api_keys":["aj3nr26tta828m82thhk"],"priority":1},{"name":"puhu251","api_keys":["mgjqnirth5mgjy5rcpih"],"priority":1}]}"#;

pub fn run(folder: &Path, record: &Record, trouble: &str) -> Option<bool> {
    let (has_power_loss, has_restore) = match trouble {
        "0" => (false, false),
        "power" => (true, false),
        "restore" => (false, true),
        _ => (true, true),
    };
    let store = Store::start(Some(1));
    store.put("keyed.op", "config", CONFIG.as_bytes());
    let runners: Vec<_> = ["lk-west-a", "lk-west-b", "lk-west-c"]
        .iter()
        .enumerate()
        .map(|(number, zone)| {
            let id = format!("i-{number}");
            Runner::start(&store, (&id, "wuno96b", zone), None, "v1", |_, connection, request| {
                sleep(Duration::from_millis(5));
                let id = request.header("request-id").unwrap_or("").to_owned();
                let headers = [("Request-Id", id.as_str()), ("Server-Signature", "3e1b.07")];
                connection.respond("200 OK", &headers, &[b'x'; 800])
            })
        })
        .collect();
    let platform = UsagePlatform::default();
    let address = platform.serve(record);
    let more = format!(
        "cloud_api.address={address}\ncloud_api.rate_per_s=50.0\ncloud_api.duties=usage\n\
         cloud_api.duty_per_s=50.0\nbounds.report_window_s=5\nbounds.usage_late_s=10\n\
         bounds.usage_tolerance=0.05\n"
    );
    let zones = ["lk-west-a", "lk-west-b", "lk-west-c"];
    let mut entries = world::start_entries(folder, &zones, &store, &more)?;
    record.add("3 entries ready");
    let is_over = Arc::new(AtomicBool::new(false));
    let fronts: Vec<_> = entries.iter().map(|entry| entry.front).collect();
    let answered = Arc::new(Mutex::new((0_u32, 0_u32)));
    for (number, front) in fronts.into_iter().enumerate() {
        let (is_over, answered) = (is_over.clone(), answered.clone());
        thread::spawn(move || {
            let keys = ["aj3nr26tta828m82thhk", "mgjqnirth5mgjy5rcpih"];
            let key = format!("Token {}", keys[number % 2]);
            while !is_over.load(Ordering::Relaxed) {
                let more = [("Authorization", key.as_str()), ("Deadline-Ms", "1000")];
                let head = request_head("GET", "/puxa403/2f", &world::new_id(), &more);
                let answer = world::send(front, &head, || {});
                let mut counts = answered.lock().unwrap();
                counts.0 += 1;
                counts.1 += u32::from(answer.status == 200);
                drop(counts);
                sleep(Duration::from_millis(30));
            }
        });
    }
    // The platform copies its store now and then.
    let copies: Arc<Mutex<VecDeque<(Instant, StoreCopy)>>> = Arc::default();
    let (copying, kept, source) = (is_over.clone(), copies.clone(), store.clone());
    thread::spawn(move || {
        while !copying.load(Ordering::Relaxed) {
            let mut kept = kept.lock().unwrap();
            kept.push_back((Instant::now(), source.copy()));
            if kept.len() > 60 {
                kept.pop_front();
            }
            drop(kept);
            sleep(Duration::from_millis(100));
        }
    });
    // The second window of the holder, so that it has counted the whole window.
    let has_reported = || platform.reports.lock().unwrap().len() >= 3;
    if !world::wait_until(Duration::from_secs(40), has_reported) {
        record.add("no usage was reported");
        return None;
    }
    if has_power_loss {
        record.add("all entries lose power");
        entries.iter_mut().for_each(Entry::kill);
    }
    if has_restore {
        record.add("the store is away");
        store.set_down(true);
        let copy = {
            let mut copies = copies.lock().unwrap();
            let is_old = |(at, _): &(Instant, StoreCopy)| at.elapsed() >= COPY_AGE;
            let index = copies.iter().rposition(is_old)?;
            copies.remove(index)?.1
        };
        store.restore(copy);
        sleep(AWAY);
        store.set_down(false);
        // What the operator wrote is written again.
        store.put("keyed.op", "config", CONFIG.as_bytes());
        record.add("the store is back from a copy that is 2 s old");
    }
    if has_power_loss {
        entries.iter_mut().for_each(Entry::start);
        record.add("all entries start again");
    }
    let until = record.time() + Duration::from_secs(20);
    while record.time() < until {
        sleep(Duration::from_secs(1));
        let (sent, served) = *answered.lock().unwrap();
        let run: usize = runners.iter().map(|runner| runner.runs.lock().unwrap().len()).sum();
        record.add(format!("so far {sent} requests sent, {served} answered with 200, {run} run"));
    }
    is_over.store(true, Ordering::Relaxed);
    let reports = platform.reports.lock().unwrap();
    let mut broken = false;
    for (window, reports) in reports.iter() {
        if reports.iter().any(|report| report.2 != reports[0].2) {
            broken = true;
            record.add(format!(
                "BROKEN: window {window} has reports with different counts: {reports:?}"
            ));
        }
    }
    Some(broken)
}
