//! Workers that crash under tasks: which tasks are suspected, and which given up.
//!
//! A task under which a worker has crashed is a suspect until it is done. Its next run
//! is beside no other suspect of this entry, so that a second crash shows which of the
//! tasks that shared the first one is the cause.

use lagoonhill_protocol::{EntryAddress, Interruption};
use lagoonhill_types::prelude::*;

use super::Entry;
use crate::entry::{
    Candidate, Cause, DecisionKind, JobKey, Needs, Placement, SlotLimit, Suspicion, Verdict,
    Worker, WorkerKey,
};

/// Time for which a suspect waits for a worker that no other entry uses for suspects: a
/// worker that has crashed is usually back by then.
const OWN_WORKER_WAIT_MS: DurationMs = DurationMs(4_000);

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
        let (verdict, crashes) =
            job.add_crash(index, worker_key, interruption, is_isolated, now)?;
        let service = job.plan.service.clone();
        let id = job.plan.id;
        let kind = DecisionKind::Crashed {
            worker: worker.clone(),
            crashes,
            is_isolated,
            verdict,
        };
        self.log_decision(now, Some(id), Some(index), kind);
        self.confirm_crash(worker_key, &service, true, now);
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
