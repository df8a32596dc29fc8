//! Software versions that the targets of each service have had, also before this process's start.
//!
//! A stream whose origin nobody knows may go on only if its service has had one version for as
//! long as the stream can have lasted. Entries keep the versions in the store, so that all of
//! them may start anew after the last target of a version has left. See
//! [docs/design/streams.md](../../docs/design/streams.md).

use std::{
    collections::{HashMap, HashSet},
    time::Duration,
};

use serde::{Deserialize, Serialize};

use super::{
    DirectAction, DirectMachine, DirectTarget, RetryPolicy, ServiceName, SoftwareVersion,
    StoreGeneration,
};
use crate::ids::ClockTime;

/// Time for which a software version is remembered after it was last seen. It is longer than
/// a stream can be taken up.
const VERSION_MEMORY: Duration = Duration::from_secs(300);
/// Interval at which the store's records are compared with the versions that serve.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// Number of entries that write a version to the store: one of them may be cut off from it.
const WRITER_COUNT: usize = 3;
/// Age of the list of targets up to which it shows that a version has left.
pub(super) const MAX_LIST_AGE: Duration = Duration::from_secs(5);

/// Software version that targets of a service have.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ServiceVersion {
    /// The service.
    pub service: ServiceName,
    /// Version of its targets' software.
    pub version: SoftwareVersion,
}

impl ServiceVersion {
    /// Returns the version of a target.
    pub(super) fn of(target: &DirectTarget) -> ServiceVersion {
        ServiceVersion { service: target.service.clone(), version: target.version.clone() }
    }
}

/// Change of a version's record in the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum VersionChange {
    /// Targets of the version serve.
    Serves(ServiceVersion),
    /// Its last target left longer ago than a stream can last.
    Gone(ServiceVersion),
    /// The store lacks no record in this generation.
    Complete(StoreGeneration),
}

/// The store's records of software versions.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct StoredVersions {
    /// Versions of targets that serve, or served lately.
    pub versions: Vec<ServiceVersion>,
    /// Generation of the store that they were read from, if it states one.
    pub generation: Option<StoreGeneration>,
    /// Last generation in which an entry found that the store lacked no record.
    pub complete_in: Option<StoreGeneration>,
}

impl StoredVersions {
    /// Returns whether no record was lost when the store was restored from an older copy.
    ///
    /// A store without any record is that of a system that starts for the first time.
    fn is_complete(&self) -> bool {
        let is_new = self.versions.is_empty() && self.complete_in.is_none();
        self.complete_in == self.generation || self.generation.is_none() || is_new
    }
}

/// Versions at which a stream may have begun.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum VersionSet {
    /// No target is known.
    Empty,
    /// All targets had this one.
    One(SoftwareVersion),
    /// Targets had several.
    Several,
}

impl VersionSet {
    pub(super) fn add(self, version: &SoftwareVersion) -> VersionSet {
        match self {
            VersionSet::Empty => VersionSet::One(version.clone()),
            VersionSet::One(known) if known == *version => VersionSet::One(known),
            VersionSet::One(_) | VersionSet::Several => VersionSet::Several,
        }
    }
}

/// Versions of each service, by the registrations that this process read and by the store's
/// records of what others had read before.
#[derive(Debug, Clone, Default, Serialize)]
pub(super) struct VersionTable {
    /// When each version was last seen.
    sightings: HashMap<ServiceName, HashMap<SoftwareVersion, ClockTime>>,
    /// Versions that have a record in the store, as far as this process knows.
    stored: HashSet<ServiceVersion>,
    /// Whether the records were read since the last gap in what was read of the targets.
    is_loaded: bool,
    /// Whether this process knows all versions at which a stream may have begun, by complete
    /// records or because it has seen the targets for that long.
    knows_all: bool,
    /// Whether the records may lack some.
    awaits_others: bool,
    /// Generation of the store in which no entry has stated yet that the records are complete.
    unconfirmed: Option<StoreGeneration>,
}

impl VersionTable {
    /// Records that a target of the version was registered at a time.
    pub(super) fn record(&mut self, now: ClockTime, target: &DirectTarget) {
        self.insert(now, target.service.clone(), target.version.clone());
    }

    fn insert(&mut self, now: ClockTime, service: ServiceName, version: SoftwareVersion) {
        let sightings = self.sightings.entry(service).or_default();
        sightings.retain(|_, seen| *seen + VERSION_MEMORY >= now);
        sightings.insert(version, now);
    }

    /// Records that targets may have been registered and removed without being noticed.
    pub(super) fn gap_noticed(&mut self) {
        self.is_loaded = false;
    }

    /// Records that targets may have been registered and removed without being noticed, while
    /// the store lost records of that.
    pub(super) fn records_lost(&mut self) {
        self.knows_all = false;
    }

    /// Records that this process has seen the targets for as long as a stream can last.
    fn all_seen(&mut self) {
        self.knows_all = true;
        self.is_loaded |= std::mem::take(&mut self.awaits_others);
    }

    /// Adds the store's records. Since they do not say how long ago a version left, it counts as
    /// seen now. Those of a restored store count only once an entry that knew all of them has
    /// written the lost ones again.
    pub(super) fn load(&mut self, now: ClockTime, stored: StoredVersions) {
        self.knows_all |= stored.is_complete();
        self.is_loaded = self.knows_all;
        self.awaits_others = !self.knows_all;
        self.unconfirmed = stored.generation.filter(|_| stored.complete_in != stored.generation);
        for ServiceVersion { service, version } in stored.versions.iter().cloned() {
            self.insert(now, service, version);
        }
        self.stored = stored.versions.into_iter().collect();
    }

    /// Returns whether the versions of earlier processes are known.
    pub(super) fn is_loaded(&self) -> bool {
        self.is_loaded
    }

    /// Returns the versions of a service that were seen since a time.
    pub(super) fn seen_since(&self, since: ClockTime, service: &ServiceName) -> VersionSet {
        let sightings = self.sightings.get(service).into_iter().flatten();
        let seen = sightings.filter(|(_, seen)| **seen >= since).map(|(version, _)| version);
        seen.fold(VersionSet::Empty, VersionSet::add)
    }

    /// Returns how the store's records have to change, and takes them for changed.
    ///
    /// `services` are those whose versions matter. A version is gone if it was not seen since
    /// `since` and is not listed.
    pub(super) fn take_changes(
        &mut self,
        since: ClockTime,
        services: &HashSet<&ServiceName>,
        is_listed: impl Fn(&ServiceVersion) -> bool,
    ) -> Vec<VersionChange> {
        let seen = self.sightings.iter().filter(|(service, _)| services.contains(service));
        let seen: HashSet<ServiceVersion> = seen
            .flat_map(|(service, versions)| {
                let recent = versions.iter().filter(|(_, seen)| **seen >= since);
                recent.map(|(version, _)| {
                    let (service, version) = (service.clone(), version.clone());
                    ServiceVersion { service, version }
                })
            })
            .collect();
        let is_gone = |known: &ServiceVersion| !seen.contains(known) && !is_listed(known);
        let gone = self.stored.extract_if(|known| is_gone(known)).map(VersionChange::Gone);
        let mut changes: Vec<VersionChange> = gone.collect();
        for version in seen {
            if self.stored.insert(version.clone()) {
                changes.push(VersionChange::Serves(version));
            }
        }
        changes
    }
}

impl DirectMachine {
    /// Keeps the store's records in step with the versions that serve.
    pub(super) fn keep_versions(&mut self, now: ClockTime, out: &mut Vec<DirectAction>) {
        let is_current = self.fleet.is_list_current(now.saturating_sub(MAX_LIST_AGE));
        if now < self.next_version_check || self.is_starting(now) || !is_current {
            return;
        }
        self.next_version_check = now + CHECK_INTERVAL;
        let Some(routes) = self.routes.clone() else { return };
        let resumed = routes.routes.iter().filter(|route| route.retry == RetryPolicy::Resume);
        let services = resumed.clone().flat_map(|route| &route.services);
        let services: HashSet<&ServiceName> = services.map(|weighted| &weighted.service).collect();
        let longest = resumed.map(|route| self.longest_stream(route)).max().unwrap_or_default();
        if self.started.is_some_and(|started| now >= started + longest) {
            self.fleet.versions.all_seen();
        }
        if !self.fleet.versions.is_loaded() {
            if self.fleet.versions.awaits_others {
                out.push(DirectAction::ReadVersions);
            }
            return;
        }
        let changes = self.fleet.version_changes(now.saturating_sub(longest), &services);
        let own = &self.settings.name;
        let writes = self.peers.names().filter(|peer| *peer < own).count() < WRITER_COUNT;
        if !writes {
            return;
        }
        out.extend(changes.into_iter().map(DirectAction::PersistVersion));
        // Versions are known once the targets have registered again.
        if self.fleet.is_relisted()
            && let Some(generation) = self.fleet.versions.unconfirmed.take()
        {
            out.push(DirectAction::PersistVersion(VersionChange::Complete(generation)));
        }
    }
}
