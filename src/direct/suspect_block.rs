//! Blocks of suspects: what is no longer sent, for how long, and what ends a block.

use std::{collections::HashMap, time::Duration};

use serde::Serialize;

use super::{
    DirectRequest,
    suspect::{BlockedSuspect, CrashSuspect, SuspectChange, request_suspects},
    suspect_table::SuspectTable,
};
use crate::ids::ClockTime;

/// Time after the last crash for which a suspect is blocked. It doubles each time that the
/// first crash afterwards blocks the suspect again.
pub(super) const BLOCK_TIME: Duration = Duration::from_secs(600);
/// Largest exponent of that doubling.
const MAX_DOUBLINGS: u32 = 8;
/// Largest number of blocked suspects; further ones are not adopted from others.
const MAX_BLOCKED: usize = 4096;

#[derive(Debug, Clone, Serialize)]
pub(super) struct BlockRecord {
    pub(super) crashes: u32,
    pub(super) repeats: u32,
    pub(super) last: ClockTime,
    /// Whether this entry wrote it to the store.
    pub(super) stored: bool,
}

impl BlockRecord {
    pub(super) fn ends(&self) -> ClockTime {
        self.last + BLOCK_TIME * 2_u32.pow(self.repeats.min(MAX_DOUBLINGS))
    }

    pub(super) fn report(&self, now: ClockTime, suspect: CrashSuspect) -> BlockedSuspect {
        let age = now.saturating_sub(self.last);
        BlockedSuspect { suspect, crashes: self.crashes, repeats: self.repeats, age }
    }
}

impl SuspectTable {
    /// Returns whether a request has a suspect that is not sent.
    pub fn blocks(&self, now: ClockTime, request: &DirectRequest) -> bool {
        let is_blocked =
            |suspect| self.blocked.get(suspect).is_some_and(|block| now < block.ends());
        !self.blocked.is_empty()
            && request_suspects(request).iter().any(|(suspect, _)| is_blocked(suspect))
    }

    /// Returns the suspects that are not sent.
    pub fn blocked(&self, now: ClockTime) -> impl Iterator<Item = &CrashSuspect> {
        let blocked = self.blocked.iter().filter(move |(_, block)| now < block.ends());
        blocked.map(|(suspect, _)| suspect)
    }

    /// Blocks a suspect that a peer or an earlier process blocks.
    ///
    /// A record of the store is removed by whoever read it, as its writer may be gone.
    pub fn adopt_block(&mut self, now: ClockTime, block: &BlockedSuspect, stored: bool) {
        if self.blocked.len() >= MAX_BLOCKED {
            return;
        }
        let last = now.saturating_sub(block.age);
        // One that a request has run with since was blocked by mistake.
        if let Some(at) = self.successes.get(&block.suspect).filter(|at| **at > last) {
            self.own_successes.insert(block.suspect, *at);
            return;
        }
        // Its peer may have read it from a store that was restored from an older copy. All entries
        // hear of the crashes for which it would be blocked again.
        if !stored && self.unblocked.contains_key(&block.suspect) {
            return;
        }
        let new = BlockRecord { crashes: 0, repeats: 0, last, stored };
        let known = self.blocked.entry(block.suspect).or_insert(new);
        known.stored |= stored;
        // Ages grow by the time of each message, so that entries which took over the newest
        // of them would renew a block without end.
        if (block.repeats, block.crashes) > (known.repeats, known.crashes) {
            known.crashes = block.crashes;
            known.repeats = block.repeats;
            known.last = known.last.max(last);
        }
    }

    /// Compares the blocks with those of a store that was restored from an older copy. Lost ones
    /// are written again, and those that were removed since are removed again.
    pub(super) fn restore_blocks(&mut self, now: ClockTime, stored: &[BlockedSuspect]) {
        let numbers = |block: &BlockedSuspect| (block.suspect, (block.repeats, block.crashes));
        let held: HashMap<CrashSuspect, (u32, u32)> = stored.iter().map(numbers).collect();
        for (suspect, block) in &mut self.blocked {
            if held.get(suspect).is_none_or(|held| *held < (block.repeats, block.crashes)) {
                block.stored = true;
                self.changes.push(SuspectChange::Blocked(block.report(now, *suspect)));
            }
        }
        for block in stored {
            if self.blocked.contains_key(&block.suspect)
                || !self.unblocked.contains_key(&block.suspect)
            {
                self.adopt_block(now, block, true);
                continue;
            }
            // An entry that starts meanwhile may have read the record.
            self.own_successes.insert(block.suspect, now);
            self.changes.push(SuspectChange::Cleared(block.suspect));
        }
    }

    /// Blocks the suspects that explain most crashes, one after the other.
    pub(super) fn block_causes(&mut self, now: ClockTime) {
        let is_blocked = |table: &SuspectTable, suspect: &CrashSuspect| {
            table.blocked.get(suspect).is_some_and(|block| now < block.ends())
        };
        while let Some(causes) = self.likeliest_causes(now) {
            // Nothing would change, and the search would not end.
            if causes.suspects.iter().all(|suspect| is_blocked(self, suspect)) {
                return;
            }
            for suspect in causes.suspects {
                self.block(now, suspect, causes.crashes);
            }
        }
    }

    fn block(&mut self, now: ClockTime, suspect: CrashSuspect, crashes: usize) {
        let breaks = self.breaks.iter().filter(|(_, broken)| broken.suspect == suspect);
        let saw_crash = self.crashes.values().any(|crash| crash.own.contains(&suspect))
            || breaks.clone().any(|(id, _)| id.0 == self.instance);
        let last = self.crashes.values().filter(|c| c.suspects.contains_key(&suspect));
        let last = last.map(|crash| crash.at).chain(breaks.map(|(_, broken)| broken.at));
        let last = last.max().unwrap_or(now);
        let before = self.blocked.get(&suspect);
        let block = BlockRecord {
            crashes: before.map_or(0, |block| block.crashes).saturating_add(crashes as u32),
            repeats: before.map_or(0, |block| block.repeats.saturating_add(1)),
            last,
            stored: saw_crash || before.is_some_and(|block| block.stored),
        };
        if saw_crash {
            self.changes.push(SuspectChange::Blocked(block.report(now, suspect)));
        }
        self.blocked.insert(suspect, block);
    }
}
