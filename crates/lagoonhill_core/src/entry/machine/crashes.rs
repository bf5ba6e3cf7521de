//! Workers that crash under tasks: which tasks are suspected, and which given up.
//!
//! A task under which a worker has crashed is a suspect until it is done. Its next run
//! is beside no other suspect of this entry, so that a second crash shows which of the
//! tasks that shared the first one is the cause.

use std::collections::BTreeSet;

use lagoonhill_protocol::{EntryAddress, HeldRun, Interruption, TargetAnswered, TargetLoss};
use lagoonhill_types::prelude::*;

use super::Entry;
use crate::entry::{
    AfterRun, Candidate, Cause, CrashCount, CrashEvidence, DecisionKind, DispatchedTask, Job,
    JobKey, Needs, Placement, SeenRun, SlotLimit, Suspicion, TaskCrash, UnresolvedCrash, Verdict,
    Worker, WorkerKey,
};

/// Time for which a suspect waits for a worker that no other entry uses for suspects: a
/// worker that has crashed is usually back by then.
const OWN_WORKER_WAIT_MS: DurationMs = DurationMs(4_000);

/// Longest time for which a task waits until losses of workers are resolved. A crashed
/// target is usually back by then, and a cut over.
const MAX_LOSS_WAIT_MS: DurationMs = DurationMs(10_000);

/// A run may have ended before a crash if it was not seen for longer than this, unless it
/// had just started.
const MAX_UNSEEN_MS: DurationMs = DurationMs(5);

/// A run up to this age that is not near its end has just started: two or three looks of
/// an agent while ends wait to be stored.
const MAX_STARTED_AGE_MS: DurationMs = DurationMs(50);

/// Divisor of the expected run time that gives the age from which a run is near its end.
const NEAR_END_DIVISOR: u64 = 2;

/// A run that started this long before the last one at its worker, or less, may have
/// crashed it soon after its start.
const RECENT_START_MS: DurationMs = DurationMs(50);

impl<P: Placement> Entry<P> {
    /// Counts a crash under a task that the worker held. Returns the cause for which the
    /// job is to be given up, if it is.
    pub(super) fn count_crash(
        &mut self,
        key: JobKey,
        index: TaskIndex,
        interruption: &Interruption,
        worker: (WorkerKey, &WorkerId),
        dispatched: &DispatchedTask,
        now: TimestampMs,
    ) -> Option<Cause> {
        let (worker_key, worker) = worker;
        let is_isolated = dispatched.suspicion == Suspicion::Isolated;
        let crash = self.crash_of(key, interruption, worker_key, dispatched)?;
        let job = &mut self.jobs[key];
        let crashes = job.add_crash(index, worker_key, crash, now)?.clone();
        let verdict = crashes.verdict();
        let service = job.plan.service.clone();
        let id = job.plan.id;
        let kind = DecisionKind::Crashed {
            worker: worker.clone(),
            crashes: crashes.clone(),
            is_isolated,
            verdict,
        };
        self.log_decision(now, Some(id), Some(index), kind);
        self.confirm_crash(worker_key, &service, true, now);
        if verdict != Verdict::Convicted {
            if !crashes.unresolved.is_empty() {
                self.jobs_with_losses.insert(key);
            }
            // Without the delay of other progress, as the task starts again at once.
            self.store_next(key);
            return None;
        }
        Some(Cause::CrashedWorkers {
            index,
            crashes: crashes.certain.total(),
            worker: worker.clone(),
        })
    }

    /// The crash that an interruption of a run tells of, if it does. A job that is not
    /// durable is over before a loss is resolved, so a loss counts as a crash at work there.
    fn crash_of(
        &self,
        job: JobKey,
        interruption: &Interruption,
        worker: WorkerKey,
        dispatched: &DispatchedTask,
    ) -> Option<TaskCrash> {
        let TargetLoss { held, unresolved } = match interruption {
            Interruption::TargetLost(loss) => loss,
            Interruption::TargetCrashed { .. } | Interruption::TargetCrashedAtStart => {
                return Some(TaskCrash::Certain(CrashEvidence::AtStart));
            }
            Interruption::Other(_) => return None,
        };
        let worker = self.fleet.get(worker)?;
        let is_durable = self.jobs[job].is_durable();
        let evidence = evidence_of(held, is_durable, dispatched, worker);
        let loss = unresolved.as_ref();
        Some(match loss.filter(|_| is_durable).cloned() {
            None => TaskCrash::Certain(evidence),
            Some(loss) => TaskCrash::Unresolved(UnresolvedCrash {
                worker: worker.id.clone(),
                agent: worker.session.id().agent,
                loss,
                evidence,
            }),
        })
    }

    /// Handles that a worker's target has answered as another incarnation, or again after
    /// a loss.
    pub(super) fn on_target_answered(
        &mut self,
        key: WorkerKey,
        answered: TargetAnswered,
        now: TimestampMs,
    ) {
        if let Some(worker) = self.fleet.get_mut(key) {
            worker.answered = Some(answered);
        }
        let jobs = std::mem::take(&mut self.jobs_with_losses);
        for job in &jobs {
            self.resolve_losses_at(*job, key, now);
        }
        let is_open = |job: &JobKey| self.jobs.get(*job).is_some_and(Job::has_unresolved_losses);
        self.jobs_with_losses
            .extend(jobs.into_iter().filter(is_open));
    }

    /// Resolves the losses under a job's tasks that the workers' last answers tell of.
    pub(super) fn resolve_losses(&mut self, job: JobKey, now: TimestampMs) {
        if !self.jobs[job].has_unresolved_losses() {
            return;
        }
        self.jobs_with_losses.insert(job);
        for worker in self.fleet.keys() {
            self.resolve_losses_at(job, worker, now);
        }
    }

    /// As [`Self::resolve_losses`], by the last answer of one worker.
    pub(super) fn resolve_losses_at(&mut self, key: JobKey, worker: WorkerKey, now: TimestampMs) {
        let Some(worker) = self.fleet.get(worker) else {
            return;
        };
        let (Some(answered), Some(job)) = (&worker.answered, self.jobs.get_mut(key)) else {
            return;
        };
        let id = job.plan.id;
        let resolved = job.resolve_losses(&worker.id, worker.session.id().agent, answered);
        let tasks: BTreeSet<TaskIndex> = resolved.iter().map(|(index, _)| *index).collect();
        for (index, resolved) in resolved {
            let Some(crashes) = self.jobs[key].crashes(index).cloned() else {
                continue;
            };
            let verdict = crashes.verdict();
            let cause = Cause::CrashedWorkers {
                index,
                crashes: crashes.certain.total(),
                worker: resolved.crash.worker.clone(),
            };
            let kind = DecisionKind::LossResolved {
                resolved,
                crashes,
                verdict,
            };
            self.log_decision(now, Some(id), Some(index), kind);
            if verdict == Verdict::Convicted && !self.jobs[key].is_ending() {
                self.fail_job(key, cause, now);
            }
        }
        for index in tasks {
            let verdict = self.jobs.get(key).and_then(|job| job.crashes(index));
            if verdict.is_some_and(|crashes| crashes.verdict() == Verdict::Suspected) {
                self.release_awaited(key, index);
            }
        }
        self.store_next(key);
    }

    /// Handles what follows for a task after a run that was not successful, or that can't
    /// go on any more: queues it again, or logs why it waits.
    pub(super) fn after_run(
        &mut self,
        key: JobKey,
        index: TaskIndex,
        after_run: AfterRun,
        now: TimestampMs,
    ) {
        match after_run {
            AfterRun::Withheld => self.log_withheld(key, index, now),
            AfterRun::Awaited => {
                let until_ms = now + MAX_LOSS_WAIT_MS;
                self.awaited.insert((until_ms, key, index));
                let id = self.jobs[key].plan.id;
                let kind = DecisionKind::Awaited { until_ms };
                self.log_decision(now, Some(id), Some(index), kind);
            }
            AfterRun::Ready | AfterRun::Exhausted => self.enqueue(key, 1),
        }
    }

    /// Queues a task again that waits until losses are resolved, if it does.
    fn release_awaited(&mut self, key: JobKey, index: TaskIndex) {
        self.awaited
            .retain(|(_, job, task)| (*job, *task) != (key, index));
        if self.jobs[key].release_awaited(index) {
            self.enqueue(key, 1);
        }
    }

    /// Ends the wait of tasks whose losses were not resolved in time. A task with too many
    /// of them is given up.
    pub(super) fn end_waits_for_losses(&mut self, now: TimestampMs) {
        while let Some(&(until_ms, key, index)) = self.awaited.first() {
            if until_ms > now {
                return;
            }
            self.awaited.pop_first();
            let job = self.jobs.get(key).filter(|job| job.awaits_losses(index));
            let Some(crashes) = job.and_then(|job| job.crashes(index)) else {
                continue;
            };
            let last = crashes.unresolved.last().map(|crash| crash.worker.clone());
            let crashes = crashes.total();
            let Some(worker) = last.filter(|_| crashes >= CrashCount::MAX_TOTAL) else {
                self.release_awaited(key, index);
                continue;
            };
            let cause = Cause::CrashedWorkers {
                index,
                crashes,
                worker,
            };
            self.fail_job(key, cause, now);
        }
    }

    /// Removes the candidates where a task must not run, as a crash there would not show
    /// its cause. A suspect goes to the emptiest of the workers without one, at first only
    /// to one that no other entry uses for suspects; other tasks avoid the workers with one
    /// while there is free capacity elsewhere.
    pub(super) fn keep_suspects_apart(
        &self,
        eligible: &mut Vec<Candidate>,
        job: JobKey,
        needs: &Needs,
        now: TimestampMs,
    ) {
        let holds_suspect = |candidate: &Candidate| {
            let worker = self.fleet.get(candidate.key);
            worker.is_some_and(Worker::holds_suspect)
        };
        if self.jobs[job].is_next_suspect() {
            let service = &self.jobs[job].plan.service;
            let is_own = |candidate: &Candidate| {
                let worker = self.fleet.get(candidate.key);
                worker.is_some_and(|worker| self.tests_suspects_at(worker))
            };
            let kind = self.work_kind_of(job);
            let own_may_return = |(_, worker): (WorkerKey, &Worker)| {
                worker.may_return_for(service, needs, now)
                    && self.tests_suspects_at(worker)
                    && self.containment.may_run(&kind, &worker.id)
            };
            if self.waits_for_own_worker(job, now)
                && (eligible.iter().any(is_own) || self.fleet.iter().any(own_may_return))
            {
                eligible.retain(is_own);
            }
            eligible.retain(|candidate| !holds_suspect(candidate));
            let least_load = eligible.iter().map(|candidate| candidate.load).min();
            eligible.retain(|candidate| Some(candidate.load) == least_load);
            return;
        }
        let has_room = |candidate: &Candidate| {
            candidate.has_free_capacity(SlotLimit::LookAhead(0)) && !holds_suspect(candidate)
        };
        if eligible.iter().any(has_room) {
            eligible.retain(|candidate| !holds_suspect(candidate));
        }
    }

    /// Whether a job's next task is a suspect that waits for a worker that no other entry
    /// uses for suspects.
    pub(super) fn waits_for_own_worker(&self, job: JobKey, now: TimestampMs) -> bool {
        let crashed_ms = self.jobs[job].next_crashed_ms();
        crashed_ms.is_some_and(|crashed_ms| now.since(crashed_ms) < OWN_WORKER_WAIT_MS)
    }

    /// How a suspect runs that is placed at a worker without one.
    pub(super) fn suspicion_at(&self, key: WorkerKey) -> Suspicion {
        let worker = self.fleet.get(key);
        if worker.is_some_and(|worker| self.tests_suspects_at(worker)) {
            Suspicion::Isolated
        } else {
            Suspicion::Suspect
        }
    }

    /// Whether this entry is the one, of all live ones, that places its suspects at a
    /// worker: the one of the highest weight (rendezvous hashing).
    fn tests_suspects_at(&self, worker: &Worker) -> bool {
        let weight = |entry: &&EntryAddress| rendezvous_weight(&worker.id, entry.incarnation);
        let chosen = self.entries.iter().max_by_key(weight);
        chosen.is_none_or(|chosen| chosen.incarnation == self.config.address.incarnation)
    }
}

/// What the crash of a worker shows of a run that it held.
fn evidence_of(
    held: &HeldRun,
    is_durable: bool,
    dispatched: &DispatchedTask,
    worker: &Worker,
) -> CrashEvidence {
    let HeldRun::Confirmed {
        before_last_start_ms,
        age_ms,
        unseen_ms,
    } = held
    else {
        return CrashEvidence::AtStart;
    };
    let is_cause =
        dispatched.suspicion == Suspicion::Isolated && *before_last_start_ms <= RECENT_START_MS;
    let expected_ms = worker.expected_run_time(dispatched.expected_ms);
    let declared_ms = Some(dispatched.declared_ms).filter(|declared_ms| declared_ms.0 > 0);
    let shortest_ms = declared_ms.map_or(expected_ms, |declared_ms| declared_ms.min(expected_ms));
    let is_near_end = *age_ms >= shortest_ms / NEAR_END_DIVISOR;
    let has_just_started = *age_ms <= MAX_STARTED_AGE_MS && !is_near_end;
    let run = SeenRun {
        age_ms: *age_ms,
        is_cause,
    };
    if !is_durable || has_just_started {
        CrashEvidence::AtWork(run)
    } else if *unseen_ms > MAX_UNSEEN_MS {
        CrashEvidence::MayHaveEnded
    } else if is_near_end {
        CrashEvidence::NearEnd(run)
    } else {
        CrashEvidence::AtWork(run)
    }
}

/// Weight of an entry for a worker, the same at all entries and releases: FNV-1a, with a
/// final mix that spreads entries of similar incarnations.
fn rendezvous_weight(worker: &WorkerId, entry: Incarnation) -> u64 {
    const OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x0000_0100_0000_01b3;
    const MIX: u64 = 0xff51_afd7_ed55_8ccd;
    let bytes = worker.as_str().bytes().chain(entry.0.to_le_bytes());
    let hash = bytes.fold(OFFSET, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(PRIME)
    });
    let hash = (hash ^ (hash >> 33)).wrapping_mul(MIX);
    hash ^ (hash >> 33)
}
