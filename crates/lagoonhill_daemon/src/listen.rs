use std::net::SocketAddr;

use tokio::net::TcpListener;

use crate::StartError;

/// Listens for HTTP and returns the bound address. With port 0 the system chooses
/// a port.
pub async fn listen(address: SocketAddr) -> Result<(TcpListener, SocketAddr), StartError> {
    let listen_error = |source| StartError::Listen { address, source };
    let listener = TcpListener::bind(address).await.map_err(listen_error)?;
    let bound = listener.local_addr().map_err(listen_error)?;
    Ok((listener, bound))
}
