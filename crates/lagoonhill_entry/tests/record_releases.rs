//! Releases that store the terms of a durable job run beside ones that do not: each reads
//! the records of the other. Guards against a job that nobody can take over after a part
//! of the entries has been replaced, and against one that loses its stored terms.

mod support;

use std::time::Duration;

use bytes::Bytes;
use hyper::{Method, StatusCode};
use lagoonhill_agent::{AgentDaemon, AgentSettings};
use lagoonhill_entry::{EntryDaemon, EntrySettings};
use lagoonhill_http::HttpClient;
use lagoonhill_platform::{JOBS_PREFIX, OPEN_JOBS_PREFIX};
use lagoonhill_standin::PlatformStandin;
use lagoonhill_types::prelude::*;
use serde::Deserialize;
use serde_json::{Value, json};
use support::platform;
use tokio::time::{Instant, sleep};

/// Defines one test for each named case.
macro_rules! cases {
    ($($name:ident => $body:block)+) => {
        $(#[tokio::test(flavor = "multi_thread")] async fn $name() $body)+
    };
}

/// An owner that is gone.
const GONE: Incarnation = Incarnation(42);

const NAME: &str = "job";

const TIMEOUT: Duration = Duration::from_secs(20);

/// The fields that a release without terms requires of a record.
#[derive(Deserialize)]
struct EarlierRecord {
    epoch: u32,
    service: String,
    team: String,
    queue: String,
    name: String,
    steps: Vec<Value>,
    inputs: Vec<String>,
}

fn record(queue: &str) -> Value {
    let resources = json!({"processors": 100, "memory_bytes": 0, "accelerators": 0});
    let step = json!({"count": 1, "resources": resources, "estimate_ms": 100});
    json!({"epoch": 1, "service": "dispatch", "team": queue, "queue": queue, "name": NAME,
        "steps": [step], "inputs": ["1"]})
}

fn open_key(owner: Incarnation) -> String {
    format!("{OPEN_JOBS_PREFIX}{owner}/{NAME}")
}

async fn entry(platform: &PlatformStandin) -> EntryDaemon {
    let settings = EntrySettings {
        platform: Some(platform.address()),
        ..EntrySettings::default()
    };
    EntryDaemon::start(settings)
        .await
        .expect("the entry should start")
}

/// The record that `owner` stores once there is one that satisfies `is_wanted`.
async fn stored(
    platform: &PlatformStandin,
    owner: Incarnation,
    is_wanted: impl Fn(&Value) -> bool,
) -> Value {
    let start = Instant::now();
    loop {
        if let Some(value) = platform.get(&open_key(owner)) {
            let record = serde_json::from_slice(&value).expect("the record should be JSON");
            if is_wanted(&record) {
                return record;
            }
        }
        assert!(start.elapsed() < TIMEOUT, "no such record is stored");
        sleep(Duration::from_millis(20)).await;
    }
}

/// Puts the record of an owner that is gone; returns the one of the entry that takes it
/// over, once it satisfies `is_wanted`.
async fn taken_over(record: &Value, is_wanted: impl Fn(&Value) -> bool) -> Value {
    let platform = platform().await;
    let state = json!({"owner": GONE, "state": "open"}).to_string();
    platform.put(&format!("{JOBS_PREFIX}{NAME}"), state.as_bytes());
    platform.put(&open_key(GONE), record.to_string().as_bytes());
    let entry = entry(&platform).await;
    stored(&platform, entry.address().incarnation, is_wanted).await
}

/// An agent whose target is announced, and does not answer.
async fn agent(platform: &PlatformStandin) -> AgentDaemon {
    let name = "worker".parse().expect("the name should be valid");
    let zone = "zone-a".parse().expect("the name should be valid");
    let mut settings = AgentSettings::new(name, zone);
    settings.platform = Some(platform.address());
    let agent = AgentDaemon::start(settings)
        .await
        .expect("the agent should start");
    let body = json!({"service": "dispatch", "address": "127.0.0.1:9", "slots": 4}).to_string();
    let reply = put(agent.http(), "/v1/target", body).await;
    assert!(reply.is_success());
    agent
}

async fn put(to: std::net::SocketAddr, path: &str, body: String) -> StatusCode {
    let client = HttpClient::new();
    let sent = client.send(to, Method::PUT, path, &[], Bytes::from(body), TIMEOUT);
    sent.await.expect("the process should answer").status
}

cases! {
    a_release_without_terms_reads_a_record_with_terms => {
        let platform = platform().await;
        let entry = entry(&platform).await;
        let _agent = agent(&platform).await;
        let start = Instant::now();
        let body = json!({"input": 1, "steps": [{"count": 1}]}).to_string();
        let path = format!("/v1/queues/jobs/jobs/{NAME}");
        while put(entry.http(), &path, body.clone()).await != StatusCode::OK {
            assert!(start.elapsed() < TIMEOUT, "the job is not accepted");
            sleep(Duration::from_millis(50)).await;
        }
        let record = stored(&platform, entry.address().incarnation, |_| true).await;
        assert!(record["terms"]["attempts"].is_u64(), "{record}");
        let earlier: EarlierRecord = serde_json::from_value(record).expect("an earlier release should read it");
        assert_eq!((earlier.epoch, earlier.name.as_str(), earlier.queue.as_str()), (1, NAME, "jobs"));
        assert_eq!((earlier.service.as_str(), earlier.team.as_str()), ("dispatch", "jobs"));
        assert_eq!((earlier.steps.len(), earlier.inputs.len()), (1, 1));
    }

    // The rules have another limit by now, or none.
    stored_terms_go_before_the_rules_in_force => {
        let terms = json!({"class": "office", "attempts": 7, "objective_ms": 60, "slack_permille": 1_500, "run_limit_ms": 1_000});
        for queue in ["jobs", "removed"] {
            let mut with_terms = record(queue);
            with_terms["terms"] = terms.clone();
            let record = taken_over(&with_terms, |_| true).await;
            assert_eq!(record["epoch"], 2, "{queue}");
            assert_eq!(record["terms"], terms, "{queue}");
        }
    }

    // By a release without terms, of a queue that the rules have, or do not.
    a_record_without_terms_is_taken_over => {
        for queue in ["jobs", "removed"] {
            let record = taken_over(&record(queue), |_| true).await;
            assert_eq!(record["epoch"], 2, "{queue}");
        }
    }
}
