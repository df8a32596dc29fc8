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

/// Sum of a window that a holder saved.
#[derive(Debug, Clone, Default, Serialize)]
struct SavedCounts {
    counts: CustomerCounts,
    /// Process starts that it includes.
    instances: BTreeSet<u64>,
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
    saved: BTreeMap<UsageWindow, SavedCounts>,
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
        let own = self.instance;
        for counts in update.ended.iter().filter(|counts| counts.instance != own) {
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
            let known = self.saved.entry(saved.usage.window).or_default();
            merge(&mut known.counts, &saved.usage.counts);
            known.instances.extend(&saved.instances);
        }
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
    ///
    /// Of process starts that a holder's saved sums include, either the sum or the counts are
    /// newer; the larger of the two misses least.
    pub(super) fn total(&self, window: UsageWindow) -> WindowUsage {
        let saved = self.saved.get(&window);
        let mut included = CustomerCounts::new();
        let mut others = CustomerCounts::new();
        let mut add = |instance: u64, name: &CustomerName, requests: u64| {
            let is_included = saved.is_some_and(|saved| saved.instances.contains(&instance));
            let sum = if is_included { &mut included } else { &mut others };
            let sum = sum.entry(name.clone()).or_default();
            *sum = sum.saturating_add(requests);
        };
        for (name, count) in self.own.get(&window).into_iter().flatten() {
            add(self.instance, name, count.requests);
        }
        for (instance, counts) in &self.peers {
            for (name, requests) in counts.windows.get(&window).into_iter().flatten() {
                add(*instance, name, *requests);
            }
        }
        let mut counts = saved.map(|saved| saved.counts.clone()).unwrap_or_default();
        merge(&mut counts, &included);
        for (name, requests) in others {
            let sum = counts.entry(name).or_default();
            *sum = sum.saturating_add(requests);
        }
        WindowUsage { window, counts }
    }

    /// Returns what has to outlast a loss of power at all entries.
    pub(super) fn to_save(&self) -> SavedUsage {
        let first = self.first_window().unwrap_or(self.open).max(self.first_kept);
        let windows = (first..=self.open).map(|window| self.window_to_save(window));
        SavedUsage { windows: windows.filter(|saved| !saved.usage.counts.is_empty()).collect() }
    }

    fn window_to_save(&self, window: UsageWindow) -> SavedWindow {
        let saved = self.saved.get(&window).into_iter().flat_map(|saved| saved.instances.iter());
        let peers = self.peers.iter().filter(|(_, counts)| counts.windows.contains_key(&window));
        let own = self.own.contains_key(&window).then_some(self.instance);
        let instances: BTreeSet<u64> =
            saved.chain(peers.map(|(instance, _)| instance)).copied().chain(own).collect();
        SavedWindow { usage: self.total(window), instances: instances.into_iter().collect() }
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

fn list(windows: BTreeMap<UsageWindow, CustomerCounts>) -> Vec<WindowUsage> {
    windows.into_iter().map(|(window, counts)| WindowUsage { window, counts }).collect()
}
