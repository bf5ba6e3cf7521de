//! Estimate of a target's speed from the runs that were seen on it.

use lagoonhill_protocol::Speed;
use lagoonhill_types::prelude::*;

/// Runs of average speed assumed in addition to those seen, so that one short
/// task doesn't make a target appear fast. Their weight falls with each run seen.
const PRIOR_RUNS: u64 = 2;

const AVERAGE_PERMILLE: u64 = 1_000;

/// Ratio of the run times on a target to the nominal run times, which are those
/// on a target of average speed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Slowness {
    /// The ratio in thousandths; 1,000 is average.
    pub permille: u32,
}

impl Slowness {
    /// The ratio of a target of average speed.
    pub const AVERAGE: Self = Self { permille: 1_000 };

    /// Converts a run time on the target to the nominal run time.
    #[must_use]
    pub fn to_usual(self, run_ms: DurationMs) -> DurationMs {
        run_ms * AVERAGE_PERMILLE / u64::from(self.permille.max(1))
    }

    /// Converts a nominal run time to the run time on the target.
    #[must_use]
    pub fn stretch(self, usual_ms: DurationMs) -> DurationMs {
        usual_ms * u64::from(self.permille) / AVERAGE_PERMILLE
    }
}

/// Bounds of the estimate, whatever speed is reported.
const MIN_PERMILLE: u64 = 50;
const MAX_PERMILLE: u64 = 20_000;

/// Estimates a target's slowness from the runs seen, however few they are.
pub fn believed_slowness(seen: Speed) -> Slowness {
    let runs = u64::from(seen.runs);
    let seen_weight = runs * runs;
    let sum = PRIOR_RUNS * AVERAGE_PERMILLE + seen_weight * u64::from(seen.slowness_permille);
    let mean = (sum / (PRIOR_RUNS + seen_weight)).clamp(MIN_PERMILLE, MAX_PERMILLE);
    Slowness {
        permille: u32::try_from(mean).unwrap_or(u32::MAX),
    }
}
