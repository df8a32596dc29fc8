//! Baseline role planner that follows demand immediately, without hysteresis.

use std::{collections::BTreeMap, time::Duration};

use sapphirewell::{
    entry::EntryMachine,
    fold::FleetView,
    ids::ClockTime,
    record::{EngineRole, PlanProposal},
};

use crate::engine::{DECODE_STEP_BASE_S, DECODE_STEP_PER_RUN_S, PREFILL_TOKENS_PER_S};

const PLAN_INTERVAL: Duration = Duration::from_secs(5);
const FULL_BATCH_RUNS: f64 = 32.0;

/// Proposes the prefill/decode split that matches the demand of the last interval.
#[derive(Debug)]
pub struct EagerPlanner {
    rank: u32,
    next: ClockTime,
    prompt: f64,
    output: f64,
}

impl EagerPlanner {
    /// Returns a planner for the entry with this rank; only rank 0 makes proposals.
    pub fn new(rank: u32) -> EagerPlanner {
        EagerPlanner { rank, next: PLAN_INTERVAL, prompt: 0.0, output: 0.0 }
    }

    /// Returns a plan if the desired split differs from the current one. At most one
    /// is proposed per interval, and none if there was no demand.
    pub fn propose(
        &mut self,
        now: ClockTime,
        view: &FleetView,
        entry: &EntryMachine,
    ) -> Option<PlanProposal> {
        if self.rank != 0 || now < self.next {
            return None;
        }
        self.next = now + PLAN_INTERVAL;
        let offered = entry.offered();
        let prefill_s = (offered.prompt - self.prompt) / PREFILL_TOKENS_PER_S;
        let token_s =
            (DECODE_STEP_BASE_S + DECODE_STEP_PER_RUN_S * FULL_BATCH_RUNS) / FULL_BATCH_RUNS;
        let decode_s = (offered.output - self.output) * token_s;
        (self.prompt, self.output) = (offered.prompt, offered.output);
        if prefill_s + decode_s <= 0.0 {
            return None;
        }
        let roles = desired_roles(entry, prefill_s / (prefill_s + decode_s));
        let changed = roles.iter().any(|(target, role)| view.plan.roles.get(target) != Some(role));
        changed.then_some(PlanProposal { replaces: view.plan.offset, roles })
    }
}

fn desired_roles(
    entry: &EntryMachine,
    prefill_share: f64,
) -> BTreeMap<sapphirewell::ids::TargetId, EngineRole> {
    let engines: Vec<_> = entry
        .estimates()
        .iter()
        .filter(|estimate| {
            estimate.load.role.is_some() || estimate.load.target.starts_with("engine-")
        })
        .map(|estimate| estimate.load.target.clone())
        .collect();
    let prefill_count = ((engines.len() as f64 * prefill_share).round() as usize)
        .clamp(1, engines.len().max(2) - 1);
    engines
        .into_iter()
        .rev()
        .enumerate()
        .map(|(index, target)| {
            (target, if index < prefill_count { EngineRole::Prefill } else { EngineRole::Decode })
        })
        .collect()
}
