//! The message that dispatches a task to an agent.

use std::fmt;

use lagoonhill_types::prelude::*;
use serde::ser::SerializeTuple;
use serde::{Deserialize, Deserializer, Serialize, Serializer, de};

/// Dispatches one run of a task. Encoded as a tuple.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Start {
    /// The task.
    pub task: TaskId,
    /// When the placement was decided, on the entry's clock.
    pub decided_ms: TimestampMs,
    /// Longest run time allowed on the target.
    pub run_limit_ms: DurationMs,
    /// Nominal run time: expected on a target of average speed.
    pub usual_ms: DurationMs,
    /// Whether `usual_ms` was learned from earlier runs rather than declared.
    pub is_learned: bool,
    /// Resources that the run needs on the target.
    pub needs: Resources,
    /// Number of this run of the task.
    pub run: RunNumber,
    /// Whether the job is durable, so that the agent holds the end of the run
    /// until it is stored.
    pub kept: bool,
    /// Name of the task for the target, if the caller has named the job.
    pub name: Option<TaskName>,
    /// The task's input.
    pub payload: Payload,
}

const FIELDS: usize = 10;

impl Serialize for Start {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let mut tuple = serializer.serialize_tuple(FIELDS)?;
        tuple.serialize_element(&self.task)?;
        tuple.serialize_element(&self.decided_ms)?;
        tuple.serialize_element(&self.run_limit_ms)?;
        tuple.serialize_element(&self.usual_ms)?;
        tuple.serialize_element(&self.is_learned)?;
        tuple.serialize_element(&self.needs)?;
        tuple.serialize_element(&self.run)?;
        tuple.serialize_element(&self.kept)?;
        tuple.serialize_element(&self.name)?;
        tuple.serialize_element(&self.payload)?;
        tuple.end()
    }
}

struct StartVisitor;

impl<'de> de::Visitor<'de> for StartVisitor {
    type Value = Start;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(
            "a start: task, time, run limit, nominal run time, whether that is learned, needs, \
             run, durable, name, payload",
        )
    }

    fn visit_seq<A: de::SeqAccess<'de>>(self, mut seq: A) -> Result<Start, A::Error> {
        let missing = |index| de::Error::invalid_length(index, &"a start of ten fields");
        Ok(Start {
            task: seq.next_element()?.ok_or_else(|| missing(0))?,
            decided_ms: seq.next_element()?.ok_or_else(|| missing(1))?,
            run_limit_ms: seq.next_element()?.ok_or_else(|| missing(2))?,
            usual_ms: seq.next_element()?.ok_or_else(|| missing(3))?,
            is_learned: seq.next_element()?.ok_or_else(|| missing(4))?,
            needs: seq.next_element()?.ok_or_else(|| missing(5))?,
            run: seq.next_element()?.ok_or_else(|| missing(6))?,
            kept: seq.next_element()?.ok_or_else(|| missing(7))?,
            name: seq.next_element()?.ok_or_else(|| missing(8))?,
            payload: seq.next_element()?.ok_or_else(|| missing(9))?,
        })
    }
}

impl<'de> Deserialize<'de> for Start {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_tuple(FIELDS, StartVisitor)
    }
}
