//! Test harness: a side machine with one target, an in-memory log and a manual clock.
#![allow(dead_code)]

pub mod crashes;
pub mod direct;

use std::time::Duration;

use sapphirewell::{
    claim::ClaimEvent,
    contract::CustomerContract,
    fold::{FleetState, StoredRecord},
    frame::{AttemptEnd, AttemptWork, EntryFrame, PlaceFrame, SideFrame},
    ids::{AttemptId, RequestId},
    operator,
    record::{EngineRole, LogRecord, SideAttachment, TargetDescription, TargetOffer},
    side::{
        QueueOrder, SideAction, SideEvent, SideMachine, SideSettings, TargetEvent, TargetReport,
    },
};

/// Log time at which the harness clock reads zero.
pub const LOG_START: Duration = Duration::from_secs(1_700_000_000);
/// Link of the only entry.
pub const LINK: u64 = 1;

/// In-memory log.
#[derive(Default)]
pub struct MemoryLog {
    pub records: Vec<StoredRecord>,
    pub now: Duration,
}

impl MemoryLog {
    pub fn append(&mut self, record: &LogRecord) -> u64 {
        let offset = self.records.len() as u64 + 1;
        let body = record.encode().unwrap().into();
        self.records.push(StoredRecord { offset, time: LOG_START + self.now, body });
        offset
    }

    pub fn fold(&self) -> FleetState {
        let mut fold = FleetState::default();
        for record in &self.records {
            fold.apply(record);
        }
        fold.advance_time(LOG_START + self.now);
        fold
    }
}

/// Side machine with one target `t`, whose actions are applied to an in-memory log.
pub struct SideHarness {
    pub machine: SideMachine,
    pub log: MemoryLog,
    pub fleet: FleetState,
    pub now: Duration,
    pub instance: u64,
    /// Whether appends are lost before they reach the log.
    pub log_down: bool,
    /// Whether appends are recorded but reported as failed.
    pub lose_responses: bool,
    pub ends: Vec<(AttemptId, AttemptEnd)>,
    pub started: Vec<AttemptId>,
    description: TargetDescription,
}

pub fn report(boot: u64) -> TargetReport {
    TargetReport {
        boot,
        role: Some(EngineRole::Mixed),
        changing: false,
        fence: 0,
        cached: Vec::new(),
    }
}

pub fn contract(customer: &str, share_ppm: u32) -> CustomerContract {
    let text = format!(
        r#"{{"customer":"{customer}","share_ppm":{share_ppm},"window_s":600,"kinds":[
        {{"name":"note","route":{{"engine":{{"model":"m","max_prompt_tokens":50000,"max_output_tokens":500}}}},
          "priority":0,"deadline_ms":20000,"idempotent":true}},
        {{"name":"ticket","route":{{"service":{{"service":"s"}}}},"priority":0,"deadline_ms":3000,"idempotent":false}}]}}"#
    );
    CustomerContract::parse(text.as_bytes()).unwrap()
}

impl SideHarness {
    pub fn with_engine() -> SideHarness {
        let offer = TargetOffer::Engine { model: "m".to_owned(), kv_pages: 100 };
        SideHarness::start(TargetDescription { target: "t".into(), offer }, MemoryLog::default(), 1)
    }

    pub fn with_service() -> SideHarness {
        SideHarness::service_on(MemoryLog::default(), 1)
    }

    pub fn service_on(log: MemoryLog, instance: u64) -> SideHarness {
        let offer = TargetOffer::Service { service: "s".to_owned(), slots: 4 };
        SideHarness::start(TargetDescription { target: "t".into(), offer }, log, instance)
    }

    fn start(description: TargetDescription, mut log: MemoryLog, instance: u64) -> SideHarness {
        if log.records.is_empty() {
            log.append(&operator::publish_record("first".into(), 0, contract("north", 1000)));
        }
        let settings = SideSettings {
            side: "side".into(),
            instance,
            vm: "vm".into(),
            targets: vec![description.clone()],
            queue_order: QueueOrder::Fair,
        };
        let mut harness = SideHarness {
            machine: SideMachine::new(settings),
            now: log.now,
            log,
            fleet: FleetState::default(),
            instance,
            log_down: false,
            lose_responses: false,
            ends: Vec::new(),
            started: Vec::new(),
            description,
        };
        harness.attach();
        harness.event(SideEvent::LinkUp { link: LINK });
        harness.target(TargetEvent::Report(report(1)));
        harness
    }

    pub fn attach(&mut self) {
        let record = LogRecord::Attach(SideAttachment {
            side: "side".into(),
            instance: self.instance,
            vm: "vm".into(),
            data_centre: "dc".into(),
            address: "127.0.0.1:1".into(),
            targets: vec![self.description.clone()],
        });
        self.log.append(&record);
        self.read_log();
    }

    /// Applies the log to the fleet state after one tick, as a running process does.
    pub fn read_log(&mut self) {
        self.tick_for(Duration::from_millis(20));
        for record in self.log.records.clone() {
            self.fleet.apply(&record);
        }
        self.fleet.advance_time(LOG_START + self.log.now);
        self.event(SideEvent::LogAdvanced);
    }

    pub fn event(&mut self, event: SideEvent) -> Vec<SideAction> {
        let mut actions = Vec::new();
        self.machine.step(self.now, &self.fleet, event, &mut actions);
        for action in &actions {
            match action {
                SideAction::Append { append_id, record } => self.append(*append_id, record),
                SideAction::Start { place, .. } => self.started.push(place.attempt),
                SideAction::Send { frame: SideFrame::End { attempt, end }, .. } => {
                    self.ends.push((*attempt, end.clone()));
                }
                _ => {}
            }
        }
        actions
    }

    fn append(&mut self, append_id: u64, record: &LogRecord) {
        if !self.log_down {
            self.log.append(record);
        }
        let confirmed = !self.log_down && !self.lose_responses;
        self.event(SideEvent::Appended { append_id, confirmed });
    }

    pub fn target(&mut self, event: TargetEvent) -> Vec<SideAction> {
        self.event(SideEvent::Target { target: "t".into(), event })
    }

    /// Advances the clock by `time`, with a heartbeat and a tick every 20 ms.
    pub fn tick_for(&mut self, time: Duration) -> Vec<SideAction> {
        let mut actions = Vec::new();
        let end = self.now + time;
        while self.now < end {
            self.now += Duration::from_millis(20);
            self.log.now = self.log.now.max(self.now);
            let heartbeat = SideEvent::Frame { link: LINK, frame: EntryFrame::Heartbeat };
            actions.extend(self.event(heartbeat));
            actions.extend(self.event(SideEvent::Tick));
        }
        actions
    }

    pub fn place_completion(&mut self, sequence: u64, prompt_tokens: u32) -> AttemptId {
        self.place(sequence, |frame| frame.prompt_tokens = prompt_tokens)
    }

    /// Places a non-idempotent call with a key that is issued now.
    pub fn place_call(&mut self, sequence: u64, key: &str) -> AttemptId {
        let key = format!("{}-{key}", (LOG_START + self.log.now).as_millis());
        self.place_call_with_key(sequence, &key)
    }

    pub fn place_call_with_key(&mut self, sequence: u64, key: &str) -> AttemptId {
        let key: std::sync::Arc<str> = key.into();
        self.place(sequence, |frame| {
            frame.work = AttemptWork::Call;
            frame.idempotent = false;
            frame.key = Some(key.clone());
            frame.time_left = Duration::from_secs(3);
        })
    }

    pub fn place(&mut self, sequence: u64, change: impl FnOnce(&mut PlaceFrame)) -> AttemptId {
        let attempt = AttemptId { request: RequestId { instance: 9, sequence }, number: 1 };
        let mut frame = PlaceFrame {
            attempt,
            target: "t".into(),
            work: AttemptWork::Complete,
            customer: "north".into(),
            revision: 1,
            share_ppm: 1000,
            priority: 0,
            time_left: Duration::from_secs(20),
            idempotent: true,
            key: None,
            window_s: 600,
            fingerprint: 77,
            content: "text".into(),
            prompt_tokens: 100,
            max_output_tokens: 50,
            expected_output_tokens: 50,
            prefixes: Default::default(),
            resume_chunks: 0,
            resume_text: String::new(),
            crashes: 0,
        };
        change(&mut frame);
        self.event(SideEvent::Frame { link: LINK, frame: EntryFrame::Place(Box::new(frame)) });
        attempt
    }

    pub fn end_of(&self, attempt: AttemptId) -> Option<&AttemptEnd> {
        self.ends.iter().find(|(id, _)| *id == attempt).map(|(_, end)| end)
    }

    pub fn claim_events(&self) -> Vec<ClaimEvent> {
        let decoded =
            self.log.records.iter().filter_map(|record| LogRecord::decode(&record.body).ok());
        decoded
            .filter_map(|record| match record {
                LogRecord::Claims(batch) => Some(batch.events),
                _ => None,
            })
            .flatten()
            .collect()
    }
}
