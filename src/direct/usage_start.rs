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
        if let Some(start) = records.start.filter(|start| start.generation == generation) {
            self.follow_start(start);
            return true;
        }
        let first = self.first_unreported(now, generation);
        let doubted = self.next_window().filter(|next| *next < first);
        if let Some(next) = doubted.filter(|_| !self.reporter.history.knows(generation)) {
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

    /// Returns the first window that cannot have been reported, with the store restored to this
    /// generation.
    fn first_unreported(&self, now: ClockTime, generation: StoreGeneration) -> UsageWindow {
        let history = &self.reporter.history;
        if history.knows(generation)
            && let Some(last) = self.reporter.settled.max(self.reporter.last_fixed)
        {
            return last + 1;
        }
        let time = self.true_time(now).unwrap_or_default();
        let seen_at = time.saturating_sub(history.seen_for(now));
        self.settings.window_at(seen_at.saturating_add(CLOCK_TOLERANCE))
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
