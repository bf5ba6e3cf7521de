//! The interface for sending packets.

use std::net::SocketAddr;

use lagoonhill_protocol::Packet;

/// The sending side of a process's connections. Sending never blocks and may lose
/// packets; sessions retransmit them.
pub trait Link {
    /// Queues a packet, connecting to the peer if there is no connection yet.
    /// Returns the packet's size in bytes.
    fn send(&mut self, to: SocketAddr, packet: &Packet) -> usize;

    /// Writes queued packets as far as the connections accept them. Must be called
    /// after a batch of sends, and every few tens of milliseconds.
    fn flush(&mut self);

    /// Replaces the connection to a peer by a new one.
    fn redial(&mut self, to: SocketAddr);

    /// Closes the connection to a peer.
    fn hangup(&mut self, to: SocketAddr);
}
