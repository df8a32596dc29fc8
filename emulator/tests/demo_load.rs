//! The demo's load is one that its engines carry with ease.

use std::time::Duration;

use emulator::{demo, workload::Deployment};

/// Part of the engines' time that a calm load takes at most. With six slow engines
/// the demo offered more than all of it, and up to forty requests were refused or late.
const CALM: f64 = 0.5;
const SECONDS: u64 = 12;

#[test]
fn the_demos_load_is_calm() {
    for deployment in [Deployment::Highway, Deployment::Honey] {
        for seed in 1..20 {
            let requests = demo::requests(deployment, seed, SECONDS);
            let time = Duration::from_secs(SECONDS);
            let share = deployment.load_share(&requests, demo::ENGINES, time);
            assert!(share <= CALM, "{deployment} seed {seed}: {share:.2}");
        }
    }
}
