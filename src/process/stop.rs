//! Reasons to stop: a signal, or the VM list.

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

const IDLE_POLL: Duration = Duration::from_millis(50);
/// Longest time that a stopping process waits for work in flight.
const DRAIN_LIMIT: Duration = Duration::from_secs(600);
const LIST_INTERVAL: Duration = Duration::from_secs(1);

/// Waits for SIGTERM or SIGINT.
///
/// # Errors
/// Returns [`ErrorCode::Network`] where signals cannot be received.
pub async fn signalled() -> Result<()> {
    let no_signals = |e| Error::new(ErrorCode::Network, format!("signals ({e})"));
    let mut terminate = signal(SignalKind::terminate()).map_err(no_signals)?;
    let mut interrupt = signal(SignalKind::interrupt()).map_err(no_signals)?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    Ok(())
}

/// Waits until the VM list marks a VM as leaving. Failures to read the list are ignored.
pub async fn listed_as_leaving<V: VmList>(list: V, vm: VmId) {
    loop {
        if let Ok(vms) = list.list().await
            && vms.iter().any(|listed| listed.vm == vm && listed.leaving)
        {
            return;
        }
        tokio::time::sleep(LIST_INTERVAL).await;
    }
}

/// Waits until the process's machine has nothing left to do.
///
/// # Errors
/// Returns [`ErrorCode::Timeout`] where the control thread has ended.
pub async fn drained<E>(control: &ControlHandle<E>) -> Result<()> {
    let idle = async {
        while !control.ask(ControlMessage::Idle).await? {
            tokio::time::sleep(IDLE_POLL).await;
        }
        Ok(())
    };
    tokio::time::timeout(DRAIN_LIMIT, idle).await.unwrap_or(Ok(()))
}
