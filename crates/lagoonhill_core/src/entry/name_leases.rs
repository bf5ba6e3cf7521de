//! Leases on job names that this entry has granted.

use std::collections::{BTreeSet, HashMap};

use lagoonhill_protocol::NameLeaseId;
use lagoonhill_types::prelude::*;

/// The holder of a lease: an entry, and its number of the lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NameHolder {
    /// Incarnation of the entry.
    pub entry: Incarnation,
    /// The lease.
    pub id: NameLeaseId,
}

#[derive(Debug)]
struct NameLease {
    holder: NameHolder,
    expires_ms: TimestampMs,
}

/// Leases on job names that this entry has granted, at most one on each name.
#[derive(Debug, Default)]
pub struct NameLeases {
    leases: HashMap<RequestKey, NameLease>,
    expiries: BTreeSet<(TimestampMs, RequestKey)>,
}

impl NameLeases {
    /// The holder of the lease on a name, if one is in force.
    pub fn holder(&mut self, name: &RequestKey, now: TimestampMs) -> Option<NameHolder> {
        self.expire(now);
        self.leases.get(name).map(|lease| lease.holder)
    }

    /// Grants or renews a lease, unless another holder has one on the name.
    pub fn grant(
        &mut self,
        name: &RequestKey,
        holder: NameHolder,
        lease_ms: DurationMs,
        now: TimestampMs,
    ) -> bool {
        self.expire(now);
        let expires_ms = now + lease_ms;
        if let Some(lease) = self.leases.get_mut(name) {
            if lease.holder != holder {
                return false;
            }
            let replaced_ms = std::mem::replace(&mut lease.expires_ms, expires_ms);
            self.expiries.remove(&(replaced_ms, name.clone()));
        } else {
            let lease = NameLease { holder, expires_ms };
            self.leases.insert(name.clone(), lease);
        }
        self.expiries.insert((expires_ms, name.clone()));
        true
    }

    /// Ends a lease after the time for which its holder's runs may still go on.
    pub fn release(
        &mut self,
        name: &RequestKey,
        holder: NameHolder,
        remaining_ms: DurationMs,
        now: TimestampMs,
    ) {
        let Some(lease) = self.leases.get_mut(name) else {
            return;
        };
        if lease.holder != holder {
            return;
        }
        let expires_ms = now + remaining_ms;
        let replaced_ms = std::mem::replace(&mut lease.expires_ms, expires_ms);
        self.expiries.remove(&(replaced_ms, name.clone()));
        self.expiries.insert((expires_ms, name.clone()));
        self.expire(now);
    }

    /// Removes the leases that have expired.
    pub fn expire(&mut self, now: TimestampMs) {
        while let Some((expires_ms, _)) = self.expiries.first()
            && *expires_ms <= now
            && let Some((_, name)) = self.expiries.pop_first()
        {
            self.leases.remove(&name);
        }
    }

    /// Number of leases in force.
    pub fn len(&self) -> usize {
        self.leases.len()
    }

    /// Whether no lease is in force.
    pub fn is_empty(&self) -> bool {
        self.leases.is_empty()
    }
}
