//! Requests of callers and their final answers.

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
/// Number of tokens in one block of the prefix cache.
pub const PREFIX_BLOCK_TOKENS: u32 = 256;
/// Bytes of text per token, by which lengths in tokens are estimated.
pub const BYTES_PER_TOKEN: usize = 4;
/// Maximum size of a request body, in bytes.
pub const MAX_BODY_BYTES: usize = 4 * 1024 * 1024;
/// Maximum number of prefix hashes per request.
pub const MAX_PREFIXES: usize = 64;

/// A caller's request for a completion or a service call.
#[derive(Debug, Clone, PartialEq)]
pub struct CallerRequest {
    /// Customer that sends the request.
    pub customer: CustomerId,
    /// Name of the request kind in the contract.
    pub kind: Arc<str>,
    /// Idempotency key; `None` if the caller sent none.
    pub key: Option<Arc<str>>,
    /// Prompt of a completion or body of a call.
    pub content: Arc<str>,
    /// Estimated length of the prompt, in tokens.
    pub prompt_tokens: u32,
    /// Maximum length of the output, in tokens; 0 for the maximum of the contract.
    pub max_output_tokens: u32,
    /// Hashes of the prompt's prefixes at block boundaries, shortest first.
    pub prefixes: SmallVec<[PrefixHash; 8]>,
}

/// Final answer to a request.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FinalAnswer {
    /// Every chunk of the completion was delivered.
    Completed {
        /// Number of chunks delivered.
        chunks: u32,
        /// Number of tokens generated.
        tokens: u32,
    },
    /// The service answered the call.
    Answered(ServiceAnswer),
    /// The request ended without a complete answer.
    Refused(FinalRefusal),
}

/// Refusal that ends a request.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct FinalRefusal {
    /// Reason of the refusal, which decides the HTTP status.
    pub reason: RefusalReason,
    /// Whether it is certain that the request had no effect.
    pub not_run: bool,
    /// Time after which the caller may usefully retry.
    pub retry_after: Duration,
}

/// Reason of a refusal.
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
    /// The contract has no kind of the requested name.
    NoKind,
    /// The prompt or the requested output exceeds the contract's limit.
    TooLong,
    /// A non-idempotent request lacks a key, or the key is malformed or outside its window.
    BadKey,
    /// The key was used before with different content.
    KeyMismatch,
    /// No target is estimated to answer before the deadline.
    CannotMeetDeadline,
    /// No usable target serves this kind.
    NoTarget,
    /// The deadline passed before the answer was complete.
    DeadlineExceeded,
    /// The log service is unreachable, so that a claim on the key cannot be recorded.
    LogUnavailable,
    /// The request may have run, and its outcome is unknown.
    OutcomeUnknown,
    /// An earlier request with the same key is still running.
    InProgress,
    /// The request has crashed targets and is rejected.
    CrashesTargets,
    /// Targets failed, and no more attempts or retries are allowed.
    TargetFailed,
    /// The process is shutting down or can reach no other process.
    Stopping,
}

impl RefusalReason {
    /// Returns the HTTP status of the response to the caller.
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
    /// Creates a request from its text, with its estimated length and prefix hashes.
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

    /// Hashes the customer, kind, content and maximum output, to recognize repeated requests.
    pub fn fingerprint(&self) -> ContentFingerprint {
        let mut hasher = SipHasher13::new();
        self.customer.hash(&mut hasher);
        self.kind.hash(&mut hasher);
        self.content.hash(&mut hasher);
        self.max_output_tokens.hash(&mut hasher);
        hasher.finish()
    }
}

/// Estimates the length of a text, in tokens; at least 1.
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
