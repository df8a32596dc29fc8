//! Stop of an entry: which requests it still takes, and when it may exit.
//!
//! The load balancer sends new connections for some time after the stop signal, and to all
//! entries while every one of them is stopping. An entry that took requests for as long as
//! it runs would never be idle, and its exit would cut them. So it takes only those that are
//! expected to end early enough, rejects the others as not run, and exits when it is idle.

use std::time::Duration;

use serde::Serialize;
use strum::Display;

use super::{DirectAction, DirectMachine, FailureReason, FlowId, estimate::Placement};
use crate::ids::ClockTime;

/// Time after the stop signal during which new connections still arrive: the load balancer
/// probes readiness once a second and removes a process after two failed probes.
const REMOVAL_DELAY: Duration = Duration::from_millis(3200);
/// Time after [`REMOVAL_DELAY`] by which requests that are still taken are expected to end.
const ADMISSION_TIME: Duration = Duration::from_millis(800);
/// Largest share of the time to the exit in which requests are taken.
const MAX_ADMISSION_SHARE: f32 = 0.6;
/// Share of the time to the exit that is left for requests that take longer than expected.
const OVERRUN_SHARE: f32 = 0.25;
/// Mean time after which a caller that was rejected tries another entry.
const REJECTED_RETRY_DELAY: Duration = Duration::from_millis(150);

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
    removed_at: ClockTime,
    /// Time by which requests that are taken after the removal are expected to end.
    admission_end: ClockTime,
    /// The same before the removal.
    overrun_start: ClockTime,
    exit_at: ClockTime,
    /// Whether nothing is taken any more, so that an idle process stays idle.
    closing: bool,
}

impl StopPlan {
    fn new(now: ClockTime, time: Duration) -> StopPlan {
        let removal = REMOVAL_DELAY.min(time.mul_f32(MAX_ADMISSION_SHARE));
        let admission = (REMOVAL_DELAY + ADMISSION_TIME).min(time.mul_f32(MAX_ADMISSION_SHARE));
        StopPlan {
            removed_at: now + removal,
            admission_end: now + admission,
            overrun_start: now + time.mul_f32(1.0 - OVERRUN_SHARE),
            exit_at: now + time,
            closing: false,
        }
    }

    /// Returns whether a request is taken that is expected to end at a time.
    fn admits(&self, now: ClockTime, expected_end: ClockTime) -> bool {
        let latest = if now < self.removed_at { self.overrun_start } else { self.admission_end };
        !self.closing && expected_end <= latest
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
            Some(plan) if plan.closing && self.flows.is_empty() => StopPhase::Exiting,
            Some(plan) if plan.closing => StopPhase::Closing,
            Some(plan) if now >= plan.removed_at => StopPhase::Removed,
            Some(_) => StopPhase::Leaving,
        }
    }

    /// Stops taking requests once the process is idle, or when its time for them is over.
    pub(super) fn continue_stop(&mut self, now: ClockTime) {
        let is_idle = self.flows.is_empty();
        if let Some(plan) = &mut self.stop {
            plan.closing |= now >= plan.admission_end || (now >= plan.removed_at && is_idle);
        }
    }

    /// Rejects a request that was not sent yet and would not end before the exit.
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
        if flow.calls > 0 {
            return false;
        }
        let run_time = self.fleet.longest_run(&flow.service);
        if plan.admits(now, now + placement.expected() + run_time) {
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
    }
}
