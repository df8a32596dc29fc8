//! LOST: the answer of a client that does not read for some seconds is cut off.
//!
//! The requests come right after SIGHUP, which is planned work.

use std::{
    path::Path,
    sync::{Arc, Mutex},
    thread::{self, sleep},
    time::Duration,
};

use crate::{
    http::Connection,
    record::Record,
    store::Store,
    world::{self, Answer, Runner, request_head},
};

const ANSWER_BYTES: usize = 256 * 1024;
/// Time for which a client does not read, in the middle of its answer.
const PAUSE: Duration = Duration::from_secs(4);

const CONFIG: &str = r#"{"version":7,"routes":[{"name":"r-look","host":"ficu95.example","path_prefix":"/puxa403/","kind":"safe","timeout_ms":8000,"target_latency_ms":150,"priority":2,"service":"wuno96b","max_attempts":2}],"services":[{"name":"wuno96b","health_path":"/health","max_connections":110,"protocol":"h1","tls":false}],"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}}"#;

pub fn run(folder: &Path, record: &Record, trouble: &str) -> Option<bool> {
    let store = Store::start(None);
    store.put("keyed.op", "config", CONFIG.as_bytes());
    let runner = Runner::start(
        &store,
        ("i-0", "wuno96b", "alm-north"),
        None,
        "v1",
        |_, connection, request| {
            let id = request.header("request-id").unwrap_or("").to_owned();
            let headers = [("Request-Id", id.as_str()), ("Server-Signature", "3e1b.07")];
            let length = if request.path().ends_with("large") { ANSWER_BYTES } else { 800 };
            connection.respond("200 OK", &headers, &vec![b'x'; length])
        },
    );
    let entries = world::start_entries(folder, &["alm-north", "alm-east"], &store, "")?;
    record.add("2 entries ready");
    sleep(Duration::from_secs(4));
    entries[0].signal("HUP");
    record.add("SIGHUP to the first");
    let front = entries[0].front;
    let answers: Arc<Mutex<Vec<Answer>>> = Arc::default();
    let clients: Vec<_> = (0..10)
        .map(|_| {
            let (answers, record) = (answers.clone(), record.clone());
            let pause = if trouble == "0" { Duration::ZERO } else { PAUSE };
            thread::spawn(move || {
                let small = request_head("GET", "/puxa403/small", &world::new_id(), &[("Deadline-Ms", "8000")]);
                let id = world::new_id();
                let large = request_head("GET", "/puxa403/large", &id, &[("Deadline-Ms", "8000")]);
                let mut connection = Connection::connect(front).expect("entry");
                let first = world::exchange(&mut connection, &small, || {});
                sleep(Duration::from_millis(100));
                let sent = record.time();
                let answer = world::exchange(&mut connection, &large, || sleep(pause));
                record.add(format!(
                    "kept connection: small answer {} whole {}; request {id}: sent at {:.3}, status {}, \
                     {} of {ANSWER_BYTES} bytes, whole {} {}",
                    first.status, first.is_complete, sent.as_secs_f64(), answer.status, answer.body.len(),
                    answer.is_complete, answer.error
                ));
                answers.lock().unwrap().push(answer);
            })
        })
        .collect();
    clients.into_iter().for_each(|client| drop(client.join()));
    let answers = answers.lock().unwrap();
    let lost = answers.iter().filter(|answer| answer.status == 200 && !answer.is_complete).count();
    record.add(format!("{} requests run", runner.runs.lock().unwrap().len()));
    record.add(format!("{lost} of {} answers were cut off", answers.len()));
    Some(lost > 0)
}
