//! Stand-in for the platform's store, after PROTOCOL.md: items with revisions,
//! transactions, leases and watches. Each machine has an address of its own, so
//! that the store can turn one machine away and serve the others.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread::sleep;
use std::time::{Duration, Instant};

use crate::http::{Answer, Request, serve};
use crate::json::Json;
use crate::record;

/// Time of an answer, as on the site's page.
const ANSWER_TIME: Duration = Duration::from_millis(4);

const PAGE_ITEMS: usize = 500;
const HISTORY: Duration = Duration::from_secs(20);

struct Item {
    value: String,
    revision: i64,
    created: i64,
    lease: i64,
}

struct Lease {
    ttl: Duration,
    renewed: Instant,
    machine: usize,
}

struct Change {
    at: Instant,
    revision: i64,
    key: String,
    event: Json,
}

#[derive(Default)]
struct State {
    revision: i64,
    items: BTreeMap<String, Item>,
    changes: Vec<Change>,
    compacted: i64,
    leases: HashMap<i64, Lease>,
    /// Since when the store is down for all.
    down_since: Option<Instant>,
    /// Machines that the store turns away.
    turned_away: HashSet<usize>,
    /// Machines that are partitioned from the store.
    cut_off: HashSet<usize>,
    /// Share of the writes, in thousandths, that get no answer and are done late.
    late_permille: u64,
    /// State of the random numbers.
    random: u64,
}

#[derive(Clone, Default)]
pub struct Store(Arc<Mutex<State>>);

impl Store {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Opens the address of a machine.
    pub fn listen(&self, machine: usize) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a loopback port is free");
        let address = listener.local_addr().expect("a bound listener has an address");
        let store = self.clone();
        serve(listener, move |request| store.handle(machine, request));
        address
    }

    /// Writes a value as an operator does.
    pub fn put(&self, key: &str, value: &str) {
        let value = base64(value.as_bytes());
        let mut state = self.lock();
        state.revision += 1;
        state.put(key, value, 0);
    }

    /// Resets all connections from now on; leases pause.
    pub fn go_down(&self) {
        self.lock().down_since = Some(Instant::now());
    }

    pub fn come_back(&self) {
        let mut state = self.lock();
        if let Some(since) = state.down_since.take() {
            for lease in state.leases.values_mut() {
                lease.renewed += since.elapsed();
            }
        }
    }

    /// Cuts one machine off: its requests hang from now on.
    pub fn cut_off(&self, machine: usize) {
        self.lock().cut_off.insert(machine);
    }

    /// Resets the connections of one machine from now on. With `revoke` the keys
    /// under its leases are taken away at once.
    pub fn turn_away(&self, machine: usize, revoke: bool) {
        let mut state = self.lock();
        state.turned_away.insert(machine);
        if !revoke {
            return;
        }
        let held = state.leases.iter().filter(|(_, lease)| lease.machine == machine);
        let held: Vec<i64> = held.map(|(id, _)| *id).collect();
        for lease in held {
            for key in state.end_lease(lease) {
                record::write(&format!("store: took away key {key}"));
            }
        }
    }

    pub fn take_back(&self, machine: usize) {
        let mut state = self.lock();
        state.turned_away.remove(&machine);
        state.cut_off.remove(&machine);
    }

    /// From now on a share of the writes gets no answer and is done 1 to 6 s later,
    /// if its condition still holds.
    pub fn lose_answers_late(&self, permille: u64) {
        let mut state = self.lock();
        state.random = u64::from(std::process::id()).wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1;
        state.late_permille = permille;
    }

    /// Whether this write gets no answer, and when it is done.
    fn delay_of_write(&self) -> Option<Duration> {
        let mut state = self.lock();
        let permille = state.late_permille;
        let is_late = permille > 0 && state.next_random() % 1_000 < permille;
        is_late.then(|| Duration::from_millis(1_000 + state.next_random() % 5_000))
    }

    /// Whether the machine is cut off; waits for the end of the cut. What was sent
    /// meanwhile is lost, as its sender has given it up.
    fn was_cut_off(&self, machine: usize) -> bool {
        let mut was_cut_off = false;
        while self.lock().cut_off.contains(&machine) {
            was_cut_off = true;
            sleep(Duration::from_millis(5));
        }
        was_cut_off
    }

    fn is_closed_to(&self, machine: usize) -> bool {
        let state = self.lock();
        state.down_since.is_some() || state.turned_away.contains(&machine)
    }

    fn handle(&self, machine: usize, request: &Request) -> Answer {
        sleep(ANSWER_TIME);
        if self.is_closed_to(machine) || self.was_cut_off(machine) {
            return Answer::Close;
        }
        if request.path == "/api/kv-watch" {
            return self.watch(machine, request);
        }
        let body = Json::parse(&request.body).unwrap_or(Json::Null);
        if request.path == "/api/kv-txn"
            && let Some(delay) = self.delay_of_write()
        {
            let store = self.clone();
            std::thread::spawn(move || {
                sleep(delay);
                let keys = keys_of(&body);
                let answer = store.lock().transact(&body);
                let Answer::Reply(status, _) = answer else { return };
                record::write(&format!(
                    "store: a write without answer is done {} ms late: {status} {keys}",
                    delay.as_millis()
                ));
            });
            // The channel returns nothing further; the client gives it up.
            sleep(Duration::from_secs(8));
            return Answer::Close;
        }
        self.lock().handle(machine, request, &body)
    }

    fn watch(&self, machine: usize, request: &Request) -> Answer {
        let after: i64 = request.parameter("after").parse().unwrap_or(0);
        let wait_ms: u64 = request.parameter("wait-ms").parse().unwrap_or(0);
        let prefix = request.parameter("prefix");
        let until = Instant::now() + Duration::from_millis(wait_ms.min(30_000));
        loop {
            if self.is_closed_to(machine) || self.was_cut_off(machine) {
                return Answer::Close;
            }
            let mut state = self.lock();
            state.expire();
            if after < state.compacted {
                return Answer::Reply(410, Json::map(vec![]));
            }
            let is_new = |change: &&Change| change.revision > after && change.key.starts_with(prefix);
            let events: Vec<Json> =
                state.changes.iter().filter(is_new).map(|change| change.event.clone()).collect();
            if !events.is_empty() || Instant::now() >= until {
                let revision = Json::Int(state.revision);
                let body = vec![("events", Json::List(events)), ("current-rev", revision)];
                return Answer::Reply(200, Json::map(body));
            }
            drop(state);
            sleep(Duration::from_millis(5));
        }
    }
}

/// The keys that a transaction writes and drops, for the record.
fn keys_of(body: &Json) -> String {
    let writes = body.get("writes").as_list().iter().filter_map(|row| row.get("key").as_str());
    let drops = body.get("drop").as_list().iter().filter_map(Json::as_str);
    writes.chain(drops).collect::<Vec<&str>>().join(" ")
}

impl State {
    fn next_random(&mut self) -> u64 {
        self.random ^= self.random << 13;
        self.random ^= self.random >> 7;
        self.random ^= self.random << 17;
        self.random
    }

    fn log_change(&mut self, key: &str, event: Json) {
        let change = Change {
            at: Instant::now(),
            revision: self.revision,
            key: key.to_owned(),
            event,
        };
        self.changes.push(change);
        while self.changes.first().is_some_and(|change| change.at.elapsed() > HISTORY) {
            self.compacted = self.changes.remove(0).revision;
        }
    }

    /// Writes a value at the present revision.
    fn put(&mut self, key: &str, value: String, lease: i64) {
        let created = self.items.get(key).map_or(self.revision, |item| item.created);
        let item = Item { value, revision: self.revision, created, lease };
        self.items.insert(key.to_owned(), item);
        let event = self.item(key);
        self.log_change(key, event);
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            let event = Json::map(vec![
                ("key", Json::text(key)),
                ("revision", Json::Int(self.revision)),
                ("removed", Json::Bool(true)),
            ]);
            self.log_change(key, event);
        }
    }

    fn end_lease(&mut self, lease: i64) -> Vec<String> {
        self.leases.remove(&lease);
        self.revision += 1;
        let held = self.items.iter().filter(|(_, item)| item.lease == lease);
        let keys: Vec<String> = held.map(|(key, _)| key.clone()).collect();
        for key in &keys {
            self.remove(key);
        }
        keys
    }

    fn expire(&mut self) {
        if self.down_since.is_some() {
            return;
        }
        let ended = self.leases.iter().filter(|(_, lease)| lease.renewed.elapsed() > lease.ttl);
        let ended: Vec<i64> = ended.map(|(id, _)| *id).collect();
        for lease in ended {
            self.end_lease(lease);
        }
    }

    fn item(&self, key: &str) -> Json {
        let item = &self.items[key];
        Json::map(vec![
            ("key", Json::text(key)),
            ("value", Json::text(&item.value)),
            ("revision", Json::Int(item.revision)),
            ("created", Json::Int(item.created)),
            ("lease", Json::Int(item.lease)),
        ])
    }

    fn handle(&mut self, machine: usize, request: &Request, body: &Json) -> Answer {
        self.expire();
        let number = || request.path.rsplit('/').next()?.parse::<i64>().ok();
        match (request.method.as_str(), request.path.as_str()) {
            ("GET", "/api/kv-key") => {
                let key = request.parameter("key");
                if !self.items.contains_key(key) {
                    let revision = ("current-rev", Json::Int(self.revision));
                    return Answer::Reply(404, Json::map(vec![revision]));
                }
                let Json::Map(mut item) = self.item(key) else {
                    return Answer::Close;
                };
                item.insert("current-rev".to_owned(), Json::Int(self.revision));
                Answer::Reply(200, Json::Map(item))
            }
            ("GET", "/api/kv-range") => self.list(request),
            ("POST", "/api/kv-txn") => self.transact(body),
            ("POST", "/api/kv-lease") => {
                self.revision += 1;
                let ttl_ms = body.get("ttl-ms").as_int().unwrap_or(0).clamp(1_000, 600_000);
                let lease = Lease {
                    ttl: Duration::from_millis(ttl_ms.unsigned_abs()),
                    renewed: Instant::now(),
                    machine,
                };
                self.leases.insert(self.revision, lease);
                let fields = vec![("lease", Json::Int(self.revision)), ("ttl-ms", Json::Int(ttl_ms))];
                Answer::Reply(200, Json::map(fields))
            }
            ("POST", path) if path.starts_with("/api/kv-keep/") => {
                let lease = number().and_then(|id| self.leases.get_mut(&id));
                let Some(lease) = lease else {
                    return Answer::Reply(404, Json::map(vec![]));
                };
                lease.renewed = Instant::now();
                let ttl_ms = i64::try_from(lease.ttl.as_millis()).unwrap_or(i64::MAX);
                Answer::Reply(200, Json::map(vec![("ttl-ms", Json::Int(ttl_ms))]))
            }
            ("DELETE", path) if path.starts_with("/api/kv-lease-end/") => {
                if let Some(lease) = number() {
                    self.end_lease(lease);
                }
                Answer::Reply(200, Json::map(vec![]))
            }
            _ => Answer::Reply(404, Json::map(vec![])),
        }
    }

    fn list(&self, request: &Request) -> Answer {
        let (prefix, after) = (request.parameter("prefix"), request.parameter("after"));
        let keys = self.items.keys().filter(|key| key.starts_with(prefix) && key.as_str() > after);
        let keys: Vec<&String> = keys.collect();
        let items = keys.iter().take(PAGE_ITEMS).map(|key| self.item(key)).collect();
        Answer::Reply(
            200,
            Json::map(vec![
                ("items", Json::List(items)),
                ("more-pages", Json::Bool(keys.len() > PAGE_ITEMS)),
                ("current-rev", Json::Int(self.revision)),
            ]),
        )
    }

    fn transact(&mut self, body: &Json) -> Answer {
        let key_of = |row: &Json| row.get("key").as_str().unwrap_or_default().to_owned();
        let expected = body.get("expected-revision").as_list();
        let writes = body.get("writes").as_list();
        let drops = body.get("drop").as_list();
        if expected.len().max(writes.len()).max(drops.len()) > 32 {
            return Answer::Reply(400, Json::map(vec![]));
        }
        let is_met = |row: &Json| {
            let found = self.items.get(&key_of(row)).map_or(0, |item| item.revision);
            row.get("revision").as_int() == Some(found)
        };
        if !expected.iter().all(is_met) {
            let known = expected.iter().map(key_of).filter(|key| self.items.contains_key(key));
            let items = known.map(|key| self.item(&key)).collect();
            return Answer::Reply(412, Json::map(vec![("items", Json::List(items))]));
        }
        let lease_of = |row: &Json| row.get("lease").as_int().unwrap_or(0);
        let is_granted = |row: &Json| lease_of(row) == 0 || self.leases.contains_key(&lease_of(row));
        if !writes.iter().all(is_granted) {
            return Answer::Reply(404, Json::map(vec![]));
        }
        // All changes of a transaction have the same revision.
        self.revision += 1;
        for row in writes {
            let value = row.get("value").as_str().unwrap_or_default().to_owned();
            self.put(&key_of(row), value, lease_of(row));
        }
        for key in drops {
            self.remove(key.as_str().unwrap_or_default());
        }
        Answer::Reply(200, Json::map(vec![("revision", Json::Int(self.revision))]))
    }
}

fn base64(bytes: &[u8]) -> String {
    const LETTERS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for chunk in bytes.chunks(3) {
        let get = |at: usize| u32::from(chunk.get(at).copied().unwrap_or(0));
        let bits = get(0) << 16 | get(1) << 8 | get(2);
        for position in 0..4 {
            if position > chunk.len() {
                out.push('=');
            } else {
                out.push(char::from(LETTERS[(bits >> (18 - 6 * position) & 63) as usize]));
            }
        }
    }
    out
}
