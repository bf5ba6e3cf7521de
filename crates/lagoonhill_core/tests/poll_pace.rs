//! Pace of polls at a target that loses some answers.

use std::net::SocketAddr;

use lagoonhill_core::leased::{
    Announcement, CallId, FencingToken, LeaseTiming, LeasedEffect, LeasedRuns, TargetCall,
    TargetIncarnation, TargetReply, TargetTimeMs,
};
use lagoonhill_protocol::Target;
use lagoonhill_types::prelude::*;

const BEGAN: TimestampMs = TimestampMs(1_000_000);
const SPAN_MS: u64 = 20_000;
const TICK_MS: u64 = 20;
const BORN_MS: u64 = 5;

struct Pace {
    polls: usize,
    most_in_100_ms: usize,
    longest_gap_ms: u64,
}

fn announcement(sequence: u64) -> Announcement {
    Announcement {
        incarnation: TargetIncarnation {
            name: "target".parse().expect("the name is valid"),
            born_ms: BORN_MS,
        },
        sequence,
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

/// Polls an idle target that answers after 1 ms and the delay asked for, and loses
/// `lost_percent` of the answers.
fn pace(lost_percent: u64, mut seed: u64) -> Pace {
    let mut runs = LeasedRuns::new(LeaseTiming::default(), FencingToken(7), BEGAN);
    runs.announce(announcement(1), BEGAN);
    let mut due: Vec<(u64, CallId, bool)> = Vec::new();
    let mut sent = Vec::new();
    let (mut last_ms, mut longest_gap_ms) = (0, 0);
    for at_ms in 0..SPAN_MS {
        let now = BEGAN + DurationMs(at_ms);
        if at_ms % TICK_MS == 0 {
            runs.tick(now);
        }
        for (_, id, is_lost) in due.extract_if(.., |(due_ms, ..)| *due_ms <= at_ms) {
            let reply = if is_lost {
                TargetReply::Unanswered("lost".to_owned())
            } else {
                longest_gap_ms = longest_gap_ms.max(at_ms - last_ms);
                last_ms = at_ms;
                TargetReply::Polled {
                    clock_ms: TargetTimeMs(at_ms + 100),
                    born_ms: Some(BORN_MS),
                    is_complete: true,
                    running: Vec::new(),
                    ended: Vec::new(),
                }
            };
            runs.answered(id, reply, now);
        }
        for effect in runs.poll_effects() {
            let LeasedEffect::Call {
                id, call, limit_ms, ..
            } = effect
            else {
                continue;
            };
            let TargetCall::Poll { wait_ms, .. } = call else {
                continue;
            };
            seed = seed
                .wrapping_mul(6_364_136_223_846_793_005)
                .wrapping_add(1_442_695_040_888_963_407);
            let is_lost = (seed >> 33) % 100 < lost_percent;
            let delay_ms = if is_lost { limit_ms.0 } else { wait_ms.0 + 1 };
            due.push((at_ms + delay_ms, id, is_lost));
            sent.push(at_ms);
        }
    }
    let in_100_ms = |first: &u64| {
        sent.iter()
            .filter(|at| (*first..first + 100).contains(*at))
            .count()
    };
    Pace {
        polls: sent.len(),
        most_in_100_ms: sent.iter().map(in_100_ms).max().unwrap_or(0),
        longest_gap_ms,
    }
}

// Guards against polls that follow each other without a pause at a target that loses
// some answers.
#[test]
fn polls_keep_their_pace_while_answers_are_lost() {
    let mut all = Vec::new();
    for lost_percent in [0, 1, 2, 5, 10, 20, 40] {
        let mut worst = Vec::new();
        for seed in 1..=3 {
            let pace = pace(lost_percent, seed);
            println!(
                "lost {lost_percent}% seed {seed}: {} polls in 20 s, {} in 100 ms, gap {} ms",
                pace.polls, pace.most_in_100_ms, pace.longest_gap_ms
            );
            worst.push(pace.most_in_100_ms);
        }

        all.push((lost_percent, worst));
    }
    // Four in flight, each for 100 ms, beside their repetitions.
    assert!(
        all.iter()
            .all(|(_, worst)| worst.iter().all(|most| *most <= 40)),
        "polls in 100 ms, by percentage lost: {all:?}"
    );
}
