//! Requests and prompt segments that crash targets, as kept in the platform's store.
//!
//! Running entries learn of them from each other's reports. The store serves entries that
//! start when no running one knows, as after all of them lost power.

use std::{rc::Rc, time::Duration};

use serde::{Deserialize, Serialize};

use super::shell::DirectDriver;
use crate::{
    direct::{
        BlockedSuspect, CrashEvidence, CrashSuspect, DirectEvent, EvidenceChange, StoreGeneration,
        SuspectChange, TargetCrash,
    },
    platform::store::{KeyedRecord, RecordPage, StoreClient, StoreError},
};

/// Topic of the blocked suspects, keyed by their text form.
const TOPIC: &str = "keyed.segments";
/// Topic of crashes by the path or segment that they have in common, keyed by its text form.
const EVIDENCE_TOPIC: &str = "keyed.crashes";
/// Delay before a failed call is retried.
const RETRY_DELAY: Duration = Duration::from_secs(1);
/// Attempts to write one change, after which it is dropped.
const MAX_WRITE_ATTEMPTS: u32 = 30;

#[derive(Debug, Serialize, Deserialize)]
struct StoredSuspect {
    crashes: u32,
    repeats: u32,
}

/// Writes a suspect that crashes targets to the store, or removes it.
pub(super) async fn write(driver: Rc<DirectDriver>, change: SuspectChange) {
    let (suspect, value) = match &change {
        SuspectChange::Cleared(suspect) => {
            log::info!(suspect:% = suspect; "{} is no longer blocked", noun(*suspect));
            (*suspect, Vec::new())
        }
        SuspectChange::Blocked(block) => {
            log::warn!(
                suspect:% = block.suspect, crashes:% = block.crashes, repeats:% = block.repeats;
                "{} crashes targets; requests with it are rejected", noun(block.suspect)
            );
            let stored = StoredSuspect { crashes: block.crashes, repeats: block.repeats };
            // Serializing numbers cannot fail.
            (block.suspect, serde_json::to_vec(&stored).unwrap_or_default())
        }
    };
    put(&driver, TOPIC, &suspect.to_string(), &value).await;
}

/// Writes crashes under a suspect to the store, or removes them.
pub(super) async fn write_evidence(driver: Rc<DirectDriver>, change: EvidenceChange) {
    let (suspect, value) = match &change {
        EvidenceChange::Written(CrashEvidence { suspect, crashes }) => {
            log::info!(
                suspect:% = suspect, crashes:% = crashes.len();
                "targets crashed under {}; kept for entries that start", noun(*suspect)
            );
            // Serializing numbers and texts cannot fail.
            (suspect, serde_json::to_vec(crashes).unwrap_or_default())
        }
        EvidenceChange::Removed(suspect) => (suspect, Vec::new()),
    };
    put(&driver, EVIDENCE_TOPIC, &suspect.to_string(), &value).await;
}

/// Names the kind of a suspect in a log line.
fn noun(suspect: CrashSuspect) -> &'static str {
    match suspect {
        CrashSuspect::Segment(_) => "prompt segment",
        CrashSuspect::Path(_) => "request of any caller with any query",
        CrashSuspect::Content(_) => "request of any caller",
        CrashSuspect::Resource(_) => "request with any query",
        CrashSuspect::Caller(_) => "request",
    }
}

/// Writes a record, with retries.
async fn put(driver: &DirectDriver, topic: &str, key: &str, value: &[u8]) {
    let mut client = driver.store_client();
    for _ in 0..MAX_WRITE_ATTEMPTS {
        match client.put(topic, key, value).await {
            Ok(_) => return,
            Err(error) => {
                log::warn!(topic:% = topic, key:% = key, error:% = error; "failed to write suspect")
            }
        }
        tokio::time::sleep(RETRY_DELAY).await;
    }
}

/// Reads all suspects at the start, with retries until the store answers, and again each time
/// that the store was restored from an older copy.
pub(super) async fn read(driver: Rc<DirectDriver>) {
    let mut generation = read_all(&driver, false).await;
    loop {
        let highest = driver.generations.wait_for_restore(generation).await;
        if generation.is_none() {
            // The store begins to state its generation.
            generation = Some(highest);
            continue;
        }
        tokio::time::sleep(driver.restore_delay()).await;
        generation = read_all(&driver, true).await;
    }
}

/// Reads both topics, and returns the generation of the store that they were read from, the
/// earlier one if it was restored in between.
async fn read_all(driver: &Rc<DirectDriver>, is_restored: bool) -> Option<StoreGeneration> {
    let mut client = driver.store_client();
    let blocks = read_topic(&mut client, TOPIC).await;
    let blocked: Vec<BlockedSuspect> = blocks.records.iter().filter_map(decode).collect();
    driver.step(DirectEvent::StoredSuspects { blocked, is_restored });
    let crashes = read_topic(&mut client, EVIDENCE_TOPIC).await;
    let evidence: Vec<CrashEvidence> = crashes.records.iter().filter_map(decode_evidence).collect();
    if !evidence.is_empty() {
        let crashes: usize = evidence.iter().map(|evidence| evidence.crashes.len()).sum();
        log::info!(suspects:% = evidence.len(), crashes:% = crashes; "crashes of targets read");
    }
    driver.step(DirectEvent::StoredEvidence { evidence, is_restored });
    blocks.next.generation.min(crashes.next.generation)
}

async fn read_topic(client: &mut StoreClient, topic: &str) -> RecordPage {
    loop {
        match client.read_newest(topic).await {
            Ok(page) => return page,
            Err(error) => {
                log::warn!(topic:% = topic, error:% = error; "failed to read suspects")
            }
        }
        tokio::time::sleep(RETRY_DELAY).await;
    }
}

fn decode(record: &KeyedRecord) -> Option<BlockedSuspect> {
    let value = record.value.as_ref()?;
    let suspect: Option<CrashSuspect> = record.key.parse().ok();
    let stored: Option<StoredSuspect> = serde_json::from_slice(value).ok();
    let (Some(suspect), Some(stored)) = (suspect, stored) else {
        log::warn!(key:% = record.key, error:% = StoreError::Malformed; "malformed suspect ignored");
        return None;
    };
    let StoredSuspect { crashes, repeats } = stored;
    Some(BlockedSuspect { suspect, crashes, repeats, age: Duration::ZERO })
}

fn decode_evidence(record: &KeyedRecord) -> Option<CrashEvidence> {
    let value = record.value.as_ref()?;
    let suspect: Option<CrashSuspect> = record.key.parse().ok();
    let crashes: Option<Vec<TargetCrash>> = serde_json::from_slice(value).ok();
    let (Some(suspect), Some(crashes)) = (suspect, crashes) else {
        log::warn!(key:% = record.key, error:% = StoreError::Malformed; "malformed crashes ignored");
        return None;
    };
    Some(CrashEvidence { suspect, crashes })
}
