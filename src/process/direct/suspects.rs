//! Requests that crash targets, in the platform's store.
//!
//! Entries tell each other what crashed; the store is for those that start when
//! no entry is left that knows, after all have lost power.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use serde::{Deserialize, Serialize};

use super::shell::DirectShell;
use crate::{
    direct::{DirectEvent, SuspectChange, SuspectReport},
    platform::store::{KeyedRecord, StoreClient, StoreError},
};

/// Topic of this system, by the requests' fingerprints in hexadecimal.
const TOPIC: &str = "keyed.suspects";
/// Pause before a failed call is made again, and the calls that are made at most.
const RETRY_PAUSE: Duration = Duration::from_secs(1);
const MAX_CALLS: u32 = 30;

#[derive(Debug, Serialize, Deserialize)]
struct SuspectEntry {
    seen: Vec<(u64, u64)>,
}

/// Writes that a request crashes targets, or removes that.
pub(super) async fn keep(store: SocketAddr, change: SuspectChange) {
    let key = format!("{:x}", change.report().fingerprint);
    let value = match &change {
        SuspectChange::Expired(_) => Vec::new(),
        SuspectChange::Crashed(report) => {
            log::info!(fingerprint:% = key, crashes:% = report.seen.len(); "request crashes targets");
            // An entry of numbers always has a JSON form.
            serde_json::to_vec(&SuspectEntry { seen: report.seen.clone() }).unwrap_or_default()
        }
    };
    let mut client = StoreClient::new(store);
    for _ in 0..MAX_CALLS {
        match client.put(TOPIC, &key, &value).await {
            Ok(_) => return,
            Err(error) => log::warn!(fingerprint:% = key, error:% = error; "suspect not written"),
        }
        tokio::time::sleep(RETRY_PAUSE).await;
    }
}

/// Reads once which requests crash targets.
pub(super) async fn read(store: SocketAddr, shell: Rc<DirectShell>) {
    let mut client = StoreClient::new(store);
    let page = loop {
        match client.read_newest(TOPIC).await {
            Ok(page) => break page,
            Err(error) => log::warn!(error:% = error; "suspects not read"),
        }
        tokio::time::sleep(RETRY_PAUSE).await;
    };
    let reports: Vec<SuspectReport> = page.records.iter().filter_map(decode).collect();
    if !reports.is_empty() {
        shell.step(DirectEvent::Suspects(reports));
    }
}

fn decode(record: &KeyedRecord) -> Option<SuspectReport> {
    let value = record.value.as_ref()?;
    let fingerprint = u64::from_str_radix(&record.key, 16).ok();
    let entry: Option<SuspectEntry> = serde_json::from_slice(value).ok();
    let (Some(fingerprint), Some(entry)) = (fingerprint, entry) else {
        log::warn!(key:% = record.key, error:% = StoreError::Malformed; "suspect ignored");
        return None;
    };
    Some(SuspectReport { fingerprint, seen: entry.seen, age: Duration::ZERO })
}
