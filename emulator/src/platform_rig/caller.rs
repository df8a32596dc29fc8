//! Simulated callers of the platform, with a record of each attempt.

use std::{sync::Arc, time::Duration};

use rand::RngExt;
use sapphirewell::{
    direct::{
        CustomerConfig, DirectRequest, PromptSegment, PromptShape, RequestFailure, RequestIdentity,
        StreamId, StreamResume,
    },
    ids::ClockTime,
    platform::caller::ValidatedHead,
};
use strum::Display;

use super::{CallerKey, DriverDefect, EntryId, PlatformRig, PlatformSite, PlatformStep, RigEvent};

/// Class of a request, which determines its route and the size of its work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
#[strum(serialize_all = "snake_case")]
pub enum RequestClass {
    /// Completion with a long prompt, whose stream may be resumed.
    Dossier,
    /// Completion with a short prompt that must run at most once.
    Note,
    /// Poison request: a note that crashes each engine that starts to run it.
    Poison,
    /// Call of a plain service that must run at most once.
    Ticket,
    /// Call of a plain service that may be retried.
    Lookup,
}

impl RequestClass {
    /// Returns whether the answer is a stream.
    pub fn is_stream(self) -> bool {
        matches!(self, RequestClass::Dossier | RequestClass::Note | RequestClass::Poison)
    }

    /// Returns how long the caller waits for its answer.
    pub fn deadline(self) -> Duration {
        Duration::from_millis(match self {
            RequestClass::Dossier => 5000,
            RequestClass::Note | RequestClass::Poison => 2500,
            RequestClass::Ticket | RequestClass::Lookup => 1500,
        })
    }

    /// Returns the number of events in a complete answer.
    pub(crate) fn events(self) -> u32 {
        match self {
            RequestClass::Dossier => 10,
            RequestClass::Note | RequestClass::Poison => 4,
            RequestClass::Ticket | RequestClass::Lookup => 1,
        }
    }
}

/// Request that a caller will send.
#[derive(Debug, Clone)]
pub struct OfferedRequest {
    /// Time at which the caller sends it.
    pub at: ClockTime,
    /// Class of the request.
    pub class: RequestClass,
    /// Id of the prompt prefix; dossiers with the same id share a long prefix.
    pub prefix_id: u64,
    /// Key that the caller states, where configurations have customers.
    pub key: CallerKey,
    /// Whether its prompt shares the segment that crashes each engine.
    pub has_crashing_segment: bool,
    /// Maximum number of attempts after this one.
    pub retries: u32,
    /// Whether the caller retries at once and ignores the `retry_after` of a refusal.
    pub retries_at_once: bool,
}

/// How an attempt ended for its caller.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum AttemptAnswer {
    /// The attempt has not ended.
    Open,
    /// The caller got the complete answer of a target.
    Whole,
    /// The answer or the connection was interrupted.
    Broken,
    /// The entry rejected the caller's key.
    Rejected,
    /// The system itself answered with a failure.
    Own(RequestFailure),
    /// The caller disconnected.
    Left,
}

/// Record of one attempt of a caller.
#[derive(Debug, Clone)]
pub struct AttemptRecord {
    /// Request that the attempt sends.
    pub request: OfferedRequest,
    /// Time at which the attempt was sent.
    pub sent: ClockTime,
    /// Time at which the caller stops waiting.
    pub deadline: ClockTime,
    /// Entry that accepted the connection; absent until one has.
    pub entry: Option<EntryId>,
    pub(crate) process: u64,
    /// How the attempt ended.
    pub answer: AttemptAnswer,
    /// Time at which the attempt ended; zero while it is open.
    pub ended: ClockTime,
    /// Time at which the first event reached the caller; absent until then.
    pub first: Option<ClockTime>,
    pub(crate) events: u32,
    /// Attempt that began the stream which this one takes up; absent for a new stream.
    pub(crate) resumes: Option<usize>,
}

/// Records of all attempts, indexed by attempt.
#[derive(Debug, Default)]
pub(crate) struct AttemptLog {
    records: Vec<AttemptRecord>,
}

impl AttemptLog {
    pub(super) fn add(&mut self, request: OfferedRequest) -> usize {
        let (sent, deadline) = (request.at, request.at + request.class.deadline());
        self.records.push(AttemptRecord {
            request,
            sent,
            deadline,
            entry: None,
            process: 0,
            answer: AttemptAnswer::Open,
            ended: ClockTime::ZERO,
            first: None,
            events: 0,
            resumes: None,
        });
        self.records.len() - 1
    }

    pub(super) fn records(&self) -> &[AttemptRecord] {
        &self.records
    }

    pub(super) fn record(&self, attempt: usize) -> &AttemptRecord {
        &self.records[attempt]
    }

    pub(super) fn record_mut(&mut self, attempt: usize) -> &mut AttemptRecord {
        &mut self.records[attempt]
    }
}

/// Prompt tokens in the prefix that dossiers with the same prefix id share.
const SHARED_TOKENS: u32 = 13_300;
/// Prompt tokens of a dossier after the shared prefix.
const OWN_TOKENS: u32 = 3720;
/// Id and tokens of the segment that crashes each engine that begins to answer on it.
const CRASHING_SEGMENT: PromptSegment = PromptSegment { id: 2_000_000, tokens: 64 };
/// Prompt tokens of a note.
const NOTE_TOKENS: u32 = 383;

fn stream_id(attempt: usize) -> StreamId {
    format!("attempt-{attempt}").into()
}

impl PlatformRig {
    /// Sends an attempt to a random entry that accepts connections.
    pub(super) fn attempt_arrives(&mut self, attempt: usize) {
        if self.callers.record(attempt).entry.is_none() {
            let alive = (0..self.entries.len()).filter(|entry| self.entries[*entry].alive);
            let alive: Vec<EntryId> = alive.collect();
            let is_open = |entry: &&EntryId| !self.entries[**entry].stopping;
            let mut open: Vec<EntryId> = alive.iter().filter(is_open).copied().collect();
            if open.is_empty() {
                // Without a ready entry, the load balancer uses all of them.
                open = alive;
            }
            if open.is_empty() {
                // The load balancer finds no entry; the caller connects again later.
                return self
                    .schedule_after(Duration::from_millis(200), RigEvent::Attempt { attempt });
            }
            let entry = open[self.rng.random_range(0..open.len())];
            let process = self.entries[entry].process;
            let record = self.callers.record_mut(attempt);
            record.entry = Some(entry);
            record.process = process;
            if self.entries[entry].frozen_until > self.now {
                return self.schedule_after(Duration::ZERO, RigEvent::Attempt { attempt });
            }
        }
        let Some(entry) = self.callers.record(attempt).entry else { return };
        let process = self.callers.record(attempt).process;
        if !self.is_process(entry, process) {
            return self.end_attempt(attempt, AttemptAnswer::Broken);
        }
        self.submit(entry, attempt);
        self.record_step(PlatformStep::RequestRead, PlatformSite { entry, target: 0 });
    }

    /// Builds the state machine's request for an attempt.
    ///
    /// It is of the route and the customer that its head was validated for.
    pub(super) fn build_request(&self, attempt: usize, head: &ValidatedHead) -> DirectRequest {
        let record = self.callers.record(attempt);
        let class = record.request.class;
        let route = head.route.clone();
        let prefix_id = record.request.prefix_id;
        let shared = match class {
            RequestClass::Dossier => Some((SHARED_TOKENS, OWN_TOKENS)),
            RequestClass::Note | RequestClass::Poison => Some((0, NOTE_TOKENS)),
            RequestClass::Ticket | RequestClass::Lookup => None,
        };
        let crashing = record.request.has_crashing_segment.then_some(CRASHING_SEGMENT);
        let prompt = shared.map(|(shared, own)| PromptShape {
            tokens: shared + own + crashing.map_or(0, |segment| segment.tokens),
            max_output: 12 * class.events(),
            segments: [PromptSegment { id: prefix_id, tokens: shared }]
                .into_iter()
                .chain(crashing)
                .chain([PromptSegment { id: 1_000_000 + attempt as u64, tokens: own }])
                .collect(),
        });
        let content = match class {
            RequestClass::Poison => u64::MAX,
            _ => attempt as u64,
        };
        let (path, resource, caller) = (content, content, content);
        let identity = RequestIdentity { path, content, resource, caller };
        let time_left = record.deadline.saturating_sub(self.now);
        let ignored = self.settings.defect == Some(DriverDefect::ResumesIgnored);
        let resumes = record.resumes.filter(|_| !ignored);
        let resumes = resumes.map(|first| StreamResume { stream: Some(stream_id(first)) });
        let id = stream_id(attempt);
        let customer = head.identity.customer().cloned();
        let customer = customer.map(|customer| self.with_priority(customer));
        DirectRequest { id, route, customer, time_left, prompt, identity, resumes }
    }

    fn with_priority(&self, customer: Arc<CustomerConfig>) -> Arc<CustomerConfig> {
        match self.settings.defect {
            Some(DriverDefect::CustomerPriorityIgnored) => {
                Arc::new(CustomerConfig { priority: None, ..(*customer).clone() })
            }
            _ => customer,
        }
    }

    /// Ends an open attempt and schedules the caller's retry, if there is one.
    ///
    /// The retry keeps the deadline of the first attempt.
    pub(super) fn end_attempt(&mut self, attempt: usize, answer: AttemptAnswer) {
        let now = self.now;
        let record = self.callers.record_mut(attempt);
        if record.answer != AttemptAnswer::Open {
            return;
        }
        record.answer = answer;
        record.ended = now;
        let request = record.request.clone();
        let began = request.class == RequestClass::Dossier && record.events > 0;
        let resumes = record.resumes.or(began.then_some(attempt));
        let left = record.deadline.saturating_sub(now);
        let pause = match answer {
            AttemptAnswer::Own(own) if own.not_run => Some(if request.retries_at_once {
                Duration::ZERO
            } else {
                own.retry_after.min(left / 3)
            }),
            AttemptAnswer::Broken | AttemptAnswer::Own(_)
                if request.class == RequestClass::Lookup
                    || request.class == RequestClass::Dossier =>
            {
                Some(Duration::from_millis(20))
            }
            _ => None,
        };
        let Some(pause) = pause.filter(|pause| request.retries > 0 && *pause < left) else {
            return;
        };
        let again = OfferedRequest { at: now + pause, retries: request.retries - 1, ..request };
        let deadline = now + left;
        let next = self.callers.add(again);
        let record = self.callers.record_mut(next);
        record.deadline = deadline;
        record.resumes = resumes;
        self.schedule_after(pause, RigEvent::Attempt { attempt: next });
        self.record_step(PlatformStep::CallerRetries, PlatformSite { entry: 0, target: 0 });
    }

    /// Closes the caller's connection, if the attempt is still open.
    pub(super) fn caller_disconnects(&mut self, attempt: usize) {
        let record = self.callers.record(attempt);
        let (entry, process) = (record.entry, record.process);
        if record.answer != AttemptAnswer::Open {
            return;
        }
        self.end_attempt(attempt, AttemptAnswer::Left);
        if let Some(entry) = entry
            && self.is_process(entry, process)
        {
            self.cancel_attempt(entry, attempt);
        }
    }
}
