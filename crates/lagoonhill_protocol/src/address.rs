use std::net::SocketAddr;

use lagoonhill_types::prelude::*;
use serde::{Deserialize, Serialize};

/// Addresses of one incarnation of an entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct EntryAddress {
    /// The incarnation.
    pub incarnation: Incarnation,
    /// Address to which agents send packets.
    pub inbox: SocketAddr,
    /// Address to which callers and other entries send HTTP requests.
    pub http: SocketAddr,
}

impl EntryAddress {
    /// Whether both addresses can be connected to.
    pub fn has_ports(&self) -> bool {
        self.inbox.port() > 0 && self.http.port() > 0
    }
}
