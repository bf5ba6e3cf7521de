//! Submissions: plain, with a ticket or with a caller's key; cancellation.

use lagoonhill_protocol::EntryAddress;
use lagoonhill_types::prelude::*;

use super::{DEFAULT_RETRY_MS, Entry};
use crate::entry::{
    CallerId, Cause, EntryEffect, JobFailure, KeyBinding, Placement, Record, RecordKey,
    RunCertainty, Submission,
};

impl<P: Placement> Entry<P> {
    /// Issues tickets, each for one submission that runs at most once.
    pub fn issue_tickets(&mut self, count: u16, now: TimestampMs) -> Vec<Ticket> {
        let expires_ms = now + self.config.ticket_lifetime_ms;
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

    pub(super) fn next_number(&mut self) -> u64 {
        let number = self.next_number;
        self.next_number += 1;
        number
    }

    /// Submits a job without protection against a repeated submission.
    pub fn submit(&mut self, caller: CallerId, submission: Submission, now: TimestampMs) {
        let number = self.next_number();
        self.admit(caller, submission, number, None, now);
        self.dispatch_all(now);
    }

    /// Submits a job with a ticket that this incarnation issued.
    pub fn submit_ticket(
        &mut self,
        caller: CallerId,
        ticket: Ticket,
        submission: Submission,
        now: TimestampMs,
    ) {
        let key = RecordKey::Ticket(ticket.number);
        if self.attach_to_record(&key, caller, &submission, now) {
            return;
        }
        if now >= ticket.expires_ms || ticket.number >= self.next_number {
            let failure = JobFailure {
                run: RunCertainty::MayHaveRun,
                cause: Cause::TicketExpired,
                retry_after_ms: None,
            };
            return self.refuse(caller, submission.name(), failure, now);
        }
        self.admit(caller, submission, ticket.number, Some(key), now);
        self.dispatch_all(now);
    }

    /// Submits a job with the caller's own key. `bound_here` says that the
    /// platform has confirmed that the key is bound to this incarnation.
    pub fn submit_key(
        &mut self,
        caller: CallerId,
        request_key: RequestKey,
        bound_here: bool,
        submission: Submission,
        now: TimestampMs,
    ) {
        let key = RecordKey::Key(request_key.clone());
        if self.attach_to_record(&key, caller, &submission, now) {
            return;
        }
        if bound_here {
            let number = self.next_number();
            self.admit(caller, submission, number, Some(key), now);
            return self.dispatch_all(now);
        }
        if let Err(failure) = self.validate(&submission) {
            return self.refuse(caller, Some(request_key), failure, now);
        }
        let fingerprint = submission.fingerprint();
        let record = Record::Binding {
            callers: vec![caller],
            submission: Box::new(submission),
        };
        self.records.insert(key, fingerprint, record);
        self.effects.push(EntryEffect::BindKey { key: request_key });
    }

    /// Handles the platform's answer to a request to bind a key.
    pub fn on_key_bound(&mut self, request_key: RequestKey, binding: KeyBinding, now: TimestampMs) {
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
            KeyBinding::ThisEntry => self.admit_bound(&key, callers, *submission, now),
            KeyBinding::OtherEntry(owner) => {
                let forward = |caller| EntryEffect::Forward { caller, owner };
                self.effects.extend(callers.into_iter().map(forward));
            }
            KeyBinding::Unavailable => {
                self.refuse_unbound(callers, &key, &Cause::StoreUnavailable, now);
            }
            KeyBinding::OverBudget => self.refuse_unbound(callers, &key, &Cause::KeyBudget, now),
        }
    }

    /// Refuses requests whose key was not bound. Nothing was started.
    fn refuse_unbound(
        &mut self,
        callers: Vec<CallerId>,
        key: &RecordKey,
        cause: &Cause,
        now: TimestampMs,
    ) {
        for caller in callers {
            let failure = JobFailure::refused_for_now(cause.clone(), DEFAULT_RETRY_MS);
            self.refuse(caller, key.request(), failure, now);
        }
    }

    fn admit_bound(
        &mut self,
        key: &RecordKey,
        callers: Vec<CallerId>,
        submission: Submission,
        now: TimestampMs,
    ) {
        self.admit_callers(key, callers, submission, now);
        self.dispatch_all(now);
    }

    /// Admits a submission for all of its callers, and starts nothing yet.
    pub(super) fn admit_callers(
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
        let copy = submission.clone();
        self.admit(first, submission, number, Some(key.clone()), now);
        for caller in callers {
            if !self.attach_to_record(key, caller, &copy, now) {
                let failure =
                    JobFailure::refused_for_now(Cause::StoreUnavailable, DEFAULT_RETRY_MS);
                self.refuse(caller, key.request(), failure, now);
            }
        }
    }

    /// Attaches a caller to the submission already known by its key or ticket;
    /// returns whether there is one.
    pub(super) fn attach_to_record(
        &mut self,
        key: &RecordKey,
        caller: CallerId,
        submission: &Submission,
        now: TimestampMs,
    ) -> bool {
        let Some((fingerprint, _)) = self.records.get(key) else {
            return false;
        };
        if fingerprint != submission.fingerprint() {
            let failure = JobFailure::refused(Cause::KeyReused);
            let request = submission.name().or_else(|| key.request());
            self.refuse(caller, request, failure, now);
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

    /// Cancels a job; returns whether it had not ended.
    pub fn cancel(&mut self, id: JobId, now: TimestampMs) -> bool {
        let Some(&key) = self.by_job.get(&id) else {
            return false;
        };
        self.fail_job(key, Cause::Cancelled, now);
        self.dispatch_all(now);
        true
    }

    /// Handles a caller that disconnected. Its job is cancelled if no other caller
    /// waits for it, and its answer can't be requested again or it may be rerun.
    pub fn on_caller_disconnected(&mut self, caller: CallerId, now: TimestampMs) {
        let Some(key) = self.by_caller.remove(&caller) else {
            return self.forget_unadmitted_caller(caller);
        };
        let job = &mut self.jobs[key];
        job.callers.retain(|waiting| *waiting != caller);
        let may_drop = job.record.is_none() || job.may_rerun();
        if job.callers.is_empty() && may_drop && !job.is_durable() {
            self.fail_job(key, Cause::Cancelled, now);
            self.dispatch_all(now);
        }
    }
}
