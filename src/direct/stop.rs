//! Stop of an entry: which requests it still takes, and when it may exit.
//!
//! The load balancer sends new connections for some time after the stop signal, and to all
//! entries while every one of them is stopping. An entry that took requests for as long as
//! it runs would never be idle, and its exit would cut them. So it takes only those that are
//! expected to end early enough, rejects the others as not run, and exits when it is idle.
//!
//! An estimate is not enough for a response that is passed on as it comes, as the exit would cut
//! it. One to a request that may not be repeated, or a stream, is bounded by what it may take at
//! most, and a stream once more as its first events come. Any other is held back until it is
//! whole, and fails as a whole where the exit comes first. See
//! [docs/design/stops.md](../../docs/design/stops.md).

use std::time::Duration;

use serde::Serialize;
use strum::Display;

use super::{
    DirectAction, DirectMachine, FailureReason, FlowId, ResponseTerms, RetryPolicy,
    estimate::Placement,
    flow::DirectFlow,
    machine::TIMEOUT_GRACE,
    time_bound::{ReceivedEvents, response_bound},
};
use crate::ids::ClockTime;

/// Time after the stop signal during which new connections still arrive: the load balancer
/// probes readiness once a second and removes a process after two failed probes.
const REMOVAL_DELAY: Duration = Duration::from_millis(3200);
/// Time after the stop signal from which only requests that soon end are taken. Those of the
/// first 3 s may run into the exit if their target is slow; later ones must not.
const STRICT_DELAY: Duration = Duration::from_millis(2800);
/// Time after the stop signal by which such requests are expected to end.
const ADMISSION_TIME: Duration = Duration::from_secs(4);
/// Longest expected time of a request that is taken after that, while earlier ones keep the
/// process running anyway.
const SHORT_REQUEST_TIME: Duration = Duration::from_millis(200);
/// Largest shares of the time to the exit for [`STRICT_DELAY`] and [`ADMISSION_TIME`].
const MAX_SHARES: (f32, f32) = (0.35, 0.6);
/// Share of the time to the exit that is left for requests that take longer than expected.
const OVERRUN_SHARE: f32 = 0.25;
/// Mean time after which a caller that was rejected tries another entry.
const REJECTED_RETRY_DELAY: Duration = Duration::from_millis(250);

/// Phase of a process from normal service to its exit.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Display)]
#[strum(serialize_all = "snake_case")]
pub enum StopPhase {
    /// No stop signal came.
    Serving,
    /// The load balancer still sends new connections.
    Leaving,
    /// The load balancer has removed this process, unless no other is left.
    Removed,
    /// Nothing is taken any more.
    Closing,
    /// No request is in flight, or the time is over.
    Exiting,
}

/// Times of a stop, and whether requests are still taken.
#[derive(Debug, Clone, Serialize)]
pub(super) struct StopPlan {
    strict_from: ClockTime,
    removed_at: ClockTime,
    /// Time by which requests that come after `strict_from` are expected to end.
    admission_end: ClockTime,
    /// Time by which any request that is taken is expected to end.
    overrun_start: ClockTime,
    exit_at: ClockTime,
    /// Whether nothing is taken any more, so that an idle process stays idle.
    closing: bool,
}

impl StopPlan {
    fn new(now: ClockTime, time: Duration) -> StopPlan {
        StopPlan {
            strict_from: now + STRICT_DELAY.min(time.mul_f32(MAX_SHARES.0)),
            removed_at: now + REMOVAL_DELAY.min(time),
            admission_end: now + ADMISSION_TIME.min(time.mul_f32(MAX_SHARES.1)),
            overrun_start: now + time.mul_f32(1.0 - OVERRUN_SHARE),
            exit_at: now + time,
            closing: false,
        }
    }

    /// Returns whether a request is taken that is expected to last for a time.
    fn admits(&self, now: ClockTime, expected: Duration) -> bool {
        let latest = if now < self.strict_from {
            self.overrun_start
        } else if now < self.admission_end {
            self.admission_end.max(now + SHORT_REQUEST_TIME)
        } else {
            now + SHORT_REQUEST_TIME
        };
        !self.closing && now + expected <= latest.min(self.overrun_start)
    }

    /// Returns whether a request came so late that the exit must not cut its response. Of those
    /// that came before, the slow ones may run into the exit.
    fn must_not_cut(&self, flow: &DirectFlow) -> bool {
        flow.arrived >= self.strict_from
    }
}

/// Part of a response that is read before any of it is passed on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HeldPart {
    /// Nothing is held back.
    None,
    /// The first events, by which a stream shows that it is fast enough.
    FirstEvents,
    /// All of it, so that the exit cannot cut it.
    Whole,
}

impl DirectMachine {
    pub(super) fn begin_stop(&mut self, now: ClockTime, time: Duration) {
        self.stop.get_or_insert_with(|| StopPlan::new(now, time));
    }

    /// Returns the phase of the stop.
    pub fn stop_phase(&self, now: ClockTime) -> StopPhase {
        match &self.stop {
            None => StopPhase::Serving,
            Some(plan) if now >= plan.exit_at => StopPhase::Exiting,
            Some(plan) if plan.closing && self.flows.is_empty() && now >= plan.removed_at => {
                StopPhase::Exiting
            }
            Some(plan) if plan.closing => StopPhase::Closing,
            Some(plan) if now >= plan.removed_at => StopPhase::Removed,
            Some(_) => StopPhase::Leaving,
        }
    }

    /// Stops taking requests once the process is idle, or when only short ones are left of
    /// those that it took.
    pub(super) fn continue_stop(&mut self, now: ClockTime) {
        let Some(plan) = &mut self.stop else { return };
        let is_idle = self.flows.is_empty();
        let has_long = self.flows.values().any(|flow| flow.arrived < plan.admission_end);
        plan.closing |= now >= plan.overrun_start
            || (now >= plan.admission_end.max(plan.removed_at) && !has_long)
            || (now >= plan.removed_at && is_idle);
    }

    /// Rejects a request that did not run and would not end before the exit.
    ///
    /// Returns whether it was rejected.
    pub(super) fn reject_while_stopping(
        &mut self,
        now: ClockTime,
        id: FlowId,
        placement: &Placement,
        out: &mut Vec<DirectAction>,
    ) -> bool {
        let (Some(plan), Some(flow)) = (&self.stop, self.flows.get(&id)) else { return false };
        let expected = placement.expected();
        let fits = if flow.calls == 0 {
            let times = self.request_times.get(&flow.request.route.name).copied();
            plan.admits(now, expected.max(times.unwrap_or_default().most()))
        } else {
            flow.may_have_run || now + expected < plan.exit_at
        };
        // A response that is held back is not cut, but fails as a whole.
        let is_held = held_part(flow.request.route.retry) == HeldPart::Whole;
        if fits && (is_held || !self.may_be_cut(now, flow, expected, ReceivedEvents::None)) {
            return false;
        }
        self.fail_request(id, FailureReason::Stopping, REJECTED_RETRY_DELAY, out);
        true
    }

    /// Returns whether the exit could cut the response to a request that came late, of which
    /// these events have come. `first` is the expected time to the first.
    fn may_be_cut(
        &self,
        now: ClockTime,
        flow: &DirectFlow,
        first: Duration,
        received: ReceivedEvents,
    ) -> bool {
        let Some(plan) = self.stop.as_ref().filter(|plan| plan.must_not_cut(flow)) else {
            return false;
        };
        let route = &flow.request.route;
        let pace = self.stream_paces.get(&route.name).copied().unwrap_or_default();
        let prompt = flow.request.prompt.as_ref();
        let terms = ResponseTerms {
            retry: route.retry,
            time_left: flow.time_left(now),
            first,
            max_output: prompt.map(|prompt| prompt.max_output).filter(|tokens| *tokens > 0),
            event_gap: route.event_gap,
        };
        now + response_bound(&terms, &pace, received) + TIMEOUT_GRACE >= plan.exit_at
    }

    /// Returns which part of the response to a request is read before any of it is passed on.
    pub fn held_part(&self, id: FlowId) -> HeldPart {
        match (&self.stop, self.flows.get(&id)) {
            (Some(plan), Some(flow)) if plan.must_not_cut(flow) => {
                held_part(flow.request.route.retry)
            }
            _ => HeldPart::None,
        }
    }

    /// Returns whether a response that was held back may begin, of which these events have come,
    /// since the exit cannot cut it.
    pub fn may_begin(&mut self, now: ClockTime, id: FlowId, received: ReceivedEvents) -> bool {
        let is_cut = self
            .flows
            .get(&id)
            .is_some_and(|flow| self.may_be_cut(now, flow, Duration::ZERO, received));
        if let Some(flow) = self.flows.get_mut(&id).filter(|_| is_cut) {
            flow.trace.reason = Some(FailureReason::Stopping);
        }
        !is_cut
    }

    /// Ends all requests that are in flight when the time for the stop is over.
    pub(super) fn end_stop(&mut self, out: &mut Vec<DirectAction>) {
        if let Some(plan) = &mut self.stop {
            plan.closing = true;
        }
        let mut flows: Vec<FlowId> = self.flows.keys().copied().collect();
        flows.sort_unstable();
        for id in flows {
            let Some(flow) = self.flows.get_mut(&id) else { continue };
            if flow.call.as_ref().is_some_and(|call| call.answered) {
                flow.trace.reason = Some(FailureReason::Stopping);
                out.push(DirectAction::BreakOff { flow: id });
            } else {
                self.fail_request(id, FailureReason::Stopping, REJECTED_RETRY_DELAY, out);
            }
        }
        self.send_last_counts(out);
    }
}

fn held_part(retry: RetryPolicy) -> HeldPart {
    match retry {
        RetryPolicy::Never => HeldPart::None,
        RetryPolicy::Resume => HeldPart::FirstEvents,
        RetryPolicy::Always => HeldPart::Whole,
    }
}
