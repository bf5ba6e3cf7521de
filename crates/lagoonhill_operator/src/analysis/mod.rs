//! Reads the logs of a fleet and tells where time, work and promises went.

mod group;
mod job_trace;
mod report;

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::fmt;
use std::str::FromStr;

use jiff::Timestamp;

pub use group::{Distribution, GroupStats};
pub use report::AnalysisReport;

use crate::{LogLine, LogMessage};
use job_trace::{JobTrace, TaskTrace};

/// Time for which a finished job is still open for lines of other processes, which
/// may be written and collected later.
const LINGER_MS: i64 = 2_000;

/// By what jobs are grouped.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum GroupBy {
    /// All jobs together.
    #[default]
    All,
    /// The job's team, which is its queue if it has one.
    Team,
    /// Its number of tasks.
    Width,
    /// The entry that took it.
    Entry,
    /// The worker of its last task.
    Worker,
}

impl fmt::Display for GroupBy {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::All => "all",
            Self::Team => "team",
            Self::Width => "width",
            Self::Entry => "entry",
            Self::Worker => "worker",
        })
    }
}

impl FromStr for GroupBy {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let all = [
            Self::All,
            Self::Team,
            Self::Width,
            Self::Entry,
            Self::Worker,
        ];
        let found = all.into_iter().find(|by| by.to_string() == text);
        found.ok_or_else(|| {
            format!("`{text}` is not a grouping: write all, team, width, entry or worker")
        })
    }
}

/// What to analyse, and how.
#[derive(Clone, Copy, Debug)]
pub struct AnalysisOptions {
    /// By what jobs are grouped.
    pub by: GroupBy,
    /// Start of the span, in seconds since the first job.
    pub from_s: f64,
    /// End of the span, in seconds since the first job.
    pub to_s: f64,
}

impl Default for AnalysisOptions {
    fn default() -> Self {
        Self {
            by: GroupBy::All,
            from_s: 0.0,
            to_s: f64::INFINITY,
        }
    }
}

/// Jobs of one second, by the time of their admission or refusal.
#[derive(Clone, Copy, Debug, Default)]
pub struct SecondStats {
    /// Jobs taken.
    pub admitted: u64,
    /// Submissions refused.
    pub refused: u64,
    /// Jobs answered later than promised.
    pub late: u64,
    /// Jobs that failed.
    pub failed: u64,
}

/// Gathers the lines of one or more logs, in about the order of their time. Holds
/// only jobs that have not ended.
#[derive(Debug)]
pub struct LogAnalysis {
    options: AnalysisOptions,
    first_job: Option<Timestamp>,
    jobs: HashMap<String, JobTrace>,
    /// Jobs that have ended, by when they are closed.
    ended: VecDeque<(Timestamp, String)>,
    groups: BTreeMap<String, GroupStats>,
    seconds: BTreeMap<i64, SecondStats>,
    refusals: BTreeMap<String, u64>,
    turned_away: BTreeMap<String, u64>,
    /// Lines about the fleet: drains, rules, quarantines and such.
    events: Vec<(f64, String)>,
    lines: u64,
    damaged_lines: u64,
    dropped_lines: u64,
}

impl LogAnalysis {
    /// An analysis without lines.
    pub fn new(options: AnalysisOptions) -> Self {
        Self {
            options,
            first_job: None,
            jobs: HashMap::new(),
            ended: VecDeque::new(),
            groups: BTreeMap::new(),
            seconds: BTreeMap::new(),
            refusals: BTreeMap::new(),
            turned_away: BTreeMap::new(),
            events: Vec::new(),
            lines: 0,
            damaged_lines: 0,
            dropped_lines: 0,
        }
    }

    /// Counts a line that is cut, or not in the log format.
    pub fn push_damaged(&mut self) {
        self.lines += 1;
        self.damaged_lines += 1;
    }

    /// Adds a line of a log. `log` names the process if the line does not.
    pub fn push(&mut self, log: &str, line: &LogLine) {
        self.lines += 1;
        self.dropped_lines += line.dropped;
        let Some(at) = line.at.filter(|_| line.is_decision()) else {
            return;
        };
        let process = line.process.as_deref().unwrap_or(log);
        self.apply(at, process, &line.message);
        self.close_before(at);
    }

    /// Closes all jobs and returns what was found.
    pub fn finish(mut self) -> AnalysisReport {
        let open: Vec<JobTrace> = std::mem::take(&mut self.jobs).into_values().collect();
        let unfinished = open.iter().filter(|job| job.fate.is_none()).count();
        for job in open {
            self.close(&job);
        }
        AnalysisReport {
            by: self.options.by,
            groups: self.groups,
            seconds: self.seconds,
            refusals: self.refusals,
            turned_away: self.turned_away,
            events: self.events,
            lines: self.lines,
            damaged_lines: self.damaged_lines,
            dropped_lines: self.dropped_lines,
            unfinished_jobs: unfinished as u64,
        }
    }

    fn apply(&mut self, at: Timestamp, process: &str, message: &LogMessage) {
        let Some(job) = message.get("job") else {
            return self.apply_without_job(at, process, message);
        };
        match message.event.as_str() {
            "admitted" => {
                let first = *self.first_job.get_or_insert(at);
                let admitted_s = seconds_between(first, at);
                let trace = JobTrace::admitted(at, admitted_s, process, message);
                if self.is_in_span(admitted_s) {
                    self.second(admitted_s).admitted += 1;
                }
                self.jobs.insert(job.to_owned(), trace);
            }
            "placed" => {
                if let Some(task) = self.task(job, message) {
                    task.placed(at, message);
                }
            }
            "started" => {
                if let Some(task) = self.task(job, message) {
                    task.started_at = Some(at);
                }
            }
            "ended" => {
                if let Some(task) = self.task(job, message) {
                    task.ended_at = Some(at);
                }
            }
            "completed" | "failed" => {
                if let Some(trace) = self.jobs.get_mut(job) {
                    trace.end(message);
                    self.ended.push_back((at, job.to_owned()));
                }
            }
            _ => {}
        }
    }

    fn apply_without_job(&mut self, at: Timestamp, process: &str, message: &LogMessage) {
        match message.event.as_str() {
            "refused" => {
                let first = *self.first_job.get_or_insert(at);
                let refused_s = seconds_between(first, at);
                if self.is_in_span(refused_s) {
                    self.second(refused_s).refused += 1;
                    let why = without_values(message.get("why").unwrap_or_default());
                    *self.refusals.entry(why).or_default() += 1;
                    self.count_turned_away(message);
                }
            }
            "zone-drained" | "zone-restored" | "quarantined" | "recovered" | "left" => {
                let Some(first) = self.first_job else {
                    return;
                };
                let at_s = seconds_between(first, at);
                if self.is_in_span(at_s) {
                    let subject = message.get("zone").or_else(|| message.get("worker"));
                    let event = format!(
                        "{process} {} {}",
                        message.event,
                        subject.unwrap_or_default()
                    );
                    self.events.push((at_s, event));
                }
            }
            _ => {}
        }
    }

    /// Counts a refusal for lack of room, by class and organisation.
    fn count_turned_away(&mut self, message: &LogMessage) {
        if let (Some(class), Some(team)) = (message.get("class"), message.get("team")) {
            let subject = format!("class={class} team={team}");
            *self.turned_away.entry(subject).or_default() += 1;
        }
    }

    fn task(&mut self, job: &str, message: &LogMessage) -> Option<&mut TaskTrace> {
        let index: usize = message.get("task")?.parse().ok()?;
        self.jobs.get_mut(job)?.tasks.get_mut(index)
    }

    fn is_in_span(&self, at_s: f64) -> bool {
        at_s >= self.options.from_s && at_s < self.options.to_s
    }

    fn second(&mut self, at_s: f64) -> &mut SecondStats {
        #[allow(
            clippy::cast_possible_truncation,
            reason = "a log spans far fewer seconds"
        )]
        let second = at_s.floor() as i64;
        self.seconds.entry(second).or_default()
    }

    fn close_before(&mut self, now: Timestamp) {
        while let Some((at, _)) = self.ended.front() {
            if now.as_millisecond() - at.as_millisecond() < LINGER_MS {
                return;
            }
            let (_, job) = self.ended.pop_front().expect("the front was just read");
            if let Some(trace) = self.jobs.remove(&job) {
                self.close(&trace);
            }
        }
    }

    fn close(&mut self, job: &JobTrace) {
        if !self.is_in_span(job.admitted_s) {
            return;
        }
        if job.is_late() {
            self.second(job.admitted_s).late += 1;
        }
        if job.has_failed() {
            self.second(job.admitted_s).failed += 1;
        }
        let key = job.group(self.options.by);
        self.groups.entry(key).or_default().add(job);
    }
}

fn seconds_between(first: Timestamp, at: Timestamp) -> f64 {
    (at.as_microsecond() - first.as_microsecond()) as f64 / 1e6
}

/// A reason with its numbers and names left out, so that equal ones are counted
/// together.
fn without_values(why: &str) -> String {
    let mut text = String::new();
    let mut is_quoted = false;
    for character in why.chars() {
        match character {
            '`' => {
                is_quoted = !is_quoted;
                if is_quoted {
                    text.push('…');
                }
            }
            _ if is_quoted => {}
            digit if digit.is_ascii_digit() => {
                if !text.ends_with('#') {
                    text.push('#');
                }
            }
            other => text.push(other),
        }
    }
    text
}
