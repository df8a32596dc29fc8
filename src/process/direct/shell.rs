//! State that all tasks of a direct entry share, on one thread.

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    net::SocketAddr,
    rc::Rc,
    sync::Arc,
    time::Duration,
};

use tokio::{
    sync::{mpsc, watch},
    time::Instant,
};

use super::{
    call,
    copy::{KnownRecords, RecordAges},
    metrics::{DirectMetrics, StateFigures, StoreLabels},
    orders,
    pool::TargetPools,
    suspects,
};
use crate::{
    direct::{
        CrashReport, DirectAction, DirectEvent, DirectMachine, DirectTarget, FlowId, LoadReport,
        PeerName, RequestTrace, RouteTable,
    },
    ids::ClockTime,
    platform::{configuration, discovery},
    process::logging,
};

/// Word for a read of the store that was answered.
pub(super) const STORE_READ: &str = "read";

/// What a stopping process asks of its connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ConnectionPhase {
    /// Keep them.
    Open,
    /// Close each after its next answer.
    Closing,
    /// Close idle ones at once.
    Ending,
}

/// State of a direct entry.
pub(super) struct DirectShell {
    machine: RefCell<DirectMachine>,
    mailboxes: RefCell<HashMap<FlowId, mpsc::UnboundedSender<DirectAction>>>,
    pub(super) pools: TargetPools,
    pub(super) phase: watch::Sender<ConnectionPhase>,
    crashes: RefCell<Vec<(ClockTime, CrashReport)>>,
    pub(super) records: RefCell<KnownRecords>,
    pub(super) metrics: DirectMetrics,
    /// When each topic of the store was last read, by this process or by the peer
    /// from which its records were copied.
    reads: RefCell<HashMap<&'static str, Instant>>,
    pub(super) store: SocketAddr,
    name: PeerName,
    started: Instant,
    next_flow: Cell<FlowId>,
}

impl DirectShell {
    pub(super) fn new(machine: DirectMachine, store: SocketAddr) -> DirectShell {
        DirectShell {
            name: machine.name().clone(),
            machine: RefCell::new(machine),
            mailboxes: RefCell::default(),
            pools: TargetPools::default(),
            phase: watch::Sender::new(ConnectionPhase::Open),
            crashes: RefCell::default(),
            records: RefCell::default(),
            metrics: DirectMetrics::default(),
            reads: RefCell::default(),
            store,
            started: Instant::now(),
            next_flow: Cell::new(0),
        }
    }

    pub(super) fn now(&self) -> ClockTime {
        self.started.elapsed()
    }

    /// Opens a mailbox for a new request.
    pub(super) fn open_flow(&self) -> (FlowId, mpsc::UnboundedReceiver<DirectAction>) {
        let flow = self.next_flow.get() + 1;
        self.next_flow.set(flow);
        let (sender, receiver) = mpsc::unbounded_channel();
        self.mailboxes.borrow_mut().insert(flow, sender);
        (flow, receiver)
    }

    pub(super) fn close_flow(self: &Rc<Self>, flow: FlowId, whole: bool) {
        self.mailboxes.borrow_mut().remove(&flow);
        self.step(DirectEvent::FlowEnded { flow, complete: whole });
    }

    /// Feeds the machine and carries out its actions.
    pub(super) fn step(self: &Rc<Self>, event: DirectEvent) {
        let mut actions = Vec::new();
        self.machine.borrow_mut().step(self.now(), event, &mut actions);
        for action in actions {
            self.perform(action);
        }
    }

    pub(super) fn tick(self: &Rc<Self>) {
        self.step(DirectEvent::Tick);
    }

    fn perform(self: &Rc<Self>, action: DirectAction) {
        match action {
            DirectAction::Call { flow, .. }
            | DirectAction::Deliver { flow, .. }
            | DirectAction::Fail { flow, .. } => {
                if let Some(mailbox) = self.mailboxes.borrow().get(&flow) {
                    // A closed mailbox means that the caller has just left.
                    drop(mailbox.send(action));
                }
            }
            DirectAction::FreeCache { target, handle } => {
                tokio::task::spawn_local(call::free_cache(self.clone(), target, handle));
            }
            DirectAction::ReportCrashes(report) => {
                self.crashes.borrow_mut().push((self.now(), report));
            }
            DirectAction::Claim => {
                tokio::task::spawn_local(orders::claim(self.clone()));
            }
            DirectAction::Order(order) => {
                tokio::task::spawn_local(orders::order(self.clone(), order));
            }
            DirectAction::PersistSuspect(change) => {
                tokio::task::spawn_local(suspects::keep(self.store, change));
            }
        }
    }

    /// Returns the crashes that were seen since a time, and forgets older ones.
    pub(super) fn recent_crashes(&self, since: ClockTime) -> Vec<CrashReport> {
        let mut crashes = self.crashes.borrow_mut();
        crashes.retain(|(seen, _)| *seen >= since);
        crashes.iter().map(|(_, report)| report.clone()).collect()
    }

    pub(super) fn routes(&self) -> Option<Arc<RouteTable>> {
        self.machine.borrow().routes().cloned()
    }

    /// Returns how many connections this process may open to a target.
    pub(super) fn connection_limit(&self, target: &DirectTarget) -> usize {
        self.machine.borrow().connection_limit(&target.service)
    }

    pub(super) fn trace(&self, flow: FlowId) -> Option<RequestTrace> {
        self.machine.borrow().trace(self.now(), flow)
    }

    pub(super) fn load_report(&self, whole: bool) -> LoadReport {
        self.machine.borrow_mut().load_report(self.now(), whole)
    }

    /// Returns the name of this process among the entries.
    pub(super) fn name(&self) -> &str {
        &self.name
    }

    /// Returns the load of the engines that orders follow.
    pub(super) fn stage_load(&self) -> (f32, f32) {
        self.machine.borrow().stage_load()
    }

    /// Tells whether this process could serve: it knows a configuration and targets.
    pub(super) fn knows_enough(&self) -> bool {
        self.machine.borrow().is_ready()
    }

    /// Notes how a read of the store ended.
    pub(super) fn note_store_call(&self, topic: &'static str, end: &'static str, took: Duration) {
        if end == STORE_READ {
            self.reads.borrow_mut().insert(topic, Instant::now());
        }
        self.metrics.store_calls.get_or_create(&StoreLabels { topic, end }).inc();
        self.metrics.store_seconds.observe(took.as_secs_f64());
    }

    /// Notes the ages of copied records, as if this process had read them then.
    pub(super) fn note_copy(&self, ages: RecordAges) {
        let copied = [(configuration::TOPIC, ages.configuration), (discovery::TOPIC, ages.targets)];
        for (topic, age) in copied {
            // An age beyond the clock's beginning cannot be told apart from it.
            let read = Instant::now().checked_sub(age).unwrap_or(self.started);
            self.reads.borrow_mut().entry(topic).or_insert(read);
        }
    }

    /// Returns the ages of the store's records; those never read are as old as the process.
    pub(super) fn record_ages(&self) -> RecordAges {
        let reads = self.reads.borrow();
        let age = |topic| reads.get(topic).unwrap_or(&self.started).elapsed();
        RecordAges { configuration: age(configuration::TOPIC), targets: age(discovery::TOPIC) }
    }

    /// Returns the metrics as text.
    pub(super) fn metrics_text(&self) -> String {
        let machine = self.machine.borrow();
        let ages = self.record_ages();
        self.metrics.text(StateFigures {
            in_flight: machine.in_flight(),
            targets: machine.fleet().len(),
            peers: machine.peer_count(),
            version: machine.routes().map_or(0, |routes| routes.version),
            configuration_age: ages.configuration,
            targets_age: ages.targets,
            log_lines_dropped: logging::dropped_lines(),
        })
    }

    /// Returns the whole state of the machine as JSON.
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
        *self.phase.borrow() != ConnectionPhase::Open
    }

    pub(super) fn stop(&self) {
        self.phase.send_replace(ConnectionPhase::Closing);
    }

    pub(super) fn close_idle(&self) {
        self.phase.send_replace(ConnectionPhase::Ending);
    }
}
