//! Planning of engine roles by the mix of prompt and output tokens.
//!
//! The planner compares the demand for prefill and for decode with the measured capacity of the
//! engines in each role, and changes the role of the engine that helps the scarcer stage most. An
//! engine is unavailable for seconds while its role changes, so a change needs a clear gain, and
//! plans keep a minimum interval. See [docs/POLICY.md](../docs/POLICY.md).

use std::{collections::BTreeMap, time::Duration};

use serde::Serialize;

use crate::{
    entry::{EntryMachine, OfferedTokens, TargetEstimate},
    fold::FleetView,
    ids::{ClockTime, TargetId},
    record::{EngineRole, PlanProposal, TargetOffer},
};

/// Interval between samples of demand and speed.
const SAMPLE_INTERVAL: Duration = Duration::from_secs(1);
/// Delay that each rank adds before a planner proposes, so that usually only one does.
const RANK_DELAY: Duration = Duration::from_secs(3);
/// Time constant of the moving average of demand.
const DEMAND_AVERAGING_TIME: Duration = Duration::from_secs(12);
/// Minimum interval between two plans.
const MIN_PLAN_INTERVAL: Duration = Duration::from_secs(20);
/// Time after start during which demand is measured and nothing is proposed.
const WARM_UP_TIME: Duration = Duration::from_secs(10);
/// Minimum ratio of the coverage after a role change to that before it.
const MIN_COVERAGE_GAIN: f64 = 1.25;
/// Prefill backlog, in seconds, above which a role change may be worth its cost.
const PREFILL_PRESSURE_SECONDS: f64 = 1.0;
/// Running requests relative to [`REFERENCE_BATCH`] per decode engine above which a role change
/// may be worth its cost.
const DECODE_PRESSURE: f64 = 0.6;
/// Minimum number of engines of one model for role changes.
const MIN_ENGINES: usize = 4;
/// Number of running requests for which decode rates are normalized, to compare engines.
const REFERENCE_BATCH: f64 = 32.0;
/// Relative increase of inter-token latency per additional running request.
const LATENCY_GROWTH_PER_REQUEST: f64 = 0.022;
/// Ratio of decode rate to prefill rate, assumed until some engine was measured in both roles.
const DEFAULT_RATE_RATIO: f64 = 0.17;

/// Settings of a planner, fixed for the lifetime of its entry.
#[derive(Debug, Clone, Default)]
pub struct PlannerSettings {
    /// Rank among the entries; a higher one waits longer before it proposes.
    pub rank: u32,
}

/// Samples demand and engine speeds at one entry, and proposes role plans.
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

/// Measured speed of one engine; `None` in a role that it was not measured in.
#[derive(Debug, Clone, Copy, Default, Serialize)]
struct EngineSpeed {
    /// Prompt tokens per second.
    #[serde(rename = "reading")]
    prefill_rate: Option<f64>,
    /// Output tokens per second with [`REFERENCE_BATCH`] running requests.
    #[serde(rename = "generating")]
    decode_rate: Option<f64>,
}

/// Engine in a candidate plan, with measured or assumed rates.
#[derive(Debug, Clone)]
struct PlannedEngine {
    target: TargetId,
    role: EngineRole,
    prefill_rate: f64,
    decode_rate: f64,
    running: u32,
}

impl RolePlanner {
    /// Creates a planner that has sampled no demand yet.
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

    /// Returns a plan that is worth more than its cost over the one in force, if there is one.
    ///
    /// Also samples demand and speeds, so it has to be called at least every second.
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
        if now < started + WARM_UP_TIME + delay || now < self.plan_seen + MIN_PLAN_INTERVAL + delay
        {
            return None;
        }
        let roles = self.best_role_change(view, entry)?;
        self.plan_seen = now;
        Some(PlanProposal { replaces: view.plan.offset, roles })
    }

    fn sample(&mut self, now: ClockTime, entry: &EntryMachine) {
        let seconds = now.saturating_sub(self.sampled).as_secs_f64();
        let offered = entry.offered();
        let weight = (seconds / DEMAND_AVERAGING_TIME.as_secs_f64()).min(1.0);
        let prompt = (offered.prompt - self.offered.prompt) / seconds;
        let output = (offered.output - self.offered.output) / seconds;
        self.demand.prompt += (prompt - self.demand.prompt) * weight;
        self.demand.output += (output - self.demand.output) * weight;
        self.offered = offered;
        self.sampled = now;
        for estimate in entry.estimates().iter() {
            self.record_speed(estimate);
        }
    }

    fn record_speed(&mut self, estimate: &TargetEstimate) {
        let load = &estimate.load;
        let Some(role) = load.role else { return };
        let speed = self.speeds.entry(load.target.clone()).or_default();
        if role != EngineRole::Decode && load.prompt_total > 0 {
            speed.prefill_rate = Some(f64::from(load.prefill_rate));
        }
        if role == EngineRole::Decode && load.running > 0 {
            let growth = 1.0 + LATENCY_GROWTH_PER_REQUEST * REFERENCE_BATCH;
            let inter_token_ms = f64::from(load.inter_token_ms) * growth
                / (1.0 + LATENCY_GROWTH_PER_REQUEST * f64::from(load.running));
            speed.decode_rate = Some(REFERENCE_BATCH * 1000.0 / inter_token_ms.max(0.1));
        }
    }

    /// Returns the roles to change for the first model whose engines gain enough from it.
    fn best_role_change(
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
        groups.into_values().find_map(|group| self.best_role_change_in(view, &group))
    }

    fn best_role_change_in(
        &self,
        view: &FleetView,
        group: &[&TargetEstimate],
    ) -> Option<BTreeMap<TargetId, EngineRole>> {
        let changing = |estimate: &&TargetEstimate| {
            let planned = view.plan.roles.get(&estimate.load.target);
            planned.is_some() && estimate.load.role != planned.copied()
        };
        if group.len() < MIN_ENGINES || group.iter().any(changing) {
            return None;
        }
        let engines = self.planned_engines(group);
        if !is_under_pressure(group) {
            return None;
        }
        if engines.iter().any(|engine| engine.role == EngineRole::Mixed) {
            return self.split_mixed_engines(engines);
        }
        let coverage = self.coverage(&engines);
        let (changed, new_coverage) = self.best_single_change(&engines)?;
        if new_coverage < coverage * MIN_COVERAGE_GAIN {
            return None;
        }
        let engine = &engines[changed];
        Some(BTreeMap::from([(engine.target.clone(), other_role(engine.role))]))
    }

    fn planned_engines(&self, group: &[&TargetEstimate]) -> Vec<PlannedEngine> {
        let ratio = self.rate_ratio();
        let mean_rate = self.mean_prefill_rate();
        let plan = |estimate: &&TargetEstimate| {
            let target = estimate.load.target.clone();
            // An engine that was not measured yet counts as an average one.
            let speed = self.speeds.get(&target).copied().unwrap_or_default();
            let prefill_rate = speed
                .prefill_rate
                .or(speed.decode_rate.map(|rate| rate / ratio))
                .unwrap_or(mean_rate);
            let decode_rate = speed.decode_rate.unwrap_or(prefill_rate * ratio);
            let role = estimate.load.role.unwrap_or(EngineRole::Decode);
            PlannedEngine {
                target,
                role,
                prefill_rate,
                decode_rate,
                running: estimate.load.running,
            }
        };
        group.iter().map(plan).collect()
    }

    /// Returns the ratio of decode rate to prefill rate over the engines measured in both roles.
    fn rate_ratio(&self) -> f64 {
        let both = self
            .speeds
            .values()
            .filter_map(|speed| Some((speed.prefill_rate?, speed.decode_rate?)));
        let (prefill, decode) =
            both.fold((0.0, 0.0), |sum, speed| (sum.0 + speed.0, sum.1 + speed.1));
        if prefill > 0.0 { decode / prefill } else { DEFAULT_RATE_RATIO }
    }

    fn mean_prefill_rate(&self) -> f64 {
        let rates: Vec<f64> = self.speeds.values().filter_map(|speed| speed.prefill_rate).collect();
        if rates.is_empty() { 1.0 } else { rates.iter().sum::<f64>() / rates.len() as f64 }
    }

    /// Returns the smaller of the two stages' ratios of capacity to demand; 1 if the split fits
    /// the mix.
    fn coverage(&self, engines: &[PlannedEngine]) -> f64 {
        let capacity = |role, of: fn(&PlannedEngine) -> f64| {
            engines.iter().filter(|engine| engine.role == role).map(of).sum::<f64>()
        };
        let prefill = capacity(EngineRole::Prefill, |engine| engine.prefill_rate);
        let decode = capacity(EngineRole::Decode, |engine| engine.decode_rate);
        let entry_share = self.entry_share(engines);
        let prefill_coverage = prefill * entry_share / self.demand.prompt.max(1.0);
        let decode_coverage = decode * entry_share / self.demand.output.max(1.0);
        prefill_coverage.min(decode_coverage)
    }

    /// Returns this entry's demand as a fraction of the capacity of all engines.
    ///
    /// It stands for the entry's share of the total demand. Callers compare only ratios of
    /// coverages, so an entry needs no information from the others.
    fn entry_share(&self, engines: &[PlannedEngine]) -> f64 {
        let capacity: f64 = engines.iter().map(|engine| engine.prefill_rate).sum();
        let demand = self.demand.prompt + self.demand.output / self.rate_ratio();
        demand / capacity.max(1.0)
    }

    /// Returns the index of the engine whose role change gives the best coverage, and that
    /// coverage.
    fn best_single_change(&self, engines: &[PlannedEngine]) -> Option<(usize, f64)> {
        let coverages = (0..engines.len()).map(|index| {
            let mut changed = engines.to_vec();
            changed[index].role = other_role(changed[index].role);
            // An engine with fewer running requests drains sooner.
            let drain_factor = 1.0 - 0.001 * f64::from(engines[index].running);
            (index, self.coverage(&changed) * drain_factor)
        });
        coverages.max_by(|a, b| a.1.total_cmp(&b.1))
    }

    /// Splits mixed engines by role: the fastest run prefill, where long prompts then wait least.
    fn split_mixed_engines(
        &self,
        mut engines: Vec<PlannedEngine>,
    ) -> Option<BTreeMap<TargetId, EngineRole>> {
        engines.sort_by(|a, b| b.prefill_rate.total_cmp(&a.prefill_rate));
        let split = |prefill_engines: usize| {
            let mut split = engines.clone();
            for (index, engine) in split.iter_mut().enumerate() {
                engine.role =
                    if index < prefill_engines { EngineRole::Prefill } else { EngineRole::Decode };
            }
            split
        };
        let best = (1..engines.len())
            .map(split)
            .max_by(|a, b| self.coverage(a).total_cmp(&self.coverage(b)))?;
        Some(best.into_iter().map(|engine| (engine.target, engine.role)).collect())
    }
}

/// Returns whether the prefill backlog or the number of running requests justifies a role change.
fn is_under_pressure(group: &[&TargetEstimate]) -> bool {
    let without = |role| group.iter().filter(move |estimate| estimate.load.role != Some(role));
    let waiting: u64 = without(EngineRole::Decode).map(|e| e.load.tokens_ahead(u8::MAX)).sum();
    let rate: f64 = without(EngineRole::Decode).map(|e| f64::from(e.load.prefill_rate)).sum();
    let running: f64 = without(EngineRole::Prefill).map(|e| f64::from(e.load.running)).sum();
    let reference = without(EngineRole::Prefill).count() as f64 * REFERENCE_BATCH;
    waiting as f64 > PREFILL_PRESSURE_SECONDS * rate || running > DECODE_PRESSURE * reference
}

fn other_role(role: EngineRole) -> EngineRole {
    match role {
        EngineRole::Prefill => EngineRole::Decode,
        EngineRole::Decode | EngineRole::Mixed => EngineRole::Prefill,
    }
}
