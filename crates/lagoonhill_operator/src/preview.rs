//! Asks entries what they would do with a job now, without sending it.

use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use hyper::Method;
use lagoonhill_http::HttpClient;
use lagoonhill_types::prelude::*;
use serde::{Deserialize, Serialize};

use crate::fleet_status::QueryError;

/// An entry examines a large job worker by worker.
const PREVIEW_TIMEOUT: Duration = Duration::from_secs(10);

/// A job as a caller would send it, and where to.
#[derive(Clone, Debug)]
pub struct PreviewRequest {
    /// The queue of the job, if it is for one.
    pub queue: Option<QueueName>,
    /// Whether the job of a queue has to be kept.
    pub durable: bool,
    /// The body that the caller would send.
    pub body: Bytes,
}

impl PreviewRequest {
    fn path(&self) -> String {
        let durable = if self.durable { "yes" } else { "no" };
        match &self.queue {
            Some(queue) => format!("/v1/queues/{queue}/where?durable={durable}"),
            None => "/v1/where".to_owned(),
        }
    }
}

/// What one entry would do with a job now.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct PreviewReport {
    /// The incarnation of the entry.
    pub entry: String,
    /// The address of its HTTP interface.
    pub http: SocketAddr,
    /// The revision of the rules in force.
    pub rules_revision: Revision,
    /// Number of tasks of the service that are queued there already.
    pub queued_tasks: usize,
    /// Time until the answer that would be promised.
    pub promised_ms: Option<u64>,
    /// Why the job would be refused; absent if it would be admitted.
    pub refusal: Option<RefusalReport>,
    /// Tasks that would start at once.
    pub placed: Vec<TaskReport>,
    /// Number of tasks that would wait.
    pub waiting_tasks: usize,
}

/// Why a job would be refused.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct RefusalReport {
    /// The reason in a word, as in metrics.
    pub reason: String,
    /// The reason as callers are told.
    pub detail: String,
    /// When the caller would be told to come back.
    pub retry_after_ms: Option<u64>,
}

/// Where a task would go.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct TaskReport {
    /// Index of the task in the job.
    pub task: u16,
    /// The worker that would get it.
    pub chosen: CandidateReport,
    /// Number of other workers with room.
    pub alternatives: u16,
    /// The next best worker, if it was determined.
    pub next: Option<CandidateReport>,
    /// Why it comes after the chosen one.
    pub why_not_next: Option<String>,
}

/// What an entry knows of a worker.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct CandidateReport {
    /// The worker.
    pub worker: String,
    /// Estimated number of tasks at it.
    pub load: u16,
    /// Its slots.
    pub slots: u16,
    /// Expected run time there.
    pub expected_ms: u64,
    /// Age of its last report.
    pub report_age_ms: u64,
}

/// Asks an entry what it would do with a job now.
pub async fn preview_at(
    http: &HttpClient,
    address: SocketAddr,
    request: &PreviewRequest,
) -> Result<PreviewReport, QueryError> {
    let (path, headers) = (request.path(), [("content-type", "application/json")]);
    let sent = http.send(
        address,
        Method::POST,
        &path,
        &headers,
        request.body.clone(),
        PREVIEW_TIMEOUT,
    );
    let reply = sent.await?;
    if !reply.status.is_success() {
        return Err(QueryError::Refused {
            address,
            status: reply.status.as_u16(),
            detail: String::from_utf8_lossy(&reply.body).into_owned(),
        });
    }
    serde_json::from_slice(&reply.body).map_err(|error| QueryError::InvalidResponse {
        address,
        reason: error.to_string(),
    })
}

impl fmt::Display for CandidateReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            worker,
            load,
            slots,
            expected_ms,
            report_age_ms,
        } = self;
        write!(
            f,
            "{worker} load {load}/{slots}, expected {expected_ms}ms, reported {report_age_ms}ms ago"
        )
    }
}

impl fmt::Display for PreviewReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            entry,
            http,
            rules_revision,
            queued_tasks,
            ..
        } = self;
        write!(
            f,
            "entry {entry} at {http}: rules revision {rules_revision}, {queued_tasks} tasks queued: "
        )?;
        if let Some(refusal) = &self.refusal {
            write!(f, "would refuse ({}): {}", refusal.reason, refusal.detail)?;
            return match refusal.retry_after_ms {
                Some(delay_ms) => writeln!(f, "; come back after {delay_ms}ms"),
                None => writeln!(f, "; coming back is of no use"),
            };
        }
        f.write_str("would admit")?;
        if let Some(promised_ms) = self.promised_ms {
            write!(f, ", promised within {promised_ms}ms")?;
        }
        writeln!(f, ", {} tasks would wait", self.waiting_tasks)?;
        for task in &self.placed {
            writeln!(
                f,
                "  task {}: {}, {} others with room",
                task.task, task.chosen, task.alternatives
            )?;
            if let (Some(next), Some(why)) = (&task.next, &task.why_not_next) {
                writeln!(f, "    next best: {next}; {why}")?;
            }
        }
        Ok(())
    }
}
