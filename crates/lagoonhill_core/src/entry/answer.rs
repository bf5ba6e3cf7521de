//! The final answer to a submission, and the causes of failures and refusals.

use std::fmt;
use std::sync::Arc;

use lagoonhill_types::prelude::*;

/// Whether any task of a failed job may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunCertainty {
    /// No task ran, and none will.
    NotRun,
    /// Some task may have run.
    MayHaveRun,
}

impl fmt::Display for RunCertainty {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::NotRun => "not-run",
            Self::MayHaveRun => "may-have-run",
        })
    }
}

/// Cause of a failure or refusal. Each message names the remedy.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Cause {
    /// The entry is draining.
    #[error("this entry is shutting down: send the request again, another entry will take it")]
    Leaving,
    /// No rules are known yet.
    #[error("no rules are known here yet: send the request again later")]
    NoRules,
    /// The service does not exist.
    #[error(
        "service `{0}` does not exist: check the name, or have an operator add a `service` line"
    )]
    UnknownService(ServiceName),
    /// The queue does not exist.
    #[error("queue `{0}` does not exist: check the name, or have an operator add a `queue` line")]
    UnknownQueue(QueueName),
    /// The team does not exist.
    #[error("team `{0}` does not exist: check the name, or have an operator add a `team` line")]
    UnknownTeam(TeamName),
    /// The job has no task.
    #[error("the job has no task: send 1 to {max}")]
    NoTasks {
        /// Most tasks of one job that the service allows.
        max: u16,
    },
    /// The job has too many tasks.
    #[error("the job has {found} tasks: split it into jobs of at most {max}")]
    TooManyTasks {
        /// Number of tasks in the job.
        found: usize,
        /// Most tasks of one job that the service allows.
        max: u16,
    },
    /// No worker that has been announced meets the job's requirements.
    #[error("no announced worker offers what the job needs ({0}): lower its needs or add a worker")]
    NeverFits(String),
    /// No worker has the capacity for the job at present; one has had it.
    #[error(
        "no worker of `{service}` has the capacity at present for what the job needs ({needs}): send the request again later"
    )]
    LacksCapacity {
        /// Service of the workers.
        service: ServiceName,
        /// What the job needs.
        needs: String,
    },
    /// No worker serves the service at present.
    #[error("no worker serves `{0}` at present: send the request again later")]
    NoWorkers(ServiceName),
    /// Operators drain every worker that could serve the job.
    #[error(
        "every worker of `{0}` that could run the job is drained by operators: send the request again later"
    )]
    Drained(ServiceName),
    /// The team exceeds its rate limit.
    #[error("team `{0}` is over its rate: send the request again later")]
    RateLimited(TeamName),
    /// The queue is full.
    #[error("the queue of `{0}` is full: send the request again later")]
    QueueFull(ServiceName),
    /// The deadline can't be met.
    #[error(
        "the queue is too long to finish within the deadline of {deadline_ms}: send the request again later or allow more time"
    )]
    TooLate {
        /// The job's deadline.
        deadline_ms: DurationMs,
    },
    /// The backlog takes longer than the job's usefulness limit.
    #[error(
        "all that waits takes {wait_ms}, longer than an answer would be of use: send the request again after that"
    )]
    Backlog {
        /// Time needed for the backlog.
        wait_ms: DurationMs,
    },
    /// The job's kind of work is kept to a part of the fleet, which is down or full.
    #[error(
        "tasks like these crash the workers that start them, and the {workers} workers that are set aside for `{kind}` are down or full: send the request again later"
    )]
    Contained {
        /// The queue, or the service of jobs without one.
        kind: String,
        /// Number of workers set aside.
        workers: usize,
    },
    /// The deadline passed.
    #[error("the deadline of {deadline_ms} passed: allow more time or send smaller jobs")]
    DeadlinePassed {
        /// The job's deadline.
        deadline_ms: DurationMs,
    },
    /// A task failed on its target.
    #[error("task {index} failed on worker {worker}: {message}")]
    TaskFailed {
        /// Index of the task in the job.
        index: TaskIndex,
        /// Worker on which it ran.
        worker: WorkerId,
        /// Error message of the target.
        message: String,
    },
    /// A worker was lost while it held a task, whose outcome is unknown.
    #[error(
        "worker {worker} was lost while it held task {index}: check whether it took effect before sending it again"
    )]
    WorkerLost {
        /// Index of the task in the job.
        index: TaskIndex,
        /// Worker that held it.
        worker: WorkerId,
    },
    /// A task failed as often as its queue allows.
    #[error(
        "task {index} failed in each of its {attempts} runs, the last on worker {worker}: {message}"
    )]
    AttemptsUsedUp {
        /// Index of the task in the job.
        index: TaskIndex,
        /// Number of runs, all failed.
        attempts: u16,
        /// Worker of the last run.
        worker: WorkerId,
        /// Error message of the target in the last run.
        message: String,
    },
    /// A task had failed as often as its queue allows before its entry knew how often
    /// that is.
    #[error("task {index} had failed in each of its {attempts} runs under an earlier owner")]
    NoAttemptLeft {
        /// Index of the task in the job.
        index: TaskIndex,
        /// Number of runs, all failed.
        attempts: u16,
    },
    /// Workers crashed while they ran a task.
    #[error(
        "{crashes} workers crashed while they ran task {index}, the last {worker}: correct the task before sending it again"
    )]
    CrashedWorkers {
        /// Index of the task in the job.
        index: TaskIndex,
        /// Number of workers that crashed.
        crashes: u16,
        /// The worker that crashed last.
        worker: WorkerId,
    },
    /// A task was returned unstarted too often.
    #[error("no worker would take task {index}: send the request again later")]
    NoTaker {
        /// Index of the task in the job.
        index: TaskIndex,
    },
    /// The caller cancelled.
    #[error("the job was cancelled")]
    Cancelled,
    /// The key or ticket was used for a different request.
    #[error("this key or ticket was used for a different request: use a new one")]
    KeyReused,
    /// The ticket is unknown or has expired.
    #[error(
        "the ticket has expired and what became of it is no longer known: check for its effect, then use a new one"
    )]
    TicketExpired,
    /// The entry that owns the key is gone.
    #[error(
        "the entry that owned this request is gone: it will not run any more; check for its effect, then use a new key"
    )]
    OwnerGone,
    /// The owner can't be reached.
    #[error(
        "the entry that owns this request can't be reached: send the request again later, with the same key or ticket"
    )]
    OwnerUnreachable,
    /// The key could not be bound.
    #[error(
        "the key could not be bound because the platform's store does not answer: send the request again later"
    )]
    StoreUnavailable,
    /// A job that is to be durable has no name.
    #[error("a job that is kept needs a name: submit it to a queue under one")]
    NotNamed,
    /// Another entry runs the job: its caller has sent it twice.
    #[error(
        "another entry runs this job, which was sent before: send it again if that request gets no answer"
    )]
    RunsElsewhere,
    /// Too many keys are being bound.
    #[error("too many keys are being bound: send the request again later, or use a ticket")]
    KeyBudget,
}

impl Cause {
    /// Label value of the cause in metrics.
    pub fn reason(&self) -> &'static str {
        match self {
            Self::Leaving => "leaving",
            Self::NoRules => "no_rules",
            Self::UnknownService(_) => "unknown_service",
            Self::UnknownQueue(_) => "unknown_queue",
            Self::UnknownTeam(_) => "unknown_team",
            Self::NoTasks { .. } => "no_tasks",
            Self::TooManyTasks { .. } => "too_many_tasks",
            Self::NeverFits(_) => "never_fits",
            Self::LacksCapacity { .. } => "lacks_capacity",
            Self::NoWorkers(_) => "no_workers",
            Self::Drained(_) => "drained",
            Self::RateLimited(_) => "rate_limited",
            Self::QueueFull(_) => "queue_full",
            Self::TooLate { .. } => "too_late",
            Self::Backlog { .. } => "backlog",
            Self::Contained { .. } => "contained",
            Self::DeadlinePassed { .. } => "deadline_passed",
            Self::TaskFailed { .. } => "task_failed",
            Self::WorkerLost { .. } => "worker_lost",
            Self::AttemptsUsedUp { .. } => "attempts_used_up",
            Self::NoAttemptLeft { .. } => "no_attempt_left",
            Self::CrashedWorkers { .. } => "crashed_workers",
            Self::NoTaker { .. } => "no_taker",
            Self::Cancelled => "cancelled",
            Self::KeyReused => "key_reused",
            Self::TicketExpired => "ticket_expired",
            Self::OwnerGone => "owner_gone",
            Self::OwnerUnreachable => "owner_unreachable",
            Self::StoreUnavailable => "store_unavailable",
            Self::NotNamed => "not_named",
            Self::RunsElsewhere => "runs_elsewhere",
            Self::KeyBudget => "key_budget",
        }
    }
}

/// A failed or refused job.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{run}: {cause}")]
pub struct JobFailure {
    /// Whether any task may have run.
    pub run: RunCertainty,
    /// Cause of the failure or refusal.
    pub cause: Cause,
    /// Time after which to send the request again, if that can help.
    pub retry_after_ms: Option<DurationMs>,
}

impl JobFailure {
    /// A refusal before any task ran, which a repeated request would meet too.
    pub fn refused(cause: Cause) -> Self {
        Self {
            run: RunCertainty::NotRun,
            cause,
            retry_after_ms: None,
        }
    }

    /// A refusal before any task ran, with a time after which to repeat the request.
    pub fn refused_for_now(cause: Cause, retry_after_ms: DurationMs) -> Self {
        Self {
            run: RunCertainty::NotRun,
            cause,
            retry_after_ms: Some(retry_after_ms),
        }
    }
}

/// The final answer to a submission: every result in task order, or a failure.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answer {
    /// Identifier of the job; refused submissions have none.
    pub job: Option<JobId>,
    /// Results of all tasks in order, or the failure.
    pub outcome: Result<Arc<[Payload]>, JobFailure>,
}
