//! Faults of the platform, applied to the processes at the site of a step.

use std::time::Duration;

use rand::RngExt;
use sapphirewell::{
    direct::{DirectEvent, DirectTarget, StopPhase, TargetStage},
    ids::TargetId,
};
use strum::{Display, EnumIter, EnumString};

use super::{
    CallerKey, EntryId, PlatformRig, PlatformRule, PlatformStep, RigEvent, TargetIndex, TargetPlan,
    caller::{AttemptAnswer, OfferedRequest, RequestClass},
    target::{SimTarget, TargetState},
};

/// Kind of fault, or of planned change, that the rig can inject.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Display, EnumIter, EnumString)]
#[strum(serialize_all = "snake_case")]
pub enum PlatformFault {
    /// The entry's process is killed and restarts after the outage.
    KillEntry,
    /// All entries lose power at once and restart after the outage.
    AllLosePower,
    /// The processes of all entries are killed at once and restart after a short delay.
    AllKilled,
    /// The entry's process is frozen for a short outage.
    FreezeEntry,
    /// The entry's process is frozen for longer than its peers wait for its reports.
    FreezeLong,
    /// The entry gets the stop signal, drains and restarts.
    StopEntry,
    /// An entry is added.
    AddEntry,
    /// The entry and the target cannot reach each other.
    CutFromTarget,
    /// Only this entry cannot reach the store.
    CutFromStore,
    /// All reports between entries are lost.
    ReportsLost,
    /// The target's process crashes and restarts under a new target id.
    CrashTarget,
    /// The target's process crashes and restarts under its old target id.
    #[strum(serialize = "reborn_target")]
    CrashTargetSameId,
    /// The target's VM loses power for a while.
    #[strum(serialize = "dark_target")]
    PowerOffTarget,
    /// The target is gone for good, and a target of another service gets its address.
    AddressReused,
    /// The target runs its work several times slower.
    SlowTarget,
    /// The target fails about half of its calls.
    #[strum(serialize = "grey_target")]
    FlakyTarget,
    /// All connections of the target are reset.
    ResetConnections,
    /// The connections of about half of the target's calls are lost while the work goes on.
    AnswersLost,
    /// The target interrupts about half of its answers.
    #[strum(serialize = "answers_broken")]
    AnswersInterrupted,
    /// KV caches that wait at the engines expire almost at once.
    #[strum(serialize = "caches_lapse")]
    CachesExpire,
    /// The target crashes and starts again under a new id with another software version.
    UpgradeTarget,
    /// The target announces that it leaves, and then stops.
    TargetLeaves,
    /// The target's registration is removed without notice, and the target then stops.
    #[strum(serialize = "target_vanishes")]
    TargetLeavesUnannounced,
    /// A target is added with the service, stage and speed of an existing one.
    AddTarget,
    /// The store is unreachable for all entries.
    StoreDown,
    /// The store is down, and the registrations of the targets expire meanwhile.
    #[strum(serialize = "store_down_entries_lapse")]
    StoreDownTargetsExpire,
    /// The store responds slowly.
    StoreSlow,
    /// The store loses its history, so that readers need a new snapshot.
    #[strum(serialize = "store_forgets")]
    StoreLosesHistory,
    /// The store is away for a moment and comes back from an older copy.
    StoreRestored,
    /// The platform takes no reports of usage.
    UsageDown,
    /// The platform takes reports of usage, and its answers are lost.
    UsageAnswersLost,
    /// The operator changes the configuration.
    ChangeConfiguration,
    /// The operator changes the configuration six times in quick succession.
    ConfigurationStorm,
    /// Callers send a burst of requests.
    Burst,
    /// Callers retry refused requests at once and many times.
    #[strum(serialize = "callers_insist")]
    RetryStorm,
    /// Callers with open requests disconnect.
    #[strum(serialize = "callers_leave")]
    CallersDisconnect,
    /// Callers send requests that share a prompt segment which crashes each engine that begins
    /// to answer on it.
    CrashingSegment,
}

/// Processes at which a step was reached, and to which a fault applies.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PlatformSite {
    /// Index of the entry; 0 where the step concerns no entry.
    pub entry: EntryId,
    /// Index of the target; 0 where the step concerns no target.
    pub target: TargetIndex,
}

/// Duration of an ordinary outage.
const OUTAGE: Duration = Duration::from_secs(3);
/// Duration of an outage that is long enough for another entry to take over.
const LONG_OUTAGE: Duration = Duration::from_secs(13);
/// Time after which the registration of a silent target expires: three heartbeats.
const REGISTRATION_TTL: Duration = Duration::from_millis(3600);
/// Time from a target's announcement to its end: slightly more than the `drain_ms` of a
/// service's configuration.
const LEAVE_DELAY: Duration = Duration::from_millis(2500);
/// Time after the stop signal in which the load balancer still sends an entry new connections.
const BALANCER_DELAY: Duration = Duration::from_secs(2);
/// Time from the stop signal to the end of an entry's process.
const STOP_GRACE: Duration = Duration::from_millis(7300);
/// Time for which callers send requests with the crashing segment, and the pause between them.
const CRASHING_SPAN: Duration = Duration::from_secs(20);
const CRASHING_PAUSE: Duration = Duration::from_millis(250);
/// Longest time from the begin of an answer to the crash that its prompt causes.
const MAX_CRASH_DELAY_MS: u64 = 95;
/// Bounds of the age of the copy that the store is restored from.
const COPY_AGE_MS: std::ops::Range<u64> = 500..9000;
/// Time until the platform starts a killed process again.
const RESTART_DELAY: Duration = Duration::from_millis(300);
/// Time for which the store is away before it is restored, and from then until the targets have
/// written again what it lost.
const RESTORE_OUTAGE: Duration = Duration::from_millis(600);
const RELIST_DELAY: Duration = Duration::from_millis(1500);
/// Time after which another target may get the address of one that is gone.
const ADDRESS_REUSE_DELAY: Duration = Duration::from_secs(2);

impl PlatformRig {
    /// Applies a fault, or reverts it if `ends` is set.
    pub(super) fn apply_fault(&mut self, fault: PlatformFault, site: PlatformSite, ends: bool) {
        if ends {
            return self.end_fault(fault, site);
        }
        let now = self.now;
        let until = now + OUTAGE;
        let PlatformSite { entry, target } = site;
        let mut schedule_end = |rig: &mut PlatformRig, time| {
            rig.schedule_after(time, RigEvent::Fault { fault, site, ends: true });
        };
        match fault {
            PlatformFault::KillEntry => {
                self.end_entry(entry, false);
                self.entries[entry].add_disturbance(now, until);
                schedule_end(self, OUTAGE);
            }
            PlatformFault::AllLosePower => {
                for entry in 0..self.entries.len() {
                    self.end_entry(entry, true);
                    self.entries[entry].add_disturbance(now, until);
                }
                schedule_end(self, OUTAGE);
            }
            PlatformFault::AllKilled => {
                for entry in 0..self.entries.len() {
                    self.end_entry(entry, false);
                    self.entries[entry].add_disturbance(now, now + RESTART_DELAY);
                }
                schedule_end(self, RESTART_DELAY);
            }
            PlatformFault::FreezeLong => {
                let until = now + LONG_OUTAGE;
                self.entries[entry].frozen_until = until;
                self.entries[entry].add_disturbance(now, until);
            }
            PlatformFault::FreezeEntry => {
                self.entries[entry].frozen_until = until;
                self.entries[entry].add_disturbance(now, until);
            }
            PlatformFault::StopEntry => self.start_drain(entry, &mut schedule_end),
            PlatformFault::AddEntry => drop(self.add_entry()),
            PlatformFault::CutFromTarget => {
                self.entries[entry].target_cut = Some((target, until));
                self.entries[entry].add_disturbance(now, until);
            }
            PlatformFault::CutFromStore => {
                self.entries[entry].store_cut_until = until;
                self.entries[entry].add_disturbance(now, until);
            }
            PlatformFault::ReportsLost => {
                let until = now + LONG_OUTAGE;
                self.reports_lost_until = until;
                for entry in &mut self.entries {
                    entry.add_disturbance(now, until);
                }
            }
            PlatformFault::CrashTarget | PlatformFault::CrashTargetSameId => {
                self.crash_target(target, TargetState::Crashed);
                schedule_end(self, OUTAGE);
            }
            PlatformFault::UpgradeTarget => {
                self.crash_target(target, TargetState::Crashed);
                self.targets[target].plan.version = "v3".to_owned();
                schedule_end(self, OUTAGE);
            }
            PlatformFault::PowerOffTarget => {
                self.crash_target(target, TargetState::PoweredOff);
                schedule_end(self, REGISTRATION_TTL);
            }
            PlatformFault::AddressReused => {
                self.crash_target(target, TargetState::Gone);
                schedule_end(self, ADDRESS_REUSE_DELAY);
            }
            PlatformFault::SlowTarget => self.targets[target].slow_until = until,
            PlatformFault::FlakyTarget => self.targets[target].flaky_until = until,
            PlatformFault::ResetConnections => self.reset_connections(target),
            PlatformFault::AnswersLost => self.targets[target].loses_answers_until = until,
            PlatformFault::AnswersInterrupted => self.targets[target].breaks_answers_until = until,
            PlatformFault::CachesExpire => {
                for sim in &mut self.targets {
                    sim.short_caches_until = until;
                }
            }
            PlatformFault::TargetLeaves => self.announce_leaving(target, &mut schedule_end),
            PlatformFault::TargetLeavesUnannounced => {
                self.remove_registration(target);
                schedule_end(self, LEAVE_DELAY);
            }
            PlatformFault::AddTarget => self.add_similar_target(target),
            PlatformFault::StoreDown => self.disrupt_store(until, true),
            PlatformFault::StoreDownTargetsExpire => {
                self.disrupt_store(until, true);
                self.expire_all();
                schedule_end(self, OUTAGE + Duration::from_secs(2));
            }
            PlatformFault::StoreSlow => self.disrupt_store(until, false),
            PlatformFault::StoreLosesHistory => {
                self.store.forget_history();
                self.store.add_disturbance(now);
            }
            PlatformFault::StoreRestored => {
                self.disrupt_store(now + RESTORE_OUTAGE, true);
                let age = Duration::from_millis(self.rng.random_range(COPY_AGE_MS));
                let copied = now.saturating_sub(age);
                self.schedule_after(RESTORE_OUTAGE, RigEvent::StoreReturns { copied });
                schedule_end(self, RESTORE_OUTAGE + RELIST_DELAY);
            }
            PlatformFault::UsageDown => self.usage.down_until = until,
            PlatformFault::UsageAnswersLost => self.usage.loses_answers_until = until,
            PlatformFault::ChangeConfiguration => self.change_routes(),
            PlatformFault::ConfigurationStorm => {
                self.change_routes();
                for number in 1..6 {
                    let fault = PlatformFault::ChangeConfiguration;
                    let pause = Duration::from_millis(330) * number;
                    self.schedule_after(pause, RigEvent::Fault { fault, site, ends: false });
                }
            }
            PlatformFault::Burst => self.offer_burst(false),
            PlatformFault::RetryStorm => self.offer_burst(true),
            PlatformFault::CallersDisconnect => self.disconnect_callers(),
            PlatformFault::CrashingSegment => self.offer_crashing_segment(),
        }
    }

    fn end_fault(&mut self, fault: PlatformFault, site: PlatformSite) {
        let PlatformSite { entry, target } = site;
        match fault {
            PlatformFault::KillEntry => self.start_entry(entry),
            PlatformFault::StopEntry => self.finish_drain(entry),
            PlatformFault::AllLosePower | PlatformFault::AllKilled => {
                for entry in 0..self.entries.len() {
                    self.start_entry(entry);
                }
            }
            PlatformFault::CrashTarget
            | PlatformFault::UpgradeTarget
            | PlatformFault::PowerOffTarget => {
                self.restart_target(target, true);
            }
            PlatformFault::CrashTargetSameId => self.restart_target(target, false),
            PlatformFault::AddressReused => self.reuse_address(target),
            PlatformFault::TargetLeaves | PlatformFault::TargetLeavesUnannounced => {
                self.crash_target(target, TargetState::Gone);
                let id = self.targets[target].listed.id.clone();
                self.store.write_target(id, None);
            }
            PlatformFault::StoreDownTargetsExpire => self.register_all(),
            PlatformFault::StoreRestored => self.rewrite_registrations(),
            _ => {}
        }
    }

    fn start_drain(
        &mut self,
        entry: EntryId,
        schedule_end: &mut impl FnMut(&mut PlatformRig, Duration),
    ) {
        if self.entries[entry].draining || !self.entries[entry].alive {
            return;
        }
        self.entries[entry].draining = true;
        let now = self.now;
        self.entries[entry].drain_started = now;
        self.entries[entry].add_disturbance(now, now + STOP_GRACE);
        self.step_machine(entry, DirectEvent::StopRequested { time: STOP_GRACE });
        self.record_step(PlatformStep::DrainStarted, PlatformSite { entry, target: 0 });
        // The load balancer detects the stop only some time after the signal. The first end of
        // this fault marks that moment, the second ends the process.
        let balancer_update = RigEvent::Fault {
            fault: PlatformFault::StopEntry,
            site: PlatformSite { entry, target: TargetIndex::MAX },
            ends: true,
        };
        self.schedule_after(BALANCER_DELAY, balancer_update);
        schedule_end(self, STOP_GRACE);
    }

    pub(super) fn finish_drain(&mut self, entry: EntryId) {
        if !self.entries[entry].draining {
            return;
        }
        // An entry that exits early leaves the ends of its stop behind, which are not those of a
        // later stop.
        let since = self.now.saturating_sub(self.entries[entry].drain_started);
        if !self.entries[entry].stopping {
            self.entries[entry].stopping = since >= BALANCER_DELAY;
            return;
        }
        let exits = self.entries[entry].machine.stop_phase(self.now) == StopPhase::Exiting;
        if !exits && since < STOP_GRACE {
            return;
        }
        let open = self.open_flows(entry);
        let was_frozen = self.entries[entry].frozen_until + STOP_GRACE > self.now;
        if open > 0 && !was_frozen {
            let seen = format!("entry {entry} stopped with {open} requests open");
            self.checker.add_breach(PlatformRule::StopCutsNothing, seen);
        }
        self.end_entry(entry, false);
        self.start_entry(entry);
    }

    fn disrupt_store(&mut self, until: Duration, down: bool) {
        if down {
            self.store.down_until = until;
        } else {
            self.store.slow_until = until;
        }
        self.store.add_disturbance(until);
    }

    /// Removes the registrations of all serving targets, whose heartbeats the store missed.
    fn expire_all(&mut self) {
        for sim in &self.targets {
            if sim.state == TargetState::Serving {
                self.store.write_target(sim.listed.id.clone(), None);
            }
        }
        self.record_step(PlatformStep::TargetExpired, PlatformSite { entry: 0, target: 0 });
    }

    fn register_all(&mut self) {
        for sim in &mut self.targets {
            if sim.state == TargetState::Serving && sim.leaving.is_none() {
                sim.listed.sequence += 1;
                self.store.write_target(sim.listed.id.clone(), Some(sim.listed.clone()));
            }
        }
    }

    /// Writes the registrations again that a restored store has lost, and removes those that it
    /// lists again.
    fn rewrite_registrations(&mut self) {
        self.register_all();
        let is_removed = |sim: &SimTarget| sim.leaving.is_some() && !sim.listed.leaving;
        let sims = self.targets.iter().filter(|sim| sim.state == TargetState::Serving);
        let (removed, listed): (Vec<&SimTarget>, Vec<&SimTarget>) =
            sims.partition(|sim| is_removed(sim));
        let lost = listed.iter().filter(|sim| sim.listed.leaving).map(|sim| sim.listed.clone());
        let lost: Vec<DirectTarget> = lost.collect();
        let lives = |id: &&TargetId| listed.iter().any(|sim| sim.listed.id == **id);
        let gone = self.store.listed().filter(|id| !lives(id)).cloned();
        let gone: Vec<TargetId> =
            gone.chain(removed.iter().map(|sim| sim.listed.id.clone())).collect();
        for target in lost {
            self.store.write_target(target.id.clone(), Some(target));
        }
        for id in gone {
            self.store.write_target(id, None);
        }
    }

    fn announce_leaving(
        &mut self,
        target: TargetIndex,
        schedule_end: &mut impl FnMut(&mut PlatformRig, Duration),
    ) {
        let now = self.now;
        let sim = &mut self.targets[target];
        if sim.state != TargetState::Serving || sim.leaving.is_some() {
            return;
        }
        sim.leaving = Some(now);
        sim.listed.leaving = true;
        sim.listed.sequence += 1;
        let listed = sim.listed.clone();
        self.store.write_target(listed.id.clone(), Some(listed));
        self.record_step(PlatformStep::TargetLeaving, PlatformSite { entry: 0, target });
        schedule_end(self, LEAVE_DELAY);
    }

    fn remove_registration(&mut self, target: TargetIndex) {
        let now = self.now;
        let sim = &mut self.targets[target];
        sim.leaving.get_or_insert(now);
        let id = sim.listed.id.clone();
        self.store.write_target(id, None);
        self.record_step(PlatformStep::TargetExpired, PlatformSite { entry: 0, target });
    }

    /// Adds a target of another service at the address of one that is gone.
    fn reuse_address(&mut self, target: TargetIndex) {
        let sim = &self.targets[target];
        let address = sim.listed.address;
        let service = if sim.plan.service == "tickets" { "ledger" } else { "tickets" };
        let plan = TargetPlan {
            name: format!("reuse-{}", self.targets.len()),
            service: service.to_owned(),
            stage: TargetStage::Plain,
            speed: 1.0,
            version: "v1".to_owned(),
        };
        self.add_target_at(plan, address);
        // The old registration expires only later.
        let site = PlatformSite { entry: 0, target };
        let fault = PlatformFault::TargetLeavesUnannounced;
        self.schedule_after(
            REGISTRATION_TTL - ADDRESS_REUSE_DELAY,
            RigEvent::Fault { fault, site, ends: true },
        );
    }

    fn add_similar_target(&mut self, target: TargetIndex) {
        let mut plan = self.targets[target].plan.clone();
        plan.name = format!("more-{}", self.targets.len());
        self.add_target(plan);
    }

    fn offer_burst(&mut self, retries_at_once: bool) {
        let count = if retries_at_once { 30 } else { 150 };
        let classes =
            [RequestClass::Note, RequestClass::Ticket, RequestClass::Dossier, RequestClass::Lookup];
        let now = self.now;
        let calls = (0..count).map(|number: u32| OfferedRequest {
            at: now + Duration::from_millis(10) * number,
            class: classes[number as usize % classes.len()],
            prefix_id: u64::from(100 + number % 41),
            key: CallerKey::of_request(number as usize),
            retries: if retries_at_once { 8 } else { 1 },
            has_crashing_segment: false,
            retries_at_once,
        });
        let calls = calls.collect();
        self.offer(calls);
    }

    fn offer_crashing_segment(&mut self) {
        let classes = [RequestClass::Note, RequestClass::Dossier];
        let now = self.now;
        let count = CRASHING_SPAN.div_duration_f64(CRASHING_PAUSE) as u32;
        let calls = (0..count).map(|number| OfferedRequest {
            at: now + CRASHING_PAUSE * number,
            class: classes[number as usize % classes.len()],
            // Sound dossiers share this prefix.
            prefix_id: 1,
            key: CallerKey::Plain,
            has_crashing_segment: true,
            retries: 1,
            retries_at_once: false,
        });
        let calls = calls.collect();
        self.offer(calls);
    }

    fn disconnect_callers(&mut self) {
        let open = self.attempts().iter().enumerate();
        let open = open.filter(|(_, record)| record.answer == AttemptAnswer::Open);
        let sent: Vec<usize> = open.map(|(attempt, _)| attempt).collect();
        for attempt in sent {
            let pause = Duration::from_millis(self.rng.random_range(0..400));
            if self.attempts()[attempt].sent <= self.now {
                self.schedule_after(pause, RigEvent::CallerDisconnects { attempt });
            }
        }
    }

    /// Schedules the crash of an engine that begins to answer on the crashing segment.
    pub(super) fn crash_soon(&mut self, target: TargetIndex) {
        let start = self.targets[target].starts;
        let delay = Duration::from_millis(self.rng.random_range(1..MAX_CRASH_DELAY_MS));
        self.schedule_after(delay, RigEvent::SegmentCrash { target, start });
    }

    /// Crashes an engine, unless it has ended or started again since.
    pub(super) fn crash_by_segment(&mut self, target: TargetIndex, start: u64) {
        let sim = &self.targets[target];
        if sim.state == TargetState::Serving && sim.starts == start {
            self.checker.record_segment_crash(self.now);
            self.crash_on_poison(target);
        }
    }

    /// Crashes a target that runs a poison request, and schedules its restart.
    pub(super) fn crash_on_poison(&mut self, target: TargetIndex) {
        self.crash_target(target, TargetState::Crashed);
        let site = PlatformSite { entry: 0, target };
        let fault = PlatformFault::CrashTarget;
        self.schedule_after(OUTAGE, RigEvent::Fault { fault, site, ends: true });
    }
}
