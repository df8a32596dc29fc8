//! Number of targets that the requests of a service need, so that few of them wait.

use std::time::Duration;

use serde::Serialize;

use crate::ids::ClockTime;

/// Standard deviations of the number of requests for which there is room beyond its mean.
const ROOM_DEVIATIONS: f32 = 2.0;
/// Time constant of the counts of offered and refused requests.
const REFUSAL_TIME: Duration = Duration::from_secs(10);
/// Share of failed requests from which on those that run do not tell the need.
const MIN_FAILED_SHARE: f32 = 0.05;
/// Number of failed requests of the last [`REFUSAL_TIME`] below which they count as over.
const MIN_FAILED: f32 = 0.1;
/// Largest factor by which refused requests raise the need. Their callers come again, so that
/// they count several times.
const MAX_REFUSAL_FACTOR: f32 = 2.0;

/// Returns the room that a mean number of requests at the same time needs.
///
/// Requests arrive at random, so a mean of `m` often becomes two standard deviations more,
/// `m + 2 √m`.
pub fn room_needed(requests: f32) -> f32 {
    let requests = requests.max(0.0);
    requests + ROOM_DEVIATIONS * requests.sqrt()
}

/// Requests of a service that came lately, those that failed, and those of them that were refused
/// for want of room.
#[derive(Debug, Clone, Copy, Default, Serialize)]
pub struct RefusalMeter {
    offered: f32,
    failed: f32,
    refused: f32,
    updated: ClockTime,
}

impl RefusalMeter {
    /// Counts a request that came.
    pub fn record_offer(&mut self, now: ClockTime) {
        self.decay(now);
        self.offered += 1.0;
    }

    /// Counts that a request that came lately was refused.
    pub fn record_refusal(&mut self) {
        self.failed += 1.0;
        self.refused += 1.0;
    }

    /// Counts that a request that came lately failed for another reason.
    pub fn record_failure(&mut self) {
        self.failed += 1.0;
    }

    /// Returns whether so many requests have failed lately that those that run do not tell the
    /// need. In an outage few run, whatever the demand is.
    pub fn has_failures(&self, now: ClockTime) -> bool {
        let failed = self.failed * self.kept(now);
        failed >= MIN_FAILED && self.failed >= self.offered * MIN_FAILED_SHARE
    }

    /// Returns how many requests came for each one that was served.
    pub fn factor(&self) -> f32 {
        let served = self.offered - self.refused;
        if served <= 0.0 && self.refused > 0.0 {
            return MAX_REFUSAL_FACTOR;
        }
        let factor = if self.offered > 0.0 { self.offered / served } else { 1.0 };
        factor.clamp(1.0, MAX_REFUSAL_FACTOR)
    }

    fn decay(&mut self, now: ClockTime) {
        let kept = self.kept(now);
        self.offered *= kept;
        self.failed *= kept;
        self.refused *= kept;
        self.updated = now;
    }

    /// Returns the part of the counts that is left by now.
    fn kept(&self, now: ClockTime) -> f32 {
        let passed = now.saturating_sub(self.updated).as_secs_f32();
        (-passed / REFUSAL_TIME.as_secs_f32()).exp()
    }
}
