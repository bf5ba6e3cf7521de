use std::net::SocketAddr;

use lagoonhill_types::prelude::*;
use serde::{Deserialize, Serialize};

use crate::{EntryAddress, Frame, SessionId, Target};

/// An agent asks an entry for a session.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hello {
    /// The wanted session.
    pub session: SessionId,
    /// Where the agent takes packets.
    pub inbox: SocketAddr,
    /// The worker's name.
    pub worker: WorkerId,
    /// The worker's availability zone.
    pub zone: AvailabilityZone,
    /// The announced target, if any.
    pub target: Option<Target>,
    /// Whether the agent is leaving.
    pub leaving: bool,
    /// When the packet was sent, on the agent's clock.
    pub sent_ms: TimestampMs,
    /// The agent's rules.
    pub rules_revision: Revision,
}

/// An entry accepts a session.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Welcome {
    /// The accepted session.
    pub session: SessionId,
    /// When the packet was sent, on the entry's clock.
    pub sent_ms: TimestampMs,
    /// When the answered greeting was sent, on the agent's clock.
    pub echo_ms: TimestampMs,
    /// How often an idle session is to be heard of.
    pub heartbeat_ms: DurationMs,
    /// The entry's rules.
    pub rules_revision: Revision,
    /// All entries that the sender knows, itself included.
    pub entries: Vec<EntryAddress>,
}

/// An entry tells an agent that a session is over: it will never open it again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Reset {
    /// The ended session.
    pub session: SessionId,
}

/// One unit on a link.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Packet {
    /// Agent to entry.
    Hello(Hello),
    /// Entry to agent.
    Welcome(Welcome),
    /// Either way.
    Frame(Frame),
    /// Entry to agent.
    Reset(Reset),
    /// Entry to an agent that greeted an earlier incarnation.
    Entries(Vec<EntryAddress>),
}
