//! `emulator shift`: replays a seeded shift under a policy and reports goodput.

use std::{collections::BTreeMap, time::Duration};

use sapphirewell::{entry::PlacementPolicy, side::QueueOrder};
use serde::Serialize;
use strum::{Display, EnumIter, EnumString};

use crate::{
    rig::{CallerState, Rig, RigSettings, RolePolicy},
    workload::Deployment,
};

/// Policies that can be compared.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, EnumString, EnumIter)]
#[strum(serialize_all = "kebab-case")]
pub enum ShiftPolicy {
    /// Targets in turn.
    RoundRobin,
    /// The target with the fewest requests.
    LeastInFlight,
    /// The best fixed split, which is found by trying.
    StaticSplit,
    /// Roles follow the demand at once.
    EagerRoles,
    /// The system.
    Sapphirewell,
}

/// Result of one shift.
#[derive(Debug, Clone, Serialize)]
pub struct ShiftReport {
    /// The deployment.
    pub deployment: String,
    /// The policy.
    pub policy: String,
    /// The seed.
    pub seed: u64,
    /// Requests sent.
    pub offered: u64,
    /// Answered whole and in time.
    pub in_time: u64,
    /// `in_time` as a part of `offered`.
    pub goodput: f64,
    /// Part that a policy could serve which wastes nothing.
    pub bound: f64,
    /// Answered whole, too late.
    pub late: u64,
    /// Refused with `not_run`.
    pub refused_not_run: u64,
    /// Ended otherwise.
    pub failed: u64,
    /// Effects that happened more than once.
    pub doubled: u64,
    /// Wrong answers.
    pub crossed: u64,
    /// Role changes of all engines.
    pub role_changes: u64,
    /// Answered in time, by customer.
    pub in_time_by_customer: BTreeMap<String, u64>,
    /// Offered, by customer.
    pub offered_by_customer: BTreeMap<String, u64>,
    /// Answered in time, by kind.
    pub in_time_by_kind: BTreeMap<String, u64>,
    /// Offered, by kind.
    pub offered_by_kind: BTreeMap<String, u64>,
    /// Reasons of refusals.
    pub reasons: BTreeMap<String, u64>,
    /// 95th percentile of the time to the first output, in milliseconds.
    pub first_output_p95_ms: u64,
    /// Median of the same.
    pub first_output_p50_ms: u64,
}

/// What a shift is made of.
#[derive(Debug, Clone)]
pub struct ShiftSettings {
    /// The deployment.
    pub deployment: Deployment,
    /// The policy.
    pub policy: ShiftPolicy,
    /// The seed.
    pub seed: u64,
    /// Length.
    pub duration: Duration,
    /// Load relative to the deployment's own.
    pub load: f64,
}

/// Time before the first request, in which processes attach and measure nothing yet.
const WARM_UP: Duration = Duration::from_secs(2);
const FLUID_WINDOW: Duration = Duration::from_secs(20);
/// Engines that only read, in the fixed splits that are tried.
const SPLITS: [&[usize]; 6] =
    [&[13, 9], &[13, 10, 5], &[13, 12, 6], &[13, 12, 9, 5], &[13, 12, 11, 8], &[13, 12, 11, 10, 7]];

/// Replays a shift. For the fixed split, the best of several is reported.
pub fn run(settings: &ShiftSettings) -> ShiftReport {
    match settings.policy {
        ShiftPolicy::StaticSplit => SPLITS
            .iter()
            .map(|split| run_once(settings, RolePolicy::StaticSplit(split.to_vec())).0)
            .max_by_key(|report| report.in_time)
            .unwrap_or_else(|| run_once(settings, RolePolicy::AllMixed).0),
        ShiftPolicy::RoundRobin | ShiftPolicy::LeastInFlight => {
            run_once(settings, RolePolicy::AllMixed).0
        }
        ShiftPolicy::EagerRoles => run_once(settings, RolePolicy::Eager).0,
        ShiftPolicy::Sapphirewell => run_once(settings, RolePolicy::Planned).0,
    }
}

/// Replays a shift under one assignment of roles, and returns the rig too.
pub fn run_once(settings: &ShiftSettings, roles: RolePolicy) -> (ShiftReport, Rig) {
    let deployment = settings.deployment;
    let (delay, caller_delay) = deployment.delays();
    let (placement, order) = match settings.policy {
        ShiftPolicy::RoundRobin => (PlacementPolicy::RoundRobin, QueueOrder::Fifo),
        ShiftPolicy::LeastInFlight | ShiftPolicy::StaticSplit | ShiftPolicy::EagerRoles => {
            (PlacementPolicy::LeastInFlight, QueueOrder::Fifo)
        }
        ShiftPolicy::Sapphirewell => (PlacementPolicy::EarliestEnd, QueueOrder::Fair),
    };
    let mut rig = Rig::new(RigSettings {
        seed: settings.seed,
        entries: 2,
        engines: deployment.engines(),
        services: deployment.services(),
        contracts: deployment.contracts(),
        network_delay: delay,
        caller_delay,
        retention: Duration::from_secs(86_400),
        call_time: Duration::from_millis(40),
        placement,
        queue_order: order,
        roles,
        callers_retry: false,
    });
    let mut requests =
        deployment.requests(settings.seed, settings.duration, deployment.rate() * settings.load);
    let bound = deployment.fluid_bound(&requests, FLUID_WINDOW);
    for request in &mut requests {
        request.at += WARM_UP;
    }
    rig.offer(requests);
    rig.run_until(settings.duration + WARM_UP + Duration::from_secs(60));
    (report(settings, &rig, bound), rig)
}

fn report(settings: &ShiftSettings, rig: &Rig, bound: f64) -> ShiftReport {
    let mut report = ShiftReport {
        deployment: settings.deployment.to_string(),
        policy: settings.policy.to_string(),
        seed: settings.seed,
        offered: rig.callers().len() as u64,
        in_time: 0,
        goodput: 0.0,
        bound,
        late: 0,
        refused_not_run: 0,
        failed: 0,
        doubled: rig.effects().values().filter(|count| **count > 1).count() as u64,
        crossed: 0,
        role_changes: rig.role_changes(),
        in_time_by_customer: BTreeMap::new(),
        offered_by_customer: BTreeMap::new(),
        in_time_by_kind: BTreeMap::new(),
        offered_by_kind: BTreeMap::new(),
        reasons: BTreeMap::new(),
        first_output_p95_ms: 0,
        first_output_p50_ms: 0,
    };
    let mut first_outputs: Vec<u64> = Vec::new();
    for record in rig.callers() {
        let customer = record.request.customer.to_string();
        let kind = record.request.kind.to_string();
        *report.offered_by_customer.entry(customer.clone()).or_default() += 1;
        *report.offered_by_kind.entry(kind.clone()).or_default() += 1;
        first_outputs.extend(record.first_output.map(|time| time.as_millis() as u64));
        match &record.state {
            CallerState::Whole(_) if record.is_in_time() => {
                report.in_time += 1;
                *report.in_time_by_customer.entry(customer).or_default() += 1;
                *report.in_time_by_kind.entry(kind).or_default() += 1;
            }
            CallerState::Whole(_) => report.late += 1,
            CallerState::Refused { reason, not_run } => {
                *report.reasons.entry(format!("{kind} {reason}")).or_default() += 1;
                if *not_run { report.refused_not_run += 1 } else { report.failed += 1 }
            }
            CallerState::Wrong => report.crossed += 1,
            CallerState::Open | CallerState::Cut => report.failed += 1,
        }
    }
    report.goodput = report.in_time as f64 / report.offered.max(1) as f64;
    first_outputs.sort_unstable();
    report.first_output_p95_ms = quantile(&first_outputs, 95);
    report.first_output_p50_ms = quantile(&first_outputs, 50);
    report
}

fn quantile(sorted: &[u64], percent: usize) -> u64 {
    if sorted.is_empty() { 0 } else { sorted[(sorted.len() - 1) * percent / 100] }
}
