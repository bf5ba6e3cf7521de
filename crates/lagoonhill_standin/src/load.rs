use std::net::SocketAddr;
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use hyper::Method;
use lagoonhill_http::HttpClient;
use serde::Deserialize;
use tokio::task::JoinSet;

/// Largest value that a histogram records: ten minutes in microseconds.
const MAX_RECORDED: u64 = 600_000_000;

/// Range of task run times and job sizes in a stream of jobs.
#[derive(Clone, Copy, Debug)]
pub struct TaskMix {
    /// Shortest run time of a task.
    pub min_run_ms: u64,
    /// Longest run time of a task.
    pub max_run_ms: u64,
    /// Fewest tasks in a job.
    pub min_tasks: u16,
    /// Most tasks in a job.
    pub max_tasks: u16,
}

/// An open-loop stream of jobs.
#[derive(Clone, Debug)]
pub struct Load {
    /// Addresses of the entries, used round-robin.
    pub entries: Vec<SocketAddr>,
    /// Service that runs the tasks.
    pub service: String,
    /// Team that submits the jobs.
    pub team: String,
    /// Mean rate of submission.
    pub jobs_per_s: f64,
    /// How long jobs are submitted.
    pub length: Duration,
    /// Run times and sizes of the jobs.
    pub mix: TaskMix,
    /// Deadline of each job.
    pub deadline_ms: u64,
    /// Seed of arrivals, sizes and run times.
    pub seed: u64,
}

/// Outcomes of a stream of jobs.
#[derive(Clone, Debug)]
pub struct LoadReport {
    /// Jobs submitted.
    pub jobs: u64,
    /// Tasks submitted.
    pub tasks: u64,
    /// Jobs answered with the right results of all tasks.
    pub completed: u64,
    /// Jobs refused with "not run".
    pub refused: u64,
    /// Jobs failed with "may have run".
    pub failed: u64,
    /// Requests without an answer: the connection failed or timed out.
    pub unanswered: u64,
    /// Answers with results of another job or of only some tasks.
    pub wrong: u64,
    /// Marks of tasks whose job was refused with "not run".
    pub refused_echoes: Vec<String>,
    /// Response time of completed jobs minus their longest run, as measured by
    /// the target, in microseconds.
    pub overhead_us: Histogram<u64>,
    /// Response time of completed jobs relative to their longest requested run
    /// time, in percent.
    pub ratio_percent: Histogram<u64>,
}

impl LoadReport {
    fn new() -> Self {
        let histogram =
            || Histogram::new_with_bounds(1, MAX_RECORDED, 3).expect("bounds are valid");
        Self {
            jobs: 0,
            tasks: 0,
            completed: 0,
            refused: 0,
            failed: 0,
            unanswered: 0,
            wrong: 0,
            refused_echoes: Vec::new(),
            overhead_us: histogram(),
            ratio_percent: histogram(),
        }
    }

    /// Adds the report of another stream.
    pub fn merge(&mut self, other: &Self) {
        self.jobs += other.jobs;
        self.tasks += other.tasks;
        self.completed += other.completed;
        self.refused += other.refused;
        self.failed += other.failed;
        self.unanswered += other.unanswered;
        self.wrong += other.wrong;
        self.refused_echoes
            .extend(other.refused_echoes.iter().cloned());
        self.overhead_us
            .add(&other.overhead_us)
            .expect("both have the same range");
        self.ratio_percent
            .add(&other.ratio_percent)
            .expect("both have the same range");
    }
}

enum Outcome {
    Completed {
        overhead: Duration,
        ratio_percent: u64,
    },
    Refused(Vec<String>),
    Failed,
    Unanswered,
    Wrong,
}

#[derive(Deserialize)]
struct Answer {
    results: Vec<Echo>,
}

#[derive(Deserialize)]
struct Echo {
    echo: String,
    /// Run time that the target measured.
    ran_us: u64,
}

struct Job {
    tasks: Vec<(u64, String)>,
}

impl Job {
    fn draw(random: &mut fastrand::Rng, mix: TaskMix, prefix: &str) -> Self {
        let count = random.u16(mix.min_tasks..=mix.max_tasks);
        let task = |index| {
            (
                random.u64(mix.min_run_ms..=mix.max_run_ms),
                format!("{prefix}-{index}"),
            )
        };
        Self {
            tasks: (0..count).map(task).collect(),
        }
    }
}

/// Submits jobs at random (Poisson) intervals, without waiting for answers, and
/// checks every answer.
pub async fn run_load(load: Load) -> LoadReport {
    let client = HttpClient::new();
    let mut random = fastrand::Rng::with_seed(load.seed);
    let started = Instant::now();
    let mut report = LoadReport::new();
    let mut running = JoinSet::new();
    let mut due = Duration::ZERO;
    while due < load.length {
        tokio::time::sleep_until((started + due).into()).await;
        let prefix = format!("{}-{:x}-{}", load.team, load.seed, report.jobs);
        let job = Job::draw(&mut random, load.mix, &prefix);
        let entry_index = usize::try_from(report.jobs).unwrap_or(0) % load.entries.len();
        report.jobs += 1;
        report.tasks += job.tasks.len() as u64;
        running.spawn(submit(
            client.clone(),
            load.entries[entry_index],
            load.clone(),
            job,
        ));
        while let Some(outcome) = running.try_join_next() {
            record(&mut report, outcome.unwrap_or(Outcome::Unanswered));
        }
        due += Duration::from_secs_f64(-random.f64().max(f64::MIN_POSITIVE).ln() / load.jobs_per_s);
    }
    while let Some(outcome) = running.join_next().await {
        record(&mut report, outcome.unwrap_or(Outcome::Unanswered));
    }
    report
}

fn record(report: &mut LoadReport, outcome: Outcome) {
    match outcome {
        Outcome::Completed {
            overhead,
            ratio_percent,
        } => {
            report.completed += 1;
            let micros = u64::try_from(overhead.as_micros()).unwrap_or(u64::MAX);
            report.overhead_us.saturating_record(micros);
            report.ratio_percent.saturating_record(ratio_percent);
        }
        Outcome::Refused(marks) => {
            report.refused += 1;
            report.refused_echoes.extend(marks);
        }
        Outcome::Failed => report.failed += 1,
        Outcome::Unanswered => report.unanswered += 1,
        Outcome::Wrong => report.wrong += 1,
    }
}

async fn submit(client: HttpClient, entry: SocketAddr, load: Load, job: Job) -> Outcome {
    let inputs: Vec<serde_json::Value> = job
        .tasks
        .iter()
        .map(|(run_ms, mark)| serde_json::json!({ "run_ms": run_ms, "echo": mark }))
        .collect();
    let body = serde_json::json!({
        "service": load.service,
        "team": load.team,
        "deadline_ms": load.deadline_ms,
        "tasks": inputs,
    });
    let headers = [("content-type", "application/json")];
    let limit = Duration::from_millis(load.deadline_ms + 10_000);
    let started = Instant::now();
    let sent = client.send(
        entry,
        Method::POST,
        "/v1/jobs",
        &headers,
        body.to_string().into(),
        limit,
    );
    let Ok(reply) = sent.await else {
        return Outcome::Unanswered;
    };
    let elapsed = started.elapsed();
    if !reply.status.is_success() {
        let not_run = reply.body.windows(9).any(|window| window == b"\"not-run\"");
        let marks = job.tasks.into_iter().map(|(_, mark)| mark).collect();
        return if not_run {
            Outcome::Refused(marks)
        } else {
            Outcome::Failed
        };
    }
    let Ok(answer) = serde_json::from_slice::<Answer>(&reply.body) else {
        return Outcome::Wrong;
    };
    let expected = job.tasks.iter().map(|(_, mark)| mark.as_str());
    if !answer
        .results
        .iter()
        .map(|result| result.echo.as_str())
        .eq(expected)
    {
        return Outcome::Wrong;
    }
    let longest_us = answer
        .results
        .iter()
        .map(|result| result.ran_us)
        .max()
        .unwrap_or(0);
    let longest = Duration::from_micros(longest_us);
    let requested_ms = job
        .tasks
        .iter()
        .map(|(run_ms, _)| *run_ms)
        .max()
        .unwrap_or(0);
    let ideal_us = Duration::from_millis(requested_ms).as_micros().max(1_000);
    let ratio_percent = u64::try_from(elapsed.as_micros() * 100 / ideal_us).unwrap_or(u64::MAX);
    Outcome::Completed {
        overhead: elapsed.saturating_sub(longest),
        ratio_percent,
    }
}
