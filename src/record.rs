//! Records of the platform's log and their encoding.
//!
//! A record is one JSON document. The log is the only source of shared state: everything that
//! processes have to agree on is a record, see
//! [docs/design/log.md](../docs/design/log.md).

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use strum::{Display, EnumIter, EnumString};

use crate::{
    claim::{ClaimEvent, ClaimKey, KeyClaim},
    contract::CustomerContract,
    error::{Error, ErrorCode, Result},
    ids::{
        ChangeId, ContentFingerprint, ContractRevision, CustomerId, DataCentreId, FencingToken,
        LogOffset, LogTime, SideId, TargetId, VmId,
    },
};

/// Maximum size of an encoded record, in bytes.
pub const MAX_RECORD_BYTES: usize = 512 * 1024;

/// A record of the log. Readers apply records in the order of their offsets.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LogRecord {
    /// Publishes, changes or retires a contract.
    Contract(ContractChange),
    /// Announces that a VM is leaving, or withdraws the announcement.
    Vm(VmAnnouncement),
    /// Attaches a side process to its targets, which fences off its predecessor.
    Attach(SideAttachment),
    /// Records that a side process has stopped.
    Detach {
        /// Side that stopped.
        side: SideId,
        /// Fencing token of the attachment that ends.
        fence: FencingToken,
    },
    /// Assigns roles to engines.
    Plan(PlanProposal),
    /// Reports events of claims on idempotency keys, batched by a side.
    Claims(ClaimBatch),
    /// Reports requests that were running when a target crashed, or that ended without a crash.
    Suspects(SuspectReport),
    /// Re-appends state before the log drops the record that holds it, see [`crate::carry`].
    Carry(CarriedState),
}

/// Proposal to replace one revision of a contract.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ContractChange {
    /// Id of the change, which makes a repeated append harmless.
    pub change: ChangeId,
    /// Customer whose contract changes.
    pub customer: CustomerId,
    /// Revision that the change replaces; 0 if the customer has no contract in force.
    pub replaces: ContractRevision,
    /// New contract, or `None` to retire the current one.
    pub contract: Option<CustomerContract>,
}

/// Announcement that a VM is leaving, or its withdrawal.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct VmAnnouncement {
    /// Id of the change, which makes a repeated append harmless.
    pub change: ChangeId,
    /// VM that the announcement is about.
    pub vm: VmId,
    /// Whether the VM is leaving; `false` withdraws an announcement.
    pub leaving: bool,
}

/// Attachment of a side process to its targets.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SideAttachment {
    /// Side that attaches.
    pub side: SideId,
    /// Random number that distinguishes the process from its predecessors.
    pub instance: u64,
    /// VM that the process runs on.
    pub vm: VmId,
    /// Data centre that the process runs in.
    pub data_centre: DataCentreId,
    /// Address on which the process accepts links, as `address:port`.
    pub address: String,
    /// Targets behind the side.
    pub targets: Vec<TargetDescription>,
}

/// Properties of a target that do not change while its side is attached.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetDescription {
    /// Name of the target.
    pub target: TargetId,
    /// Model or service that the target serves, and its capacity.
    pub offer: TargetOffer,
}

/// Model or service that a target serves, and its capacity.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TargetOffer {
    /// A model engine.
    Engine {
        /// Name of the loaded model.
        model: String,
        /// KV cache memory, in pages of [`crate::request::KV_PAGE_TOKENS`] tokens.
        #[serde(rename = "pieces")]
        kv_pages: u32,
    },
    /// A plain service.
    Service {
        /// Name of the service.
        service: String,
        /// Maximum number of concurrent calls.
        slots: u32,
    },
}

/// Role of an engine.
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
    Display,
    EnumIter,
    EnumString,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum EngineRole {
    /// Runs prefill and passes the KV cache on to a decode engine.
    Prefill,
    /// Runs decode from the KV cache of a prefill engine.
    Decode,
    /// Runs both on one engine, where each slows the other down.
    Mixed,
}

/// Proposal of a plan that assigns roles to engines.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PlanProposal {
    /// Offset of the plan that the proposal replaces; 0 for the first plan.
    pub replaces: LogOffset,
    /// New role by engine; engines that are not listed keep theirs.
    pub roles: BTreeMap<TargetId, EngineRole>,
}

/// Events of claims from one side.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ClaimBatch {
    /// Side that appends the batch, or `operator` for a settlement by an operator.
    pub side: SideId,
    /// Fencing token of the side; 0 for an operator.
    pub fence: FencingToken,
    /// Events in the order in which they apply.
    pub events: Vec<ClaimEvent>,
}

/// Report of requests that were running when their target crashed, or that ended normally.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectReport {
    /// Id of the report, so that a repeated append counts once.
    pub change: ChangeId,
    /// Requests that were running when the target crashed.
    pub crashed: Vec<ContentFingerprint>,
    /// Suspected requests that ended without a crash.
    pub cleared: Vec<ContentFingerprint>,
}

/// Copy of state, re-appended before the log drops the record that holds it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct CarriedState {
    /// Time of the log up to which the appending process had read when it made the copy.
    pub read_until: LogTime,
    /// Copied state.
    pub item: CarriedItem,
}

/// Item of a [`CarriedState`]. Revisions and offsets are those of the original records.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CarriedItem {
    /// A contract or the tombstone of a retired one.
    Contract {
        /// Customer of the contract.
        customer: CustomerId,
        /// Revision of the contract or tombstone, which a copy keeps.
        revision: ContractRevision,
        /// Contract in force, or `None` for a tombstone.
        contract: Option<CustomerContract>,
    },
    /// The role plan in force.
    Plan {
        /// Offset of the original plan.
        #[serde(rename = "plan")]
        offset: LogOffset,
        /// Planned role of each engine.
        roles: BTreeMap<TargetId, EngineRole>,
    },
    /// A side's attachment.
    Attachment {
        /// Offset of the original attachment, which is its fencing token.
        fence: FencingToken,
        /// Description of the process and its targets.
        attachment: SideAttachment,
    },
    /// The newest announcement about a VM.
    Vm {
        /// VM that the announcement is about.
        vm: VmId,
        /// Offset of the original announcement.
        revision: LogOffset,
        /// Whether the VM is leaving.
        leaving: bool,
    },
    /// Claims on idempotency keys.
    Claims(Vec<(ClaimKey, KeyClaim)>),
}

impl LogRecord {
    /// Encodes the record as JSON.
    ///
    /// # Errors
    /// Returns [`ErrorCode::TooLarge`] if the text exceeds [`MAX_RECORD_BYTES`].
    pub fn encode(&self) -> Result<String> {
        let text = serde_json::to_string(self)
            .map_err(|e| Error::new(ErrorCode::Malformed, format!("record ({e})")))?;
        if text.len() > MAX_RECORD_BYTES {
            return Err(Error::new(ErrorCode::TooLarge, format!("record of {} bytes", text.len())));
        }
        Ok(text)
    }

    /// Decodes a record and checks the contract that it may hold.
    ///
    /// # Errors
    /// Returns an error that names the first invalid field. Every reader skips such a record, so
    /// it cannot stop the log.
    pub fn decode(text: &str) -> Result<LogRecord> {
        if text.len() > MAX_RECORD_BYTES {
            return Err(Error::new(ErrorCode::TooLarge, format!("record of {} bytes", text.len())));
        }
        let record: LogRecord = serde_json::from_str(text)
            .map_err(|e| Error::new(ErrorCode::Malformed, format!("record ({e})")))?;
        if let LogRecord::Contract(ContractChange { customer, contract: Some(contract), .. }) =
            &record
        {
            contract.check()?;
            if contract.customer != *customer {
                return Err(Error::new(
                    ErrorCode::Malformed,
                    "contract.customer differs from customer",
                ));
            }
        }
        Ok(record)
    }
}
