use std::fmt;

use lagoonhill_types::prelude::*;
use serde::{Deserialize, Serialize};

/// Names one session between an entry and an agent.
///
/// A session survives its connections; it ends with either incarnation, or
/// when one side gives up on the other.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct SessionId {
    /// The entry's incarnation.
    pub entry: Incarnation,
    /// The agent's incarnation.
    pub agent: Incarnation,
    /// Counts the sessions that this incarnation of the agent has asked for.
    pub number: u32,
}

impl fmt::Display for SessionId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}:{}", self.entry, self.agent, self.number)
    }
}
