//! Sends packets over TCP.

use std::collections::HashMap;
use std::io::{self, ErrorKind, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::mpsc::{Receiver, TryRecvError, sync_channel};
use std::time::{Duration, Instant};

use lagoonhill_protocol::{Packet, encode};
use log::debug;
use tokio::runtime::Handle;
use tokio::time::timeout;

use crate::Link;

/// Most bytes queued for one connection; packets beyond that are dropped.
const MAX_PENDING_BYTES: usize = 4 << 20;

/// Covers a few round trips and one lost packet.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Delay before a broken connection is opened again.
const RECONNECT_DELAY: Duration = Duration::from_millis(50);

/// Size of the prefix of each packet: its length in bytes, big-endian.
const LENGTH_PREFIX_BYTES: usize = 4;

#[derive(Debug)]
enum State {
    Connecting(Receiver<io::Result<TcpStream>>),
    Connected(TcpStream),
    Broken { since: Instant },
}

#[derive(Debug)]
struct Peer {
    state: State,
    pending: Vec<u8>,
}

/// One outgoing connection for each peer; the sending thread writes to it.
#[derive(Debug)]
pub struct TcpLink {
    runtime: Handle,
    peers: HashMap<SocketAddr, Peer>,
}

impl TcpLink {
    /// A link without connections. Must be called on a tokio runtime, which opens
    /// the connections.
    pub fn new() -> Self {
        Self {
            runtime: Handle::current(),
            peers: HashMap::new(),
        }
    }

    fn connect(runtime: &Handle, to: SocketAddr) -> State {
        let (done, connected) = sync_channel(1);
        runtime.spawn(async move {
            let stream = match timeout(CONNECT_TIMEOUT, tokio::net::TcpStream::connect(to)).await {
                Ok(Ok(stream)) => configure(stream),
                Ok(Err(error)) => Err(error),
                Err(_) => Err(ErrorKind::TimedOut.into()),
            };
            // The link may have dropped the peer by now.
            let _ = done.send(stream);
        });
        State::Connecting(connected)
    }
}

impl Default for TcpLink {
    fn default() -> Self {
        Self::new()
    }
}

fn configure(stream: tokio::net::TcpStream) -> io::Result<TcpStream> {
    stream.set_nodelay(true)?;
    stream.into_std()
}

impl Peer {
    /// A peer whose connection is being opened.
    fn connecting(runtime: &Handle, to: SocketAddr) -> Self {
        Self {
            state: TcpLink::connect(runtime, to),
            pending: Vec::new(),
        }
    }

    /// Writes pending bytes as far as the connection accepts them.
    fn flush(&mut self, runtime: &Handle, to: SocketAddr) {
        match &self.state {
            State::Connecting(connected) => match connected.try_recv() {
                Ok(Ok(stream)) => self.state = State::Connected(stream),
                Ok(Err(error)) => return self.mark_broken(to, &error),
                Err(TryRecvError::Empty) => return,
                Err(error @ TryRecvError::Disconnected) => {
                    return self.mark_broken(to, &io::Error::other(error));
                }
            },
            State::Broken { since } if since.elapsed() >= RECONNECT_DELAY => {
                self.state = TcpLink::connect(runtime, to);
                return;
            }
            State::Broken { .. } => return,
            State::Connected(_) => {}
        }
        let State::Connected(stream) = &mut self.state else {
            return;
        };
        let mut written = 0;
        let result = loop {
            if written == self.pending.len() {
                break Ok(());
            }
            match stream.write(&self.pending[written..]) {
                Ok(0) => break Err(ErrorKind::WriteZero.into()),
                Ok(count) => written += count,
                Err(error) if error.kind() == ErrorKind::WouldBlock => break Ok(()),
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) => break Err(error),
            }
        };
        self.pending.drain(..written);
        if let Err(error) = result {
            self.mark_broken(to, &error);
        }
    }

    /// Discards pending bytes: a packet may have been written in part, and the rest
    /// must not follow on a new connection.
    fn mark_broken(&mut self, to: SocketAddr, error: &io::Error) {
        debug!("connection to {to} broke: {error}; its session will retransmit");
        self.pending.clear();
        self.state = State::Broken {
            since: Instant::now(),
        };
    }
}

impl Link for TcpLink {
    fn send(&mut self, to: SocketAddr, packet: &Packet) -> usize {
        let bytes = encode(packet);
        let runtime = &self.runtime;
        let peer = self
            .peers
            .entry(to)
            .or_insert_with(|| Peer::connecting(runtime, to));
        if peer.pending.len() + bytes.len() > MAX_PENDING_BYTES {
            debug!("send queue to {to} is full, packet dropped; its session will retransmit");
            return bytes.len();
        }
        let length = u32::try_from(bytes.len()).unwrap_or(u32::MAX);
        peer.pending.reserve(LENGTH_PREFIX_BYTES + bytes.len());
        peer.pending.extend_from_slice(&length.to_be_bytes());
        peer.pending.extend_from_slice(&bytes);
        bytes.len()
    }

    fn flush(&mut self) {
        for (to, peer) in &mut self.peers {
            let is_connecting = matches!(peer.state, State::Connecting(_));
            if !peer.pending.is_empty() || is_connecting {
                peer.flush(&self.runtime, *to);
            }
        }
    }

    fn redial(&mut self, to: SocketAddr) {
        self.peers.insert(to, Peer::connecting(&self.runtime, to));
    }

    fn hangup(&mut self, to: SocketAddr) {
        self.peers.remove(&to);
    }
}
