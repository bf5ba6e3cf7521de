use lagoonhill_types::prelude::*;

/// Consecutive failed jobs, by this entry's own count or by the agent's report, at
/// which a worker counts as failing.
const MAX_FAILED_JOBS: usize = 3;

/// Successful probes that end the quarantine of a slow worker. A single one may be
/// a task that was short by chance.
const SLOW_PROBES_NEEDED: u32 = 3;

/// Successful probes that end the quarantine of a failing worker.
const FAILING_PROBES_NEEDED: u32 = 1;

const FIRST_PROBE_MS: DurationMs = DurationMs(1_000);

/// Longer than [`FIRST_PROBE_MS`], since a probe of a slow worker delays its job
/// more than one that fails at once.
const FIRST_SLOW_PROBE_MS: DurationMs = DurationMs(5_000);

const MAX_PROBE_MS: DurationMs = DurationMs(60_000);

/// Factor by which the time between probes grows after an unsuccessful one.
const PROBE_BACKOFF: u64 = 4;

/// Failures and quarantine of a worker.
#[derive(Clone, Debug, Default)]
pub struct Health {
    /// Jobs with a failed task on this worker since its last success. A job counts
    /// once, since repeated failures of one job point to the job.
    failed_jobs: Vec<JobId>,
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
    /// Whether the worker is quarantined and gets only probes.
    pub fn is_quarantined(&self) -> bool {
        self.quarantine.is_some()
    }

    /// Whether enough consecutive jobs failed for the worker to count as failing.
    pub fn is_failing(&self) -> bool {
        self.failed_jobs.len() >= MAX_FAILED_JOBS
            || usize::from(self.reported_failed_jobs) >= MAX_FAILED_JOBS
    }

    /// Sets the agent's count of consecutive failed jobs, over all entries.
    pub fn report_failed_jobs(&mut self, count: u16) {
        self.reported_failed_jobs = count;
    }

    /// Whether a quarantined worker may get a probe now.
    pub fn may_probe(&self, now: TimestampMs) -> bool {
        self.quarantine
            .is_some_and(|quarantine| now >= quarantine.due_ms)
    }

    /// Records a successful task; returns whether that ended a quarantine.
    pub fn succeeded(&mut self) -> bool {
        self.failed_jobs.clear();
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

    /// Records a failed task of a job.
    pub fn failed(&mut self, job: JobId, now: TimestampMs) {
        if self.failed_jobs.len() < MAX_FAILED_JOBS && !self.failed_jobs.contains(&job) {
            self.failed_jobs.push(job);
        }
        self.probe_failed(now);
    }

    /// Removes the failures of a job that has failed on other workers too.
    pub fn forgive(&mut self, job: JobId) {
        self.failed_jobs.retain(|failed| *failed != job);
    }

    /// Postpones the next probe, if the worker is quarantined.
    pub fn probe_failed(&mut self, now: TimestampMs) {
        if let Some(quarantine) = &mut self.quarantine {
            quarantine.interval_ms = (quarantine.interval_ms * PROBE_BACKOFF).min(MAX_PROBE_MS);
            quarantine.due_ms = now + quarantine.interval_ms;
        }
    }

    /// Starts the quarantine of a failing worker; returns the time until the
    /// first probe.
    pub fn quarantine_failing(&mut self, now: TimestampMs) -> DurationMs {
        self.start_quarantine(FAILING_PROBES_NEEDED, FIRST_PROBE_MS, now)
    }

    /// Starts the quarantine of a slow worker; returns the time until the first
    /// probe.
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
