//! Outcomes of tasks, as agents report them to entries.

use std::fmt;

use lagoonhill_types::prelude::*;
use serde::ser::SerializeTuple;
use serde::{Deserialize, Deserializer, Serialize, Serializer, de};

/// Why a task was not started.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize, thiserror::Error)]
pub enum NotRunReason {
    /// The agent already holds its maximum number of tasks.
    #[error("the agent is full")]
    Full,
    /// The start message reached the agent after its lease had expired.
    #[error("the start's lease had expired")]
    Expired,
    /// The job was cancelled before the task started.
    #[error("the job was cancelled")]
    Cancelled,
    /// The agent or its target is shutting down.
    #[error("the worker is leaving")]
    Leaving,
    /// No target has announced itself to the agent.
    #[error("no target is announced")]
    NoTarget,
    /// The target refused the connection.
    #[error("the target refused the connection")]
    TargetRefused,
    /// The target reported that it is unhealthy.
    #[error("the target says that it is unhealthy")]
    TargetUnhealthy,
    /// Operators drain the agent's zone. Only sent to entries that have told the
    /// agent of a drain, since earlier releases can't decode it.
    #[error("its zone is drained")]
    ZoneDrained,
}

/// How a task ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum TaskResult {
    /// It ran and succeeded, with the target's answer.
    Done(Payload),
    /// It ran and failed, with the target's message.
    Failed(String),
    /// It was not started, and will not be under this dispatch.
    NotRun(NotRunReason),
    /// It may have started, and its end is unknown.
    MayHaveRun(String),
    /// It may have started, but is no longer running and will not be started
    /// under this dispatch.
    Interrupted(String),
}

/// Report of a task's end to the entry that dispatched it. Encoded as a tuple.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Outcome {
    /// The task.
    pub task: TaskId,
    /// Run time on the target; zero if it did not run.
    pub run_ms: DurationMs,
    /// How it ended.
    pub result: TaskResult,
}

const FIELDS: usize = 3;

impl Serialize for Outcome {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let mut tuple = serializer.serialize_tuple(FIELDS)?;
        tuple.serialize_element(&self.task)?;
        tuple.serialize_element(&self.run_ms)?;
        tuple.serialize_element(&self.result)?;
        tuple.end()
    }
}

struct OutcomeVisitor;

impl<'de> de::Visitor<'de> for OutcomeVisitor {
    type Value = Outcome;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("an outcome: task, run time, result")
    }

    fn visit_seq<A: de::SeqAccess<'de>>(self, mut seq: A) -> Result<Outcome, A::Error> {
        let missing = |index| de::Error::invalid_length(index, &"an outcome of three fields");
        Ok(Outcome {
            task: seq.next_element()?.ok_or_else(|| missing(0))?,
            run_ms: seq.next_element()?.ok_or_else(|| missing(1))?,
            result: seq.next_element()?.ok_or_else(|| missing(2))?,
        })
    }
}

impl<'de> Deserialize<'de> for Outcome {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_tuple(FIELDS, OutcomeVisitor)
    }
}
