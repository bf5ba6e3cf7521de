use std::collections::HashMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use hyper::Method;
use lagoonhill_http::HttpClient;
use lagoonhill_platform::Store;
use lagoonhill_protocol::{EntryAddress, PeersAnswer, PeersRequest};
use lagoonhill_types::prelude::*;
use log::debug;
use tokio::time::sleep;

use crate::announcement::Announcement;
use crate::control::ControlEvent;
use crate::handle::ControlHandle;

/// Time between two exchanges with the other entries.
const EXCHANGE: Duration = Duration::from_secs(2);

/// Silence after which another entry no longer counts as live.
const DEAD_AFTER: DurationMs = DurationMs::from_secs(15);

const CALL_LIMIT: Duration = Duration::from_secs(1);

/// The other entries, by what they last answered.
///
/// The platform and the balancer only make entries known; whether one is live
/// is what it answers, so a lapsed lease or an outage removes nobody.
#[derive(Clone, Debug)]
pub(crate) struct Peers {
    address: EntryAddress,
    clock: Clock,
    known: Arc<Mutex<HashMap<Incarnation, Known>>>,
}

#[derive(Clone, Copy, Debug)]
struct Known {
    address: EntryAddress,
    heard_ms: TimestampMs,
}

impl Peers {
    pub(crate) fn new(address: EntryAddress, clock: Clock) -> Self {
        Self {
            address,
            clock,
            known: Arc::default(),
        }
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, HashMap<Incarnation, Known>> {
        self.known.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn now(&self) -> TimestampMs {
        self.clock.now()
    }

    /// Where this entry is.
    pub(crate) fn own_address(&self) -> EntryAddress {
        self.address
    }

    /// An entry introduced itself, or answered.
    pub(crate) fn heard(&self, address: EntryAddress) {
        if address.incarnation != self.address.incarnation {
            let known = Known {
                address,
                heard_ms: self.clock.now(),
            };
            self.lock().insert(address.incarnation, known);
        }
    }

    /// Others named an entry; it gets the benefit of the doubt once.
    pub(crate) fn named(&self, address: EntryAddress) {
        if address.incarnation != self.address.incarnation {
            let known = Known {
                address,
                heard_ms: self.clock.now(),
            };
            self.lock().entry(address.incarnation).or_insert(known);
        }
    }

    /// Every live entry, this one included.
    pub(crate) fn live(&self) -> Vec<EntryAddress> {
        let now = self.clock.now();
        let fresh = |known: &&Known| now.since(known.heard_ms) < DEAD_AFTER;
        let others: Vec<EntryAddress> = self
            .lock()
            .values()
            .filter(fresh)
            .map(|known| known.address)
            .collect();
        others.into_iter().chain([self.address]).collect()
    }

    fn known(&self) -> Vec<EntryAddress> {
        let now = self.clock.now();
        let mut known = self.lock();
        known.retain(|_, entry| now.since(entry.heard_ms) < DEAD_AFTER * 4);
        known.values().map(|entry| entry.address).collect()
    }
}

/// Exchanges entries and rules with the other entries, for ever.
pub(crate) async fn exchange<S: Store>(
    peers: Peers,
    store: Option<S>,
    balancer: Option<std::net::SocketAddr>,
    control: ControlHandle,
) {
    let http = HttpClient::new();
    let mut announcement = Announcement::default();
    loop {
        if let Some(store) = &store {
            announcement.refresh(store, &peers).await;
        }
        let others: Vec<std::net::SocketAddr> = peers
            .known()
            .iter()
            .map(|entry| entry.http)
            .chain(balancer)
            .collect();
        for address in others {
            ask(&http, address, &peers, &control).await;
        }
        control.tell(ControlEvent::Entries(peers.live()));
        sleep(EXCHANGE).await;
    }
}

async fn ask(
    http: &HttpClient,
    address: std::net::SocketAddr,
    peers: &Peers,
    control: &ControlHandle,
) {
    let Ok(rules) = control.ask(ControlEvent::CurrentRules).await else {
        return;
    };
    let request = PeersRequest {
        entry: Some(peers.address),
        revision: rules.revision,
    };
    let body = serde_json::to_vec(&request).expect("a request always serializes");
    let headers = [("content-type", "application/json")];
    let sent = http.send(
        address,
        Method::POST,
        "/v1/peers",
        &headers,
        body.into(),
        CALL_LIMIT,
    );
    let answer: Option<PeersAnswer> = match sent.await {
        Ok(reply) => serde_json::from_slice(&reply.body).ok(),
        Err(error) => {
            debug!("another entry did not answer: {error}");
            None
        }
    };
    let Some(answer) = answer else {
        return;
    };
    for entry in &answer.entries {
        if entry.http == address {
            peers.heard(*entry);
        } else {
            peers.named(*entry);
        }
    }
    if let Some(rules) = answer.rules.and_then(|document| document.to_rules()) {
        control.tell(ControlEvent::Rules(rules));
    }
}
