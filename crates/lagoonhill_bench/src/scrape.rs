use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use hyper::Method;
use lagoonhill_http::HttpClient;

/// Values of a daemon's metrics, by name with labels.
#[derive(Clone, Debug, Default)]
pub struct Counters(BTreeMap<String, f64>);

impl Counters {
    /// Returns the value of a metric with its labels; zero if it is absent.
    pub fn get(&self, name: &str) -> f64 {
        self.0.get(name).copied().unwrap_or(0.0)
    }

    /// Returns the sum of a metric over all label values.
    pub fn sum(&self, name: &str) -> f64 {
        self.0
            .iter()
            .filter(|(key, _)| key.split('{').next() == Some(name))
            .map(|(_, v)| v)
            .sum()
    }
}

/// Reads the metrics of a daemon; empty if it doesn't answer within five seconds.
pub async fn scrape(http: &HttpClient, address: SocketAddr) -> Counters {
    let limit = Duration::from_secs(5);
    let sent = http.send(
        address,
        Method::GET,
        "/metrics",
        &[],
        Vec::new().into(),
        limit,
    );
    let Ok(reply) = sent.await else {
        return Counters::default();
    };
    let text = String::from_utf8_lossy(&reply.body).into_owned();
    let values = text
        .lines()
        .filter(|line| !line.starts_with('#'))
        .filter_map(|line| {
            let (name, value) = line.rsplit_once(' ')?;
            Some((name.to_owned(), value.parse().ok()?))
        });
    Counters(values.collect())
}
