use std::net::SocketAddr;
use std::thread;

use lagoonhill_protocol::{Packet, decode};
use log::warn;
use nng::options::{LocalAddr, Options, RecvBufferSize, RecvMaxSize};
use nng::{Listener, Protocol, Socket};

/// Received packets that wait for the control thread at most.
const RECEIVE_BUFFER_PACKETS: i32 = 4_096;

/// Largest packet accepted.
const MAX_PACKET_BYTES: usize = 64 << 20;

/// The inbox could not be opened.
#[derive(Debug, thiserror::Error)]
pub enum InboxError {
    /// The address is taken or not ours.
    #[error(
        "could not listen for packets on {address}: {source}; choose a free port or the machine's own address"
    )]
    Listen {
        /// The address asked for.
        address: SocketAddr,
        /// Why.
        source: nng::Error,
    },
}

/// The receiving side of a process's connections.
#[derive(Debug)]
pub struct Inbox {
    socket: Socket,
    address: SocketAddr,
}

impl Inbox {
    /// Listens on an address; port 0 lets the system choose.
    pub fn open(address: SocketAddr) -> Result<Self, InboxError> {
        let listen = || {
            let socket = Socket::new(Protocol::Pull0)?;
            socket.set_opt::<RecvBufferSize>(RECEIVE_BUFFER_PACKETS)?;
            socket.set_opt::<RecvMaxSize>(MAX_PACKET_BYTES)?;
            let listener = Listener::new(&socket, &format!("tcp://{address}"))?;
            Ok((socket, listener.get_opt::<LocalAddr>()?))
        };
        let (socket, bound) = listen().map_err(|source| InboxError::Listen { address, source })?;
        Ok(Self {
            socket,
            address: bound_address(address, &bound),
        })
    }

    /// Where the inbox listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Hands every packet and its size in bytes to `deliver` on a thread of its
    /// own, until `deliver` returns false or the inbox is closed. A packet that can't be read
    /// closes the connection that it came on, and no other.
    pub fn run(
        self,
        mut deliver: impl FnMut(Packet, usize) -> bool + Send + 'static,
    ) -> InboxHandle {
        let handle = InboxHandle {
            socket: self.socket.clone(),
        };
        let receive = move || {
            while let Ok(mut message) = self.socket.recv() {
                match decode(message.as_slice()) {
                    Ok(packet) => {
                        if !deliver(packet, message.len()) {
                            return;
                        }
                    }
                    Err(error) => {
                        warn!("closing a connection: {error}");
                        if let Some(pipe) = message.pipe() {
                            pipe.close();
                        }
                    }
                }
            }
        };
        thread::Builder::new()
            .name("inbox".to_owned())
            .spawn(receive)
            .expect("the system can start one more thread");
        handle
    }
}

/// Closes a running inbox when dropped.
#[derive(Debug)]
pub struct InboxHandle {
    socket: Socket,
}

impl Drop for InboxHandle {
    fn drop(&mut self) {
        self.socket.close();
    }
}

/// The library reports the bound port in network byte order.
fn bound_address(asked: SocketAddr, bound: &nng::SocketAddr) -> SocketAddr {
    let port = match bound {
        nng::SocketAddr::Inet(address) => u16::from_be(address.port()),
        nng::SocketAddr::Inet6(address) => u16::from_be(address.port()),
        _ => asked.port(),
    };
    if asked.port() != 0 {
        return asked;
    }
    SocketAddr::new(asked.ip(), port)
}
