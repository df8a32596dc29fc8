//! Estimates a target's speed and backs off after its failures.

use std::time::Duration;

use serde::Serialize;

use crate::ids::ClockTime;

/// Weight of a new sample in the moving averages.
const SMOOTHING_FACTOR: f32 = 0.1;
/// Prefill rate assumed before the first sample, in tokens per second.
const INITIAL_PREFILL_RATE: f32 = 4000.0;
/// Time between two output tokens assumed before the first sample.
const INITIAL_INTER_TOKEN_MS: f32 = 50.0;
/// Duration of a call assumed before the first sample.
const INITIAL_CALL_MS: f32 = 50.0;
/// Shortest prompt whose prefill counts as a sample.
const MIN_PREFILL_SAMPLE_TOKENS: u32 = 128;

/// Moving averages of one target's speed, and the backoff after its failures.
#[derive(Debug, Clone, Serialize)]
pub struct SpeedEstimate {
    prefill_rate: f32,
    #[serde(rename = "gap_ms")]
    inter_token_ms: f32,
    call_ms: f32,
    #[serde(rename = "last_read")]
    last_prefill_end: ClockTime,
    failures: u32,
    retry_at: ClockTime,
}

impl Default for SpeedEstimate {
    fn default() -> SpeedEstimate {
        SpeedEstimate {
            prefill_rate: INITIAL_PREFILL_RATE,
            inter_token_ms: INITIAL_INTER_TOKEN_MS,
            call_ms: INITIAL_CALL_MS,
            last_prefill_end: ClockTime::ZERO,
            failures: 0,
            retry_at: ClockTime::ZERO,
        }
    }
}

impl SpeedEstimate {
    /// Records that the prefill of an attempt started at `started` has ended.
    ///
    /// An engine prefills one prompt after the other, so the time counts from the end of the
    /// previous prefill if that came after `started`.
    pub fn record_prefill(&mut self, now: ClockTime, started: ClockTime, tokens: u32) {
        let busy = now.saturating_sub(started.max(self.last_prefill_end)).as_secs_f32();
        self.last_prefill_end = now;
        if tokens >= MIN_PREFILL_SAMPLE_TOKENS && busy > 0.0 {
            update_average(&mut self.prefill_rate, tokens as f32 / busy);
        }
    }

    /// Records the time in which an engine generated `tokens` output tokens.
    pub fn record_tokens(&mut self, elapsed: Duration, tokens: u32) {
        update_average(
            &mut self.inter_token_ms,
            elapsed.as_secs_f32() * 1000.0 / tokens.max(1) as f32,
        );
        self.failures = 0;
    }

    /// Records the duration of a call to a plain service.
    pub fn record_call(&mut self, elapsed: Duration) {
        update_average(&mut self.call_ms, elapsed.as_secs_f32() * 1000.0);
        self.failures = 0;
    }

    /// Records a failure, after which no attempt starts for a while.
    ///
    /// The pause doubles with each consecutive failure, from 100 ms up to 6.4 s.
    pub fn record_failure(&mut self, now: ClockTime) {
        self.failures = (self.failures + 1).min(7);
        self.retry_at = now + Duration::from_millis(50 << self.failures);
    }

    /// Returns the number of attempts that may run at `now`.
    ///
    /// That is `limit` for a target without recent failures, none during the pause after a
    /// failure, and one afterwards until an attempt makes progress.
    pub fn concurrency_limit(&self, now: ClockTime, limit: u32) -> u32 {
        if self.failures == 0 {
            return limit;
        }
        if now < self.retry_at { 0 } else { 1 }
    }

    /// Returns the prefill rate, in tokens per second.
    pub fn prefill_rate(&self) -> f32 {
        self.prefill_rate
    }

    /// Returns the time between two output tokens, in milliseconds.
    pub fn inter_token_ms(&self) -> f32 {
        self.inter_token_ms
    }

    /// Returns the duration of one call, in milliseconds.
    pub fn call_ms(&self) -> f32 {
        self.call_ms
    }
}

fn update_average(value: &mut f32, sample: f32) {
    *value += (sample - *value) * SMOOTHING_FACTOR;
}
