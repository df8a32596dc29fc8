//! How often entries read the store, by the bounds of a deployment.

use std::time::Duration;

use sapphirewell::{
    direct::{ReadSchedule, expiry_grace},
    platform::settings,
};
use yare::parameterized;

/// Longest wait of a read that the store accepts.
const LONGEST_WAIT: Duration = Duration::from_secs(30);

/// Returns the largest number of calls in a minute, for a topic whose reads find records at once.
fn calls(schedule: ReadSchedule) -> f64 {
    60.0 / schedule.pause.as_secs_f64()
}

/// Before, each entry read as often as a bound of 2 s asks for, whatever its bounds were.
#[parameterized(
    half_a_second = { 500 },
    one_second = { 1000 },
    two_seconds = { 2000 },
    three_seconds = { 3000 },
    four_seconds = { 4000 },
    ten_minutes = { 600_000 },
)]
fn reads_keep_the_bound_and_are_no_more_frequent(bound_ms: u64) {
    let bound = Duration::from_millis(bound_ms);
    for schedule in [ReadSchedule::of_configuration(bound), ReadSchedule::of_targets(bound)] {
        let longest = schedule.pause + schedule.poll_wait;
        assert!(longest < bound, "{longest:?}");
        assert!(schedule.poll_wait <= LONGEST_WAIT);
        assert!(schedule.pause >= Duration::from_millis(100));
    }
    let read = ReadSchedule::of_targets(bound);
    assert!(read.pause + expiry_grace(bound) < bound, "a target that left in an outage");
    let double = ReadSchedule::of_targets(2 * bound);
    assert!(calls(double) <= 0.51 * calls(ReadSchedule::of_targets(bound)));
}

#[test]
fn a_bound_of_nothing_does_not_read_without_pause() {
    let schedule = ReadSchedule::of_configuration(Duration::ZERO);
    assert_eq!(schedule.pause, Duration::from_millis(100));
}

const SETTINGS: &str = "node=n\nzone=z\nip=10.0.0.1\nlisten.front=10.0.0.1:1\n\
    listen.ready=10.0.0.1:2\ninternal_ports=3,4\nplatform.address=10.0.0.2:1\n";

#[parameterized(
    absent = { "", 2000, 2000 },
    of_a_large_deployment = { "bounds.drain_ms=4000\nbounds.config_apply_ms=3000\n", 4000, 3000 },
)]
fn bounds_come_from_the_settings(lines: &str, drain_ms: u64, configuration_ms: u64) {
    let settings = settings::parse(&format!("{SETTINGS}{lines}")).unwrap();
    assert_eq!(settings.drain_bound, Duration::from_millis(drain_ms));
    assert_eq!(settings.configuration_bound, Duration::from_millis(configuration_ms));
}

/// A number too large for a time ended the process.
#[parameterized(
    grace = { "bounds.grace_s=1e300" },
    lease = { "bounds.lease_ms=1e300" },
    negative = { "bounds.drain_ms=-1" },
)]
fn a_time_out_of_range_is_an_error(line: &str) {
    let errors = settings::parse(&format!("{SETTINGS}{line}\n")).unwrap_err();
    assert_eq!(errors.len(), 1, "{errors:?}");
}
