use std::io;
use std::net::SocketAddr;

use lagoonhill_link::InboxError;

/// Why a daemon could not start.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// The HTTP address is taken or not ours.
    #[error(
        "could not listen for requests on {address}: {source}; choose a free port or the machine's own address"
    )]
    Listen {
        /// The address asked for.
        address: SocketAddr,
        /// Why.
        source: io::Error,
    },
    /// The inbox could not be opened.
    #[error(transparent)]
    Inbox(#[from] InboxError),
    /// The runtime did not take a socket.
    #[error("could not watch a socket: {0}; raise the limit on open files")]
    Runtime(io::Error),
    /// The system refused a thread.
    #[error("could not start a thread: {0}; raise the limit on processes")]
    Thread(io::Error),
}
