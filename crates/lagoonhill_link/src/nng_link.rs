use std::collections::HashMap;
use std::collections::hash_map::Entry;
use std::net::SocketAddr;
use std::time::Duration;

use lagoonhill_protocol::{Packet, encode};
use log::{debug, warn};
use nng::options::{Options, ReconnectMaxTime, ReconnectMinTime, SendBufferSize};
use nng::{Protocol, Socket};

use crate::Link;

/// Packets that wait for a connection at most; later ones are lost.
const SEND_BUFFER_PACKETS: i32 = 256;

const RECONNECT_MIN: Duration = Duration::from_millis(50);
const RECONNECT_MAX: Duration = Duration::from_secs(2);

/// One push socket for each peer.
#[derive(Debug, Default)]
pub struct NngLink {
    sockets: HashMap<SocketAddr, Socket>,
}

impl NngLink {
    /// A link without connections.
    pub fn new() -> Self {
        Self::default()
    }

    fn socket(&mut self, to: SocketAddr) -> Option<&Socket> {
        match self.sockets.entry(to) {
            Entry::Occupied(entry) => Some(entry.into_mut()),
            Entry::Vacant(entry) => match dial(to) {
                Ok(socket) => Some(entry.insert(socket)),
                Err(error) => {
                    warn!(
                        "could not open a socket to {to}: {error}; check the limit on open files"
                    );
                    None
                }
            },
        }
    }
}

fn dial(to: SocketAddr) -> nng::Result<Socket> {
    let socket = Socket::new(Protocol::Push0)?;
    socket.set_opt::<SendBufferSize>(SEND_BUFFER_PACKETS)?;
    socket.set_opt::<ReconnectMinTime>(Some(RECONNECT_MIN))?;
    socket.set_opt::<ReconnectMaxTime>(Some(RECONNECT_MAX))?;
    socket.dial_async(&format!("tcp://{to}"))?;
    Ok(socket)
}

impl Link for NngLink {
    fn send(&mut self, to: SocketAddr, packet: &Packet) -> usize {
        let bytes = encode(packet);
        if let Some(socket) = self.socket(to)
            && let Err((_, error)) = socket.try_send(bytes.as_slice())
        {
            debug!("a packet to {to} was dropped: {error}; its session sends it again");
        }
        bytes.len()
    }

    fn redial(&mut self, to: SocketAddr) {
        self.hangup(to);
        self.socket(to);
    }

    fn hangup(&mut self, to: SocketAddr) {
        if let Some(socket) = self.sockets.remove(&to) {
            socket.close();
        }
    }
}
