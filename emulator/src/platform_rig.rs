//! Deterministic simulation of direct entries on the platform.
//!
//! The rig runs the entries' real state machines under a simulated clock and
//! models the store, the targets and the callers. The platform's fault matrix and
//! the measurements of [docs/CAPACITY.md](../../docs/CAPACITY.md) are built on it.

use std::{collections::BTreeSet, time::Duration};

use rand::{SeedableRng, rngs::StdRng};
use sapphirewell::{
    direct::{
        CallNumber, CallOutcome, DirectEvent, EvidenceChange, FlowId, RouteTable, StageOrder,
        SuspectChange, TargetStage, VersionChange,
    },
    ids::ClockTime,
};

use crate::event_queue::EventQueue;

mod caller;
mod customer;
mod entry;
mod fault;
mod orders;
mod referee;
mod step;
mod store;
mod target;
mod usage;

pub use caller::{AttemptAnswer, AttemptRecord, OfferedRequest, RequestClass};
pub use customer::CallerKey;
pub use entry::{DriverDefect, EntryId};
pub use fault::{PlatformFault, PlatformSite};
pub use referee::{PlatformBreach, PlatformRule};
pub use step::{PlatformStep, PlatformTrigger};
pub use store::{route_table, service_of};
pub use target::{TargetIndex, TargetPlan};

use caller::AttemptLog;
use entry::SimEntry;
use referee::RuleChecker;
use store::StoreModel;
use target::{SimCall, SimTarget};
use usage::{UsagePlatform, UsageReport};

/// One-way network delay between two processes.
const NETWORK_DELAY: Duration = Duration::from_micros(1500);
/// Interval at which each entry's state machine gets a tick.
const TICK_INTERVAL: Duration = Duration::from_millis(40);
/// Interval at which an entry sends its load report to its peers.
const REPORT_INTERVAL: Duration = Duration::from_millis(100);

/// Configuration of a [`PlatformRig`].
#[derive(Debug, Clone)]
pub struct PlatformSettings {
    /// Seed of all random choices.
    pub seed: u64,
    /// Number of entries that start with the rig.
    pub entries: usize,
    /// Targets that are registered at the start.
    pub targets: Vec<TargetPlan>,
    /// Whether configurations have customers, so that callers are known by their keys.
    pub has_customers: bool,
    /// Defect injected into the entries' drivers, to check that the rules detect it.
    pub defect: Option<DriverDefect>,
}

/// Simulated fleet of entries, targets and callers with its event queue.
pub struct PlatformRig {
    pub(crate) settings: PlatformSettings,
    pub(crate) now: ClockTime,
    pub(crate) rng: StdRng,
    queue: EventQueue<RigEvent>,
    pub(crate) store: StoreModel,
    pub(crate) entries: Vec<SimEntry>,
    pub(crate) targets: Vec<SimTarget>,
    pub(crate) callers: AttemptLog,
    pub(crate) checker: RuleChecker,
    pub(crate) usage: UsagePlatform,
    trigger: Option<PlatformTrigger>,
    reached: BTreeSet<PlatformStep>,
    pub(crate) reports_lost_until: ClockTime,
    pub(crate) next_run: u64,
}

/// Signal that a target sends to the entry over the connection of a call.
#[derive(Debug, Clone)]
pub(crate) enum TargetSignal {
    /// The call ended, or its answer started.
    Outcome(CallOutcome),
    /// An event of the answer, numbered from 1.
    Output(u32),
    /// The answer is complete.
    End,
    /// The answer was interrupted before its end.
    Break,
}

/// Scheduled event of the simulation.
#[derive(Debug, Clone)]
pub(crate) enum RigEvent {
    Attempt {
        attempt: usize,
    },
    CallerDisconnects {
        attempt: usize,
    },
    Tick {
        entry: EntryId,
        process: u64,
    },
    ReadTargets {
        entry: EntryId,
        process: u64,
    },
    ReadRoutes {
        entry: EntryId,
        process: u64,
    },
    ReadSuspects {
        entry: EntryId,
        process: u64,
        is_restored: bool,
    },
    CopyStore,
    StoreReturns {
        copied: ClockTime,
    },
    PersistSuspect {
        entry: EntryId,
        process: u64,
        change: SuspectChange,
    },
    PersistEvidence {
        entry: EntryId,
        process: u64,
        change: EvidenceChange,
    },
    ReadVersions {
        entry: EntryId,
        process: u64,
    },
    PersistVersion {
        entry: EntryId,
        process: u64,
        change: VersionChange,
    },
    Report {
        entry: EntryId,
        process: u64,
    },
    Machine {
        entry: EntryId,
        process: u64,
        event: Box<DirectEvent>,
    },
    AnswerTimeout {
        entry: EntryId,
        process: u64,
        flow: FlowId,
    },
    CallArrives {
        call: Box<SimCall>,
    },
    CallCancelled {
        entry: EntryId,
        process: u64,
        flow: FlowId,
        number: CallNumber,
        target: TargetIndex,
    },
    FromTarget {
        call: Box<SimCall>,
        signal: TargetSignal,
    },
    RunStep {
        target: TargetIndex,
        run: u64,
    },
    OrderArrives {
        entry: EntryId,
        target: TargetIndex,
        order: Box<StageOrder>,
    },
    StageChanges {
        target: TargetIndex,
        start: u64,
        stage: TargetStage,
    },
    SegmentCrash {
        target: TargetIndex,
        start: u64,
    },
    UsageReport {
        report: Box<UsageReport>,
    },
    Fault {
        fault: PlatformFault,
        site: PlatformSite,
        ends: bool,
    },
}

impl PlatformRig {
    /// Creates a rig with its targets registered and its entries starting at time zero.
    pub fn new(settings: PlatformSettings) -> PlatformRig {
        let mut rig = PlatformRig {
            now: ClockTime::ZERO,
            rng: StdRng::seed_from_u64(settings.seed),
            queue: EventQueue::default(),
            store: StoreModel::default(),
            entries: Vec::new(),
            targets: Vec::new(),
            callers: AttemptLog::default(),
            checker: RuleChecker::default(),
            usage: UsagePlatform::default(),
            trigger: None,
            reached: BTreeSet::new(),
            reports_lost_until: ClockTime::ZERO,
            next_run: 0,
            settings,
        };
        let routes = RouteTable { customers: rig.customers(false), ..route_table(1, false) };
        rig.store.write_routes(rig.now, routes);
        for plan in rig.settings.targets.clone() {
            rig.add_target(plan);
        }
        for _ in 0..rig.settings.entries {
            rig.add_entry();
        }
        rig.schedule_after(store::COPY_INTERVAL, RigEvent::CopyStore);
        rig
    }

    /// Schedules requests for callers to send.
    pub fn offer(&mut self, requests: Vec<OfferedRequest>) {
        for request in requests {
            let at = request.at;
            let attempt = self.callers.add(request);
            self.schedule(at, RigEvent::Attempt { attempt });
        }
    }

    /// Schedules a fault for a fixed time.
    pub fn inject(&mut self, at: ClockTime, fault: PlatformFault, site: PlatformSite) {
        self.schedule(at, RigEvent::Fault { fault, site, ends: false });
    }

    /// Sets the faults to inject when a step is first reached after a given time.
    ///
    /// A rig holds one trigger; a second call replaces a trigger that has not fired.
    pub fn inject_at_step(&mut self, trigger: PlatformTrigger) {
        self.trigger = Some(trigger);
    }

    /// Returns whether a step was reached at any time.
    pub fn has_reached(&self, step: PlatformStep) -> bool {
        self.reached.contains(&step)
    }

    /// Runs the simulation until the given time.
    pub fn run_until(&mut self, end: ClockTime) {
        while let Some((at, event)) = self.queue.pop_until(end) {
            self.now = at;
            self.handle_event(event);
        }
        self.now = end;
    }

    /// Returns the record of each attempt, in the order in which attempts were added.
    pub fn attempts(&self) -> &[AttemptRecord] {
        self.callers.records()
    }

    pub(crate) fn schedule(&mut self, at: ClockTime, event: RigEvent) {
        self.queue.push(at, event);
    }

    pub(crate) fn schedule_after(&mut self, delay: Duration, event: RigEvent) {
        self.schedule(self.now + delay, event);
    }

    /// Records that a step was reached and injects the faults that the trigger set for it.
    pub(crate) fn record_step(&mut self, step: PlatformStep, site: PlatformSite) {
        self.reached.insert(step);
        let fires = self.trigger.as_ref().is_some_and(|t| t.step == step && self.now >= t.after);
        if !fires {
            return;
        }
        let Some(trigger) = self.trigger.take() else { return };
        for fault in trigger.faults {
            self.schedule_after(Duration::ZERO, RigEvent::Fault { fault, site, ends: false });
        }
    }

    fn handle_event(&mut self, event: RigEvent) {
        if let Some(resume) = self.resume_time(&event) {
            return self.schedule(resume, event);
        }
        match event {
            RigEvent::Attempt { attempt } => self.attempt_arrives(attempt),
            RigEvent::CallerDisconnects { attempt } => self.caller_disconnects(attempt),
            RigEvent::Tick { entry, process } => self.handle_tick(entry, process),
            RigEvent::ReadTargets { entry, process } => self.read_targets(entry, process),
            RigEvent::ReadRoutes { entry, process } => self.read_routes(entry, process),
            RigEvent::ReadSuspects { entry, process, is_restored } => {
                self.read_suspects(entry, process, is_restored);
            }
            RigEvent::CopyStore => {
                self.store.copy(self.now);
                self.schedule_after(store::COPY_INTERVAL, RigEvent::CopyStore);
            }
            RigEvent::StoreReturns { copied } => {
                self.store.restore(copied);
                self.store.add_disturbance(self.now);
            }
            RigEvent::PersistSuspect { entry, process, change } => {
                self.persist_suspect(entry, process, change);
            }
            RigEvent::PersistEvidence { entry, process, change } => {
                self.persist_evidence(entry, process, change);
            }
            RigEvent::ReadVersions { entry, process } => self.read_versions(entry, process),
            RigEvent::PersistVersion { entry, process, change } => {
                self.persist_version(entry, process, change);
            }
            RigEvent::Report { entry, process } => self.send_reports(entry, process),
            RigEvent::Machine { entry, process, event } => {
                if self.is_process(entry, process) {
                    self.step_machine(entry, *event);
                }
            }
            RigEvent::AnswerTimeout { entry, process, flow } => {
                self.time_out_answer(entry, process, flow)
            }
            RigEvent::CallArrives { call } => self.call_arrives(*call),
            RigEvent::CallCancelled { entry, process, flow, number, target } => {
                self.call_cancelled(target, (entry, process, flow, number));
            }
            RigEvent::FromTarget { call, signal } => self.target_signal(*call, signal),
            RigEvent::RunStep { target, run } => self.run_step(target, run),
            RigEvent::OrderArrives { entry, target, order } => {
                self.order_arrives(entry, target, *order);
            }
            RigEvent::StageChanges { target, start, stage } => {
                self.stage_changes(target, start, stage);
            }
            RigEvent::SegmentCrash { target, start } => self.crash_by_segment(target, start),
            RigEvent::UsageReport { report } => self.usage_report_arrives(*report),
            RigEvent::Fault { fault, site, ends } => self.apply_fault(fault, site, ends),
        }
    }

    /// Returns when a frozen entry resumes, if the event is for such an entry.
    ///
    /// The event is postponed until then.
    fn resume_time(&self, event: &RigEvent) -> Option<ClockTime> {
        let entry = match event {
            RigEvent::Tick { entry, .. }
            | RigEvent::ReadTargets { entry, .. }
            | RigEvent::ReadRoutes { entry, .. }
            | RigEvent::ReadSuspects { entry, .. }
            | RigEvent::PersistSuspect { entry, .. }
            | RigEvent::PersistEvidence { entry, .. }
            | RigEvent::ReadVersions { entry, .. }
            | RigEvent::PersistVersion { entry, .. }
            | RigEvent::Report { entry, .. }
            | RigEvent::Machine { entry, .. }
            | RigEvent::AnswerTimeout { entry, .. } => *entry,
            RigEvent::FromTarget { call, .. } => call.entry,
            RigEvent::UsageReport { report } => report.entry,
            RigEvent::Attempt { attempt } => self.callers.record(*attempt).entry?,
            _ => return None,
        };
        let until = self.entries.get(entry)?.frozen_until;
        (until > self.now).then_some(until)
    }
}
