//! What entries expect of engines at which urgent short prompts and long ones wait.

mod support;

use std::time::Duration;

use rand::{RngExt, SeedableRng, rngs::SmallRng};
use sapphirewell::direct::{
    CallOutcome, DirectAction, DirectEvent, FailureReason, InFlight, PrefillBacklog, RetryPolicy,
    TargetStage, TargetUsage,
};
use support::direct::DirectRig;
use yare::parameterized;

/// Priorities of the load: short prompts, long ones, and long ones that were late on arrival.
const SHORT: u8 = 0;
const LONG: u8 = 2;
const LATE: u8 = 7;
/// Prompt tokens that the engine of the replay prefills in a millisecond.
const TOKENS_PER_MS: f64 = 30.0;

fn backlog(prompts: &[(u8, u32)]) -> PrefillBacklog {
    let mut backlog = PrefillBacklog::default();
    prompts.iter().for_each(|(priority, tokens)| backlog.add(*priority, *tokens));
    backlog
}

#[parameterized(
    idle = { &[], SHORT, 0 },
    its_own_priority = { &[(SHORT, 1000), (SHORT, 500)], SHORT, 1500 },
    more_urgent_ones = { &[(SHORT, 1000), (LONG, 4000)], LONG, 5000 },
    a_late_one_in_prefill = { &[(LATE, 12_000)], SHORT, 12_000 },
    one_of_several_late_ones = { &[(LATE, 12_000), (LATE, 4000)], SHORT, 8000 },
    perhaps_a_long_one = { &[(SHORT, 4000), (LONG, 4000)], SHORT, 4000 + 2000 },
    an_unknown_priority = { &[(LATE, 100)], 200, 100 },
)]
fn prompts_ahead_count_by_priority(prompts: &[(u8, u32)], priority: u8, ahead: u32) {
    assert_eq!(backlog(prompts).tokens_ahead(priority), ahead);
}

#[test]
fn a_removed_prompt_no_longer_counts() {
    let mut backlog = backlog(&[(SHORT, 1000), (LATE, 12_000)]);
    assert_eq!(backlog.prompts_behind(SHORT), 1);
    backlog.remove(LATE, 12_000);
    assert_eq!((backlog.tokens_ahead(SHORT), backlog.prompts_behind(SHORT)), (1000, 0));
    backlog.remove(SHORT, 1000);
    assert_eq!(backlog, PrefillBacklog::default());
}

/// Prompt that waits for an engine; times are in milliseconds.
struct WaitingPrompt {
    priority: u8,
    tokens: u32,
    arrived: f64,
    expected_wait: f64,
}

/// Engine that prefills the most urgent prompt first, and ends each that it has begun.
#[derive(Default)]
struct ReplayedEngine {
    free_at: f64,
    in_prefill: Option<(u8, u32)>,
    waiting: Vec<WaitingPrompt>,
    backlog: PrefillBacklog,
    /// By how much each short prompt waited longer than expected.
    errors: Vec<f64>,
}

impl ReplayedEngine {
    fn submit(&mut self, now: f64, priority: u8, tokens: u32) {
        self.run_until(now);
        let expected_wait = f64::from(self.backlog.tokens_ahead(priority)) / TOKENS_PER_MS;
        self.waiting.push(WaitingPrompt { priority, tokens, arrived: now, expected_wait });
        self.backlog.add(priority, tokens);
        self.run_until(now);
    }

    fn run_until(&mut self, now: f64) {
        while self.free_at <= now {
            if let Some((priority, tokens)) = self.in_prefill.take() {
                self.backlog.remove(priority, tokens);
            }
            let waiting = self.waiting.iter().enumerate();
            let next = waiting.min_by_key(|(_, prompt)| prompt.priority).map(|(index, _)| index);
            let Some(next) = next else { return };
            let prompt = self.waiting.remove(next);
            let started = self.free_at.max(prompt.arrived);
            if prompt.priority == SHORT {
                self.errors.push(started - prompt.arrived - prompt.expected_wait);
            }
            self.in_prefill = Some((prompt.priority, prompt.tokens));
            self.free_at = started + f64::from(prompt.tokens) / TOKENS_PER_MS;
        }
    }
}

/// Three of four prompts are short, and the engine is busy for two thirds of the time.
#[parameterized(
    beside_long_ones = { LONG },
    beside_late_ones = { LATE },
)]
fn short_prompts_wait_as_expected(long: u8) {
    for seed in 0..5 {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut engine = ReplayedEngine::default();
        let mut now = 0.0;
        for _ in 0..4000 {
            now -= 140.0 * (1.0 - rng.random::<f64>()).ln();
            let is_short = rng.random::<f64>() < 0.75;
            let (priority, tokens) = if is_short {
                (SHORT, rng.random_range(500_u32..2000))
            } else {
                (long, rng.random_range(4000..12_000))
            };
            engine.submit(now, priority, tokens);
        }
        engine.errors.sort_by(f64::total_cmp);
        let p90 = engine.errors[engine.errors.len() * 9 / 10];
        assert!(p90 < 100.0, "one in ten waited {p90} ms longer than expected, seed {seed}");
    }
}

fn usage(target: &str, prompts: &[(u8, u32)]) -> TargetUsage {
    let in_flight = InFlight { backlog: backlog(prompts), ..InFlight::default() };
    TargetUsage { target: target.into(), in_flight, ..TargetUsage::default() }
}

/// The wait at the first engine is shorter, but four prompts there would be delayed.
#[test]
fn an_urgent_prompt_goes_where_it_delays_few_others() {
    let mut rig = DirectRig::new(RetryPolicy::Never);
    rig.list("many-behind", TargetStage::Decode);
    rig.list("one-ahead", TargetStage::Decode);
    let many = [(LONG, 900), (LONG, 900), (LONG, 900), (LONG, 900)];
    rig.hear_of("peer", vec![usage("many-behind", &many), usage("one-ahead", &[(1, 1800)])]);
    assert_eq!(
        &*rig.submit_tokens(1, 900, Duration::from_secs(5), None).call().target,
        "one-ahead"
    );
}

/// Where a request that the rig sends ends up.
#[derive(Debug, PartialEq)]
enum Admission {
    /// At an engine, among those that can be in time.
    InTime,
    /// At an engine, behind all that can be in time.
    Late,
    Refused,
}

fn admission(rig: &mut DirectRig, tokens: u32) -> Admission {
    admission_among(&rig.submit_tokens(1, tokens, Duration::from_secs(5), None).actions())
}

fn admission_among(actions: &[DirectAction]) -> Admission {
    let admission = actions.iter().find_map(|action| match action {
        DirectAction::Call { priority, .. } if *priority < 5 => Some(Admission::InTime),
        DirectAction::Call { .. } => Some(Admission::Late),
        DirectAction::Fail { failure, .. }
            if failure.reason == FailureReason::CannotMeetDeadline && failure.not_run =>
        {
            Some(Admission::Refused)
        }
        _ => None,
    });
    admission.unwrap_or_else(|| panic!("no admission among {actions:?}"))
}

/// Prompts of the rig need 0.05 to 0.45 s of an objective of 0.5 s; `ahead` wait before them. Their
/// callers abandon a stream after 2 s without an event.
#[parameterized(
    short = { 1500, 12_000, Admission::InTime },
    short_behind_a_long_queue = { 1500, 20_000, Admission::Late },
    short_behind_a_queue_beyond_patience = { 1500, 40_000, Admission::Refused },
    large = { 12_000, 12_000, Admission::InTime },
    large_behind_a_long_queue = { 12_000, 20_000, Admission::Late },
    large_behind_a_queue_beyond_patience = { 12_000, 40_000, Admission::Refused },
)]
fn large_prompts_may_queue_like_short_ones(tokens: u32, ahead: u32, admitted: Admission) {
    let mut rig = DirectRig::new(RetryPolicy::Never);
    rig.list("engine", TargetStage::Decode);
    rig.add_load("engine", ahead);
    assert_eq!(admission(&mut rig, tokens), admitted);
}

/// A late request that an engine declined is placed again, behind 0.5 s of other work. Its caller
/// abandons a stream after 2 s without an event.
#[parameterized(
    while_its_caller_waits = { 700, Admission::Late },
    after_most_of_what_its_caller_waits = { 1700, Admission::Refused },
)]
fn a_declined_late_request_is_placed_again(declined_after_ms: u64, admitted: Admission) {
    let mut rig = DirectRig::new(RetryPolicy::Never);
    rig.list("first", TargetStage::Decode);
    rig.add_load("first", 20_000);
    let call = rig.submit_tokens(1, 1500, Duration::from_secs(5), None).call();
    assert!(call.priority >= 5, "{call:?}");
    rig.list("second", TargetStage::Decode);
    rig.add_load("second", 15_000);
    rig.advance(Duration::from_millis(declined_after_ms));
    let outcome = CallOutcome::Declined;
    let actions = rig.step(DirectEvent::CallEnded { flow: 1, call: call.number, outcome });
    assert_eq!(admission_among(&actions), admitted);
}
