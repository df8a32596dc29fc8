//! JSON-line logs on standard output, bounded and never blocking.

use std::{
    io::{ErrorKind, IsTerminal, Write},
    os::fd::AsFd,
    sync::{
        Mutex,
        atomic::{AtomicU64, Ordering},
    },
};

use logforth::{
    Append, Diagnostic, Layout, append,
    layout::JsonLayout,
    record::{Level as RecordLevel, Record},
};

use super::lock;

/// Bytes that wait for a reader that is slow; then lines are dropped.
const MAX_WAITING: usize = 256 * 1024;
/// Bytes beyond that which only warnings and errors may use.
const WARNING_RESERVE: usize = 64 * 1024;

static DROPPED: AtomicU64 = AtomicU64::new(0);

/// Starts logging at a level: error, warn, info, debug or trace.
///
/// A process never waits for whoever reads its standard output: lines wait in a
/// bounded buffer, and what does not fit is counted in a later line.
pub fn start(level: &str) {
    logforth::starter_log::builder()
        .dispatch(|dispatch| match BoundedStdout::open() {
            Some(bounded) => dispatch.append(bounded),
            None => dispatch.append(append::Stdout::default().with_layout(JsonLayout::default())),
        })
        .apply();
    log::set_max_level(level.parse().unwrap_or(log::LevelFilter::Info));
}

/// Returns the number of lines that were dropped since the start.
pub fn dropped_lines() -> u64 {
    DROPPED.load(Ordering::Relaxed)
}

/// Tells whether lines of a level may use the room in reserve.
pub fn has_reserve(level: RecordLevel) -> bool {
    level >= RecordLevel::Warn
}

/// Lines on their way to standard output.
#[derive(Debug, Default)]
pub struct LineBuffer {
    waiting: Vec<u8>,
    dropped: u64,
}

impl LineBuffer {
    /// Adds a line, or drops it where too much waits; warnings have room in reserve.
    pub fn push(&mut self, line: &[u8], is_warning: bool) {
        let reserve = if is_warning { WARNING_RESERVE } else { 0 };
        if self.waiting.len() + line.len() > MAX_WAITING + reserve {
            self.dropped += 1;
            DROPPED.fetch_add(1, Ordering::Relaxed);
            return;
        }
        if self.dropped > 0 {
            let dropped = std::mem::take(&mut self.dropped);
            let note = serde_json::json!({
                "level": "WARN", "message": "log lines dropped", "kvs": { "dropped": dropped },
            });
            self.waiting.extend_from_slice(format!("{note}\n").as_bytes());
        }
        self.waiting.extend_from_slice(line);
    }

    /// Writes what the output takes without waiting.
    pub fn write_to(&mut self, output: &mut impl Write) {
        let mut written = 0;
        while written < self.waiting.len() {
            match output.write(&self.waiting[written..]) {
                Ok(0) => break,
                Ok(count) => written += count,
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) if error.kind() == ErrorKind::WouldBlock => break,
                Err(_) => {
                    // Nobody reads any more, and there is no other place to tell.
                    written = self.waiting.len();
                }
            }
        }
        self.waiting.drain(..written);
    }
}

/// Standard output in a mode in which writes never wait.
#[derive(Debug)]
struct BoundedStdout {
    layout: JsonLayout,
    buffer: Mutex<LineBuffer>,
}

/// Standard output without the library's own buffer, which may not be left half written.
struct RawStdout;

impl Write for RawStdout {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        Ok(rustix::io::write(std::io::stdout().as_fd(), bytes)?)
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

impl BoundedStdout {
    /// Opens it, unless a terminal would be left in that mode.
    fn open() -> Option<BoundedStdout> {
        let stdout = std::io::stdout();
        if stdout.is_terminal() {
            return None;
        }
        rustix::io::ioctl_fionbio(stdout.as_fd(), true).ok()?;
        Some(BoundedStdout { layout: JsonLayout::default(), buffer: Mutex::default() })
    }
}

impl Append for BoundedStdout {
    fn append(
        &self,
        record: &Record<'_>,
        diagnostics: &[Box<dyn Diagnostic>],
    ) -> Result<(), logforth::Error> {
        let mut line = self.layout.format(record, diagnostics)?;
        line.push(b'\n');
        let mut buffer = lock(&self.buffer);
        buffer.push(&line, has_reserve(record.level()));
        buffer.write_to(&mut RawStdout);
        Ok(())
    }

    fn flush(&self) -> Result<(), logforth::Error> {
        lock(&self.buffer).write_to(&mut RawStdout);
        Ok(())
    }
}
