//! Runs on a target that executes them only under a lease: calls to the target,
//! lease renewal and interpretation of its lists of runs.

mod announcement;
mod announcement_report;
mod call;
mod candidates;
mod clock;
mod description;
mod present;
mod runs;
mod target_change;

pub use announcement::Announcement;
pub use announcement_report::{AnnouncementOutcome, AnnouncementReport};
pub use call::{
    CallId, EndKind, EndedRun, FencingToken, Refusal, RunRef, StartRequest, TargetCall,
    TargetReply, TargetTimeMs,
};
pub use clock::TargetClock;
pub use lagoonhill_protocol::TargetIncarnation;
pub use runs::{LeaseTiming, LeasedEffect, LeasedRuns};
pub use target_change::{ChangeReason, TargetChange};
