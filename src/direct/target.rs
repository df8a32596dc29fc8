//! Targets that an entry knows, and what it believes about each.

use std::{
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};

use serde::Serialize;
use strum::Display;

use super::{PromptShape, ServiceName};
use crate::ids::{ClockTime, DataCentreId, TargetId};

/// Prompt tokens that an engine of ordinary speed reads in a second, before any
/// of its own calls was timed; from the deployments' sheets.
const START_READ_RATE: f32 = 61_000.0;
/// Weight of a new timing in a learned figure.
const LEARN_SHARE: f32 = 0.2;
/// Bounds of a learned reading rate, as parts of the starting one.
const RATE_BOUNDS: (f32, f32) = (0.15, 3.0);
/// First pause after a target could not be reached, and the longest one.
const FIRST_PAUSE: Duration = Duration::from_millis(300);
const LONGEST_PAUSE: Duration = Duration::from_secs(3);
/// Time after its last use at which a cached part is no longer believed.
const PART_LIFETIME: Duration = Duration::from_secs(60);

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
    /// Time for which it is still slow after its start.
    pub warming: Duration,
    /// Number of the entry, which rises within one start.
    pub sequence: u64,
}

/// Change of the list of targets.
#[derive(Debug, Clone, PartialEq)]
pub enum TargetChange {
    /// A target is there, or its entry changed.
    Listed(DirectTarget),
    /// A target is gone.
    Gone(TargetId),
    /// The whole list; targets outside it are gone.
    Whole(Vec<DirectTarget>),
}

/// Belief about one target.
#[derive(Debug, Clone, Serialize)]
pub(super) struct TargetState {
    pub(super) target: Arc<DirectTarget>,
    /// Requests of this process.
    pub(super) running: u32,
    /// Prompt tokens that this process has sent and that are not yet read.
    pub(super) reading: u32,
    /// Prompt tokens read in a second.
    pub(super) read_rate: f32,
    /// Time of one run, in seconds.
    pub(super) run_seconds: f32,
    pub(super) paused_until: ClockTime,
    pause: Duration,
    /// Share of the last calls that failed.
    pub(super) failing: f32,
    #[serde(skip)]
    parts: HashMap<u64, ClockTime>,
}

/// All known targets.
#[derive(Debug, Clone, Default, Serialize)]
pub struct TargetFleet {
    targets: BTreeMap<TargetId, TargetState>,
}

impl TargetState {
    fn new(target: DirectTarget) -> TargetState {
        TargetState {
            target: Arc::new(target),
            running: 0,
            reading: 0,
            read_rate: START_READ_RATE,
            run_seconds: 0.0,
            paused_until: ClockTime::ZERO,
            pause: FIRST_PAUSE,
            failing: 0.0,
            parts: HashMap::new(),
        }
    }

    /// Returns the tokens at the prompt's start that the target is believed to keep.
    pub(super) fn cached(&self, prompt: &PromptShape) -> u32 {
        let kept = prompt.parts.iter().take_while(|part| self.parts.contains_key(&part.id));
        kept.map(|part| part.tokens).sum()
    }

    /// Notes that the target keeps the shared parts of a prompt.
    pub(super) fn keep(&mut self, now: ClockTime, prompt: &PromptShape) {
        let shared = prompt.parts.len().saturating_sub(1);
        for part in prompt.parts.iter().take(shared) {
            self.parts.insert(part.id, now);
        }
    }

    /// Learns from the time that reading some tokens took.
    pub(super) fn learn_read(&mut self, tokens: u32, took: Duration) {
        let seconds = took.as_secs_f32().max(0.001);
        let (low, high) = RATE_BOUNDS;
        let rate = (tokens as f32 / seconds).clamp(START_READ_RATE * low, START_READ_RATE * high);
        self.read_rate += LEARN_SHARE * (rate - self.read_rate);
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
        self.failing -= LEARN_SHARE * self.failing;
    }

    pub(super) fn fail(&mut self) {
        self.failing += LEARN_SHARE * (1.0 - self.failing);
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
    pub(super) fn apply(&mut self, change: TargetChange) {
        match change {
            TargetChange::Listed(target) => self.list(target),
            TargetChange::Gone(id) => {
                self.targets.remove(&id);
            }
            TargetChange::Whole(targets) => {
                self.targets.retain(|id, _| targets.iter().any(|target| target.id == *id));
                targets.into_iter().for_each(|target| self.list(target));
            }
        }
    }

    fn list(&mut self, target: DirectTarget) {
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
            known.parts.clear();
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

    /// Returns the number of known targets.
    pub fn len(&self) -> usize {
        self.targets.len()
    }

    /// Tells whether no target is known.
    pub fn is_empty(&self) -> bool {
        self.targets.is_empty()
    }

    pub(super) fn forget_parts(&mut self, now: ClockTime) {
        for state in self.targets.values_mut() {
            state.parts.retain(|_, used| now <= *used + PART_LIFETIME);
        }
    }
}
