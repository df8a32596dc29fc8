//! Tests a real entry process with invalid input, slow clients and contract changes: each gets
//! the documented status and reason, and regular calls still succeed afterwards.

use std::time::Duration;

use bytes::Bytes;
use emulator::{
    demo::{FleetProcesses, FleetSettings},
    load::{self, LoadClient},
    workload::Deployment,
};
use hyper::Method;
use sapphirewell::api::ErrorBody;
use tokio::io::{AsyncReadExt, AsyncWriteExt};

/// Request with invalid input, and the error expected for it.
struct InvalidRequest {
    method: Method,
    path: &'static str,
    headers: &'static [(&'static str, &'static str)],
    body: &'static str,
    status: u16,
    reason: &'static str,
}

const TOKEN: (&str, &str) = ("authorization", "Bearer demo-token");

fn invalid_requests() -> Vec<InvalidRequest> {
    let case = |method: Method, path, headers, body, status, reason| InvalidRequest {
        method,
        path,
        headers,
        body,
        status,
        reason,
    };
    vec![
        case(Method::POST, "/v1/state-roads/completions/note", &[], "{", 400, "malformed"),
        case(
            Method::POST,
            "/v1/state-roads/completions/note",
            &[],
            r#"{"prompt":"x","colour":1}"#,
            400,
            "malformed",
        ),
        case(
            Method::POST,
            "/v1/nobody/completions/note",
            &[],
            r#"{"prompt":"x"}"#,
            404,
            "no_contract",
        ),
        case(
            Method::POST,
            "/v1/state-roads/completions/dream",
            &[],
            r#"{"prompt":"x"}"#,
            404,
            "no_kind",
        ),
        case(
            Method::POST,
            "/v1/state-roads/completions/note",
            &[],
            r#"{"prompt":"x","max_output_tokens":9999}"#,
            413,
            "too_long",
        ),
        case(Method::POST, "/v1/state-roads/calls/ticket", &[], "{}", 400, "bad_key"),
        case(
            Method::POST,
            "/v1/state-roads/calls/ticket",
            &[("idempotency-key", "no time")],
            "{}",
            400,
            "bad_key",
        ),
        case(Method::GET, "/admin/contracts", &[], "", 401, "unauthorized"),
        case(
            Method::PUT,
            "/admin/contracts/x",
            &[("authorization", "Bearer wrong")],
            "{}",
            401,
            "unauthorized",
        ),
        case(Method::PUT, "/admin/contracts/x", &[TOKEN], "{}", 400, "malformed"),
        case(Method::GET, "/admin/contracts/nobody", &[TOKEN], "", 404, "not_found"),
    ]
}

async fn check_invalid_requests(entry: &str) {
    for case in invalid_requests() {
        let url = format!("{entry}{}", case.path);
        let body = Bytes::from_static(case.body.as_bytes());
        let (status, body) =
            LoadClient::default().send(case.method, &url, case.headers, body).await.unwrap();
        let error: ErrorBody = serde_json::from_slice(&body).unwrap();
        assert_eq!(
            (status, error.reason.as_str(), error.not_run),
            (case.status, case.reason, true),
            "{url}"
        );
    }
    let large = Bytes::from(vec![b' '; sapphirewell::request::MAX_BODY_BYTES + 1]);
    let url = format!("{entry}/v1/state-roads/calls/lookup");
    let (status, _) = LoadClient::default().send(Method::POST, &url, &[], large).await.unwrap();
    assert_eq!(status, 413);
}

/// Sends an incomplete body and expects status 408.
async fn check_slow_client(entry: &str) {
    let address = entry.trim_start_matches("http://");
    let mut socket = tokio::net::TcpStream::connect(address).await.unwrap();
    let head =
        "POST /v1/state-roads/calls/lookup HTTP/1.1\r\nhost: x\r\ncontent-length: 100\r\n\r\nhalf";
    socket.write_all(head.as_bytes()).await.unwrap();
    let mut answer = vec![0; 64];
    let read = tokio::time::timeout(Duration::from_secs(15), socket.read(&mut answer)).await;
    let length = read.expect("a slow client gets a response within 15 s").unwrap();
    let text = String::from_utf8_lossy(&answer[..length]).into_owned();
    assert!(text.starts_with("HTTP/1.1 408"), "{text}");
}

/// Checks that a change is refused if it exceeds the free share, accepted once, idempotent when
/// repeated, and refused if it replaces an old revision.
async fn check_contract_changes(entry: &str) {
    let url = format!("{entry}/admin/contracts/newcomer");
    let (_, body) =
        LoadClient::default().send(Method::GET, &url, &[TOKEN], Bytes::new()).await.unwrap();
    let listed: serde_json::Value = serde_json::from_slice(&body).unwrap();
    let current = listed["revision"].as_u64().unwrap();
    let send = async |change: &str, share: u32| {
        let contract = emulator::matrix::contract("newcomer", share);
        let body = Bytes::from(serde_json::to_string(&contract).unwrap());
        let url = format!("{url}?replaces={current}&change={change}");
        let (status, body) =
            LoadClient::default().send(Method::PUT, &url, &[TOKEN], body).await.unwrap();
        let answer: serde_json::Value = serde_json::from_slice(&body).unwrap();
        (status, answer)
    };
    let (status, refused) = send("greedy", 101).await;
    assert_eq!((status, &refused["free_ppm"]), (409, &100_000.into()), "{refused}");
    let (status, first) = send("one", 90).await;
    assert_eq!((status, &first["status"]), (200, &"accepted".into()), "{first}");
    let (status, again) = send("one", 90).await;
    assert_eq!(
        (status, &again["revision"]),
        (200, &first["revision"]),
        "a repeated change returns the first revision"
    );
    let (status, other) = send("two", 80).await;
    assert_eq!((status, &other["current"]), (409, &first["revision"]));
}

#[tokio::test(flavor = "multi_thread")]
async fn invalid_input_gets_typed_errors_and_calls_still_succeed() {
    let settings = FleetSettings {
        port: 22_000,
        engines: 1,
        services: 1,
        retention: Duration::from_secs(3600),
        deployment: Deployment::Highway,
        call_time: Duration::ZERO,
    };
    let mut fleet = FleetProcesses::spawn(settings).await.unwrap();
    let entry = fleet.entry_urls().remove(0);
    check_invalid_requests(&entry).await;
    check_contract_changes(&entry).await;
    check_slow_client(&entry).await;
    let requests = Deployment::Highway.requests(1, Duration::from_secs(2), 2.0);
    let calls = requests.into_iter().filter(|request| request.is_call).collect();
    let report = load::run(fleet.entry_urls(), calls).await;
    assert_eq!(report.in_time, report.offered, "{report:?}");
    assert_eq!(fleet.stop().unwrap(), Vec::<String>::new());
}
