//! Platform, runners and clients of a case.

use std::{
    collections::BTreeMap,
    io,
    net::SocketAddr,
    path::Path,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread::{self, sleep},
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use crate::{
    entry::{self, Entry},
    http::{self, Connection, Message},
    record::Record,
    store::Store,
};

/// Interval at which runners renew their entries in the store (`heartbeat_ms`).
const HEARTBEAT: Duration = Duration::from_millis(1200);

/// What a runner does with a request that it runs. It answers by itself.
pub type Handler = dyn Fn(&Runner, &mut Connection, &Message) -> io::Result<()> + Send + Sync;

/// Runner of a service, which keeps its address over restarts.
pub struct Runner {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub stage: Option<&'static str>,
    pub address: Mutex<Option<SocketAddr>>,
    /// Version of its software and Unix millisecond of its start.
    pub start: Mutex<(String, u64)>,
    /// Number of its start; connections of earlier ones are ended.
    pub starts: AtomicU64,
    pub is_down: AtomicBool,
    /// Whether it reaches no store.
    pub is_cut_off: AtomicBool,
    sequence: AtomicU64,
    store: Store,
    /// Ids of the requests that began to run.
    pub runs: Mutex<Vec<String>>,
}

pub fn unix_millis() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64
}

impl Runner {
    pub fn start(
        store: &Store,
        (id, service, zone): (&str, &str, &str),
        stage: Option<&'static str>,
        version: &str,
        handler: impl Fn(&Runner, &mut Connection, &Message) -> io::Result<()> + Send + Sync + 'static,
    ) -> Arc<Runner> {
        let runner = Arc::new(Runner {
            id: id.to_owned(),
            service: service.to_owned(),
            zone: zone.to_owned(),
            stage,
            address: Mutex::new(None),
            start: Mutex::new((version.to_owned(), unix_millis())),
            starts: AtomicU64::new(0),
            is_down: AtomicBool::new(false),
            is_cut_off: AtomicBool::new(false),
            sequence: AtomicU64::new(0),
            store: store.clone(),
            runs: Mutex::default(),
        });
        let serving = runner.clone();
        let address = http::serve(id, move |connection, request| {
            serving.answer(&handler, connection, &request)
        });
        *runner.address.lock().unwrap() = Some(address);
        runner.beat();
        runner
    }

    /// Registers now and with each heartbeat, until its next start.
    fn beat(self: &Arc<Runner>) {
        let (beating, start) = (self.clone(), self.starts.load(Ordering::Relaxed));
        thread::spawn(move || {
            while beating.starts.load(Ordering::Relaxed) == start {
                if !beating.is_cut_off.load(Ordering::Relaxed) {
                    beating.register();
                }
                sleep(HEARTBEAT);
            }
        });
    }

    /// Ends this start of the runner.
    pub fn crash(&self) {
        self.is_down.store(true, Ordering::Relaxed);
        self.starts.fetch_add(1, Ordering::Relaxed);
    }

    /// Starts it again under its id and address, with this version of its software.
    pub fn start_again(self: &Arc<Runner>, version: &str) {
        *self.start.lock().unwrap() = (version.to_owned(), unix_millis());
        self.sequence.store(0, Ordering::Relaxed);
        self.is_down.store(false, Ordering::Relaxed);
        self.beat();
    }

    /// Writes its entry to the store, which takes it unless it is down.
    pub fn register(&self) {
        let sequence = self.sequence.fetch_add(1, Ordering::Relaxed) + 1;
        let (version, born) = self.start.lock().unwrap().clone();
        let address = self.address.lock().unwrap().expect("address");
        let stage = self.stage.map_or(String::new(), |stage| {
            format!(",\"stage\":\"{stage}\",\"models\":[{{\"name\":\"m\",\"version\":1,\"adapters\":[]}}]")
        });
        let value = format!(
            "{{\"service\":\"{}\",\"address\":\"{address}\",\"zone\":\"{}\",\"version\":\"{version}\",\
             \"slots\":16,\"state\":\"ready\",\"cold_remaining_ms\":0{stage},\"sequence\":{sequence},\
             \"born\":{born}}}",
            self.service, self.zone
        );
        self.store.put_by_runner("keyed.servers", &self.id, value.as_bytes());
    }

    fn answer(
        &self,
        handler: &Handler,
        connection: &mut Connection,
        request: &Message,
    ) -> io::Result<()> {
        if self.is_down.load(Ordering::Relaxed) {
            return Err(io::ErrorKind::ConnectionReset.into());
        }
        let id = request.header("request-id").unwrap_or("").to_owned();
        if request.header("expect-instance").is_some_and(|expected| expected != self.id) {
            let headers = [("Instance-Id", self.id.as_str()), ("Request-Id", id.as_str())];
            return connection.respond("421 Misdirected Request", &headers, b"");
        }
        match (request.method(), request.path()) {
            ("GET", "/report") => {
                let body = "{\"stage\":\"decode\",\"busy\":false,\"sequence\":0}";
                return connection.respond("200 OK", &[], body.as_bytes());
            }
            ("POST", "/order") => return connection.respond("400 Bad Request", &[], b""),
            ("DELETE", _) => return connection.respond("200 OK", &[], b""),
            _ => {}
        }
        if id.is_empty() {
            return connection.respond("400 Bad Request", &[("Not-Executed", "1")], b"");
        }
        self.runs.lock().unwrap().push(id);
        handler(self, connection, request)
    }
}

/// Readiness of the entries as the platform sees it, and its choice of an entry for a client.
pub struct Balancer {
    fronts: Vec<(SocketAddr, SocketAddr)>,
    misses: Mutex<Vec<u32>>,
}

impl Balancer {
    /// Begins to ask each entry of one zone each second.
    pub fn start(entries: &[Entry]) -> Arc<Balancer> {
        let fronts: Vec<_> = entries.iter().map(|entry| (entry.front, entry.ready)).collect();
        let misses = Mutex::new(vec![0; fronts.len()]);
        let balancer = Arc::new(Balancer { fronts, misses });
        let asking = balancer.clone();
        thread::spawn(move || {
            loop {
                for (index, (_, ready)) in asking.fronts.iter().enumerate() {
                    let is_ready = is_ready(*ready);
                    let misses = &mut asking.misses.lock().unwrap()[index];
                    *misses = if is_ready { 0 } else { *misses + 1 };
                }
                sleep(Duration::from_secs(1));
            }
        });
        balancer
    }

    /// Returns which entries receive new connections.
    pub fn rotation(&self) -> Vec<usize> {
        let misses = self.misses.lock().unwrap();
        let ready: Vec<usize> = (0..misses.len()).filter(|index| misses[*index] < 2).collect();
        // With fewer than half of a zone's daemons in rotation, all of them are used.
        if 2 * ready.len() < misses.len() { (0..misses.len()).collect() } else { ready }
    }

    /// Returns the entry that a client's new connection goes to, by a hash of the client.
    pub fn choose(&self, client: u64) -> (usize, SocketAddr) {
        let rotation = self.rotation();
        let mixed = client.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 33;
        let index = rotation[mixed as usize % rotation.len()];
        (index, self.fronts[index].0)
    }
}

fn is_ready(address: SocketAddr) -> bool {
    let ask = || -> io::Result<u16> {
        let mut connection = Connection::connect(address)?;
        connection.stream.set_read_timeout(Some(Duration::from_millis(500)))?;
        connection.write(b"GET /ready HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n")?;
        Ok(connection.read_message()?.map_or(0, |message| message.status()))
    };
    ask().is_ok_and(|status| status == 200)
}

/// Answer that a client got.
#[derive(Debug, Clone, Default)]
pub struct Answer {
    pub status: u16,
    pub body: Vec<u8>,
    /// Whether the answer was read to its end.
    pub is_complete: bool,
    pub error: String,
}

static NEXT_ID: AtomicU64 = AtomicU64::new(1);

/// Returns an id that no other request has.
pub fn new_id() -> String {
    format!("{:x}{:06x}", unix_millis(), NEXT_ID.fetch_add(1, Ordering::Relaxed))
}

/// Head of a request without a body.
pub fn request_head(method: &str, path: &str, id: &str, more: &[(&str, &str)]) -> String {
    let mut head =
        format!("{method} {path} HTTP/1.1\r\nHost: ficu95.example\r\nRequest-Id: {id}\r\n");
    if method == "POST" {
        head.push_str("Content-Length: 0\r\n");
    }
    for (name, value) in more {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    head + "\r\n"
}

/// Sends a request on a new connection and reads its answer. `pause` is called after the head.
pub fn send(address: SocketAddr, head: &str, pause: impl FnOnce()) -> Answer {
    match Connection::connect(address) {
        Ok(mut connection) => exchange(&mut connection, head, pause),
        Err(error) => Answer { error: error.to_string(), ..Answer::default() },
    }
}

/// Sends a request on a connection and reads its answer. `pause` is called after the head.
pub fn exchange(connection: &mut Connection, head: &str, pause: impl FnOnce()) -> Answer {
    let mut answer = Answer::default();
    let result = (|| -> io::Result<()> {
        connection.stream.set_read_timeout(Some(Duration::from_secs(12)))?;
        connection.write(head.as_bytes())?;
        let Some(head) = connection.read_head()? else {
            return Err(io::ErrorKind::UnexpectedEof.into());
        };
        answer.status = head.status();
        pause();
        if head.header("transfer-encoding").is_some() {
            while let Some(chunk) = connection.read_chunk()? {
                answer.body.extend(chunk);
            }
        } else {
            let mut message = head;
            connection.read_body(&mut message)?;
            answer.body = message.body;
        }
        answer.is_complete = true;
        Ok(())
    })();
    if let Err(error) = result {
        answer.error = error.to_string();
    }
    answer
}

/// Interface of the platform that takes reports of usage.
#[derive(Clone, Default)]
pub struct UsagePlatform {
    /// Reports of each window in the order of their arrival: holder, fence and counts.
    pub reports: Arc<Mutex<BTreeMap<u64, Vec<(String, u64, String)>>>>,
}

impl UsagePlatform {
    pub fn serve(&self, record: &Record) -> SocketAddr {
        let (reports, record) = (self.reports.clone(), record.clone());
        http::serve("usage", move |connection, request| {
            let body = String::from_utf8_lossy(&request.body).into_owned();
            let window = number_after(&body, "\"window\":").unwrap_or(0);
            let counts = body.split_once("\"counts\":").map_or("", |(_, counts)| counts);
            let counts = counts.trim_end_matches('}').to_owned();
            let holder = request.header("lease-holder").unwrap_or("").to_owned();
            let fence = request.header("fencing-token").and_then(|text| text.parse().ok());
            let fence: u64 = fence.unwrap_or(0);
            record.add(format!(
                "usage accepted: window {window} holder {holder} fence {fence} counts {counts}"
            ));
            reports.lock().unwrap().entry(window).or_default().push((holder, fence, counts));
            connection.respond("200 OK", &[], b"")
        })
    }
}

pub fn number_after(text: &str, name: &str) -> Option<u64> {
    let rest = text.split_once(name)?.1;
    let digits: String = rest.chars().take_while(char::is_ascii_digit).collect();
    digits.parse().ok()
}

/// Starts entries and waits until they are ready.
pub fn start_entries(
    folder: &Path,
    zones: &[&str],
    store: &Store,
    more: &str,
) -> Option<Vec<Entry>> {
    let mut entries = entry::prepare(folder, zones, store.address, more);
    entries.iter_mut().for_each(Entry::start);
    let longest = Duration::from_secs(10);
    entries.iter().all(|entry| entry.wait_until_ready(longest)).then_some(entries)
}

pub fn wait_until(longest: Duration, mut is_true: impl FnMut() -> bool) -> bool {
    let until = Instant::now() + longest;
    while Instant::now() < until {
        if is_true() {
            return true;
        }
        sleep(Duration::from_millis(10));
    }
    false
}
