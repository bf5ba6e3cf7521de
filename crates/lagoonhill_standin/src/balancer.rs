use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use hyper::Method;
use lagoonhill_http::HttpClient;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinHandle;

/// Time between two readiness checks.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

const CHECK_TIMEOUT: Duration = Duration::from_millis(500);

/// A stand-in for the platform's load balancer: forwards each new connection
/// round-robin to an upstream whose `/readyz` succeeds. Open connections stay
/// when their upstream is no longer ready.
#[derive(Debug)]
pub struct Balancer {
    address: SocketAddr,
    ready: Arc<Mutex<Vec<SocketAddr>>>,
    tasks: Vec<JoinHandle<()>>,
}

impl Balancer {
    /// Starts a balancer on a free loopback port.
    pub async fn start(upstreams: Vec<SocketAddr>) -> std::io::Result<Self> {
        let listener = TcpListener::bind(("127.0.0.1", 0)).await?;
        let address = listener.local_addr()?;
        let ready: Arc<Mutex<Vec<SocketAddr>>> = Arc::default();
        let tasks = vec![
            tokio::spawn(check_readiness(upstreams, Arc::clone(&ready))),
            tokio::spawn(forward_connections(listener, Arc::clone(&ready))),
        ];
        Ok(Self {
            address,
            ready,
            tasks,
        })
    }

    /// Address that it listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the upstreams that were ready at the last check.
    pub fn ready(&self) -> Vec<SocketAddr> {
        self.ready
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }
}

impl Drop for Balancer {
    fn drop(&mut self) {
        self.tasks.iter().for_each(JoinHandle::abort);
    }
}

async fn check_readiness(upstreams: Vec<SocketAddr>, ready: Arc<Mutex<Vec<SocketAddr>>>) {
    let http = HttpClient::new();
    loop {
        let mut now_ready = Vec::new();
        for upstream in &upstreams {
            let response = http.send(
                *upstream,
                Method::GET,
                "/readyz",
                &[],
                Vec::new().into(),
                CHECK_TIMEOUT,
            );
            if response.await.is_ok_and(|reply| reply.status.is_success()) {
                now_ready.push(*upstream);
            }
        }
        *ready.lock().unwrap_or_else(PoisonError::into_inner) = now_ready;
        tokio::time::sleep(CHECK_INTERVAL).await;
    }
}

async fn forward_connections(listener: TcpListener, ready: Arc<Mutex<Vec<SocketAddr>>>) {
    let mut next_index = 0_usize;
    while let Ok((mut stream, _)) = listener.accept().await {
        let upstream = {
            let ready = ready.lock().unwrap_or_else(PoisonError::into_inner);
            next_index = next_index.wrapping_add(1);
            (!ready.is_empty()).then(|| ready[next_index % ready.len()])
        };
        let Some(upstream) = upstream else {
            continue;
        };
        tokio::spawn(async move {
            if let Ok(mut outbound) = TcpStream::connect(upstream).await {
                let _ = (stream.set_nodelay(true), outbound.set_nodelay(true));
                let _ = tokio::io::copy_bidirectional(&mut stream, &mut outbound).await;
            }
        });
    }
}
