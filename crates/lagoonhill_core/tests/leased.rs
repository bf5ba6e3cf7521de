//! Runs under a target's lease: unanswered calls, silent targets, new
//! incarnations, and runs that an earlier agent left behind.

use std::net::SocketAddr;

use lagoonhill_core::agent::TaskKey;
use lagoonhill_core::leased::{
    Announcement, AnnouncementOutcome, CallId, EndKind, EndedRun, FencingToken, LeaseTiming,
    LeasedEffect, LeasedRuns, Refusal, RunRef, TargetCall, TargetIncarnation, TargetReply,
    TargetTimeMs,
};
use lagoonhill_protocol::{NotRunReason, Start, Target, TaskResult};
use lagoonhill_types::prelude::*;
use slotmap::SlotMap;

/// Defines one test for each named case.
macro_rules! cases {
    ($($name:ident => $body:block)+) => {
        $(#[test] fn $name() $body)+
    };
}

const BEGAN: TimestampMs = TimestampMs(1_000_000);

fn incarnation(name: &str, born_ms: u64) -> TargetIncarnation {
    TargetIncarnation {
        name: name.parse().expect("the name is valid"),
        born_ms,
    }
}

fn announcement(incarnation: TargetIncarnation, sequence: u64, draining: bool) -> Announcement {
    Announcement {
        incarnation,
        sequence,
        sent_ms: None,
        draining,
        target: Target {
            service: "dispatch".parse().expect("the name is valid"),
            address: SocketAddr::from(([127, 0, 0, 1], 1)),
            slots: SlotCount(8),
            connections: 8,
            capacity: Resources::default(),
            labels: Vec::new(),
        },
    }
}

fn run_ref(index: u16, run: u32) -> RunRef {
    RunRef {
        task: TaskName {
            job: "job".parse().expect("the name is valid"),
            step: 0,
            index,
        },
        run: RunNumber(run),
    }
}

/// A call that waits for its answer.
#[derive(Debug)]
struct Call {
    id: CallId,
    to: TargetIncarnation,
    token: FencingToken,
    what: TargetCall,
}

/// A `LeasedRuns` under test, its open calls and the effects it has reported.
struct Bench {
    runs: LeasedRuns,
    keys: SlotMap<TaskKey, ()>,
    now: TimestampMs,
    calls: Vec<Call>,
    ended: Vec<(TaskKey, TaskResult)>,
    target: Option<Target>,
    /// What was made of the last announcement.
    outcome: Option<AnnouncementOutcome>,
    /// Whether started tasks belong to durable jobs.
    durable: bool,
}

impl Bench {
    fn new() -> Self {
        let runs = LeasedRuns::new(LeaseTiming::default(), FencingToken(7), BEGAN);
        Self {
            runs,
            keys: SlotMap::with_key(),
            now: BEGAN,
            calls: Vec::new(),
            ended: Vec::new(),
            target: None,
            outcome: None,
            durable: false,
        }
    }

    /// A bench whose target runs nothing and takes tasks.
    fn ready() -> Self {
        let mut bench = Self::new();
        bench.announce(announcement(incarnation("target", 5), 1, false));
        bench.answer_poll(&[], &[]);
        assert!(bench.target.is_some(), "the target does not take tasks");
        bench
    }

    fn collect(&mut self) {
        for effect in self.runs.poll_effects() {
            match effect {
                LeasedEffect::Call {
                    id,
                    incarnation,
                    token,
                    call,
                    ..
                } => self.calls.push(Call {
                    id,
                    to: incarnation,
                    token,
                    what: call,
                }),
                LeasedEffect::Ended { key, result } => self.ended.push((key, result)),
                LeasedEffect::Target(target) => self.target = target,
                LeasedEffect::Changed(_) | LeasedEffect::Answered(_) => {}
                LeasedEffect::Announced(report) => self.outcome = Some(report.outcome),
            }
        }
    }

    fn announce(&mut self, announcement: Announcement) -> bool {
        self.runs.announce(announcement, self.now);
        self.collect();
        self.outcome != Some(AnnouncementOutcome::OutOfDate)
    }

    fn start(&mut self, index: u16) -> TaskKey {
        let key = self.keys.insert(());
        let start = Start {
            task: TaskId::default(),
            decided_ms: self.now,
            run_limit_ms: DurationMs(1_000),
            nominal_ms: DurationMs(100),
            is_learned: true,
            needs: Resources::default(),
            run: RunNumber(1),
            durable: self.durable,
            name: Some(run_ref(index, 1).task),
            payload: Payload::default(),
        };
        self.runs.start(key, &start, self.now);
        self.collect();
        key
    }

    fn stop(&mut self, key: TaskKey) {
        self.runs.stop(key, self.now);
        self.collect();
    }

    /// Lets time pass without an answer.
    fn pass(&mut self, span_ms: u64) {
        for _ in 0..span_ms / 10 {
            self.now = self.now + DurationMs(10);
            self.runs.tick(self.now);
            self.collect();
        }
    }

    fn clock(&self) -> TargetTimeMs {
        TargetTimeMs(self.now.0 - BEGAN.0 + 500)
    }

    /// Answers the newest matching call.
    fn answer(&mut self, is_meant: impl Fn(&TargetCall) -> bool, reply: TargetReply) -> Call {
        let position = self.calls.iter().rposition(|call| is_meant(&call.what));
        let call = self.calls.remove(position.expect("no such call was made"));
        self.runs.answered(call.id, reply, self.now);
        self.collect();
        call
    }

    fn answer_start(&mut self, reply: TargetReply) -> Call {
        self.answer(|call| matches!(call, TargetCall::Start(_)), reply)
    }

    fn answer_stop(&mut self, reply: TargetReply) -> Call {
        self.answer(|call| matches!(call, TargetCall::Stop(_)), reply)
    }

    fn poll_reply(&self, running: &[RunRef], ended: &[EndedRun]) -> TargetReply {
        TargetReply::Polled {
            clock_ms: self.clock(),
            born_ms: Some(5),
            running: running.to_vec(),
            ended: ended.to_vec(),
            is_complete: true,
        }
    }

    fn answer_poll(&mut self, running: &[RunRef], ended: &[EndedRun]) -> Call {
        let held = self.poll_reply(running, ended);
        self.answer(|call| matches!(call, TargetCall::Poll { .. }), held)
    }

    /// Answers all open polls as a target of this name and birth time: those that are
    /// addressed to another name get a 421.
    fn answer_polls_as(&mut self, target: &TargetIncarnation, running: &[RunRef]) {
        let is_poll = |call: &Call| matches!(call.what, TargetCall::Poll { .. });
        let (polls, others) = self.calls.drain(..).partition(is_poll);
        self.calls = others;
        let polls: Vec<Call> = polls;
        for poll in polls {
            let reply = if poll.to.name == target.name {
                TargetReply::Polled {
                    clock_ms: self.clock(),
                    born_ms: Some(target.born_ms),
                    running: running.to_vec(),
                    ended: Vec::new(),
                    is_complete: true,
                }
            } else {
                TargetReply::OtherIncarnation
            };
            self.runs.answered(poll.id, reply, self.now);
            self.collect();
        }
    }

    /// Lets time pass while the target answers every poll.
    fn pass_answering(&mut self, span_ms: u64, target: &TargetIncarnation, running: &[RunRef]) {
        for _ in 0..span_ms / 50 {
            self.answer_polls_as(target, running);
            self.pass(50);
        }
        self.answer_polls_as(target, running);
    }

    fn answer_oldest_poll(&mut self, running: &[RunRef]) {
        self.answer_oldest_poll_with(running, &[]);
    }

    fn answer_oldest_poll_with(&mut self, running: &[RunRef], ended: &[EndedRun]) {
        let is_poll = |call: &Call| matches!(call.what, TargetCall::Poll { .. });
        let position = self.calls.iter().position(is_poll);
        let call = self.calls.remove(position.expect("no poll is open"));
        let held = self.poll_reply(running, ended);
        self.runs.answered(call.id, held, self.now);
        self.collect();
    }

    fn started(&mut self, index: u16) -> TaskKey {
        let key = self.start(index);
        let clock = self.clock();
        self.answer_start(TargetReply::Started(clock));
        key
    }

    fn result_of(&self, key: TaskKey) -> Option<&TaskResult> {
        let found = self.ended.iter().find(|(ended, _)| *ended == key);
        found.map(|(_, result)| result)
    }

    fn starts(&self) -> usize {
        let is_start = |call: &&Call| matches!(call.what, TargetCall::Start(_));
        self.calls.iter().filter(is_start).count()
    }
}

fn end(number: u64, index: u16, run: u32, kind: EndKind) -> EndedRun {
    EndedRun {
        number,
        run: run_ref(index, run),
        kind,
    }
}

/// Number of the first run of a durable job's task.
const DURABLE_RUN: u32 = 1_001;

cases! {
    a_listed_end_ends_the_run_and_is_acknowledged_by_the_next_poll => {
        let mut bench = Bench::ready();
        let key = bench.started(0);
        bench.answer_poll(&[], &[end(3, 0, 1, EndKind::Done)]);
        assert!(matches!(bench.result_of(key), Some(TaskResult::Done(_))));
        let next = bench.answer_poll(&[], &[]);
        assert!(matches!(next.what, TargetCall::Poll { observed: 3, .. }), "{next:?}");
    }

    the_end_of_a_durable_run_is_not_acknowledged_until_it_is_stored => {
        let mut bench = Bench::ready();
        bench.durable = true;
        let (first, second) = (bench.started(0), bench.started(1));
        let ends = [end(3, 0, 1, EndKind::Done), end(4, 1, 1, EndKind::Failed)];
        bench.answer_poll(&[], &ends);
        bench.pass(30);
        let held = bench.answer_poll(&[], &ends);
        assert!(matches!(held.what, TargetCall::Poll { observed: 2, .. }), "{held:?}");
        assert_eq!(bench.ended.len(), 2, "an end was reported again");
        bench.runs.end_stored(second, bench.now);
        bench.pass(30);
        let held = bench.answer_poll(&[], &ends);
        assert!(matches!(held.what, TargetCall::Poll { observed: 2, .. }), "{held:?}");
        bench.runs.end_stored(first, bench.now);
        bench.collect();
        let held = bench.answer_poll(&[], &[]);
        assert!(matches!(held.what, TargetCall::Poll { observed: 4, .. }), "{held:?}");
    }

    an_end_that_is_never_stored_is_acknowledged_after_the_lease_expired => {
        let mut bench = Bench::ready();
        bench.durable = true;
        let key = bench.started(0);
        let ends = [end(3, 0, 1, EndKind::Done)];
        bench.answer_poll(&[], &ends);
        bench.runs.discard_end(key);
        bench.collect();
        assert!(bench.target.is_none(), "the target takes tasks although its lease must expire first");
        let discarded_at = bench.now;
        loop {
            bench.pass(30);
            let held = bench.answer_poll(&[], &ends);
            let TargetCall::Poll { observed, until_ms, .. } = held.what else {
                unreachable!("a call other than a poll was answered");
            };
            if observed >= 3 {
                break;
            }
            assert_eq!(until_ms, None, "the lease was extended");
        }
        assert!(bench.now.since(discarded_at) >= LeaseTiming::default().hold_ms, "the end was acknowledged before the lease expired");
        assert!(bench.target.is_some(), "the target does not take tasks again");
    }

    the_ends_of_a_predecessors_other_runs_are_acknowledged_at_once => {
        let mut bench = Bench::new();
        bench.announce(announcement(incarnation("target", 5), 1, false));
        bench.answer_poll(&[], &[end(3, 0, 1, EndKind::Done)]);
        let held = bench.answer_poll(&[], &[]);
        assert!(matches!(held.what, TargetCall::Poll { observed: 3, until_ms: Some(_), .. }), "{held:?}");
        assert!(bench.target.is_some());
    }

    an_end_that_a_predecessor_did_not_store_is_acknowledged_after_its_lease => {
        let mut bench = Bench::new();
        bench.announce(announcement(incarnation("target", 5), 1, false));
        let ends = [end(3, 0, DURABLE_RUN, EndKind::Done)];
        bench.answer_poll(&[], &ends);
        bench.pass(30);
        let held = bench.answer_poll(&[], &ends);
        assert!(matches!(held.what, TargetCall::Poll { observed: 2, until_ms: None, .. }), "{held:?}");
        while bench.now < BEGAN + LeaseTiming::default().hold_ms * 2 {
            bench.pass(50);
            bench.answer_poll(&[], &ends);
        }
        bench.pass(30);
        let held = bench.answer_poll(&[], &[]);
        assert!(matches!(held.what, TargetCall::Poll { observed: 3, .. }), "{held:?}");
        assert!(bench.target.is_some());
    }

    an_unanswered_start_is_repeated_with_the_same_number => {
        let mut bench = Bench::ready();
        bench.start(0);
        let first = bench.answer_start(TargetReply::Unanswered("lost".to_owned()));
        bench.pass(20);
        let clock = bench.clock();
        let second = bench.answer_start(TargetReply::Started(clock));
        let number = |call: &Call| match &call.what {
            TargetCall::Start(order) => order.run.clone(),
            _ => unreachable!("a call other than a start was answered"),
        };
        assert_eq!(number(&first), number(&second));
    }

    // Load pattern: a target that leaves one start in twenty unanswered, with
    // runs of 60 ms.
    a_start_without_an_answer_is_repeated_within_a_short_run => {
        let mut bench = Bench::ready();
        bench.start(0);
        bench.pass(60);
        assert!(bench.starts() >= 2, "{:?}", bench.calls);
    }

    // Ends are reported only in answers to polls.
    a_lost_poll_answer_does_not_delay_the_ends_of_runs => {
        let mut bench = Bench::ready();
        let key = bench.started(0);
        // The pending poll is lost.
        bench.calls.clear();
        bench.pass(150);
        bench.answer_poll(&[], &[end(1, 0, 1, EndKind::Done)]);
        assert!(matches!(bench.result_of(key), Some(TaskResult::Done(_))));
    }

    a_target_that_loses_answers_is_polled_four_times_at_a_time => {
        let mut bench = Bench::ready();
        let is_poll = |call: &TargetCall| matches!(call, TargetCall::Poll { .. });
        bench.answer(is_poll, TargetReply::Unanswered("lost".to_owned()));
        bench.pass(100);
        bench.answer_poll(&[], &[]);
        let polls = |bench: &Bench| bench.calls.iter().filter(|call| is_poll(&call.what)).count();
        assert_eq!(polls(&bench), 4);
        for _ in 0..120 {
            bench.pass(50);
            for _ in 0..polls(&bench) {
                bench.answer_oldest_poll(&[]);
            }
        }
        assert_eq!(polls(&bench), 1, "the other polls go on after the target answers again");
    }

    // Load pattern: a target loses a quarter of its answers under load. Each end
    // answers all polls in flight; if all these answers are lost, the ends of all
    // runs are unknown until the polls time out.
    an_end_is_known_though_three_of_its_answers_are_lost => {
        let mut bench = Bench::ready();
        let is_poll = |call: &TargetCall| matches!(call, TargetCall::Poll { .. });
        bench.answer(is_poll, TargetReply::Unanswered("lost".to_owned()));
        let key = bench.started(0);
        bench.pass(30);
        // The answers to the three newer polls are lost: nothing is heard of them.
        bench.answer_oldest_poll_with(&[], &[end(1, 0, 1, EndKind::Done)]);
        assert!(matches!(bench.result_of(key), Some(TaskResult::Done(_))));
        let polls = bench.calls.iter().filter(|call| is_poll(&call.what)).count();
        assert_eq!(polls, 4, "the answered poll was not replaced at once");
    }

    // Answers on two connections may arrive out of order.
    an_outdated_list_of_runs_stops_nothing => {
        let mut bench = Bench::ready();
        let key = bench.started(0);
        bench.pass(130);
        bench.answer_poll(&[], &[end(1, 0, 1, EndKind::Done)]);
        assert!(bench.result_of(key).is_some());
        // The older poll was answered before the end, but its answer arrives later.
        bench.answer_oldest_poll(&[run_ref(0, 1)]);
        let stops = bench.calls.iter().any(|call| matches!(call.what, TargetCall::Stop(_)));
        assert!(!stops, "{:?}", bench.calls);
        bench.pass(30);
        let next = bench.answer_poll(&[], &[]);
        assert!(matches!(next.what, TargetCall::Poll { until_ms: Some(_), .. }), "{next:?}");
    }

    a_late_start_whose_run_ended_is_not_repeated => {
        let mut bench = Bench::ready();
        let key = bench.start(0);
        bench.answer_start(TargetReply::Unanswered("lost".to_owned()));
        bench.pass(20);
        let clock = bench.clock();
        bench.answer_start(TargetReply::Refused(Refusal::Stale, clock));
        assert_eq!(bench.result_of(key), None, "the task ended before the end of its run was known");
        bench.answer_poll(&[], &[end(1, 0, 1, EndKind::Done)]);
        assert!(matches!(bench.result_of(key), Some(TaskResult::Done(_))));
    }

    a_run_number_used_by_an_earlier_submission_is_raised => {
        let mut bench = Bench::ready();
        bench.start(0);
        let clock = bench.clock();
        bench.answer_start(TargetReply::Refused(Refusal::Stale, clock));
        let again = bench.answer_start(TargetReply::Started(clock));
        assert!(matches!(again.what, TargetCall::Start(order) if order.run == run_ref(0, 2)));
    }

    a_refusal_after_an_unanswered_start_stops_the_run_before_the_task_is_returned => {
        let mut bench = Bench::ready();
        let key = bench.start(0);
        bench.answer_start(TargetReply::Unanswered("lost".to_owned()));
        bench.pass(20);
        bench.answer_start(TargetReply::Unhealthy);
        assert_eq!(bench.result_of(key), None, "the task ended while its first start may still be carried out");
        let clock = bench.clock();
        bench.answer_stop(TargetReply::Stopping(clock));
        bench.pass(10);
        bench.answer_poll(&[], &[]);
        bench.pass(10);
        bench.answer_poll(&[], &[]);
        assert!(matches!(bench.result_of(key), Some(TaskResult::Interrupted(_))));
    }

    a_refusal_of_the_only_start_returns_the_task_as_not_run => {
        let mut bench = Bench::ready();
        let key = bench.start(0);
        bench.answer_start(TargetReply::Unhealthy);
        let unhealthy = TaskResult::NotRun(NotRunReason::TargetUnhealthy);
        assert_eq!(bench.result_of(key), Some(&unhealthy));
    }

    a_silent_target_gets_no_work_and_its_runs_are_over_only_after_the_lease => {
        let mut bench = Bench::ready();
        let timing = LeaseTiming::default();
        let key = bench.started(0);
        bench.answer_poll(&[run_ref(0, 1)], &[]);
        bench.pass(timing.silence_ms.0 + 10);
        assert_eq!(bench.target, None, "a silent target is offered for work");
        assert_eq!(bench.result_of(key), None, "the run ended before the lease expired");
        bench.pass(timing.hold_ms.0 * 2);
        assert!(matches!(bench.result_of(key), Some(TaskResult::Interrupted(_))));
    }

    a_lease_does_not_end_before_it_expires_on_a_slow_clock => {
        let mut bench = Bench::ready();
        let timing = LeaseTiming::default();
        let key = bench.started(0);
        bench.answer_poll(&[run_ref(0, 1)], &[]);
        let first_grant = bench.now;
        let mut last_grant = first_grant;
        while bench.result_of(key).is_none() {
            bench.pass(10);
            let grants = bench.calls.drain(..).any(|call| {
                matches!(call.what, TargetCall::Poll { until_ms: Some(_), .. })
            });
            if grants {
                last_grant = bench.now;
            }
        }
        let slow_ms = timing.hold_ms.0 * 102 / 100;
        let waited = bench.now.since(last_grant);
        assert!(waited.0 >= slow_ms, "the run ended {waited} after the last lease was granted");
    }

    a_silent_target_is_polled_without_extending_its_lease => {
        let mut bench = Bench::ready();
        bench.started(0);
        bench.pass(LeaseTiming::default().silence_ms.0 + 150);
        bench.calls.clear();
        bench.pass(400);
        assert!(bench.calls.iter().any(|call| matches!(call.what, TargetCall::Poll { .. })));
        let extends = |call: &Call| matches!(call.what, TargetCall::Poll { until_ms: Some(_), .. });
        assert!(!bench.calls.iter().any(extends), "the lease of a silent target was extended");
    }

    a_new_incarnation_ends_earlier_runs_when_the_target_confirms_it => {
        let mut bench = Bench::ready();
        let key = bench.started(0);
        let other = incarnation("other", 9);
        assert!(bench.announce(announcement(other.clone(), 1, false)));
        assert_eq!(bench.result_of(key), None, "the run ended before the target confirmed the announcement");
        let is_addressed = |call: &Call| call.to == other && matches!(call.what, TargetCall::Poll { until_ms: None, .. });
        let position = bench.calls.iter().position(is_addressed).expect("the announced incarnation is not polled");
        let poll = bench.calls.remove(position);
        bench.runs.answered(poll.id, TargetReply::Unanswered("lost".to_owned()), bench.now);
        bench.collect();
        assert_eq!(bench.result_of(key), None, "the run ended without an answer of the target");
        bench.pass(300);
        assert_eq!(bench.result_of(key), None, "the run ended before the lease expired");
        bench.answer_polls_as(&other, &[]);
        assert!(matches!(bench.result_of(key), Some(TaskResult::Interrupted(_))));
        assert!(bench.target.is_some(), "the new target takes no tasks after its first poll");
    }

    a_changed_birth_time_in_a_poll_ends_earlier_runs => {
        let mut bench = Bench::ready();
        let key = bench.started(0);
        let restarted = |bench: &Bench| TargetReply::Polled {
            clock_ms: bench.clock(),
            born_ms: Some(6),
            running: Vec::new(),
            ended: Vec::new(),
            is_complete: true,
        };
        // This poll was sent after the start was confirmed.
        bench.pass(130);
        let held = restarted(&bench);
        bench.answer(|call| matches!(call, TargetCall::Poll { .. }), held);
        assert!(matches!(bench.result_of(key), Some(TaskResult::Interrupted(_))));
        assert_eq!(bench.target, None, "the new incarnation takes tasks before it has announced itself");
    }

    outdated_announcements_change_nothing => {
        let mut bench = Bench::ready();
        assert!(bench.announce(announcement(incarnation("target", 5), 9, true)));
        assert_eq!(bench.target, None, "a draining target is offered for work");
        assert!(!bench.announce(announcement(incarnation("target", 5), 8, false)));
        bench.announce(announcement(incarnation("target", 4), 99, false));
        bench.pass_answering(300, &incarnation("target", 5), &[]);
        assert_eq!(bench.target, None, "an outdated announcement made the target available again");
        assert_eq!(bench.outcome, Some(AnnouncementOutcome::Refuted));
        assert_eq!(bench.runs.incarnation(), Some(&incarnation("target", 5)));
        bench.runs.target_left(&incarnation("target", 5).name, bench.now);
        bench.collect();
        assert!(!bench.announce(announcement(incarnation("target", 5), 10, false)));
        bench.pass(1_000);
        assert!(!bench.announce(announcement(incarnation("target", 5), 9, false)));
    }

    a_draining_target_finishes_its_runs => {
        let mut bench = Bench::ready();
        let key = bench.started(0);
        bench.announce(announcement(incarnation("target", 5), 2, true));
        assert_eq!(bench.result_of(key), None);
        let refused = bench.start(1);
        assert_eq!(bench.result_of(refused), Some(&TaskResult::NotRun(NotRunReason::NoTarget)));
        bench.answer_poll(&[run_ref(0, 1)], &[]);
        bench.answer_poll(&[], &[end(1, 0, 1, EndKind::Done)]);
        assert!(matches!(bench.result_of(key), Some(TaskResult::Done(_))));
    }

    a_predecessors_runs_are_stopped_before_anything_starts => {
        let mut bench = Bench::new();
        bench.announce(announcement(incarnation("target", 5), 1, false));
        bench.answer_poll(&[run_ref(4, 2)], &[]);
        assert_eq!(bench.target, None, "the target takes tasks while it executes unknown runs");
        let stop = bench.answer_stop(TargetReply::Unanswered("lost".to_owned()));
        assert_eq!(stop.what, TargetCall::Stop(run_ref(4, 2)));
        bench.pass(120);
        let hold = bench.answer_poll(&[run_ref(4, 2)], &[]);
        assert!(matches!(hold.what, TargetCall::Poll { until_ms: None, .. }), "{hold:?}");
        bench.answer_poll(&[], &[end(1, 4, 2, EndKind::Stopped)]);
        assert!(bench.target.is_some());
        assert_eq!(bench.starts(), 0);
    }

    a_fenced_start_is_repeated_with_a_higher_token => {
        let mut bench = Bench::ready();
        bench.start(0);
        let clock = bench.clock();
        let fenced = bench.answer_start(TargetReply::Refused(Refusal::Fenced, clock));
        bench.pass(20);
        let again = bench.answer_start(TargetReply::Started(clock));
        assert!(again.token > fenced.token);
    }

    an_unanswered_stop_is_repeated => {
        let mut bench = Bench::ready();
        let key = bench.started(0);
        bench.stop(key);
        bench.answer_stop(TargetReply::Unanswered("lost".to_owned()));
        bench.pass(120);
        let clock = bench.clock();
        bench.answer_stop(TargetReply::Stopping(clock));
        bench.answer_poll(&[], &[end(1, 0, 1, EndKind::Stopped)]);
        assert!(matches!(bench.result_of(key), Some(TaskResult::Interrupted(_))));
    }

    a_run_missing_from_the_targets_lists_is_over => {
        let mut bench = Bench::ready();
        let key = bench.started(0);
        bench.answer_poll(&[], &[]);
        assert_eq!(bench.result_of(key), None, "the poll was sent before the start was confirmed");
        bench.pass(10);
        bench.answer_poll(&[], &[]);
        bench.answer_poll(&[], &[]);
        assert!(matches!(bench.result_of(key), Some(TaskResult::Interrupted(_))));
    }

    // Guards against two runs of a task at once: the agent reported the runs of a live
    // target as interrupted when a heartbeat of another writer arrived.
    an_announcement_of_another_writer_interrupts_no_run => {
        let mut bench = Bench::ready();
        let target = incarnation("target", 5);
        let key = bench.started(0);
        for (name, born_ms) in [("foreign", 9), ("unborn", 0), ("latest", u64::MAX), ("target", 9)] {
            let mut foreign = announcement(incarnation(name, born_ms), 1, false);
            foreign.target.service = "unnamed".parse().expect("the name is valid");
            bench.announce(foreign);
            assert_eq!(bench.result_of(key), None, "{name} interrupted a run");
            bench.pass_answering(300, &target, &[run_ref(0, 1)]);
            assert_eq!(bench.result_of(key), None, "{name} interrupted a run");
            assert!(bench.target.is_some(), "the target takes no tasks after {name}");
        }
        bench.answer_poll(&[], &[end(1, 0, 1, EndKind::Done)]);
        assert!(matches!(bench.result_of(key), Some(TaskResult::Done(_))));
    }

    // Guards against two runs of a task at once: a leave message may be of another
    // writer, and a target that sends one may run tasks for a moment after it.
    a_leave_message_ends_no_run_before_its_target_is_silent_and_its_lease_has_expired => {
        let mut bench = Bench::ready();
        let target = incarnation("target", 5);
        let timing = LeaseTiming::default();
        let (ending, lost) = (bench.started(0), bench.started(1));
        bench.runs.target_left(&target.name, bench.now);
        bench.collect();
        assert_eq!(bench.target, None, "a target that has left is offered for work");
        bench.pass_answering(1_000, &target, &[run_ref(0, 1), run_ref(1, 1)]);
        assert_eq!(bench.result_of(ending), None, "the target runs it");
        bench.pass(50);
        bench.answer_poll(&[run_ref(1, 1)], &[end(1, 0, 1, EndKind::Done)]);
        assert!(matches!(bench.result_of(ending), Some(TaskResult::Done(_))));
        let silent_since = bench.now;
        let mut last_grant = silent_since;
        bench.calls.clear();
        while bench.result_of(lost).is_none() {
            bench.pass(10);
            let renews = |call: Call| matches!(call.what, TargetCall::Poll { until_ms: Some(_), .. });
            if bench.calls.drain(..).any(renews) {
                last_grant = bench.now;
            }
        }
        let slow_ms = timing.hold_ms.0 * 102 / 100;
        assert!(bench.now.since(last_grant).0 >= slow_ms, "the run ended before its lease");
        assert!(bench.now.since(silent_since).0 < 1_000, "the run ended long after its lease");
    }

    // Guards against a target that is lost for good: after a leave message of another
    // writer, all of its own announcements were taken for late ones.
    a_target_that_goes_on_after_a_leave_message_is_used_again => {
        let mut bench = Bench::ready();
        let target = incarnation("target", 5);
        bench.runs.target_left(&target.name, bench.now);
        bench.collect();
        bench.pass_answering(1_500, &target, &[]);
        assert_eq!(bench.target, None, "a target that has left is offered for work");
        bench.announce(announcement(target.clone(), 2, false));
        bench.answer_polls_as(&target, &[]);
        assert!(bench.target.is_some(), "the target takes no tasks");
    }

    // Guards against a drain that is never heard: the highest sequence number of
    // another writer made all later announcements of the target late.
    a_sequence_number_of_another_writer_hides_no_drain => {
        let mut bench = Bench::ready();
        let mut foreign = announcement(incarnation("target", 5), u64::MAX, false);
        foreign.target.address = SocketAddr::from(([127, 0, 0, 9], 9));
        bench.announce(foreign);
        bench.announce(announcement(incarnation("target", 5), u64::MAX, false));
        bench.pass_answering(1_500, &incarnation("target", 5), &[]);
        bench.announce(announcement(incarnation("target", 5), 2, true));
        assert_eq!(bench.target, None, "a draining target is offered for work");
    }

    // As above, with the announcement of the other writer as the first one that an
    // agent receives.
    a_description_of_another_writer_is_corrected_by_two_announcements => {
        let mut bench = Bench::new();
        let target = incarnation("target", 5);
        let mut foreign = announcement(target.clone(), u64::MAX, false);
        foreign.target.service = "unnamed".parse().expect("the name is valid");
        bench.announce(foreign);
        bench.pass_answering(500, &target, &[]);
        bench.announce(announcement(target.clone(), 7, false));
        bench.pass_answering(1_500, &target, &[]);
        bench.announce(announcement(target.clone(), 8, false));
        let service = bench.target.as_ref().map(|target| target.service.to_string());
        assert_eq!(service.as_deref(), Some("dispatch"));
    }

    // Guards against a target that is lost for good: a restart with a clock that was
    // set back made its announcements look older than those of its predecessor.
    a_target_whose_clock_was_set_back_is_used => {
        let mut bench = Bench::ready();
        let key = bench.started(0);
        let next = incarnation("next", 2);
        bench.announce(announcement(next.clone(), 1, false));
        bench.pass_answering(300, &next, &[]);
        assert!(matches!(bench.result_of(key), Some(TaskResult::Interrupted(_))));
        assert!(bench.target.is_some(), "the target takes no tasks");
    }

    // Guards against calls without bound for announcements without bound.
    a_flood_of_foreign_announcements_costs_a_few_polls => {
        let mut bench = Bench::ready();
        let target = incarnation("target", 5);
        let key = bench.started(0);
        for number in 0..1_000 {
            bench.announce(announcement(incarnation(&format!("foreign-{number}"), 9), 1, false));
        }
        let is_foreign = |call: &&Call| call.to != target;
        let polls = bench.calls.iter().filter(is_foreign).count();
        assert!(polls <= 4, "{polls} polls");
        bench.pass_answering(300, &target, &[run_ref(0, 1)]);
        assert_eq!(bench.result_of(key), None);
        let next = incarnation("next", 9);
        bench.announce(announcement(next.clone(), 1, false));
        bench.pass_answering(300, &next, &[]);
        assert!(bench.target.is_some(), "the next incarnation takes no tasks");
    }

    // Guards against a second run of a task that is done: a poll that reached a
    // restarted target acknowledged ends of the new incarnation by numbers of the old.
    a_poll_after_a_lost_call_acknowledges_no_end => {
        let mut bench = Bench::ready();
        bench.started(0);
        bench.answer_poll(&[], &[end(3, 0, 1, EndKind::Done)]);
        let is_poll = |call: &TargetCall| matches!(call, TargetCall::Poll { .. });
        bench.answer(is_poll, TargetReply::Unanswered("connection reset".to_owned()));
        bench.pass(30);
        for call in bench.calls.iter().filter(|call| is_poll(&call.what)) {
            let is_harmless = matches!(call.what, TargetCall::Poll { observed: 0, wait_ms: DurationMs::ZERO, .. });
            assert!(is_harmless, "{call:?}");
        }
        bench.answer_poll(&[], &[]);
        let next = bench.answer_poll(&[], &[]);
        assert!(matches!(next.what, TargetCall::Poll { observed: 3, .. }), "{next:?}");
    }

    // Guards against two runs of a task at once: a row that can't be read may stand for
    // any run.
    a_run_is_not_over_because_an_incomplete_list_lacks_it => {
        let mut bench = Bench::ready();
        let key = bench.started(0);
        bench.answer_poll(&[run_ref(0, 1)], &[]);
        bench.pass(130);
        let incomplete = |bench: &Bench, born_ms| TargetReply::Polled {
            clock_ms: bench.clock(),
            born_ms: Some(born_ms),
            running: Vec::new(),
            ended: Vec::new(),
            is_complete: false,
        };
        let is_poll = |call: &TargetCall| matches!(call, TargetCall::Poll { .. });
        let reply = incomplete(&bench, 5);
        bench.answer(is_poll, reply);
        assert_eq!(bench.result_of(key), None);
        bench.pass(130);
        let reply = incomplete(&bench, 6);
        bench.answer(is_poll, reply);
        assert_eq!(bench.result_of(key), None, "a restart may have received the run");
        bench.pass(130);
        bench.answer_polls_as(&incarnation("target", 6), &[]);
        assert!(matches!(bench.result_of(key), Some(TaskResult::Interrupted(_))));
    }
}
