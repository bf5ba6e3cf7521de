use std::fmt;
use std::str::FromStr;

/// A part of the protocol that earlier releases lack. Entries announce theirs to each
/// agent at the start of a session.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Feature {
    /// Reads [`Interruption::TargetLost`](crate::Interruption::TargetLost) and
    /// [`Message::TargetAnswered`](crate::Message::TargetAnswered).
    TargetLosses,
}

const TARGET_LOSSES: &str = "target-losses";

impl fmt::Display for Feature {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::TargetLosses => TARGET_LOSSES,
        })
    }
}

/// The name is not that of a feature of this release.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("`{0}` is no feature of this release: the peer may be of a later one")]
pub struct ParseFeatureError(String);

impl FromStr for Feature {
    type Err = ParseFeatureError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            TARGET_LOSSES => Ok(Self::TargetLosses),
            other => Err(ParseFeatureError(other.to_owned())),
        }
    }
}
