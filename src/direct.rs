//! Placement, retries and admission for an entry that calls targets directly.
//!
//! [`DirectMachine`] is a pure state machine: it takes an event and the current
//! time and returns actions. It chooses targets, decides which requests may be
//! retried and rejects those that cannot be served. It does no I/O and reads no clock. See
//! [docs/design/platform.md](../docs/design/platform.md).

use std::{net::SocketAddr, sync::Arc, time::Duration};

use serde::{Deserialize, Serialize};
use smallvec::SmallVec;
use strum::{Display, IntoStaticStr};

use crate::ids::{DataCentreId, TargetId};

mod affinity;
mod authority;
mod backlog;
mod budget;
mod compact_report;
mod compared;
mod crash_cause;
mod crash_evidence;
mod customer;
mod ending;
mod estimate;
mod flow;
mod isolation;
mod latest_write;
mod limit;
mod limited;
mod load;
mod machine;
mod peer_usage;
mod prefix_copy;
mod reading;
mod report;
mod restore;
mod resume;
mod returning;
mod route;
mod scale;
mod scale_duty;
mod scale_need;
mod scale_plan;
mod share;
mod sharing;
mod stage_capacity;
mod stage_plan;
mod stop;
mod stream;
mod suspect;
mod suspect_block;
mod suspect_exchange;
mod suspect_table;
mod target;
mod time_bound;
mod typical_rate;
mod typical_time;
mod unheard;
mod usage;
mod usage_clock;
mod usage_count;
mod usage_duty;
mod usage_history;
mod usage_report;
mod usage_reporting;
mod usage_start;
mod version;
mod waiting;

pub use authority::{ClaimOutcome, fencing_token};
pub use backlog::PrefillBacklog;
pub use budget::RetryWindow;
pub use compact_report::CompactReport;
pub use crash_evidence::{CrashEvidence, EvidenceChange};
pub use customer::{CallerIdentity, CustomerConfig, CustomerName, CustomerTable};
pub use flow::RequestTrace;
pub use latest_write::LatestWrite;
pub use limit::{LimitStatement, LimitTable, RequestRate, ServiceDemand};
pub use load::{CachedSegment, InFlight, LoadReport, PeerTable, TargetUsage, report_interval};
pub use machine::{DirectMachine, DirectSettings};
pub use reading::{ReadSchedule, expiry_grace};
pub use route::{
    EngineConfig, ModelName, RequestLimits, RetryPolicy, RouteConfig, RouteTable, ScalingConfig,
    ServiceConfig, ServiceName, WeightedService,
};
pub use scale::{ScaleAction, ScaleEvent, ScaleSettings};
pub use scale_need::{RefusalMeter, room_needed};
pub use scale_plan::{ScaleOrder, ScalePlanner, ScaleSample, TargetCount, divide_targets};
pub use share::{CustomerDemand, CustomerLoad, ShareReport, ShareTable, WorkRate, divide_room};
pub use stage_plan::{OrderOutcome, StageOrder};
pub use stop::{HeldPart, StopPhase};
pub use stream::{SoftwareVersion, StreamId, StreamMessage, StreamOrigin, StreamResume};
pub use suspect::{
    BlockedSuspect, BreakId, BrokenRun, CrashSuspect, RequestIdentity, SegmentId, SuspectChange,
    SuspectReport, SuspectRun, TargetCrash, TargetStart,
};
pub use suspect_table::SuspectTable;
pub use target::{DirectTarget, LeavingTarget, TargetChange, TargetFleet, TargetStage};
pub use time_bound::{ReceivedEvents, ResponseTerms, StreamPace, response_bound};
pub use typical_time::TypicalTime;
pub use unheard::{CountState, UnheardCounts, UnheardStep};
pub use usage::{
    BootTime, CustomerCounts, EndedCounts, FixedRecord, MissCause, PostOutcome, ReadNeed,
    RecordsEnd, ReportStart, SavedUsage, SavedWindow, UsageAction, UsageContent, UsageEvent,
    UsageMessage, UsageReceipt, UsageRecords, UsageSettings, UsageUpdate, UsageWindow, WindowUsage,
};
pub use usage_clock::TrueClock;
pub use usage_duty::UsageState;
pub use usage_history::{ReportHistory, UsageMoment};
pub use version::{ServiceVersion, StoredVersions, VersionChange};

/// Identifies a request within one process.
pub type FlowId = u64;
/// Numbers the calls for one request, from 1.
pub type CallNumber = u32;
/// Number of times that the store was restored from an older copy, from wherever it counts.
pub type StoreGeneration = u64;
/// Fencing token of a claim on a duty. It rises with each claim; see [`fencing_token`].
pub type OrderFencingToken = u64;
/// Names a peer entry.
pub type PeerName = Arc<str>;

/// Consecutive part of a prompt that other requests may share.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct PromptSegment {
    /// Identifier of the segment, which callers send in hexadecimal.
    pub id: u64,
    /// Length, in tokens.
    pub tokens: u32,
}

/// Size and segments of a prompt, and the limit on its output.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct PromptShape {
    /// Prompt length, in tokens.
    pub tokens: u32,
    /// Maximum output length, in tokens.
    pub max_output: u32,
    /// Segments in prompt order. The last one belongs to this request alone.
    #[serde(rename = "parts")]
    pub segments: SmallVec<[PromptSegment; 4]>,
}

/// Request metadata that decisions need. The driver keeps the head and body.
#[derive(Debug, Clone)]
pub struct DirectRequest {
    /// Id that the caller gave the request. It names the stream that the request begins.
    pub id: StreamId,
    /// Configuration of its route.
    pub route: Arc<RouteConfig>,
    /// Customer that it was sent for; `None` if its caller stated none.
    pub customer: Option<Arc<CustomerConfig>>,
    /// Time until the caller stops waiting.
    pub time_left: Duration,
    /// Prompt of a request to engines; `None` for plain services.
    pub prompt: Option<PromptShape>,
    /// What stays the same when the caller sends the request again.
    pub identity: RequestIdentity,
    /// Earlier stream that the request goes on with, if any.
    pub resumes: Option<StreamResume>,
}

impl DirectRequest {
    /// Returns the priority, 0 being the highest: the customer's, or else the route's.
    pub fn priority(&self) -> u8 {
        let own = self.customer.as_ref().and_then(|customer| customer.priority);
        own.unwrap_or(self.route.priority)
    }
}

/// Operation that a call requests from a target.
#[derive(Debug, Clone, PartialEq)]
pub enum CallStep {
    /// Run the request.
    Run,
    /// Prefill the prompt and hold its KV cache for a decode call.
    Prefill,
    /// Decode from a KV cache that another target holds.
    Decode {
        /// Address of the target that holds the KV cache.
        source: SocketAddr,
        /// Handle of the KV cache at that target.
        handle: Arc<str>,
    },
}

/// Result of a call.
#[derive(Debug, Clone, PartialEq)]
pub enum CallOutcome {
    /// The target declined the request and stated that it did not run.
    Declined,
    /// Another target uses the address now; the request did not run.
    WrongTarget,
    /// No connection could be established, so nothing was sent.
    Unreachable,
    /// The prefill is done, and the target holds the KV cache.
    Prefilled {
        /// Handle by which the target that holds the KV cache finds it.
        handle: Arc<str>,
    },
    /// The prefill ended with a response that is neither a KV cache handle nor a refusal, which
    /// counts as a run of the request.
    PrefillRan,
    /// The target started to send its response.
    Answered {
        /// Whether the status of the response is a success.
        success: bool,
    },
    /// The connection ended or the response was invalid. The request may have run.
    Lost {
        /// Whether the connection was closed or reset before a response began.
        closed: bool,
    },
}

/// Input of the state machine.
#[derive(Debug, Clone)]
pub enum DirectEvent {
    /// A request was received in full.
    Submit {
        /// Identifier that the driver chose for the request.
        flow: FlowId,
        /// Route, time left, prompt and identity of the request, without its head and body.
        request: Box<DirectRequest>,
    },
    /// A call ended or its response began.
    CallEnded {
        /// Identifier of the request that the call was made for.
        flow: FlowId,
        /// Number of the call. Results are ignored unless it is the open call.
        call: CallNumber,
        /// How the call ended, or that its response began.
        outcome: CallOutcome,
    },
    /// The first event of the response arrived from the target.
    FirstOutput {
        /// Identifier of the request that the response answers.
        flow: FlowId,
    },
    /// A stream has ended whole.
    StreamEnded {
        /// Identifier of the request.
        flow: FlowId,
        /// Number of its events, where those that came together count as one.
        events: u32,
    },
    /// The target's response ended early after it had begun.
    AnswerInterrupted {
        /// Identifier of the request whose response is incomplete.
        flow: FlowId,
    },
    /// The target's response could not be read further after it had begun, as it broke its
    /// framing. The target is at fault, but has not crashed.
    AnswerMalformed {
        /// Identifier of the request whose response is incomplete.
        flow: FlowId,
    },
    /// The response was delivered or interrupted, or the caller disconnected.
    FlowEnded {
        /// Identifier of the request. Later events for it are ignored.
        flow: FlowId,
        /// Whether a complete response from the target was delivered.
        complete: bool,
    },
    /// The list of targets changed.
    Target(TargetChange),
    /// The list of targets was read to its end, and its changes were passed on.
    TargetsRead {
        /// Time since the read began.
        age: Duration,
    },
    /// Versions of targets' software that the store has records of.
    StoredVersions(StoredVersions),
    /// A target turned a request away and stated for how long it wants no more.
    TargetClosed {
        /// Name of the target.
        target: TargetId,
        /// Time for which it wants no requests from this process.
        time: Duration,
    },
    /// A target responded, and stated a limit on its requests or none.
    TargetResponded {
        /// Target and start that responded.
        start: TargetStart,
        /// Requests a second that it takes from all entries, if it stated that.
        limit: Option<RequestRate>,
        /// Time since the call was sent.
        called: Duration,
    },
    /// A target stated in a response that it leaves.
    TargetLeaving(LeavingTarget),
    /// A configuration was read. Versions that are not newer are ignored.
    Routes(Arc<RouteTable>),
    /// A peer reported its load.
    PeerLoad(LoadReport),
    /// A peer reported the work of its customers.
    PeerShares(ShareReport),
    /// A peer reported suspects that may crash targets.
    Suspects(SuspectReport),
    /// All suspects that the store says crash targets.
    StoredSuspects {
        /// The suspects.
        blocked: Vec<BlockedSuspect>,
        /// Whether the store was restored from an older copy since they were read before.
        is_restored: bool,
    },
    /// All crashes that the store keeps.
    StoredEvidence {
        /// The crashes, by what they have in common.
        evidence: Vec<CrashEvidence>,
        /// Whether the store was restored from an older copy since they were read before.
        is_restored: bool,
    },
    /// It was found out whether a target is gone.
    TargetProbed {
        /// Target and start that were asked.
        start: TargetStart,
        /// Time since it was asked.
        age: Duration,
        /// Whether it takes no connections.
        gone: bool,
    },
    /// The response that is being delivered has neither a length nor chunks, so that its end
    /// does not show whether it is complete.
    UnframedAnswer {
        /// Identifier of the request.
        flow: FlowId,
    },
    /// A peer sent a message about the origin of a stream.
    StreamMessage {
        /// Peer that sent it.
        peer: PeerName,
        /// Its content.
        message: StreamMessage,
    },
    /// The store was restored from an older copy, which made this its generation.
    StoreRestored(StoreGeneration),
    /// A claim on ordering engines ended.
    ClaimEnded(ClaimOutcome),
    /// Event of the usage duty.
    Usage(UsageEvent),
    /// Event of the duty to order the number of targets.
    Scale(ScaleEvent),
    /// An order ended.
    OrderEnded {
        /// The engine that was ordered.
        target: TargetId,
        /// Whether the engine accepted or refused the order, or did not respond.
        outcome: OrderOutcome,
    },
    /// The process has got the stop signal.
    StopRequested {
        /// Time until it has to exit.
        time: Duration,
    },
    /// The process exits now, with the requests that are still in flight.
    StopTimeOver,
    /// Periodic event that drives timeouts, expiry and stage planning.
    Tick,
}

/// Why a request failed without a response from a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Display, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
#[serde(rename_all = "snake_case")]
pub enum FailureReason {
    /// No target of the service is known.
    NoTarget,
    /// No target is expected to respond in time.
    CannotMeetDeadline,
    /// Targets declined or did not run the request, and no retry is left.
    Declined,
    /// A target may have run the request, but its response was lost.
    OutcomeUnknown,
    /// The route's timeout or the caller's deadline has passed.
    TimedOut,
    /// Targets have too little room, and the request's customer has more than its share.
    CustomerShare,
    /// Targets take no more requests a second.
    TargetLimit,
    /// Earlier runs of the request crashed several targets.
    CrashesTargets,
    /// The entry is stopping, and the request would not end before it exits.
    Stopping,
    /// The request goes on with a stream, and no entry knows at which software version that
    /// began.
    StreamVersionUnknown,
}

/// Failure that the entry itself reports to the caller.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct RequestFailure {
    /// Reason, which is part of the response.
    pub reason: FailureReason,
    /// Whether the request certainly did not run and will not run.
    pub not_run: bool,
    /// Time after which a retry makes sense; only used with `not_run`.
    pub retry_after: Duration,
}

/// Output of the state machine that the driver carries out.
#[derive(Debug, Clone, PartialEq)]
pub enum DirectAction {
    /// Call a target.
    Call {
        /// Identifier of the request to send.
        flow: FlowId,
        /// Number of the call, which its [`DirectEvent::CallEnded`] repeats.
        call: CallNumber,
        /// Target to call, with its address.
        target: Arc<DirectTarget>,
        /// Operation to request.
        step: CallStep,
        /// Time that the target has for the call.
        time_left: Duration,
        /// Priority from 0 (highest) to 9 (lowest).
        priority: u8,
        /// Address of the engine that the target copies the beginning of the prompt from, in
        /// place of prefilling it; `None` if it prefills all that it does not have.
        copy_source: Option<SocketAddr>,
    },
    /// Forward the response of the current call to the caller.
    Deliver {
        /// Identifier of the request whose caller gets the response.
        flow: FlowId,
        /// Time after which an incomplete response is cut off.
        time_left: Duration,
    },
    /// Fail the request with a response of the entry itself.
    Fail {
        /// Identifier of the request that failed.
        flow: FlowId,
        /// Reason, whether the request certainly did not run, and when to retry.
        failure: RequestFailure,
    },
    /// Break off the response that is being forwarded.
    BreakOff {
        /// Identifier of the request whose response stays incomplete.
        flow: FlowId,
    },
    /// Release a KV cache that no decode call will use.
    FreeCache {
        /// Target that holds the KV cache.
        target: Arc<DirectTarget>,
        /// Handle of the KV cache at that target.
        handle: Arc<str>,
    },
    /// Send a message about the origin of a stream to peers.
    SendToPeers {
        /// Peers to send it to.
        peers: Vec<PeerName>,
        /// Its content.
        message: StreamMessage,
    },
    /// Find out whether a target is gone, to which a connection broke.
    ProbeTarget(Arc<DirectTarget>),
    /// Write to the store that a suspect crashes targets, or remove that record. The store
    /// serves entries that start when no peer is left that knows.
    PersistSuspect(SuspectChange),
    /// Write crashes under a suspect to the store, or remove them there.
    PersistEvidence(EvidenceChange),
    /// Read the list of targets to its end now, since a request waits for that.
    ReadTargets,
    /// Read the store's records of software versions.
    ReadVersions,
    /// Write to the store that targets of a software version serve, or remove that record.
    PersistVersion(VersionChange),
    /// Write a claim on ordering engines to the store.
    Claim,
    /// Order an engine to switch its stage, unless the store holds a newer claim.
    Order(StageOrder),
    /// Action of the usage duty.
    Usage(UsageAction),
    /// Action of the duty to order the number of targets.
    Scale(ScaleAction),
}

/// Whether two processes are in the same data centre.
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
    /// Compares two data centres.
    pub fn between(own: &DataCentreId, other: &DataCentreId) -> Locality {
        if own == other { Locality::Local } else { Locality::Remote }
    }
}
