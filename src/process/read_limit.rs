//! Limits on what a client connection reads without any progress of the response.
//!
//! The HTTP library bounds a head by the size of its buffer, but consumes some bytes without
//! end: informational responses, and the digits of a chunk's size. Nothing of them reaches the
//! reader of the response, which could not give up in time.

use std::{
    io,
    pin::Pin,
    sync::{Arc, Mutex},
    task::{Context, Poll, ready},
    time::Duration,
};

use bytes::Bytes;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use snafu::Snafu;
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
    time::Instant,
};

use super::lock;

/// Largest buffer for the bytes of a connection, and with it the largest head.
pub const MAX_BUFFER_BYTES: usize = 64 * 1024;
/// Most bytes that are read between two steps of a response, which are its head and the frames
/// of its body. The buffer holds the bytes of the next step already, also where they come faster
/// than the response is read.
const MAX_STEP_BYTES: usize = 4 * MAX_BUFFER_BYTES;

/// Longest time from the first byte of a head to its last. Servers send a head at once; the
/// time leaves room for a lost packet.
const MAX_HEAD_TIME: Duration = Duration::from_millis(300);
/// Reads up to which a head may take longer: few of them are late only where a connection or
/// a VM paused.
const MAX_LATE_READS: u32 = 8;
/// Most informational responses before the final one.
const MAX_INFORMATIONAL: u32 = 4;

/// Limit that a response has exceeded.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
pub enum ReadLimitError {
    /// Bytes came without a head or a part of the body.
    #[snafu(display("{MAX_STEP_BYTES} bytes came without a head or a part of a body"))]
    Bytes,
    /// A head began and did not end.
    #[snafu(display("a head took longer than {} ms", MAX_HEAD_TIME.as_millis()))]
    HeadTime,
    /// Informational responses came instead of a final one.
    #[snafu(display("more than {MAX_INFORMATIONAL} informational responses came"))]
    Informational,
}

impl ReadLimitError {
    /// Returns the limit that caused an error of the HTTP library, if one did.
    pub fn of(error: &(dyn std::error::Error + 'static)) -> Option<ReadLimitError> {
        let mut cause = Some(error);
        while let Some(error) = cause {
            let own = error.downcast_ref::<io::Error>().and_then(io::Error::get_ref);
            if let Some(limit) = own.and_then(|own| own.downcast_ref()) {
                return Some(*limit);
            }
            cause = error.source();
        }
        None
    }
}

/// How far the response on a connection has come; clones share it.
#[derive(Debug, Clone, Default)]
pub(super) struct ReadProgress(Arc<Mutex<ProgressState>>);

#[derive(Debug, Default)]
struct ProgressState {
    /// Bytes since the last step of a response.
    bytes: usize,
    /// Whether the next step is a head.
    expects_head: bool,
    /// When the first byte of that head was read.
    head_started: Option<Instant>,
    /// Reads since then.
    head_reads: u32,
    /// Informational responses before that head.
    informational: u32,
}

impl ReadProgress {
    /// Records that a request is sent, whose response begins with a head.
    pub(super) fn expect_head(&self) {
        *lock(&self.0) = ProgressState { expects_head: true, ..ProgressState::default() };
    }

    /// Records that a step of a response was read.
    pub(super) fn advance(&self) {
        *lock(&self.0) = ProgressState::default();
    }

    /// Records an informational response, after which the final one may take its time.
    pub(super) fn record_informational(&self) {
        let mut state = lock(&self.0);
        state.informational += 1;
        state.head_started = None;
        state.head_reads = 0;
    }

    fn record_read(&self, bytes: usize) -> Result<(), ReadLimitError> {
        let mut state = lock(&self.0);
        state.bytes += bytes;
        if state.bytes > MAX_STEP_BYTES {
            return Err(ReadLimitError::Bytes);
        }
        if !state.expects_head || bytes == 0 {
            return Ok(());
        }
        let now = Instant::now();
        let started = *state.head_started.get_or_insert(now);
        state.head_reads += 1;
        if state.informational > MAX_INFORMATIONAL {
            return Err(ReadLimitError::Informational);
        }
        if state.head_reads > MAX_LATE_READS && now - started > MAX_HEAD_TIME {
            return Err(ReadLimitError::HeadTime);
        }
        Ok(())
    }
}

/// TCP stream whose reads fail when a response exceeds a limit.
#[derive(Debug)]
pub(super) struct LimitedStream {
    stream: TcpStream,
    progress: ReadProgress,
}

impl LimitedStream {
    pub(super) fn new(stream: TcpStream, progress: ReadProgress) -> LimitedStream {
        LimitedStream { stream, progress }
    }
}

impl AsyncRead for LimitedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(context, buffer))?;
        let bytes = buffer.filled().len() - before;
        Poll::Ready(self.progress.record_read(bytes).map_err(io::Error::other))
    }
}

impl AsyncWrite for LimitedStream {
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
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}

/// Body of a response, each frame of which is a step of it.
#[derive(Debug)]
pub struct ReceivedBody {
    body: Incoming,
    progress: ReadProgress,
}

impl ReceivedBody {
    pub(super) fn new(body: Incoming, progress: ReadProgress) -> ReceivedBody {
        ReceivedBody { body, progress }
    }
}

impl Body for ReceivedBody {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        let frame = ready!(Pin::new(&mut self.body).poll_frame(context));
        self.progress.advance();
        Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
