use lagoonhill_protocol::{EntryAddress, NameLeaseId};
use lagoonhill_types::prelude::*;

/// The lease of a job on its name, at the entry that runs the job.
#[derive(Clone, Debug)]
pub struct HeldName {
    /// The lease.
    pub id: NameLeaseId,
    /// The homes that have recorded it, or may have.
    pub homes: Vec<EntryAddress>,
    /// No task of the job starts after this time unless the lease is renewed.
    pub valid_until_ms: TimestampMs,
    /// When it is to be renewed.
    pub renew_ms: TimestampMs,
}
