//! Process of an entry that calls targets itself, on the users' platform.
//!
//! One thread carries both the decisions and the traffic: the machines that it
//! runs on have a fifth of a core, and each wake-up of a second thread costs
//! processor time. See [docs/design/platform.md](../../docs/design/platform.md).

use std::{rc::Rc, time::Duration};

use tokio::{
    signal::unix::{Signal, SignalKind, signal},
    task::LocalSet,
    time::Instant,
};

use crate::{
    direct::{DirectMachine, DirectSettings},
    error::{Error, ErrorCode, Result},
    platform::settings::{self, PlatformSettings},
};

mod answer;
mod call;
mod copy;
mod follow;
mod gossip;
mod inspect;
mod metrics;
mod orders;
mod pool;
mod serve;
mod shell;
mod suspects;

use shell::DirectShell;

/// Interval of the machine's ticks; a twentieth of the shortest time limit.
const TICK_INTERVAL: Duration = Duration::from_millis(40);
/// Time after the stop signal in which new connections still come: the balancer
/// asks once a second and takes a process out after two misses.
const NOTICE_TIME: Duration = Duration::from_millis(3200);
/// Part of the stop limit that is kept for the process's own end.
const END_MARGIN: Duration = Duration::from_millis(700);
/// Interval at which a stopping process looks whether it is idle.
const IDLE_POLL: Duration = Duration::from_millis(50);

/// Runs an entry until it is told to stop and has finished its requests.
///
/// # Errors
/// Returns [`ErrorCode::Network`] where an address cannot be bound.
pub fn run(settings: PlatformSettings) -> Result<()> {
    let failed = |e| Error::new(ErrorCode::Network, format!("runtime ({e})"));
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_all().build().map_err(failed)?;
    LocalSet::new().block_on(&runtime, run_local(settings))
}

async fn run_local(settings: PlatformSettings) -> Result<()> {
    let instance: u64 = rand::random();
    let mut signals = StopSignals::open()?;
    let machine = DirectMachine::new(DirectSettings {
        name: settings.vm.clone(),
        instance,
        seed: instance,
        data_centre: settings.data_centre.clone(),
        retry_ratio: settings.retry_ratio,
        retry_slack: settings.retry_slack,
        retry_window: settings.retry_window,
        lease: settings.lease,
    });
    let shell = Rc::new(DirectShell::new(machine, settings.store));
    let callers = serve::bind(settings.caller_listen).await?;
    let readiness = serve::bind(settings.readiness_listen).await?;
    tokio::task::spawn_local(serve::serve_readiness(readiness, shell.clone()));
    tokio::task::spawn_local(serve::serve_callers(callers, shell.clone()));
    tokio::task::spawn_local(tick(shell.clone()));
    follow::spawn(&settings, &shell);
    tokio::task::spawn_local(suspects::read(settings.store, shell.clone()));
    gossip::spawn(&settings, instance, &shell).await?;
    if let Some(address) = settings.inspection_listen {
        let listener = serve::bind(address).await?;
        tokio::task::spawn_local(inspect::serve(listener, shell.clone()));
    }
    let own = settings.inspection_listen;
    let peers = settings.seeds.iter().copied().filter(|seed| Some(*seed) != own).collect();
    tokio::task::spawn_local(copy::copy(peers, shell.clone()));
    log::info!(vm:% = settings.vm, instance:% = instance, callers:% = settings.caller_listen; "started");
    signals.wait(&settings).await;
    stop(&settings, &shell).await;
    Ok(())
}

/// Finishes all requests inside the stop limit; new ones still come until the
/// balancer has noticed.
async fn stop(settings: &PlatformSettings, shell: &Rc<DirectShell>) {
    log::info!(in_flight:% = shell.in_flight(); "stopping");
    shell.stop();
    let begun = Instant::now();
    let last = settings.stop_grace.saturating_sub(END_MARGIN);
    tokio::time::sleep(NOTICE_TIME.min(last)).await;
    shell.close_idle();
    while shell.in_flight() > 0 && begun.elapsed() < last {
        tokio::time::sleep(IDLE_POLL).await;
    }
    // Leaves the last answers time to reach their callers.
    tokio::time::sleep(IDLE_POLL).await;
    log::info!(in_flight:% = shell.in_flight(); "stopped");
}

async fn tick(shell: Rc<DirectShell>) {
    let mut interval = tokio::time::interval(TICK_INTERVAL);
    interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        interval.tick().await;
        shell.tick();
    }
}

/// The signals that a process of the platform gets.
struct StopSignals {
    terminate: Signal,
    interrupt: Signal,
    reload: Signal,
}

impl StopSignals {
    fn open() -> Result<StopSignals> {
        let open = |kind| {
            signal(kind).map_err(|e| Error::new(ErrorCode::Network, format!("signals ({e})")))
        };
        Ok(StopSignals {
            terminate: open(SignalKind::terminate())?,
            interrupt: open(SignalKind::interrupt())?,
            reload: open(SignalKind::hangup())?,
        })
    }

    /// Waits for the signal to stop.
    ///
    /// Settings that change need a new process; a reload only checks them.
    async fn wait(&mut self, current: &PlatformSettings) {
        loop {
            tokio::select! {
                _ = self.terminate.recv() => return,
                _ = self.interrupt.recv() => return,
                _ = self.reload.recv() => reload(current),
            }
        }
    }
}

fn reload(current: &PlatformSettings) {
    match settings::load() {
        Ok(fresh) => log::info!(changed:% = fresh != *current; "settings read again"),
        Err(errors) => {
            for error in errors {
                log::warn!(error:% = error; "settings kept: the changed file is not valid");
            }
        }
    }
}
