//! Reconstructs the timeline of one job from the logs of several processes.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

use jiff::Timestamp;

use crate::{LogLine, LogMessage};

/// Shortest wait between two lines of a job that the timeline reports.
const LONG_WAIT_MS: i64 = 100;

/// Fleet events up to this long before a job's first line are included, since
/// they may explain where its tasks were placed.
const CONTEXT_WINDOW_MS: i64 = 3_000;

/// Fleet events that are included if they name a worker of the job.
const FLEET_EVENTS: [&str; 4] = ["joined", "left", "quarantined", "recovered"];

/// One job's log lines in order of time, with long waits, gaps in the logs and the cause of
/// its end.
#[derive(Clone, Debug)]
pub struct JobTimeline {
    job_name: String,
    lines: Vec<TimelineItem>,
    gaps: Vec<String>,
    cause: Option<String>,
}

/// One log line of a timeline.
#[derive(Clone, Debug)]
struct TimelineItem {
    at: Timestamp,
    process: String,
    line: LogLine,
    /// Whether the line is about the job itself; otherwise it is fleet context.
    is_about_job: bool,
    /// Description of the long wait before this line, if there was one.
    wait: Option<String>,
}

/// State of a task of the job, with the name of its worker.
#[derive(Clone, Debug, PartialEq, Eq)]
enum TaskState {
    Dispatched(String),
    Running(String),
}

impl JobTimeline {
    /// Builds the timeline of a job, named by its request key or by the
    /// entry's job id. Each line comes with the name of the log it was read
    /// from, which is the process's name unless the line has its own.
    pub fn from_logs(job_name: &str, logs: &[(String, LogLine)]) -> Self {
        let jobs = job_ids(job_name, logs);
        let is_about_job = |line: &LogLine| {
            let message = &line.message;
            message.get("request") == Some(job_name)
                || message.get("job").is_some_and(|job| jobs.contains(job))
        };
        let job_lines = logs.iter().filter(|(_, line)| is_about_job(line));
        let times = job_lines.clone().filter_map(|(_, line)| line.at);
        let span = times.clone().min().zip(times.max());
        let workers: BTreeSet<&str> = job_lines
            .clone()
            .filter_map(|(_, line)| line.message.get("worker"))
            .collect();
        let writers: BTreeSet<&str> = job_lines.map(|(name, line)| writer(name, line)).collect();
        let is_context = |name: &str, line: &LogLine| {
            let Some((first, last)) = span else {
                return false;
            };
            let is_near = line
                .at
                .is_some_and(|at| at <= last && millis(at, first) <= CONTEXT_WINDOW_MS);
            let event = line.message.event.as_str();
            let is_fleet = FLEET_EVENTS.contains(&event)
                && line
                    .message
                    .get("worker")
                    .is_some_and(|worker| workers.contains(worker));
            let is_dependency =
                event.starts_with("dependency") && writers.contains(writer(name, line));
            is_near && (is_fleet || is_dependency)
        };
        let mut lines: Vec<TimelineItem> = logs
            .iter()
            .filter(|(name, line)| is_about_job(line) || is_context(name, line))
            .filter_map(|(name, line)| {
                Some(TimelineItem {
                    at: line.at?,
                    process: writer(name, line).to_owned(),
                    is_about_job: is_about_job(line),
                    line: line.clone(),
                    wait: None,
                })
            })
            .collect();
        lines.sort_by_key(|item| item.at);
        let mut timeline = Self {
            job_name: job_name.to_owned(),
            lines,
            gaps: Vec::new(),
            cause: None,
        };
        timeline.analyse();
        timeline.report_dropped_lines(logs);
        timeline
    }

    /// Whether no line is about the job.
    pub fn is_empty(&self) -> bool {
        !self.lines.iter().any(|item| item.is_about_job)
    }

    /// Why the job failed, was refused or took longer than promised, if the lines show it.
    pub fn cause(&self) -> Option<&str> {
        self.cause.as_deref()
    }

    /// Descriptions of what is missing in the logs.
    pub fn gaps(&self) -> &[String] {
        &self.gaps
    }

    /// Finds long waits, missing lines and the cause of the job's end.
    fn analyse(&mut self) {
        let mut tasks: BTreeMap<String, TaskState> = BTreeMap::new();
        let mut longest: Option<(i64, String)> = None;
        let mut previous: Option<Timestamp> = None;
        let (mut limit_ms, mut end) = (None, None);
        let mut last_failure = None;
        for item in self.lines.iter_mut().filter(|item| item.is_about_job) {
            if let Some(before) = previous {
                let waited_ms = millis(before, item.at);
                if waited_ms >= LONG_WAIT_MS {
                    let wait = format!("{waited_ms} ms: {}", outstanding(&tasks));
                    if longest.as_ref().is_none_or(|(most, _)| waited_ms > *most) {
                        longest = Some((waited_ms, wait.clone()));
                    }
                    item.wait = Some(wait);
                }
            }
            previous = Some(item.at);
            let message = &item.line.message;
            let task = message.get("task").unwrap_or_default().to_owned();
            let why = || message.get("why").unwrap_or_default().to_owned();
            match message.event.as_str() {
                "admitted" => limit_ms = message.get("promised").and_then(span_ms),
                "placed" => {
                    let worker = message.get("worker").unwrap_or_default();
                    tasks.insert(task, TaskState::Dispatched(worker.to_owned()));
                }
                "started" => {
                    tasks.insert(task, TaskState::Running(item.process.clone()));
                }
                "ended" => {
                    tasks.remove(&task);
                    if message.get("how") != Some("done") {
                        let how = message.get("how").unwrap_or_default();
                        let failure = format!("task {task} {how} at {}: {}", item.process, why());
                        last_failure = Some(failure);
                    }
                }
                "moved" | "rerun" | "unsettled" => {
                    tasks.remove(&task);
                }
                "completed" | "failed" | "refused" => end = Some((message.clone(), why())),
                _ => {}
            }
        }
        self.cause = end.as_ref().and_then(|(message, why)| {
            if message.event != "completed" {
                return Some(format!("{why}{}", weighed(message)));
            }
            let took_ms = message.get("took").and_then(span_ms)?;
            let promised_ms = limit_ms.filter(|promised| took_ms > *promised)?;
            let wait = longest.map(|(_, wait)| format!("; longest wait {wait}"));
            let failure = last_failure.map(|failure| format!("; {failure}"));
            Some(format!(
                "it took {took_ms} ms, {promised_ms} ms were promised{}{}",
                wait.unwrap_or_default(),
                failure.unwrap_or_default()
            ))
        });
        if !self.is_empty() && end.is_none() {
            self.gaps.push(format!(
                "no line tells the job's end; {}",
                outstanding(&tasks)
            ));
        }
        self.find_missing_logs();
    }

    /// Reports a missing entry log, and workers that got a task but logged nothing about the job.
    fn find_missing_logs(&mut self) {
        let job_lines = || self.lines.iter().filter(|item| item.is_about_job);
        if !self.is_empty() && !job_lines().any(|item| is_event(item, &["admitted", "refused"])) {
            let gap = "no line tells how the job was taken: an entry's log is missing";
            self.gaps.push(gap.to_owned());
        }
        let assigned: BTreeSet<&str> = job_lines()
            .filter(|item| is_event(item, &["placed"]))
            .filter_map(|item| item.line.message.get("worker"))
            .collect();
        let reporting: BTreeSet<&str> = job_lines().map(|item| item.process.as_str()).collect();
        let without_lines: Vec<&str> = assigned.difference(&reporting).copied().collect();
        if !without_lines.is_empty() {
            let gap = format!(
                "given a task, but without a line about it: {} (the order never arrived, or that log is missing)",
                without_lines.join(", ")
            );
            self.gaps.push(gap);
        }
    }

    fn report_dropped_lines(&mut self, logs: &[(String, LogLine)]) {
        let mut dropped: BTreeMap<&str, u64> = BTreeMap::new();
        for (process, line) in logs.iter().filter(|(_, line)| line.dropped > 0) {
            *dropped.entry(writer(process, line)).or_default() += line.dropped;
        }
        for (process, count) in dropped {
            self.gaps
                .push(format!("{process} dropped {count} lines of its log"));
        }
    }
}

/// Returns the name of the process that wrote a line: the line's own prefix, or
/// else the log's name.
fn writer<'a>(log: &'a str, line: &'a LogLine) -> &'a str {
    line.process.as_deref().unwrap_or(log)
}

fn is_event(item: &TimelineItem, events: &[&str]) -> bool {
    events.contains(&item.line.message.event.as_str())
}

/// Returns the entries' job ids for a request key, and the given name itself.
fn job_ids<'a>(job_name: &'a str, logs: &'a [(String, LogLine)]) -> BTreeSet<&'a str> {
    let by_request = logs
        .iter()
        .filter(|(_, line)| line.message.get("request") == Some(job_name))
        .filter_map(|(_, line)| line.message.get("job"));
    by_request.chain([job_name]).collect()
}

fn millis(from: Timestamp, until: Timestamp) -> i64 {
    until.as_millisecond() - from.as_millisecond()
}

/// Parses a duration such as `287ms` or `5s`.
fn span_ms(text: &str) -> Option<u64> {
    let span: lagoonhill_types::DurationMs = text.parse().ok()?;
    Some(span.0)
}

/// What was weighed at a refusal for lack of room; empty at other ends.
fn weighed(message: &LogMessage) -> String {
    let (Some(class), Some(work), Some(ahead), Some(left)) = (
        message.get("class"),
        message.get("work"),
        message.get("ahead"),
        message.get("left"),
    ) else {
        return String::new();
    };
    let wait = message.get("wait").unwrap_or("unknown");
    format!(
        "; class {class}, needs {work} of a processor behind {ahead} that is served first: wait {wait}, {left} left to start in time"
    )
}

fn outstanding(tasks: &BTreeMap<String, TaskState>) -> String {
    if tasks.is_empty() {
        return "no task was with a worker".to_owned();
    }
    let describe = |(task, state): (&String, &TaskState)| match state {
        TaskState::Dispatched(worker) => format!("task {task} on its way to {worker}"),
        TaskState::Running(worker) => format!("task {task} running at {worker}"),
    };
    tasks.iter().map(describe).collect::<Vec<_>>().join(", ")
}

impl fmt::Display for JobTimeline {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Some(first) = self.lines.iter().find(|item| item.is_about_job) else {
            return writeln!(f, "no line tells of `{}`", self.job_name);
        };
        for item in &self.lines {
            if let Some(wait) = &item.wait {
                writeln!(f, "              ({wait})")?;
            }
            let mark = if item.is_about_job { ' ' } else { '~' };
            let message = &item.line.message;
            write!(
                f,
                "{mark}{:>9} ms  {}  {}",
                millis(first.at, item.at),
                item.process,
                message.event
            )?;
            let is_shown = |name: &str| !matches!(name, "request" | "job");
            for (name, value) in message.fields.iter().filter(|(name, _)| is_shown(name)) {
                if value.contains(' ') {
                    write!(f, " {name}=\"{value}\"")?;
                } else {
                    write!(f, " {name}={value}")?;
                }
            }
            writeln!(f)?;
        }
        for gap in &self.gaps {
            writeln!(f, "gap: {gap}")?;
        }
        match &self.cause {
            Some(cause) => writeln!(f, "cause: {cause}"),
            None => writeln!(f, "nothing went wrong, as far as these lines tell"),
        }
    }
}
