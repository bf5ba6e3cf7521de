//! Load pattern: a growing number of entries that must know of each other. If
//! each asked every other, an entry's cost would grow with the fleet, and one
//! that waits for several that are cut off would be late with all the rest.
//!
//! Gossip-style failure detection: each entry counts a heartbeat of its own up,
//! and tells a few others at a time the counts that it has seen. A count that
//! rises shows a live entry, by whichever way it came; one that stays shows
//! nothing, so no two entries can keep a third alive between them.

use std::cmp::Reverse;
use std::collections::HashMap;

use lagoonhill_protocol::{EntryAddress, MemberBeat};
use lagoonhill_types::prelude::*;

/// Others asked in each round.
const ASKED_PER_ROUND: usize = 3;

/// Members told of at most in a usual message, the teller not counted.
const TOLD_AT_MOST: usize = 16;

/// One exchange in so many rounds is of all members: chance alone would leave a
/// few pairs that have not heard of each other.
const ROUNDS_PER_FULL_EXCHANGE: u64 = 5;

/// Silence after which an entry no longer counts as live, at least: seven
/// rounds.
const DEAD_AFTER: DurationMs = DurationMs::from_secs(15);

/// The same for each entry that is known: the more there are, the less often
/// each is told of.
const DEAD_AFTER_PER_MEMBER: DurationMs = DurationMs(250);

/// Time for which a silent or departed entry is remembered, as a multiple of
/// that after which it counts as dead: nobody tells of it any more by then.
const FORGET_FACTOR: u64 = 4;

/// A gap between two rounds that means this process itself was frozen.
const FROZEN_AFTER: DurationMs = DurationMs::from_secs(6);

#[derive(Clone, Copy, Debug)]
struct Member {
    address: EntryAddress,
    beat: u64,
    /// When its count last rose.
    risen_ms: TimestampMs,
    /// The message in which another was last told of it, by number.
    told_in: u64,
}

/// An exchange with another entry that is due.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Exchange {
    /// With whom.
    pub with: EntryAddress,
    /// Whether both tell of all members that they know.
    pub is_full: bool,
}

/// The entries that an entry knows.
#[derive(Debug)]
pub struct Membership {
    own: MemberBeat,
    members: HashMap<Incarnation, Member>,
    /// Entries that said that they leave.
    departed: HashMap<Incarnation, TimestampMs>,
    last_round_ms: TimestampMs,
    rounds: u64,
    /// Messages so far.
    messages: u64,
    random: fastrand::Rng,
}

impl Membership {
    /// An entry that knows no other.
    pub fn new(own: EntryAddress, now: TimestampMs) -> Self {
        Self {
            own: MemberBeat {
                address: own,
                beat: 1,
                leaving: false,
            },
            members: HashMap::new(),
            departed: HashMap::new(),
            last_round_ms: now,
            // Those that begin together do not all ask for everything at once.
            rounds: own.incarnation.0 % ROUNDS_PER_FULL_EXCHANGE,
            messages: 0,
            random: fastrand::Rng::with_seed(own.incarnation.0),
        }
    }

    /// This entry's address.
    pub fn own(&self) -> EntryAddress {
        self.own.address
    }

    /// Says in all further messages that this entry leaves.
    pub fn leave(&mut self) {
        self.own.leaving = true;
        self.own.beat += 1;
    }

    /// An entry was named by the store or the balancer, which don't know
    /// whether it lives.
    pub fn name(&mut self, address: EntryAddress, now: TimestampMs) {
        let beat = MemberBeat {
            address,
            beat: 0,
            leaving: false,
        };
        self.learn(&[beat], now);
    }

    /// Takes what another entry has told.
    pub fn learn(&mut self, beats: &[MemberBeat], now: TimestampMs) {
        for told in beats {
            let incarnation = told.address.incarnation;
            if incarnation == self.own.address.incarnation
                || self.departed.contains_key(&incarnation)
            {
                continue;
            }
            if told.leaving {
                self.members.remove(&incarnation);
                self.departed.insert(incarnation, now);
                continue;
            }
            let fresh = Member {
                address: told.address,
                beat: told.beat,
                risen_ms: now,
                told_in: 0,
            };
            let known = self.members.entry(incarnation).or_insert(fresh);
            if told.beat > known.beat {
                *known = Member {
                    told_in: known.told_in,
                    ..fresh
                };
            }
        }
    }

    /// Begins a round: returns whom to ask, some of them live by all that is
    /// known and one at random, which may be back after a cut.
    pub fn begin_round(&mut self, now: TimestampMs) -> Vec<Exchange> {
        let gap_ms = now.since(self.last_round_ms);
        self.last_round_ms = now;
        if gap_ms >= FROZEN_AFTER {
            for member in self.members.values_mut() {
                member.risen_ms = (member.risen_ms + gap_ms).min(now);
            }
        }
        self.own.beat += 1;
        let (dead_ms, forget_ms) = (self.dead_after(), self.dead_after() * FORGET_FACTOR);
        let fresh = |at_ms: TimestampMs| now.since(at_ms) < forget_ms;
        self.members.retain(|_, member| fresh(member.risen_ms));
        self.departed.retain(|_, at_ms| fresh(*at_ms));
        let mut live = self.addresses(|member| now.since(member.risen_ms) < dead_ms);
        let mut silent = self.addresses(|member| now.since(member.risen_ms) >= dead_ms);
        self.random.shuffle(&mut live);
        self.random.shuffle(&mut silent);
        live.truncate(ASKED_PER_ROUND);
        live.extend(silent.first());
        self.rounds += 1;
        let is_full = self.rounds.is_multiple_of(ROUNDS_PER_FULL_EXCHANGE);
        let exchange = |(position, with): (usize, EntryAddress)| Exchange {
            with,
            is_full: is_full && position == 0,
        };
        live.into_iter().enumerate().map(exchange).collect()
    }

    /// What to tell another entry: the own count and those of some live members,
    /// half of them the newest, half those that were not told of for longest; in
    /// a full exchange those of all.
    pub fn digest(&mut self, is_full: bool, now: TimestampMs) -> Vec<MemberBeat> {
        let dead_ms = self.dead_after();
        // Told of for longer, a dead one would begin anew where it is forgotten.
        let members = self.members.values_mut();
        let mut live: Vec<&mut Member> = members
            .filter(|member| now.since(member.risen_ms) < dead_ms)
            .collect();
        live.sort_by_key(|member| (Reverse(member.risen_ms), member.address));
        let newest = live.len().min(TOLD_AT_MOST / 2);
        live[newest..].sort_by_key(|member| (member.told_in, member.address));
        if !is_full {
            live.truncate(TOLD_AT_MOST);
        }
        self.messages += 1;
        let mut beats = vec![self.own];
        for member in live {
            member.told_in = self.messages;
            beats.push(MemberBeat {
                address: member.address,
                beat: member.beat,
                leaving: false,
            });
        }
        beats
    }

    /// Every live entry, this one included.
    pub fn live(&self, now: TimestampMs) -> Vec<EntryAddress> {
        let dead_ms = self.dead_after();
        let mut live = self.addresses(|member| now.since(member.risen_ms) < dead_ms);
        if !self.own.leaving {
            live.push(self.own.address);
        }
        live
    }

    fn dead_after(&self) -> DurationMs {
        DEAD_AFTER.max(DEAD_AFTER_PER_MEMBER * self.members.len() as u64)
    }

    fn addresses(&self, is_wanted: impl Fn(&Member) -> bool) -> Vec<EntryAddress> {
        let wanted = self.members.values().filter(|member| is_wanted(member));
        let mut addresses: Vec<EntryAddress> = wanted.map(|member| member.address).collect();
        // The map's order differs from run to run.
        addresses.sort_unstable();
        addresses
    }
}
