//! Tests of the log buffer with a slow reader.

use std::io::{Error, ErrorKind, Write};

use sapphirewell::process::logging::LineBuffer;

/// Output that accepts `capacity` bytes and then would block.
struct SlowOutput {
    capacity: usize,
    written: Vec<u8>,
}

impl Write for SlowOutput {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        if self.capacity == 0 {
            return Err(Error::from(ErrorKind::WouldBlock));
        }
        let count = bytes.len().min(self.capacity);
        self.capacity -= count;
        self.written.extend_from_slice(&bytes[..count]);
        Ok(count)
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

const LINE: &[u8] = b"{\"message\":\"request ended\"}\n";
const WARNING: &[u8] = b"{\"message\":\"store lost\"}\n";

#[test]
fn partial_writes_keep_lines_whole_and_in_order() {
    let mut output = SlowOutput { capacity: 40, written: Vec::new() };
    let mut buffer = LineBuffer::default();
    for _ in 0..3 {
        buffer.push(LINE, false);
        buffer.write_to(&mut output);
    }
    output.capacity = 1000;
    buffer.write_to(&mut output);
    assert_eq!(output.written, LINE.repeat(3));
}

#[test]
fn dropped_lines_are_counted_and_warnings_use_the_reserve() {
    let mut output = SlowOutput { capacity: 0, written: Vec::new() };
    let mut buffer = LineBuffer::default();
    for _ in 0..100_000 {
        buffer.push(LINE, false);
        buffer.write_to(&mut output);
    }
    buffer.push(WARNING, true);
    output.capacity = usize::MAX;
    buffer.write_to(&mut output);
    let text = String::from_utf8(output.written).unwrap();
    assert!(text.len() < 400_000, "{} bytes buffered", text.len());
    assert!(text.ends_with(std::str::from_utf8(WARNING).unwrap()));
    let kept = text.matches("request ended").count();
    let notice = format!("\"dropped\":{}", 100_000 - kept);
    assert!(text.contains(&notice), "{notice} is missing");
}

/// Guards against an inverted level comparison, with which the lines of ordinary requests
/// filled the reserve for warnings.
#[test]
fn only_warnings_and_errors_may_use_the_reserve() {
    use logforth::record::Level;
    let cases =
        [(Level::Debug, false), (Level::Info, false), (Level::Warn, true), (Level::Error, true)];
    for (level, reserve) in cases {
        assert_eq!(sapphirewell::process::logging::may_use_reserve(level), reserve, "{level}");
    }
}
