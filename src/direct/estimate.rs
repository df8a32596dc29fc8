//! Choice of the target whose answer is expected to begin first.

use std::{net::SocketAddr, time::Duration};

use rand::{RngExt, rngs::SmallRng};
use siphasher::sip::SipHasher13;
use smallvec::SmallVec;
use std::hash::{Hash, Hasher};

use super::{
    CallStep, EngineConfig, InFlight, Locality, PeerTable, PromptShape, ServiceName,
    flow::StepKind,
    target::{CALL_OVERHEAD, TargetFleet, TargetStage, TargetState},
};
use crate::ids::{ClockTime, DataCentreId, TargetId};

/// What a call to another data centre takes longer, in seconds.
const REMOTE_CALL_SECONDS: f32 = 0.003;
/// KV cache between data centres takes this many times as long; a platform page.
const REMOTE_TRANSFER_FACTOR: f32 = 2.0;
/// Time of one run before any was timed, in seconds.
const INITIAL_RUN_SECONDS: f32 = 0.15;
/// What a target that always fails is taken to cost, in seconds.
const FAILURE_COST_SECONDS: f32 = 1.0;
/// Shared parts shorter than this are not worth a home, in tokens.
pub(super) const MIN_AFFINITY_TOKENS: u32 = 1024;
/// What reading costs the requests that come after it at the same engine, as a
/// part of the reading time. Without it a busy home sends its subjects to
/// engines that have to read their shared parts anew, which fills those as well.
const PREFILL_COST_FACTOR: f32 = 1.0;
/// The same at an engine that generates: each running stream there waits for
/// every chunk of the prompt.
const DECODE_PREFILL_COST_FACTOR: f32 = 2.0;
/// Prompt tokens that such an engine reads between two tokens of its streams; a
/// platform page and the deployments' sheets.
const DECODE_CHUNK_TOKENS: f32 = 256.0;
/// Tokens in one event of a stream; from the deployments' configuration.
const EVENT_TOKENS: f32 = 12.0;
/// Longest pause between events with which an answer is still in time, in
/// seconds, less a margin; from the deployments' sheets.
const MAX_EVENT_GAP_SECONDS: f32 = 0.14;
/// Prompts that are read within one event lengthen no pause beyond the limit.
const SHORT_PREFILL_TOKENS: u32 = 1024;
/// What making the streams of an engine late is taken to cost, in seconds.
const LATE_STREAM_COST_SECONDS: f32 = 1.5;
/// Random spread between equal estimates, in seconds, so that entries do not
/// all choose the same target.
const TIE_BREAK_SECONDS: f32 = 0.002;

/// What is being placed.
pub(super) struct PlacementQuery<'a> {
    pub(super) service: &'a ServiceName,
    pub(super) engine: Option<&'a EngineConfig>,
    pub(super) prompt: Option<&'a PromptShape>,
    pub(super) tried: &'a [TargetId],
    pub(super) data_centre: &'a DataCentreId,
    /// Whether its answer cannot be in time any more.
    pub(super) late: bool,
}

/// The chosen target.
#[derive(Debug, Clone, PartialEq)]
pub(super) struct Placement {
    pub(super) target: TargetId,
    pub(super) step: StepKind,
    /// Prompt tokens that the target has to read.
    pub(super) prefill_tokens: u32,
    /// Expected time to the first output.
    pub(super) seconds: f32,
    /// Part of it that the request itself needs.
    pub(super) own_seconds: f32,
    /// What the placement costs others, in seconds.
    external_cost: f32,
}

impl Placement {
    /// Returns the expected time to the first output.
    pub(super) fn expected(&self) -> Duration {
        duration(self.seconds)
    }

    /// Returns the expected time that it waits for others.
    pub(super) fn waiting(&self) -> Duration {
        duration(self.seconds - self.own_seconds)
    }

    fn cost(&self) -> f32 {
        self.seconds + self.external_cost
    }
}

/// Beliefs that a choice is made from.
pub(super) struct PlacementView<'a> {
    pub(super) fleet: &'a TargetFleet,
    pub(super) peers: &'a PeerTable,
    pub(super) now: ClockTime,
}

impl PlacementView<'_> {
    /// Chooses a target for a new request, or `None` where none takes work.
    pub(super) fn choose(
        &self,
        rng: &mut SmallRng,
        query: &PlacementQuery<'_>,
    ) -> Option<Placement> {
        let candidates = self.candidates(query);
        match query.prompt {
            None => cheapest(rng, candidates.iter().map(|state| self.estimate_plain(state, query))),
            Some(prompt) => self.choose_engine(rng, query, prompt, &candidates),
        }
    }

    /// Chooses a target that goes on from a KV cache.
    pub(super) fn choose_decode(
        &self,
        rng: &mut SmallRng,
        query: &PlacementQuery<'_>,
        source: &TargetState,
    ) -> Option<Placement> {
        let candidates = self.candidates(query);
        let prompt = query.prompt?;
        let able = candidates.iter().filter(|state| state.target.stage == TargetStage::Decode);
        cheapest(rng, able.map(|state| self.estimate_decode(state, query, prompt, source)))
    }

    fn choose_engine(
        &self,
        rng: &mut SmallRng,
        query: &PlacementQuery<'_>,
        prompt: &PromptShape,
        candidates: &[&TargetState],
    ) -> Option<Placement> {
        let home = affinity_key(prompt);
        let prefill_engines =
            candidates.iter().filter(|state| state.target.stage == TargetStage::Prefill);
        let decode_engines =
            candidates.iter().filter(|state| state.target.stage == TargetStage::Decode);
        let prefill_home = home.and_then(|key| affinity_target(key, prefill_engines.clone()));
        let decode_home = home.and_then(|key| affinity_target(key, decode_engines.clone()));
        let run = cheapest(
            rng,
            decode_engines.clone().map(|state| {
                self.estimate_run(state, query, prompt, decode_home == Some(&state.target.id))
            }),
        );
        let prefill = cheapest(
            rng,
            prefill_engines.map(|state| {
                self.estimate_prefill(state, query, prompt, prefill_home == Some(&state.target.id))
            }),
        );
        let Some(prefill) = prefill else { return run };
        let source = self.fleet.get(&prefill.target)?;
        let decode = cheapest(
            rng,
            decode_engines.map(|state| self.estimate_decode(state, query, prompt, source)),
        );
        let Some(decode) = decode else { return run };
        let split = Placement {
            external_cost: prefill.external_cost + decode.external_cost,
            seconds: prefill.seconds + decode.seconds,
            own_seconds: prefill.own_seconds + decode.own_seconds,
            ..prefill
        };
        match run {
            Some(run) if run.cost() <= split.cost() => Some(run),
            _ => Some(split),
        }
    }

    fn candidates(&self, query: &PlacementQuery<'_>) -> SmallVec<[&TargetState; 32]> {
        let allowed = |state: &&TargetState| {
            state.target.service == *query.service
                && !state.target.leaving
                && !query.tried.contains(&state.target.id)
        };
        let not_paused = |state: &&TargetState| state.paused_until <= self.now;
        let all: SmallVec<_> = self.fleet.iter().filter(allowed).collect();
        let ready: SmallVec<_> = all.iter().copied().filter(not_paused).collect();
        if ready.is_empty() { all } else { ready }
    }

    fn estimate_plain(&self, state: &TargetState, query: &PlacementQuery<'_>) -> Placement {
        let own = self.call_overhead(state, query);
        placement(state, StepKind::Run, self.slot_wait(state), own)
    }

    /// Estimates a run that reads its prompt where it generates.
    fn estimate_run(
        &self,
        state: &TargetState,
        query: &PlacementQuery<'_>,
        prompt: &PromptShape,
        is_home: bool,
    ) -> Placement {
        let rate = self.rate(state);
        let tokens = uncached_tokens(state, prompt);
        let waiting = self.prefill_wait(state, query.late) + self.slot_wait(state);
        let own = tokens as f32 / rate + self.call_overhead(state, query);
        let displacing = displacing_tokens(state, prompt, is_home) as f32 / rate;
        let event_gap = EVENT_TOKENS * DECODE_CHUNK_TOKENS / rate;
        let delays_streams = tokens > SHORT_PREFILL_TOKENS && event_gap > MAX_EVENT_GAP_SECONDS;
        let stream_cost = if delays_streams { LATE_STREAM_COST_SECONDS } else { 0.0 };
        let placed = placement(state, StepKind::Run, waiting, own);
        let external_cost =
            placed.external_cost + displacing * DECODE_PREFILL_COST_FACTOR + stream_cost;
        Placement { prefill_tokens: tokens, external_cost, ..placed }
    }

    fn estimate_prefill(
        &self,
        state: &TargetState,
        query: &PlacementQuery<'_>,
        prompt: &PromptShape,
        is_home: bool,
    ) -> Placement {
        let rate = self.rate(state);
        let tokens = uncached_tokens(state, prompt);
        let own = tokens as f32 / rate + self.call_overhead(state, query);
        let placed = placement(state, StepKind::Prefill, self.prefill_wait(state, query.late), own);
        let displacing = displacing_tokens(state, prompt, is_home) as f32 / rate;
        let external_cost = placed.external_cost + displacing * PREFILL_COST_FACTOR;
        Placement { prefill_tokens: tokens, external_cost, ..placed }
    }

    fn estimate_decode(
        &self,
        state: &TargetState,
        query: &PlacementQuery<'_>,
        prompt: &PromptShape,
        source: &TargetState,
    ) -> Placement {
        let locality = Locality::between(&source.target.data_centre, &state.target.data_centre);
        let factor = match locality {
            Locality::Local => 1.0,
            Locality::Remote => REMOTE_TRANSFER_FACTOR,
        };
        let bits = query.engine.map_or(0.0, |terms| terms.token_bytes * 8.0 / terms.link_bits);
        let transfer = prompt.tokens as f32 * bits as f32 * factor;
        let own = transfer + self.call_overhead(state, query);
        placement(state, StepKind::Decode, self.slot_wait(state), own)
    }

    /// Returns the time that a prompt waits for those before it, in seconds.
    pub(super) fn prefill_wait(&self, state: &TargetState, late: bool) -> f32 {
        self.in_flight(state).tokens_ahead(late) as f32 / self.rate(state)
    }

    /// Returns what all entries have in flight at a target.
    pub(super) fn in_flight(&self, state: &TargetState) -> InFlight {
        state.in_flight + self.peers.in_flight_at(&state.target.id)
    }

    /// Returns the prompt tokens that a target reads in a second, by all entries' timings.
    pub(super) fn rate(&self, state: &TargetState) -> f32 {
        state.combined_rate(self.peers.prefill_rate(&state.target.id))
    }

    fn slot_wait(&self, state: &TargetState) -> f32 {
        let running = self.in_flight(state).running;
        let slots = state.target.slots.max(1);
        let run = if state.run_seconds > 0.0 { state.run_seconds } else { INITIAL_RUN_SECONDS };
        // A fuller batch is slower, so that part of a run counts even where a slot is free.
        let crowding = 0.1 * run * running.min(slots) as f32 / slots as f32;
        let rounds = (running + 1).saturating_sub(slots) as f32 / slots as f32;
        crowding + rounds * run
    }

    fn call_overhead(&self, state: &TargetState, query: &PlacementQuery<'_>) -> f32 {
        let remote = match Locality::between(query.data_centre, &state.target.data_centre) {
            Locality::Local => 0.0,
            Locality::Remote => REMOTE_CALL_SECONDS,
        };
        CALL_OVERHEAD.as_secs_f32() + remote
    }
}

fn placement(state: &TargetState, step: StepKind, waiting: f32, own_seconds: f32) -> Placement {
    Placement {
        target: state.target.id.clone(),
        step,
        prefill_tokens: 0,
        seconds: waiting + own_seconds,
        own_seconds,
        external_cost: state.failure_rate * FAILURE_COST_SECONDS,
    }
}

fn duration(seconds: f32) -> Duration {
    Duration::from_secs_f32(seconds.clamp(0.0, 3600.0))
}

fn cheapest(rng: &mut SmallRng, placements: impl Iterator<Item = Placement>) -> Option<Placement> {
    let spread = placements.map(|p| (p.cost() + rng.random::<f32>() * TIE_BREAK_SECONDS, p));
    spread.min_by(|a, b| a.0.total_cmp(&b.0)).map(|(_, placement)| placement)
}

/// Returns the tokens that a target has to read.
fn uncached_tokens(state: &TargetState, prompt: &PromptShape) -> u32 {
    prompt.tokens.saturating_sub(state.cached_prefix_tokens(prompt)).max(1)
}

/// Returns the reading that keeps a target from later requests, in tokens. The
/// shared parts do not count at their home: reading them there serves those.
fn displacing_tokens(state: &TargetState, prompt: &PromptShape, is_home: bool) -> u32 {
    if is_home {
        prompt.tokens.saturating_sub(shared_tokens(prompt)).max(1)
    } else {
        uncached_tokens(state, prompt)
    }
}

pub(super) fn shared_tokens(prompt: &PromptShape) -> u32 {
    let shared = prompt.segments.len().saturating_sub(1);
    prompt.segments.iter().take(shared).map(|segment| segment.tokens).sum()
}

/// Returns the key of a prompt's shared parts, if they are long enough for a home.
fn affinity_key(prompt: &PromptShape) -> Option<u64> {
    if shared_tokens(prompt) < MIN_AFFINITY_TOKENS {
        return None;
    }
    let mut hasher = SipHasher13::new();
    let shared = prompt.segments.len() - 1;
    prompt.segments[..shared].iter().for_each(|segment| segment.id.hash(&mut hasher));
    Some(hasher.finish())
}

/// Returns the home of a key by rendezvous hashing, which moves few keys when
/// targets come and go, and is the same at every entry.
///
/// Faster engines get no more homes: all have the same memory, and with more
/// subjects than fit in it an engine reads each of them anew.
fn affinity_target<'a, 'b: 'a>(
    key: u64,
    states: impl Iterator<Item = &'a &'b TargetState>,
) -> Option<&'b TargetId> {
    let weight = |state: &&&TargetState| {
        let mut hasher = SipHasher13::new();
        (key, &*state.target.id).hash(&mut hasher);
        hasher.finish()
    };
    states.max_by_key(weight).map(|state| &state.target.id)
}

/// Makes the call step of a placement.
pub(super) fn call_step(
    step: StepKind,
    cache: Option<(SocketAddr, std::sync::Arc<str>)>,
) -> CallStep {
    match (step, cache) {
        (StepKind::Prefill, _) => CallStep::Prefill,
        (StepKind::Decode, Some((source, handle))) => CallStep::Decode { source, handle },
        (StepKind::Decode, None) | (StepKind::Run, _) => CallStep::Run,
    }
}
