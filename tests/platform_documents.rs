//! Documents of the platform: what is taken, and what is refused by name.

use std::time::Duration;

use sapphirewell::{
    direct::{RetryPolicy, TargetStage},
    platform::{configuration, discovery, settings},
};
use yare::parameterized;

const ENTRY: &str = r#"{"service":"s","address":"127.0.0.1:80","zone":"z","slots":4,
    "state":"ready","stage":"decode","sequence":3,"born":17,"new_field":{}}"#;

struct EntryDocument {
    find: &'static str,
    replace: &'static str,
    taken: bool,
}

#[parameterized(
    as_it_is = { EntryDocument { find: "\"s\"", replace: "\"s\"", taken: true } },
    plain_service = { EntryDocument { find: "\"stage\":\"decode\",", replace: "", taken: true } },
    no_address = { EntryDocument { find: "\"address\":\"127.0.0.1:80\",", replace: "", taken: false } },
    address_of_another_type = { EntryDocument { find: "\"127.0.0.1:80\"", replace: "80", taken: false } },
    unknown_state = { EntryDocument { find: "ready", replace: "resting", taken: false } },
    unknown_stage = { EntryDocument { find: "decode", replace: "both", taken: false } },
    negative_slots = { EntryDocument { find: "\"slots\":4", replace: "\"slots\":-4", taken: false } },
    not_json = { EntryDocument { find: "{\"service\"", replace: "\u{1}\"service\"", taken: false } },
)]
fn entries_of_targets(case: EntryDocument) {
    let text = ENTRY.replace(case.find, case.replace);
    let target = discovery::decode("t", text.as_bytes());
    assert_eq!(target.is_ok(), case.taken, "{target:?}");
}

#[test]
fn an_entry_keeps_its_order_and_stage() {
    let target = discovery::decode("t", ENTRY.as_bytes()).unwrap();
    assert_eq!((target.born_ms, target.sequence, target.slots), (17, 3, 4));
    assert_eq!(target.stage, TargetStage::Decode);
    assert!(!target.leaving);
}

const CONFIG: &str = r#"{"version":7,"routes":[
    {"name":"a","host":"H.example","path_prefix":"/a/","kind":"streaming","timeout_ms":2500,
     "target_latency_ms":250,"priority":0,"service":"s","max_attempts":1,"resumable":false},
    {"name":"b","host":"h.example","path_prefix":"/a/b/","kind":"streaming","timeout_ms":5000,
     "target_latency_ms":500,"priority":1,"max_attempts":2,"resumable":true,
     "traffic_split":[{"service":"s","weight":90},{"service":"t","weight":10.5}]},
    {"name":"c","host":"h.example","path_prefix":"/c/","kind":"unsafe","timeout_ms":800,
     "target_latency_ms":150,"priority":2,"service":"t","max_attempts":1}],
    "services":[{"name":"s","max_connections":180,"engine":{"slots":16,
     "kv_capacity_tokens":414255,"token_kv_bytes":163840,"link_mbps":1500000.0,"handle_ttl_s":5.0}},
     {"name":"t","max_connections":110}],
    "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,
     "idle_timeout_ms":15000}}"#;

struct RouteLookup {
    host: &'static str,
    path: &'static str,
    route: Option<&'static str>,
}

#[parameterized(
    longest_prefix = { RouteLookup { host: "h.example", path: "/a/b/x", route: Some("b") } },
    shorter_prefix = { RouteLookup { host: "h.example", path: "/a/x", route: Some("a") } },
    host_with_port = { RouteLookup { host: "h.example:8080", path: "/c/x", route: Some("c") } },
    other_case = { RouteLookup { host: "H.EXAMPLE", path: "/c/x", route: Some("c") } },
    other_host = { RouteLookup { host: "g.example", path: "/c/x", route: None } },
    prefix_without_its_slash = { RouteLookup { host: "h.example", path: "/cx", route: None } },
)]
fn routes_are_found(case: RouteLookup) {
    let table = configuration::decode(CONFIG.as_bytes()).unwrap();
    let found = table.find(case.host, case.path).map(|route| &*route.name);
    assert_eq!(found, case.route);
}

#[test]
fn what_may_be_repeated_follows_from_the_kind_of_route() {
    let table = configuration::decode(CONFIG.as_bytes()).unwrap();
    let repeats: Vec<RetryPolicy> = table.routes.iter().map(|route| route.retry).collect();
    assert_eq!(repeats, [RetryPolicy::Never, RetryPolicy::Resume, RetryPolicy::Never]);
    assert_eq!(table.routes[1].services.len(), 2);
    assert_eq!(table.routes[2].timeout, Duration::from_millis(800));
}

#[test]
fn a_malformed_configuration_is_refused() {
    for (find, replace) in [("\"version\":7,", ""), ("streaming", "dreaming"), ("2500", "\"x\"")] {
        let text = CONFIG.replacen(find, replace, 1);
        assert!(configuration::decode(text.as_bytes()).is_err(), "{find}");
    }
}

const SETTINGS: &str = "node=n\nzone=z\nip=127.0.0.1\nlisten.front=127.0.0.1:1\n\
    listen.ready=127.0.0.1:2\ninternal_ports=3,9\nplatform.address=127.0.0.1:4\nbounds.grace_s=8\n\
    bounds.retry_slack=56\nnew.field=x\n";

#[test]
fn settings_are_read_and_unknown_ones_ignored() {
    let settings = settings::parse(SETTINGS).unwrap();
    assert_eq!((settings.peer_port, settings.retry_slack), (3, 56.0));
    assert_eq!(settings.stop_limit, Duration::from_secs(8));
}

#[test]
fn every_wrong_setting_is_named() {
    let text = SETTINGS
        .replace("ip=127.0.0.1\n", "")
        .replace("127.0.0.1:4", "nowhere")
        .replace("grace_s=8", "grace_s=-1");
    let errors = settings::parse(&text).unwrap_err();
    let places: Vec<&str> =
        errors.iter().filter_map(|error| error.place().split(' ').next()).collect();
    assert_eq!(places, ["ip", "platform.address", "bounds.grace_s"]);
}
