//! Body of a response that is read for as long as it makes progress.
//!
//! A large body over a slow link takes many times longer than a small one, so that no time
//! for the whole body fits both. What shows that the other side or the link is dead is silence.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::Body;
use snafu::Snafu;
use tokio::time::{Instant, timeout_at};

use super::read_limit::ReceivedBody;

/// Lowest mean rate at which a body is still read, in bytes per second. It is a small share of
/// what the slowest link carries, so that only a peer that trickles is below it.
const MIN_RATE: f64 = 64.0 * 1024.0;
/// Largest buffer that is allocated before the bytes have arrived.
const MAX_RESERVED_BYTES: usize = 1024 * 1024;

/// Failure of reading a body.
#[derive(Debug, Snafu)]
pub enum BodyReadError {
    /// The connection failed.
    #[snafu(display("{source}"))]
    Connection {
        /// Error of the connection.
        source: hyper::Error,
    },
    /// Nothing arrived for the longest silence that is allowed.
    #[snafu(display("no byte for {} ms", silence.as_millis()))]
    Silent {
        /// The longest silence that is allowed.
        silence: Duration,
    },
    /// Bytes arrived at a lower rate than any link has.
    #[snafu(display("{bytes} bytes in {} ms", took.as_millis()))]
    Slow {
        /// Bytes that arrived.
        bytes: usize,
        /// Time since the head.
        took: Duration,
    },
    /// The body is larger than the reader accepts.
    #[snafu(display("body of more than {limit} bytes"))]
    TooLarge {
        /// Largest body that is accepted, in bytes.
        limit: usize,
    },
}

/// Limits on a body.
#[derive(Debug, Clone, Copy)]
pub struct BodyLimits {
    /// When its first byte is late. Head and first byte together take no longer than a small body.
    pub first_by: Instant,
    /// Longest time without a byte after the first.
    pub silence: Duration,
    /// Largest size, in bytes.
    pub bytes: usize,
}

/// Reader of a body within limits, from its head on.
#[derive(Debug)]
pub struct PacedBody {
    body: ReceivedBody,
    limits: BodyLimits,
    started: Instant,
    received: BytesMut,
}

impl PacedBody {
    /// Creates a reader of a body whose head has just arrived.
    pub fn new(body: ReceivedBody, limits: BodyLimits) -> PacedBody {
        let announced = body.size_hint().exact().unwrap_or(0);
        let reserved = usize::try_from(announced).unwrap_or(usize::MAX).min(MAX_RESERVED_BYTES);
        let received = BytesMut::with_capacity(reserved);
        PacedBody { body, limits, started: Instant::now(), received }
    }

    /// Returns the size of the whole body in bytes, if its head announced it.
    ///
    /// It holds before the first byte is read.
    pub fn announced(&self) -> Option<u64> {
        self.body.size_hint().exact()
    }

    /// Reads until so many bytes have arrived or the body ends, and returns what has arrived.
    ///
    /// # Errors
    /// Returns why the body cannot be read further.
    pub async fn read_at_least(&mut self, bytes: usize) -> Result<&[u8], BodyReadError> {
        while self.received.len() < bytes && self.read_more().await? {}
        Ok(&self.received)
    }

    /// Reads the rest and returns the whole body.
    ///
    /// # Errors
    /// Returns why the body cannot be read to its end.
    pub async fn read_to_end(mut self) -> Result<Bytes, BodyReadError> {
        while self.read_more().await? {}
        Ok(self.received.freeze())
    }

    /// Reads the next bytes, and returns whether there were any.
    async fn read_more(&mut self) -> Result<bool, BodyReadError> {
        let BodyLimits { first_by, silence, bytes: limit } = self.limits;
        let late_at = if self.received.is_empty() { first_by } else { Instant::now() + silence };
        let frame = timeout_at(late_at, self.body.frame())
            .await
            .map_err(|_| BodyReadError::Silent { silence })?;
        let Some(frame) = frame else { return Ok(false) };
        let frame = frame.map_err(|source| BodyReadError::Connection { source })?;
        let Ok(data) = frame.into_data() else { return Ok(true) };
        if self.received.len() + data.len() > limit {
            return Err(BodyReadError::TooLarge { limit });
        }
        self.received.extend_from_slice(&data);
        let (bytes, took) = (self.received.len(), self.started.elapsed());
        let longest = silence + Duration::from_secs_f64(bytes as f64 / MIN_RATE);
        if took > longest {
            return Err(BodyReadError::Slow { bytes, took });
        }
        Ok(true)
    }
}
