//! Stand-in of the runners: engines in two stages, and plain services.

use std::{
    collections::HashMap,
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, AtomicUsize, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    http::{Message, Reader, respond, respond_chunked, write_chunk},
    json::field,
    record::Record,
    store::Store,
};

/// Time between two registrations.
pub const HEARTBEAT: Duration = Duration::from_millis(1200);
/// Time that an engine is away after an order.
const SWITCH_TIME: Duration = Duration::from_millis(3000);

/// Capacity and timing of a runner.
#[derive(Clone)]
pub struct Profile {
    pub id: &'static str,
    pub service: &'static str,
    /// `prefill` or `decode`; empty for a plain service.
    pub stage: &'static str,
    pub slots: usize,
    /// Prompt tokens that it reads in a millisecond. An engine in the decode stage takes
    /// twice as long.
    pub tokens_per_ms: u64,
    /// Pause before each event of a stream.
    pub gap: Duration,
    /// Time of a call to a plain service.
    pub call: Duration,
}

/// Order that reached an engine.
#[derive(Debug, Clone)]
pub struct Order {
    pub holder: String,
    pub fence: u64,
    pub at: Instant,
}

/// Run of a request.
#[derive(Debug, Clone)]
pub struct Run {
    pub request: String,
}

struct State {
    version: String,
    stage: String,
    born: u128,
    sequence: u64,
    accepted: u64,
    busy_until: Option<(Instant, String)>,
    orders: Vec<Order>,
    runs: Vec<Run>,
    connections: Vec<TcpStream>,
}

struct Inner {
    profile: Profile,
    address: SocketAddr,
    store: Store,
    record: Record,
    state: Mutex<State>,
    /// Number of the present start; 0 while it is down.
    start: AtomicU64,
    starts: AtomicU64,
    reading: Mutex<()>,
    running: AtomicUsize,
    handles: Handles,
}

/// KV caches by handle, with the request that each belongs to.
pub type Handles = Arc<Mutex<HashMap<String, String>>>;

#[derive(Clone)]
pub struct Runner {
    inner: Arc<Inner>,
}

fn unix_ms() -> u128 {
    std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).map_or(0, |d| d.as_millis())
}

impl Runner {
    /// Starts a runner, which registers at once and with each heartbeat.
    pub fn open(profile: Profile, store: &Store, handles: &Handles, record: &Record) -> Runner {
        let listener = TcpListener::bind("127.0.0.1:0").expect("port of a runner");
        let address = listener.local_addr().expect("address of a runner");
        let state = State {
            version: "v1".to_owned(),
            stage: profile.stage.to_owned(),
            born: unix_ms(),
            sequence: 0,
            accepted: 0,
            busy_until: None,
            orders: Vec::new(),
            runs: Vec::new(),
            connections: Vec::new(),
        };
        let inner = Inner {
            profile,
            address,
            store: store.clone(),
            record: record.clone(),
            state: Mutex::new(state),
            start: AtomicU64::new(1),
            starts: AtomicU64::new(1),
            reading: Mutex::new(()),
            running: AtomicUsize::new(0),
            handles: handles.clone(),
        };
        let runner = Runner { inner: Arc::new(inner) };
        runner.listen(listener, 1);
        runner.register();
        let beating = runner.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(HEARTBEAT);
                if beating.inner.start.load(Ordering::SeqCst) != 0 {
                    beating.register();
                }
            }
        });
        runner
    }

    pub fn id(&self) -> &'static str {
        self.inner.profile.id
    }

    pub fn orders(&self) -> Vec<Order> {
        self.inner.state.lock().unwrap().orders.clone()
    }

    pub fn runs(&self) -> Vec<Run> {
        self.inner.state.lock().unwrap().runs.clone()
    }

    /// Writes its registration, if the store is there.
    pub fn register(&self) -> bool {
        let inner = &self.inner;
        let mut state = inner.state.lock().unwrap();
        state.sequence += 1;
        let stage = match state.stage.as_str() {
            "" => String::new(),
            stage => format!(
                ",\"stage\":\"{stage}\",\"models\":[{{\"name\":\"m\",\"version\":1,\"adapters\":[]}}]"
            ),
        };
        let text = format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"zone-a\",\"version\":\"{}\",\
             \"slots\":{},\"state\":\"ready\",\"cold_remaining_ms\":0,\"sequence\":{},\
             \"born\":{}{stage}}}",
            inner.profile.service,
            inner.address,
            state.version,
            inner.profile.slots,
            state.sequence,
            state.born,
        );
        drop(state);
        inner.store.write("keyed.servers", inner.profile.id, text.as_bytes()).is_some()
    }

    /// Ends all connections and listens no more, as when the process is killed.
    pub fn crash(&self) {
        self.inner.record.line(&format!("{}: crashes", self.id()));
        self.inner.start.store(0, Ordering::SeqCst);
        let connections = std::mem::take(&mut self.inner.state.lock().unwrap().connections);
        for stream in connections {
            stream.shutdown(Shutdown::Both).ok();
        }
    }

    /// Starts again under its id and at its address, with a software version.
    pub fn start_again(&self, version: &str) {
        let listener = loop {
            match TcpListener::bind(self.inner.address) {
                Ok(listener) => break listener,
                Err(_) => thread::sleep(Duration::from_millis(2)),
            }
        };
        let start = self.inner.starts.fetch_add(1, Ordering::SeqCst) + 1;
        let mut state = self.inner.state.lock().unwrap();
        state.version = version.to_owned();
        state.stage = self.inner.profile.stage.to_owned();
        state.born = unix_ms();
        state.sequence = 0;
        state.accepted = 0;
        state.busy_until = None;
        drop(state);
        self.inner.running.store(0, Ordering::SeqCst);
        self.inner.start.store(start, Ordering::SeqCst);
        self.listen(listener, start);
        let registered = self.register();
        self.inner
            .record
            .line(&format!("{}: starts again as {version}, registered: {registered}", self.id()));
    }

    fn listen(&self, listener: TcpListener, start: u64) {
        listener.set_nonblocking(true).expect("listener");
        let runner = self.clone();
        thread::spawn(move || {
            while runner.inner.start.load(Ordering::SeqCst) == start {
                match listener.accept() {
                    Ok((stream, _)) => {
                        stream.set_nonblocking(false).ok();
                        let runner = runner.clone();
                        thread::spawn(move || runner.serve(stream, start));
                    }
                    Err(_) => thread::sleep(Duration::from_millis(1)),
                }
            }
        });
    }

    fn serve(&self, stream: TcpStream, start: u64) {
        stream.set_nodelay(true).ok();
        let (Ok(mut writer), Ok(handle)) = (stream.try_clone(), stream.try_clone()) else { return };
        self.inner.state.lock().unwrap().connections.push(handle);
        let mut reader = Reader::new(stream);
        while let Ok(request) = reader.request() {
            let is_up = || self.inner.start.load(Ordering::SeqCst) == start;
            if !is_up() || self.answer(&request, &mut writer, &is_up).is_none() {
                break;
            }
        }
        writer.shutdown(Shutdown::Both).ok();
    }

    fn answer(
        &self,
        request: &Message,
        writer: &mut TcpStream,
        is_up: &dyn Fn() -> bool,
    ) -> Option<()> {
        self.finish_switch();
        let id = request.header("request-id").unwrap_or("").to_owned();
        let expected = request.header("expect-instance");
        if expected.is_some_and(|expected| expected != self.id()) {
            let headers = [("Instance-Id", self.id()), ("Request-Id", id.as_str())];
            return respond(writer, 421, &headers, b"").ok();
        }
        match (request.method(), request.path()) {
            ("GET", "/health") => respond(writer, 200, &[("Instance-Id", self.id())], b"").ok(),
            ("GET", "/report") => self.report(writer),
            ("POST", "/order") => self.order(request, writer),
            ("DELETE", path) if path.starts_with("/kv-handle/") => {
                let handle = path.trim_start_matches("/kv-handle/");
                let known = self.inner.handles.lock().unwrap().remove(handle).is_some();
                respond(writer, if known { 200 } else { 404 }, &[], b"").ok()
            }
            _ => self.run(request, &id, writer, is_up),
        }
    }

    fn finish_switch(&self) {
        let mut state = self.inner.state.lock().unwrap();
        let Some((until, stage)) = state.busy_until.clone() else { return };
        if Instant::now() < until {
            return;
        }
        state.busy_until = None;
        state.stage = stage;
        drop(state);
        self.register();
    }

    fn report(&self, writer: &mut TcpStream) -> Option<()> {
        let state = self.inner.state.lock().unwrap();
        let text = format!(
            "{{\"stage\":\"{}\",\"models\":[{{\"name\":\"m\",\"version\":1,\"adapters\":[]}}],\
             \"busy\":{},\"sequence\":{},\"waiting\":0,\"running\":{},\"kv_used\":0,\
             \"kv_total\":400000,\"kv_handles\":0,\"born\":{}}}",
            state.stage,
            state.busy_until.is_some(),
            state.accepted,
            self.inner.running.load(Ordering::SeqCst),
            state.born,
        );
        drop(state);
        respond(writer, 200, &[("Content-Type", "application/json")], text.as_bytes()).ok()
    }

    /// Takes an order, without a check of its fencing token.
    fn order(&self, request: &Message, writer: &mut TcpStream) -> Option<()> {
        let text = String::from_utf8_lossy(&request.body).into_owned();
        let number = |name| field(&text, name).and_then(|text| text.parse::<u64>().ok());
        let (holder, stage) = (field(&text, "holder"), field(&text, "stage"));
        let (Some(holder), Some(stage), Some(fence)) = (holder, stage, number("fence")) else {
            return respond(writer, 400, &[], b"").ok();
        };
        let mut state = self.inner.state.lock().unwrap();
        let is_stale = number("expected").is_some_and(|expected| expected != state.accepted);
        let status = match () {
            () if state.busy_until.is_some() || is_stale => 409,
            () if state.stage == stage => 200,
            () => 202,
        };
        if status == 202 {
            state.accepted += 1;
            state.busy_until = Some((Instant::now() + SWITCH_TIME, stage.clone()));
            let runner = self.clone();
            thread::spawn(move || {
                thread::sleep(SWITCH_TIME + Duration::from_millis(5));
                runner.finish_switch();
            });
        }
        self.inner.record.line(&format!(
            "{}: order stage={stage} holder={holder} fence={fence} answered {status}",
            self.id()
        ));
        state.orders.push(Order { holder, fence, at: Instant::now() });
        drop(state);
        respond(writer, status, &[], b"").ok()
    }

    fn run(
        &self,
        request: &Message,
        id: &str,
        writer: &mut TcpStream,
        is_up: &dyn Fn() -> bool,
    ) -> Option<()> {
        let inner = &self.inner;
        let profile = &inner.profile;
        let decline = |writer: &mut TcpStream| {
            respond(writer, 503, &[("Not-Executed", "1"), ("Request-Id", id)], b"").ok()
        };
        let (stage, version, busy) = {
            let state = inner.state.lock().unwrap();
            (state.stage.clone(), state.version.clone(), state.busy_until.is_some())
        };
        if busy {
            return decline(writer);
        }
        let count = request.header("token-count").unwrap_or("1,1").to_owned();
        let (prompt, output) = count.split_once(',').unwrap_or(("1", "1"));
        let prompt: u64 = prompt.trim().parse().unwrap_or(1);
        let output: u64 = output.trim().parse().unwrap_or(1);
        let is_prefill = request.header("serving-stage") == Some("prefill");
        let wrong_stage = match stage.as_str() {
            "prefill" => !is_prefill,
            _ => is_prefill,
        };
        if wrong_stage {
            return respond(writer, 421, &[("Request-Id", id)], b"").ok();
        }
        let signature = format!("{}.{version}", profile.id);
        if is_prefill {
            self.read_prompt(prompt, 1);
            let handle = format!("{}h{}", profile.id, id);
            inner.handles.lock().unwrap().insert(handle.clone(), id.to_owned());
            let body = format!("{{\"handle\":\"{handle}\",\"tokens\":{prompt},\"version\":1}}");
            let headers = [("Content-Type", "application/json"), ("Request-Id", id)];
            return respond(writer, 200, &headers, body.as_bytes()).ok();
        }
        if let Some(source) = request.header("kv-source") {
            let handle = source.split_once('/').map_or("", |(_, handle)| handle);
            if inner.handles.lock().unwrap().remove(handle).is_none() {
                return decline(writer);
            }
        } else if !stage.is_empty() {
            self.read_prompt(prompt, 2);
        }
        while inner.running.load(Ordering::SeqCst) >= profile.slots {
            thread::sleep(Duration::from_millis(1));
            if !is_up() {
                return None;
            }
        }
        inner.running.fetch_add(1, Ordering::SeqCst);
        let path = request.target();
        let run = Run { request: id.to_owned() };
        inner.state.lock().unwrap().runs.push(run);
        let from = request.header("last-event-id").and_then(|text| text.parse().ok()).unwrap_or(0);
        inner.record.line(&format!(
            "{}: runs {id} {path} as {version} from event {}",
            profile.id,
            from + 1
        ));
        let result = if stage.is_empty() {
            thread::sleep(profile.call);
            let headers = [("Request-Id", id), ("Server-Signature", signature.as_str())];
            respond(writer, 200, &headers, format!("{} answers {id}", profile.id).as_bytes()).ok()
        } else {
            self.stream(writer, id, &version, &signature, from..output, is_up)
        };
        if is_up() {
            inner.running.fetch_sub(1, Ordering::SeqCst);
        }
        result
    }

    fn stream(
        &self,
        writer: &mut TcpStream,
        id: &str,
        version: &str,
        signature: &str,
        events: std::ops::Range<u64>,
        is_up: &dyn Fn() -> bool,
    ) -> Option<()> {
        let headers = [
            ("Content-Type", "text/event-stream"),
            ("Request-Id", id),
            ("Server-Signature", signature),
            ("Weight-Versions", "1"),
        ];
        thread::sleep(self.inner.profile.gap);
        respond_chunked(writer, &headers).ok()?;
        for event in events {
            let text = format!("id: {}\ndata: {} {version}\n\n", event + 1, self.id());
            write_chunk(writer, text.as_bytes()).ok()?;
            thread::sleep(self.inner.profile.gap);
            if !is_up() {
                return None;
            }
        }
        write_chunk(writer, b"").ok()
    }

    fn read_prompt(&self, tokens: u64, factor: u64) {
        let _reading = self.inner.reading.lock();
        let micros = tokens * factor * 1000 / self.inner.profile.tokens_per_ms.max(1);
        thread::sleep(Duration::from_micros(micros));
    }
}
