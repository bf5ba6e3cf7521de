//! Another writer leaves odd items in the store, or the store's answers are odd in
//! part: the client reads all others, and holds no answer without a bound.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::time::Duration;

use hyper::body::Incoming;
use hyper::{Method, Request, StatusCode};
use lagoonhill_http::{HttpClient, Reply, reply, serve};
use lagoonhill_platform::{EtcdStore, Store, StoreRevision, WatchEvent};
use tokio::net::TcpListener;
use tokio::time::timeout;

/// Defines one test for each named case.
macro_rules! cases {
    ($($name:ident => $body:block)+) => {
        $(#[tokio::test(flavor = "multi_thread")] async fn $name() $body)+
    };
}

const TIMEOUT: Duration = Duration::from_secs(10);

const NESTING: usize = 20_000;

/// More than any answer that is read.
const TOO_LARGE: usize = 65 << 20;

/// A server that answers every request with one body.
async fn server(body: Vec<u8>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0")
        .await
        .expect("a port should be free");
    let address = listener
        .local_addr()
        .expect("the listener should have an address");
    let service = tower::service_fn(move |_: Request<Incoming>| {
        let body = body.clone();
        async move { Ok::<Reply, Infallible>(reply(StatusCode::OK, "application/json", body)) }
    });
    tokio::spawn(serve(listener, service, std::future::pending()));
    address
}

/// An item; keys and values are Base64. `YQ==` is "a", `Yw==` is "c".
fn item(key: &str, revision: &str) -> Vec<u8> {
    format!(r#"{{"key":"{key}","value":"dg==","mod_revision":{revision}}}"#).into_bytes()
}

fn odd_items() -> Vec<Vec<u8>> {
    let nested = "[".repeat(NESTING) + &"]".repeat(NESTING);
    vec![
        item("Yg==", "\"9223372036854775808\""),
        item("Yg==", "1e400"),
        item("Yg==", "1.5"),
        item("Yg==", "[]"),
        item("Yg==", &nested),
        item("!", "\"3\""),
        // A key that is no text.
        item("/w==", "\"3\""),
        b"{\"key\":7}".to_vec(),
        b"{\"key\":\"\xff\"}".to_vec(),
        b"null".to_vec(),
        b"7".to_vec(),
        nested.into_bytes(),
    ]
}

fn around(odd: &[u8]) -> Vec<u8> {
    [
        &item("YQ==", "\"2\""),
        &b","[..],
        odd,
        b",",
        &item("Yw==", "\"4\""),
    ]
    .concat()
}

fn start(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).chars().take(80).collect()
}

cases! {
    an_odd_item_costs_no_other_item => {
        for odd in odd_items() {
            let body = [&b"{\"header\":{\"revision\":\"9\"},\"kvs\":["[..], &around(&odd), b"]}"].concat();
            let store = EtcdStore::new(server(body).await);
            let found = store.list("").await.unwrap_or_else(|error| panic!("{}: {error}", start(&odd)));
            let keys: Vec<&str> = found.iter().map(|found| found.key.as_str()).collect();
            assert_eq!(keys, ["a", "c"], "{}", start(&odd));
        }
    }

    a_watch_goes_on_after_an_odd_event => {
        for odd in odd_items() {
            let event = |kv: &[u8]| [&b"{\"kv\":"[..], kv, b"}"].concat();
            let events = [event(&item("YQ==", "\"2\"")), event(&odd), event(&item("Yw==", "\"4\""))].join(&b',');
            let line = [&b"{\"result\":{\"events\":["[..], &events, b"]}}\n"].concat();
            // A line that can't be read stands between two that can.
            let body = [&line[..], b"\xff[\n", &line].concat();
            let store = EtcdStore::new(server(body).await);
            let mut events = store.watch("", StoreRevision(1)).await.expect("the watch should start");
            for key in ["a", "c", "a", "c"] {
                let event = timeout(TIMEOUT, events.recv()).await.expect("the watch should report in time");
                assert!(matches!(&event, Some(WatchEvent::Put(found)) if found.key == key), "{}: {event:?}", start(&odd));
            }
        }
    }

    an_answer_nested_deeply_is_an_error => {
        let nested = "[".repeat(NESTING) + &"]".repeat(NESTING);
        for body in [nested.clone(), format!("{{\"kvs\":{nested}}}"), format!("{{\"header\":{nested}}}")] {
            let store = EtcdStore::new(server(body.into_bytes()).await);
            let _ = timeout(TIMEOUT, store.list("")).await.expect("the list should end in time");
            assert!(store.grant(lagoonhill_types::DurationMs(2_000)).await.is_err());
        }
    }

    an_answer_that_is_too_large_is_not_held => {
        let address = server(vec![b' '; TOO_LARGE]).await;
        assert!(EtcdStore::new(address).list("").await.is_err());
        let client = HttpClient::new();
        let sent = client.send(address, Method::GET, "/", &[], bytes::Bytes::new(), TIMEOUT);
        assert!(sent.await.is_err());
    }

    a_line_that_is_too_large_ends_the_watch => {
        let store = EtcdStore::new(server(vec![b' '; TOO_LARGE]).await);
        let mut events = store.watch("", StoreRevision(1)).await.expect("the watch should start");
        assert_eq!(timeout(TIMEOUT, events.recv()).await.expect("the watch should end in time"), None);
    }
}
