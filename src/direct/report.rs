//! Creates load reports for peers and applies those of peers.

use std::{
    collections::{HashMap, VecDeque},
    time::Duration,
};

use super::{
    CachedSegment, DirectMachine, LoadReport, PromptShape, TargetUsage,
    estimate::{MIN_AFFINITY_TOKENS, shared_tokens},
    machine::memory_tokens,
};
use crate::ids::{ClockTime, TargetId};

/// Time for which a cached segment is reported. It spans three reports, so a lost one does no harm.
const SEGMENT_REPORT_TIME: Duration = Duration::from_millis(350);

/// Time for which a target's statement that it leaves is reported, so that some reports may be
/// lost.
const LEAVING_REPORT_TIME: Duration = Duration::from_secs(2);

impl DirectMachine {
    /// Creates this process's load report: either a full one, or one with the targets that
    /// changed since the previous report.
    pub fn load_report(&mut self, now: ClockTime, full: bool) -> LoadReport {
        self.report_count += 1;
        let known =
            self.fleet.iter().filter(|state| !state.in_flight.is_idle() || state.samples > 0);
        let usages: HashMap<TargetId, TargetUsage> = known
            .map(|state| TargetUsage {
                target: state.target.id.clone(),
                in_flight: state.in_flight,
                prefill_rate: state.prefill_rate,
                samples: state.samples,
            })
            .map(|usage| (usage.target.clone(), usage))
            .collect();
        let previous = std::mem::replace(&mut self.last_reported, usages);
        let idle = previous.keys().filter(|id| !self.last_reported.contains_key(*id));
        let idle = idle.map(|id| TargetUsage { target: id.clone(), ..TargetUsage::default() });
        let changed = self
            .last_reported
            .values()
            .filter(|usage| full || previous.get(&usage.target) != Some(usage));
        let mut usages: Vec<TargetUsage> = changed.cloned().chain(idle).collect();
        usages.sort_by(|a, b| a.target.cmp(&b.target));
        while self
            .recent_segments
            .front()
            .is_some_and(|(recorded, _)| *recorded + SEGMENT_REPORT_TIME < now)
        {
            self.recent_segments.pop_front();
        }
        LoadReport {
            peer: self.settings.name.clone(),
            instance: self.settings.instance,
            sequence: self.report_count,
            full,
            targets: usages,
            cached: self.recent_segments.iter().map(|(_, cached)| cached.clone()).collect(),
            claim: self.authority.claim(),
            leaving: self.fleet.leaving_since(now.saturating_sub(LEAVING_REPORT_TIME)),
            limits: self.limits.statements(now),
            demand: self.limits.demands(now),
            switching: self.planner.switching(),
            suspects: Vec::new(),
        }
    }

    pub(super) fn peer_load(&mut self, now: ClockTime, report: LoadReport) {
        if report.peer != self.settings.name {
            for cached in &report.cached {
                let Some(state) = self.fleet.get_mut(&cached.target) else { continue };
                let memory = memory_tokens(self.routes.as_ref(), &state.target.service);
                state.add_cached_segment(now, cached.segment, memory);
            }
            for leaving in &report.leaving {
                self.fleet.hear_leaving(now, leaving);
            }
            for statement in &report.limits {
                self.state_limit(now, statement, false);
            }
            self.pause_switching(now, &report.switching);
            self.peers.apply(now, report);
            self.max_entries = self.max_entries.max(self.peers.len() + 1);
        }
    }

    /// Pauses engines that are switching stages.
    pub(super) fn pause_switching(&mut self, now: ClockTime, engines: &[TargetId]) {
        for id in engines {
            if let Some(state) = self.fleet.get_mut(id) {
                state.pause_switching(now);
            }
        }
    }
}

/// Records the segments of a long shared prefix, which are reported to peers.
pub(super) fn record_cached_segments(
    recent: &mut VecDeque<(ClockTime, CachedSegment)>,
    now: ClockTime,
    target: &TargetId,
    prompt: &PromptShape,
) {
    if shared_tokens(prompt) < MIN_AFFINITY_TOKENS {
        return;
    }
    let shared = prompt.segments.len().saturating_sub(1);
    for segment in &prompt.segments[..shared] {
        recent.push_back((now, CachedSegment { target: target.clone(), segment: *segment }));
    }
}
