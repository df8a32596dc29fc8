//! Contracts under concurrent changes, log retention and delayed carried copies.

mod support;

use std::time::Duration;

use sapphirewell::{
    carry,
    fold::{ChangeResult, FleetState, StoredRecord},
    operator,
    record::{CarriedItem, CarriedState, LogRecord},
};
use support::{LOG_START, MemoryLog, contract};

const RETENTION: Duration = Duration::from_secs(100);

fn publish(log: &mut MemoryLog, change: &str, replaces: u64, share: u32) -> u64 {
    log.append(&operator::publish_record(change.into(), replaces, contract("north", share)))
}

/// Folds only the records within the log's retention.
fn suffix_fold(log: &MemoryLog) -> FleetState {
    let oldest = (LOG_START + log.now).saturating_sub(RETENTION);
    let mut fold = FleetState::default();
    for record in log.records.iter().filter(|record| record.time >= oldest) {
        fold.skip_to(record.offset);
        fold.apply(record);
    }
    fold
}

fn carry_all(log: &mut MemoryLog, fold: &FleetState) {
    for record in carry::due_records(fold, RETENTION, 0) {
        log.append(&record);
    }
}

#[test]
fn second_of_two_concurrent_changes_is_superseded() {
    let mut log = MemoryLog::default();
    let first = publish(&mut log, "a", 0, 1000);
    let winner = publish(&mut log, "b", first, 2000);
    publish(&mut log, "c", first, 3000);
    let fold = log.fold();
    assert_eq!(fold.result("b"), Some(&ChangeResult::Accepted { revision: winner }));
    assert_eq!(fold.result("c"), Some(&ChangeResult::Superseded { current: winner }));
    assert_eq!(fold.view().contract("north").unwrap().1.share_ppm, 2000);
}

#[test]
fn repeated_append_of_a_change_applies_once() {
    let mut log = MemoryLog::default();
    let first = publish(&mut log, "a", 0, 1000);
    let second = publish(&mut log, "b", first, 2000);
    publish(&mut log, "c", second, 3000);
    publish(&mut log, "b", first, 2000);
    let fold = log.fold();
    assert_eq!(fold.result("b"), Some(&ChangeResult::Accepted { revision: second }));
    assert_eq!(fold.view().contract("north").unwrap().1.share_ppm, 3000);
}

#[test]
fn shares_above_the_fleet_are_rejected() {
    let mut log = MemoryLog::default();
    publish(&mut log, "a", 0, 900_000);
    log.append(&operator::publish_record("b".into(), 0, contract("south", 200_000)));
    assert_eq!(log.fold().result("b"), Some(&ChangeResult::SharesExceeded { free_ppm: 100_000 }));
}

#[test]
fn reader_of_the_retained_records_has_every_contract() {
    let mut log = MemoryLog::default();
    publish(&mut log, "a", 0, 1000);
    let mut full = log.fold();
    for _ in 0..30 {
        log.now += Duration::from_secs(20);
        full = log.fold();
        carry_all(&mut log, &full);
    }
    let suffix = suffix_fold(&log);
    assert_eq!(
        suffix.view().contract("north").map(|(revision, _)| revision),
        full.view().contract("north").map(|(r, _)| r)
    );
}

#[test]
fn delayed_copy_does_not_restore_a_retired_contract() {
    let mut log = MemoryLog::default();
    let first = publish(&mut log, "a", 0, 1000);
    log.now += Duration::from_secs(60);
    // A process computes its carried copies and is paused before it appends them.
    let delayed: Vec<LogRecord> = carry::due_records(&log.fold(), RETENTION, 0);
    assert_eq!(delayed.len(), 1);
    log.now += Duration::from_secs(5);
    log.append(&operator::retire_record("b".into(), first, "north".into()));
    for pause_s in [10, 50, 99, 150, 250] {
        let mut branch = MemoryLog { records: log.records.clone(), now: log.now };
        for _ in 0..pause_s {
            branch.now += Duration::from_secs(1);
            let fold = branch.fold();
            carry_all(&mut branch, &fold);
        }
        for record in &delayed {
            branch.append(record);
        }
        assert!(
            branch.fold().view().contract("north").is_none(),
            "reader of all records, append delayed by {pause_s} s"
        );
        assert!(
            suffix_fold(&branch).view().contract("north").is_none(),
            "reader of the retained records, append delayed by {pause_s} s"
        );
    }
}

#[test]
fn carried_copy_does_not_replace_a_newer_revision() {
    let mut log = MemoryLog::default();
    let first = publish(&mut log, "a", 0, 1000);
    let second = publish(&mut log, "b", first, 2000);
    let item = CarriedItem::Contract {
        customer: "north".into(),
        revision: first,
        contract: Some(contract("north", 1000)),
    };
    log.append(&LogRecord::Carry(CarriedState { read_until: LOG_START, item }));
    assert_eq!(log.fold().view().contract("north").unwrap().0, second);
}

#[test]
fn readers_agree_after_the_state_is_copied_at_any_offset() {
    let mut log = MemoryLog::default();
    let mut revision = 0;
    for step in 0..20 {
        log.now += Duration::from_secs(7);
        revision = publish(&mut log, &format!("c{step}"), revision, 1000 + step);
        let fold = log.fold();
        carry_all(&mut log, &fold);
    }
    let full = log.fold();
    for split in 0..log.records.len() {
        let (head, tail): (&[StoredRecord], &[StoredRecord]) = log.records.split_at(split);
        let mut fold = FleetState::default();
        head.iter().for_each(|record| fold.apply(record));
        // A new process copies the state and reads the remaining records.
        let text = serde_json::to_string(&fold).unwrap();
        let mut copy: FleetState = serde_json::from_str(&text).unwrap();
        tail.iter().for_each(|record| copy.apply(record));
        copy.advance_time(LOG_START + log.now);
        assert_eq!(copy, full, "split at {split}");
    }
}
