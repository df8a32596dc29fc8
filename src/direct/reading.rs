//! How often an entry reads topics of the store.
//!
//! It serves fleets of any size: each entry reads by itself, and calls to the store are
//! limited and priced, so that no entry reads more often than its bounds ask for.

use std::time::Duration;

/// Pause and wait of reads of the configuration, relative to its bound. Their sum stays below
/// it: the store does not always answer a long poll at the first new record, and a dead
/// connection is noticed only when the poll times out.
const CONFIGURATION_SHARES: (f64, f64) = (0.125, 0.75);
/// The same for the targets. The longer pause lets one read take several records.
const TARGET_SHARES: (f64, f64) = (0.35, 0.55);
/// Shortest pause, whatever the bound is.
pub(super) const MIN_PAUSE: Duration = Duration::from_millis(100);
/// Longest wait of a long poll that the store accepts.
const MAX_POLL_WAIT: Duration = Duration::from_secs(30);

/// Share of the bound on leaving targets, and the longest time, for which a target is still used
/// after its registration expired in a store outage. With the pause it stays below the bound.
const EXPIRY_GRACE_SHARE: f64 = 0.4;
const MAX_EXPIRY_GRACE: Duration = Duration::from_millis(800);

/// Returns how long a target is still used after its registration expired in a store outage.
///
/// Registrations expire then although their targets live, and are back within a short time.
pub fn expiry_grace(bound: Duration) -> Duration {
    bound.mul_f64(EXPIRY_GRACE_SHARE).min(MAX_EXPIRY_GRACE)
}

/// Pause between reads of a topic, and the time for which the store holds a read that finds no
/// new record.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReadSchedule {
    /// Pause between reads.
    pub pause: Duration,
    /// Time for which the store holds a read that finds no new record.
    pub poll_wait: Duration,
}

impl ReadSchedule {
    /// Returns how the configuration is read, which must be in force within `bound`.
    pub fn of_configuration(bound: Duration) -> ReadSchedule {
        ReadSchedule::within(bound, CONFIGURATION_SHARES)
    }

    /// Returns how the list of targets is read, of which a leaving one must be known within
    /// `bound`.
    pub fn of_targets(bound: Duration) -> ReadSchedule {
        ReadSchedule::within(bound, TARGET_SHARES)
    }

    fn within(bound: Duration, (pause, poll_wait): (f64, f64)) -> ReadSchedule {
        ReadSchedule {
            pause: bound.mul_f64(pause).max(MIN_PAUSE),
            poll_wait: bound.mul_f64(poll_wait).min(MAX_POLL_WAIT),
        }
    }
}
