use lagoonhill_types::prelude::*;

use super::WorkerKey;

/// A worker as placement sees it.
#[derive(Clone, Copy, Debug)]
pub struct Candidate {
    /// Which.
    pub key: WorkerKey,
    /// Its slots.
    pub slots: u16,
    /// Tasks estimated there.
    pub load: u16,
    /// Its run time relative to the average, in thousandths.
    pub slowness_permille: u32,
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

    /// Expected time until a task sent now has finished, in microseconds.
    fn expected_finish_us(&self, run_time_ms: DurationMs) -> u64 {
        let run_us = run_time_ms.0 * u64::from(self.slowness_permille);
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
}

/// Chooses the worker for the next task, or none when all are full.
pub trait Placement {
    /// Returns an index into `candidates`.
    fn choose(&mut self, candidates: &[Candidate], situation: Situation) -> Option<usize>;
}

/// The worker with room that is expected to finish the task first, learned
/// speeds included.
///
/// Expectations closer than an eighth of the run time count as equal; then the
/// emptier worker is taken, and each in turn among equals, so that several
/// entries do not all choose the same one.
#[derive(Debug, Default)]
pub struct LeastExpectedFinish {
    turn: usize,
}

/// Steps into which a run time is divided when expectations are compared.
const STEPS_PER_RUN: u64 = 8;

impl Placement for LeastExpectedFinish {
    fn choose(&mut self, candidates: &[Candidate], situation: Situation) -> Option<usize> {
        let count = candidates.len();
        let step_us = (situation.run_time_ms.0 * 1_000 / STEPS_PER_RUN).max(1);
        self.turn = self.turn.wrapping_add(1);
        let turn = self.turn;
        let order = (0..count).map(|offset| (turn.wrapping_add(offset)) % count);
        let in_time = |candidate: &Candidate| {
            let finish_us = candidate.expected_finish_us(situation.run_time_ms);
            situation
                .within_ms
                .is_none_or(|within_ms| finish_us <= within_ms.0 * 1_000)
        };
        let restricted = situation.within_ms.is_some()
            && candidates.iter().any(|candidate| {
                let empty = Candidate {
                    load: 0,
                    ..*candidate
                };
                in_time(&empty)
            });
        let open = order.filter(|index| {
            let candidate = &candidates[*index];
            candidate.has_room(situation.room) && (!restricted || in_time(candidate))
        });
        open.min_by_key(|index| {
            let candidate = &candidates[*index];
            let finish_us = candidate.expected_finish_us(situation.run_time_ms);
            (
                finish_us / step_us,
                u32::from(candidate.load) * 1_000 / u32::from(candidate.slots.max(1)),
            )
        })
    }
}
