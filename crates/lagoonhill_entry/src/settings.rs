use std::net::SocketAddr;

use lagoonhill_core::Timing;
use lagoonhill_core::entry::{DEFAULT_LOOK_AHEAD, EntryConfig};
use lagoonhill_protocol::EntryAddress;
use lagoonhill_types::prelude::*;

/// Settings of an entry.
#[derive(Clone, Debug)]
pub struct EntrySettings {
    /// Listen address for requests of callers and other entries.
    pub http: SocketAddr,
    /// The entry's availability zone, if known.
    pub zone: Option<AvailabilityZone>,
    /// Listen address for agents' packets.
    pub inbox: SocketAddr,
    /// Address at which agents reach the inbox, if it differs from the listen address.
    pub advertise: Option<SocketAddr>,
    /// Address of the platform's store, if there is one.
    pub platform: Option<SocketAddr>,
    /// Address of the platform's balancer, for finding other entries while the store
    /// is down.
    pub balancer: Option<SocketAddr>,
    /// HTTP addresses of entries that are asked for all others without the store. They
    /// may be out of date.
    pub seeds: Vec<SocketAddr>,
    /// Address under which this entry is listed as a seed; only other processes' requests
    /// for entries are answered there.
    pub seed_address: Option<SocketAddr>,
    /// How long to go on serving after a shutdown request, so that the balancer can
    /// remove this entry first.
    pub drain_delay_ms: DurationMs,
    /// Longest wait for the answers to accepted jobs at a shutdown.
    pub drain_limit_ms: DurationMs,
    /// Largest request body.
    pub max_body_bytes: ByteCount,
    /// Tasks dispatched to an agent beyond its slots.
    pub look_ahead: u16,
    /// Most idempotency keys per second that this entry binds in the platform's store.
    pub key_rate: PerSecond,
    /// Whether the entry sends the rules to agents.
    pub shares_rules: bool,
    /// Session time limits; must be the same at every entry and agent.
    pub timing: Timing,
}

impl EntrySettings {
    /// The configuration of the decision logic of an entry at an address.
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
            seeds: Vec::new(),
            seed_address: None,
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
