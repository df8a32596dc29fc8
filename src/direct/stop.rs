//! Stop of an entry: which requests it still takes, and when it may exit.
//!
//! The load balancer sends new connections for some time after the stop signal, and to all
//! entries while every one of them is stopping. An entry that took requests for as long as
//! it runs would never be idle, and its exit would cut them. So it takes only those that are
//! expected to end early enough, rejects the others as not run, and exits when it is idle. A
//! request that may not be repeated must end early enough even if it takes all of its time.

use std::time::Duration;

use serde::Serialize;
use strum::Display;

use super::{
    DirectAction, DirectMachine, FailureReason, FlowId, RetryPolicy, estimate::Placement,
    machine::TIMEOUT_GRACE,
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
/// Weight of a new sample in the average time of a route's requests.
const TIME_WEIGHT: f32 = 0.1;
/// Deviations above the average within which most requests end.
const TIME_DEVIATIONS: f32 = 3.0;

/// Time from the arrival to the end of a route's requests that ended whole.
#[derive(Debug, Clone, Copy, Default, Serialize)]
pub(super) struct RequestTimes {
    /// Average, in seconds; 0 before the first request.
    mean: f32,
    /// Average distance from the average, in seconds.
    deviation: f32,
}

impl RequestTimes {
    pub(super) fn record(&mut self, took: Duration) {
        let seconds = took.as_secs_f32();
        if self.mean == 0.0 {
            *self = RequestTimes { mean: seconds, deviation: seconds / 2.0 };
            return;
        }
        let distance = seconds - self.mean;
        self.mean += TIME_WEIGHT * distance;
        self.deviation += TIME_WEIGHT * (distance.abs() - self.deviation);
    }

    /// Returns the time within which most requests end.
    fn most(self) -> Duration {
        Duration::from_secs_f32(self.mean + TIME_DEVIATIONS * self.deviation)
    }
}

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

    /// Returns whether the exit could cut a request that came at a time and takes all of the time
    /// left to it. Of those that came early, the slow ones may run into the exit.
    fn may_cut(&self, now: ClockTime, arrived: ClockTime, time_left: Duration) -> bool {
        arrived >= self.strict_from && now + time_left + TIMEOUT_GRACE >= self.exit_at
    }
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
        let fits = if flow.calls == 0 {
            let times = self.request_times.get(&flow.request.route.name).copied();
            plan.admits(now, placement.expected().max(times.unwrap_or_default().most()))
        } else {
            now + placement.expected() < plan.exit_at
        };
        let is_safe = flow.request.route.retry != RetryPolicy::Never
            || !plan.may_cut(now, flow.arrived, flow.time_left(now));
        if fits && is_safe || flow.may_have_run {
            return false;
        }
        self.fail_request(id, FailureReason::Stopping, REJECTED_RETRY_DELAY, out);
        true
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
