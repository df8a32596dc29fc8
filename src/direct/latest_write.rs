//! Writes of a value of which only the latest matters.

/// Writes of a value, one at a time. While one is under way the latest value waits, so that a slow
/// store leads to no queue.
#[derive(Debug, Clone)]
pub struct LatestWrite<T> {
    is_writing: bool,
    waiting: Option<T>,
}

impl<T> Default for LatestWrite<T> {
    fn default() -> LatestWrite<T> {
        LatestWrite { is_writing: false, waiting: None }
    }
}

impl<T> LatestWrite<T> {
    /// Returns the value if it is to be written now; otherwise it waits for the write under way.
    pub fn begin(&mut self, value: T) -> Option<T> {
        if std::mem::replace(&mut self.is_writing, true) {
            self.waiting = Some(value);
            return None;
        }
        Some(value)
    }

    /// Ends a write, and returns the value to be written next, if any.
    pub fn end(&mut self) -> Option<T> {
        let next = self.waiting.take();
        self.is_writing = next.is_some();
        next
    }
}
