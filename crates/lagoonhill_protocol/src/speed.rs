use serde::{Deserialize, Serialize};

/// Measured speed of a target, as run times relative to the nominal run time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Speed {
    /// Mean ratio of run time to nominal run time, in thousandths.
    pub slowness_permille: u32,
    /// Number of runs in the mean, capped at the maximum weight of past runs.
    pub runs: u16,
}
