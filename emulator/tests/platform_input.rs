//! What callers may not send, against a real direct entry.

use std::time::Duration;

use emulator::stand_in::fleet::{PlatformFleet, PlatformSizes};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};

struct BadInput {
    name: &'static str,
    head: &'static str,
    body: &'static str,
    /// Statuses of which one is expected; 0 stands for a closed connection.
    statuses: &'static [u16],
    /// Ids that targets may see.
    passed: &'static [&'static str],
}

const CASES: &[BadInput] = &[
    BadInput {
        name: "unknown path",
        head: "POST /other/x HTTP/1.1\r\nhost: front.example\r\nrequest-id: a1\r\ncontent-length: 0\r\n\r\n",
        body: "",
        statuses: &[404],
        passed: &[],
    },
    BadInput {
        name: "unknown host",
        head: "POST /lookup/x HTTP/1.1\r\nhost: other.example\r\nrequest-id: a2\r\ncontent-length: 0\r\n\r\n",
        body: "",
        statuses: &[404],
        passed: &[],
    },
    BadInput {
        name: "no id",
        head: "POST /lookup/x HTTP/1.1\r\nhost: front.example\r\ncontent-length: 0\r\n\r\n",
        body: "",
        statuses: &[400],
        passed: &[],
    },
    BadInput {
        name: "malformed deadline",
        head: "POST /lookup/x HTTP/1.1\r\nhost: front.example\r\nrequest-id: a3\r\ndeadline-ms: soon\r\ncontent-length: 0\r\n\r\n",
        body: "",
        statuses: &[400],
        passed: &[],
    },
    BadInput {
        name: "malformed sizes",
        head: "POST /note/x HTTP/1.1\r\nhost: front.example\r\nrequest-id: a4\r\ntoken-count: many\r\ncontent-length: 0\r\n\r\n",
        body: "",
        statuses: &[400],
        passed: &[],
    },
    BadInput {
        name: "malformed prefix",
        head: "POST /note/x HTTP/1.1\r\nhost: front.example\r\nrequest-id: a5\r\nprompt-prefix: zz\r\ncontent-length: 0\r\n\r\n",
        body: "",
        statuses: &[400],
        passed: &[],
    },
    BadInput {
        name: "body over the limit",
        head: "POST /lookup/x HTTP/1.1\r\nhost: front.example\r\nrequest-id: a6\r\ncontent-length: 70000\r\n\r\n",
        body: "begun",
        statuses: &[413],
        passed: &[],
    },
    BadInput {
        name: "two lengths",
        head: "POST /lookup/x HTTP/1.1\r\nhost: front.example\r\nrequest-id: a7\r\ncontent-length: 3\r\ncontent-length: 5\r\n\r\n",
        body: "abcde",
        statuses: &[400, 0],
        passed: &[],
    },
    BadInput {
        name: "length and chunks",
        head: "POST /lookup/x HTTP/1.1\r\nhost: front.example\r\nrequest-id: a8\r\ncontent-length: 90\r\ntransfer-encoding: chunked\r\n\r\n",
        body: "3\r\nabc\r\n0\r\n\r\n",
        statuses: &[200, 400, 0],
        passed: &["a8"],
    },
    BadInput {
        name: "a request inside a body",
        head: "POST /lookup/x HTTP/1.1\r\nhost: front.example\r\nrequest-id: a9\r\ncontent-length: 91\r\n\r\n",
        body: "POST /lookup/y HTTP/1.1\r\nhost: front.example\r\nrequest-id: smuggled\r\ncontent-length: 0\r\n\r\nxx",
        statuses: &[200],
        passed: &["a9"],
    },
    BadInput {
        name: "a length that connection names",
        head: "POST /lookup/x HTTP/1.1\r\nhost: front.example\r\nrequest-id: b1\r\nconnection: request-id, deadline-ms\r\ncontent-length: 0\r\n\r\n",
        body: "",
        statuses: &[200],
        passed: &["b1"],
    },
    BadInput {
        name: "chunk without a size",
        head: "POST /lookup/x HTTP/1.1\r\nhost: front.example\r\nrequest-id: b2\r\ntransfer-encoding: chunked\r\n\r\n",
        body: "x\r\nabc\r\n0\r\n\r\n",
        statuses: &[400, 0],
        passed: &[],
    },
];

#[test]
fn bad_input_gets_its_answer_and_reaches_no_target() {
    tokio::runtime::Runtime::new().unwrap().block_on(async {
        let sizes = PlatformSizes { port: 22_200, entries: 1, prefill: 1, decode: 1, plain: 1 };
        let mut fleet = PlatformFleet::spawn(sizes).await.unwrap();
        let long = format!(
            "POST /lookup/x HTTP/1.1\r\nhost: front.example\r\nrequest-id: c1\r\nx: {}\r\n\r\n",
            "y".repeat(20_000)
        );
        assert!([431, 0].contains(&status(&fleet, &long, "").await), "head over the limit");
        for case in CASES {
            let status = status(&fleet, case.head, case.body).await;
            assert!(case.statuses.contains(&status), "{}: {status}", case.name);
        }
        let mut ran: Vec<String> =
            fleet.runners.iter().flat_map(|runner| runner.runs()).map(|run| run.request).collect();
        ran.sort();
        let mut allowed: Vec<&str> = CASES.iter().flat_map(|case| case.passed).copied().collect();
        allowed.sort_unstable();
        assert!(ran.iter().all(|id| allowed.contains(&id.as_str())), "{ran:?}");
        assert_eq!(fleet.stop().unwrap(), Vec::<String>::new());
    });
}

async fn status(fleet: &PlatformFleet, head: &str, body: &str) -> u16 {
    let mut stream = TcpStream::connect(fleet.entry(0)).await.unwrap();
    stream.write_all(head.as_bytes()).await.ok();
    stream.write_all(body.as_bytes()).await.ok();
    let mut answer = vec![0; 4096];
    let read = tokio::time::timeout(Duration::from_secs(3), stream.read(&mut answer)).await;
    let Ok(Ok(length)) = read else { return 0 };
    let text = String::from_utf8_lossy(&answer[..length]).into_owned();
    text.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0)
}
