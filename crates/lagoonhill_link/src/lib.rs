//! Connections between entries and agents: length-prefixed packets over TCP.
//!
//! Each process has one inbox that accepts packets from all peers, and one outgoing
//! connection for each peer. Connections carry no state: each packet names its
//! session, so a peer may reconnect at any time.

mod inbox;
mod link;
mod tcp_link;

pub use inbox::{Inbox, InboxError, InboxHandle};
pub use link::Link;
pub use tcp_link::TcpLink;
