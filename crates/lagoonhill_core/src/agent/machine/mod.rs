//! State machine of an agent: sessions with entries, and the tasks from them.

mod drain;

use std::collections::{BTreeSet, HashMap, HashSet, VecDeque};
use std::net::SocketAddr;

use lagoonhill_protocol::{
    EntryAddress, Frame, Hello, Load, Message, NotRunReason, Outcome, Packet, Reset, SessionId,
    Speed, Start, Target, TaskResult, Welcome,
};
use lagoonhill_rules::RuleSet;
use lagoonhill_types::prelude::*;
use slotmap::SlotMap;

use super::{AgentEffect, EntryKey, EntryLink, HeldTask, TargetSpeed, TaskKey, TaskPhase};
use crate::{
    DrainSync, FrameHeader, Heartbeat, Liveness, RulesSync, Session, Timing, estimated_slowness,
    overdue_after,
};

/// Longest pause between two hellos to an entry that does not answer.
const MAX_HELLO_INTERVAL_MS: DurationMs = DurationMs(10_000);

/// Number of hellos sent at the shorter interval, for an entry that is still
/// starting and will answer within moments.
const FAST_HELLOS: u32 = 4;

/// Divisor of the hello interval for those.
const FAST_HELLO_DIVISOR: u64 = 5;

/// Most failed jobs that are counted.
const MAX_FAILED_JOBS: usize = 16;

/// Number of pings during two run leases to an entry for which tasks are held.
const PINGS_PER_TWO_LEASES: u64 = 5;

/// Shortest time between two pings to an entry whose tasks wait to be confirmed.
const PING_RETRY_MS: DurationMs = DurationMs(50);

/// Time for an edit of the rules to reach the entries without this agent.
const RULES_ECHO_DELAY_MS: DurationMs = DurationMs(3_000);

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
    unstored_ends: HashMap<TaskId, UnstoredEnd>,
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
            entries: SlotMap::with_key(),
            by_incarnation: HashMap::new(),
            departed: HashSet::new(),
            sessions: 0,
            tasks: SlotMap::with_key(),
            waiting: VecDeque::new(),
            running: 0,
            used: Resources::default(),
            unstored_ends: HashMap::new(),
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

    /// The known entries, each with whether its session is open.
    pub fn entries(&self) -> impl Iterator<Item = (&EntryAddress, bool)> {
        self.entries
            .values()
            .map(|link| (&link.address, link.session.is_some()))
    }

    /// Adds entries that are not known yet, and sends each a hello.
    pub fn add_entries(&mut self, entries: &[EntryAddress], now: TimestampMs) {
        for address in entries {
            let known = self.by_incarnation.contains_key(&address.incarnation);
            if known || self.departed.contains(&address.incarnation) {
                continue;
            }
            let number = self.next_session_number();
            let key = self.entries.insert(EntryLink::new(*address, number, now));
            self.by_incarnation.insert(address.incarnation, key);
            self.send_hello(key, now);
        }
    }

    fn next_session_number(&mut self) -> u32 {
        self.sessions += 1;
        self.sessions
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
        self.target.clone_from(&target);
        // The new target may be another one than the last.
        self.speed = TargetSpeed::default();
        self.broadcast(&Message::Target(target));
        if self.target.is_none() {
            self.withdraw_all_waiting(NotRunReason::NoTarget);
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
            Packet::Hello(_) => {}
        }
    }

    /// Handles the end of a run.
    pub fn finished(&mut self, key: TaskKey, result: TaskResult, now: TimestampMs) {
        let Some(task) = self.tasks.remove(key) else {
            return;
        };
        let (TaskPhase::Running { started_ms } | TaskPhase::Stopping { started_ms }) = task.phase
        else {
            return;
        };
        self.running -= 1;
        self.used = self.used - task.start.needs;
        self.count_failure(&task, &result);
        if matches!(result, TaskResult::Done(_)) && task.start.is_learned {
            let run_ms = now.since(started_ms);
            self.speed.observe(run_ms, task.start.nominal_ms, now);
        }
        let run_ms = match result {
            TaskResult::NotRun(_) => DurationMs::ZERO,
            _ => now.since(started_ms),
        };
        self.track_end(key, &task, &result);
        self.report(&task, run_ms, result);
        self.start_waiting(now);
    }

    /// Records the end of a durable job's run until its entry has stored it.
    /// Without the session that dispatched it, it is never stored: it is discarded.
    fn track_end(&mut self, key: TaskKey, task: &HeldTask, result: &TaskResult) {
        let must_store = matches!(result, TaskResult::Done(_) | TaskResult::Failed(_));
        if !task.start.durable || !must_store {
            return;
        }
        let session = self
            .entries
            .get(task.entry)
            .and_then(|link| link.session.as_ref());
        if session.is_some_and(|open| open.id() == task.session) {
            let session = task.session;
            self.unstored_ends
                .insert(task.start.task, UnstoredEnd { key, session });
        } else {
            self.effects.push(AgentEffect::DiscardEnd { key });
        }
    }

    fn resolve_ends(&mut self, tasks: &[TaskId], is_stored: bool) {
        for task in tasks {
            if let Some(UnstoredEnd { key, .. }) = self.unstored_ends.remove(task) {
                self.effects.push(if is_stored {
                    AgentEffect::EndStored { key }
                } else {
                    AgentEffect::DiscardEnd { key }
                });
            }
        }
    }

    /// Counts jobs, not tasks: several failed tasks of one job point to a fault of
    /// the job and not of the target.
    fn count_failure(&mut self, task: &HeldTask, result: &TaskResult) {
        match result {
            TaskResult::Done(_) => self.failed_jobs.clear(),
            TaskResult::Failed(_) | TaskResult::NotRun(NotRunReason::TargetUnhealthy)
                if self.failed_jobs.len() < MAX_FAILED_JOBS =>
            {
                self.failed_jobs.insert(task.start.task.job);
            }
            TaskResult::Failed(_)
            | TaskResult::NotRun(_)
            | TaskResult::MayHaveRun(_)
            | TaskResult::Interrupted(_) => {}
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

    fn session_mut(&mut self, key: EntryKey) -> Option<&mut Session> {
        self.entries.get_mut(key)?.session.as_mut()
    }

    fn broadcast(&mut self, message: &Message) {
        for link in self.entries.values_mut() {
            if let Some(session) = &mut link.session {
                session.push(message.clone());
            }
        }
    }

    fn send_hello(&mut self, key: EntryKey, now: TimestampMs) {
        let link = &mut self.entries[key];
        link.hello_due_ms = now + hello_pause(self.config.timing, link.unanswered);
        link.unanswered += 1;
        let to = link.address.inbox;
        // The first hello may be to a process that has taken over the address of
        // another: it would be lost on a connection to the other one.
        if link.unanswered == 1 || link.unanswered > 2 {
            self.effects.push(AgentEffect::Reconnect { to });
        }
        let hello = Hello {
            session: SessionId {
                entry: link.address.incarnation,
                agent: self.config.incarnation,
                number: link.session_number,
            },
            inbox: self.config.inbox,
            worker: self.config.worker.clone(),
            zone: self.config.zone.clone(),
            target: self.target.clone(),
            leaving: self.leaving,
            sent_ms: now,
            rules_revision: self.rules.revision(),
        };
        self.effects.push(AgentEffect::Send {
            to,
            packet: Packet::Hello(hello),
        });
    }

    fn check_entry(&mut self, key: EntryKey, now: TimestampMs) {
        let timing = self.config.timing;
        let link = &mut self.entries[key];
        let to = link.address.inbox;
        let Some(session) = &mut link.session else {
            if now.since(link.last_received_ms) >= timing.forget_entry_ms {
                self.forget(key);
            } else if now >= link.hello_due_ms && !self.leaving {
                self.send_hello(key, now);
            }
            return;
        };
        let lease_expired = now.since(session.alive_ms()) > timing.run_lease_ms;
        match session.tick(false, now) {
            Liveness::Alive => {}
            Liveness::Reconnect => self.effects.push(AgentEffect::Reconnect { to }),
            Liveness::Failed => return self.end_session(key, now),
        }
        if lease_expired {
            self.stop_expired(key);
        }
    }

    /// Stops the tasks of an entry not confirmed alive within the run lease.
    fn stop_expired(&mut self, entry: EntryKey) {
        let is_running = |task: &HeldTask| {
            task.entry == entry && matches!(task.phase, TaskPhase::Running { .. })
        };
        let running: Vec<TaskKey> = self
            .tasks
            .iter()
            .filter(|(_, task)| is_running(task))
            .map(|(key, _)| key)
            .collect();
        for key in running {
            self.drop_or_stop(key);
        }
    }

    fn forget(&mut self, key: EntryKey) {
        if let Some(link) = self.entries.remove(key) {
            self.by_incarnation.remove(&link.address.incarnation);
            self.effects.push(AgentEffect::Disconnect {
                to: link.address.inbox,
            });
        }
    }

    fn on_welcome(&mut self, welcome: &Welcome, now: TimestampMs) {
        let id = welcome.session;
        if id.agent != self.config.incarnation {
            return;
        }
        if let Some(&key) = self.by_incarnation.get(&id.entry) {
            let timing = self.config.timing;
            let link = &mut self.entries[key];
            link.last_received_ms = now;
            if link.session_number == id.number {
                link.unanswered = 0;
                let is_new = link.session.is_none();
                let session = link
                    .session
                    .get_or_insert_with(|| Session::new(id, timing, welcome.heartbeat_ms, now));
                session.set_heartbeat_interval(welcome.heartbeat_ms);
                session.record_received(welcome.sent_ms, welcome.rules_revision, now);
                session.record_echo(welcome.echo_ms, now);
                if is_new {
                    self.resend_state(key);
                }
                self.offer_rules(key, now);
            }
        }
        self.add_entries(&welcome.entries, now);
    }

    /// Repeats the state sent with the hello: the entry has handled the first of
    /// several hellos, and the target may have changed since.
    fn resend_state(&mut self, key: EntryKey) {
        let Some(session) = self
            .entries
            .get_mut(key)
            .and_then(|link| link.session.as_mut())
        else {
            return;
        };
        session.push(Message::Target(self.target.clone()));
        if self.leaving {
            session.push(Message::Leaving);
        }
        if self.is_zone_drained() {
            self.tell_zone_drain(key);
        }
    }

    /// Sends newer rules to an entry with an older revision, but not those of a
    /// recent edit: entries usually receive an edit before agents do.
    fn offer_rules(&mut self, key: EntryKey, now: TimestampMs) {
        if now.since(self.rules_installed_ms) < RULES_ECHO_DELAY_MS {
            return;
        }
        if let Some(session) = self
            .entries
            .get_mut(key)
            .and_then(|link| link.session.as_mut())
        {
            session.offer_rules(&self.rules);
        }
    }

    fn on_reset(&mut self, reset: Reset, now: TimestampMs) {
        let Some(&key) = self.by_incarnation.get(&reset.session.entry) else {
            return;
        };
        let link = &mut self.entries[key];
        link.last_received_ms = now;
        let Reset { session } = reset;
        if session.agent != self.config.incarnation || session.number != link.session_number {
            return;
        }
        if link.session.is_some() {
            self.end_session(key, now);
        } else {
            // The entry abandoned the session before its welcome arrived.
            self.entries[key].session_number = self.next_session_number();
        }
        if !self.leaving {
            self.send_hello(key, now);
        }
    }

    /// Ends a session: drops its waiting tasks and stops its running ones. The
    /// entry counts both as "may have run", so no report is expected.
    fn end_session(&mut self, key: EntryKey, now: TimestampMs) {
        let Some(session) = self.entries[key].session.take() else {
            return;
        };
        let number = self.next_session_number();
        let link = &mut self.entries[key];
        link.session_number = number;
        link.hello_due_ms = now;
        let id = session.id();
        let ended: Vec<TaskKey> = self
            .tasks
            .iter()
            .filter(|(_, task)| task.session == id)
            .map(|(task_key, _)| task_key)
            .collect();
        for task_key in ended {
            self.drop_or_stop(task_key);
        }
        let unstored = self.unstored_ends.iter();
        let discarded: Vec<TaskId> = unstored
            .filter(|(_, end)| end.session == id)
            .map(|(task, _)| *task)
            .collect();
        self.resolve_ends(&discarded, false);
        self.start_waiting(now);
    }

    /// Drops a waiting task without a report, or stops a running one.
    fn drop_or_stop(&mut self, key: TaskKey) {
        match self.tasks[key].phase {
            TaskPhase::Waiting => {
                self.waiting.retain(|waiting| *waiting != key);
                let task = self.tasks.remove(key).expect("the task was just looked up");
                self.release(&task);
            }
            TaskPhase::Running { started_ms } => {
                self.tasks[key].phase = TaskPhase::Stopping { started_ms };
                self.effects.push(AgentEffect::Stop { key });
            }
            TaskPhase::Stopping { .. } => {}
        }
    }

    fn on_frame(&mut self, frame: Frame, now: TimestampMs) {
        let Some(&key) = self.by_incarnation.get(&frame.session.entry) else {
            return;
        };
        let ping = frame.ping;
        self.open_session_by_frame(key, frame.session, now);
        let link = &mut self.entries[key];
        let to = link.address.inbox;
        let Some(session) = link
            .session
            .as_mut()
            .filter(|open| open.id() == frame.session)
        else {
            return;
        };
        link.last_received_ms = now;
        let messages = session.receive(frame, now);
        if ping >= 2 {
            self.effects.push(AgentEffect::Reconnect { to });
        }
        for message in messages {
            if self.entries.contains_key(key) {
                self.on_message(key, message, now);
            }
        }
        self.offer_rules(key, now);
        self.start_waiting(now);
    }

    /// Opens the requested session when its first frame arrives before the
    /// welcome: the entry has accepted it.
    fn open_session_by_frame(&mut self, key: EntryKey, id: SessionId, now: TimestampMs) {
        let timing = self.config.timing;
        let link = &mut self.entries[key];
        let is_requested = id.agent == self.config.incarnation && id.number == link.session_number;
        if link.session.is_none() && is_requested {
            link.unanswered = 0;
            link.session = Some(Session::new(id, timing, timing.min_heartbeat_ms, now));
            self.resend_state(key);
        }
    }

    fn on_message(&mut self, key: EntryKey, message: Message, now: TimestampMs) {
        match message {
            Message::Start(start) => self.on_start(key, start, now),
            Message::CancelJob(job) => self.on_cancel(key, job),
            Message::Withdraw(task) => self.on_withdraw(key, task),
            Message::Rules(update) => {
                if let Some(drain) = update.zone_drain() {
                    self.on_zone_drain(key, drain, now);
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
            Message::Outcome(_) | Message::Target(_) => {}
        }
    }

    /// Handles the exit of an entry; none of its jobs waits for this agent.
    fn on_departure(&mut self, key: EntryKey, now: TimestampMs) {
        self.departed.insert(self.entries[key].address.incarnation);
        self.end_session(key, now);
        self.forget(key);
    }

    fn on_start(&mut self, entry: EntryKey, start: Start, now: TimestampMs) {
        let refusal = self.refuse_start(entry, &start, now);
        let link = &mut self.entries[entry];
        let Some(session) = link.session.as_ref().map(Session::id) else {
            return;
        };
        link.hold(start.needs.processors);
        let task = HeldTask {
            entry,
            session,
            start,
            arrived_ms: now,
            phase: TaskPhase::Waiting,
        };
        if let Some(reason) = refusal {
            return self.report(&task, DurationMs::ZERO, TaskResult::NotRun(reason));
        }
        let key = self.tasks.insert(task);
        self.waiting.push_back(key);
    }

    fn refuse_start(&self, key: EntryKey, start: &Start, now: TimestampMs) -> Option<NotRunReason> {
        if self.leaving {
            return Some(NotRunReason::Leaving);
        }
        if self.is_zone_drained() {
            return Some(self.drain_reason(key));
        }
        let Some(target) = &self.target else {
            return Some(NotRunReason::NoTarget);
        };
        if self.is_expired(key, start, now) {
            return Some(NotRunReason::Expired);
        }
        if !start.needs.fits_in(target.capacity) {
            return Some(NotRunReason::Full);
        }
        let limit = usize::from(target.slots.0) + usize::from(self.config.overcommit);
        let too_many = self.tasks.len() >= limit;
        let too_long = self.waiting.len() >= usize::from(self.config.overcommit);
        (too_many || too_long && !self.has_capacity(start.needs, target))
            .then_some(NotRunReason::Full)
    }

    /// Whether the target has a free slot and the resources for one more task.
    fn has_capacity(&self, needs: Resources, target: &Target) -> bool {
        self.running < target.slots.0 && (self.used + needs).fits_in(target.capacity)
    }

    /// Whether the entry was confirmed alive recently enough for it to rely on
    /// what it dispatched. A task that was delayed on its way waits for an answer
    /// to a ping: its entry may have abandoned the worker since.
    fn is_confirmed(&self, key: EntryKey, now: TimestampMs) -> bool {
        let session = self.entries.get(key).and_then(|link| link.session.as_ref());
        let timing = self.config.timing;
        let max_age_ms = timing.start_lease_ms.min(timing.run_lease_ms * 3 / 4);
        session.is_some_and(|open| now.since(open.alive_ms()) <= max_age_ms)
    }

    fn is_expired(&self, key: EntryKey, start: &Start, now: TimestampMs) -> bool {
        let session = self.entries.get(key).and_then(|link| link.session.as_ref());
        session
            .is_none_or(|open| open.age(start.decided_ms, now) > self.config.timing.start_lease_ms)
    }

    fn on_cancel(&mut self, entry: EntryKey, job: JobId) {
        let cancelled: Vec<TaskKey> = self
            .tasks
            .iter()
            .filter(|(_, task)| task.entry == entry && task.start.task.job == job)
            .map(|(key, _)| key)
            .collect();
        for key in cancelled {
            self.cancel_task(key);
        }
    }

    fn on_withdraw(&mut self, entry: EntryKey, id: TaskId) {
        let found = self
            .tasks
            .iter()
            .find(|(_, task)| task.entry == entry && task.start.task == id);
        if let Some((key, _)) = found {
            self.cancel_task(key);
        }
    }

    /// Withdraws a waiting task or stops a running one; its outcome is reported.
    fn cancel_task(&mut self, key: TaskKey) {
        if self.tasks[key].phase == TaskPhase::Waiting {
            self.withdraw(key, NotRunReason::Cancelled);
        } else {
            self.drop_or_stop(key);
        }
    }

    fn withdraw(&mut self, key: TaskKey, reason: NotRunReason) {
        self.waiting.retain(|waiting| *waiting != key);
        if let Some(task) = self.tasks.remove(key) {
            self.report(&task, DurationMs::ZERO, TaskResult::NotRun(reason));
        }
    }

    fn withdraw_all_waiting(&mut self, reason: NotRunReason) {
        for key in std::mem::take(&mut self.waiting) {
            if let Some(task) = self.tasks.remove(key) {
                self.report(&task, DurationMs::ZERO, TaskResult::NotRun(reason));
            }
        }
    }

    fn release(&mut self, task: &HeldTask) {
        if let Some(link) = self.entries.get_mut(task.entry) {
            link.release(task.start.needs.processors);
        }
    }

    /// Reports to the session that dispatched the task, if it is still open.
    fn report(&mut self, task: &HeldTask, run_ms: DurationMs, result: TaskResult) {
        self.release(task);
        let session = self
            .entries
            .get_mut(task.entry)
            .and_then(|link| link.session.as_mut());
        let Some(session) = session.filter(|open| open.id() == task.session) else {
            return;
        };
        session.push(Message::Outcome(Outcome {
            task: task.start.task,
            run_ms,
            result,
        }));
    }

    /// Starts waiting tasks while the target has free capacity. Checks the start
    /// lease again: the process may have been frozen since the task arrived.
    fn start_waiting(&mut self, now: TimestampMs) {
        let Some(target) = self.target.clone() else {
            return;
        };
        let mut position = 0;
        while let Some(&key) = self.waiting.get(position) {
            match self.readiness(key, &target, now) {
                Readiness::Expired => self.withdraw(key, NotRunReason::Expired),
                Readiness::Unconfirmed => {
                    let entry = self.tasks[key].entry;
                    if let Some(session) = self.session_mut(entry) {
                        session.request_ping(PING_RETRY_MS, now);
                    }
                    position += 1;
                }
                Readiness::NoCapacity => return,
                Readiness::Ready => {
                    self.waiting.remove(position);
                    self.start_on_target(key, target.clone(), now);
                }
            }
        }
    }

    fn readiness(&self, key: TaskKey, target: &Target, now: TimestampMs) -> Readiness {
        let task = &self.tasks[key];
        let is_confirmed = self.is_confirmed(task.entry, now);
        let waited_ms = now.since(task.arrived_ms);
        if self.is_expired(task.entry, &task.start, now)
            || !is_confirmed && waited_ms > self.config.timing.start_lease_ms
        {
            Readiness::Expired
        } else if !is_confirmed {
            Readiness::Unconfirmed
        } else if self.has_capacity(task.start.needs, target) {
            Readiness::Ready
        } else {
            Readiness::NoCapacity
        }
    }

    fn start_on_target(&mut self, key: TaskKey, target: Target, now: TimestampMs) {
        let task = &mut self.tasks[key];
        task.phase = TaskPhase::Running { started_ms: now };
        let start = task.start.clone();
        self.running += 1;
        self.used = self.used + start.needs;
        self.effects.push(AgentEffect::Run { key, start, target });
    }
}

/// Pause before the next hello after `unanswered` hellos without an answer.
fn hello_pause(timing: Timing, unanswered: u32) -> DurationMs {
    let interval_ms = timing.hello_interval_ms;
    let pause_ms = match unanswered.checked_sub(FAST_HELLOS) {
        None => interval_ms / FAST_HELLO_DIVISOR,
        Some(later) => interval_ms * u64::from(later + 1),
    };
    pause_ms.min(MAX_HELLO_INTERVAL_MS)
}

#[derive(Clone, Copy, Debug)]
struct UnstoredEnd {
    key: TaskKey,
    session: SessionId,
}

/// Whether a waiting task may start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Readiness {
    /// No: it was on its way or has waited for too long.
    Expired,
    /// Not until its entry is confirmed alive.
    Unconfirmed,
    /// Not until the target has free capacity.
    NoCapacity,
    /// Yes.
    Ready,
}
