//! Faults and operator actions that the rig can inject.

use std::time::Duration;

use rand::RngExt;
use sapphirewell::{contract::CustomerContract, ids::ClockTime, operator, side::SideEvent};

use super::{
    NodeInput, Rig, RigEvent,
    links::LinkDirection,
    nodes::{NodeId, NodeState, vm_name},
    referee::MAX_IN_FORCE_DELAY,
};

/// A fault with the time at which it is injected.
#[derive(Debug, Clone)]
pub struct TimedFault {
    /// Simulated time of the injection.
    pub at: ClockTime,
    /// The fault to inject.
    pub fault: RigFault,
}

/// A failure, a planned change or an operator's action.
#[derive(Debug, Clone)]
pub enum RigFault {
    /// Ends a process without a drain.
    Kill(NodeId),
    /// Starts a new process on a node whose process has ended.
    Start(NodeId),
    /// Suspends a process; its inputs are held back.
    Freeze(NodeId),
    /// Resumes a frozen process and delivers the inputs held back.
    Thaw(NodeId),
    /// Replaces the VM of a frozen side: a new process starts, and the frozen one never resumes.
    ReplaceVm(NodeId),
    /// Cuts the network path between an entry and a side (`true`) or restores it (`false`).
    CutLink(usize, usize, LinkDirection, bool),
    /// Makes the current connection between an entry and a side drop all messages; a new connection
    /// works.
    SilenceLink(usize, usize, LinkDirection),
    /// Cuts a node off from the log (`true`) or restores its access (`false`).
    CutFromLog(NodeId, bool),
    /// Makes the log unavailable to all (`true`) or available again (`false`).
    LogDown(bool),
    /// Adds a delay to every append and to the notice of new records; zero ends the fault.
    LogSlow(Duration),
    /// Loses the responses of appends that took effect (`true`) or ends the fault (`false`).
    LoseAppendResponses(bool),
    /// Crashes an engine, which is down for this time.
    CrashEngine(usize, Duration),
    /// Crashes a plain service's runner, which is down for this time.
    CrashService(usize, Duration),
    /// Breaks one of an engine's streams without a crash.
    DropStream(usize),
    /// Ends one of an engine's streams early, as if it were complete.
    EndStreamEarly(usize),
    /// Stalls an engine for this time.
    StallEngine(usize, Duration),
    /// Loses an engine's responses to role-change orders (`true`) or ends the fault (`false`).
    LoseOrderResponses(usize, bool),
    /// Makes a node's clock run fast (positive) or slow (negative), in parts per million.
    SkewClock(NodeId, i64),
    /// Announces through the log that a side's VM is leaving.
    AnnounceVm(usize),
    /// Marks a side's VM as leaving in the platform's VM list.
    ListVm(usize),
    /// Sends a process the signal to stop; it drains and a new one starts.
    Stop(NodeId),
    /// Lets two operators publish different revisions of a contract at the same time.
    RaceContract(Box<CustomerContract>),
    /// Checks that every running node has at least this revision of a customer's contract.
    CheckInForce(sapphirewell::ids::CustomerId, u64),
    /// Appends a role plan that gives an engine this role.
    PlanRole(usize, sapphirewell::record::EngineRole),
}

impl Rig {
    pub(super) fn apply_fault(&mut self, fault: RigFault) {
        match fault {
            RigFault::Kill(node) if self.base(node).state != NodeState::Ended => {
                self.end_process(node)
            }
            RigFault::Kill(_) => {}
            RigFault::Start(node) => self.restart(node),
            RigFault::Freeze(node) => self.freeze(node),
            RigFault::Thaw(node) => self.thaw(node),
            RigFault::ReplaceVm(node) => {
                self.end_process(node);
                self.restart(node);
            }
            RigFault::CutLink(entry, side, direction, cut) => {
                self.links.set_cut(entry, side, direction, cut)
            }
            RigFault::SilenceLink(entry, side, direction) => {
                self.links.silence(entry, side, direction)
            }
            RigFault::CutFromLog(node, cut) => self.base_mut(node).cut_from_log = cut,
            RigFault::LogDown(down) => self.platform.log_down = down,
            RigFault::LogSlow(delay) => self.platform.log_slow = delay,
            RigFault::LoseAppendResponses(lose) => self.platform.lose_append_responses = lose,
            RigFault::CrashEngine(engine, down) => self.crash_engine(engine, down),
            RigFault::CrashService(service, down) => self.crash_service(service, down),
            RigFault::DropStream(engine) => self.drop_stream(engine),
            RigFault::EndStreamEarly(engine) => self.end_stream_early(engine),
            RigFault::StallEngine(engine, time) => {
                let until = self.now + time;
                self.engines[engine].model.stall(until);
            }
            RigFault::LoseOrderResponses(engine, lose) => {
                self.engines[engine].lose_order_responses = lose
            }
            RigFault::SkewClock(node, ppm) => self.base_mut(node).skew_ppm = ppm,
            RigFault::AnnounceVm(side) => self.announce_vm(side),
            RigFault::ListVm(side) => self.list_vm(side),
            RigFault::Stop(node) => {
                if let NodeId::Side(side) = node {
                    self.rule_checker.mark_leaving(side, self.now);
                }
                self.drain_node(node);
            }
            RigFault::RaceContract(contract) => self.race_contract(*contract),
            RigFault::CheckInForce(customer, revision) => self.check_in_force(&customer, revision),
            RigFault::PlanRole(engine, role) => self.plan_role(engine, role),
        }
    }

    fn freeze(&mut self, node: NodeId) {
        if self.base(node).state == NodeState::Running {
            self.base_mut(node).state = NodeState::Frozen;
        }
    }

    fn thaw(&mut self, node: NodeId) {
        if self.base(node).state != NodeState::Frozen {
            return;
        }
        self.base_mut(node).state = NodeState::Running;
        if std::mem::take(&mut self.base_mut(node).stop_pending) {
            self.drain_node(node);
        }
        let incarnation = self.base(node).incarnation;
        let deferred = std::mem::take(&mut self.base_mut(node).deferred);
        for input in deferred {
            self.schedule_after(Duration::ZERO, RigEvent::Deliver { node, incarnation, input });
        }
    }

    fn announce_vm(&mut self, side: usize) {
        if self.platform.log_down {
            return;
        }
        self.rule_checker.mark_leaving(side, self.now);
        let change = format!("vm-{side}-{}", self.now.as_millis()).into();
        let record = operator::vm_record(change, vm_name(side), true);
        self.append_now(&record);
    }

    /// A process reads the VM list once a second, so it notices the mark after up to one second.
    fn list_vm(&mut self, side: usize) {
        self.rule_checker.mark_leaving(side, self.now);
        let delay = Duration::from_millis(self.rng.random_range(0..1000));
        let incarnation = self.sides[side].base.incarnation;
        let input = NodeInput::Side(Box::new(SideEvent::Drain));
        self.schedule_after(
            delay,
            RigEvent::Deliver { node: NodeId::Side(side), incarnation, input },
        );
    }

    /// Appends two changes that replace the same revision; the first one in the log wins.
    fn race_contract(&mut self, contract: CustomerContract) {
        if self.platform.log_down {
            return;
        }
        let customer = contract.customer.clone();
        let current = self.newest_revision(&customer);
        for operator in 0..2 {
            let mut changed = contract.clone();
            changed.window_s += operator;
            let change = format!("race-{operator}-{}", self.now.as_millis()).into();
            let record = operator::publish_record(change, current, changed);
            self.append_now(&record);
        }
        let revision = self.newest_revision(&customer);
        self.mark_step(
            super::ProtocolStep::ContractAppended,
            super::FaultSite { entry: 0, side: 0 },
        );
        let at = self.now + MAX_IN_FORCE_DELAY;
        self.rule_checker.accepted_revisions.push((self.now, customer.clone(), revision));
        self.schedule(at, RigEvent::Fault(RigFault::CheckInForce(customer, revision)));
    }

    fn newest_revision(&self, customer: &str) -> u64 {
        self.log_state.view().contracts.get(customer).map_or(0, |entry| entry.revision)
    }

    fn plan_role(&mut self, engine: usize, role: sapphirewell::record::EngineRole) {
        if self.platform.log_down {
            return;
        }
        let replaces = self.log_state.view().plan.offset;
        let target = self.sides[engine].description.target.clone();
        let roles = [(target, role)].into_iter().collect();
        let record = sapphirewell::record::LogRecord::Plan(sapphirewell::record::PlanProposal {
            replaces,
            roles,
        });
        self.append_now(&record);
        self.mark_step(
            super::ProtocolStep::PlanAppended,
            super::FaultSite { entry: 0, side: engine },
        );
    }

    /// Declares that only planned changes are injected, so that a caller's broken connection, or a
    /// refusal that a well-handled change never causes, counts as a breach.
    pub fn expect_no_cuts(&mut self) {
        self.rule_checker.planned_only = true;
    }
}
