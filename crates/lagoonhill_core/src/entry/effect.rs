//! The actions that the entry's state machine requests.

use std::net::SocketAddr;

use lagoonhill_protocol::{EntryAddress, Packet};
use lagoonhill_types::prelude::*;

use super::{Answer, CallerId, Decision, StoreWrite};

/// Action that the entry asks its daemon to carry out.
#[derive(Debug)]
pub enum EntryEffect {
    /// Send a packet to an agent or another entry.
    Send {
        /// Address at which the receiver gets packets.
        to: SocketAddr,
        /// The packet.
        packet: Packet,
    },
    /// Reconnect to an agent: open a new connection and use it from now on.
    Reconnect {
        /// Address at which the agent receives packets.
        to: SocketAddr,
    },
    /// Disconnect from an agent that is gone.
    Disconnect {
        /// Address at which the agent receives packets.
        to: SocketAddr,
    },
    /// Answer a caller. Each caller gets exactly one answer.
    Answer {
        /// Caller that waits for the answer.
        caller: CallerId,
        /// The final answer.
        answer: Answer,
    },
    /// Forward a caller's request to the entry that owns its key.
    Forward {
        /// Caller whose request it is.
        caller: CallerId,
        /// Entry that owns the key.
        owner: EntryAddress,
    },
    /// Bind a caller's key to this entry in the platform's store, and report
    /// the outcome with [`super::Entry::on_key_bound`].
    BindKey {
        /// The key.
        key: RequestKey,
    },
    /// Store something about a durable job, and report the outcome with
    /// [`super::Entry::on_stored`].
    Store(StoreWrite),
    /// Log a decision.
    LogDecision(Decision),
}
