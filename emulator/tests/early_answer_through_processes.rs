//! Targets that answer an upload before they have read it, and break the connection within the
//! answer: through whole processes, too, no part of it reaches a caller as a complete response.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use emulator::{
    demo::{FleetProcesses, FleetSettings},
    stand_in::fleet::{PLAIN, PlatformFleet, PlatformSizes},
    workload::Deployment,
};
use serde_json::json;
use socket2::SockRef;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpSocket, TcpStream},
    time::{Instant, sleep, timeout},
};
use yare::parameterized;

/// Size of an upload that the buffers of a connection do not hold.
const UPLOAD_BYTES: usize = 6 * 1024 * 1024;
/// The same for the product's own path, whose requests are smaller.
const CALL_BYTES: usize = 3 * 1024 * 1024;
/// Receive buffer of a target that does not read, in bytes.
const RECEIVE_BYTES: u32 = 4 * 1024;
/// Times that each case is played, as it depends on which of two events is seen first.
const PLAYS: usize = 8;
/// The same behind a side, which calls a target that has failed only after a while.
const SIDE_PLAYS: usize = 3;
/// Names of a target, as an entry calls one that has failed only after a while.
const NAMES: usize = 4 * PLAYS;
/// Pause of a target before the next step, so that the entry sees the one before.
const STEP_PAUSE: Duration = Duration::from_millis(10);
/// Time in which an entry must have discovered the target and played the case.
const CASE_TIME: Duration = Duration::from_secs(40);
/// Longest time of one request.
const ANSWER_TIME: Duration = Duration::from_secs(8);
const HEARTBEAT: Duration = Duration::from_millis(300);

/// How the target ends the connection, parts of the upload being unread.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Ending {
    Reset,
    /// With a close, which the kernel makes a reset.
    Close,
}

/// How the caller frames its upload.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum UploadFraming {
    Length,
    Chunks,
}

/// Answer to an upload, and its end.
#[derive(Debug, Clone, Copy)]
struct EarlyCase {
    port: u16,
    route: &'static str,
    upload: UploadFraming,
    /// Headers that frame the answer.
    framing: &'static str,
    /// Part of the body that is sent.
    part: &'static str,
    ending: Ending,
    /// Whether the target pauses before the end.
    pauses: bool,
}

impl EarlyCase {
    const fn new(port: u16, route: &'static str, framing: &'static str) -> EarlyCase {
        let (upload, part, ending) = (UploadFraming::Length, "part", Ending::Reset);
        EarlyCase { port, route, upload, framing, part, ending, pauses: true }
    }
}

const UNFRAMED: &str = "\r\n";
const SHORT: &str = "Content-Length: 100\r\n\r\n";
const CHUNKED: &str = "Transfer-Encoding: chunked\r\n\r\n";
/// A head without its end.
const CUT_HEAD: &str = "Content-";

/// Target that answers before it has read; clones share their counts.
#[derive(Debug, Clone)]
struct EarlyTarget {
    case: EarlyCase,
    uploads: Arc<AtomicUsize>,
}

impl EarlyTarget {
    fn listen(case: EarlyCase) -> (EarlyTarget, SocketAddr) {
        let target = EarlyTarget { case, uploads: Arc::default() };
        let socket = TcpSocket::new_v4().unwrap();
        socket.set_recv_buffer_size(RECEIVE_BYTES).unwrap();
        socket.bind(SocketAddr::from(([127, 0, 0, 1], 0))).unwrap();
        let listener = socket.listen(64).unwrap();
        let address = listener.local_addr().unwrap();
        let serving = target.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(serving.clone().answer(stream));
            }
        });
        (target, address)
    }

    /// Reads the head of a request and answers; the body remains unread.
    async fn answer(self, mut stream: TcpStream) -> std::io::Result<()> {
        let mut head = Vec::new();
        while !head.ends_with(b"\r\n\r\n") {
            head.push(stream.read_u8().await?);
        }
        let head = String::from_utf8_lossy(&head);
        if head.starts_with("GET /state ") {
            let state = "{\"boot\":1,\"role\":null,\"changing\":false,\"fence\":0,\"cached\":[]}";
            let answer =
                format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{state}", state.len());
            return stream.write_all(answer.as_bytes()).await;
        }
        self.uploads.fetch_add(1, Ordering::Relaxed);
        let is_id = |line: &&str| line.to_lowercase().starts_with("request-id:");
        let id = head.lines().find(is_id).unwrap_or("Request-Id: none");
        let (framing, part) = (self.case.framing, self.case.part);
        let start = format!("HTTP/1.1 200 OK\r\n{id}\r\nServer-Signature: early.1\r\n");
        stream.write_all(format!("{start}{framing}{part}").as_bytes()).await?;
        if self.case.pauses {
            sleep(STEP_PAUSE).await;
        }
        if self.case.ending == Ending::Reset {
            SockRef::from(&stream).set_linger(Some(Duration::ZERO))?;
        }
        Ok(())
    }
}

/// Sends an upload and returns the status of its response, and whether that looks complete.
async fn upload(
    entry: SocketAddr,
    head: String,
    framing: UploadFraming,
    bytes: usize,
) -> Option<(u16, bool)> {
    let mut stream = TcpStream::connect(entry).await.ok()?;
    let mut content = vec![b'u'; bytes];
    // A JSON string, which the product's own path asks for.
    (content[0], content[bytes - 1]) = (b'"', b'"');
    let mut request = head.into_bytes();
    match framing {
        UploadFraming::Length => {
            request.extend(format!("content-length: {bytes}\r\n\r\n").bytes());
            request.extend(content);
        }
        UploadFraming::Chunks => {
            request.extend(format!("transfer-encoding: chunked\r\n\r\n{bytes:x}\r\n").bytes());
            request.extend(content);
            request.extend(b"\r\n0\r\n\r\n");
        }
    }
    stream.write_all(&request).await.ok()?;
    let mut response = Vec::new();
    let read = timeout(ANSWER_TIME, stream.read_to_end(&mut response)).await.ok()?;
    let text = String::from_utf8_lossy(&response).to_lowercase();
    let status = text.get(9..12)?.parse().ok()?;
    let (head, body) = text.split_once("\r\n\r\n")?;
    let length = head.lines().find_map(|line| line.strip_prefix("content-length: "));
    let is_complete = match length {
        Some(length) => body.len() >= length.parse().ok()?,
        None if head.contains("transfer-encoding") => body.ends_with("0\r\n\r\n"),
        None => read.is_ok(),
    };
    Some((status, is_complete))
}

#[parameterized(
    unframed_reset = { EarlyCase::new(30_000, "ticket", UNFRAMED) },
    unframed_reset_at_once = { EarlyCase { pauses: false, ..EarlyCase::new(30_004, "ticket", UNFRAMED) } },
    unframed_reset_before_the_body = { EarlyCase { part: "", ..EarlyCase::new(30_008, "ticket", UNFRAMED) } },
    unframed_close = { EarlyCase { ending: Ending::Close, ..EarlyCase::new(30_012, "ticket", UNFRAMED) } },
    unframed_close_at_once = { EarlyCase { ending: Ending::Close, pauses: false, ..EarlyCase::new(30_016, "lookup", UNFRAMED) } },
    unframed_upload_in_chunks = { EarlyCase { upload: UploadFraming::Chunks, ..EarlyCase::new(30_020, "ticket", UNFRAMED) } },
    unframed_close_upload_in_chunks = { EarlyCase { upload: UploadFraming::Chunks, ending: Ending::Close, ..EarlyCase::new(30_024, "lookup", UNFRAMED) } },
    short_reset = { EarlyCase::new(30_028, "ticket", SHORT) },
    short_close = { EarlyCase { ending: Ending::Close, ..EarlyCase::new(30_032, "lookup", SHORT) } },
    chunked_reset = { EarlyCase { part: "4\r\npart\r\n", ..EarlyCase::new(30_036, "ticket", CHUNKED) } },
    chunked_reset_at_once = { EarlyCase { part: "4\r\npart\r\n", pauses: false, ..EarlyCase::new(30_040, "lookup", CHUNKED) } },
    cut_head = { EarlyCase { part: "", ..EarlyCase::new(30_044, "ticket", CUT_HEAD) } },
    cut_head_close = { EarlyCase { part: "", ending: Ending::Close, ..EarlyCase::new(30_048, "lookup", CUT_HEAD) } },
)]
fn an_early_answer_that_breaks_is_not_complete_at_a_direct_entry(case: EarlyCase) {
    run(async {
        let sizes = PlatformSizes { port: case.port, entries: 1, prefill: 0, decode: 1, plain: 0 };
        let fleet = PlatformFleet::spawn(sizes).await.unwrap();
        fleet.configure_body_limit(2, 2 * UPLOAD_BYTES);
        let (target, address) = EarlyTarget::listen(case);
        let store = fleet.store.clone();
        tokio::spawn(async move {
            for sequence in 1.. {
                for name in 0..NAMES {
                    let value = json!({
                        "service": PLAIN, "address": address.to_string(), "zone": "zone-a",
                        "version": "v1", "slots": 1000, "state": "ready",
                        "cold_remaining_ms": 0, "sequence": sequence, "born": 1,
                    });
                    let name = format!("early-{name}");
                    store.put("keyed.servers", &name, Some(value.to_string().as_bytes()));
                }
                sleep(HEARTBEAT).await;
            }
        });
        play(&case, &target, PLAYS, |number| {
            let head = format!(
                "POST /{}/{number} HTTP/1.1\r\nhost: front.example\r\nrequest-id: early-{number}\r\n\
                 deadline-ms: 5000\r\nconnection: close\r\n",
                case.route
            );
            upload(fleet.entry(0), head, case.upload, UPLOAD_BYTES)
        })
        .await;
    });
}

#[parameterized(
    unframed_reset = { EarlyCase::new(30_100, "lookup", UNFRAMED) },
    unframed_close = { EarlyCase { ending: Ending::Close, ..EarlyCase::new(30_250, "lookup", UNFRAMED) } },
    short_reset = { EarlyCase::new(30_400, "lookup", SHORT) },
    chunked_reset = { EarlyCase { part: "4\r\npart\r\n", ..EarlyCase::new(30_550, "lookup", CHUNKED) } },
    cut_head = { EarlyCase { part: "", ..EarlyCase::new(30_700, "lookup", CUT_HEAD) } },
)]
fn an_early_answer_that_breaks_is_not_complete_behind_entry_and_side(case: EarlyCase) {
    run(async {
        let (target, address) = EarlyTarget::listen(case);
        let settings = FleetSettings {
            port: case.port,
            engines: 1,
            services: 1,
            retention: Duration::from_secs(8),
            deployment: Deployment::Highway,
            call_time: Duration::from_millis(100),
        };
        let mut fleet = FleetProcesses::spawn(settings).await.unwrap();
        fleet.sides[1].signal("KILL").unwrap();
        fleet.sides[1].wait(HEARTBEAT).ok();
        fleet.sides[1] = fleet.start_side_for(1, &format!("http://{address}")).unwrap();
        let entry: SocketAddr =
            fleet.entry_urls()[0].strip_prefix("http://").unwrap().parse().unwrap();
        play(&case, &target, SIDE_PLAYS, |_| {
            let head = format!(
                "POST /v1/state-roads/calls/{} HTTP/1.1\r\nhost: front.example\r\n\
                 content-type: application/json\r\nconnection: close\r\n",
                case.route
            );
            upload(entry, head, case.upload, CALL_BYTES)
        })
        .await;
    });
}

/// Sends uploads until the target has answered enough of them.
async fn play<F: Future<Output = Option<(u16, bool)>>>(
    case: &EarlyCase,
    target: &EarlyTarget,
    plays: usize,
    send: impl Fn(usize) -> F,
) {
    let started = Instant::now();
    let mut number = 0;
    while target.uploads.load(Ordering::Relaxed) < plays {
        assert!(started.elapsed() < CASE_TIME, "{case:?}: {:?} uploads", target.uploads);
        number += 1;
        let before = target.uploads.load(Ordering::Relaxed);
        let response = send(number).await;
        let calls = target.uploads.load(Ordering::Relaxed) - before;
        let is_success = matches!(response, Some((200, true)));
        assert!(!is_success, "{case:?}, upload {number}: {response:?}");
        if case.route == "ticket" {
            assert!(calls <= 1, "{case:?}, upload {number}: {calls} calls");
            let is_refusal = matches!(response, Some((408 | 421 | 429 | 503, _)));
            assert!(calls == 0 || !is_refusal, "{case:?}, upload {number}: {response:?}");
        }
    }
}

fn run(work: impl Future<Output = ()>) {
    tokio::runtime::Runtime::new().unwrap().block_on(work);
}
