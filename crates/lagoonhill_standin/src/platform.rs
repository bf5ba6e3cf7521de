use std::collections::{BTreeMap, HashMap};
use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::{BodyExt, Either, Full, StreamBody};
use hyper::body::{Frame, Incoming};
use hyper::{Request, Response, StatusCode};
use lagoonhill_http::serve;
use lagoonhill_platform::wire::{
    Base64, Compare, DeleteRequest, Event, Header, Int64, KeepAliveResponse, KeyValue, Lease,
    PutRequest, RangeRequest, RangeResponse, ResponseOp, TxnRequest, TxnResponse, WatchLine,
    WatchRequest, WatchResponse,
};
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::task::JoinHandle;
use tokio_stream::wrappers::UnboundedReceiverStream;
use tower::service_fn;

/// Faults that the stand-in injects.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PlatformFaults {
    /// Answers every call with 503 and closes all watches.
    pub down: bool,
    /// Delay before each call is handled.
    pub delay: Duration,
    /// Number of further transactions that are executed but never answered.
    pub unanswered_transactions: u32,
}

#[derive(Clone, Debug)]
struct Stored {
    value: Base64,
    created: i64,
    modified: i64,
    lease: i64,
}

#[derive(Debug)]
struct Watcher {
    from: Base64,
    until: Base64,
    lines: mpsc::UnboundedSender<Bytes>,
}

#[derive(Debug, Default)]
struct State {
    revision: i64,
    values: BTreeMap<Base64, Stored>,
    history: Vec<(i64, Event)>,
    leases: HashMap<i64, (Duration, Instant)>,
    next_lease: i64,
    watchers: Vec<Watcher>,
    faults: PlatformFaults,
    calls: u64,
    /// Prefix of the keys of which the next write is held.
    holds_write_to: Option<Base64>,
    /// A write without an answer that has not been carried out yet.
    held_write: Option<TxnRequest>,
}

/// An in-memory stand-in for the platform's key-value service, with the JSON
/// gateway of the etcd v3 API: compare-and-swap, leases and watches.
#[derive(Debug)]
pub struct PlatformStandin {
    address: SocketAddr,
    state: Arc<Mutex<State>>,
    server: JoinHandle<()>,
}

type Body = Either<Full<Bytes>, StreamBody<FrameStream>>;
type FrameStream = tokio_stream::adapters::Map<
    UnboundedReceiverStream<Bytes>,
    fn(Bytes) -> Result<Frame<Bytes>, Infallible>,
>;

fn lock(state: &Mutex<State>) -> MutexGuard<'_, State> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}

impl PlatformStandin {
    /// Starts the service on a free loopback port.
    pub async fn start() -> std::io::Result<Self> {
        let listener = TcpListener::bind(("127.0.0.1", 0)).await?;
        let address = listener.local_addr()?;
        let state: Arc<Mutex<State>> = Arc::default();
        let shared = Arc::clone(&state);
        let service = service_fn(move |request| {
            let state = Arc::clone(&shared);
            async move { Ok::<_, Infallible>(answer(&state, request).await) }
        });
        let server = tokio::spawn(serve(listener, service, std::future::pending()));
        Ok(Self {
            address,
            state,
            server,
        })
    }

    /// Address that it listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Number of calls handled so far.
    pub fn calls(&self) -> u64 {
        lock(&self.state).calls
    }

    /// Replaces the injected faults.
    pub fn set_faults(&self, faults: PlatformFaults) {
        let mut state = lock(&self.state);
        state.faults = faults;
        if faults.down {
            state.watchers.clear();
        }
    }

    /// Holds the next write to a key with a prefix: it gets no answer, and is carried out
    /// by [`Self::carry_out_held_write`].
    pub fn hold_next_write(&self, prefix: &str) {
        lock(&self.state).holds_write_to = Some(prefix.into());
    }

    /// Whether a write is held.
    pub fn holds_write(&self) -> bool {
        lock(&self.state).held_write.is_some()
    }

    /// Carries out the held write, if its conditions still hold.
    pub fn carry_out_held_write(&self) {
        let mut state = lock(&self.state);
        if let Some(request) = state.held_write.take() {
            state.transact(request);
        }
    }

    /// Writes a value directly, without a compare.
    pub fn put(&self, key: &str, value: &[u8]) {
        lock(&self.state).put(key.into(), Base64(value.to_vec()), 0);
    }

    /// Reads a value directly.
    pub fn get(&self, key: &str) -> Option<Vec<u8>> {
        lock(&self.state)
            .values
            .get(&key.into())
            .map(|stored| stored.value.0.clone())
    }

    /// Returns the number of keys with a prefix.
    pub fn count(&self, prefix: &str) -> usize {
        let state = lock(&self.state);
        let keys = state.values.keys();
        keys.filter(|key| key.0.starts_with(prefix.as_bytes()))
            .count()
    }

    /// Expires every lease, as if no holder had renewed it in time.
    pub fn expire_all_leases(&self) {
        let mut state = lock(&self.state);
        let leases: Vec<i64> = state.leases.keys().copied().collect();
        for lease in leases {
            state.end_lease(lease);
        }
    }
}

impl Drop for PlatformStandin {
    fn drop(&mut self) {
        self.server.abort();
    }
}

impl State {
    fn publish(&mut self, event: &Event) {
        self.history.push((self.revision, event.clone()));
        let header = Header {
            revision: Int64(self.revision),
        };
        let response = WatchResponse {
            header,
            created: false,
            events: vec![event.clone()],
        };
        let line = watch_line(response);
        self.watchers.retain(|watcher| {
            let wanted = in_range(&event.kv.key, &watcher.from, &watcher.until);
            !wanted || watcher.lines.send(line.clone()).is_ok()
        });
    }

    fn put(&mut self, key: Base64, value: Base64, lease: i64) {
        self.revision += 1;
        let modified = self.revision;
        let created = self
            .values
            .get(&key)
            .map_or(modified, |stored| stored.created);
        let stored = Stored {
            value: value.clone(),
            created,
            modified,
            lease,
        };
        self.values.insert(key.clone(), stored);
        let kv = KeyValue {
            key,
            value,
            mod_revision: Int64(modified),
            create_revision: Int64(created),
        };
        self.publish(&Event {
            kind: String::new(),
            kv,
        });
    }

    fn delete(&mut self, key: &Base64) {
        if self.values.remove(key).is_some() {
            self.revision += 1;
            let kv = KeyValue {
                key: key.clone(),
                mod_revision: Int64(self.revision),
                ..KeyValue::default()
            };
            self.publish(&Event {
                kind: "DELETE".to_owned(),
                kv,
            });
        }
    }

    fn end_lease(&mut self, lease: i64) {
        self.leases.remove(&lease);
        let keys: Vec<Base64> = self
            .values
            .iter()
            .filter(|(_, stored)| stored.lease == lease)
            .map(|(key, _)| key.clone())
            .collect();
        for key in keys {
            self.delete(&key);
        }
    }

    fn expire_leases(&mut self) {
        let expired: Vec<i64> = self
            .leases
            .iter()
            .filter(|(_, (duration, renewed))| renewed.elapsed() > *duration)
            .map(|(lease, _)| *lease)
            .collect();
        for lease in expired {
            self.end_lease(lease);
        }
    }

    fn range(&self, request: &RangeRequest) -> RangeResponse {
        let end = request.range_end.clone();
        let wanted = |key: &Base64| match &end {
            Some(end) => in_range(key, &request.key, end),
            None => *key == request.key,
        };
        let kvs = self
            .values
            .iter()
            .filter(|(key, _)| wanted(key))
            .map(|(key, stored)| KeyValue {
                key: key.clone(),
                value: stored.value.clone(),
                mod_revision: Int64(stored.modified),
                create_revision: Int64(stored.created),
            })
            .collect();
        RangeResponse {
            header: Header {
                revision: Int64(self.revision),
            },
            kvs,
        }
    }

    fn holds(&self, compare: &Compare) -> bool {
        let stored = self.values.get(&compare.key);
        stored.map_or(0, |stored| stored.modified) == compare.mod_revision.0
    }

    fn transact(&mut self, request: TxnRequest) -> TxnResponse {
        let succeeded = request.compare.iter().all(|compare| self.holds(compare));
        let operations = if succeeded {
            request.success
        } else {
            request.failure
        };
        let mut responses = Vec::new();
        for operation in operations {
            if let Some(PutRequest { key, value, lease }) = operation.request_put {
                self.put(key, value, lease.0);
                responses.push(ResponseOp::default());
            }
            if let Some(DeleteRequest { key }) = operation.request_delete_range {
                self.delete(&key);
                responses.push(ResponseOp::default());
            }
            if let Some(read) = operation.request_range {
                responses.push(ResponseOp {
                    response_range: Some(self.range(&read)),
                });
            }
        }
        TxnResponse {
            header: Header {
                revision: Int64(self.revision),
            },
            succeeded,
            responses,
        }
    }

    /// Holds a write that is to be held; otherwise returns it.
    fn hold_write(&mut self, request: TxnRequest) -> Option<TxnRequest> {
        let Some(prefix) = &self.holds_write_to else {
            return Some(request);
        };
        let is_held = request.success.iter().any(|operation| {
            let put = operation.request_put.as_ref();
            put.is_some_and(|put| put.key.0.starts_with(&prefix.0))
        });
        if !is_held {
            return Some(request);
        }
        self.holds_write_to = None;
        self.held_write = Some(request);
        None
    }

    fn grant(&mut self, ttl: Int64) -> Lease {
        self.next_lease += 1;
        let duration = Duration::from_secs(u64::try_from(ttl.0).unwrap_or(0));
        self.leases
            .insert(self.next_lease, (duration, Instant::now()));
        Lease {
            id: Int64(self.next_lease),
            ttl,
        }
    }

    fn renew_lease(&mut self, lease: Int64) -> KeepAliveResponse {
        let ttl = self
            .leases
            .get_mut(&lease.0)
            .map_or(0, |(duration, renewed)| {
                *renewed = Instant::now();
                i64::try_from(duration.as_secs()).unwrap_or(0)
            });
        KeepAliveResponse {
            result: Lease {
                id: lease,
                ttl: Int64(ttl),
            },
        }
    }

    fn watch(&mut self, request: WatchRequest) -> mpsc::UnboundedReceiver<Bytes> {
        let (lines, receiver) = mpsc::unbounded_channel();
        let create = request.create_request;
        let header = Header {
            revision: Int64(self.revision),
        };
        let past_events: Vec<Event> = self
            .history
            .iter()
            .filter(|(revision, event)| {
                *revision >= create.start_revision.0
                    && in_range(&event.kv.key, &create.key, &create.range_end)
            })
            .map(|(_, event)| event.clone())
            .collect();
        let first = WatchResponse {
            header,
            created: true,
            events: past_events,
        };
        let _ = lines.send(watch_line(first));
        self.watchers.push(Watcher {
            from: create.key,
            until: create.range_end,
            lines,
        });
        receiver
    }
}

fn in_range(key: &Base64, from: &Base64, until: &Base64) -> bool {
    key >= from && key < until
}

fn watch_line(result: WatchResponse) -> Bytes {
    let mut line = serde_json::to_vec(&WatchLine { result }).expect("watch lines serialize");
    line.push(b'\n');
    line.into()
}

fn status(status: StatusCode) -> Response<Body> {
    let mut response = Response::new(Either::Left(Full::default()));
    *response.status_mut() = status;
    response
}

fn json<T: Serialize>(value: &T) -> Response<Body> {
    let body = serde_json::to_vec(value).expect("responses serialize");
    Response::new(Either::Left(Full::from(body)))
}

fn parse<T: DeserializeOwned>(body: &[u8]) -> Option<T> {
    serde_json::from_slice(body).ok()
}

async fn answer(state: &Mutex<State>, request: Request<Incoming>) -> Response<Body> {
    let path = request.uri().path().to_owned();
    let Ok(body) = request.into_body().collect().await else {
        return status(StatusCode::BAD_REQUEST);
    };
    let body = body.to_bytes();
    let faults = lock(state).faults;
    if faults.down {
        return status(StatusCode::SERVICE_UNAVAILABLE);
    }
    tokio::time::sleep(faults.delay).await;
    let (response, is_transaction) = {
        let mut state = lock(state);
        state.calls += 1;
        state.expire_leases();
        handle_call(&mut state, &path, &body)
    };
    let is_held = is_transaction && response.is_none() && lock(state).held_write.is_some();
    if is_held || is_transaction && take_lost_answer(state) {
        std::future::pending::<()>().await;
    }
    response.unwrap_or_else(|| status(StatusCode::BAD_REQUEST))
}

fn take_lost_answer(state: &Mutex<State>) -> bool {
    let mut state = lock(state);
    let lost = state.faults.unanswered_transactions > 0;
    state.faults.unanswered_transactions = state.faults.unanswered_transactions.saturating_sub(1);
    lost
}

/// Handles one call; also returns whether it was a transaction.
fn handle_call(state: &mut State, path: &str, body: &[u8]) -> (Option<Response<Body>>, bool) {
    match path {
        "/v3/kv/range" => (
            parse(body).map(|request| json(&state.range(&request))),
            false,
        ),
        "/v3/kv/txn" => (
            parse(body)
                .and_then(|request| state.hold_write(request))
                .map(|request| json(&state.transact(request))),
            true,
        ),
        "/v3/lease/grant" => (
            parse(body).map(|lease: Lease| json(&state.grant(lease.ttl))),
            false,
        ),
        "/v3/lease/keepalive" => (
            parse(body).map(|lease: Lease| json(&state.renew_lease(lease.id))),
            false,
        ),
        "/v3/lease/revoke" => {
            let response = parse(body).map(|lease: Lease| {
                state.end_lease(lease.id.0);
                json(&serde_json::json!({}))
            });
            (response, false)
        }
        "/v3/watch" => (parse(body).map(|request| watch(state, request)), false),
        _ => (Some(status(StatusCode::NOT_FOUND)), false),
    }
}

fn watch(state: &mut State, request: WatchRequest) -> Response<Body> {
    let lines = UnboundedReceiverStream::new(state.watch(request));
    let to_frame: fn(Bytes) -> Result<Frame<Bytes>, Infallible> = |line| Ok(Frame::data(line));
    let stream: FrameStream = tokio_stream::StreamExt::map(lines, to_frame);
    Response::new(Either::Right(StreamBody::new(stream)))
}
