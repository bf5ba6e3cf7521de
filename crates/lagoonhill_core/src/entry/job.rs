//! An admitted job: its steps, task states and promise.

use std::collections::VecDeque;
use std::sync::Arc;

use lagoonhill_protocol::TargetAnswered;
use lagoonhill_rules::Class;
use lagoonhill_types::prelude::*;
use slotmap::new_key_type;

use super::{
    CallerId, DelayCost, DurableState, HeldName, JobTerms, Needs, Progress, QueuePosition,
    RecordKey, ResolvedLoss, RunCertainty, Step, TaskCrash, TaskCrashes, Verdict, WorkerKey,
};

new_key_type! {
    /// Identifies a job within an entry.
    pub struct JobKey;
}

/// State of one task of a job.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TaskState {
    /// Waiting for earlier steps, or queued; known not to be running.
    Ready,
    /// Dispatched to this worker; may have started.
    Sent(WorkerKey),
    /// In doubt: its worker was lost and may run it until this time.
    InDoubt(TimestampMs),
    /// Ended successfully with this result.
    Done(Payload),
}

#[derive(Debug)]
struct Task {
    step: u16,
    payload: Payload,
    state: TaskState,
    moves: u8,
    runs: u32,
    /// The worker of each failed run.
    failed_on: Vec<WorkerKey>,
    /// Number of failed runs under earlier owners.
    failed_before: u16,
    /// Crashes of workers under the task, also under earlier owners.
    crashes: TaskCrashes,
    /// When a worker last crashed under it here.
    crashed_ms: Option<TimestampMs>,
}

impl Task {
    fn failures(&self) -> usize {
        self.failed_on.len() + usize::from(self.failed_before)
    }
}

#[derive(Debug)]
struct StepProgress {
    step: Step,
    first_index: u16,
    done: u16,
    released: bool,
}

/// Queue settings of a job that was submitted to a queue.
#[derive(Clone, Debug)]
pub struct QueueSettings {
    /// Name of the queue.
    pub queue: QueueName,
    /// Name that the caller gave to the job.
    pub name: RequestKey,
    /// Number of failed runs of one task after which the job fails. `None` until the
    /// job's terms are known.
    pub attempts: Option<u16>,
}

/// What follows for a task after an unsuccessful run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AfterRun {
    /// It is ready to run again.
    Ready,
    /// It has no attempt left.
    Exhausted,
    /// It waits until the job's terms are known.
    Withheld,
    /// It waits until the losses of workers under it are resolved.
    Awaited,
}

/// Properties of a job that are fixed at its admission.
#[derive(Debug)]
pub struct JobPlan {
    /// Identifier of the job.
    pub id: JobId,
    /// Service that runs the tasks.
    pub service: ServiceName,
    /// Team that submitted the job.
    pub team: TeamName,
    /// The scheduling class.
    pub class: Class,
    /// Time of the admission.
    pub accepted_ms: TimestampMs,
    /// Time allowed for the answer, from the admission.
    pub deadline_ms: DurationMs,
    /// Time limit of one run on a target.
    pub run_limit_ms: DurationMs,
    /// Queue settings, if it was submitted to a queue.
    pub queue_settings: Option<QueueSettings>,
}

/// Times that follow from what a queue promises for a job.
#[derive(Clone, Copy, Debug)]
pub struct Promise {
    /// Time by which the job is to be complete.
    pub due_ms: TimestampMs,
    /// Latest start of a task that still meets `due_ms`.
    pub latest_start_ms: TimestampMs,
    /// Latest start of a task before the job is past its usefulness limit.
    pub last_useful_start_ms: TimestampMs,
}

/// An admitted job: it completes with the results of all tasks, or fails as a whole.
#[derive(Debug)]
pub struct Job {
    /// Properties fixed at its admission.
    pub plan: JobPlan,
    /// Callers that wait for the answer.
    pub callers: Vec<CallerId>,
    /// Ticket or key under which it was submitted.
    pub record: Option<RecordKey>,
    /// Lease on its name, if it has one.
    pub held_name: Option<HeldName>,
    /// Durable state; present if the job is durable.
    pub durable: Option<DurableState>,
    /// Cost of delaying it, among the jobs of its team.
    pub cost: DelayCost,
    /// The promise of its queue, if there is one.
    pub promise: Option<Promise>,
    tasks: Vec<Task>,
    steps: Vec<StepProgress>,
    ready: VecDeque<TaskIndex>,
    /// Tasks that have failed and wait until the job's terms are known.
    withheld: Vec<TaskIndex>,
    /// Tasks that wait until the losses of workers under them are resolved.
    awaited: Vec<TaskIndex>,
    done: usize,
    sent: usize,
    has_run: bool,
}

/// A run taken from a job for dispatch to a worker.
#[derive(Debug)]
pub struct NextRun {
    /// Index of the task in the job.
    pub index: TaskIndex,
    /// Number of this run of the task.
    pub run: RunNumber,
    /// Name of the task as sent to the target; only in jobs of a queue.
    pub name: Option<TaskName>,
    /// Resources that the run takes.
    pub needs: Resources,
    /// Input of the task.
    pub payload: Payload,
}

impl Job {
    /// Creates a job with its first steps ready; payloads are divided in step order.
    pub fn new(plan: JobPlan, steps: Vec<Step>, payloads: Vec<Payload>) -> Self {
        let mut first_index = 0;
        let mut progress = Vec::with_capacity(steps.len());
        let mut step_of = Vec::with_capacity(payloads.len());
        for (position, step) in (0_u16..).zip(steps) {
            let count = step.count;
            step_of.extend((0..count).map(|_| position));
            progress.push(StepProgress {
                step,
                first_index,
                done: 0,
                released: false,
            });
            first_index = first_index.saturating_add(count);
        }
        let task = |(step, payload)| Task {
            step,
            payload,
            state: TaskState::Ready,
            moves: 0,
            runs: 0,
            failed_on: Vec::new(),
            failed_before: 0,
            crashes: TaskCrashes::default(),
            crashed_ms: None,
        };
        let cost = DelayCost::useful(plan.accepted_ms.0, plan.id.number);
        let mut job = Self {
            plan,
            callers: Vec::new(),
            record: None,
            held_name: None,
            durable: None,
            cost,
            promise: None,
            tasks: step_of.into_iter().zip(payloads).map(task).collect(),
            steps: progress,
            ready: VecDeque::new(),
            withheld: Vec::new(),
            awaited: Vec::new(),
            done: 0,
            sent: 0,
            has_run: false,
        };
        job.release_steps();
        job
    }

    /// Makes the tasks of each step ready once the steps before it are done;
    /// returns how many became ready.
    fn release_steps(&mut self) -> usize {
        let mut released = 0;
        for position in 0..self.steps.len() {
            let progress = &self.steps[position];
            let is_done = |earlier: &u16| {
                let earlier = &self.steps[usize::from(*earlier)];
                earlier.done == earlier.step.count
            };
            if progress.released || !progress.step.after.iter().all(is_done) {
                continue;
            }
            let (first_index, count) = (progress.first_index, progress.step.count);
            self.ready
                .extend((first_index..first_index + count).map(TaskIndex));
            self.steps[position].released = true;
            released += usize::from(count);
        }
        released
    }

    /// Name that the caller gave to the job, or its request key.
    pub fn name(&self) -> Option<RequestKey> {
        let queue_settings = self.plan.queue_settings.as_ref();
        let key = || self.record.as_ref().and_then(RecordKey::request);
        queue_settings
            .map(|settings| settings.name.clone())
            .or_else(key)
    }

    /// Position of the job in the queue.
    pub fn queue_position(&self, key: JobKey) -> QueuePosition {
        QueuePosition {
            class: self.plan.class,
            team: self.plan.team.clone(),
            cost: self.cost,
            job: key,
        }
    }

    /// Time by which the answer is due.
    pub fn due_ms(&self) -> TimestampMs {
        self.plan.accepted_ms + self.plan.deadline_ms
    }

    /// Whether the job is durable.
    pub fn is_durable(&self) -> bool {
        self.durable.is_some()
    }

    /// Whether the job is durable and has been stored.
    pub fn is_accepted(&self) -> bool {
        self.durable
            .as_ref()
            .is_some_and(|durable| durable.is_stored)
    }

    /// Whether its final state is decided; it may not be stored yet.
    pub fn is_ending(&self) -> bool {
        let durable = self.durable.as_ref();
        durable.is_some_and(|durable| durable.final_state.is_some())
    }

    /// Records the reported end of a task for the next write to the store.
    pub fn add_unstored_end(&mut self, task: TaskId, worker: WorkerKey) {
        if let Some(durable) = &mut self.durable {
            durable.unstored_ends.push((task, worker));
            durable.dirty = true;
        }
    }

    /// Progress in stored format.
    pub fn progress(&self) -> Progress {
        let tasks = || (0_u16..).map(TaskIndex).zip(&self.tasks);
        let is_done = |task: &Task| matches!(task.state, TaskState::Done(_));
        let failures = |task: &Task| u16::try_from(task.failures()).unwrap_or(u16::MAX);
        Progress {
            done: tasks()
                .filter(|(_, task)| is_done(task))
                .map(|(index, _)| index)
                .collect(),
            failed: tasks()
                .filter(|(_, task)| task.failures() > 0)
                .map(|(index, task)| (index, failures(task)))
                .collect(),
            crashed: tasks()
                .filter(|(_, task)| !task.crashes.is_empty() && !is_done(task))
                .map(|(index, task)| (index, task.crashes.clone()))
                .collect(),
        }
    }

    /// Sets the run numbers of a durable job to the range of the owner `epoch`.
    pub fn start_run_numbers(&mut self, epoch: u32) {
        for task in &mut self.tasks {
            task.runs = RunNumber::before_epoch(epoch).0;
        }
    }

    /// Restores the progress that an earlier owner stored. That owner's runs may
    /// go on until `in_doubt_until_ms`; returns the tasks that are in doubt until then.
    pub fn resume(
        &mut self,
        progress: &Progress,
        in_doubt_until_ms: TimestampMs,
    ) -> Vec<TaskIndex> {
        for index in &progress.done {
            let Some(task) = self.tasks.get_mut(usize::from(index.0)) else {
                continue;
            };
            if matches!(task.state, TaskState::Ready) {
                task.state = TaskState::Done(Payload::default());
                self.done += 1;
                self.steps[usize::from(task.step)].done += 1;
            }
        }
        for (index, count) in &progress.failed {
            if let Some(task) = self.tasks.get_mut(usize::from(index.0)) {
                task.failed_before = *count;
            }
        }
        for (index, crashes) in &progress.crashed {
            if let Some(task) = self.tasks.get_mut(usize::from(index.0)) {
                task.crashes = crashes.clone();
            }
        }
        self.release_steps();
        self.has_run = true;
        let is_open =
            |index: &TaskIndex| matches!(self.tasks[usize::from(index.0)].state, TaskState::Ready);
        let ready: Vec<TaskIndex> = self.ready.drain(..).collect();
        let in_doubt: Vec<TaskIndex> = ready.into_iter().filter(is_open).collect();
        for index in &in_doubt {
            self.tasks[usize::from(index.0)].state = TaskState::InDoubt(in_doubt_until_ms);
        }
        in_doubt
    }

    /// Removes all ready tasks from the queue; they are not queued again.
    pub fn clear_ready(&mut self) {
        self.ready.clear();
        self.withheld.clear();
        self.awaited.clear();
    }

    /// Whether tasks may run again after an unsuccessful run.
    pub fn may_rerun(&self) -> bool {
        self.plan.queue_settings.is_some()
    }

    /// Number of failed runs of one task after which the job fails. `None` while the
    /// job's terms are not known.
    pub fn attempts(&self) -> Option<u16> {
        let queue_settings = self.plan.queue_settings.as_ref();
        queue_settings.map_or(Some(1), |settings| settings.attempts)
    }

    /// Number of tasks that wait until the job's terms are known.
    pub fn withheld_count(&self) -> usize {
        self.withheld.len()
    }

    /// Sets the terms of a durable job whose record has none. Returns how many withheld
    /// tasks became ready, or the first that has no attempt left.
    pub fn set_terms(&mut self, terms: JobTerms) -> Result<usize, TaskIndex> {
        if let Some(settings) = &mut self.plan.queue_settings {
            settings.attempts = Some(terms.attempts);
        }
        if let Some(durable) = &mut self.durable {
            durable.terms = Some(terms);
            durable.dirty = true;
        }
        let withheld = std::mem::take(&mut self.withheld);
        let failures = |index: &TaskIndex| self.tasks[usize::from(index.0)].failures();
        let is_exhausted = |index: &&TaskIndex| failures(index) >= usize::from(terms.attempts);
        if let Some(index) = withheld.iter().find(is_exhausted) {
            return Err(*index);
        }
        let count = withheld.len();
        self.ready.extend(withheld);
        Ok(count)
    }

    /// Makes a task ready, or withholds it: it has failed, and how often it may is not
    /// known, or whether it has crashed its workers is not.
    fn make_ready(&mut self, index: TaskIndex) -> AfterRun {
        let attempts = self.attempts();
        let task = &mut self.tasks[usize::from(index.0)];
        task.state = TaskState::Ready;
        if attempts.is_none() && task.failures() > 0 {
            self.withheld.push(index);
            return AfterRun::Withheld;
        }
        if task.crashes.verdict() == Verdict::Awaited {
            self.awaited.push(index);
            return AfterRun::Awaited;
        }
        self.ready.push_front(index);
        AfterRun::Ready
    }

    /// Number of tasks.
    pub fn task_count(&self) -> usize {
        self.tasks.len()
    }

    /// Number of tasks that are ready to be dispatched.
    pub fn ready_count(&self) -> usize {
        self.ready.len()
    }

    /// Whether every task has a result.
    pub fn is_complete(&self) -> bool {
        self.done == self.tasks.len()
    }

    /// Whether any task has been dispatched to a worker.
    pub fn has_started(&self) -> bool {
        self.has_run || self.sent > 0 || self.done > 0
    }

    /// Whether a run of any task may still go on.
    pub fn may_be_running(&self) -> bool {
        let may_run =
            |task: &Task| matches!(task.state, TaskState::Sent(_) | TaskState::InDoubt(_));
        self.tasks.iter().any(may_run)
    }

    /// Whether any task may have run.
    pub fn certainty(&self) -> RunCertainty {
        if self.has_started() {
            RunCertainty::MayHaveRun
        } else {
            RunCertainty::NotRun
        }
    }

    /// Requirements of the next ready task.
    pub fn next_needs(&self) -> Option<&Needs> {
        let index = self.ready.front()?;
        let task = &self.tasks[usize::from(index.0)];
        Some(&self.steps[usize::from(task.step)].step.needs)
    }

    /// Requirements of each step.
    pub fn needs(&self) -> impl Iterator<Item = &Needs> {
        self.steps.iter().map(|progress| &progress.step.needs)
    }

    /// Declared run time of the next ready task; zero when unknown.
    pub fn next_declared_ms(&self) -> DurationMs {
        let step = self
            .ready
            .front()
            .map(|index| usize::from(self.tasks[usize::from(index.0)].step));
        step.map_or(DurationMs::ZERO, |step| self.steps[step].step.estimate_ms)
    }

    /// Whether the next ready task has failed on a worker.
    pub fn next_failed_on(&self, worker: WorkerKey) -> bool {
        self.ready
            .front()
            .is_some_and(|index| self.tasks[usize::from(index.0)].failed_on.contains(&worker))
    }

    /// Whether any task has failed on another worker than this one.
    pub fn has_failed_elsewhere(&self, worker: WorkerKey) -> bool {
        let mut failed_on = self.tasks.iter().flat_map(|task| &task.failed_on);
        failed_on.any(|failed_on| *failed_on != worker)
    }

    /// Number of tasks of the next ready task's step that `worker` holds.
    pub fn step_tasks_at(&self, worker: WorkerKey) -> u16 {
        let Some(index) = self.ready.front() else {
            return 0;
        };
        let step = self.tasks[usize::from(index.0)].step;
        let held = |task: &&Task| task.step == step && task.state == TaskState::Sent(worker);
        u16::try_from(self.tasks.iter().filter(held).count()).unwrap_or(u16::MAX)
    }

    /// Takes the next ready task and marks it as dispatched to `worker`.
    pub fn dispatch_next(&mut self, worker: WorkerKey) -> Option<NextRun> {
        let index = self.ready.pop_front()?;
        let task = &mut self.tasks[usize::from(index.0)];
        task.state = TaskState::Sent(worker);
        task.runs += 1;
        self.sent += 1;
        let progress = &self.steps[usize::from(task.step)];
        let name = self.plan.queue_settings.as_ref().map(|settings| TaskName {
            job: settings.name.clone(),
            step: task.step,
            index: index.0 - progress.first_index,
        });
        Some(NextRun {
            index,
            run: RunNumber(task.runs),
            name,
            needs: progress.step.needs.resources,
            payload: task.payload.clone(),
        })
    }

    fn sent_task(&mut self, index: TaskIndex, worker: WorkerKey) -> Option<&mut Task> {
        let task = self.tasks.get_mut(usize::from(index.0))?;
        (task.state == TaskState::Sent(worker)).then_some(task)
    }

    /// Records a result; all but the first from the worker that holds the task
    /// are ignored. Returns how many tasks of later steps became ready.
    pub fn finish(
        &mut self,
        index: TaskIndex,
        worker: WorkerKey,
        result: Payload,
    ) -> Option<usize> {
        let task = self.sent_task(index, worker)?;
        task.state = TaskState::Done(result);
        task.payload = Payload::default();
        let step = usize::from(task.step);
        self.sent -= 1;
        self.done += 1;
        self.steps[step].done += 1;
        Some(self.release_steps())
    }

    /// Makes a task ready that was returned unstarted; returns its number of moves.
    pub fn return_unstarted(&mut self, index: TaskIndex, worker: WorkerKey) -> Option<u8> {
        let task = self.sent_task(index, worker)?;
        task.state = TaskState::Ready;
        task.moves = task.moves.saturating_add(1);
        let moves = task.moves;
        self.sent -= 1;
        self.ready.push_front(index);
        Some(moves)
    }

    /// Makes a task ready again after an unsuccessful run, unless it is to be withheld.
    /// `None` if `worker` does not hold the task.
    pub fn requeue(
        &mut self,
        index: TaskIndex,
        worker: WorkerKey,
        failed: bool,
    ) -> Option<AfterRun> {
        let attempts = self.attempts();
        let task = self.sent_task(index, worker)?;
        if failed {
            task.failed_on.push(worker);
        }
        let failures = task.failures();
        let is_exhausted = attempts.is_some_and(|attempts| failures >= usize::from(attempts));
        self.sent -= 1;
        self.has_run = true;
        let after_run = self.make_ready(index);
        Some(if failed && is_exhausted {
            AfterRun::Exhausted
        } else {
            after_run
        })
    }

    /// Counts a crash of the worker that holds a task. Returns the crashes so far;
    /// `None` if the worker does not hold the task.
    pub fn add_crash(
        &mut self,
        index: TaskIndex,
        worker: WorkerKey,
        crash: TaskCrash,
        now: TimestampMs,
    ) -> Option<&TaskCrashes> {
        self.sent_task(index, worker)?;
        if let Some(durable) = &mut self.durable {
            durable.dirty = true;
        }
        let task = &mut self.tasks[usize::from(index.0)];
        task.crashed_ms = Some(now);
        task.crashes.add(crash);
        Some(&task.crashes)
    }

    /// Crashes of workers under a task.
    pub fn crashes(&self, index: TaskIndex) -> Option<&TaskCrashes> {
        let task = self.tasks.get(usize::from(index.0))?;
        Some(&task.crashes)
    }

    /// Whether losses of workers under any task are not resolved.
    pub fn has_unresolved_losses(&self) -> bool {
        let is_unresolved = |task: &Task| !task.crashes.unresolved.is_empty();
        self.tasks.iter().any(is_unresolved)
    }

    /// Resolves the losses that the last answer of a worker's target tells of.
    pub fn resolve_losses(
        &mut self,
        worker: &WorkerId,
        agent: Incarnation,
        answered: &TargetAnswered,
    ) -> Vec<(TaskIndex, ResolvedLoss)> {
        let mut resolved = Vec::new();
        for (index, task) in (0_u16..).map(TaskIndex).zip(&mut self.tasks) {
            let of_task = task.crashes.resolve(worker, agent, answered);
            resolved.extend(of_task.into_iter().map(|loss| (index, loss)));
        }
        if let Some(durable) = &mut self.durable {
            durable.dirty |= !resolved.is_empty();
        }
        resolved
    }

    /// Whether a task waits until losses are resolved.
    pub fn awaits_losses(&self, index: TaskIndex) -> bool {
        self.awaited.contains(&index)
    }

    /// Makes a task ready that waits until losses are resolved; returns whether it did.
    pub fn release_awaited(&mut self, index: TaskIndex) -> bool {
        let Some(position) = self.awaited.iter().position(|awaited| *awaited == index) else {
            return false;
        };
        self.awaited.swap_remove(position);
        self.ready.push_front(index);
        true
    }

    /// Whether a worker has crashed under the next ready task.
    pub fn is_next_suspect(&self) -> bool {
        let next = self.ready.front();
        next.is_some_and(|index| !self.tasks[usize::from(index.0)].crashes.is_empty())
    }

    /// When a worker last crashed under the next ready task here.
    pub fn next_crashed_ms(&self) -> Option<TimestampMs> {
        let index = self.ready.front()?;
        self.tasks[usize::from(index.0)].crashed_ms
    }

    /// Marks a task of a lost worker as in doubt: it may run until `in_doubt_until_ms`.
    pub fn mark_in_doubt(
        &mut self,
        index: TaskIndex,
        worker: WorkerKey,
        in_doubt_until_ms: TimestampMs,
    ) -> bool {
        let Some(task) = self.sent_task(index, worker) else {
            return false;
        };
        task.state = TaskState::InDoubt(in_doubt_until_ms);
        self.sent -= 1;
        self.has_run = true;
        true
    }

    /// Makes a task ready again if its time in doubt is over, unless it is to be
    /// withheld. `None` if it is in doubt still, or was not.
    pub fn resolve_in_doubt(&mut self, index: TaskIndex, now: TimestampMs) -> Option<AfterRun> {
        let task = self.tasks.get(usize::from(index.0))?;
        let is_resolved =
            matches!(task.state, TaskState::InDoubt(in_doubt_until_ms) if in_doubt_until_ms <= now);
        is_resolved.then(|| self.make_ready(index))
    }

    /// The results in task order, once the job is complete.
    pub fn results(&self) -> Option<Arc<[Payload]>> {
        let result = |task: &Task| match &task.state {
            TaskState::Done(result) => Some(result.clone()),
            TaskState::Ready | TaskState::Sent(_) | TaskState::InDoubt(_) => None,
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
                TaskState::Ready | TaskState::InDoubt(_) | TaskState::Done(_) => None,
            })
            .collect();
        workers.sort_unstable();
        workers.dedup();
        workers
    }
}
