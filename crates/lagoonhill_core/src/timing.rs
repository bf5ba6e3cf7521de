use lagoonhill_types::prelude::*;

/// The time limits of a session. Both sides must use the same.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timing {
    /// Longest time a received message waits for its acknowledgement.
    pub ack_delay_ms: DurationMs,
    /// Time after which an unacknowledged message is sent again. Longer than
    /// `ack_delay_ms`, or every message would be.
    pub retransmit_ms: DurationMs,
    /// Silence after which an expected answer is asked for.
    pub ping_interval_ms: DurationMs,
    /// Silence after which the session has failed, new connections included.
    pub session_timeout_ms: DurationMs,
    /// Age after which an agent no longer starts a task.
    pub start_lease_ms: DurationMs,
    /// Time after an entry's last sign of life for which an agent lets its
    /// tasks run on.
    pub run_lease_ms: DurationMs,
    /// Longest time that a target runs on without a word of its agent.
    pub hold_ms: DurationMs,
    /// Shortest time between an idle session's heartbeats.
    pub min_heartbeat_ms: DurationMs,
    /// A gap between two ticks that means the process itself was frozen.
    pub freeze_gap_ms: DurationMs,
    /// Time between two greetings of an entry that does not answer.
    pub hello_interval_ms: DurationMs,
    /// Time after which an entry that never answers is forgotten.
    pub forget_entry_ms: DurationMs,
}

/// A run that has taken this many times its expected time is overdue: with run
/// times that spread by 40%, fewer than one in a hundred is by chance.
const OVERDUE_FACTOR: u64 = 3;

/// Added for runs so short that the path to the target counts.
const OVERDUE_SLACK_MS: DurationMs = DurationMs(100);

/// How long a run may take before it counts as overdue.
pub fn overdue_after(expected_ms: DurationMs) -> DurationMs {
    expected_ms * OVERDUE_FACTOR + OVERDUE_SLACK_MS
}

/// A target's clock is at most one part in this slower than ours; twice the
/// 2% that targets are allowed.
const SLOW_CLOCK_DIVISOR: u64 = 25;

/// How long a span of a target's clock may take on ours.
pub fn on_slow_clock(span_ms: DurationMs) -> DurationMs {
    span_ms + span_ms / SLOW_CLOCK_DIVISOR
}

impl Default for Timing {
    fn default() -> Self {
        Self {
            ack_delay_ms: DurationMs(800),
            retransmit_ms: DurationMs(1_200),
            ping_interval_ms: DurationMs(1_000),
            session_timeout_ms: DurationMs(5_000),
            start_lease_ms: DurationMs(4_000),
            run_lease_ms: DurationMs(10_000),
            hold_ms: DurationMs(1_000),
            min_heartbeat_ms: DurationMs(2_000),
            freeze_gap_ms: DurationMs(1_500),
            hello_interval_ms: DurationMs(500),
            forget_entry_ms: DurationMs::from_secs(600),
        }
    }
}
