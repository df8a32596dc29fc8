//! Changes by operators: append, then read back what became of them.

use std::time::Duration;

use serde::Serialize;

use crate::{
    claim::{ClaimEvent, ClaimKey},
    contract::CustomerContract,
    error::Result,
    fold::{ChangeResult, FleetState},
    ids::{ChangeId, ContractRevision, CustomerId, VmId},
    process::platform::LogService,
    record::{ClaimBatch, ContractChange, LogRecord, VmAnnouncement},
};

/// Time after which a change without a result is reported as not known yet.
pub const RESULT_TIMEOUT: Duration = Duration::from_secs(6);
const READ_WAIT: Duration = Duration::from_millis(200);

/// What an operator is told about a change.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case", tag = "status")]
pub enum ChangeStatus {
    /// The change is in force.
    Accepted {
        /// The change.
        change: ChangeId,
        /// Its revision.
        revision: u64,
    },
    /// Another change came first, and this one has no effect.
    Superseded {
        /// The change.
        change: ChangeId,
        /// The revision that stands.
        current: u64,
    },
    /// The shares of all customers would exceed the fleet.
    SharesExceeded {
        /// The change.
        change: ChangeId,
        /// Millionths that are free.
        free_ppm: u32,
    },
    /// The log service did not confirm; ask again by the change's id.
    NotKnownYet {
        /// The change.
        change: ChangeId,
    },
}

impl ChangeStatus {
    /// Makes the status from what the fold says about a change.
    pub fn from_result(change: ChangeId, result: Option<&ChangeResult>) -> ChangeStatus {
        match result {
            Some(ChangeResult::Accepted { revision }) => {
                ChangeStatus::Accepted { change, revision: *revision }
            }
            Some(ChangeResult::Superseded { current }) => {
                ChangeStatus::Superseded { change, current: *current }
            }
            Some(ChangeResult::SharesExceeded { free_ppm }) => {
                ChangeStatus::SharesExceeded { change, free_ppm: *free_ppm }
            }
            None => ChangeStatus::NotKnownYet { change },
        }
    }

    /// Returns the exit status of the command line and its meaning in docs/API.md.
    pub fn exit_code(&self) -> u8 {
        match self {
            ChangeStatus::Accepted { .. } => 0,
            ChangeStatus::Superseded { .. } | ChangeStatus::SharesExceeded { .. } => 3,
            ChangeStatus::NotKnownYet { .. } => 4,
        }
    }

    /// Returns the HTTP status of the administration API.
    pub fn http_status(&self) -> u16 {
        match self {
            ChangeStatus::Accepted { .. } => 200,
            ChangeStatus::Superseded { .. } | ChangeStatus::SharesExceeded { .. } => 409,
            ChangeStatus::NotKnownYet { .. } => 202,
        }
    }
}

/// Makes the record that publishes or changes a contract.
pub fn publish_record(
    change: ChangeId,
    replaces: ContractRevision,
    contract: CustomerContract,
) -> LogRecord {
    let customer = contract.customer.clone();
    LogRecord::Contract(ContractChange { change, customer, replaces, contract: Some(contract) })
}

/// Makes the record that retires a contract.
pub fn retire_record(
    change: ChangeId,
    replaces: ContractRevision,
    customer: CustomerId,
) -> LogRecord {
    LogRecord::Contract(ContractChange { change, customer, replaces, contract: None })
}

/// Makes the record that announces a planned change to a VM, or takes it back.
pub fn vm_record(change: ChangeId, vm: VmId, leaving: bool) -> LogRecord {
    LogRecord::Vm(VmAnnouncement { change, vm, leaving })
}

/// Makes the record that settles an unknown outcome.
pub fn settle_record(key: ClaimKey, ran: bool) -> LogRecord {
    let events = vec![ClaimEvent::Settle { key, ran }];
    LogRecord::Claims(ClaimBatch { side: "operator".into(), fence: 0, events })
}

/// Returns a new change id.
pub fn new_change_id() -> ChangeId {
    format!("c-{:016x}", rand::random::<u64>()).into()
}

/// Reads the whole log into a fold.
///
/// # Errors
/// Returns the failure of the first read that fails.
pub async fn read_all(log: &impl LogService, fold: &mut FleetState) -> Result<()> {
    loop {
        let caught_up = read_page(log, fold, Duration::ZERO).await?;
        if caught_up {
            return Ok(());
        }
    }
}

/// Appends a change and waits until the log shows what became of it.
///
/// A lost answer is settled by reading back; the record's change id makes a
/// repeated append harmless.
///
/// # Errors
/// Returns an error where the record cannot be encoded; nothing was appended then.
pub async fn submit(
    log: &impl LogService,
    fold: &mut FleetState,
    change: ChangeId,
    record: &LogRecord,
) -> Result<ChangeStatus> {
    let body = record.encode()?;
    let work = async {
        let mut appended = false;
        loop {
            if !appended {
                appended = log.append(&body).await.is_ok();
            }
            if read_page(log, fold, READ_WAIT).await.is_err() {
                tokio::time::sleep(READ_WAIT).await;
            }
            if let Some(result) = fold.result(&change) {
                return ChangeStatus::from_result(change.clone(), Some(result));
            }
        }
    };
    let status = tokio::time::timeout(RESULT_TIMEOUT, work).await;
    Ok(status.unwrap_or_else(|_| ChangeStatus::NotKnownYet { change: change.clone() }))
}

async fn read_page(log: &impl LogService, fold: &mut FleetState, wait: Duration) -> Result<bool> {
    let page = log.read(fold.view().next, wait).await?;
    let time = page.time();
    let next = page.next;
    fold.skip_to(if page.records.is_empty() { page.next } else { page.first });
    for record in page.records {
        fold.apply(&record.into());
    }
    fold.advance_time(time);
    Ok(fold.view().next >= next)
}
