//! HTTP client connections over TCP that detect an unresponsive peer.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use http_body_util::Full;
use hyper::{
    Request, Response,
    client::conn::{
        TrySendError,
        http1::{self, SendRequest},
    },
};
use hyper_util::rt::TokioIo;
use socket2::{SockRef, TcpKeepalive};
use tokio::{net::TcpStream, task::AbortHandle};

use super::read_limit::{LimitedStream, MAX_BUFFER_BYTES, ReadProgress, ReceivedBody};
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
    pub sender: RequestSender,
    /// Aborts the task that drives the connection, which closes it at once.
    pub abort: AbortHandle,
}

/// Sends requests over a connection, one at a time.
#[derive(Debug)]
pub struct RequestSender {
    sender: SendRequest<Full<Bytes>>,
    progress: ReadProgress,
}

impl RequestSender {
    /// Sends a request and returns its response once the head was read.
    ///
    /// # Errors
    /// Returns the error of the connection, and the request if it was not sent.
    pub async fn try_send_request(
        &mut self,
        mut request: Request<Full<Bytes>>,
    ) -> Result<Response<ReceivedBody>, TrySendError<Request<Full<Bytes>>>> {
        let progress = self.progress.clone();
        hyper::ext::on_informational(&mut request, move |_| progress.record_informational());
        self.progress.expect_head();
        let response = self.sender.try_send_request(request).await?;
        self.progress.advance();
        Ok(response.map(|body| ReceivedBody::new(body, self.progress.clone())))
    }

    /// Sends a request and returns its response once the head was read.
    ///
    /// # Errors
    /// Returns the error of the connection.
    pub async fn send_request(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> hyper::Result<Response<ReceivedBody>> {
        self.try_send_request(request).await.map_err(TrySendError::into_error)
    }

    /// Waits until the connection takes a request.
    ///
    /// # Errors
    /// Returns an error if the connection is closed.
    pub async fn ready(&mut self) -> hyper::Result<()> {
        self.sender.ready().await
    }

    /// Returns whether the connection takes a request now.
    pub fn is_ready(&self) -> bool {
        self.sender.is_ready()
    }

    /// Returns whether the connection is closed.
    pub fn is_closed(&self) -> bool {
        self.sender.is_closed()
    }
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
    let progress = ReadProgress::default();
    let stream = TokioIo::new(LimitedStream::new(stream, progress.clone()));
    let handshake = http1::Builder::new().max_buf_size(MAX_BUFFER_BYTES).handshake(stream);
    let (sender, connection) = handshake.await.map_err(|e| failed(&e))?;
    let task = tokio::task::spawn(async move {
        if let Err(error) = connection.await {
            log::debug!(address:% = address, error:% = error; "connection ended");
        }
    });
    let sender = RequestSender { sender, progress };
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
