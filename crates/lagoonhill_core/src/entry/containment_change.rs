//! Changes of the kinds of work that are kept apart because workers crash.

use std::fmt;

use lagoonhill_types::prelude::*;

use super::WorkKind;

/// What became of a kind of work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ContainmentEvent {
    /// Got a part of the fleet of its own while it is found out which kind crashes workers.
    Separated,
    /// Its workers crash and those of others don't: it stays in its part.
    Contained,
    /// Its part has grown.
    Grown,
    /// Its part has shrunk.
    Shrunk,
    /// Others are to blame, or the crashes have ended before any kind was.
    Cleared,
    /// The crashes in its part have ended.
    Released,
}

impl ContainmentEvent {
    /// Name of the event in logs and metrics.
    pub fn label(self) -> &'static str {
        match self {
            Self::Separated => "separated",
            Self::Contained => "contained",
            Self::Grown => "grown",
            Self::Shrunk => "shrunk",
            Self::Cleared => "rejoined",
            Self::Released => "released",
        }
    }
}

/// A kind of work was separated, contained or released, or its part was resized.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ContainmentChange {
    /// What became of it.
    pub event: ContainmentEvent,
    /// The kind of work.
    pub kind: WorkKind,
    /// Number of workers in its part; zero if it shares the rest of the fleet.
    pub workers: usize,
    /// Number of workers of its service.
    pub fleet: usize,
    /// Crashes within `window_ms` that the change is based on.
    pub crashes: usize,
    /// Time in which these crashes occurred.
    pub window_ms: DurationMs,
}

impl fmt::Display for ContainmentChange {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            event,
            kind,
            workers,
            fleet,
            crashes,
            window_ms,
        } = self;
        write!(f, "{} service={}", event.label(), kind.service)?;
        if let Some(queue) = &kind.queue {
            write!(f, " queue={queue}")?;
        }
        write!(
            f,
            " workers={workers}/{fleet} crashes={crashes} window={window_ms}"
        )
    }
}
