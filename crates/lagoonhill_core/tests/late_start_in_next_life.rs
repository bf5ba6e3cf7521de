//! A start that the next life of a target carries out late, after its run was reported.

use std::net::SocketAddr;

use lagoonhill_core::agent::TaskKey;
use lagoonhill_core::leased::{
    Announcement, FencingToken, LeaseTiming, LeasedEffect, LeasedRuns, TargetCall,
    TargetIncarnation, TargetReply, TargetTimeMs,
};
use lagoonhill_protocol::{Start, Target};
use lagoonhill_types::prelude::*;
use slotmap::SlotMap;

const BEGAN: TimestampMs = TimestampMs(1_000_000);

fn announcement(born_ms: u64) -> Announcement {
    Announcement {
        incarnation: TargetIncarnation {
            name: "target".parse().expect("the name is valid"),
            born_ms,
        },
        sequence: 1,
        sent_ms: None,
        draining: false,
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

// Guards against two runs of a task: the answer to its start is lost, the target bars it
// after a stop, so it is reported and starts elsewhere. Then the target starts again
// under its name, and the new life, which has seen no fencing token, carries out the
// lost start. A token that rises with each life would bar it.
#[test]
fn the_next_life_refuses_a_start_whose_run_was_reported() {
    let mut keys: SlotMap<TaskKey, ()> = SlotMap::with_key();
    let mut runs = LeasedRuns::new(LeaseTiming::default(), FencingToken(7), BEGAN);
    let (mut born_ms, mut highest_seen) = (5, 0);
    let (mut lost_start, mut ended) = (None, 0);
    let key = keys.insert(());
    for at_ms in (0..3_000).step_by(10) {
        let now = BEGAN + DurationMs(at_ms);
        match at_ms {
            0 => {
                runs.announce(announcement(5), now);
            }
            200 => runs.start(
                key,
                &Start {
                    task: TaskId::default(),
                    decided_ms: now,
                    run_limit_ms: DurationMs(10_000),
                    nominal_ms: DurationMs(100),
                    is_learned: true,
                    needs: Resources::default(),
                    run: RunNumber(1),
                    durable: false,
                    name: Some(TaskName {
                        job: "job".parse().expect("the name is valid"),
                        step: 0,
                        index: 0,
                    }),
                    payload: Payload::default(),
                },
                now,
            ),
            210 => runs.stop(key, now),
            // The target starts again.
            1_000 => {
                assert_eq!(ended, 1, "the run was not reported");
                (born_ms, highest_seen) = (1_005, 0);
            }
            1_500 => {
                runs.announce(announcement(1_005), now);
            }
            _ => {}
        }
        runs.tick(now);
        for effect in runs.poll_effects() {
            match effect {
                LeasedEffect::Call {
                    id, token, call, ..
                } => {
                    let clock_ms = TargetTimeMs(at_ms + 100);
                    let reply = match call {
                        TargetCall::Start(_) => {
                            lost_start = Some(token);
                            TargetReply::Unanswered("lost".to_owned())
                        }
                        TargetCall::Stop(_) => TargetReply::Stopping(clock_ms),
                        TargetCall::Poll { .. } => TargetReply::Polled {
                            clock_ms,
                            born_ms: Some(born_ms),
                            is_complete: true,
                            running: Vec::new(),
                            ended: Vec::new(),
                        },
                    };
                    if !matches!(reply, TargetReply::Unanswered(_)) {
                        highest_seen = highest_seen.max(token.0);
                    }
                    runs.answered(id, reply, now);
                }
                LeasedEffect::Ended { .. } => ended += 1,
                _ => {}
            }
        }
    }
    let lost_start = lost_start.expect("no start was sent");
    assert!(
        lost_start.0 < highest_seen,
        "the new life has seen token {highest_seen}, and carries out a start with {lost_start:?}"
    );
}
