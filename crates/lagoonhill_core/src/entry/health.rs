use lagoonhill_types::prelude::*;

/// Failures in a row that make a worker suspicious.
const MAX_FAILURES_IN_A_ROW: u32 = 3;

/// Well-run probes that end the quarantine of a slow worker. A short task may
/// look well run on it by chance.
const SLOW_PROBES_NEEDED: u32 = 3;

/// Probes of a worker that fails: one is enough.
const FAILING_PROBES_NEEDED: u32 = 1;

const FIRST_PROBE_MS: DurationMs = DurationMs(1_000);

/// A probe of a slow worker costs its job more than one that fails at once.
const FIRST_SLOW_PROBE_MS: DurationMs = DurationMs(5_000);

const MAX_PROBE_MS: DurationMs = DurationMs(60_000);

/// Growth of the time between probes after a bad one.
const PROBE_BACKOFF: u64 = 4;

/// Failed jobs in a row, as an agent reports them, that make a worker
/// suspicious.
const MAX_FAILED_JOBS: u16 = 3;

/// Whether a worker runs tasks well.
#[derive(Clone, Copy, Debug, Default)]
pub struct Health {
    failures_in_a_row: u32,
    reported_failed_jobs: u16,
    quarantine: Option<Quarantine>,
}

#[derive(Clone, Copy, Debug)]
struct Quarantine {
    probes_needed: u32,
    interval_ms: DurationMs,
    due_ms: TimestampMs,
}

impl Health {
    /// Whether the worker gets probes only.
    pub fn is_quarantined(&self) -> bool {
        self.quarantine.is_some()
    }

    /// Whether recent tasks failed often enough to be suspicious.
    pub fn is_failing(&self) -> bool {
        self.failures_in_a_row >= MAX_FAILURES_IN_A_ROW
            || self.reported_failed_jobs >= MAX_FAILED_JOBS
    }

    /// Takes an agent's count of jobs that failed in a row, for all entries.
    pub fn report_failed_jobs(&mut self, count: u16) {
        self.reported_failed_jobs = count;
    }

    /// Whether a quarantined worker may get a probe now.
    pub fn may_probe(&self, now: TimestampMs) -> bool {
        self.quarantine
            .is_some_and(|quarantine| now >= quarantine.due_ms)
    }

    /// Records a well-run task; returns whether that ended a quarantine.
    pub fn succeeded(&mut self) -> bool {
        self.failures_in_a_row = 0;
        let Some(quarantine) = &mut self.quarantine else {
            return false;
        };
        quarantine.probes_needed -= 1;
        if quarantine.probes_needed > 0 {
            return false;
        }
        self.quarantine = None;
        true
    }

    /// Records a failed task, or a probe that ran far too long.
    pub fn failed(&mut self, now: TimestampMs) {
        self.failures_in_a_row = self.failures_in_a_row.saturating_add(1);
        if let Some(quarantine) = &mut self.quarantine {
            quarantine.interval_ms = (quarantine.interval_ms * PROBE_BACKOFF).min(MAX_PROBE_MS);
            quarantine.due_ms = now + quarantine.interval_ms;
        }
    }

    /// Starts the quarantine of a worker that fails; returns the time until
    /// the first probe.
    pub fn quarantine_failing(&mut self, now: TimestampMs) -> DurationMs {
        self.start_quarantine(FAILING_PROBES_NEEDED, FIRST_PROBE_MS, now)
    }

    /// Starts the quarantine of a worker that is far too slow.
    pub fn quarantine_slow(&mut self, now: TimestampMs) -> DurationMs {
        self.start_quarantine(SLOW_PROBES_NEEDED, FIRST_SLOW_PROBE_MS, now)
    }

    fn start_quarantine(
        &mut self,
        probes_needed: u32,
        interval_ms: DurationMs,
        now: TimestampMs,
    ) -> DurationMs {
        self.quarantine = Some(Quarantine {
            probes_needed,
            interval_ms,
            due_ms: now + interval_ms,
        });
        interval_ms
    }
}
