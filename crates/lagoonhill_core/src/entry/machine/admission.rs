//! Admission: validates, refuses what can't be served in time, queues the rest.

use lagoonhill_rules::{Class, ServiceRule};
use lagoonhill_types::prelude::*;

use super::{DEFAULT_RETRY_MS, Entry};
use crate::entry::{
    CallerId, Cause, DecisionKind, DelayCost, DurableState, Job, JobFailure, JobKey, JobPlan,
    JobTerms, Needs, PERMILLE, Placement, Promise, QueueSettings, Record, RecordKey, Refusal, Step,
    Submission, WorkKind,
};

/// A job expires when its answer takes this many times the promised time.
const EXPIRY_FACTOR: u64 = 3;

/// Scheduling parameters of a submission, derived from the rules and estimates.
#[derive(Debug)]
struct AdmissionParams {
    class: Class,
    /// The terms of its queue, if it has one that is known.
    terms: Option<JobTerms>,
    /// Time allowed until the answer.
    deadline_ms: DurationMs,
    /// Expected run time on a worker of average speed.
    run_time_ms: DurationMs,
    /// The steps, each with the larger of the service's and the caller's needs.
    steps: Vec<Step>,
}

impl<P: Placement> Entry<P> {
    /// Refuses submissions that are invalid or can't be served whatever the load.
    pub(super) fn validate(&self, submission: &Submission) -> Result<(), JobFailure> {
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
        match &submission.queued {
            Some(queued) if self.rules().queue(&queued.queue).is_none() => {
                return refused(Cause::UnknownQueue(queued.queue.clone()));
            }
            None if self.rules().team(&submission.team).is_none() => {
                return refused(Cause::UnknownTeam(submission.team.clone()));
            }
            Some(_) | None => {}
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

    /// Checks a submission that is not durable against the rules, the fleet and the load.
    fn check_submission(
        &mut self,
        submission: &Submission,
        now: TimestampMs,
    ) -> Result<(AdmissionParams, Option<Promise>), Refusal> {
        self.validate(submission)?;
        let params = self.admission_params(submission, self.terms_of(submission));
        let promise = self.promise(submission, &params, now);
        self.check_containment(submission, promise, now)?;
        self.check_promise(submission, params.class, params.deadline_ms, promise, now)?;
        self.check_load(submission, &params, promise, now)?;
        Ok((params, promise))
    }

    pub(super) fn admit(
        &mut self,
        caller: CallerId,
        submission: Submission,
        number: u64,
        record: Option<RecordKey>,
        now: TimestampMs,
    ) {
        let checked = self.check_submission(&submission, now);
        let (params, promise) = match checked {
            Ok(checked) => checked,
            Err(refusal) => {
                let key = || record.as_ref().and_then(RecordKey::request);
                let request = submission.name().or_else(key);
                return self.refuse(caller, request, refusal, now);
            }
        };
        let fingerprint = submission.fingerprint();
        let Submission {
            service,
            team,
            tasks,
            ..
        } = &submission;
        let (service, team, count) = (service.clone(), team.clone(), tasks.len());
        let run_time_ms = params.run_time_ms;
        let rank_ms = match promise {
            Some(promise) => promise.latest_start_ms.0,
            None => self.rank(&submission, run_time_ms, now),
        };
        let mut job = self.new_job(submission, params, number, now);
        job.callers.push(caller);
        job.record.clone_from(&record);
        job.cost = DelayCost::useful(rank_ms, number);
        job.promise = promise;
        let ready = job.ready_count();
        let (id, class, due_ms) = (job.plan.id, job.plan.class, job.due_ms());
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
        self.enqueue(key, ready);
        self.log_decision(
            now,
            Some(id),
            None,
            DecisionKind::Admitted {
                tasks: count,
                service,
                team,
                queued,
                deadline_ms: due_ms.since(now),
                promised_ms: promise.map(|promise| promise.due_ms.since(now)),
            },
        );
    }

    /// Checks and creates a durable job. It is queued once it has been stored.
    pub(super) fn admit_durable(
        &mut self,
        submission: &Submission,
        durable: DurableState,
        number: u64,
        now: TimestampMs,
    ) -> Result<JobKey, JobFailure> {
        self.validate(submission)?;
        let params = self.admission_params(submission, durable.terms);
        let promise = self.promise(submission, &params, now);
        self.check_containment(submission, promise, now)?;
        self.check_load(submission, &params, promise, now)?;
        Ok(self.insert_durable(submission, durable, number, now))
    }

    pub(super) fn insert_durable(
        &mut self,
        submission: &Submission,
        durable: DurableState,
        number: u64,
        now: TimestampMs,
    ) -> JobKey {
        let params = self.admission_params(submission, durable.terms);
        let promise = self.promise(submission, &params, now);
        let mut job = self.new_job(submission.clone(), params, number, now);
        let rank_ms = promise.map_or(now.0, |promise| promise.latest_start_ms.0);
        job.cost = DelayCost::useful(rank_ms, number);
        job.promise = promise;
        job.start_run_numbers(durable.epoch);
        job.durable = Some(durable);
        let id = job.plan.id;
        let key = self.jobs.insert(job);
        self.by_job.insert(id, key);
        key
    }

    /// Queues the ready tasks of a durable job.
    pub(super) fn enqueue_durable(&mut self, key: JobKey, now: TimestampMs) {
        let job = &self.jobs[key];
        let (id, service, team) = (job.plan.id, job.plan.service.clone(), job.plan.team.clone());
        let (tasks, ready) = (job.task_count(), job.ready_count());
        let (deadline_ms, promise) = (job.plan.deadline_ms, job.promise);
        let queued = self.queued_tasks(&service);
        self.enqueue(key, ready);
        let kind = DecisionKind::Admitted {
            tasks,
            service,
            team,
            queued,
            deadline_ms,
            promised_ms: promise.map(|promise| promise.due_ms.since(now)),
        };
        self.log_decision(now, Some(id), None, kind);
    }

    /// The terms that the rules in force give to a job of a queue.
    pub(super) fn terms_of(&self, submission: &Submission) -> Option<JobTerms> {
        let queued = submission.queued.as_ref()?;
        let rule = self.rules().queue(&queued.queue)?;
        Some(JobTerms {
            class: self.class_of(submission),
            attempts: rule.attempts,
            objective_ms: rule.objective_ms,
            slack_permille: rule.slack_permille,
            run_limit_ms: self.run_limit(submission),
        })
    }

    fn run_limit(&self, submission: &Submission) -> DurationMs {
        let rule = self.rules().service(&submission.service);
        let run_limit_ms = rule.map_or_else(
            || ServiceRule::default().run_limit_ms,
            |rule| rule.run_limit_ms,
        );
        run_limit_ms.min(self.deadline(submission))
    }

    fn admission_params(
        &self,
        submission: &Submission,
        terms: Option<JobTerms>,
    ) -> AdmissionParams {
        AdmissionParams {
            class: terms.map_or_else(|| self.class_of(submission), |terms| terms.class),
            terms,
            deadline_ms: self.deadline(submission),
            run_time_ms: self.expected_run_time(submission),
            steps: self.steps_of(submission),
        }
    }

    /// The promise that the terms of its queue make for the submission, if it has any.
    fn promise(
        &self,
        submission: &Submission,
        params: &AdmissionParams,
        now: TimestampMs,
    ) -> Option<Promise> {
        let terms = params.terms?;
        let run_time_ms = params.run_time_ms;
        let work_ms = self
            .run_times
            .promise_basis(&Self::work_kind(submission), run_time_ms);
        let promised_ms = work_ms * u64::from(terms.slack_permille) / PERMILLE;
        let promised_ms = promised_ms + terms.objective_ms;
        let slowness = self.fleet.least_slowness(&submission.service);
        let fastest_ms = slowness.from_nominal(run_time_ms);
        let latest_start = |due_ms: TimestampMs| due_ms - fastest_ms;
        let arrived_ms = now - submission.waited_ms;
        Some(Promise {
            due_ms: arrived_ms + promised_ms,
            latest_start_ms: latest_start(arrived_ms + promised_ms),
            last_useful_start_ms: latest_start(arrived_ms + promised_ms * EXPIRY_FACTOR),
        })
    }

    /// Rank of a job without a promise: its expected end when it starts now and
    /// uses all slots, so that short jobs go before long ones.
    fn rank(&self, submission: &Submission, run_time_ms: DurationMs, now: TimestampMs) -> u64 {
        let slots = u64::from(self.fleet.slots(&submission.service).max(1));
        now.0 + run_time_ms.0 * submission.tasks.len() as u64 / slots
    }

    fn new_job(
        &self,
        submission: Submission,
        params: AdmissionParams,
        number: u64,
        now: TimestampMs,
    ) -> Job {
        let AdmissionParams {
            class,
            terms,
            deadline_ms,
            steps,
            ..
        } = params;
        let run_limit_ms =
            terms.map_or_else(|| self.run_limit(&submission), |terms| terms.run_limit_ms);
        let queue_settings = submission.queued.as_ref().map(|queued| QueueSettings {
            queue: queued.queue.clone(),
            name: queued.name.clone(),
            attempts: terms.map(|terms| terms.attempts),
        });
        let plan = JobPlan {
            id: JobId {
                entry: self.config.address.incarnation,
                number,
            },
            class,
            service: submission.service,
            team: submission.team,
            accepted_ms: now,
            deadline_ms,
            run_limit_ms,
            queue_settings,
        };
        Job::new(plan, steps, submission.tasks)
    }

    fn steps_of(&self, submission: &Submission) -> Vec<Step> {
        let by_rule = self.rules().service(&submission.service);
        let by_rule = by_rule.map_or_else(Resources::default, |rule| Resources {
            memory_bytes: rule.memory_bytes,
            accelerators: rule.accelerators,
            ..Resources::default()
        });
        let mut steps = submission.steps();
        for step in &mut steps {
            step.needs.resources = step.needs.resources.max(by_rule);
        }
        steps
    }

    pub(super) fn work_kind(submission: &Submission) -> WorkKind {
        WorkKind {
            service: submission.service.clone(),
            queue: submission
                .queued
                .as_ref()
                .map(|queued| queued.queue.clone()),
        }
    }

    fn class_of(&self, submission: &Submission) -> Class {
        let rules = self.rules();
        let by_queue = submission
            .queued
            .as_ref()
            .and_then(|queued| rules.queue(&queued.queue)?.class);
        let by_team = || rules.team(&submission.team).and_then(|rule| rule.class);
        let by_service = || {
            rules
                .service(&submission.service)
                .map_or_else(Class::default, |rule| rule.class)
        };
        by_queue.or_else(by_team).unwrap_or_else(by_service)
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
        let kind = Self::work_kind(submission);
        let declared_ms = submission.declared_run_time();
        if submission.queued.is_some() {
            let declared_ms = declared_ms.unwrap_or_default();
            return self
                .run_times
                .expected_declared(&kind, declared_ms, by_rule_ms);
        }
        self.run_times
            .expected(&kind, declared_ms.unwrap_or(by_rule_ms))
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

    /// Refuses what exceeds the fleet's capacity, the queue or the team's rate.
    fn check_load(
        &mut self,
        submission: &Submission,
        params: &AdmissionParams,
        promise: Option<Promise>,
        now: TimestampMs,
    ) -> Result<(), JobFailure> {
        let Submission {
            service,
            team,
            tasks,
            ..
        } = submission;
        if !self.may_await_workers(submission.durable) {
            let needs = params.steps.iter().map(|step| &step.needs);
            if let Some(cause) = self.unservable(service, needs) {
                return Err(match cause {
                    Cause::NoWorkers(_) | Cause::LacksCapacity { .. } => {
                        JobFailure::refused_for_now(cause, DEFAULT_RETRY_MS)
                    }
                    _ => JobFailure::refused(cause),
                });
            }
        }
        let needs = params.steps.iter().map(|step| &step.needs);
        if !submission.durable && self.is_all_drained(service, needs) {
            let cause = Cause::Drained(service.clone());
            return Err(JobFailure::refused_for_now(cause, DEFAULT_RETRY_MS));
        }
        self.check_queue(submission, params, promise)?;
        let rate = self.rules().team(team).and_then(|rule| rule.rate);
        let Some(rate) = rate else {
            return Ok(());
        };
        let share = f64::from(rate.0) / self.live_entry_count();
        let count = u32::try_from(tasks.len()).unwrap_or(u32::MAX);
        let bucket = &mut self.usage.entry(team.clone()).or_default().bucket;
        bucket.take(count, share, now).map_err(|wait_ms| {
            JobFailure::refused_for_now(Cause::RateLimited(team.clone()), wait_ms)
        })
    }

    /// Why no worker that has joined can serve a job with these needs, if none can.
    fn unservable<'a>(
        &self,
        service: &ServiceName,
        mut needs: impl Iterator<Item = &'a Needs>,
    ) -> Option<Cause> {
        if self.fleet.workers_of(service).is_empty() {
            return Some(Cause::NoWorkers(service.clone()));
        }
        let unmet = needs.find(|needs| !self.fleet.any_fits(service, needs))?;
        let needs = unmet.to_string();
        Some(if self.fleet.any_has_fitted(service, unmet) {
            let service = service.clone();
            Cause::LacksCapacity { service, needs }
        } else {
            Cause::NeverFits(needs)
        })
    }

    /// Whether a job may wait for workers that have not joined yet.
    pub(super) fn may_await_workers(&self, is_durable: bool) -> bool {
        self.discovery.is_in_progress() && !is_durable
    }

    /// Ends start-up discovery when due; fails the jobs without a suitable worker.
    pub(super) fn end_discovery(&mut self, now: TimestampMs) {
        if !self.discovery.complete_if_due(now) {
            return;
        }
        let completed = DecisionKind::DiscoveryComplete {
            workers: self.fleet.len(),
            took_ms: self.discovery.elapsed_ms(now),
            waiting: self.jobs.len(),
        };
        self.log_decision(now, None, None, completed);
        let is_waiting = |(_, job): &(JobKey, &Job)| !job.has_started() && !job.is_durable();
        let unservable = |(key, job): (JobKey, &Job)| {
            let cause = self.unservable(&job.plan.service, job.needs())?;
            Some((key, cause))
        };
        let waiting = self.jobs.iter().filter(is_waiting);
        let refused: Vec<(JobKey, Cause)> = waiting.filter_map(unservable).collect();
        for (key, cause) in refused {
            self.fail_job(key, cause, now);
        }
        self.fail_all_drained(now);
    }

    pub(super) fn live_entry_count(&self) -> f64 {
        f64::from(u32::try_from(self.entries.len().max(1)).unwrap_or(u32::MAX))
    }

    /// How many tasks with these needs the service can run concurrently.
    fn slots_for(&self, service: &ServiceName, steps: &[Step]) -> u64 {
        let slots = u64::from(self.fleet.slots(service));
        let need = steps
            .iter()
            .map(|step| u64::from(step.needs.resources.processors.0))
            .max();
        let by_processors = need.and_then(|need| self.fleet.processors(service).checked_div(need));
        by_processors.map_or(slots, |count| count.min(slots))
    }

    fn check_queue(
        &self,
        submission: &Submission,
        params: &AdmissionParams,
        promise: Option<Promise>,
    ) -> Result<(), JobFailure> {
        let Submission { service, tasks, .. } = submission;
        let &AdmissionParams {
            class,
            deadline_ms,
            run_time_ms,
            ref steps,
            ..
        } = params;
        let slots = self.slots_for(service, steps).max(1);
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
        // The forecast has checked the deadline of a job with a promise.
        let is_checked = promise.is_some() && !submission.durable;
        let is_in_time = is_checked || wait_ms + own_ms <= deadline_ms || ahead == 0;
        if is_in_time || self.may_await_workers(submission.durable) {
            return Ok(());
        }
        let excess_ms = DurationMs((wait_ms + own_ms).0 - deadline_ms.0);
        Err(JobFailure::refused_for_now(
            Cause::TooLate { deadline_ms },
            excess_ms,
        ))
    }
}
