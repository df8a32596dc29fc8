//! The prefill rate must stay near the engine's when short prompts overtake a long one.
//!
//! The time of the long prompt used to count from the end of the last short one only, so that
//! the rate rose to 84,695 tokens a second of 6,000.

use std::time::Duration;

use sapphirewell::side::SpeedEstimate;

/// Prompt tokens that the modelled engine reads per second.
const ENGINE_RATE: f32 = 6000.0;

#[test]
fn the_time_before_short_prompts_overtook_a_long_one_counts() {
    let mut speed = SpeedEstimate::default();
    let mut now = Duration::from_secs(1);
    let prefill_time = |tokens: u32| Duration::from_secs_f32(tokens as f32 / ENGINE_RATE);
    for _ in 0..10 {
        let long_started = now;
        for _ in 0..10 {
            now += prefill_time(2700);
            let short_started = now;
            now += prefill_time(300);
            speed.record_prefill(now, short_started, 300);
        }
        now += prefill_time(300);
        speed.record_prefill(now, long_started, 27_300);
    }
    let rate = speed.prefill_rate();
    assert!((ENGINE_RATE * 0.8..ENGINE_RATE * 1.2).contains(&rate), "{rate}");
}

#[test]
fn the_time_without_prefill_does_not_count() {
    let mut speed = SpeedEstimate::default();
    let mut now = Duration::from_secs(1);
    for _ in 0..40 {
        now += Duration::from_secs(1);
        let started = now;
        now += Duration::from_secs_f32(3000.0 / ENGINE_RATE);
        speed.record_prefill(now, started, 3000);
    }
    let rate = speed.prefill_rate();
    assert!((ENGINE_RATE * 0.8..ENGINE_RATE * 1.2).contains(&rate), "{rate}");
}
