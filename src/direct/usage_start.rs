//! From which window on an entry may report usage in a generation of the store.
//!
//! The first holder of a generation writes it to the store. See
//! [docs/design/duties.md](../../docs/design/duties.md), "After a restore".

use std::time::Duration;

use super::{
    DirectAction, MissCause, ReportStart, StoreGeneration, UsageAction, UsageRecords, UsageWindow,
    usage_duty::{Actions, UsageDuty},
};
use crate::ids::ClockTime;

/// Time by which the clocks of two entries may differ: one may have reported a window that is not
/// over yet for the other.
const CLOCK_TOLERANCE: Duration = Duration::from_millis(500);

impl UsageDuty {
    pub(super) fn store_restored(&mut self, now: ClockTime, generation: StoreGeneration) {
        let is_lost = self.authority.store_restored(now, generation);
        self.generation_seen(now, generation);
        if is_lost && self.reporter.history.knows(generation) {
            self.authority.reclaim();
        }
    }

    /// Notes the store's generation. Counts that were fixed in an earlier one are kept only where
    /// no other entry can have reported since.
    pub(super) fn generation_seen(&mut self, now: ClockTime, generation: StoreGeneration) {
        let takeover_time = self.authority.takeover_time();
        let moment = self.moment(now);
        if !self.reporter.history.generation_seen(moment, generation, takeover_time) {
            self.reporter.fixed = None;
        }
    }

    /// Returns whether the claim has to be checked, so that a restore finds the check recent.
    pub(super) fn is_check_due(&self, now: ClockTime) -> bool {
        let age = self.reporter.history.check_age(self.moment(now));
        age >= self.authority.takeover_time() / 2
    }

    /// Returns whether every window that may have been reported is known, and otherwise begins to
    /// write the first one that was not.
    ///
    /// A store that states no generation is never restored.
    pub(super) fn knows_reports(
        &mut self,
        now: ClockTime,
        records: &UsageRecords,
        out: &mut Actions,
    ) -> bool {
        let Some(generation) = records.end.0 else { return true };
        self.generation_seen(now, generation);
        let has_late_counts = records.has_late_counts();
        if has_late_counts {
            // What was reported in this generation is not recorded any more.
            self.reporter.fixed = None;
        } else if let Some(start) = records.current_start() {
            self.follow_start(start);
            return true;
        }
        let is_known = self.reporter.history.knows(generation) && !has_late_counts;
        let first = match is_known {
            true => self.first_unfixed(now),
            false if has_late_counts => self.first_open(now, Duration::ZERO),
            false => self.first_open(now, self.reporter.history.seen_for(now)),
        };
        let doubted = self.next_window().filter(|next| *next < first);
        if let Some(next) = doubted.filter(|_| !is_known) {
            let cause = MissCause::MayBeReported;
            let missed = UsageAction::Missed { first: next, last: first - 1, cause };
            out.push(DirectAction::Usage(missed));
        }
        let (start, end) = (ReportStart { generation, first }, records.end);
        self.reporter.starting = Some(start);
        let moment = self.moment(now);
        self.reporter.begin(moment, out, |attempt| UsageAction::WriteStart { attempt, start, end });
        false
    }

    /// Returns the first window that nobody has fixed, where all reports are known.
    fn first_unfixed(&self, now: ClockTime) -> UsageWindow {
        let last = self.reporter.settled.max(self.reporter.last_fixed);
        last.map_or_else(|| self.first_open(now, Duration::ZERO), |last| last + 1)
    }

    /// Returns the first window that was certainly not over so long ago. None from it on had been
    /// reported by then.
    fn first_open(&self, now: ClockTime, ago: Duration) -> UsageWindow {
        let time = self.true_time(now).unwrap_or_default().saturating_sub(ago);
        self.settings.window_at(time.saturating_add(CLOCK_TOLERANCE))
    }

    pub(super) fn start_written(&mut self, now: ClockTime, confirmed: bool) {
        let start = self.reporter.starting.take();
        match start.filter(|_| confirmed) {
            Some(start) => self.follow_start(start),
            None => self.reporter.failed(now, self.call_interval()),
        }
    }

    fn follow_start(&mut self, start: ReportStart) {
        self.reporter.history.known_up_to(start.generation);
        self.reporter.note_fixed(start.first.checked_sub(1));
    }
}
