//! Helpers of the tests that run the built program against fixtures: reading and comparing fixtures, and plain HTTP
//! over loopback sockets.
#![allow(dead_code, reason = "each test program uses some helpers")]

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

/// Returns a fixture's text. Panics if the file cannot be read.
pub fn fixture(name: &str) -> String {
    let path = fixture_path(name);
    std::fs::read_to_string(&path).unwrap_or_else(|e| panic!("{}: {e}", path.display()))
}

/// Returns the path of a fixture.
pub fn fixture_path(name: &str) -> PathBuf {
    PathBuf::from(concat!(
        env!("CARGO_MANIFEST_DIR"),
        "/tests/fixtures/pinned"
    ))
    .join(name)
}

/// Asserts that `actual` equals a fixture byte for byte. On a difference, writes `actual` to the tests' temporary
/// directory for inspection.
pub fn assert_pinned(name: &str, actual: &str) {
    assert_same(name, &fixture(name), actual);
}

/// Asserts that `actual` equals `expected` byte for byte. On a difference, writes `actual` to a file with this name in
/// the tests' temporary directory for inspection.
pub fn assert_same(name: &str, expected: &str, actual: &str) {
    if expected == actual {
        return;
    }
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&path, actual).expect("the differing text could not be written");
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

/// A block of a fixture: its name, and its sections, which are separated by lines of `---`.
pub struct Block {
    pub name: String,
    pub sections: Vec<String>,
}

/// Splits a fixture into its blocks, each of which begins with a line `=== name`.
pub fn blocks(text: &str) -> Vec<Block> {
    let block_texts = text.split("=== ").skip(1);
    let parse_block = |block_text: &str| {
        let (name, rest) = block_text.split_once('\n').expect("a name");
        let sections = rest.split("---\n").map(str::to_owned).collect();
        Block {
            name: name.to_owned(),
            sections,
        }
    };
    block_texts.map(parse_block).collect()
}

/// Listens on a loopback address that only this process uses. Prevents a failed bind: outgoing connections start from
/// 127.0.0.1 and could otherwise occupy the port.
pub fn listen() -> TcpListener {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let next = NEXT.fetch_add(1, Ordering::Relaxed) + (std::process::id() << 8);
    let [_, a, b, c] = next.to_be_bytes();
    TcpListener::bind(SocketAddr::from(([127, a | 1, b, c], 0))).expect("a listener")
}

/// Returns an address with a port that was free when this was called.
pub fn free_addr() -> SocketAddr {
    listen().local_addr().expect("its address")
}

/// An HTTP message: the start line, the header lines and the body.
pub struct Message {
    pub start_line: String,
    pub headers: Vec<String>,
    pub body: Vec<u8>,
}

impl Message {
    /// Reads one message. Returns None at the end of the connection.
    pub fn read(reader: &mut impl BufRead) -> Option<Message> {
        let mut lines = Vec::new();
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line).ok()? == 0 {
                return None;
            }
            assert!(
                line.ends_with("\r\n"),
                "a header line must end with CR LF: {line:?}"
            );
            let line = line.trim_end_matches("\r\n").to_owned();
            if line.is_empty() {
                break;
            }
            lines.push(line);
        }
        let start_line = lines.remove(0);
        let length = lines.iter().find_map(|l| {
            let (name, value) = l.split_once(": ")?;
            (name.eq_ignore_ascii_case("content-length")).then(|| value.parse().unwrap())
        });
        let mut body = vec![0; length.unwrap_or(0)];
        reader.read_exact(&mut body).ok()?;
        Some(Message {
            start_line,
            headers: lines,
            body,
        })
    }

    /// Returns the message as fixtures hold it. The headers are sorted, as the HTTP library keeps them in a map of
    /// random order, and the values of Date and Host are replaced, as they differ from run to run.
    pub fn pinned(&self) -> String {
        let mut headers: Vec<String> = self.headers.iter().map(|h| pinned_header(h)).collect();
        headers.sort();
        let body = String::from_utf8_lossy(&self.body);
        format!("{}\n{}\n\n{body}\n", self.start_line, headers.join("\n"))
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

/// Sends bytes on a new connection and reads one response. Returns None if there is none within 30 s.
pub fn send(to: SocketAddr, bytes: &[u8]) -> Option<Message> {
    let stream = TcpStream::connect(to).ok()?;
    stream
        .set_read_timeout(Some(Duration::from_secs(30)))
        .expect("a time limit");
    (&stream).write_all(bytes).ok()?;
    Message::read(&mut BufReader::new(&stream))
}

/// Returns the bytes of an HTTP request with a body.
pub fn request(method_and_path: &str, body: &str) -> Vec<u8> {
    let length = body.len();
    format!("{method_and_path} HTTP/1.1\r\nhost: pinned\r\ncontent-length: {length}\r\n\r\n{body}")
        .into_bytes()
}

/// Serves each connection of a listener on a thread of its own until the process exits.
pub fn serve<F>(listener: TcpListener, handler: F)
where
    F: Fn(&Message) -> (u16, String) + Clone + Send + 'static,
{
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = handler.clone();
            std::thread::spawn(move || {
                let mut reader = BufReader::new(&stream);
                while let Some(message) = Message::read(&mut reader) {
                    let (status, body) = handler(&message);
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
