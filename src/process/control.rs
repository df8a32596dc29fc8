//! Control thread: the only owner of the fleet's state and of the role's state machine.

use std::{
    collections::VecDeque,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, Instant},
};

use arc_swap::ArcSwap;
use serde::Serialize;
use tokio::sync::{mpsc, oneshot};

use super::metrics::ProcessMetrics;
use crate::{
    carry,
    entry::{EntryAction, EntryEvent, EntryMachine},
    error::{Error, ErrorCode, Result},
    fold::{ChangeResult, FleetState, FleetView, StoredRecord},
    ids::{ChangeId, ClockTime, LogOffset, LogTime},
    record::LogRecord,
    side::{SideAction, SideEvent, SideMachine},
};

/// Largest number of recent records kept for peers that cannot reach the log.
const MAX_RECENT_RECORDS: usize = 4096;
/// Largest number of records in one response to a peer.
const MAX_PEER_RECORDS: usize = 512;
/// Interval between checks for state that has to be appended to the log again.
const CARRY_INTERVAL: Duration = Duration::from_secs(1);
/// Interval between tick events.
const TICK_INTERVAL: Duration = Duration::from_millis(20);

/// State machine of a process role, run by the control thread.
pub trait RoleMachine: Send + Serialize + 'static {
    /// Input of the machine.
    type Event: Send + 'static;
    /// Output of the machine, which the process performs.
    type Action: Send + 'static;

    /// Handles one event and pushes the resulting actions to `out`.
    fn step(
        &mut self,
        now: ClockTime,
        fleet: &FleetState,
        event: Self::Event,
        out: &mut Vec<Self::Action>,
    );
    /// Returns the event that is sent every tick.
    fn tick() -> Self::Event;
    /// Returns the event that is sent after records have been applied.
    fn log_advanced() -> Self::Event;
    /// Returns a record to append, such as a new role plan, if the role proposes one now.
    fn propose(&mut self, now: ClockTime, view: &FleetView) -> Option<LogRecord>;
    /// Returns whether no work is in flight.
    fn is_idle(&self) -> bool;
    /// Returns whether the process should receive new work.
    fn is_ready(&self) -> bool;
}

/// Message to the control thread.
pub enum ControlMessage<E> {
    /// Event for the role's machine.
    Event(E),
    /// Records read from the log or a peer.
    Records {
        /// Records in order of their offsets.
        records: Vec<StoredRecord>,
        /// Time of the log's clock after these records, if known.
        time: Option<LogTime>,
    },
    /// The log has deleted records that this process has not read.
    Skip {
        /// Oldest offset that the log still holds.
        first: LogOffset,
    },
    /// Fleet state of a peer, which replaces the state of this process if it is newer.
    Adopt(Box<FleetState>),
    /// Requests a dump of the process's state as JSON.
    Dump(oneshot::Sender<serde_json::Value>),
    /// Requests a copy of the fleet's state.
    Fleet(oneshot::Sender<FleetState>),
    /// Requests the recent records from an offset on.
    Recent(LogOffset, oneshot::Sender<RecentRecords>),
    /// Requests the result of a change; `None` while it is unknown.
    Result(ChangeId, oneshot::Sender<Option<ChangeResult>>),
    /// Requests whether the machine is idle.
    Idle(oneshot::Sender<bool>),
    /// Stops the thread.
    Stop,
}

/// Recent records, as sent to a peer.
#[derive(Debug, Clone, PartialEq, Serialize, serde::Deserialize)]
pub struct RecentRecords {
    /// Offset of the next record that the sender will read.
    pub next: LogOffset,
    /// Latest time of the log's clock that the sender knows.
    pub time: LogTime,
    /// Up to `MAX_PEER_RECORDS` records from the requested offset on, or from the oldest that
    /// the sender still keeps.
    pub records: Vec<StoredRecord>,
    /// Whether the sender still keeps all records from the requested offset on.
    pub complete: bool,
}

/// Settings of a control thread.
#[derive(Debug, Clone)]
pub struct ControlSettings {
    /// How long the log service keeps records.
    pub retention: Duration,
    /// Rank of this process among those that append state again and propose role plans; a
    /// higher rank waits longer.
    pub rank: u32,
}

/// Handle to a running control thread.
pub struct ControlHandle<E> {
    sender: mpsc::UnboundedSender<ControlMessage<E>>,
    view: Arc<ArcSwap<FleetView>>,
    ready: Arc<AtomicBool>,
}

impl<E> Clone for ControlHandle<E> {
    fn clone(&self) -> ControlHandle<E> {
        ControlHandle {
            sender: self.sender.clone(),
            view: self.view.clone(),
            ready: self.ready.clone(),
        }
    }
}

struct ControlLoop<M: RoleMachine> {
    machine: M,
    fleet: FleetState,
    started: Instant,
    recent: VecDeque<StoredRecord>,
    view: Arc<ArcSwap<FleetView>>,
    ready: Arc<AtomicBool>,
    metrics: Arc<ProcessMetrics>,
    settings: ControlSettings,
    next_carry: ClockTime,
    actions: Vec<M::Action>,
    perform: Box<dyn FnMut(M::Action) + Send>,
    append: Box<dyn FnMut(LogRecord) + Send>,
}

/// Starts a control thread.
///
/// `perform` executes the machine's actions and must not block; `append` queues
/// a record that the process itself appends to the log.
///
/// # Errors
/// Returns [`ErrorCode::Network`] if the thread or its runtime cannot be created.
pub fn spawn<M: RoleMachine>(
    machine: M,
    settings: ControlSettings,
    metrics: Arc<ProcessMetrics>,
    perform: impl FnMut(M::Action) + Send + 'static,
    append: impl FnMut(LogRecord) + Send + 'static,
) -> Result<ControlHandle<M::Event>> {
    let (sender, receiver) = mpsc::unbounded_channel();
    let view = Arc::new(ArcSwap::from_pointee(FleetView::default()));
    let ready = Arc::new(AtomicBool::new(false));
    let control = ControlLoop {
        machine,
        fleet: FleetState::default(),
        started: Instant::now(),
        recent: VecDeque::new(),
        view: view.clone(),
        ready: ready.clone(),
        metrics,
        settings,
        next_carry: ClockTime::ZERO,
        actions: Vec::new(),
        perform: Box::new(perform),
        append: Box::new(append),
    };
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .build()
        .map_err(|e| Error::new(ErrorCode::Network, format!("control runtime ({e})")))?;
    std::thread::Builder::new()
        .name("control".to_owned())
        .spawn(move || runtime.block_on(control.run(receiver)))
        .map_err(|e| Error::new(ErrorCode::Network, format!("control thread ({e})")))?;
    Ok(ControlHandle { sender, view, ready })
}

impl<E> ControlHandle<E> {
    /// Sends an event to the role's machine.
    pub fn send_event(&self, event: E) {
        self.send(ControlMessage::Event(event));
    }

    /// Sends a message to the thread.
    pub fn send(&self, message: ControlMessage<E>) {
        // The thread runs as long as the process, so a send fails only at shutdown.
        self.sender.send(message).ok();
    }

    /// Returns whether the process should receive new work, as of the last tick.
    pub fn is_ready(&self) -> bool {
        self.ready.load(Ordering::Relaxed)
    }

    /// Returns the newest snapshot of the fleet.
    pub fn view(&self) -> Arc<FleetView> {
        self.view.load_full()
    }

    /// Sends a query and waits for the reply.
    ///
    /// # Errors
    /// Returns [`ErrorCode::Timeout`] if the thread has ended.
    pub async fn query<T>(
        &self,
        query: impl FnOnce(oneshot::Sender<T>) -> ControlMessage<E>,
    ) -> Result<T> {
        let (sender, receiver) = oneshot::channel();
        self.send(query(sender));
        receiver.await.map_err(|_| Error::new(ErrorCode::Timeout, "control thread"))
    }
}

impl<M: RoleMachine> ControlLoop<M> {
    async fn run(mut self, mut receiver: mpsc::UnboundedReceiver<ControlMessage<M::Event>>) {
        let mut ticks = tokio::time::interval(TICK_INTERVAL);
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Skip);
        loop {
            tokio::select! {
                message = receiver.recv() => match message {
                    None | Some(ControlMessage::Stop) => return,
                    Some(message) => self.handle(message),
                },
                _ = ticks.tick() => self.tick(),
            }
        }
    }

    fn handle(&mut self, message: ControlMessage<M::Event>) {
        match message {
            ControlMessage::Event(event) => self.step(event),
            ControlMessage::Records { records, time } => self.apply_records(records, time),
            ControlMessage::Skip { first } => self.skip_to(first),
            ControlMessage::Adopt(fleet) => self.adopt_fleet(*fleet),
            ControlMessage::Dump(reply) => reply.send(self.dump()).unwrap_or_default(),
            ControlMessage::Fleet(reply) => drop(reply.send(self.fleet.clone())),
            ControlMessage::Recent(from, reply) => drop(reply.send(self.recent_from(from))),
            ControlMessage::Result(change, reply) => {
                drop(reply.send(self.fleet.result(&change).cloned()))
            }
            ControlMessage::Idle(reply) => reply.send(self.machine.is_idle()).unwrap_or_default(),
            ControlMessage::Stop => {}
        }
    }

    fn now(&self) -> ClockTime {
        self.started.elapsed()
    }

    fn step(&mut self, event: M::Event) {
        let started = Instant::now();
        let now = self.now();
        self.machine.step(now, &self.fleet, event, &mut self.actions);
        self.metrics.decisions.inc();
        self.metrics.decision_seconds.inc_by(started.elapsed().as_secs_f64());
        for action in self.actions.drain(..) {
            (self.perform)(action);
        }
    }

    fn tick(&mut self) {
        self.step(M::tick());
        let now = self.now();
        self.ready.store(self.machine.is_ready(), Ordering::Relaxed);
        if let Some(record) = self.machine.propose(now, self.fleet.view()) {
            (self.append)(record);
        }
        if now >= self.next_carry {
            self.next_carry = now + CARRY_INTERVAL;
            self.append_due_state();
        }
    }

    fn append_due_state(&mut self) {
        let retention = self.settings.retention;
        self.fleet.drop_tombstones(carry::tombstone_limit(self.fleet.view().time, retention));
        let unknown = self.fleet.claims().unknown_outcomes(self.fleet.view().time).count();
        self.metrics.unknown_outcomes.set(unknown as i64);
        for record in carry::due_records(&self.fleet, retention, self.settings.rank) {
            (self.append)(record);
        }
    }

    fn apply_records(&mut self, records: Vec<StoredRecord>, time: Option<LogTime>) {
        for record in records {
            if record.offset < self.fleet.view().next {
                continue;
            }
            self.fleet.apply(&record);
            if self.recent.len() == MAX_RECENT_RECORDS {
                self.recent.pop_front();
            }
            self.recent.push_back(record);
        }
        if let Some(time) = time {
            self.fleet.advance_time(time);
        }
        self.publish_view();
        self.step(M::log_advanced());
    }

    fn skip_to(&mut self, first: LogOffset) {
        self.fleet.skip_to(first);
        self.publish_view();
    }

    fn adopt_fleet(&mut self, fleet: FleetState) {
        if fleet.view().next <= self.fleet.view().next {
            return;
        }
        self.fleet = fleet;
        self.recent.clear();
        self.publish_view();
        self.step(M::log_advanced());
    }

    fn publish_view(&mut self) {
        self.view.store(Arc::new(self.fleet.view().clone()));
        self.metrics.log_next.set(self.fleet.view().next as i64);
    }

    fn recent_from(&self, from: LogOffset) -> RecentRecords {
        let next = self.fleet.view().next;
        let oldest = self.recent.front().map_or(next, |record| record.offset);
        let wanted =
            self.recent.iter().filter(|record| record.offset >= from).take(MAX_PEER_RECORDS);
        RecentRecords {
            next,
            time: self.fleet.view().time,
            records: wanted.cloned().collect(),
            complete: from >= oldest,
        }
    }

    fn dump(&self) -> serde_json::Value {
        serde_json::json!({
            "clock_ms": self.now().as_millis() as u64,
            "fleet": self.fleet.view(),
            "unknown_outcomes": self
                .fleet
                .claims()
                .unknown_outcomes(self.fleet.view().time)
                .collect::<Vec<_>>(),
            "claims": self.fleet.claims().len(),
            "machine": serde_json::to_value(&self.machine).unwrap_or_default(),
        })
    }
}

/// State machine of an entry, together with its role planner.
#[derive(Debug, Serialize)]
pub struct EntryRole {
    /// Places requests and tracks them to their final answers.
    pub machine: EntryMachine,
    /// Proposes role plans.
    #[serde(skip)]
    pub planner: crate::planner::RolePlanner,
}

impl RoleMachine for EntryRole {
    type Event = EntryEvent;
    type Action = EntryAction;

    fn step(
        &mut self,
        now: ClockTime,
        fleet: &FleetState,
        event: EntryEvent,
        out: &mut Vec<EntryAction>,
    ) {
        self.machine.step(now, fleet.view(), event, out);
    }

    fn tick() -> EntryEvent {
        EntryEvent::Tick
    }

    fn log_advanced() -> EntryEvent {
        EntryEvent::LogAdvanced
    }

    fn propose(&mut self, now: ClockTime, view: &FleetView) -> Option<LogRecord> {
        self.planner.propose(now, view, &self.machine).map(LogRecord::Plan)
    }

    fn is_idle(&self) -> bool {
        self.machine.in_flight() == 0
    }

    fn is_ready(&self) -> bool {
        self.machine.is_ready()
    }
}

impl RoleMachine for SideMachine {
    type Event = SideEvent;
    type Action = SideAction;

    fn step(
        &mut self,
        now: ClockTime,
        fleet: &FleetState,
        event: SideEvent,
        out: &mut Vec<SideAction>,
    ) {
        SideMachine::step(self, now, fleet, event, out);
    }

    fn tick() -> SideEvent {
        SideEvent::Tick
    }

    fn log_advanced() -> SideEvent {
        SideEvent::LogAdvanced
    }

    fn propose(&mut self, _now: ClockTime, _view: &FleetView) -> Option<LogRecord> {
        None
    }

    fn is_idle(&self) -> bool {
        SideMachine::is_idle(self)
    }

    fn is_ready(&self) -> bool {
        true
    }
}
