//! Entries in this process, with a stand-in of the platform's store and an agent whose
//! target is a stand-in too.

#![allow(dead_code, reason = "each test file uses its own part")]

use std::time::Duration;

use hyper::{Method, StatusCode};
use lagoonhill_agent::{AgentDaemon, AgentSettings};
use lagoonhill_core::entry::DurableJobState;
use lagoonhill_entry::{EntryDaemon, EntrySettings, JobStatus};
use lagoonhill_http::HttpClient;
use lagoonhill_platform::RULES_KEY;
use lagoonhill_rules::{RuleSet, StoredRules, parse_rules};
use lagoonhill_standin::{PlatformStandin, StartLog, TargetBehavior, TargetStandin};
use lagoonhill_types::prelude::*;
use serde_json::Value;
use tokio::time::{Instant, sleep};

pub(crate) const RULES: &str = "\
service dispatch deadline=20s run-time=100ms run-limit=20s  # tests
queue jobs service=dispatch attempts=2 objective=60ms slack-permille=1600  # tests
";

/// Longest wait for what must come about.
pub(crate) const TIMEOUT: Duration = Duration::from_secs(25);

/// A store that holds [`RULES`].
pub(crate) async fn platform() -> PlatformStandin {
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
    platform
}

/// An entry that leaves as soon as it is told to.
pub(crate) async fn entry(platform: &PlatformStandin) -> EntryDaemon {
    let settings = EntrySettings {
        platform: Some(platform.address()),
        drain_delay_ms: DurationMs::ZERO,
        drain_limit_ms: DurationMs(100),
        ..EntrySettings::default()
    };
    EntryDaemon::start(settings)
        .await
        .expect("the entry should start")
}

/// A worker with an agent and a target.
pub(crate) struct Worker {
    /// The starts at the target.
    pub(crate) log: StartLog,
    _agent: AgentDaemon,
    _target: TargetStandin,
}

impl Worker {
    pub(crate) async fn start(platform: &PlatformStandin) -> Self {
        let name = "worker".parse().expect("the name should be valid");
        let zone = "zone-a".parse().expect("the name should be valid");
        let mut settings = AgentSettings::new(name, zone);
        settings.platform = Some(platform.address());
        let agent = AgentDaemon::start(settings)
            .await
            .expect("the agent should start");
        let log = StartLog::default();
        let target = TargetStandin::start(TargetBehavior::default(), log.clone())
            .await
            .expect("the target should start");
        let service = "dispatch".parse().expect("the name should be valid");
        target
            .announce(agent.http(), &service, SlotCount(8))
            .await
            .expect("the agent should take the announcement");
        Self {
            log,
            _agent: agent,
            _target: target,
        }
    }
}

/// Submits a durable job once.
pub(crate) async fn submit(entry: &EntryDaemon, name: &str, job: &Value) -> StatusCode {
    let path = format!("/v1/queues/jobs/jobs/{name}");
    let body = job.to_string().into();
    let client = HttpClient::new();
    let sent = client.send(entry.http(), Method::PUT, &path, &[], body, TIMEOUT);
    sent.await.expect("the entry should answer").status
}

/// Submits a durable job until it is accepted.
pub(crate) async fn accept(entry: &EntryDaemon, name: &str, job: &Value) {
    let start = Instant::now();
    while submit(entry, name, job).await != StatusCode::OK {
        assert!(start.elapsed() < TIMEOUT, "{name} is not accepted");
        sleep(Duration::from_millis(20)).await;
    }
}

pub(crate) async fn until_complete(entry: &EntryDaemon, name: &str) {
    let start = Instant::now();
    let key: RequestKey = name.parse().expect("the name should be valid");
    loop {
        let status = entry.client().job_status(key.clone()).await;
        if status == Ok(Some(JobStatus::Over(DurableJobState::Complete))) {
            return;
        }
        assert!(start.elapsed() < TIMEOUT, "{name} is {status:?}");
        sleep(Duration::from_millis(20)).await;
    }
}
