//! Which prompt segments are blocked because engines crash under requests with them.

mod support;

use std::time::Duration;

use rand::{RngExt, SeedableRng, rngs::SmallRng};
use sapphirewell::direct::{
    CallOutcome, CrashSuspect, DirectAction, DirectEvent, DirectTarget, FailureReason,
    PromptSegment, PromptShape, RetryPolicy, SuspectChange, SuspectReport, TargetChange,
    TargetStage,
};
use support::direct::DirectRig;
use yare::parameterized;

const MS: Duration = Duration::from_millis(1);
/// Time within which an entry acts on a crash that it has seen.
const TICK: Duration = Duration::from_millis(40);
/// Time from the sending of a request to the crash under it.
const RUN_TIME: Duration = Duration::from_millis(80);
/// Crashes after which the rule counts requests that still reach engines.
const ALLOWED_CRASHES: usize = 5;
/// Requests that may still reach engines after that, by the same rule.
const ALLOWED_AFTERWARDS: usize = 3;

const SOUND: [u64; 3] = [0xa1, 0xa2, 0xa3];
const CRASHING: u64 = 0xbad;

/// Entries with reports between them, and engines that crash and start again.
struct Fleet {
    entries: Vec<DirectRig>,
    engines: Vec<DirectTarget>,
    flows: u64,
    /// Crashes of engines under a crashing segment.
    crashes: usize,
}

/// Request that an entry has sent.
struct Sent {
    entry: usize,
    flow: u64,
    call: u32,
    engine: usize,
    /// Whether its stream would end between two events if its engine crashed.
    between_events: bool,
}

impl Fleet {
    fn new(entries: usize, engines: usize) -> Fleet {
        let mut rigs: Vec<DirectRig> = (0..entries)
            .map(|number| DirectRig::named(RetryPolicy::Never, number as u64 + 1))
            .collect();
        let name = |number: usize| format!("engine-{number}");
        let engines: Vec<DirectTarget> =
            (0..engines).map(|n| rigs[0].target(&name(n), TargetStage::Decode)).collect();
        let mut fleet = Fleet { entries: rigs, engines, flows: 0, crashes: 0 };
        (0..fleet.engines.len()).for_each(|engine| fleet.list(engine));
        fleet
    }

    fn list(&mut self, engine: usize) {
        for entry in &mut self.entries {
            entry.step(DirectEvent::Target(TargetChange::Listed(self.engines[engine].clone())));
        }
    }

    fn advance(&mut self, time: Duration) {
        for entry in &mut self.entries {
            entry.advance(time);
            entry.step(DirectEvent::Tick);
        }
    }

    /// Sends each entry's report to the others.
    fn exchange(&mut self) {
        for from in 0..self.entries.len() {
            let report = self.entries[from].suspect_report();
            for to in (0..self.entries.len()).filter(|to| *to != from) {
                self.entries[to].step(DirectEvent::Suspects(report.clone()));
            }
        }
    }

    /// Sends a request with shared segments and one of its own; `None` if it is rejected.
    fn send(&mut self, entry: usize, shared: &[u64]) -> Result<Sent, FailureReason> {
        self.flows += 1;
        let flow = self.flows;
        let own = PromptSegment { id: 1_000_000 + flow, tokens: 100 };
        let shared = shared.iter().map(|id| PromptSegment { id: *id, tokens: 100 });
        let segments = shared.chain([own]).collect();
        let prompt = PromptShape { tokens: 400, max_output: 40, segments };
        let actions = self.entries[entry].submit_shape(flow, prompt).actions();
        for action in &actions {
            match action {
                DirectAction::Call { call, target, .. } => {
                    let engine = self.engines.iter().position(|e| e.id == target.id).unwrap();
                    return Ok(Sent { entry, flow, call: *call, engine, between_events: false });
                }
                DirectAction::Fail { failure, .. } => {
                    self.entries[entry].step(DirectEvent::FlowEnded { flow, complete: false });
                    return Err(failure.reason);
                }
                _ => {}
            }
        }
        panic!("neither sent nor rejected: {actions:?}");
    }

    fn begin(&mut self, sent: &Sent, unframed: bool) {
        let (flow, call) = (sent.flow, sent.call);
        let rig = &mut self.entries[sent.entry];
        rig.end(flow, call, CallOutcome::Answered { success: true });
        if unframed {
            rig.step(DirectEvent::UnframedAnswer { flow });
        }
    }

    fn end(&mut self, sent: &Sent, end: StreamEnd) {
        let flow = sent.flow;
        let rig = &mut self.entries[sent.entry];
        if !matches!(end, StreamEnd::Whole | StreamEnd::CrashedBetweenEvents) {
            let actions = rig.step(DirectEvent::AnswerInterrupted { flow });
            rig.answer_probes(actions, end == StreamEnd::Crashed);
        }
        let complete = matches!(end, StreamEnd::Whole | StreamEnd::CrashedBetweenEvents);
        rig.step(DirectEvent::FlowEnded { flow, complete });
    }

    /// Crashes an engine with the requests that it runs, and starts it again.
    fn crash(&mut self, engine: usize, running: Vec<Sent>) {
        for sent in running {
            let between = sent.between_events;
            let end = if between { StreamEnd::CrashedBetweenEvents } else { StreamEnd::Crashed };
            self.end(&sent, end);
        }
        self.engines[engine].born_ms += 1;
        self.engines[engine].sequence += 1;
        self.list(engine);
    }
}

/// How a stream ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum StreamEnd {
    Whole,
    /// Its connection broke while its engine lived on.
    Broken,
    /// Its engine crashed.
    Crashed,
    /// Its engine crashed between two events, so that a stream without framing looks whole.
    CrashedBetweenEvents,
}

/// Plays random traffic in steps in which an engine crashes if it runs a crashing request.
struct Traffic {
    /// Shared segments of requests that crash engines.
    crashing: Vec<Vec<u64>>,
    /// Shared segments of sound requests.
    sound: Vec<Vec<u64>>,
    /// Whether a random engine crashes by itself in each fifth step.
    own_crashes: bool,
    unframed: bool,
    steps: usize,
}

#[derive(Debug, Default)]
struct Outcome {
    /// Crashing requests sent later than a report after the fifth crash.
    sent_after: usize,
    /// Sound requests that were rejected as crashing, and all of them, after that.
    sound_rejected: usize,
    sound_sent: usize,
}

fn play(fleet: &mut Fleet, traffic: &Traffic, seed: u64) -> Outcome {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut outcome = Outcome::default();
    for step in 0..traffic.steps {
        let mut running: Vec<Vec<Sent>> = fleet.engines.iter().map(|_| Vec::new()).collect();
        let mut doomed = vec![false; fleet.engines.len()];
        let is_settled = fleet.crashes >= ALLOWED_CRASHES;
        for _ in 0..12 {
            let entry = rng.random_range(0..fleet.entries.len());
            let shared = &traffic.sound[rng.random_range(0..traffic.sound.len())];
            match fleet.send(entry, shared) {
                Ok(sent) => running[sent.engine].push(sent),
                Err(reason) if is_settled => {
                    outcome.sound_rejected += usize::from(reason == FailureReason::CrashesTargets);
                }
                Err(_) => {}
            }
            outcome.sound_sent += usize::from(is_settled);
        }
        if !traffic.crashing.is_empty() {
            let entry = rng.random_range(0..fleet.entries.len());
            let shared = &traffic.crashing[rng.random_range(0..traffic.crashing.len())];
            if let Ok(mut sent) = fleet.send(entry, shared) {
                sent.between_events = traffic.unframed;
                doomed[sent.engine] = true;
                running[sent.engine].push(sent);
                outcome.sent_after += usize::from(is_settled);
            }
        }
        let is_own_crash = traffic.own_crashes && step % 5 == 4;
        let own = is_own_crash.then(|| rng.random_range(0..fleet.engines.len()));
        fleet.advance(RUN_TIME / 2);
        running.iter().flatten().for_each(|sent| fleet.begin(sent, traffic.unframed));
        fleet.advance(RUN_TIME / 2);
        for (engine, running) in running.into_iter().enumerate() {
            if doomed[engine] || own == Some(engine) {
                fleet.crashes += usize::from(doomed[engine]);
                fleet.crash(engine, running);
            } else {
                running.iter().for_each(|sent| fleet.end(sent, StreamEnd::Whole));
            }
        }
        fleet.exchange();
    }
    outcome
}

fn sound_mix() -> Vec<Vec<u64>> {
    let mut mix = vec![SOUND.to_vec(), vec![SOUND[0], SOUND[2]], vec![SOUND[0], SOUND[1]]];
    mix.extend((0..20).map(|rare| vec![SOUND[0], 0xc0 + rare]));
    mix
}

fn traffic(crashing: &[&[u64]]) -> Traffic {
    Traffic {
        crashing: crashing.iter().map(|segments| segments.to_vec()).collect(),
        sound: sound_mix(),
        own_crashes: false,
        unframed: false,
        steps: 60,
    }
}

#[parameterized(
    first = { traffic(&[&[CRASHING, SOUND[0], SOUND[2]]]) },
    middle = { traffic(&[&[SOUND[0], CRASHING, SOUND[2]]]) },
    last_shared = { traffic(&[&[SOUND[0], SOUND[2], CRASHING]]) },
    several_places = { traffic(&[&[CRASHING, SOUND[0]], &[SOUND[0], CRASHING], &[SOUND[0], SOUND[1], CRASHING]]) },
    two_segments = { traffic(&[&[SOUND[0], CRASHING], &[SOUND[0], 0xdead]]) },
    engines_crash_by_themselves = { Traffic { own_crashes: true, ..traffic(&[&[SOUND[0], CRASHING]]) } },
    unframed_responses = { Traffic { unframed: true, ..traffic(&[&[SOUND[0], CRASHING]]) } },
    only_one_kind_of_sound_request = { Traffic { sound: vec![vec![SOUND[0], SOUND[1]]], ..traffic(&[&[SOUND[0], CRASHING, SOUND[1]]]) } },
)]
fn crashing_segments_are_blocked_and_sound_ones_are_not(traffic: Traffic) {
    for seed in 0..20 {
        let mut fleet = Fleet::new(3, 6);
        let quiet = Traffic { crashing: Vec::new(), steps: 5, ..clone(&traffic) };
        play(&mut fleet, &quiet, seed);
        let outcome = play(&mut fleet, &traffic, seed);
        // Two crashing segments need five crashes each.
        let kinds = if traffic.crashing.iter().any(|s| s.contains(&0xdead)) { 2 } else { 1 };
        assert!(fleet.crashes >= 3, "seed {seed}: {} crashes", fleet.crashes);
        // A crash under one request alone, between its events, leaves no trace at any entry.
        let unseen = if traffic.unframed { ALLOWED_AFTERWARDS } else { 0 };
        let allowed = (kinds - 1) * ALLOWED_CRASHES + unseen;
        assert!(outcome.sent_after <= allowed, "seed {seed}: {outcome:?}");
        assert_eq!(outcome.sound_rejected, 0, "seed {seed}: {outcome:?}");
    }
}

fn clone(traffic: &Traffic) -> Traffic {
    Traffic { crashing: traffic.crashing.clone(), sound: traffic.sound.clone(), ..*traffic }
}

#[parameterized(
    framed = { false },
    unframed = { true },
)]
fn engines_that_crash_by_themselves_block_nothing(unframed: bool) {
    let traffic = Traffic { own_crashes: true, unframed, steps: 200, ..traffic(&[]) };
    for seed in 0..10 {
        let mut fleet = Fleet::new(3, 6);
        play(&mut fleet, &traffic, seed);
        let blocked =
            fleet.entries.iter().map(|entry| entry.machine.blocked_suspects(entry.now()).count());
        assert_eq!(blocked.sum::<usize>(), 0, "seed {seed}");
    }
}

/// All engines lose power at once, several times, under one popular segment.
#[test]
fn engines_that_crash_together_block_nothing() {
    let mut fleet = Fleet::new(1, 8);
    for _ in 0..3 {
        let sent: Vec<Sent> =
            (0..32).filter_map(|_| fleet.send(0, &[SOUND[0], SOUND[1]]).ok()).collect();
        fleet.advance(RUN_TIME);
        let mut running: Vec<Vec<Sent>> = fleet.engines.iter().map(|_| Vec::new()).collect();
        for sent in sent {
            fleet.begin(&sent, false);
            running[sent.engine].push(sent);
        }
        running.into_iter().enumerate().for_each(|(engine, sent)| fleet.crash(engine, sent));
        fleet.advance(MS * 500);
        let sent = fleet.send(0, &[SOUND[0], SOUND[1]]).unwrap();
        fleet.begin(&sent, false);
        fleet.end(&sent, StreamEnd::Whole);
    }
    assert_eq!(fleet.entries[0].machine.blocked_suspects(fleet.entries[0].now()).count(), 0);
}

/// Connections of one entry break again and again, while the engines live on.
#[test]
fn broken_connections_to_engines_that_live_on_block_nothing() {
    let mut fleet = Fleet::new(3, 4);
    for round in 0..12 {
        let sent = fleet.send(0, &[SOUND[0]]).unwrap();
        fleet.begin(&sent, false);
        fleet.advance(RUN_TIME);
        fleet.end(&sent, StreamEnd::Broken);
        fleet.advance(MS * 10);
        // The other entries have requests with other prompts at all engines.
        let others: Vec<Sent> =
            (0..16).filter_map(|other| fleet.send(1 + other % 2, &[0xe0]).ok()).collect();
        fleet.advance(MS * 10);
        for sent in &others {
            fleet.begin(sent, false);
            fleet.end(sent, StreamEnd::Whole);
        }
        fleet.exchange();
        let blocked =
            fleet.entries.iter().map(|entry| entry.machine.blocked_suspects(entry.now()).count());
        assert_eq!(blocked.sum::<usize>(), 0, "round {round}");
    }
}

fn block(fleet: &mut Fleet) -> Vec<DirectAction> {
    play(fleet, &traffic(&[&[SOUND[0], CRASHING]]), 1);
    let actions = fleet.entries.iter_mut().flat_map(|entry| entry.step(DirectEvent::Tick));
    actions.collect()
}

#[test]
fn an_entry_that_starts_later_learns_the_blocked_segments() {
    let mut fleet = Fleet::new(3, 6);
    block(&mut fleet);
    let report = fleet.entries[0].suspect_report();
    let mut late = Fleet::new(1, 6);
    late.entries[0].step(DirectEvent::Suspects(report));
    assert_eq!(late.send(0, &[SOUND[0], CRASHING]).err(), Some(FailureReason::CrashesTargets));
    assert!(late.send(0, &[SOUND[0]]).is_ok());
}

#[test]
fn the_store_learns_the_blocked_segments() {
    let mut fleet = Fleet::new(3, 6);
    let mut stored = Vec::new();
    let traffic = traffic(&[&[SOUND[0], CRASHING]]);
    for seed in 0..10 {
        play(&mut fleet, &Traffic { steps: 1, ..clone(&traffic) }, seed);
        for entry in &mut fleet.entries {
            stored.extend(entry.changes());
        }
    }
    let is_blocked = |change: &SuspectChange| match change {
        SuspectChange::Blocked(block) => block.suspect == CrashSuspect::Segment(CRASHING),
        SuspectChange::Cleared(_) => false,
    };
    assert!(stored.iter().any(is_blocked), "{stored:?}");
    assert!(stored.iter().all(is_blocked), "{stored:?}");
}

#[test]
fn a_blocked_segment_of_a_request_that_ends_whole_is_cleared_everywhere() {
    let mut fleet = Fleet::new(3, 6);
    let in_flight = fleet.send(2, &[SOUND[0], CRASHING]).unwrap();
    block(&mut fleet);
    assert!(fleet.send(1, &[SOUND[0], CRASHING]).is_err());
    fleet.begin(&in_flight, false);
    fleet.end(&in_flight, StreamEnd::Whole);
    fleet.exchange();
    assert!(fleet.send(1, &[SOUND[0], CRASHING]).is_ok());
}

#[test]
fn a_report_without_content_is_empty() {
    let mut fleet = Fleet::new(1, 1);
    assert!(fleet.entries[0].suspect_report().is_empty());
    fleet.entries[0].step(DirectEvent::Suspects(SuspectReport::default()));
    assert!(fleet.entries[0].suspect_report().is_empty());
}

/// After its time is over, one crash blocks a segment again, for longer.
#[test]
fn the_first_crash_afterwards_blocks_a_segment_again() {
    let mut fleet = Fleet::new(1, 6);
    block(&mut fleet);
    fleet.advance(Duration::from_secs(700));
    let sent = fleet.send(0, &[SOUND[0], CRASHING]).unwrap();
    fleet.begin(&sent, false);
    fleet.advance(RUN_TIME);
    fleet.end(&sent, StreamEnd::Crashed);
    fleet.advance(TICK);
    assert!(fleet.send(0, &[SOUND[0], CRASHING]).is_err());
    fleet.advance(Duration::from_secs(1100));
    assert!(fleet.send(0, &[SOUND[0], CRASHING]).is_err());
    assert!(fleet.send(0, &[SOUND[0]]).is_ok());
}

/// A segment that all requests share is not blamed for the crashes of two others, although no
/// request ends whole between them.
#[test]
fn a_segment_that_was_fine_before_is_not_blamed_for_others() {
    let mut fleet = Fleet::new(1, 8);
    let sent = fleet.send(0, &[SOUND[0], SOUND[1]]).unwrap();
    fleet.begin(&sent, false);
    fleet.end(&sent, StreamEnd::Whole);
    for round in 0..8 {
        let cause = if round % 2 == 0 { CRASHING } else { 0xdead };
        let Ok(sent) = fleet.send(0, &[SOUND[0], cause]) else { continue };
        fleet.begin(&sent, false);
        fleet.advance(RUN_TIME);
        let engine = sent.engine;
        fleet.crash(engine, vec![sent]);
        fleet.advance(TICK);
    }
    assert!(fleet.send(0, &[SOUND[0], SOUND[1]]).is_ok());
    assert!(fleet.send(0, &[SOUND[0], CRASHING]).is_err());
}

/// All connections of an entry break again and again, and it has nothing else to send.
#[test]
fn engines_that_take_connections_did_not_crash() {
    let mut fleet = Fleet::new(1, 8);
    for _ in 0..12 {
        let sent = fleet.send(0, &[SOUND[0], SOUND[1]]).unwrap();
        fleet.begin(&sent, false);
        fleet.advance(RUN_TIME);
        fleet.end(&sent, StreamEnd::Broken);
        fleet.advance(TICK);
    }
    assert_eq!(fleet.entries[0].machine.blocked_suspects(fleet.entries[0].now()).count(), 0);
}

/// Reports that take their time renew no block, at whichever entry.
#[test]
fn a_block_ends_although_entries_report_it_to_each_other() {
    let mut fleet = Fleet::new(3, 6);
    block(&mut fleet);
    for _ in 0..7000 {
        let reports: Vec<SuspectReport> =
            fleet.entries.iter_mut().map(DirectRig::suspect_report).collect();
        fleet.advance(MS * 100);
        for (from, report) in reports.iter().enumerate() {
            for to in (0..3).filter(|to| *to != from) {
                fleet.entries[to].step(DirectEvent::Suspects(report.clone()));
            }
        }
    }
    assert!(fleet.send(0, &[SOUND[0], CRASHING]).is_ok());
}

/// One of two connections to a target breaks, and the target crashes later under the other.
#[test]
fn a_crash_counts_at_a_target_whose_connection_broke_before() {
    let mut fleet = Fleet::new(1, 1);
    for _ in 0..ALLOWED_CRASHES {
        let sent: Vec<Sent> =
            (0..2).filter_map(|_| fleet.send(0, &[SOUND[0], CRASHING]).ok()).collect();
        sent.iter().for_each(|sent| fleet.begin(sent, false));
        fleet.advance(RUN_TIME);
        let mut running = sent.into_iter();
        let Some(broken) = running.next() else { return };
        fleet.end(&broken, StreamEnd::Broken);
        fleet.advance(TICK);
        fleet.crash(0, running.collect());
        fleet.advance(TICK);
    }
    assert!(fleet.send(0, &[SOUND[0], CRASHING]).is_err(), "not blocked");
}
