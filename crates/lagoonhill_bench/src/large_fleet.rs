//! Load pattern: a large fleet with unequal load per entry. Each caller keeps its
//! connection to one entry, so some entries get several times the load of others.
//! Each entry sees only a small part of the runs at each target, and all entries
//! start at the same time without any estimates.

use hdrhistogram::Histogram;
use lagoonhill_core::Timing;
use lagoonhill_core::entry::{
    CallerId, DEFAULT_LOOK_AHEAD, Needs, Placement, QueueSubmission, RunCertainty, Step, Submission,
};
use lagoonhill_rules::{RuleSet, parse_rules};
use lagoonhill_standin::{Network, NodeId, TargetModel, World, WorldConfig};
use lagoonhill_types::prelude::*;

const RULES: &str = "\
service dispatch deadline=20s run-limit=20s  # bench
queue short service=dispatch class=rush attempts=4 objective=60ms slack-permille=1600  # bench
queue middle service=dispatch class=standard attempts=4 objective=60ms slack-permille=1600  # bench
queue long service=dispatch class=office attempts=4 objective=60ms slack-permille=1600  # bench
";

/// Slowness of the targets, assigned round-robin within a zone.
const SLOWNESS_PERMILLE: [u64; 3] = [700, 700, 1_700];

/// Callers in each availability zone.
const CALLERS_PER_ZONE: usize = 10;

/// Relative numbers of requests from the availability zones.
const ZONE_WEIGHTS: [f64; 5] = [309.0, 249.0, 244.0, 231.0, 233.0];

/// Round-trip time between a caller and its entry.
const CALLER_ROUND_TRIP_MS: u64 = 2;

/// Length of the windows that are evaluated separately.
const WINDOW_MS: u64 = 2_000;

/// Time before the first request, in which agents connect to the entries.
const WARM_UP_MS: u64 = 1_000;

/// Time after the last arrival for the jobs to complete.
const COMPLETION_WAIT_MS: u64 = 12_000;

/// A kind of job; `tasks` and `run_ms` are means of random draws.
#[derive(Clone, Copy, Debug)]
struct Kind {
    queue: &'static str,
    /// Arrivals a second for each target.
    rate: f64,
    tasks: f64,
    max_tasks: f64,
    run_ms: f64,
    max_run_ms: f64,
    /// Value of an answer within the objective.
    value: f64,
}

const KINDS: [Kind; 3] = [
    Kind {
        queue: "short",
        rate: 309.0 / 160.0,
        tasks: 8.0,
        max_tasks: 32.0,
        run_ms: 60.0,
        max_run_ms: 240.0,
        value: 3.23,
    },
    Kind {
        queue: "middle",
        rate: 901.0 / 160.0,
        tasks: 2.0,
        max_tasks: 8.0,
        run_ms: 200.0,
        max_run_ms: 800.0,
        value: 1.11,
    },
    Kind {
        queue: "long",
        rate: 56.2 / 160.0,
        tasks: 4.0,
        max_tasks: 16.0,
        run_ms: 900.0,
        max_run_ms: 3_600.0,
        value: 17.8,
    },
];

/// Relative deviation of task counts, run times and declared run times.
const DEVIATION: f64 = 0.4;

/// Mean processors that a task requests, in thousandths of a processor.
const TASK_PROCESSORS: f64 = 10_000.0;

/// An answer after its objective, but within this many times the objective,
/// earns [`LATE_SHARE`] of its value.
const LATE_FACTOR: u64 = 3;

const LATE_SHARE: f64 = 0.2;

/// A temporary increase of the traffic.
#[derive(Clone, Copy, Debug)]
pub struct Burst {
    /// Start, from the first arrival on.
    pub at_ms: u64,
    /// Duration.
    pub length_ms: u64,
    /// Traffic relative to the normal one.
    pub factor: f64,
}

/// Configuration of one run.
#[derive(Clone, Copy, Debug)]
pub struct LargeRun {
    /// Number of entries, assigned round-robin to the zones.
    pub entries: usize,
    /// Number of targets, assigned round-robin to the zones.
    pub targets: usize,
    /// Number of availability zones.
    pub zones: usize,
    /// Traffic relative to a full day's.
    pub load: f64,
    /// An additional burst, if any.
    pub burst: Option<Burst>,
    /// Factor by which one target becomes slower after a third of the run.
    pub straggler_factor: Option<u64>,
    /// One target in this many is lost for good after a third of the run.
    pub lost_divisor: Option<usize>,
    /// One-way delay between zones.
    pub cross_zone_ms: u64,
    /// Time over which jobs arrive.
    pub length_ms: u64,
    /// Seed of all random draws.
    pub seed: u64,
}

/// Outcomes of the jobs of one kind.
#[derive(Clone, Debug)]
pub struct KindResult {
    /// Queue of the kind.
    pub queue: &'static str,
    /// Jobs submitted.
    pub jobs: u64,
    /// Jobs answered within their objective.
    pub in_time: u64,
    /// Jobs answered after it.
    pub late: u64,
    /// Jobs refused without having run.
    pub refused: u64,
    /// Response time of the answered jobs, in milliseconds.
    pub taken_ms: Histogram<u64>,
}

impl KindResult {
    fn of(kind: &Kind) -> Self {
        Self {
            queue: kind.queue,
            jobs: 0,
            in_time: 0,
            late: 0,
            refused: 0,
            taken_ms: Histogram::new_with_bounds(1, 1_000_000, 3).expect("the bounds are valid"),
        }
    }
}

/// Result of a run.
#[derive(Clone, Debug)]
pub struct LargeResult {
    /// Outcomes by kind of job, the most urgent first.
    pub kinds: Vec<KindResult>,
    /// Share of the possible value that was earned in each window of two
    /// seconds.
    pub windows: Vec<f64>,
    /// Share of the possible value that was earned in the whole run.
    pub earned: f64,
    /// Response time relative to the objective, in percent.
    pub ratio_percent: Histogram<u64>,
    /// Jobs submitted.
    pub jobs: u64,
    /// Jobs refused without having run.
    pub refused: u64,
    /// Longest response time of a refusal.
    pub slowest_refusal_ms: u64,
    /// Jobs that failed and may have run.
    pub failed: u64,
    /// Callers without an answer.
    pub unanswered: u64,
    /// Tasks started.
    pub starts: u64,
    /// Tasks returned unstarted, estimated as half of the start and outcome
    /// messages beyond one of each per started task.
    pub returned_unstarted: u64,
    /// Packets sent by all processes.
    pub packets: u64,
    /// Tasks started in another zone than their entry's.
    pub cross_zone_starts: u64,
}

impl LargeResult {
    /// Returns the share of the worst window.
    pub fn worst_window(&self) -> f64 {
        self.windows.iter().copied().fold(1.0, f64::min)
    }

    /// Returns a quantile of the response time relative to the objective.
    pub fn ratio(&self, quantile: f64) -> f64 {
        self.ratio_percent.value_at_quantile(quantile) as f64 / 100.0
    }
}

struct PlannedJob {
    /// Index of its kind in [`KINDS`].
    kind: usize,
    at_ms: u64,
    entry: usize,
    objective_ms: u64,
    value: f64,
    submission: Submission,
}

/// Draws from a log-normal distribution with mean 1, approximating the normal
/// distribution by a sum of 12 uniform draws.
fn log_normal(random: &mut fastrand::Rng, share: f64) -> f64 {
    let normal: f64 = (0..12).map(|_| random.f64()).sum::<f64>() - 6.0;
    (share * normal - share * share / 2.0).exp()
}

fn at_least_one(value: f64) -> u64 {
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "draws are positive and far below 2^52"
    )]
    let whole = value.max(1.0).round() as u64;
    whole
}

fn submission(random: &mut fastrand::Rng, kind: &Kind, number: usize) -> (Submission, u64) {
    let tasks = at_least_one((kind.tasks * log_normal(random, DEVIATION)).min(kind.max_tasks));
    let runs: Vec<u64> = (0..tasks)
        .map(|_| at_least_one((kind.run_ms * log_normal(random, DEVIATION)).min(kind.max_run_ms)))
        .collect();
    let longest_ms = runs.iter().copied().max().unwrap_or(1);
    let mean_ms = runs.iter().sum::<u64>() / tasks;
    let declared_ms = at_least_one(mean_ms as f64 * log_normal(random, DEVIATION));
    let processors =
        at_least_one(TASK_PROCESSORS * log_normal(random, DEVIATION / 2.0)).min(15_000);
    let payload = |(index, run_ms): (usize, &u64)| {
        Payload::from(format!("{run_ms} {} {number} {index}", kind.queue).into_bytes())
    };
    let step = Step {
        count: u16::try_from(tasks).unwrap_or(u16::MAX),
        after: Vec::new(),
        needs: Needs::of(Resources {
            processors: MilliProcessors(u32::try_from(processors).unwrap_or(u32::MAX)),
            ..Resources::default()
        }),
        estimate_ms: DurationMs(declared_ms),
    };
    let submission = Submission {
        service: "dispatch".parse().expect("the name is valid"),
        team: kind.queue.parse().expect("the name is valid"),
        deadline_ms: Some(DurationMs::from_secs(10)),
        waited_ms: DurationMs::ZERO,
        run_time_ms: Some(DurationMs(declared_ms)),
        needs: Needs::default(),
        tasks: runs.iter().enumerate().map(payload).collect(),
        durable: false,
        queued: Some(QueueSubmission {
            queue: kind.queue.parse().expect("the name is valid"),
            name: format!("job-{number}").parse().expect("the name is valid"),
            steps: vec![step],
        }),
    };
    (submission, longest_ms)
}

/// Draws the entry that each caller of each zone is connected to.
fn entry_of_caller(run: &LargeRun) -> Vec<Vec<usize>> {
    let mut random = fastrand::Rng::with_seed(run.seed ^ 0xCA11);
    (0..run.zones)
        .map(|zone| {
            let zone_entries: Vec<usize> = (zone..run.entries).step_by(run.zones).collect();
            (0..CALLERS_PER_ZONE)
                .map(|_| zone_entries[random.usize(..zone_entries.len())])
                .collect()
        })
        .collect()
}

fn plan(run: &LargeRun) -> Vec<PlannedJob> {
    let mut random = fastrand::Rng::with_seed(run.seed);
    let entry_of_caller = entry_of_caller(run);
    let weights: Vec<f64> = (0..run.zones)
        .map(|zone| ZONE_WEIGHTS[zone % ZONE_WEIGHTS.len()])
        .collect();
    let all: f64 = weights.iter().sum();
    let mut jobs = Vec::new();
    for (position, kind) in KINDS.iter().enumerate() {
        let base = kind.rate * run.targets as f64 * run.load / 1_000.0;
        let mut at = 0.0_f64;
        loop {
            let factor = run.burst.filter(|burst| {
                let until = burst.at_ms + burst.length_ms;
                (burst.at_ms as f64..until as f64).contains(&at)
            });
            let rate = base * factor.map_or(1.0, |burst| burst.factor);
            at += -random.f64().max(f64::MIN_POSITIVE).ln() / rate;
            if at >= run.length_ms as f64 {
                break;
            }
            let mut draw = random.f64() * all;
            let zone = weights
                .iter()
                .position(|weight| {
                    draw -= weight;
                    draw < 0.0
                })
                .unwrap_or(0);
            let caller = random.usize(..CALLERS_PER_ZONE);
            let (submission, longest_ms) = submission(&mut random, kind, jobs.len());
            jobs.push(PlannedJob {
                kind: position,
                at_ms: at_least_one(at),
                entry: entry_of_caller[zone][caller],
                objective_ms: longest_ms * 1_600 / 1_000 + 60,
                value: kind.value,
                submission,
            });
        }
    }
    jobs.sort_by_key(|job| job.at_ms);
    jobs
}

/// Simulates the large fleet with a placement policy.
pub fn run_large<P: Placement>(
    run: LargeRun,
    timing: Timing,
    placement: impl FnMut(usize) -> P,
) -> LargeResult {
    let targets: Vec<TargetModel> = (0..run.targets)
        .map(|index| TargetModel {
            slowness_permille: SLOWNESS_PERMILLE[index / run.zones % SLOWNESS_PERMILLE.len()],
            fails_all: false,
        })
        .collect();
    let lines = parse_rules(RULES).expect("the rules are valid");
    let config = WorldConfig {
        entries: run.entries,
        targets: targets.clone(),
        zones: run.zones,
        slots: 8,
        service: "dispatch".parse().expect("the name is valid"),
        rules: RuleSet::new(Revision(1), lines),
        network: Network {
            delay_ms: 0,
            cross_zone_ms: run.cross_zone_ms,
            jitter_ms: 0,
            loss_permille: 0,
            repeat_permille: 0,
        },
        look_ahead: DEFAULT_LOOK_AHEAD,
        overcommit: 8,
        timing,
        seed: run.seed,
    };
    let mut world = World::new(&config, placement);
    world.run_for(WARM_UP_MS);
    let before = world.totals;
    let started = world.now();
    let jobs = plan(&run);
    let mut callers: Vec<CallerId> = Vec::with_capacity(jobs.len());
    let mut fault_due_ms = Some(run.length_ms / 3);
    for job in &jobs {
        let due = started + DurationMs(job.at_ms);
        world.run_for(due.since(world.now()).0);
        if fault_due_ms.is_some_and(|due_ms| due_ms <= job.at_ms) {
            fault_due_ms = None;
            inject_faults(&mut world, &run, targets[0]);
        }
        callers.push(world.submit(job.entry, job.submission.clone()));
    }
    world.run_for(COMPLETION_WAIT_MS);
    let mut result = evaluate(&world, &jobs, &callers, started);
    result.packets = world.totals.packets - before.packets;
    result.starts = world.starts.values().map(|count| u64::from(*count)).sum();
    let task_messages = world.totals.task_messages - before.task_messages;
    result.returned_unstarted = task_messages.saturating_sub(2 * result.starts) / 2;
    result.cross_zone_starts = world.cross_zone_starts;
    result
}

/// Slows down the first target and kills agents, as configured.
fn inject_faults<P: Placement>(world: &mut World<P>, run: &LargeRun, first: TargetModel) {
    if let Some(factor) = run.straggler_factor {
        let slowness_permille = first.slowness_permille * factor;
        world.set_target(
            0,
            TargetModel {
                slowness_permille,
                ..first
            },
        );
    }
    if let Some(divisor) = run.lost_divisor {
        for target in (0..run.targets).step_by(divisor) {
            world.kill(NodeId::Agent(target));
        }
    }
}

fn evaluate<P: Placement>(
    world: &World<P>,
    jobs: &[PlannedJob],
    callers: &[CallerId],
    started: TimestampMs,
) -> LargeResult {
    let mut result = LargeResult {
        kinds: KINDS.iter().map(KindResult::of).collect(),
        windows: Vec::new(),
        earned: 0.0,
        ratio_percent: Histogram::new_with_bounds(1, 1_000_000, 3).expect("the bounds are valid"),
        jobs: jobs.len() as u64,
        refused: 0,
        slowest_refusal_ms: 0,
        failed: 0,
        unanswered: 0,
        starts: 0,
        returned_unstarted: 0,
        packets: 0,
        cross_zone_starts: 0,
    };
    let mut windows: Vec<(f64, f64)> = Vec::new();
    for (job, caller) in jobs.iter().zip(callers) {
        let window = usize::try_from(job.at_ms / WINDOW_MS).unwrap_or(0);
        if windows.len() <= window {
            windows.resize(window + 1, (0.0, 0.0));
        }
        windows[window].1 += job.value;
        let kind = &mut result.kinds[job.kind];
        kind.jobs += 1;
        let received = world.received.get(caller).and_then(|all| all.first());
        let Some(received) = received else {
            result.unanswered += 1;
            continue;
        };
        let submitted = started + DurationMs(job.at_ms);
        let taken_ms = received.at_ms.since(submitted).0 + CALLER_ROUND_TRIP_MS;
        match &received.answer.outcome {
            Ok(_) => {
                let percent = taken_ms * 100 / job.objective_ms;
                kind.taken_ms.saturating_record(taken_ms);
                kind.in_time += u64::from(percent <= 100);
                kind.late += u64::from(percent > 100);
                result.ratio_percent.saturating_record(percent.max(1));
                windows[window].0 += if percent <= 100 {
                    job.value
                } else if percent <= 100 * LATE_FACTOR {
                    job.value * LATE_SHARE
                } else {
                    0.0
                };
            }
            Err(failure) if failure.run == RunCertainty::NotRun => {
                result.refused += 1;
                kind.refused += 1;
                result.slowest_refusal_ms = result.slowest_refusal_ms.max(taken_ms);
            }
            Err(_) => result.failed += 1,
        }
    }
    let earned: f64 = windows.iter().map(|(earned, _)| earned).sum();
    let possible: f64 = windows.iter().map(|(_, possible)| possible).sum();
    result.earned = earned / possible;
    result.windows = windows
        .iter()
        .map(|(earned, possible)| earned / possible)
        .collect();
    result
}
