//! Engines that all run prefill and decode, as at the start of the demo, must serve its load in
//! time.
//!
//! An engine that no request had measured looked slower than any measured one, so that the load
//! stayed at the few engines that happened to come first.

use std::time::Duration;

use emulator::{
    rig::RolePolicy,
    shift::{self, ShiftPolicy, ShiftSettings},
    workload::Deployment,
};
use yare::parameterized;

/// Part of a deployment's own load that the demo sends.
const DEMO_LOAD: f64 = 0.2;
const SEEDS: u64 = 10;

#[parameterized(highway = { Deployment::Highway }, honey = { Deployment::Honey })]
fn light_load_on_mixed_engines_is_in_time(deployment: Deployment) {
    let (mut offered, mut in_time) = (0, 0);
    for seed in 1..=SEEDS {
        let settings = ShiftSettings {
            deployment,
            policy: ShiftPolicy::Sapphirewell,
            seed,
            duration: Duration::from_secs(12),
            load: DEMO_LOAD,
        };
        let (report, _) = shift::run_once(&settings, RolePolicy::AllMixed);
        println!("seed {seed}: {} of {} in time", report.in_time, report.offered);
        offered += report.offered;
        in_time += report.in_time;
    }
    assert!(in_time * 100 >= offered * 94, "{in_time} of {offered}");
}
