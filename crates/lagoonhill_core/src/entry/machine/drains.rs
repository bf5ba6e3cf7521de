//! Drained zones: which workers get no tasks, and which jobs that leaves without
//! any worker.
//!
//! Load pattern: a zone is drained under load, and taken back. Its share of the
//! capacity counts from the moment on at which the change is known.

use std::collections::BTreeSet;

use lagoonhill_protocol::{Message, RulesUpdate};
use lagoonhill_rules::{ServingState, ZoneDrain, ZoneDrains};
use lagoonhill_types::prelude::*;

use super::{DEFAULT_RETRY_MS, Entry};
use crate::entry::{
    Cause, DecisionKind, DrainSource, Job, JobKey, Needs, Placement, Worker, WorkerKey,
};

/// Most zones of one change that get a log line each. Operators have a few zones;
/// more are mistaken or damaged keys.
const MAX_LOGGED_ZONES: usize = 16;

impl<P: Placement> Entry<P> {
    /// The drained zones, as the newest whole set that is known here.
    pub fn drains(&self) -> &ZoneDrains {
        self.drains.known()
    }

    /// Installs drained zones of the platform or a peer, if newer.
    pub fn install_drains(&mut self, drains: ZoneDrains, source: DrainSource, now: TimestampMs) {
        let changed = self.drains.install(drains);
        self.apply_drains(&changed, source, now);
    }

    /// Learns from a worker's agent whether its zone is drained. Answers an agent
    /// that knows less than this entry.
    pub(super) fn on_zone_drain(&mut self, key: WorkerKey, drain: ZoneDrain, now: TimestampMs) {
        let zone = drain.zone.clone();
        let known = self.drains.of(&zone);
        if known.revision > drain.revision && known.is_drained != drain.is_drained {
            return self.tell_zone_drain(key);
        }
        if self.drains.learn(drain) {
            let changed = BTreeSet::from([zone]);
            self.apply_drains(&changed, DrainSource::Agent, now);
        }
    }

    fn apply_drains(
        &mut self,
        changed: &BTreeSet<AvailabilityZone>,
        source: DrainSource,
        now: TimestampMs,
    ) {
        if changed.is_empty() {
            return;
        }
        for zone in changed.iter().take(MAX_LOGGED_ZONES) {
            let in_zone = |(_, worker): &(WorkerKey, &Worker)| worker.zone == *zone;
            let kind = DecisionKind::ZoneDrain {
                drain: self.drains.of(zone),
                source,
                workers: self.fleet.iter().filter(in_zone).count(),
                other_zones: changed.len() - 1,
            };
            self.log_decision(now, None, None, kind);
        }
        for key in self.fleet.keys() {
            let worker = self.fleet.get(key);
            if worker.is_some_and(|worker| changed.contains(&worker.zone)) {
                self.update_operator_state(key);
                self.tell_zone_drain(key);
            }
        }
        self.fail_all_drained(now);
        self.dispatch_all(now);
    }

    /// Applies the rules and drains in force to a worker.
    pub(super) fn update_operator_state(&mut self, key: WorkerKey) {
        let Some(worker) = self.fleet.get_mut(key) else {
            return;
        };
        worker.operator_state = if self.drains.is_drained(&worker.zone) {
            ServingState::Drain
        } else {
            self.rules.rules().serving_state(&worker.id, &worker.zone)
        };
    }

    /// Tells a worker's agent whether its zone is drained.
    pub(super) fn tell_zone_drain(&mut self, key: WorkerKey) {
        let Some(worker) = self.fleet.get_mut(key) else {
            return;
        };
        let drain = self.drains.of(&worker.zone);
        let update = RulesUpdate::of_zone_drain(&drain);
        worker.session.push(Message::Rules(update));
        self.dirty.insert(key);
    }

    /// Fails the waiting jobs that only drained workers could run, since operators
    /// set no time for their return. Durable jobs wait for it.
    pub(super) fn fail_all_drained(&mut self, now: TimestampMs) {
        let is_waiting = |(_, job): &(JobKey, &Job)| !job.has_started() && !job.is_durable();
        let waiting = self.jobs.iter().filter(is_waiting);
        let drained = |(key, job): (JobKey, &Job)| {
            let service = job.plan.service.clone();
            self.is_all_drained(&service, job.needs())
                .then_some((key, service))
        };
        let refused: Vec<(JobKey, ServiceName)> = waiting.filter_map(drained).collect();
        for (key, service) in refused {
            self.fail_job_for_now(key, Cause::Drained(service), DEFAULT_RETRY_MS, now);
        }
    }

    /// Whether every worker that could serve some of these needs is drained, and
    /// no other is expected to join soon.
    pub(super) fn is_all_drained<'a>(
        &self,
        service: &ServiceName,
        mut needs: impl Iterator<Item = &'a Needs>,
    ) -> bool {
        if self.discovery.is_in_progress() {
            return false;
        }
        needs.any(|needs| {
            self.fleet.any_fits(service, needs) && !self.fleet.any_fits_undrained(service, needs)
        })
    }
}
