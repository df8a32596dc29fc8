//! Records of the platform's log, and their encoding.
//!
//! A record is one JSON document. The log is the only authority: everything
//! that processes have to agree on is a record, see
//! [docs/design/log.md](../docs/design/log.md).

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use strum::{Display, EnumIter, EnumString};

use crate::{
    claim::{ClaimEntry, ClaimEvent, ClaimKey},
    contract::CustomerContract,
    error::{Error, ErrorCode, Result},
    ids::{
        ChangeId, ContentFingerprint, ContractRevision, CustomerId, DataCentreId, FencingToken,
        LogOffset, LogTime, SideId, TargetId, VmId,
    },
};

/// Largest record, in bytes.
pub const MAX_RECORD_BYTES: usize = 512 * 1024;

/// One record.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LogRecord {
    /// Publishes, changes or retires a contract.
    Contract(ContractChange),
    /// Announces a planned change to a VM, or takes the announcement back.
    Vm(VmAnnouncement),
    /// Makes a side process the only one that orders its targets.
    Attach(SideAttachment),
    /// Says that a side has stopped for good.
    Detach {
        /// The side.
        side: SideId,
        /// The fencing number under which it was attached.
        fence: FencingToken,
    },
    /// Assigns roles to engines.
    Plan(PlanProposal),
    /// Events about claims, batched by a side.
    Claims(ClaimBatch),
    /// Evidence for or against requests that crash their targets.
    Suspects(SuspectReport),
    /// Re-appends state whose own records are about to expire.
    Carry(CarriedState),
}

/// Proposal to replace one revision of a contract.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ContractChange {
    /// Identity of the change.
    pub change: ChangeId,
    /// The customer.
    pub customer: CustomerId,
    /// The revision that the change replaces; 0 where no contract stands.
    pub replaces: ContractRevision,
    /// The new contract, or `None` to retire it.
    pub contract: Option<CustomerContract>,
}

/// Announcement of a planned change to a VM.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct VmAnnouncement {
    /// Identity of the change.
    pub change: ChangeId,
    /// The VM.
    pub vm: VmId,
    /// Whether the VM is leaving; `false` takes an announcement back.
    pub leaving: bool,
}

/// Attachment of a side process to its targets.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SideAttachment {
    /// The side.
    pub side: SideId,
    /// Random number of the process, which tells it from its predecessor.
    pub instance: u64,
    /// The VM that it runs on.
    pub vm: VmId,
    /// Its data centre.
    pub data_centre: DataCentreId,
    /// Its `address:port` for links.
    pub address: String,
    /// Its targets.
    pub targets: Vec<TargetDescription>,
}

/// What is fixed about a target.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetDescription {
    /// The target.
    pub target: TargetId,
    /// Engine or plain service.
    pub offer: TargetOffer,
}

/// What a target serves.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TargetOffer {
    /// A model engine.
    Engine {
        /// The model that it has loaded.
        model: String,
        /// Memory, in pages of [`crate::request::KV_PAGE_TOKENS`] tokens.
        #[serde(rename = "pieces")]
        kv_pages: u32,
    },
    /// A plain service.
    Service {
        /// The service.
        service: String,
        /// Calls that it runs at once.
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
    /// Reads prompts and hands the KV cache on.
    Prefill,
    /// Generates from a KV cache read elsewhere.
    Decode,
    /// Does both, at some loss.
    Mixed,
}

/// Proposal of a role plan.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PlanProposal {
    /// Offset of the plan that it replaces; 0 for the first.
    pub replaces: LogOffset,
    /// Roles by engine; an engine that isn't listed keeps its role.
    pub roles: BTreeMap<TargetId, EngineRole>,
}

/// Events about claims from one side.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ClaimBatch {
    /// The side; an operator's shell uses its own name.
    pub side: SideId,
    /// The side's fencing number; 0 for an operator.
    pub fence: FencingToken,
    /// The events, in order.
    pub events: Vec<ClaimEvent>,
}

/// Evidence about requests that were running when their target crashed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectReport {
    /// Identity of the crash, so that a repeated append counts once.
    pub change: ChangeId,
    /// Requests in the batch that crashed.
    pub crashed: Vec<ContentFingerprint>,
    /// Suspects that have run to their end.
    pub cleared: Vec<ContentFingerprint>,
}

/// State that is re-appended before its record expires.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct CarriedState {
    /// The log's time up to which the process that carries it had read.
    pub read_until: LogTime,
    /// The state.
    pub item: CarriedItem,
}

/// One carried item.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CarriedItem {
    /// A contract, or the mark that it was retired.
    Contract {
        /// The customer.
        customer: CustomerId,
        /// The revision, which a carry never changes.
        revision: ContractRevision,
        /// The contract, or `None` where it is retired.
        contract: Option<CustomerContract>,
    },
    /// The role plan in force.
    Plan {
        /// Offset of the plan.
        #[serde(rename = "plan")]
        offset: LogOffset,
        /// The roles.
        roles: BTreeMap<TargetId, EngineRole>,
    },
    /// A side's attachment.
    Attachment {
        /// Fencing number of the attachment.
        fence: FencingToken,
        /// The attachment.
        attachment: SideAttachment,
    },
    /// A VM's announcement.
    Vm {
        /// The VM.
        vm: VmId,
        /// Offset of the announcement.
        revision: LogOffset,
        /// Whether it is leaving.
        leaving: bool,
    },
    /// Claims.
    Claims(Vec<(ClaimKey, ClaimEntry)>),
}

impl LogRecord {
    /// Encodes the record.
    ///
    /// # Errors
    /// Returns [`ErrorCode::TooLarge`] where it exceeds [`MAX_RECORD_BYTES`].
    pub fn encode(&self) -> Result<String> {
        let text = serde_json::to_string(self)
            .map_err(|e| Error::new(ErrorCode::Malformed, format!("record ({e})")))?;
        if text.len() > MAX_RECORD_BYTES {
            return Err(Error::new(ErrorCode::TooLarge, format!("record of {} bytes", text.len())));
        }
        Ok(text)
    }

    /// Decodes a record and checks the contract in it.
    ///
    /// # Errors
    /// Returns the field of the first violation. A reader skips such a record
    /// everywhere alike, so that a bad one cannot stop it.
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
