//! Estimate of the load that peer entries put on a target.
//!
//! Load pattern: many entries place on the same targets, and each receives a
//! target's report only when it has dispatched tasks there. A fresh report shows
//! which targets are full; a report that is a second old says almost nothing,
//! since the tasks that it counted have ended and others have started. The weight
//! of a report therefore falls with its age, and the rest of the estimate is the
//! mean of the fleet.

use lagoonhill_types::prelude::*;

use super::PERMILLE;

/// Age at which a report has half its weight: most tasks in it have ended.
const REPORT_HALF_LIFE_MS: u64 = 150;

/// Load from peer entries at a target, as a share of its capacity.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PeerLoad {
    slots_permille: u64,
    processors_permille: u64,
    /// Capacity of the target.
    slots: SlotCount,
    processors: MilliProcessors,
}

impl PeerLoad {
    /// Computes the share from used and total slots and processors.
    pub fn new(tasks: (u16, SlotCount), processors: (MilliProcessors, MilliProcessors)) -> Self {
        let permille = |part: u64, whole: u64| part * PERMILLE / whole.max(1);
        Self {
            slots_permille: permille(tasks.0.into(), tasks.1.0.into()),
            processors_permille: permille(processors.0.0.into(), processors.1.0.into()),
            slots: tasks.1,
            processors: processors.1,
        }
    }

    /// Number of slots that the share amounts to on a target, rounded up.
    pub fn slots_of(self, slots: SlotCount) -> u16 {
        let part = (u64::from(slots.0) * self.slots_permille).div_ceil(PERMILLE);
        u16::try_from(part).unwrap_or(u16::MAX)
    }

    /// Processors that the share amounts to on a target.
    pub fn processors_of(self, processors: MilliProcessors) -> MilliProcessors {
        let part = u64::from(processors.0).saturating_mul(self.processors_permille) / PERMILLE;
        MilliProcessors(u32::try_from(part).unwrap_or(u32::MAX))
    }

    fn blend(self, other: Self, weight_permille: u64) -> Self {
        let blend = |own: u64, other: u64| {
            (own * weight_permille + other * (PERMILLE - weight_permille)) / PERMILLE
        };
        Self {
            slots_permille: blend(self.slots_permille, other.slots_permille),
            processors_permille: blend(self.processors_permille, other.processors_permille),
            ..self
        }
    }
}

/// Mean load from peer entries at a service's targets, weighted by freshness and
/// capacity: a target that has shrunk below what it runs has a share far above 1.
#[derive(Clone, Copy, Debug, Default)]
pub struct MeanPeerLoad {
    slots: WeightedSum,
    processors: WeightedSum,
}

#[derive(Clone, Copy, Debug, Default)]
struct WeightedSum {
    sum: u128,
    weight: u128,
}

impl WeightedSum {
    fn add(&mut self, value: u64, weight: u64) {
        self.sum += u128::from(value) * u128::from(weight);
        self.weight += u128::from(weight);
    }

    fn mean(&self) -> u64 {
        let mean = self.sum / self.weight.max(1);
        u64::try_from(mean).unwrap_or(u64::MAX)
    }
}

impl MeanPeerLoad {
    /// Adds a report to the mean.
    pub fn add(&mut self, reported: PeerLoad, age_ms: DurationMs) {
        let freshness = freshness_permille(age_ms);
        let slots = u64::from(reported.slots.0);
        let processors = u64::from(reported.processors.0);
        self.slots.add(reported.slots_permille, freshness * slots);
        self.processors
            .add(reported.processors_permille, freshness * processors);
    }

    /// Estimate for a target, given its report and the age of that.
    pub fn estimate(&self, reported: PeerLoad, age_ms: DurationMs) -> PeerLoad {
        let mean = PeerLoad {
            slots_permille: self.slots.mean(),
            processors_permille: self.processors.mean(),
            ..reported
        };
        reported.blend(mean, freshness_permille(age_ms))
    }
}

/// Weight of a report, in thousandths.
fn freshness_permille(age_ms: DurationMs) -> u64 {
    PERMILLE * REPORT_HALF_LIFE_MS / (REPORT_HALF_LIFE_MS + age_ms.0)
}
