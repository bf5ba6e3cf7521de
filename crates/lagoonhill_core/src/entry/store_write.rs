//! A request to the store about a durable job, with what identifies it.

use std::fmt;
use std::str::FromStr;

use lagoonhill_types::prelude::*;

use super::StoreRequest;

/// Identifies a request to the store within an entry.
///
/// A job that was abandoned may be this entry's again before the answer to its last
/// request arrives, so an answer is matched by this number and not by the job's name.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct StoreWriteId(pub u64);

impl fmt::Display for StoreWriteId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

impl FromStr for StoreWriteId {
    type Err = std::num::ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        text.parse().map(Self)
    }
}

/// A request to store something about a durable job.
#[derive(Clone, Debug)]
pub struct StoreWrite {
    /// Identifies the request.
    pub id: StoreWriteId,
    /// Name that the caller gave to the job.
    pub name: RequestKey,
    /// Number of owners of the job so far, including the one that asks.
    pub epoch: u32,
    /// What to store.
    pub request: StoreRequest,
}
