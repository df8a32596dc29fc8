//! The fault matrix: every fault at every step, all rules checked in each cell.

use std::time::Duration;

use sapphirewell::{
    contract::{CustomerContract, KindRoute, RequestKind},
    entry::PlacementPolicy,
    ids::ClockTime,
    record::EngineRole,
    side::QueueOrder,
};
use strum::{Display, EnumIter, EnumString, IntoEnumIterator};

use crate::{
    cells::run_on_all_cores,
    engine::EngineProfile,
    rig::{
        FaultSite, LinkDirection, NodeId, ProtocolStep, Rig, RigFault, RigSettings, RolePolicy,
        RuleBreach, StepTrigger, TimedFault,
    },
    workload::OfferedRequest,
};

/// A kind of fault, applied to the processes that a step concerns.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Display, EnumIter, EnumString)]
#[strum(serialize_all = "snake_case")]
pub enum FaultKind {
    /// The side is killed and starts again.
    KillSide,
    /// The entry is killed and starts again.
    KillEntry,
    /// The side stands still for a while.
    FreezeSide,
    /// The entry stands still for a while.
    FreezeEntry,
    /// The side stands still, and its VM is replaced.
    ReplaceFrozenSide,
    /// Nothing passes from the entry to the side.
    CutToSide,
    /// Nothing passes from the side to the entry.
    CutToEntry,
    /// Nothing passes between them.
    CutBoth,
    /// The connection goes silent towards the side; a new one works.
    SilentToSide,
    /// The connection goes silent towards the entry; a new one works.
    SilentToEntry,
    /// The log refuses everything.
    LogDown,
    /// The log is slow.
    LogSlow,
    /// Appends take effect, and their answers are lost.
    AnswersLost,
    /// The side alone cannot reach the log.
    SideCutFromLog,
    /// The entry alone cannot reach the log.
    EntryCutFromLog,
    /// The target crashes.
    TargetCrash,
    /// One of the engine's streams drops.
    StreamDrop,
    /// One of the engine's streams ends early.
    StreamShort,
    /// The engine stands still.
    EngineStall,
    /// The answers of orders are lost.
    OrderAnswersLost,
    /// The side's clock runs fast by a tenth.
    SideClockFast,
    /// The entry's clock runs slow by a tenth.
    EntryClockSlow,
    /// Operators race each other.
    OperatorRace,
    /// The side is told to stop and is replaced.
    StopSide,
    /// The entry is told to stop and is replaced.
    StopEntry,
    /// The side's VM is announced as leaving.
    AnnounceVm,
    /// The side's VM is marked as leaving in the list.
    ListVm,
}

/// One cell: one or two faults at a step.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MatrixCell {
    /// The faults.
    pub faults: Vec<FaultKind>,
    /// The step.
    pub step: ProtocolStep,
    /// The seed.
    pub seed: u64,
}

/// What a cell showed.
#[derive(Debug, Clone)]
pub struct CellResult {
    /// The cell.
    pub cell: MatrixCell,
    /// Whether the step was reached, so that the fault happened.
    pub reached: bool,
    /// The breaches.
    pub breaches: Vec<RuleBreach>,
    /// Requests answered whole.
    pub answered: usize,
}

const OUTAGE: Duration = Duration::from_secs(3);
const START: Duration = Duration::from_secs(3);
const END: Duration = Duration::from_secs(55);
const TARGETS: usize = 5;
const ENGINES: usize = 3;
const SLOW_APPEND: Duration = Duration::from_millis(900);

impl FaultKind {
    /// Returns whether the fault is a planned change, which must cut nothing.
    pub fn is_planned(self) -> bool {
        matches!(
            self,
            FaultKind::StopSide
                | FaultKind::StopEntry
                | FaultKind::AnnounceVm
                | FaultKind::ListVm
                | FaultKind::OperatorRace
        )
    }

    /// Returns the faults with their delays.
    fn faults(self, site: FaultSite) -> Vec<(ClockTime, RigFault)> {
        let FaultSite { entry, side } = site;
        let now = Duration::ZERO;
        let (on_entry, on_side) = (NodeId::Entry(entry), NodeId::Side(side));
        let outage = |begin, end| vec![(now, begin), (OUTAGE, end)];
        let cut = |direction| {
            let begin = RigFault::CutLink(entry, side, direction, true);
            outage(begin, RigFault::CutLink(entry, side, direction, false))
        };
        match self {
            FaultKind::KillSide => outage(RigFault::Kill(on_side), RigFault::Start(on_side)),
            FaultKind::KillEntry => outage(RigFault::Kill(on_entry), RigFault::Start(on_entry)),
            FaultKind::FreezeSide => outage(RigFault::Freeze(on_side), RigFault::Thaw(on_side)),
            FaultKind::FreezeEntry => outage(RigFault::Freeze(on_entry), RigFault::Thaw(on_entry)),
            FaultKind::ReplaceFrozenSide => {
                outage(RigFault::Freeze(on_side), RigFault::ReplaceVm(on_side))
            }
            FaultKind::CutToSide => cut(LinkDirection::ToSide),
            FaultKind::CutToEntry => cut(LinkDirection::ToEntry),
            FaultKind::CutBoth => cut(LinkDirection::Both),
            FaultKind::SilentToSide => {
                vec![(now, RigFault::SilenceLink(entry, side, LinkDirection::ToSide))]
            }
            FaultKind::SilentToEntry => {
                vec![(now, RigFault::SilenceLink(entry, side, LinkDirection::ToEntry))]
            }
            FaultKind::LogDown => outage(RigFault::LogDown(true), RigFault::LogDown(false)),
            FaultKind::LogSlow => {
                outage(RigFault::LogSlow(SLOW_APPEND), RigFault::LogSlow(Duration::ZERO))
            }
            FaultKind::AnswersLost => {
                outage(RigFault::LoseAppendResponses(true), RigFault::LoseAppendResponses(false))
            }
            FaultKind::SideCutFromLog => {
                outage(RigFault::CutFromLog(on_side, true), RigFault::CutFromLog(on_side, false))
            }
            FaultKind::EntryCutFromLog => {
                outage(RigFault::CutFromLog(on_entry, true), RigFault::CutFromLog(on_entry, false))
            }
            FaultKind::TargetCrash if side < ENGINES => {
                vec![(now, RigFault::CrashEngine(side, OUTAGE))]
            }
            FaultKind::TargetCrash => vec![(now, RigFault::CrashService(side - ENGINES, OUTAGE))],
            FaultKind::StreamDrop => vec![(now, RigFault::DropStream(side.min(ENGINES - 1)))],
            FaultKind::StreamShort => vec![(now, RigFault::EndStreamEarly(side.min(ENGINES - 1)))],
            FaultKind::EngineStall => {
                vec![(now, RigFault::StallEngine(side.min(ENGINES - 1), OUTAGE))]
            }
            FaultKind::OrderAnswersLost => {
                let engine = side.min(ENGINES - 1);
                outage(
                    RigFault::LoseOrderResponses(engine, true),
                    RigFault::LoseOrderResponses(engine, false),
                )
            }
            FaultKind::SideClockFast => vec![(now, RigFault::SkewClock(on_side, 100_000))],
            FaultKind::EntryClockSlow => vec![(now, RigFault::SkewClock(on_entry, -100_000))],
            FaultKind::OperatorRace => {
                vec![(now, RigFault::RaceContract(Box::new(contract("south", 400))))]
            }
            FaultKind::StopSide => vec![(now, RigFault::Stop(on_side))],
            FaultKind::StopEntry => vec![(now, RigFault::Stop(on_entry))],
            FaultKind::AnnounceVm => vec![(now, RigFault::AnnounceVm(side))],
            FaultKind::ListVm => vec![(now, RigFault::ListVm(side))],
        }
    }
}

/// Returns all cells of single faults.
pub fn single_cells(seeds: impl Iterator<Item = u64> + Clone) -> Vec<MatrixCell> {
    let mut cells = Vec::new();
    for step in ProtocolStep::iter() {
        for fault in FaultKind::iter() {
            for seed in seeds.clone() {
                cells.push(MatrixCell { faults: vec![fault], step, seed });
            }
        }
    }
    cells
}

/// Returns all cells of two faults at once.
pub fn pair_cells(seeds: impl Iterator<Item = u64> + Clone) -> Vec<MatrixCell> {
    let mut cells = Vec::new();
    for step in ProtocolStep::iter() {
        for (index, first) in FaultKind::iter().enumerate() {
            for second in FaultKind::iter().skip(index + 1) {
                for seed in seeds.clone() {
                    cells.push(MatrixCell { faults: vec![first, second], step, seed });
                }
            }
        }
    }
    cells
}

/// Runs one cell.
pub fn run_cell(cell: &MatrixCell) -> CellResult {
    let faults = cell.faults.clone();
    let planned = faults.iter().all(|fault| fault.is_planned());
    let mut rig = fleet(cell.seed);
    if planned {
        rig.expect_no_cuts();
    } else {
        rig.offer(vec![poison()]);
    }
    let after = match cell.step {
        ProtocolStep::AttachSent | ProtocolStep::AttachRecorded => Duration::ZERO,
        _ => START,
    };
    rig.inject_at_step(StepTrigger {
        step: cell.step,
        after,
        faults: Box::new(move |site| faults.iter().flat_map(|fault| fault.faults(site)).collect()),
    });
    rig.run_until(END);
    let answered = rig.callers().iter().filter(|record| record.is_in_time()).count();
    let breaches = rig.breaches();
    let reached = rig.has_reached(cell.step);
    CellResult { cell: cell.clone(), reached, breaches, answered }
}

/// What many cells showed.
#[derive(Debug, Clone, Default)]
pub struct MatrixSummary {
    /// Cells that ran.
    pub cells: usize,
    /// Cells whose step was reached, so that their faults happened.
    pub reached: usize,
    /// Cells with breaches.
    pub failed: Vec<CellResult>,
}

impl std::fmt::Display for MatrixSummary {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        for result in &self.failed {
            writeln!(f, "{}: {:?}", result.cell, result.breaches)?;
        }
        write!(
            f,
            "matrix: {} cells, {} reached their step, {} failed",
            self.cells,
            self.reached,
            self.failed.len()
        )
    }
}

impl std::fmt::Display for MatrixCell {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let faults: Vec<String> = self.faults.iter().map(FaultKind::to_string).collect();
        write!(f, "{} at {} seed {}", faults.join(" and "), self.step, self.seed)
    }
}

/// Runs cells on all cores; the order of the failed ones does not depend on timing.
pub fn run_cells(cells: Vec<MatrixCell>) -> MatrixSummary {
    let mut results = run_on_all_cores(&cells, run_cell);
    results.sort_by_key(|result| (result.cell.step, result.cell.faults.clone(), result.cell.seed));
    MatrixSummary {
        cells: results.len(),
        reached: results.iter().filter(|result| result.reached).count(),
        failed: results.into_iter().filter(|result| !result.breaches.is_empty()).collect(),
    }
}

/// Returns the small fleet of the matrix with its requests and its planned work.
pub fn fleet(seed: u64) -> Rig {
    let mut rig = Rig::new(fleet_settings(seed));
    rig.offer(requests(seed));
    let planned = [
        (6000, RigFault::RaceContract(Box::new(contract("north", 300)))),
        (4000, RigFault::PlanRole(0, EngineRole::Prefill)),
        (4100, RigFault::PlanRole(1, EngineRole::Decode)),
    ];
    for (millis, fault) in planned {
        rig.inject(TimedFault { at: Duration::from_millis(millis), fault });
    }
    rig
}

/// Returns an engine of the small fleet.
pub fn engine(index: usize) -> EngineProfile {
    EngineProfile {
        name: format!("engine-{index}"),
        model: "assessor".to_owned(),
        pieces: 200,
        speed: 3.0,
        checks_fence: index == 0,
    }
}

/// Returns the settings of the small fleet.
pub fn fleet_settings(seed: u64) -> RigSettings {
    RigSettings {
        seed,
        entries: 2,
        engines: (0..ENGINES).map(engine).collect(),
        services: (ENGINES..TARGETS)
            .map(|index| (format!("tickets-{index}"), "tickets".to_owned()))
            .collect(),
        contracts: vec![contract("north", 300), contract("south", 300)],
        network_delay: Duration::from_micros(1500),
        caller_delay: Duration::from_millis(3),
        retention: Duration::from_secs(20),
        call_time: Duration::from_millis(150),
        placement: PlacementPolicy::EarliestEnd,
        queue_order: QueueOrder::Fair,
        roles: RolePolicy::AllMixed,
        callers_retry: true,
    }
}

/// Returns a contract of the matrix; `share` is in thousandths of the fleet.
pub fn contract(customer: &str, share: u32) -> CustomerContract {
    let engine_route = || KindRoute::Engine {
        model: "assessor".to_owned(),
        max_prompt_tokens: 40_000,
        max_output_tokens: 400,
    };
    let service_route = || KindRoute::Service { service: "tickets".to_owned() };
    let kind = |name: &str, route, deadline_ms, idempotent| RequestKind {
        name: name.to_owned(),
        route,
        priority: 1,
        deadline_ms,
        idempotent,
    };
    CustomerContract {
        customer: customer.into(),
        share_ppm: share * 1000,
        window_s: 3600,
        kinds: vec![
            kind("note", engine_route(), 12_000, true),
            kind("poison", engine_route(), 12_000, true),
            kind("ticket", service_route(), 4_000, false),
            kind("lookup", service_route(), 3_000, true),
        ],
    }
}

/// Returns a request of the matrix's contract.
pub fn request(at: Duration, customer: &str, kind: &str, number: u64) -> OfferedRequest {
    let is_call = matches!(kind, "ticket" | "lookup");
    OfferedRequest {
        at,
        customer: customer.into(),
        kind: kind.into(),
        is_call,
        key: (kind == "ticket").then_some(number),
        prompt_tokens: if is_call { 30 } else { 2000 },
        max_output_tokens: if is_call { 0 } else { 120 },
        prefix_group: number % 3,
        prefix_tokens: 512,
        deadline: Duration::from_millis(match kind {
            "ticket" => 4_000,
            "lookup" => 3_000,
            _ => 12_000,
        }),
    }
}

fn requests(seed: u64) -> Vec<OfferedRequest> {
    let mut requests = Vec::new();
    for index in 0..90 {
        let at = Duration::from_millis(2500 + 200 * index + seed * 7 % 50);
        let customer = if index % 3 == 0 { "south" } else { "north" };
        let kind = ["note", "ticket", "note", "lookup", "ticket"][index as usize % 5];
        requests.push(request(at, customer, kind, index));
        if kind == "ticket" && index % 2 == 0 {
            // The same key at the other entry at once.
            requests.push(request(at, customer, kind, index));
        }
    }
    requests
}

/// Returns the request that crashes each engine that runs it.
pub fn poison() -> OfferedRequest {
    request(Duration::from_secs(5), "south", "poison", 900)
}
