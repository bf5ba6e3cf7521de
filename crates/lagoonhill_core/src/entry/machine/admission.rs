//! What is refused at once, and how a job enters the queue.

use lagoonhill_rules::Class;
use lagoonhill_types::prelude::*;

use super::{DEFAULT_RETRY_MS, Entry};
use crate::entry::{
    CallerId, Cause, DecisionKind, Job, JobFailure, Needs, Placement, Record, RecordKey, Submission,
};

impl<P: Placement> Entry<P> {
    /// What can be refused without regard to load.
    pub(super) fn check(&self, submission: &Submission) -> Result<(), JobFailure> {
        if self.leaving {
            return Err(JobFailure::refused_for_now(
                Cause::Leaving,
                DEFAULT_RETRY_MS,
            ));
        }
        if self.rules.revision() == Revision(0) {
            return Err(JobFailure::refused_for_now(
                Cause::NoRules,
                DEFAULT_RETRY_MS,
            ));
        }
        let refused = |cause| Err(JobFailure::refused(cause));
        let Some(service) = self.rules().service(&submission.service) else {
            return refused(Cause::UnknownService(submission.service.clone()));
        };
        if self.rules().team(&submission.team).is_none() {
            return refused(Cause::UnknownTeam(submission.team.clone()));
        }
        if submission.tasks.is_empty() {
            return refused(Cause::NoTasks {
                max: service.max_tasks,
            });
        }
        if submission.tasks.len() > usize::from(service.max_tasks) {
            let found = submission.tasks.len();
            return refused(Cause::TooManyTasks {
                found,
                max: service.max_tasks,
            });
        }
        Ok(())
    }

    pub(super) fn admit(
        &mut self,
        caller: CallerId,
        submission: Submission,
        number: u64,
        record: Option<RecordKey>,
        now: TimestampMs,
    ) {
        if let Err(failure) = self
            .check(&submission)
            .and_then(|()| self.check_load(&submission, now))
        {
            return self.refuse(caller, failure, now);
        }
        let fingerprint = submission.fingerprint();
        let Submission {
            service,
            team,
            tasks,
            ..
        } = &submission;
        let (service, team, count) = (service.clone(), team.clone(), tasks.len());
        let run_time_ms = self.expected_run_time(&submission);
        let mut job = self.new_job(submission, number, now);
        job.callers.push(caller);
        job.record.clone_from(&record);
        let slots = u64::from(self.fleet.slots(&service).max(1));
        job.rank_ms = now.0 + run_time_ms.0 * count as u64 / slots;
        let (id, class, due_ms, rank_ms) = (job.id, job.class, job.due_ms(), job.rank_ms);
        let key = self.jobs.insert(job);
        self.by_job.insert(id, key);
        self.by_caller.insert(caller, key);
        self.due.insert((due_ms, key));
        if let Some(record) = record {
            self.records
                .insert(record, fingerprint, Record::Running { job: key });
        }
        if class == Class::Rush {
            self.last_rush_ms.insert(service.clone(), now);
        }
        let queued = self.queued_tasks(&service);
        *self.queued.entry((service.clone(), class)).or_default() += count;
        self.queues
            .entry(service.clone())
            .or_default()
            .insert(class, &team, rank_ms, key);
        self.decide(
            now,
            Some(id),
            None,
            DecisionKind::Admitted {
                tasks: count,
                service,
                team,
                queued,
            },
        );
    }

    fn new_job(&self, submission: Submission, number: u64, now: TimestampMs) -> Job {
        let rule = self
            .rules()
            .service(&submission.service)
            .cloned()
            .unwrap_or_default();
        let needs = self.needs_of(&submission);
        let deadline_ms = self.deadline(&submission);
        Job::new(
            JobId {
                entry: self.config.address.incarnation,
                number,
            },
            submission.service.clone(),
            submission.team.clone(),
            self.class_of(&submission.service, &submission.team),
            needs,
            now,
            deadline_ms,
            rule.run_limit_ms.min(deadline_ms),
            submission.tasks,
        )
    }

    /// The stricter of what the service and the caller ask of a worker.
    fn needs_of(&self, submission: &Submission) -> Needs {
        let by_rule = self.rules().service(&submission.service);
        let by_rule = by_rule.map_or_else(Needs::default, |rule| Needs {
            memory_bytes: rule.memory_bytes,
            accelerators: rule.accelerators,
        });
        submission.needs.max(by_rule)
    }

    fn class_of(&self, service: &ServiceName, team: &TeamName) -> Class {
        let by_team = self.rules().team(team).and_then(|rule| rule.class);
        by_team.unwrap_or_else(|| {
            self.rules()
                .service(service)
                .map_or_else(Class::default, |rule| rule.class)
        })
    }

    fn deadline(&self, submission: &Submission) -> DurationMs {
        let by_rule = self
            .rules()
            .service(&submission.service)
            .map(|rule| rule.deadline_ms);
        let wanted = submission.deadline_ms.or(by_rule);
        wanted
            .unwrap_or(self.config.max_deadline_ms)
            .min(self.config.max_deadline_ms)
    }

    fn expected_run_time(&self, submission: &Submission) -> DurationMs {
        let by_rule_ms = self.prior_run_time(&submission.service);
        let prior_ms = submission.run_time_ms.unwrap_or(by_rule_ms);
        self.run_times.expected(&submission.service, prior_ms)
    }

    pub(super) fn queued_tasks(&self, service: &ServiceName) -> usize {
        Class::ALL
            .iter()
            .map(|class| self.queued_in(service, *class))
            .sum()
    }

    fn queued_in(&self, service: &ServiceName, class: Class) -> usize {
        self.queued
            .get(&(service.clone(), class))
            .copied()
            .unwrap_or(0)
    }

    /// What depends on the fleet and the queues.
    fn check_load(&mut self, submission: &Submission, now: TimestampMs) -> Result<(), JobFailure> {
        let Submission {
            service,
            team,
            tasks,
            ..
        } = submission;
        if self.fleet.of_service(service).is_empty() {
            let cause = Cause::NoWorkers(service.clone());
            return Err(JobFailure::refused_for_now(cause, DEFAULT_RETRY_MS));
        }
        let needs = self.needs_of(submission);
        if !self.fleet.any_fits(service, needs) {
            return Err(JobFailure::refused(Cause::NeverFits(needs.to_string())));
        }
        self.check_queue(submission)?;
        let rate = self.rules().team(team).and_then(|rule| rule.rate);
        let Some(rate) = rate else {
            return Ok(());
        };
        let share = f64::from(rate.0) / self.live_entries();
        let count = u32::try_from(tasks.len()).unwrap_or(u32::MAX);
        let bucket = &mut self.usage.entry(team.clone()).or_default().bucket;
        bucket.take(count, share, now).map_err(|wait_ms| {
            JobFailure::refused_for_now(Cause::RateLimited(team.clone()), wait_ms)
        })
    }

    pub(super) fn live_entries(&self) -> f64 {
        f64::from(u32::try_from(self.entries.len().max(1)).unwrap_or(u32::MAX))
    }

    fn check_queue(&self, submission: &Submission) -> Result<(), JobFailure> {
        let Submission {
            service,
            team,
            tasks,
            ..
        } = submission;
        let class = self.class_of(service, team);
        let run_time_ms = self.expected_run_time(submission);
        let slots = u64::from(self.fleet.slots(service)).max(1);
        let slots = (slots / self.entries.len().max(1) as u64).max(1);
        let ahead: usize = Class::ALL
            .iter()
            .filter(|other| **other <= class)
            .map(|other| self.queued_in(service, *other))
            .sum();
        let wait_ms = run_time_ms * (ahead as u64) / slots;
        let own_ms = run_time_ms * (tasks.len() as u64) / slots + run_time_ms;
        if self.queued_tasks(service) + tasks.len() > self.config.max_queued_tasks {
            let retry_ms = own_ms.max(DEFAULT_RETRY_MS);
            return Err(JobFailure::refused_for_now(
                Cause::QueueFull(service.clone()),
                retry_ms,
            ));
        }
        let deadline_ms = self.deadline(submission);
        if wait_ms + own_ms <= deadline_ms || ahead == 0 {
            return Ok(());
        }
        let over_ms = DurationMs((wait_ms + own_ms).0 - deadline_ms.0);
        Err(JobFailure::refused_for_now(
            Cause::TooLate { deadline_ms },
            over_ms,
        ))
    }
}
