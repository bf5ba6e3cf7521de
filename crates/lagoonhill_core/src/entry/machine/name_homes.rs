//! The homes of job names: which entries they are, and the leases that this entry grants
//! as one of them.

use std::collections::HashMap;
use std::hash::Hasher;

use fnv::FnvHasher;
use lagoonhill_protocol::{EntryAddress, NameLeaseId, NameRelease, NameReply, NameRequest, Packet};
use lagoonhill_types::prelude::*;

use super::Entry;
use super::names::{NAME_TIMEOUT_MS, SILENT_HOME_MS};
use crate::entry::{EntryEffect, NameHolder, Placement};

/// Time within which the other entries learn of one that has started.
const SPREAD_OF_NEWS_MS: DurationMs = DurationMs(2_000);

/// Finalizer of `MurmurHash3`. FNV's high bits hardly depend on the last bytes, so names
/// that differ only there would have few homes.
fn mixed(hash: u64) -> u64 {
    let hash = (hash ^ (hash >> 33)).wrapping_mul(0xff51_afd7_ed55_8ccd);
    let hash = (hash ^ (hash >> 33)).wrapping_mul(0xc4ce_b9fe_1a85_ec53);
    hash ^ (hash >> 33)
}

fn weight(entry: &EntryAddress, name: &RequestKey) -> (u64, Incarnation) {
    let mut hasher = FnvHasher::default();
    hasher.write_u64(entry.incarnation.0);
    hasher.write(name.as_str().as_bytes());
    (mixed(hasher.finish()), entry.incarnation)
}

/// A request for a lease that was forwarded to another home.
#[derive(Clone, Copy, Debug)]
pub(super) struct ForwardedName {
    holder: NameHolder,
    at_ms: TimestampMs,
}

impl<P: Placement> Entry<P> {
    /// The home of a name after those that have been asked: the same at all entries that
    /// know the same live ones.
    pub(super) fn next_home(
        &self,
        name: &RequestKey,
        asked: &[EntryAddress],
        may_be_own: bool,
        now: TimestampMs,
    ) -> Option<EntryAddress> {
        let own = self.config.address.incarnation;
        let may_be_own = may_be_own && !self.is_newly_joined(now);
        // A process that was started again is at the address of the one that was asked.
        let is_asked = |entry: &EntryAddress| asked.iter().any(|home| home.inbox == entry.inbox);
        let is_next = |entry: &&EntryAddress| {
            !is_asked(entry) && self.is_home(entry, now) && (may_be_own || entry.incarnation != own)
        };
        let next = self.entries.iter().filter(is_next);
        next.max_by_key(|entry| weight(entry, name)).copied()
    }

    /// Whether an entry is asked for leases.
    pub(super) fn is_home(&self, entry: &EntryAddress, now: TimestampMs) -> bool {
        let is_retired =
            self.is_retired_home && entry.incarnation == self.config.address.incarnation;
        self.entries.contains(entry) && !is_retired && !self.is_silent_home(entry.incarnation, now)
    }

    fn is_silent_home(&self, home: Incarnation, now: TimestampMs) -> bool {
        let until_ms = self.silent_homes.get(&home);
        until_ms.is_some_and(|until_ms| now < *until_ms)
    }

    /// Time for which leases may be in force that an entry has not been told of since it
    /// started.
    fn joining_ms(&self) -> DurationMs {
        self.name_lease_ms() + SPREAD_OF_NEWS_MS
    }

    /// Whether other entries may have granted leases on names whose home this entry has
    /// just become.
    fn is_newly_joined(&self, now: TimestampMs) -> bool {
        self.has_just_started(now) && self.entries.iter().any(|entry| self.was_before(entry))
    }

    fn has_just_started(&self, now: TimestampMs) -> bool {
        now.since(self.started_ms) < self.joining_ms()
    }

    /// Whether an entry had settled when this one started.
    fn was_before(&self, entry: &EntryAddress) -> bool {
        let own_ms = self.config.address.incarnation.started_ms();
        entry.incarnation.started_ms() + self.joining_ms() <= own_ms
    }

    /// Grants nothing for a while after this process was frozen: other homes have
    /// granted leases in its place.
    pub(super) fn suspend_own_leases(&mut self, now: TimestampMs) {
        let until_ms = now + SILENT_HOME_MS + self.name_lease_ms();
        self.silent_homes
            .insert(self.config.address.incarnation, until_ms);
    }

    /// Grants no further leases: requests that still arrive go to the homes that are left.
    pub fn retire_as_home(&mut self) {
        self.is_retired_home = true;
    }

    pub(super) fn grant_own(
        &mut self,
        name: &RequestKey,
        id: NameLeaseId,
        now: TimestampMs,
    ) -> bool {
        let holder = self.own_holder(id);
        let lease_ms = self.name_lease_ms();
        self.name_leases.grant(name, holder, lease_ms, now)
    }

    pub(super) fn own_holder(&self, id: NameLeaseId) -> NameHolder {
        NameHolder {
            entry: self.config.address.incarnation,
            id,
        }
    }

    /// Answers another entry's request for a lease, or forwards it to the home that knows
    /// the leases on the name. A request to an earlier incarnation is one to this entry.
    pub(super) fn on_name_request(&mut self, request: &NameRequest, now: TimestampMs) {
        let own = self.config.address.incarnation;
        if self.is_silent_home(own, now) {
            return;
        }
        let holder = NameHolder {
            entry: request.holder.incarnation,
            id: request.id,
        };
        let recorded = self.name_leases.holder(&request.name, now);
        if recorded.is_none() && !self.knows_leases(request, now) {
            let home = self.informed_home(request, now);
            return home.map_or((), |home| self.pass_on(request, home));
        }
        let lease_ms = request.lease_ms.min(self.config.max_deadline_ms);
        let is_granted = self.name_leases.grant(&request.name, holder, lease_ms, now);
        let to = request.holder.inbox;
        if request.on_new_connection {
            self.effects.push(EntryEffect::Reconnect { to });
        }
        self.effects.push(EntryEffect::Send {
            to,
            packet: Packet::NameReply(NameReply {
                id: request.id,
                home: own,
                is_granted,
            }),
        });
        // Other entries may ask the first home, which may not know this holder.
        if is_granted
            && recorded.is_none()
            && let Some(first) = self.next_home(&request.name, &[], true, now)
            && first.incarnation != own
            && first.incarnation != holder.entry
        {
            self.pass_on(request, first);
        }
    }

    /// Whether this entry knows of a lease on a name, if there is one. It does not if it is
    /// leaving, or has just started: then it may not even know those that were before it.
    fn knows_leases(&mut self, request: &NameRequest, now: TimestampMs) -> bool {
        let is_joining = self.is_newly_joined(now)
            || self.has_just_started(now) && self.was_before(&request.holder);
        if !is_joining {
            return !self.is_retired_home || self.informed_home(request, now).is_none();
        }
        let holder = NameHolder {
            entry: request.holder.incarnation,
            id: request.id,
        };
        if let Some(forwarded) = self.forwarded_names.get(&request.name)
            && forwarded.holder == holder
        {
            // A holder that still asks was granted the lease by another home.
            return now.since(forwarded.at_ms) >= NAME_TIMEOUT_MS;
        }
        let forwarded = ForwardedName { holder, at_ms: now };
        self.forwarded_names.insert(request.name.clone(), forwarded);
        false
    }

    /// Forgets what was forwarded once this entry knows the leases itself.
    pub(super) fn forget_forwarded_names(&mut self, now: TimestampMs) {
        if !self.forwarded_names.is_empty() && !self.has_just_started(now) {
            self.forwarded_names = HashMap::new();
        }
    }

    /// The home that knows the leases on a name, if one is known here: the holder only if
    /// there is no other.
    fn informed_home(&self, request: &NameRequest, now: TimestampMs) -> Option<EntryAddress> {
        let own = self.config.address.incarnation;
        let is_leaving = self.is_retired_home && !self.has_just_started(now);
        let is_informed = |entry: &&EntryAddress| {
            entry.incarnation != own
                && self.is_home(entry, now)
                && (is_leaving || self.was_before(entry))
        };
        let informed = self.entries.iter().filter(is_informed);
        informed
            .max_by_key(|entry| (**entry != request.holder, weight(entry, &request.name)))
            .copied()
    }

    fn pass_on(&mut self, request: &NameRequest, home: EntryAddress) {
        let request = NameRequest {
            home: home.incarnation,
            on_new_connection: false,
            ..request.clone()
        };
        self.effects.push(EntryEffect::Send {
            to: home.inbox,
            packet: Packet::NameRequest(request),
        });
    }

    pub(super) fn on_name_release(&mut self, release: &NameRelease, now: TimestampMs) {
        let holder = NameHolder {
            entry: release.holder,
            id: release.id,
        };
        self.name_leases
            .release(&release.name, holder, release.remaining_ms, now);
    }
}
