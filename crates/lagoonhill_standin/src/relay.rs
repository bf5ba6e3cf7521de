use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU8, AtomicU64, Ordering};
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinHandle;

/// What a relay does with bytes. Connections stay open in every mode.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum RelayMode {
    /// Passes everything on.
    Pass = 0,
    /// Connections that exist now go silent for good; new ones work.
    SilenceOld = 1,
    /// All connections are silent, new ones too.
    SilenceAll = 2,
}

#[derive(Debug)]
struct Shared {
    mode: AtomicU8,
    /// Connections numbered below this are silent.
    silent_below: AtomicU64,
    accepted: AtomicU64,
}

impl Shared {
    fn is_silent(&self, number: u64) -> bool {
        self.mode.load(Ordering::Relaxed) == RelayMode::SilenceAll as u8
            || number < self.silent_below.load(Ordering::Relaxed)
    }
}

/// A TCP relay that can lose track of connections without closing them.
#[derive(Debug)]
pub struct Relay {
    address: SocketAddr,
    shared: Arc<Shared>,
    server: JoinHandle<()>,
}

impl Relay {
    /// Starts a relay to `upstream` on a port that the system chooses.
    pub async fn start(upstream: SocketAddr) -> std::io::Result<Self> {
        let listener = TcpListener::bind(("127.0.0.1", 0)).await?;
        let address = listener.local_addr()?;
        let shared = Arc::new(Shared {
            mode: AtomicU8::new(0),
            silent_below: AtomicU64::new(0),
            accepted: AtomicU64::new(0),
        });
        let state = Arc::clone(&shared);
        let server = tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let number = state.accepted.fetch_add(1, Ordering::Relaxed);
                tokio::spawn(connect(stream, upstream, number, Arc::clone(&state)));
            }
        });
        Ok(Self {
            address,
            shared,
            server,
        })
    }

    /// Where it takes connections.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Connections taken so far.
    pub fn accepted(&self) -> u64 {
        self.shared.accepted.load(Ordering::Relaxed)
    }

    /// Changes what it does with bytes.
    pub fn set_mode(&self, mode: RelayMode) {
        if mode == RelayMode::SilenceOld {
            let accepted = self.shared.accepted.load(Ordering::Relaxed);
            self.shared.silent_below.store(accepted, Ordering::Relaxed);
        }
        self.shared.mode.store(mode as u8, Ordering::Relaxed);
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.server.abort();
    }
}

async fn connect(stream: TcpStream, upstream: SocketAddr, number: u64, shared: Arc<Shared>) {
    let Ok(onward) = TcpStream::connect(upstream).await else {
        return;
    };
    let _ = (stream.set_nodelay(true), onward.set_nodelay(true));
    let (read_in, write_in) = stream.into_split();
    let (read_out, write_out) = onward.into_split();
    tokio::join!(
        copy(read_in, write_out, number, &shared),
        copy(read_out, write_in, number, &shared)
    );
}

async fn copy(mut from: OwnedReadHalf, mut to: OwnedWriteHalf, number: u64, shared: &Shared) {
    let mut buffer = vec![0; 64 << 10];
    while let Ok(count) = from.read(&mut buffer).await {
        if shared.is_silent(number) {
            // The bytes are lost and nobody is told.
            tokio::time::sleep(Duration::from_secs(600)).await;
        }
        if count == 0 || to.write_all(&buffer[..count]).await.is_err() {
            break;
        }
    }
    let _ = to.shutdown().await;
}
