//! Entry process: accepts requests from callers and places them on sides.

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
    tail::{LogTail, ReachabilityChange},
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

/// Pause before a link that failed is opened again.
const LINK_RETRY_DELAY: Duration = Duration::from_millis(300);
/// Interval between comparisons of the open links with the wanted ones.
const LINK_SCAN_INTERVAL: Duration = Duration::from_millis(100);
/// Time for the last responses to reach their callers before the process exits.
const RESPONSE_FLUSH_TIME: Duration = Duration::from_millis(200);

/// Settings of an entry process.
#[derive(Debug, Clone)]
pub struct EntryProcessSettings {
    /// VM that the process runs on.
    pub vm: VmId,
    /// Listen address for callers and operators.
    pub listen: SocketAddr,
    /// HTTP addresses of peers to read from while the log service is unreachable.
    pub peers: Vec<SocketAddr>,
    /// Client of the platform's services.
    pub platform: HttpPlatform,
    /// Settings of the control thread.
    pub control: ControlSettings,
    /// Bearer token of the administration API; if empty, all its requests are refused.
    pub admin_token: String,
    /// Time for which a stopping entry is not ready but still accepts requests, so that the
    /// balancer notices.
    pub stop_notice: Duration,
    /// Largest number of sides to link to for each model or plain service.
    pub fanout: usize,
    /// Random number that identifies this run of the process.
    pub instance: u64,
}

/// Part of the answer to a caller.
#[derive(Debug, Clone, PartialEq)]
pub enum AnswerPart {
    /// Chunk of output.
    Chunk(Arc<str>),
    /// Final answer, the last part.
    Final(FinalAnswer),
}

/// I/O driver of the entry's state machine, shared by the HTTP handlers and the links.
pub struct EntryDriver {
    control: Mutex<Option<ControlHandle<EntryEvent>>>,
    callers: Mutex<HashMap<RequestId, mpsc::UnboundedSender<AnswerPart>>>,
    links: Mutex<HashMap<SideId, LinkSender>>,
    sequence: std::sync::atomic::AtomicU64,
    instance: u64,
    /// Metrics of this process.
    pub metrics: Arc<ProcessMetrics>,
    /// Client of the platform, through which the administration API appends records.
    pub platform: HttpPlatform,
    /// Bearer token of the administration API; empty if it refuses all requests.
    pub admin_token: String,
}

/// Runs an entry until it is stopped and its requests have finished.
///
/// # Errors
/// Returns [`crate::ErrorCode::Network`] if the address cannot be bound.
pub async fn run(settings: EntryProcessSettings) -> Result<()> {
    let metrics = Arc::new(ProcessMetrics::default());
    let driver = Arc::new(EntryDriver {
        control: Mutex::new(None),
        callers: Mutex::new(HashMap::new()),
        links: Mutex::new(HashMap::new()),
        sequence: std::sync::atomic::AtomicU64::new(0),
        instance: settings.instance,
        metrics: metrics.clone(),
        platform: settings.platform.clone(),
        admin_token: settings.admin_token.clone(),
    });
    let control = start_control(&settings, &driver)?;
    let wake_tail = Arc::new(Notify::new());
    start_tail(&settings, &control, &wake_tail, &metrics);
    tokio::spawn(maintain_links(settings.clone(), driver.clone(), control.clone(), wake_tail));
    let ready = Arc::new(AtomicBool::new(true));
    let is_ready = ready.clone();
    let state = control.clone();
    let queries = StateQueries::new(&control, metrics, move || {
        is_ready.load(Ordering::Relaxed) && state.is_ready()
    });
    admin::bind(settings.listen, api::routes(admin::routes(queries), driver)).await?;
    tokio::select! {
        result = stop::wait_for_signal() => result?,
        () = stop::wait_until_leaving(settings.platform.clone(), settings.vm.clone()) => {}
    }
    log::info!("draining");
    ready.store(false, Ordering::Relaxed);
    control.send_event(EntryEvent::Stop { time: settings.stop_notice + stop::DRAIN_TIMEOUT });
    tokio::time::sleep(settings.stop_notice).await;
    control.send_event(EntryEvent::Drain);
    stop::wait_until_drained(&control).await?;
    tokio::time::sleep(RESPONSE_FLUSH_TIME).await;
    log::info!("stopped");
    Ok(())
}

fn start_control(
    settings: &EntryProcessSettings,
    driver: &Arc<EntryDriver>,
) -> Result<ControlHandle<EntryEvent>> {
    let machine = EntryMachine::new(EntrySettings {
        instance: settings.instance,
        policy: PlacementPolicy::EarliestEnd,
        seed: settings.instance,
    });
    let rank = settings.control.rank;
    let planner = RolePlanner::new(PlannerSettings { rank });
    let performer = driver.clone();
    let control = control::spawn(
        EntryRole { machine, planner },
        settings.control.clone(),
        driver.metrics.clone(),
        move |action| performer.perform(action),
        platform::spawn_appender(settings.platform.clone()),
    )?;
    *lock(&driver.control) = Some(control.clone());
    Ok(control)
}

fn start_tail(
    settings: &EntryProcessSettings,
    control: &ControlHandle<EntryEvent>,
    wake_tail: &Arc<Notify>,
    metrics: &Arc<ProcessMetrics>,
) {
    let listener = control.clone();
    let on_change = move |change| match change {
        ReachabilityChange::Log(_) => {}
        ReachabilityChange::Any(accepting) => {
            listener.send_event(EntryEvent::SetAccepting { accepting })
        }
    };
    let log = settings.platform.clone();
    LogTail::new(control, log, &settings.peers, wake_tail, metrics, on_change).spawn();
}

/// Keeps one link to each chosen side, and replaces the link of a side that was restarted.
async fn maintain_links(
    settings: EntryProcessSettings,
    driver: Arc<EntryDriver>,
    control: ControlHandle<EntryEvent>,
    wake_tail: Arc<Notify>,
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
                lock(&driver.links).remove(side);
                control.send_event(EntryEvent::LinkDown { side: side.clone() });
            }
            keep
        });
        for side in &wanted {
            let Some(entry) = view.sides.get(side) else { continue };
            let Ok(address) = entry.attachment.address.parse() else { continue };
            tasks.entry(side.clone()).or_insert_with(|| {
                let link = maintain_link(
                    side.clone(),
                    address,
                    driver.clone(),
                    control.clone(),
                    wake_tail.clone(),
                );
                (entry.fence, tokio::spawn(link))
            });
        }
        tokio::time::sleep(LINK_SCAN_INTERVAL).await;
    }
}

async fn maintain_link(
    side: SideId,
    address: SocketAddr,
    driver: Arc<EntryDriver>,
    control: ControlHandle<EntryEvent>,
    wake_tail: Arc<Notify>,
) {
    loop {
        if let Ok(open) = link::connect(address).await {
            lock(&driver.links).insert(side.clone(), open.sender.clone());
            driver.metrics.links.inc();
            control.send_event(EntryEvent::LinkUp { side: side.clone() });
            let view = control.clone();
            let position = Arc::new(move || view.view().next);
            let context =
                LinkContext { metrics: driver.metrics.clone(), wake: wake_tail.clone(), position };
            let deliver = |frame: SideFrame| {
                control.send_event(EntryEvent::Frame { side: side.clone(), frame })
            };
            if let Err(error) = open.run(context, deliver).await {
                log::info!(error:% = error, side:% = side; "link ended");
            }
            lock(&driver.links).remove(&side);
            driver.metrics.links.dec();
            control.send_event(EntryEvent::LinkDown { side: side.clone() });
        }
        tokio::time::sleep(LINK_RETRY_DELAY).await;
    }
}

impl EntryDriver {
    /// Returns the handle of the control thread, or `None` before it has started.
    pub fn control(&self) -> Option<ControlHandle<EntryEvent>> {
        lock(&self.control).clone()
    }

    /// Submits a caller's request and returns the receiver of its answer.
    pub fn submit(
        &self,
        request: crate::request::CallerRequest,
    ) -> (RequestId, mpsc::UnboundedReceiver<AnswerPart>) {
        let sequence = self.sequence.fetch_add(1, Ordering::Relaxed) + 1;
        let id = RequestId { instance: self.instance, sequence };
        let (sender, receiver) = mpsc::unbounded_channel();
        lock(&self.callers).insert(id, sender);
        if let Some(control) = self.control() {
            control.send_event(EntryEvent::Submit { id, request: Box::new(request) });
        }
        (id, receiver)
    }

    /// Abandons a request if its caller disconnected before the final answer.
    pub fn abandon_request(&self, id: RequestId) {
        let unanswered = lock(&self.callers).remove(&id).is_some();
        if let (true, Some(control)) = (unanswered, self.control()) {
            control.send_event(EntryEvent::CallerDisconnected { id });
        }
    }

    fn perform(&self, action: EntryAction) {
        match action {
            EntryAction::Send { side, frame } => self.send_frame(&side, frame),
            EntryAction::CloseLink { side } => {
                if let Some(sender) = lock(&self.links).get(&side) {
                    sender.close();
                }
            }
            EntryAction::Chunk { id, text } => {
                if let Some(caller) = lock(&self.callers).get(&id) {
                    caller.send(AnswerPart::Chunk(text)).ok();
                }
            }
            EntryAction::Finish { id, answer } => {
                if let Some(caller) = lock(&self.callers).remove(&id) {
                    caller.send(AnswerPart::Final(answer)).ok();
                }
            }
        }
    }

    fn send_frame(&self, side: &SideId, frame: EntryFrame) {
        let Some(control) = self.control() else { return };
        if let Some(sender) = lock(&self.links).get(side) {
            sender.send(control.view().next, frame);
        }
    }
}
