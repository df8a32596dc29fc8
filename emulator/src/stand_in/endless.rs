//! Targets in trouble that send bytes without end until the connection is closed.
//!
//! The HTTP library of the stand-ins sends only valid messages, so these bytes are written to
//! the connection past it.

use std::{
    os::fd::OwnedFd,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use hyper::{Method, http::request::Parts};
use serde_json::json;
use tokio::{io::AsyncWriteExt, net::TcpStream, time::Instant};

/// Start of the ids of requests whose runs and prefills get such a response; reports and
/// orders have no id, and all of them get it.
pub const ENDLESS_ID: &str = "endless";
/// Bytes of one write at the pace [`BytePace::Fast`].
const FAST_WRITE_BYTES: usize = 64 * 1024;
/// Bytes of one write at the pace [`BytePace::Slow`], and the pause after it.
const SLOW_WRITE: (usize, Duration) = (3, Duration::from_millis(10));

/// Response whose bytes never end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EndlessFault {
    /// Calls that get it.
    pub call: EndlessCall,
    /// HTTP status. A 503 states that the request did not run, any other counts as run.
    pub status: u16,
    /// Part of the response that does not end.
    pub place: EndlessPlace,
    /// How fast the bytes are sent.
    pub pace: BytePace,
}

/// Kind of call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndlessCall {
    /// Run of a request, after a prefill elsewhere or not.
    Run,
    /// Prefill of a prompt.
    Prefill,
    /// Report of an engine's state.
    Report,
    /// Order to an engine.
    Order,
    /// Release of a KV cache that no request will use.
    FreeCache,
}

/// Part of a response that does not end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndlessPlace {
    /// Reason phrase of the status line.
    StatusLine,
    /// Header lines.
    HeaderLines,
    /// Value of one header.
    HeaderValue,
    /// Informational responses, none of which is final.
    Informational,
    /// Empty lines before the head.
    BlankLines,
    /// Bytes that are no HTTP.
    Garbage,
    /// Bytes after a complete body.
    AfterLength,
    /// Body with a length that no connection lasts for.
    LongLength,
    /// Chunks.
    Chunks,
    /// Digits of a chunk's size.
    ChunkSize,
    /// Extension of a chunk's size.
    ChunkExtension,
    /// Trailers after the last chunk.
    Trailers,
    /// Bytes that are no chunk.
    BadChunk,
    /// Body that the end of the connection would end.
    Unframed,
}

/// How fast bytes are sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BytePace {
    /// As many as the connection takes.
    Fast,
    /// A few at a time.
    Slow,
}

/// Bytes that a connection carried until it was closed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EndlessRecord {
    /// When the first byte was sent.
    pub started: Instant,
    /// When the connection was found closed; `None` while it is open.
    pub closed: Option<Instant>,
    /// Number of bytes that were sent.
    pub bytes: u64,
}

/// Records of all endless responses of a target.
#[derive(Debug, Clone, Default)]
pub struct EndlessLog(Arc<Mutex<Vec<EndlessRecord>>>);

/// Endless response that replaces that of the HTTP library on one connection.
#[derive(Debug, Clone)]
pub(super) struct EndlessResponse {
    start: Vec<u8>,
    filler: Vec<u8>,
    pace: BytePace,
    log: EndlessLog,
}

impl EndlessFault {
    /// Returns whether a request gets the endless response.
    pub(super) fn concerns(&self, parts: &Parts) -> bool {
        let is_own = parts
            .headers
            .get("request-id")
            .is_some_and(|id| id.to_str().is_ok_and(|id| id.starts_with(ENDLESS_ID)));
        let is_prefill = parts.headers.contains_key("serving-stage");
        match self.call {
            EndlessCall::Run => is_own && !is_prefill && parts.method != Method::DELETE,
            EndlessCall::Prefill => is_own && is_prefill,
            EndlessCall::Report => parts.uri.path() == "/report",
            EndlessCall::Order => parts.uri.path() == "/order",
            EndlessCall::FreeCache => parts.method == Method::DELETE,
        }
    }

    /// Returns whether the request counts as run.
    pub(super) fn counts_as_run(&self) -> bool {
        self.call == EndlessCall::Run && self.status != 503
    }

    /// Returns the response to the request with an id.
    pub(super) fn response(&self, id: &str, target: &str, log: &EndlessLog) -> EndlessResponse {
        let body = match self.call {
            EndlessCall::Run => format!("answer to {id}"),
            EndlessCall::Prefill => json!({ "handle": "h", "tokens": 1, "version": 1 }).to_string(),
            EndlessCall::Report => json!({ "stage": "decode", "sequence": 0 }).to_string(),
            EndlessCall::Order | EndlessCall::FreeCache => String::new(),
        };
        let mut head = format!("HTTP/1.1 {} Stand-In\r\n", self.status);
        if !id.is_empty() {
            head += &format!("request-id: {id}\r\nserver-signature: {target}.1\r\n");
        }
        if self.status == 503 {
            head += "not-executed: 1\r\n";
        }
        let (start, filler) = match self.place {
            EndlessPlace::StatusLine => (format!("HTTP/1.1 {} ", self.status), "filler"),
            EndlessPlace::HeaderLines => (head, "x-filler: filler\r\n"),
            EndlessPlace::HeaderValue => (head + "x-filler: ", "filler"),
            EndlessPlace::Informational => (String::new(), "HTTP/1.1 100 Continue\r\n\r\n"),
            EndlessPlace::BlankLines => (String::new(), "\r\n"),
            EndlessPlace::Garbage => (String::new(), "\u{1}\u{2}garbage\u{7f}"),
            EndlessPlace::AfterLength => {
                (head + &format!("content-length: {}\r\n\r\n{body}", body.len()), "filler")
            }
            EndlessPlace::LongLength => {
                (head + &format!("content-length: {}\r\n\r\n", 1_u64 << 50), "filler")
            }
            EndlessPlace::Chunks => {
                (head + "transfer-encoding: chunked\r\n\r\n", "6\r\nfiller\r\n")
            }
            EndlessPlace::ChunkSize => (head + "transfer-encoding: chunked\r\n\r\n", "0"),
            EndlessPlace::ChunkExtension => {
                (head + "transfer-encoding: chunked\r\n\r\n6;", "filler")
            }
            EndlessPlace::Trailers => (
                head + "transfer-encoding: chunked\r\n\r\n6\r\nfiller\r\n0\r\n",
                "x-filler: filler\r\n",
            ),
            EndlessPlace::BadChunk => (head + "transfer-encoding: chunked\r\n\r\n", "zz\r\n"),
            EndlessPlace::Unframed => (head + "connection: close\r\n\r\n", "filler"),
        };
        EndlessResponse {
            start: start.into_bytes(),
            filler: filler.as_bytes().to_vec(),
            pace: self.pace,
            log: log.clone(),
        }
    }
}

impl EndlessLog {
    /// Returns all records, oldest first.
    pub fn records(&self) -> Vec<EndlessRecord> {
        self.locked().clone()
    }

    fn locked(&self) -> MutexGuard<'_, Vec<EndlessRecord>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl EndlessResponse {
    /// Sends bytes until the other end closes the connection.
    pub(super) async fn send(self, connection: OwnedFd) {
        let record = {
            let mut records = self.log.locked();
            records.push(EndlessRecord { started: Instant::now(), closed: None, bytes: 0 });
            records.len() - 1
        };
        let stream = TcpStream::from_std(std::net::TcpStream::from(connection));
        if let Ok(mut stream) = stream {
            // An error is the close that is waited for.
            self.write(&mut stream, record).await.ok();
        }
        self.log.locked()[record].closed = Some(Instant::now());
    }

    async fn write(&self, stream: &mut TcpStream, record: usize) -> std::io::Result<()> {
        stream.set_nodelay(true)?;
        stream.write_all(&self.start).await?;
        let repeats = FAST_WRITE_BYTES / self.filler.len();
        let block = self.filler.repeat(repeats);
        let (few, pause) = SLOW_WRITE;
        for piece in block.chunks(few).cycle() {
            let sent = match self.pace {
                BytePace::Fast => {
                    stream.write_all(&block).await?;
                    block.len()
                }
                BytePace::Slow => {
                    stream.write_all(piece).await?;
                    tokio::time::sleep(pause).await;
                    piece.len()
                }
            };
            self.log.locked()[record].bytes += sent as u64;
        }
        Ok(())
    }
}
