//! Membership of the fleet's entries: which of them are live.
//!
//! Load pattern: a growing number of entries that must know each other. If each
//! contacted every peer, its cost would grow with the fleet, and waiting for
//! several unreachable peers would delay its exchanges with all others.
//!
//! Gossip-style failure detection: each entry increments a heartbeat count of its
//! own and sends the counts that it has seen to a few peers at a time. A rising
//! count proves an entry live, whichever way it came; an unchanged one proves
//! nothing, so two peers can't keep a dead entry alive between them.

use std::cmp::Reverse;
use std::collections::HashMap;
use std::net::SocketAddr;

use lagoonhill_protocol::{EntryAddress, MemberBeat};
use lagoonhill_types::prelude::*;

/// Exchanges with live peers in each round.
const EXCHANGES_PER_ROUND: usize = 3;

/// Most members in a partial digest, its sender not counted.
const MAX_DIGEST_MEMBERS: usize = 16;

/// Once in this many rounds, one exchange is of all members: random partial
/// digests alone would leave a few pairs that don't know each other.
const ROUNDS_PER_FULL_EXCHANGE: u64 = 5;

/// Shortest time without a higher count that makes an entry dead: seven rounds.
const DEAD_AFTER_MS: DurationMs = DurationMs::from_secs(15);

/// The same per known entry: the more there are, the rarer each is in a digest.
const DEAD_AFTER_PER_MEMBER_MS: DurationMs = DurationMs(250);

/// Retention time of a dead or departed entry, as a multiple of the time after
/// which it counts as dead: by then no peer's digest contains it any more.
const FORGET_FACTOR: u64 = 4;

/// Gap between two rounds from which on this process counts as frozen.
const FREEZE_GAP_MS: DurationMs = DurationMs::from_secs(6);

#[derive(Clone, Copy, Debug)]
struct Member {
    address: EntryAddress,
    beat: u64,
    /// When `beat` last rose.
    last_rise_ms: TimestampMs,
    /// Number of the last digest that contained it.
    last_sent_in: u64,
}

/// An exchange of digests with a peer that is due.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Exchange {
    /// Address of the peer.
    pub peer: EntryAddress,
    /// Whether both digests contain all live members.
    pub is_full: bool,
}

/// The peers known to an entry, and its own heartbeat count.
#[derive(Debug)]
pub struct Membership {
    own: MemberBeat,
    members: HashMap<Incarnation, Member>,
    /// The latest incarnation at each inbox address.
    latest: HashMap<SocketAddr, Incarnation>,
    /// Entries that have announced that they leave, with when that was received.
    departed: HashMap<Incarnation, TimestampMs>,
    last_round_ms: TimestampMs,
    rounds: u64,
    /// Digests made so far.
    digests: u64,
    random: fastrand::Rng,
}

impl Membership {
    /// Creates the state of an entry that knows no peer.
    pub fn new(own: EntryAddress, now: TimestampMs) -> Self {
        Self {
            own: MemberBeat {
                address: own,
                beat: 1,
                leaving: false,
            },
            members: HashMap::new(),
            latest: HashMap::from([(own.inbox, own.incarnation)]),
            departed: HashMap::new(),
            last_round_ms: now,
            // Spreads the full exchanges of entries that start at the same time.
            rounds: own.incarnation.0 % ROUNDS_PER_FULL_EXCHANGE,
            digests: 0,
            random: fastrand::Rng::with_seed(own.incarnation.0),
        }
    }

    /// This entry's address.
    pub fn own(&self) -> EntryAddress {
        self.own.address
    }

    /// Announces in all further digests that this entry leaves.
    pub fn leave(&mut self) {
        self.own.leaving = true;
        self.own.beat += 1;
    }

    /// Adds an entry named by the store or balancer; it may not be alive.
    pub fn add_candidate(&mut self, address: EntryAddress, now: TimestampMs) {
        let beat = MemberBeat {
            address,
            beat: 0,
            leaving: false,
        };
        self.merge(&[beat], now);
    }

    /// Merges a peer's digest.
    pub fn merge(&mut self, beats: &[MemberBeat], now: TimestampMs) {
        for reported in beats {
            let incarnation = reported.address.incarnation;
            if incarnation == self.own.address.incarnation
                || self.departed.contains_key(&incarnation)
            {
                continue;
            }
            if reported.leaving {
                self.members.remove(&incarnation);
                self.departed.insert(incarnation, now);
                continue;
            }
            if !self.is_latest(reported.address, now) {
                continue;
            }
            let fresh = Member {
                address: reported.address,
                beat: reported.beat,
                last_rise_ms: now,
                last_sent_in: 0,
            };
            let known = self.members.entry(incarnation).or_insert(fresh);
            if reported.beat > known.beat {
                *known = Member {
                    last_sent_in: known.last_sent_in,
                    ..fresh
                };
            }
        }
    }

    /// Whether no later process has the inbox address of an entry. An earlier one counts
    /// as departed.
    fn is_latest(&mut self, address: EntryAddress, now: TimestampMs) -> bool {
        let incarnation = address.incarnation;
        let latest = self.latest.entry(address.inbox).or_insert(incarnation);
        if incarnation < *latest {
            return false;
        }
        let replaced = std::mem::replace(latest, incarnation);
        if replaced != incarnation && self.members.remove(&replaced).is_some() {
            self.departed.insert(replaced, now);
        }
        true
    }

    /// Begins a round. Returns the exchanges with some random live peers, and with
    /// one that counts as dead but may be reachable again.
    pub fn begin_round(&mut self, now: TimestampMs) -> Vec<Exchange> {
        let gap_ms = now.since(self.last_round_ms);
        self.last_round_ms = now;
        if gap_ms >= FREEZE_GAP_MS {
            for member in self.members.values_mut() {
                member.last_rise_ms = (member.last_rise_ms + gap_ms).min(now);
            }
        }
        self.own.beat += 1;
        let (dead_ms, forget_ms) = (self.dead_after_ms(), self.dead_after_ms() * FORGET_FACTOR);
        let fresh = |at_ms: TimestampMs| now.since(at_ms) < forget_ms;
        self.members.retain(|_, member| fresh(member.last_rise_ms));
        self.departed.retain(|_, at_ms| fresh(*at_ms));
        let (own, members, departed) = (self.own.address, &self.members, &self.departed);
        self.latest.retain(|_, incarnation| {
            *incarnation == own.incarnation
                || members.contains_key(incarnation)
                || departed.contains_key(incarnation)
        });
        let mut live = self.addresses(|member| now.since(member.last_rise_ms) < dead_ms);
        let mut dead = self.addresses(|member| now.since(member.last_rise_ms) >= dead_ms);
        self.random.shuffle(&mut live);
        self.random.shuffle(&mut dead);
        live.truncate(EXCHANGES_PER_ROUND);
        live.extend(dead.first());
        self.rounds += 1;
        let is_full = self.rounds.is_multiple_of(ROUNDS_PER_FULL_EXCHANGE);
        let exchange = |(position, peer): (usize, EntryAddress)| Exchange {
            peer,
            is_full: is_full && position == 0,
        };
        live.into_iter().enumerate().map(exchange).collect()
    }

    /// Creates a digest: the own count and those of some live members, half of
    /// them the most recently risen, half those not sent for longest; in a full
    /// exchange those of all.
    pub fn digest(&mut self, is_full: bool, now: TimestampMs) -> Vec<MemberBeat> {
        let dead_ms = self.dead_after_ms();
        // A dead member is left out: peers that forgot it would take it for new.
        let members = self.members.values_mut();
        let mut live: Vec<&mut Member> = members
            .filter(|member| now.since(member.last_rise_ms) < dead_ms)
            .collect();
        live.sort_by_key(|member| (Reverse(member.last_rise_ms), member.address));
        let newest = live.len().min(MAX_DIGEST_MEMBERS / 2);
        live[newest..].sort_by_key(|member| (member.last_sent_in, member.address));
        if !is_full {
            live.truncate(MAX_DIGEST_MEMBERS);
        }
        self.digests += 1;
        let mut beats = vec![self.own];
        for member in live {
            member.last_sent_in = self.digests;
            beats.push(MemberBeat {
                address: member.address,
                beat: member.beat,
                leaving: false,
            });
        }
        beats
    }

    /// Every live entry, including this one unless it leaves.
    pub fn live(&self, now: TimestampMs) -> Vec<EntryAddress> {
        let dead_ms = self.dead_after_ms();
        let mut live = self.addresses(|member| now.since(member.last_rise_ms) < dead_ms);
        if !self.own.leaving {
            live.push(self.own.address);
        }
        live
    }

    fn dead_after_ms(&self) -> DurationMs {
        DEAD_AFTER_MS.max(DEAD_AFTER_PER_MEMBER_MS * self.members.len() as u64)
    }

    fn addresses(&self, is_wanted: impl Fn(&Member) -> bool) -> Vec<EntryAddress> {
        let wanted = self.members.values().filter(|member| is_wanted(member));
        let mut addresses: Vec<EntryAddress> = wanted.map(|member| member.address).collect();
        // The order of the hash map differs from run to run.
        addresses.sort_unstable();
        addresses
    }
}
