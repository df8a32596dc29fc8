//! Known targets with their load, speed, cached prefixes and backoff.

use std::{
    collections::{BTreeMap, HashMap, HashSet},
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};

use serde::{Deserialize, Serialize};
use strum::Display;

use super::{
    InFlight, PromptSegment, PromptShape, ServiceName, SoftwareVersion, TargetStart, VersionChange,
    prefix_copy::SourceState,
    reading::{MIN_PAUSE, expiry_grace},
    stage_plan::ORDER_TIMEOUT,
    typical_rate::TypicalRates,
    version::{MAX_LIST_AGE, ServiceVersion, VersionSet, VersionTable},
};
use crate::ids::{ClockTime, DataCentreId, TargetId};

/// Prefill rate that is assumed before any call to an engine was timed, in tokens per
/// second: that of an engine of ordinary speed.
const INITIAL_PREFILL_RATE: f32 = 61_000.0;
/// Prefill rate of an engine in the decode stage, relative to the prefill stage.
const DECODE_PREFILL_FACTOR: f32 = 0.5;
/// Share of an engine's memory that is assumed to hold shared prompt segments. The rest
/// holds running requests and KV caches that wait for a decode call.
const PREFIX_MEMORY_SHARE: f32 = 0.75;
/// Time of a call besides prefill: connection setup, scheduling and the response's way.
pub(super) const CALL_OVERHEAD: Duration = Duration::from_millis(6);
/// Shortest prefill that is timed, in tokens. Shorter ones are no measure of the rate.
const MIN_TIMED_TOKENS: u32 = 1024;
/// Weight of a new sample in the moving averages of rates, run times and failures.
const SMOOTHING_FACTOR: f32 = 0.2;
/// Samples after which a rate becomes a moving average; before, it is the plain mean.
const MAX_SAMPLES: u32 = 10;
/// Lower and upper bound of one rate sample, relative to the initial rate.
const RATE_BOUNDS: (f32, f32) = (0.15, 3.0);
/// Bounds of the exponential backoff after a target declined.
const MIN_DECLINE_BACKOFF: Duration = Duration::from_millis(50);
const MAX_DECLINE_BACKOFF: Duration = Duration::from_millis(800);
/// Bounds of the exponential backoff after a target could not be reached.
const MIN_FAILURE_BACKOFF: Duration = Duration::from_millis(300);
const MAX_FAILURE_BACKOFF: Duration = Duration::from_secs(3);

/// Pause of an engine after a report that it is switching stages; it spans several reports.
const SWITCH_PAUSE: Duration = Duration::from_millis(600);
/// Time after a store outage in which expired registrations are written again, which takes
/// about two seconds.
const RELIST_TIME: Duration = Duration::from_millis(2500);
/// Time for which a removed target is remembered. It is longer than a copy that the store is
/// restored from is old.
const REMOVAL_MEMORY: Duration = Duration::from_secs(120);
/// Time for which a target's statement that it leaves is remembered; it is longer than targets
/// take to leave.
const LEAVING_MEMORY: Duration = Duration::from_secs(600);

/// Renewals of a registration after which its target is used again, although a registration with
/// higher numbers of the same start announced that it leaves.
const RENEWALS_AFTER_LEAVING: u32 = 3;

/// Stage of inference that an engine is assigned to.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Display)]
#[strum(serialize_all = "snake_case")]
pub enum TargetStage {
    /// Computes the KV caches of prompts.
    Prefill,
    /// Generates output. It can also prefill prompts, at half the speed.
    Decode,
    /// Plain service, which has no stages.
    Plain,
}

/// Target as its registration describes it.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct DirectTarget {
    /// Name of the target, which is the key of its registration.
    pub id: TargetId,
    /// Start time by the target's clock, in milliseconds. Distinguishes starts under one name.
    pub born_ms: u64,
    /// Service that the target belongs to.
    pub service: ServiceName,
    /// Version of its software. What two versions generate does not fit together.
    pub version: SoftwareVersion,
    /// Address for calls.
    pub address: SocketAddr,
    /// Data centre that the target runs in.
    pub data_centre: DataCentreId,
    /// Stage of an engine, or [`TargetStage::Plain`].
    pub stage: TargetStage,
    /// Number of requests that it runs concurrently.
    pub slots: u32,
    /// Whether it is draining and takes no new work.
    pub leaving: bool,
    /// Sequence number of the registration, which rises within one start.
    pub sequence: u64,
}

/// Start of a target that stated that it leaves.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeavingTarget {
    /// Name of the target.
    pub target: TargetId,
    /// Its start time, in milliseconds. A later start under the same name does not leave.
    pub born_ms: u64,
}

/// Change of the list of targets.
#[derive(Debug, Clone, PartialEq)]
pub enum TargetChange {
    /// A target's registration was added or changed.
    Listed(DirectTarget),
    /// A target's registration was removed or has expired.
    Removed(TargetId),
    /// The complete list. Targets that are not in `present` are removed.
    Snapshot {
        /// Names of all registrations, including those that could not be decoded.
        present: Vec<TargetId>,
        /// The decoded registrations.
        targets: Vec<DirectTarget>,
    },
    /// The list could not be read.
    ReadFailed,
    /// The store was restored from an older copy. The snapshot that follows may lack new
    /// registrations, and hold older ones and removed ones.
    StoreRestored,
}

/// What this process knows and estimates about one target.
#[derive(Debug, Clone, Serialize)]
pub(super) struct TargetState {
    pub(super) target: Arc<DirectTarget>,
    /// Work that this process has in flight there.
    pub(super) in_flight: InFlight,
    /// Prefill rate by this process's own samples, in tokens per second.
    #[serde(rename = "read_rate")]
    pub(super) prefill_rate: f32,
    /// Number of those samples, at most [`MAX_SAMPLES`].
    pub(super) samples: u32,
    /// Average time of a complete run, in seconds; 0 before the first one.
    pub(super) run_seconds: f32,
    pub(super) paused_until: ClockTime,
    /// When the list first showed the engine in another stage.
    #[serde(skip)]
    switched: Option<ClockTime>,
    /// Time until which the target wants no requests, by its own statement.
    closed_until: ClockTime,
    /// Doubt whether the start that is registered still runs.
    doubt: Option<StartDoubt>,
    /// Time at which that start is known to have run.
    alive_at: ClockTime,
    /// The last registration that was ignored as an older one.
    #[serde(skip)]
    older: Option<OlderRegistration>,
    #[serde(rename = "pause")]
    failure_backoff: Duration,
    #[serde(rename = "decline_pause")]
    decline_backoff: Duration,
    /// Moving average of the share of calls that failed.
    #[serde(rename = "failing")]
    pub(super) failure_rate: f32,
    /// How copies from it went.
    #[serde(skip)]
    pub(super) source: SourceState,
    #[serde(skip)]
    cached_segments: HashMap<u64, SegmentUse>,
    #[serde(rename = "kept_tokens")]
    cached_tokens: u32,
}

/// Sign that a start of a target has ended, which its registration does not show yet.
///
/// The next start under the same name may run another software version. A registration
/// that is read right after the end may have been written before it, but one of a later read
/// was written after the first read.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
struct StartDoubt {
    /// When it may have ended.
    since: ClockTime,
    /// When a renewed registration of the start was first read since.
    renewed: Option<ClockTime>,
}

/// Registration that is older than the known one by its numbers.
#[derive(Debug, Clone, Copy)]
struct OlderRegistration {
    born_ms: u64,
    sequence: u64,
    /// Number of such registrations before it, of the same start and in order.
    renewals: u32,
}

impl OlderRegistration {
    fn is_renewed_by(&self, target: &DirectTarget) -> bool {
        self.born_ms == target.born_ms && self.sequence < target.sequence
    }
}

#[derive(Debug, Clone, Copy)]
struct SegmentUse {
    used: ClockTime,
    tokens: u32,
}

/// All known targets.
#[derive(Debug, Clone, Default, Serialize)]
pub struct TargetFleet {
    /// How long a target is still used after its registration expired in a store outage.
    #[serde(skip)]
    expiry_grace: Duration,
    targets: BTreeMap<TargetId, TargetState>,
    /// Names that many targets have in common, of which one copy is kept.
    #[serde(skip)]
    names: HashSet<Arc<str>>,
    /// Prefill rates of the engines of each stage.
    #[serde(skip)]
    typical_rates: TypicalRates,
    #[serde(rename = "lapsing")]
    expiring: BTreeMap<TargetId, ClockTime>,
    /// Targets that stated that they leave, which their registrations may not say yet.
    leaving: BTreeMap<TargetId, (ClockTime, LeavingTarget)>,
    pub(super) versions: VersionTable,
    /// Begin of the last read to the end of the list.
    read_at: Option<ClockTime>,
    /// Time of the last failed read of the list.
    #[serde(rename = "unread")]
    last_read_failure: Option<ClockTime>,
    /// When the store was last restored from an older copy.
    restored_at: Option<ClockTime>,
    /// Targets that were removed lately, which a restored store may list again.
    #[serde(skip)]
    removed: HashMap<TargetId, RemovedTarget>,
}

/// Last registration of a target that was removed.
#[derive(Debug, Clone, Copy)]
struct RemovedTarget {
    at: ClockTime,
    registration: OlderRegistration,
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
            switched: None,
            closed_until: ClockTime::ZERO,
            doubt: None,
            alive_at: ClockTime::ZERO,
            older: None,
            failure_backoff: MIN_FAILURE_BACKOFF,
            decline_backoff: MIN_DECLINE_BACKOFF,
            failure_rate: 0.0,
            source: SourceState::default(),
            cached_segments: HashMap::new(),
            cached_tokens: 0,
        }
    }

    /// Returns how many tokens at the start of the prompt are expected in the target's cache.
    pub(super) fn cached_prefix_tokens(&self, prompt: &PromptShape) -> u32 {
        let cached = prompt
            .segments
            .iter()
            .take_while(|segment| self.cached_segments.contains_key(&segment.id));
        cached.map(|segment| segment.tokens).sum()
    }

    /// Records that the target has cached the shared segments of a prompt.
    pub(super) fn add_cached(&mut self, now: ClockTime, prompt: &PromptShape, memory_tokens: u32) {
        let shared = prompt.segments.len().saturating_sub(1);
        for segment in prompt.segments.iter().take(shared) {
            self.add_cached_segment(now, *segment, memory_tokens);
        }
    }

    /// Records that the target has cached a segment, and evicts the least recently used
    /// segments when the memory for them is full.
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

    /// Records that the target has not cached the shared segments of a prompt.
    pub(super) fn forget_cached(&mut self, prompt: &PromptShape) {
        let shared = prompt.segments.len().saturating_sub(1);
        for segment in prompt.segments.iter().take(shared) {
            if let Some(usage) = self.cached_segments.remove(&segment.id) {
                self.cached_tokens = self.cached_tokens.saturating_sub(usage.tokens);
            }
        }
    }

    fn clear_cached(&mut self) {
        self.cached_segments.clear();
        self.cached_tokens = 0;
    }

    /// Updates the prefill rate from the time that `own` tokens and those queued `ahead` took, and
    /// returns the sample if it counts as one.
    pub(super) fn record_prefill(&mut self, own: u32, ahead: u32, took: Duration) -> Option<f32> {
        if own < MIN_TIMED_TOKENS {
            return None;
        }
        let seconds = took.saturating_sub(CALL_OVERHEAD).as_secs_f32().max(0.001);
        let (low, high) = RATE_BOUNDS;
        let start = initial_rate(self.target.stage);
        let rate = ((own + ahead) as f32 / seconds).clamp(start * low, start * high);
        self.samples = (self.samples + 1).min(MAX_SAMPLES);
        let weight = (1.0 / self.samples as f32).max(SMOOTHING_FACTOR);
        self.prefill_rate += weight * (rate - self.prefill_rate);
        Some(rate)
    }

    /// Returns the mean rate of this process's and its peers' samples, weighted by number, or
    /// `typical` if there are none.
    pub(super) fn combined_rate(&self, (peer_rate, peer_samples): (f32, u32), typical: f32) -> f32 {
        let samples = self.samples.saturating_add(peer_samples) as f32;
        if samples == 0.0 {
            return typical;
        }
        (self.prefill_rate * self.samples as f32 + peer_rate * peer_samples as f32) / samples
    }

    /// Updates the average run time.
    pub(super) fn record_run(&mut self, took: Duration) {
        let seconds = took.as_secs_f32();
        let known = self.run_seconds > 0.0;
        let weight = if known { SMOOTHING_FACTOR } else { 1.0 };
        self.run_seconds += weight * (seconds - self.run_seconds);
    }

    pub(super) fn record_success(&mut self) {
        self.failure_backoff = MIN_FAILURE_BACKOFF;
        self.decline_backoff = MIN_DECLINE_BACKOFF;
        self.failure_rate -= SMOOTHING_FACTOR * self.failure_rate;
    }

    pub(super) fn record_failure(&mut self) {
        self.failure_rate += SMOOTHING_FACTOR * (1.0 - self.failure_rate);
    }

    /// Sends nothing to the target until a time that it stated. An earlier one does not count.
    pub(super) fn close(&mut self, until: ClockTime) {
        self.closed_until = self.closed_until.max(until);
    }

    pub(super) fn is_closed(&self, now: ClockTime) -> bool {
        self.closed_until > now
    }

    /// Returns whether the start that is registered still runs, as far as is known.
    pub(super) fn is_same_start(&self) -> bool {
        self.doubt.is_none()
    }

    /// Returns whether a registration replaces the known one.
    ///
    /// One that is older by its numbers may have been written late, and is then read once. If it
    /// is renewed, its target runs, and the known numbers were no target's, or its VM's clock was
    /// ahead. A start that announced that it leaves goes on to announce it, so that several
    /// late registrations without that between two of its own do not undo it.
    fn accepts(&mut self, target: &DirectTarget) -> bool {
        let known = (self.target.born_ms, self.target.sequence);
        if (target.born_ms, target.sequence) >= known {
            self.older = None;
            return true;
        }
        let undoes_leaving =
            self.target.leaving && !target.leaving && target.born_ms == self.target.born_ms;
        let needed = if undoes_leaving { RENEWALS_AFTER_LEAVING } else { 1 };
        let renewals = match &self.older {
            Some(older) if older.is_renewed_by(target) => older.renewals + 1,
            _ => 0,
        };
        let accepted = renewals >= needed;
        let (born_ms, sequence) = (target.born_ms, target.sequence);
        self.older = (!accepted).then_some(OlderRegistration { born_ms, sequence, renewals });
        accepted
    }

    fn registration_renewed(&mut self, now: ClockTime) {
        let Some(doubt) = &mut self.doubt else { return };
        let first = *doubt.renewed.get_or_insert(now);
        if now >= first + MIN_PAUSE {
            self.confirm_start(first);
        }
    }

    /// Records a sign that the start ended at a time. Peers repeat what they report.
    fn doubt_start(&mut self, at: ClockTime) {
        if at > self.alive_at && self.doubt.is_none() {
            self.doubt = Some(StartDoubt { since: at, renewed: None });
        }
    }

    /// Records that the start ran at a time.
    fn confirm_start(&mut self, at: ClockTime) {
        self.alive_at = self.alive_at.max(at);
        self.doubt.take_if(|doubt| doubt.since <= at);
    }

    /// Pauses an engine that is switching stages; repeated reports extend the pause.
    ///
    /// One that the list already shows in its new stage is not paused: the entry that ordered it
    /// may be cut off from the store, and reports it until the order's time has run out.
    pub(super) fn pause_switching(&mut self, now: ClockTime) {
        if self.switched.is_some_and(|switched| now < switched + ORDER_TIMEOUT) {
            return;
        }
        self.paused_until = self.paused_until.max(now + SWITCH_PAUSE);
        self.source.pause(now + SWITCH_PAUSE);
    }

    /// Pauses a target that declined. Its work in flight makes it look idle, so it would
    /// otherwise be chosen again at once.
    pub(super) fn record_decline(&mut self, now: ClockTime) {
        self.paused_until = now + self.decline_backoff;
        self.decline_backoff = (self.decline_backoff * 2).min(MAX_DECLINE_BACKOFF);
    }

    /// Pauses the target for a time that doubles with each failure.
    pub(super) fn back_off(&mut self, now: ClockTime) {
        self.record_failure();
        self.paused_until = now + self.failure_backoff;
        self.source.pause(self.paused_until);
        self.failure_backoff = (self.failure_backoff * 2).min(MAX_FAILURE_BACKOFF);
    }
}

impl TargetFleet {
    /// Creates an empty list of targets that use a leaving one no longer than `drain_bound`.
    pub(super) fn new(drain_bound: Duration) -> TargetFleet {
        TargetFleet { expiry_grace: expiry_grace(drain_bound), ..TargetFleet::default() }
    }

    /// Applies a change of the list.
    pub(super) fn apply(&mut self, now: ClockTime, change: TargetChange) {
        match change {
            TargetChange::Listed(target) => self.upsert(now, target),
            TargetChange::Removed(id) => self.expire(now, id),
            TargetChange::Snapshot { present, targets } => {
                self.versions.gap_noticed();
                let present: HashSet<TargetId> = present.into_iter().collect();
                let missing = self.targets.keys().filter(|id| !present.contains(*id)).cloned();
                for id in missing.collect::<Vec<TargetId>>() {
                    self.expire(now, id);
                }
                targets.into_iter().for_each(|target| self.upsert(now, target));
            }
            TargetChange::ReadFailed => self.last_read_failure = Some(now),
            TargetChange::StoreRestored => {
                if !self.is_list_current(now.saturating_sub(MAX_LIST_AGE)) {
                    self.versions.records_lost();
                }
                self.last_read_failure = Some(now);
                self.restored_at = Some(now);
            }
        }
    }

    /// Removes a target without a registration, after a grace time if the store was unreadable.
    ///
    /// Registrations expire in a store outage although their targets are alive, and are
    /// written again afterwards.
    fn expire(&mut self, now: ClockTime, id: TargetId) {
        if !self.targets.contains_key(&id) {
            return;
        }
        let may_return = self.last_read_failure.is_some_and(|failed| now < failed + RELIST_TIME);
        if may_return {
            self.expiring.entry(id).or_insert(now + self.expiry_grace);
        } else {
            self.remove(now, &id);
        }
    }

    fn remove(&mut self, now: ClockTime, id: &TargetId) {
        self.expiring.remove(id);
        if let Some(state) = self.targets.remove(id) {
            self.versions.record(now, &state.target);
            let DirectTarget { born_ms, sequence, .. } = *state.target;
            let registration = OlderRegistration { born_ms, sequence, renewals: 0 };
            self.removed.retain(|_, removed| removed.at + REMOVAL_MEMORY >= now);
            self.removed.insert(id.clone(), RemovedTarget { at: now, registration });
        }
    }

    /// Returns whether a registration is one that was removed, which a store that was restored
    /// from an older copy lists again. If it is renewed, its target runs.
    fn is_removed(&mut self, target: &DirectTarget) -> bool {
        let Some(removed) = self.removed.get(&target.id) else { return false };
        let is_back = self.restored_at.is_some_and(|restored| restored >= removed.at)
            && removed.registration.born_ms == target.born_ms
            && !removed.registration.is_renewed_by(target);
        if !is_back {
            self.removed.remove(&target.id);
        }
        is_back
    }

    /// Removes targets whose grace time ended without a new registration.
    pub(super) fn drop_expired(&mut self, now: ClockTime) {
        let due = |at: &ClockTime| *at <= now;
        let expired = self.expiring.iter().filter(|(_, at)| due(at)).map(|(id, _)| id.clone());
        for id in expired.collect::<Vec<TargetId>>() {
            self.remove(now, &id);
        }
    }

    /// Returns the time until the first target of a service that wants no requests wants some
    /// again; `None` if none of them is closed.
    pub(super) fn opens_in(&self, now: ClockTime, service: &ServiceName) -> Option<Duration> {
        let of_service = |state: &&TargetState| state.target.service == *service;
        let closed = self.targets.values().filter(of_service).filter(|state| state.is_closed(now));
        closed.map(|state| state.closed_until - now).min()
    }

    /// Records that a target stated that it leaves. Registrations of the same start do not
    /// undo this.
    pub(super) fn mark_leaving(&mut self, now: ClockTime, leaving: LeavingTarget) {
        self.leaving.retain(|_, (stated, _)| *stated + LEAVING_MEMORY >= now);
        if let Some(state) = self.targets.get_mut(&leaving.target)
            && state.target.born_ms == leaving.born_ms
            && !state.target.leaving
        {
            state.target = Arc::new(DirectTarget { leaving: true, ..(*state.target).clone() });
        }
        self.leaving.insert(leaving.target.clone(), (now, leaving));
    }

    /// Records what a peer reported of a target that leaves, unless it is known: peers that
    /// report the same to each other would never end.
    pub(super) fn hear_leaving(&mut self, now: ClockTime, leaving: &LeavingTarget) {
        let known = self.leaving.get(&leaving.target);
        if known.is_some_and(|(_, known)| known.born_ms >= leaving.born_ms) {
            return;
        }
        self.mark_leaving(now, leaving.clone());
    }

    /// Returns the targets that stated since a time that they leave, for reports to peers.
    pub(super) fn leaving_since(&self, since: ClockTime) -> Vec<LeavingTarget> {
        let recent = self.leaving.values().filter(|(stated, _)| *stated >= since);
        recent.map(|(_, leaving)| leaving.clone()).collect()
    }

    /// Records a sign that a start of a target ended at a time.
    pub(super) fn doubt_start(&mut self, at: ClockTime, start: &TargetStart) {
        if let Some(state) = self.registered_start(start) {
            state.doubt_start(at);
        }
    }

    /// Records that a start of a target ran at a time.
    pub(super) fn confirm_start(&mut self, at: ClockTime, start: &TargetStart) {
        if let Some(state) = self.registered_start(start) {
            state.confirm_start(at);
        }
    }

    /// Returns the target, if this start of it is the one that is registered.
    pub(super) fn registered_start(
        &mut self,
        (target, born_ms): &TargetStart,
    ) -> Option<&mut TargetState> {
        self.targets.get_mut(target).filter(|state| state.target.born_ms == *born_ms)
    }

    fn has_stated_leaving(&self, target: &DirectTarget) -> bool {
        let stated = self.leaving.get(&target.id);
        stated.is_some_and(|(_, leaving)| leaving.born_ms == target.born_ms)
    }

    fn upsert(&mut self, now: ClockTime, mut target: DirectTarget) {
        target.leaving |= self.has_stated_leaving(&target);
        self.share_names(&mut target);
        self.expiring.remove(&target.id);
        self.versions.record(now, &target);
        if !self.targets.contains_key(&target.id) && self.is_removed(&target) {
            return;
        }
        let Some(known) = self.targets.get_mut(&target.id) else {
            self.targets.insert(target.id.clone(), TargetState::new(target));
            return;
        };
        if !known.accepts(&target) {
            return;
        }
        if target.born_ms != known.target.born_ms || target.stage != known.target.stage {
            known.clear_cached();
            known.prefill_rate = initial_rate(target.stage);
            known.samples = 0;
        }
        if target.born_ms == known.target.born_ms && target.stage != known.target.stage {
            known.paused_until = ClockTime::ZERO;
            known.switched = Some(now);
        }
        if target.born_ms != known.target.born_ms {
            // It may have run since its last registration was read.
            self.versions.record(now, &known.target);
            known.paused_until = ClockTime::ZERO;
            known.switched = None;
            known.closed_until = ClockTime::ZERO;
            known.source = SourceState::default();
            known.doubt = None;
            known.alive_at = ClockTime::ZERO;
        } else if target.sequence != known.target.sequence {
            known.registration_renewed(now);
        }
        known.target = Arc::new(target);
    }

    /// Replaces the names of a target that others have as well by the same copies. A decision
    /// compares them for all targets, and a copy for each would not fit the processor's caches.
    fn share_names(&mut self, target: &mut DirectTarget) {
        let DirectTarget { service, version, data_centre, .. } = target;
        for name in [service, version, data_centre] {
            match self.names.get(name) {
                Some(known) => *name = known.clone(),
                None => {
                    self.names.retain(|known| Arc::strong_count(known) > 1);
                    self.names.insert(name.clone());
                }
            }
        }
    }

    /// Records that the list was read to its end, by a read that began at a time.
    pub(super) fn list_read(&mut self, began: ClockTime) {
        // Until then, registrations that a restored store has lost are written again.
        if self.restored_at.is_some_and(|restored| began < restored + RELIST_TIME) {
            return;
        }
        self.read_at = self.read_at.max(Some(began));
    }

    /// Returns whether the list was read after the targets had time to register again, if the
    /// store was restored from an older copy.
    pub(super) fn is_relisted(&self) -> bool {
        self.restored_at.is_none_or(|restored| self.is_list_current(restored + RELIST_TIME))
    }

    /// Returns whether the list shows all registrations that were written before a time.
    pub(super) fn is_list_current(&self, at: ClockTime) -> bool {
        self.read_at.is_some_and(|read| read >= at)
    }

    /// Returns the software versions that targets of a service had since a time.
    pub(super) fn versions_since(&self, since: ClockTime, service: &ServiceName) -> VersionSet {
        let listed = self.targets.values().filter(|state| state.target.service == *service);
        let seen = self.versions.seen_since(since, service);
        listed.fold(seen, |versions, state| versions.add(&state.target.version))
    }

    /// Returns how the store's records of these services' versions have to change, of which
    /// those that were not seen since a time are gone.
    pub(super) fn version_changes(
        &mut self,
        since: ClockTime,
        services: &HashSet<&ServiceName>,
    ) -> Vec<VersionChange> {
        let targets = &self.targets;
        self.versions.take_changes(since, services, |known| {
            targets.values().any(|state| ServiceVersion::of(&state.target) == *known)
        })
    }

    /// Adds a sample of the prefill rate to that of all engines of a stage.
    pub(super) fn record_rate(&mut self, stage: TargetStage, rate: f32) {
        self.typical_rates.record(stage, rate);
    }

    /// Returns the prefill rate that is assumed of an engine without samples, in tokens per
    /// second: that of the others in its stage.
    pub(super) fn typical_rate(&self, stage: TargetStage) -> f32 {
        self.typical_rates.rate(stage).unwrap_or_else(|| initial_rate(stage))
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

    /// Returns whether a service has a target that is not draining.
    pub fn serves(&self, service: &str) -> bool {
        self.targets
            .values()
            .any(|state| &*state.target.service == service && !state.target.leaving)
    }

    /// Returns whether any target is an engine.
    pub(super) fn has_engines(&self) -> bool {
        self.targets.values().any(|state| state.target.stage != TargetStage::Plain)
    }

    /// Returns the number of known targets.
    pub fn len(&self) -> usize {
        self.targets.len()
    }

    /// Returns whether no target is known.
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
