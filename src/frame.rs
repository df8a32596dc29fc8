//! Frames of the link between an entry and a side.
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

/// Largest encoded frame, in bytes.
pub const MAX_FRAME_BYTES: usize = MAX_BODY_BYTES + 256 * 1024;
/// Interval between heartbeats.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);
/// Silence after which a link counts as broken.
pub const LINK_TIMEOUT: Duration = Duration::from_millis(2000);

/// One frame with the sender's position in the log.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LinkFrame<T> {
    /// Offset of the next record that the sender will read.
    pub next: LogOffset,
    /// The content.
    pub body: T,
}

/// Frame from an entry to a side.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum EntryFrame {
    /// Shows that the link works.
    Heartbeat,
    /// Asks to run an attempt.
    Place(Box<PlaceFrame>),
    /// Gives up an attempt.
    Cancel {
        /// The attempt.
        attempt: AttemptId,
    },
}

/// What an engine has to do for an attempt.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum AttemptWork {
    /// Reads the prompt and generates.
    Complete,
    /// Reads the prompt and keeps its KV cache for another engine.
    Prefill,
    /// Generates from the KV cache of another engine.
    Decode {
        /// The engine that read the prompt.
        source: TargetId,
        /// Its KV cache handle.
        handle: u64,
    },
    /// Calls a plain service.
    Call,
}

/// All that a side needs to run an attempt.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PlaceFrame {
    /// The attempt.
    pub attempt: AttemptId,
    /// The target.
    pub target: TargetId,
    /// The work.
    pub work: AttemptWork,
    /// The customer.
    pub customer: CustomerId,
    /// Revision of the contract under which the request was admitted.
    pub revision: ContractRevision,
    /// Customer's share, in millionths of the fleet.
    pub share_ppm: u32,
    /// Priority from 0 (first) to 9 (last).
    pub priority: u8,
    /// Time left until the answer has to be complete.
    pub time_left: Duration,
    /// Whether running it twice does no harm.
    pub idempotent: bool,
    /// Idempotency key.
    pub key: Option<Arc<str>>,
    /// Window for repeats, in seconds.
    pub window_s: u64,
    /// Hash of the content.
    pub fingerprint: ContentFingerprint,
    /// Prompt or body.
    pub content: Arc<str>,
    /// Length of the prompt, in tokens.
    pub prompt_tokens: u32,
    /// Longest output, in tokens.
    pub max_output_tokens: u32,
    /// Expected output, in tokens.
    pub expected_output_tokens: u32,
    /// Hashes of the prompt's prefixes.
    pub prefixes: SmallVec<[PrefixHash; 8]>,
    /// Chunks that the caller already has; generation goes on after them.
    pub resume_chunks: u32,
    /// Text of those chunks.
    pub resume_text: String,
    /// Crashes of targets by this request that the entry knows of.
    pub crashes: u8,
}

/// Frame from a side to an entry.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum SideFrame {
    /// Shows that the link works.
    Heartbeat,
    /// Names the side, first on each link.
    Welcome {
        /// The side.
        side: SideId,
        /// Its fencing number.
        fence: FencingToken,
    },
    /// Reports the load of the side's targets.
    Load(Vec<TargetLoad>),
    /// Tells an entry about crashes, which may not reach it through the log.
    Suspects(Vec<SuspectReport>),
    /// Answers a [`PlaceFrame`]: the attempt is in the queue.
    #[serde(rename = "Taken")]
    Accepted {
        /// The attempt.
        attempt: AttemptId,
    },
    /// Delivers a piece of output.
    Chunk {
        /// The attempt.
        attempt: AttemptId,
        /// Index of the piece within the whole answer.
        index: u32,
        /// Its text.
        text: Arc<str>,
    },
    /// Ends an attempt.
    End {
        /// The attempt.
        attempt: AttemptId,
        /// How it ended.
        end: AttemptEnd,
    },
}

/// How an attempt ended at a side.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum AttemptEnd {
    /// The engine generated everything.
    #[serde(rename = "Whole")]
    Completed {
        /// Number of chunks of the whole answer.
        chunks: u32,
        /// Number of tokens of the whole answer.
        tokens: u32,
    },
    /// The prompt is read and its KV cache is ready.
    Prefilled {
        /// KV cache handle.
        handle: u64,
    },
    /// The service answered, or the log has the answer of an earlier attempt.
    Answered(ServiceAnswer),
    /// Nothing reached the target, and nothing will.
    NotRun {
        /// The reason.
        reason: RefusalReason,
        /// When asking again makes sense.
        retry_after: Duration,
    },
    /// The contract has changed; the entry has to read the log up to this offset.
    Stale {
        /// Offset of the next record that the side will read.
        next: LogOffset,
    },
    /// The target failed; an idempotent request may be tried again.
    Failed {
        /// Whether the target crashed while it was running the attempt.
        crashed: bool,
    },
    /// The request may have run, and its answer is not known.
    Unknown {
        /// The reason.
        reason: RefusalReason,
    },
}

/// Load of one target as its side sees it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TargetLoad {
    /// The target.
    pub target: TargetId,
    /// Role, or `None` for a plain service.
    pub role: Option<EngineRole>,
    /// Whether new work is accepted.
    pub accepting: bool,
    /// Prompt tokens that wait to be read, by priority; priorities without any are left out.
    pub waiting_tokens: SmallVec<[(u8, u64); 3]>,
    /// Requests that wait.
    pub waiting: u32,
    /// Requests that generate or run.
    pub running: u32,
    /// Free KV cache memory, in pages of [`crate::request::KV_PAGE_TOKENS`] tokens.
    #[serde(rename = "free_pieces")]
    pub free_pages: u32,
    /// Measured speed of reading prompts, in tokens a second.
    pub prefill_rate: f32,
    /// Measured time between two tokens, in milliseconds.
    #[serde(rename = "token_gap_ms")]
    pub inter_token_ms: f32,
    /// Measured time of one call, in milliseconds; for plain services.
    pub call_ms: f32,
    /// Prefixes that are believed cached; `None` where they are those of the last report.
    pub prefixes: Option<Vec<PrefixHash>>,
    /// Prompt tokens that were placed here in total.
    pub prompt_total: u64,
    /// Output tokens that were placed here in total.
    pub output_total: u64,
}

impl TargetLoad {
    /// Returns the prompt tokens that are read before a new request of a priority.
    pub fn tokens_ahead(&self, priority: u8) -> u64 {
        self.waiting_tokens
            .iter()
            .filter(|(other, _)| *other <= priority)
            .map(|(_, tokens)| tokens)
            .sum()
    }
}

/// Encodes a frame.
///
/// # Errors
/// Returns [`ErrorCode::TooLarge`] where it exceeds [`MAX_FRAME_BYTES`].
pub fn encode<T: Serialize>(frame: &LinkFrame<T>) -> Result<Bytes> {
    let mut buffer = Vec::with_capacity(256);
    ciborium::into_writer(frame, &mut buffer)
        .map_err(|e| Error::new(ErrorCode::Protocol, format!("frame ({e})")))?;
    if buffer.len() > MAX_FRAME_BYTES {
        return Err(Error::new(ErrorCode::TooLarge, format!("frame of {} bytes", buffer.len())));
    }
    Ok(Bytes::from(buffer))
}

/// Decodes a frame.
///
/// # Errors
/// Returns [`ErrorCode::TooLarge`] or [`ErrorCode::Protocol`]; the link is then closed.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<LinkFrame<T>> {
    if bytes.len() > MAX_FRAME_BYTES {
        return Err(Error::new(ErrorCode::TooLarge, format!("frame of {} bytes", bytes.len())));
    }
    ciborium::from_reader(bytes)
        .map_err(|e| Error::new(ErrorCode::Protocol, format!("frame ({e})")))
}
