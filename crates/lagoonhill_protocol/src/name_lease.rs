//! Leases on the names of jobs, which entries grant each other, so that no two of
//! them run a job that its caller has sent twice.

use std::fmt;

use lagoonhill_types::prelude::*;
use serde::{Deserialize, Serialize};

use crate::EntryAddress;

/// Identifies a lease among those that its holder has requested.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct NameLeaseId(pub u64);

impl fmt::Display for NameLeaseId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// Request for a lease on a job's name, or for its renewal.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NameRequest {
    /// The lease; the same in each renewal.
    pub id: NameLeaseId,
    /// The entry that runs the job.
    pub holder: EntryAddress,
    /// The entry that is to grant the lease.
    pub home: Incarnation,
    /// Name that the caller gave to the job.
    pub name: RequestKey,
    /// Duration of the lease, from the arrival of the request.
    pub lease_ms: DurationMs,
    /// Whether the answer is to be sent on a new connection.
    pub on_new_connection: bool,
}

/// Answer to a [`NameRequest`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NameReply {
    /// The requested lease.
    pub id: NameLeaseId,
    /// The entry that answers.
    pub home: Incarnation,
    /// Whether the lease is granted; otherwise another one on the name is in force.
    pub is_granted: bool,
}

/// End of a lease.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NameRelease {
    /// The lease.
    pub id: NameLeaseId,
    /// The entry that held it.
    pub holder: Incarnation,
    /// Name of the job.
    pub name: RequestKey,
    /// Time for which runs of the job may still go on.
    pub remaining_ms: DurationMs,
}
