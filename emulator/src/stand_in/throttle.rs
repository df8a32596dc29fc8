//! Link of limited bandwidth between a stand-in and its callers.

use std::{
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use bytes::Bytes;
use futures_util::stream;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Frame;
use tokio::time::{Instant, sleep_until};

use super::{BrokenOff, StandInBody};

/// Size of the pieces in which a body is sent over a link.
const PIECE_BYTES: usize = 8 * 1024;

/// How a link carries the bodies of responses.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LinkRate {
    /// Bytes per second, of all connections together.
    pub bytes_per_second: f64,
    /// Size after which a body stops for good, on an open connection.
    pub stalls_after: Option<usize>,
}

/// Link that all connections share.
#[derive(Debug, Clone)]
pub struct ThrottledLink {
    rate: LinkRate,
    /// When the link has sent all that waits for it.
    free_at: Arc<Mutex<Instant>>,
}

impl ThrottledLink {
    /// Creates a link that nothing waits for.
    pub fn new(rate: LinkRate) -> ThrottledLink {
        ThrottledLink { rate, free_at: Arc::new(Mutex::new(Instant::now())) }
    }

    /// Returns a body that arrives as fast as the link carries it.
    pub fn carry(&self, body: Bytes) -> StandInBody {
        let state = (self.clone(), body, 0);
        let pieces = stream::unfold(state, |(link, mut rest, sent)| async move {
            if rest.is_empty() {
                return None;
            }
            let piece = rest.split_to(rest.len().min(PIECE_BYTES));
            if link.rate.stalls_after.is_some_and(|bytes| sent >= bytes) {
                std::future::pending::<()>().await;
            }
            sleep_until(link.reserve(piece.len())).await;
            let sent = sent + piece.len();
            Some((Ok::<_, BrokenOff>(Frame::data(piece)), (link, rest, sent)))
        });
        StreamBody::new(pieces).boxed()
    }

    /// Returns when the link has sent so many bytes after all that wait already.
    fn reserve(&self, bytes: usize) -> Instant {
        let time = Duration::from_secs_f64(bytes as f64 / self.rate.bytes_per_second);
        let mut free_at = self.free_at.lock().unwrap_or_else(PoisonError::into_inner);
        *free_at = (*free_at).max(Instant::now()) + time;
        *free_at
    }
}
