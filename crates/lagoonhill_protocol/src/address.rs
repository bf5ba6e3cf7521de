use std::net::SocketAddr;

use lagoonhill_types::prelude::*;
use serde::{Deserialize, Serialize};

/// Where one entry incarnation can be reached.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct EntryAddress {
    /// Which run of the process.
    pub incarnation: Incarnation,
    /// Where agents send packets.
    pub inbox: SocketAddr,
    /// Where callers and other entries send requests.
    pub http: SocketAddr,
}
