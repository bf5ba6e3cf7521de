use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use hyper::Method;
use lagoonhill_core::{Exchange, Membership};
use lagoonhill_http::HttpClient;
use lagoonhill_platform::Store;
use lagoonhill_protocol::{EntryAddress, MemberBeat, PeersAnswer, PeersRequest};
use lagoonhill_types::prelude::*;
use log::debug;
use tokio::task::JoinSet;
use tokio::time::sleep;

use crate::announcement::Announcement;
use crate::control::ControlEvent;
use crate::handle::ControlHandle;

/// Time between two exchanges with the other entries.
const EXCHANGE_INTERVAL: Duration = Duration::from_secs(2);

const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// The other entries, shared between the exchange and the answers to others.
///
/// The platform and the balancer only make entries known; whether one is live
/// is what it says of itself, so a lapsed lease or an outage removes nobody.
#[derive(Clone, Debug)]
pub(crate) struct Peers {
    clock: Clock,
    address: EntryAddress,
    membership: Arc<Mutex<Membership>>,
}

impl Peers {
    pub(crate) fn new(address: EntryAddress, clock: Clock) -> Self {
        Self {
            clock,
            address,
            membership: Arc::new(Mutex::new(Membership::new(address, clock.now()))),
        }
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Membership> {
        self.membership
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn now(&self) -> TimestampMs {
        self.clock.now()
    }

    /// Where this entry is.
    pub(crate) fn own_address(&self) -> EntryAddress {
        self.address
    }

    /// The platform or the balancer named an entry.
    pub(crate) fn add_address(&self, address: EntryAddress) {
        self.lock().name(address, self.clock.now());
    }

    /// Another entry told what it knows.
    pub(crate) fn learn(&self, beats: &[MemberBeat]) {
        self.lock().learn(beats, self.clock.now());
    }

    /// What to tell another entry.
    pub(crate) fn digest(&self, is_full: bool) -> Vec<MemberBeat> {
        self.lock().digest(is_full, self.clock.now())
    }

    /// Every live entry, this one included.
    pub(crate) fn live(&self) -> Vec<EntryAddress> {
        self.lock().live(self.clock.now())
    }

    fn begin_round(&self) -> Vec<Exchange> {
        self.lock().begin_round(self.clock.now())
    }

    /// Says in all further messages that this entry leaves.
    pub(crate) fn leave(&self) {
        self.lock().leave();
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
        let others = peers.begin_round();
        let others = others.iter().map(|other| (other.with.http, other.is_full));
        let balancer = balancer.map(|address| (address, false));
        let mut exchanges: JoinSet<()> = others
            .chain(balancer)
            .map(|(address, is_full)| {
                let (http, peers, control) = (http.clone(), peers.clone(), control.clone());
                async move { exchange_with(&http, address, is_full, &peers, &control).await }
            })
            .collect();
        while exchanges.join_next().await.is_some() {}
        control.send(ControlEvent::Entries(peers.live()));
        sleep(EXCHANGE_INTERVAL).await;
    }
}

async fn exchange_with(
    http: &HttpClient,
    address: std::net::SocketAddr,
    is_full: bool,
    peers: &Peers,
    control: &ControlHandle,
) {
    let Ok(rules) = control.request(ControlEvent::CurrentRules).await else {
        return;
    };
    let request = PeersRequest {
        beats: peers.digest(is_full),
        wants_all: is_full,
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
        CALL_TIMEOUT,
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
    peers.learn(&answer.beats);
    if let Some(rules) = answer.rules.and_then(|document| document.to_rules()) {
        control.send(ControlEvent::Rules(rules));
    }
}
