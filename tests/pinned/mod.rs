//! What the pinned tests share: fixtures that are read and compared as bytes, and plain HTTP over loopback.
#![allow(dead_code, reason = "each test program uses a part of it")]

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

/// A fixture's text; a missing one fails.
pub fn fixture(name: &str) -> String {
    let path = fixture_path(name);
    std::fs::read_to_string(&path).unwrap_or_else(|e| panic!("{}: {e}", path.display()))
}

/// Where a fixture is.
pub fn fixture_path(name: &str) -> PathBuf {
    PathBuf::from(concat!(
        env!("CARGO_MANIFEST_DIR"),
        "/tests/fixtures/pinned"
    ))
    .join(name)
}

/// Compares with a fixture byte for byte. What differs is left beside the build's other output, for a look at it.
pub fn assert_pinned(name: &str, actual: &str) {
    let expected = fixture(name);
    if expected == actual {
        return;
    }
    let kept = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&kept, actual).expect("a place for what differs");
    let differs = expected
        .lines()
        .zip(actual.lines())
        .enumerate()
        .find(|(_, (e, a))| e != a);
    panic!(
        "{name} differs first at {differs:?}, in all {} and {} bytes",
        expected.len(),
        actual.len()
    );
}

/// A part of a fixture: its name, and its sections between lines of `---`.
pub struct Block {
    pub name: String,
    pub sections: Vec<String>,
}

/// The parts of a fixture, each of which begins with a line `=== name`.
pub fn blocks(text: &str) -> Vec<Block> {
    let parts = text.split("=== ").skip(1);
    let block = |part: &str| {
        let (name, rest) = part.split_once('\n').expect("a name");
        let sections = rest.split("---\n").map(str::to_owned).collect();
        Block {
            name: name.to_owned(),
            sections,
        }
    };
    parts.map(block).collect()
}

/// A listener on a loopback address of this process's own, so that no port is taken by an outgoing connection.
pub fn listen() -> TcpListener {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let next = NEXT.fetch_add(1, Ordering::Relaxed) + (std::process::id() << 8);
    let [_, a, b, c] = next.to_be_bytes();
    TcpListener::bind(SocketAddr::from(([127, a | 1, b, c], 0))).expect("a listener")
}

/// An address that was free a moment ago.
pub fn free_addr() -> SocketAddr {
    listen().local_addr().expect("its address")
}

/// A message as it was read: the first line, the other lines of the head, and the body.
pub struct Message {
    pub first: String,
    pub headers: Vec<String>,
    pub body: Vec<u8>,
}

impl Message {
    /// Reads one message; nothing at the connection's end.
    pub fn read(reader: &mut impl BufRead) -> Option<Message> {
        let mut lines = Vec::new();
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line).ok()? == 0 {
                return None;
            }
            assert!(line.ends_with("\r\n"), "a line ends with CR LF: {line:?}");
            let line = line.trim_end_matches("\r\n").to_owned();
            if line.is_empty() {
                break;
            }
            lines.push(line);
        }
        let first = lines.remove(0);
        let length = lines.iter().find_map(|l| {
            let (name, value) = l.split_once(": ")?;
            (name.eq_ignore_ascii_case("content-length")).then(|| value.parse().unwrap())
        });
        let mut body = vec![0; length.unwrap_or(0)];
        reader.read_exact(&mut body).ok()?;
        Some(Message {
            first,
            headers: lines,
            body,
        })
    }

    /// The message as fixtures hold it: headers sorted, as the HTTP library keeps them in a map of random order, and with
    /// neither the date nor the loopback address, which are of the run.
    pub fn pinned(&self) -> String {
        let mut headers: Vec<String> = self.headers.iter().map(|h| pinned_header(h)).collect();
        headers.sort();
        let body = String::from_utf8_lossy(&self.body);
        format!("{}\n{}\n\n{body}\n", self.first, headers.join("\n"))
    }
}

fn pinned_header(line: &str) -> String {
    let (name, _) = line.split_once(':').expect("a header");
    match name.to_ascii_lowercase().as_str() {
        "date" => format!("{name}: DATE"),
        "host" => format!("{name}: HOST"),
        _ => line.to_owned(),
    }
}

/// Sends bytes on a new connection and reads one answer; nothing where none comes.
pub fn send(to: SocketAddr, bytes: &[u8]) -> Option<Message> {
    let stream = TcpStream::connect(to).ok()?;
    stream
        .set_read_timeout(Some(Duration::from_secs(30)))
        .expect("a time limit");
    (&stream).write_all(bytes).ok()?;
    Message::read(&mut BufReader::new(&stream))
}

/// A request as the protocol has it.
pub fn request(first: &str, body: &str) -> Vec<u8> {
    let length = body.len();
    format!("{first} HTTP/1.1\r\nhost: pinned\r\ncontent-length: {length}\r\n\r\n{body}")
        .into_bytes()
}

/// Serves each connection of a listener on a thread of its own, for as long as the process lives.
pub fn serve<F>(listener: TcpListener, answer: F)
where
    F: Fn(&Message) -> (u16, String) + Clone + Send + 'static,
{
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let answer = answer.clone();
            std::thread::spawn(move || {
                let mut reader = BufReader::new(&stream);
                while let Some(message) = Message::read(&mut reader) {
                    let (status, body) = answer(&message);
                    let length = body.len();
                    let reply =
                        format!("HTTP/1.1 {status} X\r\ncontent-length: {length}\r\n\r\n{body}");
                    if (&stream).write_all(reply.as_bytes()).is_err() {
                        return;
                    }
                }
            });
        }
    });
}
