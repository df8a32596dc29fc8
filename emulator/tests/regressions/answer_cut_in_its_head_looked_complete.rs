//! A target stopped in the middle of its answer and closed, and the caller got a success with an
//! empty or short body that looked complete, or was told that the request had not run.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use emulator::{
    load::LoadClient,
    stand_in::{
        fleet::{ENGINES, PLAIN, PlatformFleet, PlatformSizes},
        store::StoreModel,
    },
};
use http_body_util::{BodyExt, Full};
use hyper::{Method, Request};
use sapphirewell::{
    platform::runner::{self, EngineReport},
    process::dial,
};
use serde_json::json;
use socket2::SockRef;
use strum::{EnumIter, IntoEnumIterator};
use tokio::{
    io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader},
    net::{
        TcpListener, TcpStream,
        tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
    task::JoinSet,
    time::{Instant, sleep, timeout},
};
use yare::parameterized;

/// Interval between two registrations.
const HEARTBEAT: Duration = Duration::from_millis(300);
/// Requests that are sent at the same time on new connections.
const CONCURRENT: usize = 16;
/// The same on kept connections; an entry keeps as many that are idle to a target.
const MAX_IDLE: usize = 8;
/// Time after which a request that has no answer is given up, longer than all routes' timeouts.
const ANSWER_TIME: Duration = Duration::from_secs(8);
/// Time for which a target takes a sound request, so that several need a connection each.
const WARM_TIME: Duration = Duration::from_millis(10);
/// Time in which an entry reads the bytes before the end of a connection separately.
const READ_TIME: Duration = Duration::from_millis(3);
/// Longest time in which an entry reads a registration, and the pause between two looks.
const DISCOVERY_TIME: Duration = Duration::from_secs(5);
const DISCOVERY_PAUSE: Duration = Duration::from_millis(5);
/// Batches of requests that one set of prefill engines is for: an entry reads registrations at
/// intervals in which it plays several.
const BATCHES: usize = 6;
/// Time after the last answer in which a request could still run.
const LATE_TIME: Duration = Duration::from_secs(1);
/// Most rounds in which cuts are played that no target got to play before.
const ROUNDS: usize = 4;
/// Prompt of requests that are prefilled separately, and the time of its prefill where it is not.
const LONG_PROMPT: u32 = 3000;
const LONG_PREFILL: Duration = Duration::from_millis(200);
/// Time of a prefill at an engine that needs help.
const BUSY_PREFILL: Duration = Duration::from_millis(400);
/// Time after which the only entry claims the authority over engines, and waits for the lease and
/// for orders that may still be on their way.
const CLAIM_TIME: Duration = Duration::from_millis(7600);
/// Time of a load that makes an entry look for more prefill engines, and the pause between two
/// of its requests.
const ORDERS_TIME: Duration = Duration::from_secs(16);
const LOAD_PAUSE: Duration = Duration::from_millis(70);
const EARLY_HINTS: &str = "HTTP/1.1 103 Early Hints\r\nlink: </a>; rel=preload\r\n\r\n";

/// Answer that is cut.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum AnswerKind {
    /// Signed success of a plain service.
    Plain,
    /// The same without a body.
    Empty,
    /// Signed event stream of an engine.
    Stream,
    /// Statement that the request did not run.
    Refusal,
    /// Handle of a KV cache.
    Prefill,
    /// State of an engine, for an entry that may send it an order.
    Report,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, EnumIter)]
enum Framing {
    Length,
    Chunked,
    /// Neither of these; the body ends with its connection.
    Connection,
    /// A transfer coding other than chunks, so that the body ends with its connection, too.
    Coding,
}

impl Framing {
    fn ends_with_connection(self) -> bool {
        matches!(self, Framing::Connection | Framing::Coding)
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, EnumIter)]
enum Ending {
    Closed,
    Reset,
}

/// Point at which a target stops writing, and the request that meets it.
#[derive(Debug, Clone, Copy)]
struct Cut {
    /// Whether an informational response comes first.
    informational: bool,
    framing: Framing,
    ending: Ending,
    /// Bytes that are written.
    at: usize,
    /// Whether the end of the connection follows them only after a while.
    paused: bool,
    /// Whether the connection has carried a request before.
    kept: bool,
    /// Whether the caller speaks HTTP/1.0.
    old_caller: bool,
}

/// Bytes of a whole answer.
struct Answer {
    bytes: Vec<u8>,
    /// End of the head, with an informational one before it.
    head_end: usize,
    body: Vec<u8>,
}

impl Answer {
    fn new(kind: AnswerKind, framing: Framing, informational: bool, id: &str) -> Answer {
        let body = match kind {
            AnswerKind::Plain => format!("answer to {id}"),
            AnswerKind::Empty => String::new(),
            AnswerKind::Stream => {
                (1..=3).map(|event| format!("id: {event}\ndata: {id}\n\n")).collect()
            }
            AnswerKind::Refusal => "{\"reason\":\"full\"}".to_owned(),
            AnswerKind::Prefill => {
                json!({ "handle": handle(id), "tokens": LONG_PROMPT, "version": 1 }).to_string()
            }
            AnswerKind::Report => {
                json!({ "stage": "decode", "busy": false, "sequence": 0 }).to_string()
            }
        };
        let mut text = if informational { EARLY_HINTS.to_owned() } else { String::new() };
        text += match kind {
            AnswerKind::Refusal => "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\n",
            _ => "HTTP/1.1 200 OK\r\n",
        };
        if kind != AnswerKind::Report {
            text += &format!("Request-Id: {id}\r\n");
        }
        text += match kind {
            AnswerKind::Plain | AnswerKind::Empty => "Server-Signature: 3e1b.07\r\n",
            AnswerKind::Stream => {
                "Server-Signature: 3e1b.07\r\nContent-Type: text/event-stream\r\n"
            }
            AnswerKind::Refusal | AnswerKind::Prefill | AnswerKind::Report => {
                "Content-Type: application/json\r\n"
            }
        };
        match framing {
            Framing::Length => text += &format!("Content-Length: {}\r\n\r\n", body.len()),
            Framing::Chunked => text += "Transfer-Encoding: chunked\r\n\r\n",
            Framing::Connection => text += "\r\n",
            Framing::Coding => text += "Transfer-Encoding: identity\r\n\r\n",
        }
        let head_end = text.len();
        match framing {
            Framing::Chunked if body.is_empty() => text += "0\r\n\r\n",
            Framing::Chunked => text += &format!("{:x}\r\n{body}\r\n0\r\n\r\n", body.len()),
            Framing::Length | Framing::Connection | Framing::Coding => text += &body,
        }
        Answer { bytes: text.into_bytes(), head_end, body: body.into_bytes() }
    }
}

fn handle(id: &str) -> String {
    format!("handle-of-{id}")
}

/// Returns the cuts at every byte, with each framing and ending. The rest varies from byte to
/// byte.
fn cuts(kind: AnswerKind) -> Vec<Cut> {
    let mut cuts = Vec::new();
    for informational in [false, true] {
        for (row, framing) in Framing::iter().enumerate() {
            let answer = Answer::new(kind, framing, informational, &cut_id(0, 0));
            let end = if informational { answer.head_end } else { answer.bytes.len() };
            for ending in Ending::iter() {
                // A head that is cut differs little between the framings.
                let from = match framing {
                    Framing::Coding => answer.head_end,
                    _ if row > 0 && informational => EARLY_HINTS.len(),
                    _ => 0,
                };
                for at in from..=end {
                    let variant = at + row;
                    cuts.push(Cut {
                        informational,
                        framing,
                        ending,
                        at,
                        paused: variant & 1 == 1,
                        kept: variant & 2 == 2,
                        old_caller: variant & 4 == 4,
                    });
                }
            }
        }
    }
    cuts
}

fn cut_id(round: usize, index: usize) -> String {
    format!("cut-{round}-{index:05}")
}

fn cut_index(id: &str) -> Option<usize> {
    id.strip_prefix("cut-")?.split_once('-')?.1.parse().ok()
}

/// Request as it reached a target.
#[derive(Debug, Clone)]
struct Arrival {
    id: String,
    is_prefill: bool,
    /// Whether its connection had carried another one.
    kept: bool,
    /// Whether its answer was cut.
    cut: bool,
    source: Option<String>,
}

/// Targets that cut the answer to the first call for each request; clones share their record.
#[derive(Debug, Clone)]
struct CuttingTargets {
    kind: AnswerKind,
    cuts: Arc<Vec<Cut>>,
    arrivals: Arc<Mutex<Vec<Arrival>>>,
    /// Whether connections are kept after a sound answer.
    keeps: Arc<AtomicBool>,
    /// Reports that were asked for, and orders.
    reports: Arc<AtomicUsize>,
    orders: Arc<AtomicUsize>,
}

impl CuttingTargets {
    fn new(kind: AnswerKind, cuts: Vec<Cut>) -> CuttingTargets {
        CuttingTargets {
            kind,
            cuts: Arc::new(cuts),
            arrivals: Arc::default(),
            keeps: Arc::default(),
            reports: Arc::default(),
            orders: Arc::default(),
        }
    }

    /// Returns the cut of the next report.
    fn next_report(&self) -> Option<Cut> {
        self.cuts.get(self.reports.fetch_add(1, Ordering::Relaxed)).copied()
    }

    /// Starts one more target.
    async fn listen(&self) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let targets = self.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(targets.clone().serve(stream));
            }
        });
        address
    }

    async fn serve(self, stream: TcpStream) -> std::io::Result<()> {
        stream.set_nodelay(true)?;
        let (reader, mut writer) = stream.into_split();
        let mut reader = BufReader::new(reader);
        let mut kept = false;
        while let Some(request) = read_request(&mut reader).await? {
            if request.line.starts_with("GET /report ") && self.kind == AnswerKind::Report {
                let Some(cut) = self.next_report() else { return Ok(()) };
                return self.cut(cut, "", reader, writer).await;
            }
            if request.line.starts_with("POST /order ") {
                self.orders.fetch_add(1, Ordering::Relaxed);
            }
            if request.id.is_empty() {
                // Releases of KV caches, and what is not expected here.
                writer
                    .write_all(b"HTTP/1.1 503 Service Unavailable\r\ncontent-length: 0\r\n\r\n")
                    .await?;
                continue;
            }
            if let Some(cut) = self.record(&request, kept) {
                return self.cut(cut, &request.id, reader, writer).await;
            }
            if request.is_prefill && self.kind == AnswerKind::Report {
                sleep(BUSY_PREFILL).await;
            }
            if self.splits() && !request.is_prefill && request.source.is_none() {
                sleep(LONG_PREFILL).await;
            }
            sleep(WARM_TIME).await;
            let answer =
                Answer::new(self.sound_kind(&request), Framing::Length, false, &request.id);
            writer.write_all(&answer.bytes).await?;
            if cut_index(&request.id).is_some() || !self.keeps.load(Ordering::Relaxed) {
                return Ok(());
            }
            kept = true;
        }
        Ok(())
    }

    /// Returns whether a prompt should be prefilled by another engine than the one that decodes.
    fn splits(&self) -> bool {
        matches!(self.kind, AnswerKind::Prefill | AnswerKind::Report)
    }

    fn sound_kind(&self, request: &TargetRequest) -> AnswerKind {
        match (self.kind, request.is_prefill) {
            (_, true) => AnswerKind::Prefill,
            _ if request.has_prompt => AnswerKind::Stream,
            _ => AnswerKind::Plain,
        }
    }

    /// Records a request, and returns the cut to play if it is the first call for it.
    fn record(&self, request: &TargetRequest, kept: bool) -> Option<Cut> {
        let index = cut_index(&request.id)?;
        let mut arrivals = self.arrivals.lock().unwrap();
        let is_first = arrivals.iter().all(|arrival| arrival.id != request.id);
        let cut = is_first && request.is_prefill == (self.kind == AnswerKind::Prefill);
        arrivals.push(Arrival {
            id: request.id.clone(),
            is_prefill: request.is_prefill,
            kept,
            cut,
            source: request.source.clone(),
        });
        cut.then(|| self.cuts[index])
    }

    async fn cut(
        &self,
        cut: Cut,
        id: &str,
        reader: BufReader<OwnedReadHalf>,
        mut writer: OwnedWriteHalf,
    ) -> std::io::Result<()> {
        let answer = Answer::new(self.kind, cut.framing, cut.informational, id);
        writer.write_all(&answer.bytes[..cut.at]).await?;
        if cut.paused {
            sleep(READ_TIME).await;
        }
        let stream = reader.into_inner().reunite(writer).map_err(std::io::Error::other)?;
        if cut.ending == Ending::Reset {
            SockRef::from(&stream).set_linger(Some(Duration::ZERO))?;
        }
        Ok(())
    }

    fn arrivals(&self, id: &str) -> Vec<Arrival> {
        let arrivals = self.arrivals.lock().unwrap();
        arrivals.iter().filter(|arrival| arrival.id == id).cloned().collect()
    }
}

/// Registration of a target.
#[derive(Debug, Clone)]
struct Registration {
    name: String,
    service: &'static str,
    stage: Option<&'static str>,
    address: SocketAddr,
}

impl Registration {
    fn write(&self, store: &StoreModel, sequence: u64) {
        let mut value = json!({
            "service": self.service, "address": self.address.to_string(), "zone": "zone-a",
            "version": "v1", "slots": 1000, "state": "ready", "cold_remaining_ms": 0,
            "sequence": sequence, "born": 1,
        });
        if let Some(stage) = self.stage {
            value["stage"] = json!(stage);
        }
        store.put("keyed.servers", &self.name, Some(value.to_string().as_bytes()));
    }

    /// Renews it until the end of the test.
    fn keep(self, store: StoreModel) {
        tokio::spawn(async move {
            for sequence in 1.. {
                self.write(&store, sequence);
                sleep(HEARTBEAT).await;
            }
        });
    }
}

/// Prefill engines that are replaced again and again: one that has failed gets no calls for a
/// while.
#[derive(Debug)]
struct PrefillEngines {
    store: StoreModel,
    address: SocketAddr,
    registered: Vec<Registration>,
    replaced: usize,
    /// Batches that the present ones are still for.
    left: usize,
}

impl PrefillEngines {
    /// Makes sure that the entry knows engines which have not failed yet. `inspection` is the
    /// address of its state.
    async fn prepare(&mut self, inspection: SocketAddr) {
        if self.left == 0 {
            self.left = BATCHES;
            self.replace();
            let newest = format!("\"prefill-{}-0\"", self.replaced);
            let started = Instant::now();
            while !state(inspection).await.contains(&newest) {
                assert!(started.elapsed() < DISCOVERY_TIME, "{newest} was not discovered");
                sleep(DISCOVERY_PAUSE).await;
            }
        }
        self.left -= 1;
    }

    fn replace(&mut self) {
        self.replaced += 1;
        let old = std::mem::take(&mut self.registered);
        for number in 0..2 * BATCHES * CONCURRENT {
            let name = format!("prefill-{}-{number}", self.replaced);
            let registration = Registration {
                name,
                service: ENGINES,
                stage: Some("prefill"),
                address: self.address,
            };
            registration.write(&self.store, 1);
            self.registered.push(registration);
        }
        for registration in old {
            self.store.put("keyed.servers", &registration.name, None);
        }
    }
}

/// Returns the state dump of an entry.
async fn state(inspection: SocketAddr) -> String {
    let url = format!("http://{inspection}/state");
    let sent = LoadClient::default().send(Method::GET, &url, &[], Bytes::new()).await;
    sent.map(|(_, body)| String::from_utf8_lossy(&body).into_owned()).unwrap_or_default()
}

#[derive(Debug, Default)]
struct TargetRequest {
    /// First line of the head.
    line: String,
    id: String,
    is_prefill: bool,
    has_prompt: bool,
    source: Option<String>,
}

/// Reads a request, or returns `None` at the end of the connection.
async fn read_request(
    reader: &mut BufReader<OwnedReadHalf>,
) -> std::io::Result<Option<TargetRequest>> {
    let mut request = TargetRequest::default();
    let mut length = 0;
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).await? == 0 {
            return Ok(None);
        }
        let line = line.trim();
        if line.is_empty() {
            break;
        }
        if request.line.is_empty() {
            request.line = line.to_owned();
            continue;
        }
        let Some((name, value)) = line.split_once(':') else { continue };
        let value = value.trim();
        match name.to_lowercase().as_str() {
            "request-id" => request.id = value.to_owned(),
            "serving-stage" => request.is_prefill = true,
            "prompt-prefix" => request.has_prompt = true,
            "kv-source" => request.source = Some(value.to_owned()),
            "content-length" => length = value.parse().unwrap_or(0),
            _ => {}
        }
    }
    let mut body = vec![0; length];
    reader.read_exact(&mut body).await?;
    Ok(Some(request))
}

/// What a caller read up to the end of its connection.
#[derive(Debug, Clone, Default)]
struct CallerAnswer {
    /// Status; `None` without a whole head.
    status: Option<u16>,
    headers: BTreeMap<String, String>,
    body: Vec<u8>,
    /// Whether the caller takes the body for complete.
    complete: bool,
    /// What is no answer in the protocol.
    fault: Option<&'static str>,
}

impl CallerAnswer {
    fn parse(bytes: &[u8], reset: bool, old_caller: bool) -> CallerAnswer {
        let mut answer = CallerAnswer::default();
        let Some(head_end) = bytes.windows(4).position(|window| window == b"\r\n\r\n") else {
            return answer;
        };
        let head = String::from_utf8_lossy(&bytes[..head_end]).into_owned();
        let rest = &bytes[head_end + 4..];
        let mut lines = head.split("\r\n");
        answer.status = lines.next().and_then(|line| line.split(' ').nth(1)?.parse().ok());
        for (name, value) in lines.filter_map(|line| line.split_once(':')) {
            let known = answer.headers.insert(name.to_lowercase(), value.trim().to_owned());
            answer.fault = known.map(|_| "a header comes twice").or(answer.fault);
        }
        let length = answer.headers.get("content-length").and_then(|text| text.parse().ok());
        let chunked = answer.headers.contains_key("transfer-encoding");
        let surplus;
        (answer.body, answer.complete, surplus) = match (chunked, length) {
            (true, _) => read_chunks(rest),
            (false, Some(length)) => {
                let length: usize = length;
                let body = rest[..rest.len().min(length)].to_vec();
                (body, rest.len() >= length, rest.len() > length)
            }
            (false, None) => (rest.to_vec(), !reset, false),
        };
        if surplus {
            answer.fault = Some("bytes after the answer");
        }
        if chunked && (old_caller || length.is_some()) {
            answer.fault = Some("chunks that its caller cannot read");
        }
        answer
    }

    fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name).map(String::as_str)
    }
}

/// Returns the content of chunks, whether they are complete, and whether bytes follow them.
fn read_chunks(mut rest: &[u8]) -> (Vec<u8>, bool, bool) {
    let mut body = Vec::new();
    loop {
        let Some(line_end) = rest.windows(2).position(|window| window == b"\r\n") else {
            return (body, false, false);
        };
        let line = String::from_utf8_lossy(&rest[..line_end]);
        let Ok(size) = usize::from_str_radix(&line, 16) else { return (body, false, true) };
        rest = &rest[line_end + 2..];
        let content = &rest[..rest.len().min(size)];
        body.extend_from_slice(content);
        rest = &rest[content.len()..];
        if !rest.starts_with(b"\r\n") || content.len() < size {
            return (body, false, false);
        }
        rest = &rest[2..];
        if size == 0 {
            return (body, true, !rest.is_empty());
        }
    }
}

/// Sends a request over a new connection and reads that to its end. An answer that does not end
/// in time is `None`.
async fn send(
    entry: SocketAddr,
    route: &str,
    id: &str,
    prompt: Option<u32>,
    old_caller: bool,
) -> Option<CallerAnswer> {
    let (version, connection) =
        if old_caller { ("1.0", "") } else { ("1.1", "connection: close\r\n") };
    let prompt = prompt.map_or_else(String::new, |tokens| {
        let part: u32 = id.bytes().fold(7, |sum, byte| sum.wrapping_mul(31) + u32::from(byte));
        format!("model: m\r\ntoken-count: {tokens},3\r\nprompt-prefix: {part:x}:{tokens}\r\n")
    });
    let body = format!("body of {id}");
    let request = format!(
        "POST /{route}/{id} HTTP/{version}\r\nhost: front.example\r\nrequest-id: {id}\r\n\
         deadline-ms: 5000\r\n{prompt}{connection}content-length: {}\r\n\r\n{body}",
        body.len()
    );
    let mut stream = TcpStream::connect(entry).await.unwrap();
    stream.write_all(request.as_bytes()).await.unwrap();
    let mut bytes = Vec::new();
    let read = timeout(ANSWER_TIME, stream.read_to_end(&mut bytes)).await.ok()?;
    Some(CallerAnswer::parse(&bytes, read.is_err(), old_caller))
}

/// What became of a request whose answer was cut.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Outcome {
    /// A whole answer, of this target or of another one.
    Whole,
    /// A success that ends where the target closed an answer without other framing.
    EndOfConnection,
    /// A success that does not look complete.
    Broken,
    /// A failure of the entry.
    Failed(u16),
    /// The end of the connection without an answer.
    NoAnswer,
}

#[derive(Debug, Clone, Copy)]
struct CutCase {
    port: u16,
    route: &'static str,
    kind: AnswerKind,
}

impl CutCase {
    fn is_plain(&self) -> bool {
        matches!(self.route, "ticket" | "lookup")
    }

    fn prompt(&self) -> Option<u32> {
        match self.kind {
            _ if self.is_plain() => None,
            AnswerKind::Prefill => Some(LONG_PROMPT),
            _ => Some(200),
        }
    }

    /// Returns what became of a request, or the rule that was broken.
    fn judge(
        &self,
        cut: &Cut,
        id: &str,
        arrivals: &[Arrival],
        answer: &CallerAnswer,
    ) -> Result<Outcome, &'static str> {
        let sent = Answer::new(self.kind, cut.framing, cut.informational, id);
        let has_head = cut.at >= sent.head_end;
        let has_all = cut.at == sent.bytes.len();
        let ended_by_close = cut.framing.ends_with_connection() && cut.ending == Ending::Closed;
        // Only a whole head states that a request did not run.
        let refused = usize::from(self.kind == AnswerKind::Refusal && has_head);
        let calls = arrivals.iter().filter(|arrival| !arrival.is_prefill).count();
        let runs = calls - refused.min(calls);
        let at_most_once = matches!(self.route, "ticket" | "note");
        if at_most_once && runs > 1 {
            return Err("TWICE: ran more than once");
        }
        // The answer to a further prefill call is whole.
        let prefills = arrivals.iter().filter(|arrival| arrival.is_prefill).count();
        let has_handle = has_all && (!cut.framing.ends_with_connection() || ended_by_close);
        let is_valid = |source: &str| {
            source.ends_with(&format!("/{}", handle(id))) && (has_handle || prefills > 1)
        };
        let mut sources = arrivals.iter().filter_map(|arrival| arrival.source.as_deref());
        if !sources.all(is_valid) {
            return Err("MIXED: decoded from a handle that the engine did not give");
        }
        if let Some(fault) = answer.fault {
            return Err(fault);
        }
        let is_cut = self.answers_caller() && calls == 1;
        let is_sound = is_cut && has_all && cut.ending == Ending::Closed;
        if is_sound && !(answer.status == Some(200) && answer.complete) {
            return Err("LOST: a whole answer did not reach its caller");
        }
        let Some(status) = answer.status else { return Ok(Outcome::NoAnswer) };
        match status {
            200 => {}
            408 | 421 | 429 | 503 if at_most_once && runs > 0 => {
                return Err("REFUSED: answered as not run");
            }
            _ if answer.header("server-signature").is_some() => {
                return Err("MIXED: a failure that the target did not give");
            }
            502..=504 => return Ok(Outcome::Failed(status)),
            _ => return Err("DENIED: a status that no request has earned"),
        }
        if answer.header("server-signature").is_none() || answer.header("request-id") != Some(id) {
            return Err("MIXED: a success that is not the target's");
        }
        if !answer.complete {
            let is_broken_off = is_cut && !is_sound;
            return if is_broken_off { Ok(Outcome::Broken) } else { Err("LOST: broken off") };
        }
        let sound = match self.is_plain() {
            _ if is_cut => self.kind,
            true => AnswerKind::Plain,
            false => AnswerKind::Stream,
        };
        let whole = Answer::new(sound, cut.framing, cut.informational, id).body;
        if !is_cut || has_all && (!cut.framing.ends_with_connection() || ended_by_close) {
            let is_whole = answer.body == whole;
            return if is_whole { Ok(Outcome::Whole) } else { Err("MIXED: not the whole body") };
        }
        // An event that has begun shows that its stream is not whole, and so does none at all.
        let is_stream_part = self.is_plain() || answer.body.ends_with(b"\n\n");
        if ended_by_close && has_head && is_stream_part && whole.starts_with(&answer.body) {
            return Ok(Outcome::EndOfConnection);
        }
        Err("MIXED: an answer that ended early looks complete")
    }

    /// Returns whether the answer that is cut is meant for the caller.
    fn answers_caller(&self) -> bool {
        !matches!(self.kind, AnswerKind::Refusal | AnswerKind::Prefill | AnswerKind::Report)
    }
}

#[parameterized(
    plain_at_most_once = { CutCase { port: 29_000, route: "ticket", kind: AnswerKind::Plain } },
    plain_idempotent = { CutCase { port: 29_004, route: "lookup", kind: AnswerKind::Plain } },
    empty_at_most_once = { CutCase { port: 29_008, route: "ticket", kind: AnswerKind::Empty } },
    stream_at_most_once = { CutCase { port: 29_012, route: "note", kind: AnswerKind::Stream } },
    stream_resumable = { CutCase { port: 29_016, route: "dossier", kind: AnswerKind::Stream } },
    refusal_of_a_plain_service = { CutCase { port: 29_020, route: "ticket", kind: AnswerKind::Refusal } },
    refusal_of_an_engine = { CutCase { port: 29_024, route: "note", kind: AnswerKind::Refusal } },
    prefill_at_most_once = { CutCase { port: 29_028, route: "note", kind: AnswerKind::Prefill } },
    prefill_resumable = { CutCase { port: 29_032, route: "dossier", kind: AnswerKind::Prefill } },
)]
fn an_answer_cut_at_any_byte_never_looks_complete(case: CutCase) {
    run(play(case));
}

async fn play(case: CutCase) {
    let sizes = PlatformSizes {
        port: case.port,
        entries: 1,
        prefill: 0,
        decode: usize::from(case.is_plain()),
        plain: usize::from(!case.is_plain()),
    };
    let fleet = PlatformFleet::spawn(sizes).await.unwrap();
    let targets = CuttingTargets::new(case.kind, cuts(case.kind));
    let service = if case.is_plain() { PLAIN } else { ENGINES };
    let stage = (!case.is_plain()).then_some("decode");
    for name in ["cutting-1", "cutting-2"] {
        let (name, address) = (name.to_owned(), targets.listen().await);
        Registration { name, service, stage, address }.keep(fleet.store.clone());
    }
    let mut prefill = PrefillEngines {
        store: fleet.store.clone(),
        address: targets.listen().await,
        registered: Vec::new(),
        replaced: 0,
        left: 0,
    };
    let entry = fleet.entry(0);
    wait_until_served(entry, &case).await;
    let mut tally = Tally::default();
    let mut answers = Vec::new();
    for round in 0..ROUNDS {
        let unplayed = |index: &usize| !tally.played.contains_key(index);
        let (kept, new): (Vec<usize>, Vec<usize>) =
            (0..targets.cuts.len()).filter(unplayed).partition(|index| targets.cuts[*index].kept);
        for (indexes, keeps) in [(new, false), (kept, true)] {
            targets.keeps.store(keeps, Ordering::Relaxed);
            for batch in indexes.chunks(if keeps { MAX_IDLE } else { CONCURRENT }) {
                if case.kind == AnswerKind::Prefill {
                    prefill.prepare(fleet.inspection(0)).await;
                }
                if keeps {
                    open_idle_connections(entry, &case, batch[0]).await;
                }
                let sent = batch.iter().map(|index| {
                    let (index, id) = (*index, cut_id(round, *index));
                    let old_caller = targets.cuts[index].old_caller;
                    async move {
                        let answer = send(entry, case.route, &id, case.prompt(), old_caller).await;
                        (index, id, answer)
                    }
                });
                for (index, id, answer) in all(sent).await {
                    let arrivals = targets.arrivals(&id);
                    if let Some(arrival) = arrivals.iter().find(|arrival| arrival.cut) {
                        tally.played.insert(index, arrival.kept);
                    }
                    answers.push((index, id, answer));
                }
            }
        }
    }
    // A request that was answered as not run must not run later either.
    sleep(LATE_TIME).await;
    for (index, id, answer) in answers {
        tally.add(&case, &targets, (index, &id), answer);
    }
    tally.print(&case);
    let place = fleet.folder().display();
    assert!(tally.breaches.is_empty(), "logs in {place}: {:#?}", tally.breaches);
    let total = targets.cuts.len();
    assert!(tally.played.len() * 50 >= total * 49, "{} of {total} played", tally.played.len());
    let kept = tally.played.values().filter(|kept| **kept).count();
    assert!(kept * 3 >= total, "{kept} of {total} on a kept connection");
    assert!((total - kept) * 3 >= total, "{kept} of {total} on a kept connection");
    targets.keeps.store(false, Ordering::Relaxed);
    wait_until_served(entry, &case).await;
}

/// The exchange by which an entry asks for a report, on a new connection each time.
#[test]
fn a_report_cut_at_any_byte_is_no_report() {
    run(async {
        let targets = CuttingTargets::new(AnswerKind::Report, cuts(AnswerKind::Report));
        let address = targets.listen().await;
        for cut in targets.cuts.iter() {
            let sent = Answer::new(AnswerKind::Report, cut.framing, cut.informational, "");
            let is_whole = cut.at == sent.bytes.len()
                && (!cut.framing.ends_with_connection() || cut.ending == Ending::Closed);
            let report = fetch_report(address).await;
            // A reset may also take away what was written before it.
            let expected = report.is_some() == is_whole || cut.ending == Ending::Reset && is_whole;
            assert!(expected, "{cut:?}: {report:?}");
        }
        println!("{} cuts", targets.cuts.len());
    });
}

async fn fetch_report(address: SocketAddr) -> Option<EngineReport> {
    let mut connection = dial::connect(address, ANSWER_TIME).await.unwrap();
    let request = Request::get("/report").header("host", address.to_string());
    let request = request.body(Full::default()).unwrap();
    let response = connection.sender.send_request(request).await.ok()?;
    assert_eq!(response.status(), 200);
    let body = response.into_body().collect().await.ok()?.to_bytes();
    runner::decode_report(&body).ok()
}

/// Cuts of the reports for which an entry asks before an order.
fn report_cuts() -> Vec<Cut> {
    let mut cuts = Vec::new();
    let framings = [Framing::Length, Framing::Chunked, Framing::Connection];
    for (framing, ending) in framings.into_iter().flat_map(|f| Ending::iter().map(move |e| (f, e)))
    {
        let answer = Answer::new(AnswerKind::Report, framing, false, "");
        let end = answer.bytes.len();
        let places = [answer.head_end - 1, answer.head_end, end - 1];
        cuts.extend(places.map(|at| Cut {
            informational: false,
            framing,
            ending,
            at,
            paused: true,
            kept: false,
            old_caller: false,
        }));
    }
    cuts
}

#[test]
fn no_order_follows_a_report_that_was_cut() {
    run(async {
        let sizes = PlatformSizes { port: 29_040, entries: 1, prefill: 0, decode: 0, plain: 1 };
        let fleet = PlatformFleet::spawn(sizes).await.unwrap();
        let mut cuts = report_cuts();
        let whole = Answer::new(AnswerKind::Report, Framing::Length, false, "").bytes.len();
        cuts.push(Cut { framing: Framing::Length, at: whole, ..cuts[0] });
        let targets = CuttingTargets::new(AnswerKind::Report, cuts);
        let address = targets.listen().await;
        // An engine whose order came to nothing gets none for 5 s.
        for number in 0..2 * targets.cuts.len() {
            let (name, stage) = match number {
                0 => ("prefill".to_owned(), Some("prefill")),
                _ => (format!("decode-{number}"), Some("decode")),
            };
            let registration = Registration { name, service: ENGINES, stage, address };
            registration.keep(fleet.store.clone());
        }
        sleep(CLAIM_TIME).await;
        let entry = fleet.entry(0);
        let started = Instant::now();
        let mut requests = JoinSet::new();
        while targets.orders.load(Ordering::Relaxed) == 0 && started.elapsed() < ORDERS_TIME {
            let id = format!("load-{}", started.elapsed().as_millis());
            requests
                .spawn(async move { send(entry, "dossier", &id, Some(LONG_PROMPT), false).await });
            sleep(LOAD_PAUSE).await;
        }
        requests.join_all().await;
        let reports = targets.reports.load(Ordering::Relaxed);
        let place = fleet.folder().display();
        assert!(reports >= targets.cuts.len(), "{reports} reports, logs in {place}");
        assert_eq!(targets.orders.load(Ordering::Relaxed), 1, "logs in {place}");
    });
}

/// Cuts that were played, and what became of their requests.
#[derive(Debug, Default)]
struct Tally {
    /// Whether each was played on a kept connection, by its index.
    played: BTreeMap<usize, bool>,
    counts: BTreeMap<String, BTreeMap<Outcome, usize>>,
    breaches: Vec<String>,
}

impl Tally {
    fn add(
        &mut self,
        case: &CutCase,
        targets: &CuttingTargets,
        (index, id): (usize, &str),
        answer: Option<CallerAnswer>,
    ) {
        let cut = &targets.cuts[index];
        let arrivals = targets.arrivals(id);
        let Some(answer) = answer else {
            self.breaches.push(format!("CONFIG: no end of the answer to {id}: {cut:?}"));
            return;
        };
        if arrivals.iter().all(|arrival| !arrival.cut) {
            return;
        }
        match case.judge(cut, id, &arrivals, &answer) {
            Ok(outcome) => {
                let sent = Answer::new(case.kind, cut.framing, cut.informational, id);
                let place = match cut.at {
                    at if at < sent.head_end => "head",
                    at if at < sent.bytes.len() => "body",
                    _ => "end",
                };
                let row = format!("{:?} {:?} {place}", cut.framing, cut.ending);
                *self.counts.entry(row).or_default().entry(outcome).or_default() += 1;
            }
            Err(breach) => {
                let (status, complete) = (answer.status, answer.complete);
                let body = String::from_utf8_lossy(&answer.body);
                let got = format!("{status:?}, complete {complete}, {body:?}");
                self.breaches.push(format!("{breach}: {id} {cut:?}: {got}, {arrivals:?}"));
            }
        }
    }

    fn print(&self, case: &CutCase) {
        let kept = self.played.values().filter(|kept| **kept).count();
        let all = self.played.len();
        println!("{} {:?}: {all} cuts, {kept} on kept connections", case.route, case.kind);
        for (row, counts) in &self.counts {
            println!("  {row}: {counts:?}");
        }
    }
}

async fn all<T: Send + 'static>(
    work: impl Iterator<Item = impl Future<Output = T> + Send + 'static>,
) -> Vec<T> {
    work.collect::<JoinSet<T>>().join_all().await
}

/// Sends sound requests at the same time, whose connections to the targets stay idle.
async fn open_idle_connections(entry: SocketAddr, case: &CutCase, batch: usize) {
    let (route, prompt) = (case.route, case.prompt());
    let requests = (0..2 * MAX_IDLE).map(|number| async move {
        send(entry, route, &format!("idle-{batch}-{number}"), prompt, false).await
    });
    all(requests).await;
    sleep(READ_TIME).await;
}

async fn wait_until_served(entry: SocketAddr, case: &CutCase) {
    let started = Instant::now();
    for number in 0.. {
        let id = format!("sound-{}-{number}", started.elapsed().as_nanos());
        let answer = send(entry, case.route, &id, case.prompt(), false).await;
        if answer.is_some_and(|answer| answer.status == Some(200) && answer.complete) {
            return;
        }
        assert!(started.elapsed() < ANSWER_TIME, "no sound answer");
        sleep(Duration::from_millis(50)).await;
    }
}

fn run(work: impl Future<Output = ()>) {
    tokio::runtime::Runtime::new().unwrap().block_on(work);
}
