//! Search for the suspect that explains crashes of targets. See
//! [docs/design/suspects.md](../../docs/design/suspects.md).

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet, HashMap},
    time::Duration,
};

use super::{
    suspect::{BreakId, CrashSuspect, TargetStart},
    suspect_table::{SuspectTable, SuspectUse},
};
use crate::ids::ClockTime;

/// Shortest time between two moments of crashes under a segment.
const SEGMENT_MOMENT: Duration = Duration::from_millis(250);
/// Shortest time between two moments of crashes under a request. It is longer than the
/// differences between entries' times of one power loss.
const REQUEST_MOMENT: Duration = Duration::from_millis(20);

/// What it takes to block a suspect.
struct BlockThreshold {
    /// Number of crashes.
    crashes: usize,
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

/// Returns what it takes to block a suspect that was in a whole response lately, or that was
/// blocked before.
fn threshold(suspect: CrashSuspect, was_fine: bool, was_blocked: bool) -> BlockThreshold {
    let moment = match suspect {
        CrashSuspect::Segment(_) => SEGMENT_MOMENT,
        CrashSuspect::Content(_) | CrashSuspect::Resource(_) | CrashSuspect::Caller(_) => {
            REQUEST_MOMENT
        }
    };
    let (crashes, consecutive, moments) = match suspect {
        _ if was_blocked => (1, 1, 1),
        CrashSuspect::Caller(_) | CrashSuspect::Resource(_) if was_fine => (4, 3, usize::MAX),
        CrashSuspect::Segment(_) | CrashSuspect::Content(_) if was_fine => (8, 4, usize::MAX),
        CrashSuspect::Segment(_) => (4, 3, 5),
        CrashSuspect::Content(_) | CrashSuspect::Resource(_) | CrashSuspect::Caller(_) => (3, 2, 3),
    };
    BlockThreshold { crashes, consecutive, moments, moment }
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
}

impl CrashSpans<'_> {
    fn reach(&self, needed: &BlockThreshold) -> bool {
        self.unexplained
            && self.uses.len() >= needed.crashes
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
                && !matches!(likeliest, CrashSuspect::Segment(_))
                && other.is_same_kind(&likeliest)
                && !self.successes.contains_key(*other)
                && known.is_same(crashes)
        });
        let suspects = others.map(|(other, _)| *other).chain([likeliest]).collect();
        Some(CrashCauses { suspects, crashes: weight.1 })
    }

    /// Groups the crashes by suspect.
    ///
    /// What a blocked segment explains speaks against nothing else. What a blocked request
    /// explains may still be caused by a segment in it that other requests have, too.
    fn crash_spans(&self, now: ClockTime) -> HashMap<CrashSuspect, CrashSpans<'_>> {
        let mut spans: HashMap<CrashSuspect, CrashSpans<'_>> = HashMap::new();
        for (start, crash) in self.crashes.iter().filter(|(_, crash)| crash.confirmed) {
            let explaining = self.blocked.iter().filter(|(suspect, block)| {
                crash.suspects.contains_key(*suspect)
                    && (now < block.ends() || crash.at <= block.ends())
            });
            let (mut by_segment, mut by_request) = (false, false);
            for (suspect, _) in explaining {
                match suspect {
                    CrashSuspect::Segment(_) => by_segment = true,
                    CrashSuspect::Content(_)
                    | CrashSuspect::Resource(_)
                    | CrashSuspect::Caller(_) => by_request = true,
                }
            }
            for (suspect, used) in &crash.suspects {
                let is_segment = matches!(suspect, CrashSuspect::Segment(_));
                if by_segment || (by_request && !is_segment) {
                    continue;
                }
                let crashes = spans.entry(*suspect).or_default();
                crashes.uses.insert(CrashKey::Crash(start), (crash.at, used));
                crashes.unexplained |= !by_request;
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
}
