use lagoonhill_protocol::{SessionId, Start};
use lagoonhill_types::prelude::*;
use slotmap::new_key_type;

use super::EntryKey;

new_key_type! {
    /// Names a task that an agent holds.
    pub struct TaskKey;
}

/// Where a held task stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TaskPhase {
    /// Waits for a slot; can still be withdrawn.
    Waiting,
    /// Handed to the target.
    Running {
        /// When.
        started_ms: TimestampMs,
    },
    /// Handed to the target and told to stop.
    Stopping {
        /// When it was started.
        started_ms: TimestampMs,
    },
}

/// A task between its arrival at the agent and its outcome.
#[derive(Debug)]
pub struct HeldTask {
    /// The entry that ordered it.
    pub entry: EntryKey,
    /// The session it was ordered in. Outcomes go to that session only.
    pub session: SessionId,
    /// The order.
    pub start: Start,
    /// When it arrived.
    pub arrived_ms: TimestampMs,
    /// Where it stands.
    pub phase: TaskPhase,
}
