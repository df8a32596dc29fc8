//! The operator raises a limit on what clients may send while their connections are open.

use std::{
    io::Write,
    net::{SocketAddr, TcpStream},
    thread,
    time::Duration,
};

use crate::{
    Context, Verdict,
    entry::{Entry, Ports},
    http::Reader,
    load::new_id,
    record::Record,
    runner::{Handles, Profile, Runner},
    store::Store,
};

/// Limits on heads before and after the change, in bytes, and the length of a header between.
const LIMITS: (u32, u32) = (8_192, 32_768);
const HEADER_BYTES: usize = 12_000;
const CLIENTS: usize = 60;
/// Time from the acknowledgement of the change to the requests that it allows; `config_apply_ms` is
/// 2 s.
const WAIT: Duration = Duration::from_secs(6);

fn config(version: u64, head_bytes: u32) -> String {
    format!(
        "{{\"version\":{version},\"routes\":[{{\"name\":\"r-t\",\"host\":\"front.example\",\
         \"path_prefix\":\"/t/\",\"kind\":\"unsafe\",\"timeout_ms\":1500,\
         \"target_latency_ms\":150,\"priority\":2,\"service\":\"registry\",\"max_attempts\":1,\
         \"sticky\":false,\"resumable\":false}}],\"services\":[{{\"name\":\"registry\",\
         \"health_path\":\"/health\",\"max_connections\":110,\"protocol\":\"h1\",\
         \"tls\":false}}],\"limits\":{{\"max_header_bytes\":{head_bytes},\
         \"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}}}"
    )
}

fn service(id: &'static str) -> Profile {
    let (slots, call) = (6, Duration::from_millis(20));
    let service = "registry";
    Profile { id, service, stage: "", slots, tokens_per_ms: 1, gap: Duration::ZERO, call }
}

/// Connection of a client that is kept for many requests.
struct KeptConnection {
    writer: TcpStream,
    reader: Reader,
}

impl KeptConnection {
    fn open(address: SocketAddr) -> Option<KeptConnection> {
        let writer = TcpStream::connect_timeout(&address, Duration::from_secs(1)).ok()?;
        writer.set_nodelay(true).ok()?;
        writer.set_read_timeout(Some(Duration::from_secs(2))).ok()?;
        let reader = Reader::new(writer.try_clone().ok()?);
        Some(KeptConnection { writer, reader })
    }

    /// Sends a request with a header of this length, and returns the status of its answer, 0 if
    /// there was none.
    fn send(&mut self, header_bytes: usize, record: &Record) -> u16 {
        let id = new_id();
        let note = "n".repeat(header_bytes);
        let text = format!(
            "POST /t/{id} HTTP/1.1\r\nHost: front.example\r\nRequest-Id: {id}\r\n\
             Deadline-Ms: 1500\r\nNote: {note}\r\nContent-Length: 6\r\n\r\nticket"
        );
        let mut read = || {
            self.writer.write_all(text.as_bytes()).ok()?;
            let head = self.reader.head().ok()?;
            let length = head.header("content-length").and_then(|t| t.parse().ok()).unwrap_or(0);
            for _ in 0..length {
                self.reader.byte().ok()?;
            }
            Some(head.status())
        };
        let status = read().unwrap_or(0);
        record.line(&format!("{id} with a header of {header_bytes} bytes answered {status}"));
        status
    }
}

pub fn play(context: &Context) -> Verdict {
    let record = &context.record;
    let store = Store::open(record);
    let handles = Handles::default();
    let write = |version, limit| {
        store.write("keyed.op", "config", config(version, limit).as_bytes());
    };
    let (before, after) = LIMITS;
    write(3, if context.trouble { before } else { after });
    let _runners: Vec<Runner> = ["i-1", "i-2", "i-3"]
        .into_iter()
        .map(|id| Runner::open(service(id), &store, &handles, record))
        .collect();
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
    thread::sleep(Duration::from_secs(3));
    let fronts: Vec<SocketAddr> = entries.iter().map(Entry::front).collect();
    let mut sent = 0;
    let mut clients: Vec<KeptConnection> = (0..CLIENTS)
        .filter_map(|number| KeptConnection::open(fronts[number % fronts.len()]))
        .collect();
    let mut use_all = |clients: &mut Vec<KeptConnection>, bytes: usize| {
        sent += clients.len();
        let statuses = clients.iter_mut().map(|client| {
            thread::sleep(Duration::from_millis(25));
            client.send(bytes, record)
        });
        statuses.collect::<Vec<u16>>()
    };
    let first = use_all(&mut clients, 20);
    if first.iter().any(|status| *status != 200) {
        return Verdict::CannotRun("not all first requests are answered".to_owned());
    }
    if context.trouble {
        write(5, after);
        record.line("version 5 acknowledged: heads of 32768 bytes are allowed");
    }
    thread::sleep(WAIT);
    let denied = |statuses: Vec<u16>| statuses.iter().filter(|s| (300..500).contains(*s)).count();
    let on_kept = denied(use_all(&mut clients, HEADER_BYTES));
    let mut fresh: Vec<KeptConnection> = (0..CLIENTS)
        .filter_map(|number| KeptConnection::open(fronts[number % fronts.len()]))
        .collect();
    let on_new = denied(use_all(&mut fresh, HEADER_BYTES));
    let text = format!(
        "of {sent} requests, {on_kept} on connections from before and {on_new} on new ones were \
         denied, which all configurations that may be in force allow"
    );
    record.line(&text);
    if on_kept + on_new > 5 + sent / 500 { Verdict::Broken(text) } else { Verdict::Held }
}
