//! Running attempts: start, progress, failure and end.

use std::time::Duration;

use super::{
    SideAction, TargetEvent, TargetFailure,
    attempt::{AttemptPhase, RunProgress},
    machine::SideMachine,
    queue::WorkQueue,
    target::TargetHealth,
};
use crate::{
    claim::ServiceAnswer,
    fold::FleetState,
    frame::{AttemptEnd, AttemptWork, SideFrame},
    ids::{AttemptId, ClockTime, TargetId},
    record::SuspectReport,
    request::RefusalReason,
};

/// Longest wait for a report that shows whether the target of a broken stream crashed.
const PROBE_TIMEOUT: Duration = Duration::from_millis(600);
/// Time past its deadline after which the outcome of a non-idempotent call counts as unknown.
const CALL_OUTCOME_GRACE: Duration = Duration::from_secs(30);
/// Longest time without output after the prefill or the previous chunk.
const STREAM_TIMEOUT: Duration = Duration::from_secs(5);

impl SideMachine {
    /// Starts queued attempts while the target has room.
    ///
    /// Starts none while the process catches up after a pause or once it is replaced.
    pub(super) fn dispatch(&mut self, now: ClockTime, name: &TargetId, out: &mut Vec<SideAction>) {
        let Some(fence) = self.fence else { return };
        while !self.superseded && self.paused_since.is_none() {
            let Some(target) = self.targets.get_mut(name) else { return };
            if target.health != TargetHealth::Up {
                return;
            }
            let mut queue =
                std::mem::replace(&mut target.queue, WorkQueue::new(self.settings.queue_order));
            let work = queue.pop_fitting(|work| target.has_room(now, work));
            target.queue = queue;
            let Some(work) = work else { return };
            target.running += 1;
            target.used_pages += work.kv_pages;
            target.add_pending_prefill(work.priority, work.prompt_tokens);
            if work.isolated {
                target.isolated_attempt = Some(work.attempt);
            }
            let Some(attempt) = self.attempts.get_mut(&work.attempt) else { return };
            attempt.phase = AttemptPhase::Running(RunProgress {
                started: now,
                prefilled: false,
                next_chunk: attempt.place.resume_chunks,
                last_chunk: now,
                beside_prefill: false,
            });
            let place = attempt.place.clone();
            out.push(SideAction::Start { target: name.clone(), fence, place });
        }
    }

    pub(super) fn handle_target_event(
        &mut self,
        now: ClockTime,
        fleet: &FleetState,
        name: &TargetId,
        event: TargetEvent,
        out: &mut Vec<SideAction>,
    ) {
        match event {
            TargetEvent::PrefillDone { attempt } => self.handle_prefill_done(now, attempt),
            TargetEvent::Chunk { attempt, index, tokens, text } => {
                self.handle_chunk(now, attempt, index, tokens, text, out);
            }
            TargetEvent::Finished { attempt, chunks, tokens } => {
                self.handle_finished(fleet, attempt, (chunks, tokens), out);
            }
            TargetEvent::CacheReady { attempt, handle } => {
                self.handle_cache_ready(now, attempt, handle, out)
            }
            TargetEvent::Answered { attempt, answer } => {
                self.handle_answered(now, attempt, answer, out)
            }
            TargetEvent::Failed { attempt, failure } => {
                self.handle_failure(now, name, attempt, failure, out)
            }
            TargetEvent::Report(report) => self.handle_report(now, name, &report, out),
            TargetEvent::Down => self.handle_target_down(now, name, out),
            TargetEvent::RoleChangeAnswered { plan, accepted } => {
                self.handle_role_change_answer(name, plan, accepted)
            }
        }
        self.dispatch(now, name, out);
    }

    fn run_progress(&mut self, id: AttemptId) -> Option<&mut RunProgress> {
        match &mut self.attempts.get_mut(&id)?.phase {
            AttemptPhase::Running(progress) => Some(progress),
            _ => None,
        }
    }

    fn handle_prefill_done(&mut self, now: ClockTime, id: AttemptId) {
        let Some(progress) = self.run_progress(id) else { return };
        if std::mem::replace(&mut progress.prefilled, true) {
            return;
        }
        progress.last_chunk = now;
        let started = progress.started;
        let Some(attempt) = self.attempts.get(&id) else { return };
        let tokens = attempt.prefill_tokens();
        let prefixes = attempt.place.prefixes.clone();
        let Some(target) = self.targets.get_mut(&attempt.target) else { return };
        target.remove_pending_prefill(attempt.place.priority, tokens);
        target.speed.record_prefill(now, started, tokens);
        target.record_prefixes(prefixes);
        self.update_beside_prefill(id);
    }

    /// Notes whether an attempt decodes beside the prefill of others, and returns it.
    fn update_beside_prefill(&mut self, id: AttemptId) -> bool {
        let Some(attempt) = self.attempts.get_mut(&id) else { return false };
        let target = self.targets.get(&attempt.target);
        let beside_prefill = target.is_some_and(|target| target.has_pending_prefill());
        if let AttemptPhase::Running(progress) = &mut attempt.phase {
            progress.beside_prefill = beside_prefill;
        }
        beside_prefill
    }

    fn handle_chunk(
        &mut self,
        now: ClockTime,
        id: AttemptId,
        index: u32,
        tokens: u32,
        text: std::sync::Arc<str>,
        out: &mut Vec<SideAction>,
    ) {
        self.handle_prefill_done(now, id);
        let Some(progress) = self.run_progress(id) else { return };
        if index != progress.next_chunk {
            return;
        }
        progress.next_chunk += 1;
        let elapsed = now.saturating_sub(progress.last_chunk);
        progress.last_chunk = now;
        let was_beside_prefill = progress.beside_prefill;
        let beside_prefill = self.update_beside_prefill(id);
        let Some(attempt) = self.attempts.get(&id) else { return };
        if let Some(target) = self.targets.get_mut(&attempt.target) {
            target.speed.record_tokens(elapsed, tokens);
            if was_beside_prefill && beside_prefill {
                target.speed.record_mixed_tokens(elapsed, tokens);
            }
        }
        if let Some(link) = attempt.link {
            out.push(SideAction::Send {
                link,
                frame: SideFrame::Chunk { attempt: id, index, text },
            });
        }
    }

    fn handle_finished(
        &mut self,
        fleet: &FleetState,
        id: AttemptId,
        (chunks, tokens): (u32, u32),
        out: &mut Vec<SideAction>,
    ) {
        let Some(progress) = self.run_progress(id) else { return };
        let complete = progress.next_chunk == chunks;
        self.clear_suspect(fleet, id, out);
        let end = if complete {
            AttemptEnd::Completed { chunks, tokens }
        } else {
            AttemptEnd::Failed { crashed: false }
        };
        self.finish_attempt(id, end, out);
    }

    fn handle_cache_ready(
        &mut self,
        now: ClockTime,
        id: AttemptId,
        handle: u64,
        out: &mut Vec<SideAction>,
    ) {
        self.handle_prefill_done(now, id);
        let Some(attempt) = self.attempts.get_mut(&id) else { return };
        if !matches!(attempt.phase, AttemptPhase::Running(_)) {
            return;
        }
        attempt.phase = AttemptPhase::KeepingCache;
        if let Some(link) = attempt.link {
            let end = AttemptEnd::Prefilled { handle };
            out.push(SideAction::Send { link, frame: SideFrame::End { attempt: id, end } });
        }
        if let Some(target) = self.targets.get_mut(&attempt.target) {
            target.running -= 1;
            if target.isolated_attempt == Some(id) {
                target.isolated_attempt = None;
            }
        }
    }

    fn handle_answered(
        &mut self,
        now: ClockTime,
        id: AttemptId,
        answer: ServiceAnswer,
        out: &mut Vec<SideAction>,
    ) {
        let Some(progress) = self.run_progress(id) else { return };
        let elapsed = now.saturating_sub(progress.started);
        let Some(attempt) = self.attempts.get(&id) else { return };
        if let Some(target) = self.targets.get_mut(&attempt.target) {
            target.speed.record_call(elapsed);
        }
        self.record_outcome(id, &answer);
        self.finish_attempt(id, AttemptEnd::Answered(answer), out);
    }

    fn handle_failure(
        &mut self,
        now: ClockTime,
        name: &TargetId,
        id: AttemptId,
        failure: TargetFailure,
        out: &mut Vec<SideAction>,
    ) {
        let Some(attempt) = self.attempts.get_mut(&id) else { return };
        let AttemptPhase::Running(RunProgress { prefilled, .. }) = attempt.phase else { return };
        let idempotent = attempt.place.idempotent;
        if let Some(target) = self.targets.get_mut(name) {
            target.speed.record_failure(now);
        }
        match failure {
            TargetFailure::NotReached | TargetFailure::Refused if !idempotent => {
                self.release_and_end(id, RefusalReason::TargetFailed, out);
            }
            TargetFailure::NotReached | TargetFailure::Refused => {
                self.end_not_run(id, RefusalReason::TargetFailed, out);
            }
            TargetFailure::Broken => {
                attempt.phase = AttemptPhase::AwaitingProbe { since: now, prefilled };
                out.push(SideAction::Probe { target: name.clone() });
            }
        }
    }

    /// Ends all attempts at a target that crashed.
    ///
    /// Each request that was running becomes a suspect until it finishes in isolation.
    pub(super) fn handle_target_crash(
        &mut self,
        now: ClockTime,
        name: &TargetId,
        out: &mut Vec<SideAction>,
    ) {
        let lost: Vec<AttemptId> = self
            .attempts
            .iter()
            .filter(|(_, attempt)| attempt.target == *name && attempt.occupies_target())
            .map(|(id, _)| *id)
            .collect();
        if let Some(target) = self.targets.get_mut(name) {
            target.speed.record_failure(now);
            target.clear_prefixes();
        }
        let is_running = |id: &&AttemptId| {
            self.attempts.get(id).is_some_and(|a| a.phase != AttemptPhase::KeepingCache)
        };
        let crashed: Vec<u64> = lost
            .iter()
            .filter(is_running)
            .filter_map(|id| self.attempts.get(id))
            .map(|attempt| attempt.place.fingerprint)
            .collect();
        if !crashed.is_empty() {
            self.report_suspects(now, crashed, Vec::new(), out);
        }
        for id in lost {
            self.end_interrupted(id, true, out);
        }
    }

    /// Ends a running attempt whose target crashed or whose stream broke.
    pub(super) fn end_interrupted(
        &mut self,
        id: AttemptId,
        crashed: bool,
        out: &mut Vec<SideAction>,
    ) {
        let Some(attempt) = self.attempts.get(&id) else { return };
        if attempt.phase == AttemptPhase::KeepingCache {
            self.remove_attempt(id);
        } else if attempt.place.idempotent {
            self.finish_attempt(id, AttemptEnd::Failed { crashed }, out);
        } else {
            self.end_unknown(id, RefusalReason::OutcomeUnknown, out);
        }
    }

    /// Cancels an attempt that its entry no longer wants, or whose link is lost.
    pub(super) fn cancel_attempt(
        &mut self,
        fleet: &FleetState,
        id: AttemptId,
        out: &mut Vec<SideAction>,
    ) {
        let Some(attempt) = self.attempts.get_mut(&id) else { return };
        attempt.link = None;
        if !attempt.occupies_target() {
            self.end_unstarted(id, RefusalReason::DeadlineExceeded, out);
            return;
        }
        // A non-idempotent call continues, so that its outcome gets recorded.
        if attempt.place.idempotent {
            let target = attempt.target.clone();
            out.push(SideAction::Cancel { target, attempt: id });
            if attempt.isolated && attempt.phase == AttemptPhase::KeepingCache {
                self.clear_suspect(fleet, id, out);
            }
            self.remove_attempt(id);
        }
    }

    /// Ends attempts that have timed out, or that can no longer meet their deadline.
    pub(super) fn expire_attempts(
        &mut self,
        now: ClockTime,
        fleet: &FleetState,
        out: &mut Vec<SideAction>,
    ) {
        let ids: Vec<AttemptId> = self.attempts.keys().copied().collect();
        for id in ids {
            let Some(attempt) = self.attempts.get(&id) else { continue };
            match attempt.phase {
                AttemptPhase::Claiming if !self.log_reachable => {
                    self.end_unstarted(id, RefusalReason::LogUnavailable, out);
                }
                AttemptPhase::Claiming | AttemptPhase::CatchUp | AttemptPhase::AwaitOwner
                    if now >= attempt.deadline =>
                {
                    self.end_unstarted(id, RefusalReason::DeadlineExceeded, out);
                }
                AttemptPhase::Queued if now + self.min_run_time(id) >= attempt.deadline => {
                    self.end_unstarted(id, RefusalReason::CannotMeetDeadline, out);
                }
                AttemptPhase::Running(progress) => self.expire_run(now, fleet, id, progress, out),
                AttemptPhase::AwaitingProbe { since, .. } if now > since + PROBE_TIMEOUT => {
                    let target = attempt.target.clone();
                    out.push(SideAction::Cancel { target, attempt: id });
                    self.end_interrupted(id, false, out);
                }
                AttemptPhase::KeepingCache if now >= attempt.deadline => {
                    self.cancel_attempt(fleet, id, out)
                }
                _ => {}
            }
        }
    }

    fn expire_run(
        &mut self,
        now: ClockTime,
        fleet: &FleetState,
        id: AttemptId,
        progress: RunProgress,
        out: &mut Vec<SideAction>,
    ) {
        let Some(attempt) = self.attempts.get(&id) else { return };
        let target = attempt.target.clone();
        if !attempt.place.idempotent {
            if now > attempt.deadline + CALL_OUTCOME_GRACE {
                self.end_unknown(id, RefusalReason::OutcomeUnknown, out);
            }
        } else if now >= attempt.deadline {
            out.push(SideAction::Cancel { target, attempt: id });
            self.clear_suspect(fleet, id, out);
            self.end_not_run(id, RefusalReason::DeadlineExceeded, out);
        } else if progress.prefilled && now > progress.last_chunk + STREAM_TIMEOUT {
            self.handle_failure(now, &target, id, TargetFailure::Broken, out);
        }
    }

    /// Returns half the estimated run time of a queued attempt, as a lower bound.
    ///
    /// It is zero in FIFO order, where attempts wait until their deadline.
    fn min_run_time(&self, id: AttemptId) -> Duration {
        let Some(attempt) = self.attempts.get(&id) else { return Duration::ZERO };
        let Some(target) = self.targets.get(&attempt.target) else { return Duration::ZERO };
        if target.queue.order() == super::QueueOrder::Fifo {
            return Duration::ZERO;
        }
        let prefill = 0.5 * attempt.prefill_tokens() as f32 / target.speed.prefill_rate();
        let decode = match attempt.place.work {
            AttemptWork::Prefill | AttemptWork::Call => 0.0,
            AttemptWork::Complete | AttemptWork::Decode { .. } => {
                0.5 * attempt.place.expected_output_tokens as f32 * target.speed.inter_token_ms()
                    / 1000.0
            }
        };
        Duration::from_secs_f32(prefill + decode)
    }

    fn clear_suspect(&mut self, fleet: &FleetState, id: AttemptId, out: &mut Vec<SideAction>) {
        let Some(attempt) = self.attempts.get(&id) else { return };
        let fingerprint = attempt.place.fingerprint;
        let known = fleet.view().suspects.iter().any(|(suspect, _)| *suspect == fingerprint);
        if attempt.isolated && (known || attempt.place.crashes > 0) {
            self.report_suspects(ClockTime::ZERO, Vec::new(), vec![fingerprint], out);
        }
    }

    /// Queues a suspect report for the log, and sends it to all connected entries at once.
    fn report_suspects(
        &mut self,
        now: ClockTime,
        crashed: Vec<u64>,
        cleared: Vec<u64>,
        out: &mut Vec<SideAction>,
    ) {
        self.report_count += 1;
        let fence = self.fence.unwrap_or(0);
        let change =
            format!("{}-{fence}-{}-{}", self.settings.side, self.report_count, now.as_millis());
        let report = SuspectReport { change: change.into(), crashed, cleared };
        self.broadcast(SideFrame::Suspects(vec![report.clone()]), out);
        self.outbox.push_report(report);
    }

    /// Frees what an attempt holds at its target or in the queue.
    pub(super) fn release_target(&mut self, id: AttemptId) {
        let Some(attempt) = self.attempts.get(&id) else { return };
        let Some(target) = self.targets.get_mut(&attempt.target) else { return };
        match attempt.phase {
            AttemptPhase::Queued => {
                target.queue.remove(id);
            }
            AttemptPhase::Running(RunProgress { prefilled, .. })
            | AttemptPhase::AwaitingProbe { prefilled, .. } => {
                target.running -= 1;
                target.used_pages -= attempt.kv_pages();
                if !prefilled {
                    target.remove_pending_prefill(attempt.place.priority, attempt.prefill_tokens());
                }
            }
            AttemptPhase::KeepingCache => target.used_pages -= attempt.kv_pages(),
            AttemptPhase::CatchUp | AttemptPhase::Claiming | AttemptPhase::AwaitOwner => {}
        }
        if target.isolated_attempt == Some(id) {
            target.isolated_attempt = None;
        }
    }
}
