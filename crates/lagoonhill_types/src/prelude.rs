//! The types nearly every module needs: `use lagoonhill_types::prelude::*;`.

pub use crate::{
    AvailabilityZone, ByteCount, Clock, DurationMs, Incarnation, JobId, Payload, PerSecond,
    RequestKey, Revision, ServiceName, SlotCount, TaskId, TaskIndex, TeamName, Ticket, TimestampMs,
    WorkerId,
};
