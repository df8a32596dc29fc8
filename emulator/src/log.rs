//! Model of the platform's log service, as a pure state machine.

use std::{collections::VecDeque, sync::Arc, time::Duration};

use sapphirewell::{
    fold::StoredRecord,
    ids::{LogOffset, LogTime},
};

/// The log.
#[derive(Debug, Clone)]
pub struct LogModel {
    records: VecDeque<StoredRecord>,
    next: LogOffset,
    retention: Duration,
    appends: u64,
}

impl LogModel {
    /// Makes an empty log. Its first offset is 1, since 0 stands for "none" in records.
    pub fn new(retention: Duration) -> LogModel {
        LogModel { records: VecDeque::new(), next: 1, retention, appends: 0 }
    }

    /// Appends a record.
    pub fn append(&mut self, time: LogTime, body: Arc<str>) -> LogOffset {
        let offset = self.next;
        self.next += 1;
        self.appends += 1;
        self.records.push_back(StoredRecord { offset, time, body });
        offset
    }

    /// Drops records that are older than the retention.
    pub fn expire(&mut self, time: LogTime) {
        while self.records.front().is_some_and(|record| record.time + self.retention < time) {
            self.records.pop_front();
        }
    }

    /// Returns the records from an offset on.
    pub fn read(&self, from: LogOffset, max: usize) -> Vec<StoredRecord> {
        let skip = from.saturating_sub(self.first()) as usize;
        self.records.iter().skip(skip).take(max).cloned().collect()
    }

    /// Returns the oldest offset that is still held.
    pub fn first(&self) -> LogOffset {
        self.records.front().map_or(self.next, |record| record.offset)
    }

    /// Returns the offset of the next record.
    pub fn next(&self) -> LogOffset {
        self.next
    }

    /// Returns the number of appends so far.
    pub fn appends(&self) -> u64 {
        self.appends
    }
}
