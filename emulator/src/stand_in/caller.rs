//! Callers of the platform: one request each, with all that they see of it.

use std::{net::SocketAddr, time::Duration};

use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt, Full};
use hyper::{Request, client::conn::http1};
use hyper_util::rt::TokioIo;
use tokio::{
    net::TcpStream,
    time::{Instant, timeout},
};

/// Longest time for which a caller waits for anything.
const GIVE_UP: Duration = Duration::from_secs(20);

/// Kind of route.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallerKind {
    /// Stream that may be resumed.
    Dossier,
    /// Stream that runs at most once.
    Note,
    /// Call that runs at most once.
    Ticket,
    /// Idempotent call.
    Lookup,
}

/// Request of a caller.
#[derive(Debug, Clone)]
pub struct CallerRequest {
    /// Its id.
    pub id: String,
    /// Its kind.
    pub kind: CallerKind,
    /// Subject whose prompt parts it shares.
    pub subject: u64,
    /// Its body.
    pub body: Bytes,
    /// How long it waits.
    pub deadline: Duration,
    /// When the caller closes the connection, counted from the sending.
    pub leave_after: Option<Duration>,
}

/// How a request ended, as its caller saw it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallerOutcome {
    /// An answer with a signature, complete and of this request.
    Whole,
    /// An answer of another request, or a success without a signature.
    Wrong(String),
    /// A failure that a target signed.
    TargetFailed(u16),
    /// An answer of the system's own.
    Own {
        /// HTTP status.
        status: u16,
        /// Whether it says when to come back.
        retry_after: bool,
    },
    /// The connection or the answer broke off.
    Broken,
    /// The caller left.
    Left,
}

/// What a caller saw.
#[derive(Debug, Clone)]
pub struct CallerRecord {
    /// The request.
    pub request: CallerRequest,
    /// Its end.
    pub outcome: CallerOutcome,
    /// How long it took.
    pub took: Duration,
    /// Events received, in order.
    pub events: Vec<u64>,
}

/// Events in a whole stream.
pub const EVENTS: u64 = 4;

impl CallerRequest {
    /// Makes a request with a deadline of its kind.
    pub fn new(id: impl Into<String>, kind: CallerKind, subject: u64) -> CallerRequest {
        let deadline = match kind {
            CallerKind::Dossier => Duration::from_secs(5),
            CallerKind::Note => Duration::from_millis(2500),
            CallerKind::Ticket | CallerKind::Lookup => Duration::from_millis(1500),
        };
        let id = id.into();
        let body = Bytes::from(format!("body of {id}"));
        CallerRequest { id, kind, subject, body, deadline, leave_after: None }
    }

    fn path(&self) -> &'static str {
        match self.kind {
            CallerKind::Dossier => "/dossier/a",
            CallerKind::Note => "/note/a",
            CallerKind::Ticket => "/ticket/a",
            CallerKind::Lookup => "/lookup/a",
        }
    }

    fn prefix(&self) -> Option<String> {
        let subject = self.subject;
        match self.kind {
            CallerKind::Dossier => {
                Some(format!("{:x}:6000,{:x}:1000", 0xd000 + subject, 0x10_0000 + fold(&self.id)))
            }
            CallerKind::Note => {
                Some(format!("{:x}:90,{:x}:200", 0xe000 + subject, 0x10_0000 + fold(&self.id)))
            }
            CallerKind::Ticket | CallerKind::Lookup => None,
        }
    }
}

fn fold(text: &str) -> u64 {
    text.bytes().fold(7, |sum, byte| (sum * 31 + u64::from(byte)) % 0xff_ffff)
}

/// Sends a request over a connection of its own and follows it to its end.
pub async fn send(entry: SocketAddr, request: CallerRequest) -> CallerRecord {
    let started = Instant::now();
    let mut events = Vec::new();
    let work = exchange(entry, &request, &mut events);
    let outcome = match request.leave_after {
        Some(after) => match timeout(after, work).await {
            Ok(outcome) => outcome,
            Err(_) => CallerOutcome::Left,
        },
        None => timeout(GIVE_UP, work).await.unwrap_or(CallerOutcome::Broken),
    };
    CallerRecord { outcome, took: started.elapsed(), events, request }
}

async fn exchange(
    entry: SocketAddr,
    request: &CallerRequest,
    events: &mut Vec<u64>,
) -> CallerOutcome {
    let Ok(stream) = TcpStream::connect(entry).await else { return CallerOutcome::Broken };
    let Ok((mut sender, connection)) = http1::handshake(TokioIo::new(stream)).await else {
        return CallerOutcome::Broken;
    };
    let task = AbortOnDrop(tokio::spawn(async move { drop(connection.await) }));
    let mut builder = Request::builder()
        .method("POST")
        .uri(request.path())
        .header("host", "front.example")
        .header("request-id", &request.id)
        .header("deadline-ms", request.deadline.as_millis() as u64)
        // A caller must not be able to set these.
        .header("kv-source", "127.0.0.1:1/forged")
        .header("serving-stage", "prefill");
    if let Some(prefix) = request.prefix() {
        let tokens = if request.kind == CallerKind::Dossier { 7000 } else { 290 };
        builder = builder
            .header("model", "m")
            .header("token-count", format!("{tokens},{EVENTS}"))
            .header("prompt-prefix", prefix);
    }
    let Ok(message) = builder.body(Full::new(request.body.clone())) else {
        return CallerOutcome::Broken;
    };
    let Ok(response) = sender.send_request(message).await else { return CallerOutcome::Broken };
    let (parts, mut body) = response.into_parts();
    let mut bytes = BytesMut::new();
    while let Some(frame) = body.frame().await {
        match frame.map(|frame| frame.into_data()) {
            Ok(Ok(data)) => bytes.extend_from_slice(&data),
            Ok(Err(_)) => {}
            Err(_) => {
                events.extend(event_ids(&bytes));
                return CallerOutcome::Broken;
            }
        }
    }
    drop(task);
    events.extend(event_ids(&bytes));
    judge(&parts, &bytes, request, events)
}

fn judge(
    parts: &hyper::http::response::Parts,
    bytes: &[u8],
    request: &CallerRequest,
    events: &[u64],
) -> CallerOutcome {
    let header = |name: &str| parts.headers.get(name).and_then(|value| value.to_str().ok());
    if header("request-id").is_some_and(|id| id != request.id) {
        return CallerOutcome::Wrong("id of another request".to_owned());
    }
    let signed = header("server-signature").is_some();
    let status = parts.status.as_u16();
    if !parts.status.is_success() {
        return match signed {
            true => CallerOutcome::TargetFailed(status),
            false => CallerOutcome::Own { status, retry_after: header("retry-after").is_some() },
        };
    }
    if !signed {
        return CallerOutcome::Wrong("success without a signature".to_owned());
    }
    let text = String::from_utf8_lossy(bytes);
    let streams = matches!(request.kind, CallerKind::Dossier | CallerKind::Note);
    if streams && events != (1..=EVENTS).collect::<Vec<u64>>() {
        return CallerOutcome::Wrong(format!("events {events:?}"));
    }
    match text.contains(&request.id) {
        true => CallerOutcome::Whole,
        false => CallerOutcome::Wrong("body of another request".to_owned()),
    }
}

fn event_ids(bytes: &[u8]) -> Vec<u64> {
    let text = String::from_utf8_lossy(bytes);
    text.lines().filter_map(|line| line.strip_prefix("id: ")?.parse().ok()).collect()
}

/// Closes the connection with the caller.
struct AbortOnDrop(tokio::task::JoinHandle<()>);

impl Drop for AbortOnDrop {
    fn drop(&mut self) {
        self.0.abort();
    }
}
