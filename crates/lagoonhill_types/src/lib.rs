//! Identifiers, units and the clock shared by every lagoonhill crate.
//!
//! Apart from reading the clock, this crate does no I/O and has no global state.
//! Each quantity has a newtype with `Display` and `FromStr`, so that its unit is
//! always explicit.

mod clock;
mod duration;
mod incarnation;
mod job_id;
mod names;
mod payload;
mod quoted;
mod resources;
mod revision;
mod run;
mod sizes;
mod task_id;
mod ticket;
mod timestamp;

pub use clock::Clock;
pub use duration::{DurationMs, ParseDurationError};
pub use incarnation::Incarnation;
pub use job_id::{JobId, ParseIdError};
pub use names::{
    AvailabilityZone, InvalidName, Label, QueueName, RequestKey, ServiceName, TeamName, WorkerId,
};
pub use payload::Payload;
pub use quoted::Quoted;
pub use resources::{MilliProcessors, Resources};
pub use revision::Revision;
pub use run::{RunNumber, TaskName};
pub use sizes::{ByteCount, ParseSizeError, PerSecond, SlotCount};
pub use task_id::{TaskId, TaskIndex};
pub use ticket::Ticket;
pub use timestamp::TimestampMs;

pub mod prelude;
