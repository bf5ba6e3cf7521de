//! Processes that have just started while the store is away: they find each other
//! through seeds, so that workers are known when the store is back.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::time::Duration;

use bytes::Bytes;
use hyper::Method;
use lagoonhill_agent::{AgentDaemon, AgentSettings};
use lagoonhill_entry::{EntryDaemon, EntrySettings};
use lagoonhill_http::HttpClient;
use tokio::time::{Instant, sleep};

/// Defines one test for each named case.
macro_rules! cases {
    ($($name:ident => $body:block)+) => {
        $(#[tokio::test(flavor = "multi_thread")] async fn $name() $body)+
    };
}

/// Nobody listens here: the store that is away, or a seed that is lost.
const LOST: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 9);

const TIMEOUT: Duration = Duration::from_secs(5);

async fn entry(seeds: Vec<SocketAddr>) -> EntryDaemon {
    let settings = EntrySettings {
        platform: Some(LOST),
        seeds,
        ..EntrySettings::default()
    };
    EntryDaemon::start(settings)
        .await
        .expect("the entry should start")
}

async fn agent(seeds: Vec<SocketAddr>) -> AgentDaemon {
    let name = "worker".parse().expect("the name should be valid");
    let zone = "zone-a".parse().expect("the name should be valid");
    let settings = AgentSettings {
        platform: Some(LOST),
        seeds,
        ..AgentSettings::new(name, zone)
    };
    AgentDaemon::start(settings)
        .await
        .expect("the agent should start")
}

/// The value of a gauge at an entry.
async fn gauge(entry: &EntryDaemon, name: &str) -> usize {
    let client = HttpClient::new();
    let path = "/metrics";
    let sent = client.send(
        entry.http(),
        Method::GET,
        path,
        &[],
        Bytes::new(),
        Duration::from_secs(1),
    );
    let body = sent.await.expect("the entry should answer").body;
    let text = String::from_utf8_lossy(&body).into_owned();
    let value = text
        .lines()
        .find_map(|line| line.strip_prefix(name)?.trim().parse().ok());
    value.unwrap_or_else(|| panic!("no {name} in:\n{text}"))
}

async fn wait_for(entry: &EntryDaemon, name: &str, value: usize) {
    let start = Instant::now();
    while gauge(entry, name).await != value {
        assert!(start.elapsed() < TIMEOUT, "{name} is not {value}");
        sleep(Duration::from_millis(20)).await;
    }
}

cases! {
    entries_and_agents_find_each_other_through_a_seed_while_the_store_is_away => {
        let seed = entry(Vec::new()).await;
        let seeds = vec![LOST, seed.http()];
        let other = entry(seeds.clone()).await;
        let _agent = agent(seeds).await;
        for entry in [&seed, &other] {
            wait_for(entry, "lagoonhill_entries", 2).await;
            wait_for(entry, "lagoonhill_workers", 1).await;
        }
    }

    // The seed address may be reachable by others than the processes of the system.
    a_seed_address_answers_requests_for_entries_only => {
        let free = std::net::TcpListener::bind("127.0.0.1:0").expect("a port is free");
        let address = free.local_addr().expect("it is bound");
        drop(free);
        let settings = EntrySettings {
            platform: Some(LOST),
            seeds: vec![address],
            seed_address: Some(address),
            ..EntrySettings::default()
        };
        let seed = EntryDaemon::start(settings).await.expect("the entry should start");
        let _agent = agent(vec![address]).await;
        wait_for(&seed, "lagoonhill_workers", 1).await;
        for (method, path) in [(Method::POST, "/v1/jobs"), (Method::GET, "/v1/status"), (Method::GET, "/metrics")] {
            let client = HttpClient::new();
            let sent = client.send(address, method, path, &[], Bytes::new(), TIMEOUT);
            let status = sent.await.expect("the entry should answer").status;
            assert_eq!(status, hyper::StatusCode::NOT_FOUND, "{path}");
        }
    }
}
