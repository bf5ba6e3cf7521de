//! A long run on a target while other runs of it are cancelled one after the other.

use std::net::SocketAddr;

use lagoonhill_core::agent::TaskKey;
use lagoonhill_core::leased::{
    Announcement, CallId, FencingToken, LeaseTiming, LeasedEffect, LeasedRuns, RunRef, TargetCall,
    TargetIncarnation, TargetReply, TargetTimeMs,
};
use lagoonhill_protocol::{Start, Target};
use lagoonhill_types::prelude::*;
use slotmap::SlotMap;

const BEGAN: TimestampMs = TimestampMs(1_000_000);
const RUNS: u16 = 60;
const CANCEL_EACH_MS: u64 = 20;

/// Longest time between two renewals, if stops are answered after `stop_ms`.
fn longest_pause_ms(stop_ms: u64) -> u64 {
    let mut keys: SlotMap<TaskKey, ()> = SlotMap::with_key();
    let mut runs = LeasedRuns::new(LeaseTiming::default(), FencingToken(7), BEGAN);
    let announcement = Announcement {
        incarnation: TargetIncarnation {
            name: "target".parse().expect("the name is valid"),
            born_ms: 5,
        },
        sequence: 1,
        sent_ms: None,
        draining: false,
        target: Target {
            service: "dispatch".parse().expect("the name is valid"),
            address: SocketAddr::from(([127, 0, 0, 1], 1)),
            slots: SlotCount(u16::MAX),
            connections: 8,
            capacity: Resources::default(),
            labels: Vec::new(),
        },
    };
    runs.announce(announcement, BEGAN);
    let mut due: Vec<(u64, CallId, TargetCall)> = Vec::new();
    let mut running: Vec<RunRef> = Vec::new();
    let mut wave = Vec::new();
    let (mut renewed_ms, mut longest_ms) = (0, 0);
    for at_ms in (0..2_000).step_by(5) {
        let now = BEGAN + DurationMs(at_ms);
        if at_ms == 200 {
            for index in 0..=RUNS {
                let key = keys.insert(());
                wave.push(key);
                let start = Start {
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
                        index,
                    }),
                    payload: Payload::default(),
                };
                runs.start(key, &start, now);
            }
        }
        // The first run is not cancelled.
        if at_ms >= 500 && at_ms % CANCEL_EACH_MS == 0 && wave.len() > 1 {
            runs.stop(wave.pop().expect("the wave has runs"), now);
        }
        if at_ms % 20 == 0 {
            runs.tick(now);
        }
        for (_, id, call) in due.extract_if(.., |(due_ms, ..)| *due_ms <= at_ms) {
            let clock_ms = TargetTimeMs(at_ms + 100);
            let reply = match call {
                TargetCall::Start(request) => {
                    running.push(request.run);
                    TargetReply::Started(clock_ms)
                }
                TargetCall::Stop(run) => {
                    running.retain(|other| *other != run);
                    TargetReply::Stopping(clock_ms)
                }
                TargetCall::Poll { .. } => TargetReply::Polled {
                    clock_ms,
                    born_ms: Some(5),
                    is_complete: true,
                    running: running.clone(),
                    ended: Vec::new(),
                },
            };
            runs.answered(id, reply, now);
        }
        for effect in runs.poll_effects() {
            let LeasedEffect::Call { id, call, .. } = effect else {
                continue;
            };
            let delay_ms = match &call {
                TargetCall::Start(_) => 5,
                TargetCall::Stop(_) => stop_ms,
                TargetCall::Poll {
                    until_ms, wait_ms, ..
                } => {
                    if until_ms.is_some() {
                        longest_ms = longest_ms.max(at_ms - renewed_ms);
                        renewed_ms = at_ms;
                    }
                    wait_ms.0 + 5
                }
            };
            due.push((at_ms + delay_ms, id, call));
        }
    }
    longest_ms
}

// Guards against runs that lapse, and starts that wait, because other runs of the target
// are being cancelled, and each stop is answered in time.
#[test]
fn the_lease_is_renewed_during_a_wave_of_cancels() {
    let hold_ms = LeaseTiming::default().hold_ms.0;
    let pauses_ms = [5, 15, 20, 25, 30].map(longest_pause_ms);
    assert!(
        pauses_ms.iter().all(|pause_ms| *pause_ms < hold_ms),
        "longest time without a renewal, for stops of 5, 15, 20, 25 and 30 ms: {pauses_ms:?}"
    );
}
