use prometheus::{Encoder, IntCounter, IntCounterVec, IntGauge, Opts, Registry, TextEncoder};

use crate::control::AgentStatus;

/// The agent's metrics.
#[derive(Clone, Debug)]
pub(crate) struct Metrics {
    registry: Registry,
    started: IntCounter,
    packets: IntCounterVec,
    packet_bytes: IntCounterVec,
    held: IntGauge,
    running: IntGauge,
    sessions: IntGauge,
    rules_revision: IntGauge,
}

impl Metrics {
    pub(crate) fn new() -> Self {
        let registry = Registry::new();
        let gauge = |name: &str, help: &str| {
            let gauge = IntGauge::new(name, help).expect("the name is valid");
            registry
                .register(Box::new(gauge.clone()))
                .expect("the name is unique");
            gauge
        };
        let counters = |name: &str, help: &str| {
            let counters = IntCounterVec::new(Opts::new(name, help), &["direction"])
                .expect("the name is valid");
            registry
                .register(Box::new(counters.clone()))
                .expect("the name is unique");
            counters
        };
        let started = IntCounter::new(
            "lagoonhill_tasks_started_total",
            "Tasks given to the target.",
        )
        .expect("the name is valid");
        registry
            .register(Box::new(started.clone()))
            .expect("the name is unique");
        Self {
            started,
            packets: counters("lagoonhill_packets_total", "Packets by direction."),
            packet_bytes: counters(
                "lagoonhill_packet_bytes_total",
                "Bytes of packets by direction, without the transport's own.",
            ),
            held: gauge("lagoonhill_held_tasks", "Tasks waiting or running here."),
            running: gauge("lagoonhill_running_tasks", "Tasks at the target."),
            sessions: gauge("lagoonhill_sessions", "Entries with an open session."),
            rules_revision: gauge(
                "lagoonhill_rules_revision",
                "Revision of the rules in force.",
            ),
            registry,
        }
    }

    pub(crate) fn count_start(&self) {
        self.started.inc();
    }

    pub(crate) fn count_packet(&self, direction: &str, size_bytes: usize) {
        self.packets.with_label_values(&[direction]).inc();
        self.packet_bytes
            .with_label_values(&[direction])
            .inc_by(size_bytes as u64);
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
        let mut text = Vec::new();
        let encoded = TextEncoder::new().encode(&self.registry.gather(), &mut text);
        encoded.expect("gathered metrics always encode");
        text
    }
}
