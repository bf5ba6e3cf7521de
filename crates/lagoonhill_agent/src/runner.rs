//! One HTTP request that runs a task on the target.

use std::time::Duration;

use hyper::{Method, StatusCode};
use lagoonhill_http::{ClientError, ClientReply, HttpClient};
use lagoonhill_protocol::{NotRunReason, Start, Target, TaskResult};
use serde_json::value::RawValue;

const TASKS_PATH: &str = "/tasks";

const TASK_HEADER: &str = "lagoonhill-task";

/// Longer failure messages of the target are cut.
const MAX_MESSAGE_BYTES: usize = 512;

/// Runs one task on the target, at most once.
pub(crate) async fn run_task(client: HttpClient, start: Start, target: Target) -> TaskResult {
    let task = start.task.to_string();
    let headers = [
        (TASK_HEADER, task.as_str()),
        ("content-type", "application/json"),
    ];
    let limit = Duration::from(start.run_limit_ms);
    let sent = client.send(
        target.address,
        Method::POST,
        TASKS_PATH,
        &headers,
        start.payload.0,
        limit,
    );
    match sent.await {
        Ok(reply) if reply.status.is_success() => success_result(&reply),
        Ok(reply) => failure_result(&reply),
        Err(ClientError::NotConnected(_) | ClientError::Refused(_)) => {
            TaskResult::NotRun(NotRunReason::TargetRefused)
        }
        Err(error @ ClientError::NoAnswer { .. }) => TaskResult::MayHaveRun(error.to_string()),
    }
}

fn success_result(reply: &ClientReply) -> TaskResult {
    if reply.status == StatusCode::NO_CONTENT || reply.body.is_empty() {
        return TaskResult::Done(b"null".to_vec().into());
    }
    match serde_json::from_slice::<&RawValue>(&reply.body) {
        Ok(_) => TaskResult::Done(lagoonhill_types::Payload(reply.body.clone())),
        Err(error) => TaskResult::Failed(format!(
            "the target's answer is not JSON ({error}): mend the target"
        )),
    }
}

fn failure_result(reply: &ClientReply) -> TaskResult {
    let body = &reply.body[..reply.body.len().min(MAX_MESSAGE_BYTES)];
    let message = format!(
        "the target answered {}: {}",
        reply.status,
        String::from_utf8_lossy(body)
    );
    TaskResult::Failed(message)
}
