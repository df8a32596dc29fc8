//! Checks the invariants that must hold under every fault.

use std::collections::{BTreeMap, BTreeSet};

use sapphirewell::{
    frame::PlaceFrame,
    ids::{AttemptId, ClockTime, ContractRevision, CustomerId, FencingToken, RequestId},
    suspect::MAX_CRASHES,
};
use strum::{Display, EnumIter};

use super::{
    CallerState, Rig,
    nodes::{NodeId, vm_name},
};

/// Time after which a leaving target must not get new work.
pub const MAX_LEAVING_DELAY: std::time::Duration = std::time::Duration::from_secs(3);
/// Time within which an accepted contract must be in force at every node.
pub const MAX_IN_FORCE_DELAY: std::time::Duration = std::time::Duration::from_secs(6);

/// An invariant of the system.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Display, EnumIter)]
#[strum(serialize_all = "snake_case")]
pub enum RuleName {
    /// A non-idempotent request takes effect at most once.
    AtMostOnce,
    /// A request refused as "not run" had no effect.
    TrueNotRun,
    /// An answer is complete and belongs to the caller's own request.
    WholeOwnAnswer,
    /// An accepted contract is in force at every node within [`MAX_IN_FORCE_DELAY`].
    InForce,
    /// No node goes back to an earlier revision of a contract.
    NeverReverts,
    /// An engine gets no order with an older fencing token than one it has seen, unless it checks
    /// tokens itself.
    NoConflictingOrders,
    /// A leaving target gets no new work after [`MAX_LEAVING_DELAY`].
    LeavingTarget,
    /// A planned change interrupts no request.
    PlannedCutsNothing,
    /// A poison request crashes a limited number of targets.
    BoundedCrashes,
    /// Every request ends within twice its deadline after it was last sent.
    Ends,
}

/// Observed breach of a rule.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RuleBreach {
    /// The rule that was broken.
    pub rule: RuleName,
    /// Description of the observation.
    pub seen: String,
}

/// Observations needed to check the rules, and the breaches found so far.
#[derive(Default)]
pub(crate) struct RuleChecker {
    effect_requests: BTreeSet<RequestId>,
    not_run_requests: BTreeSet<RequestId>,
    revisions: BTreeMap<(NodeId, CustomerId), ContractRevision>,
    highest_fences: BTreeMap<usize, FencingToken>,
    leaving: BTreeMap<usize, ClockTime>,
    crash_count: u32,
    /// Contract changes by racing operators, each with its time, customer and winning revision.
    pub(crate) accepted_revisions: Vec<(ClockTime, CustomerId, ContractRevision)>,
    /// Whether only planned changes are injected, so that no request may be interrupted.
    pub(crate) planned_only: bool,
    breaches: Vec<RuleBreach>,
}

impl RuleChecker {
    pub(super) fn record_effect(&mut self, attempt: AttemptId) {
        self.effect_requests.insert(attempt.request);
        self.check_not_run(attempt.request);
    }

    pub(super) fn record_not_run(&mut self, id: RequestId) {
        self.not_run_requests.insert(id);
        self.check_not_run(id);
    }

    pub(super) fn record_breach(&mut self, rule: RuleName, seen: String) {
        self.breaches.push(RuleBreach { rule, seen });
    }

    pub(super) fn mark_leaving(&mut self, side: usize, now: ClockTime) {
        self.leaving.entry(side).or_insert(now);
    }

    /// Clears a side's leaving mark, as a new process has replaced it.
    pub(super) fn unmark_leaving(&mut self, side: usize) {
        self.leaving.remove(&side);
    }

    fn check_not_run(&mut self, id: RequestId) {
        if self.not_run_requests.contains(&id) && self.effect_requests.contains(&id) {
            self.record_breach(RuleName::TrueNotRun, format!("request {}", id.sequence));
        }
    }
}

impl Rig {
    pub(super) fn check_contract_revisions(&mut self, node: NodeId) {
        let seen: Vec<(CustomerId, ContractRevision)> = self
            .base(node)
            .fleet
            .view()
            .contracts
            .iter()
            .map(|(customer, entry)| (customer.clone(), entry.revision))
            .collect();
        for (customer, revision) in seen {
            let known = self.rule_checker.revisions.entry((node, customer.clone())).or_insert(0);
            if revision < *known {
                let seen = format!("{customer} went from {known} back to {revision} at {node:?}");
                self.rule_checker.record_breach(RuleName::NeverReverts, seen);
            } else {
                *known = revision;
            }
        }
    }

    pub(super) fn check_role_order(&mut self, engine: usize, fence: FencingToken) {
        let highest = self.rule_checker.highest_fences.entry(engine).or_insert(0);
        let newest = *highest;
        *highest = newest.max(fence);
        let checks = self.engines[engine].model.profile().checks_fence;
        if fence < newest && !checks {
            let seen = format!("engine {engine} got an order under {fence} after {newest}");
            self.rule_checker.record_breach(RuleName::NoConflictingOrders, seen);
        }
    }

    pub(super) fn check_start(&mut self, side: usize, place: &PlaceFrame) {
        let Some(since) = self.rule_checker.leaving.get(&side) else { return };
        if self.now > *since + MAX_LEAVING_DELAY {
            let seen = format!(
                "{} started {} at a leaving target",
                vm_name(side),
                place.attempt.request.sequence
            );
            self.rule_checker.record_breach(RuleName::LeavingTarget, seen);
        }
    }

    pub(super) fn count_crash(&mut self, _engine: usize) {
        self.rule_checker.crash_count += 1;
    }

    /// Returns all breaches, including those that only a check of the final state finds.
    pub(super) fn collect_breaches(&self) -> Vec<RuleBreach> {
        let mut breaches = self.rule_checker.breaches.clone();
        let mut add = |rule, seen| breaches.push(RuleBreach { rule, seen });
        for (key, count) in self.effects() {
            if count > 1 {
                add(RuleName::AtMostOnce, format!("{key} took effect {count} times"));
            }
        }
        let poisons = self.callers().iter().filter(|record| record.poison).count() as u32;
        if self.rule_checker.crash_count > poisons * u32::from(MAX_CRASHES) {
            add(
                RuleName::BoundedCrashes,
                format!("{} crashes by {poisons} requests", self.rule_checker.crash_count),
            );
        }
        for (index, record) in self.callers().iter().enumerate() {
            match record.state {
                CallerState::Wrong => add(RuleName::WholeOwnAnswer, format!("caller {index}")),
                CallerState::Cut if self.rule_checker.planned_only => {
                    add(RuleName::PlannedCutsNothing, format!("caller {index}"));
                }
                CallerState::Refused { reason, .. }
                    if self.rule_checker.planned_only && is_cut(reason) =>
                {
                    add(RuleName::PlannedCutsNothing, format!("caller {index} {reason}"));
                }
                CallerState::Open
                    if record.last_sent + record.request.deadline * 2 < self.now() =>
                {
                    add(RuleName::Ends, format!("caller {index} of {}", record.request.kind));
                }
                _ => {}
            }
        }
        breaches
    }

    /// Checks that every running node has at least a revision of a contract.
    pub(crate) fn check_in_force(&mut self, customer: &CustomerId, revision: ContractRevision) {
        for node in self.node_ids() {
            if !self.is_running(node) {
                continue;
            }
            let known = self
                .base(node)
                .fleet
                .view()
                .contracts
                .get(customer)
                .map_or(0, |entry| entry.revision);
            if known < revision {
                let seen = format!("{customer} at {known} instead of {revision} at {node:?}");
                self.rule_checker.record_breach(RuleName::InForce, seen);
            }
        }
    }
}

/// Returns whether a refusal for this reason counts as an interruption by a planned change.
fn is_cut(reason: sapphirewell::request::RefusalReason) -> bool {
    use sapphirewell::request::RefusalReason;
    matches!(
        reason,
        RefusalReason::Stopping
            | RefusalReason::NoTarget
            | RefusalReason::TargetFailed
            | RefusalReason::OutcomeUnknown
            | RefusalReason::DeadlineExceeded
    )
}
