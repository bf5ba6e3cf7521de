//! Membership of entries by gossip: all live entries are known, dead ones are
//! removed, an entry that left never reappears, and the cost per entry does not
//! grow with their number.

use std::collections::{BTreeSet, HashSet};
use std::net::SocketAddr;

use lagoonhill_core::Membership;
use lagoonhill_protocol::EntryAddress;
use lagoonhill_types::prelude::*;

/// Defines one test for each named case.
macro_rules! cases {
    ($($name:ident => $body:block)+) => {
        $(#[test] fn $name() $body)+
    };
}

const ROUND_MS: u64 = 2_000;

/// Time within which all entries know a live one, also after a partition, and
/// the same in a fleet of 200.
const KNOWN_WITHIN_MS: u64 = 20_000;
const KNOWN_WITHIN_200_MS: u64 = 40_000;

/// Time within which no entry counts a dead one as live any more.
const GONE_WITHIN_MS: u64 = 30_000;

fn address(index: usize) -> EntryAddress {
    let port = u16::try_from(1_000 + index).expect("a test has fewer entries");
    EntryAddress {
        incarnation: Incarnation(1 + index as u64),
        inbox: SocketAddr::from(([10, 0, 0, 1], port)),
        http: SocketAddr::from(([10, 0, 0, 2], port)),
    }
}

/// Entries that exchange digests over links of which some may be blocked.
struct Gossip {
    now: TimestampMs,
    entries: Vec<Membership>,
    due_ms: Vec<TimestampMs>,
    /// Entries that neither begin rounds nor answer.
    stopped: BTreeSet<usize>,
    /// Sender and receiver of links that lose every message.
    blocked: HashSet<(usize, usize)>,
    /// Members in the largest digest that was not full.
    largest_digest: usize,
    messages: u64,
    full_messages: u64,
}

impl Gossip {
    /// Creates entries that know only the first one.
    fn new(count: usize) -> Self {
        let now = TimestampMs(1_000_000);
        let mut entries: Vec<Membership> = (0..count)
            .map(|index| Membership::new(address(index), now))
            .collect();
        for entry in &mut entries {
            entry.add_candidate(address(0), now);
        }
        let offset = |index: usize| DurationMs(index as u64 * 7_919 % ROUND_MS);
        Self {
            now,
            entries,
            due_ms: (0..count).map(|index| now + offset(index)).collect(),
            stopped: BTreeSet::new(),
            blocked: HashSet::new(),
            largest_digest: 0,
            messages: 0,
            full_messages: 0,
        }
    }

    fn run_for(&mut self, length_ms: u64) {
        const STEP_MS: u64 = 10;
        for _ in 0..length_ms / STEP_MS {
            self.now = self.now + DurationMs(STEP_MS);
            for index in 0..self.entries.len() {
                if self.due_ms[index] <= self.now && !self.stopped.contains(&index) {
                    self.due_ms[index] = self.now + DurationMs(ROUND_MS);
                    self.round(index);
                }
            }
        }
    }

    fn round(&mut self, initiator: usize) {
        for exchange in self.entries[initiator].begin_round(self.now) {
            let number = exchange.peer.incarnation.0 - 1;
            let other = usize::try_from(number).expect("a small number");
            if self.send_digest(initiator, other, exchange.is_full) {
                self.send_digest(other, initiator, exchange.is_full);
            }
        }
    }

    fn send_digest(&mut self, from: usize, to: usize, is_full: bool) -> bool {
        let digest = self.entries[from].digest(is_full, self.now);
        if !is_full {
            self.largest_digest = self.largest_digest.max(digest.len());
        }
        self.full_messages += u64::from(is_full);
        self.messages += 1;
        let arrives = !self.blocked.contains(&(from, to)) && !self.stopped.contains(&to);
        if arrives {
            self.entries[to].merge(&digest, self.now);
        }
        arrives
    }

    fn cut(&mut self, partitioned: &BTreeSet<usize>) {
        for left in 0..self.entries.len() {
            for right in 0..self.entries.len() {
                if partitioned.contains(&left) != partitioned.contains(&right) {
                    self.blocked.insert((left, right));
                }
            }
        }
    }

    fn knows(&self, observer: usize, known: usize) -> bool {
        self.entries[observer]
            .live(self.now)
            .contains(&address(known))
    }

    /// Number of ordered pairs of running entries of which the first does not count
    /// the second as live.
    fn unknown_pairs(&self) -> usize {
        let running: Vec<usize> = (0..self.entries.len())
            .filter(|index| !self.stopped.contains(index))
            .collect();
        let unknown = |observer: &usize| {
            let live = self.entries[*observer].live(self.now);
            let live: HashSet<EntryAddress> = live.into_iter().collect();
            let known = |known: &&usize| live.contains(&address(**known));
            running.len() - running.iter().filter(known).count()
        };
        running.iter().map(unknown).sum()
    }

    fn is_known_by_any(&self, known: usize) -> bool {
        (0..self.entries.len())
            .filter(|observer| *observer != known && !self.stopped.contains(observer))
            .any(|observer| self.knows(observer, known))
    }
}

cases! {
    entries_that_know_one_entry_discover_all => {
        for (count, within_ms) in [
            (2, KNOWN_WITHIN_MS),
            (35, KNOWN_WITHIN_MS),
            (200, KNOWN_WITHIN_200_MS),
        ] {
            let mut gossip = Gossip::new(count);
            gossip.run_for(within_ms);
            assert_eq!(gossip.unknown_pairs(), 0, "{count} entries");
        }
    }

    a_live_entry_is_never_taken_for_dead_without_faults => {
        let mut gossip = Gossip::new(200);
        gossip.run_for(KNOWN_WITHIN_200_MS);
        for second in 0..90 {
            gossip.run_for(1_000);
            assert_eq!(gossip.unknown_pairs(), 0, "after {second} s");
        }
    }

    gossip_per_entry_does_not_grow_with_the_fleet => {
        let measure = |count: usize| {
            let mut gossip = Gossip::new(count);
            gossip.run_for(60_000);
            let each = |messages: u64| messages / count as u64;
            (gossip.largest_digest, each(gossip.messages), each(gossip.full_messages))
        };
        let (small, large) = (measure(40), measure(200));
        assert_eq!(small.0, large.0);
        assert!(large.1 <= small.1 * 11 / 10, "{small:?} {large:?} messages an entry");
        // One full exchange every ten seconds, and the answer to that of another.
        assert!(large.2 <= 13, "{large:?}");
    }

    a_dead_entry_is_removed_everywhere_and_stays_removed => {
        let mut gossip = Gossip::new(35);
        gossip.run_for(KNOWN_WITHIN_MS);
        gossip.stopped.insert(9);
        gossip.run_for(GONE_WITHIN_MS);
        for second in 0..120 {
            assert!(!gossip.is_known_by_any(9), "the dead entry counts as live again {second} s later");
            gossip.run_for(1_000);
        }
    }

    // A fifth of the entries is partitioned from the others.
    both_sides_of_a_partition_rejoin_when_it_heals => {
        let mut gossip = Gossip::new(35);
        gossip.run_for(KNOWN_WITHIN_MS);
        let partitioned: BTreeSet<usize> = (0..7).collect();
        gossip.cut(&partitioned);
        gossip.run_for(GONE_WITHIN_MS);
        assert!(!gossip.knows(20, 3) && !gossip.knows(3, 20));
        assert!(gossip.knows(20, 30) && gossip.knows(3, 5));
        gossip.blocked.clear();
        gossip.run_for(KNOWN_WITHIN_MS);
        assert_eq!(gossip.unknown_pairs(), 0);
    }

    // Shorter than the time after which a silent entry counts as dead.
    a_short_partition_marks_no_entry_dead => {
        let mut gossip = Gossip::new(35);
        gossip.run_for(KNOWN_WITHIN_MS);
        gossip.cut(&(0..7).collect());
        gossip.run_for(6_000);
        assert_eq!(gossip.unknown_pairs(), 0);
        gossip.blocked.clear();
        for _ in 0..30 {
            gossip.run_for(1_000);
            assert_eq!(gossip.unknown_pairs(), 0);
        }
    }

    an_entry_reachable_through_others_stays_live => {
        let mut gossip = Gossip::new(12);
        gossip.run_for(KNOWN_WITHIN_MS);
        gossip.blocked.insert((4, 5));
        gossip.blocked.insert((5, 4));
        for _ in 0..60 {
            gossip.run_for(1_000);
            assert!(gossip.knows(4, 5) && gossip.knows(5, 4));
        }
    }

    // Messages from the entry to six others are lost, those to it arrive.
    one_way_loss_marks_no_entry_dead => {
        let mut gossip = Gossip::new(12);
        gossip.run_for(KNOWN_WITHIN_MS);
        for other in 0..6 {
            gossip.blocked.insert((8, other));
        }
        for _ in 0..60 {
            gossip.run_for(1_000);
            assert_eq!(gossip.unknown_pairs(), 0);
        }
    }

    a_frozen_entry_rejoins_and_keeps_its_members => {
        let mut gossip = Gossip::new(20);
        gossip.run_for(KNOWN_WITHIN_MS);
        gossip.stopped.insert(7);
        gossip.run_for(GONE_WITHIN_MS);
        assert!(!gossip.is_known_by_any(7));
        gossip.stopped.remove(&7);
        gossip.run_for(ROUND_MS);
        assert_eq!(gossip.entries[7].live(gossip.now).len(), 20, "the entry took others for dead");
        gossip.run_for(KNOWN_WITHIN_MS);
        assert_eq!(gossip.unknown_pairs(), 0);
    }

    // Digests of other entries still contain it for a while.
    an_entry_that_left_never_reappears => {
        let mut gossip = Gossip::new(20);
        gossip.run_for(KNOWN_WITHIN_MS);
        gossip.entries[5].leave();
        gossip.round(5);
        gossip.stopped.insert(5);
        gossip.run_for(GONE_WITHIN_MS);
        for _ in 0..60 {
            assert!(!gossip.is_known_by_any(5));
            gossip.run_for(1_000);
        }
    }

    a_leave_message_removes_its_sender_at_once => {
        let now = TimestampMs(5_000);
        let (mut left, mut right) = (Membership::new(address(0), now), Membership::new(address(1), now));
        right.merge(&left.digest(false, now), now);
        assert_eq!(right.live(now).len(), 2);
        let before = left.digest(false, now);
        left.leave();
        right.merge(&left.digest(false, now), now);
        right.merge(&before, now);
        assert_eq!(right.live(now), vec![address(1)]);
    }

    // Guards against an entry that is back at its address and counts twice: its earlier
    // process was taken for live until it had been silent for 15 s.
    a_later_process_at_an_address_ends_the_earlier_one => {
        let now = TimestampMs(5_000);
        let again = EntryAddress { incarnation: Incarnation(900), ..address(0) };
        let (mut first, mut other) = (Membership::new(address(0), now), Membership::new(address(1), now));
        other.merge(&first.digest(false, now), now);
        let before = first.digest(false, now);
        other.merge(&Membership::new(again, now).digest(false, now), now);
        assert_eq!(other.live(now), vec![again, address(1)]);
        // Others still tell of the earlier one.
        other.merge(&before, now);
        assert_eq!(other.live(now), vec![again, address(1)]);
    }

    // Guards against an entry that counts the process before it as a peer.
    an_entry_does_not_count_its_own_earlier_process => {
        let now = TimestampMs(5_000);
        let again = EntryAddress { incarnation: Incarnation(900), ..address(0) };
        let mut entry = Membership::new(again, now);
        entry.add_candidate(address(0), now);
        assert_eq!(entry.live(now), vec![again]);
    }
}
