//! Shares of customers in a service whose targets have too little room for all requests.
//!
//! They serve loads of many customers, a few of them large, of which one sends a burst or repeats
//! refused requests at once, and of customers whose priorities compete. Entries tell each other
//! what customers ask for and what they got, and each refuses first those that have more than
//! their share. See [docs/design/shares.md](../../docs/design/shares.md).

use std::{
    collections::{BTreeMap, HashMap},
    time::Duration,
};

use serde::{Deserialize, Serialize};

use super::{
    CustomerName, PeerName, ServiceName,
    backlog::FIRST_LATE_PRIORITY,
    share_division::{CustomerDemand, USUAL_PART, WorkRate, divide_levels},
};
use crate::ids::ClockTime;

/// Priority of requests that are not late, 0 being the highest.
pub type LoadPriority = u8;

/// Time constant of the rates that shares are computed from. It spans several reports.
const RATE_TIME: Duration = Duration::from_secs(1);
/// Time constant of what a customer usually asks for, which is measured while there is room, as
/// callers repeat what is refused.
const USUAL_TIME: Duration = Duration::from_secs(30);
/// Weight of what a customer asks for now beside what it usually asks for, so that shares follow in
/// the end where room is short for long, or was from the start.
const PRESENT_WEIGHT: f32 = 0.02;
/// Rate below which a customer is no longer kept.
const MIN_RATE: WorkRate = 0.0001;
/// Part of the offered work up to which the admitted work counts as too little.
const SHORT_PART: f32 = 0.95;
/// Part of the allowed queueing time that is kept for customers within their shares. One that
/// offers twice its share or more has none of it.
const RESERVED_WAIT_PART: f32 = 0.25;
/// Smallest part of the allowed queueing time that a customer has.
const MIN_WAIT_PART: f32 = 0.1;
/// Part of the allowed queueing time from which on room counts as short.
const PRESSURE_PART: f32 = 0.5;
/// Time for which room counts as short after a long wait.
const SHORT_TIME: Duration = Duration::from_secs(2);
/// Interval at which shares are computed again.
const SHARE_INTERVAL: Duration = Duration::from_millis(100);
/// Interval between two reports while room is short.
const REPORT_INTERVAL: Duration = Duration::from_millis(500);
/// Largest number of customers in a report; the largest come first.
const MAX_REPORTED: usize = 24;
/// Largest size of a report's loads as they are encoded, in bytes, so that a datagram carries them.
const MAX_REPORT_BYTES: usize = 1440;
/// Largest encoded size of a load without its names and priorities, and of one priority of it, in
/// bytes.
const LOAD_BYTES: usize = 26;
const LEVEL_BYTES: usize = 12;
/// Lowest priority, which work counts at that a peer states no priority of.
const LOWEST_PRIORITY: LoadPriority = FIRST_LATE_PRIORITY - 1;

/// What one customer asks of a service, and how much of it is admitted.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct CustomerLoad {
    /// Service that the requests are for.
    #[serde(rename = "s")]
    pub service: ServiceName,
    /// Customer; empty for requests without one.
    #[serde(rename = "c")]
    pub customer: CustomerName,
    /// Work of all its requests.
    #[serde(rename = "o")]
    pub offered: WorkRate,
    /// Work of those that were not refused.
    #[serde(rename = "a")]
    pub admitted: WorkRate,
    /// The same by priority. Entries of earlier versions send none.
    #[serde(rename = "p", default, skip_serializing_if = "Vec::is_empty")]
    pub levels: Vec<LevelLoad>,
}

/// Part of a customer's work that has one priority: that priority, the work offered and admitted.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct LevelLoad(pub LoadPriority, pub WorkRate, pub WorkRate);

/// Service, customer and priority that work counts towards.
#[derive(Debug, Clone, Copy)]
pub struct LoadKey<'a> {
    /// Service that the requests are for.
    pub service: &'a ServiceName,
    /// Customer; empty for requests without one.
    pub customer: &'a CustomerName,
    /// Priority of the requests.
    pub priority: LoadPriority,
}

/// One entry's report of its customers' work.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ShareReport {
    /// Name of the reporting entry.
    pub peer: PeerName,
    /// Whether that entry itself finds too little room.
    pub is_short: bool,
    /// Work of its largest customers.
    pub loads: Vec<CustomerLoad>,
}

impl ShareReport {
    /// Returns whether shares can be computed with its numbers. Others come from a faulty process
    /// or a damaged datagram.
    pub fn has_valid_numbers(&self) -> bool {
        let is_rate = |rate: WorkRate| rate.is_finite() && rate >= 0.0;
        let is_level =
            |level: &LevelLoad| level.0 <= LOWEST_PRIORITY && is_rate(level.1) && is_rate(level.2);
        let is_valid = |load: &CustomerLoad| {
            is_rate(load.offered)
                && is_rate(load.admitted)
                && load.levels.len() <= usize::from(FIRST_LATE_PRIORITY)
                && load.levels.iter().all(is_level)
        };
        self.loads.len() <= MAX_REPORTED && self.loads.iter().all(is_valid)
    }
}

/// Average rate of work, with exponential decay.
#[derive(Debug, Clone, Copy, Default, Serialize)]
struct WorkMeter {
    rate: WorkRate,
    updated: ClockTime,
}

impl WorkMeter {
    fn record(&mut self, now: ClockTime, seconds: f32, time: Duration) {
        self.rate = self.rate_at(now, time) + seconds / time.as_secs_f32();
        self.updated = now;
    }

    fn rate_at(&self, now: ClockTime, time: Duration) -> WorkRate {
        let passed = now.saturating_sub(self.updated).as_secs_f32();
        self.rate * (-passed / time.as_secs_f32()).exp()
    }
}

/// Work of one customer at this entry, of one priority.
#[derive(Debug, Clone, Copy, Default, Serialize)]
struct CustomerMeter {
    offered: WorkMeter,
    admitted: WorkMeter,
    usual: WorkMeter,
    /// Requests that may be raised, less those that were.
    raise_credit: f32,
}

impl CustomerMeter {
    /// Returns the work by which the room that is kept for usual work is divided.
    fn weight(&self, now: ClockTime) -> WorkRate {
        let present = self.offered.rate_at(now, RATE_TIME);
        self.usual.rate_at(now, USUAL_TIME) + PRESENT_WEIGHT * present
    }
}

/// Last report of a peer.
#[derive(Debug, Clone)]
struct PeerShares {
    received: ClockTime,
    report: ShareReport,
}

/// Sums over all entries, for one customer.
#[derive(Debug, Clone, Copy, Default)]
struct CustomerTotal {
    offered: WorkRate,
    admitted: WorkRate,
    usual: WorkRate,
}

/// Values for each service, priority and customer.
type LoadMap<T> = HashMap<ServiceName, LevelMap<T>>;
/// Values for each priority and customer.
type LevelMap<T> = BTreeMap<LoadPriority, HashMap<CustomerName, T>>;

/// Part of the requests of a priority that targets get with a higher one.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
struct RaisedPart {
    priority: LoadPriority,
    part: f32,
}

/// Work of customers, and the parts of the allowed queueing time of those above their shares.
#[derive(Debug, Clone, Default, Serialize)]
pub struct ShareTable {
    #[serde(skip)]
    meters: LoadMap<CustomerMeter>,
    #[serde(skip)]
    peers: HashMap<PeerName, PeerShares>,
    /// Customers above their shares.
    limited: LoadMap<f32>,
    /// Priorities to which higher ones leave too little room.
    raised: HashMap<ServiceName, BTreeMap<LoadPriority, RaisedPart>>,
    /// When the shares are next computed.
    #[serde(skip)]
    next_division: ClockTime,
    #[serde(skip)]
    next_report: ClockTime,
    /// Time until which this entry itself finds too little room.
    #[serde(skip)]
    short_until: ClockTime,
}

impl ShareTable {
    /// Returns the queueing time that a request may have of the `allowed` one: less for a
    /// customer that has more than its share while there is too little room.
    pub fn allowed_wait(&self, load: LoadKey<'_>, allowed: Duration) -> Duration {
        let levels = self.limited.get(load.service);
        let limited = levels.and_then(|levels| levels.get(&load.priority)?.get(load.customer));
        limited.map_or(allowed, |part| allowed.mul_f32(*part))
    }

    /// Returns the higher priority that targets are to get a new request with, if it is one of
    /// those that keep its priority from being starved.
    pub fn raise(&mut self, now: ClockTime, load: LoadKey<'_>) -> Option<LoadPriority> {
        if !self.is_short(now) {
            return None;
        }
        let raise = *self.raised.get(load.service)?.get(&load.priority)?;
        let credit = &mut self.meter(load).raise_credit;
        *credit += raise.part;
        if *credit < 1.0 {
            return None;
        }
        *credit -= 1.0;
        Some(raise.priority)
    }

    /// Returns the number of customers above their shares, counted for each service and priority.
    pub fn limited_count(&self) -> usize {
        self.limited.values().flat_map(BTreeMap::values).map(HashMap::len).sum()
    }

    /// Counts a request that needs this time at a target, and how long it would wait.
    pub fn record_offer(
        &mut self,
        now: ClockTime,
        load: LoadKey<'_>,
        seconds: f32,
        (waiting, allowed): (Duration, Duration),
    ) {
        let is_short = self.is_short(now);
        let meter = self.meter(load);
        meter.offered.record(now, seconds, RATE_TIME);
        if !is_short {
            meter.usual.record(now, seconds, USUAL_TIME);
        }
        if waiting > allowed.mul_f32(PRESSURE_PART) {
            self.short_until = now + SHORT_TIME;
        }
    }

    /// Counts a request that was offered before and is not refused.
    pub fn record_admission(&mut self, now: ClockTime, load: LoadKey<'_>, seconds: f32) {
        self.meter(load).admitted.record(now, seconds, RATE_TIME);
    }

    /// Takes back an admission of work that was not run after all.
    pub fn take_back(&mut self, load: LoadKey<'_>, seconds: f32) {
        let admitted = &mut self.meter(load).admitted;
        admitted.rate = (admitted.rate - seconds / RATE_TIME.as_secs_f32()).max(0.0);
    }

    /// Applies a peer's report, which replaces its last one.
    pub fn apply(&mut self, now: ClockTime, report: ShareReport) {
        self.peers.insert(report.peer.clone(), PeerShares { received: now, report });
    }

    /// Computes the shares again, if the last time is long enough ago. A peer without a
    /// report for `timeout` no longer counts.
    pub fn refresh(&mut self, now: ClockTime, timeout: Duration) {
        if now < self.next_division {
            return;
        }
        self.next_division = now + SHARE_INTERVAL;
        self.expire_peers(now, timeout);
        self.meters.retain(|_, levels| {
            levels.retain(|_, meters| {
                meters.retain(|_, meter| meter.weight(now) >= MIN_RATE);
                !meters.is_empty()
            });
            !levels.is_empty()
        });
        self.limited.clear();
        self.raised.clear();
        if !self.is_short(now) {
            return;
        }
        for (service, totals) in self.totals(now) {
            let Some(standing) = ServiceStanding::of(&totals) else { continue };
            if !standing.limited.is_empty() {
                self.limited.insert(service.clone(), standing.limited);
            }
            if !standing.raised.is_empty() {
                self.raised.insert(service, standing.raised);
            }
        }
    }

    /// Returns the report for peers, if room is short and the last report is long enough ago. A
    /// peer without a report for `timeout` no longer counts.
    pub fn report(
        &mut self,
        now: ClockTime,
        own: &PeerName,
        timeout: Duration,
    ) -> Option<ShareReport> {
        self.expire_peers(now, timeout);
        if now < self.next_report || !self.is_short(now) {
            return None;
        }
        self.next_report = now + REPORT_INTERVAL;
        let mut loads = self.own_loads(now);
        if loads.is_empty() {
            return None;
        }
        loads.sort_by(|a, b| b.offered.total_cmp(&a.offered));
        let mut bytes = 0;
        let fits = |load: &CustomerLoad| {
            let names = load.service.len() + load.customer.len();
            bytes += LOAD_BYTES + names + LEVEL_BYTES * load.levels.len();
            bytes <= MAX_REPORT_BYTES
        };
        let loads = loads.into_iter().take(MAX_REPORTED).take_while(fits).collect();
        let is_short = now < self.short_until;
        Some(ShareReport { peer: own.clone(), is_short, loads })
    }

    fn expire_peers(&mut self, now: ClockTime, timeout: Duration) {
        let timeout = timeout.max(REPORT_INTERVAL * 3);
        self.peers.retain(|_, peer| now <= peer.received + timeout);
    }

    fn meter(&mut self, load: LoadKey<'_>) -> &mut CustomerMeter {
        let levels = self.meters.entry(load.service.clone()).or_default();
        let customers = levels.entry(load.priority).or_default();
        customers.entry(load.customer.clone()).or_default()
    }

    /// Returns whether this entry or a peer finds too little room.
    fn is_short(&self, now: ClockTime) -> bool {
        now < self.short_until || self.peers.values().any(|peer| peer.report.is_short)
    }

    /// Returns the work of each customer at this entry.
    fn own_loads(&self, now: ClockTime) -> Vec<CustomerLoad> {
        let mut loads: HashMap<(&ServiceName, &CustomerName), CustomerLoad> = HashMap::new();
        for (service, priority, customer, meter) in self.all_meters() {
            let offered = meter.offered.rate_at(now, RATE_TIME);
            let admitted = meter.admitted.rate_at(now, RATE_TIME);
            let load = loads.entry((service, customer)).or_insert_with(|| CustomerLoad {
                service: service.clone(),
                customer: customer.clone(),
                offered: 0.0,
                admitted: 0.0,
                levels: Vec::new(),
            });
            load.offered += offered;
            load.admitted += admitted;
            load.levels.push(LevelLoad(priority, offered, admitted));
        }
        loads.into_values().collect()
    }

    fn all_meters(
        &self,
    ) -> impl Iterator<Item = (&ServiceName, LoadPriority, &CustomerName, &CustomerMeter)> {
        self.meters.iter().flat_map(|(service, levels)| {
            levels.iter().flat_map(move |(priority, meters)| {
                meters.iter().map(move |(customer, meter)| (service, *priority, customer, meter))
            })
        })
    }

    /// Sums the work of each service's customers over all entries, by priority. What is usual is
    /// known of this entry only, at which callers arrive as at the others.
    fn totals(&self, now: ClockTime) -> LoadMap<CustomerTotal> {
        let mut totals: LoadMap<CustomerTotal> = HashMap::new();
        let reported = self.peers.values().flat_map(|peer| peer.report.loads.iter().cloned());
        for load in self.own_loads(now).into_iter().chain(reported) {
            let stated = match load.levels.is_empty() {
                true => vec![LevelLoad(self.main_priority(&load), load.offered, load.admitted)],
                false => load.levels,
            };
            let levels = totals.entry(load.service).or_default();
            for LevelLoad(priority, offered, admitted) in stated {
                let customers = levels.entry(priority).or_default();
                let total = customers.entry(load.customer.clone()).or_default();
                total.offered += offered;
                total.admitted += admitted;
            }
        }
        for (service, priority, customer, meter) in self.all_meters() {
            let levels = totals.get_mut(service);
            let total = levels.and_then(|levels| levels.get_mut(&priority)?.get_mut(customer));
            if let Some(total) = total {
                total.usual = meter.weight(now);
            }
        }
        totals
    }

    /// Returns the priority that a customer's work for a service has here for the most part.
    fn main_priority(&self, load: &CustomerLoad) -> LoadPriority {
        let levels = self.meters.get(&load.service).into_iter().flatten();
        let own = levels.filter_map(|(priority, meters)| {
            Some((meters.get(&load.customer)?.offered.rate, *priority))
        });
        let main = own.max_by(|a, b| a.0.total_cmp(&b.0));
        main.map_or(LOWEST_PRIORITY, |(_, priority)| priority)
    }
}

/// Who has more than its share of a service, and whose work would be starved by priorities.
struct ServiceStanding {
    limited: LevelMap<f32>,
    raised: BTreeMap<LoadPriority, RaisedPart>,
}

impl ServiceStanding {
    /// Compares the customers' work with their shares; returns `None` if there is room for all.
    fn of(totals: &LevelMap<CustomerTotal>) -> Option<ServiceStanding> {
        let sum = |value: fn(&CustomerTotal) -> f32| {
            totals.values().flat_map(HashMap::values).map(value).sum::<f32>()
        };
        let (offered, room) = (sum(|total| total.offered), sum(|total| total.admitted));
        if room >= offered * SHORT_PART {
            return None;
        }
        let priorities: Vec<LoadPriority> = totals.keys().copied().collect();
        let demands: Vec<_> = totals.values().map(level_demands).collect();
        let mut standing = ServiceStanding { limited: BTreeMap::new(), raised: BTreeMap::new() };
        for ((priority, totals), grant) in totals.iter().zip(divide_levels(&demands, room)) {
            if let Some(raise) = grant.raise {
                let raised = RaisedPart { priority: priorities[raise.level], part: raise.part };
                standing.raised.insert(*priority, raised);
            }
            let limited = limited_customers(totals, &grant.granted);
            if !limited.is_empty() {
                standing.limited.insert(*priority, limited);
            }
        }
        Some(standing)
    }
}

/// Returns what the customers of a priority ask for, in the order of the map.
fn level_demands(totals: &HashMap<CustomerName, CustomerTotal>) -> Vec<CustomerDemand> {
    let usual = totals.values().map(|total| total.usual).sum::<f32>().max(f32::MIN_POSITIVE);
    let demand = |(customer, total): (&CustomerName, &CustomerTotal)| {
        let part = total.usual / usual;
        // Requests without a customer are of many callers, and keep all that is usual.
        let usual_part = if customer.is_empty() { part / USUAL_PART } else { part };
        CustomerDemand { offered: total.offered, usual_part }
    };
    totals.iter().map(demand).collect()
}

/// Returns the customers that have more than they are granted, each with the part of the allowed
/// queueing time that it has.
fn limited_customers(
    totals: &HashMap<CustomerName, CustomerTotal>,
    granted: &[WorkRate],
) -> HashMap<CustomerName, f32> {
    let standings = totals.iter().zip(granted);
    let limited = standings.filter(|((_, total), granted)| **granted < total.offered * SHORT_PART);
    limited
        .map(|((customer, total), granted)| {
            let part = (granted / total.admitted.max(f32::MIN_POSITIVE)).min(1.0);
            let excess = (total.offered / granted.max(f32::MIN_POSITIVE) - 1.0).min(1.0);
            let open = 1.0 - RESERVED_WAIT_PART * excess;
            (customer.clone(), (open * part).max(MIN_WAIT_PART))
        })
        .collect()
}
