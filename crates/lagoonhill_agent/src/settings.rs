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
    /// HTTP address at which the target announces itself.
    pub http: SocketAddr,
    /// Address to which entries send packets.
    pub inbox: SocketAddr,
    /// Address at which entries reach the inbox, if it differs from `inbox`.
    pub advertise: Option<SocketAddr>,
    /// Address of the platform's store, if there is one.
    pub platform: Option<SocketAddr>,
    /// Address of the platform's balancer, for finding entries while the store is
    /// down.
    pub balancer: Option<SocketAddr>,
    /// HTTP addresses of entries that are asked for all others without the store. They
    /// may be out of date.
    pub seeds: Vec<SocketAddr>,
    /// Longest wait for running tasks during shutdown.
    pub drain_limit_ms: DurationMs,
    /// Tasks held beyond the target's slots before further ones are refused.
    pub overcommit: u16,
    /// Timing of sessions. Must be the same at every entry and agent.
    pub timing: Timing,
}

impl AgentSettings {
    /// Default settings of a worker, with ports chosen by the system.
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
            seeds: Vec::new(),
            drain_limit_ms: DurationMs::from_secs(60),
            overcommit: 8,
            timing: Timing::default(),
        }
    }
}
