//! Leases on the names of jobs that are not durable. A caller without an answer sends its job
//! again to any entry, while the first request may still be on its way, or its job may
//! run unnoticed. The lease is granted by the name's home: an entry chosen by
//! rendezvous hashing, so that it costs two packets a job however many entries there are.

use std::net::SocketAddr;

use lagoonhill_protocol::{EntryAddress, NameLeaseId, NameRelease, NameReply, NameRequest, Packet};
use lagoonhill_types::prelude::*;

use super::Entry;
use crate::entry::{
    CallerId, Cause, DecisionKind, EntryEffect, HeldName, Job, JobFailure, JobKey, Placement,
    Record, RecordKey, RunCertainty, Submission,
};
use crate::on_slow_clock;

/// Time after which the second home is asked as well.
const NAME_HEDGE_MS: DurationMs = DurationMs(10);

/// Time after which the request is repeated on new connections: an open one may have
/// gone silent for good.
const NAME_REPEAT_MS: DurationMs = DurationMs(100);

/// Time after which all homes are asked. Longer than it takes to repeat a request, so that
/// the first two homes answer where they can.
const NAME_SPREAD_MS: DurationMs = DurationMs(150);

/// Shortest time between two new connections to a home.
const RECONNECT_PAUSE_MS: DurationMs = DurationMs(1_000);

/// Time after which a home that has not answered is passed over. Longer than the delay of
/// a path that still carries the tasks of this entry.
const HOME_TIMEOUT_MS: DurationMs = DurationMs(250);

/// Time after which a job goes on without a lease.
pub(super) const NAME_TIMEOUT_MS: DurationMs = DurationMs(500);

/// Interval between two renewals of a lease: an answer in time comes within the margin.
const NAME_RENEWAL_MS: DurationMs = DurationMs(120);

/// How much longer a lease lasts than the runs of a holder that is lost right after a
/// renewal. Tasks start only within this time of one.
const NAME_MARGIN_MS: DurationMs = DurationMs(200);

/// Time for which a silent home is passed over.
pub(super) const SILENT_HOME_MS: DurationMs = DurationMs(2_000);

/// Homes that record a lease.
const LEASE_HOMES: usize = 2;

/// Most homes that are asked for a lease.
const MAX_HOMES: usize = 4;

/// What a lease is requested for.
#[derive(Clone, Debug)]
pub(super) enum NamePurpose {
    /// The submission of this record is to be admitted.
    Admission(RequestKey),
    /// The lease of this job is to be renewed.
    Renewal(JobKey),
}

/// A request for a lease that no home has answered.
#[derive(Clone, Debug)]
pub(super) struct PendingName {
    purpose: NamePurpose,
    name: RequestKey,
    /// Homes asked so far.
    asked: Vec<EntryAddress>,
    sent_ms: TimestampMs,
    is_repeated: bool,
    /// When this entry began to wait: the time of sending, or of its last wake-up.
    waits_since_ms: TimestampMs,
    /// Whether this entry was frozen meanwhile. A lease that was granted may have ended.
    outlived_freeze: bool,
}

/// A home that has not answered since it was asked.
#[derive(Clone, Copy, Debug)]
pub(super) struct UnansweredHome {
    inbox: SocketAddr,
    since_ms: TimestampMs,
}

/// A home that a new connection was opened to.
#[derive(Clone, Copy, Debug)]
pub(super) struct ReconnectedHome {
    at_ms: TimestampMs,
    /// Whether the home was asked to answer on a new connection as well.
    is_told: bool,
}

impl<P: Placement> Entry<P> {
    /// Submits a job that is not durable under the name that its caller gave to it. A repeated
    /// submission joins the job; one that another entry runs is refused.
    pub fn submit_named(&mut self, caller: CallerId, submission: Submission, now: TimestampMs) {
        let Some(name) = submission.name() else {
            return self.submit(caller, submission, now);
        };
        let key = RecordKey::Key(name.clone());
        if self.attach_to_record(&key, caller, &submission, now) {
            return;
        }
        let fingerprint = submission.fingerprint();
        let record = Record::Binding {
            callers: vec![caller],
            submission: Box::new(submission),
        };
        self.records.insert(key, fingerprint, record);
        let id = NameLeaseId(self.next_number());
        let purpose = NamePurpose::Admission(name.clone());
        self.request_name(id, purpose, name, now);
    }

    /// Removes a caller from a submission that waits for its lease.
    pub(super) fn forget_unadmitted_caller(&mut self, caller: CallerId) {
        let waits = |pending: &PendingName| match &pending.purpose {
            NamePurpose::Admission(name) => Some(RecordKey::Key(name.clone())),
            NamePurpose::Renewal(_) => None,
        };
        let keys: Vec<RecordKey> = self.pending_names.values().filter_map(waits).collect();
        for key in keys {
            if let Some(Record::Binding { callers, .. }) = self.records.get_mut(&key) {
                callers.retain(|waiting| *waiting != caller);
            }
        }
    }

    /// Waits anew for the answers of homes after this process was frozen: the time that
    /// passed meanwhile is not their silence.
    pub(super) fn restart_name_timers(&mut self, now: TimestampMs) {
        for pending in self.pending_names.values_mut() {
            pending.waits_since_ms = now;
            pending.outlived_freeze = true;
        }
        for home in self.unanswered_homes.values_mut() {
            home.since_ms = now;
        }
    }

    /// How long runs of this entry may go on after it was last alive.
    fn runs_outlast_ms(&self) -> DurationMs {
        self.config.timing.run_lease_ms + on_slow_clock(self.config.timing.hold_ms)
    }

    /// Covers the runs of a holder that is lost just before a renewal. Callers send a
    /// job again 1,300 ms after their connection broke; the lease ends before that.
    pub(super) fn name_lease_ms(&self) -> DurationMs {
        self.runs_outlast_ms() + NAME_MARGIN_MS
    }

    fn request_name(
        &mut self,
        id: NameLeaseId,
        purpose: NamePurpose,
        name: RequestKey,
        now: TimestampMs,
    ) {
        let pending = PendingName {
            purpose,
            name,
            asked: Vec::with_capacity(LEASE_HOMES),
            sent_ms: now,
            is_repeated: false,
            waits_since_ms: now,
            outlived_freeze: false,
        };
        let known = self.name_leases.holder(&pending.name, now);
        if known.is_some_and(|holder| holder != self.own_holder(id)) {
            return self.name_answered(id, pending, false, now);
        }
        self.ask_homes(id, pending, now);
    }

    /// Asks as many homes as the request has waited for.
    fn ask_homes(&mut self, id: NameLeaseId, mut pending: PendingName, now: TimestampMs) {
        let own = self.config.address;
        let waited_ms = now.since(pending.waits_since_ms);
        let mut wanted = if waited_ms >= NAME_SPREAD_MS {
            MAX_HOMES
        } else if waited_ms >= NAME_HEDGE_MS {
            LEASE_HOMES
        } else {
            1
        };
        if pending.asked.iter().all(|home| !self.is_home(home, now)) {
            wanted = wanted.max((pending.asked.len() + 1).min(MAX_HOMES));
        }
        let mut own_answer = None;
        while pending.asked.len() < wanted {
            // A lease of its own proves nothing while others have not had time to answer.
            let may_be_own = pending.asked.is_empty() || waited_ms >= NAME_SPREAD_MS;
            let Some(home) = self.next_home(&pending.name, &pending.asked, may_be_own, now) else {
                break;
            };
            pending.asked.push(home);
            if home.incarnation == own.incarnation {
                own_answer = Some(self.grant_own(&pending.name, id, now));
            } else {
                self.send_name_request(home, id, pending.name.clone(), now);
            }
        }
        if pending.asked.is_empty() {
            pending.asked.push(own);
            own_answer = Some(self.grant_own(&pending.name, id, now));
        }
        match own_answer {
            Some(is_granted) => self.name_answered(id, pending, is_granted, now),
            None => {
                self.pending_names.insert(id, pending);
            }
        }
    }

    fn send_name_request(
        &mut self,
        home: EntryAddress,
        id: NameLeaseId,
        name: RequestKey,
        now: TimestampMs,
    ) {
        let unanswered = self.unanswered_homes.entry(home.incarnation);
        unanswered.or_insert(UnansweredHome {
            inbox: home.inbox,
            since_ms: now,
        });
        let on_new_connection = self
            .reconnected_homes
            .get_mut(&home.incarnation)
            .is_some_and(|reconnected| !std::mem::replace(&mut reconnected.is_told, true));
        let request = NameRequest {
            id,
            holder: self.config.address,
            home: home.incarnation,
            name,
            lease_ms: self.name_lease_ms(),
            on_new_connection,
        };
        self.effects.push(EntryEffect::Send {
            to: home.inbox,
            packet: Packet::NameRequest(request),
        });
    }

    pub(super) fn on_name_reply(&mut self, reply: NameReply, now: TimestampMs) {
        self.silent_homes.remove(&reply.home);
        self.unanswered_homes.remove(&reply.home);
        let Some(mut pending) = self.pending_names.remove(&reply.id) else {
            if !reply.is_granted {
                self.lose_name(reply.id, now);
            }
            return;
        };
        let is_asked = |home: &EntryAddress| home.incarnation == reply.home;
        if !pending.asked.iter().any(is_asked) {
            // The request was forwarded.
            pending
                .asked
                .extend(self.entries.iter().copied().find(is_asked));
        }
        self.name_answered(reply.id, pending, reply.is_granted, now);
    }

    /// Ends the job of a lease that a further home refuses.
    fn lose_name(&mut self, id: NameLeaseId, now: TimestampMs) {
        let holds = |(_, key): &&(TimestampMs, JobKey)| {
            let job = self.jobs.get(*key);
            job.and_then(|job| job.held_name.as_ref())
                .is_some_and(|held| held.id == id)
        };
        if let Some((_, key)) = self.name_renewals.iter().find(holds).copied() {
            self.fail_job(key, Cause::RunsElsewhere, now);
        }
    }

    fn name_answered(
        &mut self,
        id: NameLeaseId,
        pending: PendingName,
        is_granted: bool,
        now: TimestampMs,
    ) {
        if is_granted && pending.outlived_freeze {
            return self.request_name(id, pending.purpose, pending.name, now);
        }
        let held = HeldName {
            id,
            homes: pending.asked,
            valid_until_ms: pending.sent_ms + NAME_MARGIN_MS,
            renew_ms: pending.sent_ms + NAME_RENEWAL_MS,
        };
        match pending.purpose {
            NamePurpose::Admission(name) if is_granted => self.admit_named(&name, Some(held), now),
            NamePurpose::Admission(name) => {
                if held.homes.len() > 1 {
                    self.release_name(&name, &held, DurationMs::ZERO, now);
                }
                self.refuse_named(&name, now);
            }
            NamePurpose::Renewal(job) if is_granted => {
                self.hold_name(job, held);
                self.register_name(job, now);
            }
            NamePurpose::Renewal(job) if self.jobs.contains_key(job) => {
                self.fail_job(job, Cause::RunsElsewhere, now);
            }
            NamePurpose::Renewal(_) => {}
        }
    }

    fn hold_name(&mut self, key: JobKey, mut held: HeldName) {
        if let Some(job) = self.jobs.get_mut(key) {
            if let Some(earlier) = job.held_name.take() {
                let is_further = |home: &EntryAddress| !held.homes.contains(home);
                let further: Vec<EntryAddress> =
                    earlier.homes.into_iter().filter(is_further).collect();
                held.homes.extend(further);
                held.homes.truncate(MAX_HOMES);
            }
            self.name_renewals.insert((held.renew_ms, key));
            job.held_name = Some(held);
        }
    }

    /// Tells the second home of a lease that the first has renewed.
    fn register_name(&mut self, key: JobKey, now: TimestampMs) {
        let job = self.jobs.get(key);
        let Some((name, held)) = job.and_then(|job| job.name().zip(job.held_name.as_ref())) else {
            return;
        };
        let id = held.id;
        let mut homes = Vec::with_capacity(LEASE_HOMES);
        while homes.len() < LEASE_HOMES
            && let Some(home) = self.next_home(&name, &homes, true, now)
        {
            homes.push(home);
        }
        let granted_by = held.homes.first().map(|home| home.incarnation);
        homes.retain(|home| Some(home.incarnation) != granted_by);
        let mut is_refused = false;
        for home in homes {
            if home.incarnation == self.config.address.incarnation {
                is_refused |= !self.grant_own(&name, id, now);
            } else {
                self.send_name_request(home, id, name.clone(), now);
            }
            self.add_home(key, home);
        }
        if is_refused {
            self.fail_job(key, Cause::RunsElsewhere, now);
        }
    }

    fn add_home(&mut self, key: JobKey, home: EntryAddress) {
        let job = self.jobs.get_mut(key);
        if let Some(held) = job.and_then(|job| job.held_name.as_mut())
            && !held.homes.contains(&home)
        {
            held.homes.push(home);
        }
    }

    /// Admits a submission that has the lease on its name, or goes without one because
    /// no home answers.
    fn admit_named(&mut self, name: &RequestKey, held: Option<HeldName>, now: TimestampMs) {
        let key = RecordKey::Key(name.clone());
        let Some(Record::Binding {
            callers,
            submission,
        }) = self.take_unadmitted(&key)
        else {
            return;
        };
        if !callers.is_empty() {
            self.admit_callers(&key, callers, *submission, now);
        }
        let admitted = match self.records.get(&key) {
            Some((_, Record::Running { job })) => Some(*job),
            _ => None,
        };
        match (admitted, held) {
            (Some(job), Some(held)) => self.hold_name(job, held),
            (None, Some(held)) => self.release_name(name, &held, DurationMs::ZERO, now),
            (Some(job), None) => {
                let id = self.jobs[job].plan.id;
                self.log_decision(now, Some(id), None, DecisionKind::Unleased);
            }
            (None, None) => {}
        }
        self.dispatch_all(now);
    }

    fn refuse_named(&mut self, name: &RequestKey, now: TimestampMs) {
        let key = RecordKey::Key(name.clone());
        let Some(Record::Binding { callers, .. }) = self.take_unadmitted(&key) else {
            return;
        };
        for caller in callers {
            let failure = JobFailure {
                run: RunCertainty::MayHaveRun,
                cause: Cause::RunsElsewhere,
                retry_after_ms: Some(self.runs_outlast_ms()),
            };
            self.refuse(caller, Some(name.clone()), failure, now);
        }
    }

    /// Removes the record of a submission that is not admitted yet.
    fn take_unadmitted(&mut self, key: &RecordKey) -> Option<Record> {
        let (_, record) = self.records.get(key)?;
        if !matches!(record, Record::Binding { .. }) {
            return None;
        }
        self.records.remove(key)
    }

    /// Asks further homes where some do not answer, and renews leases that are due.
    pub(super) fn tick_names(&mut self, now: TimestampMs) {
        self.name_leases.expire(now);
        self.forget_forwarded_names(now);
        self.silent_homes.retain(|_, until_ms| now < *until_ms);
        self.pass_over_silent_homes(now);
        self.repeat_name_requests(now);
        let waiting: Vec<NameLeaseId> = self.pending_names.keys().copied().collect();
        for id in waiting {
            let Some(pending) = self.pending_names.remove(&id) else {
                continue;
            };
            if now.since(pending.waits_since_ms) >= NAME_TIMEOUT_MS {
                self.go_without_lease(pending.purpose, now);
            } else {
                self.ask_homes(id, pending, now);
            }
        }
        while let Some(&(renew_ms, key)) = self.name_renewals.first()
            && renew_ms <= now
        {
            self.name_renewals.pop_first();
            let job = self.jobs.get(key);
            let named = job.and_then(|job| job.name().zip(job.held_name.as_ref()));
            if let Some((name, id)) = named.map(|(name, held)| (name, held.id)) {
                self.request_name(id, NamePurpose::Renewal(key), name, now);
            }
        }
    }

    fn pass_over_silent_homes(&mut self, now: TimestampMs) {
        let silent_homes = &mut self.silent_homes;
        self.unanswered_homes.retain(|incarnation, home| {
            let is_silent = now.since(home.since_ms) >= HOME_TIMEOUT_MS;
            if is_silent {
                silent_homes.insert(*incarnation, now + SILENT_HOME_MS);
            }
            !is_silent
        });
    }

    /// Repeats requests on new connections, which their homes answer on new ones.
    fn repeat_name_requests(&mut self, now: TimestampMs) {
        self.reconnected_homes
            .retain(|_, home| now.since(home.at_ms) < RECONNECT_PAUSE_MS);
        for (incarnation, home) in &self.unanswered_homes {
            let is_due = now.since(home.since_ms) >= NAME_REPEAT_MS;
            if is_due && !self.reconnected_homes.contains_key(incarnation) {
                let reconnected = ReconnectedHome {
                    at_ms: now,
                    is_told: false,
                };
                self.reconnected_homes.insert(*incarnation, reconnected);
                self.effects.push(EntryEffect::Reconnect { to: home.inbox });
            }
        }
        let own = self.config.address.incarnation;
        let mut due = Vec::new();
        for (id, pending) in &mut self.pending_names {
            if !pending.is_repeated && now.since(pending.waits_since_ms) >= NAME_REPEAT_MS {
                pending.is_repeated = true;
                let others = pending.asked.iter().filter(|home| home.incarnation != own);
                due.extend(others.map(|home| (*home, *id, pending.name.clone())));
            }
        }
        for (home, id, name) in due {
            self.send_name_request(home, id, name, now);
        }
    }

    fn go_without_lease(&mut self, purpose: NamePurpose, now: TimestampMs) {
        match purpose {
            NamePurpose::Admission(name) => self.admit_named(&name, None, now),
            NamePurpose::Renewal(key) => {
                if let Some(job) = self.jobs.get_mut(key) {
                    job.held_name = None;
                    let id = job.plan.id;
                    self.log_decision(now, Some(id), None, DecisionKind::Unleased);
                }
            }
        }
    }

    /// Whether tasks of a job may start as far as the lease on its name is concerned.
    pub(super) fn holds_name(&self, key: JobKey, now: TimestampMs) -> bool {
        let held = self.jobs[key].held_name.as_ref();
        held.is_none_or(|held| now < held.valid_until_ms)
    }

    /// Ends the lease of a job that has ended. Runs that are being stopped may go on
    /// for a while.
    pub(super) fn release_name_of(&mut self, job: &Job, now: TimestampMs) {
        let Some((name, held)) = job.name().zip(job.held_name.as_ref()) else {
            return;
        };
        let remaining_ms = if job.may_be_running() {
            self.runs_outlast_ms()
        } else {
            DurationMs::ZERO
        };
        self.pending_names.remove(&held.id);
        self.release_name(&name, held, remaining_ms, now);
    }

    fn release_name(
        &mut self,
        name: &RequestKey,
        held: &HeldName,
        remaining_ms: DurationMs,
        now: TimestampMs,
    ) {
        let own = self.config.address.incarnation;
        let release = NameRelease {
            id: held.id,
            holder: own,
            name: name.clone(),
            remaining_ms,
        };
        for home in &held.homes {
            if home.incarnation == own {
                self.on_name_release(&release, now);
            } else {
                self.effects.push(EntryEffect::Send {
                    to: home.inbox,
                    packet: Packet::NameRelease(release.clone()),
                });
            }
        }
    }
}
