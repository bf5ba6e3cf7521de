//! The submission of a durable job arrives again while the store has the job: nothing
//! of it starts anew, whoever owns it and whatever this entry still knows of it.

mod support;

use std::time::Duration;

use hyper::StatusCode;
use lagoonhill_entry::EntryDaemon;
use lagoonhill_platform::{JOBS_PREFIX, OPEN_JOBS_PREFIX};
use lagoonhill_standin::{PlatformFaults, PlatformStandin};
use lagoonhill_types::prelude::*;
use serde_json::{Value, json};
use support::{Worker, accept, submit, until_complete};
use tokio::time::sleep;

/// Defines one test for each named case.
macro_rules! cases {
    ($($(#[$note:meta])* $name:ident => $body:block)+) => {
        $($(#[$note])* #[tokio::test(flavor = "multi_thread")] async fn $name() $body)+
    };
}

/// An owner that is gone.
const GONE: Incarnation = Incarnation(42);

/// Time for an entry to start what it would start by mistake.
const SETTLE: Duration = Duration::from_millis(700);

/// An entry that owns durable jobs, and a worker.
struct Fleet {
    platform: PlatformStandin,
    entry: EntryDaemon,
    worker: Worker,
}

/// A job of two steps; each of its tasks counts as a start of `again-NAME`.
fn job(name: &str) -> Value {
    let input = json!({"run_ms": 10, "echo": format!("again-{name}")});
    json!({"input": input, "steps": [{"count": 1}, {"count": 1, "after": [0]}]})
}

impl Fleet {
    async fn start() -> Self {
        let platform = support::platform().await;
        let entry = support::entry(&platform).await;
        let worker = Worker::start(&platform).await;
        accept(&entry, "first-of-all", &job("first-of-all")).await;
        until_complete(&entry, "first-of-all").await;
        // The entry has searched the store as the owner that it has become.
        sleep(Duration::from_millis(1_500)).await;
        Self {
            platform,
            entry,
            worker,
        }
    }

    fn own(&self) -> Incarnation {
        self.entry.address().incarnation
    }

    async fn submit(&self, name: &str) -> StatusCode {
        submit(&self.entry, name, &job(name)).await
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
        self.worker.log.starts_of(&format!("{mark}-{name}"))
    }

    /// A submission of the stored job arrives again: only what is left of it runs.
    async fn assert_only_the_rest_runs(&self, name: &str) {
        assert_eq!(self.submit(name).await, StatusCode::OK);
        until_complete(&self.entry, name).await;
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
        until_complete(&fleet.entry, "untold").await;
        assert_eq!(fleet.starts("again", "untold"), 2);
    }

    // Guards against a job that is abandoned as soon as it is accepted: a search for own
    // jobs finds it in the store before the answer to its storing arrives, and takes it
    // over from its own entry.
    a_search_leaves_a_job_alone_whose_storing_is_not_answered_yet => {
        let fleet = Fleet::start().await;
        let faults = PlatformFaults { unanswered_transactions: 1, ..PlatformFaults::default() };
        fleet.platform.set_faults(faults);
        let long = json!({"input": {"run_ms": 3_000}, "steps": [{"count": 1}]});
        let storing = async {
            assert_eq!(submit(&fleet.entry, "storing", &long).await, StatusCode::OK);
            let key = format!("{OPEN_JOBS_PREFIX}{}/storing", fleet.own());
            let record = fleet.platform.get(&key).expect("the job should be open");
            let record: Value = serde_json::from_slice(&record).expect("the record should be JSON");
            assert_eq!(record["epoch"], json!(1), "the entry has taken its own job over");
        };
        let search = async {
            sleep(Duration::from_millis(100)).await;
            let state = json!({"owner": fleet.own(), "state": "open"});
            fleet.store_open(fleet.own(), "abandoned", &state);
            fleet.assert_only_the_rest_runs("abandoned").await;
        };
        tokio::join!(storing, search);
        until_complete(&fleet.entry, "storing").await;
    }
}
