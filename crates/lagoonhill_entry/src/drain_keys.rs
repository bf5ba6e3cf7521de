//! The keys in the platform's store by which operators drain zones.

use std::collections::BTreeMap;

use lagoonhill_platform::{Listing, StoreRevision, WatchEvent};
use lagoonhill_rules::ZoneDrains;
use lagoonhill_types::prelude::*;
use log::warn;

/// The keys under a prefix, each of which drains the zone that it names. Their
/// values don't matter.
#[derive(Debug)]
pub(crate) struct DrainKeys {
    prefix: &'static str,
    /// The zone of each key; `None` if the key names none.
    zones: BTreeMap<String, Option<AvailabilityZone>>,
    revision: StoreRevision,
}

impl DrainKeys {
    pub(crate) fn new(prefix: &'static str) -> Self {
        Self {
            prefix,
            zones: BTreeMap::new(),
            revision: StoreRevision::ABSENT,
        }
    }

    /// Replaces all keys by those of a listing. Returns whether other keys stand
    /// there than before.
    pub(crate) fn replace(&mut self, listing: &Listing) -> bool {
        let keys = listing.values.iter().map(|found| found.key.as_str());
        let keys = keys.filter(|key| key.starts_with(self.prefix));
        let zones: BTreeMap<String, Option<AvailabilityZone>> = keys
            .map(|key| {
                let known = self.zones.get(key).cloned();
                (key.to_owned(), known.unwrap_or_else(|| self.zone_of(key)))
            })
            .collect();
        let has_changed = zones != self.zones;
        self.zones = zones;
        self.revision = listing.revision;
        has_changed
    }

    /// Applies an event of a watch; returns whether it set or removed a key.
    pub(crate) fn apply(&mut self, event: &WatchEvent) -> bool {
        let (key, revision) = match event {
            WatchEvent::Put(found) => (&found.key, found.revision),
            WatchEvent::Deleted { key, revision } => (key, *revision),
        };
        if !key.starts_with(self.prefix) || revision <= self.revision {
            return false;
        }
        self.revision = revision;
        match event {
            WatchEvent::Put(_) if self.zones.contains_key(key) => false,
            WatchEvent::Put(_) => {
                let zone = self.zone_of(key);
                self.zones.insert(key.clone(), zone);
                true
            }
            WatchEvent::Deleted { .. } => self.zones.remove(key).is_some(),
        }
    }

    fn zone_of(&self, key: &str) -> Option<AvailabilityZone> {
        let zone = key[self.prefix.len()..].parse();
        zone.inspect_err(|error| {
            warn!("the key `{key}` drains no zone: {error}; remove it, or name a zone");
        })
        .ok()
    }

    /// The drained zones, as of the last change or listing.
    pub(crate) fn drains(&self) -> ZoneDrains {
        ZoneDrains {
            revision: Revision(u64::try_from(self.revision.0).unwrap_or(0)),
            zones: self.zones.values().flatten().cloned().collect(),
        }
    }
}
