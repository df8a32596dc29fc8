//! State of one attempt at a side, from its placement to its end.

use std::sync::Arc;

use serde::Serialize;

use super::LinkId;
use crate::{
    claim::ClaimKey,
    frame::{AttemptWork, PlaceFrame},
    ids::{ClockTime, TargetId},
    request::kv_pages,
};

/// Attempt that an entry placed at this side.
#[derive(Debug, Clone, Serialize)]
pub(crate) struct SideAttempt {
    /// Link of the entry; `None` once the attempt is cancelled or the link is lost.
    pub(crate) link: Option<LinkId>,
    #[serde(skip)]
    pub(crate) place: Arc<PlaceFrame>,
    pub(crate) target: TargetId,
    pub(crate) deadline: ClockTime,
    pub(crate) phase: AttemptPhase,
    /// Whether the target must run nothing else meanwhile.
    #[serde(rename = "alone")]
    pub(crate) isolated: bool,
}

/// Phase of an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub(crate) enum AttemptPhase {
    /// Waits until the log is read up to the revision of the contract.
    CatchUp,
    /// Waits to read its own claim back from the log.
    Claiming,
    /// Waits for the outcome of another attempt, which owns the key.
    AwaitOwner,
    /// Waits in the queue of its target.
    Queued,
    /// Runs at its target.
    Running(RunProgress),
    /// The stream broke; waits for a report that shows whether the target crashed. Shown as
    /// `Doubt` on the state page.
    #[serde(rename = "Doubt")]
    AwaitingProbe {
        since: ClockTime,
        /// Whether the prefill had ended.
        #[serde(rename = "read")]
        prefilled: bool,
    },
    /// The prefill has ended, and the target keeps the KV cache for another engine.
    KeepingCache,
}

/// Progress of a running attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub(crate) struct RunProgress {
    pub(crate) started: ClockTime,
    #[serde(rename = "read")]
    pub(crate) prefilled: bool,
    pub(crate) next_chunk: u32,
    pub(crate) last_chunk: ClockTime,
    /// Whether the target had prompts to prefill at the time of the last chunk.
    #[serde(rename = "mixed")]
    pub(crate) beside_prefill: bool,
}

impl SideAttempt {
    /// Returns the idempotency key, or `None` if the attempt needs no claim or has no key.
    pub(crate) fn claim_key(&self) -> Option<ClaimKey> {
        if self.place.idempotent {
            return None;
        }
        let key = self.place.key.clone()?;
        Some(ClaimKey { customer: self.place.customer.clone(), key })
    }

    /// Returns the KV cache memory that the attempt needs, in pages of
    /// [`crate::request::KV_PAGE_TOKENS`] tokens.
    pub(crate) fn kv_pages(&self) -> u32 {
        match self.place.work {
            AttemptWork::Prefill => kv_pages(self.place.prompt_tokens),
            AttemptWork::Complete | AttemptWork::Decode { .. } => {
                kv_pages(self.place.prompt_tokens + self.place.max_output_tokens)
            }
            AttemptWork::Call => 1,
        }
    }

    /// Returns the prompt tokens that the target has to prefill.
    pub(crate) fn prefill_tokens(&self) -> u32 {
        match self.place.work {
            AttemptWork::Prefill | AttemptWork::Complete => self.place.prompt_tokens,
            AttemptWork::Decode { .. } | AttemptWork::Call => 0,
        }
    }

    /// Returns whether the target holds memory for the attempt.
    pub(crate) fn occupies_target(&self) -> bool {
        matches!(
            self.phase,
            AttemptPhase::Running(_)
                | AttemptPhase::AwaitingProbe { .. }
                | AttemptPhase::KeepingCache
        )
    }
}
