//! The actions that the agent's state machine requests.

use std::net::SocketAddr;

use lagoonhill_protocol::{Packet, Start, Target};
use lagoonhill_rules::ZoneDrain;

use super::{TaskKey, UnstoredEnd};

/// An action for the agent's daemon to carry out.
#[derive(Debug)]
pub enum AgentEffect {
    /// Send a packet to an entry.
    Send {
        /// The entry's inbox.
        to: SocketAddr,
        /// The packet.
        packet: Packet,
    },
    /// Reconnect to an entry: replace the connection by a new one.
    Reconnect {
        /// The entry's inbox.
        to: SocketAddr,
    },
    /// Disconnect from an entry that is gone.
    Disconnect {
        /// The entry's inbox.
        to: SocketAddr,
    },
    /// Run a task on the target and report its end under `key`.
    Run {
        /// Identifies the run until its end is reported.
        key: TaskKey,
        /// The task.
        start: Start,
        /// The target.
        target: Target,
    },
    /// Stop a running task, if the target supports it.
    Stop {
        /// The run.
        key: TaskKey,
    },
    /// Acknowledge the end of a run, which is stored; the target may drop it.
    EndStored {
        /// The end.
        end: UnstoredEnd,
    },
    /// Discard the end of a run, which will never be stored and must not count.
    DiscardEnd {
        /// The end.
        end: UnstoredEnd,
    },
    /// The drain of the agent's zone came into force, or ended.
    ZoneDrain {
        /// The new state.
        drain: ZoneDrain,
    },
    /// All outcomes are delivered; the process may exit.
    Drained,
}
