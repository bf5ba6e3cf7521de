//! The decisions of entries and agents, as state machines without I/O.
//!
//! Nothing here reads a clock, a socket or a file. A daemon passes in events with
//! the current time and carries out the returned effects, so the same code runs
//! in daemons, property tests and benchmarks.

pub mod agent;
pub mod entry;
pub mod leased;
mod membership;
mod rules_spread;
mod session;
mod slowness;
mod timing;

pub use membership::{Exchange, Membership};
pub use rules_spread::RulesSpread;
pub use session::{FrameHeader, Heartbeat, Session, Verdict};
pub use slowness::{Slowness, believed_slowness};
pub use timing::{Timing, on_slow_clock, overdue_after};
