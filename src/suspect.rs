//! Suspects: requests that were running when their target crashed.
//!
//! Without this record, one request that crashes its target would be retried on
//! one target after another and crash them all. A suspect runs isolated, and is
//! rejected after [`MAX_CRASHES`] crashes. See
//! [docs/design/suspects.md](../docs/design/suspects.md).

use std::{collections::BTreeMap, time::Duration};

use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use crate::{
    ids::{ChangeId, ContentFingerprint},
    record::SuspectReport,
};

/// Number of crashes from which on a request is rejected.
pub const MAX_CRASHES: u8 = 3;
/// Time after its last crash for which a suspect is remembered.
pub const SUSPECT_LIFETIME: Duration = Duration::from_secs(6 * 3600);
/// Maximum number of suspects in a table; those with the oldest last crash are evicted.
pub const MAX_SUSPECTS: usize = 4096;

/// Crashes attributed to one request content.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectHistory {
    /// Ids of the crashes, so that one that is reported twice counts once.
    pub crashes: SmallVec<[ChangeId; 4]>,
    /// Time of the last crash.
    #[serde(rename = "last")]
    pub last_crash: Duration,
}

/// How a request may run, given the crashes attributed to its content.
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
    /// Returns the policy for a request with this number of crashes.
    pub fn from_crashes(crashes: u8) -> SuspectPolicy {
        match crashes {
            0 => SuspectPolicy::Shared,
            crashes if crashes < MAX_CRASHES => SuspectPolicy::Isolated,
            _ => SuspectPolicy::Rejected,
        }
    }
}

/// Suspects by the hash of their content.
///
/// One table is built from the log. An entry keeps another one for the reports that sides
/// send it directly, as they may not reach it through the log.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct SuspectTable {
    #[serde(with = "crate::pairs")]
    entries: BTreeMap<ContentFingerprint, SuspectHistory>,
}

impl SuspectTable {
    /// Adds the crashes of a report and removes the suspects that it clears.
    pub fn apply(&mut self, time: Duration, report: &SuspectReport) {
        for fingerprint in &report.crashed {
            let history = self
                .entries
                .entry(*fingerprint)
                .or_insert_with(|| SuspectHistory { crashes: SmallVec::new(), last_crash: time });
            history.last_crash = time;
            if !history.crashes.contains(&report.change)
                && history.crashes.len() < usize::from(MAX_CRASHES)
            {
                history.crashes.push(report.change.clone());
            }
        }
        for fingerprint in &report.cleared {
            self.entries.remove(fingerprint);
        }
        self.evict_oldest();
    }

    /// Returns the number of distinct crashes of a content in this table and `other`.
    pub fn merged_crash_count(&self, other: &SuspectTable, fingerprint: ContentFingerprint) -> u8 {
        let own = self.crashes(fingerprint);
        let others = other.crashes(fingerprint).iter().filter(|change| !own.contains(change));
        (own.len() + others.count()) as u8
    }

    /// Returns the number of crashes of a content in this table.
    pub fn crash_count(&self, fingerprint: ContentFingerprint) -> u8 {
        self.crashes(fingerprint).len() as u8
    }

    fn crashes(&self, fingerprint: ContentFingerprint) -> &[ChangeId] {
        self.entries.get(&fingerprint).map_or(&[], |history| &history.crashes)
    }

    /// Returns whether [`SuspectTable::expire`] would drop anything.
    pub fn has_expired(&self, now: Duration) -> bool {
        self.entries.values().any(|history| history.last_crash + SUSPECT_LIFETIME < now)
    }

    /// Drops the suspects whose last crash is more than [`SUSPECT_LIFETIME`] ago.
    pub fn expire(&mut self, now: Duration) {
        self.entries.retain(|_, history| history.last_crash + SUSPECT_LIFETIME >= now);
    }

    /// Returns all suspects, ordered by the hash of their content.
    pub fn iter(&self) -> impl Iterator<Item = (&ContentFingerprint, &SuspectHistory)> {
        self.entries.iter()
    }

    fn evict_oldest(&mut self) {
        while self.entries.len() > MAX_SUSPECTS {
            let Some(oldest) =
                self.entries.iter().min_by_key(|(_, history)| history.last_crash).map(|(f, _)| *f)
            else {
                return;
            };
            self.entries.remove(&oldest);
        }
    }
}
