//! Estimates a target's speed and backs off after its failures.

use std::time::Duration;

use serde::Serialize;
use smallvec::SmallVec;

use crate::ids::ClockTime;

/// Weight of a new sample in the moving averages.
const SMOOTHING_FACTOR: f32 = 0.1;
/// Prefill rate assumed before the first sample, in tokens per second.
///
/// The assumed speeds are those of a good engine, so that placement tries engines without samples
/// before the measured ones are busy.
const INITIAL_PREFILL_RATE: f32 = 6000.0;
/// Time between two output tokens assumed before the first sample.
const INITIAL_INTER_TOKEN_MS: f32 = 20.0;
/// Time between two output tokens beside prefill, assumed before the first sample.
const INITIAL_MIXED_INTER_TOKEN_MS: f32 = 150.0;
/// Duration of a call assumed before the first sample.
const INITIAL_CALL_MS: f32 = 50.0;
/// Shortest prompt whose prefill counts as a sample.
const MIN_PREFILL_SAMPLE_TOKENS: u32 = 128;
/// Weight of the initial prefill rate, in seconds of prefill.
const INITIAL_PREFILL_SECONDS: f32 = 0.5;
/// Seconds of prefill after which the weight of a sample has fallen to 1/e.
const PREFILL_MEMORY_SECONDS: f32 = 5.0;
/// Multiple of the estimated rate from which on a prompt counts as partly cached.
const MAX_PREFILL_SPEEDUP: f32 = 4.0;
/// Maximum number of separate periods of prefill that are remembered.
const MAX_PREFILL_PERIODS: usize = 16;

/// Moving averages of one target's speed, and the backoff after its failures.
#[derive(Debug, Clone, Serialize)]
pub struct SpeedEstimate {
    prefill_rate: f32,
    /// End of the last prefill, for the state dump.
    #[serde(rename = "last_read")]
    last_prefill_end: ClockTime,
    #[serde(skip)]
    prefill_tokens: f32,
    #[serde(skip)]
    prefill_seconds: f32,
    #[serde(skip)]
    prefill_periods: PrefillPeriods,
    #[serde(rename = "gap_ms")]
    inter_token_ms: f32,
    #[serde(rename = "mixed_gap_ms")]
    mixed_inter_token_ms: f32,
    call_ms: f32,
    failures: u32,
    retry_at: ClockTime,
}

impl Default for SpeedEstimate {
    fn default() -> SpeedEstimate {
        SpeedEstimate {
            prefill_rate: INITIAL_PREFILL_RATE,
            last_prefill_end: ClockTime::ZERO,
            prefill_tokens: INITIAL_PREFILL_RATE * INITIAL_PREFILL_SECONDS,
            prefill_seconds: INITIAL_PREFILL_SECONDS,
            prefill_periods: PrefillPeriods::default(),
            inter_token_ms: INITIAL_INTER_TOKEN_MS,
            mixed_inter_token_ms: INITIAL_MIXED_INTER_TOKEN_MS,
            call_ms: INITIAL_CALL_MS,
            failures: 0,
            retry_at: ClockTime::ZERO,
        }
    }
}

impl SpeedEstimate {
    /// Records that the prefill of an attempt started at `started` has ended.
    ///
    /// The rate is the tokens of all samples by the time in which any of them was in progress,
    /// as an engine may prefill several prompts in one step and in another order than they
    /// came. A prompt that is faster than [`MAX_PREFILL_SPEEDUP`] allows was partly in the
    /// engine's cache, and only counts with what the engine can have prefilled.
    pub fn record_prefill(&mut self, now: ClockTime, started: ClockTime, tokens: u32) {
        self.last_prefill_end = now;
        if tokens < MIN_PREFILL_SAMPLE_TOKENS {
            return;
        }
        let own_time = now.saturating_sub(started).as_secs_f32();
        let max_tokens = MAX_PREFILL_SPEEDUP * self.prefill_rate * own_time;
        let added_time = self.prefill_periods.add(started, now).as_secs_f32();
        let decay = (-added_time / PREFILL_MEMORY_SECONDS).exp();
        self.prefill_tokens = self.prefill_tokens * decay + max_tokens.min(tokens as f32);
        self.prefill_seconds = self.prefill_seconds * decay + added_time;
        self.prefill_rate = self.prefill_tokens / self.prefill_seconds;
    }

    /// Records the time in which an engine generated `tokens` output tokens.
    pub fn record_tokens(&mut self, elapsed: Duration, tokens: u32) {
        update_average(
            &mut self.inter_token_ms,
            elapsed.as_secs_f32() * 1000.0 / tokens.max(1) as f32,
        );
        self.failures = 0;
    }

    /// Records the time in which an engine that prefilled other prompts generated `tokens`.
    pub fn record_mixed_tokens(&mut self, elapsed: Duration, tokens: u32) {
        update_average(
            &mut self.mixed_inter_token_ms,
            elapsed.as_secs_f32() * 1000.0 / tokens.max(1) as f32,
        );
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

    /// Returns the time between two output tokens while other prompts are prefilled, in
    /// milliseconds.
    pub fn mixed_inter_token_ms(&self) -> f32 {
        self.mixed_inter_token_ms
    }

    /// Returns the duration of one call, in milliseconds.
    pub fn call_ms(&self) -> f32 {
        self.call_ms
    }
}

/// Disjoint periods in which prefill was in progress, the newest last.
#[derive(Debug, Clone, Default)]
struct PrefillPeriods {
    periods: SmallVec<[(ClockTime, ClockTime); MAX_PREFILL_PERIODS]>,
}

impl PrefillPeriods {
    /// Adds a period and returns the part of it that no earlier one covers.
    fn add(&mut self, start: ClockTime, end: ClockTime) -> Duration {
        let overlap =
            |(from, to): &(ClockTime, ClockTime)| (*to).min(end).saturating_sub((*from).max(start));
        let covered: Duration = self.periods.iter().map(overlap).sum();
        let mut merged = (start, end);
        self.periods.retain(|(from, to)| {
            let separate = *to < start;
            if !separate {
                merged = (merged.0.min(*from), merged.1.max(*to));
            }
            separate
        });
        if self.periods.len() == MAX_PREFILL_PERIODS {
            self.periods.remove(0);
        }
        self.periods.push(merged);
        end.saturating_sub(start).saturating_sub(covered)
    }
}

fn update_average(value: &mut f32, sample: f32) {
    *value += (sample - *value) * SMOOTHING_FACTOR;
}
