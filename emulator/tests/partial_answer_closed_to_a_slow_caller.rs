//! Guards against answers that end with the caller's connection and are closed like complete
//! ones when the entry exits, because their caller reads too slowly for the entry to notice.

use std::time::{Duration, Instant};

use emulator::stand_in::{
    fleet::{PlatformFleet, PlatformSizes},
    runner::RunnerFaults,
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpSocket, TcpStream},
};
use yare::parameterized;

/// Size of the caller's receive buffer.
const RECEIVE_BUFFER: u32 = 256 * 1024;
/// Time between two reads of the caller.
const READ_INTERVAL: Duration = Duration::from_millis(200);
/// Time after the signal at which the caller stops reading, so that the entry, which exits soon
/// afterwards, cannot write until then.
const READING_TIME: Duration = Duration::from_millis(6500);
/// Time after which routes time out, which is later than the exit.
const ROUTE_TIMEOUT: Duration = Duration::from_secs(30);
/// Time in which an entry reads a new configuration.
const CONFIGURATION_TIME: Duration = Duration::from_secs(1);
/// Time in which a stopping entry exits.
const EXIT_TIME: Duration = Duration::from_secs(9);
/// Time in which the caller reads the rest.
const REST_TIME: Duration = Duration::from_secs(5);

struct SlowCallerCase {
    port: u16,
    /// Number and size of the events that the target sends.
    events: (usize, usize),
    /// Bytes that the caller reads at once.
    read: usize,
    whole: bool,
}

async fn send_request(fleet: &PlatformFleet, events: usize) -> TcpStream {
    let socket = TcpSocket::new_v4().unwrap();
    socket.set_recv_buffer_size(RECEIVE_BUFFER).unwrap();
    let mut stream = socket.connect(fleet.entry(0)).await.unwrap();
    let head = format!(
        "POST /dossier/a HTTP/1.0\r\nhost: front.example\r\nrequest-id: slow\r\nmodel: m\r\n\
         token-count: 290,{events}\r\nprompt-prefix: e1:90,f1:200\r\ncontent-length: 1\r\n\r\nx",
    );
    stream.write_all(head.as_bytes()).await.unwrap();
    stream
}

/// Reads a little at a time until the entry has exited, and returns what was read.
async fn read_until_exit(
    stream: &mut TcpStream,
    fleet: &mut PlatformFleet,
    read: usize,
) -> Vec<u8> {
    let mut answer = Vec::new();
    let signalled = Instant::now();
    while fleet.entries[0].wait(Duration::ZERO).is_err() {
        assert!(signalled.elapsed() < EXIT_TIME, "the entry does not exit");
        if signalled.elapsed() < READING_TIME {
            let mut part = vec![0; read];
            let length = stream.read(&mut part).await.unwrap();
            answer.extend_from_slice(&part[..length]);
        }
        tokio::time::sleep(READ_INTERVAL).await;
    }
    answer
}

#[parameterized(
    cut_by_the_exit = { SlowCallerCase { port: 23_700, events: (400, 64 * 1024), read: 256 * 1024, whole: false } },
    written_before_the_exit = { SlowCallerCase { port: 23_704, events: (16, 64 * 1024), read: 32 * 1024, whole: true } },
)]
fn a_slow_caller_without_chunks_gets_a_reset_if_its_answer_is_cut(case: SlowCallerCase) {
    tokio::runtime::Runtime::new().unwrap().block_on(async {
        let sizes = PlatformSizes { port: case.port, entries: 1, prefill: 1, decode: 1, plain: 1 };
        let mut fleet = PlatformFleet::spawn(sizes).await.unwrap();
        let (events, event_padding) = case.events;
        for runner in &fleet.runners {
            let event_gap = Some(Duration::ZERO);
            let faults = RunnerFaults { event_gap, event_padding, ..RunnerFaults::default() };
            runner.set_faults(faults);
        }
        fleet.configure_timeout(2, ROUTE_TIMEOUT);
        tokio::time::sleep(CONFIGURATION_TIME).await;
        let mut stream = send_request(&fleet, events).await;
        // The entry writes until its buffers are full.
        tokio::time::sleep(Duration::from_millis(500)).await;
        fleet.entries[0].signal("TERM").unwrap();
        let mut answer = read_until_exit(&mut stream, &mut fleet, case.read).await;
        let rest = stream.read_to_end(&mut answer);
        let rest = tokio::time::timeout(REST_TIME, rest).await.unwrap();
        let text = String::from_utf8_lossy(&answer);
        assert!(text.starts_with("HTTP/1.0 200 OK"), "{}", &text[..text.len().min(400)]);
        let is_whole = text.contains(&format!("id: {events}\n")) && text.ends_with("\n\n");
        assert_eq!(is_whole, case.whole, "{} bytes", answer.len());
        assert_eq!(rest.is_ok(), case.whole, "{} bytes, {rest:?}", answer.len());
    });
}
