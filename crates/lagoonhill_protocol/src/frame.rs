use std::net::SocketAddr;

use lagoonhill_types::prelude::*;
use serde::{Deserialize, Serialize};

use crate::{Message, SessionId, Speed};

/// Sequence number of a message in one direction of a session, from 1.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Sequence(pub u64);

impl Sequence {
    /// The next sequence number; the largest one has none.
    #[must_use]
    pub const fn next(self) -> Self {
        Self(self.0.saturating_add(1))
    }
}

/// Load of an agent: the tasks that it holds, waiting and running.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Tasks of all entries.
    pub total_tasks: u16,
    /// Tasks of the entry that receives the frame.
    pub receiver_tasks: u16,
    /// Processors used by the tasks of all entries.
    pub total_processors: MilliProcessors,
    /// Processors used by the tasks of the entry that receives the frame.
    pub receiver_processors: MilliProcessors,
    /// Running tasks that have taken far longer than expected.
    pub overdue: u16,
    /// Jobs with a failed task since the last task that did not fail.
    pub failed_jobs: u16,
    /// Measured speed of the target, over tasks of all entries.
    pub speed: Speed,
}

/// Packet of an open session: new or retransmitted messages, with an
/// acknowledgement of the other direction.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Frame {
    /// The session.
    pub session: SessionId,
    /// Address at which the sender receives packets.
    pub reply_to: SocketAddr,
    /// When the frame was sent, on the sender's clock.
    pub sent_ms: TimestampMs,
    /// The latest `sent_ms` received from the other side. Proves that the sender
    /// was alive after that time.
    pub echo_ms: TimestampMs,
    /// Sequence number of the last message received in order.
    pub ack: Sequence,
    /// Sequence number of the first of `messages`.
    pub first: Sequence,
    /// Revision of the sender's rules.
    pub rules_revision: Revision,
    /// The agent's load; zero from an entry.
    pub load: Load,
    /// Number of pings that the sender has sent without an answer, this one
    /// included; 0 if the frame is no ping. From 2 on, the receiver answers on a
    /// new connection.
    pub ping: u8,
    /// Messages, numbered consecutively.
    pub messages: Vec<Message>,
}
