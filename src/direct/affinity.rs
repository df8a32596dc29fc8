//! Ranks the engines that a prompt with a long shared prefix is placed at.
//!
//! It serves loads in which many requests share long segments, and many entries with old reports
//! place them: few engines get each prefix and keep it in their caches, and entries
//! that see the same engine as the idlest do not all choose it.

use std::{
    cmp::Reverse,
    hash::{Hash, Hasher},
};

use siphasher::sip::SipHasher13;
use smallvec::SmallVec;

use super::{PromptShape, target::TargetState};
use crate::ids::TargetId;

/// Shortest shared prefix that is assigned to home engines, in tokens.
pub(super) const MIN_AFFINITY_TOKENS: u32 = 1024;
/// Number of engines of the prefill stage that a prefix may be placed at.
pub(super) const PREFILL_HOMES: usize = 2;
/// Number of engines of the decode stage that a prefix may be placed at.
pub(super) const DECODE_HOMES: usize = 4;

/// Engines of one stage that a prompt may be placed at.
pub(super) enum PrefixHomes<'a> {
    /// All, as the prompt has no long shared prefix.
    Any,
    /// The home engine, and then those that are the home without the ones before them.
    Ranked(SmallVec<[&'a TargetId; DECODE_HOMES]>),
}

impl<'a> PrefixHomes<'a> {
    /// Ranks engines by rendezvous hashing, which moves few prefixes when targets change and
    /// gives the same result at every entry.
    ///
    /// Faster engines get no more prefixes: all have the same memory, and an engine with more
    /// prefixes than fit has to prefill each of them again.
    pub(super) fn rank(
        prompt: &PromptShape,
        states: impl Iterator<Item = &'a TargetState>,
        count: usize,
    ) -> PrefixHomes<'a> {
        let Some(key) = affinity_key(prompt) else { return PrefixHomes::Any };
        let weighted = states.map(|state| (weight(key, &state.target.id), &state.target.id));
        let mut ranked: SmallVec<[(u64, &TargetId); 32]> = weighted.collect();
        if count < ranked.len() {
            ranked.select_nth_unstable_by_key(count, |(weight, _)| Reverse(*weight));
            ranked.truncate(count);
        }
        ranked.sort_unstable_by_key(|(weight, _)| Reverse(*weight));
        PrefixHomes::Ranked(ranked.into_iter().map(|(_, id)| id).collect())
    }

    /// Returns whether the prompt may be placed at a target.
    pub(super) fn contains(&self, target: &TargetId) -> bool {
        match self {
            PrefixHomes::Any => true,
            PrefixHomes::Ranked(homes) => homes.contains(&target),
        }
    }

    /// Returns whether a target is the home engine of the prefix.
    pub(super) fn is_first(&self, target: &TargetId) -> bool {
        match self {
            PrefixHomes::Any => false,
            PrefixHomes::Ranked(homes) => homes.first() == Some(&target),
        }
    }
}

/// Returns whether a prompt's shared prefix is long enough for home engines.
pub(super) fn has_homes(prompt: &PromptShape) -> bool {
    shared_tokens(prompt) >= MIN_AFFINITY_TOKENS
}

/// Returns the tokens of a prompt's shared prefix.
pub(super) fn shared_tokens(prompt: &PromptShape) -> u32 {
    let shared = prompt.segments.len().saturating_sub(1);
    prompt.segments.iter().take(shared).map(|segment| segment.tokens).sum()
}

/// Returns the hash of a prompt's shared segments, if they are long enough for home engines.
fn affinity_key(prompt: &PromptShape) -> Option<u64> {
    if !has_homes(prompt) {
        return None;
    }
    let mut hasher = SipHasher13::new();
    let shared = prompt.segments.len() - 1;
    prompt.segments[..shared].iter().for_each(|segment| segment.id.hash(&mut hasher));
    Some(hasher.finish())
}

fn weight(key: u64, target: &TargetId) -> u64 {
    let mut hasher = SipHasher13::new();
    (key, &**target).hash(&mut hasher);
    hasher.finish()
}
