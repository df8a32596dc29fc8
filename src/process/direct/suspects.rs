//! Requests that crash targets, as kept in the platform's store.
//!
//! Running entries learn of them from each other's reports. The store serves entries that
//! start when no running one knows, as after all of them lost power.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use serde::{Deserialize, Serialize};

use super::shell::DirectDriver;
use crate::{
    direct::{DirectEvent, SuspectChange, SuspectReport},
    platform::store::{KeyedRecord, StoreClient, StoreError},
};

/// Topic of the suspects, keyed by the request's fingerprint in hexadecimal.
const TOPIC: &str = "keyed.suspects";
/// Delay before a failed call is retried.
const RETRY_DELAY: Duration = Duration::from_secs(1);
/// Attempts to write one change, after which it is dropped.
const MAX_WRITE_ATTEMPTS: u32 = 30;

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
    let mut client = StoreClient::new(store);
    for _ in 0..MAX_WRITE_ATTEMPTS {
        match client.put(TOPIC, &key, &value).await {
            Ok(_) => return,
            Err(error) => {
                log::warn!(fingerprint:% = key, error:% = error; "failed to write suspect")
            }
        }
        tokio::time::sleep(RETRY_DELAY).await;
    }
}

/// Reads all suspects once at the start, with retries until the store answers.
pub(super) async fn read(store: SocketAddr, driver: Rc<DirectDriver>) {
    let mut client = StoreClient::new(store);
    let page = loop {
        match client.read_newest(TOPIC).await {
            Ok(page) => break page,
            Err(error) => log::warn!(error:% = error; "failed to read suspects"),
        }
        tokio::time::sleep(RETRY_DELAY).await;
    };
    let reports: Vec<SuspectReport> = page.records.iter().filter_map(decode).collect();
    if !reports.is_empty() {
        driver.step(DirectEvent::Suspects(reports));
    }
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
