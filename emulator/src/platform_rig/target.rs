//! Targets of the rig: engines with two stages, and plain services.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};

use rand::RngExt;
use sapphirewell::{
    direct::{CallNumber, CallOutcome, CallStep, DirectTarget, FlowId, TargetStage},
    ids::ClockTime,
};

use super::{
    EntryId, NETWORK_DELAY, PlatformRig, PlatformSite, PlatformStep, RigEvent, TargetSignal,
    caller::RequestClass, entry::CONNECTION_TIMEOUT,
};

/// Index of a target's seat.
pub type TargetIndex = usize;

/// Prompt tokens that an engine of speed 1 reads in a second.
const PREFILL_TOKENS_PER_S: f64 = 61_200.0;
/// Time to move a KV cache, and of one event of a stream.
const CACHE_TRANSFER_TIME: Duration = Duration::from_millis(20);
const EVENT_TIME: Duration = Duration::from_millis(100);
/// Work of a plain service.
const CALL_TIME: Duration = Duration::from_millis(30);
/// Life of a KV cache that nobody takes, ordinary and short.
const CACHE_LIFETIME: Duration = Duration::from_secs(5);
const SHORT_CACHE_LIFETIME: Duration = Duration::from_millis(10);
/// Calls that wait at a target at most; few, so that bursts are declined.
const MAX_WAITING_CALLS: usize = 1;
/// What a slow target takes longer.
const SLOW_FACTOR: f64 = 6.0;

/// Target as it is planned.
#[derive(Debug, Clone)]
pub struct TargetPlan {
    /// Its name; later starts get a number besides.
    pub name: String,
    /// Its service.
    pub service: String,
    /// Its stage.
    pub stage: TargetStage,
    /// Its speed, 1 for ordinary.
    pub speed: f64,
}

/// Whether a target answers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum TargetState {
    /// It serves.
    Serving,
    /// Its process has ended; its VM resets connections.
    Crashed,
    /// Its VM has no power: nothing comes back.
    Dark,
    /// It will not come back.
    Gone,
}

/// Call on its way.
#[derive(Debug, Clone)]
pub(crate) struct SimCall {
    pub(crate) entry: EntryId,
    pub(crate) process: u64,
    pub(crate) flow: FlowId,
    pub(crate) number: CallNumber,
    pub(crate) attempt: usize,
    pub(crate) target: Arc<DirectTarget>,
    pub(crate) step: CallStep,
    pub(crate) priority: u8,
    pub(crate) deadline: ClockTime,
}

type CallKey = (EntryId, u64, FlowId, CallNumber);

impl SimCall {
    fn key(&self) -> CallKey {
        (self.entry, self.process, self.flow, self.number)
    }
}

/// Call that a target works on.
#[derive(Debug, Clone)]
struct SimRun {
    number: u64,
    call: SimCall,
    events: u32,
    /// Event after which the answer breaks off.
    breaks_after: Option<u32>,
    fails: bool,
    /// Whether its connection is gone, though the work goes on.
    disconnected: bool,
}

/// Target with its work.
pub(crate) struct SimTarget {
    pub(super) plan: TargetPlan,
    pub(super) listed: DirectTarget,
    pub(super) state: TargetState,
    pub(super) starts: u64,
    /// Whether it changes its part and begins nothing.
    pub(super) switching: bool,
    /// When the store took its leaving.
    pub(super) leaving: Option<ClockTime>,
    pub(super) slow_until: ClockTime,
    pub(super) flaky_until: ClockTime,
    pub(super) loses_answers_until: ClockTime,
    pub(super) breaks_answers_until: ClockTime,
    pub(super) short_caches_until: ClockTime,
    running: Vec<SimRun>,
    waiting: Vec<SimCall>,
    prefill_free_at: ClockTime,
    handles: BTreeMap<String, ClockTime>,
    cached_prefixes: BTreeSet<u64>,
}

impl PlatformRig {
    /// Adds a target and lists it.
    pub(super) fn add_target(&mut self, plan: TargetPlan) -> TargetIndex {
        let index = self.targets.len();
        let address = SocketAddr::from(([127, 0, 0, 1], 10_000 + index as u16));
        self.add_target_at(plan, address)
    }

    /// Adds a target at an address that another one may have had.
    pub(super) fn add_target_at(&mut self, plan: TargetPlan, address: SocketAddr) -> TargetIndex {
        let index = self.targets.len();
        let listed = DirectTarget {
            id: plan.name.as_str().into(),
            born_ms: self.now.as_millis() as u64,
            service: plan.service.as_str().into(),
            address,
            data_centre: "dc".into(),
            stage: plan.stage,
            slots: if plan.stage == TargetStage::Plain { 2 } else { 16 },
            leaving: false,
            sequence: 1,
        };
        self.store.write_target(listed.id.clone(), Some(listed.clone()));
        self.targets.push(SimTarget {
            plan,
            listed,
            state: TargetState::Serving,
            starts: 0,
            switching: false,
            leaving: None,
            slow_until: ClockTime::ZERO,
            flaky_until: ClockTime::ZERO,
            loses_answers_until: ClockTime::ZERO,
            breaks_answers_until: ClockTime::ZERO,
            short_caches_until: ClockTime::ZERO,
            running: Vec::new(),
            waiting: Vec::new(),
            prefill_free_at: ClockTime::ZERO,
            handles: BTreeMap::new(),
            cached_prefixes: BTreeSet::new(),
        });
        if !self.now.is_zero() {
            self.record_step(PlatformStep::TargetListed, PlatformSite { entry: 0, target: index });
        }
        index
    }

    /// Returns the seat that answers at an address, or else the last one there.
    pub(super) fn target_at(&self, address: SocketAddr) -> TargetIndex {
        let at = |sim: &&SimTarget| sim.listed.address == address;
        let serving = |sim: &SimTarget| sim.state == TargetState::Serving && at(&sim);
        let first = self.targets.iter().position(serving);
        first.or_else(|| self.targets.iter().rposition(|sim| at(&sim))).unwrap_or(0)
    }

    /// Ends a target's process: all its connections break.
    pub(super) fn crash_target(&mut self, target: TargetIndex, state: TargetState) {
        let sim = &mut self.targets[target];
        sim.state = state;
        sim.handles.clear();
        sim.cached_prefixes.clear();
        let running = std::mem::take(&mut sim.running);
        let waiting = std::mem::take(&mut sim.waiting);
        let delay = if state == TargetState::Dark { CONNECTION_TIMEOUT } else { NETWORK_DELAY };
        for run in running.into_iter().filter(|run| !run.disconnected) {
            self.break_call(run.call, run.events > 0, delay);
        }
        for call in waiting {
            self.break_call(call, false, delay);
        }
    }

    /// Starts a target again, under its name or a new one.
    pub(super) fn restart_target(&mut self, target: TargetIndex, new_name: bool) {
        let now = self.now;
        let sim = &mut self.targets[target];
        if sim.state == TargetState::Serving || sim.state == TargetState::Gone {
            return;
        }
        sim.state = TargetState::Serving;
        sim.starts += 1;
        sim.prefill_free_at = now;
        sim.switching = false;
        sim.leaving = None;
        let old = sim.listed.id.clone();
        if new_name {
            sim.listed.id = format!("{}-{}", sim.plan.name, sim.starts).into();
        }
        sim.listed.born_ms = now.as_millis() as u64;
        sim.listed.sequence = 1;
        sim.listed.leaving = false;
        let listed = sim.listed.clone();
        if new_name {
            self.store.write_target(old, None);
        }
        self.store.write_target(listed.id.clone(), Some(listed));
        self.record_step(PlatformStep::TargetListed, PlatformSite { entry: 0, target });
    }

    /// Breaks all connections of a target; those who send nothing again go on.
    pub(super) fn reset_connections(&mut self, target: TargetIndex) {
        let running = std::mem::take(&mut self.targets[target].running);
        for run in running {
            self.break_call(run.call, run.events > 0, NETWORK_DELAY);
        }
    }

    fn break_call(&mut self, call: SimCall, answered: bool, delay: Duration) {
        let lost = TargetSignal::Outcome(CallOutcome::Lost { closed: true });
        let signal = if answered { TargetSignal::Break } else { lost };
        self.after(delay, RigEvent::FromTarget { call: Box::new(call), signal });
    }

    fn signal(&mut self, target: TargetIndex, call: &SimCall, signal: TargetSignal) {
        if self.is_cut(call.entry, target) {
            let answered = !matches!(signal, TargetSignal::Outcome(_));
            return self.break_call(call.clone(), answered, CONNECTION_TIMEOUT);
        }
        self.after(NETWORK_DELAY, RigEvent::FromTarget { call: Box::new(call.clone()), signal });
    }

    /// Handles a call that has reached the address of its target.
    pub(super) fn call_arrives(&mut self, call: SimCall) {
        let target = self.target_at(call.target.address);
        self.record_step(PlatformStep::CallArrived, PlatformSite { entry: call.entry, target });
        let outcome = match self.targets[target].state {
            TargetState::Dark => return self.time_out_call(call),
            TargetState::Crashed | TargetState::Gone => CallOutcome::Unreachable,
            TargetState::Serving => match self.rejection(target, &call) {
                Some(outcome) => outcome,
                None => return self.accept(target, call),
            },
        };
        self.signal(target, &call, TargetSignal::Outcome(outcome));
    }

    fn rejection(&mut self, target: TargetIndex, call: &SimCall) -> Option<CallOutcome> {
        let sim = &self.targets[target];
        let named = self.settings.defect != Some(super::DriverDefect::MissingTargetId);
        let other = named && sim.listed.id != call.target.id;
        let wrong_stage =
            (sim.plan.stage == TargetStage::Prefill) != (call.step == CallStep::Prefill);
        if other || (wrong_stage && named) {
            return Some(CallOutcome::WrongTarget);
        }
        self.check_arrival(call, target);
        if self.targets[target].switching || self.targets[target].waiting.len() >= MAX_WAITING_CALLS
        {
            self.record_step(
                PlatformStep::CallDeclined,
                PlatformSite { entry: call.entry, target },
            );
            return Some(CallOutcome::Declined);
        }
        None
    }

    fn accept(&mut self, target: TargetIndex, call: SimCall) {
        if call.step == CallStep::Prefill {
            let time = self.prefill_time(target, call.attempt, 1.0);
            self.schedule_run(target, call, time);
            return;
        }
        let sim = &mut self.targets[target];
        let place = sim.waiting.iter().position(|waiting| waiting.priority > call.priority);
        let place = place.unwrap_or(sim.waiting.len());
        sim.waiting.insert(place, call);
        self.admit(target);
    }

    /// Gives free slots to waiting calls.
    fn admit(&mut self, target: TargetIndex) {
        loop {
            let sim = &mut self.targets[target];
            let taken = sim.running.iter().filter(|run| run.call.step != CallStep::Prefill).count();
            if sim.waiting.is_empty() || taken >= sim.listed.slots as usize {
                return;
            }
            let call = sim.waiting.remove(0);
            if call.deadline <= self.now || !self.take_cache(&call) {
                let site = PlatformSite { entry: call.entry, target };
                self.signal(target, &call, TargetSignal::Outcome(CallOutcome::Declined));
                self.record_step(PlatformStep::CallDeclined, site);
                continue;
            }
            self.start_run(target, call);
            if self.targets[target].state != TargetState::Serving {
                return;
            }
        }
    }

    /// Takes the KV cache from which a call goes on; true where it needs none.
    fn take_cache(&mut self, call: &SimCall) -> bool {
        let CallStep::Decode { source, handle } = &call.step else { return true };
        let holder = self.target_at(*source);
        let until = self.targets[holder].handles.remove(&**handle);
        self.record_step(
            PlatformStep::CacheFetched,
            PlatformSite { entry: call.entry, target: holder },
        );
        until.is_some_and(|until| until > self.now)
    }

    fn start_run(&mut self, target: TargetIndex, call: SimCall) {
        let class = self.callers.record(call.attempt).request.class;
        self.check_run(&call, target);
        let site = PlatformSite { entry: call.entry, target };
        let once = !matches!(class, RequestClass::Dossier | RequestClass::Lookup);
        let step =
            if once { PlatformStep::OnceRunStarted } else { PlatformStep::RepeatableRunStarted };
        let slow = if self.targets[target].slow_until > self.now { SLOW_FACTOR } else { 1.0 };
        let time = match (&call.step, class.is_stream()) {
            (CallStep::Decode { .. }, _) => CACHE_TRANSFER_TIME,
            (_, true) => self.prefill_time(target, call.attempt, 0.5),
            (_, false) => CALL_TIME.mul_f64(slow * self.rng.random_range(0.7..1.5)),
        };
        self.schedule_run(target, call, time);
        if class == RequestClass::Poison {
            return self.crash_on_poison(target);
        }
        self.record_step(step, site);
    }

    /// Returns when an engine has read a prompt, which it does one after another.
    fn prefill_time(&mut self, target: TargetIndex, attempt: usize, part: f64) -> Duration {
        let record = self.callers.record(attempt);
        let (class, prefix_id) = (record.request.class, record.request.prefix_id);
        let sim = &mut self.targets[target];
        let cached = !sim.cached_prefixes.insert(prefix_id);
        let tokens = match class {
            RequestClass::Dossier if cached => 3720.0,
            RequestClass::Dossier => 17_020.0,
            _ => 383.0,
        };
        let slow = if sim.slow_until > self.now { SLOW_FACTOR } else { 1.0 };
        let seconds = tokens * slow / (PREFILL_TOKENS_PER_S * part * sim.plan.speed);
        let start = sim.prefill_free_at.max(self.now);
        sim.prefill_free_at = start + Duration::from_secs_f64(seconds);
        sim.prefill_free_at - self.now + Duration::from_millis(5)
    }

    fn schedule_run(&mut self, target: TargetIndex, call: SimCall, time: Duration) {
        self.next_run += 1;
        let number = self.next_run;
        let now = self.now;
        let flaky = self.targets[target].flaky_until > now && self.rng.random_bool(0.5);
        let breaks = self.targets[target].breaks_answers_until > now && self.rng.random_bool(0.5);
        let loses = self.targets[target].loses_answers_until > now && self.rng.random_bool(0.5);
        let run = SimRun {
            number,
            call,
            events: 0,
            breaks_after: breaks.then_some(1),
            fails: flaky,
            disconnected: loses,
        };
        if loses {
            self.break_call(run.call.clone(), false, NETWORK_DELAY * 3);
        }
        self.targets[target].running.push(run);
        self.after(time, RigEvent::RunStep { target, run: number });
    }

    /// A run makes its next event.
    pub(super) fn run_step(&mut self, target: TargetIndex, number: u64) {
        let Some(index) = self.targets[target].running.iter().position(|r| r.number == number)
        else {
            return;
        };
        let run = self.targets[target].running[index].clone();
        self.check_progress(&run.call, target);
        if run.call.step == CallStep::Prefill {
            self.targets[target].running.remove(index);
            return self.prefilled(target, &run);
        }
        let class = self.callers.record(run.call.attempt).request.class;
        let events = run.events + 1;
        self.targets[target].running[index].events = events;
        let site = PlatformSite { entry: run.call.entry, target };
        if events == 1 {
            self.signal_run(
                target,
                &run,
                TargetSignal::Outcome(CallOutcome::Answered { success: !run.fails }),
            );
        }
        if run.breaks_after.is_some_and(|after| after < events) || (run.fails && class.is_stream())
        {
            self.signal_run(target, &run, TargetSignal::Break);
            return self.finish_run(target, number);
        }
        self.signal_run(target, &run, TargetSignal::Output(events));
        let last = events >= class.events();
        if last {
            self.signal_run(target, &run, TargetSignal::End);
            self.finish_run(target, number);
            self.record_step(PlatformStep::AnswerDone, site);
        } else {
            self.after(EVENT_TIME, RigEvent::RunStep { target, run: number });
            let step =
                if events == 1 { PlatformStep::FirstOutput } else { PlatformStep::MiddleOutput };
            self.record_step(step, site);
        }
    }

    fn signal_run(&mut self, target: TargetIndex, run: &SimRun, signal: TargetSignal) {
        if !run.disconnected {
            self.signal(target, &run.call, signal);
        }
    }

    fn finish_run(&mut self, target: TargetIndex, number: u64) {
        self.targets[target].running.retain(|run| run.number != number);
        self.admit(target);
    }

    fn prefilled(&mut self, target: TargetIndex, run: &SimRun) {
        let short = self.targets[target].short_caches_until > self.now;
        let life = if short { SHORT_CACHE_LIFETIME } else { CACHE_LIFETIME };
        let until = self.now + life;
        let name = format!("h{}", run.number);
        self.targets[target].handles.insert(name.clone(), until);
        let handle = name.as_str().into();
        self.signal_run(target, run, TargetSignal::Outcome(CallOutcome::Prefilled { handle }));
        let site = PlatformSite { entry: run.call.entry, target };
        self.record_step(PlatformStep::PrefillDone, site);
    }

    /// The connection of a call was closed by its entry: its work stops.
    pub(super) fn call_cancelled(&mut self, target: TargetIndex, key: CallKey) {
        let sim = &mut self.targets[target];
        sim.waiting.retain(|call| call.key() != key);
        sim.running.retain(|run| run.call.key() != key);
        self.admit(target);
    }

    /// Frees a KV cache at its target, a little later.
    pub(super) fn free_cache(&mut self, entry: EntryId, target: &DirectTarget, handle: &str) {
        let index = self.target_at(target.address);
        if !self.is_cut(entry, index) {
            self.targets[index].handles.remove(handle);
        }
    }
}
