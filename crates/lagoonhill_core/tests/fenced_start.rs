//! An agent whose clock was set back before its start: the target has seen a higher
//! fencing token.

use std::net::SocketAddr;

use lagoonhill_core::leased::{
    Announcement, FencingToken, LeaseTiming, LeasedEffect, LeasedRuns, Refusal, TargetCall,
    TargetIncarnation, TargetReply, TargetTimeMs,
};
use lagoonhill_protocol::Target;
use lagoonhill_types::prelude::*;

const BEGAN: TimestampMs = TimestampMs(1_000_000);
const BORN_MS: u64 = 5;
const TOKEN: u64 = 7;

/// Time until the agent reports the target, which has seen a token `ahead` higher.
fn usable_after_ms(ahead: u64) -> Option<u64> {
    let mut runs = LeasedRuns::new(LeaseTiming::default(), FencingToken(TOKEN), BEGAN);
    let mut sequence = 0;
    for at_ms in (0..60_000).step_by(10) {
        let now = BEGAN + DurationMs(at_ms);
        if at_ms % 1_500 == 0 {
            sequence += 1;
            let announcement = Announcement {
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
            };
            runs.announce(announcement, now);
        }
        if at_ms % 20 == 0 {
            runs.tick(now);
        }
        for effect in runs.poll_effects() {
            match effect {
                LeasedEffect::Call {
                    id,
                    token,
                    call: TargetCall::Poll { .. },
                    ..
                } => {
                    let clock_ms = TargetTimeMs(at_ms + 100);
                    let reply = if token.0 < TOKEN + ahead {
                        TargetReply::Refused(Refusal::Fenced, clock_ms)
                    } else {
                        TargetReply::Polled {
                            clock_ms,
                            born_ms: Some(BORN_MS),
                            is_complete: true,
                            running: Vec::new(),
                            ended: Vec::new(),
                        }
                    };
                    runs.answered(id, reply, now);
                }
                LeasedEffect::Target(Some(_)) => return Some(at_ms),
                _ => {}
            }
        }
    }
    None
}

// Guards against a target that is left without work for seconds after its agent has
// started again on a clock that was set back.
#[test]
fn a_target_is_in_use_soon_after_its_agent_starts_on_an_earlier_clock() {
    let after_ms = [0, 60, 3_600, 24 * 3_600].map(usable_after_ms);
    let soon = |after_ms: &Option<u64>| after_ms.is_some_and(|after_ms| after_ms <= 5_000);
    assert!(
        after_ms.iter().all(soon),
        "in use after, in ms: {after_ms:?}"
    );
}
