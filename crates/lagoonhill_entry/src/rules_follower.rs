//! What an entry makes of the rules and drains that it reads in the store.

use lagoonhill_core::entry::DrainSource;
use lagoonhill_platform::{Listing, StoreRevision, Versioned, WatchEvent};
use log::warn;

use crate::control::ControlEvent;
use crate::drain_keys::DrainKeys;
use crate::handle::ControlHandle;
use crate::rules_watch::RulesSource;

/// Passes the rules and drained zones that the store holds to the control thread.
pub(crate) struct Follower {
    source: RulesSource,
    control: ControlHandle,
    rules_revision: StoreRevision,
    drain_keys: Option<DrainKeys>,
}

impl Follower {
    /// A follower that has passed on nothing yet.
    pub(crate) fn new(source: RulesSource, control: ControlHandle) -> Self {
        Self {
            drain_keys: source.drains_prefix.map(DrainKeys::new),
            source,
            control,
            rules_revision: StoreRevision::ABSENT,
        }
    }

    /// Takes over all that a listing contains; returns whether that was news.
    pub(crate) fn replace(&mut self, listing: &Listing) -> bool {
        let mut has_changed = false;
        if let Some(keys) = &mut self.drain_keys {
            has_changed = keys.replace(listing);
            // First the drains: with its first rules an entry begins to place tasks.
            self.send_drains();
        }
        let rules = listing.values.iter().find(|it| it.key == self.source.key);
        if let Some(rules) = rules.filter(|rules| rules.revision > self.rules_revision) {
            has_changed = true;
            self.install(rules);
        }
        has_changed
    }

    /// Takes over one change.
    pub(crate) fn apply(&mut self, event: &WatchEvent) {
        match event {
            WatchEvent::Put(found) if found.key == self.source.key => self.install(found),
            WatchEvent::Deleted { key, .. } if *key == self.source.key => {
                warn!("the rules were deleted from the platform; keeping the rules in force");
            }
            // The prefix may cover other keys, too.
            event => {
                let keys = self.drain_keys.as_mut();
                if keys.is_some_and(|keys| keys.apply(event)) {
                    self.send_drains();
                }
            }
        }
    }

    fn send_drains(&self) {
        if let Some(keys) = &self.drain_keys {
            self.control.send(ControlEvent::Drains {
                drains: keys.drains(),
                source: DrainSource::Store,
            });
        }
    }

    fn install(&mut self, found: &Versioned) {
        self.rules_revision = found.revision;
        match (self.source.decode)(&found.value) {
            Ok(rules) => {
                self.control.send(ControlEvent::Rules(rules));
            }
            Err(error) => warn!("{error}; keeping the rules in force"),
        }
    }
}
