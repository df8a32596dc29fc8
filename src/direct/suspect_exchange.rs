//! What entries tell each other of suspects: creates reports and merges those of peers.

use std::time::Duration;

use super::{
    load::repeat_time,
    suspect::{
        BlockedSuspect, BreakId, BrokenRun, CrashSuspect, RequestIdentity, SuspectReport,
        SuspectRun, TargetCrash, TargetStart,
    },
    suspect_table::{
        BreakRecord, CrashRecord, REPORT_TIME, SuspectTable, SuspectUse, shows_survival,
    },
};
use crate::ids::ClockTime;

/// Largest number of crashes, successes and blocked suspects in a report, each.
const MAX_REPORTED: usize = 32;
/// Largest number of uses of suspects in the crashes of a report, which must fit in a datagram.
const MAX_REPORTED_USES: usize = 1024;

impl SuspectTable {
    /// Merges what a peer has seen.
    pub fn apply(&mut self, now: ClockTime, report: &SuspectReport) {
        for (start, age) in &report.survivors {
            self.dismiss_crash(start, now.saturating_sub(*age), false);
        }
        for (suspect, age) in &report.successes {
            self.acquit(*suspect, now.saturating_sub(*age));
        }
        for crash in &report.crashes {
            let at = now.saturating_sub(crash.age);
            let called = self.responses.get(&crash.start).copied();
            if let Some(called) = called.filter(|called| shows_survival(at, *called)) {
                self.dismiss_crash(&crash.start, called, true);
            }
            if self.survivors.get(&crash.start).is_some_and(|(called, _)| at < *called) {
                continue;
            }
            self.add_unconfirmed_runs(now, at, &crash.start);
            for run in &crash.runs {
                let (suspect, position, running_ms) = *run;
                let sent = at.saturating_sub(Duration::from_millis(running_ms.into()));
                self.add_run(at, &crash.start, suspect, SuspectUse { sent, position }, false);
            }
            if let Some(known) = self.crashes.get_mut(&crash.start) {
                self.has_new_evidence |= !known.confirmed || !crash.runs.is_empty();
                known.confirmed = true;
                for identity in &crash.requests {
                    known.requests.entry(*identity).or_insert(false);
                }
            }
        }
        for broken in &report.breaks {
            let at = now.saturating_sub(broken.age);
            let (suspect, position, running_ms) = broken.run;
            let sent = at.saturating_sub(Duration::from_millis(running_ms.into()));
            let used = SuspectUse { sent, position };
            self.add_break(broken.id, BreakRecord { at, suspect, used });
        }
        for block in &report.blocked {
            self.adopt_block(now, block, false);
        }
    }

    /// Returns what this many peers have to know.
    pub(super) fn report(&self, now: ClockTime, peers: usize) -> SuspectReport {
        let report_time = repeat_time(peers, REPORT_TIME);
        let is_recent = |at: &ClockTime| *at + report_time >= now;
        let is_reported =
            |crash: &CrashRecord| crash.confirmed && is_recent(&crash.at) && !crash.own.is_empty();
        let crashes = self.crashes.iter().filter(|(_, crash)| is_reported(crash));
        let mut crashes: Vec<TargetCrash> =
            crashes.map(|(start, crash)| report_crash(now, start, crash)).collect();
        crashes.sort_by(|a, b| a.age.cmp(&b.age).then_with(|| a.start.cmp(&b.start)));
        crashes.truncate(MAX_REPORTED);
        let mut uses = 0;
        crashes.retain(|crash| {
            uses += crash.runs.len();
            uses <= MAX_REPORTED_USES
        });
        let breaks = self.breaks.iter();
        let breaks = breaks.filter(|(id, broken)| id.0 == self.instance && is_recent(&broken.at));
        let mut breaks: Vec<BrokenRun> =
            breaks.map(|(id, broken)| report_break(now, *id, broken)).collect();
        breaks.sort_by_key(|broken| (broken.age, broken.id));
        breaks.truncate(MAX_REPORTED);
        let successes = self.own_successes.iter().filter(|(_, at)| is_recent(at));
        let mut successes: Vec<(CrashSuspect, Duration)> =
            successes.map(|(suspect, at)| (*suspect, now.saturating_sub(*at))).collect();
        successes.sort_by_key(|(suspect, age)| (*age, *suspect));
        successes.truncate(MAX_REPORTED);
        let blocked = self.blocked.iter().map(|(suspect, block)| block.report(now, *suspect));
        let mut blocked: Vec<BlockedSuspect> = blocked.collect();
        blocked.sort_by_key(|block| (block.age, block.suspect));
        blocked.truncate(MAX_REPORTED);
        let survivors = self.survivors.iter().filter(|(_, (at, own))| *own && is_recent(at));
        let survivors = survivors.map(|(start, (at, _))| (start.clone(), now.saturating_sub(*at)));
        let mut survivors: Vec<(TargetStart, Duration)> = survivors.collect();
        survivors.sort_unstable();
        survivors.truncate(MAX_REPORTED);
        SuspectReport { crashes, breaks, successes, blocked, survivors }
    }
}

fn report_break(now: ClockTime, id: BreakId, broken: &BreakRecord) -> BrokenRun {
    let running = broken.at.saturating_sub(broken.used.sent).as_millis();
    let running = u32::try_from(running).unwrap_or(u32::MAX);
    let run = (broken.suspect, broken.used.position, running);
    BrokenRun { id, age: now.saturating_sub(broken.at), run }
}

fn report_crash(now: ClockTime, start: &TargetStart, crash: &CrashRecord) -> TargetCrash {
    let own = crash.suspects.iter().filter(|(suspect, _)| crash.own.contains(*suspect));
    let runs = own.map(|(suspect, used)| suspect_run(crash, *suspect, used));
    let mut runs: Vec<SuspectRun> = runs.collect();
    runs.sort_unstable();
    let requests = crash.requests.iter().filter(|(_, own)| **own);
    let mut requests: Vec<RequestIdentity> = requests.map(|(identity, _)| *identity).collect();
    requests.sort_unstable();
    TargetCrash { start: start.clone(), age: now.saturating_sub(crash.at), runs, requests }
}

/// Returns the use of a suspect in a crash, as reports hold it.
pub(super) fn suspect_run(
    crash: &CrashRecord,
    suspect: CrashSuspect,
    used: &SuspectUse,
) -> SuspectRun {
    let running = crash.at.saturating_sub(used.sent).as_millis();
    (suspect, used.position, u32::try_from(running).unwrap_or(u32::MAX))
}
