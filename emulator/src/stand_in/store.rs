//! Stand-in for the platform's store: keyed topics with offsets and long polls.

use std::{
    collections::{BTreeMap, HashMap},
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use base64::{Engine, engine::general_purpose::STANDARD};
use bytes::{Buf, BufMut, Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::{Request, Response, StatusCode, body::Incoming};
use serde_json::json;
use tokio::sync::Notify;

use super::{BrokenOff, StandInBody, whole};

/// Faults to inject into the store's HTTP interface.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct StoreFaults {
    /// Neither executes nor responds to calls; connections stay open.
    pub silent: bool,
    /// Responds 503 to every call.
    pub busy: bool,
    /// Executes appends and closes the connection without a response.
    pub lose_append_responses: bool,
    /// Responds 503 to every second call, as a store that sheds load does.
    pub alternate_busy: bool,
    /// Executes appends after this delay and closes the connection without a response.
    pub append_delay: Option<Duration>,
    /// Responds to a long poll only after its full wait, whatever was appended meanwhile.
    pub delay_long_polls: bool,
    /// Delay before each call is handled.
    pub delay: Duration,
}

#[derive(Debug, Default)]
struct Topic {
    first: u64,
    records: Vec<Bytes>,
    newest: BTreeMap<String, (Bytes, u64)>,
}

#[derive(Debug, Default)]
struct StoreState {
    topics: HashMap<String, Topic>,
    faults: StoreFaults,
    calls: u64,
}

/// Store that tests and targets write to directly and processes access over HTTP.
#[derive(Debug, Clone, Default)]
pub struct StoreModel {
    state: Arc<Mutex<StoreState>>,
    changed: Arc<Notify>,
}

impl StoreModel {
    fn state(&self) -> MutexGuard<'_, StoreState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Replaces the injected faults.
    pub fn set_faults(&self, faults: StoreFaults) {
        self.state().faults = faults;
    }

    /// Returns the number of calls received over HTTP.
    pub fn calls(&self) -> u64 {
        self.state().calls
    }

    /// Appends a new value for a key; `None` or an empty value deletes the key.
    pub fn put(&self, topic: &str, key: &str, value: Option<&[u8]>) {
        let mut content = BytesMut::new();
        content.put_u8(key.len() as u8);
        content.put_slice(key.as_bytes());
        content.put_slice(value.unwrap_or_default());
        self.append(topic, content.freeze());
    }

    /// Deletes all records of a topic; the newest value of each key stays available.
    pub fn compact(&self, topic: &str) {
        let mut state = self.state();
        let Some(topic) = state.topics.get_mut(topic) else { return };
        topic.first += topic.records.len() as u64;
        topic.records.clear();
    }

    fn append(&self, topic: &str, content: Bytes) -> u64 {
        let mut state = self.state();
        let topic = state.topics.entry(topic.to_owned()).or_default();
        let offset = topic.first + topic.records.len() as u64;
        let mut rest = content.clone();
        let length = rest.get_u8() as usize;
        let key = String::from_utf8_lossy(&rest.split_to(length)).into_owned();
        if rest.is_empty() {
            topic.newest.remove(&key);
        } else {
            topic.newest.insert(key, (rest, offset));
        }
        topic.records.push(content);
        drop(state);
        self.changed.notify_waiters();
        offset
    }

    /// Handles one HTTP call.
    ///
    /// # Errors
    /// Returns [`BrokenOff`] if the request body cannot be read or a fault loses the response.
    pub async fn handle(
        self,
        request: Request<Incoming>,
    ) -> Result<Response<StandInBody>, BrokenOff> {
        let (faults, calls) = {
            let mut state = self.state();
            state.calls += 1;
            (state.faults, state.calls)
        };
        if faults.silent {
            std::future::pending::<()>().await;
        }
        tokio::time::sleep(faults.delay).await;
        if faults.busy || (faults.alternate_busy && calls.is_multiple_of(2)) {
            return Ok(response(StatusCode::SERVICE_UNAVAILABLE, Bytes::new()));
        }
        let query = parse_query(request.uri().query().unwrap_or(""));
        let topic = query.get("topic").cloned().unwrap_or_default();
        match request.uri().path() {
            "/log-append" => {
                let body =
                    request.into_body().collect().await.map_err(|_| BrokenOff::Closed)?.to_bytes();
                if let Some(append_delay) = faults.append_delay {
                    tokio::spawn(async move {
                        tokio::time::sleep(append_delay).await;
                        self.append_all(&topic, body);
                    });
                    return Err(BrokenOff::Closed);
                }
                let answer = self.append_all(&topic, body);
                if faults.lose_append_responses { Err(BrokenOff::Closed) } else { Ok(answer) }
            }
            "/log-newest" => Ok(self.newest(&topic)),
            "/log-read" => Ok(self.read(&topic, &query).await),
            _ => Ok(response(StatusCode::NOT_FOUND, Bytes::new())),
        }
    }

    fn append_all(&self, topic: &str, mut body: Bytes) -> Response<StandInBody> {
        let mut first = None;
        while body.remaining() >= 4 {
            let length = body.get_u32() as usize;
            if body.remaining() < length {
                return response(StatusCode::BAD_REQUEST, Bytes::new());
            }
            let offset = self.append(topic, body.split_to(length));
            first.get_or_insert(offset);
        }
        let offset = first.unwrap_or(0);
        response(StatusCode::OK, json!({ "offset": offset, "end": offset + 1 }).to_string())
    }

    fn newest(&self, topic: &str) -> Response<StandInBody> {
        let mut state = self.state();
        let topic = state.topics.entry(topic.to_owned()).or_default();
        let items: Vec<_> = topic
            .newest
            .iter()
            .map(|(key, (value, offset))| {
                json!({ "key": key, "value": STANDARD.encode(value), "offset": offset })
            })
            .collect();
        let end = topic.first + topic.records.len() as u64;
        let answer = json!({ "items": items, "has_more": false, "end": end });
        response(StatusCode::OK, answer.to_string())
    }

    async fn read(&self, topic: &str, query: &HashMap<String, String>) -> Response<StandInBody> {
        let number =
            |name| query.get(name).and_then(|text: &String| text.parse().ok()).unwrap_or(0);
        let from: u64 = number("from");
        let wait = Duration::from_millis(number("wait_ms"));
        let deadline = tokio::time::Instant::now() + wait;
        loop {
            let changed = self.changed.notified();
            if let Some(answer) = self.read_now(topic, from) {
                return answer;
            }
            if self.state().faults.delay_long_polls {
                tokio::time::sleep_until(deadline).await;
            }
            if tokio::time::timeout_at(deadline, changed).await.is_err() {
                return self.read_now(topic, from).unwrap_or_else(|| page(from, 0, &[]));
            }
        }
    }

    fn read_now(&self, topic: &str, from: u64) -> Option<Response<StandInBody>> {
        let mut state = self.state();
        let topic = state.topics.entry(topic.to_owned()).or_default();
        if from < topic.first {
            let answer = json!({ "first": topic.first }).to_string();
            return Some(response(StatusCode::GONE, answer));
        }
        let records = topic.records.get((from - topic.first) as usize..).unwrap_or_default();
        let end = topic.first + topic.records.len() as u64;
        (!records.is_empty()).then(|| page(end, topic.first, records))
    }
}

fn page(end: u64, first: u64, records: &[Bytes]) -> Response<StandInBody> {
    let mut body = BytesMut::new();
    body.put_u64(end);
    body.put_u64(first);
    for record in records {
        body.put_u32(record.len() as u32);
        body.put_slice(record);
    }
    response(StatusCode::OK, body.freeze())
}

fn response(status: StatusCode, body: impl Into<Bytes>) -> Response<StandInBody> {
    let mut response = Response::new(whole(body));
    *response.status_mut() = status;
    response
}

fn parse_query(text: &str) -> HashMap<String, String> {
    let pairs = text.split('&').filter_map(|pair| pair.split_once('='));
    pairs.map(|(name, value)| (name.to_owned(), value.to_owned())).collect()
}
