//! State machine for the runs on one leased target: starts, stops, lease
//! renewal, polls and the interpretation of the target's lists of runs.

mod crashes;
mod incarnations;

use std::collections::{BTreeMap, HashMap};

use lagoonhill_protocol::{
    Interruption, NotRunReason, Start, Target, TargetAnswered, TargetLoss, TaskResult,
};
use lagoonhill_types::prelude::*;

use self::crashes::FailedCalls;
use super::candidates::Candidates;
use super::present::Present;
use super::{
    Announcement, AnnouncementReport, CallId, ChangeReason, EndKind, EndedRun, FencingToken,
    Refusal, RunRef, StartRequest, TargetCall, TargetChange, TargetClock, TargetIncarnation,
    TargetReply, TargetTimeMs,
};
use crate::agent::TaskKey;
use crate::on_slow_clock;

/// Increment of the fencing token after the target reports a higher one. Tokens
/// are wall-clock seconds; the increment exceeds the lead that a predecessor's
/// clock may have had.
const TOKEN_STEP: u64 = 600;

/// Time limits of a leased target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseTiming {
    /// Lease duration of the target.
    pub hold_ms: DurationMs,
    /// Longest delay of the answer to a poll until a run ends.
    pub wait_ms: DurationMs,
    /// Longest time for the answer to arrive after that delay.
    pub reply_ms: DurationMs,
    /// Time without an answer that stops new runs and lease renewals.
    pub silence_ms: DurationMs,
}

impl Default for LeaseTiming {
    fn default() -> Self {
        Self {
            // Four polls, so that one lost answer does not end the runs.
            hold_ms: DurationMs(400),
            // Ten polls per second while no run ends.
            wait_ms: DurationMs(100),
            // A call on the local machine under load.
            reply_ms: DurationMs(100),
            // One unanswered poll, and a margin.
            silence_ms: DurationMs(250),
        }
    }
}

/// Longest delay of the answer to a poll that grants no lease: the runs on the
/// target are about to end.
const UNLEASED_POLL_WAIT_MS: DurationMs = DurationMs(20);

/// Divisor of a target's silence that gives the pause between polls of it.
const SILENCE_PAUSE_DIVISOR: u64 = 4;

/// The answer to a poll has probably been lost if it is this late. On the local
/// machine an answer takes a few milliseconds.
const LATE_POLL_MS: DurationMs = DurationMs(25);

/// Time after which an unanswered start is sent again, multiplied by the number
/// of attempts. A target ignores the repeated start of a run that it has.
const START_RETRY_MS: DurationMs = DurationMs(25);

/// Time after which an unanswered stop is sent again: often before the lease ends,
/// which is not renewed for longer until the stop is accepted.
const STOP_RETRY_MS: DurationMs = DurationMs(25);

/// Time for which [`LOSSY_POLLS`] are kept in flight after an unanswered call.
const LOSSY_POLL_MS: DurationMs = DurationMs(5_000);

/// Polls in flight at a target that loses answers. Ends are reported by polls
/// alone, so ends of all runs are delayed while every answer in flight is lost.
const LOSSY_POLLS: usize = 4;

/// Shortest pause between two polls while ends are not stored yet; storing takes
/// a few round trips to the store. An end of another run, and a crash, is seen so late.
const UNSTORED_END_PAUSE_MS: DurationMs = DurationMs(15);

/// Longest pause between two polls of a silent target.
const MAX_POLL_PAUSE_MS: DurationMs = DurationMs(1_000);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// Start sent, not answered yet.
    Starting { attempts: u32 },
    /// Accepted by the target.
    Running { since_ms: TimestampMs },
    /// Being stopped; `since_ms` is when the target accepted the stop.
    Stopping {
        asked_ms: TimestampMs,
        since_ms: Option<TimestampMs>,
    },
}

#[derive(Debug)]
struct Run {
    reference: RunRef,
    payload: Payload,
    /// Resources that it takes on the target until its end is listed.
    needs: Resources,
    /// Whether the target must list the end until it is stored.
    durable: bool,
    phase: Phase,
    /// When the unanswered call for this run is repeated.
    due_ms: Option<TimestampMs>,
    /// Number of start calls that may still be carried out.
    unanswered_starts: u32,
    /// When its start was first requested.
    requested_ms: TimestampMs,
    /// When the target confirmed that it runs it.
    confirmed_ms: Option<TimestampMs>,
    /// When the target last showed that it was at work.
    seen_ms: TimestampMs,
    /// Number of start calls that never reached the target.
    unsent_starts: u32,
    /// The loss of the target under it, while a later incarnation may still receive it.
    loss: Option<TargetLoss>,
}

/// Context of a call in flight, needed to handle its answer.
#[derive(Clone, Copy, Debug)]
enum Purpose {
    Start(TaskKey),
    Stop(TaskKey),
    StopForeign,
    /// Whether an announced incarnation is the present one.
    Confirm,
    Poll {
        sent_ms: TimestampMs,
        /// The highest number among the ends received before.
        known_end: u64,
        /// Until when it waits at the target for the next end of a run; `None` if it
        /// does not wait, or is answered at once because of earlier ends.
        watches_until_ms: Option<TimestampMs>,
    },
}

/// An action for the owner of [`LeasedRuns`] to carry out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LeasedEffect {
    /// Call the target and pass the result to [`LeasedRuns::answered`].
    Call {
        /// Identifies the call.
        id: CallId,
        /// The incarnation that the call is addressed to.
        incarnation: TargetIncarnation,
        /// The fencing token to send.
        token: FencingToken,
        /// The request.
        call: TargetCall,
        /// Time limit of the answer.
        limit_ms: DurationMs,
    },
    /// A run has ended.
    Ended {
        /// The task of the run.
        key: TaskKey,
        /// The result.
        result: TaskResult,
    },
    /// The target that accepts runs from now on, or `None` if it accepts none.
    Target(Option<Target>),
    /// Another incarnation is present, or none.
    Changed(TargetChange),
    /// The target has answered as another incarnation, or again after a loss.
    Answered(TargetAnswered),
    /// An announcement was handled.
    Announced(AnnouncementReport),
}

/// The runs on one target, each under the target's lease.
///
/// A run whose target does not answer counts as ended only when the last lease
/// has expired on the slowest clock that a target may have.
#[derive(Debug)]
pub struct LeasedRuns {
    timing: LeaseTiming,
    token: FencingToken,
    /// The incarnation that has answered at the target's address.
    present: Option<Present>,
    /// The last announcement of an incarnation that has left. Its earlier
    /// announcements may still arrive.
    departed: Option<Announcement>,
    /// Other incarnations that were announced.
    candidates: Candidates,
    clock: Option<TargetClock>,
    /// When every run has ended on the target if the lease is not renewed.
    lease_expires_ms: TimestampMs,
    /// The highest number among the ends received.
    last_end: u64,
    /// Ends that are not stored yet, by number, with the task if the run is of
    /// this process. They are not acknowledged, so the target keeps listing them.
    unstored: BTreeMap<u64, Option<TaskKey>>,
    /// Whether ends that will never be stored wait for the lease to expire. At
    /// its expiry they are discarded, and the target ends the remaining runs.
    discarding: bool,
    runs: HashMap<TaskKey, Run>,
    by_reference: HashMap<RunRef, TaskKey>,
    /// Runs of a predecessor of this process, with the time of the last stop sent.
    foreign: HashMap<RunRef, TimestampMs>,
    calls: HashMap<CallId, Purpose>,
    next_call: u64,
    /// Polls in flight, with the time when each was sent.
    polls: Vec<(CallId, TimestampMs)>,
    /// When the target last answered a poll; `None` since a call without an answer.
    verified_ms: Option<TimestampMs>,
    /// Until when the target counts as losing answers.
    lossy_until_ms: TimestampMs,
    last_poll_ms: TimestampMs,
    last_reply_ms: TimestampMs,
    /// Calls without an answer since the target last answered.
    failed_calls: FailedCalls,
    /// Number of losses of the target so far.
    losses: u32,
    /// When the last one was noticed.
    lost_ms: Option<TimestampMs>,
    /// The value of the last [`LeasedEffect::Answered`].
    answered: Option<TargetAnswered>,
    /// Whether the target answers, with no foreign runs and no ends to discard.
    ready: bool,
    /// The value of the last [`LeasedEffect::Target`].
    reported: Option<Target>,
    effects: Vec<LeasedEffect>,
}

impl LeasedRuns {
    /// Creates the state without a target. Each process should have a higher `token`.
    pub fn new(timing: LeaseTiming, token: FencingToken, now: TimestampMs) -> Self {
        Self {
            timing,
            token,
            present: None,
            departed: None,
            candidates: Candidates::default(),
            clock: None,
            // A predecessor may have granted a lease just now.
            lease_expires_ms: now + on_slow_clock(timing.hold_ms),
            last_end: 0,
            unstored: BTreeMap::new(),
            discarding: false,
            runs: HashMap::new(),
            by_reference: HashMap::new(),
            foreign: HashMap::new(),
            calls: HashMap::new(),
            next_call: 0,
            polls: Vec::new(),
            verified_ms: None,
            lossy_until_ms: TimestampMs(0),
            last_poll_ms: now,
            last_reply_ms: now,
            failed_calls: FailedCalls::default(),
            losses: 0,
            lost_ms: None,
            answered: None,
            ready: false,
            reported: None,
            effects: Vec::new(),
        }
    }

    /// The present incarnation of the target.
    pub fn incarnation(&self) -> Option<&TargetIncarnation> {
        self.present.as_ref().map(|present| &present.incarnation)
    }

    /// Whether the target accepts runs.
    fn is_usable(&self) -> bool {
        self.reported.is_some()
    }

    /// Whether the target has answered within `silence_ms`.
    fn has_recent_reply(&self, now: TimestampMs) -> bool {
        now.since(self.last_reply_ms) < self.timing.silence_ms
    }

    /// Reports to the owner that the target begins or ceases to accept runs, or
    /// that its announced data changed.
    fn report_target(&mut self) {
        let present = self.present.as_ref().filter(|_| self.ready);
        let target = present.and_then(Present::usable_target).cloned();
        if self.reported != target {
            self.reported.clone_from(&target);
            self.effects.push(LeasedEffect::Target(target));
        }
    }

    /// Starts a run.
    pub fn start(&mut self, key: TaskKey, start: &Start, now: TimestampMs) {
        let Some(task) = start.name.clone() else {
            let why = "the job has no name: submit it to a queue".to_owned();
            return self.effects.push(LeasedEffect::Ended {
                key,
                result: TaskResult::Failed(why),
            });
        };
        if !self.is_usable() || !self.accepts_starts() {
            return self.effects.push(LeasedEffect::Ended {
                key,
                result: TaskResult::NotRun(NotRunReason::NoTarget),
            });
        }
        let reference = RunRef {
            task,
            run: start.run,
        };
        let run = Run {
            reference: reference.clone(),
            payload: start.payload.clone(),
            needs: start.needs,
            durable: start.durable,
            phase: Phase::Starting { attempts: 0 },
            due_ms: None,
            unanswered_starts: 0,
            requested_ms: now,
            confirmed_ms: None,
            seen_ms: now,
            unsent_starts: 0,
            loss: None,
        };
        self.by_reference.insert(reference, key);
        self.runs.insert(key, run);
        self.send_start(key, now);
    }

    /// Stops a run; [`LeasedEffect::Ended`] follows.
    pub fn stop(&mut self, key: TaskKey, now: TimestampMs) {
        let Some(run) = self.runs.get_mut(&key) else {
            return;
        };
        if !matches!(run.phase, Phase::Stopping { .. }) {
            run.phase = Phase::Stopping {
                asked_ms: now,
                since_ms: None,
            };
            self.send_stop(key, now);
        }
    }

    /// Sends the start of a run, unless the target has shrunk since it was requested.
    fn send_start(&mut self, key: TaskKey, now: TimestampMs) {
        if !self.fits_capacity() {
            return self.give_back(key, now);
        }
        let Some(clock) = self.clock else {
            return;
        };
        let until_ms = self.grant(clock, now);
        let reply_ms = self.timing.reply_ms;
        let Some(run) = self.runs.get_mut(&key) else {
            return;
        };
        let Some(until_ms) = until_ms else {
            run.due_ms = Some(now);
            return;
        };
        let Phase::Starting { attempts } = &mut run.phase else {
            return;
        };
        *attempts += 1;
        run.unanswered_starts += 1;
        let attempts = u64::from(*attempts);
        run.due_ms = Some(now + START_RETRY_MS * attempts);
        let request = StartRequest {
            run: run.reference.clone(),
            payload: run.payload.clone(),
            until_ms,
        };
        self.call(Purpose::Start(key), TargetCall::Start(request), reply_ms);
    }

    /// Whether all runs, those being stopped included, fit in the slots and the capacity
    /// that the target announced last.
    fn fits_capacity(&self) -> bool {
        let needs = self.runs.values().map(|run| run.needs);
        let used = needs.fold(Resources::default(), |used, needs| used + needs);
        self.newest_announcement().is_some_and(|newest| {
            self.runs.len() <= usize::from(newest.target.slots.0)
                && used.fits_in(newest.target.capacity)
        })
    }

    /// Returns a run unstarted, or stops it first if a start may still be carried out.
    fn give_back(&mut self, key: TaskKey, now: TimestampMs) {
        let phase = self.runs.get(&key).map(|run| run.phase);
        if phase == Some(Phase::Starting { attempts: 0 }) {
            return self.end(key, TaskResult::NotRun(NotRunReason::Full));
        }
        self.stop(key, now);
    }

    fn send_stop(&mut self, key: TaskKey, now: TimestampMs) {
        let reply_ms = self.timing.reply_ms;
        let Some(run) = self.runs.get_mut(&key) else {
            return;
        };
        run.due_ms = Some(now + STOP_RETRY_MS);
        let stop = TargetCall::Stop(run.reference.clone());
        self.call(Purpose::Stop(key), stop, reply_ms);
    }

    /// Extends the lease and returns its expiry on the target's clock. While a stop is
    /// unanswered, the lease ends no later than if it had been renewed last when that
    /// run was to be stopped, since the run's entry counts on it.
    fn grant(&mut self, clock: TargetClock, now: TimestampMs) -> Option<TargetTimeMs> {
        let hold_ms = self.timing.hold_ms;
        let renewed_ms = self.oldest_open_stop().unwrap_or(now);
        let left_ms = hold_ms.0.checked_sub(now.since(renewed_ms).0)?;
        let expires_ms = renewed_ms + on_slow_clock(hold_ms);
        self.lease_expires_ms = self.lease_expires_ms.max(expires_ms);
        Some(clock.after(DurationMs(left_ms), now))
    }

    /// When the first of the runs was to be stopped whose stop is not accepted yet.
    fn oldest_open_stop(&self) -> Option<TimestampMs> {
        let asked_ms = |run: &Run| match run.phase {
            Phase::Stopping {
                asked_ms,
                since_ms: None,
            } => Some(asked_ms),
            _ => None,
        };
        self.runs.values().filter_map(asked_ms).min()
    }

    /// Ends runs whose stop the target does not accept, once they have ended there with
    /// their lease.
    fn end_unstoppable(&mut self, now: TimestampMs) {
        if now < self.lease_expires_ms {
            return;
        }
        let is_open = |run: &Run| matches!(run.phase, Phase::Stopping { since_ms: None, .. });
        let open = self.runs.iter().filter(|(_, run)| is_open(run));
        let keys: Vec<TaskKey> = open.map(|(key, _)| *key).collect();
        if !keys.is_empty() {
            self.mark_lost(now);
        }
        for key in keys {
            self.interrupt(key, "its stop was not accepted and its lease has lapsed");
        }
    }

    fn poll(&mut self, now: TimestampMs) {
        let has_recent_reply = self.has_recent_reply(now);
        let may_grant = has_recent_reply && self.foreign.is_empty() && !self.discarding;
        let clock = self.clock.filter(|_| may_grant);
        let until_ms = clock.and_then(|clock| self.grant(clock, now));
        // A poll that may reach another incarnation acknowledges nothing, as ends are
        // numbered anew there, and is answered at once.
        let (observed, wait_ms) = match until_ms {
            _ if self.may_have_restarted(now) => (0, DurationMs::ZERO),
            Some(_) => (self.observed(), self.timing.wait_ms),
            None => (self.observed(), UNLEASED_POLL_WAIT_MS),
        };
        self.last_poll_ms = now;
        let poll = TargetCall::Poll {
            until_ms,
            observed,
            wait_ms,
        };
        let is_answered_at_once = wait_ms == DurationMs::ZERO || observed < self.last_end;
        let purpose = Purpose::Poll {
            sent_ms: now,
            known_end: self.last_end,
            watches_until_ms: (!is_answered_at_once).then_some(now + wait_ms),
        };
        let limit_ms = wait_ms + self.timing.reply_ms;
        let sent = self.call(purpose, poll, limit_ms);
        self.polls.extend(sent.map(|id| (id, now)));
    }

    /// Whether the target may have started again under its name since its last answer
    /// to a poll: a call was not answered, or a poll sent since is late.
    fn may_have_restarted(&self, now: TimestampMs) -> bool {
        let Some(verified_ms) = self.verified_ms else {
            return true;
        };
        self.polls
            .iter()
            .any(|(_, sent_ms)| *sent_ms >= verified_ms && is_late(self.timing, *sent_ms, now))
    }

    /// Whether runs may start: the target is not about to end all of them, and runs
    /// none of a predecessor, whose needs are unknown.
    fn accepts_starts(&self) -> bool {
        let has_left = self.present.as_ref().is_some_and(Present::has_left);
        !self.discarding && !has_left && self.foreign.is_empty()
    }

    /// Whether fewer polls are in flight than needed.
    fn lacks_poll(&self, now: TimestampMs) -> bool {
        match self.polls.as_slice() {
            [] => true,
            polls if now < self.lossy_until_ms => polls.len() < LOSSY_POLLS,
            [(_, sent_ms)] => is_late(self.timing, *sent_ms, now),
            _ => false,
        }
    }

    /// Sends polls until as many as needed are in flight.
    fn refill_polls(&mut self, now: TimestampMs) {
        while self.present.is_some() && self.lacks_poll(now) {
            self.poll(now);
        }
    }

    fn call(&mut self, purpose: Purpose, call: TargetCall, limit_ms: DurationMs) -> Option<CallId> {
        let incarnation = self.incarnation()?.clone();
        Some(self.call_to(incarnation, purpose, call, limit_ms))
    }

    fn call_to(
        &mut self,
        incarnation: TargetIncarnation,
        purpose: Purpose,
        call: TargetCall,
        limit_ms: DurationMs,
    ) -> CallId {
        self.next_call += 1;
        let id = CallId(self.next_call);
        self.calls.insert(id, purpose);
        self.effects.push(LeasedEffect::Call {
            id,
            incarnation,
            token: self.token,
            call,
            limit_ms,
        });
        id
    }

    /// Handles the result of a call.
    pub fn answered(&mut self, id: CallId, reply: TargetReply, now: TimestampMs) {
        let Some(purpose) = self.calls.remove(&id) else {
            return;
        };
        if matches!(reply, TargetReply::Refused(Refusal::Fenced, _)) {
            self.token.0 += TOKEN_STEP;
        }
        if matches!(purpose, Purpose::Confirm) {
            return self.candidate_answered(id, reply, now);
        }
        self.polls.retain(|(poll, _)| *poll != id);
        if reply == TargetReply::OtherIncarnation {
            return self.lose_present(ChangeReason::OtherAnswered, now);
        }
        if let Purpose::Poll { sent_ms, .. } = purpose
            && let TargetReply::Polled { born_ms, .. } = reply
            && let Some(born_ms) = self.other_birth_time(born_ms)
        {
            return self.target_restarted(born_ms, sent_ms, reply, now);
        }
        self.record_failure(purpose, &reply, now);
        self.take_answer(&reply, now);
        match purpose {
            Purpose::Start(key) => self.start_answered(key, reply, now),
            Purpose::Stop(key) => self.stop_answered(key, &reply, now),
            Purpose::StopForeign | Purpose::Confirm => {}
            Purpose::Poll {
                sent_ms, known_end, ..
            } => {
                self.poll_answered(sent_ms, known_end, reply, now);
            }
        }
    }

    /// The listed birth time, if it is not that of the present incarnation.
    fn other_birth_time(&self, listed_ms: Option<u64>) -> Option<u64> {
        let present_ms = self.incarnation()?.born_ms;
        listed_ms.filter(|listed_ms| present_ms > 0 && *listed_ms != present_ms)
    }

    /// Records when the target answered, and the clock that it shows.
    fn take_answer(&mut self, reply: &TargetReply, now: TimestampMs) {
        match reply {
            TargetReply::Started(clock_ms)
            | TargetReply::Refused(_, clock_ms)
            | TargetReply::Stopping(clock_ms)
            | TargetReply::Polled { clock_ms, .. } => {
                self.clock = Some(TargetClock::read(*clock_ms, now));
                self.last_reply_ms = now;
            }
            TargetReply::Unhealthy | TargetReply::Invalid(_) => self.last_reply_ms = now,
            TargetReply::NotConnected | TargetReply::Unanswered(_) => return self.call_lost(now),
            TargetReply::OtherIncarnation => {}
        }
        self.failed_calls = FailedCalls::default();
    }

    fn call_lost(&mut self, now: TimestampMs) {
        self.verified_ms = None;
        self.lossy_until_ms = now + LOSSY_POLL_MS;
    }

    fn start_answered(&mut self, key: TaskKey, reply: TargetReply, now: TimestampMs) {
        let Some(run) = self.runs.get_mut(&key) else {
            return;
        };
        match reply {
            TargetReply::Unanswered(_) => {}
            TargetReply::NotConnected => run.unsent_starts += 1,
            _ => run.unanswered_starts = run.unanswered_starts.saturating_sub(1),
        }
        let Phase::Starting { attempts } = run.phase else {
            return;
        };
        match reply {
            TargetReply::Started(_) => {
                run.phase = Phase::Running { since_ms: now };
                run.confirmed_ms = Some(now);
                run.seen_ms = run.requested_ms;
                run.due_ms = None;
            }
            // An earlier attempt was carried out although its answer was lost, and
            // the run has ended: the target lists its end.
            TargetReply::Refused(Refusal::Stale, _) if attempts > 1 => {
                run.phase = Phase::Running { since_ms: now };
                run.due_ms = None;
            }
            TargetReply::Refused(Refusal::Stale, _) => self.renumber(key, now),
            TargetReply::Refused(refusal @ (Refusal::NoCapacity | Refusal::NoPermit), _) => {
                let result = if refusal == Refusal::NoCapacity {
                    TaskResult::NotRun(NotRunReason::Full)
                } else {
                    TaskResult::Failed(refusal.to_string())
                };
                self.end_unless_tried(key, attempts, result, now);
            }
            TargetReply::Unhealthy => {
                let result = TaskResult::NotRun(NotRunReason::TargetUnhealthy);
                self.end_unless_tried(key, attempts, result, now);
            }
            TargetReply::Invalid(message) => self.end(key, TaskResult::Failed(message)),
            TargetReply::Refused(Refusal::Fenced | Refusal::Late, _)
            | TargetReply::Stopping(_)
            | TargetReply::Polled { .. }
            | TargetReply::OtherIncarnation
            | TargetReply::NotConnected
            | TargetReply::Unanswered(_) => run.due_ms = Some(now),
        }
    }

    /// Ends a run that the target refused, or stops it first if an earlier attempt
    /// may still be carried out.
    fn end_unless_tried(
        &mut self,
        key: TaskKey,
        attempts: u32,
        result: TaskResult,
        now: TimestampMs,
    ) {
        if attempts == 1 {
            return self.end(key, result);
        }
        self.stop(key, now);
    }

    /// Starts a run under a higher number: the target has had one of this number.
    fn renumber(&mut self, key: TaskKey, now: TimestampMs) {
        let Some(run) = self.runs.get_mut(&key) else {
            return;
        };
        self.by_reference.remove(&run.reference);
        run.reference.run = run.reference.run.next();
        run.phase = Phase::Starting { attempts: 0 };
        self.by_reference.insert(run.reference.clone(), key);
        self.send_start(key, now);
    }

    fn stop_answered(&mut self, key: TaskKey, reply: &TargetReply, now: TimestampMs) {
        let Some(run) = self.runs.get_mut(&key) else {
            return;
        };
        let is_answered = matches!(reply, TargetReply::Stopping(_) | TargetReply::Invalid(_));
        if let Phase::Stopping { since_ms, .. } = &mut run.phase
            && is_answered
        {
            *since_ms = Some(now);
            run.due_ms = None;
            // The lease may have been renewed for a short time only.
            if self.oldest_open_stop().is_none()
                && now + self.timing.hold_ms / 2 > self.lease_expires_ms
            {
                self.poll(now);
            }
        }
    }

    fn poll_answered(
        &mut self,
        sent_ms: TimestampMs,
        known_end: u64,
        reply: TargetReply,
        now: TimestampMs,
    ) {
        let TargetReply::Polled {
            running,
            ended,
            is_complete,
            born_ms,
            ..
        } = reply
        else {
            return;
        };
        self.verified_ms = Some(now);
        self.report_answer(born_ms, sent_ms);
        // A list from before a known end may arrive later and still contain the run.
        let newest = ended.last().map_or(known_end, |end| end.number);
        let is_outdated = newest < self.last_end;
        for end in ended {
            self.take_end(&end, now);
        }
        if !is_outdated {
            self.record_seen(&running, now);
        }
        if !is_outdated && is_complete {
            self.reconcile(&running, sent_ms);
        }
        if !is_outdated {
            self.stop_foreign(running, now);
        }
        self.ready = self.foreign.is_empty() && !self.discarding;
        self.report_target();
        // A target with unacknowledged ends answers without delay, so polls
        // would follow each other at once and not get the ends stored sooner.
        if self.unstored.is_empty() {
            self.refill_polls(now);
        }
    }

    /// The highest end to acknowledge; the target may drop those up to it.
    fn observed(&self) -> u64 {
        let first = self.unstored.first_key_value();
        first.map_or(self.last_end, |(number, _)| {
            (*number - 1).min(self.last_end)
        })
    }

    /// Records that the end of a run is stored.
    pub fn end_stored(&mut self, key: TaskKey, now: TimestampMs) {
        self.unstored.retain(|_, run| *run != Some(key));
        if self.unstored.is_empty() {
            self.refill_polls(now);
        }
    }

    /// Discards the end of a run that will never be stored, as the task may run
    /// again elsewhere. It no longer counts once the lease has expired; until then
    /// it is not acknowledged, so the target does not drop it.
    pub fn discard_end(&mut self, key: TaskKey) {
        if self.unstored.values().any(|run| *run == Some(key)) {
            self.begin_discarding();
        }
    }

    fn begin_discarding(&mut self) {
        self.discarding = true;
        self.ready = false;
        self.report_target();
    }

    fn discard_ends(&mut self) {
        self.discarding = false;
        self.unstored.clear();
    }

    fn take_end(&mut self, end: &EndedRun, now: TimestampMs) {
        if end.number <= self.last_end {
            return;
        }
        self.last_end = end.number;
        self.foreign.remove(&end.run);
        let counts = matches!(end.kind, EndKind::Done | EndKind::Failed);
        let Some(&key) = self.by_reference.get(&end.run) else {
            // A durable job's run of a predecessor: its entry counts it as lost.
            if counts && end.run.run.is_of_durable_job() && now < self.lease_expires_ms {
                self.unstored.insert(end.number, None);
                self.begin_discarding();
            }
            return;
        };
        let is_durable = self.runs.get(&key).is_some_and(|run| run.durable);
        if is_durable && counts {
            self.unstored.insert(end.number, Some(key));
        }
        match end.kind {
            EndKind::Done => self.end(key, TaskResult::Done(Payload::default())),
            EndKind::Failed => {
                let why = "the target lists it as failed".to_owned();
                self.end(key, TaskResult::Failed(why));
            }
            EndKind::Stopped => self.interrupt(key, "it was stopped"),
            EndKind::Expired => self.interrupt(key, "the target's lease lapsed"),
            EndKind::Broken => self.interrupt(key, "another member ended"),
        }
    }

    /// Ends runs that the target neither runs nor lists as ended, as after a
    /// stop that arrived before its start.
    fn reconcile(&mut self, running: &[RunRef], polled_ms: TimestampMs) {
        let missing = |(key, run): (&TaskKey, &Run)| {
            let certain_since_ms = match run.phase {
                Phase::Starting { .. } => return None,
                Phase::Running { since_ms } => Some(since_ms),
                Phase::Stopping { since_ms, .. } => since_ms,
            };
            let is_known = certain_since_ms.is_some_and(|since_ms| since_ms < polled_ms);
            (is_known && !running.contains(&run.reference)).then_some(*key)
        };
        let missing_runs: Vec<TaskKey> = self.runs.iter().filter_map(missing).collect();
        for key in missing_runs {
            self.interrupt(key, "the target no longer runs it");
        }
    }

    /// Stops the runs of a predecessor of this process.
    fn stop_foreign(&mut self, running: Vec<RunRef>, now: TimestampMs) {
        self.foreign.retain(|run, _| running.contains(run));
        for run in running {
            let sent = self.foreign.get(&run);
            let is_due = sent.is_none_or(|sent_ms| now.since(*sent_ms) >= self.timing.reply_ms);
            if self.by_reference.contains_key(&run) || !is_due {
                continue;
            }
            self.foreign.insert(run.clone(), now);
            let stop = TargetCall::Stop(run);
            self.call(Purpose::StopForeign, stop, self.timing.reply_ms);
        }
    }

    fn end(&mut self, key: TaskKey, result: TaskResult) {
        if let Some(run) = self.runs.remove(&key) {
            self.by_reference.remove(&run.reference);
            self.effects.push(LeasedEffect::Ended { key, result });
        }
    }

    fn interrupt_all(&mut self, why: &str) {
        let keys: Vec<TaskKey> = self.runs.keys().copied().collect();
        for key in keys {
            self.interrupt(key, why);
        }
    }

    /// Ends a run without a result, `why` unless the target was lost under it.
    fn interrupt(&mut self, key: TaskKey, why: &str) {
        let Some(run) = self.runs.get(&key) else {
            return;
        };
        let loss = run.loss.clone().map(Interruption::TargetLost);
        let why = loss.unwrap_or_else(|| Interruption::Other(why.to_owned()));
        self.end(key, TaskResult::Interrupted(why.to_string()));
    }

    /// Runs the timers. To be called every few tens of milliseconds.
    pub fn tick(&mut self, now: TimestampMs) {
        self.poll_candidates(now);
        self.end_left(now);
        self.end_unstoppable(now);
        if self.present.is_none() {
            return;
        }
        self.repeat_calls(now);
        self.drop_lost_polls(now);
        let silent_ms = now.since(self.last_reply_ms);
        let pause_ms = (silent_ms / SILENCE_PAUSE_DIVISOR).min(MAX_POLL_PAUSE_MS);
        let pause_ms = if self.unstored.is_empty() {
            pause_ms
        } else {
            pause_ms.max(UNSTORED_END_PAUSE_MS)
        };
        if self.discarding && now >= self.lease_expires_ms {
            self.discard_ends();
        }
        if now.since(self.last_poll_ms) >= pause_ms && self.lacks_poll(now) {
            self.poll(now);
        }
        if self.has_recent_reply(now) {
            return;
        }
        self.ready = false;
        self.report_target();
        if now >= self.lease_expires_ms {
            self.mark_lost(now);
            self.interrupt_all("the target fell silent and its lease has lapsed");
        }
    }

    /// Abandons polls whose answers are overdue.
    fn drop_lost_polls(&mut self, now: TimestampMs) {
        let limit_ms = self.timing.wait_ms + self.timing.reply_ms;
        let is_lost = |(_, sent_ms): &mut (CallId, TimestampMs)| now.since(*sent_ms) > limit_ms;
        let lost: Vec<(CallId, TimestampMs)> = self.polls.extract_if(.., is_lost).collect();
        for (id, _) in lost {
            self.calls.remove(&id);
            self.failed_calls.add(false, false, now);
            self.call_lost(now);
        }
    }

    fn repeat_calls(&mut self, now: TimestampMs) {
        let is_due = |run: &Run| run.due_ms.is_some_and(|due_ms| due_ms <= now);
        let due: Vec<TaskKey> = self
            .runs
            .iter()
            .filter(|(_, run)| is_due(run))
            .map(|(key, _)| *key)
            .collect();
        let answers = self.has_recent_reply(now);
        for key in due {
            match self.runs[&key].phase {
                Phase::Starting { .. } if answers && self.accepts_starts() => {
                    self.send_start(key, now);
                }
                Phase::Stopping { .. } => self.send_stop(key, now),
                Phase::Starting { .. } | Phase::Running { .. } => {}
            }
        }
    }

    /// Takes the effects since the last call.
    pub fn poll_effects(&mut self) -> Vec<LeasedEffect> {
        std::mem::take(&mut self.effects)
    }
}

/// Whether the answer to a poll has probably been lost.
fn is_late(timing: LeaseTiming, sent_ms: TimestampMs, now: TimestampMs) -> bool {
    now.since(sent_ms) > timing.wait_ms + LATE_POLL_MS
}
