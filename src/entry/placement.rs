//! Choice of targets for one request.
//!
//! The choice looks at a bounded number of candidates, so that its time does
//! not grow with the fleet. See [docs/POLICY.md](../../docs/POLICY.md).

use std::time::Duration;

use rand::{RngExt, rngs::SmallRng};
use serde::Serialize;
use smallvec::SmallVec;
use strum::{Display, EnumString};

use super::belief::{EstimateIndex, EstimateTable, TargetEstimate, generates, reads_prompts};
use crate::{
    ids::{ClockTime, PrefixHash, SideId, TargetId},
    record::{EngineRole, TargetOffer},
    request::{PREFIX_BLOCK_TOKENS, kv_pages},
};

/// Candidates that are drawn where a route has more targets.
const SAMPLED_CANDIDATES: usize = 24;
/// Candidates that are added because they may hold the prompt's prefix.
const PREFIX_CANDIDATES: usize = 8;
/// Routes of at most this many targets are looked at as a whole.
const FULL_SCAN_LIMIT: usize = 32;
/// Time to move the KV cache of one page between engines.
const MOVE_PER_PAGE: Duration = Duration::from_millis(5);
/// Fixed time of such a move.
const MOVE_FIXED: Duration = Duration::from_millis(20);

/// Part by which one more running request lengthens the time between tokens.
const GAP_PER_RUN: f32 = 0.022;

/// Part of queued requests that are taken for suspects, which run one after the other.
const QUEUED_ALONE_SHARE: f32 = 0.2;

/// How targets are chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Display, EnumString)]
#[strum(serialize_all = "kebab-case")]
pub enum PlacementPolicy {
    /// By the estimated end, refusing at once what cannot be in time.
    EarliestEnd,
    /// In turn; a baseline for measurements.
    RoundRobin,
    /// Fewest requests waiting and running; a baseline for measurements.
    LeastInFlight,
}

/// What a request needs.
#[derive(Debug, Clone)]
pub struct PlaceQuery<'a> {
    /// Model or service.
    pub route: &'a str,
    /// Length of the prompt, in tokens.
    pub prompt_tokens: u32,
    /// Expected output, in tokens.
    pub expected_output: u32,
    /// Longest output, in tokens.
    pub max_output: u32,
    /// Hashes of the prompt's prefixes, shortest first.
    pub prefixes: &'a [PrefixHash],
    /// Priority from 0 (first) to 9 (last).
    pub priority: u8,
    /// Time left until the deadline.
    pub time_left: Duration,
    /// Targets that declined or failed.
    pub tried: &'a [TargetId],
    /// Whether the target must run nothing else.
    pub alone: bool,
}

/// The chosen target of one step.
#[derive(Debug, Clone, PartialEq)]
pub struct PlaceChoice {
    /// The target.
    pub target: TargetId,
    /// Its side.
    pub side: SideId,
    /// Whether the request only gets its prompt read there.
    pub prefill_only: bool,
    /// Estimated time until the whole answer is there.
    pub finish: Duration,
}

/// Step of a request that is being placed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum PlaceStep {
    Start,
    Decode,
    Call,
}

/// Chooser with its random numbers and turn counter.
#[derive(Debug, Clone)]
pub(crate) struct TargetChooser {
    pub(crate) policy: PlacementPolicy,
    pub(crate) rng: SmallRng,
    pub(crate) turn: usize,
}

#[derive(Debug, Clone, Copy)]
struct RankedTarget {
    index: EstimateIndex,
    seconds: f32,
}

impl TargetChooser {
    /// Returns the best choice, or `None` where no target is usable.
    pub(crate) fn choose(
        &mut self,
        now: ClockTime,
        estimates: &EstimateTable,
        query: &PlaceQuery<'_>,
        step: PlaceStep,
    ) -> Option<PlaceChoice> {
        let candidates = self.candidates(now, estimates, query);
        match step {
            PlaceStep::Call => {
                let best = self.best(estimates, &candidates, |b| Some(call_seconds(b)))?;
                Some(choice(estimates, best, false))
            }
            PlaceStep::Decode => {
                let best = self.best(estimates, &candidates, |b| decode_seconds(b, query))?;
                Some(choice(estimates, best, false))
            }
            PlaceStep::Start => self.choose_start(estimates, &candidates, query),
        }
    }

    fn choose_start(
        &mut self,
        estimates: &EstimateTable,
        candidates: &[EstimateIndex],
        query: &PlaceQuery<'_>,
    ) -> Option<PlaceChoice> {
        let whole = self.best(estimates, candidates, |b| complete_seconds(b, query));
        let read = self.best(estimates, candidates, |b| prefill_seconds(b, query));
        let write = self.best(estimates, candidates, |b| split_decode_seconds(b, query));
        let split = match (read, write) {
            (Some(read), Some(write)) if !query.alone => {
                let move_time = MOVE_FIXED + MOVE_PER_PAGE * kv_pages(query.prompt_tokens);
                Some(RankedTarget {
                    index: read.index,
                    seconds: read.seconds + write.seconds + move_time.as_secs_f32(),
                })
            }
            _ => None,
        };
        match (whole, split) {
            (Some(whole), Some(split)) if whole.seconds <= split.seconds => {
                Some(choice(estimates, whole, false))
            }
            (_, Some(split)) => Some(choice(estimates, split, true)),
            (Some(whole), None) => Some(choice(estimates, whole, false)),
            (None, None) => None,
        }
    }

    fn best(
        &mut self,
        estimates: &EstimateTable,
        candidates: &[EstimateIndex],
        seconds: impl Fn(&TargetEstimate) -> Option<f32>,
    ) -> Option<RankedTarget> {
        let rank = |index: &EstimateIndex| {
            seconds(estimates.at(*index)).map(|seconds| RankedTarget { index: *index, seconds })
        };
        let ranked = candidates.iter().filter_map(rank);
        match self.policy {
            PlacementPolicy::EarliestEnd => ranked.min_by(|a, b| a.seconds.total_cmp(&b.seconds)),
            PlacementPolicy::LeastInFlight => {
                ranked.min_by_key(|e| in_flight(estimates.at(e.index)))
            }
            PlacementPolicy::RoundRobin => {
                let able: SmallVec<[RankedTarget; 32]> = ranked.collect();
                self.turn += 1;
                (!able.is_empty()).then(|| able[self.turn % able.len()])
            }
        }
    }

    fn candidates(
        &mut self,
        now: ClockTime,
        estimates: &EstimateTable,
        query: &PlaceQuery<'_>,
    ) -> SmallVec<[EstimateIndex; 64]> {
        let all = estimates.route(query.route);
        let usable = |index: &EstimateIndex| {
            let estimate = estimates.at(*index);
            estimate.is_usable(now) && !query.tried.contains(&estimate.load.target)
        };
        if all.len() <= FULL_SCAN_LIMIT || self.policy != PlacementPolicy::EarliestEnd {
            return all.iter().copied().filter(usable).collect();
        }
        let mut drawn = SmallVec::new();
        for prefix in query.prefixes.iter().rev() {
            let holders = estimates.holders(*prefix);
            drawn.extend(holders.iter().copied().filter(usable).take(PREFIX_CANDIDATES));
            if !drawn.is_empty() {
                break;
            }
        }
        for _ in 0..SAMPLED_CANDIDATES * 2 {
            if drawn.len() >= SAMPLED_CANDIDATES {
                break;
            }
            let index = all[self.rng.random_range(0..all.len())];
            if usable(&index) && !drawn.contains(&index) {
                drawn.push(index);
            }
        }
        drawn
    }
}

fn choice(estimates: &EstimateTable, target: RankedTarget, prefill_only: bool) -> PlaceChoice {
    let estimate = estimates.at(target.index);
    PlaceChoice {
        target: estimate.load.target.clone(),
        side: estimate.side.clone(),
        prefill_only,
        finish: Duration::from_secs_f32(target.seconds.clamp(0.0, 1.0e6)),
    }
}

fn in_flight(estimate: &TargetEstimate) -> u32 {
    estimate.load.waiting + estimate.load.running + estimate.added
}

fn call_seconds(estimate: &TargetEstimate) -> f32 {
    let slots = match estimate.offer {
        TargetOffer::Service { slots, .. } => slots.max(1),
        TargetOffer::Engine { .. } => 1,
    };
    let rounds = in_flight(estimate) as f32 / slots as f32 + 1.0;
    rounds * estimate.load.call_ms / 1000.0
}

fn read_seconds(estimate: &TargetEstimate, query: &PlaceQuery<'_>) -> f32 {
    let known = query.prefixes.iter().rposition(|prefix| estimate.has_prefix(*prefix));
    let cached = known.map_or(0, |index| (index as u32 + 1) * PREFIX_BLOCK_TOKENS);
    let waiting =
        estimate.load.tokens_ahead(query.priority) + estimate.added_tokens_ahead(query.priority);
    let own = query.prompt_tokens.saturating_sub(cached);
    (waiting as f32 + own as f32) / estimate.load.prefill_rate.max(1.0)
}

fn write_seconds(estimate: &TargetEstimate, query: &PlaceQuery<'_>) -> f32 {
    let growth = 1.0 + GAP_PER_RUN * estimate.added as f32;
    query.expected_output as f32 * estimate.load.inter_token_ms * growth / 1000.0
}

/// Estimates how long a suspect waits until a target runs nothing else.
fn waits_alone(estimate: &TargetEstimate, query: &PlaceQuery<'_>) -> f32 {
    if !query.alone || in_flight(estimate) == 0 {
        return 0.0;
    }
    let queued = (estimate.load.waiting + estimate.added) as f32;
    write_seconds(estimate, query) * (1.0 + QUEUED_ALONE_SHARE * queued)
}

fn complete_seconds(estimate: &TargetEstimate, query: &PlaceQuery<'_>) -> Option<f32> {
    if estimate.load.role != Some(EngineRole::Mixed) || !fits(estimate, query) {
        return None;
    }
    Some(
        read_seconds(estimate, query)
            + write_seconds(estimate, query)
            + waits_alone(estimate, query),
    )
}

fn prefill_seconds(estimate: &TargetEstimate, query: &PlaceQuery<'_>) -> Option<f32> {
    let able = estimate.load.role == Some(EngineRole::Prefill);
    able.then(|| read_seconds(estimate, query))
}

fn split_decode_seconds(estimate: &TargetEstimate, query: &PlaceQuery<'_>) -> Option<f32> {
    let able = estimate.load.role == Some(EngineRole::Decode);
    able.then(|| write_seconds(estimate, query) + memory_wait(estimate, query))
}

fn decode_seconds(estimate: &TargetEstimate, query: &PlaceQuery<'_>) -> Option<f32> {
    let role = estimate.load.role?;
    let seconds = write_seconds(estimate, query) + memory_wait(estimate, query);
    (generates(role)
        && (role == EngineRole::Decode || !reads_prompts(role) || fits(estimate, query)))
    .then_some(seconds)
}

fn fits(estimate: &TargetEstimate, query: &PlaceQuery<'_>) -> bool {
    match estimate.offer {
        TargetOffer::Engine { kv_pages: total, .. } => {
            kv_pages(query.prompt_tokens + query.max_output) <= total
        }
        TargetOffer::Service { .. } => true,
    }
}

/// Estimates how long memory has to be waited for.
fn memory_wait(estimate: &TargetEstimate, query: &PlaceQuery<'_>) -> f32 {
    let needed = kv_pages(query.prompt_tokens + query.max_output);
    let missing = needed.saturating_sub(estimate.free_pages()) + estimate.load.waiting;
    missing as f32 * 0.2
}
