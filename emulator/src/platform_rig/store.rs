//! Model of the platform's store, and of the way in which entries read it.

use std::{
    collections::{BTreeMap, VecDeque},
    sync::Arc,
    time::Duration,
};

use rand::RngExt;
use sapphirewell::{
    direct::{
        BlockedSuspect, CrashEvidence, CrashSuspect, DirectEvent, DirectTarget, EngineConfig,
        EvidenceChange, RequestLimits, RetryPolicy, RouteConfig, RouteTable, ServiceConfig,
        ServiceVersion, StoreGeneration, StoredVersions, SuspectChange, SuspectReport,
        TargetChange, UsageEvent, VersionChange, WeightedService,
    },
    ids::{ClockTime, TargetId},
};

use super::{
    DriverDefect, EntryId, NETWORK_DELAY, PlatformRig, PlatformSite, PlatformStep, RigEvent,
    caller::RequestClass, customer::allows_anonymous, usage::UsageStore,
};

/// Pause between two reads of the targets, as in the entries' real readers.
const TARGET_READ_PAUSE: Duration = Duration::from_millis(800);
/// Pause between two reads of the configuration, as in the entries' real readers.
const ROUTE_READ_PAUSE: Duration = Duration::from_millis(250);
/// Interval at which a long poll checks for new records.
const LONG_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Response time of the store.
const RESPONSE_TIME: Duration = Duration::from_millis(4);
/// Response time of the store while it is slow.
const SLOW_RESPONSE_TIME: Duration = Duration::from_millis(350);
/// Pause after a failed call of the store.
const FAILURE_PAUSE: Duration = Duration::from_millis(400);
/// Interval at which the store is copied, and the number of copies that are kept.
pub(super) const COPY_INTERVAL: Duration = Duration::from_millis(500);
const MAX_COPIES: usize = 24;
/// Longest time between two events that the routes state.
const EVENT_GAP: Duration = Duration::from_millis(150);
/// Time after which a call of the store that gets no response fails.
pub(super) const READ_TIMEOUT: Duration = Duration::from_millis(900);

/// Record of a target's registration, or of its removal where that is `None`.
#[derive(Debug, Clone)]
struct TargetRecord {
    offset: u64,
    id: TargetId,
    registration: Option<DirectTarget>,
}

/// Simulated store of targets, configurations, crash suspects and claims.
#[derive(Debug, Clone, Default)]
pub(crate) struct StoreModel {
    records: Vec<TargetRecord>,
    newest: BTreeMap<TargetId, DirectTarget>,
    next: u64,
    /// Offset of the oldest record that the store still holds.
    first: u64,
    /// Suspects that entries block.
    pub(crate) suspects: BTreeMap<CrashSuspect, BlockedSuspect>,
    /// Crashes that entries keep, by what they have in common.
    evidence: BTreeMap<CrashSuspect, CrashEvidence>,
    /// Software versions that entries recorded.
    pub(crate) versions: Vec<ServiceVersion>,
    /// Last generation in which an entry found that no version was missing.
    versions_complete_in: Option<StoreGeneration>,
    /// Number of restores from an older copy.
    pub(super) generation: StoreGeneration,
    copies: VecDeque<(ClockTime, StoreModel)>,
    /// Entries that claimed the right to order engines, in the order of their claims.
    pub(crate) claims: Vec<EntryId>,
    /// Records of the usage duty.
    pub(super) usage: UsageStore,
    /// Configurations with the times at which the store accepted them.
    pub(crate) routes: Vec<(ClockTime, Arc<RouteTable>)>,
    pub(crate) down_until: ClockTime,
    pub(crate) slow_until: ClockTime,
    /// End of the last disruption.
    pub(crate) disturbed_until: ClockTime,
}

impl StoreModel {
    pub(crate) fn write_routes(&mut self, now: ClockTime, table: RouteTable) {
        self.routes.push((now, Arc::new(table)));
    }

    pub(crate) fn write_target(&mut self, id: TargetId, registration: Option<DirectTarget>) {
        match &registration {
            Some(target) => self.newest.insert(id.clone(), target.clone()),
            None => self.newest.remove(&id),
        };
        self.records.push(TargetRecord { offset: self.next, id, registration });
        self.next += 1;
    }

    /// Records a disruption that lasts until the given time.
    pub(crate) fn add_disturbance(&mut self, until: ClockTime) {
        self.disturbed_until = self.disturbed_until.max(until);
    }

    /// Keeps a copy of the present content.
    pub(super) fn copy(&mut self, now: ClockTime) {
        let mut copies = std::mem::take(&mut self.copies);
        copies.push_back((now, self.clone()));
        if copies.len() > MAX_COPIES {
            copies.pop_front();
        }
        self.copies = copies;
    }

    /// Goes back to the newest copy that is not younger than `copied`. The operator has written its
    /// newest configuration again.
    pub(super) fn restore(&mut self, copied: ClockTime) {
        let is_old = |(at, _): &&(ClockTime, StoreModel)| *at <= copied;
        let Some((_, copy)) = self.copies.iter().rev().find(is_old).cloned() else { return };
        *self = StoreModel {
            generation: self.generation + 1,
            copies: std::mem::take(&mut self.copies),
            routes: std::mem::take(&mut self.routes),
            down_until: self.down_until,
            slow_until: self.slow_until,
            disturbed_until: self.disturbed_until,
            ..copy
        };
    }

    /// Returns the ids of the targets that are listed.
    pub(super) fn listed(&self) -> impl Iterator<Item = &TargetId> {
        self.newest.keys()
    }

    pub(crate) fn forget_history(&mut self) {
        self.records.clear();
        self.first = self.next;
    }

    /// Returns the changes since an offset, or a snapshot where these are not available.
    ///
    /// The flag is set for a snapshot.
    fn changes(&self, from: Option<u64>) -> (Vec<TargetChange>, bool) {
        match from.filter(|from| (self.first..=self.next).contains(from)) {
            None => {
                let present = self.newest.keys().cloned().collect();
                let targets = self.newest.values().cloned().collect();
                (vec![TargetChange::Snapshot { present, targets }], true)
            }
            Some(from) => {
                let newer = self.records.iter().filter(|record| record.offset >= from);
                let change = |record: &TargetRecord| match &record.registration {
                    Some(target) => TargetChange::Listed(target.clone()),
                    None => TargetChange::Removed(record.id.clone()),
                };
                (newer.map(change).collect(), false)
            }
        }
    }
}

impl PlatformRig {
    pub(super) fn store_fails(&self, entry: EntryId) -> bool {
        self.store.down_until > self.now || self.entries[entry].store_cut_until > self.now
    }

    pub(super) fn response_time(&self) -> Duration {
        if self.store.slow_until > self.now { SLOW_RESPONSE_TIME } else { RESPONSE_TIME }
    }

    pub(super) fn read_targets(&mut self, entry: EntryId, process: u64) {
        if !self.is_process(entry, process) {
            return;
        }
        let again = RigEvent::ReadTargets { entry, process };
        if self.store_fails(entry) {
            self.schedule_after(READ_TIMEOUT, self.machine_event(entry, read_failure()));
            return self.schedule_after(READ_TIMEOUT + FAILURE_PAUSE, again);
        }
        let changes = self.next_targets(entry);
        if changes.is_empty() {
            return self.schedule_after(LONG_POLL_INTERVAL, again);
        }
        let answer = self.pass_on_targets(entry, changes);
        self.schedule_after(answer + TARGET_READ_PAUSE, again);
    }

    /// Reads the targets once more, beside the reads that follow each other.
    pub(super) fn read_targets_now(&mut self, entry: EntryId, process: u64) {
        if !self.is_process(entry, process) || self.store_fails(entry) {
            return;
        }
        let changes = self.next_targets(entry);
        self.pass_on_targets(entry, changes);
    }

    /// Returns the changes since the last read, or a snapshot of a store that was restored.
    fn next_targets(&mut self, entry: EntryId) -> Vec<TargetChange> {
        self.observe_generation(entry);
        let seen = self.entries[entry].generation;
        let next = (seen, self.store.next);
        let before = self.entries[entry].next_record.replace(next);
        let is_restored = before.is_some_and(|(generation, _)| generation != seen);
        let from = before.filter(|_| !is_restored).map(|(_, offset)| offset);
        let (changes, _) = self.store.changes(from);
        let restored = is_restored.then_some(TargetChange::StoreRestored);
        restored.into_iter().chain(changes).collect()
    }

    /// Notes the generation that a response of the store states to an entry.
    pub(super) fn observe_generation(&mut self, entry: EntryId) {
        if self.settings.defect == Some(DriverDefect::RestoresIgnored) {
            return;
        }
        let generation = self.store.generation;
        let sim = &mut self.entries[entry];
        let Some(before) = sim.generation.replace(generation) else {
            let seen = DirectEvent::Usage(UsageEvent::StoreSeen(generation));
            let seen = self.machine_event(entry, seen);
            return self.schedule_after(Duration::ZERO, seen);
        };
        if before == generation {
            return;
        }
        let (process, delay) = (sim.process, sim.machine.restore_delay());
        let restored = self.machine_event(entry, DirectEvent::StoreRestored(generation));
        self.schedule_after(Duration::ZERO, restored);
        let read = RigEvent::ReadSuspects { entry, process, is_restored: true };
        self.schedule_after(delay, read);
    }

    /// Passes on what a read returned, after earlier reads, and returns the time until then.
    fn pass_on_targets(&mut self, entry: EntryId, changes: Vec<TargetChange>) -> Duration {
        let (now, response_time) = (self.now, self.response_time());
        let sim = &mut self.entries[entry];
        sim.targets_read_at = sim.targets_read_at.max(now + response_time);
        let answer = sim.targets_read_at - now;
        for change in changes {
            match &change {
                TargetChange::Listed(target) if target.leaving => {
                    self.record_leaving(entry, &target.id, now + answer);
                }
                TargetChange::Removed(id) => self.record_leaving(entry, id, now + answer),
                _ => {}
            }
            let ignored = self.settings.defect == Some(DriverDefect::LeavingIgnored)
                && matches!(&change, TargetChange::Listed(target) if target.leaving);
            if !ignored {
                self.schedule_after(answer, self.machine_event(entry, DirectEvent::Target(change)));
            }
        }
        let read = DirectEvent::TargetsRead { age: answer };
        self.schedule_after(answer, self.machine_event(entry, read));
        answer
    }

    /// Records when an entry first read that a target leaves that does so now.
    fn record_leaving(&mut self, entry: EntryId, id: &TargetId, at: ClockTime) {
        let target = self.targets.iter().find(|sim| sim.listed.id == *id);
        let Some(leaving) = target.and_then(|sim| sim.leaving) else { return };
        let known = self.entries[entry].known_leaving.entry(id.clone()).or_insert(at);
        if *known < leaving {
            *known = at;
        }
    }

    /// Reads the software versions that entries recorded.
    pub(super) fn read_versions(&mut self, entry: EntryId, process: u64) {
        if !self.is_process(entry, process) {
            return;
        }
        if self.store_fails(entry) {
            let again = RigEvent::ReadVersions { entry, process };
            return self.schedule_after(READ_TIMEOUT + FAILURE_PAUSE, again);
        }
        self.observe_generation(entry);
        let versions = StoredVersions {
            versions: self.store.versions.clone(),
            generation: self.entries[entry].generation,
            complete_in: self.store.versions_complete_in,
        };
        self.schedule_after(
            self.response_time(),
            self.machine_event(entry, DirectEvent::StoredVersions(versions)),
        );
    }

    /// Writes a change of the recorded software versions to the store, with retries.
    pub(super) fn persist_version(&mut self, entry: EntryId, process: u64, change: VersionChange) {
        if !self.is_process(entry, process) {
            return;
        }
        if self.store_fails(entry) {
            let again = RigEvent::PersistVersion { entry, process, change };
            return self.schedule_after(READ_TIMEOUT + FAILURE_PAUSE, again);
        }
        let versions = &mut self.store.versions;
        match change {
            VersionChange::Serves(known) if !versions.contains(&known) => versions.push(known),
            VersionChange::Serves(_) => {}
            VersionChange::Gone(known) => versions.retain(|version| *version != known),
            VersionChange::Complete(generation) => {
                self.store.versions_complete_in = Some(generation);
            }
        }
    }

    pub(super) fn read_routes(&mut self, entry: EntryId, process: u64) {
        if !self.is_process(entry, process) {
            return;
        }
        let again = RigEvent::ReadRoutes { entry, process };
        if self.store_fails(entry) {
            return self.schedule_after(READ_TIMEOUT + FAILURE_PAUSE, again);
        }
        let newest = self.store.routes.last().map(|(_, routes)| routes.clone());
        let Some(newest) = newest else { return self.schedule_after(LONG_POLL_INTERVAL, again) };
        let known = self.entries[entry].machine.routes().map(|routes| routes.version);
        let read_once = self.settings.defect == Some(DriverDefect::ConfigurationReadOnce);
        if known == Some(newest.version) || (read_once && known.is_some()) {
            return self.schedule_after(LONG_POLL_INTERVAL, again);
        }
        let answer = self.response_time();
        self.schedule_after(answer, self.machine_event(entry, DirectEvent::Routes(newest)));
        self.record_step(PlatformStep::ConfigurationRead, PlatformSite { entry, target: 0 });
        self.schedule_after(answer + ROUTE_READ_PAUSE, again);
    }

    /// Reads the blocked suspects, at the start of a process and after the store was restored.
    pub(super) fn read_suspects(&mut self, entry: EntryId, process: u64, is_restored: bool) {
        if !self.is_process(entry, process) {
            return;
        }
        if self.store_fails(entry) {
            let again = RigEvent::ReadSuspects { entry, process, is_restored };
            return self.schedule_after(READ_TIMEOUT + FAILURE_PAUSE, again);
        }
        self.observe_generation(entry);
        let blocked = self.store.suspects.values();
        let blocked = blocked.map(|block| BlockedSuspect { age: Duration::ZERO, ..block.clone() });
        self.schedule_after(
            self.response_time(),
            self.machine_event(
                entry,
                DirectEvent::StoredSuspects { blocked: blocked.collect(), is_restored },
            ),
        );
        let evidence = self.store.evidence.values().cloned().collect();
        self.schedule_after(
            self.response_time() * 2,
            self.machine_event(entry, DirectEvent::StoredEvidence { evidence, is_restored }),
        );
    }

    /// Writes a change of the crashes that are kept to the store, with retries.
    pub(super) fn persist_evidence(
        &mut self,
        entry: EntryId,
        process: u64,
        change: EvidenceChange,
    ) {
        if !self.is_process(entry, process) {
            return;
        }
        if self.store_fails(entry) {
            let again = RigEvent::PersistEvidence { entry, process, change };
            return self.schedule_after(READ_TIMEOUT + FAILURE_PAUSE, again);
        }
        match change {
            EvidenceChange::Written(evidence) => {
                self.store.evidence.insert(evidence.suspect, evidence);
            }
            EvidenceChange::Removed(suspect) => {
                self.store.evidence.remove(&suspect);
            }
        }
    }

    /// Writes a change of the blocked suspects to the store, with retries.
    pub(super) fn persist_suspect(&mut self, entry: EntryId, process: u64, change: SuspectChange) {
        if !self.is_process(entry, process) {
            return;
        }
        if self.store_fails(entry) {
            let again = RigEvent::PersistSuspect { entry, process, change };
            return self.schedule_after(READ_TIMEOUT + FAILURE_PAUSE, again);
        }
        match change {
            SuspectChange::Blocked(block) => {
                self.store.suspects.insert(block.suspect, block);
            }
            SuspectChange::Cleared(suspect) => {
                self.store.suspects.remove(&suspect);
            }
        }
    }

    pub(super) fn machine_event(&self, entry: EntryId, event: DirectEvent) -> RigEvent {
        let process = self.entries[entry].process;
        RigEvent::Machine { entry, process, event: Box::new(event) }
    }

    /// Writes the next configuration, which moves lookups to the other service or back.
    pub(super) fn change_routes(&mut self) {
        let number = self.store.routes.len() as u64;
        let version = 1 + 3 * number + self.rng.random_range(0..2);
        let is_second = !number.is_multiple_of(2);
        let customers = self.customers(is_second);
        let table = RouteTable { customers, ..route_table(version, is_second) };
        self.store.write_routes(self.now, table);
        self.record_step(PlatformStep::ConfigurationWritten, PlatformSite { entry: 0, target: 0 });
    }

    /// Sends one entry's load report and recent crash reports to all its peers.
    ///
    /// One report in 50 is lost at random.
    pub(super) fn send_reports(&mut self, entry: EntryId, process: u64) {
        if !self.is_process(entry, process) {
            return;
        }
        self.schedule_after(super::REPORT_INTERVAL, RigEvent::Report { entry, process });
        let now = self.now;
        let number = self.entries[entry].count_report();
        let load = self.entries[entry].machine.load_report(now, number.is_multiple_of(8));
        let mut suspects = self.entries[entry].machine.suspect_report(now);
        if self.settings.defect == Some(DriverDefect::CrashReportsOmitted) {
            suspects = SuspectReport::default();
        }
        for peer in 0..self.entries.len() {
            let lost = self.reports_lost_until > now || self.rng.random_ratio(1, 50);
            if peer == entry || lost || !self.entries[peer].alive {
                continue;
            }
            self.schedule_after(
                NETWORK_DELAY,
                self.machine_event(peer, DirectEvent::PeerLoad(load.clone())),
            );
            if !suspects.is_empty() {
                self.schedule_after(
                    NETWORK_DELAY,
                    self.machine_event(peer, DirectEvent::Suspects(suspects.clone())),
                );
            }
        }
    }
}

fn read_failure() -> DirectEvent {
    DirectEvent::Target(TargetChange::ReadFailed)
}

/// Returns the service that runs a class of request.
///
/// `moved` selects a configuration that sends lookups to the other service.
pub fn service_of(class: RequestClass, moved: bool) -> &'static str {
    match class {
        RequestClass::Dossier | RequestClass::Note | RequestClass::Poison => "llm",
        RequestClass::Ticket => "tickets",
        RequestClass::Lookup if moved => "ledger",
        RequestClass::Lookup => "tickets",
    }
}

/// Returns a configuration with one route per class of request.
///
/// If `moved` is set, lookups go to the other service.
pub fn route_table(version: u64, moved: bool) -> RouteTable {
    let classes = [
        RequestClass::Dossier,
        RequestClass::Note,
        RequestClass::Poison,
        RequestClass::Ticket,
        RequestClass::Lookup,
    ];
    let engine = EngineConfig {
        slots: 16,
        memory_tokens: 400_000,
        token_bytes: 163_840.0,
        link_bits: 1.5e12,
    };
    let plain = ServiceConfig { max_connections: 100, engine: None, scaling: None };
    let llm = ServiceConfig { max_connections: 180, engine: Some(engine), scaling: None };
    RouteTable {
        version,
        routes: classes.iter().map(|class| Arc::new(route(*class, moved))).collect(),
        services: [
            ("llm".into(), llm),
            ("tickets".into(), plain.clone()),
            ("ledger".into(), plain),
        ]
        .into(),
        limits: RequestLimits {
            head_bytes: 16_384,
            body_bytes: 65_536,
            idle_time: Duration::from_secs(15),
        },
        customers: None,
    }
}

/// Returns the priority of a class's route.
pub(super) fn route_priority(class: RequestClass) -> u8 {
    u8::from(class == RequestClass::Dossier)
}

fn route(class: RequestClass, moved: bool) -> RouteConfig {
    let (retry, timeout, objective, max_attempts) = match class {
        RequestClass::Dossier => (RetryPolicy::Resume, 5000, 500, 2),
        RequestClass::Note | RequestClass::Poison => (RetryPolicy::Never, 2500, 250, 1),
        RequestClass::Ticket => (RetryPolicy::Never, 800, 150, 1),
        RequestClass::Lookup => (RetryPolicy::Always, 800, 150, 2),
    };
    let service = WeightedService { service: service_of(class, moved).into(), weight: 1 };
    RouteConfig {
        name: class.to_string().into(),
        host: "host".into(),
        prefix: format!("/{class}/").into(),
        retry,
        streams: class.is_stream(),
        timeout: Duration::from_millis(timeout),
        objective: Duration::from_millis(objective),
        event_gap: class.is_stream().then_some(EVENT_GAP),
        priority: route_priority(class),
        max_attempts,
        allows_anonymous: allows_anonymous(class),
        services: [service].into_iter().collect(),
    }
}
