//! An agent's link to one entry.

use lagoonhill_protocol::EntryAddress;
use lagoonhill_types::prelude::*;
use slotmap::new_key_type;

use crate::Session;

new_key_type! {
    /// Identifies an entry known to an agent.
    pub struct EntryKey;
}

/// An agent's state for one entry incarnation.
#[derive(Debug)]
pub struct EntryLink {
    /// Address and incarnation of the entry.
    pub address: EntryAddress,
    /// The open session, if any.
    pub session: Option<Session>,
    /// Number of the session that is open or requested.
    pub session_number: u32,
    /// When the next hello is due, while no session is open.
    pub hello_due_ms: TimestampMs,
    /// Number of hellos sent since the last answer.
    pub unanswered: u32,
    /// When a packet was last received from the entry.
    pub last_received_ms: TimestampMs,
    /// Number of tasks held for the entry.
    pub held: u16,
    /// Processors that those tasks need, in thousandths.
    pub held_processors: MilliProcessors,
    /// Whether the entry has sent the drain of a zone, so that it can decode
    /// [`NotRunReason::ZoneDrained`](lagoonhill_protocol::NotRunReason).
    pub knows_drains: bool,
    /// Whether the entry has announced
    /// [`Feature::TargetLosses`](lagoonhill_protocol::Feature).
    pub reads_losses: bool,
}

impl EntryLink {
    /// Creates a link to an entry that has not been sent a hello yet.
    pub fn new(address: EntryAddress, session_number: u32, now: TimestampMs) -> Self {
        Self {
            address,
            session: None,
            session_number,
            hello_due_ms: now,
            unanswered: 0,
            last_received_ms: now,
            held: 0,
            held_processors: MilliProcessors(0),
            knows_drains: false,
            reads_losses: false,
        }
    }

    /// Counts one more task held for the entry.
    pub fn hold(&mut self, processors: MilliProcessors) {
        self.held += 1;
        self.held_processors.0 = self.held_processors.0.saturating_add(processors.0);
    }

    /// Counts one task less.
    pub fn release(&mut self, processors: MilliProcessors) {
        self.held = self.held.saturating_sub(1);
        self.held_processors.0 = self.held_processors.0.saturating_sub(processors.0);
    }
}
