//! HTTP/1.1 over loopback: a server with one thread a connection, and a client
//! that sends each request on a connection of its own.

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crate::json::Json;

pub struct Request {
    pub method: String,
    pub path: String,
    pub query: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(header, _)| header == name);
        found.map(|(_, value)| value.as_str())
    }

    pub fn parameter(&self, name: &str) -> &str {
        let prefix = format!("{name}=");
        let found = self.query.split('&').find_map(|pair| pair.strip_prefix(&prefix));
        found.unwrap_or_default()
    }
}

pub enum Answer {
    Reply(u16, Json),
    /// The connection is closed without an answer.
    Close,
}

pub fn serve(
    listener: TcpListener,
    handler: impl Fn(&Request) -> Answer + Send + Sync + 'static,
) {
    let handler = Arc::new(handler);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = Arc::clone(&handler);
            thread::spawn(move || {
                let _ = serve_connection(&stream, &*handler);
            });
        }
    });
}

fn serve_connection(
    stream: &TcpStream,
    handler: &(impl Fn(&Request) -> Answer + ?Sized),
) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let mut reader = BufReader::new(stream.try_clone()?);
    let mut writer = stream;
    while let Some(request) = read_request(&mut reader)? {
        let Answer::Reply(status, body) = handler(&request) else {
            return Ok(());
        };
        let body = body.write();
        let head = format!(
            "HTTP/1.1 {status} Status\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n",
            body.len()
        );
        writer.write_all((head + &body).as_bytes())?;
    }
    Ok(())
}

fn read_head(reader: &mut impl BufRead) -> std::io::Result<Option<(String, Vec<(String, String)>)>> {
    let mut first = String::new();
    if reader.read_line(&mut first)? == 0 {
        return Ok(None);
    }
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 || line.trim_end().is_empty() {
            return Ok(Some((first.trim_end().to_owned(), headers)));
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.push((name.trim().to_ascii_lowercase(), value.trim().to_owned()));
        }
    }
}

fn read_body(
    reader: &mut impl BufRead,
    headers: &[(String, String)],
) -> std::io::Result<Vec<u8>> {
    let length = headers.iter().find(|(name, _)| name == "content-length");
    let length = length.and_then(|(_, value)| value.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body)?;
    Ok(body)
}

fn read_request(reader: &mut impl BufRead) -> std::io::Result<Option<Request>> {
    let Some((first, headers)) = read_head(reader)? else {
        return Ok(None);
    };
    let body = read_body(reader, &headers)?;
    let mut words = first.split(' ');
    let method = words.next().unwrap_or_default().to_owned();
    let target = words.next().unwrap_or_default();
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    Ok(Some(Request {
        method,
        path: path.to_owned(),
        query: query.to_owned(),
        headers,
        body,
    }))
}

/// Sends one request; `Err` says why there is no complete answer.
pub fn send(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, String)],
    body: &str,
    limit: Duration,
) -> Result<(u16, Json), String> {
    let text = |error: std::io::Error| error.to_string();
    let mut stream =
        TcpStream::connect_timeout(&address, Duration::from_millis(500)).map_err(text)?;
    stream.set_nodelay(true).map_err(text)?;
    stream.set_read_timeout(Some(limit)).map_err(text)?;
    let mut request = format!("{method} {path} HTTP/1.1\r\nconnection: close\r\n");
    for (name, value) in headers {
        request.push_str(&format!("{name}: {value}\r\n"));
    }
    if !body.is_empty() {
        request.push_str("content-type: application/json\r\n");
    }
    request.push_str(&format!("content-length: {}\r\n\r\n{body}", body.len()));
    stream.write_all(request.as_bytes()).map_err(text)?;
    let mut reader = BufReader::new(stream);
    let (first, headers) = read_head(&mut reader)
        .map_err(text)?
        .ok_or_else(|| "the connection was closed".to_owned())?;
    let body = read_body(&mut reader, &headers).map_err(text)?;
    let status = first.split(' ').nth(1).and_then(|status| status.parse().ok());
    let status = status.ok_or_else(|| format!("no status in `{first}`"))?;
    Ok((status, Json::parse(&body).unwrap_or(Json::Null)))
}
