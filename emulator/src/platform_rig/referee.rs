//! Checks the rules that the platform must keep in every run.

use std::{collections::BTreeMap, time::Duration};

use sapphirewell::{
    direct::{CallStep, ServiceName, SoftwareVersion},
    ids::ClockTime,
};
use strum::{Display, EnumIter};

use super::{
    EntryId, PlatformRig, TargetIndex,
    caller::{AttemptAnswer, AttemptRecord, RequestClass},
    customer::ServedIdentity,
    entry::{RETRY_RATIO, RETRY_SLACK, RETRY_WINDOW},
    store::service_of,
    target::{SimCall, TargetState},
};

/// Time without a disturbance after which rules with time limits are checked.
pub(super) const STABLE_WINDOW: Duration = Duration::from_secs(3);
/// Time from a target's announcement after which it must get no new calls.
const DRAIN_LIMIT: Duration = Duration::from_secs(2);
/// Time after which entries must use a new configuration.
pub(super) const APPLY_LIMIT: Duration = Duration::from_secs(2);
/// Tolerance for a call beyond its caller's deadline, and for work after its attempt ended.
const TIME_TOLERANCE: Duration = Duration::from_millis(500);
/// Time after an order within which no other entry may send orders.
pub(super) const LEASE: Duration = Duration::from_secs(3);
/// Crashes after which a request counts as poison, and calls that may still arrive for it.
const CRASH_LIMIT: usize = 3;
/// Crashes after which a segment counts as known to crash engines, and requests that may still
/// arrive with it.
const SEGMENT_CRASH_LIMIT: usize = 5;
const MAX_REQUESTS_AFTER_LIMIT: usize = 3;

/// Rule that the platform must keep.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Display, EnumIter)]
#[strum(serialize_all = "snake_case")]
pub enum PlatformRule {
    /// A request that must not be retried runs at most once.
    RunsOnce,
    /// A request that was refused as not run has not run on any target.
    TrueNotRun,
    /// A request runs only on a service to which some configuration routes it.
    AllowedService,
    /// A leaving target gets no new calls after the drain limit.
    LeavingTarget,
    /// A request runs on no more targets than its route allows.
    Attempts,
    /// Calls after the first of each request stay within the shared retry budget.
    RetryBudget,
    /// A request that crashed three targets is not sent again, except for a few calls.
    BoundedCrashes,
    /// A segment that crashed five engines is not sent again, except with a few requests.
    BoundedSegmentCrashes,
    /// Work ends soon after its caller has disconnected or was answered.
    StopsWithCaller,
    /// A call's deadline is no later than its caller's.
    TimeLeft,
    /// Every request ends within its route's timeout.
    Ends,
    /// Only one entry orders an engine within a lease, and fencing tokens never decrease.
    OneHolder,
    /// An entry uses a new configuration within the limit.
    InForce,
    /// A process never reverts to an older configuration.
    NeverReverts,
    /// A request is served only for the customer to whom its caller's key belongs, under the name
    /// of that customer, and rejected only where the key belongs to none.
    KeyInForce,
    /// No target gets a caller's key.
    KeyWithheld,
    /// A call has the priority of its customer, or that of its route.
    CustomerPriority,
    /// One entry at a time reports usage, and each window with the same counts.
    OneReporter,
    /// A report counts the requests that began to run: never more, and without disturbance about
    /// as many.
    UsageCounted,
    /// Windows after the last fault are reported in time.
    UsageReported,
    /// A caller gets the complete answer in order, or sees that it was interrupted.
    WholeOwnAnswer,
    /// A stream holds events of one software version, over all attempts of its caller.
    OneVersion,
    /// A planned stop of an entry interrupts no request.
    StopCutsNothing,
    /// Requests are served again after the last fault.
    Recovers,
}

/// Breach of a rule.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlatformBreach {
    /// The rule that was broken.
    pub rule: PlatformRule,
    /// Description of the observed behaviour, for the report.
    pub seen: String,
}

/// State from which the rules are checked, and the breaches found so far.
#[derive(Debug, Default)]
pub(crate) struct RuleChecker {
    /// Runs of each attempt: the target and its number of restarts.
    runs: BTreeMap<usize, Vec<(TargetIndex, u64)>>,
    /// Attempts that were refused as not run.
    not_run: Vec<usize>,
    /// Times of calls after the first of each attempt, by service.
    extra: BTreeMap<String, Vec<ClockTime>>,
    /// Times at which requests were submitted, by service.
    offered: BTreeMap<String, Vec<ClockTime>>,
    /// Whether a prefill call and any other call have arrived, by attempt.
    arrived: BTreeMap<usize, (bool, bool)>,
    /// Times at which a poison request started to run and crashed its target.
    crashes: Vec<ClockTime>,
    /// Poison calls that arrived after the crash limit was reached.
    calls_after_limit: usize,
    /// Times at which the crashing segment crashed an engine.
    segment_crashes: Vec<ClockTime>,
    /// Requests with the crashing segment that arrived after its limit was reached.
    segment_requests_after_limit: usize,
    /// Last order that each engine accepted: time, entry and fencing token.
    orders: BTreeMap<TargetIndex, (ClockTime, EntryId, u64)>,
    /// Software version that began each stream, by the attempt that began it.
    stream_versions: BTreeMap<usize, SoftwareVersion>,
    /// For whom each attempt may be served.
    pub(super) expected_identities: BTreeMap<usize, Vec<ServedIdentity>>,
    breaches: Vec<PlatformBreach>,
}

impl RuleChecker {
    pub(super) fn add_breach(&mut self, rule: PlatformRule, seen: String) {
        self.breaches.push(PlatformBreach { rule, seen });
    }

    pub(super) fn record_offered(&mut self, now: ClockTime, service: &ServiceName) {
        self.offered.entry(service.to_string()).or_default().push(now);
    }

    pub(super) fn record_segment_crash(&mut self, now: ClockTime) {
        self.segment_crashes.push(now);
    }

    pub(super) fn record_not_run(&mut self, attempt: usize) {
        self.not_run.push(attempt);
        self.check_not_run(attempt);
    }

    fn check_not_run(&mut self, attempt: usize) {
        if self.not_run.contains(&attempt) && self.runs.contains_key(&attempt) {
            self.add_breach(PlatformRule::TrueNotRun, format!("attempt {attempt}"));
        }
    }

    /// Returns the first excess over the shared retry budget in any window.
    fn budget_breach(&self) -> Option<String> {
        for (service, extra) in &self.extra {
            let empty = Vec::new();
            let offered = self.offered.get(service).unwrap_or(&empty);
            let within = |times: &[ClockTime], end: ClockTime| {
                let start = end.saturating_sub(RETRY_WINDOW);
                times.iter().filter(|at| **at > start && **at <= end).count() as f64
            };
            for end in extra {
                let previous = within(offered, end.saturating_sub(RETRY_WINDOW));
                let requests = within(offered, *end).max(previous);
                let allowed = RETRY_RATIO * requests + RETRY_SLACK;
                let used = within(extra, *end);
                if used > allowed {
                    return Some(format!(
                        "{service}: {used} calls beyond the first, {allowed} allowed"
                    ));
                }
            }
        }
        None
    }
}

impl PlatformRig {
    /// Returns whether an entry, the store and the reports were undisturbed for long enough.
    pub(super) fn is_undisturbed(&self, entry: EntryId) -> bool {
        let start = self.now.saturating_sub(STABLE_WINDOW);
        !self.entries[entry].is_disturbed(start, self.now)
            && self.store.disturbed_until + STABLE_WINDOW <= self.now
            && self.reports_lost_until + STABLE_WINDOW <= self.now
    }

    /// Checks a call when its entry sends it.
    pub(super) fn check_call(&mut self, call: &SimCall, target: TargetIndex) {
        let record = self.callers.record(call.attempt);
        if call.deadline > record.deadline + TIME_TOLERANCE {
            let seen = format!("attempt {} ends {:?}", call.attempt, record.deadline);
            self.checker.add_breach(PlatformRule::TimeLeft, seen);
        }
        let sim = &self.targets[target];
        let intended = sim.listed.id == call.target.id;
        let late = sim.leaving.is_some_and(|at| self.now > at + DRAIN_LIMIT);
        // An entry that has read that a target leaves is bound by it whatever the store does.
        let read = self.entries[call.entry].known_leaving.get(&sim.listed.id);
        let since = self.now.saturating_sub(STABLE_WINDOW);
        let is_bound = late
            && read.is_some_and(|at| self.now > *at + DRAIN_LIMIT)
            && !self.entries[call.entry].is_disturbed(since, self.now);
        if intended && (is_bound || late && self.is_undisturbed(call.entry)) {
            let seen = format!("{} got a call from entry {}", sim.listed.id, call.entry);
            self.checker.add_breach(PlatformRule::LeavingTarget, seen);
        }
    }

    /// Checks a call that reached its intended target, and counts it against the retry budget.
    pub(super) fn check_arrival(&mut self, call: &SimCall, target: TargetIndex) {
        self.check_customer(call, target);
        let now = self.now;
        let class = self.callers.record(call.attempt).request.class;
        let service = self.targets[target].plan.service.clone();
        let is_prefill = call.step == CallStep::Prefill;
        let (prefill, run) = self.checker.arrived.entry(call.attempt).or_default();
        let first = !std::mem::replace(if is_prefill { prefill } else { run }, true);
        if !first {
            self.checker.extra.entry(service).or_default().push(now);
        }
        let crashes = &self.checker.crashes;
        let crash_limit_reached =
            crashes.get(CRASH_LIMIT - 1).is_some_and(|at| now > *at + STABLE_WINDOW);
        if class == RequestClass::Poison && crash_limit_reached && self.is_undisturbed(call.entry) {
            self.checker.calls_after_limit += 1;
        }
        if self.checker.calls_after_limit > CRASH_LIMIT {
            self.checker.calls_after_limit = 0;
            let seen = format!("attempt {}", call.attempt);
            self.checker.add_breach(PlatformRule::BoundedCrashes, seen);
        }
        // The prefill call of a request was counted.
        let is_counted = !(first && matches!(call.step, CallStep::Decode { .. }));
        if is_counted && self.callers.record(call.attempt).request.has_crashing_segment {
            self.check_segment_request(call);
        }
    }

    fn check_segment_request(&mut self, call: &SimCall) {
        let now = self.now;
        let limit = self.checker.segment_crashes.get(SEGMENT_CRASH_LIMIT - 1);
        let is_late = limit.is_some_and(|at| now > *at + STABLE_WINDOW);
        if !is_late || !self.is_undisturbed(call.entry) {
            return;
        }
        self.checker.segment_requests_after_limit += 1;
        if self.checker.segment_requests_after_limit > MAX_REQUESTS_AFTER_LIMIT {
            self.checker.segment_requests_after_limit = 0;
            let seen = format!("attempt {}", call.attempt);
            self.checker.add_breach(PlatformRule::BoundedSegmentCrashes, seen);
        }
    }

    /// Checks a run when its target starts it.
    pub(super) fn check_run(&mut self, call: &SimCall, target: TargetIndex) {
        let now = self.now;
        let class = self.callers.record(call.attempt).request.class;
        if class == RequestClass::Poison {
            self.checker.crashes.push(now);
        }
        let service = self.targets[target].plan.service.as_str();
        let allowed = self.store.routes.iter().any(|(_, table)| {
            let route = table.find("host", &format!("/{class}/x"));
            route.is_some_and(|route| route.services.iter().any(|s| &*s.service == service))
        });
        if !allowed {
            let seen = format!("{class} run by {service}, not {}", service_of(class, false));
            self.checker.add_breach(PlatformRule::AllowedService, seen);
        }
        let runs = self.checker.runs.entry(call.attempt).or_default();
        runs.push((target, self.targets[target].starts));
        let count = runs.len();
        let once = !matches!(class, RequestClass::Dossier | RequestClass::Lookup);
        if once && count > 1 {
            let seen = format!("attempt {} of {class} ran {count} times", call.attempt);
            self.checker.add_breach(PlatformRule::RunsOnce, seen);
        }
        if !once && count > 2 {
            let seen = format!("attempt {} of {class} ran on {count} targets", call.attempt);
            self.checker.add_breach(PlatformRule::Attempts, seen);
        }
        self.checker.check_not_run(call.attempt);
    }

    /// Checks an order when an engine accepts it.
    pub(super) fn check_order(&mut self, entry: EntryId, target: TargetIndex, fence: u64) {
        let now = self.now;
        // Checked across all engines, which is stricter than the rule: that applies to each
        // engine separately.
        for (at, holder, previous) in self.checker.orders.values().copied().collect::<Vec<_>>() {
            let overlapping = holder != entry && now < at + LEASE;
            let shared_token = holder != entry && fence == previous;
            if overlapping || shared_token || fence < previous {
                let seen = format!("entries {holder} and {entry}, numbers {previous} and {fence}");
                self.checker.add_breach(PlatformRule::OneHolder, seen);
            }
        }
        self.checker.orders.insert(target, (now, entry, fence));
    }

    /// Checks that a target does not work for an attempt that has ended.
    pub(super) fn check_progress(&mut self, call: &SimCall, target: TargetIndex) {
        let record = self.callers.record(call.attempt);
        let ended =
            record.answer != AttemptAnswer::Open && self.now > record.ended + TIME_TOLERANCE;
        let undisturbed = !self.entries[call.entry]
            .is_disturbed(record.ended.saturating_sub(STABLE_WINDOW), self.now);
        let lost = self.targets[target].loses_answers_until > record.sent;
        if ended && undisturbed && !lost {
            let seen = format!("attempt {} ended at {:?}", call.attempt, record.ended);
            self.checker.add_breach(PlatformRule::StopsWithCaller, seen);
        }
    }

    /// Checks the configuration with which an entry accepts a request.
    pub(super) fn check_configuration(&mut self, entry: EntryId) {
        let known = self.entries[entry].machine.routes().map_or(0, |routes| routes.version);
        let shown = self.entries[entry].shown_version;
        if known < shown {
            let seen = format!("entry {entry} went from {shown} back to {known}");
            self.checker.add_breach(PlatformRule::NeverReverts, seen);
        }
        self.entries[entry].shown_version = known.max(shown);
        let is_due = |(at, _): &&(ClockTime, _)| *at + APPLY_LIMIT < self.now;
        let newest = self.store.routes.iter().filter(is_due).map(|(_, table)| table.version).max();
        if newest.is_some_and(|newest| known < newest) && self.is_undisturbed(entry) {
            let seen = format!("entry {entry} has {known}, {newest:?} was written");
            self.checker.add_breach(PlatformRule::InForce, seen);
        }
    }

    /// Checks the version of the target that sent an event of a stream.
    pub(super) fn check_version(&mut self, attempt: usize, call: &SimCall) {
        let version = call.ran_at.clone();
        let first = self.callers.record(attempt).resumes.unwrap_or(attempt);
        let began = self.checker.stream_versions.entry(first).or_insert_with(|| version.clone());
        if *began != version {
            let seen = format!("the stream of attempt {first} began at {began}, not {version}");
            self.checker.add_breach(PlatformRule::OneVersion, seen);
        }
    }

    /// Checks that an attempt that ended as complete got all its events.
    pub(super) fn check_complete(&mut self, attempt: usize) {
        let record = self.callers.record(attempt);
        if record.events != record.request.class.events() {
            let seen = format!("attempt {attempt} got {} events", record.events);
            self.checker.add_breach(PlatformRule::WholeOwnAnswer, seen);
        }
    }

    /// Returns all breaches, including those that can only be found at the end of a run.
    ///
    /// Attempts sent from `served_from` on count for [`PlatformRule::Recovers`].
    pub fn breaches(&self, served_from: ClockTime) -> Vec<PlatformBreach> {
        let mut breaches = self.checker.breaches.clone();
        let mut add = |rule, seen| breaches.push(PlatformBreach { rule, seen });
        if let Some(seen) = self.checker.budget_breach() {
            add(PlatformRule::RetryBudget, seen);
        }
        for (attempt, record) in self.attempts().iter().enumerate() {
            if self.exceeds_timeout(record) {
                let seen = format!("attempt {attempt} {:?}", record.answer);
                add(PlatformRule::Ends, seen);
            }
        }
        let missed = self.missed_windows(served_from);
        if !missed.is_empty() {
            add(PlatformRule::UsageReported, format!("windows {missed:?}"));
        }
        let counts = |record: &&AttemptRecord| {
            record.sent >= served_from
                && record.sent + TIME_TOLERANCE * 10 < self.now
                && record.request.class != RequestClass::Poison
                && record.answer != AttemptAnswer::Rejected
                && !record.request.has_crashing_segment
                && self.is_servable(record.request.class)
        };
        let sent = self.attempts().iter().filter(counts).count();
        let served = self.attempts().iter().filter(counts);
        let served = served.filter(|record| record.answer == AttemptAnswer::Whole).count();
        if sent > 0 && served * 4 < sent * 3 {
            add(PlatformRule::Recovers, format!("{served} of {sent} served at the end"));
        }
        breaches
    }

    fn exceeds_timeout(&self, record: &AttemptRecord) -> bool {
        let Some(entry) = record.entry else { return false };
        let timeout = match record.request.class {
            RequestClass::Dossier => Duration::from_secs(5),
            RequestClass::Note | RequestClass::Poison => Duration::from_millis(2500),
            RequestClass::Ticket | RequestClass::Lookup => Duration::from_millis(800),
        };
        let limit = record.sent + timeout + TIME_TOLERANCE;
        let open = record.answer == AttemptAnswer::Open;
        let late = if open { self.now > limit } else { record.ended > limit };
        late && !self.entries[entry].is_disturbed(record.sent, limit)
    }

    /// Returns whether the service that a class now uses has a serving target.
    ///
    /// Faults may remove the last one for good.
    fn is_servable(&self, class: RequestClass) -> bool {
        let newest = self.store.routes.last().and_then(|(_, table)| {
            table.find("host", &format!("/{class}/x")).map(|route| &route.services)
        });
        let serves = |service: &str| {
            self.targets
                .iter()
                .any(|sim| sim.state == TargetState::Serving && sim.plan.service == service)
        };
        newest.is_some_and(|services| services.iter().any(|weighted| serves(&weighted.service)))
    }
}
