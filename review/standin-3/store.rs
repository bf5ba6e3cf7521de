//! Stand-in for the platform's store.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Answer, Request, serve};
use crate::json::Json;
use crate::record::Record;

const ANSWER_TIME: Duration = Duration::from_millis(4);
const PAGE_LEN: usize = 500;

#[derive(Clone)]
struct Item {
    value: String,
    revision: i64,
    created: i64,
    lease: i64,
}

struct Lease {
    ttl: Duration,
    renewed: Instant,
}

/// A write that gets no answer and is carried out late.
#[derive(Default)]
pub struct LateWrite {
    /// The first write of a key with this prefix is the one.
    pub prefix: Option<String>,
    pub delay: Duration,
    pub seen: usize,
    pub late: usize,
}

#[derive(Default)]
struct State {
    revision: i64,
    items: BTreeMap<String, Item>,
    events: Vec<(i64, String, Json)>,
    leases: HashMap<i64, Lease>,
    late_write: LateWrite,
}

pub struct Store {
    record: Arc<Record>,
    state: Mutex<State>,
    changed: Condvar,
}

impl Store {
    pub fn start(address: SocketAddr, record: Arc<Record>) -> Arc<Self> {
        let store = Arc::new(Self { record, state: Mutex::default(), changed: Condvar::new() });
        // Lease ids and revisions share a counter that starts above 0.
        store.state.lock().unwrap().revision = 1;
        let served = Arc::clone(&store);
        serve(address, Arc::default(), move |request| served.answer(&request));
        let expiring = Arc::clone(&store);
        thread::spawn(move || loop {
            thread::sleep(Duration::from_millis(10));
            let mut state = expiring.state.lock().unwrap();
            if state.expire_leases() { expiring.changed.notify_all(); }
        });
        store
    }

    /// Writes an item as an operator does.
    pub fn put(&self, key: &str, text: &str) {
        let mut state = self.state.lock().unwrap();
        state.revision += 1;
        state.put(key, &encode_base64(text.as_bytes()), 0);
        self.changed.notify_all();
    }

    /// The next write of a key with this prefix gets no answer and is carried out after `delay`.
    pub fn lose_one(&self, prefix: &str, delay: Duration) {
        let mut state = self.state.lock().unwrap();
        state.late_write = LateWrite { prefix: Some(prefix.to_owned()), delay, ..LateWrite::default() };
    }

    /// All writes are answered again; returns how many were seen and late.
    pub fn answer_all(&self) -> (usize, usize) {
        let mut state = self.state.lock().unwrap();
        let late_write = std::mem::take(&mut state.late_write);
        (late_write.seen, late_write.late)
    }

    fn answer(self: &Arc<Self>, request: &Request) -> Answer {
        if request.path == "/api/kv-watch" { return self.watch(request); }
        if request.path == "/api/kv-txn" {
            let late = {
                let mut state = self.state.lock().unwrap();
                let late_write = &mut state.late_write;
                late_write.seen += 1;
                let body = Json::parse(&request.body).unwrap_or(Json::Null);
                let has_key = |prefix: &String| body.get("writes").items().iter().any(|write| write.get("key").as_str().starts_with(prefix.as_str()));
                let is_late = late_write.prefix.take_if(|prefix| has_key(prefix)).is_some();
                late_write.late += usize::from(is_late);
                is_late.then_some(late_write.delay)
            };
            if let Some(delay) = late {
                let text = describe_write(&request.body);
                self.record.line(format!("store   write without an answer, carried out {} ms later: {text}", delay.as_millis()));
                let (store, body) = (Arc::clone(self), request.body.clone());
                thread::spawn(move || {
                    thread::sleep(delay);
                    let (status, _) = store.transact(&body);
                    store.record.line(format!("store   late write {}: {text}", if status == 200 { "carried out" } else { "not carried out" }));
                });
                return Answer::Silence;
            }
            let (status, body) = self.transact(&request.body);
            self.record.line(format!("store   write {status}: {}", describe_write(&request.body)));
            thread::sleep(ANSWER_TIME);
            return Answer::Reply(status, body);
        }
        let (status, body) = self.handle(request);
        thread::sleep(ANSWER_TIME);
        Answer::Reply(status, body)
    }

    fn transact(&self, body: &str) -> (u16, String) {
        let Some(body) = Json::parse(body) else { return (400, "{}".to_owned()) };
        let mut state = self.state.lock().unwrap();
        state.expire_leases();
        let answer = state.transact(&body);
        self.changed.notify_all();
        answer
    }

    fn watch(&self, request: &Request) -> Answer {
        let prefix = request.parameter("prefix");
        let after: i64 = request.parameter("after").parse().unwrap_or(0);
        let wait_ms: u64 = request.parameter("wait-ms").parse().unwrap_or(0);
        let until = Instant::now() + Duration::from_millis(wait_ms.min(30_000));
        let mut state = self.state.lock().unwrap();
        loop {
            let new = state.events.iter().filter(|(at, key, _)| *at > after && key.starts_with(&prefix));
            let events: Vec<Json> = new.map(|(_, _, event)| event.clone()).collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let body = Json::map([("events", Json::List(events)), ("current-rev", Json::Int(state.revision))]);
                drop(state);
                thread::sleep(ANSWER_TIME);
                return Answer::Reply(200, body.write());
            }
            state = self.changed.wait_timeout(state, left).unwrap().0;
        }
    }

    fn handle(&self, request: &Request) -> (u16, String) {
        let mut state = self.state.lock().unwrap();
        state.expire_leases();
        match (request.method.as_str(), request.path.as_str()) {
            ("GET", "/api/kv-key") => {
                let key = request.parameter("key");
                match state.item(&key) {
                    Some(Json::Map(mut fields)) => {
                        fields.push(("current-rev".to_owned(), Json::Int(state.revision)));
                        (200, Json::Map(fields).write())
                    }
                    _ => (404, Json::map([("current-rev", Json::Int(state.revision))]).write()),
                }
            }
            ("GET", "/api/kv-range") => {
                let (prefix, after) = (request.parameter("prefix"), request.parameter("after"));
                let keys: Vec<String> = state.items.keys()
                    .filter(|key| key.starts_with(&prefix) && **key > after)
                    .cloned().collect();
                let items = keys.iter().take(PAGE_LEN).filter_map(|key| state.item(key)).collect();
                let body = Json::map([
                    ("items", Json::List(items)),
                    ("more-pages", Json::Bool(keys.len() > PAGE_LEN)),
                    ("current-rev", Json::Int(state.revision)),
                ]);
                (200, body.write())
            }
            ("POST", "/api/kv-lease") => {
                let body = Json::parse(&request.body).unwrap_or(Json::Null);
                let ttl_ms = body.get("ttl-ms").as_i64().unwrap_or(0).clamp(1_000, 600_000);
                state.revision += 1;
                let id = state.revision;
                let ttl = Duration::from_millis(ttl_ms as u64);
                state.leases.insert(id, Lease { ttl, renewed: Instant::now() });
                (200, Json::map([("lease", Json::Int(id)), ("ttl-ms", Json::Int(ttl_ms))]).write())
            }
            ("POST", path) if path.starts_with("/api/kv-keep/") => {
                let id = path["/api/kv-keep/".len()..].parse().unwrap_or(0);
                match state.leases.get_mut(&id) {
                    Some(lease) => {
                        lease.renewed = Instant::now();
                        (200, Json::map([("ttl-ms", Json::Int(lease.ttl.as_millis() as i64))]).write())
                    }
                    None => (404, "{}".to_owned()),
                }
            }
            ("DELETE", path) if path.starts_with("/api/kv-lease-end/") => {
                let id = path["/api/kv-lease-end/".len()..].parse().unwrap_or(0);
                if state.leases.remove(&id).is_none() { return (404, "{}".to_owned()); }
                state.remove_keys_of(id);
                self.changed.notify_all();
                (200, "{}".to_owned())
            }
            _ => (404, "{}".to_owned()),
        }
    }
}

impl State {
    fn put(&mut self, key: &str, value: &str, lease: i64) {
        let revision = self.revision;
        let created = self.items.get(key).map_or(revision, |item| item.created);
        self.items.insert(key.to_owned(), Item { value: value.to_owned(), revision, created, lease });
        let event = self.item(key).expect("the item was just written");
        self.events.push((revision, key.to_owned(), event));
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            let event = Json::map([
                ("key", Json::text(key)),
                ("revision", Json::Int(self.revision)),
                ("removed", Json::Bool(true)),
            ]);
            self.events.push((self.revision, key.to_owned(), event));
        }
    }

    fn remove_keys_of(&mut self, lease: i64) {
        let keys: Vec<String> = self.items.iter()
            .filter(|(_, item)| item.lease == lease)
            .map(|(key, _)| key.clone()).collect();
        self.revision += 1;
        for key in keys { self.remove(&key); }
    }

    fn expire_leases(&mut self) -> bool {
        let expired: Vec<i64> = self.leases.iter()
            .filter(|(_, lease)| lease.renewed.elapsed() >= lease.ttl)
            .map(|(id, _)| *id).collect();
        for id in &expired {
            self.leases.remove(id);
            self.remove_keys_of(*id);
        }
        !expired.is_empty()
    }

    fn item(&self, key: &str) -> Option<Json> {
        let item = self.items.get(key)?;
        Some(Json::map([
            ("key", Json::text(key)),
            ("value", Json::text(item.value.as_str())),
            ("revision", Json::Int(item.revision)),
            ("created", Json::Int(item.created)),
            ("lease", Json::Int(item.lease)),
        ]))
    }

    fn transact(&mut self, body: &Json) -> (u16, String) {
        let expected = body.get("expected-revision").items();
        let is_current = |row: &Json| {
            let found = self.items.get(row.get("key").as_str()).map_or(0, |item| item.revision);
            row.get("revision").as_i64() == Some(found)
        };
        if !expected.iter().all(is_current) {
            let items = expected.iter().filter_map(|row| self.item(row.get("key").as_str())).collect();
            return (412, Json::map([("items", Json::List(items))]).write());
        }
        let writes = body.get("writes").items();
        let lease_of = |write: &Json| write.get("lease").as_i64().unwrap_or(0);
        if writes.iter().map(lease_of).any(|lease| lease != 0 && !self.leases.contains_key(&lease)) {
            return (404, "{}".to_owned());
        }
        self.revision += 1;
        for write in writes {
            self.put(write.get("key").as_str(), write.get("value").as_str(), lease_of(write));
        }
        for key in body.get("drop").items() {
            self.remove(key.as_str());
        }
        (200, Json::map([("revision", Json::Int(self.revision))]).write())
    }
}

/// The keys that a write sets and drops, and the start of each value.
fn describe_write(body: &str) -> String {
    let Some(body) = Json::parse(body) else { return "unreadable".to_owned() };
    let mut words = Vec::new();
    for write in body.get("writes").items() {
        let value = String::from_utf8_lossy(&decode_base64(write.get("value").as_str())).into_owned();
        words.push(format!("{} = {}", write.get("key").as_str(), shortened(&value)));
    }
    for key in body.get("drop").items() {
        words.push(format!("drop {}", key.as_str()));
    }
    words.join(", ")
}

/// The start and the end of a long value.
fn shortened(value: &str) -> String {
    let letters: Vec<char> = value.chars().collect();
    if letters.len() <= 120 { return value.to_owned(); }
    let part = |letters: &[char]| letters.iter().collect::<String>();
    format!("{} ... {}", part(&letters[..24]), part(&letters[letters.len() - 48..]))
}

const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

fn encode_base64(bytes: &[u8]) -> String {
    let mut out = String::new();
    for chunk in bytes.chunks(3) {
        let word = chunk.iter().fold(0u32, |word, byte| word << 8 | u32::from(*byte)) << (8 * (3 - chunk.len()));
        for at in 0..4 {
            let digit = DIGITS[(word >> (18 - 6 * at) & 63) as usize];
            out.push(if at <= chunk.len() { digit as char } else { '=' });
        }
    }
    out
}

fn decode_base64(text: &str) -> Vec<u8> {
    let mut out = Vec::new();
    let (mut word, mut bits) = (0u32, 0);
    for byte in text.bytes().filter(|byte| *byte != b'=') {
        let Some(digit) = DIGITS.iter().position(|digit| *digit == byte) else { continue };
        word = word << 6 | digit as u32;
        bits += 6;
        if bits >= 8 {
            bits -= 8;
            out.push((word >> bits & 255) as u8);
        }
    }
    out
}
