//! Choice of a target for one step of a request.
//!
//! On a large route only a bounded sample of targets is compared, so that the cost of a
//! decision does not grow with the fleet. See [docs/POLICY.md](../../docs/POLICY.md).

use std::time::Duration;

use rand::{RngExt, rngs::SmallRng};
use serde::Serialize;
use smallvec::SmallVec;
use strum::{Display, EnumString};

use super::belief::{EstimateIndex, EstimateTable, TargetEstimate, runs_decode, runs_prefill};
use crate::{
    ids::{ClockTime, PrefixHash, SideId, TargetId},
    record::{EngineRole, TargetOffer},
    request::{PREFIX_BLOCK_TOKENS, kv_pages},
};

/// Number of candidates compared on a route with more than [`FULL_SCAN_LIMIT`] targets.
const SAMPLED_CANDIDATES: usize = 24;
/// Maximum number of candidates taken because they reported the prompt's prefix as cached.
const PREFIX_CANDIDATES: usize = 8;
/// Maximum number of targets of a route that are all compared.
const FULL_SCAN_LIMIT: usize = 32;
/// Time to transfer one page of KV cache between engines.
const TRANSFER_TIME_PER_PAGE: Duration = Duration::from_millis(5);
/// Fixed overhead of a KV cache transfer.
const TRANSFER_OVERHEAD: Duration = Duration::from_millis(20);

/// Relative increase of inter-token latency per additional running request.
const LATENCY_GROWTH_PER_REQUEST: f32 = 0.022;

/// Fraction of queued requests assumed to need an isolated run as well, one after the other.
const QUEUED_ISOLATED_SHARE: f32 = 0.2;

/// Estimated wait for each missing page and each waiting request, in seconds.
const MEMORY_WAIT_SECONDS: f32 = 0.2;

/// Policy by which targets are chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Display, EnumString)]
#[strum(serialize_all = "kebab-case")]
pub enum PlacementPolicy {
    /// Earliest estimated completion; refuses a request at once if that misses its deadline.
    EarliestEnd,
    /// Usable targets in turn, as a baseline for measurements.
    RoundRobin,
    /// Fewest waiting and running requests, as a baseline for measurements.
    LeastInFlight,
}

/// Requirements of the step to place.
#[derive(Debug, Clone)]
pub struct PlaceQuery<'a> {
    /// Name of the model or service.
    pub route: &'a str,
    /// Length of the prompt, with output generated so far, in tokens.
    pub prompt_tokens: u32,
    /// Output still expected, in tokens.
    pub expected_output: u32,
    /// Maximum output, in tokens.
    pub max_output: u32,
    /// Hashes of the prompt's prefixes at block boundaries, shortest first.
    pub prefixes: &'a [PrefixHash],
    /// Priority from 0 (first) to 9 (last).
    pub priority: u8,
    /// Time left until the deadline.
    pub time_left: Duration,
    /// Targets to skip, which declined or failed this request.
    pub tried: &'a [TargetId],
    /// Whether the request must run without others on its target, as it may crash it.
    pub isolated: bool,
}

/// Target chosen for one step.
#[derive(Debug, Clone, PartialEq)]
pub struct PlaceChoice {
    /// Chosen target.
    pub target: TargetId,
    /// Side in front of the target.
    pub side: SideId,
    /// Whether only prefill runs there, and decode on another engine.
    pub prefill_only: bool,
    /// Estimated time until the answer is complete.
    pub estimated_time: Duration,
}

/// Kind of the step to place.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum PlaceStep {
    /// Prefill, followed by decode on the same engine or another.
    Start,
    /// Decode from a KV cache on a prefill engine.
    Decode,
    /// Call of a plain service.
    Call,
}

/// Chooses targets; holds the state of the random and round-robin choices.
#[derive(Debug, Clone)]
pub(crate) struct TargetChooser {
    pub(crate) policy: PlacementPolicy,
    pub(crate) rng: SmallRng,
    pub(crate) turn: usize,
}

/// A target and the estimated duration of a step on it.
#[derive(Debug, Clone, Copy)]
struct RankedTarget {
    index: EstimateIndex,
    seconds: f32,
}

impl TargetChooser {
    /// Returns the best target by the policy, or `None` if no usable target can run the step.
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
                let best = self
                    .best_target(estimates, &candidates, |estimate| Some(call_seconds(estimate)))?;
                Some(make_choice(estimates, best, false))
            }
            PlaceStep::Decode => {
                let best = self.best_target(estimates, &candidates, |estimate| {
                    decode_seconds(estimate, query)
                })?;
                Some(make_choice(estimates, best, false))
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
        let mixed =
            self.best_target(estimates, candidates, |estimate| complete_seconds(estimate, query));
        let prefill =
            self.best_target(estimates, candidates, |estimate| prefill_seconds(estimate, query));
        let decode = self
            .best_target(estimates, candidates, |estimate| split_decode_seconds(estimate, query));
        let split = match (prefill, decode) {
            (Some(prefill), Some(decode)) if !query.isolated => {
                let transfer_time =
                    TRANSFER_OVERHEAD + TRANSFER_TIME_PER_PAGE * kv_pages(query.prompt_tokens);
                Some(RankedTarget {
                    index: prefill.index,
                    seconds: prefill.seconds + decode.seconds + transfer_time.as_secs_f32(),
                })
            }
            _ => None,
        };
        match (mixed, split) {
            (Some(mixed), Some(split)) if mixed.seconds <= split.seconds => {
                Some(make_choice(estimates, mixed, false))
            }
            (_, Some(split)) => Some(make_choice(estimates, split, true)),
            (Some(mixed), None) => Some(make_choice(estimates, mixed, false)),
            (None, None) => None,
        }
    }

    fn best_target(
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
                ranked.min_by_key(|target| in_flight(estimates.at(target.index)))
            }
            PlacementPolicy::RoundRobin => {
                let targets: SmallVec<[RankedTarget; 32]> = ranked.collect();
                self.turn += 1;
                (!targets.is_empty()).then(|| targets[self.turn % targets.len()])
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
        let mut candidates = SmallVec::new();
        for prefix in query.prefixes.iter().rev() {
            let holders = estimates.holders(*prefix);
            candidates.extend(holders.iter().copied().filter(usable).take(PREFIX_CANDIDATES));
            if !candidates.is_empty() {
                break;
            }
        }
        for _ in 0..SAMPLED_CANDIDATES * 2 {
            if candidates.len() >= SAMPLED_CANDIDATES {
                break;
            }
            let index = all[self.rng.random_range(0..all.len())];
            if usable(&index) && !candidates.contains(&index) {
                candidates.push(index);
            }
        }
        candidates
    }
}

fn make_choice(estimates: &EstimateTable, target: RankedTarget, prefill_only: bool) -> PlaceChoice {
    let estimate = estimates.at(target.index);
    PlaceChoice {
        target: estimate.load.target.clone(),
        side: estimate.side.clone(),
        prefill_only,
        estimated_time: Duration::from_secs_f32(target.seconds.clamp(0.0, 1.0e6)),
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

fn prompt_seconds(estimate: &TargetEstimate, query: &PlaceQuery<'_>) -> f32 {
    let known = query.prefixes.iter().rposition(|prefix| estimate.has_prefix(*prefix));
    let cached = known.map_or(0, |index| (index as u32 + 1) * PREFIX_BLOCK_TOKENS);
    let waiting =
        estimate.load.tokens_ahead(query.priority) + estimate.added_tokens_ahead(query.priority);
    let own = query.prompt_tokens.saturating_sub(cached);
    (waiting as f32 + own as f32) / estimate.load.prefill_rate.max(1.0)
}

fn output_seconds(estimate: &TargetEstimate, query: &PlaceQuery<'_>) -> f32 {
    let growth = 1.0 + LATENCY_GROWTH_PER_REQUEST * estimate.added as f32;
    query.expected_output as f32 * estimate.load.inter_token_ms * growth / 1000.0
}

/// Estimates the additional time of decode beside the prefill of prompts that come after the
/// request's own.
fn mixed_delay_seconds(estimate: &TargetEstimate, query: &PlaceQuery<'_>) -> f32 {
    let mixed_ms = estimate.load.mixed_inter_token_ms;
    let additional_ms = (mixed_ms - estimate.load.inter_token_ms).max(0.0);
    if additional_ms == 0.0 {
        return 0.0;
    }
    let lowest = u8::MAX;
    let waiting = estimate.load.tokens_ahead(lowest) + estimate.added_tokens_ahead(lowest);
    let ahead =
        estimate.load.tokens_ahead(query.priority) + estimate.added_tokens_ahead(query.priority);
    let prefill_ms = 1000.0 * (waiting - ahead) as f32 / estimate.load.prefill_rate.max(1.0);
    let mixed_tokens = (prefill_ms / mixed_ms).min(query.expected_output as f32);
    mixed_tokens * additional_ms / 1000.0
}

/// Estimates how long an isolated request waits until the target runs nothing else.
fn isolation_wait_seconds(estimate: &TargetEstimate, query: &PlaceQuery<'_>) -> f32 {
    if !query.isolated || in_flight(estimate) == 0 {
        return 0.0;
    }
    let queued = (estimate.load.waiting + estimate.added) as f32;
    output_seconds(estimate, query) * (1.0 + QUEUED_ISOLATED_SHARE * queued)
}

fn complete_seconds(estimate: &TargetEstimate, query: &PlaceQuery<'_>) -> Option<f32> {
    if estimate.load.role != Some(EngineRole::Mixed) || !fits(estimate, query) {
        return None;
    }
    Some(
        prompt_seconds(estimate, query)
            + output_seconds(estimate, query)
            + mixed_delay_seconds(estimate, query)
            + isolation_wait_seconds(estimate, query),
    )
}

fn prefill_seconds(estimate: &TargetEstimate, query: &PlaceQuery<'_>) -> Option<f32> {
    let runs_stage = estimate.load.role == Some(EngineRole::Prefill);
    runs_stage.then(|| prompt_seconds(estimate, query))
}

fn split_decode_seconds(estimate: &TargetEstimate, query: &PlaceQuery<'_>) -> Option<f32> {
    let runs_stage = estimate.load.role == Some(EngineRole::Decode);
    runs_stage.then(|| output_seconds(estimate, query) + memory_wait_seconds(estimate, query))
}

fn decode_seconds(estimate: &TargetEstimate, query: &PlaceQuery<'_>) -> Option<f32> {
    let role = estimate.load.role?;
    let seconds = output_seconds(estimate, query) + memory_wait_seconds(estimate, query);
    (runs_decode(role)
        && (role == EngineRole::Decode || !runs_prefill(role) || fits(estimate, query)))
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

/// Estimates how long a request waits for KV cache memory.
fn memory_wait_seconds(estimate: &TargetEstimate, query: &PlaceQuery<'_>) -> f32 {
    let needed = kv_pages(query.prompt_tokens + query.max_output);
    let missing = needed.saturating_sub(estimate.free_pages()) + estimate.load.waiting;
    missing as f32 * MEMORY_WAIT_SECONDS
}
