//! State of one attempt at a side.

use std::sync::Arc;

use serde::Serialize;

use super::LinkId;
use crate::{
    claim::ClaimKey,
    frame::{AttemptWork, PlaceFrame},
    ids::{ClockTime, TargetId},
    request::pieces,
};

/// One attempt that a side knows.
#[derive(Debug, Clone, Serialize)]
pub(crate) struct SideAttempt {
    pub(crate) link: Option<LinkId>,
    #[serde(skip)]
    pub(crate) place: Arc<PlaceFrame>,
    pub(crate) target: TargetId,
    pub(crate) deadline: ClockTime,
    pub(crate) phase: AttemptPhase,
    #[serde(rename = "alone")]
    pub(crate) isolated: bool,
}

/// What an attempt waits for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub(crate) enum AttemptPhase {
    /// The log has to be read up to the contract's revision.
    CatchUp,
    /// The attempt's own claim has to be read back.
    Claiming,
    /// Another attempt owns the key.
    AwaitOwner,
    /// The target has to have room.
    Queued,
    /// The target runs it.
    Running(RunProgress),
    /// The stream broke, and the target has to say whether it crashed.
    Doubt {
        since: ClockTime,
        /// Whether the prompt had been read.
        read: bool,
    },
    /// The prompt is read; the target's memory holds its KV cache.
    KeepingCache,
}

/// Progress of a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub(crate) struct RunProgress {
    pub(crate) started: ClockTime,
    pub(crate) read: bool,
    pub(crate) next_chunk: u32,
    pub(crate) last_chunk: ClockTime,
}

impl SideAttempt {
    /// Returns the key where the attempt needs a claim.
    pub(crate) fn claim_key(&self) -> Option<ClaimKey> {
        if self.place.idempotent {
            return None;
        }
        let key = self.place.key.clone()?;
        Some(ClaimKey { customer: self.place.customer.clone(), key })
    }

    /// Returns the memory that the attempt needs, in pieces.
    pub(crate) fn pieces(&self) -> u32 {
        match self.place.work {
            AttemptWork::Prefill => pieces(self.place.prompt_tokens),
            AttemptWork::Complete | AttemptWork::Decode { .. } => {
                pieces(self.place.prompt_tokens + self.place.max_output_tokens)
            }
            AttemptWork::Call => 1,
        }
    }

    /// Returns the prompt tokens that the target has to read.
    pub(crate) fn prefill_tokens(&self) -> u32 {
        match self.place.work {
            AttemptWork::Prefill | AttemptWork::Complete => self.place.prompt_tokens,
            AttemptWork::Decode { .. } | AttemptWork::Call => 0,
        }
    }

    /// Tells whether the target holds memory for the attempt.
    pub(crate) fn occupies_target(&self) -> bool {
        matches!(
            self.phase,
            AttemptPhase::Running(_) | AttemptPhase::Doubt { .. } | AttemptPhase::KeepingCache
        )
    }
}
