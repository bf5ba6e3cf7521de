use lagoonhill_protocol::EntryAddress;
use lagoonhill_types::prelude::*;
use slotmap::new_key_type;

use crate::Session;

new_key_type! {
    /// Names an entry that an agent knows.
    pub struct EntryKey;
}

/// An agent's view of one entry incarnation.
#[derive(Debug)]
pub struct EntryLink {
    /// Where the entry is.
    pub address: EntryAddress,
    /// The open session, if any.
    pub session: Option<Session>,
    /// Names the session that is open or being asked for.
    pub session_number: u32,
    /// When the next greeting is due, while no session is open.
    pub hello_due_ms: TimestampMs,
    /// Greetings without an answer.
    pub unanswered: u32,
    /// When the entry was last heard.
    pub last_heard_ms: TimestampMs,
    /// Tasks held for the entry.
    pub held: u16,
    /// Processors that they take.
    pub held_processors: MilliProcessors,
}

impl EntryLink {
    /// A link to an entry not yet greeted.
    pub fn new(address: EntryAddress, session_number: u32, now: TimestampMs) -> Self {
        Self {
            address,
            session: None,
            session_number,
            hello_due_ms: now,
            unanswered: 0,
            last_heard_ms: now,
            held: 0,
            held_processors: MilliProcessors(0),
        }
    }

    /// Counts a task that is held for the entry.
    pub fn hold(&mut self, processors: MilliProcessors) {
        self.held += 1;
        self.held_processors.0 = self.held_processors.0.saturating_add(processors.0);
    }

    /// Counts a task that is no longer held.
    pub fn release(&mut self, processors: MilliProcessors) {
        self.held = self.held.saturating_sub(1);
        self.held_processors.0 = self.held_processors.0.saturating_sub(processors.0);
    }
}
