//! Entries with the usage duty under a test clock, beside a store and a stand-in of the platform
//! that keeps every report.

#[path = "duty_calls.rs"]
mod duty_calls;
#[path = "usage_machine.rs"]
mod usage_machine;
#[path = "usage_steps.rs"]
mod usage_steps;
#[path = "usage_store.rs"]
mod usage_store;

use std::{
    collections::{BTreeMap, BTreeSet, HashSet},
    sync::Arc,
    time::Duration,
};

use sapphirewell::direct::{
    CallOutcome, ClaimOutcome, CustomerConfig, CustomerCounts, DirectAction, DirectEvent,
    DirectMachine, FixedRecord, FlowId, OrderFencingToken, PostOutcome, StoreGeneration,
    TargetChange, TrueClock, UsageAction, UsageEvent, UsageMessage, UsageWindow, WindowUsage,
};

use duty_calls::{DutyCall, check_one_holder};
use usage_machine::{CUSTOMERS, name, request, routes, settings, target, usage_settings};
pub use usage_steps::{DutyStep, StepFault};
use usage_steps::{Pending, step_of, with_other_counts};
use usage_store::UsageStore;

pub const LEASE: Duration = Duration::from_secs(3);
pub const WINDOW: Duration = Duration::from_secs(5);
pub const LATENESS: Duration = Duration::from_secs(10);
/// Time of a message, and of a call to the store or the platform.
const DELAY: Duration = Duration::from_millis(10);
const STEP: Duration = Duration::from_millis(10);
const TICK: Duration = Duration::from_millis(40);
const REQUEST: Duration = Duration::from_millis(50);
/// Age at which the driver lets a check of the claim lapse.
const CHECK_LIFETIME: Duration = Duration::from_millis(500);
/// Time of day at the start of a test, in the middle of a window.
const START: Duration = Duration::from_millis(1_700_000_002_500);

/// Report that reached the platform.
#[derive(Debug, Clone)]
pub struct Report {
    pub at: Duration,
    pub entry: usize,
    pub fence: OrderFencingToken,
    pub usage: WindowUsage,
}

/// How the platform answers reports.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PlatformMode {
    Accepts,
    /// It answers 429, and takes nothing.
    Refuses,
    /// It takes a report, and its answer is lost.
    LosesAnswers,
    Down,
}

struct Entry {
    machine: DirectMachine,
    instance: u64,
    frozen_until: Duration,
    started: Duration,
    next_flow: FlowId,
    clock: TrueClock,
    is_configured: bool,
    /// Generation of the store that the entry has seen.
    generation: Option<StoreGeneration>,
}

pub struct UsageFleet {
    pub now: Duration,
    entries: Vec<Option<Entry>>,
    restarts: Vec<(Duration, usize)>,
    pending: BTreeMap<(Duration, u64), (usize, u64, Pending)>,
    sequence: u64,
    instances: u64,
    store: UsageStore,
    pub store_is_down: bool,
    /// Entries that cannot reach the store.
    pub cut_from_store: HashSet<usize>,
    /// Entries that no peer reaches.
    pub cut_from_peers: HashSet<usize>,
    /// One in so many messages between entries is lost.
    pub loss: Option<u64>,
    pub platform: PlatformMode,
    pub reports: Vec<Report>,
    pub accepted: BTreeMap<UsageWindow, Duration>,
    pub truth: BTreeMap<UsageWindow, CustomerCounts>,
    pub store_calls: u64,
    pub message_bytes: u64,
    pub saved_bytes: u64,
    /// Messages that were left in the store.
    pub messages_left: u64,
    fault: Option<(DutyStep, StepFault)>,
    /// Steps that are carried out late, whatever became of their entries.
    late: Vec<(Duration, usize, Pending)>,
    pub faults_struck: u32,
    pub late_steps: u32,
    /// Seconds that an entry's clock is set wrong by.
    pub clock_steps: BTreeMap<usize, i64>,
    /// Interval between load reports.
    pub report_interval: Duration,
    pub traffic: bool,
    /// Time from the start of an entry until it has its configuration.
    pub configuration_delay: Duration,
}

impl UsageFleet {
    pub fn new(entries: usize) -> UsageFleet {
        let mut fleet = UsageFleet {
            now: Duration::from_secs(100),
            entries: Vec::new(),
            restarts: Vec::new(),
            pending: BTreeMap::new(),
            sequence: 0,
            instances: 0,
            store: UsageStore::new(),
            store_is_down: false,
            cut_from_store: HashSet::new(),
            cut_from_peers: HashSet::new(),
            loss: None,
            platform: PlatformMode::Accepts,
            reports: Vec::new(),
            accepted: BTreeMap::new(),
            truth: BTreeMap::new(),
            store_calls: 0,
            message_bytes: 0,
            saved_bytes: 0,
            messages_left: 0,
            fault: None,
            late: Vec::new(),
            faults_struck: 0,
            late_steps: 0,
            clock_steps: BTreeMap::new(),
            report_interval: Duration::from_millis(100),
            traffic: true,
            configuration_delay: Duration::ZERO,
        };
        for entry in 0..entries {
            fleet.entries.push(None);
            fleet.start(entry);
        }
        fleet
    }

    pub fn start(&mut self, entry: usize) {
        self.instances += 1;
        let instance = self.instances;
        let mut machine = DirectMachine::new(settings(entry, instance));
        let mut out = Vec::new();
        let since_start = Duration::ZERO;
        let listed = TargetChange::Listed(target());
        machine.step(since_start, DirectEvent::Target(listed), &mut out);
        self.entries[entry] = Some(Entry {
            machine,
            instance,
            frozen_until: Duration::ZERO,
            started: self.now,
            next_flow: 0,
            clock: TrueClock::default(),
            is_configured: false,
            generation: None,
        });
    }

    pub fn kill(&mut self, entry: usize, down: Duration) {
        self.entries[entry] = None;
        self.restarts.push((self.now + down, entry));
    }

    pub fn kill_all(&mut self, down: Duration) {
        (0..self.entries.len()).for_each(|entry| self.kill(entry, down));
    }

    pub fn freeze(&mut self, entry: usize, time: Duration) {
        let until = self.now + time;
        if let Some(entry) = &mut self.entries[entry] {
            entry.frozen_until = until;
        }
    }

    /// Lets a fault strike the next entry at a step.
    pub fn strike(&mut self, step: DutyStep, fault: StepFault) {
        self.fault = Some((step, fault));
    }

    /// Makes the store state no generation. Call before anything runs.
    pub fn omit_generation(&mut self) {
        self.store.generation = None;
    }

    /// Replaces the store's content by that of some time ago.
    pub fn restore_store(&mut self, age: Duration) {
        self.store.restore(self.now.saturating_sub(age));
        (0..self.entries.len()).for_each(|entry| self.observe_generation(entry));
    }

    /// Tells an entry of the store's generation, once it reaches the store.
    fn observe_generation(&mut self, entry: usize) {
        let Some(generation) = self.store.generation else { return };
        let reaches_store = self.is_running(entry) && self.reaches_store(entry);
        let Some(state) = self.entries[entry].as_mut().filter(|_| reaches_store) else { return };
        let event = match state.generation.replace(generation) {
            None => DirectEvent::Usage(UsageEvent::StoreSeen(generation)),
            Some(seen) if seen < generation => DirectEvent::StoreRestored(generation),
            Some(_) => return,
        };
        let time = self.shown_time(entry);
        self.step(entry, DirectEvent::Usage(UsageEvent::Clock(time)));
        self.step(entry, event);
    }

    fn reaches_store(&self, entry: usize) -> bool {
        !self.store_is_down && !self.cut_from_store.contains(&entry)
    }

    // The file serves tests without it, too.
    #[allow(dead_code)]
    /// Lets a write of fixed counts from the generation before take effect now.
    pub fn land_late_counts(&mut self) {
        self.store.land_late_counts();
    }

    pub fn holder(&self) -> Option<usize> {
        self.store.holder()
    }

    /// Returns the number of messages that the store holds.
    pub fn stored_messages(&self) -> usize {
        self.store.messages.len()
    }

    pub fn time_of_day(&self) -> Duration {
        START + self.now
    }

    pub fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now += STEP;
            self.advance();
        }
    }

    fn advance(&mut self) {
        let due: Vec<usize> =
            self.restarts.iter().filter(|(at, _)| *at <= self.now).map(|(_, e)| *e).collect();
        self.restarts.retain(|(at, _)| *at > self.now);
        due.into_iter().for_each(|entry| self.start(entry));
        if self.is_time_for(Duration::from_millis(100), 0) {
            self.store.copy(self.now);
        }
        for entry in 0..self.entries.len() {
            if !self.is_running(entry) {
                continue;
            }
            self.configure(entry);
            self.observe_generation(entry);
            if self.is_time_for(TICK, entry) {
                let time = self.shown_time(entry);
                self.step(entry, DirectEvent::Usage(UsageEvent::Clock(time)));
                self.step(entry, DirectEvent::Tick);
            }
            if self.is_time_for(self.report_interval, entry) {
                self.send_report(entry);
            }
            let is_configured = self.entries[entry].as_ref().is_some_and(|e| e.is_configured);
            if self.traffic && is_configured && self.is_time_for(REQUEST, entry) {
                self.request(entry);
            }
        }
        self.end_pending();
        self.end_late();
    }

    fn configure(&mut self, entry: usize) {
        let (now, delay) = (self.now, self.configuration_delay);
        let Some(state) = &mut self.entries[entry] else { return };
        if !state.is_configured && now >= state.started + delay {
            state.is_configured = true;
            self.step(entry, DirectEvent::Routes(Arc::new(routes())));
        }
    }

    /// Returns the time of day as the driver of an entry estimates it.
    fn shown_time(&mut self, entry: usize) -> Duration {
        let time = self.time_of_day();
        let step = self.clock_steps.get(&entry).copied().unwrap_or_default();
        let size = Duration::from_secs(step.unsigned_abs());
        let shown = if step < 0 { time - size } else { time + size };
        let now = self.now;
        let Some(state) = &mut self.entries[entry] else { return time };
        state.clock.observe(now, shown)
    }

    fn is_time_for(&self, interval: Duration, entry: usize) -> bool {
        {
            // Rounded to steps, so that every interval has its time.
            let steps = (interval.as_millis() / STEP.as_millis()).max(1);
            (self.now.as_millis() / STEP.as_millis() + entry as u128).is_multiple_of(steps)
        }
    }

    fn is_running(&self, entry: usize) -> bool {
        self.entries[entry].as_ref().is_some_and(|entry| entry.frozen_until <= self.now)
    }

    fn send_report(&mut self, from: usize) {
        let now = self.now;
        let Some(entry) = &mut self.entries[from] else { return };
        let report = entry.machine.load_report(now - entry.started, true);
        for to in 0..self.entries.len() {
            if to != from && self.is_running(to) && self.passes(from, to) {
                self.step(to, DirectEvent::PeerLoad(report.clone()));
            }
        }
    }

    fn passes(&mut self, from: usize, to: usize) -> bool {
        self.sequence += 1;
        let is_cut = self.cut_from_peers.contains(&from) || self.cut_from_peers.contains(&to);
        // Spreads the losses over messages of all kinds.
        let draw = self.sequence.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 33;
        !is_cut && !self.loss.is_some_and(|loss| draw.is_multiple_of(loss))
    }

    fn request(&mut self, entry: usize) {
        let time = self.time_of_day();
        let Some(state) = &mut self.entries[entry] else { return };
        state.next_flow += 1;
        let flow = state.next_flow;
        let name: Arc<str> = CUSTOMERS[[0, 0, 0, 0, 1, 1, 2][flow as usize % 7]].into();
        let customer = Some(Arc::new(CustomerConfig { name: name.clone(), priority: None }));
        self.step(entry, DirectEvent::Submit { flow, request: Box::new(request(flow, customer)) });
        let outcome = CallOutcome::Answered { success: true };
        self.step(entry, DirectEvent::CallEnded { flow, call: 1, outcome });
        self.step(entry, DirectEvent::FlowEnded { flow, complete: true });
        let window = usage_settings().window_at(time);
        *self.truth.entry(window).or_default().entry(name).or_default() += 1;
    }

    fn step(&mut self, entry: usize, event: DirectEvent) {
        let now = self.now;
        let Some(state) = &mut self.entries[entry] else { return };
        let mut out = Vec::new();
        state.machine.step(now - state.started, event, &mut out);
        let instance = state.instance;
        for action in out {
            if let DirectAction::Usage(action) = action {
                self.perform(entry, instance, action);
            }
        }
    }

    fn perform(&mut self, entry: usize, instance: u64, action: UsageAction) {
        let pending = match action {
            UsageAction::Send { peer, message } => return self.send(entry, &peer, message),
            UsageAction::Missed { .. } => return,
            UsageAction::Claim => Pending::Claim,
            UsageAction::Save(saved) => Pending::Save(saved),
            UsageAction::LeaveMessage(message) => Pending::Leave(message),
            UsageAction::RemoveMessage => Pending::Remove,
            UsageAction::ReadMessages => Pending::ReadMessages,
            UsageAction::Read { attempt, need } => Pending::Read(attempt, need),
            UsageAction::WriteStart { attempt, start, end } => {
                Pending::WriteStart(attempt, start, end)
            }
            UsageAction::Fix { attempt, usage, end } => Pending::Fix(attempt, usage, end),
            UsageAction::Post { attempt, fence, usage } => Pending::Check(attempt, fence, usage),
        };
        self.push(entry, instance, pending);
    }

    fn push(&mut self, entry: usize, instance: u64, pending: Pending) {
        self.sequence += 1;
        self.pending.insert((self.now + DELAY, self.sequence), (entry, instance, pending));
    }

    fn send(&mut self, from: usize, peer: &str, message: UsageMessage) {
        let Some(to) = (0..self.entries.len()).find(|entry| name(*entry) == peer) else { return };
        let mut bytes = Vec::new();
        ciborium::into_writer(&message, &mut bytes).unwrap();
        self.message_bytes += bytes.len() as u64;
        let instance = self.entries[to].as_ref().map_or(0, |entry| entry.instance);
        if self.passes(from, to) {
            self.push(to, instance, Pending::Event(UsageEvent::Message(message)));
        }
    }

    fn end_pending(&mut self) {
        while let Some(((at, _), _)) = self.pending.first_key_value()
            && *at <= self.now
        {
            let Some((_, (entry, instance, pending))) = self.pending.pop_first() else { return };
            let is_same = self.entries[entry].as_ref().is_some_and(|e| e.instance == instance);
            if !is_same {
                continue;
            }
            if !self.is_running(entry) {
                self.push(entry, instance, pending);
                continue;
            }
            let step = step_of(&pending);
            let fault = self.fault.filter(|(at, _)| Some(*at) == step).map(|(_, fault)| fault);
            if fault.is_some() {
                self.fault = None;
                self.faults_struck += 1;
            }
            match fault {
                Some(StepFault::KilledBefore) => {
                    self.kill(entry, Duration::from_secs(1));
                    continue;
                }
                Some(StepFault::FrozenBefore(time)) => {
                    self.freeze(entry, time);
                    self.push(entry, instance, pending);
                    continue;
                }
                _ => {}
            }
            if let Some(StepFault::CarriedOutLate(time)) = fault {
                self.late.push((self.now + time, entry, with_other_counts(pending.clone())));
                self.fail(entry, pending);
                continue;
            }
            let event = self.carry_out(entry, instance, pending, fault);
            match fault {
                Some(StepFault::KilledAfter) => self.kill(entry, Duration::from_secs(1)),
                Some(StepFault::FrozenAfter(time)) => {
                    self.freeze(entry, time);
                    event.into_iter().for_each(|e| self.push(entry, instance, Pending::Event(e)));
                }
                _ => {
                    event.into_iter().for_each(|event| self.step(entry, DirectEvent::Usage(event)));
                }
            }
        }
    }

    fn end_late(&mut self) {
        let now = self.now;
        let due: Vec<_> = self.late.extract_if(.., |(at, ..)| *at <= now).collect();
        for (_, entry, pending) in due {
            self.late_steps += 1;
            self.carry_out(entry, 0, pending, None);
        }
    }

    /// Tells an entry that a step got no answer.
    fn fail(&mut self, entry: usize, pending: Pending) {
        let event = match pending {
            Pending::Claim => UsageEvent::ClaimEnded(ClaimOutcome::Failed),
            Pending::Fix(attempt, ..) => UsageEvent::Fixed { attempt, confirmed: false },
            Pending::WriteStart(attempt, ..) => {
                UsageEvent::StartWritten { attempt, confirmed: false }
            }
            _ => return,
        };
        self.step(entry, DirectEvent::Usage(event));
    }

    fn carry_out(
        &mut self,
        entry: usize,
        instance: u64,
        pending: Pending,
        fault: Option<StepFault>,
    ) -> Option<UsageEvent> {
        let is_lost = fault == Some(StepFault::AnswerLost);
        let reaches_store = self.reaches_store(entry);
        if !matches!(pending, Pending::Event(_) | Pending::Post(..)) {
            self.store_calls += match &pending {
                // Each is in a topic of its own.
                Pending::Read(_, need) => 1 + u64::from(need.saved) + u64::from(need.messages),
                _ => 1,
            };
        }
        match pending {
            Pending::Event(event) => Some(event),
            Pending::Claim => {
                let outcome =
                    if reaches_store { self.store.claim(entry) } else { ClaimOutcome::Failed };
                Some(UsageEvent::ClaimEnded(if is_lost { ClaimOutcome::Failed } else { outcome }))
            }
            Pending::Read(attempt, need) => {
                if need.messages {
                    self.carry_out(entry, instance, Pending::ReadMessages, None);
                }
                let records = (reaches_store && !is_lost).then(|| self.store.records(need.saved));
                Some(UsageEvent::RecordsRead { attempt, records })
            }
            Pending::WriteStart(attempt, start, end) => {
                let writes = reaches_store && self.store.write_start(start, end);
                Some(UsageEvent::StartWritten { attempt, confirmed: writes && !is_lost })
            }
            Pending::Fix(attempt, usage, end) => {
                let writes = reaches_store && self.store.fix(usage, end);
                Some(UsageEvent::Fixed { attempt, confirmed: writes && !is_lost })
            }
            Pending::Save(saved) => {
                let mut bytes = Vec::new();
                ciborium::into_writer(&saved, &mut bytes).unwrap();
                self.saved_bytes += bytes.len() as u64;
                if reaches_store {
                    self.store.saved = Some(saved);
                }
                None
            }
            Pending::Leave(message) => {
                if reaches_store {
                    self.store.messages.insert(entry, message);
                    self.messages_left += 1;
                }
                None
            }
            Pending::Remove => {
                if reaches_store {
                    self.store.messages.remove(&entry);
                }
                None
            }
            Pending::ReadMessages => {
                let messages: Vec<UsageMessage> = self.store.messages.values().cloned().collect();
                for message in messages.into_iter().filter(|_| reaches_store) {
                    self.step(entry, DirectEvent::Usage(UsageEvent::Message(message)));
                }
                None
            }
            Pending::Check(attempt, fence, usage) => {
                let records = self.store.records(false);
                let fixed = FixedRecord::new(usage.clone(), records.end.0);
                let outcome = match () {
                    () if !reaches_store || is_lost => PostOutcome::NoStore,
                    () if records.claim != Some((name(entry).into(), fence)) => {
                        PostOutcome::Superseded
                    }
                    () if records.fixed != Some(fixed) => PostOutcome::NotFixed,
                    () => {
                        let post = Pending::Post(attempt, fence, usage, self.now);
                        self.push(entry, instance, post);
                        return None;
                    }
                };
                Some(UsageEvent::Posted { attempt, outcome })
            }
            Pending::Post(attempt, fence, usage, checked) => {
                let outcome = if self.now - checked > CHECK_LIFETIME {
                    PostOutcome::CheckExpired
                } else {
                    self.post(entry, fence, usage)
                };
                let outcome = if is_lost { PostOutcome::NoAnswer } else { outcome };
                Some(UsageEvent::Posted { attempt, outcome })
            }
        }
    }

    fn post(&mut self, entry: usize, fence: u64, usage: WindowUsage) -> PostOutcome {
        let window = usage.window;
        match self.platform {
            PlatformMode::Down => return PostOutcome::NoAnswer,
            PlatformMode::Accepts | PlatformMode::Refuses | PlatformMode::LosesAnswers => {}
        }
        self.reports.push(Report { at: self.now, entry, fence, usage });
        match self.platform {
            PlatformMode::Refuses => return PostOutcome::Refused,
            PlatformMode::Accepts | PlatformMode::LosesAnswers | PlatformMode::Down => {}
        }
        let time = self.time_of_day();
        self.accepted.entry(window).or_insert(time);
        match self.platform {
            PlatformMode::LosesAnswers => PostOutcome::NoAnswer,
            _ => PostOutcome::Accepted,
        }
    }

    /// Panics if the platform would call the reports those of two holders, or two counts.
    pub fn check_one(&self) {
        let calls = self.reports.iter().map(|report| DutyCall {
            at: report.at,
            entry: report.entry,
            fence: report.fence,
            subject: "usage".to_owned(),
        });
        check_one_holder(&calls.collect::<Vec<_>>(), LEASE);
        let mut counts: BTreeMap<UsageWindow, &CustomerCounts> = BTreeMap::new();
        for usage in self.reports.iter().map(|report| &report.usage) {
            let known = counts.entry(usage.window).or_insert(&usage.counts);
            assert_eq!(*known, &usage.counts, "two counts of window {}", usage.window);
        }
    }

    /// Returns the largest error of a customer's reported count, relative to the truth, in the
    /// windows between two times.
    pub fn largest_error(&self, from: Duration, to: Duration) -> f64 {
        let settings = usage_settings();
        let (first, last) = (settings.window_at(START + from), settings.window_at(START + to));
        let reports = self.reports.iter().map(|report| &report.usage);
        let reports = reports.filter(|usage| (first + 1..last).contains(&usage.window));
        let errors = reports.flat_map(|usage| {
            let truth = &self.truth[&usage.window];
            truth.iter().map(|(name, real)| {
                let reported = usage.counts.get(name).copied().unwrap_or(0);
                real.abs_diff(reported) as f64 / *real as f64
            })
        });
        errors.fold(0.0, f64::max)
    }

    /// Returns the windows between two times that were not reported in time within 5 in 100.
    pub fn missed(&self, from: Duration, to: Duration) -> Vec<UsageWindow> {
        let settings = usage_settings();
        let (first, last) = (settings.window_at(START + from), settings.window_at(START + to));
        (first + 1..last).filter(|window| !self.is_reported(*window)).collect()
    }

    /// Returns what was due and reported of windows, for messages.
    pub fn describe(&self, windows: &[UsageWindow]) -> Vec<String> {
        let of = |window| {
            let reports = self.reports.iter().filter(|report| report.usage.window == window);
            let reports: Vec<_> =
                reports.map(|r| (r.at, r.entry, r.fence, &r.usage.counts)).collect();
            let due = usage_settings().end(window) + LATENESS - START;
            format!("due {due:?} truth {:?} reports {reports:?}", self.truth.get(&window))
        };
        windows.iter().map(|window| of(*window)).collect()
    }

    fn is_reported(&self, window: UsageWindow) -> bool {
        let due = usage_settings().end(window) + LATENESS;
        let Some(report) = self.reports.iter().find(|report| report.usage.window == window) else {
            return false;
        };
        let in_time = self.accepted.get(&window).is_some_and(|at| *at <= due);
        let none = CustomerCounts::new();
        let truth = self.truth.get(&window).unwrap_or(&none);
        let names: BTreeSet<_> = truth.keys().chain(report.usage.counts.keys()).collect();
        in_time
            && names.into_iter().all(|name| {
                let real = *truth.get(name).unwrap_or(&0) as f64;
                let reported = *report.usage.counts.get(name).unwrap_or(&0) as f64;
                (real - reported).abs() <= real * 0.05
            })
    }
}
