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
    Answer, CallerId, Cause, DecisionKind, DurableJob, DurableJobState, DurableState, EntryEffect,
    Job, JobFailure, JobKey, JobTerms, PendingWrite, Placement, RunCertainty, StoreOutcome,
    StoreRequest, StoreWrite, StoreWriteId, Submission, WorkerKey,
};
use crate::on_slow_clock;

/// Delay before ends are stored together. Most jobs are over by then, which saves
/// one call to the store.
const SAVE_DELAY_MS: DurationMs = DurationMs(80);

/// Margin on the time by which an earlier owner's runs end, for the reaction time
/// of its agents and targets.
const TAKEOVER_MARGIN_MS: DurationMs = DurationMs(200);

impl<P: Placement> Entry<P> {
    /// Sets until when the store has confirmed the ownership of durable jobs.
    pub fn set_ownership_expiry(&mut self, until_ms: TimestampMs) {
        self.owned_until_ms = until_ms;
    }

    pub(super) fn is_owner(&self, now: TimestampMs) -> bool {
        now < self.owned_until_ms
    }

    /// Accepts a durable job. Its caller is answered once it has been stored.
    pub fn submit_durable(&mut self, caller: CallerId, submission: Submission, now: TimestampMs) {
        let Some(name) = submission.name() else {
            let failure = JobFailure::refused(Cause::NotNamed);
            return self.refuse(caller, None, failure, now);
        };
        if let Some(&key) = self.durable_jobs.get(&name) {
            let job = &mut self.jobs[key];
            let known = job.durable.as_ref().map(|it| it.submission.fingerprint());
            if known.is_some_and(|known| known != submission.fingerprint()) {
                let failure = JobFailure::refused(Cause::KeyReused);
                return self.refuse(caller, Some(name), failure, now);
            }
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
        let terms = self.terms_of(&submission);
        let durable = DurableState::new(Arc::clone(&submission), terms, 1, false);
        let admitted = self.admit_durable(&submission, durable, number, now);
        let key = match admitted {
            Ok(key) => key,
            Err(failure) => return self.refuse(caller, Some(name), failure, now),
        };
        self.jobs[key].callers.push(caller);
        self.by_caller.insert(caller, key);
        self.durable_jobs.insert(name, key);
        self.store_next(key);
    }

    /// Takes over a durable job whose owner is gone. None of its tasks starts
    /// before the last owner's runs have certainly ended.
    pub fn take_over(&mut self, name: &RequestKey, record: &DurableJob, now: TimestampMs) {
        if self.durable_jobs.contains_key(name) || !self.is_owner(now) {
            return;
        }
        let number = self.next_number();
        let terms = record.terms.or_else(|| self.terms_of(&record.submission));
        let submission = Arc::clone(&record.submission);
        let durable = DurableState::new(submission, terms, record.epoch + 1, true);
        let key = self.insert_durable(&record.submission, durable, number, now);
        self.durable_jobs.insert(name.clone(), key);
        let timing = self.config.timing;
        let in_doubt_until_ms =
            now + timing.run_lease_ms + on_slow_clock(timing.hold_ms) + TAKEOVER_MARGIN_MS;
        let job = &mut self.jobs[key];
        let id = job.plan.id;
        let in_doubt = job.resume(&record.progress, in_doubt_until_ms);
        for index in in_doubt {
            self.in_doubt.insert((in_doubt_until_ms, key, index));
        }
        let epoch = record.epoch + 1;
        self.log_decision(
            now,
            Some(id),
            None,
            DecisionKind::TakenOver {
                epoch,
                in_doubt_until_ms,
            },
        );
        // The last owner may have stored the ends of all tasks but not the job's.
        if self.jobs[key].is_complete() {
            return self.complete_durable(key, now);
        }
        self.resolve_losses(key, now);
    }

    /// Logs that a task waits until the rules have the job's queue again.
    pub(super) fn log_withheld(&mut self, key: JobKey, index: TaskIndex, now: TimestampMs) {
        let plan = &self.jobs[key].plan;
        let Some(settings) = &plan.queue_settings else {
            return;
        };
        let (id, queue) = (plan.id, settings.queue.clone());
        let kind = DecisionKind::Withheld { queue };
        self.log_decision(now, Some(id), Some(index), kind);
    }

    /// Sets the terms of jobs that were taken over without any, where the rules have
    /// their queue again.
    pub(super) fn settle_terms(&mut self, now: TimestampMs) {
        let settled: Vec<(JobKey, JobTerms)> = self
            .durable_jobs
            .values()
            .filter_map(|key| {
                let durable = self.jobs[*key].durable.as_ref()?;
                let is_open = durable.terms.is_none() && durable.final_state.is_none();
                let terms = is_open.then(|| self.terms_of(&durable.submission))??;
                Some((*key, terms))
            })
            .collect();
        for (key, terms) in settled {
            match self.jobs[key].set_terms(terms) {
                Ok(0) => {}
                Ok(ready) => self.enqueue(key, ready),
                Err(index) => {
                    let attempts = terms.attempts;
                    let cause = Cause::NoAttemptLeft { index, attempts };
                    self.fail_job(key, cause, now);
                }
            }
            self.schedule_save(key, now);
        }
    }

    /// Handles the result of a request to the store. That of an earlier job of the same
    /// name, which this entry has abandoned, is ignored.
    pub fn on_stored(
        &mut self,
        name: &RequestKey,
        id: StoreWriteId,
        outcome: StoreOutcome,
        now: TimestampMs,
    ) {
        let Some(&key) = self.durable_jobs.get(name) else {
            return;
        };
        let job = &mut self.jobs[key];
        let Some(durable) = &mut job.durable else {
            return;
        };
        let Some(PendingWrite { is_end, .. }) = durable.pending_write.take_if(|it| it.id == id)
        else {
            return;
        };
        if !durable.is_stored {
            return self.on_accept_stored(key, outcome, now);
        }
        match outcome {
            StoreOutcome::Done => {
                let covered = std::mem::take(&mut durable.pending_ends);
                let uncovered = if is_end {
                    std::mem::take(&mut durable.unstored_ends)
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
            StoreOutcome::OwnedElsewhere(state) => self.abandon_job(key, state, now),
            // Requested again until the store gives a definite answer.
            StoreOutcome::Rejected | StoreOutcome::Unknown => {
                let mut ends = std::mem::take(&mut durable.pending_ends);
                ends.append(&mut durable.unstored_ends);
                durable.unstored_ends = ends;
                durable.dirty = true;
                self.store_next(key);
            }
        }
    }

    fn on_accept_stored(&mut self, key: JobKey, outcome: StoreOutcome, now: TimestampMs) {
        match outcome {
            StoreOutcome::Done if self.is_owner(now) => {
                let job = &mut self.jobs[key];
                if let Some(durable) = &mut job.durable {
                    durable.is_stored = true;
                }
                self.answer_callers(key, None);
                self.enqueue_durable(key, now);
                self.store_next(key);
                self.dispatch_all(now);
            }
            // The name is taken, or another owner will find the job in the store.
            StoreOutcome::Done | StoreOutcome::OwnedElsewhere(_) => {
                self.answer_callers(key, None);
                self.remove_durable(key);
            }
            StoreOutcome::Rejected | StoreOutcome::Unknown => {
                let run = if outcome == StoreOutcome::Rejected {
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
                    weighed: None,
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

    /// Whether this entry has a durable job of a name, stored or about to be.
    pub fn knows_durable_job(&self, name: &RequestKey) -> bool {
        self.durable_jobs.contains_key(name)
    }

    /// Whether a task of a durable job has been dispatched, if this entry owns the
    /// job and it is not over. A job is over once its end is stored.
    pub fn durable_job_started(&self, name: &RequestKey) -> Option<bool> {
        let job = &self.jobs[*self.durable_jobs.get(name)?];
        if !job.is_accepted() {
            return None;
        }
        Some(job.has_started())
    }

    /// Cancels a durable job of this entry; returns whether there is one. It
    /// remains in [`Self::durable_job_started`] until its end is stored.
    pub fn cancel_durable(&mut self, name: &RequestKey, now: TimestampMs) -> bool {
        let Some(&key) = self.durable_jobs.get(name) else {
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
            DurableJobState::Complete,
            DecisionKind::Completed { took_ms },
            now,
        );
    }

    /// Ends a durable job that has failed or was cancelled.
    pub(super) fn fail_durable(&mut self, key: JobKey, cause: Cause, now: TimestampMs) {
        let job = &self.jobs[key];
        let state = if cause == Cause::Cancelled {
            DurableJobState::Cancelled
        } else {
            DurableJobState::Failed
        };
        let kind = DecisionKind::Failed {
            run: job.certainty(),
            cause,
            took_ms: now.since(job.plan.accepted_ms),
            given_up: None,
        };
        self.end_durable(key, state, kind, now);
    }

    /// Sets how a durable job ends, stops its runs and stores the end.
    fn end_durable(
        &mut self,
        key: JobKey,
        state: DurableJobState,
        kind: DecisionKind,
        now: TimestampMs,
    ) {
        let job = &mut self.jobs[key];
        let Some(durable) = job
            .durable
            .as_mut()
            .filter(|durable| durable.final_state.is_none())
        else {
            return;
        };
        durable.final_state = Some(state);
        durable.dirty = true;
        let id = job.plan.id;
        self.stop_runs(key);
        self.log_decision(now, Some(id), None, kind);
        self.store_next(key);
    }

    /// Answers a task's end whose job is no longer at this entry: it is over, or was
    /// abandoned before its end was stored.
    pub(super) fn answer_unknown_end(
        &mut self,
        task: TaskId,
        worker: WorkerKey,
        is_abandoned: bool,
    ) {
        let message = if is_abandoned {
            Message::EndsDiscarded(vec![task])
        } else {
            Message::EndsStored(vec![task])
        };
        self.push_message(worker, message);
    }

    /// Schedules storing a durable job's progress, together with ends that follow
    /// within [`SAVE_DELAY_MS`].
    pub(super) fn schedule_save(&mut self, key: JobKey, now: TimestampMs) {
        if self.jobs.get(key).is_some_and(Job::is_durable) {
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
        let Some(job) = self.jobs.get_mut(key).filter(|job| job.is_durable()) else {
            return;
        };
        let progress = job.progress();
        let name = job.name();
        let (Some(durable), Some(name)) = (&mut job.durable, name) else {
            return;
        };
        if durable.pending_write.is_some() || durable.is_stored && !durable.dirty {
            return;
        }
        self.store_writes += 1;
        let id = StoreWriteId(self.store_writes);
        durable.pending_write = Some(PendingWrite {
            id,
            is_end: durable.is_stored && durable.final_state.is_some(),
        });
        durable.dirty = false;
        durable.pending_ends.append(&mut durable.unstored_ends);
        let epoch = durable.epoch;
        let record = DurableJob {
            submission: Arc::clone(&durable.submission),
            terms: durable.terms,
            progress,
            epoch,
        };
        let request = match durable.final_state {
            _ if !durable.is_stored => StoreRequest::Accept(record),
            Some(state) => StoreRequest::Finish(state),
            None => StoreRequest::Save(record),
        };
        self.effects.push(EntryEffect::Store(StoreWrite {
            id,
            name,
            epoch,
            request,
        }));
    }

    fn push_message(&mut self, worker: WorkerKey, message: Message) {
        if let Some(worker) = self.fleet.get_mut(worker) {
            worker.session.push(message);
        }
        self.dirty.insert(worker);
    }

    fn acknowledge_ends(&mut self, ends: &[(TaskId, WorkerKey)]) {
        for (task, worker) in ends {
            self.push_message(*worker, Message::EndsStored(vec![*task]));
        }
    }

    fn stop_runs(&mut self, key: JobKey) {
        let job = &mut self.jobs[key];
        let (id, workers) = (job.plan.id, job.workers());
        let ready = job.ready_count();
        let (service, class) = (job.plan.service.clone(), job.plan.class);
        let position = job.queue_position(key);
        job.clear_ready();
        if let Some(count) = self.queued.get_mut(&(service.clone(), class)) {
            *count = count.saturating_sub(ready);
        }
        if let Some(queue) = self.queues.get_mut(&service) {
            queue.remove(&position);
        }
        for worker in workers {
            self.push_message(worker, Message::CancelJob(id));
        }
    }

    fn remove_durable(&mut self, key: JobKey) -> Option<Job> {
        let name = self.jobs.get(key)?.name();
        if let Some(name) = name {
            self.durable_jobs.remove(&name);
        }
        self.remove_job(key)
    }

    /// Abandons a job that another entry owns or may own, or that is over.
    fn abandon_job(&mut self, key: JobKey, state: DurableJobState, now: TimestampMs) {
        self.stop_runs(key);
        let Some(job) = self.remove_durable(key) else {
            return;
        };
        let kind = DecisionKind::Abandoned { state };
        self.log_decision_for_request(now, Some(job.plan.id), job.name(), None, kind);
        let is_open = state == DurableJobState::Open;
        if is_open {
            for worker in job.workers() {
                if let Some(worker) = self.fleet.get_mut(worker) {
                    worker.mark_abandoned(job.plan.id);
                }
            }
        }
        let Some(durable) = job.durable else {
            return;
        };
        for (task, worker) in durable
            .pending_ends
            .into_iter()
            .chain(durable.unstored_ends)
        {
            self.answer_unknown_end(task, worker, is_open);
        }
    }

    /// Abandons all accepted durable jobs once the confirmed ownership has expired:
    /// another entry may own them by now.
    pub(super) fn abandon_unowned_jobs(&mut self, now: TimestampMs) {
        if self.is_owner(now) || self.durable_jobs.is_empty() {
            return;
        }
        let accepted = |key: &JobKey| self.jobs[*key].is_accepted();
        let keys: Vec<JobKey> = self
            .durable_jobs
            .values()
            .copied()
            .filter(accepted)
            .collect();
        for key in keys {
            self.abandon_job(key, DurableJobState::Open, now);
        }
    }
}
