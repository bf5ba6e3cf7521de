//! Queries entries over HTTP for their status, rules and decisions.

use std::net::SocketAddr;
use std::time::Duration;

use hyper::Method;
use lagoonhill_http::{ClientError, HttpClient};
use lagoonhill_protocol::{PeersRequest, PeersResponse};
use lagoonhill_rules::RuleSet;
use lagoonhill_types::prelude::*;
use serde::Deserialize;

const CALL_TIMEOUT: Duration = Duration::from_secs(3);

/// Why a query to an entry failed.
#[derive(Debug, thiserror::Error)]
pub enum QueryError {
    /// The request got no response.
    #[error(transparent)]
    Client(#[from] ClientError),
    /// The response had an error status.
    #[error("{address} answered {status}: {detail}")]
    Refused {
        /// Address of the entry.
        address: SocketAddr,
        /// HTTP status code.
        status: u16,
        /// Response body as text.
        detail: String,
    },
    /// The response body is not what an entry sends.
    #[error("{address} did not respond as an entry does ({reason}): check the address")]
    InvalidResponse {
        /// Address that was queried.
        address: SocketAddr,
        /// What could not be decoded.
        reason: String,
    },
}

/// One worker in an entry's status.
#[derive(Clone, Debug, Deserialize)]
pub struct WorkerReport {
    /// The worker's name.
    pub worker: String,
    /// The worker's availability zone.
    pub zone: String,
    /// The worker's state at this entry, such as `serving`.
    pub state: String,
    /// Whether the worker is in quarantine and gets probes only.
    pub quarantined: bool,
    /// The service that the worker's target offers, if known.
    pub service: Option<String>,
    /// The number of tasks that the target can run at once.
    pub slots: u16,
    /// Estimated number of tasks at the worker.
    pub load: u16,
    /// The rules revision that the worker last reported.
    pub rules_revision: Revision,
}

/// Identity of an entry in a status report.
#[derive(Clone, Debug, Deserialize)]
pub struct EntryName {
    /// The incarnation of its process.
    pub incarnation: String,
    /// The address of its HTTP interface.
    pub http: SocketAddr,
}

/// An entry's status.
#[derive(Clone, Debug, Deserialize)]
pub struct EntryReport {
    /// The entry that reports.
    pub entry: EntryName,
    /// Whether the entry is shutting down.
    pub leaving: bool,
    /// The revision of the rules in force.
    pub rules_revision: Revision,
    /// Number of jobs that have not been answered yet.
    pub jobs: usize,
    /// Number of tasks waiting in the queues.
    pub queued_tasks: usize,
    /// The workers that the entry knows.
    pub workers: Vec<WorkerReport>,
    /// The entries that the entry knows, itself included.
    pub entries: Vec<EntryName>,
}

/// The rules revision in force at one process.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ProcessRevision {
    /// `entry <address>` or `agent <worker>`.
    pub process: String,
    /// The revision in force there; `None` if the process does not answer.
    pub revision: Option<Revision>,
}

async fn get(http: &HttpClient, address: SocketAddr, path: &str) -> Result<Vec<u8>, QueryError> {
    let sent = http.send(
        address,
        Method::GET,
        path,
        &[],
        Vec::new().into(),
        CALL_TIMEOUT,
    );
    let reply = sent.await?;
    if reply.status.is_success() {
        return Ok(reply.body.to_vec());
    }
    let status = reply.status.as_u16();
    let detail = String::from_utf8_lossy(&reply.body).into_owned();
    Err(QueryError::Refused {
        address,
        status,
        detail,
    })
}

/// Queries the status of one entry.
pub async fn query_entry(
    http: &HttpClient,
    address: SocketAddr,
) -> Result<EntryReport, QueryError> {
    let body = get(http, address, "/v1/status").await?;
    serde_json::from_slice(&body).map_err(|error| QueryError::InvalidResponse {
        address,
        reason: error.to_string(),
    })
}

/// Counts the workers that are serving at an entry; 0 while the entry does not answer.
pub async fn count_serving(http: &HttpClient, address: SocketAddr) -> usize {
    let report = query_entry(http, address).await;
    report.map_or(0, |report| {
        report
            .workers
            .iter()
            .filter(|worker| worker.state == "serving")
            .count()
    })
}

/// Queries every entry that the entry at `address` knows. Returns each process
/// once, an agent with the highest revision that any entry reports for it.
/// An entry that does not answer has no revision: what it decides by is unknown.
pub async fn query_fleet(
    http: &HttpClient,
    address: SocketAddr,
) -> Result<Vec<ProcessRevision>, QueryError> {
    let first = query_entry(http, address).await?;
    let mut seen = std::collections::BTreeMap::new();
    for entry in &first.entries {
        let process = format!("entry {}", entry.http);
        let Ok(report) = query_entry(http, entry.http).await else {
            seen.insert(process, None);
            continue;
        };
        seen.insert(process, Some(report.rules_revision));
        for worker in report.workers {
            let known = seen.entry(format!("agent {}", worker.worker)).or_default();
            *known = Some(worker.rules_revision).max(*known);
        }
    }
    Ok(seen
        .into_iter()
        .map(|(process, revision)| ProcessRevision { process, revision })
        .collect())
}

/// Fetches the rules in force at an entry.
pub async fn rules_in_force(http: &HttpClient, address: SocketAddr) -> Result<RuleSet, QueryError> {
    let request = PeersRequest {
        only_entries: false,
        beats: Vec::new(),
        wants_all: false,
        revision: Revision(0),
        drains_revision: Revision(0),
    };
    let body = serde_json::to_vec(&request).expect("a request always serializes");
    let headers = [("content-type", "application/json")];
    let sent = http.send(
        address,
        Method::POST,
        "/v1/peers",
        &headers,
        body.into(),
        CALL_TIMEOUT,
    );
    let reply = sent.await?;
    let invalid = |reason: String| QueryError::InvalidResponse { address, reason };
    let answer: PeersResponse =
        serde_json::from_slice(&reply.body).map_err(|error| invalid(error.to_string()))?;
    let rules = answer.rules.and_then(|document| document.to_rules());
    rules.ok_or_else(|| invalid("no rules in force".to_owned()))
}

/// Fetches the recent decisions about a job that its entry still retains.
pub async fn explain(
    http: &HttpClient,
    address: SocketAddr,
    job: JobId,
) -> Result<String, QueryError> {
    let body = get(http, address, &format!("/v1/jobs/{job}/decisions")).await?;
    Ok(String::from_utf8_lossy(&body).into_owned())
}
