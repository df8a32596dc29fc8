//! Requests that were running at a target when its connection broke.

use std::{
    collections::{BTreeSet, HashMap},
    time::Duration,
};

use serde::{Deserialize, Serialize};

use crate::ids::{ClockTime, ContentFingerprint};

/// Crashes after which a request is not sent again.
const MAX_CRASHES: usize = 3;
/// Crashes from which on a request is kept in the store. One alone is mostly a
/// target that went down under innocent requests.
const MIN_STORED_CRASHES: usize = 2;
/// Time after its last crash at which a suspect is forgotten.
const SUSPECT_LIFETIME: Duration = Duration::from_secs(60);
/// Suspects that a report names at most, so that it fits a datagram.
const MAX_REPORTED_SUSPECTS: usize = 32;
/// Largest number of suspects; the oldest go first.
const MAX_SUSPECTS: usize = 4096;

/// Requests under which a target's connection broke.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct CrashReport {
    /// Process that saw it.
    pub reporter: u64,
    /// Pairs of a request's fingerprint and the number of the crash at the reporter.
    pub crashes: Vec<(ContentFingerprint, u64)>,
}

/// What an entry knows of one request that crashed targets.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct SuspectReport {
    /// The request.
    pub fingerprint: ContentFingerprint,
    /// Processes that saw its crashes, with their numbers of them.
    pub seen: Vec<(u64, u64)>,
    /// Time since the last one.
    pub age: Duration,
}

impl SuspectReport {
    fn is_seen_by(&self, process: u64) -> bool {
        self.seen.iter().any(|(reporter, _)| *reporter == process)
    }
}

impl SuspectChange {
    /// Returns the request with its crashes.
    pub fn report(&self) -> &SuspectReport {
        match self {
            SuspectChange::Crashed(report) | SuspectChange::Expired(report) => report,
        }
    }
}

/// Crashes by request content.
#[derive(Debug, Clone, Default, Serialize)]
pub struct CrashTable {
    entries: HashMap<ContentFingerprint, CrashEntry>,
    /// Requests that crashed again or were forgotten since [`CrashTable::take_changes`].
    #[serde(skip)]
    changes: Vec<SuspectChange>,
}

/// Request that has crashed targets, or did so long ago.
#[derive(Debug, Clone, PartialEq)]
pub enum SuspectChange {
    /// It has crashed another target.
    Crashed(SuspectReport),
    /// Its last crash is long past.
    Expired(SuspectReport),
}

#[derive(Debug, Clone, Serialize)]
struct CrashEntry {
    seen: BTreeSet<(u64, u64)>,
    last: ClockTime,
}

impl CrashTable {
    /// Counts the crashes of a report; one that is told twice counts once.
    pub fn apply(&mut self, now: ClockTime, report: &CrashReport) {
        for (fingerprint, number) in &report.crashes {
            self.count(now, *fingerprint, (report.reporter, *number));
        }
    }

    /// Takes over what another entry knows, whoever saw it.
    ///
    /// Crashes keep their age on the way, so that entries which tell them to
    /// each other forget them in the end.
    pub fn apply_suspect(&mut self, now: ClockTime, report: &SuspectReport) {
        let last = now.saturating_sub(report.age);
        for crash in &report.seen {
            self.count(last, report.fingerprint, *crash);
        }
    }

    /// Returns the newest suspects, for entries that start later.
    pub fn suspects(&self, now: ClockTime) -> Vec<SuspectReport> {
        let mut reports: Vec<SuspectReport> =
            self.entries.iter().map(suspect_report(now)).collect();
        reports.sort_by_key(|report| (report.age, report.fingerprint));
        reports.truncate(MAX_REPORTED_SUSPECTS);
        reports
    }

    fn count(&mut self, at: ClockTime, fingerprint: ContentFingerprint, crash: (u64, u64)) {
        let new_entry = || CrashEntry { seen: BTreeSet::new(), last: at };
        let entry = self.entries.entry(fingerprint).or_insert_with(new_entry);
        if entry.seen.insert(crash) {
            entry.last = entry.last.max(at);
            if entry.seen.len() >= MIN_STORED_CRASHES {
                let seen = suspect_report(at)((&fingerprint, entry));
                self.changes.push(SuspectChange::Crashed(seen));
            }
        }
        if self.entries.len() > MAX_SUSPECTS {
            self.drop_oldest();
        }
    }

    /// Tells whether a request has crashed so many targets that it is not sent again.
    pub fn is_blocked(&self, fingerprint: Option<ContentFingerprint>) -> bool {
        let entry = fingerprint.and_then(|fingerprint| self.entries.get(&fingerprint));
        entry.is_some_and(|entry| entry.seen.len() >= MAX_CRASHES)
    }

    /// Drops suspects whose last crash is long past.
    pub fn expire(&mut self, now: ClockTime) {
        let is_expired = |entry: &CrashEntry| now > entry.last + SUSPECT_LIFETIME;
        let expired =
            self.entries.iter().filter(|(_, entry)| is_expired(entry)).map(suspect_report(now));
        self.changes.extend(expired.map(SuspectChange::Expired));
        self.entries.retain(|_, entry| !is_expired(entry));
    }

    /// Returns what crashed again or was forgotten, where one process saw a crash itself.
    ///
    /// Only such a process keeps it in the store, so that not all entries write.
    pub fn take_changes(&mut self, process: u64) -> Vec<SuspectChange> {
        let changes = std::mem::take(&mut self.changes);
        changes.into_iter().filter(|change| change.report().is_seen_by(process)).collect()
    }

    fn drop_oldest(&mut self) {
        let oldest = self.entries.iter().min_by_key(|(_, entry)| entry.last).map(|(f, _)| *f);
        if let Some(oldest) = oldest {
            self.entries.remove(&oldest);
        }
    }
}

fn suspect_report(now: ClockTime) -> impl Fn((&ContentFingerprint, &CrashEntry)) -> SuspectReport {
    move |(fingerprint, entry)| SuspectReport {
        fingerprint: *fingerprint,
        seen: entry.seen.iter().copied().collect(),
        age: now.saturating_sub(entry.last),
    }
}
