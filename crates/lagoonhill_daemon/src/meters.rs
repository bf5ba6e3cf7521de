//! Prometheus metrics of a daemon.

use prometheus::{
    Encoder, HistogramOpts, HistogramVec, IntCounter, IntCounterVec, IntGauge, IntGaugeVec, Opts,
    Registry, TextEncoder,
};

/// Upper bounds of histogram buckets. Tasks take 50 ms to some seconds, and the
/// latency added to them should be far below that.
const TIME_BUCKETS_S: [f64; 12] = [
    0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0, 10.0,
];

/// Registers and renders the metrics of one daemon. Names are fixed in code, so an
/// invalid one is a bug and panics at start-up.
#[derive(Clone, Debug, Default)]
pub struct Meters {
    registry: Registry,
}

impl Meters {
    /// Registers a counter.
    pub fn counter(&self, name: &str, help: &str) -> IntCounter {
        let counter = IntCounter::new(name, help).expect("the name is valid");
        self.registry
            .register(Box::new(counter.clone()))
            .expect("the name is unique");
        counter
    }

    /// Registers a family of counters with one label.
    pub fn counters(&self, name: &str, help: &str, label: &str) -> IntCounterVec {
        self.labelled_counters(name, help, &[label])
    }

    /// Registers a family of counters with several labels.
    pub fn labelled_counters(&self, name: &str, help: &str, labels: &[&str]) -> IntCounterVec {
        let counters =
            IntCounterVec::new(Opts::new(name, help), labels).expect("the name is valid");
        self.registry
            .register(Box::new(counters.clone()))
            .expect("the name is unique");
        counters
    }

    /// Registers a gauge.
    pub fn gauge(&self, name: &str, help: &str) -> IntGauge {
        let gauge = IntGauge::new(name, help).expect("the name is valid");
        self.registry
            .register(Box::new(gauge.clone()))
            .expect("the name is unique");
        gauge
    }

    /// Registers a family of gauges with one label.
    pub fn gauges(&self, name: &str, help: &str, label: &str) -> IntGaugeVec {
        let gauges = IntGaugeVec::new(Opts::new(name, help), &[label]).expect("the name is valid");
        self.registry
            .register(Box::new(gauges.clone()))
            .expect("the name is unique");
        gauges
    }

    /// Registers a family of histograms of times in seconds, with one label.
    pub fn time_histograms(&self, name: &str, help: &str, label: &str) -> HistogramVec {
        let options = HistogramOpts::new(name, help).buckets(TIME_BUCKETS_S.to_vec());
        let times = HistogramVec::new(options, &[label]).expect("the name is valid");
        self.registry
            .register(Box::new(times.clone()))
            .expect("the name is unique");
        times
    }

    /// Renders all metrics as Prometheus text.
    pub fn render(&self) -> Vec<u8> {
        let mut text = Vec::new();
        let result = TextEncoder::new().encode(&self.registry.gather(), &mut text);
        result.expect("encoding gathered metrics into memory cannot fail");
        text
    }
}

/// Counts packets and their bytes by direction.
#[derive(Clone, Debug)]
pub struct PacketMeter {
    packets: IntCounterVec,
    bytes: IntCounterVec,
}

impl PacketMeter {
    /// Registers the counters.
    pub fn new(meters: &Meters) -> Self {
        Self {
            packets: meters.counters(
                "lagoonhill_packets_total",
                "Packets by direction.",
                "direction",
            ),
            bytes: meters.counters(
                "lagoonhill_packet_bytes_total",
                "Bytes of packets by direction, without the transport's own.",
                "direction",
            ),
        }
    }

    /// Counts a packet that was sent.
    pub fn sent(&self, size_bytes: usize) {
        self.count("sent", size_bytes);
    }

    /// Counts a packet that was received.
    pub fn received(&self, size_bytes: usize) {
        self.count("received", size_bytes);
    }

    fn count(&self, direction: &str, size_bytes: usize) {
        self.packets.with_label_values(&[direction]).inc();
        self.bytes
            .with_label_values(&[direction])
            .inc_by(size_bytes as u64);
    }
}
