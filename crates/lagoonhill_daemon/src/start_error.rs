use std::io;
use std::net::SocketAddr;

use lagoonhill_link::InboxError;

/// Why a daemon could not start.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// The HTTP address is in use, or does not belong to this machine.
    #[error(
        "could not listen for requests on {address}: {source}; choose a free port or the machine's own address"
    )]
    Listen {
        /// The requested address.
        address: SocketAddr,
        /// The system's error.
        source: io::Error,
    },
    /// The inbox could not be opened.
    #[error(transparent)]
    Inbox(#[from] InboxError),
    /// A socket could not be registered with the async runtime.
    #[error(
        "could not register a socket with the async runtime: {0}; raise the limit on open files"
    )]
    Runtime(io::Error),
    /// A thread could not be started.
    #[error("could not start a thread: {0}; raise the limit on processes")]
    Thread(io::Error),
}
