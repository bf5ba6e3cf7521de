use std::net::SocketAddr;

use lagoonhill_types::prelude::*;
use serde::{Deserialize, Serialize};

use crate::{Message, SessionId, Speed};

/// The number of a message within one direction of a session, from 1.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Sequence(pub u64);

impl Sequence {
    /// The number after this one.
    #[must_use]
    pub const fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

/// Tasks that an agent holds, waiting and running.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// For all entries.
    pub total: u16,
    /// For the entry that the frame goes to.
    pub yours: u16,
    /// Processors that they take, for all entries.
    pub total_processors: MilliProcessors,
    /// Processors that they take, for the entry that the frame goes to.
    pub your_processors: MilliProcessors,
    /// Running tasks that take far longer than expected.
    pub overdue: u16,
    /// Jobs of which a task has failed since the last task that did not.
    pub failed_jobs: u16,
    /// How fast the target has run tasks of all entries.
    pub speed: Speed,
}

/// One unit of a session: new or repeated messages, with an acknowledgement
/// of the other direction.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Frame {
    /// The session.
    pub session: SessionId,
    /// Where the sender takes packets.
    pub reply_to: SocketAddr,
    /// When the frame was sent, on the sender's clock.
    pub sent_ms: TimestampMs,
    /// The newest `sent_ms` received from the other side: the sender was alive
    /// after that moment.
    pub echo_ms: TimestampMs,
    /// The last message received in order.
    pub ack: Sequence,
    /// The number of the first message below.
    pub first: Sequence,
    /// The sender's rules.
    pub rules_revision: Revision,
    /// The agent's load; zero from an entry.
    pub load: Load,
    /// How often the sender has asked for an answer without getting one; 0
    /// asks for none. From 2 on, the receiver answers on a new connection.
    pub ping: u8,
    /// Messages in order.
    pub messages: Vec<Message>,
}
