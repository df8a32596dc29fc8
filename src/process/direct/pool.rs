//! Pool of HTTP connections to targets.

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use tokio::{task::AbortHandle, time::Instant};

use crate::{
    error::{Error, ErrorCode, Result},
    process::dial::{self, RequestSender},
};

/// Timeout for connecting to a target.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(700);
/// Longest keep-alive time that a connection is trusted with, and the default for targets
/// that state none.
const MAX_KEEP_ALIVE: Duration = Duration::from_secs(3);
/// Time before the end of a keep-alive at which a connection is no longer reused, so that
/// the target does not close it under a request.
const KEEP_ALIVE_MARGIN: Duration = Duration::from_millis(700);
/// Largest number of idle connections per target.
const MAX_IDLE_CONNECTIONS: usize = 8;

/// Idle connections and counts of open connections, by target address.
#[derive(Debug, Default)]
pub(super) struct TargetPools {
    idle: RefCell<HashMap<SocketAddr, Vec<IdleConnection>>>,
    open: RefCell<HashMap<SocketAddr, Rc<Cell<usize>>>>,
}

/// Keeps one connection counted as open until dropped.
#[derive(Debug)]
struct OpenGuard(Rc<Cell<usize>>);

impl OpenGuard {
    fn new(count: &Rc<Cell<usize>>) -> OpenGuard {
        count.set(count.get() + 1);
        OpenGuard(count.clone())
    }
}

impl Drop for OpenGuard {
    fn drop(&mut self) {
        self.0.set(self.0.get().saturating_sub(1));
    }
}

#[derive(Debug)]
struct IdleConnection {
    lease: ConnectionLease,
    expires: Instant,
}

/// Connection taken from the pool. Dropping it closes the connection;
/// [`TargetPools::return_idle`] keeps it for reuse.
#[derive(Debug)]
pub(super) struct ConnectionLease {
    pub(super) sender: RequestSender,
    abort: AbortHandle,
    _guard: OpenGuard,
    pub(super) address: SocketAddr,
}

impl Drop for ConnectionLease {
    fn drop(&mut self) {
        self.abort.abort();
    }
}

impl TargetPools {
    /// Takes an idle connection that is still usable.
    pub(super) fn take_idle(&self, address: SocketAddr) -> Option<ConnectionLease> {
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(&address)?;
        let now = Instant::now();
        connections
            .retain(|connection| connection.expires > now && connection.lease.sender.is_ready());
        connections.pop().map(|connection| connection.lease)
    }

    /// Closes the idle connection to an address that was used the longest time ago, and returns
    /// whether there was one.
    fn close_idle(&self, address: SocketAddr) -> bool {
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(&address).filter(|connections| !connections.is_empty());
        connections.map(|connections| connections.remove(0)).is_some()
    }

    /// Opens a new connection, for which an idle one is closed at the limit.
    ///
    /// # Errors
    /// Returns [`ErrorCode::TargetUnavailable`] if `limit` connections are already in use, or
    /// the reason why the target cannot be reached.
    pub(super) async fn connect(
        &self,
        address: SocketAddr,
        limit: usize,
    ) -> Result<ConnectionLease> {
        let count = self.open.borrow_mut().entry(address).or_default().clone();
        if count.get() >= limit && !self.close_idle(address) {
            let place = format!("{address}: {limit} connections are open");
            return Err(Error::new(ErrorCode::TargetUnavailable, place));
        }
        let guard = OpenGuard::new(&count);
        let open = dial::connect(address, CONNECT_TIMEOUT).await?;
        Ok(ConnectionLease { sender: open.sender, abort: open.abort, _guard: guard, address })
    }

    /// Returns a connection whose response is complete to the pool.
    ///
    /// `keep_alive` is the idle timeout that the target stated, if any.
    pub(super) fn return_idle(&self, lease: ConnectionLease, keep_alive: Option<Duration>) {
        let limit = keep_alive
            .unwrap_or(MAX_KEEP_ALIVE)
            .min(MAX_KEEP_ALIVE)
            .saturating_sub(KEEP_ALIVE_MARGIN);
        if limit.is_zero() || lease.sender.is_closed() {
            return;
        }
        let mut idle = self.idle.borrow_mut();
        let connections = idle.entry(lease.address).or_default();
        if connections.len() >= MAX_IDLE_CONNECTIONS {
            connections.remove(0);
        }
        connections.push(IdleConnection { lease, expires: Instant::now() + limit });
    }

    /// Closes connections whose keep-alive time is over.
    pub(super) fn close_expired(&self) {
        let now = Instant::now();
        let mut idle = self.idle.borrow_mut();
        for connections in idle.values_mut() {
            connections.retain(|connection| connection.expires > now);
        }
        idle.retain(|_, connections| !connections.is_empty());
        self.open.borrow_mut().retain(|_, count| count.get() > 0 || Rc::strong_count(count) > 1);
    }
}
