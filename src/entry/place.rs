//! Placement of a request's next step on a target.

use std::time::Duration;

use super::{
    EntryAction, EntryMachine, PlacementPolicy,
    flow::{PlacedAttempt, RequestPhase, RequestState},
    machine::{DEFAULT_RETRY_AFTER, MAX_RETRY_AFTER},
    placement::{PlaceChoice, PlaceQuery, PlaceStep},
};
use crate::{
    fold::FleetView,
    frame::{AttemptWork, EntryFrame, PlaceFrame},
    ids::{AttemptId, ClockTime, RequestId},
    request::{RefusalReason, kv_pages},
    suspect::SuspectPolicy,
};

/// Maximum number of attempts per request.
const MAX_ATTEMPTS: u32 = 12;
/// Maximum time that a request waits while no target is usable.
const MAX_TARGET_WAIT: Duration = Duration::from_secs(10);

impl EntryMachine {
    /// Places a request's next step on a target, keeps the request waiting, or refuses it.
    pub(super) fn place_request(
        &mut self,
        now: ClockTime,
        view: &FleetView,
        id: RequestId,
        out: &mut Vec<EntryAction>,
    ) {
        let Some(state) = self.requests.get(&id) else { return };
        let suspect_policy = SuspectPolicy::from_crashes(self.crash_count(view, state.fingerprint));
        if suspect_policy == SuspectPolicy::Rejected {
            self.refuse_request(id, RefusalReason::CrashesTargets, MAX_RETRY_AFTER, out);
            return;
        }
        if now >= state.deadline {
            self.refuse_request(id, RefusalReason::DeadlineExceeded, DEFAULT_RETRY_AFTER, out);
            return;
        }
        if state.attempts >= MAX_ATTEMPTS {
            self.refuse_request(id, RefusalReason::TargetFailed, DEFAULT_RETRY_AFTER, out);
            return;
        }
        let time_left = state.deadline - now;
        let Some((choice, step)) = self.choose_target(now, id, suspect_policy, time_left) else {
            self.wait_for_target(now, id, out);
            return;
        };
        let delay = choice.estimated_time.saturating_sub(time_left);
        if delay > Duration::ZERO && self.settings.policy == PlacementPolicy::EarliestEnd {
            self.refuse_request(id, RefusalReason::CannotMeetDeadline, delay, out);
            return;
        }
        self.send_attempt(now, view, id, (choice, step), out);
    }

    /// Keeps a request waiting while a known target of its route may become usable again.
    ///
    /// Targets that declined or failed it may then be tried again.
    fn wait_for_target(&mut self, now: ClockTime, id: RequestId, out: &mut Vec<EntryAction>) {
        let Some(state) = self.requests.get_mut(&id) else { return };
        state.tried.clear();
        let since = *state.waiting_since.get_or_insert(now);
        let known = !self.estimates.route(state.route()).is_empty();
        if !known || now > since + MAX_TARGET_WAIT {
            self.refuse_request(id, RefusalReason::NoTarget, DEFAULT_RETRY_AFTER, out);
        }
    }

    fn choose_target(
        &mut self,
        now: ClockTime,
        id: RequestId,
        suspect_policy: SuspectPolicy,
        time_left: Duration,
    ) -> Option<(PlaceChoice, PlaceStep)> {
        let state = self.requests.get(&id)?;
        let step = match (&state.cache, state.is_call()) {
            (_, true) => PlaceStep::Call,
            (Some(_), false) => PlaceStep::Decode,
            (None, false) => PlaceStep::Start,
        };
        let generated =
            crate::request::estimate_tokens(&state.text).min(state.request.max_output_tokens);
        let generated = if state.text.is_empty() { 0 } else { generated };
        let expected_output_tokens = self.expected_output_tokens(&state.request);
        let query = PlaceQuery {
            route: state.route(),
            prompt_tokens: state.request.prompt_tokens + generated,
            expected_output: expected_output_tokens.saturating_sub(generated),
            max_output: state.request.max_output_tokens,
            prefixes: &state.request.prefixes,
            priority: state.kind().priority,
            time_left,
            tried: &state.tried,
            isolated: suspect_policy == SuspectPolicy::Isolated,
        };
        let choice = self.chooser.choose(now, &self.estimates, &query, step)?;
        Some((choice, step))
    }

    fn send_attempt(
        &mut self,
        now: ClockTime,
        view: &FleetView,
        id: RequestId,
        (choice, step): (PlaceChoice, PlaceStep),
        out: &mut Vec<EntryAction>,
    ) {
        let Some(state) = self.requests.get(&id) else { return };
        let expected_output_tokens = self.expected_output_tokens(&state.request);
        let crashes = self.crash_count(view, state.fingerprint);
        let Some(state) = self.requests.get_mut(&id) else { return };
        state.waiting_since = None;
        let attempt = state.next_attempt(id);
        let work = match (step, &state.cache) {
            (PlaceStep::Call, _) => AttemptWork::Call,
            (PlaceStep::Decode, Some(cache)) => {
                AttemptWork::Decode { source: cache.target.clone(), handle: cache.handle }
            }
            _ if choice.prefill_only => AttemptWork::Prefill,
            _ => AttemptWork::Complete,
        };
        let runs_prefill = matches!(work, AttemptWork::Prefill | AttemptWork::Complete);
        let tokens = if runs_prefill { state.request.prompt_tokens } else { 0 };
        let pages = kv_pages(state.request.prompt_tokens + state.request.max_output_tokens);
        self.estimates.add_placed(&choice.target, state.kind().priority, tokens, pages);
        let frame =
            make_place_frame(now, state, attempt, &choice, work, (expected_output_tokens, crashes));
        state.phase = RequestPhase::Placed(PlacedAttempt {
            attempt,
            side: choice.side.clone(),
            target: choice.target,
            sent: now,
            accepted: false,
        });
        out.push(EntryAction::Send {
            side: choice.side,
            frame: EntryFrame::Place(Box::new(frame)),
        });
    }
}

fn make_place_frame(
    now: ClockTime,
    state: &RequestState,
    attempt: AttemptId,
    choice: &PlaceChoice,
    work: AttemptWork,
    (expected_output_tokens, crashes): (u32, u8),
) -> PlaceFrame {
    let kind = state.kind();
    PlaceFrame {
        attempt,
        target: choice.target.clone(),
        work,
        customer: state.request.customer.clone(),
        revision: state.revision,
        share_ppm: state.contract.share_ppm,
        priority: kind.priority,
        time_left: state.deadline.saturating_sub(now),
        idempotent: kind.idempotent,
        key: state.request.key.clone(),
        window_s: state.contract.window_s,
        fingerprint: state.fingerprint,
        content: state.request.content.clone(),
        prompt_tokens: state.request.prompt_tokens,
        max_output_tokens: state.request.max_output_tokens,
        expected_output_tokens,
        prefixes: state.request.prefixes.clone(),
        resume_chunks: state.next_chunk,
        resume_text: state.text.clone(),
        crashes,
    }
}
