//! The agent: slots, start leases, withdrawn tasks, and leaving.

mod support;

use std::net::SocketAddr;

use lagoonhill_core::Timing;
use lagoonhill_core::agent::{Agent, AgentConfig, AgentEffect};
use lagoonhill_core::entry::LeastExpectedFinish;
use lagoonhill_protocol::{
    EntryAddress, Feature, Frame, HeldRun, Interruption, Load, LossId, Message, Packet,
    RulesUpdate, Sequence, SessionId, Start, Target, TargetAnswered, TargetIncarnation, TargetLoss,
    TaskResult, Welcome,
};
use lagoonhill_standin::{FaultPoint, NodeId, World};
use lagoonhill_types::prelude::*;
use support::{OutcomeChecker, config, is_complete, job, world};

const ENTRY: NodeId = NodeId::Entry(0);
const AGENT: NodeId = NodeId::Agent(0);

/// Defines one test for each named case.
macro_rules! cases {
    ($($name:ident => $body:block)+) => {
        $(#[test] fn $name() $body)+
    };
}

fn starts(world: &support::TestWorld) -> u32 {
    world.starts.values().sum()
}

cases! {
    never_runs_more_than_its_slots => {
        let mut config = config(3, 1, 1);
        config.look_ahead = 4;
        let mut world = world(&config);
        (0..3).for_each(|entry| {
            world.submit(entry, job(&format!("job{entry}"), 6, 100));
        });
        for _ in 0..100 {
            world.run_for(10);
            let running = world.agent(0).map_or(0, Agent::running);
            assert!(running <= config.slots, "{running} tasks run on {} slots", config.slots);
        }
    }

    frozen_past_the_lease_starts_nothing_from_its_buffers => {
        let config = config(1, 1, 2);
        let mut world = world(&config);
        let submission = job("stale", 1, 50);
        let mut checker = OutcomeChecker::default();
        let caller = world.submit(0, submission.clone());
        checker.watch(caller, &submission);
        assert!(world.run_until_reached(FaultPoint::Sent, 100));
        world.freeze(AGENT, 4_500);
        world.run_for(4_400);
        assert_eq!(starts(&world), 0);
        world.run_for(200);
        let started = world.started_ms.values().next().copied();
        let refused = started.is_none_or(|at_ms| at_ms > world.now());
        assert!(refused || starts(&world) == 1, "a start was carried out after its lease expired");
        world.run_for(10_000);
        checker.assert_no_violations(&world);
    }

    reports_not_run_for_a_start_whose_lease_expired => {
        let config = config(1, 1, 2);
        let mut world = world(&config);
        world.record_decisions = true;
        world.submit(0, job("stale", 1, 50));
        assert!(world.run_until_reached(FaultPoint::Sent, 100));
        world.freeze(AGENT, 4_500);
        world.run_for(6_000);
        let moved = world.decisions.iter().any(|decision| decision.to_string().contains("lease had expired"));
        assert!(moved, "the start whose lease had expired was not refused");
    }

    frozen_within_the_lease_starts_buffered_tasks => {
        let mut world = world(&config(1, 1, 3));
        let caller = world.submit(0, job("late", 1, 50));
        assert!(world.run_until_reached(FaultPoint::Sent, 100));
        world.freeze(AGENT, 1_000);
        world.run_for(3_000);
        assert!(is_complete(&world, caller));
        assert_eq!(starts(&world), 1);
    }

    cancelled_waiting_tasks_never_start => {
        let mut config = config(1, 1, 4);
        config.look_ahead = 4;
        let mut world = world(&config);
        let caller = world.submit(0, job("wave", 6, 500));
        world.run_for(50);
        assert_eq!(starts(&world), 2);
        assert_eq!(world.agent(0).map(Agent::held), Some(6));
        world.abandon(caller);
        world.run_for(5_000);
        assert_eq!(starts(&world), 2, "a withdrawn task was started");
        assert_eq!(world.agent(0).map(Agent::held), Some(0));
    }

    leaving_refuses_starts_in_flight => {
        let mut world = world(&config(1, 1, 5));
        // Messages of the first frames that were dropped by reordering are resent.
        world.run_for(2_000);
        // The entry does not receive the agent's leave message.
        world.silence(AGENT, ENTRY);
        world.with_agent(0, Agent::leave);
        world.submit(0, job("under-way", 1, 50));
        assert!(world.run_until_reached(FaultPoint::Received, 500), "the start did not arrive");
        world.run_for(500);
        assert_eq!(starts(&world), 0, "a leaving agent started new work");
    }

    leaving_finishes_running_tasks_and_delivers_their_results => {
        let mut config = config(1, 1, 6);
        // A reordered result would be delayed by a second until it is resent.
        config.network.jitter_ms = 0;
        let mut world = world(&config);
        let caller = world.submit(0, job("running", 2, 800));
        world.run_for(50);
        world.with_agent(0, Agent::leave);
        world.run_for(1_500);
        assert!(is_complete(&world, caller));
    }

    a_leaving_target_gets_nothing_new_after_two_seconds => {
        let mut world = world(&config(2, 2, 7));
        for round in 0..20 {
            world.submit(round % 2, job(&format!("before{round}"), 2, 100));
            world.run_for(50);
        }
        world.with_agent(0, |agent, now| agent.set_target(None, now));
        world.run_for(2_000);
        let before = world.starts_at[0];
        for round in 0..40 {
            world.submit(round % 2, job(&format!("after{round}"), 2, 100));
            world.run_for(100);
        }
        assert_eq!(world.starts_at[0], before);
        assert!(world.starts_at[1] > 40);
    }

    a_full_agent_returns_tasks_unstarted => {
        let config = config(4, 1, 8);
        let mut world = world(&config);
        for entry in 0..4 {
            world.submit(entry, job(&format!("flood{entry}"), 40, 300));
        }
        for _ in 0..50 {
            world.run_for(20);
            let held = world.agent(0).map_or(0, Agent::held);
            assert!(held <= usize::from(config.slots) + 8, "{held} tasks are held");
        }
    }

    a_target_announced_during_the_hello_gets_work => {
        let mut config = config(1, 1, 10);
        config.network.jitter_ms = 0;
        let mut world = World::new(&config, |_| LeastExpectedFinish::with_seed(1));
        let target = world.agent(0).and_then(|agent| agent.target().cloned());
        world.partition(AGENT, ENTRY);
        world.with_agent(0, |agent, now| agent.set_target(None, now));
        world.run_for(100);
        world.heal(AGENT, ENTRY);
        let is_known = |world: &support::TestWorld| {
            world.entry(0).is_some_and(|entry| !entry.status().workers.is_empty())
        };
        while !is_known(&world) {
            world.run_for(1);
        }
        // The welcome is still in flight.
        world.with_agent(0, |agent, now| agent.set_target(target, now));
        world.run_for(500);
        let caller = world.submit(0, job("served", 1, 10));
        world.run_for(500);
        assert!(is_complete(&world, caller));
    }

    an_entry_is_forgotten_after_its_leave_message => {
        let mut world = world(&config(2, 1, 9));
        world.with_entry(1, |entry, _| {
            entry.leave();
            entry.send_leave();
        });
        world.run_for(100);
        world.kill(NodeId::Entry(1));
        world.run_for(60_000);
        let known = world.agent(0).map_or(0, |agent| agent.entries().count());
        assert_eq!(known, 1);
    }
}

/// An agent with one open session, fed packet by packet.
struct AgentHarness {
    agent: Agent,
    session: SessionId,
    sent: u64,
}

const ADDRESS: ([u8; 4], u16) = ([127, 0, 0, 1], 1);

impl AgentHarness {
    /// Opens the session at `now`; its welcome takes `delay_ms` to arrive.
    fn new(now: TimestampMs, delay_ms: u64) -> Self {
        let (entry, agent) = (Incarnation(1), Incarnation(2));
        let address = SocketAddr::from(ADDRESS);
        let config = AgentConfig {
            incarnation: agent,
            worker: "worker".parse().expect("the name is valid"),
            zone: "zone".parse().expect("the name is valid"),
            inbox: address,
            overcommit: 8,
            timing: Timing::default(),
        };
        let mut agent_machine = Agent::new(config, now);
        let target = Target {
            service: support::service(),
            address,
            slots: SlotCount(4),
            connections: 4,
            capacity: Resources::default(),
            labels: Vec::new(),
        };
        agent_machine.set_target(Some(target), now);
        let known = EntryAddress {
            incarnation: entry,
            inbox: address,
            http: address,
        };
        agent_machine.add_entries(&[known], now);
        let session = SessionId {
            entry,
            agent,
            number: 1,
        };
        let welcome = Welcome {
            session,
            sent_ms: now,
            echo_ms: now,
            heartbeat_ms: DurationMs(2_000),
            rules_revision: Revision(0),
            entries: Vec::new(),
        };
        agent_machine.receive(Packet::Welcome(welcome), now + DurationMs(delay_ms));
        Self {
            agent: agent_machine,
            session,
            sent: 0,
        }
    }

    /// Delivers a frame that echoes the agent's send time `echo_ms`.
    fn frame(&mut self, start: Option<Start>, echo_ms: TimestampMs, now: TimestampMs) {
        self.delayed_frame(start, echo_ms, now, now);
    }

    /// As [`Self::frame`], for a frame that the entry sent at `sent_ms`.
    fn delayed_frame(
        &mut self,
        start: Option<Start>,
        echo_ms: TimestampMs,
        sent_ms: TimestampMs,
        now: TimestampMs,
    ) {
        let messages = start.into_iter().map(Message::Start).collect();
        self.deliver(messages, echo_ms, sent_ms, now);
    }

    fn deliver(
        &mut self,
        messages: Vec<Message>,
        echo_ms: TimestampMs,
        sent_ms: TimestampMs,
        now: TimestampMs,
    ) {
        let first = Sequence(self.sent + 1);
        self.sent += messages.len() as u64;
        let frame = Frame {
            session: self.session,
            reply_to: SocketAddr::from(ADDRESS),
            sent_ms,
            echo_ms,
            ack: Sequence(0),
            first,
            rules_revision: Revision(0),
            load: Load::default(),
            ping: 0,
            messages,
        };
        self.agent.receive(Packet::Frame(frame), now);
    }

    fn effects(&mut self, now: TimestampMs) -> Vec<AgentEffect> {
        self.agent.poll_effects(now)
    }
}

fn start_message(now: TimestampMs) -> Start {
    Start {
        task: TaskId::default(),
        decided_ms: now,
        run_limit_ms: DurationMs(10_000),
        nominal_ms: DurationMs(100),
        is_learned: true,
        needs: Resources::default(),
        run: RunNumber(1),
        durable: false,
        name: None,
        payload: Payload::default(),
    }
}

fn count_runs(effects: &[AgentEffect]) -> usize {
    let is_run = |effect: &&AgentEffect| matches!(effect, AgentEffect::Run { .. });
    effects.iter().filter(is_run).count()
}

fn count_stops(effects: &[AgentEffect]) -> usize {
    let is_stop = |effect: &&AgentEffect| matches!(effect, AgentEffect::Stop { .. });
    effects.iter().filter(is_stop).count()
}

fn sends_ping(effects: &[AgentEffect]) -> bool {
    effects.iter().any(|effect| {
        matches!(effect, AgentEffect::Send { packet: Packet::Frame(frame), .. } if frame.ping > 0)
    })
}

// Guard against a task that runs twice at the same time. Found on the grown
// Grawys deployment, trouble-1, seed of the standard day, at 33.41 s: every entry
// sent a thousand new queues to every agent, which filled the small links. The
// path was slow from the hello on, so the age of a start was underestimated, and
// the agent carried it out after the entry had abandoned the worker.
cases! {
    a_delayed_start_waits_for_its_entry_to_confirm => {
        let opened = TimestampMs(1_000_000);
        let mut harness = AgentHarness::new(opened, 3_000);
        let now = opened + DurationMs(9_000);
        harness.frame(Some(start_message(now)), opened, now);
        let effects = harness.effects(now);
        assert_eq!(count_runs(&effects), 0, "an unconfirmed start was carried out");
        assert!(sends_ping(&effects), "the agent did not ping the entry");
        let answered = now + DurationMs(5);
        harness.frame(None, now, answered);
        assert_eq!(count_runs(&harness.effects(answered)), 1, "a confirmed start was not carried out");
    }

    an_unconfirmed_start_is_returned_unstarted => {
        let opened = TimestampMs(1_000_000);
        let mut harness = AgentHarness::new(opened, 1);
        let now = opened + DurationMs(9_000);
        harness.frame(Some(start_message(now)), opened, now);
        harness.agent.tick(now + DurationMs(4_500));
        assert_eq!(harness.agent.held(), 0);
        assert_eq!(count_runs(&harness.effects(now + DurationMs(4_500))), 0);
    }

    runs_are_stopped_when_only_old_packets_arrive => {
        let opened = TimestampMs(1_000_000);
        let mut harness = AgentHarness::new(opened, 1);
        harness.frame(Some(start_message(opened)), opened, opened);
        assert_eq!(count_runs(&harness.effects(opened)), 1);
        for second in 1..=9 {
            let now = opened + DurationMs(second * 1_000);
            harness.frame(None, opened, now);
            harness.agent.tick(now);
            assert_eq!(count_stops(&harness.effects(now)), 0, "the run was stopped within the run lease");
        }
        let expired = opened + DurationMs(10_001);
        harness.frame(None, opened, expired);
        harness.agent.tick(expired);
        assert_eq!(count_stops(&harness.effects(expired)), 1, "the run was not stopped after the run lease");
    }

    // An agent that was frozen before it read its welcome takes the five seconds
    // that all packets spent in the buffer for the normal network delay.
    a_start_buffered_together_with_its_welcome_is_not_started => {
        let opened = TimestampMs(1_000_000);
        let mut harness = AgentHarness::new(opened, 5_300);
        let resumed = opened + DurationMs(5_301);
        let decided = opened + DurationMs(100);
        harness.delayed_frame(Some(start_message(decided)), opened, decided, resumed);
        assert_eq!(count_runs(&harness.effects(resumed)), 0, "an outdated start was carried out");
    }
}

fn incarnation(born_ms: u64) -> TargetIncarnation {
    TargetIncarnation {
        name: "target".parse().expect("the name is valid"),
        born_ms,
    }
}

/// What an agent sends to an entry, with or without an announced feature, when its target
/// is lost under a run and answers again.
fn messages_after_a_loss(feature: Option<Feature>) -> Vec<Message> {
    let now = TimestampMs(1_000_000);
    let mut harness = AgentHarness::new(now, 1);
    let announced = feature.map(RulesUpdate::of_feature).map(Message::Rules);
    let start = Message::Start(start_message(now));
    let messages = announced.into_iter().chain([start]).collect();
    harness.deliver(messages, now, now, now);
    let run = harness
        .effects(now)
        .into_iter()
        .find_map(|effect| match effect {
            AgentEffect::Run { key, .. } => Some(key),
            _ => None,
        });
    let loss = TargetLoss {
        held: HeldRun::Confirmed {
            before_last_start_ms: DurationMs(7),
            age_ms: DurationMs(8),
            unseen_ms: DurationMs(0),
        },
        unresolved: Some(LossId {
            number: 1,
            incarnation: incarnation(5),
        }),
    };
    let result = TaskResult::Interrupted(Interruption::TargetLost(loss).to_string());
    harness
        .agent
        .finished(run.expect("the task has started"), result, now);
    harness.agent.target_answered(TargetAnswered {
        losses: 1,
        crashes: Vec::new(),
        incarnation: incarnation(5),
    });
    let frames = harness
        .effects(now)
        .into_iter()
        .filter_map(|effect| match effect {
            AgentEffect::Send {
                packet: Packet::Frame(frame),
                ..
            } => Some(frame.messages),
            _ => None,
        });
    frames.flatten().collect()
}

fn interruption_in(messages: &[Message]) -> Option<Interruption> {
    messages.iter().find_map(|message| match message {
        Message::Outcome(outcome) => match &outcome.result {
            TaskResult::Interrupted(why) => Some(Interruption::from(why.as_str())),
            _ => None,
        },
        _ => None,
    })
}

// Guards against an entry of an earlier release that can't decode what an agent sends, or
// that counts no crash.
cases! {
    an_entry_that_has_not_announced_it_is_told_of_no_loss => {
        let messages = messages_after_a_loss(None);
        let crash = Interruption::TargetCrashed { before_last_start_ms: DurationMs(7) };
        assert_eq!(interruption_in(&messages), Some(crash));
        let is_answer = |message: &Message| matches!(message, Message::TargetAnswered(_));
        assert!(!messages.iter().any(is_answer), "{messages:?}");
    }

    an_entry_that_has_announced_it_is_told_of_losses_and_answers => {
        let messages = messages_after_a_loss(Some(Feature::TargetLosses));
        let Some(Interruption::TargetLost(loss)) = interruption_in(&messages) else {
            panic!("{messages:?}");
        };
        assert_eq!(loss.unresolved.map(|loss| loss.number), Some(1));
        let is_answer = |message: &Message| matches!(message, Message::TargetAnswered(_));
        assert!(messages.iter().any(is_answer), "{messages:?}");
    }
}
