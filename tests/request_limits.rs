//! How entries divide the requests that a target takes a second.

mod support;

use std::time::Duration;

use hyper::header::{HeaderMap, HeaderValue};
use sapphirewell::{
    direct::{
        CallOutcome, DirectAction, DirectEvent, FailureReason, LimitStatement, LoadReport,
        RequestRate, RetryPolicy, TargetStage,
    },
    platform::runner,
};
use support::direct::DirectRig;
use yare::parameterized;

const STEP: Duration = Duration::from_millis(20);
const REPORT_STEPS: u32 = 5;

/// Entries with reports between them, before one target with a limit.
struct Fleet {
    entries: Vec<DirectRig>,
    flows: u64,
    steps: u32,
}

impl Fleet {
    fn new(entries: usize) -> Fleet {
        let named = |number| DirectRig::named(RetryPolicy::Never, number as u64 + 1);
        let mut fleet = Fleet { entries: (0..entries).map(named).collect(), flows: 0, steps: 0 };
        fleet.entries.iter_mut().for_each(|entry| entry.list("t", TargetStage::Plain));
        fleet
    }

    /// Sends a request, which the target answers at once with its limit.
    fn send(&mut self, entry: usize, limit: Option<RequestRate>) -> Result<(), FailureReason> {
        self.flows += 1;
        let flow = self.flows;
        let rig = &mut self.entries[entry];
        let actions = rig.submit(flow).actions();
        let sent = actions.iter().find_map(|action| match action {
            DirectAction::Call { call, .. } => Some(Ok(*call)),
            DirectAction::Fail { failure, .. } => Some(Err(*failure)),
            _ => None,
        });
        let result = sent.unwrap().map(|call| {
            let start = ("t".into(), 1);
            rig.step(DirectEvent::TargetResponded { start, limit, called: Duration::ZERO });
            rig.end(flow, call, CallOutcome::Answered { success: true });
        });
        rig.step(DirectEvent::FlowEnded { flow, complete: result.is_ok() });
        result.map_err(|failure| {
            assert!(failure.not_run && failure.retry_after > Duration::ZERO);
            failure.reason
        })
    }

    fn advance(&mut self, reports: bool) {
        self.steps += 1;
        for entry in &mut self.entries {
            entry.advance(STEP);
            entry.step(DirectEvent::Tick);
        }
        if !reports || !self.steps.is_multiple_of(REPORT_STEPS) {
            return;
        }
        for from in 0..self.entries.len() {
            let report = self.entries[from].report();
            for to in (0..self.entries.len()).filter(|to| *to != from) {
                self.entries[to].step(DirectEvent::PeerLoad(report.clone()));
            }
        }
    }

    /// Offers one request a step to entries for some seconds, and returns how many were sent a
    /// second. `pick` chooses the entry of a step.
    fn play(&mut self, seconds: u32, limit: RequestRate, pick: impl Fn(u32) -> usize) -> f32 {
        let mut sent = 0;
        for step in 0..seconds * 50 {
            sent += u32::from(self.send(pick(step), Some(limit)).is_ok());
            self.advance(true);
        }
        sent as f32 / seconds as f32
    }
}

#[parameterized(
    one_entry = { 1, 5.0, 1 },
    three_entries = { 3, 5.0, 3 },
    callers_at_one_of_five = { 5, 10.0, 1 },
    more_entries_than_the_limit = { 12, 2.0, 12 },
    below_one = { 3, 0.5, 3 },
)]
fn entries_use_most_of_a_limit_and_no_more(entries: usize, limit: RequestRate, busy: usize) {
    let mut fleet = Fleet::new(entries);
    fleet.play(4, limit, |step| step as usize % busy);
    let rate = fleet.play(20, limit, |step| step as usize % busy);
    // Each entry with a share may have saved one request up.
    let saved = (busy as f32).min(limit + 2.0) / 20.0;
    assert!(rate <= limit + saved, "{rate} of {limit}");
    assert!(rate >= 0.6 * limit, "{rate} of {limit}");
}

#[test]
fn a_limit_holds_while_callers_move_to_another_entry() {
    let mut fleet = Fleet::new(4);
    fleet.play(5, 8.0, |_| 0);
    let rate = fleet.play(4, 8.0, |_| 3);
    assert!((4.0..=12.0).contains(&rate), "{rate}");
}

#[test]
fn entries_that_hear_nothing_of_each_other_keep_to_their_parts() {
    let mut fleet = Fleet::new(4);
    let mut sent = 0;
    for step in 0..500 {
        sent += u32::from(fleet.send(step % 4, Some(8.0)).is_ok());
        fleet.advance(false);
    }
    // Each takes itself for the only one with callers; the users allow 1.5 times the limit to
    // those that are not cut off.
    assert!(sent <= 4 * 8 * 10, "{sent}");
}

#[test]
fn a_limit_ends_only_after_some_time_without_a_statement() {
    let mut fleet = Fleet::new(1);
    fleet.play(2, 2.0, |_| 0);
    for (seconds, is_limited) in [(1_u32, true), (6, false)] {
        for _ in 0..seconds * 50 {
            // Refusals are expected as long as the limit holds.
            fleet.send(0, None).ok();
            fleet.advance(true);
        }
        assert_eq!(fleet.entries[0].machine.limited_targets() == 1, is_limited);
    }
}

#[test]
fn a_later_start_of_a_target_has_no_limit_of_an_earlier_one() {
    let mut fleet = Fleet::new(2);
    fleet.send(0, Some(1.0)).unwrap();
    let statement = LimitStatement { target: "t".into(), born_ms: 0, limit: 3.0, age: STEP };
    let report = LoadReport { limits: vec![statement], ..fleet.entries[1].report() };
    fleet.entries[0].step(DirectEvent::PeerLoad(LoadReport { peer: "other".into(), ..report }));
    assert_eq!(fleet.entries[0].machine.target_limit(&"t".into()), Some(1.0));
}

#[test]
fn what_exceeds_a_limit_goes_to_another_target() {
    let mut fleet = Fleet::new(1);
    fleet.entries[0].list("other", TargetStage::Plain);
    let start = ("t".into(), 1);
    let called = Duration::ZERO;
    fleet.entries[0].step(DirectEvent::TargetResponded { start, limit: Some(1.0), called });
    for flow in 1..=50 {
        let call = fleet.entries[0].submit(flow).call();
        assert!(flow > 1 || &*call.target == "other");
        fleet.advance(true);
    }
}

#[parameterized(
    decimal = { "5.2", Some(5.2) },
    zero = { "0", Some(0.0) },
    spaces = { " 7 ", Some(7.0) },
    negative = { "-3", None },
    text = { "few", None },
    not_a_number = { "NaN", None },
    infinite = { "inf", None },
    too_large = { "1e300", None },
    empty = { "", None },
    two_numbers = { "3, 4", None },
)]
fn request_limits_are_decoded(text: &'static str, limit: Option<RequestRate>) {
    let mut headers = HeaderMap::new();
    headers.insert("server-limit", HeaderValue::from_static(text));
    assert_eq!(runner::request_limit(&headers), limit);
}
