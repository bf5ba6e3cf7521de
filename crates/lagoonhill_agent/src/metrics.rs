use lagoonhill_daemon::{Meters, PacketMeter};
use prometheus::{IntCounter, IntGauge};

use crate::control::AgentStatus;

/// The agent's metrics.
#[derive(Clone, Debug)]
pub(crate) struct Metrics {
    meters: Meters,
    pub(crate) packets: PacketMeter,
    pub(crate) started: IntCounter,
    held: IntGauge,
    running: IntGauge,
    sessions: IntGauge,
    rules_revision: IntGauge,
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
            held: meters.gauge("lagoonhill_held_tasks", "Tasks waiting or running here."),
            running: meters.gauge("lagoonhill_running_tasks", "Tasks at the target."),
            sessions: meters.gauge("lagoonhill_sessions", "Entries with an open session."),
            rules_revision: meters.gauge(
                "lagoonhill_rules_revision",
                "Revision of the rules in force.",
            ),
            meters,
        }
    }

    /// Everything as Prometheus text.
    pub(crate) fn render(&self, status: &AgentStatus) -> Vec<u8> {
        let gauge =
            |gauge: &IntGauge, value: usize| gauge.set(i64::try_from(value).unwrap_or(i64::MAX));
        gauge(&self.held, status.held);
        gauge(&self.running, usize::from(status.running));
        gauge(&self.sessions, status.sessions);
        self.rules_revision
            .set(i64::try_from(status.rules_revision.0).unwrap_or(i64::MAX));
        self.meters.render()
    }
}
