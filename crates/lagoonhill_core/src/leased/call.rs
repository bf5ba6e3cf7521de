//! The calls to a leased target and their answers.

use std::fmt;

use lagoonhill_types::prelude::*;

/// A point in time on a target's own clock.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct TargetTimeMs(pub u64);

/// Sent with each call. A target refuses calls with a lower token than the
/// highest that it has seen.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct FencingToken(pub u64);

/// Identifies a call until it has been answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallId(pub u64);

/// Identifies one run of a task towards the target.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RunRef {
    /// The task.
    pub task: TaskName,
    /// Number of the run within the task.
    pub run: RunNumber,
}

impl fmt::Display for RunRef {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}#{}", self.task, self.run)
    }
}

/// A request to start a run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StartRequest {
    /// The run to start.
    pub run: RunRef,
    /// The task's input.
    pub payload: Payload,
    /// Expiry of the lease on all runs of the target.
    pub until_ms: TargetTimeMs,
}

/// A request to a target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TargetCall {
    /// Start a run. Idempotent: has no effect on a run that exists already.
    Start(StartRequest),
    /// Stop a run. If its start arrives later, the run does not start.
    Stop(RunRef),
    /// Poll: renew the lease and list the runs.
    Poll {
        /// New expiry of the lease; absent if the lease is not renewed.
        until_ms: Option<TargetTimeMs>,
        /// Number of the last end that is acknowledged.
        observed: u64,
        /// Longest time that the answer may be delayed until a run ends.
        wait_ms: DurationMs,
    },
}

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndKind {
    /// Successfully.
    Done,
    /// Through a fault of the run or of the target.
    Failed,
    /// By a stop call.
    Stopped,
    /// By the expiry of the lease.
    Expired,
    /// Because another member of its group ended.
    Broken,
}

/// An end that a target lists.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndedRun {
    /// Number of the end, counted from 1 within one incarnation.
    pub number: u64,
    /// The run that ended.
    pub run: RunRef,
    /// How the run ended.
    pub kind: EndKind,
}

/// Why a start was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Refusal {
    /// The target has seen a higher fencing token.
    #[error("the target has seen a higher fencing token")]
    Fenced,
    /// The target has had a run of this number or a higher one.
    #[error("a run of this number or a higher one was there")]
    Stale,
    /// The lease in the request had expired.
    #[error("the lease in the order had lapsed")]
    Late,
    /// The target has no free capacity.
    #[error("the target has no room")]
    NoCapacity,
    /// The request carries no valid permit.
    #[error("the order carries no valid permit")]
    NoPermit,
}

/// The result of a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TargetReply {
    /// The run has started or was running already.
    Started(TargetTimeMs),
    /// The run was not started.
    Refused(Refusal, TargetTimeMs),
    /// The stop was accepted.
    Stopping(TargetTimeMs),
    /// Answer to a poll: the present runs and the unacknowledged ends.
    Polled {
        /// The target's clock.
        clock_ms: TargetTimeMs,
        /// Start time of the target on its wall clock, if known.
        born_ms: Option<u64>,
        /// The present runs.
        running: Vec<RunRef>,
        /// Ends not yet acknowledged, by ascending number.
        ended: Vec<EndedRun>,
        /// Whether the lists lack nothing: there are no further ends, and no row that
        /// can't be read.
        is_complete: bool,
    },
    /// The target is unhealthy and has done nothing.
    Unhealthy,
    /// The target rejected the request as malformed, with this message.
    Invalid(String),
    /// Another incarnation answered at the address.
    OtherIncarnation,
    /// No process listens at the target's address. The call was not carried out.
    NotConnected,
    /// No answer, with the reason. The call may have been carried out, or may
    /// still be.
    Unanswered(String),
}
