//! The decisions of entries and agents, as state machines without I/O.
//!
//! Nothing here reads a clock, a socket or a file. A daemon passes in events with
//! the current time and carries out the returned effects, so the same code runs
//! in daemons, property tests and benchmarks.

pub mod agent;
mod drain_sync;
pub mod entry;
pub mod leased;
mod membership;
mod rules_sync;
mod seed_search;
mod session;
mod slowness;
mod timing;

pub use drain_sync::DrainSync;
pub use membership::{Exchange, Membership};
pub use rules_sync::RulesSync;
pub use seed_search::SeedSearch;
pub use session::{FrameHeader, Heartbeat, Liveness, Session};
pub use slowness::{Slowness, estimated_slowness};
pub use timing::{Timing, on_slow_clock, overdue_after};
