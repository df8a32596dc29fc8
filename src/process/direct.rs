//! Process of an entry that calls targets itself, without sides in between.
//!
//! A single thread makes the decisions and carries the traffic: the VMs that it runs on
//! have a fifth of a core, and each wake-up of a second thread would cost CPU time.
//! See [docs/design/platform.md](../../docs/design/platform.md).

use std::{rc::Rc, time::Duration};

use tokio::{
    signal::unix::{Signal, SignalKind, signal},
    task::{JoinHandle, LocalSet},
    time::Instant,
};

use crate::{
    direct::{
        DirectEvent, DirectMachine, DirectSettings, ScaleSettings, StopPhase, UsageEvent,
        UsageSettings,
    },
    error::{Error, ErrorCode, Result},
    platform::settings::{self, PlatformSettings, ScaleTarget, UsageTarget},
};

mod answer;
mod call;
mod caller_stream;
mod copy;
mod duty_call;
mod fault;
mod follow;
mod gossip;
mod inspect;
mod metrics;
mod orders;
mod pool;
mod record_bytes;
mod request_body;
mod scale;
mod serve;
mod shell;
mod suspects;
mod usage;
mod versions;

use request_body::BodyMemory;
use shell::DirectDriver;

/// Interval between ticks of the state machine; a twentieth of the shortest route timeout.
const TICK_INTERVAL: Duration = Duration::from_millis(40);
/// Part of the stop grace period that is reserved for the exit of the process, and the largest
/// share of a short one.
const EXIT_MARGIN: (Duration, u32) = (Duration::from_millis(700), 8);
/// Interval at which a stopping process checks whether it may exit.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Time in which the last responses reach their callers, beyond the end of the stop.
const FLUSH_TIME: Duration = Duration::from_millis(200);
/// Interval between orders for targets to a platform that takes no calls.
const MAX_SCALE_INTERVAL: Duration = Duration::from_secs(60);

/// Runs an entry until a stop signal, and then until its requests are finished or the stop
/// grace period is over.
///
/// # Errors
/// Returns [`ErrorCode::Network`] if the runtime cannot be built, a signal handler cannot
/// be installed, or an address cannot be bound.
pub fn run(settings: PlatformSettings) -> Result<()> {
    let failed = |e| Error::new(ErrorCode::Network, format!("runtime ({e})"));
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_all().build().map_err(failed)?;
    LocalSet::new().block_on(&runtime, run_local(settings))
}

async fn run_local(settings: PlatformSettings) -> Result<()> {
    let instance: u64 = rand::random();
    let mut signals = ProcessSignals::install()?;
    let machine = DirectMachine::new(DirectSettings {
        name: settings.vm.clone(),
        instance,
        seed: instance,
        data_centre: settings.data_centre.clone(),
        retry_ratio: settings.retry_ratio,
        retry_slack: settings.retry_slack,
        retry_window: settings.retry_window,
        lease: settings.lease,
        drain_bound: settings.drain_bound,
        usage: settings.usage.as_ref().map(usage_settings),
        scale: settings.scale.as_ref().map(scale_settings),
    });
    let bodies = BodyMemory::of_vm(settings.memory_bytes);
    let (usage, scale) = (settings.usage.clone(), settings.scale.clone());
    let driver = Rc::new(DirectDriver::new(machine, settings.store, bodies, usage, scale));
    let callers = serve::bind(settings.caller_listen).await?;
    let readiness = serve::bind(settings.readiness_listen).await?;
    tokio::task::spawn_local(serve::serve_readiness(readiness, driver.clone()));
    let accepting = tokio::task::spawn_local(serve::serve_callers(callers, driver.clone()));
    tokio::task::spawn_local(tick(driver.clone()));
    tokio::task::spawn_local(watch_store(driver.clone()));
    follow::spawn(&settings, &driver);
    tokio::task::spawn_local(suspects::read(driver.clone()));
    gossip::spawn(&settings, instance, &driver).await?;
    if let Some(address) = settings.inspection_listen {
        let listener = serve::bind(address).await?;
        tokio::task::spawn_local(inspect::serve(listener, driver.clone()));
    }
    let own = settings.inspection_listen;
    let peers = settings.seeds.iter().copied().filter(|seed| Some(*seed) != own).collect();
    tokio::task::spawn_local(copy::copy_from_peers(peers, driver.clone()));
    log::info!(
        vm:% = settings.vm, instance:% = instance, callers:% = settings.caller_listen;
        "started"
    );
    signals.wait_for_stop(&settings).await;
    shut_down(&settings, &driver, &accepting).await;
    Ok(())
}

fn usage_settings(target: &UsageTarget) -> UsageSettings {
    let interval = Duration::try_from_secs_f64(1.0 / target.calls_per_second);
    UsageSettings {
        window: target.window,
        lateness: target.lateness,
        // A platform that takes no calls is asked once in a window.
        call_interval: interval.unwrap_or(target.window).min(target.window),
    }
}

fn scale_settings(target: &ScaleTarget) -> ScaleSettings {
    let interval = Duration::try_from_secs_f64(1.0 / target.calls_per_second);
    ScaleSettings { call_interval: interval.unwrap_or(MAX_SCALE_INTERVAL).min(MAX_SCALE_INTERVAL) }
}

/// Finishes the requests in flight within the stop grace period, as the state machine plans it.
async fn shut_down(
    settings: &PlatformSettings,
    driver: &Rc<DirectDriver>,
    accepting: &JoinHandle<()>,
) {
    log::info!(in_flight:% = driver.in_flight(); "stopping");
    let (margin, share) = EXIT_MARGIN;
    let time = settings.stop_grace - margin.min(settings.stop_grace / share);
    let end = Instant::now() + time;
    driver.begin_shutdown(time);
    let mut phase = StopPhase::Serving;
    while phase != StopPhase::Exiting {
        let next = driver.stop_phase();
        if next != phase {
            phase = next;
            log::info!(phase:% = phase, in_flight:% = driver.in_flight(); "stop goes on");
            if phase >= StopPhase::Removed {
                driver.close_idle_connections();
            }
        }
        tokio::time::sleep(STOP_POLL_INTERVAL).await;
    }
    accepting.abort();
    driver.log_unfinished();
    driver.end_shutdown();
    let flushed_by = end.max(Instant::now() + FLUSH_TIME);
    while driver.busy_connections() > 0 && Instant::now() < flushed_by {
        tokio::time::sleep(STOP_POLL_INTERVAL).await;
    }
    log::info!(in_flight:% = driver.in_flight(); "stopped");
}

async fn tick(driver: Rc<DirectDriver>) {
    let mut interval = tokio::time::interval(TICK_INTERVAL);
    interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        interval.tick().await;
        driver.tick();
    }
}

/// Tells the state machine each time that the store was restored from an older copy.
async fn watch_store(driver: Rc<DirectDriver>) {
    let mut known = None;
    loop {
        let generation = driver.generations.wait_for_restore(known).await;
        driver.update_clock();
        // The first statement of a generation is no restore.
        if known.replace(generation).is_none() {
            driver.step(DirectEvent::Usage(UsageEvent::StoreSeen(generation)));
        } else {
            log::warn!(generation:% = generation; "store restored from an older copy");
            driver.step(DirectEvent::StoreRestored(generation));
        }
    }
}

/// Signals that the platform sends to a process.
struct ProcessSignals {
    terminate: Signal,
    interrupt: Signal,
    reload: Signal,
}

impl ProcessSignals {
    fn install() -> Result<ProcessSignals> {
        let open = |kind| {
            signal(kind).map_err(|e| Error::new(ErrorCode::Network, format!("signals ({e})")))
        };
        Ok(ProcessSignals {
            terminate: open(SignalKind::terminate())?,
            interrupt: open(SignalKind::interrupt())?,
            reload: open(SignalKind::hangup())?,
        })
    }

    /// Waits for a signal to stop the process.
    ///
    /// A reload signal only validates the settings file: changes take effect in a new
    /// process.
    async fn wait_for_stop(&mut self, current: &PlatformSettings) {
        loop {
            tokio::select! {
                _ = self.terminate.recv() => return,
                _ = self.interrupt.recv() => return,
                _ = self.reload.recv() => check_settings(current),
            }
        }
    }
}

fn check_settings(current: &PlatformSettings) {
    match settings::load() {
        Ok(reloaded) => {
            log::info!(
                changed:% = reloaded != *current;
                "settings file is valid; changes take effect after a restart"
            )
        }
        Err(errors) => {
            for error in errors {
                log::warn!(
                    error:% = error;
                    "settings file is invalid; the current settings stay in force"
                );
            }
        }
    }
}
