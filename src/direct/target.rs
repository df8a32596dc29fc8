//! Targets that an entry knows, and what it believes about each.

use std::{
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};

use serde::Serialize;
use strum::Display;

use super::{InFlight, PromptPart, PromptShape, ServiceName};
use crate::ids::{ClockTime, DataCentreId, TargetId};

/// Prompt tokens that an engine of ordinary speed reads in a second, before any
/// of its own calls was timed; from the deployments' sheets.
const START_READ_RATE: f32 = 61_000.0;
/// An engine that generates reads prompts at this part of its speed; a platform page.
const DECODE_READ_PART: f32 = 0.5;
/// Part of an engine's memory that shared parts are taken to have; the rest is
/// for running requests and KV caches that wait to be taken.
const PARTS_SHARE: f32 = 0.75;
/// Time of a call beside reading: connection, scheduling and the way back.
pub(super) const CALL_TIME: Duration = Duration::from_millis(6);
/// Shortest prompt whose reading time says something about the engine's speed, in tokens.
const LEARN_TOKENS: u32 = 1024;
/// Weight of a new timing in a learned figure.
const LEARN_SHARE: f32 = 0.2;
/// Timings after which a rate is a moving mean.
const MAX_SAMPLES: u32 = 10;
/// Bounds of a learned reading rate, as parts of the starting one.
const RATE_BOUNDS: (f32, f32) = (0.15, 3.0);
/// First pause after a target declined, and the longest one.
const FIRST_DECLINE_PAUSE: Duration = Duration::from_millis(50);
const LONGEST_DECLINE_PAUSE: Duration = Duration::from_millis(800);
/// First pause after a target could not be reached, and the longest one.
const FIRST_PAUSE: Duration = Duration::from_millis(300);
const LONGEST_PAUSE: Duration = Duration::from_secs(3);

/// How long an engine is left alone after word that it changes its part; several reports.
const MOVING_PAUSE: Duration = Duration::from_millis(600);
/// Time after an outage of the store in which entries that lapsed meanwhile come
/// back: about two seconds by a platform page.
const RETURN_TIME: Duration = Duration::from_millis(2500);
/// How long a lapsed target is still used where its entry may come back; with
/// the pace of reading this stays under the 2 s for leaving targets.
const LAPSE_TIME: Duration = Duration::from_millis(800);

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
    pub(super) read_rate: f32,
    /// Number of those timings.
    pub(super) samples: u32,
    /// Time of one run, in seconds.
    pub(super) run_seconds: f32,
    pub(super) paused_until: ClockTime,
    pause: Duration,
    decline_pause: Duration,
    /// Share of the last calls that failed.
    pub(super) failing: f32,
    #[serde(skip)]
    parts: HashMap<u64, KeptPart>,
    kept_tokens: u32,
}

#[derive(Debug, Clone, Copy)]
struct KeptPart {
    used: ClockTime,
    tokens: u32,
}

/// All known targets.
#[derive(Debug, Clone, Default, Serialize)]
pub struct TargetFleet {
    targets: BTreeMap<TargetId, TargetState>,
    lapsing: BTreeMap<TargetId, ClockTime>,
    /// When the list could last not be read.
    unread: Option<ClockTime>,
}

impl TargetState {
    fn new(target: DirectTarget) -> TargetState {
        let read_rate = start_rate(target.stage);
        TargetState {
            target: Arc::new(target),
            in_flight: InFlight::default(),
            read_rate,
            samples: 0,
            run_seconds: 0.0,
            paused_until: ClockTime::ZERO,
            pause: FIRST_PAUSE,
            decline_pause: FIRST_DECLINE_PAUSE,
            failing: 0.0,
            parts: HashMap::new(),
            kept_tokens: 0,
        }
    }

    /// Returns the tokens at the prompt's start that the target is believed to keep.
    pub(super) fn cached(&self, prompt: &PromptShape) -> u32 {
        let kept = prompt.parts.iter().take_while(|part| self.parts.contains_key(&part.id));
        kept.map(|part| part.tokens).sum()
    }

    /// Notes that the target keeps the shared parts of a prompt; the parts that
    /// were not used for longest yield where its memory is full.
    pub(super) fn keep(&mut self, now: ClockTime, prompt: &PromptShape, memory_tokens: u32) {
        let shared = prompt.parts.len().saturating_sub(1);
        for part in prompt.parts.iter().take(shared) {
            self.keep_part(now, *part, memory_tokens);
        }
    }

    /// Notes that the target keeps a part.
    pub(super) fn keep_part(&mut self, now: ClockTime, part: PromptPart, memory_tokens: u32) {
        let kept = KeptPart { used: now, tokens: part.tokens };
        if self.parts.insert(part.id, kept).is_none() {
            self.kept_tokens += part.tokens;
        }
        let limit = (memory_tokens as f32 * PARTS_SHARE) as u32;
        while self.kept_tokens > limit {
            let oldest = self.parts.iter().min_by_key(|(_, kept)| kept.used).map(|(id, _)| *id);
            let Some(kept) = oldest.and_then(|id| self.parts.remove(&id)) else { return };
            self.kept_tokens = self.kept_tokens.saturating_sub(kept.tokens);
        }
    }

    fn forget_parts(&mut self) {
        self.parts.clear();
        self.kept_tokens = 0;
    }

    /// Learns from the time that reading some tokens took, those ahead included.
    pub(super) fn learn_read(&mut self, own: u32, ahead: u32, took: Duration) {
        if own < LEARN_TOKENS {
            return;
        }
        let seconds = took.saturating_sub(CALL_TIME).as_secs_f32().max(0.001);
        let (low, high) = RATE_BOUNDS;
        let start = start_rate(self.target.stage);
        let rate = ((own + ahead) as f32 / seconds).clamp(start * low, start * high);
        self.samples = (self.samples + 1).min(MAX_SAMPLES);
        let share = (1.0 / self.samples as f32).max(LEARN_SHARE);
        self.read_rate += share * (rate - self.read_rate);
    }

    /// Returns the rate that a number of timings of peers, with their mean, and
    /// the own ones give together.
    pub(super) fn joint_rate(&self, (peer_rate, peer_samples): (f32, u32)) -> f32 {
        let samples = (self.samples + peer_samples) as f32;
        if samples == 0.0 {
            return self.read_rate;
        }
        (self.read_rate * self.samples as f32 + peer_rate * peer_samples as f32) / samples
    }

    /// Learns from the time that one run took.
    pub(super) fn learn_run(&mut self, took: Duration) {
        let seconds = took.as_secs_f32();
        let known = self.run_seconds > 0.0;
        let share = if known { LEARN_SHARE } else { 1.0 };
        self.run_seconds += share * (seconds - self.run_seconds);
    }

    pub(super) fn succeed(&mut self) {
        self.pause = FIRST_PAUSE;
        self.decline_pause = FIRST_DECLINE_PAUSE;
        self.failing -= LEARN_SHARE * self.failing;
    }

    pub(super) fn fail(&mut self) {
        self.failing += LEARN_SHARE * (1.0 - self.failing);
    }

    /// Leaves an engine alone that is about to change its part; told again and again.
    pub(super) fn set_moving(&mut self, now: ClockTime) {
        self.paused_until = self.paused_until.max(now + MOVING_PAUSE);
    }

    /// Leaves a target that declined alone for a short while. It looks idle by
    /// its work in flight, so that it would be chosen again at once.
    pub(super) fn decline(&mut self, now: ClockTime) {
        self.paused_until = now + self.decline_pause;
        self.decline_pause = (self.decline_pause * 2).min(LONGEST_DECLINE_PAUSE);
    }

    /// Leaves the target alone for a while that doubles with each failure.
    pub(super) fn rest(&mut self, now: ClockTime) {
        self.fail();
        self.paused_until = now + self.pause;
        self.pause = (self.pause * 2).min(LONGEST_PAUSE);
    }
}

impl TargetFleet {
    /// Applies a change of the list.
    pub(super) fn apply(&mut self, now: ClockTime, change: TargetChange) {
        match change {
            TargetChange::Listed(target) => self.list(target),
            TargetChange::Removed(id) => self.lapse(now, id),
            TargetChange::Snapshot { present, targets } => {
                let missing = self.targets.keys().filter(|id| !present.contains(id)).cloned();
                for id in missing.collect::<Vec<TargetId>>() {
                    self.lapse(now, id);
                }
                targets.into_iter().for_each(|target| self.list(target));
            }
            TargetChange::ReadFailed => self.unread = Some(now),
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
        let may_return = self.unread.is_some_and(|unread| now < unread + RETURN_TIME);
        if may_return {
            self.lapsing.entry(id).or_insert(now + LAPSE_TIME);
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

    fn list(&mut self, target: DirectTarget) {
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
            known.forget_parts();
            known.read_rate = start_rate(target.stage);
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

fn start_rate(stage: TargetStage) -> f32 {
    match stage {
        TargetStage::Prefill | TargetStage::Plain => START_READ_RATE,
        TargetStage::Decode => START_READ_RATE * DECODE_READ_PART,
    }
}
