//! Drives a [`DirectMachine`] under a test clock.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use sapphirewell::{
    direct::{
        CallOutcome, CallStep, CustomerConfig, CustomerTable, DirectAction, DirectEvent,
        DirectMachine, DirectRequest, DirectSettings, DirectTarget, EngineConfig, InFlight,
        LoadReport, PromptSegment, PromptShape, RequestIdentity, RequestLimits, RetryPolicy,
        RouteConfig, RouteTable, ServiceConfig, ServiceVersion, StoredVersions, StreamResume,
        SuspectChange, SuspectReport, TargetChange, TargetStage, TargetUsage, UsageSettings,
        WeightedService,
    },
    ids::{ClockTime, TargetId},
};

/// Name of the service that all targets belong to.
pub const SERVICE: &str = "service";

/// Properties of the engines of that service.
pub const ENGINE: EngineConfig =
    EngineConfig { slots: 16, memory_tokens: 400_000, token_bytes: 163_840.0, link_bits: 1.5e12 };

/// [`DirectMachine`] with a test clock and one route.
pub struct DirectRig {
    pub machine: DirectMachine,
    now: ClockTime,
    retry: RetryPolicy,
    /// Longest time between two events that the route states.
    pub event_gap: Option<Duration>,
    listed: u16,
    addresses: Vec<(String, SocketAddr)>,
    /// Customer of all requests.
    customer: Option<Arc<CustomerConfig>>,
}

fn own_identity(hash: u64) -> RequestIdentity {
    RequestIdentity { path: hash, content: hash, resource: hash, caller: hash }
}

fn own_prompt(flow: u64, tokens: u32) -> PromptShape {
    let own = PromptSegment { id: 1_000_000 + flow, tokens };
    PromptShape { tokens, max_output: 120, segments: [own].into_iter().collect() }
}

/// Call that the machine requested.
#[derive(Debug, Clone)]
pub struct RequestedCall {
    pub number: u32,
    pub target: TargetId,
    pub step: CallStep,
    pub priority: u8,
    pub copy_source: Option<SocketAddr>,
}

/// Actions that one event resulted in.
pub struct StepResult(Vec<DirectAction>);

impl StepResult {
    pub fn actions(self) -> Vec<DirectAction> {
        self.0
    }

    /// Returns the call among the actions, and panics without one.
    pub fn call(self) -> RequestedCall {
        let call = self.0.iter().find_map(|action| match action {
            DirectAction::Call { call, target, step, priority, copy_source, .. } => {
                Some(RequestedCall {
                    number: *call,
                    target: target.id.clone(),
                    step: step.clone(),
                    priority: *priority,
                    copy_source: *copy_source,
                })
            }
            _ => None,
        });
        call.unwrap_or_else(|| panic!("no call among {:?}", self.0))
    }
}

impl DirectRig {
    pub fn new(retry: RetryPolicy) -> DirectRig {
        DirectRig::named(retry, 7)
    }

    /// Returns the rig of an entry that is told apart from others by its number.
    pub fn named(retry: RetryPolicy, number: u64) -> DirectRig {
        DirectRig::at(retry, number, "dc")
    }

    /// Returns the same for an entry in a data centre. Targets are in "dc" unless they are changed.
    pub fn at(retry: RetryPolicy, number: u64, data_centre: &str) -> DirectRig {
        DirectRig::with_usage(retry, number, data_centre, None)
    }

    /// Returns the rig of an entry that counts the requests of a customer.
    pub fn of_customer(name: &str) -> DirectRig {
        let usage = UsageSettings {
            window: Duration::from_secs(5),
            lateness: Duration::from_secs(10),
            call_interval: Duration::from_millis(20),
        };
        let mut rig = DirectRig::with_usage(RetryPolicy::Resume, 7, "dc", Some(usage));
        rig.customer = Some(Arc::new(CustomerConfig { name: name.into(), priority: None }));
        rig.configure(2);
        rig
    }

    fn with_usage(
        retry: RetryPolicy,
        number: u64,
        data_centre: &str,
        usage: Option<UsageSettings>,
    ) -> DirectRig {
        let machine = DirectMachine::new(DirectSettings {
            name: format!("entry-{number}").into(),
            instance: number,
            seed: number,
            data_centre: data_centre.into(),
            retry_ratio: 0.2,
            retry_slack: 56.0,
            retry_window: Duration::from_secs(10),
            lease: Duration::from_secs(3),
            drain_bound: Duration::from_secs(2),
            usage,
            scale: None,
        });
        let now = Duration::from_secs(1);
        let mut rig = DirectRig {
            machine,
            now,
            retry,
            event_gap: None,
            listed: 0,
            addresses: Vec::new(),
            customer: None,
        };
        rig.configure(1);
        rig
    }

    pub fn configure(&mut self, version: u64) {
        let customers = self
            .customer
            .as_ref()
            .map(|customer| CustomerTable::new([((**customer).clone(), vec!["key"])]));
        self.configure_all(version, customers, ENGINE);
    }

    /// Applies a configuration with customers, if there are any.
    pub fn configure_customers(&mut self, version: u64, customers: Option<CustomerTable>) {
        self.configure_all(version, customers, ENGINE);
    }

    /// Applies a configuration with engines of these properties.
    pub fn configure_engines(&mut self, version: u64, engine: EngineConfig) {
        self.configure_all(version, None, engine);
    }

    fn configure_all(
        &mut self,
        version: u64,
        customers: Option<CustomerTable>,
        engine: EngineConfig,
    ) {
        let terms = ServiceConfig { max_connections: 180, engine: Some(engine), scaling: None };
        let table = RouteTable {
            version,
            routes: vec![self.route()],
            services: [(SERVICE.into(), terms)].into(),
            limits: RequestLimits {
                head_bytes: 16_384,
                body_bytes: 65_536,
                idle_time: Duration::from_secs(15),
            },
            customers,
        };
        self.step(DirectEvent::Routes(Arc::new(table)));
    }

    fn route(&self) -> Arc<RouteConfig> {
        Arc::new(RouteConfig {
            name: "route".into(),
            host: "host".into(),
            prefix: "/a/".into(),
            retry: self.retry,
            streams: true,
            timeout: Duration::from_secs(5),
            objective: Duration::from_millis(500),
            event_gap: self.event_gap,
            priority: 1,
            max_attempts: 2,
            allows_anonymous: true,
            services: [WeightedService { service: SERVICE.into(), weight: 1 }]
                .into_iter()
                .collect(),
        })
    }

    pub fn target(&mut self, name: &str, stage: TargetStage) -> DirectTarget {
        self.listed += 1;
        let address = SocketAddr::from(([127, 0, 0, 1], 1000 + self.listed));
        self.addresses.push((name.to_owned(), address));
        DirectTarget {
            id: name.into(),
            born_ms: 1,
            service: SERVICE.into(),
            version: "v1".into(),
            address,
            data_centre: "dc".into(),
            stage,
            slots: 16,
            leaving: false,
            sequence: 1,
        }
    }

    pub fn list(&mut self, name: &str, stage: TargetStage) {
        let target = self.target(name, stage);
        self.step(DirectEvent::Target(TargetChange::Listed(target)));
    }

    pub fn address(&self, name: &str) -> SocketAddr {
        self.addresses.iter().find(|(known, _)| known == name).unwrap().1
    }

    pub fn report(&mut self) -> LoadReport {
        self.machine.load_report(self.now, false)
    }

    pub fn suspect_report(&mut self) -> SuspectReport {
        self.machine.suspect_report(self.now)
    }

    /// Tells the entry that the list of targets was read to its end, by a read that began `age`
    /// ago.
    pub fn read_targets(&mut self, age: Duration) -> Vec<DirectAction> {
        self.step(DirectEvent::TargetsRead { age })
    }

    /// Tells the entry which software versions of the service the store has records of.
    pub fn read_versions(&mut self, versions: &[&str]) -> Vec<DirectAction> {
        let stored = versions
            .iter()
            .map(|version| ServiceVersion { service: SERVICE.into(), version: (*version).into() });
        let stored = StoredVersions { versions: stored.collect(), ..StoredVersions::default() };
        self.step(DirectEvent::StoredVersions(stored))
    }

    /// Answers the probes of targets to which connections broke.
    pub fn answer_probes(&mut self, actions: Vec<DirectAction>, gone: bool) {
        for action in actions {
            if let DirectAction::ProbeTarget(target) = action {
                let start = (target.id.clone(), target.born_ms);
                self.step(DirectEvent::TargetProbed { start, age: Duration::ZERO, gone });
            }
        }
    }

    /// Returns the changes of blocked suspects that the next tick writes to the store.
    pub fn changes(&mut self) -> Vec<SuspectChange> {
        let actions = self.step(DirectEvent::Tick).into_iter();
        let changes = actions.filter_map(|action| match action {
            DirectAction::PersistSuspect(change) => Some(change),
            _ => None,
        });
        changes.collect()
    }

    pub fn now(&self) -> ClockTime {
        self.now
    }

    pub fn advance(&mut self, time: Duration) {
        self.now += time;
    }

    pub fn step(&mut self, event: DirectEvent) -> Vec<DirectAction> {
        let mut actions = Vec::new();
        self.machine.step(self.now, event, &mut actions);
        actions
    }

    pub fn after(&mut self, event: DirectEvent) -> StepResult {
        StepResult(self.step(event))
    }

    pub fn end(&mut self, flow: u64, call: u32, outcome: CallOutcome) -> Vec<DirectAction> {
        self.step(DirectEvent::CallEnded { flow, call, outcome })
    }

    pub fn submit(&mut self, flow: u64) -> StepResult {
        self.submit_with(flow, Duration::from_secs(5))
    }

    pub fn submit_with(&mut self, flow: u64, time_left: Duration) -> StepResult {
        self.send(flow, time_left, None, None)
    }

    /// Submits a request whose prompt is a shared segment and 100 tokens of its own.
    pub fn submit_prompt(&mut self, flow: u64, segment: u64, tokens: u32) -> StepResult {
        let shared = PromptSegment { id: segment, tokens: tokens - 100 };
        let own = PromptSegment { id: 1_000_000 + flow, tokens: 100 };
        let segments = [shared, own].into_iter().collect();
        let prompt = PromptShape { tokens, max_output: 120, segments };
        self.send(flow, Duration::from_secs(5), Some(prompt), None)
    }

    /// Submits a request with a prompt, and a body unlike that of any other.
    pub fn submit_shape(&mut self, flow: u64, prompt: PromptShape) -> StepResult {
        let identity = own_identity(1000 + flow);
        self.submit_identity(flow, Some(prompt), identity)
    }

    /// Submits a request with this identity.
    pub fn submit_identity(
        &mut self,
        flow: u64,
        prompt: Option<PromptShape>,
        identity: RequestIdentity,
    ) -> StepResult {
        self.send_body(flow, Duration::from_secs(5), prompt, None, identity)
    }

    /// Submits a request that goes on with a stream, which its caller may not name.
    pub fn submit_resumed(&mut self, flow: u64, stream: Option<&str>) -> StepResult {
        let resume = StreamResume { stream: stream.map(Into::into) };
        self.send(flow, Duration::from_secs(5), Some(own_prompt(flow, 100)), Some(resume))
    }

    /// Submits a request with a prompt of its own that goes on with a stream, if one is named.
    pub fn submit_tokens(
        &mut self,
        flow: u64,
        tokens: u32,
        time_left: Duration,
        stream: Option<&str>,
    ) -> StepResult {
        let resume = stream.map(|stream| StreamResume { stream: Some(stream.into()) });
        self.send(flow, time_left, Some(own_prompt(flow, tokens)), resume)
    }

    /// Reports prompt tokens that a peer has in flight at a target.
    pub fn add_load(&mut self, target: &str, tokens: u32) {
        let mut in_flight = InFlight::default();
        in_flight.backlog.add(0, tokens);
        let usage = TargetUsage { target: target.into(), in_flight, ..TargetUsage::default() };
        self.hear_of(&format!("peer-of-{target}"), vec![usage]);
    }

    /// Lists a target again, in another stage.
    pub fn relist(&mut self, name: &str, stage: TargetStage) {
        let address = self.address(name);
        let target = DirectTarget { address, ..self.target(name, stage) };
        self.addresses.pop();
        self.step(DirectEvent::Target(TargetChange::Listed(target)));
    }

    /// Reports the load of a peer.
    pub fn hear_of(&mut self, peer: &str, targets: Vec<TargetUsage>) {
        self.hear_again(peer, 1, targets);
    }

    /// Reports the load of a peer that has sent reports before.
    pub fn hear_again(&mut self, peer: &str, sequence: u64, targets: Vec<TargetUsage>) {
        self.step(DirectEvent::PeerLoad(LoadReport {
            peer: peer.into(),
            instance: 1,
            sequence,
            full: true,
            targets,
            cached: Vec::new(),
            suspects: Vec::new(),
            limits: Vec::new(),
            demand: Vec::new(),
            leaving: Vec::new(),
            claim: None,
            usage_claim: None,
            scale_claim: None,
            switching: Vec::new(),
        }));
    }

    /// Submits a request of a customer on a route with a priority of its own.
    pub fn submit_for(
        &mut self,
        flow: u64,
        customer: CustomerConfig,
        route_priority: u8,
    ) -> StepResult {
        let route = RouteConfig { priority: route_priority, ..(*self.route()).clone() };
        let request = DirectRequest {
            id: format!("request-{flow}").into(),
            route: Arc::new(route),
            customer: Some(Arc::new(customer)),
            time_left: Duration::from_secs(5),
            prompt: Some(own_prompt(flow, 100)),
            identity: own_identity(1000 + flow),
            resumes: None,
        };
        self.after(DirectEvent::Submit { flow, request: Box::new(request) })
    }

    fn send(
        &mut self,
        flow: u64,
        time_left: Duration,
        prompt: Option<PromptShape>,
        resumes: Option<StreamResume>,
    ) -> StepResult {
        self.send_body(flow, time_left, prompt, resumes, own_identity(42))
    }

    fn send_body(
        &mut self,
        flow: u64,
        time_left: Duration,
        prompt: Option<PromptShape>,
        resumes: Option<StreamResume>,
        identity: RequestIdentity,
    ) -> StepResult {
        let request = DirectRequest {
            id: format!("request-{flow}").into(),
            route: self.route(),
            customer: self.customer.clone(),
            time_left,
            prompt,
            identity,
            resumes,
        };
        self.after(DirectEvent::Submit { flow, request: Box::new(request) })
    }
}
