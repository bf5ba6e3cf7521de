use lagoonhill_types::prelude::*;

use super::{PERMILLE, WorkerKey};
use crate::Slowness;

/// A worker as placement sees it.
#[derive(Clone, Copy, Debug)]
pub struct Candidate {
    /// Which.
    pub key: WorkerKey,
    /// Its slots.
    pub slots: u16,
    /// Tasks estimated there.
    pub load: u16,
    /// Its run time relative to the average.
    pub slowness: Slowness,
    /// Whether it is in the entry's own availability zone.
    pub is_near: bool,
    /// Quarantined and due for a probe: gets the next task, and only that.
    pub is_probe: bool,
}

impl Candidate {
    /// Whether a task sent now would be within what may be used of the worker.
    pub fn has_room(&self, room: Room) -> bool {
        match room {
            Room::LookAhead(tasks) => self.load < self.slots.saturating_add(tasks),
            Room::KeepReserve => self.load < self.slots - self.slots / RESERVE_DIVISOR,
        }
    }

    /// Share of the slots that are taken, in thousandths, less the bonus of a
    /// near worker.
    fn fullness_permille(&self) -> u32 {
        let permille = u32::from(self.load) * 1_000 / u32::from(self.slots.max(1));
        let bonus = if self.is_near { NEAR_BONUS_PERMILLE } else { 0 };
        permille + NEAR_BONUS_PERMILLE - bonus
    }

    /// Expected time until a task sent now has finished, in microseconds.
    fn expected_finish_us(&self, run_time_ms: DurationMs) -> u64 {
        let run_us = run_time_ms.0 * u64::from(self.slowness.permille);
        let ahead = u64::from((self.load + 1).saturating_sub(self.slots));
        run_us + run_us * ahead / u64::from(self.slots.max(1))
    }
}

/// The part of the slots that is kept for the most urgent class: one in eight.
const RESERVE_DIVISOR: u16 = 8;

/// How much of a worker a task may use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Room {
    /// All slots, and tasks that wait at the agent.
    LookAhead(u16),
    /// All slots but those kept for the most urgent class.
    KeepReserve,
}

/// What placement knows besides the candidates.
#[derive(Clone, Copy, Debug)]
pub struct Situation {
    /// Expected run time on a worker of average speed.
    pub run_time_ms: DurationMs,
    /// How much of a worker the task may use.
    pub room: Room,
    /// Time left in which the task must end to keep its job's promise; absent
    /// when there is none to keep.
    pub within_ms: Option<DurationMs>,
    /// How far runs of its kind are off what was expected, on average, in
    /// thousandths of what was expected.
    pub spread_permille: u64,
}

/// Chooses the worker for the next task, or none when all are full.
pub trait Placement {
    /// Returns an index into `candidates`.
    fn choose(&mut self, candidates: &[Candidate], situation: Situation) -> Option<usize>;
}

/// The emptiest of the workers that end the task safely in time, or, when there
/// is none or nothing is promised, the one that is expected to end it first.
///
/// Load pattern: many entries place at the same time, each with a belief of the
/// loads that is a moment old. The fastest workers look best to all of them; if
/// all choose these, tasks wait there beside free slower workers that would
/// have been in time. The emptiest worker is the one least likely to have
/// become full meanwhile.
///
/// A worker of the own zone counts as emptier than it is, and one at random is
/// taken among equals, so that several entries do not all choose the same one.
#[derive(Debug)]
pub struct LeastExpectedFinish {
    random: fastrand::Rng,
}

impl LeastExpectedFinish {
    /// A policy that breaks ties by a seed; each entry has its own.
    pub fn with_seed(seed: u64) -> Self {
        Self {
            random: fastrand::Rng::with_seed(seed),
        }
    }
}

/// Steps into which a run time is divided when expectations are compared.
const STEPS_PER_RUN: u64 = 8;

/// Share of its slots by which a worker of the own zone may be fuller than one
/// elsewhere and still go before it, in thousandths.
const NEAR_BONUS_PERMILLE: u32 = 400;

/// Differences of the share of slots taken below this count as none, in
/// thousandths.
const FULLNESS_STEP_PERMILLE: u32 = 50;

/// How much longer than expected a task may take and still be safely in time,
/// in thousandths of the expected time.
const SAFE_PERMILLE: u64 = 1_300;

/// What makes a worker better than another; less is better.
type Cost = (bool, u64, u64);

impl Candidate {
    /// Workers that are safely in time go first, by their fullness; others by
    /// their expected finish.
    fn cost(&self, situation: Situation) -> Cost {
        let step_us = (situation.run_time_ms.0 * 1_000 / STEPS_PER_RUN).max(1);
        let finish_us = self.expected_finish_us(situation.run_time_ms);
        let finish_steps = finish_us / step_us;
        let fullness = u64::from(self.fullness_permille() / FULLNESS_STEP_PERMILLE);
        let is_safe = situation
            .within_ms
            .is_some_and(|within_ms| finish_us * SAFE_PERMILLE / 1_000 <= within_ms.0 * 1_000);
        if is_safe {
            (false, fullness, finish_steps)
        } else {
            (true, finish_steps, fullness)
        }
    }

    /// Whether the task is expected to end in time.
    fn is_in_time(&self, situation: Situation) -> bool {
        self.is_within(situation, PERMILLE)
    }

    /// Whether the task has a fair chance to end in time.
    fn may_be_in_time(&self, situation: Situation) -> bool {
        self.is_within(situation, PERMILLE + situation.spread_permille)
    }

    /// Whether the task is expected to end within so many thousandths of the
    /// time left.
    fn is_within(&self, situation: Situation, part_permille: u64) -> bool {
        let finish_us = self.expected_finish_us(situation.run_time_ms);
        situation
            .within_ms
            .is_none_or(|within_ms| finish_us * PERMILLE <= within_ms.0 * 1_000 * part_permille)
    }
}

impl Placement for LeastExpectedFinish {
    fn choose(&mut self, candidates: &[Candidate], situation: Situation) -> Option<usize> {
        let count = candidates.len();
        if count == 0 {
            return None;
        }
        let first = self.random.usize(..count);
        let order = (0..count).map(|offset| (first + offset) % count);
        // If any could be in time when it is empty, the task waits for one that
        // has a fair chance to be.
        let is_restricted = candidates.iter().any(|candidate| {
            let empty = Candidate {
                load: 0,
                ..*candidate
            };
            empty.is_in_time(situation)
        });
        let open = order.filter(|index| {
            let candidate = &candidates[*index];
            candidate.has_room(situation.room)
                && (!is_restricted || candidate.may_be_in_time(situation))
        });
        open.min_by_key(|index| candidates[*index].cost(situation))
    }
}
