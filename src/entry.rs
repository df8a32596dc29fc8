//! The entry process's decisions: from a caller's request to one final answer.
//!
//! [`EntryMachine`] is a pure state machine, fed with [`EntryEvent`]s, the
//! time and the fleet's snapshot. It does no I/O and reads no clock. See
//! [docs/ARCHITECTURE.md](../docs/ARCHITECTURE.md).

use std::{sync::Arc, time::Duration};

use serde::Serialize;

use crate::{
    frame::{EntryFrame, SideFrame},
    ids::{RequestId, SideId},
    request::{CallerRequest, FinalAnswer},
};

mod answers;
mod belief;
mod flow;
mod machine;
mod place;
mod placement;
mod retry;

pub use belief::{EstimateTable, TargetEstimate};
pub use machine::{EntryMachine, OfferedTokens};
pub use placement::{PlaceChoice, PlaceQuery, PlacementPolicy};
pub use retry::RetryBudget;

/// Interval at which an embedder has to deliver [`EntryEvent::Tick`].
pub const TICK_INTERVAL: Duration = Duration::from_millis(20);

/// Settings of an entry.
#[derive(Debug, Clone, Serialize)]
pub struct EntrySettings {
    /// Random number of this process.
    pub instance: u64,
    /// How targets are chosen.
    pub policy: PlacementPolicy,
    /// Seed of the random choices.
    pub seed: u64,
}

/// Something that happened at an entry.
#[derive(Debug, Clone, PartialEq)]
pub enum EntryEvent {
    /// A caller sent a request.
    Submit {
        /// Identity from [`EntryMachine::next_id`].
        id: RequestId,
        /// The request.
        request: Box<CallerRequest>,
    },
    /// The caller closed its connection before the final answer.
    CallerDisconnected {
        /// The request.
        id: RequestId,
    },
    /// A link to a side was made.
    LinkUp {
        /// The side.
        side: SideId,
    },
    /// A link broke.
    LinkDown {
        /// The side.
        side: SideId,
    },
    /// A frame arrived.
    Frame {
        /// The side.
        side: SideId,
        /// The frame.
        frame: SideFrame,
    },
    /// The snapshot has advanced.
    LogAdvanced,
    /// Starts or stops admitting new requests.
    SetAccepting {
        /// `false` while the process is shutting down or can reach no other process.
        accepting: bool,
    },
    /// Time has passed.
    Tick,
}

/// Something that the embedder has to do for an entry.
#[derive(Debug, Clone, PartialEq)]
pub enum EntryAction {
    /// Send a frame.
    Send {
        /// The side.
        side: SideId,
        /// The frame.
        frame: EntryFrame,
    },
    /// Close a link that went silent, and connect anew.
    CloseLink {
        /// The side.
        side: SideId,
    },
    /// Deliver a piece of output to the caller.
    Chunk {
        /// The request.
        id: RequestId,
        /// Its text.
        text: Arc<str>,
    },
    /// Give the caller the final answer.
    Finish {
        /// The request.
        id: RequestId,
        /// The answer.
        answer: FinalAnswer,
    },
}
