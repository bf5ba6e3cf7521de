//! Policy that chooses the worker for a task.

use lagoonhill_types::prelude::*;

use super::{PERMILLE, WorkerKey};
use crate::Slowness;

/// A worker to which a task may be dispatched.
#[derive(Clone, Copy, Debug)]
pub struct Candidate {
    /// Key of the worker.
    pub key: WorkerKey,
    /// Number of tasks that it can run at the same time.
    pub slots: u16,
    /// Estimated number of tasks at the worker.
    pub load: u16,
    /// Run time relative to the average.
    pub slowness: Slowness,
    /// Whether it is in the entry's own availability zone.
    pub is_same_zone: bool,
    /// Whether it is quarantined and due for a probe: it gets the next task only.
    pub is_probe: bool,
}

impl Candidate {
    /// Whether the worker has free capacity for one more task within `slot_limit`.
    pub fn has_free_capacity(&self, slot_limit: SlotLimit) -> bool {
        match slot_limit {
            SlotLimit::LookAhead(tasks) => self.load < self.slots.saturating_add(tasks),
            SlotLimit::ExceptReserve => self.load < self.slots - self.slots / RESERVE_DIVISOR,
        }
    }

    /// Share of the slots that are taken, in thousandths, less the bonus of a
    /// worker in the entry's own availability zone.
    fn fullness_permille(&self) -> u32 {
        let permille = u32::from(self.load) * 1_000 / u32::from(self.slots.max(1));
        let bonus = if self.is_same_zone {
            SAME_ZONE_BONUS_PERMILLE
        } else {
            0
        };
        permille + SAME_ZONE_BONUS_PERMILLE - bonus
    }

    /// Expected time until a task sent now has finished, in microseconds.
    fn expected_finish_us(&self, run_time_ms: DurationMs) -> u64 {
        let run_us = run_time_ms.0 * u64::from(self.slowness.permille);
        let ahead = u64::from((self.load + 1).saturating_sub(self.slots));
        run_us + run_us * ahead / u64::from(self.slots.max(1))
    }
}

/// Divisor of the slots for the part reserved for the most urgent class: one in eight.
const RESERVE_DIVISOR: u16 = 8;

/// Part of a worker's slots that a task may use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SlotLimit {
    /// All slots, and this many tasks that wait at the agent.
    LookAhead(u16),
    /// All slots but those reserved for the most urgent class.
    ExceptReserve,
}

/// Properties of the task to be placed.
#[derive(Clone, Copy, Debug)]
pub struct PlacementContext {
    /// Expected run time on a worker of average speed.
    pub run_time_ms: DurationMs,
    /// Part of a worker's slots that the task may use.
    pub slot_limit: SlotLimit,
    /// Time left to end within the job's promise; absent without a promise.
    pub time_left_ms: Option<DurationMs>,
    /// Mean deviation of run times of its kind from the expected ones, in
    /// thousandths of the expected ones.
    pub deviation_permille: u64,
}

/// Policy that chooses the worker for the next task.
pub trait Placement {
    /// Returns an index into `candidates`, or `None` if no candidate may get the task.
    fn choose(&mut self, candidates: &[Candidate], context: PlacementContext) -> Option<usize>;
}

/// Chooses the emptiest of the workers that end the task safely in time, or, if
/// there is none or nothing is promised, the one that is expected to end it first.
///
/// Load pattern: many entries place at the same time, each with slightly outdated
/// estimates of the loads. All of them would prefer the fastest workers; if all
/// chose these, tasks would wait there while slower workers that would have been
/// in time are free. The emptiest worker is the least likely to have become full
/// meanwhile.
///
/// A worker in the entry's own zone counts as emptier than it is. Ties are broken
/// at random, so that several entries do not all choose the same worker.
#[derive(Debug)]
pub struct LeastExpectedFinish {
    random: fastrand::Rng,
}

impl LeastExpectedFinish {
    /// Creates a policy that breaks ties by a seed, which differs between entries.
    pub fn with_seed(seed: u64) -> Self {
        Self {
            random: fastrand::Rng::with_seed(seed),
        }
    }
}

/// Parts of a run time to which expected finishes are rounded for comparison.
const STEPS_PER_RUN: u64 = 8;

/// Share of its slots by which a worker in the own zone may be fuller than one in
/// another zone and still be preferred, in thousandths.
const SAME_ZONE_BONUS_PERMILLE: u32 = 400;

/// Differences of the share of taken slots below this are ignored, in thousandths.
const FULLNESS_STEP_PERMILLE: u32 = 50;

/// Multiple of the expected time that must fit into the time left for a task to be
/// safely in time, in thousandths.
const SAFE_PERMILLE: u64 = 1_300;

/// Cost by which workers are compared; the lowest is chosen.
type Cost = (bool, u64, u64);

impl Candidate {
    /// Workers that are safely in time come first, ordered by their fullness; the
    /// others are ordered by their expected finish.
    fn cost(&self, context: PlacementContext) -> Cost {
        let step_us = (context.run_time_ms.0 * 1_000 / STEPS_PER_RUN).max(1);
        let finish_us = self.expected_finish_us(context.run_time_ms);
        let finish_steps = finish_us / step_us;
        let fullness = u64::from(self.fullness_permille() / FULLNESS_STEP_PERMILLE);
        let is_safe = context.time_left_ms.is_some_and(|time_left_ms| {
            finish_us * SAFE_PERMILLE / 1_000 <= time_left_ms.0 * 1_000
        });
        if is_safe {
            (false, fullness, finish_steps)
        } else {
            (true, finish_steps, fullness)
        }
    }

    /// Whether the task is expected to end in time.
    fn is_in_time(&self, context: PlacementContext) -> bool {
        self.is_within(context, PERMILLE)
    }

    /// Whether the task is likely enough to end in time: its expected finish exceeds
    /// the time left by no more than the mean deviation of its kind.
    fn is_likely_in_time(&self, context: PlacementContext) -> bool {
        self.is_within(context, PERMILLE + context.deviation_permille)
    }

    /// Whether the task should end within so many thousandths of the time left.
    fn is_within(&self, context: PlacementContext, part_permille: u64) -> bool {
        let finish_us = self.expected_finish_us(context.run_time_ms);
        context.time_left_ms.is_none_or(|time_left_ms| {
            finish_us * PERMILLE <= time_left_ms.0 * 1_000 * part_permille
        })
    }
}

impl Placement for LeastExpectedFinish {
    fn choose(&mut self, candidates: &[Candidate], context: PlacementContext) -> Option<usize> {
        let count = candidates.len();
        if count == 0 {
            return None;
        }
        let first = self.random.usize(..count);
        let order = (0..count).map(|offset| (first + offset) % count);
        // If any worker would be in time when empty, the task waits for one that
        // is likely to be in time.
        let is_restricted = candidates.iter().any(|candidate| {
            let empty = Candidate {
                load: 0,
                ..*candidate
            };
            empty.is_in_time(context)
        });
        let eligible = order.filter(|index| {
            let candidate = &candidates[*index];
            candidate.has_free_capacity(context.slot_limit)
                && (!is_restricted || candidate.is_likely_in_time(context))
        });
        eligible.min_by_key(|index| candidates[*index].cost(context))
    }
}
