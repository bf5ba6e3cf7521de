//! What outcomes teach: results, moves, speeds, health.

use lagoonhill_protocol::{NotRunReason, Outcome, TaskResult};
use lagoonhill_types::prelude::*;

use super::Entry;
use crate::entry::{Cause, DecisionKind, Health, JobKey, Placement, WorkerKey};

/// A probe that took this many times the expected run time was not well run.
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
        let Some(order) = worker.orders.remove(&task) else {
            return;
        };
        self.release_quota(&order.team);
        self.learn(key, &result, run_ms, now);
        let Some(&job_key) = self.by_job.get(&task.job) else {
            return;
        };
        let worker = self.fleet.get(key).map(|worker| worker.id.clone());
        let Some(worker) = worker else {
            return;
        };
        let index = task.index;
        match result {
            TaskResult::Done(payload) => {
                let job = &mut self.jobs[job_key];
                if job.finish(index, key, payload) && job.is_complete() {
                    self.complete_job(job_key, now);
                }
            }
            TaskResult::Failed(message) => {
                self.fail_job(
                    job_key,
                    Cause::TaskFailed {
                        index,
                        worker,
                        message,
                    },
                    now,
                );
            }
            TaskResult::MayHaveRun(_) => {
                self.fail_job(job_key, Cause::WorkerLost { index, worker }, now);
            }
            TaskResult::NotRun(reason) => {
                self.decide(
                    now,
                    Some(task.job),
                    Some(index),
                    DecisionKind::Moved { worker, reason },
                );
                self.hand_back(job_key, index, key, now);
            }
        }
    }

    pub(super) fn hand_back(
        &mut self,
        key: JobKey,
        index: TaskIndex,
        worker: WorkerKey,
        now: TimestampMs,
    ) {
        let job = &mut self.jobs[key];
        let Some(moves) = job.hand_back(index, worker) else {
            return;
        };
        let (service, team) = (job.service.clone(), job.team.clone());
        let (class, rank_ms) = (job.class, job.rank_ms);
        *self.queued.entry((service.clone(), class)).or_default() += 1;
        self.queues
            .entry(service)
            .or_default()
            .insert(class, &team, rank_ms, key);
        if moves > self.config.max_moves {
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
                let expected_ms = self.run_times.expected(&service, run_ms);
                if worker.health.is_quarantined()
                    && run_ms > worker.usual_run_time(expected_ms) * SLOW_PROBE_FACTOR
                {
                    return worker.health.failed(now);
                }
                worker.observe(run_ms, expected_ms);
                self.run_times.observe(&service, run_ms);
                if worker.health.succeeded() {
                    worker.reset_speed();
                    let id = worker.id.clone();
                    self.decide(now, None, None, DecisionKind::Recovered { worker: id });
                }
            }
            TaskResult::Failed(_) | TaskResult::NotRun(NotRunReason::TargetRefused) => {
                worker.health.failed(now);
                self.quarantine_if_alone(key, &service, now);
            }
            TaskResult::NotRun(_) | TaskResult::MayHaveRun(_) => {}
        }
    }

    /// Quarantines a worker that fails, unless its whole service does.
    pub(super) fn quarantine_if_alone(
        &mut self,
        key: WorkerKey,
        service: &ServiceName,
        now: TimestampMs,
    ) {
        let is_failing = self
            .fleet
            .get(key)
            .is_some_and(|worker| worker.health.is_failing());
        if is_failing && !self.fleet.service_is_failing(service) {
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
        self.decide(
            now,
            None,
            None,
            DecisionKind::Quarantined {
                worker,
                probe_in_ms,
            },
        );
    }

    /// Quarantines workers whose tasks take far longer than expected, unless
    /// half of their service does.
    pub(super) fn quarantine_stuck(&mut self, now: TimestampMs) {
        for service in self.fleet.services() {
            let expected_ms = self.usual_run_time(&service);
            let keys = self.fleet.of_service(&service).to_vec();
            let is_stuck = |key: &WorkerKey| {
                self.fleet
                    .get(*key)
                    .is_some_and(|worker| worker.is_stuck(expected_ms, now))
            };
            let stuck: Vec<WorkerKey> = keys.iter().copied().filter(is_stuck).collect();
            if stuck.len() * 2 > keys.len() {
                continue;
            }
            for key in stuck {
                self.quarantine(key, now, Health::quarantine_slow);
            }
        }
    }
}
