//! Drain of the agent's own zone: nothing starts there, whichever entry asks.
//!
//! Load pattern: some entries can't read the store and go on dispatching to the
//! zone. Their tasks are returned, and they learn of the drain from here.

use lagoonhill_protocol::{Message, NotRunReason, RulesUpdate};
use lagoonhill_rules::ZoneDrain;
use lagoonhill_types::prelude::*;

use super::Agent;
use crate::agent::{AgentEffect, EntryKey};

impl Agent {
    /// Whether operators drain the agent's zone.
    pub fn is_zone_drained(&self) -> bool {
        self.drains.is_drained(&self.config.zone)
    }

    /// Handles an entry's knowledge of the drain of this zone. Answers an entry
    /// that knows less.
    pub(super) fn on_zone_drain(&mut self, key: EntryKey, drain: ZoneDrain, now: TimestampMs) {
        if drain.zone != self.config.zone {
            return;
        }
        if let Some(link) = self.entries.get_mut(key) {
            link.knows_drains = true;
        }
        let known = self.drains.of(&drain.zone);
        if known.revision > drain.revision && known.is_drained != drain.is_drained {
            return self.tell_zone_drain(key);
        }
        if !self.drains.learn(drain.clone()) {
            return;
        }
        if drain.is_drained {
            self.return_all_waiting();
        }
        self.effects.push(AgentEffect::ZoneDrain { drain });
        // Entries that the store turns away learn it here.
        let others: Vec<EntryKey> = self.entries.keys().filter(|other| *other != key).collect();
        for other in others {
            self.tell_zone_drain(other);
        }
        self.start_waiting(now);
    }

    /// Tells an entry whether the zone is drained.
    pub(super) fn tell_zone_drain(&mut self, key: EntryKey) {
        let drain = self.drains.of(&self.config.zone);
        if let Some(session) = self.session_mut(key) {
            session.push(Message::Rules(RulesUpdate::of_zone_drain(&drain)));
        }
    }

    /// Reason given to an entry whose task is not started because of a drain.
    pub(super) fn drain_reason(&self, key: EntryKey) -> NotRunReason {
        if self.entries.get(key).is_some_and(|link| link.knows_drains) {
            NotRunReason::ZoneDrained
        } else {
            NotRunReason::Leaving
        }
    }

    fn return_all_waiting(&mut self) {
        for key in self.waiting.clone() {
            let reason = self.drain_reason(self.tasks[key].entry);
            self.withdraw(key, reason);
        }
    }
}
