//! Crashes that are kept in the store before, and beside, what is blocked for them.
//!
//! Running entries know crashes from each other's reports. All of them may lose power between two
//! crashes under a request, or before another caller sends it, and would count from the
//! beginning. See [docs/design/suspects.md](../../docs/design/suspects.md).

use std::collections::{HashMap, HashSet};

use serde::{Deserialize, Serialize};

use super::{
    suspect::{CrashSuspect, RequestIdentity, SuspectReport, SuspectRun, TargetCrash},
    suspect_exchange::suspect_run,
    suspect_table::{CrashRecord, SuspectTable},
};
use crate::ids::ClockTime;

/// Number of crashes under one suspect from which on they are kept. Most crashes of targets
/// have nothing in common, and are not written.
const MIN_CRASHES: usize = 2;
/// Largest number of crashes, and of requests in each, that are kept of a path or segment.
const MAX_CRASHES: usize = 16;
const MAX_REQUESTS: usize = 16;

/// Crashes under requests for one path, or with one segment.
///
/// The path only groups them: its own success acquits it, but not a narrower request of it, which
/// stays in the crashes.
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
    /// There is more of it, or a whole response acquitted a part.
    Written(CrashEvidence),
    /// Nothing of it is left: whole responses acquitted it, or the crashes are too old to count.
    Removed(CrashSuspect),
}

/// Crashes under the requests of one path, or under one segment, by suspect.
#[derive(Debug, Default)]
struct CrashGroup<'a> {
    suspects: HashMap<CrashSuspect, Vec<&'a CrashRecord>>,
    /// Whether this entry had one of the requests at one of the targets.
    is_own: bool,
}

impl<'a> CrashGroup<'a> {
    fn add(&mut self, suspect: CrashSuspect, crash: &'a CrashRecord) {
        self.suspects.entry(suspect).or_default().push(crash);
        self.is_own |= crash.is_own(&suspect);
    }

    /// Returns the number of uses of suspects in crashes.
    fn uses(&self) -> usize {
        self.suspects.values().map(Vec::len).sum()
    }
}

impl SuspectTable {
    /// Returns how the evidence in the store has to change, and takes it for changed.
    ///
    /// Those who had a request at one of the targets add to it, and all who know of the record
    /// take from it.
    pub(super) fn take_evidence_changes(&mut self, now: ClockTime) -> Vec<EvidenceChange> {
        let mut changes = Vec::new();
        let mut written = Vec::new();
        let groups = self.crash_groups();
        for (suspect, group) in &groups {
            let uses = group.uses();
            let before = self.stored_evidence.get(suspect).copied();
            // The entry that had the request may be gone when the store has lost its record.
            let writes = group.is_own || self.rewrites_evidence;
            let has_more = writes && self.has_crashes_in_common(group) && Some(uses) > before;
            if has_more || before.is_some_and(|before| uses < before) {
                changes.push(EvidenceChange::Written(self.evidence(*suspect)));
                written.push((*suspect, uses));
            }
        }
        let is_over = |suspect: &&CrashSuspect| !groups.contains_key(suspect);
        let over: Vec<CrashSuspect> =
            self.stored_evidence.keys().filter(is_over).copied().collect();
        self.stored_evidence.extend(written);
        for suspect in over {
            self.stored_evidence.remove(&suspect);
            self.removed_evidence.insert(suspect, now);
            changes.push(EvidenceChange::Removed(suspect));
        }
        self.rewrites_evidence = false;
        changes
    }

    /// Forgets what the store held before it was restored from an older copy, so that
    /// [`SuspectTable::load_evidence`] finds out what it has lost.
    pub(super) fn forget_stored_evidence(&mut self) {
        self.stored_evidence.clear();
        self.rewrites_evidence = true;
        self.has_changed = true;
    }

    /// Adds what earlier processes knew. Times since the last crash are not known, so that it
    /// counts as one of now.
    pub(super) fn load_evidence(&mut self, now: ClockTime, evidence: Vec<CrashEvidence>) {
        for CrashEvidence { suspect, mut crashes } in evidence {
            let uses = crashes.iter().map(|crash| crash.runs.len()).sum();
            self.stored_evidence.insert(suspect, uses);
            self.has_changed = true;
            // A store that was restored from an older copy has records that were removed since.
            if self.removed_evidence.contains_key(&suspect) {
                continue;
            }
            crashes.retain(|crash| {
                let lives_on = self.survivors.contains_key(&crash.start);
                !lives_on || self.crashes.contains_key(&crash.start)
            });
            // A response since the start may be a later one than the crashes.
            for crash in &mut crashes {
                crash.runs.retain(|(suspect, ..)| !self.successes.contains_key(suspect));
            }
            self.apply(now, &SuspectReport { crashes, ..SuspectReport::default() });
        }
    }

    /// Groups the confirmed crashes by path and by segment. Segments of whole responses shortly
    /// before are popular, and in most crashes by chance.
    fn crash_groups(&self) -> HashMap<CrashSuspect, CrashGroup<'_>> {
        let mut groups: HashMap<CrashSuspect, CrashGroup<'_>> = HashMap::new();
        for crash in self.crashes.values().filter(|crash| crash.confirmed) {
            let of_requests = crash.requests.keys().flat_map(|identity| {
                let path = CrashSuspect::Path(identity.path);
                identity.suspects().into_iter().map(move |suspect| (path, suspect))
            });
            let segments = crash
                .suspects
                .keys()
                .filter(|suspect| suspect.is_segment() && !self.successes.contains_key(*suspect));
            let members = of_requests.chain(segments.map(|segment| (*segment, *segment)));
            // Several requests may share a suspect.
            let members: HashSet<(CrashSuspect, CrashSuspect)> = members.collect();
            for (group, suspect) in members {
                if crash.suspects.contains_key(&suspect) {
                    groups.entry(group).or_default().add(suspect, crash);
                }
            }
        }
        groups
    }

    /// Returns whether several crashes have a suspect in common. Targets that end at one moment
    /// have popular suspects in common.
    fn has_crashes_in_common(&self, group: &CrashGroup<'_>) -> bool {
        group.suspects.iter().any(|(suspect, crashes)| {
            crashes.len() >= MIN_CRASHES
                && (!self.successes.contains_key(suspect) || has_later_run(*suspect, crashes))
        })
    }

    fn evidence(&self, group: CrashSuspect) -> CrashEvidence {
        let crashes = self.crashes.iter().filter(|(_, crash)| crash.confirmed);
        let crashes = crashes.map(|(start, crash)| (start, crash, runs_of(group, crash)));
        let crashes: Vec<_> = crashes.filter(|(_, _, (runs, _))| !runs.is_empty()).collect();
        let last = crashes.iter().map(|(_, crash, _)| crash.at).max().unwrap_or_default();
        let crashes = crashes.into_iter().map(|(start, crash, (runs, requests))| {
            let age = last.saturating_sub(crash.at);
            TargetCrash { start: start.clone(), age, runs, requests }
        });
        let mut crashes: Vec<TargetCrash> = crashes.collect();
        crashes.sort_by(|a, b| a.age.cmp(&b.age).then_with(|| a.start.cmp(&b.start)));
        crashes.truncate(MAX_CRASHES);
        CrashEvidence { suspect: group, crashes }
    }
}

/// Returns whether a request under one of the crashes was sent after another one.
fn has_later_run(suspect: CrashSuspect, crashes: &[&CrashRecord]) -> bool {
    let Some(first) = crashes.iter().map(|crash| crash.at).min() else { return false };
    let mut uses = crashes.iter().filter_map(|crash| crash.suspects.get(&suspect));
    uses.any(|used| used.sent >= first)
}

/// Returns the runs under a crash that belong to a path or segment, and their requests.
fn runs_of(group: CrashSuspect, crash: &CrashRecord) -> (Vec<SuspectRun>, Vec<RequestIdentity>) {
    let is_of_path = |identity: &&RequestIdentity| CrashSuspect::Path(identity.path) == group;
    let mut requests: Vec<RequestIdentity> =
        crash.requests.keys().filter(is_of_path).copied().collect();
    requests.sort_unstable();
    requests.truncate(MAX_REQUESTS);
    let segment = group.is_segment().then_some(group);
    let suspects = requests.iter().flat_map(RequestIdentity::suspects).chain(segment);
    let mut runs: Vec<SuspectRun> = suspects
        .filter_map(|suspect| Some(suspect_run(crash, suspect, crash.suspects.get(&suspect)?)))
        .collect();
    runs.sort_unstable();
    runs.dedup();
    (runs, requests)
}
