//! What a process knows of the reports that were made before the store's generation.
//!
//! A restored store may lack the counts that were fixed last, and the copies that entries keep in
//! memory may have ended with them. See [docs/design/duties.md](../../docs/design/duties.md),
//! "After a restore".

use std::time::Duration;

use serde::Serialize;

use super::StoreGeneration;
use crate::ids::ClockTime;

/// Moment by the process's clock, and as the time since the start of 1970.
pub type UsageMoment = (ClockTime, Duration);

/// Reports that a process knows of.
#[derive(Debug, Clone, Copy, Default, Serialize)]
pub struct ReportHistory {
    /// Generation of the store, and when this process first saw it.
    seen: Option<(StoreGeneration, ClockTime)>,
    /// Generation up to which this process knows of every window that may have been reported.
    known: Option<StoreGeneration>,
    /// When the store was last asked, of the times at which it named this process as the holder.
    checked: Option<UsageMoment>,
}

impl ReportHistory {
    /// Notes the generation of the store, and returns whether the reports of earlier ones are
    /// known.
    ///
    /// They are where this process was the holder so shortly before that no other may have made a
    /// call: that takes `takeover_time` from a claim on.
    pub fn generation_seen(
        &mut self,
        now: UsageMoment,
        generation: StoreGeneration,
        takeover_time: Duration,
    ) -> bool {
        if self.seen.is_some_and(|(seen, _)| generation <= seen) {
            return self.known >= Some(generation);
        }
        self.seen = Some((generation, now.0));
        let is_known = self.known.is_some() && self.check_age(now) < takeover_time;
        self.known = is_known.then_some(generation);
        is_known
    }

    /// Notes that the reports up to a generation are known.
    pub fn known_up_to(&mut self, generation: StoreGeneration) {
        self.known = Some(generation);
    }

    /// Returns whether the reports before and in a generation are known.
    pub fn knows(&self, generation: StoreGeneration) -> bool {
        self.known == Some(generation)
    }

    /// Notes that the store, when asked at a time, named this process as the holder.
    pub fn claim_checked(&mut self, asked: UsageMoment) {
        self.checked = Some(asked);
    }

    /// Returns the time since the store was last asked, of the times at which it named this
    /// process as the holder. The larger of two clocks counts: one stands still while the VM is
    /// suspended, and the other may be set.
    pub fn check_age(&self, now: UsageMoment) -> Duration {
        let Some(checked) = self.checked else { return Duration::MAX };
        now.0.saturating_sub(checked.0).max(now.1.saturating_sub(checked.1))
    }

    /// Returns the time since this process first saw the store's generation. Windows that were
    /// not over by then were not reported in an earlier one.
    pub fn seen_for(&self, now: ClockTime) -> Duration {
        self.seen.map_or(Duration::ZERO, |(_, at)| now.saturating_sub(at))
    }
}
