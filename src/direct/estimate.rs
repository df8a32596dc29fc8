//! Placement: chooses the target with the lowest expected time to first output and cost.

use std::{net::SocketAddr, time::Duration};

use rand::{RngExt, rngs::SmallRng};
use smallvec::SmallVec;

use super::{
    CallStep, EngineConfig, InFlight, LimitTable, Locality, PeerTable, PromptShape, ServiceName,
    SoftwareVersion,
    affinity::{DECODE_HOMES, PREFILL_HOMES, PrefixHomes, has_homes, shared_tokens},
    compared::{ComparedEngines, draw_compared},
    flow::StepKind,
    load::report_interval,
    prefix_copy::{PrefixCopy, PrefixHolders, transfer_seconds},
    target::{CALL_OVERHEAD, TargetFleet, TargetStage, TargetState},
};
use crate::ids::{ClockTime, DataCentreId, TargetId};

/// Additional time of a call to another data centre, in seconds.
const REMOTE_CALL_SECONDS: f32 = 0.003;
/// Cost of an engine in another data centre, relative to the interval between peers' reports:
/// their mean age.
///
/// All entries know the same reports and would choose the same engines until the next ones.
/// Those of a data centre that prefer its engines share each with few others.
const STALE_REPORT_COST_SHARE: f32 = 0.5;
/// Largest such cost, relative to the request's latency objective, so that a wait for a local
/// engine does not use up the objective while remote ones are idle.
const MAX_STALE_COST_SHARE: f32 = 0.5;
/// Assumed run time before any run was timed, in seconds.
pub(super) const INITIAL_RUN_SECONDS: f32 = 0.15;
/// Cost of a target whose calls all fail, in seconds; it scales with the failure rate.
const FAILURE_COST_SECONDS: f32 = 1.0;
/// Cost of a prefill to later requests at the same engine, relative to the prefill time.
/// Without it a busy home engine's prefixes spill over to engines that must prefill them
/// again, which overloads those engines as well.
const PREFILL_COST_FACTOR: f32 = 1.0;
/// The same for an engine in the decode stage, where each running stream waits for every
/// chunk of the prompt.
const DECODE_PREFILL_COST_FACTOR: f32 = 2.0;
/// Prompt tokens that an engine in the decode stage prefills between two output tokens.
const DECODE_CHUNK_TOKENS: f32 = 256.0;
/// Cost of a copied prefix to later requests, relative to the transfer time: it occupies the links
/// of two engines.
const COPY_COST_FACTOR: f32 = 2.0;
/// Output tokens in one event of a stream.
const EVENT_TOKENS: f32 = 12.0;
/// Longest time between two events of a response that is in time, less a margin, in seconds.
const MAX_EVENT_GAP_SECONDS: f32 = 0.14;
/// Longest prompt whose prefill fits within one event, so that it delays no stream beyond
/// the limit, in tokens.
const SHORT_PREFILL_TOKENS: u32 = 1024;
/// Cost of making the running streams of an engine late, in seconds.
const LATE_STREAM_COST_SECONDS: f32 = 1.5;
/// Upper bound of the random addition to each estimate, in seconds. It keeps entries from
/// all choosing the same target.
const TIE_BREAK_SECONDS: f32 = 0.002;

/// Longest estimate, in seconds.
const MAX_ESTIMATE_SECONDS: f32 = 3600.0;

/// Whether a request's response is part of a stream that may go on at another target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum StreamPart {
    /// It is none.
    None,
    /// It begins one, whose version has to be known later.
    Begins,
    /// It goes on with one, at the version that began it.
    GoesOn,
}

/// Properties of a request that determine its placement.
pub(super) struct PlacementQuery<'a> {
    pub(super) service: &'a ServiceName,
    pub(super) engine: Option<&'a EngineConfig>,
    pub(super) prompt: Option<&'a PromptShape>,
    /// Software version that the target must have; `None` for any.
    pub(super) version: Option<&'a SoftwareVersion>,
    pub(super) tried: &'a [TargetId],
    /// Engines that are no sources of copies for the request.
    pub(super) failed_sources: &'a [TargetId],
    pub(super) stream: StreamPart,
    pub(super) data_centre: &'a DataCentreId,
    /// Latency objective of the request's route.
    pub(super) objective: Duration,
    /// Priority of the request at targets.
    pub(super) priority: u8,
}

/// Target for the next call of a request, with the estimates behind the choice.
#[derive(Debug, Clone, PartialEq)]
pub(super) struct Placement {
    pub(super) target: TargetId,
    pub(super) step: StepKind,
    /// Engine that is to decode after a separate prefill.
    pub(super) decode: Option<TargetId>,
    /// Prompt tokens that the target has to prefill.
    pub(super) prefill_tokens: u32,
    /// Copy of a part of the prompt from another engine, before the prefill.
    pub(super) copy: Option<PrefixCopy>,
    /// Expected time to the first output, in seconds.
    pub(super) seconds: f32,
    /// Part of that time until the next call has its first output or ends, in seconds.
    call_seconds: f32,
    /// Share of that time that the request itself needs, in seconds.
    pub(super) own_seconds: f32,
    /// Estimated cost of the placement to other requests, in seconds.
    external_cost: f32,
}

impl Placement {
    /// Returns the expected time to the first output.
    pub(super) fn expected(&self) -> Duration {
        duration(self.seconds)
    }

    /// Returns the expected time to the first output of the next call, or to the end of its
    /// prefill.
    pub(super) fn expected_call(&self) -> Duration {
        duration(self.call_seconds)
    }

    /// Returns the expected queueing time.
    pub(super) fn waiting(&self) -> Duration {
        duration(self.seconds - self.own_seconds)
    }

    fn cost(&self) -> f32 {
        self.seconds + self.external_cost
    }
}

/// State that placements are estimated from.
pub(super) struct PlacementView<'a> {
    pub(super) fleet: &'a TargetFleet,
    pub(super) peers: &'a PeerTable,
    pub(super) limits: &'a LimitTable,
    pub(super) now: ClockTime,
}

impl PlacementView<'_> {
    /// Chooses a target for a new request, or `None` if no target takes work.
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

    /// Chooses an engine that decodes from the KV cache at `source`.
    pub(super) fn choose_decode(
        &self,
        rng: &mut SmallRng,
        query: &PlacementQuery<'_>,
        source: &TargetState,
    ) -> Option<Placement> {
        let candidates = self.candidates(query);
        let prompt = query.prompt?;
        let decode_engines =
            placeable_engines(rng, query, &candidates, prompt, TargetStage::Decode);
        let engines = decode_engines.iter().map(|(state, _)| *state);
        cheapest(rng, engines.map(|state| self.estimate_decode(state, query, prompt, source)))
    }

    fn choose_engine(
        &self,
        rng: &mut SmallRng,
        query: &PlacementQuery<'_>,
        prompt: &PromptShape,
        candidates: &[&TargetState],
    ) -> Option<Placement> {
        let holders = match has_homes(prompt) {
            true => {
                let sources = self.fleet.iter().filter(|state| self.is_source(state, query));
                PrefixHolders::choose(rng, prompt, sources)
            }
            false => PrefixHolders::default(),
        };
        let mut placeable = |stage| placeable_engines(rng, query, candidates, prompt, stage);
        let prefill_engines = placeable(TargetStage::Prefill);
        let decode_engines = placeable(TargetStage::Decode);
        let run = cheapest(
            rng,
            decode_engines.iter().map(|(state, is_home)| {
                self.estimate_run(state, query, prompt, &holders, *is_home)
            }),
        );
        let prefill = cheapest(
            rng,
            prefill_engines.iter().map(|(state, is_home)| {
                self.estimate_prefill(state, query, prompt, &holders, *is_home)
            }),
        );
        let Some(prefill) = prefill else { return run };
        let source = self.fleet.get(&prefill.target)?;
        let engines = decode_engines.iter().map(|(state, _)| *state);
        let decode =
            cheapest(rng, engines.map(|state| self.estimate_decode(state, query, prompt, source)));
        let Some(decode) = decode else { return run };
        let split = Placement {
            external_cost: prefill.external_cost + decode.external_cost,
            seconds: prefill.seconds + decode.seconds,
            own_seconds: prefill.own_seconds + decode.own_seconds,
            decode: Some(decode.target),
            ..prefill
        };
        match run {
            Some(run) if run.cost() <= split.cost() => Some(run),
            _ => Some(split),
        }
    }

    /// Returns whether a request may copy from an engine, which may be one that takes no calls
    /// for it because it declined one.
    fn is_source(&self, state: &TargetState, query: &PlacementQuery<'_>) -> bool {
        state.target.service == *query.service
            && !state.target.leaving
            && !state.is_closed(self.now)
            && state.is_same_start()
            && !state.source.is_paused(self.now)
            && !query.failed_sources.contains(&state.target.id)
    }

    fn candidates(&self, query: &PlacementQuery<'_>) -> SmallVec<[&TargetState; 32]> {
        let allowed = |state: &&TargetState| {
            !state.is_closed(self.now)
                && state.target.service == *query.service
                && !state.target.leaving
                && self.limits.admits(self.now, &state.target.id)
                && query.version.is_none_or(|version| state.target.version == *version)
                && !query.tried.contains(&state.target.id)
        };
        let not_paused = |state: &&TargetState| state.paused_until <= self.now;
        let is_certain = |state: &&TargetState| match query.stream {
            StreamPart::None => true,
            StreamPart::Begins | StreamPart::GoesOn => state.is_same_start(),
        };
        let allowed: SmallVec<[_; 32]> = self.fleet.iter().filter(allowed).collect();
        let certain: SmallVec<_> = allowed.iter().copied().filter(is_certain).collect();
        let all = match query.stream {
            StreamPart::None | StreamPart::Begins if certain.is_empty() => allowed,
            _ => certain,
        };
        let ready: SmallVec<_> = all.iter().copied().filter(not_paused).collect();
        if ready.is_empty() { all } else { ready }
    }

    fn estimate_plain(&self, state: &TargetState, query: &PlacementQuery<'_>) -> Placement {
        let own = self.call_overhead(state, query);
        placement(state, StepKind::Run, self.slot_wait(state), own)
    }

    /// Estimates a run whose prompt is prefilled at the engine that decodes.
    fn estimate_run(
        &self,
        state: &TargetState,
        query: &PlacementQuery<'_>,
        prompt: &PromptShape,
        holders: &PrefixHolders<'_>,
        is_home: bool,
    ) -> Placement {
        let rate = self.rate(state);
        let PromptPlan { tokens, copy } = plan_prompt(state, query, prompt, holders, rate);
        let waiting = self.prefill_wait(state, query.priority) + self.slot_wait(state);
        let copying = copy_seconds(copy.as_ref());
        let own = tokens as f32 / rate + copying + self.call_overhead(state, query);
        let displacing = displacing_tokens(prompt, tokens, is_home) as f32 / rate;
        let event_gap = EVENT_TOKENS * DECODE_CHUNK_TOKENS / rate;
        let delays_streams = tokens > SHORT_PREFILL_TOKENS && event_gap > MAX_EVENT_GAP_SECONDS;
        let stream_cost = if delays_streams { LATE_STREAM_COST_SECONDS } else { 0.0 };
        let placed = placement(state, StepKind::Run, waiting, own);
        let external_cost = placed.external_cost
            + displacing * DECODE_PREFILL_COST_FACTOR
            + copying * COPY_COST_FACTOR
            + self.overtaking_cost(state, query, tokens)
            + self.stale_report_cost(state, query)
            + stream_cost;
        Placement { prefill_tokens: tokens, copy, external_cost, ..placed }
    }

    fn estimate_prefill(
        &self,
        state: &TargetState,
        query: &PlacementQuery<'_>,
        prompt: &PromptShape,
        holders: &PrefixHolders<'_>,
        is_home: bool,
    ) -> Placement {
        let rate = self.rate(state);
        let PromptPlan { tokens, copy } = plan_prompt(state, query, prompt, holders, rate);
        let copying = copy_seconds(copy.as_ref());
        let own = tokens as f32 / rate + copying + self.call_overhead(state, query);
        let placed =
            placement(state, StepKind::Prefill, self.prefill_wait(state, query.priority), own);
        let displacing = displacing_tokens(prompt, tokens, is_home) as f32 / rate;
        let external_cost = placed.external_cost
            + displacing * PREFILL_COST_FACTOR
            + copying * COPY_COST_FACTOR
            + self.overtaking_cost(state, query, tokens)
            + self.stale_report_cost(state, query);
        Placement { prefill_tokens: tokens, copy, external_cost, ..placed }
    }

    fn estimate_decode(
        &self,
        state: &TargetState,
        query: &PlacementQuery<'_>,
        prompt: &PromptShape,
        source: &TargetState,
    ) -> Placement {
        let transfer = query.engine.map_or(0.0, |config| {
            transfer_seconds(config, &source.target, &state.target, prompt.tokens)
        });
        let own = transfer + self.call_overhead(state, query);
        let waiting = self.prefill_wait(state, query.priority) + self.slot_wait(state);
        let placed = placement(state, StepKind::Decode, waiting, own);
        let external_cost = placed.external_cost + self.stale_report_cost(state, query);
        Placement { external_cost, ..placed }
    }

    /// Returns the cost of an engine in another data centre, which grows with the age of what is
    /// known of its load, in seconds.
    fn stale_report_cost(&self, state: &TargetState, query: &PlacementQuery<'_>) -> f32 {
        match Locality::between(query.data_centre, &state.target.data_centre) {
            Locality::Local => 0.0,
            Locality::Remote => {
                let interval = report_interval(self.peers.len()).as_secs_f32();
                let limit = query.objective.as_secs_f32() * MAX_STALE_COST_SHARE;
                (interval * STALE_REPORT_COST_SHARE).min(limit)
            }
        }
    }

    /// Returns the time until a target begins a prompt of a priority, in seconds.
    pub(super) fn prefill_wait(&self, state: &TargetState, priority: u8) -> f32 {
        self.in_flight(state).backlog.tokens_ahead(priority) as f32 / self.rate(state)
    }

    /// Returns by how much a prefill delays the less urgent prompts that wait at a target, in
    /// seconds.
    fn overtaking_cost(&self, state: &TargetState, query: &PlacementQuery<'_>, tokens: u32) -> f32 {
        let overtaken = self.in_flight(state).backlog.prompts_behind(query.priority);
        overtaken as f32 * tokens as f32 / self.rate(state)
    }

    /// Returns the work that all entries have in flight at a target.
    pub(super) fn in_flight(&self, state: &TargetState) -> InFlight {
        state.in_flight + self.peers.in_flight_at(&state.target.id)
    }

    /// Returns a target's prefill rate by all entries' samples, in tokens per second.
    pub(super) fn rate(&self, state: &TargetState) -> f32 {
        let typical = self.fleet.typical_rate(state.target.stage);
        state.combined_rate(self.peers.prefill_rate(&state.target.id), typical)
    }

    fn slot_wait(&self, state: &TargetState) -> f32 {
        let running = self.in_flight(state).running;
        let slots = state.target.slots.max(1);
        let run = if state.run_seconds > 0.0 { state.run_seconds } else { INITIAL_RUN_SECONDS };
        // A larger batch is slower, so load counts even while a slot is free.
        let crowding = 0.1 * run * running.min(slots) as f32 / slots as f32;
        let rounds = running.saturating_add(1).saturating_sub(slots) as f32 / slots as f32;
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
        decode: None,
        prefill_tokens: 0,
        copy: None,
        seconds: waiting + own_seconds,
        call_seconds: waiting + own_seconds,
        own_seconds,
        external_cost: state.failure_rate * FAILURE_COST_SECONDS,
    }
}

/// Engine that a prompt may be placed at, and whether it is the home of the prompt's prefix.
type PlaceableEngine<'a> = (&'a TargetState, bool);
type PlaceableEngines<'a> = SmallVec<[PlaceableEngine<'a>; 32]>;

/// Returns the engines of a stage that a prompt may be placed at.
fn placeable_engines<'a>(
    rng: &mut SmallRng,
    query: &PlacementQuery<'_>,
    candidates: &[&'a TargetState],
    prompt: &PromptShape,
    stage: TargetStage,
) -> PlaceableEngines<'a> {
    let count = match stage {
        TargetStage::Prefill | TargetStage::Plain => PREFILL_HOMES,
        TargetStage::Decode => DECODE_HOMES,
    };
    let engines = candidates.iter().copied().filter(|state| state.target.stage == stage);
    match PrefixHomes::rank(prompt, engines.clone(), count) {
        PrefixHomes::Any => {
            let engines: ComparedEngines<'_> = engines.collect();
            let drawn = draw_compared(rng, engines, query.data_centre);
            drawn.into_iter().map(|state| (state, false)).collect()
        }
        homes @ PrefixHomes::Ranked(_) => {
            let allowed = engines.filter(|state| homes.contains(&state.target.id));
            allowed.map(|state| (state, homes.is_first(&state.target.id))).collect()
        }
    }
}

fn duration(seconds: f32) -> Duration {
    // A configuration without a link speed leads to no number.
    let seconds = if seconds.is_nan() { MAX_ESTIMATE_SECONDS } else { seconds };
    Duration::from_secs_f32(seconds.clamp(0.0, MAX_ESTIMATE_SECONDS))
}

fn cheapest(rng: &mut SmallRng, placements: impl Iterator<Item = Placement>) -> Option<Placement> {
    let spread = placements.map(|p| (p.cost() + rng.random::<f32>() * TIE_BREAK_SECONDS, p));
    spread.min_by(|a, b| a.0.total_cmp(&b.0)).map(|(_, placement)| placement)
}

/// How an engine gets the KV cache of a prompt.
struct PromptPlan {
    /// Tokens that it has to prefill, at least 1.
    tokens: u32,
    copy: Option<PrefixCopy>,
}

fn plan_prompt(
    state: &TargetState,
    query: &PlacementQuery<'_>,
    prompt: &PromptShape,
    holders: &PrefixHolders<'_>,
    rate: f32,
) -> PromptPlan {
    let cached = state.cached_prefix_tokens(prompt);
    let copy = query.engine.and_then(|config| holders.copy_to(config, state, cached, rate));
    let copied = copy.as_ref().map_or(0, |copy| copy.tokens);
    PromptPlan { tokens: prompt.tokens.saturating_sub(cached + copied).max(1), copy }
}

fn copy_seconds(copy: Option<&PrefixCopy>) -> f32 {
    copy.map_or(0.0, |copy| copy.seconds)
}

/// Returns the prefill that delays later requests at a target, in tokens. At the home engine
/// of a prefix the shared segments do not count, as later requests use them from the cache.
fn displacing_tokens(prompt: &PromptShape, prefilled: u32, is_home: bool) -> u32 {
    if is_home { prompt.tokens.saturating_sub(shared_tokens(prompt)).max(1) } else { prefilled }
}

/// Builds the operation for a placement; a decode without a KV cache becomes a plain run.
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
