//! Folds the log's records into the state that every process agrees on.
//!
//! The fold is a pure function of the records and their offsets and times, so
//! two processes that have read as far hold the same state. See
//! [docs/design/log.md](../docs/design/log.md).

use std::{
    collections::{BTreeMap, VecDeque},
    sync::Arc,
    time::Duration,
};

use serde::{Deserialize, Serialize};

use crate::{
    claim::ClaimTable,
    contract::{CustomerContract, FULL_SHARE_PPM},
    ids::{
        ChangeId, ContractRevision, CustomerId, FencingToken, LogOffset, LogTime, SideId, TargetId,
        VmId,
    },
    record::{
        CarriedItem, CarriedState, ContractChange, EngineRole, LogRecord, PlanProposal,
        SideAttachment, SuspectReport, TargetOffer, VmAnnouncement,
    },
    suspect::SuspectTable,
};

/// Age of a carried item's source at which the carry is ignored.
pub const MAX_CARRY_AGE: Duration = Duration::from_secs(60);
/// Seconds of the log's clock between looks for expired entries.
const EXPIRY_SECONDS: u64 = 60;
/// Number of change results that are kept for operators who ask again.
pub const MAX_KEPT_RESULTS: usize = 4096;

/// A record as read from the log.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct StoredRecord {
    /// Its position.
    pub offset: LogOffset,
    /// When the log service appended it.
    pub time: LogTime,
    /// Its text.
    pub body: Arc<str>,
}

/// Contract in force, or the mark of a retired one.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ContractEntry {
    /// The revision.
    pub revision: ContractRevision,
    /// The contract; `None` where it is retired.
    pub contract: Option<Arc<CustomerContract>>,
    /// When the newest record of it was appended.
    pub recorded: LogTime,
    /// When the revision itself was set.
    #[serde(rename = "set")]
    pub revised: LogTime,
}

impl ContractEntry {
    fn share_ppm(&self) -> u64 {
        self.contract.as_ref().map_or(0, |contract| u64::from(contract.share_ppm))
    }
}

/// Announcement in force for a VM.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct VmEntry {
    /// Offset of the announcement.
    pub revision: LogOffset,
    /// Whether the VM is leaving.
    pub leaving: bool,
    /// When the newest record of it was appended.
    pub recorded: LogTime,
}

/// Side process that may order its targets.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct SideEntry {
    /// Offset of the attachment, which is its fencing number.
    pub fence: FencingToken,
    /// The attachment.
    pub attachment: SideAttachment,
    /// Whether the side has said that it stopped.
    pub detached: bool,
    /// When the newest record of it was appended.
    pub recorded: LogTime,
}

/// Role plan in force.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct CurrentPlan {
    /// Offset of the plan; 0 before the first.
    #[serde(rename = "plan")]
    pub offset: LogOffset,
    /// Roles by engine.
    pub roles: BTreeMap<TargetId, EngineRole>,
    /// When the newest record of it was appended.
    pub recorded: LogTime,
}

/// What became of a proposed change.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ChangeResult {
    /// The change is in force at this revision.
    Accepted {
        /// The new revision.
        revision: LogOffset,
    },
    /// Another change came first.
    Superseded {
        /// The revision that stands.
        current: LogOffset,
    },
    /// The shares of all customers would exceed the fleet.
    SharesExceeded {
        /// Millionths that are still free.
        free_ppm: u32,
    },
}

/// The part of the state that traffic reads: an immutable snapshot, cheap to clone.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct FleetView {
    /// Contracts by customer.
    pub contracts: Arc<BTreeMap<CustomerId, ContractEntry>>,
    /// Announcements by VM.
    pub vms: Arc<BTreeMap<VmId, VmEntry>>,
    /// Side processes.
    pub sides: Arc<BTreeMap<SideId, SideEntry>>,
    /// Role plan in force.
    pub plan: Arc<CurrentPlan>,
    /// Requests that may crash their targets.
    pub suspects: Arc<SuspectTable>,
    /// Offset of the next record to read.
    pub next: LogOffset,
    /// Log service's clock at the newest record or answer.
    pub time: LogTime,
}

/// The whole state.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct FleetState {
    view: FleetView,
    claims: ClaimTable,
    /// Sum of the shares of all contracts in force, in millionths.
    used_ppm: u64,
    results: VecDeque<(ChangeId, ChangeResult)>,
}

impl FleetView {
    /// Returns a customer's contract in force.
    pub fn contract(&self, customer: &str) -> Option<(ContractRevision, &Arc<CustomerContract>)> {
        let entry = self.contracts.get(customer)?;
        entry.contract.as_ref().map(|contract| (entry.revision, contract))
    }

    /// Tells whether a VM has been announced as leaving.
    pub fn is_leaving(&self, vm: &str) -> bool {
        self.vms.get(vm).is_some_and(|entry| entry.leaving)
    }

    /// Returns the number of sides in front of plain services, which append claims.
    pub fn service_side_count(&self) -> usize {
        let is_service = |entry: &&SideEntry| {
            entry.attachment.targets.iter().any(|d| matches!(d.offer, TargetOffer::Service { .. }))
        };
        self.sides.values().filter(|entry| !entry.detached).filter(is_service).count()
    }

    /// Returns how long a VM has been announced as leaving, by the log's clock.
    pub fn leaving_for(&self, vm: &str) -> Option<Duration> {
        let entry = self.vms.get(vm).filter(|entry| entry.leaving)?;
        Some(self.time.saturating_sub(entry.recorded))
    }

    /// Tells whether this is still the side's newest attachment.
    pub fn is_attached(&self, side: &str, fence: FencingToken) -> bool {
        self.sides.get(side).is_some_and(|entry| entry.fence == fence && !entry.detached)
    }
}

impl FleetState {
    /// Returns the snapshot for traffic.
    pub fn view(&self) -> &FleetView {
        &self.view
    }

    /// Returns the claims.
    pub fn claims(&self) -> &ClaimTable {
        &self.claims
    }

    /// Returns what became of a change, or `None` while that isn't known.
    pub fn result(&self, change: &str) -> Option<&ChangeResult> {
        self.results.iter().rev().find(|(id, _)| id.as_ref() == change).map(|(_, result)| result)
    }

    /// Notes that the log service's clock has reached `time` with no record after `next`.
    pub fn advance_time(&mut self, time: LogTime) {
        let before = self.view.time;
        self.view.time = before.max(time);
        // Keys are refused by their own time, so that dropping them may wait.
        if before.as_secs() / EXPIRY_SECONDS == self.view.time.as_secs() / EXPIRY_SECONDS {
            return;
        }
        let now = self.view.time;
        self.claims.expire(now);
        if self.view.suspects.has_expired(now) {
            Arc::make_mut(&mut self.view.suspects).expire(now);
        }
    }

    /// Goes on at `first` where the log has dropped records that were not read.
    ///
    /// What those records said is in the state that others have carried since.
    pub fn skip_to(&mut self, first: LogOffset) {
        self.view.next = self.view.next.max(first);
    }

    /// Applies one record. A record before the next offset has no effect.
    pub fn apply(&mut self, stored: &StoredRecord) {
        if stored.offset < self.view.next {
            return;
        }
        self.view.next = stored.offset + 1;
        self.advance_time(stored.time);
        // A record that is not understood is skipped everywhere alike.
        if let Ok(record) = LogRecord::decode(&stored.body) {
            self.apply_record(stored.offset, stored.time, record);
        }
    }

    fn apply_record(&mut self, offset: LogOffset, time: LogTime, record: LogRecord) {
        match record {
            LogRecord::Contract(change) => self.apply_contract(offset, time, change),
            LogRecord::Vm(announcement) => self.apply_vm(offset, time, announcement),
            LogRecord::Attach(attachment) => self.apply_attach(offset, time, attachment),
            LogRecord::Detach { side, fence } => self.apply_detach(&side, fence),
            LogRecord::Plan(proposal) => self.apply_plan(offset, time, proposal),
            LogRecord::Claims(batch) => {
                for event in &batch.events {
                    self.claims.apply(time, &batch.side, batch.fence, event);
                }
            }
            LogRecord::Suspects(report) => self.apply_suspects(time, &report),
            LogRecord::Carry(carried) => self.apply_carry(time, carried),
        }
    }

    fn apply_contract(&mut self, offset: LogOffset, time: LogTime, change: ContractChange) {
        if self.result(&change.change).is_some() {
            return;
        }
        let current = self.view.contracts.get(&change.customer).map_or(0, |entry| entry.revision);
        let retired =
            self.view.contracts.get(&change.customer).is_some_and(|e| e.contract.is_none());
        let free_ppm = self.free_share(&change.customer);
        let wanted = change.contract.as_ref().map_or(0, |contract| contract.share_ppm);
        let base_matches = change.replaces == current || (retired && change.replaces == 0);
        let result = if !base_matches || (change.contract.is_none() && current == 0) {
            ChangeResult::Superseded { current }
        } else if wanted > free_ppm {
            ChangeResult::SharesExceeded { free_ppm }
        } else {
            let contract = change.contract.map(Arc::new);
            let entry = ContractEntry { revision: offset, contract, recorded: time, revised: time };
            self.set_contract(change.customer, entry);
            ChangeResult::Accepted { revision: offset }
        };
        self.note_result(change.change, result);
    }

    fn apply_vm(&mut self, offset: LogOffset, time: LogTime, announcement: VmAnnouncement) {
        if self.result(&announcement.change).is_some() {
            return;
        }
        let entry = VmEntry { revision: offset, leaving: announcement.leaving, recorded: time };
        Arc::make_mut(&mut self.view.vms).insert(announcement.vm, entry);
        self.note_result(announcement.change, ChangeResult::Accepted { revision: offset });
    }

    fn apply_attach(&mut self, offset: LogOffset, time: LogTime, attachment: SideAttachment) {
        let repeated = self
            .view
            .sides
            .get(&attachment.side)
            .is_some_and(|entry| entry.attachment.instance == attachment.instance);
        if repeated {
            return;
        }
        let side = attachment.side.clone();
        self.claims.replace_side(&side, offset);
        let entry = SideEntry { fence: offset, attachment, detached: false, recorded: time };
        Arc::make_mut(&mut self.view.sides).insert(side, entry);
    }

    fn apply_detach(&mut self, side: &SideId, fence: FencingToken) {
        if let Some(entry) = Arc::make_mut(&mut self.view.sides).get_mut(side)
            && entry.fence == fence
        {
            entry.detached = true;
        }
    }

    fn apply_plan(&mut self, offset: LogOffset, time: LogTime, proposal: PlanProposal) {
        if proposal.replaces != self.view.plan.offset {
            return;
        }
        let plan = Arc::make_mut(&mut self.view.plan);
        plan.offset = offset;
        plan.recorded = time;
        plan.roles.extend(proposal.roles);
    }

    fn apply_suspects(&mut self, time: LogTime, report: &SuspectReport) {
        if self.result(&report.change).is_some() {
            return;
        }
        Arc::make_mut(&mut self.view.suspects).apply(time, report);
        let revision = self.view.next - 1;
        self.note_result(report.change.clone(), ChangeResult::Accepted { revision });
    }

    fn apply_carry(&mut self, time: LogTime, carried: CarriedState) {
        if time.saturating_sub(carried.read_until) > MAX_CARRY_AGE {
            return;
        }
        match carried.item {
            CarriedItem::Contract { customer, revision, contract } => {
                self.carry_contract(time, customer, revision, contract);
            }
            CarriedItem::Plan { offset, roles } => {
                if offset >= self.view.plan.offset {
                    self.view.plan = Arc::new(CurrentPlan { offset, roles, recorded: time });
                }
            }
            CarriedItem::Attachment { fence, attachment } => {
                self.carry_attachment(time, fence, attachment);
            }
            CarriedItem::Vm { vm, revision, leaving } => {
                let known = self.view.vms.get(&vm).map_or(0, |entry| entry.revision);
                if revision >= known {
                    let entry = VmEntry { revision, leaving, recorded: time };
                    Arc::make_mut(&mut self.view.vms).insert(vm, entry);
                }
            }
            CarriedItem::Claims(entries) => {
                for (key, entry) in &entries {
                    self.claims.merge_carried(time, key, entry);
                }
            }
        }
    }

    fn carry_contract(
        &mut self,
        time: LogTime,
        customer: CustomerId,
        revision: ContractRevision,
        contract: Option<CustomerContract>,
    ) {
        let known = self.view.contracts.get(&customer).map_or(0, |entry| entry.revision);
        if known > revision {
            return;
        }
        if known == revision {
            if let Some(entry) = Arc::make_mut(&mut self.view.contracts).get_mut(&customer) {
                entry.recorded = time;
            }
            return;
        }
        let contract = contract.map(Arc::new);
        self.set_contract(
            customer,
            ContractEntry { revision, contract, recorded: time, revised: time },
        );
    }

    fn set_contract(&mut self, customer: CustomerId, entry: ContractEntry) {
        self.used_ppm += entry.share_ppm();
        let replaced = Arc::make_mut(&mut self.view.contracts).insert(customer, entry);
        self.used_ppm -= replaced.map_or(0, |replaced| replaced.share_ppm());
    }

    /// Returns the millionths that a customer could have.
    fn free_share(&self, customer: &str) -> u32 {
        let own = self.view.contracts.get(customer).map_or(0, ContractEntry::share_ppm);
        u64::from(FULL_SHARE_PPM).saturating_sub(self.used_ppm - own) as u32
    }

    fn carry_attachment(&mut self, time: LogTime, fence: FencingToken, attachment: SideAttachment) {
        let known =
            self.view.sides.get(&attachment.side).map(|entry| (entry.fence, entry.detached));
        if known.is_some_and(|(held, detached)| held > fence || (held == fence && detached)) {
            return;
        }
        let side = attachment.side.clone();
        let entry = SideEntry { fence, attachment, detached: false, recorded: time };
        Arc::make_mut(&mut self.view.sides).insert(side, entry);
    }

    /// Drops a retired contract's mark, which [`crate::carry`] decides by log time.
    pub fn drop_tombstones(&mut self, older_than: LogTime) {
        let old = |entry: &ContractEntry| entry.contract.is_none() && entry.revised < older_than;
        if self.view.contracts.values().any(old) {
            Arc::make_mut(&mut self.view.contracts).retain(|_, entry| !old(entry));
        }
    }

    fn note_result(&mut self, change: ChangeId, result: ChangeResult) {
        if self.results.len() == MAX_KEPT_RESULTS {
            self.results.pop_front();
        }
        self.results.push_back((change, result));
    }
}
