//! Non-idempotent attempts, from the claim to the recorded outcome.

use super::{MIN_LOAD_REPORT_INTERVAL, SideAction, attempt::AttemptPhase, machine::SideMachine};
use crate::{
    claim::{ClaimDecision, ClaimEvent, ServiceAnswer},
    fold::FleetState,
    frame::AttemptEnd,
    ids::{AttemptId, ClockTime},
    request::RefusalReason,
};

impl SideMachine {
    /// Acts on the state that the log shows for the attempt's key.
    pub(super) fn decide_claim(
        &mut self,
        now: ClockTime,
        fleet: &FleetState,
        id: AttemptId,
        out: &mut Vec<SideAction>,
    ) {
        let Some(attempt) = self.attempts.get(&id) else { return };
        let Some(key) = attempt.claim_key() else {
            self.end_not_run(id, RefusalReason::BadKey, out);
            return;
        };
        let window = std::time::Duration::from_secs(attempt.place.window_s);
        let fingerprint = attempt.place.fingerprint;
        match fleet.claims().decide(fleet.view().time, &key, fingerprint, id, window) {
            ClaimDecision::Owned => self.enqueue_claimed(now, id, out),
            ClaimDecision::Free => self.request_claim(id, out),
            ClaimDecision::Pending => self.await_owner(id),
            ClaimDecision::Done(answer) => {
                self.finish_attempt(id, AttemptEnd::Answered(answer), out)
            }
            ClaimDecision::Unknown => self.end_unknown(id, RefusalReason::OutcomeUnknown, out),
            ClaimDecision::Expired => self.end_unknown(id, RefusalReason::BadKey, out),
            ClaimDecision::ContentMismatch => self.end_not_run(id, RefusalReason::KeyMismatch, out),
            ClaimDecision::BadKey => self.end_not_run(id, RefusalReason::BadKey, out),
        }
    }

    fn enqueue_claimed(&mut self, now: ClockTime, id: AttemptId, out: &mut Vec<SideAction>) {
        let Some(attempt) = self.attempts.get(&id) else { return };
        if now >= attempt.deadline || self.superseded {
            self.release_and_end(id, RefusalReason::DeadlineExceeded, out);
        } else {
            self.enqueue(now, id, out);
        }
    }

    fn request_claim(&mut self, id: AttemptId, out: &mut Vec<SideAction>) {
        if !self.log_reachable {
            self.end_not_run(id, RefusalReason::LogUnavailable, out);
            return;
        }
        let Some(attempt) = self.attempts.get_mut(&id) else { return };
        if attempt.phase == AttemptPhase::Claiming {
            return;
        }
        attempt.phase = AttemptPhase::Claiming;
        let Some(key) = attempt.claim_key() else { return };
        let place = &attempt.place;
        let (fingerprint, window_s) = (place.fingerprint, place.window_s);
        self.outbox.push_claim(ClaimEvent::Take { key, fingerprint, attempt: id, window_s });
    }

    /// Waits for the owner's outcome. A claim of this attempt came later in the log and lost.
    fn await_owner(&mut self, id: AttemptId) {
        if let Some(attempt) = self.attempts.get_mut(&id) {
            attempt.phase = AttemptPhase::AwaitOwner;
        }
    }

    /// Ends an attempt that never started, and releases its key in case it owns it.
    pub(super) fn release_and_end(
        &mut self,
        id: AttemptId,
        reason: RefusalReason,
        out: &mut Vec<SideAction>,
    ) {
        self.release_claim(id);
        self.end_not_run(id, reason, out);
    }

    /// Withdraws the attempt's claim, or records its release if the claim may have been sent.
    pub(super) fn release_claim(&mut self, id: AttemptId) {
        let Some(attempt) = self.attempts.get(&id) else { return };
        let Some(key) = attempt.claim_key() else { return };
        if !self.outbox.withdraw_claim(&key, id) {
            self.outbox.push_claim(ClaimEvent::Release { key, attempt: id });
        }
    }

    /// Records the outcome in the log, so that repeats at any side get the same answer.
    pub(super) fn record_outcome(&mut self, id: AttemptId, answer: &ServiceAnswer) {
        let Some(attempt) = self.attempts.get(&id) else { return };
        if let Some(key) = attempt.claim_key() {
            self.outbox.push_claim(ClaimEvent::Outcome {
                key,
                attempt: id,
                answer: answer.clone(),
            });
        }
    }

    /// Ends an attempt of which no byte reached its target.
    pub(super) fn end_not_run(
        &mut self,
        id: AttemptId,
        reason: RefusalReason,
        out: &mut Vec<SideAction>,
    ) {
        self.finish_attempt(
            id,
            AttemptEnd::NotRun { reason, retry_after: MIN_LOAD_REPORT_INTERVAL },
            out,
        );
    }

    /// Ends an attempt whose request may or may not have run.
    pub(super) fn end_unknown(
        &mut self,
        id: AttemptId,
        reason: RefusalReason,
        out: &mut Vec<SideAction>,
    ) {
        self.finish_attempt(id, AttemptEnd::Unknown { reason }, out);
    }

    /// Ends all attempts that have not started, for a side that has been replaced.
    pub(super) fn end_all_unstarted(&mut self, out: &mut Vec<SideAction>) {
        let unstarted: Vec<AttemptId> =
            self.attempts.iter().filter(|(_, a)| !a.occupies_target()).map(|(id, _)| *id).collect();
        for id in unstarted {
            self.end_unstarted(id, RefusalReason::Stopping, out);
        }
    }

    /// Ends an attempt that has not started.
    ///
    /// While another attempt owns the key, the outcome is unknown; otherwise the request did
    /// not run.
    pub(super) fn end_unstarted(
        &mut self,
        id: AttemptId,
        reason: RefusalReason,
        out: &mut Vec<SideAction>,
    ) {
        let Some(attempt) = self.attempts.get(&id) else { return };
        let claimed = !attempt.place.idempotent;
        match attempt.phase {
            AttemptPhase::AwaitOwner => {
                self.release_claim(id);
                self.end_unknown(id, RefusalReason::InProgress, out);
            }
            AttemptPhase::Claiming | AttemptPhase::Queued if claimed => {
                self.release_and_end(id, reason, out)
            }
            AttemptPhase::CatchUp | AttemptPhase::Claiming | AttemptPhase::Queued => {
                self.end_not_run(id, reason, out);
            }
            AttemptPhase::Running(_)
            | AttemptPhase::AwaitingProbe { .. }
            | AttemptPhase::KeepingCache => {}
        }
    }
}
