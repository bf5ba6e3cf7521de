use hdrhistogram::Histogram;
use lagoonhill_core::Timing;
use lagoonhill_core::entry::{CallerId, Placement, RunCertainty};
use lagoonhill_rules::{RuleSet, parse_rules};
use lagoonhill_standin::{Network, NodeId, TargetModel, World, WorldConfig};
use lagoonhill_types::prelude::*;

use crate::workload::{PlannedJob, Scenario, plan};

/// What goes wrong in a policy run, in its middle.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Trouble {
    /// Nothing.
    None,
    /// One worker is ten times slower.
    Straggler,
    /// One worker fails everything at once.
    BlackHole,
    /// One worker dies.
    WorkerDies,
    /// One entry dies.
    EntryDies,
    /// Half of all callers hang up.
    CancelWave,
    /// Declared run times are ten times too long.
    DeclaredTooLong,
    /// Declared run times are ten times too short.
    DeclaredTooShort,
}

/// One run of a policy.
#[derive(Clone, Copy, Debug)]
pub struct PolicyRun {
    /// Entries.
    pub entries: usize,
    /// Tasks given to an agent beyond its slots.
    pub look_ahead: u16,
    /// One-way time between processes.
    pub delay_ms: u64,
    /// Load relative to the fleet's capacity.
    pub utilization: f64,
    /// What callers submit.
    pub scenario: Scenario,
    /// What goes wrong.
    pub trouble: Trouble,
    /// Length of the arrivals.
    pub length_ms: u64,
    /// Fixes the run.
    pub seed: u64,
}

/// What a run gave.
#[derive(Clone, Debug)]
pub struct PolicyResult {
    /// Response time relative to the ideal, in percent.
    pub ratio_percent: Histogram<u64>,
    /// The same for the rush alone.
    pub rush_ratio_percent: Histogram<u64>,
    /// Jobs submitted.
    pub jobs: u64,
    /// Jobs refused as not run.
    pub refused: u64,
    /// Jobs failed.
    pub failed: u64,
    /// Jobs failed from a second after the trouble on.
    pub failed_later: u64,
    /// Jobs submitted from a second after the trouble on.
    pub jobs_later: u64,
    /// Callers without an answer.
    pub unanswered: u64,
    /// Tasks started.
    pub starts: u64,
    /// Packets sent by anybody.
    pub packets: u64,
    /// Packets without a start or outcome, and starts and outcomes beyond one
    /// of each for a task.
    pub wasted: u64,
}

const WORKERS: usize = 11;
const SLOTS: u16 = 8;
const MAX_PERCENT: u64 = 10_000_000;

/// Time after the last arrival for everything to end.
const SETTLE_MS: u64 = 130_000;

const SETTLE_STEP_MS: u64 = 500;

/// Grace after the trouble during which failures are expected.
const GRACE_MS: u64 = 1_000;

const RULES: &str = "\
service dispatch deadline=2m run-time=420ms run-limit=60s  # bench
team offices class=office  # bench
team parents class=rush  # bench
";

/// Speeds of 0.5 to 2, evenly spread on a logarithmic scale.
fn targets() -> Vec<TargetModel> {
    let slowness = |index: usize| {
        let exponent = 2.0 * index as f64 / (WORKERS - 1) as f64 - 1.0;
        (1_000.0 * 2.0_f64.powf(exponent)) as u64
    };
    (0..WORKERS)
        .map(|index| TargetModel {
            slowness_permille: slowness(index),
            fails_all: false,
        })
        .collect()
}

/// Slots weighted by speed.
fn capacity_slots(targets: &[TargetModel]) -> f64 {
    targets
        .iter()
        .map(|t| f64::from(SLOTS) * 1_000.0 / t.slowness_permille as f64)
        .sum()
}

impl PolicyResult {
    fn new() -> Self {
        let histogram =
            || Histogram::new_with_bounds(1, MAX_PERCENT, 3).expect("the bounds are valid");
        Self {
            ratio_percent: histogram(),
            rush_ratio_percent: histogram(),
            jobs: 0,
            refused: 0,
            failed: 0,
            failed_later: 0,
            jobs_later: 0,
            unanswered: 0,
            starts: 0,
            packets: 0,
            wasted: 0,
        }
    }

    /// Adds another seed's run.
    pub fn merge(&mut self, other: &Self) {
        self.ratio_percent
            .add(&other.ratio_percent)
            .expect("both have the same range");
        self.rush_ratio_percent
            .add(&other.rush_ratio_percent)
            .expect("both have the same range");
        self.jobs += other.jobs;
        self.refused += other.refused;
        self.failed += other.failed;
        self.failed_later += other.failed_later;
        self.jobs_later += other.jobs_later;
        self.unanswered += other.unanswered;
        self.starts += other.starts;
        self.packets += other.packets;
        self.wasted += other.wasted;
    }

    /// A quantile of response time relative to the ideal.
    pub fn ratio(&self, quantile: f64) -> f64 {
        self.ratio_percent.value_at_quantile(quantile) as f64 / 100.0
    }

    /// The same for the rush alone.
    pub fn rush_ratio(&self, quantile: f64) -> f64 {
        self.rush_ratio_percent.value_at_quantile(quantile) as f64 / 100.0
    }

    /// Wasted messages for each task.
    pub fn wasted_per_task(&self) -> f64 {
        self.wasted as f64 / self.starts.max(1) as f64
    }

    /// Packets for each task.
    pub fn packets_per_task(&self) -> f64 {
        self.packets as f64 / self.starts.max(1) as f64
    }
}

/// Runs a policy over several seeds.
pub fn run_policy<P: Placement>(
    run: PolicyRun,
    seeds: u64,
    mut placement: impl FnMut(usize) -> P,
) -> PolicyResult {
    let mut whole = PolicyResult::new();
    for seed in 0..seeds {
        let run = PolicyRun {
            seed: run.seed + seed,
            ..run
        };
        whole.merge(&run_once(run, &mut placement));
    }
    whole
}

fn run_once<P: Placement>(run: PolicyRun, placement: impl FnMut(usize) -> P) -> PolicyResult {
    let targets = targets();
    let jobs = plan(
        run.scenario,
        run.utilization,
        capacity_slots(&targets),
        run.length_ms,
        run.seed,
    );
    let fastest = targets
        .iter()
        .map(|target| target.slowness_permille)
        .min()
        .unwrap_or(1_000);
    let lines = parse_rules(RULES).expect("the rules are valid");
    let config = WorldConfig {
        entries: run.entries,
        targets,
        zones: 1,
        slots: SLOTS,
        service: "dispatch".parse().expect("the name is valid"),
        rules: RuleSet::new(Revision(1), lines),
        network: Network {
            delay_ms: run.delay_ms,
            cross_zone_ms: 0,
            jitter_ms: 0,
            loss_permille: 0,
            repeat_permille: 0,
        },
        look_ahead: run.look_ahead,
        timing: Timing::default(),
        seed: run.seed,
    };
    let mut world = World::new(&config, placement);
    world.run_for(1_000);
    let totals_before = world.totals;
    let started = world.now();
    let trouble_ms = run.length_ms / 2;
    let mut troubled = false;
    let mut callers = Vec::new();
    for (number, job) in jobs.into_iter().enumerate() {
        if !troubled && job.at_ms >= trouble_ms {
            advance(&mut world, started, trouble_ms);
            make_trouble(&mut world, run.trouble, &mut callers);
            troubled = true;
        }
        advance(&mut world, started, job.at_ms);
        let entry = next_entry(&world, number, run.entries);
        let caller = world.submit(entry, declared(&job, run.trouble));
        callers.push((caller, job, false));
    }
    // Messages count until the last answer; what an idle fleet says is not the
    // policy's doing.
    let settled = world.now() + DurationMs(SETTLE_MS);
    let waits = |world: &World<P>| {
        callers
            .iter()
            .any(|(caller, _, hung_up)| !hung_up && !world.received.contains_key(caller))
    };
    while world.now() < settled && waits(&world) {
        world.run_for(SETTLE_STEP_MS);
    }
    let mut result = PolicyResult::new();
    let round_trip_ms = 2 * run.delay_ms;
    for (caller, job, hung_up) in &callers {
        if !hung_up {
            judge(
                &mut result,
                &world,
                *caller,
                job,
                started,
                trouble_ms,
                (fastest, round_trip_ms),
            );
        }
    }
    result.starts = world.starts.values().map(|count| u64::from(*count)).sum();
    result.packets = world.totals.packets - totals_before.packets;
    let idle = world.totals.idle_packets - totals_before.idle_packets;
    let task_messages = world.totals.task_messages - totals_before.task_messages;
    result.wasted = idle + task_messages.saturating_sub(2 * result.starts);
    result
}

fn advance<P: Placement>(world: &mut World<P>, started: TimestampMs, at_ms: u64) {
    let due = started + DurationMs(at_ms);
    world.run_for(due.since(world.now()).0);
}

/// Callers are spread by a balancer that leaves out dead entries.
fn next_entry<P: Placement>(world: &World<P>, number: usize, entries: usize) -> usize {
    (0..entries)
        .map(|offset| (number + offset) % entries)
        .find(|entry| world.entry(*entry).is_some())
        .unwrap_or(0)
}

fn declared(job: &PlannedJob, trouble: Trouble) -> lagoonhill_core::entry::Submission {
    let mut submission = job.submission.clone();
    submission.run_time_ms = match trouble {
        Trouble::DeclaredTooLong => Some(DurationMs(4_200)),
        Trouble::DeclaredTooShort => Some(DurationMs(42)),
        _ => None,
    };
    submission
}

fn make_trouble<P: Placement>(
    world: &mut World<P>,
    trouble: Trouble,
    callers: &mut [(CallerId, PlannedJob, bool)],
) {
    const VICTIM: usize = WORKERS / 2;
    match trouble {
        Trouble::None | Trouble::DeclaredTooLong | Trouble::DeclaredTooShort => {}
        Trouble::Straggler => {
            world.set_target(
                VICTIM,
                TargetModel {
                    slowness_permille: 10_000,
                    fails_all: false,
                },
            );
        }
        Trouble::BlackHole => {
            world.set_target(
                VICTIM,
                TargetModel {
                    slowness_permille: 1_000,
                    fails_all: true,
                },
            );
        }
        Trouble::WorkerDies => world.kill(NodeId::Agent(VICTIM)),
        Trouble::EntryDies => world.kill(NodeId::Entry(0)),
        Trouble::CancelWave => {
            for (caller, _, hung_up) in callers.iter_mut().step_by(2) {
                if !world.received.contains_key(caller) {
                    world.abandon(*caller);
                    *hung_up = true;
                }
            }
        }
    }
}

fn judge<P: Placement>(
    result: &mut PolicyResult,
    world: &World<P>,
    caller: CallerId,
    job: &PlannedJob,
    started: TimestampMs,
    trouble_ms: u64,
    (fastest_permille, round_trip_ms): (u64, u64),
) {
    let later = job.at_ms >= trouble_ms + GRACE_MS;
    result.jobs += 1;
    result.jobs_later += u64::from(later);
    let Some(received) = world
        .received
        .get(&caller)
        .and_then(|answers| answers.first())
    else {
        result.unanswered += 1;
        return;
    };
    match &received.answer.outcome {
        Ok(_) => {
            let submitted = started + DurationMs(job.at_ms);
            let taken_ms = received.at_ms.since(submitted).0;
            let ideal_ms = (job.longest_ms * fastest_permille / 1_000 + round_trip_ms).max(1);
            let percent = (taken_ms * 100 / ideal_ms).max(1);
            result.ratio_percent.saturating_record(percent);
            if job.is_rush {
                result.rush_ratio_percent.saturating_record(percent);
            }
        }
        Err(failure) if failure.run == RunCertainty::NotRun => result.refused += 1,
        Err(_) => {
            result.failed += 1;
            result.failed_later += u64::from(later);
        }
    }
}
