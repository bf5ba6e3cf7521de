//! Connections between entries and agents, over `nng` push and pull sockets.
//!
//! Each process has one inbox that takes packets from everybody, and one
//! outgoing connection for each peer. Connections carry no state: a packet
//! names its session, so a peer may dial anew at any time.

mod inbox;
mod link;
mod nng_link;

pub use inbox::{Inbox, InboxError, InboxHandle};
pub use link::Link;
pub use nng_link::NngLink;
