//! Reads the log, or, while it cannot be reached, a peer's copy of it.

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

/// Time without any answer from the log or a peer after which a process takes no new requests.
pub const ISOLATION_LIMIT: Duration = Duration::from_secs(5);
/// Time without an answer after which the log counts as unreachable.
const HEALTH_LIMIT: Duration = Duration::from_millis(1500);
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// What a process wants to hear about its contact with others.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ContactChange {
    /// Whether the log service answers.
    Log(bool),
    /// Whether anybody answers.
    Anybody(bool),
}

/// Follows the log for one process.
pub struct LogTail<E, L> {
    control: ControlHandle<E>,
    log: L,
    peers: PeerClient,
    wake: Arc<Notify>,
    metrics: Arc<ProcessMetrics>,
    on_contact: Box<dyn Fn(ContactChange) + Send + Sync>,
}

#[derive(Debug)]
struct ContactState {
    log_heard: Instant,
    anybody_heard: Instant,
    log: bool,
    anybody: bool,
}

impl<E: Send + 'static, L: LogService> LogTail<E, L> {
    /// Makes the tail of one process; `on_contact` hears of changes of contact.
    pub fn new(
        control: &ControlHandle<E>,
        log: L,
        peers: &[SocketAddr],
        wake: &Arc<Notify>,
        metrics: &Arc<ProcessMetrics>,
        on_contact: impl Fn(ContactChange) + Send + Sync + 'static,
    ) -> LogTail<E, L> {
        LogTail {
            control: control.clone(),
            log,
            peers: PeerClient::new(peers.to_vec()),
            wake: wake.clone(),
            metrics: metrics.clone(),
            on_contact: Box::new(on_contact),
        }
    }

    /// Follows the log until the process ends.
    pub fn spawn(self) -> tokio::task::JoinHandle<()> {
        tokio::spawn(self.run())
    }

    async fn run(self) {
        let now = Instant::now();
        let mut contact =
            ContactState { log_heard: now, anybody_heard: now, log: true, anybody: true };
        let mut position = 0;
        let mut first_read = true;
        loop {
            match self.read_log(position).await {
                Ok(page) => {
                    contact.log_heard = Instant::now();
                    contact.anybody_heard = contact.log_heard;
                    self.take_page(page, &mut position, first_read).await;
                    first_read = false;
                }
                Err(_) => {
                    if self.ask_peers(&mut position).await {
                        contact.anybody_heard = Instant::now();
                        first_read = false;
                    }
                    tokio::time::sleep(RETRY_DELAY).await;
                }
            }
            self.report(&mut contact);
        }
    }

    async fn read_log(&self, position: u64) -> Result<LogPage> {
        tokio::select! {
            page = self.log.read(position, LONG_POLL_TIME) => page,
            () = self.wake.notified() => self.log.read(position, Duration::ZERO).await,
        }
    }

    async fn take_page(&self, page: LogPage, position: &mut u64, first_read: bool) {
        if page.first > *position {
            if let Some(next) = self.adopt_peer(*position).await
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

    /// Takes a newer state from a peer and returns its position.
    async fn adopt_peer(&self, position: u64) -> Option<u64> {
        let fold = self.peers.fetch_fold().await?;
        let next = fold.view().next;
        if next <= position {
            return None;
        }
        self.control.send(ControlMessage::Adopt(Box::new(fold)));
        Some(next)
    }

    async fn ask_peers(&self, position: &mut u64) -> bool {
        let Some(recent) = self.peers.fetch_recent(*position).await else { return false };
        if !recent.complete && recent.next > *position {
            if let Some(next) = self.adopt_peer(*position).await {
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

    fn report(&self, contact: &mut ContactState) {
        let log = contact.log_heard.elapsed() < HEALTH_LIMIT;
        let anybody = contact.anybody_heard.elapsed() < ISOLATION_LIMIT;
        if contact.log != log {
            contact.log = log;
            log::warn!(reachable = log; "contact with the log service changed");
            (self.on_contact)(ContactChange::Log(log));
        }
        if contact.anybody != anybody {
            contact.anybody = anybody;
            log::warn!(reachable = anybody; "contact with any other process changed");
            (self.on_contact)(ContactChange::Anybody(anybody));
        }
        self.metrics.log_reachable.set(i64::from(log));
    }
}
