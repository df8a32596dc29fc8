//! A target wrote an earlier refusal once more, and the caller of a request that it ran was told
//! that the request had not run.

use std::{
    sync::{Arc, Mutex},
    time::Duration,
};

use emulator::stand_in::{
    caller::{CallerKind, CallerOutcome, CallerRequest, send},
    fleet::{ENGINES, PLAIN, PlatformFleet, PlatformSizes},
    store::StoreModel,
};
use serde_json::json;
use tokio::{
    io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader},
    net::{TcpListener, TcpStream},
    time::sleep,
};
use yare::parameterized;

/// Interval between two registrations.
const HEARTBEAT: Duration = Duration::from_millis(300);
/// Time in which an entry reads a registration, and longer than it sends nothing to a target
/// that has declined.
const SETTLE_TIME: Duration = Duration::from_millis(1500);
/// Header by which a refusal says that its target wants no requests for a while.
const RETRY_AFTER: &str = "retry-after: 0.3\r\n";

/// How the refusal looks when it is written again.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Repeated {
    /// As it was.
    Same,
    /// Without the id of a request, as refusals of calls that have none.
    NoId,
    /// With the id of the present request, too.
    BothIds,
}

/// Target that refuses its first request, and writes that refusal again under each later request
/// on the same connection, which it runs.
#[derive(Debug, Clone)]
struct RefusingTarget {
    repeated: Repeated,
    /// Further headers of the refusal.
    headers: &'static str,
    log: Arc<Mutex<TargetLog>>,
}

#[derive(Debug, Default)]
struct TargetLog {
    refused: Vec<String>,
    ran: Vec<String>,
}

impl RefusingTarget {
    /// Starts it, and registers it in a service.
    async fn spawn(
        store: &StoreModel,
        service: &str,
        repeated: Repeated,
        headers: &'static str,
    ) -> RefusingTarget {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let target = RefusingTarget { repeated, headers, log: Arc::default() };
        let address = listener.local_addr().unwrap();
        let stage = (service == ENGINES).then_some("decode");
        let (store, service) = (store.clone(), service.to_owned());
        tokio::spawn(async move {
            for sequence in 1_u64.. {
                let mut registration = json!({
                    "service": service, "address": address.to_string(), "zone": "zone-a",
                    "version": "v1", "slots": 16, "state": "ready", "cold_remaining_ms": 0,
                    "sequence": sequence, "born": 1,
                });
                if let Some(stage) = stage {
                    registration["stage"] = json!(stage);
                }
                store.put("keyed.servers", "refusing", Some(registration.to_string().as_bytes()));
                sleep(HEARTBEAT).await;
            }
        });
        let serving = target.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(serving.clone().serve(stream));
            }
        });
        target
    }

    async fn serve(self, stream: TcpStream) -> std::io::Result<()> {
        let (reader, mut writer) = stream.into_split();
        let mut reader = BufReader::new(reader);
        let mut refused_here: Option<String> = None;
        while let Some(id) = read_request(&mut reader).await? {
            let is_first = {
                let mut log = self.log.lock().unwrap();
                let is_first = log.refused.is_empty();
                if is_first { &mut log.refused } else { &mut log.ran }.push(id.clone());
                is_first
            };
            if is_first {
                let ids = format!("request-id: {id}\r\n");
                writer.write_all(self.refusal(&ids).as_bytes()).await?;
                refused_here = Some(id);
                continue;
            }
            if let Some(earlier) = &refused_here {
                let ids = match self.repeated {
                    Repeated::Same => format!("request-id: {earlier}\r\n"),
                    Repeated::NoId => String::new(),
                    Repeated::BothIds => format!("request-id: {id}\r\nrequest-id: {earlier}\r\n"),
                };
                writer.write_all(self.refusal(&ids).as_bytes()).await?;
                sleep(Duration::from_millis(30)).await;
            }
            let body = format!("answer to {id}");
            let response = format!(
                "HTTP/1.1 200 OK\r\nrequest-id: {id}\r\nserver-signature: refusing.1\r\n\
                 content-length: {}\r\n\r\n{body}",
                body.len()
            );
            writer.write_all(response.as_bytes()).await?;
        }
        Ok(())
    }

    fn refusal(&self, ids: &str) -> String {
        let headers = self.headers;
        format!(
            "HTTP/1.1 503 Service Unavailable\r\n{ids}not-executed: 1\r\n{headers}\
             content-length: 0\r\n\r\n"
        )
    }
}

/// Reads a request and returns its id, or `None` at the end of the connection.
async fn read_request(
    reader: &mut BufReader<tokio::net::tcp::OwnedReadHalf>,
) -> std::io::Result<Option<String>> {
    let (mut id, mut length) = (String::new(), 0);
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).await? == 0 {
            return Ok(None);
        }
        let line = line.trim();
        if line.is_empty() {
            break;
        }
        if let Some((name, value)) = line.split_once(':') {
            match name.to_lowercase().as_str() {
                "request-id" => id = value.trim().to_owned(),
                "content-length" => length = value.trim().parse().unwrap_or(0),
                _ => {}
            }
        }
    }
    let mut body = vec![0; length];
    reader.read_exact(&mut body).await?;
    Ok(Some(id))
}

fn is_told_not_run(outcome: &CallerOutcome) -> bool {
    matches!(outcome, CallerOutcome::Own { status: 503, .. })
}

#[parameterized(
    as_it_was = { 24_100, Repeated::Same },
    without_an_id = { 24_110, Repeated::NoId },
    with_both_ids = { 24_120, Repeated::BothIds },
)]
fn a_repeated_refusal_says_nothing_of_the_next_request(port: u16, repeated: Repeated) {
    tokio::runtime::Runtime::new().unwrap().block_on(async {
        let sizes = PlatformSizes { port, entries: 1, prefill: 1, decode: 1, plain: 0 };
        let fleet = PlatformFleet::spawn(sizes).await.unwrap();
        let target = RefusingTarget::spawn(&fleet.store, PLAIN, repeated, RETRY_AFTER).await;
        sleep(SETTLE_TIME).await;
        let ticket = |id: &str| CallerRequest::new(id, CallerKind::Ticket, 1);
        let first = send(fleet.entry(0), ticket("first")).await;
        assert!(is_told_not_run(&first.outcome), "{:?}", first.outcome);
        sleep(SETTLE_TIME / 2).await;
        let second = send(fleet.entry(0), ticket("second")).await;
        assert_eq!(target.log.lock().unwrap().ran, ["second"], "{:?}", second.outcome);
        assert!(!is_told_not_run(&second.outcome), "it ran: {:?}", second.outcome);
        // Nor does it say that the target wants no requests.
        let third = send(fleet.entry(0), ticket("third")).await;
        assert_eq!(third.outcome, CallerOutcome::Whole);
    });
}

/// A stream whose KV cache an engine refused comes to that engine again, with the same id.
#[test]
fn a_repeated_refusal_says_nothing_of_the_next_call_for_the_same_request() {
    tokio::runtime::Runtime::new().unwrap().block_on(async {
        let sizes = PlatformSizes { port: 24_130, entries: 1, prefill: 1, decode: 0, plain: 1 };
        let fleet = PlatformFleet::spawn(sizes).await.unwrap();
        let target = RefusingTarget::spawn(&fleet.store, ENGINES, Repeated::Same, "").await;
        sleep(SETTLE_TIME).await;
        let mut request = CallerRequest::new("stream", CallerKind::Note, 1);
        // Long enough to be prefilled by the prefill engine.
        request.segments = Some(vec![(0xd001, 9000), (0x10_0001, 3000)]);
        let record = send(fleet.entry(0), request).await;
        let log = target.log.lock().unwrap();
        assert_eq!(log.refused, ["stream"]);
        if !log.ran.is_empty() {
            assert!(!is_told_not_run(&record.outcome), "it ran: {:?}", record.outcome);
        }
        assert_eq!(log.ran, ["stream"], "{:?}", record.outcome);
    });
}
