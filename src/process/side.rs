//! The side process.

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
    tail::{ContactChange, LogTail},
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

const REPORT_INTERVAL: Duration = Duration::from_millis(200);
const ATTACH_INTERVAL: Duration = Duration::from_millis(1000);
/// Reports in a row that fail before a target counts as down.
const FAILED_REPORTS: u32 = 2;
const ACCEPT_RETRY: Duration = Duration::from_millis(50);

/// Settings of a side process.
#[derive(Debug, Clone)]
pub struct SideProcessSettings {
    /// The side.
    pub side: SideId,
    /// Its VM.
    pub vm: VmId,
    /// Its data centre.
    pub data_centre: DataCentreId,
    /// Address for links.
    pub link_listen: SocketAddr,
    /// Address for health, metrics, state and peers.
    pub listen: SocketAddr,
    /// Its targets with their addresses.
    pub targets: Vec<(TargetDescription, String)>,
    /// Peers.
    pub peers: Vec<SocketAddr>,
    /// The platform.
    pub platform: HttpPlatform,
    /// Control settings.
    pub control: ControlSettings,
    /// Random number of this process.
    pub instance: u64,
}

#[derive(Debug, Clone)]
enum TargetClient {
    Engine(HttpEngine),
    Service(HttpService),
}

struct SideShell {
    control: Mutex<Option<ControlHandle<SideEvent>>>,
    clients: HashMap<TargetId, TargetClient>,
    links: Mutex<HashMap<LinkId, LinkSender>>,
    runs: Mutex<HashMap<AttemptId, AbortHandle>>,
    platform: HttpPlatform,
    metrics: Arc<ProcessMetrics>,
    superseded: Notify,
    runtime: tokio::runtime::Handle,
}

/// Runs a side until it is told to stop and has finished its work.
///
/// # Errors
/// Returns [`ErrorCode::Network`] where an address cannot be bound, and
/// [`ErrorCode::AlreadyOwned`] where another process has taken its place.
pub async fn run(settings: SideProcessSettings) -> Result<()> {
    // Bound before anything is ordered: a predecessor that is frozen still holds
    // the address, so two processes of one slot never order the same targets.
    let listener = TcpListener::bind(settings.link_listen).await.map_err(|e| {
        Error::new(ErrorCode::AlreadyOwned, format!("{} ({e})", settings.link_listen))
    })?;
    let metrics = Arc::new(ProcessMetrics::default());
    let shell = Arc::new(SideShell::open(&settings, metrics.clone()));
    let control = start_control(&settings, &shell)?;
    let wake = Arc::new(Notify::new());
    start_tail(&settings, &control, &wake, &metrics);
    let ready = Arc::new(AtomicBool::new(true));
    let is_ready = ready.clone();
    let queries =
        StateQueries::new(&control, metrics.clone(), move || is_ready.load(Ordering::Relaxed));
    admin::bind(settings.listen, admin::routes(queries)).await?;
    let link_address = listener.local_addr().unwrap_or(settings.link_listen);
    tokio::spawn(accept_links(listener, shell.clone(), control.clone(), wake));
    for (description, _) in &settings.targets {
        tokio::spawn(poll_target(shell.clone(), control.clone(), description.target.clone()));
    }
    let attach = tokio::spawn(attach(settings.clone(), control.clone(), link_address));
    wait_for_stop(&settings, &shell).await?;
    log::info!("draining");
    ready.store(false, Ordering::Relaxed);
    attach.abort();
    control.event(SideEvent::Drain);
    stop::drained(&control).await?;
    detach(&settings, &control).await;
    log::info!("stopped");
    Ok(())
}

fn start_control(
    settings: &SideProcessSettings,
    shell: &Arc<SideShell>,
) -> Result<ControlHandle<SideEvent>> {
    let machine = SideMachine::new(SideSettings {
        side: settings.side.clone(),
        instance: settings.instance,
        vm: settings.vm.clone(),
        targets: settings.targets.iter().map(|(description, _)| description.clone()).collect(),
        queue_order: QueueOrder::Fair,
    });
    let performer = shell.clone();
    let control = control::spawn(
        machine,
        settings.control.clone(),
        shell.metrics.clone(),
        move |action| performer.perform(action),
        platform::spawn_appender(settings.platform.clone()),
    )?;
    *lock(&shell.control) = Some(control.clone());
    Ok(control)
}

fn start_tail(
    settings: &SideProcessSettings,
    control: &ControlHandle<SideEvent>,
    wake: &Arc<Notify>,
    metrics: &Arc<ProcessMetrics>,
) {
    let listener = control.clone();
    let on_contact = move |change| match change {
        ContactChange::Log(reachable) => listener.event(SideEvent::LogHealth { reachable }),
        ContactChange::Anybody(_) => {}
    };
    let log = settings.platform.clone();
    LogTail::new(control, log, &settings.peers, wake, metrics, on_contact).spawn();
}

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
            log::warn!(error:% = error; "attachment not appended");
        }
        tokio::time::sleep(ATTACH_INTERVAL).await;
    }
}

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

async fn wait_for_stop(settings: &SideProcessSettings, shell: &SideShell) -> Result<()> {
    tokio::select! {
        result = stop::signalled() => result,
        () = stop::listed_as_leaving(settings.platform.clone(), settings.vm.clone()) => {
            // The VM goes by the platform's plan: work ends, and the platform stops the process.
            log::info!("VM is listed as leaving");
            if let Some(control) = lock(&shell.control).as_ref() {
                control.event(SideEvent::Drain);
            }
            stop::signalled().await
        }
        () = shell.superseded.notified() => {
            Err(Error::new(ErrorCode::AlreadyOwned, format!("side {}", settings.side)))
        }
    }
}

async fn accept_links(
    listener: TcpListener,
    shell: Arc<SideShell>,
    control: ControlHandle<SideEvent>,
    wake: Arc<Notify>,
) {
    let mut next_link: LinkId = 0;
    loop {
        let Ok((socket, _)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_RETRY).await;
            continue;
        };
        next_link += 1;
        let (shell, control, wake) = (shell.clone(), control.clone(), wake.clone());
        tokio::spawn(serve_link(socket, next_link, shell, control, wake));
    }
}

async fn serve_link(
    socket: tokio::net::TcpStream,
    link: LinkId,
    shell: Arc<SideShell>,
    control: ControlHandle<SideEvent>,
    wake: Arc<Notify>,
) {
    let open = match link::accept(socket).await {
        Ok(open) => open,
        Err(error) => {
            log::info!(error:% = error; "link not accepted");
            return;
        }
    };
    lock(&shell.links).insert(link, open.sender.clone());
    shell.metrics.links.inc();
    control.event(SideEvent::LinkUp { link });
    let view = control.clone();
    let position = Arc::new(move || view.view().next);
    let context = LinkContext { metrics: shell.metrics.clone(), wake, position };
    let deliver = |frame| control.event(SideEvent::Frame { link, frame });
    if let Err(error) = open.run(context, deliver).await {
        log::info!(error:% = error, link; "link ended");
    }
    lock(&shell.links).remove(&link);
    shell.metrics.links.dec();
    control.event(SideEvent::LinkDown { link });
}

async fn poll_target(shell: Arc<SideShell>, control: ControlHandle<SideEvent>, target: TargetId) {
    let mut failures = 0;
    loop {
        failures = shell.report_once(&control, &target, failures).await;
        tokio::time::sleep(REPORT_INTERVAL).await;
    }
}

impl SideShell {
    fn open(settings: &SideProcessSettings, metrics: Arc<ProcessMetrics>) -> SideShell {
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
        SideShell {
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
            SideAction::Send { link, frame } => self.send(&control, link, frame),
            SideAction::CloseLink { link } => {
                if let Some(sender) = lock(&self.links).get(&link) {
                    sender.close();
                }
            }
            SideAction::Append { append_id, record } => self.append(control, append_id, record),
            SideAction::Start { target, fence, place } => self.start(control, target, fence, place),
            SideAction::Cancel { target, attempt } => self.cancel(target, attempt),
            SideAction::Probe { target } => {
                let shell = self.clone();
                self.runtime.spawn(async move {
                    shell.report_once(&control, &target, FAILED_REPORTS).await
                });
            }
            SideAction::ChangeRole { target, fence, plan, role } => {
                self.order(control, target, fence, plan, role)
            }
            SideAction::Superseded => self.superseded.notify_one(),
        }
    }

    fn send(&self, control: &ControlHandle<SideEvent>, link: LinkId, frame: SideFrame) {
        if let Some(sender) = lock(&self.links).get(&link) {
            sender.send(control.view().next, frame);
        }
    }

    fn append(&self, control: ControlHandle<SideEvent>, append_id: u64, record: LogRecord) {
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
                    log::warn!(error:% = error; "append failed or its answer was lost");
                    metrics.append_failures.inc()
                }
            };
            control.event(SideEvent::Appended { append_id, confirmed: appended.is_ok() });
        });
    }

    fn start(
        self: &Arc<Self>,
        control: ControlHandle<SideEvent>,
        target: TargetId,
        fence: u64,
        place: Arc<crate::frame::PlaceFrame>,
    ) {
        let Some(client) = self.clients.get(&target).cloned() else { return };
        let attempt = place.attempt;
        let shell = self.clone();
        let idempotent = place.idempotent;
        let task = self.runtime.spawn(async move {
            let deliver =
                |event| control.event(SideEvent::Target { target: target.clone(), event });
            match client {
                TargetClient::Engine(engine) => engine.run(fence, place, deliver).await,
                TargetClient::Service(service) => {
                    deliver(service_event(attempt, service.call(&place).await))
                }
            }
            lock(&shell.runs).remove(&attempt);
        });
        // A non-idempotent call is never aborted, so that its outcome gets recorded.
        if idempotent && !task.is_finished() {
            lock(&self.runs).insert(attempt, task.abort_handle());
        }
    }

    fn cancel(&self, target: TargetId, attempt: AttemptId) {
        if let Some(run) = lock(&self.runs).remove(&attempt) {
            run.abort();
        }
        if let Some(TargetClient::Engine(engine)) = self.clients.get(&target).cloned() {
            self.runtime.spawn(async move { engine.cancel(attempt).await.ok() });
        }
    }

    fn order(
        &self,
        control: ControlHandle<SideEvent>,
        target: TargetId,
        fence: u64,
        plan: u64,
        role: crate::record::EngineRole,
    ) {
        let Some(TargetClient::Engine(engine)) = self.clients.get(&target).cloned() else { return };
        self.runtime.spawn(async move {
            // A lost answer needs no event: the engine's own report decides.
            if let Ok(accepted) = engine.order(fence, plan, role).await {
                let event = TargetEvent::RoleChangeAnswered { plan, accepted };
                control.event(SideEvent::Target { target, event });
            }
        });
    }

    /// Reads a target's state once and returns the number of failures in a row.
    async fn report_once(
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
            Err(_) if failures + 1 >= FAILED_REPORTS => (TargetEvent::Down, failures + 1),
            Err(_) => return failures + 1,
        };
        control.event(SideEvent::Target { target: target.clone(), event });
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
