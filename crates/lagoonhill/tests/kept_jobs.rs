//! Durable jobs through the HTTP interface of real processes: submitted through
//! one entry, queried and cancelled through another, completed after their
//! owner was killed.

mod support;

use std::time::Duration;

use hyper::Method;
use lagoonhill_standin::PlatformFaults;
use serde_json::{Value, json};
use support::{Fleet, until};

/// Runs one async test body for each named case.
macro_rules! cases {
    ($($name:ident => $body:block)+) => {
        $(
            #[tokio::test(flavor = "multi_thread", worker_threads = 2)]
            async fn $name() $body
        )+
    };
}

/// Age of a count that callers may get, and a second for the processes of a busy
/// machine.
const MAX_COUNT_AGE: Duration = Duration::from_secs(3);

async fn fleet(entries: usize) -> Fleet {
    let fleet = Fleet::start(entries, 2).await;
    let revision = fleet
        .set_rule("queue nightly service=dispatch attempts=2 objective=1s  # tests")
        .await;
    for entry in 0..entries {
        until(async || {
            fleet
                .report(entry)
                .await
                .is_some_and(|report| report.rules_revision >= revision)
        })
        .await;
    }
    fleet
}

/// Sends a request to an entry; returns the status code and the body.
async fn request(
    fleet: &Fleet,
    entry: usize,
    method: Method,
    path: &str,
    body: Value,
) -> (u16, Value) {
    let body = if body.is_null() {
        Vec::new()
    } else {
        body.to_string().into_bytes()
    };
    let sent = fleet.http.send(
        fleet.entries[entry].http,
        method,
        path,
        &[],
        body.into(),
        Duration::from_secs(20),
    );
    let reply = sent.await.expect("an answer");
    let body = serde_json::from_slice(&reply.body).unwrap_or_default();
    (reply.status.as_u16(), body)
}

fn job(mark: &str, tasks: u16, run_ms: u64) -> Value {
    json!({"input": {"run_ms": run_ms, "echo": mark}, "steps": [{"count": tasks, "run_time_ms": run_ms}]})
}

async fn put(fleet: &Fleet, entry: usize, name: &str, job: Value) -> (u16, Value) {
    let path = format!("/v1/queues/nightly/jobs/{name}");
    request(fleet, entry, Method::PUT, &path, job).await
}

async fn state(fleet: &Fleet, entry: usize, name: &str) -> String {
    let path = format!("/v1/queues/nightly/jobs/{name}");
    let (_, body) = request(fleet, entry, Method::GET, &path, Value::Null).await;
    body["state"].as_str().unwrap_or_default().to_owned()
}

cases! {
    a_durable_job_submitted_repeatedly_runs_once_and_is_visible_through_any_entry => {
        let fleet = fleet(2).await;
        for entry in [0, 0, 1] {
            let (status, body) = put(&fleet, entry, "report", job("report", 4, 100)).await;
            assert_eq!((status, body["state"].as_str()), (200, Some("queued")), "{body}");
        }
        for entry in [0, 1] {
            until(async || state(&fleet, entry, "report").await == "complete").await;
        }
        assert_eq!(fleet.log.starts_of("report"), 4);
        let (status, _) = request(&fleet, 1, Method::GET, "/v1/queues/nightly/jobs/nothing", Value::Null).await;
        assert_eq!(status, 404);
        let (status, body) = request(&fleet, 0, Method::GET, "/v1/queues/nightly", Value::Null).await;
        assert_eq!((status, body["waiting"].as_u64()), (200, Some(0)));
    }

    jobs_that_wait_at_one_entry_are_counted_by_another => {
        let fleet = fleet(2).await;
        for number in 0..4 {
            let name = format!("waits{number}");
            let (status, _) = put(&fleet, 0, &name, job(&name, 40, 1_000)).await;
            assert_eq!(status, 200);
        }
        until(async || {
            let (_, body) = request(&fleet, 1, Method::GET, "/v1/queues/nightly", Value::Null).await;
            body["waiting"].as_u64().is_some_and(|waiting| waiting >= 2)
        })
        .await;
    }

    a_kept_job_is_cancelled_through_any_entry => {
        let fleet = fleet(2).await;
        let (status, _) = put(&fleet, 0, "long", job("long", 2, 30_000)).await;
        assert_eq!(status, 200);
        fleet.until_started("long").await;
        let path = "/v1/queues/nightly/jobs/long";
        let (status, body) = request(&fleet, 1, Method::DELETE, path, Value::Null).await;
        assert_eq!((status, body["state"].as_str()), (200, Some("cancelled")), "{body}");
        until(async || fleet.workers.iter().all(|worker| worker.target.running() == 0)).await;
        assert_eq!(state(&fleet, 0, "long").await, "cancelled");
    }

    a_cancel_through_another_entry_is_shown_at_once_by_the_owner => {
        let fleet = fleet(2).await;
        let (status, _) = put(&fleet, 0, "slow", job("slow", 2, 30_000)).await;
        assert_eq!(status, 200);
        fleet.until_started("slow").await;
        // The owner learns of the cancel, and stores its end, long after the answer.
        let delay = Duration::from_millis(300);
        fleet.platform.set_faults(PlatformFaults { delay, ..Default::default() });
        let path = "/v1/queues/nightly/jobs/slow";
        let (status, body) = request(&fleet, 1, Method::DELETE, path, Value::Null).await;
        assert_eq!((status, body["state"].as_str()), (200, Some("cancelled")), "{body}");
        assert_eq!(state(&fleet, 0, "slow").await, "cancelled");
    }

    the_first_jobs_of_a_fleet_are_counted_by_another_entry_within_seconds => {
        let fleet = fleet(2).await;
        for number in 0..4 {
            let name = format!("early{number}");
            let (status, _) = put(&fleet, 0, &name, job(&name, 40, 1_000)).await;
            assert_eq!(status, 200);
        }
        // An owner publishes its counts each second; readers keep them for one more.
        let counted = until(async || {
            let (_, body) = request(&fleet, 1, Method::GET, "/v1/queues/nightly", Value::Null).await;
            body["waiting"].as_u64().is_some_and(|waiting| waiting >= 2)
        });
        let in_time = tokio::time::timeout(MAX_COUNT_AGE, counted).await;
        assert!(in_time.is_ok(), "the count of another entry is older than {MAX_COUNT_AGE:?}");
    }

    another_entry_completes_the_job_of_a_killed_entry => {
        let mut fleet = fleet(2).await;
        let (status, _) = put(&fleet, 0, "orphan", job("orphan", 2, 2_000)).await;
        assert_eq!(status, 200);
        fleet.until_started("orphan").await;
        fleet.entries[0].kill();
        until(async || state(&fleet, 1, "orphan").await == "complete").await;
    }

    a_job_whose_store_response_was_lost_is_found_and_completed => {
        let fleet = fleet(1).await;
        let (status, _) = put(&fleet, 0, "first", job("first", 1, 10)).await;
        assert_eq!(status, 200);
        let faults = PlatformFaults { unanswered_transactions: 1_000, ..Default::default() };
        fleet.platform.set_faults(faults);
        let (status, body) = put(&fleet, 0, "untold", job("untold", 2, 50)).await;
        assert_eq!((status, body["run"].as_str()), (503, Some("may-have-run")), "{body}");
        fleet.platform.set_faults(PlatformFaults::default());
        until(async || state(&fleet, 0, "untold").await == "complete").await;
    }

    a_job_that_cannot_be_stored_is_refused_as_not_run => {
        let fleet = fleet(1).await;
        let faults = PlatformFaults { down: true, ..Default::default() };
        fleet.platform.set_faults(faults);
        let (status, body) = put(&fleet, 0, "refused", job("refused", 1, 10)).await;
        assert_eq!((status, body["run"].as_str()), (503, Some("not-run")), "{body}");
        let bad = json!({"input": 1, "steps": [{"count": 1, "after": [0]}]});
        let (status, _) = put(&fleet, 0, "bad", bad).await;
        assert_eq!(status, 400);
        assert_eq!(fleet.log.starts_of("refused"), 0);
    }
}
