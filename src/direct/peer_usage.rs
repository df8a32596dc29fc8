//! Sums of what peers report of each target, so that the time of a decision does not grow with the
//! number of entries.

use std::collections::HashMap;

use super::{InFlight, TargetUsage, backlog::BacklogSum};
use crate::ids::TargetId;

/// Parts of a token per second in which rates are summed, so that what was added can be taken away
/// again without a remainder.
const RATE_PARTS: f64 = 1000.0;

/// What peers report of one target.
#[derive(Debug, Clone, Default)]
struct UsageSum {
    /// Number of peers that report it.
    peers: usize,
    running: u64,
    backlog: BacklogSum,
    samples: u64,
    /// Rates of the samples, in thousandths of a token per second.
    rates: u128,
}

/// Sums of what peers report, by target.
#[derive(Debug, Clone, Default)]
pub(super) struct PeerUsage {
    targets: HashMap<TargetId, UsageSum>,
}

impl PeerUsage {
    /// Adds what one peer reports of a target.
    pub(super) fn add(&mut self, usage: &TargetUsage) {
        let sum = self.targets.entry(usage.target.clone()).or_default();
        sum.peers += 1;
        sum.running += u64::from(usage.in_flight.running);
        sum.backlog.add(&usage.in_flight.backlog);
        sum.samples += u64::from(usage.samples);
        sum.rates += weighted_rate(usage);
    }

    /// Takes away what was added.
    pub(super) fn remove(&mut self, usage: &TargetUsage) {
        let Some(sum) = self.targets.get_mut(&usage.target) else { return };
        sum.peers -= 1;
        if sum.peers == 0 {
            self.targets.remove(&usage.target);
            return;
        }
        sum.running -= u64::from(usage.in_flight.running);
        sum.backlog.remove(&usage.in_flight.backlog);
        sum.samples -= u64::from(usage.samples);
        sum.rates -= weighted_rate(usage);
    }

    /// Returns the sum of all peers' work in flight at a target.
    pub(super) fn in_flight_at(&self, target: &TargetId) -> InFlight {
        let Some(sum) = self.targets.get(target) else { return InFlight::default() };
        InFlight { running: narrow(sum.running), backlog: sum.backlog.backlog() }
    }

    /// Returns the mean prefill rate that peers have measured, in tokens per second, and their
    /// number of samples. Both are 0 if no peer has measured one.
    pub(super) fn prefill_rate(&self, target: &TargetId) -> (f32, u32) {
        match self.targets.get(target) {
            Some(sum) if sum.samples > 0 => {
                let rate = sum.rates as f64 / RATE_PARTS / sum.samples as f64;
                (rate as f32, narrow(sum.samples))
            }
            _ => (0.0, 0),
        }
    }
}

fn weighted_rate(usage: &TargetUsage) -> u128 {
    // At least one part, as a rate is divided by.
    let rate = (f64::from(usage.prefill_rate) * RATE_PARTS).max(1.0) as u64;
    u128::from(rate) * u128::from(usage.samples)
}

fn narrow(number: u64) -> u32 {
    u32::try_from(number).unwrap_or(u32::MAX)
}
