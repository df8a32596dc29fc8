//! Model of an engine with continuous batching, as a pure state machine.
//!
//! Work proceeds in steps. A step reads a chunk of prompts, generates one
//! token for each running request, or does both at a loss. The same model
//! runs behind HTTP in real time and in the load tool under a test clock.

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

/// Tokens in one chunk of output.
pub const CHUNK_TOKENS: u32 = 8;
/// Time that a role change takes the engine away.
pub const CHANGE_TIME: Duration = Duration::from_secs(6);
/// Time for which the role stays unclear after a crash in the middle of a change.
pub const UNCLEAR_TIME: Duration = Duration::from_secs(3);
/// Speed of reading prompts of an engine of speed 1, in tokens a second.
pub const PREFILL_RATE: f64 = 6000.0;
/// Fixed time of a step that generates, at speed 1.
pub const STEP_BASE: f64 = 0.018;
/// Time that each running request adds to such a step, at speed 1.
pub const STEP_PER_RUN: f64 = 0.0004;
const STEP_READ_ONLY: f64 = 0.004;
const READ_ONLY_TOKENS: u32 = 2048;
const READ_BESIDE_TOKENS: u32 = 512;
const MIXED_LOSS: f64 = 1.25;
const IMPORT_FIXED: f64 = 0.020;
const IMPORT_PER_PIECE: f64 = 0.005;
const EVENT_DELAY: Duration = Duration::from_millis(1000);
const EVENT_GAP: u64 = 7;

/// Key of a run within an engine.
pub type RunKey = u64;

/// What is fixed about an engine.
#[derive(Debug, Clone, PartialEq)]
pub struct EngineProfile {
    /// Its name.
    pub name: String,
    /// The model that it has loaded.
    pub model: String,
    /// Memory, in pieces.
    pub pieces: u32,
    /// Speed relative to 1.
    pub speed: f64,
    /// Whether it refuses orders with an old fencing number.
    pub checks_fence: bool,
}

/// What a run does.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EngineWork {
    /// Read and generate.
    Complete,
    /// Read and keep the KV cache.
    Prefill,
    /// Import a KV cache and generate.
    Decode,
}

/// One run.
#[derive(Debug, Clone, PartialEq)]
pub struct EngineRun {
    /// Its key.
    pub key: RunKey,
    /// What it does.
    pub work: EngineWork,
    /// Length of the prompt, in tokens.
    pub prompt_tokens: u32,
    /// Hashes of the prompt's prefixes.
    pub prefixes: Vec<PrefixHash>,
    /// Length of the output, in tokens.
    pub output_tokens: u32,
    /// Priority from 0 (first) to 9 (last).
    pub priority: u8,
    /// Chunks that exist already.
    pub resume_chunks: u32,
    /// Whether the run crashes the engine once its prompt is read.
    pub poison: bool,
}

/// Something that an engine did.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum EngineOutput {
    /// A prompt has been read.
    Read(RunKey),
    /// A chunk was generated.
    Chunk {
        /// The run.
        key: RunKey,
        /// Index within the whole answer.
        index: u32,
        /// Tokens in it.
        tokens: u32,
    },
    /// The output is complete.
    Done {
        /// The run.
        key: RunKey,
        /// Chunks of the whole answer.
        chunks: u32,
        /// Tokens of the whole answer.
        tokens: u32,
    },
    /// The KV cache is ready; its handle is the run's key.
    Prefilled(RunKey),
    /// The run is lost.
    Lost(RunKey),
    /// The engine crashed.
    Crashed,
}

/// The engine's state.
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
    kept: BTreeMap<RunKey, u32>,
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
    unread: u32,
    ready: ClockTime,
    generated: u32,
}

#[derive(Debug, Clone)]
struct EngineStep {
    ends: ClockTime,
    reads: Vec<(RunKey, u32)>,
    writes: Vec<RunKey>,
}

impl EngineModel {
    /// Makes an idle engine.
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
            kept: BTreeMap::new(),
            step: None,
            cache: VecDeque::new(),
            events: VecDeque::new(),
            event_count: 0,
            arrivals: 0,
            stalled_until: ClockTime::ZERO,
        }
    }

    /// Returns what is fixed about the engine.
    pub fn profile(&self) -> &EngineProfile {
        &self.profile
    }

    /// Returns the number of role changes that it was ordered to make.
    pub fn role_changes(&self) -> u64 {
        self.role_changes
    }

    /// Tells whether it answers at `now`.
    pub fn is_up(&self, now: ClockTime) -> bool {
        now >= self.down_until
    }

    /// Tells whether a KV cache is held here.
    pub fn holds(&self, handle: RunKey) -> bool {
        self.kept.contains_key(&handle)
    }

    /// Tells whether a role change is going on.
    pub fn is_changing(&self) -> bool {
        self.change.is_some()
    }

    /// Accepts a run, or refuses it.
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
        let (unread, ready) = match run.work {
            EngineWork::Decode => {
                let pieces = f64::from(run.prompt_tokens.div_ceil(KV_PAGE_TOKENS));
                (0, now + Duration::from_secs_f64(IMPORT_FIXED + IMPORT_PER_PIECE * pieces))
            }
            EngineWork::Complete | EngineWork::Prefill => {
                (run.prompt_tokens.saturating_sub(self.cached_tokens(&run)).max(1) + resumed, now)
            }
        };
        let state = RunState { arrival: self.arrivals, unread, ready, generated: resumed, run };
        self.runs.insert(state.run.key, state);
        if self.step.is_none() {
            self.begin_step(now);
        }
        true
    }

    /// Stops a run and drops its KV cache.
    pub fn cancel(&mut self, key: RunKey) {
        self.runs.remove(&key);
        self.kept.remove(&key);
    }

    /// Returns when the engine has to be looked at again.
    pub fn next_wake(&self) -> Option<ClockTime> {
        let step = self.step.as_ref().map(|step| step.ends);
        let change = self.change.map(|change| change.ends);
        let import =
            if self.step.is_none() { self.runs.values().map(|run| run.ready).min() } else { None };
        [step, change, import].into_iter().flatten().min()
    }

    /// Proceeds to `now`.
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

    /// Crashes: every run and the cache are lost.
    pub fn crash(&mut self, now: ClockTime, down: Duration) {
        self.boot += 1;
        self.down_until = now + down;
        self.runs.clear();
        self.kept.clear();
        self.cache.clear();
        self.events.clear();
        self.step = None;
        if let Some(change) = &mut self.change {
            change.ends = self.down_until + UNCLEAR_TIME;
        }
    }

    /// Stands still, answering nothing, until a time.
    pub fn stall(&mut self, until: ClockTime) {
        self.stalled_until = until;
    }

    /// Takes an order; returns whether it was accepted, and pushes the runs that it cost.
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
        self.kept.clear();
        self.cache.clear();
        self.step = None;
        self.role = None;
        self.change = Some(RoleChange { role, ends: now + CHANGE_TIME });
        true
    }

    /// Returns the state that the engine reports.
    pub fn report(&mut self, now: ClockTime) -> TargetReport {
        let mut cached = Vec::new();
        while let Some((_, prefix)) =
            self.events.pop_front_if(|(time, _)| *time + EVENT_DELAY <= now)
        {
            self.event_count += 1;
            if !self.event_count.is_multiple_of(EVENT_GAP) {
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
        let known = run.prefixes.iter().rposition(|prefix| self.cache.contains(prefix));
        known.map_or(0, |index| (index as u32 + 1) * PREFIX_BLOCK_TOKENS)
    }

    fn begin_step(&mut self, now: ClockTime) {
        let Some(role) = self.role else { return };
        let start = now.max(self.stalled_until);
        let writes: Vec<RunKey> = self
            .runs
            .iter()
            .filter(|(_, run)| run.unread == 0 && run.ready <= now)
            .map(|(key, _)| *key)
            .collect();
        let budget = match (role, writes.is_empty()) {
            (EngineRole::Decode, _) => 0,
            (EngineRole::Prefill, _) | (EngineRole::Mixed, true) => READ_ONLY_TOKENS,
            (EngineRole::Mixed, false) => READ_BESIDE_TOKENS,
        };
        let reads = self.choose_reads(budget);
        if reads.is_empty() && writes.is_empty() {
            return;
        }
        let read: u32 = reads.iter().map(|(_, tokens)| tokens).sum();
        let ends = start + self.step_time(read, writes.len());
        self.step = Some(EngineStep { ends, reads, writes });
    }

    fn choose_reads(&self, budget: u32) -> Vec<(RunKey, u32)> {
        let mut waiting: Vec<&RunState> = self.runs.values().filter(|run| run.unread > 0).collect();
        waiting.sort_by_key(|run| (run.run.priority, run.arrival));
        let mut left = budget;
        let mut reads = Vec::new();
        for run in waiting {
            if left == 0 {
                break;
            }
            let tokens = run.unread.min(left);
            left -= tokens;
            reads.push((run.run.key, tokens));
        }
        reads
    }

    fn step_time(&self, read: u32, writes: usize) -> Duration {
        let reading = f64::from(read) / PREFILL_RATE;
        let writing = STEP_BASE + STEP_PER_RUN * writes as f64;
        let seconds = match (read, writes) {
            (_, 0) => STEP_READ_ONLY + reading,
            (0, _) => writing,
            _ => (reading + writing) * MIXED_LOSS,
        };
        Duration::from_secs_f64(seconds / self.profile.speed)
    }

    /// Applies a step; returns `false` where it crashed the engine.
    fn end_step(&mut self, now: ClockTime, step: EngineStep, out: &mut Vec<EngineOutput>) -> bool {
        for key in step.writes {
            self.write_token(key, out);
        }
        for (key, tokens) in step.reads {
            let Some(state) = self.runs.get_mut(&key) else { continue };
            state.unread -= tokens;
            if state.unread > 0 {
                continue;
            }
            if state.run.poison {
                return false;
            }
            let (work, prefixes) = (state.run.work, state.run.prefixes.clone());
            let prompt_tokens = state.run.prompt_tokens;
            self.remember(now, &prefixes);
            out.push(EngineOutput::Read(key));
            if work == EngineWork::Prefill {
                self.runs.remove(&key);
                self.kept.insert(key, prompt_tokens);
                out.push(EngineOutput::Prefilled(key));
            } else {
                self.write_token(key, out);
            }
        }
        true
    }

    fn write_token(&mut self, key: RunKey, out: &mut Vec<EngineOutput>) {
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

    fn remember(&mut self, now: ClockTime, prefixes: &[PrefixHash]) {
        for prefix in prefixes {
            self.cache.retain(|known| known != prefix);
            self.cache.push_back(*prefix);
            self.events.push_back((now, *prefix));
        }
        while self.cache.len() > self.profile.pieces as usize {
            self.cache.pop_front();
        }
    }
}

/// Returns the length of the output for a prompt, which every engine agrees on.
pub fn output_tokens(prompt_hash: u64, max_output_tokens: u32) -> u32 {
    let share = 40 + (prompt_hash >> 8) % 60;
    (u64::from(max_output_tokens) * share / 100).max(1) as u32
}

/// Returns the text of one chunk, which every engine agrees on.
pub fn chunk_text(prompt_hash: u64, index: u32, tokens: u32) -> String {
    let word = prompt_hash.rotate_left(index % 64) ^ u64::from(index);
    let mut text = format!("{word:016x}");
    text.truncate(tokens as usize * 2);
    text.push(' ');
    text
}

/// Hashes a prompt.
pub fn prompt_hash(prompt: &str) -> u64 {
    use std::hash::Hasher;
    // FNV-1a keeps the stand-ins free of the system's own hash.
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
