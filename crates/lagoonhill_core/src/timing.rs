//! Time limits of sessions, runs and leases.

use lagoonhill_types::prelude::*;

/// The time limits of a session. Both sides must use the same.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timing {
    /// Longest delay of the acknowledgement of a received message.
    pub ack_delay_ms: DurationMs,
    /// Time after which an unacknowledged message is sent again. Must be longer
    /// than `ack_delay_ms`, or every message would be sent twice.
    pub retransmit_ms: DurationMs,
    /// Silence after which the peer is pinged for an expected answer.
    pub ping_interval_ms: DurationMs,
    /// Silence after which the session has failed, new connections included.
    pub session_timeout_ms: DurationMs,
    /// Age of a dispatch after which an agent no longer starts the task.
    pub start_lease_ms: DurationMs,
    /// Time after an entry was last confirmed alive for which an agent lets its
    /// tasks run on.
    pub run_lease_ms: DurationMs,
    /// Lease duration of a target: longest time that it runs tasks without a
    /// renewal by its agent.
    pub hold_ms: DurationMs,
    /// Shortest heartbeat interval of an idle session.
    pub min_heartbeat_ms: DurationMs,
    /// Gap between two ticks from which on the process counts as frozen.
    pub freeze_gap_ms: DurationMs,
    /// Interval between two hellos to an entry that does not answer.
    pub hello_interval_ms: DurationMs,
    /// Time after which an entry that does not answer is forgotten.
    pub forget_entry_ms: DurationMs,
}

/// A run is overdue after this many times its expected run time: with run times
/// that spread by 40%, fewer than one run in a hundred reaches it by chance.
const OVERDUE_FACTOR: u64 = 3;

/// Added for short runs, for which the latency of the target's link matters.
const OVERDUE_SLACK_MS: DurationMs = DurationMs(100);

/// Run time after which a run counts as overdue.
pub fn overdue_after(expected_ms: DurationMs) -> DurationMs {
    expected_ms * OVERDUE_FACTOR + OVERDUE_SLACK_MS
}

/// Inverse of the largest assumed drift of a target's clock: 4%, twice what
/// targets are allowed.
const SLOW_CLOCK_DIVISOR: u64 = 25;

/// Longest time on the own clock that a span of a target's clock may take.
pub fn on_slow_clock(span_ms: DurationMs) -> DurationMs {
    span_ms + span_ms / SLOW_CLOCK_DIVISOR
}

impl Timing {
    /// Limits for tasks of 50 ms to 1 s whose callers wait for 2 s. An entry's
    /// tasks must have ended when a caller sends its job again, 1,300 ms after its
    /// connection broke: run lease and target lease together stay below that.
    pub const SUB_SECOND: Self = Self {
        // Longer than most tasks, so that outcomes carry the acknowledgements.
        ack_delay_ms: DurationMs(300),
        // One and a half times the delay above.
        retransmit_ms: DurationMs(450),
        // Pings after 250 and 500 ms, the second on a new connection, before the
        // session fails at 750 ms.
        ping_interval_ms: DurationMs(250),
        session_timeout_ms: DurationMs(750),
        // Half of the shortest promise for a task of 200 ms.
        start_lease_ms: DurationMs(400),
        // With the target lease, 300 ms less than the 1,300 ms above.
        run_lease_ms: DurationMs(600),
        // Four polls of a target, of 100 ms each.
        hold_ms: DurationMs(400),
        // A dead idle session is detected within 2 s.
        min_heartbeat_ms: DurationMs(500),
        // Far above the 20 ms of a tick on a loaded machine, below the leases.
        freeze_gap_ms: DurationMs(250),
        // A restarted agent is connected after a few of them.
        hello_interval_ms: DurationMs(200),
        // A replaced entry does not return.
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
