use std::net::SocketAddr;

use lagoonhill_core::Timing;
use lagoonhill_core::entry::{DEFAULT_LOOK_AHEAD, EntryConfig};
use lagoonhill_protocol::EntryAddress;
use lagoonhill_types::prelude::*;

/// Settings of an entry.
#[derive(Clone, Debug)]
pub struct EntrySettings {
    /// Where callers and other entries send requests.
    pub http: SocketAddr,
    /// Its availability zone, if it is known.
    pub zone: Option<AvailabilityZone>,
    /// Where agents send packets.
    pub inbox: SocketAddr,
    /// Where others reach the inbox, if not at its own address.
    pub advertise: Option<SocketAddr>,
    /// The platform's store, if there is one.
    pub platform: Option<SocketAddr>,
    /// The platform's balancer, to find other entries while the store is down.
    pub balancer: Option<SocketAddr>,
    /// How long to go on serving after a shutdown was asked for, so that the
    /// balancer can take this entry out first.
    pub drain_delay_ms: DurationMs,
    /// Longest wait for accepted jobs at a shutdown.
    pub drain_limit_ms: DurationMs,
    /// Largest request body.
    pub max_body_bytes: ByteCount,
    /// Tasks that an agent is given beyond its slots.
    pub look_ahead: u16,
    /// Keys bound in the platform's store by this entry at most.
    pub key_rate: PerSecond,
    /// Whether agents are handed the rules.
    pub shares_rules: bool,
    /// Session limits; the same at every entry and agent.
    pub timing: Timing,
}

impl EntrySettings {
    /// What the decisions are configured with, for an entry at an address.
    pub(crate) fn config(&self, address: EntryAddress) -> EntryConfig {
        EntryConfig {
            zone: self.zone.clone(),
            look_ahead: self.look_ahead,
            shares_rules: self.shares_rules,
            timing: self.timing,
            ..EntryConfig::new(address)
        }
    }
}

impl Default for EntrySettings {
    fn default() -> Self {
        let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
        Self {
            http: any_port,
            zone: None,
            inbox: any_port,
            advertise: None,
            platform: None,
            balancer: None,
            drain_delay_ms: DurationMs(2_000),
            drain_limit_ms: DurationMs::from_secs(60),
            max_body_bytes: ByteCount(4 << 20),
            look_ahead: DEFAULT_LOOK_AHEAD,
            key_rate: PerSecond(50),
            shares_rules: true,
            timing: Timing::default(),
        }
    }
}
