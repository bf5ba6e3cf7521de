//! The agent's decisions: sessions with entries, slots, duplicates, draining.

mod effect;
mod held_task;
mod link;
mod machine;

pub use effect::AgentEffect;
pub use held_task::{HeldTask, TaskKey, TaskPhase};
pub use link::{EntryKey, EntryLink};
pub use machine::{Agent, AgentConfig};
