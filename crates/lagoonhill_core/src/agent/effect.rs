use std::net::SocketAddr;

use lagoonhill_protocol::{Packet, Start, Target};

use super::TaskKey;

/// What the agent's daemon is to do.
#[derive(Debug)]
pub enum AgentEffect {
    /// Send a packet to an entry.
    Send {
        /// The entry's inbox.
        to: SocketAddr,
        /// What to send.
        packet: Packet,
    },
    /// Open a new connection to an entry and use it from now on.
    Redial {
        /// The entry's inbox.
        to: SocketAddr,
    },
    /// Close the connections to an entry that is gone.
    Hangup {
        /// The entry's inbox.
        to: SocketAddr,
    },
    /// Run a task on the target and report its end under `key`.
    Run {
        /// Names the run until it has been reported.
        key: TaskKey,
        /// The task.
        start: Start,
        /// The target.
        target: Target,
    },
    /// Stop a running task where the target can.
    Stop {
        /// The run.
        key: TaskKey,
    },
    /// The end of a run is stored; the target may forget it.
    Noted {
        /// The run.
        key: TaskKey,
    },
    /// The end of a run will never be stored: it must not count.
    Void {
        /// The run.
        key: TaskKey,
    },
    /// Everything is delivered; the process may exit.
    Drained,
}
