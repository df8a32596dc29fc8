//! Baseline planner: roles follow the demand at once, with no hysteresis.

use std::{collections::BTreeMap, time::Duration};

use sapphirewell::{
    entry::EntryMachine,
    fold::FleetView,
    ids::ClockTime,
    record::{EngineRole, PlanProposal},
};

use crate::engine::{PREFILL_RATE, STEP_BASE, STEP_PER_RUN};

const INTERVAL: Duration = Duration::from_secs(5);
const FULL_BATCH: f64 = 32.0;

/// Proposes the split that fits the last interval's demand.
#[derive(Debug)]
pub struct EagerPlanner {
    rank: u32,
    next: ClockTime,
    prompt: f64,
    output: f64,
}

impl EagerPlanner {
    /// Makes a planner; only the one of rank 0 proposes.
    pub fn new(rank: u32) -> EagerPlanner {
        EagerPlanner { rank, next: INTERVAL, prompt: 0.0, output: 0.0 }
    }

    /// Returns a plan where the wanted split differs from the one in force.
    pub fn propose(
        &mut self,
        now: ClockTime,
        view: &FleetView,
        entry: &EntryMachine,
    ) -> Option<PlanProposal> {
        if self.rank != 0 || now < self.next {
            return None;
        }
        self.next = now + INTERVAL;
        let offered = entry.offered();
        let prompt = (offered.prompt - self.prompt) / PREFILL_RATE;
        let token = (STEP_BASE + STEP_PER_RUN * FULL_BATCH) / FULL_BATCH;
        let output = (offered.output - self.output) * token;
        (self.prompt, self.output) = (offered.prompt, offered.output);
        if prompt + output <= 0.0 {
            return None;
        }
        let roles = wanted_roles(entry, prompt / (prompt + output));
        let changed = roles.iter().any(|(target, role)| view.plan.roles.get(target) != Some(role));
        changed.then_some(PlanProposal { replaces: view.plan.offset, roles })
    }
}

fn wanted_roles(
    entry: &EntryMachine,
    prompt_share: f64,
) -> BTreeMap<sapphirewell::ids::TargetId, EngineRole> {
    let engines: Vec<_> = entry
        .estimates()
        .iter()
        .filter(|estimate| {
            estimate.load.role.is_some() || estimate.load.target.starts_with("engine-")
        })
        .map(|estimate| estimate.load.target.clone())
        .collect();
    let readers =
        ((engines.len() as f64 * prompt_share).round() as usize).clamp(1, engines.len().max(2) - 1);
    engines
        .into_iter()
        .rev()
        .enumerate()
        .map(|(index, target)| {
            (target, if index < readers { EngineRole::Prefill } else { EngineRole::Decode })
        })
        .collect()
}
