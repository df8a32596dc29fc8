//! JSON lines log on standard output that never blocks and buffers a bounded amount.

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

/// Bytes buffered for a slow reader; further lines are dropped.
const MAX_BUFFERED_BYTES: usize = 256 * 1024;
/// Additional bytes that only warnings and errors may use.
const WARNING_RESERVE_BYTES: usize = 64 * 1024;

static DROPPED_LINES: AtomicU64 = AtomicU64::new(0);

/// Starts logging at a level: error, warn, info, debug or trace. Any other level means info.
///
/// A slow reader of standard output never blocks the process: lines wait in a bounded buffer,
/// and a later line reports how many were dropped. On a terminal, logging blocks as usual.
pub fn start(level: &str) {
    logforth::starter_log::builder()
        .dispatch(|dispatch| match NonblockingStdout::open() {
            Some(stdout) => dispatch.append(stdout),
            None => dispatch.append(append::Stdout::default().with_layout(JsonLayout::default())),
        })
        .apply();
    log::set_max_level(level.parse().unwrap_or(log::LevelFilter::Info));
}

/// Returns the number of log lines dropped since the process started.
pub fn dropped_lines() -> u64 {
    DROPPED_LINES.load(Ordering::Relaxed)
}

/// Returns whether lines of a level may use the reserve for warnings and errors.
pub fn may_use_reserve(level: RecordLevel) -> bool {
    level >= RecordLevel::Warn
}

/// Bounded buffer of log lines that wait for standard output.
#[derive(Debug, Default)]
pub struct LineBuffer {
    buffered: Vec<u8>,
    dropped: u64,
}

impl LineBuffer {
    /// Appends a line, or counts it as dropped if the buffer is full.
    ///
    /// Warnings may also fill the reserve.
    pub fn push(&mut self, line: &[u8], is_warning: bool) {
        let reserve = if is_warning { WARNING_RESERVE_BYTES } else { 0 };
        if self.buffered.len() + line.len() > MAX_BUFFERED_BYTES + reserve {
            self.dropped += 1;
            DROPPED_LINES.fetch_add(1, Ordering::Relaxed);
            return;
        }
        if self.dropped > 0 {
            let dropped = std::mem::take(&mut self.dropped);
            let note = serde_json::json!({
                "level": "WARN", "message": "log lines dropped", "kvs": { "dropped": dropped },
            });
            self.buffered.extend_from_slice(format!("{note}\n").as_bytes());
        }
        self.buffered.extend_from_slice(line);
    }

    /// Writes buffered bytes until the output would block.
    ///
    /// Any other error discards the buffer.
    pub fn write_to(&mut self, output: &mut impl Write) {
        let mut written = 0;
        while written < self.buffered.len() {
            match output.write(&self.buffered[written..]) {
                Ok(0) => break,
                Ok(count) => written += count,
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) if error.kind() == ErrorKind::WouldBlock => break,
                Err(_) => {
                    // The reader is gone, and there is nowhere else to report it.
                    written = self.buffered.len();
                }
            }
        }
        self.buffered.drain(..written);
    }
}

/// Appender that writes to non-blocking standard output.
#[derive(Debug)]
struct NonblockingStdout {
    layout: JsonLayout,
    buffer: Mutex<LineBuffer>,
}

/// Standard output without the buffer of [`std::io::Stdout`], which a write that would block
/// could leave half written.
struct UnbufferedStdout;

impl Write for UnbufferedStdout {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        Ok(rustix::io::write(std::io::stdout().as_fd(), bytes)?)
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

impl NonblockingStdout {
    /// Makes standard output non-blocking.
    ///
    /// Returns `None` for a terminal, which would stay non-blocking after the process ends.
    fn open() -> Option<NonblockingStdout> {
        let stdout = std::io::stdout();
        if stdout.is_terminal() {
            return None;
        }
        rustix::io::ioctl_fionbio(stdout.as_fd(), true).ok()?;
        Some(NonblockingStdout { layout: JsonLayout::default(), buffer: Mutex::default() })
    }
}

impl Append for NonblockingStdout {
    fn append(
        &self,
        record: &Record<'_>,
        diagnostics: &[Box<dyn Diagnostic>],
    ) -> Result<(), logforth::Error> {
        let mut line = self.layout.format(record, diagnostics)?;
        line.push(b'\n');
        let mut buffer = lock(&self.buffer);
        buffer.push(&line, may_use_reserve(record.level()));
        buffer.write_to(&mut UnbufferedStdout);
        Ok(())
    }

    fn flush(&self) -> Result<(), logforth::Error> {
        lock(&self.buffer).write_to(&mut UnbufferedStdout);
        Ok(())
    }
}
