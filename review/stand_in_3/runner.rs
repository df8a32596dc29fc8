//! A model runner: registers itself in the store and answers streams. It runs as a process of its
//! own, so that it can be killed.

use std::{
    io::{BufReader, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    thread,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use crate::{
    http::{self, Head, read_bytes, read_head, respond, write_chunk},
    store::{OUTSIDE, encode},
};

pub const SERVICE: &str = "service-a";
pub const HEARTBEAT: Duration = Duration::from_millis(1200);
/// Events of a whole stream, and the time between two of them.
pub const EVENTS: u64 = 12;
pub const EVENT_GAP: Duration = Duration::from_millis(150);

struct Runner {
    id: String,
    version: String,
    address: SocketAddr,
    store: SocketAddr,
    born: u128,
    /// Requests that run, and how many fit; any further ones are turned away.
    running: AtomicUsize,
    room: usize,
}

/// Runs a runner: `ID VERSION ADDRESS STORE ROOM`.
pub fn run(words: &[String]) {
    let [id, version, address, store, room] = words else {
        panic!("runner: ID VERSION ADDRESS STORE ROOM");
    };
    let born = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis();
    let runner = Arc::new(Runner {
        id: id.clone(),
        version: version.clone(),
        address: address.parse().unwrap(),
        store: store.parse().unwrap(),
        born,
        running: AtomicUsize::new(0),
        room: room.parse().unwrap(),
    });
    let listener = TcpListener::bind(runner.address).expect("the runner's address");
    let beating = runner.clone();
    thread::spawn(move || {
        for sequence in 1_u64.. {
            beating.register(sequence);
            thread::sleep(HEARTBEAT);
        }
    });
    for stream in listener.incoming().flatten() {
        let runner = runner.clone();
        thread::spawn(move || runner.serve(stream));
    }
}

impl Runner {
    fn register(&self, sequence: u64) {
        let Runner { id, version, address, born, .. } = self;
        let entry = format!(
            "{{\"service\":\"{SERVICE}\",\"address\":\"{address}\",\"zone\":\"zone-a\",\
             \"version\":\"{version}\",\"slots\":16,\"state\":\"ready\",\"cold_remaining_ms\":0,\
             \"stage\":\"decode\",\"models\":[{{\"name\":\"m\",\"version\":1,\"adapters\":[]}}],\
             \"sequence\":{sequence},\"born\":{born}}}"
        );
        let record = encode(&(id.clone(), entry.into_bytes()));
        let line = "POST /log-append?topic=keyed.servers&part=0";
        drop(http::call(self.store, line, &[(OUTSIDE, id)], &record));
    }

    fn serve(&self, mut stream: TcpStream) {
        let Ok(clone) = stream.try_clone() else { return };
        drop(stream.set_nodelay(true));
        let mut reader = BufReader::new(clone);
        while let Ok(Some(head)) = read_head(&mut reader) {
            let Ok(_) = read_bytes(&mut reader, head.length()) else { return };
            if self.answer(&mut stream, &head).is_err() {
                return;
            }
        }
    }

    fn answer(&self, stream: &mut TcpStream, head: &Head) -> std::io::Result<()> {
        let request = head.get("request-id").unwrap_or("").to_owned();
        if head.get("expect-instance").is_some_and(|expected| expected != self.id) {
            let fields = [("Instance-Id", &*self.id), ("Request-Id", &*request)];
            return respond(stream, "421 Misdirected Request", &fields, b"");
        }
        match (head.word(0), head.word(1)) {
            ("GET", "/health") => respond(stream, "200 OK", &[("Instance-Id", &self.id)], b""),
            ("GET", "/report") => {
                let report = format!(
                    "{{\"stage\":\"decode\",\"models\":[{{\"name\":\"m\",\"version\":1,\
                     \"adapters\":[]}}],\"busy\":false,\"sequence\":0,\"waiting\":0,\
                     \"running\":0,\"kv_used\":0,\"kv_total\":400000,\"kv_handles\":0,\
                     \"born\":{}}}",
                    self.born
                );
                respond(stream, "200 OK", &[], report.as_bytes())
            }
            ("POST", path) if path.starts_with("/stream/") => {
                let result = if self.running.fetch_add(1, Ordering::Relaxed) < self.room {
                    self.generate(stream, head, &request)
                } else {
                    let fields =
                        [("Request-Id", &*request), ("Not-Executed", "1"), ("Retry-After", "2")];
                    respond(stream, "503 Service Unavailable", &fields, b"")
                };
                self.running.fetch_sub(1, Ordering::Relaxed);
                result
            }
            _ => respond(stream, "400 Bad Request", &[("Request-Id", &request)], b""),
        }
    }

    /// Writes the events after the last one that the request names.
    fn generate(
        &self,
        stream: &mut TcpStream,
        head: &Head,
        request: &str,
    ) -> std::io::Result<()> {
        let last = head.get("last-event-id").and_then(|text| text.parse::<u64>().ok()).unwrap_or(0);
        write!(
            stream,
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nRequest-Id: {request}\r\n\
             Server-Signature: {}.{request}\r\nTransfer-Encoding: chunked\r\n\r\n",
            self.id
        )?;
        for event in last + 1..=EVENTS {
            let text = format!("id: {event}\ndata: {} {}\n\n", self.id, self.version);
            write_chunk(stream, text.as_bytes())?;
            thread::sleep(EVENT_GAP);
        }
        write_chunk(stream, b"")
    }
}
