//! HTTP/1.1 over loopback: a server with a thread for each connection, and a client with a connection for each request.

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

pub struct Request {
    pub method: String,
    /// Path without the query.
    pub path: String,
    pub query: String,
    pub body: Vec<u8>,
}

impl Request {
    pub fn query_field(&self, name: &str) -> Option<&str> {
        let mut fields = self.query.split('&').filter_map(|f| f.split_once('='));
        fields.find(|(k, _)| *k == name).map(|(_, v)| v)
    }
}

pub type Handler = Arc<dyn Fn(&Request) -> (u16, String) + Send + Sync>;

/// Serves every connection of a new listener on a free port; returns its address.
pub fn serve(handler: Handler) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let addr = listener.local_addr().expect("its address");
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = handler.clone();
            thread::spawn(move || {
                let _ = serve_connection(stream, &handler);
            });
        }
    });
    addr
}

fn serve_connection(stream: TcpStream, handler: &Handler) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut reader = BufReader::new(stream.try_clone()?);
    let mut writer = stream;
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Ok(());
        }
        let mut parts = line.split_whitespace();
        let method = parts.next().unwrap_or_default().to_owned();
        let target = parts.next().unwrap_or_default().to_owned();
        let head = read_head(&mut reader)?;
        let mut body = vec![0; head.length.unwrap_or(0)];
        reader.read_exact(&mut body)?;
        let (path, query) = target.split_once('?').unwrap_or((&target, ""));
        let request = Request {
            method,
            path: path.to_owned(),
            query: query.to_owned(),
            body,
        };
        let (status, body) = handler(&request);
        let close = if head.close {
            "connection: close\r\n"
        } else {
            ""
        };
        let response = format!(
            "HTTP/1.1 {status} {}\r\ncontent-type: application/json\r\n{close}content-length: {}\r\n\r\n{body}",
            reason(status),
            body.len()
        );
        writer.write_all(response.as_bytes())?;
        if head.close {
            return Ok(());
        }
    }
}

fn reason(status: u16) -> &'static str {
    match status {
        200 => "OK",
        400 => "Bad Request",
        404 => "Not Found",
        409 => "Conflict",
        410 => "Gone",
        429 => "Too Many Requests",
        _ => "Service Unavailable",
    }
}

struct Head {
    length: Option<usize>,
    close: bool,
}

fn read_head(reader: &mut impl BufRead) -> io::Result<Head> {
    let mut head = Head {
        length: None,
        close: false,
    };
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let line = line.trim().to_ascii_lowercase();
        if line.is_empty() {
            return Ok(head);
        }
        if let Some((name, value)) = line.split_once(':') {
            match name.trim() {
                "content-length" => head.length = value.trim().parse().ok(),
                "connection" => head.close = value.trim() == "close",
                _ => {}
            }
        }
    }
}

/// Sends one request on a connection of its own; the limit covers all of it.
pub fn call(
    to: SocketAddr,
    method: &str,
    path: &str,
    body: Option<&str>,
    limit: Duration,
) -> io::Result<(u16, Vec<u8>)> {
    let deadline = Instant::now() + limit;
    let mut stream = TcpStream::connect_timeout(&to, limit)?;
    stream.set_nodelay(true)?;
    let body = body.unwrap_or("");
    let request = format!(
        "{method} {path} HTTP/1.1\r\nhost: {to}\r\nconnection: close\r\ncontent-type: application/json\r\n\
         content-length: {}\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(request.as_bytes())?;
    let mut bytes = Vec::new();
    let mut buf = [0u8; 16 * 1024];
    loop {
        if let Some(answer) = complete(&bytes) {
            return Ok(answer);
        }
        let left = deadline.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return Err(io::ErrorKind::TimedOut.into());
        }
        stream.set_read_timeout(Some(left))?;
        match stream.read(&mut buf) {
            Ok(0) => return Err(io::ErrorKind::UnexpectedEof.into()),
            Ok(n) => bytes.extend_from_slice(&buf[..n]),
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => {
                return Err(io::ErrorKind::TimedOut.into());
            }
            Err(e) => return Err(e),
        }
    }
}

/// Returns the status and body if these bytes are a complete response.
fn complete(bytes: &[u8]) -> Option<(u16, Vec<u8>)> {
    let end = bytes.windows(4).position(|w| w == b"\r\n\r\n")? + 4;
    let mut reader = &bytes[..end];
    let mut line = String::new();
    reader.read_line(&mut line).ok()?;
    let status = line.split_whitespace().nth(1)?.parse().ok()?;
    let head = read_head(&mut reader).ok()?;
    let length = head.length.unwrap_or(0);
    (bytes.len() >= end + length).then(|| (status, bytes[end..end + length].to_vec()))
}
