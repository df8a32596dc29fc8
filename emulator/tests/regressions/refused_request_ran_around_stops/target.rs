//! Target whose process can be stopped, killed and started again on its address.

use std::{
    collections::HashMap,
    io,
    net::SocketAddr,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU64, AtomicUsize, Ordering},
    },
    time::Duration,
};

use bytes::{Buf, BytesMut};
use emulator::stand_in::{
    caller::EVENTS,
    fleet::{ENGINES, PLAIN},
    store::StoreModel,
};
use rand::{RngExt, SeedableRng, rngs::SmallRng};
use serde_json::json;
use socket2::{Domain, SockRef, Socket, Type};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpSocket, TcpStream},
    sync::{OwnedSemaphorePermit, Semaphore, watch},
    task::{AbortHandle, JoinSet},
    time::{Instant, sleep, sleep_until, timeout, timeout_at},
};

/// Interval between two registrations of a target.
const HEARTBEAT: Duration = Duration::from_millis(400);
/// Silence after which the store removes a registration.
const SILENCE_LIMIT: Duration = Duration::from_millis(1200);
/// Requests that wait for a slot before further ones are declined.
const QUEUE_LENGTH: usize = 12;
/// Connections beyond which a target resets new ones.
const MAX_CONNECTIONS: usize = 48;

/// Most connections that fill a listen queue; longer queues do not fill.
const MAX_CROWD: u32 = 8;
/// Longest time for which such a connection waits for its target.
const CROWD_TIME: Duration = Duration::from_secs(4);

/// Kind of a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Stage {
    Plain,
    Prefill,
    Decode,
}

/// What a target was asked to do for a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Work {
    /// The request itself, at a plain service or an engine.
    Run,
    /// Its prefill only.
    Prefill,
}

/// Work that a target began.
#[derive(Debug, Clone)]
pub struct BegunWork {
    pub request: String,
    pub work: Work,
    /// When it began, which is before anything is written.
    pub at: Instant,
    /// Target, by the id of its start.
    pub target: String,
    /// Name of the customer that the target was told.
    pub customer: Option<String>,
    /// Whether the target got credentials of the caller.
    pub has_credentials: bool,
    /// Priority of the call.
    pub priority: Option<u8>,
    /// Number of the connection among all of the targets.
    pub connection: u64,
    /// Status that was written; `None` if there was no response.
    pub answer: Option<u16>,
}

/// What all targets share.
#[derive(Debug, Default)]
pub struct TargetWorld {
    pub store: StoreModel,
    pub seed: u64,
    begun: Mutex<Vec<BegunWork>>,
    /// Handles of KV caches, with the start of the engine that holds each.
    caches: Mutex<HashMap<String, String>>,
    connections: AtomicU64,
}

impl TargetWorld {
    pub fn new(store: StoreModel, seed: u64) -> Arc<TargetWorld> {
        Arc::new(TargetWorld { store, seed, ..TargetWorld::default() })
    }

    /// Returns all work that targets began.
    pub fn begun(&self) -> Vec<BegunWork> {
        locked(&self.begun).clone()
    }

    fn begin(&self, work: BegunWork) -> usize {
        let mut begun = locked(&self.begun);
        begun.push(work);
        begun.len() - 1
    }

    fn record_answer(&self, index: usize, status: u16) {
        locked(&self.begun)[index].answer = Some(status);
    }
}

/// Lets a target's tasks go on only while its process runs.
#[derive(Debug, Clone)]
struct Gate(watch::Sender<bool>);

impl Gate {
    async fn pass(&self) {
        self.0.subscribe().wait_for(|runs| *runs).await.ok();
    }

    async fn stopped(&self) {
        self.0.subscribe().wait_for(|runs| !*runs).await.ok();
    }

    async fn sleep(&self, time: Duration) {
        sleep(time).await;
        self.pass().await;
    }
}

/// Target; clones share it.
#[derive(Debug, Clone)]
pub struct StoppableTarget {
    pub stage: Stage,
    name: String,
    address: SocketAddr,
    /// Connections that the kernel completes while the process does not accept them.
    backlog: u32,
    gate: Gate,
    start: Arc<Mutex<Start>>,
    world: Arc<TargetWorld>,
    /// Keeps other processes from the port while the target is down.
    _reserved: Arc<Socket>,
}

/// Start of a target's process.
#[derive(Debug, Default)]
struct Start {
    number: u64,
    instance: String,
    sequence: u64,
    /// Its accepting task; `None` while it is down.
    server: Option<AbortHandle>,
}

impl StoppableTarget {
    pub fn spawn(
        name: String,
        stage: Stage,
        backlog: u32,
        world: &Arc<TargetWorld>,
    ) -> io::Result<StoppableTarget> {
        let reserved = Socket::new(Domain::IPV4, Type::STREAM, None)?;
        reserved.set_reuse_address(true)?;
        reserved.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into())?;
        let address = reserved.local_addr()?.as_socket().ok_or(io::ErrorKind::Unsupported)?;
        let target = StoppableTarget {
            stage,
            name,
            address,
            backlog,
            gate: Gate(watch::Sender::new(true)),
            start: Arc::default(),
            world: world.clone(),
            _reserved: Arc::new(reserved),
        };
        target.start(true)?;
        tokio::spawn(target.clone().heartbeats());
        Ok(target)
    }

    /// Stops its process as SIGSTOP does: the kernel goes on with its connections.
    pub fn stop(&self) {
        self.gate.0.send_replace(false);
    }

    /// Lets a stopped process go on.
    pub fn thaw(&self) {
        self.gate.0.send_replace(true);
    }

    /// Fills its listen queue until it is thawed.
    pub fn crowd(&self) {
        let (address, gate) = (self.address, self.gate.clone());
        for _ in 0..=self.backlog.min(MAX_CROWD) {
            let gate = gate.clone();
            tokio::spawn(async move {
                let connection = timeout(CROWD_TIME, TcpStream::connect(address)).await;
                timeout(CROWD_TIME, gate.pass()).await.ok();
                drop(connection);
            });
        }
    }

    /// Kills its process, which closes all its connections.
    pub fn kill(&self) {
        let mut start = locked(&self.start);
        if let Some(server) = start.server.take() {
            server.abort();
            locked(&self.world.caches).retain(|_, holder| *holder != start.instance);
        }
    }

    /// Starts its process on the same address, unless it is up.
    pub fn start(&self, has_new_id: bool) -> io::Result<()> {
        {
            let mut start = locked(&self.start);
            if start.server.is_some() {
                return Ok(());
            }
            let socket = TcpSocket::new_v4()?;
            socket.set_reuseaddr(true)?;
            socket.bind(self.address)?;
            let listener = socket.listen(self.backlog)?;
            start.number += 1;
            start.sequence = 0;
            if has_new_id {
                start.instance = format!("{}.{}", self.name, start.number);
            }
            self.gate.0.send_replace(true);
            let serving = Serving {
                stage: self.stage,
                instance: start.instance.clone(),
                number: start.number,
                gate: self.gate.clone(),
                slots: Arc::new(Semaphore::new(if self.stage == Stage::Plain { 6 } else { 16 })),
                waiting: Arc::default(),
                world: self.world.clone(),
            };
            start.server = Some(tokio::spawn(serving.accept(listener)).abort_handle());
        }
        self.register();
        Ok(())
    }

    fn register(&self) {
        let mut start = locked(&self.start);
        start.sequence += 1;
        let mut registration = json!({
            "service": if self.stage == Stage::Plain { PLAIN } else { ENGINES },
            "address": self.address.to_string(), "zone": "zone-a", "version": "v1",
            "slots": if self.stage == Stage::Plain { 6 } else { 16 }, "state": "ready",
            "cold_remaining_ms": 0, "sequence": start.sequence, "born": 1_000 * start.number,
        });
        match self.stage {
            Stage::Plain => {}
            Stage::Prefill => registration["stage"] = json!("prefill"),
            Stage::Decode => registration["stage"] = json!("decode"),
        }
        let text = registration.to_string();
        self.world.store.put("keyed.servers", &start.instance, Some(text.as_bytes()));
    }

    /// Registers it while its process runs; the store removes registrations of silent ones.
    async fn heartbeats(self) {
        let mut last: HashMap<String, Instant> = HashMap::new();
        loop {
            let (instance, is_up) = {
                let start = locked(&self.start);
                (start.instance.clone(), start.server.is_some())
            };
            if is_up && *self.gate.0.borrow() {
                self.register();
                last.insert(instance, Instant::now());
            }
            for (silent, _) in last.extract_if(|_, at| at.elapsed() >= SILENCE_LIMIT) {
                self.world.store.put("keyed.servers", &silent, None);
            }
            sleep(HEARTBEAT).await;
        }
    }
}

/// Request as a target read it.
#[derive(Debug)]
struct TargetRequest {
    method: String,
    path: String,
    headers: HashMap<String, String>,
}

impl TargetRequest {
    fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name).map(String::as_str)
    }
}

/// What a target does with a request, apart from its slots.
#[derive(Debug)]
struct Conduct {
    /// Time until the head of the response.
    time: Duration,
    ending: Ending,
    /// Whether the connection is closed after the response.
    closes: bool,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Ending {
    Success,
    Failure,
    NoResponse,
    /// Not run, for a reason of its own. A prefill is given up only after its time.
    Declined,
}

impl Conduct {
    fn new(seed: u64, request: &str, work: Work) -> Conduct {
        let mut rng = SmallRng::seed_from_u64(seed ^ hash(request) ^ (work as u64) << 60);
        let (low, high) = match (rng.random_range(0..10_u32), work) {
            (0..6, Work::Run) => (2, 30),
            (0..6, Work::Prefill) => (10, 80),
            (6..9, Work::Run) => (30, 200),
            (6..9, Work::Prefill) => (80, 400),
            _ => (300, 1500),
        };
        let ending = match rng.random_range(0..100_u32) {
            0..84 => Ending::Success,
            84..89 => Ending::Failure,
            89..93 => Ending::NoResponse,
            _ => Ending::Declined,
        };
        Conduct {
            time: Duration::from_millis(rng.random_range(low..high)),
            ending,
            closes: rng.random_range(0..20_u32) == 0,
        }
    }
}

/// Process of a target.
#[derive(Debug, Clone)]
struct Serving {
    stage: Stage,
    instance: String,
    number: u64,
    gate: Gate,
    slots: Arc<Semaphore>,
    /// Number of requests that wait for a slot.
    waiting: Arc<AtomicUsize>,
    world: Arc<TargetWorld>,
}

impl Serving {
    async fn accept(self, listener: TcpListener) {
        let mut connections = JoinSet::new();
        loop {
            self.gate.pass().await;
            let stream = tokio::select! {
                biased;
                () = self.gate.stopped() => continue,
                accepted = listener.accept() => match accepted {
                    Ok((stream, _)) => stream,
                    Err(_) => continue,
                },
            };
            while connections.try_join_next().is_some() {}
            if connections.len() >= MAX_CONNECTIONS {
                SockRef::from(&stream).set_linger(Some(Duration::ZERO)).ok();
                continue;
            }
            connections.spawn(self.clone().serve(stream));
        }
    }

    async fn serve(self, stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let number = self.world.connections.fetch_add(1, Ordering::Relaxed);
        let idle = Duration::from_millis(300 + 400 * (number % 6));
        let mut connection =
            Connection { stream, unread: BytesMut::new(), gate: self.gate.clone(), idle };
        while let Some(request) = connection.read_request().await? {
            if self.respond(&request, number, &mut connection).await? {
                break;
            }
        }
        Ok(())
    }

    /// Responds to a request, and returns whether the connection is closed.
    async fn respond(
        &self,
        request: &TargetRequest,
        connection_number: u64,
        connection: &mut Connection,
    ) -> io::Result<bool> {
        let expected = request.header("expect-instance");
        if expected.is_some_and(|instance| instance != self.instance) {
            return connection.write(&self.response(request, 421, "", "")).await.map(|()| false);
        }
        if request.method == "DELETE" {
            let handle = request.path.rsplit('/').next().unwrap_or_default();
            locked(&self.world.caches).remove(handle);
            return connection.write(&self.response(request, 200, "", "")).await.map(|()| false);
        }
        let Some(id) = request.header("request-id") else {
            return connection.write(&self.declined(request)).await.map(|()| false);
        };
        let work = match request.header("serving-stage") {
            Some(_) => Work::Prefill,
            None => Work::Run,
        };
        if self.stage != Stage::Plain && (work == Work::Prefill) != (self.stage == Stage::Prefill) {
            return connection.write(&self.response(request, 421, "", "")).await.map(|()| false);
        }
        let conduct = Conduct::new(self.world.seed ^ self.number, id, work);
        let deadline_ms = request.header("deadline-ms").and_then(|text| text.parse().ok());
        let deadline = Instant::now() + Duration::from_millis(deadline_ms.unwrap_or(60_000));
        let slot = self.take_slot(deadline).await;
        self.gate.pass().await;
        let has_cache = request.header("kv-source").is_none_or(|source| self.take_cache(source));
        let declines = conduct.ending == Ending::Declined && work == Work::Run;
        if slot.is_none() || !has_cache || declines {
            return connection.write(&self.declined(request)).await.map(|()| false);
        }
        let begun = self.world.begin(BegunWork {
            request: id.to_owned(),
            work,
            at: Instant::now(),
            target: self.instance.clone(),
            customer: request.header("tenant").map(str::to_owned),
            has_credentials: request.header("authorization").is_some(),
            priority: request.header("request-priority").and_then(|text| text.parse().ok()),
            connection: connection_number,
            answer: None,
        });
        let ends = Instant::now() + conduct.time;
        self.gate.sleep(ends.min(deadline).saturating_duration_since(Instant::now())).await;
        let status = match conduct.ending {
            Ending::NoResponse => return Ok(true),
            _ if ends >= deadline => 504,
            Ending::Failure => 500,
            Ending::Success => 200,
            Ending::Declined => 503,
        };
        // Recorded before the write, which may fail after the entry has read the head.
        self.world.record_answer(begun, status);
        match (status, work, self.stage) {
            (200, Work::Prefill, _) => {
                let handle = format!("{}-{begun}", self.instance.replace('.', "-"));
                locked(&self.world.caches).insert(handle.clone(), self.instance.clone());
                let body = json!({ "handle": handle, "tokens": 1, "version": 1 }).to_string();
                connection.write(&self.response(request, 200, "", &body)).await?;
            }
            (200, Work::Run, Stage::Decode | Stage::Prefill) => {
                self.stream(request, id, connection).await?;
            }
            (200, Work::Run, Stage::Plain) => {
                let body = format!("answer to {id}");
                let headers = if conduct.closes { "connection: close\r\n" } else { "" };
                connection.write(&self.response(request, 200, headers, &body)).await?;
            }
            (503, ..) => connection.write(&self.declined(request)).await?,
            _ => connection.write(&self.response(request, status, "", "failed")).await?,
        }
        drop(slot);
        Ok(conduct.closes && self.stage == Stage::Plain)
    }

    async fn take_slot(&self, deadline: Instant) -> Option<OwnedSemaphorePermit> {
        if let Ok(slot) = self.slots.clone().try_acquire_owned() {
            return Some(slot);
        }
        if self.waiting.fetch_add(1, Ordering::Relaxed) >= QUEUE_LENGTH {
            self.waiting.fetch_sub(1, Ordering::Relaxed);
            return None;
        }
        let taken = timeout_at(deadline, self.slots.clone().acquire_owned()).await;
        self.waiting.fetch_sub(1, Ordering::Relaxed);
        taken.ok()?.ok()
    }

    fn take_cache(&self, source: &str) -> bool {
        let handle = source.rsplit('/').next().unwrap_or_default();
        locked(&self.world.caches).remove(handle).is_some()
    }

    async fn stream(
        &self,
        request: &TargetRequest,
        id: &str,
        connection: &mut Connection,
    ) -> io::Result<()> {
        let headers = "content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n";
        connection.write(&self.head(request, 200, headers)).await?;
        for number in 1..=EVENTS {
            let event = format!("id: {number}\ndata: {id} {number}\n\n");
            connection.write(&format!("{:x}\r\n{event}\r\n", event.len())).await?;
            self.gate.sleep(Duration::from_millis(8)).await;
        }
        connection.write("0\r\n\r\n").await
    }

    fn head(&self, request: &TargetRequest, status: u16, headers: &str) -> String {
        let id = request.header("request-id");
        let id = id.map_or_else(String::new, |id| format!("request-id: {id}\r\n"));
        let instance = &self.instance;
        format!("HTTP/1.1 {status} X\r\n{id}server-signature: {instance}.1\r\n{headers}\r\n")
    }

    fn response(&self, request: &TargetRequest, status: u16, headers: &str, body: &str) -> String {
        let headers = format!("{headers}content-length: {}\r\n", body.len());
        self.head(request, status, &headers) + body
    }

    fn declined(&self, request: &TargetRequest) -> String {
        self.response(request, 503, "not-executed: 1\r\n", "")
    }
}

/// Connection of a target.
struct Connection {
    stream: TcpStream,
    unread: BytesMut,
    gate: Gate,
    /// Time after which it is closed while it is idle.
    idle: Duration,
}

impl Connection {
    /// Reads a request; returns `None` at the end of the connection or of its idle time.
    async fn read_request(&mut self) -> io::Result<Option<TargetRequest>> {
        let idle_end = Instant::now() + self.idle;
        let head_end = loop {
            let end = self.unread.windows(4).position(|bytes| bytes == b"\r\n\r\n");
            if let Some(end) = end {
                break end + 4;
            }
            if self.fill(idle_end).await? == 0 {
                return Ok(None);
            }
        };
        let head = String::from_utf8_lossy(&self.unread.split_to(head_end)).into_owned();
        let mut lines = head.lines();
        let mut words = lines.next().unwrap_or_default().split(' ').map(str::to_owned);
        let (method, path) = (words.next().unwrap_or_default(), words.next().unwrap_or_default());
        let headers: HashMap<String, String> = lines
            .filter_map(|line| line.split_once(':'))
            .map(|(name, value)| (name.to_lowercase(), value.trim().to_owned()))
            .collect();
        let length = headers.get("content-length").and_then(|text| text.parse().ok());
        let length: usize = length.unwrap_or(0);
        while self.unread.len() < length {
            if self.fill(idle_end).await? == 0 {
                return Ok(None);
            }
        }
        self.unread.advance(length);
        Ok(Some(TargetRequest { method, path, headers }))
    }

    /// Reads what there is, once the process runs. Of data that came while it was stopped and an
    /// idle time that ended, the data come first.
    async fn fill(&mut self, idle_end: Instant) -> io::Result<usize> {
        loop {
            self.gate.pass().await;
            tokio::select! {
                biased;
                () = self.gate.stopped() => {}
                read = self.stream.read_buf(&mut self.unread) => return read,
                () = sleep_until(idle_end), if self.unread.is_empty() => return Ok(0),
            }
        }
    }

    async fn write(&mut self, text: &str) -> io::Result<()> {
        self.gate.pass().await;
        self.stream.write_all(text.as_bytes()).await
    }
}

fn hash(text: &str) -> u64 {
    text.bytes().fold(7, |sum, byte| (sum * 31 + u64::from(byte)) % 1_000_000_007)
}

fn locked<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
