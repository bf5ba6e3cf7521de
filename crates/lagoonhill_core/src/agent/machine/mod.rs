//! State machine of an agent: its state, timers and outgoing frames. Each submodule
//! implements the part of the behaviour that it is named after.

mod drain;
mod losses;
mod sessions;
mod tasks;

use std::collections::{BTreeSet, HashMap, HashSet, VecDeque};
use std::net::SocketAddr;

use lagoonhill_protocol::{
    EntryAddress, Load, Message, NotRunReason, Packet, Speed, Start, Target, TargetAnswered,
};
use lagoonhill_rules::RuleSet;
use lagoonhill_types::prelude::*;
use slotmap::SlotMap;

use super::{
    AgentEffect, EntryKey, EntryLink, HeldTask, TargetSpeed, TaskKey, TaskPhase, UnstoredEnds,
};
use crate::{
    DrainSync, FrameHeader, Heartbeat, RulesSync, Session, Timing, estimated_slowness,
    overdue_after,
};

/// Number of pings during two run leases to an entry for which tasks are held.
const PINGS_PER_TWO_LEASES: u64 = 5;

/// Settings of an agent that do not change while it runs.
#[derive(Clone, Debug)]
pub struct AgentConfig {
    /// Incarnation of this process.
    pub incarnation: Incarnation,
    /// The worker's name.
    pub worker: WorkerId,
    /// The worker's availability zone.
    pub zone: AvailabilityZone,
    /// Address at which the agent receives packets.
    pub inbox: SocketAddr,
    /// Number of tasks held beyond the slots before a start is refused. Entries
    /// aim far lower; this bounds what several of them dispatch at the same time.
    pub overcommit: u16,
    /// Time limits of the sessions.
    pub timing: Timing,
}

/// The agent's state. An agent is the only process that starts tasks on its target.
#[derive(Debug)]
pub struct Agent {
    config: AgentConfig,
    target: Option<Target>,
    /// As which incarnation the target has answered last, and after how many losses.
    answered: Option<TargetAnswered>,
    entries: SlotMap<EntryKey, EntryLink>,
    by_incarnation: HashMap<Incarnation, EntryKey>,
    /// Entries that have sent a leave message; peers may name them for a while.
    departed: HashSet<Incarnation>,
    /// Session numbers used so far, over all entries: none is used again, not
    /// even for an entry that was forgotten meanwhile.
    sessions: u32,
    tasks: SlotMap<TaskKey, HeldTask>,
    waiting: VecDeque<TaskKey>,
    running: u16,
    /// Resources of the target that the running tasks use.
    used: Resources,
    /// Ends of durable jobs' runs that their entries have not stored yet.
    unstored_ends: UnstoredEnds,
    rules: RulesSync,
    drains: DrainSync,
    rules_installed_ms: TimestampMs,
    leaving: bool,
    drained_reported: bool,
    last_tick_ms: TimestampMs,
    /// Jobs of which a task has failed since the last successful task.
    failed_jobs: BTreeSet<JobId>,
    /// Speed of the target, over the tasks of all entries.
    speed: TargetSpeed,
    effects: Vec<AgentEffect>,
}

impl Agent {
    /// Creates an agent that knows no entry and no target yet.
    pub fn new(config: AgentConfig, now: TimestampMs) -> Self {
        Self {
            config,
            target: None,
            answered: None,
            entries: SlotMap::with_key(),
            by_incarnation: HashMap::new(),
            departed: HashSet::new(),
            sessions: 0,
            tasks: SlotMap::with_key(),
            waiting: VecDeque::new(),
            running: 0,
            used: Resources::default(),
            unstored_ends: UnstoredEnds::default(),
            rules: RulesSync::default(),
            drains: DrainSync::default(),
            rules_installed_ms: TimestampMs(0),
            leaving: false,
            drained_reported: false,
            last_tick_ms: now,
            failed_jobs: BTreeSet::new(),
            speed: TargetSpeed::default(),
            effects: Vec::new(),
        }
    }

    /// The rules in force.
    pub fn rules(&self) -> &RuleSet {
        self.rules.rules()
    }

    /// The worker's availability zone.
    pub fn zone(&self) -> &AvailabilityZone {
        &self.config.zone
    }

    /// The announced target.
    pub fn target(&self) -> Option<&Target> {
        self.target.as_ref()
    }

    /// Whether the agent is leaving.
    pub fn is_leaving(&self) -> bool {
        self.leaving
    }

    /// Number of tasks started on the target and not ended yet.
    pub fn running(&self) -> u16 {
        self.running
    }

    /// Resources of the target that running tasks use, those being stopped included.
    pub fn used(&self) -> Resources {
        self.used
    }

    /// The start message of a held task.
    pub fn start_message(&self, key: TaskKey) -> Option<&Start> {
        self.tasks.get(key).map(|task| &task.start)
    }

    /// When a held task arrived, and when it was started on the target.
    pub fn times(&self, key: TaskKey) -> Option<(TimestampMs, Option<TimestampMs>)> {
        let task = self.tasks.get(key)?;
        let started_ms = match task.phase {
            TaskPhase::Waiting => None,
            TaskPhase::Running { started_ms } | TaskPhase::Stopping { started_ms } => {
                Some(started_ms)
            }
        };
        Some((task.arrived_ms, started_ms))
    }

    /// Number of held tasks, waiting and running.
    pub fn held(&self) -> usize {
        self.tasks.len()
    }

    /// Number of ends of durable jobs' runs that their entries have not stored yet.
    pub fn unstored_ends(&self) -> usize {
        self.unstored_ends.len()
    }

    /// The known entries, each with whether its session is open.
    pub fn entries(&self) -> impl Iterator<Item = (&EntryAddress, bool)> {
        self.entries
            .values()
            .map(|link| (&link.address, link.session.is_some()))
    }

    /// Installs rules from a source other than an entry, if they are newer.
    pub fn install_rules(&mut self, rules: RuleSet) -> bool {
        self.rules.install(rules)
    }

    /// Sets the target after its announcement, or `None` when it leaves.
    pub fn set_target(&mut self, target: Option<Target>, now: TimestampMs) {
        if self.target == target {
            return;
        }
        let last = std::mem::replace(&mut self.target, target.clone());
        let is_resized = last
            .zip(target.as_ref())
            .is_some_and(|(last, target)| is_same_target(&last, target));
        if !is_resized {
            self.speed = TargetSpeed::default();
        }
        let capacity = target.as_ref().map(|target| target.capacity);
        self.broadcast(&Message::Target(target));
        match capacity {
            Some(capacity) => self.withdraw_larger_than(capacity),
            None => self.withdraw_all_waiting(NotRunReason::NoTarget),
        }
        self.start_waiting(now);
    }

    /// Stops accepting tasks. Waiting tasks are returned unstarted, running ones
    /// finish and are reported, then [`AgentEffect::Drained`] follows.
    pub fn leave(&mut self, now: TimestampMs) {
        if self.leaving {
            return;
        }
        self.leaving = true;
        self.broadcast(&Message::Leaving);
        self.withdraw_all_waiting(NotRunReason::Leaving);
        self.tick(now);
    }

    /// Handles a packet from a link.
    pub fn receive(&mut self, packet: Packet, now: TimestampMs) {
        match packet {
            Packet::Welcome(welcome) => self.on_welcome(&welcome, now),
            Packet::Frame(frame) => self.on_frame(frame, now),
            Packet::Reset(reset) => self.on_reset(reset, now),
            Packet::Entries(entries) => self.add_entries(&entries, now),
            Packet::Hello(_)
            | Packet::NameRequest(_)
            | Packet::NameReply(_)
            | Packet::NameRelease(_) => {}
        }
    }

    /// Observed speed of the target, over the tasks of all entries.
    pub fn speed(&self) -> Speed {
        self.speed.report()
    }

    /// Expected run time of a task on this target.
    pub fn expected_run_time(&self, start: &Start) -> DurationMs {
        estimated_slowness(self.speed.report()).from_nominal(start.nominal_ms)
    }

    /// Number of running tasks that are overdue.
    fn overdue(&self, now: TimestampMs) -> u16 {
        let is_overdue = |task: &&HeldTask| match task.phase {
            TaskPhase::Running { started_ms } => {
                now.since(started_ms) > overdue_after(self.expected_run_time(&task.start))
            }
            TaskPhase::Waiting | TaskPhase::Stopping { .. } => false,
        };
        let count = self.tasks.values().filter(is_overdue).count();
        u16::try_from(count).unwrap_or(u16::MAX)
    }

    /// Runs the timers. To be called every few tens of milliseconds.
    pub fn tick(&mut self, now: TimestampMs) {
        let frozen = now.since(self.last_tick_ms) >= self.config.timing.freeze_gap_ms;
        self.last_tick_ms = now;
        let keys: Vec<EntryKey> = self.entries.keys().collect();
        for key in keys {
            if frozen && let Some(session) = self.session_mut(key) {
                session.reset_silence(now);
            }
            self.check_entry(key, now);
        }
        self.start_waiting(now);
        self.speed.decay(now);
        if self.leaving && !self.drained_reported && self.is_drained() {
            self.drained_reported = true;
            self.effects.push(AgentEffect::Drained);
        }
    }

    /// Takes the frames that are due and the other effects since the last call.
    pub fn poll_effects(&mut self, now: TimestampMs) -> Vec<AgentEffect> {
        let total_tasks = u16::try_from(self.tasks.len()).unwrap_or(u16::MAX);
        let total_processors = self.tasks.values().fold(MilliProcessors(0), |sum, task| {
            MilliProcessors(sum.0.saturating_add(task.start.needs.processors.0))
        });
        let overdue = self.overdue(now);
        let failed_jobs = u16::try_from(self.failed_jobs.len()).unwrap_or(u16::MAX);
        let speed = self.speed.report();
        for link in self.entries.values_mut() {
            let Some(session) = &mut link.session else {
                continue;
            };
            let header = FrameHeader {
                reply_to: self.config.inbox,
                rules_revision: self.rules.revision(),
                load: Load {
                    total_tasks,
                    receiver_tasks: link.held,
                    total_processors,
                    receiver_processors: link.held_processors,
                    overdue,
                    failed_jobs,
                    speed,
                },
                heartbeat: if link.held > 0 {
                    Heartbeat::WithinLease(
                        self.config.timing.run_lease_ms * 2 / PINGS_PER_TWO_LEASES,
                    )
                } else {
                    Heartbeat::AtSessionInterval
                },
            };
            while let Some(frame) = session.poll_frame(header, now) {
                let packet = Packet::Frame(frame);
                self.effects.push(AgentEffect::Send {
                    to: link.address.inbox,
                    packet,
                });
            }
        }
        std::mem::take(&mut self.effects)
    }

    fn is_drained(&self) -> bool {
        let delivered = |link: &EntryLink| link.session.as_ref().is_none_or(Session::is_drained);
        self.tasks.is_empty() && self.entries.values().all(delivered)
    }

    fn on_message(&mut self, key: EntryKey, message: Message, now: TimestampMs) {
        match message {
            Message::Start(start) => self.on_start(key, start, now),
            Message::CancelJob(job) => self.on_cancel(key, job),
            Message::Withdraw(task) => self.on_withdraw(key, task),
            Message::Rules(update) => {
                if let Some(drain) = update.zone_drain() {
                    self.on_zone_drain(key, drain, now);
                } else if let Some(feature) = update.feature() {
                    self.on_feature(key, feature);
                } else if self.rules.install_update(&update) {
                    self.rules_installed_ms = now;
                }
                // Each entry that sent them waits until they are in force.
                if let Some(session) = self.session_mut(key) {
                    session.acknowledge_now(now);
                }
            }
            Message::EndsStored(tasks) => self.resolve_ends(&tasks, true),
            Message::EndsDiscarded(tasks) => self.resolve_ends(&tasks, false),
            Message::Entries(entries) => self.add_entries(&entries, now),
            Message::Leaving => self.on_departure(key, now),
            Message::Outcome(_) | Message::Target(_) | Message::TargetAnswered(_) => {}
        }
    }
}

/// Whether two announced targets are the same one, whatever its capacity.
fn is_same_target(left: &Target, right: &Target) -> bool {
    left.service == right.service && left.address == right.address && left.labels == right.labels
}
