//! The entry process.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use tokio::{
    sync::{Notify, mpsc},
    task::JoinHandle,
};

use super::{
    admin::{self, StateQueries},
    control::{self, ControlHandle, ControlSettings, EntryRole},
    link::{self, LinkContext, LinkSender},
    lock,
    metrics::ProcessMetrics,
    platform::{self, HttpPlatform},
    stop,
    tail::{ContactChange, LogTail},
};
use crate::{
    api,
    entry::{EntryAction, EntryEvent, EntryMachine, EntrySettings, PlacementPolicy},
    error::Result,
    fanout::select_sides,
    frame::{EntryFrame, SideFrame},
    ids::{RequestId, SideId, VmId},
    planner::{PlannerSettings, RolePlanner},
    request::FinalAnswer,
};

const LINK_RETRY: Duration = Duration::from_millis(300);
const LINK_SCAN: Duration = Duration::from_millis(100);
const LAST_ANSWERS: Duration = Duration::from_millis(200);

/// Settings of an entry process.
#[derive(Debug, Clone)]
pub struct EntryProcessSettings {
    /// Its VM.
    pub vm: VmId,
    /// Address for callers and operators.
    pub listen: SocketAddr,
    /// Peers.
    pub peers: Vec<SocketAddr>,
    /// The platform.
    pub platform: HttpPlatform,
    /// Control settings.
    pub control: ControlSettings,
    /// Token of the administration API; empty refuses all changes.
    pub admin_token: String,
    /// Time for the balancer to notice that a stopping entry is not ready.
    pub stop_notice: Duration,
    /// Largest number of sides to link to for each model or service.
    pub fanout: usize,
    /// Random number of this process.
    pub instance: u64,
}

/// Piece of an answer on its way to a caller.
#[derive(Debug, Clone, PartialEq)]
pub enum CallerPiece {
    /// Piece of output.
    Chunk(Arc<str>),
    /// The end.
    Final(FinalAnswer),
}

/// What the HTTP handlers share.
pub struct EntryShell {
    control: Mutex<Option<ControlHandle<EntryEvent>>>,
    callers: Mutex<HashMap<RequestId, mpsc::UnboundedSender<CallerPiece>>>,
    links: Mutex<HashMap<SideId, LinkSender>>,
    sequence: std::sync::atomic::AtomicU64,
    instance: u64,
    /// Metrics.
    pub metrics: Arc<ProcessMetrics>,
    /// The platform, to which the administration API appends.
    pub platform: HttpPlatform,
    /// Token of the administration API.
    pub admin_token: String,
}

/// Runs an entry until it is told to stop and has finished its requests.
///
/// # Errors
/// Returns [`crate::ErrorCode::Network`] where an address cannot be bound.
pub async fn run(settings: EntryProcessSettings) -> Result<()> {
    let metrics = Arc::new(ProcessMetrics::default());
    let shell = Arc::new(EntryShell {
        control: Mutex::new(None),
        callers: Mutex::new(HashMap::new()),
        links: Mutex::new(HashMap::new()),
        sequence: std::sync::atomic::AtomicU64::new(0),
        instance: settings.instance,
        metrics: metrics.clone(),
        platform: settings.platform.clone(),
        admin_token: settings.admin_token.clone(),
    });
    let control = start_control(&settings, &shell)?;
    let wake = Arc::new(Notify::new());
    start_tail(&settings, &control, &wake, &metrics);
    tokio::spawn(keep_links(settings.clone(), shell.clone(), control.clone(), wake));
    let ready = Arc::new(AtomicBool::new(true));
    let is_ready = ready.clone();
    let state = control.clone();
    let queries = StateQueries::new(&control, metrics, move || {
        is_ready.load(Ordering::Relaxed) && state.is_ready()
    });
    admin::bind(settings.listen, api::routes(admin::routes(queries), shell)).await?;
    tokio::select! {
        result = stop::signalled() => result?,
        () = stop::listed_as_leaving(settings.platform.clone(), settings.vm.clone()) => {}
    }
    log::info!("draining");
    ready.store(false, Ordering::Relaxed);
    tokio::time::sleep(settings.stop_notice).await;
    control.event(EntryEvent::SetAccepting { accepting: false });
    stop::drained(&control).await?;
    // Leaves the last answers time to reach their callers.
    tokio::time::sleep(LAST_ANSWERS).await;
    log::info!("stopped");
    Ok(())
}

fn start_control(
    settings: &EntryProcessSettings,
    shell: &Arc<EntryShell>,
) -> Result<ControlHandle<EntryEvent>> {
    let machine = EntryMachine::new(EntrySettings {
        instance: settings.instance,
        policy: PlacementPolicy::EarliestEnd,
        seed: settings.instance,
    });
    let rank = settings.control.carry_rank;
    let planner = RolePlanner::new(PlannerSettings { rank });
    let performer = shell.clone();
    let control = control::spawn(
        EntryRole { machine, planner },
        settings.control.clone(),
        shell.metrics.clone(),
        move |action| performer.perform(action),
        platform::spawn_appender(settings.platform.clone()),
    )?;
    *lock(&shell.control) = Some(control.clone());
    Ok(control)
}

fn start_tail(
    settings: &EntryProcessSettings,
    control: &ControlHandle<EntryEvent>,
    wake: &Arc<Notify>,
    metrics: &Arc<ProcessMetrics>,
) {
    let listener = control.clone();
    let on_contact = move |change| match change {
        ContactChange::Log(_) => {}
        ContactChange::Anybody(open) => {
            listener.event(EntryEvent::SetAccepting { accepting: open })
        }
    };
    let log = settings.platform.clone();
    LogTail::new(control, log, &settings.peers, wake, metrics, on_contact).spawn();
}

/// Keeps one link to each side that the log names.
async fn keep_links(
    settings: EntryProcessSettings,
    shell: Arc<EntryShell>,
    control: ControlHandle<EntryEvent>,
    wake: Arc<Notify>,
) {
    let mut tasks: HashMap<SideId, (u64, JoinHandle<()>)> = HashMap::new();
    loop {
        let view = control.view();
        let wanted = select_sides(&view, &settings.vm, settings.fanout);
        tasks.retain(|side, (fence, task)| {
            let keep = wanted.contains(side)
                && view.sides.get(side).is_some_and(|entry| entry.fence == *fence);
            if !keep {
                task.abort();
                lock(&shell.links).remove(side);
                control.event(EntryEvent::LinkDown { side: side.clone() });
            }
            keep
        });
        for side in &wanted {
            let Some(entry) = view.sides.get(side) else { continue };
            let Ok(address) = entry.attachment.address.parse() else { continue };
            tasks.entry(side.clone()).or_insert_with(|| {
                let link =
                    keep_link(side.clone(), address, shell.clone(), control.clone(), wake.clone());
                (entry.fence, tokio::spawn(link))
            });
        }
        tokio::time::sleep(LINK_SCAN).await;
    }
}

async fn keep_link(
    side: SideId,
    address: SocketAddr,
    shell: Arc<EntryShell>,
    control: ControlHandle<EntryEvent>,
    wake: Arc<Notify>,
) {
    loop {
        if let Ok(open) = link::connect(address).await {
            lock(&shell.links).insert(side.clone(), open.sender.clone());
            shell.metrics.links.inc();
            control.event(EntryEvent::LinkUp { side: side.clone() });
            let view = control.clone();
            let position = Arc::new(move || view.view().next);
            let context =
                LinkContext { metrics: shell.metrics.clone(), wake: wake.clone(), position };
            let deliver =
                |frame: SideFrame| control.event(EntryEvent::Frame { side: side.clone(), frame });
            if let Err(error) = open.run(context, deliver).await {
                log::info!(error:% = error, side:% = side; "link ended");
            }
            lock(&shell.links).remove(&side);
            shell.metrics.links.dec();
            control.event(EntryEvent::LinkDown { side: side.clone() });
        }
        tokio::time::sleep(LINK_RETRY).await;
    }
}

impl EntryShell {
    /// Returns the control thread's handle.
    pub fn control(&self) -> Option<ControlHandle<EntryEvent>> {
        lock(&self.control).clone()
    }

    /// Sends a caller's request into the machine.
    pub fn submit(
        &self,
        request: crate::request::CallerRequest,
    ) -> (RequestId, mpsc::UnboundedReceiver<CallerPiece>) {
        let sequence = self.sequence.fetch_add(1, Ordering::Relaxed) + 1;
        let id = RequestId { instance: self.instance, sequence };
        let (sender, receiver) = mpsc::unbounded_channel();
        lock(&self.callers).insert(id, sender);
        if let Some(control) = self.control() {
            control.event(EntryEvent::Submit { id, request: Box::new(request) });
        }
        (id, receiver)
    }

    /// Notes that a caller went away before its final answer.
    pub fn caller_gone(&self, id: RequestId) {
        let waiting = lock(&self.callers).remove(&id).is_some();
        if let (true, Some(control)) = (waiting, self.control()) {
            control.event(EntryEvent::CallerDisconnected { id });
        }
    }

    fn perform(&self, action: EntryAction) {
        match action {
            EntryAction::Send { side, frame } => self.send(&side, frame),
            EntryAction::CloseLink { side } => {
                if let Some(sender) = lock(&self.links).get(&side) {
                    sender.close();
                }
            }
            EntryAction::Chunk { id, text } => {
                if let Some(caller) = lock(&self.callers).get(&id) {
                    caller.send(CallerPiece::Chunk(text)).ok();
                }
            }
            EntryAction::Finish { id, answer } => {
                if let Some(caller) = lock(&self.callers).remove(&id) {
                    caller.send(CallerPiece::Final(answer)).ok();
                }
            }
        }
    }

    fn send(&self, side: &SideId, frame: EntryFrame) {
        let Some(control) = self.control() else { return };
        if let Some(sender) = lock(&self.links).get(side) {
            sender.send(control.view().next, frame);
        }
    }
}
