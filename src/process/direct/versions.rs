//! Software versions of the services' targets, as kept in the platform's store.
//!
//! Running entries learn versions from the targets' registrations. The records serve entries
//! that start after the last target of a version has left.

use std::{
    hash::{Hash, Hasher},
    rc::Rc,
    time::Duration,
};

use siphasher::sip::SipHasher13;

use super::shell::DirectDriver;
use crate::{
    direct::{DirectEvent, ServiceVersion, VersionChange},
    platform::store::{KeyedRecord, StoreError},
};

/// Topic of the versions. Keys are hashes, as names may be longer than a key.
const TOPIC: &str = "keyed.versions";
/// Delay before a failed call is retried.
const RETRY_DELAY: Duration = Duration::from_secs(1);

/// Writes a change, with retries until the store accepts it. Changes are written in order.
pub(super) async fn write(driver: Rc<DirectDriver>, change: VersionChange) {
    let mut client = driver.version_store.lock().await;
    let (known, value) = match &change {
        // Serializing two texts cannot fail.
        VersionChange::Serves(known) => (known, serde_json::to_vec(known).unwrap_or_default()),
        VersionChange::Gone(known) => (known, Vec::new()),
    };
    let serves = !value.is_empty();
    while let Err(error) = client.put(TOPIC, &key(known), &value).await {
        log::warn!(service:% = known.service, error:% = error; "failed to write software version");
        tokio::time::sleep(RETRY_DELAY).await;
    }
    log::info!(
        service:% = known.service, version:% = known.version, serves:% = serves;
        "software version recorded"
    );
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
                let versions = page.records.iter().filter_map(decode).collect();
                return driver.step(DirectEvent::StoredVersions(versions));
            }
            Err(error) => log::warn!(error:% = error; "failed to read software versions"),
        }
        tokio::time::sleep(RETRY_DELAY).await;
    }
}

fn decode(record: &KeyedRecord) -> Option<ServiceVersion> {
    let version = serde_json::from_slice(record.value.as_ref()?).ok();
    if version.is_none() {
        log::warn!(key:% = record.key, error:% = StoreError::Malformed; "malformed version ignored");
    }
    version
}
