//! An agent, its leased target and entries that store the ends of its runs.

use std::collections::{BTreeMap, HashMap, HashSet, VecDeque};
use std::net::SocketAddr;

use lagoonhill_core::agent::{Agent, AgentConfig, AgentEffect, TaskKey};
use lagoonhill_core::leased::{
    Announcement, CallId, EndKind, EndedRun, FencingToken, LeaseTiming, LeasedEffect, LeasedRuns,
    Refusal, RunRef, TargetCall, TargetIncarnation, TargetReply, TargetTimeMs,
};
use lagoonhill_core::{FrameHeader, Heartbeat, Session, Timing};
use lagoonhill_protocol::{
    EntryAddress, Hello, Load, Message, Outcome, Packet, Reset, Start, Target, TaskResult, Welcome,
};
use lagoonhill_types::prelude::*;

const BEGAN: TimestampMs = TimestampMs(1_000_000);

const NAME: &str = "target";
const BORN_MS: u64 = 5;

/// Most ends that the target lists at a time.
const MAX_LISTED_ENDS: usize = 500;

/// Longest lease that the target grants.
const MAX_HOLD_MS: u64 = 1_000;

const SLOTS: u16 = 8;

/// Time after a lost session before its tasks start again: their runs are over.
const IN_DOUBT_MS: DurationMs = DurationMs(1_500);

/// The target: it runs each task for some milliseconds and lists the ends.
#[derive(Debug, Default)]
struct TargetModel {
    running: Vec<(RunRef, TimestampMs, EndKind)>,
    ended: BTreeMap<u64, EndedRun>,
    last_end: u64,
    lease_expires_ms: u64,
    /// The last end that was listed before the lease last expired.
    last_end_at_expiry: u64,
}

impl TargetModel {
    fn clock(now: TimestampMs) -> TargetTimeMs {
        TargetTimeMs(now.since(BEGAN).0 + 100)
    }

    fn end(&mut self, run: RunRef, kind: EndKind) {
        self.last_end += 1;
        let number = self.last_end;
        self.ended.insert(number, EndedRun { number, run, kind });
    }

    fn tick(&mut self, now: TimestampMs) {
        let is_over = |(_, until_ms, _): &mut (RunRef, TimestampMs, EndKind)| *until_ms <= now;
        let over: Vec<_> = self.running.extract_if(.., is_over).collect();
        for (run, _, kind) in over {
            self.end(run, kind);
        }
        if Self::clock(now).0 >= self.lease_expires_ms {
            for (run, ..) in std::mem::take(&mut self.running) {
                self.end(run, EndKind::Expired);
            }
            self.last_end_at_expiry = self.last_end;
        }
    }

    fn extend_lease(&mut self, until_ms: TargetTimeMs, now: TimestampMs) {
        let granted_ms = until_ms.0.min(Self::clock(now).0 + MAX_HOLD_MS);
        self.lease_expires_ms = self.lease_expires_ms.max(granted_ms);
    }
}

/// A task of an entry, between its first dispatch and its success.
#[derive(Clone, Copy, Debug)]
struct Pending {
    index: u16,
    run: RunNumber,
    /// Failures that are still to come.
    failures: u8,
    /// When it may be dispatched.
    ready_ms: TimestampMs,
}

/// An entry: dispatches tasks, runs a failed one again at once, and stores each end
/// after a while, the ends of one task in their order.
#[derive(Debug)]
struct EntryModel {
    address: EntryAddress,
    session: Option<Session>,
    /// Number of the last session that is over.
    last_ended: u32,
    ready: VecDeque<Pending>,
    dispatched: HashMap<TaskId, Pending>,
    /// Ends to be stored, with the time when the store confirms them.
    unstored: Vec<(TimestampMs, TaskId, RunNumber)>,
}

impl EntryModel {
    fn task(&self, index: u16) -> TaskId {
        TaskId {
            job: JobId {
                entry: self.address.incarnation,
                number: 1,
            },
            index: TaskIndex(index),
        }
    }

    fn name(&self, index: u16) -> TaskName {
        let job = format!("job-of-{}", self.address.incarnation);
        TaskName {
            job: job.parse().expect("the name is valid"),
            step: 0,
            index,
        }
    }

    fn run_ref(&self, index: u16, run: RunNumber) -> RunRef {
        RunRef {
            task: self.name(index),
            run,
        }
    }

    fn lose_session(&mut self, now: TimestampMs) {
        if let Some(session) = self.session.take() {
            self.last_ended = session.id().number;
        }
        // Whether they are stored or not, the agent is not told.
        self.unstored.clear();
        for (_, mut pending) in self.dispatched.drain() {
            pending.ready_ms = now + IN_DOUBT_MS;
            self.ready.push_back(pending);
        }
    }
}

/// How often parts fail, and how slow the store is.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Faults {
    /// A call to the target gets no answer.
    pub(crate) lost_call_permille: u32,
    /// A packet between an entry and the agent is lost.
    pub(crate) lost_packet_permille: u32,
    /// An entry loses its session, per hundred steps.
    pub(crate) lost_session_permille: u32,
    /// Longest time until the store confirms an end.
    pub(crate) max_store_ms: u64,
}

/// An agent with its target and entries, run in steps of a millisecond.
#[derive(Debug)]
pub(crate) struct AgentOnTarget {
    pub(crate) agent: Agent,
    pub(crate) now: TimestampMs,
    pub(crate) faults: Faults,
    runs: LeasedRuns,
    target: TargetModel,
    entries: Vec<EntryModel>,
    /// Answers of the target for the next step.
    replies: Vec<(CallId, TargetReply)>,
    /// Packets for the next step.
    packets: Vec<(Option<usize>, Packet)>,
    stored: HashSet<RunRef>,
    /// Ends that the target dropped although neither their entry had stored them nor
    /// the lease had expired since.
    pub(crate) lost_ends: Vec<EndedRun>,
    pub(crate) most_listed: usize,
    random: fastrand::Rng,
}

impl AgentOnTarget {
    pub(crate) fn new(entries: usize, faults: Faults, seed: u64) -> Self {
        let inbox = |port: u16| SocketAddr::from(([127, 0, 0, 1], port));
        let mut agent = Agent::new(
            AgentConfig {
                incarnation: Incarnation(1_000),
                worker: "worker".parse().expect("the name is valid"),
                zone: "zone".parse().expect("the name is valid"),
                inbox: inbox(1),
                overcommit: SLOTS,
                timing: Timing::default(),
            },
            BEGAN,
        );
        let address = |number: u64| EntryAddress {
            incarnation: Incarnation(number),
            inbox: inbox(u16::try_from(number).unwrap_or(u16::MAX)),
            http: inbox(2),
        };
        let addresses: Vec<EntryAddress> = (10..).map(address).take(entries).collect();
        agent.add_entries(&addresses, BEGAN);
        let mut runs = LeasedRuns::new(LeaseTiming::default(), FencingToken(7), BEGAN);
        runs.announce(announcement(), BEGAN);
        let entry = |address: &EntryAddress| EntryModel {
            address: *address,
            session: None,
            last_ended: 0,
            ready: VecDeque::new(),
            dispatched: HashMap::new(),
            unstored: Vec::new(),
        };
        Self {
            agent,
            now: BEGAN,
            faults,
            runs,
            target: TargetModel::default(),
            entries: addresses.iter().map(entry).collect(),
            replies: Vec::new(),
            packets: Vec::new(),
            stored: HashSet::new(),
            lost_ends: Vec::new(),
            most_listed: 0,
            random: fastrand::Rng::with_seed(seed),
        }
    }

    /// Gives an entry tasks to run, each of which fails some times first.
    pub(crate) fn submit(&mut self, entry: usize, tasks: u16, failures: u8) {
        let model = &mut self.entries[entry];
        let first = u16::try_from(model.ready.len()).unwrap_or(u16::MAX);
        model
            .ready
            .extend((first..first + tasks).map(|index| Pending {
                index,
                run: RunNumber::before_epoch(1).next(),
                failures,
                ready_ms: BEGAN,
            }));
    }

    /// Number of ends that the target lists or would list.
    pub(crate) fn listed(&self) -> usize {
        self.target.ended.len()
    }

    /// Whether every task has succeeded.
    pub(crate) fn is_done(&self) -> bool {
        self.entries
            .iter()
            .all(|entry| entry.ready.is_empty() && entry.dispatched.is_empty())
    }

    pub(crate) fn pass(&mut self, span_ms: u64) {
        for _ in 0..span_ms {
            self.step();
        }
    }

    fn step(&mut self) {
        self.now = self.now + DurationMs(1);
        self.target.tick(self.now);
        for (id, reply) in std::mem::take(&mut self.replies) {
            self.runs.answered(id, reply, self.now);
        }
        if self.now.0.is_multiple_of(20) {
            self.runs.tick(self.now);
            self.agent.tick(self.now);
        }
        if self.now.0.is_multiple_of(500) {
            self.runs.announce(announcement(), self.now);
        }
        self.apply_run_effects();
        for (to, packet) in std::mem::take(&mut self.packets) {
            if self.random.u32(..1_000) < self.faults.lost_packet_permille {
                continue;
            }
            match to {
                None => self.agent.receive(packet, self.now),
                Some(entry) => self.receive(entry, packet),
            }
        }
        for entry in 0..self.entries.len() {
            self.run_entry(entry);
        }
        self.apply_agent_effects();
        self.apply_run_effects();
        self.most_listed = self.most_listed.max(self.listed());
    }

    fn receive(&mut self, entry: usize, packet: Packet) {
        let now = self.now;
        match packet {
            Packet::Hello(hello) => self.welcome(entry, &hello),
            Packet::Frame(frame) => {
                let reply_session = frame.session;
                let model = &mut self.entries[entry];
                let open = model.session.as_mut();
                let Some(session) = open.filter(|open| open.id() == reply_session) else {
                    let reset = Reset {
                        session: reply_session,
                    };
                    return self.packets.push((None, Packet::Reset(reset)));
                };
                for message in session.receive(frame, now) {
                    if let Message::Outcome(outcome) = message {
                        self.on_outcome(entry, &outcome);
                    }
                }
            }
            Packet::Welcome(_)
            | Packet::Reset(_)
            | Packet::Entries(_)
            | Packet::NameRequest(_)
            | Packet::NameReply(_)
            | Packet::NameRelease(_) => {}
        }
    }

    fn welcome(&mut self, entry: usize, hello: &Hello) {
        let now = self.now;
        let model = &mut self.entries[entry];
        if hello.session.number <= model.last_ended {
            let session = hello.session;
            let reset = Packet::Reset(Reset { session });
            return self.packets.push((None, reset));
        }
        let open = model.session.as_ref().map(Session::id);
        if open.is_some_and(|open| open.number > hello.session.number) {
            return;
        }
        if open != Some(hello.session) {
            model.lose_session(now);
            let heartbeat_ms = Timing::default().min_heartbeat_ms;
            let mut session = Session::new(hello.session, Timing::default(), heartbeat_ms, now);
            session.record_received(hello.sent_ms, hello.rules_revision, now);
            model.session = Some(session);
        }
        let welcome = Welcome {
            session: hello.session,
            sent_ms: now,
            echo_ms: hello.sent_ms,
            heartbeat_ms: Timing::default().min_heartbeat_ms,
            rules_revision: Revision(0),
            entries: Vec::new(),
        };
        self.packets.push((None, Packet::Welcome(welcome)));
    }

    fn on_outcome(&mut self, entry: usize, outcome: &Outcome) {
        let store_ms = self.random.u64(1..=self.faults.max_store_ms.max(1));
        let model = &mut self.entries[entry];
        let Some(mut pending) = model.dispatched.remove(&outcome.task) else {
            return;
        };
        let run = pending.run;
        pending.run = run.next();
        pending.ready_ms = self.now;
        match outcome.result {
            TaskResult::Done(_) => {}
            TaskResult::Failed(_) => {
                pending.failures = pending.failures.saturating_sub(1);
                model.ready.push_front(pending);
            }
            _ => return model.ready.push_back(pending),
        }
        // The ends of one task are stored in their order.
        let earlier = model
            .unstored
            .iter()
            .filter(|(_, task, _)| *task == outcome.task);
        let last_ms = earlier.map(|(due_ms, ..)| *due_ms).max();
        let due_ms = last_ms
            .unwrap_or(self.now)
            .max(self.now + DurationMs(store_ms));
        model.unstored.push((due_ms, outcome.task, run));
    }

    fn run_entry(&mut self, entry: usize) {
        let now = self.now;
        let loses_session = self.random.u32(..100_000) < self.faults.lost_session_permille;
        let model = &mut self.entries[entry];
        if loses_session {
            model.lose_session(now);
        }
        self.dispatch(entry);
        let model = &mut self.entries[entry];
        let due: Vec<_> = model
            .unstored
            .extract_if(.., |(due_ms, ..)| *due_ms <= now)
            .collect();
        for (_, task, run) in due {
            let run = model.run_ref(task.index.0, run);
            self.stored.insert(run);
            if let Some(session) = &mut model.session {
                session.push(Message::EndsStored(vec![task]));
            }
        }
        let header = FrameHeader {
            reply_to: model.address.inbox,
            rules_revision: Revision(0),
            load: Load::default(),
            heartbeat: Heartbeat::WithinLease(DurationMs(100)),
        };
        if let Some(session) = &mut model.session {
            session.tick(!model.dispatched.is_empty(), now);
            while let Some(frame) = session.poll_frame(header, now) {
                self.packets.push((None, Packet::Frame(frame)));
            }
        }
    }

    fn dispatch(&mut self, entry: usize) {
        let now = self.now;
        let limit = usize::from(SLOTS) / self.entries.len();
        let model = &mut self.entries[entry];
        let is_due = |pending: &Pending| pending.ready_ms <= now;
        while model.dispatched.len() < limit
            && model.session.is_some()
            && let Some(position) = model.ready.iter().position(is_due)
            && let Some(pending) = model.ready.remove(position)
        {
            let task = model.task(pending.index);
            let start = Start {
                task,
                decided_ms: now,
                run_limit_ms: DurationMs(10_000),
                nominal_ms: DurationMs(10),
                is_learned: true,
                needs: Resources::default(),
                run: pending.run,
                durable: true,
                name: Some(model.name(pending.index)),
                payload: Payload::default(),
            };
            model.dispatched.insert(task, pending);
            if let Some(session) = &mut model.session {
                session.push(Message::Start(start));
            }
        }
    }

    fn apply_agent_effects(&mut self) {
        for effect in self.agent.poll_effects(self.now) {
            match effect {
                AgentEffect::Send { to, packet } => {
                    let is_at = |entry: &EntryModel| entry.address.inbox == to;
                    let entry = self.entries.iter().position(is_at);
                    self.packets.push((entry, packet));
                }
                AgentEffect::Run { key, start, .. } => self.runs.start(key, &start, self.now),
                AgentEffect::Stop { key } => self.runs.stop(key, self.now),
                AgentEffect::EndStored { end } => self.runs.end_stored(end.key, self.now),
                AgentEffect::DiscardEnd { end } => self.runs.discard_end(end.key),
                AgentEffect::Reconnect { .. }
                | AgentEffect::Disconnect { .. }
                | AgentEffect::ZoneDrain { .. }
                | AgentEffect::Drained => {}
            }
        }
    }

    fn apply_run_effects(&mut self) {
        for effect in self.runs.poll_effects() {
            match effect {
                LeasedEffect::Call { id, call, .. } => {
                    let reply = self.carry_out(&call);
                    let is_lost = self.random.u32(..1_000) < self.faults.lost_call_permille;
                    let lost = || TargetReply::Unanswered("lost".to_owned());
                    self.replies
                        .push((id, if is_lost { lost() } else { reply }));
                }
                LeasedEffect::Ended { key, result } => self.finish(key, result),
                LeasedEffect::Target(target) => self.agent.set_target(target, self.now),
                LeasedEffect::Changed(_) | LeasedEffect::Announced(_) => {}
            }
        }
    }

    fn finish(&mut self, key: TaskKey, result: TaskResult) {
        self.agent.finished(key, result, self.now);
    }

    fn carry_out(&mut self, call: &TargetCall) -> TargetReply {
        let (now, clock_ms) = (self.now, TargetModel::clock(self.now));
        match call {
            TargetCall::Start(request) => {
                self.target.extend_lease(request.until_ms, now);
                let run = &request.run;
                if self
                    .target
                    .running
                    .iter()
                    .any(|(running, ..)| running == run)
                {
                    return TargetReply::Started(clock_ms);
                }
                if self.target.ended.values().any(|end| end.run == *run) {
                    return TargetReply::Refused(Refusal::Stale, clock_ms);
                }
                let until_ms = now + DurationMs(self.random.u64(1..12));
                let kind = if self.will_fail(run) {
                    EndKind::Failed
                } else {
                    EndKind::Done
                };
                self.target.running.push((run.clone(), until_ms, kind));
                TargetReply::Started(clock_ms)
            }
            TargetCall::Stop(run) => {
                let is_meant = |running: &mut (RunRef, TimestampMs, EndKind)| running.0 == *run;
                let stopped = self.target.running.extract_if(.., is_meant).next();
                if let Some((run, ..)) = stopped {
                    self.target.end(run, EndKind::Stopped);
                }
                TargetReply::Stopping(clock_ms)
            }
            TargetCall::Poll {
                until_ms, observed, ..
            } => {
                if let Some(until_ms) = until_ms {
                    self.target.extend_lease(*until_ms, now);
                }
                self.drop_ends(*observed);
                let listed = self.target.ended.values().take(MAX_LISTED_ENDS);
                TargetReply::Polled {
                    clock_ms,
                    born_ms: Some(BORN_MS),
                    running: self
                        .target
                        .running
                        .iter()
                        .map(|(run, ..)| run.clone())
                        .collect(),
                    ended: listed.cloned().collect(),
                    is_complete: self.target.ended.len() < MAX_LISTED_ENDS,
                }
            }
        }
    }

    fn will_fail(&self, run: &RunRef) -> bool {
        self.entries.iter().any(|entry| {
            let is_meant = |pending: &Pending| entry.name(pending.index) == run.task;
            let dispatched = entry.dispatched.values().find(|pending| is_meant(pending));
            dispatched.is_some_and(|pending| pending.failures > 0)
        })
    }

    fn drop_ends(&mut self, observed: u64) {
        let rest = self.target.ended.split_off(&(observed + 1));
        for end in std::mem::replace(&mut self.target.ended, rest).into_values() {
            let must_store = matches!(end.kind, EndKind::Done | EndKind::Failed);
            let has_lapsed = end.number <= self.target.last_end_at_expiry;
            if must_store && !has_lapsed && !self.stored.contains(&end.run) {
                self.lost_ends.push(end);
            }
        }
    }
}

fn announcement() -> Announcement {
    Announcement {
        incarnation: TargetIncarnation {
            name: NAME.parse().expect("the name is valid"),
            born_ms: BORN_MS,
        },
        sequence: 1,
        draining: false,
        target: Target {
            service: "dispatch".parse().expect("the name is valid"),
            address: SocketAddr::from(([127, 0, 0, 1], 1)),
            slots: SlotCount(SLOTS),
            connections: SLOTS,
            capacity: Resources::default(),
            labels: Vec::new(),
        },
    }
}
