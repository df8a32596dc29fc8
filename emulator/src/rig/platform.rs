//! The platform in the rig: the log, its faults, and how nodes read it.

use std::{sync::Arc, time::Duration};

use sapphirewell::{
    entry::EntryEvent, fold::StoredRecord, ids::ClockTime, operator, record::LogRecord,
    side::SideEvent,
};

use super::{
    NodeInput, Rig, RigEvent,
    nodes::{NodeId, NodeState},
    targets::TargetAction,
};

const POLL_INTERVAL: Duration = Duration::from_millis(200);
const HEALTH_LIMIT: Duration = Duration::from_millis(1500);
const APPEND_TIMEOUT: Duration = Duration::from_secs(2);
const LOG_PAGE: usize = 512;

/// Faults of the platform.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct PlatformFaults {
    pub(crate) log_down: bool,
    pub(crate) log_slow: Duration,
    pub(crate) lose_answers: bool,
}

impl Rig {
    pub(super) fn publish_first_contracts(&mut self) {
        for contract in self.settings.contracts.clone() {
            let change = format!("first-{}", contract.customer).into();
            let record = operator::publish_record(change, 0, contract);
            self.append_now(&record);
        }
    }

    /// Appends a record as an operator does, and returns its offset.
    pub fn append_now(&mut self, record: &LogRecord) -> u64 {
        let body = record.encode().unwrap_or_default();
        self.append_text(body.into())
    }

    fn append_text(&mut self, body: Arc<str>) -> u64 {
        let time = self.log_time();
        let offset = self.log.append(time, body.clone());
        self.oracle.apply(&StoredRecord { offset, time, body });
        self.announce_records();
        offset
    }

    pub(crate) fn send_append(&mut self, node: NodeId, append_id: Option<u64>, record: &LogRecord) {
        let Ok(body) = record.encode() else { return };
        self.step_of_append(node, record, false);
        let process = self.base(node).process;
        let delay = self.settings.network_delay + self.platform.log_slow;
        self.after(delay, RigEvent::Append { node, process, append_id, body: Arc::from(body) });
    }

    pub(super) fn append(
        &mut self,
        node: NodeId,
        process: u64,
        append_id: Option<u64>,
        body: Arc<str>,
    ) {
        let reachable = !self.platform.log_down && !self.base(node).cut_from_log;
        if reachable {
            if let Ok(record) = LogRecord::decode(&body) {
                self.step_of_append(node, &record, true);
            }
            self.append_text(body);
        }
        let Some(append_id) = append_id else { return };
        let confirmed = reachable && !self.platform.lose_answers;
        let delay = if confirmed { self.settings.network_delay } else { APPEND_TIMEOUT };
        let input = NodeInput::Side(Box::new(SideEvent::Appended { append_id, confirmed }));
        self.after(delay, RigEvent::Node { node, process, input });
    }

    /// Lets every node read soon, as a waiting read would.
    fn announce_records(&mut self) {
        let delay = self.settings.network_delay + self.platform.log_slow;
        for node in self.node_ids() {
            let base = self.base(node);
            if base.state != NodeState::Ended {
                // A process of 0 marks a read that does not schedule the next one.
                self.after(delay, RigEvent::Poll { node, process: 0 });
            }
        }
    }

    pub(super) fn poll(&mut self, node: NodeId, process: u64) {
        if process != 0 {
            if !self.is_process(node, process) {
                return;
            }
            self.after(POLL_INTERVAL, RigEvent::Poll { node, process });
            self.poll_target(node);
        }
        if self.base(node).state != NodeState::Running {
            return;
        }
        let reachable = !self.platform.log_down && !self.base(node).cut_from_log;
        if reachable {
            self.read_log(node);
        } else if process != 0 {
            self.read_peers(node);
        }
        self.update_health(node, reachable);
        if let NodeId::Entry(index) = node {
            self.finish_entry_drain(index);
        }
    }

    fn poll_target(&mut self, node: NodeId) {
        if let NodeId::Side(side) = node
            && self.base(node).state == NodeState::Running
        {
            let process = self.base(node).process;
            self.schedule(
                self.now,
                RigEvent::Target { side, process, action: TargetAction::Report },
            );
        }
    }

    fn read_log(&mut self, node: NodeId) {
        self.log.expire(self.log_time());
        let first = self.log.first();
        let fresh = self.base(node).position == 0;
        if first > self.base(node).position.max(1) && (fresh || first > self.base(node).position) {
            self.adopt_peer(node);
            let base = self.base_mut(node);
            base.fold.skip_to(first);
            base.position = base.position.max(base.fold.view().next);
        }
        loop {
            let records = self.log.read(self.base(node).position, LOG_PAGE);
            if records.is_empty() {
                break;
            }
            self.fold_records(node, records);
        }
        let time = self.log_time();
        self.base_mut(node).fold.advance_time(time);
        self.log_advanced(node);
    }

    /// Copies the newest fold of a running entry.
    fn adopt_peer(&mut self, node: NodeId) {
        let newest = (0..self.entries.len())
            .filter(|index| NodeId::Entry(*index) != node)
            .filter(|index| self.entries[*index].base.state == NodeState::Running)
            .max_by_key(|index| self.entries[*index].base.fold.view().next);
        let Some(index) = newest else { return };
        let fold = self.entries[index].base.fold.clone();
        if fold.view().next > self.base(node).fold.view().next {
            self.base_mut(node).position = fold.view().next;
            self.base_mut(node).fold = fold;
        }
    }

    /// Takes records from a running entry while the log cannot be reached.
    fn read_peers(&mut self, node: NodeId) {
        let before = self.base(node).fold.view().next;
        self.adopt_peer(node);
        if self.base(node).fold.view().next > before {
            self.log_advanced(node);
        }
    }

    fn fold_records(&mut self, node: NodeId, records: Vec<StoredRecord>) {
        let base = self.base_mut(node);
        for record in records {
            base.position = record.offset + 1;
            base.fold.apply(&record);
        }
        self.referee_contracts(node);
    }

    fn log_advanced(&mut self, node: NodeId) {
        match node {
            NodeId::Entry(index) => self.step_entry(index, EntryEvent::LogAdvanced),
            NodeId::Side(index) => self.step_side(index, SideEvent::LogAdvanced),
        }
    }

    fn update_health(&mut self, node: NodeId, reachable: bool) {
        let now: ClockTime = self.now;
        let base = self.base_mut(node);
        if reachable {
            base.log_heard = now;
        }
        let health = now.saturating_sub(base.log_heard) < HEALTH_LIMIT;
        if base.log_health == health {
            return;
        }
        base.log_health = health;
        if let NodeId::Side(index) = node {
            self.step_side(index, SideEvent::LogHealth { reachable: health });
        }
    }
}
