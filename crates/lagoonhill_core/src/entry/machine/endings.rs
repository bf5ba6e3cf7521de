//! Ends of jobs: completed, failed or refused.

use std::sync::Arc;

use lagoonhill_protocol::Message;
use lagoonhill_types::prelude::*;

use super::{DEFAULT_RETRY_MS, Entry};
use crate::entry::{
    Answer, CallerId, Cause, DecisionKind, EntryEffect, Job, JobFailure, JobKey, Placement,
    Refusal, RunCertainty,
};

impl<P: Placement> Entry<P> {
    pub(super) fn refuse(
        &mut self,
        caller: CallerId,
        request: Option<RequestKey>,
        refusal: impl Into<Refusal>,
        now: TimestampMs,
    ) {
        let Refusal { failure, weighed } = refusal.into();
        let kind = DecisionKind::Refused {
            cause: failure.cause.clone(),
            weighed,
        };
        self.log_decision_for_request(now, None, request, None, kind);
        self.answer(
            caller,
            Answer {
                job: None,
                outcome: Err(failure),
            },
        );
    }

    pub(super) fn answer(&mut self, caller: CallerId, answer: Answer) {
        self.effects.push(EntryEffect::Answer { caller, answer });
    }

    /// Removes a job from every index. Its tasks at workers still count as load.
    pub(super) fn remove_job(&mut self, key: JobKey) -> Option<Job> {
        let job = self.jobs.remove(key)?;
        self.by_job.remove(&job.plan.id);
        self.due.remove(&(job.due_ms(), key));
        self.dequeue(&job, key, job.ready_count());
        Some(job)
    }

    pub(super) fn dequeue(&mut self, job: &Job, key: JobKey, tasks: usize) {
        if let Some(count) = self
            .queued
            .get_mut(&(job.plan.service.clone(), job.plan.class))
        {
            *count = count.saturating_sub(tasks);
        }
        if let Some(queue) = self.queues.get_mut(&job.plan.service) {
            queue.remove(&job.queue_position(key));
        }
    }

    pub(super) fn complete_job(&mut self, key: JobKey, now: TimestampMs) {
        if self.jobs[key].is_durable() {
            return self.complete_durable(key, now);
        }
        let Some(job) = self.remove_job(key) else {
            return;
        };
        let Some(results) = job.results() else {
            return;
        };
        let took_ms = now.since(job.plan.accepted_ms);
        self.log_end(&job, DecisionKind::Completed { took_ms }, now);
        self.release_name_of(&job, now);
        self.close_job(&job, Ok(results), now);
    }

    /// Fails a job: tasks that have not started are withdrawn, running tasks are
    /// stopped where the target supports it, and the callers are answered at once.
    pub(super) fn fail_job(&mut self, key: JobKey, cause: Cause, now: TimestampMs) {
        self.fail_job_for_now(key, cause, DEFAULT_RETRY_MS, now);
    }

    /// As [`Self::fail_job`], with the retry delay to propose if nothing has run.
    pub(super) fn fail_job_for_now(
        &mut self,
        key: JobKey,
        cause: Cause,
        retry_ms: DurationMs,
        now: TimestampMs,
    ) {
        if self.jobs[key].is_durable() {
            return self.fail_durable(key, cause, now);
        }
        let Some(job) = self.remove_job(key) else {
            return;
        };
        for worker_key in job.workers() {
            if let Some(worker) = self.fleet.get_mut(worker_key) {
                worker.session.push(Message::CancelJob(job.plan.id));
                self.dirty.insert(worker_key);
            }
        }
        let run = job.certainty();
        let retry_after_ms = (run == RunCertainty::NotRun).then_some(retry_ms);
        let kind = DecisionKind::Failed {
            run,
            cause: cause.clone(),
            took_ms: now.since(job.plan.accepted_ms),
            given_up: matches!(cause, Cause::Backlog { .. }).then_some(job.plan.class),
        };
        self.log_end(&job, kind, now);
        self.release_name_of(&job, now);
        self.close_job(
            &job,
            Err(JobFailure {
                run,
                cause,
                retry_after_ms,
            }),
            now,
        );
    }

    /// Logs the end of a job that is no longer indexed.
    fn log_end(&mut self, job: &Job, kind: DecisionKind, now: TimestampMs) {
        self.log_decision_for_request(now, Some(job.plan.id), job.name(), None, kind);
    }

    pub(super) fn close_job(
        &mut self,
        job: &Job,
        outcome: Result<Arc<[Payload]>, JobFailure>,
        now: TimestampMs,
    ) {
        let never_ran = matches!(&outcome, Err(failure) if failure.run == RunCertainty::NotRun);
        let answer = Answer {
            job: Some(job.plan.id),
            outcome,
        };
        if let Some(record) = &job.record {
            // A job of a queue may be rerun, so its failure is not final.
            if never_ran || (job.may_rerun() && answer.outcome.is_err()) {
                self.records.remove(record);
            } else {
                self.records.finish(
                    record,
                    answer.clone(),
                    now + self.config.record_retention_ms,
                );
            }
        }
        for caller in &job.callers {
            self.by_caller.remove(caller);
            self.answer(*caller, answer.clone());
        }
    }
}
