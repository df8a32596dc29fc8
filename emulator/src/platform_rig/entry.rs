//! Entries of the rig: the machine, and the shell around it as a model.

use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use rand::RngExt;
use sapphirewell::{
    direct::{
        CallNumber, CallOutcome, CrashReport, DirectAction, DirectEvent, DirectMachine,
        DirectSettings, DirectTarget, FlowId,
    },
    ids::ClockTime,
};
use strum::{Display, EnumIter, EnumString};

use super::{
    NETWORK_DELAY, PlatformRig, PlatformRule, PlatformSite, PlatformStep, REPORT_INTERVAL,
    RigEvent, TICK_INTERVAL, TargetSignal,
    caller::AttemptAnswer,
    target::{SimCall, TargetIndex},
};

/// Index of an entry.
pub type EntryId = usize;

/// Retry bounds of the rig's fleet; tighter than those of the users' sheets, so
/// that its small load reaches them.
pub(super) const RETRY_RATIO: f64 = 0.05;
pub(super) const RETRY_SLACK: f64 = 6.0;
pub(super) const RETRY_WINDOW: Duration = Duration::from_secs(10);
/// How long a crash is told to peers.
const CRASH_REPORT_TIME: Duration = Duration::from_secs(3);
/// Time after which a lost connection is noticed.
pub(super) const CONNECTION_TIMEOUT: Duration = Duration::from_millis(2500);

/// Defect at the edge of the entries, with which the matrix is checked.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, EnumIter, EnumString)]
#[strum(serialize_all = "snake_case")]
pub enum DriverDefect {
    /// A broken connection is taken for one over which nothing was sent.
    LostAsUnreachable,
    /// A broken connection is taken for a decline.
    LostAsDeclined,
    /// A target's leaving is not passed on.
    LeavingIgnored,
    /// Only the first configuration is read.
    ConfigurationReadOnce,
    /// A call goes on when its caller has left.
    #[strum(serialize = "caller_left_ignored")]
    DisconnectIgnored,
    /// Calls do not name the target that is meant.
    #[strum(serialize = "calls_without_name")]
    MissingTargetId,
    /// Crashes are not told to other entries.
    #[strum(serialize = "crashes_untold")]
    CrashReportsOmitted,
    /// The retry budget is ten times too large.
    BudgetTooLarge,
    /// Calls get a minute whatever the caller still waits.
    DeadlineIgnored,
    /// The machine gets no ticks.
    NoTicks,
    /// Orders are sent without a look at the store.
    ClaimsUnchecked,
    /// An answer that broke off is passed on as complete.
    #[strum(serialize = "break_as_end")]
    TruncatedAsComplete,
}

/// Request in an entry's shell.
#[derive(Debug)]
struct SimFlow {
    attempt: usize,
    call: Option<(CallNumber, TargetIndex)>,
    delivering: bool,
}

/// Entry and its process.
pub(crate) struct SimEntry {
    pub(super) machine: DirectMachine,
    pub(super) process: u64,
    pub(super) alive: bool,
    /// Whether it was told to stop.
    pub(super) draining: bool,
    /// Whether the balancer has noticed that.
    pub(super) stopping: bool,
    pub(super) frozen_until: ClockTime,
    pub(super) store_cut_until: ClockTime,
    pub(super) target_cut: Option<(TargetIndex, ClockTime)>,
    pub(super) next_record: Option<u64>,
    /// Spans in which the rules with time bounds do not hold.
    pub(super) disturbances: Vec<(ClockTime, ClockTime)>,
    pub(super) shown_version: u64,
    flows: BTreeMap<FlowId, SimFlow>,
    next_flow: FlowId,
    reports: u64,
    crashes: VecDeque<(ClockTime, CrashReport)>,
}

impl SimEntry {
    pub(super) fn count_report(&mut self) -> u64 {
        self.reports += 1;
        self.reports
    }

    pub(super) fn recent_crashes(&mut self, now: ClockTime) -> Vec<CrashReport> {
        self.crashes.retain(|(seen, _)| *seen + CRASH_REPORT_TIME >= now);
        self.crashes.iter().map(|(_, report)| report.clone()).collect()
    }

    pub(super) fn add_disturbance(&mut self, from: ClockTime, until: ClockTime) {
        self.disturbances.push((from, until));
    }

    /// Tells whether a disturbance falls into a span.
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
            stopping: false,
            frozen_until: ClockTime::ZERO,
            store_cut_until: ClockTime::ZERO,
            target_cut: None,
            next_record: None,
            disturbances: Vec::new(),
            shown_version: 0,
            flows: BTreeMap::new(),
            next_flow: 0,
            reports: 0,
            crashes: VecDeque::new(),
        });
        self.start_entry(entry);
        entry
    }

    fn new_machine(&mut self, entry: EntryId) -> DirectMachine {
        let wide = self.settings.defect == Some(DriverDefect::BudgetTooLarge);
        let factor = if wide { 10.0 } else { 1.0 };
        DirectMachine::new(DirectSettings {
            name: format!("entry-{entry}").into(),
            instance: self.rng.random(),
            seed: self.rng.random(),
            data_centre: "dc".into(),
            retry_ratio: RETRY_RATIO * factor,
            retry_slack: RETRY_SLACK * factor,
            retry_window: RETRY_WINDOW,
            lease: Duration::from_secs(3),
        })
    }

    /// Starts an entry's process, unless one runs.
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
        sim.next_record = None;
        sim.shown_version = 0;
        sim.crashes.clear();
        sim.add_disturbance(now, now);
        let process = sim.process;
        for event in [
            RigEvent::Tick { entry, process },
            RigEvent::ReadTargets { entry, process },
            RigEvent::ReadRoutes { entry, process },
            RigEvent::ReadSuspects { entry, process },
        ] {
            self.schedule(now, event);
        }
        let phase = REPORT_INTERVAL.mul_f64(self.rng.random());
        self.after(phase, RigEvent::Report { entry, process });
        self.record_step(PlatformStep::EntryStarted, PlatformSite { entry, target: 0 });
    }

    /// Ends an entry's process; its callers' connections break with it.
    ///
    /// Targets see their connections close, unless the VM lost power.
    pub(super) fn end_entry(&mut self, entry: EntryId, power_lost: bool) {
        let sim = &mut self.entries[entry];
        sim.alive = false;
        sim.process += 1;
        let flows = std::mem::take(&mut sim.flows);
        let process = self.entries[entry].process - 1;
        for (flow, sim) in flows {
            self.end_attempt(sim.attempt, AttemptAnswer::Broken);
            if !power_lost && let Some((number, target)) = sim.call {
                self.after(
                    NETWORK_DELAY,
                    RigEvent::CallCancelled { entry, process, flow, number, target },
                );
            }
        }
    }

    /// Returns the number of requests that an entry has not ended.
    pub(super) fn open_flows(&self, entry: EntryId) -> usize {
        self.entries[entry].flows.len()
    }

    pub(super) fn is_process(&self, entry: EntryId, process: u64) -> bool {
        self.entries[entry].alive && self.entries[entry].process == process
    }

    pub(super) fn tick(&mut self, entry: EntryId, process: u64) {
        if !self.is_process(entry, process) {
            return;
        }
        self.after(TICK_INTERVAL, RigEvent::Tick { entry, process });
        if self.settings.defect != Some(DriverDefect::NoTicks) {
            self.step_machine(entry, DirectEvent::Tick);
        }
    }

    /// Hands an attempt to the entry's machine.
    pub(super) fn submit(&mut self, entry: EntryId, attempt: usize) {
        self.check_configuration(entry);
        let Some(request) = self.build_request(attempt) else {
            return self.reject_unready(attempt);
        };
        let sim = &mut self.entries[entry];
        sim.next_flow += 1;
        let flow = sim.next_flow;
        sim.flows.insert(flow, SimFlow { attempt, call: None, delivering: false });
        self.checker.record_offered(self.now, &request.route.services[0].service);
        self.step_machine(entry, DirectEvent::Submit { flow, request: Box::new(request) });
    }

    /// Answers as the shell does while no configuration is known.
    fn reject_unready(&mut self, attempt: usize) {
        let answer = sapphirewell::direct::RequestFailure {
            reason: sapphirewell::direct::FailureReason::NoTarget,
            not_run: true,
            retry_after: Duration::from_millis(500),
        };
        self.end_attempt(attempt, AttemptAnswer::Own(answer));
    }

    pub(super) fn step_machine(&mut self, entry: EntryId, event: DirectEvent) {
        let mut actions = Vec::new();
        let now = self.now;
        self.entries[entry].machine.step(now, event, &mut actions);
        for action in actions {
            self.perform(entry, action);
        }
    }

    fn perform(&mut self, entry: EntryId, action: DirectAction) {
        match action {
            DirectAction::Call { flow, call, target, step, time_left, priority } => {
                let Some(attempt) = self.attempt_of(entry, flow) else { return };
                let ignored = self.settings.defect == Some(DriverDefect::DeadlineIgnored);
                let time_left = if ignored { Duration::from_secs(60) } else { time_left };
                let process = self.entries[entry].process;
                let sim_call = SimCall {
                    entry,
                    process,
                    flow,
                    number: call,
                    attempt,
                    target: target.clone(),
                    step,
                    priority,
                    deadline: self.now + time_left,
                };
                self.send_call(sim_call, &target);
            }
            DirectAction::Deliver { flow, time_left } => {
                let process = self.entries[entry].process;
                if let Some(sim) = self.entries[entry].flows.get_mut(&flow) {
                    sim.delivering = true;
                    self.after(time_left, RigEvent::AnswerTimeout { entry, process, flow });
                }
            }
            DirectAction::Fail { flow, failure: answer } => {
                let Some(attempt) = self.attempt_of(entry, flow) else { return };
                if answer.not_run {
                    self.checker.record_not_run(attempt);
                }
                self.end_flow(entry, flow, false, AttemptAnswer::Own(answer));
                self.record_step(PlatformStep::RequestRefused, PlatformSite { entry, target: 0 });
            }
            DirectAction::FreeCache { target, handle } => {
                self.free_cache(entry, &target, &handle);
            }
            DirectAction::Claim => self.claim(entry),
            DirectAction::Order(order) => self.send_order(entry, order),
            DirectAction::PersistSuspect(change) => {
                let process = self.entries[entry].process;
                self.persist_suspect(entry, process, change);
            }
            DirectAction::ReportCrashes(report) => {
                let now = self.now;
                self.entries[entry].crashes.push_back((now, report));
                self.record_step(PlatformStep::CrashDetected, PlatformSite { entry, target: 0 });
            }
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
        self.after(NETWORK_DELAY, RigEvent::CallArrives { call: Box::new(call) });
    }

    /// Ends a call over a connection that no longer carries anything.
    pub(super) fn time_out_call(&mut self, call: SimCall) {
        let fresh = self.rng.random_bool(0.5);
        let (delay, outcome) = if fresh {
            (Duration::from_millis(700), CallOutcome::Unreachable)
        } else {
            (CONNECTION_TIMEOUT, CallOutcome::Lost { closed: true })
        };
        let signal = TargetSignal::Outcome(outcome);
        self.after(delay, RigEvent::FromTarget { call: Box::new(call), signal });
    }

    pub(super) fn is_cut(&self, entry: EntryId, target: TargetIndex) -> bool {
        self.entries[entry].target_cut.is_some_and(|(cut, until)| cut == target && until > self.now)
    }

    /// Handles what a target sent over the connection of a call.
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
        match signal {
            TargetSignal::Outcome(outcome) => {
                if !matches!(outcome, CallOutcome::Answered { .. }) {
                    sim.call = None;
                }
                let outcome = self.apply_defect(outcome);
                let event = DirectEvent::CallEnded { flow, call: call.number, outcome };
                self.step_machine(entry, event);
            }
            TargetSignal::Output(index) if delivering => {
                if index == 1 {
                    self.step_machine(entry, DirectEvent::FirstOutput { flow });
                }
                self.deliver_output(attempt, index);
            }
            TargetSignal::Output(_) => {}
            TargetSignal::End => self.end_flow(entry, flow, true, AttemptAnswer::Whole),
            TargetSignal::Break => {
                self.step_machine(entry, DirectEvent::AnswerInterrupted { flow });
                let hidden = self.settings.defect == Some(DriverDefect::TruncatedAsComplete);
                let answer = if hidden { AttemptAnswer::Whole } else { AttemptAnswer::Broken };
                self.end_flow(entry, flow, false, answer);
            }
        }
    }

    fn apply_defect(&self, outcome: CallOutcome) -> CallOutcome {
        match (self.settings.defect, &outcome) {
            (Some(DriverDefect::LostAsUnreachable), CallOutcome::Lost { .. }) => {
                CallOutcome::Unreachable
            }
            (Some(DriverDefect::LostAsDeclined), CallOutcome::Lost { .. }) => CallOutcome::Declined,
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

    /// Ends a request in the shell: its call is dropped, its caller answered.
    fn end_flow(&mut self, entry: EntryId, flow: FlowId, whole: bool, answer: AttemptAnswer) {
        let Some(sim) = self.entries[entry].flows.remove(&flow) else { return };
        if answer == AttemptAnswer::Whole {
            self.check_whole(sim.attempt);
        }
        self.end_attempt(sim.attempt, answer);
        if !whole && let Some((number, target)) = sim.call {
            self.cancel(entry, flow, number, target);
        }
        self.step_machine(entry, DirectEvent::FlowEnded { flow, complete: whole });
    }

    /// Drops the request of a caller that has left.
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
        self.after(NETWORK_DELAY, RigEvent::CallCancelled { entry, process, flow, number, target });
    }

    pub(super) fn time_out_answer(&mut self, entry: EntryId, process: u64, flow: FlowId) {
        if self.is_process(entry, process) {
            self.end_flow(entry, flow, false, AttemptAnswer::Broken);
        }
    }
}
