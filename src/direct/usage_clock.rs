//! Time of day that does not follow a step of the VM's clock at once.

use std::time::Duration;

use super::BootTime;

/// Largest change of the clock, against the time since boot, that is followed at once.
const MAX_ADJUSTMENT: i128 = Duration::from_millis(250).as_nanos() as i128;
/// Time for which a clock that was set has to stay so until it is followed. A window of usage is
/// not split by a step that is taken back within it.
const STEP_TIME: Duration = Duration::from_secs(10);

/// Estimates the time since the start of 1970 from a clock that may be set.
#[derive(Debug, Clone, Default)]
pub struct TrueClock {
    /// Time of day less time since boot, in nanoseconds.
    offset: Option<i128>,
    /// Another such difference, and since when it has been seen.
    step: Option<(i128, BootTime)>,
}

impl TrueClock {
    /// Returns the estimate for a time since boot at which the clock shows `time_of_day`.
    pub fn observe(&mut self, boot: BootTime, time_of_day: Duration) -> Duration {
        let since_boot = boot.as_nanos() as i128;
        let measured = time_of_day.as_nanos() as i128 - since_boot;
        let known = *self.offset.get_or_insert(measured);
        let is_near = |offset: i128| (offset - measured).abs() <= MAX_ADJUSTMENT;
        match self.step {
            _ if is_near(known) => {
                self.offset = Some(measured);
                self.step = None;
            }
            Some((step, since)) if is_near(step) => {
                if boot.saturating_sub(since) >= STEP_TIME {
                    self.offset = Some(measured);
                    self.step = None;
                }
            }
            _ => self.step = Some((measured, boot)),
        }
        let estimate = since_boot + self.offset.unwrap_or(measured);
        Duration::from_nanos(u64::try_from(estimate).unwrap_or_default())
    }
}
