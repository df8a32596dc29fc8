//! Simulated platform: the log, its faults, and the nodes' reads and appends.

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
const LOG_HEALTH_TIMEOUT: Duration = Duration::from_millis(1500);
const APPEND_TIMEOUT: Duration = Duration::from_secs(2);
const LOG_PAGE_RECORDS: usize = 512;

/// Faults of the platform that are active now.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct PlatformFaults {
    pub(crate) log_down: bool,
    pub(crate) log_slow: Duration,
    pub(crate) lose_append_responses: bool,
}

impl Rig {
    pub(super) fn publish_initial_contracts(&mut self) {
        for contract in self.settings.contracts.clone() {
            let change = format!("first-{}", contract.customer).into();
            let record = operator::publish_record(change, 0, contract);
            self.append_now(&record);
        }
    }

    /// Appends a record without delay, as an operator does, and returns its offset.
    pub fn append_now(&mut self, record: &LogRecord) -> u64 {
        let body = record.encode().unwrap_or_default();
        self.append_text(body.into())
    }

    fn append_text(&mut self, body: Arc<str>) -> u64 {
        let time = self.log_time();
        let offset = self.log.append(time, body.clone());
        self.log_state.apply(&StoredRecord { offset, time, body });
        self.announce_records();
        offset
    }

    pub(crate) fn send_append(&mut self, node: NodeId, append_id: Option<u64>, record: &LogRecord) {
        let Ok(body) = record.encode() else { return };
        self.mark_append_step(node, record, false);
        let incarnation = self.base(node).incarnation;
        let delay = self.settings.network_delay + self.platform.log_slow;
        self.schedule_after(
            delay,
            RigEvent::Append { node, incarnation, append_id, body: Arc::from(body) },
        );
    }

    pub(super) fn append(
        &mut self,
        node: NodeId,
        incarnation: u64,
        append_id: Option<u64>,
        body: Arc<str>,
    ) {
        let reachable = !self.platform.log_down && !self.base(node).cut_from_log;
        if reachable {
            if let Ok(record) = LogRecord::decode(&body) {
                self.mark_append_step(node, &record, true);
            }
            self.append_text(body);
        }
        let Some(append_id) = append_id else { return };
        let confirmed = reachable && !self.platform.lose_append_responses;
        let delay = if confirmed { self.settings.network_delay } else { APPEND_TIMEOUT };
        let input = NodeInput::Side(Box::new(SideEvent::Appended { append_id, confirmed }));
        self.schedule_after(delay, RigEvent::Deliver { node, incarnation, input });
    }

    /// Makes every node read the log after the network delay, as a long poll would.
    fn announce_records(&mut self) {
        let delay = self.settings.network_delay + self.platform.log_slow;
        for node in self.node_ids() {
            let base = self.base(node);
            if base.state != NodeState::Ended {
                // Incarnation 0 marks a read that doesn't schedule the next one.
                self.schedule_after(delay, RigEvent::Poll { node, incarnation: 0 });
            }
        }
    }

    pub(super) fn poll(&mut self, node: NodeId, incarnation: u64) {
        if incarnation != 0 {
            if !self.is_current_incarnation(node, incarnation) {
                return;
            }
            self.schedule_after(POLL_INTERVAL, RigEvent::Poll { node, incarnation });
            self.schedule_target_report(node);
        }
        if self.base(node).state != NodeState::Running {
            return;
        }
        let reachable = !self.platform.log_down && !self.base(node).cut_from_log;
        if reachable {
            self.read_log(node);
        } else if incarnation != 0 {
            self.read_from_peers(node);
        }
        self.update_log_health(node, reachable);
        if let NodeId::Entry(index) = node {
            self.finish_entry_drain(index);
        }
    }

    fn schedule_target_report(&mut self, node: NodeId) {
        if let NodeId::Side(side) = node
            && self.base(node).state == NodeState::Running
        {
            let incarnation = self.base(node).incarnation;
            self.schedule(
                self.now,
                RigEvent::Target { side, incarnation, action: TargetAction::Report },
            );
        }
    }

    fn read_log(&mut self, node: NodeId) {
        self.log.expire(self.log_time());
        let first = self.log.first();
        let is_fresh = self.base(node).log_position == 0;
        if first > self.base(node).log_position.max(1)
            && (is_fresh || first > self.base(node).log_position)
        {
            self.adopt_newest_state(node);
            let base = self.base_mut(node);
            base.fleet.skip_to(first);
            base.log_position = base.log_position.max(base.fleet.view().next);
        }
        loop {
            let records = self.log.read(self.base(node).log_position, LOG_PAGE_RECORDS);
            if records.is_empty() {
                break;
            }
            self.apply_records(node, records);
        }
        let time = self.log_time();
        self.base_mut(node).fleet.advance_time(time);
        self.notify_log_advanced(node);
    }

    /// Copies the newest fleet state of another running entry, if newer than the node's own.
    fn adopt_newest_state(&mut self, node: NodeId) {
        let newest = (0..self.entries.len())
            .filter(|index| NodeId::Entry(*index) != node)
            .filter(|index| self.entries[*index].base.state == NodeState::Running)
            .max_by_key(|index| self.entries[*index].base.fleet.view().next);
        let Some(index) = newest else { return };
        let fleet = self.entries[index].base.fleet.clone();
        if fleet.view().next > self.base(node).fleet.view().next {
            self.base_mut(node).log_position = fleet.view().next;
            self.base_mut(node).fleet = fleet;
        }
    }

    /// Catches up from another running entry while the log is unreachable.
    fn read_from_peers(&mut self, node: NodeId) {
        let before = self.base(node).fleet.view().next;
        self.adopt_newest_state(node);
        if self.base(node).fleet.view().next > before {
            self.notify_log_advanced(node);
        }
    }

    fn apply_records(&mut self, node: NodeId, records: Vec<StoredRecord>) {
        let base = self.base_mut(node);
        for record in records {
            base.log_position = record.offset + 1;
            base.fleet.apply(&record);
        }
        self.check_contract_revisions(node);
    }

    fn notify_log_advanced(&mut self, node: NodeId) {
        match node {
            NodeId::Entry(index) => self.step_entry(index, EntryEvent::LogAdvanced),
            NodeId::Side(index) => self.step_side(index, SideEvent::LogAdvanced),
        }
    }

    fn update_log_health(&mut self, node: NodeId, reachable: bool) {
        let now: ClockTime = self.now;
        let base = self.base_mut(node);
        if reachable {
            base.last_log_contact = now;
        }
        let log_reachable = now.saturating_sub(base.last_log_contact) < LOG_HEALTH_TIMEOUT;
        if base.log_reachable == log_reachable {
            return;
        }
        base.log_reachable = log_reachable;
        if let NodeId::Side(index) = node {
            self.step_side(index, SideEvent::LogHealth { reachable: log_reachable });
        }
    }
}
