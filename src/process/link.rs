//! Links between entries and sides: WebSocket connections with CBOR frames.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use futures_util::{SinkExt, StreamExt};
use serde::{Serialize, de::DeserializeOwned};
use tokio::{
    net::TcpStream,
    sync::{Notify, mpsc},
};
use tokio_tungstenite::{
    WebSocketStream,
    tungstenite::{Message, protocol::WebSocketConfig},
};

use super::metrics::ProcessMetrics;
use crate::{
    error::{Error, ErrorCode, Result},
    frame::{self, LINK_TIMEOUT, LinkFrame, MAX_FRAME_BYTES},
    ids::LogOffset,
};

/// Frames that may wait for a slow link before it is closed.
const MAX_WAITING_FRAMES: usize = 8192;
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1000);

/// Sends frames over one link.
#[derive(Debug, Clone)]
pub struct LinkSender {
    sender: mpsc::Sender<Bytes>,
    close: Arc<Notify>,
}

/// What a link shares with its process.
#[derive(Clone)]
pub struct LinkContext {
    /// Metrics.
    pub metrics: Arc<ProcessMetrics>,
    /// Notified where a frame shows that the other end has read further in the log.
    pub wake: Arc<Notify>,
    /// Returns this process's position in the log.
    pub position: Arc<dyn Fn() -> LogOffset + Send + Sync>,
}

/// A connected link.
pub struct OpenLink {
    stream: WebSocketStream<TcpStream>,
    /// Sends frames to the other end.
    pub sender: LinkSender,
    receiver: mpsc::Receiver<Bytes>,
}

impl LinkSender {
    /// Sends a frame. A link that cannot keep up is closed, which both ends recover from.
    pub fn send<T: Serialize>(&self, next: LogOffset, body: T) {
        match frame::encode(&LinkFrame { next, body }) {
            Ok(bytes) => {
                if self.sender.try_send(bytes).is_err() {
                    self.close();
                }
            }
            Err(error) => log::error!(error:% = error; "frame not sent"),
        }
    }

    /// Closes the link.
    pub fn close(&self) {
        self.close.notify_one();
    }
}

/// Connects to a side.
///
/// # Errors
/// Returns [`ErrorCode::Network`] or [`ErrorCode::Timeout`].
pub async fn connect(address: SocketAddr) -> Result<OpenLink> {
    let attempt = async {
        let socket = TcpStream::connect(address)
            .await
            .map_err(|e| Error::new(ErrorCode::Network, format!("{address} ({e})")))?;
        socket.set_nodelay(true).ok();
        let url = format!("ws://{address}/link");
        let (stream, _) =
            tokio_tungstenite::client_async_with_config(url, socket, Some(web_socket_config()))
                .await
                .map_err(|e| Error::new(ErrorCode::Network, format!("{address} ({e})")))?;
        Ok(open_link(stream))
    };
    tokio::time::timeout(CONNECT_TIMEOUT, attempt)
        .await
        .map_err(|_| Error::new(ErrorCode::Timeout, address.to_string()))?
}

/// Accepts a link from an entry.
///
/// # Errors
/// Returns [`ErrorCode::Network`] or [`ErrorCode::Timeout`].
pub async fn accept(socket: TcpStream) -> Result<OpenLink> {
    socket.set_nodelay(true).ok();
    let handshake = tokio_tungstenite::accept_async_with_config(socket, Some(web_socket_config()));
    let stream = tokio::time::timeout(CONNECT_TIMEOUT, handshake)
        .await
        .map_err(|_| Error::new(ErrorCode::Timeout, "link handshake"))?
        .map_err(|e| Error::new(ErrorCode::Network, format!("link handshake ({e})")))?;
    Ok(open_link(stream))
}

impl OpenLink {
    /// Carries frames until the link closes, breaks or goes silent.
    pub async fn run<T: DeserializeOwned>(
        self,
        context: LinkContext,
        mut deliver: impl FnMut(T),
    ) -> Result<()> {
        let OpenLink { stream, sender, mut receiver } = self;
        let (mut sink, mut source) = stream.split();
        let close = sender.close.clone();
        let write = async {
            while let Some(bytes) = receiver.recv().await {
                let sent =
                    tokio::time::timeout(LINK_TIMEOUT, sink.send(Message::Binary(bytes))).await;
                if !matches!(sent, Ok(Ok(()))) {
                    return;
                }
            }
        };
        let read = async {
            loop {
                let message = tokio::time::timeout(LINK_TIMEOUT, source.next())
                    .await
                    .map_err(|_| Error::new(ErrorCode::Timeout, "link"))?;
                let Some(Ok(message)) = message else { return Ok(()) };
                let Message::Binary(bytes) = message else { continue };
                context.metrics.frames.inc();
                context.metrics.frame_bytes.inc_by(bytes.len() as u64);
                let LinkFrame { next, body } = frame::decode::<T>(&bytes)?;
                if next > (context.position)() {
                    context.wake.notify_one();
                }
                deliver(body);
            }
        };
        tokio::select! {
            result = read => result,
            () = write => Ok(()),
            () = close.notified() => Ok(()),
        }
    }
}

fn open_link(stream: WebSocketStream<TcpStream>) -> OpenLink {
    let (sender, receiver) = mpsc::channel(MAX_WAITING_FRAMES);
    let sender = LinkSender { sender, close: Arc::new(Notify::new()) };
    OpenLink { stream, sender, receiver }
}

fn web_socket_config() -> WebSocketConfig {
    WebSocketConfig::default()
        .max_message_size(Some(MAX_FRAME_BYTES))
        .max_frame_size(Some(MAX_FRAME_BYTES))
}
