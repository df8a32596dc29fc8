//! A target that crashed may come back under its own name with another software version before
//! its new registration is read.

mod support;

use std::time::Duration;

use sapphirewell::direct::{
    CallOutcome, DirectAction, DirectEvent, DirectTarget, RetryPolicy, StreamMessage, StreamOrigin,
    SuspectReport, TargetChange, TargetCrash, TargetStage,
};
use support::direct::{DirectRig, SERVICE};
use yare::parameterized;

const CRASHED: &str = "crashed";
const OTHER: &str = "other";

/// How the entry gets to know that the target may have ended.
#[derive(Debug, Clone, Copy)]
enum Sign {
    BrokenConnection,
    RefusedConnection,
    PeersReport,
    /// The connection broke, but the target takes new ones.
    BrokenConnectionToLiveTarget,
    /// The peer repeats its report until after the registrations.
    RepeatedReport,
    /// The target refused a request that may run at any version.
    None,
}

/// Registrations of the target that are read after the sign.
#[derive(Debug, Clone, Copy)]
enum Registration {
    None,
    RenewedOnce,
    RenewedTwiceInOneRead,
    RenewedInTwoReads,
    NewStart,
}

#[derive(Debug, Clone, Copy)]
struct DoubtCase {
    sign: Sign,
    registration: Registration,
    is_used: bool,
}

struct Fleet {
    rig: DirectRig,
    crashed: DirectTarget,
}

impl Fleet {
    /// Lists two engines, the other one of which is too busy to be chosen first.
    fn new(retry: RetryPolicy) -> Fleet {
        let mut rig = DirectRig::new(retry);
        let crashed = rig.target(CRASHED, TargetStage::Decode);
        rig.step(DirectEvent::Target(TargetChange::Listed(crashed.clone())));
        rig.list(OTHER, TargetStage::Decode);
        rig.add_load(OTHER, 12_000);
        Fleet { rig, crashed }
    }

    fn show(&mut self, sign: Sign) {
        match sign {
            Sign::BrokenConnection | Sign::BrokenConnectionToLiveTarget => {
                let gone = matches!(sign, Sign::BrokenConnection);
                let call = self.rig.submit_tokens(1, 100, Duration::from_secs(5), None).call();
                assert_eq!(&*call.target, CRASHED);
                let lost = CallOutcome::Lost { closed: true };
                let actions = self.rig.end(1, call.number, lost);
                self.rig.answer_probes(actions, gone);
            }
            Sign::RefusedConnection => {
                let call = self.rig.submit_tokens(1, 100, Duration::from_secs(5), None).call();
                assert_eq!(&*call.target, CRASHED);
                let actions = self.rig.end(1, call.number, CallOutcome::Unreachable);
                self.rig.answer_probes(actions, true);
            }
            Sign::PeersReport | Sign::RepeatedReport => self.report(Duration::from_millis(50)),
            Sign::None => {}
        }
        // The pause after a failed call would keep requests away by itself.
        self.rig.advance(Duration::from_millis(400));
    }

    fn report(&mut self, age: Duration) {
        let start = (self.crashed.id.clone(), self.crashed.born_ms);
        let crash = TargetCrash { start, age, runs: Vec::new(), requests: Vec::new() };
        let report = SuspectReport { crashes: vec![crash], ..SuspectReport::default() };
        self.rig.step(DirectEvent::Suspects(report));
    }

    fn register(&mut self, registration: Registration) {
        let (born, renewals, time): (u64, u64, _) = match registration {
            Registration::None => return,
            Registration::RenewedOnce => (1, 1, Duration::ZERO),
            Registration::RenewedTwiceInOneRead => (1, 2, Duration::ZERO),
            Registration::RenewedInTwoReads => (1, 2, Duration::from_millis(700)),
            Registration::NewStart => (2, 1, Duration::ZERO),
        };
        for number in 1..=renewals {
            let sequence = self.crashed.sequence + number;
            let target = DirectTarget { born_ms: born, sequence, ..self.crashed.clone() };
            self.rig.step(DirectEvent::Target(TargetChange::Listed(target)));
            self.rig.advance(time);
        }
    }

    fn next_target(&mut self, stream: Option<&str>) -> Option<String> {
        let left = Duration::from_secs(5);
        let actions = self.rig.submit_tokens(2, 100, left, stream).actions();
        actions.into_iter().find_map(|action| match action {
            DirectAction::Call { target, .. } => Some(target.id.to_string()),
            _ => None,
        })
    }
}

fn began() -> DirectEvent {
    let origin = StreamOrigin {
        stream: "first".into(),
        service: SERVICE.into(),
        version: "v1".into(),
        time_left: Duration::from_secs(8),
    };
    DirectEvent::StreamMessage { peer: "peer".into(), message: StreamMessage::Began(origin) }
}

#[parameterized(
    broken = { DoubtCase { sign: Sign::BrokenConnection, registration: Registration::None, is_used: false } },
    refused = { DoubtCase { sign: Sign::RefusedConnection, registration: Registration::None, is_used: false } },
    reported = { DoubtCase { sign: Sign::PeersReport, registration: Registration::None, is_used: false } },
    renewed_once = { DoubtCase { sign: Sign::PeersReport, registration: Registration::RenewedOnce, is_used: false } },
    renewed_in_one_read = { DoubtCase { sign: Sign::PeersReport, registration: Registration::RenewedTwiceInOneRead, is_used: false } },
    renewed_in_two_reads = { DoubtCase { sign: Sign::PeersReport, registration: Registration::RenewedInTwoReads, is_used: true } },
    repeated_report = { DoubtCase { sign: Sign::RepeatedReport, registration: Registration::RenewedInTwoReads, is_used: true } },
    repeated_before_two_reads = { DoubtCase { sign: Sign::RepeatedReport, registration: Registration::RenewedOnce, is_used: false } },
    started_again = { DoubtCase { sign: Sign::BrokenConnection, registration: Registration::NewStart, is_used: true } },
    lives_on = { DoubtCase { sign: Sign::BrokenConnectionToLiveTarget, registration: Registration::None, is_used: true } },
    no_sign = { DoubtCase { sign: Sign::None, registration: Registration::None, is_used: true } },
)]
fn streams_avoid_a_target_until_its_start_is_known(case: DoubtCase) {
    let expected = if case.is_used { CRASHED } else { OTHER };
    for stream in [None, Some("first")] {
        let mut fleet = Fleet::new(RetryPolicy::Resume);
        fleet.rig.step(began());
        fleet.show(case.sign);
        let shown = fleet.rig.now();
        fleet.register(case.registration);
        if matches!(case.sign, Sign::RepeatedReport) {
            // The report was 50 ms old 400 ms before.
            fleet.report(fleet.rig.now() - shown + Duration::from_millis(450));
        }
        assert_eq!(fleet.next_target(stream).as_deref(), Some(expected), "{stream:?}");
    }
}

/// Requests whose response does not go on elsewhere do not depend on the version.
#[test]
fn other_requests_do_not_avoid_it() {
    let mut fleet = Fleet::new(RetryPolicy::Always);
    fleet.show(Sign::PeersReport);
    assert_eq!(fleet.next_target(None).as_deref(), Some(CRASHED));
}

/// Without a target that is known to run, a new stream is better served than refused; one that
/// goes on might mix two versions.
#[parameterized(
    begins = { None, true },
    goes_on = { Some("first"), false },
)]
fn where_no_start_is_known_streams_begin_but_do_not_go_on(stream: Option<&str>, is_placed: bool) {
    let mut rig = DirectRig::new(RetryPolicy::Resume);
    let crashed = rig.target(CRASHED, TargetStage::Decode);
    rig.step(DirectEvent::Target(TargetChange::Listed(crashed.clone())));
    let mut fleet = Fleet { rig, crashed };
    fleet.rig.step(began());
    fleet.show(Sign::PeersReport);
    assert_eq!(fleet.next_target(stream).is_some(), is_placed);
}
