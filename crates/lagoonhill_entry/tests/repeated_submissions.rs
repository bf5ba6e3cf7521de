//! The submission of a durable job arrives again while the store has the job: nothing
//! of it starts anew, whoever owns it and whatever this entry still knows of it.

use std::time::Duration;

use hyper::{Method, StatusCode};
use lagoonhill_agent::{AgentDaemon, AgentSettings};
use lagoonhill_core::entry::DurableJobState;
use lagoonhill_entry::{EntryDaemon, EntrySettings, JobStatus};
use lagoonhill_http::HttpClient;
use lagoonhill_platform::{JOBS_PREFIX, OPEN_JOBS_PREFIX, RULES_KEY};
use lagoonhill_rules::{RuleSet, StoredRules, parse_rules};
use lagoonhill_standin::{
    PlatformFaults, PlatformStandin, StartLog, TargetBehavior, TargetStandin,
};
use lagoonhill_types::prelude::*;
use serde_json::{Value, json};
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

/// An owner that is gone.
const GONE: Incarnation = Incarnation(42);

const TIMEOUT: Duration = Duration::from_secs(20);

/// Time for an entry to start what it would start by mistake.
const SETTLE: Duration = Duration::from_millis(700);

/// An entry that owns durable jobs, and an agent with its target.
struct Fleet {
    platform: PlatformStandin,
    entry: EntryDaemon,
    log: StartLog,
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
        let settings = EntrySettings {
            platform: Some(platform.address()),
            ..EntrySettings::default()
        };
        let entry = EntryDaemon::start(settings)
            .await
            .expect("the entry should start");
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
            .announce(agent.http(), &service, SlotCount(4))
            .await
            .expect("the agent should take the announcement");
        let fleet = Self {
            platform,
            entry,
            log,
            _agent: agent,
            _target: target,
        };
        let start = Instant::now();
        while fleet.submit("first-of-all").await != StatusCode::OK {
            assert!(start.elapsed() < TIMEOUT, "no job is accepted");
            sleep(Duration::from_millis(50)).await;
        }
        fleet.until_complete("first-of-all").await;
        // The entry has searched the store as the owner that it has become.
        sleep(Duration::from_millis(1_500)).await;
        fleet
    }

    fn own(&self) -> Incarnation {
        self.entry.address().incarnation
    }

    /// Submits a job of two steps; each of its tasks counts as a start of `again-NAME`.
    async fn submit(&self, name: &str) -> StatusCode {
        let path = format!("/v1/queues/jobs/jobs/{name}");
        let input = json!({"run_ms": 10, "echo": format!("again-{name}")});
        let steps = json!([{"count": 1}, {"count": 1, "after": [0]}]);
        let body = json!({"input": input, "steps": steps}).to_string();
        let client = HttpClient::new();
        let http = self.entry.http();
        let sent = client.send(http, Method::PUT, &path, &[], body.into(), TIMEOUT);
        sent.await.expect("the entry should answer").status
    }

    async fn until_complete(&self, name: &str) {
        let start = Instant::now();
        let key: RequestKey = name.parse().expect("the name should be valid");
        loop {
            let status = self.entry.client().job_status(key.clone()).await;
            let status = status.expect("the entry should answer");
            if status == Some(JobStatus::Over(DurableJobState::Complete)) {
                return;
            }
            assert!(start.elapsed() < TIMEOUT, "{name} is {status:?}");
            sleep(Duration::from_millis(20)).await;
        }
    }

    /// Stores an open job of two steps, of which the first is done. Its tasks count as
    /// starts of `done-NAME` and `left-NAME`.
    fn store_open(&self, owner: Incarnation, name: &str, state: &Value) {
        let resources = json!({"processors": 100, "memory_bytes": 0, "accelerators": 0});
        let step = |after: &[u16]| json!({"count": 1, "after": after, "resources": resources, "estimate_ms": 10});
        let input =
            |mark: &str| json!({"run_ms": 10, "echo": format!("{mark}-{name}")}).to_string();
        let record = json!({"epoch": 1, "service": "dispatch", "team": "jobs", "queue": "jobs",
            "name": name, "steps": [step(&[]), step(&[0])],
            "inputs": [input("done"), input("left")], "done": [0]});
        let open_key = format!("{OPEN_JOBS_PREFIX}{owner}/{name}");
        self.platform.put(&open_key, record.to_string().as_bytes());
        self.put_state(name, state);
    }

    fn put_state(&self, name: &str, state: &Value) {
        let key = format!("{JOBS_PREFIX}{name}");
        self.platform.put(&key, state.to_string().as_bytes());
    }

    fn starts(&self, mark: &str, name: &str) -> u32 {
        self.log.starts_of(&format!("{mark}-{name}"))
    }

    /// A submission of the stored job arrives again: only what is left of it runs.
    async fn assert_only_the_rest_runs(&self, name: &str) {
        assert_eq!(self.submit(name).await, StatusCode::OK);
        self.until_complete(name).await;
        assert_eq!(self.starts("again", name), 0, "{name} was started anew");
        assert_eq!(
            self.starts("done", name),
            0,
            "a task that is done ran again"
        );
        assert_eq!(self.starts("left", name), 1);
    }
}

cases! {
    // Guards against a second run of tasks that are done: the entry has abandoned the job
    // in an outage, the store still has it as the job's owner, and the entry has not
    // searched for its own jobs yet. The state is as earlier releases wrote it.
    a_job_stored_as_this_entrys_is_not_started_anew => {
        let fleet = Fleet::start().await;
        let state = json!({"owner": fleet.own(), "state": "open"});
        fleet.store_open(fleet.own(), "abandoned", &state);
        fleet.assert_only_the_rest_runs("abandoned").await;
    }

    // The same, with the state of this release.
    a_job_stored_by_an_earlier_request_is_not_started_anew => {
        let fleet = Fleet::start().await;
        let state = json!({"owner": fleet.own(), "state": "open", "claim": 7});
        fleet.store_open(fleet.own(), "accepted", &state);
        fleet.assert_only_the_rest_runs("accepted").await;
    }

    // An entry that was started again is another owner.
    a_job_of_an_owner_that_is_gone_is_not_started_anew => {
        let fleet = Fleet::start().await;
        let state = json!({"owner": GONE, "state": "open", "claim": 7});
        fleet.store_open(GONE, "orphan", &state);
        fleet.assert_only_the_rest_runs("orphan").await;
    }

    a_job_that_has_ended_is_not_started_anew => {
        let fleet = Fleet::start().await;
        for end in ["complete", "failed", "cancelled"] {
            for owner in [GONE, fleet.own()] {
                let name = format!("{end}-of-{owner}");
                fleet.put_state(&name, &json!({"owner": owner, "state": end}));
                assert_eq!(fleet.submit(&name).await, StatusCode::OK);
                sleep(SETTLE).await;
                assert_eq!(fleet.starts("again", &name), 0, "{name} was started");
            }
        }
    }

    // Guards against a refusal, or a takeover from nobody, of a job that the entry itself
    // has just stored: the answer to the first attempt is lost.
    the_next_attempt_of_the_same_request_finds_its_own_job => {
        let fleet = Fleet::start().await;
        let faults = PlatformFaults { unanswered_transactions: 1, ..PlatformFaults::default() };
        fleet.platform.set_faults(faults);
        assert_eq!(fleet.submit("untold").await, StatusCode::OK);
        fleet.until_complete("untold").await;
        assert_eq!(fleet.starts("again", "untold"), 2);
    }
}
