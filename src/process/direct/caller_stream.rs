//! Caller's TCP connection, which can be reset instead of closed.

use std::{
    io,
    pin::Pin,
    sync::{
        Arc, Mutex,
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
    time::{Instant, Sleep, sleep_until},
};

use crate::process::lock;

/// Makes a caller's connection end before its response does.
///
/// A caller that knows no chunks takes the close of its connection for the end of a complete
/// response, so only a reset tells it that the response was broken off. A caller that does not
/// read keeps the HTTP library from asking for more of the response, and with that from
/// finding out that its time is over.
#[derive(Debug, Clone, Default)]
pub(super) struct ConnectionReset {
    state: Arc<ResetState>,
    /// Whether the caller knows no chunks.
    needs_reset: bool,
}

#[derive(Debug, Default)]
struct ResetState {
    /// Whether a response was broken off.
    requested: AtomicBool,
    /// Whether a response that ends with the connection is under way.
    armed: AtomicBool,
    /// Time at which a response that the caller does not read is broken off.
    write_limit: Mutex<Option<Instant>>,
}

impl ConnectionReset {
    /// Attaches this to a request of the connection, which is the next one.
    pub(super) fn attach(&self, extensions: &mut Extensions) {
        self.limit_writes(None);
        extensions.insert(self.clone());
    }

    /// Returns the one to use for a response to this request.
    pub(super) fn of(parts: &Parts) -> Option<ConnectionReset> {
        let reset = parts.extensions.get::<ConnectionReset>()?.clone();
        Some(ConnectionReset { needs_reset: parts.version < Version::HTTP_11, ..reset })
    }

    /// Resets the connection if it is dropped before it was shut down, where its caller would
    /// otherwise take the response for complete.
    ///
    /// The HTTP library polls no body while the caller reads too slowly, so that
    /// [`break_off`](Self::break_off) may come too late for the exit of the process.
    pub(super) fn arm(&self) {
        if self.needs_reset {
            self.state.armed.store(true, Ordering::Relaxed);
        }
    }

    fn disarm(&self) {
        self.state.armed.store(false, Ordering::Relaxed);
    }

    fn is_needed(&self) -> bool {
        self.is_requested() || self.state.armed.load(Ordering::Relaxed)
    }

    /// Records that a response was broken off: resets the connection as soon as it is dropped,
    /// where its caller would otherwise take the response for complete.
    pub(super) fn break_off(&self) {
        if self.needs_reset {
            self.request();
        }
    }

    /// Resets the connection if the caller still does not read the response at this time;
    /// `None` lets it take its time.
    pub(super) fn limit_writes(&self, until: Option<Instant>) {
        *lock(&self.state.write_limit) = until;
    }

    fn write_limit(&self) -> Option<Instant> {
        *lock(&self.state.write_limit)
    }

    fn request(&self) {
        self.state.requested.store(true, Ordering::Relaxed);
    }

    fn is_requested(&self) -> bool {
        self.state.requested.load(Ordering::Relaxed)
    }
}

/// TCP stream that is reset on drop if its [`ConnectionReset`] was requested, or is still armed.
#[derive(Debug)]
pub(super) struct CallerStream {
    stream: TcpStream,
    reset: ConnectionReset,
    /// Timer of the write limit while a write waits for the caller.
    write_timer: Option<Pin<Box<Sleep>>>,
}

impl CallerStream {
    pub(super) fn new(stream: TcpStream, reset: ConnectionReset) -> CallerStream {
        CallerStream { stream, reset, write_timer: None }
    }

    /// Fails a write that waits for the caller once the limit is over.
    fn limit_write(
        &mut self,
        context: &mut Context<'_>,
        write: Poll<io::Result<usize>>,
    ) -> Poll<io::Result<usize>> {
        let limit = self.reset.write_limit().filter(|_| write.is_pending());
        let Some(limit) = limit else {
            self.write_timer = None;
            return write;
        };
        let timer = self.write_timer.get_or_insert_with(|| Box::pin(sleep_until(limit)));
        if timer.deadline() != limit {
            timer.as_mut().reset(limit);
        }
        if timer.as_mut().poll(context).is_pending() {
            return Poll::Pending;
        }
        log::info!("response broken off: its time is over and the caller does not read it");
        self.reset.request();
        Poll::Ready(Err(io::ErrorKind::TimedOut.into()))
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
        let write = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.limit_write(context, write)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let write = Pin::new(&mut self.stream).poll_write_vectored(context, slices);
        self.limit_write(context, write)
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
