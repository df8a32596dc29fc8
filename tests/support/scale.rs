//! Entries with the duty to order targets under a test clock, beside a store and a stand-in of the
//! platform that keeps every order and starts targets.

#[path = "duty_calls.rs"]
mod duty_calls;

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};

use duty_calls::{DutyCall, check_one_holder};
use sapphirewell::direct::{
    CallNumber, CallOutcome, ClaimOutcome, CustomerConfig, CustomerTable, DirectAction,
    DirectEvent, DirectMachine, DirectRequest, DirectSettings, DirectTarget, FlowId, PostOutcome,
    RequestIdentity, RequestLimits, RetryPolicy, RouteConfig, RouteTable, ScaleAction, ScaleEvent,
    ScaleOrder, ScaleSettings, ScalingConfig, ServiceConfig, StoreGeneration, TargetChange,
    TargetCount, TargetStage, UsageSettings, WeightedService, fencing_token,
};

pub const LEASE: Duration = Duration::from_secs(3);
pub const SCALING: ScalingConfig =
    ScalingConfig { min: 1, max: 6, start_time: Duration::from_secs(10) };
const STEP: Duration = Duration::from_millis(20);
const TICK_STEPS: u64 = 2;
const REPORT_STEPS: u64 = 5;
/// Time of a call to the store or the platform.
const DELAY: Duration = Duration::from_millis(20);
/// Shortest time between two calls to the platform, of all duties.
pub const CALL_INTERVAL: Duration = Duration::from_secs(1);
const CHECK_LIFETIME: Duration = Duration::from_millis(500);
/// Time that a request runs.
const RUN_TIME: Duration = Duration::from_millis(500);
const SLOTS: u32 = 6;
const SERVICE: &str = "service";
const DATA_CENTRES: [&str; 2] = ["a", "b"];

/// Step of the holder at which a fault strikes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderStep {
    Claim,
    Check,
    Post,
}

/// What happens to the entry at that step.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StepFault {
    KilledBefore,
    KilledAfter,
    Frozen(Duration),
    AnswerLost,
}

#[derive(Debug, Clone)]
enum Pending {
    Claim,
    Check(ScaleOrder),
    Post(ScaleOrder, Duration),
}

/// What the settings and the configuration say of the other duty.
#[derive(Debug, Clone, Copy, Default)]
pub struct FleetTerms {
    pub lists_usage: bool,
    pub has_customers: bool,
}

struct Entry {
    machine: DirectMachine,
    start: u64,
    started: Duration,
    frozen_until: Duration,
    next_flow: FlowId,
    open: VecDeque<(Duration, FlowId)>,
}

pub struct ScaleFleet {
    pub now: Duration,
    terms: FleetTerms,
    steps: u64,
    entries: Vec<Option<Entry>>,
    starts: u64,
    restarts: Vec<(Duration, usize)>,
    pending: VecDeque<(Duration, usize, u64, Pending)>,
    generation: StoreGeneration,
    end: u64,
    claim: Option<(usize, u64)>,
    pub cut_from_store: BTreeSet<usize>,
    pub cut_from_peers: BTreeSet<usize>,
    /// How the platform answers orders.
    pub answer: PostOutcome,
    pub orders: Vec<(DutyCall, TargetCount)>,
    /// Registered targets by number, with their data centres.
    targets: BTreeMap<u16, &'static str>,
    next_target: u16,
    starting: Vec<(Duration, &'static str, TargetCount)>,
    /// Requests that run at the same time over all entries.
    pub load: usize,
    /// Whether no target can be reached, though all are registered.
    pub is_outage: bool,
    fault: Option<(OrderStep, StepFault)>,
    pub faults_struck: u32,
}

impl ScaleFleet {
    pub fn new(entries: usize) -> ScaleFleet {
        ScaleFleet::with_terms(entries, FleetTerms::default())
    }

    pub fn with_terms(entries: usize, terms: FleetTerms) -> ScaleFleet {
        let mut fleet = ScaleFleet {
            now: Duration::from_secs(100),
            terms,
            steps: 0,
            entries: Vec::new(),
            starts: 0,
            restarts: Vec::new(),
            pending: VecDeque::new(),
            generation: 1,
            end: 0,
            claim: None,
            cut_from_store: BTreeSet::new(),
            cut_from_peers: BTreeSet::new(),
            answer: PostOutcome::Accepted,
            orders: Vec::new(),
            targets: BTreeMap::new(),
            next_target: 0,
            starting: Vec::new(),
            load: 0,
            is_outage: false,
            fault: None,
            faults_struck: 0,
        };
        for data_centre in DATA_CENTRES {
            fleet.resize(data_centre, 2);
        }
        for entry in 0..entries {
            fleet.entries.push(None);
            fleet.start(entry);
        }
        fleet
    }

    pub fn kill(&mut self, entry: usize, down: Duration) {
        self.entries[entry] = None;
        self.restarts.push((self.now + down, entry));
    }

    pub fn freeze(&mut self, entry: usize, time: Duration) {
        let until = self.now + time;
        if let Some(entry) = &mut self.entries[entry] {
            entry.frozen_until = until;
        }
    }

    /// Lets a fault strike the next entry at a step.
    pub fn strike(&mut self, step: OrderStep, fault: StepFault) {
        self.fault = Some((step, fault));
    }

    /// Replaces the store's content by one without claims.
    pub fn restore_store(&mut self) {
        self.generation += 1;
        self.end = 0;
        self.claim = None;
        for entry in 0..self.entries.len() {
            self.step(entry, DirectEvent::StoreRestored(self.generation));
        }
    }

    pub fn holder(&self) -> Option<usize> {
        self.claim.map(|(entry, _)| entry)
    }

    /// Returns whether an entry's load reports tell of a claim.
    pub fn tells_claim(&mut self, entry: usize) -> bool {
        let now = self.now;
        let Some(entry) = &mut self.entries[entry] else { return false };
        entry.machine.load_report(now - entry.started, true).scale_claim.is_some()
    }

    /// Returns the number of registered targets.
    pub fn target_count(&self) -> usize {
        self.targets.len()
    }

    /// Ends all targets at once.
    pub fn lose_targets(&mut self) {
        DATA_CENTRES.into_iter().for_each(|data_centre| self.resize(data_centre, 0));
    }

    /// Panics if the platform would call the orders those of two holders.
    pub fn check_one(&self) {
        let calls: Vec<DutyCall> = self.orders.iter().map(|(call, _)| call.clone()).collect();
        check_one_holder(&calls, LEASE);
    }

    pub fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now += STEP;
            self.steps += 1;
            self.advance();
        }
    }

    fn advance(&mut self) {
        let now = self.now;
        for (_, entry) in self.restarts.extract_if(.., |(at, _)| *at <= now).collect::<Vec<_>>() {
            self.start(entry);
        }
        let due: Vec<_> = self.starting.extract_if(.., |(at, ..)| *at <= now).collect();
        for (_, data_centre, count) in due {
            self.resize(data_centre, count);
        }
        for entry in 0..self.entries.len() {
            if !self.is_running(entry) {
                continue;
            }
            self.send_requests(entry);
            if self.steps.is_multiple_of(TICK_STEPS) {
                self.step(entry, DirectEvent::Tick);
            }
            if self.steps.is_multiple_of(REPORT_STEPS) {
                self.send_report(entry);
            }
        }
        for _ in 0..self.pending.len() {
            if let Some((at, entry, start, pending)) = self.pending.pop_front() {
                self.end_pending(at, entry, start, pending);
            }
        }
    }

    fn is_running(&self, entry: usize) -> bool {
        self.entries[entry].as_ref().is_some_and(|entry| entry.frozen_until <= self.now)
    }

    fn start(&mut self, entry: usize) {
        self.starts += 1;
        let start = self.starts;
        self.entries[entry] = Some(Entry {
            machine: DirectMachine::new(settings(entry, start, self.terms)),
            start,
            started: self.now,
            frozen_until: Duration::ZERO,
            next_flow: 0,
            open: VecDeque::new(),
        });
        self.step(entry, DirectEvent::Routes(Arc::new(routes(self.terms))));
        for (number, data_centre) in self.targets.clone() {
            let listed = TargetChange::Listed(target(number, data_centre));
            self.step(entry, DirectEvent::Target(listed));
        }
    }

    /// Starts or takes away targets, so that a data centre has this number.
    fn resize(&mut self, data_centre: &'static str, count: TargetCount) {
        let known: Vec<u16> = self
            .targets
            .iter()
            .filter(|(_, name)| **name == data_centre)
            .map(|(number, _)| *number)
            .collect();
        for number in known.iter().skip(count as usize) {
            self.targets.remove(number);
            self.tell(TargetChange::Removed(target(*number, data_centre).id));
        }
        for _ in known.len()..count as usize {
            self.next_target += 1;
            self.targets.insert(self.next_target, data_centre);
            self.tell(TargetChange::Listed(target(self.next_target, data_centre)));
        }
    }

    fn tell(&mut self, change: TargetChange) {
        for entry in 0..self.entries.len() {
            self.step(entry, DirectEvent::Target(change.clone()));
        }
    }

    fn send_requests(&mut self, entry: usize) {
        let now = self.now;
        // Callers of an entry that is down go to the others.
        let running: Vec<usize> =
            (0..self.entries.len()).filter(|entry| self.entries[*entry].is_some()).collect();
        let place = running.iter().position(|other| *other == entry).unwrap_or(0);
        let wanted = self.load / running.len() + usize::from(place < self.load % running.len());
        let Some(state) = &mut self.entries[entry] else { return };
        let mut ended = Vec::new();
        while let Some((_, flow)) = state.open.pop_front_if(|(at, _)| *at <= now) {
            ended.push(flow);
        }
        let missing = wanted.saturating_sub(state.open.len());
        for flow in ended {
            let outcome = CallOutcome::Answered { success: true };
            self.step(entry, DirectEvent::CallEnded { flow, call: 1, outcome });
            self.step(entry, DirectEvent::FlowEnded { flow, complete: true });
        }
        for _ in 0..missing {
            self.send_request(entry);
        }
    }

    fn send_request(&mut self, entry: usize) {
        let ends = self.now + RUN_TIME;
        let Some(state) = &mut self.entries[entry] else { return };
        state.next_flow += 1;
        let flow = state.next_flow;
        let request = Box::new(request(flow));
        let actions = self.step(entry, DirectEvent::Submit { flow, request });
        let mut call = call_of(&actions);
        while let Some(number) = call.filter(|_| self.is_outage) {
            let outcome = CallOutcome::Unreachable;
            let ended = DirectEvent::CallEnded { flow, call: number, outcome };
            call = call_of(&self.step(entry, ended));
        }
        if call.is_none() {
            self.step(entry, DirectEvent::FlowEnded { flow, complete: false });
        } else if let Some(state) = &mut self.entries[entry] {
            state.open.push_back((ends, flow));
        }
    }

    fn send_report(&mut self, from: usize) {
        let now = self.now;
        let Some(entry) = &mut self.entries[from] else { return };
        let report = entry.machine.load_report(now - entry.started, true);
        for to in (0..self.entries.len()).filter(|to| *to != from) {
            let is_cut = [from, to].iter().any(|entry| self.cut_from_peers.contains(entry));
            if !is_cut && self.is_running(to) {
                self.step(to, DirectEvent::PeerLoad(report.clone()));
            }
        }
    }

    fn step(&mut self, entry: usize, event: DirectEvent) -> Vec<DirectAction> {
        let now = self.now;
        let Some(state) = &mut self.entries[entry] else { return Vec::new() };
        let mut out = Vec::new();
        state.machine.step(now - state.started, event, &mut out);
        let start = state.start;
        for action in &out {
            match action {
                DirectAction::Scale(ScaleAction::Claim) => self.push(entry, start, Pending::Claim),
                DirectAction::Scale(ScaleAction::Order(order)) => {
                    self.push(entry, start, Pending::Check(order.clone()));
                }
                _ => {}
            }
        }
        out
    }

    fn push(&mut self, entry: usize, start: u64, pending: Pending) {
        self.pending.push_back((self.now + DELAY, entry, start, pending));
    }

    fn end_pending(&mut self, at: Duration, entry: usize, start: u64, pending: Pending) {
        if self.entries[entry].as_ref().is_none_or(|state| state.start != start) {
            return;
        }
        if at > self.now || !self.is_running(entry) {
            return self.pending.push_back((at, entry, start, pending));
        }
        let step = match &pending {
            Pending::Claim => OrderStep::Claim,
            Pending::Check(_) => OrderStep::Check,
            Pending::Post(..) => OrderStep::Post,
        };
        let fault = self.fault.take_if(|(at, _)| *at == step).map(|(_, fault)| fault);
        self.faults_struck += u32::from(fault.is_some());
        match fault {
            Some(StepFault::KilledBefore) => return self.kill(entry, Duration::from_secs(1)),
            Some(StepFault::Frozen(time)) => {
                self.freeze(entry, time);
                return self.pending.push_back((at, entry, start, pending));
            }
            Some(StepFault::KilledAfter | StepFault::AnswerLost) | None => {}
        }
        let is_lost = fault == Some(StepFault::AnswerLost);
        let event = self.carry_out(entry, start, pending, is_lost);
        if fault == Some(StepFault::KilledAfter) {
            return self.kill(entry, Duration::from_secs(1));
        }
        if let Some(event) = event {
            self.step(entry, DirectEvent::Scale(event));
        }
    }

    fn carry_out(
        &mut self,
        entry: usize,
        start: u64,
        pending: Pending,
        is_lost: bool,
    ) -> Option<ScaleEvent> {
        let reaches_store = !self.cut_from_store.contains(&entry);
        let claim_token = |fleet: &ScaleFleet, end| fencing_token(Some(fleet.generation), end);
        match pending {
            Pending::Claim => {
                let mut outcome = ClaimOutcome::Failed;
                if reaches_store {
                    self.end += 1;
                    self.claim = Some((entry, self.end));
                    outcome = ClaimOutcome::Taken(claim_token(self, self.end).unwrap());
                }
                Some(ScaleEvent::ClaimEnded(if is_lost { ClaimOutcome::Failed } else { outcome }))
            }
            Pending::Check(order) => {
                let claim = self.claim.map(|(entry, end)| (entry, claim_token(self, end)));
                let outcome = match () {
                    () if !reaches_store || is_lost => PostOutcome::NoStore,
                    () if claim != Some((entry, Some(order.fence))) => PostOutcome::Superseded,
                    () => {
                        self.push(entry, start, Pending::Post(order, self.now));
                        return None;
                    }
                };
                Some(ScaleEvent::OrderEnded { order, outcome })
            }
            Pending::Post(order, checked) => {
                let outcome = if self.now - checked > CHECK_LIFETIME {
                    PostOutcome::CheckExpired
                } else {
                    self.post(entry, &order)
                };
                let outcome = if is_lost { PostOutcome::NoAnswer } else { outcome };
                Some(ScaleEvent::OrderEnded { order, outcome })
            }
        }
    }

    fn post(&mut self, entry: usize, order: &ScaleOrder) -> PostOutcome {
        let ScaleOrder { service, data_centre, targets, fence } = order;
        let subject = format!("{service} {data_centre}");
        let call = DutyCall { at: self.now, entry, fence: *fence, subject };
        self.orders.push((call, *targets));
        if self.answer == PostOutcome::Accepted {
            let name = DATA_CENTRES.into_iter().find(|name| *name == &**data_centre).unwrap();
            self.starting.push((self.now + SCALING.start_time, name, *targets));
        }
        self.answer
    }
}

fn call_of(actions: &[DirectAction]) -> Option<CallNumber> {
    actions.iter().find_map(|action| match action {
        DirectAction::Call { call, .. } => Some(*call),
        _ => None,
    })
}

fn settings(entry: usize, instance: u64, terms: FleetTerms) -> DirectSettings {
    let usage = UsageSettings {
        window: Duration::from_secs(5),
        lateness: Duration::from_secs(10),
        call_interval: CALL_INTERVAL,
    };
    DirectSettings {
        name: format!("entry-{entry:04}").into(),
        instance,
        seed: instance,
        data_centre: DATA_CENTRES[entry % 2].into(),
        retry_ratio: 0.2,
        retry_slack: 56.0,
        retry_window: Duration::from_secs(10),
        lease: LEASE,
        drain_bound: Duration::from_secs(2),
        usage: terms.lists_usage.then_some(usage),
        scale: Some(ScaleSettings { call_interval: CALL_INTERVAL }),
    }
}

fn route() -> Arc<RouteConfig> {
    let service = WeightedService { service: SERVICE.into(), weight: 1 };
    Arc::new(RouteConfig {
        name: "route".into(),
        host: "host".into(),
        prefix: "/".into(),
        retry: RetryPolicy::Always,
        streams: false,
        timeout: Duration::from_secs(5),
        objective: Duration::from_secs(2),
        event_gap: None,
        priority: 1,
        max_attempts: 2,
        allows_anonymous: true,
        services: [service].into_iter().collect(),
    })
}

fn routes(terms: FleetTerms) -> RouteTable {
    let customer = CustomerConfig { name: "customer".into(), priority: None };
    let customers = CustomerTable::new([(customer, vec!["key".to_owned()])]);
    let service = ServiceConfig { max_connections: 180, engine: None, scaling: Some(SCALING) };
    RouteTable {
        version: 1,
        routes: vec![route()],
        services: [(SERVICE.into(), service)].into(),
        limits: RequestLimits {
            head_bytes: 16_384,
            body_bytes: 65_536,
            idle_time: Duration::from_secs(15),
        },
        customers: terms.has_customers.then_some(customers),
    }
}

fn target(number: u16, data_centre: &str) -> DirectTarget {
    DirectTarget {
        id: format!("target-{number}").into(),
        born_ms: 1,
        service: SERVICE.into(),
        version: "v1".into(),
        address: SocketAddr::from(([127, 0, 0, 1], 1000 + number)),
        data_centre: data_centre.into(),
        stage: TargetStage::Plain,
        slots: SLOTS,
        leaving: false,
        sequence: 1,
    }
}

fn request(flow: FlowId) -> DirectRequest {
    DirectRequest {
        id: format!("request-{flow}").into(),
        route: route(),
        customer: None,
        time_left: Duration::from_secs(5),
        prompt: None,
        identity: RequestIdentity { path: flow, content: flow, resource: flow, caller: flow },
        resumes: None,
    }
}
