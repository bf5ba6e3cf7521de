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
    /// Processors.
    pub processors: u16,
    /// Memory it offers to one task.
    pub memory_bytes: ByteCount,
    /// Accelerators.
    pub accelerators: u16,
}
