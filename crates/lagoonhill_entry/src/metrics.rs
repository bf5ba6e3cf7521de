use lagoonhill_core::entry::{DecisionKind, EntryStatus, RunCertainty};
use lagoonhill_daemon::{Meters, PacketMeter};
use lagoonhill_platform::{CallCounts, CallKind};
use lagoonhill_types::prelude::*;
use prometheus::{HistogramVec, IntCounter, IntCounterVec, IntGauge};

/// The entry's metrics.
#[derive(Clone, Debug)]
pub(crate) struct Metrics {
    meters: Meters,
    pub(crate) packets: PacketMeter,
    jobs: IntCounterVec,
    placed: IntCounter,
    moved: IntCounter,
    rerun: IntCounter,
    times: HistogramVec,
    platform_calls: IntCounterVec,
    queued: IntGauge,
    running_jobs: IntGauge,
    workers: IntGauge,
    entries: IntGauge,
    rules_revision: IntGauge,
}

impl Metrics {
    pub(crate) fn new() -> Self {
        let meters = Meters::default();
        Self {
            packets: PacketMeter::new(&meters),
            jobs: meters.counters(
                "lagoonhill_jobs_total",
                "Jobs by what became of them.",
                "outcome",
            ),
            placed: meters.counter(
                "lagoonhill_tasks_placed_total",
                "Tasks ordered from workers.",
            ),
            moved: meters.counter(
                "lagoonhill_tasks_moved_total",
                "Tasks handed back unstarted.",
            ),
            rerun: meters.counter(
                "lagoonhill_tasks_rerun_total",
                "Tasks queued again after a run without success.",
            ),
            times: meters.times(
                "lagoonhill_job_seconds",
                "Time since a job was admitted, at each of its tasks' placements and at its end.",
                "stage",
            ),
            platform_calls: meters.counters(
                "lagoonhill_platform_calls_total",
                "Calls to the platform's store.",
                "kind",
            ),
            queued: meters.gauge("lagoonhill_queued_tasks", "Tasks waiting for a worker."),
            running_jobs: meters.gauge("lagoonhill_jobs", "Jobs without an answer."),
            workers: meters.gauge("lagoonhill_workers", "Workers with a session."),
            entries: meters.gauge("lagoonhill_entries", "Live entries known."),
            rules_revision: meters.gauge(
                "lagoonhill_rules_revision",
                "Revision of the rules in force.",
            ),
            meters,
        }
    }

    pub(crate) fn count_decision(&self, kind: &DecisionKind) {
        let outcome = match kind {
            DecisionKind::Placed { waited_ms, .. } => {
                self.observe("placed", *waited_ms);
                return self.placed.inc();
            }
            DecisionKind::Moved { .. } => return self.moved.inc(),
            DecisionKind::Admitted { .. } => "admitted",
            DecisionKind::Refused { .. } => "refused",
            DecisionKind::Completed { took_ms } => {
                self.observe("completed", *took_ms);
                "completed"
            }
            DecisionKind::Failed { run, took_ms, .. } => {
                self.observe("failed", *took_ms);
                match run {
                    RunCertainty::NotRun => "failed_not_run",
                    RunCertainty::MayHaveRun => "failed_may_have_run",
                }
            }
            DecisionKind::Rerun { .. } => return self.rerun.inc(),
            DecisionKind::Unsettled { .. }
            | DecisionKind::Joined { .. }
            | DecisionKind::Left { .. }
            | DecisionKind::Quarantined { .. }
            | DecisionKind::Recovered { .. }
            | DecisionKind::Rules { .. } => return,
        };
        self.jobs.with_label_values(&[outcome]).inc();
    }

    fn observe(&self, stage: &str, span_ms: DurationMs) {
        const MS_PER_S: f64 = 1_000.0;
        let histogram = self.times.with_label_values(&[stage]);
        histogram.observe(span_ms.0 as f64 / MS_PER_S);
    }

    /// Everything as Prometheus text.
    pub(crate) fn render(&self, status: &EntryStatus, calls: Option<&CallCounts>) -> Vec<u8> {
        let gauge =
            |gauge: &IntGauge, value: usize| gauge.set(i64::try_from(value).unwrap_or(i64::MAX));
        gauge(&self.queued, status.queued_tasks);
        gauge(&self.running_jobs, status.jobs);
        gauge(&self.workers, status.workers.len());
        gauge(&self.entries, status.entries.len());
        self.rules_revision
            .set(i64::try_from(status.rules_revision.0).unwrap_or(i64::MAX));
        for kind in CallKind::ALL {
            let counter = self
                .platform_calls
                .with_label_values(&[kind.to_string().as_str()]);
            let calls = calls.map_or(0, |calls| calls.get(kind));
            counter.inc_by(calls.saturating_sub(counter.get()));
        }
        self.meters.render()
    }
}
