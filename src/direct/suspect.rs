//! Requests that may crash targets: each was running when a target's connection broke.

use std::{
    collections::{BTreeSet, HashMap},
    time::Duration,
};

use serde::{Deserialize, Serialize};

use crate::ids::{ClockTime, ContentFingerprint};

/// Number of crashes after which a request is no longer sent.
const MAX_CRASHES: usize = 3;
/// Number of crashes from which a request is written to the store. A single crash is mostly
/// caused by the target and not by the request.
const MIN_STORED_CRASHES: usize = 2;
/// Time after the last crash at which a suspect expires.
const SUSPECT_LIFETIME: Duration = Duration::from_secs(60);
/// Maximum number of suspects in a load report, which must fit in a datagram.
const MAX_REPORTED_SUSPECTS: usize = 32;
/// Maximum number of suspects; the oldest are removed first.
const MAX_SUSPECTS: usize = 4096;

/// Report of requests under which a target's connection broke.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct CrashReport {
    /// Instance number of the process that saw the crashes.
    pub reporter: u64,
    /// Fingerprint of each request, with the reporter's sequence number of the crash.
    pub crashes: Vec<(ContentFingerprint, u64)>,
}

/// All known crashes of one request.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct SuspectReport {
    /// Fingerprint of the request.
    pub fingerprint: ContentFingerprint,
    /// Crashes, each as the instance number of its reporter and the sequence number there.
    pub seen: Vec<(u64, u64)>,
    /// Time since the last crash.
    pub age: Duration,
}

impl SuspectReport {
    fn is_seen_by(&self, process: u64) -> bool {
        self.seen.iter().any(|(reporter, _)| *reporter == process)
    }
}

impl SuspectChange {
    /// Returns the request and its crashes.
    pub fn report(&self) -> &SuspectReport {
        match self {
            SuspectChange::Crashed(report) | SuspectChange::Expired(report) => report,
        }
    }
}

/// Known crashes by request fingerprint.
#[derive(Debug, Clone, Default, Serialize)]
pub struct CrashTable {
    entries: HashMap<ContentFingerprint, CrashHistory>,
    /// Changes since the last call of [`CrashTable::take_changes`].
    #[serde(skip)]
    changes: Vec<SuspectChange>,
}

/// Change of a suspect's record in the store.
#[derive(Debug, Clone, PartialEq)]
pub enum SuspectChange {
    /// The request crashed another target.
    Crashed(SuspectReport),
    /// The last crash is older than the lifetime of a suspect.
    Expired(SuspectReport),
}

#[derive(Debug, Clone, Serialize)]
struct CrashHistory {
    seen: BTreeSet<(u64, u64)>,
    last: ClockTime,
}

impl CrashTable {
    /// Counts the crashes in a report. A crash that is reported twice counts once.
    pub fn apply(&mut self, now: ClockTime, report: &CrashReport) {
        for (fingerprint, number) in &report.crashes {
            self.count(now, *fingerprint, (report.reporter, *number));
        }
    }

    /// Merges the crashes that another entry knows of, whichever process saw them.
    ///
    /// Reported crashes keep their age. Otherwise entries that report them to each other
    /// would never let them expire.
    pub fn apply_suspect(&mut self, now: ClockTime, report: &SuspectReport) {
        let last = now.saturating_sub(report.age);
        for crash in &report.seen {
            self.count(last, report.fingerprint, *crash);
        }
    }

    /// Returns the suspects with the newest crashes, for entries that start later.
    pub fn suspects(&self, now: ClockTime) -> Vec<SuspectReport> {
        let mut reports: Vec<SuspectReport> =
            self.entries.iter().map(suspect_report(now)).collect();
        reports.sort_by_key(|report| (report.age, report.fingerprint));
        reports.truncate(MAX_REPORTED_SUSPECTS);
        reports
    }

    fn count(&mut self, at: ClockTime, fingerprint: ContentFingerprint, crash: (u64, u64)) {
        let new_history = || CrashHistory { seen: BTreeSet::new(), last: at };
        let history = self.entries.entry(fingerprint).or_insert_with(new_history);
        if history.seen.insert(crash) {
            history.last = history.last.max(at);
            if history.seen.len() >= MIN_STORED_CRASHES {
                let seen = suspect_report(at)((&fingerprint, history));
                self.changes.push(SuspectChange::Crashed(seen));
            }
        }
        if self.entries.len() > MAX_SUSPECTS {
            self.drop_oldest();
        }
    }

    /// Returns whether a request has crashed so many targets that it is no longer sent.
    pub fn is_blocked(&self, fingerprint: Option<ContentFingerprint>) -> bool {
        let history = fingerprint.and_then(|fingerprint| self.entries.get(&fingerprint));
        history.is_some_and(|history| history.seen.len() >= MAX_CRASHES)
    }

    /// Removes suspects whose last crash is older than their lifetime.
    pub fn expire(&mut self, now: ClockTime) {
        let is_expired = |history: &CrashHistory| now > history.last + SUSPECT_LIFETIME;
        let expired =
            self.entries.iter().filter(|(_, history)| is_expired(history)).map(suspect_report(now));
        self.changes.extend(expired.map(SuspectChange::Expired));
        self.entries.retain(|_, history| !is_expired(history));
    }

    /// Returns and clears the changes of requests of which `process` saw a crash itself.
    ///
    /// Only such a process writes them to the store, so that not every entry writes.
    pub fn take_changes(&mut self, process: u64) -> Vec<SuspectChange> {
        let changes = std::mem::take(&mut self.changes);
        changes.into_iter().filter(|change| change.report().is_seen_by(process)).collect()
    }

    fn drop_oldest(&mut self) {
        let oldest = self.entries.iter().min_by_key(|(_, history)| history.last).map(|(f, _)| *f);
        if let Some(oldest) = oldest {
            self.entries.remove(&oldest);
        }
    }
}

fn suspect_report(
    now: ClockTime,
) -> impl Fn((&ContentFingerprint, &CrashHistory)) -> SuspectReport {
    move |(fingerprint, history)| SuspectReport {
        fingerprint: *fingerprint,
        seen: history.seen.iter().copied().collect(),
        age: now.saturating_sub(history.last),
    }
}
