//! I/O driver of a direct entry: the state that all of its tasks share, on one thread.

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    net::SocketAddr,
    rc::Rc,
    sync::Arc,
    time::Duration,
};

use hyper::{StatusCode, header::HeaderMap};
use tokio::{
    sync::{Mutex, Notify, mpsc, watch},
    time::Instant,
};

use super::{
    call,
    copy::{KnownRecords, OutgoingCopies, RecordAges},
    fault::ResponseFault,
    gossip::PeerLink,
    metrics::{BlockedCounts, DirectMetrics, FaultLabels, StateGauges, StoreLabels},
    orders,
    pool::TargetPools,
    request_body::BodyMemory,
    scale, suspects,
    usage::{self, UsageLink},
    versions,
};
use crate::{
    direct::{
        DirectAction, DirectEvent, DirectMachine, DirectTarget, FlowId, HeldPart, LeavingTarget,
        LoadReport, PeerName, ReceivedEvents, RequestRate, RequestTrace, RouteTable, ShareReport,
        StopPhase, SuspectReport, UsageAction, UsageEvent,
    },
    ids::ClockTime,
    platform::{
        configuration, discovery,
        generation::GenerationWatch,
        runner,
        settings::{ScaleTarget, UsageTarget},
        store::{RecordPage, StoreClient},
    },
    process::logging,
};

/// Metric label of a store read that succeeded.
pub(super) const STORE_READ_OK: &str = "read";

/// How a process treats its callers' connections, from normal service to shutdown.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ConnectionPhase {
    /// Keep connections open.
    Open,
    /// Close each connection after its next response.
    CloseAfterResponse,
    /// Close idle connections at once.
    CloseIdle,
}

/// Counts a caller's connection as busy from its first request until it is dropped.
pub(super) struct ConnectionGuard {
    driver: Rc<DirectDriver>,
    busy: Cell<bool>,
}

impl ConnectionGuard {
    pub(super) fn new(driver: Rc<DirectDriver>) -> ConnectionGuard {
        ConnectionGuard { driver, busy: Cell::new(false) }
    }

    pub(super) fn record_request(&self) {
        if !self.busy.replace(true) {
            let busy = &self.driver.busy_connections;
            busy.set(busy.get() + 1);
        }
    }
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        if self.busy.get() {
            let busy = &self.driver.busy_connections;
            busy.set(busy.get() - 1);
        }
    }
}

/// Runs the state machine of a direct entry and carries out its actions.
pub(super) struct DirectDriver {
    machine: RefCell<DirectMachine>,
    action_senders: RefCell<HashMap<FlowId, mpsc::UnboundedSender<DirectAction>>>,
    pub(super) pools: TargetPools,
    pub(super) connection_phase: watch::Sender<ConnectionPhase>,
    pub(super) records: RefCell<KnownRecords>,
    pub(super) metrics: DirectMetrics,
    /// When each topic of the store was last read, by this process or by the peer
    /// that its records were copied from.
    last_reads: RefCell<HashMap<&'static str, Instant>>,
    /// Whether the last read of the store succeeded.
    store_answers: Cell<bool>,
    /// Copies of the records for starting peers.
    pub(super) copies: OutgoingCopies,
    /// Sends messages to peers once their port is open.
    pub(super) peer_link: RefCell<Option<PeerLink>>,
    store: SocketAddr,
    /// Generations of the store that any of this process's calls has seen.
    pub(super) generations: GenerationWatch,
    /// Notified when a request waits for the list of targets.
    pub(super) target_demand: Rc<Notify>,
    /// Memory for the bodies of callers' requests.
    pub(super) bodies: BodyMemory,
    /// Connection for writing software versions, one after the other.
    pub(super) version_store: Mutex<StoreClient>,
    /// Connections of the usage duty, where there is one.
    pub(super) usage_link: Option<Rc<UsageLink>>,
    /// Interface that takes orders for the number of targets, where there is one.
    pub(super) scale_target: Option<ScaleTarget>,
    name: PeerName,
    started: Instant,
    /// When the stop signal came, if it has.
    stop_started: Cell<Option<Instant>>,
    /// Number of callers' connections that have brought a request.
    busy_connections: Cell<usize>,
    next_flow: Cell<FlowId>,
}

impl DirectDriver {
    pub(super) fn new(
        machine: DirectMachine,
        store: SocketAddr,
        bodies: BodyMemory,
        usage: Option<UsageTarget>,
        scale_target: Option<ScaleTarget>,
    ) -> DirectDriver {
        let generations = GenerationWatch::default();
        let version_store = Mutex::new(StoreClient::new(store, generations.clone()));
        let usage_store = || StoreClient::new(store, generations.clone());
        let usage_link = usage.map(|target| Rc::new(UsageLink::new(target, usage_store())));
        DirectDriver {
            usage_link,
            scale_target,
            name: machine.name().clone(),
            machine: RefCell::new(machine),
            action_senders: RefCell::default(),
            pools: TargetPools::default(),
            connection_phase: watch::Sender::new(ConnectionPhase::Open),
            records: RefCell::default(),
            metrics: DirectMetrics::default(),
            last_reads: RefCell::default(),
            store_answers: Cell::default(),
            copies: OutgoingCopies::default(),
            peer_link: RefCell::default(),
            store,
            generations,
            target_demand: Rc::default(),
            bodies,
            version_store,
            started: Instant::now(),
            stop_started: Cell::default(),
            busy_connections: Cell::default(),
            next_flow: Cell::new(0),
        }
    }

    pub(super) fn now(&self) -> ClockTime {
        self.started.elapsed()
    }

    /// Returns a new client of the store, which connects with its first call.
    pub(super) fn store_client(&self) -> StoreClient {
        StoreClient::new(self.store, self.generations.clone())
    }

    /// Registers a new request and returns the receiver of its actions.
    pub(super) fn open_flow(&self) -> (FlowId, mpsc::UnboundedReceiver<DirectAction>) {
        let flow = self.next_flow.get() + 1;
        self.next_flow.set(flow);
        let (sender, receiver) = mpsc::unbounded_channel();
        self.action_senders.borrow_mut().insert(flow, sender);
        (flow, receiver)
    }

    pub(super) fn close_flow(self: &Rc<Self>, flow: FlowId, complete: bool) {
        self.action_senders.borrow_mut().remove(&flow);
        self.step(DirectEvent::FlowEnded { flow, complete });
    }

    /// Passes an event to the state machine and carries out the resulting actions.
    pub(super) fn step(self: &Rc<Self>, event: DirectEvent) {
        let mut actions = Vec::new();
        self.machine.borrow_mut().step(self.now(), event, &mut actions);
        for action in actions {
            self.perform(action);
        }
    }

    /// Records what the head of a target's response states about the target itself: that it
    /// leaves, wants no requests for a while, or takes so many a second. `called` is when the
    /// call was sent.
    pub(super) fn record_statements(
        self: &Rc<Self>,
        target: &DirectTarget,
        called: Instant,
        status: StatusCode,
        headers: &HeaderMap,
    ) {
        // Another target answers there, which says nothing of this one.
        if status != StatusCode::MISDIRECTED_REQUEST {
            self.record_limit(target, called, runner::request_limit(headers));
        }
        if let Some(time) = runner::closed_time(status, headers) {
            log::info!(
                target_id:% = target.id, time_ms:% = time.as_millis();
                "target wants no requests"
            );
            self.step(DirectEvent::TargetClosed { target: target.id.clone(), time });
        }
        if !runner::is_leaving(headers) {
            return;
        }
        if !target.leaving {
            log::info!(target_id:% = target.id; "target states that it leaves");
        }
        let leaving = LeavingTarget { target: target.id.clone(), born_ms: target.born_ms };
        self.step(DirectEvent::TargetLeaving(leaving));
    }

    /// Records the limit on requests that a response states, or that it states none.
    fn record_limit(
        self: &Rc<Self>,
        target: &DirectTarget,
        called: Instant,
        limit: Option<RequestRate>,
    ) {
        let start = (target.id.clone(), target.born_ms);
        let before = self.machine.borrow().target_limit(&target.id);
        if limit.is_none() && before.is_none() {
            return;
        }
        self.step(DirectEvent::TargetResponded { start, limit, called: called.elapsed() });
        let after = self.machine.borrow().target_limit(&target.id);
        if before != after {
            log::info!(
                target_id:% = target.id, before:? = before, limit:? = after;
                "request limit of target changed"
            );
        }
    }

    /// Counts and logs a target's response that is given up.
    pub(super) fn record_fault(
        &self,
        target: &DirectTarget,
        fault: ResponseFault,
        error: &dyn std::fmt::Display,
    ) {
        let fault = <&str>::from(fault);
        self.metrics.faults.get_or_create(&FaultLabels { fault }).inc();
        log::warn!(
            target_id:% = target.id, fault:% = fault, error:% = error;
            "target's response given up"
        );
    }

    pub(super) fn tick(self: &Rc<Self>) {
        self.update_clock();
        self.step(DirectEvent::Tick);
    }

    /// Tells the state machine the time of day, if it has to know it.
    pub(super) fn update_clock(self: &Rc<Self>) {
        if let Some(link) = &self.usage_link {
            self.step(DirectEvent::Usage(UsageEvent::Clock(link.time())));
        }
    }

    fn perform(self: &Rc<Self>, action: DirectAction) {
        match action {
            DirectAction::Call { flow, .. }
            | DirectAction::Deliver { flow, .. }
            | DirectAction::BreakOff { flow }
            | DirectAction::Fail { flow, .. } => {
                if let Some(sender) = self.action_senders.borrow().get(&flow) {
                    // The send fails only if the caller has just disconnected.
                    drop(sender.send(action));
                }
            }
            DirectAction::FreeCache { target, handle } => {
                tokio::task::spawn_local(call::free_cache(self.clone(), target, handle));
            }
            DirectAction::SendToPeers { peers, message } => {
                if let Some(link) = self.peer_link.borrow().as_ref() {
                    link.send(self, &peers, message);
                }
            }
            DirectAction::ReadTargets => self.target_demand.notify_one(),
            DirectAction::ReadVersions => {
                tokio::task::spawn_local(versions::read(self.clone()));
            }
            DirectAction::PersistVersion(change) => {
                tokio::task::spawn_local(versions::write(self.clone(), change));
            }
            DirectAction::Claim => {
                tokio::task::spawn_local(orders::claim(self.clone()));
            }
            DirectAction::Order(order) => {
                tokio::task::spawn_local(orders::order(self.clone(), order));
            }
            DirectAction::PersistSuspect(change) => {
                tokio::task::spawn_local(suspects::write(self.clone(), change));
            }
            DirectAction::PersistEvidence(change) => {
                tokio::task::spawn_local(suspects::write_evidence(self.clone(), change));
            }
            DirectAction::Usage(UsageAction::Send { peer, message }) => {
                if let Some(link) = self.peer_link.borrow().as_ref() {
                    link.send_usage(self, &peer, message);
                }
            }
            DirectAction::Usage(action) => {
                tokio::task::spawn_local(usage::perform(self.clone(), action));
            }
            DirectAction::Scale(action) => {
                tokio::task::spawn_local(scale::perform(self.clone(), action));
            }
            DirectAction::ProbeTarget(target) => {
                tokio::task::spawn_local(call::probe(self.clone(), target));
            }
        }
    }

    pub(super) fn routes(&self) -> Option<Arc<RouteTable>> {
        self.machine.borrow().routes().cloned()
    }

    /// Returns the number of connections that this process may open to a target.
    pub(super) fn connection_limit(&self, target: &DirectTarget) -> usize {
        self.machine.borrow().connection_limit(&target.service)
    }

    /// Returns which part of a response is read before any of it is passed on.
    pub(super) fn held_part(&self, flow: FlowId) -> HeldPart {
        self.machine.borrow().held_part(flow)
    }

    /// Returns whether a response that was held back may begin, of which these events have come.
    pub(super) fn may_begin(&self, flow: FlowId, received: ReceivedEvents) -> bool {
        self.machine.borrow_mut().may_begin(self.now(), flow, received)
    }

    pub(super) fn trace(&self, flow: FlowId) -> Option<RequestTrace> {
        self.machine.borrow().trace(self.now(), flow)
    }

    pub(super) fn load_report(&self, full: bool) -> LoadReport {
        self.machine.borrow_mut().load_report(self.now(), full)
    }

    /// Returns the time from a restore of the store to this process's turn to write what it lost.
    pub(super) fn restore_delay(&self) -> Duration {
        self.machine.borrow().restore_delay()
    }

    pub(super) fn share_report(&self) -> Option<ShareReport> {
        self.machine.borrow_mut().share_report(self.now())
    }

    pub(super) fn suspect_report(&self) -> SuspectReport {
        self.machine.borrow().suspect_report(self.now())
    }

    /// Returns the name of this process among the entries.
    pub(super) fn name(&self) -> &str {
        &self.name
    }

    /// Returns the engine load that stage orders are based on: the mean prompt wait in
    /// seconds, and the share of decode slots in use.
    pub(super) fn stage_load(&self) -> (f32, f32) {
        self.machine.borrow().stage_load()
    }

    /// Returns whether a configuration and targets are known, also while stopping.
    pub(super) fn has_initial_state(&self) -> bool {
        self.machine.borrow().is_ready()
    }

    /// Records the result and duration of a store read in the metrics.
    pub(super) fn record_store_read(&self, topic: &'static str, end: &'static str, took: Duration) {
        self.store_answers.set(end == STORE_READ_OK);
        self.metrics.store_calls.get_or_create(&StoreLabels { topic, end }).inc();
        self.metrics.store_seconds.observe(took.as_secs_f64());
    }

    /// Returns whether the store answers, and has yet to provide records that a starting process
    /// needs. A store that has none of them, as after a loss of its registrations, provides none.
    pub(super) fn is_store_answering(&self) -> bool {
        let reads = self.last_reads.borrow();
        let is_read = |topic| reads.contains_key(topic);
        self.store_answers.get() && !(is_read(configuration::TOPIC) && is_read(discovery::TOPIC))
    }

    /// Records a page of a topic, and that the topic was read if it reached the end.
    pub(super) fn record_page(&self, topic: &'static str, page: &RecordPage) {
        if page.reached_end {
            self.last_reads.borrow_mut().insert(topic, Instant::now());
        }
        if !page.records.is_empty() {
            self.metrics.record_transfer(topic, page.transfer);
        }
    }

    /// Returns the time since a topic was read to its end, or since the start.
    pub(super) fn topic_age(&self, topic: &'static str) -> Duration {
        self.last_reads.borrow().get(topic).unwrap_or(&self.started).elapsed()
    }

    /// Records the ages of copied records, as if this process had read them at that time.
    pub(super) fn record_copied_ages(&self, ages: RecordAges) {
        let copied = [(configuration::TOPIC, ages.configuration), (discovery::TOPIC, ages.targets)];
        for (topic, age) in copied {
            // The clock cannot represent times before its origin; the start is the closest.
            let read = Instant::now().checked_sub(age).unwrap_or(self.started);
            self.last_reads.borrow_mut().entry(topic).or_insert(read);
        }
    }

    /// Returns the times since each topic was read; a topic never read has the process's age.
    pub(super) fn record_ages(&self) -> RecordAges {
        RecordAges {
            configuration: self.topic_age(configuration::TOPIC),
            targets: self.topic_age(discovery::TOPIC),
        }
    }

    /// Returns the metrics in the Prometheus text format.
    pub(super) fn metrics_text(&self) -> String {
        let machine = self.machine.borrow();
        let ages = self.record_ages();
        self.metrics.text(StateGauges {
            in_flight: machine.in_flight(),
            targets: machine.fleet().len(),
            peers: machine.peer_count(),
            limited_targets: machine.limited_targets(),
            limited_customers: machine.limited_customers(),
            blocked: BlockedCounts::of(machine.blocked_suspects(self.now())),
            version: machine.routes().map_or(0, |routes| routes.version),
            configuration_age: ages.configuration,
            targets_age: ages.targets,
            log_lines_dropped: logging::dropped_lines(),
            usage: machine.usage_state(self.now()),
            holds_scale_duty: machine.holds_scale_duty(),
        })
    }

    /// Returns the complete state of the state machine as JSON.
    pub(super) fn state_json(&self) -> serde_json::Result<Vec<u8>> {
        serde_json::to_vec_pretty(&*self.machine.borrow())
    }

    pub(super) fn in_flight(&self) -> usize {
        self.machine.borrow().in_flight()
    }

    pub(super) fn is_ready(&self) -> bool {
        !self.is_stopping() && self.machine.borrow().is_ready()
    }

    pub(super) fn is_stopping(&self) -> bool {
        *self.connection_phase.borrow() != ConnectionPhase::Open
    }

    /// Starts the shutdown, which ends within `time`: the readiness probe fails, and each
    /// connection closes after its next response.
    pub(super) fn begin_shutdown(self: &Rc<Self>, time: Duration) {
        self.stop_started.set(Some(Instant::now()));
        self.step(DirectEvent::StopRequested { time });
        self.connection_phase.send_replace(ConnectionPhase::CloseAfterResponse);
    }

    /// Returns the time since the stop signal, if it came.
    pub(super) fn stopping_for(&self) -> Option<Duration> {
        self.stop_started.get().map(|started| started.elapsed())
    }

    pub(super) fn stop_phase(&self) -> StopPhase {
        self.machine.borrow().stop_phase(self.now())
    }

    /// Ends the requests that are still in flight as the process exits.
    pub(super) fn end_shutdown(self: &Rc<Self>) {
        self.step(DirectEvent::StopTimeOver);
    }

    /// Returns the number of connections that have brought a request and are still open.
    pub(super) fn busy_connections(&self) -> usize {
        self.busy_connections.get()
    }

    /// Logs each request that ends with the process.
    pub(super) fn log_unfinished(&self) {
        for (request, trace) in self.machine.borrow().unfinished(self.now()) {
            log::warn!(
                request:% = request, route:% = trace.route, calls:% = trace.calls.join("; ");
                "process ends before the request"
            );
        }
    }

    pub(super) fn close_idle_connections(&self) {
        self.connection_phase.send_replace(ConnectionPhase::CloseIdle);
    }
}
