//! HTTP/1.1 as far as the stand-ins need it.

use std::{
    io::{self, BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpStream},
    time::Duration,
};

/// Head of a request or a response.
#[derive(Debug, Clone, Default)]
pub struct Head {
    pub line: String,
    pub fields: Vec<(String, String)>,
}

impl Head {
    pub fn get(&self, name: &str) -> Option<&str> {
        let mut fields = self.fields.iter();
        fields.find(|(known, _)| known.eq_ignore_ascii_case(name)).map(|(_, value)| &**value)
    }

    pub fn word(&self, index: usize) -> &str {
        self.line.split(' ').nth(index).unwrap_or("")
    }

    pub fn status(&self) -> u16 {
        self.word(1).parse().unwrap_or(0)
    }

    pub fn length(&self) -> usize {
        self.get("content-length").and_then(|text| text.parse().ok()).unwrap_or(0)
    }

    /// Value of a parameter in the query of a request's target.
    pub fn query(&self, name: &str) -> Option<String> {
        let (_, query) = self.word(1).split_once('?')?;
        let pair = query.split('&').find_map(|pair| pair.split_once('=').filter(|p| p.0 == name));
        pair.map(|(_, value)| value.to_owned())
    }
}

/// Reads a head; `None` at the end of the connection.
pub fn read_head(reader: &mut impl BufRead) -> io::Result<Option<Head>> {
    let mut head = Head::default();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return if head.line.is_empty() { Ok(None) } else { Err(broken()) };
        }
        if !line.ends_with('\n') {
            return Err(broken());
        }
        let line = line.trim_end();
        match (head.line.is_empty(), line.is_empty()) {
            (true, true) => continue,
            (true, false) => head.line = line.to_owned(),
            (false, true) => return Ok(Some(head)),
            (false, false) => {
                let (name, value) = line.split_once(':').unwrap_or((line, ""));
                head.fields.push((name.trim().to_owned(), value.trim().to_owned()));
            }
        }
    }
}

fn broken() -> io::Error {
    io::ErrorKind::UnexpectedEof.into()
}

pub fn read_bytes(reader: &mut impl Read, length: usize) -> io::Result<Vec<u8>> {
    let mut bytes = vec![0; length];
    reader.read_exact(&mut bytes)?;
    Ok(bytes)
}

/// Reads a chunk; an empty one is the last.
pub fn read_chunk(reader: &mut impl BufRead) -> io::Result<Vec<u8>> {
    let mut line = String::new();
    reader.read_line(&mut line)?;
    let length = usize::from_str_radix(line.trim(), 16).map_err(|_| broken())?;
    let bytes = read_bytes(reader, length)?;
    read_bytes(reader, 2)?;
    Ok(bytes)
}

pub fn write_chunk(stream: &mut impl Write, bytes: &[u8]) -> io::Result<()> {
    let mut chunk = format!("{:x}\r\n", bytes.len()).into_bytes();
    chunk.extend_from_slice(bytes);
    chunk.extend_from_slice(b"\r\n");
    stream.write_all(&chunk)
}

/// Writes a head and a body with its length.
pub fn respond(
    stream: &mut impl Write,
    status: &str,
    fields: &[(&str, &str)],
    body: &[u8],
) -> io::Result<()> {
    let mut bytes = format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in fields {
        bytes.push_str(&format!("{name}: {value}\r\n"));
    }
    bytes.push_str("\r\n");
    let mut bytes = bytes.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)
}

pub fn connect(address: SocketAddr) -> io::Result<(TcpStream, BufReader<TcpStream>)> {
    let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    let reader = BufReader::new(stream.try_clone()?);
    Ok((stream, reader))
}

/// Makes one call over a new connection and returns the status and the body.
pub fn call(
    address: SocketAddr,
    line: &str,
    fields: &[(&str, &str)],
    body: &[u8],
) -> io::Result<(u16, Vec<u8>)> {
    let (mut stream, mut reader) = connect(address)?;
    stream.set_read_timeout(Some(Duration::from_secs(3)))?;
    let mut text = format!("{line} HTTP/1.1\r\nHost: {address}\r\nConnection: close\r\n");
    text.push_str(&format!("Content-Length: {}\r\n", body.len()));
    for (name, value) in fields {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str("\r\n");
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)?;
    let head = read_head(&mut reader)?.ok_or_else(broken)?;
    let body = read_bytes(&mut reader, head.length())?;
    Ok((head.status(), body))
}
