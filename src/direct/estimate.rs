//! Choice of the target whose answer is expected to begin first.

use std::{net::SocketAddr, time::Duration};

use rand::{RngExt, rngs::SmallRng};
use siphasher::sip::SipHasher13;
use smallvec::SmallVec;
use std::hash::{Hash, Hasher};

use super::{
    CallStep, Distance, EngineConfig, InFlight, PeerTable, PromptShape, ServiceName,
    flow::StepKind,
    target::{CALL_TIME, TargetFleet, TargetStage, TargetState},
};
use crate::ids::{ClockTime, DataCentreId, TargetId};

/// What a call to another data centre takes longer, in seconds.
const FAR_SECONDS: f32 = 0.003;
/// KV cache between data centres takes this many times as long; a platform page.
const FAR_MOVE_FACTOR: f32 = 2.0;
/// Time of one run before any was timed, in seconds.
const START_RUN_SECONDS: f32 = 0.15;
/// What a target that always fails is taken to cost, in seconds.
const FAILING_SECONDS: f32 = 1.0;
/// Shared parts shorter than this are not worth a home, in tokens.
pub(super) const HOME_TOKENS: u32 = 1024;
/// What reading costs the requests that come after it at the same engine, as a
/// part of the reading time. Without it a busy home sends its subjects to
/// engines that have to read their shared parts anew, which fills those as well.
const READ_BURDEN: f32 = 1.0;
/// The same at an engine that generates: each running stream there waits for
/// every chunk of the prompt.
const DECODE_READ_BURDEN: f32 = 2.0;
/// Prompt tokens that such an engine reads between two tokens of its streams; a
/// platform page and the deployments' sheets.
const DECODE_CHUNK_TOKENS: f32 = 256.0;
/// Tokens in one event of a stream; from the deployments' configuration.
const EVENT_TOKENS: f32 = 12.0;
/// Longest pause between events with which an answer is still in time, in
/// seconds, less a margin; from the deployments' sheets.
const PAUSE_LIMIT: f32 = 0.14;
/// Prompts that are read within one event lengthen no pause beyond the limit.
const SHORT_READ_TOKENS: u32 = 1024;
/// What making the streams of an engine late is taken to cost, in seconds.
const PAUSE_BURDEN: f32 = 1.5;
/// Random spread between equal estimates, in seconds, so that entries do not
/// all choose the same target.
const SPREAD_SECONDS: f32 = 0.002;

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
    pub(super) reading: u32,
    /// Expected time to the first output.
    pub(super) seconds: f32,
    /// Part of it that the request itself needs.
    pub(super) own_seconds: f32,
    /// What the placement costs others, in seconds.
    burden: f32,
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
        self.seconds + self.burden
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
        let usable = self.usable(query);
        match query.prompt {
            None => best(rng, usable.iter().map(|state| self.plain(state, query))),
            Some(prompt) => self.choose_engine(rng, query, prompt, &usable),
        }
    }

    /// Chooses a target that goes on from a KV cache.
    pub(super) fn choose_decode(
        &self,
        rng: &mut SmallRng,
        query: &PlacementQuery<'_>,
        source: &TargetState,
    ) -> Option<Placement> {
        let usable = self.usable(query);
        let prompt = query.prompt?;
        let able = usable.iter().filter(|state| state.target.stage == TargetStage::Decode);
        best(rng, able.map(|state| self.decode(state, query, prompt, source)))
    }

    fn choose_engine(
        &self,
        rng: &mut SmallRng,
        query: &PlacementQuery<'_>,
        prompt: &PromptShape,
        usable: &[&TargetState],
    ) -> Option<Placement> {
        let home = home_key(prompt);
        let readers = usable.iter().filter(|state| state.target.stage == TargetStage::Prefill);
        let writers = usable.iter().filter(|state| state.target.stage == TargetStage::Decode);
        let reader_home = home.and_then(|key| home_of(key, readers.clone()));
        let writer_home = home.and_then(|key| home_of(key, writers.clone()));
        let whole = best(
            rng,
            writers.clone().map(|state| {
                self.whole(state, query, prompt, writer_home == Some(&state.target.id))
            }),
        );
        let read = best(
            rng,
            readers.map(|state| {
                self.read(state, query, prompt, reader_home == Some(&state.target.id))
            }),
        );
        let Some(read) = read else { return whole };
        let source = self.fleet.get(&read.target)?;
        let write = best(rng, writers.map(|state| self.decode(state, query, prompt, source)));
        let Some(write) = write else { return whole };
        let split = Placement {
            burden: read.burden + write.burden,
            seconds: read.seconds + write.seconds,
            own_seconds: read.own_seconds + write.own_seconds,
            ..read
        };
        match whole {
            Some(whole) if whole.cost() <= split.cost() => Some(whole),
            _ => Some(split),
        }
    }

    fn usable(&self, query: &PlacementQuery<'_>) -> SmallVec<[&TargetState; 32]> {
        let listed = |state: &&TargetState| {
            state.target.service == *query.service
                && !state.target.leaving
                && !query.tried.contains(&state.target.id)
        };
        let awake = |state: &&TargetState| state.paused_until <= self.now;
        let all: SmallVec<_> = self.fleet.iter().filter(listed).collect();
        let rested: SmallVec<_> = all.iter().copied().filter(awake).collect();
        if rested.is_empty() { all } else { rested }
    }

    fn plain(&self, state: &TargetState, query: &PlacementQuery<'_>) -> Placement {
        let own = self.fixed(state, query);
        placement(state, StepKind::Run, self.slot_wait(state), own)
    }

    /// Estimates a run that reads its prompt where it generates.
    fn whole(
        &self,
        state: &TargetState,
        query: &PlacementQuery<'_>,
        prompt: &PromptShape,
        home: bool,
    ) -> Placement {
        let rate = self.rate(state);
        let tokens = uncached(state, prompt);
        let waiting = self.read_wait(state, query.late) + self.slot_wait(state);
        let own = tokens as f32 / rate + self.fixed(state, query);
        let lasting = lasting_read(state, prompt, home) as f32 / rate;
        let pause = EVENT_TOKENS * DECODE_CHUNK_TOKENS / rate;
        let disturbs = tokens > SHORT_READ_TOKENS && pause > PAUSE_LIMIT;
        let disturbance = if disturbs { PAUSE_BURDEN } else { 0.0 };
        let placed = placement(state, StepKind::Run, waiting, own);
        let burden = placed.burden + lasting * DECODE_READ_BURDEN + disturbance;
        Placement { reading: tokens, burden, ..placed }
    }

    fn read(
        &self,
        state: &TargetState,
        query: &PlacementQuery<'_>,
        prompt: &PromptShape,
        home: bool,
    ) -> Placement {
        let rate = self.rate(state);
        let tokens = uncached(state, prompt);
        let own = tokens as f32 / rate + self.fixed(state, query);
        let placed = placement(state, StepKind::Prefill, self.read_wait(state, query.late), own);
        let lasting = lasting_read(state, prompt, home) as f32 / rate;
        let burden = placed.burden + lasting * READ_BURDEN;
        Placement { reading: tokens, burden, ..placed }
    }

    fn decode(
        &self,
        state: &TargetState,
        query: &PlacementQuery<'_>,
        prompt: &PromptShape,
        source: &TargetState,
    ) -> Placement {
        let distance = Distance::between(&source.target.data_centre, &state.target.data_centre);
        let factor = match distance {
            Distance::Near => 1.0,
            Distance::Far => FAR_MOVE_FACTOR,
        };
        let bits = query.engine.map_or(0.0, |terms| terms.token_bytes * 8.0 / terms.link_bits);
        let moved = prompt.tokens as f32 * bits as f32 * factor;
        let own = moved + self.fixed(state, query);
        placement(state, StepKind::Decode, self.slot_wait(state), own)
    }

    /// Returns the time that a prompt waits for those before it, in seconds.
    pub(super) fn read_wait(&self, state: &TargetState, late: bool) -> f32 {
        self.in_flight(state).ahead(late) as f32 / self.rate(state)
    }

    /// Returns what all entries have in flight at a target.
    pub(super) fn in_flight(&self, state: &TargetState) -> InFlight {
        state.in_flight + self.peers.at(&state.target.id)
    }

    /// Returns the prompt tokens that a target reads in a second, by all entries' timings.
    pub(super) fn rate(&self, state: &TargetState) -> f32 {
        state.joint_rate(self.peers.read_rate(&state.target.id))
    }

    fn slot_wait(&self, state: &TargetState) -> f32 {
        let running = self.in_flight(state).running;
        let slots = state.target.slots.max(1);
        let run = if state.run_seconds > 0.0 { state.run_seconds } else { START_RUN_SECONDS };
        // A fuller batch is slower, so that part of a run counts even where a slot is free.
        let crowding = 0.1 * run * running.min(slots) as f32 / slots as f32;
        let rounds = (running + 1).saturating_sub(slots) as f32 / slots as f32;
        crowding + rounds * run
    }

    fn fixed(&self, state: &TargetState, query: &PlacementQuery<'_>) -> f32 {
        let far = match Distance::between(query.data_centre, &state.target.data_centre) {
            Distance::Near => 0.0,
            Distance::Far => FAR_SECONDS,
        };
        CALL_TIME.as_secs_f32() + far
    }
}

fn placement(state: &TargetState, step: StepKind, waiting: f32, own_seconds: f32) -> Placement {
    Placement {
        target: state.target.id.clone(),
        step,
        reading: 0,
        seconds: waiting + own_seconds,
        own_seconds,
        burden: state.failing * FAILING_SECONDS,
    }
}

fn duration(seconds: f32) -> Duration {
    Duration::from_secs_f32(seconds.clamp(0.0, 3600.0))
}

fn best(rng: &mut SmallRng, placements: impl Iterator<Item = Placement>) -> Option<Placement> {
    let spread = placements.map(|p| (p.cost() + rng.random::<f32>() * SPREAD_SECONDS, p));
    spread.min_by(|a, b| a.0.total_cmp(&b.0)).map(|(_, placement)| placement)
}

/// Returns the tokens that a target has to read.
fn uncached(state: &TargetState, prompt: &PromptShape) -> u32 {
    prompt.tokens.saturating_sub(state.cached(prompt)).max(1)
}

/// Returns the reading that keeps a target from later requests, in tokens. The
/// shared parts do not count at their home: reading them there serves those.
fn lasting_read(state: &TargetState, prompt: &PromptShape, home: bool) -> u32 {
    if home {
        prompt.tokens.saturating_sub(shared_tokens(prompt)).max(1)
    } else {
        uncached(state, prompt)
    }
}

pub(super) fn shared_tokens(prompt: &PromptShape) -> u32 {
    let shared = prompt.parts.len().saturating_sub(1);
    prompt.parts.iter().take(shared).map(|part| part.tokens).sum()
}

/// Returns the key of a prompt's shared parts, if they are long enough for a home.
fn home_key(prompt: &PromptShape) -> Option<u64> {
    if shared_tokens(prompt) < HOME_TOKENS {
        return None;
    }
    let mut hasher = SipHasher13::new();
    let shared = prompt.parts.len() - 1;
    prompt.parts[..shared].iter().for_each(|part| part.id.hash(&mut hasher));
    Some(hasher.finish())
}

/// Returns the home of a key by rendezvous hashing, which moves few keys when
/// targets come and go, and is the same at every entry.
///
/// Faster engines get no more homes: all have the same memory, and with more
/// subjects than fit in it an engine reads each of them anew.
fn home_of<'a, 'b: 'a>(
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
