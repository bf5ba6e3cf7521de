use std::fmt;
use std::sync::atomic::{AtomicU64, Ordering};

/// The kinds of call that the platform counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallKind {
    /// A read or list.
    Read,
    /// A create, swap or delete.
    Write,
    /// A lease granted, kept or ended.
    Lease,
    /// A watch opened; it counts as one call while it waits.
    Watch,
}

impl CallKind {
    /// All kinds.
    pub const ALL: [Self; 4] = [Self::Read, Self::Write, Self::Lease, Self::Watch];
}

impl fmt::Display for CallKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Read => "read",
            Self::Write => "write",
            Self::Lease => "lease",
            Self::Watch => "watch",
        })
    }
}

/// Calls made so far, by kind, and those that the platform did not answer or
/// refused for a reason of its own.
#[derive(Debug, Default)]
pub struct CallCounts {
    counts: [AtomicU64; 4],
    failed: [AtomicU64; 4],
}

impl CallCounts {
    /// Counts one call.
    pub fn add(&self, kind: CallKind) {
        self.counts[kind as usize].fetch_add(1, Ordering::Relaxed);
    }

    /// Counts one call that failed; it was counted as a call before.
    pub fn add_failed(&self, kind: CallKind) {
        self.failed[kind as usize].fetch_add(1, Ordering::Relaxed);
    }

    /// The calls of one kind that failed.
    pub fn failed(&self, kind: CallKind) -> u64 {
        self.failed[kind as usize].load(Ordering::Relaxed)
    }

    /// The calls of one kind.
    pub fn get(&self, kind: CallKind) -> u64 {
        self.counts[kind as usize].load(Ordering::Relaxed)
    }
}
