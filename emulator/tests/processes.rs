//! Tests real processes under failure: killed and frozen sides, a log outage, and a rolling
//! restart of all sides.

use std::time::Duration;

use emulator::{
    demo::{FleetProcesses, FleetSettings},
    load::{self, LoadReport},
    workload::{Deployment, OfferedRequest},
};

/// Time for the fleet to react to a change.
const SETTLE_TIME: Duration = Duration::from_secs(2);
/// Longest time for a side to stop after SIGTERM.
const STOP_TIMEOUT: Duration = Duration::from_secs(40);

fn settings(port: u16) -> FleetSettings {
    FleetSettings {
        port,
        engines: 3,
        services: 2,
        retention: Duration::from_secs(8),
        deployment: Deployment::Highway,
        call_time: Duration::from_millis(100),
    }
}

/// Returns ten short requests per second, alternating between three kinds.
fn requests(seconds: u64) -> Vec<OfferedRequest> {
    (0..seconds * 10)
        .map(|index| {
            let kind = ["note", "ticket", "lookup"][index as usize % 3];
            OfferedRequest {
                at: Duration::from_millis(index * 100),
                customer: "state-roads".into(),
                kind: kind.into(),
                is_call: kind != "note",
                key: (kind == "ticket").then_some(index),
                prompt_tokens: 100,
                max_output_tokens: 16,
                prefix_group: 0,
                prefix_tokens: 0,
                deadline: Duration::from_millis(if kind == "note" { 6000 } else { 3000 }),
            }
        })
        .collect()
}

/// Stops the fleet, expects exit status 0 of every process, and completes the report.
async fn finish(mut fleet: FleetProcesses, mut report: LoadReport) -> LoadReport {
    report.doubled = fleet.doubled().await.unwrap();
    let failed = fleet.stop().unwrap();
    assert_eq!(failed, Vec::<String>::new(), "processes that did not end with status 0");
    println!("{}", serde_json::json!(report));
    report
}

#[tokio::test(flavor = "multi_thread")]
async fn rolling_restart_of_sides_loses_no_request() {
    let mut fleet = FleetProcesses::spawn(settings(21_000)).await.unwrap();
    let load = tokio::spawn(load::run(fleet.entry_urls(), requests(14)));
    tokio::time::sleep(SETTLE_TIME).await;
    for index in 0..fleet.sides.len() {
        fleet.sides[index].signal("TERM").unwrap();
        assert!(fleet.sides[index].wait(STOP_TIMEOUT).unwrap().success());
        fleet.sides[index] = fleet.start_side(index).unwrap();
        tokio::time::sleep(SETTLE_TIME).await;
    }
    let report = finish(fleet, load.await.unwrap()).await;
    assert_eq!((report.crossed, report.doubled, report.cut), (0, 0, 0));
    assert_eq!(
        (report.in_time, report.failed, report.unknown),
        (report.offered, 0, 0),
        "{report:?}"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn killed_and_frozen_sides_cause_no_duplicated_or_swapped_answers() {
    let mut fleet = FleetProcesses::spawn(settings(21_300)).await.unwrap();
    let load = tokio::spawn(load::run(fleet.entry_urls(), requests(12)));
    tokio::time::sleep(SETTLE_TIME).await;
    fleet.sides[3].signal("KILL").unwrap();
    fleet.sides[0].signal("STOP").unwrap();
    tokio::time::sleep(SETTLE_TIME).await;
    fleet.sides[3] = fleet.start_side(3).unwrap();
    tokio::time::sleep(SETTLE_TIME).await;
    fleet.sides[0].signal("CONT").unwrap();
    let report = finish(fleet, load.await.unwrap()).await;
    assert_eq!((report.crossed, report.doubled, report.cut), (0, 0, 0));
    assert!(report.in_time * 10 >= report.offered * 9, "{report:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn log_outage_refuses_only_calls_with_a_key() {
    let fleet = FleetProcesses::spawn(settings(21_600)).await.unwrap();
    fleet.set_faults(serde_json::json!({ "down": true })).await.unwrap();
    // A log outage is detected after 1.5 s.
    tokio::time::sleep(SETTLE_TIME + SETTLE_TIME).await;
    let requests = requests(6);
    let tickets = requests.iter().filter(|request| request.key.is_some()).count() as u64;
    let mut report = load::run(fleet.entry_urls(), requests).await;
    assert_eq!(report.refused_not_run, tickets, "{report:?}");
    assert_eq!(report.in_time, report.offered - tickets, "{report:?}");
    fleet.set_faults(serde_json::json!({ "down": false })).await.unwrap();
    tokio::time::sleep(SETTLE_TIME).await;
    let after = load::run(fleet.entry_urls(), self::requests(2)).await;
    assert_eq!(after.in_time, after.offered, "{after:?}");
    report.offered += after.offered;
    let report = finish(fleet, report).await;
    assert_eq!(report.doubled, 0);
}
