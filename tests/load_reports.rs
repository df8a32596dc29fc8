//! What entries tell each other: whole reports, changes, losses, restarts.

mod support;

use std::time::Duration;

use sapphirewell::{
    direct::{
        CallOutcome, DirectEvent, InFlight, LoadReport, PeerTable, RepeatRule, TargetCount,
        TargetStage,
    },
    ids::TargetId,
};
use support::direct::DirectRig;

const NOW: Duration = Duration::from_secs(5);

fn report(instance: u64, sequence: u64, whole: bool, counts: &[(&str, u32)]) -> LoadReport {
    let counts = counts.iter().map(|(target, running)| TargetCount {
        target: (*target).into(),
        in_flight: InFlight { running: *running, ..InFlight::default() },
        ..TargetCount::default()
    });
    let counts = counts.collect();
    LoadReport { peer: "p".into(), instance, sequence, whole, counts, kept: vec![] }
}

struct ReportSeries {
    name: &'static str,
    reports: Vec<LoadReport>,
    /// Requests that are believed at targets a and b.
    running: (u32, u32),
}

#[test]
fn a_peers_load_follows_its_reports() {
    let whole = || report(1, 1, true, &[("a", 3), ("b", 4)]);
    let cases = [
        ReportSeries { name: "whole", reports: vec![whole()], running: (3, 4) },
        ReportSeries {
            name: "a change leaves the rest",
            reports: vec![whole(), report(1, 2, false, &[("a", 5)])],
            running: (5, 4),
        },
        ReportSeries {
            name: "an older report is ignored",
            reports: vec![
                whole(),
                report(1, 3, false, &[("a", 5)]),
                report(1, 2, false, &[("a", 9)]),
            ],
            running: (5, 4),
        },
        ReportSeries {
            name: "a whole report replaces all",
            reports: vec![whole(), report(1, 2, true, &[("b", 1)])],
            running: (0, 1),
        },
        ReportSeries {
            name: "a restarted peer begins anew",
            reports: vec![whole(), report(2, 1, false, &[("b", 2)])],
            running: (0, 2),
        },
    ];
    let at = |peers: &PeerTable, name: &str| peers.at(&TargetId::from(name)).running;
    for case in cases {
        let mut peers = PeerTable::default();
        case.reports.into_iter().for_each(|report| peers.apply(NOW, report));
        assert_eq!((at(&peers, "a"), at(&peers, "b")), case.running, "{}", case.name);
    }
}

#[test]
fn a_silent_peer_no_longer_counts() {
    let mut peers = PeerTable::default();
    peers.apply(NOW, report(1, 1, true, &[("a", 3)]));
    peers.expire(NOW + Duration::from_millis(1500));
    assert_eq!(peers.len(), 1);
    peers.expire(NOW + Duration::from_millis(1501));
    assert!(peers.is_empty());
}

#[test]
fn a_change_report_holds_what_changed_and_what_became_idle() {
    let mut rig = DirectRig::new(RepeatRule::Never);
    rig.list("a", TargetStage::Plain);
    rig.list("b", TargetStage::Plain);
    let first = rig.submit(1).call();
    let second = rig.submit(2).call();
    assert_ne!(first.target, second.target, "the second one sees the load of the first");
    assert_eq!(rig.machine.load_report(NOW, true).counts.len(), 2);
    assert_eq!(rig.machine.load_report(NOW, false).counts, vec![]);
    rig.end(1, first.number, CallOutcome::Answered { success: true });
    rig.step(DirectEvent::FlowEnded { flow: 1, whole: true });
    let changes = rig.machine.load_report(NOW, false).counts;
    let idle = TargetCount { target: first.target, ..TargetCount::default() };
    assert_eq!(changes, vec![idle]);
}

#[test]
fn load_of_peers_moves_work_elsewhere() {
    let mut rig = DirectRig::new(RepeatRule::Never);
    rig.list("a", TargetStage::Plain);
    rig.list("b", TargetStage::Plain);
    rig.step(DirectEvent::PeerLoad(report(1, 1, true, &[("a", 40)])));
    for flow in 1..=8 {
        assert_eq!(&*rig.submit(flow).call().target, "b");
    }
}
