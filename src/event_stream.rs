//! Event boundaries in a server-sent event stream (`text/event-stream`).

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
