//! Durable jobs: stored before they are accepted, run only while the store
//! confirms this entry's ownership, and over once their end is stored.
//!
//! A task's end counts once it is stored. Then it is acknowledged to the agent,
//! which retains it until then. If this entry is lost before that, the end is
//! discarded and the next owner runs the task again.

use std::sync::Arc;

use lagoonhill_protocol::Message;
use lagoonhill_types::prelude::*;

use super::{DEFAULT_RETRY_MS, Entry};
use crate::entry::{
    Answer, CallerId, Cause, DecisionKind, EntryEffect, Job, JobFailure, JobKey, KeepOrder,
    Keeping, KeptJob, KeptState, Placement, RunCertainty, Stored, Submission, UnderWay, WorkerKey,
};
use crate::on_slow_clock;

/// Abandoned jobs that are remembered, so that late ends of their tasks are
/// discarded and not acknowledged.
const MAX_ABANDONED_JOBS: usize = 20_000;

/// Delay before ends are stored together. Most jobs are over by then, which saves
/// one call to the store.
const SAVE_DELAY_MS: DurationMs = DurationMs(80);

/// Margin on the time by which an earlier owner's runs end, for the reaction time
/// of its agents and targets.
const TAKEOVER_MARGIN_MS: DurationMs = DurationMs(200);

impl<P: Placement> Entry<P> {
    /// Sets the time until which the store has confirmed this entry's ownership of
    /// durable jobs.
    pub fn set_owned_until(&mut self, until_ms: TimestampMs) {
        self.owned_until_ms = until_ms;
    }

    pub(super) fn is_owner(&self, now: TimestampMs) -> bool {
        now < self.owned_until_ms
    }

    /// Accepts a durable job. Its caller is answered once it has been stored.
    pub fn submit_kept(&mut self, caller: CallerId, submission: Submission, now: TimestampMs) {
        let Some(name) = submission.name() else {
            let failure = JobFailure::refused(Cause::NotNamed);
            return self.refuse(caller, None, failure, now);
        };
        if let Some(&key) = self.kept.get(&name) {
            let job = &mut self.jobs[key];
            if job.is_accepted() {
                let id = job.plan.id;
                return self.answer_accepted(caller, id);
            }
            job.callers.push(caller);
            self.by_caller.insert(caller, key);
            return;
        }
        if !self.is_owner(now) {
            let failure = JobFailure::refused_for_now(Cause::StoreUnavailable, DEFAULT_RETRY_MS);
            return self.refuse(caller, Some(name), failure, now);
        }
        let number = self.next_number();
        let submission = Arc::new(submission);
        let keeping = Keeping::new(Arc::clone(&submission), 1, false);
        let admitted = self.admit_durable(&submission, keeping, number, now);
        let key = match admitted {
            Ok(key) => key,
            Err(failure) => return self.refuse(caller, Some(name), failure, now),
        };
        self.jobs[key].callers.push(caller);
        self.by_caller.insert(caller, key);
        self.kept.insert(name, key);
        self.store_next(key);
    }

    /// Takes over a durable job whose owner is gone. None of its tasks starts
    /// before the last owner's runs have certainly ended.
    pub fn adopt(&mut self, name: &RequestKey, kept: &KeptJob, now: TimestampMs) {
        if self.kept.contains_key(name) || !self.is_owner(now) {
            return;
        }
        let number = self.next_number();
        let keeping = Keeping::new(Arc::clone(&kept.submission), kept.epoch + 1, true);
        let key = self.insert_durable(&kept.submission, keeping, number, now);
        self.kept.insert(name.clone(), key);
        let timing = self.config.timing;
        let over_ms =
            now + timing.run_lease_ms + on_slow_clock(timing.hold_ms) + TAKEOVER_MARGIN_MS;
        let job = &mut self.jobs[key];
        let id = job.plan.id;
        let waiting = job.resume(&kept.progress, over_ms);
        for index in waiting {
            self.in_doubt.insert((over_ms, key, index));
        }
        let epoch = kept.epoch + 1;
        self.log_decision(
            now,
            Some(id),
            None,
            DecisionKind::Adopted { epoch, over_ms },
        );
        // The last owner may have stored the ends of all tasks but not the job's.
        if self.jobs[key].is_complete() {
            self.complete_durable(key, now);
        }
    }

    /// Handles the result of a request to the store.
    pub fn stored(&mut self, name: &RequestKey, stored: Stored, now: TimestampMs) {
        let Some(&key) = self.kept.get(name) else {
            return;
        };
        let job = &mut self.jobs[key];
        let Some(keeping) = &mut job.keeping else {
            return;
        };
        let is_end = std::mem::replace(&mut keeping.under_way, UnderWay::Nothing) == UnderWay::End;
        if !keeping.accepted {
            return self.on_accept_stored(key, stored, now);
        }
        match stored {
            Stored::Done => {
                let covered = std::mem::take(&mut keeping.noting);
                let uncovered = if is_end {
                    std::mem::take(&mut keeping.unnoted)
                } else {
                    Vec::new()
                };
                self.acknowledge_ends(&covered);
                self.acknowledge_ends(&uncovered);
                if is_end {
                    self.remove_durable(key);
                } else {
                    self.store_next(key);
                }
            }
            Stored::Taken(state) => self.abandon_job(key, state, now),
            // Requested again until the store gives a definite answer.
            Stored::Refused | Stored::Unknown => {
                let mut ends = std::mem::take(&mut keeping.noting);
                ends.append(&mut keeping.unnoted);
                keeping.unnoted = ends;
                keeping.dirty = true;
                self.store_next(key);
            }
        }
    }

    fn on_accept_stored(&mut self, key: JobKey, stored: Stored, now: TimestampMs) {
        match stored {
            Stored::Done if self.is_owner(now) => {
                let job = &mut self.jobs[key];
                if let Some(keeping) = &mut job.keeping {
                    keeping.accepted = true;
                }
                self.answer_callers(key, None);
                self.enqueue_durable(key, now);
                self.store_next(key);
                self.dispatch_all(now);
            }
            // A job of this name exists already, or another owner will find this
            // one in the store.
            Stored::Done | Stored::Taken(_) => {
                self.answer_callers(key, None);
                self.remove_durable(key);
            }
            Stored::Refused | Stored::Unknown => {
                let run = if stored == Stored::Refused {
                    RunCertainty::NotRun
                } else {
                    RunCertainty::MayHaveRun
                };
                let failure = JobFailure {
                    run,
                    cause: Cause::StoreUnavailable,
                    retry_after_ms: (run == RunCertainty::NotRun).then_some(DEFAULT_RETRY_MS),
                };
                let name = self.jobs[key].name();
                let kind = DecisionKind::Refused {
                    cause: Cause::StoreUnavailable,
                };
                self.log_decision_for_request(now, None, name, None, kind);
                self.answer_callers(key, Some(&failure));
                self.remove_durable(key);
            }
        }
    }

    fn answer_accepted(&mut self, caller: CallerId, id: JobId) {
        let outcome = Ok(Arc::from(Vec::new()));
        let job = Some(id);
        self.answer(caller, Answer { job, outcome });
    }

    fn answer_callers(&mut self, key: JobKey, failure: Option<&JobFailure>) {
        let job = &mut self.jobs[key];
        let (id, callers) = (job.plan.id, std::mem::take(&mut job.callers));
        for caller in callers {
            self.by_caller.remove(&caller);
            match failure {
                None => self.answer_accepted(caller, id),
                Some(failure) => {
                    let outcome = Err(failure.clone());
                    self.answer(caller, Answer { job: None, outcome });
                }
            }
        }
    }

    /// Whether a task of a durable job has been dispatched, if this entry owns the
    /// job and it is not over. A job is over once its end is stored.
    pub fn kept_started(&self, name: &RequestKey) -> Option<bool> {
        let job = &self.jobs[*self.kept.get(name)?];
        if !job.is_accepted() {
            return None;
        }
        Some(job.has_started())
    }

    /// Cancels a durable job of this entry; returns whether there is one. It
    /// remains in [`Self::kept_started`] until its end is stored.
    pub fn cancel_kept(&mut self, name: &RequestKey, now: TimestampMs) -> bool {
        let Some(&key) = self.kept.get(name) else {
            return false;
        };
        if !self.jobs[key].is_accepted() {
            return false;
        }
        self.fail_durable(key, Cause::Cancelled, now);
        self.dispatch_all(now);
        true
    }

    /// Ends a durable job of which every task has succeeded.
    pub(super) fn complete_durable(&mut self, key: JobKey, now: TimestampMs) {
        let took_ms = now.since(self.jobs[key].plan.accepted_ms);
        self.end_durable(
            key,
            KeptState::Complete,
            DecisionKind::Completed { took_ms },
            now,
        );
    }

    /// Ends a durable job that has failed or was cancelled.
    pub(super) fn fail_durable(&mut self, key: JobKey, cause: Cause, now: TimestampMs) {
        let job = &self.jobs[key];
        let state = if cause == Cause::Cancelled {
            KeptState::Cancelled
        } else {
            KeptState::Failed
        };
        let kind = DecisionKind::Failed {
            run: job.certainty(),
            cause,
            took_ms: now.since(job.plan.accepted_ms),
        };
        self.end_durable(key, state, kind, now);
    }

    /// Sets how a durable job ends, stops its runs and stores the end.
    fn end_durable(&mut self, key: JobKey, state: KeptState, kind: DecisionKind, now: TimestampMs) {
        let job = &mut self.jobs[key];
        let Some(keeping) = job
            .keeping
            .as_mut()
            .filter(|keeping| keeping.ending.is_none())
        else {
            return;
        };
        keeping.ending = Some(state);
        keeping.dirty = true;
        let id = job.plan.id;
        self.stop_runs(key);
        self.log_decision(now, Some(id), None, kind);
        self.store_next(key);
    }

    /// Answers a task's end whose job is no longer at this entry.
    pub(super) fn answer_unknown_end(&mut self, task: TaskId, worker: WorkerKey) {
        let message = if self.abandoned_jobs.contains(&task.job) {
            Message::Forgone(vec![task])
        } else {
            Message::Noted(vec![task])
        };
        self.push_message(worker, message);
    }

    /// Schedules storing a durable job's progress, together with ends that follow
    /// within [`SAVE_DELAY_MS`].
    pub(super) fn schedule_save(&mut self, key: JobKey, now: TimestampMs) {
        if self.jobs.get(key).is_some_and(Job::is_kept) {
            self.saves_due.insert((now + SAVE_DELAY_MS, key));
        }
    }

    pub(super) fn store_due_progress(&mut self, now: TimestampMs) {
        while let Some(&(due_ms, key)) = self.saves_due.first() {
            if due_ms > now {
                return;
            }
            self.saves_due.pop_first();
            self.store_next(key);
        }
    }

    /// Requests the next store operation for a job, unless one is in flight.
    pub(super) fn store_next(&mut self, key: JobKey) {
        let Some(job) = self.jobs.get_mut(key).filter(|job| job.is_kept()) else {
            return;
        };
        let progress = job.progress();
        let name = job.name();
        let (Some(keeping), Some(name)) = (&mut job.keeping, name) else {
            return;
        };
        if keeping.under_way != UnderWay::Nothing || keeping.accepted && !keeping.dirty {
            return;
        }
        keeping.under_way = if keeping.accepted && keeping.ending.is_some() {
            UnderWay::End
        } else {
            UnderWay::Progress
        };
        keeping.dirty = false;
        keeping.noting.append(&mut keeping.unnoted);
        let kept = KeptJob {
            submission: Arc::clone(&keeping.submission),
            progress,
            epoch: keeping.epoch,
        };
        let order = match keeping.ending {
            _ if !keeping.accepted => KeepOrder::Accept(kept),
            Some(state) => KeepOrder::Finish(state),
            None => KeepOrder::Save(kept),
        };
        self.effects.push(EntryEffect::Keep { name, order });
    }

    fn push_message(&mut self, worker: WorkerKey, message: Message) {
        if let Some(worker) = self.fleet.get_mut(worker) {
            worker.session.push(message);
        }
        self.dirty.insert(worker);
    }

    fn acknowledge_ends(&mut self, ends: &[(TaskId, WorkerKey)]) {
        for (task, worker) in ends {
            self.push_message(*worker, Message::Noted(vec![*task]));
        }
    }

    fn stop_runs(&mut self, key: JobKey) {
        let job = &mut self.jobs[key];
        let (id, workers) = (job.plan.id, job.workers());
        let ready = job.ready_count();
        let (service, class) = (job.plan.service.clone(), job.plan.class);
        let (lane, place) = (job.lane, job.place(key));
        job.withdraw();
        if let Some(count) = self.queued.get_mut(&(service.clone(), class)) {
            *count = count.saturating_sub(ready);
        }
        if let Some(queue) = self.queues.get_mut(&service) {
            queue.remove(lane, &place);
        }
        for worker in workers {
            self.push_message(worker, Message::CancelJob(id));
        }
    }

    /// Removes a durable job from this entry.
    fn remove_durable(&mut self, key: JobKey) -> Option<Job> {
        let name = self.jobs.get(key)?.name();
        if let Some(name) = name {
            self.kept.remove(&name);
        }
        self.remove_job(key)
    }

    /// Abandons a job that another entry owns or may own, or that is over.
    fn abandon_job(&mut self, key: JobKey, state: KeptState, now: TimestampMs) {
        self.stop_runs(key);
        let Some(job) = self.remove_durable(key) else {
            return;
        };
        let kind = DecisionKind::GivenUp { state };
        self.log_decision_for_request(now, Some(job.plan.id), job.name(), None, kind);
        let Some(keeping) = job.keeping else {
            return;
        };
        if state == KeptState::Open {
            self.remember_abandoned(job.plan.id);
        }
        for (task, worker) in keeping.noting.into_iter().chain(keeping.unnoted) {
            self.answer_unknown_end(task, worker);
        }
    }

    fn remember_abandoned(&mut self, id: JobId) {
        if self.abandoned_jobs.len() >= MAX_ABANDONED_JOBS {
            self.abandoned_jobs.pop_first();
        }
        self.abandoned_jobs.insert(id);
    }

    /// Abandons all accepted durable jobs once the confirmed ownership has expired:
    /// another entry may own them by now.
    pub(super) fn abandon_unowned_jobs(&mut self, now: TimestampMs) {
        if self.is_owner(now) || self.kept.is_empty() {
            return;
        }
        let accepted = |key: &JobKey| self.jobs[*key].is_accepted();
        let keys: Vec<JobKey> = self.kept.values().copied().filter(accepted).collect();
        for key in keys {
            self.abandon_job(key, KeptState::Open, now);
        }
    }
}
