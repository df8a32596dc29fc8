//! The fault matrix: injects every fault at every protocol step and checks all rules in each cell.

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

/// A kind of fault, applied to the processes at which a step is reached.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Display, EnumIter, EnumString)]
#[strum(serialize_all = "snake_case")]
pub enum FaultKind {
    /// The side's process is killed and restarted after the outage.
    KillSide,
    /// The entry's process is killed and restarted after the outage.
    KillEntry,
    /// The side's process is frozen for the outage.
    FreezeSide,
    /// The entry's process is frozen for the outage.
    FreezeEntry,
    /// The side's process is frozen, and its VM is replaced after the outage.
    ReplaceFrozenSide,
    /// The path from the entry to the side is cut.
    CutToSide,
    /// The path from the side to the entry is cut.
    CutToEntry,
    /// The path between the entry and the side is cut in both directions.
    CutBoth,
    /// The connection drops all messages to the side; a new connection works.
    SilentToSide,
    /// The connection drops all messages to the entry; a new connection works.
    SilentToEntry,
    /// The log is unavailable to all.
    LogDown,
    /// Appends to the log and notices of new records are slow.
    LogSlow,
    /// Appends take effect, but their responses are lost.
    AnswersLost,
    /// Only the side cannot reach the log.
    SideCutFromLog,
    /// Only the entry cannot reach the log.
    EntryCutFromLog,
    /// The side's target crashes and is down for the outage.
    TargetCrash,
    /// One of the engine's streams breaks.
    StreamDrop,
    /// One of the engine's streams ends early, as if it were complete.
    StreamShort,
    /// The engine stalls for the outage.
    EngineStall,
    /// The engine's responses to role-change orders are lost.
    OrderAnswersLost,
    /// The side's clock runs 10% fast.
    SideClockFast,
    /// The entry's clock runs 10% slow.
    EntryClockSlow,
    /// Two operators change the same contract at the same time.
    OperatorRace,
    /// The side's process gets the stop signal, drains and is replaced.
    StopSide,
    /// The entry's process gets the stop signal, drains and is replaced.
    StopEntry,
    /// The side's VM is announced as leaving through the log.
    AnnounceVm,
    /// The side's VM is marked as leaving in the platform's VM list.
    ListVm,
}

/// One cell of the matrix: one or two faults, injected at a step under a seed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MatrixCell {
    /// The faults, injected together.
    pub faults: Vec<FaultKind>,
    /// The step that triggers the faults; only the attach steps count during start-up.
    pub step: ProtocolStep,
    /// Seed of the rig's random number generator.
    pub seed: u64,
}

/// Result of running one cell.
#[derive(Debug, Clone)]
pub struct CellResult {
    /// The cell that ran.
    pub cell: MatrixCell,
    /// Whether the step was reached at any time; if not, the faults were never injected.
    pub reached: bool,
    /// The breaches of rules that were found.
    pub breaches: Vec<RuleBreach>,
    /// Number of requests answered completely and in time.
    pub answered: usize,
}

const OUTAGE_TIME: Duration = Duration::from_secs(3);
const FIRST_FAULT_TIME: Duration = Duration::from_secs(3);
const END_TIME: Duration = Duration::from_secs(55);
const TARGET_COUNT: usize = 5;
const ENGINE_COUNT: usize = 3;
const SLOW_APPEND_DELAY: Duration = Duration::from_millis(900);

impl FaultKind {
    /// Returns whether the fault is a planned change, which must not interrupt requests.
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

    /// Returns the rig's faults with their delays after the step.
    fn timed_faults(self, site: FaultSite) -> Vec<(ClockTime, RigFault)> {
        let FaultSite { entry, side } = site;
        let now = Duration::ZERO;
        let (on_entry, on_side) = (NodeId::Entry(entry), NodeId::Side(side));
        let outage = |begin, end| vec![(now, begin), (OUTAGE_TIME, end)];
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
                outage(RigFault::LogSlow(SLOW_APPEND_DELAY), RigFault::LogSlow(Duration::ZERO))
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
            FaultKind::TargetCrash if side < ENGINE_COUNT => {
                vec![(now, RigFault::CrashEngine(side, OUTAGE_TIME))]
            }
            FaultKind::TargetCrash => {
                vec![(now, RigFault::CrashService(side - ENGINE_COUNT, OUTAGE_TIME))]
            }
            FaultKind::StreamDrop => vec![(now, RigFault::DropStream(side.min(ENGINE_COUNT - 1)))],
            FaultKind::StreamShort => {
                vec![(now, RigFault::EndStreamEarly(side.min(ENGINE_COUNT - 1)))]
            }
            FaultKind::EngineStall => {
                vec![(now, RigFault::StallEngine(side.min(ENGINE_COUNT - 1), OUTAGE_TIME))]
            }
            FaultKind::OrderAnswersLost => {
                let engine = side.min(ENGINE_COUNT - 1);
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

/// Returns a cell for every fault at every step under each seed.
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

/// Returns a cell for every pair of different faults at every step under each seed.
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

/// Runs one cell on a rig of its own.
pub fn run_cell(cell: &MatrixCell) -> CellResult {
    let faults = cell.faults.clone();
    let planned = faults.iter().all(|fault| fault.is_planned());
    let mut rig = fleet(cell.seed);
    if planned {
        rig.expect_no_cuts();
    } else {
        rig.offer(vec![poison_request()]);
    }
    let after = match cell.step {
        ProtocolStep::AttachSent | ProtocolStep::AttachRecorded => Duration::ZERO,
        _ => FIRST_FAULT_TIME,
    };
    rig.inject_at_step(StepTrigger {
        step: cell.step,
        after,
        faults: Box::new(move |site| {
            faults.iter().flat_map(|fault| fault.timed_faults(site)).collect()
        }),
    });
    rig.run_until(END_TIME);
    let answered = rig.callers().iter().filter(|record| record.is_in_time()).count();
    let breaches = rig.breaches();
    let reached = rig.has_reached(cell.step);
    CellResult { cell: cell.clone(), reached, breaches, answered }
}

/// Combined results of many cells.
#[derive(Debug, Clone, Default)]
pub struct MatrixSummary {
    /// Number of cells that ran.
    pub cells: usize,
    /// Number of cells whose step was reached.
    pub reached: usize,
    /// Results of the cells with breaches, ordered by step, faults and seed.
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

/// Runs cells on all cores; the order of the failed cells doesn't depend on thread timing.
pub fn run_cells(cells: Vec<MatrixCell>) -> MatrixSummary {
    let mut results = run_on_all_cores(&cells, run_cell);
    results.sort_by_key(|result| (result.cell.step, result.cell.faults.clone(), result.cell.seed));
    MatrixSummary {
        cells: results.len(),
        reached: results.iter().filter(|result| result.reached).count(),
        failed: results.into_iter().filter(|result| !result.breaches.is_empty()).collect(),
    }
}

/// Returns the matrix's small fleet with its requests, a contract change and two role changes
/// scheduled.
pub fn fleet(seed: u64) -> Rig {
    let mut rig = Rig::new(fleet_settings(seed));
    rig.offer(build_requests(seed));
    let scheduled = [
        (6000, RigFault::RaceContract(Box::new(contract("north", 300)))),
        (4000, RigFault::PlanRole(0, EngineRole::Prefill)),
        (4100, RigFault::PlanRole(1, EngineRole::Decode)),
    ];
    for (millis, fault) in scheduled {
        rig.inject(TimedFault { at: Duration::from_millis(millis), fault });
    }
    rig
}

/// Returns the profile of an engine of the small fleet; only the first checks fencing tokens.
pub fn engine(index: usize) -> EngineProfile {
    EngineProfile {
        name: format!("engine-{index}"),
        model: "assessor".to_owned(),
        kv_pages: 200,
        speed: 3.0,
        checks_fence: index == 0,
    }
}

/// Returns the settings of the matrix's small fleet: two entries, three engines, two runners.
pub fn fleet_settings(seed: u64) -> RigSettings {
    RigSettings {
        seed,
        entries: 2,
        engines: (0..ENGINE_COUNT).map(engine).collect(),
        services: (ENGINE_COUNT..TARGET_COUNT)
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

/// Returns a contract with the matrix's kinds; `share` is in thousandths of the fleet.
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

/// Returns a request of one of the matrix's kinds; `number` gives its key and prefix group.
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

fn build_requests(seed: u64) -> Vec<OfferedRequest> {
    let mut requests = Vec::new();
    for index in 0..90 {
        let at = Duration::from_millis(2500 + 200 * index + seed * 7 % 50);
        let customer = if index % 3 == 0 { "south" } else { "north" };
        let kind = ["note", "ticket", "note", "lookup", "ticket"][index as usize % 5];
        requests.push(request(at, customer, kind, index));
        if kind == "ticket" && index % 2 == 0 {
            // A duplicate with the same key at the same time, usually at the other entry.
            requests.push(request(at, customer, kind, index));
        }
    }
    requests
}

/// Returns a poison request, which crashes every engine that runs it.
pub fn poison_request() -> OfferedRequest {
    request(Duration::from_secs(5), "south", "poison", 900)
}
