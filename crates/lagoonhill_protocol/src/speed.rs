use serde::{Deserialize, Serialize};

/// How long a target's runs took against what is usual of such tasks.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Speed {
    /// Mean of the run times relative to the usual, in thousandths.
    pub slowness_permille: u32,
    /// Runs that the mean is of, up to the weight of the past.
    pub runs: u16,
}
