//! Counts of requests by customer and window: this entry's own, and those that peers sent.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    hash::{Hash, Hasher},
};

use serde::Serialize;
use siphasher::sip::SipHasher13;

use super::{
    CustomerCounts, CustomerName, EndedCounts, PeerName, SavedUsage, SavedWindow, UsageReceipt,
    UsageUpdate, UsageWindow, WindowUsage,
};

/// Largest number of counts in a message, so that it fits a datagram.
const MAX_UPDATE_COUNTS: usize = 500;
/// Windows ahead of this entry's own that are taken from others, as clocks may differ.
const MAX_WINDOWS_AHEAD: UsageWindow = 2;

/// Count of this entry.
#[derive(Debug, Clone, Copy, Default, Serialize)]
struct OwnCount {
    requests: u64,
    /// Number of the change that set it.
    changed: u64,
}

/// Counts of one process start of a peer.
#[derive(Debug, Clone, Serialize)]
struct PeerCounts {
    peer: PeerName,
    /// First window in which it may still count requests.
    open: UsageWindow,
    windows: BTreeMap<UsageWindow, CustomerCounts>,
}

/// Sum that a holder saved of some process starts in a window.
#[derive(Debug, Clone, Default, Serialize)]
struct SavedSum {
    counts: CustomerCounts,
    /// Process starts that it includes. No other sum of the window does.
    instances: BTreeSet<u64>,
}

impl SavedSum {
    /// Joins sums that overlap with this one, of which each is a part of the truth.
    fn join(mut self, overlapping: Vec<SavedSum>) -> SavedSum {
        let mut known = CustomerCounts::new();
        for sum in overlapping {
            add(&mut known, &sum.counts);
            self.instances.extend(sum.instances);
        }
        merge(&mut self.counts, &known);
        self
    }
}

/// Last change that a peer has confirmed.
#[derive(Debug, Clone, Copy, Serialize)]
struct Confirmed {
    instance: u64,
    sequence: u64,
    /// Digest of counts of ended process starts.
    ended: u64,
}

/// Counts of windows whose counts are not fixed.
#[derive(Debug, Clone, Serialize)]
pub(super) struct CountLedger {
    instance: u64,
    /// Number of the last change of this entry's counts.
    sequence: u64,
    open: UsageWindow,
    /// First window that is kept.
    first_kept: UsageWindow,
    own: BTreeMap<UsageWindow, HashMap<CustomerName, OwnCount>>,
    confirmed: HashMap<PeerName, Confirmed>,
    peers: HashMap<u64, PeerCounts>,
    saved: BTreeMap<UsageWindow, Vec<SavedSum>>,
    /// Number of changes of any counts, own or not.
    pub(super) changes: u64,
}

impl CountLedger {
    pub(super) fn new(instance: u64) -> CountLedger {
        CountLedger {
            instance,
            sequence: 0,
            open: 0,
            first_kept: 0,
            own: BTreeMap::new(),
            confirmed: HashMap::new(),
            peers: HashMap::new(),
            saved: BTreeMap::new(),
            changes: 0,
        }
    }

    /// Counts a request that began to run in the open window.
    pub(super) fn record(&mut self, customer: &CustomerName) {
        self.sequence += 1;
        self.changes += 1;
        let counts = self.own.entry(self.open).or_default();
        let count = counts.entry(customer.clone()).or_default();
        count.requests += 1;
        count.changed = self.sequence;
    }

    /// Closes the windows before this one. The clock may go back by less than a window without
    /// one being opened again.
    pub(super) fn open(&mut self, window: UsageWindow) {
        if window > self.open || window + 1 < self.open {
            self.open = window;
            self.sequence += 1;
        }
    }

    /// Drops the windows before this one.
    pub(super) fn keep_from(&mut self, first: UsageWindow) {
        if first <= self.first_kept {
            return;
        }
        self.first_kept = first;
        self.own = self.own.split_off(&first);
        self.saved = self.saved.split_off(&first);
        for counts in self.peers.values_mut() {
            counts.windows = counts.windows.split_off(&first);
        }
        self.peers.retain(|_, counts| !counts.windows.is_empty() || counts.open >= first);
    }

    /// Returns the counts that a process start of a peer has not confirmed, if any, along with
    /// those of `ended` process starts.
    pub(super) fn update_for(
        &self,
        peer: &PeerName,
        instance: u64,
        ended: Vec<EndedCounts>,
    ) -> Option<UsageUpdate> {
        let known = self.confirmed.get(peer).filter(|known| known.instance == instance);
        let confirmed = known.map_or(0, |known| known.sequence);
        let has_ended = digest(&ended) == known.map_or(0, |known| known.ended) || ended.is_empty();
        if confirmed >= self.sequence && has_ended {
            return None;
        }
        let ended = if has_ended { Vec::new() } else { ended };
        let mut changed: Vec<(u64, UsageWindow, &CustomerName, u64)> = Vec::new();
        for (window, counts) in &self.own {
            let newer = counts.iter().filter(|(_, count)| count.changed > confirmed);
            changed.extend(newer.map(|(name, c)| (c.changed, *window, name, c.requests)));
        }
        changed.sort_unstable_by_key(|(change, ..)| *change);
        let is_whole = changed.len() <= MAX_UPDATE_COUNTS;
        changed.truncate(MAX_UPDATE_COUNTS);
        let last = changed.last().map_or(self.sequence, |(change, ..)| *change);
        let mut windows: BTreeMap<UsageWindow, CustomerCounts> = BTreeMap::new();
        for (_, window, name, requests) in changed {
            windows.entry(window).or_default().insert(name.clone(), requests);
        }
        Some(UsageUpdate {
            sequence: if is_whole { self.sequence } else { last },
            open: is_whole.then_some(self.open),
            windows: list(windows),
            ended,
        })
    }

    /// Returns this entry's counts, to be left in the store for the holder.
    pub(super) fn own_update(&self) -> UsageUpdate {
        let windows = self.own.iter().map(|(window, counts)| {
            let counts = counts.iter().map(|(name, count)| (name.clone(), count.requests));
            (*window, counts.collect())
        });
        UsageUpdate {
            sequence: self.sequence,
            open: Some(self.open),
            windows: list(windows.collect()),
            ended: Vec::new(),
        }
    }

    /// Returns the number of the last change of this entry's counts.
    pub(super) fn sequence(&self) -> u64 {
        self.sequence
    }

    /// Returns whether this entry has counts of windows that are kept.
    pub(super) fn has_own(&self) -> bool {
        !self.own.is_empty()
    }

    /// Returns the last change that a process start of a peer has confirmed.
    pub(super) fn confirmed_by(&self, peer: &PeerName, instance: Option<u64>) -> u64 {
        let known = self.confirmed.get(peer).filter(|known| Some(known.instance) == instance);
        known.map_or(0, |known| known.sequence)
    }

    /// Returns whether a process start of an entry counts no more requests in a window.
    pub(super) fn has_entry_closed(&self, peer: &PeerName, window: UsageWindow) -> bool {
        self.peers.values().any(|counts| counts.peer == *peer && counts.open > window)
    }

    /// Returns the counts of process starts other than those that `is_live` names.
    pub(super) fn ended(&self, is_live: impl Fn(&PeerName, u64) -> bool) -> Vec<EndedCounts> {
        let ended = self.peers.iter().filter(|(instance, counts)| {
            !counts.windows.is_empty() && !is_live(&counts.peer, **instance)
        });
        let counts = ended.map(|(instance, counts)| EndedCounts {
            peer: counts.peer.clone(),
            instance: *instance,
            windows: list(counts.windows.clone()),
        });
        let mut ended: Vec<EndedCounts> = counts.collect();
        ended.sort_unstable_by_key(|counts| counts.instance);
        let mut room = MAX_UPDATE_COUNTS;
        ended.retain(|counts| {
            let size: usize = counts.windows.iter().map(|usage| usage.counts.len()).sum();
            let fits = size <= room;
            room -= if fits { size } else { 0 };
            fits
        });
        ended
    }

    /// Records what a process start of a peer has confirmed: this entry's counts up to a change,
    /// and counts of ended process starts.
    pub(super) fn confirm(&mut self, peer: &PeerName, instance: u64, receipt: &UsageReceipt) {
        let none = Confirmed { instance, sequence: 0, ended: 0 };
        let known = self.confirmed.entry(peer.clone()).or_insert(none);
        if known.instance != instance {
            *known = none;
        }
        known.sequence = known.sequence.max(receipt.sequence).min(self.sequence);
        if receipt.ended != 0 {
            known.ended = receipt.ended;
        }
    }

    /// Adds counts of a peer, and returns whether all were taken. Those that are known already
    /// change nothing, in whatever order; those of windows ahead are not taken.
    pub(super) fn apply(&mut self, peer: &PeerName, instance: u64, update: &UsageUpdate) -> bool {
        // What this entry left in the store.
        if instance == self.instance {
            return true;
        }
        let kept = self.first_kept..=self.latest();
        let known = self.peers.entry(instance).or_insert_with(|| PeerCounts {
            peer: peer.clone(),
            open: 0,
            windows: BTreeMap::new(),
        });
        known.open = known.open.max(update.open.unwrap_or(0));
        for usage in update.windows.iter().filter(|usage| kept.contains(&usage.window)) {
            merge(known.windows.entry(usage.window).or_default(), &usage.counts);
        }
        self.changes += 1;
        let mut is_whole = update.windows.iter().all(|usage| usage.window <= self.latest());
        for counts in &update.ended {
            let update = UsageUpdate {
                sequence: 0,
                open: None,
                windows: counts.windows.clone(),
                ended: Vec::new(),
            };
            is_whole &= self.apply(&counts.peer, counts.instance, &update);
        }
        is_whole
    }

    /// Adds counts that a holder saved in the store.
    pub(super) fn apply_saved(&mut self, saved: &SavedUsage) {
        let kept = self.first_kept..=self.latest();
        for saved in saved.windows.iter().filter(|saved| kept.contains(&saved.usage.window)) {
            let read = SavedSum {
                counts: saved.usage.counts.clone(),
                instances: saved.instances.iter().copied().collect(),
            };
            let known = self.saved.entry(saved.usage.window).or_default();
            let overlaps = |sum: &mut SavedSum| !sum.instances.is_disjoint(&read.instances);
            let overlapping: Vec<SavedSum> = known.extract_if(.., overlaps).collect();
            known.push(read.join(overlapping));
        }
    }

    /// Returns the window in which this entry counts requests.
    pub(super) fn open_window(&self) -> UsageWindow {
        self.open
    }

    /// Returns whether half of these process starts at least count no more requests in a window.
    pub(super) fn half_closed(
        &self,
        instances: impl Iterator<Item = u64>,
        window: UsageWindow,
    ) -> bool {
        let (closed, open): (Vec<_>, Vec<_>) =
            instances.partition(|instance| self.has_closed(*instance, window));
        closed.len() >= open.len()
    }

    /// Returns the last window that is taken from others.
    pub(super) fn latest(&self) -> UsageWindow {
        self.open.saturating_add(MAX_WINDOWS_AHEAD)
    }

    /// Returns whether this entry's open window is that of half of these process starts at least,
    /// or of one next to it. Where it is not, this VM's clock is wrong.
    pub(super) fn agrees_with(&self, instances: impl Iterator<Item = u64>) -> bool {
        let counts = instances.filter_map(|instance| self.peers.get(&instance));
        let open = counts.map(|counts| counts.open).filter(|open| *open > 0);
        let (near, far): (Vec<_>, Vec<_>) = open.partition(|open| open.abs_diff(self.open) <= 1);
        // Of two, nobody can tell which is right.
        near.len() + far.len() < 2 || near.len() >= far.len()
    }

    /// Returns whether a process start of a peer counts no more requests in a window.
    pub(super) fn has_closed(&self, instance: u64, window: UsageWindow) -> bool {
        self.peers.get(&instance).is_some_and(|counts| counts.open > window)
    }

    /// Returns the first window with counts.
    pub(super) fn first_window(&self) -> Option<UsageWindow> {
        let peers = self.peers.values().filter_map(|counts| counts.windows.keys().next());
        self.own
            .keys()
            .next()
            .into_iter()
            .chain(self.saved.keys().next())
            .chain(peers)
            .min()
            .copied()
    }

    /// Returns the requests in a window over all entries, as far as they are known.
    pub(super) fn total(&self, window: UsageWindow) -> WindowUsage {
        let mut counts = CustomerCounts::new();
        for sum in self.sums(window, |_| true) {
            add(&mut counts, &sum.counts);
        }
        WindowUsage { window, counts }
    }

    /// Returns what has to outlast a loss of power at all entries, or the end of those that hold
    /// all counts.
    ///
    /// Process starts whose counts no further entry has are summed apart from the others. So what
    /// the others count later does not stand for theirs.
    pub(super) fn to_save(&self, has_further_copy: impl Fn(u64) -> bool) -> SavedUsage {
        let first = self.first_window().unwrap_or(self.open).max(self.first_kept);
        let windows = (first..=self.open).flat_map(|window| {
            let sums = self.sums(window, &has_further_copy).into_iter();
            sums.map(move |sum| SavedWindow {
                usage: WindowUsage { window, counts: sum.counts },
                instances: sum.instances.into_iter().collect(),
            })
        });
        SavedUsage { windows: windows.filter(|saved| !saved.usage.counts.is_empty()).collect() }
    }

    /// Returns sums of a window that include each process start once: the saved ones, and those
    /// of process starts that none includes, in two parts.
    ///
    /// Of process starts that a saved sum includes, either the sum or the counts are newer; the
    /// larger of the two misses least.
    fn sums(&self, window: UsageWindow, is_first_part: impl Fn(u64) -> bool) -> Vec<SavedSum> {
        let mut sums = self.saved.get(&window).cloned().unwrap_or_default();
        let mut known = vec![CustomerCounts::new(); sums.len()];
        let mut parts = [SavedSum::default(), SavedSum::default()];
        for (instance, counts) in self.counts_in(window) {
            match sums.iter().position(|sum| sum.instances.contains(&instance)) {
                Some(position) => add(&mut known[position], &counts),
                None => {
                    let part = &mut parts[usize::from(!is_first_part(instance))];
                    part.instances.insert(instance);
                    add(&mut part.counts, &counts);
                }
            }
        }
        for (sum, known) in sums.iter_mut().zip(&known) {
            merge(&mut sum.counts, known);
        }
        sums.extend(parts);
        sums
    }

    /// Returns the counts of each process start in a window.
    fn counts_in(&self, window: UsageWindow) -> impl Iterator<Item = (u64, CustomerCounts)> {
        let own = self.own.get(&window).map(|counts| {
            let counts = counts.iter().map(|(name, count)| (name.clone(), count.requests));
            (self.instance, counts.collect())
        });
        let peers = self.peers.iter().filter_map(move |(instance, known)| {
            Some((*instance, known.windows.get(&window)?.clone()))
        });
        own.into_iter().chain(peers)
    }
}

/// Returns a digest of counts of ended process starts, 0 for none.
pub(super) fn digest(ended: &[EndedCounts]) -> u64 {
    if ended.is_empty() {
        return 0;
    }
    let mut hasher = SipHasher13::new();
    ended.hash(&mut hasher);
    hasher.finish()
}

/// Raises counts to those of the same requests that are higher.
fn merge(counts: &mut CustomerCounts, others: &CustomerCounts) {
    for (name, requests) in others {
        let count = counts.entry(name.clone()).or_default();
        *count = (*count).max(*requests);
    }
}

/// Adds counts of other requests.
fn add(counts: &mut CustomerCounts, others: &CustomerCounts) {
    for (name, requests) in others {
        let count = counts.entry(name.clone()).or_default();
        *count = count.saturating_add(*requests);
    }
}

fn list(windows: BTreeMap<UsageWindow, CustomerCounts>) -> Vec<WindowUsage> {
    windows.into_iter().map(|(window, counts)| WindowUsage { window, counts }).collect()
}
