//! Fair queue of one service's jobs, by stride scheduling.

use std::collections::{BTreeMap, BTreeSet};

use lagoonhill_rules::Class;
use lagoonhill_types::prelude::*;

use super::{DelayCost, JobKey};

/// Virtual time charged for one millisecond of work at weight 1.
const PASS_SCALE: u64 = 1_024;

/// Jobs of one team. Stride scheduling: the team or class with the lowest pass,
/// its use relative to its weight, is next.
#[derive(Debug, Default)]
struct TeamQueue {
    pass: u64,
    jobs: BTreeSet<(DelayCost, JobKey)>,
}

#[derive(Debug, Default)]
struct ClassQueue {
    pass: u64,
    team_time: u64,
    teams: BTreeMap<TeamName, TeamQueue>,
}

impl ClassQueue {
    fn is_empty(&self) -> bool {
        self.teams.values().all(|team| team.jobs.is_empty())
    }
}

/// The jobs of one service that have ready tasks.
///
/// Classes share the slots by weight, teams share the slots of their class by
/// weight, and within a team the job that costs most to delay is next.
#[derive(Debug, Default)]
pub struct JobQueue {
    class_time: u64,
    classes: BTreeMap<Class, ClassQueue>,
}

/// Cost of one placed task.
#[derive(Clone, Copy, Debug)]
pub struct Charge {
    /// Expected run time of the task.
    pub run_time_ms: DurationMs,
    /// Weight of the class.
    pub class_weight: u32,
    /// Weight of the team.
    pub team_weight: u32,
}

impl JobQueue {
    /// Whether no job waits.
    pub fn is_empty(&self) -> bool {
        self.classes.values().all(ClassQueue::is_empty)
    }

    /// Whether a job of the class waits.
    pub fn has_class(&self, class: Class) -> bool {
        let queue = self.classes.get(&class);
        queue.is_some_and(|queue| !queue.is_empty())
    }

    /// Adds a job, unless it is already there.
    pub fn insert(&mut self, class: Class, team: &TeamName, cost: DelayCost, job: JobKey) {
        let queue = self.classes.entry(class).or_default();
        if queue.is_empty() {
            queue.pass = queue.pass.max(self.class_time);
        }
        let team = queue.teams.entry(team.clone()).or_default();
        if team.jobs.is_empty() {
            team.pass = team.pass.max(queue.team_time);
        }
        team.jobs.insert((cost, job));
    }

    /// Removes a job.
    pub fn remove(&mut self, class: Class, team: &TeamName, cost: DelayCost, job: JobKey) {
        if let Some(queue) = self.classes.get_mut(&class)
            && let Some(team_queue) = queue.teams.get_mut(team)
        {
            team_queue.jobs.remove(&(cost, job));
        }
    }

    /// The next job to serve among the eligible ones: by the pass of the class,
    /// then of the team, then by the cost of delaying it.
    pub fn next(
        &self,
        class_eligible: impl Fn(Class) -> bool,
        mut eligible: impl FnMut(&TeamName, JobKey) -> bool,
    ) -> Option<JobKey> {
        let mut classes: Vec<(&Class, &ClassQueue)> = self
            .classes
            .iter()
            .filter(|(class, _)| class_eligible(**class))
            .collect();
        classes.sort_by_key(|(class, queue)| (queue.pass, **class));
        for (_, queue) in classes {
            let mut teams: Vec<(&TeamName, &TeamQueue)> = queue
                .teams
                .iter()
                .filter(|(_, team)| !team.jobs.is_empty())
                .collect();
            teams.sort_by_key(|(_, team)| team.pass);
            for (name, team) in teams {
                let first = team.jobs.iter().find(|(_, job)| eligible(name, *job));
                if let Some((_, job)) = first {
                    return Some(*job);
                }
            }
        }
        None
    }

    /// The jobs of a class by team, those that cost most to delay first.
    pub fn jobs(
        &self,
        class: Class,
    ) -> impl Iterator<Item = (&TeamName, impl Iterator<Item = (DelayCost, JobKey)>)> {
        let teams = self.classes.get(&class).into_iter();
        let teams = teams.flat_map(|queue| &queue.teams);
        teams.map(|(name, team)| (name, team.jobs.iter().copied()))
    }

    /// Jobs whose rank is below the given one.
    pub fn ranked_before(&self, rank_ms: u64) -> Vec<JobKey> {
        let teams = self.classes.values().flat_map(|queue| queue.teams.values());
        teams
            .flat_map(|team| {
                team.jobs
                    .iter()
                    .take_while(|(cost, _)| cost.rank_ms < rank_ms)
            })
            .map(|(_, job)| *job)
            .collect()
    }

    /// Charges a placed task to its class and team.
    pub fn charge(&mut self, class: Class, team: &TeamName, charge: Charge) {
        let work = charge.run_time_ms.0.max(1) * PASS_SCALE;
        let Some(queue) = self.classes.get_mut(&class) else {
            return;
        };
        self.class_time = self.class_time.max(queue.pass);
        queue.pass += work / u64::from(charge.class_weight.max(1));
        if let Some(team_queue) = queue.teams.get_mut(team) {
            queue.team_time = queue.team_time.max(team_queue.pass);
            team_queue.pass += work / u64::from(charge.team_weight.max(1));
        }
    }
}
