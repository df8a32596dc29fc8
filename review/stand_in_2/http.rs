//! HTTP/1.1 on blocking sockets, as far as the stand-ins need it.

use std::{
    io::{self, Read, Write},
    net::{SocketAddr, TcpStream},
    time::Duration,
};

/// Head and body of a message. Names of headers are in lower case.
#[derive(Debug, Clone, Default)]
pub struct Message {
    pub line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(known, _)| known == name).map(|(_, value)| value.as_str())
    }

    pub fn method(&self) -> &str {
        self.line.split(' ').next().unwrap_or("")
    }

    /// Path and query of a request.
    pub fn target(&self) -> &str {
        self.line.split(' ').nth(1).unwrap_or("")
    }

    pub fn path(&self) -> &str {
        self.target().split('?').next().unwrap_or("")
    }

    pub fn query(&self, name: &str) -> Option<String> {
        let query = self.target().split_once('?')?.1;
        let pair = query.split('&').filter_map(|pair| pair.split_once('='));
        pair.into_iter().find(|(known, _)| *known == name).map(|(_, value)| value.to_owned())
    }

    pub fn status(&self) -> u16 {
        self.line.split(' ').nth(1).and_then(|code| code.parse().ok()).unwrap_or(0)
    }
}

/// Connection with the bytes that were read beyond the last message.
pub struct Connection {
    pub stream: TcpStream,
    rest: Vec<u8>,
}

impl Connection {
    pub fn new(stream: TcpStream) -> Connection {
        let _ = stream.set_nodelay(true);
        Connection { stream, rest: Vec::new() }
    }

    pub fn connect(address: SocketAddr) -> io::Result<Connection> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
        Ok(Connection::new(stream))
    }

    /// Reads more bytes; `false` at the end of the connection.
    fn fill(&mut self) -> io::Result<bool> {
        let mut buffer = [0; 16 * 1024];
        let count = self.stream.read(&mut buffer)?;
        self.rest.extend_from_slice(&buffer[..count]);
        Ok(count > 0)
    }

    fn take(&mut self, count: usize) -> Vec<u8> {
        let rest = self.rest.split_off(count);
        std::mem::replace(&mut self.rest, rest)
    }

    fn read_line(&mut self) -> io::Result<String> {
        loop {
            if let Some(end) = self.rest.windows(2).position(|pair| pair == b"\r\n") {
                let line = self.take(end + 2);
                return Ok(String::from_utf8_lossy(&line[..end]).into_owned());
            }
            if !self.fill()? {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
    }

    fn read_exact(&mut self, count: usize) -> io::Result<Vec<u8>> {
        while self.rest.len() < count {
            if !self.fill()? {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
        Ok(self.take(count))
    }

    /// Reads the head of a message; `None` where the connection ends before one.
    pub fn read_head(&mut self) -> io::Result<Option<Message>> {
        if self.rest.is_empty() && !self.fill()? {
            return Ok(None);
        }
        let line = self.read_line()?;
        let mut headers = Vec::new();
        loop {
            let field = self.read_line()?;
            if field.is_empty() {
                break;
            }
            if let Some((name, value)) = field.split_once(':') {
                headers.push((name.trim().to_ascii_lowercase(), value.trim().to_owned()));
            }
        }
        Ok(Some(Message { line, headers, body: Vec::new() }))
    }

    /// Reads the next piece of a chunked body; `None` at its end.
    pub fn read_chunk(&mut self) -> io::Result<Option<Vec<u8>>> {
        let size = usize::from_str_radix(self.read_line()?.trim(), 16)
            .map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
        let chunk = self.read_exact(size)?;
        self.read_line()?;
        Ok((size > 0).then_some(chunk))
    }

    /// Reads the body of a message, which has a length, chunks, or nothing.
    pub fn read_body(&mut self, message: &mut Message) -> io::Result<()> {
        if message.header("transfer-encoding").is_some() {
            while let Some(chunk) = self.read_chunk()? {
                message.body.extend(chunk);
            }
        } else if let Some(length) = message.header("content-length") {
            let length = length.parse().map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
            message.body = self.read_exact(length)?;
        }
        Ok(())
    }

    pub fn read_message(&mut self) -> io::Result<Option<Message>> {
        let Some(mut message) = self.read_head()? else { return Ok(None) };
        self.read_body(&mut message)?;
        Ok(Some(message))
    }

    pub fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }

    pub fn respond(
        &mut self,
        status: &str,
        headers: &[(&str, &str)],
        body: &[u8],
    ) -> io::Result<()> {
        let mut head = format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n", body.len());
        for (name, value) in headers {
            head.push_str(&format!("{name}: {value}\r\n"));
        }
        head.push_str("\r\n");
        let mut bytes = head.into_bytes();
        bytes.extend_from_slice(body);
        self.write(&bytes)
    }

    pub fn write_chunk(&mut self, piece: &[u8]) -> io::Result<()> {
        let mut bytes = format!("{:x}\r\n", piece.len()).into_bytes();
        bytes.extend_from_slice(piece);
        bytes.extend_from_slice(b"\r\n");
        self.write(&bytes)
    }
}

/// Listens on a free port of the loopback address and serves each connection in a thread.
pub fn serve(
    name: &str,
    handle: impl Fn(&mut Connection, Message) -> io::Result<()> + Send + Sync + 'static,
) -> SocketAddr {
    let listener = std::net::TcpListener::bind(("127.0.0.1", 0)).expect(name);
    let address = listener.local_addr().expect(name);
    let handle = std::sync::Arc::new(handle);
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handle = handle.clone();
            std::thread::spawn(move || {
                let mut connection = Connection::new(stream);
                while let Ok(Some(message)) = connection.read_message() {
                    if handle(&mut connection, message).is_err() {
                        return;
                    }
                }
            });
        }
    });
    address
}

/// Makes the close of a connection a reset.
pub fn set_no_linger(stream: &TcpStream) {
    use std::os::fd::AsRawFd;
    unsafe extern "C" {
        fn setsockopt(fd: i32, level: i32, name: i32, value: *const i32, length: u32) -> i32;
    }
    const SOL_SOCKET: i32 = 1;
    const SO_LINGER: i32 = 13;
    let linger = [1_i32, 0];
    // SAFETY: the value is a `struct linger` of two ints, and outlives the call.
    unsafe { setsockopt(stream.as_raw_fd(), SOL_SOCKET, SO_LINGER, linger.as_ptr(), 8) };
}
