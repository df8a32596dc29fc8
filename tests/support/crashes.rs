//! Entries under requests that crash targets.

use std::{collections::HashMap, time::Duration};

use sapphirewell::{
    direct::{
        BlockedSuspect, CallOutcome, CrashEvidence, CrashSuspect, DirectAction, DirectEvent,
        DirectTarget, EvidenceChange, FailureReason, RequestIdentity, RetryPolicy, SuspectChange,
        SuspectReport, TargetChange, TargetStage,
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

    /// Returns the number of blocks in the store.
    pub fn stored_blocks(&self) -> usize {
        self.blocked.len()
    }

    /// Ends all entries and starts them again, which then know what the store has.
    pub fn restart_all(&mut self) {
        (0..self.entries.len()).for_each(|entry| self.start(entry));
        self.advance(RUN_TIME);
    }

    /// Ends an entry and starts it again, without a report from the others yet.
    pub fn restart(&mut self, entry: usize) {
        self.start(entry);
    }

    fn start(&mut self, entry: usize) {
        let mut rig = DirectRig::named(RetryPolicy::Never, entry as u64 + 1);
        rig.advance(self.entries[entry].now().saturating_sub(rig.now()));
        self.entries[entry] = rig;
        self.read_store(entry, false);
        let targets: Vec<DirectTarget> = self.targets.values().cloned().collect();
        for target in targets {
            self.entries[entry].step(DirectEvent::Target(TargetChange::Listed(target)));
        }
    }

    fn read_store(&mut self, entry: usize, is_restored: bool) {
        let age = Duration::ZERO;
        let blocked = self.blocked.values().map(|block| BlockedSuspect { age, ..block.clone() });
        let blocked = blocked.collect();
        let entry = &mut self.entries[entry];
        entry.step(DirectEvent::StoredSuspects { blocked, is_restored });
        let evidence = self.evidence.values().cloned().collect();
        entry.step(DirectEvent::StoredEvidence { evidence, is_restored });
    }

    /// Restores the store from a copy that has the blocks and crashes of some suspects only, and
    /// lets each entry compare them in its turn.
    pub fn restore_store(&mut self, is_kept: impl Fn(&CrashSuspect) -> bool) {
        self.blocked.retain(|suspect, _| is_kept(suspect));
        self.evidence.retain(|suspect, _| is_kept(suspect));
        for entry in 0..self.entries.len() {
            self.read_store(entry, true);
            self.tick();
        }
    }

    /// Lets a request with a blocked suspect end whole, which an entry had sent before the block.
    pub fn lift(&mut self, suspect: CrashSuspect) {
        let successes = vec![(suspect, Duration::ZERO)];
        let report = SuspectReport { successes, ..SuspectReport::default() };
        for entry in &mut self.entries {
            entry.step(DirectEvent::Suspects(report.clone()));
        }
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
