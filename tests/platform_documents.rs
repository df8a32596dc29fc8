//! Decoding of the platform's documents: which are accepted, and which errors name the cause.

use std::time::Duration;

use sapphirewell::{
    direct::{RetryPolicy, ScaleOrder, ScalingConfig, TargetStage, WindowUsage},
    platform::{configuration, discovery, duty, settings},
};
use yare::parameterized;

const REGISTRATION: &str = r#"{"service":"s","address":"127.0.0.1:80","zone":"z","version":"v1","slots":4,
    "state":"ready","stage":"decode","sequence":3,"born":17,"new_field":{}}"#;

struct RegistrationCase {
    find: &'static str,
    replace: &'static str,
    accepted: bool,
}

#[parameterized(
    unchanged = { RegistrationCase { find: "\"s\"", replace: "\"s\"", accepted: true } },
    plain_service = { RegistrationCase { find: "\"stage\":\"decode\",", replace: "", accepted: true } },
    no_address = { RegistrationCase { find: "\"address\":\"127.0.0.1:80\",", replace: "", accepted: false } },
    address_of_wrong_type = { RegistrationCase { find: "\"127.0.0.1:80\"", replace: "80", accepted: false } },
    no_version = { RegistrationCase { find: "\"version\":\"v1\",", replace: "", accepted: false } },
    version_of_wrong_type = { RegistrationCase { find: "\"v1\"", replace: "1", accepted: false } },
    unknown_state = { RegistrationCase { find: "ready", replace: "resting", accepted: false } },
    unknown_stage = { RegistrationCase { find: "decode", replace: "both", accepted: false } },
    negative_slots = { RegistrationCase { find: "\"slots\":4", replace: "\"slots\":-4", accepted: false } },
    not_json = { RegistrationCase { find: "{\"service\"", replace: "\u{1}\"service\"", accepted: false } },
)]
fn target_registrations_are_validated(case: RegistrationCase) {
    let text = REGISTRATION.replace(case.find, case.replace);
    let target = discovery::decode("t", text.as_bytes());
    assert_eq!(target.is_ok(), case.accepted, "{target:?}");
}

/// Another writer may leave anything among the registrations.
#[parameterized(
    deeply_nested_where_nobody_reads = { RegistrationCase { find: "{}", replace: "NESTED", accepted: true } },
    deeply_nested = { RegistrationCase { find: "\"slots\":4", replace: "\"slots\":NESTED", accepted: false } },
    number_beyond_floats = { RegistrationCase { find: "\"slots\":4", replace: "\"slots\":1e400", accepted: false } },
    number_beyond_slots = { RegistrationCase { find: "\"slots\":4", replace: "\"slots\":4294967296", accepted: false } },
    more_slots_than_any_target = { RegistrationCase { find: "\"slots\":4", replace: "\"slots\":4294967295", accepted: false } },
    fractional_slots = { RegistrationCase { find: "\"slots\":4", replace: "\"slots\":1e23", accepted: false } },
    largest_numbers = { RegistrationCase { find: "\"sequence\":3,\"born\":17", replace: "\"sequence\":18446744073709551615,\"born\":18446744073709551615", accepted: true } },
    number_beyond_born = { RegistrationCase { find: "17", replace: "18446744073709551616", accepted: false } },
    port_out_of_range = { RegistrationCase { find: ":80", replace: ":99999", accepted: false } },
    no_port = { RegistrationCase { find: ":80", replace: ":0", accepted: false } },
    no_host = { RegistrationCase { find: "127.0.0.1", replace: "0.0.0.0", accepted: false } },
    other_host = { RegistrationCase { find: "127.0.0.1", replace: "999.0.0.1", accepted: false } },
    cut_short = { RegistrationCase { find: "\"sequence\":3,\"born\":17,\"new_field\":{}}", replace: "\"seq", accepted: false } },
)]
fn odd_registrations_are_errors_or_taken(case: RegistrationCase) {
    let nested = "[".repeat(200_000) + &"]".repeat(200_000);
    let text = REGISTRATION.replace(case.find, &case.replace.replace("NESTED", &nested));
    let target = discovery::decode("t", text.as_bytes());
    assert_eq!(target.is_ok(), case.accepted, "{target:?}");
}

#[parameterized(
    empty = { "" },
    with_space = { "a b" },
    with_line_end = { "a\r\nb" },
    not_ascii = { "a\u{fffd}" },
)]
fn a_target_whose_name_fits_no_header_is_an_error(id: &str) {
    assert!(discovery::decode(id, REGISTRATION.as_bytes()).is_err());
}

#[test]
fn a_registration_keeps_its_sequence_and_stage() {
    let target = discovery::decode("t", REGISTRATION.as_bytes()).unwrap();
    assert_eq!((target.born_ms, target.sequence, target.slots), (17, 3, 4));
    assert_eq!(target.stage, TargetStage::Decode);
    assert_eq!(&*target.version, "v1");
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

struct RouteCase {
    host: &'static str,
    path: &'static str,
    route: Option<&'static str>,
}

#[parameterized(
    longest_prefix = { RouteCase { host: "h.example", path: "/a/b/x", route: Some("b") } },
    shorter_prefix = { RouteCase { host: "h.example", path: "/a/x", route: Some("a") } },
    host_with_port = { RouteCase { host: "h.example:8080", path: "/c/x", route: Some("c") } },
    other_case = { RouteCase { host: "H.EXAMPLE", path: "/c/x", route: Some("c") } },
    other_host = { RouteCase { host: "g.example", path: "/c/x", route: None } },
    prefix_without_trailing_slash = { RouteCase { host: "h.example", path: "/cx", route: None } },
)]
fn routes_match_by_host_and_longest_prefix(case: RouteCase) {
    let table = configuration::decode(CONFIG.as_bytes()).unwrap();
    let found = table.find(case.host, case.path).map(|route| &*route.name);
    assert_eq!(found, case.route);
}

#[test]
fn the_route_kind_decides_the_retry_policy() {
    let table = configuration::decode(CONFIG.as_bytes()).unwrap();
    let policies: Vec<RetryPolicy> = table.routes.iter().map(|route| route.retry).collect();
    assert_eq!(policies, [RetryPolicy::Never, RetryPolicy::Resume, RetryPolicy::Never]);
    assert_eq!(table.routes[1].services.len(), 2);
    assert_eq!(table.routes[2].timeout, Duration::from_millis(800));
}

#[test]
fn malformed_configurations_are_rejected() {
    for (find, replace) in [("\"version\":7,", ""), ("streaming", "dreaming"), ("2500", "\"x\"")] {
        let text = CONFIG.replacen(find, replace, 1);
        assert!(configuration::decode(text.as_bytes()).is_err(), "{find}");
    }
}

const SETTINGS: &str = "node=n\nzone=z\nip=127.0.0.1\nlisten.front=127.0.0.1:1\n\
    listen.ready=127.0.0.1:2\ninternal_ports=3,9\nplatform.address=127.0.0.1:4\nbounds.grace_s=8\n\
    bounds.retry_slack=56\nnew.field=x\n";

#[test]
fn settings_are_parsed_and_unknown_ones_ignored() {
    let settings = settings::parse(SETTINGS).unwrap();
    assert_eq!((settings.peer_port, settings.retry_slack), (3, 56.0));
    assert_eq!(settings.stop_grace, Duration::from_secs(8));
}

#[test]
fn every_invalid_setting_is_reported() {
    let text = SETTINGS
        .replace("ip=127.0.0.1\n", "")
        .replace("127.0.0.1:4", "nowhere")
        .replace("grace_s=8", "grace_s=-1");
    let errors = settings::parse(&text).unwrap_err();
    let places: Vec<&str> =
        errors.iter().filter_map(|error| error.place().split(' ').next()).collect();
    assert_eq!(places, ["ip", "platform.address", "bounds.grace_s"]);
}

struct DutyCase {
    settings: &'static str,
    is_duty: bool,
}

#[parameterized(
    listed = { DutyCase {
        settings: "cloud_api.address=127.0.0.1:9\ncloud_api.duties=usage,scale\n", is_duty: true
    } },
    other_duty = { DutyCase {
        settings: "cloud_api.address=127.0.0.1:9\ncloud_api.duties=scale\n", is_duty: false
    } },
    no_address = { DutyCase { settings: "cloud_api.duties=usage\n", is_duty: false } },
    no_duties = { DutyCase { settings: "cloud_api.address=127.0.0.1:9\n", is_duty: false } },
    nothing = { DutyCase { settings: "", is_duty: false } },
)]
fn usage_is_a_duty_where_the_settings_list_it(case: DutyCase) {
    let settings = settings::parse(&format!("{SETTINGS}\n{}", case.settings)).unwrap();
    assert_eq!(settings.usage.is_some(), case.is_duty);
}

#[test]
fn usage_reports_name_holder_token_and_counts() {
    let counts = [("a".into(), 412), ("b".into(), 3)].into();
    let usage = WindowUsage { window: 353_445_120, counts };
    let address = "127.0.0.1:9".parse().unwrap();
    let request = duty::usage_request(address, "vm-1", 12, &usage).unwrap();
    assert_eq!((request.method().as_str(), request.uri().path()), ("POST", "/usage"));
    assert_eq!(request.headers()["lease-holder"], "vm-1");
    assert_eq!(request.headers()["fencing-token"], "12");
    assert_eq!(request.headers()["content-type"], "application/json");
    let expected = r#"{"window":353445120,"counts":{"a":412,"b":3}}"#;
    assert_eq!(request.body(), expected);
}

struct ScalingCase {
    /// What the service states.
    text: &'static str,
    /// Bounds and seconds of a start, or `None` if they are absent or invalid.
    expected: Option<(u32, u32, f64)>,
}

#[parameterized(
    absent = { ScalingCase { text: "", expected: None } },
    null = { ScalingCase { text: ",\"scaling\":null", expected: None } },
    whole = { ScalingCase {
        text: ",\"scaling\":{\"min\":2,\"max\":9,\"boot_s\":12.5,\"more\":1}", expected: Some((2, 9, 12.5))
    } },
    no_time = { ScalingCase {
        text: ",\"scaling\":{\"min\":0,\"max\":0,\"boot_s\":0}", expected: Some((0, 0, 0.0))
    } },
    time_not_stated = { ScalingCase {
        text: ",\"scaling\":{\"min\":1,\"max\":4}", expected: Some((1, 4, 30.0))
    } },
    exchanged = { ScalingCase { text: ",\"scaling\":{\"min\":9,\"max\":2,\"boot_s\":1}", expected: None } },
    negative_time = { ScalingCase { text: ",\"scaling\":{\"min\":1,\"max\":2,\"boot_s\":-1}", expected: None } },
    negative_number = { ScalingCase { text: ",\"scaling\":{\"min\":-1,\"max\":2,\"boot_s\":1}", expected: None } },
    no_limit = { ScalingCase { text: ",\"scaling\":{\"min\":1,\"boot_s\":1}", expected: None } },
    time_of_other_type = { ScalingCase {
        text: ",\"scaling\":{\"min\":1,\"max\":4,\"boot_s\":\"9\"}", expected: None
    } },
    number_and_a_half = { ScalingCase {
        text: ",\"scaling\":{\"min\":1.5,\"max\":4,\"boot_s\":9}", expected: None
    } },
    other_type = { ScalingCase { text: ",\"scaling\":[1,2,3,4]", expected: None } },
)]
fn the_number_of_targets_has_bounds(case: ScalingCase) {
    let service = "\"max_connections\":110";
    let text = CONFIG.replace(service, &format!("{service}{}", case.text));
    let table = configuration::decode(text.as_bytes()).expect("the rest takes effect");
    let sound = configuration::decode(CONFIG.as_bytes()).unwrap();
    assert_eq!((table.version, table.routes.len()), (sound.version, sound.routes.len()));
    let bounds = |(min, max, seconds)| {
        let start_time = Duration::from_secs_f64(seconds);
        ScalingConfig { min, max, start_time }
    };
    assert_eq!(table.services["t"].scaling, case.expected.map(bounds));
}

#[parameterized(
    both = { "usage,scale", 10.0 },
    alone = { "scale", 10.0 },
    twice = { "scale,scale", 10.0 },
    unknown_beside = { "scale,other", 10.0 },
)]
fn duties_know_the_calls_that_the_platform_takes(duties: &str, rate: f64) {
    let more = format!(
        "cloud_api.address=127.0.0.1:9\ncloud_api.duties={duties}\ncloud_api.duty_per_s={rate}\n"
    );
    let settings = settings::parse(&format!("{SETTINGS}\n{more}")).unwrap();
    assert_eq!(settings.scale.unwrap().calls_per_second, rate);
    let usage_rate = settings.usage.map_or(rate, |usage| usage.calls_per_second);
    assert_eq!(usage_rate, rate);
}

#[test]
fn orders_for_targets_name_holder_token_and_number() {
    let order = ScaleOrder { service: "s".into(), data_centre: "z".into(), targets: 6, fence: 12 };
    let request = duty::scale_request("127.0.0.1:9".parse().unwrap(), "vm-1", &order).unwrap();
    assert_eq!((request.method().as_str(), request.uri().path()), ("POST", "/scale"));
    assert_eq!(request.headers()["lease-holder"], "vm-1");
    assert_eq!(request.headers()["fencing-token"], "12");
    assert_eq!(request.headers()["content-type"], "application/json");
    assert_eq!(request.body(), r#"{"service":"s","zone":"z","desired":6}"#);
}
