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

impl Timing {
    /// Session limits for tasks of 50 ms to a second whose callers wait for two.
    /// An entry's tasks must have ended when a caller sends its job again, 1,300 ms
    /// after its connection broke: run lease and hold stay below that together.
    pub const SUB_SECOND: Self = Self {
        // Longer than most tasks, so that outcomes carry acknowledgements.
        ack_delay_ms: DurationMs(300),
        // The delay above and half of it.
        retransmit_ms: DurationMs(450),
        // Three questions before a session has failed; the second on a new
        // connection.
        ping_interval_ms: DurationMs(250),
        session_timeout_ms: DurationMs(750),
        // Half of the shortest promise of a task of 200 ms.
        start_lease_ms: DurationMs(400),
        // With the hold, 300 ms less than a caller waits before it sends again.
        run_lease_ms: DurationMs(600),
        // Four looks at a target, each of 100 ms.
        hold_ms: DurationMs(400),
        // Lets an idle session be found dead within two seconds.
        min_heartbeat_ms: DurationMs(500),
        // Far above the 20 ms of a tick on a busy machine, below the leases.
        freeze_gap_ms: DurationMs(250),
        // A restarted agent is back within a few of them.
        hello_interval_ms: DurationMs(200),
        // A replaced entry does not come back.
        forget_entry_ms: DurationMs::from_secs(60),
    };
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
