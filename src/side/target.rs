//! State of one target as its side keeps it.

use std::collections::VecDeque;

use serde::Serialize;
use smallvec::SmallVec;

use super::{
    queue::{PRIORITY_LEVELS, QueueOrder, QueuedWork, WorkQueue},
    speed::SpeedGauge,
};
use crate::{
    frame::TargetLoad,
    ids::{AttemptId, ClockTime, LogOffset, PrefixHash},
    record::{EngineRole, TargetDescription, TargetOffer},
};

const MAX_RUNNING: u32 = 64;
const MAX_KNOWN_PREFIXES: usize = 128;
/// Work handed to an engine ahead of what it reads now, as a share of a second.
const READ_AHEAD_SECONDS: f32 = 0.3;

/// One target.
#[derive(Debug, Clone, Serialize)]
pub(crate) struct SideTarget {
    pub(crate) description: TargetDescription,
    pub(crate) health: TargetHealth,
    pub(crate) boot: u64,
    pub(crate) role: Option<EngineRole>,
    #[serde(rename = "order")]
    pub(crate) role_change: RoleChangeState,
    pub(crate) queue: WorkQueue,
    pub(crate) gauge: SpeedGauge,
    pub(crate) running: u32,
    pub(crate) used_pieces: u32,
    /// Prompt tokens that the engine still has to read, by priority.
    unread: [u64; PRIORITY_LEVELS],
    #[serde(rename = "alone")]
    pub(crate) isolated_attempt: Option<AttemptId>,
    pub(crate) prompt_total: u64,
    pub(crate) output_total: u64,
    #[serde(skip)]
    prefixes: VecDeque<PrefixHash>,
    /// Whether the prefixes have changed since the last report.
    prefixes_changed: bool,
}

/// Whether a target answers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub(crate) enum TargetHealth {
    /// It has not reported yet.
    Unknown,
    /// It reports.
    Up,
    /// It refuses connections.
    Down,
}

/// Where an engine stands in a role change.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub(crate) enum RoleChangeState {
    /// No change is wanted.
    Settled,
    /// Running work ends before the order is sent.
    Draining { role: EngineRole, plan: LogOffset },
    /// The order was sent.
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
            gauge: SpeedGauge::default(),
            running: 0,
            used_pieces: 0,
            unread: [0; PRIORITY_LEVELS],
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

    /// Tells whether the target may get work that it has not got yet.
    pub(crate) fn is_open(&self) -> bool {
        let known_role = !self.is_engine() || self.role.is_some();
        self.health == TargetHealth::Up
            && known_role
            && self.role_change == RoleChangeState::Settled
    }

    pub(crate) fn free_pieces(&self) -> u32 {
        match self.description.offer {
            TargetOffer::Engine { pieces, .. } => pieces.saturating_sub(self.used_pieces),
            TargetOffer::Service { .. } => u32::MAX,
        }
    }

    /// Tells whether the work at the head of the queue may start now.
    pub(crate) fn has_room(&self, now: ClockTime, work: &QueuedWork) -> bool {
        if self.isolated_attempt.is_some() || (work.isolated && self.running > 0) {
            return false;
        }
        let slots = match self.description.offer {
            TargetOffer::Engine { .. } => MAX_RUNNING,
            TargetOffer::Service { slots, .. } => slots,
        };
        if self.running >= self.gauge.allowed(now, slots) || work.pieces > self.free_pieces() {
            return false;
        }
        let ahead = (self.gauge.prefill_rate() * READ_AHEAD_SECONDS) as u64;
        work.prompt_tokens == 0 || self.unread_before(work.priority) < ahead.max(1)
    }

    /// Counts prompt tokens that are handed to the engine.
    pub(crate) fn add_unread(&mut self, priority: u8, tokens: u32) {
        self.unread[usize::from(priority).min(PRIORITY_LEVELS - 1)] += u64::from(tokens);
    }

    /// Counts prompt tokens that the engine has read or will not read.
    pub(crate) fn remove_unread(&mut self, priority: u8, tokens: u32) {
        self.unread[usize::from(priority).min(PRIORITY_LEVELS - 1)] -= u64::from(tokens);
    }

    fn unread_before(&self, priority: u8) -> u64 {
        self.unread.iter().take(usize::from(priority) + 1).sum()
    }

    fn waiting_tokens(&self) -> SmallVec<[(u8, u64); 3]> {
        let queued = self.queue.waiting_tokens();
        let sums = self.unread.iter().zip(queued).map(|(unread, queued)| unread + queued);
        (0..).zip(sums).filter(|(_, tokens)| *tokens > 0).collect()
    }

    /// Notes prefixes that the cache holds, from own work or from the target's events.
    pub(crate) fn note_prefixes(&mut self, prefixes: impl IntoIterator<Item = PrefixHash>) {
        for prefix in prefixes {
            self.prefixes_changed |= !self.prefixes.contains(&prefix);
            self.prefixes.retain(|known| *known != prefix);
            self.prefixes.push_back(prefix);
            if self.prefixes.len() > MAX_KNOWN_PREFIXES {
                self.prefixes.pop_front();
            }
        }
    }

    /// Forgets the cache, which a restart or a role change empties.
    pub(crate) fn forget_prefixes(&mut self) {
        self.prefixes_changed |= !self.prefixes.is_empty();
        self.prefixes.clear();
    }

    /// Makes the next report pass on the prefixes, which a new link does not know.
    pub(crate) fn resend_prefixes(&mut self) {
        self.prefixes_changed = true;
    }

    pub(crate) fn load(&mut self, open: bool) -> TargetLoad {
        let changed = std::mem::take(&mut self.prefixes_changed);
        let prefixes = changed.then(|| self.prefixes.iter().copied().collect());
        TargetLoad {
            target: self.description.target.clone(),
            role: self.role,
            accepting: open && self.is_open(),
            waiting_tokens: self.waiting_tokens(),
            waiting: self.queue.len() as u32,
            running: self.running,
            free_pieces: self.free_pieces(),
            prefill_rate: self.gauge.prefill_rate(),
            token_gap_ms: self.gauge.gap_ms(),
            call_ms: self.gauge.call_ms(),
            prefixes,
            prompt_total: self.prompt_total,
            output_total: self.output_total,
        }
    }
}
