//! What a crash of a target may be blamed on, and how entries report it.

use std::{fmt, num::ParseIntError, str::FromStr, time::Duration};

use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use super::{DirectRequest, PromptShape};
use crate::ids::{ClockTime, ContentFingerprint, TargetId};

/// Identifier of a prompt segment.
pub type SegmentId = u64;

/// Prefixes of the text forms, which are no hexadecimal digits.
const CALLER_PREFIX: char = 'k';
const RESOURCE_PREFIX: char = 'p';
const CONTENT_PREFIX: char = 'q';
const PATH_PREFIX: char = 'r';
/// Positions of a request's own suspects in place of that of a segment, behind all of them.
const PATH_POSITION: u8 = 252;
const CALLER_POSITION: u8 = 255;

/// Something in a request that may crash the target that runs it.
///
/// Its text form, which the store and reports use, is a hexadecimal number. It has a prefix
/// unless it is a segment.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(into = "String", try_from = "String")]
pub enum CrashSuspect {
    /// Segment of a prompt that requests share.
    Segment(SegmentId),
    /// Path and body of requests with any query, whoever sends them.
    Path(ContentFingerprint),
    /// Content of a request, whoever sends it.
    Content(ContentFingerprint),
    /// Path and body of requests from one caller, with any query.
    Resource(ContentFingerprint),
    /// Content of a request from one caller.
    Caller(ContentFingerprint),
}

impl CrashSuspect {
    /// Returns whether it names the requests of one caller.
    pub(super) fn has_caller(&self) -> bool {
        matches!(self, CrashSuspect::Resource(_) | CrashSuspect::Caller(_))
    }

    /// Returns whether it is a segment of prompts, and no request.
    pub(super) fn is_segment(&self) -> bool {
        matches!(self, CrashSuspect::Segment(_))
    }

    /// Returns whether two suspects are of one kind.
    pub(super) fn is_same_kind(&self, other: &CrashSuspect) -> bool {
        std::mem::discriminant(self) == std::mem::discriminant(other)
    }
}

impl fmt::Display for CrashSuspect {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            CrashSuspect::Segment(id) => write!(f, "{id:x}"),
            CrashSuspect::Path(hash) => write!(f, "{PATH_PREFIX}{hash:x}"),
            CrashSuspect::Content(hash) => write!(f, "{CONTENT_PREFIX}{hash:x}"),
            CrashSuspect::Resource(hash) => write!(f, "{RESOURCE_PREFIX}{hash:x}"),
            CrashSuspect::Caller(hash) => write!(f, "{CALLER_PREFIX}{hash:x}"),
        }
    }
}

impl FromStr for CrashSuspect {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<CrashSuspect, ParseIntError> {
        let number = |text| u64::from_str_radix(text, 16);
        if let Some(hash) = text.strip_prefix(PATH_PREFIX) {
            return number(hash).map(CrashSuspect::Path);
        }
        if let Some(hash) = text.strip_prefix(CONTENT_PREFIX) {
            return number(hash).map(CrashSuspect::Content);
        }
        if let Some(hash) = text.strip_prefix(RESOURCE_PREFIX) {
            return number(hash).map(CrashSuspect::Resource);
        }
        match text.strip_prefix(CALLER_PREFIX) {
            Some(hash) => number(hash).map(CrashSuspect::Caller),
            None => number(text).map(CrashSuspect::Segment),
        }
    }
}

impl From<CrashSuspect> for String {
    fn from(suspect: CrashSuspect) -> String {
        suspect.to_string()
    }
}

impl TryFrom<String> for CrashSuspect {
    type Error = ParseIntError;

    fn try_from(text: String) -> Result<CrashSuspect, ParseIntError> {
        text.parse()
    }
}

/// Hashes of what stays the same when a caller sends a request again.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(from = "IdentityHashes", into = "IdentityHashes")]
pub struct RequestIdentity {
    /// Hash of host, path and body.
    pub path: ContentFingerprint,
    /// Hash of the content: method, host, path, query and body, which may be empty.
    pub content: ContentFingerprint,
    /// Hash of host, path, body and caller. A caller may change the query between sendings.
    pub resource: ContentFingerprint,
    /// Hash of the content and the caller.
    pub caller: ContentFingerprint,
}

/// Encoded form of a [`RequestIdentity`], as reports hold many: path, content, resource, caller.
type IdentityHashes = [ContentFingerprint; 4];

impl From<IdentityHashes> for RequestIdentity {
    fn from([path, content, resource, caller]: IdentityHashes) -> RequestIdentity {
        RequestIdentity { path, content, resource, caller }
    }
}

impl From<RequestIdentity> for IdentityHashes {
    fn from(identity: RequestIdentity) -> IdentityHashes {
        [identity.path, identity.content, identity.resource, identity.caller]
    }
}

impl RequestIdentity {
    /// Returns what stands for the request by itself, from wide to narrow.
    pub(super) fn suspects(&self) -> [CrashSuspect; 4] {
        [
            CrashSuspect::Path(self.path),
            CrashSuspect::Content(self.content),
            CrashSuspect::Resource(self.resource),
            CrashSuspect::Caller(self.caller),
        ]
    }

    /// Returns the suspects of the request that stand for more requests than `narrow`, which is
    /// another suspect of it; none if it is not.
    pub(super) fn wider_suspects(&self, narrow: CrashSuspect) -> SmallVec<[CrashSuspect; 3]> {
        let RequestIdentity { path, content, resource, caller } = *self;
        let path = CrashSuspect::Path(path);
        match narrow {
            CrashSuspect::Caller(hash) if hash == caller => {
                let wider = [CrashSuspect::Resource(resource), CrashSuspect::Content(content)];
                wider.into_iter().chain([path]).collect()
            }
            CrashSuspect::Resource(hash) if hash == resource => SmallVec::from_slice(&[path]),
            CrashSuspect::Content(hash) if hash == content => SmallVec::from_slice(&[path]),
            _ => SmallVec::new(),
        }
    }
}

/// Suspects of one request, each with its position in the prompt.
pub(super) type RequestSuspects = SmallVec<[(CrashSuspect, u8); 8]>;

/// Returns what crashes of the targets that run a request may be blamed on.
pub(super) fn request_suspects(request: &DirectRequest) -> RequestSuspects {
    let own = request.identity.suspects().into_iter().zip(PATH_POSITION..=CALLER_POSITION);
    let shared = request.prompt.as_ref().map_or(&[][..], shared_segments);
    let shared = shared.iter().zip(0..PATH_POSITION);
    shared.map(|(segment, at)| (CrashSuspect::Segment(segment.id), at)).chain(own).collect()
}

/// Returns the segments of a prompt that other requests may share.
fn shared_segments(prompt: &PromptShape) -> &[super::PromptSegment] {
    prompt.segments.split_last().map_or(&[][..], |(_, shared)| shared)
}

/// One start of a target: its id and the time of its start.
pub type TargetStart = (TargetId, u64);

/// Suspect in a request that was running when its target crashed: the suspect, its position
/// in the prompt from 0, and the milliseconds from the sending of the request to the crash.
/// A tuple, as reports hold many.
pub type SuspectRun = (CrashSuspect, u8, u32);

/// Crash of a target, with the suspects in the requests that one entry had there.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TargetCrash {
    /// Target and start that ended.
    pub start: TargetStart,
    /// Time since the crash.
    pub age: Duration,
    /// Suspects that have not been in a whole response since.
    pub runs: Vec<SuspectRun>,
    /// The requests that the entry had there, which tell whose suspects belong together.
    #[serde(default)]
    pub requests: Vec<RequestIdentity>,
}

/// Request whose connection broke while its target lived on.
///
/// A request that ends each of its connections early is as good as one that crashes targets:
/// what listens may have started the program behind it again.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct BrokenRun {
    /// Instance number of the process that saw it, and its sequence number there.
    pub id: BreakId,
    /// Time since then.
    pub age: Duration,
    /// The request, as a suspect.
    pub run: SuspectRun,
}

/// Instance number of a process, with the sequence number of a broken connection there.
pub type BreakId = (u64, u64);

/// Suspect with which requests are not sent.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct BlockedSuspect {
    /// The suspect.
    pub suspect: CrashSuspect,
    /// Number of crashes that it is blocked for.
    pub crashes: u32,
    /// How often it was blocked again after its time was over.
    pub repeats: u32,
    /// Time since the last of the crashes.
    pub age: Duration,
}

/// What one entry has seen lately of suspects.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct SuspectReport {
    /// Crashes that it saw itself and confirmed.
    pub crashes: Vec<TargetCrash>,
    /// Connections that broke there while their targets lived on.
    #[serde(default)]
    pub breaks: Vec<BrokenRun>,
    /// Suspects in responses that ended whole, with the time since; only those under which
    /// targets crashed.
    pub successes: Vec<(CrashSuspect, Duration)>,
    /// Suspects that it blocks.
    pub blocked: Vec<BlockedSuspect>,
    /// Targets that responded to it after a connection to them had broken, with the time since
    /// it sent the call.
    pub survivors: Vec<(TargetStart, Duration)>,
}

impl SuspectReport {
    /// Returns whether there is nothing to report.
    pub fn is_empty(&self) -> bool {
        self.crashes.is_empty()
            && self.breaks.is_empty()
            && self.successes.is_empty()
            && self.blocked.is_empty()
            && self.survivors.is_empty()
    }
}

/// Change of a blocked suspect's record in the store.
#[derive(Debug, Clone, PartialEq)]
pub enum SuspectChange {
    /// The suspect is blocked.
    Blocked(BlockedSuspect),
    /// The suspect is no longer blocked.
    Cleared(CrashSuspect),
}

/// Request at a target: when it was sent, and its suspects.
#[derive(Debug, Clone)]
pub(super) struct TargetRun {
    pub(super) start: TargetStart,
    pub(super) sent: ClockTime,
    pub(super) identity: RequestIdentity,
    pub(super) suspects: RequestSuspects,
}
