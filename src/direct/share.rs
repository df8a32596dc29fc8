//! Shares of customers in a service whose targets have too little room for all requests.
//!
//! They serve loads of many customers, a few of them large, of which one sends a burst or repeats
//! refused requests at once. Entries tell each other what customers ask for and what they got, and
//! each refuses first those that have more than their share. See
//! [docs/design/shares.md](../../docs/design/shares.md).

use std::{collections::HashMap, time::Duration};

use serde::{Deserialize, Serialize};

use super::{CustomerName, PeerName, ServiceName};
use crate::ids::ClockTime;

/// Work at a service's targets: the time that requests need there without waiting, in seconds for
/// each second.
pub type WorkRate = f32;

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
/// Part of the room that customers keep in proportion to what they usually ask for, so that
/// large ones are served at least half as often as all.
const USUAL_PART: f32 = 0.5;
/// Part of what a customer would get in proportion to its present work that it gets at least. It
/// is more than a quarter, so that a customer whose work grows is not starved.
const PRESENT_PART: f32 = 0.3;
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
/// Largest size of the names in a report, in bytes.
const MAX_NAME_BYTES: usize = 1024;
/// Largest number of halvings in the search for the level of equal shares.
const LEVEL_STEPS: usize = 32;

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
        let is_valid = |load: &CustomerLoad| is_rate(load.offered) && is_rate(load.admitted);
        self.loads.len() <= MAX_REPORTED && self.loads.iter().all(is_valid)
    }
}

/// What a customer asks for, now and usually.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct CustomerDemand {
    /// Work that it offers.
    pub offered: WorkRate,
    /// Its part of what all customers usually offer, from 0 to 1.
    pub usual_part: f32,
}

/// Divides room among customers, and returns what each is granted, in their order.
///
/// Shares are max-min fair: nobody gets more than it offers, and what one leaves goes to the
/// others in equal parts. Half of the room is divided in proportion to what customers usually offer
/// first, as far as they still offer it, and nobody gets less than [`PRESENT_PART`] of what it would
/// get in proportion to what it offers.
pub fn divide_room(demands: &[CustomerDemand], room: WorkRate) -> Vec<WorkRate> {
    let offered: WorkRate = demands.iter().map(|demand| demand.offered).sum();
    let present_part = PRESENT_PART * room / offered.max(f32::MIN_POSITIVE);
    let granted = |demand: &CustomerDemand, level: WorkRate| {
        let usual = room * USUAL_PART * demand.usual_part;
        let present = present_part * demand.offered;
        level.max(usual).max(present).min(demand.offered)
    };
    let total = |level| demands.iter().map(|demand| granted(demand, level)).sum::<WorkRate>();
    let (mut low, mut high) = (0.0, demands.iter().map(|d| d.offered).fold(0.0, WorkRate::max));
    if total(high) > room {
        for _ in 0..LEVEL_STEPS {
            let middle = (low + high) / 2.0;
            if total(middle) > room { high = middle } else { low = middle }
        }
        high = low;
    }
    demands.iter().map(|demand| granted(demand, high)).collect()
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

/// Work of one customer at this entry.
#[derive(Debug, Clone, Copy, Default, Serialize)]
struct CustomerMeter {
    offered: WorkMeter,
    admitted: WorkMeter,
    usual: WorkMeter,
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

/// Work of customers, and the parts of the allowed queueing time of those above their shares.
#[derive(Debug, Clone, Default, Serialize)]
pub struct ShareTable {
    #[serde(skip)]
    meters: HashMap<ServiceName, HashMap<CustomerName, CustomerMeter>>,
    #[serde(skip)]
    peers: HashMap<PeerName, PeerShares>,
    /// Customers above their shares.
    limited: HashMap<ServiceName, HashMap<CustomerName, f32>>,
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
    pub fn allowed_wait(
        &self,
        service: &ServiceName,
        customer: &CustomerName,
        allowed: Duration,
    ) -> Duration {
        let limited = self.limited.get(service).and_then(|limited| limited.get(customer));
        limited.map_or(allowed, |part| allowed.mul_f32(*part))
    }

    /// Returns the number of customers above their shares, counted for each service.
    pub fn limited_count(&self) -> usize {
        self.limited.values().map(HashMap::len).sum()
    }

    /// Counts a request that needs this time at a target, and how long it would wait.
    pub fn record_offer(
        &mut self,
        now: ClockTime,
        load: (&ServiceName, &CustomerName),
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
    pub fn record_admission(
        &mut self,
        now: ClockTime,
        load: (&ServiceName, &CustomerName),
        seconds: f32,
    ) {
        self.meter(load).admitted.record(now, seconds, RATE_TIME);
    }

    /// Takes back an admission of work that was not run after all.
    pub fn take_back(&mut self, load: (&ServiceName, &CustomerName), seconds: f32) {
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
        for meters in self.meters.values_mut() {
            meters.retain(|_, meter| meter.weight(now) >= MIN_RATE);
        }
        self.meters.retain(|_, meters| !meters.is_empty());
        self.limited.clear();
        if !self.is_short(now) {
            return;
        }
        for (service, totals) in self.totals(now) {
            let limited = limited_customers(&totals);
            if !limited.is_empty() {
                self.limited.insert(service, limited);
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
        let mut loads: Vec<CustomerLoad> = self.own_loads(now).collect();
        if loads.is_empty() {
            return None;
        }
        loads.sort_by(|a, b| b.offered.total_cmp(&a.offered));
        let mut name_bytes = 0;
        let fits = |load: &CustomerLoad| {
            name_bytes += load.service.len() + load.customer.len();
            name_bytes <= MAX_NAME_BYTES
        };
        let loads = loads.into_iter().take(MAX_REPORTED).take_while(fits).collect();
        let is_short = now < self.short_until;
        Some(ShareReport { peer: own.clone(), is_short, loads })
    }

    fn expire_peers(&mut self, now: ClockTime, timeout: Duration) {
        let timeout = timeout.max(REPORT_INTERVAL * 3);
        self.peers.retain(|_, peer| now <= peer.received + timeout);
    }

    fn meter(&mut self, (service, customer): (&ServiceName, &CustomerName)) -> &mut CustomerMeter {
        let meters = self.meters.entry(service.clone()).or_default();
        meters.entry(customer.clone()).or_default()
    }

    /// Returns whether this entry or a peer finds too little room.
    fn is_short(&self, now: ClockTime) -> bool {
        now < self.short_until || self.peers.values().any(|peer| peer.report.is_short)
    }

    fn own_loads(&self, now: ClockTime) -> impl Iterator<Item = CustomerLoad> {
        self.meters.iter().flat_map(move |(service, meters)| {
            meters.iter().map(move |(customer, meter)| CustomerLoad {
                service: service.clone(),
                customer: customer.clone(),
                offered: meter.offered.rate_at(now, RATE_TIME),
                admitted: meter.admitted.rate_at(now, RATE_TIME),
            })
        })
    }

    /// Sums the work of each service's customers over all entries. What is usual is known of
    /// this entry only, at which callers arrive as at the others.
    fn totals(&self, now: ClockTime) -> HashMap<ServiceName, HashMap<CustomerName, CustomerTotal>> {
        let mut totals: HashMap<ServiceName, HashMap<CustomerName, CustomerTotal>> = HashMap::new();
        let reported = self.peers.values().flat_map(|peer| peer.report.loads.iter().cloned());
        for load in self.own_loads(now).chain(reported) {
            let customers = totals.entry(load.service).or_default();
            let total = customers.entry(load.customer).or_default();
            total.offered += load.offered;
            total.admitted += load.admitted;
        }
        for (service, meters) in &self.meters {
            for (customer, meter) in meters {
                let total = totals.get_mut(service).and_then(|known| known.get_mut(customer));
                if let Some(total) = total {
                    total.usual = meter.weight(now);
                }
            }
        }
        totals
    }
}

/// Returns the customers that have more than their share, each with the part of the allowed
/// queueing time that it has.
fn limited_customers(totals: &HashMap<CustomerName, CustomerTotal>) -> HashMap<CustomerName, f32> {
    let sum = |value: fn(&CustomerTotal) -> f32| totals.values().map(value).sum::<f32>();
    let (offered, room) = (sum(|total| total.offered), sum(|total| total.admitted));
    let usual = sum(|total| total.usual).max(f32::MIN_POSITIVE);
    if room >= offered * SHORT_PART {
        return HashMap::new();
    }
    let demand = |(customer, total): (&CustomerName, &CustomerTotal)| {
        let part = total.usual / usual;
        // Requests without a customer are of many callers, and keep all that is usual.
        let usual_part = if customer.is_empty() { part / USUAL_PART } else { part };
        CustomerDemand { offered: total.offered, usual_part }
    };
    let demands: Vec<CustomerDemand> = totals.iter().map(demand).collect();
    let granted = divide_room(&demands, room);
    let standings = totals.iter().zip(granted);
    let limited = standings.filter(|((_, total), granted)| *granted < total.offered * SHORT_PART);
    limited
        .map(|((customer, total), granted)| {
            let part = (granted / total.admitted.max(f32::MIN_POSITIVE)).min(1.0);
            let excess = (total.offered / granted.max(f32::MIN_POSITIVE) - 1.0).min(1.0);
            let open = 1.0 - RESERVED_WAIT_PART * excess;
            (customer.clone(), (open * part).max(MIN_WAIT_PART))
        })
        .collect()
}
