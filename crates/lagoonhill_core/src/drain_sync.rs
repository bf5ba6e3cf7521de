//! Which availability zones are drained, as far as one process knows.

use std::collections::{BTreeMap, BTreeSet};

use lagoonhill_rules::{ZoneDrain, ZoneDrains};
use lagoonhill_types::prelude::*;

/// The drained zones, learned as whole sets from the store and peers, and zone by
/// zone through sessions.
///
/// What is known of a zone has the store's revision as of which it holds. Only a
/// higher one replaces it, so that no late or repeated message brings back a
/// withdrawn drain or ends one that is in force.
#[derive(Debug, Default)]
pub struct DrainSync {
    known: ZoneDrains,
    /// Zones learned one by one, at a higher revision than `known`.
    newer: BTreeMap<AvailabilityZone, ZoneDrain>,
}

impl DrainSync {
    /// The newest whole set.
    pub fn known(&self) -> &ZoneDrains {
        &self.known
    }

    /// The newest state of a zone.
    pub fn of(&self, zone: &AvailabilityZone) -> ZoneDrain {
        let newer = self.newer.get(zone).cloned();
        newer.unwrap_or_else(|| self.known.of(zone))
    }

    /// Whether a zone is drained.
    pub fn is_drained(&self, zone: &AvailabilityZone) -> bool {
        match self.newer.get(zone) {
            Some(drain) => drain.is_drained,
            None => self.known.zones.contains(zone),
        }
    }

    /// The drained zones.
    pub fn drained_zones(&self) -> BTreeSet<AvailabilityZone> {
        let candidates = self.known.zones.iter().chain(self.newer.keys());
        candidates
            .filter(|zone| self.is_drained(zone))
            .cloned()
            .collect()
    }

    /// Installs a whole set if it is newer; returns the zones whose state changed.
    pub fn install(&mut self, drains: ZoneDrains) -> BTreeSet<AvailabilityZone> {
        if drains.revision <= self.known.revision {
            return BTreeSet::new();
        }
        let before = self.drained_zones();
        self.newer
            .retain(|_, drain| drain.revision > drains.revision);
        self.known = drains;
        let after = self.drained_zones();
        before.symmetric_difference(&after).cloned().collect()
    }

    /// Learns the state of one zone if it is newer; returns whether it changed.
    pub fn learn(&mut self, drain: ZoneDrain) -> bool {
        if drain.revision <= self.of(&drain.zone).revision {
            return false;
        }
        let has_changed = self.is_drained(&drain.zone) != drain.is_drained;
        self.newer.insert(drain.zone.clone(), drain);
        has_changed
    }
}
