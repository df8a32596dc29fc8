//! Logic of the side process, through which all work for its targets passes.
//!
//! [`SideMachine`] is a pure state machine: it does no I/O and reads no clock.
//! An embedder passes it [`SideEvent`]s with the current time and the fleet
//! state that the log records, and carries out the [`SideAction`]s that it
//! returns. See
//! [docs/ARCHITECTURE.md](../docs/ARCHITECTURE.md).

use std::{sync::Arc, time::Duration};

use serde::{Deserialize, Serialize};

use crate::{
    claim::ServiceAnswer,
    frame::{EntryFrame, PlaceFrame, SideFrame},
    ids::{AttemptId, FencingToken, LogOffset, SideId, TargetId, VmId},
    record::{EngineRole, LogRecord, TargetDescription},
};

mod attempt;
mod claims;
mod machine;
mod orders;
mod outbox;
mod queue;
mod runs;
mod speed;
mod target;

pub use machine::SideMachine;
pub use queue::{PRIORITY_LEVELS, QueueOrder, QueuedWork, WorkQueue};
pub use speed::SpeedEstimate;

/// Identifies a link within a side process.
pub type LinkId = u64;

/// Shortest interval between load reports to an entry.
///
/// It is also the `retry_after` of an attempt that a side refuses.
pub const MIN_LOAD_REPORT_INTERVAL: Duration = Duration::from_millis(200);
/// Interval at which an embedder has to deliver [`SideEvent::Tick`].
pub const TICK_INTERVAL: Duration = Duration::from_millis(20);

/// Settings of a [`SideMachine`], fixed for the life of the process.
#[derive(Debug, Clone)]
pub struct SideSettings {
    /// Name of the side, which stays the same over restarts.
    pub side: SideId,
    /// Random number of this process, also written in its attachment record.
    pub instance: u64,
    /// VM that the process runs on.
    pub vm: VmId,
    /// Targets that the side serves.
    pub targets: Vec<TargetDescription>,
    /// Order in which each target's queue is served.
    pub queue_order: QueueOrder,
}

/// Input of [`SideMachine::step`].
#[derive(Debug, Clone, PartialEq)]
pub enum SideEvent {
    /// An entry connected.
    LinkUp {
        /// Link that the entry opened.
        link: LinkId,
    },
    /// A link was closed or lost.
    LinkDown {
        /// Link that is gone.
        link: LinkId,
    },
    /// An entry sent a frame.
    Frame {
        /// Link on which the frame arrived.
        link: LinkId,
        /// Decoded frame.
        frame: EntryFrame,
    },
    /// New log records were applied to the fleet state.
    LogAdvanced,
    /// The log service became reachable or unreachable.
    LogHealth {
        /// Whether the log service answers now.
        reachable: bool,
    },
    /// An append completed or failed.
    Appended {
        /// Id given in [`SideAction::Append`].
        append_id: u64,
        /// Whether the log service confirmed it. A failed append may have taken effect.
        confirmed: bool,
    },
    /// A target reported something.
    Target {
        /// Target that the event comes from.
        target: TargetId,
        /// What the target reported.
        event: TargetEvent,
    },
    /// The VM or the process is shutting down; the side accepts no new work from now on.
    Drain,
    /// Runs timeouts and periodic sends; due every [`TICK_INTERVAL`].
    Tick,
}

/// Event from a target.
#[derive(Debug, Clone, PartialEq)]
pub enum TargetEvent {
    /// An engine finished the prefill of an attempt.
    PrefillDone {
        /// Attempt whose prompt was processed.
        attempt: AttemptId,
    },
    /// An engine generated a chunk of output.
    Chunk {
        /// Attempt that the chunk belongs to.
        attempt: AttemptId,
        /// Index within the whole answer, from 0.
        index: u32,
        /// Tokens in the chunk.
        tokens: u32,
        /// Text of the chunk.
        text: Arc<str>,
    },
    /// An engine ended its output stream normally.
    Finished {
        /// Attempt that finished.
        attempt: AttemptId,
        /// Chunks of the whole answer, including those before a resume.
        chunks: u32,
        /// Tokens of the whole answer.
        tokens: u32,
    },
    /// An engine finished a prefill-only attempt and holds its KV cache.
    CacheReady {
        /// Attempt that the KV cache belongs to.
        attempt: AttemptId,
        /// Handle by which another engine fetches the KV cache.
        handle: u64,
    },
    /// A plain service answered.
    Answered {
        /// Attempt that was answered.
        attempt: AttemptId,
        /// Answer of the service.
        answer: ServiceAnswer,
    },
    /// An attempt failed at the target.
    Failed {
        /// Attempt that failed.
        attempt: AttemptId,
        /// How far the request had come.
        failure: TargetFailure,
    },
    /// The target reported its state, when polled or probed.
    Report(TargetReport),
    /// The target could not be reached for a report.
    Down,
    /// An engine accepted or refused a role change.
    RoleChangeAnswered {
        /// Offset of the plan given in [`SideAction::ChangeRole`].
        plan: LogOffset,
        /// Whether the engine accepted the change.
        accepted: bool,
    },
}

/// How an attempt failed at a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TargetFailure {
    /// No byte of the request reached the target.
    NotReached,
    /// The target refused the request before running it.
    Refused,
    /// The connection broke or stalled, or the answer was incomplete; the target may have run it.
    Broken,
}

/// State that a target reports about itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetReport {
    /// Boot id, which changes when the target restarts.
    pub boot: u64,
    /// Role of an engine; `None` during a role change or while its outcome is unknown.
    pub role: Option<EngineRole>,
    /// Whether a role change is in progress.
    pub changing: bool,
    /// Highest fencing token that the target has seen.
    pub fence: FencingToken,
    /// Prefixes added to the KV cache since the last report; may be late and incomplete.
    pub cached: Vec<u64>,
}

/// Action that [`SideMachine::step`] asks its embedder to carry out.
#[derive(Debug, Clone, PartialEq)]
pub enum SideAction {
    /// Send a frame to an entry.
    Send {
        /// Link to send on.
        link: LinkId,
        /// Frame to encode.
        frame: SideFrame,
    },
    /// Close a link on which no frame arrived within the link timeout.
    CloseLink {
        /// Link to close.
        link: LinkId,
    },
    /// Append a record to the log and report the result with [`SideEvent::Appended`].
    Append {
        /// Matches the result to this append.
        append_id: u64,
        /// Record to append.
        record: LogRecord,
    },
    /// Start an attempt at a target.
    Start {
        /// Target that runs the attempt.
        target: TargetId,
        /// Fencing token of this side.
        fence: FencingToken,
        /// Work to run.
        place: Arc<PlaceFrame>,
    },
    /// Stop an attempt, or free the KV cache that it left at the target.
    Cancel {
        /// Target that runs the attempt.
        target: TargetId,
        /// Attempt to stop.
        attempt: AttemptId,
    },
    /// Request a [`TargetReport`] at once instead of at the next poll.
    Probe {
        /// Target to probe.
        target: TargetId,
    },
    /// Ask an engine to change its role.
    ChangeRole {
        /// Engine to change.
        target: TargetId,
        /// Fencing token of this side.
        fence: FencingToken,
        /// Offset of the plan, which makes a repeated request idempotent.
        plan: LogOffset,
        /// Role to change to.
        role: EngineRole,
    },
    /// Exit: a newer process has attached for this side.
    Superseded,
}
