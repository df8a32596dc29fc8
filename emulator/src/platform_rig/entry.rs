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
    DELAY, PlatformRig, PlatformRule, PlatformSite, PlatformStep, REPORT_INTERVAL, RigEvent, TICK,
    TargetSignal,
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
const CRASH_TIME: Duration = Duration::from_secs(3);
/// Time after which a lost connection is noticed.
pub(super) const SILENCE_LIMIT: Duration = Duration::from_millis(2500);

/// Defect at the edge of the entries, with which the matrix is checked.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, EnumIter, EnumString)]
#[strum(serialize_all = "snake_case")]
pub enum EdgeDefect {
    /// A broken connection is taken for one over which nothing was sent.
    LostAsUnreachable,
    /// A broken connection is taken for a decline.
    LostAsDeclined,
    /// A target's leaving is not passed on.
    LeavingIgnored,
    /// Only the first configuration is read.
    ConfigurationReadOnce,
    /// A call goes on when its caller has left.
    CallerLeftIgnored,
    /// Calls do not name the target that is meant.
    CallsWithoutName,
    /// Crashes are not told to other entries.
    CrashesUntold,
    /// The retry budget is ten times too large.
    BudgetTooLarge,
    /// Calls get a minute whatever the caller still waits.
    DeadlineIgnored,
    /// The machine gets no ticks.
    NoTicks,
    /// Orders are sent without a look at the store.
    ClaimsUnchecked,
    /// An answer that broke off is passed on as complete.
    BreakAsEnd,
}

/// Request in an entry's shell.
#[derive(Debug)]
struct FlowSeat {
    attempt: usize,
    call: Option<(CallNumber, TargetIndex)>,
    delivering: bool,
}

/// Entry and its process.
pub(crate) struct EntrySeat {
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
    flows: BTreeMap<FlowId, FlowSeat>,
    next_flow: FlowId,
    reports: u64,
    crashes: VecDeque<(ClockTime, CrashReport)>,
}

impl EntrySeat {
    pub(super) fn count_report(&mut self) -> u64 {
        self.reports += 1;
        self.reports
    }

    pub(super) fn recent_crashes(&mut self, now: ClockTime) -> Vec<CrashReport> {
        self.crashes.retain(|(seen, _)| *seen + CRASH_TIME >= now);
        self.crashes.iter().map(|(_, report)| report.clone()).collect()
    }

    pub(super) fn disturb(&mut self, from: ClockTime, until: ClockTime) {
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
        self.entries.push(EntrySeat {
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
        let wide = self.settings.defect == Some(EdgeDefect::BudgetTooLarge);
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
        let seat = &mut self.entries[entry];
        seat.machine = machine;
        seat.process += 1;
        seat.alive = true;
        seat.draining = false;
        seat.stopping = false;
        seat.next_record = None;
        seat.shown_version = 0;
        seat.crashes.clear();
        seat.disturb(now, now);
        let process = seat.process;
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
        self.reach(PlatformStep::EntryStarted, PlatformSite { entry, target: 0 });
    }

    /// Ends an entry's process; its callers' connections break with it.
    ///
    /// Targets see their connections close, unless the VM lost power.
    pub(super) fn end_entry(&mut self, entry: EntryId, power_lost: bool) {
        let seat = &mut self.entries[entry];
        seat.alive = false;
        seat.process += 1;
        let flows = std::mem::take(&mut seat.flows);
        let process = self.entries[entry].process - 1;
        for (flow, seat) in flows {
            self.end_attempt(seat.attempt, AttemptAnswer::Broken);
            if !power_lost && let Some((number, target)) = seat.call {
                self.after(DELAY, RigEvent::CallCancelled { entry, process, flow, number, target });
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
        self.after(TICK, RigEvent::Tick { entry, process });
        if self.settings.defect != Some(EdgeDefect::NoTicks) {
            self.step_machine(entry, DirectEvent::Tick);
        }
    }

    /// Hands an attempt to the entry's machine.
    pub(super) fn submit(&mut self, entry: EntryId, attempt: usize) {
        self.check_configuration(entry);
        let Some(request) = self.core_request(attempt) else {
            return self.refuse_unready(attempt);
        };
        let seat = &mut self.entries[entry];
        seat.next_flow += 1;
        let flow = seat.next_flow;
        seat.flows.insert(flow, FlowSeat { attempt, call: None, delivering: false });
        self.referee.offered(self.now, &request.route.services[0].service);
        self.step_machine(entry, DirectEvent::Submit { flow, request: Box::new(request) });
    }

    /// Answers as the shell does while no configuration is known.
    fn refuse_unready(&mut self, attempt: usize) {
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
                let ignored = self.settings.defect == Some(EdgeDefect::DeadlineIgnored);
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
                if let Some(seat) = self.entries[entry].flows.get_mut(&flow) {
                    seat.delivering = true;
                    self.after(time_left, RigEvent::CutAnswer { entry, process, flow });
                }
            }
            DirectAction::Fail { flow, failure: answer } => {
                let Some(attempt) = self.attempt_of(entry, flow) else { return };
                if answer.not_run {
                    self.referee.promised_not_run(attempt);
                }
                self.end_flow(entry, flow, false, AttemptAnswer::Own(answer));
                self.reach(PlatformStep::RequestRefused, PlatformSite { entry, target: 0 });
            }
            DirectAction::FreeCache { target, handle } => {
                self.after_free(entry, &target, &handle);
            }
            DirectAction::Claim => self.claim(entry),
            DirectAction::Order(order) => self.send_order(entry, order),
            DirectAction::PersistSuspect(change) => {
                let process = self.entries[entry].process;
                self.keep_suspect(entry, process, change);
            }
            DirectAction::ReportCrashes(report) => {
                let now = self.now;
                self.entries[entry].crashes.push_back((now, report));
                self.reach(PlatformStep::CrashSeen, PlatformSite { entry, target: 0 });
            }
        }
    }

    fn attempt_of(&self, entry: EntryId, flow: FlowId) -> Option<usize> {
        self.entries[entry].flows.get(&flow).map(|seat| seat.attempt)
    }

    fn send_call(&mut self, call: SimCall, target: &DirectTarget) {
        let entry = call.entry;
        let index = self.target_at(target.address);
        let Some(seat) = self.entries[entry].flows.get_mut(&call.flow) else { return };
        seat.call = Some((call.number, index));
        self.referee_call(&call, index);
        let site = PlatformSite { entry, target: index };
        self.reach(PlatformStep::CallSent, site);
        if call.number > 1 {
            self.reach(PlatformStep::SecondCallSent, site);
        }
        if self.is_cut(entry, index) {
            return self.fall_silent(call);
        }
        self.after(DELAY, RigEvent::CallArrives { call: Box::new(call) });
    }

    /// Ends a call over a connection that no longer carries anything.
    pub(super) fn fall_silent(&mut self, call: SimCall) {
        let fresh = self.rng.random_bool(0.5);
        let (delay, outcome) = if fresh {
            (Duration::from_millis(700), CallOutcome::Unreachable)
        } else {
            (SILENCE_LIMIT, CallOutcome::Lost { closed: true })
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
        let Some(seat) = self.entries[entry].flows.get_mut(&flow) else { return };
        if seat.call.map(|(number, _)| number) != Some(call.number) {
            return;
        }
        let (attempt, delivering) = (seat.attempt, seat.delivering);
        match signal {
            TargetSignal::Outcome(outcome) => {
                if !matches!(outcome, CallOutcome::Answered { .. }) {
                    seat.call = None;
                }
                let outcome = self.as_edge(outcome);
                let event = DirectEvent::CallEnded { flow, call: call.number, outcome };
                self.step_machine(entry, event);
            }
            TargetSignal::Output(index) if delivering => {
                if index == 1 {
                    self.step_machine(entry, DirectEvent::FirstOutput { flow });
                }
                self.output_reaches(attempt, index);
            }
            TargetSignal::Output(_) => {}
            TargetSignal::End => self.end_flow(entry, flow, true, AttemptAnswer::Whole),
            TargetSignal::Break => {
                self.step_machine(entry, DirectEvent::AnswerInterrupted { flow });
                let hidden = self.settings.defect == Some(EdgeDefect::BreakAsEnd);
                let answer = if hidden { AttemptAnswer::Whole } else { AttemptAnswer::Broken };
                self.end_flow(entry, flow, false, answer);
            }
        }
    }

    fn as_edge(&self, outcome: CallOutcome) -> CallOutcome {
        match (self.settings.defect, &outcome) {
            (Some(EdgeDefect::LostAsUnreachable), CallOutcome::Lost { .. }) => {
                CallOutcome::Unreachable
            }
            (Some(EdgeDefect::LostAsDeclined), CallOutcome::Lost { .. }) => CallOutcome::Declined,
            _ => outcome,
        }
    }

    fn output_reaches(&mut self, attempt: usize, index: u32) {
        let now = self.now;
        let record = self.callers.record_mut(attempt);
        record.first.get_or_insert(now);
        record.events += 1;
        if record.events != index {
            let seen = format!("attempt {attempt} got event {index} as number {}", record.events);
            self.referee.breach(PlatformRule::WholeOwnAnswer, seen);
        }
    }

    /// Ends a request in the shell: its call is dropped, its caller answered.
    fn end_flow(&mut self, entry: EntryId, flow: FlowId, whole: bool, answer: AttemptAnswer) {
        let Some(seat) = self.entries[entry].flows.remove(&flow) else { return };
        if answer == AttemptAnswer::Whole {
            self.check_whole(seat.attempt);
        }
        self.end_attempt(seat.attempt, answer);
        if !whole && let Some((number, target)) = seat.call {
            self.cancel(entry, flow, number, target);
        }
        self.step_machine(entry, DirectEvent::FlowEnded { flow, complete: whole });
    }

    /// Drops the request of a caller that has left.
    pub(super) fn drop_attempt(&mut self, entry: EntryId, attempt: usize) {
        let flow = self.entries[entry].flows.iter().find(|(_, seat)| seat.attempt == attempt);
        if let Some(flow) = flow.map(|(flow, _)| *flow) {
            if self.settings.defect == Some(EdgeDefect::CallerLeftIgnored) {
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
        self.after(DELAY, RigEvent::CallCancelled { entry, process, flow, number, target });
    }

    pub(super) fn cut_answer(&mut self, entry: EntryId, process: u64, flow: FlowId) {
        if self.is_process(entry, process) {
            self.end_flow(entry, flow, false, AttemptAnswer::Broken);
        }
    }
}
