//! Processor time as a quantity.

use std::iter::Sum;
use std::ops::Add;

use lagoonhill_types::prelude::*;

use super::PERMILLE;

const MS_PER_S: u64 = 1_000;

/// Processor time, in thousandths of a processor times milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Work(pub u64);

impl Work {
    /// Work of `tasks` tasks, each with the given run time and processors.
    pub fn of(tasks: usize, run_ms: DurationMs, processors: MilliProcessors) -> Self {
        let each = run_ms.0.saturating_mul(u64::from(processors.0));
        Self(each.saturating_mul(tasks as u64))
    }

    /// Work per second, if this work is done in `span_ms`.
    #[must_use]
    pub fn per_s(self, span_ms: DurationMs) -> Self {
        Self(self.0.saturating_mul(MS_PER_S) / span_ms.0.max(1))
    }

    /// Time that it takes on one processor.
    pub fn processor_time(self) -> DurationMs {
        DurationMs(self.0 / PERMILLE)
    }

    /// Time that the work takes at a rate per second; `None` if the rate is zero.
    pub fn time_at(self, per_s: Self) -> Option<DurationMs> {
        let scaled = self.0.saturating_mul(MS_PER_S);
        scaled.checked_div(per_s.0).map(DurationMs)
    }
}

impl Add for Work {
    type Output = Self;

    fn add(self, other: Self) -> Self {
        Self(self.0.saturating_add(other.0))
    }
}

impl Sum for Work {
    fn sum<I: Iterator<Item = Self>>(works: I) -> Self {
        works.fold(Self::default(), Add::add)
    }
}
