//! Decisions for requests that an entry sends straight to targets.
//!
//! [`DirectMachine`] is a pure state machine: an event and the time go in,
//! actions come out. It chooses targets, decides what may be sent again and
//! when a request is refused. It does no I/O and reads no clock. See
//! [docs/design/platform.md](../docs/design/platform.md).

use std::{net::SocketAddr, sync::Arc, time::Duration};

use serde::{Deserialize, Serialize};
use smallvec::SmallVec;
use strum::{Display, IntoStaticStr};

use crate::ids::{ContentFingerprint, DataCentreId, TargetId};

mod authority;
mod budget;
mod ending;
mod estimate;
mod flow;
mod load;
mod machine;
mod report;
mod route;
mod stage_plan;
mod suspect;
mod target;
mod waiting;

pub use authority::ClaimOutcome;
pub use budget::RetryWindow;
pub use flow::RequestTrace;
pub use load::{CachedSegment, InFlight, LoadReport, PeerTable, TargetUsage};
pub use machine::{DirectMachine, DirectSettings};
pub use route::{
    EngineConfig, ModelName, RequestLimits, RetryPolicy, RouteConfig, RouteTable, ServiceConfig,
    ServiceName, WeightedService,
};
pub use stage_plan::{OrderOutcome, StageOrder};
pub use suspect::{CrashReport, CrashTable, SuspectChange, SuspectReport};
pub use target::{DirectTarget, TargetChange, TargetFleet, TargetStage};

/// Number of a request within one process.
pub type FlowId = u64;
/// Number of a call for one request, from 1.
pub type CallNumber = u32;
/// Number that rises with each claim on ordering engines: its offset in the store.
pub type OrderFencingToken = u64;
/// Name of a peer entry.
pub type PeerName = Arc<str>;

/// Part of a prompt that other requests may share.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct PromptSegment {
    /// Hash of the part's name.
    pub id: u64,
    /// Its length, in tokens.
    pub tokens: u32,
}

/// Sizes of a prompt and of its output.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct PromptShape {
    /// Prompt length, in tokens.
    pub tokens: u32,
    /// Longest output, in tokens.
    pub max_output: u32,
    /// The prompt's parts in order; the last one belongs to the request alone.
    #[serde(rename = "parts")]
    pub segments: SmallVec<[PromptSegment; 4]>,
}

/// Request as the core needs it; the shell keeps its bytes.
#[derive(Debug, Clone)]
pub struct DirectRequest {
    /// Terms of its route.
    pub route: Arc<RouteConfig>,
    /// Time that the caller still waits.
    pub time_left: Duration,
    /// Sizes, for requests to engines.
    pub prompt: Option<PromptShape>,
    /// Hash of its content, which stays the same when a caller repeats it;
    /// `None` where nothing tells it apart from others of its route.
    pub fingerprint: Option<ContentFingerprint>,
}

/// What a call asks of a target.
#[derive(Debug, Clone, PartialEq)]
pub enum CallStep {
    /// Run the request.
    Run,
    /// Read the prompt and keep its KV cache.
    Prefill,
    /// Run the request from the KV cache that another target holds.
    Decode {
        /// Address of the target that read the prompt.
        source: SocketAddr,
        /// Name of the KV cache there.
        handle: Arc<str>,
    },
}

/// How a call ended.
#[derive(Debug, Clone, PartialEq)]
pub enum CallOutcome {
    /// The target declined; it stated that the request did not run.
    Declined,
    /// Another target answers at the address; the request did not run.
    WrongTarget,
    /// No connection could be made, so nothing was sent.
    Unreachable,
    /// The prompt was read; its KV cache waits under this name.
    Prefilled {
        /// Name of the KV cache.
        handle: Arc<str>,
    },
    /// The target started its answer.
    Answered {
        /// Whether the answer is a success.
        success: bool,
    },
    /// The connection ended, or an invalid answer came: the request may have run.
    Lost {
        /// Whether the connection was closed or reset before any answer.
        closed: bool,
    },
}

/// Something that happened.
#[derive(Debug, Clone)]
pub enum DirectEvent {
    /// A whole request was read.
    Submit {
        /// Its number.
        flow: FlowId,
        /// The request.
        request: Box<DirectRequest>,
    },
    /// A call ended, or its answer began.
    CallEnded {
        /// The request.
        flow: FlowId,
        /// The call.
        call: CallNumber,
        /// How.
        outcome: CallOutcome,
    },
    /// The first event of an answer arrived from the target.
    FirstOutput {
        /// The request.
        flow: FlowId,
    },
    /// The target broke its answer off after the answer had begun.
    AnswerInterrupted {
        /// The request.
        flow: FlowId,
    },
    /// The answer was delivered, broke off, or the caller left.
    FlowEnded {
        /// The request.
        flow: FlowId,
        /// Whether the whole answer came from the target.
        complete: bool,
    },
    /// The list of targets changed.
    Target(TargetChange),
    /// A new configuration is in force.
    Routes(Arc<RouteTable>),
    /// A peer told what it has in flight.
    PeerLoad(LoadReport),
    /// Another process told of crashed targets.
    Crashes(CrashReport),
    /// Requests that crashed targets, as the store keeps them.
    Suspects(Vec<SuspectReport>),
    /// A claim on ordering engines ended.
    ClaimEnded(ClaimOutcome),
    /// An order ended.
    OrderEnded {
        /// The engine.
        target: TargetId,
        /// How.
        outcome: OrderOutcome,
    },
    /// Time has passed.
    Tick,
}

/// Reason for giving a request up.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Display, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
#[serde(rename_all = "snake_case")]
pub enum FailureReason {
    /// No target of the service is known.
    NoTarget,
    /// No target can answer within the time left.
    CannotMeetDeadline,
    /// Targets declined, and no further one may be asked.
    Declined,
    /// A target may have run the request, and its answer is lost.
    OutcomeUnknown,
    /// The route's time limit has passed.
    TimedOut,
    /// The request crashed several targets.
    CrashesTargets,
}

/// Final answer of the system's own.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct RequestFailure {
    /// The reason.
    pub reason: FailureReason,
    /// Whether it is certain that the request never runs.
    pub not_run: bool,
    /// When asking again makes sense; only with `not_run`.
    pub retry_after: Duration,
}

/// Something that the shell has to do.
#[derive(Debug, Clone, PartialEq)]
pub enum DirectAction {
    /// Call a target.
    Call {
        /// The request.
        flow: FlowId,
        /// The call.
        call: CallNumber,
        /// The target.
        target: Arc<DirectTarget>,
        /// What to ask.
        step: CallStep,
        /// Time left for the target.
        time_left: Duration,
        /// Priority, from 0 (first) to 9 (last).
        priority: u8,
    },
    /// Pass the answer of the current call on to the caller.
    Deliver {
        /// The request.
        flow: FlowId,
        /// Time after which the answer is cut.
        time_left: Duration,
    },
    /// End the request with an answer that no target gave.
    Fail {
        /// The request.
        flow: FlowId,
        /// The answer.
        failure: RequestFailure,
    },
    /// Free a KV cache that nobody will take.
    FreeCache {
        /// The target that holds it.
        target: Arc<DirectTarget>,
        /// Its name.
        handle: Arc<str>,
    },
    /// Tell other processes that targets crashed under these requests.
    ReportCrashes(CrashReport),
    /// Keep in the store, or remove from it, that a request crashes targets, for
    /// entries that start when none is left that knows.
    PersistSuspect(SuspectChange),
    /// Claim in the store that this process orders engines.
    Claim,
    /// Order an engine to change its part, unless the store holds a newer claim.
    Order(StageOrder),
}

/// Where a target stands, seen from this process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub enum Locality {
    /// In the same data centre.
    #[serde(rename = "Near")]
    Local,
    /// In another data centre.
    #[serde(rename = "Far")]
    Remote,
}

impl Locality {
    /// Returns the distance between two data centres.
    pub fn between(own: &DataCentreId, other: &DataCentreId) -> Locality {
        if own == other { Locality::Local } else { Locality::Remote }
    }
}
