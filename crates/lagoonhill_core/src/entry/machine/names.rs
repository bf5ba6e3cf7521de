//! Leases on the names of jobs that are not durable. A caller without an answer sends its job
//! again to any entry, while the first request may still be on its way, or its job may
//! run unnoticed. The lease is granted by the name's home: an entry chosen by
//! rendezvous hashing, so that it costs two packets a job however many entries there are.

use std::hash::Hasher;

use fnv::FnvHasher;
use lagoonhill_protocol::{EntryAddress, NameLeaseId, NameRelease, NameReply, NameRequest, Packet};
use lagoonhill_types::prelude::*;

use super::Entry;
use crate::entry::{
    CallerId, Cause, DecisionKind, EntryEffect, HeldName, Job, JobFailure, JobKey, NameHolder,
    Placement, Record, RecordKey, RunCertainty, Submission,
};
use crate::on_slow_clock;

/// Time after which the request is repeated on a new connection: an open one may have
/// gone silent for good.
const NAME_REPEAT_MS: DurationMs = DurationMs(100);

/// Shortest time between two new connections to a home.
const RECONNECT_PAUSE_MS: DurationMs = DurationMs(1_000);

/// Time after which a home that has not answered counts as lost. Longer than the delay
/// of a path that still carries the tasks of this entry.
const NAME_TIMEOUT_MS: DurationMs = DurationMs(250);

/// Interval between two renewals of a lease: an answer in time comes within the margin.
const NAME_RENEWAL_MS: DurationMs = DurationMs(120);

/// How much longer a lease lasts than the runs of a holder that is lost right after a
/// renewal. Tasks start only within this time of one.
const NAME_MARGIN_MS: DurationMs = DurationMs(200);

/// Time for which a lost home is passed over.
const SILENT_HOME_MS: DurationMs = DurationMs(2_000);

/// Homes that are asked for a lease, one after the other.
const MAX_HOMES: u8 = 2;

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
    home: EntryAddress,
    /// Homes asked so far, this one included.
    homes: u8,
    sent_ms: TimestampMs,
    is_repeated: bool,
    /// When this entry began to wait: the time of sending, or of its last wake-up.
    waits_since_ms: TimestampMs,
    /// Whether this entry was frozen meanwhile. A lease that was granted may have ended.
    outlived_freeze: bool,
}

/// Finalizer of `MurmurHash3`. FNV's high bits hardly depend on the last bytes, so names
/// that differ only there would have few homes.
fn mixed(hash: u64) -> u64 {
    let hash = (hash ^ (hash >> 33)).wrapping_mul(0xff51_afd7_ed55_8ccd);
    let hash = (hash ^ (hash >> 33)).wrapping_mul(0xc4ce_b9fe_1a85_ec53);
    hash ^ (hash >> 33)
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
        self.request_name(id, purpose, name, 1, now);
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

    /// The home of a name: the same at all entries that know the same live ones.
    fn home_of(&self, name: &RequestKey, now: TimestampMs) -> EntryAddress {
        let answers = |entry: &&EntryAddress| !self.is_silent_home(entry.incarnation, now);
        let weight = |entry: &&EntryAddress| {
            let mut hasher = FnvHasher::default();
            hasher.write_u64(entry.incarnation.0);
            hasher.write(name.as_str().as_bytes());
            (mixed(hasher.finish()), entry.incarnation)
        };
        let answering = self.entries.iter().filter(answers);
        answering
            .max_by_key(weight)
            .copied()
            .unwrap_or(self.config.address)
    }

    fn is_silent_home(&self, home: Incarnation, now: TimestampMs) -> bool {
        let until_ms = self.silent_homes.get(&home);
        until_ms.is_some_and(|until_ms| now < *until_ms)
    }

    /// Grants nothing for a while after this process was frozen: other homes have
    /// granted leases in its place.
    pub(super) fn suspend_own_leases(&mut self, now: TimestampMs) {
        let until_ms = now + SILENT_HOME_MS + self.name_lease_ms();
        self.silent_homes
            .insert(self.config.address.incarnation, until_ms);
    }

    /// Waits anew for the answers of homes after this process was frozen: the time that
    /// passed meanwhile is not their silence.
    pub(super) fn restart_name_timers(&mut self, now: TimestampMs) {
        for pending in self.pending_names.values_mut() {
            pending.waits_since_ms = now;
            pending.outlived_freeze = true;
        }
    }

    /// How long runs of this entry may go on after it was last alive.
    fn runs_outlast_ms(&self) -> DurationMs {
        self.config.timing.run_lease_ms + on_slow_clock(self.config.timing.hold_ms)
    }

    /// Covers the runs of a holder that is lost just before a renewal. Callers send a
    /// job again 1,300 ms after their connection broke; the lease ends before that.
    fn name_lease_ms(&self) -> DurationMs {
        self.runs_outlast_ms() + NAME_MARGIN_MS
    }

    fn request_name(
        &mut self,
        id: NameLeaseId,
        purpose: NamePurpose,
        name: RequestKey,
        homes: u8,
        now: TimestampMs,
    ) {
        let home = match &purpose {
            NamePurpose::Renewal(job) => self.home_of_job(*job, now),
            NamePurpose::Admission(_) => self.home_of(&name, now),
        };
        let pending = PendingName {
            purpose,
            name,
            home,
            homes,
            sent_ms: now,
            is_repeated: false,
            waits_since_ms: now,
            outlived_freeze: false,
        };
        if home.incarnation == self.config.address.incarnation {
            let is_granted = self.grant_own(&pending.name, id, now);
            return self.name_answered(id, pending, is_granted, now);
        }
        self.send_name_request(home, id, pending.name.clone(), false);
        self.pending_names.insert(id, pending);
    }

    fn grant_own(&mut self, name: &RequestKey, id: NameLeaseId, now: TimestampMs) -> bool {
        let holder = NameHolder {
            entry: self.config.address.incarnation,
            id,
        };
        let lease_ms = self.name_lease_ms();
        self.name_leases.grant(name, holder, lease_ms, now)
    }

    fn send_name_request(
        &mut self,
        home: EntryAddress,
        id: NameLeaseId,
        name: RequestKey,
        on_new_connection: bool,
    ) {
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

    fn home_of_job(&self, job: JobKey, now: TimestampMs) -> EntryAddress {
        let held = self.jobs.get(job).and_then(|job| job.held_name);
        let name = || self.jobs.get(job).and_then(Job::name);
        held.map(|held| held.home)
            .filter(|home| !self.is_silent_home(home.incarnation, now))
            .or_else(|| name().map(|name| self.home_of(&name, now)))
            .unwrap_or(self.config.address)
    }

    /// Answers another entry's request for a lease.
    pub(super) fn on_name_request(&mut self, request: &NameRequest, now: TimestampMs) {
        let own = self.config.address.incarnation;
        if request.home != own || self.is_silent_home(own, now) {
            return;
        }
        let holder = NameHolder {
            entry: request.holder.incarnation,
            id: request.id,
        };
        let lease_ms = request.lease_ms.min(self.config.max_deadline_ms);
        let is_granted = self.name_leases.grant(&request.name, holder, lease_ms, now);
        let to = request.holder.inbox;
        if request.on_new_connection {
            self.effects.push(EntryEffect::Reconnect { to });
        }
        self.effects.push(EntryEffect::Send {
            to,
            packet: Packet::NameReply(NameReply {
                id: request.id,
                home: own,
                is_granted,
            }),
        });
    }

    pub(super) fn on_name_reply(&mut self, reply: NameReply, now: TimestampMs) {
        self.silent_homes.remove(&reply.home);
        let Some(pending) = self.pending_names.get(&reply.id) else {
            return;
        };
        if pending.home.incarnation == reply.home
            && let Some(pending) = self.pending_names.remove(&reply.id)
        {
            self.name_answered(reply.id, pending, reply.is_granted, now);
        }
    }

    pub(super) fn on_name_release(&mut self, release: &NameRelease, now: TimestampMs) {
        let holder = NameHolder {
            entry: release.holder,
            id: release.id,
        };
        self.name_leases
            .release(&release.name, holder, release.remaining_ms, now);
    }

    fn name_answered(
        &mut self,
        id: NameLeaseId,
        pending: PendingName,
        is_granted: bool,
        now: TimestampMs,
    ) {
        if is_granted && pending.outlived_freeze {
            return self.request_name(id, pending.purpose, pending.name, pending.homes, now);
        }
        let held = HeldName {
            id,
            home: pending.home,
            valid_until_ms: pending.sent_ms + NAME_MARGIN_MS,
            renew_ms: pending.sent_ms + NAME_RENEWAL_MS,
        };
        match pending.purpose {
            NamePurpose::Admission(name) if is_granted => self.admit_named(&name, Some(held), now),
            NamePurpose::Admission(name) => self.refuse_named(&name, now),
            NamePurpose::Renewal(job) if is_granted => self.hold_name(job, held),
            NamePurpose::Renewal(job) if self.jobs.contains_key(job) => {
                self.fail_job(job, Cause::RunsElsewhere, now);
            }
            NamePurpose::Renewal(_) => {}
        }
    }

    fn hold_name(&mut self, key: JobKey, held: HeldName) {
        if let Some(job) = self.jobs.get_mut(key) {
            job.held_name = Some(held);
            self.name_renewals.insert((held.renew_ms, key));
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
            (None, Some(held)) => self.release_name(name, held, DurationMs::ZERO, now),
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

    /// Asks the next home where one is lost, and renews leases that are due.
    pub(super) fn tick_names(&mut self, now: TimestampMs) {
        self.name_leases.expire(now);
        self.silent_homes.retain(|_, until_ms| now < *until_ms);
        self.repeat_name_requests(now);
        let is_lost = |pending: &PendingName| now.since(pending.waits_since_ms) >= NAME_TIMEOUT_MS;
        let lost = self.pending_names.iter();
        let lost: Vec<NameLeaseId> = lost
            .filter(|(_, pending)| is_lost(pending))
            .map(|(id, _)| *id)
            .collect();
        for id in lost {
            if let Some(pending) = self.pending_names.remove(&id) {
                let until_ms = now + SILENT_HOME_MS;
                self.silent_homes.insert(pending.home.incarnation, until_ms);
                self.ask_next_home(id, pending, now);
            }
        }
        while let Some(&(renew_ms, key)) = self.name_renewals.first()
            && renew_ms <= now
        {
            self.name_renewals.pop_first();
            let job = self.jobs.get(key);
            if let Some((name, held)) = job.and_then(|job| job.name().zip(job.held_name)) {
                self.request_name(held.id, NamePurpose::Renewal(key), name, 1, now);
            }
        }
    }

    fn ask_next_home(&mut self, id: NameLeaseId, pending: PendingName, now: TimestampMs) {
        if pending.homes < MAX_HOMES {
            self.request_name(id, pending.purpose, pending.name, pending.homes + 1, now);
        } else {
            self.go_without_lease(pending.purpose, now);
        }
    }

    /// Repeats requests on new connections, which their homes answer on new ones.
    fn repeat_name_requests(&mut self, now: TimestampMs) {
        self.reconnected_homes
            .retain(|_, at_ms| now.since(*at_ms) < RECONNECT_PAUSE_MS);
        let is_due = |pending: &PendingName| {
            !pending.is_repeated && now.since(pending.waits_since_ms) >= NAME_REPEAT_MS
        };
        let mut due = Vec::new();
        for (id, pending) in &mut self.pending_names {
            if is_due(pending) {
                pending.is_repeated = true;
                let name = &pending.name;
                due.push((pending.home, *id, name.clone()));
            }
        }
        for (home, id, name) in due {
            let is_first = !self.reconnected_homes.contains_key(&home.incarnation);
            if is_first {
                self.reconnected_homes.insert(home.incarnation, now);
                self.effects.push(EntryEffect::Reconnect { to: home.inbox });
            }
            self.send_name_request(home, id, name, is_first);
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
        let held = self.jobs[key].held_name;
        held.is_none_or(|held| now < held.valid_until_ms)
    }

    /// Ends the lease of a job that has ended. Runs that are being stopped may go on
    /// for a while.
    pub(super) fn release_name_of(&mut self, job: &Job, now: TimestampMs) {
        let Some((name, held)) = job.name().zip(job.held_name) else {
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
        held: HeldName,
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
        if held.home.incarnation == own {
            return self.on_name_release(&release, now);
        }
        self.effects.push(EntryEffect::Send {
            to: held.home.inbox,
            packet: Packet::NameRelease(release),
        });
    }
}
