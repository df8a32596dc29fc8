//! HTTP client connections over TCP that detect an unresponsive peer.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use socket2::{SockRef, TcpKeepalive};
use tokio::{net::TcpStream, task::AbortHandle};

use crate::error::{Error, ErrorCode, Result};

/// Idle time before the first keepalive probe.
const KEEPALIVE_IDLE: Duration = Duration::from_secs(1);
/// Time between keepalive probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Number of unanswered keepalive probes after which the kernel closes the connection.
const KEEPALIVE_PROBES: u32 = 2;
/// Longest time for which sent data may stay unacknowledged (`TCP_USER_TIMEOUT`).
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_millis(2500);

/// HTTP/1.1 client connection.
#[derive(Debug)]
pub struct ClientConnection {
    /// Sends requests over the connection.
    pub sender: SendRequest<Full<Bytes>>,
    /// Aborts the task that drives the connection, which closes it at once.
    pub abort: AbortHandle,
}

/// Opens an HTTP connection to an address; `timeout` limits the TCP connect.
///
/// # Errors
/// Returns [`ErrorCode::Network`] if the connection fails and
/// [`ErrorCode::Timeout`] if it is not established within `timeout`.
pub async fn connect(address: SocketAddr, timeout: Duration) -> Result<ClientConnection> {
    let failed =
        |e: &dyn std::fmt::Display| Error::new(ErrorCode::Network, format!("{address} ({e})"));
    let connecting = tokio::time::timeout(timeout, TcpStream::connect(address)).await;
    let stream = connecting
        .map_err(|_| Error::new(ErrorCode::Timeout, format!("{address}")))?
        .map_err(|e| failed(&e))?;
    set_socket_options(&stream).map_err(|e| failed(&e))?;
    let (sender, connection) =
        http1::handshake(TokioIo::new(stream)).await.map_err(|e| failed(&e))?;
    let task = tokio::task::spawn(async move {
        if let Err(error) = connection.await {
            log::debug!(address:% = address, error:% = error; "connection ended");
        }
    });
    Ok(ClientConnection { sender, abort: task.abort_handle() })
}

/// Disables Nagle's algorithm and lets the kernel detect a dead connection, by keepalive
/// probes and a limit on unacknowledged data.
///
/// # Errors
/// Returns the error of the socket option that could not be set.
pub fn set_socket_options(stream: &TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_IDLE)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_PROBES);
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT))
}
