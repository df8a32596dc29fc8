//! Customers of a configuration: who is served by which key, what targets are told of it, and which
//! priority it gives.

mod support;

use hyper::{
    Request, StatusCode,
    header::{HeaderMap, HeaderName, HeaderValue},
    http::request::Parts,
};
use sapphirewell::{
    direct::{CallerIdentity, CustomerConfig, RetryPolicy, RouteTable, TargetStage},
    platform::{
        caller::{self, RequestRejection},
        configuration,
        credential::CredentialFault,
    },
};
use support::direct::DirectRig;
use yare::parameterized;

/// A configuration with a closed and an anonymous route, and these customers.
fn configuration(customers: &str) -> String {
    let route = |name: &str, anonymous: bool| {
        format!(
            r#"{{"name":"{name}","host":"h.example","path_prefix":"/{name}/","kind":"safe",
            "timeout_ms":800,"target_latency_ms":150,"priority":2,"service":"s","max_attempts":1,
            "allow_anonymous":{anonymous}}}"#
        )
    };
    format!(
        r#"{{"version":1,"routes":[{},{}],"services":[{{"name":"s","max_connections":9}}],
        "limits":{{"max_header_bytes":16384,"max_body_bytes":4194304,"idle_timeout_ms":15000}}
        {customers}}}"#,
        route("closed", false),
        route("open", true),
    )
}

const CUSTOMERS: &str = r#","tenants":[{"name":"first","api_keys":["k1","k2"],"priority":0},
    {"name":"second","api_keys":["k3"]},{"name":"without-keys","api_keys":[]}]"#;

fn table(customers: &str) -> RouteTable {
    configuration::decode(configuration(customers).as_bytes()).unwrap()
}

fn head(path: &str, credentials: &[&str]) -> Parts {
    let mut request = Request::builder().uri(path).header("host", "h.example");
    request = request.header("request-id", "r").header("tenant", "forged");
    for credential in credentials {
        request = request.header("authorization", *credential);
    }
    request.body(()).unwrap().into_parts().0
}

/// Name of the customer that a request is served for, empty without one.
fn identify(
    table: &RouteTable,
    path: &str,
    credentials: &[&str],
) -> Result<String, RequestRejection> {
    let head = caller::validate_head(&head(path, credentials), table)?;
    Ok(head.identity.customer().map_or_else(String::new, |customer| customer.name.to_string()))
}

struct CredentialCase {
    path: &'static str,
    credentials: &'static [&'static str],
    served: Result<&'static str, CredentialFault>,
}

#[parameterized(
    known = { CredentialCase { path: "/closed/", credentials: &["Token k1"], served: Ok("first") } },
    second_key = { CredentialCase { path: "/closed/", credentials: &["Token k2"], served: Ok("first") } },
    other_customer = { CredentialCase { path: "/closed/", credentials: &["Token k3"], served: Ok("second") } },
    scheme_in_another_case = { CredentialCase { path: "/closed/", credentials: &["tOKEN k1"], served: Ok("first") } },
    more_spaces = { CredentialCase { path: "/closed/", credentials: &["  Token   k1 "], served: Ok("first") } },
    known_on_an_anonymous_route = { CredentialCase { path: "/open/", credentials: &["Token k1"], served: Ok("first") } },
    none_on_an_anonymous_route = { CredentialCase { path: "/open/", credentials: &[], served: Ok("") } },
    none = { CredentialCase { path: "/closed/", credentials: &[], served: Err(CredentialFault::Missing) } },
    unknown = { CredentialCase { path: "/closed/", credentials: &["Token k4"], served: Err(CredentialFault::UnknownKey) } },
    unknown_on_an_anonymous_route = { CredentialCase { path: "/open/", credentials: &["Token k4"], served: Err(CredentialFault::UnknownKey) } },
    name_for_a_key = { CredentialCase { path: "/closed/", credentials: &["Token first"], served: Err(CredentialFault::UnknownKey) } },
    key_in_another_case = { CredentialCase { path: "/closed/", credentials: &["Token K1"], served: Err(CredentialFault::UnknownKey) } },
    beginning_of_a_key = { CredentialCase { path: "/closed/", credentials: &["Token k"], served: Err(CredentialFault::UnknownKey) } },
    repeated = { CredentialCase { path: "/closed/", credentials: &["Token k1", "Token k1"], served: Err(CredentialFault::Repeated) } },
    repeated_on_an_anonymous_route = { CredentialCase { path: "/open/", credentials: &["Token k1", "Token k4"], served: Err(CredentialFault::Repeated) } },
    two_in_one_header = { CredentialCase { path: "/closed/", credentials: &["Token k1, Token k3"], served: Err(CredentialFault::Malformed) } },
    other_scheme = { CredentialCase { path: "/closed/", credentials: &["Bearer k1"], served: Err(CredentialFault::Malformed) } },
    key_alone = { CredentialCase { path: "/closed/", credentials: &["k1"], served: Err(CredentialFault::Malformed) } },
    empty_header = { CredentialCase { path: "/closed/", credentials: &[""], served: Err(CredentialFault::Malformed) } },
    empty_key = { CredentialCase { path: "/closed/", credentials: &["Token "], served: Err(CredentialFault::EmptyKey) } },
    no_ascii = { CredentialCase { path: "/closed/", credentials: &["Token k\u{e9}"], served: Err(CredentialFault::UnknownKey) } },
)]
fn credentials_are_checked_on_every_route(case: CredentialCase) {
    let identity = identify(&table(CUSTOMERS), case.path, case.credentials);
    let expected = case.served.map(str::to_owned);
    assert_eq!(identity, expected.map_err(|fault| RequestRejection::Unauthorized { fault }));
}

#[parameterized(
    longest = { 512, CredentialFault::UnknownKey },
    over_long = { 513, CredentialFault::KeyTooLong },
    far_over_long = { 12_000, CredentialFault::KeyTooLong },
)]
fn the_length_of_keys_is_bounded(bytes: usize, fault: CredentialFault) {
    let credential = format!("Token {}", "x".repeat(bytes));
    let identity = identify(&table(CUSTOMERS), "/closed/", &[&credential]);
    assert_eq!(identity, Err(RequestRejection::Unauthorized { fault }));
}

#[test]
fn a_path_without_a_route_is_answered_before_its_key_is_checked() {
    let rejection = identify(&table(CUSTOMERS), "/other/", &["Token k4"]);
    assert_eq!(rejection, Err(RequestRejection::NoRoute));
}

#[test]
fn a_rejected_key_gets_401_with_the_scheme_and_a_reason_without_the_key() {
    let rejection = RequestRejection::Unauthorized { fault: CredentialFault::UnknownKey };
    let id = HeaderValue::from_static("r");
    let response = caller::rejection_response(rejection, Some(&id), Default::default());
    assert_eq!(response.status(), StatusCode::UNAUTHORIZED);
    assert_eq!(response.headers()["www-authenticate"], "Token");
    assert_eq!(response.headers()["request-id"], "r");
    assert!(!response.headers().contains_key("retry-after"));
    assert_eq!(&response.body()[..], br#"{"error":"unknown key","not_run":true}"#);
}

struct ForwardCase {
    customers: &'static str,
    path: &'static str,
    credentials: &'static [&'static str],
    customer: Option<&'static str>,
    credential: Option<&'static str>,
}

#[parameterized(
    customer = { ForwardCase { customers: CUSTOMERS, path: "/closed/", credentials: &["Token k3"], customer: Some("second"), credential: None } },
    customer_on_an_anonymous_route = { ForwardCase { customers: CUSTOMERS, path: "/open/", credentials: &["Token k1"], customer: Some("first"), credential: None } },
    anonymous = { ForwardCase { customers: CUSTOMERS, path: "/open/", credentials: &[], customer: None, credential: None } },
    no_customers = { ForwardCase { customers: "", path: "/closed/", credentials: &["Token k1"], customer: Some("forged"), credential: Some("Token k1") } },
)]
fn targets_get_the_customer_in_place_of_the_key(case: ForwardCase) {
    let parts = head(case.path, case.credentials);
    let head = caller::validate_head(&parts, &table(case.customers)).unwrap();
    let forwarded = head.forwarded_headers(&parts.headers);
    let text = |name: &'static str| {
        let values: Vec<_> = forwarded.get_all(name).iter().collect();
        assert!(values.len() <= 1, "{values:?}");
        values.first().map(|value| value.to_str().unwrap().to_owned())
    };
    assert_eq!(text("tenant").as_deref(), case.customer);
    assert_eq!(text("authorization").as_deref(), case.credential);
}

#[test]
fn a_caller_cannot_have_its_customer_removed_as_a_hop_by_hop_header() {
    let mut parts = head("/closed/", &["Token k1"]);
    parts.headers.insert("connection", HeaderValue::from_static("tenant, authorization"));
    let head = caller::validate_head(&parts, &table(CUSTOMERS)).unwrap();
    let forwarded: HeaderMap = head.forwarded_headers(&parts.headers);
    assert_eq!(forwarded[HeaderName::from_static("tenant")], "first");
}

struct ChangeCase {
    before: &'static str,
    after: &'static str,
    key: &'static str,
    served: [Option<&'static str>; 2],
}

const ONE: &str = r#","tenants":[{"name":"first","api_keys":["k1"]}]"#;
const NO_KEYS: &str = r#","tenants":[{"name":"first","api_keys":[]}]"#;
const MOVED: &str = r#","tenants":[{"name":"other","api_keys":["k1"]}]"#;
const EMPTY: &str = r#","tenants":[]"#;

#[parameterized(
    key_added = { ChangeCase { before: NO_KEYS, after: ONE, key: "k1", served: [None, Some("first")] } },
    all_keys_removed = { ChangeCase { before: ONE, after: NO_KEYS, key: "k1", served: [Some("first"), None] } },
    one_key_removed = { ChangeCase { before: CUSTOMERS, after: ONE, key: "k2", served: [Some("first"), None] } },
    key_moved = { ChangeCase { before: ONE, after: MOVED, key: "k1", served: [Some("first"), Some("other")] } },
    customer_removed = { ChangeCase { before: CUSTOMERS, after: ONE, key: "k3", served: [Some("second"), None] } },
    last_customer_removed = { ChangeCase { before: ONE, after: EMPTY, key: "k1", served: [Some("first"), None] } },
    customers_given_up = { ChangeCase { before: ONE, after: "", key: "k1", served: [Some("first"), Some("")] } },
)]
fn a_version_replaces_all_keys(case: ChangeCase) {
    let credential = format!("Token {}", case.key);
    let served = [case.before, case.after]
        .map(|customers| identify(&table(customers), "/closed/", &[&credential]).ok());
    assert_eq!(served.each_ref().map(Option::as_deref), case.served);
}

#[parameterized(
    number_for_a_key = { r#","tenants":[{"name":"first","api_keys":["k1",5]}]"# },
    key_for_a_list = { r#","tenants":[{"name":"first","api_keys":"secret"}]"# },
    key_for_a_priority = { r#","tenants":[{"name":"first","api_keys":[],"priority":"secret"}]"# },
    no_keys = { r#","tenants":[{"name":"first"}]"# },
    no_name = { r#","tenants":[{"api_keys":["secret"]}]"# },
    name_with_a_line_end = { r#","tenants":[{"name":"first\r\nx","api_keys":["secret"]}]"# },
    empty_name = { r#","tenants":[{"name":"","api_keys":["secret"]}]"# },
)]
fn malformed_customers_are_errors_that_quote_no_key(customers: &str) {
    let error = configuration::decode(configuration(customers).as_bytes()).unwrap_err();
    assert!(!error.to_string().contains("secret"), "{error}");
}

#[test]
fn no_form_of_a_table_shows_a_key() {
    let customers = r#","tenants":[{"name":"first","api_keys":["secret"]}]"#;
    let table = table(customers);
    let dump = serde_json::to_string(&table).unwrap();
    assert!(!dump.contains("secret") && dump.contains(r#""customers":{"keys":1}"#), "{dump}");
    assert!(!format!("{table:?}").contains("secret"));
}

#[test]
fn a_table_of_38_000_customers_finds_each_by_each_key() {
    let customers: Vec<String> = (0..38_000)
        .map(|n| format!(r#"{{"name":"customer-{n}","api_keys":["a{n}","b{n}"]}}"#))
        .collect();
    let table = table(&format!(r#","tenants":[{}]"#, customers.join(",")));
    let found = table.customers.as_ref().unwrap();
    assert_eq!(found.key_count(), 76_000);
    for n in (0..38_000).step_by(997) {
        let name = |key: String| found.find(key.as_bytes()).map(|found| found.name.to_string());
        let expected = Some(format!("customer-{n}"));
        assert_eq!((name(format!("a{n}")), name(format!("b{n}"))), (expected.clone(), expected));
    }
    assert!(found.find(b"a38000").is_none());
}

struct PriorityCase {
    customer: Option<u8>,
    route: u8,
    at_targets: u8,
}

#[parameterized(
    customer_without_one = { PriorityCase { customer: None, route: 2, at_targets: 2 } },
    high_on_a_low_route = { PriorityCase { customer: Some(0), route: 4, at_targets: 0 } },
    low_on_a_high_route = { PriorityCase { customer: Some(4), route: 0, at_targets: 4 } },
    beyond_those_in_time = { PriorityCase { customer: Some(9), route: 0, at_targets: 4 } },
)]
fn a_customers_priority_replaces_the_routes(case: PriorityCase) {
    let mut rig = DirectRig::new(RetryPolicy::Always);
    rig.list("prefill", TargetStage::Prefill);
    rig.list("decode", TargetStage::Decode);
    let customer = CustomerConfig { name: "first".into(), priority: case.customer };
    let call = rig.submit_for(1, customer, case.route).call();
    assert_eq!(call.priority, case.at_targets);
}

#[test]
fn a_request_without_customers_in_the_configuration_is_not_checked() {
    let head = caller::validate_head(&head("/closed/", &["Basic ?"]), &table("")).unwrap();
    assert_eq!(head.identity, CallerIdentity::Unchecked);
}
