use std::net::SocketAddr;
use std::sync::mpsc::Sender;
use std::time::Duration;

use hyper::Method;
use lagoonhill_http::HttpClient;
use lagoonhill_platform::{ENTRIES_PREFIX, Store, Versioned};
use lagoonhill_protocol::{EntryAddress, PeersAnswer, PeersRequest};
use lagoonhill_types::prelude::*;
use log::{debug, info, warn};
use tokio::sync::oneshot;
use tokio::time::sleep;

use crate::control::{AgentStatus, ControlEvent};

/// Time between two looks at whether any entry is connected.
const LOOK: Duration = Duration::from_millis(500);

/// First pause between two searches for entries: when everything has just
/// started, the first of them are on the list a moment later.
const FIRST_PAUSE_MS: u64 = 50;

/// Longest pause between two searches for entries.
const MAX_PAUSE_MS: u64 = 10_000;

const CALL_LIMIT: Duration = Duration::from_secs(1);

/// Finds entries while no session is open; sessions tell of the rest.
pub(crate) async fn discover<S: Store, E: Send + 'static>(
    store: Option<S>,
    balancer: Option<SocketAddr>,
    control: Sender<ControlEvent<E>>,
) {
    let http = HttpClient::new();
    let mut pause_ms = FIRST_PAUSE_MS;
    loop {
        let Some(status) = ask_status(&control).await else {
            return;
        };
        if status.sessions > 0 {
            pause_ms = FIRST_PAUSE_MS;
            sleep(LOOK).await;
            continue;
        }
        if !search(store.as_ref(), balancer, &http, &control).await {
            info!(
                "no entry is known yet; check the platform's and the balancer's address if this goes on"
            );
        }
        sleep(Duration::from_millis(
            pause_ms + fastrand::u64(0..=pause_ms / 2),
        ))
        .await;
        pause_ms = (pause_ms * 3 / 2).min(MAX_PAUSE_MS);
    }
}

async fn ask_status<E>(control: &Sender<ControlEvent<E>>) -> Option<AgentStatus> {
    let (reply, answer) = oneshot::channel();
    control.send(ControlEvent::Status(reply)).ok()?;
    answer.await.ok()
}

/// Asks the platform, then the balancer; returns whether any entry was named.
async fn search<S: Store, E>(
    store: Option<&S>,
    balancer: Option<SocketAddr>,
    http: &HttpClient,
    control: &Sender<ControlEvent<E>>,
) -> bool {
    let mut entries: Vec<EntryAddress> = Vec::new();
    if let Some(store) = store {
        match store.list(ENTRIES_PREFIX).await {
            Ok(found) => entries.extend(found.iter().filter_map(read_address)),
            Err(error) => info!("the list of entries can't be read: {error}"),
        }
    }
    if let Some(balancer) = balancer
        && let Some(answer) = ask_balancer(http, balancer).await
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

fn read_address(found: &Versioned) -> Option<EntryAddress> {
    serde_json::from_slice(&found.value)
        .inspect_err(|error| warn!("{} names no entry: {error}", found.key))
        .ok()
}

async fn ask_balancer(http: &HttpClient, balancer: SocketAddr) -> Option<PeersAnswer> {
    let request = PeersRequest {
        beats: Vec::new(),
        wants_all: false,
        revision: Revision(0),
    };
    let body = serde_json::to_vec(&request).ok()?;
    let headers = [("content-type", "application/json")];
    let sent = http.send(
        balancer,
        Method::POST,
        "/v1/peers",
        &headers,
        body.into(),
        CALL_LIMIT,
    );
    match sent.await {
        Ok(reply) => serde_json::from_slice(&reply.body).ok(),
        Err(error) => {
            debug!("the balancer named no entry: {error}");
            None
        }
    }
}
