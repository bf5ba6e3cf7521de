//! Announcements that arrive late, and stops that the target does not carry out.

use std::net::SocketAddr;

use lagoonhill_core::agent::TaskKey;
use lagoonhill_core::leased::{
    Announcement, CallId, FencingToken, LeaseTiming, LeasedEffect, LeasedRuns, TargetCall,
    TargetIncarnation, TargetReply, TargetTimeMs,
};
use lagoonhill_protocol::{Start, Target, TaskResult};
use lagoonhill_types::prelude::*;
use slotmap::SlotMap;

const BEGAN: TimestampMs = TimestampMs(1_000_000);
const BORN_MS: u64 = 5;
const TICK_MS: u64 = 10;

fn announcement(sequence: u64, draining: bool) -> Announcement {
    Announcement {
        incarnation: TargetIncarnation {
            name: "target".parse().expect("the name is valid"),
            born_ms: BORN_MS,
        },
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

/// A target that answers polls at once with empty lists and stops with 503.
struct Bench {
    runs: LeasedRuns,
    now: TimestampMs,
    keys: SlotMap<TaskKey, ()>,
    usable: bool,
    starts: Vec<CallId>,
    ended: Vec<(TaskKey, TaskResult)>,
}

impl Bench {
    fn ready() -> Self {
        let mut bench = Self {
            runs: LeasedRuns::new(LeaseTiming::default(), FencingToken(7), BEGAN),
            now: BEGAN,
            keys: SlotMap::with_key(),
            usable: false,
            starts: Vec::new(),
            ended: Vec::new(),
        };
        bench.announce(10, false);
        bench.pass(100);
        assert!(bench.usable, "the target accepts no runs");
        bench
    }

    fn announce(&mut self, sequence: u64, draining: bool) {
        self.runs
            .announce(announcement(sequence, draining), self.now);
        self.collect();
    }

    fn start(&mut self, index: u16) -> TaskKey {
        let key = self.keys.insert(());
        let start = Start {
            task: TaskId::default(),
            decided_ms: self.now,
            run_limit_ms: DurationMs(10_000),
            nominal_ms: DurationMs(100),
            is_learned: true,
            needs: Resources::default(),
            run: RunNumber(1),
            durable: false,
            name: Some(TaskName {
                job: "job".parse().expect("the name is valid"),
                step: 0,
                index,
            }),
            payload: Payload::default(),
        };
        self.runs.start(key, &start, self.now);
        self.collect();
        key
    }

    fn collect(&mut self) {
        let mut answers = Vec::new();
        for effect in self.runs.poll_effects() {
            match effect {
                LeasedEffect::Call { id, call, .. } => match call {
                    TargetCall::Start(_) => self.starts.push(id),
                    TargetCall::Stop(_) => answers.push((id, TargetReply::Unhealthy)),
                    TargetCall::Poll { .. } => {
                        let reply = TargetReply::Polled {
                            clock_ms: TargetTimeMs(self.now.since(BEGAN).0 + 100),
                            born_ms: Some(BORN_MS),
                            is_complete: true,
                            running: Vec::new(),
                            ended: Vec::new(),
                        };
                        answers.push((id, reply));
                    }
                },
                LeasedEffect::Target(target) => self.usable = target.is_some(),
                LeasedEffect::Ended { key, result } => self.ended.push((key, result)),
                _ => {}
            }
        }
        // Answered in the next step.
        ANSWERS.with_borrow_mut(|pending| pending.extend(answers));
    }

    fn pass(&mut self, span_ms: u64) {
        for _ in 0..span_ms / TICK_MS {
            self.now = self.now + DurationMs(TICK_MS);
            for (id, reply) in ANSWERS.take() {
                self.runs.answered(id, reply, self.now);
            }
            self.runs.tick(self.now);
            self.collect();
        }
    }
}

thread_local! {
    static ANSWERS: std::cell::RefCell<Vec<(CallId, TargetReply)>> =
        const { std::cell::RefCell::new(Vec::new()) };
}

// Guards against runs on a draining target (rule DRAIN): two of its earlier heartbeats
// arrive late, the second one some time after the first.
#[test]
fn late_announcements_do_not_end_a_drain() {
    let mut bench = Bench::ready();
    bench.pass(1_500);
    bench.announce(13, true);
    assert!(!bench.usable, "the target drains");
    bench.pass(100);
    bench.announce(11, false);
    assert!(!bench.usable, "an earlier heartbeat ended the drain");
    bench.pass(300);
    bench.announce(12, false);
    assert!(!bench.usable, "two earlier heartbeats ended the drain");
}

// Guards against a target that accepts runs and starts none: it has never had a run and
// answers the stop of it with 503, but goes on answering polls.
#[test]
fn a_stop_that_is_never_accepted_does_not_hold_back_starts_for_good() {
    let mut bench = Bench::ready();
    let lost = bench.start(0);
    let call = bench.starts.remove(0);
    let reply = TargetReply::Unanswered("lost".to_owned());
    bench.runs.answered(call, reply, bench.now);
    bench.runs.stop(lost, bench.now);
    bench.collect();
    bench.pass(5_000);
    bench.starts.clear();
    let held_back = bench.start(1);
    bench.pass(5_000);
    let has_ended = bench.ended.iter().any(|(key, _)| *key == held_back);
    assert!(
        !bench.usable || has_ended || !bench.starts.is_empty(),
        "the target is reported as usable, and a start has waited for 5 s; ended: {:?}",
        bench.ended
    );
}
