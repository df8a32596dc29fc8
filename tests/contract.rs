//! Parsing of contracts: valid ones are accepted, and errors name the invalid field.

use sapphirewell::{ErrorCode, contract::CustomerContract};
use yare::parameterized;

const VALID: &str = r#"{"customer":"north","share_ppm":1000,"window_s":60,"kinds":[
    {"name":"note","route":{"engine":{"model":"m","max_prompt_tokens":10,"max_output_tokens":5}},
     "priority":0,"deadline_ms":1000,"idempotent":true}]}"#;

struct RejectedContract {
    find: &'static str,
    replace: &'static str,
    code: ErrorCode,
    place: &'static str,
}

#[test]
fn accepts_a_valid_contract() {
    let contract = CustomerContract::parse(VALID.as_bytes()).unwrap();
    assert_eq!(contract.kind("note").unwrap().deadline_ms, 1000);
}

#[parameterized(
    unknown_field = { RejectedContract { find: r#""window_s""#, replace: r#""windows""#, code: ErrorCode::Malformed, place: "windows" } },
    wrong_type = { RejectedContract { find: r#""deadline_ms":1000"#, replace: r#""deadline_ms":"soon""#, code: ErrorCode::Malformed, place: "kinds[0].deadline_ms" } },
    zero_share = { RejectedContract { find: "1000,\"window", replace: "0,\"window", code: ErrorCode::OutOfRange, place: "share_ppm" } },
    share_above_fleet = { RejectedContract { find: "1000,\"window", replace: "1000001,\"window", code: ErrorCode::OutOfRange, place: "share_ppm" } },
    bad_name = { RejectedContract { find: "north", replace: "No/rth", code: ErrorCode::BadName, place: "customer" } },
    empty_name = { RejectedContract { find: "\"note\"", replace: "\"\"", code: ErrorCode::BadName, place: "kinds[0].name" } },
    no_deadline = { RejectedContract { find: r#""deadline_ms":1000"#, replace: r#""deadline_ms":0"#, code: ErrorCode::OutOfRange, place: "kinds[0].deadline_ms" } },
    bad_priority = { RejectedContract { find: r#""priority":0"#, replace: r#""priority":10"#, code: ErrorCode::OutOfRange, place: "kinds[0].priority" } },
    trailing_text = { RejectedContract { find: "true}]}", replace: "true}]} x", code: ErrorCode::Malformed, place: "after the contract" } },
)]
fn rejects_and_names_the_field(case: RejectedContract) {
    let text = VALID.replace(case.find, case.replace);
    assert_ne!(text, VALID);
    let error = CustomerContract::parse(text.as_bytes()).unwrap_err();
    assert_eq!(error.code(), case.code, "{error}");
    assert!(error.to_string().contains(case.place), "{error}");
}

#[test]
fn rejects_two_kinds_with_the_same_name() {
    let mut contract = CustomerContract::parse(VALID.as_bytes()).unwrap();
    contract.kinds.push(contract.kinds[0].clone());
    let error = contract.check().unwrap_err();
    assert_eq!(error.code(), ErrorCode::Duplicate);
}

#[test]
fn rejects_a_document_above_the_limit() {
    let text = " ".repeat(sapphirewell::contract::MAX_CONTRACT_BYTES + 1);
    assert_eq!(CustomerContract::parse(text.as_bytes()).unwrap_err().code(), ErrorCode::TooLarge);
}
