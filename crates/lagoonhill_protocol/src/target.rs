use std::net::SocketAddr;

use lagoonhill_types::prelude::*;
use serde::{Deserialize, Serialize};

/// A target, as it announced itself to its agent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Target {
    /// The service it runs.
    pub service: ServiceName,
    /// Address at which it accepts tasks, on the worker itself.
    pub address: SocketAddr,
    /// Number of tasks that it runs concurrently.
    pub slots: SlotCount,
    /// Number of connections that it accepts.
    pub connections: u16,
    /// Resources available to all tasks together.
    pub capacity: Resources,
    /// Properties that tasks may require.
    pub labels: Vec<Label>,
}
