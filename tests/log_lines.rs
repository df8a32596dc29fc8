//! Log lines whose reader is slow or gone.

use std::io::{Error, ErrorKind, Write};

use sapphirewell::process::logging::LineBuffer;

/// Output that takes a number of bytes, and then none without waiting.
struct SlowOutput {
    room: usize,
    taken: Vec<u8>,
}

impl Write for SlowOutput {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        if self.room == 0 {
            return Err(Error::from(ErrorKind::WouldBlock));
        }
        let count = bytes.len().min(self.room);
        self.room -= count;
        self.taken.extend_from_slice(&bytes[..count]);
        Ok(count)
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

const LINE: &[u8] = b"{\"message\":\"request ended\"}\n";
const WARNING: &[u8] = b"{\"message\":\"store lost\"}\n";

#[test]
fn lines_wait_in_order_and_are_never_torn() {
    let mut output = SlowOutput { room: 40, taken: Vec::new() };
    let mut buffer = LineBuffer::default();
    for _ in 0..3 {
        buffer.push(LINE, false);
        buffer.write_to(&mut output);
    }
    output.room = 1000;
    buffer.write_to(&mut output);
    assert_eq!(output.taken, LINE.repeat(3));
}

#[test]
fn what_does_not_fit_is_counted_and_warnings_go_before() {
    let mut output = SlowOutput { room: 0, taken: Vec::new() };
    let mut buffer = LineBuffer::default();
    for _ in 0..100_000 {
        buffer.push(LINE, false);
        buffer.write_to(&mut output);
    }
    buffer.push(WARNING, true);
    output.room = usize::MAX;
    buffer.write_to(&mut output);
    let text = String::from_utf8(output.taken).unwrap();
    assert!(text.len() < 400_000, "{} bytes waited", text.len());
    assert!(text.ends_with(std::str::from_utf8(WARNING).unwrap()));
    let kept = text.matches("request ended").count();
    let told = format!("\"dropped\":{}", 100_000 - kept);
    assert!(text.contains(&told), "{told} is not told");
}

/// Found in reading: the comparison was the wrong way round, so that the lines of
/// ordinary requests took the warnings' room.
#[test]
fn only_warnings_and_errors_have_room_in_reserve() {
    use logforth::record::Level;
    let cases =
        [(Level::Debug, false), (Level::Info, false), (Level::Warn, true), (Level::Error, true)];
    for (level, reserve) in cases {
        assert_eq!(sapphirewell::process::logging::may_use_reserve(level), reserve, "{level}");
    }
}
