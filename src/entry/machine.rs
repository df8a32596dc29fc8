//! State machine of the entry process: admission, ticks and final answers.

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
    flow::{PlacedAttempt, RequestPhase, RequestState},
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

/// Time within which a side has to accept a [`crate::frame::PlaceFrame`].
const PLACE_TIMEOUT: Duration = Duration::from_millis(400);
/// Time after start at which an entry reports ready although some route has no usable target.
const MAX_READY_WAIT: Duration = Duration::from_secs(5);
/// Smallest `retry_after` that a refusal advises.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(200);
/// Largest `retry_after` that a refusal advises.
pub(super) const MAX_RETRY_AFTER: Duration = Duration::from_secs(30);
/// `retry_after` of a refusal for which no estimate exists.
pub(super) const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Expected fraction of `max_output_tokens` for a request kind without a completed answer.
pub(super) const INITIAL_OUTPUT_SHARE: f32 = 0.8;

/// Follows every open request of one entry process, see [`crate::entry`].
#[derive(Debug, Clone, Serialize)]
pub struct EntryMachine {
    pub(super) settings: EntrySettings,
    open: bool,
    /// When the process exits at the latest, if it was told to stop.
    stops_by: Option<ClockTime>,
    /// Whether the process is shutting down, which is final.
    draining: bool,
    ready: bool,
    started: Option<ClockTime>,
    sequence: u64,
    #[serde(rename = "flows", serialize_with = "crate::pairs::serialize")]
    pub(super) requests: BTreeMap<RequestId, RequestState>,
    #[serde(rename = "beliefs")]
    pub(super) estimates: EstimateTable,
    pub(super) budget: RetryBudget,
    /// Crash reports received over links, some of which may not be in the log yet.
    #[serde(rename = "told")]
    pub(super) reported_suspects: SuspectTable,
    /// Time of the newest frame by linked side.
    pub(super) links: BTreeMap<SideId, ClockTime>,
    next_heartbeat: ClockTime,
    #[serde(skip)]
    pub(super) chooser: TargetChooser,
    /// Average fraction of `max_output_tokens` that was generated, by customer and kind.
    #[serde(skip)]
    pub(super) output_shares: HashMap<(CustomerId, Arc<str>), f32>,
    offered: OfferedTokens,
}

/// Total tokens of engine requests within their contract's limits, admitted or not.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize)]
pub struct OfferedTokens {
    /// Prompt tokens, as estimated from the text.
    pub prompt: f64,
    /// Output tokens that the requests are expected to generate.
    pub output: f64,
}

impl EntryMachine {
    /// Creates an entry that accepts requests and has no links.
    pub fn new(settings: EntrySettings) -> EntryMachine {
        let rng = SmallRng::seed_from_u64(settings.seed);
        EntryMachine {
            chooser: TargetChooser { policy: settings.policy, rng, turn: 0 },
            settings,
            open: true,
            stops_by: None,
            draining: false,
            ready: false,
            started: None,
            sequence: 0,
            requests: BTreeMap::new(),
            estimates: EstimateTable::default(),
            budget: RetryBudget::default(),
            reported_suspects: SuspectTable::default(),
            links: BTreeMap::new(),
            next_heartbeat: ClockTime::ZERO,
            output_shares: HashMap::new(),
            offered: OfferedTokens::default(),
        }
    }

    /// Allocates the id of the next request.
    pub fn next_id(&mut self) -> RequestId {
        self.sequence += 1;
        RequestId { instance: self.settings.instance, sequence: self.sequence }
    }

    /// Returns the number of requests without a final answer.
    pub fn in_flight(&self) -> usize {
        self.requests.len()
    }

    /// Returns the estimated load of all known targets.
    pub fn estimates(&self) -> &EstimateTable {
        &self.estimates
    }

    /// Returns the token demand since the process started.
    pub fn offered(&self) -> OfferedTokens {
        self.offered
    }

    /// Returns whether a load balancer should send requests to this entry.
    pub fn is_ready(&self) -> bool {
        self.is_admitting() && self.ready
    }

    fn is_admitting(&self) -> bool {
        self.open && !self.draining
    }

    /// Handles one event and appends the resulting actions to `out`.
    pub fn step(
        &mut self,
        now: ClockTime,
        view: &FleetView,
        event: EntryEvent,
        out: &mut Vec<EntryAction>,
    ) {
        self.started.get_or_insert(now);
        match event {
            EntryEvent::Submit { id, request } => self.submit_request(now, view, id, request, out),
            EntryEvent::CallerDisconnected { id } => self.drop_request(id, out),
            EntryEvent::LinkUp { side } => {
                self.links.insert(side, now);
            }
            EntryEvent::LinkDown { side } => self.handle_link_down(now, view, &side, out),
            EntryEvent::Frame { side, frame } => self.handle_frame(now, view, side, frame, out),
            EntryEvent::LogAdvanced => self.handle_log_advance(now, view, out),
            EntryEvent::SetAccepting { accepting } => self.open = accepting,
            EntryEvent::Stop { time } => self.stops_by = Some(now + time),
            EntryEvent::Drain => self.draining = true,
            EntryEvent::Tick => self.handle_tick(now, view, out),
        }
    }

    fn submit_request(
        &mut self,
        now: ClockTime,
        view: &FleetView,
        id: RequestId,
        request: Box<CallerRequest>,
        out: &mut Vec<EntryAction>,
    ) {
        match self.admit_request(now, view, request) {
            Ok(state) => {
                self.requests.insert(id, state);
                self.budget.deposit();
                self.place_request(now, view, id, out);
            }
            Err(reason) => {
                let retry_after = DEFAULT_RETRY_AFTER;
                let refusal = FinalRefusal { reason, not_run: true, retry_after };
                out.push(EntryAction::Finish { id, answer: FinalAnswer::Refused(refusal) });
            }
        }
    }

    fn admit_request(
        &mut self,
        now: ClockTime,
        view: &FleetView,
        request: Box<CallerRequest>,
    ) -> Result<RequestState, RefusalReason> {
        if !self.is_admitting() {
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
        let deadline = now + kind.deadline();
        if self.stops_by.is_some_and(|stops_by| deadline > stops_by) {
            return Err(RefusalReason::Stopping);
        }
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
            self.offered.output += f64::from(self.expected_output_tokens(&request));
        }
        if !kind.idempotent {
            validate_key(&request)?;
        }
        Ok(RequestState {
            fingerprint: request.fingerprint(),
            deadline,
            request,
            contract: contract.clone(),
            kind_index,
            revision,
            attempts: 0,
            tried: Default::default(),
            phase: RequestPhase::Unplaced,
            next_chunk: 0,
            text: String::new(),
            cache: None,
            may_have_run: false,
            waiting_since: None,
        })
    }

    pub(super) fn expected_output_tokens(&self, request: &CallerRequest) -> u32 {
        let average = self.output_shares.get(&(request.customer.clone(), request.kind.clone()));
        let share = average.copied().unwrap_or(INITIAL_OUTPUT_SHARE);
        (share * request.max_output_tokens as f32).ceil() as u32
    }

    pub(super) fn crash_count(&self, view: &FleetView, fingerprint: u64) -> u8 {
        view.suspects.merged_crash_count(&self.reported_suspects, fingerprint)
    }

    fn drop_request(&mut self, id: RequestId, out: &mut Vec<EntryAction>) {
        if let Some(state) = self.requests.remove(&id) {
            cancel_work(state, out);
        }
    }

    fn handle_tick(&mut self, now: ClockTime, view: &FleetView, out: &mut Vec<EntryAction>) {
        let silent: Vec<SideId> = self
            .links
            .iter()
            .filter(|(_, last_heard)| now > **last_heard + LINK_TIMEOUT)
            .map(|(side, _)| side.clone())
            .collect();
        for side in silent {
            out.push(EntryAction::CloseLink { side: side.clone() });
            self.handle_link_down(now, view, &side, out);
        }
        if now >= self.next_heartbeat {
            self.next_heartbeat = now + HEARTBEAT_INTERVAL;
            for side in self.links.keys() {
                out.push(EntryAction::Send { side: side.clone(), frame: EntryFrame::Heartbeat });
            }
        }
        self.ready = self.ready || self.has_usable_routes(now, view);
        let ids: Vec<RequestId> = self.requests.keys().copied().collect();
        for id in ids {
            self.check_timeouts(now, view, id, out);
        }
    }

    /// Returns whether each route of the attached sides has a usable target, or
    /// [`MAX_READY_WAIT`] has passed.
    fn has_usable_routes(&self, now: ClockTime, view: &FleetView) -> bool {
        let sides = view.sides.values().filter(|side| !side.detached);
        let descriptions = sides.flat_map(|side| &side.attachment.targets);
        let mut routes: Vec<&str> = descriptions.map(|d| route_name(&d.offer)).collect();
        routes.sort_unstable();
        routes.dedup();
        let usable = |route: &&str| {
            self.estimates.route(route).iter().any(|index| self.estimates.at(*index).is_usable(now))
        };
        let waited = self.started.is_some_and(|started| now > started + MAX_READY_WAIT);
        !routes.is_empty() && (waited || routes.iter().all(usable))
    }

    fn check_timeouts(
        &mut self,
        now: ClockTime,
        view: &FleetView,
        id: RequestId,
        out: &mut Vec<EntryAction>,
    ) {
        let Some(state) = self.requests.get_mut(&id) else { return };
        if now >= state.deadline {
            if matches!(state.phase, RequestPhase::Placed(_)) {
                state.may_have_run = true;
            }
            self.refuse_request(id, RefusalReason::DeadlineExceeded, DEFAULT_RETRY_AFTER, out);
            return;
        }
        if state.phase == RequestPhase::Unplaced {
            self.place_request(now, view, id, out);
            return;
        }
        let RequestPhase::Placed(placed) = &state.phase else { return };
        if placed.accepted || now <= placed.sent + PLACE_TIMEOUT {
            return;
        }
        let (side, attempt, target) = (placed.side.clone(), placed.attempt, placed.target.clone());
        state.tried.push(target);
        out.push(EntryAction::Send { side, frame: EntryFrame::Cancel { attempt } });
        self.retry_lost_attempt(now, view, id, out);
    }

    pub(super) fn refuse_request(
        &mut self,
        id: RequestId,
        reason: RefusalReason,
        retry_after: Duration,
        out: &mut Vec<EntryAction>,
    ) {
        let Some(state) = self.requests.get(&id) else { return };
        let not_run = !state.may_have_run;
        let reason = match reason {
            RefusalReason::DeadlineExceeded if !not_run && !state.kind().idempotent => {
                RefusalReason::OutcomeUnknown
            }
            _ => reason,
        };
        let retry_after = retry_after.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER);
        let refusal = FinalRefusal { reason, not_run, retry_after };
        self.finish_request(id, FinalAnswer::Refused(refusal), out);
    }

    pub(super) fn finish_request(
        &mut self,
        id: RequestId,
        answer: FinalAnswer,
        out: &mut Vec<EntryAction>,
    ) {
        let Some(state) = self.requests.remove(&id) else { return };
        cancel_work(state, out);
        out.push(EntryAction::Finish { id, answer });
    }
}

fn validate_key(request: &CallerRequest) -> Result<(), RefusalReason> {
    let key = request.key.clone().ok_or(RefusalReason::BadKey)?;
    let key = ClaimKey { customer: request.customer.clone(), key };
    key.issued().map(|_| ()).ok_or(RefusalReason::BadKey)
}

/// Cancels the attempt in flight and releases the KV cache of a request that has ended.
fn cancel_work(mut state: RequestState, out: &mut Vec<EntryAction>) {
    release_cache(&mut state, out);
    if let RequestPhase::Placed(PlacedAttempt { side, attempt, .. }) = state.phase {
        out.push(EntryAction::Send { side, frame: EntryFrame::Cancel { attempt } });
    }
}
