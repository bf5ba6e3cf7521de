use std::net::SocketAddr;
use std::time::Duration;

use hyper::Method;
use lagoonhill_http::{ClientError, HttpClient};
use lagoonhill_protocol::{PeersRequest, PeersResponse};
use lagoonhill_rules::RuleSet;
use lagoonhill_types::prelude::*;
use serde::Deserialize;

const CALL_LIMIT: Duration = Duration::from_secs(3);

/// Why an entry could not be asked.
#[derive(Debug, thiserror::Error)]
pub enum QueryError {
    /// No answer.
    #[error(transparent)]
    Client(#[from] ClientError),
    /// Refused.
    #[error("{address} answered {status}: {detail}")]
    Refused {
        /// Who.
        address: SocketAddr,
        /// With what.
        status: u16,
        /// Why.
        detail: String,
    },
    /// Not understood.
    #[error("{address} answered something else than an entry would ({why}): check the address")]
    Foreign {
        /// Who.
        address: SocketAddr,
        /// Why.
        why: String,
    },
}

/// One worker in an entry's status.
#[derive(Clone, Debug, Deserialize)]
pub struct WorkerReport {
    /// Its name.
    pub worker: String,
    /// Its availability zone.
    pub zone: String,
    /// Where it stands.
    pub state: String,
    /// Whether it gets probes only.
    pub quarantined: bool,
    /// Its service.
    pub service: Option<String>,
    /// Its slots.
    pub slots: u16,
    /// Tasks estimated there.
    pub load: u16,
    /// The rules it has shown.
    pub rules_revision: Revision,
}

/// How an entry names itself or another one.
#[derive(Clone, Debug, Deserialize)]
pub struct EntryName {
    /// Which run.
    pub incarnation: String,
    /// Where it takes requests.
    pub http: SocketAddr,
}

/// An entry's status.
#[derive(Clone, Debug, Deserialize)]
pub struct EntryReport {
    /// The entry.
    pub entry: EntryName,
    /// Whether it is leaving.
    pub leaving: bool,
    /// The rules in force.
    pub rules_revision: Revision,
    /// Jobs without an answer.
    pub jobs: usize,
    /// Tasks in the queues.
    pub queued_tasks: usize,
    /// Its workers.
    pub workers: Vec<WorkerReport>,
    /// The entries it knows.
    pub entries: Vec<EntryName>,
}

/// The revision in force at one process.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ProcessRevision {
    /// `entry <address>` or `agent <worker>`.
    pub process: String,
    /// Its revision.
    pub revision: Revision,
}

async fn get(http: &HttpClient, address: SocketAddr, path: &str) -> Result<Vec<u8>, QueryError> {
    let sent = http.send(
        address,
        Method::GET,
        path,
        &[],
        Vec::new().into(),
        CALL_LIMIT,
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

/// Asks one entry for its status.
pub async fn query_entry(
    http: &HttpClient,
    address: SocketAddr,
) -> Result<EntryReport, QueryError> {
    let body = get(http, address, "/v1/status").await?;
    serde_json::from_slice(&body).map_err(|error| QueryError::Foreign {
        address,
        why: error.to_string(),
    })
}

/// How many workers serve at an entry; none while it does not answer.
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

/// Asks every entry that `address` knows; each process once, by the highest
/// revision that anybody has seen of it.
pub async fn query_fleet(
    http: &HttpClient,
    address: SocketAddr,
) -> Result<Vec<ProcessRevision>, QueryError> {
    let first = query_entry(http, address).await?;
    let mut seen = std::collections::BTreeMap::new();
    for entry in &first.entries {
        let Ok(report) = query_entry(http, entry.http).await else {
            continue;
        };
        seen.insert(format!("entry {}", entry.http), report.rules_revision);
        for worker in report.workers {
            let known = seen.entry(format!("agent {}", worker.worker)).or_default();
            *known = worker.rules_revision.max(*known);
        }
    }
    Ok(seen
        .into_iter()
        .map(|(process, revision)| ProcessRevision { process, revision })
        .collect())
}

/// The rules in force at an entry.
pub async fn rules_in_force(http: &HttpClient, address: SocketAddr) -> Result<RuleSet, QueryError> {
    let request = PeersRequest {
        beats: Vec::new(),
        wants_all: false,
        revision: Revision(0),
    };
    let body = serde_json::to_vec(&request).expect("a request always serializes");
    let headers = [("content-type", "application/json")];
    let sent = http.send(
        address,
        Method::POST,
        "/v1/peers",
        &headers,
        body.into(),
        CALL_LIMIT,
    );
    let reply = sent.await?;
    let foreign = |why: String| QueryError::Foreign { address, why };
    let answer: PeersResponse =
        serde_json::from_slice(&reply.body).map_err(|error| foreign(error.to_string()))?;
    let rules = answer.rules.and_then(|document| document.to_rules());
    rules.ok_or_else(|| foreign("it has no rules in force".to_owned()))
}

/// The recent decisions about a job, as its entry remembers them.
pub async fn explain(
    http: &HttpClient,
    address: SocketAddr,
    job: JobId,
) -> Result<String, QueryError> {
    let body = get(http, address, &format!("/v1/jobs/{job}/decisions")).await?;
    Ok(String::from_utf8_lossy(&body).into_owned())
}
