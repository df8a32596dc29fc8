//! What sides answer, and how a request goes on after a failure.

use std::{sync::Arc, time::Duration};

use super::{
    EntryAction, EntryMachine,
    flow::{CacheLease, FlowPhase, PlacedAttempt, RequestFlow},
    machine::{DEFAULT_RETRY_AFTER, START_OUTPUT_SHARE},
};
use crate::{
    fold::FleetView,
    frame::{AttemptEnd, EntryFrame, SideFrame},
    ids::{AttemptId, ClockTime, RequestId, SideId},
    record::SuspectReport,
    request::{FinalAnswer, RefusalReason},
};

const OUTPUT_SMOOTHING: f32 = 0.05;

impl EntryMachine {
    pub(super) fn frame(
        &mut self,
        now: ClockTime,
        view: &FleetView,
        side: SideId,
        frame: SideFrame,
        out: &mut Vec<EntryAction>,
    ) {
        if let Some(heard) = self.links.get_mut(&side) {
            *heard = now;
        }
        match frame {
            SideFrame::Heartbeat | SideFrame::Welcome { .. } => {}
            SideFrame::Load(loads) => self.estimates.report(now, view, &side, loads),
            SideFrame::Suspects(reports) => self.told_of(now, &reports),
            SideFrame::Accepted { attempt } => self.taken(attempt),
            SideFrame::Chunk { attempt, index, text } => self.chunk(attempt, index, text, out),
            SideFrame::End { attempt, end } => self.end(now, view, attempt, end, out),
        }
    }

    /// Takes in reports that come straight from a side.
    fn told_of(&mut self, now: ClockTime, reports: &[SuspectReport]) {
        self.told.expire(now);
        for report in reports {
            self.told.apply(now, report);
        }
    }

    fn taken(&mut self, attempt: AttemptId) {
        let Some(flow) = self.flows.get_mut(&attempt.request) else { return };
        if let FlowPhase::Placed(placed) = &mut flow.phase
            && placed.attempt == attempt
        {
            placed.taken = true;
        }
    }

    fn chunk(
        &mut self,
        attempt: AttemptId,
        index: u32,
        text: Arc<str>,
        out: &mut Vec<EntryAction>,
    ) {
        let Some(flow) = self.flows.get_mut(&attempt.request) else { return };
        if flow.placed(attempt).is_none() || index != flow.next_chunk {
            return;
        }
        flow.next_chunk += 1;
        flow.text.push_str(&text);
        out.push(EntryAction::Chunk { id: attempt.request, text });
        release_cache(flow, out);
    }

    fn end(
        &mut self,
        now: ClockTime,
        view: &FleetView,
        attempt: AttemptId,
        end: AttemptEnd,
        out: &mut Vec<EntryAction>,
    ) {
        let id = attempt.request;
        let Some(flow) = self.flows.get_mut(&id) else { return };
        let Some(placed) = flow.placed(attempt).cloned() else { return };
        flow.phase = FlowPhase::Unplaced;
        match end {
            AttemptEnd::Completed { chunks, tokens } if chunks == flow.next_chunk => {
                self.learn_output(id, tokens);
                self.finish(id, FinalAnswer::Completed { chunks, tokens }, out);
            }
            AttemptEnd::Completed { .. } => self.retry(now, view, id, out),
            AttemptEnd::Prefilled { handle } => {
                let PlacedAttempt { side, target, .. } = placed;
                flow.cache = Some(CacheLease { side, attempt, target, handle });
                flow.tried.clear();
                self.place(now, view, id, out);
            }
            AttemptEnd::Answered(answer) => self.finish(id, FinalAnswer::Answered(answer), out),
            AttemptEnd::NotRun { reason, retry_after } => {
                flow.tried.push(placed.target.clone());
                self.not_run(now, view, id, reason, retry_after, out);
            }
            AttemptEnd::Stale { next } if view.next < next => {
                flow.phase = FlowPhase::CatchUp { until: next }
            }
            AttemptEnd::Stale { .. } => self.readmit(now, view, id, out),
            AttemptEnd::Failed { crashed } => {
                flow.tried.push(placed.target.clone());
                flow.may_have_run = true;
                if crashed {
                    release_cache(flow, out);
                    self.estimates.refuse(&placed.target);
                }
                self.retry(now, view, id, out);
            }
            AttemptEnd::Unknown { reason } => {
                flow.may_have_run = true;
                self.refuse(id, reason, DEFAULT_RETRY_AFTER, out);
            }
        }
    }

    /// Places a declined request elsewhere, or passes a final reason on.
    fn not_run(
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
                self.place(now, view, id, out);
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
            | RefusalReason::InProgress => self.refuse(id, reason, retry_after, out),
        }
    }

    /// Takes up the contract's new revision for a request that a side found outdated.
    pub(super) fn readmit(
        &mut self,
        now: ClockTime,
        view: &FleetView,
        id: RequestId,
        out: &mut Vec<EntryAction>,
    ) {
        let Some(flow) = self.flows.get_mut(&id) else { return };
        flow.phase = FlowPhase::Unplaced;
        let name = flow.kind().name.clone();
        let renewed = view.contract(&flow.request.customer).map(|(r, c)| (r, c.clone()));
        let Some((revision, contract)) = renewed else {
            self.refuse(id, RefusalReason::NoContract, DEFAULT_RETRY_AFTER, out);
            return;
        };
        let Some(kind_index) = contract.kinds.iter().position(|kind| kind.name == name) else {
            self.refuse(id, RefusalReason::NoKind, DEFAULT_RETRY_AFTER, out);
            return;
        };
        flow.revision = revision;
        flow.contract = contract;
        flow.kind_index = kind_index;
        self.place(now, view, id, out);
    }

    /// Tries again after a failure, within the budget.
    pub(super) fn retry(
        &mut self,
        now: ClockTime,
        view: &FleetView,
        id: RequestId,
        out: &mut Vec<EntryAction>,
    ) {
        if !self.budget.spend() {
            self.refuse(id, RefusalReason::TargetFailed, DEFAULT_RETRY_AFTER, out);
            return;
        }
        self.place(now, view, id, out);
    }

    pub(super) fn link_down(
        &mut self,
        now: ClockTime,
        view: &FleetView,
        side: &SideId,
        out: &mut Vec<EntryAction>,
    ) {
        self.links.remove(side);
        self.estimates.unlink(side);
        let lost: Vec<RequestId> = self
            .flows
            .iter()
            .filter(|(_, flow)| matches!(&flow.phase, FlowPhase::Placed(p) if p.side == *side))
            .map(|(id, _)| *id)
            .collect();
        for flow in self.flows.values_mut() {
            if flow.cache.as_ref().is_some_and(|cache| cache.side == *side) {
                flow.cache = None;
            }
        }
        for id in lost {
            self.lose_attempt(now, view, id, out);
        }
    }

    /// Goes on elsewhere with a request whose side no longer answers.
    pub(super) fn lose_attempt(
        &mut self,
        now: ClockTime,
        view: &FleetView,
        id: RequestId,
        out: &mut Vec<EntryAction>,
    ) {
        let Some(flow) = self.flows.get_mut(&id) else { return };
        flow.may_have_run = true;
        flow.phase = FlowPhase::Unplaced;
        self.retry(now, view, id, out);
    }

    pub(super) fn log_advanced(
        &mut self,
        now: ClockTime,
        view: &FleetView,
        out: &mut Vec<EntryAction>,
    ) {
        let ready: Vec<RequestId> = self
            .flows
            .iter()
            .filter(|(_, flow)| matches!(flow.phase, FlowPhase::CatchUp { until } if view.next >= until))
            .map(|(id, _)| *id)
            .collect();
        for id in ready {
            self.readmit(now, view, id, out);
        }
    }

    fn learn_output(&mut self, id: RequestId, tokens: u32) {
        let Some(flow) = self.flows.get(&id) else { return };
        let key = (flow.request.customer.clone(), flow.request.kind.clone());
        let share = tokens as f32 / flow.request.max_output_tokens.max(1) as f32;
        let known = self.outputs.entry(key).or_insert(START_OUTPUT_SHARE);
        *known += (share - *known) * OUTPUT_SMOOTHING;
    }
}

/// Lets the engine that read the prompt drop its KV cache.
pub(super) fn release_cache(flow: &mut RequestFlow, out: &mut Vec<EntryAction>) {
    if let Some(CacheLease { side, attempt, .. }) = flow.cache.take() {
        out.push(EntryAction::Send { side, frame: EntryFrame::Cancel { attempt } });
    }
}
