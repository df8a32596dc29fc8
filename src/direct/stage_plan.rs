//! Which engines read prompts and which generate, as the load asks for.
//!
//! The load pattern that this answers: prompts wait at the engines that read
//! while slots are free at those that generate, or the other way round, for
//! seconds and not only in one burst.

use std::{sync::Arc, time::Duration};

use serde::Serialize;

use super::{
    DirectMachine, DirectTarget, OrderFencingToken, TargetStage, estimate::PlacementView,
    target::TargetState,
};
use crate::ids::{ClockTime, TargetId};

/// Interval at which the load is looked at.
const LOOK_INTERVAL: Duration = Duration::from_millis(200);
/// Time over which the load is averaged; longer than one burst of a second, far
/// shorter than the shifts of a day.
const MEAN_TIME: Duration = Duration::from_secs(3);
/// Looks before the first plan.
const LEAST_LOOKS: u32 = 5;
/// Mean wait at the engines that read from which on they need another, and under
/// which they could spare one, in seconds. On a site's days it was 0.2 to 0.9 s while
/// half of the slots were free; see docs/BENCH.md.
const LONG_WAIT: f32 = 0.15;
const SHORT_WAIT: f32 = 0.02;
/// Share of slots in use, after one engine less generates, up to which one may go.
const FREE_SLOTS: f32 = 0.9;
/// Share of slots in use from which on those that generate need another engine.
const FULL_SLOTS: f32 = 0.97;
/// Largest part of the engines that read. Trials with 0.5 of them served more
/// than with 0.35, and with 0.65 less; see docs/BENCH.md.
const MOST_READERS: f32 = 0.55;
/// Engines of which one may change its part at a time.
const ENGINES_PER_ORDER: usize = 6;
/// Pause between two orders.
const ORDER_PAUSE: Duration = Duration::from_millis(400);
/// Time in which an order's outcome shows in the list of targets: the engine's
/// switch, its heartbeat and the pace of reading.
const ORDER_TIME: Duration = Duration::from_secs(9);
/// Time for which an engine that refused an order is left alone.
const REFUSAL_TIME: Duration = Duration::from_secs(5);

/// Order that gives an engine another part.
#[derive(Debug, Clone, PartialEq)]
pub struct StageOrder {
    /// The engine.
    pub target: Arc<DirectTarget>,
    /// Its new part.
    pub stage: TargetStage,
    /// Number by which engines tell a newer holder of the authority.
    pub fence: OrderFencingToken,
}

/// How an order ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderOutcome {
    /// The engine carries it out, or has done so before.
    Accepted,
    /// The engine refused it, or it was not sent.
    Refused,
    /// No answer: it may be carried out later.
    Unknown,
}

/// Load of one service's engines, averaged.
#[derive(Debug, Clone, Copy, Default, Serialize)]
pub(super) struct StageLoad {
    /// Mean time that a prompt would wait at the engines that read, in seconds.
    pub(super) wait: f32,
    /// Slots in use at the engines that generate, as a share of all.
    pub(super) slots: f32,
}

/// Order that has not shown its effect yet.
#[derive(Debug, Clone, Serialize)]
struct OpenOrder {
    target: TargetId,
    stage: TargetStage,
    until: ClockTime,
}

/// Planner of the engines' parts; only one entry uses it at a time.
#[derive(Debug, Clone, Default, Serialize)]
pub(super) struct StagePlanner {
    load: StageLoad,
    looks: u32,
    next_look: ClockTime,
    next_order: ClockTime,
    open: Vec<OpenOrder>,
    /// Engines that refused an order, which are not asked again until a time.
    refused: Vec<(TargetId, ClockTime)>,
}

impl StagePlanner {
    /// Returns the engines that are about to change their part.
    pub(super) fn moving(&self) -> Vec<TargetId> {
        self.open.iter().map(|open| open.target.clone()).collect()
    }

    pub(super) fn forget(&mut self) {
        *self = StagePlanner::default();
    }

    pub(super) fn order_ended(&mut self, now: ClockTime, target: &TargetId, outcome: OrderOutcome) {
        match outcome {
            // An order without an answer may still be carried out, so that the
            // engine gets no other before it would show.
            OrderOutcome::Accepted | OrderOutcome::Unknown => {}
            OrderOutcome::Refused => {
                self.open.retain(|open| open.target != *target);
                self.refused.push((target.clone(), now + REFUSAL_TIME));
            }
        }
    }

    /// Averages what one look has shown.
    fn note(&mut self, look: StageLoad) {
        self.looks += 1;
        let mean = LOOK_INTERVAL.as_secs_f32() / MEAN_TIME.as_secs_f32();
        let share = mean.max(1.0 / self.looks as f32);
        self.load.wait += share * (look.wait - self.load.wait);
        self.load.slots += share * (look.slots - self.load.slots);
    }

    /// Chooses the part that one more engine should play.
    fn wanted(&self, readers: usize, writers: usize) -> Option<TargetStage> {
        let StageLoad { wait, slots } = self.load;
        if self.looks < LEAST_LOOKS || readers == 0 || writers == 0 {
            return None;
        }
        let all = (readers + writers) as f32;
        let fuller = slots * writers as f32 / (writers as f32 - 1.0).max(0.5);
        let may_add = (readers + 1) as f32 <= all * MOST_READERS;
        if wait >= LONG_WAIT && fuller <= FREE_SLOTS && may_add {
            return Some(TargetStage::Prefill);
        }
        if wait <= SHORT_WAIT && slots >= FULL_SLOTS && readers > 1 {
            return Some(TargetStage::Decode);
        }
        None
    }
}

impl DirectMachine {
    /// Looks at the load of the engines, and orders one to change its part.
    pub(super) fn plan_stages(&mut self, now: ClockTime) -> Option<StageOrder> {
        let fence = self.authority.fence(now)?;
        if now < self.planner.next_look {
            return None;
        }
        self.planner.next_look = now + LOOK_INTERVAL;
        let engines: Vec<&TargetState> = self.engines().collect();
        let (readers, writers): (Vec<&TargetState>, Vec<&TargetState>) =
            engines.into_iter().partition(|state| state.target.stage == TargetStage::Prefill);
        let look = self.look(now, &readers, &writers);
        let (mut reading, mut writing) = (readers.len(), writers.len());
        self.planner.note(look);
        self.close_orders(now);
        let most = ((reading + writing) / ENGINES_PER_ORDER).max(1);
        if self.planner.open.len() >= most || now < self.planner.next_order {
            return None;
        }
        for open in &self.planner.open {
            match open.stage {
                TargetStage::Prefill => (reading, writing) = (reading + 1, writing - 1),
                TargetStage::Decode | TargetStage::Plain => {
                    (reading, writing) = (reading - 1, writing + 1);
                }
            }
        }
        let stage = self.planner.wanted(reading, writing)?;
        let target = self.slowest_or_fastest(now, stage)?;
        self.planner.next_order = now + ORDER_PAUSE;
        let until = now + ORDER_TIME;
        self.planner.open.push(OpenOrder { target: target.id.clone(), stage, until });
        Some(StageOrder { target, stage, fence })
    }

    /// Returns what the planner acts on, for the log.
    pub fn stage_load(&self) -> (f32, f32) {
        (self.planner.load.wait, self.planner.load.slots)
    }

    fn engines(&self) -> impl Iterator<Item = &TargetState> {
        self.fleet
            .iter()
            .filter(|state| state.target.stage != TargetStage::Plain && !state.target.leaving)
    }

    fn look(
        &self,
        now: ClockTime,
        readers: &[&TargetState],
        writers: &[&TargetState],
    ) -> StageLoad {
        let view = PlacementView { fleet: &self.fleet, peers: &self.peers, now };
        let waits: f32 = readers.iter().map(|state| view.read_wait(state, true)).sum();
        let running = |state: &&TargetState| view.in_flight(state).running.min(state.target.slots);
        let slots: u32 = writers.iter().map(|state| state.target.slots).sum();
        StageLoad {
            wait: waits / (readers.len() as f32).max(1.0),
            slots: writers.iter().map(running).sum::<u32>() as f32 / (slots as f32).max(1.0),
        }
    }

    /// Closes orders that have shown their effect or run out.
    fn close_orders(&mut self, now: ClockTime) {
        self.planner.refused.retain(|(_, until)| now < *until);
        let fleet = &self.fleet;
        self.planner.open.retain(|open| {
            let state = fleet.get(&open.target);
            now < open.until && state.is_some_and(|state| state.target.stage != open.stage)
        });
    }

    /// Chooses the engine that changes its part: a slow one to read, since the
    /// speed of generating is what callers see; a fast one to generate.
    fn slowest_or_fastest(&self, now: ClockTime, stage: TargetStage) -> Option<Arc<DirectTarget>> {
        let view = PlacementView { fleet: &self.fleet, peers: &self.peers, now };
        let rate = |state: &&TargetState| view.rate(state);
        let mut moving = self.planner.moving();
        moving.extend(self.planner.refused.iter().map(|(id, _)| id.clone()));
        let able = self
            .engines()
            .filter(|state| state.target.stage != stage && !moving.contains(&state.target.id));
        let chosen = match stage {
            TargetStage::Prefill => able.min_by(|a, b| rate(a).total_cmp(&rate(b))),
            TargetStage::Decode | TargetStage::Plain => {
                able.max_by(|a, b| rate(a).total_cmp(&rate(b)))
            }
        };
        chosen.map(|state| state.target.clone())
    }
}
