//! The HTTP interface to the durable jobs of queues.

use hyper::{Method, StatusCode};
use lagoonhill_core::entry::{Needs, QueueSubmission, Step, Submission};
use lagoonhill_http::Problem;
use lagoonhill_platform::StoreUnavailable;
use lagoonhill_types::prelude::*;
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;

use crate::client::{EntryClient, JobStatus};

/// The body of `PUT /v1/queues/QUEUE/jobs/NAME`.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct QueueJobRequest {
    /// The input of every task.
    input: Box<RawValue>,
    steps: Vec<StepRequest>,
}

/// Tasks that start together, after the steps listed in `after`.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct StepRequest {
    count: u16,
    #[serde(default)]
    after: Vec<u16>,
    #[serde(default)]
    milli_processors: u32,
    #[serde(default)]
    memory_bytes: u64,
    #[serde(default)]
    accelerators: u16,
    label: Option<Label>,
    near: Option<Label>,
    max_per_worker: Option<u16>,
    #[serde(default)]
    run_time_ms: u64,
}

/// The status of a durable job, as answered.
#[derive(Debug, Serialize)]
pub(crate) struct JobStatusAnswer {
    state: String,
}

impl JobStatusAnswer {
    fn new(job_status: JobStatus) -> Self {
        Self {
            state: job_status.to_string(),
        }
    }
}

/// The number of jobs of a queue that wait, as answered.
#[derive(Debug, Serialize)]
pub(crate) struct WaitingAnswer {
    waiting: usize,
}

impl QueueJobRequest {
    /// Checks the request and converts it to a submission.
    pub(crate) fn into_submission(
        self,
        queue: QueueName,
        name: RequestKey,
        service: ServiceName,
    ) -> Result<Submission, String> {
        let steps: Vec<Step> = self.steps.into_iter().map(StepRequest::into_step).collect();
        let count = Step::check_all(&steps).map_err(|error| error.to_string())?;
        if count == 0 {
            return Err("the job has no tasks: send at least 1".to_owned());
        }
        let team = queue.as_str().parse();
        let team = team.map_err(|error: lagoonhill_types::InvalidName| error.to_string())?;
        let input = Payload::from(self.input.get().as_bytes().to_vec());
        Ok(Submission {
            service,
            team,
            deadline_ms: None,
            waited_ms: DurationMs::ZERO,
            run_time_ms: steps.iter().map(|step| step.estimate_ms).max(),
            needs: Needs::default(),
            tasks: vec![input; count],
            durable: true,
            queued: Some(QueueSubmission { queue, name, steps }),
        })
    }
}

impl StepRequest {
    fn into_step(self) -> Step {
        let resources = Resources {
            processors: MilliProcessors(self.milli_processors),
            memory_bytes: ByteCount(self.memory_bytes),
            accelerators: self.accelerators,
        };
        Step {
            count: self.count,
            after: self.after,
            needs: Needs {
                resources,
                label: self.label,
                near: self.near,
                max_per_worker: self.max_per_worker,
            },
            estimate_ms: DurationMs(self.run_time_ms),
        }
    }
}

/// Submits a job to a queue; answered once the job is stored.
pub(crate) async fn put_job(
    entry: &EntryClient,
    queue: &str,
    name: &str,
    request: QueueJobRequest,
) -> Result<JobStatusAnswer, Problem> {
    let queue: QueueName = read(queue)?;
    let rules = entry.rules().borrow().clone();
    let rule = rules.queue(&queue).ok_or_else(|| no_queue(&queue))?;
    let service = rule.service.clone().ok_or_else(|| no_queue(&queue))?;
    let submission = request
        .into_submission(queue, read(name)?, service)
        .map_err(|error| Problem::not_run(StatusCode::BAD_REQUEST, error))?;
    let submitted = entry.submit_durable(submission).await;
    let answer = submitted.map_err(|error| unknown(error.to_string()))?;
    match answer.outcome {
        Ok(_) => Ok(JobStatusAnswer::new(JobStatus::Queued)),
        Err(failure) => {
            let detail = failure.cause.to_string();
            let mut problem = Problem::not_run(StatusCode::SERVICE_UNAVAILABLE, detail);
            problem.run = failure.run.to_string();
            problem.retry_after_s = failure
                .retry_after_ms
                .map(|pause| pause.as_secs_ceil().max(1));
            Err(problem)
        }
    }
}

/// Returns the status of a durable job, or cancels it.
pub(crate) async fn get_or_cancel(
    entry: &EntryClient,
    method: &Method,
    name: &str,
) -> Result<JobStatusAnswer, Problem> {
    let name: RequestKey = read(name)?;
    let result = if method == Method::DELETE {
        let cancelled = entry.cancel(name.clone()).await;
        cancelled.map(|state| state.map(JobStatus::Over))
    } else {
        entry.job_status(name.clone()).await
    };
    let job_status = result.map_err(|error: StoreUnavailable| unknown(error.to_string()))?;
    let job_status = job_status.ok_or_else(|| {
        let detail = format!("there is no job `{name}`: check the name, or submit it again");
        Problem::not_run(StatusCode::NOT_FOUND, detail)
    })?;
    Ok(JobStatusAnswer::new(job_status))
}

/// Counts the jobs of a queue that wait: those here, and the durable ones at other
/// entries.
pub(crate) async fn count_waiting(
    entry: &EntryClient,
    queue: &str,
) -> Result<WaitingAnswer, Problem> {
    let queue: QueueName = read(queue)?;
    if entry.rules().borrow().queue(&queue).is_none() {
        return Err(no_queue(&queue));
    }
    let waiting = entry.waiting_jobs(queue).await;
    let waiting = waiting.map_err(|error| unknown(error.to_string()))?;
    Ok(WaitingAnswer { waiting })
}

fn read<T: std::str::FromStr<Err: std::fmt::Display>>(text: &str) -> Result<T, Problem> {
    text.parse()
        .map_err(|error: T::Err| Problem::not_run(StatusCode::BAD_REQUEST, error.to_string()))
}

fn no_queue(queue: &QueueName) -> Problem {
    let detail = format!("queue `{queue}` does not exist: have an operator add a `queue` line");
    Problem::not_run(StatusCode::NOT_FOUND, detail)
}

fn unknown(detail: String) -> Problem {
    let mut problem = Problem::not_run(StatusCode::SERVICE_UNAVAILABLE, detail);
    problem.run = lagoonhill_core::entry::RunCertainty::MayHaveRun.to_string();
    problem
}
