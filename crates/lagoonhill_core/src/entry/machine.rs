use std::collections::{BTreeSet, HashMap, HashSet};
use std::net::SocketAddr;

use lagoonhill_protocol::{
    EntryAddress, Frame, Hello, Load, Message, Outcome, Packet, Reset, SessionId, Start,
    TaskResult, Welcome,
};
use lagoonhill_rules::{Class, RuleSet};
use lagoonhill_types::prelude::*;
use slotmap::SlotMap;

use super::{
    Answer, CallerId, Candidate, Cause, Charge, Decision, DecisionKind, EntryEffect, Fleet, Job,
    JobFailure, JobKey, JobQueue, KeyBinding, Order, Placement, Record, RecordKey, Records,
    RunCertainty, RunTimes, Situation, Submission, TeamUsage, Worker, WorkerKey, WorkerState,
};
use crate::{FrameHeader, RulesSpread, Session, Timing, Verdict};

/// Bytes that one idle heartbeat and its answer cost on the wire.
const HEARTBEAT_COST_BYTES: u64 = 240;

/// Bytes a second that an entry spends on idle heartbeats at most.
const HEARTBEAT_BUDGET_BYTES_PER_S: u64 = 3_000;

/// Run time of a task of which nothing at all is known.
const DEFAULT_RUN_TIME_MS: DurationMs = DurationMs(300);

/// Time between two looks at every worker.
const WATCH_INTERVAL_MS: DurationMs = DurationMs(100);

/// A probe that took this many times the expected run time was not well run.
const SLOW_PROBE_FACTOR: u64 = 3;

/// Pause proposed when nothing better can be computed.
const DEFAULT_RETRY_MS: DurationMs = DurationMs(1_000);

/// Settings of an entry that do not change while it runs.
#[derive(Clone, Debug)]
pub struct EntryConfig {
    /// Where the entry is, and which run of it.
    pub address: EntryAddress,
    /// Session limits.
    pub timing: Timing,
    /// Tasks that an agent is given beyond its slots.
    pub look_ahead: u16,
    /// Queued tasks at most, for each service.
    pub max_queued_tasks: usize,
    /// Longest deadline that a caller may ask for.
    pub max_deadline_ms: DurationMs,
    /// How often one task may be handed back unstarted before its job fails.
    pub max_moves: u8,
    /// How long a ticket may be used.
    pub ticket_life_ms: DurationMs,
    /// How long the answer of a ticket or key is kept. Must outlive both the
    /// ticket and the key's binding in the platform's store.
    pub record_life_ms: DurationMs,
}

impl EntryConfig {
    /// The usual settings at an address.
    pub fn new(address: EntryAddress) -> Self {
        Self {
            address,
            timing: Timing::default(),
            look_ahead: 1,
            max_queued_tasks: 50_000,
            max_deadline_ms: DurationMs::from_secs(120),
            max_moves: 8,
            ticket_life_ms: DurationMs::from_secs(300),
            record_life_ms: DurationMs::from_secs(900),
        }
    }
}

/// One worker, as `status` shows it.
#[derive(Clone, Debug)]
pub struct WorkerStatus {
    /// Its name.
    pub id: WorkerId,
    /// Its availability zone.
    pub zone: AvailabilityZone,
    /// Where it stands.
    pub state: WorkerState,
    /// Whether it gets probes only.
    pub quarantined: bool,
    /// Its service, if a target is announced.
    pub service: Option<ServiceName>,
    /// Its slots.
    pub slots: u16,
    /// Tasks estimated there.
    pub load: u16,
    /// The rules it has.
    pub rules_revision: Revision,
}

/// An entry, as `status` shows it.
#[derive(Clone, Debug)]
pub struct EntryStatus {
    /// Its address and incarnation.
    pub address: EntryAddress,
    /// Whether it is leaving.
    pub leaving: bool,
    /// The rules in force here.
    pub rules_revision: Revision,
    /// Jobs without an answer.
    pub jobs: usize,
    /// Tasks in the queues.
    pub queued_tasks: usize,
    /// Its workers.
    pub workers: Vec<WorkerStatus>,
    /// The entries it knows, itself included.
    pub entries: Vec<EntryAddress>,
}

/// Takes jobs, places their tasks and assembles their answers.
#[derive(Debug)]
pub struct Entry<P> {
    config: EntryConfig,
    placement: P,
    rules: RulesSpread,
    fleet: Fleet,
    jobs: SlotMap<JobKey, Job>,
    by_job: HashMap<JobId, JobKey>,
    by_caller: HashMap<CallerId, JobKey>,
    queues: HashMap<ServiceName, JobQueue>,
    queued: HashMap<(ServiceName, Class), usize>,
    due: BTreeSet<(TimestampMs, JobKey)>,
    usage: HashMap<TeamName, TeamUsage>,
    run_times: RunTimes,
    records: Records,
    entries: BTreeSet<EntryAddress>,
    next_number: u64,
    leaving: bool,
    last_tick_ms: TimestampMs,
    last_watch_ms: TimestampMs,
    dirty: HashSet<WorkerKey>,
    effects: Vec<EntryEffect>,
}

impl<P: Placement> Entry<P> {
    /// An entry that knows no worker and no rules yet.
    pub fn new(config: EntryConfig, placement: P, now: TimestampMs) -> Self {
        let entries = BTreeSet::from([config.address]);
        Self {
            config,
            placement,
            rules: RulesSpread::default(),
            fleet: Fleet::default(),
            jobs: SlotMap::with_key(),
            by_job: HashMap::new(),
            by_caller: HashMap::new(),
            queues: HashMap::new(),
            queued: HashMap::new(),
            due: BTreeSet::new(),
            usage: HashMap::new(),
            run_times: RunTimes::default(),
            records: Records::default(),
            entries,
            next_number: 1,
            leaving: false,
            last_tick_ms: now,
            last_watch_ms: now,
            dirty: HashSet::new(),
            effects: Vec::new(),
        }
    }

    // ----- What others know and what they are told -----

    /// The rules in force here.
    pub fn rules(&self) -> &RuleSet {
        self.rules.rules()
    }

    /// The entries known, this one included.
    pub fn entries(&self) -> impl Iterator<Item = &EntryAddress> {
        self.entries.iter()
    }

    /// The jobs without an answer.
    pub fn jobs(&self) -> Vec<JobId> {
        self.by_job.keys().copied().collect()
    }

    /// Whether every accepted job has its answer.
    pub fn is_idle(&self) -> bool {
        self.jobs.is_empty()
    }

    /// Whether requests are taken: rules are known and the entry stays.
    pub fn is_ready(&self) -> bool {
        !self.leaving && self.rules.revision() > Revision(0)
    }

    /// The entry as `status` shows it.
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
        }
    }

    /// Replaces the set of live entries; agents are told of new ones.
    pub fn set_entries(&mut self, live: impl IntoIterator<Item = EntryAddress>) {
        let mut entries: BTreeSet<EntryAddress> = live.into_iter().collect();
        entries.insert(self.config.address);
        let fresh: Vec<EntryAddress> = entries.difference(&self.entries).copied().collect();
        self.entries = entries;
        if !fresh.is_empty() {
            self.broadcast(&Message::Entries(fresh));
        }
    }

    /// Installs rules read from the platform or a peer, if they are newer.
    pub fn install_rules(&mut self, rules: RuleSet, now: TimestampMs) -> bool {
        if !self.rules.install(rules) {
            return false;
        }
        self.spread_rules(now);
        true
    }

    fn spread_rules(&mut self, now: TimestampMs) {
        let revision = self.rules.revision();
        self.decide(now, None, None, DecisionKind::Rules { revision });
        for (key, worker) in self.fleet.iter_mut() {
            worker.session.offer_rules(&self.rules);
            self.dirty.insert(key);
        }
        self.dispatch_all(now);
    }

    /// Refuses new jobs from now on; accepted ones are finished.
    pub fn leave(&mut self) {
        self.leaving = true;
    }

    /// Says good-bye to every agent, once idle.
    pub fn depart(&mut self) {
        self.broadcast(&Message::Leaving);
    }

    fn broadcast(&mut self, message: &Message) {
        for (key, worker) in self.fleet.iter_mut() {
            worker.session.push(message.clone());
            self.dirty.insert(key);
        }
    }

    fn decide(
        &mut self,
        at_ms: TimestampMs,
        job: Option<JobId>,
        index: Option<TaskIndex>,
        kind: DecisionKind,
    ) {
        self.effects.push(EntryEffect::Decided(Decision {
            at_ms,
            job,
            index,
            kind,
        }));
    }

    // ----- Submissions -----

    /// Issues tickets, each for one submission that may run at most once.
    pub fn issue_tickets(&mut self, count: u16, now: TimestampMs) -> Vec<Ticket> {
        let expires_ms = now + self.config.ticket_life_ms;
        let EntryAddress {
            incarnation, http, ..
        } = self.config.address;
        let mut ticket = || {
            let number = self.next_number();
            Ticket {
                entry: incarnation,
                number,
                expires_ms,
                address: http,
            }
        };
        (0..count).map(|_| ticket()).collect()
    }

    fn next_number(&mut self) -> u64 {
        let number = self.next_number;
        self.next_number += 1;
        number
    }

    /// Takes a job that may be repeated.
    pub fn submit(&mut self, caller: CallerId, submission: Submission, now: TimestampMs) {
        let number = self.next_number();
        self.admit(caller, submission, number, None, now);
        self.dispatch_all(now);
    }

    /// Takes a job under a ticket that this incarnation issued.
    pub fn submit_ticket(
        &mut self,
        caller: CallerId,
        ticket: Ticket,
        submission: Submission,
        now: TimestampMs,
    ) {
        let key = RecordKey::Ticket(ticket.number);
        if self.replay(&key, caller, &submission) {
            return;
        }
        if now >= ticket.expires_ms || ticket.number >= self.next_number {
            let failure = JobFailure {
                run: RunCertainty::MayHaveRun,
                cause: Cause::TicketExpired,
                retry_after_ms: None,
            };
            return self.answer(
                caller,
                Answer {
                    job: None,
                    outcome: Err(failure),
                },
            );
        }
        self.admit(caller, submission, ticket.number, Some(key), now);
        self.dispatch_all(now);
    }

    /// Takes a job under the caller's own key. `bound_here` says that the
    /// platform has shown the key to be bound to this incarnation.
    pub fn submit_key(
        &mut self,
        caller: CallerId,
        request_key: RequestKey,
        bound_here: bool,
        submission: Submission,
        now: TimestampMs,
    ) {
        let key = RecordKey::Key(request_key.clone());
        if self.replay(&key, caller, &submission) {
            return;
        }
        if bound_here {
            let number = self.next_number();
            self.admit(caller, submission, number, Some(key), now);
            return self.dispatch_all(now);
        }
        if let Err(failure) = self.check(&submission) {
            return self.refuse(caller, failure, now);
        }
        let fingerprint = submission.fingerprint();
        let record = Record::Binding {
            callers: vec![caller],
            submission: Box::new(submission),
        };
        self.records.insert(key, fingerprint, record);
        self.effects.push(EntryEffect::BindKey { key: request_key });
    }

    /// The platform's word on a key.
    pub fn key_bound(&mut self, request_key: RequestKey, binding: KeyBinding, now: TimestampMs) {
        let key = RecordKey::Key(request_key);
        let Some(Record::Binding { .. }) = self.records.get(&key).map(|(_, record)| record) else {
            return;
        };
        let Some(Record::Binding {
            callers,
            submission,
        }) = self.records.remove(&key)
        else {
            return;
        };
        match binding {
            KeyBinding::Mine => self.admit_bound(&key, callers, *submission, now),
            KeyBinding::Other(owner) => {
                let forward = |caller| EntryEffect::Forward { caller, owner };
                self.effects.extend(callers.into_iter().map(forward));
            }
            KeyBinding::Unavailable => self.refuse_bound(callers, &Cause::StoreUnavailable, now),
            KeyBinding::OverBudget => self.refuse_bound(callers, &Cause::KeyBudget, now),
        }
    }

    /// Refuses a request whose key was not bound: nothing was started.
    fn refuse_bound(&mut self, callers: Vec<CallerId>, cause: &Cause, now: TimestampMs) {
        for caller in callers {
            let failure = JobFailure::refused_for_now(cause.clone(), DEFAULT_RETRY_MS);
            self.refuse(caller, failure, now);
        }
    }

    fn admit_bound(
        &mut self,
        key: &RecordKey,
        callers: Vec<CallerId>,
        submission: Submission,
        now: TimestampMs,
    ) {
        let number = self.next_number();
        let mut callers = callers.into_iter();
        let Some(first) = callers.next() else {
            return;
        };
        let again = submission.clone();
        self.admit(first, submission, number, Some(key.clone()), now);
        for caller in callers {
            if !self.replay(key, caller, &again) {
                let failure =
                    JobFailure::refused_for_now(Cause::StoreUnavailable, DEFAULT_RETRY_MS);
                self.refuse(caller, failure, now);
            }
        }
        self.dispatch_all(now);
    }

    /// Attaches a caller to what its key or ticket already stands for.
    fn replay(&mut self, key: &RecordKey, caller: CallerId, submission: &Submission) -> bool {
        let Some((fingerprint, _)) = self.records.get(key) else {
            return false;
        };
        if fingerprint != submission.fingerprint() {
            let failure = JobFailure::refused(Cause::KeyReused);
            self.answer(
                caller,
                Answer {
                    job: None,
                    outcome: Err(failure),
                },
            );
            return true;
        }
        match self.records.get_mut(key) {
            Some(Record::Binding { callers, .. }) => callers.push(caller),
            Some(Record::Running { job }) => {
                let key = *job;
                self.by_caller.insert(caller, key);
                self.jobs[key].callers.push(caller);
            }
            Some(Record::Finished { answer }) => {
                let answer = answer.clone();
                self.answer(caller, answer);
            }
            None => return false,
        }
        true
    }

    /// Cancels a job; returns whether it was still running.
    pub fn cancel(&mut self, id: JobId, now: TimestampMs) -> bool {
        let Some(&key) = self.by_job.get(&id) else {
            return false;
        };
        self.fail_job(key, Cause::Cancelled, now);
        self.dispatch_all(now);
        true
    }

    /// A caller hung up. A job that nobody can ask about any more is cancelled.
    pub fn abandon(&mut self, caller: CallerId, now: TimestampMs) {
        let Some(key) = self.by_caller.remove(&caller) else {
            return;
        };
        let job = &mut self.jobs[key];
        job.callers.retain(|waiting| *waiting != caller);
        if job.callers.is_empty() && job.record.is_none() {
            self.fail_job(key, Cause::Cancelled, now);
            self.dispatch_all(now);
        }
    }

    // ----- Admission -----

    /// What can be refused without regard to load.
    fn check(&self, submission: &Submission) -> Result<(), JobFailure> {
        if self.leaving {
            return Err(JobFailure::refused_for_now(
                Cause::Leaving,
                DEFAULT_RETRY_MS,
            ));
        }
        if self.rules.revision() == Revision(0) {
            return Err(JobFailure::refused_for_now(
                Cause::NoRules,
                DEFAULT_RETRY_MS,
            ));
        }
        let refused = |cause| Err(JobFailure::refused(cause));
        let Some(service) = self.rules().service(&submission.service) else {
            return refused(Cause::UnknownService(submission.service.clone()));
        };
        if self.rules().team(&submission.team).is_none() {
            return refused(Cause::UnknownTeam(submission.team.clone()));
        }
        if submission.tasks.is_empty() {
            return refused(Cause::NoTasks {
                max: service.max_tasks,
            });
        }
        if submission.tasks.len() > usize::from(service.max_tasks) {
            let found = submission.tasks.len();
            return refused(Cause::TooManyTasks {
                found,
                max: service.max_tasks,
            });
        }
        Ok(())
    }

    fn admit(
        &mut self,
        caller: CallerId,
        submission: Submission,
        number: u64,
        record: Option<RecordKey>,
        now: TimestampMs,
    ) {
        if let Err(failure) = self
            .check(&submission)
            .and_then(|()| self.check_load(&submission, now))
        {
            return self.refuse(caller, failure, now);
        }
        let fingerprint = submission.fingerprint();
        let Submission {
            service,
            team,
            tasks,
            ..
        } = &submission;
        let (service, team, count) = (service.clone(), team.clone(), tasks.len());
        let run_time_ms = self.expected_run_time(&submission);
        let mut job = self.new_job(submission, number, now);
        job.callers.push(caller);
        job.record.clone_from(&record);
        let slots = u64::from(self.fleet.slots(&service).max(1));
        job.rank_ms = now.0 + run_time_ms.0 * count as u64 / slots;
        let (id, class, due_ms, rank_ms) = (job.id, job.class, job.due_ms(), job.rank_ms);
        let key = self.jobs.insert(job);
        self.by_job.insert(id, key);
        self.by_caller.insert(caller, key);
        self.due.insert((due_ms, key));
        if let Some(record) = record {
            self.records
                .insert(record, fingerprint, Record::Running { job: key });
        }
        let queued = self.queued_tasks(&service);
        *self.queued.entry((service.clone(), class)).or_default() += count;
        self.queues
            .entry(service.clone())
            .or_default()
            .insert(class, &team, rank_ms, key);
        self.decide(
            now,
            Some(id),
            None,
            DecisionKind::Admitted {
                tasks: count,
                service,
                team,
                queued,
            },
        );
    }

    fn new_job(&self, submission: Submission, number: u64, now: TimestampMs) -> Job {
        let rule = self
            .rules()
            .service(&submission.service)
            .cloned()
            .unwrap_or_default();
        let needs = submission.needs.max(super::Needs {
            memory_bytes: rule.memory_bytes,
            accelerators: rule.accelerators,
        });
        let deadline_ms = self.deadline(&submission);
        Job::new(
            JobId {
                entry: self.config.address.incarnation,
                number,
            },
            submission.service.clone(),
            submission.team.clone(),
            self.class_of(&submission.service, &submission.team),
            needs,
            now,
            deadline_ms,
            rule.run_limit_ms.min(deadline_ms),
            submission.tasks,
        )
    }

    fn class_of(&self, service: &ServiceName, team: &TeamName) -> Class {
        let by_team = self.rules().team(team).and_then(|rule| rule.class);
        by_team.unwrap_or_else(|| {
            self.rules()
                .service(service)
                .map_or_else(Class::default, |rule| rule.class)
        })
    }

    fn deadline(&self, submission: &Submission) -> DurationMs {
        let by_rule = self
            .rules()
            .service(&submission.service)
            .map(|rule| rule.deadline_ms);
        let wanted = submission.deadline_ms.or(by_rule);
        wanted
            .unwrap_or(self.config.max_deadline_ms)
            .min(self.config.max_deadline_ms)
    }

    fn expected_run_time(&self, submission: &Submission) -> DurationMs {
        let by_rule_ms = self.prior_run_time(&submission.service);
        let prior_ms = submission.run_time_ms.unwrap_or(by_rule_ms);
        self.run_times.expected(&submission.service, prior_ms)
    }

    fn queued_tasks(&self, service: &ServiceName) -> usize {
        Class::ALL
            .iter()
            .map(|class| self.queued_in(service, *class))
            .sum()
    }

    fn queued_in(&self, service: &ServiceName, class: Class) -> usize {
        self.queued
            .get(&(service.clone(), class))
            .copied()
            .unwrap_or(0)
    }

    /// What depends on the fleet and the queues.
    fn check_load(&mut self, submission: &Submission, now: TimestampMs) -> Result<(), JobFailure> {
        let Submission {
            service,
            team,
            tasks,
            ..
        } = submission;
        if self.fleet.of_service(service).is_empty() {
            let cause = Cause::NoWorkers(service.clone());
            return Err(JobFailure::refused_for_now(cause, DEFAULT_RETRY_MS));
        }
        let rule = self.rules().service(service).cloned().unwrap_or_default();
        let needs = submission.needs.max(super::Needs {
            memory_bytes: rule.memory_bytes,
            accelerators: rule.accelerators,
        });
        if !self.fleet.any_fits(service, needs) {
            return Err(JobFailure::refused(Cause::NeverFits(needs.to_string())));
        }
        self.check_queue(submission)?;
        let rate = self.rules().team(team).and_then(|rule| rule.rate);
        let Some(rate) = rate else {
            return Ok(());
        };
        let share = f64::from(rate.0) / self.live_entries();
        let count = u32::try_from(tasks.len()).unwrap_or(u32::MAX);
        let bucket = &mut self.usage.entry(team.clone()).or_default().bucket;
        bucket.take(count, share, now).map_err(|wait_ms| {
            JobFailure::refused_for_now(Cause::RateLimited(team.clone()), wait_ms)
        })
    }

    fn live_entries(&self) -> f64 {
        f64::from(u32::try_from(self.entries.len().max(1)).unwrap_or(u32::MAX))
    }

    fn check_queue(&self, submission: &Submission) -> Result<(), JobFailure> {
        let Submission {
            service,
            team,
            tasks,
            ..
        } = submission;
        let class = self.class_of(service, team);
        let run_time_ms = self.expected_run_time(submission);
        let slots = u64::from(self.fleet.slots(service)).max(1);
        let slots = (slots / self.entries.len().max(1) as u64).max(1);
        let ahead: usize = Class::ALL
            .iter()
            .filter(|other| **other <= class)
            .map(|other| self.queued_in(service, *other))
            .sum();
        let wait_ms = run_time_ms * (ahead as u64) / slots;
        let own_ms = run_time_ms * (tasks.len() as u64) / slots + run_time_ms;
        if self.queued_tasks(service) + tasks.len() > self.config.max_queued_tasks {
            let retry_ms = own_ms.max(DEFAULT_RETRY_MS);
            return Err(JobFailure::refused_for_now(
                Cause::QueueFull(service.clone()),
                retry_ms,
            ));
        }
        let deadline_ms = self.deadline(submission);
        if wait_ms + own_ms <= deadline_ms || ahead == 0 {
            return Ok(());
        }
        let over_ms = DurationMs((wait_ms + own_ms).0 - deadline_ms.0);
        Err(JobFailure::refused_for_now(
            Cause::TooLate { deadline_ms },
            over_ms,
        ))
    }

    // ----- Ends of jobs -----

    fn refuse(&mut self, caller: CallerId, failure: JobFailure, now: TimestampMs) {
        self.decide(
            now,
            None,
            None,
            DecisionKind::Refused {
                cause: failure.cause.clone(),
            },
        );
        self.answer(
            caller,
            Answer {
                job: None,
                outcome: Err(failure),
            },
        );
    }

    fn answer(&mut self, caller: CallerId, answer: Answer) {
        self.effects.push(EntryEffect::Answer { caller, answer });
    }

    /// Takes a job out of every index; orders at workers stay accounted for.
    fn remove_job(&mut self, key: JobKey) -> Option<Job> {
        let job = self.jobs.remove(key)?;
        self.by_job.remove(&job.id);
        self.due.remove(&(job.due_ms(), key));
        self.unqueue(&job, key, job.ready_count());
        Some(job)
    }

    fn unqueue(&mut self, job: &Job, key: JobKey, tasks: usize) {
        if let Some(count) = self.queued.get_mut(&(job.service.clone(), job.class)) {
            *count = count.saturating_sub(tasks);
        }
        if let Some(queue) = self.queues.get_mut(&job.service) {
            queue.remove(job.class, &job.team, job.rank_ms, key);
        }
    }

    fn complete_job(&mut self, key: JobKey, now: TimestampMs) {
        let Some(job) = self.remove_job(key) else {
            return;
        };
        let Some(results) = job.results() else {
            return;
        };
        self.decide(now, Some(job.id), None, DecisionKind::Completed);
        self.close_job(&job, Ok(results), now);
    }

    /// Fails a job as a whole: what has not started is withdrawn, what runs is
    /// stopped where the target can, and the callers are told at once.
    fn fail_job(&mut self, key: JobKey, cause: Cause, now: TimestampMs) {
        let Some(job) = self.remove_job(key) else {
            return;
        };
        for worker_key in job.workers() {
            if let Some(worker) = self.fleet.get_mut(worker_key) {
                worker.session.push(Message::CancelJob(job.id));
                self.dirty.insert(worker_key);
            }
        }
        let run = job.certainty();
        let retry_after_ms = (run == RunCertainty::NotRun).then_some(DEFAULT_RETRY_MS);
        self.decide(
            now,
            Some(job.id),
            None,
            DecisionKind::Failed {
                run,
                cause: cause.clone(),
            },
        );
        self.close_job(
            &job,
            Err(JobFailure {
                run,
                cause,
                retry_after_ms,
            }),
            now,
        );
    }

    fn close_job(
        &mut self,
        job: &Job,
        outcome: Result<std::sync::Arc<[Payload]>, JobFailure>,
        now: TimestampMs,
    ) {
        let never_ran = matches!(&outcome, Err(failure) if failure.run == RunCertainty::NotRun);
        let answer = Answer {
            job: Some(job.id),
            outcome,
        };
        if let Some(record) = &job.record {
            if never_ran {
                self.records.remove(record);
            } else {
                self.records
                    .finish(record, answer.clone(), now + self.config.record_life_ms);
            }
        }
        for caller in &job.callers {
            self.by_caller.remove(caller);
            self.answer(*caller, answer.clone());
        }
    }

    // ----- Placement -----

    /// Fails every job whose deadline has passed. Runs before each placement,
    /// so that nothing overdue starts after the process itself was frozen.
    fn expire_jobs(&mut self, now: TimestampMs) {
        while let Some(&(due_ms, key)) = self.due.first() {
            if due_ms > now {
                break;
            }
            let deadline_ms = self.jobs[key].deadline_ms;
            self.fail_job(key, Cause::DeadlinePassed { deadline_ms }, now);
        }
    }

    fn dispatch_all(&mut self, now: TimestampMs) {
        self.expire_jobs(now);
        let services: Vec<ServiceName> = self
            .queues
            .iter()
            .filter(|(_, queue)| !queue.is_empty())
            .map(|(service, _)| service.clone())
            .collect();
        for service in services {
            self.dispatch(&service, now);
        }
    }

    /// Places ready tasks of a service while workers have room.
    fn dispatch(&mut self, service: &ServiceName, now: TimestampMs) {
        let mut candidates = self.fleet.candidates(service, self.rules.rules(), now);
        let mut blocked: HashSet<JobKey> = HashSet::new();
        while candidates
            .iter()
            .any(|candidate| candidate.has_room(self.config.look_ahead))
        {
            let Some(key) = self.next_job(service, &blocked) else {
                return;
            };
            let needs = self.jobs[key].needs;
            let fitting: Vec<usize> = (0..candidates.len())
                .filter(|index| {
                    self.fleet
                        .get(candidates[*index].key)
                        .is_some_and(|worker| worker.fits(needs))
                })
                .collect();
            let open: Vec<Candidate> = fitting.iter().map(|index| candidates[*index]).collect();
            let situation = self.situation(service);
            // A probe goes first: a policy that prefers other workers would
            // never find out that this one has recovered.
            let probe = open.iter().position(|candidate| candidate.is_probe);
            match probe.or_else(|| self.placement.choose(&open, situation)) {
                Some(choice) => {
                    let index = fitting[choice];
                    self.place(key, candidates[index], &open, now);
                    candidates[index].load += 1;
                    if candidates[index].is_probe {
                        candidates.swap_remove(index);
                    }
                }
                None => {
                    blocked.insert(key);
                }
            }
        }
    }

    fn next_job(&self, service: &ServiceName, blocked: &HashSet<JobKey>) -> Option<JobKey> {
        let queue = self.queues.get(service)?;
        queue.next(|team, key| !blocked.contains(&key) && self.has_quota(team))
    }

    fn has_quota(&self, team: &TeamName) -> bool {
        let Some(limit) = self.rules().team(team).and_then(|rule| rule.concurrency) else {
            return true;
        };
        let share = f64::from(limit) / self.live_entries();
        let in_flight = self.usage.get(team).map_or(0, |usage| usage.in_flight);
        f64::from(in_flight) < share.max(1.0)
    }

    fn situation(&self, service: &ServiceName) -> Situation {
        let prior_ms = self.prior_run_time(service);
        Situation {
            run_time_ms: self.run_times.expected(service, prior_ms),
            look_ahead: self.config.look_ahead,
        }
    }

    /// The run time that operators expect, before any has been learned.
    fn prior_run_time(&self, service: &ServiceName) -> DurationMs {
        let rule = self.rules().service(service);
        rule.map_or(DEFAULT_RUN_TIME_MS, |rule| rule.run_time_ms)
    }

    fn place(&mut self, key: JobKey, chosen: Candidate, open: &[Candidate], now: TimestampMs) {
        let job = &mut self.jobs[key];
        let Some((index, payload)) = job.send_next(chosen.key) else {
            return;
        };
        let task = TaskId { job: job.id, index };
        let (service, team, class) = (job.service.clone(), job.team.clone(), job.class);
        let (run_limit_ms, rank_ms, emptied) =
            (job.run_limit_ms, job.rank_ms, job.ready_count() == 0);
        let prior_ms = self.prior_run_time(&service);
        let charge = Charge {
            run_time_ms: self.run_times.expected(&service, prior_ms),
            class_weight: self.rules().class_weight(class),
            team_weight: self.rules().team(&team).map_or(1, |rule| rule.weight),
        };
        if let Some(count) = self.queued.get_mut(&(service.clone(), class)) {
            *count = count.saturating_sub(1);
        }
        if let Some(queue) = self.queues.get_mut(&service) {
            queue.charge(class, &team, charge);
            if emptied {
                queue.remove(class, &team, rank_ms, key);
            }
        }
        self.usage.entry(team.clone()).or_default().in_flight += 1;
        let look_ahead = self.config.look_ahead;
        let alternatives = open
            .iter()
            .filter(|other| other.has_room(look_ahead))
            .count();
        let worker = self
            .fleet
            .get_mut(chosen.key)
            .expect("the candidate was taken from the fleet");
        worker.orders.insert(task, Order { sent_ms: now, team });
        worker.session.push(Message::Start(Start {
            task,
            decided_ms: now,
            run_limit_ms,
            payload,
        }));
        let kind = DecisionKind::Placed {
            worker: worker.id.clone(),
            load: chosen.load,
            slots: chosen.slots,
            alternatives: u16::try_from(alternatives.saturating_sub(1)).unwrap_or(u16::MAX),
        };
        self.dirty.insert(chosen.key);
        self.decide(now, Some(task.job), Some(index), kind);
    }

    // ----- Sessions -----

    /// Takes a packet from a link.
    pub fn receive(&mut self, packet: Packet, now: TimestampMs) {
        match packet {
            Packet::Hello(hello) => self.on_hello(hello, now),
            Packet::Frame(frame) => self.on_frame(frame, now),
            Packet::Welcome(_) | Packet::Reset(_) | Packet::Entries(_) => {}
        }
    }

    fn heartbeat(&self) -> DurationMs {
        let sessions = self.fleet.len() as u64;
        let interval_ms = sessions * HEARTBEAT_COST_BYTES * 1_000 / HEARTBEAT_BUDGET_BYTES_PER_S;
        DurationMs(interval_ms).max(self.config.timing.min_heartbeat_ms)
    }

    fn on_hello(&mut self, hello: Hello, now: TimestampMs) {
        let to = hello.inbox;
        if hello.session.entry != self.config.address.incarnation {
            let packet = Packet::Entries(self.entries.iter().copied().collect());
            return self.effects.push(EntryEffect::Send { to, packet });
        }
        let known = self.fleet.find_id(&hello.worker);
        if let Some(key) = known {
            let current = self.fleet.get(key).map(|worker| worker.session.id());
            if current == Some(hello.session) {
                return self.welcome(key, now);
            }
            if current.is_some_and(|current| is_newer(current, hello.session)) {
                return;
            }
            self.lose_worker(key, "its agent began a new session", now);
        }
        let heartbeat_ms = self.heartbeat();
        let mut session = Session::new(hello.session, self.config.timing, heartbeat_ms, now);
        session.heard(hello.sent_ms, hello.rules_revision, now);
        session.offer_rules(&self.rules);
        let mut worker = Worker::new(hello.worker, hello.zone, to, hello.target, session);
        worker.leaving = hello.leaving;
        let id = worker.id.clone();
        let key = self.fleet.insert(worker);
        self.decide(now, None, None, DecisionKind::Joined { worker: id });
        self.welcome(key, now);
        self.dirty.insert(key);
        self.dispatch_all(now);
    }

    fn welcome(&mut self, key: WorkerKey, now: TimestampMs) {
        let heartbeat_ms = self.heartbeat();
        let rules_revision = self.rules.revision();
        let entries = self.entries.iter().copied().collect();
        let Some(worker) = self.fleet.get_mut(key) else {
            return;
        };
        worker.told_heartbeat_ms = heartbeat_ms;
        worker.session.set_heartbeat(heartbeat_ms);
        let session = worker.session.id();
        let welcome = Welcome {
            session,
            sent_ms: now,
            heartbeat_ms,
            rules_revision,
            entries,
        };
        let packet = Packet::Welcome(welcome);
        self.effects.push(EntryEffect::Send {
            to: worker.inbox,
            packet,
        });
    }

    fn on_frame(&mut self, frame: Frame, now: TimestampMs) {
        let Some(key) = self.fleet.find_session(frame.session) else {
            let packet = Packet::Reset(Reset {
                session: frame.session,
            });
            return self.effects.push(EntryEffect::Send {
                to: frame.reply_to,
                packet,
            });
        };
        let ping = frame.ping;
        let heartbeat_ms = self.heartbeat();
        let worker = self.fleet.get_mut(key).expect("the key was just found");
        worker.load = frame.load;
        let messages = worker.session.receive(frame, now);
        let to = worker.inbox;
        let told_ms = worker.told_heartbeat_ms;
        self.dirty.insert(key);
        if ping >= 2 {
            self.effects.push(EntryEffect::Redial { to });
        }
        if ping > 0 && (heartbeat_ms > told_ms * 2 || told_ms > heartbeat_ms * 2) {
            self.welcome(key, now);
        }
        for message in messages {
            self.on_message(key, message, now);
        }
        if let Some(worker) = self.fleet.get_mut(key) {
            worker.session.offer_rules(&self.rules);
        }
        self.dispatch_all(now);
    }

    fn on_message(&mut self, key: WorkerKey, message: Message, now: TimestampMs) {
        match message {
            Message::Outcome(outcome) => self.on_outcome(key, outcome, now),
            Message::Target(target) => self.fleet.set_target(key, target),
            Message::Leaving => {
                if let Some(worker) = self.fleet.get_mut(key) {
                    worker.leaving = true;
                    let left = DecisionKind::Left {
                        worker: worker.id.clone(),
                        why: "it is leaving",
                    };
                    self.decide(now, None, None, left);
                }
            }
            Message::Rules(update) => {
                if self.rules.install_update(&update) {
                    self.spread_rules(now);
                }
            }
            Message::Start(_) | Message::CancelJob(_) | Message::Entries(_) => {}
        }
    }

    fn on_outcome(&mut self, key: WorkerKey, outcome: Outcome, now: TimestampMs) {
        let Outcome {
            task,
            run_ms,
            result,
        } = outcome;
        let Some(worker) = self.fleet.get_mut(key) else {
            return;
        };
        let Some(order) = worker.orders.remove(&task) else {
            return;
        };
        self.release_quota(&order.team);
        self.learn(key, &result, run_ms, now);
        let Some(&job_key) = self.by_job.get(&task.job) else {
            return;
        };
        let worker = self.fleet.get(key).map(|worker| worker.id.clone());
        let Some(worker) = worker else {
            return;
        };
        let index = task.index;
        match result {
            TaskResult::Done(payload) => {
                let job = &mut self.jobs[job_key];
                if job.finish(index, key, payload) && job.is_complete() {
                    self.complete_job(job_key, now);
                }
            }
            TaskResult::Failed(message) => {
                self.fail_job(
                    job_key,
                    Cause::TaskFailed {
                        index,
                        worker,
                        message,
                    },
                    now,
                );
            }
            TaskResult::MayHaveRun(_) => {
                self.fail_job(job_key, Cause::WorkerLost { index, worker }, now);
            }
            TaskResult::NotRun(reason) => {
                self.decide(
                    now,
                    Some(task.job),
                    Some(index),
                    DecisionKind::Moved { worker, reason },
                );
                self.hand_back(job_key, index, key, now);
            }
        }
    }

    fn hand_back(&mut self, key: JobKey, index: TaskIndex, worker: WorkerKey, now: TimestampMs) {
        let job = &mut self.jobs[key];
        let Some(moves) = job.hand_back(index, worker) else {
            return;
        };
        let (service, team) = (job.service.clone(), job.team.clone());
        let (class, rank_ms) = (job.class, job.rank_ms);
        *self.queued.entry((service.clone(), class)).or_default() += 1;
        self.queues
            .entry(service)
            .or_default()
            .insert(class, &team, rank_ms, key);
        if moves > self.config.max_moves {
            self.fail_job(key, Cause::NoTaker { index }, now);
        }
    }

    fn release_quota(&mut self, team: &TeamName) {
        if let Some(usage) = self.usage.get_mut(team) {
            usage.in_flight = usage.in_flight.saturating_sub(1);
        }
    }

    /// Learns run times and the worker's speed and health from an outcome.
    fn learn(&mut self, key: WorkerKey, result: &TaskResult, run_ms: DurationMs, now: TimestampMs) {
        let Some(worker) = self.fleet.get_mut(key) else {
            return;
        };
        let Some(service) = worker.target.as_ref().map(|target| target.service.clone()) else {
            return;
        };
        match result {
            TaskResult::Done(_) => {
                let expected_ms = self.run_times.expected(&service, run_ms);
                if worker.health.is_quarantined() && run_ms > expected_ms * SLOW_PROBE_FACTOR {
                    return worker.health.failed(now);
                }
                worker.observe(run_ms, expected_ms);
                self.run_times.observe(&service, run_ms);
                if worker.health.succeeded() {
                    worker.reset_speed();
                    let id = worker.id.clone();
                    self.decide(now, None, None, DecisionKind::Recovered { worker: id });
                }
            }
            TaskResult::Failed(_)
            | TaskResult::NotRun(lagoonhill_protocol::NotRunReason::TargetRefused) => {
                worker.health.failed(now);
                self.quarantine_if_alone(key, &service, now);
            }
            TaskResult::NotRun(_) | TaskResult::MayHaveRun(_) => {}
        }
    }

    fn quarantine_if_alone(&mut self, key: WorkerKey, service: &ServiceName, now: TimestampMs) {
        if self.fleet.service_is_failing(service) {
            return;
        }
        let Some(worker) = self.fleet.get_mut(key) else {
            return;
        };
        if !worker.health.is_failing() || worker.health.is_quarantined() {
            return;
        }
        let probe_in_ms = worker.health.quarantine_failing(now);
        let id = worker.id.clone();
        self.decide(
            now,
            None,
            None,
            DecisionKind::Quarantined {
                worker: id,
                probe_in_ms,
            },
        );
    }

    /// Ends a worker's session: whatever it held may have run.
    fn lose_worker(&mut self, key: WorkerKey, why: &'static str, now: TimestampMs) {
        let Some(worker) = self.fleet.remove(key) else {
            return;
        };
        self.dirty.remove(&key);
        let left = DecisionKind::Left {
            worker: worker.id.clone(),
            why,
        };
        self.decide(now, None, None, left);
        for (task, order) in &worker.orders {
            self.release_quota(&order.team);
            if let Some(&job) = self.by_job.get(&task.job) {
                let cause = Cause::WorkerLost {
                    index: task.index,
                    worker: worker.id.clone(),
                };
                self.fail_job(job, cause, now);
            }
        }
    }

    // ----- Time -----

    /// Runs timers. Call every few tens of milliseconds.
    pub fn tick(&mut self, now: TimestampMs) {
        let frozen = now.since(self.last_tick_ms) >= self.config.timing.freeze_gap_ms;
        self.last_tick_ms = now;
        if frozen || now.since(self.last_watch_ms) >= WATCH_INTERVAL_MS {
            self.last_watch_ms = now;
            for key in self.fleet.keys() {
                self.watch(key, frozen, now);
            }
            self.quarantine_stuck(now);
        }
        self.records.expire(now);
        self.dispatch_all(now);
    }

    /// Quarantines workers whose tasks take far longer than expected, unless
    /// half of their service does.
    fn quarantine_stuck(&mut self, now: TimestampMs) {
        for service in self.fleet.services() {
            let expected_ms = self
                .run_times
                .expected(&service, self.prior_run_time(&service));
            let keys = self.fleet.of_service(&service).to_vec();
            let is_stuck = |key: &WorkerKey| {
                self.fleet
                    .get(*key)
                    .is_some_and(|worker| worker.is_stuck(expected_ms, now))
            };
            let stuck: Vec<WorkerKey> = keys.iter().copied().filter(is_stuck).collect();
            if stuck.len() * 2 > keys.len() {
                continue;
            }
            for key in stuck {
                self.quarantine_slow(key, now);
            }
        }
    }

    fn quarantine_slow(&mut self, key: WorkerKey, now: TimestampMs) {
        let Some(worker) = self.fleet.get_mut(key) else {
            return;
        };
        if worker.health.is_quarantined() {
            return;
        }
        let probe_in_ms = worker.health.quarantine_slow(now);
        let id = worker.id.clone();
        self.decide(
            now,
            None,
            None,
            DecisionKind::Quarantined {
                worker: id,
                probe_in_ms,
            },
        );
    }

    fn watch(&mut self, key: WorkerKey, frozen: bool, now: TimestampMs) {
        let Some(worker) = self.fleet.get_mut(key) else {
            return;
        };
        if frozen {
            worker.session.forgive(now);
        }
        let busy = !worker.orders.is_empty();
        let to: SocketAddr = worker.inbox;
        match worker.session.tick(busy, now) {
            Verdict::Alive => {}
            Verdict::Redial => self.effects.push(EntryEffect::Redial { to }),
            Verdict::Failed => {
                self.lose_worker(key, "it does not answer", now);
                self.effects.push(EntryEffect::Hangup { to });
                return;
            }
        }
        self.dirty.insert(key);
    }

    /// Frames due now, and every other effect since the last call.
    pub fn poll_effects(&mut self, now: TimestampMs) -> Vec<EntryEffect> {
        let header = FrameHeader {
            reply_to: self.config.address.inbox,
            rules_revision: self.rules.revision(),
            load: Load::default(),
            sends_heartbeats: false,
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

fn is_newer(left: SessionId, right: SessionId) -> bool {
    (left.agent, left.number) > (right.agent, right.number)
}
