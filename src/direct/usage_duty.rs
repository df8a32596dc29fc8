//! Duty of reporting customers' usage: counting at each entry, and reporting at one.
//!
//! The holder fixes a window's counts with a record in the store before it reports them, so that
//! a later holder repeats exactly these or nothing. See
//! [docs/design/duties.md](../../docs/design/duties.md).

use std::{
    collections::HashSet,
    hash::{Hash, Hasher},
    time::Duration,
};

use serde::Serialize;
use siphasher::sip::SipHasher13;
use smallvec::SmallVec;

use super::{
    CustomerName, DirectAction, DirectMachine, OrderFencingToken, PeerName, PeerTable, UsageAction,
    UsageContent, UsageEvent, UsageMessage, UsageReceipt, UsageSettings, UsageWindow,
    authority::{Duty, DutyAuthority},
    isolation::HeardPeers,
    unheard::{CountState, UnheardCounts, UnheardStep},
    usage_count::{CountLedger, digest},
    usage_history::UsageMoment,
    usage_report::UsageReporter,
};
use crate::ids::ClockTime;

/// Interval at which an entry sends counts that were not confirmed. A request that began shorter
/// before its entry's end is not reported.
const UPDATE_INTERVAL: Duration = Duration::from_millis(200);
/// Interval at which the holder saves counts in the store, for a loss of power at all entries.
const SAVE_INTERVAL: Duration = Duration::from_secs(1);
/// Limit on the updates that the holder receives per second. With many entries the interval
/// between them grows to stay within it.
const MAX_UPDATES_PER_SECOND: u32 = 1000;
/// Time for which a peer that is no longer heard counts among those that an entry is cut off from.
/// Where over half of the entries end for good, the others report after it.
const ISOLATION_TIME: Duration = Duration::from_secs(10);
/// Time for which a peer that is no longer heard may leave counts in the store. It is longer than
/// cuts last.
const PEER_MEMORY: Duration = Duration::from_secs(600);
/// Number of entries that hold all counts besides the one that reports.
const BACKUP_COUNT: usize = 2;
/// Interval at which the holder reads messages from the store while a report waits for them.
const READ_INTERVAL: Duration = Duration::from_millis(400);
/// Time for which the holder cannot read the store until it no longer tells of its claim, so that
/// another entry may claim.
const STORE_FAILURE_TIME: Duration = Duration::from_secs(2);

/// What of the usage duty is shown in metrics.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct UsageState {
    /// Whether this entry holds the duty.
    pub is_holder: bool,
    /// Time since this process's last report that the platform accepted, or since its start.
    pub report_age: Duration,
    /// Number of ended windows that this entry has counts of and knows no report of.
    pub unreported: u64,
}

/// Usage duty of one entry.
#[derive(Debug, Clone, Serialize)]
pub(super) struct UsageDuty {
    pub(super) settings: UsageSettings,
    pub(super) authority: DutyAuthority,
    /// Time since the start of 1970 at a time of the process's clock.
    clock: Option<(ClockTime, Duration)>,
    pub(super) ledger: CountLedger,
    heard: HeardPeers,
    /// Peers that may be cut off and count on.
    pub(super) known: HeardPeers,
    /// Counts that nobody confirms.
    unheard: UnheardCounts,
    /// Time before which the holder does not read messages from the store again.
    next_read: ClockTime,
    next_update: ClockTime,
    next_save: ClockTime,
    /// Changes of the ledger that were saved.
    saved_changes: u64,
    pub(super) reporter: UsageReporter,
    /// Whether the platform takes the calls of another duty too.
    pub(super) shares_calls: bool,
}

impl UsageDuty {
    pub(super) fn new(settings: UsageSettings, lease: Duration, instance: u64) -> UsageDuty {
        UsageDuty {
            settings,
            authority: DutyAuthority::new(Duty::Usage, lease),
            clock: None,
            ledger: CountLedger::new(instance),
            heard: HeardPeers::new(ISOLATION_TIME),
            known: HeardPeers::new(PEER_MEMORY),
            unheard: UnheardCounts::default(),
            next_read: ClockTime::ZERO,
            next_update: ClockTime::ZERO,
            next_save: ClockTime::ZERO,
            saved_changes: 0,
            reporter: UsageReporter::default(),
            shares_calls: false,
        }
    }

    /// Returns the shortest time between two calls to the platform.
    pub(super) fn call_interval(&self) -> Duration {
        self.settings.call_interval.saturating_mul(1 + u32::from(self.shares_calls))
    }

    /// Returns the claim that load reports tell of. One that cannot be checked is left out, so that
    /// an entry that can reach the store claims; without one, this claim holds on. The same holds
    /// where this VM's clock is wrong.
    pub(super) fn reported_claim(
        &self,
        now: ClockTime,
        peers: &PeerTable,
    ) -> Option<OrderFencingToken> {
        let fails = self.reporter.store_fails;
        let is_cut_off = fails.is_some_and(|since| now >= since + STORE_FAILURE_TIME);
        self.authority
            .claim()
            .filter(|_| !is_cut_off && self.has_right_clock(peers) && !self.is_isolated(now, peers))
    }

    pub(super) fn is_isolated(&self, now: ClockTime, peers: &PeerTable) -> bool {
        self.heard.is_isolated(now, peers)
    }

    fn has_right_clock(&self, peers: &PeerTable) -> bool {
        self.ledger.agrees_with(peers.names().filter_map(|name| peers.instance(name)))
    }

    /// Returns the time since the start of 1970, once the clock was read.
    pub(super) fn true_time(&self, now: ClockTime) -> Option<Duration> {
        self.clock.map(|(at, time)| time.saturating_add(now.saturating_sub(at)))
    }

    /// Returns a time by both clocks.
    pub(super) fn moment(&self, now: ClockTime) -> UsageMoment {
        (now, self.true_time(now).unwrap_or_default())
    }

    /// Counts a request that began to run.
    pub(super) fn record(&mut self, now: ClockTime, customer: &CustomerName) {
        if let Some(time) = self.true_time(now) {
            self.ledger.open(self.settings.window_at(time));
            self.ledger.record(customer);
        }
    }

    pub(super) fn state(&self, now: ClockTime) -> UsageState {
        let open = self.true_time(now).map(|time| self.settings.window_at(time));
        let first = self.next_window();
        let unreported = first.zip(open).map_or(0, |(first, open)| open.saturating_sub(first));
        UsageState {
            is_holder: self.authority.claim().is_some(),
            report_age: now.saturating_sub(self.reporter.accepted.unwrap_or(ClockTime::ZERO)),
            unreported,
        }
    }

    /// Sends changed counts, and saves and reports them if this entry holds the duty.
    fn tick(&mut self, now: ClockTime, own: &EntryStart, peers: &PeerTable, out: &mut Actions) {
        let Some(time) = self.true_time(now) else { return };
        self.ledger.open(self.settings.window_at(time));
        let has_right_clock = self.has_right_clock(peers);
        if has_right_clock {
            self.drop_old(time);
        }
        let is_update_due = now >= self.next_update;
        if is_update_due {
            let peer_count = u32::try_from(peers.len()).unwrap_or(u32::MAX);
            let shortest =
                Duration::from_secs(1).saturating_mul(peer_count) / MAX_UPDATES_PER_SECOND;
            self.next_update = now + UPDATE_INTERVAL.max(shortest);
            self.heard.note(now, peers);
            self.known.note(now, peers);
            self.send_updates(own, peers, out);
        }
        // A report waits for what is left at a window's end.
        if is_update_due || self.unheard.has_left() {
            self.leave_counts(now, own, peers, out);
        }
        if has_right_clock {
            self.save(now, own, peers, out);
            self.read_messages(now, time, peers, out);
            self.report(now, time, peers, out);
        }
    }

    fn drop_old(&mut self, time: Duration) {
        let oldest = self.first_in_time(time);
        let unfixed = self.reporter.last_fixed.map_or(0, |fixed| fixed + 1);
        self.ledger.keep_from(oldest.max(unfixed));
    }

    /// Returns the first window whose report is not too late.
    pub(super) fn first_in_time(&self, time: Duration) -> UsageWindow {
        self.settings.window_at(time.saturating_sub(self.settings.lateness))
    }

    /// Sends counts to the holder and to those that would claim after it.
    pub(super) fn send_updates(&self, own: &EntryStart, peers: &PeerTable, out: &mut Actions) {
        for peer in self.collectors(own, peers) {
            let instance = peers.instance(&peer).unwrap_or_default();
            let is_holder = peers.holder(Duty::Usage) == Some(&peer);
            let is_live = |name: &PeerName, start| peers.instance(name) == Some(start);
            let ended = if is_holder { self.ledger.ended(is_live) } else { Vec::new() };
            if let Some(update) = self.ledger.update_for(&peer, instance, ended) {
                send(own, &peer, UsageContent::Counts(update), out);
            }
        }
    }

    pub(super) fn collectors(
        &self,
        own: &EntryStart,
        peers: &PeerTable,
    ) -> SmallVec<[PeerName; 4]> {
        let holder = peers.holder(Duty::Usage);
        let mut names: Vec<&PeerName> =
            peers.names().filter(|name| **name != own.name && Some(*name) != holder).collect();
        names.sort_unstable();
        holder.into_iter().chain(names.into_iter().take(BACKUP_COUNT)).cloned().collect()
    }

    fn message(
        &mut self,
        now: ClockTime,
        own: &EntryStart,
        peers: &PeerTable,
        message: &UsageMessage,
        out: &mut Actions,
    ) {
        match &message.content {
            UsageContent::Counts(update) => {
                if message.peer != own.name {
                    self.note_sender(now, peers, &message.peer, update.open);
                }
                // What was not taken is sent again.
                let is_whole = self.ledger.apply(&message.peer, message.instance, update);
                if self.clock.is_none() || !is_whole {
                    return;
                }
                let receipt = UsageReceipt {
                    counter: message.instance,
                    sequence: update.sequence,
                    ended: digest(&update.ended),
                    fixed: self.reporter.last_fixed,
                };
                send(own, &message.peer, UsageContent::Received(receipt), out);
            }
            UsageContent::Received(receipt) => {
                if receipt.counter == own.instance {
                    self.ledger.confirm(&message.peer, message.instance, receipt);
                }
                // One from the future comes from an entry whose clock is wrong.
                let latest = self.ledger.latest();
                self.reporter.note_fixed(receipt.fixed.filter(|window| *window <= latest));
            }
        }
    }

    /// Notes an entry whose counts came, though it is not heard: it has left them in the store, and
    /// may do so again. What ended entries have left is older.
    fn note_sender(
        &mut self,
        now: ClockTime,
        peers: &PeerTable,
        peer: &PeerName,
        open: Option<UsageWindow>,
    ) {
        let Some(time) = self.true_time(now) else { return };
        if peers.instance(peer).is_none() && open >= Some(self.first_in_time(time)) {
            self.known.note_peer(now, peer);
        }
    }

    /// Saves changed counts. What an earlier holder saved is read before.
    fn save(&mut self, now: ClockTime, own: &EntryStart, peers: &PeerTable, out: &mut Actions) {
        let is_due = now >= self.next_save && self.saved_changes != self.ledger.changes;
        let is_holder = self.authority.claim().is_some() && self.reporter.has_read;
        // Another entry may hold the duty where this one is cut off, and have saved more.
        if is_due && is_holder && !self.is_isolated(now, peers) {
            self.next_save = now + SAVE_INTERVAL;
            self.saved_changes = self.ledger.changes;
            let collectors = self.collectors(own, peers);
            let counters = peers.names().filter(|name| !collectors.contains(name));
            let instances: HashSet<u64> =
                counters.filter_map(|name| peers.instance(name)).collect();
            let saved = self.ledger.to_save(|instance| instances.contains(&instance));
            out.push(DirectAction::Usage(UsageAction::Save(saved)));
        }
    }

    /// Leaves this entry's counts in the store while no peer confirms them.
    fn leave_counts(
        &mut self,
        now: ClockTime,
        own: &EntryStart,
        peers: &PeerTable,
        out: &mut Actions,
    ) {
        let confirmed = self
            .collectors(own, peers)
            .into_iter()
            .map(|peer| self.ledger.confirmed_by(&peer, peers.instance(&peer)))
            .max();
        let is_holder = self.reported_claim(now, peers).is_some();
        // A holder that hears no peer, but has, may be cut off from another holder.
        let is_only_entry = is_holder && self.known.count(now) == 0;
        let is_confirmed =
            is_only_entry || confirmed.is_some_and(|change| change >= self.unheard.awaited());
        let state = CountState {
            sequence: self.ledger.sequence(),
            is_confirmed: is_confirmed || !self.ledger.has_own(),
            is_reporting: is_holder && !peers.is_empty(),
            window: self.ledger.open_window(),
            reported: self.reporter.settled,
            entries: 1 + self.known.count(now),
            turn: turn(own.instance),
        };
        match self.unheard.next_step(now, state) {
            Some(UnheardStep::Leave) => {
                let EntryStart { name, instance } = own.clone();
                let content = UsageContent::Counts(self.ledger.own_update());
                let message = UsageMessage { peer: name, instance, content };
                out.push(DirectAction::Usage(UsageAction::LeaveMessage(message)));
            }
            Some(UnheardStep::Remove) => {
                out.push(DirectAction::Usage(UsageAction::RemoveMessage));
            }
            None => {}
        }
    }

    /// Reads the counts that silent entries may have left in the store, before a window whose
    /// report waits for them.
    fn read_messages(
        &mut self,
        now: ClockTime,
        time: Duration,
        peers: &PeerTable,
        out: &mut Actions,
    ) {
        let is_holder = self.authority.fence(now).is_some();
        let is_due = is_holder && now >= self.next_read && !self.is_isolated(now, peers);
        if !is_due || self.reporter.fixed.is_some() {
            return;
        }
        let window = self.next_window().filter(|window| time >= self.settings.end(*window));
        if window.is_some_and(|window| self.silent_since(now, window, peers).is_some()) {
            self.next_read = now + READ_INTERVAL;
            out.push(DirectAction::Usage(UsageAction::ReadMessages));
        }
    }

    /// Returns when the last of the silent entries that have not closed a window was live, if
    /// there are any that may still count.
    pub(super) fn silent_since(
        &self,
        now: ClockTime,
        window: UsageWindow,
        peers: &PeerTable,
    ) -> Option<ClockTime> {
        let silent = self.known.silent(now, peers);
        let open = silent.filter(|(name, _)| !self.ledger.has_entry_closed(name, window));
        open.map(|(_, heard)| heard).max()
    }
}

pub(super) type Actions = Vec<DirectAction>;

/// Process start of this entry.
#[derive(Debug, Clone)]
pub(super) struct EntryStart {
    pub(super) name: PeerName,
    pub(super) instance: u64,
}

/// Returns a process start's place among all, from 0 to 1.
fn turn(instance: u64) -> f64 {
    let mut hasher = SipHasher13::new();
    instance.hash(&mut hasher);
    hasher.finish() as f64 / u64::MAX as f64
}

pub(super) fn send(own: &EntryStart, peer: &PeerName, content: UsageContent, out: &mut Actions) {
    let EntryStart { name, instance } = own.clone();
    let message = UsageMessage { peer: name, instance, content };
    out.push(DirectAction::Usage(UsageAction::Send { peer: peer.clone(), message }));
}

impl DirectMachine {
    fn entry_start(&self) -> EntryStart {
        EntryStart { name: self.settings.name.clone(), instance: self.settings.instance }
    }

    /// Returns the usage duty if the configuration in force has customers.
    pub(super) fn active_usage(&mut self) -> Option<&mut UsageDuty> {
        let has_customers = self.routes.as_ref().is_some_and(|routes| routes.customers.is_some());
        self.usage.as_mut().filter(|_| has_customers)
    }

    /// Returns the state of the usage duty, if this entry has one.
    pub fn usage_state(&self, now: ClockTime) -> Option<UsageState> {
        self.usage.as_ref().map(|usage| usage.state(now))
    }

    pub(super) fn usage_event(&mut self, now: ClockTime, event: UsageEvent, out: &mut Actions) {
        if self.usage.is_none() {
            return;
        }
        let own = self.entry_start();
        let Some(usage) = &mut self.usage else { return };
        match event {
            UsageEvent::Clock(time) => {
                usage.clock = Some((now, time));
                usage.ledger.open(usage.settings.window_at(time));
            }
            UsageEvent::Message(message) => {
                usage.message(now, &own, &self.peers, &message, out);
            }
            UsageEvent::ClaimEnded(outcome) => usage.authority.claim_ended(now, outcome),
            UsageEvent::RecordsRead { attempt, records } => {
                if usage.reporter.end(attempt) {
                    usage.records_read(now, &own, &self.peers, records, out);
                }
            }
            UsageEvent::StoreSeen(generation) => usage.generation_seen(now, generation),
            UsageEvent::StartWritten { attempt, confirmed } => {
                if usage.reporter.end(attempt) {
                    usage.start_written(now, confirmed);
                }
            }
            UsageEvent::Fixed { attempt, confirmed } => {
                if usage.reporter.end(attempt) {
                    usage.counts_fixed(now, &own, &self.peers, confirmed, out);
                }
            }
            UsageEvent::Posted { attempt, outcome } => {
                if usage.reporter.end(attempt) {
                    usage.post_ended(now, outcome);
                }
            }
        }
    }

    pub(super) fn tick_usage(&mut self, now: ClockTime, out: &mut Actions) {
        if self.active_usage().is_none() {
            return;
        }
        let own = self.entry_start();
        let claims = self.peers.claims(Duty::Usage, &own.name);
        let is_stopping = self.stop.is_some();
        let Some(usage) = &mut self.usage else { return };
        let is_isolated = usage.is_isolated(now, &self.peers);
        if is_isolated {
            usage.authority.hears_nothing(now);
        }
        if !is_stopping && !is_isolated && usage.authority.should_claim(now, claims) {
            out.push(DirectAction::Usage(UsageAction::Claim));
        }
        usage.tick(now, &own, &self.peers, out);
    }

    /// Sends the counts that no other entry has yet, as the process exits.
    pub(super) fn send_last_counts(&self, out: &mut Actions) {
        if let Some(usage) = &self.usage {
            usage.send_updates(&self.entry_start(), &self.peers, out);
        }
    }
}
