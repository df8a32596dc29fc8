//! Model of the platform's log service, without I/O or clock.

use std::{collections::VecDeque, sync::Arc, time::Duration};

use sapphirewell::{
    fold::StoredRecord,
    ids::{LogOffset, LogTime},
};

/// Append-only log with time-based retention.
#[derive(Debug, Clone)]
pub struct LogModel {
    records: VecDeque<StoredRecord>,
    next: LogOffset,
    retention: Duration,
    appends: u64,
}

impl LogModel {
    /// Returns an empty log. Offsets start at 1 because 0 means "none" in records.
    pub fn new(retention: Duration) -> LogModel {
        LogModel { records: VecDeque::new(), next: 1, retention, appends: 0 }
    }

    /// Appends a record and returns its offset.
    pub fn append(&mut self, time: LogTime, body: Arc<str>) -> LogOffset {
        let offset = self.next;
        self.next += 1;
        self.appends += 1;
        self.records.push_back(StoredRecord { offset, time, body });
        offset
    }

    /// Deletes the records that are older than the retention at `time`.
    pub fn expire(&mut self, time: LogTime) {
        while self.records.front().is_some_and(|record| record.time + self.retention < time) {
            self.records.pop_front();
        }
    }

    /// Returns up to `max` retained records, starting at offset `from`.
    pub fn read(&self, from: LogOffset, max: usize) -> Vec<StoredRecord> {
        let skip = from.saturating_sub(self.first()) as usize;
        self.records.iter().skip(skip).take(max).cloned().collect()
    }

    /// Returns the oldest retained offset, or the next offset if the log is empty.
    pub fn first(&self) -> LogOffset {
        self.records.front().map_or(self.next, |record| record.offset)
    }

    /// Returns the offset that the next appended record will get.
    pub fn next(&self) -> LogOffset {
        self.next
    }

    /// Returns the number of appended records, including expired ones.
    pub fn appends(&self) -> u64 {
        self.appends
    }
}
