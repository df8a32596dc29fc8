//! Folds the log's records into the state that all processes share.
//!
//! The state depends only on the records, their offsets and their times, so two processes
//! that have read up to the same offset hold the same state. See
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

/// Maximum age of the state from which a [`CarriedState`] was copied; older ones are ignored.
pub const MAX_CARRY_AGE: Duration = Duration::from_secs(60);
/// Interval between scans for expired entries, in seconds of the log's clock.
const EXPIRY_INTERVAL_SECONDS: u64 = 60;
/// Number of newest change results that are kept, so that operators can ask for them later.
pub const MAX_KEPT_RESULTS: usize = 4096;

/// A record as read from the log.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct StoredRecord {
    /// Position of the record in the log.
    pub offset: LogOffset,
    /// Time at which the log service appended the record.
    pub time: LogTime,
    /// Encoded [`LogRecord`], not yet checked.
    pub body: Arc<str>,
}

/// Contract in force, or the tombstone of a retired one.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ContractState {
    /// Offset of the change that set the contract or retired it.
    pub revision: ContractRevision,
    /// The contract; `None` in a tombstone.
    pub contract: Option<Arc<CustomerContract>>,
    /// Time of the newest record that holds this state, see [`crate::carry`].
    pub recorded: LogTime,
    /// Time of the first record read with this revision: the change itself or a carried copy.
    #[serde(rename = "set")]
    pub revised: LogTime,
}

impl ContractState {
    fn share_ppm(&self) -> u64 {
        self.contract.as_ref().map_or(0, |contract| u64::from(contract.share_ppm))
    }
}

/// Newest announcement about a VM.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct VmState {
    /// Offset of the announcement.
    pub revision: LogOffset,
    /// Whether the VM is announced as leaving; `false` after the announcement was withdrawn.
    pub leaving: bool,
    /// Time of the newest record that holds this state.
    pub recorded: LogTime,
}

/// Newest attachment of a side, whose process alone may order the side's targets.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct SideState {
    /// Offset of the attachment, which is its fencing token.
    pub fence: FencingToken,
    /// Description of the process and its targets.
    pub attachment: SideAttachment,
    /// Whether the side has recorded that it stopped.
    pub detached: bool,
    /// Time of the newest record that holds this state.
    pub recorded: LogTime,
}

/// Role plan in force.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct CurrentPlan {
    /// Offset of the plan; 0 before the first.
    #[serde(rename = "plan")]
    pub offset: LogOffset,
    /// Planned role of each engine.
    pub roles: BTreeMap<TargetId, EngineRole>,
    /// Time of the newest record that holds this state.
    pub recorded: LogTime,
}

/// Outcome of a proposed change.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ChangeResult {
    /// The change is in force at this revision.
    Accepted {
        /// Offset of the change.
        revision: LogOffset,
    },
    /// Another change was recorded first, and this one has no effect.
    Superseded {
        /// Revision in force.
        current: LogOffset,
    },
    /// The shares of all customers would add up to more than the fleet.
    SharesExceeded {
        /// Largest share that the customer could have, in millionths of the fleet.
        free_ppm: u32,
    },
}

/// The part of the state that request handling reads. It is cheap to clone as a snapshot.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct FleetView {
    /// Contracts and tombstones by customer.
    pub contracts: Arc<BTreeMap<CustomerId, ContractState>>,
    /// Newest announcement by VM.
    pub vms: Arc<BTreeMap<VmId, VmState>>,
    /// Newest attachment by side.
    pub sides: Arc<BTreeMap<SideId, SideState>>,
    /// Role plan in force.
    pub plan: Arc<CurrentPlan>,
    /// Requests suspected of crashing their targets.
    pub suspects: Arc<SuspectTable>,
    /// Offset of the next record to read.
    pub next: LogOffset,
    /// Newest time of the log service's clock that was seen.
    pub time: LogTime,
}

/// State that results from all records read so far.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct FleetState {
    view: FleetView,
    claims: ClaimTable,
    /// Sum of the shares of all contracts in force, in millionths of the fleet.
    used_ppm: u64,
    /// Newest change results, oldest first.
    results: VecDeque<(ChangeId, ChangeResult)>,
}

impl FleetView {
    /// Returns a customer's contract in force and its revision.
    pub fn contract(&self, customer: &str) -> Option<(ContractRevision, &Arc<CustomerContract>)> {
        let state = self.contracts.get(customer)?;
        state.contract.as_ref().map(|contract| (state.revision, contract))
    }

    /// Returns whether a VM has been announced as leaving.
    pub fn is_leaving(&self, vm: &str) -> bool {
        self.vms.get(vm).is_some_and(|state| state.leaving)
    }

    /// Returns the number of attached sides with plain services, which are those that append
    /// claims.
    pub fn service_side_count(&self) -> usize {
        let is_service = |state: &&SideState| {
            state.attachment.targets.iter().any(|d| matches!(d.offer, TargetOffer::Service { .. }))
        };
        self.sides.values().filter(|state| !state.detached).filter(is_service).count()
    }

    /// Returns the time since the newest record that announces a VM as leaving, by the log's clock.
    ///
    /// Returns `None` for a VM that is not leaving.
    pub fn leaving_for(&self, vm: &str) -> Option<Duration> {
        let state = self.vms.get(vm).filter(|state| state.leaving)?;
        Some(self.time.saturating_sub(state.recorded))
    }

    /// Returns whether `fence` belongs to the side's newest attachment and it is not detached.
    pub fn is_attached(&self, side: &str, fence: FencingToken) -> bool {
        self.sides.get(side).is_some_and(|state| state.fence == fence && !state.detached)
    }
}

impl FleetState {
    /// Returns the part that request handling reads.
    pub fn view(&self) -> &FleetView {
        &self.view
    }

    /// Returns the claims on idempotency keys.
    pub fn claims(&self) -> &ClaimTable {
        &self.claims
    }

    /// Returns the outcome of a change, or `None` if it is not recorded or no longer kept.
    pub fn result(&self, change: &str) -> Option<&ChangeResult> {
        self.results.iter().rev().find(|(id, _)| id.as_ref() == change).map(|(_, result)| result)
    }

    /// Advances the state's time to the log service's clock and drops expired entries.
    pub fn advance_time(&mut self, time: LogTime) {
        let before = self.view.time;
        self.view.time = before.max(time);
        // Expired keys are refused by their own timestamp, so dropping them can wait.
        if before.as_secs() / EXPIRY_INTERVAL_SECONDS
            == self.view.time.as_secs() / EXPIRY_INTERVAL_SECONDS
        {
            return;
        }
        let now = self.view.time;
        self.claims.expire(now);
        if self.view.suspects.has_expired(now) {
            Arc::make_mut(&mut self.view.suspects).expire(now);
        }
    }

    /// Skips to offset `first` if the log has dropped the records before it.
    ///
    /// What they held and is still in force has been re-appended since, see [`crate::carry`].
    pub fn skip_to(&mut self, first: LogOffset) {
        self.view.next = self.view.next.max(first);
    }

    /// Applies one record. A record that was already applied has no effect.
    pub fn apply(&mut self, stored: &StoredRecord) {
        if stored.offset < self.view.next {
            return;
        }
        self.view.next = stored.offset + 1;
        self.advance_time(stored.time);
        // Every process skips a malformed record, so their states stay equal.
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
            LogRecord::Carry(carried) => self.apply_carried(time, carried),
        }
    }

    fn apply_contract(&mut self, offset: LogOffset, time: LogTime, change: ContractChange) {
        if self.result(&change.change).is_some() {
            return;
        }
        let current = self.view.contracts.get(&change.customer).map_or(0, |state| state.revision);
        let retired =
            self.view.contracts.get(&change.customer).is_some_and(|e| e.contract.is_none());
        let free_ppm = self.free_share_ppm(&change.customer);
        let requested_ppm = change.contract.as_ref().map_or(0, |contract| contract.share_ppm);
        let replaces_current = change.replaces == current || (retired && change.replaces == 0);
        let result = if !replaces_current || (change.contract.is_none() && current == 0) {
            ChangeResult::Superseded { current }
        } else if requested_ppm > free_ppm {
            ChangeResult::SharesExceeded { free_ppm }
        } else {
            let contract = change.contract.map(Arc::new);
            let state = ContractState { revision: offset, contract, recorded: time, revised: time };
            self.set_contract(change.customer, state);
            ChangeResult::Accepted { revision: offset }
        };
        self.record_result(change.change, result);
    }

    fn apply_vm(&mut self, offset: LogOffset, time: LogTime, announcement: VmAnnouncement) {
        if self.result(&announcement.change).is_some() {
            return;
        }
        let state = VmState { revision: offset, leaving: announcement.leaving, recorded: time };
        Arc::make_mut(&mut self.view.vms).insert(announcement.vm, state);
        self.record_result(announcement.change, ChangeResult::Accepted { revision: offset });
    }

    fn apply_attach(&mut self, offset: LogOffset, time: LogTime, attachment: SideAttachment) {
        let repeated = self
            .view
            .sides
            .get(&attachment.side)
            .is_some_and(|state| state.attachment.instance == attachment.instance);
        if repeated {
            return;
        }
        let side = attachment.side.clone();
        self.claims.replace_side(&side, offset);
        let state = SideState { fence: offset, attachment, detached: false, recorded: time };
        Arc::make_mut(&mut self.view.sides).insert(side, state);
    }

    fn apply_detach(&mut self, side: &SideId, fence: FencingToken) {
        if let Some(state) = Arc::make_mut(&mut self.view.sides).get_mut(side)
            && state.fence == fence
        {
            state.detached = true;
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
        self.record_result(report.change.clone(), ChangeResult::Accepted { revision });
    }

    fn apply_carried(&mut self, time: LogTime, carried: CarriedState) {
        if time.saturating_sub(carried.read_until) > MAX_CARRY_AGE {
            return;
        }
        match carried.item {
            CarriedItem::Contract { customer, revision, contract } => {
                self.apply_carried_contract(time, customer, revision, contract);
            }
            CarriedItem::Plan { offset, roles } => {
                if offset >= self.view.plan.offset {
                    self.view.plan = Arc::new(CurrentPlan { offset, roles, recorded: time });
                }
            }
            CarriedItem::Attachment { fence, attachment } => {
                self.apply_carried_attachment(time, fence, attachment);
            }
            CarriedItem::Vm { vm, revision, leaving } => {
                let known = self.view.vms.get(&vm).map_or(0, |state| state.revision);
                if revision >= known {
                    let state = VmState { revision, leaving, recorded: time };
                    Arc::make_mut(&mut self.view.vms).insert(vm, state);
                }
            }
            CarriedItem::Claims(carried) => {
                for (key, claim) in &carried {
                    self.claims.merge_carried(time, key, claim);
                }
            }
        }
    }

    fn apply_carried_contract(
        &mut self,
        time: LogTime,
        customer: CustomerId,
        revision: ContractRevision,
        contract: Option<CustomerContract>,
    ) {
        let known = self.view.contracts.get(&customer).map_or(0, |state| state.revision);
        if known > revision {
            return;
        }
        if known == revision {
            if let Some(state) = Arc::make_mut(&mut self.view.contracts).get_mut(&customer) {
                state.recorded = time;
            }
            return;
        }
        let contract = contract.map(Arc::new);
        self.set_contract(
            customer,
            ContractState { revision, contract, recorded: time, revised: time },
        );
    }

    fn set_contract(&mut self, customer: CustomerId, state: ContractState) {
        self.used_ppm += state.share_ppm();
        let replaced = Arc::make_mut(&mut self.view.contracts).insert(customer, state);
        self.used_ppm -= replaced.map_or(0, |replaced| replaced.share_ppm());
    }

    /// Returns the largest share that a customer could have, in millionths of the fleet.
    fn free_share_ppm(&self, customer: &str) -> u32 {
        let own = self.view.contracts.get(customer).map_or(0, ContractState::share_ppm);
        u64::from(FULL_SHARE_PPM).saturating_sub(self.used_ppm - own) as u32
    }

    fn apply_carried_attachment(
        &mut self,
        time: LogTime,
        fence: FencingToken,
        attachment: SideAttachment,
    ) {
        let known =
            self.view.sides.get(&attachment.side).map(|state| (state.fence, state.detached));
        if known.is_some_and(|(held, detached)| held > fence || (held == fence && detached)) {
            return;
        }
        let side = attachment.side.clone();
        let state = SideState { fence, attachment, detached: false, recorded: time };
        Arc::make_mut(&mut self.view.sides).insert(side, state);
    }

    /// Drops tombstones older than `older_than`, see [`crate::carry::tombstone_limit`].
    pub fn drop_tombstones(&mut self, older_than: LogTime) {
        let expired =
            |state: &ContractState| state.contract.is_none() && state.revised < older_than;
        if self.view.contracts.values().any(expired) {
            Arc::make_mut(&mut self.view.contracts).retain(|_, state| !expired(state));
        }
    }

    fn record_result(&mut self, change: ChangeId, result: ChangeResult) {
        if self.results.len() == MAX_KEPT_RESULTS {
            self.results.pop_front();
        }
        self.results.push_back((change, result));
    }
}
