//! The state machine of an entry that calls targets itself.

use std::{
    collections::{BTreeSet, HashMap, VecDeque},
    sync::Arc,
    time::Duration,
};

use rand::{RngExt, SeedableRng, rngs::SmallRng};
use serde::Serialize;

use super::{
    CallNumber, CallOutcome, CrashReport, CrashTable, DirectAction, DirectEvent, DirectRequest,
    DirectStory, EngineTerms, FlowId, GiveUp, GiveUpReason, KeptReport, LoadReport, PeerName,
    PeerTable, PromptShape, RepeatRule, RetryWindow, RouteTable, ServiceName, TargetCount,
    TargetFleet,
    estimate::{HOME_TOKENS, Placement, PlacementQuery, PlacementView, call_step, shared_tokens},
    flow::{DirectFlow, HeldCache, OpenCall, StepKind},
};
use crate::ids::{ClockTime, DataCentreId, TargetId};

/// Calls for one request, declined ones included.
const MAX_CALLS: CallNumber = 5;
/// Time after a route's limit for a target's own last answer to arrive.
const LIMIT_GRACE: Duration = Duration::from_millis(150);
/// Least time left with which a call is begun.
const LEAST_TIME: Duration = Duration::from_millis(20);
/// Shortest and longest advice on when to come back.
const RETRY_AFTER_BOUNDS: (Duration, Duration) =
    (Duration::from_millis(100), Duration::from_secs(2));
/// Entries among which the shared retry slack is divided at least.
const LEAST_ENTRIES: usize = 4;
/// Part of its objective that a request may wait for others although it will be late.
const LATE_WAIT_PART: f32 = 0.25;
/// The same for a request that was late when it came: targets serve it after
/// the others, so that its waiting takes nothing from them.
const RETURN_WAIT_PART: f32 = 1.0;
/// First rank of requests that are late already.
const LATE_RANK: u8 = 5;
/// How long a kept part is told to peers; three reports, so that a lost one does no harm.
const KEPT_TIME: Duration = Duration::from_millis(350);
/// Interval at which beliefs that are no longer used are dropped.
const FORGET_INTERVAL: Duration = Duration::from_secs(5);

/// Settings of the machine.
#[derive(Debug, Clone, Serialize)]
pub struct DirectSettings {
    /// Name of this process among the entries.
    pub name: PeerName,
    /// Random number of this start.
    pub instance: u64,
    /// Seed of the random choices.
    pub seed: u64,
    /// Data centre of this process.
    pub data_centre: DataCentreId,
    /// Calls beyond the first, as a share of the requests of a window.
    pub retry_ratio: f64,
    /// Calls beyond the first that are allowed besides, over all entries.
    pub retry_slack: f64,
    /// Length of that window.
    pub retry_window: Duration,
}

/// Entry that calls targets itself.
#[derive(Debug, Serialize)]
pub struct DirectMachine {
    settings: DirectSettings,
    #[serde(skip)]
    rng: SmallRng,
    routes: Option<Arc<RouteTable>>,
    fleet: TargetFleet,
    peers: PeerTable,
    most_entries: usize,
    crashes: CrashTable,
    own_crashes: u64,
    budgets: HashMap<ServiceName, RetryWindow>,
    #[serde(skip)]
    flows: HashMap<FlowId, DirectFlow>,
    #[serde(skip)]
    limits: BTreeSet<(ClockTime, FlowId)>,
    #[serde(skip)]
    longest_waits: HashMap<Arc<str>, Duration>,
    reports: u64,
    #[serde(skip)]
    kept: VecDeque<(ClockTime, KeptReport)>,
    /// Counts of the report before.
    #[serde(skip)]
    told: HashMap<TargetId, TargetCount>,
    next_forget: ClockTime,
}

impl DirectMachine {
    /// Makes a machine that knows no configuration and no target.
    pub fn new(settings: DirectSettings) -> DirectMachine {
        DirectMachine {
            rng: SmallRng::seed_from_u64(settings.seed),
            settings,
            routes: None,
            fleet: TargetFleet::default(),
            peers: PeerTable::default(),
            most_entries: LEAST_ENTRIES,
            crashes: CrashTable::default(),
            own_crashes: 0,
            budgets: HashMap::new(),
            flows: HashMap::new(),
            limits: BTreeSet::new(),
            longest_waits: HashMap::new(),
            reports: 0,
            kept: VecDeque::new(),
            told: HashMap::new(),
            next_forget: ClockTime::ZERO,
        }
    }

    /// Returns the configuration in force, if one is known.
    pub fn routes(&self) -> Option<&Arc<RouteTable>> {
        self.routes.as_ref()
    }

    /// Returns the known targets.
    pub fn fleet(&self) -> &TargetFleet {
        &self.fleet
    }

    /// Returns the number of requests without an end.
    pub fn in_flight(&self) -> usize {
        self.flows.len()
    }

    /// Tells whether requests can be served: a configuration and a target are known.
    pub fn is_ready(&self) -> bool {
        self.routes.is_some() && !self.fleet.is_empty()
    }

    /// Returns how many connections this process may open to a target of a service:
    /// its part of what the target accepts from all entries.
    pub fn connection_limit(&self, service: &ServiceName) -> usize {
        let terms = self.routes.as_ref().and_then(|routes| routes.services.get(service));
        let accepted = terms.map_or(u32::MAX, |terms| terms.max_connections) as usize;
        (accepted / self.most_entries).max(1)
    }

    /// Returns what happened to a request so far.
    pub fn story(&self, now: ClockTime, flow: FlowId) -> Option<DirectStory> {
        self.flows.get(&flow).map(|flow| flow.whole_story(now))
    }

    /// Makes the report of what this process has in flight, for its peers: all
    /// of it, or what has changed since the report before.
    pub fn load_report(&mut self, now: ClockTime, whole: bool) -> LoadReport {
        self.reports += 1;
        let known =
            self.fleet.iter().filter(|state| !state.in_flight.is_idle() || state.samples > 0);
        let counts: HashMap<TargetId, TargetCount> = known
            .map(|state| TargetCount {
                target: state.target.id.clone(),
                in_flight: state.in_flight,
                read_rate: state.read_rate,
                samples: state.samples,
            })
            .map(|count| (count.target.clone(), count))
            .collect();
        let told = std::mem::replace(&mut self.told, counts);
        let idle = told.keys().filter(|id| !self.told.contains_key(*id));
        let idle = idle.map(|id| TargetCount { target: id.clone(), ..TargetCount::default() });
        let changed =
            self.told.values().filter(|count| whole || told.get(&count.target) != Some(count));
        let mut counts: Vec<TargetCount> = changed.cloned().chain(idle).collect();
        counts.sort_by(|a, b| a.target.cmp(&b.target));
        while self.kept.front().is_some_and(|(told, _)| *told + KEPT_TIME < now) {
            self.kept.pop_front();
        }
        LoadReport {
            peer: self.settings.name.clone(),
            instance: self.settings.instance,
            sequence: self.reports,
            whole,
            counts,
            kept: self.kept.iter().map(|(_, kept)| kept.clone()).collect(),
        }
    }

    /// Handles one event.
    pub fn step(&mut self, now: ClockTime, event: DirectEvent, out: &mut Vec<DirectAction>) {
        match event {
            DirectEvent::Submit { flow, request } => self.submit(now, flow, request, out),
            DirectEvent::CallEnded { flow, call, outcome } => {
                self.call_ended(now, flow, call, outcome, out);
            }
            DirectEvent::FirstOutput { flow } => self.first_output(now, flow),
            DirectEvent::AnswerBroke { flow } => self.answer_broke(now, flow, out),
            DirectEvent::FlowEnded { flow, whole } => self.flow_ended(now, flow, whole, out),
            DirectEvent::Target(change) => self.fleet.apply(change),
            DirectEvent::Routes(routes) => self.adopt(routes),
            DirectEvent::PeerLoad(report) => self.peer_load(now, report),
            DirectEvent::Crashes(report) => self.crashes.apply(now, &report),
            DirectEvent::Tick => self.tick(now, out),
        }
    }

    /// Takes a configuration, unless it is older than the one in force.
    fn adopt(&mut self, routes: Arc<RouteTable>) {
        let newer = self.routes.as_ref().is_none_or(|known| known.version < routes.version);
        if newer {
            self.routes = Some(routes);
        }
    }

    fn peer_load(&mut self, now: ClockTime, report: LoadReport) {
        if report.peer != self.settings.name {
            for kept in &report.kept {
                let Some(state) = self.fleet.get_mut(&kept.target) else { continue };
                let memory = memory_tokens(self.routes.as_ref(), &state.target.service);
                state.keep_part(now, kept.part, memory);
            }
            self.peers.apply(now, report);
            self.most_entries = self.most_entries.max(self.peers.len() + 1);
        }
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
        let limit = now + route.timeout;
        let version = self.routes.as_ref().map_or(0, |routes| routes.version);
        let subject = request.prompt.as_ref().map_or_else(String::new, subject);
        let story =
            DirectStory { route: route.name.clone(), version, subject, ..DirectStory::default() };
        let age = self.age(&request);
        let flow = DirectFlow {
            late: age >= route.objective,
            deadline: now + request.time_left,
            objective: (now + route.objective).saturating_sub(age),
            request,
            service,
            arrived: now,
            limit,
            calls: 0,
            runs: 0,
            tried: Default::default(),
            call: None,
            cache: None,
            may_have_run: false,
            story,
        };
        self.flows.insert(id, flow);
        self.limits.insert((limit + LIMIT_GRACE, id));
        self.place(now, id, out);
    }

    /// Returns how long the caller has waited before, by the deadlines of its route.
    ///
    /// Callers that come back after a refusal bring what is left of their time,
    /// while new requests of a route bring the whole.
    fn age(&mut self, request: &DirectRequest) -> Duration {
        let longest = self.longest_waits.entry(request.route.name.clone()).or_default();
        *longest = request.time_left.max(*longest);
        *longest - request.time_left
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

    fn spend_retry(&mut self, now: ClockTime, id: FlowId) -> bool {
        let slack = self.settings.retry_slack / self.most_entries as f64;
        let Some(flow) = self.flows.get(&id) else { return false };
        let service = flow.service.clone();
        self.budget(&service).spend(now, slack)
    }

    /// Places a request anew; it has not run, or may run again.
    fn place(&mut self, now: ClockTime, id: FlowId, out: &mut Vec<DirectAction>) {
        let Some(flow) = self.flows.get(&id) else { return };
        if self.crashes.is_barred(flow.request.fingerprint) {
            return self.give_up(id, GiveUpReason::CrashesTargets, Duration::MAX, out);
        }
        let left = flow.time_left(now);
        if left < LEAST_TIME {
            return self.give_up(id, GiveUpReason::TimedOut, Duration::ZERO, out);
        }
        if flow.calls >= MAX_CALLS {
            return self.give_up(id, GiveUpReason::Declined, Duration::ZERO, out);
        }
        let Some(placement) = self.choose(now, id) else {
            return self.give_up(id, GiveUpReason::NoTarget, Duration::from_millis(500), out);
        };
        let Some(flow) = self.flows.get_mut(&id) else { return };
        flow.story.estimate_ms = placement.expected().as_millis() as u64;
        flow.story.waiting_ms = placement.waiting().as_millis() as u64;
        let allowed = allowed_wait(now, flow, &placement);
        if placement.expected() >= left || placement.waiting() > allowed {
            let excess = placement.waiting().saturating_sub(allowed);
            return self.give_up(id, GiveUpReason::CannotMeetDeadline, excess, out);
        }
        self.call(now, id, placement, out);
    }

    fn choose(&mut self, now: ClockTime, id: FlowId) -> Option<Placement> {
        let flow = self.flows.get(&id)?;
        let view = PlacementView { fleet: &self.fleet, peers: &self.peers, now };
        let query = query(flow, self.routes.as_ref(), &self.settings);
        view.choose(&mut self.rng, &query)
    }

    fn place_decode(&mut self, now: ClockTime, id: FlowId, out: &mut Vec<DirectAction>) {
        let Some(flow) = self.flows.get(&id) else { return };
        let source = flow.cache.as_ref().and_then(|cache| self.fleet.get(&cache.target.id));
        let view = PlacementView { fleet: &self.fleet, peers: &self.peers, now };
        let query = query(flow, self.routes.as_ref(), &self.settings);
        let chosen = source.and_then(|source| view.choose_decode(&mut self.rng, &query, source));
        match chosen {
            Some(placement) => self.call(now, id, placement, out),
            None => self.give_up(id, GiveUpReason::NoTarget, Duration::ZERO, out),
        }
    }

    fn call(&mut self, now: ClockTime, id: FlowId, chosen: Placement, out: &mut Vec<DirectAction>) {
        let Some(flow) = self.flows.get_mut(&id) else { return };
        let Some(state) = self.fleet.get_mut(&chosen.target) else { return };
        flow.calls += 1;
        let target = state.target.clone();
        let in_flight = state.in_flight + self.peers.at(&chosen.target);
        let ahead = in_flight.ahead(flow.late);
        state.in_flight.read_more(flow.late, chosen.reading);
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
            reading: chosen.reading,
            planned: chosen.reading,
            ahead,
            answered: false,
        });
        out.push(DirectAction::Call {
            flow: id,
            call: flow.calls,
            target,
            step: call_step(chosen.step, cache),
            time_left: flow.time_left(now),
            priority: priority(flow),
        });
    }

    /// Takes what an ended call had in flight out of the counts.
    fn close_call(&mut self, now: ClockTime, id: FlowId, ending: &str) -> Option<OpenCall> {
        let flow = self.flows.get_mut(&id)?;
        let call = flow.call.take()?;
        flow.story.calls.push(call.describe(now, ending));
        if let Some(state) = self.fleet.get_mut(&call.target.id) {
            state.in_flight.read_done(flow.late, call.reading);
            if call.step != StepKind::Prefill {
                state.in_flight.running = state.in_flight.running.saturating_sub(1);
            }
        }
        Some(call)
    }

    fn call_ended(
        &mut self,
        now: ClockTime,
        id: FlowId,
        number: CallNumber,
        outcome: CallOutcome,
        out: &mut Vec<DirectAction>,
    ) {
        let open = self.flows.get(&id).and_then(|flow| flow.call.as_ref());
        if open.is_none_or(|call| call.number != number) {
            return;
        }
        match outcome {
            CallOutcome::Declined => self.declined(now, id, out),
            CallOutcome::WrongTarget => self.not_there(now, id, "wrong_target", true, out),
            CallOutcome::Unreachable => self.not_there(now, id, "unreachable", false, out),
            CallOutcome::Prefilled { handle } => self.prefilled(now, id, handle, out),
            CallOutcome::Answered { success } => self.answered(now, id, success, out),
            CallOutcome::Lost { closed } => self.lost(now, id, closed, out),
        }
    }

    fn declined(&mut self, now: ClockTime, id: FlowId, out: &mut Vec<DirectAction>) {
        let Some(call) = self.close_call(now, id, "declined") else { return };
        let Some(flow) = self.flows.get_mut(&id) else { return };
        let source = flow.cache.as_ref().map(|cache| cache.target.id.clone());
        match source {
            // The KV cache has lapsed, or there is no room for it: which one is not told.
            Some(source) if call.step == StepKind::Decode => {
                if let Some(state) = self.fleet.get_mut(&source) {
                    state.fail();
                }
                self.drop_cache(id, out);
            }
            _ => {
                flow.tried.push(call.target.id.clone());
                if let Some(state) = self.fleet.get_mut(&call.target.id) {
                    state.decline(now);
                }
            }
        }
        if self.spend_retry(now, id) {
            self.place(now, id, out);
        } else {
            self.give_up(id, GiveUpReason::Declined, Duration::ZERO, out);
        }
    }

    fn not_there(
        &mut self,
        now: ClockTime,
        id: FlowId,
        ending: &str,
        arrived: bool,
        out: &mut Vec<DirectAction>,
    ) {
        let Some(call) = self.close_call(now, id, ending) else { return };
        if let Some(state) = self.fleet.get_mut(&call.target.id) {
            state.rest(now);
        }
        let Some(flow) = self.flows.get_mut(&id) else { return };
        flow.tried.push(call.target.id.clone());
        if arrived && !self.spend_retry(now, id) {
            return self.give_up(id, GiveUpReason::Declined, Duration::ZERO, out);
        }
        self.again(now, id, call.step, out);
    }

    /// Goes on after a call that did not run: from the KV cache, if one waits.
    fn again(&mut self, now: ClockTime, id: FlowId, step: StepKind, out: &mut Vec<DirectAction>) {
        match step {
            StepKind::Decode => self.place_decode(now, id, out),
            StepKind::Run | StepKind::Prefill => self.place(now, id, out),
        }
    }

    fn prefilled(
        &mut self,
        now: ClockTime,
        id: FlowId,
        handle: Arc<str>,
        out: &mut Vec<DirectAction>,
    ) {
        let Some(call) = self.close_call(now, id, "prefilled") else { return };
        let Some(flow) = self.flows.get_mut(&id) else { return };
        if let Some(state) = self.fleet.get_mut(&call.target.id) {
            state.succeed();
            state.learn_read(call.reading, call.ahead, now.saturating_sub(call.started));
            if let Some(prompt) = &flow.request.prompt {
                state.keep(now, prompt, memory_tokens(self.routes.as_ref(), &flow.service));
                note_kept(&mut self.kept, now, &call.target.id, prompt);
            }
        }
        flow.cache = Some(HeldCache { target: call.target, handle });
        self.place_decode(now, id, out);
    }

    fn answered(&mut self, now: ClockTime, id: FlowId, success: bool, out: &mut Vec<DirectAction>) {
        let Some(flow) = self.flows.get_mut(&id) else { return };
        let Some(call) = &mut flow.call else { return };
        call.answered = true;
        // Taken KV caches cannot be taken or freed again.
        if call.step == StepKind::Decode && success {
            flow.cache = None;
        }
        let target = call.target.id.clone();
        if let Some(state) = self.fleet.get_mut(&target) {
            if success { state.succeed() } else { state.fail() }
        }
        if !success && self.may_run_again(now, id) && self.spend_retry(now, id) {
            let Some(call) = self.close_call(now, id, "failed") else { return };
            self.run_again(now, id, call, out);
            return;
        }
        let Some(flow) = self.flows.get(&id) else { return };
        let time_left = (flow.limit + LIMIT_GRACE).saturating_sub(now);
        out.push(DirectAction::Deliver { flow: id, time_left });
    }

    fn run_again(
        &mut self,
        now: ClockTime,
        id: FlowId,
        call: OpenCall,
        out: &mut Vec<DirectAction>,
    ) {
        let Some(flow) = self.flows.get_mut(&id) else { return };
        flow.runs += 1;
        flow.may_have_run = true;
        flow.tried.push(call.target.id.clone());
        self.drop_cache(id, out);
        self.place(now, id, out);
    }

    /// Tells whether a request may run once more after the call under way.
    fn may_run_again(&self, now: ClockTime, id: FlowId) -> bool {
        let Some(flow) = self.flows.get(&id) else { return false };
        let route = &flow.request.route;
        let repeatable = match route.repeat {
            RepeatRule::Never => false,
            RepeatRule::Always | RepeatRule::Resume => true,
        };
        repeatable
            && flow.runs + 1 < route.max_attempts
            && flow.time_left(now) >= LEAST_TIME
            && !self.crashes.is_barred(flow.request.fingerprint)
    }

    fn lost(&mut self, now: ClockTime, id: FlowId, closed: bool, out: &mut Vec<DirectAction>) {
        let Some(flow) = self.flows.get(&id) else { return };
        let Some(step) = flow.call.as_ref().map(|call| call.step) else { return };
        if closed && step != StepKind::Prefill {
            self.report_crash(now, id, out);
        }
        let again = step == StepKind::Prefill || self.may_run_again(now, id);
        let Some(call) = self.close_call(now, id, "lost") else { return };
        if let Some(state) = self.fleet.get_mut(&call.target.id) {
            if closed { state.rest(now) } else { state.fail() }
        }
        let Some(flow) = self.flows.get_mut(&id) else { return };
        flow.may_have_run |= step != StepKind::Prefill;
        if !again || !self.spend_retry(now, id) {
            let reason = if step == StepKind::Prefill {
                GiveUpReason::Declined
            } else {
                GiveUpReason::OutcomeUnknown
            };
            return self.give_up(id, reason, Duration::ZERO, out);
        }
        match step {
            StepKind::Prefill => {
                if let Some(flow) = self.flows.get_mut(&id) {
                    flow.tried.push(call.target.id.clone());
                }
                self.place(now, id, out);
            }
            StepKind::Run | StepKind::Decode => self.run_again(now, id, call, out),
        }
    }

    fn report_crash(&mut self, now: ClockTime, id: FlowId, out: &mut Vec<DirectAction>) {
        let fingerprint = self.flows.get(&id).and_then(|flow| flow.request.fingerprint);
        let Some(fingerprint) = fingerprint else { return };
        self.own_crashes += 1;
        let report = CrashReport {
            reporter: self.settings.instance,
            crashes: vec![(fingerprint, self.own_crashes)],
        };
        self.crashes.apply(now, &report);
        out.push(DirectAction::ReportCrashes(report));
    }

    fn first_output(&mut self, now: ClockTime, id: FlowId) {
        let Some(flow) = self.flows.get_mut(&id) else { return };
        flow.story.first_ms = Some(now.saturating_sub(flow.arrived).as_millis() as u64);
        let Some(call) = &mut flow.call else { return };
        let Some(state) = self.fleet.get_mut(&call.target.id) else { return };
        state.in_flight.read_done(flow.late, call.reading);
        call.reading = 0;
        if let Some(prompt) = &flow.request.prompt {
            state.keep(now, prompt, memory_tokens(self.routes.as_ref(), &flow.service));
            note_kept(&mut self.kept, now, &call.target.id, prompt);
        }
        if call.step == StepKind::Run {
            state.learn_read(call.planned, call.ahead, now.saturating_sub(call.started));
        }
    }

    fn answer_broke(&mut self, now: ClockTime, id: FlowId, out: &mut Vec<DirectAction>) {
        let call = self.flows.get(&id).and_then(|flow| flow.call.as_ref());
        let Some(target) = call.map(|call| call.target.id.clone()) else { return };
        if let Some(state) = self.fleet.get_mut(&target) {
            state.fail();
        }
        self.report_crash(now, id, out);
    }

    fn flow_ended(&mut self, now: ClockTime, id: FlowId, whole: bool, out: &mut Vec<DirectAction>) {
        let answered = self.flows.get(&id).and_then(|flow| flow.call.as_ref()).cloned();
        let call = self.close_call(now, id, if whole { "whole" } else { "broken_off" });
        if let (true, Some(call)) = (whole && answered.is_some(), &call)
            && let Some(state) = self.fleet.get_mut(&call.target.id)
        {
            state.learn_run(now.saturating_sub(call.started));
        }
        self.drop_cache(id, out);
        if let Some(flow) = self.flows.remove(&id) {
            self.limits.remove(&(flow.limit + LIMIT_GRACE, id));
        }
    }

    fn drop_cache(&mut self, id: FlowId, out: &mut Vec<DirectAction>) {
        let Some(cache) = self.flows.get_mut(&id).and_then(|flow| flow.cache.take()) else {
            return;
        };
        out.push(DirectAction::FreeCache { target: cache.target, handle: cache.handle });
    }

    fn give_up(
        &mut self,
        id: FlowId,
        reason: GiveUpReason,
        wait: Duration,
        out: &mut Vec<DirectAction>,
    ) {
        let Some(flow) = self.flows.get_mut(&id) else { return };
        let running = flow.call.as_ref().is_some_and(|call| call.step != StepKind::Prefill);
        let not_run = !flow.may_have_run && !running;
        flow.story.reason = Some(reason);
        let (low, high) = RETRY_AFTER_BOUNDS;
        // Spreads the returns of callers that were refused together.
        let spread = self.rng.random_range(0.75..1.5);
        let retry_after = wait.clamp(low, high).mul_f64(spread);
        let answer = GiveUp { reason, not_run, retry_after };
        out.push(DirectAction::GiveUp { flow: id, answer });
    }

    fn tick(&mut self, now: ClockTime, out: &mut Vec<DirectAction>) {
        self.peers.expire(now);
        if now >= self.next_forget {
            self.next_forget = now + FORGET_INTERVAL;
            self.crashes.expire(now);
        }
        while let Some((limit, id)) = self.limits.first().copied() {
            if limit > now {
                return;
            }
            self.limits.pop_first();
            let answered =
                self.flows.get(&id).and_then(|f| f.call.as_ref()).is_some_and(|c| c.answered);
            if !answered {
                self.give_up(id, GiveUpReason::TimedOut, Duration::ZERO, out);
            }
        }
    }
}

/// Returns how long a request may wait for others.
///
/// While more comes than the targets can do, a queue that outlasts the
/// objective makes every answer late; with a shorter one those that are
/// admitted are in time. A request that needs long by itself may still wait a
/// little, so that large ones are served as well.
fn allowed_wait(now: ClockTime, flow: &DirectFlow, placement: &Placement) -> Duration {
    let own = placement.expected().saturating_sub(placement.waiting());
    let left = flow.objective.saturating_sub(now).saturating_sub(own);
    let part = if flow.late { RETURN_WAIT_PART } else { LATE_WAIT_PART };
    left.max(flow.request.route.objective.mul_f32(part))
}

/// Returns the priority at targets: what cannot be in time goes last.
fn priority(flow: &DirectFlow) -> u8 {
    let rank = flow.request.route.priority.min(LATE_RANK - 1);
    if flow.late { rank + LATE_RANK } else { rank }
}

/// Names the longest shared part of a prompt.
fn subject(prompt: &PromptShape) -> String {
    let shared = prompt.parts.split_last().map_or(&[][..], |(_, shared)| shared);
    let longest = shared.iter().max_by_key(|part| part.tokens);
    longest.map_or_else(String::new, |part| format!("{:x}", part.id))
}

/// Notes long shared parts, which peers are told of.
fn note_kept(
    kept: &mut VecDeque<(ClockTime, KeptReport)>,
    now: ClockTime,
    target: &TargetId,
    prompt: &PromptShape,
) {
    if shared_tokens(prompt) < HOME_TOKENS {
        return;
    }
    let shared = prompt.parts.len().saturating_sub(1);
    for part in &prompt.parts[..shared] {
        kept.push_back((now, KeptReport { target: target.clone(), part: *part }));
    }
}

fn memory_tokens(routes: Option<&Arc<RouteTable>>, service: &ServiceName) -> u32 {
    engine_terms(routes, service).map_or(0, |terms| terms.memory_tokens)
}

fn query<'a>(
    flow: &'a DirectFlow,
    routes: Option<&'a Arc<RouteTable>>,
    settings: &'a DirectSettings,
) -> PlacementQuery<'a> {
    PlacementQuery {
        service: &flow.service,
        engine: engine_terms(routes, &flow.service),
        prompt: flow.request.prompt.as_ref(),
        tried: &flow.tried,
        data_centre: &settings.data_centre,
        late: flow.late,
    }
}

fn engine_terms<'a>(
    routes: Option<&'a Arc<RouteTable>>,
    service: &ServiceName,
) -> Option<&'a EngineTerms> {
    routes?.services.get(service)?.engine.as_ref()
}
