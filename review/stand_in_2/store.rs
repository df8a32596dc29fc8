//! Stand-in of the platform's store: keyed topics of a log, which can be restored from a copy.

use std::{
    collections::BTreeMap,
    io,
    net::SocketAddr,
    sync::{Arc, Condvar, Mutex},
    time::{Duration, Instant},
};

use crate::http::{self, Connection, Message};

type Record = (String, Vec<u8>);

#[derive(Default, Clone)]
struct Content {
    /// Records of each topic; the index is the offset.
    topics: BTreeMap<String, Vec<Record>>,
}

struct State {
    content: Content,
    era: Option<u64>,
    is_down: bool,
}

#[derive(Clone)]
pub struct Store {
    state: Arc<(Mutex<State>, Condvar)>,
    pub address: SocketAddr,
}

/// Copy of all that the store held at a time.
pub struct StoreCopy(Content);

impl Store {
    pub fn start(era: Option<u64>) -> Store {
        let state = State { content: Content::default(), era, is_down: false };
        let state = Arc::new((Mutex::new(state), Condvar::new()));
        let shared = state.clone();
        let address =
            http::serve("store", move |connection, request| answer(&shared, connection, &request));
        Store { state, address }
    }

    /// Writes a record as the operator or a runner does. An empty value drops the key.
    pub fn put(&self, topic: &str, key: &str, value: &[u8]) {
        let mut state = self.state.0.lock().unwrap();
        append(&mut state, topic, key, value);
        self.state.1.notify_all();
    }

    /// Writes a record as a runner does, whose call fails while the store is down.
    pub fn put_by_runner(&self, topic: &str, key: &str, value: &[u8]) -> bool {
        let mut state = self.state.0.lock().unwrap();
        if !state.is_down {
            append(&mut state, topic, key, value);
            self.state.1.notify_all();
        }
        !state.is_down
    }

    pub fn set_down(&self, is_down: bool) {
        self.state.0.lock().unwrap().is_down = is_down;
        self.state.1.notify_all();
    }

    pub fn copy(&self) -> StoreCopy {
        StoreCopy(self.state.0.lock().unwrap().content.clone())
    }

    /// Comes back from a copy, with the next era.
    pub fn restore(&self, copy: StoreCopy) {
        let mut state = self.state.0.lock().unwrap();
        state.content = copy.0;
        state.era = state.era.map(|era| era + 1);
        self.state.1.notify_all();
    }
}

fn append(state: &mut State, topic: &str, key: &str, value: &[u8]) -> u64 {
    let records = state.content.topics.entry(topic.to_owned()).or_default();
    records.push((key.to_owned(), value.to_vec()));
    records.len() as u64 - 1
}

fn answer(
    shared: &(Mutex<State>, Condvar),
    connection: &mut Connection,
    request: &Message,
) -> io::Result<()> {
    let topic = request.query("topic").unwrap_or_default();
    let number = |name: &str| request.query(name).and_then(|text| text.parse::<u64>().ok());
    let mut state = shared.0.lock().unwrap();
    if state.is_down {
        return Err(io::ErrorKind::ConnectionReset.into());
    }
    let (status, body) = match request.path() {
        "/log-append" => {
            let length = state.content.topics.get(&topic).map_or(0, Vec::len) as u64;
            if number("at").is_some_and(|at| at != length) {
                ("412 Precondition Failed", format!("{{\"end\":{length}}}").into_bytes())
            } else {
                let key_end = 5 + usize::from(request.body[4]);
                let key = String::from_utf8_lossy(&request.body[5..key_end]).into_owned();
                let offset = append(&mut state, &topic, &key, &request.body[key_end..]);
                shared.1.notify_all();
                ("200 OK", format!("{{\"offset\":{offset},\"end\":{}}}", offset + 1).into_bytes())
            }
        }
        "/log-newest" => {
            let empty = Vec::new();
            let records = state.content.topics.get(&topic).unwrap_or(&empty);
            let mut newest: BTreeMap<&str, (usize, &[u8])> = BTreeMap::new();
            for (offset, (key, value)) in records.iter().enumerate() {
                newest.insert(key, (offset, value));
            }
            newest.retain(|_, (_, value)| !value.is_empty());
            let items: Vec<String> = newest
                .iter()
                .map(|(key, (offset, value))| {
                    let value = base64(value);
                    format!("{{\"key\":\"{key}\",\"value\":\"{value}\",\"offset\":{offset}}}")
                })
                .collect();
            let (items, end) = (items.join(","), records.len());
            let body = format!("{{\"items\":[{items}],\"has_more\":false,\"end\":{end}}}");
            ("200 OK", body.into_bytes())
        }
        "/log-read" => {
            let from = number("from").unwrap_or(0) as usize;
            let until = Instant::now() + Duration::from_millis(number("wait_ms").unwrap_or(0));
            loop {
                let length = state.content.topics.get(&topic).map_or(0, Vec::len);
                let left = until.saturating_duration_since(Instant::now());
                if state.is_down {
                    return Err(io::ErrorKind::ConnectionReset.into());
                }
                if length != from || left.is_zero() {
                    break;
                }
                state = shared.1.wait_timeout(state, left).unwrap().0;
            }
            let empty = Vec::new();
            let records = state.content.topics.get(&topic).unwrap_or(&empty);
            if from > records.len() {
                ("410 Gone", b"{\"first\":0}".to_vec())
            } else {
                let mut body = (records.len() as u64).to_be_bytes().to_vec();
                body.extend(0_u64.to_be_bytes());
                for (key, value) in &records[from..] {
                    body.extend((1 + key.len() as u32 + value.len() as u32).to_be_bytes());
                    body.push(key.len() as u8);
                    body.extend(key.as_bytes());
                    body.extend(value);
                }
                ("200 OK", body)
            }
        }
        _ => ("404 Not Found", Vec::new()),
    };
    let era = state.era.map(|era| era.to_string());
    drop(state);
    let headers: Vec<(&str, &str)> = era.iter().map(|era| ("Store-Era", era.as_str())).collect();
    connection.respond(status, &headers, &body)
}

fn base64(bytes: &[u8]) -> String {
    const LETTERS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let number = group.iter().fold(0_u32, |sum, byte| sum << 8 | u32::from(*byte));
        let number = number << (8 * (3 - group.len()));
        for place in 0..4 {
            let letter = LETTERS[(number >> (18 - 6 * place)) as usize & 63];
            text.push(if place <= group.len() { char::from(letter) } else { '=' });
        }
    }
    text
}
