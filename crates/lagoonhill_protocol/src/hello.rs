use std::net::SocketAddr;

use lagoonhill_types::prelude::*;
use serde::{Deserialize, Serialize};

use crate::{EntryAddress, Frame, NameRelease, NameReply, NameRequest, SessionId, Target};

/// Request of an agent to open a session with an entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hello {
    /// The session to open.
    pub session: SessionId,
    /// Address at which the agent receives packets.
    pub inbox: SocketAddr,
    /// The worker's name.
    pub worker: WorkerId,
    /// The worker's availability zone.
    pub zone: AvailabilityZone,
    /// The target that has announced itself to the agent, if any.
    pub target: Option<Target>,
    /// Whether the agent is shutting down and takes no new work.
    pub leaving: bool,
    /// When the packet was sent, on the agent's clock.
    pub sent_ms: TimestampMs,
    /// Revision of the agent's rules.
    pub rules_revision: Revision,
}

/// Answer of an entry that has accepted a session.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Welcome {
    /// The accepted session.
    pub session: SessionId,
    /// When the packet was sent, on the entry's clock.
    pub sent_ms: TimestampMs,
    /// `sent_ms` of the hello that is answered, on the agent's clock.
    pub echo_ms: TimestampMs,
    /// Interval between heartbeats on an idle session.
    pub heartbeat_ms: DurationMs,
    /// Revision of the entry's rules.
    pub rules_revision: Revision,
    /// All entries that the sender knows, including itself.
    pub entries: Vec<EntryAddress>,
}

/// Notification of an entry that a session has ended and will never be reopened.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Reset {
    /// The ended session.
    pub session: SessionId,
}

/// One packet on a link between an entry and an agent, or between two entries.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Packet {
    /// Agent to entry: open a session.
    Hello(Hello),
    /// Entry to agent: the session is open.
    Welcome(Welcome),
    /// Both directions: messages and heartbeats of a session.
    Frame(Frame),
    /// Entry to agent: the session has ended.
    Reset(Reset),
    /// Entry to agent: the current entries, in answer to a hello for an earlier
    /// incarnation.
    Entries(Vec<EntryAddress>),
    /// Entry to entry: a lease on the name of a job is requested. Earlier releases
    /// close the connection that it comes on.
    NameRequest(NameRequest),
    /// Entry to entry: answer to a request for a lease.
    NameReply(NameReply),
    /// Entry to entry: a lease has ended.
    NameRelease(NameRelease),
}
