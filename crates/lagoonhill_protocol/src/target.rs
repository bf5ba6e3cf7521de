use std::net::SocketAddr;

use lagoonhill_types::prelude::*;
use serde::{Deserialize, Serialize};

/// What a target announced of itself to its agent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Target {
    /// The service it runs.
    pub service: ServiceName,
    /// Where it takes tasks, on the worker itself.
    pub address: SocketAddr,
    /// Tasks it runs at the same time.
    pub slots: SlotCount,
    /// Connections it accepts.
    pub connections: u16,
    /// What all tasks together may take.
    pub capacity: Resources,
    /// Its properties.
    pub labels: Vec<Label>,
}
