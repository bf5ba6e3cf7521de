use std::net::SocketAddr;

use lagoonhill_core::Timing;
use lagoonhill_types::prelude::*;

/// Settings of an agent.
#[derive(Clone, Debug)]
pub struct AgentSettings {
    /// The worker's name.
    pub worker: WorkerId,
    /// The worker's availability zone.
    pub zone: AvailabilityZone,
    /// Where the target announces itself.
    pub http: SocketAddr,
    /// Where entries send packets.
    pub inbox: SocketAddr,
    /// Where others reach the inbox, if not at its own address.
    pub advertise: Option<SocketAddr>,
    /// The platform's store, if there is one.
    pub platform: Option<SocketAddr>,
    /// The platform's balancer, to find entries while the store is down.
    pub balancer: Option<SocketAddr>,
    /// Longest wait for running tasks at a shutdown.
    pub drain_limit_ms: DurationMs,
    /// Tasks held beyond the slots before an order is refused.
    pub overcommit: u16,
    /// Session limits; the same at every entry and agent.
    pub timing: Timing,
}

impl AgentSettings {
    /// The usual settings of a worker, on ports that the system chooses.
    pub fn new(worker: WorkerId, zone: AvailabilityZone) -> Self {
        let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
        Self {
            worker,
            zone,
            http: any_port,
            inbox: any_port,
            advertise: None,
            platform: None,
            balancer: None,
            drain_limit_ms: DurationMs::from_secs(60),
            overcommit: 8,
            timing: Timing::default(),
        }
    }
}
