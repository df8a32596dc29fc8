//! What an entry knows of its peers, and they of it, as the interval between reports grows with
//! their number.

mod support;

use std::time::Duration;

use sapphirewell::direct::{
    CallOutcome, DirectEvent, LeavingTarget, RetryPolicy, TargetStage, report_interval,
};
use support::direct::DirectRig;
use yare::parameterized;

/// Reports in which news must be, so that one or two may be lost.
const REPEATED: u64 = 3;

/// An entry and the reports of its peers, which are spread over the interval.
struct ReportedFleet {
    rig: DirectRig,
    peers: usize,
    rounds: u64,
}

impl ReportedFleet {
    fn new(peers: usize) -> ReportedFleet {
        let mut fleet = ReportedFleet { rig: DirectRig::new(RetryPolicy::Never), peers, rounds: 0 };
        fleet.run_rounds(4, |_, _| true);
        fleet
    }

    /// Lets the reports of some rounds arrive but those that are lost, by round and peer.
    fn run_rounds(&mut self, rounds: u64, arrives: impl Fn(u64, usize) -> bool) {
        let step = report_interval(self.peers) / self.peers as u32;
        for _ in 0..rounds {
            self.rounds += 1;
            for peer in (0..self.peers).filter(|peer| arrives(self.rounds, *peer)) {
                let mut report = self.rig.report();
                report.peer = format!("peer-{peer}").into();
                report.sequence = self.rounds;
                self.rig.step(DirectEvent::PeerLoad(report));
                self.rig.advance(step);
                self.rig.step(DirectEvent::Tick);
            }
            let lost = (0..self.peers).filter(|peer| !arrives(self.rounds, *peer)).count();
            self.rig.advance(step * lost as u32);
            self.rig.step(DirectEvent::Tick);
        }
    }
}

#[parameterized(few = { 3 }, as_on_large = { 70 }, hundreds = { 300 }, in_two_years = { 1300 })]
fn a_peer_counts_until_several_reports_are_missing(peers: usize) {
    let mut fleet = ReportedFleet::new(peers);
    assert_eq!(fleet.rig.machine.peer_count(), peers);
    // Each second report of one peer is lost.
    fleet.run_rounds(6, |round, peer| peer != 0 || round % 2 == 0);
    assert_eq!(fleet.rig.machine.peer_count(), peers);
    // A peer ends.
    let time = Duration::from_millis(1500).max(5 * report_interval(peers));
    let rounds = time.div_duration_f64(report_interval(peers)).ceil() as u64;
    fleet.run_rounds(rounds, |_, peer| peer != 0);
    assert_eq!(fleet.rig.machine.peer_count(), peers - 1);
}

#[parameterized(few = { 3 }, as_on_large = { 70 }, hundreds = { 300 }, in_two_years = { 1300 })]
fn news_is_in_several_reports(peers: usize) {
    let mut fleet = ReportedFleet::new(peers);
    fleet.rig.list("leaving", TargetStage::Plain);
    fleet
        .rig
        .step(DirectEvent::TargetLeaving(LeavingTarget { target: "leaving".into(), born_ms: 1 }));
    fleet.rig.list("crashing", TargetStage::Plain);
    let call = fleet.rig.submit(1).call();
    let actions = fleet.rig.end(1, call.number, CallOutcome::Lost { closed: true });
    fleet.rig.answer_probes(actions, true);
    for number in 1..=REPEATED {
        fleet.run_rounds(1, |_, _| true);
        assert_eq!(fleet.rig.suspect_report().crashes.len(), 1, "report {number}");
        assert_eq!(fleet.rig.report().leaving.len(), 1, "report {number}");
    }
}
