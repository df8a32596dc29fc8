//! Steps of a report of customers' usage at the entry that holds the duty.

use std::time::Duration;

use serde::Serialize;

use super::{
    DirectAction, OrderFencingToken, ReportStart, UsageAction, UsageWindow, WindowUsage,
    usage_history::{ReportHistory, UsageMoment},
};
use crate::ids::ClockTime;

/// Shortest and longest pause after a failed attempt; it doubles in between.
const RETRY_PAUSES: (Duration, Duration) = (Duration::from_millis(250), Duration::from_secs(2));

/// Window whose counts do not change any more.
#[derive(Debug, Clone, Serialize)]
pub(super) struct FixedUsage {
    pub(super) usage: WindowUsage,
    /// Whether the store holds these counts.
    pub(super) confirmed: bool,
    /// Whether an earlier holder fixed them, and may have reported them.
    pub(super) adopted: bool,
    /// Whether they may have reached the platform from this process.
    pub(super) posted: bool,
}

/// Reports of the entry that holds the duty.
#[derive(Debug, Clone, Default, Serialize)]
pub(super) struct UsageReporter {
    /// Claim that the rest belongs to.
    pub(super) fence: Option<OrderFencingToken>,
    /// Number of the attempt in flight, or of the last one.
    pub(super) attempt: u64,
    pub(super) is_busy: bool,
    /// Whether the records were read since the claim.
    pub(super) has_read: bool,
    /// Whether they were read since calls may be made, so that no earlier holder saves any more.
    pub(super) has_read_saved: bool,
    /// What is known of the reports before the store's generation.
    pub(super) history: ReportHistory,
    /// When the attempt in flight began.
    pub(super) asked: UsageMoment,
    /// First window that may be reported, while it is being written.
    pub(super) starting: Option<ReportStart>,
    /// Oldest fixed window that was neither accepted nor too late.
    pub(super) fixed: Option<FixedUsage>,
    /// Last window that is not reported any more.
    pub(super) settled: Option<UsageWindow>,
    /// Last window that any entry may have fixed.
    pub(super) last_fixed: Option<UsageWindow>,
    pub(super) failures: u32,
    pub(super) next: ClockTime,
    /// Since when the store has not responded.
    pub(super) store_fails: Option<ClockTime>,
    /// Time of the last accepted report.
    pub(super) accepted: Option<ClockTime>,
}

impl UsageReporter {
    /// Begins anew after a new claim, or ends with the claim.
    pub(super) fn follow_claim(&mut self, claim: Option<OrderFencingToken>) {
        if self.fence == claim {
            return;
        }
        self.fence = claim;
        self.attempt += 1;
        self.is_busy = false;
        self.has_read = false;
        self.has_read_saved = false;
        self.failures = 0;
        self.store_fails = None;
        // Counts that were never written may be fixed otherwise by the next holder.
        self.fixed = self.fixed.take().filter(|fixed| fixed.confirmed || fixed.posted);
    }

    pub(super) fn begin(
        &mut self,
        now: UsageMoment,
        out: &mut Vec<DirectAction>,
        action: impl FnOnce(u64) -> UsageAction,
    ) {
        self.attempt += 1;
        self.is_busy = true;
        self.asked = now;
        out.push(DirectAction::Usage(action(self.attempt)));
    }

    /// Returns whether a result belongs to the attempt in flight, and ends that.
    pub(super) fn end(&mut self, attempt: u64) -> bool {
        let is_current = self.is_busy && attempt == self.attempt;
        self.is_busy &= !is_current;
        is_current
    }

    pub(super) fn failed(&mut self, now: ClockTime, call_interval: Duration) {
        let (shortest, longest) = RETRY_PAUSES;
        let pause = shortest.saturating_mul(1 << self.failures.min(8)).min(longest);
        self.failures = self.failures.saturating_add(1);
        self.next = now + pause.max(call_interval);
    }

    pub(super) fn store_failed(&mut self, now: ClockTime) {
        self.store_fails.get_or_insert(now);
        self.failed(now, Duration::ZERO);
    }

    pub(super) fn settle(&mut self, window: UsageWindow) {
        self.settled = self.settled.max(Some(window));
        self.note_fixed(Some(window));
        self.fixed = self.fixed.take().filter(|fixed| fixed.usage.window > window);
        self.failures = 0;
    }

    pub(super) fn note_fixed(&mut self, window: Option<UsageWindow>) {
        self.last_fixed = self.last_fixed.max(window);
    }

    /// Takes over the counts that the store holds of the last fixed window.
    pub(super) fn adopt(&mut self, stored: Option<WindowUsage>) {
        let stored = stored.filter(|stored| Some(stored.window) > self.settled);
        let Some(stored) = stored else {
            if let Some(fixed) = &mut self.fixed {
                fixed.confirmed = false;
            }
            return;
        };
        self.note_fixed(Some(stored.window));
        let posted = match &mut self.fixed {
            Some(own) if own.usage.window > stored.window => {
                own.confirmed = false;
                return;
            }
            Some(own) if own.usage.window == stored.window => own.posted,
            _ => false,
        };
        let is_same = self.fixed.as_ref().is_some_and(|own| own.usage == stored);
        if posted && !is_same {
            // Either the one or the other was reported; no third call may follow.
            return self.settle(stored.window);
        }
        self.fixed = Some(FixedUsage { usage: stored, confirmed: true, adopted: !is_same, posted });
    }
}
