//! Load pattern: many entries place on the same targets, and each hears of a
//! target only when it has business there. A report of a moment ago says which
//! targets are full; one of a second ago says almost nothing, since the tasks
//! that it counted have ended and others have come. So a report counts for less
//! the older it is, and the rest of the belief is the mean of the fleet.

use lagoonhill_types::prelude::*;

use super::PERMILLE;

/// Age at which a report counts half: most tasks that it counted have ended.
const REPORT_HALF_LIFE_MS: u64 = 150;

/// What other entries have at a target, as a share of it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct OthersShare {
    slots_permille: u64,
    processors_permille: u64,
}

impl OthersShare {
    /// The share that tasks and processors in use are of a target's slots and
    /// processors.
    pub fn new(tasks: (u16, SlotCount), processors: (MilliProcessors, MilliProcessors)) -> Self {
        let permille = |part: u64, whole: u64| part * PERMILLE / whole.max(1);
        Self {
            slots_permille: permille(tasks.0.into(), tasks.1.0.into()),
            processors_permille: permille(processors.0.0.into(), processors.1.0.into()),
        }
    }

    /// The slots that the share is of a target's.
    pub fn slots_of(self, slots: SlotCount) -> u16 {
        let part = (u64::from(slots.0) * self.slots_permille).div_ceil(PERMILLE);
        u16::try_from(part).unwrap_or(u16::MAX)
    }

    /// The processors that the share is of a target's.
    pub fn processors_of(self, processors: MilliProcessors) -> MilliProcessors {
        let part = u64::from(processors.0) * self.processors_permille / PERMILLE;
        MilliProcessors(u32::try_from(part).unwrap_or(u32::MAX))
    }

    fn blend(self, other: Self, weight_permille: u64) -> Self {
        let blend = |own: u64, other: u64| {
            (own * weight_permille + other * (PERMILLE - weight_permille)) / PERMILLE
        };
        Self {
            slots_permille: blend(self.slots_permille, other.slots_permille),
            processors_permille: blend(self.processors_permille, other.processors_permille),
        }
    }
}

/// The mean of what other entries have at the targets of a service, fresh
/// reports counting more than old ones.
#[derive(Clone, Copy, Debug, Default)]
pub struct OthersMean {
    slots: u64,
    processors: u64,
    weight: u64,
}

impl OthersMean {
    /// Counts a report.
    pub fn add(&mut self, reported: OthersShare, age_ms: DurationMs) {
        let weight = freshness_permille(age_ms);
        self.slots += reported.slots_permille * weight;
        self.processors += reported.processors_permille * weight;
        self.weight += weight;
    }

    /// What to believe of a target whose report has an age.
    pub fn believe(&self, reported: OthersShare, age_ms: DurationMs) -> OthersShare {
        let weight = self.weight.max(1);
        let mean = OthersShare {
            slots_permille: self.slots / weight,
            processors_permille: self.processors / weight,
        };
        reported.blend(mean, freshness_permille(age_ms))
    }
}

/// How much a report counts, in thousandths.
fn freshness_permille(age_ms: DurationMs) -> u64 {
    PERMILLE * REPORT_HALF_LIFE_MS / (REPORT_HALF_LIFE_MS + age_ms.0)
}
