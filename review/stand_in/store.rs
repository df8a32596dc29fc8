//! Stand-in of the platform's store: keyed topics with offsets and held reads.
//!
//! A drill takes it away for a moment and brings it back from a copy some seconds old, after
//! which the operator and the runners write again what they wrote.

use std::{
    collections::{BTreeMap, HashMap},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    http::{Message, Reader, respond},
    json::base64,
    record::Record,
};

struct Entry {
    at: Instant,
    key: String,
    value: Vec<u8>,
    content: Vec<u8>,
}

#[derive(Default)]
struct State {
    topics: HashMap<String, Vec<Entry>>,
}

#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    state: Arc<Mutex<State>>,
    away: Arc<AtomicBool>,
    era: Arc<AtomicU64>,
    record: Record,
}

impl Store {
    pub fn open(record: &Record) -> Store {
        let listener = TcpListener::bind("127.0.0.1:0").expect("port of the store");
        let store = Store {
            address: listener.local_addr().expect("address of the store"),
            state: Arc::default(),
            away: Arc::default(),
            era: Arc::new(AtomicU64::new(1)),
            record: record.clone(),
        };
        let accepting = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = accepting.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        store
    }

    /// Writes a record as the operator or a runner does. Fails while the store is away.
    pub fn write(&self, topic: &str, key: &str, value: &[u8]) -> Option<u64> {
        if self.away.load(Ordering::SeqCst) {
            return None;
        }
        let mut content = vec![key.len() as u8];
        content.extend_from_slice(key.as_bytes());
        content.extend_from_slice(value);
        Some(self.append(topic, content))
    }

    /// Returns when the first record of a topic was written.
    pub fn first_written(&self, topic: &str) -> Option<Instant> {
        let state = self.state.lock().unwrap();
        Some(state.topics.get(topic)?.first()?.at)
    }

    pub fn is_away(&self) -> bool {
        self.away.load(Ordering::SeqCst)
    }

    /// Takes the store away.
    pub fn leave(&self) {
        self.away.store(true, Ordering::SeqCst);
        self.record.line("store: away");
    }

    /// Brings the store back from a copy of `age` before it left. What was written since is
    /// gone, and its offsets are given out again.
    pub fn come_back(&self, left: Instant, age: Duration) {
        let copied = left - age;
        let mut state = self.state.lock().unwrap();
        for (topic, entries) in &mut state.topics {
            let kept = entries.iter().filter(|entry| entry.at <= copied).count();
            let lost = entries.len() - kept;
            entries.truncate(kept);
            if lost > 0 {
                self.record.line(&format!("store: {topic} lost {lost} records, ends at {kept}"));
            }
        }
        drop(state);
        let era = self.era.fetch_add(1, Ordering::SeqCst) + 1;
        self.away.store(false, Ordering::SeqCst);
        self.record
            .line(&format!("store: back from a copy {} ms old, Store-Era {era}", age.as_millis()));
    }

    fn append(&self, topic: &str, content: Vec<u8>) -> u64 {
        let length = usize::from(content[0]);
        let key = String::from_utf8_lossy(&content[1..1 + length]).into_owned();
        let value = content[1 + length..].to_vec();
        let mut state = self.state.lock().unwrap();
        let entries = state.topics.entry(topic.to_owned()).or_default();
        entries.push(Entry { at: Instant::now(), key: key.clone(), value, content });
        let offset = entries.len() as u64 - 1;
        drop(state);
        if topic != "keyed.servers" {
            self.record.line(&format!("store: {topic} {key} written at offset {offset}"));
        }
        offset
    }

    fn serve(&self, stream: TcpStream) {
        stream.set_nodelay(true).ok();
        let Ok(mut writer) = stream.try_clone() else { return };
        let mut reader = Reader::new(stream);
        while let Ok(request) = reader.request() {
            if self.is_away() || self.answer(&request, &mut writer).is_none() {
                break;
            }
        }
        writer.shutdown(Shutdown::Both).ok();
    }

    fn answer(&self, request: &Message, writer: &mut TcpStream) -> Option<()> {
        let era = self.era.load(Ordering::SeqCst).to_string();
        let topic = request.query("topic").unwrap_or_default();
        let (status, body) = match request.path() {
            "/log-append" => self.append_all(&topic, &request.body),
            "/log-newest" => self.newest(&topic),
            "/log-read" => self.read(&topic, request)?,
            _ => (404, Vec::new()),
        };
        let kind = match request.path() {
            "/log-read" if status == 200 => "application/octet-stream",
            _ => "application/json",
        };
        let headers = [("Content-Type", kind), ("Store-Era", era.as_str())];
        respond(writer, status, &headers, &body).ok()
    }

    fn append_all(&self, topic: &str, mut body: &[u8]) -> (u16, Vec<u8>) {
        let mut first = None;
        let mut last = 0;
        while body.len() > 4 {
            let length = u32::from_be_bytes([body[0], body[1], body[2], body[3]]) as usize;
            last = self.append(topic, body[4..4 + length].to_vec());
            first.get_or_insert(last);
            body = &body[4 + length..];
        }
        let offset = first.unwrap_or(0);
        (200, format!("{{\"offset\":{offset},\"end\":{}}}", last + 1).into_bytes())
    }

    fn newest(&self, topic: &str) -> (u16, Vec<u8>) {
        let state = self.state.lock().unwrap();
        let entries = state.topics.get(topic).map_or(&[][..], Vec::as_slice);
        let mut newest = BTreeMap::new();
        for (offset, entry) in entries.iter().enumerate() {
            match entry.value.is_empty() {
                true => newest.remove(&entry.key),
                false => newest.insert(&entry.key, (offset, &entry.value)),
            };
        }
        let items = newest.iter().map(|(key, (offset, value))| {
            format!("{{\"key\":\"{key}\",\"value\":\"{}\",\"offset\":{offset}}}", base64(value))
        });
        let items: Vec<String> = items.collect();
        let (items, end) = (items.join(","), entries.len());
        (200, format!("{{\"items\":[{items}],\"has_more\":false,\"end\":{end}}}").into_bytes())
    }

    /// Holds the read until there is a record, for the time that the call names. Returns
    /// `None` if the store leaves meanwhile.
    fn read(&self, topic: &str, request: &Message) -> Option<(u16, Vec<u8>)> {
        let number = |name| request.query(name).and_then(|text| text.parse::<u64>().ok());
        let from = number("from").unwrap_or(0) as usize;
        let until = Instant::now() + Duration::from_millis(number("wait_ms").unwrap_or(0));
        loop {
            if self.is_away() {
                return None;
            }
            let state = self.state.lock().unwrap();
            let entries = state.topics.get(topic).map_or(&[][..], Vec::as_slice);
            if from > entries.len() {
                return Some((410, b"{\"first\":0}".to_vec()));
            }
            if from < entries.len() || Instant::now() >= until {
                let mut body = (entries.len() as u64).to_be_bytes().to_vec();
                body.extend_from_slice(&0_u64.to_be_bytes());
                for entry in &entries[from..] {
                    body.extend_from_slice(&(entry.content.len() as u32).to_be_bytes());
                    body.extend_from_slice(&entry.content);
                }
                return Some((200, body));
            }
            drop(state);
            thread::sleep(Duration::from_millis(4));
        }
    }
}
