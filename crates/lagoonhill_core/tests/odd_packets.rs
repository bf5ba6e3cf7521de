//! Packets whose numbers are far out of range: of another program that speaks the
//! format, or damaged on the way. Sums of received sequence numbers, clocks, loads and
//! durations must not overflow: the control thread ends on a panic with debug
//! assertions, and counts wrong without.

use std::net::SocketAddr;

use lagoonhill_core::agent::{Agent, AgentConfig, AgentEffect};
use lagoonhill_core::entry::{CallerId, Entry, EntryConfig, EntryEffect, LeastExpectedFinish};
use lagoonhill_core::{FrameHeader, Heartbeat, Session, Timing};
use lagoonhill_protocol::{
    EntryAddress, Frame, Hello, Load, Message, Outcome, Packet, RulesUpdate, Sequence, SessionId,
    Speed, Start, Target, TaskResult, Welcome,
};
use lagoonhill_rules::{RuleSet, parse_rules};
use lagoonhill_types::prelude::*;
use quickcheck::{Gen, QuickCheck};

/// Defines one test for each named case.
macro_rules! cases {
    ($($name:ident => $body:block)+) => {
        $(#[test] fn $name() $body)+
    };
}

const START: TimestampMs = TimestampMs(1_000_000);

const RULES: &str = "\
service dispatch deadline=20s run-time=100ms run-limit=20s  # tests
team parents class=rush  # tests
";

const NUMBERS: [u64; 14] = [
    0,
    1,
    2,
    3,
    900,
    65_535,
    1 << 31,
    u32::MAX as u64,
    1 << 40,
    i64::MAX as u64,
    1 << 63,
    u64::MAX - 1,
    u64::MAX,
    1_000_100,
];

/// Takes numbers from random bytes; zeros once these are used up.
struct Numbers {
    bytes: std::vec::IntoIter<u8>,
}

impl Numbers {
    fn large(&mut self) -> u64 {
        NUMBERS[usize::from(self.bytes.next().unwrap_or(0)) % NUMBERS.len()]
    }

    /// The lower half of a number, or its largest value.
    fn medium(&mut self) -> u32 {
        u32::try_from(self.large()).unwrap_or(u32::MAX)
    }

    fn small(&mut self) -> u16 {
        u16::try_from(self.large()).unwrap_or(u16::MAX)
    }

    fn resources(&mut self) -> Resources {
        Resources {
            processors: MilliProcessors(self.medium()),
            memory_bytes: ByteCount(self.large()),
            accelerators: self.small(),
        }
    }

    fn target(&mut self) -> Target {
        Target {
            service: "dispatch".parse().expect("the name should be valid"),
            address: address(9),
            slots: SlotCount(self.small()),
            connections: self.small(),
            capacity: self.resources(),
            labels: Vec::new(),
        }
    }

    fn task(&mut self) -> TaskId {
        let job = JobId {
            entry: Incarnation(1),
            number: self.large(),
        };
        TaskId {
            job,
            index: TaskIndex(self.small()),
        }
    }

    fn load(&mut self) -> Load {
        Load {
            total_tasks: self.small(),
            receiver_tasks: self.small(),
            total_processors: MilliProcessors(self.medium()),
            receiver_processors: MilliProcessors(self.medium()),
            overdue: self.small(),
            failed_jobs: self.small(),
            speed: Speed {
                slowness_permille: self.medium(),
                runs: self.small(),
            },
        }
    }

    fn message(&mut self) -> Message {
        match self.small() % 9 {
            0 => Message::Start(Start {
                task: self.task(),
                decided_ms: TimestampMs(self.large()),
                run_limit_ms: DurationMs(self.large()),
                nominal_ms: DurationMs(self.large()),
                is_learned: self.small() == 0,
                needs: self.resources(),
                run: RunNumber(self.medium()),
                durable: self.small() == 0,
                name: None,
                payload: Payload::default(),
            }),
            1 => Message::Outcome(Outcome {
                task: self.task(),
                run_ms: DurationMs(self.large()),
                result: TaskResult::Done(Payload::default()),
            }),
            2 => Message::CancelJob(self.task().job),
            3 => Message::Withdraw(self.task()),
            4 => Message::EndsStored(vec![self.task()]),
            5 => Message::Target(Some(self.target())),
            6 => Message::Rules(RulesUpdate {
                from: Revision(self.large()),
                to: Revision(self.large()),
                set: vec![RULES.lines().next().unwrap_or_default().to_owned()],
                removed: vec!["queue".to_owned()],
            }),
            7 => Message::Entries(vec![EntryAddress {
                incarnation: Incarnation(self.large()),
                inbox: address(0),
                http: address(0),
            }]),
            _ => Message::EndsDiscarded(vec![self.task()]),
        }
    }

    /// A frame whose messages are often the next in order.
    fn frame(&mut self, session: SessionId, next: &mut u64) -> Frame {
        let is_next = self.small() < 3;
        let messages: Vec<Message> = (0..self.small() % 3).map(|_| self.message()).collect();
        let first = if is_next { *next } else { self.large() };
        if is_next {
            *next += messages.len() as u64;
        }
        Frame {
            session,
            reply_to: address(7),
            sent_ms: TimestampMs(self.large()),
            echo_ms: TimestampMs(self.large()),
            ack: Sequence(self.large()),
            first: Sequence(first),
            rules_revision: Revision(self.large()),
            load: self.load(),
            ping: u8::try_from(self.small()).unwrap_or(u8::MAX),
            messages,
        }
    }
}

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

fn entry_address() -> EntryAddress {
    EntryAddress {
        incarnation: Incarnation(1),
        inbox: address(1),
        http: address(2),
    }
}

fn session_id(number: u32) -> SessionId {
    SessionId {
        entry: Incarnation(1),
        agent: Incarnation(2),
        number,
    }
}

fn session() -> Session {
    Session::new(session_id(1), Timing::default(), DurationMs(2_000), START)
}

fn frame() -> Frame {
    Frame {
        session: session_id(1),
        reply_to: address(7),
        sent_ms: START,
        echo_ms: TimestampMs(0),
        ack: Sequence(0),
        first: Sequence(1),
        rules_revision: Revision(0),
        load: Load::default(),
        ping: 0,
        messages: vec![Message::Leaving],
    }
}

fn rules() -> RuleSet {
    let lines = parse_rules(RULES).expect("the rules should be valid");
    RuleSet::new(Revision(1), lines)
}

fn job(text: &str) -> lagoonhill_core::entry::Submission {
    lagoonhill_core::entry::Submission {
        service: "dispatch".parse().expect("the name should be valid"),
        team: "parents".parse().expect("the name should be valid"),
        deadline_ms: None,
        waited_ms: DurationMs::ZERO,
        run_time_ms: None,
        needs: lagoonhill_core::entry::Needs::default(),
        tasks: vec![Payload::from(text.as_bytes().to_vec()); 3],
        durable: false,
        queued: None,
    }
}

#[allow(
    clippy::needless_pass_by_value,
    reason = "quickcheck passes arguments by value"
)]
fn an_entry_goes_on(bytes: Vec<u8>) -> bool {
    let mut numbers = Numbers {
        bytes: bytes.into_iter(),
    };
    let placement = LeastExpectedFinish::with_seed(1);
    let mut entry = Entry::new(EntryConfig::new(entry_address()), placement, START);
    entry.install_rules(rules(), START);
    let mut now = START;
    let mut next = [1; 2];
    for worker in 0..2_u64 {
        let session = SessionId {
            agent: Incarnation(worker + 2),
            ..session_id(1)
        };
        let hello = Hello {
            session,
            inbox: address(3),
            worker: format!("worker-{worker}")
                .parse()
                .expect("the name should be valid"),
            zone: "zone".parse().expect("the name should be valid"),
            target: Some(numbers.target()),
            leaving: false,
            sent_ms: TimestampMs(numbers.large()),
            rules_revision: Revision(numbers.large()),
        };
        entry.receive(Packet::Hello(hello), now);
    }
    entry.submit(CallerId(1), job("first"), now);
    for step in 0..40 {
        let agent = u64::from(numbers.small() % 2);
        let session = SessionId {
            agent: Incarnation(agent + 2),
            ..session_id(1)
        };
        let next = if agent == 0 {
            &mut next[0]
        } else {
            &mut next[1]
        };
        entry.receive(Packet::Frame(numbers.frame(session, next)), now);
        now = now + DurationMs(20);
        if step == 20 {
            entry.submit(CallerId(2), job("second"), now);
        }
        entry.tick(now);
        let effects = entry.poll_effects(now);
        assert!(effects.len() < 1_000, "{} effects", effects.len());
        drop::<Vec<EntryEffect>>(effects);
    }
    true
}

#[allow(
    clippy::needless_pass_by_value,
    reason = "quickcheck passes arguments by value"
)]
fn an_agent_goes_on(bytes: Vec<u8>) -> bool {
    let mut numbers = Numbers {
        bytes: bytes.into_iter(),
    };
    let config = AgentConfig {
        incarnation: Incarnation(2),
        worker: "worker".parse().expect("the name should be valid"),
        zone: "zone".parse().expect("the name should be valid"),
        inbox: address(3),
        overcommit: 8,
        timing: Timing::default(),
    };
    let mut now = START;
    let mut agent = Agent::new(config, now);
    agent.set_target(Some(numbers.target()), now);
    agent.add_entries(&[entry_address()], now);
    let hello = agent
        .poll_effects(now)
        .into_iter()
        .find_map(|effect| match effect {
            AgentEffect::Send {
                packet: Packet::Hello(hello),
                ..
            } => Some(hello),
            _ => None,
        });
    let session = hello.expect("the agent should send a hello").session;
    let welcome = Welcome {
        session,
        sent_ms: TimestampMs(numbers.large()),
        echo_ms: TimestampMs(numbers.large()),
        heartbeat_ms: DurationMs(numbers.large()),
        rules_revision: Revision(numbers.large()),
        entries: Vec::new(),
    };
    agent.receive(Packet::Welcome(welcome), now);
    let mut next = 1;
    let mut running = Vec::new();
    for step in 0..40 {
        agent.receive(Packet::Frame(numbers.frame(session, &mut next)), now);
        now = now + DurationMs(20);
        agent.tick(now);
        for effect in agent.poll_effects(now) {
            if let AgentEffect::Run { key, .. } = effect {
                running.push(key);
            }
        }
        if step % 4 == 3
            && let Some(key) = running.pop()
        {
            agent.finished(key, TaskResult::Done(Payload::default()), now);
        }
    }
    true
}

cases! {
    the_largest_sequence_number_is_no_next_message => {
        let mut session = session();
        let odd = Frame { first: Sequence(u64::MAX), ack: Sequence(u64::MAX), messages: vec![Message::Leaving; 3], ..frame() };
        assert!(session.receive(odd, START).is_empty());
        assert_eq!(session.receive(frame(), START), [Message::Leaving], "the stream goes on");
    }

    a_clock_out_of_range_ages_no_message => {
        for sent_ms in [u64::MAX, i64::MAX as u64, 0] {
            let mut session = session();
            session.receive(Frame { sent_ms: TimestampMs(sent_ms), ..frame() }, START);
            let later = START + DurationMs(5_000);
            for at in [0, 1, i64::MAX as u64, u64::MAX] {
                let _ = session.age(TimestampMs(at), later);
            }
            assert_eq!(session.receive(frame(), later), []);
        }
    }

    // A heartbeat would be due again after each one: frames without end.
    a_heartbeat_interval_of_zero_makes_no_endless_frames => {
        let mut session = session();
        session.set_heartbeat_interval(DurationMs(0));
        let header = FrameHeader {
            reply_to: address(7),
            rules_revision: Revision(0),
            load: Load::default(),
            heartbeat: Heartbeat::AtSessionInterval,
        };
        let later = START + DurationMs(60_000);
        let frames = std::iter::from_fn(|| session.poll_frame(header, later)).take(10).count();
        assert_eq!(frames, 1);
    }

    an_entry_goes_on_after_odd_packets => {
        QuickCheck::new()
            .rng(Gen::from_size_and_seed(900, 42))
            .tests(2_000)
            .quickcheck(an_entry_goes_on as fn(Vec<u8>) -> bool);
    }

    an_agent_goes_on_after_odd_packets => {
        QuickCheck::new()
            .rng(Gen::from_size_and_seed(900, 43))
            .tests(2_000)
            .quickcheck(an_agent_goes_on as fn(Vec<u8>) -> bool);
    }
}
