//! Reports of customers' usage: the steps from the end of a window to the platform's answer.
//!
//! See [docs/design/duties.md](../../docs/design/duties.md).

use std::time::Duration;

use super::{
    ClaimOutcome, DirectAction, FixedRecord, MissCause, OrderFencingToken, PeerName, PeerTable,
    PostOutcome, ReadNeed, UsageAction, UsageContent, UsageReceipt, UsageRecords, UsageWindow,
    WindowUsage,
    unheard::round_time,
    usage_duty::{Actions, EntryStart, UsageDuty, send},
    usage_report::FixedUsage,
};
use crate::ids::ClockTime;

/// Time for which a report waits for counts that a silent entry may leave in the store: its own
/// delay until it does, and twice the interval of the reads.
const SILENCE_WAIT: Duration = Duration::from_millis(1000);
/// Share of the lateness for which a report waits for entries that have not closed its window.
const COMPLETION_WAIT: f64 = 1.0 / 3.0;

impl UsageDuty {
    /// Begins the next step of a report, if this entry may make one.
    pub(super) fn report(
        &mut self,
        now: ClockTime,
        time: Duration,
        peers: &PeerTable,
        out: &mut Actions,
    ) {
        self.reporter.follow_claim(self.authority.claim());
        if self.reporter.fence.is_none() || self.reporter.is_busy || now < self.reporter.next {
            return;
        }
        if !self.reporter.has_read || self.is_check_due(now) {
            return self.read_records(now, peers, out);
        }
        let Some(fence) = self.authority.fence(now) else { return };
        self.settle_late(time, out);
        match &self.reporter.fixed {
            Some(fixed) if fixed.confirmed => {
                let usage = fixed.usage.clone();
                self.post(now, fence, usage, out);
            }
            Some(_) => self.read_records(now, peers, out),
            None if self.complete_window(now, time, peers).is_some() => {
                self.read_records(now, peers, out);
            }
            None => {}
        }
    }

    fn read_records(&mut self, now: ClockTime, peers: &PeerTable, out: &mut Actions) {
        let silent = self.next_window().and_then(|next| self.silent_since(now, next, peers));
        let may_act = self.authority.fence(now).is_some();
        let need = ReadNeed {
            saved: !self.reporter.has_read_saved,
            messages: may_act && silent.is_some(),
        };
        let moment = self.moment(now);
        self.reporter.begin(moment, out, |attempt| UsageAction::Read { attempt, need });
    }

    fn post(
        &mut self,
        now: ClockTime,
        fence: OrderFencingToken,
        usage: WindowUsage,
        out: &mut Actions,
    ) {
        if let Some(fixed) = &mut self.reporter.fixed {
            fixed.posted = true;
        }
        let moment = self.moment(now);
        self.reporter.begin(moment, out, |attempt| UsageAction::Post { attempt, fence, usage });
    }

    /// Gives up windows whose report would be too late.
    fn settle_late(&mut self, time: Duration, out: &mut Actions) {
        let Some(first) = self.next_window() else { return };
        let in_time = self.first_in_time(time);
        if first >= in_time {
            return;
        }
        let last = in_time - 1;
        // An earlier holder reported it, or said that it did not.
        let is_known = self.reporter.fixed.as_ref().is_some_and(|fixed| fixed.adopted);
        let first = first + u64::from(is_known);
        self.reporter.settle(last);
        if first > last {
            return;
        }
        let cause = MissCause::TooLate;
        out.push(DirectAction::Usage(UsageAction::Missed { first, last, cause }));
    }

    /// Returns the oldest window that may still be reported.
    pub(super) fn next_window(&self) -> Option<UsageWindow> {
        if let Some(fixed) = &self.reporter.fixed {
            return Some(fixed.usage.window);
        }
        // Counts that another entry fixed, but that were not read, are not reported.
        match self.reporter.settled.max(self.reporter.last_fixed) {
            Some(last) => Some(last + 1),
            None => self.ledger.first_window(),
        }
    }

    /// Returns the next window if all live entries have closed it, or have had the time to.
    fn complete_window(
        &self,
        now: ClockTime,
        time: Duration,
        peers: &PeerTable,
    ) -> Option<UsageWindow> {
        let window = self.next_window()?;
        let end = self.settings.end(window);
        let instances = || peers.names().filter_map(|name| peers.instance(name));
        let wait = SILENCE_WAIT + round_time(1 + self.known.count(now));
        let is_awaited = self
            .silent_since(now, window, peers)
            .is_some_and(|heard| time < end.saturating_add(wait) || now < heard + wait);
        let is_complete = time
            >= end.saturating_add(self.settings.lateness.mul_f64(COMPLETION_WAIT))
            || (!is_awaited
                && instances().all(|instance| self.ledger.has_closed(instance, window)));
        // A clock that is ahead ends windows early.
        let is_over = time >= end && self.ledger.half_closed(instances(), window);
        (is_over && is_complete && !self.is_isolated(now, peers)).then_some(window)
    }

    pub(super) fn records_read(
        &mut self,
        now: ClockTime,
        own: &EntryStart,
        peers: &PeerTable,
        records: Option<UsageRecords>,
        out: &mut Actions,
    ) {
        let Some(records) = records else { return self.reporter.store_failed(now) };
        self.reporter.store_fails = None;
        let end = records.end;
        let is_own = |(holder, fence): &(PeerName, OrderFencingToken)| {
            *holder == own.name && Some(*fence) == self.authority.claim()
        };
        if !records.claim.as_ref().is_some_and(is_own) {
            return self.authority.claim_ended(now, ClaimOutcome::Superseded);
        }
        self.reporter.history.claim_checked(self.reporter.asked);
        let may_act = self.authority.fence(now).is_some();
        if let Some(saved) = &records.saved {
            self.ledger.apply_saved(saved);
            self.reporter.has_read_saved = may_act;
        }
        if !self.knows_reports(now, &records, out) {
            return;
        }
        let latest = self.ledger.latest();
        let fixed = records.fixed.filter(|fixed| {
            // One of an earlier generation is that of a window before the first.
            fixed.generation == end.0 && fixed.window <= latest
        });
        self.reporter.adopt(fixed.map(FixedRecord::into_usage));
        if !std::mem::replace(&mut self.reporter.has_read, true) {
            out.push(DirectAction::Usage(UsageAction::ReadMessages));
        }
        let time = self.true_time(now).filter(|_| may_act);
        let Some(time) = time else { return };
        self.settle_late(time, out);
        if self.reporter.fixed.is_none() {
            let Some(window) = self.complete_window(now, time, peers) else { return };
            let usage = self.ledger.total(window);
            self.reporter.fixed =
                Some(FixedUsage { usage, confirmed: false, adopted: false, posted: false });
        }
        let unconfirmed = self.reporter.fixed.as_ref().filter(|fixed| !fixed.confirmed);
        if let Some(usage) = unconfirmed.map(|fixed| fixed.usage.clone()) {
            let moment = self.moment(now);
            self.reporter.begin(moment, out, |attempt| UsageAction::Fix { attempt, usage, end });
        }
    }

    pub(super) fn counts_fixed(
        &mut self,
        now: ClockTime,
        own: &EntryStart,
        peers: &PeerTable,
        confirmed: bool,
        out: &mut Actions,
    ) {
        let Some(fixed) = self.reporter.fixed.as_mut().filter(|_| confirmed) else {
            return self.reporter.failed(now, self.call_interval());
        };
        fixed.confirmed = true;
        let usage = fixed.usage.clone();
        self.reporter.note_fixed(Some(usage.window));
        // They know of it also if the store is restored from a copy without the record.
        for peer in self.collectors(own, peers) {
            let receipt =
                UsageReceipt { counter: 0, sequence: 0, ended: 0, fixed: Some(usage.window) };
            send(own, &peer, UsageContent::Received(receipt), out);
        }
        if let Some(fence) = self.authority.fence(now) {
            self.post(now, fence, usage, out);
        }
    }

    pub(super) fn post_ended(&mut self, now: ClockTime, outcome: PostOutcome) {
        let window = self.reporter.fixed.as_ref().map(|fixed| fixed.usage.window);
        if outcome.has_checked_claim() {
            self.reporter.history.claim_checked(self.reporter.asked);
        }
        match outcome {
            PostOutcome::Accepted => {
                if let Some(window) = window {
                    self.reporter.settle(window);
                }
                self.reporter.accepted = Some(now);
                self.reporter.failures = 0;
                self.reporter.store_fails = None;
                self.reporter.next = now + self.call_interval();
            }
            PostOutcome::Superseded => self.authority.claim_ended(now, ClaimOutcome::Superseded),
            PostOutcome::NoStore => self.reporter.store_failed(now),
            PostOutcome::NotFixed => {
                if let Some(fixed) = &mut self.reporter.fixed {
                    fixed.confirmed = false;
                }
                self.reporter.failed(now, self.call_interval());
            }
            PostOutcome::Refused | PostOutcome::NoAnswer | PostOutcome::CheckExpired => {
                self.reporter.failed(now, self.call_interval());
            }
        }
    }
}
