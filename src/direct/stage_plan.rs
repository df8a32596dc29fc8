//! Assigns engines to the prefill and decode stages by their load.
//!
//! It serves imbalances that last for seconds rather than for one burst: prompts queue at
//! prefill engines while decode engines have free slots, or the reverse.

use std::{sync::Arc, time::Duration};

use serde::Serialize;

use super::{
    DirectMachine, DirectTarget, EngineConfig, OrderFencingToken, TargetStage,
    backlog::PRIORITY_COUNT,
    estimate::{INITIAL_RUN_SECONDS, PlacementView},
    flow::StepKind,
    prefix_copy::REMOTE_TRANSFER_FACTOR,
    stage_capacity::{DecodeLimits, DecodeNeed, DecodeStreams},
    target::TargetState,
};
use crate::ids::{ClockTime, TargetId};

/// Interval at which the load is sampled.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(200);
/// Time over which the load is averaged. It is longer than a burst of one second and far
/// shorter than the changes of load over a day.
const AVERAGING_TIME: Duration = Duration::from_secs(3);
/// Minimum number of samples before the first order.
const MIN_SAMPLES: u32 = 5;
/// Mean prefill wait at which another prefill engine is needed, and at which one can be
/// spared, in seconds. See docs/BENCH.md.
const LONG_WAIT_SECONDS: f32 = 0.15;
const SHORT_WAIT_SECONDS: f32 = 0.02;
/// Maximum slot use of the remaining decode engines after one of them is taken away.
const SPARE_SLOT_SHARE: f32 = 0.9;
/// Slot use at which another decode engine is needed.
const FULL_SLOT_SHARE: f32 = 0.97;
/// Share of prefill engines beyond which the decode engines must suffice for the peak of the
/// last phases, rather than for the present load alone.
const BALANCED_PREFILL_SHARE: f32 = 0.55;
/// Decode engines that stay beyond that share, so that the loss of one does not end all decoding.
const MIN_DECODE_ENGINES: f32 = 2.0;
/// Number of engines for each order that may be pending; at least one may.
const ENGINES_PER_ORDER: usize = 6;
/// Minimum time between two orders.
const ORDER_INTERVAL: Duration = Duration::from_millis(400);
/// Time until an order's effect is visible in the list of targets: the engine's switch, its
/// heartbeat and the read interval.
pub(super) const ORDER_TIMEOUT: Duration = Duration::from_secs(9);
/// Time before an engine that refused an order may be ordered again.
const REFUSAL_BACKOFF: Duration = Duration::from_secs(5);

/// Order that an engine switch its stage.
#[derive(Debug, Clone, PartialEq)]
pub struct StageOrder {
    /// Engine to order.
    pub target: Arc<DirectTarget>,
    /// Stage to switch to.
    pub stage: TargetStage,
    /// Fencing token by which engines refuse orders of an earlier claim.
    pub fence: OrderFencingToken,
}

/// Result of an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderOutcome {
    /// The engine accepted it or is already in the stage.
    Accepted,
    /// The engine refused it, or it was not sent.
    Refused,
    /// There was no response, so the engine may still carry it out.
    Unknown,
}

/// Load of the engines in both stages.
#[derive(Debug, Clone, Copy, Default, Serialize)]
pub(super) struct StageLoad {
    /// Mean queueing time of a prompt at the prefill engines, in seconds.
    #[serde(rename = "wait")]
    pub(super) prefill_wait: f32,
    /// Share of the decode engines' slots that is in use.
    #[serde(rename = "slots")]
    pub(super) slot_use: f32,
    /// Decode engines that the running streams need.
    #[serde(rename = "needed")]
    pub(super) decode_engines: f32,
}

/// Order whose effect is not visible in the list of targets yet.
#[derive(Debug, Clone, Serialize)]
struct PendingOrder {
    target: TargetId,
    stage: TargetStage,
    #[serde(rename = "until")]
    expires: ClockTime,
}

/// Planner of the engines' stages. Only the entry with the authority sends orders; all sample the
/// load, so that a new holder of the authority knows the phases before its claim.
#[derive(Debug, Clone, Default, Serialize)]
pub(super) struct StagePlanner {
    load: StageLoad,
    /// Decode engines that the phases of the last time needed.
    need: DecodeNeed,
    #[serde(rename = "looks")]
    samples: u32,
    #[serde(rename = "next_look")]
    next_sample: ClockTime,
    next_order: ClockTime,
    #[serde(rename = "open")]
    pending: Vec<PendingOrder>,
    /// Engines that refused an order, and the time until which they get none.
    refused: Vec<(TargetId, ClockTime)>,
}

impl StagePlanner {
    /// Returns the engines with a pending order.
    pub(super) fn switching(&self) -> Vec<TargetId> {
        self.pending.iter().map(|order| order.target.clone()).collect()
    }

    /// Forgets the orders, which belong to a claim. What was seen of the load stays.
    pub(super) fn forget_orders(&mut self) {
        self.next_order = ClockTime::ZERO;
        self.pending.clear();
        self.refused.clear();
    }

    pub(super) fn order_ended(&mut self, now: ClockTime, target: &TargetId, outcome: OrderOutcome) {
        match outcome {
            // An order without a response may still be carried out, so it stays
            // pending until its effect would be visible.
            OrderOutcome::Accepted | OrderOutcome::Unknown => {}
            OrderOutcome::Refused => {
                self.pending.retain(|order| order.target != *target);
                self.refused.push((target.clone(), now + REFUSAL_BACKOFF));
            }
        }
    }

    /// Adds a sample to the averaged load.
    fn add_sample(&mut self, sample: StageLoad) {
        self.samples += 1;
        let weight = SAMPLE_INTERVAL.as_secs_f32() / AVERAGING_TIME.as_secs_f32();
        let share = weight.max(1.0 / self.samples as f32);
        self.load.prefill_wait += share * (sample.prefill_wait - self.load.prefill_wait);
        self.load.slot_use += share * (sample.slot_use - self.load.slot_use);
        self.need.add_sample(sample.decode_engines, SAMPLE_INTERVAL);
    }

    /// Returns the stage that needs another engine, if any.
    fn needed_stage(&self, prefill_engines: usize, decode_engines: usize) -> Option<TargetStage> {
        let StageLoad { prefill_wait, slot_use, .. } = self.load;
        if decode_engines == 0 && prefill_engines > 0 {
            return Some(TargetStage::Decode);
        }
        if self.samples < MIN_SAMPLES || prefill_engines == 0 {
            return None;
        }
        let all = (prefill_engines + decode_engines) as f32;
        let use_after = slot_use * decode_engines as f32 / (decode_engines as f32 - 1.0).max(0.5);
        let is_balanced = (prefill_engines + 1) as f32 <= all * BALANCED_PREFILL_SHARE;
        let kept = self.need.peak().max(MIN_DECODE_ENGINES);
        let may_add = is_balanced || (decode_engines - 1) as f32 >= kept;
        if prefill_wait >= LONG_WAIT_SECONDS && use_after <= SPARE_SLOT_SHARE && may_add {
            return Some(TargetStage::Prefill);
        }
        // Late prompts wait at prefill engines however many there are, so beyond the balanced share
        // the wait says nothing.
        let can_spare = prefill_wait <= SHORT_WAIT_SECONDS
            || prefill_engines as f32 > all * BALANCED_PREFILL_SHARE;
        if can_spare && slot_use >= FULL_SLOT_SHARE && prefill_engines > 1 {
            return Some(TargetStage::Decode);
        }
        None
    }
}

impl DirectMachine {
    /// Samples the load of the engines and orders one to switch its stage if needed.
    pub(super) fn plan_stages(&mut self, now: ClockTime) -> Option<StageOrder> {
        if now < self.planner.next_sample {
            return None;
        }
        self.planner.next_sample = now + SAMPLE_INTERVAL;
        let engines: Vec<&TargetState> = self.engines().collect();
        let (prefill_engines, decode_engines): (Vec<&TargetState>, Vec<&TargetState>) =
            engines.into_iter().partition(|state| state.target.stage == TargetStage::Prefill);
        let sample = self.sample(now, &prefill_engines, &decode_engines);
        let (mut prefills, mut decodes) = (prefill_engines.len(), decode_engines.len());
        self.planner.add_sample(sample);
        self.drop_finished_orders(now);
        let fence = self.authority.fence(now)?;
        let max_pending = ((prefills + decodes) / ENGINES_PER_ORDER).max(1);
        if self.planner.pending.len() >= max_pending || now < self.planner.next_order {
            return None;
        }
        for order in &self.planner.pending {
            let (from, to) = match order.stage {
                TargetStage::Prefill => (&mut decodes, &mut prefills),
                TargetStage::Decode | TargetStage::Plain => (&mut prefills, &mut decodes),
            };
            *from = from.saturating_sub(1);
            *to += 1;
        }
        let stage = self.planner.needed_stage(prefills, decodes)?;
        let target = self.choose_engine_to_switch(now, stage)?;
        self.planner.next_order = now + ORDER_INTERVAL;
        let expires = now + ORDER_TIMEOUT;
        self.planner.pending.push(PendingOrder { target: target.id.clone(), stage, expires });
        Some(StageOrder { target, stage, fence })
    }

    /// Returns the averaged load that the planner acts on, for the log: the prefill wait in
    /// seconds and the share of decode slots in use.
    pub fn stage_load(&self) -> (f32, f32) {
        (self.planner.load.prefill_wait, self.planner.load.slot_use)
    }

    /// Returns the engines that may be ordered.
    fn engines(&self) -> impl Iterator<Item = &TargetState> {
        self.fleet
            .iter()
            .filter(|state| state.target.stage != TargetStage::Plain && !state.target.leaving)
    }

    fn sample(
        &self,
        now: ClockTime,
        prefill_engines: &[&TargetState],
        decode_engines: &[&TargetState],
    ) -> StageLoad {
        let view =
            PlacementView { fleet: &self.fleet, peers: &self.peers, limits: &self.limits, now };
        let waits: f32 =
            prefill_engines.iter().map(|state| view.prefill_wait(state, PRIORITY_COUNT)).sum();
        let running =
            |state: &&TargetState| u64::from(view.in_flight(state).running.min(state.target.slots));
        let slots: u64 = decode_engines.iter().map(|state| u64::from(state.target.slots)).sum();
        StageLoad {
            prefill_wait: waits / (prefill_engines.len() as f32).max(1.0),
            slot_use: decode_engines.iter().map(running).sum::<u64>() as f32
                / (slots as f32).max(1.0),
            decode_engines: self.decode_engines_needed(&view, decode_engines),
        }
    }

    /// Returns how many decode engines the streams need that run now.
    pub(super) fn decode_engines_needed(
        &self,
        view: &PlacementView<'_>,
        decode_engines: &[&TargetState],
    ) -> f32 {
        let Some(first) = decode_engines.first() else { return 0.0 };
        let count = decode_engines.len() as f32;
        let running: f32 =
            decode_engines.iter().map(|state| view.in_flight(state).running as f32).sum();
        let run_time = |state: &&TargetState| {
            if state.run_seconds > 0.0 { state.run_seconds } else { INITIAL_RUN_SECONDS }
        };
        let streams = DecodeStreams {
            count: running,
            mean_tokens: self.mean_stream_tokens(),
            run_seconds: decode_engines.iter().map(run_time).sum::<f32>() / count,
        };
        let slots: f32 = decode_engines.iter().map(|state| state.target.slots as f32).sum();
        let engine = self
            .routes
            .as_ref()
            .and_then(|routes| routes.services.get(&first.target.service)?.engine.as_ref());
        decode_limits(slots / count, engine).engines_needed(&streams)
    }

    /// Returns the mean length of the prompts whose streams this entry has in flight, in tokens:
    /// a sample of all entries' streams.
    fn mean_stream_tokens(&self) -> f32 {
        let streams = self
            .flows
            .values()
            .filter(|flow| flow.call.as_ref().is_some_and(|call| call.step != StepKind::Prefill));
        let tokens = streams.filter_map(|flow| Some(flow.request.prompt.as_ref()?.tokens as f32));
        let (sum, count) =
            tokens.fold((0.0, 0.0), |(sum, count), tokens| (sum + tokens, count + 1.0));
        sum / f32::max(count, 1.0)
    }

    /// Removes orders whose effect is visible, whose time has run out, or whose engine leaves.
    fn drop_finished_orders(&mut self, now: ClockTime) {
        self.planner.refused.retain(|(_, until)| now < *until);
        let fleet = &self.fleet;
        self.planner.pending.retain(|order| {
            let target = fleet.get(&order.target).map(|state| &state.target);
            let awaited =
                |target: &Arc<DirectTarget>| !target.leaving && target.stage != order.stage;
            now < order.expires && target.is_some_and(awaited)
        });
    }

    /// Chooses the engine that switches its stage: the slowest for prefill and the fastest
    /// for decode, because callers see the decode speed.
    fn choose_engine_to_switch(
        &self,
        now: ClockTime,
        stage: TargetStage,
    ) -> Option<Arc<DirectTarget>> {
        let view =
            PlacementView { fleet: &self.fleet, peers: &self.peers, limits: &self.limits, now };
        let rate = |state: &&TargetState| view.rate(state);
        let mut excluded = self.planner.switching();
        excluded.extend(self.planner.refused.iter().map(|(id, _)| id.clone()));
        let eligible = self
            .engines()
            .filter(|state| state.target.stage != stage && !excluded.contains(&state.target.id));
        let chosen = match stage {
            TargetStage::Prefill => eligible.min_by(|a, b| rate(a).total_cmp(&rate(b))),
            TargetStage::Decode | TargetStage::Plain => {
                eligible.max_by(|a, b| rate(a).total_cmp(&rate(b)))
            }
        };
        chosen.map(|state| state.target.clone())
    }
}

/// Returns the limits of a decode engine. Without a configuration only its slots are known.
fn decode_limits(slots: f32, engine: Option<&EngineConfig>) -> DecodeLimits {
    let Some(engine) = engine else {
        return DecodeLimits { slots, memory_tokens: f32::INFINITY, token_transfer_seconds: 0.0 };
    };
    let transfer = engine.token_bytes * 8.0 / engine.link_bits;
    DecodeLimits {
        slots,
        memory_tokens: engine.memory_tokens as f32,
        token_transfer_seconds: transfer as f32 * REMOTE_TRANSFER_FACTOR,
    }
}
