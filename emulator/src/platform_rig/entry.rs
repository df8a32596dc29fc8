//! Simulated entries: the real state machine, inside a model of its I/O driver.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use hyper::header::HeaderMap;
use rand::RngExt;
use sapphirewell::{
    direct::{
        CallNumber, CallOutcome, DirectAction, DirectEvent, DirectMachine, DirectSettings,
        DirectTarget, FlowId, PeerName, RouteTable, StopPhase, StoreGeneration, StreamMessage,
    },
    ids::{ClockTime, TargetId},
};
use strum::{Display, EnumIter, EnumString};

use super::{
    NETWORK_DELAY, PlatformRig, PlatformRule, PlatformSite, PlatformStep, REPORT_INTERVAL,
    RigEvent, TICK_INTERVAL, TargetSignal,
    caller::AttemptAnswer,
    target::{SimCall, TargetIndex},
    usage::usage_settings,
};

/// Index of an entry in the rig.
pub type EntryId = usize;

/// Retries allowed per request; tighter than in real configurations, so that the rig's
/// small load reaches the bound.
pub(super) const RETRY_RATIO: f64 = 0.05;
/// Retries allowed per window beside the ratio; tight for the same reason.
pub(super) const RETRY_SLACK: f64 = 6.0;
/// Window over which the retry budget is counted.
pub(super) const RETRY_WINDOW: Duration = Duration::from_secs(10);
/// Time after which a connection that no longer carries data is detected.
pub(super) const CONNECTION_TIMEOUT: Duration = Duration::from_millis(2500);

/// Defect injected into the entries' drivers, to check that the matrix detects it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, EnumIter, EnumString)]
#[strum(serialize_all = "snake_case")]
pub enum DriverDefect {
    /// A lost connection is reported as unreachable, as if nothing had been sent over it.
    LostAsUnreachable,
    /// A lost connection is reported as a declined call.
    LostAsDeclined,
    /// A prefill that counts as a run is reported as a lost one, which does not.
    PrefillRanAsLost,
    /// The announcement that a target leaves is not passed on to the state machine.
    LeavingIgnored,
    /// Only the first configuration is read.
    ConfigurationReadOnce,
    /// A call is not cancelled when its caller disconnects.
    #[strum(serialize = "caller_left_ignored")]
    DisconnectIgnored,
    /// Calls carry no target id, so that any target at the address accepts them.
    #[strum(serialize = "calls_without_name")]
    MissingTargetId,
    /// Crash reports are not sent to peers.
    #[strum(serialize = "crashes_untold")]
    CrashReportsOmitted,
    /// The retry budget is ten times too large.
    BudgetTooLarge,
    /// Calls get a deadline of one minute, however long the caller still waits.
    DeadlineIgnored,
    /// The state machine gets no ticks.
    NoTicks,
    /// Orders are sent without checking the newest claim in the store.
    ClaimsUnchecked,
    /// Restores of the store from an older copy are not noticed.
    RestoresIgnored,
    /// The stream that a request takes up is not passed on to the state machine.
    ResumesIgnored,
    /// A process knows callers by the first configuration that it served with.
    CustomersReadOnce,
    /// A request with an unknown key is served as one without a key.
    UnknownKeyAnonymous,
    /// A caller's key is passed on to targets.
    KeyForwarded,
    /// A customer's name that a caller without a key states is passed on to targets.
    ForgedNameForwarded,
    /// The priority of a customer is not passed on to the state machine.
    CustomerPriorityIgnored,
    /// Reports of usage are sent whatever claim and counts the store holds.
    UsageClaimUnchecked,
    /// Messages about usage are not sent to other entries.
    UsageMessagesOmitted,
    /// Messages about usage hold no counts.
    UsageCountsOmitted,
    /// An interrupted answer is passed on as complete.
    #[strum(serialize = "break_as_end")]
    TruncatedAsComplete,
}

/// Request that an entry's driver holds open.
#[derive(Debug)]
struct SimFlow {
    attempt: usize,
    /// Headers of the caller that targets get.
    forwarded: Arc<HeaderMap>,
    call: Option<(CallNumber, TargetIndex)>,
    delivering: bool,
}

/// Simulated entry and the state of its current process.
pub(crate) struct SimEntry {
    pub(super) machine: DirectMachine,
    pub(super) process: u64,
    pub(super) alive: bool,
    /// Whether the entry has got the stop signal.
    pub(super) draining: bool,
    /// When the last stop of the entry began.
    pub(super) drain_started: ClockTime,
    /// Whether the load balancer has stopped sending it new connections.
    pub(super) stopping: bool,
    pub(super) frozen_until: ClockTime,
    pub(super) store_cut_until: ClockTime,
    pub(super) target_cut: Option<(TargetIndex, ClockTime)>,
    /// Highest generation of the store that the process has seen.
    pub(super) generation: Option<StoreGeneration>,
    /// Generation and offset from which the targets are read on.
    pub(super) next_record: Option<(Option<StoreGeneration>, u64)>,
    /// Targets that the process has read to be leaving or gone, with the time of that.
    pub(super) known_leaving: BTreeMap<TargetId, ClockTime>,
    /// When the last read of the targets is passed on.
    pub(super) targets_read_at: ClockTime,
    /// Spans of time in which rules with time limits are not checked for this entry.
    pub(super) disturbances: Vec<(ClockTime, ClockTime)>,
    pub(super) shown_version: u64,
    /// Configuration with which the process first took a request.
    pub(super) first_routes: Option<Arc<RouteTable>>,
    flows: BTreeMap<FlowId, SimFlow>,
    next_flow: FlowId,
    reports: u64,
}

impl SimEntry {
    pub(super) fn count_report(&mut self) -> u64 {
        self.reports += 1;
        self.reports
    }

    pub(super) fn add_disturbance(&mut self, from: ClockTime, until: ClockTime) {
        self.disturbances.push((from, until));
    }

    /// Returns whether a disturbance overlaps a span of time.
    pub(super) fn is_disturbed(&self, from: ClockTime, until: ClockTime) -> bool {
        self.disturbances.iter().any(|(start, end)| *start <= until && *end >= from)
    }
}

impl PlatformRig {
    /// Adds an entry and starts it.
    pub(super) fn add_entry(&mut self) -> EntryId {
        let entry = self.entries.len();
        let machine = self.new_machine(entry);
        self.entries.push(SimEntry {
            machine,
            process: 0,
            alive: false,
            draining: false,
            drain_started: ClockTime::ZERO,
            stopping: false,
            frozen_until: ClockTime::ZERO,
            store_cut_until: ClockTime::ZERO,
            target_cut: None,
            generation: None,
            next_record: None,
            known_leaving: BTreeMap::new(),
            targets_read_at: ClockTime::ZERO,
            disturbances: Vec::new(),
            shown_version: 0,
            first_routes: None,
            flows: BTreeMap::new(),
            next_flow: 0,
            reports: 0,
        });
        self.start_entry(entry);
        entry
    }

    fn new_machine(&mut self, entry: EntryId) -> DirectMachine {
        let oversized = self.settings.defect == Some(DriverDefect::BudgetTooLarge);
        let factor = if oversized { 10.0 } else { 1.0 };
        DirectMachine::new(DirectSettings {
            name: format!("entry-{entry}").into(),
            instance: self.rng.random(),
            seed: self.rng.random(),
            data_centre: "dc".into(),
            retry_ratio: RETRY_RATIO * factor,
            retry_slack: RETRY_SLACK * factor,
            retry_window: RETRY_WINDOW,
            lease: Duration::from_secs(3),
            drain_bound: Duration::from_secs(2),
            usage: self.settings.has_customers.then(usage_settings),
            scale: None,
        })
    }

    /// Starts a new process of an entry, unless one is running.
    pub(super) fn start_entry(&mut self, entry: EntryId) {
        if self.entries[entry].alive {
            return;
        }
        let machine = self.new_machine(entry);
        let now = self.now;
        let sim = &mut self.entries[entry];
        sim.machine = machine;
        sim.process += 1;
        sim.alive = true;
        sim.draining = false;
        sim.stopping = false;
        sim.generation = None;
        sim.next_record = None;
        sim.known_leaving.clear();
        sim.shown_version = 0;
        sim.first_routes = None;
        sim.add_disturbance(now, now);
        let process = sim.process;
        self.update_clock(entry);
        for event in [
            RigEvent::Tick { entry, process },
            RigEvent::ReadTargets { entry, process },
            RigEvent::ReadRoutes { entry, process },
            RigEvent::ReadSuspects { entry, process, is_restored: false },
        ] {
            self.schedule(now, event);
        }
        let phase = REPORT_INTERVAL.mul_f64(self.rng.random());
        self.schedule_after(phase, RigEvent::Report { entry, process });
        self.record_step(PlatformStep::EntryStarted, PlatformSite { entry, target: 0 });
    }

    /// Ends an entry's process and breaks its callers' connections.
    ///
    /// Targets see their connections close, unless the entry's VM lost power.
    pub(super) fn end_entry(&mut self, entry: EntryId, power_lost: bool) {
        let sim = &mut self.entries[entry];
        sim.alive = false;
        sim.process += 1;
        let flows = std::mem::take(&mut sim.flows);
        let process = self.entries[entry].process - 1;
        for (flow, sim) in flows {
            self.end_attempt(sim.attempt, AttemptAnswer::Broken);
            if !power_lost && let Some((number, target)) = sim.call {
                self.schedule_after(
                    NETWORK_DELAY,
                    RigEvent::CallCancelled { entry, process, flow, number, target },
                );
            }
        }
    }

    /// Returns the number of requests that are open at an entry.
    pub(super) fn open_flows(&self, entry: EntryId) -> usize {
        self.entries[entry].flows.len()
    }

    pub(super) fn is_process(&self, entry: EntryId, process: u64) -> bool {
        self.entries[entry].alive && self.entries[entry].process == process
    }

    pub(super) fn handle_tick(&mut self, entry: EntryId, process: u64) {
        if !self.is_process(entry, process) {
            return;
        }
        self.schedule_after(TICK_INTERVAL, RigEvent::Tick { entry, process });
        if self.settings.defect != Some(DriverDefect::NoTicks) {
            self.update_clock(entry);
            self.step_machine(entry, DirectEvent::Tick);
        }
        if self.entries[entry].machine.stop_phase(self.now) == StopPhase::Exiting {
            self.finish_drain(entry);
        }
    }

    /// Submits an attempt to the entry's state machine.
    pub(super) fn submit(&mut self, entry: EntryId, attempt: usize) {
        self.check_configuration(entry);
        let Some(routes) = self.entries[entry].machine.routes().cloned() else {
            return self.reject_unready(attempt);
        };
        self.entries[entry].first_routes.get_or_insert_with(|| routes.clone());
        let Some((head, forwarded)) = self.identify(entry, attempt, &routes) else {
            return self.end_attempt(attempt, AttemptAnswer::Rejected);
        };
        let request = self.build_request(attempt, &head);
        let sim = &mut self.entries[entry];
        sim.next_flow += 1;
        let flow = sim.next_flow;
        sim.flows.insert(flow, SimFlow { attempt, forwarded, call: None, delivering: false });
        self.checker.record_offered(self.now, &request.route.services[0].service);
        self.step_machine(entry, DirectEvent::Submit { flow, request: Box::new(request) });
    }

    /// Refuses an attempt as the driver does while it has no configuration.
    fn reject_unready(&mut self, attempt: usize) {
        let failure = sapphirewell::direct::RequestFailure {
            reason: sapphirewell::direct::FailureReason::NoTarget,
            not_run: true,
            retry_after: Duration::from_millis(500),
        };
        self.end_attempt(attempt, AttemptAnswer::Own(failure));
    }

    pub(super) fn step_machine(&mut self, entry: EntryId, event: DirectEvent) {
        let mut actions = Vec::new();
        let now = self.now;
        self.entries[entry].machine.step(now, event, &mut actions);
        for action in actions {
            self.perform_action(entry, action);
        }
    }

    fn perform_action(&mut self, entry: EntryId, action: DirectAction) {
        match action {
            DirectAction::Call { flow, call, target, step, time_left, priority, .. } => {
                let Some(sim) = self.entries[entry].flows.get(&flow) else { return };
                let (attempt, forwarded) = (sim.attempt, sim.forwarded.clone());
                let ignored = self.settings.defect == Some(DriverDefect::DeadlineIgnored);
                let time_left = if ignored { Duration::from_secs(60) } else { time_left };
                let process = self.entries[entry].process;
                let sim_call = SimCall {
                    entry,
                    process,
                    flow,
                    number: call,
                    attempt,
                    forwarded,
                    target: target.clone(),
                    step,
                    priority,
                    deadline: self.now + time_left,
                    ran_at: "".into(),
                };
                self.send_call(sim_call, &target);
            }
            DirectAction::Deliver { flow, time_left } => {
                let process = self.entries[entry].process;
                if let Some(sim) = self.entries[entry].flows.get_mut(&flow) {
                    sim.delivering = true;
                    self.schedule_after(
                        time_left,
                        RigEvent::AnswerTimeout { entry, process, flow },
                    );
                }
            }
            DirectAction::Fail { flow, failure } => {
                let Some(attempt) = self.attempt_of(entry, flow) else { return };
                if failure.not_run {
                    self.checker.record_not_run(attempt);
                }
                self.end_flow(entry, flow, false, AttemptAnswer::Own(failure));
                self.record_step(PlatformStep::RequestRefused, PlatformSite { entry, target: 0 });
            }
            DirectAction::BreakOff { flow } => {
                self.end_flow(entry, flow, false, AttemptAnswer::Broken);
            }
            DirectAction::FreeCache { target, handle } => {
                self.free_cache(entry, &target, &handle);
            }
            DirectAction::SendToPeers { peers, message } => {
                self.send_to_peers(entry, &peers, &message);
            }
            DirectAction::Claim => self.append_claim(entry),
            DirectAction::Order(order) => self.send_order(entry, order),
            DirectAction::Usage(action) => self.perform_usage(entry, action),
            // The rig's entries order no targets.
            DirectAction::Scale(_) => {}
            DirectAction::PersistSuspect(change) => {
                let process = self.entries[entry].process;
                self.persist_suspect(entry, process, change);
            }
            DirectAction::PersistEvidence(change) => {
                let process = self.entries[entry].process;
                self.persist_evidence(entry, process, change);
            }
            DirectAction::ReadTargets => {
                let process = self.entries[entry].process;
                self.read_targets_now(entry, process);
            }
            DirectAction::ReadVersions => {
                let process = self.entries[entry].process;
                self.read_versions(entry, process);
            }
            DirectAction::PersistVersion(change) => {
                let process = self.entries[entry].process;
                self.persist_version(entry, process, change);
            }
            DirectAction::ProbeTarget(target) => {
                self.probe_target(entry, &target);
                self.record_step(PlatformStep::CrashDetected, PlatformSite { entry, target: 0 });
            }
        }
    }

    fn probe_target(&mut self, entry: EntryId, target: &DirectTarget) {
        let age = NETWORK_DELAY * 2;
        let gone = !self.takes_connections(target.address);
        let start = (target.id.clone(), target.born_ms);
        let event = DirectEvent::TargetProbed { start, age, gone };
        self.schedule_after(age, self.machine_event(entry, event));
    }

    /// Sends a message about a stream to peers, unless reports are being lost.
    fn send_to_peers(&mut self, entry: EntryId, peers: &[PeerName], message: &StreamMessage) {
        if self.reports_lost_until > self.now {
            return;
        }
        let own = self.entries[entry].machine.name().clone();
        for receiver in 0..self.entries.len() {
            if !peers.contains(self.entries[receiver].machine.name()) {
                continue;
            }
            let event = DirectEvent::StreamMessage { peer: own.clone(), message: message.clone() };
            let process = self.entries[receiver].process;
            self.schedule_after(
                NETWORK_DELAY,
                RigEvent::Machine { entry: receiver, process, event: Box::new(event) },
            );
        }
    }

    fn attempt_of(&self, entry: EntryId, flow: FlowId) -> Option<usize> {
        self.entries[entry].flows.get(&flow).map(|sim| sim.attempt)
    }

    fn send_call(&mut self, call: SimCall, target: &DirectTarget) {
        let entry = call.entry;
        let index = self.target_at(target.address);
        let Some(sim) = self.entries[entry].flows.get_mut(&call.flow) else { return };
        sim.call = Some((call.number, index));
        self.check_call(&call, index);
        let site = PlatformSite { entry, target: index };
        self.record_step(PlatformStep::CallSent, site);
        if call.number > 1 {
            self.record_step(PlatformStep::SecondCallSent, site);
        }
        if self.is_cut(entry, index) {
            return self.time_out_call(call);
        }
        self.schedule_after(NETWORK_DELAY, RigEvent::CallArrives { call: Box::new(call) });
    }

    /// Fails a call whose connection is cut, after the time in which an entry detects that.
    ///
    /// With equal chance the connection is a new one, which cannot be opened, or an
    /// existing one, over which the call is lost.
    pub(super) fn time_out_call(&mut self, call: SimCall) {
        let new_connection = self.rng.random_bool(0.5);
        let (delay, outcome) = if new_connection {
            (Duration::from_millis(700), CallOutcome::Unreachable)
        } else {
            (CONNECTION_TIMEOUT, CallOutcome::Lost { closed: true })
        };
        let signal = TargetSignal::Outcome(outcome);
        self.schedule_after(delay, RigEvent::FromTarget { call: Box::new(call), signal });
    }

    pub(super) fn is_cut(&self, entry: EntryId, target: TargetIndex) -> bool {
        self.entries[entry].target_cut.is_some_and(|(cut, until)| cut == target && until > self.now)
    }

    /// Handles a signal that a target sent over the connection of a call.
    pub(super) fn target_signal(&mut self, call: SimCall, signal: TargetSignal) {
        let (entry, flow) = (call.entry, call.flow);
        if !self.is_process(entry, call.process) {
            return;
        }
        let Some(sim) = self.entries[entry].flows.get_mut(&flow) else { return };
        if sim.call.map(|(number, _)| number) != Some(call.number) {
            return;
        }
        let (attempt, delivering) = (sim.attempt, sim.delivering);
        if self.begins_to_run(attempt, delivering, &signal) {
            let customer = super::customer::customer_name(&call.forwarded);
            self.record_begun(attempt, customer);
        }
        let Some(sim) = self.entries[entry].flows.get_mut(&flow) else { return };
        match signal {
            TargetSignal::Outcome(outcome) => {
                if !matches!(outcome, CallOutcome::Answered { .. }) {
                    sim.call = None;
                }
                // A prefill whose response is lost may be repeated.
                if outcome == CallOutcome::PrefillRan {
                    let target = self.target_at(call.target.address);
                    self.check_run(&call, target);
                }
                let outcome = self.apply_defect(outcome);
                let event = DirectEvent::CallEnded { flow, call: call.number, outcome };
                self.step_machine(entry, event);
            }
            TargetSignal::Output(index) if delivering => {
                if index == 1 {
                    self.step_machine(entry, DirectEvent::FirstOutput { flow });
                }
                self.check_version(attempt, &call);
                self.deliver_output(attempt, index);
            }
            TargetSignal::Output(_) => {}
            TargetSignal::End => self.end_flow(entry, flow, true, AttemptAnswer::Whole),
            TargetSignal::Break => {
                self.step_machine(entry, DirectEvent::AnswerInterrupted { flow });
                let masked = self.settings.defect == Some(DriverDefect::TruncatedAsComplete);
                let answer = if masked { AttemptAnswer::Whole } else { AttemptAnswer::Broken };
                self.end_flow(entry, flow, false, answer);
            }
        }
    }

    /// Returns whether a signal is the first output of a request that is not the rest of a stream.
    fn begins_to_run(&self, attempt: usize, delivering: bool, signal: &TargetSignal) -> bool {
        let record = self.callers.record(attempt);
        match signal {
            TargetSignal::Outcome(CallOutcome::Answered { .. }) => {
                !record.request.class.is_stream()
            }
            TargetSignal::Output(1) => {
                delivering && record.request.class.is_stream() && record.resumes.is_none()
            }
            _ => false,
        }
    }

    fn apply_defect(&self, outcome: CallOutcome) -> CallOutcome {
        match (self.settings.defect, &outcome) {
            (Some(DriverDefect::LostAsUnreachable), CallOutcome::Lost { .. }) => {
                CallOutcome::Unreachable
            }
            (Some(DriverDefect::LostAsDeclined), CallOutcome::Lost { .. }) => CallOutcome::Declined,
            (Some(DriverDefect::PrefillRanAsLost), CallOutcome::PrefillRan) => {
                CallOutcome::Lost { closed: false }
            }
            _ => outcome,
        }
    }

    fn deliver_output(&mut self, attempt: usize, index: u32) {
        let now = self.now;
        let record = self.callers.record_mut(attempt);
        record.first.get_or_insert(now);
        record.events += 1;
        if record.events != index {
            let seen = format!("attempt {attempt} got event {index} as number {}", record.events);
            self.checker.add_breach(PlatformRule::WholeOwnAnswer, seen);
        }
    }

    /// Ends a request in the driver: cancels its call and answers its caller.
    fn end_flow(&mut self, entry: EntryId, flow: FlowId, complete: bool, answer: AttemptAnswer) {
        let Some(sim) = self.entries[entry].flows.remove(&flow) else { return };
        if answer == AttemptAnswer::Whole {
            self.check_complete(sim.attempt);
        }
        self.end_attempt(sim.attempt, answer);
        if !complete && let Some((number, target)) = sim.call {
            self.cancel(entry, flow, number, target);
        }
        self.step_machine(entry, DirectEvent::FlowEnded { flow, complete });
    }

    /// Cancels the request of a caller that has disconnected.
    pub(super) fn cancel_attempt(&mut self, entry: EntryId, attempt: usize) {
        let flow = self.entries[entry].flows.iter().find(|(_, sim)| sim.attempt == attempt);
        if let Some(flow) = flow.map(|(flow, _)| *flow) {
            if self.settings.defect == Some(DriverDefect::DisconnectIgnored) {
                return;
            }
            self.end_flow(entry, flow, false, AttemptAnswer::Left);
        }
    }

    fn cancel(&mut self, entry: EntryId, flow: FlowId, number: CallNumber, target: TargetIndex) {
        if self.is_cut(entry, target) {
            return;
        }
        let process = self.entries[entry].process;
        self.schedule_after(
            NETWORK_DELAY,
            RigEvent::CallCancelled { entry, process, flow, number, target },
        );
    }

    pub(super) fn time_out_answer(&mut self, entry: EntryId, process: u64, flow: FlowId) {
        if self.is_process(entry, process) {
            self.end_flow(entry, flow, false, AttemptAnswer::Broken);
        }
    }
}
