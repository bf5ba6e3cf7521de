//! Load pattern: capacity that is lost while jobs wait for it. Served in order of
//! their due times alone, jobs whose answers are of no use any more would go
//! before those that still matter. So a job that has begun and is useless stands
//! behind all others; one that has not begun is refused.

use std::collections::BTreeMap;

use lagoonhill_rules::Class;
use lagoonhill_types::prelude::*;

use super::{Charge, JobKey, JobQueue};

/// Which jobs a job waits among.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Lane {
    /// Its answer is of use.
    InTime,
    /// It has begun, and its answer comes too late to be of use.
    Late,
}

/// Where a waiting job stands.
#[derive(Clone, Debug)]
pub struct Place {
    /// Its class.
    pub class: Class,
    /// Its team.
    pub team: TeamName,
    /// Its rank among the team's jobs.
    pub rank_ms: u64,
    /// The job.
    pub job: JobKey,
}

/// The jobs of one service that have ready tasks, those of use before those that
/// are not.
#[derive(Debug, Default)]
pub struct Lanes {
    lanes: BTreeMap<Lane, JobQueue>,
}

impl Lanes {
    /// Whether no job waits.
    pub fn is_empty(&self) -> bool {
        self.lanes.values().all(JobQueue::is_empty)
    }

    /// Whether a job of a class waits whose answer is of use.
    pub fn waits_in_time(&self, class: Class) -> bool {
        let in_time = self.lanes.get(&Lane::InTime);
        in_time.is_some_and(|queue| queue.has_class(class))
    }

    /// Adds a job. One that is already there stays.
    pub fn insert(&mut self, lane: Lane, place: &Place) {
        let queue = self.lanes.entry(lane).or_default();
        queue.insert(place.class, &place.team, place.rank_ms, place.job);
    }

    /// Removes a job.
    pub fn remove(&mut self, lane: Lane, place: &Place) {
        if let Some(queue) = self.lanes.get_mut(&lane) {
            queue.remove(place.class, &place.team, place.rank_ms, place.job);
        }
    }

    /// The job to serve next among those `eligible`.
    pub fn next(
        &self,
        class_eligible: impl Fn(Class) -> bool,
        mut eligible: impl FnMut(&TeamName, JobKey) -> bool,
    ) -> Option<JobKey> {
        self.lanes
            .values()
            .find_map(|queue| queue.next(&class_eligible, &mut eligible))
    }

    /// Jobs of a lane whose rank has passed.
    pub fn passed(&self, lane: Lane, now: TimestampMs) -> Vec<JobKey> {
        self.lanes
            .get(&lane)
            .map_or_else(Vec::new, |queue| queue.ranked_before(now.0))
    }

    /// Charges a placed task to its class and team.
    pub fn charge(&mut self, class: Class, team: &TeamName, charge: Charge) {
        for queue in self.lanes.values_mut() {
            queue.charge(class, team, charge);
        }
    }
}
