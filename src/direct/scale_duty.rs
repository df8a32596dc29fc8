//! Duty of ordering the number of targets: each entry measures the need, and one orders.
//!
//! All measure, so that the next holder knows for how long the demand has lasted. See
//! [docs/design/duties.md](../../docs/design/duties.md).

use std::{
    collections::{BTreeMap, HashMap},
    time::Duration,
};

use serde::Serialize;

use super::{
    DirectAction, DirectMachine, FailureReason, OrderFencingToken, PeerTable, PostOutcome,
    RefusalMeter, RouteTable, ScaleAction, ScaleEvent, ScaleOrder, ScalePlanner, ScaleSample,
    ScaleSettings, ServiceConfig, ServiceName, StoreGeneration, TargetCount, TargetStage,
    authority::{ClaimOutcome, Duty, DutyAuthority},
    backlog::PRIORITY_COUNT,
    estimate::PlacementView,
    isolation::HeardPeers,
    room_needed,
    target::TargetState,
};
use crate::ids::{ClockTime, DataCentreId};

/// Time for which a silent peer counts among those that an entry may be cut off from. An entry
/// that knows its own load only would take targets away from all others, so it is longer than cuts
/// last.
const PEER_MEMORY: Duration = Duration::from_secs(600);
/// Time for which the holder cannot read the store until it no longer tells of its claim.
const STORE_FAILURE_TIME: Duration = Duration::from_secs(2);

/// Time after a failed order for which the store counts as failing. Where no further order is
/// needed, nothing else shows that it has returned.
const STORE_FAILURE_MEMORY: Duration = Duration::from_secs(10);

/// Orders whose claim could not be checked.
#[derive(Debug, Clone, Copy, Serialize)]
struct FailedChecks {
    first: ClockTime,
    last: ClockTime,
}

impl FailedChecks {
    /// Adds a failed check to those shortly before.
    fn add(known: Option<FailedChecks>, now: ClockTime) -> FailedChecks {
        let recent = known.filter(|checks| now <= checks.last + STORE_FAILURE_MEMORY);
        FailedChecks { first: recent.map_or(now, |checks| checks.first), last: now }
    }

    /// Returns whether the claim cannot be checked.
    fn is_cut_off(&self, now: ClockTime) -> bool {
        now >= self.first + STORE_FAILURE_TIME && now <= self.last + STORE_FAILURE_MEMORY
    }
}

/// Duty of ordering the number of targets at one entry.
#[derive(Debug, Clone, Serialize)]
pub(super) struct ScaleDuty {
    settings: ScaleSettings,
    authority: DutyAuthority,
    planner: ScalePlanner,
    heard: HeardPeers,
    refusals: HashMap<ServiceName, RefusalMeter>,
    is_ordering: bool,
    next_call: ClockTime,
    failed_checks: Option<FailedChecks>,
    /// Whether the platform takes the calls of another duty too.
    pub(super) shares_calls: bool,
}

impl ScaleDuty {
    pub(super) fn new(settings: ScaleSettings, lease: Duration) -> ScaleDuty {
        ScaleDuty {
            settings,
            authority: DutyAuthority::new(Duty::Scale, lease),
            planner: ScalePlanner::default(),
            heard: HeardPeers::new(PEER_MEMORY),
            refusals: HashMap::new(),
            is_ordering: false,
            next_call: ClockTime::ZERO,
            failed_checks: None,
            shares_calls: false,
        }
    }

    pub(super) fn configure(&mut self, routes: &RouteTable) {
        let scaled = |(name, terms): (_, &ServiceConfig)| Some((name, terms.scaling?));
        let services = || routes.services.iter().filter_map(scaled);
        self.planner.configure(services());
        let mut known = std::mem::take(&mut self.refusals);
        let meters =
            services().map(|(name, _)| (name.clone(), known.remove(name).unwrap_or_default()));
        self.refusals = meters.collect();
    }

    /// Returns whether the configuration has bounds on the number of a service's targets.
    pub(super) fn is_active(&self) -> bool {
        !self.planner.is_empty()
    }

    /// Counts a request that came to this entry, a sample of those that came to all.
    pub(super) fn record_offer(&mut self, now: ClockTime, service: &ServiceName) {
        if let Some(meter) = self.refusals.get_mut(service) {
            meter.record_offer(now);
        }
    }

    /// Counts a request that failed.
    pub(super) fn record_failure(&mut self, service: &ServiceName, reason: FailureReason) {
        let Some(meter) = self.refusals.get_mut(service) else { return };
        match reason {
            FailureReason::NoTarget
            | FailureReason::CannotMeetDeadline
            | FailureReason::Declined
            | FailureReason::CustomerShare
            | FailureReason::TargetLimit => meter.record_refusal(),
            FailureReason::OutcomeUnknown | FailureReason::TimedOut => meter.record_failure(),
            FailureReason::CrashesTargets
            | FailureReason::Stopping
            | FailureReason::StreamVersionUnknown => {}
        }
    }

    /// Returns the claim that load reports tell of. One that cannot be checked is left out, so that
    /// an entry that can reach the store claims.
    pub(super) fn reported_claim(
        &self,
        now: ClockTime,
        peers: &PeerTable,
    ) -> Option<OrderFencingToken> {
        let is_cut_off = self.failed_checks.is_some_and(|checks| checks.is_cut_off(now));
        let is_alone = self.heard.is_isolated(now, peers);
        self.authority.claim().filter(|_| !is_cut_off && !is_alone)
    }

    pub(super) fn store_restored(&mut self, now: ClockTime, generation: StoreGeneration) {
        if self.authority.store_restored(now, generation) {
            self.forget_claim();
        }
    }

    fn claim_ended(&mut self, now: ClockTime, outcome: ClaimOutcome) {
        self.authority.claim_ended(now, outcome);
        self.forget_claim();
    }

    /// Forgets what belongs to an earlier claim.
    fn forget_claim(&mut self) {
        self.planner.forget_orders();
        self.failed_checks = None;
    }

    fn order_ended(&mut self, now: ClockTime, order: &ScaleOrder, outcome: PostOutcome) {
        self.is_ordering = false;
        if self.authority.claim() != Some(order.fence) {
            return;
        }
        match outcome {
            PostOutcome::NoStore => {
                self.failed_checks = Some(FailedChecks::add(self.failed_checks, now));
            }
            PostOutcome::Superseded => self.claim_ended(now, ClaimOutcome::Superseded),
            PostOutcome::Accepted
            | PostOutcome::Refused
            | PostOutcome::NoAnswer
            | PostOutcome::CheckExpired
            | PostOutcome::NotFixed => self.failed_checks = None,
        }
        self.planner.order_ended(now, order, outcome);
    }

    fn next_order(&mut self, now: ClockTime) -> Option<ScaleOrder> {
        let fence = self.authority.fence(now)?;
        if self.is_ordering || now < self.next_call {
            return None;
        }
        let order = self.planner.next_order(now, fence)?;
        self.is_ordering = true;
        let shares = 1 + u32::from(self.shares_calls);
        self.next_call = now + self.settings.call_interval.saturating_mul(shares);
        Some(order)
    }
}

impl DirectMachine {
    /// Returns whether this entry holds the duty to order the number of targets.
    pub fn holds_scale_duty(&self) -> bool {
        self.scale.as_ref().is_some_and(|scale| scale.authority.claim().is_some())
    }

    pub(super) fn scale_event(&mut self, now: ClockTime, event: ScaleEvent) {
        let Some(scale) = &mut self.scale else { return };
        match event {
            ScaleEvent::ClaimEnded(outcome) => scale.claim_ended(now, outcome),
            ScaleEvent::OrderEnded { order, outcome } => scale.order_ended(now, &order, outcome),
        }
    }

    pub(super) fn tick_scale(&mut self, now: ClockTime, out: &mut Vec<DirectAction>) {
        let Some(scale) = self.scale.as_mut().filter(|scale| scale.is_active()) else {
            return;
        };
        scale.heard.note(now, &self.peers);
        if scale.heard.is_isolated(now, &self.peers) {
            scale.authority.hears_nothing(now);
            return scale.planner.forget_samples();
        }
        for service in scale.planner.due_samples(now) {
            self.sample_need(now, &service);
        }
        let Some(scale) = self.scale.as_mut().filter(|_| self.stop.is_none()) else { return };
        let claims = self.peers.claims(Duty::Scale, &self.settings.name);
        let held = scale.authority.claim();
        if scale.authority.should_claim(now, claims) {
            out.push(DirectAction::Scale(ScaleAction::Claim));
        }
        if scale.authority.claim() != held {
            scale.forget_claim();
        }
        if let Some(order) = scale.next_order(now) {
            out.push(DirectAction::Scale(ScaleAction::Order(order)));
        }
    }

    fn sample_need(&mut self, now: ClockTime, service: &ServiceName) {
        let of_service = self.fleet.iter().filter(|state| state.target.service == *service);
        let targets: Vec<&TargetState> = of_service.collect();
        // Without a target nothing says how much room one has.
        let need = (!targets.is_empty()).then(|| self.targets_needed(now, service, &targets));
        let mut listed: BTreeMap<DataCentreId, TargetCount> = BTreeMap::new();
        for target in targets.iter().map(|state| &state.target) {
            *listed.entry(target.data_centre.clone()).or_default() +=
                TargetCount::from(!target.leaving);
        }
        let Some(scale) = &mut self.scale else { return };
        // A peer that is not heard may serve as many requests as before.
        let has_silent_peers = scale.heard.silent(now, &self.peers).next().is_some();
        let has_failures = scale.refusals.get(service).is_some_and(|meter| meter.has_failures(now));
        let may_be_more = has_silent_peers || has_failures;
        scale.planner.add_sample(now, service, &ScaleSample { need, may_be_more, listed });
    }

    /// Returns the targets that the requests of a service need now.
    fn targets_needed(
        &self,
        now: ClockTime,
        service: &ServiceName,
        targets: &[&TargetState],
    ) -> f32 {
        let view =
            PlacementView { fleet: &self.fleet, peers: &self.peers, limits: &self.limits, now };
        let refusals = self.scale.as_ref().and_then(|scale| scale.refusals.get(service));
        let factor = refusals.map_or(1.0, RefusalMeter::factor);
        let of_stage = |stage: TargetStage| -> Vec<&TargetState> {
            targets.iter().copied().filter(|state| state.target.stage == stage).collect()
        };
        let plain = of_stage(TargetStage::Plain);
        let running: f32 = plain.iter().map(|state| view.in_flight(state).running as f32).sum();
        let slots: f32 = plain.iter().map(|state| state.target.slots as f32).sum();
        let mean_slots = slots / (plain.len() as f32).max(1.0);
        // An engine prefills one prompt after the other, as if it had a single slot.
        let prefill = of_stage(TargetStage::Prefill);
        let is_busy = |state: &&&TargetState| view.prefill_wait(state, PRIORITY_COUNT) > 0.0;
        let busy = prefill.iter().filter(is_busy).count() as f32;
        let decode = self.decode_engines_needed(&view, &of_stage(TargetStage::Decode)) * factor;
        room_needed(running * factor) / mean_slots.max(1.0) + room_needed(busy * factor) + decode
    }
}
