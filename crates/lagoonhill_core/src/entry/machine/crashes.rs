//! Workers that crash under tasks: which tasks are suspected, and which given up.
//!
//! A task under which a worker has crashed is a suspect until it is done. Its next run
//! is beside no other suspect of this entry, so that a second crash shows which of the
//! tasks that shared the first one is the cause.

use lagoonhill_protocol::Interruption;
use lagoonhill_types::prelude::*;

use super::Entry;
use crate::entry::{Cause, JobKey, Placement, Verdict, WorkerKey};

impl<P: Placement> Entry<P> {
    /// Counts a crash under a task that the worker held. Returns the cause for which the
    /// job is to be given up, if it is. `is_isolated`: the run was placed beside no other
    /// suspect.
    pub(super) fn count_crash(
        &mut self,
        key: JobKey,
        index: TaskIndex,
        interruption: &Interruption,
        worker: (WorkerKey, &WorkerId),
        is_isolated: bool,
        now: TimestampMs,
    ) -> Option<Cause> {
        let (worker_key, worker) = worker;
        let job = &mut self.jobs[key];
        let (verdict, crashes) = job.add_crash(index, worker_key, interruption, is_isolated)?;
        self.record_crash(key, worker_key, now);
        if verdict == Verdict::Suspected {
            // Without the delay of other progress, as the task starts again at once.
            self.store_next(key);
            return None;
        }
        Some(Cause::CrashedWorkers {
            index,
            crashes: crashes.at_work.saturating_add(crashes.at_start),
            worker: worker.clone(),
        })
    }

    /// Called for each crash that counts.
    #[allow(
        clippy::unused_self,
        clippy::needless_pass_by_ref_mut,
        reason = "decisions about the job's queue follow from here"
    )]
    pub(super) fn record_crash(&mut self, _key: JobKey, _worker: WorkerKey, _now: TimestampMs) {}
}
