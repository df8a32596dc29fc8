//! Event boundaries in a server-sent event stream (`text/event-stream`), and heads of other
//! responses that do not belong there.

use bytes::{Bytes, BytesMut};

/// Longest line ending together with the end of the line before it, in bytes.
const TAIL_BYTES: usize = 4;

/// Tracks whether the bytes of a stream so far end between two events or inside one.
///
/// An event ends with an empty line. Lines end with LF, CR LF or CR.
///
/// ```
/// use sapphirewell::event_stream::EventBoundary;
///
/// let mut boundary = EventBoundary::default();
/// boundary.advance(b"id: 1\ndata: a\n");
/// assert!(boundary.is_inside_event());
/// boundary.advance(b"\n");
/// assert!(!boundary.is_inside_event());
/// ```
#[derive(Debug, Clone, Copy, Default)]
pub struct EventBoundary {
    tail: [u8; TAIL_BYTES],
    length: usize,
}

impl EventBoundary {
    /// Takes the next bytes of the stream.
    pub fn advance(&mut self, bytes: &[u8]) {
        let last = &bytes[bytes.len().saturating_sub(TAIL_BYTES)..];
        for byte in last {
            self.tail.rotate_left(1);
            self.tail[TAIL_BYTES - 1] = *byte;
        }
        self.length = (self.length + last.len()).min(TAIL_BYTES);
    }

    /// Returns whether the stream has no bytes so far.
    pub fn is_empty(&self) -> bool {
        self.length == 0
    }

    /// Returns whether the stream ends inside an event. An empty stream does not.
    pub fn is_inside_event(&self) -> bool {
        let tail = &self.tail[TAIL_BYTES - self.length..];
        let last_line = match tail {
            [] => return false,
            [start @ .., b'\r', b'\n'] | [start @ .., b'\n' | b'\r'] => start,
            _ => return true,
        };
        !matches!(last_line, [] | [.., b'\n' | b'\r'])
    }
}

/// Beginning of a status line up to the minor version.
const HTTP_VERSION: &[u8] = b"HTTP/1.";
/// Length of a status line with the byte after its code, as in `HTTP/1.1 200 `.
const STATUS_LENGTH: usize = HTTP_VERSION.len() + "1 200 ".len();
/// Longest reason phrase or field name that is waited for.
const MAX_HEAD_PART_BYTES: usize = 256;
/// Names of an event's fields.
const EVENT_FIELDS: [&[u8]; 4] = [b"data", b"event", b"id", b"retry"];

/// Finds the head of another HTTP response in a stream of events.
///
/// A server, or a proxy before it, that fails in the middle of a stream may write an error to the
/// same connection, where the framing of the stream makes it a part of the body.
///
/// A status line that begins a line is a head, as no field of an event begins like that. One inside
/// a line may be text; it is a head if a header field of HTTP follows, and no field of an event.
///
/// ```
/// use bytes::Bytes;
/// use sapphirewell::event_stream::StrayHeadScanner;
///
/// let mut scanner = StrayHeadScanner::default();
/// let scanned = scanner.scan(Bytes::from("data: a\n\nHTTP/1.1 500 Internal Server Error\r\n"));
/// assert_eq!(scanned.clean, "data: a\n\n");
/// assert!(scanned.found);
/// ```
#[derive(Debug, Default)]
pub struct StrayHeadScanner {
    /// Last bytes of the stream, which may begin a head.
    held: BytesMut,
    /// Whether the bytes before these end inside a line.
    inside_line: bool,
}

/// Bytes of a stream that were scanned.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ScannedBytes {
    /// Bytes that belong to the stream. Those that may begin a head are held back until the next
    /// bytes; a stream that ends between two events leaves none.
    pub clean: Bytes,
    /// Whether a head follows them.
    pub found: bool,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum HeadMatch {
    Head,
    /// The bytes after these decide.
    Possible,
    NoHead,
}

impl StrayHeadScanner {
    /// Takes the next bytes of the stream.
    pub fn scan(&mut self, bytes: Bytes) -> ScannedBytes {
        let bytes = if self.held.is_empty() {
            bytes
        } else {
            self.held.extend_from_slice(&bytes);
            self.held.split().freeze()
        };
        let mut from = 0;
        while let Some(offset) = bytes[from..].iter().position(|byte| *byte == HTTP_VERSION[0]) {
            let at = from + offset;
            let inside_line = at.checked_sub(1).map_or(self.inside_line, |i| !ends_line(bytes[i]));
            match match_head(&bytes[at..], inside_line) {
                HeadMatch::Head => return self.pass(bytes.slice(..at), true),
                HeadMatch::Possible => {
                    self.held.extend_from_slice(&bytes[at..]);
                    return self.pass(bytes.slice(..at), false);
                }
                HeadMatch::NoHead => from = at + 1,
            }
        }
        self.pass(bytes, false)
    }

    fn pass(&mut self, clean: Bytes, found: bool) -> ScannedBytes {
        if let Some(last) = clean.last() {
            self.inside_line = !ends_line(*last);
        }
        ScannedBytes { clean, found }
    }
}

fn ends_line(byte: u8) -> bool {
    matches!(byte, b'\r' | b'\n')
}

/// Returns whether a head begins with these bytes, the first of which may be inside a line.
fn match_head(bytes: &[u8], inside_line: bool) -> HeadMatch {
    let is_status = |(index, byte): (usize, &u8)| match index.checked_sub(HTTP_VERSION.len()) {
        None => *byte == HTTP_VERSION[index],
        Some(0) => matches!(byte, b'0' | b'1'),
        Some(1) => *byte == b' ',
        Some(2..=4) => byte.is_ascii_digit(),
        Some(_) => *byte == b' ' || ends_line(*byte),
    };
    let (status, _) = bytes.split_at(bytes.len().min(STATUS_LENGTH));
    if !status.iter().enumerate().all(is_status) {
        return HeadMatch::NoHead;
    }
    match (status.len() == STATUS_LENGTH, inside_line) {
        (false, _) => HeadMatch::Possible,
        (true, false) => HeadMatch::Head,
        (true, true) => match_header_field(&bytes[STATUS_LENGTH - 1..]),
    }
}

/// Returns whether a header field of HTTP follows the rest of a status line.
fn match_header_field(bytes: &[u8]) -> HeadMatch {
    let Some(end) = find_in_part(bytes, ends_line) else {
        return undecided(bytes);
    };
    let field = match &bytes[end..] {
        [b'\r'] => return HeadMatch::Possible,
        [b'\r', b'\n', field @ ..] => field,
        _ => return HeadMatch::NoHead,
    };
    let ends_name = |byte: u8| !byte.is_ascii_alphanumeric() && !matches!(byte, b'-' | b'_');
    let Some(name_end) = find_in_part(field, ends_name) else {
        return undecided(field);
    };
    let name = &field[..name_end];
    let is_event_field = EVENT_FIELDS.iter().any(|known| name.eq_ignore_ascii_case(known));
    match field[name_end] {
        b':' if !name.is_empty() && !is_event_field => HeadMatch::Head,
        _ => HeadMatch::NoHead,
    }
}

/// Finds the end of a part of a head, which is not longer than those that are waited for: the
/// result is the same if the bytes come one by one.
fn find_in_part(bytes: &[u8], is_end: impl Fn(u8) -> bool) -> Option<usize> {
    bytes.iter().take(MAX_HEAD_PART_BYTES + 1).position(|byte| is_end(*byte))
}

fn undecided(part: &[u8]) -> HeadMatch {
    if part.len() > MAX_HEAD_PART_BYTES { HeadMatch::NoHead } else { HeadMatch::Possible }
}
