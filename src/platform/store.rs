//! Client of the platform's store, a log with keyed topics.

use std::{net::SocketAddr, time::Duration};

use bytes::{Buf, BufMut, Bytes, BytesMut};
use http_body_util::Full;
use hyper::{Method, Request, Response, StatusCode, header::HOST};
use serde::{Deserialize, de::DeserializeOwned};
use snafu::Snafu;
use tokio::time::Instant;

use super::generation::{GenerationWatch, stated_generation};
use crate::{
    direct::StoreGeneration,
    process::{
        dial::{self, RequestSender},
        paced_body::{BodyLimits, BodyReadError, PacedBody},
        read_limit::ReceivedBody,
    },
};

/// Longest time to the head of a response other than a long poll's, connecting included, and
/// longest silence within its body.
const CALL_TIMEOUT: Duration = Duration::from_millis(1500);
/// Time beyond a long poll's wait until the head of its response is late, and longest silence
/// within its body. A store that is this slow still answers in time when records are present,
/// since it does not hold that read.
const LONG_POLL_MARGIN: Duration = Duration::from_millis(700);
/// Timeout for connecting to the store.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(800);
/// Largest response body: a page of keyed records in base64, with its JSON around them.
const MAX_RESPONSE_BYTES: usize = 4 * 1024 * 1024;
/// Size of a page of a topic of which only the newest records count, in KiB. The store sends a
/// larger record whole.
const NEWEST_PAGE_KIB: usize = 64;
/// Size from which a response with records that newer ones replace is not read, in bytes.
const MAX_REPLACED_BYTES: u64 = 64 * 1024;
/// Size of what precedes the records of a page: two offsets, in bytes.
const PAGE_HEAD_BYTES: usize = 16;
/// Partition to read and write; every topic in use has only this one.
const PARTITION: u32 = 0;

/// Failure of a call to the store.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum StoreError {
    /// The call was not sent, or its response was lost: it may have taken effect.
    #[snafu(display("no response ({reason})"))]
    NoAnswer {
        /// Error of the connection or the timeout.
        reason: String,
    },
    /// The store refused the call, which had no effect.
    #[snafu(display("refused with status {status}"))]
    Refused {
        /// HTTP status of the refusal.
        status: u16,
    },
    /// Records from the requested offset on were deleted.
    #[snafu(display("records before offset {first} are deleted"))]
    Deleted {
        /// Offset of the oldest record that is left.
        first: u64,
    },
    /// Newer records replace those from the requested offset on, which were not read.
    #[snafu(display("newer records up to offset {end} replace the next ones"))]
    Replaced {
        /// Offset at which the topic ends.
        end: u64,
    },
    /// The store was restored from an older copy since the call's position was read or before
    /// the call ended. Its result does not hold for the restored store.
    #[snafu(display("the store was restored from an older copy"))]
    Restored,
    /// The response could not be decoded.
    #[snafu(display("malformed response"))]
    Malformed,
}

impl StoreError {
    /// Returns the metric label of the failure.
    pub fn label(&self) -> &'static str {
        match self {
            StoreError::NoAnswer { .. } => "no_answer",
            StoreError::Refused { .. } => "refused",
            StoreError::Deleted { .. } => "deleted",
            StoreError::Replaced { .. } => "replaced",
            StoreError::Restored => "restored",
            StoreError::Malformed => "malformed",
        }
    }
}

/// Record of a keyed topic.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KeyedRecord {
    /// Key of the record.
    pub key: String,
    /// Value of the record; `None` if the key was removed.
    pub value: Option<Bytes>,
    /// Offset of the record in its topic.
    pub offset: u64,
}

/// Position in a topic. Offsets of different generations are not comparable, as a store that is
/// restored from an older copy gives out those of lost records again.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TopicPosition {
    /// Generation of the store that the offset is from, if the store stated it.
    pub generation: Option<StoreGeneration>,
    /// Offset in the topic.
    pub offset: u64,
}

/// Records that were read, and the position to continue from.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RecordPage {
    /// Records in the order of the store.
    pub records: Vec<KeyedRecord>,
    /// Position from which to read on.
    pub next: TopicPosition,
    /// Whether no record that was written before the read is missing.
    pub reached_end: bool,
    /// Transfer of the records.
    pub transfer: PageTransfer,
}

/// Transfer of a page of records, from the head of the response to the end of its body.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct PageTransfer {
    /// Size of the body.
    pub bytes: usize,
    /// Time that the body took.
    pub time: Duration,
}

/// Which records of a topic a reader needs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TopicNeed {
    /// All in order, as far as a page holds them.
    All,
    /// The newest of each key. Large records that newer ones replace are not read.
    Newest,
}

/// Client with one connection to the store, which is reopened after a failure.
#[derive(Debug)]
pub struct StoreClient {
    address: SocketAddr,
    generations: GenerationWatch,
    connection: Option<RequestSender>,
}

/// Head of a successful response, with the reader of its body.
struct StoreResponse {
    generation: Option<StoreGeneration>,
    body: PacedBody,
}

/// Limits on the time of a call.
#[derive(Debug, Clone, Copy)]
struct CallTimes {
    /// Longest time to the head of the response and the first byte of its body, connecting
    /// included.
    head: Duration,
    /// Longest silence within its body.
    silence: Duration,
}

impl CallTimes {
    const PLAIN: CallTimes = CallTimes { head: CALL_TIMEOUT, silence: CALL_TIMEOUT };

    fn of_poll(wait: Duration) -> CallTimes {
        CallTimes { head: wait + LONG_POLL_MARGIN, silence: LONG_POLL_MARGIN }
    }
}

#[derive(Deserialize)]
struct NewestResponse {
    items: Vec<NewestItem>,
    #[serde(default)]
    has_more: bool,
    end: u64,
}

#[derive(Deserialize)]
struct NewestItem {
    key: String,
    value: String,
    #[serde(default)]
    offset: u64,
}

#[derive(Deserialize)]
struct AppendResponse {
    offset: u64,
}

#[derive(Deserialize)]
struct DeletedResponse {
    first: u64,
}

impl StoreClient {
    /// Creates a client; the first call connects it. All clients of a process share `generations`.
    pub fn new(address: SocketAddr, generations: GenerationWatch) -> StoreClient {
        StoreClient { address, generations, connection: None }
    }

    /// Returns the generations that this client and others of the process have seen.
    pub fn generations(&self) -> &GenerationWatch {
        &self.generations
    }

    /// Closes the connection, after a call that was abandoned before its response.
    pub fn disconnect(&mut self) {
        self.connection = None;
    }

    /// Returns the newest record of each key of a topic.
    ///
    /// The position is the one that came with the first page, so that reading on from it
    /// misses no change made between pages.
    ///
    /// # Errors
    /// Returns [`StoreError::Restored`] if the pages are from different generations, or why a
    /// call failed.
    pub async fn read_newest(&mut self, topic: &str) -> Result<RecordPage, StoreError> {
        let mut records = Vec::new();
        let mut transfer = PageTransfer::default();
        let mut first_end: Option<TopicPosition> = None;
        let mut after: Option<String> = None;
        loop {
            let mut path = format!("/log-newest?topic={topic}&part={PARTITION}");
            if let Some(key) = &after {
                path.push_str("&after=");
                path.push_str(&percent_encode(key));
            }
            let (generation, body, time) = self.call(Method::GET, &path, Bytes::new()).await?;
            transfer.bytes += body.len();
            transfer.time += time;
            let page: NewestResponse = decode_json(&body)?;
            let end = TopicPosition { generation, offset: page.end };
            let next = *first_end.get_or_insert(end);
            if next.generation != end.generation {
                return Err(StoreError::Restored);
            }
            after = page.items.last().map(|item| item.key.clone());
            let more = page.has_more && after.is_some();
            for item in page.items {
                // One that cannot be decoded is there, but holds nothing; the others count.
                let value = base64_decode(&item.value).unwrap_or_default();
                let NewestItem { key, offset, .. } = item;
                records.push(KeyedRecord { key, value: Some(value), offset });
            }
            if !more {
                return Ok(RecordPage { records, next, reached_end: true, transfer });
            }
        }
    }

    /// Reads the records of a keyed topic from a position on.
    ///
    /// If there are none, the store holds the read for up to `wait` until one is written.
    ///
    /// # Errors
    /// Returns [`StoreError::Deleted`] if records from the position on were deleted,
    /// [`StoreError::Replaced`] if only the newest are needed and large ones precede them,
    /// [`StoreError::Restored`] if it is from an earlier generation, or why the call failed.
    pub async fn read_from(
        &mut self,
        topic: &str,
        from: TopicPosition,
        need: TopicNeed,
        wait: Duration,
    ) -> Result<RecordPage, StoreError> {
        let TopicPosition { generation, offset } = from;
        if generation != self.generations.highest() {
            return Err(StoreError::Restored);
        }
        let mut path = format!(
            "/log-read?topic={topic}&part={PARTITION}&from={offset}&wait_ms={}",
            wait.as_millis()
        );
        if need == TopicNeed::Newest {
            path.push_str(&format!("&max_kb={NEWEST_PAGE_KIB}"));
        }
        let times = CallTimes::of_poll(wait);
        let response = self.open(Method::GET, &path, Bytes::new(), times).await?;
        if response.generation != generation {
            self.disconnect();
            return Err(StoreError::Restored);
        }
        let started = Instant::now();
        let body = read_page(response.body, from, need).await;
        let result = body.and_then(|body| decode_page(topic, body, from, started.elapsed()));
        if result.as_ref().is_err_and(ends_connection) {
            self.disconnect();
        }
        result
    }

    /// Appends a record for a key and returns its position. An empty value removes the key.
    ///
    /// # Errors
    /// Returns why the call failed. After [`StoreError::NoAnswer`] the record may have been
    /// written, and after [`StoreError::Restored`] it was and may be lost.
    pub async fn put(
        &mut self,
        topic: &str,
        key: &str,
        value: &[u8],
    ) -> Result<TopicPosition, StoreError> {
        let path = format!("/log-append?topic={topic}&part={PARTITION}");
        self.append(&path, key, value).await
    }

    /// Appends a record as [`StoreClient::put`] does, if the topic still ends at a position. So a
    /// call that is carried out late has no effect after a record that was written meanwhile.
    ///
    /// # Errors
    /// Returns [`StoreError::Refused`] if the topic has more records, [`StoreError::Restored`] if
    /// the position is from an earlier generation, or why the call failed.
    pub async fn put_at(
        &mut self,
        topic: &str,
        end: TopicPosition,
        key: &str,
        value: &[u8],
    ) -> Result<TopicPosition, StoreError> {
        let TopicPosition { generation, offset } = end;
        if generation != self.generations.highest() {
            return Err(StoreError::Restored);
        }
        let path = format!("/log-append?topic={topic}&part={PARTITION}&at={offset}");
        self.append(&path, key, value).await
    }

    async fn append(
        &mut self,
        path: &str,
        key: &str,
        value: &[u8],
    ) -> Result<TopicPosition, StoreError> {
        let content = 1 + key.len() + value.len();
        let mut record = BytesMut::with_capacity(4 + content);
        record.put_u32(content as u32);
        record.put_u8(key.len() as u8);
        record.put_slice(key.as_bytes());
        record.put_slice(value);
        let (generation, body, _) = self.call(Method::POST, path, record.freeze()).await?;
        let AppendResponse { offset } = decode_json(&body)?;
        Ok(TopicPosition { generation, offset })
    }

    /// Makes a call that the store does not hold, and returns the response's generation and body
    /// with the time that the body took.
    async fn call(
        &mut self,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Result<(Option<StoreGeneration>, Bytes, Duration), StoreError> {
        let response = self.open(method, path, body, CallTimes::PLAIN).await?;
        let started = Instant::now();
        match response.body.read_to_end().await {
            Ok(body) => Ok((response.generation, body, started.elapsed())),
            Err(error) => {
                self.disconnect();
                Err(error.into())
            }
        }
    }

    /// Makes a call and returns the head of the successful response, before its body was read.
    async fn open(
        &mut self,
        method: Method,
        path: &str,
        body: Bytes,
        times: CallTimes,
    ) -> Result<StoreResponse, StoreError> {
        let first_by = Instant::now() + times.head;
        let limits = BodyLimits { first_by, silence: times.silence, bytes: MAX_RESPONSE_BYTES };
        let exchange = self.exchange(method, path, body);
        let result = match tokio::time::timeout_at(first_by, exchange).await {
            Ok(Ok(response)) => self.check_head(response, limits).await,
            Ok(Err(error)) => Err(error),
            Err(_) => Err(StoreError::NoAnswer { reason: "timed out".to_owned() }),
        };
        if result.as_ref().is_err_and(ends_connection) {
            self.disconnect();
        }
        result
    }

    /// Returns a response that is successful, or reads why it is not.
    async fn check_head(
        &self,
        response: Response<ReceivedBody>,
        limits: BodyLimits,
    ) -> Result<StoreResponse, StoreError> {
        let (head, body) = response.into_parts();
        let generation = stated_generation(&head.headers);
        let body = PacedBody::new(body, limits);
        if !self.generations.observe(generation) {
            return Err(StoreError::Restored);
        }
        if head.status == StatusCode::OK {
            return Ok(StoreResponse { generation, body });
        }
        // Read also where it says nothing, so that the connection remains usable.
        let body = body.read_to_end().await?;
        match head.status {
            StatusCode::GONE => {
                Err(StoreError::Deleted { first: decode_json::<DeletedResponse>(&body)?.first })
            }
            status => Err(StoreError::Refused { status: status.as_u16() }),
        }
    }

    /// Sends a request and returns the head of its response.
    async fn exchange(
        &mut self,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Result<Response<ReceivedBody>, StoreError> {
        let host = self.address.to_string();
        let connection = self.connection().await?;
        let request = Request::builder()
            .method(method)
            .uri(path)
            .header(HOST, host)
            .body(Full::new(body))
            .map_err(|_| StoreError::Malformed)?;
        connection.send_request(request).await.map_err(no_answer)
    }

    /// Returns the open connection, or opens a new one.
    async fn connection(&mut self) -> Result<&mut RequestSender, StoreError> {
        let usable = match &mut self.connection {
            Some(connection) => connection.ready().await.is_ok(),
            None => false,
        };
        if !usable {
            self.connection = None;
        }
        match &mut self.connection {
            Some(connection) => Ok(connection),
            empty => {
                let connecting = dial::connect(self.address, CONNECT_TIMEOUT).await;
                let connection =
                    connecting.map_err(|e| StoreError::NoAnswer { reason: e.to_string() })?;
                Ok(empty.insert(connection.sender))
            }
        }
    }
}

/// Reads the body of a page of records, unless only the newest are needed and the page holds
/// large ones that others replace.
async fn read_page(
    mut body: PacedBody,
    from: TopicPosition,
    need: TopicNeed,
) -> Result<Bytes, StoreError> {
    let announced = body.announced();
    let mut head = body.read_at_least(PAGE_HEAD_BYTES).await?;
    let end = head.try_get_u64().map_err(|_| StoreError::Malformed)?;
    let is_large = announced.is_some_and(|bytes| bytes > MAX_REPLACED_BYTES);
    if need == TopicNeed::Newest && is_large && end > from.offset + 1 {
        return Err(StoreError::Replaced { end });
    }
    Ok(body.read_to_end().await?)
}

fn decode_page(
    topic: &str,
    mut body: Bytes,
    from: TopicPosition,
    time: Duration,
) -> Result<RecordPage, StoreError> {
    let transfer = PageTransfer { bytes: body.len(), time };
    if transfer.bytes < PAGE_HEAD_BYTES {
        return Err(StoreError::Malformed);
    }
    let end = body.get_u64();
    let _first = body.get_u64();
    let mut page = RecordPage { records: Vec::new(), next: from, reached_end: false, transfer };
    while body.has_remaining() {
        let content = take_record(&mut body).ok_or(StoreError::Malformed)?;
        let offset = page.next.offset;
        match decode_record(content, offset) {
            Some(record) => page.records.push(record),
            None => log::info!(topic:% = topic, offset:% = offset; "malformed record ignored"),
        }
        page.next.offset += 1;
    }
    page.reached_end = page.next.offset >= end;
    Ok(page)
}

/// Returns whether a response was left unread, so that its connection serves no other call.
fn ends_connection(error: &StoreError) -> bool {
    match error {
        StoreError::NoAnswer { .. } | StoreError::Replaced { .. } | StoreError::Restored => true,
        StoreError::Refused { .. } | StoreError::Deleted { .. } | StoreError::Malformed => false,
    }
}

impl From<BodyReadError> for StoreError {
    fn from(error: BodyReadError) -> StoreError {
        StoreError::NoAnswer { reason: error.to_string() }
    }
}

fn no_answer(error: hyper::Error) -> StoreError {
    StoreError::NoAnswer { reason: error.to_string() }
}

fn decode_json<T: DeserializeOwned>(body: &Bytes) -> Result<T, StoreError> {
    serde_json::from_slice(body).map_err(|_| StoreError::Malformed)
}

/// Takes the content of one record, which its length (4 bytes) precedes.
fn take_record(body: &mut Bytes) -> Option<Bytes> {
    let length = body.try_get_u32().ok()? as usize;
    (body.remaining() >= length).then(|| body.split_to(length))
}

/// Decodes the content of a record: the length of its key (1 byte), the key and the value.
fn decode_record(mut content: Bytes, offset: u64) -> Option<KeyedRecord> {
    let key_length = content.try_get_u8().ok()? as usize;
    if content.remaining() < key_length {
        return None;
    }
    let key = content.split_to(key_length);
    let value = (!content.is_empty()).then_some(content);
    Some(KeyedRecord { key: String::from_utf8_lossy(&key).into_owned(), value, offset })
}

fn percent_encode(text: &str) -> String {
    let plain = |b: u8| b.is_ascii_alphanumeric() || b"-_.~".contains(&b);
    let encode = |b: u8| if plain(b) { char::from(b).to_string() } else { format!("%{b:02X}") };
    text.bytes().map(encode).collect()
}

fn base64_decode(text: &str) -> Option<Bytes> {
    use base64::{Engine, engine::general_purpose::STANDARD};
    STANDARD.decode(text).ok().map(Bytes::from)
}
