//! Targets that answer before they have read the request, break the connection within the answer,
//! or answer with a status that is none: nothing of that is a complete response.

use std::{
    io::{Read, Write},
    net::{Shutdown, SocketAddr, TcpStream},
    sync::Arc,
    thread,
    time::Duration,
};

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{Request, header::HeaderValue};
use sapphirewell::{
    frame::{AttemptWork, PlaceFrame},
    ids::{AttemptId, RequestId},
    platform::runner::{ResponseOutcome, classify_response},
    process::{
        dial,
        target::{HttpService, PlainService},
    },
};
use socket2::{Domain, SockRef, Socket, Type};
use yare::parameterized;

/// Size of an upload that the buffers of a connection do not hold.
const UPLOAD_BYTES: usize = 12 * 1024 * 1024;
/// Receive buffer of a target that does not read, in bytes.
const RECEIVE_BYTES: usize = 8 * 1024;
/// Times that each case is played, as it depends on which of two events is seen first.
const PLAYS: usize = 12;
/// Longest time of a call.
const CALL_TIME: Duration = Duration::from_secs(5);
/// Pause of a target before the next step, so that the client sees the one before.
const STEP_PAUSE: Duration = Duration::from_millis(15);
/// Headers that make a response one to the request, in the platform's words.
const OWN_HEADERS: &str = "Request-Id: a1\r\nServer-Signature: b2\r\n";

/// How the target ends the connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Ending {
    /// With a reset.
    Reset,
    /// With a close; the kernel resets it, as parts of the upload are unread.
    Close,
    /// It reads no more and sends no more, and closes later.
    Shutdown,
}

/// What the target sends in response to the upload, in steps.
#[derive(Debug, Clone, Copy)]
struct EarlyCase {
    steps: &'static [&'static str],
    ending: Ending,
    /// Whether the target pauses between the last step and the end.
    pauses: bool,
}

const HEAD: &str = "HTTP/1.1 200 OK\r\nRequest-Id: a1\r\nServer-Signature: b2\r\n";
const UNFRAMED: &[&str] = &[HEAD, "\r\n", "part"];
const UNFRAMED_EMPTY: &[&str] = &[HEAD, "\r\n"];
const SHORT: &[&str] = &[HEAD, "Content-Length: 100\r\n\r\n", "part"];
const CHUNKED: &[&str] = &[HEAD, "Transfer-Encoding: chunked\r\n\r\n", "4\r\npart\r\n"];
const CUT_HEAD: &[&str] = &[HEAD, "Content-"];

/// Starts a target that sends an early response on each connection, and returns its address.
fn spawn_target(case: EarlyCase) -> SocketAddr {
    let listener = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    listener.set_recv_buffer_size(RECEIVE_BYTES).unwrap();
    listener.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).unwrap();
    listener.listen(64).unwrap();
    let listener = std::net::TcpListener::from(listener);
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        for stream in listener.incoming() {
            let stream = stream.unwrap();
            thread::spawn(move || answer(stream, case));
        }
    });
    address
}

fn answer(mut stream: TcpStream, case: EarlyCase) {
    // The head of the request and a little of its body; the rest remains unread.
    if stream.read(&mut [0; 1024]).unwrap_or(0) == 0 {
        return;
    }
    for (number, step) in case.steps.iter().enumerate() {
        if number > 0 {
            thread::sleep(STEP_PAUSE);
        }
        stream.write_all(step.as_bytes()).ok();
    }
    if case.pauses {
        thread::sleep(STEP_PAUSE);
    }
    match case.ending {
        Ending::Reset => SockRef::from(&stream).set_linger(Some(Duration::ZERO)).unwrap(),
        Ending::Close => {}
        Ending::Shutdown => {
            stream.shutdown(Shutdown::Read).ok();
            thread::sleep(STEP_PAUSE);
        }
    }
}

/// Sends an upload as a direct entry does, and returns its complete response, if one came.
async fn upload(address: SocketAddr, bytes: usize) -> Option<(ResponseOutcome, Bytes)> {
    let mut connection = dial::connect(address, CALL_TIME).await.unwrap();
    let body = Full::new(Bytes::from(vec![b'u'; bytes]));
    let request = Request::post("/a/").header("host", "t").header("Request-Id", "a1");
    let sending = connection.sender.send_request(request.body(body).unwrap());
    let response = tokio::time::timeout(CALL_TIME, sending).await.ok()?.ok()?;
    let (parts, body) = response.into_parts();
    let outcome = classify_response(&parts, &HeaderValue::from_static("a1"));
    let body = tokio::time::timeout(CALL_TIME, body.collect()).await.ok()?.ok()?;
    Some((outcome, body.to_bytes()))
}

/// Calls a plain service as a side does.
async fn call(address: SocketAddr, bytes: usize) -> Option<u16> {
    let service = HttpService::new(&format!("http://{address}"));
    let place = place("u".repeat(bytes));
    let answer = tokio::time::timeout(CALL_TIME, service.call(&place)).await.ok()?;
    answer.ok().map(|answer| answer.status)
}

#[parameterized(
    unframed_reset = { EarlyCase { steps: UNFRAMED, ending: Ending::Reset, pauses: false } },
    unframed_reset_later = { EarlyCase { steps: UNFRAMED, ending: Ending::Reset, pauses: true } },
    unframed_close = { EarlyCase { steps: UNFRAMED, ending: Ending::Close, pauses: false } },
    unframed_close_later = { EarlyCase { steps: UNFRAMED, ending: Ending::Close, pauses: true } },
    unframed_shutdown = { EarlyCase { steps: UNFRAMED, ending: Ending::Shutdown, pauses: true } },
    unframed_empty_reset = { EarlyCase { steps: UNFRAMED_EMPTY, ending: Ending::Reset, pauses: true } },
    unframed_empty_close = { EarlyCase { steps: UNFRAMED_EMPTY, ending: Ending::Close, pauses: true } },
    short_reset = { EarlyCase { steps: SHORT, ending: Ending::Reset, pauses: true } },
    short_close = { EarlyCase { steps: SHORT, ending: Ending::Close, pauses: false } },
    chunked_reset = { EarlyCase { steps: CHUNKED, ending: Ending::Reset, pauses: true } },
    chunked_close = { EarlyCase { steps: CHUNKED, ending: Ending::Close, pauses: false } },
    head_reset = { EarlyCase { steps: CUT_HEAD, ending: Ending::Reset, pauses: true } },
    head_close = { EarlyCase { steps: CUT_HEAD, ending: Ending::Close, pauses: false } },
)]
fn an_early_response_that_breaks_is_not_complete(case: EarlyCase) {
    tokio::runtime::Runtime::new().unwrap().block_on(async {
        let address = spawn_target(case);
        for play in 0..PLAYS {
            let response = upload(address, UPLOAD_BYTES).await;
            assert!(response.is_none(), "entry, play {play}: {response:?}");
            let answer = call(address, UPLOAD_BYTES).await;
            assert!(answer.is_none(), "side, play {play}: {answer:?}");
        }
    });
}

/// Responses whose status says nothing that a client knows, to a request without a body.
#[parameterized(
    zero = { "HTTP/1.1 000 OK" },
    below_all = { "HTTP/1.1 099 OK" },
    above_all = { "HTTP/1.1 600 OK" },
    far_above_all = { "HTTP/1.1 999 OK" },
    absent = { "HTTP/1.1 OK" },
    empty = { "HTTP/1.1 " },
    two_digits = { "HTTP/1.1 20" },
    four_digits = { "HTTP/1.1 2000 OK" },
    letters = { "HTTP/1.1 2OO OK" },
    switching = { "HTTP/1.1 101 Switching Protocols" },
    informational = { "HTTP/1.1 199 OK" },
)]
fn a_status_that_is_none_is_no_answer(line: &str) {
    let text = format!("{line}\r\n{OWN_HEADERS}Content-Length: 4\r\n\r\nbody");
    let text: &'static str = text.leak();
    let steps: &'static [&'static str] = vec![text].leak();
    tokio::runtime::Runtime::new().unwrap().block_on(async {
        let address = spawn_target(EarlyCase { steps, ending: Ending::Close, pauses: true });
        let response = upload(address, 0).await;
        let is_answer =
            |(outcome, _): &(ResponseOutcome, Bytes)| *outcome != ResponseOutcome::Invalid;
        assert!(!response.as_ref().is_some_and(is_answer), "entry: {response:?}");
        let answer = call(address, 0).await;
        assert!(answer.is_none(), "side: {answer:?}");
    });
}

fn place(content: String) -> Arc<PlaceFrame> {
    Arc::new(PlaceFrame {
        attempt: AttemptId { request: RequestId { instance: 1, sequence: 1 }, number: 1 },
        target: "t".into(),
        work: AttemptWork::Complete,
        customer: "north".into(),
        revision: 1,
        share_ppm: 1000,
        priority: 0,
        time_left: Duration::from_secs(20),
        idempotent: false,
        key: None,
        window_s: 600,
        fingerprint: 77,
        content: content.into(),
        prompt_tokens: 0,
        max_output_tokens: 0,
        expected_output_tokens: 0,
        prefixes: Default::default(),
        resume_chunks: 0,
        resume_text: String::new(),
        crashes: 0,
    })
}
