//! Stand-in of the store for entries with the usage duty.

use std::{collections::BTreeMap, time::Duration};

use sapphirewell::direct::{
    ClaimOutcome, FixedRecord, RecordsEnd, ReportStart, SavedUsage, StoreGeneration, UsageMessage,
    UsageRecords, WindowUsage, fencing_token,
};

use super::usage_machine::name;

/// Content of the store.
#[derive(Debug, Clone)]
pub struct UsageStore {
    /// Its generation, if it states one.
    pub generation: Option<StoreGeneration>,
    end: u64,
    claim: Option<(usize, u64)>,
    fixed: Option<FixedRecord>,
    start: Option<ReportStart>,
    /// Whether the fixed counts were written after `start`.
    is_fixed_after_start: bool,
    pub saved: Option<SavedUsage>,
    /// Messages that entries left.
    pub messages: BTreeMap<usize, UsageMessage>,
    copies: Vec<(Duration, Box<UsageStore>)>,
}

impl UsageStore {
    pub fn new() -> UsageStore {
        UsageStore {
            generation: Some(1),
            end: 0,
            claim: None,
            fixed: None,
            start: None,
            is_fixed_after_start: false,
            saved: None,
            messages: BTreeMap::new(),
            copies: Vec::new(),
        }
    }

    /// Keeps a copy, which it may be restored from.
    pub fn copy(&mut self, now: Duration) {
        let copies = std::mem::take(&mut self.copies);
        let copy = Box::new(self.clone());
        self.copies = copies;
        self.copies.push((now, copy));
    }

    /// Replaces the content by that of the last copy until then.
    pub fn restore(&mut self, at: Duration) {
        let copies = std::mem::take(&mut self.copies);
        let generation = self.generation.map(|generation| generation + 1);
        let copy = copies.iter().rev().find(|(time, _)| *time <= at).unwrap();
        *self = UsageStore { generation, ..(*copy.1).clone() };
        self.copies = copies;
    }

    pub fn holder(&self) -> Option<usize> {
        self.claim.map(|(entry, _)| entry)
    }

    pub fn claim(&mut self, entry: usize) -> ClaimOutcome {
        self.end += 1;
        self.claim = Some((entry, self.end));
        ClaimOutcome::Taken(fencing_token(self.generation, self.end).unwrap())
    }

    /// Writes the counts of a window, unless the topic has more records. A call states an offset
    /// alone, so that a late one may take effect in a later generation.
    pub fn fix(&mut self, usage: WindowUsage, end: RecordsEnd) -> bool {
        let writes = end.1 == self.end;
        if writes {
            self.end += 1;
            self.fixed = Some(FixedRecord::new(usage, end.0));
            self.is_fixed_after_start = true;
        }
        writes
    }

    // The file serves tests without it, too.
    #[allow(dead_code)]
    /// Writes counts of the generation before, at an offset that is given out again.
    pub fn land_late_counts(&mut self) {
        let generation = self.generation.map(|generation| generation - 1);
        let window = self.fixed.as_ref().map_or(0, |fixed| fixed.window.saturating_sub(1));
        let end = self.records_end();
        self.fix(WindowUsage { window, ..WindowUsage::default() }, (generation, end.1));
    }

    /// Writes the first window that may be reported, unless the topic has more records.
    pub fn write_start(&mut self, start: ReportStart, end: RecordsEnd) -> bool {
        let writes = end.1 == self.end;
        if writes {
            self.end += 1;
            self.start = Some(start);
            self.is_fixed_after_start = false;
        }
        writes
    }

    fn records_end(&self) -> RecordsEnd {
        (self.generation, self.end)
    }

    /// Returns the records, with what was saved if that is asked for.
    pub fn records(&self, with_saved: bool) -> UsageRecords {
        let token = |end| fencing_token(self.generation, end).unwrap();
        UsageRecords {
            claim: self.claim.map(|(entry, end)| (name(entry).into(), token(end))),
            fixed: self.fixed.clone(),
            start: self.start,
            is_fixed_after_start: self.is_fixed_after_start,
            saved: self.saved.clone().filter(|_| with_saved),
            end: self.records_end(),
        }
    }
}
