//! Handles the results of calls: another call, the response, or a failure.
//!
//! A request that must not run twice is sent to another target only if the previous
//! one did not run it. Otherwise it ends with an unknown outcome.

use std::{sync::Arc, time::Duration};

use super::{
    CallNumber, CallOutcome, DirectAction, DirectMachine, FailureReason, FlowId, RetryPolicy,
    estimate::PlacementView,
    flow::{DirectFlow, HeldCache, OpenCall, StepKind},
    machine::{MIN_CALL_TIME, TIMEOUT_GRACE, memory_tokens},
    prefix_copy::was_not_copied,
    report::record_cached_segments,
    target::TargetState,
    waiting::priority,
};
use crate::ids::ClockTime;

impl DirectMachine {
    /// Ends the call in flight: adds it to the trace and removes its load from the target.
    fn close_call(&mut self, now: ClockTime, id: FlowId, ending: &str) -> Option<OpenCall> {
        let flow = self.flows.get_mut(&id)?;
        let call = flow.call.take()?;
        flow.trace.calls.push(call.describe(now, ending));
        if let Some(state) = self.fleet.get_mut(&call.target.id) {
            state.in_flight.backlog.remove(priority(flow), call.remaining_tokens);
            if call.step != StepKind::Prefill {
                state.in_flight.running = state.in_flight.running.saturating_sub(1);
            }
        }
        Some(call)
    }

    /// Excludes the source of a failed call's copy from the request's other calls.
    ///
    /// The response does not say which of the two engines failed, so that the one that was called
    /// is treated as after any failure. It has not begun to copy if it did not take the call.
    fn copy_failed(&mut self, now: ClockTime, id: FlowId, call: &OpenCall, taken: bool) {
        let Some(start) = call.copy_source.as_ref().filter(|_| call.first_output.is_none()) else {
            return;
        };
        if let Some(flow) = self.flows.get_mut(&id) {
            flow.failed_sources.push(start.0.clone());
        }
        if taken && let Some(state) = self.fleet.registered_start(start) {
            state.source.record_failure(now);
        }
    }

    pub(super) fn call_ended(
        &mut self,
        now: ClockTime,
        id: FlowId,
        number: CallNumber,
        outcome: CallOutcome,
        out: &mut Vec<DirectAction>,
    ) {
        let open = self.flows.get(&id).and_then(|flow| flow.call.as_ref());
        if open.is_none_or(|call| call.number != number) {
            return;
        }
        match outcome {
            CallOutcome::Declined => self.call_declined(now, id, out),
            CallOutcome::WrongTarget => self.call_not_run(now, id, "wrong_target", true, out),
            CallOutcome::Unreachable => {
                self.probe_unreachable(now, id, out);
                self.call_not_run(now, id, "unreachable", false, out);
            }
            CallOutcome::Prefilled { handle } => self.call_prefilled(now, id, handle, out),
            CallOutcome::PrefillRan => self.prefill_ran(now, id, out),
            CallOutcome::Answered { success } => self.call_answered(now, id, success, out),
            CallOutcome::Lost { closed } => self.call_lost(now, id, closed, out),
        }
    }

    /// Finds out whether a target is gone that took no connection, if that matters: it may have
    /// crashed under a response without framing, or may restart with another software version.
    fn probe_unreachable(&mut self, now: ClockTime, id: FlowId, out: &mut Vec<DirectAction>) {
        let Some(flow) = self.flows.get(&id) else { return };
        let Some(call) = &flow.call else { return };
        let state = self.fleet.get(&call.target.id);
        let has_new_doubt = flow.request.route.retry == RetryPolicy::Resume
            && state.is_some_and(TargetState::is_same_start);
        if self.suspects.target_unreachable(now, &call.target_start()) || has_new_doubt {
            out.push(DirectAction::ProbeTarget(call.target.clone()));
        }
    }

    fn call_declined(&mut self, now: ClockTime, id: FlowId, out: &mut Vec<DirectAction>) {
        let Some(call) = self.close_call(now, id, "declined") else { return };
        self.copy_failed(now, id, &call, true);
        self.suspects.target_responded(&call.target_start(), call.started);
        let Some(flow) = self.flows.get_mut(&id) else { return };
        let source = flow.cache.as_ref().map(|cache| cache.target.id.clone());
        match source {
            // The KV cache has expired or does not fit; the response does not say which.
            Some(source) if call.step == StepKind::Decode => {
                if let Some(state) = self.fleet.get_mut(&source) {
                    state.record_failure();
                }
                self.drop_cache(now, id, out);
            }
            _ => {
                flow.tried.push(call.target.id.clone());
                if let Some(state) = self.fleet.get_mut(&call.target.id) {
                    state.record_decline(now);
                }
            }
        }
        if self.spend_retry(now, id) {
            self.place(now, id, out);
        } else {
            self.fail_request(id, FailureReason::Declined, Duration::ZERO, out);
        }
    }

    fn call_not_run(
        &mut self,
        now: ClockTime,
        id: FlowId,
        ending: &str,
        needs_budget: bool,
        out: &mut Vec<DirectAction>,
    ) {
        let Some(call) = self.close_call(now, id, ending) else { return };
        self.copy_failed(now, id, &call, false);
        if let Some(state) = self.fleet.get_mut(&call.target.id) {
            state.back_off(now);
        }
        let Some(flow) = self.flows.get_mut(&id) else { return };
        flow.tried.push(call.target.id.clone());
        if needs_budget && !self.spend_retry(now, id) {
            return self.fail_request(id, FailureReason::Declined, Duration::ZERO, out);
        }
        self.place_again(now, id, call.step, out);
    }

    /// Places a request again after a call that did not run, with its KV cache for a decode.
    fn place_again(
        &mut self,
        now: ClockTime,
        id: FlowId,
        step: StepKind,
        out: &mut Vec<DirectAction>,
    ) {
        match step {
            StepKind::Decode => self.place_decode(now, id, out),
            StepKind::Run | StepKind::Prefill => self.place(now, id, out),
        }
    }

    fn call_prefilled(
        &mut self,
        now: ClockTime,
        id: FlowId,
        handle: Arc<str>,
        out: &mut Vec<DirectAction>,
    ) {
        let Some(call) = self.close_call(now, id, "prefilled") else { return };
        self.suspects.target_responded(&call.target_start(), call.started);
        let Some(flow) = self.flows.get_mut(&id) else { return };
        if let Some(state) = self.fleet.get_mut(&call.target.id) {
            state.record_success();
            if let Some(prompt) = &flow.request.prompt {
                state.add_cached(now, prompt, memory_tokens(self.routes.as_ref(), &flow.service));
                record_cached_segments(
                    &mut self.recent_segments,
                    self.report_count,
                    &call.target.id,
                    prompt,
                );
            }
        }
        self.check_copy(now, id, &call);
        self.record_prefill(now, &call);
        let Some(flow) = self.flows.get_mut(&id) else { return };
        flow.cache = Some(HeldCache { target: call.target, handle });
        self.place_decode(now, id, out);
    }

    fn call_answered(
        &mut self,
        now: ClockTime,
        id: FlowId,
        success: bool,
        out: &mut Vec<DirectAction>,
    ) {
        let Some(flow) = self.flows.get_mut(&id) else { return };
        let Some(call) = &mut flow.call else { return };
        call.answered = true;
        call.succeeded = success;
        self.suspects.target_responded(&call.target_start(), call.started);
        // A KV cache that was used cannot be used or freed again.
        if call.step == StepKind::Decode && success {
            flow.cache = None;
        }
        let target = call.target.id.clone();
        self.count_answer(now, id);
        if let Some(state) = self.fleet.get_mut(&target) {
            if success { state.record_success() } else { state.record_failure() }
        }
        if !success && self.may_rerun(now, id) && self.spend_retry(now, id) {
            let Some(call) = self.close_call(now, id, "failed") else { return };
            self.rerun(now, id, call, out);
            return;
        }
        let Some(flow) = self.flows.get(&id) else { return };
        let time_left = (flow.timeout_at + TIMEOUT_GRACE).saturating_sub(now);
        out.push(DirectAction::Deliver { flow: id, time_left });
    }

    /// Counts a request without a stream, which began to run before its answer.
    fn count_answer(&mut self, now: ClockTime, id: FlowId) {
        let is_stream = |flow: &DirectFlow| flow.request.route.streams;
        if self.flows.get(&id).is_some_and(|flow| !is_stream(flow)) {
            self.count_request(now, id);
        }
    }

    /// Counts a stream that begins. One that goes on was counted as it began.
    fn count_stream(&mut self, now: ClockTime, id: FlowId) {
        let begins = |flow: &DirectFlow| {
            let succeeded = flow.call.as_ref().is_some_and(|call| call.succeeded);
            succeeded && flow.request.route.streams && flow.request.resumes.is_none()
        };
        if self.flows.get(&id).is_some_and(begins) {
            self.count_request(now, id);
        }
    }

    /// Counts a request for its customer, once.
    fn count_request(&mut self, now: ClockTime, id: FlowId) {
        let Some(flow) = self.flows.get_mut(&id) else { return };
        let Some(customer) = flow.request.customer.clone() else { return };
        if std::mem::replace(&mut flow.is_counted, true) {
            return;
        }
        if let Some(usage) = self.active_usage() {
            usage.record(now, &customer.name);
        }
    }

    /// Handles a prefill that counts as a run, which has produced no answer for the caller.
    fn prefill_ran(&mut self, now: ClockTime, id: FlowId, out: &mut Vec<DirectAction>) {
        let may_rerun = self.may_rerun(now, id) && self.spend_retry(now, id);
        let Some(call) = self.close_call(now, id, "prefill_ran") else { return };
        self.copy_failed(now, id, &call, true);
        self.suspects.target_responded(&call.target_start(), call.started);
        if let Some(state) = self.fleet.get_mut(&call.target.id) {
            state.record_failure();
        }
        if may_rerun {
            return self.rerun(now, id, call, out);
        }
        if let Some(flow) = self.flows.get_mut(&id) {
            flow.may_have_run = true;
        }
        self.fail_request(id, FailureReason::OutcomeUnknown, Duration::ZERO, out);
    }

    fn rerun(&mut self, now: ClockTime, id: FlowId, call: OpenCall, out: &mut Vec<DirectAction>) {
        let Some(flow) = self.flows.get_mut(&id) else { return };
        flow.runs += 1;
        flow.may_have_run = true;
        flow.tried.push(call.target.id.clone());
        self.drop_cache(now, id, out);
        self.place(now, id, out);
    }

    /// Returns whether a request may run again after the call in flight.
    fn may_rerun(&self, now: ClockTime, id: FlowId) -> bool {
        let Some(flow) = self.flows.get(&id) else { return false };
        let route = &flow.request.route;
        let retryable = match route.retry {
            RetryPolicy::Never => false,
            RetryPolicy::Always | RetryPolicy::Resume => true,
        };
        retryable
            && flow.runs + 1 < route.max_attempts
            && flow.time_left(now) >= MIN_CALL_TIME
            && !self.crashes_targets(now, flow)
    }

    fn call_lost(&mut self, now: ClockTime, id: FlowId, closed: bool, out: &mut Vec<DirectAction>) {
        let Some(flow) = self.flows.get(&id) else { return };
        let Some(step) = flow.call.as_ref().map(|call| call.step) else { return };
        if closed && step != StepKind::Prefill {
            self.record_broken_run(now, id, out);
        }
        let may_retry = step == StepKind::Prefill || self.may_rerun(now, id);
        let Some(call) = self.close_call(now, id, "lost") else { return };
        self.copy_failed(now, id, &call, true);
        if let Some(state) = self.fleet.get_mut(&call.target.id) {
            if closed { state.back_off(now) } else { state.record_failure() }
        }
        let Some(flow) = self.flows.get_mut(&id) else { return };
        flow.may_have_run |= step != StepKind::Prefill;
        flow.failed_sources.push(call.target.id.clone());
        if !may_retry || !self.spend_retry(now, id) {
            let reason = if step == StepKind::Prefill {
                FailureReason::Declined
            } else {
                FailureReason::OutcomeUnknown
            };
            return self.fail_request(id, reason, Duration::ZERO, out);
        }
        match step {
            StepKind::Prefill => {
                if let Some(flow) = self.flows.get_mut(&id) {
                    flow.tried.push(call.target.id.clone());
                }
                self.place(now, id, out);
            }
            StepKind::Run | StepKind::Decode => self.rerun(now, id, call, out),
        }
    }

    fn record_broken_run(&mut self, now: ClockTime, id: FlowId, out: &mut Vec<DirectAction>) {
        let flow = self.flows.get(&id);
        if let Some(run) = flow.and_then(DirectFlow::target_run)
            && let Some(call) = flow.and_then(|flow| flow.call.as_ref())
            && self.suspects.run_broken(now, run)
        {
            out.push(DirectAction::ProbeTarget(call.target.clone()));
        }
    }

    pub(super) fn first_output(&mut self, now: ClockTime, id: FlowId, out: &mut Vec<DirectAction>) {
        self.stream_began(now, id, out);
        self.count_stream(now, id);
        let Some(flow) = self.flows.get_mut(&id) else { return };
        let waited = now.saturating_sub(flow.arrived);
        flow.trace.first_ms = Some(waited.as_millis() as u64);
        if flow.request.route.streams {
            let pace = self.stream_paces.entry(flow.request.route.name.clone()).or_default();
            pace.record_first(waited);
        }
        let priority = priority(flow);
        let Some(call) = &mut flow.call else { return };
        call.first_output = Some(now.saturating_sub(call.started));
        let Some(state) = self.fleet.get_mut(&call.target.id) else { return };
        state.in_flight.backlog.remove(priority, call.remaining_tokens);
        call.remaining_tokens = 0;
        if let Some(prompt) = &flow.request.prompt {
            state.add_cached(now, prompt, memory_tokens(self.routes.as_ref(), &flow.service));
            record_cached_segments(
                &mut self.recent_segments,
                self.report_count,
                &call.target.id,
                prompt,
            );
        }
        if call.step == StepKind::Run {
            let call = call.clone();
            self.record_prefill(now, &call);
        }
    }

    /// Records the events of a whole stream.
    pub(super) fn stream_ended(&mut self, now: ClockTime, id: FlowId, events: u32) {
        let Some(flow) = self.flows.get(&id) else { return };
        let (Some(prompt), Some(call)) = (&flow.request.prompt, &flow.call) else { return };
        // A stream that goes on has less than it asks for.
        let Some(first) = call.first_output.filter(|_| flow.request.resumes.is_none()) else {
            return;
        };
        let took = now.saturating_sub(call.started + first);
        let pace = self.stream_paces.entry(flow.request.route.name.clone()).or_default();
        pace.record_stream(prompt.max_output, events, took);
    }

    /// Forgets the segments at the source of a copy that was not made. The source may have evicted
    /// them, and would be named for each prompt with them.
    fn check_copy(&mut self, now: ClockTime, id: FlowId, call: &OpenCall) {
        let Some(start) = &call.copy_source else { return };
        let Some(state) = self.fleet.get(&call.target.id) else { return };
        let (fleet, peers, limits) = (&self.fleet, &self.peers, &self.limits);
        let rate = PlacementView { fleet, peers, limits, now }.rate(state);
        if !was_not_copied(call, rate, now.saturating_sub(call.started)) {
            return;
        }
        if let Some(prompt) = self.flows.get(&id).and_then(|flow| flow.request.prompt.as_ref())
            && let Some(source) = self.fleet.registered_start(start)
        {
            source.forget_cached(prompt);
        }
    }

    /// Updates prefill rates from a prefill that has just ended.
    fn record_prefill(&mut self, now: ClockTime, call: &OpenCall) {
        if let Some(start) = &call.copy_source
            && let Some(source) = self.fleet.registered_start(start)
        {
            source.source.record_success();
        }
        // The transfer is no part of the rate.
        if call.copied_tokens > 0 {
            return;
        }
        let Some(state) = self.fleet.get_mut(&call.target.id) else { return };
        let took = now.saturating_sub(call.started);
        let sample = state.record_prefill(call.prefill_tokens, call.tokens_ahead, took);
        if let Some(rate) = sample {
            self.fleet.record_rate(call.target.stage, rate);
        }
    }

    pub(super) fn answer_interrupted(
        &mut self,
        now: ClockTime,
        id: FlowId,
        out: &mut Vec<DirectAction>,
    ) {
        if self.flows.get(&id).is_none_or(|flow| flow.call.is_none()) {
            return;
        }
        self.answer_malformed(id);
        self.record_broken_run(now, id, out);
    }

    pub(super) fn answer_malformed(&mut self, id: FlowId) {
        let call = self.flows.get(&id).and_then(|flow| flow.call.as_ref());
        let Some(target) = call.map(|call| call.target.id.clone()) else { return };
        if let Some(state) = self.fleet.get_mut(&target) {
            state.record_failure();
        }
    }

    pub(super) fn flow_ended(
        &mut self,
        now: ClockTime,
        id: FlowId,
        complete: bool,
        out: &mut Vec<DirectAction>,
    ) {
        if complete {
            self.run_ended(now, id);
        }
        let answered = self.flows.get(&id).and_then(|flow| flow.call.as_ref()).cloned();
        let call = self.close_call(now, id, if complete { "whole" } else { "broken_off" });
        if let (true, Some(call)) = (complete && answered.is_some(), &call)
            && let Some(state) = self.fleet.get_mut(&call.target.id)
        {
            state.record_run(now.saturating_sub(call.started));
        }
        self.drop_cache(now, id, out);
        self.release_reserved(id);
        if let Some(flow) = self.flows.remove(&id) {
            if complete {
                let times = self.request_times.entry(flow.request.route.name.clone()).or_default();
                times.record(now.saturating_sub(flow.arrived));
            }
            self.timeouts.remove(&(flow.timeout_at + TIMEOUT_GRACE, id));
        }
    }

    /// Records that a target wrote a whole response to a request, as far as that is known.
    fn run_ended(&mut self, now: ClockTime, id: FlowId) {
        let Some(flow) = self.flows.get(&id) else { return };
        let Some(run) = flow.target_run() else { return };
        if !flow.call.as_ref().is_some_and(|call| call.succeeded) {
            return;
        }
        if flow.unframed {
            self.suspects.run_ended_unconfirmed(now, run);
        } else {
            self.suspects.run_succeeded(now, &run.suspects);
        }
    }

    fn drop_cache(&mut self, now: ClockTime, id: FlowId, out: &mut Vec<DirectAction>) {
        let Some(cache) = self.flows.get_mut(&id).and_then(|flow| flow.cache.take()) else {
            return;
        };
        self.limits.spend(now, &cache.target.id);
        out.push(DirectAction::FreeCache { target: cache.target, handle: cache.handle });
    }
}
