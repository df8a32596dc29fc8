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
    answers::release_cache,
    belief::{EstimateTable, route_name},
    flow::{FlowPhase, PlacedAttempt, RequestFlow},
    placement::TargetChooser,
};
use crate::{
    claim::ClaimKey,
    contract::KindRoute,
    fold::FleetView,
    frame::{EntryFrame, HEARTBEAT_INTERVAL, LINK_TIMEOUT},
    ids::{ClockTime, CustomerId, RequestId, SideId},
    request::{CallerRequest, FinalAnswer, FinalRefusal, RefusalReason},
    suspect::SuspectTable,
};

/// Time within which a side has to answer a [`PlaceFrame`].
const PLACE_TIMEOUT: Duration = Duration::from_millis(400);
/// Time after which an entry counts as ready even where a route has no target.
const READY_LIMIT: Duration = Duration::from_secs(5);
/// Shortest and longest advice on when to come back.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(200);
pub(super) const MAX_RETRY_AFTER: Duration = Duration::from_secs(30);
/// Advice where nothing better is known.
pub(super) const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Part of the longest output that is expected before any answer was seen.
pub(super) const START_OUTPUT_SHARE: f32 = 0.8;

/// The entry's state machine.
#[derive(Debug, Clone, Serialize)]
pub struct EntryMachine {
    pub(super) settings: EntrySettings,
    open: bool,
    ready: bool,
    started: Option<ClockTime>,
    sequence: u64,
    #[serde(serialize_with = "crate::pairs::serialize")]
    pub(super) flows: BTreeMap<RequestId, RequestFlow>,
    #[serde(rename = "beliefs")]
    pub(super) estimates: EstimateTable,
    pub(super) budget: RetryBudget,
    pub(super) told: SuspectTable,
    pub(super) links: BTreeMap<SideId, ClockTime>,
    next_heartbeat: ClockTime,
    #[serde(skip)]
    pub(super) chooser: TargetChooser,
    #[serde(skip)]
    pub(super) outputs: HashMap<(CustomerId, Arc<str>), f32>,
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
            estimates: EstimateTable::default(),
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
    pub fn estimates(&self) -> &EstimateTable {
        &self.estimates
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
            EntryEvent::CallerDisconnected { id } => self.caller_gone(id, out),
            EntryEvent::LinkUp { side } => {
                self.links.insert(side, now);
            }
            EntryEvent::LinkDown { side } => self.link_down(now, view, &side, out),
            EntryEvent::Frame { side, frame } => self.frame(now, view, side, frame, out),
            EntryEvent::LogAdvanced => self.log_advanced(now, view, out),
            EntryEvent::SetAccepting { accepting } => self.open = accepting,
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

    pub(super) fn expected_output(&self, request: &CallerRequest) -> u32 {
        let known = self.outputs.get(&(request.customer.clone(), request.kind.clone()));
        let share = known.copied().unwrap_or(START_OUTPUT_SHARE);
        (share * request.max_output_tokens as f32).ceil() as u32
    }

    pub(super) fn crashes(&self, view: &FleetView, fingerprint: u64) -> u8 {
        view.suspects.merged_crash_count(&self.told, fingerprint)
    }

    fn caller_gone(&mut self, id: RequestId, out: &mut Vec<EntryAction>) {
        if let Some(flow) = self.flows.remove(&id) {
            abandon(flow, out);
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
            self.estimates.route(route).iter().any(|index| self.estimates.at(*index).is_usable(now))
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

    pub(super) fn refuse(
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

    pub(super) fn finish(
        &mut self,
        id: RequestId,
        answer: FinalAnswer,
        out: &mut Vec<EntryAction>,
    ) {
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

/// Stops what still runs for a request that has its final answer.
fn abandon(mut flow: RequestFlow, out: &mut Vec<EntryAction>) {
    release_cache(&mut flow, out);
    if let FlowPhase::Placed(PlacedAttempt { side, attempt, .. }) = flow.phase {
        out.push(EntryAction::Send { side, frame: EntryFrame::Cancel { attempt } });
    }
}
