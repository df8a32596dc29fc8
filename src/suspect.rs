//! Requests that were running when their target crashed.
//!
//! One bad request would otherwise crash every target that it is retried on.
//! Suspects run alone, and after a few crashes alone they fail for good. See
//! [docs/design/suspects.md](../docs/design/suspects.md).

use std::{collections::BTreeMap, time::Duration};

use serde::{Deserialize, Serialize};

use crate::{
    ids::{ClockTime, ContentFingerprint, LogTime},
    record::SuspectReport,
};

/// Crashes after which a request fails for good.
pub const MAX_CRASHES: u8 = 3;
/// Time after its last crash at which a suspect is forgotten.
pub const SUSPECT_LIFETIME: Duration = Duration::from_secs(6 * 3600);
/// Largest number of suspects that are kept; the oldest go first.
pub const MAX_SUSPECTS: usize = 4096;

/// Crash count of one request content.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectEntry {
    /// Crashes of targets that were running it.
    pub crashes: u8,
    /// Log time of the last crash.
    pub last: LogTime,
}

/// How a request with some content may be run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum SuspectVerdict {
    /// Beside others.
    Clear,
    /// On a target that runs nothing else.
    Alone,
    /// Not at all.
    Barred,
}

/// All suspects.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct SuspectTable {
    #[serde(with = "crate::pairs")]
    entries: BTreeMap<ContentFingerprint, SuspectEntry>,
}

impl SuspectTable {
    /// Counts one report.
    pub fn apply(&mut self, time: LogTime, report: &SuspectReport) {
        for fingerprint in &report.crashed {
            let entry =
                self.entries.entry(*fingerprint).or_insert(SuspectEntry { crashes: 0, last: time });
            entry.crashes = entry.crashes.saturating_add(1);
            entry.last = time;
        }
        for fingerprint in &report.cleared {
            self.entries.remove(fingerprint);
        }
        self.bound();
    }

    /// Tells how a request may be run, given crashes that the log may not show yet.
    pub fn verdict(&self, fingerprint: ContentFingerprint, seen: u8) -> SuspectVerdict {
        let logged = self.entries.get(&fingerprint).map_or(0, |entry| entry.crashes);
        match logged.max(seen) {
            0 => SuspectVerdict::Clear,
            crashes if crashes < MAX_CRASHES => SuspectVerdict::Alone,
            _ => SuspectVerdict::Barred,
        }
    }

    /// Tells whether [`SuspectTable::expire`] would drop anything.
    pub fn has_expired(&self, now: LogTime) -> bool {
        self.entries.values().any(|entry| entry.last + SUSPECT_LIFETIME < now)
    }

    /// Drops suspects whose last crash is long past.
    pub fn expire(&mut self, now: LogTime) {
        self.entries.retain(|_, entry| entry.last + SUSPECT_LIFETIME >= now);
    }

    /// Returns all suspects.
    pub fn iter(&self) -> impl Iterator<Item = (&ContentFingerprint, &SuspectEntry)> {
        self.entries.iter()
    }

    fn bound(&mut self) {
        while self.entries.len() > MAX_SUSPECTS {
            let Some(oldest) =
                self.entries.iter().min_by_key(|(_, entry)| entry.last).map(|(f, _)| *f)
            else {
                return;
            };
            self.entries.remove(&oldest);
        }
    }
}

/// Crashes that an entry was told of directly, which count while the log is down.
#[derive(Debug, Clone, Default, Serialize)]
pub struct SeenCrashes {
    #[serde(serialize_with = "crate::pairs::serialize")]
    entries: BTreeMap<ContentFingerprint, (u8, ClockTime)>,
}

impl SeenCrashes {
    /// Counts one crash, or the end of a suspect that ran alone.
    pub fn note(
        &mut self,
        now: ClockTime,
        crashed: &[ContentFingerprint],
        cleared: &[ContentFingerprint],
    ) {
        self.entries.retain(|_, (_, last)| *last + SUSPECT_LIFETIME >= now);
        for fingerprint in crashed {
            let (count, last) = self.entries.entry(*fingerprint).or_insert((0, now));
            *count = count.saturating_add(1);
            *last = now;
        }
        for fingerprint in cleared {
            self.entries.remove(fingerprint);
        }
        while self.entries.len() > MAX_SUSPECTS {
            self.entries.pop_first();
        }
    }

    /// Returns the crashes of one request content.
    pub fn count(&self, fingerprint: ContentFingerprint) -> u8 {
        self.entries.get(&fingerprint).map_or(0, |(count, _)| *count)
    }
}
