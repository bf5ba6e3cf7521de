//! Forecast of waiting times, for admission.
//!
//! Load pattern: a flood above capacity for some seconds. If jobs were served by
//! due time alone, all of them would end slightly late. So a job whose expected
//! wait breaks its promise is refused on arrival, while its caller can still
//! do something else, and admitted jobs are in time.

use lagoonhill_rules::Class;
use lagoonhill_types::prelude::*;

use super::{DEFAULT_RETRY_MS, Entry};
use crate::entry::{
    Cause, DelayCost, JobFailure, JobKey, Placement, Promise, Refusal, Submission, Weighed, Work,
};

/// An entry assumes at least an even share of the fleet divided by this, whatever
/// throughput it measured: jobs may wait for other reasons than a full fleet.
const MIN_SHARE_DIVISOR: u64 = 2;

/// Safety factor on forecast waits, in percent, so that an admitted job is not
/// refused later.
pub(super) const WAIT_SAFETY_PERCENT: u64 = 125;

/// Free slots at which a worker counts as free although its load is an estimate
/// that is slightly out of date.
const MIN_FREE_SLOTS: u16 = 2;

/// Shortest and longest retry delay proposed to a caller.
const MIN_RETRY_MS: DurationMs = DurationMs(200);
const MAX_RETRY_MS: DurationMs = DurationMs(5_000);

/// Steps by which retry delays are spread over up to twice the base delay, so
/// that refused callers don't cause a second flood.
const RETRY_SPREAD_STEPS: u64 = 16;

/// When a job would be served.
#[derive(Clone, Copy, Debug)]
pub(super) struct Turn {
    /// Work that is served before it.
    pub(super) ahead: Work,
    /// Time until that work and its own are placed; absent if nothing is placed.
    pub(super) wait_ms: Option<DurationMs>,
}

impl<P: Placement> Entry<P> {
    /// Refuses a job whose promise or deadline can't be kept behind the work that is
    /// served before it.
    pub(super) fn check_promise(
        &self,
        submission: &Submission,
        class: Class,
        deadline_ms: DurationMs,
        promise: Option<Promise>,
        now: TimestampMs,
    ) -> Result<(), Refusal> {
        let Some(promise) = promise.filter(|_| !submission.durable) else {
            return Ok(());
        };
        if self.may_await_workers(submission.durable) {
            return Ok(());
        }
        let Submission { service, team, .. } = submission;
        let work = Self::initial_work(submission);
        let cost = DelayCost::useful(promise.latest_start_ms.0, self.next_number);
        let turn = self.turn(service, class, team, work, cost, now);
        if turn.ahead == Work::default() {
            return Ok(());
        }
        let run_ms = promise.due_ms.since(promise.latest_start_ms);
        let latest_start_ms = promise.latest_start_ms.min(now + deadline_ms - run_ms);
        let safe_ms = turn
            .wait_ms
            .map(|wait_ms| wait_ms * WAIT_SAFETY_PERCENT / 100);
        let is_in_time = safe_ms.is_some_and(|safe_ms| now + safe_ms <= latest_start_ms);
        if is_in_time || self.has_free_worker(submission, now) {
            return Ok(());
        }
        let wait_ms = turn.wait_ms.unwrap_or(DEFAULT_RETRY_MS);
        let cause = Cause::Backlog { wait_ms };
        Err(Refusal {
            failure: JobFailure::refused_for_now(cause, self.retry_after(wait_ms)),
            weighed: Some(Box::new(Weighed {
                class,
                team: team.clone(),
                work,
                ahead: turn.ahead,
                wait_ms: turn.wait_ms,
                left_ms: latest_start_ms.since(now),
            })),
        })
    }

    /// When a job that comes now would be served, if its class gets what it has been
    /// getting: after the work of its organisation that costs more to delay, while other
    /// organisations of the class get their shares by weight.
    pub(super) fn turn(
        &self,
        service: &ServiceName,
        class: Class,
        team: &TeamName,
        work: Work,
        cost: DelayCost,
        now: TimestampMs,
    ) -> Turn {
        let weight =
            |team: &TeamName| u64::from(self.rules().team(team).map_or(1, |rule| rule.weight));
        let queue = self.queues.get(service);
        let (mut ahead, mut others) = (Work::default(), Vec::new());
        for (name, jobs) in queue.iter().flat_map(|queue| queue.useful_jobs(class)) {
            if name == team {
                let before = jobs.take_while(|(other, _)| *other < cost);
                ahead = before.map(|(_, job)| self.ready_work(job)).sum();
            } else {
                let waiting: Work = jobs.map(|(_, job)| self.ready_work(job)).sum();
                others.push((weight(name), waiting));
            }
        }
        let own = ahead + work;
        let served_meanwhile = others.into_iter().map(|(other_weight, waiting)| {
            let share = own.0.saturating_mul(other_weight) / weight(team).max(1);
            waiting.min(Work(share))
        });
        let ahead = ahead + served_meanwhile.sum();
        Turn {
            ahead,
            wait_ms: (ahead + work).time_at(self.class_rate(service, class, now)),
        }
    }

    /// Whether a worker is estimated to be free for a task of the submission. It
    /// may be free while jobs wait for a worker that is fast enough for them.
    fn has_free_worker(&self, submission: &Submission, now: TimestampMs) -> bool {
        let steps = submission.steps();
        let Some(step) = steps.first() else {
            return false;
        };
        let zone = self.config.zone.as_ref();
        let service = &submission.service;
        let mut candidates = self.fleet.candidates(service, &step.needs, zone, now);
        self.retain_allowed_for(&Self::work_kind(submission), &mut candidates);
        candidates
            .iter()
            .any(|candidate| candidate.load.saturating_add(MIN_FREE_SLOTS) <= candidate.slots)
    }

    /// Retry delay for a refused caller: the time to serve the present backlog,
    /// within limits, spread over consecutive callers.
    pub(super) fn retry_after(&self, wait_ms: DurationMs) -> DurationMs {
        let base_ms = wait_ms.max(MIN_RETRY_MS).min(MAX_RETRY_MS);
        base_ms + base_ms * (self.next_number % RETRY_SPREAD_STEPS) / RETRY_SPREAD_STEPS
    }

    /// Work per second that this entry's jobs of a class get from a service: the
    /// measured rate, or else the class's share of the entry's even share.
    fn class_rate(&self, service: &ServiceName, class: Class, now: TimestampMs) -> Work {
        let entries = self.entries.len().max(1) as u64;
        let even_share = Work(self.fleet.processors(service) / entries).per_s(DurationMs(1));
        let share = self.class_share(service, class, even_share);
        let throughput = self.throughput.get(&(service.clone(), class));
        let measured = throughput.and_then(|throughput| throughput.placed_per_s(now));
        measured
            .unwrap_or(share)
            .max(Work(share.0 / MIN_SHARE_DIVISOR))
    }

    /// A class's weighted share of a rate among the classes of which jobs wait.
    fn class_share(&self, service: &ServiceName, class: Class, rate: Work) -> Work {
        let queue = self.queues.get(service);
        let waits = |other: Class| queue.is_some_and(|queue| queue.has_useful_job(other));
        let is_counted = |other: &&Class| **other == class || waits(**other);
        let weight = |class: &Class| u64::from(self.rules().class_weight(*class));
        let all: u64 = Class::ALL.iter().filter(is_counted).map(weight).sum();
        Work(rate.0.saturating_mul(weight(&class)) / all.max(1))
    }

    pub(super) fn ready_work(&self, key: JobKey) -> Work {
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

    /// The work of a submission's tasks that can start at once.
    pub(super) fn initial_work(submission: &Submission) -> Work {
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
