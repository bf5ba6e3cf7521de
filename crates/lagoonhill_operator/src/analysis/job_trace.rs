//! What the logs tell of one job, until it is closed.

use jiff::Timestamp;

use super::GroupBy;
use crate::LogMessage;

/// How a job ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Fate {
    Completed,
    /// Without success; no task has run.
    FailedNotRun,
    /// Without success; some task may have run.
    Failed,
}

/// One task of a job: its last dispatch and run.
#[derive(Clone, Debug, Default)]
pub(super) struct TaskTrace {
    pub(super) worker: String,
    pub(super) placed_at: Option<Timestamp>,
    pub(super) started_at: Option<Timestamp>,
    pub(super) ended_at: Option<Timestamp>,
    pub(super) load: u64,
    pub(super) slots: u64,
    pub(super) expected_ms: u64,
    pub(super) report_age_ms: u64,
}

impl TaskTrace {
    pub(super) fn placed(&mut self, at: Timestamp, message: &LogMessage) {
        let load = message.get("load").and_then(|load| load.split_once('/'));
        let number = |text: &str| text.parse().unwrap_or(0);
        *self = Self {
            worker: message.get("worker").unwrap_or_default().to_owned(),
            placed_at: Some(at),
            load: load.map_or(0, |(load, _)| number(load)),
            slots: load.map_or(0, |(_, slots)| number(slots)),
            expected_ms: millis(message, "expected").unwrap_or(0),
            report_age_ms: millis(message, "report_age").unwrap_or(0),
            ..Self::default()
        };
    }

    /// Whether its worker was believed to have a free slot.
    pub(super) fn is_believed_free(&self) -> bool {
        self.load < self.slots
    }

    /// Time from its dispatch to its start, on the clocks of two processes.
    pub(super) fn agent_wait_ms(&self) -> Option<u64> {
        millis_between(self.placed_at?, self.started_at?)
    }

    pub(super) fn run_ms(&self) -> Option<u64> {
        millis_between(self.started_at?, self.ended_at?)
    }
}

/// A job that was admitted.
#[derive(Clone, Debug)]
pub(super) struct JobTrace {
    admitted_at: Timestamp,
    /// Time of its admission, since the first job.
    pub(super) admitted_s: f64,
    entry: String,
    team: String,
    pub(super) promised_ms: Option<u64>,
    pub(super) took_ms: Option<u64>,
    pub(super) fate: Option<Fate>,
    pub(super) tasks: Vec<TaskTrace>,
}

/// Most tasks of a job whose lines are followed.
const MAX_TASKS: usize = 2_000;

impl JobTrace {
    pub(super) fn admitted(
        at: Timestamp,
        admitted_s: f64,
        entry: &str,
        message: &LogMessage,
    ) -> Self {
        let tasks = message.get("tasks").and_then(|tasks| tasks.parse().ok());
        Self {
            admitted_at: at,
            admitted_s,
            entry: entry.to_owned(),
            team: message.get("team").unwrap_or_default().to_owned(),
            promised_ms: millis(message, "promised"),
            took_ms: None,
            fate: None,
            tasks: vec![TaskTrace::default(); tasks.unwrap_or(0).min(MAX_TASKS)],
        }
    }

    pub(super) fn end(&mut self, message: &LogMessage) {
        self.took_ms = millis(message, "took");
        self.fate = Some(match (message.event.as_str(), message.get("run")) {
            ("completed", _) => Fate::Completed,
            (_, Some("not-run")) => Fate::FailedNotRun,
            _ => Fate::Failed,
        });
    }

    pub(super) fn has_failed(&self) -> bool {
        matches!(self.fate, Some(Fate::Failed | Fate::FailedNotRun))
    }

    /// Whether it was completed later than promised.
    pub(super) fn is_late(&self) -> bool {
        self.fate == Some(Fate::Completed)
            && self
                .took_ms
                .zip(self.promised_ms)
                .is_some_and(|(took, promised)| took > promised)
    }

    pub(super) fn group(&self, by: GroupBy) -> String {
        match by {
            GroupBy::All => "all".to_owned(),
            GroupBy::Team => self.team.clone(),
            GroupBy::Width => format!("{:>4}", self.tasks.len()),
            GroupBy::Entry => self.entry.clone(),
            GroupBy::Worker => {
                let last = self.tasks.iter().max_by_key(|task| task.placed_at);
                last.map_or_else(String::new, |task| task.worker.clone())
            }
        }
    }

    /// Time until its first and until its last task was dispatched for its last run.
    pub(super) fn entry_waits_ms(&self) -> Option<(u64, u64)> {
        let placed = self.tasks.iter().filter_map(|task| task.placed_at);
        let (first, last) = (placed.clone().min()?, placed.max()?);
        Some((
            millis_between(self.admitted_at, first)?,
            millis_between(self.admitted_at, last)?,
        ))
    }
}

/// A field with a time span, in milliseconds.
fn millis(message: &LogMessage, name: &str) -> Option<u64> {
    message.get(name)?.strip_suffix("ms")?.parse().ok()
}

/// Zero if the clocks of two processes make the later event the earlier one.
fn millis_between(from: Timestamp, to: Timestamp) -> Option<u64> {
    u64::try_from((to.as_millisecond() - from.as_millisecond()).max(0)).ok()
}
