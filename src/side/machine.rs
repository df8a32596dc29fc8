//! State machine of the side: dispatches events, and admits and queues attempts.

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
    fold::FleetState,
    frame::{
        AttemptEnd, AttemptWork, EntryFrame, HEARTBEAT_INTERVAL, LINK_TIMEOUT, PlaceFrame,
        SideFrame,
    },
    ids::{AttemptId, ClockTime, FencingToken, TargetId},
    request::RefusalReason,
    suspect::SuspectPolicy,
};

/// Estimated size of one target's load in a report, in bytes.
const TARGET_LOAD_BYTES: usize = 200;
/// Bandwidth that a side may use for load reports to all its entries.
const MAX_LOAD_BYTES_PER_SECOND: f64 = 4000.0;
/// Longest interval between load reports. An entry discards a report after 1.5 s.
const MAX_LOAD_REPORT_INTERVAL: Duration = Duration::from_millis(1000);
/// Gap between two events from which on the process counts as having been paused.
const PAUSE_THRESHOLD: Duration = Duration::from_millis(1000);
/// Longest time for which a process that was paused waits for the log before it starts work.
const LOG_CATCH_UP_TIMEOUT: Duration = Duration::from_millis(2000);
/// Time for which a side that is shutting down still starts work from its queues.
const QUEUE_HAND_BACK_DELAY: Duration = Duration::from_secs(2);
/// Estimated cost of one output token, in prompt tokens.
const OUTPUT_TOKEN_COST: u64 = 10;

/// State machine of a side.
///
/// Its serialized form is part of the state page.
#[derive(Debug, Clone, Serialize)]
pub struct SideMachine {
    #[serde(skip)]
    pub(super) settings: SideSettings,
    pub(super) fence: Option<FencingToken>,
    pub(super) superseded: bool,
    pub(super) draining: bool,
    /// When the side stopped accepting new work.
    closed_since: Option<ClockTime>,
    last_step: Option<ClockTime>,
    /// When the process noticed that it had been paused; `None` once it has read the log again
    /// or after [`LOG_CATCH_UP_TIMEOUT`].
    ///
    /// It starts no work meanwhile, as it may have been replaced.
    #[serde(rename = "stood_still")]
    pub(super) paused_since: Option<ClockTime>,
    pub(super) log_reachable: bool,
    pub(super) targets: BTreeMap<TargetId, SideTarget>,
    #[serde(serialize_with = "crate::pairs::serialize")]
    pub(super) attempts: BTreeMap<AttemptId, SideAttempt>,
    pub(super) outbox: AppendOutbox,
    links: BTreeMap<LinkId, LinkState>,
    next_load: ClockTime,
    next_heartbeat: ClockTime,
    #[serde(rename = "reports")]
    pub(super) report_count: u64,
}

#[derive(Debug, Clone, Copy, Serialize)]
struct LinkState {
    #[serde(rename = "heard")]
    last_frame: ClockTime,
}

impl SideMachine {
    /// Creates a side that has not attached yet, and so accepts no work.
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
            paused_since: None,
            log_reachable: true,
            targets,
            attempts: BTreeMap::new(),
            outbox: AppendOutbox::default(),
            links: BTreeMap::new(),
            next_load: ClockTime::ZERO,
            next_heartbeat: ClockTime::ZERO,
            report_count: 0,
        }
    }

    /// Handles one event and adds the resulting actions to `out`.
    pub fn step(
        &mut self,
        now: ClockTime,
        fleet: &FleetState,
        event: SideEvent,
        out: &mut Vec<SideAction>,
    ) {
        self.detect_pause(now);
        match event {
            SideEvent::LinkUp { link } => self.handle_link_up(now, link, out),
            SideEvent::LinkDown { link } => self.handle_link_down(fleet, link, out),
            SideEvent::Frame { link, frame } => self.handle_frame(now, fleet, link, frame, out),
            SideEvent::LogAdvanced => self.handle_log_advance(now, fleet, out),
            SideEvent::LogHealth { reachable } => self.log_reachable = reachable,
            SideEvent::Appended { append_id, confirmed } => {
                self.outbox.handle_append_result(now, append_id, confirmed)
            }
            SideEvent::Target { target, event } => {
                self.handle_target_event(now, fleet, &target, event, out)
            }
            SideEvent::Drain => self.draining = true,
            SideEvent::Tick => self.handle_tick(now, fleet, out),
        }
        self.send_next_append(now, out);
    }

    /// Detects that the process was paused, so that its view of the log may be outdated.
    fn detect_pause(&mut self, now: ClockTime) {
        let last = self.last_step.replace(now).unwrap_or(now);
        if now.saturating_sub(last) > PAUSE_THRESHOLD {
            self.paused_since = Some(now);
        }
        if self.paused_since.is_some_and(|since| now > since + LOG_CATCH_UP_TIMEOUT) {
            self.paused_since = None;
        }
    }

    /// Returns whether a draining side has nothing left to do.
    ///
    /// KV caches that are kept for other engines do not count.
    pub fn is_idle(&self) -> bool {
        let working = |attempt: &SideAttempt| attempt.phase != AttemptPhase::KeepingCache;
        !self.attempts.values().any(working) && self.outbox.is_empty()
    }

    /// Returns the number of attempts at this side, including those that only keep a KV cache.
    pub fn attempt_count(&self) -> usize {
        self.attempts.len()
    }

    /// Returns whether the side accepts new work.
    pub fn is_open(&self, fleet: &FleetState) -> bool {
        let leaving = fleet.view().is_leaving(&self.settings.vm);
        self.fence.is_some() && !self.superseded && !self.draining && !leaving
    }

    /// Adopts the fencing token once the log, or a copied state, shows the attachment.
    fn find_attachment(&mut self, fleet: &FleetState, out: &mut Vec<SideAction>) {
        let recorded = fleet.view().sides.get(&self.settings.side);
        let own = recorded.filter(|entry| entry.attachment.instance == self.settings.instance);
        if let (None, Some(entry)) = (self.fence, own) {
            self.adopt_fence(entry.fence, out);
        }
    }

    fn adopt_fence(&mut self, fence: FencingToken, out: &mut Vec<SideAction>) {
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

    fn handle_link_up(&mut self, now: ClockTime, link: LinkId, out: &mut Vec<SideAction>) {
        self.links.insert(link, LinkState { last_frame: now });
        if let Some(fence) = self.fence {
            let side = self.settings.side.clone();
            out.push(SideAction::Send { link, frame: SideFrame::Welcome { side, fence } });
        }
        let reports = self.outbox.unconfirmed_reports();
        if !reports.is_empty() {
            out.push(SideAction::Send { link, frame: SideFrame::Suspects(reports) });
        }
        for target in self.targets.values_mut() {
            target.resend_prefixes();
        }
        self.next_load = now;
    }

    fn handle_link_down(&mut self, fleet: &FleetState, link: LinkId, out: &mut Vec<SideAction>) {
        self.links.remove(&link);
        let lost: Vec<AttemptId> =
            self.attempts.iter().filter(|(_, a)| a.link == Some(link)).map(|(id, _)| *id).collect();
        for id in lost {
            self.cancel_attempt(fleet, id, out);
        }
    }

    fn handle_frame(
        &mut self,
        now: ClockTime,
        fleet: &FleetState,
        link: LinkId,
        frame: EntryFrame,
        out: &mut Vec<SideAction>,
    ) {
        if let Some(state) = self.links.get_mut(&link) {
            state.last_frame = now;
        }
        match frame {
            EntryFrame::Heartbeat => {}
            EntryFrame::Place(place) => self.place_attempt(now, fleet, link, *place, out),
            EntryFrame::Cancel { attempt } => self.cancel_attempt(fleet, attempt, out),
        }
    }

    fn place_attempt(
        &mut self,
        now: ClockTime,
        fleet: &FleetState,
        link: LinkId,
        place: PlaceFrame,
        out: &mut Vec<SideAction>,
    ) {
        if self.attempts.contains_key(&place.attempt) {
            return;
        }
        let id = place.attempt;
        let crashes = fleet.view().suspects.crash_count(place.fingerprint).max(place.crashes);
        let suspect_policy = SuspectPolicy::from_crashes(crashes);
        let attempt = SideAttempt {
            link: Some(link),
            target: place.target.clone(),
            deadline: now + place.time_left,
            phase: AttemptPhase::CatchUp,
            isolated: suspect_policy == SuspectPolicy::Isolated,
            place: std::sync::Arc::new(place),
        };
        if let Some(end) = self.check_refusal(fleet, &attempt, suspect_policy) {
            out.push(SideAction::Send { link, frame: SideFrame::End { attempt: id, end } });
            return;
        }
        self.attempts.insert(id, attempt);
        out.push(SideAction::Send { link, frame: SideFrame::Accepted { attempt: id } });
        self.admit(now, fleet, id, out);
    }

    fn check_refusal(
        &self,
        fleet: &FleetState,
        attempt: &SideAttempt,
        suspect_policy: SuspectPolicy,
    ) -> Option<AttemptEnd> {
        let not_run = |reason| AttemptEnd::NotRun { reason, retry_after: MIN_LOAD_REPORT_INTERVAL };
        if suspect_policy == SuspectPolicy::Rejected {
            return Some(not_run(RefusalReason::CrashesTargets));
        }
        if !self.is_open(fleet) {
            return Some(not_run(RefusalReason::Stopping));
        }
        let Some(target) = self.targets.get(&attempt.target) else {
            return Some(not_run(RefusalReason::NoTarget));
        };
        if !target.is_open() || !can_serve(target, &attempt.place.work) {
            return Some(not_run(RefusalReason::NoTarget));
        }
        let known_revision =
            fleet.view().contracts.get(&attempt.place.customer).map_or(0, |entry| entry.revision);
        if known_revision > attempt.place.revision {
            return Some(AttemptEnd::Stale { next: fleet.view().next });
        }
        None
    }

    /// Queues an attempt, or decides on its claim, once the log is read up to its contract.
    ///
    /// An attempt under an outdated contract ends as stale.
    pub(super) fn admit(
        &mut self,
        now: ClockTime,
        fleet: &FleetState,
        id: AttemptId,
        out: &mut Vec<SideAction>,
    ) {
        let Some(attempt) = self.attempts.get(&id) else { return };
        if fleet.view().next <= attempt.place.revision {
            return;
        }
        let known_revision =
            fleet.view().contracts.get(&attempt.place.customer).map_or(0, |entry| entry.revision);
        if known_revision > attempt.place.revision {
            self.finish_attempt(id, AttemptEnd::Stale { next: fleet.view().next }, out);
        } else if attempt.place.idempotent {
            self.enqueue(now, id, out);
        } else {
            self.decide_claim(now, fleet, id, out);
        }
    }

    /// Puts an attempt into its target's queue, and starts it if there is room.
    pub(super) fn enqueue(&mut self, now: ClockTime, id: AttemptId, out: &mut Vec<SideAction>) {
        let Some(attempt) = self.attempts.get_mut(&id) else { return };
        attempt.phase = AttemptPhase::Queued;
        let work = describe_work(id, attempt);
        let Some(target) = self.targets.get_mut(&attempt.target) else { return };
        target.prompt_total += u64::from(work.prompt_tokens);
        if !matches!(attempt.place.work, AttemptWork::Prefill) {
            target.output_total += u64::from(attempt.place.expected_output_tokens);
        }
        target.queue.push(work);
        let name = attempt.target.clone();
        self.dispatch(now, &name, out);
    }

    /// Reports to the entry how an attempt ended, and removes it.
    pub(super) fn finish_attempt(
        &mut self,
        id: AttemptId,
        end: AttemptEnd,
        out: &mut Vec<SideAction>,
    ) {
        let Some(attempt) = self.attempts.get_mut(&id) else { return };
        if let Some(link) = attempt.link {
            out.push(SideAction::Send { link, frame: SideFrame::End { attempt: id, end } });
        }
        self.remove_attempt(id);
    }

    /// Removes an attempt and frees what it holds at its target.
    pub(super) fn remove_attempt(&mut self, id: AttemptId) {
        self.release_target(id);
        self.attempts.remove(&id);
    }

    fn handle_log_advance(
        &mut self,
        now: ClockTime,
        fleet: &FleetState,
        out: &mut Vec<SideAction>,
    ) {
        self.paused_since = None;
        self.find_attachment(fleet, out);
        if let Some(fence) = self.fence
            && !fleet.view().is_attached(&self.settings.side, fence)
            && fleet.view().next > fence
            && !self.superseded
        {
            self.superseded = true;
            self.end_all_unstarted(out);
            out.push(SideAction::Superseded);
        }
        self.outbox.confirm_from_log(fleet);
        self.outbox.limit_rate(fleet.view().service_side_count());
        self.hand_back_queues(now, fleet, out);
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
            self.admit(now, fleet, id, out);
        }
        self.apply_plan(now, fleet, out);
    }

    fn handle_tick(&mut self, now: ClockTime, fleet: &FleetState, out: &mut Vec<SideAction>) {
        self.expire_attempts(now, fleet, out);
        self.hand_back_queues(now, fleet, out);
        self.check_links(now, fleet, out);
        self.apply_plan(now, fleet, out);
        let names: Vec<TargetId> = self.targets.keys().cloned().collect();
        for name in &names {
            self.dispatch(now, name, out);
        }
        if now >= self.next_heartbeat {
            self.next_heartbeat = now + HEARTBEAT_INTERVAL;
            self.broadcast(SideFrame::Heartbeat, out);
        }
        if now >= self.next_load && self.fence.is_some() {
            self.next_load = now + self.load_report_interval();
            let open = self.is_open(fleet);
            let loads = self.targets.values_mut().map(|target| target.take_load(open)).collect();
            self.broadcast(SideFrame::Load(loads), out);
        }
    }

    /// Hands queued attempts back to their entries [`QUEUE_HAND_BACK_DELAY`] after the side
    /// stopped accepting work or its VM was announced as leaving, whichever came first, so
    /// that a leaving target starts nothing new however slow it is.
    fn hand_back_queues(&mut self, now: ClockTime, fleet: &FleetState, out: &mut Vec<SideAction>) {
        if self.fence.is_none() || self.is_open(fleet) {
            self.closed_since = None;
            return;
        }
        let since = *self.closed_since.get_or_insert(now);
        let announced = fleet.view().leaving_for(&self.settings.vm).unwrap_or_default();
        if now < since + QUEUE_HAND_BACK_DELAY && announced < QUEUE_HAND_BACK_DELAY {
            return;
        }
        let names: Vec<TargetId> = self.targets.keys().cloned().collect();
        for name in names {
            self.hand_back_queue(&name, out);
        }
    }

    fn check_links(&mut self, now: ClockTime, fleet: &FleetState, out: &mut Vec<SideAction>) {
        let timed_out: Vec<LinkId> = self
            .links
            .iter()
            .filter(|(_, link)| now > link.last_frame + LINK_TIMEOUT)
            .map(|(id, _)| *id)
            .collect();
        for link in timed_out {
            out.push(SideAction::CloseLink { link });
            self.handle_link_down(fleet, link, out);
        }
    }

    /// Returns the interval between load reports.
    ///
    /// It grows with the number of targets and links, up to [`MAX_LOAD_REPORT_INTERVAL`], to
    /// keep the reports of a side within [`MAX_LOAD_BYTES_PER_SECOND`].
    fn load_report_interval(&self) -> Duration {
        let bytes = TARGET_LOAD_BYTES * self.targets.len() * self.links.len();
        let min_interval = Duration::from_secs_f64(bytes as f64 / MAX_LOAD_BYTES_PER_SECOND);
        min_interval.clamp(MIN_LOAD_REPORT_INTERVAL, MAX_LOAD_REPORT_INTERVAL)
    }

    pub(super) fn broadcast(&self, frame: SideFrame, out: &mut Vec<SideAction>) {
        for link in self.links.keys() {
            out.push(SideAction::Send { link: *link, frame: frame.clone() });
        }
    }

    fn send_next_append(&mut self, now: ClockTime, out: &mut Vec<SideAction>) {
        let Some(fence) = self.fence else { return };
        if let Some((append_id, record)) = self.outbox.next_append(now, &self.settings.side, fence)
        {
            out.push(SideAction::Append { append_id, record });
        }
    }
}

fn can_serve(target: &SideTarget, work: &AttemptWork) -> bool {
    use crate::record::EngineRole::{Decode, Mixed, Prefill};
    match work {
        AttemptWork::Call => !target.is_engine(),
        AttemptWork::Complete => target.role == Some(Mixed),
        AttemptWork::Prefill => matches!(target.role, Some(Mixed | Prefill)),
        AttemptWork::Decode { .. } => matches!(target.role, Some(Mixed | Decode)),
    }
}

fn describe_work(id: AttemptId, attempt: &SideAttempt) -> QueuedWork {
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
        cost: u64::from(attempt.prefill_tokens()) + output * OUTPUT_TOKEN_COST + 1,
        prompt_tokens: attempt.prefill_tokens(),
        kv_pages: attempt.kv_pages(),
        isolated: attempt.isolated,
    }
}
