//! What an entry would do with a submission now.

use lagoonhill_types::prelude::*;

use super::JobFailure;

/// A worker that would get a task, and what the entry knows of it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PreviewedWorker {
    /// The worker.
    pub worker: WorkerId,
    /// Estimated number of tasks at the worker before this one.
    pub load: u16,
    /// Slots of the worker.
    pub slots: u16,
    /// Expected run time on the worker.
    pub expected_ms: DurationMs,
    /// Age of the worker's last report.
    pub report_age_ms: DurationMs,
}

impl PreviewedWorker {
    /// Why this worker goes before `next`, by what is known of both.
    pub fn advantage_over(&self, next: &Self) -> &'static str {
        let fullness =
            |worker: &Self| u32::from(worker.load) * 1_000 / u32::from(worker.slots.max(1));
        match (
            fullness(self).cmp(&fullness(next)),
            self.expected_ms.cmp(&next.expected_ms),
        ) {
            (std::cmp::Ordering::Less, _) => "it is fuller",
            (_, std::cmp::Ordering::Less) => "it is slower",
            (std::cmp::Ordering::Equal, std::cmp::Ordering::Equal) => "equal: chosen at random",
            _ => "it is in another zone, or less likely to end in time",
        }
    }
}

/// Where one task would go.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PreviewedTask {
    /// Index of the task in the job.
    pub index: TaskIndex,
    /// The worker that would get it.
    pub chosen: PreviewedWorker,
    /// Number of other workers with free capacity.
    pub alternatives: u16,
    /// The worker that would get it if the chosen one got nothing new. `None` if the task
    /// would wait, or its choice was not examined.
    pub next: Option<PreviewedWorker>,
}

/// What an entry would do with a submission now.
#[derive(Clone, Debug)]
pub struct Preview {
    /// Revision of the rules in force.
    pub rules_revision: Revision,
    /// Number of tasks of the service that are queued already.
    pub queued_tasks: usize,
    /// Time until which the answer would be promised, if one would be.
    pub promised_ms: Option<DurationMs>,
    /// Why the submission would be refused; `None` if it would be admitted.
    pub refusal: Option<JobFailure>,
    /// Tasks that would be dispatched at once.
    pub placed: Vec<PreviewedTask>,
    /// Number of tasks that would wait for a worker or for earlier steps.
    pub waiting_tasks: usize,
}
