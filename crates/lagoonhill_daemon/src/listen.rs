use std::net::SocketAddr;

use tokio::net::TcpListener;

use crate::StartError;

/// Listens for HTTP; port 0 lets the system choose. Returns where.
pub async fn listen(address: SocketAddr) -> Result<(TcpListener, SocketAddr), StartError> {
    let failed = |source| StartError::Listen { address, source };
    let listener = TcpListener::bind(address).await.map_err(failed)?;
    let bound = listener.local_addr().map_err(failed)?;
    Ok((listener, bound))
}
