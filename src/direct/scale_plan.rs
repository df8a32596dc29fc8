//! Decides how many targets a service has in each data centre.
//!
//! It serves demand that lasts longer than a target's start. The number rises once more was needed
//! throughout such a time, and falls once less was needed throughout one several times as long. In
//! between it stays, so a short burst or a short lull leads to no order. What is ordered was needed
//! throughout the later half of that time, when the change is complete. See
//! [docs/design/duties.md](../../docs/design/duties.md).

use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use serde::Serialize;

use super::{OrderFencingToken, PostOutcome, ScalingConfig, ServiceName};
use crate::ids::{ClockTime, DataCentreId};

/// Starts of a target for which a peak has to be over until targets are taken away: its callers
/// would wait for a start if it came back.
const STARTS_AFTER_PEAK: u32 = 4;
/// Shortest time that a peak has to be over.
const MIN_TIME_AFTER_PEAK: Duration = Duration::from_secs(60);
/// Shortest time that demand has to last.
const MIN_LASTING_TIME: Duration = Duration::from_secs(5);
/// Samples of the need in the time that demand has to last.
const SAMPLES_PER_LASTING_TIME: u32 = 20;
/// Shortest time between two samples.
const MIN_SAMPLE_INTERVAL: Duration = Duration::from_millis(500);
/// Samples over which the need is averaged, as single ones vary with the arrivals.
const AVERAGED_SAMPLES: usize = 4;
/// Sample intervals without a sample after which the samples before say nothing.
const GAP_INTERVALS: u32 = 4;
/// Time after a target's start in which its registration reaches the entries.
const REGISTRATION_TIME: Duration = Duration::from_secs(10);
/// Shortest and longest pause after an order that failed; it doubles in between.
const RETRY_PAUSES: (Duration, Duration) = (Duration::from_secs(1), Duration::from_secs(60));
/// Targets of a service that are kept in all data centres without any request, as one has to be
/// there for the first.
const MIN_TARGETS: f32 = 1.0;
/// Largest number of times that the wait for ordered targets doubles between repeated orders.
const MAX_DOUBLINGS: u32 = 6;

/// Number of targets.
pub type TargetCount = u32;

/// Order for the number of a service's targets in a data centre.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ScaleOrder {
    /// The service.
    pub service: ServiceName,
    /// The data centre.
    pub data_centre: DataCentreId,
    /// Number of targets that it is to have there.
    pub targets: TargetCount,
    /// Fencing token of the claim.
    pub fence: OrderFencingToken,
}

/// Need of a service, and what it has.
#[derive(Debug, Clone, PartialEq)]
pub struct ScaleSample {
    /// Targets that its requests need, in all data centres, or `None` if nothing tells of it.
    pub need: Option<f32>,
    /// Whether more may be needed: requests failed, or not all of them are known.
    pub may_be_more: bool,
    /// Targets that are registered and do not leave, by data centre.
    pub listed: BTreeMap<DataCentreId, TargetCount>,
}

/// Numbers of targets of all services whose configuration has bounds for them.
#[derive(Debug, Clone, Default, Serialize)]
pub struct ScalePlanner {
    services: BTreeMap<ServiceName, ServicePlan>,
}

#[derive(Debug, Clone, Serialize)]
struct ServicePlan {
    scaling: ScalingConfig,
    need: Option<f32>,
    /// Averaged needs without a gap, oldest first.
    needs: VecDeque<(ClockTime, f32)>,
    /// Last samples, oldest first, without the delay of the average.
    samples: VecDeque<f32>,
    /// Time of the first of them that was ever added.
    began: ClockTime,
    data_centres: BTreeMap<DataCentreId, CentrePlan>,
}

/// Number of a service's targets in one data centre.
#[derive(Debug, Clone, Default, Serialize)]
struct CentrePlan {
    listed: TargetCount,
    /// Number that the platform accepted under the present claim.
    ordered: Option<TargetCount>,
    /// Time before which no other number is ordered.
    next: ClockTime,
    /// Since when fewer are listed than were ordered.
    short_since: Option<ClockTime>,
    /// Orders of that number that were repeated, as targets did not come.
    repeats: u32,
    /// Orders that failed since the last accepted one.
    failures: u32,
}

/// Numbers between which the number of a service's targets in a data centre stays.
#[derive(Debug, Clone, Copy)]
struct CountRange {
    least: TargetCount,
    most: TargetCount,
    /// Number to order if there are too few.
    rise_to: TargetCount,
    /// Number to order if there are too many.
    fall_to: TargetCount,
}

impl ScalePlanner {
    /// Keeps the plans of services with bounds, and adds those that are new.
    pub fn configure<'a>(
        &mut self,
        services: impl Iterator<Item = (&'a ServiceName, ScalingConfig)>,
    ) {
        let mut known = std::mem::take(&mut self.services);
        for (name, scaling) in services {
            let plan = known.remove(name).unwrap_or_else(|| ServicePlan::new(scaling));
            self.services.insert(name.clone(), ServicePlan { scaling, ..plan });
        }
    }

    /// Returns whether no service has bounds.
    pub fn is_empty(&self) -> bool {
        self.services.is_empty()
    }

    /// Returns the services whose need is to be sampled now.
    pub fn due_samples(&self, now: ClockTime) -> Vec<ServiceName> {
        let due = self.services.iter().filter(|(_, plan)| plan.is_sample_due(now));
        due.map(|(name, _)| name.clone()).collect()
    }

    /// Adds a sample of a service's need.
    pub fn add_sample(&mut self, now: ClockTime, service: &ServiceName, sample: &ScaleSample) {
        if let Some(plan) = self.services.get_mut(service) {
            plan.add_sample(now, sample);
        }
    }

    /// Forgets the samples, which an entry took that did not know its peers' load.
    pub fn forget_samples(&mut self) {
        for plan in self.services.values_mut() {
            plan.needs.clear();
            plan.need = None;
        }
    }

    /// Forgets the orders of an earlier claim.
    pub fn forget_orders(&mut self) {
        for plan in self.services.values_mut() {
            for centre in plan.data_centres.values_mut() {
                *centre = CentrePlan { listed: centre.listed, ..CentrePlan::default() };
            }
        }
    }

    /// Returns the next order, if one is needed.
    pub fn next_order(&self, now: ClockTime, fence: OrderFencingToken) -> Option<ScaleOrder> {
        self.services.iter().find_map(|(service, plan)| {
            let (data_centre, targets) = plan.next_order(now)?;
            Some(ScaleOrder { service: service.clone(), data_centre, targets, fence })
        })
    }

    /// Records how an order ended.
    pub fn order_ended(&mut self, now: ClockTime, order: &ScaleOrder, outcome: PostOutcome) {
        let plan = self.services.get_mut(&order.service);
        let Some(plan) = plan else { return };
        let start_time = plan.scaling.start_time;
        let centre = plan.data_centres.get_mut(&order.data_centre);
        let Some(centre) = centre else { return };
        match outcome {
            PostOutcome::Accepted => {
                centre.accepted(order.targets);
                centre.next = now.saturating_add(start_time);
            }
            PostOutcome::Refused
            | PostOutcome::NoAnswer
            | PostOutcome::CheckExpired
            | PostOutcome::NoStore
            | PostOutcome::NotFixed
            | PostOutcome::Superseded => centre.failed(now),
        }
    }
}

impl CentrePlan {
    fn accepted(&mut self, targets: TargetCount) {
        let is_repeat = self.ordered == Some(targets);
        self.repeats = if is_repeat { self.repeats.saturating_add(1) } else { 0 };
        self.ordered = Some(targets);
        self.failures = 0;
        self.short_since = None;
    }

    fn failed(&mut self, now: ClockTime) {
        let (shortest, longest) = RETRY_PAUSES;
        let pause = shortest.saturating_mul(1 << self.failures.min(8)).min(longest);
        self.failures = self.failures.saturating_add(1);
        // Whether it was carried out is not known.
        self.ordered = None;
        self.next = now + pause;
    }

    /// Returns the number that is there or comes.
    fn expected(&self) -> TargetCount {
        self.ordered.unwrap_or(self.listed)
    }

    fn note_listed(&mut self, now: ClockTime, listed: TargetCount) {
        self.listed = listed;
        if listed >= self.expected() {
            self.short_since = None;
            self.repeats = 0;
        } else {
            self.short_since.get_or_insert(now);
        }
    }

    /// Returns whether targets that were ordered have not come for longer than they take, which
    /// doubles with each repeated order.
    fn is_overdue(&self, now: ClockTime, start_time: Duration) -> bool {
        let wait = start_time.saturating_add(REGISTRATION_TIME);
        let wait = wait.saturating_mul(1 << self.repeats.min(MAX_DOUBLINGS));
        self.short_since.is_some_and(|since| now.saturating_sub(since) >= wait)
    }

    /// Returns the number to order, if it is to change, or targets that were ordered have not come.
    fn order(
        &self,
        now: ClockTime,
        range: &CountRange,
        start_time: Duration,
    ) -> Option<TargetCount> {
        let expected = self.expected();
        let wanted = if expected < range.least {
            range.rise_to.max(range.least)
        } else if expected > range.most.max(range.least) {
            range.fall_to.min(range.most).max(range.least)
        } else if self.is_overdue(now, start_time) {
            expected
        } else {
            return None;
        };
        (now >= self.next).then_some(wanted)
    }
}

impl ServicePlan {
    fn new(scaling: ScalingConfig) -> ServicePlan {
        ServicePlan {
            scaling,
            need: None,
            needs: VecDeque::new(),
            samples: VecDeque::new(),
            began: ClockTime::ZERO,
            data_centres: BTreeMap::new(),
        }
    }

    /// Returns the time that demand has to last before it is followed.
    fn lasting_time(&self) -> Duration {
        self.scaling.start_time.max(MIN_LASTING_TIME)
    }

    /// Returns the time that a peak has to be over before targets are taken away.
    fn time_after_peak(&self) -> Duration {
        self.lasting_time().saturating_mul(STARTS_AFTER_PEAK).max(MIN_TIME_AFTER_PEAK)
    }

    fn sample_interval(&self) -> Duration {
        (self.lasting_time() / SAMPLES_PER_LASTING_TIME).max(MIN_SAMPLE_INTERVAL)
    }

    fn is_sample_due(&self, now: ClockTime) -> bool {
        self.needs.back().is_none_or(|(at, _)| now >= *at + self.sample_interval())
    }

    fn add_sample(&mut self, now: ClockTime, sample: &ScaleSample) {
        let gap = self.sample_interval().saturating_mul(GAP_INTERVALS);
        if self.needs.back().is_some_and(|(at, _)| now > *at + gap) {
            self.needs.clear();
            self.need = None;
        }
        if self.needs.is_empty() {
            self.began = now;
        }
        let sampled = self.sampled_need(sample);
        let known = self.need.unwrap_or(sampled);
        let need = known + (sampled - known) / AVERAGED_SAMPLES as f32;
        self.need = Some(need);
        self.needs.push_back((now, need));
        self.samples.push_back(sampled);
        let excess = self.samples.len().saturating_sub(AVERAGED_SAMPLES);
        self.samples.drain(..excess);
        let oldest = now.saturating_sub(self.time_after_peak());
        while self.needs.front().is_some_and(|(at, _)| *at < oldest) {
            self.needs.pop_front();
        }
        // A data centre that has lost all of its targets still is one of the service's.
        for data_centre in sample.listed.keys() {
            self.data_centres.entry(data_centre.clone()).or_default();
        }
        for (data_centre, centre) in &mut self.data_centres {
            centre.note_listed(now, sample.listed.get(data_centre).copied().unwrap_or(0));
        }
    }

    /// Returns the need that a sample stands for. One that may be higher leads to no fall.
    fn sampled_need(&self, sample: &ScaleSample) -> f32 {
        let Some(need) = sample.need else {
            return self.need.unwrap_or(MIN_TARGETS);
        };
        if !sample.may_be_more {
            return need.max(MIN_TARGETS);
        }
        let listed = sample.listed.values().map(|count| *count as f32).sum();
        need.max(listed).max(self.need.unwrap_or(MIN_TARGETS))
    }

    /// Returns the needs of the last `time`, or `None` if samples do not go back so far.
    fn needs_within(&self, now: ClockTime, time: Duration) -> Option<impl Iterator<Item = f32>> {
        let first = now.checked_sub(time).filter(|first| self.began <= *first)?;
        let within = self.needs.iter().filter(move |(at, _)| *at >= first);
        Some(within.map(|(_, need)| *need))
    }

    fn next_order(&self, now: ClockTime) -> Option<(DataCentreId, TargetCount)> {
        let (rise_time, fall_time) = (self.lasting_time(), self.time_after_peak());
        // The average is high for some time after a burst has ended.
        let newest = self.samples.iter().copied().reduce(f32::max)?;
        let lowest = |time| Some(self.needs_within(now, time)?.reduce(f32::min)?.min(newest));
        let highest = |time| self.needs_within(now, time)?.reduce(f32::max);
        // The others make up for targets that do not come.
        let ScalingConfig { min, max, start_time } = self.scaling;
        let bounds = |centre: &CentrePlan| {
            let is_short = centre.repeats > 0 || centre.is_overdue(now, start_time);
            (min, if is_short { centre.listed.clamp(min, max) } else { max })
        };
        let bounds: Vec<_> = self.data_centres.values().map(bounds).collect();
        let all_bounds = vec![(min, max); bounds.len()];
        let least = divide_targets(lowest(rise_time)?, &bounds);
        let rise_to = divide_targets(lowest(rise_time / 2)?, &bounds);
        let most = divide_targets(highest(fall_time).unwrap_or(f32::INFINITY), &all_bounds);
        let fall_to = highest(fall_time / 2).unwrap_or(f32::INFINITY);
        let fall_to = divide_targets(fall_to, &all_bounds);
        // Targets stay in one data centre until those that replace them in another are there.
        let mut centres = self.data_centres.values().zip(&least);
        let is_rising = centres.any(|(centre, least)| centre.listed < *least);
        let ranges = least.into_iter().zip(most).zip(rise_to.into_iter().zip(fall_to));
        let ranges = ranges.map(|((least, most), (rise_to, fall_to))| CountRange {
            least,
            most: if is_rising { TargetCount::MAX } else { most },
            rise_to,
            fall_to,
        });
        self.data_centres.iter().zip(ranges).find_map(|((name, centre), range)| {
            Some((name.clone(), centre.order(now, &range, start_time)?))
        })
    }
}

/// Divides targets equally among data centres, each with a smallest and a largest number.
pub fn divide_targets(need: f32, bounds: &[(TargetCount, TargetCount)]) -> Vec<TargetCount> {
    // Saturates where the need is not finite.
    let need = need.ceil() as u64;
    let sum_at = |level: TargetCount| -> u64 {
        bounds.iter().map(|(min, max)| u64::from(level.clamp(*min, *max))).sum()
    };
    // The largest equal number of which the sum does not exceed the need.
    let (mut level, mut high) = (0, TargetCount::MAX);
    while level < high {
        let middle = level + (high - level).div_ceil(2);
        if sum_at(middle) <= need { level = middle } else { high = middle - 1 }
    }
    let mut rest = need.saturating_sub(sum_at(level));
    let counts = bounds.iter().map(|(min, max)| {
        let takes_more = rest > 0 && level >= *min && level < *max;
        rest -= u64::from(takes_more);
        level.clamp(*min, *max) + TargetCount::from(takes_more)
    });
    counts.collect()
}
