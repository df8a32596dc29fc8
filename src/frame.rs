//! Frames of the links between entries and sides.
//!
//! A link is one WebSocket connection that carries CBOR frames for many
//! requests. See [docs/design/link.md](../docs/design/link.md).

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use smallvec::SmallVec;

use crate::{
    claim::ServiceAnswer,
    error::{Error, ErrorCode, Result},
    ids::{
        AttemptId, ContentFingerprint, ContractRevision, CustomerId, FencingToken, LogOffset,
        PrefixHash, SideId, TargetId,
    },
    record::{EngineRole, SuspectReport},
    request::{MAX_BODY_BYTES, RefusalReason},
};

/// Maximum size of an encoded frame, in bytes: a request body and its other fields.
pub const MAX_FRAME_BYTES: usize = MAX_BODY_BYTES + 256 * 1024;
/// Interval between heartbeats on a link.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);
/// Time without a frame after which a link counts as lost.
pub const LINK_TIMEOUT: Duration = Duration::from_millis(2000);

/// Frame with the sender's position in the log.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LinkFrame<T> {
    /// Offset of the next record that the sender will read.
    pub next: LogOffset,
    /// Content of the frame.
    pub body: T,
}

/// Frame from an entry to a side.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum EntryFrame {
    /// Keeps the link alive.
    Heartbeat,
    /// Requests that the side run an attempt.
    Place(Box<PlaceFrame>),
    /// Cancels an attempt or releases its KV cache.
    Cancel {
        /// Attempt to cancel.
        attempt: AttemptId,
    },
}

/// Work that a target has to do for an attempt.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum AttemptWork {
    /// Runs prefill and decode.
    Complete,
    /// Runs prefill and keeps the KV cache for a decode engine.
    Prefill,
    /// Runs decode from the KV cache of a prefill engine.
    Decode {
        /// Engine that holds the KV cache.
        source: TargetId,
        /// Handle of the KV cache at that engine.
        handle: u64,
    },
    /// Calls a plain service.
    Call,
}

/// Everything that a side needs to run an attempt.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PlaceFrame {
    /// Id of the attempt.
    pub attempt: AttemptId,
    /// Target chosen by the entry.
    pub target: TargetId,
    /// Work to do on the target.
    pub work: AttemptWork,
    /// Customer that sent the request.
    pub customer: CustomerId,
    /// Contract revision under which the request was admitted.
    pub revision: ContractRevision,
    /// Share of the customer, in millionths of the fleet.
    pub share_ppm: u32,
    /// Priority from 0 (first) to 9 (last).
    pub priority: u8,
    /// Time left until the request's deadline when the frame was sent.
    pub time_left: Duration,
    /// Whether the request may safely run more than once.
    pub idempotent: bool,
    /// Idempotency key; `None` if the caller sent none.
    pub key: Option<Arc<str>>,
    /// Idempotency window, in seconds.
    pub window_s: u64,
    /// Hash by which repeated and suspect requests are recognized.
    pub fingerprint: ContentFingerprint,
    /// Prompt of a completion or body of a call.
    pub content: Arc<str>,
    /// Estimated length of the prompt, in tokens.
    pub prompt_tokens: u32,
    /// Maximum length of the output, in tokens.
    pub max_output_tokens: u32,
    /// Expected length of the output, in tokens.
    pub expected_output_tokens: u32,
    /// Hashes of the prompt's prefixes at block boundaries, shortest first.
    pub prefixes: SmallVec<[PrefixHash; 8]>,
    /// Number of chunks that the caller already has; generation resumes after them.
    pub resume_chunks: u32,
    /// Text of those chunks.
    pub resume_text: String,
    /// Number of target crashes that the entry attributes to the request.
    pub crashes: u8,
}

/// Frame from a side to an entry.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum SideFrame {
    /// Keeps the link alive.
    Heartbeat,
    /// Identifies the side, as the first frame on each link.
    Welcome {
        /// Name of the side.
        side: SideId,
        /// Fencing token of the side.
        fence: FencingToken,
    },
    /// Reports the load of the side's targets.
    Load(Vec<TargetLoad>),
    /// Reports crashes directly, as they may not reach the entry through the log.
    Suspects(Vec<SuspectReport>),
    /// Confirms that the attempt of a [`PlaceFrame`] is in the side's queue.
    #[serde(rename = "Taken")]
    Accepted {
        /// Id of the attempt.
        attempt: AttemptId,
    },
    /// Delivers a chunk of output.
    Chunk {
        /// Id of the attempt.
        attempt: AttemptId,
        /// Index of the chunk within the whole answer, from 0.
        index: u32,
        /// Text of the chunk.
        text: Arc<str>,
    },
    /// Ends an attempt.
    End {
        /// Id of the attempt.
        attempt: AttemptId,
        /// Outcome of the attempt.
        end: AttemptEnd,
    },
}

/// Outcome of an attempt at a side.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum AttemptEnd {
    /// The engine generated the whole answer.
    #[serde(rename = "Whole")]
    Completed {
        /// Number of chunks of the answer, with those of earlier attempts.
        chunks: u32,
        /// Number of tokens of the answer, with those of earlier attempts.
        tokens: u32,
    },
    /// Prefill is done, and the engine keeps the KV cache for decode.
    Prefilled {
        /// Handle of the KV cache at the engine.
        handle: u64,
    },
    /// The service answered, or the log holds the answer of an earlier attempt.
    Answered(ServiceAnswer),
    /// The attempt did not reach the target and never will.
    NotRun {
        /// Reason for which it was declined.
        reason: RefusalReason,
        /// Time after which a retry may succeed.
        retry_after: Duration,
    },
    /// The contract has changed, and the entry has to read the log up to offset `next`.
    Stale {
        /// Offset of the next record that the side will read.
        next: LogOffset,
    },
    /// The target failed, and the request may be retried on another one.
    Failed {
        /// Whether the target crashed while it was running the attempt.
        crashed: bool,
    },
    /// The request may have run, and its answer is unknown.
    Unknown {
        /// Reason to give to the caller.
        reason: RefusalReason,
    },
}

/// Load of one target, as reported by its side.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TargetLoad {
    /// Name of the target.
    pub target: TargetId,
    /// Current role of an engine; `None` for a plain service or while the role is unknown.
    pub role: Option<EngineRole>,
    /// Whether the target accepts new work.
    pub accepting: bool,
    /// Prompt tokens that wait for prefill, by priority; priorities without any are left out.
    pub waiting_tokens: SmallVec<[(u8, u64); 3]>,
    /// Number of queued requests.
    pub waiting: u32,
    /// Number of running requests.
    pub running: u32,
    /// Free KV cache memory, in pages of [`crate::request::KV_PAGE_TOKENS`] tokens.
    #[serde(rename = "free_pieces")]
    pub free_pages: u32,
    /// Measured prefill rate, in tokens per second.
    pub prefill_rate: f32,
    /// Measured inter-token latency of decode, in milliseconds.
    #[serde(rename = "token_gap_ms")]
    pub inter_token_ms: f32,
    /// Measured inter-token latency of decode beside the prefill of other prompts, in
    /// milliseconds; 0 from a side of a version that does not measure it.
    #[serde(default, rename = "mixed_gap_ms")]
    pub mixed_inter_token_ms: f32,
    /// Measured duration of one call of a plain service, in milliseconds.
    pub call_ms: f32,
    /// Prompt prefixes presumed to be cached; `None` if unchanged since the last report.
    pub prefixes: Option<Vec<PrefixHash>>,
    /// Total prompt tokens placed at the target.
    pub prompt_total: u64,
    /// Total output tokens expected of the work placed at the target.
    pub output_total: u64,
}

impl TargetLoad {
    /// Returns the prompt tokens queued ahead of a new request of a priority.
    pub fn tokens_ahead(&self, priority: u8) -> u64 {
        self.waiting_tokens
            .iter()
            .filter(|(other, _)| *other <= priority)
            .map(|(_, tokens)| tokens)
            .sum()
    }
}

/// Encodes a frame as CBOR.
///
/// # Errors
/// Returns [`ErrorCode::TooLarge`] if the frame exceeds [`MAX_FRAME_BYTES`].
pub fn encode<T: Serialize>(frame: &LinkFrame<T>) -> Result<Bytes> {
    let mut buffer = Vec::with_capacity(256);
    ciborium::into_writer(frame, &mut buffer)
        .map_err(|e| Error::new(ErrorCode::Protocol, format!("frame ({e})")))?;
    if buffer.len() > MAX_FRAME_BYTES {
        return Err(Error::new(ErrorCode::TooLarge, format!("frame of {} bytes", buffer.len())));
    }
    Ok(Bytes::from(buffer))
}

/// Decodes a frame from CBOR.
///
/// # Errors
/// Returns [`ErrorCode::TooLarge`] or [`ErrorCode::Protocol`]. The receiver then closes the link.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<LinkFrame<T>> {
    if bytes.len() > MAX_FRAME_BYTES {
        return Err(Error::new(ErrorCode::TooLarge, format!("frame of {} bytes", bytes.len())));
    }
    ciborium::from_reader(bytes)
        .map_err(|e| Error::new(ErrorCode::Protocol, format!("frame ({e})")))
}
