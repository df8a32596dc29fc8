//! When an entry that no collector of counts hears leaves its counts in the store.

use std::time::Duration;

use serde::Serialize;

use super::UsageWindow;
use crate::ids::ClockTime;

/// Time without a confirmation after which an entry takes itself for unheard. Counts are sent
/// several times within it.
const UNHEARD_TIME: Duration = Duration::from_secs(1);
/// Shortest interval at which an unheard entry writes its counts within a window.
const LEAVE_INTERVAL: Duration = Duration::from_secs(1);
/// Limit on these writes a second over all entries. The store takes over a thousand.
const MAX_WRITES_PER_SECOND: u32 = 200;

/// Shortest round, that of a single entry.
const MIN_ROUND: Duration = Duration::from_millis(5);

/// Returns the time in which so many entries write once each within [`MAX_WRITES_PER_SECOND`].
pub(super) fn round_time(entries: usize) -> Duration {
    let entries = u32::try_from(entries).unwrap_or(u32::MAX);
    (Duration::from_secs(1).saturating_mul(entries) / MAX_WRITES_PER_SECOND).max(MIN_ROUND)
}

/// Counts of this entry, as far as they matter here.
#[derive(Debug, Clone, Copy)]
pub struct CountState {
    /// Number of the last change.
    pub sequence: u64,
    /// Whether a peer confirmed [`UnheardCounts::awaited`], or nothing is to be.
    pub is_confirmed: bool,
    /// Whether this entry reports its counts itself, so that no confirmation is awaited. What was
    /// left before stays until it is confirmed or reported, as another entry may report too.
    pub is_reporting: bool,
    /// The open window.
    pub window: UsageWindow,
    /// Last window that this entry's accepted reports include.
    pub reported: Option<UsageWindow>,
    /// Number of entries that may be unheard.
    pub entries: usize,
    /// Place of this entry among them, from 0 to 1, so that not all write at the same time.
    pub turn: f64,
}

/// What to do with the counts in the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UnheardStep {
    /// Leave them there.
    Leave,
    /// Remove them.
    Remove,
}

/// Confirmations that an entry waits for, and what it has left in the store.
#[derive(Debug, Clone, Copy, Default, Serialize)]
pub struct UnheardCounts {
    /// Change whose confirmation is awaited.
    awaited: u64,
    /// Since when it is.
    since: ClockTime,
    /// Open window, and since when it is.
    window: (UsageWindow, ClockTime),
    /// Last change that was left in the store, and the open window then.
    left: Option<(u64, UsageWindow)>,
    /// Time of the last write.
    written: ClockTime,
}

impl UnheardCounts {
    /// Returns the change whose confirmation is awaited.
    pub fn awaited(&self) -> u64 {
        self.awaited
    }

    /// Returns whether counts were left in the store.
    pub fn has_left(&self) -> bool {
        self.left.is_some()
    }

    /// Returns what to do now.
    pub fn next_step(&mut self, now: ClockTime, state: CountState) -> Option<UnheardStep> {
        if self.window.0 != state.window {
            self.window = (state.window, now);
        }
        if state.is_confirmed || (state.is_reporting && self.left.is_none()) {
            self.awaited = state.sequence;
            self.since = now;
            return self.left.take().map(|_| UnheardStep::Remove);
        }
        if self.left.is_some_and(|(_, window)| Some(window) <= state.reported) {
            self.left = None;
            return Some(UnheardStep::Remove);
        }
        if now < self.due(&state)? {
            return None;
        }
        self.left = Some((state.sequence, state.window));
        self.written = now;
        Some(UnheardStep::Leave)
    }

    /// Returns when the counts are to be left, if they are not there.
    fn due(&self, state: &CountState) -> Option<ClockTime> {
        let due = match self.left {
            None => self.since + UNHEARD_TIME,
            // A report waits for the counts of a window that has just ended.
            Some((_, window)) if state.window > window => self.window.1,
            Some((sequence, _)) if state.sequence > sequence => self.written + LEAVE_INTERVAL,
            Some(_) => return None,
        };
        Some(next_slot(due, round_time(state.entries), state.turn))
    }
}

/// Returns the first time from `due` on at which it is an entry's turn, which it is once a round.
fn next_slot(due: ClockTime, round: Duration, turn: f64) -> ClockTime {
    let first = round.mul_f64(turn.clamp(0.0, 1.0));
    let rounds = due.saturating_sub(first).div_duration_f64(round).ceil();
    first + round.mul_f64(rounds)
}
