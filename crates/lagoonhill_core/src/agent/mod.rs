//! The agent's decisions: sessions with entries, slots, duplicates and draining.

mod effect;
mod held_task;
mod link;
mod machine;
mod target_speed;
mod unstored_end;
mod unstored_ends;

pub use effect::AgentEffect;
pub use held_task::{HeldTask, TaskKey, TaskPhase};
pub use link::{EntryKey, EntryLink};
pub use machine::{Agent, AgentConfig};
pub use target_speed::TargetSpeed;
pub use unstored_end::UnstoredEnd;
pub use unstored_ends::UnstoredEnds;
