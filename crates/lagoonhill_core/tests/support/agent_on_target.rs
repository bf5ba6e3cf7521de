//! An agent, its leased target and entries that store the ends of its runs. The target
//! does not guard its capacity, which may change while it runs tasks.

#![allow(dead_code, reason = "each test file uses its own part")]

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

/// Interval between two announcements of the target.
const BEAT_MS: u64 = 500;

/// Time after which a capacity counts that was announced as smaller: the starts that
/// were sent before have been carried out or are refused as late.
const GRACE_MS: DurationMs = DurationMs(500);

/// Time until a late call is carried out, and a late announcement arrives.
const MAX_LATE_MS: u64 = 2_000;

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
    /// The highest token seen in this life.
    token: FencingToken,
    /// The highest run of each task that was stopped or has ended in this life.
    over: HashMap<TaskName, RunNumber>,
    /// Number of earlier lives under its name.
    restarts: u64,
    /// Sequence number of its last announcement.
    sequence: u64,
    /// What it can run at a time.
    capacity: Resources,
    slots: SlotCount,
    /// The capacities in the newest announcements that have arrived, with the time of
    /// their arrival.
    told: Vec<(TimestampMs, Resources)>,
    /// The newest announcement that has arrived: the earlier lives, and its number.
    newest_told: (u64, u64),
}

impl TargetModel {
    fn clock(now: TimestampMs) -> TargetTimeMs {
        TargetTimeMs(now.since(BEGAN).0 + 100)
    }

    /// Records the capacity in an announcement that arrives.
    fn tell(&mut self, announcement: &Announcement, now: TimestampMs) {
        let restarts = announcement.incarnation.born_ms - BORN_MS;
        let number = (restarts, announcement.sequence);
        if number > self.newest_told {
            self.newest_told = number;
            self.told.push((now, announcement.target.capacity));
        }
    }

    /// Whether `used` is within a capacity that was in force within [`GRACE_MS`].
    fn may_use(&self, used: Resources, now: TimestampMs) -> bool {
        let grace_began_ms = now - GRACE_MS;
        let later = self
            .told
            .partition_point(|(since_ms, _)| *since_ms <= grace_began_ms);
        let in_force = &self.told[later.saturating_sub(1)..];
        in_force.iter().any(|(_, capacity)| used.fits_in(*capacity))
    }

    /// Bars the runs of a task up to this one.
    fn bar(&mut self, run: &RunRef) {
        let highest = self.over.entry(run.task.clone()).or_insert(run.run);
        *highest = (*highest).max(run.run);
    }

    fn is_barred(&self, run: &RunRef) -> bool {
        self.over
            .get(&run.task)
            .is_some_and(|highest| run.run <= *highest)
    }

    fn announcement(&mut self, now: TimestampMs) -> Announcement {
        self.sequence += 1;
        Announcement {
            incarnation: TargetIncarnation {
                name: NAME.parse().expect("the name is valid"),
                born_ms: BORN_MS + self.restarts,
            },
            sequence: self.sequence,
            sent_ms: Some(Self::clock(now)),
            draining: false,
            target: Target {
                service: "dispatch".parse().expect("the name is valid"),
                address: SocketAddr::from(([127, 0, 0, 1], 1)),
                slots: self.slots,
                connections: SLOTS,
                capacity: self.capacity,
                labels: Vec::new(),
            },
        }
    }

    fn end(&mut self, run: RunRef, kind: EndKind) {
        self.last_end += 1;
        let number = self.last_end;
        self.bar(&run);
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
    needs: Resources,
    run_ms: u64,
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
    /// Needs and run times of all tasks, by index.
    submitted: Vec<(Resources, u64)>,
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
            pending.run = pending.run.next();
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
    /// A call gets no answer and is carried out after newer ones.
    pub(crate) late_call_permille: u32,
    /// An announcement is lost, or arrives after newer ones.
    pub(crate) late_beat_permille: u32,
    /// An entry loses its session, per hundred steps.
    pub(crate) lost_session_permille: u32,
    /// Longest time until the store confirms an end.
    pub(crate) max_store_ms: u64,
    /// Time that the target takes to stop a run.
    pub(crate) stop_ms: u64,
    /// No start reaches the target.
    pub(crate) loses_starts: bool,
    /// If not zero, starts get no answer and are carried out after this time.
    pub(crate) start_delay_ms: u64,
    /// No announcement reaches the agent.
    pub(crate) loses_beats: bool,
}

/// A call that is carried out late.
#[derive(Debug)]
struct LateCall {
    due_ms: TimestampMs,
    /// Life of the target to which it was sent.
    restarts: u64,
    token: FencingToken,
    call: TargetCall,
}

/// A start that brought the target over its capacity.
#[derive(Debug, PartialEq, Eq)]
pub(crate) struct Excess {
    pub(crate) at_ms: TimestampMs,
    pub(crate) run: RunRef,
    pub(crate) used: Resources,
    pub(crate) capacity: Resources,
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
    /// Starts that brought the target over every capacity that was in force within
    /// [`GRACE_MS`].
    pub(crate) excesses: Vec<Excess>,
    /// Number of runs that the target has begun.
    pub(crate) begun: usize,
    late_calls: Vec<LateCall>,
    late_beats: Vec<(TimestampMs, Announcement)>,
    token: FencingToken,
    agent_number: u64,
    random: fastrand::Rng,
}

impl AgentOnTarget {
    pub(crate) fn new(entries: usize, faults: Faults, seed: u64) -> Self {
        let mut agent = new_agent(Incarnation(FIRST_AGENT), BEGAN);
        let address = |number: u64| EntryAddress {
            incarnation: Incarnation(number),
            inbox: inbox(u16::try_from(number).unwrap_or(u16::MAX)),
            http: inbox(2),
        };
        let addresses: Vec<EntryAddress> = (10..).map(address).take(entries).collect();
        agent.add_entries(&addresses, BEGAN);
        let token = FencingToken(7);
        let mut runs = LeasedRuns::new(LeaseTiming::default(), token, BEGAN);
        let mut target = TargetModel {
            slots: SlotCount(SLOTS),
            ..TargetModel::default()
        };
        let announcement = target.announcement(BEGAN);
        target.tell(&announcement, BEGAN);
        runs.announce(announcement, BEGAN);
        let entry = |address: &EntryAddress| EntryModel {
            address: *address,
            session: None,
            last_ended: 0,
            ready: VecDeque::new(),
            submitted: Vec::new(),
            dispatched: HashMap::new(),
            unstored: Vec::new(),
        };
        Self {
            agent,
            now: BEGAN,
            faults,
            runs,
            target,
            entries: addresses.iter().map(entry).collect(),
            replies: Vec::new(),
            packets: Vec::new(),
            stored: HashSet::new(),
            lost_ends: Vec::new(),
            most_listed: 0,
            excesses: Vec::new(),
            begun: 0,
            late_calls: Vec::new(),
            late_beats: Vec::new(),
            token,
            agent_number: 0,
            random: fastrand::Rng::with_seed(seed),
        }
    }

    /// Gives an entry tasks to run, each of which fails some times first.
    pub(crate) fn submit(&mut self, entry: usize, tasks: u16, failures: u8) {
        for _ in 0..tasks {
            let run_ms = 0;
            self.submit_task(entry, Resources::default(), run_ms, failures);
        }
    }

    /// Gives an entry a task with these needs. A run time of 0 is drawn at random.
    pub(crate) fn submit_task(
        &mut self,
        entry: usize,
        needs: Resources,
        run_ms: u64,
        failures: u8,
    ) {
        let model = &mut self.entries[entry];
        let index = u16::try_from(model.submitted.len()).expect("few tasks are submitted");
        model.submitted.push((needs, run_ms));
        model.ready.push_back(Pending {
            index,
            needs,
            run_ms,
            run: RunNumber::before_epoch(1).next(),
            failures,
            ready_ms: BEGAN,
        });
    }

    /// Changes what the target can run. It says so in its next announcement.
    pub(crate) fn set_capacity(&mut self, capacity: Resources) {
        self.target.capacity = capacity;
    }

    /// Changes the number of tasks that the target runs at a time.
    pub(crate) fn set_slots(&mut self, slots: SlotCount) {
        self.target.slots = slots;
    }

    /// Lets the target announce itself now.
    pub(crate) fn announce(&mut self) {
        let announcement = self.target.announcement(self.now);
        self.deliver(announcement);
    }

    /// Takes the announcement that the target would send now; it arrives when it is
    /// passed to [`Self::deliver`].
    pub(crate) fn delayed_announcement(&mut self) -> Announcement {
        self.target.announcement(self.now)
    }

    pub(crate) fn deliver(&mut self, announcement: Announcement) {
        self.target.tell(&announcement, self.now);
        self.runs.announce(announcement, self.now);
    }

    /// Number of runs on the target, those being stopped included.
    pub(crate) fn running(&self) -> usize {
        self.target.running.len()
    }

    /// Resources of the target in use.
    pub(crate) fn used(&self) -> Resources {
        let running = self.target.running.iter();
        running.fold(Resources::default(), |sum, (run, ..)| {
            sum + self.needs_of(&run.task)
        })
    }

    fn needs_of(&self, task: &TaskName) -> Resources {
        let entry = self
            .entries
            .iter()
            .find(|entry| entry.name(0).job == task.job);
        let submitted = entry.and_then(|entry| entry.submitted.get(usize::from(task.index)));
        submitted.map_or_else(Resources::default, |(needs, _)| *needs)
    }

    /// Ends the session of an entry; the entry asks for nothing to be stopped.
    pub(crate) fn lose_session(&mut self, entry: usize) {
        self.entries[entry].lose_session(self.now);
    }

    /// Kills the agent and starts another process in its place, `later` tokens later:
    /// one for each second.
    pub(crate) fn restart_agent(&mut self, later: u64) {
        self.token.0 += later;
        let addresses: Vec<EntryAddress> = self.entries.iter().map(|entry| entry.address).collect();
        let next = Incarnation(self.agent_incarnation().0 + 1);
        self.agent_number += 1;
        self.agent = new_agent(next, self.now);
        self.agent.add_entries(&addresses, self.now);
        self.runs = LeasedRuns::new(LeaseTiming::default(), self.token, self.now);
        self.replies.clear();
        self.packets.clear();
        for entry in &mut self.entries {
            entry.lose_session(self.now);
            entry.last_ended = 0;
        }
    }

    fn agent_incarnation(&self) -> Incarnation {
        Incarnation(FIRST_AGENT + self.agent_number)
    }

    /// The target crashes and starts again under its name.
    pub(crate) fn restart_target(&mut self) {
        let earlier = std::mem::take(&mut self.target);
        self.target = TargetModel {
            restarts: earlier.restarts + 1,
            capacity: earlier.capacity,
            slots: earlier.slots,
            told: earlier.told,
            newest_told: earlier.newest_told,
            ..TargetModel::default()
        };
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
        self.carry_out_late_calls();
        self.send_beats();
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

    fn draws(&mut self, permille: u32) -> bool {
        permille > 0 && self.random.u32(..1_000) < permille
    }

    fn send_beats(&mut self) {
        let now = self.now;
        if now.0.is_multiple_of(BEAT_MS) && !self.faults.loses_beats {
            let beat = self.target.announcement(self.now);
            if self.draws(self.faults.late_beat_permille) {
                let late_ms = DurationMs(self.random.u64(1..MAX_LATE_MS));
                self.late_beats.push((now + late_ms, beat));
            } else {
                self.deliver(beat);
            }
        }
        let is_due = |(due_ms, _): &mut (TimestampMs, Announcement)| *due_ms <= now;
        let due: Vec<_> = self.late_beats.extract_if(.., is_due).collect();
        for (_, beat) in due {
            self.deliver(beat);
        }
    }

    fn carry_out_late_calls(&mut self) {
        let now = self.now;
        let is_due = |late: &mut LateCall| late.due_ms <= now;
        let due: Vec<LateCall> = self.late_calls.extract_if(.., is_due).collect();
        for late in due {
            if late.restarts == self.target.restarts {
                self.carry_out(late.token, &late.call);
            }
        }
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
                needs: pending.needs,
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
                LeasedEffect::Call {
                    id, token, call, ..
                } => {
                    let lost = || TargetReply::Unanswered("lost".to_owned());
                    let is_start = matches!(call, TargetCall::Start(_));
                    if self.faults.loses_starts && is_start {
                        self.replies.push((id, lost()));
                        continue;
                    }
                    let delay_ms = if is_start && self.faults.start_delay_ms > 0 {
                        self.faults.start_delay_ms
                    } else if self.draws(self.faults.late_call_permille) {
                        self.random.u64(1..MAX_LATE_MS)
                    } else {
                        0
                    };
                    if delay_ms > 0 {
                        self.replies.push((id, lost()));
                        let due_ms = self.now + DurationMs(delay_ms);
                        let restarts = self.target.restarts;
                        self.late_calls.push(LateCall {
                            due_ms,
                            restarts,
                            token,
                            call,
                        });
                        continue;
                    }
                    let reply = self.carry_out(token, &call);
                    let is_lost = self.random.u32(..1_000) < self.faults.lost_call_permille;
                    self.replies
                        .push((id, if is_lost { lost() } else { reply }));
                }
                LeasedEffect::Ended { key, result } => self.finish(key, result),
                LeasedEffect::Target(target) => self.agent.set_target(target, self.now),
                LeasedEffect::Changed(_)
                | LeasedEffect::Announced(_)
                | LeasedEffect::Answered(_) => {}
            }
        }
    }

    fn finish(&mut self, key: TaskKey, result: TaskResult) {
        self.agent.finished(key, result, self.now);
    }

    fn carry_out(&mut self, token: FencingToken, call: &TargetCall) -> TargetReply {
        let (now, clock_ms) = (self.now, TargetModel::clock(self.now));
        if token < self.target.token {
            return TargetReply::Refused(Refusal::Fenced, clock_ms);
        }
        self.target.token = token;
        match call {
            TargetCall::Start(request) => {
                if request.until_ms <= clock_ms {
                    return TargetReply::Refused(Refusal::Late, clock_ms);
                }
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
                if self.target.is_barred(run) {
                    return TargetReply::Refused(Refusal::Stale, clock_ms);
                }
                let until_ms = now + DurationMs(self.run_ms_of(&run.task));
                let kind = if self.will_fail(run) {
                    EndKind::Failed
                } else {
                    EndKind::Done
                };
                self.target.running.push((run.clone(), until_ms, kind));
                self.begun += 1;
                self.check_capacity(run);
                TargetReply::Started(clock_ms)
            }
            TargetCall::Stop(run) => {
                self.target.bar(run);
                let stopped_ms = now + DurationMs(self.faults.stop_ms);
                let is_meant = |running: &&mut (RunRef, _, _)| running.0 == *run;
                if let Some(running) = self.target.running.iter_mut().find(is_meant)
                    && running.1 > stopped_ms
                {
                    (running.1, running.2) = (stopped_ms, EndKind::Stopped);
                }
                if self.faults.stop_ms == 0 {
                    self.target.tick(now);
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
                    born_ms: Some(BORN_MS + self.target.restarts),
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

    fn run_ms_of(&mut self, task: &TaskName) -> u64 {
        let entry = self
            .entries
            .iter()
            .find(|entry| entry.name(0).job == task.job);
        let submitted = entry.and_then(|entry| entry.submitted.get(usize::from(task.index)));
        match submitted {
            Some((_, run_ms)) if *run_ms > 0 => *run_ms,
            _ => self.random.u64(1..12),
        }
    }

    fn check_capacity(&mut self, run: &RunRef) {
        let used = self.used();
        if !self.target.may_use(used, self.now) {
            self.excesses.push(Excess {
                at_ms: self.now,
                run: run.clone(),
                used,
                capacity: self.target.capacity,
            });
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

/// Incarnation of the first agent process.
const FIRST_AGENT: u64 = 1_000;

fn inbox(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

fn new_agent(incarnation: Incarnation, now: TimestampMs) -> Agent {
    Agent::new(
        AgentConfig {
            incarnation,
            worker: "worker".parse().expect("the name is valid"),
            zone: "zone".parse().expect("the name is valid"),
            inbox: inbox(1),
            overcommit: SLOTS,
            timing: Timing::default(),
        },
        now,
    )
}
