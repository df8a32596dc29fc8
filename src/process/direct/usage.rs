//! Records of the usage duty in the store, and reports of usage to the platform.

use std::{
    cell::RefCell,
    rc::Rc,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use serde::{Serialize, de::DeserializeOwned};
use tokio::sync::Mutex;

use super::{
    duty_call::{self, CLAIM_KEY, newest_claim, record},
    orders::{boot_time, write_claim},
    shell::DirectDriver,
};
use crate::{
    direct::{
        DirectEvent, FixedRecord, LatestWrite, OrderFencingToken, PostOutcome, RecordsEnd,
        ReportStart, TrueClock, UsageAction, UsageEvent, UsageRecords, WindowUsage,
    },
    platform::{
        duty,
        settings::UsageTarget,
        store::{KeyedRecord, RecordPage, StoreClient, StoreError, TopicPosition},
    },
};

/// Name of the duty in the log.
const DUTY: &str = "usage";
/// Topic of the duty. It is not that of the claims on engines, whose holder checks the end of its
/// topic.
const TOPIC: &str = "keyed.usage";
/// Key of the last window whose counts are fixed.
const FIXED_KEY: &str = "fixed";
/// Key of the first window that may be reported in a generation of the store.
const START_KEY: &str = "start";
/// Key of the counts that a holder saved.
const SAVED_KEY: &str = "saved";
/// Topic of the counts that entries leave for a holder that they cannot reach, by their names.
const MESSAGE_TOPIC: &str = "keyed.usage_messages";
/// Topic of the saved counts. The end of the duty's topic moves only with claims and fixed counts.
const SAVED_TOPIC: &str = "keyed.usage_saved";

/// Bytes of a record; without any it is removed.
type EncodedRecord = std::result::Result<Vec<u8>, StoreError>;

/// Connections and clock of the usage duty.
#[derive(Debug)]
pub(super) struct UsageLink {
    target: UsageTarget,
    /// Connection for writing counts, one after the other.
    store: Mutex<StoreClient>,
    saved: RefCell<LatestWrite<EncodedRecord>>,
    left: RefCell<LatestWrite<EncodedRecord>>,
    clock: RefCell<TrueClock>,
}

impl UsageLink {
    pub(super) fn new(target: UsageTarget, store: StoreClient) -> UsageLink {
        UsageLink {
            target,
            store: Mutex::new(store),
            saved: RefCell::default(),
            left: RefCell::default(),
            clock: RefCell::default(),
        }
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
        UsageAction::Save(saved) => {
            write(&link, &link.saved, (SAVED_TOPIC, SAVED_KEY), encode(&saved)).await;
        }
        UsageAction::LeaveMessage(message) => {
            log::info!("counts that nobody confirms are left in the store");
            write(&link, &link.left, (MESSAGE_TOPIC, driver.name()), encode(&message)).await;
        }
        UsageAction::RemoveMessage => {
            write(&link, &link.left, (MESSAGE_TOPIC, driver.name()), Ok(Vec::new())).await;
        }
        UsageAction::ReadMessages => read_messages(&driver).await,
        UsageAction::Read { attempt, need } => {
            if need.messages {
                read_messages(&driver).await;
            }
            let records = match read(&driver, need.saved).await {
                Ok(records) => Some(records),
                Err(error) => {
                    log::info!(error:% = error; "failed to read usage records");
                    None
                }
            };
            step(&driver, UsageEvent::RecordsRead { attempt, records });
        }
        UsageAction::WriteStart { attempt, start, end } => {
            let confirmed = write_start(&driver, start, end).await;
            log::info!(
                generation:% = start.generation, first:% = start.first, confirmed:% = confirmed;
                "usage is reported from this window on, as the store has a new generation"
            );
            step(&driver, UsageEvent::StartWritten { attempt, confirmed });
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
        UsageAction::Missed { first, last, cause } => {
            log::warn!(first:% = first, last:% = last, cause:% = cause; "usage not reported");
        }
        // The driver sends messages at once.
        UsageAction::Send { .. } => {}
    }
}

fn step(driver: &Rc<DirectDriver>, event: UsageEvent) {
    driver.step(DirectEvent::Usage(event));
}

/// Writes a record, and what came for it in the meantime.
async fn write(
    link: &UsageLink,
    writes: &RefCell<LatestWrite<EncodedRecord>>,
    (topic, key): (&str, &str),
    record: EncodedRecord,
) {
    let mut next = writes.borrow_mut().begin(record);
    while let Some(record) = next {
        let result = match record {
            Ok(bytes) => link.store.lock().await.put(topic, key, &bytes).await,
            Err(error) => Err(error),
        };
        if let Err(error) = result {
            log::info!(topic:% = topic, error:% = error; "failed to save usage");
        }
        next = writes.borrow_mut().end();
    }
}

/// Reads the messages that entries left in the store.
async fn read_messages(driver: &Rc<DirectDriver>) {
    let page = match driver.store_client().read_newest(MESSAGE_TOPIC).await {
        Ok(page) => page,
        Err(error) => {
            log::info!(error:% = error; "failed to read usage messages");
            return;
        }
    };
    let left = page.records.iter().filter(|record| record.key != driver.name());
    for message in left.filter_map(decode) {
        step(driver, UsageEvent::Message(message));
    }
}

/// Reads the records of the duty, and what was saved if asked for.
async fn read(
    driver: &DirectDriver,
    with_saved: bool,
) -> std::result::Result<UsageRecords, StoreError> {
    let mut store = driver.store_client();
    let records = decode_page(&store.read_newest(TOPIC).await?);
    if !with_saved {
        return Ok(records);
    }
    let saved = store.read_newest(SAVED_TOPIC).await?;
    let saved = record(&saved, SAVED_KEY).and_then(decode);
    Ok(UsageRecords { saved, ..records })
}

/// Writes the first window that may be reported, unless the topic has new records, and returns
/// whether the store confirmed it.
async fn write_start(driver: &DirectDriver, start: ReportStart, end: RecordsEnd) -> bool {
    let result = write_at(driver, end, START_KEY, encode(&start)).await;
    if let Err(error) = &result {
        log::info!(first:% = start.first, error:% = error; "failed to write the first window");
    }
    result.is_ok()
}

/// Writes the counts of a window, unless the topic has new records, and returns whether the store
/// confirmed it.
async fn fix(driver: &DirectDriver, usage: &WindowUsage, end: RecordsEnd) -> bool {
    let record = FixedRecord::new(usage.clone(), end.0);
    let result = write_at(driver, end, FIXED_KEY, encode(&record)).await;
    if let Err(error) = &result {
        log::info!(window:% = usage.window, error:% = error; "failed to fix usage");
    }
    result.is_ok()
}

/// Writes a record of the duty's topic, unless that has new records.
async fn write_at(
    driver: &DirectDriver,
    (generation, offset): RecordsEnd,
    key: &str,
    record: EncodedRecord,
) -> std::result::Result<TopicPosition, StoreError> {
    let end = TopicPosition { generation, offset };
    driver.store_client().put_at(TOPIC, end, key, &record?).await
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
    if records.fixed != Some(FixedRecord::new(usage.clone(), records.end.0)) {
        return PostOutcome::NotFixed;
    }
    let request = match duty::usage_request(link.target.address, driver.name(), fence, usage) {
        Ok(request) => request,
        Err(error) => {
            log::error!(error:% = error; "failed to encode usage");
            return PostOutcome::Refused;
        }
    };
    duty_call::send("usage report", link.target.address, request, checked).await
}

fn decode_page(page: &RecordPage) -> UsageRecords {
    let offset = |key| record(page, key).map(|record| record.offset);
    UsageRecords {
        claim: newest_claim(page),
        fixed: record(page, FIXED_KEY).and_then(decode),
        is_fixed_after_start: offset(FIXED_KEY) > offset(START_KEY),
        start: record(page, START_KEY).and_then(decode),
        saved: None,
        end: (page.next.generation, page.next.offset),
    }
}

fn decode<T: DeserializeOwned>(record: &KeyedRecord) -> Option<T> {
    let value = ciborium::from_reader(record.value.as_deref()?).ok();
    if value.is_none() {
        log::warn!(key:% = record.key; "malformed usage record ignored");
    }
    value
}
