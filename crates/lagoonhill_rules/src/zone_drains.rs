//! Availability zones that operators drain beside the rule file, for as long as a
//! key of theirs stands in the platform's store.

use std::collections::BTreeSet;
use std::fmt;

use lagoonhill_types::prelude::*;
use serde::{Deserialize, Serialize};

/// The drained zones, as of a revision of the store.
///
/// The rules have a revision of their own, so the two are ordered separately. Each
/// value is the whole set at its revision: of two values, the one with the higher
/// revision is right, whichever way it came.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZoneDrains {
    /// The store's revision. 0 means that nothing is known yet.
    pub revision: Revision,
    /// The zones whose workers get no new tasks.
    pub zones: BTreeSet<AvailabilityZone>,
}

impl ZoneDrains {
    /// The state of one zone.
    pub fn of(&self, zone: &AvailabilityZone) -> ZoneDrain {
        ZoneDrain {
            revision: self.revision,
            zone: zone.clone(),
            is_drained: self.zones.contains(zone),
        }
    }
}

/// Whether one zone is drained, as of a revision of the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ZoneDrain {
    /// The store's revision.
    pub revision: Revision,
    /// The zone.
    pub zone: AvailabilityZone,
    /// Whether its workers get no new tasks.
    pub is_drained: bool,
}

/// As the log tells it.
impl fmt::Display for ZoneDrain {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let event = if self.is_drained {
            "zone-drained"
        } else {
            "zone-restored"
        };
        write!(f, "{event} zone={} revision={}", self.zone, self.revision)
    }
}
