//! Caller that keeps its connection for several requests and controls when it writes them.

use std::{
    io,
    net::SocketAddr,
    time::{Duration, Instant},
};

use bytes::{Buf, Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::{
    Response,
    header::{CONNECTION, CONTENT_LENGTH, HeaderMap, TRANSFER_ENCODING},
    http::response::Parts,
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time::timeout,
};

use super::caller::{self, CallerOutcome, CallerRecord, CallerRequest, ReceivedResponse};

/// Part of a request that is written ahead of the rest.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BegunPart {
    /// First half of the head.
    HalfHead,
    /// Whole head and half of the body.
    HalfBody,
}

/// Request on a kept connection and what became of it.
#[derive(Debug, Clone)]
pub struct KeptRecord {
    /// Request and outcome, as for other callers.
    pub caller: CallerRecord,
    /// Entry that the connection leads to.
    pub entry: SocketAddr,
    /// When its last bytes were sent, or its only ones.
    pub sent_at: Instant,
    /// When the whole request was written; `None` if the connection failed before.
    pub written_at: Option<Instant>,
    /// When the outcome was known.
    pub ended_at: Instant,
    /// Whether the response states that the connection closes.
    pub closes: bool,
}

/// HTTP/1.1 connection to an entry.
#[derive(Debug)]
pub struct KeptConnection {
    entry: SocketAddr,
    stream: TcpStream,
    unread: BytesMut,
    /// Number of bytes of the next request that are already written.
    begun: usize,
    closes: bool,
}

impl KeptConnection {
    /// Opens a connection.
    ///
    /// # Errors
    /// Returns an error if the entry does not accept it.
    pub async fn open(entry: SocketAddr) -> io::Result<KeptConnection> {
        let stream = TcpStream::connect(entry).await?;
        stream.set_nodelay(true)?;
        Ok(KeptConnection { entry, stream, unread: BytesMut::new(), begun: 0, closes: false })
    }

    /// Returns whether it can take a request: the entry neither closed it nor said that it will.
    pub fn is_usable(&self) -> bool {
        let read = self.stream.try_read(&mut [0]);
        !self.closes && read.is_err_and(|error| error.kind() == io::ErrorKind::WouldBlock)
    }

    /// Writes a part of a request, whose rest [`send`](Self::send) writes.
    ///
    /// # Errors
    /// Returns an error if the connection fails.
    pub async fn begin(&mut self, request: &CallerRequest, part: BegunPart) -> io::Result<()> {
        let (head, body) = serialize(request).await?;
        let length = match part {
            BegunPart::HalfHead => head.len() / 2,
            BegunPart::HalfBody => head.len() + body.len() / 2,
        };
        let message = [head, body].concat();
        self.stream.write_all(&message[..length]).await?;
        self.begun = length;
        Ok(())
    }

    /// Sends a request, or the rest of one that was begun, and records the response.
    pub async fn send(&mut self, request: CallerRequest) -> KeptRecord {
        let sent_at = Instant::now();
        let mut received = ReceivedResponse::default();
        let mut written_at = None;
        let work = self.exchange(&request, &mut received, &mut written_at);
        let outcome = timeout(caller::RESPONSE_TIMEOUT, work).await;
        let outcome = outcome.ok().and_then(Result::ok).unwrap_or(CallerOutcome::Broken);
        self.closes |= outcome == CallerOutcome::Broken;
        let ReceivedResponse { events, signed_by } = received;
        let took = sent_at.elapsed();
        KeptRecord {
            caller: CallerRecord { request, outcome, took, events, signed_by },
            entry: self.entry,
            sent_at,
            written_at,
            ended_at: Instant::now(),
            closes: self.closes,
        }
    }

    async fn exchange(
        &mut self,
        request: &CallerRequest,
        received: &mut ReceivedResponse,
        written_at: &mut Option<Instant>,
    ) -> io::Result<CallerOutcome> {
        let (head, body) = serialize(request).await?;
        let begun = std::mem::take(&mut self.begun);
        self.stream.write_all(&[head, body].concat()[begun..]).await?;
        *written_at = Some(Instant::now());
        let parts = self.read_head().await?;
        received.record_head(&parts.headers);
        self.closes = has_token(&parts.headers, CONNECTION.as_str(), "close");
        let body = self.read_body(&parts.headers, received).await?;
        Ok(caller::classify_response(&parts, &body, request, &received.events))
    }

    async fn read_head(&mut self) -> io::Result<Parts> {
        let status_line = self.read_line().await?;
        let status = status_line.split(' ').nth(1).ok_or(io::ErrorKind::InvalidData)?;
        let mut response = Response::builder().status(status);
        loop {
            let line = self.read_line().await?;
            if line.is_empty() {
                break;
            }
            let (name, value) = line.split_once(':').ok_or(io::ErrorKind::InvalidData)?;
            response = response.header(name, value.trim());
        }
        Ok(response.body(()).map_err(io::Error::other)?.into_parts().0)
    }

    async fn read_body(
        &mut self,
        headers: &HeaderMap,
        received: &mut ReceivedResponse,
    ) -> io::Result<BytesMut> {
        let mut body = BytesMut::new();
        if has_token(headers, TRANSFER_ENCODING.as_str(), "chunked") {
            loop {
                let size = self.read_line().await?;
                let size = usize::from_str_radix(&size, 16).map_err(io::Error::other)?;
                body.extend_from_slice(&self.read_bytes(size).await?);
                received.record_body(&body);
                self.read_line().await?;
                if size == 0 {
                    return Ok(body);
                }
            }
        }
        let length = headers.get(CONTENT_LENGTH).and_then(|value| value.to_str().ok());
        if let Some(length) = length {
            let length = length.parse().map_err(io::Error::other)?;
            body.extend_from_slice(&self.read_bytes(length).await?);
        } else {
            while self.fill().await.is_ok() {}
            body = self.unread.split();
            self.closes = true;
        }
        received.record_body(&body);
        Ok(body)
    }

    /// Reads a line and returns it without its end.
    async fn read_line(&mut self) -> io::Result<String> {
        loop {
            if let Some(end) = self.unread.iter().position(|byte| *byte == b'\n') {
                let line = self.unread.split_to(end + 1);
                return Ok(String::from_utf8_lossy(&line).trim_end().to_owned());
            }
            self.fill().await?;
        }
    }

    async fn read_bytes(&mut self, length: usize) -> io::Result<Bytes> {
        while self.unread.len() < length {
            self.fill().await?;
        }
        Ok(self.unread.copy_to_bytes(length))
    }

    async fn fill(&mut self) -> io::Result<()> {
        match self.stream.read_buf(&mut self.unread).await? {
            0 => Err(io::ErrorKind::UnexpectedEof.into()),
            _ => Ok(()),
        }
    }
}

/// Returns the bytes of a request's head and body.
async fn serialize(request: &CallerRequest) -> io::Result<(Vec<u8>, Vec<u8>)> {
    let (parts, body) = request.message().map_err(io::Error::other)?.into_parts();
    let body = body.collect().await.map_err(io::Error::other)?.to_bytes();
    let mut head = format!("{} {} HTTP/1.1\r\n", parts.method, parts.uri).into_bytes();
    for (name, value) in &parts.headers {
        head.extend_from_slice(
            &[name.as_str().as_bytes(), b": ", value.as_bytes(), b"\r\n"].concat(),
        );
    }
    head.extend_from_slice(format!("content-length: {}\r\n\r\n", body.len()).as_bytes());
    Ok((head, body.to_vec()))
}

fn has_token(headers: &HeaderMap, name: &str, token: &str) -> bool {
    let values = headers.get_all(name).into_iter().filter_map(|value| value.to_str().ok());
    let mut tokens = values.flat_map(|value| value.split(','));
    tokens.any(|value| value.trim().eq_ignore_ascii_case(token))
}

/// Opens a connection and sends one request after `delay`; returns `None` if the entry does
/// not accept the connection.
pub async fn send_on_new(
    entry: SocketAddr,
    request: CallerRequest,
    delay: Duration,
) -> Option<KeptRecord> {
    let mut connection = KeptConnection::open(entry).await.ok()?;
    tokio::time::sleep(delay).await;
    Some(connection.send(request).await)
}
