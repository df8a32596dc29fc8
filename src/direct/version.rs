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

use super::{DirectAction, DirectMachine, DirectTarget, RetryPolicy, ServiceName, SoftwareVersion};
use crate::ids::ClockTime;

/// Time for which a software version is remembered after it was last seen. It is longer than
/// a stream can be taken up.
const VERSION_MEMORY: Duration = Duration::from_secs(300);
/// Interval at which the store's records are compared with the versions that serve.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// Number of entries that write a version to the store: one of them may be cut off from it.
const WRITER_COUNT: usize = 3;
/// Age of the list of targets up to which it shows that a version has left.
const MAX_LIST_AGE: Duration = Duration::from_secs(5);

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

    /// Adds the store's records. Since they do not say how long ago a version left, it counts as
    /// seen now.
    pub(super) fn load(&mut self, now: ClockTime, records: Vec<ServiceVersion>) {
        for ServiceVersion { service, version } in records.iter().cloned() {
            self.insert(now, service, version);
        }
        self.stored = records.into_iter().collect();
        self.is_loaded = true;
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
        if !self.fleet.versions.is_loaded() {
            return;
        }
        let Some(routes) = &self.routes else { return };
        let resumed = routes.routes.iter().filter(|route| route.retry == RetryPolicy::Resume);
        let services = resumed.clone().flat_map(|route| &route.services);
        let services: HashSet<&ServiceName> = services.map(|weighted| &weighted.service).collect();
        let longest = resumed.map(|route| self.longest_stream(route)).max().unwrap_or_default();
        let changes = self.fleet.version_changes(now.saturating_sub(longest), &services);
        let own = &self.settings.name;
        let writes = self.peers.names().filter(|peer| *peer < own).count() < WRITER_COUNT;
        if writes {
            out.extend(changes.into_iter().map(DirectAction::PersistVersion));
        }
    }
}
