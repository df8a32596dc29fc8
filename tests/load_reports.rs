//! What entries tell each other: whole reports, changes, losses, restarts.

mod support;

use std::time::Duration;

use sapphirewell::{
    direct::{
        CallOutcome, DirectAction, DirectEvent, FailureReason, InFlight, LoadReport, PeerTable,
        RetryPolicy, SuspectChange, TargetStage, TargetUsage,
    },
    ids::TargetId,
};
use support::direct::DirectRig;

const NOW: Duration = Duration::from_secs(5);

fn report(instance: u64, sequence: u64, full: bool, running: &[(&str, u32)]) -> LoadReport {
    let targets = running.iter().map(|(target, running)| TargetUsage {
        target: (*target).into(),
        in_flight: InFlight { running: *running, ..InFlight::default() },
        ..TargetUsage::default()
    });
    let targets = targets.collect();
    LoadReport {
        peer: "p".into(),
        instance,
        sequence,
        full,
        targets,
        cached: vec![],
        suspects: vec![],
        claim: None,
        switching: vec![],
    }
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
    let at = |peers: &PeerTable, name: &str| peers.in_flight_at(&TargetId::from(name)).running;
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
    let mut rig = DirectRig::new(RetryPolicy::Never);
    rig.list("a", TargetStage::Plain);
    rig.list("b", TargetStage::Plain);
    let first = rig.submit(1).call();
    let second = rig.submit(2).call();
    assert_ne!(first.target, second.target, "the second one sees the load of the first");
    assert_eq!(rig.machine.load_report(NOW, true).targets.len(), 2);
    assert_eq!(rig.machine.load_report(NOW, false).targets, vec![]);
    rig.end(1, first.number, CallOutcome::Answered { success: true });
    rig.step(DirectEvent::FlowEnded { flow: 1, complete: true });
    let changes = rig.machine.load_report(NOW, false).targets;
    let idle = TargetUsage { target: first.target, ..TargetUsage::default() };
    assert_eq!(changes, vec![idle]);
}

#[test]
fn load_of_peers_moves_work_elsewhere() {
    let mut rig = DirectRig::new(RetryPolicy::Never);
    rig.list("a", TargetStage::Plain);
    rig.list("b", TargetStage::Plain);
    rig.step(DirectEvent::PeerLoad(report(1, 1, true, &[("a", 40)])));
    for flow in 1..=8 {
        assert_eq!(&*rig.submit(flow).call().target, "b");
    }
}

fn crashed(rig: &mut DirectRig, flow: u64) {
    let call = rig.submit(flow).call();
    rig.end(flow, call.number, CallOutcome::Lost { closed: true });
}

/// Found by the platform's fault matrix: `stop_entry at second_call_sent`, seed 1.
#[test]
fn an_entry_that_starts_later_learns_which_requests_crash_targets() {
    let mut old = DirectRig::new(RetryPolicy::Never);
    for name in ["a", "b", "c", "d"] {
        old.list(name, TargetStage::Plain);
    }
    (1..=3).for_each(|flow| crashed(&mut old, flow));
    let report = LoadReport { peer: "old".into(), ..old.machine.load_report(NOW, true) };
    let mut new = DirectRig::new(RetryPolicy::Never);
    new.list("a", TargetStage::Plain);
    new.step(DirectEvent::PeerLoad(report));
    let refused = new.submit(1).actions();
    let reason = refused.iter().find_map(|action| match action {
        DirectAction::Fail { failure, .. } => Some(failure.reason),
        _ => None,
    });
    assert_eq!(reason, Some(FailureReason::CrashesTargets));
}

#[test]
fn crashes_are_forgotten_although_entries_tell_them_to_each_other() {
    let mut old = DirectRig::new(RetryPolicy::Never);
    let mut new = DirectRig::new(RetryPolicy::Never);
    for rig in [&mut old, &mut new] {
        rig.list("a", TargetStage::Plain);
    }
    (1..=3).for_each(|flow| crashed(&mut old, flow));
    for _ in 0..20 {
        for (from, to) in [(&old, "old"), (&new, "new")].map(|(rig, name)| (rig.now(), name)) {
            let report = match to {
                "old" => old.machine.load_report(from, true),
                _ => new.machine.load_report(from, true),
            };
            let report = LoadReport { peer: to.into(), ..report };
            old.step(DirectEvent::PeerLoad(report.clone()));
            new.step(DirectEvent::PeerLoad(report));
        }
        for rig in [&mut old, &mut new] {
            rig.advance(Duration::from_secs(5));
            rig.step(DirectEvent::Tick);
        }
    }
    assert!(new.submit(1).actions().iter().any(|a| matches!(a, DirectAction::Call { .. })));
}

#[test]
fn a_request_that_crashes_again_is_kept_in_the_store_until_it_is_forgotten() {
    let mut rig = DirectRig::new(RetryPolicy::Never);
    for name in ["a", "b"] {
        rig.list(name, TargetStage::Plain);
    }
    crashed(&mut rig, 1);
    let kept = |actions: Vec<DirectAction>| -> Vec<SuspectChange> {
        let changes = actions.into_iter().filter_map(|action| match action {
            DirectAction::PersistSuspect(change) => Some(change),
            _ => None,
        });
        changes.collect()
    };
    assert_eq!(kept(rig.step(DirectEvent::Tick)), [], "one crash may be the target's own");
    crashed(&mut rig, 2);
    let seen = kept(rig.step(DirectEvent::Tick));
    assert!(matches!(&seen[..], [SuspectChange::Crashed(report)] if report.seen.len() == 2));
    rig.advance(Duration::from_secs(61));
    let forgotten = kept(rig.step(DirectEvent::Tick));
    assert!(matches!(&forgotten[..], [SuspectChange::Expired(_)]), "{forgotten:?}");
}
