//! Counts and distributions of a group of jobs.

use hdrhistogram::Histogram;
use serde::Serialize;

use super::job_trace::{Fate, JobTrace};

/// Highest value that a distribution tells apart.
const MAX_VALUE: u64 = 10_000_000;

/// Waits of a dispatched task at its agent from which on it counts as held up.
const HELD_UP_MS: u64 = 30;

/// Values with two significant digits, told as percentiles.
#[derive(Clone, Debug)]
pub struct Distribution(Histogram<u64>);

impl Default for Distribution {
    fn default() -> Self {
        let histogram = Histogram::new_with_bounds(1, MAX_VALUE, 2);
        Self(histogram.expect("the bounds are valid"))
    }
}

impl Distribution {
    pub(super) fn add(&mut self, value: u64) {
        self.0.saturating_record(value.min(MAX_VALUE));
    }

    /// Number of values.
    pub fn count(&self) -> u64 {
        self.0.len()
    }

    /// The value below which a percentage of the values lies; 0 without values.
    pub fn percentile(&self, percent: f64) -> u64 {
        self.0.value_at_percentile(percent)
    }
}

/// Percentiles that a report shows.
pub(super) const PERCENTILES: [f64; 5] = [50.0, 80.0, 90.0, 95.0, 99.0];

impl Serialize for Distribution {
    fn serialize<S: serde::Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let percentiles =
            PERCENTILES.map(|percent| (format!("p{percent}"), self.percentile(percent)));
        serializer.collect_map(
            [("count".to_owned(), self.count())]
                .into_iter()
                .chain(percentiles),
        )
    }
}

/// What became of a group of jobs.
#[derive(Clone, Debug, Default, Serialize)]
pub struct GroupStats {
    /// Jobs that were admitted.
    pub jobs: u64,
    /// Jobs whose tasks all ended well.
    pub completed: u64,
    /// Of these, jobs that took longer than promised.
    pub late: u64,
    /// Of these, jobs that took over 1.25 of what was promised.
    pub very_late: u64,
    /// Jobs that failed without having run.
    pub failed_not_run: u64,
    /// Jobs that failed and may have run.
    pub failed_may_have_run: u64,
    /// Tasks that were started.
    pub started: u64,
    /// Of these, tasks whose worker was believed free.
    pub believed_free: u64,
    /// Of these, tasks that then waited at the agent for over 30 ms.
    pub held_up: u64,
    /// Time of an answer, in thousandths of the promised time.
    pub took_permille: Distribution,
    /// Time until a job's first task was dispatched, in milliseconds.
    pub first_dispatch_ms: Distribution,
    /// Time until a job's last task was dispatched, in milliseconds.
    pub last_dispatch_ms: Distribution,
    /// Time from a task's dispatch to its start, in milliseconds, on the clocks of
    /// two processes.
    pub agent_wait_ms: Distribution,
    /// Load at the dispatch, in thousandths of the worker's slots.
    pub load_permille: Distribution,
    /// Age of the worker's report at the dispatch, in milliseconds.
    pub report_age_ms: Distribution,
    /// Run time, in thousandths of the expected one.
    pub run_permille: Distribution,
}

impl GroupStats {
    pub(super) fn add(&mut self, job: &JobTrace) {
        self.jobs += 1;
        match job.fate {
            Some(Fate::Completed) => self.add_completed(job),
            Some(Fate::FailedNotRun) => self.failed_not_run += 1,
            Some(Fate::Failed) => self.failed_may_have_run += 1,
            None => {}
        }
        if let Some((first, last)) = job.entry_waits_ms() {
            self.first_dispatch_ms.add(first);
            self.last_dispatch_ms.add(last);
        }
        for task in &job.tasks {
            let Some(wait_ms) = task.agent_wait_ms() else {
                continue;
            };
            self.started += 1;
            self.agent_wait_ms.add(wait_ms);
            self.report_age_ms.add(task.report_age_ms);
            if let Some(load) = (task.load * 1_000).checked_div(task.slots) {
                self.load_permille.add(load);
            }
            if task.is_believed_free() {
                self.believed_free += 1;
                self.held_up += u64::from(wait_ms > HELD_UP_MS);
            }
            if let Some(permille) = task
                .run_ms()
                .and_then(|run_ms| (run_ms * 1_000).checked_div(task.expected_ms))
            {
                self.run_permille.add(permille);
            }
        }
    }

    fn add_completed(&mut self, job: &JobTrace) {
        self.completed += 1;
        self.late += u64::from(job.is_late());
        let Some((took_ms, promised_ms)) = job.took_ms.zip(job.promised_ms) else {
            return;
        };
        self.very_late += u64::from(took_ms * 4 > promised_ms * 5);
        if let Some(permille) = (took_ms * 1_000).checked_div(promised_ms) {
            self.took_permille.add(permille);
        }
    }
}
