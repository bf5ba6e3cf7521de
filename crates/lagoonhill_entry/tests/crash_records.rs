//! Stored crashes of durable jobs. Guards against a job that is lost at an upgrade, as one
//! release can't read what another one has stored.

mod support;

use lagoonhill_platform::{JOBS_PREFIX, OPEN_JOBS_PREFIX};
use lagoonhill_standin::PlatformStandin;
use lagoonhill_types::prelude::*;
use serde_json::{Value, json};
use support::{Worker, entry, platform, until_complete};

/// Defines one test for each named case.
macro_rules! cases {
    ($($name:ident => $body:block)+) => {
        $(#[tokio::test(flavor = "multi_thread")] async fn $name() $body)+
    };
}

/// An owner that is gone.
const GONE: Incarnation = Incarnation(42);

/// Stores an open job with another field beside those of the first release.
fn put_open(platform: &PlatformStandin, field: &str, value: &Value) {
    let resources = json!({"processors": 0, "memory_bytes": 0, "accelerators": 0});
    let step = json!({"count": 2, "after": [], "resources": resources, "estimate_ms": 100});
    let input = json!({"run_ms": 20}).to_string();
    let mut record = json!({"epoch": 1, "service": "dispatch", "team": "jobs", "queue": "jobs",
        "name": "job", "steps": [step], "inputs": [input]});
    record[field] = value.clone();
    let state = json!({"owner": GONE, "state": "open"}).to_string();
    platform.put(&format!("{JOBS_PREFIX}job"), state.as_bytes());
    let key = format!("{OPEN_JOBS_PREFIX}{GONE}/job");
    platform.put(&key, record.to_string().as_bytes());
}

async fn assert_completes(field: &str, value: Value) {
    let platform = platform().await;
    let _worker = Worker::start(&platform).await;
    put_open(&platform, field, &value);
    let entry = entry(&platform).await;
    until_complete(&entry, "job").await;
}

/// A loss under a task.
fn loss(task: u16) -> Value {
    let incarnation = json!({"name": "target", "born_ms": 5});
    let evidence = json!({"at-work": {"age_ms": 50, "is_cause": true}});
    json!({"task": task, "worker": "worker-1", "agent": 7, "number": 1,
        "incarnation": incarnation, "evidence": evidence})
}

cases! {
    a_record_without_crashes_is_read => {
        assert_completes("done", json!([])).await;
    }

    a_record_with_crashes_is_read => {
        assert_completes("crashed", json!([[0, 1, 1]])).await;
    }

    // Of another writer.
    crashes_of_a_task_that_does_not_exist_are_skipped => {
        assert_completes("crashed", json!([[999, 65535, 65535]])).await;
    }

    a_record_with_losses_is_read => {
        let losses = json!([loss(0), loss(999)]);
        assert_completes("lost", losses).await;
    }

    a_record_with_crashes_near_the_end_is_read => {
        assert_completes("near_end", json!([[0, 1], [999, 1]])).await;
    }

    // As an earlier release reads the crashes.
    a_record_with_an_unknown_field_is_read => {
        assert_completes("field-of-a-later-release", json!([[0, 1, 1]])).await;
    }
}
