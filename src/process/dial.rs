//! TCP connections that notice a peer which has gone silent.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use socket2::{SockRef, TcpKeepalive};
use tokio::{net::TcpStream, task::AbortHandle};

use crate::error::{Error, ErrorCode, Result};

/// Idle time after which a connection is probed.
const PROBE_AFTER: Duration = Duration::from_secs(1);
/// Pause between probes.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);
/// Probes without an answer after which a connection counts as dead.
const PROBE_COUNT: u32 = 2;
/// Time after which unacknowledged bytes end a connection.
const UNACKNOWLEDGED_LIMIT: Duration = Duration::from_millis(2500);

/// HTTP connection that this process opened.
#[derive(Debug)]
pub struct OpenConnection {
    /// Sends requests.
    pub sender: SendRequest<Full<Bytes>>,
    /// Ends the connection at once.
    pub abort: AbortHandle,
}

/// Connects to an address.
///
/// # Errors
/// Returns [`ErrorCode::Network`] where the connection fails, and
/// [`ErrorCode::Timeout`] where it takes too long.
pub async fn connect(address: SocketAddr, timeout: Duration) -> Result<OpenConnection> {
    let failed =
        |e: &dyn std::fmt::Display| Error::new(ErrorCode::Network, format!("{address} ({e})"));
    let connecting = tokio::time::timeout(timeout, TcpStream::connect(address)).await;
    let stream = connecting
        .map_err(|_| Error::new(ErrorCode::Timeout, format!("{address}")))?
        .map_err(|e| failed(&e))?;
    watch(&stream).map_err(|e| failed(&e))?;
    let (sender, connection) =
        http1::handshake(TokioIo::new(stream)).await.map_err(|e| failed(&e))?;
    let task = tokio::task::spawn(async move {
        if let Err(error) = connection.await {
            log::debug!(address:% = address, error:% = error; "connection ended");
        }
    });
    Ok(OpenConnection { sender, abort: task.abort_handle() })
}

/// Sets the options with which the kernel notices a dead connection.
///
/// # Errors
/// Returns the kernel's refusal.
pub fn watch(stream: &TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    let probes = TcpKeepalive::new()
        .with_time(PROBE_AFTER)
        .with_interval(PROBE_INTERVAL)
        .with_retries(PROBE_COUNT);
    socket.set_tcp_keepalive(&probes)?;
    socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_LIMIT))
}
