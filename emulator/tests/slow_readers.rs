//! Callers and targets that read slowly: what is held for them is bounded, none of them is cut off
//! while it still reads, and other requests are served in time beside them.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use bytes::Bytes;
use emulator::{
    load::LoadClient,
    stand_in::{
        caller::{CallerKind, CallerOutcome, CallerRequest, send},
        fleet::{PlatformFleet, PlatformSizes, VM_MEMORY_MB},
        runner::RunnerFaults,
    },
};
use serde_json::{Value, json};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpSocket, TcpStream},
    time::sleep,
};

/// Callers that read slowly at one moment, more than the engines have slots.
const SLOW_CALLERS: usize = 60;
/// Events of each of their answers, and the size of one.
const EVENTS: usize = 200;
const EVENT_BYTES: usize = 1024;
/// What a slow caller reads in a second, and its receive buffer.
const SLOW_READ_BYTES: usize = 1024;
const SLOW_BUFFER_BYTES: u32 = 4 * 1024;
/// Time for which they read slowly. The rest they read at once.
const SLOW_TIME: Duration = Duration::from_secs(8);
/// Longest time of a request beside them, as beside targets in trouble.
const SOUND_TIME: Duration = Duration::from_millis(500);
/// Time after which routes time out.
const ROUTE_TIMEOUT: Duration = Duration::from_secs(30);
/// Time in which an entry reads a new configuration.
const CONFIGURATION_TIME: Duration = Duration::from_secs(1);
/// Part of the VM's memory that answers may take, and what each takes besides, in KiB: buffers of
/// its two connections.
const ANSWER_MEMORY_SHARE: u64 = 16;
const CONNECTION_KIB: u64 = 48;

#[test]
fn slow_callers_get_whole_answers_and_slow_down_nobody() {
    run(async {
        let fleet = start(24_400, 2).await;
        let engines = fleet.runners.iter().filter(|runner| runner.id.starts_with("llm"));
        for engine in engines {
            let event_gap = Some(Duration::ZERO);
            let faults =
                RunnerFaults { event_gap, event_padding: EVENT_BYTES, ..RunnerFaults::default() };
            engine.set_faults(faults);
        }
        let before_kib = memory_kib(&fleet, "VmRSS:");
        let mut callers = Vec::new();
        for number in 0..SLOW_CALLERS {
            callers.push(tokio::spawn(read_slowly(fleet.entry(0), number)));
            sleep(Duration::from_millis(20)).await;
        }
        sleep(Duration::from_secs(1)).await;
        let running = in_flight(&fleet, "running").await;
        assert_eq!(running, 0, "the engines have sent all, {}", fleet.folder().display());
        for number in 0..24 {
            let kind = if number % 2 == 0 { CallerKind::Note } else { CallerKind::Lookup };
            let request = CallerRequest::new(format!("sound-{number}"), kind, 7);
            let record = send(fleet.entry(0), request).await;
            let is_in_time = record.took < SOUND_TIME;
            assert!(record.outcome == CallerOutcome::Whole && is_in_time, "{record:?}");
        }
        let mut answers = Vec::new();
        for caller in callers {
            answers.push(caller.await.unwrap());
        }
        let cut: Vec<_> = answers
            .iter()
            .enumerate()
            .filter_map(|(n, end)| Some((n, end.as_ref().err()?)))
            .collect();
        assert!(cut.is_empty(), "{} of {SLOW_CALLERS}: {cut:?}", cut.len());
        let growth = memory_kib(&fleet, "VmHWM:").saturating_sub(before_kib);
        let bound =
            VM_MEMORY_MB * 1024 / ANSWER_MEMORY_SHARE + SLOW_CALLERS as u64 * CONNECTION_KIB;
        println!("{growth} KiB of {bound}");
        assert!(growth < bound, "{growth} KiB, {bound} allowed");
    });
}

/// Body that a target takes slowly, and how it reads: 40 KiB a second.
const BODY_BYTES: usize = 240 * 1024;
const TARGET_READ_BYTES: usize = 8 * 1024;
const TARGET_PAUSE: Duration = Duration::from_millis(200);

#[test]
fn a_target_that_takes_a_long_body_slowly_slows_down_nobody() {
    run(async {
        let fleet = start(24_410, 2).await;
        let slow = register_slow_target(&fleet).await;
        sleep(CONFIGURATION_TIME).await;
        let plain = || fleet.runners.iter().filter(|runner| runner.id.starts_with("records"));
        plain().for_each(|runner| {
            runner.set_faults(RunnerFaults { decline: true, ..RunnerFaults::default() });
        });
        let mut request = CallerRequest::new("long", CallerKind::Lookup, 1);
        request.body = Bytes::from(vec![b'x'; BODY_BYTES]);
        request.deadline = Duration::from_secs(20);
        let long = tokio::spawn(send(fleet.entry(0), request));
        sleep(CONFIGURATION_TIME).await;
        plain().for_each(|runner| runner.set_faults(RunnerFaults::default()));
        sleep(CONFIGURATION_TIME).await;
        for number in 0..24 {
            let kind = if number % 2 == 0 { CallerKind::Note } else { CallerKind::Lookup };
            let record =
                send(fleet.entry(0), CallerRequest::new(format!("sound-{number}"), kind, 7)).await;
            let is_in_time = record.took < SOUND_TIME;
            assert!(record.outcome == CallerOutcome::Whole && is_in_time, "{record:?}");
        }
        let long = long.await.unwrap();
        assert_eq!(long.outcome, CallerOutcome::Whole, "{long:?}");
        assert_eq!(long.signed_by.as_deref(), Some("slow"), "{long:?}");
        slow.abort();
    });
}

async fn start(port: u16, plain: usize) -> PlatformFleet {
    let sizes = PlatformSizes { port, entries: 1, prefill: 1, decode: 2, plain };
    let fleet = PlatformFleet::spawn(sizes).await.unwrap();
    fleet.configure_slow(2, ROUTE_TIMEOUT, 2 * BODY_BYTES);
    sleep(CONFIGURATION_TIME).await;
    // So that its memory has its usual size.
    for number in 0..8 {
        let request = CallerRequest::new(format!("warm-{number}"), CallerKind::Note, number);
        assert_eq!(send(fleet.entry(0), request).await.outcome, CallerOutcome::Whole);
    }
    fleet
}

/// Sends a request, reads the answer slowly for a time, and returns why it is not whole.
async fn read_slowly(entry: SocketAddr, number: usize) -> Result<(), String> {
    let socket = TcpSocket::new_v4().unwrap();
    socket.set_recv_buffer_size(SLOW_BUFFER_BYTES).unwrap();
    let mut stream = socket.connect(entry).await.unwrap();
    let head = format!(
        "POST /note/a HTTP/1.1\r\nhost: front.example\r\nrequest-id: slow-{number}\r\nmodel: m\r\n\
         token-count: 290,{EVENTS}\r\nprompt-prefix: e1:90,{number:x}:200\r\n\
         deadline-ms: 30000\r\ncontent-length: 0\r\n\r\n",
    );
    stream.write_all(head.as_bytes()).await.unwrap();
    let started = Instant::now();
    let mut answer = Vec::new();
    let mut part = vec![0; 64 * 1024];
    while !answer.ends_with(b"\r\n0\r\n\r\n") {
        let is_slow = started.elapsed() < SLOW_TIME;
        let size = if is_slow { SLOW_READ_BYTES } else { part.len() };
        let received = stream.read(&mut part[..size]).await;
        match received {
            Ok(length) if length > 0 => answer.extend_from_slice(&part[..length]),
            end => {
                let text = String::from_utf8_lossy(&answer[..answer.len().min(60)]).into_owned();
                return Err(format!("{end:?} after {} bytes, {text:?}", answer.len()));
            }
        }
        if is_slow {
            sleep(Duration::from_secs(1)).await;
        }
    }
    let text = String::from_utf8_lossy(&answer);
    let is_whole = text.starts_with("HTTP/1.1 200") && text.contains(&format!("id: {EVENTS}\n"));
    if is_whole { Ok(()) } else { Err(text[..text.len().min(300)].to_owned()) }
}

/// Registers a target that reads the bodies of requests slowly.
async fn register_slow_target(fleet: &PlatformFleet) -> tokio::task::JoinHandle<()> {
    let socket = TcpSocket::new_v4().unwrap();
    socket.set_recv_buffer_size(TARGET_READ_BYTES as u32).unwrap();
    socket.bind("127.0.0.1:0".parse().unwrap()).unwrap();
    let listener = socket.listen(16).unwrap();
    let address = listener.local_addr().unwrap();
    let registration = json!({
        "service": "records", "address": address.to_string(), "zone": "zone-a", "version": "1",
        "slots": 6, "state": "ready", "cold_remaining_ms": 0, "sequence": 1, "born": 1_000,
    });
    fleet.store.put("keyed.servers", "slow", Some(registration.to_string().as_bytes()));
    tokio::spawn(serve_slowly(listener))
}

async fn serve_slowly(listener: TcpListener) {
    while let Ok((stream, _)) = listener.accept().await {
        tokio::spawn(answer_slowly(stream));
    }
}

async fn answer_slowly(mut stream: TcpStream) -> std::io::Result<()> {
    let mut request = Vec::new();
    let mut part = vec![0; TARGET_READ_BYTES];
    loop {
        let length = stream.read(&mut part).await?;
        if length == 0 {
            return Ok(());
        }
        request.extend_from_slice(&part[..length]);
        let text = String::from_utf8_lossy(&request).into_owned();
        let Some((head, body)) = text.split_once("\r\n\r\n") else { continue };
        let header = |name: &str| {
            let line = head.lines().find_map(|line| line.strip_prefix(name));
            line.unwrap_or_default().trim().to_owned()
        };
        if body.len() < header("content-length:").parse().unwrap_or(0) {
            sleep(TARGET_PAUSE).await;
            continue;
        }
        let id = header("request-id:");
        let body = format!("answer to {id}");
        let response = format!(
            "HTTP/1.1 200 OK\r\nrequest-id: {id}\r\nserver-signature: slow.1\r\n\
             content-length: {}\r\n\r\n{body}",
            body.len()
        );
        stream.write_all(response.as_bytes()).await?;
        request.clear();
    }
}

/// Returns a count of what the entry takes to be in flight at all targets.
async fn in_flight(fleet: &PlatformFleet, field: &str) -> u64 {
    let url = format!("http://{}/state", fleet.inspection(0));
    let response = LoadClient::default().send(hyper::Method::GET, &url, &[], Bytes::new()).await;
    let state: Value = serde_json::from_slice(&response.unwrap().1).unwrap();
    let targets = state["fleet"]["targets"].as_object().unwrap();
    targets.values().map(|target| target["in_flight"][field].as_u64().unwrap()).sum()
}

fn memory_kib(fleet: &PlatformFleet, field: &str) -> u64 {
    let status =
        std::fs::read_to_string(format!("/proc/{}/status", fleet.entries[0].id())).unwrap();
    let line = status.lines().find(|line| line.starts_with(field)).unwrap();
    line.split_whitespace().nth(1).unwrap().parse().unwrap()
}

fn run(work: impl Future<Output = ()>) {
    tokio::runtime::Runtime::new().unwrap().block_on(work);
}
