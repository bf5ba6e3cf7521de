//! Types that nearly every module needs: `use lagoonhill_types::prelude::*;`.

pub use crate::{
    AvailabilityZone, ByteCount, Clock, DurationMs, Incarnation, JobId, Label, MilliProcessors,
    Payload, PerSecond, QueueName, Quoted, RequestKey, Resources, Revision, RunNumber, ServiceName,
    SlotCount, TaskId, TaskIndex, TaskName, TeamName, Ticket, TimestampMs, WorkerId,
};
