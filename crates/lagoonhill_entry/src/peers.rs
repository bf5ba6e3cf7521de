//! Discovery of other entries, and the periodic exchange with them.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use hyper::Method;
use lagoonhill_core::entry::DrainSource;
use lagoonhill_core::{Exchange, Membership, SeedSearch};
use lagoonhill_http::HttpClient;
use lagoonhill_platform::Store;
use lagoonhill_protocol::{EntryAddress, MemberBeat, PeersRequest, PeersResponse};
use lagoonhill_types::prelude::*;
use log::{debug, info};
use tokio::task::{JoinHandle, JoinSet};
use tokio::time::{sleep, timeout};

use crate::EntrySettings;
use crate::announcement::Announcement;
use crate::control::ControlEvent;
use crate::handle::ControlHandle;
use crate::metrics::Metrics;

/// Time between two rounds of exchanges with the other entries.
const EXCHANGE_INTERVAL: Duration = Duration::from_secs(2);

const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// Time allowed to a seed. Short, because another one may answer.
const SEED_TIMEOUT: Duration = Duration::from_millis(300);

/// The known entries, shared between the exchange and the handler of `/v1/peers`.
///
/// The platform and the balancer only supply addresses. Whether an entry is live
/// follows from its own heartbeats, so that an expired lease or an outage of the
/// platform removes no entry.
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

    /// This entry's address.
    pub(crate) fn own_address(&self) -> EntryAddress {
        self.address
    }

    /// Adds an entry that the platform lists.
    pub(crate) fn add_address(&self, address: EntryAddress) {
        self.lock().add_candidate(address, self.clock.now());
    }

    /// Merges heartbeats received from another entry.
    pub(crate) fn learn(&self, beats: &[MemberBeat]) {
        self.lock().merge(beats, self.clock.now());
    }

    /// The heartbeats to send to another entry: all of them, or a selection.
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

    /// The other live entries.
    fn others(&self) -> Vec<EntryAddress> {
        let mut live = self.live();
        live.retain(|entry| entry.incarnation != self.address.incarnation);
        live
    }

    /// Marks this entry as leaving in all further messages.
    pub(crate) fn leave(&self) {
        self.lock().leave();
    }
}

/// Starts the exchanges with the other entries: those that are known, and the seeds.
pub(crate) fn spawn_exchanges<S: Store>(
    settings: &EntrySettings,
    peers: &Peers,
    store: Option<S>,
    metrics: &Metrics,
    control: &ControlHandle,
) -> [JoinHandle<()>; 2] {
    let own = peers.own_address();
    let own_seed = settings.seed_address.unwrap_or(own.http);
    let search = SeedSearch::new(&settings.seeds, Some(own_seed), own.incarnation.0);
    let with_seeds = exchange_with_seeds(search, peers.clone(), metrics.clone(), control.clone());
    let with_peers = exchange(peers.clone(), store, settings.balancer, control.clone());
    [tokio::spawn(with_peers), tokio::spawn(with_seeds)]
}

/// Exchanges heartbeats and rules with the other entries, for ever.
async fn exchange<S: Store>(
    peers: Peers,
    store: Option<S>,
    balancer: Option<std::net::SocketAddr>,
    control: ControlHandle,
) {
    let http = HttpClient::new();
    let mut announcement = Announcement::default();
    let mut is_known = false;
    loop {
        if let Some(store) = &store {
            announcement.refresh(store, &peers).await;
        }
        let others = peers.begin_round();
        if !is_known && !others.is_empty() {
            is_known = true;
            exchange_with_all(&http, &peers, &control).await;
        }
        let others = others.iter().map(|other| (other.peer.http, other.is_full));
        let balancer = balancer.map(|address| (address, false));
        let mut exchanges: JoinSet<()> = others
            .chain(balancer)
            .map(|(address, is_full)| {
                let (http, peers, control) = (http.clone(), peers.clone(), control.clone());
                async move {
                    exchange_with(&http, address, is_full, false, &peers, &control).await;
                }
            })
            .collect();
        while exchanges.join_next().await.is_some() {}
        control.send(ControlEvent::Entries(peers.live()));
        sleep(EXCHANGE_INTERVAL).await;
    }
}

/// Tells every live entry that this one leaves.
pub(crate) async fn announce_leave(peers: &Peers, control: &ControlHandle) {
    peers.leave();
    exchange_with_all(&HttpClient::new(), peers, control).await;
}

/// Exchanges heartbeats with every live entry at once.
async fn exchange_with_all(http: &HttpClient, peers: &Peers, control: &ControlHandle) {
    let exchanges: JoinSet<()> = peers
        .others()
        .into_iter()
        .map(|other| {
            let (http, peers, control) = (http.clone(), peers.clone(), control.clone());
            async move {
                exchange_with(&http, other.http, false, false, &peers, &control).await;
            }
        })
        .collect();
    exchanges.join_all().await;
    control.send(ControlEvent::Entries(peers.live()));
}

/// Exchanges heartbeats with the seeds, for ever, at growing intervals: with
/// the store away, processes that have just started know nobody else.
async fn exchange_with_seeds(
    mut search: SeedSearch,
    peers: Peers,
    metrics: Metrics,
    control: ControlHandle,
) {
    let http = HttpClient::new();
    let mut known = 1;
    while let Some(seed) = search.next_seed() {
        let exchange = exchange_with(&http, seed, true, true, &peers, &control);
        let is_answered = timeout(SEED_TIMEOUT, exchange).await.unwrap_or(false);
        metrics.seed_asked(is_answered);
        if is_answered {
            let live = peers.live();
            if live.len() != known {
                known = live.len();
                info!(target: "decision", "seed-answered seed={seed} entries={known}");
            }
            control.send(ControlEvent::Entries(live));
        }
        sleep(search.next_pause().into()).await;
    }
}

/// Returns whether the other entry answered.
async fn exchange_with(
    http: &HttpClient,
    address: std::net::SocketAddr,
    is_full: bool,
    only_entries: bool,
    peers: &Peers,
    control: &ControlHandle,
) -> bool {
    let Ok((rules, drains)) = control.request(ControlEvent::CurrentRules).await else {
        return false;
    };
    let request = PeersRequest {
        beats: peers.digest(is_full),
        wants_all: is_full,
        revision: rules.revision,
        drains_revision: drains.revision,
        only_entries,
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
    let answer: Option<PeersResponse> = match sent.await {
        Ok(reply) => serde_json::from_slice(&reply.body).ok(),
        Err(error) => {
            debug!("no answer from a peer entry: {error}");
            None
        }
    };
    let Some(answer) = answer else {
        return false;
    };
    peers.learn(&answer.beats);
    // First the drains: with its first rules an entry begins to place tasks.
    if let Some(drains) = answer.drains {
        let source = DrainSource::Peer;
        control.send(ControlEvent::Drains { drains, source });
    }
    if let Some(rules) = answer.rules.and_then(|document| document.to_rules()) {
        control.send(ControlEvent::Rules(rules));
    }
    true
}
