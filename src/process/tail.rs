//! Follows the log, or a peer's copy of it while the log service is unreachable.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use tokio::sync::Notify;

use super::{
    control::{ControlHandle, ControlMessage, RecentRecords},
    metrics::ProcessMetrics,
    peer::PeerClient,
    platform::{LONG_POLL_TIME, LogPage, LogService},
};
use crate::error::Result;

/// Time without a response from the log service or a peer after which a process accepts no
/// new requests.
pub const ISOLATION_TIMEOUT: Duration = Duration::from_secs(5);
/// Time without a response after which the log service counts as unreachable.
const LOG_HEALTH_TIMEOUT: Duration = Duration::from_millis(1500);
/// Pause after a failed read of the log.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// Change in which other processes this process can reach.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReachabilityChange {
    /// Whether the log service responds.
    Log(bool),
    /// Whether the log service or any peer responds.
    Any(bool),
}

/// Reads the log continuously and passes its records to the control thread.
pub struct LogTail<E, L> {
    control: ControlHandle<E>,
    log: L,
    peers: PeerClient,
    wake: Arc<Notify>,
    metrics: Arc<ProcessMetrics>,
    on_change: Box<dyn Fn(ReachabilityChange) + Send + Sync>,
}

#[derive(Debug)]
struct ReachabilityState {
    last_log_response: Instant,
    last_response: Instant,
    log: bool,
    any: bool,
}

impl<E: Send + 'static, L: LogService> LogTail<E, L> {
    /// Creates the tail of one process.
    ///
    /// `wake` makes it read at once instead of waiting for a long poll; `on_change` is called
    /// on each change of reachability.
    pub fn new(
        control: &ControlHandle<E>,
        log: L,
        peers: &[SocketAddr],
        wake: &Arc<Notify>,
        metrics: &Arc<ProcessMetrics>,
        on_change: impl Fn(ReachabilityChange) + Send + Sync + 'static,
    ) -> LogTail<E, L> {
        LogTail {
            control: control.clone(),
            log,
            peers: PeerClient::new(peers.to_vec()),
            wake: wake.clone(),
            metrics: metrics.clone(),
            on_change: Box::new(on_change),
        }
    }

    /// Starts the task that follows the log until the process ends.
    pub fn spawn(self) -> tokio::task::JoinHandle<()> {
        tokio::spawn(self.run())
    }

    async fn run(self) {
        let now = Instant::now();
        let mut state =
            ReachabilityState { last_log_response: now, last_response: now, log: true, any: true };
        let mut position = 0;
        let mut first_read = true;
        loop {
            match self.read_log(position).await {
                Ok(page) => {
                    state.last_log_response = Instant::now();
                    state.last_response = state.last_log_response;
                    self.apply_page(page, &mut position, first_read).await;
                    first_read = false;
                }
                Err(_) => {
                    if self.read_peers(&mut position).await {
                        state.last_response = Instant::now();
                        first_read = false;
                    }
                    tokio::time::sleep(RETRY_DELAY).await;
                }
            }
            self.report_changes(&mut state);
        }
    }

    async fn read_log(&self, position: u64) -> Result<LogPage> {
        tokio::select! {
            page = self.log.read(position, LONG_POLL_TIME) => page,
            () = self.wake.notified() => self.log.read(position, Duration::ZERO).await,
        }
    }

    async fn apply_page(&self, page: LogPage, position: &mut u64, first_read: bool) {
        if page.first > *position {
            if let Some(next) = self.adopt_peer_state(*position).await
                && (first_read || next >= page.first)
            {
                *position = next;
                return;
            }
            self.control.send(ControlMessage::Skip { first: page.first });
        }
        let time = page.time();
        let caught_up = page.records.last().is_none_or(|last| last.offset + 1 == page.next);
        *position = page.records.last().map_or(page.next, |last| last.offset + 1);
        let records = page.records.into_iter().map(Into::into).collect();
        let time = caught_up.then_some(time);
        self.control.send(ControlMessage::Records { records, time });
    }

    /// Adopts the state of a peer that has read past `position`, and returns the peer's position.
    async fn adopt_peer_state(&self, position: u64) -> Option<u64> {
        let fleet = self.peers.fetch_fleet().await?;
        let next = fleet.view().next;
        if next <= position {
            return None;
        }
        self.control.send(ControlMessage::Adopt(Box::new(fleet)));
        Some(next)
    }

    /// Reads records from a peer; returns whether any peer responded.
    async fn read_peers(&self, position: &mut u64) -> bool {
        let Some(recent) = self.peers.fetch_recent(*position).await else { return false };
        if !recent.complete && recent.next > *position {
            if let Some(next) = self.adopt_peer_state(*position).await {
                *position = next;
            }
            return true;
        }
        let RecentRecords { records, .. } = recent;
        if let Some(last) = records.last() {
            *position = last.offset + 1;
            self.control.send(ControlMessage::Records { records, time: None });
        }
        true
    }

    fn report_changes(&self, state: &mut ReachabilityState) {
        let log = state.last_log_response.elapsed() < LOG_HEALTH_TIMEOUT;
        let any = state.last_response.elapsed() < ISOLATION_TIMEOUT;
        if state.log != log {
            state.log = log;
            log::warn!(reachable = log; "log service reachability changed");
            (self.on_change)(ReachabilityChange::Log(log));
        }
        if state.any != any {
            state.any = any;
            log::warn!(reachable = any; "reachability of all other processes changed");
            (self.on_change)(ReachabilityChange::Any(any));
        }
        self.metrics.log_reachable.set(i64::from(log));
    }
}
