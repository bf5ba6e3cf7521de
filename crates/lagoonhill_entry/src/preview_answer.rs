//! The answer to a request for a preview.

use lagoonhill_core::entry::{JobFailure, Preview, PreviewedTask, PreviewedWorker};
use lagoonhill_protocol::EntryAddress;
use serde::Serialize;

/// What an entry would do with a job now.
#[derive(Debug, Serialize)]
pub(crate) struct PreviewAnswer {
    entry: String,
    http: String,
    rules_revision: u64,
    queued_tasks: usize,
    promised_ms: Option<u64>,
    refusal: Option<RefusalAnswer>,
    placed: Vec<TaskAnswer>,
    waiting_tasks: usize,
}

/// Why the job would be refused.
#[derive(Debug, Serialize)]
struct RefusalAnswer {
    reason: &'static str,
    detail: String,
    retry_after_ms: Option<u64>,
}

/// Where a task would go.
#[derive(Debug, Serialize)]
struct TaskAnswer {
    task: u16,
    chosen: WorkerAnswer,
    alternatives: u16,
    next: Option<WorkerAnswer>,
    /// Why `next` comes after `chosen`.
    why_not_next: Option<&'static str>,
}

/// A worker, and what the entry knows of it.
#[derive(Debug, Serialize)]
struct WorkerAnswer {
    worker: String,
    load: u16,
    slots: u16,
    expected_ms: u64,
    report_age_ms: u64,
}

impl PreviewAnswer {
    pub(crate) fn new(address: &EntryAddress, preview: &Preview) -> Self {
        Self {
            entry: address.incarnation.to_string(),
            http: address.http.to_string(),
            rules_revision: preview.rules_revision.0,
            queued_tasks: preview.queued_tasks,
            promised_ms: preview.promised_ms.map(|promised_ms| promised_ms.0),
            refusal: preview.refusal.as_ref().map(RefusalAnswer::new),
            placed: preview.placed.iter().map(TaskAnswer::new).collect(),
            waiting_tasks: preview.waiting_tasks,
        }
    }
}

impl RefusalAnswer {
    fn new(failure: &JobFailure) -> Self {
        Self {
            reason: failure.cause.reason(),
            detail: failure.cause.to_string(),
            retry_after_ms: failure.retry_after_ms.map(|delay_ms| delay_ms.0),
        }
    }
}

impl TaskAnswer {
    fn new(task: &PreviewedTask) -> Self {
        let next = task.next.as_ref();
        Self {
            task: task.index.0,
            chosen: WorkerAnswer::new(&task.chosen),
            alternatives: task.alternatives,
            why_not_next: next.map(|next| task.chosen.advantage_over(next)),
            next: next.map(WorkerAnswer::new),
        }
    }
}

impl WorkerAnswer {
    fn new(worker: &PreviewedWorker) -> Self {
        Self {
            worker: worker.worker.to_string(),
            load: worker.load,
            slots: worker.slots,
            expected_ms: worker.expected_ms.0,
            report_age_ms: worker.report_age_ms.0,
        }
    }
}
