//! State machine of an entry that calls targets directly.

use std::{
    collections::{BTreeSet, HashMap, HashSet, VecDeque},
    sync::Arc,
    time::Duration,
};

use rand::{RngExt, SeedableRng, rngs::SmallRng};
use serde::Serialize;

use super::{
    CachedSegment, CallNumber, ClaimOutcome, CrashSuspect, DirectAction, DirectEvent,
    DirectRequest, EngineConfig, FailureReason, FlowId, PeerName, PeerTable, RequestFailure,
    RequestTrace, RetryPolicy, RetryWindow, RouteTable, ScaleSettings, ServiceName, ShareTable,
    StreamId, StreamPace, SuspectReport, TargetChange, TargetFleet, TargetUsage, TypicalTime,
    UsageSettings,
    authority::{Duty, DutyAuthority},
    estimate::{Placement, PlacementQuery, PlacementView, StreamPart, call_step},
    flow::{DirectFlow, OpenCall, StepKind, longest_shared_segment},
    limit::LimitTable,
    prefix_copy::PrefixCopy,
    returning::ReturnEstimator,
    scale_duty::ScaleDuty,
    stage_plan::StagePlanner,
    stop::StopPlan,
    stream::OriginTable,
    suspect_table::SuspectTable,
    usage_duty::UsageDuty,
    waiting::{allowed_wait, late_wait, patience, priority},
};
use crate::ids::{ClockTime, DataCentreId, TargetId};

/// Maximum number of calls for one request, including declined ones.
const MAX_CALLS: CallNumber = 5;
/// Time after a route's timeout in which a target's last response may still arrive.
pub(super) const TIMEOUT_GRACE: Duration = Duration::from_millis(150);
/// Minimum time left to start a call.
pub(super) const MIN_CALL_TIME: Duration = Duration::from_millis(20);
/// Bounds of the retry delay that is sent to callers, before it is randomized.
const RETRY_AFTER_BOUNDS: (Duration, Duration) =
    (Duration::from_millis(100), Duration::from_secs(2));
/// Factors between which a retry delay is drawn.
const RETRY_SPREAD: (f64, f64) = (0.75, 1.5);
/// Retry delay of requests that no known target can serve.
pub(super) const NO_TARGET_DELAY: Duration = Duration::from_millis(500);
/// Minimum number of entries among which the retry slack and connections are divided.
const MIN_ENTRIES: usize = 4;
/// Interval at which expired suspects are removed.
const EXPIRY_INTERVAL: Duration = Duration::from_secs(5);

/// Settings of a [`DirectMachine`].
#[derive(Debug, Clone, Serialize)]
pub struct DirectSettings {
    /// Name of this process among the entries.
    pub name: PeerName,
    /// Random number that identifies this start of the process.
    pub instance: u64,
    /// Seed of the random number generator.
    pub seed: u64,
    /// Data centre that this process runs in.
    pub data_centre: DataCentreId,
    /// Retries that all entries may make, relative to the requests in the window.
    pub retry_ratio: f64,
    /// Additional retries in the window, shared by all entries.
    pub retry_slack: f64,
    /// Length of the retry window.
    pub retry_window: Duration,
    /// Time within which no two processes may alternate in ordering an engine.
    pub lease: Duration,
    /// Time within which nothing may be sent any more to a target whose leaving was recorded.
    pub drain_bound: Duration,
    /// When customers' usage is reported; `None` if that is not a duty here.
    pub usage: Option<UsageSettings>,
    /// How the number of targets is ordered; `None` if that is not a duty here.
    pub scale: Option<ScaleSettings>,
}

/// State machine of an entry that calls targets directly.
#[derive(Debug, Serialize)]
pub struct DirectMachine {
    pub(super) settings: DirectSettings,
    #[serde(skip)]
    rng: SmallRng,
    pub(super) routes: Option<Arc<RouteTable>>,
    pub(super) fleet: TargetFleet,
    pub(super) peers: PeerTable,
    #[serde(rename = "most_entries")]
    pub(super) max_entries: usize,
    #[serde(rename = "segments")]
    pub(super) suspects: SuspectTable,
    pub(super) limits: LimitTable,
    pub(super) shares: ShareTable,
    budgets: HashMap<ServiceName, RetryWindow>,
    #[serde(skip)]
    pub(super) flows: HashMap<FlowId, DirectFlow>,
    #[serde(skip)]
    pub(super) timeouts: BTreeSet<(ClockTime, FlowId)>,
    /// Times left to the requests of each route, by its name.
    #[serde(skip)]
    pub(super) returns: HashMap<Arc<str>, ReturnEstimator>,
    #[serde(rename = "reports")]
    pub(super) report_count: u64,
    /// Segments that targets have cached lately, each with the number of reports before.
    #[serde(skip)]
    pub(super) recent_segments: VecDeque<(u64, CachedSegment)>,
    /// Targets in the previous load report.
    #[serde(skip)]
    pub(super) last_reported: HashMap<TargetId, TargetUsage>,
    #[serde(rename = "next_forget")]
    next_expiry: ClockTime,
    #[serde(skip)]
    pub(super) next_version_check: ClockTime,
    /// Time of the first event.
    pub(super) started: Option<ClockTime>,
    #[serde(skip)]
    pub(super) origins: OriginTable,
    /// Requests that wait for the origin of their stream.
    #[serde(skip)]
    pub(super) querying: Vec<FlowId>,
    pub(super) authority: DutyAuthority,
    /// Reports of customers' usage, where they are a duty.
    pub(super) usage: Option<UsageDuty>,
    /// Orders for the number of targets, where they are a duty.
    pub(super) scale: Option<ScaleDuty>,
    pub(super) planner: StagePlanner,
    /// Times of requests by the name of their route.
    #[serde(skip)]
    pub(super) request_times: HashMap<Arc<str>, TypicalTime>,
    /// Events of whole streams, by route.
    pub(super) stream_paces: HashMap<Arc<str>, StreamPace>,
    /// Stop of this process, once it was requested.
    pub(super) stop: Option<StopPlan>,
}

impl DirectMachine {
    /// Creates a machine without a configuration and without targets.
    pub fn new(settings: DirectSettings) -> DirectMachine {
        DirectMachine {
            rng: SmallRng::seed_from_u64(settings.seed),
            authority: DutyAuthority::new(Duty::Engines, settings.lease),
            usage: settings
                .usage
                .clone()
                .map(|usage| UsageDuty::new(usage, settings.lease, settings.instance)),
            scale: settings.scale.clone().map(|scale| ScaleDuty::new(scale, settings.lease)),
            suspects: SuspectTable::new(settings.instance),
            planner: StagePlanner::default(),
            fleet: TargetFleet::new(settings.drain_bound),
            settings,
            routes: None,
            peers: PeerTable::default(),
            max_entries: MIN_ENTRIES,
            limits: LimitTable::default(),
            shares: ShareTable::default(),
            budgets: HashMap::new(),
            flows: HashMap::new(),
            timeouts: BTreeSet::new(),
            returns: HashMap::new(),
            report_count: 0,
            recent_segments: VecDeque::new(),
            last_reported: HashMap::new(),
            next_expiry: ClockTime::ZERO,
            next_version_check: ClockTime::ZERO,
            started: None,
            origins: OriginTable::default(),
            querying: Vec::new(),
            request_times: HashMap::new(),
            stream_paces: HashMap::new(),
            stop: None,
        }
    }

    /// Returns the name of this process among the entries.
    pub fn name(&self) -> &PeerName {
        &self.settings.name
    }

    /// Returns the configuration in force, or `None` before one was read.
    pub fn routes(&self) -> Option<&Arc<RouteTable>> {
        self.routes.as_ref()
    }

    /// Returns the known targets.
    pub fn fleet(&self) -> &TargetFleet {
        &self.fleet
    }

    /// Returns the number of requests that have not ended.
    pub fn in_flight(&self) -> usize {
        self.flows.len()
    }

    /// Returns the number of live peers.
    pub fn peer_count(&self) -> usize {
        self.peers.len()
    }

    /// Returns whether requests can be served: a configuration and a target are known.
    pub fn is_ready(&self) -> bool {
        self.routes.is_some() && !self.fleet.is_empty()
    }

    /// Returns how many connections this process may open to a target of a service:
    /// its share of the connections that the target accepts from all entries.
    pub fn connection_limit(&self, service: &ServiceName) -> usize {
        let config = self.routes.as_ref().and_then(|routes| routes.services.get(service));
        let accepted = config.map_or(u32::MAX, |config| config.max_connections) as usize;
        (accepted / self.max_entries).max(1)
    }

    /// Returns what peers have to know of suspects that may crash targets.
    pub fn suspect_report(&self, now: ClockTime) -> SuspectReport {
        self.suspects.report(now, self.peers.len())
    }

    /// Returns the suspects with which requests are not sent.
    pub fn blocked_suspects(&self, now: ClockTime) -> impl Iterator<Item = &CrashSuspect> {
        self.suspects.blocked(now)
    }

    /// Returns the trace of a request that has not ended.
    pub fn trace(&self, now: ClockTime, flow: FlowId) -> Option<RequestTrace> {
        self.flows.get(&flow).map(|flow| flow.full_trace(now))
    }

    /// Returns the ids and traces of the requests that have not ended.
    pub fn unfinished(&self, now: ClockTime) -> Vec<(StreamId, RequestTrace)> {
        let flows = self.flows.values();
        flows.map(|flow| (flow.request.id.clone(), flow.full_trace(now))).collect()
    }

    /// Processes one event and appends the resulting actions to `out`.
    pub fn step(&mut self, now: ClockTime, event: DirectEvent, out: &mut Vec<DirectAction>) {
        self.started.get_or_insert(now);
        match event {
            DirectEvent::Submit { flow, request } => self.submit(now, flow, request, out),
            DirectEvent::CallEnded { flow, call, outcome } => {
                self.call_ended(now, flow, call, outcome, out);
            }
            DirectEvent::FirstOutput { flow } => self.first_output(now, flow, out),
            DirectEvent::StreamEnded { flow, events } => self.stream_ended(now, flow, events),
            DirectEvent::AnswerInterrupted { flow } => self.answer_interrupted(now, flow, out),
            DirectEvent::AnswerMalformed { flow } => self.answer_malformed(flow),
            DirectEvent::FlowEnded { flow, complete } => self.flow_ended(now, flow, complete, out),
            DirectEvent::Target(change) => {
                if matches!(change, TargetChange::Snapshot { .. }) {
                    out.push(DirectAction::ReadVersions);
                }
                self.fleet.apply(now, change);
            }
            DirectEvent::TargetsRead { age } => {
                self.fleet.list_read(now.saturating_sub(age));
                self.continue_waiting(now, out);
            }
            DirectEvent::StoredVersions(records) => {
                self.fleet.versions.load(now, records);
                self.continue_waiting(now, out);
            }
            DirectEvent::TargetClosed { target, time } => {
                if let Some(state) = self.fleet.get_mut(&target) {
                    state.close(now + time);
                }
            }
            DirectEvent::TargetResponded { start, limit, called } => {
                self.limit_stated(now, start, limit, called);
            }
            DirectEvent::TargetLeaving(leaving) => self.fleet.mark_leaving(now, leaving),
            DirectEvent::Routes(routes) => self.apply_routes(routes),
            DirectEvent::PeerLoad(report) => self.peer_load(now, report),
            DirectEvent::PeerShares(report) => self.peer_shares(now, report),
            DirectEvent::Suspects(report) => {
                for crash in &report.crashes {
                    self.fleet.doubt_start(now.saturating_sub(crash.age), &crash.start);
                }
                for (start, age) in &report.survivors {
                    self.fleet.confirm_start(now.saturating_sub(*age), start);
                }
                self.suspects.apply(now, &report);
            }
            DirectEvent::StoredSuspects { blocked, is_restored: true } => {
                self.suspects.restore_blocks(now, &blocked);
            }
            DirectEvent::StoredSuspects { blocked, is_restored: false } => {
                blocked.iter().for_each(|block| self.suspects.adopt_block(now, block, true));
            }
            DirectEvent::StoredEvidence { evidence, is_restored } => {
                if is_restored {
                    self.suspects.forget_stored_evidence();
                }
                self.suspects.load_evidence(now, evidence);
            }
            DirectEvent::TargetProbed { start, age, gone } => {
                let asked = now.saturating_sub(age);
                if gone {
                    self.fleet.doubt_start(asked, &start);
                }
                self.suspects.target_probed(&start, asked, gone);
            }
            DirectEvent::UnframedAnswer { flow } => {
                if let Some(flow) = self.flows.get_mut(&flow) {
                    flow.unframed = true;
                }
            }
            DirectEvent::StreamMessage { peer, message } => {
                self.stream_message(now, peer, message, out);
            }
            DirectEvent::StoreRestored(generation) => self.store_restored(now, generation),
            DirectEvent::ClaimEnded(outcome) => self.claim_ended(now, outcome),
            DirectEvent::Usage(event) => self.usage_event(now, event, out),
            DirectEvent::Scale(event) => self.scale_event(now, event),
            DirectEvent::OrderEnded { target, outcome } => {
                self.planner.order_ended(now, &target, outcome);
            }
            DirectEvent::StopRequested { time } => self.begin_stop(now, time),
            DirectEvent::StopTimeOver => self.end_stop(out),
            DirectEvent::Tick => self.tick(now, out),
        }
    }

    /// Applies a configuration if it is newer than the one in force.
    fn apply_routes(&mut self, routes: Arc<RouteTable>) {
        let newer = self.routes.as_ref().is_none_or(|known| known.version < routes.version);
        if newer {
            let names: HashSet<&Arc<str>> = routes.routes.iter().map(|route| &route.name).collect();
            self.returns.retain(|name, _| names.contains(name));
            if let Some(scale) = &mut self.scale {
                scale.configure(&routes);
            }
            self.share_duty_calls(&routes);
            self.routes = Some(routes);
        }
    }

    /// Halves the calls of each duty to the platform where two entries may make them.
    fn share_duty_calls(&mut self, routes: &RouteTable) {
        let (Some(usage), Some(scale)) = (&mut self.usage, &mut self.scale) else { return };
        let are_both_active = routes.customers.is_some() && scale.is_active();
        usage.shares_calls = are_both_active;
        scale.shares_calls = are_both_active;
    }

    fn submit(
        &mut self,
        now: ClockTime,
        id: FlowId,
        request: Box<DirectRequest>,
        out: &mut Vec<DirectAction>,
    ) {
        let route = request.route.clone();
        let service = self.pick_service(&request);
        self.budget(&service).count_request(now);
        self.limits.record_demand(now, &service);
        if let Some(scale) = &mut self.scale {
            scale.record_offer(now, &service);
        }
        let timeout_at = now + route.timeout;
        let version = self.routes.as_ref().map_or(0, |routes| routes.version);
        let returns = self.returns.entry(route.name.clone()).or_default();
        let waited = returns.request_arrived(request.time_left);
        let prompt = request.prompt.as_ref();
        let shared_segment = prompt.map_or_else(String::new, longest_shared_segment);
        let trace = RequestTrace {
            route: route.name.clone(),
            customer: request.customer.as_ref().map(|customer| customer.name.clone()),
            resumes: request
                .resumes
                .as_ref()
                .map(|resume| resume.stream.clone().unwrap_or_default()),
            version,
            shared_segment,
            objective_ms: route.objective.saturating_sub(waited).as_millis() as u64,
            ..RequestTrace::default()
        };
        let resumes = request.resumes.is_some();
        let flow = DirectFlow {
            late: waited >= route.objective,
            deadline: now + request.time_left,
            objective: (now + route.objective).saturating_sub(waited),
            request,
            service,
            version: None,
            origin_query: None,
            arrived: now,
            timeout_at,
            calls: 0,
            runs: 0,
            tried: Default::default(),
            failed_sources: Default::default(),
            call: None,
            cache: None,
            reserved: None,
            may_have_run: false,
            is_counted: false,
            admitted_seconds: 0.0,
            unframed: false,
            trace,
        };
        self.flows.insert(id, flow);
        self.timeouts.insert((timeout_at + TIMEOUT_GRACE, id));
        if resumes {
            self.resume(now, id, out);
        } else {
            self.place(now, id, out);
        }
    }

    fn pick_service(&mut self, request: &DirectRequest) -> ServiceName {
        let services = &request.route.services;
        let total: u32 = services.iter().map(|s| s.weight).sum();
        let mut drawn = self.rng.random_range(0..total.max(1));
        for weighted in services {
            if drawn < weighted.weight {
                return weighted.service.clone();
            }
            drawn -= weighted.weight;
        }
        services.first().map_or_else(|| "".into(), |weighted| weighted.service.clone())
    }

    fn budget(&mut self, service: &ServiceName) -> &mut RetryWindow {
        let (span, ratio) = (self.settings.retry_window, self.settings.retry_ratio);
        self.budgets.entry(service.clone()).or_insert_with(|| RetryWindow::new(span, ratio))
    }

    pub(super) fn spend_retry(&mut self, now: ClockTime, id: FlowId) -> bool {
        let slack = self.settings.retry_slack / self.max_entries as f64;
        let Some(flow) = self.flows.get(&id) else { return false };
        let service = flow.service.clone();
        self.budget(&service).spend(now, slack)
    }

    /// Places a request that has not run or may run again, or fails it.
    pub(super) fn place(&mut self, now: ClockTime, id: FlowId, out: &mut Vec<DirectAction>) {
        let Some(flow) = self.flows.get(&id) else { return };
        if self.crashes_targets(now, flow) {
            return self.fail_request(id, FailureReason::CrashesTargets, Duration::MAX, out);
        }
        if flow.time_left(now) < MIN_CALL_TIME {
            return self.fail_request(id, FailureReason::TimedOut, Duration::ZERO, out);
        }
        if flow.calls >= MAX_CALLS {
            return self.fail_request(id, FailureReason::Declined, Duration::ZERO, out);
        }
        let Some(mut placement) = self.choose(now, id) else {
            return self.fail_without_target(now, id, out);
        };
        let Some(flow) = self.flows.get(&id) else { return };
        let allowed = allowed_wait(now, flow);
        let shared = self.shared_wait(now, id, &placement, allowed);
        let admitted = self.admit(now, id, &placement, allowed);
        if let Err(excess) = admitted {
            let Some(late) = self.place_late(now, id) else {
                return self.fail_request(id, FailureReason::CannotMeetDeadline, excess, out);
            };
            placement = late;
        } else if placement.waiting() > shared {
            let excess = placement.waiting().saturating_sub(shared);
            return self.fail_request(id, FailureReason::CustomerShare, excess, out);
        }
        if self.reject_while_stopping(now, id, &placement, out) {
            return;
        }
        // What is served late uses room that is left over, which is nobody's share.
        if admitted.is_ok() {
            self.record_admission(now, id, &placement);
        }
        self.call(now, id, placement, out);
    }

    /// Returns by how much the wait exceeds what the request is allowed, if it does.
    fn admit(
        &mut self,
        now: ClockTime,
        id: FlowId,
        placement: &Placement,
        allowed: Duration,
    ) -> Result<(), Duration> {
        let Some(flow) = self.flows.get_mut(&id) else { return Ok(()) };
        flow.trace.estimate_ms = placement.expected().as_millis() as u64;
        flow.trace.waiting_ms = placement.waiting().as_millis() as u64;
        let bound = if flow.late { patience(now, flow) } else { flow.time_left(now) };
        if placement.expected() >= bound || placement.waiting() > allowed {
            return Err(placement.waiting().saturating_sub(allowed));
        }
        Ok(())
    }

    /// Places a request that cannot be in time any more behind all that can, if its caller is
    /// expected to wait for it.
    fn place_late(&mut self, now: ClockTime, id: FlowId) -> Option<Placement> {
        let flow = self.flows.get_mut(&id)?;
        let (bound, patience) = (late_wait(now, flow)?, patience(now, flow));
        let was_late = std::mem::replace(&mut flow.late, true);
        let placement = self
            .choose(now, id)
            .filter(|placement| placement.waiting() < bound && placement.expected() < patience);
        let flow = self.flows.get_mut(&id)?;
        match &placement {
            Some(placement) => {
                flow.trace.estimate_ms = placement.expected().as_millis() as u64;
                flow.trace.waiting_ms = placement.waiting().as_millis() as u64;
            }
            None => flow.late = was_late,
        }
        placement
    }

    /// Returns whether requests like this one have crashed several targets.
    pub(super) fn crashes_targets(&self, now: ClockTime, flow: &DirectFlow) -> bool {
        self.suspects.blocks(now, &flow.request)
    }

    fn choose(&mut self, now: ClockTime, id: FlowId) -> Option<Placement> {
        let flow = self.flows.get(&id)?;
        let view =
            PlacementView { fleet: &self.fleet, peers: &self.peers, limits: &self.limits, now };
        let query = query(flow, self.routes.as_ref(), &self.settings);
        view.choose(&mut self.rng, &query)
    }

    pub(super) fn place_decode(&mut self, now: ClockTime, id: FlowId, out: &mut Vec<DirectAction>) {
        let Some(flow) = self.flows.get(&id) else { return };
        if self.crashes_targets(now, flow) {
            return self.fail_request(id, FailureReason::CrashesTargets, Duration::MAX, out);
        }
        if flow.time_left(now) < MIN_CALL_TIME {
            return self.fail_request(id, FailureReason::TimedOut, Duration::ZERO, out);
        }
        self.release_reserved(id);
        let Some(flow) = self.flows.get(&id) else { return };
        let source = flow.cache.as_ref().and_then(|cache| self.fleet.get(&cache.target.id));
        let view =
            PlacementView { fleet: &self.fleet, peers: &self.peers, limits: &self.limits, now };
        let query = query(flow, self.routes.as_ref(), &self.settings);
        let chosen = source.and_then(|source| view.choose_decode(&mut self.rng, &query, source));
        match chosen {
            Some(placement) if self.reject_while_stopping(now, id, &placement, out) => {}
            Some(placement) if self.gives_up_late(now, id, &placement) => {
                self.fail_request(id, FailureReason::CannotMeetDeadline, Duration::ZERO, out);
            }
            Some(placement) => self.call(now, id, placement, out),
            None => self.fail_without_target(now, id, out),
        }
    }

    /// Returns whether the caller of a late request will have left before its first output.
    fn gives_up_late(&self, now: ClockTime, id: FlowId, placement: &Placement) -> bool {
        let flow = self.flows.get(&id).filter(|flow| flow.late);
        flow.is_some_and(|flow| placement.expected() >= patience(now, flow))
    }

    /// Fails a request that no target takes, with the time until one does, if that is known.
    fn fail_without_target(&mut self, now: ClockTime, id: FlowId, out: &mut Vec<DirectAction>) {
        let Some(flow) = self.flows.get(&id) else { return };
        let (reason, wait) = match self.fleet.opens_in(now, &flow.service) {
            Some(wait) => (FailureReason::Declined, wait.div_f64(RETRY_SPREAD.0)),
            None => match self.limits.return_time(now, &flow.service) {
                Some(wait) => (FailureReason::TargetLimit, wait),
                None => (FailureReason::NoTarget, NO_TARGET_DELAY),
            },
        };
        self.fail_request(id, reason, wait, out);
    }

    fn call(&mut self, now: ClockTime, id: FlowId, chosen: Placement, out: &mut Vec<DirectAction>) {
        let Some(flow) = self.flows.get_mut(&id) else { return };
        let Some(state) = self.fleet.get_mut(&chosen.target) else { return };
        flow.calls += 1;
        self.limits.spend(now, &chosen.target);
        if let Some(decode) = &chosen.decode {
            self.limits.spend(now, decode);
        }
        flow.reserved = chosen.decode.clone();
        let target = state.target.clone();
        let in_flight = state.in_flight + self.peers.in_flight_at(&chosen.target);
        let priority = priority(flow);
        let tokens_ahead = in_flight.backlog.tokens_ahead(priority);
        state.in_flight.backlog.add(priority, chosen.prefill_tokens);
        if chosen.step != StepKind::Prefill {
            state.in_flight.running += 1;
        }
        let cache = match chosen.step {
            StepKind::Decode => flow.cache.as_ref().map(|c| (c.target.address, c.handle.clone())),
            StepKind::Run | StepKind::Prefill => None,
        };
        flow.call = Some(OpenCall {
            number: flow.calls,
            target: target.clone(),
            step: chosen.step,
            started: now,
            remaining_tokens: chosen.prefill_tokens,
            prefill_tokens: chosen.prefill_tokens,
            copied_tokens: chosen.copy.as_ref().map_or(0, |copy| copy.tokens),
            copy_time: chosen.copy.as_ref().map_or(Duration::ZERO, PrefixCopy::time),
            copy_source: chosen.copy.as_ref().map(PrefixCopy::source_start),
            tokens_ahead,
            estimate: chosen.expected_call(),
            first_output: None,
            answered: false,
            succeeded: false,
        });
        out.push(DirectAction::Call {
            flow: id,
            call: flow.calls,
            target,
            step: call_step(chosen.step, cache),
            time_left: flow.time_left(now),
            priority,
            copy_source: chosen.copy.map(|copy| copy.source.address),
        });
    }

    pub(super) fn fail_request(
        &mut self,
        id: FlowId,
        reason: FailureReason,
        wait: Duration,
        out: &mut Vec<DirectAction>,
    ) {
        let Some(flow) = self.flows.get_mut(&id) else { return };
        // At the deadline a target may have answered a prefill with an error, which counts as run.
        let running = flow.call.as_ref().is_some_and(|call| {
            call.step != StepKind::Prefill || reason == FailureReason::TimedOut
        });
        let not_run = !flow.may_have_run && !running;
        flow.trace.reason = Some(reason);
        if let Some(returns) = self.returns.get_mut(&flow.request.route.name) {
            returns.request_rejected();
        }
        if let Some(scale) = &mut self.scale {
            scale.record_failure(&flow.service, reason);
        }
        let (low, high) = RETRY_AFTER_BOUNDS;
        // Spreads the retries of callers that were rejected at the same time.
        let spread = self.rng.random_range(RETRY_SPREAD.0..RETRY_SPREAD.1);
        let retry_after = wait.clamp(low, high).mul_f64(spread);
        let failure = RequestFailure { reason, not_run, retry_after };
        if not_run {
            self.take_back_admission(id);
        }
        out.push(DirectAction::Fail { flow: id, failure });
    }

    fn claim_ended(&mut self, now: ClockTime, outcome: ClaimOutcome) {
        self.planner.forget_orders();
        self.authority.claim_ended(now, outcome);
    }

    /// Claims the authority over engines if no entry holds it, and orders engines if held.
    fn manage_stages(&mut self, now: ClockTime, out: &mut Vec<DirectAction>) {
        // Its authority would end with it, and another entry would have to wait for that.
        if !self.fleet.has_engines() || self.stop.is_some() {
            return;
        }
        let claims = self.peers.claims(Duty::Engines, &self.settings.name);
        if self.authority.should_claim(now, claims) {
            out.push(DirectAction::Claim);
        }
        if let Some(order) = self.plan_stages(now) {
            out.push(DirectAction::Order(order));
        }
        let switching = self.planner.switching();
        self.pause_switching(now, &switching);
    }

    fn tick(&mut self, now: ClockTime, out: &mut Vec<DirectAction>) {
        self.peers.expire(now);
        self.fleet.drop_expired(now);
        self.update_limits(now);
        self.continue_queries(now, out);
        self.keep_versions(now, out);
        self.continue_stop(now);
        if now >= self.next_expiry {
            self.next_expiry = now + EXPIRY_INTERVAL;
            self.suspects.expire(now, self.peers.len());
            self.origins.expire(now);
        }
        let changes = self.suspects.take_changes(now);
        out.extend(changes.into_iter().map(DirectAction::PersistSuspect));
        let evidence = self.suspects.take_evidence(now);
        out.extend(evidence.into_iter().map(DirectAction::PersistEvidence));
        self.manage_stages(now, out);
        self.tick_usage(now, out);
        self.tick_scale(now, out);
        while let Some((expires, id)) = self.timeouts.first().copied() {
            if expires > now {
                return;
            }
            self.timeouts.pop_first();
            let answered =
                self.flows.get(&id).and_then(|f| f.call.as_ref()).is_some_and(|c| c.answered);
            if !answered {
                self.fail_request(id, FailureReason::TimedOut, Duration::ZERO, out);
            }
        }
    }
}

pub(super) fn memory_tokens(routes: Option<&Arc<RouteTable>>, service: &ServiceName) -> u32 {
    engine_config(routes, service).map_or(0, |config| config.memory_tokens)
}

fn query<'a>(
    flow: &'a DirectFlow,
    routes: Option<&'a Arc<RouteTable>>,
    settings: &'a DirectSettings,
) -> PlacementQuery<'a> {
    PlacementQuery {
        service: &flow.service,
        engine: engine_config(routes, &flow.service),
        prompt: flow.request.prompt.as_ref(),
        version: flow.version.as_ref(),
        tried: &flow.tried,
        failed_sources: &flow.failed_sources,
        stream: stream_part(flow),
        data_centre: &settings.data_centre,
        objective: flow.request.route.objective,
        priority: priority(flow),
    }
}

fn stream_part(flow: &DirectFlow) -> StreamPart {
    match (flow.request.route.retry, &flow.request.resumes) {
        (RetryPolicy::Never | RetryPolicy::Always, _) => StreamPart::None,
        (RetryPolicy::Resume, None) => StreamPart::Begins,
        (RetryPolicy::Resume, Some(_)) => StreamPart::GoesOn,
    }
}

fn engine_config<'a>(
    routes: Option<&'a Arc<RouteTable>>,
    service: &ServiceName,
) -> Option<&'a EngineConfig> {
    routes?.services.get(service)?.engine.as_ref()
}
