//! Guards against a demo whose load exceeds what its engines can serve.
//!
//! With six slow engines the demo offered more than their whole capacity, and up to forty
//! requests were refused or late.

use std::time::Duration;

use emulator::{demo, workload::Deployment};

/// Largest fraction of the engines' capacity that the demo may use.
const MAX_LOAD_SHARE: f64 = 0.5;
const SECONDS: u64 = 12;

#[test]
fn demo_uses_at_most_half_of_engine_capacity() {
    for deployment in [Deployment::Highway, Deployment::Honey] {
        for seed in 1..20 {
            let requests = demo::requests(deployment, seed, SECONDS);
            let time = Duration::from_secs(SECONDS);
            let share = deployment.load_share(&requests, demo::ENGINES, time);
            assert!(share <= MAX_LOAD_SHARE, "{deployment} seed {seed}: {share:.2}");
        }
    }
}
