//! A number out of range in a configuration or a report ended the whole process.

mod support;

use std::time::Duration;

use sapphirewell::{
    direct::{
        DirectAction, InFlight, RequestRate, RetryPolicy, ServiceDemand, TargetStage, TargetUsage,
    },
    platform::configuration,
};
use support::direct::{DirectRig, SERVICE};
use yare::parameterized;

fn usage(prefill_rate: f32, samples: u32, running: u32, tokens: u32) -> TargetUsage {
    let mut in_flight = InFlight { running, ..InFlight::default() };
    in_flight.backlog.add(0, tokens);
    TargetUsage { target: "engine".into(), in_flight, prefill_rate, samples }
}

#[parameterized(
    no_number = { usage(f32::NAN, 3, 0, 0) },
    rate_of_nothing = { usage(0.0, 3, 0, 0) },
    endless_rate = { usage(f32::INFINITY, 3, 0, 0) },
    negative_rate = { usage(-1.0, 3, 0, 0) },
    many_samples = { usage(60_000.0, u32::MAX, 0, 0) },
)]
fn a_peers_usage_does_not_end_the_process(usage: TargetUsage) {
    let mut rig = DirectRig::new(RetryPolicy::Never);
    rig.list("engine", TargetStage::Decode);
    rig.hear_of("first", vec![usage.clone()]);
    rig.hear_of("second", vec![usage]);
    assert_eq!(&*rig.submit_tokens(1, 900, Duration::from_secs(5), None).call().target, "engine");
}

#[test]
fn a_peers_load_beyond_all_limits_only_closes_the_target() {
    let mut rig = DirectRig::new(RetryPolicy::Never);
    rig.list("engine", TargetStage::Decode);
    for peer in ["first", "second"] {
        rig.hear_of(peer, vec![usage(60_000.0, 1, u32::MAX, u32::MAX)]);
    }
    let actions = rig.submit_tokens(1, 900, Duration::from_secs(5), None).actions();
    assert!(matches!(actions[..], [DirectAction::Fail { .. }]), "{actions:?}");
}

#[parameterized(no_number = { RequestRate::NAN }, negative = { -1.0 })]
fn a_peers_demand_does_not_count_without_a_number(rate: RequestRate) {
    let mut rig = DirectRig::new(RetryPolicy::Never);
    let mut report = rig.report();
    report.demand = vec![ServiceDemand { service: SERVICE.into(), rate }];
    assert!(!report.has_valid_numbers());
}

const CONFIGURATION: &str = r#"{"version":7,"services":[{"name":"s","max_connections":9}],
    "limits":{"max_header_bytes":1,"max_body_bytes":1,"idle_timeout_ms":15000},
    "routes":[{"name":"r","host":"h","path_prefix":"/","kind":"safe","timeout_ms":2000,
    "target_latency_ms":150,"priority":0,"max_attempts":1,"service":"s"}]}"#;

#[parameterized(
    timeout = { "2000", "1e300" },
    negative_timeout = { "2000", "-1e300" },
    objective = { "_ms\":150,", "_ms\":1e300," },
    idle_timeout = { "15000", "18446744073709551615" },
    weights = { "\"service\":\"s\"", r#""traffic_split":[{"service":"a","weight":1e300},{"service":"b","weight":1e300}]"# },
)]
fn a_configuration_does_not_end_the_process(find: &str, replace: &str) {
    let text = CONFIGURATION.replacen(find, replace, 1);
    let table = configuration::decode(text.as_bytes()).unwrap();
    let route = &table.routes[0];
    let year = Duration::from_secs(366 * 24 * 3600);
    assert!(route.timeout < year && route.objective < year && table.limits.idle_time < year);
    assert!(
        route.services.iter().map(|weighted| u64::from(weighted.weight)).sum::<u64>() < 1 << 32
    );
}
