//! Parts of a service's workers that are set aside for some kinds of work.

use std::cmp::Reverse;
use std::collections::HashMap;

use lagoonhill_types::prelude::*;

use super::WorkKind;

/// Disjoint parts of a service's workers, each for one kind of work. The other
/// kinds share the rest.
///
/// Each kind takes the first workers in an order of its own (rendezvous hashing), so
/// that entries which know the same workers and sizes choose the same parts, and a
/// part that grows or shrinks keeps the workers that it has.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct FleetParts {
    kinds: Vec<WorkKind>,
    owners: HashMap<WorkerId, usize>,
}

impl FleetParts {
    /// Assigns parts of the given sizes; earlier kinds choose first.
    pub fn assign(sizes: &[(WorkKind, usize)], workers: &[WorkerId]) -> Self {
        let mut owners = HashMap::new();
        for (part, (kind, size)) in sizes.iter().enumerate() {
            let is_free = |worker: &&WorkerId| !owners.contains_key(*worker);
            let mut order: Vec<&WorkerId> = workers.iter().filter(is_free).collect();
            order.sort_by_cached_key(|worker| (Reverse(rank(kind, worker)), (*worker).clone()));
            order.truncate(*size);
            owners.extend(order.into_iter().map(|worker| (worker.clone(), part)));
        }
        Self {
            kinds: sizes.iter().map(|(kind, _)| kind.clone()).collect(),
            owners,
        }
    }

    /// Whether a kind of work may run on a worker.
    pub fn may_run(&self, kind: &WorkKind, worker: &WorkerId) -> bool {
        let part = self.kinds.iter().position(|other| other == kind);
        self.owners.get(worker).copied() == part
    }

    /// The kind of work for which a worker is set aside, if it is.
    pub fn owner(&self, worker: &WorkerId) -> Option<&WorkKind> {
        self.owners.get(worker).map(|part| &self.kinds[*part])
    }
}

/// Rank of a worker in the order of a kind of work. The same in all builds, which may
/// run side by side.
fn rank(kind: &WorkKind, worker: &WorkerId) -> u64 {
    const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
    const FNV_PRIME: u64 = 0x0100_0000_01b3;
    let queue = kind.queue.as_ref().map_or("", QueueName::as_str);
    let names = [kind.service.as_str(), queue, worker.as_str()];
    let bytes = names
        .iter()
        .flat_map(|name| name.bytes().chain(std::iter::once(0)));
    let hash = bytes.fold(FNV_OFFSET, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME)
    });
    // FNV leaves names that differ in their last bytes in a row.
    let mixed = (hash ^ (hash >> 33)).wrapping_mul(0xff51_afd7_ed55_8ccd);
    mixed ^ (mixed >> 33)
}
