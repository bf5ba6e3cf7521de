//! Runs on a target that lets them go on only under a lease: what to order
//! from it, when to renew, and what its lists of runs mean.

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
