use std::fmt;

use lagoonhill_types::prelude::*;

/// A point in time on a target's own clock.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct TargetTimeMs(pub u64);

/// Orders with a lower token than the highest that a target has seen are
/// ignored by it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct FencingToken(pub u64);

/// One incarnation of a target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TargetLife {
    /// Its name.
    pub name: WorkerId,
    /// When it started, on its wall clock; 0 if it does not say.
    pub born_ms: u64,
}

impl fmt::Display for TargetLife {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}@{}", self.name, self.born_ms)
    }
}

/// Names a call until it has been answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallId(pub u64);

/// One run of a task, as the target names it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RunRef {
    /// The task.
    pub task: TaskName,
    /// Which run of it.
    pub run: RunNumber,
}

impl fmt::Display for RunRef {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}#{}", self.task, self.run)
    }
}

/// An order to start a run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RunOrder {
    /// What to run.
    pub run: RunRef,
    /// The task's input.
    pub payload: Payload,
    /// Until when everything on the target may run.
    pub until_ms: TargetTimeMs,
}

/// What a target is asked to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TargetCall {
    /// Start a run. May be repeated: a run that is there already is left alone.
    Start(RunOrder),
    /// Stop a run. One that is not there yet will not start.
    Stop(RunRef),
    /// Renew the lease and list the runs.
    Hold {
        /// Until when everything on the target may run; absent to look only.
        until_ms: Option<TargetTimeMs>,
        /// The last end that has been taken note of.
        observed: u64,
        /// How long the answer may wait for an end.
        wait_ms: DurationMs,
    },
}

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndKind {
    /// With success.
    Done,
    /// By its own or the target's fault.
    Failed,
    /// By an order.
    Stopped,
    /// The lease lapsed.
    Lapsed,
    /// With another member of its group.
    Broken,
}

/// An end that a target lists.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndedRun {
    /// Counts the ends of one incarnation, from 1.
    pub number: u64,
    /// The run.
    pub run: RunRef,
    /// How it ended.
    pub kind: EndKind,
}

/// Why a start was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Refusal {
    /// Another process ordered with a higher token.
    #[error("the target has seen a higher fencing token")]
    Fenced,
    /// A run of this number or higher was there.
    #[error("a run of this number or a higher one was there")]
    Stale,
    /// The lease in the order had lapsed.
    #[error("the lease in the order had lapsed")]
    Late,
    /// The target has no room.
    #[error("the target has no room")]
    NoRoom,
    /// The order carries no valid permit.
    #[error("the order carries no valid permit")]
    NoPermit,
}

/// What became of a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TargetReply {
    /// The run is there.
    Started(TargetTimeMs),
    /// The run was not started.
    Refused(Refusal, TargetTimeMs),
    /// The stop was taken.
    Stopping(TargetTimeMs),
    /// The lists of runs.
    Held {
        /// The target's clock.
        clock_ms: TargetTimeMs,
        /// When the target started, if it says so.
        born_ms: Option<u64>,
        /// What runs.
        running: Vec<RunRef>,
        /// Ends not yet taken note of, in order.
        ended: Vec<EndedRun>,
    },
    /// The target is unhealthy and has done nothing.
    Unhealthy,
    /// The target can't read the order; this is its message.
    Invalid(String),
    /// Another incarnation lives at the address.
    OtherLife,
    /// No answer; the call may have been or may yet be carried out.
    Unanswered(String),
}
