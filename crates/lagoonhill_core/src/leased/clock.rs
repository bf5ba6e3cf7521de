use lagoonhill_types::prelude::*;

use super::TargetTimeMs;

/// What is known of a target's clock, from its last answer.
#[derive(Clone, Copy, Debug)]
pub struct TargetClock {
    shown_ms: TargetTimeMs,
    read_at_ms: TimestampMs,
}

impl TargetClock {
    /// A clock that has just been read.
    pub fn read(shown_ms: TargetTimeMs, now: TimestampMs) -> Self {
        Self {
            shown_ms,
            read_at_ms: now,
        }
    }

    /// What it shows a while from now, give or take its drift since the last
    /// answer.
    pub fn after(&self, wait_ms: DurationMs, now: TimestampMs) -> TargetTimeMs {
        TargetTimeMs(self.shown_ms.0 + now.since(self.read_at_ms).0 + wait_ms.0)
    }
}
