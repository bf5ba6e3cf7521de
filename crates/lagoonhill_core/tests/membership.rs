//! Membership of entries by gossip: every live one known, every dead one gone,
//! a departed one never back, at a cost that does not grow with their number.

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

/// Time within which a live entry is known everywhere, also after a cut, and
/// the same in a fleet of 200.
const KNOWN_WITHIN_MS: u64 = 20_000;
const KNOWN_WITHIN_200_MS: u64 = 40_000;

/// Time within which a dead entry counts nowhere any more.
const GONE_WITHIN_MS: u64 = 30_000;

fn address(index: usize) -> EntryAddress {
    let port = u16::try_from(1_000 + index).expect("a test has fewer entries");
    EntryAddress {
        incarnation: Incarnation(1 + index as u64),
        inbox: SocketAddr::from(([10, 0, 0, 1], port)),
        http: SocketAddr::from(([10, 0, 0, 2], port)),
    }
}

/// Entries that exchange what they know, some of whom can't hear some others.
struct Gossip {
    now: TimestampMs,
    entries: Vec<Membership>,
    due_ms: Vec<TimestampMs>,
    /// Neither ask nor answer.
    stopped: BTreeSet<usize>,
    /// From whom to whom nothing arrives.
    deaf: HashSet<(usize, usize)>,
    most_told: usize,
    messages: u64,
    full_messages: u64,
}

impl Gossip {
    /// All of them know the first one only.
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
            deaf: HashSet::new(),
            most_told: 0,
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

    fn round(&mut self, asker: usize) {
        for exchange in self.entries[asker].begin_round(self.now) {
            let number = exchange.peer.incarnation.0 - 1;
            let other = usize::try_from(number).expect("a small number");
            if self.tell(asker, other, exchange.is_full) {
                self.tell(other, asker, exchange.is_full);
            }
        }
    }

    fn tell(&mut self, from: usize, to: usize, is_full: bool) -> bool {
        let digest = self.entries[from].digest(is_full, self.now);
        if !is_full {
            self.most_told = self.most_told.max(digest.len());
        }
        self.full_messages += u64::from(is_full);
        self.messages += 1;
        let arrives = !self.deaf.contains(&(from, to)) && !self.stopped.contains(&to);
        if arrives {
            self.entries[to].merge(&digest, self.now);
        }
        arrives
    }

    fn cut(&mut self, apart: &BTreeSet<usize>) {
        for left in 0..self.entries.len() {
            for right in 0..self.entries.len() {
                if apart.contains(&left) != apart.contains(&right) {
                    self.deaf.insert((left, right));
                }
            }
        }
    }

    fn knows(&self, knower: usize, known: usize) -> bool {
        self.entries[knower]
            .live(self.now)
            .contains(&address(known))
    }

    /// How many pairs of running entries do not count each other as live.
    fn unknown_pairs(&self) -> usize {
        let running: Vec<usize> = (0..self.entries.len())
            .filter(|index| !self.stopped.contains(index))
            .collect();
        let unknown = |knower: &usize| {
            let live = self.entries[*knower].live(self.now);
            let live: HashSet<EntryAddress> = live.into_iter().collect();
            let known = |known: &&usize| live.contains(&address(**known));
            running.len() - running.iter().filter(known).count()
        };
        running.iter().map(unknown).sum()
    }

    fn anybody_knows(&self, known: usize) -> bool {
        (0..self.entries.len())
            .filter(|knower| *knower != known && !self.stopped.contains(knower))
            .any(|knower| self.knows(knower, known))
    }
}

cases! {
    entries_that_know_one_come_to_know_all => {
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

    a_live_entry_is_never_taken_for_dead_on_calm_days => {
        let mut gossip = Gossip::new(200);
        gossip.run_for(KNOWN_WITHIN_200_MS);
        for second in 0..90 {
            gossip.run_for(1_000);
            assert_eq!(gossip.unknown_pairs(), 0, "after {second} s");
        }
    }

    what_an_entry_says_does_not_grow_with_the_fleet => {
        let told = |count: usize| {
            let mut gossip = Gossip::new(count);
            gossip.run_for(60_000);
            let each = |messages: u64| messages / count as u64;
            (gossip.most_told, each(gossip.messages), each(gossip.full_messages))
        };
        let (small, large) = (told(40), told(200));
        assert_eq!(small.0, large.0);
        assert!(large.1 <= small.1 * 11 / 10, "{small:?} {large:?} messages an entry");
        // One of all members each ten seconds, and the answer to another's.
        assert!(large.2 <= 13, "{large:?}");
    }

    a_dead_entry_counts_nowhere_after_a_while_and_stays_gone => {
        let mut gossip = Gossip::new(35);
        gossip.run_for(KNOWN_WITHIN_MS);
        gossip.stopped.insert(9);
        gossip.run_for(GONE_WITHIN_MS);
        for second in 0..120 {
            assert!(!gossip.anybody_knows(9), "{second} s later it counts again");
            gossip.run_for(1_000);
        }
    }

    // A fifth of the entries can't reach the others.
    both_sides_of_a_cut_know_each_other_again_when_it_heals => {
        let mut gossip = Gossip::new(35);
        gossip.run_for(KNOWN_WITHIN_MS);
        let apart: BTreeSet<usize> = (0..7).collect();
        gossip.cut(&apart);
        gossip.run_for(GONE_WITHIN_MS);
        assert!(!gossip.knows(20, 3) && !gossip.knows(3, 20));
        assert!(gossip.knows(20, 30) && gossip.knows(3, 5));
        gossip.deaf.clear();
        gossip.run_for(KNOWN_WITHIN_MS);
        assert_eq!(gossip.unknown_pairs(), 0);
    }

    // Shorter than the time after which a silent entry counts as dead.
    a_short_cut_of_a_fifth_makes_nobody_dead => {
        let mut gossip = Gossip::new(35);
        gossip.run_for(KNOWN_WITHIN_MS);
        gossip.cut(&(0..7).collect());
        gossip.run_for(6_000);
        assert_eq!(gossip.unknown_pairs(), 0);
        gossip.deaf.clear();
        for _ in 0..30 {
            gossip.run_for(1_000);
            assert_eq!(gossip.unknown_pairs(), 0);
        }
    }

    an_entry_that_can_be_heard_through_others_lives => {
        let mut gossip = Gossip::new(12);
        gossip.run_for(KNOWN_WITHIN_MS);
        gossip.deaf.insert((4, 5));
        gossip.deaf.insert((5, 4));
        for _ in 0..60 {
            gossip.run_for(1_000);
            assert!(gossip.knows(4, 5) && gossip.knows(5, 4));
        }
    }

    // Its answers still come, its questions don't arrive.
    a_one_way_silence_makes_nobody_dead => {
        let mut gossip = Gossip::new(12);
        gossip.run_for(KNOWN_WITHIN_MS);
        for other in 0..6 {
            gossip.deaf.insert((8, other));
        }
        for _ in 0..60 {
            gossip.run_for(1_000);
            assert_eq!(gossip.unknown_pairs(), 0);
        }
    }

    a_frozen_entry_that_wakes_is_back_and_forgets_nobody => {
        let mut gossip = Gossip::new(20);
        gossip.run_for(KNOWN_WITHIN_MS);
        gossip.stopped.insert(7);
        gossip.run_for(GONE_WITHIN_MS);
        assert!(!gossip.anybody_knows(7));
        gossip.stopped.remove(&7);
        gossip.run_for(ROUND_MS);
        assert_eq!(gossip.entries[7].live(gossip.now).len(), 20, "it took all others for dead");
        gossip.run_for(KNOWN_WITHIN_MS);
        assert_eq!(gossip.unknown_pairs(), 0);
    }

    // Others go on telling of it for a while.
    a_departed_entry_never_comes_back => {
        let mut gossip = Gossip::new(20);
        gossip.run_for(KNOWN_WITHIN_MS);
        gossip.entries[5].leave();
        gossip.round(5);
        gossip.stopped.insert(5);
        gossip.run_for(GONE_WITHIN_MS);
        for _ in 0..60 {
            assert!(!gossip.anybody_knows(5));
            gossip.run_for(1_000);
        }
    }

    an_entry_that_hears_good_bye_drops_it_at_once => {
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
}
