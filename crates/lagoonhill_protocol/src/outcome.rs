use std::fmt;

use lagoonhill_types::prelude::*;
use serde::ser::SerializeTuple;
use serde::{Deserialize, Deserializer, Serialize, Serializer, de};

/// Why a task did not start.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize, thiserror::Error)]
pub enum NotRunReason {
    /// The agent already holds as many tasks as it may.
    #[error("the agent is full")]
    Full,
    /// The start reached the agent after its lease.
    #[error("the start's lease had expired")]
    Expired,
    /// The job was cancelled first.
    #[error("the job was cancelled")]
    Cancelled,
    /// The agent or its target is leaving.
    #[error("the worker is leaving")]
    Leaving,
    /// No target is announced.
    #[error("no target is announced")]
    NoTarget,
    /// The target refused the connection.
    #[error("the target refused the connection")]
    TargetRefused,
    /// The target says that it is unhealthy.
    #[error("the target says that it is unhealthy")]
    TargetUnhealthy,
}

/// What became of a task.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum TaskResult {
    /// It ran and answered.
    Done(Payload),
    /// It ran and failed, with the target's message.
    Failed(String),
    /// It never started and never will under this order.
    NotRun(NotRunReason),
    /// It may have started; nobody can tell what became of it.
    MayHaveRun(String),
    /// It may have started, but runs no longer and will not start under this
    /// order.
    Interrupted(String),
}

/// Reports a task's end to the entry that ordered it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Outcome {
    /// The task.
    pub task: TaskId,
    /// How long it ran on the target; zero if it did not.
    pub run_ms: DurationMs,
    /// What became of it.
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
