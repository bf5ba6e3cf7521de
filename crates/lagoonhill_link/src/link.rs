use std::net::SocketAddr;

use lagoonhill_protocol::Packet;

/// The sending side of a process's connections. Sending never blocks and may
/// lose packets; sessions repair that.
pub trait Link {
    /// Sends a packet, dialing the peer when there is no connection yet.
    /// Returns its size in bytes.
    fn send(&mut self, to: SocketAddr, packet: &Packet) -> usize;

    /// Writes what has been sent, as far as connections take it. Call after a
    /// batch of sends, and every few tens of milliseconds.
    fn flush(&mut self);

    /// Replaces the connection to a peer.
    fn redial(&mut self, to: SocketAddr);

    /// Closes the connection to a peer.
    fn hangup(&mut self, to: SocketAddr);
}
