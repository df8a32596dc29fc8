//! Handling of frames from sides, and retries after failures.

use std::{sync::Arc, time::Duration};

use super::{
    EntryAction, EntryMachine,
    flow::{CacheLease, PlacedAttempt, RequestPhase, RequestState},
    machine::{DEFAULT_RETRY_AFTER, INITIAL_OUTPUT_SHARE},
};
use crate::{
    fold::FleetView,
    frame::{AttemptEnd, EntryFrame, SideFrame},
    ids::{AttemptId, ClockTime, RequestId, SideId},
    record::SuspectReport,
    request::{FinalAnswer, RefusalReason},
};

/// Weight of the newest answer in the moving average of output lengths.
const OUTPUT_SMOOTHING: f32 = 0.05;

impl EntryMachine {
    pub(super) fn handle_frame(
        &mut self,
        now: ClockTime,
        view: &FleetView,
        side: SideId,
        frame: SideFrame,
        out: &mut Vec<EntryAction>,
    ) {
        if let Some(last_heard) = self.links.get_mut(&side) {
            *last_heard = now;
        }
        match frame {
            SideFrame::Heartbeat | SideFrame::Welcome { .. } => {}
            SideFrame::Load(loads) => self.estimates.apply_report(now, view, &side, loads),
            SideFrame::Suspects(reports) => self.apply_suspect_reports(now, &reports),
            SideFrame::Accepted { attempt } => self.mark_accepted(attempt),
            SideFrame::Chunk { attempt, index, text } => {
                self.forward_chunk(attempt, index, text, out)
            }
            SideFrame::End { attempt, end } => self.end_attempt(now, view, attempt, end, out),
        }
    }

    /// Applies crash reports that a side sent over its link, ahead of the log.
    fn apply_suspect_reports(&mut self, now: ClockTime, reports: &[SuspectReport]) {
        self.reported_suspects.expire(now);
        for report in reports {
            self.reported_suspects.apply(now, report);
        }
    }

    fn mark_accepted(&mut self, attempt: AttemptId) {
        let Some(state) = self.requests.get_mut(&attempt.request) else { return };
        if let RequestPhase::Placed(placed) = &mut state.phase
            && placed.attempt == attempt
        {
            placed.accepted = true;
        }
    }

    fn forward_chunk(
        &mut self,
        attempt: AttemptId,
        index: u32,
        text: Arc<str>,
        out: &mut Vec<EntryAction>,
    ) {
        let Some(state) = self.requests.get_mut(&attempt.request) else { return };
        if state.placed(attempt).is_none() || index != state.next_chunk {
            return;
        }
        state.next_chunk += 1;
        state.text.push_str(&text);
        out.push(EntryAction::Chunk { id: attempt.request, text });
        release_cache(state, out);
    }

    fn end_attempt(
        &mut self,
        now: ClockTime,
        view: &FleetView,
        attempt: AttemptId,
        end: AttemptEnd,
        out: &mut Vec<EntryAction>,
    ) {
        let id = attempt.request;
        let Some(state) = self.requests.get_mut(&id) else { return };
        let Some(placed) = state.placed(attempt).cloned() else { return };
        state.phase = RequestPhase::Unplaced;
        match end {
            AttemptEnd::Completed { chunks, tokens } if chunks == state.next_chunk => {
                self.record_output_length(id, tokens);
                self.finish_request(id, FinalAnswer::Completed { chunks, tokens }, out);
            }
            AttemptEnd::Completed { .. } => self.retry_request(now, view, id, out),
            AttemptEnd::Prefilled { handle } => {
                let PlacedAttempt { side, target, .. } = placed;
                state.cache = Some(CacheLease { side, attempt, target, handle });
                state.tried.clear();
                self.place_request(now, view, id, out);
            }
            AttemptEnd::Answered(answer) => {
                self.finish_request(id, FinalAnswer::Answered(answer), out)
            }
            AttemptEnd::NotRun { reason, retry_after } => {
                state.tried.push(placed.target.clone());
                self.handle_not_run(now, view, id, reason, retry_after, out);
            }
            AttemptEnd::Stale { next } if view.next < next => {
                state.phase = RequestPhase::CatchUp { until: next }
            }
            AttemptEnd::Stale { .. } => self.renew_contract(now, view, id, out),
            AttemptEnd::Failed { crashed } => {
                state.tried.push(placed.target.clone());
                state.may_have_run = true;
                if crashed {
                    release_cache(state, out);
                    self.estimates.stop_accepting(&placed.target);
                }
                self.retry_request(now, view, id, out);
            }
            AttemptEnd::Unknown { reason } => {
                state.may_have_run = true;
                self.refuse_request(id, reason, DEFAULT_RETRY_AFTER, out);
            }
        }
    }

    /// Places a declined request on another target, or refuses it where no target can help.
    fn handle_not_run(
        &mut self,
        now: ClockTime,
        view: &FleetView,
        id: RequestId,
        reason: RefusalReason,
        retry_after: Duration,
        out: &mut Vec<EntryAction>,
    ) {
        match reason {
            RefusalReason::NoTarget | RefusalReason::Stopping | RefusalReason::TargetFailed => {
                self.place_request(now, view, id, out);
            }
            RefusalReason::LogUnavailable
            | RefusalReason::CannotMeetDeadline
            | RefusalReason::DeadlineExceeded
            | RefusalReason::BadKey
            | RefusalReason::KeyMismatch
            | RefusalReason::CrashesTargets
            | RefusalReason::NoContract
            | RefusalReason::NoKind
            | RefusalReason::TooLong
            | RefusalReason::OutcomeUnknown
            | RefusalReason::InProgress => self.refuse_request(id, reason, retry_after, out),
        }
    }

    /// Moves a request to the newest contract revision and places it again.
    pub(super) fn renew_contract(
        &mut self,
        now: ClockTime,
        view: &FleetView,
        id: RequestId,
        out: &mut Vec<EntryAction>,
    ) {
        let Some(state) = self.requests.get_mut(&id) else { return };
        state.phase = RequestPhase::Unplaced;
        let name = state.kind().name.clone();
        let renewed = view.contract(&state.request.customer).map(|(r, c)| (r, c.clone()));
        let Some((revision, contract)) = renewed else {
            self.refuse_request(id, RefusalReason::NoContract, DEFAULT_RETRY_AFTER, out);
            return;
        };
        let Some(kind_index) = contract.kinds.iter().position(|kind| kind.name == name) else {
            self.refuse_request(id, RefusalReason::NoKind, DEFAULT_RETRY_AFTER, out);
            return;
        };
        state.revision = revision;
        state.contract = contract;
        state.kind_index = kind_index;
        self.place_request(now, view, id, out);
    }

    /// Retries a request after a failure, or refuses it once the retry budget is used up.
    pub(super) fn retry_request(
        &mut self,
        now: ClockTime,
        view: &FleetView,
        id: RequestId,
        out: &mut Vec<EntryAction>,
    ) {
        if !self.budget.try_withdraw() {
            self.refuse_request(id, RefusalReason::TargetFailed, DEFAULT_RETRY_AFTER, out);
            return;
        }
        self.place_request(now, view, id, out);
    }

    pub(super) fn handle_link_down(
        &mut self,
        now: ClockTime,
        view: &FleetView,
        side: &SideId,
        out: &mut Vec<EntryAction>,
    ) {
        self.links.remove(side);
        self.estimates.mark_unlinked(side);
        let lost: Vec<RequestId> = self
            .requests
            .iter()
            .filter(|(_, state)| matches!(&state.phase, RequestPhase::Placed(p) if p.side == *side))
            .map(|(id, _)| *id)
            .collect();
        for state in self.requests.values_mut() {
            if state.cache.as_ref().is_some_and(|cache| cache.side == *side) {
                state.cache = None;
            }
        }
        for id in lost {
            self.retry_lost_attempt(now, view, id, out);
        }
    }

    /// Retries a request whose side stopped responding, which may have run it.
    pub(super) fn retry_lost_attempt(
        &mut self,
        now: ClockTime,
        view: &FleetView,
        id: RequestId,
        out: &mut Vec<EntryAction>,
    ) {
        let Some(state) = self.requests.get_mut(&id) else { return };
        state.may_have_run = true;
        state.phase = RequestPhase::Unplaced;
        self.retry_request(now, view, id, out);
    }

    pub(super) fn handle_log_advance(
        &mut self,
        now: ClockTime,
        view: &FleetView,
        out: &mut Vec<EntryAction>,
    ) {
        let ready: Vec<RequestId> = self
            .requests
            .iter()
            .filter(|(_, state)| {
                matches!(state.phase, RequestPhase::CatchUp { until } if view.next >= until)
            })
            .map(|(id, _)| *id)
            .collect();
        for id in ready {
            self.renew_contract(now, view, id, out);
        }
    }

    fn record_output_length(&mut self, id: RequestId, tokens: u32) {
        let Some(state) = self.requests.get(&id) else { return };
        let key = (state.request.customer.clone(), state.request.kind.clone());
        let share = tokens as f32 / state.request.max_output_tokens.max(1) as f32;
        let average = self.output_shares.entry(key).or_insert(INITIAL_OUTPUT_SHARE);
        *average += (share - *average) * OUTPUT_SMOOTHING;
    }
}

/// Lets the prefill engine drop the request's KV cache.
pub(super) fn release_cache(state: &mut RequestState, out: &mut Vec<EntryAction>) {
    if let Some(CacheLease { side, attempt, .. }) = state.cache.take() {
        out.push(EntryAction::Send { side, frame: EntryFrame::Cancel { attempt } });
    }
}
