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

/// Number of queued frames above which a slow link is closed.
const MAX_QUEUED_FRAMES: usize = 8192;
/// Timeout of connecting or accepting, including the WebSocket handshake.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1000);

/// Queues frames for one link.
#[derive(Debug, Clone)]
pub struct LinkSender {
    sender: mpsc::Sender<Bytes>,
    close: Arc<Notify>,
}

/// Resources of the process that its links share.
#[derive(Clone)]
pub struct LinkContext {
    /// Metrics of this process.
    pub metrics: Arc<ProcessMetrics>,
    /// Notified when a frame shows that the other end has read further in the log.
    pub wake: Arc<Notify>,
    /// Returns the offset of the next record that this process will read.
    pub position: Arc<dyn Fn() -> LogOffset + Send + Sync>,
}

/// Connected link that doesn't carry frames yet.
pub struct OpenLink {
    stream: WebSocketStream<TcpStream>,
    /// Queues frames for the other end.
    pub sender: LinkSender,
    receiver: mpsc::Receiver<Bytes>,
}

impl LinkSender {
    /// Queues a frame that carries the sender's log position `next`.
    ///
    /// Closes the link if its queue is full; both ends recover from a closed link.
    pub fn send<T: Serialize>(&self, next: LogOffset, body: T) {
        match frame::encode(&LinkFrame { next, body }) {
            Ok(bytes) => {
                if self.sender.try_send(bytes).is_err() {
                    self.close();
                }
            }
            Err(error) => {
                log::error!(error:% = error; "frame could not be encoded and was not sent")
            }
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
/// Returns [`ErrorCode::Network`] if the connection or handshake fails, and
/// [`ErrorCode::Timeout`] if it takes too long.
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
/// Returns [`ErrorCode::Network`] if the handshake fails, and [`ErrorCode::Timeout`] if it
/// takes too long.
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
    /// Sends queued frames and delivers received ones until the link ends.
    ///
    /// # Errors
    /// Returns [`ErrorCode::Timeout`] if nothing arrives for [`LINK_TIMEOUT`], and the error of
    /// a frame that cannot be decoded. A link that is closed at either end is no error.
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
    let (sender, receiver) = mpsc::channel(MAX_QUEUED_FRAMES);
    let sender = LinkSender { sender, close: Arc::new(Notify::new()) };
    OpenLink { stream, sender, receiver }
}

fn web_socket_config() -> WebSocketConfig {
    WebSocketConfig::default()
        .max_message_size(Some(MAX_FRAME_BYTES))
        .max_frame_size(Some(MAX_FRAME_BYTES))
}
