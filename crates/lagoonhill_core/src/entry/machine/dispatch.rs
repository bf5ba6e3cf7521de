//! Dispatch: chooses the next ready task and the worker that runs it.

use std::collections::HashSet;

use lagoonhill_protocol::{Message, Start};
use lagoonhill_rules::Class;
use lagoonhill_types::prelude::*;

use super::{DEFAULT_RUN_TIME_MS, Entry};
use crate::entry::{
    Candidate, Cause, Charge, DecisionKind, DelayCost, DispatchedTask, JobKey, Needs, Placement,
    PlacementContext, SlotLimit, Suspicion, Tier, Work, WorkKind,
};

/// How long slots stay reserved after a job of the most urgent class.
const RUSH_WINDOW_MS: DurationMs = DurationMs(5_000);

/// Time for which jobs of the most urgent class may wait without a pause before the slots
/// reserved for them are shared: a passing crest is over by then.
const RESERVE_LIMIT_MS: DurationMs = DurationMs(1_000);

/// Jobs that may find no worker before a round ends; the next round has the rest.
const MAX_BLOCKED_JOBS: usize = 64;

/// Jobs and classes that found no worker in the present round.
#[derive(Debug, Default)]
struct Blocked {
    jobs: HashSet<JobKey>,
    classes: HashSet<Class>,
    /// Kinds of work whose part of the fleet is full or down, for suspects or others.
    kinds: HashSet<(WorkKind, bool)>,
    /// Needs for which no worker has free capacity.
    needs: Option<Resources>,
    /// Whether no worker may get another suspect.
    suspects: bool,
    /// Whether none may get one that waits for a worker of its own.
    waiting_suspects: bool,
    unplaced: usize,
}

impl Blocked {
    /// Whether a task with these needs can't find free capacity either.
    fn covers(&self, needs: &Needs) -> bool {
        self.needs
            .is_some_and(|blocked| blocked.fits_in(needs.resources))
    }
}

impl<P: Placement> Entry<P> {
    /// Fails every job whose deadline has passed. Runs before each placement, so
    /// that no task starts past its deadline after the process was frozen.
    fn fail_jobs_past_deadline(&mut self, now: TimestampMs) {
        while let Some(&(due_ms, key)) = self.due.first() {
            if due_ms > now {
                break;
            }
            let deadline_ms = self.jobs[key].plan.deadline_ms;
            self.fail_job(key, Cause::DeadlinePassed { deadline_ms }, now);
        }
    }

    pub(super) fn dispatch_all(&mut self, now: TimestampMs) {
        self.fail_jobs_past_deadline(now);
        let services: Vec<ServiceName> = self
            .queues
            .iter()
            .filter(|(_, queue)| !queue.is_empty())
            .map(|(service, _)| service.clone())
            .collect();
        for service in services {
            self.dispatch(&service, now);
        }
        self.track_waiting_rush(now);
        for ((service, class), throughput) in &mut self.throughput {
            let queue = self.queues.get(service);
            throughput.set_waiting(queue.is_some_and(|queue| queue.has_useful_job(*class)), now);
        }
    }

    /// Places ready tasks of a service while workers have free capacity.
    fn dispatch(&mut self, service: &ServiceName, now: TimestampMs) {
        self.drop_or_demote_expired(service, now);
        let mut blocked = Blocked::default();
        while blocked.unplaced < MAX_BLOCKED_JOBS {
            let Some(key) = self.next_job(service, &blocked, now) else {
                return;
            };
            let Some(needs) = self.jobs[key].next_needs().cloned() else {
                blocked.jobs.insert(key);
                continue;
            };
            if blocked.covers(&needs) {
                blocked.jobs.insert(key);
                continue;
            }
            let zone = self.config.zone.as_ref();
            let mut eligible = self.fleet.candidates(service, &needs, zone, now);
            let candidate_count = eligible.len();
            if let Some(limit) = needs.max_per_worker {
                let job = &self.jobs[key];
                eligible.retain(|candidate| job.step_tasks_at(candidate.key) < limit);
            }
            let is_kept_apart = self.retain_allowed(key, &mut eligible);
            let job = &self.jobs[key];
            if eligible
                .iter()
                .any(|candidate| !job.next_failed_on(candidate.key))
            {
                eligible.retain(|candidate| !job.next_failed_on(candidate.key));
            }
            let is_suspect = self.jobs[key].is_next_suspect();
            self.keep_suspects_apart(&mut eligible, key, &needs, now);
            let context = self.context(key, now);
            // Probes go first: a policy that prefers other workers would never
            // detect that this one has recovered.
            let probe = eligible.iter().position(|candidate| candidate.is_probe);
            match probe.or_else(|| self.placement.choose(&eligible, context)) {
                Some(choice) => {
                    self.place(key, eligible[choice], &eligible, context.run_time_ms, now);
                }
                None if context.slot_limit == SlotLimit::ExceptReserve
                    && needs == Needs::default() =>
                {
                    blocked.classes.insert(self.jobs[key].plan.class);
                }
                None if is_kept_apart => {
                    blocked.kinds.insert((self.work_kind_of(key), is_suspect));
                }
                None if is_suspect && eligible.is_empty() && needs.label.is_none() => {
                    let is_waiting = self.waits_for_own_worker(key, now);
                    blocked.waiting_suspects = true;
                    blocked.suspects |= !is_waiting;
                    blocked.jobs.insert(key);
                }
                None => {
                    blocked.unplaced += 1;
                    blocked.jobs.insert(key);
                    let is_full = !eligible
                        .iter()
                        .any(|candidate| candidate.has_free_capacity(context.slot_limit));
                    let is_plain = needs.label.is_none() && eligible.len() == candidate_count;
                    if is_full && is_plain && context.slot_limit != SlotLimit::ExceptReserve {
                        blocked.needs = Some(needs.resources);
                    }
                }
            }
        }
    }

    /// Moves expired jobs behind all others, and fails those that have not started
    /// and are not durable.
    ///
    /// A late job that has not expired keeps its queue position: it is among the
    /// next, and admission keeps the queue short enough for that.
    fn drop_or_demote_expired(&mut self, service: &ServiceName, now: TimestampMs) {
        let Some(tiers) = self.queues.get_mut(service) else {
            return;
        };
        let mut expired = tiers.ranked_before(Tier::Expired, now);
        for key in tiers.ranked_before(Tier::Useful, now) {
            let job = &mut self.jobs[key];
            let Some(promise) = job
                .promise
                .filter(|promise| promise.last_useful_start_ms < now)
            else {
                continue;
            };
            tiers.remove(&job.queue_position(key));
            job.cost = job.cost.expired(promise.last_useful_start_ms);
            tiers.insert(&job.queue_position(key));
            expired.push(key);
        }
        expired.retain(|key| !self.jobs[*key].has_started() && !self.jobs[*key].is_durable());
        if expired.is_empty() {
            return;
        }
        for key in expired {
            let wait_ms = self.wait_if_sent_again(key, now);
            let retry_ms = self.retry_after(wait_ms);
            self.fail_job_for_now(key, Cause::Backlog { wait_ms }, retry_ms, now);
        }
    }

    /// Time that a waiting job would have to wait if it came now.
    fn wait_if_sent_again(&self, key: JobKey, now: TimestampMs) -> DurationMs {
        let job = &self.jobs[key];
        let plan = &job.plan;
        let latest_start_ms = job
            .promise
            .map_or(plan.accepted_ms, |promise| promise.latest_start_ms);
        let left_ms = latest_start_ms.since(plan.accepted_ms);
        let cost = DelayCost::useful((now + left_ms).0, self.next_number);
        let work = self.ready_work(key);
        let turn = self.turn(&plan.service, plan.class, &plan.team, work, cost, now);
        let waited_ms = now.since(plan.accepted_ms);
        turn.wait_ms.unwrap_or(waited_ms)
    }

    fn next_job(
        &self,
        service: &ServiceName,
        blocked: &Blocked,
        now: TimestampMs,
    ) -> Option<JobKey> {
        let queue = self.queues.get(service)?;
        let is_owner = self.is_owner(now);
        let may_run = |key: JobKey| {
            let job = &self.jobs[key];
            let is_suspect = job.is_next_suspect();
            let is_blocked_suspect = is_suspect
                && (blocked.suspects
                    || blocked.waiting_suspects && self.waits_for_own_worker(key, now));
            let is_blocked_kind = !blocked.kinds.is_empty()
                && blocked
                    .kinds
                    .contains(&(self.work_kind_of(key), is_suspect));
            let is_blocked = is_blocked_suspect || is_blocked_kind;
            (is_owner || !job.is_durable()) && !is_blocked && self.holds_name(key, now)
        };
        queue.next(
            |class| !blocked.classes.contains(&class),
            |team, key| !blocked.jobs.contains(&key) && may_run(key) && self.has_quota(team),
        )
    }

    fn has_quota(&self, team: &TeamName) -> bool {
        let Some(limit) = self.rules().team(team).and_then(|rule| rule.concurrency) else {
            return true;
        };
        let share = f64::from(limit) / self.live_entry_count();
        let in_flight = self.usage.get(team).map_or(0, |usage| usage.in_flight);
        f64::from(in_flight) < share.max(1.0)
    }

    fn context(&self, key: JobKey, now: TimestampMs) -> PlacementContext {
        let plan = &self.jobs[key].plan;
        let kind = self.work_kind_of(key);
        let keeps_reserve = plan.class > Class::Rush
            && self.has_recent_rush(&plan.service, now)
            && !self.rush_exceeds_room(&plan.service, now);
        PlacementContext {
            run_time_ms: self.next_run_time_as(key, &kind),
            time_left_ms: self.time_left(key, now),
            deviation_permille: self.run_times.deviation_permille(&kind),
            slot_limit: if keeps_reserve {
                SlotLimit::ExceptReserve
            } else {
                SlotLimit::LookAhead(self.config.look_ahead)
            },
        }
    }

    /// Time left to keep a job's promise, unless the job has expired.
    fn time_left(&self, key: JobKey, now: TimestampMs) -> Option<DurationMs> {
        let job = &self.jobs[key];
        let promise = job.promise.filter(|_| job.cost.tier == Tier::Useful)?;
        Some(promise.due_ms.since(now))
    }

    /// Expected run time of a job's next ready task at average speed.
    pub(super) fn next_run_time(&self, key: JobKey) -> DurationMs {
        self.next_run_time_as(key, &self.work_kind_of(key))
    }

    /// As [`Self::next_run_time`], with the job's kind of work given.
    fn next_run_time_as(&self, key: JobKey, kind: &WorkKind) -> DurationMs {
        let prior_ms = self.prior_run_time(&kind.service);
        let declared_ms = self.jobs[key].next_declared_ms();
        if kind.queue.is_none() {
            return self.run_times.expected(kind, prior_ms);
        }
        self.run_times
            .expected_declared(kind, declared_ms, prior_ms)
    }

    /// Whether jobs of the most urgent class have waited all the time for
    /// [`RESERVE_LIMIT_MS`]. The reserve would then give them all that becomes free, so the
    /// weights decide.
    fn rush_exceeds_room(&self, service: &ServiceName, now: TimestampMs) -> bool {
        let since_ms = self.rush_waits_since_ms.get(service);
        since_ms.is_some_and(|since_ms| now.since(*since_ms) >= RESERVE_LIMIT_MS)
    }

    fn track_waiting_rush(&mut self, now: TimestampMs) {
        for (service, queue) in &self.queues {
            if !queue.has_useful_job(Class::Rush) {
                self.rush_waits_since_ms.remove(service);
            } else if !self.rush_waits_since_ms.contains_key(service) {
                self.rush_waits_since_ms.insert(service.clone(), now);
            }
        }
    }

    /// Whether a job of the most urgent class came within [`RUSH_WINDOW_MS`].
    fn has_recent_rush(&self, service: &ServiceName, now: TimestampMs) -> bool {
        let last_ms = self.last_rush_ms.get(service);
        last_ms.is_some_and(|last_ms| now.since(*last_ms) < RUSH_WINDOW_MS)
    }

    /// The run time that the rules state, used until one has been learned.
    pub(super) fn prior_run_time(&self, service: &ServiceName) -> DurationMs {
        let rule = self.rules().service(service);
        rule.map_or(DEFAULT_RUN_TIME_MS, |rule| rule.run_time_ms)
    }

    pub(super) fn work_kind_of(&self, key: JobKey) -> WorkKind {
        let plan = &self.jobs[key].plan;
        WorkKind {
            service: plan.service.clone(),
            queue: plan
                .queue_settings
                .as_ref()
                .map(|settings| settings.queue.clone()),
        }
    }

    /// Dispatches a job's next task. `expected_ms` is its nominal run time.
    fn place(
        &mut self,
        key: JobKey,
        chosen: Candidate,
        eligible: &[Candidate],
        expected_ms: DurationMs,
        now: TimestampMs,
    ) {
        let kind = self.work_kind_of(key);
        let is_learned = self.run_times.is_learned(&kind);
        let job = &mut self.jobs[key];
        let declared_ms = job.next_declared_ms();
        let is_suspect = job.is_next_suspect();
        let suspicion = if is_suspect {
            self.suspicion_at(chosen.key)
        } else {
            Suspicion::None
        };
        let job = &mut self.jobs[key];
        let Some(next) = job.dispatch_next(chosen.key) else {
            return;
        };
        let index = next.index;
        let task = TaskId {
            job: job.plan.id,
            index,
        };
        let (service, team, class) = (
            job.plan.service.clone(),
            job.plan.team.clone(),
            job.plan.class,
        );
        let (run_limit_ms, emptied) = (job.plan.run_limit_ms, job.ready_count() == 0);
        let position = job.queue_position(key);
        let waited_ms = now.since(job.plan.accepted_ms);
        let charge = Charge {
            run_time_ms: expected_ms,
            class_weight: self.rules().class_weight(class),
            team_weight: self.rules().team(&team).map_or(1, |rule| rule.weight),
        };
        if let Some(count) = self.queued.get_mut(&(service.clone(), class)) {
            *count = count.saturating_sub(1);
        }
        if let Some(queue) = self.queues.get_mut(&service) {
            queue.charge(class, &team, charge);
            if emptied {
                queue.remove(&position);
            }
        }
        self.usage.entry(team.clone()).or_default().in_flight += 1;
        let slot_limit = SlotLimit::LookAhead(self.config.look_ahead);
        let alternatives = eligible
            .iter()
            .filter(|other| other.has_free_capacity(slot_limit))
            .count();
        let worker = self
            .fleet
            .get_mut(chosen.key)
            .expect("the candidate was taken from the fleet");
        let dispatched = DispatchedTask {
            sent_ms: now,
            team,
            needs: next.needs,
            kind,
            expected_ms,
            declared_ms,
            is_withdrawn: false,
            suspicion,
            durable: self.jobs[key].is_durable(),
            is_abandoned: false,
        };
        let nominal_ms = expected_ms;
        let work = Work::of(1, nominal_ms, next.needs.processors);
        self.throughput
            .entry((service.clone(), class))
            .or_default()
            .record_placed(work, now);
        let expected_ms = worker.expected_run_time(nominal_ms);
        worker.add_dispatched(task, dispatched);
        worker.session.push(Message::Start(Start {
            task,
            decided_ms: now,
            run_limit_ms,
            nominal_ms,
            is_learned,
            needs: next.needs,
            run: next.run,
            durable: self.jobs[key].is_durable(),
            name: next.name,
            payload: next.payload,
        }));
        let kind = DecisionKind::Placed {
            worker: worker.id.clone(),
            load: chosen.load,
            slots: chosen.slots,
            alternatives: u16::try_from(alternatives.saturating_sub(1)).unwrap_or(u16::MAX),
            waited_ms,
            expected_ms,
            report_age_ms: now.since(worker.session.last_received_ms()),
        };
        self.dirty.insert(chosen.key);
        self.log_decision(now, Some(task.job), Some(index), kind);
    }
}
