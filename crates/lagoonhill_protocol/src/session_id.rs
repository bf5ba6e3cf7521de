use std::fmt;

use lagoonhill_types::prelude::*;
use serde::{Deserialize, Serialize};

/// Identifies a session between an entry and an agent.
///
/// A session outlives its connections. It ends with either incarnation, or when
/// one side declares the other lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct SessionId {
    /// The entry's incarnation.
    pub entry: Incarnation,
    /// The agent's incarnation.
    pub agent: Incarnation,
    /// Counts the sessions that this incarnation of the agent has requested.
    pub number: u32,
}

impl fmt::Display for SessionId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}:{}", self.entry, self.agent, self.number)
    }
}
