//! Records of the usage duty in the store, and reports of usage to the platform.

use std::{
    rc::Rc,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::{Request, StatusCode};
use serde::{Serialize, de::DeserializeOwned};
use tokio::sync::Mutex;

use super::{
    orders::{CLAIM_CHECK_LIFETIME, boot_time, token_at, write_claim},
    shell::DirectDriver,
};
use crate::{
    direct::{
        BootTime, DirectEvent, OrderFencingToken, PostOutcome, RecordsEnd, SavedUsage, TrueClock,
        UsageAction, UsageEvent, UsageRecords, WindowUsage,
    },
    error::{Error, ErrorCode, Result},
    platform::{
        duty,
        settings::UsageTarget,
        store::{KeyedRecord, RecordPage, StoreClient, StoreError, TopicPosition},
    },
    process::dial,
};

/// Name of the duty in the log.
const DUTY: &str = "usage";
/// Topic of the duty. It is not that of the claims on engines, whose holder checks the end of its
/// topic.
const TOPIC: &str = "keyed.usage";
/// Key of the claims; the newest record is the claim in force.
const CLAIM_KEY: &str = "claim";
/// Key of the last window whose counts are fixed.
const FIXED_KEY: &str = "fixed";
/// Key of the counts that a holder saved.
const SAVED_KEY: &str = "saved";
/// Topic of the saved counts. The end of the duty's topic moves only with claims and fixed counts.
const SAVED_TOPIC: &str = "keyed.usage_saved";
/// Timeout of a report, connecting included.
const CALL_TIMEOUT: Duration = Duration::from_millis(1200);
/// Largest response body that is read from the platform.
const MAX_RESPONSE_BYTES: usize = 64 * 1024;

/// Connections and clock of the usage duty.
#[derive(Debug)]
pub(super) struct UsageLink {
    target: UsageTarget,
    /// Connection for writing counts, one after the other.
    store: Mutex<StoreClient>,
    clock: std::cell::RefCell<TrueClock>,
}

impl UsageLink {
    pub(super) fn new(target: UsageTarget, store: StoreClient) -> UsageLink {
        UsageLink { target, store: Mutex::new(store), clock: std::cell::RefCell::default() }
    }

    /// Returns the time since the start of 1970.
    pub(super) fn time(&self) -> Duration {
        // A clock before 1970 is wrong, whatever it shows.
        let time = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        self.clock.borrow_mut().observe(boot_time(), time)
    }
}

/// Carries out an action of the usage duty.
pub(super) async fn perform(driver: Rc<DirectDriver>, action: UsageAction) {
    let Some(link) = driver.usage_link.clone() else { return };
    match action {
        UsageAction::Claim => {
            let outcome = write_claim(&driver, DUTY, TOPIC, CLAIM_KEY).await;
            step(&driver, UsageEvent::ClaimEnded(outcome));
        }
        UsageAction::Save(saved) => save(&link, &saved).await,
        UsageAction::Read { attempt } => {
            let records = match read(&driver).await {
                Ok(records) => Some(records),
                Err(error) => {
                    log::info!(error:% = error; "failed to read usage records");
                    None
                }
            };
            step(&driver, UsageEvent::RecordsRead { attempt, records });
        }
        UsageAction::Fix { attempt, usage, end } => {
            let confirmed = fix(&driver, &usage, end).await;
            step(&driver, UsageEvent::Fixed { attempt, confirmed });
        }
        UsageAction::Post { attempt, fence, usage } => {
            let outcome = post(&driver, &link, fence, &usage).await;
            log::info!(
                window:% = usage.window, fence:% = fence, customers:% = usage.counts.len(),
                requests:% = usage.counts.values().sum::<u64>(), end:% = outcome;
                "usage report ended"
            );
            step(&driver, UsageEvent::Posted { attempt, outcome });
        }
        UsageAction::Missed { first, last } => {
            log::warn!(first:% = first, last:% = last; "usage not reported, as it is too late");
        }
        // The driver sends messages at once.
        UsageAction::Send { .. } => {}
    }
}

fn step(driver: &Rc<DirectDriver>, event: UsageEvent) {
    driver.step(DirectEvent::Usage(event));
}

async fn save(link: &UsageLink, saved: &SavedUsage) {
    let mut store = link.store.lock().await;
    let result = match encode(saved) {
        Ok(bytes) => store.put(SAVED_TOPIC, SAVED_KEY, &bytes).await,
        Err(error) => Err(error),
    };
    if let Err(error) = result {
        log::info!(error:% = error; "failed to save usage");
    }
}

/// Reads the records of the duty, and what was saved.
async fn read(driver: &DirectDriver) -> std::result::Result<UsageRecords, StoreError> {
    let mut store = driver.store_client();
    let records = decode_page(&store.read_newest(TOPIC).await?);
    let saved = store.read_newest(SAVED_TOPIC).await?;
    let saved = saved.records.iter().find(|record| record.key == SAVED_KEY).and_then(decode);
    Ok(UsageRecords { saved, ..records })
}

/// Writes the counts of a window, unless the topic has new records, and returns whether the store
/// confirmed it.
async fn fix(driver: &DirectDriver, usage: &WindowUsage, end: RecordsEnd) -> bool {
    let (generation, offset) = end;
    let end = TopicPosition { generation, offset };
    let result = match encode(usage) {
        Ok(bytes) => driver.store_client().put_at(TOPIC, end, FIXED_KEY, &bytes).await,
        Err(error) => Err(error),
    };
    if let Err(error) = &result {
        log::info!(window:% = usage.window, error:% = error; "failed to fix usage");
    }
    result.is_ok()
}

fn encode(value: &impl Serialize) -> std::result::Result<Vec<u8>, StoreError> {
    let mut bytes = Vec::new();
    ciborium::into_writer(value, &mut bytes).map_err(|_| StoreError::Malformed)?;
    Ok(bytes)
}

async fn post(
    driver: &DirectDriver,
    link: &UsageLink,
    fence: OrderFencingToken,
    usage: &WindowUsage,
) -> PostOutcome {
    let checked = boot_time();
    let records = match driver.store_client().read_newest(TOPIC).await {
        Ok(page) => decode_page(&page),
        Err(error) => {
            log::info!(error:% = error; "failed to check claim on usage");
            return PostOutcome::NoStore;
        }
    };
    if records.claim != Some((driver.name().into(), fence)) {
        return PostOutcome::Superseded;
    }
    if records.fixed.as_ref() != Some(usage) {
        return PostOutcome::NotFixed;
    }
    let request = match duty::usage_request(link.target.address, driver.name(), fence, usage) {
        Ok(request) => request,
        Err(error) => {
            log::error!(error:% = error; "failed to encode usage");
            return PostOutcome::Refused;
        }
    };
    match exchange(link, request, checked).await {
        Ok(Some(status)) if status.is_success() => PostOutcome::Accepted,
        Ok(Some(status)) => {
            log::info!(status:% = status.as_u16(); "platform refused usage report");
            PostOutcome::Refused
        }
        Ok(None) => PostOutcome::CheckExpired,
        Err(error) => {
            log::info!(error:% = error; "no response to usage report");
            PostOutcome::NoAnswer
        }
    }
}

/// Sends one request over a new connection, and returns the status of its response, or `None` if
/// the claim was checked too long ago.
async fn exchange(
    link: &UsageLink,
    request: Request<Bytes>,
    checked: BootTime,
) -> Result<Option<StatusCode>> {
    let address = link.target.address;
    let failed = |e: hyper::Error| Error::new(ErrorCode::Network, format!("{address} ({e})"));
    let work = async {
        let mut connection = dial::connect(address, CALL_TIMEOUT).await?;
        if boot_time().saturating_sub(checked) > CLAIM_CHECK_LIFETIME {
            return Ok(None);
        }
        let response = connection.sender.send_request(request.map(Full::new)).await;
        let response = response.map_err(failed)?;
        let status = response.status();
        // The body says nothing more; without its end the connection would be reset.
        drop(Limited::new(response.into_body(), MAX_RESPONSE_BYTES).collect().await);
        Ok(Some(status))
    };
    let timed_out = |_| Error::new(ErrorCode::Timeout, address.to_string());
    tokio::time::timeout(CALL_TIMEOUT, work).await.map_err(timed_out)?
}

fn decode_page(page: &RecordPage) -> UsageRecords {
    let record = |key: &str| page.records.iter().find(|record| record.key == key);
    UsageRecords {
        claim: record(CLAIM_KEY).and_then(|record| decode_claim(record, page.next)),
        fixed: record(FIXED_KEY).and_then(decode),
        saved: None,
        end: (page.next.generation, page.next.offset),
    }
}

/// Returns who wrote a claim, and its token. Offsets are those of the page's generation.
fn decode_claim(
    record: &KeyedRecord,
    page: TopicPosition,
) -> Option<(crate::direct::PeerName, OrderFencingToken)> {
    let holder = std::str::from_utf8(record.value.as_deref()?).ok()?;
    let fence = token_at(TopicPosition { offset: record.offset + 1, ..page })?;
    Some((holder.into(), fence))
}

fn decode<T: DeserializeOwned>(record: &KeyedRecord) -> Option<T> {
    let value = ciborium::from_reader(record.value.as_deref()?).ok();
    if value.is_none() {
        log::warn!(key:% = record.key; "malformed usage record ignored");
    }
    value
}
