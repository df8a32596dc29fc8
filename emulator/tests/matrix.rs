//! Checks that all rules hold under every fault at every protocol step, with the seeds that CI
//! runs.

use emulator::{
    matrix::{self, MatrixCell},
    rig::ProtocolStep,
};
use strum::IntoEnumIterator;

const SEEDS: std::ops::Range<u64> = 1..3;

fn assert_rules_hold(cells: Vec<MatrixCell>) {
    let summary = matrix::run_cells(cells);
    println!("{summary}");
    assert_eq!(summary.failed.len(), 0);
}

#[test]
fn rules_hold_under_single_faults() {
    assert_rules_hold(matrix::single_cells(SEEDS));
}

/// Runs every seventh cell of the pairs; `emulator matrix --pairs` runs them all.
#[test]
fn rules_hold_under_some_pairs_of_faults() {
    assert_rules_hold(matrix::pair_cells(1..2).into_iter().step_by(7).collect());
}

#[test]
fn every_step_is_reached_without_faults() {
    let mut rig = matrix::fleet(1);
    rig.offer(vec![matrix::poison_request()]);
    rig.run_until(std::time::Duration::from_secs(45));
    let missing: Vec<String> = ProtocolStep::iter()
        .filter(|step| !rig.has_reached(*step))
        .map(|step| step.to_string())
        .collect();
    println!("{:?}", rig.breaches());
    assert_eq!(missing, ["drain_begun"], "a fault matrix cell without its step proves nothing");
    assert_eq!(rig.breaches(), []);
}
