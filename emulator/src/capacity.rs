//! Measures the slopes that docs/CAPACITY.md is worked out from.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use sapphirewell::{
    claim::{ClaimEvent, ClaimKey},
    entry::{EntryAction, EntryEvent, EntryMachine, EntrySettings, PlacementPolicy},
    fold::{FleetState, StoredRecord},
    frame::{self, EntryFrame, LinkFrame, SideFrame, TargetLoad},
    ids::{AttemptId, RequestId},
    operator,
    record::{ClaimBatch, EngineRole, LogRecord, SideAttachment, TargetDescription, TargetOffer},
    request::CallerRequest,
};
use serde::Serialize;

use crate::{matrix, rig::LOG_EPOCH};

/// One measured slope.
#[derive(Debug, Clone, Serialize)]
pub struct SlopePoint {
    /// What was measured.
    pub name: &'static str,
    /// Size at which it was measured.
    pub size: usize,
    /// The figure.
    pub value: f64,
    /// Its unit.
    pub unit: &'static str,
}

const TARGETS_PER_SIDE: usize = 4;
const DECISIONS: usize = 4000;
const CONTRACTS: usize = 38_000;
const CLAIMS: usize = 100_000;

/// Measures all slopes.
pub fn measure() -> Vec<SlopePoint> {
    // The first part of each function keeps its state alive, since freed memory
    // would hide the next one's.
    let mut points = claim_points();
    points.extend(fold_points());
    for targets in [14, 500, 5200] {
        points.extend(entry_points(targets, 4));
    }
    points.extend(entry_points(5200, CONTRACTS));
    points.extend(frame_points());
    points
}

fn point(name: &'static str, size: usize, value: f64, unit: &'static str) -> SlopePoint {
    SlopePoint { name, size, value, unit }
}

/// Returns this process's resident memory in bytes.
fn resident() -> f64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmRSS:")).unwrap_or_default();
    let kilobytes = line.split_whitespace().nth(1).and_then(|number| number.parse::<f64>().ok());
    kilobytes.unwrap_or(0.0) * 1024.0
}

struct LogWriter {
    next: u64,
}

impl LogWriter {
    fn apply(&mut self, fold: &mut FleetState, record: &LogRecord) {
        let body: Arc<str> = record.encode().unwrap_or_default().into();
        fold.apply(&StoredRecord { offset: self.next, time: LOG_EPOCH, body });
        self.next += 1;
    }
}

fn fleet(targets: usize, contracts: usize) -> (FleetState, LogWriter) {
    let mut fold = FleetState::default();
    let mut log = LogWriter { next: 1 };
    for number in 0..contracts {
        let mut contract = matrix::contract(&format!("workspace-{number}"), 1);
        contract.share_ppm = 1;
        let change = format!("first-{number}").into();
        log.apply(&mut fold, &operator::publish_record(change, 0, contract));
    }
    for side in 0..targets.div_ceil(TARGETS_PER_SIDE) {
        log.apply(&mut fold, &LogRecord::Attach(attachment(side)));
    }
    (fold, log)
}

fn attachment(side: usize) -> SideAttachment {
    let description = |index: usize| TargetDescription {
        target: format!("engine-{side}-{index}").into(),
        offer: TargetOffer::Engine { model: "assessor".to_owned(), kv_pages: 400 },
    };
    SideAttachment {
        side: format!("side-{side}").into(),
        instance: side as u64,
        vm: format!("vm-{side}").into(),
        data_centre: "dc".into(),
        address: "127.0.0.1:1".to_owned(),
        targets: (0..TARGETS_PER_SIDE).map(description).collect(),
    }
}

fn load(target: Arc<str>, prefixes: u64) -> TargetLoad {
    let seed = target.len() as u64 * 7919;
    TargetLoad {
        target,
        role: Some(EngineRole::Mixed),
        accepting: true,
        waiting_tokens: [(0, 345), (1, 12_000)].into_iter().collect(),
        waiting: 3,
        running: 24,
        free_pages: 200,
        prefill_rate: 6000.0,
        inter_token_ms: 40.0,
        call_ms: 20.0,
        prefixes: Some(
            (0..prefixes).map(|index| (seed + index).wrapping_mul(0x9e37_79b9_7f4a_7c15)).collect(),
        ),
        prompt_total: 123_456_789,
        output_total: 23_456_789,
    }
}

fn entry_points(targets: usize, contracts: usize) -> Vec<SlopePoint> {
    let before = resident();
    let (fold, _) = fleet(targets, contracts);
    let settings = EntrySettings { instance: 1, policy: PlacementPolicy::EarliestEnd, seed: 1 };
    let mut machine = EntryMachine::new(settings);
    let mut actions = Vec::new();
    let now = Duration::from_secs(1);
    for (side, entry) in fold.view().sides.iter() {
        machine.step(now, fold.view(), EntryEvent::LinkUp { side: side.clone() }, &mut actions);
        let loads = entry.attachment.targets.iter().map(|d| load(d.target.clone(), 64)).collect();
        let frame = SideFrame::Load(loads);
        machine.step(
            now,
            fold.view(),
            EntryEvent::Frame { side: side.clone(), frame },
            &mut actions,
        );
    }
    let memory = resident() - before;
    let mut times = Vec::with_capacity(DECISIONS);
    for number in 0..DECISIONS {
        let customer = format!("workspace-{}", number % contracts).into();
        let content: Arc<str> = format!("request {number}").into();
        let mut request = CallerRequest::from_text(customer, "note".into(), None, content);
        request.prompt_tokens = 2000;
        request.prefixes = (0..8).map(|index| index * 31 + number as u64).collect();
        let id = machine.next_id();
        actions.clear();
        let started = Instant::now();
        machine.step(
            now,
            fold.view(),
            EntryEvent::Submit { id, request: Box::new(request) },
            &mut actions,
        );
        times.push(started.elapsed().as_nanos() as f64 / 1000.0);
        if !actions.iter().any(|action| matches!(action, EntryAction::Send { .. })) {
            continue;
        }
        machine.step(now, fold.view(), EntryEvent::CallerDisconnected { id }, &mut actions);
    }
    times.sort_by(f64::total_cmp);
    std::mem::forget((fold, machine));
    vec![
        point("entry decision, median", targets, times[DECISIONS / 2], "us"),
        point("entry decision, 99th percentile", targets, times[DECISIONS * 99 / 100], "us"),
        point(
            if contracts == CONTRACTS {
                "entry state with 38,000 contracts"
            } else {
                "entry state"
            },
            targets,
            memory / 1.0e6,
            "MB",
        ),
    ]
}

fn fold_points() -> Vec<SlopePoint> {
    let before = resident();
    let started = Instant::now();
    let (mut fold, mut log) = fleet(4, CONTRACTS);
    let folded = started.elapsed().as_secs_f64() * 1.0e6 / CONTRACTS as f64;
    let memory = (resident() - before) / CONTRACTS as f64;
    let shared = fold.view().clone();
    let mut contract = matrix::contract("workspace-7", 1);
    contract.share_ppm = 1;
    let revision = shared.contract("workspace-7").map_or(0, |(revision, _)| revision);
    let record = operator::publish_record("change".into(), revision, contract);
    let bytes = record.encode().unwrap_or_default().len();
    let started = Instant::now();
    log.apply(&mut fold, &record);
    let change = started.elapsed().as_secs_f64() * 1000.0;
    let mut copy = Vec::new();
    let started = Instant::now();
    ciborium::into_writer(&fold, &mut copy).unwrap_or_default();
    let copied = started.elapsed().as_secs_f64() * 1000.0;
    std::mem::forget((fold, shared));
    vec![
        point("contract record", CONTRACTS, bytes as f64, "bytes"),
        point("fold a contract record", CONTRACTS, folded, "us"),
        point("contract in memory", CONTRACTS, memory, "bytes"),
        point("fold a change beside a shared snapshot", CONTRACTS, change, "ms"),
        point("copy of the state for a peer", CONTRACTS, copy.len() as f64 / 1.0e6, "MB"),
        point("encode that copy", CONTRACTS, copied, "ms"),
    ]
}

fn claim_points() -> Vec<SlopePoint> {
    let before = resident();
    let mut fold = FleetState::default();
    let mut log = LogWriter { next: 1 };
    let mut bytes = 0;
    let started = Instant::now();
    for number in 0..CLAIMS / 10 {
        let events = (0..10).map(|index| take(number * 10 + index)).collect();
        let batch = ClaimBatch { side: "side-1".into(), fence: 1, events };
        let record = LogRecord::Claims(batch);
        bytes += record.encode().unwrap_or_default().len();
        log.apply(&mut fold, &record);
    }
    let took = started.elapsed().as_secs_f64() * 1.0e6 / CLAIMS as f64;
    let memory = (resident() - before) / CLAIMS as f64;
    std::mem::forget(fold);
    vec![
        point("claim in a batch of 10", CLAIMS, bytes as f64 / CLAIMS as f64, "bytes"),
        point("encode and fold a claim", CLAIMS, took, "us"),
        point("claim in memory", CLAIMS, memory, "bytes"),
    ]
}

fn take(number: usize) -> ClaimEvent {
    let key = format!("{}-{number:016x}", LOG_EPOCH.as_millis());
    ClaimEvent::Take {
        key: ClaimKey { customer: "workspace-1".into(), key: key.into() },
        fingerprint: number as u64,
        attempt: AttemptId {
            request: RequestId { instance: 1, sequence: number as u64 },
            number: 1,
        },
        window_s: 86_400,
    }
}

fn frame_points() -> Vec<SlopePoint> {
    let attempt =
        AttemptId { request: RequestId { instance: u64::MAX / 3, sequence: 1_000_000 }, number: 1 };
    let without = TargetLoad { prefixes: None, ..load("engine-123-1".into(), 0) };
    let with = load("engine-123-1".into(), 128);
    let chunk = SideFrame::Chunk { attempt, index: 100, text: "x".repeat(32).into() };
    let frames = [
        ("heartbeat frame", SideFrame::Heartbeat),
        ("load of one target", SideFrame::Load(vec![without])),
        ("load of one target with 128 prefixes", SideFrame::Load(vec![with])),
        ("chunk frame of 8 tokens", chunk),
    ];
    let mut points: Vec<SlopePoint> = frames
        .into_iter()
        .map(|(name, body)| {
            let bytes =
                frame::encode(&LinkFrame { next: 1_000_000, body }).map_or(0, |bytes| bytes.len());
            point(name, 1, bytes as f64, "bytes")
        })
        .collect();
    let body = SideFrame::Chunk { attempt, index: 100, text: "x".repeat(32).into() };
    let frame = LinkFrame { next: 1_000_000, body };
    let rounds = 100_000;
    let started = Instant::now();
    for _ in 0..rounds {
        let bytes = frame::encode(&frame).unwrap_or_default();
        std::hint::black_box(frame::decode::<SideFrame>(&bytes).ok());
    }
    let took = started.elapsed().as_secs_f64() * 1.0e6 / f64::from(rounds);
    points.push(point("encode and decode a chunk frame", 1, took, "us"));
    let cancel = LinkFrame { next: 1, body: EntryFrame::Cancel { attempt } };
    let bytes = frame::encode(&cancel).map_or(0, |bytes| bytes.len());
    points.push(point("cancel frame", 1, bytes as f64, "bytes"));
    points
}
