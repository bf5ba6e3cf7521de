//! Task outcomes: results, moves and reruns, learned run times, worker health.

use lagoonhill_protocol::{Interruption, Message, NotRunReason, Outcome, TaskResult};
use lagoonhill_types::prelude::*;

use super::Entry;
use crate::entry::{
    AfterRun, Cause, DecisionKind, DispatchedTask, Health, JobKey, Placement, Suspicion, Worker,
    WorkerKey,
};

/// A probe that took more than this many times the nominal run time has failed.
const SLOW_PROBE_FACTOR: u64 = 3;

impl<P: Placement> Entry<P> {
    pub(super) fn on_outcome(&mut self, key: WorkerKey, outcome: Outcome, now: TimestampMs) {
        let Outcome {
            task,
            run_ms,
            result,
        } = outcome;
        let Some(worker) = self.fleet.get_mut(key) else {
            return;
        };
        let Some(dispatched) = worker.remove_dispatched(task) else {
            return;
        };
        let worker = worker.id.clone();
        self.release_quota(&dispatched.team);
        if matches!(result, TaskResult::Done(_)) {
            self.containment.retract_crash(&worker);
        }
        self.learn(key, task.job, &dispatched, &result, run_ms, now);
        let must_store =
            dispatched.durable && matches!(result, TaskResult::Done(_) | TaskResult::Failed(_));
        let Some(&job_key) = self.by_job.get(&task.job) else {
            if must_store {
                self.answer_unknown_end(task, key, dispatched.is_abandoned);
            }
            return;
        };
        let index = task.index;
        if must_store {
            self.jobs[job_key].add_unstored_end(task, key);
        }
        match result {
            TaskResult::Done(payload) => {
                let job = &mut self.jobs[job_key];
                let Some(released) = job.finish(index, key, payload) else {
                    return self.schedule_save(job_key, now);
                };
                if dispatched.suspicion != Suspicion::None {
                    let kind = DecisionKind::Cleared { worker };
                    self.log_decision(now, Some(task.job), Some(index), kind);
                }
                let job = &self.jobs[job_key];
                if job.is_complete() {
                    self.complete_job(job_key, now);
                } else if released > 0 && !job.is_ending() {
                    self.enqueue(job_key, released);
                }
                self.schedule_save(job_key, now);
            }
            TaskResult::Failed(message) if self.jobs[job_key].may_rerun() => {
                self.requeue(job_key, index, key, &worker, Some(message), now);
                self.schedule_save(job_key, now);
            }
            TaskResult::Failed(message) => {
                let cause = Cause::TaskFailed {
                    index,
                    worker,
                    message,
                };
                self.fail_job(job_key, cause, now);
            }
            TaskResult::Interrupted(why) if self.jobs[job_key].may_rerun() => {
                let interruption = Interruption::from(why.as_str());
                if !dispatched.is_withdrawn {
                    self.confirm_crash(key, &dispatched.kind.service, false, now);
                }
                let kind = DecisionKind::Rerun {
                    worker: worker.clone(),
                    why,
                };
                self.log_decision(now, Some(task.job), Some(index), kind);
                let crash = self.count_crash(
                    job_key,
                    index,
                    &interruption,
                    (key, &worker),
                    &dispatched,
                    now,
                );
                self.requeue(job_key, index, key, &worker, None, now);
                if let Some(cause) = crash {
                    self.fail_job(job_key, cause, now);
                } else {
                    // The target may have answered before this outcome arrived.
                    self.resolve_losses_at(job_key, key, now);
                }
            }
            TaskResult::MayHaveRun(_) | TaskResult::Interrupted(_) => {
                self.fail_job(job_key, Cause::WorkerLost { index, worker }, now);
            }
            TaskResult::NotRun(reason) => {
                self.log_decision(
                    now,
                    Some(task.job),
                    Some(index),
                    DecisionKind::Moved { worker, reason },
                );
                self.requeue_unstarted(job_key, index, key, now);
            }
        }
    }

    /// Queues a task again, or fails its job when no attempt is left.
    fn requeue(
        &mut self,
        key: JobKey,
        index: TaskIndex,
        from: WorkerKey,
        worker: &WorkerId,
        failure: Option<String>,
        now: TimestampMs,
    ) {
        let job = &mut self.jobs[key];
        let Some(after_run) = job.requeue(index, from, failure.is_some()) else {
            return;
        };
        let (id, attempts) = (job.plan.id, job.attempts());
        if job.is_ending() {
            return job.clear_ready();
        }
        self.after_run(key, index, after_run, now);
        let Some(message) = failure else {
            return;
        };
        if after_run == AfterRun::Exhausted {
            let cause = Cause::AttemptsUsedUp {
                index,
                attempts: attempts.unwrap_or_default(),
                worker: worker.clone(),
                message,
            };
            return self.fail_job(key, cause, now);
        }
        if after_run == AfterRun::Ready {
            let kind = DecisionKind::Rerun {
                worker: worker.clone(),
                why: message,
            };
            self.log_decision(now, Some(id), Some(index), kind);
        }
    }

    /// Queues a job of which `tasks` more tasks have become ready.
    pub(super) fn enqueue(&mut self, key: JobKey, tasks: usize) {
        let job = &self.jobs[key];
        let (service, class) = (job.plan.service.clone(), job.plan.class);
        *self.queued.entry((service.clone(), class)).or_default() += tasks;
        self.queues
            .entry(service)
            .or_default()
            .insert(&job.queue_position(key));
    }

    /// Queues tasks in doubt again once their lost worker can't run them any more.
    pub(super) fn resolve_in_doubt(&mut self, now: TimestampMs) {
        while let Some(&(in_doubt_until_ms, key, index)) = self.in_doubt.first() {
            if in_doubt_until_ms > now {
                return;
            }
            self.in_doubt.pop_first();
            let job = self.jobs.get_mut(key).filter(|job| !job.is_ending());
            if let Some(after_run) = job.and_then(|job| job.resolve_in_doubt(index, now)) {
                self.after_run(key, index, after_run, now);
            }
        }
    }

    /// Queues a task again that a worker returned unstarted. Fails the job after
    /// too many moves if its tasks may not be rerun.
    pub(super) fn requeue_unstarted(
        &mut self,
        key: JobKey,
        index: TaskIndex,
        worker: WorkerKey,
        now: TimestampMs,
    ) {
        let job = &mut self.jobs[key];
        let Some(moves) = job.return_unstarted(index, worker) else {
            return;
        };
        let has_move_limit = !job.may_rerun();
        if job.is_ending() {
            return job.clear_ready();
        }
        self.enqueue(key, 1);
        if has_move_limit && moves > self.config.max_moves {
            self.fail_job(key, Cause::NoTaker { index }, now);
        }
    }

    pub(super) fn release_quota(&mut self, team: &TeamName) {
        if let Some(usage) = self.usage.get_mut(team) {
            usage.in_flight = usage.in_flight.saturating_sub(1);
        }
    }

    /// Learns run times and the worker's speed and health from an outcome.
    pub(super) fn learn(
        &mut self,
        key: WorkerKey,
        job: JobId,
        dispatched: &DispatchedTask,
        result: &TaskResult,
        run_ms: DurationMs,
        now: TimestampMs,
    ) {
        let Some(worker) = self.fleet.get_mut(key) else {
            return;
        };
        let Some(service) = worker.target.as_ref().map(|target| target.service.clone()) else {
            return;
        };
        match result {
            TaskResult::Done(_) => {
                // Compared with the nominal run time: the worker's own slowness, which
                // led to the quarantine, must not excuse a slow probe.
                if worker.health.is_quarantined()
                    && run_ms > dispatched.expected_ms * SLOW_PROBE_FACTOR
                {
                    return worker.health.postpone_probe(now);
                }
                // Run times are learned for average speed. Otherwise they would
                // depend on the choice of workers, and so would learned speeds.
                let nominal_ms = worker.slowness().to_nominal(run_ms);
                let declared_ms = dispatched.declared_ms;
                self.run_times.observe(
                    &dispatched.kind,
                    nominal_ms,
                    declared_ms,
                    dispatched.expected_ms,
                );
                if worker.health.record_success() {
                    let id = worker.id.clone();
                    self.log_decision(now, None, None, DecisionKind::Recovered { worker: id });
                }
            }
            TaskResult::Failed(_)
            | TaskResult::NotRun(NotRunReason::TargetRefused | NotRunReason::TargetUnhealthy) => {
                if self.has_failed_elsewhere(job, key) {
                    return self.clear_failures_of(job);
                }
                if let Some(worker) = self.fleet.get_mut(key) {
                    worker.health.record_failure(job, now);
                }
                self.quarantine_if_failing_alone(key, &service, now);
            }
            TaskResult::NotRun(_) | TaskResult::MayHaveRun(_) | TaskResult::Interrupted(_) => {}
        }
    }

    /// Whether a job has failed on another worker, or is over.
    fn has_failed_elsewhere(&self, job: JobId, worker: WorkerKey) -> bool {
        self.by_job
            .get(&job)
            .is_none_or(|job| self.jobs[*job].has_failed_elsewhere(worker))
    }

    /// Removes a job's failures from the health of all workers: a job that fails
    /// on several of them is at fault itself.
    fn clear_failures_of(&mut self, job: JobId) {
        for (_, worker) in self.fleet.iter_mut() {
            worker.health.remove_failures_of(job);
        }
    }

    /// Quarantines a failing worker, unless most workers of its service fail.
    pub(super) fn quarantine_if_failing_alone(
        &mut self,
        key: WorkerKey,
        service: &ServiceName,
        now: TimestampMs,
    ) {
        let is_failing = self
            .fleet
            .get(key)
            .is_some_and(|worker| worker.health.is_failing());
        if is_failing
            && !self
                .fleet
                .holds_for_majority(service, |worker| worker.health.is_failing())
        {
            self.quarantine(key, now, Health::quarantine_failing);
        }
    }

    fn quarantine(
        &mut self,
        key: WorkerKey,
        now: TimestampMs,
        start: fn(&mut Health, TimestampMs) -> DurationMs,
    ) {
        let Some(worker) = self.fleet.get_mut(key) else {
            return;
        };
        if worker.health.is_quarantined() {
            return;
        }
        let probe_in_ms = start(&mut worker.health, now);
        let worker = worker.id.clone();
        self.log_decision(
            now,
            None,
            None,
            DecisionKind::Quarantined {
                worker,
                probe_in_ms,
            },
        );
    }

    /// Updates a worker's health from its agent's report, which covers the tasks of
    /// all entries, and quarantines the worker if needed.
    pub(super) fn assess_report(&mut self, key: WorkerKey, now: TimestampMs) {
        let Some(worker) = self.fleet.get_mut(key) else {
            return;
        };
        worker
            .health
            .set_reported_failed_jobs(worker.load.failed_jobs);
        let Some(service) = worker.target.as_ref().map(|target| target.service.clone()) else {
            return;
        };
        let reports_overdue = worker.reports_overdue();
        self.quarantine_if_failing_alone(key, &service, now);
        if reports_overdue
            && !self
                .fleet
                .holds_for_majority(&service, Worker::reports_overdue)
        {
            self.quarantine(key, now, Health::quarantine_slow);
            self.withdraw_overdue(key, now);
        }
    }

    /// Withdraws from a worker the overdue tasks that may be rerun.
    fn withdraw_overdue(&mut self, key: WorkerKey, now: TimestampMs) {
        let Some(worker) = self.fleet.get_mut(key) else {
            return;
        };
        for task in worker.overdue_tasks(now) {
            let may_rerun = self
                .by_job
                .get(&task.job)
                .is_some_and(|job| self.jobs[*job].may_rerun());
            if !may_rerun {
                continue;
            }
            worker.mark_withdrawn(task);
            worker.session.push(Message::Withdraw(task));
            self.dirty.insert(key);
        }
    }

    /// Quarantines workers whose tasks take far longer than expected, unless most
    /// workers of their service are that slow.
    pub(super) fn quarantine_stuck(&mut self, now: TimestampMs) {
        for service in self.fleet.services() {
            if self
                .fleet
                .holds_for_majority(&service, |worker| worker.is_stuck(now))
            {
                continue;
            }
            let keys = self.fleet.workers_of(&service);
            let is_stuck = |key: &WorkerKey| {
                self.fleet
                    .get(*key)
                    .is_some_and(|worker| worker.is_stuck(now))
            };
            let stuck: Vec<WorkerKey> = keys.iter().copied().filter(is_stuck).collect();
            for key in stuck {
                self.quarantine(key, now, Health::quarantine_slow);
            }
        }
    }
}
