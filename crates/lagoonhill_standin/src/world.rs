use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap, HashSet};
use std::net::SocketAddr;

use lagoonhill_core::Timing;
use lagoonhill_core::agent::{Agent, AgentConfig, AgentEffect, TaskKey};
use lagoonhill_core::entry::{
    Answer, CallerId, Cause, Decision, DecisionKind, Entry, EntryConfig, EntryEffect, JobFailure,
    KeyBinding, Placement, RunCertainty, StoreOutcome, StoreWriteId, Submission,
};
use lagoonhill_protocol::{
    EntryAddress, HeldRun, Interruption, LossId, Message, Packet, Target, TargetAnswered,
    TargetIncarnation, TargetLoss, TaskResult,
};
use lagoonhill_rules::RuleSet;
use lagoonhill_types::prelude::*;

use crate::DurableJobStore;

/// Interval at which the timers of each process run.
const TICK_MS: u64 = 20;

/// Identifies a process in a [`World`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum NodeId {
    /// An entry, by its index.
    Entry(usize),
    /// An agent, by its index.
    Agent(usize),
}

/// A point in the processing of a job at which a fault can be injected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum FaultPoint {
    /// The job was admitted.
    Accepted,
    /// The job waits because every slot is in use.
    Queued,
    /// The entry sent a start.
    Sent,
    /// An agent received a start.
    Received,
    /// The target was given the task.
    Started,
    /// The target finished the task.
    Finished,
    /// The caller was answered.
    Answered,
    /// The entry acknowledged the outcome.
    Acknowledged,
}

/// Delay, loss and duplication of packets on the simulated network.
#[derive(Clone, Copy, Debug)]
pub struct Network {
    /// Minimum one-way delay.
    pub delay_ms: u64,
    /// Additional one-way delay between availability zones.
    pub cross_zone_ms: u64,
    /// Maximum of a random additional delay, which also reorders packets.
    pub jitter_ms: u64,
    /// Share of packets that are lost, in thousandths.
    pub loss_permille: u32,
    /// Share of packets that are delivered twice, in thousandths.
    pub repeat_permille: u32,
}

/// How a simulated target runs tasks.
#[derive(Clone, Copy, Debug)]
pub struct TargetModel {
    /// Run time relative to the one that the task requests, in thousandths.
    pub slowness_permille: u64,
    /// Fails every task after 1 ms.
    pub fails_all: bool,
}

/// Result that agents report for a stopped run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StopResult {
    /// Unknown: the target may still be running it.
    MayHaveRun,
    /// The run has ended: the target reported it, or its lease has expired.
    Interrupted,
}

/// An answer that a caller received.
#[derive(Clone, Debug)]
pub struct Received {
    /// Time of arrival, by the world's clock.
    pub at_ms: TimestampMs,
    /// The answer.
    pub answer: Answer,
}

/// Packet counts since the start of a world.
#[derive(Clone, Copy, Debug, Default)]
pub struct Totals {
    /// Packets sent by all processes.
    pub packets: u64,
    /// Starts and outcomes sent, including repetitions.
    pub task_messages: u64,
    /// Packets that carried neither a start nor an outcome.
    pub idle_packets: u64,
}

#[derive(Debug)]
enum Event {
    Tick(NodeId, u64),
    Deliver {
        to: SocketAddr,
        packet: Packet,
    },
    RunEnds {
        agent: usize,
        generation: u64,
        /// Number of crashes and cuts of the target before.
        life: u64,
        key: TaskKey,
        result: TaskResult,
    },
    TargetCrashes {
        agent: usize,
        life: u64,
    },
    TargetLost {
        agent: usize,
        generation: u64,
    },
    TargetReturns {
        agent: usize,
        generation: u64,
    },
    KeyAnswered {
        entry: usize,
        generation: u64,
        key: RequestKey,
        binding: KeyBinding,
    },
    Stored {
        entry: usize,
        generation: u64,
        name: RequestKey,
        id: StoreWriteId,
        stored: StoreOutcome,
    },
    Resubmit {
        entry: usize,
        caller: CallerId,
        key: RequestKey,
        submission: Submission,
    },
}

#[derive(Debug)]
struct ScheduledEvent {
    at_ms: TimestampMs,
    number: u64,
    event: Event,
}

impl PartialEq for ScheduledEvent {
    fn eq(&self, other: &Self) -> bool {
        self.number == other.number
    }
}

impl Eq for ScheduledEvent {}

impl PartialOrd for ScheduledEvent {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for ScheduledEvent {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at_ms, self.number).cmp(&(other.at_ms, other.number))
    }
}

/// The present life of a simulated target.
#[derive(Debug, Default)]
struct TargetLife {
    /// Number of crashes and cuts before; either ends all runs.
    number: u64,
    /// Number of crashes before.
    crashes: u64,
    /// Number of crashes and cuts up to each crash.
    crashed_at: Vec<u32>,
    down_until_ms: TimestampMs,
    /// Runs at work, with the time of their start.
    at_work: BTreeMap<TaskKey, TimestampMs>,
}

/// One process. `generation` grows with each kill, so that events scheduled for a
/// killed process are ignored.
#[derive(Debug)]
struct Node<T> {
    machine: Option<T>,
    generation: u64,
    skew_ms: u64,
    frozen_until_ms: TimestampMs,
}

impl<T> Node<T> {
    fn new(machine: T, skew_ms: u64) -> Self {
        Self {
            machine: Some(machine),
            generation: 0,
            skew_ms,
            frozen_until_ms: TimestampMs(0),
        }
    }
}

/// Entries, agents and targets in one deterministic event loop.
///
/// Runs the state machines of `lagoonhill_core` unchanged; simulates the clock,
/// the connections, the targets, and the platform's key bindings and durable
/// jobs. The same seed gives the same run.
#[derive(Debug)]
pub struct World<P> {
    now: TimestampMs,
    next_number: u64,
    queue: BinaryHeap<Reverse<ScheduledEvent>>,
    random: fastrand::Rng,
    /// Network conditions; may be changed while the world runs.
    pub network: Network,
    zones: usize,
    entries: Vec<Node<Entry<P>>>,
    agents: Vec<Node<Agent>>,
    targets: Vec<(Target, TargetModel)>,
    lives: Vec<TargetLife>,
    /// Crashes of targets under each task at work there, by task payload.
    pub crashes: HashMap<Payload, u32>,
    /// Number of crashes of targets.
    pub crash_count: u32,
    /// Time before a crash in which agents don't look at their targets.
    pub unseen_ms: DurationMs,
    /// Time for which a target that has crashed, or is cut off, is away.
    pub down_ms: DurationMs,
    addresses: HashMap<SocketAddr, NodeId>,
    entry_addresses: Vec<EntryAddress>,
    /// Number of the present connection in each direction.
    connection_numbers: HashMap<(NodeId, SocketAddr), u32>,
    /// Connections, by number, that lose every packet.
    silent_connections: HashSet<(NodeId, SocketAddr, u32)>,
    partitioned: HashSet<(NodeId, NodeId)>,
    bindings: BTreeMap<RequestKey, usize>,
    /// The platform's store of durable jobs.
    pub durable_jobs: DurableJobStore,
    /// Run ends whose storage was acknowledged to a target, by task payload.
    pub acknowledged_ends: HashMap<Payload, u32>,
    /// Run ends that were discarded, by task payload.
    pub discarded_ends: HashMap<Payload, u32>,
    /// Starts of a task after an end of it was acknowledged as stored.
    pub started_after_stored_end: u32,
    run_payloads: HashMap<(usize, TaskKey), Payload>,
    /// Result that agents report for stopped runs.
    pub stop_result: StopResult,
    /// Every key binding fails as unavailable.
    pub platform_down: bool,
    /// The platform makes the next key binding, but its answer is lost.
    pub platform_loses_answer: bool,
    callers: HashMap<CallerId, usize>,
    pending_keys: HashMap<CallerId, (RequestKey, Submission)>,
    next_caller: u64,
    reached_points: HashMap<FaultPoint, TimestampMs>,
    /// Starts at all targets, by task payload.
    pub starts: HashMap<Payload, u32>,
    /// Time of the latest start of each payload.
    pub started_ms: HashMap<Payload, TimestampMs>,
    /// Number of starts at the target of each agent.
    pub starts_at: Vec<u32>,
    /// Tasks that were started in another availability zone than their entry's.
    pub cross_zone_starts: u64,
    /// Answers received by each caller.
    pub received: HashMap<CallerId, Vec<Received>>,
    /// All decisions of all entries, if `record_decisions` is set.
    pub decisions: Vec<Decision>,
    /// Whether to record decisions.
    pub record_decisions: bool,
    /// Packet counts so far.
    pub totals: Totals,
}

/// Configuration of a [`World`].
#[derive(Clone, Debug)]
pub struct WorldConfig {
    /// Number of entries.
    pub entries: usize,
    /// Targets, one for each worker.
    pub targets: Vec<TargetModel>,
    /// Number of availability zones; entries and agents are assigned to them
    /// round-robin.
    pub zones: usize,
    /// Slots of each target.
    pub slots: u16,
    /// Service that all targets run.
    pub service: ServiceName,
    /// Rules in force from the start.
    pub rules: RuleSet,
    /// Initial network conditions.
    pub network: Network,
    /// Look-ahead: tasks dispatched to an agent beyond its slots.
    pub look_ahead: u16,
    /// Tasks that an agent holds beyond the target's slots.
    pub overcommit: u16,
    /// Session time limits.
    pub timing: Timing,
    /// Seed of all random draws.
    pub seed: u64,
}

fn entry_inbox(index: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], 1_000 + u16::try_from(index).unwrap_or(0)))
}

fn agent_inbox(index: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 1, 1], 1_000 + u16::try_from(index).unwrap_or(0)))
}

fn zone_name(number: usize) -> AvailabilityZone {
    format!("zone-{number}").parse().expect("the name is valid")
}

/// Returns the result that a simulated target gives for a payload.
pub fn result_of(payload: &Payload) -> Payload {
    let mut result = b"done:".to_vec();
    result.extend_from_slice(payload.as_slice());
    result.into()
}

/// Whether a task fails on every target: its payload contains `hopeless`.
fn always_fails(payload: &Payload) -> bool {
    String::from_utf8_lossy(payload.as_slice()).contains("hopeless")
}

/// Whether a task crashes each target that runs it, at the end of its run time: its
/// payload contains `deadly`.
fn is_deadly(payload: &Payload) -> bool {
    String::from_utf8_lossy(payload.as_slice()).contains("deadly")
}

/// Time after which an agent takes a crashed target for gone.
const SILENCE_MS: u64 = 250;

/// Time after which an agent reports the runs of a crashed target.
const LAPSE_MS: u64 = 416;

/// Time for which a target is usually away.
const DOWN_MS: DurationMs = DurationMs(3_000);

/// Returns the run time in milliseconds that the first word of a payload
/// requests; 100 without one.
fn requested_run_ms(payload: &Payload) -> u64 {
    let text = std::str::from_utf8(payload.as_slice()).unwrap_or_default();
    text.split(' ')
        .next()
        .and_then(|word| word.parse().ok())
        .unwrap_or(100)
}

/// Time that the platform takes for an operation on a durable job.
const STORE_MS: u64 = 5;

impl<P: Placement> World<P> {
    /// Submits a durable job.
    pub fn submit_durable(&mut self, entry: usize, submission: Submission) -> CallerId {
        let caller = self.new_caller(entry);
        self.with_entry(entry, |machine, now| {
            machine.submit_durable(caller, submission, now);
        });
        caller
    }

    /// Confirms an entry's ownership of its durable jobs for `for_ms`.
    pub fn extend_ownership(&mut self, entry: usize, for_ms: u64) {
        self.with_entry(entry, |machine, now| {
            machine.set_ownership_expiry(now + DurationMs(for_ms));
        });
    }

    /// Makes entry `to` take over the open durable jobs of entry `from`.
    pub fn take_over(&mut self, from: usize, to: usize) {
        for (name, job) in self.durable_jobs.take_over(from, to) {
            self.with_entry(to, |machine, now| machine.take_over(&name, &job, now));
        }
    }

    /// Cancels a durable job at an entry; returns whether the entry knew it.
    pub fn cancel_durable(&mut self, entry: usize, name: &RequestKey) -> bool {
        let mut is_known = false;
        self.with_entry(entry, |machine, now| {
            is_known = machine.cancel_durable(name, now);
        });
        is_known
    }

    /// Starts all processes; `placement` creates each entry's policy.
    pub fn new(config: &WorldConfig, mut placement: impl FnMut(usize) -> P) -> Self {
        let mut world = Self {
            now: TimestampMs(1_000_000),
            next_number: 0,
            queue: BinaryHeap::new(),
            random: fastrand::Rng::with_seed(config.seed),
            network: config.network,
            zones: config.zones,
            entries: Vec::new(),
            agents: Vec::new(),
            targets: Vec::new(),
            lives: Vec::new(),
            crashes: HashMap::new(),
            crash_count: 0,
            unseen_ms: DurationMs::ZERO,
            down_ms: DOWN_MS,
            addresses: HashMap::new(),
            entry_addresses: Vec::new(),
            connection_numbers: HashMap::new(),
            silent_connections: HashSet::new(),
            partitioned: HashSet::new(),
            bindings: BTreeMap::new(),
            durable_jobs: DurableJobStore::default(),
            acknowledged_ends: HashMap::new(),
            discarded_ends: HashMap::new(),
            started_after_stored_end: 0,
            run_payloads: HashMap::new(),
            stop_result: StopResult::MayHaveRun,
            platform_down: false,
            platform_loses_answer: false,
            callers: HashMap::new(),
            pending_keys: HashMap::new(),
            next_caller: 0,
            reached_points: HashMap::new(),
            starts: HashMap::new(),
            started_ms: HashMap::new(),
            starts_at: vec![0; config.targets.len()],
            cross_zone_starts: 0,
            received: HashMap::new(),
            decisions: Vec::new(),
            record_decisions: false,
            totals: Totals::default(),
        };
        for index in 0..config.entries {
            world.add_entry(index, config, placement(index));
        }
        for (index, model) in config.targets.iter().enumerate() {
            world.add_agent(index, config, *model);
        }
        world
    }

    fn add_entry(&mut self, index: usize, config: &WorldConfig, placement: P) {
        let inbox = entry_inbox(index);
        let incarnation = Incarnation(100 + index as u64);
        let address = EntryAddress {
            incarnation,
            inbox,
            http: inbox,
        };
        let skew_ms = self.random.u64(0..50_000);
        let machine = self.entry_machine(index, address, config, placement, skew_ms);
        self.entry_addresses.push(address);
        self.addresses.insert(inbox, NodeId::Entry(index));
        self.entries.push(Node::new(machine, skew_ms));
        self.schedule(0, Event::Tick(NodeId::Entry(index), 0));
        self.update_entry_lists();
    }

    fn entry_machine(
        &self,
        index: usize,
        address: EntryAddress,
        config: &WorldConfig,
        placement: P,
        skew_ms: u64,
    ) -> Entry<P> {
        let mut settings = EntryConfig::new(address);
        settings.look_ahead = config.look_ahead;
        settings.timing = config.timing;
        settings.zone = Some(zone_name(index % self.zones));
        let now = self.now + DurationMs(skew_ms);
        let mut machine = Entry::new(settings, placement, now);
        machine.install_rules(config.rules.clone(), now);
        machine
    }

    fn add_agent(&mut self, index: usize, config: &WorldConfig, model: TargetModel) {
        let skew_ms = self.random.u64(0..50_000);
        let target = Target {
            service: config.service.clone(),
            address: SocketAddr::from(([127, 0, 0, 1], 1)),
            slots: SlotCount(config.slots),
            connections: 64,
            capacity: Resources {
                processors: MilliProcessors(64_000),
                memory_bytes: ByteCount(256 << 30),
                accelerators: 0,
            },
            labels: Vec::new(),
        };
        self.targets.push((target, model));
        self.lives.push(TargetLife::default());
        self.addresses
            .insert(agent_inbox(index), NodeId::Agent(index));
        let machine = self.agent_machine(index, Incarnation(1_000 + index as u64), config, skew_ms);
        self.agents.push(Node::new(machine, skew_ms));
        self.schedule(0, Event::Tick(NodeId::Agent(index), 0));
    }

    fn agent_machine(
        &self,
        index: usize,
        incarnation: Incarnation,
        config: &WorldConfig,
        skew_ms: u64,
    ) -> Agent {
        let settings = AgentConfig {
            incarnation,
            worker: format!("worker-{index}")
                .parse()
                .expect("the name is valid"),
            zone: zone_name(index % self.zones),
            inbox: agent_inbox(index),
            overcommit: config.overcommit,
            timing: config.timing,
        };
        let now = self.now + DurationMs(skew_ms);
        let mut machine = Agent::new(settings, now);
        machine.set_target(Some(self.targets[index].0.clone()), now);
        machine.add_entries(&self.entry_addresses, now);
        machine
    }

    fn update_entry_lists(&mut self) {
        let live: Vec<EntryAddress> = self
            .entry_addresses
            .iter()
            .zip(&self.entries)
            .filter(|(_, node)| node.machine.is_some())
            .map(|(address, _)| *address)
            .collect();
        for node in &mut self.entries {
            if let Some(machine) = &mut node.machine {
                machine.set_entries(live.clone());
            }
        }
    }

    /// Current time of the world; the clock of each process is skewed from it.
    pub fn now(&self) -> TimestampMs {
        self.now
    }

    /// Submits a job without a ticket or key.
    pub fn submit(&mut self, entry: usize, submission: Submission) -> CallerId {
        let caller = self.new_caller(entry);
        self.with_entry(entry, |machine, now| {
            machine.submit(caller, submission, now);
        });
        caller
    }

    /// Submits a job of a queue that is not durable under its own name.
    pub fn submit_named(&mut self, entry: usize, submission: Submission) -> CallerId {
        let caller = self.new_caller(entry);
        self.with_entry(entry, |machine, now| {
            machine.submit_named(caller, submission, now);
        });
        caller
    }

    /// Gets a ticket from an entry; `None` if the entry is down or issues none.
    pub fn ticket(&mut self, entry: usize) -> Option<Ticket> {
        let now = self.local_time(NodeId::Entry(entry));
        let machine = self.entries[entry].machine.as_mut()?;
        machine.issue_tickets(1, now).first().copied()
    }

    /// Submits a job under a ticket, through any entry.
    pub fn submit_ticket(
        &mut self,
        entry: usize,
        ticket: Ticket,
        submission: Submission,
    ) -> CallerId {
        let caller = self.new_caller(entry);
        let issuer = self
            .entry_addresses
            .iter()
            .position(|a| a.incarnation == ticket.entry);
        match issuer.filter(|issuer| self.entries[*issuer].machine.is_some()) {
            Some(issuer) => {
                self.callers.insert(caller, issuer);
                self.with_entry(issuer, |machine, now| {
                    machine.submit_ticket(caller, ticket, submission, now);
                });
            }
            None => self.answer_owner_gone(caller),
        }
        caller
    }

    /// Submits a job under a key that the caller chose.
    pub fn submit_key(
        &mut self,
        entry: usize,
        key: &RequestKey,
        submission: Submission,
    ) -> CallerId {
        let caller = self.new_caller(entry);
        let (key, resubmission) = (key.clone(), submission.clone());
        self.pending_keys
            .insert(caller, (key.clone(), resubmission));
        self.with_entry(entry, |machine, now| {
            machine.submit_key(caller, key, false, submission, now);
        });
        caller
    }

    fn new_caller(&mut self, entry: usize) -> CallerId {
        self.next_caller += 1;
        let caller = CallerId(self.next_caller);
        self.callers.insert(caller, entry);
        caller
    }

    /// Disconnects a caller.
    pub fn abandon(&mut self, caller: CallerId) {
        if let Some(&entry) = self.callers.get(&caller) {
            self.with_entry(entry, |machine, now| {
                machine.on_caller_disconnected(caller, now);
            });
        }
    }

    /// Returns an entry, if it is running.
    pub fn entry(&self, index: usize) -> Option<&Entry<P>> {
        self.entries[index].machine.as_ref()
    }

    /// Returns an agent, if it is running.
    pub fn agent(&self, index: usize) -> Option<&Agent> {
        self.agents[index].machine.as_ref()
    }

    /// Calls `act` on an entry, if it is running, and handles its effects.
    pub fn with_entry(&mut self, index: usize, act: impl FnOnce(&mut Entry<P>, TimestampMs)) {
        let now = self.local_time(NodeId::Entry(index));
        if let Some(machine) = &mut self.entries[index].machine {
            act(machine, now);
        }
        self.flush_entry(index);
    }

    /// Calls `act` on an agent, if it is running, and handles its effects.
    pub fn with_agent(&mut self, index: usize, act: impl FnOnce(&mut Agent, TimestampMs)) {
        let now = self.local_time(NodeId::Agent(index));
        if let Some(machine) = &mut self.agents[index].machine {
            act(machine, now);
        }
        self.flush_agent(index);
    }

    /// Changes the capacity that a target has and announces.
    pub fn set_capacity(&mut self, index: usize, capacity: Resources) {
        self.targets[index].0.capacity = capacity;
        let target = self.targets[index].0.clone();
        self.with_agent(index, |agent, now| agent.set_target(Some(target), now));
    }

    /// Kills a process, with all its state.
    pub fn kill(&mut self, node: NodeId) {
        match node {
            NodeId::Entry(index) => {
                self.entries[index].machine = None;
                self.entries[index].generation += 1;
                self.update_entry_lists();
            }
            NodeId::Agent(index) => {
                self.agents[index].machine = None;
                self.agents[index].generation += 1;
                self.lives[index].at_work.clear();
            }
        }
    }

    /// Kills an agent and starts a new incarnation of it with the same target.
    pub fn restart_agent(&mut self, index: usize, config: &WorldConfig) {
        self.kill(NodeId::Agent(index));
        let node = &self.agents[index];
        let (generation, skew_ms) = (node.generation, node.skew_ms);
        let incarnation = Incarnation(1_000 + index as u64 + generation * 10_000);
        let machine = self.agent_machine(index, incarnation, config, skew_ms);
        self.agents[index].machine = Some(machine);
        self.schedule(0, Event::Tick(NodeId::Agent(index), generation));
    }

    /// Freezes a process for `length_ms`; its events are handled afterwards.
    pub fn freeze(&mut self, node: NodeId, length_ms: u64) {
        let until_ms = self.now + DurationMs(length_ms);
        match node {
            NodeId::Entry(index) => self.entries[index].frozen_until_ms = until_ms,
            NodeId::Agent(index) => self.agents[index].frozen_until_ms = until_ms,
        }
    }

    /// Drops every packet between two processes, on all connections.
    pub fn partition(&mut self, left: NodeId, right: NodeId) {
        self.partitioned.insert((left, right));
        self.partitioned.insert((right, left));
    }

    /// Undoes [`World::partition`].
    pub fn heal(&mut self, left: NodeId, right: NodeId) {
        self.partitioned.remove(&(left, right));
        self.partitioned.remove(&(right, left));
    }

    /// Drops every packet on the present connection from one process to
    /// another; a new connection works.
    pub fn silence(&mut self, from: NodeId, to: NodeId) {
        let address = match to {
            NodeId::Entry(index) => entry_inbox(index),
            NodeId::Agent(index) => agent_inbox(index),
        };
        let number = self
            .connection_numbers
            .get(&(from, address))
            .copied()
            .unwrap_or(0);
        self.silent_connections.insert((from, address, number));
    }

    /// Changes how a target runs tasks that start from now on.
    pub fn set_target(&mut self, index: usize, model: TargetModel) {
        self.targets[index].1 = model;
    }

    /// Returns when a fault point was first reached.
    pub fn reached(&self, point: FaultPoint) -> Option<TimestampMs> {
        self.reached_points.get(&point).copied()
    }

    fn record_reached(&mut self, point: FaultPoint) {
        self.reached_points.entry(point).or_insert(self.now);
    }

    /// Runs until a fault point is first reached or `limit_ms` has passed; returns
    /// whether it was reached.
    pub fn run_until_reached(&mut self, point: FaultPoint, limit_ms: u64) -> bool {
        let until_ms = self.now + DurationMs(limit_ms);
        while self.reached(point).is_none() {
            if !self.run_next_event(until_ms) {
                return false;
            }
        }
        true
    }

    /// Runs the world for `length_ms`.
    pub fn run_for(&mut self, length_ms: u64) {
        let until_ms = self.now + DurationMs(length_ms);
        while self.run_next_event(until_ms) {}
        self.now = until_ms;
    }

    fn local_time(&self, node: NodeId) -> TimestampMs {
        let skew_ms = match node {
            NodeId::Entry(index) => self.entries[index].skew_ms,
            NodeId::Agent(index) => self.agents[index].skew_ms,
        };
        self.now + DurationMs(skew_ms)
    }

    fn schedule(&mut self, delay_ms: u64, event: Event) {
        self.next_number += 1;
        let at_ms = self.now + DurationMs(delay_ms);
        self.queue.push(Reverse(ScheduledEvent {
            at_ms,
            number: self.next_number,
            event,
        }));
    }

    /// Handles the next event, unless it is later than `until_ms`; returns
    /// whether there was one.
    fn run_next_event(&mut self, until_ms: TimestampMs) -> bool {
        let due = self
            .queue
            .peek()
            .is_some_and(|Reverse(next)| next.at_ms <= until_ms);
        if !due {
            return false;
        }
        let Some(Reverse(next)) = self.queue.pop() else {
            return false;
        };
        self.now = self.now.max(next.at_ms);
        self.handle(next.event);
        true
    }

    fn frozen_until(&self, node: NodeId) -> TimestampMs {
        match node {
            NodeId::Entry(index) => self.entries[index].frozen_until_ms,
            NodeId::Agent(index) => self.agents[index].frozen_until_ms,
        }
    }

    fn handle(&mut self, event: Event) {
        let node = match &event {
            Event::Tick(node, _) => Some(*node),
            Event::Deliver { to, .. } => self.addresses.get(to).copied(),
            Event::KeyAnswered { entry, .. }
            | Event::Stored { entry, .. }
            | Event::Resubmit { entry, .. } => Some(NodeId::Entry(*entry)),
            Event::RunEnds { agent, .. }
            | Event::TargetLost { agent, .. }
            | Event::TargetReturns { agent, .. } => Some(NodeId::Agent(*agent)),
            Event::TargetCrashes { agent, life } => {
                if self.lives[*agent].number == *life {
                    self.crash_target(*agent);
                }
                None
            }
        };
        let Some(node) = node else {
            return;
        };
        let frozen_until_ms = self.frozen_until(node);
        if frozen_until_ms > self.now {
            let wait_ms = frozen_until_ms.since(self.now).0;
            return self.schedule(wait_ms, event);
        }
        match event {
            Event::Tick(node, generation) => self.on_tick(node, generation),
            Event::Deliver { packet, .. } => self.on_deliver(node, packet),
            Event::RunEnds {
                agent,
                generation,
                life,
                key,
                result,
            } => {
                if self.agents[agent].generation == generation && self.lives[agent].number == life {
                    self.lives[agent].at_work.remove(&key);
                    self.record_reached(FaultPoint::Finished);
                    self.with_agent(agent, |machine, now| machine.finished(key, result, now));
                }
            }
            Event::TargetLost { agent, generation } => {
                if self.agents[agent].generation == generation {
                    self.with_agent(agent, |machine, now| machine.set_target(None, now));
                }
            }
            Event::TargetReturns { agent, generation } => {
                if self.agents[agent].generation == generation {
                    let target = self.targets[agent].0.clone();
                    let answered = self.answer_of(agent);
                    self.with_agent(agent, |machine, now| {
                        machine.target_answered(answered);
                        machine.set_target(Some(target), now);
                    });
                }
            }
            Event::TargetCrashes { .. } => {}
            Event::KeyAnswered {
                entry,
                generation,
                key,
                binding,
            } => {
                if self.entries[entry].generation == generation {
                    self.with_entry(entry, |machine, now| {
                        machine.on_key_bound(key, binding, now);
                    });
                }
            }
            Event::Stored {
                entry,
                generation,
                name,
                id,
                stored,
            } => {
                if self.entries[entry].generation == generation {
                    self.with_entry(entry, |machine, now| {
                        machine.on_stored(&name, id, stored, now);
                    });
                }
            }
            Event::Resubmit {
                entry,
                caller,
                key,
                submission,
            } => {
                self.callers.insert(caller, entry);
                self.with_entry(entry, |machine, now| {
                    machine.submit_key(caller, key, true, submission, now);
                });
            }
        }
    }

    fn on_tick(&mut self, node: NodeId, generation: u64) {
        match node {
            NodeId::Entry(index) if self.entries[index].generation == generation => {
                self.with_entry(index, Entry::tick);
            }
            NodeId::Agent(index) if self.agents[index].generation == generation => {
                self.with_agent(index, Agent::tick);
            }
            _ => return,
        }
        self.schedule(TICK_MS, Event::Tick(node, generation));
    }

    fn on_deliver(&mut self, node: NodeId, packet: Packet) {
        match node {
            NodeId::Entry(index) => {
                self.with_entry(index, |machine, now| machine.receive(packet, now));
            }
            NodeId::Agent(index) => {
                if carries_start(&packet) {
                    self.record_reached(FaultPoint::Received);
                }
                self.with_agent(index, |machine, now| machine.receive(packet, now));
            }
        }
    }

    fn flush_entry(&mut self, index: usize) {
        let now = self.local_time(NodeId::Entry(index));
        let effects = match &mut self.entries[index].machine {
            Some(machine) => machine.poll_effects(now),
            None => return,
        };
        for effect in effects {
            self.on_entry_effect(index, effect);
        }
    }

    fn on_entry_effect(&mut self, index: usize, effect: EntryEffect) {
        match effect {
            EntryEffect::Send { to, packet } => {
                if carries_start(&packet) {
                    self.record_reached(FaultPoint::Sent);
                }
                let answered = self.reached(FaultPoint::Answered).is_some();
                if answered && matches!(&packet, Packet::Frame(frame) if frame.ack.0 > 0) {
                    self.record_reached(FaultPoint::Acknowledged);
                }
                self.send(NodeId::Entry(index), to, packet);
            }
            EntryEffect::Reconnect { to } => self.reconnect(NodeId::Entry(index), to),
            EntryEffect::Disconnect { .. } => {}
            EntryEffect::Answer { caller, answer } => {
                self.record_reached(FaultPoint::Answered);
                let received = Received {
                    at_ms: self.now,
                    answer,
                };
                self.received.entry(caller).or_default().push(received);
            }
            EntryEffect::Forward { caller, owner } => self.forward(caller, owner),
            EntryEffect::BindKey { key } => self.bind_key(index, key),
            EntryEffect::Store(write) => {
                let (id, name) = (write.id, write.name.clone());
                let stored = self.durable_jobs.execute(index, write);
                let generation = self.entries[index].generation;
                let event = Event::Stored {
                    entry: index,
                    generation,
                    name,
                    id,
                    stored,
                };
                let answer_ms = STORE_MS + self.durable_jobs.answer_delay_ms;
                self.schedule(answer_ms, event);
            }
            EntryEffect::LogDecision(decision) => self.on_decision(decision),
        }
    }

    fn on_decision(&mut self, decision: Decision) {
        if matches!(decision.kind, DecisionKind::Admitted { .. }) {
            self.record_reached(FaultPoint::Accepted);
        }
        if self.record_decisions {
            self.decisions.push(decision);
        }
    }

    fn reconnect(&mut self, from: NodeId, to: SocketAddr) {
        *self.connection_numbers.entry((from, to)).or_default() += 1;
    }

    fn send(&mut self, from: NodeId, to: SocketAddr, packet: Packet) {
        self.count(&packet);
        let Some(&node) = self.addresses.get(&to) else {
            return;
        };
        let number = self
            .connection_numbers
            .get(&(from, to))
            .copied()
            .unwrap_or(0);
        let lost = self.partitioned.contains(&(from, node))
            || self.silent_connections.contains(&(from, to, number))
            || self.random.u32(0..1_000) < self.network.loss_permille;
        if lost {
            return;
        }
        if self.random.u32(0..1_000) < self.network.repeat_permille {
            let delay_ms = self.delay(from, node);
            self.schedule(
                delay_ms,
                Event::Deliver {
                    to,
                    packet: packet.clone(),
                },
            );
        }
        let delay_ms = self.delay(from, node);
        self.schedule(delay_ms, Event::Deliver { to, packet });
    }

    /// Returns the index of a process's availability zone.
    pub fn zone_of(&self, node: NodeId) -> usize {
        match node {
            NodeId::Entry(index) | NodeId::Agent(index) => index % self.zones,
        }
    }

    fn delay(&mut self, from: NodeId, to: NodeId) -> u64 {
        let is_cross_zone = self.zone_of(from) != self.zone_of(to);
        let cross_zone_ms = if is_cross_zone {
            self.network.cross_zone_ms
        } else {
            0
        };
        cross_zone_ms + self.network.delay_ms + self.random.u64(0..=self.network.jitter_ms)
    }

    fn count(&mut self, packet: &Packet) {
        self.totals.packets += 1;
        let tasks = match packet {
            Packet::Frame(frame) => frame.messages.iter().filter(|m| is_task_message(m)).count(),
            _ => 0,
        };
        self.totals.task_messages += tasks as u64;
        self.totals.idle_packets += u64::from(tasks == 0);
    }

    fn flush_agent(&mut self, index: usize) {
        let now = self.local_time(NodeId::Agent(index));
        let effects = match &mut self.agents[index].machine {
            Some(machine) => machine.poll_effects(now),
            None => return,
        };
        for effect in effects {
            self.on_agent_effect(index, effect);
        }
    }

    fn on_agent_effect(&mut self, index: usize, effect: AgentEffect) {
        match effect {
            AgentEffect::Send { to, packet } => self.send(NodeId::Agent(index), to, packet),
            AgentEffect::Reconnect { to } => self.reconnect(NodeId::Agent(index), to),
            AgentEffect::Disconnect { .. }
            | AgentEffect::Drained
            | AgentEffect::ZoneDrain { .. } => {}
            AgentEffect::EndStored { end } => {
                if let Some(payload) = self.run_payloads.remove(&(index, end.key)) {
                    *self.acknowledged_ends.entry(payload).or_default() += 1;
                }
            }
            AgentEffect::DiscardEnd { end } => {
                if let Some(payload) = self.run_payloads.remove(&(index, end.key)) {
                    *self.discarded_ends.entry(payload).or_default() += 1;
                }
            }
            AgentEffect::Run { key, start, .. } => {
                let entry = self
                    .entry_addresses
                    .iter()
                    .position(|address| address.incarnation == start.task.job.entry);
                let is_cross_zone = entry.is_some_and(|entry| {
                    self.zone_of(NodeId::Entry(entry)) != self.zone_of(NodeId::Agent(index))
                });
                self.cross_zone_starts += u64::from(is_cross_zone);
                self.run_task(index, key, &start.payload);
            }
            AgentEffect::Stop { key } => {
                let why = "it was stopped".to_owned();
                let result = match self.stop_result {
                    StopResult::MayHaveRun => TaskResult::MayHaveRun(why),
                    StopResult::Interrupted => TaskResult::Interrupted(why),
                };
                self.schedule_run_end(0, index, key, result);
            }
        }
    }

    fn schedule_run_end(&mut self, delay_ms: u64, agent: usize, key: TaskKey, result: TaskResult) {
        let event = Event::RunEnds {
            agent,
            generation: self.agents[agent].generation,
            life: self.lives[agent].number,
            key,
            result,
        };
        self.schedule(delay_ms, event);
    }

    /// Crashes the target of an agent, which reports its runs once their lease has
    /// lapsed. It is back some seconds later.
    pub fn crash_target(&mut self, agent: usize) {
        self.crash_count += 1;
        for key in self.lives[agent].at_work.keys() {
            if let Some(payload) = self.run_payloads.get(&(agent, *key)) {
                *self.crashes.entry(payload.clone()).or_default() += 1;
            }
        }
        self.end_target(agent);
    }

    /// As [`Self::crash_target`], right after its runs have ended and before the agent has
    /// seen that.
    pub fn crash_target_after_its_runs(&mut self, agent: usize) {
        self.crash_count += 1;
        self.end_target(agent);
    }

    fn end_target(&mut self, agent: usize) {
        self.lose_target(agent);
        let life = &mut self.lives[agent];
        life.crashes += 1;
        life.crashed_at.push(count(life.number));
    }

    /// Cuts the target of an agent off, with connections refused: its runs end with their
    /// lease. It is in reach again some seconds later, as the same incarnation.
    pub fn cut_target(&mut self, agent: usize) {
        self.lose_target(agent);
    }

    /// The agents whose targets have runs at work.
    pub fn busy_targets(&self) -> Vec<usize> {
        let is_busy = |agent: &usize| !self.lives[*agent].at_work.is_empty();
        (0..self.lives.len()).filter(is_busy).collect()
    }

    fn lose_target(&mut self, agent: usize) {
        let now = self.now;
        let incarnation = self.incarnation_of(agent);
        let life = &mut self.lives[agent];
        life.number += 1;
        life.down_until_ms = now + self.down_ms;
        let loss = LossId {
            number: count(life.number),
            incarnation,
        };
        let at_work = std::mem::take(&mut life.at_work);
        let last_start_ms = at_work.values().copied().max().unwrap_or(now);
        for (key, started_ms) in at_work {
            let loss = Interruption::TargetLost(TargetLoss {
                held: HeldRun::Confirmed {
                    before_last_start_ms: last_start_ms.since(started_ms),
                    age_ms: now.since(started_ms),
                    unseen_ms: self.unseen_ms,
                },
                unresolved: Some(loss.clone()),
            });
            let result = TaskResult::Interrupted(loss.to_string());
            self.schedule_run_end(LAPSE_MS, agent, key, result);
        }
        let generation = self.agents[agent].generation;
        self.schedule(SILENCE_MS, Event::TargetLost { agent, generation });
        self.schedule(self.down_ms.0, Event::TargetReturns { agent, generation });
    }

    fn incarnation_of(&self, agent: usize) -> TargetIncarnation {
        let name = format!("target-{agent}");
        TargetIncarnation {
            name: name.parse().expect("the name is valid"),
            born_ms: self.lives[agent].crashes + 1,
        }
    }

    fn answer_of(&self, agent: usize) -> TargetAnswered {
        TargetAnswered {
            losses: count(self.lives[agent].number),
            crashes: self.lives[agent].crashed_at.clone(),
            incarnation: self.incarnation_of(agent),
        }
    }

    fn run_task(&mut self, agent: usize, key: TaskKey, payload: &Payload) {
        if self.lives[agent].down_until_ms > self.now {
            let why = "the target fell silent and its lease has lapsed".to_owned();
            let result = TaskResult::Interrupted(why);
            return self.schedule_run_end(LAPSE_MS, agent, key, result);
        }
        self.lives[agent].at_work.insert(key, self.now);
        self.record_reached(FaultPoint::Started);
        *self.starts.entry(payload.clone()).or_default() += 1;
        self.started_after_stored_end += u32::from(self.acknowledged_ends.contains_key(payload));
        self.run_payloads.insert((agent, key), payload.clone());
        self.started_ms.insert(payload.clone(), self.now);
        self.starts_at[agent] += 1;
        let model = self.targets[agent].1;
        if is_deadly(payload) {
            let life = self.lives[agent].number;
            let event = Event::TargetCrashes { agent, life };
            return self.schedule(requested_run_ms(payload), event);
        }
        let (run_ms, result) = if model.fails_all {
            (1, TaskResult::Failed("told to fail".to_owned()))
        } else if always_fails(payload) {
            let run_ms = requested_run_ms(payload) / 2;
            (run_ms, TaskResult::Failed("it can't be done".to_owned()))
        } else {
            let run_ms = requested_run_ms(payload) * model.slowness_permille / 1_000;
            (run_ms, TaskResult::Done(result_of(payload)))
        };
        self.schedule_run_end(run_ms, agent, key, result);
    }

    fn bind_key(&mut self, entry: usize, key: RequestKey) {
        let generation = self.entries[entry].generation;
        let binding = if self.platform_down {
            KeyBinding::Unavailable
        } else {
            let owner = *self.bindings.entry(key.clone()).or_insert(entry);
            if std::mem::take(&mut self.platform_loses_answer) {
                KeyBinding::Unavailable
            } else if owner == entry {
                KeyBinding::ThisEntry
            } else {
                KeyBinding::OtherEntry(self.entry_addresses[owner])
            }
        };
        self.schedule(
            5,
            Event::KeyAnswered {
                entry,
                generation,
                key,
                binding,
            },
        );
    }

    fn forward(&mut self, caller: CallerId, owner: EntryAddress) {
        let entry = self
            .entry_addresses
            .iter()
            .position(|address| *address == owner);
        let alive = entry.filter(|entry| self.entries[*entry].machine.is_some());
        match (alive, self.pending_keys.get(&caller).cloned()) {
            (Some(entry), Some((key, submission))) => {
                self.schedule(
                    2,
                    Event::Resubmit {
                        entry,
                        caller,
                        key,
                        submission,
                    },
                );
            }
            _ => self.answer_owner_gone(caller),
        }
    }

    fn answer_owner_gone(&mut self, caller: CallerId) {
        let failure = JobFailure {
            run: RunCertainty::MayHaveRun,
            cause: Cause::OwnerGone,
            retry_after_ms: None,
        };
        let answer = Answer {
            job: None,
            outcome: Err(failure),
        };
        let received = Received {
            at_ms: self.now,
            answer,
        };
        self.received.entry(caller).or_default().push(received);
    }
}

fn count(losses: u64) -> u32 {
    u32::try_from(losses).unwrap_or(u32::MAX)
}

fn carries_start(packet: &Packet) -> bool {
    matches!(packet, Packet::Frame(frame)
        if frame.messages.iter().any(|message| matches!(message, Message::Start(_))))
}

fn is_task_message(message: &Message) -> bool {
    matches!(message, Message::Start(_) | Message::Outcome(_))
}
