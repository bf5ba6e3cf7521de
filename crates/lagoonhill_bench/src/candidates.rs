//! Placement policies that lost, kept so that the comparison can be run again.

use lagoonhill_core::entry::{Candidate, Placement, PlacementContext, SlotLimit};

fn with_free_capacity(candidates: &[Candidate], slot_limit: SlotLimit) -> Vec<usize> {
    (0..candidates.len())
        .filter(|index| candidates[*index].has_free_capacity(slot_limit))
        .collect()
}

/// Any worker with room.
#[derive(Debug)]
pub struct Random(pub fastrand::Rng);

impl Placement for Random {
    fn choose(&mut self, candidates: &[Candidate], context: PlacementContext) -> Option<usize> {
        let open = with_free_capacity(candidates, context.slot_limit);
        (!open.is_empty()).then(|| open[self.0.usize(..open.len())])
    }
}

/// Each worker with room in turn.
#[derive(Debug, Default)]
pub struct RoundRobin {
    turn: usize,
}

impl Placement for RoundRobin {
    fn choose(&mut self, candidates: &[Candidate], context: PlacementContext) -> Option<usize> {
        let count = candidates.len();
        let start = self.turn;
        let offset = (0..count).find(|offset| {
            candidates[(start + offset) % count].has_free_capacity(context.slot_limit)
        })?;
        self.turn = (start + offset + 1) % count;
        Some((start + offset) % count)
    }
}

/// The less loaded of two random workers with room.
#[derive(Debug)]
pub struct TwoChoices(pub fastrand::Rng);

impl Placement for TwoChoices {
    fn choose(&mut self, candidates: &[Candidate], context: PlacementContext) -> Option<usize> {
        let open = with_free_capacity(candidates, context.slot_limit);
        if open.is_empty() {
            return None;
        }
        let first = open[self.0.usize(..open.len())];
        let second = open[self.0.usize(..open.len())];
        Some(if candidates[second].load < candidates[first].load {
            second
        } else {
            first
        })
    }
}

/// The worker with the fewest tasks.
#[derive(Debug, Default)]
pub struct LeastOutstanding;

impl Placement for LeastOutstanding {
    fn choose(&mut self, candidates: &[Candidate], context: PlacementContext) -> Option<usize> {
        with_free_capacity(candidates, context.slot_limit)
            .into_iter()
            .min_by_key(|index| candidates[*index].load)
    }
}

/// The least loaded worker with room, in proportion to its slots and speed.
#[derive(Debug, Default)]
pub struct LeastWeightedLoad;

impl Placement for LeastWeightedLoad {
    fn choose(&mut self, candidates: &[Candidate], context: PlacementContext) -> Option<usize> {
        with_free_capacity(candidates, context.slot_limit)
            .into_iter()
            .min_by_key(|index| {
                let candidate = &candidates[*index];
                let load = (u64::from(candidate.load) + 1) * u64::from(candidate.slowness.permille);
                load / u64::from(candidate.slots.max(1))
            })
    }
}
