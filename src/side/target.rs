//! State of one target: health, role, load and known prefixes.

use std::collections::VecDeque;

use serde::Serialize;
use smallvec::SmallVec;

use super::{
    queue::{PRIORITY_LEVELS, QueueOrder, QueuedWork, WorkQueue},
    speed::SpeedEstimate,
};
use crate::{
    frame::TargetLoad,
    ids::{AttemptId, ClockTime, LogOffset, PrefixHash},
    record::{EngineRole, TargetDescription, TargetOffer},
};

/// Maximum number of attempts that run at one engine.
const MAX_ENGINE_RUNNING: u32 = 64;
/// Maximum number of cached prefixes that are remembered for a target.
const MAX_KNOWN_PREFIXES: usize = 128;
/// Prefill work that may wait at an engine, in seconds of its prefill rate.
///
/// Only work of the same or a higher priority counts towards it.
const PREFILL_AHEAD_SECONDS: f32 = 0.3;

/// Target as its side sees it.
#[derive(Debug, Clone, Serialize)]
pub(crate) struct SideTarget {
    pub(crate) description: TargetDescription,
    pub(crate) health: TargetHealth,
    pub(crate) boot: u64,
    pub(crate) role: Option<EngineRole>,
    #[serde(rename = "order")]
    pub(crate) role_change: RoleChangeState,
    pub(crate) queue: WorkQueue,
    #[serde(rename = "gauge")]
    pub(crate) speed: SpeedEstimate,
    pub(crate) running: u32,
    #[serde(rename = "used_pieces")]
    pub(crate) used_pages: u32,
    /// Prompt tokens that were sent to the engine and not yet prefilled, by priority level.
    #[serde(rename = "unread")]
    pending_prefill: [u64; PRIORITY_LEVELS],
    /// Attempt that runs in isolation; nothing else starts meanwhile.
    #[serde(rename = "alone")]
    pub(crate) isolated_attempt: Option<AttemptId>,
    /// Prompt tokens of all attempts queued here so far.
    pub(crate) prompt_total: u64,
    /// Expected output tokens of all attempts queued here so far.
    pub(crate) output_total: u64,
    #[serde(skip)]
    prefixes: VecDeque<PrefixHash>,
    /// Whether the prefixes have changed since the last load report.
    prefixes_changed: bool,
}

/// Health of a target, as seen by polling it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub(crate) enum TargetHealth {
    /// The target has not reported yet.
    Unknown,
    /// The target reports its state.
    Up,
    /// The target could not be reached for a report.
    Down,
}

/// Progress of an engine's role change.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub(crate) enum RoleChangeState {
    /// No role change is in progress.
    Settled,
    /// The engine finishes its running work before the change is requested.
    Draining { role: EngineRole, plan: LogOffset },
    /// The change was requested. Shown as `Ordered` on the state page.
    #[serde(rename = "Ordered")]
    Requested { role: EngineRole, plan: LogOffset, sent: ClockTime },
}

impl SideTarget {
    pub(crate) fn new(description: TargetDescription, order: QueueOrder) -> SideTarget {
        SideTarget {
            description,
            health: TargetHealth::Unknown,
            boot: 0,
            role: None,
            role_change: RoleChangeState::Settled,
            queue: WorkQueue::new(order),
            speed: SpeedEstimate::default(),
            running: 0,
            used_pages: 0,
            pending_prefill: [0; PRIORITY_LEVELS],
            isolated_attempt: None,
            prompt_total: 0,
            output_total: 0,
            prefixes: VecDeque::new(),
            prefixes_changed: true,
        }
    }

    pub(crate) fn is_engine(&self) -> bool {
        matches!(self.description.offer, TargetOffer::Engine { .. })
    }

    /// Returns whether new work may be placed at the target.
    pub(crate) fn is_open(&self) -> bool {
        let known_role = !self.is_engine() || self.role.is_some();
        self.health == TargetHealth::Up
            && known_role
            && self.role_change == RoleChangeState::Settled
    }

    pub(crate) fn free_pages(&self) -> u32 {
        match self.description.offer {
            TargetOffer::Engine { kv_pages, .. } => kv_pages.saturating_sub(self.used_pages),
            TargetOffer::Service { .. } => u32::MAX,
        }
    }

    /// Returns whether queued work fits and may start at `now`.
    pub(crate) fn has_room(&self, now: ClockTime, work: &QueuedWork) -> bool {
        if self.isolated_attempt.is_some() || (work.isolated && self.running > 0) {
            return false;
        }
        let slots = match self.description.offer {
            TargetOffer::Engine { .. } => MAX_ENGINE_RUNNING,
            TargetOffer::Service { slots, .. } => slots,
        };
        if self.running >= self.speed.concurrency_limit(now, slots)
            || work.kv_pages > self.free_pages()
        {
            return false;
        }
        let ahead = (self.speed.prefill_rate() * PREFILL_AHEAD_SECONDS) as u64;
        work.prompt_tokens == 0 || self.prefill_tokens_ahead(work.priority) < ahead.max(1)
    }

    /// Adds prompt tokens that are sent to the engine.
    pub(crate) fn add_pending_prefill(&mut self, priority: u8, tokens: u32) {
        self.pending_prefill[usize::from(priority).min(PRIORITY_LEVELS - 1)] += u64::from(tokens);
    }

    /// Subtracts prompt tokens that the engine has prefilled or will not prefill.
    pub(crate) fn remove_pending_prefill(&mut self, priority: u8, tokens: u32) {
        self.pending_prefill[usize::from(priority).min(PRIORITY_LEVELS - 1)] -= u64::from(tokens);
    }

    /// Returns whether the engine has prompts to prefill.
    pub(crate) fn has_pending_prefill(&self) -> bool {
        self.pending_prefill.iter().any(|tokens| *tokens > 0)
    }

    fn prefill_tokens_ahead(&self, priority: u8) -> u64 {
        self.pending_prefill.iter().take(usize::from(priority) + 1).sum()
    }

    fn waiting_tokens(&self) -> SmallVec<[(u8, u64); 3]> {
        let queued = self.queue.waiting_tokens();
        let sums =
            self.pending_prefill.iter().zip(queued).map(|(pending, queued)| pending + queued);
        (0..).zip(sums).filter(|(_, tokens)| *tokens > 0).collect()
    }

    /// Records cached prefixes, from own work or from the target's reports, as most recently used.
    pub(crate) fn record_prefixes(&mut self, prefixes: impl IntoIterator<Item = PrefixHash>) {
        for prefix in prefixes {
            self.prefixes_changed |= !self.prefixes.contains(&prefix);
            self.prefixes.retain(|known| *known != prefix);
            self.prefixes.push_back(prefix);
            if self.prefixes.len() > MAX_KNOWN_PREFIXES {
                self.prefixes.pop_front();
            }
        }
    }

    /// Clears the known prefixes, as a restart or a role change empties the cache.
    pub(crate) fn clear_prefixes(&mut self) {
        self.prefixes_changed |= !self.prefixes.is_empty();
        self.prefixes.clear();
    }

    /// Includes the prefixes in the next load report, for an entry that has just connected.
    pub(crate) fn resend_prefixes(&mut self) {
        self.prefixes_changed = true;
    }

    /// Returns the load for a report and marks the prefixes as sent.
    ///
    /// `open` says whether the side accepts new work.
    pub(crate) fn take_load(&mut self, open: bool) -> TargetLoad {
        let changed = std::mem::take(&mut self.prefixes_changed);
        let prefixes = changed.then(|| self.prefixes.iter().copied().collect());
        TargetLoad {
            target: self.description.target.clone(),
            role: self.role,
            accepting: open && self.is_open(),
            waiting_tokens: self.waiting_tokens(),
            waiting: self.queue.len() as u32,
            running: self.running,
            free_pages: self.free_pages(),
            prefill_rate: self.speed.prefill_rate(),
            inter_token_ms: self.speed.inter_token_ms(),
            mixed_inter_token_ms: self.speed.mixed_inter_token_ms(),
            call_ms: self.speed.call_ms(),
            prefixes,
            prompt_total: self.prompt_total,
            output_total: self.output_total,
        }
    }
}
