//! The side process's decisions: the only door to its targets.
//!
//! [`SideMachine`] is a pure state machine. An embedder feeds it
//! [`SideEvent`]s together with the time and the fold, and carries out the
//! [`SideAction`]s that it returns. It does no I/O and reads no clock. See
//! [docs/ARCHITECTURE.md](../docs/ARCHITECTURE.md).

use std::{sync::Arc, time::Duration};

use serde::{Deserialize, Serialize};

use crate::{
    claim::ServiceAnswer,
    frame::{EntryFrame, PlaceFrame, SideFrame},
    ids::{AttemptId, FencingNumber, LogOffset, SideId, TargetId, VmId},
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
pub use speed::SpeedGauge;

/// Number of a link within a side process.
pub type LinkId = u64;

/// Interval between load reports to an entry.
pub const MIN_LOAD_REPORT_INTERVAL: Duration = Duration::from_millis(200);
/// Interval at which an embedder has to deliver [`SideEvent::Tick`].
pub const TICK_INTERVAL: Duration = Duration::from_millis(20);

/// Settings of a side.
#[derive(Debug, Clone)]
pub struct SideSettings {
    /// The side.
    pub side: SideId,
    /// Random number of the process, as in its attachment.
    pub instance: u64,
    /// Its VM.
    pub vm: VmId,
    /// Its targets.
    pub targets: Vec<TargetDescription>,
    /// Order of the queues.
    pub queue_order: QueueOrder,
}

/// Something that happened at a side.
#[derive(Debug, Clone, PartialEq)]
pub enum SideEvent {
    /// An entry connected.
    LinkUp {
        /// The link.
        link: LinkId,
    },
    /// A link broke.
    LinkDown {
        /// The link.
        link: LinkId,
    },
    /// A frame arrived.
    Frame {
        /// The link.
        link: LinkId,
        /// The frame.
        frame: EntryFrame,
    },
    /// The fold has advanced.
    LogAdvanced,
    /// The log service answers or has stopped answering.
    LogHealth {
        /// Whether it answers.
        reachable: bool,
    },
    /// An append was answered.
    Appended {
        /// Number given in [`SideAction::Append`].
        append_id: u64,
        /// Whether the log service confirmed it. A failed append may have taken effect.
        confirmed: bool,
    },
    /// A target did something.
    Target {
        /// The target.
        target: TargetId,
        /// What it did.
        event: TargetEvent,
    },
    /// The VM or the process is leaving: take no new work.
    Drain,
    /// Time has passed.
    Tick,
}

/// Something that a target did.
#[derive(Debug, Clone, PartialEq)]
pub enum TargetEvent {
    /// An engine has read an attempt's prompt.
    PrefillDone {
        /// The attempt.
        attempt: AttemptId,
    },
    /// An engine generated a piece of output.
    Chunk {
        /// The attempt.
        attempt: AttemptId,
        /// Index within the whole answer.
        index: u32,
        /// Tokens in the piece.
        tokens: u32,
        /// Its text.
        text: Arc<str>,
    },
    /// An engine generated everything.
    Finished {
        /// The attempt.
        attempt: AttemptId,
        /// Number of chunks of the whole answer.
        chunks: u32,
        /// Number of tokens of the whole answer.
        tokens: u32,
    },
    /// An engine holds the KV cache of a prompt.
    CacheReady {
        /// The attempt.
        attempt: AttemptId,
        /// KV cache handle.
        handle: u64,
    },
    /// A plain service answered.
    Answered {
        /// The attempt.
        attempt: AttemptId,
        /// The answer.
        answer: ServiceAnswer,
    },
    /// An attempt failed at the target.
    Failed {
        /// The attempt.
        attempt: AttemptId,
        /// How.
        failure: TargetFailure,
    },
    /// The target reported its state.
    Report(TargetReport),
    /// The target refuses connections.
    Down,
    /// An engine refused or answered an order.
    RoleChangeAnswered {
        /// Offset of the plan in the order.
        plan: LogOffset,
        /// Whether it accepted.
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
    /// The connection broke, went silent, or the answer was short.
    Broken,
}

/// State of a target as it reports it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetReport {
    /// Number that changes when the target restarts.
    pub boot: u64,
    /// Role of an engine; `None` while a change is going on or its outcome is unclear.
    pub role: Option<EngineRole>,
    /// Whether a role change is going on.
    pub changing: bool,
    /// Highest fencing number that the target has seen.
    pub fence: FencingNumber,
    /// Prefixes that the cache gained since the last report; late and with gaps.
    pub cached: Vec<u64>,
}

/// Something that the embedder has to do for a side.
#[derive(Debug, Clone, PartialEq)]
pub enum SideAction {
    /// Send a frame.
    Send {
        /// The link.
        link: LinkId,
        /// The frame.
        frame: SideFrame,
    },
    /// Close a link that went silent.
    CloseLink {
        /// The link.
        link: LinkId,
    },
    /// Append a record and answer with [`SideEvent::Appended`].
    Append {
        /// Number of the append.
        append_id: u64,
        /// The record.
        record: LogRecord,
    },
    /// Run an attempt.
    Start {
        /// The target.
        target: TargetId,
        /// The side's fencing number.
        fence: FencingNumber,
        /// The attempt.
        place: Arc<PlaceFrame>,
    },
    /// Stop an attempt, or drop the KV cache that it left.
    Cancel {
        /// The target.
        target: TargetId,
        /// The attempt.
        attempt: AttemptId,
    },
    /// Ask for a report at once.
    Probe {
        /// The target.
        target: TargetId,
    },
    /// Order an engine to change its role.
    ChangeRole {
        /// The engine.
        target: TargetId,
        /// The side's fencing number.
        fence: FencingNumber,
        /// Offset of the plan, which makes a repeated order harmless.
        plan: LogOffset,
        /// The new role.
        role: EngineRole,
    },
    /// Another process has attached in this one's place; exit.
    Superseded,
}
