//! Receives packets over TCP.

use std::io;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use lagoonhill_protocol::{Packet, decode};
use log::warn;
use tokio::net::TcpStream;
use tokio::task::{JoinHandle, JoinSet};
use tokio_stream::StreamExt;
use tokio_util::codec::{FramedRead, LengthDelimitedCodec};

/// Largest packet accepted.
const MAX_PACKET_BYTES: usize = 64 << 20;

/// Delay after a failed `accept`.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// The inbox could not be opened.
#[derive(Debug, thiserror::Error)]
pub enum InboxError {
    /// The address is in use, or does not belong to this machine.
    #[error(
        "could not listen for packets on {address}: {source}; choose a free port or the machine's own address"
    )]
    Listen {
        /// The requested address.
        address: SocketAddr,
        /// The error of the operating system.
        source: io::Error,
    },
}

/// The receiving side of a process's connections.
#[derive(Debug)]
pub struct Inbox {
    listener: TcpListener,
    address: SocketAddr,
}

impl Inbox {
    /// Listens on an address; with port 0 the system chooses the port.
    pub fn open(address: SocketAddr) -> Result<Self, InboxError> {
        let listen = || {
            let listener = TcpListener::bind(address)?;
            listener.set_nonblocking(true)?;
            let bound = listener.local_addr()?;
            Ok((listener, bound))
        };
        let (listener, address) =
            listen().map_err(|source| InboxError::Listen { address, source })?;
        Ok(Self { listener, address })
    }

    /// The address that the inbox listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Passes every packet and its size in bytes to `deliver`, until `deliver`
    /// returns false or the handle is dropped. A packet that can't be decoded
    /// closes only the connection that it came on. Must be called on a tokio
    /// runtime.
    pub fn run(
        self,
        deliver: impl FnMut(Packet, usize) -> bool + Send + 'static,
    ) -> io::Result<InboxHandle> {
        let listener = tokio::net::TcpListener::from_std(self.listener)?;
        let deliver = Arc::new(Mutex::new(deliver));
        let accept_task = tokio::spawn(async move {
            let mut connections = JoinSet::new();
            loop {
                match listener.accept().await {
                    Ok((stream, from)) => {
                        connections.spawn(receive(stream, from, Arc::clone(&deliver)));
                    }
                    Err(error) => {
                        warn!(
                            "could not accept a connection: {error}; check the limit on open files"
                        );
                        tokio::time::sleep(ACCEPT_PAUSE).await;
                    }
                }
                while connections.try_join_next().is_some() {}
            }
        });
        Ok(InboxHandle { accept_task })
    }
}

async fn receive<D>(stream: TcpStream, from: SocketAddr, deliver: Arc<Mutex<D>>)
where
    D: FnMut(Packet, usize) -> bool,
{
    let codec = LengthDelimitedCodec::builder()
        .max_frame_length(MAX_PACKET_BYTES)
        .new_codec();
    let mut frames = FramedRead::new(stream, codec);
    while let Some(frame) = frames.next().await {
        let packet = match frame.map(|bytes| (decode(&bytes), bytes.len())) {
            Ok((Ok(packet), size_bytes)) => (packet, size_bytes),
            Ok((Err(error), _)) => {
                return warn!("closing a connection from {from}: {error}");
            }
            // A peer that stops or is replaced closes its connections.
            Err(error) if error.kind() != io::ErrorKind::InvalidData => return,
            Err(error) => return warn!("closing a connection from {from}: {error}"),
        };
        let mut deliver = deliver.lock().unwrap_or_else(PoisonError::into_inner);
        if !deliver(packet.0, packet.1) {
            return;
        }
    }
}

/// Closes a running inbox when dropped.
#[derive(Debug)]
pub struct InboxHandle {
    accept_task: JoinHandle<()>,
}

impl Drop for InboxHandle {
    fn drop(&mut self) {
        self.accept_task.abort();
    }
}
