//! Malformed and hostile requests, sent to a direct entry that runs as a process.

use std::time::Duration;

use emulator::stand_in::fleet::{PlatformFleet, PlatformSizes};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};

struct InputCase {
    name: &'static str,
    head: &'static str,
    body: &'static str,
    /// Accepted statuses; 0 stands for a closed connection.
    statuses: &'static [u16],
    /// Request ids that targets may receive.
    forwarded: &'static [&'static str],
}

const CASES: &[InputCase] = &[
    InputCase {
        name: "unknown path",
        head: "POST /other/x HTTP/1.1\r\nhost: front.example\r\nrequest-id: a1\r\ncontent-length: 0\r\n\r\n",
        body: "",
        statuses: &[404],
        forwarded: &[],
    },
    InputCase {
        name: "unknown host",
        head: "POST /lookup/x HTTP/1.1\r\nhost: other.example\r\nrequest-id: a2\r\ncontent-length: 0\r\n\r\n",
        body: "",
        statuses: &[404],
        forwarded: &[],
    },
    InputCase {
        name: "no request id",
        head: "POST /lookup/x HTTP/1.1\r\nhost: front.example\r\ncontent-length: 0\r\n\r\n",
        body: "",
        statuses: &[400],
        forwarded: &[],
    },
    InputCase {
        name: "malformed deadline",
        head: "POST /lookup/x HTTP/1.1\r\nhost: front.example\r\nrequest-id: a3\r\ndeadline-ms: soon\r\ncontent-length: 0\r\n\r\n",
        body: "",
        statuses: &[400],
        forwarded: &[],
    },
    InputCase {
        name: "malformed token count",
        head: "POST /note/x HTTP/1.1\r\nhost: front.example\r\nrequest-id: a4\r\ntoken-count: many\r\ncontent-length: 0\r\n\r\n",
        body: "",
        statuses: &[400],
        forwarded: &[],
    },
    InputCase {
        name: "malformed prompt prefix",
        head: "POST /note/x HTTP/1.1\r\nhost: front.example\r\nrequest-id: a5\r\nprompt-prefix: zz\r\ncontent-length: 0\r\n\r\n",
        body: "",
        statuses: &[400],
        forwarded: &[],
    },
    InputCase {
        name: "body over the limit",
        head: "POST /lookup/x HTTP/1.1\r\nhost: front.example\r\nrequest-id: a6\r\ncontent-length: 70000\r\n\r\n",
        body: "begun",
        statuses: &[413],
        forwarded: &[],
    },
    InputCase {
        name: "two content lengths",
        head: "POST /lookup/x HTTP/1.1\r\nhost: front.example\r\nrequest-id: a7\r\ncontent-length: 3\r\ncontent-length: 5\r\n\r\n",
        body: "abcde",
        statuses: &[400, 0],
        forwarded: &[],
    },
    InputCase {
        name: "content length and chunked encoding",
        head: "POST /lookup/x HTTP/1.1\r\nhost: front.example\r\nrequest-id: a8\r\ncontent-length: 90\r\ntransfer-encoding: chunked\r\n\r\n",
        body: "3\r\nabc\r\n0\r\n\r\n",
        statuses: &[200, 400, 0],
        forwarded: &["a8"],
    },
    InputCase {
        name: "request inside a body",
        head: "POST /lookup/x HTTP/1.1\r\nhost: front.example\r\nrequest-id: a9\r\ncontent-length: 91\r\n\r\n",
        body: "POST /lookup/y HTTP/1.1\r\nhost: front.example\r\nrequest-id: smuggled\r\ncontent-length: 0\r\n\r\nxx",
        statuses: &[200],
        forwarded: &["a9"],
    },
    InputCase {
        name: "end-to-end headers named by connection",
        head: "POST /lookup/x HTTP/1.1\r\nhost: front.example\r\nrequest-id: b1\r\nconnection: request-id, deadline-ms\r\ncontent-length: 0\r\n\r\n",
        body: "",
        statuses: &[200],
        forwarded: &["b1"],
    },
    InputCase {
        name: "chunk with a malformed size",
        head: "POST /lookup/x HTTP/1.1\r\nhost: front.example\r\nrequest-id: b2\r\ntransfer-encoding: chunked\r\n\r\n",
        body: "x\r\nabc\r\n0\r\n\r\n",
        statuses: &[400, 0],
        forwarded: &[],
    },
];

#[test]
fn malformed_requests_are_rejected_and_reach_no_target() {
    tokio::runtime::Runtime::new().unwrap().block_on(async {
        let sizes = PlatformSizes { port: 22_200, entries: 1, prefill: 1, decode: 1, plain: 1 };
        let mut fleet = PlatformFleet::spawn(sizes).await.unwrap();
        let long_head = format!(
            "POST /lookup/x HTTP/1.1\r\nhost: front.example\r\nrequest-id: c1\r\nx: {}\r\n\r\n",
            "y".repeat(20_000)
        );
        assert!([431, 0].contains(&status(&fleet, &long_head, "").await), "head over the limit");
        for case in CASES {
            let status = status(&fleet, case.head, case.body).await;
            assert!(case.statuses.contains(&status), "{}: {status}", case.name);
        }
        let mut ran: Vec<String> =
            fleet.runners.iter().flat_map(|runner| runner.runs()).map(|run| run.request).collect();
        ran.sort();
        let mut allowed: Vec<&str> =
            CASES.iter().flat_map(|case| case.forwarded).copied().collect();
        allowed.sort_unstable();
        assert!(ran.iter().all(|id| allowed.contains(&id.as_str())), "{ran:?}");
        assert_eq!(fleet.stop().unwrap(), Vec::<String>::new());
    });
}

async fn status(fleet: &PlatformFleet, head: &str, body: &str) -> u16 {
    let mut stream = TcpStream::connect(fleet.entry(0)).await.unwrap();
    stream.write_all(head.as_bytes()).await.ok();
    stream.write_all(body.as_bytes()).await.ok();
    let mut response = vec![0; 4096];
    let read = tokio::time::timeout(Duration::from_secs(3), stream.read(&mut response)).await;
    let Ok(Ok(length)) = read else { return 0 };
    let text = String::from_utf8_lossy(&response[..length]).into_owned();
    text.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0)
}
