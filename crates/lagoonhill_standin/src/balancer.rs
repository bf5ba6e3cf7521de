use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use hyper::Method;
use lagoonhill_http::HttpClient;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinHandle;

/// Time between two looks at whether an upstream is ready.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

const CHECK_LIMIT: Duration = Duration::from_millis(500);

/// The platform's balancer: hands each new connection to the next upstream
/// whose `/readyz` says so, and leaves open connections alone.
#[derive(Debug)]
pub struct Balancer {
    address: SocketAddr,
    ready: Arc<Mutex<Vec<SocketAddr>>>,
    tasks: Vec<JoinHandle<()>>,
}

impl Balancer {
    /// Starts a balancer on a port that the system chooses.
    pub async fn start(upstreams: Vec<SocketAddr>) -> std::io::Result<Self> {
        let listener = TcpListener::bind(("127.0.0.1", 0)).await?;
        let address = listener.local_addr()?;
        let ready: Arc<Mutex<Vec<SocketAddr>>> = Arc::default();
        let tasks = vec![
            tokio::spawn(check(upstreams, Arc::clone(&ready))),
            tokio::spawn(accept(listener, Arc::clone(&ready))),
        ];
        Ok(Self {
            address,
            ready,
            tasks,
        })
    }

    /// Where it takes connections.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// The upstreams that get new connections now.
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

async fn check(upstreams: Vec<SocketAddr>, ready: Arc<Mutex<Vec<SocketAddr>>>) {
    let http = HttpClient::new();
    loop {
        let mut now_ready = Vec::new();
        for upstream in &upstreams {
            let asked = http.send(
                *upstream,
                Method::GET,
                "/readyz",
                &[],
                Vec::new().into(),
                CHECK_LIMIT,
            );
            if asked.await.is_ok_and(|reply| reply.status.is_success()) {
                now_ready.push(*upstream);
            }
        }
        *ready.lock().unwrap_or_else(PoisonError::into_inner) = now_ready;
        tokio::time::sleep(CHECK_INTERVAL).await;
    }
}

async fn accept(listener: TcpListener, ready: Arc<Mutex<Vec<SocketAddr>>>) {
    let mut turn = 0_usize;
    while let Ok((mut stream, _)) = listener.accept().await {
        let upstream = {
            let ready = ready.lock().unwrap_or_else(PoisonError::into_inner);
            turn = turn.wrapping_add(1);
            (!ready.is_empty()).then(|| ready[turn % ready.len()])
        };
        let Some(upstream) = upstream else {
            continue;
        };
        tokio::spawn(async move {
            if let Ok(mut onward) = TcpStream::connect(upstream).await {
                let _ = (stream.set_nodelay(true), onward.set_nodelay(true));
                let _ = tokio::io::copy_bidirectional(&mut stream, &mut onward).await;
            }
        });
    }
}
