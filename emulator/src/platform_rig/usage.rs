//! Usage duty of the rig's entries: its records in the store, and the platform that gets the
//! reports.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use sapphirewell::{
    direct::{
        ClaimOutcome, CustomerCounts, CustomerName, DirectEvent, FixedRecord, OrderFencingToken,
        PeerName, PostOutcome, RecordsEnd, ReportStart, SavedUsage, UsageAction, UsageContent,
        UsageEvent, UsageMessage, UsageRecords, UsageSettings, UsageWindow, WindowUsage,
        fencing_token,
    },
    ids::ClockTime,
};

use super::{
    DriverDefect, EntryId, NETWORK_DELAY, PlatformRig, PlatformRule, PlatformSite, PlatformStep,
    RigEvent,
    referee::{LEASE, STABLE_WINDOW},
    store::READ_TIMEOUT,
};

/// Time of day at the start of the simulation, in the middle of a window.
const START_TIME: Duration = Duration::from_millis(1_700_000_002_500);
/// Age at which the driver lets a check of the claim lapse.
const CHECK_LIFETIME: Duration = Duration::from_millis(500);
/// Time after which a report without an answer fails.
const REPORT_TIMEOUT: Duration = Duration::from_millis(1200);
/// Share of the requests of a window that a report may lack.
const COUNT_TOLERANCE: f64 = 0.05;

/// Records of the usage duty in the store.
#[derive(Debug, Clone, Default)]
pub(crate) struct UsageStore {
    /// Number of claims and fixed counts that were written.
    end: u64,
    claim: Option<(EntryId, u64)>,
    fixed: Option<FixedRecord>,
    start: Option<ReportStart>,
    /// Whether the fixed counts were written after `start`.
    is_fixed_after_start: bool,
    saved: Option<SavedUsage>,
    /// Counts that nobody confirmed, by the entries that left them.
    messages: BTreeMap<PeerName, UsageMessage>,
}

/// Report on its way to the platform.
#[derive(Debug, Clone)]
pub(crate) struct UsageReport {
    pub(crate) entry: EntryId,
    pub(crate) process: u64,
    attempt: u64,
    fence: OrderFencingToken,
    usage: WindowUsage,
    /// When the claim was checked.
    checked: ClockTime,
}

/// Platform that gets reports of usage, and the requests that began to run.
#[derive(Debug, Default)]
pub(crate) struct UsagePlatform {
    pub(super) down_until: ClockTime,
    pub(super) loses_answers_until: ClockTime,
    /// Reports that reached the platform, with their times.
    reports: Vec<(ClockTime, UsageReport)>,
    /// Times at which windows were first accepted.
    accepted: BTreeMap<UsageWindow, ClockTime>,
    /// Requests that began to run, by window and customer.
    begun: BTreeMap<UsageWindow, CustomerCounts>,
    /// Attempts that are among them.
    begun_attempts: BTreeSet<usize>,
}

/// Returns when the rig's entries report usage.
pub(super) fn usage_settings() -> UsageSettings {
    UsageSettings {
        window: Duration::from_secs(5),
        lateness: Duration::from_secs(10),
        call_interval: Duration::from_millis(100),
    }
}

/// Returns the time in the simulation at which a window ends.
fn window_end(window: UsageWindow) -> ClockTime {
    usage_settings().end(window).saturating_sub(START_TIME)
}

impl PlatformRig {
    /// Tells an entry the time of day.
    pub(super) fn update_clock(&mut self, entry: EntryId) {
        let time = START_TIME + self.now;
        self.step_machine(entry, DirectEvent::Usage(UsageEvent::Clock(time)));
    }

    /// Counts an attempt for its customer as it begins to run.
    pub(super) fn record_begun(&mut self, attempt: usize, customer: Option<&str>) {
        let Some(customer) = customer else { return };
        if self.usage.begun_attempts.insert(attempt) {
            let window = usage_settings().window_at(START_TIME + self.now);
            let counts = self.usage.begun.entry(window).or_default();
            *counts.entry(customer.into()).or_default() += 1;
        }
    }

    /// Carries out an action of the usage duty as the driver does.
    pub(super) fn perform_usage(&mut self, entry: EntryId, action: UsageAction) {
        match action {
            UsageAction::Send { peer, message } => self.send_usage(&peer, message),
            UsageAction::Claim => self.claim_usage(entry),
            UsageAction::Save(saved) => {
                if !self.store_fails(entry) {
                    self.store.usage.saved = Some(saved);
                }
                self.record_duty_step(PlatformStep::UsageSaved, entry);
            }
            UsageAction::Read { attempt, need } => {
                if need.messages {
                    self.read_messages(entry);
                }
                let records = (!self.store_fails(entry)).then(|| {
                    let records = self.usage_records(entry);
                    UsageRecords { saved: records.saved.filter(|_| need.saved), ..records }
                });
                self.answer_usage(entry, UsageEvent::RecordsRead { attempt, records });
                self.record_duty_step(PlatformStep::UsageRead, entry);
            }
            UsageAction::WriteStart { attempt, start, end } => {
                let confirmed = !self.store_fails(entry) && end == self.usage_end(entry);
                if confirmed {
                    self.store.usage.end += 1;
                    self.store.usage.start = Some(start);
                    self.store.usage.is_fixed_after_start = false;
                }
                self.answer_usage(entry, UsageEvent::StartWritten { attempt, confirmed });
                self.record_duty_step(PlatformStep::UsageStarted, entry);
            }
            UsageAction::Fix { attempt, usage, end } => {
                let confirmed = !self.store_fails(entry) && end == self.usage_end(entry);
                if confirmed {
                    self.store.usage.end += 1;
                    self.store.usage.fixed = Some(FixedRecord::new(usage, end.0));
                    self.store.usage.is_fixed_after_start = true;
                }
                self.answer_usage(entry, UsageEvent::Fixed { attempt, confirmed });
                self.record_duty_step(PlatformStep::UsageFixed, entry);
            }
            UsageAction::Post { attempt, fence, usage } => {
                self.check_claim(entry, attempt, fence, usage);
            }
            UsageAction::LeaveMessage(message) => self.leave_message(entry, Some(message)),
            UsageAction::RemoveMessage => self.leave_message(entry, None),
            UsageAction::ReadMessages => self.read_messages(entry),
            UsageAction::Missed { .. } => {}
        }
    }

    fn read_messages(&mut self, entry: EntryId) {
        if self.store_fails(entry) {
            return;
        }
        let messages: Vec<_> = self.store.usage.messages.values().cloned().collect();
        for message in messages {
            self.answer_usage(entry, UsageEvent::Message(message));
        }
    }

    /// Replaces what an entry has left in the store.
    fn leave_message(&mut self, entry: EntryId, message: Option<UsageMessage>) {
        if self.store_fails(entry) {
            return;
        }
        let name = self.entries[entry].machine.name().clone();
        match message {
            Some(message) => self.store.usage.messages.insert(name, message),
            None => self.store.usage.messages.remove(&name),
        };
    }

    fn record_duty_step(&mut self, step: PlatformStep, entry: EntryId) {
        self.record_step(step, PlatformSite { entry, target: 0 });
    }

    /// Passes the store's answer on to an entry, or the lack of one.
    fn answer_usage(&mut self, entry: EntryId, event: UsageEvent) {
        let time = if self.store_fails(entry) { READ_TIMEOUT } else { self.response_time() };
        self.schedule_after(time, self.machine_event(entry, DirectEvent::Usage(event)));
    }

    /// Sends a message about usage to a peer, unless reports are being lost.
    fn send_usage(&mut self, peer: &PeerName, mut message: UsageMessage) {
        let is_omitted = self.settings.defect == Some(DriverDefect::UsageMessagesOmitted);
        if is_omitted || self.reports_lost_until > self.now {
            return;
        }
        let receiver = self.entries.iter().position(|sim| sim.machine.name() == peer);
        let Some(receiver) = receiver else { return };
        let lacks_counts = self.settings.defect == Some(DriverDefect::UsageCountsOmitted);
        if let UsageContent::Counts(update) = &mut message.content
            && lacks_counts
        {
            update.windows.clear();
        }
        let event = DirectEvent::Usage(UsageEvent::Message(message));
        self.schedule_after(NETWORK_DELAY, self.machine_event(receiver, event));
    }

    fn claim_usage(&mut self, entry: EntryId) {
        let mut outcome = ClaimOutcome::Failed;
        if !self.store_fails(entry) {
            self.observe_generation(entry);
            let usage = &mut self.store.usage;
            usage.end += 1;
            usage.claim = Some((entry, usage.end));
            let fence = fencing_token(Some(self.store.generation), usage.end);
            outcome = fence.map_or(ClaimOutcome::Failed, ClaimOutcome::Taken);
        }
        self.answer_usage(entry, UsageEvent::ClaimEnded(outcome));
        self.record_duty_step(PlatformStep::UsageClaimed, entry);
    }

    fn usage_end(&mut self, entry: EntryId) -> RecordsEnd {
        self.observe_generation(entry);
        (Some(self.store.generation), self.store.usage.end)
    }

    fn usage_records(&mut self, entry: EntryId) -> UsageRecords {
        let end = self.usage_end(entry);
        let usage = &self.store.usage;
        let name = |holder: EntryId| self.entries[holder].machine.name().clone();
        let claim = usage.claim.and_then(|(holder, number)| {
            Some((name(holder), fencing_token(Some(self.store.generation), number)?))
        });
        UsageRecords {
            claim,
            fixed: usage.fixed.clone(),
            start: usage.start,
            is_fixed_after_start: usage.is_fixed_after_start,
            saved: usage.saved.clone(),
            end,
        }
    }

    /// Checks the claim and the fixed counts, and sends the report only if both are the entry's.
    fn check_claim(
        &mut self,
        entry: EntryId,
        attempt: u64,
        fence: OrderFencingToken,
        usage: WindowUsage,
    ) {
        let is_unchecked = self.settings.defect == Some(DriverDefect::UsageClaimUnchecked);
        let failure = if is_unchecked {
            None
        } else if self.store_fails(entry) {
            Some(PostOutcome::NoStore)
        } else {
            let records = self.usage_records(entry);
            let own = (self.entries[entry].machine.name().clone(), fence);
            match () {
                () if records.claim != Some(own) => Some(PostOutcome::Superseded),
                () if records.fixed != Some(FixedRecord::new(usage.clone(), records.end.0)) => {
                    Some(PostOutcome::NotFixed)
                }
                () => None,
            }
        };
        if let Some(outcome) = failure {
            self.answer_usage(entry, UsageEvent::Posted { attempt, outcome });
        } else {
            let (process, checked) = (self.entries[entry].process, self.now);
            let report = UsageReport { entry, process, attempt, fence, usage, checked };
            let sent = RigEvent::UsageReport { report: Box::new(report) };
            self.schedule_after(self.response_time(), sent);
        }
        self.record_duty_step(PlatformStep::UsageChecked, entry);
    }

    /// Handles a report that leaves its entry, unless its check is too old.
    pub(super) fn usage_report_arrives(&mut self, report: UsageReport) {
        let (entry, attempt) = (report.entry, report.attempt);
        let is_unchecked = self.settings.defect == Some(DriverDefect::UsageClaimUnchecked);
        if !self.is_process(entry, report.process) {
            return;
        }
        let (outcome, time) = if self.now > report.checked + CHECK_LIFETIME && !is_unchecked {
            (PostOutcome::CheckExpired, Duration::ZERO)
        } else if self.usage.down_until > self.now {
            (PostOutcome::NoAnswer, REPORT_TIMEOUT)
        } else {
            self.check_report(&report);
            self.usage.accepted.entry(report.usage.window).or_insert(self.now);
            self.usage.reports.push((self.now, report));
            match self.usage.loses_answers_until > self.now {
                true => (PostOutcome::NoAnswer, REPORT_TIMEOUT),
                false => (PostOutcome::Accepted, NETWORK_DELAY * 2),
            }
        };
        let event = DirectEvent::Usage(UsageEvent::Posted { attempt, outcome });
        self.schedule_after(time, self.machine_event(entry, event));
        self.record_duty_step(PlatformStep::UsageReported, entry);
    }

    /// Checks a report against earlier ones, and against the requests that began to run.
    fn check_report(&mut self, report: &UsageReport) {
        let UsageReport { entry, fence, usage, .. } = report;
        let window = usage.window;
        let reports = &self.usage.reports;
        let shared = reports.iter().any(|(_, r)| r.fence == *fence && r.entry != *entry);
        let is_lower = reports.last().is_some_and(|(_, last)| last.fence > *fence);
        let recent = reports.iter().rev().take_while(|(at, _)| *at + LEASE > self.now);
        let mut recent = recent.skip_while(|(_, r)| r.entry == *entry);
        let takes_turns = recent.any(|(_, r)| r.entry == *entry);
        if shared || is_lower || takes_turns {
            let seen = format!("entry {entry} reported window {window} with token {fence}");
            self.checker.add_breach(PlatformRule::OneReporter, seen);
        }
        let earlier = reports.iter().find(|(_, r)| r.usage.window == window);
        if let Some((_, other)) = earlier.filter(|(_, r)| r.usage != *usage) {
            let seen = format!("{:?} and then {:?}", other.usage, usage);
            self.checker.add_breach(PlatformRule::OneReporter, seen);
        }
        let none = CustomerCounts::new();
        let begun = self.usage.begun.get(&window).unwrap_or(&none);
        let is_more = |(name, count): (&CustomerName, &u64)| count > begun.get(name).unwrap_or(&0);
        let is_less = |(name, count): (&CustomerName, &u64)| {
            let reported = *usage.counts.get(name).unwrap_or(&0) as f64;
            reported < *count as f64 * (1.0 - COUNT_TOLERANCE)
        };
        let begin = window_end(window).saturating_sub(usage_settings().window + STABLE_WINDOW);
        let lacks = self.is_calm_since(begin) && begun.iter().any(is_less);
        if usage.counts.iter().any(is_more) || lacks {
            let seen = format!("{usage:?} reported, {begun:?} began");
            self.checker.add_breach(PlatformRule::UsageCounted, seen);
        }
    }

    /// Returns whether no entry, the store and no messages were disturbed since a time.
    fn is_calm_since(&self, begin: ClockTime) -> bool {
        self.store.disturbed_until <= begin
            && self.reports_lost_until <= begin
            && self.entries.iter().all(|sim| !sim.is_disturbed(begin, self.now))
    }

    /// Returns the windows that ended from a time on and were not accepted in time.
    pub(super) fn missed_windows(&self, from: ClockTime) -> Vec<UsageWindow> {
        if !self.settings.has_customers {
            return Vec::new();
        }
        let settings = usage_settings();
        let first = settings.window_at(START_TIME + from);
        let last = settings.window_at(START_TIME + self.now);
        let due = |window| window_end(window) + settings.lateness;
        let is_missed = |window: &UsageWindow| {
            let accepted = self.usage.accepted.get(window);
            due(*window) <= self.now && accepted.is_none_or(|at| *at > due(*window))
        };
        (first..last).filter(is_missed).collect()
    }
}
