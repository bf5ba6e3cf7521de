//! Estimate of a target's clock.

use lagoonhill_types::prelude::*;

use super::TargetTimeMs;

/// Estimate of a target's clock, based on its last answer.
#[derive(Clone, Copy, Debug)]
pub struct TargetClock {
    shown_ms: TargetTimeMs,
    read_at_ms: TimestampMs,
}

impl TargetClock {
    /// Creates the estimate from a reading received at `now`.
    pub fn read(shown_ms: TargetTimeMs, now: TimestampMs) -> Self {
        Self {
            shown_ms,
            read_at_ms: now,
        }
    }

    /// Time since the reading `earlier_ms`, not corrected for drift.
    pub fn time_since(&self, earlier_ms: TargetTimeMs, now: TimestampMs) -> DurationMs {
        let present_ms = self.after(DurationMs::ZERO, now);
        DurationMs(present_ms.0.saturating_sub(earlier_ms.0))
    }

    /// The reading expected `wait_ms` after `now`, not corrected for drift.
    pub fn after(&self, wait_ms: DurationMs, now: TimestampMs) -> TargetTimeMs {
        let elapsed_ms = now.since(self.read_at_ms).0 + wait_ms.0;
        TargetTimeMs(self.shown_ms.0.saturating_add(elapsed_ms))
    }
}
