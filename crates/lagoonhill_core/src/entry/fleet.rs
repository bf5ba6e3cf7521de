//! The workers in session with an entry, indexed by service.

use std::collections::HashMap;

use lagoonhill_protocol::{SessionId, Target};
use lagoonhill_rules::ServingState;
use lagoonhill_types::prelude::*;
use slotmap::SlotMap;

use super::{Candidate, MeanPeerLoad, Needs, Worker, WorkerKey, WorkerState};
use crate::Slowness;

/// The workers with which an entry has sessions.
#[derive(Debug, Default)]
pub struct Fleet {
    workers: SlotMap<WorkerKey, Worker>,
    by_session: HashMap<SessionId, WorkerKey>,
    by_id: HashMap<WorkerId, WorkerKey>,
    by_service: HashMap<ServiceName, Vec<WorkerKey>>,
    /// Last ended session of each worker: one for each worker name received so
    /// far, so as many as there are machines.
    ended: HashMap<WorkerId, SessionId>,
}

impl Fleet {
    /// Adds a worker's new session. The caller must have removed the old one.
    pub fn insert(&mut self, worker: Worker) -> WorkerKey {
        let session = worker.session.id();
        let id = worker.id.clone();
        let key = self.workers.insert(worker);
        self.by_session.insert(session, key);
        self.by_id.insert(id, key);
        self.index(key);
        key
    }

    /// Removes a worker's session.
    pub fn remove(&mut self, key: WorkerKey) -> Option<Worker> {
        self.unindex(key);
        let worker = self.workers.remove(key)?;
        let session = worker.session.id();
        self.by_session.remove(&session);
        self.ended.insert(worker.id.clone(), session);
        if self.by_id.get(&worker.id) == Some(&key) {
            self.by_id.remove(&worker.id);
        }
        Some(worker)
    }

    /// Replaces the announced target of a worker.
    pub fn set_target(&mut self, key: WorkerKey, target: Option<Target>, now: TimestampMs) {
        self.unindex(key);
        if let Some(worker) = self.workers.get_mut(key) {
            worker.set_target(target, now);
        }
        self.index(key);
    }

    fn index(&mut self, key: WorkerKey) {
        if let Some(target) = self
            .workers
            .get(key)
            .and_then(|worker| worker.target.as_ref())
        {
            self.by_service
                .entry(target.service.clone())
                .or_default()
                .push(key);
        }
    }

    fn unindex(&mut self, key: WorkerKey) {
        let target = self
            .workers
            .get(key)
            .and_then(|worker| worker.target.as_ref());
        if let Some(keys) = target.and_then(|target| self.by_service.get_mut(&target.service)) {
            keys.retain(|other| *other != key);
        }
    }

    /// Number of workers in session.
    pub fn len(&self) -> usize {
        self.workers.len()
    }

    /// Whether no worker is in session.
    pub fn is_empty(&self) -> bool {
        self.workers.is_empty()
    }

    /// Keys of all workers.
    pub fn keys(&self) -> Vec<WorkerKey> {
        self.workers.keys().collect()
    }

    /// All workers.
    pub fn iter(&self) -> impl Iterator<Item = (WorkerKey, &Worker)> {
        self.workers.iter()
    }

    /// All workers, mutably.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = (WorkerKey, &mut Worker)> {
        self.workers.iter_mut()
    }

    /// The worker with the given key.
    pub fn get(&self, key: WorkerKey) -> Option<&Worker> {
        self.workers.get(key)
    }

    /// The worker with the given key, mutably.
    pub fn get_mut(&mut self, key: WorkerKey) -> Option<&mut Worker> {
        self.workers.get_mut(key)
    }

    /// Key of the worker in a session.
    pub fn find_by_session(&self, session: SessionId) -> Option<WorkerKey> {
        self.by_session.get(&session).copied()
    }

    /// Whether a worker's session has ended. Packets of it may still arrive, so
    /// its identifier must not be used again.
    pub fn has_ended(&self, worker: &WorkerId, session: SessionId) -> bool {
        let ended = self.ended.get(worker);
        ended.is_some_and(|ended| ended.agent == session.agent && ended.number >= session.number)
    }

    /// Key of the worker with an identifier.
    pub fn find_by_id(&self, id: &WorkerId) -> Option<WorkerKey> {
        self.by_id.get(id).copied()
    }

    /// The workers that have announced a service.
    pub fn workers_of(&self, service: &ServiceName) -> &[WorkerKey] {
        self.by_service.get(service).map_or(&[], Vec::as_slice)
    }

    /// The services that any worker has announced.
    pub fn services(&self) -> Vec<ServiceName> {
        self.by_service.keys().cloned().collect()
    }

    /// The workers that may get a task of these needs now, including full ones.
    pub fn candidates(
        &self,
        service: &ServiceName,
        needs: &Needs,
        own_zone: Option<&AvailabilityZone>,
        now: TimestampMs,
    ) -> Vec<Candidate> {
        let mut mean = MeanPeerLoad::default();
        let reports = self.serving(service);
        for (reported, age_ms) in reports.filter_map(|worker| worker.reported_peer_load(now)) {
            mean.add(reported, age_ms);
        }
        let candidate = |key: &WorkerKey| {
            let worker = self.workers.get(*key)?;
            let is_eligible = worker.fits(needs) && may_get_task(worker, now);
            let (reported, age_ms) = worker.reported_peer_load(now).filter(|_| is_eligible)?;
            let peer_load = mean.estimate(reported, age_ms);
            worker.candidate(*key, needs, peer_load, own_zone)
        };
        self.workers_of(service)
            .iter()
            .filter_map(candidate)
            .collect()
    }

    /// Whether the target of any worker of the service meets the requirements.
    pub fn any_fits(&self, service: &ServiceName, needs: &Needs) -> bool {
        self.fitting(service, needs).next().is_some()
    }

    /// Whether the target of any worker of the service has met the requirements since
    /// it joined.
    pub fn any_has_fitted(&self, service: &ServiceName, needs: &Needs) -> bool {
        let keys = self.workers_of(service).iter();
        let mut workers = keys.filter_map(|key| self.workers.get(*key));
        workers.any(|worker| worker.has_fitted(needs))
    }

    /// Whether a worker of the service that meets the requirements is not drained.
    pub fn any_fits_undrained(&self, service: &ServiceName, needs: &Needs) -> bool {
        self.fitting(service, needs)
            .any(|worker| worker.operator_state != ServingState::Drain)
    }

    fn fitting(&self, service: &ServiceName, needs: &Needs) -> impl Iterator<Item = &Worker> {
        let keys = self.workers_of(service).iter();
        let workers = keys.filter_map(|key| self.workers.get(*key));
        workers.filter(|worker| worker.fits(needs))
    }

    fn serving(&self, service: &ServiceName) -> impl Iterator<Item = &Worker> {
        self.workers_of(service)
            .iter()
            .filter_map(|key| self.workers.get(*key))
            .filter(|worker| worker.state() == WorkerState::Serving)
    }

    /// Total slots of the serving workers of a service.
    pub fn slots(&self, service: &ServiceName) -> u32 {
        self.serving(service)
            .filter_map(|worker| worker.target.as_ref())
            .map(|target| u32::from(target.slots.0))
            .sum()
    }

    /// Run time on the fastest serving worker of a service that is not
    /// quarantined, relative to the average.
    pub fn least_slowness(&self, service: &ServiceName) -> Slowness {
        self.serving(service)
            .filter(|worker| !worker.health.is_quarantined())
            .map(Worker::slowness)
            .min()
            .unwrap_or(Slowness::AVERAGE)
    }

    /// Total processors of the serving workers of a service, in thousandths.
    pub fn processors(&self, service: &ServiceName) -> u64 {
        self.serving(service)
            .filter_map(|worker| worker.target.as_ref())
            .map(|target| u64::from(target.capacity.processors.0))
            .sum()
    }

    /// Whether a condition holds for more than half of a service's workers. The
    /// fault then lies with the service and not with a worker.
    pub fn holds_for_majority(
        &self,
        service: &ServiceName,
        condition: impl Fn(&Worker) -> bool,
    ) -> bool {
        let keys = self.workers_of(service);
        let workers = keys.iter().filter_map(|key| self.workers.get(*key));
        workers.filter(|worker| condition(worker)).count() * 2 > keys.len()
    }
}

/// Whether a worker may get a task now; in quarantine only if it has none.
fn may_get_task(worker: &Worker, now: TimestampMs) -> bool {
    if worker.state() != WorkerState::Serving {
        return false;
    }
    match worker.operator_state {
        ServingState::Serve if worker.health.is_quarantined() => {
            worker.is_idle() && worker.health.may_probe(now)
        }
        ServingState::Serve => true,
        ServingState::Quarantine => worker.is_idle(),
        ServingState::Drain => false,
    }
}
