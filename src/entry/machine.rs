//! The entry's state machine.

use std::{
    collections::{BTreeMap, HashMap},
    sync::Arc,
    time::Duration,
};

use rand::{SeedableRng, rngs::SmallRng};
use serde::Serialize;

use super::{
    EntryAction, EntryEvent, EntrySettings, RetryBudget,
    belief::{BeliefTable, route_name},
    flow::{CacheLease, FlowPhase, PlacedAttempt, RequestFlow},
    placement::{PlaceChoice, PlaceQuery, PlaceStep, PlacementPolicy, TargetChooser},
};
use crate::{
    claim::ClaimKey,
    contract::KindRoute,
    fold::FleetView,
    frame::{
        AttemptEnd, AttemptWork, EntryFrame, HEARTBEAT_INTERVAL, LINK_TIMEOUT, PlaceFrame,
        SideFrame,
    },
    ids::{AttemptId, ClockTime, CustomerId, RequestId, SideId},
    record::SuspectReport,
    request::{CallerRequest, FinalAnswer, FinalRefusal, RefusalReason, pieces},
    suspect::{SuspectTable, SuspectVerdict},
};

/// Attempts after which a request fails.
const MAX_ATTEMPTS: u32 = 12;
/// Time within which a side has to answer a [`PlaceFrame`].
const PLACE_TIMEOUT: Duration = Duration::from_millis(400);
/// Time after which an entry counts as ready even where a route has no target.
const READY_LIMIT: Duration = Duration::from_secs(5);
/// Time for which a request waits for a target while none is usable.
const TARGET_WAIT_LIMIT: Duration = Duration::from_secs(10);
/// Shortest and longest advice on when to come back.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(200);
const MAX_RETRY_AFTER: Duration = Duration::from_secs(30);
/// Advice where nothing better is known.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Part of the longest output that is expected before any answer was seen.
const START_OUTPUT_SHARE: f32 = 0.8;
const OUTPUT_SMOOTHING: f32 = 0.05;

/// The entry's state machine.
#[derive(Debug, Clone, Serialize)]
pub struct EntryMachine {
    settings: EntrySettings,
    open: bool,
    ready: bool,
    started: Option<ClockTime>,
    sequence: u64,
    #[serde(serialize_with = "crate::pairs::serialize")]
    flows: BTreeMap<RequestId, RequestFlow>,
    beliefs: BeliefTable,
    budget: RetryBudget,
    told: SuspectTable,
    links: BTreeMap<SideId, ClockTime>,
    next_heartbeat: ClockTime,
    #[serde(skip)]
    chooser: TargetChooser,
    #[serde(skip)]
    outputs: HashMap<(CustomerId, Arc<str>), f32>,
    offered: OfferedTokens,
}

/// Tokens that callers have asked for, whether or not they were admitted.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize)]
pub struct OfferedTokens {
    /// Prompt tokens.
    pub prompt: f64,
    /// Expected output tokens.
    pub output: f64,
}

impl EntryMachine {
    /// Makes an entry without links.
    pub fn new(settings: EntrySettings) -> EntryMachine {
        let rng = SmallRng::seed_from_u64(settings.seed);
        EntryMachine {
            chooser: TargetChooser { policy: settings.policy, rng, turn: 0 },
            settings,
            open: true,
            ready: false,
            started: None,
            sequence: 0,
            flows: BTreeMap::new(),
            beliefs: BeliefTable::default(),
            budget: RetryBudget::default(),
            told: SuspectTable::default(),
            links: BTreeMap::new(),
            next_heartbeat: ClockTime::ZERO,
            outputs: HashMap::new(),
            offered: OfferedTokens::default(),
        }
    }

    /// Returns the identity of the next request.
    pub fn next_id(&mut self) -> RequestId {
        self.sequence += 1;
        RequestId { instance: self.settings.instance, sequence: self.sequence }
    }

    /// Returns the number of requests without a final answer.
    pub fn in_flight(&self) -> usize {
        self.flows.len()
    }

    /// Returns what the entry believes about targets.
    pub fn beliefs(&self) -> &BeliefTable {
        &self.beliefs
    }

    /// Returns the tokens that callers have asked for so far.
    pub fn offered(&self) -> OfferedTokens {
        self.offered
    }

    /// Tells whether the balancer should send requests here.
    pub fn is_ready(&self) -> bool {
        self.open && self.ready
    }

    /// Handles one event.
    pub fn step(
        &mut self,
        now: ClockTime,
        view: &FleetView,
        event: EntryEvent,
        out: &mut Vec<EntryAction>,
    ) {
        self.started.get_or_insert(now);
        match event {
            EntryEvent::Submit { id, request } => self.submit(now, view, id, request, out),
            EntryEvent::CallerGone { id } => self.caller_gone(id, out),
            EntryEvent::LinkUp { side } => {
                self.links.insert(side, now);
            }
            EntryEvent::LinkDown { side } => self.link_down(now, view, &side, out),
            EntryEvent::Frame { side, frame } => self.frame(now, view, side, frame, out),
            EntryEvent::LogAdvanced => self.log_advanced(now, view, out),
            EntryEvent::Open { open } => self.open = open,
            EntryEvent::Tick => self.tick(now, view, out),
        }
    }

    fn submit(
        &mut self,
        now: ClockTime,
        view: &FleetView,
        id: RequestId,
        request: Box<CallerRequest>,
        out: &mut Vec<EntryAction>,
    ) {
        match self.admit(now, view, request) {
            Ok(flow) => {
                self.flows.insert(id, flow);
                self.budget.earn();
                self.place(now, view, id, out);
            }
            Err(reason) => {
                let retry_after = DEFAULT_RETRY_AFTER;
                let refusal = FinalRefusal { reason, not_run: true, retry_after };
                out.push(EntryAction::Finish { id, answer: FinalAnswer::Refused(refusal) });
            }
        }
    }

    fn admit(
        &mut self,
        now: ClockTime,
        view: &FleetView,
        request: Box<CallerRequest>,
    ) -> Result<RequestFlow, RefusalReason> {
        if !self.open {
            return Err(RefusalReason::Stopping);
        }
        let (revision, contract) =
            view.contract(&request.customer).ok_or(RefusalReason::NoContract)?;
        let kind_index = contract
            .kinds
            .iter()
            .position(|kind| kind.name == *request.kind)
            .ok_or(RefusalReason::NoKind)?;
        let kind = &contract.kinds[kind_index];
        let mut request = request;
        if let KindRoute::Engine { max_prompt_tokens, max_output_tokens, .. } = kind.route {
            if request.prompt_tokens > max_prompt_tokens
                || request.max_output_tokens > max_output_tokens
            {
                return Err(RefusalReason::TooLong);
            }
            if request.max_output_tokens == 0 {
                request.max_output_tokens = max_output_tokens;
            }
            self.offered.prompt += f64::from(request.prompt_tokens);
            self.offered.output += f64::from(self.expected_output(&request));
        }
        if !kind.idempotent {
            check_key(&request)?;
        }
        Ok(RequestFlow {
            fingerprint: request.fingerprint(),
            deadline: now + kind.deadline(),
            request,
            contract: contract.clone(),
            kind_index,
            revision,
            attempts: 0,
            tried: Default::default(),
            phase: FlowPhase::Unplaced,
            next_chunk: 0,
            text: String::new(),
            cache: None,
            may_have_run: false,
            waiting_since: None,
        })
    }

    fn expected_output(&self, request: &CallerRequest) -> u32 {
        let known = self.outputs.get(&(request.customer.clone(), request.kind.clone()));
        let share = known.copied().unwrap_or(START_OUTPUT_SHARE);
        (share * request.max_output_tokens as f32).ceil() as u32
    }

    /// Places a request's next step, or gives the request up.
    fn place(
        &mut self,
        now: ClockTime,
        view: &FleetView,
        id: RequestId,
        out: &mut Vec<EntryAction>,
    ) {
        let Some(flow) = self.flows.get(&id) else { return };
        let verdict = SuspectVerdict::from_crashes(self.crashes(view, flow.fingerprint));
        if verdict == SuspectVerdict::Barred {
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
        let Some((choice, step)) = self.choose(now, id, verdict, time_left) else {
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
        let known = !self.beliefs.route(flow.route()).is_empty();
        if !known || now > since + TARGET_WAIT_LIMIT {
            self.refuse(id, RefusalReason::NoTarget, DEFAULT_RETRY_AFTER, out);
        }
    }

    fn choose(
        &mut self,
        now: ClockTime,
        id: RequestId,
        verdict: SuspectVerdict,
        time_left: Duration,
    ) -> Option<(PlaceChoice, PlaceStep)> {
        let flow = self.flows.get(&id)?;
        let step = match (&flow.cache, flow.is_call()) {
            (_, true) => PlaceStep::Call,
            (Some(_), false) => PlaceStep::Decode,
            (None, false) => PlaceStep::Start,
        };
        let generated = crate::request::token_count(&flow.text).min(flow.request.max_output_tokens);
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
            alone: verdict == SuspectVerdict::Alone,
        };
        let choice = self.chooser.choose(now, &self.beliefs, &query, step)?;
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
        let memory = pieces(flow.request.prompt_tokens + flow.request.max_output_tokens);
        self.beliefs.add(&choice.target, flow.kind().priority, tokens, memory);
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

    fn frame(
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
            SideFrame::Load(loads) => self.beliefs.report(now, view, &side, loads),
            SideFrame::Suspects(reports) => self.told_of(now, &reports),
            SideFrame::Taken { attempt } => self.taken(attempt),
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

    fn crashes(&self, view: &FleetView, fingerprint: u64) -> u8 {
        view.suspects.count_with(&self.told, fingerprint)
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
            AttemptEnd::Whole { chunks, tokens } if chunks == flow.next_chunk => {
                self.learn_output(id, tokens);
                self.finish(id, FinalAnswer::Completed { chunks, tokens }, out);
            }
            AttemptEnd::Whole { .. } => self.retry(now, view, id, out),
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
                    self.beliefs.refuse(&placed.target);
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
    fn readmit(
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
    fn retry(
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

    fn link_down(
        &mut self,
        now: ClockTime,
        view: &FleetView,
        side: &SideId,
        out: &mut Vec<EntryAction>,
    ) {
        self.links.remove(side);
        self.beliefs.unlink(side);
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
    fn lose_attempt(
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

    fn caller_gone(&mut self, id: RequestId, out: &mut Vec<EntryAction>) {
        if let Some(flow) = self.flows.remove(&id) {
            abandon(flow, out);
        }
    }

    fn log_advanced(&mut self, now: ClockTime, view: &FleetView, out: &mut Vec<EntryAction>) {
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

    fn tick(&mut self, now: ClockTime, view: &FleetView, out: &mut Vec<EntryAction>) {
        let silent: Vec<SideId> = self
            .links
            .iter()
            .filter(|(_, heard)| now > **heard + LINK_TIMEOUT)
            .map(|(s, _)| s.clone())
            .collect();
        for side in silent {
            out.push(EntryAction::CloseLink { side: side.clone() });
            self.link_down(now, view, &side, out);
        }
        if now >= self.next_heartbeat {
            self.next_heartbeat = now + HEARTBEAT_INTERVAL;
            for side in self.links.keys() {
                out.push(EntryAction::Send { side: side.clone(), frame: EntryFrame::Heartbeat });
            }
        }
        self.ready = self.ready || self.knows_all_routes(now, view);
        let ids: Vec<RequestId> = self.flows.keys().copied().collect();
        for id in ids {
            self.check_time(now, view, id, out);
        }
    }

    /// Tells whether each route that sides offer has a target that can be chosen.
    fn knows_all_routes(&self, now: ClockTime, view: &FleetView) -> bool {
        let sides = view.sides.values().filter(|entry| !entry.detached);
        let descriptions = sides.flat_map(|entry| &entry.attachment.targets);
        let mut routes: Vec<&str> = descriptions.map(|d| route_name(&d.offer)).collect();
        routes.sort_unstable();
        routes.dedup();
        let usable = |route: &&str| {
            self.beliefs.route(route).iter().any(|slot| self.beliefs.at(*slot).is_usable(now))
        };
        let waited = self.started.is_some_and(|started| now > started + READY_LIMIT);
        !routes.is_empty() && (waited || routes.iter().all(usable))
    }

    fn check_time(
        &mut self,
        now: ClockTime,
        view: &FleetView,
        id: RequestId,
        out: &mut Vec<EntryAction>,
    ) {
        let Some(flow) = self.flows.get_mut(&id) else { return };
        if now >= flow.deadline {
            if matches!(flow.phase, FlowPhase::Placed(_)) {
                flow.may_have_run = true;
            }
            self.refuse(id, RefusalReason::DeadlineExceeded, DEFAULT_RETRY_AFTER, out);
            return;
        }
        if flow.phase == FlowPhase::Unplaced {
            self.place(now, view, id, out);
            return;
        }
        let FlowPhase::Placed(placed) = &flow.phase else { return };
        if placed.taken || now <= placed.sent + PLACE_TIMEOUT {
            return;
        }
        let (side, attempt, target) = (placed.side.clone(), placed.attempt, placed.target.clone());
        flow.tried.push(target);
        out.push(EntryAction::Send { side, frame: EntryFrame::Cancel { attempt } });
        self.lose_attempt(now, view, id, out);
    }

    fn learn_output(&mut self, id: RequestId, tokens: u32) {
        let Some(flow) = self.flows.get(&id) else { return };
        let key = (flow.request.customer.clone(), flow.request.kind.clone());
        let share = tokens as f32 / flow.request.max_output_tokens.max(1) as f32;
        let known = self.outputs.entry(key).or_insert(START_OUTPUT_SHARE);
        *known += (share - *known) * OUTPUT_SMOOTHING;
    }

    fn refuse(
        &mut self,
        id: RequestId,
        reason: RefusalReason,
        retry_after: Duration,
        out: &mut Vec<EntryAction>,
    ) {
        let Some(flow) = self.flows.get(&id) else { return };
        let not_run = !flow.may_have_run;
        let reason = match reason {
            RefusalReason::DeadlineExceeded if !not_run && !flow.kind().idempotent => {
                RefusalReason::OutcomeUnknown
            }
            _ => reason,
        };
        let retry_after = retry_after.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER);
        let refusal = FinalRefusal { reason, not_run, retry_after };
        self.finish(id, FinalAnswer::Refused(refusal), out);
    }

    fn finish(&mut self, id: RequestId, answer: FinalAnswer, out: &mut Vec<EntryAction>) {
        let Some(flow) = self.flows.remove(&id) else { return };
        abandon(flow, out);
        out.push(EntryAction::Finish { id, answer });
    }
}

fn check_key(request: &CallerRequest) -> Result<(), RefusalReason> {
    let key = request.key.clone().ok_or(RefusalReason::BadKey)?;
    let key = ClaimKey { customer: request.customer.clone(), key };
    key.issued().map(|_| ()).ok_or(RefusalReason::BadKey)
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

/// Lets the engine that read the prompt drop its KV cache.
fn release_cache(flow: &mut RequestFlow, out: &mut Vec<EntryAction>) {
    if let Some(CacheLease { side, attempt, .. }) = flow.cache.take() {
        out.push(EntryAction::Send { side, frame: EntryFrame::Cancel { attempt } });
    }
}

/// Stops what still runs for a request that has its final answer.
fn abandon(mut flow: RequestFlow, out: &mut Vec<EntryAction>) {
    release_cache(&mut flow, out);
    if let FlowPhase::Placed(PlacedAttempt { side, attempt, .. }) = flow.phase {
        out.push(EntryAction::Send { side, frame: EntryFrame::Cancel { attempt } });
    }
}
