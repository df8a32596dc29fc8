//! Entries under requests that crash targets.

use std::{collections::HashMap, time::Duration};

use sapphirewell::{
    direct::{
        BlockedSuspect, CallOutcome, CrashEvidence, CrashSuspect, DirectAction, DirectEvent,
        DirectTarget, EvidenceChange, FailureReason, RequestIdentity, RetryPolicy, SuspectChange,
        TargetChange, TargetStage,
    },
    ids::TargetId,
};

use super::direct::DirectRig;

/// Time from the sending of requests to their end.
pub const RUN_TIME: Duration = Duration::from_millis(80);

/// Returns the identity of a request for a path, with a query, from a caller.
pub const fn identity(path: u64, query: u64, caller: u64) -> RequestIdentity {
    RequestIdentity {
        path,
        content: path + 1000 * query,
        resource: path + 1_000_000 * caller,
        caller: path + 1000 * query + 1_000_000 * caller,
    }
}

/// Entries that report to each other, and targets that start again at once.
pub struct CrashFleet {
    pub entries: Vec<DirectRig>,
    targets: HashMap<TargetId, DirectTarget>,
    flows: u64,
    blocked: HashMap<CrashSuspect, BlockedSuspect>,
    evidence: HashMap<CrashSuspect, CrashEvidence>,
    /// Entry that neither sends nor receives reports.
    pub cut_off: Option<usize>,
}

/// Request that an entry has sent.
pub struct SentRequest {
    entry: usize,
    flow: u64,
    call: u32,
    pub target: TargetId,
}

impl CrashFleet {
    pub fn new(entries: usize, targets: usize) -> CrashFleet {
        let named = |number| DirectRig::named(RetryPolicy::Never, number as u64 + 1);
        let mut entries: Vec<DirectRig> = (0..entries).map(named).collect();
        let new_target = |number| entries[0].target(&format!("t{number}"), TargetStage::Plain);
        let targets: Vec<DirectTarget> = (0..targets).map(new_target).collect();
        let targets = targets.into_iter().map(|target| (target.id.clone(), target)).collect();
        let mut fleet = CrashFleet {
            entries,
            targets,
            flows: 0,
            blocked: HashMap::new(),
            evidence: HashMap::new(),
            cut_off: None,
        };
        let ids: Vec<TargetId> = fleet.targets.keys().cloned().collect();
        ids.iter().for_each(|id| fleet.list(id));
        fleet
    }

    pub fn list(&mut self, id: &TargetId) {
        let target = self.targets[id].clone();
        for entry in &mut self.entries {
            entry.step(DirectEvent::Target(TargetChange::Listed(target.clone())));
        }
    }

    pub fn advance(&mut self, time: Duration) {
        for entry in &mut self.entries {
            entry.advance(time);
        }
        self.tick();
        let in_touch = (0..self.entries.len()).filter(|entry| Some(*entry) != self.cut_off);
        let in_touch: Vec<usize> = in_touch.collect();
        for &from in &in_touch {
            let report = self.entries[from].suspect_report();
            for &to in in_touch.iter().filter(|to| **to != from) {
                self.entries[to].step(DirectEvent::Suspects(report.clone()));
            }
        }
        self.tick();
    }

    fn tick(&mut self) {
        for entry in &mut self.entries {
            for action in entry.step(DirectEvent::Tick) {
                match action {
                    DirectAction::PersistSuspect(SuspectChange::Blocked(block)) => {
                        self.blocked.insert(block.suspect, block);
                    }
                    DirectAction::PersistSuspect(SuspectChange::Cleared(suspect)) => {
                        self.blocked.remove(&suspect);
                    }
                    DirectAction::PersistEvidence(EvidenceChange::Written(evidence)) => {
                        self.evidence.insert(evidence.suspect, evidence);
                    }
                    DirectAction::PersistEvidence(EvidenceChange::Removed(suspect)) => {
                        self.evidence.remove(&suspect);
                    }
                    _ => {}
                }
            }
        }
    }

    /// Returns the number of suspects under which crashes are kept in the store.
    pub fn kept(&self) -> usize {
        self.evidence.len()
    }

    /// Puts a record of a block into the store, as another writer might.
    pub fn store_block(&mut self, block: BlockedSuspect) {
        self.blocked.insert(block.suspect, block);
    }

    /// Ends all entries and starts them again, which then know what the store has.
    pub fn restart_all(&mut self) {
        for (index, entry) in self.entries.iter_mut().enumerate() {
            let now = entry.now();
            *entry = DirectRig::named(RetryPolicy::Never, index as u64 + 1);
            entry.advance(now.saturating_sub(entry.now()));
            let age = Duration::ZERO;
            let blocked =
                self.blocked.values().map(|block| BlockedSuspect { age, ..block.clone() });
            entry.step(DirectEvent::StoredSuspects(blocked.collect()));
            let evidence = self.evidence.values().cloned().collect();
            entry.step(DirectEvent::StoredEvidence(evidence));
        }
        let ids: Vec<TargetId> = self.targets.keys().cloned().collect();
        ids.iter().for_each(|id| self.list(id));
        self.advance(RUN_TIME);
    }

    pub fn send(
        &mut self,
        entry: usize,
        identity: RequestIdentity,
    ) -> Result<SentRequest, FailureReason> {
        self.flows += 1;
        let flow = self.flows;
        let actions = self.entries[entry].submit_identity(flow, None, identity).actions();
        for action in &actions {
            match action {
                DirectAction::Call { call, target, .. } => {
                    return Ok(SentRequest { entry, flow, call: *call, target: target.id.clone() });
                }
                DirectAction::Fail { failure, .. } => {
                    self.entries[entry].step(DirectEvent::FlowEnded { flow, complete: false });
                    return Err(failure.reason);
                }
                _ => {}
            }
        }
        panic!("neither sent nor rejected: {actions:?}");
    }

    pub fn end_whole(&mut self, sent: &SentRequest) {
        let entry = &mut self.entries[sent.entry];
        entry.end(sent.flow, sent.call, CallOutcome::Answered { success: true });
        entry.step(DirectEvent::FlowEnded { flow: sent.flow, complete: true });
    }

    /// Breaks the connections of requests off, while their targets live on or crash.
    pub fn break_off(&mut self, running: &[SentRequest], crashed: bool) {
        for sent in running {
            let entry = &mut self.entries[sent.entry];
            let actions = entry.end(sent.flow, sent.call, CallOutcome::Lost { closed: true });
            entry.answer_probes(actions, crashed);
            entry.step(DirectEvent::FlowEnded { flow: sent.flow, complete: false });
        }
        if !crashed {
            return;
        }
        for sent in running {
            let id = &sent.target;
            let target = self.targets.get_mut(id).unwrap();
            target.born_ms += 1;
            target.sequence += 1;
            self.list(id);
        }
    }

    /// Sends requests at the same moment and crashes all their targets.
    pub fn crash(&mut self, requests: &[(usize, RequestIdentity)]) -> Result<(), FailureReason> {
        let sent: Result<Vec<SentRequest>, _> =
            requests.iter().map(|(entry, identity)| self.send(*entry, *identity)).collect();
        let sent = sent?;
        self.advance(RUN_TIME);
        self.break_off(&sent, true);
        self.advance(Duration::from_secs(1));
        Ok(())
    }

    pub fn succeed(&mut self, entry: usize, identity: RequestIdentity) {
        let sent = self.send(entry, identity).unwrap();
        self.advance(RUN_TIME);
        self.end_whole(&sent);
        self.advance(RUN_TIME);
    }
}
