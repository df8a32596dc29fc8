//! A limit on the heads of requests that was raised never held on connections that were open
//! then, so that proper requests on them ended with 431.

use std::{net::SocketAddr, time::Duration};

use emulator::stand_in::fleet::{PlatformFleet, PlatformSizes};
use http_body_util::{BodyExt, Full};
use hyper::{Request, StatusCode};
use sapphirewell::process::dial::{self, RequestSender};
use tokio::time::sleep;
use yare::parameterized;

/// Size of a header that the default limit of 16 KiB does not allow.
const HEADER_BYTES: usize = 20_000;
/// Time in which a configuration is in force.
const CONFIGURATION_TIME: Duration = Duration::from_secs(6);
const CONNECT_TIME: Duration = Duration::from_secs(1);

/// Two limits, and the statuses of a request under the first and under the second one.
struct LimitCase {
    port: u16,
    limits: [usize; 2],
    statuses: [StatusCode; 2],
}

const TOO_LARGE: StatusCode = StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE;

#[parameterized(
    raised = { LimitCase { port: 29_080, limits: [16_384, 32_768], statuses: [TOO_LARGE, StatusCode::OK] } },
    lowered = { LimitCase { port: 29_084, limits: [32_768, 16_384], statuses: [StatusCode::OK, TOO_LARGE] } },
)]
fn a_limit_on_heads_holds_on_open_connections(case: LimitCase) {
    tokio::runtime::Runtime::new().unwrap().block_on(async {
        let sizes = PlatformSizes { port: case.port, entries: 1, prefill: 0, decode: 1, plain: 1 };
        let fleet = PlatformFleet::spawn(sizes).await.unwrap();
        let mut connection = None;
        for (index, limit) in case.limits.into_iter().enumerate() {
            fleet.configure_head_limit(2 + index as u64, limit);
            sleep(CONFIGURATION_TIME).await;
            let mut sender = match connection.take() {
                Some(sender) => sender,
                None => connect(fleet.entry(0)).await,
            };
            assert_eq!(send(&mut sender, "small", 10).await, StatusCode::OK);
            assert_eq!(send(&mut sender, "large", HEADER_BYTES).await, case.statuses[index]);
            connection = Some(sender);
        }
    });
}

async fn connect(entry: SocketAddr) -> RequestSender {
    dial::connect(entry, CONNECT_TIME).await.unwrap().sender
}

async fn send(sender: &mut RequestSender, id: &str, bytes: usize) -> StatusCode {
    sender.ready().await.unwrap();
    let request = Request::post("/lookup/a")
        .header("host", "front.example")
        .header("request-id", id)
        .header("deadline-ms", "2000")
        .header("x-large", "x".repeat(bytes));
    let response = sender.send_request(request.body(Full::default()).unwrap()).await.unwrap();
    let status = response.status();
    response.into_body().collect().await.unwrap();
    status
}
