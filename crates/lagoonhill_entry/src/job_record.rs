//! The stored format of durable jobs.

use std::sync::Arc;

use lagoonhill_core::entry::{KeptJob, KeptState, Needs, Progress, QueueOrder, Step, Submission};
use lagoonhill_types::prelude::*;
use serde::{Deserialize, Serialize};

/// The stored state of a durable job, under the job's name.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct StateRecord {
    /// The owner's incarnation.
    pub(crate) owner: Incarnation,
    pub(crate) state: RecordedState,
}

/// A [`KeptState`] in stored format.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub(crate) enum RecordedState {
    Open,
    Complete,
    Failed,
    Cancelled,
}

impl From<KeptState> for RecordedState {
    fn from(state: KeptState) -> Self {
        match state {
            KeptState::Open => Self::Open,
            KeptState::Complete => Self::Complete,
            KeptState::Failed => Self::Failed,
            KeptState::Cancelled => Self::Cancelled,
        }
    }
}

impl From<RecordedState> for KeptState {
    fn from(state: RecordedState) -> Self {
        match state {
            RecordedState::Open => Self::Open,
            RecordedState::Complete => Self::Complete,
            RecordedState::Failed => Self::Failed,
            RecordedState::Cancelled => Self::Cancelled,
        }
    }
}

/// An unfinished job, under its owner and name: all that a takeover needs.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct JobRecord {
    epoch: u32,
    service: ServiceName,
    team: TeamName,
    queue: QueueName,
    name: RequestKey,
    steps: Vec<StepRecord>,
    /// A single input if all tasks have the same one; otherwise one per task.
    inputs: Vec<String>,
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    done: Vec<TaskIndex>,
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    failed: Vec<(TaskIndex, u16)>,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
struct StepRecord {
    count: u16,
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    after: Vec<u16>,
    resources: Resources,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    label: Option<Label>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    near: Option<Label>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    max_per_worker: Option<u16>,
    estimate_ms: DurationMs,
}

impl JobRecord {
    /// `None` for a job without a queue, which is never durable.
    pub(crate) fn new(kept: &KeptJob) -> Option<Self> {
        let submission = &kept.submission;
        let order = submission.order.as_ref()?;
        let text = |input: &Payload| String::from_utf8_lossy(input.as_slice()).into_owned();
        let all_same = submission.tasks.windows(2).all(|pair| pair[0] == pair[1]);
        let inputs = submission
            .tasks
            .iter()
            .take(if all_same { 1 } else { usize::MAX });
        Some(Self {
            epoch: kept.epoch,
            service: submission.service.clone(),
            team: submission.team.clone(),
            queue: order.queue.clone(),
            name: order.name.clone(),
            steps: order.steps.iter().map(StepRecord::new).collect(),
            inputs: inputs.map(text).collect(),
            done: kept.progress.done.clone(),
            failed: kept.progress.failed.clone(),
        })
    }

    /// The job that the record describes.
    pub(crate) fn into_job(self) -> KeptJob {
        let steps: Vec<Step> = self.steps.into_iter().map(StepRecord::into_step).collect();
        let count = steps.iter().map(|step| usize::from(step.count)).sum();
        let input = |input: String| Payload::from(input.into_bytes());
        let tasks = if self.inputs.len() == 1 {
            let only = self.inputs.into_iter().next().unwrap_or_default();
            vec![input(only); count]
        } else {
            self.inputs.into_iter().map(input).collect()
        };
        let run_time_ms = steps.iter().map(|step| step.estimate_ms).max();
        let submission = Submission {
            service: self.service,
            team: self.team,
            deadline_ms: None,
            run_time_ms,
            needs: Needs::default(),
            tasks,
            kept: true,
            order: Some(QueueOrder {
                queue: self.queue,
                name: self.name,
                steps,
            }),
        };
        KeptJob {
            submission: Arc::new(submission),
            progress: Progress {
                done: self.done,
                failed: self.failed,
            },
            epoch: self.epoch,
        }
    }
}

impl StepRecord {
    fn new(step: &Step) -> Self {
        Self {
            count: step.count,
            after: step.after.clone(),
            resources: step.needs.resources,
            label: step.needs.label.clone(),
            near: step.needs.near.clone(),
            max_per_worker: step.needs.max_per_worker,
            estimate_ms: step.estimate_ms,
        }
    }

    fn into_step(self) -> Step {
        Step {
            count: self.count,
            after: self.after,
            needs: Needs {
                resources: self.resources,
                label: self.label,
                near: self.near,
                max_per_worker: self.max_per_worker,
            },
            estimate_ms: self.estimate_ms,
        }
    }
}
