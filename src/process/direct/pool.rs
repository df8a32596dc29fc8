//! Connections to targets.

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1::SendRequest;
use tokio::{task::AbortHandle, time::Instant};

use crate::{
    error::{Error, ErrorCode, Result},
    process::dial,
};

/// Time to connect to a target.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(700);
/// Idle time for which a connection is used again where the target names none.
const IDLE_TIME: Duration = Duration::from_secs(3);
/// Time by which a connection is given up before the target would close it.
const IDLE_MARGIN: Duration = Duration::from_millis(700);
/// Idle connections that are kept for a target.
const MAX_IDLE: usize = 8;

/// Idle connections by target address.
#[derive(Debug, Default)]
pub(super) struct TargetPools {
    idle: RefCell<HashMap<SocketAddr, Vec<IdleConnection>>>,
    open: RefCell<HashMap<SocketAddr, Rc<Cell<usize>>>>,
}

/// Counts one open connection until it is dropped.
#[derive(Debug)]
struct OpenCount(Rc<Cell<usize>>);

impl OpenCount {
    fn new(count: &Rc<Cell<usize>>) -> OpenCount {
        count.set(count.get() + 1);
        OpenCount(count.clone())
    }
}

impl Drop for OpenCount {
    fn drop(&mut self) {
        self.0.set(self.0.get().saturating_sub(1));
    }
}

#[derive(Debug)]
struct IdleConnection {
    lease: ConnectionLease,
    until: Instant,
}

/// Connection in use; it is closed when this is dropped before
/// [`TargetPools::give_back`].
#[derive(Debug)]
pub(super) struct ConnectionLease {
    pub(super) sender: SendRequest<Full<Bytes>>,
    abort: AbortHandle,
    _count: OpenCount,
    pub(super) address: SocketAddr,
}

impl Drop for ConnectionLease {
    fn drop(&mut self) {
        self.abort.abort();
    }
}

impl TargetPools {
    /// Takes an idle connection that still works.
    pub(super) fn take(&self, address: SocketAddr) -> Option<ConnectionLease> {
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(&address)?;
        let now = Instant::now();
        while let Some(connection) = connections.pop() {
            if connection.until > now && connection.lease.sender.is_ready() {
                return Some(connection.lease);
            }
        }
        None
    }

    /// Opens a new connection, where fewer than `limit` are open.
    ///
    /// # Errors
    /// Returns why the target could not be reached.
    pub(super) async fn connect(
        &self,
        address: SocketAddr,
        limit: usize,
    ) -> Result<ConnectionLease> {
        let count = self.open.borrow_mut().entry(address).or_default().clone();
        if count.get() >= limit {
            let place = format!("{address}: {limit} connections are open");
            return Err(Error::new(ErrorCode::TargetUnavailable, place));
        }
        let counted = OpenCount::new(&count);
        let open = dial::connect(address, CONNECT_TIMEOUT).await?;
        Ok(ConnectionLease { sender: open.sender, abort: open.abort, _count: counted, address })
    }

    /// Keeps a connection whose answer is complete for the next call.
    pub(super) fn give_back(&self, lease: ConnectionLease, idle_limit: Option<Duration>) {
        let limit = idle_limit.unwrap_or(IDLE_TIME).min(IDLE_TIME).saturating_sub(IDLE_MARGIN);
        if limit.is_zero() || lease.sender.is_closed() {
            return;
        }
        let mut idle = self.idle.borrow_mut();
        let connections = idle.entry(lease.address).or_default();
        if connections.len() >= MAX_IDLE {
            connections.remove(0);
        }
        connections.push(IdleConnection { lease, until: Instant::now() + limit });
    }

    /// Closes connections that have been idle for too long.
    pub(super) fn close_expired(&self) {
        let now = Instant::now();
        let mut idle = self.idle.borrow_mut();
        for connections in idle.values_mut() {
            connections.retain(|connection| connection.until > now);
        }
        idle.retain(|_, connections| !connections.is_empty());
        self.open.borrow_mut().retain(|_, count| count.get() > 0 || Rc::strong_count(count) > 1);
    }
}
