use std::fmt;

use lagoonhill_types::prelude::*;
use serde::ser::SerializeTuple;
use serde::{Deserialize, Deserializer, Serialize, Serializer, de};

/// Orders one run of a task.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Start {
    /// The task.
    pub task: TaskId,
    /// When placement was decided, on the entry's clock.
    pub decided_ms: TimestampMs,
    /// How long the target may take.
    pub run_limit_ms: DurationMs,
    /// How long the run is expected to take on a target of average speed.
    pub usual_ms: DurationMs,
    /// Whether that is learned from other runs, not only declared.
    pub is_learned: bool,
    /// What the run takes of the target.
    pub needs: Resources,
    /// Which run of the task this is.
    pub run: RunNumber,
    /// Whether its end must be held until it is stored.
    pub kept: bool,
    /// The task's name towards the target, if its caller has named the job.
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
            "a start: task, time, run limit, usual run time, whether that is learned, needs, run, \
             kept, name, payload",
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
