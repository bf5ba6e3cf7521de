//! Another writer leaves one odd record of a durable job beside a sound one, or odd
//! values under the other prefixes that entries read. An entry that ended on it, or
//! gave up its search, would be followed by the next one that takes jobs over.

mod support;

use std::time::Duration;

use bytes::Bytes;
use hyper::{Method, StatusCode};
use lagoonhill_agent::{AgentDaemon, AgentSettings};
use lagoonhill_entry::{EntryClient, EntryDaemon, EntrySettings, JobStatus};
use lagoonhill_http::HttpClient;
use lagoonhill_platform::{ENTRIES_PREFIX, JOBS_PREFIX, OPEN_JOBS_PREFIX, WAITING_COUNTS_PREFIX};
use lagoonhill_standin::PlatformStandin;
use lagoonhill_types::prelude::*;
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

/// Sorted before the sound job, so that it is read first.
const ODD: &str = "a-odd";

const SOUND: &str = "b-sound";

const TIMEOUT: Duration = Duration::from_secs(20);

/// Time for an entry to act on what it has taken over.
const SETTLE: Duration = Duration::from_millis(500);

const NESTING: usize = 20_000;

fn nested() -> String {
    "[".repeat(NESTING) + &"]".repeat(NESTING)
}

fn step(count: u32, after: &[u16]) -> Value {
    let resources = json!({"processors": 100, "memory_bytes": 0, "accelerators": 0});
    json!({"count": count, "after": after, "resources": resources, "estimate_ms": 100})
}

fn record(name: &str, changes: &[(&str, Value)]) -> Value {
    let mut record = json!({"epoch": 1, "service": "dispatch", "team": "jobs", "queue": "jobs",
        "name": name, "steps": [step(2, &[])], "inputs": ["1"]});
    for (key, value) in changes {
        record[key] = value.clone();
    }
    record
}

fn open_key(owner: Incarnation, name: &str) -> String {
    format!("{OPEN_JOBS_PREFIX}{owner}/{name}")
}

fn put_open(platform: &PlatformStandin, name: &str, record: &[u8]) {
    let state = json!({"owner": GONE, "state": "open"}).to_string();
    platform.put(&format!("{JOBS_PREFIX}{name}"), state.as_bytes());
    platform.put(&open_key(GONE, name), record);
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

async fn eventually(what: &str, is_true: impl Fn() -> bool) {
    let start = Instant::now();
    while !is_true() {
        assert!(start.elapsed() < TIMEOUT, "{what}: not within {TIMEOUT:?}");
        sleep(Duration::from_millis(20)).await;
    }
}

fn queue() -> QueueName {
    "jobs".parse().expect("the name should be valid")
}

async fn status(client: &EntryClient, name: &str) -> Option<JobStatus> {
    let name = name.parse().expect("the name should be valid");
    client
        .job_status(name)
        .await
        .expect("the entry should answer")
}

/// Incarnations and addresses of the entries that an entry knows.
async fn known_entries(entry: &EntryDaemon) -> Vec<(String, String)> {
    let client = HttpClient::new();
    let sent = client.send(
        entry.http(),
        Method::GET,
        "/v1/status",
        &[],
        Bytes::new(),
        TIMEOUT,
    );
    let reply = sent.await.expect("the entry should answer");
    let status: Value = serde_json::from_slice(&reply.body).expect("the status should be JSON");
    let text = |value: &Value| value.as_str().unwrap_or_default().to_owned();
    let entries = status["entries"]
        .as_array()
        .expect("the status should list entries");
    entries
        .iter()
        .map(|entry| (text(&entry["incarnation"]), text(&entry["http"])))
        .collect()
}

/// Starts an agent whose target is announced, and does not answer.
async fn join_agent(platform: &PlatformStandin) -> AgentDaemon {
    let name = "worker".parse().expect("the name should be valid");
    let zone = "zone-a".parse().expect("the name should be valid");
    let mut settings = AgentSettings::new(name, zone);
    settings.platform = Some(platform.address());
    let agent = AgentDaemon::start(settings)
        .await
        .expect("the agent should start");
    let client = HttpClient::new();
    let body = json!({"service": "dispatch", "address": "127.0.0.1:9", "slots": 4}).to_string();
    let sent = client.send(
        agent.http(),
        Method::PUT,
        "/v1/target",
        &[],
        body.into(),
        TIMEOUT,
    );
    assert!(
        sent.await
            .expect("the agent should answer")
            .status
            .is_success()
    );
    agent
}

/// Submits a durable job of one task.
async fn submit(entry: &EntryDaemon, name: &str) -> StatusCode {
    let path = format!("/v1/queues/jobs/jobs/{name}");
    let body = json!({"input": 1, "steps": [{"count": 1}]}).to_string();
    let client = HttpClient::new();
    let sent = client.send(entry.http(), Method::PUT, &path, &[], body.into(), TIMEOUT);
    sent.await.expect("the entry should answer").status
}

/// The sound job is taken over although the odd record is read first, and the entry
/// goes on. Returns what became of the odd one.
async fn take_over_beside(odd: &[u8]) -> Option<Vec<u8>> {
    let platform = platform().await;
    put_open(&platform, ODD, odd);
    put_open(&platform, SOUND, record(SOUND, &[]).to_string().as_bytes());
    let entry = entry(&platform).await;
    let own_key = open_key(entry.address().incarnation, SOUND);
    eventually("the sound job is taken over", || {
        platform.get(&own_key).is_some()
    })
    .await;
    sleep(SETTLE).await;
    assert_eq!(
        status(&entry.client(), SOUND).await,
        Some(JobStatus::Running)
    );
    let waiting = entry.client().waiting_jobs(queue()).await;
    assert!(waiting.is_ok(), "the entry has ended: {waiting:?}");
    platform.get(&open_key(GONE, ODD))
}

async fn is_left_unchanged(odd: &[u8]) {
    assert_eq!(
        take_over_beside(odd).await.as_deref(),
        Some(odd),
        "the odd record is not left unchanged"
    );
}

async fn change_is_left_unchanged(key: &str, value: Value) {
    is_left_unchanged(record(ODD, &[(key, value)]).to_string().as_bytes()).await;
}

cases! {
    a_record_nested_deeply => {
        let text = record(ODD, &[("steps", json!("STEPS"))]).to_string();
        is_left_unchanged(text.replace("\"STEPS\"", &nested()).as_bytes()).await;
    }

    a_record_that_is_no_text => {
        is_left_unchanged(b"\xff\xfe{\x00").await;
    }

    a_record_without_its_fields => {
        is_left_unchanged(b"{}").await;
    }

    a_record_of_another_type => {
        is_left_unchanged(b"[[7]]").await;
    }

    an_epoch_too_large => {
        is_left_unchanged(record(ODD, &[]).to_string().replace("\"epoch\":1", "\"epoch\":1e400").as_bytes()).await;
    }

    the_largest_epoch => {
        change_is_left_unchanged("epoch", json!(u32::MAX)).await;
    }

    an_epoch_without_run_numbers_left => {
        change_is_left_unchanged("epoch", json!(u32::MAX / 1_000)).await;
    }

    a_step_after_one_that_does_not_exist => {
        change_is_left_unchanged("steps", json!([step(1, &[9])])).await;
    }

    a_step_after_itself => {
        change_is_left_unchanged("steps", json!([step(1, &[0])])).await;
    }

    more_tasks_than_can_be_numbered => {
        change_is_left_unchanged("steps", json!([step(65_535, &[]), step(65_535, &[]), step(65_535, &[])])).await;
    }

    a_count_too_large => {
        change_is_left_unchanged("steps", json!([step(65_536, &[])])).await;
    }

    terms_of_a_class_that_does_not_exist => {
        change_is_left_unchanged("terms", json!({"class": "urgent", "attempts": 2, "objective_ms": 60, "slack_permille": 1_500, "run_limit_ms": 1_000})).await;
    }

    terms_without_an_attempt => {
        change_is_left_unchanged("terms", json!({"class": "rush", "attempts": 0, "objective_ms": 60, "slack_permille": 1_500, "run_limit_ms": 1_000})).await;
    }

    the_largest_numbers_in_terms => {
        let terms = json!({"class": "rush", "attempts": u16::MAX, "objective_ms": u64::MAX, "slack_permille": u32::MAX, "run_limit_ms": u64::MAX});
        let odd = record(ODD, &[("terms", terms)]).to_string();
        assert_eq!(take_over_beside(odd.as_bytes()).await, None);
    }

    fewer_inputs_than_tasks => {
        let changes = [("steps", json!([step(5, &[])])), ("inputs", json!(["1", "2"]))];
        is_left_unchanged(record(ODD, &changes).to_string().as_bytes()).await;
    }

    no_task_at_all => {
        change_is_left_unchanged("steps", json!([])).await;
    }

    // Written by no release, but harmless: the job is taken over.
    progress_of_tasks_that_do_not_exist => {
        let changes = [("done", json!([65_535, 0, 0])), ("failed", json!([[65_535, 65_535], [1, 65_535]]))];
        let odd = record(ODD, &changes).to_string();
        assert_eq!(take_over_beside(odd.as_bytes()).await, None);
    }

    the_largest_numbers_in_a_step => {
        let mut largest = step(2, &[]);
        largest["estimate_ms"] = json!(u64::MAX);
        largest["resources"] = json!({"processors": u32::MAX, "memory_bytes": u64::MAX, "accelerators": u16::MAX});
        let odd = record(ODD, &[("steps", json!([largest]))]).to_string();
        assert_eq!(take_over_beside(odd.as_bytes()).await, None);
    }

    // The record is all that is left of an accepted job: it is not deleted because
    // the other key can't be read.
    a_job_whose_state_is_odd_is_left_unchanged => {
        for state in [&b"\xff"[..], b"{}", b"{\"owner\":1e400,\"state\":\"open\"}", nested().as_bytes()] {
            let platform = platform().await;
            let odd = record(ODD, &[]).to_string();
            put_open(&platform, ODD, odd.as_bytes());
            put_open(&platform, SOUND, record(SOUND, &[]).to_string().as_bytes());
            platform.put(&format!("{JOBS_PREFIX}{ODD}"), state);
            let entry = entry(&platform).await;
            let own_key = open_key(entry.address().incarnation, SOUND);
            eventually("the sound job is taken over", || platform.get(&own_key).is_some()).await;
            assert_eq!(platform.get(&open_key(GONE, ODD)).as_deref(), Some(odd.as_bytes()));
        }
    }

    // Nobody would run the job, so it is not accepted.
    a_job_is_not_accepted_over_an_odd_state => {
        let platform = platform().await;
        platform.put(&format!("{JOBS_PREFIX}{ODD}"), b"\xff");
        let entry = entry(&platform).await;
        let _agent = join_agent(&platform).await;
        let start = Instant::now();
        while submit(&entry, SOUND).await != StatusCode::OK {
            assert!(start.elapsed() < TIMEOUT, "no job is accepted");
            sleep(Duration::from_millis(50)).await;
        }
        assert_eq!(submit(&entry, ODD).await, StatusCode::SERVICE_UNAVAILABLE);
        assert_eq!(platform.get(&format!("{JOBS_PREFIX}{ODD}")).as_deref(), Some(&b"\xff"[..]));
    }

    odd_counts_of_one_owner_hide_no_others => {
        let platform = platform().await;
        let entry = entry(&platform).await;
        let odd = [
            b"\xff".to_vec(),
            b"[7]".to_vec(),
            b"{\"jobs\":1e400}".to_vec(),
            b"{\"jobs\":-1}".to_vec(),
            b"{\"two words\":7}".to_vec(),
            format!("{{\"jobs\":{}}}", nested()).into_bytes(),
        ];
        for (owner, counts) in odd.iter().enumerate() {
            platform.put(&format!("{WAITING_COUNTS_PREFIX}a{owner}"), counts);
        }
        platform.put(&format!("{WAITING_COUNTS_PREFIX}b"), b"{\"jobs\":3}");
        assert_eq!(entry.client().waiting_jobs(queue()).await.expect("the counts should be known"), 3);
    }

    counts_that_overflow_are_answered => {
        let platform = platform().await;
        let entry = entry(&platform).await;
        for owner in ["a", "b"] {
            let counts = format!("{{\"jobs\":{}}}", u64::MAX);
            platform.put(&format!("{WAITING_COUNTS_PREFIX}{owner}"), counts.as_bytes());
        }
        assert_eq!(entry.client().waiting_jobs(queue()).await.expect("the counts should be known"), usize::MAX);
    }

    odd_addresses_hide_no_entry => {
        let platform = platform().await;
        let address = |port: u32| json!({"incarnation": 7, "inbox": format!("127.0.0.1:{port}"), "http": format!("127.0.0.1:{port}")});
        let odd = [
            address(99_999).to_string().into_bytes(),
            address(0).to_string().into_bytes(),
            address(1).to_string().replace('7', "1e400").into_bytes(),
            b"\xff".to_vec(),
            b"{}".to_vec(),
            nested().into_bytes(),
        ];
        for (position, value) in odd.iter().enumerate() {
            platform.put(&format!("{ENTRIES_PREFIX}0{position}"), value);
        }
        let first = entry(&platform).await;
        let second = entry(&platform).await;
        let start = Instant::now();
        let first_id = first.address().incarnation.to_string();
        loop {
            let entries = known_entries(&second).await;
            assert!(!entries.iter().any(|(_, http)| http.ends_with(":0")), "an entry without a port is known");
            if entries.iter().any(|(incarnation, _)| *incarnation == first_id) {
                break;
            }
            assert!(start.elapsed() < TIMEOUT, "the entries don't find each other");
            sleep(Duration::from_millis(50)).await;
        }
    }
}
