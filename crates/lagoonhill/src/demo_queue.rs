//! The part of the demonstration that submits and cancels durable jobs.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use hyper::Method;
use lagoonhill_http::HttpClient;
use serde_json::{Value, json};
use tokio::time::sleep;

/// The queue of the demonstration, as named in its rules.
const QUEUE: &str = "nightly";

const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Longest wait for the completion of a durable job.
const COMPLETION_TIMEOUT: Duration = Duration::from_secs(20);

const CALL_TIMEOUT: Duration = Duration::from_secs(5);

/// Submits two durable jobs through the first entry. Polls one and cancels the
/// other through the last entry; returns whether both ended as expected.
pub(crate) async fn run(entries: &[SocketAddr]) -> bool {
    let (Some(first), Some(last)) = (entries.first(), entries.last()) else {
        return false;
    };
    let (first, last) = (QueueClient::new(*first), QueueClient::new(*last));
    let two_steps = json!([{"count": 4, "run_time_ms": 100}, {"count": 1, "after": [0]}]);
    let report = first.put("report", 100, &two_steps).await;
    let reported = last.wait_for("report", "complete").await;
    let long = first.put("long", 30_000, &json!([{"count": 2}])).await;
    let cancelled = last.call(Method::DELETE, "long", Value::Null).await;
    println!();
    println!(
        "kept job `report`        {report} through {}, {reported} through {}",
        first.entry, last.entry
    );
    println!(
        "kept job `long`          {long} through {}, {cancelled} through {}",
        first.entry, last.entry
    );
    reported == "complete" && cancelled == "cancelled"
}

/// A client of one entry for jobs of the queue.
struct QueueClient {
    entry: SocketAddr,
    http: HttpClient,
}

impl QueueClient {
    fn new(entry: SocketAddr) -> Self {
        Self {
            entry,
            http: HttpClient::new(),
        }
    }

    async fn put(&self, name: &str, run_ms: u64, steps: &Value) -> String {
        let body = json!({"input": {"run_ms": run_ms, "echo": name}, "steps": steps});
        self.call(Method::PUT, name, body).await
    }

    /// Sends a request about a job; returns the job's state, or an error text.
    async fn call(&self, method: Method, name: &str, body: Value) -> String {
        let path = format!("/v1/queues/{QUEUE}/jobs/{name}");
        let body = if body.is_null() {
            Vec::new()
        } else {
            body.to_string().into_bytes()
        };
        let sent = self
            .http
            .send(self.entry, method, &path, &[], body.into(), CALL_TIMEOUT);
        let reply = match sent.await {
            Ok(reply) => reply,
            Err(error) => return error.to_string(),
        };
        let answer: Value = serde_json::from_slice(&reply.body).unwrap_or_default();
        let text = answer["state"].as_str().or(answer["detail"].as_str());
        text.unwrap_or("an answer that can't be read").to_owned()
    }

    async fn wait_for(&self, name: &str, wanted: &str) -> String {
        let started = Instant::now();
        loop {
            let state = self.call(Method::GET, name, Value::Null).await;
            if state == wanted || started.elapsed() > COMPLETION_TIMEOUT {
                return state;
            }
            sleep(POLL_INTERVAL).await;
        }
    }
}
