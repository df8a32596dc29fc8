//! Finds the engines from which an engine can copy the shared segments of a prompt.
//!
//! It serves loads in which many requests share long segments: an engine without them in its
//! cache copies them over the engines' network, which takes a few hundredths of the time of
//! another prefill.

use std::{sync::Arc, time::Duration};

use rand::{RngExt, rngs::SmallRng};
use smallvec::SmallVec;

use super::{
    DirectTarget, EngineConfig, Locality, PromptShape, TargetStart,
    flow::{OpenCall, StepKind},
    target::{CALL_OVERHEAD, TargetState},
};
use crate::ids::ClockTime;

/// Transfer time of a KV cache between data centres, relative to one within a data centre.
pub(super) const REMOTE_TRANSFER_FACTOR: f32 = 2.0;
/// Shortest prefix that is copied, in tokens.
const MIN_COPIED_TOKENS: u32 = 1024;
/// Failed calls with copies from an engine, without one that succeeded, after which it is no
/// source for a time. The copying engine may be at fault as well, so that one is not enough.
const MAX_SOURCE_FAILURES: u32 = 3;
/// That time. It is the longest pause of a target that cannot be reached.
const SOURCE_PAUSE: Duration = Duration::from_secs(3);

/// Shortest saving whose absence is told from the variation of calls' times.
const MIN_JUDGED_TIME: Duration = Duration::from_millis(50);
/// Share of the saving by which a prefill may take less than its rate leads to expect.
const RATE_ERROR_SHARE: f32 = 0.25;

/// Whether an engine serves as a source of copies, by the calls that named it.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct SourceState {
    /// Failed calls since the last one that succeeded.
    failures: u32,
    paused_until: ClockTime,
}

impl SourceState {
    /// Records that a call with a copy from the engine failed, whichever of the two failed.
    pub(super) fn record_failure(&mut self, now: ClockTime) {
        self.failures += 1;
        if self.failures >= MAX_SOURCE_FAILURES {
            self.paused_until = now + SOURCE_PAUSE;
        }
    }

    /// Records that a prefill with a copy from the engine ended.
    pub(super) fn record_success(&mut self) {
        self.failures = 0;
    }

    /// Names the engine as a source no more until a time.
    pub(super) fn pause(&mut self, until: ClockTime) {
        self.paused_until = self.paused_until.max(until);
    }

    pub(super) fn is_paused(&self, now: ClockTime) -> bool {
        self.paused_until > now
    }
}

/// Returns whether a prefill at an engine without known work took the time of one without the
/// copy that it was to make: the source had no such segment.
///
/// One that took much longer waited for work that is not known, which shows nothing.
pub(super) fn was_not_copied(call: &OpenCall, rate: f32, took: Duration) -> bool {
    if call.step != StepKind::Prefill || call.tokens_ahead > 0 {
        return false;
    }
    let took = took.saturating_sub(CALL_OVERHEAD).as_secs_f32();
    let whole = (call.prefill_tokens + call.copied_tokens) as f32 / rate;
    let saved = call.copied_tokens as f32 / rate - call.copy_time.as_secs_f32();
    let is_certain = saved >= MIN_JUDGED_TIME.as_secs_f32();
    is_certain && (whole - saved * RATE_ERROR_SHARE..whole + saved).contains(&took)
}

/// Copy of a prompt's prefix from the cache of another engine.
#[derive(Debug, Clone, PartialEq)]
pub(super) struct PrefixCopy {
    /// Engine to copy from.
    pub(super) source: Arc<DirectTarget>,
    /// Tokens beyond those that the copying engine has itself.
    pub(super) tokens: u32,
    /// Transfer time, in seconds.
    pub(super) seconds: f32,
}

impl PrefixCopy {
    /// Returns the transfer time.
    pub(super) fn time(&self) -> Duration {
        Duration::try_from_secs_f32(self.seconds).unwrap_or(Duration::MAX)
    }

    pub(super) fn source_start(&self) -> TargetStart {
        (self.source.id.clone(), self.source.born_ms)
    }
}

/// Engine that has the most of a prompt in its cache among those of a data centre.
struct PrefixHolder<'a> {
    state: &'a TargetState,
    tokens: u32,
    /// Number of engines of its version in the data centre that have as much.
    equals: u32,
}

/// Engines that have the most of a prompt in their caches, one for each data centre and software
/// version: there are several versions during a release.
#[derive(Default)]
pub(super) struct PrefixHolders<'a> {
    holders: SmallVec<[PrefixHolder<'a>; 4]>,
}

impl<'a> PrefixHolders<'a> {
    /// Chooses the holders. Among equal ones it is drawn, so that the copies of a segment use
    /// the links of all engines that have it.
    pub(super) fn choose(
        rng: &mut SmallRng,
        prompt: &PromptShape,
        engines: impl Iterator<Item = &'a TargetState>,
    ) -> PrefixHolders<'a> {
        let mut found = PrefixHolders::default();
        for state in engines {
            let tokens = state.cached_prefix_tokens(prompt);
            if tokens >= MIN_COPIED_TOKENS {
                found.add(rng, state, tokens);
            }
        }
        found
    }

    fn add(&mut self, rng: &mut SmallRng, state: &'a TargetState, tokens: u32) {
        let new = PrefixHolder { state, tokens, equals: 1 };
        let DirectTarget { data_centre, version, .. } = &*state.target;
        let known = self.holders.iter_mut().find(|holder| {
            holder.state.target.data_centre == *data_centre
                && holder.state.target.version == *version
        });
        let Some(holder) = known else { return self.holders.push(new) };
        if tokens > holder.tokens {
            *holder = new;
        } else if tokens == holder.tokens {
            holder.equals += 1;
            if rng.random_range(0..holder.equals) == 0 {
                holder.state = state;
            }
        }
    }

    /// Returns the copy that saves an engine the most time, if one does. The engine has `cached`
    /// tokens of the prompt itself and prefills others at `rate` tokens per second.
    ///
    /// Caches of different software versions do not fit together.
    pub(super) fn copy_to(
        &self,
        config: &EngineConfig,
        state: &TargetState,
        cached: u32,
        rate: f32,
    ) -> Option<PrefixCopy> {
        let copies = self.holders.iter().filter_map(|holder| {
            let source = &holder.state.target;
            let tokens = holder.tokens.saturating_sub(cached);
            let seconds = transfer_seconds(config, source, &state.target, tokens);
            let saved = tokens as f32 / rate - seconds;
            let is_useful = tokens >= MIN_COPIED_TOKENS
                && saved > 0.0
                && source.version == state.target.version;
            is_useful.then(|| (saved, PrefixCopy { source: source.clone(), tokens, seconds }))
        });
        copies.max_by(|a, b| a.0.total_cmp(&b.0)).map(|(_, copy)| copy)
    }
}

/// Returns the time in which the KV cache of some tokens passes between two engines, in seconds.
pub(super) fn transfer_seconds(
    config: &EngineConfig,
    source: &DirectTarget,
    target: &DirectTarget,
    tokens: u32,
) -> f32 {
    let factor = match Locality::between(&source.data_centre, &target.data_centre) {
        Locality::Local => 1.0,
        Locality::Remote => REMOTE_TRANSFER_FACTOR,
    };
    let seconds_per_token = config.token_bytes * 8.0 / config.link_bits;
    tokens as f32 * seconds_per_token as f32 * factor
}
