use std::fmt;
use std::hash::{DefaultHasher, Hash, Hasher};

use lagoonhill_types::prelude::*;

/// Names one waiting request within an entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallerId(pub u64);

/// What one task asks of a worker beyond its service.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Needs {
    /// What a run takes of the target.
    pub resources: Resources,
    /// A label that the target must have.
    pub label: Option<Label>,
    /// A label that the target had better have, because the data is there.
    pub near: Option<Label>,
    /// Tasks of the same step at most on one worker.
    pub max_per_worker: Option<u16>,
}

impl Needs {
    /// Needs of resources only.
    pub fn of(resources: Resources) -> Self {
        Self {
            resources,
            ..Self::default()
        }
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

/// Tasks of one job that start together.
#[derive(Clone, Debug, Default)]
pub struct Step {
    /// How many tasks there are.
    pub count: u16,
    /// Positions of earlier steps that must be done first.
    pub after: Vec<u16>,
    /// What each task asks of a worker.
    pub needs: Needs,
    /// Declared run time of a task; zero when unknown.
    pub estimate_ms: DurationMs,
}

/// What a job submitted to a queue says beyond its tasks. Its tasks may run
/// again after a run that ended without success.
#[derive(Clone, Debug)]
pub struct QueueOrder {
    /// The queue.
    pub queue: QueueName,
    /// The caller's name of the job.
    pub name: RequestKey,
    /// The steps, which together hold the submission's tasks in order.
    pub steps: Vec<Step>,
}

/// A declared run time counts up to a day; sums of longer ones would overflow.
const MAX_DECLARED_MS: DurationMs = DurationMs::from_secs(24 * 60 * 60);

/// A job as a caller submits it.
#[derive(Clone, Debug)]
pub struct Submission {
    /// The service wanted.
    pub service: ServiceName,
    /// The team that pays.
    pub team: TeamName,
    /// Deadline of the answer, if not the service's.
    pub deadline_ms: Option<DurationMs>,
    /// Declared run time of a task, if any.
    pub run_time_ms: Option<DurationMs>,
    /// Needs of each task beyond the service's.
    pub needs: Needs,
    /// One input a task.
    pub tasks: Vec<Payload>,
    /// Whether it is to be stored before it is accepted, and finished whatever
    /// becomes of this entry.
    pub kept: bool,
    /// Present when the job was submitted to a queue.
    pub order: Option<QueueOrder>,
}

impl Submission {
    /// Tells two different requests under one key apart.
    pub fn fingerprint(&self) -> u64 {
        let mut hasher = DefaultHasher::new();
        self.service.hash(&mut hasher);
        self.team.hash(&mut hasher);
        for task in &self.tasks {
            task.as_slice().hash(&mut hasher);
        }
        hasher.finish()
    }

    /// The caller's name of the job, if it has one.
    pub fn name(&self) -> Option<RequestKey> {
        self.order.as_ref().map(|order| order.name.clone())
    }

    /// The declared run time of a task, as far as it makes sense.
    pub fn declared_run_time(&self) -> Option<DurationMs> {
        self.run_time_ms.map(|run_ms| run_ms.min(MAX_DECLARED_MS))
    }

    /// The steps: those ordered, or one that holds every task.
    pub fn steps(&self) -> Vec<Step> {
        if let Some(order) = &self.order {
            let bounded = |step: &Step| Step {
                estimate_ms: step.estimate_ms.min(MAX_DECLARED_MS),
                ..step.clone()
            };
            return order.steps.iter().map(bounded).collect();
        }
        vec![Step {
            count: u16::try_from(self.tasks.len()).unwrap_or(u16::MAX),
            after: Vec::new(),
            needs: self.needs.clone(),
            estimate_ms: self.declared_run_time().unwrap_or_default(),
        }]
    }
}
