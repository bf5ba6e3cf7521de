//! The stored format of durable jobs.

use std::collections::BTreeMap;
use std::num::NonZeroU16;
use std::sync::Arc;

use lagoonhill_core::entry::{
    CrashCount, DurableJob, DurableJobState, InvalidSteps, JobTerms, Needs, Progress,
    QueueSubmission, Step, Submission, TaskCrashes,
};
use lagoonhill_rules::Class;
use lagoonhill_types::prelude::*;
use serde::{Deserialize, Serialize};

use crate::loss_record::LossRecord;

/// Identifies the write by which an owner came to own a job: it stored the new job, or
/// took it over. Drawn at random, so no two writes of any process share one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct ClaimId(u64);

impl ClaimId {
    pub(crate) fn random() -> Self {
        Self(fastrand::u64(..))
    }
}

/// The stored state of a durable job, under the job's name.
// The type name is part of error messages sent to callers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct StateForm {
    /// The owner's incarnation.
    pub(crate) owner: Incarnation,
    pub(crate) state: RecordedState,
    /// How the owner came to own the job; earlier releases don't write it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub(crate) claim: Option<ClaimId>,
}

/// A [`DurableJobState`] in stored format.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub(crate) enum RecordedState {
    Open,
    Complete,
    Failed,
    Cancelled,
}

impl From<DurableJobState> for RecordedState {
    fn from(state: DurableJobState) -> Self {
        match state {
            DurableJobState::Open => Self::Open,
            DurableJobState::Complete => Self::Complete,
            DurableJobState::Failed => Self::Failed,
            DurableJobState::Cancelled => Self::Cancelled,
        }
    }
}

impl From<RecordedState> for DurableJobState {
    fn from(state: RecordedState) -> Self {
        match state {
            RecordedState::Open => Self::Open,
            RecordedState::Complete => Self::Complete,
            RecordedState::Failed => Self::Failed,
            RecordedState::Cancelled => Self::Cancelled,
        }
    }
}

/// Most owners of a job: each numbers its runs in a range of its own.
const MAX_EPOCH: u32 = 1_000_000;

/// Why a stored record describes no job. It may be of another writer.
#[derive(Debug, thiserror::Error)]
pub(crate) enum InvalidRecord {
    /// A field is missing, has another type or is out of range.
    #[error(transparent)]
    Malformed(#[from] serde_json::Error),
    /// The steps can't be run.
    #[error(transparent)]
    Steps(#[from] InvalidSteps),
    /// There is nothing to run.
    #[error("it has no tasks")]
    NoTasks,
    /// The tasks don't all have an input.
    #[error("it has {inputs} inputs for {count} tasks")]
    Inputs { inputs: usize, count: usize },
    /// The number of owners is out of range.
    #[error("its epoch {0} is larger than {MAX_EPOCH}")]
    Epoch(u32),
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
    /// Terms of its acceptance. Earlier releases neither write nor read them.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    terms: Option<TermsRecord>,
    /// A single input if all tasks have the same one; otherwise one per task.
    inputs: Vec<String>,
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    done: Vec<TaskIndex>,
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    failed: Vec<(TaskIndex, u16)>,
    /// Tasks under which workers have crashed: at work, and without certainty that the run
    /// was. Earlier releases neither write nor read it.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    crashed: Vec<(TaskIndex, u16, u16)>,
    /// Those of the uncertain crashes that were near the end of a run. Earlier releases
    /// neither write nor read it.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    near_end: Vec<(TaskIndex, u16)>,
    /// Losses of workers that may be crashes. Earlier releases neither write nor read it.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    lost: Vec<LossRecord>,
}

/// [`JobTerms`] in stored format.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
struct TermsRecord {
    class: ClassRecord,
    attempts: NonZeroU16,
    objective_ms: DurationMs,
    slack_permille: u32,
    run_limit_ms: DurationMs,
}

/// A [`Class`] in stored format.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
enum ClassRecord {
    Rush,
    Standard,
    Office,
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
    pub(crate) fn new(durable_job: &DurableJob) -> Option<Self> {
        let submission = &durable_job.submission;
        let queued = submission.queued.as_ref()?;
        let text = |input: &Payload| String::from_utf8_lossy(input.as_slice()).into_owned();
        let all_same = submission.tasks.windows(2).all(|pair| pair[0] == pair[1]);
        let inputs = submission
            .tasks
            .iter()
            .take(if all_same { 1 } else { usize::MAX });
        Some(Self {
            epoch: durable_job.epoch,
            service: submission.service.clone(),
            team: submission.team.clone(),
            queue: queued.queue.clone(),
            name: queued.name.clone(),
            steps: queued.steps.iter().map(StepRecord::new).collect(),
            terms: durable_job.terms.map(TermsRecord::new),
            inputs: inputs.map(text).collect(),
            done: durable_job.progress.done.clone(),
            failed: durable_job.progress.failed.clone(),
            crashed: durable_job
                .progress
                .crashed
                .iter()
                .map(|(index, crashes)| (*index, crashes.certain))
                .filter(|(_, certain)| !certain.is_zero())
                .map(|(index, certain)| {
                    let uncertain = certain.total().saturating_sub(certain.at_work);
                    (index, certain.at_work, uncertain)
                })
                .collect(),
            near_end: durable_job
                .progress
                .crashed
                .iter()
                .map(|(index, crashes)| (*index, crashes.certain.near_end))
                .filter(|(_, near_end)| *near_end > 0)
                .collect(),
            lost: durable_job
                .progress
                .crashed
                .iter()
                .flat_map(|(index, crashes)| LossRecord::all(*index, crashes))
                .collect(),
        })
    }

    /// Decodes a stored record and checks it.
    pub(crate) fn decode(value: &[u8]) -> Result<DurableJob, InvalidRecord> {
        let record: Self = serde_json::from_slice(value)?;
        record.into_job()
    }

    /// The job that the record describes.
    fn into_job(self) -> Result<DurableJob, InvalidRecord> {
        if self.epoch > MAX_EPOCH {
            return Err(InvalidRecord::Epoch(self.epoch));
        }
        let steps: Vec<Step> = self.steps.into_iter().map(StepRecord::into_step).collect();
        let count = Step::check_all(&steps)?;
        if count == 0 {
            return Err(InvalidRecord::NoTasks);
        }
        let input = |input: String| Payload::from(input.into_bytes());
        let tasks = match self.inputs.len() {
            1 => {
                let only = self.inputs.into_iter().next().unwrap_or_default();
                vec![input(only); count]
            }
            inputs if inputs == count => self.inputs.into_iter().map(input).collect(),
            inputs => return Err(InvalidRecord::Inputs { inputs, count }),
        };
        let run_time_ms = steps.iter().map(|step| step.estimate_ms).max();
        let submission = Submission {
            service: self.service,
            team: self.team,
            deadline_ms: None,
            waited_ms: DurationMs::ZERO,
            run_time_ms,
            needs: Needs::default(),
            tasks,
            durable: true,
            queued: Some(QueueSubmission {
                queue: self.queue,
                name: self.name,
                steps,
            }),
        };
        Ok(DurableJob {
            submission: Arc::new(submission),
            terms: self.terms.map(TermsRecord::into_terms),
            progress: Progress {
                done: self.done,
                failed: self.failed,
                crashed: crashes_by_task(self.crashed, &self.near_end, self.lost),
            },
            epoch: self.epoch,
        })
    }
}

fn crashes_by_task(
    crashed: Vec<(TaskIndex, u16, u16)>,
    near_end: &[(TaskIndex, u16)],
    lost: Vec<LossRecord>,
) -> Vec<(TaskIndex, TaskCrashes)> {
    let mut by_task: BTreeMap<TaskIndex, TaskCrashes> = crashed
        .into_iter()
        .map(|(index, at_work, uncertain)| {
            let of_task = near_end.iter().find(|(other, _)| *other == index);
            let near_end = of_task.map_or(0, |(_, count)| uncertain.min(*count));
            let certain = CrashCount {
                at_work,
                near_end,
                at_start: uncertain - near_end,
                may_have_ended: 0,
            };
            (index, TaskCrashes::restored(certain))
        })
        .collect();
    for record in lost {
        let (index, crash) = record.into_loss();
        by_task.entry(index).or_default().unresolved.push(crash);
    }
    by_task.into_iter().collect()
}

impl TermsRecord {
    fn new(terms: JobTerms) -> Self {
        Self {
            class: match terms.class {
                Class::Rush => ClassRecord::Rush,
                Class::Standard => ClassRecord::Standard,
                Class::Office => ClassRecord::Office,
            },
            attempts: NonZeroU16::new(terms.attempts).unwrap_or(NonZeroU16::MIN),
            objective_ms: terms.objective_ms,
            slack_permille: terms.slack_permille,
            run_limit_ms: terms.run_limit_ms,
        }
    }

    fn into_terms(self) -> JobTerms {
        JobTerms {
            class: match self.class {
                ClassRecord::Rush => Class::Rush,
                ClassRecord::Standard => Class::Standard,
                ClassRecord::Office => Class::Office,
            },
            attempts: self.attempts.get(),
            objective_ms: self.objective_ms,
            slack_permille: self.slack_permille,
            run_limit_ms: self.run_limit_ms,
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
