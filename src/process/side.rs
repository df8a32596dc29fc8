//! Side process: runs the attempts of entries on its targets.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use tokio::{net::TcpListener, sync::Notify, task::AbortHandle};

use super::{
    admin::{self, StateQueries},
    control::{self, ControlHandle, ControlSettings},
    link::{self, LinkContext, LinkSender},
    lock,
    metrics::ProcessMetrics,
    platform::{self, HttpPlatform, LogService},
    stop,
    tail::{LogTail, ReachabilityChange},
    target::{HttpEngine, HttpService, ModelEngine, PlainService},
};
use crate::{
    error::{Error, ErrorCode, Result},
    frame::SideFrame,
    ids::{AttemptId, DataCentreId, SideId, TargetId, VmId},
    record::{LogRecord, SideAttachment, TargetDescription, TargetOffer},
    side::{
        LinkId, QueueOrder, SideAction, SideEvent, SideMachine, SideSettings, TargetEvent,
        TargetFailure,
    },
};

/// Interval between reads of a target's state.
const POLL_INTERVAL: Duration = Duration::from_millis(200);
/// Interval between attempts to append the attachment.
const ATTACH_INTERVAL: Duration = Duration::from_millis(1000);
/// Consecutive failed polls after which a target counts as down.
const MAX_FAILED_POLLS: u32 = 2;
/// Pause after a failed accept.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Settings of a side process.
#[derive(Debug, Clone)]
pub struct SideProcessSettings {
    /// Name of the side, which stays the same over restarts.
    pub side: SideId,
    /// VM that the process runs on.
    pub vm: VmId,
    /// Data centre of the VM.
    pub data_centre: DataCentreId,
    /// Listen address for links from entries.
    pub link_listen: SocketAddr,
    /// Listen address for health, metrics, state and peers.
    pub listen: SocketAddr,
    /// Targets of the side, each with its base URL.
    pub targets: Vec<(TargetDescription, String)>,
    /// HTTP addresses of peers to read from while the log service is unreachable.
    pub peers: Vec<SocketAddr>,
    /// Client of the platform's services.
    pub platform: HttpPlatform,
    /// Settings of the control thread.
    pub control: ControlSettings,
    /// Random number that identifies this run of the process.
    pub instance: u64,
}

#[derive(Debug, Clone)]
enum TargetClient {
    Engine(HttpEngine),
    Service(HttpService),
}

/// I/O driver of the side's state machine.
struct SideDriver {
    control: Mutex<Option<ControlHandle<SideEvent>>>,
    clients: HashMap<TargetId, TargetClient>,
    links: Mutex<HashMap<LinkId, LinkSender>>,
    runs: Mutex<HashMap<AttemptId, AbortHandle>>,
    platform: HttpPlatform,
    metrics: Arc<ProcessMetrics>,
    superseded: Notify,
    runtime: tokio::runtime::Handle,
}

/// Runs a side until it is stopped and its work has finished.
///
/// # Errors
/// Returns [`ErrorCode::AlreadyOwned`] if the link address cannot be bound or another process
/// has attached under the same name, and [`ErrorCode::Network`] if the other address cannot be
/// bound.
pub async fn run(settings: SideProcessSettings) -> Result<()> {
    // Bound before any request to a target: a frozen predecessor still holds the address,
    // so two processes of one side never control the same targets.
    let listener = TcpListener::bind(settings.link_listen).await.map_err(|e| {
        Error::new(ErrorCode::AlreadyOwned, format!("{} ({e})", settings.link_listen))
    })?;
    let metrics = Arc::new(ProcessMetrics::default());
    let driver = Arc::new(SideDriver::new(&settings, metrics.clone()));
    let control = start_control(&settings, &driver)?;
    let wake_tail = Arc::new(Notify::new());
    start_tail(&settings, &control, &wake_tail, &metrics);
    let ready = Arc::new(AtomicBool::new(true));
    let is_ready = ready.clone();
    let queries =
        StateQueries::new(&control, metrics.clone(), move || is_ready.load(Ordering::Relaxed));
    admin::bind(settings.listen, admin::routes(queries)).await?;
    let link_address = listener.local_addr().unwrap_or(settings.link_listen);
    tokio::spawn(accept_links(listener, driver.clone(), control.clone(), wake_tail));
    for (description, _) in &settings.targets {
        tokio::spawn(poll_target(driver.clone(), control.clone(), description.target.clone()));
    }
    let attaching = tokio::spawn(attach(settings.clone(), control.clone(), link_address));
    wait_for_stop(&settings, &driver).await?;
    log::info!("draining");
    ready.store(false, Ordering::Relaxed);
    attaching.abort();
    control.send_event(SideEvent::Drain);
    stop::wait_until_drained(&control).await?;
    detach(&settings, &control).await;
    log::info!("stopped");
    Ok(())
}

fn start_control(
    settings: &SideProcessSettings,
    driver: &Arc<SideDriver>,
) -> Result<ControlHandle<SideEvent>> {
    let machine = SideMachine::new(SideSettings {
        side: settings.side.clone(),
        instance: settings.instance,
        vm: settings.vm.clone(),
        targets: settings.targets.iter().map(|(description, _)| description.clone()).collect(),
        queue_order: QueueOrder::Fair,
    });
    let performer = driver.clone();
    let control = control::spawn(
        machine,
        settings.control.clone(),
        driver.metrics.clone(),
        move |action| performer.perform(action),
        platform::spawn_appender(settings.platform.clone()),
    )?;
    *lock(&driver.control) = Some(control.clone());
    Ok(control)
}

fn start_tail(
    settings: &SideProcessSettings,
    control: &ControlHandle<SideEvent>,
    wake_tail: &Arc<Notify>,
    metrics: &Arc<ProcessMetrics>,
) {
    let listener = control.clone();
    let on_change = move |change| match change {
        ReachabilityChange::Log(reachable) => {
            listener.send_event(SideEvent::LogHealth { reachable })
        }
        ReachabilityChange::Any(_) => {}
    };
    let log = settings.platform.clone();
    LogTail::new(control, log, &settings.peers, wake_tail, metrics, on_change).spawn();
}

/// Appends the attachment until the log confirms it.
async fn attach(
    settings: SideProcessSettings,
    control: ControlHandle<SideEvent>,
    address: SocketAddr,
) {
    let record = LogRecord::Attach(SideAttachment {
        side: settings.side.clone(),
        instance: settings.instance,
        vm: settings.vm.clone(),
        data_centre: settings.data_centre.clone(),
        address: address.to_string(),
        targets: settings.targets.iter().map(|(description, _)| description.clone()).collect(),
    });
    let Ok(body) = record.encode() else { return };
    loop {
        let view = control.view();
        let attached = view.sides.get(&settings.side);
        if attached.is_some_and(|entry| entry.attachment.instance == settings.instance) {
            return;
        }
        if let Err(error) = settings.platform.append(&body).await {
            log::warn!(error:% = error; "append of the attachment failed; retrying");
        }
        tokio::time::sleep(ATTACH_INTERVAL).await;
    }
}

/// Appends a detachment unless another process has attached since.
async fn detach(settings: &SideProcessSettings, control: &ControlHandle<SideEvent>) {
    let view = control.view();
    let Some(entry) = view.sides.get(&settings.side) else { return };
    if entry.attachment.instance != settings.instance {
        return;
    }
    let record = LogRecord::Detach { side: settings.side.clone(), fence: entry.fence };
    if let Ok(body) = record.encode() {
        settings.platform.append(&body).await.ok();
    }
}

async fn wait_for_stop(settings: &SideProcessSettings, driver: &SideDriver) -> Result<()> {
    tokio::select! {
        result = stop::wait_for_signal() => result,
        () = stop::wait_until_leaving(settings.platform.clone(), settings.vm.clone()) => {
            // A VM leaves on the platform's schedule: the side drains now, and the platform
            // stops the process.
            log::info!("draining because the VM list marks this VM as leaving");
            if let Some(control) = lock(&driver.control).as_ref() {
                control.send_event(SideEvent::Drain);
            }
            stop::wait_for_signal().await
        }
        () = driver.superseded.notified() => {
            Err(Error::new(ErrorCode::AlreadyOwned, format!("side {}", settings.side)))
        }
    }
}

async fn accept_links(
    listener: TcpListener,
    driver: Arc<SideDriver>,
    control: ControlHandle<SideEvent>,
    wake_tail: Arc<Notify>,
) {
    let mut next_link: LinkId = 0;
    loop {
        let Ok((socket, _)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        next_link += 1;
        let (driver, control, wake_tail) = (driver.clone(), control.clone(), wake_tail.clone());
        tokio::spawn(serve_link(socket, next_link, driver, control, wake_tail));
    }
}

async fn serve_link(
    socket: tokio::net::TcpStream,
    link: LinkId,
    driver: Arc<SideDriver>,
    control: ControlHandle<SideEvent>,
    wake_tail: Arc<Notify>,
) {
    let open = match link::accept(socket).await {
        Ok(open) => open,
        Err(error) => {
            log::info!(error:% = error; "link handshake failed");
            return;
        }
    };
    lock(&driver.links).insert(link, open.sender.clone());
    driver.metrics.links.inc();
    control.send_event(SideEvent::LinkUp { link });
    let view = control.clone();
    let position = Arc::new(move || view.view().next);
    let context = LinkContext { metrics: driver.metrics.clone(), wake: wake_tail, position };
    let deliver = |frame| control.send_event(SideEvent::Frame { link, frame });
    if let Err(error) = open.run(context, deliver).await {
        log::info!(error:% = error, link; "link ended");
    }
    lock(&driver.links).remove(&link);
    driver.metrics.links.dec();
    control.send_event(SideEvent::LinkDown { link });
}

async fn poll_target(driver: Arc<SideDriver>, control: ControlHandle<SideEvent>, target: TargetId) {
    let mut failures = 0;
    loop {
        failures = driver.poll_once(&control, &target, failures).await;
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

impl SideDriver {
    fn new(settings: &SideProcessSettings, metrics: Arc<ProcessMetrics>) -> SideDriver {
        let clients = settings
            .targets
            .iter()
            .map(|(description, url)| {
                let client = match description.offer {
                    TargetOffer::Engine { .. } => TargetClient::Engine(HttpEngine::new(url)),
                    TargetOffer::Service { .. } => TargetClient::Service(HttpService::new(url)),
                };
                (description.target.clone(), client)
            })
            .collect();
        SideDriver {
            control: Mutex::new(None),
            clients,
            links: Mutex::new(HashMap::new()),
            runs: Mutex::new(HashMap::new()),
            platform: settings.platform.clone(),
            metrics,
            superseded: Notify::new(),
            runtime: tokio::runtime::Handle::current(),
        }
    }

    fn perform(self: &Arc<Self>, action: SideAction) {
        let Some(control) = lock(&self.control).clone() else { return };
        match action {
            SideAction::Send { link, frame } => self.send_frame(&control, link, frame),
            SideAction::CloseLink { link } => {
                if let Some(sender) = lock(&self.links).get(&link) {
                    sender.close();
                }
            }
            SideAction::Append { append_id, record } => {
                self.append_record(control, append_id, record)
            }
            SideAction::Start { target, fence, place } => {
                self.start_run(control, target, fence, place)
            }
            SideAction::Cancel { target, attempt } => self.cancel_run(target, attempt),
            SideAction::Probe { target } => {
                let driver = self.clone();
                self.runtime.spawn(async move {
                    driver.poll_once(&control, &target, MAX_FAILED_POLLS).await
                });
            }
            SideAction::ChangeRole { target, fence, plan, role } => {
                self.change_role(control, target, fence, plan, role)
            }
            SideAction::Superseded => self.superseded.notify_one(),
        }
    }

    fn send_frame(&self, control: &ControlHandle<SideEvent>, link: LinkId, frame: SideFrame) {
        if let Some(sender) = lock(&self.links).get(&link) {
            sender.send(control.view().next, frame);
        }
    }

    fn append_record(&self, control: ControlHandle<SideEvent>, append_id: u64, record: LogRecord) {
        let platform = self.platform.clone();
        let metrics = self.metrics.clone();
        self.runtime.spawn(async move {
            let appended = match record.encode() {
                Ok(body) => platform.append(&body).await,
                Err(error) => Err(error),
            };
            match &appended {
                Ok(_) => metrics.appends.inc(),
                Err(error) => {
                    log::warn!(error:% = error; "append failed or its response was lost");
                    metrics.append_failures.inc()
                }
            };
            control.send_event(SideEvent::Appended { append_id, confirmed: appended.is_ok() });
        });
    }

    fn start_run(
        self: &Arc<Self>,
        control: ControlHandle<SideEvent>,
        target: TargetId,
        fence: u64,
        place: Arc<crate::frame::PlaceFrame>,
    ) {
        let Some(client) = self.clients.get(&target).cloned() else { return };
        let attempt = place.attempt;
        let driver = self.clone();
        let idempotent = place.idempotent;
        let task = self.runtime.spawn(async move {
            let deliver =
                |event| control.send_event(SideEvent::Target { target: target.clone(), event });
            match client {
                TargetClient::Engine(engine) => engine.run(fence, place, deliver).await,
                TargetClient::Service(service) => {
                    deliver(service_event(attempt, service.call(&place).await))
                }
            }
            lock(&driver.runs).remove(&attempt);
        });
        // A call that is not idempotent is never aborted, so that its outcome is recorded.
        if idempotent && !task.is_finished() {
            lock(&self.runs).insert(attempt, task.abort_handle());
        }
    }

    fn cancel_run(&self, target: TargetId, attempt: AttemptId) {
        if let Some(run) = lock(&self.runs).remove(&attempt) {
            run.abort();
        }
        if let Some(TargetClient::Engine(engine)) = self.clients.get(&target).cloned() {
            self.runtime.spawn(async move { engine.cancel(attempt).await.ok() });
        }
    }

    fn change_role(
        &self,
        control: ControlHandle<SideEvent>,
        target: TargetId,
        fence: u64,
        plan: u64,
        role: crate::record::EngineRole,
    ) {
        let Some(TargetClient::Engine(engine)) = self.clients.get(&target).cloned() else { return };
        self.runtime.spawn(async move {
            // A lost response needs no event: the next poll of the engine shows its role.
            if let Ok(accepted) = engine.order(fence, plan, role).await {
                let event = TargetEvent::RoleChangeAnswered { plan, accepted };
                control.send_event(SideEvent::Target { target, event });
            }
        });
    }

    /// Reads a target's state once and returns the number of consecutive failures.
    async fn poll_once(
        &self,
        control: &ControlHandle<SideEvent>,
        target: &TargetId,
        failures: u32,
    ) -> u32 {
        let report = match self.clients.get(target) {
            Some(TargetClient::Engine(engine)) => engine.report().await,
            Some(TargetClient::Service(service)) => service.report().await,
            None => return failures,
        };
        let (event, failures) = match report {
            Ok(report) => (TargetEvent::Report(report), 0),
            Err(_) if failures + 1 >= MAX_FAILED_POLLS => (TargetEvent::Down, failures + 1),
            Err(_) => return failures + 1,
        };
        control.send_event(SideEvent::Target { target: target.clone(), event });
        failures
    }
}

fn service_event(
    attempt: AttemptId,
    result: std::result::Result<crate::claim::ServiceAnswer, TargetFailure>,
) -> TargetEvent {
    match result {
        Ok(answer) => TargetEvent::Answered { attempt, answer },
        Err(failure) => TargetEvent::Failed { attempt, failure },
    }
}
