//! Prefill rates of the engines of each stage, from this process's samples.
//!
//! It serves the seconds after a start, a replacement or a change of stage, in which an engine has
//! no samples of its own yet.

use super::TargetStage;

/// Samples after which the rate of a stage becomes a moving average. Engines differ in speed, so it
/// takes more of them than the rate of one engine.
const MAX_SAMPLES: u32 = 50;

/// Mean prefill rates of the engines of each stage.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct TypicalRates {
    prefill: TypicalRate,
    decode: TypicalRate,
}

#[derive(Debug, Clone, Copy, Default)]
struct TypicalRate {
    /// Tokens per second.
    rate: f32,
    samples: u32,
}

impl TypicalRates {
    /// Adds a sample of an engine's rate, in tokens per second.
    pub(super) fn record(&mut self, stage: TargetStage, rate: f32) {
        let typical = match stage {
            TargetStage::Prefill | TargetStage::Plain => &mut self.prefill,
            TargetStage::Decode => &mut self.decode,
        };
        typical.samples = (typical.samples + 1).min(MAX_SAMPLES);
        typical.rate += (rate - typical.rate) / typical.samples as f32;
    }

    /// Returns the rate of a stage, in tokens per second; `None` without samples.
    pub(super) fn rate(&self, stage: TargetStage) -> Option<f32> {
        let typical = match stage {
            TargetStage::Prefill | TargetStage::Plain => self.prefill,
            TargetStage::Decode => self.decode,
        };
        (typical.samples > 0).then_some(typical.rate)
    }
}
