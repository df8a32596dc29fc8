//! Simulated entry and side processes: their clocks, timers, restarts and drains.

use std::time::Duration;

use rand::RngExt;
use sapphirewell::{
    carry,
    entry::{EntryAction, EntryEvent, EntryMachine, EntrySettings},
    fold::FleetState,
    ids::{ClockTime, LogOffset},
    planner::{PlannerSettings, RolePlanner},
    record::{LogRecord, SideAttachment, TargetDescription, TargetOffer},
    side::{SideAction, SideEvent, SideMachine, SideSettings, TargetEvent},
};

use super::{FaultSite, NodeInput, ProtocolStep, Rig, RigEvent, RolePolicy, targets::TargetAction};
use crate::eager::EagerPlanner;

const ATTACH_INTERVAL: Duration = Duration::from_millis(1000);
/// Time for which a stopping entry still accepts requests, until the load balancer has noticed.
const STOP_NOTICE_TIME: Duration = Duration::from_millis(1000);
const RESTART_DELAY: Duration = Duration::from_millis(500);
const TARGET_DELAY: Duration = Duration::from_micros(200);
const CARRY_INTERVAL: Duration = Duration::from_secs(1);

/// Identifies a node by its process role and index.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum NodeId {
    /// The entry with this index.
    Entry(usize),
    /// The side with this index.
    Side(usize),
}

/// State of a node's process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NodeState {
    /// The process runs.
    Running,
    /// The process is suspended and can be resumed.
    Frozen,
    /// The process has ended; a restart starts a new one.
    Ended,
}

/// State that entries and sides have in common.
pub(crate) struct NodeBase {
    pub(crate) state: NodeState,
    /// Number of the process on this node, from 1; events for an earlier process are dropped.
    pub(crate) incarnation: u64,
    pub(crate) instance: u64,
    pub(crate) fleet: FleetState,
    pub(crate) log_position: LogOffset,
    pub(crate) cut_from_log: bool,
    pub(crate) last_log_contact: ClockTime,
    pub(crate) log_reachable: bool,
    pub(crate) deferred: Vec<NodeInput>,
    pub(crate) draining: bool,
    /// Whether a signal to stop waits for a frozen process to resume.
    pub(crate) stop_pending: bool,
    /// Rate by which the node's clock runs fast, in parts per million.
    pub(crate) skew_ppm: i64,
    next_carry: ClockTime,
    next_attach: ClockTime,
}

pub(crate) struct EntryNode {
    pub(crate) base: NodeBase,
    pub(crate) machine: EntryMachine,
    pub(crate) planner: NodePlanner,
}

pub(crate) struct SideNode {
    pub(crate) base: NodeBase,
    pub(crate) machine: SideMachine,
    pub(crate) description: TargetDescription,
}

pub(crate) enum NodePlanner {
    None,
    System(Box<RolePlanner>),
    Eager(Box<EagerPlanner>),
}

impl NodeBase {
    fn new(incarnation: u64, instance: u64) -> NodeBase {
        NodeBase {
            state: NodeState::Running,
            incarnation,
            instance,
            fleet: FleetState::default(),
            log_position: 0,
            cut_from_log: false,
            last_log_contact: ClockTime::ZERO,
            log_reachable: true,
            deferred: Vec::new(),
            draining: false,
            stop_pending: false,
            skew_ppm: 0,
            next_carry: ClockTime::ZERO,
            next_attach: ClockTime::ZERO,
        }
    }

    /// Returns the node's own time, which includes its skew.
    pub(crate) fn clock(&self, now: ClockTime) -> ClockTime {
        let skew = now.as_micros() as i64 / 1000 * self.skew_ppm / 1000;
        let micros = (now.as_micros() as i64 + skew).max(0) as u64;
        Duration::from_micros(micros)
    }
}

impl Rig {
    pub(super) fn start_nodes(&mut self) {
        for index in 0..self.settings.entries {
            let node = self.new_entry(index, 1);
            self.entries.push(node);
            self.start_timers(NodeId::Entry(index));
        }
        let engines = self.settings.engines.clone();
        let services = self.settings.services.clone();
        let engine_offers = engines.into_iter().map(|profile| TargetDescription {
            target: profile.name.as_str().into(),
            offer: TargetOffer::Engine { model: profile.model, kv_pages: profile.kv_pages },
        });
        let service_offers = services.into_iter().map(|(name, service)| TargetDescription {
            target: name.as_str().into(),
            offer: TargetOffer::Service { service, slots: 8 },
        });
        let descriptions: Vec<TargetDescription> = engine_offers.chain(service_offers).collect();
        for (index, description) in descriptions.into_iter().enumerate() {
            let node = self.new_side(index, 1, description);
            self.sides.push(node);
            self.start_timers(NodeId::Side(index));
        }
    }

    fn new_entry(&mut self, index: usize, incarnation: u64) -> EntryNode {
        let instance = self.rng.random();
        let machine = EntryMachine::new(EntrySettings {
            instance,
            policy: self.settings.placement,
            seed: self.settings.seed ^ index as u64,
        });
        let planner = match self.settings.roles {
            RolePolicy::AllMixed | RolePolicy::StaticSplit(_) => NodePlanner::None,
            RolePolicy::Planned => {
                NodePlanner::System(Box::new(RolePlanner::new(PlannerSettings {
                    rank: index as u32,
                })))
            }
            RolePolicy::Eager => NodePlanner::Eager(Box::new(EagerPlanner::new(index as u32))),
        };
        EntryNode { base: NodeBase::new(incarnation, instance), machine, planner }
    }

    fn new_side(
        &mut self,
        index: usize,
        incarnation: u64,
        description: TargetDescription,
    ) -> SideNode {
        let instance = self.rng.random();
        let machine = SideMachine::new(SideSettings {
            side: side_name(index),
            instance,
            vm: vm_name(index),
            targets: vec![description.clone()],
            queue_order: self.settings.queue_order,
        });
        SideNode { base: NodeBase::new(incarnation, instance), machine, description }
    }

    fn start_timers(&mut self, node: NodeId) {
        let incarnation = self.base(node).incarnation;
        let offset = Duration::from_micros(self.rng.random_range(0..20_000));
        self.schedule_after(offset, RigEvent::Tick { node, incarnation });
        self.schedule_after(offset, RigEvent::Poll { node, incarnation });
    }

    pub(crate) fn base(&self, node: NodeId) -> &NodeBase {
        match node {
            NodeId::Entry(index) => &self.entries[index].base,
            NodeId::Side(index) => &self.sides[index].base,
        }
    }

    pub(crate) fn base_mut(&mut self, node: NodeId) -> &mut NodeBase {
        match node {
            NodeId::Entry(index) => &mut self.entries[index].base,
            NodeId::Side(index) => &mut self.sides[index].base,
        }
    }

    pub(crate) fn node_ids(&self) -> Vec<NodeId> {
        let entries = (0..self.entries.len()).map(NodeId::Entry);
        entries.chain((0..self.sides.len()).map(NodeId::Side)).collect()
    }

    pub(crate) fn is_current_incarnation(&self, node: NodeId, incarnation: u64) -> bool {
        let base = self.base(node);
        base.incarnation == incarnation && base.state != NodeState::Ended
    }

    pub(crate) fn is_frozen(&self, node: NodeId) -> bool {
        self.base(node).state == NodeState::Frozen
    }

    /// Delivers an input to a node's machine, or holds it back while the node is frozen.
    pub(super) fn deliver(&mut self, node: NodeId, incarnation: u64, input: NodeInput) {
        if !self.is_current_incarnation(node, incarnation) {
            return;
        }
        if self.is_frozen(node) {
            self.base_mut(node).deferred.push(input);
            return;
        }
        match (node, input) {
            (NodeId::Entry(index), NodeInput::Entry(event)) => self.step_entry(index, *event),
            (NodeId::Side(index), NodeInput::Side(event)) => self.step_side(index, *event),
            (NodeId::Entry(index), NodeInput::FromSide { side, epoch, frame }) => {
                if self.links.is_current(index, side, epoch) {
                    let event = EntryEvent::Frame { side: side_name(side), frame: *frame };
                    self.step_entry(index, event);
                }
            }
            (NodeId::Side(index), NodeInput::FromEntry { entry, epoch, frame }) => {
                if self.links.is_current(entry, index, epoch) {
                    self.step_side(index, SideEvent::Frame { link: epoch, frame: *frame });
                }
            }
            (NodeId::Entry(_) | NodeId::Side(_), _) => {}
        }
    }

    pub(crate) fn step_entry(&mut self, index: usize, event: EntryEvent) {
        let mut actions = Vec::new();
        let node = &mut self.entries[index];
        let now = node.base.clock(self.now);
        node.machine.step(now, node.base.fleet.view(), event, &mut actions);
        for action in actions {
            self.perform_entry_action(index, action);
        }
    }

    pub(crate) fn step_side(&mut self, index: usize, event: SideEvent) {
        let mut actions = Vec::new();
        let node = &mut self.sides[index];
        let now = node.base.clock(self.now);
        node.machine.step(now, &node.base.fleet, event, &mut actions);
        for action in actions {
            self.perform_side_action(index, action);
        }
    }

    fn perform_entry_action(&mut self, index: usize, action: EntryAction) {
        match action {
            EntryAction::Send { side, frame } => {
                if let Some(side) = side_index(&side) {
                    self.mark_entry_frame_step(index, side, &frame);
                    self.send_to_side(index, side, frame);
                }
            }
            EntryAction::CloseLink { side } => {
                if let Some(side) = side_index(&side) {
                    self.close_link(index, side);
                }
            }
            EntryAction::Chunk { id, text } => self.callers.append_chunk(id, &text),
            EntryAction::Finish { id, answer } => self.finish_request(index, id, answer),
        }
    }

    fn perform_side_action(&mut self, index: usize, action: SideAction) {
        let incarnation = self.sides[index].base.incarnation;
        match action {
            SideAction::Send { link, frame } => {
                self.mark_side_frame_step(index, link, &frame);
                self.send_to_entry(index, link, frame);
            }
            SideAction::CloseLink { link } => self.close_link_by_epoch(index, link),
            SideAction::Append { append_id, record } => {
                self.send_append(NodeId::Side(index), Some(append_id), &record)
            }
            SideAction::Start { place, .. } => {
                self.check_start(index, &place);
                self.mark_start_step(index, &place);
                let action = TargetAction::Start { place };
                self.schedule_after(
                    TARGET_DELAY,
                    RigEvent::Target { side: index, incarnation, action },
                );
            }
            SideAction::Cancel { attempt, .. } => {
                let action = TargetAction::Cancel { attempt };
                self.schedule_after(
                    TARGET_DELAY,
                    RigEvent::Target { side: index, incarnation, action },
                );
            }
            SideAction::Probe { .. } => {
                let action = TargetAction::Report;
                self.schedule_after(
                    TARGET_DELAY,
                    RigEvent::Target { side: index, incarnation, action },
                );
            }
            SideAction::ChangeRole { fence, plan, role, .. } => {
                let action = TargetAction::ChangeRole { fence, plan, role };
                self.mark_step(ProtocolStep::OrderSent, FaultSite { entry: 0, side: index });
                self.schedule_after(
                    TARGET_DELAY,
                    RigEvent::Target { side: index, incarnation, action },
                );
            }
            SideAction::Superseded => self.end_process(NodeId::Side(index)),
        }
    }

    pub(super) fn tick_node(&mut self, node: NodeId) {
        match node {
            NodeId::Entry(index) => {
                self.step_entry(index, EntryEvent::Tick);
                self.open_missing_links(index);
                self.propose_plan(index);
            }
            NodeId::Side(index) => {
                self.step_side(index, SideEvent::Tick);
                self.attach(index);
                self.finish_side_drain(index);
            }
        }
        self.append_due_carries(node);
    }

    fn propose_plan(&mut self, index: usize) {
        let node = &mut self.entries[index];
        let now = node.base.clock(self.now);
        let view = node.base.fleet.view();
        let proposal = match &mut node.planner {
            NodePlanner::None => None,
            NodePlanner::System(planner) => planner.propose(now, view, &node.machine),
            NodePlanner::Eager(planner) => planner.propose(now, view, &node.machine),
        };
        if let Some(proposal) = proposal {
            self.send_append(NodeId::Entry(index), None, &LogRecord::Plan(proposal));
        }
    }

    fn append_due_carries(&mut self, node: NodeId) {
        let now = self.now;
        let retention = self.settings.retention;
        let rank = match node {
            NodeId::Entry(index) => index,
            NodeId::Side(index) => self.settings.entries + index,
        };
        let base = self.base_mut(node);
        if now < base.next_carry {
            return;
        }
        base.next_carry = now + CARRY_INTERVAL;
        let limit = carry::tombstone_limit(base.fleet.view().time, retention);
        base.fleet.drop_tombstones(limit);
        for record in carry::due_records(&base.fleet, retention, rank as u32) {
            self.send_append(node, None, &record);
        }
    }

    /// Appends the side's attachment again at each interval until the side reads it back.
    fn attach(&mut self, index: usize) {
        let node = &mut self.sides[index];
        let view = node.base.fleet.view();
        let attached = view.sides.get(&side_name(index));
        let is_own = attached.is_some_and(|entry| entry.attachment.instance == node.base.instance);
        if is_own || self.now < node.base.next_attach || node.base.draining {
            return;
        }
        node.base.next_attach = self.now + ATTACH_INTERVAL;
        let record = LogRecord::Attach(SideAttachment {
            side: side_name(index),
            instance: node.base.instance,
            vm: vm_name(index),
            data_centre: format!("dc-{}", index % 3).into(),
            address: format!("10.0.0.{index}:1"),
            targets: vec![node.description.clone()],
        });
        self.send_append(NodeId::Side(index), None, &record);
    }

    /// Ends a node's process without a drain and drops its connections.
    pub(crate) fn end_process(&mut self, node: NodeId) {
        self.base_mut(node).state = NodeState::Ended;
        self.base_mut(node).deferred.clear();
        match node {
            NodeId::Entry(index) => {
                for side in 0..self.sides.len() {
                    self.break_link(index, side);
                }
                self.disconnect_callers(index);
            }
            NodeId::Side(index) => {
                for entry in 0..self.entries.len() {
                    self.break_link(entry, index);
                }
                self.cancel_runs_of_side(index);
            }
        }
    }

    /// Starts a new process on a node whose process has ended.
    pub(super) fn restart(&mut self, node: NodeId) {
        if self.base(node).state != NodeState::Ended {
            return;
        }
        let incarnation = self.base(node).incarnation + 1;
        match node {
            NodeId::Entry(index) => self.entries[index] = self.new_entry(index, incarnation),
            NodeId::Side(index) => {
                let description = self.sides[index].description.clone();
                self.rule_checker.unmark_leaving(index);
                self.sides[index] = self.new_side(index, incarnation, description);
            }
        }
        self.base_mut(node).last_log_contact = self.now;
        self.start_timers(node);
    }

    /// Starts a node's drain: it finishes its work and ends, then a new process starts.
    pub(crate) fn drain_node(&mut self, node: NodeId) {
        if self.base(node).state == NodeState::Frozen {
            self.base_mut(node).stop_pending = true;
        }
        if self.base(node).state != NodeState::Running || self.base(node).draining {
            return;
        }
        self.base_mut(node).draining = true;
        self.mark_node_step(ProtocolStep::DrainBegun, node);
        match node {
            NodeId::Entry(index) => {
                let incarnation = self.entries[index].base.incarnation;
                let input = NodeInput::Entry(Box::new(EntryEvent::Drain));
                let event = RigEvent::Deliver { node: NodeId::Entry(index), incarnation, input };
                self.schedule_after(STOP_NOTICE_TIME, event);
            }
            NodeId::Side(index) => self.step_side(index, SideEvent::Drain),
        }
    }

    fn finish_side_drain(&mut self, index: usize) {
        let node = &self.sides[index];
        if !node.base.draining || !node.machine.is_idle() {
            return;
        }
        let fence =
            node.base.fleet.view().sides.get(&side_name(index)).map_or(0, |entry| entry.fence);
        self.send_append(
            NodeId::Side(index),
            None,
            &LogRecord::Detach { side: side_name(index), fence },
        );
        self.end_process(NodeId::Side(index));
        self.schedule_after(RESTART_DELAY, RigEvent::Restart { node: NodeId::Side(index) });
    }

    pub(super) fn finish_entry_drain(&mut self, index: usize) {
        let node = &self.entries[index];
        let closed = node.base.draining && !node.machine.is_ready();
        if closed && node.base.state == NodeState::Running && node.machine.in_flight() == 0 {
            self.end_process(NodeId::Entry(index));
            self.schedule_after(RESTART_DELAY, RigEvent::Restart { node: NodeId::Entry(index) });
        }
    }

    pub(crate) fn notify_side(&mut self, index: usize, incarnation: u64, event: TargetEvent) {
        let target = self.sides[index].description.target.clone();
        let input = NodeInput::Side(Box::new(SideEvent::Target { target, event }));
        self.schedule_after(
            TARGET_DELAY,
            RigEvent::Deliver { node: NodeId::Side(index), incarnation, input },
        );
    }
}

pub(crate) fn side_name(index: usize) -> sapphirewell::ids::SideId {
    format!("side-{index}").into()
}

pub(crate) fn vm_name(index: usize) -> sapphirewell::ids::VmId {
    format!("vm-{index}").into()
}

fn side_index(side: &str) -> Option<usize> {
    side.strip_prefix("side-")?.parse().ok()
}

impl Rig {
    /// Returns each entry's machine state as JSON.
    pub fn entry_dumps(&self) -> Vec<String> {
        self.entries.iter().map(|entry| serde_json::json!(entry.machine).to_string()).collect()
    }
}
