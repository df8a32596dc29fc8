//! Creates load reports for peers and applies those of peers.

use std::{
    collections::{HashMap, VecDeque},
    time::Duration,
};

use super::{
    CachedSegment, DirectMachine, LoadReport, OrderFencingToken, PromptShape, TargetUsage,
    affinity::has_homes, load::repeat_time, machine::memory_tokens,
};
use crate::ids::{ClockTime, TargetId};

/// Number of reports that name a cached segment, so that a lost one does no harm. The interval
/// between reports depends on the number of peers.
const SEGMENT_REPORTS: u64 = 3;

/// Shortest time for which a target's statement that it leaves is reported.
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
            .is_some_and(|(recorded, _)| *recorded + SEGMENT_REPORTS < self.report_count)
        {
            self.recent_segments.pop_front();
        }
        let leaving_time = repeat_time(self.peers.len(), LEAVING_REPORT_TIME);
        LoadReport {
            peer: self.settings.name.clone(),
            instance: self.settings.instance,
            sequence: self.report_count,
            full,
            targets: usages,
            cached: self.recent_segments.iter().map(|(_, cached)| cached.clone()).collect(),
            claim: self.authority.claim(),
            usage_claim: self.usage_claim(now),
            scale_claim: self.scale_claim(now),
            leaving: self.fleet.leaving_since(now.saturating_sub(leaving_time)),
            limits: self.limits.statements(now),
            demand: self.limits.demands(now),
            switching: self.planner.switching(),
            suspects: Vec::new(),
        }
    }

    /// Returns the claim on reporting usage. A stopping entry tells of none, so that another one
    /// claims before it has exited.
    fn usage_claim(&self, now: ClockTime) -> Option<OrderFencingToken> {
        let usage = self.usage.as_ref().filter(|_| self.stop.is_none())?;
        usage.reported_claim(now, &self.peers)
    }

    /// Returns the claim on ordering targets, as [`DirectMachine::usage_claim`] does.
    fn scale_claim(&self, now: ClockTime) -> Option<OrderFencingToken> {
        let scale = self.scale.as_ref().filter(|_| self.stop.is_none())?;
        scale.reported_claim(now, &self.peers)
    }

    pub(super) fn peer_load(&mut self, now: ClockTime, report: LoadReport) {
        if report.peer != self.settings.name && report.has_valid_numbers() {
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

/// Records the segments of a long shared prefix, which the reports after `report` name.
pub(super) fn record_cached_segments(
    recent: &mut VecDeque<(u64, CachedSegment)>,
    report: u64,
    target: &TargetId,
    prompt: &PromptShape,
) {
    if !has_homes(prompt) {
        return;
    }
    let shared = prompt.segments.len().saturating_sub(1);
    for segment in &prompt.segments[..shared] {
        let is_same = |(_, known): &(u64, CachedSegment)| {
            known.segment == *segment && known.target == *target
        };
        // What an earlier report names is recorded again, at its end of the queue.
        let is_recorded = recent.iter().rev().take_while(|(at, _)| *at == report).any(is_same);
        if !is_recorded {
            let cached = CachedSegment { target: target.clone(), segment: *segment };
            recent.push_back((report, cached));
        }
    }
}
