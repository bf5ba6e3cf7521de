use lagoonhill_core::entry::{DecisionKind, EntryStatus, RunCertainty};
use lagoonhill_platform::{CallCounts, CallKind};
use prometheus::{Encoder, IntCounter, IntCounterVec, IntGauge, Opts, Registry, TextEncoder};

/// The entry's metrics.
#[derive(Clone, Debug)]
pub(crate) struct Metrics {
    registry: Registry,
    jobs: IntCounterVec,
    placed: IntCounter,
    moved: IntCounter,
    packets: IntCounterVec,
    packet_bytes: IntCounterVec,
    platform_calls: IntCounterVec,
    queued: IntGauge,
    running_jobs: IntGauge,
    workers: IntGauge,
    entries: IntGauge,
    rules_revision: IntGauge,
}

impl Metrics {
    pub(crate) fn new() -> Self {
        let registry = Registry::new();
        let counter = |name: &str, help: &str| {
            let counter = IntCounter::new(name, help).expect("the name is valid");
            registry
                .register(Box::new(counter.clone()))
                .expect("the name is unique");
            counter
        };
        let counters = |name: &str, help: &str, label: &str| {
            let counters =
                IntCounterVec::new(Opts::new(name, help), &[label]).expect("the name is valid");
            registry
                .register(Box::new(counters.clone()))
                .expect("the name is unique");
            counters
        };
        let gauge = |name: &str, help: &str| {
            let gauge = IntGauge::new(name, help).expect("the name is valid");
            registry
                .register(Box::new(gauge.clone()))
                .expect("the name is unique");
            gauge
        };
        Self {
            jobs: counters(
                "lagoonhill_jobs_total",
                "Jobs by what became of them.",
                "outcome",
            ),
            placed: counter(
                "lagoonhill_tasks_placed_total",
                "Tasks ordered from workers.",
            ),
            moved: counter(
                "lagoonhill_tasks_moved_total",
                "Tasks handed back unstarted.",
            ),
            packets: counters(
                "lagoonhill_packets_total",
                "Packets by direction.",
                "direction",
            ),
            packet_bytes: counters(
                "lagoonhill_packet_bytes_total",
                "Bytes of packets by direction, without the transport's own.",
                "direction",
            ),
            platform_calls: counters(
                "lagoonhill_platform_calls_total",
                "Calls to the platform's store.",
                "kind",
            ),
            queued: gauge("lagoonhill_queued_tasks", "Tasks waiting for a worker."),
            running_jobs: gauge("lagoonhill_jobs", "Jobs without an answer."),
            workers: gauge("lagoonhill_workers", "Workers with a session."),
            entries: gauge("lagoonhill_entries", "Live entries known."),
            rules_revision: gauge(
                "lagoonhill_rules_revision",
                "Revision of the rules in force.",
            ),
            registry,
        }
    }

    pub(crate) fn count_decision(&self, kind: &DecisionKind) {
        let outcome = match kind {
            DecisionKind::Placed { .. } => return self.placed.inc(),
            DecisionKind::Moved { .. } => return self.moved.inc(),
            DecisionKind::Admitted { .. } => "admitted",
            DecisionKind::Refused { .. } => "refused",
            DecisionKind::Completed => "completed",
            DecisionKind::Failed {
                run: RunCertainty::NotRun,
                ..
            } => "failed_not_run",
            DecisionKind::Failed {
                run: RunCertainty::MayHaveRun,
                ..
            } => "failed_may_have_run",
            DecisionKind::Joined { .. }
            | DecisionKind::Left { .. }
            | DecisionKind::Quarantined { .. }
            | DecisionKind::Recovered { .. }
            | DecisionKind::Rules { .. } => return,
        };
        self.jobs.with_label_values(&[outcome]).inc();
    }

    pub(crate) fn count_packet(&self, direction: &str, size_bytes: usize) {
        self.packets.with_label_values(&[direction]).inc();
        self.packet_bytes
            .with_label_values(&[direction])
            .inc_by(size_bytes as u64);
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
        let mut text = Vec::new();
        let encoded = TextEncoder::new().encode(&self.registry.gather(), &mut text);
        encoded.expect("gathered metrics always encode");
        text
    }
}
