//! Requests that were running at a target when its connection broke.

use std::{
    collections::{HashMap, HashSet},
    time::Duration,
};

use serde::{Deserialize, Serialize};

use crate::ids::{ClockTime, ContentFingerprint};

/// Crashes after which a request is not sent again.
const MAX_CRASHES: usize = 3;
/// Time after its last crash at which a suspect is forgotten.
const CRASH_LIFETIME: Duration = Duration::from_secs(60);
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

/// Crashes by request content.
#[derive(Debug, Clone, Default, Serialize)]
pub struct CrashTable {
    entries: HashMap<ContentFingerprint, CrashEntry>,
}

#[derive(Debug, Clone, Serialize)]
struct CrashEntry {
    seen: HashSet<(u64, u64)>,
    last: ClockTime,
}

impl CrashTable {
    /// Counts the crashes of a report; one that is told twice counts once.
    pub fn apply(&mut self, now: ClockTime, report: &CrashReport) {
        for (fingerprint, number) in &report.crashes {
            let fresh = || CrashEntry { seen: HashSet::new(), last: now };
            let entry = self.entries.entry(*fingerprint).or_insert_with(fresh);
            entry.last = now;
            entry.seen.insert((report.reporter, *number));
        }
        if self.entries.len() > MAX_SUSPECTS {
            self.drop_oldest();
        }
    }

    /// Tells whether a request has crashed so many targets that it is not sent again.
    pub fn is_barred(&self, fingerprint: Option<ContentFingerprint>) -> bool {
        let entry = fingerprint.and_then(|fingerprint| self.entries.get(&fingerprint));
        entry.is_some_and(|entry| entry.seen.len() >= MAX_CRASHES)
    }

    /// Drops suspects whose last crash is long past.
    pub fn expire(&mut self, now: ClockTime) {
        self.entries.retain(|_, entry| now <= entry.last + CRASH_LIFETIME);
    }

    fn drop_oldest(&mut self) {
        let oldest = self.entries.iter().min_by_key(|(_, entry)| entry.last).map(|(f, _)| *f);
        if let Some(oldest) = oldest {
            self.entries.remove(&oldest);
        }
    }
}
