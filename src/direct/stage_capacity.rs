//! Number of decode engines that the streams of the last phases of load need.
//!
//! It serves loads whose mix changes faster than an engine switches its stage: an engine that
//! the next phase needs for decoding is not spared in this one.

use std::time::Duration;

use serde::Serialize;

/// Time in which the need of a past phase decays to a third of itself. It covers the recurring
/// phases of some seconds and lets the peak of another hour go.
const PEAK_DECAY_TIME: Duration = Duration::from_secs(30);
/// Time over which the number of streams is averaged before it counts as a phase.
const STREAM_AVERAGING_TIME: Duration = Duration::from_secs(1);

/// Limits of one decode engine.
#[derive(Debug, Clone, Copy)]
pub(super) struct DecodeLimits {
    /// Streams that it runs concurrently.
    pub(super) slots: f32,
    /// Memory for KV caches, in tokens; infinite if unknown.
    pub(super) memory_tokens: f32,
    /// Transfer time of a token's KV cache, in seconds. Transfers to an engine follow one another.
    pub(super) token_transfer_seconds: f32,
}

/// Streams that run at all decode engines.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct DecodeStreams {
    /// Their number.
    pub(super) count: f32,
    /// Mean length of their prompts, in tokens.
    pub(super) mean_tokens: f32,
    /// Mean time that one of them runs, in seconds.
    pub(super) run_seconds: f32,
}

impl DecodeLimits {
    /// Returns how many streams of this mean size an engine can hold: the least of its slots,
    /// its memory, and the transfers that fit into the time of a run.
    fn capacity(&self, streams: &DecodeStreams) -> f32 {
        let tokens = streams.mean_tokens.max(1.0);
        let by_memory = self.memory_tokens / tokens;
        let transfer = tokens * self.token_transfer_seconds;
        let by_transfer =
            if transfer > 0.0 { streams.run_seconds / transfer } else { f32::INFINITY };
        self.slots.min(by_memory).min(by_transfer).max(1.0)
    }

    /// Returns how many engines the streams need so that few of them wait.
    ///
    /// Streams arrive at random, so an engine with a mean of `m` streams often has two standard
    /// deviations more, `m + 2 √m`. That has to fit its capacity.
    pub(super) fn engines_needed(&self, streams: &DecodeStreams) -> f32 {
        let capacity = self.capacity(streams);
        let mean = ((1.0 + capacity).sqrt() - 1.0).powi(2);
        streams.count / mean
    }
}

/// Largest number of decode engines that a recent phase needed.
#[derive(Debug, Clone, Default, Serialize)]
pub(super) struct DecodeNeed {
    /// Average need, in engines.
    now: f32,
    /// Peak of that average, which decays.
    peak: f32,
}

impl DecodeNeed {
    /// Adds a sample of the engines that the streams need, `interval` after the previous one.
    pub(super) fn add_sample(&mut self, engines: f32, interval: Duration) {
        let passed = interval.as_secs_f32();
        self.now += (passed / STREAM_AVERAGING_TIME.as_secs_f32()).min(1.0) * (engines - self.now);
        let decayed = self.peak * (-passed / PEAK_DECAY_TIME.as_secs_f32()).exp();
        self.peak = decayed.max(self.now);
    }

    /// Returns the engines that the largest recent phase needed.
    pub(super) fn peak(&self) -> f32 {
        self.peak
    }
}
