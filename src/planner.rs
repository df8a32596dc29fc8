//! Assigns roles to engines as the mix of prompt and output tokens moves.
//!
//! The planner compares the demand for reading and for generating with the
//! measured capacity of the engines in each role, and moves the engine whose
//! change relieves the tighter side most. A change takes an engine away for
//! seconds, so a move needs a clear gain, and moves keep a distance in time.
//! See [docs/POLICY.md](../docs/POLICY.md).

use std::{collections::BTreeMap, time::Duration};

use serde::Serialize;

use crate::{
    entry::{EntryMachine, OfferedTokens, TargetEstimate},
    fold::FleetView,
    ids::{ClockTime, TargetId},
    record::{EngineRole, PlanProposal, TargetOffer},
};

const SAMPLE_INTERVAL: Duration = Duration::from_secs(1);
const RANK_DELAY: Duration = Duration::from_secs(3);
/// Time over which demand is averaged.
const DEMAND_MEMORY: Duration = Duration::from_secs(12);
/// Time between two plans.
const PLAN_DISTANCE: Duration = Duration::from_secs(20);
/// Time after a start during which demand is only measured.
const LEARNING_TIME: Duration = Duration::from_secs(10);
/// Smallest gain of a move, as a factor of the tighter side's cover.
const LEAST_GAIN: f64 = 1.25;
/// Backlog of reading, in seconds, above which a move may be worth its cost.
const READING_PRESSURE: f64 = 1.0;
/// Running requests by compared batch above which a move may be worth its cost.
const GENERATING_PRESSURE: f64 = 0.6;
/// Fleets with fewer engines of one model keep their roles.
const LEAST_ENGINES: usize = 4;
/// Running requests at which an engine's generating capacity is compared.
const COMPARED_BATCH: f64 = 32.0;
/// Part by which one more running request lengthens the time between tokens.
const GAP_PER_RUN: f64 = 0.022;
/// Generating capacity by reading capacity of an engine that was seen in one role only.
const START_RATIO: f64 = 0.17;

/// Settings of a planner.
#[derive(Debug, Clone, Default)]
pub struct PlannerSettings {
    /// Rank among the entries; a higher one waits longer before it proposes.
    pub rank: u32,
}

/// Proposes role plans.
#[derive(Debug, Serialize)]
pub struct RolePlanner {
    #[serde(skip)]
    settings: PlannerSettings,
    started: Option<ClockTime>,
    sampled: ClockTime,
    offered: OfferedTokens,
    demand: OfferedTokens,
    speeds: BTreeMap<TargetId, EngineSpeed>,
    plan: u64,
    plan_seen: ClockTime,
}

/// Measured capacity of one engine.
#[derive(Debug, Clone, Copy, Default, Serialize)]
struct EngineSpeed {
    /// Prompt tokens a second.
    reading: Option<f64>,
    /// Output tokens a second.
    generating: Option<f64>,
}

/// One engine in a plan.
#[derive(Debug, Clone)]
struct PlannedEngine {
    target: TargetId,
    role: EngineRole,
    reading: f64,
    generating: f64,
    running: u32,
}

impl RolePlanner {
    /// Makes a planner that has seen no demand.
    pub fn new(settings: PlannerSettings) -> RolePlanner {
        RolePlanner {
            settings,
            started: None,
            sampled: ClockTime::ZERO,
            offered: OfferedTokens::default(),
            demand: OfferedTokens::default(),
            speeds: BTreeMap::new(),
            plan: 0,
            plan_seen: ClockTime::ZERO,
        }
    }

    /// Returns a plan that improves on the one in force, if there is one.
    pub fn propose(
        &mut self,
        now: ClockTime,
        view: &FleetView,
        entry: &EntryMachine,
    ) -> Option<PlanProposal> {
        let started = *self.started.get_or_insert(now);
        if now < self.sampled + SAMPLE_INTERVAL {
            return None;
        }
        self.sample(now, entry);
        if view.plan.offset != self.plan {
            self.plan = view.plan.offset;
            self.plan_seen = now;
        }
        let delay = RANK_DELAY * self.settings.rank;
        if now < started + LEARNING_TIME + delay || now < self.plan_seen + PLAN_DISTANCE + delay {
            return None;
        }
        let roles = self.best_move(view, entry)?;
        self.plan_seen = now;
        Some(PlanProposal { replaces: view.plan.offset, roles })
    }

    fn sample(&mut self, now: ClockTime, entry: &EntryMachine) {
        let seconds = now.saturating_sub(self.sampled).as_secs_f64();
        let offered = entry.offered();
        let weight = (seconds / DEMAND_MEMORY.as_secs_f64()).min(1.0);
        let prompt = (offered.prompt - self.offered.prompt) / seconds;
        let output = (offered.output - self.offered.output) / seconds;
        self.demand.prompt += (prompt - self.demand.prompt) * weight;
        self.demand.output += (output - self.demand.output) * weight;
        self.offered = offered;
        self.sampled = now;
        for estimate in entry.estimates().iter() {
            self.learn_speed(estimate);
        }
    }

    fn learn_speed(&mut self, estimate: &TargetEstimate) {
        let load = &estimate.load;
        let Some(role) = load.role else { return };
        let speed = self.speeds.entry(load.target.clone()).or_default();
        if role != EngineRole::Decode && load.prompt_total > 0 {
            speed.reading = Some(f64::from(load.prefill_rate));
        }
        if role == EngineRole::Decode && load.running > 0 {
            let growth = 1.0 + GAP_PER_RUN * COMPARED_BATCH;
            let gap = f64::from(load.inter_token_ms) * growth
                / (1.0 + GAP_PER_RUN * f64::from(load.running));
            speed.generating = Some(COMPARED_BATCH * 1000.0 / gap.max(0.1));
        }
    }

    /// Returns the roles that change, where a change is worth its cost.
    fn best_move(
        &self,
        view: &FleetView,
        entry: &EntryMachine,
    ) -> Option<BTreeMap<TargetId, EngineRole>> {
        let mut groups: BTreeMap<&str, Vec<&TargetEstimate>> = BTreeMap::new();
        for estimate in entry.estimates().iter().filter(|estimate| estimate.linked) {
            if let TargetOffer::Engine { model, .. } = &estimate.offer {
                groups.entry(model).or_default().push(estimate);
            }
        }
        groups.into_values().find_map(|group| self.best_move_in(view, &group))
    }

    fn best_move_in(
        &self,
        view: &FleetView,
        group: &[&TargetEstimate],
    ) -> Option<BTreeMap<TargetId, EngineRole>> {
        let changing = |estimate: &&TargetEstimate| {
            let wanted = view.plan.roles.get(&estimate.load.target);
            wanted.is_some() && estimate.load.role != wanted.copied()
        };
        if group.len() < LEAST_ENGINES || group.iter().any(changing) {
            return None;
        }
        let engines = self.planned_engines(group);
        if !is_pressed(group) {
            return None;
        }
        if engines.iter().any(|engine| engine.role == EngineRole::Mixed) {
            return self.first_split(engines);
        }
        let cover = self.cover(&engines);
        let (flipped, gain) = self.best_flip(&engines)?;
        if gain < cover * LEAST_GAIN {
            return None;
        }
        let engine = &engines[flipped];
        Some(BTreeMap::from([(engine.target.clone(), other_role(engine.role))]))
    }

    fn planned_engines(&self, group: &[&TargetEstimate]) -> Vec<PlannedEngine> {
        let ratio = self.known_ratio();
        let typical = self.typical_reading();
        let plan = |estimate: &&TargetEstimate| {
            let target = estimate.load.target.clone();
            // An engine that was not timed yet counts as a typical one.
            let speed = self.speeds.get(&target).copied().unwrap_or_default();
            let reading = speed.reading.or(speed.generating.map(|g| g / ratio)).unwrap_or(typical);
            let generating = speed.generating.unwrap_or(reading * ratio);
            let role = estimate.load.role.unwrap_or(EngineRole::Decode);
            PlannedEngine { target, role, reading, generating, running: estimate.load.running }
        };
        group.iter().map(plan).collect()
    }

    /// Returns generating by reading capacity over the engines that were seen in both roles.
    fn known_ratio(&self) -> f64 {
        let both =
            self.speeds.values().filter_map(|speed| Some((speed.reading?, speed.generating?)));
        let (reading, generating) =
            both.fold((0.0, 0.0), |sum, speed| (sum.0 + speed.0, sum.1 + speed.1));
        if reading > 0.0 { generating / reading } else { START_RATIO }
    }

    fn typical_reading(&self) -> f64 {
        let known: Vec<f64> = self.speeds.values().filter_map(|speed| speed.reading).collect();
        if known.is_empty() { 1.0 } else { known.iter().sum::<f64>() / known.len() as f64 }
    }

    /// Returns the smaller of both capacities by demand; 1 where the split fits the mix.
    fn cover(&self, engines: &[PlannedEngine]) -> f64 {
        let capacity = |role, of: fn(&PlannedEngine) -> f64| {
            engines.iter().filter(|engine| engine.role == role).map(of).sum::<f64>()
        };
        let reading = capacity(EngineRole::Prefill, |engine| engine.reading);
        let generating = capacity(EngineRole::Decode, |engine| engine.generating);
        let entries = self.entry_share(engines);
        let reading_cover = reading * entries / self.demand.prompt.max(1.0);
        let generating_cover = generating * entries / self.demand.output.max(1.0);
        reading_cover.min(generating_cover)
    }

    /// Returns the part of the whole demand that this entry sees; only ratios matter
    /// below, so that an entry needs to know nothing of the others.
    fn entry_share(&self, engines: &[PlannedEngine]) -> f64 {
        let whole: f64 = engines.iter().map(|engine| engine.reading).sum();
        let needed = self.demand.prompt + self.demand.output / self.known_ratio();
        needed / whole.max(1.0)
    }

    /// Returns the engine whose change gives the best cover, and that cover.
    fn best_flip(&self, engines: &[PlannedEngine]) -> Option<(usize, f64)> {
        let covers = (0..engines.len()).map(|index| {
            let mut changed = engines.to_vec();
            changed[index].role = other_role(changed[index].role);
            // An engine with less to drain is away for a shorter time.
            let drain = 1.0 - 0.001 * f64::from(engines[index].running);
            (index, self.cover(&changed) * drain)
        });
        covers.max_by(|a, b| a.1.total_cmp(&b.1))
    }

    /// Splits a fleet whose engines do both: the fastest read, as long prompts wait least there.
    fn first_split(
        &self,
        mut engines: Vec<PlannedEngine>,
    ) -> Option<BTreeMap<TargetId, EngineRole>> {
        engines.sort_by(|a, b| b.reading.total_cmp(&a.reading));
        let split = |readers: usize| {
            let mut split = engines.clone();
            for (index, engine) in split.iter_mut().enumerate() {
                engine.role =
                    if index < readers { EngineRole::Prefill } else { EngineRole::Decode };
            }
            split
        };
        let best =
            (1..engines.len()).map(split).max_by(|a, b| self.cover(a).total_cmp(&self.cover(b)))?;
        Some(best.into_iter().map(|engine| (engine.target, engine.role)).collect())
    }
}

/// Tells whether requests wait to be read, or many generate at once.
fn is_pressed(group: &[&TargetEstimate]) -> bool {
    let but = |role| group.iter().filter(move |estimate| estimate.load.role != Some(role));
    let waiting: u64 = but(EngineRole::Decode).map(|b| b.load.tokens_ahead(u8::MAX)).sum();
    let rate: f64 = but(EngineRole::Decode).map(|b| f64::from(b.load.prefill_rate)).sum();
    let generating: f64 = but(EngineRole::Prefill).map(|b| f64::from(b.load.running)).sum();
    let batches = but(EngineRole::Prefill).count() as f64 * COMPARED_BATCH;
    waiting as f64 > READING_PRESSURE * rate || generating > GENERATING_PRESSURE * batches
}

fn other_role(role: EngineRole) -> EngineRole {
    match role {
        EngineRole::Prefill => EngineRole::Decode,
        EngineRole::Decode | EngineRole::Mixed => EngineRole::Prefill,
    }
}
