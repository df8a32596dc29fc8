//! Request handling of the entry process, from a caller's request to its one final answer.
//!
//! [`EntryMachine`] is a pure state machine. It takes [`EntryEvent`]s, the time and a snapshot
//! of the fleet, and returns [`EntryAction`]s. It does no I/O and reads no clock. See
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

/// Interval at which the caller of [`EntryMachine::step`] has to deliver [`EntryEvent::Tick`].
pub const TICK_INTERVAL: Duration = Duration::from_millis(20);

/// Settings of an entry, fixed for the lifetime of its process.
#[derive(Debug, Clone, Serialize)]
pub struct EntrySettings {
    /// Random number that identifies this process in request ids.
    pub instance: u64,
    /// Policy by which targets are chosen.
    pub policy: PlacementPolicy,
    /// Seed of the generator that samples placement candidates.
    pub seed: u64,
}

/// Input of [`EntryMachine::step`].
#[derive(Debug, Clone, PartialEq)]
pub enum EntryEvent {
    /// A caller sent a request.
    Submit {
        /// Id obtained from [`EntryMachine::next_id`].
        id: RequestId,
        /// The parsed request, not yet checked against the customer's contract.
        request: Box<CallerRequest>,
    },
    /// The caller closed its connection before the final answer.
    CallerDisconnected {
        /// Id of the caller's request.
        id: RequestId,
    },
    /// A link to a side was established.
    LinkUp {
        /// Side at the other end of the link.
        side: SideId,
    },
    /// A link to a side was lost.
    LinkDown {
        /// Side at the other end of the link.
        side: SideId,
    },
    /// A frame arrived on a link.
    Frame {
        /// Side that sent the frame.
        side: SideId,
        /// The decoded frame.
        frame: SideFrame,
    },
    /// The snapshot includes more of the log than at the previous event.
    LogAdvanced,
    /// Starts or stops admitting new requests.
    SetAccepting {
        /// `false` while the process can reach no other process.
        accepting: bool,
    },
    /// The process was told to stop.
    Stop {
        /// Time after which it exits at the latest.
        time: Duration,
    },
    /// Stops admitting new requests for good, as the process ends once it is idle.
    Drain,
    /// Checks timeouts and heartbeats, see [`TICK_INTERVAL`].
    Tick,
}

/// Output of [`EntryMachine::step`], to be carried out in order.
#[derive(Debug, Clone, PartialEq)]
pub enum EntryAction {
    /// Sends a frame on a link.
    Send {
        /// Side that receives the frame.
        side: SideId,
        /// The frame to encode.
        frame: EntryFrame,
    },
    /// Closes a link after [`crate::frame::LINK_TIMEOUT`] without a frame, and reconnects.
    CloseLink {
        /// Side at the other end of the link.
        side: SideId,
    },
    /// Streams a chunk of output to the caller.
    Chunk {
        /// Request that the output belongs to.
        id: RequestId,
        /// Text of the chunk.
        text: Arc<str>,
    },
    /// Sends the caller its final answer.
    Finish {
        /// Request that ended.
        id: RequestId,
        /// Outcome of the request.
        answer: FinalAnswer,
    },
}
