//! Model of an engine with continuous batching, as a pure state machine.
//!
//! Work proceeds in steps. A step prefills a chunk of prompts, decodes one
//! token for each running request, or does both at reduced speed. The same
//! model runs behind HTTP in real time and in simulations under a test clock.

use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use sapphirewell::{
    ids::{ClockTime, FencingToken, LogOffset, PrefixHash},
    record::EngineRole,
    request::{KV_PAGE_TOKENS, PREFIX_BLOCK_TOKENS},
    side::TargetReport,
};

/// Number of tokens in a chunk of output; the last chunk may be shorter.
pub const CHUNK_TOKENS: u32 = 8;
/// Duration of a role change, during which the engine accepts no runs.
pub const ROLE_CHANGE_TIME: Duration = Duration::from_secs(6);
/// Time after a restart until a role change that a crash interrupted completes.
pub const ROLE_RECOVERY_TIME: Duration = Duration::from_secs(3);
/// Prefill throughput of an engine of speed 1, in tokens per second.
pub const PREFILL_TOKENS_PER_S: f64 = 6000.0;
/// Fixed duration of a decode step at speed 1, in seconds.
pub const DECODE_STEP_BASE_S: f64 = 0.018;
/// Duration that each running request adds to a decode step at speed 1, in seconds.
pub const DECODE_STEP_PER_RUN_S: f64 = 0.0004;
const PREFILL_STEP_BASE_S: f64 = 0.004;
const MAX_STEP_PREFILL_TOKENS: u32 = 2048;
const MAX_MIXED_STEP_PREFILL_TOKENS: u32 = 512;
const MIXED_STEP_FACTOR: f64 = 1.25;
const IMPORT_BASE_S: f64 = 0.020;
const IMPORT_PER_PAGE_S: f64 = 0.005;
const CACHE_EVENT_DELAY: Duration = Duration::from_millis(1000);
const LOST_CACHE_EVENT_INTERVAL: u64 = 7;

/// Identifies a run within one engine; also the handle of its KV cache.
pub type RunKey = u64;

/// Fixed properties of an engine.
#[derive(Debug, Clone, PartialEq)]
pub struct EngineProfile {
    /// Name of the engine.
    pub name: String,
    /// Name of the loaded model.
    pub model: String,
    /// Size of the KV memory, in pages.
    pub kv_pages: u32,
    /// Divisor of step durations; 1 is the reference engine.
    pub speed: f64,
    /// Whether it rejects orders with an outdated fencing token.
    pub checks_fence: bool,
}

/// Stages that a run executes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EngineWork {
    /// Prefill and decode.
    Complete,
    /// Prefill and hold the KV cache for another engine.
    Prefill,
    /// Import a KV cache and decode.
    Decode,
}

/// Request to run on an engine.
#[derive(Debug, Clone, PartialEq)]
pub struct EngineRun {
    /// Identifies the run in outputs and cancellations.
    pub key: RunKey,
    /// Stages to execute.
    pub work: EngineWork,
    /// Length of the prompt, in tokens.
    pub prompt_tokens: u32,
    /// Hashes of the prompt's block-aligned prefixes, shortest first.
    pub prefixes: Vec<PrefixHash>,
    /// Length of the output, in tokens.
    pub output_tokens: u32,
    /// Priority from 0 (first) to 9 (last).
    pub priority: u8,
    /// Number of chunks that an earlier attempt already generated.
    pub resume_chunks: u32,
    /// Whether the run crashes the engine when its prefill completes.
    pub poison: bool,
}

/// Event that an engine emits.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum EngineOutput {
    /// The prefill of a run is complete.
    PrefillDone(RunKey),
    /// A run generated a chunk of output.
    Chunk {
        /// Key of the run.
        key: RunKey,
        /// Index within the complete output.
        index: u32,
        /// Number of tokens in the chunk.
        tokens: u32,
    },
    /// A run completed its output.
    Done {
        /// Key of the run.
        key: RunKey,
        /// Number of chunks in the complete output.
        chunks: u32,
        /// Number of tokens in the complete output.
        tokens: u32,
    },
    /// The KV cache is ready; its handle is the run's key.
    CacheReady(RunKey),
    /// A role change terminated the run.
    Lost(RunKey),
    /// The engine crashed; all runs are lost.
    Crashed,
}

/// State of an engine.
#[derive(Debug, Clone)]
pub struct EngineModel {
    profile: EngineProfile,
    role: Option<EngineRole>,
    change: Option<RoleChange>,
    boot: u64,
    fence: FencingToken,
    last_plan: LogOffset,
    role_changes: u64,
    down_until: ClockTime,
    runs: BTreeMap<RunKey, RunState>,
    held_caches: BTreeMap<RunKey, u32>,
    step: Option<EngineStep>,
    cache: VecDeque<PrefixHash>,
    events: VecDeque<(ClockTime, PrefixHash)>,
    event_count: u64,
    arrivals: u64,
    stalled_until: ClockTime,
}

#[derive(Debug, Clone, Copy)]
struct RoleChange {
    role: EngineRole,
    ends: ClockTime,
}

#[derive(Debug, Clone)]
struct RunState {
    run: EngineRun,
    arrival: u64,
    pending_prefill: u32,
    ready: ClockTime,
    generated: u32,
}

#[derive(Debug, Clone)]
struct EngineStep {
    ends: ClockTime,
    prefills: Vec<(RunKey, u32)>,
    decodes: Vec<RunKey>,
}

impl EngineModel {
    /// Returns an idle engine with the given role.
    pub fn new(profile: EngineProfile, role: EngineRole) -> EngineModel {
        EngineModel {
            profile,
            role: Some(role),
            change: None,
            boot: 1,
            fence: 0,
            last_plan: 0,
            role_changes: 0,
            down_until: ClockTime::ZERO,
            runs: BTreeMap::new(),
            held_caches: BTreeMap::new(),
            step: None,
            cache: VecDeque::new(),
            events: VecDeque::new(),
            event_count: 0,
            arrivals: 0,
            stalled_until: ClockTime::ZERO,
        }
    }

    /// Returns the engine's fixed properties.
    pub fn profile(&self) -> &EngineProfile {
        &self.profile
    }

    /// Returns the number of role changes started by orders.
    pub fn role_changes(&self) -> u64 {
        self.role_changes
    }

    /// Returns whether the engine responds at `now`; it is down for a while after a crash.
    pub fn is_up(&self, now: ClockTime) -> bool {
        now >= self.down_until
    }

    /// Returns whether the engine holds a KV cache for another engine to import.
    pub fn holds(&self, handle: RunKey) -> bool {
        self.held_caches.contains_key(&handle)
    }

    /// Returns whether a role change is in progress.
    pub fn is_changing(&self) -> bool {
        self.change.is_some()
    }

    /// Submits a run; returns `false` if the engine is down or its role doesn't
    /// allow the work.
    pub fn submit(&mut self, now: ClockTime, run: EngineRun) -> bool {
        let able = match (self.role, run.work) {
            (Some(EngineRole::Mixed), _) => true,
            (Some(EngineRole::Prefill), EngineWork::Prefill) => true,
            (Some(EngineRole::Decode), EngineWork::Decode) => true,
            (Some(EngineRole::Prefill | EngineRole::Decode) | None, _) => false,
        };
        if !able || !self.is_up(now) {
            return false;
        }
        self.arrivals += 1;
        let resumed = run.resume_chunks * CHUNK_TOKENS;
        let (pending_prefill, ready) = match run.work {
            EngineWork::Decode => {
                let pages = f64::from(run.prompt_tokens.div_ceil(KV_PAGE_TOKENS));
                (0, now + Duration::from_secs_f64(IMPORT_BASE_S + IMPORT_PER_PAGE_S * pages))
            }
            EngineWork::Complete | EngineWork::Prefill => {
                (run.prompt_tokens.saturating_sub(self.cached_tokens(&run)).max(1) + resumed, now)
            }
        };
        let state =
            RunState { arrival: self.arrivals, pending_prefill, ready, generated: resumed, run };
        self.runs.insert(state.run.key, state);
        if self.step.is_none() {
            self.begin_step(now);
        }
        true
    }

    /// Cancels a run and frees its KV cache.
    pub fn cancel(&mut self, key: RunKey) {
        self.runs.remove(&key);
        self.held_caches.remove(&key);
    }

    /// Returns the next time at which [`advance`](Self::advance) has work to do;
    /// `None` while the engine is idle.
    pub fn next_wake(&self) -> Option<ClockTime> {
        let step = self.step.as_ref().map(|step| step.ends);
        let change = self.change.map(|change| change.ends);
        let import =
            if self.step.is_none() { self.runs.values().map(|run| run.ready).min() } else { None };
        [step, change, import].into_iter().flatten().min()
    }

    /// Advances the engine to `now` and appends the events to `out`.
    pub fn advance(&mut self, now: ClockTime, out: &mut Vec<EngineOutput>) {
        if self.change.is_some_and(|change| change.ends <= now) {
            self.role = self.change.take().map(|change| change.role);
        }
        while let Some(step) = self.step.take_if(|step| step.ends <= now) {
            let ended = step.ends;
            if !self.end_step(ended, step, out) {
                self.crash(now, Duration::from_secs(2));
                out.push(EngineOutput::Crashed);
                return;
            }
            self.begin_step(ended);
        }
        if self.step.is_none() {
            self.begin_step(now);
        }
    }

    /// Crashes the engine for the duration `down`. All runs and caches are lost.
    pub fn crash(&mut self, now: ClockTime, down: Duration) {
        self.boot += 1;
        self.down_until = now + down;
        self.runs.clear();
        self.held_caches.clear();
        self.cache.clear();
        self.events.clear();
        self.step = None;
        if let Some(change) = &mut self.change {
            change.ends = self.down_until + ROLE_RECOVERY_TIME;
        }
    }

    /// Delays the start of further steps until `until`.
    pub fn stall(&mut self, until: ClockTime) {
        self.stalled_until = until;
    }

    /// Handles a role-change order and returns whether it was accepted. Appends a
    /// [`EngineOutput::Lost`] to `out` for each run that it terminates.
    pub fn order(
        &mut self,
        now: ClockTime,
        fence: FencingToken,
        plan: LogOffset,
        role: EngineRole,
        out: &mut Vec<EngineOutput>,
    ) -> bool {
        if !self.is_up(now)
            || self.change.is_some()
            || (self.profile.checks_fence && fence < self.fence)
        {
            return false;
        }
        self.fence = self.fence.max(fence);
        if plan == self.last_plan && self.role == Some(role) {
            return true;
        }
        self.last_plan = plan;
        self.role_changes += 1;
        out.extend(self.runs.keys().map(|key| EngineOutput::Lost(*key)));
        self.runs.clear();
        self.held_caches.clear();
        self.cache.clear();
        self.step = None;
        self.role = None;
        self.change = Some(RoleChange { role, ends: now + ROLE_CHANGE_TIME });
        true
    }

    /// Returns the status report of the engine.
    ///
    /// Newly cached prefixes are reported after a delay of one second, and every seventh
    /// is omitted.
    pub fn report(&mut self, now: ClockTime) -> TargetReport {
        let mut cached = Vec::new();
        while let Some((_, prefix)) =
            self.events.pop_front_if(|(time, _)| *time + CACHE_EVENT_DELAY <= now)
        {
            self.event_count += 1;
            if !self.event_count.is_multiple_of(LOST_CACHE_EVENT_INTERVAL) {
                cached.push(prefix);
            }
        }
        TargetReport {
            boot: self.boot,
            role: self.role,
            changing: self.change.is_some(),
            fence: self.fence,
            cached,
        }
    }

    fn cached_tokens(&self, run: &EngineRun) -> u32 {
        let cached = run.prefixes.iter().rposition(|prefix| self.cache.contains(prefix));
        cached.map_or(0, |index| (index as u32 + 1) * PREFIX_BLOCK_TOKENS)
    }

    fn begin_step(&mut self, now: ClockTime) {
        let Some(role) = self.role else { return };
        let start = now.max(self.stalled_until);
        let decodes: Vec<RunKey> = self
            .runs
            .iter()
            .filter(|(_, run)| run.pending_prefill == 0 && run.ready <= now)
            .map(|(key, _)| *key)
            .collect();
        let budget = match (role, decodes.is_empty()) {
            (EngineRole::Decode, _) => 0,
            (EngineRole::Prefill, _) | (EngineRole::Mixed, true) => MAX_STEP_PREFILL_TOKENS,
            (EngineRole::Mixed, false) => MAX_MIXED_STEP_PREFILL_TOKENS,
        };
        let prefills = self.select_prefills(budget);
        if prefills.is_empty() && decodes.is_empty() {
            return;
        }
        let prefill_tokens: u32 = prefills.iter().map(|(_, tokens)| tokens).sum();
        let ends = start + self.step_time(prefill_tokens, decodes.len());
        self.step = Some(EngineStep { ends, prefills, decodes });
    }

    fn select_prefills(&self, budget: u32) -> Vec<(RunKey, u32)> {
        let mut waiting: Vec<&RunState> =
            self.runs.values().filter(|run| run.pending_prefill > 0).collect();
        waiting.sort_by_key(|run| (run.run.priority, run.arrival));
        let mut left = budget;
        let mut prefills = Vec::new();
        for run in waiting {
            if left == 0 {
                break;
            }
            let tokens = run.pending_prefill.min(left);
            left -= tokens;
            prefills.push((run.run.key, tokens));
        }
        prefills
    }

    fn step_time(&self, prefill_tokens: u32, decodes: usize) -> Duration {
        let prefill_s = f64::from(prefill_tokens) / PREFILL_TOKENS_PER_S;
        let decode_s = DECODE_STEP_BASE_S + DECODE_STEP_PER_RUN_S * decodes as f64;
        let seconds = match (prefill_tokens, decodes) {
            (_, 0) => PREFILL_STEP_BASE_S + prefill_s,
            (0, _) => decode_s,
            _ => (prefill_s + decode_s) * MIXED_STEP_FACTOR,
        };
        Duration::from_secs_f64(seconds / self.profile.speed)
    }

    /// Applies a completed step; returns `false` if it crashed the engine.
    fn end_step(&mut self, now: ClockTime, step: EngineStep, out: &mut Vec<EngineOutput>) -> bool {
        for key in step.decodes {
            self.decode_token(key, out);
        }
        for (key, tokens) in step.prefills {
            let Some(state) = self.runs.get_mut(&key) else { continue };
            state.pending_prefill -= tokens;
            if state.pending_prefill > 0 {
                continue;
            }
            if state.run.poison {
                return false;
            }
            let (work, prefixes) = (state.run.work, state.run.prefixes.clone());
            let prompt_tokens = state.run.prompt_tokens;
            self.cache_prefixes(now, &prefixes);
            out.push(EngineOutput::PrefillDone(key));
            if work == EngineWork::Prefill {
                self.runs.remove(&key);
                self.held_caches.insert(key, prompt_tokens);
                out.push(EngineOutput::CacheReady(key));
            } else {
                self.decode_token(key, out);
            }
        }
        true
    }

    fn decode_token(&mut self, key: RunKey, out: &mut Vec<EngineOutput>) {
        let Some(state) = self.runs.get_mut(&key) else { return };
        let total = state.run.output_tokens;
        state.generated = (state.generated + 1).min(total);
        let generated = state.generated;
        let done = generated >= total;
        if done || generated.is_multiple_of(CHUNK_TOKENS) {
            let index = (generated - 1) / CHUNK_TOKENS;
            out.push(EngineOutput::Chunk { key, index, tokens: generated - index * CHUNK_TOKENS });
        }
        if done {
            self.runs.remove(&key);
            out.push(EngineOutput::Done {
                key,
                chunks: total.div_ceil(CHUNK_TOKENS),
                tokens: total,
            });
        }
    }

    fn cache_prefixes(&mut self, now: ClockTime, prefixes: &[PrefixHash]) {
        for prefix in prefixes {
            self.cache.retain(|known| known != prefix);
            self.cache.push_back(*prefix);
            self.events.push_back((now, *prefix));
        }
        while self.cache.len() > self.profile.kv_pages as usize {
            self.cache.pop_front();
        }
    }
}

/// Returns the output length for a prompt, in tokens. It is a function of the
/// prompt's hash, so every engine generates the same output.
pub fn output_tokens(prompt_hash: u64, max_output_tokens: u32) -> u32 {
    let share = 40 + (prompt_hash >> 8) % 60;
    (u64::from(max_output_tokens) * share / 100).max(1) as u32
}

/// Returns the text of one chunk. It is the same on every engine.
pub fn chunk_text(prompt_hash: u64, index: u32, tokens: u32) -> String {
    let word = prompt_hash.rotate_left(index % 64) ^ u64::from(index);
    let mut text = format!("{word:016x}");
    text.truncate(tokens as usize * 2);
    text.push(' ');
    text
}

/// Returns the FNV-1a hash of a prompt.
pub fn prompt_hash(prompt: &str) -> u64 {
    use std::hash::Hasher;
    // Uses FNV-1a so that the stand-ins do not depend on the hash of the system under test.
    struct Fnv(u64);
    impl Hasher for Fnv {
        fn finish(&self) -> u64 {
            self.0
        }
        fn write(&mut self, bytes: &[u8]) {
            for byte in bytes {
                self.0 = (self.0 ^ u64::from(*byte)).wrapping_mul(0x0100_0000_01b3);
            }
        }
    }
    let mut hasher = Fnv(0xcbf2_9ce4_8422_2325);
    hasher.write(prompt.as_bytes());
    hasher.finish()
}
