//! Clients: one connection for each request.

use std::{
    io::Write,
    net::{SocketAddr, TcpStream},
    time::{Duration, Instant},
};

use crate::http::{Message, Reader};

/// Request of a client.
#[derive(Debug, Clone, Default)]
pub struct Call {
    pub method: &'static str,
    pub path: String,
    pub host: String,
    pub id: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    pub deadline: Duration,
}

/// What a client got.
#[derive(Debug, Clone, Default)]
pub struct Answer {
    /// 0 if there was none.
    pub status: u16,
    pub signature: Option<String>,
    pub body: Vec<u8>,
    /// Data of each event of a stream, with its id.
    pub events: Vec<(u64, String)>,
    /// Whether the answer ended as a whole one does.
    pub complete: bool,
}

pub fn get(address: SocketAddr, path: &str) -> Option<Message> {
    let time = Duration::from_millis(500);
    let mut stream = TcpStream::connect_timeout(&address, time).ok()?;
    stream.set_read_timeout(Some(time)).ok()?;
    write!(stream, "GET {path} HTTP/1.1\r\nHost: probe\r\nConnection: close\r\n\r\n").ok()?;
    Reader::new(stream).head().ok()
}

/// Sends a request and reads its answer until the deadline.
pub fn send(address: SocketAddr, call: &Call) -> Answer {
    let mut answer = Answer::default();
    send_inner(address, call, &mut answer);
    answer
}

fn send_inner(address: SocketAddr, call: &Call, answer: &mut Answer) -> Option<()> {
    let until = Instant::now() + call.deadline;
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1)).ok()?;
    stream.set_nodelay(true).ok();
    let mut text = format!(
        "{} {} HTTP/1.1\r\nHost: {}\r\nRequest-Id: {}\r\nDeadline-Ms: {}\r\n",
        call.method,
        call.path,
        call.host,
        call.id,
        call.deadline.as_millis()
    );
    for (name, value) in &call.headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str(&format!("Content-Length: {}\r\n\r\n", call.body.len()));
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(&call.body);
    stream.write_all(&bytes).ok()?;
    let left = until.saturating_duration_since(Instant::now()).max(Duration::from_millis(1));
    stream.set_read_timeout(Some(left)).ok()?;
    let mut reader = Reader::new(stream);
    let head = reader.head().ok()?;
    answer.status = head.status();
    answer.signature = head.header("server-signature").map(str::to_owned);
    if head.header("transfer-encoding").is_some() {
        loop {
            let chunk = reader.chunk().ok();
            if let Some(chunk) = &chunk {
                answer.body.extend_from_slice(chunk);
                answer.events = events(&answer.body);
            }
            match chunk {
                None => return None,
                Some(chunk) if chunk.is_empty() => break,
                Some(_) if Instant::now() >= until => return None,
                Some(_) => {}
            }
        }
    } else {
        let length: usize = head.header("content-length").and_then(|t| t.parse().ok()).unwrap_or(0);
        for _ in 0..length {
            answer.body.push(reader.byte().ok()?);
        }
    }
    answer.complete = true;
    Some(())
}

/// Returns the whole events of a stream.
fn events(body: &[u8]) -> Vec<(u64, String)> {
    let text = String::from_utf8_lossy(body).into_owned();
    let Some((whole, _)) = text.rsplit_once("\n\n") else { return Vec::new() };
    let event = |text: &str| {
        let line = |name: &str| text.lines().find_map(|line| line.strip_prefix(name));
        Some((line("id: ")?.parse().ok()?, line("data: ")?.to_owned()))
    };
    whole.split("\n\n").filter_map(event).collect()
}
