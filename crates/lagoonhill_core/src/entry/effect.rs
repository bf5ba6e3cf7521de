use std::net::SocketAddr;

use lagoonhill_protocol::{EntryAddress, Packet};
use lagoonhill_types::prelude::*;

use super::{Answer, CallerId, Decision, KeepOrder};

/// What the entry's daemon is to do.
#[derive(Debug)]
pub enum EntryEffect {
    /// Send a packet to an agent.
    Send {
        /// The agent's inbox.
        to: SocketAddr,
        /// What to send.
        packet: Packet,
    },
    /// Open a new connection to an agent and use it from now on.
    Redial {
        /// The agent's inbox.
        to: SocketAddr,
    },
    /// Close the connections to an agent that is gone.
    Hangup {
        /// The agent's inbox.
        to: SocketAddr,
    },
    /// Answer a caller. Each caller gets exactly one answer.
    Answer {
        /// Who asked.
        caller: CallerId,
        /// The final answer.
        answer: Answer,
    },
    /// Hand a caller's request to the entry that owns its key.
    Forward {
        /// Who asked.
        caller: CallerId,
        /// The owner.
        owner: EntryAddress,
    },
    /// Bind a caller's key to this entry in the platform's store, and report
    /// back with [`super::Entry::key_bound`].
    BindKey {
        /// The key.
        key: RequestKey,
    },
    /// Store something about a kept job, and report back with
    /// [`super::Entry::stored`].
    Keep {
        /// The caller's name of it.
        name: RequestKey,
        /// What.
        order: KeepOrder,
    },
    /// Log a decision.
    Decided(Decision),
}
