//! Replays a seeded load, called a shift, in simulation under a policy and reports its goodput.

use std::{collections::BTreeMap, time::Duration};

use sapphirewell::{entry::PlacementPolicy, side::QueueOrder};
use serde::Serialize;
use strum::{Display, EnumIter, EnumString};

use crate::{
    rig::{CallerState, Rig, RigSettings, RolePolicy},
    workload::Deployment,
};

/// A combination of placement, queue order and engine roles that can be compared with others.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, EnumString, EnumIter)]
#[strum(serialize_all = "kebab-case")]
pub enum ShiftPolicy {
    /// Places requests on the targets in turn; engines run both prefill and decode.
    RoundRobin,
    /// Places each request on the target with the fewest in flight; engines run both prefill
    /// and decode.
    LeastInFlight,
    /// Places by fewest in flight, with the best of several fixed splits into prefill and decode
    /// engines.
    StaticSplit,
    /// Places by fewest in flight; engine roles follow the demand without hysteresis.
    EagerRoles,
    /// The system's own placement, fair queue and planned roles.
    Sapphirewell,
}

/// Result of one shift under one policy.
#[derive(Debug, Clone, Serialize)]
pub struct ShiftReport {
    /// Name of the deployment.
    pub deployment: String,
    /// Name of the policy.
    pub policy: String,
    /// Seed of the load and of the simulation.
    pub seed: u64,
    /// Requests sent.
    pub offered: u64,
    /// Complete responses that arrived within the deadline.
    pub in_time: u64,
    /// `in_time` divided by `offered`.
    pub goodput: f64,
    /// Fraction of the requests that a policy without any waste could serve; see
    /// [`Deployment::fluid_bound`].
    pub bound: f64,
    /// Complete responses that arrived after the deadline.
    pub late: u64,
    /// Refused with `not_run`, which guarantees that the request had no effect.
    pub refused_not_run: u64,
    /// Refused without `not_run`, cut off, or still without a response at the end.
    pub failed: u64,
    /// Idempotency keys that took effect more than once.
    pub doubled: u64,
    /// Responses that were incomplete or belonged to another request.
    pub crossed: u64,
    /// Role changes of all engines.
    pub role_changes: u64,
    /// The requests of `in_time`, by customer.
    pub in_time_by_customer: BTreeMap<String, u64>,
    /// The requests of `offered`, by customer.
    pub offered_by_customer: BTreeMap<String, u64>,
    /// The requests of `in_time`, by kind.
    pub in_time_by_kind: BTreeMap<String, u64>,
    /// The requests of `offered`, by kind.
    pub offered_by_kind: BTreeMap<String, u64>,
    /// Number of refusals by kind and reason.
    pub reasons: BTreeMap<String, u64>,
    /// 95th percentile of the time to the first output, in milliseconds.
    pub first_output_p95_ms: u64,
    /// Median of the time to the first output, in milliseconds.
    pub first_output_p50_ms: u64,
}

/// Settings of a shift.
#[derive(Debug, Clone)]
pub struct ShiftSettings {
    /// Deployment whose customers, load and fleet are simulated.
    pub deployment: Deployment,
    /// Policy under which the load is replayed.
    pub policy: ShiftPolicy,
    /// Seed of the load and of the simulation.
    pub seed: u64,
    /// Time over which requests are sent.
    pub duration: Duration,
    /// Multiplier of the deployment's own request rate; 1.0 is the normal load.
    pub load: f64,
}

/// Time before the first request, in which processes attach and have no load to measure yet.
const WARM_UP: Duration = Duration::from_secs(2);
const FLUID_BOUND_WINDOW: Duration = Duration::from_secs(20);
/// Indexes of the prefill engines in each fixed split that is tried; the others decode.
const PREFILL_SPLITS: [&[usize]; 6] =
    [&[13, 9], &[13, 10, 5], &[13, 12, 6], &[13, 12, 9, 5], &[13, 12, 11, 8], &[13, 12, 11, 10, 7]];

/// Replays a shift. For [`ShiftPolicy::StaticSplit`], reports the split with the most requests
/// in time.
pub fn run(settings: &ShiftSettings) -> ShiftReport {
    match settings.policy {
        ShiftPolicy::StaticSplit => PREFILL_SPLITS
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

/// Replays a shift under one assignment of roles, and returns the simulation with the report.
pub fn run_once(settings: &ShiftSettings, roles: RolePolicy) -> (ShiftReport, Rig) {
    let deployment = settings.deployment;
    let (network_delay, caller_delay) = deployment.delays();
    let (placement, queue_order) = match settings.policy {
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
        network_delay,
        caller_delay,
        retention: Duration::from_secs(86_400),
        call_time: Duration::from_millis(40),
        placement,
        queue_order,
        roles,
        callers_retry: false,
    });
    let mut requests =
        deployment.requests(settings.seed, settings.duration, deployment.rate() * settings.load);
    let bound = deployment.fluid_bound(&requests, FLUID_BOUND_WINDOW);
    for request in &mut requests {
        request.at += WARM_UP;
    }
    rig.offer(requests);
    rig.run_until(settings.duration + WARM_UP + Duration::from_secs(60));
    (build_report(settings, &rig, bound), rig)
}

fn build_report(settings: &ShiftSettings, rig: &Rig, bound: f64) -> ShiftReport {
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
