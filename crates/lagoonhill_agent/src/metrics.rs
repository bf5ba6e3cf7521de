use lagoonhill_daemon::{Meters, PacketMeter};
use lagoonhill_types::prelude::*;
use prometheus::{HistogramVec, IntCounter, IntCounterVec, IntGauge, IntGaugeVec};

use crate::control::AgentStatus;

/// Metrics that the agent exports.
#[derive(Clone, Debug)]
pub(crate) struct Metrics {
    meters: Meters,
    pub(crate) packets: PacketMeter,
    started: IntCounter,
    seed_requests: IntCounterVec,
    ended: IntCounterVec,
    task_seconds: HistogramVec,
    announcements: IntCounterVec,
    target_changes: IntCounterVec,
    interrupted: IntCounterVec,
    capacity_changes: IntCounterVec,
    resolved_ends: IntCounterVec,
    held: IntGauge,
    unstored_ends: IntGauge,
    running: IntGauge,
    sessions: IntGauge,
    rules_revision: IntGauge,
    zone_drained: IntGaugeVec,
}

impl Metrics {
    pub(crate) fn new() -> Self {
        let meters = Meters::default();
        Self {
            packets: PacketMeter::new(&meters),
            started: meters.counter(
                "lagoonhill_tasks_started_total",
                "Tasks given to the target.",
            ),
            seed_requests: meters.counters(
                "lagoonhill_seed_requests_total",
                "Requests to seeds for the entries that they know, by whether they answered.",
                "outcome",
            ),
            ended: meters.counters(
                "lagoonhill_tasks_ended_total",
                "Runs that are over, by how they ended.",
                "how",
            ),
            task_seconds: meters.time_histograms(
                "lagoonhill_task_seconds",
                "Time of a task here: from its order to its start (waited), and from its start to its end (ran).",
                "stage",
            ),
            capacity_changes: meters.counters(
                "lagoonhill_target_capacity_changes_total",
                "Changes of the target's capacity while it was in use: shrunk in any resource, or grown.",
                "direction",
            ),
            announcements: meters.counters(
                "lagoonhill_target_announcements_total",
                "Announcements of targets, by what was made of them.",
                "outcome",
            ),
            target_changes: meters.counters(
                "lagoonhill_target_changes_total",
                "Times that the target's incarnation changed, by what told so.",
                "reason",
            ),
            interrupted: meters.counters(
                "lagoonhill_target_change_interrupted_runs_total",
                "Runs reported as interrupted when the target's incarnation changed, by what told so.",
                "reason",
            ),
            resolved_ends: meters.counters(
                "lagoonhill_resolved_ends_total",
                "Ends of durable jobs' runs that their entries have resolved, by what became of them.",
                "outcome",
            ),
            unstored_ends: meters.gauge(
                "lagoonhill_unstored_ends",
                "Ends of durable jobs' runs that their entries have not stored yet. The target keeps listing them.",
            ),
            held: meters.gauge("lagoonhill_held_tasks", "Tasks waiting or running here."),
            running: meters.gauge("lagoonhill_running_tasks", "Tasks at the target."),
            sessions: meters.gauge("lagoonhill_sessions", "Entries with an open session."),
            rules_revision: meters.gauge(
                "lagoonhill_rules_revision",
                "Revision of the rules in force.",
            ),
            zone_drained: meters.gauges(
                "lagoonhill_zone_drained",
                "1 while operators drain the worker's zone.",
                "zone",
            ),
            meters,
        }
    }

    /// Counts a task started on the target, and how long it had waited in the agent.
    pub(crate) fn started(&self, waited_ms: DurationMs) {
        self.started.inc();
        self.task_seconds
            .with_label_values(&["waited"])
            .observe(waited_ms.as_secs_f64());
    }

    /// Counts a finished run by its result label, and how long it ran.
    pub(crate) fn ended(&self, how: &str, ran_ms: DurationMs) {
        self.ended.with_label_values(&[how]).inc();
        self.task_seconds
            .with_label_values(&["ran"])
            .observe(ran_ms.as_secs_f64());
    }

    /// Counts a request to a seed, by whether it was answered.
    pub(crate) fn seed_asked(&self, is_answered: bool) {
        let outcome = if is_answered {
            "answered"
        } else {
            "unanswered"
        };
        self.seed_requests.with_label_values(&[outcome]).inc();
    }

    /// Counts the end of a durable run that its entry has stored or discarded.
    pub(crate) fn end_resolved(&self, outcome: &str) {
        self.resolved_ends.with_label_values(&[outcome]).inc();
    }

    /// Counts an announcement of a target.
    pub(crate) fn announced(&self, outcome: &str) {
        self.announcements.with_label_values(&[outcome]).inc();
    }

    /// Counts a change of the target's capacity.
    pub(crate) fn capacity_changed(&self, direction: &str) {
        self.capacity_changes.with_label_values(&[direction]).inc();
    }

    /// Counts a change of the target's incarnation, and the runs that it interrupted.
    pub(crate) fn target_changed(&self, reason: &str, interrupted: usize) {
        self.target_changes.with_label_values(&[reason]).inc();
        self.interrupted
            .with_label_values(&[reason])
            .inc_by(interrupted as u64);
    }

    /// Updates the gauges from `status` and renders all metrics as Prometheus text.
    pub(crate) fn render(&self, status: &AgentStatus) -> Vec<u8> {
        let gauge =
            |gauge: &IntGauge, value: usize| gauge.set(i64::try_from(value).unwrap_or(i64::MAX));
        gauge(&self.held, status.held);
        gauge(&self.unstored_ends, status.unstored_ends);
        gauge(&self.running, usize::from(status.running));
        gauge(&self.sessions, status.sessions);
        self.rules_revision
            .set(i64::try_from(status.rules_revision.0).unwrap_or(i64::MAX));
        self.zone_drained
            .with_label_values(&[status.zone.as_str()])
            .set(i64::from(status.is_zone_drained));
        self.meters.render()
    }
}
