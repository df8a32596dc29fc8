//! When an entry that no collector of counts hears leaves its counts in the store.

use std::time::Duration;

use serde::Serialize;

use super::UsageWindow;
use crate::ids::ClockTime;

/// Time without a confirmation after which an entry takes itself for unheard. Counts are sent
/// several times within it.
const UNHEARD_TIME: Duration = Duration::from_secs(1);
/// Shortest interval at which an unheard entry writes its counts.
const LEAVE_INTERVAL: Duration = Duration::from_secs(1);
/// Limit on these writes a second over all entries. The store takes over a thousand.
const MAX_WRITES_PER_SECOND: u32 = 200;

/// Counts of this entry, as far as they matter here.
#[derive(Debug, Clone, Copy)]
pub(super) struct CountState {
    /// Number of the last change.
    pub(super) sequence: u64,
    /// Whether [`UnheardCounts::awaited`] was confirmed, or nothing is to be.
    pub(super) is_confirmed: bool,
    /// Window that moves on with the open one.
    pub(super) window: UsageWindow,
    /// Number of peers that were heard lately, all of which may be unheard.
    pub(super) entries: usize,
}

/// What to do with the counts in the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum UnheardStep {
    Leave,
    Remove,
}

/// Confirmations that an entry waits for, and what it has left in the store.
#[derive(Debug, Clone, Copy, Default, Serialize)]
pub(super) struct UnheardCounts {
    /// Change whose confirmation is awaited.
    pub(super) awaited: u64,
    /// Since when it is.
    since: ClockTime,
    /// Last change that was left in the store, and the window then.
    left: Option<(u64, UsageWindow)>,
    next: ClockTime,
}

impl UnheardCounts {
    /// Returns what to do now.
    pub(super) fn next_step(&mut self, now: ClockTime, state: CountState) -> Option<UnheardStep> {
        if state.is_confirmed {
            self.awaited = state.sequence;
            self.since = now;
            return self.left.take().map(|_| UnheardStep::Remove);
        }
        if now < self.since + UNHEARD_TIME {
            return None;
        }
        let known = self.left.unwrap_or_default();
        // A report waits for the counts of a window that has just ended.
        let has_closed = state.window > known.1;
        let is_due = now >= self.next && state.sequence > known.0;
        if !has_closed && !is_due {
            return None;
        }
        self.left = Some((state.sequence, state.window));
        let entries = u32::try_from(state.entries).unwrap_or(u32::MAX);
        let interval = Duration::from_secs(1).saturating_mul(entries) / MAX_WRITES_PER_SECOND;
        self.next = now + LEAVE_INTERVAL.max(interval);
        Some(UnheardStep::Leave)
    }
}
