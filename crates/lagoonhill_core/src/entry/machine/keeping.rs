//! Jobs that are kept: stored before they are accepted, run only while the
//! store has shown that they are ours, ended when the store knows.
//!
//! An end counts once it is stored; its agent is told then, and may forget it.
//! Until then the agent holds it, and if this entry is lost the end is void:
//! the next owner runs the task again.

use std::sync::Arc;

use lagoonhill_protocol::Message;
use lagoonhill_types::prelude::*;

use super::{DEFAULT_RETRY_MS, Entry};
use crate::entry::{
    Answer, CallerId, Cause, DecisionKind, EntryEffect, Job, JobFailure, JobKey, KeepOrder,
    Keeping, KeptJob, KeptState, Placement, RunCertainty, Stored, Submission, UnderWay, WorkerKey,
};
use crate::on_slow_clock;

/// Jobs given up of which late ends are told apart from those of jobs that are
/// over.
const MAX_FORGONE: usize = 20_000;

/// Ends wait this long to be stored together: most jobs are over by then and
/// need one call less.
const SAVE_DELAY_MS: DurationMs = DurationMs(80);

/// Added to the time in which an earlier owner's runs end: what its agents and
/// targets take to act.
const TAKEOVER_MARGIN_MS: DurationMs = DurationMs(200);

impl<P: Placement> Entry<P> {
    /// The store has shown that kept jobs are ours until then.
    pub fn set_owned_until(&mut self, until_ms: TimestampMs) {
        self.owned_until_ms = until_ms;
    }

    pub(super) fn is_owner(&self, now: TimestampMs) -> bool {
        now < self.owned_until_ms
    }

    /// Takes a job that is to be kept. Its caller is answered when the store
    /// has it.
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
        let admitted = self.admit_kept(&submission, keeping, number, now);
        let key = match admitted {
            Ok(key) => key,
            Err(failure) => return self.refuse(caller, Some(name), failure, now),
        };
        self.jobs[key].callers.push(caller);
        self.by_caller.insert(caller, key);
        self.kept.insert(name, key);
        self.store_next(key);
    }

    /// Goes on with a job whose owner is gone. Nothing of it starts before its
    /// last owner's runs are certainly over.
    pub fn adopt(&mut self, name: &RequestKey, kept: &KeptJob, now: TimestampMs) {
        if self.kept.contains_key(name) || !self.is_owner(now) {
            return;
        }
        let number = self.next_number();
        let keeping = Keeping::new(Arc::clone(&kept.submission), kept.epoch + 1, true);
        let key = self.insert_kept(&kept.submission, keeping, number, now);
        self.kept.insert(name.clone(), key);
        let timing = self.config.timing;
        let over_ms =
            now + timing.run_lease_ms + on_slow_clock(timing.hold_ms) + TAKEOVER_MARGIN_MS;
        let job = &mut self.jobs[key];
        let id = job.plan.id;
        let waiting = job.resume(&kept.progress, over_ms);
        for index in waiting {
            self.unsettled.insert((over_ms, key, index));
        }
        let epoch = kept.epoch + 1;
        self.decide(
            now,
            Some(id),
            None,
            DecisionKind::Adopted { epoch, over_ms },
        );
        // Its last owner may have stored every end but its own.
        if self.jobs[key].is_complete() {
            self.complete_kept(key, now);
        }
    }

    /// What became of an order to store.
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
            return self.accept_stored(key, stored, now);
        }
        match stored {
            Stored::Done => {
                let noted = std::mem::take(&mut keeping.noting);
                let late = if is_end {
                    std::mem::take(&mut keeping.unnoted)
                } else {
                    Vec::new()
                };
                self.tell_noted(&noted);
                self.tell_noted(&late);
                if is_end {
                    self.drop_kept(key);
                } else {
                    self.store_next(key);
                }
            }
            Stored::Taken(state) => self.give_up(key, state, now),
            // The daemon tries again until it knows.
            Stored::Refused | Stored::Unknown => {
                let mut noting = std::mem::take(&mut keeping.noting);
                noting.append(&mut keeping.unnoted);
                keeping.unnoted = noting;
                keeping.dirty = true;
                self.store_next(key);
            }
        }
    }

    fn accept_stored(&mut self, key: JobKey, stored: Stored, now: TimestampMs) {
        match stored {
            Stored::Done if self.is_owner(now) => {
                let job = &mut self.jobs[key];
                if let Some(keeping) = &mut job.keeping {
                    keeping.accepted = true;
                }
                self.answer_callers(key, None);
                self.enqueue_kept(key, now);
                self.store_next(key);
                self.dispatch_all(now);
            }
            // The name is known, or another owner will find the job.
            Stored::Done | Stored::Taken(_) => {
                self.answer_callers(key, None);
                self.drop_kept(key);
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
                self.decide_about(now, None, name, None, kind);
                self.answer_callers(key, Some(&failure));
                self.drop_kept(key);
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

    /// Whether a task of a kept job has been ordered, if the job is ours and not
    /// over. A job is over when the store says so.
    pub fn kept_started(&self, name: &RequestKey) -> Option<bool> {
        let job = &self.jobs[*self.kept.get(name)?];
        if !job.is_accepted() {
            return None;
        }
        Some(job.has_started())
    }

    /// Cancels a kept job that is ours; returns whether there is one. It is
    /// gone from [`Self::kept_started`] once the store knows.
    pub fn cancel_kept(&mut self, name: &RequestKey, now: TimestampMs) -> bool {
        let Some(&key) = self.kept.get(name) else {
            return false;
        };
        if !self.jobs[key].is_accepted() {
            return false;
        }
        self.fail_kept(key, Cause::Cancelled, now);
        self.dispatch_all(now);
        true
    }

    /// Every task of a kept job has ended well.
    pub(super) fn complete_kept(&mut self, key: JobKey, now: TimestampMs) {
        let took_ms = now.since(self.jobs[key].plan.accepted_ms);
        self.end_kept(
            key,
            KeptState::Complete,
            DecisionKind::Completed { took_ms },
            now,
        );
    }

    /// A kept job can't be done, or is not wanted any more.
    pub(super) fn fail_kept(&mut self, key: JobKey, cause: Cause, now: TimestampMs) {
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
        self.end_kept(key, state, kind, now);
    }

    /// Decides how a kept job ends; its runs are stopped, its end is stored.
    fn end_kept(&mut self, key: JobKey, state: KeptState, kind: DecisionKind, now: TimestampMs) {
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
        self.decide(now, Some(id), None, kind);
        self.store_next(key);
    }

    /// An end of a job that is not here any more.
    pub(super) fn answer_stray_end(&mut self, task: TaskId, worker: WorkerKey) {
        let message = if self.forgone.contains(&task.job) {
            Message::Forgone(vec![task])
        } else {
            Message::Noted(vec![task])
        };
        self.tell(worker, message);
    }

    /// An end of a job's task is to be stored, with those that follow soon.
    pub(super) fn save_soon(&mut self, key: JobKey, now: TimestampMs) {
        if self.jobs.get(key).is_some_and(Job::is_kept) {
            self.saves_due.insert((now + SAVE_DELAY_MS, key));
        }
    }

    pub(super) fn save_progress(&mut self, now: TimestampMs) {
        while let Some(&(due_ms, key)) = self.saves_due.first() {
            if due_ms > now {
                return;
            }
            self.saves_due.pop_first();
            self.store_next(key);
        }
    }

    /// Gives the store the next order about a job, unless one is under way.
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

    fn tell(&mut self, worker: WorkerKey, message: Message) {
        if let Some(worker) = self.fleet.get_mut(worker) {
            worker.session.push(message);
        }
        self.dirty.insert(worker);
    }

    fn tell_noted(&mut self, noted: &[(TaskId, WorkerKey)]) {
        for (task, worker) in noted {
            self.tell(*worker, Message::Noted(vec![*task]));
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
            self.tell(worker, Message::CancelJob(id));
        }
    }

    /// Forgets a job.
    fn drop_kept(&mut self, key: JobKey) -> Option<Job> {
        let name = self.jobs.get(key)?.name();
        if let Some(name) = name {
            self.kept.remove(&name);
        }
        self.remove_job(key)
    }

    /// A job turned out to be another's, or over.
    fn give_up(&mut self, key: JobKey, state: KeptState, now: TimestampMs) {
        self.stop_runs(key);
        let Some(job) = self.drop_kept(key) else {
            return;
        };
        let kind = DecisionKind::GivenUp { state };
        self.decide_about(now, Some(job.plan.id), job.name(), None, kind);
        let Some(keeping) = job.keeping else {
            return;
        };
        if state == KeptState::Open {
            self.forgo(job.plan.id);
        }
        for (task, worker) in keeping.noting.into_iter().chain(keeping.unnoted) {
            self.answer_stray_end(task, worker);
        }
    }

    fn forgo(&mut self, id: JobId) {
        if self.forgone.len() >= MAX_FORGONE {
            self.forgone.pop_first();
        }
        self.forgone.insert(id);
    }

    /// Gives up every kept job once the store has not shown for too long that
    /// they are ours: another entry may own them by now.
    pub(super) fn disown(&mut self, now: TimestampMs) {
        if self.is_owner(now) || self.kept.is_empty() {
            return;
        }
        let accepted = |key: &JobKey| self.jobs[*key].is_accepted();
        let keys: Vec<JobKey> = self.kept.values().copied().filter(accepted).collect();
        for key in keys {
            self.give_up(key, KeptState::Open, now);
        }
    }
}
