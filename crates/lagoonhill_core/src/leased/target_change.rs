//! Changes of the incarnation that an agent takes for its target.

use std::fmt;

use lagoonhill_types::prelude::*;

use super::TargetIncarnation;

/// The present incarnation of a target was replaced or is gone.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TargetChange {
    /// What the change is based on.
    pub reason: ChangeReason,
    /// The incarnation that was present before.
    pub replaced: Option<TargetIncarnation>,
    /// The incarnation that is present now.
    pub present: Option<TargetIncarnation>,
    /// Time since the replaced incarnation last answered; meaningless if there was none.
    pub reply_age_ms: DurationMs,
    /// Number of runs that were reported as interrupted because of the change.
    pub interrupted: usize,
    /// Number of runs that the present incarnation has received, or may receive.
    pub kept: usize,
}

/// What a [`TargetChange`] is based on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ChangeReason {
    /// An announcement of another incarnation, confirmed by the target.
    Announced,
    /// A leave message, and the end of the lease after it.
    Left,
    /// A call that was answered by another incarnation.
    OtherAnswered,
    /// A list of runs with another birth time.
    OtherBirthTime,
}

impl ChangeReason {
    /// Label of the reason in logs and metrics.
    pub fn label(self) -> &'static str {
        match self {
            Self::Announced => "announced",
            Self::Left => "left",
            Self::OtherAnswered => "other-answered",
            Self::OtherBirthTime => "other-birth-time",
        }
    }
}

impl fmt::Display for ChangeReason {
    /// Writes why runs of the replaced incarnation are over.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Announced => "another incarnation of the target took its place",
            Self::Left => "the target has left",
            Self::OtherAnswered | Self::OtherBirthTime => {
                "another incarnation of the target answers"
            }
        })
    }
}
