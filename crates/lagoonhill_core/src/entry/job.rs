use std::collections::VecDeque;
use std::sync::Arc;

use lagoonhill_rules::Class;
use lagoonhill_types::prelude::*;
use slotmap::new_key_type;

use super::{CallerId, Needs, RecordKey, RunCertainty, WorkerKey};

new_key_type! {
    /// Names a job within an entry.
    pub struct JobKey;
}

/// Where a task stands.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TaskState {
    /// Queued; provably not started.
    Ready,
    /// Ordered from a worker; may have started.
    Sent(WorkerKey),
    /// Ran and answered.
    Done(Payload),
}

#[derive(Debug)]
struct Task {
    payload: Payload,
    state: TaskState,
    moves: u8,
}

/// A job: complete with every task's result, or failed as a whole.
#[derive(Debug)]
pub struct Job {
    /// Its name.
    pub id: JobId,
    /// The service.
    pub service: ServiceName,
    /// The team.
    pub team: TeamName,
    /// The scheduling class.
    pub class: Class,
    /// What it needs of a worker.
    pub needs: Needs,
    /// Who waits for the answer.
    pub callers: Vec<CallerId>,
    /// The ticket or key it was submitted under.
    pub record: Option<RecordKey>,
    /// When it was admitted.
    pub accepted_ms: TimestampMs,
    /// Time allowed for the answer.
    pub deadline_ms: DurationMs,
    /// Time allowed for one run on a target.
    pub run_limit_ms: DurationMs,
    /// Its place among the team's jobs; lower is sooner.
    pub rank_ms: u64,
    tasks: Vec<Task>,
    ready: VecDeque<TaskIndex>,
    done: usize,
    sent: usize,
}

impl Job {
    /// A job whose tasks are all ready.
    #[allow(clippy::too_many_arguments, reason = "the caller names every field")]
    pub fn new(
        id: JobId,
        service: ServiceName,
        team: TeamName,
        class: Class,
        needs: Needs,
        accepted_ms: TimestampMs,
        deadline_ms: DurationMs,
        run_limit_ms: DurationMs,
        payloads: Vec<Payload>,
    ) -> Self {
        let ready = (0..u16::try_from(payloads.len()).unwrap_or(u16::MAX))
            .map(TaskIndex)
            .collect();
        let task = |payload| Task {
            payload,
            state: TaskState::Ready,
            moves: 0,
        };
        Self {
            id,
            service,
            team,
            class,
            needs,
            callers: Vec::new(),
            record: None,
            accepted_ms,
            deadline_ms,
            run_limit_ms,
            rank_ms: accepted_ms.0,
            tasks: payloads.into_iter().map(task).collect(),
            ready,
            done: 0,
            sent: 0,
        }
    }

    /// When the answer is due.
    pub fn due_ms(&self) -> TimestampMs {
        self.accepted_ms + self.deadline_ms
    }

    /// How many tasks wait in the queue.
    pub fn ready_count(&self) -> usize {
        self.ready.len()
    }

    /// How many tasks are ordered from workers.
    pub fn sent_count(&self) -> usize {
        self.sent
    }

    /// How many tasks there are.
    pub fn task_count(&self) -> usize {
        self.tasks.len()
    }

    /// Whether every task has a result.
    pub fn is_complete(&self) -> bool {
        self.done == self.tasks.len()
    }

    /// Whether any task may have run.
    pub fn certainty(&self) -> RunCertainty {
        if self.sent == 0 && self.done == 0 {
            RunCertainty::NotRun
        } else {
            RunCertainty::MayHaveRun
        }
    }

    /// Takes the next ready task and marks it as ordered from `worker`.
    pub fn send_next(&mut self, worker: WorkerKey) -> Option<(TaskIndex, Payload)> {
        let index = self.ready.pop_front()?;
        let task = &mut self.tasks[usize::from(index.0)];
        task.state = TaskState::Sent(worker);
        self.sent += 1;
        Some((index, task.payload.clone()))
    }

    fn sent_task(&mut self, index: TaskIndex, worker: WorkerKey) -> Option<&mut Task> {
        let task = self.tasks.get_mut(usize::from(index.0))?;
        (task.state == TaskState::Sent(worker)).then_some(task)
    }

    /// Records a result; anything but the ordered worker's first is ignored.
    pub fn finish(&mut self, index: TaskIndex, worker: WorkerKey, result: Payload) -> bool {
        let Some(task) = self.sent_task(index, worker) else {
            return false;
        };
        task.state = TaskState::Done(result);
        task.payload = Payload::default();
        self.sent -= 1;
        self.done += 1;
        true
    }

    /// Makes a task ready again after its worker proved that it never
    /// started; returns how often it has been moved.
    pub fn hand_back(&mut self, index: TaskIndex, worker: WorkerKey) -> Option<u8> {
        let task = self.sent_task(index, worker)?;
        task.state = TaskState::Ready;
        task.moves = task.moves.saturating_add(1);
        let moves = task.moves;
        self.sent -= 1;
        self.ready.push_front(index);
        Some(moves)
    }

    /// The results in task order, once complete.
    pub fn results(&self) -> Option<Arc<[Payload]>> {
        let result = |task: &Task| match &task.state {
            TaskState::Done(result) => Some(result.clone()),
            TaskState::Ready | TaskState::Sent(_) => None,
        };
        self.tasks.iter().map(result).collect()
    }

    /// The workers that hold tasks of this job.
    pub fn workers(&self) -> Vec<WorkerKey> {
        let mut workers: Vec<WorkerKey> = self
            .tasks
            .iter()
            .filter_map(|task| match task.state {
                TaskState::Sent(worker) => Some(worker),
                TaskState::Ready | TaskState::Done(_) => None,
            })
            .collect();
        workers.sort_unstable();
        workers.dedup();
        workers
    }
}
