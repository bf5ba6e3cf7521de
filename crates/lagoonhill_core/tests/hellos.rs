//! Hellos between a real agent and a real entry, packet by packet.

use std::net::SocketAddr;

use lagoonhill_core::Timing;
use lagoonhill_core::agent::{Agent, AgentConfig, AgentEffect};
use lagoonhill_core::entry::{Entry, EntryConfig, EntryEffect, LeastExpectedFinish};
use lagoonhill_protocol::{EntryAddress, Hello, Packet, SessionId};
use lagoonhill_types::prelude::*;

/// Defines one test for each named case.
macro_rules! cases {
    ($($name:ident => $body:block)+) => {
        $(#[test] fn $name() $body)+
    };
}

const BEGAN: TimestampMs = TimestampMs(1_000_000);

/// Longer than an entry waits for an agent that does not answer.
const LONG_MS: u64 = 20_000;

struct Pair {
    entry: Entry<LeastExpectedFinish>,
    agent: Agent,
    now: TimestampMs,
}

impl Pair {
    fn new() -> Self {
        let address = EntryAddress {
            incarnation: Incarnation(1),
            inbox: SocketAddr::from(([127, 0, 0, 1], 1)),
            http: SocketAddr::from(([127, 0, 0, 1], 2)),
        };
        let placement = LeastExpectedFinish::with_seed(1);
        let entry = Entry::new(EntryConfig::new(address), placement, BEGAN);
        let config = AgentConfig {
            incarnation: Incarnation(2),
            worker: "worker".parse().expect("the name is valid"),
            zone: "zone".parse().expect("the name is valid"),
            inbox: SocketAddr::from(([127, 0, 0, 1], 3)),
            overcommit: 8,
            timing: Timing::default(),
        };
        let mut agent = Agent::new(config, BEGAN);
        agent.add_entries(&[address], BEGAN);
        Self {
            entry,
            agent,
            now: BEGAN,
        }
    }

    /// Advances time for the entry alone; the packets it sends are lost.
    fn entry_waits(&mut self, length_ms: u64) {
        for _ in 0..length_ms / 20 {
            self.now = self.now + DurationMs(20);
            self.entry.tick(self.now);
            self.entry.poll_effects(self.now);
        }
    }

    /// The hellos that the agent sends now.
    fn hellos(&mut self) -> Vec<Hello> {
        self.agent.tick(self.now);
        let effects = self.agent.poll_effects(self.now);
        effects
            .into_iter()
            .filter_map(|effect| match effect {
                AgentEffect::Send {
                    packet: Packet::Hello(hello),
                    ..
                } => Some(hello),
                _ => None,
            })
            .collect()
    }

    /// Delivers a hello to the entry and returns the packets that it sends.
    fn deliver_hello(&mut self, hello: Hello) -> Vec<Packet> {
        self.entry.receive(Packet::Hello(hello), self.now);
        let effects = self.entry.poll_effects(self.now);
        effects
            .into_iter()
            .filter_map(|effect| match effect {
                EntryEffect::Send { packet, .. } => Some(packet),
                _ => None,
            })
            .collect()
    }
}

fn welcome_session(packets: &[Packet]) -> Option<SessionId> {
    packets.iter().find_map(|packet| match packet {
        Packet::Welcome(welcome) => Some(welcome.session),
        _ => None,
    })
}

// Guard against a session that is opened twice. Found by the soak, seed 1 of 36 s
// beside a hunt: packets to one agent were delayed by two seconds. An entry
// abandoned the session, received another hello for it and opened it again. The
// delayed frames of the first opening then used the sequence numbers of later
// starts, which the agent dropped as repeated. One of these was of a durable job,
// which never ended.
cases! {
    an_abandoned_session_is_never_reopened => {
        let mut pair = Pair::new();
        let first = pair.hellos().remove(0);
        assert_eq!(welcome_session(&pair.deliver_hello(first.clone())), Some(first.session));
        pair.entry_waits(LONG_MS);
        let answers = pair.deliver_hello(first.clone());
        assert_eq!(welcome_session(&answers), None, "the session was opened a second time");
        for packet in answers {
            pair.agent.receive(packet, pair.now);
        }
        let next = pair.hellos().remove(0);
        assert_ne!(next.session, first.session, "the agent requests the same session");
        assert_eq!(welcome_session(&pair.deliver_hello(next.clone())), Some(next.session));
    }

    // Load pattern: the whole fleet has just started, agents before their entries.
    an_entry_that_starts_after_its_agent_gets_a_hello_soon => {
        let mut pair = Pair::new();
        let mut hellos = 0;
        let started = pair.now;
        while pair.now.since(started) < Timing::default().hello_interval_ms {
            hellos += pair.hellos().len();
            pair.now = pair.now + DurationMs(20);
        }
        assert!(hellos >= 4, "{hellos} hellos in one interval");
    }

    an_agent_that_forgot_its_entry_does_not_request_an_old_session => {
        let mut pair = Pair::new();
        let first = pair.hellos().remove(0);
        assert_eq!(welcome_session(&pair.deliver_hello(first.clone())), Some(first.session));
        let known: Vec<EntryAddress> = pair.agent.entries().map(|(known, _)| *known).collect();
        pair.now = pair.now + Timing::default().forget_entry_ms;
        pair.agent.tick(pair.now);
        assert_eq!(pair.agent.entries().count(), 0, "the silent entry is still known");
        pair.agent.poll_effects(pair.now);
        pair.agent.add_entries(&known, pair.now);
        let next = pair.hellos().remove(0);
        assert_ne!(next.session, first.session, "the agent requests the same session");
    }
}
