//! State machine of an entry: its state, timers and outgoing messages. Each
//! submodule implements the part of the behaviour that it is named after.

mod admission;
mod containment;
mod crashes;
mod dispatch;
mod drains;
mod durable_jobs;
mod endings;
mod forecast;
mod name_homes;
mod names;
mod outcomes;
mod sessions;
mod submissions;

use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};
use std::net::SocketAddr;

use lagoonhill_protocol::{EntryAddress, Load, Message, NameLeaseId, Packet};
use lagoonhill_rules::{Class, RuleSet};
use lagoonhill_types::prelude::*;
use slotmap::SlotMap;

use self::name_homes::ForwardedName;
use self::names::{PendingName, ReconnectedHome, UnansweredHome};
use super::{
    CallerId, CrashContainment, Decision, DecisionKind, EntryConfig, EntryEffect, EntryStatus,
    Fleet, Job, JobKey, NameLeases, Placement, Records, RunTimes, StartupDiscovery, TeamUsage,
    Throughput, TieredQueue, Worker, WorkerKey, WorkerStatus,
};
use crate::{DrainSync, FrameHeader, Heartbeat, Liveness, RulesSync};

/// Run time assumed for a task without a rule, a declaration or history.
const DEFAULT_RUN_TIME_MS: DurationMs = DurationMs(300);

/// Time between two checks of every worker's session.
const SESSION_CHECK_INTERVAL_MS: DurationMs = DurationMs(100);

/// Retry delay proposed to a caller when none can be computed.
const DEFAULT_RETRY_MS: DurationMs = DurationMs(1_000);

/// Accepts jobs, places their tasks on workers and assembles their answers.
#[derive(Debug)]
pub struct Entry<P> {
    config: EntryConfig,
    placement: P,
    rules: RulesSync,
    drains: DrainSync,
    fleet: Fleet,
    jobs: SlotMap<JobKey, Job>,
    by_job: HashMap<JobId, JobKey>,
    by_caller: HashMap<CallerId, JobKey>,
    queues: HashMap<ServiceName, TieredQueue>,
    queued: HashMap<(ServiceName, Class), usize>,
    due: BTreeSet<(TimestampMs, JobKey)>,
    /// Tasks of lost workers, by the time from which they can't run there.
    in_doubt: BTreeSet<(TimestampMs, JobKey, TaskIndex)>,
    /// Jobs with losses of workers that are not resolved.
    jobs_with_losses: BTreeSet<JobKey>,
    /// Tasks that wait until such losses are resolved, by the end of their wait.
    awaited: BTreeSet<(TimestampMs, JobKey, TaskIndex)>,
    /// Durable jobs, by the names that their callers gave them.
    durable_jobs: HashMap<RequestKey, JobKey>,
    /// Number of requests to the store so far.
    store_writes: u64,
    /// Durable jobs whose progress is to be stored, by due time.
    saves_due: BTreeSet<(TimestampMs, JobKey)>,
    /// Until when the store has confirmed that this entry owns its durable jobs.
    owned_until_ms: TimestampMs,
    usage: HashMap<TeamName, TeamUsage>,
    /// When each service last got a job of the most urgent class.
    last_rush_ms: HashMap<ServiceName, TimestampMs>,
    /// Since when jobs of the most urgent class have been waiting without a pause.
    rush_waits_since_ms: HashMap<ServiceName, TimestampMs>,
    run_times: RunTimes,
    throughput: HashMap<(ServiceName, Class), Throughput>,
    containment: CrashContainment,
    records: Records,
    /// Leases on job names that this entry has granted.
    name_leases: NameLeases,
    /// Requests for leases that no home has answered yet.
    pending_names: BTreeMap<NameLeaseId, PendingName>,
    /// Jobs with a lease on their names, by the time of its renewal.
    name_renewals: BTreeSet<(TimestampMs, JobKey)>,
    /// Requests for leases that were forwarded to another home since this entry started.
    forwarded_names: HashMap<RequestKey, ForwardedName>,
    /// Whether this entry is leaving and grants no leases any more.
    is_retired_home: bool,
    started_ms: TimestampMs,
    unanswered_homes: BTreeMap<Incarnation, UnansweredHome>,
    /// Homes that did not answer, until when they are passed over.
    silent_homes: HashMap<Incarnation, TimestampMs>,
    reconnected_homes: HashMap<Incarnation, ReconnectedHome>,
    entries: BTreeSet<EntryAddress>,
    discovery: StartupDiscovery,
    next_number: u64,
    leaving: bool,
    last_tick_ms: TimestampMs,
    last_session_check_ms: TimestampMs,
    /// Workers whose sessions may have frames to send.
    dirty: HashSet<WorkerKey>,
    effects: Vec<EntryEffect>,
}

impl<P: Placement> Entry<P> {
    /// Creates an entry without workers and rules.
    pub fn new(config: EntryConfig, placement: P, now: TimestampMs) -> Self {
        let entries = BTreeSet::from([config.address]);
        Self {
            config,
            placement,
            rules: RulesSync::default(),
            drains: DrainSync::default(),
            fleet: Fleet::default(),
            jobs: SlotMap::with_key(),
            by_job: HashMap::new(),
            by_caller: HashMap::new(),
            queues: HashMap::new(),
            queued: HashMap::new(),
            due: BTreeSet::new(),
            in_doubt: BTreeSet::new(),
            jobs_with_losses: BTreeSet::new(),
            awaited: BTreeSet::new(),
            durable_jobs: HashMap::new(),
            store_writes: 0,
            saves_due: BTreeSet::new(),
            owned_until_ms: TimestampMs(0),
            usage: HashMap::new(),
            last_rush_ms: HashMap::new(),
            rush_waits_since_ms: HashMap::new(),
            run_times: RunTimes::default(),
            throughput: HashMap::new(),
            containment: CrashContainment::default(),
            records: Records::default(),
            name_leases: NameLeases::default(),
            pending_names: BTreeMap::new(),
            name_renewals: BTreeSet::new(),
            forwarded_names: HashMap::new(),
            is_retired_home: false,
            started_ms: now,
            unanswered_homes: BTreeMap::new(),
            silent_homes: HashMap::new(),
            reconnected_homes: HashMap::new(),
            entries,
            discovery: StartupDiscovery::start(now),
            next_number: 1,
            leaving: false,
            last_tick_ms: now,
            last_session_check_ms: now,
            dirty: HashSet::new(),
            effects: Vec::new(),
        }
    }

    /// The rules in force here.
    pub fn rules(&self) -> &RuleSet {
        self.rules.rules()
    }

    /// The known live entries, including this one.
    pub fn entries(&self) -> impl Iterator<Item = &EntryAddress> {
        self.entries.iter()
    }

    /// Number of a queue's jobs of which no task has been dispatched yet.
    pub fn waiting_jobs(&self, queue: &QueueName) -> usize {
        let is_waiting = |job: &&Job| {
            let queue_settings = job.plan.queue_settings.as_ref();
            queue_settings.is_some_and(|settings| settings.queue == *queue) && !job.has_started()
        };
        self.jobs.values().filter(is_waiting).count()
    }

    /// Number of each queue's durable jobs without a dispatched task.
    pub fn waiting_durable(&self) -> BTreeMap<QueueName, usize> {
        let mut counts = BTreeMap::new();
        let durable_jobs = self.durable_jobs.values().map(|key| &self.jobs[*key]);
        for job in durable_jobs.filter(|job| job.is_accepted() && !job.has_started()) {
            if let Some(settings) = &job.plan.queue_settings {
                *counts.entry(settings.queue.clone()).or_default() += 1;
            }
        }
        counts
    }

    /// The jobs that have not ended.
    pub fn jobs(&self) -> Vec<JobId> {
        self.by_job.keys().copied().collect()
    }

    /// Whether every accepted job has ended.
    pub fn is_idle(&self) -> bool {
        self.jobs.is_empty() && self.pending_names.is_empty()
    }

    /// Whether requests are accepted: rules are known and the entry is not leaving.
    pub fn is_ready(&self) -> bool {
        !self.leaving && self.rules.revision() > Revision(0)
    }

    /// The entry's state as the `status` command shows it.
    pub fn status(&self) -> EntryStatus {
        let worker = |(_, worker): (WorkerKey, &Worker)| WorkerStatus {
            id: worker.id.clone(),
            zone: worker.zone.clone(),
            state: worker.state(),
            quarantined: worker.health.is_quarantined(),
            service: worker.target.as_ref().map(|target| target.service.clone()),
            slots: worker.target.as_ref().map_or(0, |target| target.slots.0),
            load: worker.estimated_load(),
            rules_revision: worker.session.peer_revision(),
        };
        EntryStatus {
            address: self.config.address,
            leaving: self.leaving,
            rules_revision: self.rules.revision(),
            jobs: self.jobs.len(),
            queued_tasks: self.queued.values().sum(),
            workers: self.fleet.iter().map(worker).collect(),
            entries: self.entries.iter().copied().collect(),
            drained_zones: self.drains.drained_zones(),
            contained: self.contained_kinds(),
        }
    }

    /// Replaces the set of live entries and notifies agents of new ones.
    pub fn set_entries(&mut self, live: impl IntoIterator<Item = EntryAddress>) {
        let mut entries: BTreeSet<EntryAddress> = live.into_iter().collect();
        entries.insert(self.config.address);
        let fresh: Vec<EntryAddress> = entries.difference(&self.entries).copied().collect();
        self.entries = entries;
        if !fresh.is_empty() {
            self.broadcast(&Message::Entries(fresh));
        }
    }

    /// Installs rules of the platform or a peer if newer; returns whether they were.
    pub fn install_rules(&mut self, rules: RuleSet, now: TimestampMs) -> bool {
        let is_first = self.rules.revision() == Revision(0);
        if !self.rules.install(rules) {
            return false;
        }
        if is_first {
            self.discovery.restart_with_rules(now);
        }
        self.distribute_rules(now);
        true
    }

    fn distribute_rules(&mut self, now: TimestampMs) {
        let revision = self.rules.revision();
        self.log_decision(now, None, None, DecisionKind::Rules { revision });
        for key in self.fleet.keys() {
            self.update_operator_state(key);
        }
        self.fail_all_drained(now);
        self.settle_terms(now);
        if self.config.shares_rules {
            for (key, worker) in self.fleet.iter_mut() {
                worker.session.offer_rules(&self.rules);
                self.dirty.insert(key);
            }
        }
        self.dispatch_all(now);
    }

    /// Refuses new jobs from now on; accepted jobs are finished.
    pub fn leave(&mut self) {
        self.leaving = true;
    }

    /// Sends a leave message to every agent. Called once the entry is idle.
    pub fn send_leave(&mut self) {
        self.broadcast(&Message::Leaving);
    }

    fn broadcast(&mut self, message: &Message) {
        for (key, worker) in self.fleet.iter_mut() {
            worker.session.push(message.clone());
            self.dirty.insert(key);
        }
    }

    fn log_decision(
        &mut self,
        at_ms: TimestampMs,
        job: Option<JobId>,
        index: Option<TaskIndex>,
        kind: DecisionKind,
    ) {
        let known = job.and_then(|id| self.by_job.get(&id));
        let request = known.and_then(|key| self.jobs[*key].name());
        self.log_decision_for_request(at_ms, job, request, index, kind);
    }

    /// As [`Self::log_decision`], for a job that is not, or no longer, indexed.
    fn log_decision_for_request(
        &mut self,
        at_ms: TimestampMs,
        job: Option<JobId>,
        request: Option<RequestKey>,
        index: Option<TaskIndex>,
        kind: DecisionKind,
    ) {
        self.effects.push(EntryEffect::LogDecision(Decision {
            at_ms,
            job,
            request,
            index,
            kind,
        }));
    }

    /// Runs timers. Must be called every few tens of milliseconds.
    pub fn tick(&mut self, now: TimestampMs) {
        let frozen = now.since(self.last_tick_ms) >= self.config.timing.freeze_gap_ms;
        self.last_tick_ms = now;
        if frozen || now.since(self.last_session_check_ms) >= SESSION_CHECK_INTERVAL_MS {
            self.last_session_check_ms = now;
            for key in self.fleet.keys() {
                self.check_session(key, frozen, now);
            }
            self.quarantine_stuck(now);
            self.update_containment(now);
        }
        if frozen {
            self.suspend_own_leases(now);
            self.restart_name_timers(now);
        }
        self.tick_names(now);
        self.abandon_unowned_jobs(now);
        self.store_due_progress(now);
        self.records.expire(now);
        self.resolve_in_doubt(now);
        self.end_waits_for_losses(now);
        self.end_discovery(now);
        self.dispatch_all(now);
    }

    fn check_session(&mut self, key: WorkerKey, frozen: bool, now: TimestampMs) {
        let Some(worker) = self.fleet.get_mut(key) else {
            return;
        };
        if frozen {
            worker.session.reset_silence(now);
        }
        let busy = !worker.is_idle();
        let to: SocketAddr = worker.inbox;
        match worker.session.tick(busy, now) {
            Liveness::Alive => {}
            Liveness::Reconnect => self.effects.push(EntryEffect::Reconnect { to }),
            Liveness::Failed => {
                self.lose_worker(key, "its agent did not answer in time", now);
                self.effects.push(EntryEffect::Disconnect { to });
                return;
            }
        }
        self.dirty.insert(key);
    }

    /// Returns the frames due now and all other effects since the last call.
    pub fn poll_effects(&mut self, now: TimestampMs) -> Vec<EntryEffect> {
        let header = FrameHeader {
            reply_to: self.config.address.inbox,
            rules_revision: self.rules.revision(),
            load: Load::default(),
            heartbeat: Heartbeat::None,
        };
        let mut dirty: Vec<WorkerKey> = self.dirty.drain().collect();
        dirty.sort_unstable();
        for key in dirty {
            let Some(worker) = self.fleet.get_mut(key) else {
                continue;
            };
            while let Some(frame) = worker.session.poll_frame(header, now) {
                let packet = Packet::Frame(frame);
                self.effects.push(EntryEffect::Send {
                    to: worker.inbox,
                    packet,
                });
            }
        }
        std::mem::take(&mut self.effects)
    }
}
