//! The platform's store: a log with keyed topics, as far as the system uses it.

use std::{
    collections::{BTreeMap, HashMap},
    io::{self, BufReader, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Condvar, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::http::{Head, read_bytes, read_head, respond};

/// Header by which the operator and the runners are told from the system, which may not write to
/// their topics.
pub const OUTSIDE: &str = "Stand-In-Writer";
/// Time without a heartbeat after which a runner's entry is removed.
const BEAT_LIMIT: Duration = Duration::from_millis(3 * 1200);

type Record = (String, Vec<u8>);

#[derive(Default)]
struct State {
    topics: HashMap<String, Vec<Record>>,
    beats: HashMap<String, Instant>,
}

#[derive(Clone, Default)]
pub struct Store {
    state: Arc<(Mutex<State>, Condvar)>,
}

impl Store {
    pub fn start() -> io::Result<(Store, SocketAddr)> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let store = Store::default();
        let serving = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = serving.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        let expiring = store.clone();
        thread::spawn(move || loop {
            thread::sleep(Duration::from_millis(100));
            expiring.expire();
        });
        Ok((store, address))
    }

    pub fn append(&self, topic: &str, key: &str, value: &[u8]) {
        let (state, changed) = &*self.state;
        let mut state = state.lock().unwrap();
        let records = state.topics.entry(topic.to_owned()).or_default();
        records.push((key.to_owned(), value.to_vec()));
        if topic == "keyed.servers" {
            state.beats.insert(key.to_owned(), Instant::now());
        }
        changed.notify_all();
    }

    /// Waits for the next heartbeat of a runner.
    pub fn wait_for_beat(&self, id: &str) {
        let beat = || self.state.0.lock().unwrap().beats.get(id).copied();
        let before = beat();
        while beat() == before {
            thread::sleep(Duration::from_millis(1));
        }
    }

    fn expire(&self) {
        let (state, changed) = &*self.state;
        let mut state = state.lock().unwrap();
        let silent: Vec<String> = state
            .beats
            .iter()
            .filter(|(_, at)| at.elapsed() > BEAT_LIMIT)
            .map(|(key, _)| key.clone())
            .collect();
        for key in silent {
            state.beats.remove(&key);
            state.topics.entry("keyed.servers".to_owned()).or_default().push((key, Vec::new()));
            changed.notify_all();
        }
    }

    fn serve(&self, mut stream: TcpStream) {
        let Ok(clone) = stream.try_clone() else { return };
        drop(stream.set_nodelay(true));
        let mut reader = BufReader::new(clone);
        while let Ok(Some(head)) = read_head(&mut reader) {
            let Ok(body) = read_bytes(&mut reader, head.length()) else { return };
            if self.answer(&mut stream, &head, &body).is_err() {
                return;
            }
        }
    }

    fn answer(&self, stream: &mut impl Write, head: &Head, body: &[u8]) -> io::Result<()> {
        let fields = [("Store-Era", "1")];
        let topic = head.query("topic").unwrap_or_default();
        let path = head.word(1).split('?').next().unwrap_or("").to_owned();
        match (head.word(0), &*path) {
            ("GET", "/log-newest") => {
                respond(stream, "200 OK", &fields, &self.newest_page(&topic))
            }
            ("GET", "/log-read") => {
                let number = |name| head.query(name).and_then(|text| text.parse::<u64>().ok());
                let from = number("from").unwrap_or(0) as usize;
                let wait = Duration::from_millis(number("wait_ms").unwrap_or(0));
                respond(stream, "200 OK", &fields, &self.read(&topic, from, wait))
            }
            ("POST", "/log-append") => {
                let is_foreign = topic == "keyed.servers" || topic == "keyed.op";
                if is_foreign && head.get(OUTSIDE).is_none() {
                    return respond(stream, "403 Forbidden", &fields, b"{}");
                }
                let at = head.query("at").and_then(|text| text.parse::<usize>().ok());
                let (status, answer) = self.append_all(&topic, at, body);
                respond(stream, status, &fields, answer.as_bytes())
            }
            _ => respond(stream, "400 Bad Request", &fields, b"{}"),
        }
    }

    fn append_all(&self, topic: &str, at: Option<usize>, mut body: &[u8]) -> (&'static str, String) {
        let (state, changed) = &*self.state;
        let mut state = state.lock().unwrap();
        let end = state.topics.entry(topic.to_owned()).or_default().len();
        if at.is_some_and(|at| at != end) {
            return ("412 Precondition Failed", format!("{{\"end\":{end}}}"));
        }
        while body.len() > 4 {
            let length = u32::from_be_bytes([body[0], body[1], body[2], body[3]]) as usize;
            let record = &body[4..4 + length];
            let (key, value) = record[1..].split_at(usize::from(record[0]));
            let key = String::from_utf8_lossy(key).into_owned();
            if topic == "keyed.servers" {
                state.beats.insert(key.clone(), Instant::now());
            }
            state.topics.entry(topic.to_owned()).or_default().push((key, value.to_vec()));
            body = &body[4 + length..];
        }
        changed.notify_all();
        let now = state.topics[topic].len();
        ("200 OK", format!("{{\"offset\":{end},\"end\":{now}}}"))
    }

    fn newest_page(&self, topic: &str) -> Vec<u8> {
        let state = self.state.0.lock().unwrap();
        let none = Vec::new();
        let records = state.topics.get(topic).unwrap_or(&none);
        let mut newest = BTreeMap::new();
        for (offset, (key, value)) in records.iter().enumerate() {
            newest.insert(key.clone(), (offset, value));
        }
        let items = newest.iter().filter(|(_, (_, value))| !value.is_empty());
        let items: Vec<String> = items
            .map(|(key, (offset, value))| {
                let value = base64(value);
                format!("{{\"key\":\"{key}\",\"value\":\"{value}\",\"offset\":{offset}}}")
            })
            .collect();
        let (items, end) = (items.join(","), records.len());
        format!("{{\"items\":[{items}],\"has_more\":false,\"end\":{end}}}").into_bytes()
    }

    fn read(&self, topic: &str, from: usize, wait: Duration) -> Vec<u8> {
        let until = Instant::now() + wait;
        let (state, changed) = &*self.state;
        let mut state = state.lock().unwrap();
        loop {
            let end = state.topics.get(topic).map_or(0, Vec::len);
            let left = until.saturating_duration_since(Instant::now());
            if end > from || left.is_zero() {
                break;
            }
            state = changed.wait_timeout(state, left).unwrap().0;
        }
        let none = Vec::new();
        let records = state.topics.get(topic).unwrap_or(&none);
        let mut bytes = (records.len() as u64).to_be_bytes().to_vec();
        bytes.extend_from_slice(&0_u64.to_be_bytes());
        for record in records.iter().skip(from) {
            bytes.extend_from_slice(&encode(record));
        }
        bytes
    }
}

/// Encodes a record of a keyed topic, with its length before it.
pub fn encode((key, value): &Record) -> Vec<u8> {
    let length = 1 + key.len() + value.len();
    let mut bytes = (length as u32).to_be_bytes().to_vec();
    bytes.push(key.len() as u8);
    bytes.extend_from_slice(key.as_bytes());
    bytes.extend_from_slice(value);
    bytes
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let mut number = 0_u32;
        for index in 0..3 {
            number = number << 8 | u32::from(*group.get(index).unwrap_or(&0));
        }
        for index in 0..4 {
            let digit = DIGITS[(number >> (18 - 6 * index)) as usize & 63];
            text.push(if index <= group.len() { char::from(digit) } else { '=' });
        }
    }
    text
}
