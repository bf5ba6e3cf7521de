//! Load pattern: many entries, each of which orders a small part of the runs at
//! a target. None of them sees enough runs to tell a slow target from a few
//! long tasks; the agent sees all runs, so it learns and tells.

use lagoonhill_protocol::Speed;
use lagoonhill_types::prelude::*;

/// Runs that the past counts for at most.
const MAX_RUNS: u16 = 32;

/// Time without a run after which half of the past is forgotten.
const FORGET_HALF_MS: DurationMs = DurationMs::from_secs(60);

/// The same for a target that was slower than sound ones are: it gets no work,
/// so only time can show that it has recovered.
const FORGET_HALF_SICK_MS: DurationMs = DurationMs::from_secs(5);

/// Sound targets are at most this much slower than the average, in thousandths.
const SICK_PERMILLE: u32 = 3_000;

/// Bounds of what one run may say, in thousandths.
const MIN_RATIO_PERMILLE: u64 = 50;
const MAX_RATIO_PERMILLE: u64 = 20_000;

const PERMILLE: u64 = 1_000;

/// How fast an agent's target runs tasks, learned from the runs of all entries.
#[derive(Clone, Copy, Debug, Default)]
pub struct TargetSpeed {
    mean: Speed,
    /// When the last run ended, or the past was last halved.
    touched_ms: TimestampMs,
}

impl TargetSpeed {
    /// What entries are told.
    pub fn report(&self) -> Speed {
        self.mean
    }

    /// Learns from a run that ended well and the run time that is usual of its
    /// kind.
    pub fn observe(&mut self, run_ms: DurationMs, usual_ms: DurationMs, now: TimestampMs) {
        let ratio = run_ms.0.max(1) * PERMILLE / usual_ms.0.max(1);
        let ratio = ratio.clamp(MIN_RATIO_PERMILLE, MAX_RATIO_PERMILLE);
        self.mean.runs = (self.mean.runs + 1).min(MAX_RUNS);
        let runs = u64::from(self.mean.runs);
        let mean = (u64::from(self.mean.slowness_permille) * (runs - 1) + ratio) / runs;
        self.mean.slowness_permille = u32::try_from(mean).unwrap_or(u32::MAX);
        self.touched_ms = now;
    }

    /// Forgets half of the past when no run has ended for a while.
    pub fn age(&mut self, now: TimestampMs) {
        let half_ms = if self.mean.slowness_permille > SICK_PERMILLE {
            FORGET_HALF_SICK_MS
        } else {
            FORGET_HALF_MS
        };
        if now.since(self.touched_ms) >= half_ms {
            self.mean.runs /= 2;
            self.touched_ms = now;
        }
    }
}
