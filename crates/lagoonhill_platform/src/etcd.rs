//! The [`Store`] implementation for the JSON gateway of the etcd v3 API.

use std::net::SocketAddr;
use std::sync::Arc;

use http_body_util::BodyExt;
use lagoonhill_types::DurationMs;
use log::{debug, warn};
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::sync::mpsc;

use crate::http::{JsonClient, MAX_RESPONSE_BYTES};
use crate::wire::{
    Base64, Compare, DeleteRequest, Event, Int64, KeepAliveResponse, KeyValue, Lease, PutRequest,
    RangeRequest, RangeResponse, RequestOp, TxnRequest, TxnResponse, WatchCreate, WatchLine,
    WatchRequest, prefix_end,
};
use crate::{
    CallCounts, CallKind, LeaseId, Listing, Put, Store, StoreRevision, StoreUnavailable,
    Transaction, TransactionOutcome, Versioned, WatchEvent,
};

/// Events of a watch that are buffered for a slow reader.
const WATCH_BUFFER: usize = 64;

/// A client of the platform's store over the JSON gateway of the etcd v3 API.
#[derive(Clone, Debug)]
pub struct EtcdStore {
    client: JsonClient,
    counts: Arc<CallCounts>,
}

impl EtcdStore {
    /// Creates a client of the service at an address.
    pub fn new(address: SocketAddr) -> Self {
        Self {
            client: JsonClient::new(address),
            counts: Arc::default(),
        }
    }

    /// Makes one call and counts it.
    async fn call<R: DeserializeOwned>(
        &self,
        kind: CallKind,
        path: &str,
        request: &impl Serialize,
    ) -> Result<R, StoreUnavailable> {
        self.counts.add(kind);
        let result = self.client.call(path, request).await;
        result.inspect_err(|_| self.counts.add_failed(kind))
    }

    async fn range(&self, request: RangeRequest) -> Result<Listing, StoreUnavailable> {
        let response: RangeResponse = self.call(CallKind::Read, "/v3/kv/range", &request).await?;
        Ok(Listing {
            values: response.kvs.into_iter().filter_map(versioned).collect(),
            revision: StoreRevision(response.header.revision.0),
        })
    }
}

/// Skips a key that is not text: this system writes none.
fn versioned(kv: KeyValue) -> Option<Versioned> {
    let key = String::from_utf8(kv.key.0)
        .inspect_err(|error| {
            warn!("skipped a key of the store that is not text: {error}; remove it");
        })
        .ok()?;
    Some(Versioned {
        key,
        value: kv.value.0,
        revision: StoreRevision(kv.mod_revision.0),
    })
}

fn watch_event(event: Event) -> Option<WatchEvent> {
    let deleted = event.kind == "DELETE";
    let value = versioned(event.kv)?;
    Some(if deleted {
        WatchEvent::Deleted {
            key: value.key,
            revision: value.revision,
        }
    } else {
        WatchEvent::Put(value)
    })
}

impl Store for EtcdStore {
    fn counts(&self) -> Arc<CallCounts> {
        Arc::clone(&self.counts)
    }

    async fn read(&self, key: &str) -> Result<Option<Versioned>, StoreUnavailable> {
        let request = RangeRequest {
            key: key.into(),
            range_end: None,
        };
        Ok(self.range(request).await?.values.into_iter().next())
    }

    async fn list_at_revision(&self, prefix: &str) -> Result<Listing, StoreUnavailable> {
        let range_end = Some(prefix_end(prefix));
        self.range(RangeRequest {
            key: prefix.into(),
            range_end,
        })
        .await
    }

    async fn transact(&self, transaction: &Transaction) -> TransactionOutcome {
        let compare = |(key, revision): &(String, StoreRevision)| Compare {
            target: "MOD".to_owned(),
            result: "EQUAL".to_owned(),
            key: key.as_str().into(),
            mod_revision: Int64(revision.0),
        };
        let put = |put: &Put| RequestOp {
            request_put: Some(PutRequest {
                key: put.key.as_str().into(),
                value: Base64(put.value.clone()),
                lease: Int64(put.lease.map_or(0, |lease| lease.0)),
            }),
            ..RequestOp::default()
        };
        let remove = |key: &String| RequestOp {
            request_delete_range: Some(DeleteRequest {
                key: key.as_str().into(),
            }),
            ..RequestOp::default()
        };
        let read = |(key, _): &(String, StoreRevision)| RequestOp {
            request_range: Some(RangeRequest {
                key: key.as_str().into(),
                range_end: None,
            }),
            ..RequestOp::default()
        };
        let puts = transaction.puts.iter().map(put);
        let request = TxnRequest {
            compare: transaction.expected.iter().map(compare).collect(),
            success: puts.chain(transaction.removes.iter().map(remove)).collect(),
            failure: transaction.expected.iter().map(read).collect(),
        };
        match self
            .call::<TxnResponse>(CallKind::Write, "/v3/kv/txn", &request)
            .await
        {
            Ok(response) if response.succeeded => {
                TransactionOutcome::Done(StoreRevision(response.header.revision.0))
            }
            Ok(response) => {
                let ranges = response
                    .responses
                    .into_iter()
                    .filter_map(|op| op.response_range);
                let found = ranges.flat_map(|range| range.kvs);
                TransactionOutcome::Conflict(found.filter_map(versioned).collect())
            }
            Err(error) => {
                debug!("the outcome of a transaction is unknown: {error}");
                TransactionOutcome::Unknown
            }
        }
    }

    async fn grant(&self, ttl: DurationMs) -> Result<LeaseId, StoreUnavailable> {
        let ttl_s = i64::try_from(ttl.as_secs_ceil()).unwrap_or(i64::MAX);
        let request = Lease {
            id: Int64(0),
            ttl: Int64(ttl_s),
        };
        let lease: Lease = self
            .call(CallKind::Lease, "/v3/lease/grant", &request)
            .await?;
        // Fields that are missing are 0, and a write with lease 0 would never expire.
        if lease.id == Int64(0) {
            return Err(StoreUnavailable("it granted no lease".to_owned()));
        }
        Ok(LeaseId(lease.id.0))
    }

    async fn renew(&self, lease: LeaseId) -> Result<bool, StoreUnavailable> {
        let request = Lease {
            id: Int64(lease.0),
            ttl: Int64(0),
        };
        let response: KeepAliveResponse = self
            .call(CallKind::Lease, "/v3/lease/keepalive", &request)
            .await?;
        Ok(response.result.ttl.0 > 0)
    }

    async fn end(&self, lease: LeaseId) -> Result<(), StoreUnavailable> {
        let request = Lease {
            id: Int64(lease.0),
            ttl: Int64(0),
        };
        let _: serde_json::Value = self
            .call(CallKind::Lease, "/v3/lease/revoke", &request)
            .await?;
        Ok(())
    }

    async fn watch_with_wait(
        &self,
        prefix: &str,
        from: StoreRevision,
        _wait_ms: DurationMs,
    ) -> Result<mpsc::Receiver<WatchEvent>, StoreUnavailable> {
        self.counts.add(CallKind::Watch);
        let create_request = WatchCreate {
            key: prefix.into(),
            range_end: prefix_end(prefix),
            start_revision: Int64(from.0),
        };
        let response = self
            .client
            .open("/v3/watch", &WatchRequest { create_request })
            .await?;
        let (sender, receiver) = mpsc::channel(WATCH_BUFFER);
        tokio::spawn(async move {
            let mut body = response.into_body();
            let mut pending = Vec::new();
            while let Some(Ok(frame)) = body.frame().await {
                pending.extend_from_slice(frame.data_ref().map_or(&[], |data| data.as_ref()));
                if pending.len() > MAX_RESPONSE_BYTES {
                    return warn!("watch ended: a line has more than {MAX_RESPONSE_BYTES} bytes");
                }
                for event in take_events(&mut pending) {
                    if sender.send(event).await.is_err() {
                        return;
                    }
                }
            }
        });
        Ok(receiver)
    }
}

/// Removes the complete lines from a watch's buffered stream and returns their events.
fn take_events(pending: &mut Vec<u8>) -> Vec<WatchEvent> {
    let mut events = Vec::new();
    while let Some(end) = pending.iter().position(|byte| *byte == b'\n') {
        let line: Vec<u8> = pending.drain(..=end).collect();
        match serde_json::from_str::<WatchLine>(&String::from_utf8_lossy(&line)) {
            Ok(line) => events.extend(line.result.events.into_iter().filter_map(watch_event)),
            Err(error) => warn!("skipped a line of a watch that can't be read: {error}"),
        }
    }
    events
}
