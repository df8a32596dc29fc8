//! Dispatch of events to the parts of the side.

use std::{collections::BTreeMap, time::Duration};

use serde::Serialize;

use super::{
    LinkId, MIN_LOAD_REPORT_INTERVAL, SideAction, SideEvent, SideSettings,
    attempt::{AttemptPhase, SideAttempt},
    outbox::AppendOutbox,
    queue::QueuedWork,
    target::SideTarget,
};
use crate::{
    fold::FleetFold,
    frame::{
        AttemptEnd, AttemptWork, EntryFrame, HEARTBEAT_INTERVAL, LINK_TIMEOUT, PlaceFrame,
        SideFrame,
    },
    ids::{AttemptId, ClockTime, FencingNumber, TargetId},
    request::RefusalReason,
    suspect::SuspectPolicy,
};

/// Size of one target's load in a report.
const LOAD_BYTES: usize = 200;
/// Bytes a second that a side may spend on load reports.
const LOAD_BYTES_PER_SECOND: f64 = 4000.0;
/// Longest time between load reports; an entry believes one for 1.5 s.
const MAX_LOAD_REPORT_INTERVAL: Duration = Duration::from_millis(1000);
/// Time between two events after which a process has been paused.
const PAUSE_LIMIT: Duration = Duration::from_millis(1000);
/// Time for which a process that was paused waits for the log before it starts work.
const REREAD_LIMIT: Duration = Duration::from_millis(2000);
/// Time for which a leaving side still starts what was queued before.
const HAND_BACK_AFTER: Duration = Duration::from_secs(2);
/// Estimated cost of one output token, in prompt tokens.
const OUTPUT_COST: u64 = 10;

/// The side's state machine.
#[derive(Debug, Clone, Serialize)]
pub struct SideMachine {
    #[serde(skip)]
    pub(super) settings: SideSettings,
    pub(super) fence: Option<FencingNumber>,
    pub(super) superseded: bool,
    pub(super) draining: bool,
    closed_since: Option<ClockTime>,
    last_step: Option<ClockTime>,
    /// When the process noticed that it had stood still, until it has read the log again.
    pub(super) stood_still: Option<ClockTime>,
    pub(super) log_reachable: bool,
    pub(super) targets: BTreeMap<TargetId, SideTarget>,
    #[serde(serialize_with = "crate::pairs::serialize")]
    pub(super) attempts: BTreeMap<AttemptId, SideAttempt>,
    pub(super) outbox: AppendOutbox,
    links: BTreeMap<LinkId, LinkState>,
    next_load: ClockTime,
    next_heartbeat: ClockTime,
    pub(super) reports: u64,
}

#[derive(Debug, Clone, Copy, Serialize)]
struct LinkState {
    heard: ClockTime,
}

impl SideMachine {
    /// Makes a side that is not attached yet.
    pub fn new(settings: SideSettings) -> SideMachine {
        let order = settings.queue_order;
        let targets = settings
            .targets
            .iter()
            .map(|description| {
                (description.target.clone(), SideTarget::new(description.clone(), order))
            })
            .collect();
        SideMachine {
            settings,
            fence: None,
            superseded: false,
            draining: false,
            closed_since: None,
            last_step: None,
            stood_still: None,
            log_reachable: true,
            targets,
            attempts: BTreeMap::new(),
            outbox: AppendOutbox::default(),
            links: BTreeMap::new(),
            next_load: ClockTime::ZERO,
            next_heartbeat: ClockTime::ZERO,
            reports: 0,
        }
    }

    /// Handles one event.
    pub fn step(
        &mut self,
        now: ClockTime,
        fold: &FleetFold,
        event: SideEvent,
        out: &mut Vec<SideAction>,
    ) {
        self.notice_pause(now);
        match event {
            SideEvent::LinkUp { link } => self.link_up(now, link, out),
            SideEvent::LinkDown { link } => self.link_down(fold, link, out),
            SideEvent::Frame { link, frame } => self.frame(now, fold, link, frame, out),
            SideEvent::LogAdvanced => self.log_advanced(now, fold, out),
            SideEvent::LogHealth { reachable } => self.log_reachable = reachable,
            SideEvent::Appended { append_id, confirmed } => {
                self.outbox.answered(now, append_id, confirmed)
            }
            SideEvent::Target { target, event } => {
                self.target_event(now, fold, &target, event, out)
            }
            SideEvent::Drain => self.draining = true,
            SideEvent::Tick => self.tick(now, fold, out),
        }
        self.flush(now, out);
    }

    /// Notices that the process was paused: what it believes may be long outdated.
    fn notice_pause(&mut self, now: ClockTime) {
        let last = self.last_step.replace(now).unwrap_or(now);
        if now.saturating_sub(last) > PAUSE_LIMIT {
            self.stood_still = Some(now);
        }
        if self.stood_still.is_some_and(|since| now > since + REREAD_LIMIT) {
            self.stood_still = None;
        }
    }

    /// Tells whether a draining side has nothing left to do.
    pub fn is_idle(&self) -> bool {
        let working = |attempt: &SideAttempt| attempt.phase != AttemptPhase::KeepingCache;
        !self.attempts.values().any(working) && self.outbox.is_empty()
    }

    /// Returns the number of attempts that the side knows.
    pub fn attempt_count(&self) -> usize {
        self.attempts.len()
    }

    /// Tells whether new work is accepted.
    pub fn is_open(&self, fold: &FleetFold) -> bool {
        let leaving = fold.view().is_leaving(&self.settings.vm);
        self.fence.is_some() && !self.superseded && !self.draining && !leaving
    }

    /// Takes up the fencing number once the log, or a copied state, shows the attachment.
    fn find_attachment(&mut self, fold: &FleetFold, out: &mut Vec<SideAction>) {
        let shown = fold.view().sides.get(&self.settings.side);
        let own = shown.filter(|entry| entry.attachment.instance == self.settings.instance);
        if let (None, Some(entry)) = (self.fence, own) {
            self.attach(entry.fence, out);
        }
    }

    fn attach(&mut self, fence: FencingNumber, out: &mut Vec<SideAction>) {
        self.fence = Some(fence);
        let side = self.settings.side.clone();
        for link in self.links.keys() {
            out.push(SideAction::Send {
                link: *link,
                frame: SideFrame::Welcome { side: side.clone(), fence },
            });
        }
        self.next_load = ClockTime::ZERO;
    }

    fn link_up(&mut self, now: ClockTime, link: LinkId, out: &mut Vec<SideAction>) {
        self.links.insert(link, LinkState { heard: now });
        if let Some(fence) = self.fence {
            let side = self.settings.side.clone();
            out.push(SideAction::Send { link, frame: SideFrame::Welcome { side, fence } });
        }
        let reports = self.outbox.reports();
        if !reports.is_empty() {
            out.push(SideAction::Send { link, frame: SideFrame::Suspects(reports) });
        }
        for target in self.targets.values_mut() {
            target.resend_prefixes();
        }
        self.next_load = now;
    }

    fn link_down(&mut self, fold: &FleetFold, link: LinkId, out: &mut Vec<SideAction>) {
        self.links.remove(&link);
        let lost: Vec<AttemptId> =
            self.attempts.iter().filter(|(_, a)| a.link == Some(link)).map(|(id, _)| *id).collect();
        for id in lost {
            self.cancel(fold, id, out);
        }
    }

    fn frame(
        &mut self,
        now: ClockTime,
        fold: &FleetFold,
        link: LinkId,
        frame: EntryFrame,
        out: &mut Vec<SideAction>,
    ) {
        if let Some(state) = self.links.get_mut(&link) {
            state.heard = now;
        }
        match frame {
            EntryFrame::Heartbeat => {}
            EntryFrame::Place(place) => self.place(now, fold, link, *place, out),
            EntryFrame::Cancel { attempt } => self.cancel(fold, attempt, out),
        }
    }

    fn place(
        &mut self,
        now: ClockTime,
        fold: &FleetFold,
        link: LinkId,
        place: PlaceFrame,
        out: &mut Vec<SideAction>,
    ) {
        if self.attempts.contains_key(&place.attempt) {
            return;
        }
        let id = place.attempt;
        let crashes = fold.view().suspects.crash_count(place.fingerprint).max(place.crashes);
        let suspect_policy = SuspectPolicy::from_crashes(crashes);
        let attempt = SideAttempt {
            link: Some(link),
            target: place.target.clone(),
            deadline: now + place.time_left,
            phase: AttemptPhase::CatchUp,
            isolated: suspect_policy == SuspectPolicy::Isolated,
            place: std::sync::Arc::new(place),
        };
        if let Some(end) = self.refusal(fold, &attempt, suspect_policy) {
            out.push(SideAction::Send { link, frame: SideFrame::End { attempt: id, end } });
            return;
        }
        self.attempts.insert(id, attempt);
        out.push(SideAction::Send { link, frame: SideFrame::Taken { attempt: id } });
        self.admit(now, fold, id, out);
    }

    fn refusal(
        &self,
        fold: &FleetFold,
        attempt: &SideAttempt,
        suspect_policy: SuspectPolicy,
    ) -> Option<AttemptEnd> {
        let not_run = |reason| AttemptEnd::NotRun { reason, retry_after: MIN_LOAD_REPORT_INTERVAL };
        if suspect_policy == SuspectPolicy::Rejected {
            return Some(not_run(RefusalReason::CrashesTargets));
        }
        if !self.is_open(fold) {
            return Some(not_run(RefusalReason::Stopping));
        }
        let Some(target) = self.targets.get(&attempt.target) else {
            return Some(not_run(RefusalReason::NoTarget));
        };
        if !target.is_open() || !role_serves(target, &attempt.place.work) {
            return Some(not_run(RefusalReason::NoTarget));
        }
        let known =
            fold.view().contracts.get(&attempt.place.customer).map_or(0, |entry| entry.revision);
        if known > attempt.place.revision {
            return Some(AttemptEnd::Stale { next: fold.view().next });
        }
        None
    }

    /// Moves a new or caught-up attempt on.
    pub(super) fn admit(
        &mut self,
        now: ClockTime,
        fold: &FleetFold,
        id: AttemptId,
        out: &mut Vec<SideAction>,
    ) {
        let Some(attempt) = self.attempts.get(&id) else { return };
        if fold.view().next <= attempt.place.revision {
            return;
        }
        let known =
            fold.view().contracts.get(&attempt.place.customer).map_or(0, |entry| entry.revision);
        if known > attempt.place.revision {
            self.finish(id, AttemptEnd::Stale { next: fold.view().next }, out);
        } else if attempt.place.idempotent {
            self.enqueue(now, id, out);
        } else {
            self.decide_claim(now, fold, id, out);
        }
    }

    /// Puts an attempt into its target's queue.
    pub(super) fn enqueue(&mut self, now: ClockTime, id: AttemptId, out: &mut Vec<SideAction>) {
        let Some(attempt) = self.attempts.get_mut(&id) else { return };
        attempt.phase = AttemptPhase::Queued;
        let work = queued_work(id, attempt);
        let Some(target) = self.targets.get_mut(&attempt.target) else { return };
        target.prompt_total += u64::from(work.prompt_tokens);
        if !matches!(attempt.place.work, AttemptWork::Prefill) {
            target.output_total += u64::from(attempt.place.expected_output_tokens);
        }
        target.queue.push(work);
        let name = attempt.target.clone();
        self.dispatch(now, &name, out);
    }

    /// Tells the entry how an attempt ended, and forgets it.
    pub(super) fn finish(&mut self, id: AttemptId, end: AttemptEnd, out: &mut Vec<SideAction>) {
        let Some(attempt) = self.attempts.get_mut(&id) else { return };
        if let Some(link) = attempt.link {
            out.push(SideAction::Send { link, frame: SideFrame::End { attempt: id, end } });
        }
        self.forget(id);
    }

    /// Forgets an attempt and frees what it held.
    pub(super) fn forget(&mut self, id: AttemptId) {
        self.release_target(id);
        self.attempts.remove(&id);
    }

    fn log_advanced(&mut self, now: ClockTime, fold: &FleetFold, out: &mut Vec<SideAction>) {
        self.stood_still = None;
        self.find_attachment(fold, out);
        if let Some(fence) = self.fence
            && !fold.view().holds(&self.settings.side, fence)
            && fold.view().next > fence
            && !self.superseded
        {
            self.superseded = true;
            self.abandon_unstarted(out);
            out.push(SideAction::Superseded);
        }
        self.outbox.settle(fold);
        self.outbox.share_rate(fold.view().service_sides());
        self.hand_back_queues(now, fold, out);
        let waiting: Vec<AttemptId> = self
            .attempts
            .iter()
            .filter(|(_, attempt)| {
                matches!(
                    attempt.phase,
                    AttemptPhase::CatchUp | AttemptPhase::Claiming | AttemptPhase::AwaitOwner
                )
            })
            .map(|(id, _)| *id)
            .collect();
        for id in waiting {
            self.admit(now, fold, id, out);
        }
        self.apply_plan(now, fold, out);
    }

    fn tick(&mut self, now: ClockTime, fold: &FleetFold, out: &mut Vec<SideAction>) {
        self.expire_attempts(now, fold, out);
        self.hand_back_queues(now, fold, out);
        self.check_links(now, fold, out);
        self.apply_plan(now, fold, out);
        let names: Vec<TargetId> = self.targets.keys().cloned().collect();
        for name in &names {
            self.dispatch(now, name, out);
        }
        if now >= self.next_heartbeat {
            self.next_heartbeat = now + HEARTBEAT_INTERVAL;
            self.broadcast(SideFrame::Heartbeat, out);
        }
        if now >= self.next_load && self.fence.is_some() {
            self.next_load = now + self.load_interval();
            let open = self.is_open(fold);
            let loads = self.targets.values_mut().map(|target| target.load(open)).collect();
            self.broadcast(SideFrame::Load(loads), out);
        }
    }

    /// Hands queued attempts back some time after the side has closed, so that a
    /// leaving target gets nothing new however slow it is.
    fn hand_back_queues(&mut self, now: ClockTime, fold: &FleetFold, out: &mut Vec<SideAction>) {
        if self.fence.is_none() || self.is_open(fold) {
            self.closed_since = None;
            return;
        }
        let since = *self.closed_since.get_or_insert(now);
        let announced = fold.view().leaving_for(&self.settings.vm).unwrap_or_default();
        if now < since + HAND_BACK_AFTER && announced < HAND_BACK_AFTER {
            return;
        }
        let names: Vec<TargetId> = self.targets.keys().cloned().collect();
        for name in names {
            self.move_queue(&name, out);
        }
    }

    fn check_links(&mut self, now: ClockTime, fold: &FleetFold, out: &mut Vec<SideAction>) {
        let silent: Vec<LinkId> = self
            .links
            .iter()
            .filter(|(_, l)| now > l.heard + LINK_TIMEOUT)
            .map(|(id, _)| *id)
            .collect();
        for link in silent {
            out.push(SideAction::CloseLink { link });
            self.link_down(fold, link, out);
        }
    }

    /// Returns the time between load reports, which grows with the number of links so
    /// that the reports of a side stay within their share of the network.
    fn load_interval(&self) -> Duration {
        let bytes = LOAD_BYTES * self.targets.len() * self.links.len();
        let least = Duration::from_secs_f64(bytes as f64 / LOAD_BYTES_PER_SECOND);
        least.clamp(MIN_LOAD_REPORT_INTERVAL, MAX_LOAD_REPORT_INTERVAL)
    }

    pub(super) fn broadcast(&self, frame: SideFrame, out: &mut Vec<SideAction>) {
        for link in self.links.keys() {
            out.push(SideAction::Send { link: *link, frame: frame.clone() });
        }
    }

    fn flush(&mut self, now: ClockTime, out: &mut Vec<SideAction>) {
        let Some(fence) = self.fence else { return };
        if let Some((append_id, record)) = self.outbox.next(now, &self.settings.side, fence) {
            out.push(SideAction::Append { append_id, record });
        }
    }
}

fn role_serves(target: &SideTarget, work: &AttemptWork) -> bool {
    use crate::record::EngineRole::{Decode, Mixed, Prefill};
    match work {
        AttemptWork::Call => !target.is_engine(),
        AttemptWork::Complete => target.role == Some(Mixed),
        AttemptWork::Prefill => matches!(target.role, Some(Mixed | Prefill)),
        AttemptWork::Decode { .. } => matches!(target.role, Some(Mixed | Decode)),
    }
}

fn queued_work(id: AttemptId, attempt: &SideAttempt) -> QueuedWork {
    let place = &attempt.place;
    let output = match place.work {
        AttemptWork::Prefill | AttemptWork::Call => 0,
        AttemptWork::Complete | AttemptWork::Decode { .. } => {
            u64::from(place.expected_output_tokens)
        }
    };
    QueuedWork {
        attempt: id,
        customer: place.customer.clone(),
        share_ppm: place.share_ppm,
        priority: place.priority,
        deadline: attempt.deadline,
        cost: u64::from(attempt.prefill_tokens()) + output * OUTPUT_COST + 1,
        prompt_tokens: attempt.prefill_tokens(),
        pieces: attempt.pieces(),
        isolated: attempt.isolated,
    }
}
