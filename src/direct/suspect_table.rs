//! Suspects that crash targets: prompt segments and whole requests.
//!
//! A suspect is blocked once several targets have crashed while they ran requests with it
//! and no request with it has ended whole since. A target that crashes breaks off all its
//! requests, so most suspects of a crash are there by chance: those are acquitted by the
//! next request with them that ends whole, or by another suspect that explains the crash.
//! Entries share what they see, since the requests of one target come from all of them. See
//! [docs/design/suspects.md](../../docs/design/suspects.md).

use std::{
    collections::{HashMap, HashSet},
    time::Duration,
};

use serde::Serialize;

use super::{
    crash_evidence::EvidenceChange,
    load::repeat_time,
    suspect::{
        BreakId, CrashSuspect, RequestIdentity, RequestSuspects, SuspectChange, TargetRun,
        TargetStart,
    },
    suspect_block::{BLOCK_TIME, BlockRecord},
};
use crate::ids::ClockTime;

/// Time for which crashes are counted.
const CRASH_LIFETIME: Duration = Duration::from_secs(600);
/// Time for which successes are remembered.
const SUCCESS_LIFETIME: Duration = Duration::from_secs(60);
/// Time after a response of uncertain end in which a crash of its target may have ended it.
const UNCONFIRMED_TIME: Duration = Duration::from_secs(1);
/// Time after a supposed crash in which a response shows that the target lives on. A later
/// one may come from its next start, which takes seconds.
const SURVIVAL_TIME: Duration = Duration::from_secs(1);
/// Shortest time for which crashes and successes are repeated in reports.
pub(super) const REPORT_TIME: Duration = Duration::from_secs(3);
/// Largest number of crashes that are kept; the oldest are dropped first.
const MAX_CRASHES: usize = 256;
/// Largest number of connections that are kept which broke while their targets lived on.
const MAX_BREAKS: usize = 1024;
/// Largest number of suspects with a known success.
const MAX_SUCCESSES: usize = 65_536;
/// Time for which removed records of the store are remembered. It is longer than a copy that the
/// store is restored from is old.
const REMOVAL_MEMORY: Duration = Duration::from_secs(60);

#[derive(Debug, Clone, Serialize)]
pub(super) struct SuspectUse {
    /// When the latest request with the suspect was sent.
    pub(super) sent: ClockTime,
    pub(super) position: u8,
}

#[derive(Debug, Clone, Serialize)]
pub(super) struct CrashRecord {
    pub(super) at: ClockTime,
    /// Whether the target was seen to be gone; a broken connection alone does not show it.
    pub(super) confirmed: bool,
    /// Suspects of the requests that this entry had at the target.
    pub(super) own: HashSet<CrashSuspect>,
    pub(super) suspects: HashMap<CrashSuspect, SuspectUse>,
    /// Requests that were at the target, and whether this entry sent them.
    pub(super) requests: HashMap<RequestIdentity, bool>,
}

/// Request whose connection broke while its target lived on.
#[derive(Debug, Clone)]
pub(super) struct BreakRecord {
    pub(super) at: ClockTime,
    pub(super) suspect: CrashSuspect,
    pub(super) used: SuspectUse,
}

/// Response whose end may be that of its target.
#[derive(Debug, Clone)]
struct UnconfirmedRun {
    ended: ClockTime,
    sent: ClockTime,
    identity: RequestIdentity,
    suspects: RequestSuspects,
}

/// Crashes of targets by the suspects of their requests, and the suspects blocked for them.
#[derive(Debug, Clone, Default, Serialize)]
pub struct SuspectTable {
    #[serde(skip)]
    pub(super) crashes: HashMap<TargetStart, CrashRecord>,
    #[serde(skip)]
    pub(super) breaks: HashMap<BreakId, BreakRecord>,
    /// Instance number of this process.
    #[serde(skip)]
    pub(super) instance: u64,
    /// Number of breaks that this process saw.
    #[serde(skip)]
    own_breaks: u64,
    /// When a request with the suspect last ended whole, at any entry.
    #[serde(skip)]
    pub(super) successes: HashMap<CrashSuspect, ClockTime>,
    /// Suspects of responses that ended whole here, under which targets had crashed.
    #[serde(skip)]
    pub(super) own_successes: HashMap<CrashSuspect, ClockTime>,
    /// When a call was sent to which a target responded after a supposed crash, and whether
    /// this entry sent it.
    #[serde(skip)]
    pub(super) survivors: HashMap<TargetStart, (ClockTime, bool)>,
    /// When the latest call to which a target responded was sent.
    #[serde(skip)]
    pub(super) responses: HashMap<TargetStart, ClockTime>,
    /// Responses that ended with their connection, by the target that wrote them.
    #[serde(skip)]
    unconfirmed: HashMap<TargetStart, Vec<UnconfirmedRun>>,
    pub(super) blocked: HashMap<CrashSuspect, BlockRecord>,
    #[serde(skip)]
    pub(super) changes: Vec<SuspectChange>,
    /// Whether there is new evidence since causes were last looked for.
    #[serde(skip)]
    pub(super) has_new_evidence: bool,
    /// Paths and segments whose crashes are kept in the store, with the number of uses in them.
    #[serde(skip)]
    pub(super) stored_evidence: HashMap<CrashSuspect, usize>,
    /// Whether crashes were added or dropped since the store's evidence was last compared.
    #[serde(skip)]
    pub(super) has_changed: bool,
    /// Whether evidence of other entries is written, too, when it is next compared.
    #[serde(skip)]
    pub(super) rewrites_evidence: bool,
    /// Suspects that are no longer blocked and without a crash since, with the time of that.
    #[serde(skip)]
    pub(super) unblocked: HashMap<CrashSuspect, ClockTime>,
    /// Evidence that was removed from the store, with the time of that.
    #[serde(skip)]
    pub(super) removed_evidence: HashMap<CrashSuspect, ClockTime>,
}

impl CrashRecord {
    /// Returns whether this entry had a request with the suspect at the target.
    pub(super) fn is_own(&self, suspect: &CrashSuspect) -> bool {
        self.own.contains(suspect)
    }
}

impl SuspectTable {
    /// Creates an empty table of the process with this instance number.
    pub(super) fn new(instance: u64) -> SuspectTable {
        SuspectTable { instance, ..SuspectTable::default() }
    }

    /// Records that a target's connection broke under a request.
    ///
    /// Returns whether it has to be found out if the target is gone.
    pub(super) fn run_broken(&mut self, now: ClockTime, run: TargetRun) -> bool {
        let is_new = !self.crashes.contains_key(&run.start);
        self.add_unconfirmed_runs(now, now, &run.start);
        self.add_own_runs(now, &run.start, run.sent, run.identity, &run.suspects);
        is_new && self.crashes.contains_key(&run.start)
    }

    fn add_own_runs(
        &mut self,
        at: ClockTime,
        start: &TargetStart,
        sent: ClockTime,
        identity: RequestIdentity,
        suspects: &[(CrashSuspect, u8)],
    ) {
        for (suspect, position) in suspects {
            let used = SuspectUse { sent, position: *position };
            self.add_run(at, start, *suspect, used, true);
        }
        if let Some(crash) = self.crashes.get_mut(start) {
            crash.requests.insert(identity, true);
        }
    }

    /// Adds the requests to a crash whose responses may have ended with it.
    pub(super) fn add_unconfirmed_runs(
        &mut self,
        now: ClockTime,
        at: ClockTime,
        start: &TargetStart,
    ) {
        let runs = self.unconfirmed.remove(start).unwrap_or_default();
        let (ended, others): (Vec<_>, Vec<_>) =
            runs.into_iter().partition(|run| run.ended.abs_diff(at) <= UNCONFIRMED_TIME);
        for run in ended {
            self.add_own_runs(at, start, run.sent, run.identity, &run.suspects);
        }
        let others: Vec<_> =
            others.into_iter().filter(|run| run.ended + UNCONFIRMED_TIME >= now).collect();
        if !others.is_empty() {
            self.unconfirmed.insert(start.clone(), others);
        }
    }

    /// Records whether a target was gone when a connection to it had broken.
    pub(super) fn target_probed(&mut self, start: &TargetStart, asked: ClockTime, gone: bool) {
        let Some(crash) = self.crashes.get_mut(start) else { return };
        if gone {
            crash.confirmed = true;
            self.has_new_evidence = true;
        } else {
            // Also where both happened at the same moment, so that a later crash is new.
            self.drop_crash(start);
            self.dismiss_crash(start, asked, true);
        }
    }

    /// Records that a call could not be sent to a target.
    ///
    /// If all its responses without framing ended between two events as it crashed, this is
    /// the only sign of the crash. Returns whether it has to be found out if the target is gone.
    pub(super) fn target_unreachable(&mut self, now: ClockTime, start: &TargetStart) -> bool {
        let runs = self.unconfirmed.get(start);
        let is_recent = |run: &UnconfirmedRun| run.ended + UNCONFIRMED_TIME >= now;
        if !runs.is_some_and(|runs| runs.iter().any(is_recent)) {
            return false;
        }
        let is_new = !self.crashes.contains_key(start);
        self.add_unconfirmed_runs(now, now, start);
        is_new && self.crashes.contains_key(start)
    }

    /// Records that a target responded to a call, which it can do only if it had not crashed
    /// before.
    pub(super) fn target_responded(&mut self, start: &TargetStart, called: ClockTime) {
        let latest = self.responses.entry(start.clone()).or_insert(called);
        *latest = called.max(*latest);
        if self.crashes.get(start).is_some_and(|crash| shows_survival(crash.at, called)) {
            self.dismiss_crash(start, called, true);
        }
        let Some(runs) = self.unconfirmed.get_mut(start) else { return };
        let confirmed: Vec<UnconfirmedRun> =
            runs.extract_if(.., |run| shows_survival(run.ended, called)).collect();
        if runs.is_empty() {
            self.unconfirmed.remove(start);
        }
        for run in confirmed {
            self.run_succeeded(run.ended, &run.suspects);
        }
    }

    /// Records a response that ended whole, as its framing shows.
    pub(super) fn run_succeeded(&mut self, at: ClockTime, suspects: &[(CrashSuspect, u8)]) {
        for (suspect, _) in suspects {
            let suspected = self.crashes.values().any(|c| c.suspects.contains_key(suspect))
                || self.breaks.values().any(|broken| broken.suspect == *suspect);
            if suspected || self.blocked.contains_key(suspect) {
                self.own_successes.insert(*suspect, at);
            }
            self.acquit(*suspect, at);
        }
    }

    /// Records a response that ended with its connection, whole or not.
    pub(super) fn run_ended_unconfirmed(&mut self, now: ClockTime, run: TargetRun) {
        let TargetRun { start, sent, identity, suspects } = run;
        let ended = UnconfirmedRun { ended: now, sent, identity, suspects };
        self.unconfirmed.entry(start).or_default().push(ended);
    }

    /// Blocks suspects that new evidence speaks against, and returns and clears the changes
    /// that this entry writes to the store.
    pub(super) fn take_changes(&mut self, now: ClockTime) -> Vec<SuspectChange> {
        if std::mem::take(&mut self.has_new_evidence) {
            self.has_changed = true;
            self.block_causes(now);
        }
        std::mem::take(&mut self.changes)
    }

    /// Returns how the crashes in the store have to change.
    pub(super) fn take_evidence(&mut self, now: ClockTime) -> Vec<EvidenceChange> {
        if std::mem::take(&mut self.has_changed) {
            self.take_evidence_changes(now)
        } else {
            Vec::new()
        }
    }

    /// Drops what is older than its lifetime.
    pub(super) fn expire(&mut self, now: ClockTime, peers: usize) {
        let report_time = repeat_time(peers, REPORT_TIME);
        self.crashes.retain(|_, crash| now <= crash.at + CRASH_LIFETIME);
        self.has_changed |= !self.stored_evidence.is_empty();
        self.breaks.retain(|_, broken| now <= broken.at + CRASH_LIFETIME);
        self.successes.retain(|_, at| now <= *at + SUCCESS_LIFETIME);
        self.own_successes.retain(|_, at| now <= *at + report_time);
        self.survivors.retain(|_, (at, _)| now <= *at + CRASH_LIFETIME);
        self.responses.retain(|_, at| now <= *at + SUCCESS_LIFETIME);
        self.unconfirmed.retain(|_, runs| {
            runs.retain(|run| now <= run.ended + SUCCESS_LIFETIME);
            !runs.is_empty()
        });
        let is_over = |block: &BlockRecord| now > block.ends() + BLOCK_TIME;
        let over = self.blocked.iter().filter(|(_, block)| is_over(block) && block.stored);
        self.changes.extend(over.map(|(suspect, _)| SuspectChange::Cleared(*suspect)));
        let over = self.blocked.iter().filter(|(_, block)| is_over(block));
        self.unblocked.extend(over.map(|(suspect, _)| (*suspect, now)));
        self.blocked.retain(|_, block| !is_over(block));
        self.unblocked.retain(|_, at| now <= *at + REMOVAL_MEMORY);
        self.removed_evidence.retain(|_, at| now <= *at + REMOVAL_MEMORY);
    }

    pub(super) fn add_run(
        &mut self,
        at: ClockTime,
        start: &TargetStart,
        suspect: CrashSuspect,
        used: SuspectUse,
        own: bool,
    ) {
        let at = self.crashes.get(start).map_or(at, |crash| crash.at);
        if self.successes.get(&suspect).is_some_and(|success| *success >= at) {
            return;
        }
        let record = self.crashes.entry(start.clone()).or_insert_with(|| CrashRecord {
            at,
            confirmed: false,
            own: HashSet::new(),
            suspects: HashMap::new(),
            requests: HashMap::new(),
        });
        if own {
            record.own.insert(suspect);
        }
        self.unblocked.remove(&suspect);
        let known = record.suspects.entry(suspect).or_insert_with(|| used.clone());
        known.sent = known.sent.max(used.sent);
        known.position = known.position.min(used.position);
        if self.crashes.len() > MAX_CRASHES {
            self.drop_oldest_crash();
        }
    }

    /// Drops a supposed crash of a target that lives on. The requests that broke off stay.
    fn drop_crash(&mut self, start: &TargetStart) {
        let Some(crash) = self.crashes.remove(start) else { return };
        for (suspect, used) in crash.suspects {
            if suspect.has_caller() && crash.own.contains(&suspect) {
                self.own_breaks += 1;
                let id = (self.instance, self.own_breaks);
                self.add_break(id, BreakRecord { at: crash.at, suspect, used });
            }
        }
    }

    pub(super) fn add_break(&mut self, id: BreakId, broken: BreakRecord) {
        let success = self.successes.get(&broken.suspect);
        let is_old = success.is_some_and(|success| *success >= broken.at);
        if is_old || self.breaks.contains_key(&id) {
            return;
        }
        self.has_new_evidence = true;
        self.unblocked.remove(&broken.suspect);
        self.breaks.insert(id, broken);
        if self.breaks.len() > MAX_BREAKS {
            let oldest = self.breaks.iter().min_by_key(|(id, broken)| (broken.at, **id));
            if let Some(oldest) = oldest.map(|(id, _)| *id) {
                self.breaks.remove(&oldest);
            }
        }
    }

    /// Drops a supposed crash before a call to which the target responded.
    pub(super) fn dismiss_crash(&mut self, start: &TargetStart, called: ClockTime, own: bool) {
        if self.crashes.get(start).is_some_and(|crash| crash.at < called) {
            self.drop_crash(start);
        }
        let survival = self.survivors.entry(start.clone()).or_insert((called, own));
        if survival.0 < called {
            *survival = (called, own);
        }
    }

    /// Clears a suspect of all crashes before a success, also if it is blocked for them.
    pub(super) fn acquit(&mut self, suspect: CrashSuspect, at: ClockTime) {
        let last = self.successes.entry(suspect).or_insert(at);
        *last = at.max(*last);
        if self.successes.len() > MAX_SUCCESSES {
            // Most requests are sent once, while segments are shared.
            self.successes.retain(|suspect, _| suspect.is_segment());
        }
        for crash in self.crashes.values_mut().filter(|crash| crash.at <= at) {
            self.has_changed |= crash.suspects.remove(&suspect).is_some();
            crash.own.remove(&suspect);
        }
        self.crashes.retain(|_, crash| !crash.suspects.is_empty());
        self.breaks.retain(|_, broken| broken.suspect != suspect || broken.at > at);
        if let Some(block) = self.blocked.get(&suspect)
            && block.last < at
        {
            if block.stored {
                self.changes.push(SuspectChange::Cleared(suspect));
            }
            self.blocked.remove(&suspect);
            self.unblocked.insert(suspect, at);
        }
    }

    fn drop_oldest_crash(&mut self) {
        let oldest = self.crashes.iter().min_by_key(|(start, crash)| (crash.at, *start));
        if let Some(oldest) = oldest.map(|(start, _)| start.clone()) {
            self.crashes.remove(&oldest);
        }
    }
}

/// Returns whether a call to which a target responded was sent after its supposed crash.
pub(super) fn shows_survival(crashed: ClockTime, called: ClockTime) -> bool {
    called > crashed && called <= crashed + SURVIVAL_TIME
}
