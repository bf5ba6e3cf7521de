//! Connections between entries and agents: packets with a length, over TCP.
//!
//! Each process has one inbox that takes packets from everybody, and one
//! outgoing connection for each peer. Connections carry no state: a packet
//! names its session, so a peer may dial anew at any time.

mod inbox;
mod link;
mod tcp_link;

pub use inbox::{Inbox, InboxError, InboxHandle};
pub use link::Link;
pub use tcp_link::TcpLink;
