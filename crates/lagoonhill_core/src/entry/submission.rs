//! A job as a caller submits it, and the needs of its tasks.

use std::fmt;
use std::hash::{DefaultHasher, Hash, Hasher};

use lagoonhill_types::prelude::*;

/// Identifies a waiting request within an entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallerId(pub u64);

/// Requirements of a task on a worker, beyond its service.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Needs {
    /// Resources that a run takes on the target.
    pub resources: Resources,
    /// A label that the target must have.
    pub label: Option<Label>,
    /// A label of the targets that are preferred, because the data is there.
    pub near: Option<Label>,
    /// Maximum number of tasks of the same step on one worker.
    pub max_per_worker: Option<u16>,
}

impl Needs {
    /// Creates requirements of resources only.
    pub fn of(resources: Resources) -> Self {
        Self {
            resources,
            ..Self::default()
        }
    }

    /// Whether a target of this capacity with these labels meets the requirements.
    pub fn suit(&self, capacity: Resources, labels: &[Label]) -> bool {
        let has_label = |label: &Label| labels.contains(label);
        self.resources.fits_in(capacity) && self.label.as_ref().is_none_or(has_label)
    }
}

impl fmt::Display for Needs {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.resources)?;
        if let Some(label) = &self.label {
            write!(f, ", label {label}")?;
        }
        Ok(())
    }
}

/// Tasks of one job that become ready at the same time.
#[derive(Clone, Debug, Default, Hash)]
pub struct Step {
    /// Number of tasks.
    pub count: u16,
    /// Indices of earlier steps that must be done first.
    pub after: Vec<u16>,
    /// Requirements of each task.
    pub needs: Needs,
    /// Declared run time of a task; zero if none is declared.
    pub estimate_ms: DurationMs,
}

/// Queue settings of a submission. Tasks of a job submitted to a queue may run
/// again after an unsuccessful run.
#[derive(Clone, Debug)]
pub struct QueueSubmission {
    /// Name of the queue.
    pub queue: QueueName,
    /// Name that the caller gave to the job.
    pub name: RequestKey,
    /// The steps, among which the submission's tasks are divided in order.
    pub steps: Vec<Step>,
}

/// Limit on declared run times: a day, since sums of longer ones would overflow.
const MAX_DECLARED_MS: DurationMs = DurationMs::from_secs(24 * 60 * 60);

/// A job as a caller submits it.
#[derive(Clone, Debug)]
pub struct Submission {
    /// Service that runs the tasks.
    pub service: ServiceName,
    /// Team against whose share and limits the job counts.
    pub team: TeamName,
    /// Time allowed for the answer, if not the service's default.
    pub deadline_ms: Option<DurationMs>,
    /// Time since the job came to this entry, counted against its promise.
    pub waited_ms: DurationMs,
    /// Declared run time of a task, if any.
    pub run_time_ms: Option<DurationMs>,
    /// Requirements of each task, beyond those of the service.
    pub needs: Needs,
    /// Inputs, one for each task.
    pub tasks: Vec<Payload>,
    /// Whether the job is durable: stored before it is accepted, and finished
    /// even if this entry is lost.
    pub durable: bool,
    /// Queue settings, if the job is submitted to a queue.
    pub queued: Option<QueueSubmission>,
}

impl Submission {
    /// Hash of what is to run, to detect another submission with the same key: all
    /// but the deadline, which shrinks as a caller tries again, and the time waited.
    pub fn fingerprint(&self) -> u64 {
        let mut hasher = DefaultHasher::new();
        self.service.hash(&mut hasher);
        self.team.hash(&mut hasher);
        self.durable.hash(&mut hasher);
        if let Some(queued) = &self.queued {
            queued.queue.hash(&mut hasher);
        }
        self.steps().hash(&mut hasher);
        for task in &self.tasks {
            task.as_slice().hash(&mut hasher);
        }
        hasher.finish()
    }

    /// Name that the caller gave to the job, if any.
    pub fn name(&self) -> Option<RequestKey> {
        self.queued.as_ref().map(|queued| queued.name.clone())
    }

    /// Declared run time of a task, limited to a day.
    pub fn declared_run_time(&self) -> Option<DurationMs> {
        self.run_time_ms.map(|run_ms| run_ms.min(MAX_DECLARED_MS))
    }

    /// The steps of a job submitted to a queue, or one step with all tasks.
    pub fn steps(&self) -> Vec<Step> {
        if let Some(queued) = &self.queued {
            let bounded = |step: &Step| Step {
                estimate_ms: step.estimate_ms.min(MAX_DECLARED_MS),
                ..step.clone()
            };
            return queued.steps.iter().map(bounded).collect();
        }
        vec![Step {
            count: u16::try_from(self.tasks.len()).unwrap_or(u16::MAX),
            after: Vec::new(),
            needs: self.needs.clone(),
            estimate_ms: self.declared_run_time().unwrap_or_default(),
        }]
    }
}
