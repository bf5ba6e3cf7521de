//! Tasks of entries: refused, held, started on the target, stopped and reported.

use lagoonhill_protocol::{Message, NotRunReason, Outcome, Start, Target, TaskResult};
use lagoonhill_types::prelude::*;

use super::Agent;
use crate::Session;
use crate::agent::{AgentEffect, EntryKey, HeldTask, TaskKey, TaskPhase, UnstoredEnd};

/// Most failed jobs that are counted.
const MAX_FAILED_JOBS: usize = 16;

/// Shortest time between two pings to an entry whose tasks wait to be confirmed.
const PING_RETRY_MS: DurationMs = DurationMs(50);

impl Agent {
    /// Handles the end of a run.
    pub fn finished(&mut self, key: TaskKey, result: TaskResult, now: TimestampMs) {
        let Some(task) = self.tasks.remove(key) else {
            return;
        };
        let (TaskPhase::Running { started_ms } | TaskPhase::Stopping { started_ms }) = task.phase
        else {
            return;
        };
        self.running -= 1;
        self.used = self.used - task.start.needs;
        self.count_failure(&task, &result);
        if matches!(result, TaskResult::Done(_)) && task.start.is_learned {
            let run_ms = now.since(started_ms);
            self.speed.observe(run_ms, task.start.nominal_ms, now);
        }
        let run_ms = match result {
            TaskResult::NotRun(_) => DurationMs::ZERO,
            _ => now.since(started_ms),
        };
        let result = self.result_for(task.entry, result);
        self.track_end(key, &task, &result, now);
        self.report(&task, run_ms, result);
        self.start_waiting(now);
    }

    /// Records the end of a durable job's run until its entry has stored it.
    /// Without the session that dispatched it, it is never stored: it is discarded.
    fn track_end(&mut self, key: TaskKey, task: &HeldTask, result: &TaskResult, now: TimestampMs) {
        let must_store = matches!(result, TaskResult::Done(_) | TaskResult::Failed(_));
        if !task.start.durable || !must_store {
            return;
        }
        let end = UnstoredEnd::new(key, task.session, &task.start, now);
        let session = self
            .entries
            .get(task.entry)
            .and_then(|link| link.session.as_ref());
        if session.is_some_and(|open| open.id() == task.session) {
            self.unstored_ends.push(end);
        } else {
            self.effects.push(AgentEffect::DiscardEnd { end });
        }
    }

    /// Handles that an entry has stored, or will never store, the oldest open end of
    /// each of these tasks.
    pub(super) fn resolve_ends(&mut self, tasks: &[TaskId], is_stored: bool) {
        for task in tasks {
            if let Some(end) = self.unstored_ends.pop_oldest(*task) {
                self.effects.push(if is_stored {
                    AgentEffect::EndStored { end }
                } else {
                    AgentEffect::DiscardEnd { end }
                });
            }
        }
    }

    /// Counts jobs, not tasks: several failed tasks of one job point to a fault of
    /// the job and not of the target.
    fn count_failure(&mut self, task: &HeldTask, result: &TaskResult) {
        match result {
            TaskResult::Done(_) => self.failed_jobs.clear(),
            TaskResult::Failed(_) | TaskResult::NotRun(NotRunReason::TargetUnhealthy)
                if self.failed_jobs.len() < MAX_FAILED_JOBS =>
            {
                self.failed_jobs.insert(task.start.task.job);
            }
            TaskResult::Failed(_)
            | TaskResult::NotRun(_)
            | TaskResult::MayHaveRun(_)
            | TaskResult::Interrupted(_) => {}
        }
    }

    /// Drops a waiting task without a report, or stops a running one.
    pub(super) fn drop_or_stop(&mut self, key: TaskKey) {
        match self.tasks[key].phase {
            TaskPhase::Waiting => {
                self.waiting.retain(|waiting| *waiting != key);
                let task = self.tasks.remove(key).expect("the task was just looked up");
                self.release(&task);
            }
            TaskPhase::Running { started_ms } => {
                self.tasks[key].phase = TaskPhase::Stopping { started_ms };
                self.effects.push(AgentEffect::Stop { key });
            }
            TaskPhase::Stopping { .. } => {}
        }
    }

    pub(super) fn on_start(&mut self, entry: EntryKey, start: Start, now: TimestampMs) {
        let refusal = self.refuse_start(entry, &start, now);
        let link = &mut self.entries[entry];
        let Some(session) = link.session.as_ref().map(Session::id) else {
            return;
        };
        link.hold(start.needs.processors);
        let task = HeldTask {
            entry,
            session,
            start,
            arrived_ms: now,
            phase: TaskPhase::Waiting,
        };
        if let Some(reason) = refusal {
            return self.report(&task, DurationMs::ZERO, TaskResult::NotRun(reason));
        }
        let key = self.tasks.insert(task);
        self.waiting.push_back(key);
    }

    fn refuse_start(&self, key: EntryKey, start: &Start, now: TimestampMs) -> Option<NotRunReason> {
        if self.leaving {
            return Some(NotRunReason::Leaving);
        }
        if self.is_zone_drained() {
            return Some(self.drain_reason(key));
        }
        let Some(target) = &self.target else {
            return Some(NotRunReason::NoTarget);
        };
        if self.is_expired(key, start, now) {
            return Some(NotRunReason::Expired);
        }
        if !start.needs.fits_in(target.capacity) {
            return Some(NotRunReason::Full);
        }
        let limit = usize::from(target.slots.0) + usize::from(self.config.overcommit);
        let too_many = self.tasks.len() >= limit;
        let too_long = self.waiting.len() >= usize::from(self.config.overcommit);
        (too_many || too_long && !self.has_capacity(start.needs, target))
            .then_some(NotRunReason::Full)
    }

    /// Whether the target has a free slot and the resources for one more task.
    fn has_capacity(&self, needs: Resources, target: &Target) -> bool {
        self.running < target.slots.0 && (self.used + needs).fits_in(target.capacity)
    }

    /// Whether the entry was confirmed alive recently enough for it to rely on
    /// what it dispatched. A task that was delayed on its way waits for an answer
    /// to a ping: its entry may have abandoned the worker since.
    fn is_confirmed(&self, key: EntryKey, now: TimestampMs) -> bool {
        let session = self.entries.get(key).and_then(|link| link.session.as_ref());
        let timing = self.config.timing;
        let max_age_ms = timing.start_lease_ms.min(timing.run_lease_ms * 3 / 4);
        session.is_some_and(|open| now.since(open.alive_ms()) <= max_age_ms)
    }

    fn is_expired(&self, key: EntryKey, start: &Start, now: TimestampMs) -> bool {
        let session = self.entries.get(key).and_then(|link| link.session.as_ref());
        session
            .is_none_or(|open| open.age(start.decided_ms, now) > self.config.timing.start_lease_ms)
    }

    pub(super) fn on_cancel(&mut self, entry: EntryKey, job: JobId) {
        let cancelled: Vec<TaskKey> = self
            .tasks
            .iter()
            .filter(|(_, task)| task.entry == entry && task.start.task.job == job)
            .map(|(key, _)| key)
            .collect();
        for key in cancelled {
            self.cancel_task(key);
        }
    }

    pub(super) fn on_withdraw(&mut self, entry: EntryKey, id: TaskId) {
        let found = self
            .tasks
            .iter()
            .find(|(_, task)| task.entry == entry && task.start.task == id);
        if let Some((key, _)) = found {
            self.cancel_task(key);
        }
    }

    /// Withdraws a waiting task or stops a running one; its outcome is reported.
    fn cancel_task(&mut self, key: TaskKey) {
        if self.tasks[key].phase == TaskPhase::Waiting {
            self.withdraw(key, NotRunReason::Cancelled);
        } else {
            self.drop_or_stop(key);
        }
    }

    pub(super) fn withdraw(&mut self, key: TaskKey, reason: NotRunReason) {
        self.waiting.retain(|waiting| *waiting != key);
        if let Some(task) = self.tasks.remove(key) {
            self.report(&task, DurationMs::ZERO, TaskResult::NotRun(reason));
        }
    }

    /// Returns the waiting tasks that would not fit even if nothing else ran: they would
    /// hold up those behind them.
    pub(super) fn withdraw_larger_than(&mut self, capacity: Resources) {
        let is_larger = |key: &TaskKey| !self.tasks[*key].start.needs.fits_in(capacity);
        let larger: Vec<TaskKey> = self.waiting.iter().copied().filter(is_larger).collect();
        for key in larger {
            self.withdraw(key, NotRunReason::Full);
        }
    }

    pub(super) fn withdraw_all_waiting(&mut self, reason: NotRunReason) {
        for key in std::mem::take(&mut self.waiting) {
            if let Some(task) = self.tasks.remove(key) {
                self.report(&task, DurationMs::ZERO, TaskResult::NotRun(reason));
            }
        }
    }

    fn release(&mut self, task: &HeldTask) {
        if let Some(link) = self.entries.get_mut(task.entry) {
            link.release(task.start.needs.processors);
        }
    }

    /// Reports to the session that dispatched the task, if it is still open.
    pub(super) fn report(&mut self, task: &HeldTask, run_ms: DurationMs, result: TaskResult) {
        self.release(task);
        let session = self
            .entries
            .get_mut(task.entry)
            .and_then(|link| link.session.as_mut());
        let Some(session) = session.filter(|open| open.id() == task.session) else {
            return;
        };
        session.push(Message::Outcome(Outcome {
            task: task.start.task,
            run_ms,
            result,
        }));
    }

    /// Starts waiting tasks while the target has free capacity. Checks the start
    /// lease again: the process may have been frozen since the task arrived.
    pub(super) fn start_waiting(&mut self, now: TimestampMs) {
        let Some(target) = self.target.clone() else {
            return;
        };
        let mut position = 0;
        while let Some(&key) = self.waiting.get(position) {
            match self.readiness(key, &target, now) {
                Readiness::Expired => self.withdraw(key, NotRunReason::Expired),
                Readiness::Unconfirmed => {
                    let entry = self.tasks[key].entry;
                    if let Some(session) = self.session_mut(entry) {
                        session.request_ping(PING_RETRY_MS, now);
                    }
                    position += 1;
                }
                Readiness::NoCapacity => return,
                Readiness::Ready => {
                    self.waiting.remove(position);
                    self.start_on_target(key, target.clone(), now);
                }
            }
        }
    }

    fn readiness(&self, key: TaskKey, target: &Target, now: TimestampMs) -> Readiness {
        let task = &self.tasks[key];
        let is_confirmed = self.is_confirmed(task.entry, now);
        let waited_ms = now.since(task.arrived_ms);
        if self.is_expired(task.entry, &task.start, now)
            || !is_confirmed && waited_ms > self.config.timing.start_lease_ms
        {
            Readiness::Expired
        } else if !is_confirmed {
            Readiness::Unconfirmed
        } else if self.has_capacity(task.start.needs, target) {
            Readiness::Ready
        } else {
            Readiness::NoCapacity
        }
    }

    fn start_on_target(&mut self, key: TaskKey, target: Target, now: TimestampMs) {
        let task = &mut self.tasks[key];
        task.phase = TaskPhase::Running { started_ms: now };
        let start = task.start.clone();
        self.running += 1;
        self.used = self.used + start.needs;
        self.effects.push(AgentEffect::Run { key, start, target });
    }
}

/// Whether a waiting task may start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Readiness {
    /// No: it was on its way or has waited for too long.
    Expired,
    /// Not until its entry is confirmed alive.
    Unconfirmed,
    /// Not until the target has free capacity.
    NoCapacity,
    /// Yes.
    Ready,
}
