//! State that all tasks of a direct entry share, on one thread.

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    net::SocketAddr,
    rc::Rc,
    sync::Arc,
};

use tokio::{
    sync::{mpsc, watch},
    time::Instant,
};

use super::{call, pool::TargetPools, suspects};
use crate::{
    direct::{
        CrashReport, DirectAction, DirectEvent, DirectMachine, DirectStory, DirectTarget, FlowId,
        LoadReport, RouteTable,
    },
    ids::ClockTime,
};

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
    store: SocketAddr,
    started: Instant,
    next_flow: Cell<FlowId>,
}

impl DirectShell {
    pub(super) fn new(machine: DirectMachine, store: SocketAddr) -> DirectShell {
        DirectShell {
            machine: RefCell::new(machine),
            mailboxes: RefCell::default(),
            pools: TargetPools::default(),
            phase: watch::Sender::new(ConnectionPhase::Open),
            crashes: RefCell::default(),
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
        self.step(DirectEvent::FlowEnded { flow, whole });
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
            | DirectAction::GiveUp { flow, .. } => {
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
            DirectAction::KeepSuspect(change) => {
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

    pub(super) fn story(&self, flow: FlowId) -> Option<DirectStory> {
        self.machine.borrow().story(self.now(), flow)
    }

    pub(super) fn load_report(&self, whole: bool) -> LoadReport {
        self.machine.borrow_mut().load_report(self.now(), whole)
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
