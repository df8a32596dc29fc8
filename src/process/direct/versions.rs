//! Software versions of the services' targets, as kept in the platform's store.
//!
//! Running entries learn versions from the targets' registrations. The records serve entries
//! that start after the last target of a version has left.

use std::{
    hash::{Hash, Hasher},
    rc::Rc,
    time::Duration,
};

use serde::{Deserialize, Serialize};
use siphasher::sip::SipHasher13;

use super::shell::DirectDriver;
use crate::{
    direct::{DirectEvent, ServiceVersion, StoreGeneration, StoredVersions, VersionChange},
    platform::store::{KeyedRecord, RecordPage, StoreError},
};

/// Topic of the versions. Keys are hashes, as names may be longer than a key.
const TOPIC: &str = "keyed.versions";
/// Key of the record that no version is missing, which is no hash.
const COMPLETE_KEY: &str = "complete";
/// Delay before a failed call is retried.
const RETRY_DELAY: Duration = Duration::from_secs(1);

/// Record that no version is missing in a generation of the store.
#[derive(Debug, Serialize, Deserialize)]
struct CompleteRecord {
    generation: StoreGeneration,
}

/// Writes a change, with retries until the store accepts it. Changes are written in order.
pub(super) async fn write(driver: Rc<DirectDriver>, change: VersionChange) {
    let mut client = driver.version_store.lock().await;
    // Serializing texts and numbers cannot fail.
    let (key, value) = match &change {
        VersionChange::Serves(known) => (key(known), serde_json::to_vec(known).unwrap_or_default()),
        VersionChange::Gone(known) => (key(known), Vec::new()),
        VersionChange::Complete(generation) => {
            let record = CompleteRecord { generation: *generation };
            (COMPLETE_KEY.to_owned(), serde_json::to_vec(&record).unwrap_or_default())
        }
    };
    while let Err(error) = client.put(TOPIC, &key, &value).await {
        log::warn!(change:? = change, error:% = error; "failed to write software version");
        tokio::time::sleep(RETRY_DELAY).await;
    }
    match change {
        VersionChange::Serves(known) | VersionChange::Gone(known) => log::info!(
            service:% = known.service, version:% = known.version, serves:% = !value.is_empty();
            "software version recorded"
        ),
        VersionChange::Complete(generation) => log::info!(
            generation:% = generation;
            "records of software versions are complete"
        ),
    }
}

fn key(known: &ServiceVersion) -> String {
    let mut hasher = SipHasher13::new();
    known.hash(&mut hasher);
    format!("{:016x}", hasher.finish())
}

/// Reads all versions, with retries until the store answers.
pub(super) async fn read(driver: Rc<DirectDriver>) {
    let mut client = driver.store_client();
    loop {
        match client.read_newest(TOPIC).await {
            Ok(page) => {
                return driver.step(DirectEvent::StoredVersions(decode_page(&page)));
            }
            Err(error) => log::warn!(error:% = error; "failed to read software versions"),
        }
        tokio::time::sleep(RETRY_DELAY).await;
    }
}

fn decode_page(page: &RecordPage) -> StoredVersions {
    let is_complete = |record: &&KeyedRecord| record.key == COMPLETE_KEY;
    let complete = page.records.iter().find(is_complete).and_then(|record| record.value.as_ref());
    let complete = complete.and_then(|value| serde_json::from_slice::<CompleteRecord>(value).ok());
    let versions = page.records.iter().filter(|record| !is_complete(record));
    StoredVersions {
        versions: versions.filter_map(decode).collect(),
        generation: page.next.generation,
        complete_in: complete.map(|record| record.generation),
    }
}

fn decode(record: &KeyedRecord) -> Option<ServiceVersion> {
    let version = serde_json::from_slice(record.value.as_ref()?).ok();
    if version.is_none() {
        log::warn!(key:% = record.key, error:% = StoreError::Malformed; "malformed version ignored");
    }
    version
}
