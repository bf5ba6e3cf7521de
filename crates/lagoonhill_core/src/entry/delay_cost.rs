//! What it costs callers when a job of their organisation waits, as an order.
//!
//! Load pattern: too little room. The same order decides which job waits, which is
//! refused on arrival, how long its caller is asked to stay away, and which waiting job
//! is given up first. The cost of waiting is a step: it rises when the promise can't be
//! kept any more, and again when the answer is of no use; in between it costs nothing.
//! Shares of classes and organisations are kept by [`super::JobQueue`]: this is the order
//! within one organisation's share.

use std::fmt;

use lagoonhill_rules::Class;
use lagoonhill_types::prelude::*;

use super::Work;

/// Tier of a waiting job; the first tier is served first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Tier {
    /// The answer is still useful.
    Useful,
    /// The job has started or is durable, but is past its usefulness limit.
    Expired,
}

/// Cost of delaying a job, as an order: the lowest is served first, the highest is
/// delayed, refused or given up first. Equal costs keep the order of arrival.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct DelayCost {
    /// Whether waiting can still cost anything.
    pub tier: Tier,
    /// Time at which waiting begins to cost: the latest start that keeps the promise, or
    /// the expected end of a job without one.
    pub rank_ms: u64,
    /// Number of the job at its entry.
    pub arrival: u64,
}

impl DelayCost {
    /// Cost of a job whose answer is still useful.
    pub const fn useful(rank_ms: u64, arrival: u64) -> Self {
        Self {
            tier: Tier::Useful,
            rank_ms,
            arrival,
        }
    }

    /// The same job once its answer is of no use, since `since_ms`.
    #[must_use]
    pub const fn expired(self, since_ms: TimestampMs) -> Self {
        Self {
            tier: Tier::Expired,
            rank_ms: since_ms.0,
            arrival: self.arrival,
        }
    }
}

/// What was weighed when a submission was refused for lack of room.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Weighed {
    /// Class that the configuration gives to the job.
    pub class: Class,
    /// Organisation of the job.
    pub team: TeamName,
    /// Work that it needs at once.
    pub work: Work,
    /// Work that would be served before it.
    pub ahead: Work,
    /// Expected time until all of that is placed; absent if nothing is placed at all.
    pub wait_ms: Option<DurationMs>,
    /// Time until its latest start that keeps the promise.
    pub left_ms: DurationMs,
}

impl fmt::Display for Weighed {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            class,
            team,
            work,
            ahead,
            wait_ms,
            left_ms,
        } = self;
        write!(
            f,
            "class={class} team={team} work={} ahead={}",
            work.processor_time(),
            ahead.processor_time()
        )?;
        if let Some(wait_ms) = wait_ms {
            write!(f, " wait={wait_ms}")?;
        }
        write!(f, " left={left_ms}")
    }
}
