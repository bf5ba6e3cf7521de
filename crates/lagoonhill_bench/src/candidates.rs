//! Placement policies that did worse than the one in use, for repeating the
//! comparison.

use lagoonhill_core::entry::{Candidate, Placement, PlacementContext, SlotLimit};

fn with_capacity(candidates: &[Candidate], slot_limit: SlotLimit) -> Vec<usize> {
    (0..candidates.len())
        .filter(|index| candidates[*index].has_free_capacity(slot_limit))
        .collect()
}

/// A random worker with free capacity.
#[derive(Debug)]
pub struct Random(pub fastrand::Rng);

impl Placement for Random {
    fn choose(&mut self, candidates: &[Candidate], context: PlacementContext) -> Option<usize> {
        let eligible = with_capacity(candidates, context.slot_limit);
        (!eligible.is_empty()).then(|| eligible[self.0.usize(..eligible.len())])
    }
}

/// Round-robin over the workers with free capacity.
#[derive(Debug, Default)]
pub struct RoundRobin {
    next: usize,
}

impl Placement for RoundRobin {
    fn choose(&mut self, candidates: &[Candidate], context: PlacementContext) -> Option<usize> {
        let count = candidates.len();
        let start = self.next;
        let offset = (0..count).find(|offset| {
            candidates[(start + offset) % count].has_free_capacity(context.slot_limit)
        })?;
        self.next = (start + offset + 1) % count;
        Some((start + offset) % count)
    }
}

/// The less loaded of two random workers with free capacity.
#[derive(Debug)]
pub struct TwoChoices(pub fastrand::Rng);

impl Placement for TwoChoices {
    fn choose(&mut self, candidates: &[Candidate], context: PlacementContext) -> Option<usize> {
        let eligible = with_capacity(candidates, context.slot_limit);
        if eligible.is_empty() {
            return None;
        }
        let first = eligible[self.0.usize(..eligible.len())];
        let second = eligible[self.0.usize(..eligible.len())];
        Some(if candidates[second].load < candidates[first].load {
            second
        } else {
            first
        })
    }
}

/// The worker with the fewest tasks, among those with free capacity.
#[derive(Debug, Default)]
pub struct LeastOutstanding;

impl Placement for LeastOutstanding {
    fn choose(&mut self, candidates: &[Candidate], context: PlacementContext) -> Option<usize> {
        with_capacity(candidates, context.slot_limit)
            .into_iter()
            .min_by_key(|index| candidates[*index].load)
    }
}

/// The worker with free capacity that has the lowest load in proportion to its
/// slots and speed.
#[derive(Debug, Default)]
pub struct LeastWeightedLoad;

impl Placement for LeastWeightedLoad {
    fn choose(&mut self, candidates: &[Candidate], context: PlacementContext) -> Option<usize> {
        with_capacity(candidates, context.slot_limit)
            .into_iter()
            .min_by_key(|index| {
                let candidate = &candidates[*index];
                let load = (u64::from(candidate.load) + 1) * u64::from(candidate.slowness.permille);
                load / u64::from(candidate.slots.max(1))
            })
    }
}
