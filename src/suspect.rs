//! Requests that were running when their target crashed.
//!
//! One bad request would otherwise crash every target that it is retried on.
//! Suspects run alone, and after a few crashes alone they fail for good. See
//! [docs/design/suspects.md](../docs/design/suspects.md).

use std::{collections::BTreeMap, time::Duration};

use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use crate::{
    ids::{ChangeId, ContentFingerprint},
    record::SuspectReport,
};

/// Crashes after which a request fails for good.
pub const MAX_CRASHES: u8 = 3;
/// Time after its last crash at which a suspect is forgotten.
pub const SUSPECT_LIFETIME: Duration = Duration::from_secs(6 * 3600);
/// Largest number of suspects that are kept; the oldest go first.
pub const MAX_SUSPECTS: usize = 4096;

/// Crashes of one request content.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectEntry {
    /// Identities of the crashes, so that one that was told twice counts once.
    pub crashes: SmallVec<[ChangeId; 4]>,
    /// Time of the last crash.
    pub last: Duration,
}

/// How a request with some content may be run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum SuspectPolicy {
    /// Runs next to other requests.
    #[serde(rename = "Clear")]
    Shared,
    /// Runs only on a target that runs nothing else meanwhile.
    #[serde(rename = "Alone")]
    Isolated,
    /// Does not run.
    #[serde(rename = "Barred")]
    Rejected,
}

impl SuspectPolicy {
    /// Returns the policy for a number of crashes.
    pub fn from_crashes(crashes: u8) -> SuspectPolicy {
        match crashes {
            0 => SuspectPolicy::Shared,
            crashes if crashes < MAX_CRASHES => SuspectPolicy::Isolated,
            _ => SuspectPolicy::Rejected,
        }
    }
}

/// Suspects by the hash of their content, as the log or as an entry knows them.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct SuspectTable {
    #[serde(with = "crate::pairs")]
    entries: BTreeMap<ContentFingerprint, SuspectEntry>,
}

impl SuspectTable {
    /// Counts one report.
    pub fn apply(&mut self, time: Duration, report: &SuspectReport) {
        for fingerprint in &report.crashed {
            let entry = self
                .entries
                .entry(*fingerprint)
                .or_insert_with(|| SuspectEntry { crashes: SmallVec::new(), last: time });
            entry.last = time;
            if !entry.crashes.contains(&report.change)
                && entry.crashes.len() < usize::from(MAX_CRASHES)
            {
                entry.crashes.push(report.change.clone());
            }
        }
        for fingerprint in &report.cleared {
            self.entries.remove(fingerprint);
        }
        self.evict_oldest();
    }

    /// Returns the number of crashes that this table and another one know of together.
    pub fn merged_crash_count(&self, other: &SuspectTable, fingerprint: ContentFingerprint) -> u8 {
        let own = self.crashes(fingerprint);
        let more = other.crashes(fingerprint).iter().filter(|change| !own.contains(change));
        (own.len() + more.count()) as u8
    }

    /// Returns the number of crashes that this table knows of.
    pub fn crash_count(&self, fingerprint: ContentFingerprint) -> u8 {
        self.crashes(fingerprint).len() as u8
    }

    fn crashes(&self, fingerprint: ContentFingerprint) -> &[ChangeId] {
        self.entries.get(&fingerprint).map_or(&[], |entry| &entry.crashes)
    }

    /// Tells whether [`SuspectTable::expire`] would drop anything.
    pub fn has_expired(&self, now: Duration) -> bool {
        self.entries.values().any(|entry| entry.last + SUSPECT_LIFETIME < now)
    }

    /// Drops suspects whose last crash is long past.
    pub fn expire(&mut self, now: Duration) {
        self.entries.retain(|_, entry| entry.last + SUSPECT_LIFETIME >= now);
    }

    /// Returns all suspects.
    pub fn iter(&self) -> impl Iterator<Item = (&ContentFingerprint, &SuspectEntry)> {
        self.entries.iter()
    }

    fn evict_oldest(&mut self) {
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
