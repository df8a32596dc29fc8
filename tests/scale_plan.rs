//! The number of a service's targets follows demand that lasts, in few orders.

use std::{collections::BTreeMap, time::Duration};

use sapphirewell::{
    direct::{
        PostOutcome, RefusalMeter, ScaleOrder, ScalePlanner, ScaleSample, ScalingConfig,
        TargetCount, divide_targets, room_needed,
    },
    ids::DataCentreId,
};
use yare::parameterized;

const SERVICE: &str = "service";
const START_TIME: Duration = Duration::from_secs(10);
const SCALING: ScalingConfig = ScalingConfig { min: 1, max: 6, start_time: START_TIME };
const STEP: Duration = Duration::from_millis(250);
/// Need before and after a phase, which two targets in each of two data centres serve.
const USUAL_NEED: f32 = 3.6;
/// Start of a phase with another need.
const PHASE: u64 = 100;

const fn seconds(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

/// Platform that carries out orders as it starts targets, or fails them.
struct StandInPlatform {
    planner: ScalePlanner,
    now: Duration,
    listed: BTreeMap<DataCentreId, TargetCount>,
    /// Targets that start, and when they serve.
    starting: Vec<(Duration, DataCentreId, TargetCount)>,
    /// Data centre in which no target comes.
    without_room: Option<&'static str>,
    outcome: PostOutcome,
    /// Time and content of each order.
    orders: Vec<(Duration, String, TargetCount)>,
}

impl StandInPlatform {
    fn new(scaling: ScalingConfig) -> StandInPlatform {
        let mut planner = ScalePlanner::default();
        planner.configure([(&SERVICE.into(), scaling)].into_iter());
        StandInPlatform {
            planner,
            now: Duration::ZERO,
            listed: [("a".into(), 2), ("b".into(), 2)].into(),
            starting: Vec::new(),
            without_room: None,
            outcome: PostOutcome::Accepted,
            orders: Vec::new(),
        }
    }

    fn run(&mut self, time: Duration, need: f32) {
        self.run_samples(time, Some(need), false);
    }

    fn run_samples(&mut self, time: Duration, need: Option<f32>, may_be_more: bool) {
        let end = self.now + time;
        while self.now < end {
            self.now += STEP;
            self.start_targets();
            for service in self.planner.due_samples(self.now) {
                let sample = ScaleSample { need, may_be_more, listed: self.listed.clone() };
                self.planner.add_sample(self.now, &service, &sample);
            }
            if let Some(order) = self.planner.next_order(self.now, 1) {
                self.carry_out(&order);
            }
        }
    }

    fn start_targets(&mut self) {
        let now = self.now;
        for (_, data_centre, count) in self.starting.extract_if(.., |(at, ..)| *at <= now) {
            *self.listed.entry(data_centre).or_default() = count;
        }
    }

    fn carry_out(&mut self, order: &ScaleOrder) {
        let ScaleOrder { data_centre, targets, .. } = order.clone();
        self.orders.push((self.now, data_centre.to_string(), targets));
        let is_known = self.outcome == PostOutcome::Accepted;
        let has_room = self.without_room != Some(&*data_centre);
        if is_known && has_room {
            let takes =
                if targets < self.listed[&data_centre] { Duration::ZERO } else { START_TIME };
            self.starting.push((self.now + takes, data_centre, targets));
        }
        self.planner.order_ended(self.now, order, self.outcome);
    }

    fn targets(&self) -> Vec<TargetCount> {
        self.listed.values().copied().collect()
    }

    fn orders_of(&self, data_centre: &str) -> Vec<TargetCount> {
        let orders = self.orders.iter().filter(|(_, name, _)| name == data_centre);
        orders.map(|(.., targets)| *targets).collect()
    }
}

/// Load: need in a phase, the phase's length in seconds, and the numbers ordered for each data
/// centre until four minutes after it.
struct PhaseCase {
    need: f32,
    lasts: u64,
    orders: &'static [TargetCount],
}

#[parameterized(
    steady = { PhaseCase { need: USUAL_NEED, lasts: 60, orders: &[] } },
    short_burst = { PhaseCase { need: 12.0, lasts: 8, orders: &[] } },
    short_lull = { PhaseCase { need: 0.5, lasts: 50, orders: &[] } },
    lasting_peak = { PhaseCase { need: 7.5, lasts: 60, orders: &[4, 2] } },
    peak_beyond_the_limit = { PhaseCase { need: 50.0, lasts: 60, orders: &[6, 2] } },
    lasting_lull = { PhaseCase { need: 0.5, lasts: 120, orders: &[1, 2] } },
)]
fn the_number_follows_what_lasts(case: PhaseCase) {
    let mut platform = StandInPlatform::new(SCALING);
    platform.run(seconds(PHASE), USUAL_NEED);
    assert_eq!(platform.orders, []);
    platform.run(seconds(case.lasts), case.need);
    platform.run(seconds(240), USUAL_NEED);
    for data_centre in ["a", "b"] {
        assert_eq!(platform.orders_of(data_centre), case.orders, "{:?}", platform.orders);
    }
    assert_eq!(platform.targets(), [2, 2]);
}

/// A service that nobody uses keeps a target, so that its first request is served.
#[parameterized(
    none_needed = { 0, &[1, 0] },
    one_in_each = { 1, &[1, 1] },
)]
fn an_idle_service_keeps_a_target(min: TargetCount, expected: &[TargetCount]) {
    let mut platform = StandInPlatform::new(ScalingConfig { min, ..SCALING });
    platform.run(seconds(300), 0.0);
    assert_eq!(platform.targets(), expected, "{:?}", platform.orders);
}

/// Its only target is not taken away before the one that is to be elsewhere serves.
#[test]
fn the_last_target_stays_until_another_serves() {
    let mut platform = StandInPlatform::new(ScalingConfig { min: 0, ..SCALING });
    platform.listed = [("a".into(), 0), ("b".into(), 1)].into();
    for _ in 0..300 {
        platform.run(seconds(1), 0.0);
        assert!(platform.targets().iter().sum::<TargetCount>() >= 1, "{:?}", platform.orders);
    }
}

/// All targets end at once, and nothing tells the need any more.
#[parameterized(
    needed_by_none = { 0, 0.0, &[1, 0] },
    needed_before = { 0, USUAL_NEED, &[2, 2] },
    least = { 3, USUAL_NEED, &[3, 3] },
)]
fn targets_that_are_all_lost_are_ordered_again(
    min: TargetCount,
    need: f32,
    expected: &[TargetCount],
) {
    let mut platform = StandInPlatform::new(ScalingConfig { min, ..SCALING });
    platform.run(seconds(300), need);
    platform.listed.values_mut().for_each(|count| *count = 0);
    platform.planner.forget_orders();
    platform.run_samples(seconds(120), None, false);
    assert_eq!(platform.targets(), expected, "{:?}", platform.orders);
}

/// Few requests run while most fail, or not all of them are known.
#[test]
fn a_need_that_may_be_higher_takes_no_targets_away() {
    let mut platform = StandInPlatform::new(SCALING);
    platform.run(seconds(PHASE), USUAL_NEED);
    platform.run_samples(seconds(600), Some(0.0), true);
    assert_eq!(platform.orders, []);
    platform.run(seconds(120), 0.0);
    assert_eq!(platform.targets(), [1, 1]);
}

/// A peak each half minute keeps the targets that it needs.
#[test]
fn a_peak_that_recurs_keeps_its_targets() {
    let mut platform = StandInPlatform::new(SCALING);
    platform.run(seconds(PHASE), USUAL_NEED);
    for _ in 0..10 {
        platform.run(seconds(20), 7.5);
        platform.run(seconds(20), USUAL_NEED);
    }
    assert_eq!(platform.orders_of("a"), [4]);
    assert_eq!(platform.targets(), [4, 4]);
}

/// New targets serve within three starts of the beginning of a peak.
#[test]
fn a_lasting_peak_is_served_soon() {
    let mut platform = StandInPlatform::new(SCALING);
    platform.run(seconds(PHASE), USUAL_NEED);
    platform.run(seconds(30), 7.5);
    assert_eq!(platform.targets(), [4, 4]);
}

/// Targets that do not come are ordered again, ever more rarely, and the other data centre has
/// more of them meanwhile.
#[test]
fn targets_that_do_not_come_are_made_up_for() {
    let mut platform = StandInPlatform::new(SCALING);
    platform.run(seconds(PHASE), USUAL_NEED);
    platform.without_room = Some("a");
    platform.run(seconds(600), 7.5);
    assert_eq!(platform.targets(), [2, 6]);
    let times: Vec<Duration> =
        platform.orders.iter().filter(|(_, name, _)| name == "a").map(|(at, ..)| *at).collect();
    assert!((3..=7).contains(&times.len()), "{:?}", platform.orders);
    let pauses: Vec<Duration> = times.windows(2).map(|pair| pair[1] - pair[0]).collect();
    assert!(pauses.is_sorted_by(|a, b| a < b), "{pauses:?}");
    platform.without_room = None;
    platform.run(seconds(900), 7.5);
    assert_eq!(platform.targets(), [4, 4], "{:?}", platform.orders);
}

/// A target that crashes and comes back is not ordered again.
#[test]
fn a_short_loss_of_targets_leads_to_no_order() {
    let mut platform = StandInPlatform::new(SCALING);
    platform.run(seconds(PHASE), USUAL_NEED);
    platform.run(seconds(60), 7.5);
    let orders = platform.orders.len();
    platform.listed.insert("a".into(), 1);
    platform.run(seconds(12), 7.5);
    platform.listed.insert("a".into(), 4);
    platform.run(seconds(30), 7.5);
    assert_eq!(platform.orders.len(), orders);
}

#[parameterized(
    refused = { PostOutcome::Refused },
    no_answer = { PostOutcome::NoAnswer },
    no_store = { PostOutcome::NoStore },
    check_expired = { PostOutcome::CheckExpired },
)]
fn a_failed_order_is_repeated_after_rising_pauses(outcome: PostOutcome) {
    let mut platform = StandInPlatform::new(SCALING);
    platform.run(seconds(PHASE), USUAL_NEED);
    platform.outcome = outcome;
    platform.run(seconds(120), 7.5);
    let calls = platform.orders_of("a").len();
    assert!((5..=9).contains(&calls), "{calls} calls in two minutes");
    platform.outcome = PostOutcome::Accepted;
    platform.run(seconds(90), 7.5);
    assert_eq!(platform.targets(), [4, 4]);
    // What is over in the meantime is not ordered.
    platform.outcome = outcome;
    platform.run(seconds(30), 11.5);
    platform.run(seconds(60), 7.5);
    platform.outcome = PostOutcome::Accepted;
    platform.run(seconds(60), 7.5);
    assert_eq!(platform.targets(), [4, 4]);
}

/// The samples of one holder serve the next one, and its orders do not.
#[test]
fn another_holder_orders_what_is_missing() {
    let mut platform = StandInPlatform::new(SCALING);
    platform.run(seconds(PHASE), USUAL_NEED);
    platform.without_room = Some("a");
    platform.run(seconds(20), 7.5);
    assert_eq!(platform.orders_of("a"), [4]);
    platform.planner.forget_orders();
    platform.without_room = None;
    platform.run(seconds(1), 7.5);
    assert_eq!(platform.orders_of("a"), [4, 4]);
    platform.run(seconds(20), 7.5);
    assert_eq!(platform.targets(), [4, 4]);
}

/// An entry that was frozen does not take its old samples for lasting demand.
#[test]
fn samples_before_a_gap_do_not_count() {
    let mut platform = StandInPlatform::new(SCALING);
    platform.run(seconds(PHASE), USUAL_NEED);
    platform.run(seconds(5), 7.5);
    platform.now += seconds(30);
    platform.run(seconds(8), 7.5);
    assert_eq!(platform.orders, []);
}

/// Limits that change take effect, and a service without any is left alone.
#[test]
fn the_configuration_bounds_the_number() {
    let mut platform = StandInPlatform::new(SCALING);
    platform.run(seconds(PHASE), USUAL_NEED);
    let higher = ScalingConfig { min: 3, max: 6, start_time: START_TIME };
    platform.planner.configure([(&SERVICE.into(), higher)].into_iter());
    platform.run(seconds(30), USUAL_NEED);
    assert_eq!(platform.targets(), [3, 3]);
    platform.planner.configure(std::iter::empty());
    assert!(platform.planner.is_empty());
    platform.run(seconds(60), 50.0);
    assert_eq!(platform.targets(), [3, 3]);
}

type Bounds = &'static [(TargetCount, TargetCount)];

#[parameterized(
    equal = { 6.0, &[(1, 9), (1, 9), (1, 9)], &[2, 2, 2] },
    part_of_a_target = { 5.1, &[(1, 9), (1, 9)], &[3, 3] },
    rest_to_the_first = { 5.0, &[(1, 9), (1, 9)], &[3, 2] },
    smallest = { 0.0, &[(1, 9), (2, 9)], &[1, 2] },
    largest = { 50.0, &[(1, 4), (1, 9)], &[4, 9] },
    one_is_full = { 10.0, &[(1, 3), (1, 9)], &[3, 7] },
    not_finite = { f32::INFINITY, &[(0, 4), (1, 9)], &[4, 9] },
    not_a_number = { f32::NAN, &[(0, 4), (1, 9)], &[0, 1] },
    nowhere = { 3.0, &[], &[] },
)]
fn targets_are_divided_equally(need: f32, bounds: Bounds, expected: &[TargetCount]) {
    assert_eq!(divide_targets(need, bounds), expected);
}

#[parameterized(
    nothing = { 0.0, 0.0 },
    few = { 4.0, 8.0 },
    many = { 400.0, 440.0 },
    not_valid = { -1.0, 0.0 },
)]
fn room_is_left_for_random_arrivals(requests: f32, expected: f32) {
    assert!((room_needed(requests) - expected).abs() < 1e-3);
}

#[parameterized(
    none_came = { 0, 0, 1.0 },
    none_refused = { 30, 0, 1.0 },
    a_third_refused = { 30, 10, 1.5 },
    most_refused = { 30, 29, 2.0 },
    all_refused = { 30, 30, 2.0 },
)]
fn refused_requests_raise_the_need(offered: u32, refused: u32, expected: f32) {
    let mut meter = RefusalMeter::default();
    (0..offered).for_each(|_| meter.record_offer(seconds(5)));
    (0..refused).for_each(|_| meter.record_refusal());
    assert!((meter.factor() - expected).abs() < 0.01, "{}", meter.factor());
}

/// Callers whose requests fail come again, and those that have gone do not count for long.
#[parameterized(
    none_failed = { 30, 0, 0, false },
    few_failed = { 30, 1, 0, false },
    many_failed = { 30, 10, 0, true },
    all_failed = { 1, 1, 0, true },
    just_now = { 30, 30, 20, true },
    long_ago = { 30, 30, 120, false },
)]
fn an_outage_is_noticed_while_it_lasts(offered: u32, failed: u32, passed: u64, expected: bool) {
    let mut meter = RefusalMeter::default();
    (0..offered).for_each(|_| meter.record_offer(seconds(5)));
    (0..failed).for_each(|_| meter.record_failure());
    assert_eq!(meter.has_failures(seconds(5 + passed)), expected);
}
