//! Runs every scenario file in tests/scenarios on the rig under several seeds.

use emulator::scenario::{self, ScenarioError};

const SEEDS: std::ops::Range<u64> = 1..4;

#[test]
fn every_scenario_meets_its_expectations() {
    let folder = concat!(env!("CARGO_MANIFEST_DIR"), "/../tests/scenarios");
    let mut files: Vec<_> =
        std::fs::read_dir(folder).unwrap().map(|entry| entry.unwrap().path()).collect();
    files.sort();
    let mut failures = Vec::new();
    for file in &files {
        let text = std::fs::read_to_string(file).unwrap();
        for seed in SEEDS {
            if let Err(error) = scenario::run(&text, seed) {
                failures
                    .push(format!("{} seed {seed}: {error}", file.file_name().unwrap().display()));
            }
        }
    }
    println!("{} scenarios, {} failures", files.len(), failures.len());
    assert!(failures.is_empty(), "{}", failures.join("\n"));
    assert!(files.len() >= 10);
}

#[test]
fn a_syntax_error_names_its_line() {
    assert_eq!(scenario::run("run 1s\nexplode side 1", 1), Err(ScenarioError::Syntax { line: 2 }));
}

#[test]
fn an_unmet_expectation_names_its_line() {
    let result = scenario::run("run 1s\n\nexpect whole note >= 1", 1);
    assert!(matches!(result, Err(ScenarioError::NotMet { line: 3, .. })), "{result:?}");
}
