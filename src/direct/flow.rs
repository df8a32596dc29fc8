//! State of one request on its way.

use std::{sync::Arc, time::Duration};

use serde::Serialize;
use smallvec::SmallVec;
use strum::Display;

use super::{CallNumber, DirectRequest, DirectTarget, FailureReason, PromptShape, ServiceName};
use crate::ids::{ClockTime, TargetId};

/// Step that a call carries out.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Display)]
#[strum(serialize_all = "snake_case")]
pub(super) enum StepKind {
    Run,
    Prefill,
    Decode,
}

/// Call under way.
#[derive(Debug, Clone)]
pub(super) struct OpenCall {
    pub(super) number: CallNumber,
    pub(super) target: Arc<DirectTarget>,
    pub(super) step: StepKind,
    pub(super) started: ClockTime,
    /// Prompt tokens that the target still has to read for it.
    pub(super) remaining_tokens: u32,
    /// Prompt tokens that it had to read at first.
    pub(super) prefill_tokens: u32,
    /// Prompt tokens that were ahead of it.
    pub(super) tokens_ahead: u32,
    pub(super) answered: bool,
}

impl OpenCall {
    /// Describes the call for a log line: target, step, ending, time, and the
    /// prompt tokens that it had to read and that were ahead of it.
    pub(super) fn describe(&self, now: ClockTime, ending: &str) -> String {
        let took = now.saturating_sub(self.started).as_millis();
        let (id, step) = (&self.target.id, self.step);
        format!("{id} {step} {ending} {took}ms {}+{}", self.prefill_tokens, self.tokens_ahead)
    }
}

/// KV cache that waits at a target.
#[derive(Debug, Clone)]
pub(super) struct HeldCache {
    pub(super) target: Arc<DirectTarget>,
    pub(super) handle: Arc<str>,
}

/// Request without a final answer.
#[derive(Debug, Clone)]
pub(super) struct DirectFlow {
    pub(super) request: Box<DirectRequest>,
    pub(super) service: ServiceName,
    pub(super) arrived: ClockTime,
    /// Whether its objective had passed when it came.
    pub(super) late: bool,
    /// When its answer should begin to have its full worth.
    pub(super) objective: ClockTime,
    /// When the caller stops waiting.
    pub(super) deadline: ClockTime,
    /// When the route's time is up.
    pub(super) timeout_at: ClockTime,
    pub(super) calls: CallNumber,
    /// Targets that may have run it.
    pub(super) runs: u32,
    pub(super) tried: SmallVec<[TargetId; 4]>,
    pub(super) call: Option<OpenCall>,
    pub(super) cache: Option<HeldCache>,
    pub(super) may_have_run: bool,
    pub(super) trace: RequestTrace,
}

/// What happened to a request, for its log line.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct RequestTrace {
    /// Route.
    pub route: Arc<str>,
    /// Calls in order: target, step and how it ended.
    pub calls: Vec<String>,
    /// Version of the configuration under which it was admitted.
    pub version: u64,
    /// Time from arrival to the first output, in milliseconds.
    pub first_ms: Option<u64>,
    /// Reason for giving up.
    pub reason: Option<FailureReason>,
    /// Longest part of the prompt that it shares with others, in hexadecimal.
    #[serde(rename = "subject")]
    pub shared_segment: String,
    /// Expected time that it would wait for others, in milliseconds.
    pub waiting_ms: u64,
    /// Estimate of the time to the first output when it was placed, in milliseconds.
    pub estimate_ms: u64,
}

impl DirectFlow {
    /// Returns the trace with the call under way.
    pub(super) fn full_trace(&self, now: ClockTime) -> RequestTrace {
        let mut trace = self.trace.clone();
        if let Some(call) = &self.call {
            let ending = if call.answered { "answered" } else { "open" };
            trace.calls.push(call.describe(now, ending));
        }
        trace
    }

    pub(super) fn time_left(&self, now: ClockTime) -> Duration {
        self.deadline.min(self.timeout_at).saturating_sub(now)
    }
}

/// Names the longest shared part of a prompt.
pub(super) fn longest_shared_segment(prompt: &PromptShape) -> String {
    let shared = prompt.segments.split_last().map_or(&[][..], |(_, shared)| shared);
    let longest = shared.iter().max_by_key(|segment| segment.tokens);
    longest.map_or_else(String::new, |segment| format!("{:x}", segment.id))
}
