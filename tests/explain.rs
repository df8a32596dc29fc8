//! Tests that `sapphirewell explain` finds the log lines of a request among other output.

use std::process::Command;

const LOG: &str = r#"noise before the log
{"timestamp":"2026-01-01T00:00:02+00:00","level":"INFO","message":"request ended","kvs":{"request":"a1","status":"502","reason":"outcome_unknown","calls":"t1 run lost 30ms 0+0"}}
{"timestamp":"2026-01-01T00:00:01+00:00","level":"INFO","message":"request ended","kvs":{"request":"b2","status":"200","reason":"","calls":""}}
{"timestamp":"2026-01-01T00:00:03+00:00","level":"INFO","message":"request ended","kvs":{"request":"d4","customer":"first","status":"503","reason":"customer_share","calls":""}}
"#;

fn explain(request: &str) -> (Option<i32>, String) {
    let file = std::env::temp_dir().join(format!("explain-{}-{request}.log", std::process::id()));
    std::fs::write(&file, LOG).unwrap();
    let output = Command::new(env!("CARGO_BIN_EXE_sapphirewell"))
        .args(["explain", request, &file.display().to_string()])
        .output()
        .unwrap();
    std::fs::remove_file(&file).unwrap();
    (output.status.code(), String::from_utf8(output.stdout).unwrap())
}

#[test]
fn prints_the_calls_and_reason_of_one_request() {
    let (status, text) = explain("a1");
    assert_eq!(status, Some(0));
    assert!(text.contains("reason: outcome_unknown"), "{text}");
    assert!(text.contains("call 1: t1 run lost 30ms"), "{text}");
    assert!(!text.contains("200"), "{text}");
}

#[test]
fn prints_by_whose_share_a_request_was_refused() {
    let (status, text) = explain("d4");
    assert_eq!(status, Some(0));
    assert!(text.contains("reason: customer_share"), "{text}");
    assert!(text.contains("customer: first"), "{text}");
}

#[test]
fn unknown_request_is_an_input_error() {
    assert_eq!(explain("c3").0, Some(2));
}
