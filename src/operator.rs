//! Changes by operators: append a record, then read its outcome back from the log.

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

/// Time after which [`submit`] reports a change without an outcome as not known yet.
pub const RESULT_TIMEOUT: Duration = Duration::from_secs(6);
/// Maximum time that one read waits for new records, and pause after a failed read.
const READ_WAIT: Duration = Duration::from_millis(200);

/// Status of a change, as reported to an operator.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case", tag = "status")]
pub enum ChangeStatus {
    /// The change is in force.
    Accepted {
        /// Id of the change.
        change: ChangeId,
        /// Offset of the change in the log.
        revision: u64,
    },
    /// Another change was recorded first, and this one has no effect.
    Superseded {
        /// Id of the change.
        change: ChangeId,
        /// Revision in force.
        current: u64,
    },
    /// The shares of all customers would add up to more than the fleet.
    SharesExceeded {
        /// Id of the change.
        change: ChangeId,
        /// Largest share that the customer could have, in millionths of the fleet.
        free_ppm: u32,
    },
    /// The log does not show the outcome yet; it can be queried later by the change's id.
    NotKnownYet {
        /// Id of the change.
        change: ChangeId,
    },
}

impl ChangeStatus {
    /// Converts the outcome of a change in the log's state; `None` if it shows none yet.
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

    /// Returns the exit status of the command line, as docs/API.md lists it.
    pub fn exit_code(&self) -> u8 {
        match self {
            ChangeStatus::Accepted { .. } => 0,
            ChangeStatus::Superseded { .. } | ChangeStatus::SharesExceeded { .. } => 3,
            ChangeStatus::NotKnownYet { .. } => 4,
        }
    }

    /// Returns the HTTP status of the administration API's response.
    pub fn http_status(&self) -> u16 {
        match self {
            ChangeStatus::Accepted { .. } => 200,
            ChangeStatus::Superseded { .. } | ChangeStatus::SharesExceeded { .. } => 409,
            ChangeStatus::NotKnownYet { .. } => 202,
        }
    }
}

/// Creates the record that publishes or changes a contract.
pub fn publish_record(
    change: ChangeId,
    replaces: ContractRevision,
    contract: CustomerContract,
) -> LogRecord {
    let customer = contract.customer.clone();
    LogRecord::Contract(ContractChange { change, customer, replaces, contract: Some(contract) })
}

/// Creates the record that retires a contract.
pub fn retire_record(
    change: ChangeId,
    replaces: ContractRevision,
    customer: CustomerId,
) -> LogRecord {
    LogRecord::Contract(ContractChange { change, customer, replaces, contract: None })
}

/// Creates the record that announces a VM as leaving, or withdraws the announcement.
pub fn vm_record(change: ChangeId, vm: VmId, leaving: bool) -> LogRecord {
    LogRecord::Vm(VmAnnouncement { change, vm, leaving })
}

/// Creates the record that settles an unknown outcome by stating whether the request ran.
pub fn settle_record(key: ClaimKey, ran: bool) -> LogRecord {
    let events = vec![ClaimEvent::Settle { key, ran }];
    LogRecord::Claims(ClaimBatch { side: "operator".into(), fence: 0, events })
}

/// Returns a random change id.
pub fn new_change_id() -> ChangeId {
    format!("c-{:016x}", rand::random::<u64>()).into()
}

/// Applies all records of the log to `fleet`.
///
/// # Errors
/// Returns the error of the first read that fails.
pub async fn read_all(log: &impl LogService, fleet: &mut FleetState) -> Result<()> {
    loop {
        let caught_up = read_page(log, fleet, Duration::ZERO).await?;
        if caught_up {
            return Ok(());
        }
    }
}

/// Appends a change and waits until the log shows its outcome.
///
/// The append is repeated until the log service confirms one or the outcome is read back. The
/// record's change id makes repeated appends harmless.
///
/// # Errors
/// Returns an error if the record cannot be encoded; nothing is appended then.
pub async fn submit(
    log: &impl LogService,
    fleet: &mut FleetState,
    change: ChangeId,
    record: &LogRecord,
) -> Result<ChangeStatus> {
    let body = record.encode()?;
    let append_and_read = async {
        let mut appended = false;
        loop {
            if !appended {
                appended = log.append(&body).await.is_ok();
            }
            if read_page(log, fleet, READ_WAIT).await.is_err() {
                tokio::time::sleep(READ_WAIT).await;
            }
            if let Some(result) = fleet.result(&change) {
                return ChangeStatus::from_result(change.clone(), Some(result));
            }
        }
    };
    let status = tokio::time::timeout(RESULT_TIMEOUT, append_and_read).await;
    Ok(status.unwrap_or_else(|_| ChangeStatus::NotKnownYet { change: change.clone() }))
}

/// Applies one page of records and returns whether it reached the end of the log.
async fn read_page(log: &impl LogService, fleet: &mut FleetState, wait: Duration) -> Result<bool> {
    let page = log.read(fleet.view().next, wait).await?;
    let time = page.time();
    let next = page.next;
    fleet.skip_to(if page.records.is_empty() { page.next } else { page.first });
    for record in page.records {
        fleet.apply(&record.into());
    }
    fleet.advance_time(time);
    Ok(fleet.view().next >= next)
}
