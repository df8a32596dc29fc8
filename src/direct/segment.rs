//! Prompt segments that crash engines.
//!
//! A segment is blocked once several engines have crashed while they ran requests with it
//! and no request with it has ended whole since. An engine that crashes breaks off all its
//! requests, so most segments of a crash are there by chance: those are acquitted by the
//! next request with them that ends whole, or by another segment that explains the crash.
//! Entries share what they see, since the requests of one engine come from all of them. See
//! [docs/design/suspects.md](../../docs/design/suspects.md).

use std::{
    cmp::Reverse,
    collections::{HashMap, HashSet},
    time::Duration,
};

use serde::{Deserialize, Serialize};

use super::PromptShape;
use crate::ids::{ClockTime, TargetId};

/// Identifier of a prompt segment.
pub type SegmentId = u64;

/// Number of crashes after which a segment is blocked.
const MIN_CRASHES: usize = 4;
/// Number of them that must follow each other, each under a request that was sent after the
/// one before. Engines that lose power together crash under all popular segments at once.
const MIN_CONSECUTIVE_CRASHES: usize = 3;
/// Number of crashes at different moments that stand for those, where requests wait so long
/// that each was sent before the crash ahead of it.
const MIN_CRASH_MOMENTS: usize = 5;
/// Shortest time between two such moments.
const CRASH_MOMENT: Duration = Duration::from_millis(250);
/// The first two numbers for a segment that was in a whole response within
/// [`SUCCESS_LIFETIME`].
const MIN_CRASHES_AFTER_SUCCESS: (usize, usize) = (8, 4);
/// Time after the last crash for which a segment is blocked. It doubles each time that the
/// first crash afterwards blocks the segment again.
const BLOCK_TIME: Duration = Duration::from_secs(600);
/// Largest exponent of that doubling.
const MAX_DOUBLINGS: u32 = 8;
/// Time for which crashes are counted.
const CRASH_LIFETIME: Duration = Duration::from_secs(600);
/// Time for which successes are remembered.
const SUCCESS_LIFETIME: Duration = Duration::from_secs(60);
/// Time after a response of uncertain end in which a crash of its target may have ended it.
const UNCONFIRMED_TIME: Duration = Duration::from_secs(1);
/// Time after a supposed crash in which a response shows that the target lives on. A later
/// one may come from its next start, which takes seconds.
const SURVIVAL_TIME: Duration = Duration::from_secs(1);
/// Time for which crashes and successes are repeated in reports, some of which may be lost.
const REPORT_TIME: Duration = Duration::from_secs(3);
/// Largest number of crashes that are kept; the oldest are dropped first.
const MAX_CRASHES: usize = 256;
/// Largest number of crashes, successes and blocked segments in a report, each.
const MAX_REPORTED: usize = 32;
/// Largest number of blocked segments; further ones are not adopted from others.
const MAX_BLOCKED: usize = 4096;
/// Largest number of segments with a known success.
const MAX_SUCCESSES: usize = 65_536;

/// One start of a target: its id and the time of its start.
pub type TargetStart = (TargetId, u64);

/// Use of a segment by a request that was running when its target crashed: the segment, its
/// position in the prompt from 0, and the milliseconds from the sending of the request to
/// the crash. A tuple, as reports hold many.
pub type SegmentRun = (SegmentId, u8, u32);

/// Crash of a target, with the segments of the requests that one entry had there.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TargetCrash {
    /// Target and start that ended.
    pub start: TargetStart,
    /// Time since the crash.
    pub age: Duration,
    /// Segments that have not been in a whole response since.
    pub runs: Vec<SegmentRun>,
}

/// Segment that requests are not sent with.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct BlockedSegment {
    /// The segment.
    pub segment: SegmentId,
    /// Number of crashes that it is blocked for.
    pub crashes: u32,
    /// How often it was blocked again after its time was over.
    pub repeats: u32,
    /// Time since the last of the crashes.
    pub age: Duration,
}

/// What one entry has seen lately of segments that may crash targets.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct SegmentReport {
    /// Crashes that it saw itself and confirmed.
    pub crashes: Vec<TargetCrash>,
    /// Segments of responses that ended whole, with the time since; only those under which
    /// targets crashed.
    pub successes: Vec<(SegmentId, Duration)>,
    /// Segments that it blocks.
    pub blocked: Vec<BlockedSegment>,
    /// Targets that responded to it after a connection to them had broken, with the time since
    /// it sent the call.
    pub survivors: Vec<(TargetStart, Duration)>,
}

impl SegmentReport {
    /// Returns whether there is nothing to report.
    pub fn is_empty(&self) -> bool {
        self.crashes.is_empty()
            && self.successes.is_empty()
            && self.blocked.is_empty()
            && self.survivors.is_empty()
    }
}

/// Change of a blocked segment's record in the store.
#[derive(Debug, Clone, PartialEq)]
pub enum SegmentChange {
    /// The segment is blocked.
    Blocked(BlockedSegment),
    /// The segment is no longer blocked.
    Cleared(SegmentId),
}

#[derive(Debug, Clone, Serialize)]
struct SegmentUse {
    /// When the latest request with the segment was sent.
    sent: ClockTime,
    position: u8,
}

#[derive(Debug, Clone, Serialize)]
struct CrashRecord {
    at: ClockTime,
    /// Whether the target was seen to be gone; a broken connection alone does not show it.
    confirmed: bool,
    /// Segments of the requests that this entry had at the target.
    own: HashSet<SegmentId>,
    segments: HashMap<SegmentId, SegmentUse>,
}

#[derive(Debug, Clone, Serialize)]
struct BlockRecord {
    crashes: u32,
    repeats: u32,
    last: ClockTime,
    /// Whether this entry wrote it to the store.
    stored: bool,
}

impl BlockRecord {
    fn ends(&self) -> ClockTime {
        self.last + BLOCK_TIME * 2_u32.pow(self.repeats.min(MAX_DOUBLINGS))
    }
}

/// Response whose end may be that of its target.
#[derive(Debug, Clone)]
struct UnconfirmedRun {
    ended: ClockTime,
    sent: ClockTime,
    segments: Vec<(SegmentId, u8)>,
}

/// Request at a target: when it was sent, and its shared segments with their positions.
#[derive(Debug, Clone)]
pub(super) struct TargetRun {
    pub(super) start: TargetStart,
    pub(super) sent: ClockTime,
    pub(super) segments: Vec<(SegmentId, u8)>,
}

/// Returns the segments of a prompt that other requests may share, with their positions.
pub(super) fn shared_segments(prompt: &PromptShape) -> Vec<(SegmentId, u8)> {
    let shared = prompt.segments.split_last().map_or(&[][..], |(_, shared)| shared);
    shared.iter().zip(0_u8..).map(|(segment, position)| (segment.id, position)).collect()
}

/// Crashes of targets by the segments of their requests, and the segments blocked for them.
#[derive(Debug, Clone, Default, Serialize)]
pub struct SegmentTable {
    #[serde(skip)]
    crashes: HashMap<TargetStart, CrashRecord>,
    /// When a request with the segment last ended whole, at any entry.
    #[serde(skip)]
    successes: HashMap<SegmentId, ClockTime>,
    /// Segments of responses that ended whole here, under which targets had crashed.
    #[serde(skip)]
    own_successes: HashMap<SegmentId, ClockTime>,
    /// When a call was sent to which a target responded after a supposed crash, and whether
    /// this entry sent it.
    #[serde(skip)]
    survivors: HashMap<TargetStart, (ClockTime, bool)>,
    /// When the latest call to which a target responded was sent.
    #[serde(skip)]
    responses: HashMap<TargetStart, ClockTime>,
    /// Responses that ended with their connection, by the target that wrote them.
    #[serde(skip)]
    unconfirmed: HashMap<TargetStart, Vec<UnconfirmedRun>>,
    blocked: HashMap<SegmentId, BlockRecord>,
    #[serde(skip)]
    changes: Vec<SegmentChange>,
    /// Whether there is new evidence since causes were last looked for.
    #[serde(skip)]
    has_new_evidence: bool,
}

impl SegmentTable {
    /// Returns whether a prompt has a segment that requests are not sent with.
    pub fn blocks(&self, now: ClockTime, prompt: &PromptShape) -> bool {
        let is_blocked =
            |segment| self.blocked.get(segment).is_some_and(|block| now < block.ends());
        !self.blocked.is_empty()
            && shared_segments(prompt).iter().any(|(segment, _)| is_blocked(segment))
    }

    /// Returns the number of segments that requests are not sent with.
    pub fn blocked_count(&self, now: ClockTime) -> usize {
        self.blocked.values().filter(|block| now < block.ends()).count()
    }

    /// Records that a target's connection broke under a request.
    ///
    /// Returns whether it has to be found out if the target is gone.
    pub(super) fn run_broken(&mut self, now: ClockTime, run: TargetRun) -> bool {
        let is_new = !self.crashes.contains_key(&run.start);
        self.add_unconfirmed_runs(now, now, &run.start);
        self.add_own_runs(now, &run.start, run.sent, &run.segments);
        is_new && self.crashes.contains_key(&run.start)
    }

    fn add_own_runs(
        &mut self,
        at: ClockTime,
        start: &TargetStart,
        sent: ClockTime,
        segments: &[(SegmentId, u8)],
    ) {
        for (segment, position) in segments {
            let used = SegmentUse { sent, position: *position };
            self.add_run(at, start, *segment, used, true);
        }
    }

    /// Adds the requests to a crash whose responses may have ended with it.
    fn add_unconfirmed_runs(&mut self, now: ClockTime, at: ClockTime, start: &TargetStart) {
        let runs = self.unconfirmed.remove(start).unwrap_or_default();
        let (ended, others): (Vec<_>, Vec<_>) =
            runs.into_iter().partition(|run| run.ended.abs_diff(at) <= UNCONFIRMED_TIME);
        for run in ended {
            self.add_own_runs(at, start, run.sent, &run.segments);
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
            self.crashes.remove(start);
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
        let run = TargetRun { start: start.clone(), sent: now, segments: Vec::new() };
        self.run_broken(now, run)
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
            self.run_succeeded(run.ended, &run.segments);
        }
    }

    /// Records a response that ended whole, as its framing shows.
    pub(super) fn run_succeeded(&mut self, at: ClockTime, segments: &[(SegmentId, u8)]) {
        for (segment, _) in segments {
            let suspected = self.crashes.values().any(|c| c.segments.contains_key(segment));
            if suspected || self.blocked.contains_key(segment) {
                self.own_successes.insert(*segment, at);
            }
            self.acquit(*segment, at);
        }
    }

    /// Records a response that ended with its connection, whole or not.
    pub(super) fn run_ended_unconfirmed(&mut self, now: ClockTime, run: TargetRun) {
        let ended = UnconfirmedRun { ended: now, sent: run.sent, segments: run.segments };
        self.unconfirmed.entry(run.start).or_default().push(ended);
    }

    /// Merges what a peer has seen.
    pub fn apply(&mut self, now: ClockTime, report: &SegmentReport) {
        for (start, age) in &report.survivors {
            self.dismiss_crash(start, now.saturating_sub(*age), false);
        }
        for (segment, age) in &report.successes {
            self.acquit(*segment, now.saturating_sub(*age));
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
                let (segment, position, running_ms) = *run;
                let sent = at.saturating_sub(Duration::from_millis(running_ms.into()));
                self.add_run(at, &crash.start, segment, SegmentUse { sent, position }, false);
            }
            if let Some(known) = self.crashes.get_mut(&crash.start) {
                self.has_new_evidence |= !known.confirmed || !crash.runs.is_empty();
                known.confirmed = true;
            }
        }
        for block in &report.blocked {
            self.adopt_block(now, block, false);
        }
    }

    /// Blocks a segment that a peer or an earlier process blocks.
    ///
    /// A record of the store is removed by whoever read it, as its writer may be gone.
    pub fn adopt_block(&mut self, now: ClockTime, block: &BlockedSegment, stored: bool) {
        if self.blocked.len() >= MAX_BLOCKED {
            return;
        }
        let last = now.saturating_sub(block.age);
        // One that a request has run with since was blocked by mistake.
        if let Some(at) = self.successes.get(&block.segment).filter(|at| **at > last) {
            self.own_successes.insert(block.segment, *at);
            return;
        }
        let new = BlockRecord { crashes: 0, repeats: 0, last, stored };
        let known = self.blocked.entry(block.segment).or_insert(new);
        known.stored |= stored;
        // Ages grow by the time of each message, so that entries which took over the newest
        // of them would renew a block without end.
        if (block.repeats, block.crashes) > (known.repeats, known.crashes) {
            known.crashes = block.crashes;
            known.repeats = block.repeats;
            known.last = known.last.max(last);
        }
    }

    /// Returns what peers have to know.
    pub(super) fn report(&self, now: ClockTime) -> SegmentReport {
        let is_recent = |at: &ClockTime| *at + REPORT_TIME >= now;
        let is_reported =
            |crash: &CrashRecord| crash.confirmed && is_recent(&crash.at) && !crash.own.is_empty();
        let crashes = self.crashes.iter().filter(|(_, crash)| is_reported(crash));
        let mut crashes: Vec<TargetCrash> =
            crashes.map(|(start, crash)| report_crash(now, start, crash)).collect();
        crashes.sort_by(|a, b| a.age.cmp(&b.age).then_with(|| a.start.cmp(&b.start)));
        crashes.truncate(MAX_REPORTED);
        let successes = self.own_successes.iter().filter(|(_, at)| is_recent(at));
        let mut successes: Vec<(SegmentId, Duration)> =
            successes.map(|(segment, at)| (*segment, now.saturating_sub(*at))).collect();
        successes.sort_by_key(|(segment, age)| (*age, *segment));
        successes.truncate(MAX_REPORTED);
        let blocked = self.blocked.iter().map(|(segment, block)| block.report(now, *segment));
        let mut blocked: Vec<BlockedSegment> = blocked.collect();
        blocked.sort_by_key(|block| (block.age, block.segment));
        blocked.truncate(MAX_REPORTED);
        let survivors = self.survivors.iter().filter(|(_, (at, own))| *own && is_recent(at));
        let survivors = survivors.map(|(start, (at, _))| (start.clone(), now.saturating_sub(*at)));
        let mut survivors: Vec<(TargetStart, Duration)> = survivors.collect();
        survivors.sort_unstable();
        survivors.truncate(MAX_REPORTED);
        SegmentReport { crashes, successes, blocked, survivors }
    }

    /// Blocks segments that new evidence speaks against, and returns and clears the changes
    /// that this entry writes to the store.
    pub(super) fn take_changes(&mut self, now: ClockTime) -> Vec<SegmentChange> {
        if std::mem::take(&mut self.has_new_evidence) {
            self.block_causes(now);
        }
        std::mem::take(&mut self.changes)
    }

    /// Drops what is older than its lifetime.
    pub(super) fn expire(&mut self, now: ClockTime) {
        self.crashes.retain(|_, crash| now <= crash.at + CRASH_LIFETIME);
        self.successes.retain(|_, at| now <= *at + SUCCESS_LIFETIME);
        self.own_successes.retain(|_, at| now <= *at + REPORT_TIME);
        self.survivors.retain(|_, (at, _)| now <= *at + CRASH_LIFETIME);
        self.responses.retain(|_, at| now <= *at + SUCCESS_LIFETIME);
        self.unconfirmed.retain(|_, runs| {
            runs.retain(|run| now <= run.ended + SUCCESS_LIFETIME);
            !runs.is_empty()
        });
        let is_over = |block: &BlockRecord| now > block.ends() + BLOCK_TIME;
        let over = self.blocked.iter().filter(|(_, block)| is_over(block) && block.stored);
        self.changes.extend(over.map(|(segment, _)| SegmentChange::Cleared(*segment)));
        self.blocked.retain(|_, block| !is_over(block));
    }

    fn add_run(
        &mut self,
        at: ClockTime,
        start: &TargetStart,
        segment: SegmentId,
        used: SegmentUse,
        own: bool,
    ) {
        let at = self.crashes.get(start).map_or(at, |crash| crash.at);
        if self.successes.get(&segment).is_some_and(|success| *success >= at) {
            return;
        }
        let record = self.crashes.entry(start.clone()).or_insert_with(|| CrashRecord {
            at,
            confirmed: false,
            own: HashSet::new(),
            segments: HashMap::new(),
        });
        if own {
            record.own.insert(segment);
        }
        let known = record.segments.entry(segment).or_insert_with(|| used.clone());
        known.sent = known.sent.max(used.sent);
        known.position = known.position.min(used.position);
        if self.crashes.len() > MAX_CRASHES {
            self.drop_oldest_crash();
        }
    }

    /// Drops a supposed crash before a call to which the target responded.
    fn dismiss_crash(&mut self, start: &TargetStart, called: ClockTime, own: bool) {
        if self.crashes.get(start).is_some_and(|crash| crash.at < called) {
            self.crashes.remove(start);
        }
        let survival = self.survivors.entry(start.clone()).or_insert((called, own));
        if survival.0 < called {
            *survival = (called, own);
        }
    }

    /// Clears a segment of all crashes before a success, also if it is blocked for them.
    fn acquit(&mut self, segment: SegmentId, at: ClockTime) {
        let last = self.successes.entry(segment).or_insert(at);
        *last = at.max(*last);
        if self.successes.len() > MAX_SUCCESSES {
            self.successes.clear();
        }
        for crash in self.crashes.values_mut().filter(|crash| crash.at <= at) {
            crash.segments.remove(&segment);
            crash.own.remove(&segment);
        }
        self.crashes.retain(|_, crash| !crash.segments.is_empty());
        if let Some(block) = self.blocked.get(&segment)
            && block.last < at
        {
            if block.stored {
                self.changes.push(SegmentChange::Cleared(segment));
            }
            self.blocked.remove(&segment);
        }
    }

    /// Blocks the segments that explain most crashes, one after the other.
    fn block_causes(&mut self, now: ClockTime) {
        while let Some((segment, crashes)) = self.likeliest_cause(now) {
            let saw_crash = self.crashes.values().any(|crash| crash.own.contains(&segment));
            let last = self.crashes.values().filter(|c| c.segments.contains_key(&segment));
            let last = last.map(|crash| crash.at).max().unwrap_or(now);
            let before = self.blocked.get(&segment);
            let block = BlockRecord {
                crashes: before.map_or(0, |block| block.crashes) + crashes as u32,
                repeats: before.map_or(0, |block| block.repeats + 1),
                last,
                stored: saw_crash || before.is_some_and(|block| block.stored),
            };
            if saw_crash {
                self.changes.push(SegmentChange::Blocked(block.report(now, segment)));
            }
            self.blocked.insert(segment, block);
        }
    }

    /// Returns the segment that most crashes are explained by and no other segment explains,
    /// if there are enough, with their number.
    fn likeliest_cause(&self, now: ClockTime) -> Option<(SegmentId, usize)> {
        let explains = |(segment, block): (&SegmentId, &BlockRecord), crash: &CrashRecord| {
            crash.segments.contains_key(segment) && (now < block.ends() || crash.at <= block.ends())
        };
        let mut spans: HashMap<SegmentId, Vec<(ClockTime, &SegmentUse)>> = HashMap::new();
        for crash in self.crashes.values().filter(|crash| crash.confirmed) {
            if self.blocked.iter().any(|block| explains(block, crash)) {
                continue;
            }
            for (segment, used) in &crash.segments {
                spans.entry(*segment).or_default().push((crash.at, used));
            }
        }
        let causes = spans.into_iter().filter(|(segment, crashes)| {
            let was_fine = self.successes.contains_key(segment);
            let needed = match self.blocked.contains_key(segment) {
                true => (1, 1),
                false if was_fine => MIN_CRASHES_AFTER_SUCCESS,
                false => (MIN_CRASHES, MIN_CONSECUTIVE_CRASHES),
            };
            let follow = consecutive_crashes(crashes) >= needed.1
                || (!was_fine && crash_moments(crashes) >= MIN_CRASH_MOMENTS);
            crashes.len() >= needed.0 && follow
        });
        // A segment that was fine before is less likely than one that never was, and one that
        // follows others in the prompt less likely shared by sound requests.
        let weight = |segment: &SegmentId, crashes: &[(ClockTime, &SegmentUse)]| {
            let position = crashes.iter().map(|(_, used)| used.position).max();
            let success = self.successes.get(segment);
            (Reverse(success.is_some()), crashes.len(), position, Reverse(*segment))
        };
        let causes = causes.map(|(segment, crashes)| (weight(&segment, &crashes), segment));
        causes.max_by_key(|(weight, _)| *weight).map(|(weight, segment)| (segment, weight.1))
    }

    fn drop_oldest_crash(&mut self) {
        let oldest = self.crashes.iter().min_by_key(|(start, crash)| (crash.at, *start));
        if let Some(oldest) = oldest.map(|(start, _)| start.clone()) {
            self.crashes.remove(&oldest);
        }
    }
}

impl BlockRecord {
    fn report(&self, now: ClockTime, segment: SegmentId) -> BlockedSegment {
        let age = now.saturating_sub(self.last);
        BlockedSegment { segment, crashes: self.crashes, repeats: self.repeats, age }
    }
}

fn report_crash(now: ClockTime, start: &TargetStart, crash: &CrashRecord) -> TargetCrash {
    let own = crash.segments.iter().filter(|(segment, _)| crash.own.contains(*segment));
    let runs = own.map(|(segment, used)| {
        let running = crash.at.saturating_sub(used.sent).as_millis();
        (*segment, used.position, u32::try_from(running).unwrap_or(u32::MAX))
    });
    let mut runs: Vec<SegmentRun> = runs.collect();
    runs.sort_unstable();
    TargetCrash { start: start.clone(), age: now.saturating_sub(crash.at), runs }
}

/// Returns whether a call to which a target responded was sent after its supposed crash.
fn shows_survival(crashed: ClockTime, called: ClockTime) -> bool {
    called > crashed && called <= crashed + SURVIVAL_TIME
}

/// Returns the number of moments at which there were crashes.
fn crash_moments(crashes: &[(ClockTime, &SegmentUse)]) -> usize {
    let mut times: Vec<ClockTime> = crashes.iter().map(|(at, _)| *at).collect();
    times.sort_unstable();
    let mut last: Option<ClockTime> = None;
    times.retain(|at| {
        let is_later = last.is_none_or(|last| *at >= last + CRASH_MOMENT);
        if is_later {
            last = Some(*at);
        }
        is_later
    });
    times.len()
}

/// Returns the largest number of crashes of which each came under a request that was sent
/// after the one before.
fn consecutive_crashes(crashes: &[(ClockTime, &SegmentUse)]) -> usize {
    let mut spans: Vec<(ClockTime, ClockTime)> =
        crashes.iter().map(|(at, used)| (*at, used.sent)).collect();
    spans.sort_unstable();
    let mut last = None;
    let mut count = 0;
    for (at, sent) in spans {
        if last.is_none_or(|last| sent >= last) {
            last = Some(at);
            count += 1;
        }
    }
    count
}
