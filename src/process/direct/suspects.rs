//! Requests and prompt segments that crash targets, as kept in the platform's store.
//!
//! Running entries learn of them from each other's reports. The store serves entries that
//! start when no running one knows, as after all of them lost power.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use serde::{Deserialize, Serialize};

use super::shell::DirectDriver;
use crate::{
    direct::{BlockedSegment, DirectEvent, SegmentChange, SuspectChange, SuspectReport},
    platform::store::{KeyedRecord, StoreClient, StoreError},
};

/// Topic of the suspects, keyed by the request's fingerprint in hexadecimal.
const TOPIC: &str = "keyed.suspects";
/// Topic of the blocked prompt segments, keyed by their id in hexadecimal.
const SEGMENT_TOPIC: &str = "keyed.segments";
/// Delay before a failed call is retried.
const RETRY_DELAY: Duration = Duration::from_secs(1);
/// Attempts to write one change, after which it is dropped.
const MAX_WRITE_ATTEMPTS: u32 = 30;

#[derive(Debug, Serialize, Deserialize)]
struct StoredSegment {
    crashes: u32,
    repeats: u32,
}

#[derive(Debug, Serialize, Deserialize)]
struct StoredSuspect {
    seen: Vec<(u64, u64)>,
}

/// Writes a request that crashes targets to the store, or removes it once forgotten.
pub(super) async fn write(store: SocketAddr, change: SuspectChange) {
    let key = format!("{:x}", change.report().fingerprint);
    let value = match &change {
        SuspectChange::Expired(_) => Vec::new(),
        SuspectChange::Crashed(report) => {
            log::info!(
                fingerprint:% = key, crashes:% = report.seen.len();
                "request crashes targets"
            );
            // Serializing numbers cannot fail.
            serde_json::to_vec(&StoredSuspect { seen: report.seen.clone() }).unwrap_or_default()
        }
    };
    put(store, TOPIC, &key, &value).await;
}

/// Writes a prompt segment that crashes targets to the store, or removes it.
pub(super) async fn write_segment(store: SocketAddr, change: SegmentChange) {
    let (segment, value) = match &change {
        SegmentChange::Cleared(segment) => {
            log::info!(segment:% = format!("{segment:x}"); "prompt segment is no longer blocked");
            (*segment, Vec::new())
        }
        SegmentChange::Blocked(block) => {
            log::warn!(
                segment:% = format!("{:x}", block.segment), crashes:% = block.crashes,
                repeats:% = block.repeats;
                "prompt segment crashes targets; requests with it are rejected"
            );
            let stored = StoredSegment { crashes: block.crashes, repeats: block.repeats };
            // Serializing numbers cannot fail.
            (block.segment, serde_json::to_vec(&stored).unwrap_or_default())
        }
    };
    put(store, SEGMENT_TOPIC, &format!("{segment:x}"), &value).await;
}

/// Writes a record, with retries.
async fn put(store: SocketAddr, topic: &str, key: &str, value: &[u8]) {
    let mut client = StoreClient::new(store);
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

/// Reads all suspects once at the start, with retries until the store answers.
pub(super) async fn read(store: SocketAddr, driver: Rc<DirectDriver>) {
    let mut client = StoreClient::new(store);
    let segments = read_topic(&mut client, SEGMENT_TOPIC).await;
    let blocked: Vec<BlockedSegment> = segments.iter().filter_map(decode_segment).collect();
    if !blocked.is_empty() {
        driver.step(DirectEvent::StoredSegments(blocked));
    }
    let requests = read_topic(&mut client, TOPIC).await;
    let reports: Vec<SuspectReport> = requests.iter().filter_map(decode).collect();
    if !reports.is_empty() {
        driver.step(DirectEvent::Suspects(reports));
    }
}

async fn read_topic(client: &mut StoreClient, topic: &str) -> Vec<KeyedRecord> {
    loop {
        match client.read_newest(topic).await {
            Ok(page) => return page.records,
            Err(error) => {
                log::warn!(topic:% = topic, error:% = error; "failed to read suspects")
            }
        }
        tokio::time::sleep(RETRY_DELAY).await;
    }
}

fn decode_segment(record: &KeyedRecord) -> Option<BlockedSegment> {
    let value = record.value.as_ref()?;
    let segment = u64::from_str_radix(&record.key, 16).ok();
    let stored: Option<StoredSegment> = serde_json::from_slice(value).ok();
    let (Some(segment), Some(stored)) = (segment, stored) else {
        log::warn!(key:% = record.key, error:% = StoreError::Malformed; "malformed segment ignored");
        return None;
    };
    let StoredSegment { crashes, repeats } = stored;
    Some(BlockedSegment { segment, crashes, repeats, age: Duration::ZERO })
}

fn decode(record: &KeyedRecord) -> Option<SuspectReport> {
    let value = record.value.as_ref()?;
    let fingerprint = u64::from_str_radix(&record.key, 16).ok();
    let suspect: Option<StoredSuspect> = serde_json::from_slice(value).ok();
    let (Some(fingerprint), Some(suspect)) = (fingerprint, suspect) else {
        log::warn!(
            key:% = record.key, error:% = StoreError::Malformed;
            "malformed suspect ignored"
        );
        return None;
    };
    Some(SuspectReport { fingerprint, seen: suspect.seen, age: Duration::ZERO })
}
