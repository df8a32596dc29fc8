//! The store comes back from an older copy while the operator changes the configuration.

use std::{
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::{
    Context, Verdict,
    client::Call,
    entry::{Entry, Ports},
    load::{Load, new_id},
    runner::{Handles, Profile, Runner},
    store::Store,
};

/// Time for which the store is away, and the age of the copy that it comes back from.
const AWAY: Duration = Duration::from_millis(1500);
const COPY_AGE: Duration = Duration::from_secs(3);
/// Time after the acknowledgement of the last version from which on requests are judged. The
/// bounds, which do not add up, are `config_apply_ms` 2 s, `stable_window_ms` 3 s and
/// `max_skew_ms` 5 s.
const JUDGED_AFTER: Duration = Duration::from_secs(12);
const JUDGED_FOR: Duration = Duration::from_secs(8);

/// Returns a configuration with the route `/x/` at a service.
fn config(version: u64, service: &str, timeout_ms: u64) -> String {
    let service_text = |name: &str| {
        format!(
            "{{\"name\":\"{name}\",\"health_path\":\"/health\",\"max_connections\":110,\
             \"protocol\":\"h1\",\"tls\":false}}"
        )
    };
    format!(
        "{{\"version\":{version},\"routes\":[{{\"name\":\"r-x\",\"host\":\"front.example\",\
         \"path_prefix\":\"/x/\",\"kind\":\"unsafe\",\"timeout_ms\":{timeout_ms},\
         \"target_latency_ms\":300,\"priority\":2,\"service\":\"{service}\",\
         \"max_attempts\":1,\"sticky\":false,\"resumable\":false}}],\"services\":[{},{}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\
         \"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}}}",
        service_text("ledger-old"),
        service_text("ledger-new")
    )
}

fn service(id: &'static str, service: &'static str) -> Profile {
    let (slots, call) = (6, Duration::from_millis(20));
    Profile { id, service, stage: "", slots, tokens_per_ms: 1, gap: Duration::ZERO, call }
}

fn request() -> Call {
    let id = new_id();
    Call {
        method: "POST",
        path: format!("/x/{id}"),
        host: "front.example".to_owned(),
        id,
        headers: Vec::new(),
        body: b"payout".to_vec(),
        deadline: Duration::from_millis(1500),
    }
}

pub fn play(context: &Context) -> Verdict {
    let record = &context.record;
    let store = Store::open(record);
    let handles = Handles::default();
    let write = |version, service: &str, timeout| {
        let text = config(version, service, timeout);
        store.write("keyed.op", "config", text.as_bytes()).is_some()
    };
    write(4, "ledger-old", 1500);
    let profiles = [
        service("i-old-1", "ledger-old"),
        service("i-old-2", "ledger-old"),
        service("i-new-1", "ledger-new"),
        service("i-new-2", "ledger-new"),
    ];
    let runners: Vec<Runner> =
        profiles.into_iter().map(|p| Runner::open(p, &store, &handles, record)).collect();
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
    let fronts: Vec<_> = entries.iter().map(Entry::front).collect();
    let sent: Arc<Mutex<Vec<(String, Instant)>>> = Arc::default();
    let (sending, answered) = (sent.clone(), record.clone());
    let load = Load::start(
        4,
        &fronts,
        Duration::from_millis(150),
        move || {
            let call = request();
            sending.lock().unwrap().push((call.id.clone(), Instant::now()));
            call
        },
        move |call, answer| answered.line(&format!("{} answered {}", call.id, answer.status)),
    );
    thread::sleep(Duration::from_secs(4));
    // Two ordinary changes of the configuration, which all entries read.
    write(6, "ledger-old", 1400);
    thread::sleep(Duration::from_millis(900));
    write(9, "ledger-old", 1300);
    thread::sleep(Duration::from_millis(1100));
    if context.trouble {
        let left = Instant::now();
        store.leave();
        thread::sleep(AWAY);
        store.come_back(left, COPY_AGE);
        // What the operator and the runners wrote is written again.
        write(9, "ledger-old", 1300);
        runners.iter().for_each(|runner| {
            runner.register();
        });
    } else {
        thread::sleep(AWAY);
    }
    // The next change moves the route.
    write(11, "ledger-new", 1300);
    let acknowledged = Instant::now();
    record.line("version 11 acknowledged: /x/ moves to ledger-new");
    thread::sleep(JUDGED_AFTER + JUDGED_FOR);
    drop(load);
    thread::sleep(Duration::from_millis(500));
    let judged: Vec<String> = sent
        .lock()
        .unwrap()
        .iter()
        .filter(|(_, at)| *at >= acknowledged + JUDGED_AFTER)
        .map(|(id, _)| id.clone())
        .collect();
    let runs_at = |service: &str| {
        let of_service = runners.iter().filter(|runner| runner.id().contains(service));
        let runs: Vec<String> =
            of_service.flat_map(|runner| runner.runs()).map(|run| run.request).collect();
        judged.iter().filter(|id| runs.contains(id)).count()
    };
    let (old, new) = (runs_at("old"), runs_at("new"));
    let text = format!(
        "{} requests sent 12 s or more after the acknowledgement of version 11: {old} run by the \
         old service, {new} by the new one",
        judged.len()
    );
    record.line(&text);
    match (old, new) {
        (0, 0) => Verdict::CannotRun("no request ran".to_owned()),
        (0, _) => Verdict::Held,
        _ => Verdict::Broken(text),
    }
}
