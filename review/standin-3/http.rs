//! HTTP/1.1 for the stand-ins: a server with a thread for each connection, and a client
//! with a connection for each request.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

pub struct Request {
    pub method: String,
    pub path: String,
    pub query: String,
    pub headers: Vec<(String, String)>,
    pub body: String,
}

impl Request {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(key, _)| key == name).map(|(_, value)| value.as_str())
    }

    pub fn parameter(&self, name: &str) -> String {
        let pairs = self.query.split('&').filter_map(|pair| pair.split_once('='));
        let found = pairs.filter(|(key, _)| *key == name).map(|(_, value)| value.to_owned()).next();
        decode_percent(&found.unwrap_or_default())
    }
}

fn decode_percent(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut out = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let code = (bytes[at] == b'%')
            .then(|| text.get(at + 1..at + 3).and_then(|digits| u8::from_str_radix(digits, 16).ok()))
            .flatten();
        match code {
            Some(code) => { out.push(code); at += 3; }
            None => { out.push(bytes[at]); at += 1; }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

pub enum Answer {
    Reply(u16, String),
    /// The channel returns nothing further.
    Silence,
}

/// Time between two looks for new connections.
const ACCEPT_INTERVAL: Duration = Duration::from_millis(1);

/// Serves requests at an address until the process ends. While `is_refusing`, open
/// connections are closed and new ones refused.
pub fn serve(
    address: SocketAddr,
    is_refusing: Arc<AtomicBool>,
    handle: impl Fn(Request) -> Answer + Send + Sync + 'static,
) {
    let handle = Arc::new(handle);
    let listen = move || {
        let listener = TcpListener::bind(address).expect("the address is free");
        listener.set_nonblocking(true).expect("a listener can be non-blocking");
        listener
    };
    let mut listener = listen();
    thread::spawn(move || {
        let mut open: Vec<TcpStream> = Vec::new();
        loop {
            if is_refusing.load(Ordering::Relaxed) {
                drop(listener);
                for stream in open.drain(..) {
                    let _ = stream.shutdown(Shutdown::Both);
                }
                while is_refusing.load(Ordering::Relaxed) {
                    thread::sleep(ACCEPT_INTERVAL);
                }
                listener = listen();
            }
            let Ok((stream, _)) = listener.accept() else {
                thread::sleep(ACCEPT_INTERVAL);
                continue;
            };
            let _ = stream.set_nonblocking(false);
            open.extend(stream.try_clone());
            if open.len() > 200 {
                open.retain(|stream| stream.peer_addr().is_ok());
            }
            let handle = Arc::clone(&handle);
            thread::spawn(move || {
                serve_connection(&stream, &*handle);
                let _ = stream.shutdown(Shutdown::Both);
            });
        }
    });
}

fn serve_connection(stream: &TcpStream, handle: &(impl Fn(Request) -> Answer + ?Sized)) {
    let _ = stream.set_nodelay(true);
    let Ok(mut writer) = stream.try_clone() else { return };
    let mut reader = BufReader::new(stream);
    while let Some(request) = read_request(&mut reader) {
        match handle(request) {
            Answer::Reply(status, body) => {
                let head = format!(
                    "HTTP/1.1 {status} -\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n",
                    body.len()
                );
                if writer.write_all((head + &body).as_bytes()).is_err() { return; }
            }
            Answer::Silence => {
                let mut rest = [0; 1024];
                while reader.read(&mut rest).is_ok_and(|count| count > 0) {}
                return;
            }
        }
    }
}

fn read_head(reader: &mut impl BufRead) -> Option<(String, Vec<(String, String)>)> {
    let mut first = String::new();
    if reader.read_line(&mut first).ok()? == 0 { return None; }
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 { return None; }
        let line = line.trim_end();
        if line.is_empty() { return Some((first.trim_end().to_owned(), headers)); }
        let (key, value) = line.split_once(':')?;
        headers.push((key.trim().to_ascii_lowercase(), value.trim().to_owned()));
    }
}

fn read_body(reader: &mut impl BufRead, headers: &[(String, String)]) -> Option<String> {
    let length = headers.iter().find(|(key, _)| key == "content-length");
    let length: usize = length.and_then(|(_, value)| value.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    Some(String::from_utf8_lossy(&body).into_owned())
}

fn read_request(reader: &mut impl BufRead) -> Option<Request> {
    let (first, headers) = read_head(reader)?;
    let body = read_body(reader, &headers)?;
    let mut words = first.split(' ');
    let method = words.next()?.to_owned();
    let target = words.next()?;
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    Some(Request { method, path: path.to_owned(), query: query.to_owned(), headers, body })
}

/// Sends a request; `None` if there is no whole answer within the limit.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
    limit: Duration,
) -> Option<(u16, String)> {
    let stream = TcpStream::connect_timeout(&address, limit).ok()?;
    stream.set_nodelay(true).ok()?;
    stream.set_read_timeout(Some(limit)).ok()?;
    let mut head = format!("{method} {path} HTTP/1.1\r\ncontent-length: {}\r\nconnection: close\r\n", body.len());
    if !headers.iter().any(|(key, _)| *key == "host") {
        head += &format!("host: {address}\r\n");
    }
    for (key, value) in headers {
        head += &format!("{key}: {value}\r\n");
    }
    let mut writer = stream.try_clone().ok()?;
    writer.write_all((head + "\r\n" + body).as_bytes()).ok()?;
    let mut reader = BufReader::new(stream);
    let (first, headers) = read_head(&mut reader)?;
    let status = first.split(' ').nth(1)?.parse().ok()?;
    let body = read_body(&mut reader, &headers)?;
    Some((status, body))
}
