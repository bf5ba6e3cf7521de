//! Load pattern: a fleet of many entries of unequal shares. Callers keep the
//! entry that they are connected to, so some entries carry several times what
//! others do; each entry sees a small part of the runs at each target; all
//! begin at once and know nothing.

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

/// Speeds of the targets, in turn.
const SLOWNESS_PERMILLE: [u64; 3] = [700, 700, 1_700];

/// Callers of each availability zone.
const CALLERS_PER_ZONE: usize = 10;

/// Share of all requests that come from each availability zone.
const ZONE_WEIGHTS: [f64; 5] = [309.0, 249.0, 244.0, 231.0, 233.0];

/// Time on the way between a caller and its entry, both ways.
const CALLER_ROUND_TRIP_MS: u64 = 2;

/// Length of the windows that are judged by themselves.
const WINDOW_MS: u64 = 2_000;

/// Time before the first request, in which agents greet entries.
const GREETING_MS: u64 = 1_000;

/// Time after the last arrival for everything to end.
const SETTLE_MS: u64 = 12_000;

/// A kind of job.
#[derive(Clone, Copy, Debug)]
struct Kind {
    queue: &'static str,
    /// Arrivals a second for each target.
    rate: f64,
    tasks: f64,
    max_tasks: f64,
    run_ms: f64,
    max_run_ms: f64,
    /// What an answer in time is worth.
    worth: f64,
}

const KINDS: [Kind; 3] = [
    Kind {
        queue: "short",
        rate: 309.0 / 160.0,
        tasks: 8.0,
        max_tasks: 32.0,
        run_ms: 60.0,
        max_run_ms: 240.0,
        worth: 3.23,
    },
    Kind {
        queue: "middle",
        rate: 901.0 / 160.0,
        tasks: 2.0,
        max_tasks: 8.0,
        run_ms: 200.0,
        max_run_ms: 800.0,
        worth: 1.11,
    },
    Kind {
        queue: "long",
        rate: 56.2 / 160.0,
        tasks: 4.0,
        max_tasks: 16.0,
        run_ms: 900.0,
        max_run_ms: 3_600.0,
        worth: 17.8,
    },
];

/// Relative spread of task counts, run times and declared run times.
const SPREAD: f64 = 0.4;

/// Processors that a task asks for on average.
const TASK_PROCESSORS: f64 = 10_000.0;

/// An answer up to this many times its objective earns [`LATE_SHARE`].
const LATE_FACTOR: u64 = 3;

const LATE_SHARE: f64 = 0.2;

/// A burst of traffic.
#[derive(Clone, Copy, Debug)]
pub struct Burst {
    /// When it begins.
    pub at_ms: u64,
    /// How long it lasts.
    pub length_ms: u64,
    /// Times the usual traffic.
    pub factor: f64,
}

/// One run.
#[derive(Clone, Copy, Debug)]
pub struct LargeRun {
    /// Entries, dealt over the zones.
    pub entries: usize,
    /// Targets, dealt over the zones.
    pub targets: usize,
    /// Availability zones.
    pub zones: usize,
    /// Traffic relative to a full day's.
    pub load: f64,
    /// A burst on top.
    pub burst: Option<Burst>,
    /// One target turns this many times slower when a third of the run is over.
    pub straggler_factor: Option<u64>,
    /// One target in this many is lost for good when a third of the run is over.
    pub lost_divisor: Option<usize>,
    /// One-way time between zones.
    pub cross_zone_ms: u64,
    /// Length of the arrivals.
    pub length_ms: u64,
    /// Fixes the run.
    pub seed: u64,
}

/// What a run gave.
#[derive(Clone, Debug)]
pub struct LargeResult {
    /// Share of the worth that was earned in each window of two seconds.
    pub windows: Vec<f64>,
    /// Share of the worth that was earned over all.
    pub earned: f64,
    /// Time to the answer relative to the objective, in percent.
    pub ratio_percent: Histogram<u64>,
    /// Jobs submitted.
    pub jobs: u64,
    /// Jobs refused as not run.
    pub refused: u64,
    /// Longest time to a refusal.
    pub slowest_refusal_ms: u64,
    /// Jobs failed.
    pub failed: u64,
    /// Callers without an answer.
    pub unanswered: u64,
    /// Tasks started.
    pub starts: u64,
    /// Starts and outcomes beyond one of each for a task: orders handed back.
    pub handed_back: u64,
    /// Packets sent by anybody.
    pub packets: u64,
    /// Starts at a target in another zone than the entry.
    pub cross_zone_starts: u64,
}

impl LargeResult {
    /// The worst window's share.
    pub fn worst_window(&self) -> f64 {
        self.windows.iter().copied().fold(1.0, f64::min)
    }

    /// A quantile of the time to the answer relative to the objective.
    pub fn ratio(&self, quantile: f64) -> f64 {
        self.ratio_percent.value_at_quantile(quantile) as f64 / 100.0
    }
}

struct PlannedJob {
    at_ms: u64,
    entry: usize,
    objective_ms: u64,
    worth: f64,
    submission: Submission,
}

/// A draw around 1, by a sum of uniform ones.
fn spread(random: &mut fastrand::Rng, share: f64) -> f64 {
    let normal: f64 = (0..12).map(|_| random.f64()).sum::<f64>() - 6.0;
    (share * normal - share * share / 2.0).exp()
}

fn positive(value: f64) -> u64 {
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "draws are positive and far below 2^52"
    )]
    let whole = value.max(1.0).round() as u64;
    whole
}

fn submission(random: &mut fastrand::Rng, kind: &Kind, number: usize) -> (Submission, u64) {
    let tasks = positive((kind.tasks * spread(random, SPREAD)).min(kind.max_tasks));
    let runs: Vec<u64> = (0..tasks)
        .map(|_| positive((kind.run_ms * spread(random, SPREAD)).min(kind.max_run_ms)))
        .collect();
    let longest_ms = runs.iter().copied().max().unwrap_or(1);
    let mean_ms = runs.iter().sum::<u64>() / tasks;
    let declared_ms = positive(mean_ms as f64 * spread(random, SPREAD));
    let processors = positive(TASK_PROCESSORS * spread(random, SPREAD / 2.0)).min(15_000);
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

/// The entry that each caller of each zone keeps, by a hash of the caller.
fn connections(run: &LargeRun) -> Vec<Vec<usize>> {
    let mut random = fastrand::Rng::with_seed(run.seed ^ 0xCA11);
    (0..run.zones)
        .map(|zone| {
            let of_zone: Vec<usize> = (zone..run.entries).step_by(run.zones).collect();
            (0..CALLERS_PER_ZONE)
                .map(|_| of_zone[random.usize(..of_zone.len())])
                .collect()
        })
        .collect()
}

fn plan(run: &LargeRun) -> Vec<PlannedJob> {
    let mut random = fastrand::Rng::with_seed(run.seed);
    let connections = connections(run);
    let weights: Vec<f64> = (0..run.zones)
        .map(|zone| ZONE_WEIGHTS[zone % ZONE_WEIGHTS.len()])
        .collect();
    let all: f64 = weights.iter().sum();
    let mut jobs = Vec::new();
    for kind in &KINDS {
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
                at_ms: positive(at),
                entry: connections[zone][caller],
                objective_ms: longest_ms * 1_600 / 1_000 + 60,
                worth: kind.worth,
                submission,
            });
        }
    }
    jobs.sort_by_key(|job| job.at_ms);
    jobs
}

/// Runs a placement policy over the large fleet.
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
        timing,
        seed: run.seed,
    };
    let mut world = World::new(&config, placement);
    world.run_for(GREETING_MS);
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
    world.run_for(SETTLE_MS);
    let mut result = judge(&world, &jobs, &callers, started);
    result.packets = world.totals.packets - before.packets;
    result.starts = world.starts.values().map(|count| u64::from(*count)).sum();
    let task_messages = world.totals.task_messages - before.task_messages;
    result.handed_back = task_messages.saturating_sub(2 * result.starts) / 2;
    result.cross_zone_starts = world.cross_zone_starts;
    result
}

/// Slows the first target down and loses others, as the run asks for.
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

fn judge<P: Placement>(
    world: &World<P>,
    jobs: &[PlannedJob],
    callers: &[CallerId],
    started: TimestampMs,
) -> LargeResult {
    let mut result = LargeResult {
        windows: Vec::new(),
        earned: 0.0,
        ratio_percent: Histogram::new_with_bounds(1, 1_000_000, 3).expect("the bounds are valid"),
        jobs: jobs.len() as u64,
        refused: 0,
        slowest_refusal_ms: 0,
        failed: 0,
        unanswered: 0,
        starts: 0,
        handed_back: 0,
        packets: 0,
        cross_zone_starts: 0,
    };
    let mut windows: Vec<(f64, f64)> = Vec::new();
    for (job, caller) in jobs.iter().zip(callers) {
        let window = usize::try_from(job.at_ms / WINDOW_MS).unwrap_or(0);
        if windows.len() <= window {
            windows.resize(window + 1, (0.0, 0.0));
        }
        windows[window].1 += job.worth;
        let received = world.received.get(caller).and_then(|all| all.first());
        let Some(received) = received else {
            result.unanswered += 1;
            continue;
        };
        let asked = started + DurationMs(job.at_ms);
        let taken_ms = received.at_ms.since(asked).0 + CALLER_ROUND_TRIP_MS;
        match &received.answer.outcome {
            Ok(_) => {
                let percent = taken_ms * 100 / job.objective_ms;
                result.ratio_percent.saturating_record(percent.max(1));
                windows[window].0 += if percent <= 100 {
                    job.worth
                } else if percent <= 100 * LATE_FACTOR {
                    job.worth * LATE_SHARE
                } else {
                    0.0
                };
            }
            Err(failure) if failure.run == RunCertainty::NotRun => {
                result.refused += 1;
                result.slowest_refusal_ms = result.slowest_refusal_ms.max(taken_ms);
            }
            Err(_) => result.failed += 1,
        }
    }
    let earned: f64 = windows.iter().map(|(earned, _)| earned).sum();
    let owed: f64 = windows.iter().map(|(_, owed)| owed).sum();
    result.earned = earned / owed;
    result.windows = windows.iter().map(|(earned, owed)| earned / owed).collect();
    result
}
