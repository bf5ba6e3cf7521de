//! Discovery of entries through the platform's store, the balancer and the seeds.

use std::net::SocketAddr;
use std::sync::mpsc::Sender;
use std::time::Duration;

use hyper::Method;
use lagoonhill_core::SeedSearch;
use lagoonhill_http::HttpClient;
use lagoonhill_platform::{ENTRIES_PREFIX, Store, Versioned};
use lagoonhill_protocol::{EntryAddress, PeersRequest, PeersResponse};
use lagoonhill_types::prelude::*;
use log::{debug, info, warn};
use tokio::sync::oneshot;
use tokio::time::sleep;

use crate::control::{AgentStatus, ControlEvent};
use crate::metrics::Metrics;

/// Interval at which an agent with open sessions checks that it still has one.
const SESSION_POLL_INTERVAL: Duration = Duration::from_millis(500);

/// Initial backoff between searches. Short, because when the whole system has
/// just started, the first entries register a moment later.
const INITIAL_BACKOFF_MS: u64 = 50;

const MAX_BACKOFF_MS: u64 = 10_000;

const BALANCER_TIMEOUT: Duration = Duration::from_secs(1);

/// Time allowed to a seed. Short, because another one may answer.
const SEED_TIMEOUT: Duration = Duration::from_millis(300);

/// Searches for entries while no session is open. Further entries are learned
/// through sessions.
pub(crate) async fn discover<S: Store, E: Send + 'static>(
    store: Option<S>,
    balancer: Option<SocketAddr>,
    control: Sender<ControlEvent<E>>,
) {
    let http = HttpClient::new();
    let mut backoff_ms = INITIAL_BACKOFF_MS;
    loop {
        let Some(status) = fetch_status(&control).await else {
            return;
        };
        if status.sessions > 0 {
            backoff_ms = INITIAL_BACKOFF_MS;
            sleep(SESSION_POLL_INTERVAL).await;
            continue;
        }
        if !find_entries(store.as_ref(), balancer, &http, &control).await {
            info!(
                "no entry found yet; if this persists, check the addresses of the platform and the balancer"
            );
        }
        sleep(Duration::from_millis(
            backoff_ms + fastrand::u64(0..=backoff_ms / 2),
        ))
        .await;
        backoff_ms = (backoff_ms * 3 / 2).min(MAX_BACKOFF_MS);
    }
}

/// Asks the seeds for entries while no session is open, beside [`discover`]: a store
/// that does not answer holds up each of its searches.
pub(crate) async fn discover_through_seeds<E: Send + 'static>(
    mut search: SeedSearch,
    metrics: Metrics,
    control: Sender<ControlEvent<E>>,
) {
    let http = HttpClient::new();
    while let Some(status) = fetch_status(&control).await {
        if status.sessions > 0 {
            search.restart();
            sleep(SESSION_POLL_INTERVAL).await;
            continue;
        }
        let Some(seed) = search.next_seed() else {
            return;
        };
        let answer = query_peers(&http, seed, true, SEED_TIMEOUT).await;
        metrics.seed_asked(answer.is_some());
        if let Some(answer) = answer {
            let entries = answer.entries;
            info!(target: "decision", "seed-answered seed={seed} entries={}", entries.len());
            let _ = control.send(ControlEvent::Entries(entries));
        }
        sleep(search.next_pause().into()).await;
    }
}

async fn fetch_status<E>(control: &Sender<ControlEvent<E>>) -> Option<AgentStatus> {
    let (reply, answer) = oneshot::channel();
    control.send(ControlEvent::Status(reply)).ok()?;
    answer.await.ok()
}

/// Queries the platform's store, then the balancer. Returns whether either
/// listed an entry.
async fn find_entries<S: Store, E>(
    store: Option<&S>,
    balancer: Option<SocketAddr>,
    http: &HttpClient,
    control: &Sender<ControlEvent<E>>,
) -> bool {
    let mut entries: Vec<EntryAddress> = Vec::new();
    if let Some(store) = store {
        match store.list(ENTRIES_PREFIX).await {
            Ok(found) => entries.extend(found.iter().filter_map(parse_address)),
            Err(error) => info!("could not read the list of entries: {error}"),
        }
    }
    if let Some(balancer) = balancer
        && let Some(answer) = query_peers(http, balancer, false, BALANCER_TIMEOUT).await
    {
        entries.extend(answer.entries);
        if let Some(rules) = answer.rules.and_then(|document| document.to_rules()) {
            let _ = control.send(ControlEvent::Rules(rules));
        }
    }
    let found = !entries.is_empty();
    let _ = control.send(ControlEvent::Entries(entries));
    found
}

fn parse_address(found: &Versioned) -> Option<EntryAddress> {
    let address: EntryAddress = serde_json::from_slice(&found.value)
        .inspect_err(|error| {
            warn!(
                "value of {} is not an entry address: {error}; remove it if it is not of this system",
                found.key
            );
        })
        .ok()?;
    if !address.has_ports() {
        warn!(
            "value of {} is not an entry address: a port is 0; remove it if it is not of this system",
            found.key
        );
        return None;
    }
    Some(address)
}

/// Asks an entry, directly or through the balancer, for the entries that it knows.
async fn query_peers(
    http: &HttpClient,
    address: SocketAddr,
    only_entries: bool,
    limit: Duration,
) -> Option<PeersResponse> {
    let request = PeersRequest {
        beats: Vec::new(),
        wants_all: false,
        revision: Revision(0),
        drains_revision: Revision(0),
        only_entries,
    };
    let body = serde_json::to_vec(&request).ok()?;
    let headers = [("content-type", "application/json")];
    let sent = http.send(
        address,
        Method::POST,
        "/v1/peers",
        &headers,
        body.into(),
        limit,
    );
    match sent.await {
        Ok(reply) => serde_json::from_slice(&reply.body).ok(),
        Err(error) => {
            debug!("no entries from {address}: {error}");
            None
        }
    }
}
