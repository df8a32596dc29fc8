//! Requests and their final answers.

use std::{sync::Arc, time::Duration};

use serde::{Deserialize, Serialize};
use siphasher::sip::SipHasher13;
use smallvec::SmallVec;
use std::hash::{Hash, Hasher};
use strum::{Display, EnumIter, EnumString, IntoStaticStr};

use crate::{
    claim::ServiceAnswer,
    ids::{ContentFingerprint, CustomerId, PrefixHash},
};

/// Tokens per page of KV cache memory.
pub const KV_PAGE_TOKENS: u32 = 1024;
/// Tokens in one block of the prefix cache.
pub const PREFIX_BLOCK_TOKENS: u32 = 256;
/// Bytes of text that count as one token in an estimate.
pub const BYTES_PER_TOKEN: usize = 4;
/// Largest request body, in bytes.
pub const MAX_BODY_BYTES: usize = 4 * 1024 * 1024;
/// Largest number of prefix hashes that travel with a request.
pub const MAX_PREFIXES: usize = 64;

/// What a caller asks for.
#[derive(Debug, Clone, PartialEq)]
pub struct CallerRequest {
    /// The customer.
    pub customer: CustomerId,
    /// Name of the request kind in the contract.
    pub kind: Arc<str>,
    /// Idempotency key.
    pub key: Option<Arc<str>>,
    /// Prompt or body.
    pub content: Arc<str>,
    /// Length of the prompt, in tokens.
    pub prompt_tokens: u32,
    /// Wanted length of the output, in tokens.
    pub max_output_tokens: u32,
    /// Hashes of the prompt's prefixes at block boundaries, shortest first.
    pub prefixes: SmallVec<[PrefixHash; 8]>,
}

/// How a request ended.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FinalAnswer {
    /// Every chunk of the completion was delivered.
    Completed {
        /// Number of chunks.
        chunks: u32,
        /// Number of tokens.
        tokens: u32,
    },
    /// The service answered.
    Answered(ServiceAnswer),
    /// The request was given up.
    Refused(FinalRefusal),
}

/// Why and how a request was given up.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct FinalRefusal {
    /// The reason.
    pub reason: RefusalReason,
    /// Whether it is certain that the request had no effect.
    pub not_run: bool,
    /// When asking again makes sense, counted from now.
    pub retry_after: Duration,
}

/// Reason for giving a request up.
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    Hash,
    Serialize,
    Deserialize,
    Display,
    EnumIter,
    EnumString,
    IntoStaticStr,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum RefusalReason {
    /// The customer has no contract in force.
    NoContract,
    /// The contract has no such kind.
    NoKind,
    /// The prompt or output exceeds the contract.
    TooLong,
    /// A non-idempotent request lacks a key, or the key is malformed or outside its window.
    BadKey,
    /// The key was used before with other content.
    KeyMismatch,
    /// No target can answer before the deadline.
    CannotMeetDeadline,
    /// No target serves this kind now.
    NoTarget,
    /// The deadline passed.
    DeadlineExceeded,
    /// The log service, which has to record a claim, cannot be reached.
    LogUnavailable,
    /// An earlier attempt's outcome is unknown.
    OutcomeUnknown,
    /// An earlier attempt with the same key is running.
    InProgress,
    /// The request crashed its targets.
    CrashesTargets,
    /// Targets failed and the retries are used up.
    TargetFailed,
    /// The process is stopping or has lost touch with all others.
    Stopping,
}

impl RefusalReason {
    /// Returns the HTTP status.
    pub fn status(self) -> u16 {
        match self {
            RefusalReason::NoContract | RefusalReason::NoKind => 404,
            RefusalReason::TooLong => 413,
            RefusalReason::BadKey => 400,
            RefusalReason::KeyMismatch => 422,
            RefusalReason::CannotMeetDeadline => 429,
            RefusalReason::InProgress | RefusalReason::OutcomeUnknown => 409,
            RefusalReason::DeadlineExceeded => 504,
            RefusalReason::CrashesTargets | RefusalReason::TargetFailed => 502,
            RefusalReason::NoTarget | RefusalReason::LogUnavailable | RefusalReason::Stopping => {
                503
            }
        }
    }
}

impl CallerRequest {
    /// Makes a request from its text, with an estimate of its length.
    pub fn from_text(
        customer: CustomerId,
        kind: Arc<str>,
        key: Option<Arc<str>>,
        content: Arc<str>,
    ) -> CallerRequest {
        let prompt_tokens = estimate_tokens(&content);
        let prefixes = prefix_hashes(&customer, &content);
        CallerRequest {
            customer,
            kind,
            key,
            content,
            prompt_tokens,
            max_output_tokens: 0,
            prefixes,
        }
    }

    /// Hashes the customer, kind and content.
    pub fn fingerprint(&self) -> ContentFingerprint {
        let mut hasher = SipHasher13::new();
        self.customer.hash(&mut hasher);
        self.kind.hash(&mut hasher);
        self.content.hash(&mut hasher);
        self.max_output_tokens.hash(&mut hasher);
        hasher.finish()
    }
}

/// Estimates the length of a text, in tokens.
pub fn estimate_tokens(text: &str) -> u32 {
    text.len().div_ceil(BYTES_PER_TOKEN).max(1) as u32
}

/// Returns the KV cache pages that a number of tokens occupies, rounded up.
pub fn kv_pages(tokens: u32) -> u32 {
    tokens.div_ceil(KV_PAGE_TOKENS)
}

fn prefix_hashes(customer: &str, text: &str) -> SmallVec<[PrefixHash; 8]> {
    let block = PREFIX_BLOCK_TOKENS as usize * BYTES_PER_TOKEN;
    let mut hasher = SipHasher13::new();
    customer.hash(&mut hasher);
    let mut hashes = SmallVec::new();
    for chunk in text.as_bytes().chunks_exact(block).take(MAX_PREFIXES) {
        hasher.write(chunk);
        hashes.push(hasher.finish());
    }
    hashes
}
