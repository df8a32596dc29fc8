//! Caller's TCP connection, which can be reset instead of closed.

use std::{
    io,
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    task::{Context, Poll},
    time::Duration,
};

use hyper::http::{Extensions, Version, request::Parts};
use socket2::SockRef;
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
};

/// Makes a caller's connection end with a reset.
///
/// A caller that knows no chunks takes the close of its connection for the end of a complete
/// response, so only a reset tells it that the response was broken off.
#[derive(Debug, Clone, Default)]
pub(super) struct ConnectionReset(Arc<ResetState>);

#[derive(Debug, Default)]
struct ResetState {
    /// Whether a response was broken off.
    requested: AtomicBool,
    /// Whether a response that ends with the connection is under way.
    armed: AtomicBool,
}

impl ConnectionReset {
    /// Attaches this to a request of the connection.
    pub(super) fn attach(&self, extensions: &mut Extensions) {
        extensions.insert(self.clone());
    }

    /// Returns the one to use where a response to this request is broken off, if it needs it.
    pub(super) fn needed_by(parts: &Parts) -> Option<ConnectionReset> {
        if parts.version >= Version::HTTP_11 {
            return None;
        }
        parts.extensions.get().cloned()
    }

    /// Resets the connection as soon as it is dropped.
    pub(super) fn request(&self) {
        self.0.requested.store(true, Ordering::Relaxed);
    }

    /// Resets the connection if it is dropped before it was shut down.
    ///
    /// The HTTP library polls no body while the caller reads too slowly, so that
    /// [`request`](Self::request) may come too late for the exit of the process.
    pub(super) fn arm(&self) {
        self.0.armed.store(true, Ordering::Relaxed);
    }

    fn disarm(&self) {
        self.0.armed.store(false, Ordering::Relaxed);
    }

    fn is_requested(&self) -> bool {
        self.0.requested.load(Ordering::Relaxed)
    }

    fn is_needed(&self) -> bool {
        self.is_requested() || self.0.armed.load(Ordering::Relaxed)
    }
}

/// TCP stream that is reset on drop if its [`ConnectionReset`] was requested, or is still armed.
#[derive(Debug)]
pub(super) struct CallerStream {
    stream: TcpStream,
    reset: ConnectionReset,
}

impl CallerStream {
    pub(super) fn new(stream: TcpStream, reset: ConnectionReset) -> CallerStream {
        CallerStream { stream, reset }
    }
}

impl Drop for CallerStream {
    fn drop(&mut self) {
        if !self.reset.is_needed() {
            return;
        }
        // Without a linger time the kernel discards unsent data and sends a reset.
        if let Err(error) = SockRef::from(&self.stream).set_linger(Some(Duration::ZERO)) {
            log::warn!(error:% = error; "failed to reset caller connection");
        }
    }
}

impl AsyncRead for CallerStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl AsyncWrite for CallerStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.reset.is_requested() {
            return Poll::Ready(Ok(()));
        }
        // The HTTP library shuts down only after it has written the whole response.
        self.reset.disarm();
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
