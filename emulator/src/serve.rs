//! HTTP servers for the emulated log service, VM list, engines and plain services.
//!
//! The protocols are described in docs/PROTOCOLS.md.

use std::{
    collections::HashMap,
    sync::{Arc, Mutex},
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use poem::{
    Body, EndpointExt, IntoResponse, Response, Route, Server, get, handler,
    http::StatusCode,
    listener::TcpListener,
    post,
    web::{Data, Json, Path, Query},
};
use sapphirewell::{
    ids::{ClockTime, LogOffset, VmId},
    process::{
        platform::{AppendResponse, ListedVm, LogPage, PageRecord},
        target::{CancelRequest, OrderRequest, RunLine, RunRequest, RunWork},
    },
    record::EngineRole,
    side::TargetReport,
};
use serde::{Deserialize, Serialize};
use tokio::sync::{Notify, mpsc};

use crate::{
    engine::{self, EngineModel, EngineOutput, EngineProfile, EngineRun, EngineWork, RunKey},
    log::LogModel,
    service::ServiceModel,
};

/// Interval at which an idle engine is polled.
const ENGINE_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Settings of `emulator serve`.
#[derive(Debug, Clone)]
pub struct ServeSettings {
    /// Port of the log service, the VM list and the fault controls. Targets use the
    /// next ports, engines first.
    pub port: u16,
    /// Profiles of the engines to serve.
    pub engines: Vec<EngineProfile>,
    /// Target name and service name of each plain service to serve.
    pub services: Vec<(String, String)>,
    /// Time for which the log retains records.
    pub retention: Duration,
    /// Duration of a call to a plain service.
    pub call_time: Duration,
}

/// Faults to inject into the log service, set with `POST /faults`.
#[derive(Debug, Clone, Copy, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct LogFaults {
    /// Respond 503 to every append and read.
    pub down: bool,
    /// Delay before each append or read is handled, in milliseconds.
    pub slow_ms: u64,
    /// Execute appends but respond 504.
    pub lose_answers: bool,
}

struct PlatformState {
    log: Mutex<LogModel>,
    appended: Notify,
    faults: Mutex<LogFaults>,
    leaving: Mutex<HashMap<VmId, bool>>,
}

type EngineRegistry = Arc<HashMap<String, Arc<EngineState>>>;

struct EngineState {
    model: Mutex<EngineModel>,
    changed: Notify,
    started: Instant,
    runs: Mutex<EngineRuns>,
}

#[derive(Default)]
struct EngineRuns {
    next_key: RunKey,
    keys: HashMap<String, RunKey>,
    open: HashMap<RunKey, OpenRun>,
}

struct OpenRun {
    lines: mpsc::UnboundedSender<RunLine>,
    prompt_hash: u64,
}

struct ServiceState {
    model: Mutex<ServiceModel>,
    boot: u64,
}

#[derive(Debug, Deserialize)]
struct ReadQuery {
    from: LogOffset,
    max: usize,
    wait_ms: u64,
}

#[derive(Debug, Deserialize)]
struct AppendBody {
    body: Arc<str>,
}

#[derive(Debug, Deserialize)]
struct CrashQuery {
    down_ms: u64,
}

/// Serves all emulated systems until the process ends.
///
/// # Errors
/// Returns the error of the first server that fails.
pub async fn run(settings: ServeSettings) -> std::io::Result<()> {
    let mut servers = tokio::task::JoinSet::new();
    servers.spawn(platform_server(settings.port, settings.retention));
    let engines: HashMap<String, Arc<EngineState>> = settings
        .engines
        .iter()
        .map(|profile| (profile.name.clone(), Arc::new(EngineState::new(profile.clone()))))
        .collect();
    let registry: EngineRegistry = Arc::new(engines);
    let mut port = settings.port;
    for profile in &settings.engines {
        port += 1;
        let state = registry[&profile.name].clone();
        tokio::spawn(drive_engine(state.clone()));
        servers.spawn(engine_server(port, state, registry.clone()));
    }
    for _ in &settings.services {
        port += 1;
        servers.spawn(service_server(port, settings.call_time));
    }
    while let Some(ended) = servers.join_next().await {
        ended.map_err(std::io::Error::other)??;
    }
    Ok(())
}

async fn listen(port: u16, app: impl poem::Endpoint + 'static) -> std::io::Result<()> {
    Server::new(TcpListener::bind(("127.0.0.1", port))).run(app).await
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
}

fn log_time() -> Duration {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default()
}

async fn platform_server(port: u16, retention: Duration) -> std::io::Result<()> {
    let state = Arc::new(PlatformState {
        log: Mutex::new(LogModel::new(retention)),
        appended: Notify::new(),
        faults: Mutex::new(LogFaults::default()),
        leaving: Mutex::new(HashMap::new()),
    });
    let app = Route::new()
        .at("/append", post(append))
        .at("/read", get(read))
        .at("/vms", get(list_vms))
        .at("/vms/:vm/:state", post(set_vm_state))
        .at("/faults", post(set_faults))
        .data(state);
    listen(port, app).await
}

async fn apply_faults(state: &PlatformState) -> Result<LogFaults, Response> {
    let faults = *lock(&state.faults);
    if faults.down {
        return Err(StatusCode::SERVICE_UNAVAILABLE.into_response());
    }
    tokio::time::sleep(Duration::from_millis(faults.slow_ms)).await;
    Ok(faults)
}

#[handler]
async fn append(Json(body): Json<AppendBody>, state: Data<&Arc<PlatformState>>) -> Response {
    let faults = match apply_faults(&state).await {
        Ok(faults) => faults,
        Err(response) => return response,
    };
    let offset = lock(&state.log).append(log_time(), body.body);
    state.appended.notify_waiters();
    if faults.lose_answers {
        return StatusCode::GATEWAY_TIMEOUT.into_response();
    }
    Json(AppendResponse { offset }).into_response()
}

#[handler]
async fn read(Query(query): Query<ReadQuery>, state: Data<&Arc<PlatformState>>) -> Response {
    if let Err(response) = apply_faults(&state).await {
        return response;
    }
    let appended = state.appended.notified();
    if lock(&state.log).next() <= query.from {
        tokio::time::timeout(Duration::from_millis(query.wait_ms.min(5000)), appended).await.ok();
    }
    if lock(&state.faults).down {
        return StatusCode::SERVICE_UNAVAILABLE.into_response();
    }
    let mut log = lock(&state.log);
    log.expire(log_time());
    let records: Vec<PageRecord> = log
        .read(query.from, query.max)
        .into_iter()
        .map(|record| PageRecord {
            offset: record.offset,
            time_ms: record.time.as_millis() as u64,
            body: record.body,
        })
        .collect();
    let first = if log.first() == 1 { 0 } else { log.first() };
    let time_ms = log_time().as_millis() as u64;
    Json(LogPage { first, next: log.next(), time_ms, records }).into_response()
}

#[handler]
fn set_faults(Json(faults): Json<LogFaults>, state: Data<&Arc<PlatformState>>) -> Json<LogFaults> {
    *lock(&state.faults) = faults;
    state.appended.notify_waiters();
    Json(faults)
}

#[handler]
fn list_vms(state: Data<&Arc<PlatformState>>) -> Json<Vec<ListedVm>> {
    let leaving = lock(&state.leaving);
    Json(
        leaving
            .iter()
            .map(|(vm, leaving)| ListedVm { vm: vm.clone(), leaving: *leaving })
            .collect(),
    )
}

#[handler]
fn set_vm_state(
    Path((vm, vm_state)): Path<(String, String)>,
    state: Data<&Arc<PlatformState>>,
) -> &'static str {
    lock(&state.leaving).insert(vm.into(), vm_state == "leaving");
    "ok\n"
}

impl EngineState {
    fn new(profile: EngineProfile) -> EngineState {
        EngineState {
            model: Mutex::new(EngineModel::new(profile, EngineRole::Mixed)),
            changed: Notify::new(),
            started: Instant::now(),
            runs: Mutex::new(EngineRuns::default()),
        }
    }

    fn now(&self) -> ClockTime {
        self.started.elapsed()
    }

    fn deliver(&self, outputs: Vec<EngineOutput>) {
        let mut runs = lock(&self.runs);
        for output in outputs {
            runs.deliver(output);
        }
    }

    /// Crashes the engine and cuts off all open responses, as a process crash does.
    fn crash(&self, down: Duration) {
        lock(&self.model).crash(self.now(), down);
        let mut runs = lock(&self.runs);
        runs.open.clear();
        runs.keys.clear();
    }
}

impl EngineRuns {
    fn deliver(&mut self, output: EngineOutput) {
        match output {
            EngineOutput::PrefillDone(key) => self.send(key, RunLine::Read),
            EngineOutput::Chunk { key, index, tokens } => {
                let Some(run) = self.open.get(&key) else { return };
                let text = engine::chunk_text(run.prompt_hash, index, tokens).into();
                self.send(key, RunLine::Chunk { index, tokens, text });
            }
            EngineOutput::Done { key, chunks, tokens } => {
                self.send(key, RunLine::Done { chunks, tokens });
                self.open.remove(&key);
            }
            EngineOutput::CacheReady(key) => {
                self.send(key, RunLine::Prefilled { handle: key });
                self.open.remove(&key);
            }
            EngineOutput::Lost(key) => drop(self.open.remove(&key)),
            EngineOutput::Crashed => {
                self.open.clear();
                self.keys.clear();
            }
        }
    }

    fn send(&self, key: RunKey, line: RunLine) {
        if let Some(run) = self.open.get(&key) {
            run.lines.send(line).ok();
        }
    }
}

async fn drive_engine(state: Arc<EngineState>) {
    loop {
        let now = state.now();
        let mut outputs = Vec::new();
        let wake = {
            let mut model = lock(&state.model);
            model.advance(now, &mut outputs);
            model.next_wake()
        };
        state.deliver(outputs);
        let pause = wake.map_or(ENGINE_POLL_INTERVAL, |wake| wake.saturating_sub(state.now()));
        tokio::time::timeout(pause, state.changed.notified()).await.ok();
    }
}

async fn engine_server(
    port: u16,
    state: Arc<EngineState>,
    registry: EngineRegistry,
) -> std::io::Result<()> {
    let app = Route::new()
        .at("/run", post(run_engine))
        .at("/cancel", post(cancel_run))
        .at("/order", post(order_engine))
        .at("/state", get(engine_state))
        .at("/crash", post(crash_engine))
        .at("/role_changes", get(engine_role_changes))
        .data(state)
        .data(registry);
    listen(port, app).await
}

#[handler]
async fn run_engine(
    Json(request): Json<RunRequest>,
    state: Data<&Arc<EngineState>>,
    registry: Data<&EngineRegistry>,
) -> Response {
    if let RunWork::Decode { source, handle } = &request.work {
        let has_cache =
            registry.get(source.as_ref()).is_some_and(|source| lock(&source.model).holds(*handle));
        if !has_cache {
            return StatusCode::CONFLICT.into_response();
        }
    }
    match start_run(&state, request) {
        Some(lines) => Response::builder().body(Body::from_bytes_stream(line_stream(lines))),
        None => StatusCode::SERVICE_UNAVAILABLE.into_response(),
    }
}

fn start_run(state: &EngineState, request: RunRequest) -> Option<mpsc::UnboundedReceiver<RunLine>> {
    let prompt_hash = engine::prompt_hash(&request.prompt);
    let (lines, receiver) = mpsc::unbounded_channel();
    let key = {
        let mut runs = lock(&state.runs);
        runs.next_key += 1;
        let key = runs.next_key;
        runs.keys.insert(request.id.clone(), key);
        runs.open.insert(key, OpenRun { lines, prompt_hash });
        key
    };
    let work = match request.work {
        RunWork::Complete => EngineWork::Complete,
        RunWork::Prefill => EngineWork::Prefill,
        RunWork::Decode { .. } => EngineWork::Decode,
    };
    let run = EngineRun {
        key,
        work,
        prompt_tokens: request.prompt_tokens,
        prefixes: request.prefixes,
        output_tokens: engine::output_tokens(prompt_hash, request.max_output_tokens),
        priority: request.priority,
        resume_chunks: request.resume_chunks,
        poison: request.prompt.contains("POISON"),
    };
    let accepted = lock(&state.model).submit(state.now(), run);
    state.changed.notify_one();
    if !accepted {
        lock(&state.runs).open.remove(&key);
    }
    accepted.then_some(receiver)
}

fn line_stream(
    lines: mpsc::UnboundedReceiver<RunLine>,
) -> impl futures_util::Stream<Item = Result<Vec<u8>, std::io::Error>> + Send {
    futures_util::stream::unfold(lines, |mut lines| async move {
        let line = lines.recv().await?;
        let mut bytes = serde_json::to_vec(&line).unwrap_or_default();
        bytes.push(b'\n');
        Some((Ok(bytes), lines))
    })
}

#[handler]
fn cancel_run(
    Json(request): Json<CancelRequest>,
    state: Data<&Arc<EngineState>>,
) -> Json<serde_json::Value> {
    let key = lock(&state.runs).keys.remove(&request.id);
    if let Some(key) = key {
        lock(&state.runs).open.remove(&key);
        lock(&state.model).cancel(key);
    }
    Json(serde_json::json!({ "cancelled": key.is_some() }))
}

#[handler]
fn order_engine(Json(order): Json<OrderRequest>, state: Data<&Arc<EngineState>>) -> StatusCode {
    let mut outputs = Vec::new();
    let accepted =
        lock(&state.model).order(state.now(), order.fence, order.plan, order.role, &mut outputs);
    state.deliver(outputs);
    state.changed.notify_one();
    if accepted { StatusCode::OK } else { StatusCode::CONFLICT }
}

#[handler]
fn engine_state(state: Data<&Arc<EngineState>>) -> Response {
    let now = state.now();
    let mut model = lock(&state.model);
    if !model.is_up(now) {
        return StatusCode::SERVICE_UNAVAILABLE.into_response();
    }
    Json(model.report(now)).into_response()
}

#[handler]
fn engine_role_changes(state: Data<&Arc<EngineState>>) -> Json<u64> {
    Json(lock(&state.model).role_changes())
}

#[handler]
fn crash_engine(Query(query): Query<CrashQuery>, state: Data<&Arc<EngineState>>) -> &'static str {
    state.crash(Duration::from_millis(query.down_ms));
    "crashed\n"
}

async fn service_server(port: u16, call_time: Duration) -> std::io::Result<()> {
    let state = Arc::new(ServiceState {
        model: Mutex::new(ServiceModel::new(call_time)),
        boot: log_time().as_millis() as u64,
    });
    let app = Route::new()
        .at("/call", post(call_service))
        .at("/state", get(service_state))
        .at("/effects", get(service_effects))
        .data(state);
    listen(port, app).await
}

#[handler]
async fn call_service(
    request: &poem::Request,
    body: String,
    state: Data<&Arc<ServiceState>>,
) -> String {
    let header =
        |name: &str| request.headers().get(name).and_then(|v| v.to_str().ok()).unwrap_or_default();
    let customer = header("x-customer").to_owned();
    let (key, attempt) = (header("idempotency-key").to_owned(), header("x-attempt").to_owned());
    let call_time = lock(&state.model).call_time;
    tokio::time::sleep(call_time).await;
    if key.is_empty() {
        return body;
    }
    lock(&state.model).run(&format!("{customer}/{key}"), &attempt)
}

#[handler]
fn service_state(state: Data<&Arc<ServiceState>>) -> Json<TargetReport> {
    Json(TargetReport {
        boot: state.boot,
        role: None,
        changing: false,
        fence: 0,
        cached: Vec::new(),
    })
}

#[handler]
fn service_effects(state: Data<&Arc<ServiceState>>) -> Json<serde_json::Value> {
    Json(serde_json::json!(lock(&state.model).effects()))
}
