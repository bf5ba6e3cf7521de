//! The entry's HTTP interface for callers, peers and operators.

use std::convert::Infallible;
use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use hyper::body::Incoming;
use hyper::header::HeaderValue;
use hyper::{HeaderMap, Method, Request, StatusCode, header};
use lagoonhill_core::entry::{
    Answer, Cause, EntryStatus, JobFailure, Needs, RunCertainty, Submission,
};
use lagoonhill_http::{HttpClient, Problem, Reply, read_body, reply};
use lagoonhill_platform::CallCounts;
use lagoonhill_protocol::{EntryAddress, PeersRequest, PeersResponse, RulesDocument};
use lagoonhill_types::prelude::*;
use serde::de::DeserializeOwned;

use crate::api_types::{JobRequest, TicketsAnswer, TicketsRequest};
use crate::client::EntryClient;
use crate::control::{CallerReply, ControlEvent, SubmissionKind};
use crate::handle::{ControlHandle, Stopped};
use crate::metrics::Metrics;
use crate::peers::Peers;
use crate::queue_api;

/// Set on a request that another entry has forwarded: the incarnation that must
/// answer it.
const FORWARDED_HEADER: &str = "lagoonhill-forwarded-to";

const TICKET_HEADER: &str = "lagoonhill-ticket";

const KEY_HEADER: &str = "idempotency-key";

const MAX_TICKETS: u16 = 1_000;

/// Longest wait for the answer to a forwarded request.
const FORWARD_TIMEOUT: Duration = Duration::from_secs(130);

/// Retry delay sent to the caller if the owner of its request can't be reached.
const OWNER_RETRY_DELAY_MS: DurationMs = DurationMs(2_000);

/// State shared by the handlers of the entry's HTTP interface.
#[derive(Debug)]
pub(crate) struct ApiState {
    pub(crate) address: EntryAddress,
    pub(crate) control: ControlHandle,
    pub(crate) metrics: Metrics,
    pub(crate) peers: Peers,
    pub(crate) call_counts: Option<Arc<CallCounts>>,
    pub(crate) client: HttpClient,
    /// Submits and queries the jobs of queues.
    pub(crate) entry_client: EntryClient,
    pub(crate) max_body_bytes: ByteCount,
    pub(crate) ticket_lifetime_ms: DurationMs,
    pub(crate) draining: AtomicBool,
    /// Set after the drain delay, when the balancer has had time to react: each
    /// connection is then closed after its answer.
    pub(crate) closing: AtomicBool,
}

/// The entry's HTTP interface as a tower service.
#[derive(Clone, Debug)]
pub(crate) struct Api(pub(crate) Arc<ApiState>);

impl tower::Service<Request<Incoming>> for Api {
    type Response = Reply;
    type Error = Infallible;
    type Future = Pin<Box<dyn Future<Output = Result<Reply, Infallible>> + Send>>;

    fn poll_ready(&mut self, _: &mut Context<'_>) -> Poll<Result<(), Infallible>> {
        Poll::Ready(Ok(()))
    }

    fn call(&mut self, request: Request<Incoming>) -> Self::Future {
        let state = Arc::clone(&self.0);
        Box::pin(async move {
            let answered = route(&state, request).await;
            let mut response = answered.unwrap_or_else(Problem::into_response);
            if state.closing.load(Ordering::Relaxed) {
                let close = HeaderValue::from_static("close");
                response.headers_mut().insert(header::CONNECTION, close);
            }
            Ok(response)
        })
    }
}

async fn route(state: &ApiState, request: Request<Incoming>) -> Result<Reply, Problem> {
    let path = request.uri().path().to_owned();
    let segments: Vec<&str> = path.trim_matches('/').split('/').collect();
    match (request.method(), segments.as_slice()) {
        (&Method::POST, ["v1", "jobs"]) => post_job(state, request).await,
        (&Method::DELETE, ["v1", "jobs", job]) => cancel_job(state, job).await,
        (&Method::GET, ["v1", "jobs", job, "decisions"]) => explain_job(state, job).await,
        (&Method::PUT, ["v1", "queues", queue, "jobs", name]) => {
            put_queue_job(state, request, queue, name).await
        }
        (method @ (&Method::GET | &Method::DELETE), ["v1", "queues", _, "jobs", name]) => {
            let found = queue_api::get_or_cancel(&state.entry_client, method, name).await;
            found.map(|answer| json(&answer))
        }
        (&Method::GET, ["v1", "queues", queue]) => {
            let counted = queue_api::count_waiting(&state.entry_client, queue).await;
            counted.map(|answer| json(&answer))
        }
        (&Method::POST, ["v1", "tickets"]) => post_tickets(state, request).await,
        (&Method::POST, ["v1", "peers"]) => post_peers(state, request).await,
        (&Method::GET, ["v1", "status"]) => get_status(state).await,
        (&Method::GET, ["healthz"]) => Ok(reply(StatusCode::OK, "text/plain", "ok\n")),
        (&Method::GET, ["readyz"]) => get_ready(state).await,
        (&Method::GET, ["metrics"]) => get_metrics(state).await,
        (method, _) => Err(Problem::not_run(
            StatusCode::NOT_FOUND,
            format!("there is no {method} {path}: see docs/API.md for what there is"),
        )),
    }
}

async fn put_queue_job(
    state: &ApiState,
    request: Request<Incoming>,
    queue: &str,
    name: &str,
) -> Result<Reply, Problem> {
    let body = read_body(request.into_body(), state.max_body_bytes.0).await?;
    let job = parse_body(&body)?;
    let taken = queue_api::put_job(&state.entry_client, queue, name, job).await;
    taken.map(|answer| json(&answer))
}

fn stopped(error: &Stopped) -> Problem {
    let mut problem = Problem::not_run(StatusCode::SERVICE_UNAVAILABLE, error.to_string());
    problem.run = RunCertainty::MayHaveRun.to_string();
    problem
}

fn bad_request(detail: impl Into<String>) -> Problem {
    Problem::not_run(StatusCode::BAD_REQUEST, detail)
}

fn parse_body<T: DeserializeOwned>(body: &[u8]) -> Result<T, Problem> {
    serde_json::from_slice(body).map_err(|error| {
        bad_request(format!(
            "the body is not a valid request: {error}; see docs/API.md"
        ))
    })
}

fn json<T: serde::Serialize>(value: &T) -> Reply {
    let body = serde_json::to_vec(value).expect("an answer always serializes");
    reply(StatusCode::OK, "application/json", body)
}

fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> Result<Option<&'a str>, Problem> {
    let value = headers.get(name).map(HeaderValue::to_str).transpose();
    value.map_err(|_| {
        bad_request(format!(
            "the header `{name}` is not plain text: send plain text"
        ))
    })
}

fn parse_header<T>(headers: &HeaderMap, name: &str) -> Result<Option<T>, Problem>
where
    T: std::str::FromStr<Err: std::fmt::Display>,
{
    let parse = |text: &str| {
        text.parse()
            .map_err(|error: T::Err| bad_request(error.to_string()))
    };
    header_text(headers, name)?.map(parse).transpose()
}

async fn post_job(state: &ApiState, request: Request<Incoming>) -> Result<Reply, Problem> {
    let (head, body) = request.into_parts();
    let body = read_body(body, state.max_body_bytes.0).await?;
    let ticket: Option<Ticket> = parse_header(&head.headers, TICKET_HEADER)?;
    let key: Option<RequestKey> = parse_header(&head.headers, KEY_HEADER)?;
    let forwarded: Option<Incarnation> = parse_header(&head.headers, FORWARDED_HEADER)?;
    let job: JobRequest = parse_body(&body)?;
    let own_incarnation = state.address.incarnation;
    if forwarded.is_some_and(|expected| expected != own_incarnation) {
        return Err(failure_problem(None, &owner_gone()));
    }
    let kind = match (ticket, key) {
        (Some(_), Some(_)) => {
            return Err(bad_request(
                "both a ticket and a key were sent: send one of them",
            ));
        }
        (Some(ticket), None) if ticket.entry != own_incarnation => {
            return forward(state, ticket.entry, ticket.address, &head.headers, body).await;
        }
        (Some(ticket), None) => SubmissionKind::Ticket(ticket),
        (None, Some(key)) => SubmissionKind::Key {
            key,
            bound_here: forwarded.is_some(),
        },
        (None, None) if !job.repeatable => {
            return Err(bad_request(
                "a job that may not be repeated needs a ticket (POST /v1/tickets) or an Idempotency-Key",
            ));
        }
        (None, None) => SubmissionKind::Plain,
    };
    match state.control.submit(kind, submission(job)).await {
        Ok(CallerReply::Answer(answer)) => answer_reply(&answer),
        Ok(CallerReply::Forward(owner)) => {
            forward(state, owner.incarnation, owner.http, &head.headers, body).await
        }
        Err(error) => Err(stopped(&error)),
    }
}

fn submission(job: JobRequest) -> Submission {
    let payload = |task: Box<serde_json::value::RawValue>| {
        Payload(Bytes::from(Box::<str>::from(task).into_string()))
    };
    Submission {
        service: job.service,
        team: job.team,
        deadline_ms: job.deadline_ms.map(DurationMs),
        waited_ms: DurationMs::ZERO,
        run_time_ms: job.run_time_ms.map(DurationMs),
        needs: Needs::of(Resources {
            memory_bytes: ByteCount(job.memory_bytes),
            accelerators: job.accelerators,
            ..Resources::default()
        }),
        tasks: job.tasks.into_iter().map(payload).collect(),
        durable: false,
        queued: None,
    }
}

fn owner_gone() -> JobFailure {
    JobFailure {
        run: RunCertainty::MayHaveRun,
        cause: Cause::OwnerGone,
        retry_after_ms: None,
    }
}

/// Forwards a request to the entry that owns its ticket or key.
async fn forward(
    state: &ApiState,
    owner: Incarnation,
    address: std::net::SocketAddr,
    headers: &HeaderMap,
    body: Bytes,
) -> Result<Reply, Problem> {
    if headers.contains_key(FORWARDED_HEADER) {
        return Err(failure_problem(None, &owner_gone()));
    }
    let expected = owner.to_string();
    let mut sent = vec![
        (FORWARDED_HEADER, expected.as_str()),
        ("content-type", "application/json"),
    ];
    for name in [TICKET_HEADER, KEY_HEADER] {
        if let Some(value) = header_text(headers, name)? {
            sent.push((name, value));
        }
    }
    let answer = state
        .client
        .send(
            address,
            Method::POST,
            "/v1/jobs",
            &sent,
            body,
            FORWARD_TIMEOUT,
        )
        .await;
    let Ok(answer) = answer else {
        let unreachable = JobFailure {
            run: RunCertainty::MayHaveRun,
            cause: Cause::OwnerUnreachable,
            retry_after_ms: Some(OWNER_RETRY_DELAY_MS),
        };
        return Err(failure_problem(None, &unreachable));
    };
    let mut response = hyper::Response::new(answer.body.into());
    *response.status_mut() = answer.status;
    for name in [header::CONTENT_TYPE, header::RETRY_AFTER] {
        if let Some(value) = answer.headers.get(&name) {
            response.headers_mut().insert(name, value.clone());
        }
    }
    Ok(response)
}

/// One body with all results in task order, or a problem; never partial results.
fn answer_reply(answer: &Answer) -> Result<Reply, Problem> {
    let results = match &answer.outcome {
        Ok(results) => results,
        Err(failure) => return Err(failure_problem(answer.job, failure)),
    };
    let job = answer.job.map(|job| job.to_string()).unwrap_or_default();
    let size: usize = results.iter().map(|result| result.len() + 1).sum();
    let mut body = Vec::with_capacity(size + job.len() + 64);
    body.extend_from_slice(format!("{{\"job\":\"{job}\",\"results\":[").as_bytes());
    for (index, result) in results.iter().enumerate() {
        if index > 0 {
            body.push(b',');
        }
        body.extend_from_slice(result.as_slice());
    }
    body.extend_from_slice(b"]}");
    Ok(reply(StatusCode::OK, "application/json", body))
}

fn failure_problem(job: Option<JobId>, failure: &JobFailure) -> Problem {
    let mut problem = Problem::not_run(failure_status(&failure.cause), failure.cause.to_string());
    problem.run = failure.run.to_string();
    problem.job = job.map(|job| job.to_string());
    problem.retry_after_s = failure
        .retry_after_ms
        .map(|pause| pause.as_secs_ceil().max(1));
    problem
}

fn failure_status(cause: &Cause) -> StatusCode {
    match cause {
        Cause::UnknownService(_) | Cause::UnknownTeam(_) | Cause::UnknownQueue(_) => {
            StatusCode::NOT_FOUND
        }
        Cause::NoTasks { .. } | Cause::NotNamed => StatusCode::BAD_REQUEST,
        Cause::TooManyTasks { .. } => StatusCode::PAYLOAD_TOO_LARGE,
        Cause::NeverFits(_) | Cause::KeyReused => StatusCode::UNPROCESSABLE_ENTITY,
        Cause::RateLimited(_) | Cause::KeyBudget => StatusCode::TOO_MANY_REQUESTS,
        Cause::TaskFailed { .. }
        | Cause::AttemptsUsedUp { .. }
        | Cause::NoAttemptLeft { .. }
        | Cause::CrashedWorkers { .. }
        | Cause::WorkerLost { .. } => StatusCode::BAD_GATEWAY,
        Cause::DeadlinePassed { .. } => StatusCode::GATEWAY_TIMEOUT,
        Cause::Cancelled | Cause::RunsElsewhere => StatusCode::CONFLICT,
        Cause::TicketExpired | Cause::OwnerGone => StatusCode::GONE,
        Cause::Leaving
        | Cause::NoRules
        | Cause::NoWorkers(_)
        | Cause::LacksCapacity { .. }
        | Cause::Drained(_)
        | Cause::QueueFull(_)
        | Cause::TooLate { .. }
        | Cause::Backlog { .. }
        | Cause::Contained { .. }
        | Cause::NoTaker { .. }
        | Cause::OwnerUnreachable
        | Cause::StoreUnavailable => StatusCode::SERVICE_UNAVAILABLE,
    }
}

fn parse_job(text: &str) -> Result<JobId, Problem> {
    text.parse::<JobId>()
        .map_err(|error| bad_request(error.to_string()))
}

async fn cancel_job(state: &ApiState, job: &str) -> Result<Reply, Problem> {
    let job = parse_job(job)?;
    let cancelled = state
        .control
        .request(|reply| ControlEvent::Cancel { job, reply })
        .await;
    if cancelled.map_err(|error| stopped(&error))? {
        return Ok(reply(StatusCode::NO_CONTENT, "application/json", ""));
    }
    let detail = format!("job {job} does not run here: it has ended, or another entry owns it");
    let mut problem = Problem::not_run(StatusCode::NOT_FOUND, detail);
    problem.run = RunCertainty::MayHaveRun.to_string();
    Err(problem)
}

async fn explain_job(state: &ApiState, job: &str) -> Result<Reply, Problem> {
    let job = parse_job(job)?;
    let decisions = state
        .control
        .request(|reply| ControlEvent::Explain { job, reply })
        .await;
    let decisions = decisions.map_err(|error| stopped(&error))?;
    if decisions.is_empty() {
        let detail = format!(
            "nothing is known of job {job} here: ask the entry that owns it, soon after the job"
        );
        return Err(Problem::not_run(StatusCode::NOT_FOUND, detail));
    }
    let line =
        |decision: &lagoonhill_core::entry::Decision| format!("{} {decision}\n", decision.at_ms);
    Ok(reply(
        StatusCode::OK,
        "text/plain",
        decisions.iter().map(line).collect::<String>(),
    ))
}

async fn post_tickets(state: &ApiState, request: Request<Incoming>) -> Result<Reply, Problem> {
    let body = read_body(request.into_body(), state.max_body_bytes.0).await?;
    let TicketsRequest { count } = parse_body(&body)?;
    if count == 0 || count > MAX_TICKETS {
        return Err(bad_request(format!(
            "{count} tickets were asked for: ask for 1 to {MAX_TICKETS}"
        )));
    }
    if state.draining.load(Ordering::Relaxed) {
        let leaving = JobFailure::refused_for_now(Cause::Leaving, DurationMs(1_000));
        return Err(failure_problem(None, &leaving));
    }
    let tickets = state
        .control
        .request(|reply| ControlEvent::Tickets { count, reply })
        .await;
    let tickets = tickets.map_err(|error| stopped(&error))?;
    Ok(json(&TicketsAnswer {
        tickets: tickets.iter().map(ToString::to_string).collect(),
        valid_for_ms: state.ticket_lifetime_ms.0,
    }))
}

async fn post_peers(state: &ApiState, request: Request<Incoming>) -> Result<Reply, Problem> {
    let body = read_body(request.into_body(), state.max_body_bytes.0).await?;
    let peers_request: PeersRequest = parse_body(&body)?;
    let is_entry = !peers_request.beats.is_empty();
    if is_entry {
        state.peers.learn(&peers_request.beats);
        state
            .control
            .send(ControlEvent::Entries(state.peers.live()));
    }
    let known = state.control.request(ControlEvent::CurrentRules).await;
    let (rules, drains) = known.map_err(|error| stopped(&error))?;
    let is_wanted = !peers_request.only_entries;
    let has_newer_rules = is_wanted && rules.revision > peers_request.revision;
    let has_newer_drains = is_wanted && drains.revision > peers_request.drains_revision;
    let (entries, beats) = if is_entry {
        (Vec::new(), state.peers.digest(peers_request.wants_all))
    } else {
        (state.peers.live(), Vec::new())
    };
    Ok(json(&PeersResponse {
        entries,
        beats,
        rules: has_newer_rules.then(|| RulesDocument::new(&rules)),
        drains: has_newer_drains.then_some(drains),
    }))
}

async fn get_ready(state: &ApiState) -> Result<Reply, Problem> {
    if state.draining.load(Ordering::Relaxed) {
        let detail = "this entry is shutting down: send requests to another one";
        return Err(Problem::not_run(StatusCode::SERVICE_UNAVAILABLE, detail));
    }
    let status = entry_status(state).await?;
    if status.rules_revision == Revision(0) {
        let detail =
            "no rules are known here yet: check the platform's address, or that other entries run";
        return Err(Problem::not_run(StatusCode::SERVICE_UNAVAILABLE, detail));
    }
    Ok(reply(StatusCode::OK, "text/plain", "ready\n"))
}

async fn entry_status(state: &ApiState) -> Result<EntryStatus, Problem> {
    state
        .control
        .request(ControlEvent::Status)
        .await
        .map_err(|error| stopped(&error))
}

async fn get_metrics(state: &ApiState) -> Result<Reply, Problem> {
    let status = entry_status(state).await?;
    let call_counts = state.call_counts.as_deref();
    Ok(reply(
        StatusCode::OK,
        "text/plain; version=0.0.4",
        state.metrics.render(&status, call_counts),
    ))
}

async fn get_status(state: &ApiState) -> Result<Reply, Problem> {
    let status = entry_status(state).await?;
    let workers: Vec<serde_json::Value> = status
        .workers
        .iter()
        .map(|worker| {
            serde_json::json!({
                "worker": worker.id,
                "zone": worker.zone,
                "state": worker.state.to_string(),
                "quarantined": worker.quarantined,
                "service": worker.service,
                "slots": worker.slots,
                "load": worker.load,
                "rules_revision": worker.rules_revision,
            })
        })
        .collect();
    let entry = |entry: &EntryAddress| {
        serde_json::json!({
            "incarnation": entry.incarnation.to_string(),
            "http": entry.http,
            "inbox": entry.inbox,
        })
    };
    let entries: Vec<serde_json::Value> = status.entries.iter().map(entry).collect();
    Ok(json(&serde_json::json!({
        "entry": entry(&status.address),
        "leaving": status.leaving || state.draining.load(Ordering::Relaxed),
        "rules_revision": status.rules_revision,
        "jobs": status.jobs,
        "queued_tasks": status.queued_tasks,
        "workers": workers,
        "entries": entries,
    })))
}
