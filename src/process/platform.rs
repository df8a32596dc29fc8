//! Clients of the platform's services: a trait for each service, implemented over HTTP.
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

/// Timeout of an append; after it, the record may or may not have been appended.
pub const APPEND_TIMEOUT: Duration = Duration::from_secs(2);
/// How long the log service may hold a read that finds no new records (long poll).
pub const LONG_POLL_TIME: Duration = Duration::from_millis(1000);
/// Largest number of records in one page of the log.
pub const MAX_PAGE_RECORDS: usize = 512;
const READ_TIMEOUT: Duration = Duration::from_millis(2500);
const LIST_TIMEOUT: Duration = Duration::from_secs(2);

/// Page of consecutive records of the log.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LogPage {
    /// Oldest offset that the log still holds.
    pub first: LogOffset,
    /// Offset of the next record to read.
    pub next: LogOffset,
    /// Time of the log service's clock, in milliseconds since the Unix epoch.
    pub time_ms: u64,
    /// Records in order of their offsets.
    pub records: Vec<PageRecord>,
}

/// Record of a [`LogPage`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PageRecord {
    /// Position in the log.
    pub offset: LogOffset,
    /// Time of the append by the log service's clock, in milliseconds since the Unix epoch.
    pub time_ms: u64,
    /// Encoded record, see [`LogRecord::encode`].
    pub body: Arc<str>,
}

/// Response to an append.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct AppendResponse {
    /// Position of the new record.
    pub offset: LogOffset,
}

/// State of a VM as the platform lists it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedVm {
    /// Name of the VM.
    pub vm: VmId,
    /// Whether the VM is leaving, so that the processes on it have to drain.
    pub leaving: bool,
}

/// The platform's log service.
pub trait LogService: Clone + Send + Sync + 'static {
    /// Appends a record. After a failure, the record may or may not have been appended.
    fn append(&self, body: &str) -> impl Future<Output = Result<LogOffset>> + Send;
    /// Reads a page of records starting at an offset, and waits up to `wait` for the first.
    fn read(&self, from: LogOffset, wait: Duration)
    -> impl Future<Output = Result<LogPage>> + Send;
}

/// The platform's VM list.
pub trait VmList: Clone + Send + Sync + 'static {
    /// Lists all VMs; the list may be slightly out of date.
    fn list(&self) -> impl Future<Output = Result<Vec<ListedVm>>> + Send;
}

/// Client of the log service and the VM list over HTTP.
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
    /// Returns the time of the log service's clock.
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
    /// Creates a client for the services at these base URLs.
    pub fn new(log_url: &str, vm_list_url: &str) -> HttpPlatform {
        HttpPlatform {
            client: HttpClient::new(4),
            log_url: log_url.into(),
            vm_list_url: vm_list_url.into(),
        }
    }
}

impl LogService for HttpPlatform {
    async fn append(&self, body: &str) -> Result<LogOffset> {
        let url = format!("{}/append", self.log_url);
        let request = AppendRequest { body };
        let response: AppendResponse =
            self.client.send_json(Method::POST, &url, Some(&request), APPEND_TIMEOUT).await?;
        Ok(response.offset)
    }

    async fn read(&self, from: LogOffset, wait: Duration) -> Result<LogPage> {
        let url = format!(
            "{}/read?from={from}&max={MAX_PAGE_RECORDS}&wait_ms={}",
            self.log_url,
            wait.as_millis()
        );
        self.client.send_json(Method::GET, &url, None::<&()>, READ_TIMEOUT).await
    }
}

impl VmList for HttpPlatform {
    async fn list(&self) -> Result<Vec<ListedVm>> {
        let url = format!("{}/vms", self.vm_list_url);
        self.client.send_json(Method::GET, &url, None::<&()>, LIST_TIMEOUT).await
    }
}

/// Starts a task that appends records in order, and returns a function that queues a record.
///
/// A failed append is only logged: what the record carries becomes due again later.
pub fn spawn_appender<L: LogService>(log: L) -> impl FnMut(LogRecord) + Send + 'static {
    let (sender, mut receiver) = mpsc::unbounded_channel::<LogRecord>();
    tokio::spawn(async move {
        while let Some(record) = receiver.recv().await {
            let Ok(body) = record.encode() else { continue };
            if let Err(error) = log.append(&body).await {
                log::warn!(error:% = error; "append failed; its content becomes due again later");
            }
        }
    });
    move |record| drop(sender.send(record))
}
