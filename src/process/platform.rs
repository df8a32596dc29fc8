//! The platform's services, each behind a trait with one HTTP adapter.
//!
//! The protocols are described in [docs/PROTOCOLS.md](../../docs/PROTOCOLS.md).

use std::{future::Future, sync::Arc, time::Duration};

use hyper::Method;
use serde::{Deserialize, Serialize};
use tokio::sync::mpsc;

use super::http::HttpClient;
use crate::{
    error::Result,
    fold::StoredRecord,
    ids::{LogOffset, LogTime, VmId},
    record::LogRecord,
};

/// How long one append may take before its answer counts as lost.
pub const APPEND_TIMEOUT: Duration = Duration::from_secs(2);
/// How long the log service may hold a read that finds nothing new.
pub const READ_WAIT: Duration = Duration::from_millis(1000);
/// Records in one page of the log.
pub const PAGE_RECORDS: usize = 512;
const READ_TIMEOUT: Duration = Duration::from_millis(2500);
const LIST_TIMEOUT: Duration = Duration::from_secs(2);

/// Page of the log.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LogPage {
    /// Oldest offset that the log still holds.
    pub first: LogOffset,
    /// Offset of the next record to read.
    pub next: LogOffset,
    /// Log service's clock in milliseconds.
    pub time_ms: u64,
    /// The records.
    pub records: Vec<PageRecord>,
}

/// Record in a page.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PageRecord {
    /// Its position.
    pub offset: LogOffset,
    /// When it was appended, in milliseconds.
    pub time_ms: u64,
    /// Its text.
    pub body: Arc<str>,
}

/// Answer to an append.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct AppendAnswer {
    /// Position of the new record.
    pub offset: LogOffset,
}

/// State of a VM as the platform lists it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedVm {
    /// The VM.
    pub vm: VmId,
    /// Whether it is leaving.
    pub leaving: bool,
}

/// The platform's log.
pub trait LogService: Clone + Send + Sync + 'static {
    /// Appends a record. A failure leaves open whether the record was appended.
    fn append(&self, body: &str) -> impl Future<Output = Result<LogOffset>> + Send;
    /// Reads the records from an offset on.
    fn read(&self, from: LogOffset, wait: Duration)
    -> impl Future<Output = Result<LogPage>> + Send;
}

/// The platform's VM list.
pub trait VmList: Clone + Send + Sync + 'static {
    /// Returns all VMs; the answer may be somewhat old.
    fn list(&self) -> impl Future<Output = Result<Vec<ListedVm>>> + Send;
}

/// The platform over HTTP.
#[derive(Debug, Clone)]
pub struct HttpPlatform {
    client: HttpClient,
    log_url: Arc<str>,
    vm_list_url: Arc<str>,
}

#[derive(Debug, Serialize)]
struct AppendRequest<'a> {
    body: &'a str,
}

impl LogPage {
    /// Returns the log service's clock.
    pub fn time(&self) -> LogTime {
        Duration::from_millis(self.time_ms)
    }
}

impl From<PageRecord> for StoredRecord {
    fn from(record: PageRecord) -> StoredRecord {
        let time = Duration::from_millis(record.time_ms);
        StoredRecord { offset: record.offset, time, body: record.body }
    }
}

impl HttpPlatform {
    /// Makes an adapter for the platform at these addresses.
    pub fn open(log_url: &str, vm_list_url: &str) -> HttpPlatform {
        HttpPlatform {
            client: HttpClient::open(4),
            log_url: log_url.into(),
            vm_list_url: vm_list_url.into(),
        }
    }
}

impl LogService for HttpPlatform {
    async fn append(&self, body: &str) -> Result<LogOffset> {
        let url = format!("{}/append", self.log_url);
        let request = AppendRequest { body };
        let answer: AppendAnswer =
            self.client.json(Method::POST, &url, Some(&request), APPEND_TIMEOUT).await?;
        Ok(answer.offset)
    }

    async fn read(&self, from: LogOffset, wait: Duration) -> Result<LogPage> {
        let url = format!(
            "{}/read?from={from}&max={PAGE_RECORDS}&wait_ms={}",
            self.log_url,
            wait.as_millis()
        );
        self.client.json(Method::GET, &url, None::<&()>, READ_TIMEOUT).await
    }
}

impl VmList for HttpPlatform {
    async fn list(&self) -> Result<Vec<ListedVm>> {
        let url = format!("{}/vms", self.vm_list_url);
        self.client.json(Method::GET, &url, None::<&()>, LIST_TIMEOUT).await
    }
}

/// Starts a task that appends records in order, and returns the function that feeds it.
///
/// A record that is not appended is due again later, so its failure is only logged.
pub fn spawn_appender<L: LogService>(log: L) -> impl FnMut(LogRecord) + Send + 'static {
    let (sender, mut receiver) = mpsc::unbounded_channel::<LogRecord>();
    tokio::spawn(async move {
        while let Some(record) = receiver.recv().await {
            let Ok(body) = record.encode() else { continue };
            if let Err(error) = log.append(&body).await {
                log::warn!(error:% = error; "record not appended");
            }
        }
    });
    move |record| drop(sender.send(record))
}
