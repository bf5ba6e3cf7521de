//! Bodies of other writers at the HTTP interfaces of an entry and an agent: each gets
//! a refusal, and the process goes on.

use std::time::Duration;

use bytes::Bytes;
use hyper::{Method, StatusCode};
use lagoonhill_agent::{AgentDaemon, AgentSettings};
use lagoonhill_entry::{EntryDaemon, EntrySettings};
use lagoonhill_http::HttpClient;
use lagoonhill_platform::RULES_KEY;
use lagoonhill_rules::{RuleSet, StoredRules, parse_rules};
use lagoonhill_standin::PlatformStandin;
use lagoonhill_types::prelude::*;
use serde_json::{Value, json};

/// Defines one test for each named case.
macro_rules! cases {
    ($($name:ident => $body:block)+) => {
        $(#[tokio::test(flavor = "multi_thread")] async fn $name() $body)+
    };
}

const RULES: &str = "\
service dispatch deadline=20s run-time=100ms run-limit=20s  # tests
team parents class=rush  # tests
queue jobs service=dispatch attempts=2 objective=60ms slack-permille=1600  # tests
";

const TIMEOUT: Duration = Duration::from_secs(10);

const NESTING: usize = 20_000;

/// Bodies that are odd whatever is expected.
fn odd_bodies() -> Vec<Vec<u8>> {
    let nested = "[".repeat(NESTING) + &"]".repeat(NESTING);
    let objects = "{\"a\":".repeat(NESTING) + "1" + &"}".repeat(NESTING);
    vec![
        Vec::new(),
        b"\xff\xfe".to_vec(),
        b"null".to_vec(),
        b"7".to_vec(),
        b"1e400".to_vec(),
        b"[]".to_vec(),
        b"{}".to_vec(),
        nested.into_bytes(),
        objects.into_bytes(),
    ]
}

/// A sound body with each of its numbers replaced by odd ones.
fn with_odd_numbers(body: &Value, numbers: &[&str]) -> Vec<Vec<u8>> {
    let text = body.to_string();
    let marked = numbers
        .iter()
        .map(|number| text.replace("7777", number).into_bytes());
    marked.collect()
}

const ODD_NUMBERS: [&str; 6] = ["18446744073709551616", "1e400", "-1", "1.5", "\"7\"", "[]"];

async fn send(
    address: std::net::SocketAddr,
    method: Method,
    path: &str,
    body: Vec<u8>,
) -> StatusCode {
    let client = HttpClient::new();
    let sent = client.send(address, method, path, &[], Bytes::from(body), TIMEOUT);
    sent.await.expect("the process should answer").status
}

async fn entry() -> (PlatformStandin, EntryDaemon) {
    let platform = PlatformStandin::start()
        .await
        .expect("the stand-in should start");
    let lines = parse_rules(RULES).expect("the rules should be valid");
    let stored = StoredRules {
        rules: RuleSet::new(Revision(1), lines),
        records: Vec::new(),
    };
    platform.put(
        RULES_KEY,
        &stored.encode().expect("the rules should be small"),
    );
    let settings = EntrySettings {
        platform: Some(platform.address()),
        ..EntrySettings::default()
    };
    let entry = EntryDaemon::start(settings)
        .await
        .expect("the entry should start");
    assert!(
        entry.client().first_rules(DurationMs(400)).await.is_some(),
        "the entry has no rules"
    );
    (platform, entry)
}

async fn agent() -> AgentDaemon {
    let name = "worker".parse().expect("the name should be valid");
    let zone = "zone-a".parse().expect("the name should be valid");
    AgentDaemon::start(AgentSettings::new(name, zone))
        .await
        .expect("the agent should start")
}

cases! {
    an_entry_refuses_odd_bodies_and_goes_on => {
        let (_platform, entry) = entry().await;
        let step = json!({"count": 7777});
        let sound = [
            (Method::POST, "/v1/jobs", json!({"service": "dispatch", "team": "parents", "tasks": [1], "memory_bytes": 7777})),
            (Method::PUT, "/v1/queues/jobs/jobs/a", json!({"input": 1, "steps": [step]})),
            (Method::POST, "/v1/tickets", json!({"count": 7777})),
            (Method::POST, "/v1/peers", json!({"revision": 7777})),
        ];
        for (method, path, body) in &sound {
            for odd in odd_bodies().into_iter().chain(with_odd_numbers(body, &ODD_NUMBERS)) {
                let text = String::from_utf8_lossy(&odd).chars().take(80).collect::<String>();
                let status = send(entry.http(), method.clone(), path, odd).await;
                assert!(status.is_client_error(), "{path}: {status}: {text}");
            }
        }
        assert_eq!(send(entry.http(), Method::GET, "/readyz", Vec::new()).await, StatusCode::OK);
    }

    the_steps_of_a_queue_job_are_bounded => {
        let (_platform, entry) = entry().await;
        let empty = vec![json!({"count": 0}); 70_000];
        let jobs = [
            json!({"input": 1, "steps": empty}),
            json!({"input": 1, "steps": [{"count": 65_535}, {"count": 65_535}]}),
            json!({"input": 1, "steps": [{"count": 1, "after": [0]}]}),
            json!({"input": 1, "steps": [{"count": 1, "after": [65_535]}]}),
            json!({"input": 1, "steps": []}),
        ];
        for job in jobs {
            let status = send(entry.http(), Method::PUT, "/v1/queues/jobs/jobs/a", job.to_string().into_bytes()).await;
            assert_eq!(status, StatusCode::BAD_REQUEST);
        }
        assert_eq!(send(entry.http(), Method::GET, "/readyz", Vec::new()).await, StatusCode::OK);
    }

    odd_beats_of_a_peer_end_nothing => {
        let (_platform, entry) = entry().await;
        for beat in [0, u64::MAX] {
            for incarnation in [0, 1, u64::MAX, entry.address().incarnation.0] {
                let address = json!({"incarnation": incarnation, "inbox": "127.0.0.1:9", "http": "127.0.0.1:9"});
                let body = json!({"revision": u64::MAX, "drains_revision": u64::MAX,
                    "beats": [{"address": address, "beat": beat, "leaving": false}]});
                let status = send(entry.http(), Method::POST, "/v1/peers", body.to_string().into_bytes()).await;
                assert_eq!(status, StatusCode::OK);
            }
        }
        assert_eq!(send(entry.http(), Method::GET, "/readyz", Vec::new()).await, StatusCode::OK);
    }

    an_agent_refuses_odd_targets_and_goes_on => {
        let agent = agent().await;
        let target = |address: &str| json!({"service": "dispatch", "address": address, "slots": 7777});
        let sound = target("127.0.0.1:9");
        let numbers: Vec<&str> = ODD_NUMBERS.into_iter().chain(["0", "65536"]).collect();
        let odd_targets = ["127.0.0.1:99999", "127.0.0.1:0", "127.0.0.1", "", "nowhere:9"].map(|address| target(address).to_string().into_bytes());
        for odd in odd_bodies().into_iter().chain(with_odd_numbers(&sound, &numbers)).chain(odd_targets) {
            let text = String::from_utf8_lossy(&odd).chars().take(80).collect::<String>();
            let status = send(agent.http(), Method::PUT, "/v1/target", odd).await;
            assert!(status.is_client_error(), "{status}: {text}");
        }
        let largest = json!({"service": "dispatch", "address": "127.0.0.1:9", "slots": 65_535, "connections": 65_535,
            "processors": 65_535, "memory_bytes": u64::MAX, "accelerators": 65_535});
        let status = send(agent.http(), Method::PUT, "/v1/target", largest.to_string().into_bytes()).await;
        assert_eq!(status, StatusCode::NO_CONTENT);
        assert_eq!(send(agent.http(), Method::GET, "/healthz", Vec::new()).await, StatusCode::OK);
    }
}
