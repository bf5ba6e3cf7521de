use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

use jiff::Timestamp;

use crate::LogLine;

/// A wait between two lines of a story that is worth a remark.
const LONG_WAIT_MS: i64 = 100;

/// What is believed of a worker this long before a job may explain where the
/// job went.
const CONTEXT_MS: i64 = 3_000;

/// Events about the fleet that belong to a story when they name its workers.
const FLEET_EVENTS: [&str; 4] = ["joined", "left", "quarantined", "recovered"];

/// One job's story from the logs of several processes.
#[derive(Clone, Debug)]
pub struct Story {
    wanted: String,
    lines: Vec<Told>,
    remarks: Vec<String>,
    cause: Option<String>,
}

/// A line of a story.
#[derive(Clone, Debug)]
struct Told {
    at: Timestamp,
    process: String,
    line: LogLine,
    /// It is about the job, and not about the fleet around it.
    is_own: bool,
    /// What was outstanding during a long wait before it.
    wait: Option<String>,
}

/// Where a task of the job stands.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Standing {
    Ordered(String),
    Runs(String),
}

impl Story {
    /// Tells the story of a job by its caller's name for it, or by the entry's
    /// own. Each line comes with the name of the process that wrote it, unless
    /// the line itself says so.
    pub fn tell(wanted: &str, logs: &[(String, LogLine)]) -> Self {
        let jobs = job_ids(wanted, logs);
        let is_own = |line: &LogLine| {
            let message = &line.message;
            message.get("request") == Some(wanted)
                || message.get("job").is_some_and(|job| jobs.contains(job))
        };
        let own = logs.iter().filter(|(_, line)| is_own(line));
        let times = own.clone().filter_map(|(_, line)| line.at);
        let span = times.clone().min().zip(times.max());
        let workers: BTreeSet<&str> = own
            .clone()
            .filter_map(|(_, line)| line.message.get("worker"))
            .collect();
        let writers: BTreeSet<&str> = own.map(|(name, line)| writer(name, line)).collect();
        let is_context = |name: &str, line: &LogLine| {
            let Some((first, last)) = span else {
                return false;
            };
            let is_near = line
                .at
                .is_some_and(|at| at <= last && millis(at, first) <= CONTEXT_MS);
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
        let mut lines: Vec<Told> = logs
            .iter()
            .filter(|(name, line)| is_own(line) || is_context(name, line))
            .filter_map(|(name, line)| {
                Some(Told {
                    at: line.at?,
                    process: writer(name, line).to_owned(),
                    is_own: is_own(line),
                    line: line.clone(),
                    wait: None,
                })
            })
            .collect();
        lines.sort_by_key(|told| told.at);
        let mut story = Self {
            wanted: wanted.to_owned(),
            lines,
            remarks: Vec::new(),
            cause: None,
        };
        story.follow();
        story.remark_losses(logs);
        story
    }

    /// Whether any line tells of the job.
    pub fn is_empty(&self) -> bool {
        !self.lines.iter().any(|told| told.is_own)
    }

    /// Why the job ended as it did, as far as the lines tell.
    pub fn cause(&self) -> Option<&str> {
        self.cause.as_deref()
    }

    /// What is missing in the logs.
    pub fn gaps(&self) -> &[String] {
        &self.remarks
    }

    /// Goes through the lines: names long waits, missing lines and the cause.
    fn follow(&mut self) {
        let mut tasks: BTreeMap<String, Standing> = BTreeMap::new();
        let mut longest: Option<(i64, String)> = None;
        let mut previous: Option<Timestamp> = None;
        let (mut admitted, mut end) = (None, None);
        let mut last_failure = None;
        for told in self.lines.iter_mut().filter(|told| told.is_own) {
            if let Some(before) = previous {
                let waited_ms = millis(before, told.at);
                if waited_ms >= LONG_WAIT_MS {
                    let wait = format!("{waited_ms} ms: {}", outstanding(&tasks));
                    if longest.as_ref().is_none_or(|(most, _)| waited_ms > *most) {
                        longest = Some((waited_ms, wait.clone()));
                    }
                    told.wait = Some(wait);
                }
            }
            previous = Some(told.at);
            let message = &told.line.message;
            let task = message.get("task").unwrap_or_default().to_owned();
            let why = || message.get("why").unwrap_or_default().to_owned();
            match message.event.as_str() {
                "admitted" => admitted = message.get("promised").and_then(span_ms),
                "placed" => {
                    let worker = message.get("worker").unwrap_or_default();
                    tasks.insert(task, Standing::Ordered(worker.to_owned()));
                }
                "started" => {
                    tasks.insert(task, Standing::Runs(told.process.clone()));
                }
                "ended" => {
                    tasks.remove(&task);
                    if message.get("how") != Some("done") {
                        let how = message.get("how").unwrap_or_default();
                        let failure = format!("task {task} {how} at {}: {}", told.process, why());
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
                return Some(why.clone());
            }
            let took_ms = message.get("took").and_then(span_ms)?;
            let promised_ms = admitted.filter(|promised| took_ms > *promised)?;
            let wait = longest.map(|(_, wait)| format!("; longest wait {wait}"));
            let failure = last_failure.map(|failure| format!("; {failure}"));
            Some(format!(
                "it took {took_ms} ms, {promised_ms} ms were promised{}{}",
                wait.unwrap_or_default(),
                failure.unwrap_or_default()
            ))
        });
        if !self.is_empty() && end.is_none() {
            self.remarks.push(format!(
                "no line tells the job's end; {}",
                outstanding(&tasks)
            ));
        }
        self.remark_silent_agents();
    }

    /// Names workers that were given a task and say nothing of the job.
    fn remark_silent_agents(&mut self) {
        let own = || self.lines.iter().filter(|told| told.is_own);
        if !self.is_empty() && !own().any(|told| is_event(told, &["admitted", "refused"])) {
            let remark = "no line tells how the job was taken: an entry's log is missing";
            self.remarks.push(remark.to_owned());
        }
        let ordered: BTreeSet<&str> = own()
            .filter(|told| is_event(told, &["placed"]))
            .filter_map(|told| told.line.message.get("worker"))
            .collect();
        let told: BTreeSet<&str> = own().map(|told| told.process.as_str()).collect();
        let silent: Vec<&str> = ordered.difference(&told).copied().collect();
        if !silent.is_empty() {
            let remark = format!(
                "given a task, but without a line about it: {} (the order never arrived, or that log is missing)",
                silent.join(", ")
            );
            self.remarks.push(remark);
        }
    }

    fn remark_losses(&mut self, logs: &[(String, LogLine)]) {
        let mut dropped: BTreeMap<&str, u64> = BTreeMap::new();
        for (process, line) in logs.iter().filter(|(_, line)| line.dropped > 0) {
            *dropped.entry(writer(process, line)).or_default() += line.dropped;
        }
        for (process, count) in dropped {
            self.remarks
                .push(format!("{process} dropped {count} lines of its log"));
        }
    }
}

/// The process that wrote a line: by the line itself, or by its log's name.
fn writer<'a>(log: &'a str, line: &'a LogLine) -> &'a str {
    line.process.as_deref().unwrap_or(log)
}

fn is_event(told: &Told, events: &[&str]) -> bool {
    events.contains(&told.line.message.event.as_str())
}

/// The entry's own names of the job.
fn job_ids<'a>(wanted: &'a str, logs: &'a [(String, LogLine)]) -> BTreeSet<&'a str> {
    let by_request = logs
        .iter()
        .filter(|(_, line)| line.message.get("request") == Some(wanted))
        .filter_map(|(_, line)| line.message.get("job"));
    by_request.chain([wanted]).collect()
}

fn millis(from: Timestamp, until: Timestamp) -> i64 {
    until.as_millisecond() - from.as_millisecond()
}

/// Reads `287ms`, `5s` and the like.
fn span_ms(text: &str) -> Option<u64> {
    let span: lagoonhill_types::DurationMs = text.parse().ok()?;
    Some(span.0)
}

fn outstanding(tasks: &BTreeMap<String, Standing>) -> String {
    if tasks.is_empty() {
        return "no task was with a worker".to_owned();
    }
    let describe = |(task, standing): (&String, &Standing)| match standing {
        Standing::Ordered(worker) => format!("task {task} on its way to {worker}"),
        Standing::Runs(worker) => format!("task {task} running at {worker}"),
    };
    tasks.iter().map(describe).collect::<Vec<_>>().join(", ")
}

impl fmt::Display for Story {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Some(first) = self.lines.iter().find(|told| told.is_own) else {
            return writeln!(f, "no line tells of `{}`", self.wanted);
        };
        for told in &self.lines {
            if let Some(wait) = &told.wait {
                writeln!(f, "              ({wait})")?;
            }
            let mark = if told.is_own { ' ' } else { '~' };
            let message = &told.line.message;
            write!(
                f,
                "{mark}{:>9} ms  {}  {}",
                millis(first.at, told.at),
                told.process,
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
        for remark in &self.remarks {
            writeln!(f, "gap: {remark}")?;
        }
        match &self.cause {
            Some(cause) => writeln!(f, "cause: {cause}"),
            None => writeln!(f, "nothing went wrong, as far as these lines tell"),
        }
    }
}
