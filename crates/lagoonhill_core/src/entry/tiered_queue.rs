//! Queue of a service's jobs that puts expired jobs last.
//!
//! Load pattern: capacity is lost while jobs wait for it. If jobs were served by
//! their due times alone, jobs past their usefulness limit would come before those
//! that are still useful. An expired job that has started or is durable is therefore
//! demoted behind all others; any other expired job fails.

use std::collections::BTreeMap;

use lagoonhill_rules::Class;
use lagoonhill_types::prelude::*;

use super::{Charge, DelayCost, JobKey, JobQueue, Tier};

/// Position of a waiting job.
#[derive(Clone, Debug)]
pub struct QueuePosition {
    /// Scheduling class of the job.
    pub class: Class,
    /// Team of the job.
    pub team: TeamName,
    /// Cost of delaying it, among the jobs of its team.
    pub cost: DelayCost,
    /// Key of the job.
    pub job: JobKey,
}

/// The jobs of one service that have ready tasks, in one queue for each tier.
#[derive(Debug, Default)]
pub struct TieredQueue {
    queues: BTreeMap<Tier, JobQueue>,
}

impl TieredQueue {
    /// Whether no job waits.
    pub fn is_empty(&self) -> bool {
        self.queues.values().all(JobQueue::is_empty)
    }

    /// Whether a job of a class waits whose answer is still useful.
    pub fn has_useful_job(&self, class: Class) -> bool {
        let useful = self.queues.get(&Tier::Useful);
        useful.is_some_and(|queue| queue.has_class(class))
    }

    /// Adds a job, unless it is already there.
    pub fn insert(&mut self, position: &QueuePosition) {
        let queue = self.queues.entry(position.cost.tier).or_default();
        queue.insert(position.class, &position.team, position.cost, position.job);
    }

    /// Removes a job.
    pub fn remove(&mut self, position: &QueuePosition) {
        if let Some(queue) = self.queues.get_mut(&position.cost.tier) {
            queue.remove(position.class, &position.team, position.cost, position.job);
        }
    }

    /// The next job to serve among the eligible ones.
    pub fn next(
        &self,
        class_eligible: impl Fn(Class) -> bool,
        mut eligible: impl FnMut(&TeamName, JobKey) -> bool,
    ) -> Option<JobKey> {
        self.queues
            .values()
            .find_map(|queue| queue.next(&class_eligible, &mut eligible))
    }

    /// The jobs of a class whose answers are still useful, by team.
    pub fn useful_jobs(
        &self,
        class: Class,
    ) -> impl Iterator<Item = (&TeamName, impl Iterator<Item = (DelayCost, JobKey)>)> {
        let useful = self.queues.get(&Tier::Useful);
        useful.into_iter().flat_map(move |queue| queue.jobs(class))
    }

    /// Jobs of a tier whose rank lies before `now`.
    pub fn ranked_before(&self, tier: Tier, now: TimestampMs) -> Vec<JobKey> {
        self.queues
            .get(&tier)
            .map_or_else(Vec::new, |queue| queue.ranked_before(now.0))
    }

    /// Charges a placed task to its class and team, in every tier.
    pub fn charge(&mut self, class: Class, team: &TeamName, charge: Charge) {
        for queue in self.queues.values_mut() {
            queue.charge(class, team, charge);
        }
    }
}
