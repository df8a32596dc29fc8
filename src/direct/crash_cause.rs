//! Search for the suspect that explains crashes of targets. See
//! [docs/design/suspects.md](../../docs/design/suspects.md).

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet, HashMap, HashSet},
    time::Duration,
};

use super::{
    suspect::{BreakId, CrashSuspect, RequestIdentity, TargetStart},
    suspect_table::{CrashRecord, SuspectTable, SuspectUse},
};
use crate::ids::ClockTime;

/// Shortest time between two moments of crashes under a segment.
const SEGMENT_MOMENT: Duration = Duration::from_millis(250);
/// Shortest time between two moments of crashes under a request. It is longer than the
/// differences between entries' times of one power loss.
const REQUEST_MOMENT: Duration = Duration::from_millis(20);

/// What it takes to block a suspect.
struct BlockThreshold {
    /// Number of crashes without a rival, which is another request that is known from several
    /// crashes and from no whole response.
    crashes: usize,
    /// Number of crashes, with rivals or without. Two rivals that take turns are found before.
    beside_rivals: usize,
    /// Number of them that must follow each other, each under a request that was sent after
    /// the one before. Targets that lose power together crash under all popular suspects at
    /// once.
    consecutive: usize,
    /// Number of crashes at different moments that stand for those, where requests wait so
    /// long that each was sent before the crash ahead of it.
    moments: usize,
    /// Shortest time between two of those moments.
    moment: Duration,
}

/// Returns what it takes to block a suspect that was in a whole response shortly before the
/// crashes, or that was blocked before.
///
/// A response before the crashes hardly acquits a request, as targets may crash under it only
/// since then. It does acquit a segment, which other requests share, and a path as long as
/// another request may be the cause.
fn threshold(suspect: CrashSuspect, was_fine: bool, was_blocked: bool) -> BlockThreshold {
    use CrashSuspect::{Caller, Content, Path, Resource, Segment};
    let moment = match suspect {
        Segment(_) => SEGMENT_MOMENT,
        Path(_) | Content(_) | Resource(_) | Caller(_) => REQUEST_MOMENT,
    };
    let (crashes, consecutive, moments) = match (suspect, was_fine) {
        _ if was_blocked => (1, 1, 1),
        (Segment(_), false) => (4, 3, 5),
        (Segment(_), true) => (8, 4, usize::MAX),
        (Path(_) | Content(_) | Resource(_) | Caller(_), false) => (3, 2, 3),
        (Path(_) | Content(_) | Resource(_) | Caller(_), true) => (4, 2, 4),
    };
    let beside_rivals = match suspect {
        Path(_) if was_fine => crashes + 2,
        _ => crashes,
    };
    BlockThreshold { crashes, beside_rivals, consecutive, moments, moment }
}

/// Crash of a target, or a connection that broke while its target lived on.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum CrashKey<'a> {
    Crash(&'a TargetStart),
    Break(BreakId),
}

/// Crashes under requests with one suspect.
#[derive(Default)]
struct CrashSpans<'a> {
    uses: BTreeMap<CrashKey<'a>, (ClockTime, &'a SuspectUse)>,
    /// Whether no blocked request explains one of them.
    unexplained: bool,
    /// For each crash that blocked requests explain which the suspect contains, those requests.
    narrower: Vec<Vec<CrashSuspect>>,
    /// Number of crashes at targets that also ran a rival.
    beside_rivals: usize,
}

impl CrashSpans<'_> {
    fn reach(&self, needed: &BlockThreshold) -> bool {
        (self.unexplained || self.has_several_narrower())
            && (self.uses.len() - self.beside_rivals >= needed.crashes
                || self.uses.len() >= needed.beside_rivals)
            && (self.consecutive() >= needed.consecutive
                || self.moments(needed.moment) >= needed.moments)
    }

    /// Returns the largest number of crashes of which each came under a request that was sent
    /// after the one before.
    fn consecutive(&self) -> usize {
        let mut spans: Vec<(ClockTime, ClockTime)> =
            self.uses.values().map(|(at, used)| (*at, used.sent)).collect();
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

    /// Returns the number of moments at which there were crashes.
    fn moments(&self, moment: Duration) -> usize {
        let times: BTreeSet<ClockTime> = self.uses.values().map(|(at, _)| *at).collect();
        let mut last: Option<ClockTime> = None;
        let is_later = |at: &ClockTime| {
            let is_later = last.is_none_or(|last| *at >= last + moment);
            if is_later {
                last = Some(*at);
            }
            is_later
        };
        times.into_iter().filter(is_later).count()
    }

    /// Returns whether the suspect contains several blocked requests, none of which explains by
    /// itself what the others do.
    fn has_several_narrower(&self) -> bool {
        let Some((first, others)) = self.narrower.split_first() else { return false };
        !first.iter().any(|block| others.iter().all(|blocks| blocks.contains(block)))
    }

    fn is_same(&self, other: &CrashSpans<'_>) -> bool {
        self.uses.keys().eq(other.uses.keys())
    }
}

/// Suspects that explain the same crashes, and the number of those.
pub(super) struct CrashCauses {
    pub(super) suspects: Vec<CrashSuspect>,
    pub(super) crashes: usize,
}

impl SuspectTable {
    /// Returns the suspects that most crashes are explained by and that no blocked one explains,
    /// if there are enough, with their number. There are several if nothing tells them apart.
    pub(super) fn likeliest_causes(&self, now: ClockTime) -> Option<CrashCauses> {
        let spans = self.crash_spans(now);
        let causes = spans.iter().filter(|(suspect, crashes)| {
            let was_fine = self.successes.contains_key(*suspect);
            let was_blocked = self.blocked.contains_key(*suspect);
            crashes.reach(&threshold(**suspect, was_fine, was_blocked))
        });
        // A suspect that was fine before is less likely than one that never was, and one that
        // follows others in the prompt less likely shared by sound requests.
        let weight = |suspect: &CrashSuspect, crashes: &CrashSpans<'_>| {
            let position = crashes.uses.values().map(|(_, used)| used.position).max();
            let success = self.successes.get(suspect);
            (Reverse(success.is_some()), crashes.uses.len(), position, Reverse(*suspect))
        };
        let causes = causes.map(|(suspect, crashes)| (weight(suspect, crashes), *suspect));
        let (weight, likeliest) = causes.max_by_key(|(weight, _)| *weight)?;
        let crashes = &spans[&likeliest];
        let others = spans.iter().filter(|(other, known)| {
            **other != likeliest
                && !likeliest.is_segment()
                && other.is_same_kind(&likeliest)
                && !self.successes.contains_key(*other)
                && known.is_same(crashes)
        });
        let suspects = others.map(|(other, _)| *other).chain([likeliest]).collect();
        Some(CrashCauses { suspects, crashes: weight.1 })
    }

    /// Groups the crashes by suspect.
    ///
    /// What a blocked suspect explains still speaks against those of the other kind, segments or
    /// requests, against requests that contain a blocked one, as the same content of any caller
    /// does, and against those that were in all crashes which it explains, as they may have caused
    /// these as well. Paths are the exception, since many requests share one. It takes a further
    /// crash to block one of them, or a second blocked request that it contains.
    fn crash_spans(&self, now: ClockTime) -> HashMap<CrashSuspect, CrashSpans<'_>> {
        let companions = self.companions(now);
        let crashes_by_content = self.crashes_by_content();
        let is_rival = |identity: &RequestIdentity| {
            let content = CrashSuspect::Content(identity.content);
            !self.successes.contains_key(&content)
                && crashes_by_content.get(&content).is_some_and(|crashes| *crashes > 1)
        };
        let mut spans: HashMap<CrashSuspect, CrashSpans<'_>> = HashMap::new();
        for (start, crash) in self.crashes.iter().filter(|(_, crash)| crash.confirmed) {
            let explaining: Vec<CrashSuspect> = self.explaining_blocks(now, crash).collect();
            let rivals: Vec<&RequestIdentity> =
                crash.requests.keys().filter(|known| is_rival(known)).collect();
            for (suspect, used) in &crash.suspects {
                let narrower = narrower_blocks(crash, *suspect, &explaining);
                let is_path = matches!(suspect, CrashSuspect::Path(_));
                let is_suspected_beside = |block: &CrashSuspect| {
                    block.is_segment() != suspect.is_segment()
                        || narrower.contains(block)
                        || (!block.is_segment() && !is_path && companions[block].contains(suspect))
                };
                if !explaining.iter().all(is_suspected_beside) {
                    continue;
                }
                let crashes = spans.entry(*suspect).or_default();
                crashes.uses.insert(CrashKey::Crash(start), (crash.at, used));
                crashes.unexplained |= explaining.is_empty();
                let is_other =
                    |rival: &&RequestIdentity| CrashSuspect::Path(rival.path) != *suspect;
                crashes.beside_rivals += usize::from(is_path && rivals.iter().any(is_other));
                if !narrower.is_empty() {
                    crashes.narrower.push(narrower);
                }
            }
        }
        for (id, broken) in &self.breaks {
            let block = self.blocked.get(&broken.suspect);
            if block.is_some_and(|block| now < block.ends() || broken.at <= block.ends()) {
                continue;
            }
            let crashes = spans.entry(broken.suspect).or_default();
            crashes.uses.insert(CrashKey::Break(*id), (broken.at, &broken.used));
            crashes.unexplained = true;
        }
        spans
    }

    /// Returns the number of crashes under each content, whoever sent it.
    fn crashes_by_content(&self) -> HashMap<CrashSuspect, usize> {
        let crashes = self.crashes.values().filter(|crash| crash.confirmed);
        let suspects = crashes.flat_map(|crash| crash.suspects.keys());
        let mut counts = HashMap::new();
        for content in suspects.filter(|suspect| matches!(suspect, CrashSuspect::Content(_))) {
            *counts.entry(*content).or_insert(0) += 1;
        }
        counts
    }

    /// Returns the blocked suspects that explain a crash.
    fn explaining_blocks(
        &self,
        now: ClockTime,
        crash: &CrashRecord,
    ) -> impl Iterator<Item = CrashSuspect> {
        let blocked = self.blocked.iter().filter(move |(suspect, block)| {
            crash.suspects.contains_key(*suspect)
                && (now < block.ends() || crash.at <= block.ends())
        });
        blocked.map(|(suspect, _)| *suspect)
    }

    /// Returns, for each blocked suspect, the suspects that were in all crashes it explains.
    fn companions(&self, now: ClockTime) -> HashMap<CrashSuspect, HashSet<CrashSuspect>> {
        let mut companions: HashMap<CrashSuspect, HashSet<CrashSuspect>> = HashMap::new();
        for crash in self.crashes.values().filter(|crash| crash.confirmed) {
            for block in self.explaining_blocks(now, crash) {
                let in_crash = &crash.suspects;
                companions
                    .entry(block)
                    .and_modify(|known| known.retain(|suspect| in_crash.contains_key(suspect)))
                    .or_insert_with(|| in_crash.keys().copied().collect());
            }
        }
        companions
    }
}

/// Returns the blocked requests that explain a crash and that a suspect contains; none if the
/// suspect is blocked itself.
fn narrower_blocks(
    crash: &CrashRecord,
    suspect: CrashSuspect,
    explaining: &[CrashSuspect],
) -> Vec<CrashSuspect> {
    if explaining.contains(&suspect) {
        return Vec::new();
    }
    let contains = |block: &&CrashSuspect| {
        crash.requests.keys().any(|identity| identity.wider_suspects(**block).contains(&suspect))
    };
    explaining.iter().filter(contains).copied().collect()
}
