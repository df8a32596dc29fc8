//! Crashes that are kept in the store before, and beside, what is blocked for them.
//!
//! Running entries know crashes from each other's reports. All of them may lose power between two
//! crashes under a request, or before another caller sends it, and would count from the
//! beginning. See [docs/design/suspects.md](../../docs/design/suspects.md).

use std::collections::HashMap;

use serde::{Deserialize, Serialize};

use super::{
    suspect::{CrashSuspect, RequestIdentity, SuspectReport, SuspectRun, TargetCrash},
    suspect_table::{CrashRecord, SuspectTable, suspect_run},
};
use crate::ids::ClockTime;

/// Number of crashes under a path or segment from which on they are kept. Most crashes of targets
/// have nothing in common, and are not written.
const MIN_CRASHES: usize = 2;
/// Largest number of crashes, and of requests in each, that are kept of a path or segment.
const MAX_CRASHES: usize = 16;
const MAX_REQUESTS: usize = 16;

/// Crashes under requests for one path, or with one segment. What is narrower than the path is
/// in the crashes.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct CrashEvidence {
    /// The path or segment.
    pub suspect: CrashSuspect,
    /// The crashes, with the times from each to the last one as their ages.
    pub crashes: Vec<TargetCrash>,
}

/// Change of the evidence in the store.
#[derive(Debug, Clone, PartialEq)]
pub enum EvidenceChange {
    /// There is more of it.
    Added(CrashEvidence),
    /// A whole response acquitted the path or segment, or the crashes are too old to count.
    Removed(CrashSuspect),
}

/// Crashes under one suspect in what this entry knows.
#[derive(Debug, Default)]
struct KnownCrashes<'a> {
    crashes: Vec<&'a CrashRecord>,
    /// Whether this entry had a request with the suspect at one of the targets.
    is_own: bool,
}

impl SuspectTable {
    /// Returns how the evidence in the store has to change, and takes it for changed.
    pub(super) fn take_evidence_changes(&mut self) -> Vec<EvidenceChange> {
        let mut changes = Vec::new();
        let mut written = Vec::new();
        let known = self.crashes_by_stored_suspect();
        for (suspect, known) in &known {
            let count = known.crashes.len();
            let before = self.stored_evidence.get(suspect).copied().unwrap_or(0);
            if known.is_own && count >= MIN_CRASHES && count > before {
                changes.push(EvidenceChange::Added(self.evidence(*suspect)));
                written.push((*suspect, count));
            }
        }
        let is_over = |suspect: &&CrashSuspect| !known.contains_key(suspect);
        let over: Vec<CrashSuspect> =
            self.stored_evidence.keys().filter(is_over).copied().collect();
        self.stored_evidence.extend(written);
        for suspect in over {
            self.stored_evidence.remove(&suspect);
            changes.push(EvidenceChange::Removed(suspect));
        }
        changes
    }

    /// Adds what earlier processes knew. Times since the last crash are not known, so that it
    /// counts as one of now.
    pub(super) fn load_evidence(&mut self, now: ClockTime, evidence: Vec<CrashEvidence>) {
        for CrashEvidence { suspect, crashes } in evidence {
            self.stored_evidence.insert(suspect, crashes.len());
            // A response since the start may be a later one than the crashes.
            if !self.successes.contains_key(&suspect) {
                self.apply(now, &SuspectReport { crashes, ..SuspectReport::default() });
            }
        }
    }

    /// Groups the crashes by the suspects under which they are kept. Popular segments are in
    /// most crashes by chance, and popular paths in those of one moment.
    fn crashes_by_stored_suspect(&self) -> HashMap<CrashSuspect, KnownCrashes<'_>> {
        let mut known: HashMap<CrashSuspect, KnownCrashes<'_>> = HashMap::new();
        for crash in self.crashes.values().filter(|crash| crash.confirmed) {
            for suspect in crash.suspects.keys() {
                let was_fine = self.successes.contains_key(suspect);
                let is_kept = match suspect {
                    CrashSuspect::Path(_) => true,
                    CrashSuspect::Segment(_) => !was_fine,
                    CrashSuspect::Content(_)
                    | CrashSuspect::Resource(_)
                    | CrashSuspect::Caller(_) => false,
                };
                if is_kept {
                    let known = known.entry(*suspect).or_default();
                    known.crashes.push(crash);
                    known.is_own |= crash.is_own(suspect);
                }
            }
        }
        known.retain(|suspect, known| {
            !self.successes.contains_key(suspect) || has_later_run(*suspect, &known.crashes)
        });
        known
    }

    fn evidence(&self, suspect: CrashSuspect) -> CrashEvidence {
        let crashes = self.crashes.iter();
        let crashes =
            crashes.filter(|(_, crash)| crash.confirmed && crash.suspects.contains_key(&suspect));
        let last = crashes.clone().map(|(_, crash)| crash.at).max().unwrap_or_default();
        let mut crashes: Vec<TargetCrash> = crashes
            .map(|(start, crash)| {
                let (runs, requests) = runs_of(suspect, crash);
                let age = last.saturating_sub(crash.at);
                TargetCrash { start: start.clone(), age, runs, requests }
            })
            .collect();
        crashes.sort_by(|a, b| a.age.cmp(&b.age).then_with(|| a.start.cmp(&b.start)));
        crashes.truncate(MAX_CRASHES);
        CrashEvidence { suspect, crashes }
    }
}

/// Returns whether a request under one of the crashes was sent after another one.
fn has_later_run(suspect: CrashSuspect, crashes: &[&CrashRecord]) -> bool {
    let Some(first) = crashes.iter().map(|crash| crash.at).min() else { return false };
    let mut uses = crashes.iter().filter_map(|crash| crash.suspects.get(&suspect));
    uses.any(|used| used.sent >= first)
}

/// Returns the runs under a crash that a path or segment stands for, and their requests.
fn runs_of(suspect: CrashSuspect, crash: &CrashRecord) -> (Vec<SuspectRun>, Vec<RequestIdentity>) {
    let is_of_path = |identity: &&RequestIdentity| CrashSuspect::Path(identity.path) == suspect;
    let mut requests: Vec<RequestIdentity> =
        crash.requests.keys().filter(is_of_path).copied().collect();
    requests.sort_unstable();
    requests.truncate(MAX_REQUESTS);
    let suspects = requests.iter().flat_map(RequestIdentity::suspects).chain([suspect]);
    let mut runs: Vec<SuspectRun> = suspects
        .filter_map(|suspect| Some(suspect_run(crash, suspect, crash.suspects.get(&suspect)?)))
        .collect();
    runs.sort_unstable();
    runs.dedup();
    (runs, requests)
}
