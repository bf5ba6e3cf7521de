//! Writes without an answer that the store carries out seconds later. Guards against a late
//! write that replaces a newer one.

mod support;

use std::time::Duration;

use hyper::StatusCode;
use lagoonhill_entry::EntryDaemon;
use lagoonhill_platform::WAITING_COUNTS_PREFIX;
use lagoonhill_standin::PlatformStandin;
use serde_json::{Value, json};
use support::{TIMEOUT, Worker, accept, entry, platform, submit};
use tokio::time::{Instant, sleep};

/// Defines one test for each named case.
macro_rules! cases {
    ($($(#[$note:meta])* $name:ident => $body:block)+) => {
        $($(#[$note])* #[tokio::test(flavor = "multi_thread")] async fn $name() $body)+
    };
}

/// Number of slots of the worker.
const SLOTS: u64 = 8;

fn job(tasks: u64, run_ms: u64) -> Value {
    json!({"input": {"run_ms": run_ms}, "steps": [{"count": tasks, "run_time_ms": run_ms}]})
}

/// The count of waiting jobs that an entry has published.
fn published(platform: &PlatformStandin, entry: &EntryDaemon) -> Option<u64> {
    let key = format!("{WAITING_COUNTS_PREFIX}{}", entry.address().incarnation);
    let counts: Value = serde_json::from_slice(&platform.get(&key)?).ok()?;
    counts["jobs"].as_u64()
}

async fn until(what: &str, is_so: impl Fn() -> bool) {
    let start = Instant::now();
    while !is_so() {
        assert!(start.elapsed() < TIMEOUT, "{what} does not come about");
        sleep(Duration::from_millis(20)).await;
    }
}

async fn accept_all(entry: &EntryDaemon, names: &[&str]) {
    for name in names {
        assert_eq!(submit(entry, name, &job(1, 10)).await, StatusCode::OK);
    }
}

cases! {
    // Other entries would give too few waiting jobs until the count changes again.
    a_late_write_brings_no_earlier_count_of_waiting_jobs_back => {
        let platform = platform().await;
        let _worker = Worker::start(&platform).await;
        let entry = entry(&platform).await;
        accept(&entry, "long", &job(SLOTS, 15_000)).await;
        sleep(Duration::from_millis(300)).await;
        platform.hold_next_write(WAITING_COUNTS_PREFIX);
        accept_all(&entry, &["a", "b"]).await;
        until("the first write", || platform.holds_write()).await;
        accept_all(&entry, &["c", "d", "e"]).await;
        until("the newer count", || published(&platform, &entry) == Some(5)).await;
        platform.carry_out_held_write();
        assert_eq!(published(&platform, &entry), Some(5));
    }

    // The count before the late write is the present one again, so that nothing else
    // would bring it back.
    a_count_is_published_again_after_a_write_without_an_answer => {
        let platform = platform().await;
        let _worker = Worker::start(&platform).await;
        let entry = entry(&platform).await;
        accept(&entry, "long", &job(SLOTS, 15_000)).await;
        sleep(Duration::from_millis(300)).await;
        accept_all(&entry, &["a", "b"]).await;
        until("the first count", || published(&platform, &entry) == Some(2)).await;
        platform.hold_next_write(WAITING_COUNTS_PREFIX);
        accept_all(&entry, &["c"]).await;
        until("the second write", || platform.holds_write()).await;
        let name = "c".parse().expect("the name should be valid");
        entry.client().cancel(name).await.expect("the entry should cancel it");
        // Longer than the time limit of a write and the interval to the next one.
        sleep(Duration::from_secs(4)).await;
        platform.carry_out_held_write();
        assert_eq!(published(&platform, &entry), Some(2));
    }
}
