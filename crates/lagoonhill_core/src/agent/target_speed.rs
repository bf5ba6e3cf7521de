//! Load pattern: many entries, each of which dispatches few of the runs on
//! a target. None of them sees enough runs to tell a slow target from a few
//! long tasks; the agent sees all runs, so it measures the speed and reports it.

use lagoonhill_protocol::Speed;
use lagoonhill_types::prelude::*;

/// Largest weight of the past, in runs.
const MAX_RUNS: u16 = 32;

/// Time without a run after which the weight of the past is halved.
const HALVING_INTERVAL_MS: DurationMs = DurationMs::from_secs(60);

/// The same for a target slower than healthy ones: it gets no work, so its
/// estimate can recover only with time.
const SLOW_HALVING_INTERVAL_MS: DurationMs = DurationMs::from_secs(5);

/// Largest slowness of a healthy target, in thousandths of the average.
const SLOW_PERMILLE: u32 = 3_000;

/// Bounds of the slowness taken from one run, in thousandths.
const MIN_RATIO_PERMILLE: u64 = 50;
const MAX_RATIO_PERMILLE: u64 = 20_000;

const PERMILLE: u64 = 1_000;

/// Speed of an agent's target, measured over the runs of all entries.
#[derive(Clone, Copy, Debug, Default)]
pub struct TargetSpeed {
    mean: Speed,
    /// When the last run ended, or the weight of the past was last halved.
    updated_ms: TimestampMs,
}

impl TargetSpeed {
    /// The speed to report to entries.
    pub fn report(&self) -> Speed {
        self.mean
    }

    /// Records a successful run and the nominal run time of its kind.
    pub fn observe(&mut self, run_ms: DurationMs, usual_ms: DurationMs, now: TimestampMs) {
        let ratio = run_ms.0.max(1) * PERMILLE / usual_ms.0.max(1);
        let ratio = ratio.clamp(MIN_RATIO_PERMILLE, MAX_RATIO_PERMILLE);
        self.mean.runs = (self.mean.runs + 1).min(MAX_RUNS);
        let runs = u64::from(self.mean.runs);
        let mean = (u64::from(self.mean.slowness_permille) * (runs - 1) + ratio) / runs;
        self.mean.slowness_permille = u32::try_from(mean).unwrap_or(u32::MAX);
        self.updated_ms = now;
    }

    /// Halves the weight of the past when no run has ended for a while.
    pub fn age(&mut self, now: TimestampMs) {
        let interval_ms = if self.mean.slowness_permille > SLOW_PERMILLE {
            SLOW_HALVING_INTERVAL_MS
        } else {
            HALVING_INTERVAL_MS
        };
        if now.since(self.updated_ms) >= interval_ms {
            self.mean.runs /= 2;
            self.updated_ms = now;
        }
    }
}
