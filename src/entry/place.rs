//! Placing a request's next step at a target.

use std::time::Duration;

use super::{
    EntryAction, EntryMachine, PlacementPolicy,
    flow::{FlowPhase, PlacedAttempt, RequestFlow},
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

/// Attempts after which a request fails.
const MAX_ATTEMPTS: u32 = 12;
/// Time for which a request waits for a target while none is usable.
const TARGET_WAIT_LIMIT: Duration = Duration::from_secs(10);

impl EntryMachine {
    /// Places a request's next step, or gives the request up.
    pub(super) fn place(
        &mut self,
        now: ClockTime,
        view: &FleetView,
        id: RequestId,
        out: &mut Vec<EntryAction>,
    ) {
        let Some(flow) = self.flows.get(&id) else { return };
        let suspect_policy = SuspectPolicy::from_crashes(self.crashes(view, flow.fingerprint));
        if suspect_policy == SuspectPolicy::Rejected {
            self.refuse(id, RefusalReason::CrashesTargets, MAX_RETRY_AFTER, out);
            return;
        }
        if now >= flow.deadline {
            self.refuse(id, RefusalReason::DeadlineExceeded, DEFAULT_RETRY_AFTER, out);
            return;
        }
        if flow.attempts >= MAX_ATTEMPTS {
            self.refuse(id, RefusalReason::TargetFailed, DEFAULT_RETRY_AFTER, out);
            return;
        }
        let time_left = flow.deadline - now;
        let Some((choice, step)) = self.choose(now, id, suspect_policy, time_left) else {
            self.wait_for_target(now, id, out);
            return;
        };
        let late = choice.finish.saturating_sub(time_left);
        if late > Duration::ZERO && self.settings.policy == PlacementPolicy::EarliestEnd {
            self.refuse(id, RefusalReason::CannotMeetDeadline, late, out);
            return;
        }
        self.send_place(now, view, id, (choice, step), out);
    }

    /// Keeps a request while a target that serves it may come back in time.
    fn wait_for_target(&mut self, now: ClockTime, id: RequestId, out: &mut Vec<EntryAction>) {
        let Some(flow) = self.flows.get_mut(&id) else { return };
        flow.tried.clear();
        let since = *flow.waiting_since.get_or_insert(now);
        let known = !self.estimates.route(flow.route()).is_empty();
        if !known || now > since + TARGET_WAIT_LIMIT {
            self.refuse(id, RefusalReason::NoTarget, DEFAULT_RETRY_AFTER, out);
        }
    }

    fn choose(
        &mut self,
        now: ClockTime,
        id: RequestId,
        suspect_policy: SuspectPolicy,
        time_left: Duration,
    ) -> Option<(PlaceChoice, PlaceStep)> {
        let flow = self.flows.get(&id)?;
        let step = match (&flow.cache, flow.is_call()) {
            (_, true) => PlaceStep::Call,
            (Some(_), false) => PlaceStep::Decode,
            (None, false) => PlaceStep::Start,
        };
        let generated =
            crate::request::estimate_tokens(&flow.text).min(flow.request.max_output_tokens);
        let generated = if flow.text.is_empty() { 0 } else { generated };
        let expected_output = self.expected_output(&flow.request);
        let query = PlaceQuery {
            route: flow.route(),
            prompt_tokens: flow.request.prompt_tokens + generated,
            expected_output: expected_output.saturating_sub(generated),
            max_output: flow.request.max_output_tokens,
            prefixes: &flow.request.prefixes,
            priority: flow.kind().priority,
            time_left,
            tried: &flow.tried,
            alone: suspect_policy == SuspectPolicy::Isolated,
        };
        let choice = self.chooser.choose(now, &self.estimates, &query, step)?;
        Some((choice, step))
    }

    fn send_place(
        &mut self,
        now: ClockTime,
        view: &FleetView,
        id: RequestId,
        (choice, step): (PlaceChoice, PlaceStep),
        out: &mut Vec<EntryAction>,
    ) {
        let Some(flow) = self.flows.get(&id) else { return };
        let expected_output_tokens = self.expected_output(&flow.request);
        let crashes = self.crashes(view, flow.fingerprint);
        let Some(flow) = self.flows.get_mut(&id) else { return };
        flow.waiting_since = None;
        let attempt = flow.next_attempt(id);
        let work = match (step, &flow.cache) {
            (PlaceStep::Call, _) => AttemptWork::Call,
            (PlaceStep::Decode, Some(cache)) => {
                AttemptWork::Decode { source: cache.target.clone(), handle: cache.handle }
            }
            _ if choice.prefill_only => AttemptWork::Prefill,
            _ => AttemptWork::Complete,
        };
        let reads = matches!(work, AttemptWork::Prefill | AttemptWork::Complete);
        let tokens = if reads { flow.request.prompt_tokens } else { 0 };
        let memory = kv_pages(flow.request.prompt_tokens + flow.request.max_output_tokens);
        self.estimates.add(&choice.target, flow.kind().priority, tokens, memory);
        let frame =
            place_frame(now, flow, attempt, &choice, work, (expected_output_tokens, crashes));
        flow.phase = FlowPhase::Placed(PlacedAttempt {
            attempt,
            side: choice.side.clone(),
            target: choice.target,
            sent: now,
            taken: false,
        });
        out.push(EntryAction::Send {
            side: choice.side,
            frame: EntryFrame::Place(Box::new(frame)),
        });
    }
}

fn place_frame(
    now: ClockTime,
    flow: &RequestFlow,
    attempt: AttemptId,
    choice: &PlaceChoice,
    work: AttemptWork,
    (expected_output_tokens, crashes): (u32, u8),
) -> PlaceFrame {
    let kind = flow.kind();
    PlaceFrame {
        attempt,
        target: choice.target.clone(),
        work,
        customer: flow.request.customer.clone(),
        revision: flow.revision,
        share_ppm: flow.contract.share_ppm,
        priority: kind.priority,
        time_left: flow.deadline.saturating_sub(now),
        idempotent: kind.idempotent,
        key: flow.request.key.clone(),
        window_s: flow.contract.window_s,
        fingerprint: flow.fingerprint,
        content: flow.request.content.clone(),
        prompt_tokens: flow.request.prompt_tokens,
        max_output_tokens: flow.request.max_output_tokens,
        expected_output_tokens,
        prefixes: flow.request.prefixes.clone(),
        resume_chunks: flow.next_chunk,
        resume_text: flow.text.clone(),
        crashes,
    }
}
