use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use hyper::Method;
use lagoonhill_http::HttpClient;

/// A daemon's metrics, by name with labels.
#[derive(Clone, Debug, Default)]
pub struct Counters(BTreeMap<String, f64>);

impl Counters {
    /// One value; zero when it is absent.
    pub fn get(&self, name: &str) -> f64 {
        self.0.get(name).copied().unwrap_or(0.0)
    }

    /// The sum of a metric over its labels.
    pub fn sum(&self, name: &str) -> f64 {
        self.0
            .iter()
            .filter(|(key, _)| key.split('{').next() == Some(name))
            .map(|(_, v)| v)
            .sum()
    }
}

/// Reads the metrics of a daemon; empty when it does not answer.
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
