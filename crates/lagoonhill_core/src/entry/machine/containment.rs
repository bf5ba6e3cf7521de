//! Crash containment: notices crashed workers, and keeps kinds of work to their
//! parts of the fleet.

use lagoonhill_protocol::Target;
use lagoonhill_rules::ServingState;
use lagoonhill_types::prelude::*;

use super::forecast::WAIT_SAFETY_PERCENT;
use super::{DEFAULT_RETRY_MS, Entry};
use crate::entry::{
    Candidate, Cause, ContainmentChange, DecisionKind, JobFailure, JobKey, PartMember, Placement,
    Promise, Submission, Work, WorkKind, Worker, WorkerKey,
};

/// Retry delay while no worker of a part is up: about the time in which a target
/// that has crashed is back.
const DOWN_RETRY_MS: DurationMs = DurationMs(3_000);

impl<P: Placement> Entry<P> {
    /// Handles a worker whose target accepts tasks, or no longer does.
    pub(super) fn on_target(&mut self, key: WorkerKey, target: Option<Target>, now: TimestampMs) {
        let present = self.fleet.get(key).and_then(|worker| {
            let target = worker.target.as_ref()?;
            let is_expected = worker.leaving || worker.operator_state == ServingState::Drain;
            Some((target.service.clone(), is_expected))
        });
        match (present, &target) {
            (Some((service, false)), None) => self.suspect_crash(key, &service, now),
            (_, Some(target)) => {
                if let Some(worker) = self.fleet.get(key) {
                    let service = &target.service;
                    self.containment.record_return(service, &worker.id, now);
                }
            }
            (Some((_, true)) | None, None) => {}
        }
        self.fleet.set_target(key, target, now);
    }

    /// A target that ceases to accept tasks unannounced has probably crashed. That
    /// ends no run, so it need not be certain, but it has to be early. One without
    /// tasks has not been crashed by any.
    fn suspect_crash(&mut self, key: WorkerKey, service: &ServiceName, now: TimestampMs) {
        let worker = self.fleet.get(key);
        let Some(worker) = worker.filter(|worker| worker.load.total_tasks > 0) else {
            return;
        };
        let member = PartMember {
            worker: worker.id.clone(),
            zone: worker.zone.clone(),
        };
        let fleet = self.part_members(service);
        let changes = self.containment.record_crash(service, member, &fleet, now);
        self.log_containment(changes, now);
    }

    /// Handles a run that was interrupted on a worker. A certain crash counts also if the
    /// target has restarted before it was missed.
    pub(super) fn confirm_crash(
        &mut self,
        key: WorkerKey,
        service: &ServiceName,
        is_certain: bool,
        now: TimestampMs,
    ) {
        let Some(worker) = self.fleet.get(key) else {
            return;
        };
        let (id, is_up) = (worker.id.clone(), worker.target.is_some());
        if is_certain && !self.containment.has_crashed(service, &id, now) {
            self.suspect_crash(key, service, now);
            if is_up {
                self.containment.record_return(service, &id, now);
            }
        }
        if !self.containment.has_crashed(service, &id, now) {
            return;
        }
        let fleet = self.part_members(service);
        let changes = self.containment.confirm_crash(service, &id, &fleet, now);
        self.log_containment(changes, now);
    }

    pub(super) fn update_containment(&mut self, now: TimestampMs) {
        for service in self.containment.services() {
            let fleet = self.part_members(&service);
            let changes = self.containment.tick(&service, &fleet, now);
            self.log_containment(changes, now);
        }
    }

    fn log_containment(&mut self, changes: Vec<ContainmentChange>, now: TimestampMs) {
        for change in changes {
            self.log_decision(now, None, None, DecisionKind::Containment(change));
        }
    }

    /// The workers of a service that may be set aside: those in session that are not
    /// drained, including those that are down.
    fn part_members(&self, service: &ServiceName) -> Vec<PartMember> {
        let up = self.fleet.workers_of(service).iter().copied();
        let down = self.containment.down(service);
        let down = down.filter_map(|id| self.fleet.find_by_id(id));
        let workers = up.chain(down).filter_map(|key| self.fleet.get(key));
        let stays =
            |worker: &&Worker| !worker.leaving && worker.operator_state != ServingState::Drain;
        let mut members: Vec<PartMember> = workers
            .filter(stays)
            .map(|worker| PartMember {
                worker: worker.id.clone(),
                zone: worker.zone.clone(),
            })
            .collect();
        members.sort_unstable();
        members.dedup();
        members
    }

    /// Removes the candidates outside a job's part of the fleet; returns whether its
    /// service is divided into parts.
    pub(super) fn retain_allowed(&self, key: JobKey, candidates: &mut Vec<Candidate>) -> bool {
        if !self.containment.is_active(&self.jobs[key].plan.service) {
            return false;
        }
        self.retain_allowed_for(&self.work_kind_of(key), candidates);
        true
    }

    pub(super) fn retain_allowed_for(&self, kind: &WorkKind, candidates: &mut Vec<Candidate>) {
        if !self.containment.is_active(&kind.service) {
            return;
        }
        candidates.retain(|candidate| {
            let worker = self.fleet.get(candidate.key);
            worker.is_some_and(|worker| self.containment.may_run(kind, &worker.id))
        });
    }

    /// Refuses a job whose part of the fleet is down, or too full to serve it in time.
    pub(super) fn check_containment(
        &mut self,
        submission: &Submission,
        promise: Option<Promise>,
        now: TimestampMs,
    ) -> Result<(), JobFailure> {
        let kind = Self::work_kind(submission);
        let work = Self::initial_work(submission);
        self.containment.record_demand(kind.clone(), work, now);
        if !self.containment.is_active(&kind.service) {
            return Ok(());
        }
        let is_allowed = |key: &&WorkerKey| {
            let worker = self.fleet.get(**key);
            worker.is_some_and(|worker| self.containment.may_run(&kind, &worker.id))
        };
        let workers = self.fleet.workers_of(&kind.service).iter();
        let up: Vec<&Worker> = workers
            .filter(is_allowed)
            .filter_map(|key| self.fleet.get(*key))
            .collect();
        let refused = |retry_ms| {
            let queue = kind.queue.as_ref().map(ToString::to_string);
            let cause = Cause::Contained {
                kind: queue.unwrap_or_else(|| kind.service.to_string()),
                workers: up.len(),
            };
            Err(JobFailure::refused_for_now(
                cause,
                self.retry_after(retry_ms),
            ))
        };
        if up.is_empty() {
            return refused(DOWN_RETRY_MS);
        }
        let Some(promise) = promise.filter(|_| self.containment.is_isolated(&kind)) else {
            return Ok(());
        };
        let backlog = self.kind_backlog(&kind);
        if backlog == Work::default() {
            return Ok(());
        }
        let processors = |worker: &&Worker| {
            let target = worker.target.as_ref();
            target.map_or(0, |target| u64::from(target.capacity.processors.0))
        };
        let entries = self.entries.len().max(1) as u64;
        let share = Work(up.iter().map(processors).sum::<u64>() / entries).per_s(DurationMs(1));
        let wait_ms = (backlog + work).time_at(share);
        let safe_ms = wait_ms.map(|wait_ms| wait_ms * WAIT_SAFETY_PERCENT / 100);
        if safe_ms.is_some_and(|safe_ms| now + safe_ms <= promise.latest_start_ms) {
            return Ok(());
        }
        refused(wait_ms.unwrap_or(DEFAULT_RETRY_MS))
    }

    /// The ready work of a kind that waits here.
    fn kind_backlog(&self, kind: &WorkKind) -> Work {
        let is_of_kind = |key: &JobKey| self.work_kind_of(*key) == *kind;
        let jobs = self.jobs.keys().filter(is_of_kind);
        jobs.map(|key| self.ready_work(key)).sum()
    }

    /// The contained kinds of work, with the sizes of their parts.
    pub(super) fn contained_kinds(&self) -> Vec<(WorkKind, usize)> {
        let contained = self.containment.contained();
        contained
            .map(|(kind, workers)| (kind.clone(), workers))
            .collect()
    }
}
