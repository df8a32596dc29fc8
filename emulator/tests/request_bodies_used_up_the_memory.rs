//! Large bodies of many callers at one moment took more memory than the VM has, which ends the
//! process and the requests of all its callers.

use std::{net::SocketAddr, time::Duration};

use emulator::stand_in::{
    caller::{CallerKind, CallerOutcome, CallerRequest, send},
    fleet::{PlatformFleet, PlatformSizes, VM_MEMORY_MB},
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time::{sleep, timeout},
};
use yare::parameterized;

const BODY_BYTES: usize = 4 * 1024 * 1024;
/// Requests with such a body at one moment.
const REQUESTS: usize = 60;
/// Time for which callers wait before they send the end of their bodies.
const HOLD_TIME: Duration = Duration::from_secs(2);

/// How a body is framed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Framing {
    Length,
    Chunks,
}

#[parameterized(
    with_a_length = { 24_040, Framing::Length },
    in_chunks = { 24_050, Framing::Chunks },
)]
fn bodies_stay_within_the_memory_of_the_vm(port: u16, framing: Framing) {
    tokio::runtime::Runtime::new().unwrap().block_on(async {
        let sizes = PlatformSizes { port, entries: 1, prefill: 1, decode: 1, plain: 2 };
        let fleet = PlatformFleet::spawn(sizes).await.unwrap();
        fleet.configure_body_limit(2, BODY_BYTES);
        sleep(HOLD_TIME).await;
        let entry = fleet.entry(0);
        let large = (0..REQUESTS).map(|n| tokio::spawn(send_large(entry, n, framing)));
        let large: Vec<_> = large.collect();
        // Small requests are served meanwhile.
        sleep(HOLD_TIME / 2).await;
        for number in 0..20 {
            let request = CallerRequest::new(format!("small-{number}"), CallerKind::Lookup, 1);
            assert_eq!(send(entry, request).await.outcome, CallerOutcome::Whole);
        }
        let mut statuses = Vec::new();
        for caller in large {
            statuses.push(caller.await.unwrap());
        }
        let peak_kib = peak_memory_kib(fleet.entries[0].id());
        assert!(peak_kib < VM_MEMORY_MB * 1024, "{peak_kib} KiB, {statuses:?}");
        let served = statuses.iter().filter(|status| **status == Some(200)).count();
        assert!(served > 0, "{statuses:?}");
        // The memory is there again.
        let later = send_large(entry, REQUESTS, framing).await;
        assert_eq!(later, Some(200));
    });
}

/// Sends a request whose body ends only after a time, and returns the status of its response if
/// the connection was not closed without one.
async fn send_large(entry: SocketAddr, number: usize, framing: Framing) -> Option<u16> {
    let stream = TcpStream::connect(entry).await.unwrap();
    let (mut reader, mut writer) = stream.into_split();
    let framed = match framing {
        Framing::Length => format!("content-length: {BODY_BYTES}"),
        Framing::Chunks => "transfer-encoding: chunked".to_owned(),
    };
    let head = format!(
        "POST /lookup/a HTTP/1.1\r\nhost: front.example\r\nrequest-id: large-{number}\r\n\
         deadline-ms: 20000\r\nconnection: close\r\n{framed}\r\n\r\n"
    );
    let sending = tokio::spawn(async move {
        let piece = vec![b'x'; 64 * 1024];
        writer.write_all(head.as_bytes()).await?;
        for number in 0..BODY_BYTES / piece.len() {
            if number + 1 == BODY_BYTES / piece.len() {
                sleep(HOLD_TIME).await;
            }
            if framing == Framing::Chunks {
                writer.write_all(format!("{:x}\r\n", piece.len()).as_bytes()).await?;
            }
            writer.write_all(&piece).await?;
            if framing == Framing::Chunks {
                writer.write_all(b"\r\n").await?;
            }
        }
        if framing == Framing::Chunks {
            writer.write_all(b"0\r\n\r\n").await?;
        }
        // Open until the response was read.
        Ok::<_, std::io::Error>(writer)
    });
    let mut response = Vec::new();
    let reading = reader.read_to_end(&mut response);
    timeout(Duration::from_secs(15), reading).await.ok()?.ok();
    drop(sending.await);
    let text = String::from_utf8_lossy(&response);
    let status: u16 = text.get(9..12)?.parse().ok()?;
    let is_refusal = text.contains("retry-after") && text.contains("\"not_run\":true");
    assert!(status == 200 || status == 503 && is_refusal, "{text}");
    Some(status)
}

fn peak_memory_kib(process: u32) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{process}/status")).unwrap();
    let line = status.lines().find(|line| line.starts_with("VmHWM:")).unwrap();
    line.split_whitespace().nth(1).unwrap().parse().unwrap()
}
