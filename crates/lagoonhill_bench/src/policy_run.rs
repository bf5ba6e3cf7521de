use hdrhistogram::Histogram;
use lagoonhill_core::Timing;
use lagoonhill_core::entry::{CallerId, Placement, RunCertainty};
use lagoonhill_rules::{RuleSet, parse_rules};
use lagoonhill_standin::{Network, NodeId, TargetModel, World, WorldConfig};
use lagoonhill_types::prelude::*;

use crate::workload::{PlannedJob, Scenario, plan};

/// Fault that is injected at half time of a policy run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// No fault.
    None,
    /// One target runs ten times slower than an average one.
    Straggler,
    /// One target fails all tasks immediately.
    BlackHole,
    /// One agent is killed.
    WorkerDies,
    /// One entry is killed.
    EntryDies,
    /// Half of all waiting callers disconnect.
    CancelWave,
    /// All jobs declare a run time of ten times the mean.
    DeclaredTooLong,
    /// All jobs declare a run time of a tenth of the mean.
    DeclaredTooShort,
}

/// Configuration of one run of a policy.
#[derive(Clone, Copy, Debug)]
pub struct PolicyRun {
    /// Number of entries.
    pub entries: usize,
    /// Look-ahead: tasks dispatched to an agent beyond its slots.
    pub look_ahead: u16,
    /// One-way delay between processes.
    pub delay_ms: u64,
    /// Load relative to the fleet's capacity.
    pub utilization: f64,
    /// Traffic pattern.
    pub scenario: Scenario,
    /// Injected fault.
    pub fault: Fault,
    /// Time over which jobs arrive.
    pub length_ms: u64,
    /// Seed of all random draws.
    pub seed: u64,
}

/// Result of one or several runs.
#[derive(Clone, Debug)]
pub struct PolicyResult {
    /// Response time relative to the longest task on the fastest target plus a
    /// round trip, in percent.
    pub ratio_percent: Histogram<u64>,
    /// The same for the jobs of the rush.
    pub rush_ratio_percent: Histogram<u64>,
    /// Jobs submitted.
    pub jobs: u64,
    /// Jobs refused without having run.
    pub refused: u64,
    /// Jobs that failed and may have run.
    pub failed: u64,
    /// Those of `failed` that were submitted at least a second after the fault.
    pub failed_after_fault: u64,
    /// Jobs submitted at least a second after the fault.
    pub jobs_after_fault: u64,
    /// Callers without an answer.
    pub unanswered: u64,
    /// Tasks started.
    pub starts: u64,
    /// Packets sent by all processes.
    pub packets: u64,
    /// Packets without a start or outcome, plus starts and outcomes beyond one
    /// of each per started task.
    pub wasted: u64,
}

const WORKERS: usize = 11;
const SLOTS: u16 = 8;
const MAX_PERCENT: u64 = 10_000_000;

/// Longest time after the last arrival to wait for answers.
const ANSWER_WAIT_MS: u64 = 130_000;

const ANSWER_POLL_MS: u64 = 500;

/// Time after the fault during which failures are expected.
const GRACE_MS: u64 = 1_000;

const RULES: &str = "\
service dispatch deadline=2m run-time=420ms run-limit=60s  # bench
team offices class=office  # bench
team parents class=rush  # bench
";

/// Targets with speeds of 0.5 to 2, evenly spaced on a logarithmic scale.
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

/// Returns the number of slots weighted by the speed of their target.
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
            failed_after_fault: 0,
            jobs_after_fault: 0,
            unanswered: 0,
            starts: 0,
            packets: 0,
            wasted: 0,
        }
    }

    /// Adds the result of another seed.
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
        self.failed_after_fault += other.failed_after_fault;
        self.jobs_after_fault += other.jobs_after_fault;
        self.unanswered += other.unanswered;
        self.starts += other.starts;
        self.packets += other.packets;
        self.wasted += other.wasted;
    }

    /// Returns a quantile of the relative response time.
    pub fn ratio(&self, quantile: f64) -> f64 {
        self.ratio_percent.value_at_quantile(quantile) as f64 / 100.0
    }

    /// The same for the jobs of the rush.
    pub fn rush_ratio(&self, quantile: f64) -> f64 {
        self.rush_ratio_percent.value_at_quantile(quantile) as f64 / 100.0
    }

    /// Returns [`Self::wasted`] per started task.
    pub fn wasted_per_task(&self) -> f64 {
        self.wasted as f64 / self.starts.max(1) as f64
    }

    /// Returns the packets per started task.
    pub fn packets_per_task(&self) -> f64 {
        self.packets as f64 / self.starts.max(1) as f64
    }
}

/// Simulates a policy with several seeds and merges the results.
pub fn run_policy<P: Placement>(
    run: PolicyRun,
    seeds: u64,
    mut placement: impl FnMut(usize) -> P,
) -> PolicyResult {
    let mut merged = PolicyResult::new();
    for seed in 0..seeds {
        let run = PolicyRun {
            seed: run.seed + seed,
            ..run
        };
        merged.merge(&run_once(run, &mut placement));
    }
    merged
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
        overcommit: 8,
        timing: Timing::default(),
        seed: run.seed,
    };
    let mut world = World::new(&config, placement);
    world.run_for(1_000);
    let totals_before = world.totals;
    let started = world.now();
    let fault_ms = run.length_ms / 2;
    let mut is_fault_injected = false;
    let mut callers = Vec::new();
    for (number, job) in jobs.into_iter().enumerate() {
        if !is_fault_injected && job.at_ms >= fault_ms {
            advance_to(&mut world, started, fault_ms);
            inject_fault(&mut world, run.fault, &mut callers);
            is_fault_injected = true;
        }
        advance_to(&mut world, started, job.at_ms);
        let entry = next_entry(&world, number, run.entries);
        let caller = world.submit(entry, with_declared_run_time(&job, run.fault));
        callers.push((caller, job, false));
    }
    // Counts packets until the last answer only: the packets of an idle fleet
    // don't depend on the policy.
    let finish_by = world.now() + DurationMs(ANSWER_WAIT_MS);
    let has_pending = |world: &World<P>| {
        callers.iter().any(|(caller, _, is_disconnected)| {
            !is_disconnected && !world.received.contains_key(caller)
        })
    };
    while world.now() < finish_by && has_pending(&world) {
        world.run_for(ANSWER_POLL_MS);
    }
    let mut result = PolicyResult::new();
    let round_trip_ms = 2 * run.delay_ms;
    for (caller, job, is_disconnected) in &callers {
        if !is_disconnected {
            record_answer(
                &mut result,
                &world,
                *caller,
                job,
                started,
                fault_ms,
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

fn advance_to<P: Placement>(world: &mut World<P>, started: TimestampMs, at_ms: u64) {
    let due = started + DurationMs(at_ms);
    world.run_for(due.since(world.now()).0);
}

/// Chooses the entry of a new caller, as a balancer that skips dead entries.
fn next_entry<P: Placement>(world: &World<P>, number: usize, entries: usize) -> usize {
    (0..entries)
        .map(|offset| (number + offset) % entries)
        .find(|entry| world.entry(*entry).is_some())
        .unwrap_or(0)
}

fn with_declared_run_time(job: &PlannedJob, fault: Fault) -> lagoonhill_core::entry::Submission {
    let mut submission = job.submission.clone();
    submission.run_time_ms = match fault {
        Fault::DeclaredTooLong => Some(DurationMs(4_200)),
        Fault::DeclaredTooShort => Some(DurationMs(42)),
        _ => None,
    };
    submission
}

fn inject_fault<P: Placement>(
    world: &mut World<P>,
    fault: Fault,
    callers: &mut [(CallerId, PlannedJob, bool)],
) {
    const FAULTY: usize = WORKERS / 2;
    match fault {
        Fault::None | Fault::DeclaredTooLong | Fault::DeclaredTooShort => {}
        Fault::Straggler => {
            world.set_target(
                FAULTY,
                TargetModel {
                    slowness_permille: 10_000,
                    fails_all: false,
                },
            );
        }
        Fault::BlackHole => {
            world.set_target(
                FAULTY,
                TargetModel {
                    slowness_permille: 1_000,
                    fails_all: true,
                },
            );
        }
        Fault::WorkerDies => world.kill(NodeId::Agent(FAULTY)),
        Fault::EntryDies => world.kill(NodeId::Entry(0)),
        Fault::CancelWave => {
            for (caller, _, is_disconnected) in callers.iter_mut().step_by(2) {
                if !world.received.contains_key(caller) {
                    world.abandon(*caller);
                    *is_disconnected = true;
                }
            }
        }
    }
}

fn record_answer<P: Placement>(
    result: &mut PolicyResult,
    world: &World<P>,
    caller: CallerId,
    job: &PlannedJob,
    started: TimestampMs,
    fault_ms: u64,
    (fastest_permille, round_trip_ms): (u64, u64),
) {
    let is_after_fault = job.at_ms >= fault_ms + GRACE_MS;
    result.jobs += 1;
    result.jobs_after_fault += u64::from(is_after_fault);
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
            result.failed_after_fault += u64::from(is_after_fault);
        }
    }
}
