//! The prefill rate must stay near the engine's when prompts end in the same step, or when
//! one was in the engine's cache without this side's knowledge.
//!
//! A single such prompt counts as read in no time and raises the rate by a factor of hundreds, so
//! that entries send all long prompts to that engine.

use std::time::Duration;

use sapphirewell::side::SpeedEstimate;
use yare::parameterized;

/// Prompt tokens that the modelled engine reads per second.
const ENGINE_RATE: f32 = 6000.0;

/// Reads `prompts` of `tokens` each, of which the last `together` of each group end within
/// `gap`, and returns the estimate.
fn estimate(prompts: u32, tokens: u32, together: u32, gap: Duration) -> f32 {
    let mut speed = SpeedEstimate::default();
    let mut now = Duration::from_secs(1);
    for _ in 0..prompts / together {
        let started = now;
        now += Duration::from_secs_f32((tokens * together) as f32 / ENGINE_RATE);
        for _ in 0..together {
            speed.record_prefill(now, started, tokens);
            now += gap;
        }
    }
    speed.prefill_rate()
}

#[parameterized(
    one_after_the_other = { 1, Duration::ZERO },
    two_in_a_step = { 2, Duration::from_micros(50) },
    four_in_a_step = { 4, Duration::from_micros(50) },
    two_at_the_same_instant = { 2, Duration::ZERO },
)]
fn the_rate_is_near_that_of_the_engine(together: u32, gap: Duration) {
    let rate = estimate(40, 500, together, gap);
    assert!((ENGINE_RATE * 0.8..ENGINE_RATE * 1.2).contains(&rate), "{rate}");
}

#[test]
fn a_prompt_in_the_engines_cache_does_not_count_as_speed() {
    let mut speed = SpeedEstimate::default();
    let mut now = Duration::from_secs(1);
    for _ in 0..20 {
        let started = now;
        now += Duration::from_secs(1);
        speed.record_prefill(now, started, 6000);
        speed.record_prefill(now + Duration::from_millis(1), now, 27_000);
        now += Duration::from_millis(2);
    }
    let rate = speed.prefill_rate();
    assert!((ENGINE_RATE * 0.5..ENGINE_RATE * 2.0).contains(&rate), "{rate}");
}
