//! Measures a target's speed from its own work.

use std::time::Duration;

use serde::Serialize;

use crate::ids::ClockTime;

const SMOOTHING: f32 = 0.1;
const START_PREFILL_RATE: f32 = 4000.0; // tokens per second
const START_GAP_MS: f32 = 50.0;
const START_CALL_MS: f32 = 50.0;
const MIN_SAMPLE_TOKENS: u32 = 128;

/// Measured speed of one target.
#[derive(Debug, Clone, Serialize)]
pub struct SpeedGauge {
    prefill_rate: f32,
    gap_ms: f32,
    call_ms: f32,
    last_read: ClockTime,
    failures: u32,
    retry_at: ClockTime,
}

impl Default for SpeedGauge {
    fn default() -> SpeedGauge {
        SpeedGauge {
            prefill_rate: START_PREFILL_RATE,
            gap_ms: START_GAP_MS,
            call_ms: START_CALL_MS,
            last_read: ClockTime::ZERO,
            failures: 0,
            retry_at: ClockTime::ZERO,
        }
    }
}

impl SpeedGauge {
    /// Notes that a prompt that was started at `started` has been read.
    ///
    /// Prompts are read one after the other, so the time counts from the end of the one before.
    pub fn prompt_read(&mut self, now: ClockTime, started: ClockTime, tokens: u32) {
        let busy = now.saturating_sub(started.max(self.last_read)).as_secs_f32();
        self.last_read = now;
        if tokens >= MIN_SAMPLE_TOKENS && busy > 0.0 {
            smooth(&mut self.prefill_rate, tokens as f32 / busy);
        }
    }

    /// Notes the time that some generated tokens took.
    pub fn generated(&mut self, took: Duration, tokens: u32) {
        smooth(&mut self.gap_ms, took.as_secs_f32() * 1000.0 / tokens.max(1) as f32);
        self.failures = 0;
    }

    /// Notes the time that a call took.
    pub fn called(&mut self, took: Duration) {
        smooth(&mut self.call_ms, took.as_secs_f32() * 1000.0);
        self.failures = 0;
    }

    /// Notes a failure: work pauses, for longer after each in a row.
    pub fn failed(&mut self, now: ClockTime) {
        self.failures = (self.failures + 1).min(7);
        self.retry_at = now + Duration::from_millis(50 << self.failures);
    }

    /// Returns how many attempts may run now, given that `limit` may when all is well.
    pub fn allowed(&self, now: ClockTime, limit: u32) -> u32 {
        if self.failures == 0 {
            return limit;
        }
        if now < self.retry_at { 0 } else { 1 }
    }

    /// Returns the speed of reading prompts, in tokens a second.
    pub fn prefill_rate(&self) -> f32 {
        self.prefill_rate
    }

    /// Returns the time between two tokens, in milliseconds.
    pub fn gap_ms(&self) -> f32 {
        self.gap_ms
    }

    /// Returns the time of one call, in milliseconds.
    pub fn call_ms(&self) -> f32 {
        self.call_ms
    }
}

fn smooth(value: &mut f32, sample: f32) {
    *value += (sample - *value) * SMOOTHING;
}
