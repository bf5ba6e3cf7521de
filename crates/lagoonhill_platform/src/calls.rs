//! Counts of the calls to the platform's key-value service, for metrics.

use std::fmt;
use std::sync::atomic::{AtomicU64, Ordering};

/// The kinds of call that are counted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallKind {
    /// A read or list.
    Read,
    /// A transaction, which includes creating, replacing and deleting a value.
    Write,
    /// Granting, renewing or revoking a lease.
    Lease,
    /// Opening a watch; the stream that follows is part of the same call.
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

/// Calls made so far, by kind, and those of them that the platform did not answer
/// or refused as overloaded or faulty; a failed condition is not a failed call.
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

    /// Counts a failure of a call that [`CallCounts::add`] has already counted.
    pub fn add_failed(&self, kind: CallKind) {
        self.failed[kind as usize].fetch_add(1, Ordering::Relaxed);
    }

    /// Returns the number of failed calls of one kind.
    pub fn failed(&self, kind: CallKind) -> u64 {
        self.failed[kind as usize].load(Ordering::Relaxed)
    }

    /// Returns the number of calls of one kind, failed ones included.
    pub fn get(&self, kind: CallKind) -> u64 {
        self.counts[kind as usize].load(Ordering::Relaxed)
    }
}
