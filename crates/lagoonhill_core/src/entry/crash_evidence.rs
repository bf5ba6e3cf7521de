//! What a crash of a worker shows of a run that it held.

use lagoonhill_types::prelude::*;

/// A run that was seen until the crash of its worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SeenRun {
    /// Time for which it had been at work.
    pub age_ms: DurationMs,
    /// Whether it is the likely cause: it had just started, beside no other suspect.
    pub is_cause: bool,
}

/// What a crash of a worker shows of a run that it held, from strong to weak.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CrashEvidence {
    /// The run was at work: it was seen until the crash, or had just started, and was far
    /// from its end.
    AtWork(SeenRun),
    /// The run was seen until the crash, but so near its expected end that it may have
    /// ended in the last moment: that report would be lost with the target.
    NearEnd(SeenRun),
    /// The run was not seen for some time before the crash, so it may have ended.
    MayHaveEnded,
    /// The start of the run was not confirmed, so it may not have reached its target. Or
    /// an agent of an earlier release does not tell a crash from refused connections.
    AtStart,
}

impl CrashEvidence {
    /// The run, if it was seen until the crash.
    pub fn seen_run(self) -> Option<SeenRun> {
        match self {
            Self::AtWork(run) | Self::NearEnd(run) => Some(run),
            Self::MayHaveEnded | Self::AtStart => None,
        }
    }
}
