//! Targets that an entry knows, and what it believes about each.

use std::{
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};

use serde::Serialize;
use strum::Display;

use super::{InFlight, PromptSegment, PromptShape, ServiceName};
use crate::ids::{ClockTime, DataCentreId, TargetId};

/// Prompt tokens that an engine of ordinary speed reads in a second, before any
/// of its own calls was timed; from the deployments' sheets.
const INITIAL_PREFILL_RATE: f32 = 61_000.0;
/// An engine that generates reads prompts at this part of its speed; a platform page.
const DECODE_PREFILL_FACTOR: f32 = 0.5;
/// Part of an engine's memory that shared parts are taken to have; the rest is
/// for running requests and KV caches that wait to be taken.
const PREFIX_MEMORY_SHARE: f32 = 0.75;
/// Time of a call beside reading: connection, scheduling and the way back.
pub(super) const CALL_OVERHEAD: Duration = Duration::from_millis(6);
/// Shortest prompt whose reading time says something about the engine's speed, in tokens.
const MIN_TIMED_TOKENS: u32 = 1024;
/// Weight of a new timing in a learned figure.
const SMOOTHING_FACTOR: f32 = 0.2;
/// Timings after which a rate is a moving mean.
const MAX_SAMPLES: u32 = 10;
/// Bounds of a learned reading rate, as parts of the starting one.
const RATE_BOUNDS: (f32, f32) = (0.15, 3.0);
/// First pause after a target declined, and the longest one.
const MIN_DECLINE_BACKOFF: Duration = Duration::from_millis(50);
const MAX_DECLINE_BACKOFF: Duration = Duration::from_millis(800);
/// First pause after a target could not be reached, and the longest one.
const MIN_FAILURE_BACKOFF: Duration = Duration::from_millis(300);
const MAX_FAILURE_BACKOFF: Duration = Duration::from_secs(3);

/// How long an engine is left alone after word that it changes its part; several reports.
const SWITCH_PAUSE: Duration = Duration::from_millis(600);
/// Time after an outage of the store in which entries that lapsed meanwhile come
/// back: about two seconds by a platform page.
const RELIST_TIME: Duration = Duration::from_millis(2500);
/// How long a lapsed target is still used where its entry may come back; with
/// the pace of reading this stays under the 2 s for leaving targets.
const LAPSE_GRACE: Duration = Duration::from_millis(800);

/// Part that an engine plays.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Display)]
#[strum(serialize_all = "snake_case")]
pub enum TargetStage {
    /// Reads prompts.
    Prefill,
    /// Generates; reads prompts too, at half the speed.
    Decode,
    /// A plain service.
    Plain,
}

/// Target as discovery describes it.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct DirectTarget {
    /// Name of this start of the target.
    pub id: TargetId,
    /// When it started, in milliseconds of the target's clock; tells starts under one name apart.
    pub born_ms: u64,
    /// Service it belongs to.
    pub service: ServiceName,
    /// Address for calls.
    pub address: SocketAddr,
    /// Data centre.
    pub data_centre: DataCentreId,
    /// Part it plays.
    pub stage: TargetStage,
    /// Requests it runs at once.
    pub slots: u32,
    /// Whether it is about to stop and gets no new work.
    pub leaving: bool,
    /// Number of the entry, which rises within one start.
    pub sequence: u64,
}

/// Change of the list of targets.
#[derive(Debug, Clone, PartialEq)]
pub enum TargetChange {
    /// A target is there, or its entry changed.
    Listed(DirectTarget),
    /// A target's entry is gone.
    Removed(TargetId),
    /// The whole list; targets that are not present are gone.
    Snapshot {
        /// Names of all entries, those that cannot be read included.
        present: Vec<TargetId>,
        /// The entries.
        targets: Vec<DirectTarget>,
    },
    /// The list could not be read.
    ReadFailed,
}

/// Belief about one target.
#[derive(Debug, Clone, Serialize)]
pub(super) struct TargetState {
    pub(super) target: Arc<DirectTarget>,
    /// Work of this process.
    pub(super) in_flight: InFlight,
    /// Prompt tokens read in a second, by this process's own timings.
    #[serde(rename = "read_rate")]
    pub(super) prefill_rate: f32,
    /// Number of those timings.
    pub(super) samples: u32,
    /// Time of one run, in seconds.
    pub(super) run_seconds: f32,
    pub(super) paused_until: ClockTime,
    #[serde(rename = "pause")]
    failure_backoff: Duration,
    #[serde(rename = "decline_pause")]
    decline_backoff: Duration,
    /// Share of the last calls that failed.
    #[serde(rename = "failing")]
    pub(super) failure_rate: f32,
    #[serde(skip)]
    cached_segments: HashMap<u64, SegmentUse>,
    #[serde(rename = "kept_tokens")]
    cached_tokens: u32,
}

#[derive(Debug, Clone, Copy)]
struct SegmentUse {
    used: ClockTime,
    tokens: u32,
}

/// All known targets.
#[derive(Debug, Clone, Default, Serialize)]
pub struct TargetFleet {
    targets: BTreeMap<TargetId, TargetState>,
    lapsing: BTreeMap<TargetId, ClockTime>,
    /// When the list could last not be read.
    #[serde(rename = "unread")]
    last_read_failure: Option<ClockTime>,
}

impl TargetState {
    fn new(target: DirectTarget) -> TargetState {
        let prefill_rate = initial_rate(target.stage);
        TargetState {
            target: Arc::new(target),
            in_flight: InFlight::default(),
            prefill_rate,
            samples: 0,
            run_seconds: 0.0,
            paused_until: ClockTime::ZERO,
            failure_backoff: MIN_FAILURE_BACKOFF,
            decline_backoff: MIN_DECLINE_BACKOFF,
            failure_rate: 0.0,
            cached_segments: HashMap::new(),
            cached_tokens: 0,
        }
    }

    /// Returns the tokens at the prompt's start that the target is believed to keep.
    pub(super) fn cached_prefix_tokens(&self, prompt: &PromptShape) -> u32 {
        let cached = prompt
            .segments
            .iter()
            .take_while(|segment| self.cached_segments.contains_key(&segment.id));
        cached.map(|segment| segment.tokens).sum()
    }

    /// Notes that the target keeps the shared parts of a prompt; the parts that
    /// were not used for longest yield where its memory is full.
    pub(super) fn add_cached(&mut self, now: ClockTime, prompt: &PromptShape, memory_tokens: u32) {
        let shared = prompt.segments.len().saturating_sub(1);
        for segment in prompt.segments.iter().take(shared) {
            self.add_cached_segment(now, *segment, memory_tokens);
        }
    }

    /// Notes that the target keeps a part.
    pub(super) fn add_cached_segment(
        &mut self,
        now: ClockTime,
        segment: PromptSegment,
        memory_tokens: u32,
    ) {
        let usage = SegmentUse { used: now, tokens: segment.tokens };
        if self.cached_segments.insert(segment.id, usage).is_none() {
            self.cached_tokens += segment.tokens;
        }
        let limit = (memory_tokens as f32 * PREFIX_MEMORY_SHARE) as u32;
        while self.cached_tokens > limit {
            let oldest =
                self.cached_segments.iter().min_by_key(|(_, usage)| usage.used).map(|(id, _)| *id);
            let Some(evicted) = oldest.and_then(|id| self.cached_segments.remove(&id)) else {
                return;
            };
            self.cached_tokens = self.cached_tokens.saturating_sub(evicted.tokens);
        }
    }

    fn clear_cached(&mut self) {
        self.cached_segments.clear();
        self.cached_tokens = 0;
    }

    /// Learns from the time that reading some tokens took, those ahead included.
    pub(super) fn record_prefill(&mut self, own: u32, ahead: u32, took: Duration) {
        if own < MIN_TIMED_TOKENS {
            return;
        }
        let seconds = took.saturating_sub(CALL_OVERHEAD).as_secs_f32().max(0.001);
        let (low, high) = RATE_BOUNDS;
        let start = initial_rate(self.target.stage);
        let rate = ((own + ahead) as f32 / seconds).clamp(start * low, start * high);
        self.samples = (self.samples + 1).min(MAX_SAMPLES);
        let share = (1.0 / self.samples as f32).max(SMOOTHING_FACTOR);
        self.prefill_rate += share * (rate - self.prefill_rate);
    }

    /// Returns the rate that a number of timings of peers, with their mean, and
    /// the own ones give together.
    pub(super) fn combined_rate(&self, (peer_rate, peer_samples): (f32, u32)) -> f32 {
        let samples = (self.samples + peer_samples) as f32;
        if samples == 0.0 {
            return self.prefill_rate;
        }
        (self.prefill_rate * self.samples as f32 + peer_rate * peer_samples as f32) / samples
    }

    /// Learns from the time that one run took.
    pub(super) fn record_run(&mut self, took: Duration) {
        let seconds = took.as_secs_f32();
        let known = self.run_seconds > 0.0;
        let share = if known { SMOOTHING_FACTOR } else { 1.0 };
        self.run_seconds += share * (seconds - self.run_seconds);
    }

    pub(super) fn record_success(&mut self) {
        self.failure_backoff = MIN_FAILURE_BACKOFF;
        self.decline_backoff = MIN_DECLINE_BACKOFF;
        self.failure_rate -= SMOOTHING_FACTOR * self.failure_rate;
    }

    pub(super) fn record_failure(&mut self) {
        self.failure_rate += SMOOTHING_FACTOR * (1.0 - self.failure_rate);
    }

    /// Leaves an engine alone that is about to change its part; told again and again.
    pub(super) fn pause_switching(&mut self, now: ClockTime) {
        self.paused_until = self.paused_until.max(now + SWITCH_PAUSE);
    }

    /// Leaves a target that declined alone for a short while. It looks idle by
    /// its work in flight, so that it would be chosen again at once.
    pub(super) fn record_decline(&mut self, now: ClockTime) {
        self.paused_until = now + self.decline_backoff;
        self.decline_backoff = (self.decline_backoff * 2).min(MAX_DECLINE_BACKOFF);
    }

    /// Leaves the target alone for a while that doubles with each failure.
    pub(super) fn back_off(&mut self, now: ClockTime) {
        self.record_failure();
        self.paused_until = now + self.failure_backoff;
        self.failure_backoff = (self.failure_backoff * 2).min(MAX_FAILURE_BACKOFF);
    }
}

impl TargetFleet {
    /// Applies a change of the list.
    pub(super) fn apply(&mut self, now: ClockTime, change: TargetChange) {
        match change {
            TargetChange::Listed(target) => self.upsert(target),
            TargetChange::Removed(id) => self.lapse(now, id),
            TargetChange::Snapshot { present, targets } => {
                let missing = self.targets.keys().filter(|id| !present.contains(id)).cloned();
                for id in missing.collect::<Vec<TargetId>>() {
                    self.lapse(now, id);
                }
                targets.into_iter().for_each(|target| self.upsert(target));
            }
            TargetChange::ReadFailed => self.last_read_failure = Some(now),
        }
    }

    /// Drops a target whose entry is gone.
    ///
    /// Entries lapse in an outage of the store although their targets live, and
    /// come back after it; until then such a target is used a little longer.
    fn lapse(&mut self, now: ClockTime, id: TargetId) {
        if !self.targets.contains_key(&id) {
            return;
        }
        let may_return = self.last_read_failure.is_some_and(|failed| now < failed + RELIST_TIME);
        if may_return {
            self.lapsing.entry(id).or_insert(now + LAPSE_GRACE);
        } else {
            self.lapsing.remove(&id);
            self.targets.remove(&id);
        }
    }

    /// Drops targets whose entries did not come back.
    pub(super) fn drop_lapsed(&mut self, now: ClockTime) {
        let due = |at: &ClockTime| *at <= now;
        let gone = self.lapsing.iter().filter(|(_, at)| due(at)).map(|(id, _)| id.clone());
        for id in gone.collect::<Vec<TargetId>>() {
            self.lapsing.remove(&id);
            self.targets.remove(&id);
        }
    }

    fn upsert(&mut self, target: DirectTarget) {
        self.lapsing.remove(&target.id);
        let Some(known) = self.targets.get_mut(&target.id) else {
            self.targets.insert(target.id.clone(), TargetState::new(target));
            return;
        };
        let order = (target.born_ms, target.sequence);
        let known_order = (known.target.born_ms, known.target.sequence);
        if order < known_order {
            return;
        }
        if target.born_ms != known.target.born_ms || target.stage != known.target.stage {
            known.clear_cached();
            known.prefill_rate = initial_rate(target.stage);
            known.samples = 0;
        }
        if target.born_ms != known.target.born_ms {
            known.paused_until = ClockTime::ZERO;
        }
        known.target = Arc::new(target);
    }

    pub(super) fn get_mut(&mut self, id: &TargetId) -> Option<&mut TargetState> {
        self.targets.get_mut(id)
    }

    pub(super) fn get(&self, id: &TargetId) -> Option<&TargetState> {
        self.targets.get(id)
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = &TargetState> {
        self.targets.values()
    }

    /// Tells whether a service has a target that takes work.
    pub fn serves(&self, service: &str) -> bool {
        self.targets
            .values()
            .any(|state| &*state.target.service == service && !state.target.leaving)
    }

    /// Tells whether any target is an engine with a part of its own.
    pub(super) fn has_engines(&self) -> bool {
        self.targets.values().any(|state| state.target.stage != TargetStage::Plain)
    }

    /// Returns the number of known targets.
    pub fn len(&self) -> usize {
        self.targets.len()
    }

    /// Tells whether no target is known.
    pub fn is_empty(&self) -> bool {
        self.targets.is_empty()
    }
}

fn initial_rate(stage: TargetStage) -> f32 {
    match stage {
        TargetStage::Prefill | TargetStage::Plain => INITIAL_PREFILL_RATE,
        TargetStage::Decode => INITIAL_PREFILL_RATE * DECODE_PREFILL_FACTOR,
    }
}
