//! Shutdown: waits for a stop signal or for the VM to leave, and for the process to drain.

use std::time::Duration;

use tokio::signal::unix::{SignalKind, signal};

use super::{
    control::{ControlHandle, ControlMessage},
    platform::VmList,
};
use crate::{
    error::{Error, ErrorCode, Result},
    ids::VmId,
};

/// Interval at which a stopping process checks whether it is idle.
const IDLE_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Longest time for which a stopping process waits for work in flight.
pub const DRAIN_TIMEOUT: Duration = Duration::from_secs(600);
/// Interval between reads of the VM list.
const LIST_INTERVAL: Duration = Duration::from_secs(1);

/// Waits for SIGTERM or SIGINT.
///
/// # Errors
/// Returns [`ErrorCode::Network`] if the signal handlers cannot be installed.
pub async fn wait_for_signal() -> Result<()> {
    let failed = |e| Error::new(ErrorCode::Network, format!("signals ({e})"));
    let mut terminate = signal(SignalKind::terminate()).map_err(failed)?;
    let mut interrupt = signal(SignalKind::interrupt()).map_err(failed)?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    Ok(())
}

/// Waits until the VM list marks a VM as leaving; retries after a failure to read the list.
pub async fn wait_until_leaving<V: VmList>(list: V, vm: VmId) {
    loop {
        if let Ok(vms) = list.list().await
            && vms.iter().any(|listed| listed.vm == vm && listed.leaving)
        {
            return;
        }
        tokio::time::sleep(LIST_INTERVAL).await;
    }
}

/// Waits until no work is in flight, or at most `DRAIN_TIMEOUT`.
///
/// # Errors
/// Returns [`ErrorCode::Timeout`] if the control thread has ended.
pub async fn wait_until_drained<E>(control: &ControlHandle<E>) -> Result<()> {
    let idle = async {
        while !control.query(ControlMessage::Idle).await? {
            tokio::time::sleep(IDLE_POLL_INTERVAL).await;
        }
        Ok(())
    };
    tokio::time::timeout(DRAIN_TIMEOUT, idle).await.unwrap_or(Ok(()))
}
