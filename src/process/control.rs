//! The control thread: it alone holds the fold and the role's machine.

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

/// Records that are kept for peers which cannot reach the log.
const KEPT_RECORDS: usize = 4096;
/// Records in one answer to a peer.
const PEER_PAGE: usize = 512;
/// Interval between looks for state to carry.
const CARRY_INTERVAL: Duration = Duration::from_secs(1);
/// Interval between timer events.
const TICK: Duration = Duration::from_millis(20);

/// State machine of a role, as the control thread runs it.
pub trait RoleMachine: Send + Serialize + 'static {
    /// What happens to it.
    type Event: Send + 'static;
    /// What it wants done.
    type Action: Send + 'static;

    /// Handles one event.
    fn step(
        &mut self,
        now: ClockTime,
        fold: &FleetState,
        event: Self::Event,
        out: &mut Vec<Self::Action>,
    );
    /// Returns the event for the passage of time.
    fn tick() -> Self::Event;
    /// Returns the event for new records.
    fn log_advanced() -> Self::Event;
    /// Returns a record that the role wants appended on its own account.
    fn propose(&mut self, now: ClockTime, view: &FleetView) -> Option<LogRecord>;
    /// Tells whether nothing is left to do.
    fn is_idle(&self) -> bool;
    /// Tells whether new work should be sent here.
    fn is_ready(&self) -> bool;
}

/// Message to the control thread.
pub enum ControlMessage<E> {
    /// Event for the role's machine.
    Event(E),
    /// Records that were read, and the log's clock.
    Records {
        /// The records.
        records: Vec<StoredRecord>,
        /// The log's clock, if it was read.
        time: Option<LogTime>,
    },
    /// The log lost records that this process has not read.
    Skip {
        /// Oldest offset that the log holds.
        first: LogOffset,
    },
    /// A peer's state that is newer than this process's.
    Adopt(Box<FleetState>),
    /// Asks for the state as JSON.
    Dump(oneshot::Sender<serde_json::Value>),
    /// Asks for the fold.
    Fold(oneshot::Sender<FleetState>),
    /// Asks for records from an offset on.
    Recent(LogOffset, oneshot::Sender<RecentRecords>),
    /// Asks what became of a change.
    Result(ChangeId, oneshot::Sender<Option<ChangeResult>>),
    /// Asks whether the machine is idle.
    Idle(oneshot::Sender<bool>),
    /// Ends the thread.
    Stop,
}

/// Records for a peer.
#[derive(Debug, Clone, PartialEq, Serialize, serde::Deserialize)]
pub struct RecentRecords {
    /// Offset of the next record that this process will read.
    pub next: LogOffset,
    /// The log's clock as this process knows it.
    pub time: LogTime,
    /// The records; empty where the wanted ones are no longer kept.
    pub records: Vec<StoredRecord>,
    /// Whether `records` starts at the wanted offset.
    pub complete: bool,
}

/// Settings of a control thread.
#[derive(Debug, Clone)]
pub struct ControlSettings {
    /// How long the log keeps records.
    pub retention: Duration,
    /// Rank of this process among those that carry state.
    pub carry_rank: u32,
}

/// Handle of a running control thread.
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
    fold: FleetState,
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
/// `perform` carries out the machine's actions and must not block; `append`
/// appends a record on the process's own account.
///
/// # Errors
/// Returns [`ErrorCode::Network`] where the thread's runtime cannot be made.
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
        fold: FleetState::default(),
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
    pub fn event(&self, event: E) {
        self.send(ControlMessage::Event(event));
    }

    /// Sends a message.
    pub fn send(&self, message: ControlMessage<E>) {
        // The thread only ends with the process.
        self.sender.send(message).ok();
    }

    /// Tells whether new work should be sent here.
    pub fn is_ready(&self) -> bool {
        self.ready.load(Ordering::Relaxed)
    }

    /// Returns the newest snapshot.
    pub fn view(&self) -> Arc<FleetView> {
        self.view.load_full()
    }

    /// Sends a question and waits for its answer.
    ///
    /// # Errors
    /// Returns [`ErrorCode::Timeout`] where the thread has ended.
    pub async fn ask<T>(
        &self,
        question: impl FnOnce(oneshot::Sender<T>) -> ControlMessage<E>,
    ) -> Result<T> {
        let (sender, receiver) = oneshot::channel();
        self.send(question(sender));
        receiver.await.map_err(|_| Error::new(ErrorCode::Timeout, "control thread"))
    }
}

impl<M: RoleMachine> ControlLoop<M> {
    async fn run(mut self, mut receiver: mpsc::UnboundedReceiver<ControlMessage<M::Event>>) {
        let mut ticks = tokio::time::interval(TICK);
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
            ControlMessage::Records { records, time } => self.records(records, time),
            ControlMessage::Skip { first } => self.skip(first),
            ControlMessage::Adopt(fold) => self.adopt(*fold),
            ControlMessage::Dump(answer) => answer.send(self.dump()).unwrap_or_default(),
            ControlMessage::Fold(answer) => drop(answer.send(self.fold.clone())),
            ControlMessage::Recent(from, answer) => drop(answer.send(self.recent_from(from))),
            ControlMessage::Result(change, answer) => {
                drop(answer.send(self.fold.result(&change).cloned()))
            }
            ControlMessage::Idle(answer) => answer.send(self.machine.is_idle()).unwrap_or_default(),
            ControlMessage::Stop => {}
        }
    }

    fn now(&self) -> ClockTime {
        self.started.elapsed()
    }

    fn step(&mut self, event: M::Event) {
        let begun = Instant::now();
        let now = self.now();
        self.machine.step(now, &self.fold, event, &mut self.actions);
        self.metrics.decisions.inc();
        self.metrics.decision_seconds.inc_by(begun.elapsed().as_secs_f64());
        for action in self.actions.drain(..) {
            (self.perform)(action);
        }
    }

    fn tick(&mut self) {
        self.step(M::tick());
        let now = self.now();
        self.ready.store(self.machine.is_ready(), Ordering::Relaxed);
        if let Some(record) = self.machine.propose(now, self.fold.view()) {
            (self.append)(record);
        }
        if now >= self.next_carry {
            self.next_carry = now + CARRY_INTERVAL;
            self.carry();
        }
    }

    fn carry(&mut self) {
        let retention = self.settings.retention;
        self.fold.drop_tombstones(carry::tombstone_limit(self.fold.view().time, retention));
        let unknown = self.fold.claims().unknown_outcomes(self.fold.view().time).count();
        self.metrics.unknown_outcomes.set(unknown as i64);
        for record in carry::due_records(&self.fold, retention, self.settings.carry_rank) {
            (self.append)(record);
        }
    }

    fn records(&mut self, records: Vec<StoredRecord>, time: Option<LogTime>) {
        for record in records {
            if record.offset < self.fold.view().next {
                continue;
            }
            self.fold.apply(&record);
            if self.recent.len() == KEPT_RECORDS {
                self.recent.pop_front();
            }
            self.recent.push_back(record);
        }
        if let Some(time) = time {
            self.fold.advance_time(time);
        }
        self.publish();
        self.step(M::log_advanced());
    }

    fn skip(&mut self, first: LogOffset) {
        self.fold.skip_to(first);
        self.publish();
    }

    fn adopt(&mut self, fold: FleetState) {
        if fold.view().next <= self.fold.view().next {
            return;
        }
        self.fold = fold;
        self.recent.clear();
        self.publish();
        self.step(M::log_advanced());
    }

    fn publish(&mut self) {
        self.view.store(Arc::new(self.fold.view().clone()));
        self.metrics.log_next.set(self.fold.view().next as i64);
    }

    fn recent_from(&self, from: LogOffset) -> RecentRecords {
        let next = self.fold.view().next;
        let kept_from = self.recent.front().map_or(next, |record| record.offset);
        let wanted = self.recent.iter().filter(|record| record.offset >= from).take(PEER_PAGE);
        RecentRecords {
            next,
            time: self.fold.view().time,
            records: wanted.cloned().collect(),
            complete: from >= kept_from,
        }
    }

    fn dump(&self) -> serde_json::Value {
        serde_json::json!({
            "clock_ms": self.now().as_millis() as u64,
            "fleet": self.fold.view(),
            "unknown_outcomes": self
                .fold
                .claims()
                .unknown_outcomes(self.fold.view().time)
                .collect::<Vec<_>>(),
            "claims": self.fold.claims().len(),
            "machine": serde_json::to_value(&self.machine).unwrap_or_default(),
        })
    }
}

/// Entry machine together with its role planner.
#[derive(Debug, Serialize)]
pub struct EntryRole {
    /// Follows requests.
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
        fold: &FleetState,
        event: EntryEvent,
        out: &mut Vec<EntryAction>,
    ) {
        self.machine.step(now, fold.view(), event, out);
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
        fold: &FleetState,
        event: SideEvent,
        out: &mut Vec<SideAction>,
    ) {
        SideMachine::step(self, now, fold, event, out);
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
