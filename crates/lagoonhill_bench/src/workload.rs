use lagoonhill_core::entry::{Needs, Submission};
use lagoonhill_types::prelude::*;

/// Traffic pattern of a policy run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scenario {
    /// Jobs arrive at a constant mean rate.
    Steady,
    /// As `Steady`, with ten times the rate for ten seconds from half time on.
    Flood,
    /// As `Steady`, with additional small jobs of a more urgent class.
    RushOverOffice,
    /// Only the small jobs of `RushOverOffice`.
    RushAlone,
}

/// A job and its time of arrival.
#[derive(Clone, Debug)]
pub struct PlannedJob {
    /// Arrival, from the start of the run.
    pub at_ms: u64,
    /// The job.
    pub submission: Submission,
    /// Run time of its longest task on a target of average speed.
    pub longest_ms: u64,
    /// Whether it is one of the small urgent jobs.
    pub is_rush: bool,
}

/// Mean of [`run_ms`].
const MEAN_RUN_MS: f64 = 420.0;

/// Mean of [`task_count`].
const MEAN_TASKS: f64 = 13.2;

const FLOOD_FACTOR: f64 = 10.0;
const FLOOD_MS: u64 = 10_000;

/// Draws a run time: 50 to 800 ms for most tasks, 2 to 5 s for two in a hundred.
fn run_ms(random: &mut fastrand::Rng) -> u64 {
    match random.u32(0..100) {
        0..=1 => random.u64(2_000..=5_000),
        2..=39 => random.u64(50..=200),
        _ => random.u64(200..=800),
    }
}

/// Draws a number of tasks: 1 to 200, and 1,600 for one job in two thousand.
fn task_count(random: &mut fastrand::Rng) -> usize {
    match random.u32(0..2_000) {
        0 => 1_600,
        1..=59 => random.usize(51..=200),
        60..=399 => random.usize(6..=50),
        _ => random.usize(1..=5),
    }
}

fn job(
    random: &mut fastrand::Rng,
    number: usize,
    at_ms: u64,
    team: &str,
    tasks: usize,
    mut draw: impl FnMut(&mut fastrand::Rng) -> u64,
) -> PlannedJob {
    let runs: Vec<u64> = (0..tasks).map(|_| draw(random)).collect();
    let longest_ms = runs.iter().copied().max().unwrap_or(1);
    let payload = |(index, run_ms): (usize, &u64)| {
        Payload::from(format!("{run_ms} {team}{number} {index}").into_bytes())
    };
    let submission = Submission {
        service: "dispatch".parse().expect("the name is valid"),
        team: team.parse().expect("the name is valid"),
        deadline_ms: Some(DurationMs::from_secs(120)),
        waited_ms: DurationMs::ZERO,
        run_time_ms: None,
        needs: Needs::default(),
        tasks: runs.iter().enumerate().map(payload).collect(),
        durable: false,
        queued: None,
    };
    PlannedJob {
        at_ms,
        submission,
        longest_ms,
        is_rush: team == "parents",
    }
}

/// Draws all jobs of a run. `capacity_slots` is the fleet's capacity: its slots
/// weighted by speed, or milliseconds of nominal run time per millisecond.
pub fn plan(
    scenario: Scenario,
    utilization: f64,
    capacity_slots: f64,
    length_ms: u64,
    seed: u64,
) -> Vec<PlannedJob> {
    let mut random = fastrand::Rng::with_seed(seed);
    let tasks_per_ms = utilization * capacity_slots / MEAN_RUN_MS;
    let mut jobs = Vec::new();
    if scenario != Scenario::RushAlone {
        let jobs_per_ms = tasks_per_ms / MEAN_TASKS;
        let flood = length_ms / 2..length_ms / 2 + FLOOD_MS;
        let rate = |at_ms: u64| match scenario {
            Scenario::Flood if flood.contains(&at_ms) => jobs_per_ms * FLOOD_FACTOR,
            _ => jobs_per_ms,
        };
        let mut at = 0.0;
        while (at as u64) < length_ms {
            let tasks = task_count(&mut random);
            let number = jobs.len();
            jobs.push(job(
                &mut random,
                number,
                at as u64,
                "offices",
                tasks,
                run_ms,
            ));
            at += -random.f64().max(f64::MIN_POSITIVE).ln() / rate(at as u64);
        }
    }
    if matches!(scenario, Scenario::RushOverOffice | Scenario::RushAlone) {
        let mut rush = fastrand::Rng::with_seed(seed ^ 0xA5A5);
        add_rush(&mut jobs, &mut rush, capacity_slots, length_ms);
    }
    jobs.sort_by_key(|job| job.at_ms);
    jobs
}

/// Adds small urgent jobs that use 30% of the fleet's capacity.
fn add_rush(
    jobs: &mut Vec<PlannedJob>,
    random: &mut fastrand::Rng,
    capacity_slots: f64,
    length_ms: u64,
) {
    const RUSH_UTILIZATION: f64 = 0.3;
    const RUSH_MEAN_WORK_MS: f64 = 2.5 * 125.0;
    let jobs_per_ms = RUSH_UTILIZATION * capacity_slots / RUSH_MEAN_WORK_MS;
    let mut at = 0.0;
    while (at as u64) < length_ms {
        let tasks = random.usize(1..=4);
        let number = jobs.len();
        jobs.push(job(random, number, at as u64, "parents", tasks, |r| {
            r.u64(50..=200)
        }));
        at += -random.f64().max(f64::MIN_POSITIVE).ln() / jobs_per_ms;
    }
}
