//! The end of a durable job's run that its entry has not stored yet.

use std::fmt;

use lagoonhill_protocol::{SessionId, Start};
use lagoonhill_types::prelude::*;

use super::TaskKey;

/// The reported end of a durable job's run, until its entry has resolved it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UnstoredEnd {
    /// The run.
    pub key: TaskKey,
    /// The session to which it was reported.
    pub session: SessionId,
    /// Name of the task as sent to the target.
    pub name: Option<TaskName>,
    /// The task, as its entry names it.
    pub task: TaskId,
    /// Number of the run.
    pub run: RunNumber,
    /// When it was reported.
    pub reported_ms: TimestampMs,
}

impl UnstoredEnd {
    /// Creates the end of a run that is reported to `session` now.
    pub fn new(key: TaskKey, session: SessionId, start: &Start, now: TimestampMs) -> Self {
        Self {
            key,
            session,
            name: start.name.clone(),
            task: start.task,
            run: start.run,
            reported_ms: now,
        }
    }
}

/// Identifies the task by its request and job, in the format of the entry's log.
impl fmt::Display for UnstoredEnd {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if let Some(name) = &self.name {
            write!(f, "request={} ", name.job)?;
        }
        let TaskId { job, index } = self.task;
        write!(f, "job={job} task={index}")
    }
}
