//! Carries state forward: re-appends it before the log drops the records that hold it.
//!
//! Every process can compute which items are due. Each waits for a delay by its rank, and the
//! first copy in the log makes the item current for all others, so usually only one process
//! appends it. See [docs/design/log.md](../docs/design/log.md).

use std::time::Duration;

use crate::{
    fold::FleetState,
    ids::LogTime,
    record::{CarriedItem, CarriedState, LogRecord},
};

/// Delay that each rank adds before a process re-appends an item.
pub const RANK_DELAY: Duration = Duration::from_secs(2);
/// Maximum number of records that one call returns.
pub const MAX_CARRIED_RECORDS: usize = 16;
/// Maximum number of claims in one carried record.
pub const MAX_CLAIMS_PER_RECORD: usize = 64;

/// Returns the records that a process of this rank has to append now.
///
/// An item is due when its newest record is half of the log's retention old. Tombstones of
/// retired contracts are carried until they are dropped after twice the retention, so that a
/// delayed copy of the retired contract always meets one and cannot bring it back.
pub fn due_records(fleet: &FleetState, retention: Duration, rank: u32) -> Vec<LogRecord> {
    let now = fleet.view().time;
    let age = retention / 2 + RANK_DELAY * rank;
    let Some(limit) = now.checked_sub(age) else { return Vec::new() };
    let mut items = Vec::new();
    push_contracts(fleet, limit, &mut items);
    push_plan(fleet, limit, &mut items);
    push_sides(fleet, limit, &mut items);
    push_vms(fleet, limit, &mut items);
    push_claims(fleet, limit, &mut items);
    items.truncate(MAX_CARRIED_RECORDS);
    let carried = |item| LogRecord::Carry(CarriedState { read_until: now, item });
    items.into_iter().map(carried).collect()
}

/// Returns the time before which tombstones of retired contracts are dropped.
pub fn tombstone_limit(now: LogTime, retention: Duration) -> LogTime {
    now.saturating_sub(retention * 2)
}

fn push_contracts(fleet: &FleetState, limit: LogTime, items: &mut Vec<CarriedItem>) {
    let due = fleet.view().contracts.iter().filter(|(_, state)| state.recorded <= limit);
    for (customer, state) in due.take(MAX_CARRIED_RECORDS) {
        items.push(CarriedItem::Contract {
            customer: customer.clone(),
            revision: state.revision,
            contract: state.contract.as_deref().cloned(),
        });
    }
}

fn push_plan(fleet: &FleetState, limit: LogTime, items: &mut Vec<CarriedItem>) {
    let plan = &fleet.view().plan;
    if plan.offset != 0 && plan.recorded <= limit {
        items.push(CarriedItem::Plan { offset: plan.offset, roles: plan.roles.clone() });
    }
}

fn push_sides(fleet: &FleetState, limit: LogTime, items: &mut Vec<CarriedItem>) {
    let due =
        fleet.view().sides.values().filter(|state| state.recorded <= limit && !state.detached);
    for state in due.take(MAX_CARRIED_RECORDS) {
        let attachment = state.attachment.clone();
        items.push(CarriedItem::Attachment { fence: state.fence, attachment });
    }
}

fn push_vms(fleet: &FleetState, limit: LogTime, items: &mut Vec<CarriedItem>) {
    let due = fleet.view().vms.iter().filter(|(_, state)| state.recorded <= limit && state.leaving);
    for (vm, state) in due.take(MAX_CARRIED_RECORDS) {
        items.push(CarriedItem::Vm {
            vm: vm.clone(),
            revision: state.revision,
            leaving: state.leaving,
        });
    }
}

fn push_claims(fleet: &FleetState, limit: LogTime, items: &mut Vec<CarriedItem>) {
    let due: Vec<_> = fleet
        .claims()
        .iter()
        .filter(|(_, claim)| claim.recorded <= limit)
        .take(MAX_CLAIMS_PER_RECORD)
        .map(|(key, claim)| (key.clone(), claim.clone()))
        .collect();
    if !due.is_empty() {
        items.push(CarriedItem::Claims(due));
    }
}
