//! Runs on a target that executes them only under a lease: calls to the target,
//! lease renewal and interpretation of its lists of runs.

mod announcement;
mod call;
mod clock;
mod runs;

pub use announcement::Announcement;
pub use call::{
    CallId, EndKind, EndedRun, FencingToken, Refusal, RunOrder, RunRef, TargetCall, TargetLife,
    TargetReply, TargetTimeMs,
};
pub use clock::TargetClock;
pub use runs::{LeaseTiming, LeasedEffect, LeasedRuns};
