//! Deterministic simulation of a fleet: the system's state machines under a simulated clock.
//!
//! Fakes stand in for the machines' I/O, and each kind of message takes a constant delay.
//! The load tool, the fault matrix and the scenarios all run on it.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use rand::{SeedableRng, rngs::StdRng};
use sapphirewell::{
    contract::CustomerContract,
    entry::PlacementPolicy,
    fold::FleetState,
    ids::{ClockTime, LogTime},
    side::{QueueOrder, SideEvent},
};

use crate::{
    engine::{EngineModel, EngineProfile},
    event_queue::EventQueue,
    log::LogModel,
    service::ServiceModel,
    workload::OfferedRequest,
};

mod callers;
mod faults;
mod links;
mod nodes;
mod platform;
mod referee;
mod steps;
mod targets;

pub use callers::{CallerRecord, CallerState};
pub use faults::{RigFault, TimedFault};
pub use links::LinkDirection;
pub use nodes::{NodeId, NodeState};
pub use referee::{MAX_IN_FORCE_DELAY, MAX_LEAVING_DELAY, RuleBreach, RuleName};
pub use steps::{FaultSite, ProtocolStep, StepTrigger};

use callers::CallerTable;
use links::LinkTable;
use nodes::{EntryNode, SideNode};
use platform::PlatformFaults;
use referee::RuleChecker;
use targets::{EngineTarget, ServiceTarget};

/// Time of the log service when the simulated clock is zero.
pub const LOG_EPOCH: LogTime = Duration::from_secs(1_700_000_000);
const TICK_INTERVAL: Duration = Duration::from_millis(20);

/// Policy that assigns a role to each engine.
#[derive(Debug, Clone, PartialEq)]
pub enum RolePolicy {
    /// Every engine runs both prefill and decode.
    AllMixed,
    /// The engines at these indexes only prefill, the others only decode.
    StaticSplit(Vec<usize>),
    /// Roles follow the demand without hysteresis; a baseline for comparison.
    Eager,
    /// Roles come from the system's own planner.
    Planned,
}

/// Configuration of a rig: its fleet, delays and policies.
#[derive(Debug, Clone)]
pub struct RigSettings {
    /// Seed of the random number generator; equal seeds give equal runs.
    pub seed: u64,
    /// Number of entry processes.
    pub entries: usize,
    /// Profiles of the engines; each gets its own side.
    pub engines: Vec<EngineProfile>,
    /// Name of each plain service's runner and of the service that it runs; each gets its own side.
    pub services: Vec<(String, String)>,
    /// Contracts published before the first request.
    pub contracts: Vec<CustomerContract>,
    /// One-way delay of a message between two processes, or between a process and the log.
    pub network_delay: Duration,
    /// One-way delay between a caller and an entry.
    pub caller_delay: Duration,
    /// Time for which the log keeps a record.
    pub retention: Duration,
    /// Duration of one call to a plain service.
    pub call_time: Duration,
    /// Policy by which entries choose a target.
    pub placement: PlacementPolicy,
    /// Order in which sides serve their queues.
    pub queue_order: QueueOrder,
    /// Policy that assigns roles to the engines.
    pub roles: RolePolicy,
    /// Whether callers retry a refused or disconnected request that has a key or is poison.
    pub callers_retry: bool,
}

/// Simulated fleet with its log, targets and callers, driven by a queue of timed events.
pub struct Rig {
    pub(crate) settings: RigSettings,
    pub(crate) now: ClockTime,
    pub(crate) rng: StdRng,
    queue: EventQueue<RigEvent>,
    pub(crate) log: LogModel,
    /// State after every appended record, regardless of which nodes have read it.
    pub(crate) log_state: FleetState,
    pub(crate) platform: PlatformFaults,
    pub(crate) entries: Vec<EntryNode>,
    pub(crate) sides: Vec<SideNode>,
    pub(crate) engines: Vec<EngineTarget>,
    pub(crate) services: Vec<ServiceTarget>,
    pub(crate) links: LinkTable,
    pub(crate) callers: CallerTable,
    pub(crate) rule_checker: RuleChecker,
    pub(crate) trigger: Option<StepTrigger>,
    pub(crate) reached_steps: std::collections::BTreeSet<ProtocolStep>,
}

/// Event in the rig's queue.
#[derive(Debug, Clone)]
pub(crate) enum RigEvent {
    SubmitRequest { caller: usize, retry: u32 },
    Tick { node: NodeId, incarnation: u64 },
    Poll { node: NodeId, incarnation: u64 },
    Deliver { node: NodeId, incarnation: u64, input: NodeInput },
    Connect { entry: usize, side: usize },
    Append { node: NodeId, incarnation: u64, append_id: Option<u64>, body: Arc<str> },
    EngineWake { engine: usize },
    Target { side: usize, incarnation: u64, action: targets::TargetAction },
    ServiceDone { service: usize, call: targets::ServiceCall },
    Restart { node: NodeId },
    Fault(RigFault),
}

/// Input of a node's state machine; held back while the node is frozen.
#[derive(Debug, Clone)]
pub(crate) enum NodeInput {
    Entry(Box<sapphirewell::entry::EntryEvent>),
    Side(Box<SideEvent>),
    FromSide { side: usize, epoch: u64, frame: Box<sapphirewell::frame::SideFrame> },
    FromEntry { entry: usize, epoch: u64, frame: Box<sapphirewell::frame::EntryFrame> },
}

impl Rig {
    /// Creates a rig with its processes started and its contracts published.
    pub fn new(settings: RigSettings) -> Rig {
        let targets = settings.engines.len() + settings.services.len();
        let engines = settings.engines.iter().enumerate().map(|(index, profile)| {
            let role = settings.roles.initial_role(index);
            EngineTarget::new(EngineModel::new(profile.clone(), role))
        });
        let services = settings
            .services
            .iter()
            .map(|_| ServiceTarget::new(ServiceModel::new(settings.call_time)));
        let mut rig = Rig {
            now: ClockTime::ZERO,
            rng: StdRng::seed_from_u64(settings.seed),
            queue: EventQueue::default(),
            log: LogModel::new(settings.retention),
            log_state: FleetState::default(),
            platform: PlatformFaults::default(),
            entries: Vec::new(),
            sides: Vec::new(),
            engines: engines.collect(),
            services: services.collect(),
            links: LinkTable::new(settings.entries, targets),
            callers: CallerTable::default(),
            rule_checker: RuleChecker::default(),
            trigger: None,
            reached_steps: std::collections::BTreeSet::new(),
            settings,
        };
        rig.start_nodes();
        rig.publish_initial_contracts();
        rig
    }

    /// Schedules requests, each at its own time.
    pub fn offer(&mut self, requests: Vec<OfferedRequest>) {
        for request in requests {
            let at = request.at;
            let caller = self.callers.add(request);
            self.schedule(at, RigEvent::SubmitRequest { caller, retry: 0 });
        }
    }

    /// Schedules a fault.
    pub fn inject(&mut self, fault: TimedFault) {
        self.schedule(fault.at, RigEvent::Fault(fault.fault));
    }

    /// Sets the faults to inject when a step is first reached at or after a time.
    /// Replaces a trigger set earlier.
    pub fn inject_at_step(&mut self, trigger: StepTrigger) {
        self.trigger = Some(trigger);
    }

    /// Returns whether a step was reached at any time.
    pub fn has_reached(&self, step: ProtocolStep) -> bool {
        self.reached_steps.contains(&step)
    }

    /// Processes all events up to and including `end`, then sets the clock to `end`.
    pub fn run_until(&mut self, end: ClockTime) {
        while let Some((at, event)) = self.queue.pop_until(end) {
            self.now = at;
            self.handle(event);
        }
        self.now = end;
    }

    /// Returns the simulated time.
    pub fn now(&self) -> ClockTime {
        self.now
    }

    /// Returns the record of each caller's request, in the order of [`Rig::offer`].
    pub fn callers(&self) -> &[CallerRecord] {
        self.callers.records()
    }

    /// Returns all breaches of the rules up to now.
    pub fn breaches(&self) -> Vec<RuleBreach> {
        self.collect_breaches()
    }

    /// Returns the number of role changes, summed over all engines.
    pub fn role_changes(&self) -> u64 {
        self.engines.iter().map(|target| target.model.role_changes()).sum()
    }

    /// Returns the number of records appended to the log.
    pub fn appends(&self) -> u64 {
        self.log.appends()
    }

    /// Returns how often each key took effect, summed over all plain services' runners.
    pub fn effects(&self) -> BTreeMap<String, u64> {
        let mut counts = BTreeMap::new();
        for target in &self.services {
            for (key, attempts) in target.model.effects() {
                *counts.entry(key.clone()).or_insert(0) += attempts.len() as u64;
            }
        }
        counts
    }

    pub(crate) fn log_time(&self) -> LogTime {
        LOG_EPOCH + self.now
    }

    pub(crate) fn schedule(&mut self, at: ClockTime, event: RigEvent) {
        self.queue.push(at, event);
    }

    pub(crate) fn schedule_after(&mut self, delay: Duration, event: RigEvent) {
        self.schedule(self.now + delay, event);
    }

    fn handle(&mut self, event: RigEvent) {
        match event {
            RigEvent::SubmitRequest { caller, retry } => self.submit_request(caller, retry),
            RigEvent::Tick { node, incarnation } => self.tick(node, incarnation),
            RigEvent::Poll { node, incarnation } => self.poll(node, incarnation),
            RigEvent::Deliver { node, incarnation, input } => {
                self.deliver(node, incarnation, input)
            }
            RigEvent::Connect { entry, side } => self.connect(entry, side),
            RigEvent::Append { node, incarnation, append_id, body } => {
                self.append(node, incarnation, append_id, body)
            }
            RigEvent::EngineWake { engine } => self.engine_wake(engine),
            RigEvent::Target { side, incarnation, action } => {
                self.target_action(side, incarnation, action)
            }
            RigEvent::ServiceDone { service, call } => self.service_done(service, call),
            RigEvent::Restart { node } => self.restart(node),
            RigEvent::Fault(fault) => self.apply_fault(fault),
        }
    }

    fn tick(&mut self, node: NodeId, incarnation: u64) {
        if !self.is_current_incarnation(node, incarnation) {
            return;
        }
        self.schedule_after(TICK_INTERVAL, RigEvent::Tick { node, incarnation });
        if !self.is_frozen(node) {
            self.tick_node(node);
        }
    }
}

impl RolePolicy {
    pub(crate) fn initial_role(&self, engine: usize) -> sapphirewell::record::EngineRole {
        use sapphirewell::record::EngineRole;
        match self {
            RolePolicy::AllMixed => EngineRole::Mixed,
            RolePolicy::StaticSplit(prefill_engines) if prefill_engines.contains(&engine) => {
                EngineRole::Prefill
            }
            RolePolicy::StaticSplit(_) => EngineRole::Decode,
            RolePolicy::Eager | RolePolicy::Planned if engine.is_multiple_of(2) => {
                EngineRole::Prefill
            }
            RolePolicy::Eager | RolePolicy::Planned => EngineRole::Decode,
        }
    }
}
