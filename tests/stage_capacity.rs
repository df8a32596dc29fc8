//! How many engines the planner leaves to the decode stage under loads whose mix swings.

mod support;

use std::time::Duration;

use sapphirewell::direct::{
    ClaimOutcome, DirectAction, DirectEvent, InFlight, LeavingTarget, PrefillBacklog, RetryPolicy,
    StageOrder, TargetStage, TargetUsage,
};
use support::direct::DirectRig;
use yare::parameterized;

const SAMPLE_INTERVAL: Duration = Duration::from_millis(200);
/// Engines in both stages at the start; each has 16 slots.
const PREFILL_ENGINES: usize = 4;
const DECODE_ENGINES: usize = 8;

/// Load that one peer reports for every engine of a stage.
#[derive(Clone, Copy)]
struct Phase {
    samples: u32,
    /// Prompt tokens that wait at each prefill engine.
    prefill_tokens: u32,
    /// Streams that run at all decode engines together.
    streams: u32,
}

/// Fleet whose planner sends orders, which take effect at once.
struct StagedFleet {
    rig: DirectRig,
    stages: Vec<(String, TargetStage)>,
    reports: u64,
    /// Whether engines carry out their orders.
    obeys: bool,
}

impl StagedFleet {
    fn new() -> StagedFleet {
        let mut fleet = StagedFleet::without_authority();
        fleet.take_authority();
        fleet
    }

    fn without_authority() -> StagedFleet {
        let mut rig = DirectRig::new(RetryPolicy::Resume);
        let stage = |index| match index < PREFILL_ENGINES {
            true => TargetStage::Prefill,
            false => TargetStage::Decode,
        };
        let stages: Vec<_> = (0..PREFILL_ENGINES + DECODE_ENGINES)
            .map(|index| (format!("engine-{index}"), stage(index)))
            .collect();
        for (name, stage) in &stages {
            rig.list(name, *stage);
        }
        rig.step(DirectEvent::Tick);
        StagedFleet { rig, stages, reports: 0, obeys: true }
    }

    /// Takes the authority over engines, in which the holder before may still send orders for 5 s.
    fn take_authority(&mut self) {
        self.rig.advance(Duration::from_secs(5));
        self.rig.step(DirectEvent::Tick);
        self.rig.step(DirectEvent::ClaimEnded(ClaimOutcome::Taken(4)));
        self.rig.advance(Duration::from_secs(5));
    }

    fn decode_engines(&self) -> usize {
        self.stages.iter().filter(|(_, stage)| *stage == TargetStage::Decode).count()
    }

    /// Plays a phase and returns its orders.
    fn play(&mut self, phase: Phase) -> Vec<StageOrder> {
        let mut orders = Vec::new();
        for _ in 0..phase.samples {
            self.rig.advance(SAMPLE_INTERVAL);
            self.report(phase);
            let actions = self.rig.step(DirectEvent::Tick);
            let sent = actions.into_iter().filter_map(|action| match action {
                DirectAction::Order(order) => Some(order),
                _ => None,
            });
            for order in sent {
                if self.obeys {
                    self.carry_out(&order);
                }
                orders.push(order);
            }
        }
        orders
    }

    /// Reports the load of a new peer each time, as one of a sample before counts no more.
    fn report(&mut self, phase: Phase) {
        self.reports += 1;
        let streams = phase.streams / self.decode_engines().max(1) as u32;
        let usage = |(name, stage): &(String, TargetStage)| {
            let mut backlog = PrefillBacklog::default();
            let mut running = 0;
            match stage {
                TargetStage::Prefill => backlog.add(0, phase.prefill_tokens),
                TargetStage::Decode | TargetStage::Plain => running = streams,
            }
            let in_flight = InFlight { running, backlog };
            TargetUsage { target: name.as_str().into(), in_flight, ..TargetUsage::default() }
        };
        let usage = self.stages.iter().map(usage).collect();
        self.rig.hear_again("peer", self.reports, usage);
    }

    fn carry_out(&mut self, order: &StageOrder) {
        let id = order.target.id.to_string();
        let known = self.stages.iter_mut().find(|(name, _)| *name == id);
        known.unwrap().1 = order.stage;
        self.rig.relist(&id, order.stage);
    }
}

/// Prompts wait 0.5 s at each prefill engine while decode engines have slots to spare: an engine
/// of 16 slots takes 9.75 streams that arrive at random.
const READING: Phase = Phase { samples: 60, prefill_tokens: 30_000, streams: 16 };

/// The phase of reading lasts for 12 s, the one before for 5 s.
#[parameterized(
    few_streams = { None, 2 },
    hardly_any_stream = { Some(Phase { samples: 25, prefill_tokens: 0, streams: 0 }), 2 },
    a_phase_of_many_streams_just_before = {
        Some(Phase { samples: 25, prefill_tokens: 0, streams: 56 }), 4
    },
)]
fn engines_are_spared_that_no_recent_phase_needed(before: Option<Phase>, left_at_least: usize) {
    let mut fleet = StagedFleet::new();
    if let Some(before) = before {
        assert_eq!(fleet.play(before), []);
    }
    let orders = fleet.play(READING);
    assert!(orders.iter().all(|order| order.stage == TargetStage::Prefill), "{orders:?}");
    assert!(fleet.decode_engines() >= left_at_least, "{} left", fleet.decode_engines());
}

/// More than the 0.55 of all engines that used to be the most may prefill.
#[test]
fn spare_decode_engines_prefill() {
    let mut fleet = StagedFleet::new();
    fleet.play(READING);
    assert!(fleet.decode_engines() <= 3, "{} left", fleet.decode_engines());
}

/// The entry that held the authority is lost after a phase of many streams, and another one takes
/// over in the phase of reading.
#[test]
fn a_new_holder_knows_the_phase_before_its_claim() {
    let mut fleet = StagedFleet::without_authority();
    assert_eq!(fleet.play(Phase { samples: 25, prefill_tokens: 0, streams: 56 }), []);
    fleet.take_authority();
    let orders = fleet.play(Phase { samples: 30, ..READING });
    assert_ne!(orders, []);
    assert!(fleet.decode_engines() >= 4, "{} left", fleet.decode_engines());
}

/// Phases of reading and of generating alternate every 3 s, which is as long as a switch takes.
#[test]
fn alternating_phases_bring_few_orders() {
    let mut fleet = StagedFleet::new();
    let generating = Phase { samples: 15, prefill_tokens: 0, streams: 48 };
    let reading = Phase { samples: 15, ..READING };
    let orders: usize = (0..20)
        .map(|round| {
            let phase = if round % 2 == 0 { reading } else { generating };
            fleet.play(phase).len()
        })
        .sum();
    assert!(orders <= DECODE_ENGINES, "{orders} orders");
    assert!(fleet.decode_engines() >= 2, "{} left", fleet.decode_engines());
}

/// Late prompts wait at the prefill engines while all decode slots are taken.
#[test]
fn prefill_engines_decode_again_while_late_prompts_wait() {
    let mut fleet = StagedFleet::new();
    fleet.play(READING);
    let left = fleet.decode_engines();
    let full = Phase { samples: 60, prefill_tokens: 30_000, streams: 16 * left as u32 };
    let orders = fleet.play(full);
    assert!(orders.iter().any(|order| order.stage == TargetStage::Decode), "{orders:?}");
}

/// An order is pending when all engines that decode leave, the ordered one included.
#[test]
fn ordered_engines_may_leave() {
    let mut fleet = StagedFleet::new();
    fleet.obeys = false;
    assert_ne!(fleet.play(Phase { samples: 10, ..READING }), []);
    let leaving: Vec<String> = fleet.stages.iter().map(|(name, _)| name.clone()).collect();
    for name in &leaving[PREFILL_ENGINES..] {
        let leaving = LeavingTarget { target: name.as_str().into(), born_ms: 1 };
        fleet.rig.step(DirectEvent::TargetLeaving(leaving));
    }
    fleet.stages.truncate(PREFILL_ENGINES);
    let orders = fleet.play(Phase { samples: 10, prefill_tokens: 0, streams: 0 });
    assert!(orders.iter().any(|order| order.stage == TargetStage::Decode), "{orders:?}");
}
