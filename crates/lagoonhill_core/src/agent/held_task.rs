//! A task held by an agent.

use lagoonhill_protocol::{SessionId, Start};
use lagoonhill_types::prelude::*;
use slotmap::new_key_type;

use super::EntryKey;

new_key_type! {
    /// Identifies a task held by an agent.
    pub struct TaskKey;
}

/// State of a held task.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TaskPhase {
    /// Waiting for a slot; can still be withdrawn.
    Waiting,
    /// Started on the target.
    Running {
        /// Time of the start.
        started_ms: TimestampMs,
    },
    /// Being stopped on the target.
    Stopping {
        /// Time of the start.
        started_ms: TimestampMs,
    },
}

/// A task between its arrival at the agent and its outcome.
#[derive(Debug)]
pub struct HeldTask {
    /// The entry that dispatched the task.
    pub entry: EntryKey,
    /// The session of the dispatch. The outcome is reported to that session only.
    pub session: SessionId,
    /// The start message.
    pub start: Start,
    /// When the task arrived at the agent.
    pub arrived_ms: TimestampMs,
    /// Present state of the task.
    pub phase: TaskPhase,
}
