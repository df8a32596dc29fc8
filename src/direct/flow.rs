//! State of one request until its final response.

use std::{sync::Arc, time::Duration};

use serde::Serialize;
use smallvec::SmallVec;
use strum::Display;

use super::{
    CallNumber, CrashSuspect, CustomerName, DirectRequest, DirectTarget, FailureReason,
    PromptShape, RequestIdentity, ServiceName, SoftwareVersion, StreamId, TargetStart,
    stream::OriginQuery,
    suspect::{TargetRun, request_suspects},
};
use crate::ids::{ClockTime, TargetId};

/// Operation of a call, without its parameters.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Display)]
#[strum(serialize_all = "snake_case")]
pub(super) enum StepKind {
    Run,
    Prefill,
    Decode,
}

/// Call in flight.
#[derive(Debug, Clone)]
pub(super) struct OpenCall {
    pub(super) number: CallNumber,
    pub(super) target: Arc<DirectTarget>,
    pub(super) step: StepKind,
    pub(super) started: ClockTime,
    /// Prompt tokens that the target still has to prefill for it.
    pub(super) remaining_tokens: u32,
    /// Prompt tokens that it had to prefill when the call began.
    pub(super) prefill_tokens: u32,
    /// Prompt tokens that it copies from another target.
    pub(super) copied_tokens: u32,
    /// Expected time of that copy.
    pub(super) copy_time: Duration,
    /// Start of the target that it copies from.
    pub(super) copy_source: Option<TargetStart>,
    /// Prompt tokens of other requests that were queued ahead of it.
    pub(super) tokens_ahead: u32,
    /// Expected time to its first output, or to the end of a prefill.
    pub(super) estimate: Duration,
    /// Time to its first output; `None` before that, and of a prefill.
    pub(super) first_output: Option<Duration>,
    pub(super) answered: bool,
    /// Whether the target answered with a success.
    pub(super) succeeded: bool,
}

impl OpenCall {
    /// Returns the start of the target that was called.
    pub(super) fn target_start(&self) -> TargetStart {
        (self.target.id.clone(), self.target.born_ms)
    }

    /// Formats the call for a log line: target, its software version, operation, result, duration, the
    /// prompt tokens that it had to prefill and that were queued ahead of it, and the expected
    /// and actual time to its first output, and the prompt tokens that it copied.
    pub(super) fn describe(&self, now: ClockTime, ending: &str) -> String {
        let took = now.saturating_sub(self.started).as_millis();
        let (id, version, step) = (&self.target.id, &self.target.version, self.step);
        let (own, ahead) = (self.prefill_tokens, self.tokens_ahead);
        let estimate = self.estimate.as_millis();
        let mut text =
            format!("{id} {version} {step} {ending} {took}ms {own}+{ahead} estimated {estimate}ms");
        if let Some(first) = self.first_output {
            text.push_str(&format!(" first {}ms", first.as_millis()));
        }
        if self.copied_tokens > 0 {
            text.push_str(&format!(" copied {}", self.copied_tokens));
        }
        text
    }
}

/// KV cache that a target holds for a decode call.
#[derive(Debug, Clone)]
pub(super) struct HeldCache {
    pub(super) target: Arc<DirectTarget>,
    pub(super) handle: Arc<str>,
}

/// Request without a final response.
#[derive(Debug, Clone)]
pub(super) struct DirectFlow {
    pub(super) request: Box<DirectRequest>,
    pub(super) service: ServiceName,
    /// Software version of the targets that may serve it; `None` for any.
    pub(super) version: Option<SoftwareVersion>,
    /// Query for the origin of the stream that it goes on with, until that is known.
    pub(super) origin_query: Option<OriginQuery>,
    pub(super) arrived: ClockTime,
    /// Whether its latency objective had passed on arrival.
    pub(super) late: bool,
    /// Time until which a response is in time.
    pub(super) objective: ClockTime,
    /// Time at which the caller stops waiting.
    pub(super) deadline: ClockTime,
    /// Time at which the route's timeout expires.
    pub(super) timeout_at: ClockTime,
    pub(super) calls: CallNumber,
    /// Number of failed runs after which it was placed again.
    pub(super) runs: u32,
    pub(super) tried: SmallVec<[TargetId; 4]>,
    /// Engines from which a failed call was to copy.
    pub(super) failed_sources: SmallVec<[TargetId; 2]>,
    pub(super) call: Option<OpenCall>,
    pub(super) cache: Option<HeldCache>,
    /// Engine with a limit of which a request is kept back for the decode call.
    pub(super) reserved: Option<TargetId>,
    pub(super) may_have_run: bool,
    /// Whether it is in the counts of its customer's usage.
    pub(super) is_counted: bool,
    /// Work that was counted as admitted of its customer's, in seconds at a target.
    pub(super) admitted_seconds: f32,
    /// Whether the response that is being delivered ends with its connection.
    pub(super) unframed: bool,
    pub(super) trace: RequestTrace,
}

/// Summary of a request's processing, for its log line.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct RequestTrace {
    /// Name of the route.
    pub route: Arc<str>,
    /// Customer that it was sent for, if any.
    pub customer: Option<CustomerName>,
    /// Calls in order, each with target, its software version, operation, result, duration and prefill tokens.
    pub calls: Vec<String>,
    /// Version of the configuration in force when the request arrived.
    pub version: u64,
    /// Time from arrival within which the response is in time, in milliseconds.
    pub objective_ms: u64,
    /// Time from arrival to the first output, in milliseconds; `None` before that.
    pub first_ms: Option<u64>,
    /// Reason of a failure that the entry itself reported.
    pub reason: Option<FailureReason>,
    /// Stream that the request goes on with, which is empty if the caller did not name it;
    /// `None` for a new stream.
    pub resumes: Option<StreamId>,
    /// Identifier of the prompt's longest shared segment, in hexadecimal; empty if none.
    #[serde(rename = "subject")]
    pub shared_segment: String,
    /// Identifiers of the prompt's shared segments, in hexadecimal and in order.
    pub segments: String,
    /// Suspect of its content, as the store and the state dump name it.
    pub content: String,
    /// Suspect of its path, body and caller.
    pub resource: String,
    /// Suspect of its content and caller.
    pub caller: String,
    /// Expected queueing time when it was last placed, in milliseconds.
    pub waiting_ms: u64,
    /// Expected time to the first output when it was last placed, in milliseconds.
    pub estimate_ms: u64,
}

impl DirectFlow {
    /// Returns the trace, including the call in flight.
    pub(super) fn full_trace(&self, now: ClockTime) -> RequestTrace {
        let mut trace = self.trace.clone();
        if let Some(prompt) = &self.request.prompt {
            trace.segments = shared_segment_names(prompt);
        }
        let RequestIdentity { content, resource, caller, .. } = self.request.identity;
        trace.content = CrashSuspect::Content(content).to_string();
        trace.resource = CrashSuspect::Resource(resource).to_string();
        trace.caller = CrashSuspect::Caller(caller).to_string();
        if let Some(call) = &self.call {
            let ending = if call.answered { "answered" } else { "open" };
            trace.calls.push(call.describe(now, ending));
        }
        trace
    }

    /// Returns the call in flight with the suspects in the request, if the target may be
    /// writing the response.
    pub(super) fn target_run(&self) -> Option<TargetRun> {
        let call = self.call.as_ref().filter(|call| call.step != StepKind::Prefill)?;
        let suspects = request_suspects(&self.request);
        let identity = self.request.identity;
        Some(TargetRun { start: call.target_start(), sent: call.started, identity, suspects })
    }

    pub(super) fn time_left(&self, now: ClockTime) -> Duration {
        self.deadline.min(self.timeout_at).saturating_sub(now)
    }
}

/// Returns the identifiers of a prompt's shared segments, in hexadecimal and in order.
pub(super) fn shared_segment_names(prompt: &PromptShape) -> String {
    let shared = prompt.segments.split_last().map_or(&[][..], |(_, shared)| shared);
    let names: Vec<String> = shared.iter().map(|segment| format!("{:x}", segment.id)).collect();
    names.join(",")
}

/// Returns the identifier of a prompt's longest shared segment, in hexadecimal.
pub(super) fn longest_shared_segment(prompt: &PromptShape) -> String {
    let shared = prompt.segments.split_last().map_or(&[][..], |(_, shared)| shared);
    let longest = shared.iter().max_by_key(|segment| segment.tokens);
    longest.map_or_else(String::new, |segment| format!("{:x}", segment.id))
}
