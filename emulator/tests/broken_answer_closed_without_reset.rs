//! Guards against answers that end with the caller's connection and are broken off by
//! closing it, which is how a complete one ends.

use std::time::Duration;

use emulator::stand_in::{
    BrokenOff,
    fleet::{PlatformFleet, PlatformSizes},
    runner::RunnerFaults,
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};
use yare::parameterized;

struct OldCallerCase {
    port: u16,
    path: &'static str,
    /// Bytes after which the target resets its connection.
    cut: usize,
    whole: bool,
}

#[parameterized(
    call_cut = { OldCallerCase { port: 22_360, path: "/ticket/a", cut: 4, whole: false } },
    call_whole = { OldCallerCase { port: 22_364, path: "/ticket/a", cut: 99, whole: true } },
    stream_cut_between_events = { OldCallerCase { port: 22_368, path: "/note/a", cut: 20, whole: false } },
    stream_cut_inside_an_event = { OldCallerCase { port: 22_372, path: "/note/a", cut: 25, whole: false } },
    stream_whole = { OldCallerCase { port: 22_376, path: "/note/a", cut: 99, whole: true } },
)]
fn a_caller_without_chunks_gets_a_reset_if_its_answer_breaks_off(case: OldCallerCase) {
    tokio::runtime::Runtime::new().unwrap().block_on(async {
        let sizes = PlatformSizes { port: case.port, entries: 1, prefill: 1, decode: 1, plain: 1 };
        let fleet = PlatformFleet::spawn(sizes).await.unwrap();
        for runner in &fleet.runners {
            runner.set_faults(RunnerFaults {
                unframed: true,
                cut: Some(BrokenOff::Reset),
                ..RunnerFaults::default()
            });
        }
        let mut stream = TcpStream::connect(fleet.entry(0)).await.unwrap();
        let head = format!(
            "POST {} HTTP/1.0\r\nhost: front.example\r\nrequest-id: old-{}\r\nmodel: m\r\n\
             token-count: 290,4\r\nprompt-prefix: e1:90,f1:200\r\ncontent-length: 1\r\n\r\nx",
            case.path, case.cut
        );
        stream.write_all(head.as_bytes()).await.unwrap();
        let mut answer = Vec::new();
        let read = stream.read_to_end(&mut answer);
        let read = tokio::time::timeout(Duration::from_secs(5), read).await.unwrap();
        assert_eq!(read.is_ok(), case.whole, "{}", String::from_utf8_lossy(&answer));
    });
}
