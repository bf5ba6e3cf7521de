//! Entries come, accept a durable job and are gone again: the others take the job over,
//! also those that have never known of a durable job.

use std::time::Duration;

use hyper::{Method, StatusCode};
use lagoonhill_agent::{AgentDaemon, AgentSettings};
use lagoonhill_core::entry::DurableJobState;
use lagoonhill_entry::{EntryDaemon, EntrySettings, JobStatus};
use lagoonhill_http::HttpClient;
use lagoonhill_platform::{OWNERS_PREFIX, RULES_KEY};
use lagoonhill_rules::{RuleSet, StoredRules, parse_rules};
use lagoonhill_standin::{
    PlatformFaults, PlatformStandin, StartLog, TargetBehavior, TargetStandin,
};
use lagoonhill_types::prelude::*;
use serde_json::json;
use tokio::time::{Instant, sleep};

/// Defines one test for each named case.
macro_rules! cases {
    ($($(#[$note:meta])* $name:ident => $body:block)+) => {
        $($(#[$note])* #[tokio::test(flavor = "multi_thread")] async fn $name() $body)+
    };
}

const RULES: &str = "\
service dispatch deadline=20s run-time=100ms run-limit=20s  # tests
queue jobs service=dispatch attempts=2 objective=60ms slack-permille=1600  # tests
";

/// Time in which a job of an owner that has left is complete.
const TIMEOUT: Duration = Duration::from_secs(25);

/// Run time of a job, longer than its first owner stays.
const RUN_MS: u64 = 2_000;

/// Time in which an entry has searched for durable jobs after its start.
const FIRST_SEARCH: Duration = Duration::from_millis(500);

struct Fleet {
    platform: PlatformStandin,
    _agent: AgentDaemon,
    _target: TargetStandin,
}

impl Fleet {
    async fn start() -> Self {
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
        let name = "worker".parse().expect("the name should be valid");
        let zone = "zone-a".parse().expect("the name should be valid");
        let mut settings = AgentSettings::new(name, zone);
        settings.platform = Some(platform.address());
        let agent = AgentDaemon::start(settings)
            .await
            .expect("the agent should start");
        let target = TargetStandin::start(TargetBehavior::default(), StartLog::default())
            .await
            .expect("the target should start");
        let service = "dispatch".parse().expect("the name should be valid");
        target
            .announce(agent.http(), &service, SlotCount(8))
            .await
            .expect("the agent should take the announcement");
        Self {
            platform,
            _agent: agent,
            _target: target,
        }
    }

    async fn entry(&self) -> EntryDaemon {
        let settings = EntrySettings {
            platform: Some(self.platform.address()),
            drain_delay_ms: DurationMs::ZERO,
            drain_limit_ms: DurationMs(100),
            ..EntrySettings::default()
        };
        EntryDaemon::start(settings)
            .await
            .expect("the entry should start")
    }

    /// An entry that has searched for durable jobs and found none.
    async fn idle_entry(&self) -> EntryDaemon {
        let entry = self.entry().await;
        sleep(FIRST_SEARCH).await;
        entry
    }

    /// Starts an entry that accepts a job and leaves at once.
    async fn accept_and_leave(&self, name: &str) {
        let entry = self.entry().await;
        self.accept(&entry, name).await;
        entry.drain().await;
    }

    async fn accept(&self, entry: &EntryDaemon, name: &str) {
        let path = format!("/v1/queues/jobs/jobs/{name}");
        let steps = json!([{"count": 1, "run_time_ms": RUN_MS}]);
        let body = json!({"input": {"run_ms": RUN_MS}, "steps": steps}).to_string();
        let client = HttpClient::new();
        let start = Instant::now();
        loop {
            let body = body.clone().into();
            let sent = client.send(entry.http(), Method::PUT, &path, &[], body, TIMEOUT);
            if sent.await.expect("the entry should answer").status == StatusCode::OK {
                return;
            }
            assert!(start.elapsed() < TIMEOUT, "{name} is not accepted");
            sleep(Duration::from_millis(20)).await;
        }
    }

    fn owners(&self) -> usize {
        self.platform.count(OWNERS_PREFIX)
    }
}

async fn until_complete(entry: &EntryDaemon, name: &str) {
    let start = Instant::now();
    let key: RequestKey = name.parse().expect("the name should be valid");
    loop {
        let status = entry.client().job_status(key.clone()).await;
        if status == Ok(Some(JobStatus::Over(DurableJobState::Complete))) {
            return;
        }
        assert!(start.elapsed() < TIMEOUT, "{name} is {status:?}");
        sleep(Duration::from_millis(50)).await;
    }
}

cases! {
    // Guards against an accepted job that nobody runs: the first owner of a fleet comes and
    // leaves between two looks of an entry that knows of no durable job.
    the_first_job_of_a_fleet_is_taken_over_from_an_owner_that_leaves_at_once => {
        let fleet = Fleet::start().await;
        let idle = fleet.idle_entry().await;
        fleet.accept_and_leave("first").await;
        until_complete(&idle, "first").await;
    }

    several_owners_come_and_leave_in_series => {
        let fleet = Fleet::start().await;
        let idle = fleet.idle_entry().await;
        for name in ["one", "two", "three"] {
            fleet.accept_and_leave(name).await;
        }
        for name in ["one", "two", "three"] {
            until_complete(&idle, name).await;
        }
    }

    // The idle entry's watch is cut, and when the store is back the owner is gone.
    an_owner_that_is_lost_while_the_store_is_down => {
        let fleet = Fleet::start().await;
        let idle = fleet.idle_entry().await;
        let owner = fleet.entry().await;
        fleet.accept(&owner, "lost").await;
        fleet.platform.set_faults(PlatformFaults { down: true, ..PlatformFaults::default() });
        owner.drain().await;
        fleet.platform.expire_all_leases();
        assert_eq!(fleet.owners(), 0);
        fleet.platform.set_faults(PlatformFaults::default());
        until_complete(&idle, "lost").await;
    }

    the_last_entry_of_a_fleet_leaves_its_job_to_the_next_one => {
        let fleet = Fleet::start().await;
        fleet.accept_and_leave("last").await;
        assert_eq!(fleet.owners(), 0);
        let next = fleet.entry().await;
        until_complete(&next, "last").await;
    }

    // The entry that stays is an owner itself and polls the others.
    an_owner_that_leaves_between_two_polls_of_another_one => {
        let fleet = Fleet::start().await;
        let other = fleet.entry().await;
        fleet.accept(&other, "own").await;
        until_complete(&other, "own").await;
        fleet.accept_and_leave("between").await;
        until_complete(&other, "between").await;
    }
}
