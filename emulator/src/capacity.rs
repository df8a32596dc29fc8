//! Measures the time, memory and encoded size that each unit of load costs.
//!
//! docs/CAPACITY.md derives its figures from these measurements.

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

/// One measurement at one size.
#[derive(Debug, Clone, Serialize)]
pub struct MeasuredCost {
    /// Name of the measured quantity.
    pub name: &'static str,
    /// Number of targets, contracts, claims or frames at which it was measured.
    pub size: usize,
    /// Measured value.
    pub value: f64,
    /// Unit of `value`.
    pub unit: &'static str,
}

const TARGETS_PER_SIDE: usize = 4;
const DECISION_COUNT: usize = 4000;
const CONTRACT_COUNT: usize = 38_000;
const CLAIM_COUNT: usize = 100_000;

/// Runs all measurements.
pub fn measure() -> Vec<MeasuredCost> {
    // Each measurement of memory leaks its state: the allocator would reuse freed memory,
    // which would hide the growth of the next measurement.
    let mut costs = measure_claims();
    costs.extend(measure_fleet_state());
    for targets in [14, 500, 5200] {
        costs.extend(measure_entry(targets, 4));
    }
    costs.extend(measure_entry(5200, CONTRACT_COUNT));
    costs.extend(measure_frames());
    costs
}

fn cost(name: &'static str, size: usize, value: f64, unit: &'static str) -> MeasuredCost {
    MeasuredCost { name, size, value, unit }
}

/// Returns the resident set size of this process in bytes, or 0 if it cannot be read.
fn resident_bytes() -> f64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmRSS:")).unwrap_or_default();
    let kilobytes = line.split_whitespace().nth(1).and_then(|number| number.parse::<f64>().ok());
    kilobytes.unwrap_or(0.0) * 1024.0
}

struct LogWriter {
    next: u64,
}

impl LogWriter {
    fn apply(&mut self, fleet: &mut FleetState, record: &LogRecord) {
        let body: Arc<str> = record.encode().unwrap_or_default().into();
        fleet.apply(&StoredRecord { offset: self.next, time: LOG_EPOCH, body });
        self.next += 1;
    }
}

fn build_fleet(targets: usize, contracts: usize) -> (FleetState, LogWriter) {
    let mut fleet = FleetState::default();
    let mut log = LogWriter { next: 1 };
    for number in 0..contracts {
        let mut contract = matrix::contract(&format!("workspace-{number}"), 1);
        contract.share_ppm = 1;
        let change = format!("first-{number}").into();
        log.apply(&mut fleet, &operator::publish_record(change, 0, contract));
    }
    for side in 0..targets.div_ceil(TARGETS_PER_SIDE) {
        log.apply(&mut fleet, &LogRecord::Attach(attachment(side)));
    }
    (fleet, log)
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

fn target_load(target: Arc<str>, prefixes: u64) -> TargetLoad {
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
        mixed_inter_token_ms: 130.0,
        call_ms: 20.0,
        prefixes: Some(
            (0..prefixes).map(|index| (seed + index).wrapping_mul(0x9e37_79b9_7f4a_7c15)).collect(),
        ),
        prompt_total: 123_456_789,
        output_total: 23_456_789,
    }
}

fn measure_entry(targets: usize, contracts: usize) -> Vec<MeasuredCost> {
    let before = resident_bytes();
    let (fleet, _) = build_fleet(targets, contracts);
    let settings = EntrySettings { instance: 1, policy: PlacementPolicy::EarliestEnd, seed: 1 };
    let mut machine = EntryMachine::new(settings);
    let mut actions = Vec::new();
    let now = Duration::from_secs(1);
    for (side, entry) in fleet.view().sides.iter() {
        machine.step(now, fleet.view(), EntryEvent::LinkUp { side: side.clone() }, &mut actions);
        let loads =
            entry.attachment.targets.iter().map(|d| target_load(d.target.clone(), 64)).collect();
        let frame = SideFrame::Load(loads);
        machine.step(
            now,
            fleet.view(),
            EntryEvent::Frame { side: side.clone(), frame },
            &mut actions,
        );
    }
    let memory = resident_bytes() - before;
    let mut times_us = Vec::with_capacity(DECISION_COUNT);
    for number in 0..DECISION_COUNT {
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
            fleet.view(),
            EntryEvent::Submit { id, request: Box::new(request) },
            &mut actions,
        );
        times_us.push(started.elapsed().as_nanos() as f64 / 1000.0);
        if !actions.iter().any(|action| matches!(action, EntryAction::Send { .. })) {
            continue;
        }
        machine.step(now, fleet.view(), EntryEvent::CallerDisconnected { id }, &mut actions);
    }
    times_us.sort_by(f64::total_cmp);
    std::mem::forget((fleet, machine));
    vec![
        cost("entry decision, median", targets, times_us[DECISION_COUNT / 2], "us"),
        cost("entry decision, 99th percentile", targets, times_us[DECISION_COUNT * 99 / 100], "us"),
        cost(
            if contracts == CONTRACT_COUNT {
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

fn measure_fleet_state() -> Vec<MeasuredCost> {
    let before = resident_bytes();
    let started = Instant::now();
    let (mut fleet, mut log) = build_fleet(4, CONTRACT_COUNT);
    let apply_us = started.elapsed().as_secs_f64() * 1.0e6 / CONTRACT_COUNT as f64;
    let memory = (resident_bytes() - before) / CONTRACT_COUNT as f64;
    let shared = fleet.view().clone();
    let mut contract = matrix::contract("workspace-7", 1);
    contract.share_ppm = 1;
    let revision = shared.contract("workspace-7").map_or(0, |(revision, _)| revision);
    let record = operator::publish_record("change".into(), revision, contract);
    let bytes = record.encode().unwrap_or_default().len();
    let started = Instant::now();
    log.apply(&mut fleet, &record);
    let change_ms = started.elapsed().as_secs_f64() * 1000.0;
    let mut copy = Vec::new();
    let started = Instant::now();
    ciborium::into_writer(&fleet, &mut copy).unwrap_or_default();
    let encode_ms = started.elapsed().as_secs_f64() * 1000.0;
    std::mem::forget((fleet, shared));
    vec![
        cost("contract record", CONTRACT_COUNT, bytes as f64, "bytes"),
        cost("fold a contract record", CONTRACT_COUNT, apply_us, "us"),
        cost("contract in memory", CONTRACT_COUNT, memory, "bytes"),
        cost("fold a change beside a shared snapshot", CONTRACT_COUNT, change_ms, "ms"),
        cost("copy of the state for a peer", CONTRACT_COUNT, copy.len() as f64 / 1.0e6, "MB"),
        cost("encode that copy", CONTRACT_COUNT, encode_ms, "ms"),
    ]
}

fn measure_claims() -> Vec<MeasuredCost> {
    let before = resident_bytes();
    let mut fleet = FleetState::default();
    let mut log = LogWriter { next: 1 };
    let mut bytes = 0;
    let started = Instant::now();
    for number in 0..CLAIM_COUNT / 10 {
        let events = (0..10).map(|index| take_event(number * 10 + index)).collect();
        let batch = ClaimBatch { side: "side-1".into(), fence: 1, events };
        let record = LogRecord::Claims(batch);
        bytes += record.encode().unwrap_or_default().len();
        log.apply(&mut fleet, &record);
    }
    let took_us = started.elapsed().as_secs_f64() * 1.0e6 / CLAIM_COUNT as f64;
    let memory = (resident_bytes() - before) / CLAIM_COUNT as f64;
    std::mem::forget(fleet);
    vec![
        cost("claim in a batch of 10", CLAIM_COUNT, bytes as f64 / CLAIM_COUNT as f64, "bytes"),
        cost("encode and fold a claim", CLAIM_COUNT, took_us, "us"),
        cost("claim in memory", CLAIM_COUNT, memory, "bytes"),
    ]
}

fn take_event(number: usize) -> ClaimEvent {
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

fn measure_frames() -> Vec<MeasuredCost> {
    let attempt =
        AttemptId { request: RequestId { instance: u64::MAX / 3, sequence: 1_000_000 }, number: 1 };
    let without = TargetLoad { prefixes: None, ..target_load("engine-123-1".into(), 0) };
    let with = target_load("engine-123-1".into(), 128);
    let chunk = SideFrame::Chunk { attempt, index: 100, text: "x".repeat(32).into() };
    let frames = [
        ("heartbeat frame", SideFrame::Heartbeat),
        ("load of one target", SideFrame::Load(vec![without])),
        ("load of one target with 128 prefixes", SideFrame::Load(vec![with])),
        ("chunk frame of 8 tokens", chunk),
    ];
    let mut costs: Vec<MeasuredCost> = frames
        .into_iter()
        .map(|(name, body)| {
            let bytes =
                frame::encode(&LinkFrame { next: 1_000_000, body }).map_or(0, |bytes| bytes.len());
            cost(name, 1, bytes as f64, "bytes")
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
    let took_us = started.elapsed().as_secs_f64() * 1.0e6 / f64::from(rounds);
    costs.push(cost("encode and decode a chunk frame", 1, took_us, "us"));
    let cancel = LinkFrame { next: 1, body: EntryFrame::Cancel { attempt } };
    let bytes = frame::encode(&cancel).map_or(0, |bytes| bytes.len());
    costs.push(cost("cancel frame", 1, bytes as f64, "bytes"));
    costs
}
