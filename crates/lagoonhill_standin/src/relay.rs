use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU8, AtomicU64, Ordering};
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{ReadHalf, WriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinHandle;

/// How often a held connection checks whether the mode has changed.
const HOLD_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// How a relay forwards bytes. Connections stay open in every mode.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum RelayMode {
    /// Forwards everything.
    Pass = 0,
    /// Drops all bytes on the present connections for good; new ones work.
    DropExisting = 1,
    /// Drops all bytes on all connections, including new ones.
    DropAll = 2,
    /// Drops what the upstream sends; forwards what it receives.
    DropReplies = 3,
    /// Holds all bytes until the mode changes, then forwards them.
    Hold = 4,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Direction {
    ToUpstream,
    FromUpstream,
}

#[derive(Debug)]
struct Shared {
    mode: AtomicU8,
    /// Connections with a number below this one drop all bytes.
    silent_below: AtomicU64,
    accepted: AtomicU64,
    /// Delay of each chunk of bytes.
    delay_ms: AtomicU64,
    /// Number of resets; each change closes all present connections.
    resets: watch::Sender<u64>,
}

impl Shared {
    fn is_mode(&self, mode: RelayMode) -> bool {
        self.mode.load(Ordering::Relaxed) == mode as u8
    }

    fn is_silent(&self, number: u64, direction: Direction) -> bool {
        self.is_mode(RelayMode::DropAll)
            || number < self.silent_below.load(Ordering::Relaxed)
            || (self.is_mode(RelayMode::DropReplies) && direction == Direction::FromUpstream)
    }
}

/// A TCP relay that can delay, hold or drop bytes and reset connections.
#[derive(Debug)]
pub struct Relay {
    address: SocketAddr,
    shared: Arc<Shared>,
    server: JoinHandle<()>,
}

impl Relay {
    /// Starts a relay to `upstream` on a free loopback port.
    pub async fn start(upstream: SocketAddr) -> std::io::Result<Self> {
        let listener = TcpListener::bind(("127.0.0.1", 0)).await?;
        let address = listener.local_addr()?;
        let (resets, _) = watch::channel(0);
        let shared = Arc::new(Shared {
            mode: AtomicU8::new(0),
            silent_below: AtomicU64::new(0),
            accepted: AtomicU64::new(0),
            delay_ms: AtomicU64::new(0),
            resets,
        });
        let state = Arc::clone(&shared);
        let server = tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let number = state.accepted.fetch_add(1, Ordering::Relaxed);
                tokio::spawn(relay_connection(
                    stream,
                    upstream,
                    number,
                    Arc::clone(&state),
                ));
            }
        });
        Ok(Self {
            address,
            shared,
            server,
        })
    }

    /// Address that it listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Number of connections accepted so far.
    pub fn accepted(&self) -> u64 {
        self.shared.accepted.load(Ordering::Relaxed)
    }

    /// Changes how it forwards bytes from now on.
    pub fn set_mode(&self, mode: RelayMode) {
        if mode == RelayMode::DropExisting {
            let accepted = self.shared.accepted.load(Ordering::Relaxed);
            self.shared.silent_below.store(accepted, Ordering::Relaxed);
        }
        self.shared.mode.store(mode as u8, Ordering::Relaxed);
    }

    /// Delays each chunk of bytes by `delay` from now on.
    pub fn set_delay(&self, delay: Duration) {
        let delay_ms = u64::try_from(delay.as_millis()).unwrap_or(u64::MAX);
        self.shared.delay_ms.store(delay_ms, Ordering::Relaxed);
    }

    /// Resets all present connections; new ones work.
    pub fn reset(&self) {
        self.shared.resets.send_modify(|resets| *resets += 1);
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.server.abort();
    }
}

async fn relay_connection(
    mut stream: TcpStream,
    upstream: SocketAddr,
    number: u64,
    shared: Arc<Shared>,
) {
    let mut resets = shared.resets.subscribe();
    let Ok(mut outbound) = TcpStream::connect(upstream).await else {
        return;
    };
    let _ = (stream.set_nodelay(true), outbound.set_nodelay(true));
    let (read_in, write_in) = stream.split();
    let (read_out, write_out) = outbound.split();
    let copying = async {
        tokio::join!(
            copy(read_in, write_out, number, Direction::ToUpstream, &shared),
            copy(read_out, write_in, number, Direction::FromUpstream, &shared)
        )
    };
    let is_reset = tokio::select! {
        _ = copying => false,
        changed = resets.changed() => changed.is_ok(),
    };
    if is_reset {
        // With zero linger, closing sends RST instead of FIN to both ends.
        let _ = (stream.set_zero_linger(), outbound.set_zero_linger());
    }
}

async fn copy(
    mut from: ReadHalf<'_>,
    mut to: WriteHalf<'_>,
    number: u64,
    direction: Direction,
    shared: &Shared,
) {
    let mut buffer = vec![0; 64 << 10];
    while let Ok(count) = from.read(&mut buffer).await {
        if shared.is_silent(number, direction) {
            // Drops the bytes without closing the connection.
            tokio::time::sleep(Duration::from_secs(600)).await;
        }
        while shared.is_mode(RelayMode::Hold) {
            tokio::time::sleep(HOLD_POLL_INTERVAL).await;
        }
        let delay_ms = shared.delay_ms.load(Ordering::Relaxed);
        if delay_ms > 0 {
            tokio::time::sleep(Duration::from_millis(delay_ms)).await;
        }
        if count == 0 || to.write_all(&buffer[..count]).await.is_err() {
            break;
        }
    }
    let _ = to.shutdown().await;
}
