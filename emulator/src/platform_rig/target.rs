//! Simulated targets: engines for prefill and decode, and plain services.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};

use hyper::header::HeaderMap;
use rand::RngExt;
use sapphirewell::{
    direct::{
        CallNumber, CallOutcome, CallStep, DirectTarget, FlowId, SoftwareVersion, TargetStage,
    },
    ids::ClockTime,
};

use super::{
    EntryId, NETWORK_DELAY, PlatformRig, PlatformSite, PlatformStep, RigEvent, TargetSignal,
    caller::RequestClass, entry::CONNECTION_TIMEOUT,
};

/// Index of a target in the rig.
pub type TargetIndex = usize;

/// Prompt tokens that a prefill engine of speed 1 processes per second.
const PREFILL_TOKENS_PER_S: f64 = 61_200.0;
/// Time to transfer a KV cache between two engines.
const CACHE_TRANSFER_TIME: Duration = Duration::from_millis(20);
/// Time between two events of a stream.
const EVENT_TIME: Duration = Duration::from_millis(100);
/// Base time that a plain service takes for a call.
const CALL_TIME: Duration = Duration::from_millis(30);
/// Time after which a KV cache that no engine fetches expires.
const CACHE_LIFETIME: Duration = Duration::from_secs(5);
/// The same while [`super::PlatformFault::CachesExpire`] lasts.
const SHORT_CACHE_LIFETIME: Duration = Duration::from_millis(10);
/// Maximum length of a target's queue; short, so that bursts lead to declined calls.
const MAX_WAITING_CALLS: usize = 1;
/// Factor by which the work of a slow target takes longer.
const SLOW_FACTOR: f64 = 6.0;

/// Description of a target to add to the rig.
#[derive(Debug, Clone)]
pub struct TargetPlan {
    /// Target id of its first start; restarts under a new id append a number.
    pub name: String,
    /// Name of the service that it belongs to.
    pub service: String,
    /// Stage of an engine, or [`TargetStage::Plain`] for a plain service.
    pub stage: TargetStage,
    /// Relative prefill speed; 1 is ordinary.
    pub speed: f64,
    /// Version of its software.
    pub version: String,
}

/// State of a target's process and VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum TargetState {
    /// The process runs and accepts calls.
    Serving,
    /// The process has ended; the VM refuses connections.
    Crashed,
    /// The VM has lost power: callers get no response at all.
    PoweredOff,
    /// The target is gone for good.
    Gone,
}

/// Call from an entry to a target.
#[derive(Debug, Clone)]
pub(crate) struct SimCall {
    pub(crate) entry: EntryId,
    pub(crate) process: u64,
    pub(crate) flow: FlowId,
    pub(crate) number: CallNumber,
    pub(crate) attempt: usize,
    /// Headers of the caller that the target gets.
    pub(crate) forwarded: Arc<HeaderMap>,
    pub(crate) target: Arc<DirectTarget>,
    pub(crate) step: CallStep,
    pub(crate) priority: u8,
    pub(crate) deadline: ClockTime,
    /// Software version at which the call runs; empty until it does.
    pub(crate) ran_at: SoftwareVersion,
}

type CallKey = (EntryId, u64, FlowId, CallNumber);

impl SimCall {
    fn key(&self) -> CallKey {
        (self.entry, self.process, self.flow, self.number)
    }
}

/// Call that a target is running.
#[derive(Debug, Clone)]
struct SimRun {
    number: u64,
    call: SimCall,
    events: u32,
    /// Number of the event after which the answer is interrupted.
    interrupted_after: Option<u32>,
    fails: bool,
    /// Whether the connection is lost while the work goes on.
    disconnected: bool,
}

/// Simulated target with its registration, its queue and its running calls.
pub(crate) struct SimTarget {
    pub(super) plan: TargetPlan,
    pub(super) listed: DirectTarget,
    pub(super) state: TargetState,
    pub(super) starts: u64,
    /// Whether the engine is changing its stage; it declines calls meanwhile.
    pub(super) switching: bool,
    /// Time from which the target counts as leaving.
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
    /// Adds a target at an address of its own and registers it in the store.
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
            version: plan.version.as_str().into(),
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

    /// Returns the target that serves at an address, or else the last one added there.
    pub(super) fn target_at(&self, address: SocketAddr) -> TargetIndex {
        let at = |sim: &&SimTarget| sim.listed.address == address;
        let serving = |sim: &SimTarget| sim.state == TargetState::Serving && at(&sim);
        let first = self.targets.iter().position(serving);
        first.or_else(|| self.targets.iter().rposition(|sim| at(&sim))).unwrap_or(0)
    }

    /// Ends a target's process and breaks all its connections.
    pub(super) fn crash_target(&mut self, target: TargetIndex, state: TargetState) {
        let sim = &mut self.targets[target];
        sim.state = state;
        sim.handles.clear();
        sim.cached_prefixes.clear();
        let running = std::mem::take(&mut sim.running);
        let waiting = std::mem::take(&mut sim.waiting);
        let delay =
            if state == TargetState::PoweredOff { CONNECTION_TIMEOUT } else { NETWORK_DELAY };
        for run in running.into_iter().filter(|run| !run.disconnected) {
            self.break_call(run.call, run.events > 0, delay);
        }
        for call in waiting {
            self.break_call(call, false, delay);
        }
    }

    /// Restarts a target under its old target id or a new one.
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
        sim.listed.version = sim.plan.version.as_str().into();
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

    /// Breaks the connections of all running calls of a target and drops their work.
    pub(super) fn reset_connections(&mut self, target: TargetIndex) {
        let running = std::mem::take(&mut self.targets[target].running);
        for run in running {
            self.break_call(run.call, run.events > 0, NETWORK_DELAY);
        }
        self.admit(target);
    }

    fn break_call(&mut self, call: SimCall, answered: bool, delay: Duration) {
        let lost = TargetSignal::Outcome(CallOutcome::Lost { closed: true });
        let signal = if answered { TargetSignal::Break } else { lost };
        self.schedule_after(delay, RigEvent::FromTarget { call: Box::new(call), signal });
    }

    fn signal(&mut self, target: TargetIndex, call: &SimCall, signal: TargetSignal) {
        if self.is_cut(call.entry, target) {
            // What the target sends after the cut must not overtake the loss of the connection.
            let key = call.key();
            let runs = self.targets[target].running.iter_mut();
            runs.filter(|run| run.call.key() == key).for_each(|run| run.disconnected = true);
            let answered = !matches!(signal, TargetSignal::Outcome(_));
            return self.break_call(call.clone(), answered, CONNECTION_TIMEOUT);
        }
        self.schedule_after(
            NETWORK_DELAY,
            RigEvent::FromTarget { call: Box::new(call.clone()), signal },
        );
    }

    /// Returns whether a target serves at an address.
    pub(super) fn takes_connections(&self, address: SocketAddr) -> bool {
        let target = self.target_at(address);
        self.targets[target].state == TargetState::Serving
    }

    /// Handles a call that has reached the address of its target.
    pub(super) fn call_arrives(&mut self, call: SimCall) {
        let target = self.target_at(call.target.address);
        self.record_step(PlatformStep::CallArrived, PlatformSite { entry: call.entry, target });
        let outcome = match self.targets[target].state {
            TargetState::PoweredOff => return self.time_out_call(call),
            TargetState::Crashed | TargetState::Gone => CallOutcome::Unreachable,
            TargetState::Serving => match self.rejection(target, &call) {
                Some(outcome) => outcome,
                None => return self.accept(target, call),
            },
        };
        self.signal(target, &call, TargetSignal::Outcome(outcome));
    }

    /// Returns the outcome with which a target rejects a call, or `None` if it accepts it.
    fn rejection(&mut self, target: TargetIndex, call: &SimCall) -> Option<CallOutcome> {
        let sim = &self.targets[target];
        let checks_id = self.settings.defect != Some(super::DriverDefect::MissingTargetId);
        let other_target = checks_id && sim.listed.id != call.target.id;
        let wrong_stage =
            (sim.plan.stage == TargetStage::Prefill) != (call.step == CallStep::Prefill);
        if other_target || (wrong_stage && checks_id) {
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

    /// Admits waiting calls to free slots.
    fn admit(&mut self, target: TargetIndex) {
        loop {
            let sim = &mut self.targets[target];
            let taken = sim.running.iter().filter(|run| run.call.step != CallStep::Prefill).count();
            if sim.waiting.is_empty() || taken >= sim.listed.slots as usize {
                return;
            }
            let call = sim.waiting.remove(0);
            if call.deadline <= self.now || !self.fetch_cache(&call) {
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

    /// Fetches the KV cache that a decode call continues from.
    ///
    /// Returns whether the call can run: it needs no cache, or the cache had not expired.
    fn fetch_cache(&mut self, call: &SimCall) -> bool {
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

    /// Returns the time until an engine has prefilled a prompt; it prefills one at a time.
    fn prefill_time(&mut self, target: TargetIndex, attempt: usize, share: f64) -> Duration {
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
        let seconds = tokens * slow / (PREFILL_TOKENS_PER_S * share * sim.plan.speed);
        let start = sim.prefill_free_at.max(self.now);
        sim.prefill_free_at = start + Duration::from_secs_f64(seconds);
        sim.prefill_free_at - self.now + Duration::from_millis(5)
    }

    fn schedule_run(&mut self, target: TargetIndex, mut call: SimCall, time: Duration) {
        call.ran_at = self.targets[target].listed.version.clone();
        self.next_run += 1;
        let number = self.next_run;
        let now = self.now;
        let flaky = self.targets[target].flaky_until > now && self.rng.random_bool(0.5);
        let interrupts =
            self.targets[target].breaks_answers_until > now && self.rng.random_bool(0.5);
        let loses_connection =
            self.targets[target].loses_answers_until > now && self.rng.random_bool(0.5);
        let run = SimRun {
            number,
            call,
            events: 0,
            interrupted_after: interrupts.then_some(1),
            fails: flaky,
            disconnected: loses_connection,
        };
        if loses_connection {
            self.break_call(run.call.clone(), false, NETWORK_DELAY * 3);
        }
        self.targets[target].running.push(run);
        self.schedule_after(time, RigEvent::RunStep { target, run: number });
    }

    /// Advances a run by one event.
    pub(super) fn run_step(&mut self, target: TargetIndex, number: u64) {
        let Some(index) = self.targets[target].running.iter().position(|r| r.number == number)
        else {
            return;
        };
        let run = self.targets[target].running[index].clone();
        self.check_progress(&run.call, target);
        if run.call.step == CallStep::Prefill {
            self.targets[target].running.remove(index);
            if run.fails {
                return self.signal_run(
                    target,
                    &run,
                    TargetSignal::Outcome(CallOutcome::PrefillRan),
                );
            }
            return self.finish_prefill(target, &run);
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
            if self.callers.record(run.call.attempt).request.has_crashing_segment {
                self.crash_soon(target);
            }
        }
        if run.interrupted_after.is_some_and(|after| after < events)
            || (run.fails && class.is_stream())
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
            self.schedule_after(EVENT_TIME, RigEvent::RunStep { target, run: number });
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

    fn finish_prefill(&mut self, target: TargetIndex, run: &SimRun) {
        let short = self.targets[target].short_caches_until > self.now;
        let lifetime = if short { SHORT_CACHE_LIFETIME } else { CACHE_LIFETIME };
        let until = self.now + lifetime;
        let name = format!("h{}", run.number);
        self.targets[target].handles.insert(name.clone(), until);
        let handle = name.as_str().into();
        self.signal_run(target, run, TargetSignal::Outcome(CallOutcome::Prefilled { handle }));
        let site = PlatformSite { entry: run.call.entry, target };
        self.record_step(PlatformStep::PrefillDone, site);
    }

    /// Stops the work for a call whose connection the entry has closed.
    pub(super) fn call_cancelled(&mut self, target: TargetIndex, key: CallKey) {
        let sim = &mut self.targets[target];
        sim.waiting.retain(|call| call.key() != key);
        sim.running.retain(|run| run.call.key() != key);
        self.admit(target);
    }

    /// Frees a KV cache at its engine, unless the entry cannot reach it.
    pub(super) fn free_cache(&mut self, entry: EntryId, target: &DirectTarget, handle: &str) {
        let index = self.target_at(target.address);
        if !self.is_cut(entry, index) {
            self.targets[index].handles.remove(handle);
        }
    }
}
