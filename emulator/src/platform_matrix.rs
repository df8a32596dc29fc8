//! The platform's fault matrix: injects every fault at every step and checks all rules.

use std::time::Duration;

use sapphirewell::{direct::TargetStage, ids::ClockTime};
use strum::IntoEnumIterator;

use crate::platform_rig::{
    CallerKey, DriverDefect, OfferedRequest, PlatformBreach, PlatformFault, PlatformRig,
    PlatformSettings, PlatformSite, PlatformStep, PlatformTrigger, RequestClass, TargetPlan,
};

/// Time from which a step triggers the faults; by then the fleet has started and serves.
const FAULTS_FROM: ClockTime = Duration::from_secs(5);
/// Span of time in which callers send requests.
const LOAD_SPAN: (ClockTime, ClockTime) = (Duration::from_millis(1500), Duration::from_secs(30));
/// Time from which requests must be served again.
const RECOVERY_TIME: ClockTime = Duration::from_secs(26);
/// Time at which a cell ends.
const END_TIME: ClockTime = Duration::from_secs(38);
/// Number of entries at the start of a cell.
const ENTRIES: usize = 3;

/// Cell of the matrix: one or two faults, injected together at a step.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlatformCell {
    /// Faults to inject.
    pub faults: Vec<PlatformFault>,
    /// Step at which the faults are injected.
    pub step: PlatformStep,
    /// Seed of all random choices.
    pub seed: u64,
    /// Whether the configurations have customers, whose usage is reported.
    pub has_customers: bool,
    /// Defect injected into the entries' drivers, to check that the rules detect it.
    pub defect: Option<DriverDefect>,
}

/// Result of one cell.
#[derive(Debug, Clone)]
pub struct PlatformCellResult {
    /// Cell that ran.
    pub cell: PlatformCell,
    /// Whether the step was reached, so that the fault happened.
    pub reached: bool,
    /// Breaches of the rules; empty if the cell passed.
    pub breaches: Vec<PlatformBreach>,
}

/// Summary of the results of many cells.
#[derive(Debug, Clone, Default)]
pub struct PlatformSummary {
    /// Number of cells that ran.
    pub cells: usize,
    /// Number of cells whose step was reached.
    pub reached: usize,
    /// Results of the cells with breaches, in the order of the cells.
    pub failed: Vec<PlatformCellResult>,
}

/// Returns a cell for each step, fault and seed. Those of odd seeds have customers.
pub fn single_cells(seeds: impl Iterator<Item = u64> + Clone) -> Vec<PlatformCell> {
    cells(seeds, |fault| vec![vec![fault]])
}

/// Returns a cell for each step, pair of different faults and seed. Those of odd seeds have
/// customers.
pub fn pair_cells(seeds: impl Iterator<Item = u64> + Clone) -> Vec<PlatformCell> {
    cells(seeds, |first| {
        let others = PlatformFault::iter().filter(move |second| *second > first);
        others.map(|second| vec![first, second]).collect()
    })
}

fn cells(
    seeds: impl Iterator<Item = u64> + Clone,
    fault_sets: impl Fn(PlatformFault) -> Vec<Vec<PlatformFault>>,
) -> Vec<PlatformCell> {
    let mut cells = Vec::new();
    for step in PlatformStep::iter() {
        for faults in PlatformFault::iter().flat_map(&fault_sets) {
            let seeds = seeds.clone();
            for seed in seeds {
                let has_customers = !seed.is_multiple_of(2);
                if step.needs_customers() && !has_customers {
                    continue;
                }
                cells.push(PlatformCell {
                    faults: faults.clone(),
                    step,
                    seed,
                    has_customers,
                    defect: None,
                });
            }
        }
    }
    cells
}

/// Runs one cell.
pub fn run_cell(cell: &PlatformCell) -> PlatformCellResult {
    let mut rig = build_fleet(cell.seed, cell.has_customers, cell.defect);
    let faults = cell.faults.clone();
    rig.inject_at_step(PlatformTrigger { step: cell.step, after: FAULTS_FROM, faults });
    rig.run_until(END_TIME);
    PlatformCellResult {
        reached: rig.has_reached(cell.step),
        breaches: rig.breaches(RECOVERY_TIME),
        cell: cell.clone(),
    }
}

/// Runs cells on all cores; the order of the failed cells does not depend on timing.
pub fn run_cells(cells: &[PlatformCell]) -> PlatformSummary {
    let results = crate::cells::run_on_all_cores(cells, run_cell);
    PlatformSummary {
        cells: results.len(),
        reached: results.iter().filter(|result| result.reached).count(),
        failed: results.into_iter().filter(|result| !result.breaches.is_empty()).collect(),
    }
}

/// Builds a small fleet with its requests and with planned faults, which reach every step.
pub fn build_fleet(seed: u64, has_customers: bool, defect: Option<DriverDefect>) -> PlatformRig {
    let mut rig = PlatformRig::new(PlatformSettings {
        seed,
        entries: ENTRIES,
        targets: targets(),
        has_customers,
        defect,
    });
    rig.offer(requests(seed));
    for (millis, fault, entry, target) in PLANNED_FAULTS {
        rig.inject(Duration::from_millis(millis), fault, PlatformSite { entry, target });
    }
    rig
}

/// Planned faults and changes: time in milliseconds, fault, index of the entry and the target.
const PLANNED_FAULTS: [(u64, PlatformFault, usize, usize); 8] = [
    (5500, PlatformFault::AddEntry, 0, 0),
    (6000, PlatformFault::ChangeConfiguration, 0, 0),
    (6500, PlatformFault::AddTarget, 0, 7),
    (8000, PlatformFault::TargetLeaves, 0, 8),
    (9000, PlatformFault::StopEntry, 2, 0),
    (10_000, PlatformFault::TargetLeavesUnannounced, 0, 4),
    (10_500, PlatformFault::Burst, 0, 0),
    (11_300, PlatformFault::Burst, 0, 0),
];

fn targets() -> Vec<TargetPlan> {
    let plan = |name: &str, service: &str, stage, speed| TargetPlan {
        name: name.to_owned(),
        service: service.to_owned(),
        stage,
        speed,
        version: "v1".to_owned(),
    };
    let second = |plan: TargetPlan| TargetPlan { version: "v2".to_owned(), ..plan };
    // The prefill engines are slow, so that prompts queue and a decode engine is ordered to
    // prefill.
    vec![
        plan("reader-0", "llm", TargetStage::Prefill, 0.2),
        second(plan("reader-1", "llm", TargetStage::Prefill, 0.3)),
        plan("writer-0", "llm", TargetStage::Decode, 1.0),
        second(plan("writer-1", "llm", TargetStage::Decode, 1.6)),
        plan("writer-2", "llm", TargetStage::Decode, 1.0),
        second(plan("writer-3", "llm", TargetStage::Decode, 1.0)),
        plan("writer-4", "llm", TargetStage::Decode, 1.3),
        plan("tickets-0", "tickets", TargetStage::Plain, 1.0),
        plan("tickets-1", "tickets", TargetStage::Plain, 1.0),
        plan("ledger-0", "ledger", TargetStage::Plain, 1.0),
    ]
}

fn requests(seed: u64) -> Vec<OfferedRequest> {
    let classes = [
        RequestClass::Note,
        RequestClass::Ticket,
        RequestClass::Lookup,
        RequestClass::Dossier,
        RequestClass::Dossier,
        RequestClass::Ticket,
    ];
    let (first, last) = LOAD_SPAN;
    let mut calls = Vec::new();
    let mut at = first + Duration::from_millis(seed * 7 % 40);
    while at < last {
        let number = calls.len();
        calls.push(offered_request(
            at,
            classes[number % classes.len()],
            number as u64 % PREFIX_COUNT,
            CallerKey::of_request(number),
        ));
        at += Duration::from_millis(45);
    }
    // The same poison request is sent repeatedly.
    let poison = (0..8).map(|number| {
        let at = POISON_START + POISON_INTERVAL * number;
        offered_request(at, RequestClass::Poison, 9, CallerKey::Plain)
    });
    calls.extend(poison);
    calls
}

/// Number of prompt prefixes; coprime to the number of classes, so that each class uses
/// every prefix.
const PREFIX_COUNT: u64 = 37;
/// Time at which the poison request is first sent.
const POISON_START: ClockTime = Duration::from_millis(5500);
/// Interval at which the poison request is sent.
const POISON_INTERVAL: Duration = Duration::from_millis(1500);

fn offered_request(
    at: ClockTime,
    class: RequestClass,
    prefix_id: u64,
    key: CallerKey,
) -> OfferedRequest {
    let has_crashing_segment = false;
    OfferedRequest {
        at,
        class,
        prefix_id,
        key,
        has_crashing_segment,
        retries: 1,
        retries_at_once: false,
    }
}

impl std::fmt::Display for PlatformSummary {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        for result in &self.failed {
            writeln!(f, "{}: {:?}", result.cell, result.breaches)?;
        }
        write!(
            f,
            "platform matrix: {} cells, {} reached their step, {} failed",
            self.cells,
            self.reached,
            self.failed.len()
        )
    }
}

impl std::fmt::Display for PlatformCell {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let faults: Vec<String> = self.faults.iter().map(PlatformFault::to_string).collect();
        write!(f, "{} at {} seed {}", faults.join(" and "), self.step, self.seed)
    }
}
