//! Estimates how long the caller of a request has waited since its first attempt.
//!
//! It serves loads under which callers retry after a rejection, beside callers that wait
//! for times of their own. No request names its first attempt.

use std::{collections::VecDeque, time::Duration};

use serde::Serialize;

/// Number of recent requests of a route that are compared.
const RECENT_REQUESTS: usize = 128;

/// Times left to recent requests of one route, and the share of them that are retries.
///
/// A retry has less time left than a new request. New ones differ too, as each
/// caller has a time of its own. So only as many of the requests with the least time left are
/// taken for returning ones as this entry has rejected lately, and a standard deviation more:
/// callers retry at other entries, which reject about as many.
#[derive(Debug, Clone, Default, Serialize)]
pub(super) struct ReturnEstimator {
    /// Times left on arrival, the latest last.
    times_left: VecDeque<Duration>,
    /// Moving average of the rejections for each request.
    rejected_share: f32,
    longest: Duration,
}

impl ReturnEstimator {
    /// Adds a request and returns for how long its caller has waited, by estimate.
    pub(super) fn request_arrived(&mut self, time_left: Duration) -> Duration {
        let waited = self.time_waited(time_left);
        self.longest = self.longest.max(time_left);
        self.times_left.push_back(time_left);
        if self.times_left.len() > RECENT_REQUESTS {
            self.times_left.pop_front();
        }
        self.rejected_share -= self.rejected_share / RECENT_REQUESTS as f32;
        waited
    }

    /// Records that a request was rejected, whose caller may retry.
    pub(super) fn request_rejected(&mut self) {
        self.rejected_share = (self.rejected_share + 1.0 / RECENT_REQUESTS as f32).min(1.0);
    }

    /// Returns the longest time that was left to a request.
    pub(super) fn longest(&self) -> Duration {
        self.longest
    }

    fn time_waited(&self, time_left: Duration) -> Duration {
        let mut known: Vec<Duration> = self.times_left.iter().copied().collect();
        if known.is_empty() {
            return Duration::ZERO;
        }
        known.sort_unstable();
        // Half of the requests at most: a caller that was rejected has sent one before.
        let expected = self.rejected_share.min(0.5) * known.len() as f32;
        let returning = (expected + expected.sqrt()) as usize;
        let new = &known[returning.min(known.len() - 1)..];
        if time_left >= new[0] {
            return Duration::ZERO;
        }
        new[new.len() / 2].saturating_sub(time_left)
    }
}
