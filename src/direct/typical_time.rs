//! Average of times, with their deviation.

use std::time::Duration;

use serde::Serialize;

/// Weight of a new sample.
const TIME_WEIGHT: f32 = 0.1;
/// Deviations above the average within which most times are.
const TIME_DEVIATIONS: f32 = 3.0;

/// Times of the same kind, of which the later ones weigh more.
#[derive(Debug, Clone, Copy, Default, Serialize)]
pub struct TypicalTime {
    /// Average, in seconds; 0 before the first sample.
    mean: f32,
    /// Average distance from the average, in seconds.
    deviation: f32,
}

impl TypicalTime {
    /// Records a time.
    pub fn record(&mut self, took: Duration) {
        let seconds = took.as_secs_f32();
        if self.mean == 0.0 {
            *self = TypicalTime { mean: seconds, deviation: seconds / 2.0 };
            return;
        }
        let distance = seconds - self.mean;
        self.mean += TIME_WEIGHT * distance;
        self.deviation += TIME_WEIGHT * (distance.abs() - self.deviation);
    }

    /// Returns the time within which most are.
    pub fn most(self) -> Duration {
        Duration::from_secs_f32(self.mean + TIME_DEVIATIONS * self.deviation)
    }
}
