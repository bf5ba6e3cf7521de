//! Greetings between a real agent and a real entry, packet by packet.

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

    /// Lets time pass for the entry alone; what it sends is lost.
    fn entry_waits(&mut self, length_ms: u64) {
        for _ in 0..length_ms / 20 {
            self.now = self.now + DurationMs(20);
            self.entry.tick(self.now);
            self.entry.poll_effects(self.now);
        }
    }

    /// The greetings that the agent sends now.
    fn greetings(&mut self) -> Vec<Hello> {
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

    /// What the entry sends when it is greeted.
    fn greet(&mut self, hello: Hello) -> Vec<Packet> {
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

fn welcomed(packets: &[Packet]) -> Option<SessionId> {
    packets.iter().find_map(|packet| match packet {
        Packet::Welcome(welcome) => Some(welcome.session),
        _ => None,
    })
}

// Found by the soak, seed 1 of 36 s beside a hunt: what went to one agent was
// held for two seconds. An entry gave the session up, was greeted for it once
// more and opened it anew; the held frames of the first opening then used the
// numbers of later orders, which the agent dropped as repeated. One of them was
// of a kept job, which never ended.
cases! {
    a_session_that_was_given_up_is_never_opened_again => {
        let mut pair = Pair::new();
        let first = pair.greetings().remove(0);
        assert_eq!(welcomed(&pair.greet(first.clone())), Some(first.session));
        pair.entry_waits(LONG_MS);
        let answers = pair.greet(first.clone());
        assert_eq!(welcomed(&answers), None, "the session was opened a second time");
        for packet in answers {
            pair.agent.receive(packet, pair.now);
        }
        let next = pair.greetings().remove(0);
        assert_ne!(next.session, first.session, "the agent asks for the same session");
        assert_eq!(welcomed(&pair.greet(next.clone())), Some(next.session));
    }

    // Load pattern: everything has just started, agents before their entries.
    an_entry_that_starts_after_its_agent_is_greeted_soon => {
        let mut pair = Pair::new();
        let mut greetings = 0;
        let began = pair.now;
        while pair.now.since(began) < Timing::default().hello_interval_ms {
            greetings += pair.greetings().len();
            pair.now = pair.now + DurationMs(20);
        }
        assert!(greetings >= 4, "{greetings} greetings in one interval");
    }

    an_agent_that_forgot_its_entry_does_not_ask_for_an_old_session => {
        let mut pair = Pair::new();
        let first = pair.greetings().remove(0);
        assert_eq!(welcomed(&pair.greet(first.clone())), Some(first.session));
        let known: Vec<EntryAddress> = pair.agent.entries().map(|(known, _)| *known).collect();
        pair.now = pair.now + Timing::default().forget_entry_ms;
        pair.agent.tick(pair.now);
        assert_eq!(pair.agent.entries().count(), 0, "the silent entry is still known");
        pair.agent.poll_effects(pair.now);
        pair.agent.add_entries(&known, pair.now);
        let next = pair.greetings().remove(0);
        assert_ne!(next.session, first.session, "the agent asks for the same session");
    }
}
