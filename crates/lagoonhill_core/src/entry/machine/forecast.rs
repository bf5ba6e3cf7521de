//! Load pattern: a flood over the capacity for some seconds. Served in order of
//! their due times alone, all jobs end up just late. So a job that would wait
//! until its promise can't be kept is refused when it comes, while its caller can
//! still do something else, and what is admitted is in time.

use lagoonhill_rules::Class;
use lagoonhill_types::prelude::*;

use super::{DEFAULT_RETRY_MS, Entry};
use crate::entry::{Cause, JobFailure, JobKey, Lane, Placement, Promise, Submission, Work};

/// Part of an even share of the fleet that an entry counts on at least: jobs may
/// wait for other reasons than a full fleet.
const LEAST_SHARE_DIVISOR: u64 = 2;

/// How much longer than forecast a wait may get and still be in time, in
/// hundredths: a job that was admitted should not be refused later.
const SAFE_PERCENT: u64 = 125;

/// A worker with so many free slots by a belief that is a moment old is free.
const SURELY_FREE_SLOTS: u16 = 2;

/// Shortest and longest pause proposed to a caller.
const MIN_RETRY_MS: DurationMs = DurationMs(200);
const MAX_RETRY_MS: DurationMs = DurationMs(5_000);

/// Callers are asked to come back over a span as long as the pause itself, so
/// that they are no second flood.
const RETRY_STEPS: u64 = 16;

impl<P: Placement> Entry<P> {
    /// Refuses a job that can't keep its promise behind those that wait.
    pub(super) fn check_promise(
        &self,
        submission: &Submission,
        class: Class,
        promise: Option<Promise>,
        now: TimestampMs,
    ) -> Result<(), JobFailure> {
        let Some(promise) = promise.filter(|_| !submission.kept) else {
            return Ok(());
        };
        if self.may_await_workers(submission.kept) {
            return Ok(());
        }
        let service = &submission.service;
        let waiting = self.class_waiting(service, class);
        if waiting == Work::default() {
            return Ok(());
        }
        let own = Self::first_work(submission);
        let wait_ms = (waiting + own).time_at(self.class_rate(service, class, now));
        let safe_ms = wait_ms.map(|wait_ms| wait_ms * SAFE_PERCENT / 100);
        let is_in_time = safe_ms.is_some_and(|safe_ms| now + safe_ms <= promise.latest_start_ms);
        if is_in_time || self.has_free_worker(submission, now) {
            return Ok(());
        }
        let wait_ms = wait_ms.unwrap_or(DEFAULT_RETRY_MS);
        Err(JobFailure::refused_for_now(
            Cause::Backlog { wait_ms },
            self.retry_after(wait_ms),
        ))
    }

    /// Whether a worker is believed to be free for a task of the submission. Jobs
    /// may wait beside it for one that is fast enough for them.
    fn has_free_worker(&self, submission: &Submission, now: TimestampMs) -> bool {
        let steps = submission.steps();
        let Some(step) = steps.first() else {
            return false;
        };
        let (rules, zone) = (self.rules.rules(), self.config.zone.as_ref());
        let service = &submission.service;
        let candidates = self
            .fleet
            .candidates(service, &step.needs, rules, zone, now);
        candidates
            .iter()
            .any(|candidate| candidate.load.saturating_add(SURELY_FREE_SLOTS) <= candidate.slots)
    }

    /// When a refused caller may come back: when what waits now has been
    /// served, each caller a little later than the one before.
    pub(super) fn retry_after(&self, wait_ms: DurationMs) -> DurationMs {
        let base_ms = wait_ms.max(MIN_RETRY_MS).min(MAX_RETRY_MS);
        base_ms + base_ms * (self.next_number % RETRY_STEPS) / RETRY_STEPS
    }

    /// Work in each second that this entry's jobs of a class get of a service:
    /// what they have been getting, or the class's part of an even share.
    fn class_rate(&self, service: &ServiceName, class: Class, now: TimestampMs) -> Work {
        let entries = self.entries.len().max(1) as u64;
        let even = Work(self.fleet.processors(service) / entries).per_s(DurationMs(1));
        let share = self.class_part(service, class, even);
        let counted = self.throughput.get(&(service.clone(), class));
        let measured = counted.and_then(|counted| counted.placed_per_s(now));
        measured
            .unwrap_or(share)
            .max(Work(share.0 / LEAST_SHARE_DIVISOR))
    }

    /// The part of a rate that a class gets while all those that wait share it.
    fn class_part(&self, service: &ServiceName, class: Class, rate: Work) -> Work {
        let is_counted =
            |other: &&Class| **other == class || self.class_waiting(service, **other).0 > 0;
        let weight = |class: &Class| u64::from(self.rules().class_weight(*class));
        let all: u64 = Class::ALL.iter().filter(is_counted).map(weight).sum();
        Work(rate.0.saturating_mul(weight(&class)) / all.max(1))
    }

    fn class_waiting(&self, service: &ServiceName, class: Class) -> Work {
        let is_counted = |job: &crate::entry::Job| {
            job.plan.service == *service && job.plan.class == class && job.lane == Lane::InTime
        };
        let jobs = self.jobs.iter().filter(|(_, job)| is_counted(job));
        jobs.map(|(key, _)| self.ready_work(key)).sum()
    }

    /// The work of a job's tasks that wait.
    fn ready_work(&self, key: JobKey) -> Work {
        let job = &self.jobs[key];
        let ready = job.ready_count();
        if ready == 0 {
            return Work::default();
        }
        let processors = job
            .next_needs()
            .map_or(MilliProcessors(0), |needs| needs.resources.processors);
        Work::of(ready, self.next_run_time(key), processors)
    }

    /// The work of a submission's tasks that can begin at once.
    fn first_work(submission: &Submission) -> Work {
        let steps = submission.steps();
        let first = steps.iter().filter(|step| step.after.is_empty());
        first
            .map(|step| {
                Work::of(
                    usize::from(step.count),
                    step.estimate_ms,
                    step.needs.resources.processors,
                )
            })
            .sum()
    }
}
